// The simulation's nodes, clock, faults and accessors for tests.
#include "UnitTests/Support/service_simulation.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "Common/crypto.h"
#include "Common/json.h"
#include "UnitTests/Support/service_simulation_state.h"

namespace tiller::test {
namespace {

constexpr Milliseconds kControlTickInterval{50};
constexpr Milliseconds kPullInterval{5};
constexpr std::size_t kMaxPullEntries = 64;

}  // namespace

ServiceSimulation::ServiceSimulation(SimulationOptions options)
    : m_options(std::move(options)) {
  for (int i = 0; i < kEndpointCount; ++i) {
    const auto name = "e" + std::to_string(i + 1);
    m_endpoints[name] = std::make_unique<EndpointNode>(
        name, "z" + std::to_string(i % m_options.zones + 1));
  }
  Json::Value head;
  head["version"] = 1;
  head["object"] = "config-1";
  const auto stored =
      m_store.Execute(platform::PutObject{"config-1", ToText(MakeConfig())});
  const auto committed = m_store.Execute(
      platform::CommitRows{{{"config", "head", 0, std::move(head)}}});
  if (!stored || !committed) std::abort();
  for (int i = 0; i < m_options.hosts; ++i) {
    AddHost("z" + std::to_string(i % m_options.zones + 1));
  }
}

ServiceSimulation::~ServiceSimulation() = default;

Json::Value ServiceSimulation::MakeConfig() const {
  config::Config config;
  config.version = 1;
  config.service = "test";
  config.session_secret = std::string(32, 's');
  for (int i = 0; i < m_options.zones; ++i) {
    config.zones.push_back({"z" + std::to_string(i + 1), "r", false});
  }
  for (int i = 0; i < m_options.seats; ++i) {
    config.seats.push_back({"z" + std::to_string(i % m_options.zones + 1)});
  }
  config::Group group{kGroup, m_options.slots, m_options.connections, {}};
  int port = 1;
  for (const auto& [name, node] : m_endpoints) {
    group.endpoints.push_back(
        {name, node->zone, name + ":" + std::to_string(port++), false});
  }
  config.groups.push_back(group);
  for (const auto* name : {"w1", "w2"}) {
    config.workspaces.push_back(
        {name, "test", kGroup, m_options.rate, m_options.burst, 1});
    config.keys.push_back(
        {std::string(name) + "-key", name, Sha256Hex(KeyOf(name)), false});
  }
  return config::ToJson(config);
}

void ServiceSimulation::AddHost(const ZoneId& zone) {
  const auto index = m_hosts.size();
  auto host = std::make_unique<Host>();
  host->node = HostNode(static_cast<int>(index));
  host->id = "h" + std::to_string(index);
  host->address = host->node + ":1";
  host->zone = zone;
  host->random = std::make_unique<SeededRandom>(m_options.seed * 1000 + index);
  control::ControlOptions control;
  control.host = host->id;
  control.address = host->address;
  control.zone = zone;
  control.seeds = {"host0:1", "host1:1"};
  traffic::TrafficOptions traffic;
  traffic.host = host->id;
  traffic.zone = zone;
  if (m_options.adjust_options) m_options.adjust_options(&control, &traffic);
  host->control = std::make_unique<control::ControlCore>(
      control, &m_clock, host->random.get(), &host->counters);
  host->traffic = std::make_unique<traffic::TrafficCore>(
      traffic, &m_clock, host->random.get(), &host->counters);
  m_hosts.push_back(std::move(host));
}

int ServiceSimulation::StartHost(const ZoneId& zone) {
  AddHost(zone);
  return HostCount() - 1;
}

void ServiceSimulation::Schedule(Duration delay, std::function<void()> run) {
  m_tasks.push({Now() + delay, m_next_task_sequence++, std::move(run)});
}

void ServiceSimulation::RunFor(Duration duration) {
  const auto end = Now() + duration;
  while (Now() < end) Tick();
}

bool ServiceSimulation::RunUntil(const std::function<bool()>& done,
                                 Duration max_wait) {
  const auto end = Now() + max_wait;
  while (!done() && Now() < end) Tick();
  return done();
}

bool ServiceSimulation::RunUntilReady(Duration max_wait) {
  return RunUntil(
      [this] {
        if (Primary().empty()) return false;
        return std::all_of(m_hosts.begin(), m_hosts.end(), [](const auto& h) {
          return !h->alive || h->control->Ready();
        });
      },
      max_wait);
}

void ServiceSimulation::Tick() {
  m_clock.Advance(kTickInterval);
  while (!m_tasks.empty() && m_tasks.top().due_at <= Now()) {
    const auto run = m_tasks.top().run;
    m_tasks.pop();
    run();
  }
  Replicate();
  for (int i = 0; i < HostCount(); ++i) {
    auto& host = *m_hosts[static_cast<std::size_t>(i)];
    if (!host.alive || Now() < host.paused_until) continue;
    for (const auto& run : std::exchange(host.deferred_events, {})) run();
    HandleTraffic(i, traffic::TimerFired{});
    if (Now() < host.next_control_tick) continue;
    host.next_control_tick = Now() + kControlTickInterval;
    HandleControl(i, traffic::TimerFired{});
    const bool idle = host.traffic->OpenRequests() == 0 &&
                      host.traffic->OpenTransactions() == 0;
    if (host.draining && idle) {
      host.draining = false;
      HandleControl(i, control::TrafficDrained{});
    }
  }
}

// Log shipping: each replica pulls log entries from the primary it follows.
void ServiceSimulation::Replicate() {
  if (Now().time_since_epoch() % kPullInterval != Duration::zero()) return;
  for (auto& [name, node] : m_endpoints) {
    if (!node->alive) continue;
    node->endpoint.Apply(Now());
    auto& member = node->endpoint.Member();
    const auto address = member.State().primary_address;
    if (member.IsPrimary() || address.empty() ||
        member.State().fence_term > member.State().followed_term) {
      continue;
    }
    const auto source = m_endpoints.find(address.substr(0, address.find(':')));
    if (source == m_endpoints.end() || !source->second->alive ||
        !CanReach(name, source->first)) {
      continue;
    }
    const auto reply = source->second->endpoint.Member().HandlePull(
        member.MakePull(), kMaxPullEntries);
    if (reply) node->endpoint.OnPullReply(reply.value(), Now());
  }
}

void ServiceSimulation::HandleControl(int index, const control::Event& event) {
  auto& host = *m_hosts[static_cast<std::size_t>(index)];
  if (!host.alive) return;
  if (Now() < host.paused_until) {
    host.deferred_events.push_back(
        [this, index, event] { HandleControl(index, event); });
    return;
  }
  host.control->Handle(event);
  DispatchActions(index);
}

void ServiceSimulation::HandleTraffic(int index, const traffic::Event& event) {
  auto& host = *m_hosts[static_cast<std::size_t>(index)];
  if (!host.alive) return;
  if (Now() < host.paused_until) {
    host.deferred_events.push_back(
        [this, index, event] { HandleTraffic(index, event); });
    return;
  }
  host.traffic->Handle(event);
  DispatchActions(index);
}

void ServiceSimulation::DispatchActions(int index) {
  auto& host = *m_hosts[static_cast<std::size_t>(index)];
  if (host.dispatching_actions) return;
  host.dispatching_actions = true;
  while (true) {
    const auto control = host.control->TakeActions();
    const auto traffic = host.traffic->TakeActions();
    if (control.empty() && traffic.empty()) break;
    for (const auto& action : control) Perform(index, action);
    for (const auto& action : traffic) Perform(index, action);
  }
  host.dispatching_actions = false;
}

void ServiceSimulation::Send(int index, traffic::CallerRequest request,
                             ReplyHandler handler) {
  auto& host = *m_hosts[static_cast<std::size_t>(index)];
  if (!host.alive) return;
  request.id = m_next_request_id++;
  host.reply_handlers[request.id] = std::move(handler);
  HandleTraffic(index, request);
}

std::optional<traffic::Reply> ServiceSimulation::Call(
    int index, traffic::CallerRequest request, Duration max_wait) {
  std::optional<traffic::Reply> out;
  Send(index, std::move(request),
       [&out](const traffic::Reply& reply) { out = reply; });
  RunUntil([&out] { return out.has_value(); }, max_wait);
  return out;
}

traffic::CallerRequest ServiceSimulation::MakeIncrement(
    const std::string& workspace, const std::string& id) const {
  traffic::CallerRequest request;
  request.key = KeyOf(workspace);
  request.statements = {{kIncrementSql, {id}}};
  return request;
}

traffic::CallerRequest ServiceSimulation::MakeRead(
    const std::string& workspace, const std::string& id) const {
  auto request = MakeIncrement(workspace, id);
  request.statements = {{kReadSql, {id}}};
  return request;
}

void ServiceSimulation::SendOperatorCommand(int index,
                                            control::OperatorVerb verb,
                                            Json::Value arguments,
                                            OperatorHandler handler) {
  const auto ticket = m_next_ticket++;
  m_hosts[static_cast<std::size_t>(index)]->operator_handlers[ticket] =
      std::move(handler);
  HandleControl(index,
                control::OperatorCommand{ticket, verb, std::move(arguments)});
}

void ServiceSimulation::KillHost(int index) {
  m_hosts[static_cast<std::size_t>(index)]->alive = false;
  for (auto& [name, node] : m_endpoints) {
    std::erase_if(node->connections,
                  [&](const auto& item) { return item.first.first == index; });
  }
}

void ServiceSimulation::PauseHost(int index, Duration duration) {
  m_hosts[static_cast<std::size_t>(index)]->paused_until = Now() + duration;
}

void ServiceSimulation::KillEndpoint(const EndpointId& name) {
  auto& node = *m_endpoints[name];
  node.alive = false;
  for (const auto& [key, connection] : std::exchange(node.connections, {})) {
    Schedule(kNetworkLatency, [this, key = key] {
      HandleTraffic(key.first, traffic::ConnectionClosed{key.second});
    });
  }
}

void ServiceSimulation::RestartEndpoint(const EndpointId& name) {
  m_endpoints[name]->alive = true;
  m_endpoints[name]->endpoint.Restart(Now());
}

void ServiceSimulation::Disconnect(const std::string& node,
                                   const std::set<std::string>& others) {
  for (const auto& other : others) {
    m_disconnected.insert({node, other});
    m_disconnected.insert({other, node});
  }
}

void ServiceSimulation::Isolate(const std::string& node) {
  std::set<std::string> others{"platform"};
  for (const auto& host : m_hosts) others.insert(host->node);
  for (const auto& [name, endpoint] : m_endpoints) others.insert(name);
  others.erase(node);
  Disconnect(node, others);
}

void ServiceSimulation::DisconnectZone(const ZoneId& zone, bool from_platform) {
  std::set<std::string> inside;
  std::set<std::string> outside;
  for (const auto& host : m_hosts) {
    (host->zone == zone ? inside : outside).insert(host->node);
  }
  for (const auto& [name, node] : m_endpoints) {
    (node->zone == zone ? inside : outside).insert(name);
  }
  if (from_platform) outside.insert("platform");
  for (const auto& node : inside) Disconnect(node, outside);
}

void ServiceSimulation::ReconnectAll() { m_disconnected.clear(); }

void ServiceSimulation::SetLag(const EndpointId& name, Duration lag) {
  m_endpoints[name]->endpoint.SetLag(lag);
}

void ServiceSimulation::SilenceConnections(const EndpointId& name) {
  for (auto& [key, connection] : m_endpoints[name]->connections) {
    connection.silent = true;
  }
}

bool ServiceSimulation::CanReach(const std::string& a,
                                 const std::string& b) const {
  return m_disconnected.count({a, b}) == 0;
}

bool ServiceSimulation::IsAlive(const EndpointId& name) const {
  const auto it = m_endpoints.find(name);
  return it != m_endpoints.end() && it->second->alive;
}

ZoneId ServiceSimulation::ZoneOfHost(int host) const {
  return m_hosts[static_cast<std::size_t>(host)]->zone;
}

EndpointId ServiceSimulation::Primary() {
  EndpointId best;
  Term term = 0;
  for (const auto& [name, node] : m_endpoints) {
    if (!node->endpoint.Member().IsPrimary()) continue;
    if (node->endpoint.Member().State().term <= term) continue;
    term = node->endpoint.Member().State().term;
    best = name;
  }
  return best;
}

std::vector<EndpointId> ServiceSimulation::EndpointNames() const {
  std::vector<EndpointId> out;
  for (const auto& [name, node] : m_endpoints) out.push_back(name);
  return out;
}

FakeEndpoint& ServiceSimulation::Endpoint(const EndpointId& name) {
  return m_endpoints[name]->endpoint;
}
control::ControlCore& ServiceSimulation::Control(int host) {
  return *m_hosts[static_cast<std::size_t>(host)]->control;
}
traffic::TrafficCore& ServiceSimulation::Traffic(int host) {
  return *m_hosts[static_cast<std::size_t>(host)]->traffic;
}
Counters& ServiceSimulation::Stats(int host) {
  return m_hosts[static_cast<std::size_t>(host)]->counters;
}
bool ServiceSimulation::HostAlive(int host) const {
  return m_hosts[static_cast<std::size_t>(host)]->alive;
}

std::uint64_t ServiceSimulation::PipelinesStartedInZone(
    const ZoneId& zone) const {
  std::uint64_t sum = 0;
  for (const auto& [name, node] : m_endpoints) {
    if (node->zone == zone) sum += node->pipelines_started;
  }
  return sum;
}

std::uint64_t ServiceSimulation::PipelinesStartedAt(
    const EndpointId& name) const {
  return m_endpoints.at(name)->pipelines_started;
}

ZoneId ServiceSimulation::ZoneOfEndpoint(const EndpointId& name) const {
  return m_endpoints.at(name)->zone;
}

void ServiceSimulation::DrainHost(int index) {
  HandleControl(index, control::DrainRequested{});
  m_hosts[static_cast<std::size_t>(index)]->draining = true;
}

std::uint64_t ServiceSimulation::CounterTotal(const std::string& counter) {
  std::uint64_t sum = 0;
  for (const auto& host : m_hosts) sum += host->counters.Get(counter);
  return sum;
}

}  // namespace tiller::test
