// Simulation of a whole service in one process, on a manual clock: hosts that
// run the control and traffic parts, database endpoints and the platform's
// store. Messages between them pass through queues, on which tests inject
// faults.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "Control/control_core.h"
#include "StandIn/platform_store.h"
#include "Traffic/traffic_core.h"
#include "UnitTests/Support/fake_endpoint.h"

namespace tiller::test {

// kDown: calls fail. kLoseAnswers: writes are executed but not answered.
enum class PlatformMode { kUp, kDown, kLoseAnswers };

// Points of an exchange at which a fault can be injected.
enum class Stage {
  kBeforeSend,    // about to leave the host
  kBeforeEffect,  // arrived, not yet executed
  kAfterEffect,   // executed, answer not yet sent
  kBeforeAnswer,  // answer about to arrive
};
inline constexpr std::array<std::string_view, 4> kStageNames = {
    "before_send", "before_effect", "after_effect", "before_answer"};

struct SimulationOptions {
  int hosts = 3;
  int seats = 3;
  int zones = 3;
  std::uint64_t seed = 1;
  // Rate limit of each workspace.
  double rate = 1000;  // requests per second
  double burst = 100;  // requests
  // Limits of the endpoint group.
  int slots = 3;
  int connections = 20;
  // Changes the options of each host before it starts.
  std::function<void(control::ControlOptions*, traffic::TrafficOptions*)>
      adjust_options;
};

// Hosts are numbered from 0 in the order in which they were started.
class ServiceSimulation {
 public:
  explicit ServiceSimulation(SimulationOptions options);
  ~ServiceSimulation();

  ManualClock& Clock() { return m_clock; }
  Instant Now() const { return m_clock.Now(); }
  void RunFor(Duration duration);
  // Runs until `done` returns true, at most for `max_wait`. Returns the last
  // result of `done`.
  bool RunUntil(const std::function<bool()>& done, Duration max_wait);
  // Runs until every running host is ready and the group has a primary.
  // Returns false if `max_wait` ends first.
  bool RunUntilReady(Duration max_wait = std::chrono::seconds(20));

  // Callers.
  using ReplyHandler = std::function<void(const traffic::Reply&)>;
  void Send(int host, traffic::CallerRequest request, ReplyHandler handler);
  // Sends a request and waits for its reply. Returns nothing if there is no
  // reply within `max_wait`.
  std::optional<traffic::Reply> Call(
      int host, traffic::CallerRequest request,
      Duration max_wait = std::chrono::seconds(10));
  // Make a request that increments or reads the version of a row; the request
  // is not sent.
  traffic::CallerRequest MakeIncrement(const std::string& workspace,
                                       const std::string& id) const;
  traffic::CallerRequest MakeRead(const std::string& workspace,
                                  const std::string& id) const;
  static std::string KeyOf(const std::string& workspace) {
    return "key-of-" + workspace;
  }

  // Operators.
  using OperatorHandler = std::function<void(const Result<Json::Value>&)>;
  void SendOperatorCommand(int host, control::OperatorVerb verb,
                           Json::Value arguments, OperatorHandler handler);

  // Faults.
  void KillHost(int host);
  int StartHost(const ZoneId& zone);
  void PauseHost(int host, Duration duration);
  // Begins a graceful shutdown.
  void DrainHost(int host);
  void KillEndpoint(const EndpointId& name);
  void RestartEndpoint(const EndpointId& name);
  // Disconnects `node` from each of `others`, in both directions.
  // Nodes are named by HostNode(), by endpoint name, or "platform".
  void Disconnect(const std::string& node, const std::set<std::string>& others);
  // Disconnects `node` from all other nodes and the platform.
  void Isolate(const std::string& node);
  // Disconnects the nodes of `zone` from the nodes of all other zones, and from
  // the platform if `from_platform` is set.
  void DisconnectZone(const ZoneId& zone, bool from_platform);
  // Reconnects all nodes.
  void ReconnectAll();
  void SetPlatformMode(PlatformMode mode) { m_platform_mode = mode; }
  void SetLag(const EndpointId& name, Duration lag);
  // The connections that are open to the endpoint never answer again; new ones
  // work.
  void SilenceConnections(const EndpointId& name);
  // While on, each answer to a pipeline of the traffic part is delivered twice.
  void SetDuplicateAnswers(bool on) { m_duplicate_answers = on; }

  // Called at every stage of every exchange. `kind` names the exchange, such as
  // "claim" or "platform_call"; `endpoint` is its target, or "platform".
  using StageHook = std::function<void(Stage stage, const std::string& kind,
                                       const std::string& endpoint)>;
  void SetStageHook(StageHook hook) { m_stage_hook = std::move(hook); }
  // The next pipeline runs, but its host gets `failure` in place of the
  // results.
  void FailNextPipeline(traffic::PipelineFailure failure) {
    m_next_failure = failure;
  }

