// Implementation of the classification on libpg_query's parse tree.
#include "Sql/statement_class.h"

#include <pg_query.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <set>
#include <string_view>
#include <utility>

#include "Common/json.h"

namespace tiller::sql {
namespace {

constexpr std::string_view kReservedTablePrefix = "tiller_";

// Functions that do not write, take no locks and do not depend on the session.
const std::set<std::string, std::less<>>& PureFunctions() {
  static const std::set<std::string, std::less<>> names = {"abs",
                                                           "avg",
                                                           "bool_and",
                                                           "bool_or",
                                                           "ceil",
                                                           "ceiling",
                                                           "char_length",
                                                           "concat",
                                                           "concat_ws",
                                                           "count",
                                                           "date_part",
                                                           "date_trunc",
                                                           "dense_rank",
                                                           "exp",
                                                           "first_value",
                                                           "floor",
                                                           "greatest",
                                                           "json_agg",
                                                           "json_build_object",
                                                           "jsonb_agg",
                                                           "lag",
                                                           "last_value",
                                                           "lead",
                                                           "least",
                                                           "left",
                                                           "length",
                                                           "ln",
                                                           "lower",
                                                           "ltrim",
                                                           "max",
                                                           "min",
                                                           "mod",
                                                           "nullif",
                                                           "position",
                                                           "power",
                                                           "rank",
                                                           "replace",
                                                           "right",
                                                           "round",
                                                           "row_number",
                                                           "rtrim",
                                                           "sqrt",
                                                           "string_agg",
                                                           "strpos",
                                                           "substr",
                                                           "substring",
                                                           "sum",
                                                           "to_char",
                                                           "trim",
                                                           "trunc",
                                                           "upper",
                                                           "array_agg",
                                                           "extract",
                                                           "btrim"};
  return names;
}

constexpr std::array<std::string_view, 4> kWritingNodes = {
    "InsertStmt", "UpdateStmt", "DeleteStmt", "MergeStmt"};

// Statements that would affect more than their own transaction or change the
// settings that bind a connection to a workspace.
constexpr std::array<std::string_view, 19> kRefusedNodes = {
    "TransactionStmt", "VariableSetStmt", "DiscardStmt",       "PrepareStmt",
    "ExecuteStmt",     "DeallocateStmt",  "ListenStmt",        "UnlistenStmt",
    "NotifyStmt",      "LockStmt",        "CopyStmt",          "DoStmt",
    "CallStmt",        "LoadStmt",        "DeclareCursorStmt", "FetchStmt",
    "ClosePortalStmt", "AlterSystemStmt", "ConstraintsSetStmt"};

bool IsReservedFunction(std::string_view name) {
  return name == "set_config" || name.starts_with("group_") ||
         name.starts_with("standin_") || name.starts_with("pg_advisory") ||
         name.starts_with("dblink") || name == "pg_terminate_backend" ||
         name == "pg_cancel_backend" || name == "pg_reload_conf";
}

// Name of a called function without its schema.
std::string FunctionName(const Json::Value& call) {
  const auto& parts = call["funcname"];
  if (!parts.isArray() || parts.empty()) return {};
  return StringOr(parts[parts.size() - 1]["String"], "sval");
}

class ParseTreeVisitor {
 public:
  void Visit(const Json::Value& node) {
    if (node.isArray()) {
      for (const auto& item : node) Visit(item);
      return;
    }
    if (!node.isObject()) return;
    for (const auto& member : node.getMemberNames()) {
      VisitMember(member, node[member]);
    }
  }
  Classification TakeClassification() {
    m_out.leaves_state = m_unknown_function;
    return std::move(m_out);
  }

 private:
  void VisitMember(const std::string& member, const Json::Value& node) {
    if (std::count(kWritingNodes.begin(), kWritingNodes.end(), member) > 0 ||
        member == "lockingClause" || member == "intoClause") {
      RaiseTo(StatementClass::kWrite, {});
    }
    if (std::count(kRefusedNodes.begin(), kRefusedNodes.end(), member) > 0) {
      RaiseTo(StatementClass::kRefused, member + " is not allowed");
    }
    if (member == "FuncCall") VisitCall(node);
    if (member == "relname" && node.isString() &&
        node.asString().starts_with(kReservedTablePrefix)) {
      RaiseTo(StatementClass::kRefused, "reserved table");
    }
    Visit(node);
  }
  void VisitCall(const Json::Value& call) {
    const auto name = FunctionName(call);
    if (IsReservedFunction(name)) {
      RaiseTo(StatementClass::kRefused, "reserved function " + name);
    } else if (PureFunctions().count(name) == 0) {
      RaiseTo(StatementClass::kWrite, {});
      m_unknown_function = true;
    }
  }
  void RaiseTo(StatementClass kind, std::string reason) {
    if (kind <= m_out.kind) return;
    m_out.kind = kind;
    m_out.reason = std::move(reason);
  }

  Classification m_out{StatementClass::kRead, {}, false};
  bool m_unknown_function = false;
};

Classification Refuse(std::string reason) {
  return {StatementClass::kRefused, std::move(reason), true};
}

// A text that cannot be parsed must still not change the settings that bind a
// connection to its workspace.
Classification ClassifyUnparsed(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  for (const auto* word : {"set_config", "tiller", "group_", "standin_"}) {
    if (text.find(word) != std::string::npos) {
      return Refuse("not parseable, and names a reserved word");
    }
  }
  return {StatementClass::kWrite, {}, true};
}

bool IsTopLevelReadOrWrite(const Json::Value& statement) {
  return statement.isMember("SelectStmt") ||
         std::any_of(kWritingNodes.begin(), kWritingNodes.end(),
                     [&](std::string_view node) {
                       return statement.isMember(std::string(node));
                     });
}

}  // namespace

Classification Classify(const std::string& sql) {
  if (sql.find('\0') != std::string::npos) return Refuse("contains a NUL byte");
  const auto free_result = [](PgQueryParseResult* result) {
    pg_query_free_parse_result(*result);
    delete result;
  };
  const std::unique_ptr<PgQueryParseResult, decltype(free_result)> parsed(
      new PgQueryParseResult(pg_query_parse(sql.c_str())), free_result);
  if (parsed->error != nullptr) return ClassifyUnparsed(sql);
  const auto tree = ParseJson(parsed->parse_tree);
  if (!tree) return Refuse("nested too deeply");
  const auto& statements = tree.value()["stmts"];
  if (!statements.isArray() || statements.empty()) return Refuse("empty");
  if (statements.size() > 1) return Refuse("more than one statement");
  ParseTreeVisitor visitor;
  visitor.Visit(statements[0]["stmt"]);
  auto out = visitor.TakeClassification();
  // Other statements, such as table definitions, run on the primary.
  if (!IsTopLevelReadOrWrite(statements[0]["stmt"])) {
    out.kind = std::max(out.kind, StatementClass::kWrite);
    out.leaves_state = true;
  }
  return out;
}

const Classification& StatementClassCache::Lookup(const std::string& sql) {
  const auto it = m_entries.find(sql);
  if (it != m_entries.end()) {
    m_lru_order.splice(m_lru_order.begin(), m_lru_order,
                       it->second.lru_position);
    return it->second.classification;
  }
  if (m_entries.size() >= m_capacity) {
    m_entries.erase(m_lru_order.back());
    m_lru_order.pop_back();
  }
  m_lru_order.push_front(sql);
  return m_entries.emplace(sql, Entry{Classify(sql), m_lru_order.begin()})
      .first->second.classification;
}

}  // namespace tiller::sql
