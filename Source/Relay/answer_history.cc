// Implementation of the answer history.
#include "Relay/answer_history.h"

#include <algorithm>
#include <string>

#include "Common/crypto.h"
#include "Common/names.h"

namespace tiller::relay {
namespace {

using Kind = ExpectedAnswer::Kind;

// Stands for the receipt in answers to statements of the relay itself.
constexpr std::string_view kNoReceipt = "-";
// Limits the memory of a connection to a few kilobytes.
constexpr std::size_t kMaxDigests = 1'024;

}  // namespace

bool AnswerHistory::Record(std::string_view answer) {
  const auto digest = StableHash(answer);
  const auto place =
      std::lower_bound(m_digests.begin(), m_digests.end(), digest);
  if (place != m_digests.end() && *place == digest) return false;
  m_digests.insert(place, digest);
  return true;
}

bool AnswerHistory::IsFull() const { return m_digests.size() >= kMaxDigests; }

AnswerMatch AnswerHistory::Match(const ExpectedAnswer& expected,
                                 const StatementResult& answer) {
  if (!answer.Ok()) return MatchRefusal(expected, answer);
  if (answer.text.empty() || answer.text == kNoReceipt) {
    return MatchAcknowledgement(expected, answer);
  }
  return MatchReceipt(expected, answer);
}

AnswerMatch AnswerHistory::MatchReceipt(const ExpectedAnswer& expected,
                                        const StatementResult& answer) {
  if (!Record("receipt " + answer.text)) return AnswerMatch::kRepeated;
  const bool holds_pieces = expected.endpoint_repeats &&
                            (answer.text.find(' ') != std::string::npos ||
                             (!expected.may_have_rows && !answer.rows.empty()));
  if (expected.kind != Kind::kReceipt || expected.early || holds_pieces ||
      expected.state != answer.state) {
    return AnswerMatch::kInvalid;
  }
  // Everything that was asked before has been answered.
  m_outstanding = {};
  return AnswerMatch::kConfirmed;
}

AnswerMatch AnswerHistory::MatchAcknowledgement(const ExpectedAnswer& expected,
                                                const StatementResult& answer) {
  const bool status = !answer.rows.empty();
  const auto kind =
      status ? kStatusKind : static_cast<std::size_t>(answer.state);
  auto text = "done " + std::string(NameOf(kTxStateNames, answer.state));
  if (answer.position) text += " " + TextOf(*answer.position);
  for (const auto& row : answer.rows) text += "\n" + row;
  const bool is_new = Record(text);
  const bool fits =
      expected.kind == (status ? Kind::kStatus : Kind::kAcknowledgement) &&
      !expected.early && expected.state == answer.state &&
      answer.rows.size() <= 1;
  // A log that lacks the required position refuses the statement.
  const bool too_old =
      expected.after && answer.position && *answer.position < *expected.after;
  const bool holds_pieces =
      status && is_new && expected.kind == Kind::kAcknowledgement;
  if (holds_pieces) return AnswerMatch::kInvalid;
  if (!fits || too_old) return AnswerMatch::kRepeated;
  if (is_new && !m_outstanding.at(kind)) {
    m_outstanding = {};
    return AnswerMatch::kConfirmed;
  }
  m_outstanding.at(kind) = true;
  return AnswerMatch::kUnconfirmed;
}

AnswerMatch AnswerHistory::MatchRefusal(const ExpectedAnswer& expected,
                                        const StatementResult& answer) {
  const bool is_new =
      Record("refused " + std::string(NameOf(kRefusalNames, answer.refusal)) +
             " " + answer.text);
  if (expected.kind == Kind::kNone || expected.early) {
    return is_new ? AnswerMatch::kInvalid : AnswerMatch::kRepeated;
  }
  m_refused = true;
  const bool outstanding = std::find(m_outstanding.begin(), m_outstanding.end(),
                                     true) != m_outstanding.end();
  // Statements that change a session need no slot of the endpoint, so they are
  // not refused as busy. BEGIN may be, but not in a transaction.
  const auto begin = static_cast<std::size_t>(TxState::kOpen);
  const bool own_refusal =
      answer.refusal == Refusal::kBusy && !expected.endpoint_repeats &&
      (!m_outstanding.at(begin) || answer.state != TxState::kIdle);
  return is_new && (!outstanding || own_refusal) ? AnswerMatch::kConfirmed
                                                 : AnswerMatch::kDisputed;
}

}  // namespace tiller::relay
