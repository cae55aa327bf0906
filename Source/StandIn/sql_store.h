// SQLite storage of a stand-in endpoint: one database file per workspace,
// rebuilt from the group's log at start.
#pragma once

#include <sqlite3.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Common/error.h"
#include "Endpoint/endpoint_protocol.h"

namespace tiller::standin {

struct LoggedStatement {
  std::string sql;
  std::vector<endpoint::Cell> parameters;
};

// A committed transaction in the form in which it is shipped to replicas.
struct LoggedTransaction {
  WorkspaceId workspace;
  std::vector<LoggedStatement> statements;
};
std::string EncodeTransaction(const LoggedTransaction& transaction);
Result<LoggedTransaction> DecodeTransaction(const std::string& payload);

// One SQLite connection to one workspace.
class SqlHandle {
 public:
  SqlHandle(const std::string& path, const std::string& schema);
  ~SqlHandle();
  SqlHandle(const SqlHandle&) = delete;
  SqlHandle& operator=(const SqlHandle&) = delete;

  // Runs one statement. Sets `writes` to whether the statement could change
  // data; leaves it unchanged if the statement cannot be prepared.
  endpoint::StepResult Run(const std::string& sql,
                           const std::vector<endpoint::Cell>& parameters,
                           bool* writes);
  bool InTransaction() const;

 private:
  sqlite3* m_db = nullptr;
};

// Opens handles in a folder that no other process may use.
class SqlStore {
 public:
  SqlStore(std::string folder, std::string schema);
  std::unique_ptr<SqlHandle> Open(const WorkspaceId& workspace) const;
  // Removes the files of all workspaces. Open handles keep the old contents.
  void RemoveAll() const;
  const std::string& Folder() const { return m_folder; }

 private:
  const std::string m_folder;
  const std::string m_schema;
};

}  // namespace tiller::standin
