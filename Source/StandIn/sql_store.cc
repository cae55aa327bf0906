// Implementation of the storage of a stand-in endpoint.
#include "StandIn/sql_store.h"

#include <filesystem>
#include <utility>

#include "Common/json.h"

namespace tiller::standin {
namespace {

constexpr int kBusyTimeoutMs = 5000;
constexpr std::string_view kRequestTableSql =
    "CREATE TABLE IF NOT EXISTS tiller_requests (request_key TEXT PRIMARY KEY,"
    " digest TEXT NOT NULL, answer TEXT, expires_at INTEGER NOT NULL)";
constexpr std::string_view kWorkspaceSuffix = ".workspace";

std::string SqlstateOf(int code) {
  switch (code) {
    case SQLITE_CONSTRAINT_PRIMARYKEY:
    case SQLITE_CONSTRAINT_UNIQUE:
      return "23505";
    case SQLITE_CONSTRAINT_NOTNULL:
      return "23502";
    case SQLITE_CONSTRAINT_CHECK:
      return "23514";
    default:
      break;
  }
  const int primary_code = code & 255;
  if (primary_code == SQLITE_CONSTRAINT) return "23000";
  if (primary_code == SQLITE_BUSY || primary_code == SQLITE_LOCKED)
    return "40001";
  if (primary_code == SQLITE_ERROR) return "42601";
  return "XX000";
}

endpoint::StepResult SqliteError(sqlite3* db) {
  endpoint::StepResult result;
  result.sqlstate = SqlstateOf(sqlite3_extended_errcode(db));
  result.message = sqlite3_errmsg(db);
  return result;
}

endpoint::ColumnType ColumnTypeOf(sqlite3_stmt* statement, int column) {
  switch (sqlite3_column_type(statement, column)) {
    case SQLITE_INTEGER:
      return endpoint::ColumnType::kInteger;
    case SQLITE_FLOAT:
      return endpoint::ColumnType::kFloat;
    default:
      return endpoint::ColumnType::kText;
  }
}

// SQLite numbers parameters such as "$1" by first appearance, so they are bound
// by name.
void BindParameters(sqlite3_stmt* statement,
                    const std::vector<endpoint::Cell>& parameters) {
  for (std::size_t i = 0; i < parameters.size(); ++i) {
    const std::string name = "$" + std::to_string(i + 1);
    const int index = sqlite3_bind_parameter_index(statement, name.c_str());
    if (index == 0) continue;
    if (!parameters[i]) {
      sqlite3_bind_null(statement, index);
      continue;
    }
    sqlite3_bind_text(statement, index, parameters[i]->data(),
                      static_cast<int>(parameters[i]->size()),
                      SQLITE_TRANSIENT);
  }
}

void AppendRow(sqlite3_stmt* statement, endpoint::StepResult* result) {
  const int count = sqlite3_column_count(statement);
  std::vector<endpoint::Cell> row;
  for (int i = 0; i < count; ++i) {
    if (result->rows.empty())
      result->columns[i].type = ColumnTypeOf(statement, i);
    const auto* text = sqlite3_column_text(statement, i);
    if (text == nullptr) {
      row.emplace_back();
      continue;
    }
    row.emplace_back(std::string(reinterpret_cast<const char*>(text),
                                 sqlite3_column_bytes(statement, i)));
  }
  result->rows.push_back(std::move(row));
}

}  // namespace

std::string EncodeTransaction(const LoggedTransaction& transaction) {
  Json::Value out;
  out["workspace"] = transaction.workspace;
  for (const auto& statement : transaction.statements) {
    Json::Value item;
    item["sql"] = statement.sql;
    item["parameters"] = Json::Value(Json::arrayValue);
    for (const auto& cell : statement.parameters) {
      item["parameters"].append(cell ? Json::Value(*cell) : Json::Value());
    }
    out["statements"].append(item);
  }
  return ToText(out);
}

Result<LoggedTransaction> DecodeTransaction(const std::string& payload) {
  const auto parsed = ParseJson(payload);
  if (!parsed) return parsed.error();
  LoggedTransaction out;
  out.workspace = StringOr(parsed.value(), "workspace");
  for (const auto& item : parsed.value()["statements"]) {
    LoggedStatement statement{StringOr(item, "sql"), {}};
    for (const auto& cell : item["parameters"]) {
      if (cell.isNull()) {
        statement.parameters.emplace_back();
        continue;
      }
      statement.parameters.emplace_back(cell.asString());
    }
    out.statements.push_back(std::move(statement));
  }
  return out;
}

SqlHandle::SqlHandle(const std::string& path, const std::string& schema) {
  sqlite3_open(path.c_str(), &m_db);
  sqlite3_extended_result_codes(m_db, 1);
  sqlite3_busy_timeout(m_db, kBusyTimeoutMs);
  sqlite3_exec(m_db, "PRAGMA journal_mode=WAL; PRAGMA synchronous=OFF", nullptr,
               nullptr, nullptr);
  sqlite3_exec(m_db, std::string(kRequestTableSql).c_str(), nullptr, nullptr,
               nullptr);
  sqlite3_exec(m_db, schema.c_str(), nullptr, nullptr, nullptr);
}

SqlHandle::~SqlHandle() { sqlite3_close_v2(m_db); }

bool SqlHandle::InTransaction() const {
  return sqlite3_get_autocommit(m_db) == 0;
}

endpoint::StepResult SqlHandle::Run(
    const std::string& sql, const std::vector<endpoint::Cell>& parameters,
    bool* writes) {
  sqlite3_stmt* statement = nullptr;
  if (sqlite3_prepare_v2(m_db, sql.c_str(), static_cast<int>(sql.size()),
                         &statement, nullptr) != SQLITE_OK) {
    return SqliteError(m_db);
  }
  *writes = statement != nullptr && sqlite3_stmt_readonly(statement) == 0;
  BindParameters(statement, parameters);
  endpoint::StepResult result;
  for (int i = 0; i < sqlite3_column_count(statement); ++i) {
    result.columns.push_back(
        {sqlite3_column_name(statement, i), endpoint::ColumnType::kText});
  }
  int code = SQLITE_ROW;
  while ((code = sqlite3_step(statement)) == SQLITE_ROW) {
    AppendRow(statement, &result);
  }
  if (code == SQLITE_DONE || code == SQLITE_OK) {
    result.ok = true;
    if (*writes) result.affected = sqlite3_changes(m_db);
  } else {
    result = SqliteError(m_db);
  }
  sqlite3_finalize(statement);
  return result;
}

SqlStore::SqlStore(std::string folder, std::string schema)
    : m_folder(std::move(folder)), m_schema(std::move(schema)) {
  std::filesystem::create_directories(m_folder);
}

std::unique_ptr<SqlHandle> SqlStore::Open(const WorkspaceId& workspace) const {
  return std::make_unique<SqlHandle>(
      m_folder + "/" + workspace + std::string(kWorkspaceSuffix), m_schema);
}

void SqlStore::RemoveAll() const {
  for (const auto& file : std::filesystem::directory_iterator(m_folder)) {
    if (file.path().string().find(kWorkspaceSuffix) == std::string::npos)
      continue;
    std::filesystem::remove(file.path());
  }
}

}  // namespace tiller::standin
