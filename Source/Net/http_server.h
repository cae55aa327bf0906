// An HTTP/1.1 listener with keep-alive, pipelining, bounded messages, optional
// TLS and a graceful stop. Limits connections, their times and the memory that
// they hold together, against crowds of clients that use more than their part.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <unordered_map>

#include "Common/clock.h"
#include "Common/counters.h"
#include "Net/http_guard.h"
#include "Net/http_types.h"
#include "Net/shared_budget.h"

namespace tiller::net {

struct HttpServerOptions {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;     // 0: any free port
  std::string name = "http";  // of the listener, in log lines and counters
  std::uint64_t max_body_bytes = 1U << 20;
  std::uint32_t max_header_bytes = 16U << 10;
  HttpGuard::Limits limits;
  // Of the requests that the handler has and has not answered, together. Above
  // it, requests are refused before the handler gets them.
  std::size_t max_in_flight_bytes = std::numeric_limits<std::size_t>::max();
  // Of what connections hold beside that. Null: not limited.
  SharedBudget* budget = nullptr;
  BudgetClass budget_class = BudgetClass::kUnstarted;
  Counters* counters = nullptr;  // may be null
  const Clock* clock = nullptr;  // null: the system's
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
  void OnAcceptFailure();
  void StartConnection(boost::asio::ip::tcp::socket socket);
  void ScheduleCheck();
  void CloseFor(HttpConnectionId id, HttpCloseReason reason);
  void Report(const std::string& event, HttpCloseReason reason);
  // Whether a request of this size may go to the handler.
  bool Admits(std::size_t bytes) const;
  Instant Now() const { return m_clock->Now(); }

  boost::asio::io_context* const m_io;
  const HttpServerOptions m_options;
  const Handler m_handler;
  const SystemClock m_system_clock;
  const Clock* const m_clock;
  boost::asio::ip::tcp::acceptor m_acceptor;
  // Delays the next accept after a failure such as too many open files.
  boost::asio::steady_timer m_accept_retry_timer;
  boost::asio::steady_timer m_check_timer;
  std::shared_ptr<boost::asio::ssl::context> m_tls_context;
  std::uint16_t m_port = 0;
  bool m_draining = false;
  HttpGuard m_guard;
  HttpConnectionId m_next_connection = 1;
  // Open connections that have received a request and not yet sent its complete
  // response.
  std::size_t m_busy_count = 0;
  // Bytes of the requests that the handler has not answered. Shared with the
  // responders, which may outlive the server.
  const std::shared_ptr<std::size_t> m_in_flight_bytes =
      std::make_shared<std::size_t>(0);
  // The open connections. Not owned; each adds itself when it is made and
  // removes itself when it is closed.
  std::unordered_map<HttpConnectionId, HttpConnection*> m_connections;
};

}  // namespace tiller::net
