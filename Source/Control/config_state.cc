// Implementation of the distribution and acceptance of configurations.
#include "Control/config_state.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "Common/crypto.h"
#include "Common/json.h"

namespace tiller::control {
namespace {

constexpr std::string_view kTable = "config";
// The head row contains the newest accepted version and the name of the object
// that stores the configuration. Writing it accepts a change.
constexpr std::string_view kHeadKey = "head";
constexpr Milliseconds kQueryInterval{1'000};
constexpr std::size_t kMaxBootstrapQueries = 3;
// An outage vote counts for this long after its query was sent. Fleets are
// small enough to query every seat holder for its vote.
constexpr Milliseconds kOutageVoteLifetime{3'000};
// Longer than kOutageVoteLifetime, so that an outage vote given before a
// prepare message has expired when the change is accepted.
constexpr Milliseconds kPrepareHoldTime{10'000};
constexpr Milliseconds kPrepareRetryInterval{300};
constexpr Milliseconds kProposalTimeout{8'000};
constexpr Milliseconds kPlatformUnreachableAfter{3'000};
constexpr int kMaxConflicts = 5;
constexpr std::size_t kMaxPendingQueries = 4096;

}  // namespace

Instant ConfigState::KeysValidUntil() const {
  if (!m_current || !m_config_confirmed_at) return Instant{};
  const auto& options = m_context->Options();
  auto until = *m_config_confirmed_at + options.key_grace;
  if (MajorityReportsOutage()) {
    until = std::max(until,
                     std::min(m_context->Now() + kOutageVoteLifetime,
                              *m_config_confirmed_at + options.outage_grace));
  }
  return until;
}

bool ConfigState::PlatformReachable() const {
  return m_last_platform_answer &&
         m_context->Now() - *m_last_platform_answer < kPlatformUnreachableAfter;
}

bool ConfigState::MajorityReportsOutage() const {
  const auto now = m_context->Now();
  if (PlatformReachable() || now < m_no_outage_report_until || m_proposal) {
    return false;
  }
  const auto own_votes = m_quorum->VotingSeats();
  std::set<int> confirming_seats(own_votes.begin(), own_votes.end());
  for (const auto& [host, vote] : m_outage_votes) {
    if (!vote.outage || now - vote.query_sent >= kOutageVoteLifetime) continue;
    confirming_seats.insert(vote.seats.begin(), vote.seats.end());
  }
  return m_quorum->IsMajority(confirming_seats);
}

bool ConfigState::MajorityPrepared() const {
  // Before the first configuration there are no keys that could be withdrawn.
  if (!m_current) return true;
  const auto own_votes = m_quorum->VotingSeats();
  std::set<int> seats(own_votes.begin(), own_votes.end());
  for (const auto& [host, votes] : m_proposal->prepared) {
    seats.insert(votes.begin(), votes.end());
  }
  return m_quorum->IsMajority(seats);
}

void ConfigState::Confirm(Instant since) {
  m_config_confirmed_at =
      std::max(m_config_confirmed_at.value_or(Instant{}), since);
}

void ConfigState::Adopt(const Json::Value& json) {
  const auto version = UintOr(json, "version");
  if (version <= Version()) return;
  auto checked = config::CheckConfig(json);
  if (!checked.problems.empty()) {
    m_context->Stats()->Add("config_refused");
    m_context->Log(log::Channel::kConfig, log::Level::kError, "config_refused",
                   {{"version", std::to_string(version)},
                    {"problems", config::Describe(checked.problems)}});
    return;
  }
  m_current = std::make_shared<const config::Config>(std::move(checked.config));
  m_current_json = json;
  m_changed = true;
  m_next_poll = Instant{};
  m_context->Log(log::Channel::kConfig, log::Level::kInfo, "config_adopted",
                 {{"version", std::to_string(version)}});
}

void ConfigState::Tick() {
  const auto now = m_context->Now();
  if (now >= m_next_poll && !m_head_call) PollHead();
  // Peers are queried while the platform does not answer, or while this host
  // has no configuration yet.
  if (now >= m_next_query && (!PlatformReachable() || !m_current)) QueryPeers();
  if (m_proposal && m_proposal->stage == Stage::kPreparing &&
      now >= m_proposal->next_prepare) {
    ContinuePrepare();
  }
  if (m_proposal && now - m_proposal->started > kProposalTimeout) {
    const bool outcome_unknown = m_proposal->stage == Stage::kCommitting;
    Fail(MakeError(
        ErrorCode::kTimeout, "the change was not accepted in time",
        outcome_unknown ? RunOutcome::kUnknown : RunOutcome::kNotRun));
  }
}

void ConfigState::PollHead() {
  const auto now = m_context->Now();
  m_next_poll =
      now + m_context->Options().config_poll / 2 +
      Milliseconds(m_context->Rng()->UniformBelow(static_cast<std::uint64_t>(
          m_context->Options().config_poll.count())));
  m_head_sent = now;
  m_head_call = m_context->Call(
      platform::ReadRow{std::string(kTable), std::string(kHeadKey)});
}

bool ConfigState::Handle(const PlatformAnswered& answered) {
  const bool replied = answered.answer ||
                       answered.answer.error().code == ErrorCode::kNotFound ||
                       answered.answer.error().code == ErrorCode::kConflict;
  if (replied) m_last_platform_answer = m_context->Now();
  if (m_head_call && answered.id == *m_head_call) {
    m_head_call.reset();
    if (answered.answer) OnHead(answered.answer.value(), m_head_sent);
    return true;
  }
  if (m_object_call && answered.id == *m_object_call) {
    m_object_call.reset();
    if (!answered.answer) return true;
    const auto json = ParseJson(answered.answer.value().body);
    if (json) Adopt(json.value());
    if (Version() == m_object_version) Confirm(m_object_head_sent);
    return true;
  }
  if (m_proposal && answered.id == m_proposal->call) {
    OnProposalAnswer(answered);
    return true;
  }
  return false;
}

void ConfigState::OnHead(const platform::Answer& answer, Instant sent) {
  const auto& value = answer.rows.front().value;
  const auto version = UintOr(value, "version");
  // A stale read returns an older version: it neither confirms the current one
  // nor replaces it.
  if (version == Version()) Confirm(sent);
  if (version <= Version() || m_object_call) return;
  m_object_version = version;
  m_object_head_sent = sent;
  m_object_call =
      m_context->Call(platform::GetObject{StringOr(value, "object")});
}

void ConfigState::QueryPeers() {
  const auto now = m_context->Now();
  m_next_query = now + kQueryInterval;
  std::erase_if(m_pending_queries, [&](const auto& item) {
    return now - item.second.sent > kOutageVoteLifetime;
  });
  auto rows = m_members->Live();
  // Confirming an outage takes the votes of a majority of the seats, so every
  // peer is queried. A first configuration can be found by querying a few.
  const bool query_all = m_current != nullptr;
  while (!query_all && rows.size() > kMaxBootstrapQueries) {
    rows.erase(rows.begin() + static_cast<std::ptrdiff_t>(
                                  m_context->Rng()->UniformBelow(rows.size())));
  }
  for (const auto& row : rows) {
    if (m_pending_queries.size() >= kMaxPendingQueries) break;
    const auto nonce = m_context->NextId();
    m_pending_queries[nonce] = {row.record.host, now};
    m_context->Send(row.record.address, peer::ConfigQuery{nonce});
  }
}

void ConfigState::Handle(const HostId& from, const peer::ConfigQuery& message) {
  const auto address = m_members->AddressOf(from);
  if (address.empty()) return;
  const auto now = m_context->Now();
  constexpr Milliseconds kNeverConfirmed{1'000'000'000};
  const auto age =
      m_config_confirmed_at
          ? std::chrono::ceil<Milliseconds>(now - *m_config_confirmed_at)
          : kNeverConfirmed;
  const bool prepared =
      now < m_no_outage_report_until || m_proposal || PlatformReachable();
  m_context->Send(address,
                  peer::ConfigAnswer{message.nonce, Version(), age, prepared,
                                     m_quorum->VotingSeats()});
}

void ConfigState::Handle(const HostId& from,
                         const peer::ConfigAnswer& message) {
  const auto query = m_pending_queries.find(message.nonce);
  if (query == m_pending_queries.end() || query->second.host != from) return;
  const auto sent = query->second.sent;
  m_pending_queries.erase(query);
  // The peer computed the age after the query was sent. Subtracting it from the
  // time of sending therefore never gives too late a time.
  if (message.version <= Version() && m_current) {
    Confirm(sent - message.confirmed_age);
  }
  if (message.version > Version()) {
    m_context->Send(m_members->AddressOf(from), peer::ConfigFetch{});
  }
  m_outage_votes[from] = {
      sent, !message.change_prepared && message.version <= Version(),
      message.seats};
}

void ConfigState::Handle(const HostId& from, const peer::ConfigFetch&) {
  const auto address = m_members->AddressOf(from);
  if (address.empty() || !m_current) return;
  m_context->Send(address, peer::ConfigBody{m_current_json});
}

void ConfigState::Handle(const peer::ConfigBody& message) {
  Adopt(message.config);
}

void ConfigState::Handle(const HostId& from,
                         const peer::ConfigPrepare& message) {
  const auto address = m_members->AddressOf(from);
  if (address.empty()) return;
  m_no_outage_report_until =
      std::max(m_no_outage_report_until, m_context->Now() + kPrepareHoldTime);
  m_context->Send(address,
                  peer::ConfigPrepared{message.nonce, m_quorum->VotingSeats()});
}

void ConfigState::Handle(const HostId& from,
                         const peer::ConfigPrepared& message) {
  if (!m_proposal || m_proposal->stage != Stage::kPreparing ||
      message.nonce != m_proposal->nonce) {
    return;
  }
  m_proposal->prepared[from] = message.seats;
  if (MajorityPrepared()) ReadHead();
}

void ConfigState::Propose(CallId ticket, ConfigEdit edit,
                          std::optional<config::ConfigVersion> expected) {
  Proposal proposal;
  proposal.ticket = ticket;
  proposal.edit = std::move(edit);
  proposal.expected = expected;
  proposal.started = m_context->Now();
  if (m_proposal) {
    m_waiting_proposals.push_back(std::move(proposal));
    return;
  }
  m_proposal = std::move(proposal);
  StartPrepare();
}

void ConfigState::StartPrepare() {
  auto& proposal = *m_proposal;
  proposal.started = m_context->Now();
  proposal.nonce = m_context->NextId();
  proposal.prepared.clear();
  ContinuePrepare();
}

// Repeated until a majority has answered, because messages may be lost and the
// seat holders may change in the meantime.
void ConfigState::ContinuePrepare() {
  auto& proposal = *m_proposal;
  proposal.next_prepare = m_context->Now() + kPrepareRetryInterval;
  if (MajorityPrepared()) return ReadHead();
  for (const auto& row : m_members->Live()) {
    m_context->Send(row.record.address, peer::ConfigPrepare{proposal.nonce});
  }
}

void ConfigState::ReadHead() {
  m_proposal->stage = Stage::kReadingHead;
  m_proposal->call = m_context->Call(
      platform::ReadRow{std::string(kTable), std::string(kHeadKey)});
}

void ConfigState::OnProposalAnswer(const PlatformAnswered& answered) {
  switch (m_proposal->stage) {
    case Stage::kReadingHead:
      return OnProposalHead(answered.answer);
    case Stage::kWritingObject:
      // The object's name is unique to its body, so the write can be repeated
      // safely if its answer was lost.
      if (answered.answer) return CommitHead();
      m_proposal->call = m_context->Call(
          platform::PutObject{m_proposal->object, m_proposal->body});
      return;
    case Stage::kCommitting:
      return OnCommitted(answered.answer);
    case Stage::kPreparing:
      return;
  }
}

void ConfigState::OnProposalHead(const Result<platform::Answer>& answer) {
  auto& proposal = *m_proposal;
  const bool empty = !answer && answer.error().code == ErrorCode::kNotFound;
  if (!answer && !empty) return Fail(answer.error());
  proposal.head_row_version = empty ? 0 : answer.value().rows.front().version;
  const auto version =
      empty ? 0 : UintOr(answer.value().rows.front().value, "version");
  if (proposal.next && version == proposal.next->version && !empty &&
      StringOr(answer.value().rows.front().value, "object") ==
          proposal.object) {
    // The commit took effect although its answer was lost.
    return OnCommitted(platform::Answer{});
  }
  if (version != Version()) {
    // This host is behind the newest version: fetch it, then retry.
    if (!m_current) {
      return Fail(MakeError(ErrorCode::kConflict,
                            "this host has no configuration yet"));
    }
    if (++proposal.conflicts > kMaxConflicts || version < Version()) {
      return Fail(MakeError(ErrorCode::kConflict, "another change came first"));
    }
    OnHead(answer.value(), proposal.started);
    return ReadHead();
  }
  BuildNext(m_current ? *m_current : config::Config{});
}

void ConfigState::BuildNext(const config::Config& base) {
  auto& proposal = *m_proposal;
  if (proposal.expected && *proposal.expected != base.version) {
    return Fail(MakeError(ErrorCode::kConflict,
                          "based on version " +
                              std::to_string(*proposal.expected) +
                              ", in force is " + std::to_string(base.version)));
  }
  auto next = base;
  const auto edited = proposal.edit(&next);
  if (!edited) return Fail(edited.error());
  next.version = base.version + 1;
  const auto json = config::ToJson(next);
  auto checked = config::CheckConfig(json);
  if (!checked.problems.empty()) {
    return Fail(MakeError(ErrorCode::kConfigInvalid,
                          config::Describe(checked.problems)));
  }
  proposal.next =
      std::make_shared<const config::Config>(std::move(checked.config));
  proposal.body = ToText(json);
  proposal.object = "config-" + std::to_string(next.version) + "-" +
                    Sha256Hex(proposal.body).substr(0, 16);
  proposal.stage = Stage::kWritingObject;
  proposal.call =
      m_context->Call(platform::PutObject{proposal.object, proposal.body});
}

void ConfigState::CommitHead() {
  auto& proposal = *m_proposal;
  proposal.stage = Stage::kCommitting;
  Json::Value value;
  value["version"] = Json::UInt64(proposal.next->version);
  value["object"] = proposal.object;
  platform::CommitRows commit;
  commit.writes.push_back({std::string(kTable), std::string(kHeadKey),
                           proposal.head_row_version, value});
  proposal.call = m_context->Call(std::move(commit));
}

void ConfigState::OnCommitted(const Result<platform::Answer>& answer) {
  auto& proposal = *m_proposal;
  if (!answer && answer.error().code == ErrorCode::kConflict) {
    // Another change was committed first. An edit without an expected version
    // is applied again to the new configuration.
    if (proposal.expected || ++proposal.conflicts > kMaxConflicts) {
      return Fail(answer.error());
    }
    return ReadHead();
  }
  if (!answer) return ReadHead();
  const auto ticket = proposal.ticket;
  const auto version = proposal.next->version;
  const auto json = config::ToJson(*proposal.next);
  const auto started = proposal.started;
  m_proposal.reset();
  Adopt(json);
  Confirm(started);
  PushToPeers();
  Json::Value result;
  result["version"] = Json::UInt64(version);
  m_context->Stats()->Add("config_accepted");
  m_context->Emit(OperatorReply{ticket, result});
  if (m_waiting_proposals.empty()) return;
  m_proposal = std::move(m_waiting_proposals.front());
  m_waiting_proposals.erase(m_waiting_proposals.begin());
  StartPrepare();
}

void ConfigState::Fail(Error error) {
  m_context->Stats()->Add("config_change_failed_" +
                          std::string(NameOf(error.code)));
  m_context->Emit(OperatorReply{m_proposal->ticket, std::move(error)});
  m_proposal.reset();
  if (m_waiting_proposals.empty()) return;
  m_proposal = std::move(m_waiting_proposals.front());
  m_waiting_proposals.erase(m_waiting_proposals.begin());
  StartPrepare();
}

void ConfigState::PushToPeers() {
  for (const auto& row : m_members->Live()) {
    m_context->Send(row.record.address, peer::ConfigBody{m_current_json});
  }
}

}  // namespace tiller::control
