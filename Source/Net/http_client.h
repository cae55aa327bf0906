// An asynchronous HTTP/1.1 client with pooled connections and a deadline for
// every exchange.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Net/http_types.h"

namespace tiller::net {

// "address:port" of a numeric address.
using Authority = std::string;

class HttpClient {
 public:
  using Done = std::function<void(Result<HttpResponse>)>;

  static constexpr std::size_t kDefaultIdlePerTarget = 4;
  explicit HttpClient(boost::asio::io_context* io,
                      std::size_t max_idle_per_target = kDefaultIdlePerTarget)
      : m_io(io), m_max_idle(max_idle_per_target) {}

  // Calls `done` once, with kConnectFailed if nothing was sent, else with
  // kTimeout or kEndpointLost when no whole answer came.
  void Send(const Authority& target, HttpRequest request, Milliseconds timeout,
            Done done);

 private:
  struct Exchange;
  void Connect(const std::shared_ptr<Exchange>& exchange);
  void Write(const std::shared_ptr<Exchange>& exchange);
  void Fail(const std::shared_ptr<Exchange>& exchange, ErrorCode code,
            const std::string& detail);
  using Stream = boost::beast::tcp_stream;

  boost::asio::io_context* const m_io;
  const std::size_t m_max_idle;
  std::map<Authority, std::vector<std::unique_ptr<Stream>>> m_idle;
};

// Sends one request and waits for its answer; for command-line programs.
Result<HttpResponse> SendBlocking(const Authority& target, HttpRequest request,
                                  Milliseconds timeout);

HttpRequest MakeRequest(http::verb method, const std::string& target,
                        std::string body = {});

}  // namespace tiller::net
