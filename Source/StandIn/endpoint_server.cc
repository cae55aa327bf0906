// Implementation of the stand-in endpoint.
#include "StandIn/endpoint_server.h"

#include <libpq-fe.h>
#include <poll.h>

#include <algorithm>
#include <sstream>
#include <utility>

#include "Common/json.h"
#include "Common/log.h"
#include "Common/names.h"

namespace tiller::standin {
namespace {

using endpoint::Cell;
using endpoint::StepResult;
using std::chrono::steady_clock;

constexpr std::size_t kMaxPullEntries = 512;
// Longest time for which the primary holds back an empty reply.
constexpr Milliseconds kLongPollTimeout{200};
// Delay before the next pull if none can be made or one failed, and poll
// interval while a pull waits for its reply.
constexpr Milliseconds kPullRetryInterval{100};
constexpr Milliseconds kPullTimeout{1000};
// Entry of the block fault that stops this endpoint's pulls from the primary.
constexpr std::string_view kLogShippingName = "peers";
constexpr std::string_view kPullSql = "SELECT * FROM group_pull($1)";
constexpr std::string_view kFaultSql = "SELECT standin_fault($1, $2)";

std::uint64_t NumberAt(const std::vector<Cell>& cells, std::size_t index) {
  if (index >= cells.size() || !cells[index]) return 0;
  return std::strtoull(cells[index]->c_str(), nullptr, 10);
}

std::string TextAt(const std::vector<Cell>& cells, std::size_t index) {
  return index < cells.size() ? cells[index].value_or("") : "";
}

StepResult SingleRowResult(
    std::vector<std::pair<std::string, std::string>> values) {
  StepResult result;
  result.ok = true;
  result.rows.emplace_back();
  for (auto& [name, value] : values) {
    result.columns.push_back({name, endpoint::ColumnType::kText});
    result.rows.front().emplace_back(std::move(value));
  }
  return result;
}

StepResult RefusalResult(const Error& error) {
  StepResult result;
  result.message = error.detail;
  switch (error.code) {
    case ErrorCode::kNotPrimary:
      result.sqlstate = endpoint::kNotPrimaryState;
      break;
    case ErrorCode::kStaleTerm:
      result.sqlstate = endpoint::kStaleTermState;
      break;
    default:
      result.sqlstate = endpoint::kFencedState;
  }
  return result;
}

Json::Value ToJson(const std::vector<TermStart>& history) {
  Json::Value out(Json::arrayValue);
  for (const auto& start : history) {
    out.append(Json::UInt64(start.term));
    out.append(Json::UInt64(start.previous_end));
  }
  return out;
}

std::vector<TermStart> ParseHistory(const Json::Value& json) {
  std::vector<TermStart> out;
  for (Json::ArrayIndex i = 0; i + 1 < json.size(); i += 2) {
    out.push_back({json[i].asUInt64(), json[i + 1].asUInt64()});
  }
  return out;
}

std::string EncodeReply(const PullReply& reply) {
  Json::Value out;
  out["term"] = Json::UInt64(reply.term);
  out["for_held_term"] = Json::UInt64(reply.for_held_term);
  out["for_received"] = Json::UInt64(reply.for_received);
  out["keep_until"] = Json::UInt64(reply.keep_until);
  out["term_start"] = Json::UInt64(reply.term_start);
  out["barrier"] = Json::UInt64(reply.barrier);
  out["history"] = ToJson(reply.history);
  out["entries"] = Json::Value(Json::arrayValue);
  for (const auto& entry : reply.entries) {
    Json::Value item;
    item["term"] = Json::UInt64(entry.term);
    item["payload"] = entry.payload;
    out["entries"].append(item);
  }
  return ToText(out);
}

PullReply DecodeReply(const Json::Value& json) {
  PullReply reply;
  reply.term = UintOr(json, "term");
  reply.for_held_term = UintOr(json, "for_held_term");
  reply.for_received = UintOr(json, "for_received");
  reply.keep_until = UintOr(json, "keep_until");
  reply.term_start = UintOr(json, "term_start");
  reply.barrier = UintOr(json, "barrier");
  reply.history = ParseHistory(json["history"]);
  for (const auto& item : json["entries"]) {
    reply.entries.push_back({UintOr(item, "term"), StringOr(item, "payload")});
  }
  return reply;
}

// libpq connection to the primary, used for log shipping only. Reconnects when
// the address changes or a call failed.
class PrimaryConnection {
 public:
  ~PrimaryConnection() { Close(); }
  void Close() {
    if (m_connection != nullptr) PQfinish(m_connection);
    m_connection = nullptr;
    m_address.clear();
  }
  std::optional<std::string> SendPull(const std::string& address,
                                      const std::string& name,
                                      const std::string& request) {
    if (address != m_address) {
      Close();
      const auto colon = address.rfind(':');
      m_connection = PQconnectdb(
          ("host=" + address.substr(0, colon) +
           " port=" + address.substr(colon + 1) + " dbname=group user=replica" +
           " sslmode=disable gssencmode=disable connect_timeout=2" +
           " tcp_user_timeout=2000 application_name=" + name)
              .c_str());
      m_address = address;
    }
    const char* value = request.c_str();
    PQsendQueryParams(m_connection, std::string(kPullSql).c_str(), 1, nullptr,
                      &value, nullptr, nullptr, 0);
    std::optional<std::string> out;
    PGresult* result = WaitForResult() ? PQgetResult(m_connection) : nullptr;
    if (PQresultStatus(result) == PGRES_TUPLES_OK && PQntuples(result) == 1) {
      out = PQgetvalue(result, 0, 0);
    }
    PQclear(result);
    if (!out) {
      Close();
    } else {
      while (PGresult* rest = PQgetResult(m_connection)) PQclear(rest);
    }
    return out;
  }

