// Builds the SQL pipelines that are sent to endpoints and records which result
// index holds which part of the answer.
#pragma once

#include <string>
#include <vector>

#include "Endpoint/endpoint_protocol.h"
#include "Traffic/traffic_messages.h"

namespace tiller::traffic {

// A keyed write is a write with an idempotency key. It takes two pipelines: the
// first inserts a record for the key, which fails if the key was used before,
// and runs the statements; the second stores the answer and commits.
enum class PlanKind {
  kReplicaRead,
  kPrimaryRead,
  kWrite,                 // commits in one round trip
  kInsertKeyAndRunWrite,  // keyed write: inserts the key's record, runs the
                          // statements
  kCommitKeyedWrite,      // keyed write: stores the answer and commits
  kRecordLookup,  // reads the answer of a keyed write that may have run before
  kConfirm,       // waits until a majority holds the commit
  kBegin,
  kTransactionStatement,
  kCommit,
  kRollback
};

// Result indices of the parts of a pipeline; -1 for a part that it lacks.
struct PlanLayout {
  int term_check = -1;
  int status = -1;
  int claim = -1;   // insert of an idempotency key's record
  int record = -1;  // lookup of an idempotency key's record
  int first_statement = -1;
  int statement_count = 0;
  int commit = -1;
  int status_after = -1;  // second status of a replica read
  int confirm = -1;
};

// A pipeline and the layout of its results.
struct Plan {
  std::vector<endpoint::Step> steps;
  PlanLayout layout;
};

// Row of a keyed write in the record table of the database (tiller_requests).
struct IdempotencyRecord {
  std::string key;
  std::string digest;
  std::int64_t expires_at_s = 0;  // Unix time in seconds
  // Unix time in seconds; records that expired before it are purged.
  std::int64_t now_s = 0;
};

// Parameters of the functions below:
//   confirm_limit: how long the endpoint waits at most until a majority of the
//     group has confirmed its position.
//   term: the transaction fails unless the endpoint is the primary of this
//   term.

Plan MakeReplicaRead(const WorkspaceId& workspace,
                     const std::vector<Statement>& statements);
Plan MakePrimaryRead(const WorkspaceId& workspace,
                     const std::vector<Statement>& statements,
                     Milliseconds confirm_limit);
Plan MakeWrite(const WorkspaceId& workspace, Term term,
               const std::vector<Statement>& statements,
               Milliseconds confirm_limit);
Plan MakeInsertKeyAndRunWrite(const WorkspaceId& workspace, Term term,
                              const IdempotencyRecord& record,
                              const std::vector<Statement>& statements);
Plan MakeCommitKeyedWrite(const std::string& key, const std::string& answer,
                          Milliseconds confirm_limit);
Plan MakeRecordLookup(const WorkspaceId& workspace, Term term,
                      const std::string& key, Milliseconds confirm_limit);
Plan MakeConfirm(Milliseconds confirm_limit);
Plan MakeBegin(const WorkspaceId& workspace, Term term);
Plan MakeTransactionStatement(const Statement& statement);
// `record` is null for a commit without an idempotency key; `answer` is stored
// with the record.
Plan MakeCommit(const IdempotencyRecord* record, const std::string& answer,
                Milliseconds confirm_limit);
// Rolls back any open transaction and discards all session state of the
// connection.
Plan MakeReset();
// Reads the status; on a primary, also confirms its position with a majority.
Plan MakeProbe(bool primary, Milliseconds confirm_limit);

// The result at `index`, which comes from the layout and must not be -1.
inline const endpoint::StepResult& ResultAt(
    const std::vector<endpoint::StepResult>& results, int index) {
  return results[static_cast<std::size_t>(index)];
}

// JSON of the statement's result, or of a list of results for a batch.
std::string ResultJson(const std::vector<endpoint::StepResult>& results,
                       const PlanLayout& layout, bool batch);

// First failed step, not counting steps skipped because an earlier one failed;
// nullptr if none failed.
const endpoint::StepResult* FirstFailure(
    const std::vector<endpoint::StepResult>& results);

}  // namespace tiller::traffic
