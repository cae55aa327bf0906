// Implementation of the HTTP listener.
#include "Net/http_server.h"

#include <optional>
#include <utility>
#include <vector>

#include "Common/log.h"
#include "Common/names.h"
#include "Net/http_connection.h"

namespace tiller::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;

namespace {
constexpr Milliseconds kAcceptRetryDelay{100};
// Time limits of connections are seconds, so this is exact enough.
constexpr Milliseconds kCheckInterval{500};
// Part of max_in_flight_bytes that is left for ordinary requests.
constexpr std::size_t kOrdinaryPart = 8;
constexpr std::size_t kOrdinaryBytes = 64U << 10;
}  // namespace

HttpServer::HttpServer(asio::io_context* io, HttpServerOptions options,
                       Handler handler)
    : m_io(io),
      m_options(std::move(options)),
      m_handler(std::move(handler)),
      m_clock(m_options.clock == nullptr ? &m_system_clock : m_options.clock),
      m_acceptor(*io),
      m_accept_retry_timer(*io),
      m_check_timer(*io),
      m_guard(m_options.limits) {}

HttpServer::~HttpServer() { Close(); }

Result<void> HttpServer::Start() {
  error_code failure;
  const auto address = asio::ip::make_address(m_options.address, failure);
  const tcp::endpoint endpoint(address, m_options.port);
  if (!failure) m_acceptor.open(endpoint.protocol(), failure);
  if (!failure) m_acceptor.set_option(tcp::acceptor::reuse_address(true));
  if (!failure) m_acceptor.bind(endpoint, failure);
  if (!failure) {
    m_acceptor.listen(asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    return MakeError(ErrorCode::kSettingInvalid,
                     "cannot listen on " + m_options.address + ":" +
                         std::to_string(m_options.port) + ": " +
                         failure.message());
  }
  m_port = m_acceptor.local_endpoint().port();
  Accept();
  ScheduleCheck();
  return Success();
}

void HttpServer::SetTls(std::shared_ptr<asio::ssl::context> context) {
  m_tls_context = std::move(context);
}

void HttpServer::Accept() {
  m_acceptor.async_accept(
      [this](const error_code& failure, tcp::socket socket) {
        if (failure == asio::error::operation_aborted) return;
        if (failure) return OnAcceptFailure();
        StartConnection(std::move(socket));
        Accept();
      });
}

void HttpServer::OnAcceptFailure() {
  const auto to_close = m_guard.ToGiveWay(Now());
  if (to_close) CloseFor(*to_close, HttpCloseReason::kDescriptors);
  m_accept_retry_timer.expires_after(kAcceptRetryDelay);
  m_accept_retry_timer.async_wait([this](const error_code& cancelled) {
    if (!cancelled) Accept();
  });
}

void HttpServer::StartConnection(tcp::socket socket) {
  const auto id = m_next_connection++;
  const auto verdict = m_guard.OnAccepted(id, Now());
  if (verdict && verdict->connection == id) {
    m_guard.OnClosed(id);
    return Report("http_connection_refused", verdict->reason);
  }
  if (verdict) CloseFor(verdict->connection, verdict->reason);
  if (m_tls_context) {
    std::make_shared<StreamConnection<beast::ssl_stream<beast::tcp_stream>>>(
        this, id, beast::tcp_stream(std::move(socket)), *m_tls_context)
        ->Start();
  } else {
    std::make_shared<StreamConnection<beast::tcp_stream>>(this, id,
                                                          std::move(socket))
        ->Start();
  }
}

void HttpServer::ScheduleCheck() {
  m_check_timer.expires_after(kCheckInterval);
  m_check_timer.async_wait([this](const error_code& cancelled) {
    if (cancelled) return;
    for (const auto& verdict : m_guard.Overdue(Now())) {
      CloseFor(verdict.connection, verdict.reason);
    }
    ScheduleCheck();
  });
}

void HttpServer::CloseFor(HttpConnectionId id, HttpCloseReason reason) {
  const auto it = m_connections.find(id);
  if (it == m_connections.end()) return;
  Report("http_connection_closed", reason);
  it->second->Close();
}

void HttpServer::Report(const std::string& event, HttpCloseReason reason) {
  const std::string name(NameOf(kHttpCloseReasonNames, reason));
  log::Event(log::Channel::kTraffic, log::Level::kInfo, event,
             {{"listener", m_options.name}, {"reason", name}});
  if (m_options.counters == nullptr) return;
  m_options.counters->Add(event + "_" + m_options.name + "_" + name);
}

bool HttpServer::Admits(std::size_t bytes) const {
  const auto in_flight = *m_in_flight_bytes;
  // A single request is served whatever its size.
  if (in_flight == 0) return true;
  const auto limit = m_options.max_in_flight_bytes;
  const auto reserve = bytes > kOrdinaryBytes ? limit / kOrdinaryPart : 0;
  return in_flight <= limit - reserve && bytes <= limit - reserve - in_flight;
}

void HttpServer::Drain() {
  m_draining = true;
  error_code ignored;
  m_acceptor.close(ignored);
  m_accept_retry_timer.cancel();
  std::vector<HttpConnection*> connections;
  for (const auto& [_, connection] : m_connections) {
    connections.push_back(connection);
  }
  for (auto* connection : connections) connection->CloseIfIdle();
}

void HttpServer::Close() {
  error_code ignored;
  m_acceptor.close(ignored);
  m_accept_retry_timer.cancel();
  m_check_timer.cancel();
  // Each one removes itself.
  while (!m_connections.empty()) m_connections.begin()->second->Close();
}

}  // namespace tiller::net
