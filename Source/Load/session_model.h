// Model of one simulated session: tracks its writes and checks every answer
// against them. No I/O.
//
// Each session owns one row. Its first write creates the row and each later
// write increments the row's version, so the version counts the writes that
// ran.
#pragma once

#include <json/json.h>

#include <cstdint>
#include <string>
#include <utility>

#include "Common/error.h"

namespace tiller::load {

// A violation of one of the guarantees.
enum class Breach {
  kNone,
  kReadYourWrites,  // a read does not show an acknowledged write
  kRunTwice,        // more writes ran than were acknowledged or may have run
  kWrongWorkspace,  // the row belongs to another workspace
  kWrongAnswer,     // another session's row, or an unexpected format
  kLostWrite        // an acknowledged write is missing at the end
};
inline constexpr std::array<std::string_view, 6> kBreachNames = {
    "none",         "read_your_writes", "run_twice", "wrong_workspace",
    "wrong_answer", "lost_write"};

enum class Operation { kWrite, kRead, kStrictRead, kListRead };
inline constexpr std::array<std::string_view, 4> kOperationNames = {
    "write", "read", "strict_read", "list_read"};

class SessionModel {
 public:
  SessionModel(std::string id, std::string workspace)
      : m_id(std::move(id)), m_workspace(std::move(workspace)) {}

  const std::string& Id() const { return m_id; }
  const std::string& Workspace() const { return m_workspace; }
  // Whether the next write has to create the row.
  bool MustCreate() const { return !m_row_created; }

  void OnWriteAnswered();
  void OnWriteFailed(RunOutcome outcome);
  // Checks that a write changed exactly one row.
  Breach CheckWriteAnswer(const Json::Value& body) const;
  // Checks the answer to a read of the session's row. The member `rows` must be
  // empty or hold one row with the columns id, workspace and version.
  Breach CheckRead(const Json::Value& body) const;
  // Like CheckRead(), at the end with no request in flight: a missing
  // acknowledged write is then a lost write.
  Breach CheckFinal(const Json::Value& body) const;

 private:
  Breach CheckRow(const Json::Value& body, std::uint64_t* version) const;

  const std::string m_id;
  const std::string m_workspace;
  // Number of acknowledged writes: the lower bound of the row's version.
  std::uint64_t m_acknowledged_writes = 0;
  // Number of writes with an unknown outcome: each may or may not have run.
  std::uint64_t m_unknown_writes = 0;
  // Whether the row is known to exist.
  bool m_row_created = false;
};

}  // namespace tiller::load
