// The pipelines that carry requests to endpoints, and where in their results
// each part of the answer stands.
#pragma once

#include <string>
#include <vector>

#include "Endpoint/endpoint_protocol.h"
#include "Traffic/traffic_messages.h"

namespace tiller::traffic {

enum class PlanKind {
  kReplicaRead,
  kPrimaryRead,
  kWrite,         // commits in one round trip
  kClaim,         // keyed write: record and statements, not committed
  kFinish,        // keyed write: answer and commit
  kRecordLookup,  // keyed write that may have run before
  kConfirm,       // committed; waits for a majority
  kBegin,
  kTransactionStatement,
  kCommit,
  kRollback
};

// Indices into a pipeline's results; -1 where a part is absent.
struct PlanLayout {
  int expect = -1;
  int status = -1;
  int claim = -1;
  int record = -1;
  int first_statement = -1;
  int statement_count = 0;
  int commit = -1;
  int status_after = -1;
  int confirm = -1;
};

struct Plan {
  std::vector<endpoint::Step> steps;
  PlanLayout layout;
};

// What identifies a keyed write in the database's record table.
struct RecordKey {
  std::string key;
  std::string digest;
  std::int64_t expires_at_s = 0;  // wall time, seconds since 1970
  std::int64_t now_s = 0;
};

Plan MakeReplicaRead(const WorkspaceId& workspace,
                     const std::vector<Statement>& statements);
Plan MakePrimaryRead(const WorkspaceId& workspace,
                     const std::vector<Statement>& statements,
                     Milliseconds confirm_limit);
Plan MakeWrite(const WorkspaceId& workspace, Term term,
               const std::vector<Statement>& statements,
               Milliseconds confirm_limit);
Plan MakeClaim(const WorkspaceId& workspace, Term term, const RecordKey& record,
               const std::vector<Statement>& statements);
Plan MakeFinish(const std::string& key, const std::string& answer,
                Milliseconds confirm_limit);
Plan MakeRecordLookup(const WorkspaceId& workspace, Term term,
                      const std::string& key, Milliseconds confirm_limit);
Plan MakeConfirm(Milliseconds confirm_limit);
Plan MakeBegin(const WorkspaceId& workspace, Term term);
Plan MakeTransactionStatement(const Statement& statement);
// `record` is null for a commit without an idempotency key.
Plan MakeCommit(const RecordKey* record, const std::string& answer,
                Milliseconds confirm_limit);
// Rolls back and clears everything the session left in the connection.
Plan MakeReset();
Plan MakeProbe(bool primary, Milliseconds confirm_limit);

// The result of one part of a pipeline; `index` comes from its layout.
inline const endpoint::StepResult& At(
    const std::vector<endpoint::StepResult>& results, int index) {
  return results[static_cast<std::size_t>(index)];
}

// JSON of one statement's result, or of a list for a batch.
std::string ResultJson(const std::vector<endpoint::StepResult>& results,
                       const PlanLayout& layout, bool batch);

// The first step that failed by itself, or nullptr.
const endpoint::StepResult* FirstFailure(
    const std::vector<endpoint::StepResult>& results);

}  // namespace tiller::traffic
