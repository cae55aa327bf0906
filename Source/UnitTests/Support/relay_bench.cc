// Implementation of the relay's test bench.
#include "UnitTests/Support/relay_bench.h"

#include <algorithm>
#include <utility>

namespace tiller::relay {

bool IsToken(const std::string& text) {
  return !text.empty() && text.size() <= 64 && text != "-" &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

RelayBench::RelayBench(bool load_management)
    : core({"h1", "z1", std::chrono::seconds(5), 0, 0, load_management}, &clock,
           &random, &counters) {
  limits::SeatView seats;
  seats.holders = {"h1"};
  seats.zones = {"z1"};
  seats.held = {0};
  seats.valid_until = clock.Now() + std::chrono::hours(1);
  core.Handle(SeatsChanged{seats});
  Publish(MakeDirectory());
  Tick(std::chrono::seconds(5));
  CompleteInternal();
}

Directory RelayBench::MakeDirectory() const {
  Directory out;
  out.version = 1;
  const auto add = [&](const std::string& name, RouteKind kind) {
    Route route;
    route.name = name;
    route.database = name;
    route.kind = kind;
    route.group = "g";
    route.statement_timeout = Milliseconds(800);
    route.target_latency = Milliseconds(200);
    route.max_staleness = Milliseconds(1500);
    out.routes[name] = route;
  };
  add("strict", RouteKind::kPrimary);
  add("bounded", RouteKind::kBoundedStaleness);
  add("own", RouteKind::kReadYourWrites);
  out.keys = {{"k1", "w1"}, {"k2", "w2"}};
  out.workspaces["w1"] = {"w1", 1000, 1000};
  out.workspaces["w2"] = {"w2", 1000, 1000};
  out.groups["g"] = {"g", 8, "p"};
  const auto endpoint = [&](const char* id, const char* zone, bool primary) {
    out.endpoints[id] = {id, "g", std::string(id) + ":1", zone, primary, false,
                         3,  1};
  };
  endpoint("p", "z1", true);
  endpoint("r1", "z1", false);
  endpoint("r2", "z2", false);
  return out;
}

void RelayBench::Publish(const Directory& directory) {
  Handle(DirectoryChanged{std::make_shared<const Directory>(directory)});
}

SessionId RelayBench::Open(const std::string& database,
                           const std::string& key) {
  const auto id = m_next_session++;
  Handle(SessionOpened{id, database, key, {}, {}});
  return id;
}

void RelayBench::Submit(SessionId session, Verb verb, const std::string& text,
                        const std::string& name, const std::string& argument) {
  Handle(StatementReceived{session,
                           "q" + std::to_string(m_next_request++),
                           {verb, text, name, argument},
                           {},
                           0,
                           {}});
}

void RelayBench::Tick(Milliseconds by) {
  clock.Advance(by);
  Handle(TimerFired{});
}

void RelayBench::Handle(const Event& event) {
  core.Handle(event);
  HandleActions();
}

void RelayBench::HandleActions() {
  if (m_handling_actions) return;
  m_handling_actions = true;
  for (auto actions = core.TakeActions(); !actions.empty();
       actions = core.TakeActions()) {
    for (const auto& action : actions) HandleAction(action);
  }
  m_handling_actions = false;
}

void RelayBench::HandleAction(const Action& action) {
  if (const auto* reply = std::get_if<Reply>(&action)) {
    m_answers[reply->session].push_back(reply->result);
  } else if (const auto* open = std::get_if<OpenConnection>(&action)) {
    if (unresponsive) return;
    if (refuse_connections ||
        OpenConnectionsAt(open->endpoint) >= endpoint_limit) {
      core.Handle(ConnectionRefused{open->connection, connection_refusal, ""});
      return;
    }
    m_connections[open->connection] = {open->endpoint, open->workspace,
                                       open->address};
    core.Handle(ConnectionOpened{open->connection, log_position});
  } else if (const auto* send = std::get_if<SendStatement>(&action)) {
    const auto& opened = m_connections.at(send->connection);
    m_pending.push_back(
        {*send, opened.endpoint, opened.workspace, opened.address});
  } else if (const auto* close = std::get_if<CloseConnection>(&action)) {
    m_connections.erase(close->connection);
    std::erase_if(m_pending, [&](const Pending& pending) {
      return pending.statement.connection == close->connection;
    });
  } else if (const auto* end = std::get_if<CloseSession>(&action)) {
    closed.push_back(end->session);
  } else if (const auto* reject = std::get_if<RejectSession>(&action)) {
    rejected.push_back(reject->session);
  } else if (const auto* done = std::get_if<AdminDone>(&action)) {
    admin.push_back(*done);
  } else if (const auto* primary_health = std::get_if<PrimaryHealth>(&action)) {
    health.push_back(*primary_health);
  } else if (const auto* hold = std::get_if<CommitsHeld>(&action)) {
    held.push_back(*hold);
  } else if (const auto* reachability = std::get_if<Reachability>(&action)) {
    cut_off = reachability->cut_off;
  }
}

std::optional<RelayBench::Pending> RelayBench::NextPendingAt(
    const EndpointId& endpoint) const {
  for (const auto& pending : m_pending) {
    if (pending.endpoint == endpoint) return pending;
  }
  return std::nullopt;
}

void RelayBench::Complete(const Pending& pending, const std::string& receipt,
                          std::optional<GroupPosition> position) {
  const auto connection = m_connections.find(pending.statement.connection);
  if (connection == m_connections.end()) return;
  auto& state = connection->second.state;
  const auto verb = pending.statement.statement.verb;
  if (verb == Verb::kBegin || verb == Verb::kBeginRead) state = TxState::kOpen;
  if (verb == Verb::kCommit || verb == Verb::kRollback) state = TxState::kIdle;
  StatementResult result;
  result.text = "-";
  const bool has_receipt = verb == Verb::kRead || verb == Verb::kWrite ||
                           verb == Verb::kExecute || verb == Verb::kCommit;
  if (has_receipt) {
    result.text = receipt;
    if (receipt.empty() || !m_receipts.insert(receipt).second) {
      result.text = receipt + "-" + std::to_string(m_receipts.size());
      m_receipts.insert(result.text);
    }
  }
  if (IsAdministrative(verb)) {
    result.rows = {"status " + std::to_string(++m_statuses)};
  }
  result.state = state;
  result.position = position.value_or(log_position);
  Handle(StatementDone{pending.statement.connection, result});
}

void RelayBench::CompleteNext(const std::string& receipt,
                              std::optional<GroupPosition> position) {
  const auto pending = m_pending.front();
  m_pending.erase(m_pending.begin());
  Complete(pending, receipt, position);
}

void RelayBench::Refuse(Refusal refusal, TxState state) {
  const auto pending = m_pending.front();
  m_pending.erase(m_pending.begin());
  StatementResult result;
  result.refusal = refusal;
  result.state = state;
  result.position = log_position;
  Handle(StatementDone{pending.statement.connection, result});
}

void RelayBench::RefuseByPool(Refusal refusal) {
  const auto pending = m_pending.front();
  m_pending.erase(m_pending.begin());
  StatementResult result;
  result.refusal = refusal;
  Handle(StatementDone{pending.statement.connection, result});
}

void RelayBench::CompleteInternal() {
  while (!m_pending.empty() && m_pending.front().statement.id.empty()) {
    CompleteNext();
  }
}

void RelayBench::DropNextConnection() {
  const auto id = m_pending.front().statement.connection;
  m_connections.erase(id);
  std::erase_if(m_pending, [&](const Pending& pending) {
    return pending.statement.connection == id;
  });
  Handle(ConnectionLost{id, "reset"});
}

bool RelayBench::RecordWatermark() {
  const auto session = Open("own");
  Submit(session, Verb::kWrite, "WRITE x 1");
  CompleteInternal();
  log_position.position += 1;
  CompleteNext("receipt");
  const auto answer = TakeAnswer(session);
  Handle(SessionClosed{session});
  return answer && answer->Ok();
}

void RelayBench::UseSharedPools() {
  limits::SeatView seats;
  for (int i = 0; i < 24; ++i) {
    seats.holders.push_back("h" + std::to_string(i + 1));
    seats.zones.push_back("z1");
    seats.pool_addresses.push_back("h" + std::to_string(i + 1) + ":8");
  }
  seats.held = {0};
  seats.valid_until = clock.Now() + std::chrono::hours(1);
  Handle(SeatsChanged{seats});
  Tick(std::chrono::seconds(3));
  CompleteInternal();
}

std::optional<StatementResult> RelayBench::TakeAnswer(SessionId session) {
  auto& answers = m_answers[session];
  if (answers.empty()) return std::nullopt;
  auto out = answers.front();
  answers.erase(answers.begin());
  return out;
}

std::size_t RelayBench::OpenConnectionsAt(const EndpointId& endpoint) const {
  return static_cast<std::size_t>(std::count_if(
      m_connections.begin(), m_connections.end(),
      [&](const auto& item) { return item.second.endpoint == endpoint; }));
}

}  // namespace tiller::relay
