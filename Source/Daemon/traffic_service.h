// The traffic thread: callers' listener, endpoint connections and the traffic
// part of the decision library, on one io_context.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "Common/clock.h"
#include "Common/counters.h"
#include "Daemon/daemon_settings.h"
#include "Net/http_server.h"
#include "Postgres/pg_driver.h"
#include "Traffic/traffic_core.h"

namespace tiller::daemon {

// Only Start() may be called from another thread before the context runs; all
// else runs on the service's own thread, through Post().
class TrafficService {
 public:
  // What the service tells the control thread; called on the traffic thread.
  struct Outputs {
    std::function<void(const traffic::EndpointHeard&)> heard;
    std::function<void(const traffic::EndpointSilent&)> silent;
    std::function<void(const traffic::SendShareMessage&)> share;
    std::function<void()> drained;
  };

  TrafficService(const DaemonSettings& settings, Outputs outputs);

  Result<void> Start();
  void Run() { m_io.run(); }
  void Stop() { m_io.stop(); }
  std::uint16_t Port() const { return m_server.Port(); }

  void Post(std::function<void()> task);
  // The following run on the traffic thread.
  void Handle(const traffic::Event& event);
  void Drain();
  std::string CountersText() const { return m_counters.ToText(); }
  Result<void> LoadTls();

 private:
  void OnRequest(net::HttpRequest request, net::Respond respond);
  void RunActions();
  void Perform(const traffic::Reply& action);
  void Perform(const traffic::OpenConnection& action);
  void Perform(const traffic::CloseConnection& action);
  void Perform(const traffic::RunPipeline& action);
  void Perform(const traffic::EndpointHeard& action);
  void Perform(const traffic::EndpointSilent& action);
  void Perform(const traffic::SendShareMessage& action);
  void ScheduleTick();
  void CheckDrained();

  const DaemonSettings m_settings;
  const Outputs m_outputs;
  boost::asio::io_context m_io{1};
  SystemClock m_clock;
  SeededRandom m_random;
  Counters m_counters;
  traffic::TrafficCore m_core;
  postgres::PgDriver m_driver;
  net::HttpServer m_server;
  boost::asio::steady_timer m_tick;
  traffic::RequestId m_next_request = 1;
  std::unordered_map<traffic::RequestId, net::Respond> m_responds;
  bool m_acting = false;
  // Set when draining began; cleared once it was reported as done.
  std::optional<Instant> m_draining_since;
  bool m_listener_closed = false;
};

}  // namespace tiller::daemon
