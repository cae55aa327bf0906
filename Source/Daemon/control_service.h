// The control thread. It runs the listener for other hosts and operators, the
// platform client and the control part of the decision library on one
// io_context.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "Control/control_core.h"
#include "Daemon/daemon_settings.h"
#include "Daemon/group_command_runner.h"
#include "Daemon/traffic_service.h"
#include "Net/http_client.h"
#include "Net/http_server.h"
#include "Peer/json_rpc.h"
#include "Platform/platform_client.h"

namespace tiller::daemon {

class ControlService {
 public:
  explicit ControlService(const DaemonSettings& settings);
  ~ControlService();

  Result<void> Start();
  // Runs the control thread and the traffic thread until the host has drained.
  void Run();

 private:
  void Handle(const control::Event& event);
  void RunActions();
  void Perform(const control::CallPlatform& action);
  void Perform(const control::SendPeer& action);
  void Perform(const control::CallGroup& action);
  void Perform(const control::PublishView& action);
  void Perform(const control::OperatorReply& action);
  void Perform(const control::LogEvent& action);
  void Perform(const control::DrainFinished& action);

  void OnHttpRequest(const net::HttpRequest& request,
                     const net::Responder& respond);
  void RespondWithCounters(const net::Responder& respond);
  void OnPeerMessage(const Json::Value& body);
  Json::Value OnOperatorCommand(const Json::Value& body);
  Json::Value OnCommandResult(const Json::Value& body);
  void ScheduleTick();
  void WaitForSignal();
  void BeginDrain();
  TrafficService::Callbacks MakeTrafficCallbacks();
  void SendToHost(const HostId& host, const peer::Message& message);

  DaemonSettings m_settings;
  boost::asio::io_context m_io{1};
  SystemClock m_clock;
  SeededRandom m_random;
  Counters m_counters;
  std::unique_ptr<control::ControlCore> m_core;
  std::unique_ptr<TrafficService> m_traffic;
  net::HttpClient m_client;
  std::unique_ptr<platform::PlatformClient> m_platform;
  std::unique_ptr<GroupCommandRunner> m_group_commands;
  net::SharedBudget m_budget;  // of what connections of m_server hold
  std::unique_ptr<net::HttpServer> m_server;
  peer::RpcServer m_rpc;
  boost::asio::steady_timer m_tick_timer;
  boost::asio::steady_timer m_drain_timer;
  boost::asio::signal_set m_signals;
  control::CallId m_next_ticket = 1;
  // Operator commands by ticket. The result is absent while the command is in
  // progress.
  std::map<control::CallId, std::optional<Result<Json::Value>>> m_commands;
  bool m_running_actions = false;
  bool m_draining = false;
};

}  // namespace tiller::daemon
