// Implementation of the pipelines.
#include "Traffic/statement_plan.h"

#include <json/writer.h>

#include <utility>

namespace tiller::traffic {
namespace {

using endpoint::Step;
using endpoint::StepResult;

// Adds steps and remembers where they stand.
class PlanBuilder {
 public:
  int Add(Step step) {
    m_plan.steps.push_back(std::move(step));
    return static_cast<int>(m_plan.steps.size()) - 1;
  }
  // Ends the current implicit transaction.
  void Sync() { m_plan.steps.back().sync_after = true; }
  void AddStatements(const std::vector<Statement>& statements) {
    m_plan.layout.first_statement = static_cast<int>(m_plan.steps.size());
    m_plan.layout.statement_count = static_cast<int>(statements.size());
    for (const auto& statement : statements) {
      Add({statement.sql, statement.parameters, false});
    }
  }
  // A failed transaction block stays open until it is rolled back.
  void AddCleanUp() {
    Add(endpoint::PlainStep(endpoint::kRollbackSql));
    Sync();
  }
  void AddConfirm(Milliseconds limit) {
    m_plan.layout.confirm = Add(endpoint::ConfirmStep(limit));
    Sync();
  }
  // Commits, cleans up after a failure, and waits for a majority.
  void AddCommit(Milliseconds confirm_limit) {
    m_plan.layout.commit = Add(endpoint::PlainStep(endpoint::kCommitSql));
    Sync();
    AddCleanUp();
    AddConfirm(confirm_limit);
  }
  PlanLayout& Layout() { return m_plan.layout; }
  Plan Take() { return std::move(m_plan); }

