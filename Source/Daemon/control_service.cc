// Implementation of the control thread.
#include "Daemon/control_service.h"

#include <openssl/rand.h>

#include <boost/asio/post.hpp>
#include <csignal>
#include <thread>
#include <utility>

#include "Common/crypto.h"
#include "Common/json_size.h"
#include "Common/log.h"
#include "Common/names.h"

namespace tiller::daemon {
namespace {

constexpr Milliseconds kTickInterval{50};
constexpr Milliseconds kPeerTimeout{1'500};
constexpr int kHostSuffixBytes = 4;
constexpr std::size_t kMaxCommands = 1000;
constexpr char kRpcPath[] = "/rpc";
constexpr char kDeliverMethod[] = "deliver";

std::uint64_t RandomSeed() {
  std::uint64_t seed = 0;
  RAND_bytes(reinterpret_cast<unsigned char*>(&seed), sizeof(seed));
  return seed;
}

bool IsShareMessage(const peer::Message& message) {
  return std::holds_alternative<limits::TokenRequest>(message) ||
         std::holds_alternative<limits::TokenGrant>(message) ||
         std::holds_alternative<limits::UnitRequest>(message) ||
         std::holds_alternative<limits::UnitGrant>(message) ||
         std::holds_alternative<limits::UnitReturn>(message) ||
         std::holds_alternative<limits::UnitRecall>(message);
}

limits::ShareMessage ToShareMessage(const peer::Message& message) {
  return std::visit(
      [](const auto& alternative) -> limits::ShareMessage {
        using Alternative = std::decay_t<decltype(alternative)>;
        if constexpr (std::is_constructible_v<limits::ShareMessage,
                                              Alternative>) {
          return alternative;
        } else {
          return {};
        }
      },
      message);
}

peer::Message ToPeerMessage(const limits::ShareMessage& message) {
  return std::visit(
      [](const auto& alternative) -> peer::Message { return alternative; },
      message);
}

Json::Value ResultToJson(const Result<Json::Value>& result) {
  Json::Value out;
  if (result) {
    out["ok"] = result.value();
    return out;
  }
  const auto& error = result.error();
  out["error"]["code"] = std::string(NameOf(error.code));
  out["error"]["detail"] = error.detail;
  out["error"]["outcome"] =
      std::string(NameOf(kRunOutcomeNames, error.outcome));
  return out;
}

}  // namespace

ControlService::ControlService(const DaemonSettings& settings)
    : m_settings(settings),
      m_random(RandomSeed()),
      m_client(&m_io),
      m_budget(&m_io, ClientLimitsOf(settings).control, &m_clock, &m_counters),
      m_tick_timer(m_io),
      m_drain_timer(m_io),
      m_signals(m_io, SIGTERM, SIGINT, SIGHUP) {}

ControlService::~ControlService() = default;

Result<void> ControlService::Start() {
  // Each process start is a new host with its own id, so that it inherits
  // nothing from an earlier process.
  const HostId host = m_settings.host + "-" + RandomHex(kHostSuffixBytes);
  net::HttpServerOptions server_options;
  server_options.address = m_settings.control_address;
  server_options.port = m_settings.control_port;
  server_options.name = "control";
  const auto limits = ClientLimitsOf(m_settings);
  server_options.limits = HttpLimitsOf(m_settings, limits.control_connections);
  server_options.max_in_flight_bytes = limits.control.total_bytes;
  server_options.budget = &m_budget;
  server_options.budget_class = net::BudgetClass::kPeer;
  server_options.counters = &m_counters;
  server_options.clock = &m_clock;
  m_server = std::make_unique<net::HttpServer>(
      &m_io, server_options,
      [this](const net::HttpRequest& request, const net::Responder& respond) {
        OnHttpRequest(request, respond);
      });
  const auto listening = m_server->Start();
  if (!listening) return listening.error();
  auto& control = m_settings.control;
  control.host = host;
  control.zone = m_settings.zone;
  control.seeds = m_settings.peers;
  control.address =
      m_settings.control_address + ":" + std::to_string(m_server->Port());
  m_settings.traffic.host = host;
  m_settings.traffic.zone = m_settings.zone;
  m_core = std::make_unique<control::ControlCore>(control, &m_clock, &m_random,
                                                  &m_counters);
  m_platform = std::make_unique<platform::PlatformClient>(
      &m_client, m_settings.platform, host, m_settings.platform_timeout);
  m_group_commands = std::make_unique<GroupCommandRunner>(
      &m_io, host, m_settings.database, m_settings.database_user,
      [this](const control::GroupCallDone& done) { Handle(done); });
  m_traffic =
      std::make_unique<TrafficService>(m_settings, MakeTrafficCallbacks());
  const auto started = m_traffic->Start();
  if (!started) return started.error();
  m_rpc.AddNotification(
      kDeliverMethod, [this](const Json::Value& body) { OnPeerMessage(body); });
  m_rpc.AddMethod("operate", [this](const Json::Value& body) {
    return OnOperatorCommand(body);
  });
  m_rpc.AddMethod("result", [this](const Json::Value& body) {
    return OnCommandResult(body);
  });
  log::Event(log::Channel::kDaemon, log::Level::kInfo, "started",
             {{"host", host},
              {"zone", m_settings.zone},
              {"control", control.address},
              {"caller_port", std::to_string(m_traffic->Port())}});
  WaitForSignal();
  ScheduleTick();
  return Success();
}

TrafficService::Callbacks ControlService::MakeTrafficCallbacks() {
  const auto forward = [this](control::Event event) {
    boost::asio::post(m_io,
                      [this, event = std::move(event)] { Handle(event); });
  };
  TrafficService::Callbacks out;
  out.on_endpoint_status = forward;
  out.on_endpoint_unresponsive = forward;
  out.on_share_message = [this](const traffic::SendShareMessage& action) {
    boost::asio::post(m_io, [this, action] {
      SendToHost(action.to, ToPeerMessage(action.message));
    });
  };
  out.on_drained = [forward] { forward(control::TrafficDrained{}); };
  return out;
}

void ControlService::Run() {
  std::thread traffic([this] { m_traffic->Run(); });
  m_io.run();
  m_traffic->Stop();
  traffic.join();
  log::Event(log::Channel::kDaemon, log::Level::kInfo, "stopped");
}

void ControlService::Handle(const control::Event& event) {
  m_core->Handle(event);
  RunActions();
}

void ControlService::RunActions() {
  if (m_running_actions) return;
  m_running_actions = true;
  for (auto actions = m_core->TakeActions(); !actions.empty();
       actions = m_core->TakeActions()) {
    for (const auto& action : actions) {
      std::visit([this](const auto& alternative) { Perform(alternative); },
                 action);
    }
  }
  m_running_actions = false;
}

void ControlService::Perform(const control::CallPlatform& action) {
  m_platform->Send(action.call,
                   [this, id = action.id](Result<platform::Answer> answer) {
                     Handle(control::PlatformAnswered{id, std::move(answer)});
                   });
}

void ControlService::Perform(const control::SendPeer& action) {
  const auto text = peer::EncodeNotification(
      kDeliverMethod,
      peer::Encode({m_settings.control.host, m_settings.control.address,
                    action.message}));
  m_counters.Add("peer_messages_sent");
  m_counters.Add("peer_bytes_sent", text.size());
  m_client.Send(action.address,
                net::MakeRequest(net::http::verb::post, kRpcPath, text),
                kPeerTimeout, [this](const Result<net::HttpResponse>& result) {
                  if (!result) m_counters.Add("peer_messages_failed");
                });
}

void ControlService::SendToHost(const HostId& host,
                                const peer::Message& message) {
  const auto address = m_core->Members().AddressOf(host);
  if (address.empty()) {
    m_counters.Add("peer_messages_unaddressed");
    return;
  }
  Perform(control::SendPeer{address, message});
}

void ControlService::Perform(const control::CallGroup& action) {
  m_group_commands->Start(action);
}

void ControlService::Perform(const control::PublishView& action) {
  m_traffic->Post([this, view = action.view] {
    m_traffic->Handle(traffic::ViewChanged{view});
  });
}

void ControlService::Perform(const control::OperatorReply& action) {
  m_commands[action.ticket] = action.result;
}

void ControlService::Perform(const control::LogEvent& action) {
  std::string line = action.event;
  for (const auto& [key, value] : action.fields) {
    line += log::FormatField(key, value);
  }
  log::Event(action.channel, action.level, line);
}

void ControlService::Perform(const control::DrainFinished&) { m_io.stop(); }

void ControlService::OnHttpRequest(const net::HttpRequest& request,
                                   const net::Responder& respond) {
  const auto target = request.target();
  if (target == kRpcPath) {
    if (JsonValueBound(request.body()) > kMaxJsonValues) {
      m_counters.Add("peer_messages_too_many_values");
      log::Event(log::Channel::kTraffic, log::Level::kInfo, "peer_refused",
                 {{"reason", "too many values"}});
      return respond(net::MakeProblem(
          MakeError(ErrorCode::kTooLarge, "too many JSON values")));
    }
    return respond(net::MakeResponse(200, "application/json",
                                     m_rpc.Handle(request.body())));
  }
  if (target == "/health") {
    return respond(net::MakeResponse(200, "text/plain", "ok\n"));
  }
  if (target == "/ready") {
    const bool ready = m_core->Ready();
    return respond(net::MakeResponse(ready ? 200 : 503, "text/plain",
                                     ready ? "ready\n" : "not ready\n"));
  }
  if (target == "/metrics") return RespondWithCounters(respond);
  respond(net::MakeProblem(
      MakeError(ErrorCode::kRouteUnknown, std::string(target))));
}

void ControlService::RespondWithCounters(const net::Responder& respond) {
  m_traffic->Post([this, respond] {
    const auto traffic = m_traffic->CountersText();
    boost::asio::post(m_io, [this, respond, traffic] {
      respond(
          net::MakeResponse(200, "text/plain", m_counters.ToText() + traffic));
    });
  });
}

void ControlService::OnPeerMessage(const Json::Value& body) {
  auto envelope = peer::Decode(body);
  if (!envelope) {
    m_counters.Add("peer_messages_malformed");
    return;
  }
  if (IsShareMessage(envelope.value().message)) {
    m_traffic->Post([this, received = traffic::ShareMessageArrived{
                               envelope.value().from,
                               ToShareMessage(envelope.value().message)}] {
      m_traffic->Handle(received);
    });
    return;
  }
  Handle(control::PeerMessageArrived{std::move(envelope.value())});
}

Json::Value ControlService::OnOperatorCommand(const Json::Value& body) {
  const auto verb = ValueOf<control::OperatorVerb>(control::kOperatorVerbNames,
                                                   StringOr(body, "verb"));
  if (!verb) {
    return ResultToJson(MakeError(ErrorCode::kBadRequest, "unknown verb"));
  }
  if (m_commands.size() >= kMaxCommands) m_commands.erase(m_commands.begin());
  const auto ticket = m_next_ticket++;
  m_commands[ticket] = std::nullopt;
  Handle(control::OperatorCommand{ticket, *verb, body["arguments"]});
  Json::Value out;
  out["ticket"] = Json::UInt64(ticket);
  return out;
}

Json::Value ControlService::OnCommandResult(const Json::Value& body) {
  const auto it = m_commands.find(UintOr(body, "ticket"));
  if (it == m_commands.end()) {
    return ResultToJson(MakeError(ErrorCode::kNotFound, "no such ticket",
                                  RunOutcome::kUnknown));
  }
  Json::Value out;
  if (!it->second) {
    out["pending"] = true;
    return out;
  }
  out = ResultToJson(*it->second);
  m_commands.erase(it);
  return out;
}

void ControlService::ScheduleTick() {
  m_tick_timer.expires_after(kTickInterval);
  m_tick_timer.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    Handle(traffic::TimerFired{});
    ScheduleTick();
  });
}

void ControlService::WaitForSignal() {
  m_signals.async_wait(
      [this](const boost::system::error_code& cancelled, int signal) {
        if (cancelled) return;
        if (signal == SIGHUP) {
          m_traffic->Post([this] {
            const auto loaded = m_traffic->LoadTlsCertificate();
            log::Event(log::Channel::kDaemon,
                       loaded ? log::Level::kInfo : log::Level::kError,
                       "certificate_reload",
                       {{"result", loaded ? "ok" : loaded.error().detail}});
          });
        } else {
          BeginDrain();
        }
        WaitForSignal();
      });
}

void ControlService::BeginDrain() {
  // Another signal must not restart the delay.
  if (m_draining) return;
  m_draining = true;
  log::Event(log::Channel::kDaemon, log::Level::kInfo, "draining");
  Handle(control::DrainRequested{});
  // Keeps the listener open for a while, so that the load balancer can notice
  // that this host is no longer ready.
  m_drain_timer.expires_after(m_settings.drain_delay);
  m_drain_timer.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    m_traffic->Post([this] { m_traffic->Drain(); });
  });
}

}  // namespace tiller::daemon
