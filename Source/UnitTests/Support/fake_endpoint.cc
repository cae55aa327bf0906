// Implementation of the in-memory database endpoint.
#include "UnitTests/Support/fake_endpoint.h"

#include <algorithm>
#include <utility>

#include "Common/names.h"

namespace tiller::test {
namespace {

using endpoint::StepResult;

StepResult Succeeded() {
  StepResult result;
  result.ok = true;
  return result;
}

StepResult Failed(std::string_view state) {
  StepResult result;
  result.sqlstate = std::string(state);
  return result;
}

StepResult Refused(const Error& error) {
  return Failed(error.code == ErrorCode::kNotPrimary
                    ? endpoint::kNotPrimaryState
                    : endpoint::kStaleTermState);
}

std::uint64_t NumericParameter(const endpoint::Step& step, std::size_t index) {
  return std::strtoull(step.parameters[index]->c_str(), nullptr, 10);
}

std::string JoinLines(const std::vector<std::string>& items) {
  std::string out;
  for (const auto& item : items) out += item + '\n';
  return out;
}

}  // namespace

StepResult MakeRowResult(std::vector<std::string> cells) {
  StepResult result;
  result.ok = true;
  result.rows.emplace_back();
  for (auto& cell : cells) {
    result.columns.push_back({"c", endpoint::ColumnType::kText});
    result.rows.front().emplace_back(std::move(cell));
  }
  return result;
}

FakeEndpoint::FakeEndpoint(EndpointId name, std::size_t group_size)
    : m_member(std::move(name), group_size) {}

// A payload consists of lines "key=value". The key starts with the workspace;
// the value "+1" increments the stored number.
void FakeEndpoint::ApplyPayload(const std::string& payload, Rows* rows) {
  std::size_t offset = 0;
  while (offset < payload.size()) {
    const auto end = payload.find('\n', offset);
    const auto line = payload.substr(offset, end - offset);
    const auto equals = line.find('=');
    const auto key = line.substr(0, equals);
    const auto value = line.substr(equals + 1);
    if (value == "+1") {
      (*rows)[key] = std::to_string(std::stoull("0" + (*rows)[key]) + 1);
    } else {
      (*rows)[key] = value;
    }
    offset = end + 1;
  }
}

FakeEndpoint::Rows FakeEndpoint::VisibleRows(const Session& session) const {
  auto rows = m_rows;
  ApplyPayload(JoinLines(session.pending_changes), &rows);
  return rows;
}

StepResult FakeEndpoint::Status(Instant now) const {
  const auto& state = m_member.State();
  const auto silence = m_member.IsPrimary()
                           ? Milliseconds(0)
                           : std::chrono::duration_cast<Milliseconds>(
                                 now - m_last_primary_contact);
  return MakeRowResult(
      {std::string(NameOf(endpoint::kRoleNames, m_member.Role())),
       std::to_string(state.term), std::to_string(m_applied),
       std::to_string(m_member.Received()), std::to_string(state.fence_term),
       state.fence_owner, std::to_string(silence.count())});
}

StepResult FakeEndpoint::RunUserStatement(Session* session,
                                          const endpoint::Step& step) {
  const auto rows = VisibleRows(*session);
  const auto prefix = session->workspace + "/";
  const auto value = [&](const std::string& key) {
    const auto it = rows.find(prefix + key);
    return it == rows.end() ? std::string() : it->second;
  };
  const auto write = [&](const std::string& key, const std::string& text) {
    session->pending_changes.push_back(prefix + key + "=" + text);
  };
  const bool is_write =
      step.sql != kReadSql && step.sql != endpoint::kReadRecordSql;
  if (is_write && !m_member.IsPrimary()) {
    return Failed(endpoint::kReadOnlyTransaction);
  }
  const auto id = step.parameters.empty() ? "" : *step.parameters[0];
  if (step.sql == kReadSql) {
    const auto version = value("row:" + id);
    return version.empty() ? Succeeded()
                           : MakeRowResult({version, session->workspace, id});
  }
  if (step.sql == kIncrementSql) {
    write("row:" + id, "+1");
    auto result = Succeeded();
    result.affected = 1;
    return result;
  }
  if (step.sql == endpoint::kClaimRecordSql) {
    if (!value("digest:" + id).empty()) {
      return Failed(endpoint::kUniqueViolation);
    }
    write("digest:" + id, *step.parameters[1]);
    return Succeeded();
  }
  if (step.sql == endpoint::kStoreAnswerSql) {
    write("answer:" + id, *step.parameters[1]);
    return Succeeded();
  }
  if (step.sql == endpoint::kReadRecordSql) {
    const auto digest = value("digest:" + id);
    return digest.empty() ? Succeeded()
                          : MakeRowResult({digest, value("answer:" + id)});
  }
  return Succeeded();  // kPurgeRecordsSql: nothing is deleted here
}

StepResult FakeEndpoint::Commit(Session* session) {
  const auto changes = JoinLines(std::exchange(session->pending_changes, {}));
  const auto expected_term = session->expected_term;
  *session = Session{};
  if (changes.empty()) return Succeeded();
  const auto allowed = m_member.CheckPrimary(expected_term);
  if (!allowed) return Refused(allowed.error());
  m_member.Append(changes);
  ApplyPayload(changes, &m_rows);
  m_applied = m_member.Received();
  return Succeeded();
}

StepResult FakeEndpoint::RunStep(Session* session, const endpoint::Step& step,
                                 Instant now) {
  if (step.sql == endpoint::kRollbackSql || step.sql == endpoint::kDiscardSql) {
    *session = Session{};
    return Succeeded();
  }
  if (session->failed) return Failed("25P02");
  if (step.sql == endpoint::kBeginSql) {
    session->in_transaction = true;
    return Succeeded();
  }
  if (step.sql == endpoint::kCommitSql) return Commit(session);
  if (step.sql == endpoint::kSetWorkspaceSql) {
    session->workspace = *step.parameters[0];
    return Succeeded();
  }
  if (step.sql == endpoint::kStatusSql) return Status(now);
  if (step.sql == endpoint::kExpectSql) {
    const auto allowed = m_member.CheckPrimary(NumericParameter(step, 0));
    if (!allowed) return Refused(allowed.error());
    session->expected_term = NumericParameter(step, 0);
    return MakeRowResult({"t"});
  }
  Result<void> changed = Success();
  if (step.sql == endpoint::kFenceSql) {
    changed = m_member.Fence(NumericParameter(step, 0), *step.parameters[1]);
  } else if (step.sql == endpoint::kPromoteSql) {
    changed = m_member.Promote(NumericParameter(step, 0), *step.parameters[1]);
    if (changed) RebuildRows(m_member.Received());
  } else if (step.sql == endpoint::kFollowSql) {
    changed = m_member.Follow(NumericParameter(step, 0), *step.parameters[1],
                              *step.parameters[2]);
    if (changed) m_last_primary_contact = now;
  } else {
    return RunUserStatement(session, step);
  }
  return changed ? Status(now) : Refused(changed.error());
}

FakeEndpoint::PipelineOutcome FakeEndpoint::Run(
    Session* session, const std::vector<endpoint::Step>& steps, Instant now) {
  PipelineOutcome out;
  bool skip = false;
  for (const auto& step : steps) {
    StepResult result;
    if (skip) {
      result.skipped = true;
    } else if (step.sql == endpoint::kConfirmSql) {
      out.confirm_index = static_cast<int>(out.results.size());
      out.confirm_position = m_member.Received();
      out.confirm_term = m_member.State().term;
      out.confirm_barrier = m_member.StartBarrier();
    } else {
      result = RunStep(session, step, now);
      if (!result.ok) {
        skip = true;
        session->failed = session->in_transaction;
        if (!session->in_transaction) *session = Session{};
      }
    }
    out.results.push_back(std::move(result));
    if (!step.sync_after) continue;
    skip = false;
    if (session->in_transaction) continue;
    // An implicit transaction is committed at its sync point.
    if (!session->pending_changes.empty()) Commit(session);
    *session = Session{};
  }
  return out;
}

std::optional<StepResult> FakeEndpoint::TryConfirm(
    const PipelineOutcome& outcome, bool deadline_passed) const {
  const bool same_term = m_member.State().term == outcome.confirm_term;
  const bool confirmed =
      same_term &&
      m_member.IsConfirmed(outcome.confirm_position, outcome.confirm_barrier);
  const bool cannot_confirm = !m_member.IsPrimary() || !same_term;
  if (!confirmed && !cannot_confirm && !deadline_passed) return std::nullopt;
  return MakeRowResult({confirmed ? "t" : "f",
                        std::to_string(outcome.confirm_term),
                        std::to_string(outcome.confirm_position)});
}

void FakeEndpoint::RebuildRows(LogPosition until) {
  m_rows.clear();
  const auto& log = m_member.State().log;
  for (LogPosition position = 0; position < until; ++position) {
    ApplyPayload(log[position].payload, &m_rows);
  }
  m_applied = until;
}

void FakeEndpoint::OnPullReply(const standin::PullReply& reply, Instant now) {
  const auto rebuild_after = m_member.ApplyPull(reply);
  if (!rebuild_after) return;
  m_last_primary_contact = now;
  if (rebuild_after.value() && *rebuild_after.value() < m_applied) {
    RebuildRows(*rebuild_after.value());
  }
  m_arrival_times.resize(m_member.Received(), now);
}

void FakeEndpoint::Apply(Instant now) {
  if (m_member.IsPrimary()) return;
  m_arrival_times.resize(m_member.Received(), now);
  const auto& log = m_member.State().log;
  while (m_applied < log.size() && now - m_arrival_times[m_applied] >= m_lag) {
    ApplyPayload(log[m_applied++].payload, &m_rows);
  }
}

void FakeEndpoint::Restart(Instant now) {
  auto state = m_member.State();
  m_member.Restore(std::move(state));
  m_last_primary_contact = now;
  RebuildRows(m_member.Received());
}

std::uint64_t FakeEndpoint::VersionOf(const WorkspaceId& workspace,
                                      const std::string& id) const {
  const auto it = m_rows.find(workspace + "/row:" + id);
  return it == m_rows.end() ? 0 : std::stoull(it->second);
}

}  // namespace tiller::test