  std::string HostNode(int host) const { return "host" + std::to_string(host); }
  ZoneId ZoneOfHost(int host) const;
  EndpointId Primary();
  std::vector<EndpointId> EndpointNames() const;
  FakeEndpoint& Endpoint(const EndpointId& name);
  control::ControlCore& Control(int host);
  traffic::TrafficCore& Traffic(int host);
  Counters& Stats(int host);
  standin::PlatformStore& Store() { return m_store; }
  bool HostAlive(int host) const;
  int HostCount() const { return static_cast<int>(m_hosts.size()); }
  // Number of pipelines executed since the start, without probes and connection
  // resets: at all endpoints of a zone, and at one endpoint.
  std::uint64_t PipelinesStartedInZone(const ZoneId& zone) const;
  std::uint64_t PipelinesStartedAt(const EndpointId& name) const;
  ZoneId ZoneOfEndpoint(const EndpointId& name) const;
  // Number of statement parameters sent to endpoints that contained a caller's
  // key. Keys must not reach endpoints.
  std::uint64_t ParametersWithCallerKey() const {
    return m_parameters_with_caller_key;
  }
  // Bytes and messages that hosts sent to each other.
  std::uint64_t PeerBytes() const { return m_peer_bytes; }
  std::uint64_t PeerMessages() const { return m_peer_messages; }
  // Sum of a counter over all hosts.
  std::uint64_t CounterTotal(const std::string& counter);

 private:
  struct Host;
  struct EndpointNode;
  struct Connection;
  // Event in the queue. Tasks that are due at the same time run in the order in
  // which they were scheduled.
  struct Task {
    Instant due_at;
    std::uint64_t sequence;
    std::function<void()> run;
    bool operator<(const Task& other) const {
      return std::tie(other.due_at, other.sequence) <
             std::tie(due_at, sequence);
    }
  };

  void Schedule(Duration delay, std::function<void()> run);
  void AddHost(const ZoneId& zone);
  // Performs the actions of both parts until there are no more.
  void DispatchActions(int host);
  void HandleControl(int host, const control::Event& event);
  void HandleTraffic(int host, const traffic::Event& event);
  void Perform(int host, const control::Action& action);
  void Perform(int host, const traffic::Action& action);
  void RunPipeline(int host, const traffic::RunPipeline& action);
  void ExecutePipeline(int host, const traffic::RunPipeline& action,
                       const std::string& kind);
  void FinishPipeline(int host, traffic::PipelineDone done,
                      const std::string& kind, const EndpointId& endpoint);
  // Calls `done` with the results of a pipeline once its confirm step has one,
  // at the latest at `confirm_deadline`. Never calls it if the endpoint dies
  // first.
  void AwaitConfirmation(
      const EndpointId& endpoint, const FakeEndpoint::PipelineOutcome& outcome,
      Instant confirm_deadline,
      std::function<void(std::vector<endpoint::StepResult>)> done);
  void CallGroup(int host, const control::CallGroup& action);
  void CallPlatform(int host, const control::CallPlatform& action);
  void SendPeer(int host, const std::string& address,
                const peer::Message& message);
  void Replicate();
  bool CanReach(const std::string& a, const std::string& b) const;
  bool IsAlive(const EndpointId& name) const;
  // Advances the clock by one tick and runs everything that is due.
  void Tick();
  void RunStageHook(Stage stage, const std::string& kind,
                    const std::string& endpoint);
  Json::Value MakeConfig() const;

  const SimulationOptions m_options;
  ManualClock m_clock;
  std::priority_queue<Task> m_tasks;
  std::uint64_t m_next_task_sequence = 0;
  std::vector<std::unique_ptr<Host>> m_hosts;
  std::map<EndpointId, std::unique_ptr<EndpointNode>> m_endpoints;
  standin::PlatformStore m_store;
  PlatformMode m_platform_mode = PlatformMode::kUp;
  std::set<std::pair<std::string, std::string>> m_disconnected;
  bool m_duplicate_answers = false;
  StageHook m_stage_hook;
  std::optional<traffic::PipelineFailure> m_next_failure;
  std::uint64_t m_next_request_id = 1;
  std::uint64_t m_next_ticket = 1;
  std::uint64_t m_parameters_with_caller_key = 0;
  std::uint64_t m_peer_bytes = 0;
  std::uint64_t m_peer_messages = 0;
};

inline constexpr char kGroup[] = "g1";

}  // namespace tiller::test
