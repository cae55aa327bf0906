// In-memory database endpoint for tests. It takes part in its group by the
// rules of standin::GroupMember, and the version of each row counts the writes
// that were executed. It supports the pipelines of statement_plan.h and two
// user statements: kIncrementSql and kReadSql.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "StandIn/group_member.h"
#include "Traffic/traffic_messages.h"

namespace tiller::test {

inline constexpr char kIncrementSql[] =
    "UPDATE rows SET version = version + 1 WHERE id = $1";
inline constexpr char kReadSql[] =
    "SELECT version, workspace, id FROM rows WHERE id = $1";

class FakeEndpoint {
 public:
  FakeEndpoint(EndpointId name, std::size_t group_size);

  // Database session of one connection.
  struct Session {
    bool in_transaction = false;  // explicit transaction
    bool failed = false;          // rejects statements until the rollback
    WorkspaceId workspace;
    // Term of kExpectSql, checked again when the session commits.
    Term expected_term = 0;
    std::vector<std::string> pending_changes;  // not yet committed
  };

  // Results of a pipeline, one for each step. `confirm_index` is the index of
  // the confirm step, or -1; its result has to be completed by TryConfirm().
  struct PipelineOutcome {
    std::vector<endpoint::StepResult> results;
    int confirm_index = -1;
    LogPosition confirm_position = 0;
    Term confirm_term = 0;
    std::uint64_t confirm_barrier = 0;
  };
  // Runs all steps of a pipeline.
  PipelineOutcome Run(Session* session,
                      const std::vector<endpoint::Step>& steps, Instant now);
  // Returns the result of the confirm step, or nothing while the confirmation
  // is still pending. With `deadline_passed`, a pending confirmation is
  // reported as not confirmed.
  std::optional<endpoint::StepResult> TryConfirm(const PipelineOutcome& outcome,
                                                 bool deadline_passed) const;

  standin::GroupMember& Member() { return m_member; }
  // Applies the received log entries that are older than the replica's lag.
  void Apply(Instant now);
  void OnPullReply(const standin::PullReply& reply, Instant now);
  void Restart(Instant now);
  // Sets the time from receiving a log entry to applying it.
  void SetLag(Duration lag) { m_lag = lag; }
  // Number of writes of the row in this endpoint's history.
  std::uint64_t VersionOf(const WorkspaceId& workspace,
                          const std::string& id) const;
  LogPosition Applied() const { return m_applied; }

 private:
  using Rows = std::map<std::string, std::string>;
  endpoint::StepResult RunStep(Session* session, const endpoint::Step& step,
                               Instant now);
  endpoint::StepResult RunUserStatement(Session* session,
                                        const endpoint::Step& step);
  endpoint::StepResult Commit(Session* session);
  endpoint::StepResult Status(Instant now) const;
  // Replays the log from its start up to and including `until`.
  void RebuildRows(LogPosition until);
  static void ApplyPayload(const std::string& payload, Rows* rows);
  // The committed rows with the session's own uncommitted changes.
  Rows VisibleRows(const Session& session) const;

  standin::GroupMember m_member;
  Rows m_rows;
  LogPosition m_applied = 0;
  // Arrival time of each log entry; the lag counts from it.
  std::vector<Instant> m_arrival_times;
  Duration m_lag = Milliseconds(5);
  Instant m_last_primary_contact{};
};

// Makes a successful result with one row of text cells.
endpoint::StepResult MakeRowResult(std::vector<std::string> cells);

}  // namespace tiller::test
