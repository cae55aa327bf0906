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
constexpr std::string_view kHeadKey = "head";
constexpr Milliseconds kQueryInterval{1'000};
constexpr std::size_t kQueryTargets = 3;
// In a fleet of this size every holder is asked for its proof of an outage.
constexpr Milliseconds kProofLifetime{3'000};
// Longer than a proof lives, so that a proof given before a prepare has ended
// when the change is accepted.
constexpr Milliseconds kPrepareHold{10'000};
constexpr Milliseconds kPrepareRetry{300};
constexpr Milliseconds kProposalTimeout{8'000};
constexpr Milliseconds kUnreachableAfter{3'000};
constexpr int kMaxConflicts = 5;
constexpr std::size_t kMaxQueries = 4096;

}  // namespace

Instant ConfigState::KeysValidUntil() const {
  if (!m_current || !m_confirmed) return Instant{};
  const auto& options = m_context->Options();
  auto until = *m_confirmed + options.key_grace;
  if (OutageProved()) {
    until = std::max(until, std::min(m_context->Now() + kProofLifetime,
                                     *m_confirmed + options.outage_grace));
  }
  return until;
}

bool ConfigState::PlatformReachable() const {
  return m_platform_answered &&
         m_context->Now() - *m_platform_answered < kUnreachableAfter;
}

bool ConfigState::OutageProved() const {
  const auto now = m_context->Now();
  if (PlatformReachable() || now < m_change_prepared_until || m_proposal) {
    return false;
  }
  const auto own = m_quorum->Votes();
  std::set<int> agreeing(own.begin(), own.end());
  for (const auto& [host, proof] : m_proofs) {
    if (!proof.outage || now - proof.asked >= kProofLifetime) continue;
    agreeing.insert(proof.seats.begin(), proof.seats.end());
  }
  return m_quorum->IsMajority(agreeing);
}

bool ConfigState::MajorityPrepared() const {
  // Before the first configuration there is nothing that could be withdrawn.
  if (!m_current) return true;
  const auto own = m_quorum->Votes();
  std::set<int> seats(own.begin(), own.end());
  for (const auto& [host, votes] : m_proposal->prepared) {
    seats.insert(votes.begin(), votes.end());
  }
  return m_quorum->IsMajority(seats);
}

void ConfigState::Confirm(Instant since) {
  m_confirmed = std::max(m_confirmed.value_or(Instant{}), since);
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
  // Peers are asked when the platform does not answer, and by a host that has
  // nothing yet.
  if (now >= m_next_query && (!PlatformReachable() || !m_current)) QueryPeers();
  if (m_proposal && m_proposal->stage == Stage::kPreparing &&
      now >= m_proposal->next_prepare) {
    SendPrepare();
  }
  if (m_proposal && now - m_proposal->started > kProposalTimeout) {
    const bool may_be_written = m_proposal->stage == Stage::kCommitting;
    Fail(
        MakeError(ErrorCode::kTimeout, "the change was not accepted in time",
                  may_be_written ? RunOutcome::kUnknown : RunOutcome::kNotRun));
  }
}

void ConfigState::PollHead() {
  const auto now = m_context->Now();
  m_next_poll = now + m_context->Options().config_poll / 2 +
                Milliseconds(m_context->Rng()->Below(static_cast<std::uint64_t>(
                    m_context->Options().config_poll.count())));
  m_head_sent = now;
  m_head_call = m_context->Call(
      platform::ReadRow{std::string(kTable), std::string(kHeadKey)});
}

bool ConfigState::Handle(const PlatformAnswered& answered) {
  const bool known = answered.answer ||
                     answered.answer.error().code == ErrorCode::kNotFound ||
                     answered.answer.error().code == ErrorCode::kConflict;
  if (known) m_platform_answered = m_context->Now();
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
    if (Version() == m_object_version) Confirm(m_object_confirms);
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
  // A stale read names an older version: it neither confirms nor reverts.
  if (version == Version()) Confirm(sent);
  if (version <= Version() || m_object_call) return;
  m_object_version = version;
  m_object_confirms = sent;
  m_object_call =
      m_context->Call(platform::GetObject{StringOr(value, "object")});
}

void ConfigState::QueryPeers() {
  const auto now = m_context->Now();
  m_next_query = now + kQueryInterval;
  std::erase_if(m_queries, [&](const auto& item) {
    return now - item.second.sent > kProofLifetime;
  });
  auto rows = m_members->Live();
  // A proof of an outage needs a majority of the holders; a newer
  // configuration is found by asking a few.
  const bool need_majority = m_current != nullptr;
  while (!need_majority && rows.size() > kQueryTargets) {
    rows.erase(rows.begin() + static_cast<std::ptrdiff_t>(
                                  m_context->Rng()->Below(rows.size())));
  }
  for (const auto& row : rows) {
    if (m_queries.size() >= kMaxQueries) break;
    const auto nonce = m_context->NextId();
    m_queries[nonce] = {row.record.host, now};
    m_context->Send(row.record.address, peer::ConfigQuery{nonce});
  }
}

void ConfigState::Handle(const HostId& from, const peer::ConfigQuery& message) {
  const auto address = m_members->AddressOf(from);
  if (address.empty()) return;
  const auto now = m_context->Now();
  constexpr Milliseconds kNever{1'000'000'000};
  const auto age = m_confirmed
                       ? std::chrono::ceil<Milliseconds>(now - *m_confirmed)
                       : kNever;
  const bool prepared =
      now < m_change_prepared_until || m_proposal || PlatformReachable();
  m_context->Send(address, peer::ConfigAnswer{message.nonce, Version(), age,
                                              prepared, m_quorum->Votes()});
}

void ConfigState::Handle(const HostId& from,
                         const peer::ConfigAnswer& message) {
  const auto query = m_queries.find(message.nonce);
  if (query == m_queries.end() || query->second.host != from) return;
  const auto sent = query->second.sent;
  m_queries.erase(query);
  // The answer is younger than the query, so the age counts from its start.
  if (message.version <= Version() && m_current) {
    Confirm(sent - message.confirmed_age);
  }
  if (message.version > Version()) {
    m_context->Send(m_members->AddressOf(from), peer::ConfigFetch{});
  }
  m_proofs[from] = {sent,
                    !message.change_prepared && message.version <= Version(),
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
  m_change_prepared_until =
      std::max(m_change_prepared_until, m_context->Now() + kPrepareHold);
  m_context->Send(address,
                  peer::ConfigPrepared{message.nonce, m_quorum->Votes()});
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
  SendPrepare();
}

// Repeated until a majority has answered: messages may be lost, and the
// holders may change meanwhile.
void ConfigState::SendPrepare() {
  auto& proposal = *m_proposal;
  proposal.next_prepare = m_context->Now() + kPrepareRetry;
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
      // Objects have unique names, so a lost answer is harmless.
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
  proposal.head_row = empty ? 0 : answer.value().rows.front().version;
  const auto version =
      empty ? 0 : UintOr(answer.value().rows.front().value, "version");
  if (proposal.next && version == proposal.next->version && !empty &&
      StringOr(answer.value().rows.front().value, "object") ==
          proposal.object) {
    // The commit whose answer was lost had taken effect.
    return OnCommitted(platform::Answer{});
  }
  if (version != Version()) {
    // Behind the newest version: fetch it, then try again.
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
  commit.writes.push_back(
      {std::string(kTable), std::string(kHeadKey), proposal.head_row, value});
  proposal.call = m_context->Call(std::move(commit));
}

void ConfigState::OnCommitted(const Result<platform::Answer>& answer) {
  auto& proposal = *m_proposal;
  if (!answer && answer.error().code == ErrorCode::kConflict) {
    // Another operator was first; an edit that names no version is repeated.
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
