// Implementation of the simulation of shared pools.
#include "UnitTests/Support/pool_fleet.h"

#include <algorithm>

#include "Common/overloaded.h"

namespace tiller::relay {
namespace {

constexpr Milliseconds kTickInterval{20};
constexpr Milliseconds kHandshakeTime{12};
constexpr Milliseconds kLinkTime{1};  // within a zone, one way
constexpr Milliseconds kRetryDelay{100};
constexpr int kMaxRetries = 2;
constexpr Milliseconds kMinPause{60};
constexpr std::uint64_t kPauseSpread = 240;

std::string NameOfHost(int host) { return "h" + std::to_string(host); }

std::string Key(const char* kind, int host, ConnectionId connection) {
  return kind + std::to_string(host) + "/" + std::to_string(connection);
}

}  // namespace

PoolFleet::PoolFleet(const Sizes& sizes, std::uint64_t seed)
    : m_sizes(sizes), m_random(seed) {
  const auto add_route = [&](const std::string& group, const char* kind_name,
                             RouteKind kind, Milliseconds target,
                             Milliseconds limit) {
    Route route;
    route.name = group + kind_name;
    route.database = route.name;
    route.kind = kind;
    route.group = group;
    route.statement_timeout = limit;
    route.target_latency = target;
    route.max_staleness =
        Milliseconds(kind == RouteKind::kBoundedStaleness ? 1'500 : 2'500);
    m_directory.routes[route.database] = route;
  };
  m_directory.version = 1;
  m_directory.transaction_idle = Milliseconds(5'000);
  for (int g = 0; g < sizes.groups; ++g) {
    const auto group = "g" + std::to_string(g);
    add_route(group, "strict", RouteKind::kPrimary, Milliseconds(250),
              Milliseconds(2'000));
    add_route(group, "bounded", RouteKind::kBoundedStaleness, Milliseconds(800),
              Milliseconds(8'000));
    add_route(group, "own", RouteKind::kReadYourWrites, Milliseconds(400),
              Milliseconds(2'000));
    for (int e = 0; e < 3; ++e) {
      const auto id = group + "e" + std::to_string(e);
      const auto zone = "z" + std::to_string((g + e) % sizes.zones);
      m_directory.endpoints[id] = {id,     group, id + ":1",   zone,
                                   e == 0, false, sizes.slots, 1};
      m_endpoints[id].zone = zone;
    }
    m_directory.groups[group] = {
        group, sizes.max_connections, group + "e0", {}, false};
  }
  for (int w = 0; w < sizes.workspaces; ++w) {
    const auto name = "w" + std::to_string(w);
    m_directory.keys["key-" + name] = name;
    m_directory.workspaces[name] = {name, 1e6, 1e6};
  }
  limits::SeatView seats;
  for (int h = 0; h < sizes.hosts; ++h) {
    seats.holders.push_back(NameOfHost(h));
    seats.zones.push_back("z" + std::to_string(h % sizes.zones));
    seats.pool_addresses.push_back(NameOfHost(h) + ":8");
    seats.pool_versions.push_back(limits::kPoolVersion);
  }
  seats.valid_until = m_clock.Now() + std::chrono::hours(1);
  m_hosts.resize(static_cast<std::size_t>(sizes.hosts));
  for (int h = 0; h < sizes.hosts; ++h) {
    auto& host = m_hosts[static_cast<std::size_t>(h)];
    host.zone = seats.zones[static_cast<std::size_t>(h)];
    RelaySettings settings{NameOfHost(h), host.zone};
    settings.load_management = sizes.load_management;
    host.core =
        std::make_unique<RelayCore>(settings, &m_clock, &m_random, &m_counters);
    host.pool = std::make_unique<SharedPool>(
        &m_clock, &m_counters, SharedPoolSettings{sizes.load_management});
    seats.held = {h};
    RunCore(h, SeatsChanged{seats});
    RunPool(h, SeatsChanged{seats});
    AtHost(h, Now() + Milliseconds(h % 20), [this, h] { Tick(h); });
  }
  Publish();
  At(Now(), [this] { Arrive(); });
}

void PoolFleet::Publish() {
  ++m_directory.version;
  const auto directory = std::make_shared<const Directory>(m_directory);
  for (int h = 0; h < m_sizes.hosts; ++h) {
    RunCore(h, DirectoryChanged{directory});
    RunPool(h, DirectoryChanged{directory});
  }
}

void PoolFleet::Promote(const GroupId& group, const EndpointId& id) {
  m_directory.endpoints.at(PrimaryOf(group)).primary = false;
  m_directory.endpoints.at(id).primary = true;
  m_directory.groups.at(group).primary = id;
  Publish();
}

void PoolFleet::Run(Milliseconds duration) {
  const auto end = Now() + duration;
  while (!m_queue.empty() && m_queue.top().when <= end) {
    const auto next = m_queue.top();
    m_queue.pop();
    if (next.when > Now()) m_clock.Advance(next.when - Now());
    next.action();
  }
  m_clock.Advance(end - Now());
}

void PoolFleet::StarveHosts(int count) {
  for (int h = 0; h < count; ++h) {
    m_hosts[static_cast<std::size_t>(h)].pause =
        kMinPause + Milliseconds(m_random.UniformBelow(kPauseSpread));
  }
}

void PoolFleet::EndStarvation() {
  for (auto& host : m_hosts) host.pause = Milliseconds(0);
}

void PoolFleet::CutReplication(const EndpointId& id, bool cut) {
  m_endpoints.at(id).replication_cut = cut;
}

void PoolFleet::Darken(const EndpointId& id) { m_endpoints.at(id).dark = true; }

std::uint64_t PoolFleet::Count(const std::string& counter) const {
  return m_counters.Get(counter);
}

void PoolFleet::At(Instant when, std::function<void()> action) {
  m_queue.push({when, m_next_number++, std::move(action)});
}

void PoolFleet::AtHost(int host, Instant when, std::function<void()> action) {
  const auto pause = m_hosts[static_cast<std::size_t>(host)].pause;
  if (pause.count() > 0) {
    const Duration interval = pause;
    const auto since = when.time_since_epoch() % interval;
    when += interval - since;
  }
  At(when, std::move(action));
}

void PoolFleet::Tick(int host) {
  RunCore(host, TimerFired{});
  RunPool(host, TimerFired{});
  AtHost(host, Now() + kTickInterval, [this, host] { Tick(host); });
}

Duration PoolFleet::Latency(const ZoneId& a, const ZoneId& b) const {
  return a == b ? kLinkTime : m_sizes.latency;
}

bool PoolFleet::Reaches(const ZoneId& a, const ZoneId& b) const {
  return a == b || (a != m_cut_zone && b != m_cut_zone);
}

void PoolFleet::SendToHost(const ZoneId& from, int host,
                           std::function<void()> action) {
  const auto& to = m_hosts[static_cast<std::size_t>(host)].zone;
  AtHost(host, Now() + Latency(from, to),
         [this, from, to, action = std::move(action)] {
           if (Reaches(from, to)) action();
         });
}

int PoolFleet::HostOf(const std::string& address) const {
  return address[0] == 'h' ? std::stoi(address.substr(1)) : -1;
}

// ---- callers

// One operation in seven is on a strict route (35 % writes), one in seven a
// bounded read, the others read their own writes (20 % writes), as on Q.
void PoolFleet::Arrive() {
  const auto pick = [this](int bound) {
    return static_cast<int>(
        m_random.UniformBelow(static_cast<std::uint64_t>(bound)));
  };
  const auto group = "g" + std::to_string(pick(m_sizes.groups));
  const auto workspace = "w" + std::to_string(pick(m_sizes.workspaces));
  const int kind = pick(7);
  const bool write = kind == 0 ? pick(100) < 35 : kind > 1 && pick(100) < 20;
  const auto route = group + (kind == 0   ? "strict"
                              : kind == 1 ? "bounded"
                                          : "own");
  const auto id = m_next_session++;
  Caller caller;
  caller.host = pick(m_sizes.hosts);
  caller.statement = {write ? Verb::kWrite : Verb::kRead,
                      (write ? "WRITE " : "READ ") + std::to_string(id), "",
                      ""};
  caller.outcome = m_outcomes.size();
  caller.deadline = Now() + m_directory.routes.at(route).target_latency;
  m_outcomes.push_back({group,
                        m_hosts[static_cast<std::size_t>(caller.host)].zone,
                        write, Now()});
  m_callers[id] = caller;
  AtHost(caller.host, Now(), [this, id, route, workspace] {
    RunCore(m_callers.at(id).host,
            SessionOpened{id, route, "key-" + workspace, {}, {}});
    Submit(id);
  });
  const auto spread =
      static_cast<std::uint64_t>(2e6 / m_sizes.requests_per_second);
  At(Now() + std::chrono::microseconds(m_random.UniformBelow(spread)),
     [this] { Arrive(); });
}

void PoolFleet::Submit(SessionId session) {
  const auto found = m_callers.find(session);
  if (found == m_callers.end()) return;
  const auto& caller = found->second;
  StatementReceived event;
  event.session = session;
  event.request_id =
      std::to_string(session) + "." + std::to_string(caller.attempts);
  event.statement = caller.statement;
  RunCore(caller.host, event);
}

void PoolFleet::OnReply(SessionId session, const StatementResult& result) {
  const auto found = m_callers.find(session);
  if (found == m_callers.end()) return;
  auto& caller = found->second;
  const bool again =
      result.refusal == Refusal::kBusy && caller.attempts < kMaxRetries;
  if (again) {
    ++caller.attempts;
    return AtHost(caller.host, Now() + kRetryDelay,
                  [this, session] { Submit(session); });
  }
  m_outcomes[caller.outcome].answered = result.Ok();
  m_outcomes[caller.outcome].on_time = result.Ok() && Now() <= caller.deadline;
  const int host = caller.host;
  m_callers.erase(found);
  AtHost(host, Now(),
         [this, host, session] { RunCore(host, SessionClosed{session}); });
}

// ---- hosts

void PoolFleet::RunCore(int host, const Event& event) {
  auto& core = *m_hosts[static_cast<std::size_t>(host)].core;
  core.Handle(event);
  for (auto actions = core.TakeActions(); !actions.empty();
       actions = core.TakeActions()) {
    for (const auto& action : actions) PerformCore(host, action);
  }
}

void PoolFleet::RunPool(int host, const PoolEvent& event) {
  auto& pool = *m_hosts[static_cast<std::size_t>(host)].pool;
  pool.Handle(event);
  for (auto actions = pool.TakeActions(); !actions.empty();
       actions = pool.TakeActions()) {
    for (const auto& action : actions) PerformPool(host, action);
  }
}

void PoolFleet::PerformCore(int host, const Action& action) {
  auto& self = m_hosts[static_cast<std::size_t>(host)];
  const auto pool_of = [&](ConnectionId id) {
    for (int h = 0; h < m_sizes.hosts; ++h) {
      if (m_hosts[static_cast<std::size_t>(h)].pool_sessions.count({host, id}))
        return h;
    }
    return -1;
  };
  const Overloaded perform{
      [&](const Reply& reply) { OnReply(reply.session, reply.result); },
      [&](const PrimaryHealth& health) {
        if (health.silent_for < kReplaceableAfter) return;
        m_suspicions.push_back({Now(), health.endpoint});
      },
      [&](const OpenConnection& open) {
        const int to = HostOf(open.address);
        if (to < 0) {
          const auto key = Key("c", host, open.connection);
          m_endpoint_of[key] = open.endpoint;
          const auto latency =
              Latency(self.zone, m_endpoints.at(open.endpoint).zone);
          return OpenAtEndpoint(
              open.endpoint, key, self.zone, Now() + latency,
              [this, host, latency, id = open.connection](bool done) {
                AtHost(host, Now() + latency, [this, host, id, done] {
                  if (done) return RunCore(host, ConnectionOpened{id, {}});
                  RunCore(host,
                          ConnectionRefused{id, Refusal::kTooMany, "full"});
                });
              });
        }
        const auto session = m_next_session++;
        auto& pool = m_hosts[static_cast<std::size_t>(to)];
        const Link link{host, open.connection};
        pool.pool_sessions[link] = session;
        pool.pool_links[session] = link;
        SendToHost(
            self.zone, to,
            [this, to, session, endpoint = open.endpoint,
             workspace = open.workspace] {
              RunPool(to, PoolSessionOpened{session, endpoint, workspace});
            });
      },
      [&](const SendStatement& sent) {
        const int to = pool_of(sent.connection);
        if (to < 0) {
          const auto key = Key("c", host, sent.connection);
          const auto found = m_endpoint_of.find(key);
          if (found == m_endpoint_of.end()) return;
          const auto latency =
              Latency(self.zone, m_endpoints.at(found->second).zone);
          return Execute(found->second, key, sent, self.zone, Now() + latency,
                         [this, host, latency,
                          id = sent.connection](const StatementResult& result) {
                           AtHost(host, Now() + latency,
                                  [this, host, id, result] {
                                    RunCore(host, StatementDone{id, result});
                                  });
                         });
        }
        auto& pool = m_hosts[static_cast<std::size_t>(to)];
        StatementReceived event;
        event.session = pool.pool_sessions.at({host, sent.connection});
        event.request_id = sent.id;
        event.statement = sent.statement;
        event.after = sent.after;
        event.term = sent.term;
        event.schedule = sent.schedule;
        SendToHost(self.zone, to, [this, to, event] { RunPool(to, event); });
      },
      [&](const CloseConnection& close) {
        const int to = pool_of(close.connection);
        if (to < 0) {
          const auto key = Key("c", host, close.connection);
          const auto found = m_endpoint_of.find(key);
          if (found == m_endpoint_of.end()) return;
          m_endpoints.at(found->second).connections.erase(key);
          m_endpoint_of.erase(found);
          return;
        }
        auto& pool = m_hosts[static_cast<std::size_t>(to)];
        const Link link{host, close.connection};
        const auto session = pool.pool_sessions.at(link);
        pool.pool_sessions.erase(link);
        pool.pool_links.erase(session);
        SendToHost(self.zone, to, [this, to, session] {
          RunPool(to, SessionClosed{session});
        });
      },
      [](const auto&) {}};
  std::visit(perform, action);
}

void PoolFleet::PerformPool(int host, const PoolAction& action) {
  auto& self = m_hosts[static_cast<std::size_t>(host)];
  // Sends an event about the link to the host that opened it.
  const auto to_opener = [&](SessionId session, auto make_event) {
    const auto link = self.pool_links.find(session);
    if (link == self.pool_links.end()) return;
    const auto [opener, id] = link->second;
    SendToHost(self.zone, opener,
               [this, opener = opener, event = make_event(id)] {
                 RunCore(opener, event);
               });
  };
  const auto forget = [&](SessionId session) {
    const auto link = self.pool_links.find(session);
    if (link == self.pool_links.end()) return;
    self.pool_sessions.erase(link->second);
    self.pool_links.erase(link);
  };
  const Overloaded perform{
      [&](const AcceptSession& accept) {
        to_opener(accept.session, [](ConnectionId id) {
          return ConnectionOpened{id, {}};
        });
      },
      [&](const RejectSession& reject) {
        to_opener(reject.session, [&](ConnectionId id) {
          return ConnectionRefused{id, reject.refusal, reject.text};
        });
        forget(reject.session);
      },
      [&](const Reply& reply) {
        to_opener(reply.session, [&](ConnectionId id) {
          return StatementDone{id, reply.result};
        });
      },
      [&](const CloseSession& close) {
        to_opener(close.session, [](ConnectionId id) {
          return ConnectionLost{id, "closed"};
        });
        forget(close.session);
      },
      [&](const OpenConnection& open) {
        const auto key = Key("p", host, open.connection);
        m_endpoint_of[key] = open.endpoint;
        const auto latency =
            Latency(self.zone, m_endpoints.at(open.endpoint).zone);
        OpenAtEndpoint(
            open.endpoint, key, self.zone, Now() + latency,
            [this, host, latency, id = open.connection](bool done) {
              AtHost(host, Now() + latency, [this, host, id, done] {
                if (done) return RunPool(host, ConnectionOpened{id, {}});
                RunPool(host, ConnectionRefused{id, Refusal::kTooMany, "full"});
              });
            });
      },
      [&](const SendStatement& sent) {
        const auto key = Key("p", host, sent.connection);
        const auto found = m_endpoint_of.find(key);
        if (found == m_endpoint_of.end()) return;
        const auto latency =
            Latency(self.zone, m_endpoints.at(found->second).zone);
        Execute(found->second, key, sent, self.zone, Now() + latency,
                [this, host, latency,
                 id = sent.connection](const StatementResult& result) {
                  AtHost(host, Now() + latency, [this, host, id, result] {
                    RunPool(host, StatementDone{id, result});
                  });
                });
      },
      [&](const CloseConnection& close) {
        const auto key = Key("p", host, close.connection);
        const auto found = m_endpoint_of.find(key);
        if (found == m_endpoint_of.end()) return;
        m_endpoints.at(found->second).connections.erase(key);
        m_endpoint_of.erase(found);
      },
      [&](const EndpointSilence& silence) { RunCore(host, silence); }};
  std::visit(perform, action);
}

// ---- endpoints

void PoolFleet::UseSlot(const EndpointId& id, Duration work,
                        std::function<void()> done) {
  auto& endpoint = m_endpoints.at(id);
  if (endpoint.busy_slots >= m_sizes.slots) {
    endpoint.queue.emplace_back(work, std::move(done));
    return;
  }
  ++endpoint.busy_slots;
  At(Now() + work, [this, id, done = std::move(done)] {
    FreeSlot(id);
    done();
  });
}

void PoolFleet::FreeSlot(const EndpointId& id) {
  auto& endpoint = m_endpoints.at(id);
  --endpoint.busy_slots;
  if (endpoint.queue.empty()) return;
  auto next = std::move(endpoint.queue.front());
  endpoint.queue.pop_front();
  UseSlot(id, next.first, std::move(next.second));
}

void PoolFleet::OpenAtEndpoint(const EndpointId& id,
                               const std::string& connection,
                               const ZoneId& from, Instant when,
                               const std::function<void(bool)>& opened) {
  At(when, [this, id, connection, from, opened] {
    auto& endpoint = m_endpoints.at(id);
    if (endpoint.dark || !Reaches(from, endpoint.zone)) return;
    if (endpoint.connections.size() >= m_sizes.max_connections) {
      return opened(false);
    }
    endpoint.connections[connection] = TxState::kIdle;
    UseSlot(id, kHandshakeTime, [opened] { opened(true); });
  });
}

void PoolFleet::Execute(const EndpointId& id, const std::string& connection,
                        const SendStatement& sent, const ZoneId& from,
                        Instant when,
                        const std::function<void(StatementResult)>& answered) {
  At(when, [this, id, connection, from, verb = sent.statement.verb, answered] {
    auto& endpoint = m_endpoints.at(id);
    const auto found = endpoint.connections.find(connection);
    if (endpoint.dark || found == endpoint.connections.end()) return;
    if (!Reaches(from, endpoint.zone)) return;
    auto& state = found->second;
    if (verb == Verb::kBegin || verb == Verb::kBeginRead) {
      state = TxState::kOpen;
    } else if (verb == Verb::kCommit || verb == Verb::kRollback) {
      state = TxState::kIdle;
    }
    StatementResult result;
    result.text = "-";
    result.state = state;
    result.position = GroupPosition{1, 100};
    const bool is_primary = m_directory.endpoints.at(id).primary;
    const bool writes = verb == Verb::kWrite || verb == Verb::kCommit;
    if ((writes || verb == Verb::kBegin) && !is_primary) {
      result.refusal = Refusal::kReadOnly;
      result.state = TxState::kIdle;
      state = TxState::kIdle;
      return answered(result);
    }
    if (IsAdministrative(verb)) {
      result.rows = {"status " + std::to_string(++m_receipts)};
      return answered(result);
    }
    if (!writes && verb != Verb::kRead) return answered(result);
    result.text = "receipt-" + std::to_string(++m_receipts);
    const Milliseconds work(writes ? 9 : 28);
    UseSlot(id, work, [this, id, from, writes, result, answered] {
      const auto& now = m_endpoints.at(id);
      if (!Reaches(from, now.zone)) return;
      if (now.dark || (writes && now.replication_cut)) return;
      answered(result);
    });
  });
}

}  // namespace tiller::relay
