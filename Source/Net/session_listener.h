// Accepts connections that carry lines, and closes those that exceed the limits
// on clients: number, time and memory (ConnectionGuard, SharedBudget). What the
// lines mean is up to the handler.
//
// Load addressed: crowds of clients that are not under the operator's control.
// Each connection that is closed has a reason, a counter and a log line.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <unordered_map>

#include "Common/clock.h"
#include "Common/counters.h"
#include "Common/error.h"
#include "Net/connection_guard.h"
#include "Net/line_stream.h"
#include "Net/stream_budget.h"

namespace tiller::net {

class SessionListener final : private StreamObserver {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void OnLine(StreamId stream, std::string_view line) = 0;
    // The connection was closed by the peer or by a limit.
    virtual void OnClosed(StreamId stream) = 0;
  };
  struct Options {
    std::string name;  // in log lines and counters
    std::size_t max_line_bytes = 0;
    ConnectionGuard::Limits limits;
    SharedBudget* budget = nullptr;  // null: no limit on memory
    Counters* counters = nullptr;    // null: nothing is counted
  };

  SessionListener(boost::asio::io_context* io, const Clock* clock,
                  Options options, Handler* handler);

  // Listens on `address` ("address:port"). Fails with kSettingInvalid if that
  // is not possible.
  Result<void> Start(const std::string& address);
  void StopAccepting();
  // Closes the connections whose time is over. To be called regularly.
  void CloseOverdue();
  // Connections that are open, or closing with output that is not sent yet.
  std::size_t Count() const { return m_connections.size(); }

  bool IsOpen(StreamId stream) const { return Find(stream) != nullptr; }
  bool IsStarted(StreamId stream) const;
  // The connection has sent the line that starts its session.
  void MarkStarted(StreamId stream);
  // The session belongs to `owner`. Returns false if the owner has too many
  // connections.
  bool SetOwner(StreamId stream, const std::string& owner);
  // Charges the request that the connection waits for with its size in memory.
  void SetRequestBytes(StreamId stream, std::size_t bytes);
  void Write(StreamId stream, std::string text);
  // Closes the connection once its output is sent. The handler gets no call
  // about it any more.
  void CloseAfterWrites(StreamId stream);

 private:
  struct Connection {
    std::shared_ptr<LineStream> stream;
    ConnectionGuard::Owner* owner = nullptr;  // null: not known
    bool started = false;
    bool closing = false;  // the handler takes it for closed
  };
  Connection* Find(StreamId stream);
  const Connection* Find(StreamId stream) const;
  void Accept();
  void OnAccepted(boost::asio::ip::tcp::socket socket);
  void OnLoad(StreamId stream, const StreamLoad& load) override;
  // Closes the connection for a limit, and tells the handler.
  void CloseForLimit(StreamId stream, CloseReason reason);
  void CountClose(StreamId stream, const std::string& owner,
                  CloseReason reason);
  void Remove(StreamId stream);

  boost::asio::io_context* const m_io;
  const Clock* const m_clock;
  const Options m_options;
  Handler* const m_handler;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::steady_timer m_accept_retry;
  ConnectionGuard m_guard;
  StreamMeter m_meter;
  StreamId m_next_stream = 1;
  Instant m_next_check{};
  std::unordered_map<StreamId, Connection> m_connections;
};

}  // namespace tiller::net
