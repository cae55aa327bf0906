// An HTTP/1.1 listener with keep-alive, pipelining, bounded messages, optional
// TLS and a graceful stop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_set>

#include "Net/http_types.h"

namespace tiller::net {

struct HttpServerOptions {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;  // 0: any free port
  std::uint64_t max_body_bytes = 1U << 20;
  std::uint32_t max_header_bytes = 16U << 10;
  std::size_t max_connections = 8192;
  // Time for receiving a complete request once its first byte has arrived. Not
  // applied to TLS connections.
  Milliseconds read_timeout{10'000};
};

class HttpConnection;

// Runs on one io_context; not thread-safe.
class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest, Responder)>;

  HttpServer(boost::asio::io_context* io, HttpServerOptions options,
             Handler handler);
  ~HttpServer();

  // Fails with kSettingInvalid if the server cannot listen on the address.
  Result<void> Start();
  // Connections accepted from now on use `context`. Existing connections keep
  // the context that they have.
  void SetTls(std::shared_ptr<boost::asio::ssl::context> context);
  // Stops accepting connections and closes idle ones. Responses in progress are
  // completed, and each remaining connection is closed after its next response.
  void Drain();
  // Stops accepting connections and closes all of them at once.
  void Close();

  std::uint16_t Port() const { return m_port; }
  std::size_t ConnectionCount() const { return m_connections.size(); }
  std::size_t BusyConnectionCount() const { return m_busy_count; }

 private:
  friend class HttpConnection;
  template <typename Stream>
  friend class StreamConnection;
  void Accept();

  boost::asio::io_context* const m_io;
  const HttpServerOptions m_options;
  const Handler m_handler;
  boost::asio::ip::tcp::acceptor m_acceptor;
  // Delays the next accept after a failure such as too many open files.
  boost::asio::steady_timer m_accept_retry_timer;
  std::shared_ptr<boost::asio::ssl::context> m_tls_context;
  std::uint16_t m_port = 0;
  bool m_draining = false;
  // Connections that have received a request and not yet sent its complete
  // response.
  std::size_t m_busy_count = 0;
  // Not owned. Each connection adds itself on construction and removes itself
  // on destruction.
  std::unordered_set<HttpConnection*> m_connections;
};

}  // namespace tiller::net
