// The control thread: the listener for hosts and operators, the platform's
// client and the control part of the decision library, on one io_context.
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
#include "Daemon/group_caller.h"
#include "Daemon/traffic_service.h"
#include "Net/http_client.h"
#include "Net/http_server.h"
#include "Peer/json_rpc.h"
#include "Platform/http_platform.h"

namespace tiller::daemon {

class ControlService {
 public:
  explicit ControlService(const DaemonSettings& settings);
  ~ControlService();

  Result<void> Start();
  // Runs both threads until the host has drained or `Stop` was called.
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

  void OnHttp(const net::HttpRequest& request, const net::Respond& respond);
  void AnswerCounters(const net::Respond& respond);
  void OnPeerMessage(const Json::Value& body);
  Json::Value OnOperate(const Json::Value& body);
  Json::Value OnResult(const Json::Value& body);
  void ScheduleTick();
  void WaitForSignal();
  void BeginDrain();
  TrafficService::Outputs TrafficOutputs();
  void SendToHost(const HostId& host, const peer::Message& message);

  DaemonSettings m_settings;
  boost::asio::io_context m_io{1};
  SystemClock m_clock;
  SeededRandom m_random;
  Counters m_counters;
  std::unique_ptr<control::ControlCore> m_core;
  std::unique_ptr<TrafficService> m_traffic;
  net::HttpClient m_client;
  std::unique_ptr<platform::HttpPlatform> m_platform;
  std::unique_ptr<GroupCaller> m_group_caller;
  std::unique_ptr<net::HttpServer> m_server;
  peer::RpcServer m_rpc;
  boost::asio::steady_timer m_tick;
  boost::asio::steady_timer m_drain_timer;
  boost::asio::signal_set m_signals;
  control::CallId m_next_ticket = 1;
  // Operators' commands; absent while in progress.
  std::map<control::CallId, std::optional<Result<Json::Value>>> m_tickets;
  bool m_acting = false;
};

}  // namespace tiller::daemon
