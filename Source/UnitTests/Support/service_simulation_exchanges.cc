// The simulation's message exchanges: performs the actions of the control and
// traffic parts over queues, and calls the stage hook at each stage.
#include <algorithm>
#include <utility>

#include "Common/json.h"
#include "UnitTests/Support/service_simulation_state.h"

namespace tiller::test {
namespace {

constexpr Milliseconds kPlatformLatency{2};
constexpr Milliseconds kConnectDuration{10};
constexpr Milliseconds kConnectTimeout{2000};
constexpr Milliseconds kPlatformTimeout{1500};

std::string ExchangeKind(const std::vector<endpoint::Step>& steps) {
  const auto has = [&](std::string_view sql) {
    return std::any_of(steps.begin(), steps.end(),
                       [&](const auto& step) { return step.sql == sql; });
  };
  if (has(endpoint::kClaimRecordSql)) return "claim";
  if (has(endpoint::kStoreAnswerSql)) return "finish";
  if (has(endpoint::kReadRecordSql)) return "lookup";
  if (has(endpoint::kDiscardSql)) return "reset";
  if (has(endpoint::kBeginSql) && has(endpoint::kCommitSql)) return "write";
  if (has(endpoint::kBeginSql)) return "begin";
  if (has(endpoint::kCommitSql)) return "commit";
  if (has(kReadSql)) return "read";
  if (has(kIncrementSql)) return "statement";
  return "probe";
}

}  // namespace

void ServiceSimulation::Perform(int index, const control::Action& action) {
  auto& host = *m_hosts[static_cast<std::size_t>(index)];
  if (const auto* call = std::get_if<control::CallPlatform>(&action)) {
    CallPlatform(index, *call);
  } else if (const auto* send = std::get_if<control::SendPeer>(&action)) {
    SendPeer(index, send->address, send->message);
  } else if (const auto* group = std::get_if<control::CallGroup>(&action)) {
    CallGroup(index, *group);
  } else if (const auto* view = std::get_if<control::PublishView>(&action)) {
    host.traffic->Handle(traffic::ViewChanged{view->view});
  } else if (const auto* reply = std::get_if<control::OperatorReply>(&action)) {
    const auto it = host.operator_handlers.find(reply->ticket);
    if (it == host.operator_handlers.end()) return;
    const auto handler = it->second;
    host.operator_handlers.erase(it);
    handler(reply->result);
  }
}

void ServiceSimulation::Perform(int index, const traffic::Action& action) {
  auto& host = *m_hosts[static_cast<std::size_t>(index)];
  if (const auto* reply = std::get_if<traffic::Reply>(&action)) {
    const auto it = host.reply_handlers.find(reply->id);
    if (it == host.reply_handlers.end()) return;
    const auto handler = it->second;
    host.reply_handlers.erase(it);
    handler(*reply);
  } else if (const auto* open = std::get_if<traffic::OpenConnection>(&action)) {
    const auto id = open->connection;
    const auto name = open->endpoint;
    const bool reachable = IsAlive(name) && CanReach(host.node, name);
    // A dead process refuses the connection at once; an attempt to reach a
    // disconnected or frozen one times out.
    const bool refused = !m_endpoints[name]->alive && CanReach(host.node, name);
    Schedule(reachable ? kConnectDuration
                       : (refused ? kNetworkLatency : kConnectTimeout),
             [this, index, id, name, reachable] {
               if (reachable) {
                 m_endpoints[name]->connections[{index, id}] = {
                     index, id, {}, false, true};
               }
               HandleTraffic(index, traffic::ConnectionOpened{id, reachable});
             });
  } else if (const auto* close =
                 std::get_if<traffic::CloseConnection>(&action)) {
    for (auto& [name, node] : m_endpoints) {
      node->connections.erase({index, close->connection});
    }
  } else if (const auto* run = std::get_if<traffic::RunPipeline>(&action)) {
    RunPipeline(index, *run);
  } else if (const auto* status_report =
                 std::get_if<traffic::EndpointStatusReport>(&action)) {
    host.control->Handle(*status_report);
  } else if (const auto* silent =
                 std::get_if<traffic::EndpointUnresponsive>(&action)) {
    host.control->Handle(*silent);
  } else if (const auto* share_message =
                 std::get_if<traffic::SendShareMessage>(&action)) {
    const auto address = host.control->Members().AddressOf(share_message->to);
    std::visit([&](const auto& body) { SendPeer(index, address, body); },
               share_message->message);
  }
}

void ServiceSimulation::RunStageHook(Stage stage, const std::string& kind,
                                     const std::string& endpoint) {
  if (m_stage_hook) m_stage_hook(stage, kind, endpoint);
}

void ServiceSimulation::RunPipeline(int index,
                                    const traffic::RunPipeline& action) {
  const auto kind = ExchangeKind(action.steps);
  EndpointId target;
  for (auto& [name, node] : m_endpoints) {
    if (node->connections.count({index, action.connection}) > 0) target = name;
  }
  RunStageHook(Stage::kBeforeSend, kind, target);
  const auto generation = action.generation;
  // Timeout of the sending host, unless an answer comes first.
  Schedule(action.timeout, [this, index, connection = action.connection,
                            generation] {
    HandleTraffic(
        index,
        traffic::PipelineDone{
            connection, generation, traffic::PipelineFailure::kTimeout, {}});
  });
  if (target.empty()) {
    Schedule(kNetworkLatency, [this, index, connection = action.connection,
                               generation] {
      HandleTraffic(index, traffic::PipelineDone{
                               connection,
                               generation,
                               traffic::PipelineFailure::kConnectionLost,
                               {}});
    });
    return;
  }
  Schedule(kNetworkLatency, [this, index, action, kind] {
    ExecutePipeline(index, action, kind);
  });
}

void ServiceSimulation::ExecutePipeline(int index,
                                        const traffic::RunPipeline& action,
                                        const std::string& kind) {
  for (auto& [name, node] : m_endpoints) {
    if (node->connections.count({index, action.connection}) == 0) continue;
    const auto endpoint = name;
    RunStageHook(Stage::kBeforeEffect, kind, endpoint);
    const auto it = node->connections.find({index, action.connection});
    if (it == node->connections.end()) return;
    auto& connection = it->second;
    if (!IsAlive(name) || !CanReach(HostNode(index), name) ||
        connection.silent) {
      return;
    }
    if (kind != "probe" && kind != "reset") ++node->pipelines_started;
    for (const auto& step : action.steps) {
      for (const auto& cell : step.parameters) {
        if (cell && cell->find("key-of-") != std::string::npos) {
          ++m_parameters_with_caller_key;
        }
      }
    }
    const auto outcome =
        node->endpoint.Run(&connection.session, action.steps, Now());
    RunStageHook(Stage::kAfterEffect, kind, endpoint);
    AwaitConfirmation(
        name, outcome, Now() + Milliseconds(500),
        [this, index, action, kind,
         endpoint](std::vector<endpoint::StepResult> results) {
          FinishPipeline(index,
                         {action.connection, action.generation,
                          traffic::PipelineFailure::kNone, std::move(results)},
                         kind, endpoint);
        });
    return;
  }
}

void ServiceSimulation::AwaitConfirmation(
    const EndpointId& name, const FakeEndpoint::PipelineOutcome& outcome,
    Instant confirm_deadline,
    std::function<void(std::vector<endpoint::StepResult>)> done) {
  if (outcome.confirm_index < 0) return done(outcome.results);
  if (!m_endpoints[name]->alive) return;
  auto result = m_endpoints[name]->endpoint.TryConfirm(
      outcome, Now() >= confirm_deadline);
  if (result) {
    auto results = outcome.results;
    results[static_cast<std::size_t>(outcome.confirm_index)] = *result;
    return done(std::move(results));
  }
  Schedule(kTickInterval, [=, this] {
    AwaitConfirmation(name, outcome, confirm_deadline, done);
  });
}

void ServiceSimulation::FinishPipeline(int index, traffic::PipelineDone done,
                                       const std::string& kind,
                                       const EndpointId& name) {
  if (m_next_failure) {
    done.failure = *std::exchange(m_next_failure, std::nullopt);
    done.results.clear();
  }
  Schedule(kNetworkLatency, [this, index, done = std::move(done), kind, name] {
    RunStageHook(Stage::kBeforeAnswer, kind, name);
    auto& node = *m_endpoints[name];
    const auto it = node.connections.find({index, done.connection});
    if (it == node.connections.end() || it->second.silent || !IsAlive(name) ||
        !CanReach(HostNode(index), name)) {
      return;
    }
    HandleTraffic(index, done);
    if (m_duplicate_answers) HandleTraffic(index, done);
  });
}

void ServiceSimulation::CallGroup(int index, const control::CallGroup& action) {
  const auto kind = "group_call";
  const auto name = action.endpoint;
  auto answered = std::make_shared<bool>(false);
  const auto finish = [this, index, id = action.id,
                       answered](std::optional<endpoint::StepResult> result) {
    if (std::exchange(*answered, true)) return;
    HandleControl(index, control::GroupCallDone{id, std::move(result)});
  };
  RunStageHook(Stage::kBeforeSend, kind, name);
  Schedule(action.timeout, [finish] { finish(std::nullopt); });
  Schedule(kConnectDuration, [this, index, action, name, kind, finish] {
    RunStageHook(Stage::kBeforeEffect, kind, name);
    if (!IsAlive(name) || !CanReach(HostNode(index), name)) {
      if (!m_endpoints[name]->alive) finish(std::nullopt);
      return;
    }
    FakeEndpoint::Session session;
    const auto outcome =
        m_endpoints[name]->endpoint.Run(&session, {action.step}, Now());
    RunStageHook(Stage::kAfterEffect, kind, name);
    Schedule(kNetworkLatency, [this, index, name, kind, finish,
                               result = outcome.results.front()] {
      RunStageHook(Stage::kBeforeAnswer, kind, name);
      if (CanReach(HostNode(index), name) && IsAlive(name)) finish(result);
    });
  });
}

void ServiceSimulation::CallPlatform(int index,
                                     const control::CallPlatform& action) {
  const auto kind = "platform_call";
  auto answered = std::make_shared<bool>(false);
  const auto finish = [this, index, id = action.id,
                       answered](Result<platform::Answer> answer) {
    if (std::exchange(*answered, true)) return;
    HandleControl(index, control::PlatformAnswered{id, std::move(answer)});
  };
  RunStageHook(Stage::kBeforeSend, kind, "platform");
  Schedule(kPlatformTimeout, [finish] {
    finish(MakeError(ErrorCode::kPlatformUnavailable, "timeout",
                     RunOutcome::kUnknown));
  });
  Schedule(kPlatformLatency, [this, index, call = action.call, kind, finish] {
    RunStageHook(Stage::kBeforeEffect, kind, "platform");
    if (!CanReach(HostNode(index), "platform")) return;
    if (m_platform_mode == PlatformMode::kDown) {
      return finish(MakeError(ErrorCode::kPlatformUnavailable, "outage",
                              RunOutcome::kUnknown));
    }
    m_store.SetNow(Now());
    const auto answer = m_store.Execute(call);
    RunStageHook(Stage::kAfterEffect, kind, "platform");
    const bool is_write = std::holds_alternative<platform::CommitRows>(call) ||
                          std::holds_alternative<platform::PutObject>(call);
    if (m_platform_mode == PlatformMode::kLoseAnswers && is_write) return;
    Schedule(kPlatformLatency, [this, index, kind, answer, finish] {
      RunStageHook(Stage::kBeforeAnswer, kind, "platform");
      if (CanReach(HostNode(index), "platform")) finish(answer);
    });
  });
}

void ServiceSimulation::SendPeer(int index, const std::string& address,
                                 const peer::Message& message) {
  const auto& from = *m_hosts[static_cast<std::size_t>(index)];
  const peer::Envelope envelope{from.id, from.address, message};
  const auto encoded = peer::Encode(envelope);
  ++m_peer_messages;
  m_peer_bytes += ToText(encoded).size();
  const auto node = address.substr(0, address.find(':'));
  Schedule(kNetworkLatency, [this, index, node, encoded] {
    for (int i = 0; i < HostCount(); ++i) {
      const auto& host = *m_hosts[static_cast<std::size_t>(i)];
      if (host.node != node || !CanReach(HostNode(index), node)) continue;
      const auto arrived = peer::Decode(encoded);
      if (!arrived) continue;
      std::visit(
          [&](const auto& body) {
            using Body = std::decay_t<decltype(body)>;
            if constexpr (std::is_constructible_v<limits::ShareMessage, Body>) {
              HandleTraffic(
                  i, traffic::ShareMessageArrived{arrived.value().from, body});
            } else {
              HandleControl(i, control::PeerMessageArrived{arrived.value()});
            }
          },
          arrived.value().message);
    }
  });
}

}  // namespace tiller::test
