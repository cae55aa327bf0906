// Construction of SQL pipelines and conversion of their results to JSON.
#include "Traffic/statement_plan.h"

#include <json/writer.h>

#include <utility>

namespace tiller::traffic {
namespace {

using endpoint::Step;
using endpoint::StepResult;

// Collects the steps of a pipeline and records their result indices.
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
  // A failed transaction block stays open until ROLLBACK.
  void AddRollback() {
    Add(endpoint::PlainStep(endpoint::kRollbackSql));
    Sync();
  }
  void AddConfirm(Milliseconds limit) {
    m_plan.layout.confirm = Add(endpoint::ConfirmStep(limit));
    Sync();
  }
  // Commits, rolls back if the commit failed, and waits for a majority.
  void AddCommit(Milliseconds confirm_limit) {
    m_plan.layout.commit = Add(endpoint::PlainStep(endpoint::kCommitSql));
    Sync();
    AddRollback();
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
      // NaN and infinities have no JSON number; they are written as strings.
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

void AddClaimSteps(const IdempotencyRecord& record, PlanBuilder* builder) {
  builder->Add({std::string(endpoint::kPurgeRecordsSql),
                {std::to_string(record.now_s)},
                false});
  builder->Layout().claim = builder->Add(
      {std::string(endpoint::kClaimRecordSql),
       {record.key, record.digest, std::to_string(record.expires_at_s)},
       false});
}

void BeginWrite(const WorkspaceId& workspace, Term term, PlanBuilder* builder) {
  builder->Add(endpoint::PlainStep(endpoint::kBeginSql));
  builder->Add(endpoint::SetWorkspaceStep(workspace));
  builder->Layout().term_check = builder->Add(endpoint::ExpectStep(term));
}

}  // namespace

Plan MakeReplicaRead(const WorkspaceId& workspace,
                     const std::vector<Statement>& statements) {
  PlanBuilder builder;
  builder.Add(endpoint::SetWorkspaceStep(workspace));
  builder.Layout().status = builder.Add(endpoint::StatusStep());
  builder.AddStatements(statements);
  // The replica may apply more entries between the first status and the
  // statements. The session position must cover everything that was read, so
  // the status is read again afterwards.
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
  BeginWrite(workspace, term, &builder);
  builder.AddStatements(statements);
  builder.AddCommit(confirm_limit);
  return builder.Take();
}

Plan MakeInsertKeyAndRunWrite(const WorkspaceId& workspace, Term term,
                              const IdempotencyRecord& record,
                              const std::vector<Statement>& statements) {
  PlanBuilder builder;
  BeginWrite(workspace, term, &builder);
  AddClaimSteps(record, &builder);
  builder.AddStatements(statements);
  builder.Sync();
  return builder.Take();
}

Plan MakeCommitKeyedWrite(const std::string& key, const std::string& answer,
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
  builder.Layout().term_check = builder.Add(endpoint::ExpectStep(term));
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
  BeginWrite(workspace, term, &builder);
  builder.Sync();
  return builder.Take();
}

Plan MakeTransactionStatement(const Statement& statement) {
  PlanBuilder builder;
  builder.AddStatements({statement});
  builder.Sync();
  return builder.Take();
}

Plan MakeCommit(const IdempotencyRecord* record, const std::string& answer,
                Milliseconds confirm_limit) {
  PlanBuilder builder;
  if (record != nullptr) {
    AddClaimSteps(*record, &builder);
    builder.Add(
        {std::string(endpoint::kStoreAnswerSql), {record->key, answer}, false});
  }
  builder.AddCommit(confirm_limit);
  return builder.Take();
}

Plan MakeReset() {
  PlanBuilder builder;
  builder.AddRollback();
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
    AppendResult(ResultAt(results, layout.first_statement), &out);
    return out;
  }
  out = "{\"results\":[";
  for (int i = 0; i < layout.statement_count; ++i) {
    if (i > 0) out.push_back(',');
    const int index = layout.first_statement + i;
    AppendResult(ResultAt(results, index), &out);
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