 private:
  // Waits for at most kPullTimeout, so that an unresponsive primary does not
  // block the replica indefinitely.
  bool WaitForResult() {
    const auto deadline = steady_clock::now() + kPullTimeout;
    while (PQconsumeInput(m_connection) == 1 && PQisBusy(m_connection) == 1) {
      if (steady_clock::now() > deadline) return false;
      pollfd descriptor{PQsocket(m_connection), POLLIN, 0};
      poll(&descriptor, 1, static_cast<int>(kPullRetryInterval.count()));
    }
    return PQstatus(m_connection) == CONNECTION_OK;
  }

  PGconn* m_connection = nullptr;
  std::string m_address;
};

}  // namespace

EndpointServer::EndpointServer(EndpointOptions options)
    : m_options(std::move(options)),
      m_store(m_options.folder, m_options.schema),
      m_state_database(m_options.folder + "/meta", {}),
      m_member(m_options.name, m_options.group_size),
      m_last_primary_contact(steady_clock::now()),
      m_lag(m_options.lag),
      m_free_slots(m_options.slots) {
  LoadDurableState();
  m_pull_thread =
      std::jthread([this](const std::stop_token& stop) { PullLoop(stop); });
  m_apply_thread =
      std::jthread([this](const std::stop_token& stop) { ApplyLoop(stop); });
}

EndpointServer::~EndpointServer() {
  m_pull_thread.request_stop();
  m_apply_thread.request_stop();
}

void EndpointServer::LoadDurableState() {
  bool ignored_is_write = false;
  m_state_database.Run(
      "CREATE TABLE IF NOT EXISTS state (id INTEGER PRIMARY KEY, "
      "body TEXT)",
      {}, &ignored_is_write);
  m_state_database.Run(
      "CREATE TABLE IF NOT EXISTS log (position INTEGER PRIMARY KEY, "
      "term INTEGER, payload TEXT)",
      {}, &ignored_is_write);
  GroupMember::DurableState state;
  const auto saved =
      m_state_database.Run("SELECT body FROM state", {}, &ignored_is_write);
  if (!saved.rows.empty()) {
    const auto json = ParseJson(saved.rows[0][0].value_or("{}")).value();
    state.term = UintOr(json, "term");
    state.fence_term = UintOr(json, "fence_term");
    state.fence_owner = StringOr(json, "fence_owner");
    state.followed_term = UintOr(json, "following");
    state.primary_address = StringOr(json, "primary_address");
    state.discarded = UintOr(json, "discarded");
    state.history = ParseHistory(json["history"]);
  }
  const auto log = m_state_database.Run(
      "SELECT term, payload FROM log ORDER BY position", {}, &ignored_is_write);
  for (const auto& row : log.rows) {
    state.log.push_back({NumberAt(row, 0), TextAt(row, 1)});
  }
  m_member.Restore(std::move(state));
  RebuildStorage(m_member.Received());
}

void EndpointServer::SaveDurableState() {
  const auto& state = m_member.State();
  Json::Value json;
  json["term"] = Json::UInt64(state.term);
  json["fence_term"] = Json::UInt64(state.fence_term);
  json["fence_owner"] = state.fence_owner;
  json["following"] = Json::UInt64(state.followed_term);
  json["primary_address"] = state.primary_address;
  json["discarded"] = Json::UInt64(state.discarded);
  json["history"] = ToJson(state.history);
  bool ignored_is_write = false;
  m_state_database.Run(
      "INSERT INTO state (id, body) VALUES (1, $1) "
      "ON CONFLICT (id) DO UPDATE SET body = $1",
      {ToText(json)}, &ignored_is_write);
}

void EndpointServer::SaveEntries(LogPosition first_index) {
  bool ignored_is_write = false;
  const auto& log = m_member.State().log;
  for (LogPosition entry_index = first_index; entry_index < log.size();
       ++entry_index) {
    m_state_database.Run(
        "INSERT OR REPLACE INTO log VALUES ($1, $2, $3)",
        {std::to_string(entry_index + 1), std::to_string(log[entry_index].term),
         log[entry_index].payload},
        &ignored_is_write);
  }
}

void EndpointServer::TruncateSavedEntries(LogPosition keep_until) {
  bool ignored_is_write = false;
  m_state_database.Run("DELETE FROM log WHERE position > CAST($1 AS INTEGER)",
                       {std::to_string(keep_until)}, &ignored_is_write);
}

void EndpointServer::RebuildStorage(LogPosition until) {
  m_apply_handles.clear();
  m_pending_entries.clear();
  m_store.RemoveAll();
  ++m_storage_generation;
  m_applied = 0;
  const auto& log = m_member.State().log;
  for (LogPosition entry_index = 0; entry_index < until; ++entry_index)
    ApplyEntry(log[entry_index].payload);
  m_applied = until;
}

void EndpointServer::ApplyEntry(const std::string& payload) {
  const auto decoded = DecodeTransaction(payload);
  if (!decoded) return;
  const auto& transaction = decoded.value();
  auto& handle = m_apply_handles[transaction.workspace];
  if (!handle) handle = m_store.Open(transaction.workspace);
  bool ignored_is_write = false;
  handle->Run("BEGIN IMMEDIATE", {}, &ignored_is_write);
  for (const auto& statement : transaction.statements) {
    handle->Run(statement.sql, statement.parameters, &ignored_is_write);
  }
  handle->Run("COMMIT", {}, &ignored_is_write);
}

Result<void> EndpointServer::CommitWrites(
    SqlHandle* handle, Term term, const LoggedTransaction& transaction) {
  const std::scoped_lock lock(m_mutex);
  bool ignored_is_write = false;
  const auto expected = m_member.CheckPrimary(term);
  if (!expected) {
    handle->Run("ROLLBACK", {}, &ignored_is_write);
    return expected.error();
  }
  const auto received_before = m_member.Received();
  m_member.Append(EncodeTransaction(transaction));
  SaveEntries(received_before);
  handle->Run("COMMIT", {}, &ignored_is_write);
  m_applied = m_member.Received();
  m_changed.notify_all();
  return Success();
}

Result<Term> EndpointServer::PrimaryTerm() const {
  const std::scoped_lock lock(m_mutex);
  if (!m_member.IsPrimary()) {
    return MakeError(ErrorCode::kNotPrimary, "not the primary");
  }
  return m_member.State().term;
}

std::unique_ptr<SqlHandle> EndpointServer::OpenHandle(
    const WorkspaceId& workspace) const {
  return m_store.Open(workspace);
}

bool EndpointServer::AdmitConnection() {
  if (++m_connections <= m_options.max_connections) return true;
  --m_connections;
  return false;
}

bool EndpointServer::IsUnresponsive(const std::string& peer,
                                    std::uint64_t connection) const {
  if (m_faults.frozen || connection < m_faults.first_live_connection)
    return true;
  return std::any_of(
      m_faults.blocked_prefixes.begin(), m_faults.blocked_prefixes.end(),
      [&](const auto& prefix) { return peer.rfind(prefix, 0) == 0; });
}

void EndpointServer::WaitWhileUnresponsive(const std::string& peer,
                                           std::uint64_t connection) {
  std::unique_lock lock(m_mutex);
  m_changed.wait(lock, [&] { return !IsUnresponsive(peer, connection); });
}

bool EndpointServer::IsConnectionLost(std::uint64_t connection) const {
  const std::scoped_lock lock(m_mutex);
  return connection < m_faults.first_live_connection;
}

void EndpointServer::AcquireSlot() {
  std::unique_lock lock(m_mutex);
  m_changed.wait(lock, [this] { return m_free_slots > 0; });
  --m_free_slots;
}

void EndpointServer::ReleaseSlot() {
  const std::scoped_lock lock(m_mutex);
  ++m_free_slots;
  m_changed.notify_all();
}

StepResult EndpointServer::StatusResult() const {
  const auto& state = m_member.State();
  const auto primary_silence = std::chrono::duration_cast<Milliseconds>(
      steady_clock::now() - m_last_primary_contact);
  return SingleRowResult(
      {{"role", std::string(NameOf(endpoint::kRoleNames, m_member.Role()))},
       {"term", std::to_string(state.term)},
       {"applied", std::to_string(m_applied)},
       {"received", std::to_string(m_member.Received())},
       {"fence_term", std::to_string(state.fence_term)},
       {"fence_owner", state.fence_owner},
       {"silence_ms",
        std::to_string(m_member.IsPrimary() ? 0 : primary_silence.count())}});
}

StepResult EndpointServer::Confirm(Milliseconds timeout) {
  std::unique_lock lock(m_mutex);
  const auto position = m_member.Received();
  const auto term = m_member.State().term;
  const auto barrier = m_member.StartBarrier();
  m_changed.notify_all();
  const auto finished = [&] {
    return !m_member.IsPrimary() || m_member.State().term != term ||
           m_member.IsConfirmed(position, barrier);
  };
  m_changed.wait_for(lock, timeout, finished);
  const bool confirmed =
      m_member.State().term == term && m_member.IsConfirmed(position, barrier);
  return SingleRowResult({{"confirmed", confirmed ? "t" : "f"},
                          {"term", std::to_string(term)},
                          {"position", std::to_string(position)}});
}

StepResult EndpointServer::ServePull(const std::vector<Cell>& parameters) {
  const auto json = ParseJson(TextAt(parameters, 0));
  if (!json) return RefusalResult(json.error());
  const auto& body = json.value();
  const PullRequest request{StringOr(body, "replica"),
                            UintOr(body, "following"),
                            UintOr(body, "held_term"), UintOr(body, "received"),
                            UintOr(body, "barrier")};
  std::unique_lock lock(m_mutex);
  auto reply = m_member.HandlePull(request, kMaxPullEntries);
  m_changed.notify_all();
  // Long poll: waits for a change that the replica has not received yet.
  m_changed.wait_for(lock, kLongPollTimeout, [&] {
    reply = m_member.HandlePull(request, kMaxPullEntries);
    return !reply || !reply.value().entries.empty() ||
           reply.value().barrier != request.barrier ||
           reply.value().keep_until != request.received ||
           request.held_term != reply.value().term;
  });
  if (!reply) return RefusalResult(reply.error());
  return SingleRowResult({{"reply", EncodeReply(reply.value())}});
}

StepResult EndpointServer::SetFault(const std::string& kind,
                                    const std::string& value) {
  const std::scoped_lock lock(m_mutex);
  if (kind == "freeze") {
    m_faults.frozen = value == "on";
  } else if (kind == "lag_ms") {
    m_lag = Milliseconds(std::strtoull(value.c_str(), nullptr, 10));
  } else if (kind == "silent_connections") {
    m_faults.first_live_connection = m_last_connection_number;
  } else if (kind == "block") {
    m_faults.blocked_prefixes.clear();
    std::istringstream names(value);
    for (std::string name; std::getline(names, name, ',');) {
      m_faults.blocked_prefixes.push_back(name);
    }
  } else {
    return RefusalResult(
        MakeError(ErrorCode::kNotFound, "unknown fault " + kind));
  }
  m_changed.notify_all();
  log::Event(log::Channel::kEndpoint, log::Level::kWarn, "fault_set",
             {{"endpoint", m_options.name}, {"kind", kind}, {"value", value}});
  return SingleRowResult({{"standin_fault", "ok"}});
}

template <typename Operation>
StepResult EndpointServer::UpdateMember(Operation operation) {
  const std::scoped_lock lock(m_mutex);
  const Result<void> changed = operation();
  if (!changed) return RefusalResult(changed.error());
  SaveDurableState();
  if (m_member.IsPrimary() && m_applied < m_member.Received()) {
    const auto& log = m_member.State().log;
    for (; m_applied < log.size(); ++m_applied) {
      ApplyEntry(log[m_applied].payload);
    }
    m_pending_entries.clear();
  }
  m_changed.notify_all();
  return StatusResult();
}

std::optional<StepResult> EndpointServer::RunGroupCall(
    const std::string& sql, const std::vector<Cell>& parameters) {
  const Term term = NumberAt(parameters, 0);
  if (sql == endpoint::kStatusSql) {
    const std::scoped_lock lock(m_mutex);
    return StatusResult();
  }
  // The first parameter of a confirmation is its timeout, not a term.
  if (sql == endpoint::kConfirmSql) return Confirm(Milliseconds(term));
  if (sql == kPullSql) return ServePull(parameters);
  if (sql == kFaultSql) {
    return SetFault(TextAt(parameters, 0), TextAt(parameters, 1));
  }
  if (sql == endpoint::kExpectSql) {
    const std::scoped_lock lock(m_mutex);
    const auto expected = m_member.CheckPrimary(term);
    return expected ? SingleRowResult({{"group_expect", "t"}})
                    : RefusalResult(expected.error());
  }
  const std::string owner = TextAt(parameters, 1);
  if (sql == endpoint::kFenceSql) {
    return UpdateMember([&] { return m_member.Fence(term, owner); });
  }
  if (sql == endpoint::kPromoteSql) {
    return UpdateMember([&] { return m_member.Promote(term, owner); });
  }
  if (sql == endpoint::kFollowSql) {
    return UpdateMember([&] {
      m_last_primary_contact = steady_clock::now();
      return m_member.Follow(term, owner, TextAt(parameters, 2));
    });
  }
  return std::nullopt;
}

void EndpointServer::ApplyPullReply(const PullReply& reply) {
  const auto received_before = m_member.Received();
  const auto term_before = m_member.State().term;
  const auto truncated_to = m_member.ApplyPull(reply);
  if (!truncated_to) return;
  m_last_primary_contact = steady_clock::now();
  const auto kept_until = truncated_to.value().value_or(received_before);
  if (truncated_to.value()) {
    log::Event(log::Channel::kEndpoint, log::Level::kWarn, "tail_discarded",
               {{"endpoint", m_options.name},
                {"entries", std::to_string(received_before - kept_until)}});
    TruncateSavedEntries(kept_until);
    if (m_applied > kept_until) RebuildStorage(kept_until);
    std::erase_if(m_pending_entries,
                  [&](const auto& item) { return item.position > kept_until; });
  }
  SaveEntries(kept_until);
  if (m_member.State().term != term_before || truncated_to.value())
    SaveDurableState();
  const auto apply_at = m_last_primary_contact + m_lag;
  for (auto entry_position = kept_until + 1;
       entry_position <= m_member.Received(); ++entry_position) {
    m_pending_entries.push_back({entry_position, apply_at});
  }
  m_changed.notify_all();
}

void EndpointServer::PullLoop(const std::stop_token& stop) {
  PrimaryConnection primary;
  while (!stop.stop_requested()) {
    std::unique_lock lock(m_mutex);
    const auto request = m_member.MakePull();
    const auto address = m_member.State().primary_address;
    if (m_member.IsPrimary() || address.empty() || m_faults.frozen ||
        m_member.State().fence_term > request.followed_term ||
        std::count(m_faults.blocked_prefixes.begin(),
                   m_faults.blocked_prefixes.end(), kLogShippingName) > 0) {
      m_changed.wait_for(lock, stop, kPullRetryInterval, [] { return false; });
      continue;
    }
    lock.unlock();
    Json::Value body;
    body["replica"] = request.replica;
    body["following"] = Json::UInt64(request.followed_term);
    body["held_term"] = Json::UInt64(request.held_term);
    body["received"] = Json::UInt64(request.received);
    body["barrier"] = Json::UInt64(request.barrier);
    const auto text = primary.SendPull(address, m_options.name, ToText(body));
    lock.lock();
    if (!text) {
      m_changed.wait_for(lock, stop, kPullRetryInterval, [] { return false; });
      continue;
    }
    const auto json = ParseJson(*text);
    if (json && !IsUnresponsive({}, UINT64_MAX))
      ApplyPullReply(DecodeReply(json.value()));
  }
}

void EndpointServer::ApplyLoop(const std::stop_token& stop) {
  std::unique_lock lock(m_mutex);
  while (!stop.stop_requested()) {
    const auto now = steady_clock::now();
    if (m_pending_entries.empty()) {
      m_changed.wait(lock, stop, [this] { return !m_pending_entries.empty(); });
      continue;
    }
    if (m_pending_entries.front().apply_at > now) {
      m_changed.wait_until(lock, stop, m_pending_entries.front().apply_at,
                           [] { return false; });
      continue;
    }
    const auto position = m_pending_entries.front().position;
    m_pending_entries.pop_front();
    if (position != m_applied + 1) continue;
    ApplyEntry(m_member.State().log[position - 1].payload);
    m_applied = position;
    m_changed.notify_all();
  }
}

}  // namespace tiller::standin
