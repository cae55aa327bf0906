// Calls to the platform (its tables, objects and list of hosts) and their
// answers as plain values. The decision logic does no I/O: it returns calls as
// actions and receives the answers as events.
#pragma once

#include <json/json.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Common/error.h"

namespace tiller::platform {

// Version of a row; 0 if the row does not exist.
using RowVersion = std::uint64_t;

struct Row {
  std::string key;
  RowVersion version = 0;
  Json::Value value;
};

struct ReadRow {
  std::string table;
  std::string key;
};
struct ListRows {
  std::string table;
};
// One write of a transaction, on the condition that the row still has the
// version `expected`. A null value deletes the row.
struct RowWrite {
  std::string table;
  std::string key;
  RowVersion expected = 0;
  Json::Value value;
};
// Either all writes take effect or none. Fails with kConflict if the version of
// a row is not the expected one.
struct CommitRows {
  std::vector<RowWrite> writes;
};
struct GetObject {
  std::string name;
};
// Objects are write-once; writing the same body again succeeds.
struct PutObject {
  std::string name;
  std::string body;
};
// The platform's list of hosts, which may be out of date.
struct ListHosts {};

using Call = std::variant<ReadRow, ListRows, CommitRows, GetObject, PutObject,
                          ListHosts>;

struct ListedHost {
  std::string address;  // control address
  bool leaving = false;
};

// Result of a call. Members that don't apply to the type of the call stay
// empty.
struct Answer {
  std::vector<Row> rows;             // ReadRow (one), ListRows
  std::vector<RowVersion> versions;  // CommitRows, in order of the writes
  std::string body;                  // GetObject
  std::vector<ListedHost> hosts;     // ListHosts
};

}  // namespace tiller::platform
