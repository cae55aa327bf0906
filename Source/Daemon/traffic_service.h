// The traffic thread. It runs the listener for callers, the connections to
// endpoints and the traffic part of the decision library on one io_context.
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

// Start() is called before Run() and may be called from another thread. Post(),
// Stop() and, after Start(), Port() may be called from any thread. Everything
// else runs on the traffic thread, scheduled by Post().
class TrafficService {
 public:
  // Notifications for the control thread. They are called on the traffic
  // thread.
  struct Callbacks {
    std::function<void(const traffic::EndpointStatusReport&)>
        on_endpoint_status;
    std::function<void(const traffic::EndpointUnresponsive&)>
        on_endpoint_unresponsive;
    std::function<void(const traffic::SendShareMessage&)> on_share_message;
    std::function<void()> on_drained;
  };

  TrafficService(const DaemonSettings& settings, Callbacks callbacks);

  Result<void> Start();
  void Run() { m_io.run(); }
  void Stop() { m_io.stop(); }
  std::uint16_t Port() const { return m_server.Port(); }

  // Schedules `task` on the traffic thread.
  void Post(std::function<void()> task);
  // The following run on the traffic thread.
  void Handle(const traffic::Event& event);
  void Drain();
  std::string CountersText() const;
  Result<void> LoadTlsCertificate();

 private:
  void OnRequest(net::HttpRequest request, net::Responder respond);
  void RunActions();
  void Perform(const traffic::Reply& action);
  void Perform(const traffic::OpenConnection& action);
  void Perform(const traffic::CloseConnection& action);
  void Perform(const traffic::RunPipeline& action);
  void Perform(const traffic::EndpointStatusReport& action);
  void Perform(const traffic::EndpointUnresponsive& action);
  void Perform(const traffic::SendShareMessage& action);
  void ScheduleTick();
  void CheckDrained();

  const DaemonSettings m_settings;
  const Callbacks m_callbacks;
  boost::asio::io_context m_io{1};
  SystemClock m_clock;
  SeededRandom m_random;
  Counters m_counters;
  traffic::TrafficCore m_core;
  postgres::PgDriver m_driver;
  net::SharedBudget m_budget;  // of what callers' connections hold
  net::HttpServer m_server;
  boost::asio::steady_timer m_tick_timer;
  traffic::RequestId m_next_request = 1;
  std::unordered_map<traffic::RequestId, net::Responder> m_response_callbacks;
  bool m_running_actions = false;
  // Start of the drain. Reset when the end of the drain has been reported.
  std::optional<Instant> m_draining_since;
  bool m_listener_closed = false;
};

}  // namespace tiller::daemon
