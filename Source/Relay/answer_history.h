// Tells whether an answer belongs to the statement in progress on an endpoint
// connection. No I/O.
//
// Answers carry no identification, and an endpoint may answer a statement
// twice, the second time after any delay. Order alone would give the second
// answer to whatever statement is in progress then, of any session. Answers do
// arrive in the order of their statements, second answers aside, and a second
// answer repeats the first. What follows for each kind of answer:
//
// - A receipt is unique, so a repeated one identifies a second answer.
// - Statements of the relay itself are acknowledged without a receipt. Such an
//   acknowledgement may be a repetition if it equals an earlier one. The
//   connection can still be used, because the endpoint runs the statements in
//   order, but the answer proves nothing about the present.
// - A refusal that equals an earlier one, or that may answer an earlier
//   statement whose acknowledgement was a repetition, says nothing about the
//   statement in progress. Its outcome is unknown.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "Relay/relay_types.h"

namespace tiller::relay {

// What the statement in progress can be answered with.
struct ExpectedAnswer {
  enum class Kind {
    kNone,             // no statement is in progress
    kReceipt,          // a read, write or commit
    kAcknowledgement,  // a statement of the relay itself
    kStatus            // an administrative statement
  };
  Kind kind = Kind::kNone;
  TxState state = TxState::kIdle;  // after the statement has succeeded
  // The position that the statement required of the endpoint's log.
  std::optional<GroupPosition> after;
  // The answer began to arrive before the statement was sent.
  bool early = false;
  // It is known that the endpoint answers statements twice. Second answers may
  // also be cut off, so that the next one seems to hold them.
  bool endpoint_repeats = false;
  bool may_have_rows = true;  // false for writes and commits
};

enum class AnswerMatch {
  // It answers the statement in progress.
  kConfirmed,
  // It fits the statement, but may be the repetition of an earlier answer.
  kUnconfirmed,
  // It answers an earlier statement; that in progress is not answered yet.
  kRepeated,
  // A refusal that may answer an earlier statement.
  kDisputed,
  // No statement of this connection can have been answered with it.
  kInvalid
};
inline constexpr std::array<std::string_view, 5> kAnswerMatchNames = {
    "confirmed", "unconfirmed", "repeated", "disputed", "invalid"};

// The answers that arrived on one connection.
class AnswerHistory {
 public:
  // Classifies the next answer and records it.
  AnswerMatch Match(const ExpectedAnswer& expected,
                    const StatementResult& answer);
  // True if a statement was refused. Another refusal could not be told from a
  // repetition of it.
  bool HasRefusal() const { return m_refused; }
  // True if the history has reached its maximum size.
  bool IsFull() const;

 private:
  // Kinds of acknowledgements that cannot be told from each other: one for each
  // transaction state, and those with a row of status.
  static constexpr std::size_t kStatusKind = kTxStateNames.size();
  using KindFlags = std::array<bool, kTxStateNames.size() + 1>;

  AnswerMatch MatchReceipt(const ExpectedAnswer& expected,
                           const StatementResult& answer);
  AnswerMatch MatchAcknowledgement(const ExpectedAnswer& expected,
                                   const StatementResult& answer);
  AnswerMatch MatchRefusal(const ExpectedAnswer& expected,
                           const StatementResult& answer);
  // Returns false if it has been recorded before.
  bool Record(std::string_view answer);

  // Digests of receipts, acknowledgements and refusals; sorted.
  std::vector<std::uint64_t> m_digests;
  // An acknowledgement of this kind may have been a repetition, so that of its
  // statement may still arrive.
  KindFlags m_outstanding{};
  bool m_refused = false;
};

}  // namespace tiller::relay