 private:
  Plan m_plan;
};

void AppendCell(const endpoint::Cell& cell, endpoint::ColumnType type,
                std::string* out) {
  if (!cell) {
    out->append("null");
    return;
  }
  switch (type) {
    case endpoint::ColumnType::kInteger:
      out->append(*cell);
      return;
    case endpoint::ColumnType::kBoolean:
      out->append(*cell == "t" ? "true" : "false");
      return;
    case endpoint::ColumnType::kFloat:
      // NaN and the infinities have no JSON number.
      if (cell->find_first_not_of("0123456789.eE+-") == std::string::npos) {
        out->append(*cell);
        return;
      }
      break;
    case endpoint::ColumnType::kText:
      break;
  }
  out->append(Json::valueToQuotedString(cell->c_str()));
}

void AppendResult(const StepResult& result, std::string* out) {
  out->append("{\"columns\":[");
  for (std::size_t i = 0; i < result.columns.size(); ++i) {
    if (i > 0) out->push_back(',');
    out->append(Json::valueToQuotedString(result.columns[i].name.c_str()));
  }
  out->append("],\"rows\":[");
  for (std::size_t i = 0; i < result.rows.size(); ++i) {
    out->append(i > 0 ? ",[" : "[");
    for (std::size_t j = 0; j < result.rows[i].size(); ++j) {
      if (j > 0) out->push_back(',');
      AppendCell(result.rows[i][j], result.columns[j].type, out);
    }
    out->push_back(']');
  }
  out->append("],\"affected\":");
  out->append(std::to_string(result.affected));
  out->push_back('}');
}

void AddClaim(const RecordKey& record, PlanBuilder* builder) {
  builder->Add({std::string(endpoint::kPurgeRecordsSql),
                {std::to_string(record.now_s)},
                false});
  builder->Layout().claim = builder->Add(
      {std::string(endpoint::kClaimRecordSql),
       {record.key, record.digest, std::to_string(record.expires_at_s)},
       false});
}

void OpenWrite(const WorkspaceId& workspace, Term term, PlanBuilder* builder) {
  builder->Add(endpoint::PlainStep(endpoint::kBeginSql));
  builder->Add(endpoint::SetWorkspaceStep(workspace));
  builder->Layout().expect = builder->Add(endpoint::ExpectStep(term));
}

}  // namespace

Plan MakeReplicaRead(const WorkspaceId& workspace,
                     const std::vector<Statement>& statements) {
  PlanBuilder builder;
  builder.Add(endpoint::SetWorkspaceStep(workspace));
  builder.Layout().status = builder.Add(endpoint::StatusStep());
  builder.AddStatements(statements);
  // The statements may have seen more than the first status told; the session
  // must not go back behind what it has read.
  builder.Layout().status_after = builder.Add(endpoint::StatusStep());
  builder.Sync();
  return builder.Take();
}

Plan MakePrimaryRead(const WorkspaceId& workspace,
                     const std::vector<Statement>& statements,
                     Milliseconds confirm_limit) {
  PlanBuilder builder;
  builder.Add(endpoint::SetWorkspaceStep(workspace));
  builder.Layout().status = builder.Add(endpoint::StatusStep());
  builder.AddStatements(statements);
  builder.Sync();
  builder.AddConfirm(confirm_limit);
  return builder.Take();
}

Plan MakeWrite(const WorkspaceId& workspace, Term term,
               const std::vector<Statement>& statements,
               Milliseconds confirm_limit) {
  PlanBuilder builder;
  OpenWrite(workspace, term, &builder);
  builder.AddStatements(statements);
  builder.AddCommit(confirm_limit);
  return builder.Take();
}

Plan MakeClaim(const WorkspaceId& workspace, Term term, const RecordKey& record,
               const std::vector<Statement>& statements) {
  PlanBuilder builder;
  OpenWrite(workspace, term, &builder);
  AddClaim(record, &builder);
  builder.AddStatements(statements);
  builder.Sync();
  return builder.Take();
}

Plan MakeFinish(const std::string& key, const std::string& answer,
                Milliseconds confirm_limit) {
  PlanBuilder builder;
  builder.Add({std::string(endpoint::kStoreAnswerSql), {key, answer}, false});
  builder.AddCommit(confirm_limit);
  return builder.Take();
}

Plan MakeRecordLookup(const WorkspaceId& workspace, Term term,
                      const std::string& key, Milliseconds confirm_limit) {
  PlanBuilder builder;
  builder.Add(endpoint::SetWorkspaceStep(workspace));
  builder.Layout().expect = builder.Add(endpoint::ExpectStep(term));
  builder.Layout().record =
      builder.Add({std::string(endpoint::kReadRecordSql), {key}, false});
  builder.Sync();
  builder.AddConfirm(confirm_limit);
  return builder.Take();
}

Plan MakeConfirm(Milliseconds confirm_limit) {
  PlanBuilder builder;
  builder.AddConfirm(confirm_limit);
  return builder.Take();
}

Plan MakeBegin(const WorkspaceId& workspace, Term term) {
  PlanBuilder builder;
  OpenWrite(workspace, term, &builder);
  builder.Sync();
  return builder.Take();
}

Plan MakeTransactionStatement(const Statement& statement) {
  PlanBuilder builder;
  builder.AddStatements({statement});
  builder.Sync();
  return builder.Take();
}

Plan MakeCommit(const RecordKey* record, const std::string& answer,
                Milliseconds confirm_limit) {
  PlanBuilder builder;
  if (record != nullptr) {
    AddClaim(*record, &builder);
    builder.Add(
        {std::string(endpoint::kStoreAnswerSql), {record->key, answer}, false});
  }
  builder.AddCommit(confirm_limit);
  return builder.Take();
}

Plan MakeReset() {
  PlanBuilder builder;
  builder.AddCleanUp();
  builder.Add(endpoint::PlainStep(endpoint::kDiscardSql));
  builder.Sync();
  return builder.Take();
}

Plan MakeProbe(bool primary, Milliseconds confirm_limit) {
  PlanBuilder builder;
  builder.Layout().status = builder.Add(endpoint::StatusStep());
  builder.Sync();
  if (primary) builder.AddConfirm(confirm_limit);
  return builder.Take();
}

std::string ResultJson(const std::vector<StepResult>& results,
                       const PlanLayout& layout, bool batch) {
  std::string out;
  if (!batch) {
    AppendResult(At(results, layout.first_statement), &out);
    return out;
  }
  out = "{\"results\":[";
  for (int i = 0; i < layout.statement_count; ++i) {
    if (i > 0) out.push_back(',');
    const int index = layout.first_statement + i;
    AppendResult(At(results, index), &out);
  }
  out.append("]}");
  return out;
}

const StepResult* FirstFailure(const std::vector<StepResult>& results) {
  for (const auto& result : results) {
    if (!result.ok && !result.skipped) return &result;
  }
  return nullptr;
}

}  // namespace tiller::traffic
