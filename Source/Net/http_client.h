// An asynchronous HTTP/1.1 client with a connection pool per target and a
// timeout for each request.
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
  using ResponseCallback = std::function<void(Result<HttpResponse>)>;

  static constexpr std::size_t kDefaultMaxIdlePerTarget = 4;
  explicit HttpClient(
      boost::asio::io_context* io,
      std::size_t max_idle_per_target = kDefaultMaxIdlePerTarget)
      : m_io(io), m_max_idle_per_target(max_idle_per_target) {}

  // Calls `on_response` exactly once: with the response, with kConnectFailed if
  // nothing was sent, with kBadRequest if the target or a header cannot be
  // sent, or with kTimeout or kEndpointLost if no complete response arrived.
  // `timeout` applies to connecting and again to the exchange itself.
  void Send(const Authority& target, HttpRequest request, Milliseconds timeout,
            ResponseCallback on_response);

 private:
  struct Exchange;
  void Connect(const std::shared_ptr<Exchange>& exchange);
  void Write(const std::shared_ptr<Exchange>& exchange);
  void Read(const std::shared_ptr<Exchange>& exchange);
  void Fail(const std::shared_ptr<Exchange>& exchange, ErrorCode code,
            const std::string& detail);
  using Stream = boost::beast::tcp_stream;

  boost::asio::io_context* const m_io;
  const std::size_t m_max_idle_per_target;
  std::map<Authority, std::vector<std::unique_ptr<Stream>>> m_idle_connections;
};

// Sends one request and blocks until it is answered or has failed. Meant for
// command-line programs.
Result<HttpResponse> SendBlocking(const Authority& target, HttpRequest request,
                                  Milliseconds timeout);

HttpRequest MakeRequest(http::verb method, const std::string& target,
                        std::string body = {});

}  // namespace tiller::net
