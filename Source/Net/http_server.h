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
  // A connection that started a request must finish sending it within this.
  Milliseconds read_timeout{10'000};
};

class HttpConnection;

// Runs on one io_context; not thread-safe.
class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest, Respond)>;

  HttpServer(boost::asio::io_context* io, HttpServerOptions options,
             Handler handler);
  ~HttpServer();

  // Fails with kSettingInvalid when the address can't be listened on.
  Result<void> Start();
  // New connections use `context` from now on; open ones keep theirs.
  void SetTls(std::shared_ptr<boost::asio::ssl::context> context);
  // Stops accepting; answers in progress are finished, idle connections are
  // closed, and every later answer closes its connection.
  void Drain();
  void Close();

  std::uint16_t Port() const { return m_port; }
  std::size_t ConnectionCount() const { return m_connections.size(); }
  std::size_t BusyCount() const { return m_busy; }

 private:
  friend class HttpConnection;
  template <typename Stream>
  friend class StreamConnection;
  void Accept();

  boost::asio::io_context* const m_io;
  const HttpServerOptions m_options;
  const Handler m_handler;
  boost::asio::ip::tcp::acceptor m_acceptor;
  // Delays accepting after a failure such as too many open files.
  boost::asio::steady_timer m_accept_retry;
  std::shared_ptr<boost::asio::ssl::context> m_tls;
  std::uint16_t m_port = 0;
  bool m_draining = false;
  // Connections between the start of a request and the end of its answer.
  std::size_t m_busy = 0;
  // Each connection adds itself when it starts and removes itself when it ends.
  std::unordered_set<HttpConnection*> m_connections;
};

}  // namespace tiller::net
