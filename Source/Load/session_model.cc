// Implementation of the checks of the answers to a session.
#include "Load/session_model.h"

namespace tiller::load {

void SessionModel::OnWriteAnswered() {
  ++m_acknowledged_writes;
  m_row_created = true;
}

void SessionModel::OnWriteFailed(RunOutcome outcome) {
  if (outcome == RunOutcome::kNotRun) return;
  ++m_unknown_writes;
}

Breach SessionModel::CheckWriteAnswer(const Json::Value& body) const {
  const auto& affected = body["affected"];
  return affected.isUInt64() && affected.asUInt64() == 1 ? Breach::kNone
                                                         : Breach::kWrongAnswer;
}

Breach SessionModel::CheckRow(const Json::Value& body,
                              std::uint64_t* version) const {
  const auto& rows = body["rows"];
  if (!rows.isArray() || rows.size() > 1) return Breach::kWrongAnswer;
  if (rows.empty()) {
    *version = 0;
    return Breach::kNone;
  }
  const auto& row = rows[0];
  if (!row.isArray() || row.size() != 3 || !row[2].isUInt64()) {
    return Breach::kWrongAnswer;
  }
  if (row[0].asString() != m_id) return Breach::kWrongAnswer;
  if (row[1].asString() != m_workspace) return Breach::kWrongWorkspace;
  *version = row[2].asUInt64();
  return Breach::kNone;
}

Breach SessionModel::CheckRead(const Json::Value& body) const {
  std::uint64_t version = 0;
  const auto row_breach = CheckRow(body, &version);
  if (row_breach != Breach::kNone) return row_breach;
  if (version < m_acknowledged_writes) return Breach::kReadYourWrites;
  if (version > m_acknowledged_writes + m_unknown_writes)
    return Breach::kRunTwice;
  return Breach::kNone;
}

Breach SessionModel::CheckFinal(const Json::Value& body) const {
  const auto breach = CheckRead(body);
  return breach == Breach::kReadYourWrites ? Breach::kLostWrite : breach;
}

}  // namespace tiller::load
