// Implementation of the session listener.
#include "Net/session_listener.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "Common/log.h"
#include "Common/names.h"
#include "Net/socket_address.h"

namespace tiller::net {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {
// Without it, a process without descriptors would spin in the accept loop.
constexpr Milliseconds kAcceptRetryDelay{100};
// The time limits are seconds.
constexpr Milliseconds kCheckInterval{200};
}  // namespace

SessionListener::SessionListener(boost::asio::io_context* io,
                                 const Clock* clock, Options options,
                                 Handler* handler)
    : m_io(io),
      m_clock(clock),
      m_options(std::move(options)),
      m_handler(handler),
      m_acceptor(*io),
      m_accept_retry(*io),
      m_guard(m_options.limits),
      m_meter(m_options.budget, [this](StreamId stream) {
        CloseForLimit(stream, CloseReason::kMemory);
      }) {}

Result<void> SessionListener::Start(const std::string& address) {
  const auto endpoint = ParseAddress(address);
  if (!endpoint) return endpoint.error();
  error_code failure;
  m_acceptor.open(endpoint.value().protocol(), failure);
  if (!failure) {
    m_acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
  }
  if (!failure) m_acceptor.bind(endpoint.value(), failure);
  if (!failure) {
    m_acceptor.listen(boost::asio::socket_base::max_listen_connections,
                      failure);
  }
  if (failure) {
    return MakeError(ErrorCode::kSettingInvalid,
                     "cannot listen on " + address + ": " + failure.message());
  }
  Accept();
  return Success();
}

void SessionListener::Accept() {
  m_acceptor.async_accept([this](const error_code& failure,
                                 tcp::socket socket) {
    if (failure == boost::asio::error::operation_aborted) return;
    if (failure) {
      log::Event(log::Channel::kTraffic, log::Level::kWarn, "accept_failed",
                 {{"listener", m_options.name}, {"detail", failure.message()}});
      if (const auto oldest = m_guard.OldestUnstarted()) {
        CloseForLimit(*oldest, CloseReason::kConnections);
      }
      m_accept_retry.expires_after(kAcceptRetryDelay);
      m_accept_retry.async_wait([this](const error_code& stopped) {
        if (!stopped) Accept();
      });
      return;
    }
    OnAccepted(std::move(socket));
    Accept();
  });
}

void SessionListener::OnAccepted(tcp::socket socket) {
  error_code failure;
  socket.non_blocking(true, failure);
  if (!failure) socket.set_option(tcp::no_delay(true), failure);
  if (failure) return;
  const auto id = m_next_stream++;
  auto stream =
      std::make_shared<LineStream>(std::move(socket), m_options.max_line_bytes);
  stream->Observe(this, id);
  stream->EnableFlowControl();
  m_connections[id].stream = stream;
  if (const auto verdict = m_guard.OnAccepted(id, m_clock->Now())) {
    CloseForLimit(verdict->stream, verdict->reason);
    if (verdict->stream == id) return;
  }
  stream->Start(
      [this, id](std::string_view line) {
        if (IsOpen(id)) m_handler->OnLine(id, line);
      },
      [this, id](const std::string&) {
        if (!IsOpen(id)) return;
        Remove(id);
        m_handler->OnClosed(id);
      });
}

SessionListener::Connection* SessionListener::Find(StreamId stream) {
  const auto it = m_connections.find(stream);
  if (it == m_connections.end() || it->second.closing) return nullptr;
  return &it->second;
}

const SessionListener::Connection* SessionListener::Find(
    StreamId stream) const {
  const auto it = m_connections.find(stream);
  if (it == m_connections.end() || it->second.closing) return nullptr;
  return &it->second;
}

bool SessionListener::IsStarted(StreamId stream) const {
  const auto* connection = Find(stream);
  return connection != nullptr && connection->started;
}

void SessionListener::MarkStarted(StreamId stream) {
  auto* connection = Find(stream);
  if (connection == nullptr) return;
  connection->started = true;
  m_guard.OnStarted(stream);
}

bool SessionListener::SetOwner(StreamId stream, const std::string& owner) {
  auto* connection = Find(stream);
  if (connection == nullptr || connection->owner != nullptr) return true;
  connection->owner = m_guard.OnOwnerKnown(owner);
  if (connection->owner != nullptr) {
    m_meter.SetOwner(stream, BudgetClass::kSession, owner);
    return true;
  }
  CountClose(stream, owner, CloseReason::kOwnerConnections);
  return false;
}

void SessionListener::SetRequestBytes(StreamId stream, std::size_t bytes) {
  if (auto* connection = Find(stream)) connection->stream->SetOwnerBytes(bytes);
}

void SessionListener::Write(StreamId stream, std::string text) {
  if (auto* connection = Find(stream)) {
    connection->stream->Write(std::move(text));
  }
}

void SessionListener::CloseAfterWrites(StreamId stream) {
  auto* connection = Find(stream);
  if (connection == nullptr) return;
  connection->closing = true;
  m_guard.OnStarted(stream);
  const auto closing = connection->stream;
  closing->SetOwnerBytes(0);
  closing->CloseAfterWrites();
  if (closing->Closed()) Remove(stream);
}

void SessionListener::OnLoad(StreamId stream, const StreamLoad& load) {
  const auto it = m_connections.find(stream);
  if (it == m_connections.end()) return m_meter.Update(stream, 0, {}, {});
  static const std::string kUnknown;
  const auto* owner = it->second.owner;
  m_meter.Update(
      stream, load.bytes,
      owner == nullptr ? BudgetClass::kUnstarted : BudgetClass::kSession,
      owner == nullptr ? kUnknown : owner->first);
  if (it->second.closing && it->second.stream->Closed()) {
    return boost::asio::post(*m_io, [this, stream] { Remove(stream); });
  }
  const auto reason = m_guard.OnLoad(stream, load, m_clock->Now());
  if (!reason) return;
  // The stream that reports its load may not be closed here.
  boost::asio::post(*m_io,
                    [this, stream, reason] { CloseForLimit(stream, *reason); });
}

void SessionListener::CloseOverdue() {
  const auto now = m_clock->Now();
  if (now < m_next_check) return;
  m_next_check = now + kCheckInterval;
  for (const auto& verdict : m_guard.Overdue(now)) {
    CloseForLimit(verdict.stream, verdict.reason);
  }
}

void SessionListener::CloseForLimit(StreamId stream, CloseReason reason) {
  const auto it = m_connections.find(stream);
  if (it == m_connections.end()) return;
  const auto* owner = it->second.owner;
  CountClose(stream, owner == nullptr ? std::string() : owner->first, reason);
  const bool closing = it->second.closing;
  it->second.stream->Close();
  Remove(stream);
  if (!closing) m_handler->OnClosed(stream);
}

void SessionListener::CountClose(StreamId stream, const std::string& owner,
                                 CloseReason reason) {
  const std::string name(NameOf(kCloseReasonNames, reason));
  if (m_options.counters != nullptr) {
    m_options.counters->Add(m_options.name + "_closed_" + name);
    // Owners are names of the configuration, so their number is bounded.
    if (!owner.empty()) {
      m_options.counters->Add(m_options.name + "_closed_" + name + "_of_" +
                              owner);
    }
  }
  log::Event(log::Channel::kTraffic, log::Level::kInfo, "client_closed",
             {{"listener", m_options.name},
              {"session", std::to_string(stream)},
              {"reason", name},
              {"workspace", owner}});
}

void SessionListener::Remove(StreamId stream) {
  const auto it = m_connections.find(stream);
  if (it == m_connections.end()) return;
  m_guard.OnClosed(stream, it->second.owner);
  m_meter.Update(stream, 0, {}, {});
  m_connections.erase(it);
}

void SessionListener::StopAccepting() {
  error_code ignored;  // the listener is unused from here on, even on failure
  m_acceptor.close(ignored);
}

}  // namespace tiller::net
