// The platform as the decision library sees it: calls are values that leave
// as actions, answers are values that come back as events.
#pragma once

#include <json/json.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Common/error.h"

namespace tiller::platform {

// Version 0 stands for an absent row.
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
// One conditional write of a transaction; a null value deletes the row.
struct RowWrite {
  std::string table;
  std::string key;
  RowVersion expected = 0;
  Json::Value value;
};
// All writes take effect or none; kConflict when a version differs.
struct CommitRows {
  std::vector<RowWrite> writes;
};
struct GetObject {
  std::string name;
};
// Objects are written once; writing the same body again succeeds.
struct PutObject {
  std::string name;
  std::string body;
};
// The platform's list of hosts; it lags.
struct ListHosts {};

using Call = std::variant<ReadRow, ListRows, CommitRows, GetObject, PutObject,
                          ListHosts>;

struct ListedHost {
  std::string address;  // control address
  bool leaving = false;
};

// What a call returned; the members that its kind does not fill stay empty.
struct Answer {
  std::vector<Row> rows;             // ReadRow (one), ListRows
  std::vector<RowVersion> versions;  // CommitRows, in order of the writes
  std::string body;                  // GetObject
  std::vector<ListedHost> hosts;     // ListHosts
};

}  // namespace tiller::platform
