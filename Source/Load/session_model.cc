// Implementation of the checks of a session's answers.
#include "Load/session_model.h"

namespace tiller::load {

void SessionModel::OnWriteAnswered() {
  ++m_acknowledged;
  m_created = true;
}

void SessionModel::OnWriteRefused(RunOutcome outcome) {
  if (outcome == RunOutcome::kNotRun) return;
  ++m_unknown;
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
  const auto shape = CheckRow(body, &version);
  if (shape != Breach::kNone) return shape;
  if (version < m_acknowledged) return Breach::kReadYourWrites;
  if (version > m_acknowledged + m_unknown) return Breach::kRunTwice;
  return Breach::kNone;
}

Breach SessionModel::CheckFinal(const Json::Value& body) const {
  const auto breach = CheckRead(body);
  return breach == Breach::kReadYourWrites ? Breach::kLostWrite : breach;
}

}  // namespace tiller::load
