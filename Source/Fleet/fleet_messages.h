// Events that the fleet core of a host handles, and actions that it returns.
// The store is modeled as tables of versioned rows; see docs/PLATFORM.md.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Metering/operation_counts.h"
#include "Peer/peer_messages.h"
#include "Relay/relay_messages.h"

namespace tiller::fleet {

using StoreTime = Milliseconds;  // on the store's steady clock
using CallId = std::uint64_t;
// Counts how often the store has come back from an older copy of itself. What
// was written after the copy is gone, and its numbers are given out again.
using StoreEra = std::uint64_t;

// Orders all changes of the store, also across its eras.
struct RowVersion {
  StoreEra era = 0;
  std::uint64_t number = 0;  // from a counter shared by all tables
  auto operator<=>(const RowVersion&) const = default;
  bool IsNone() const { return era == 0 && number == 0; }
};
// As ERA.NUMBER, for log lines.
inline std::string TextOf(const RowVersion& version) {
  return std::to_string(version.era) + "." + std::to_string(version.number);
}

struct Row {
  std::string key;
  std::string value;
  RowVersion version;
  bool deleted = false;
};

enum class StoreStatus {
  kDone,
  kConflict,  // a row did not have the expected version; no change made
  kExpired,   // the requested change history was discarded
  kNotRun,    // refused or never sent
  kUnknown    // no answer; the call may still take effect
};
inline constexpr std::array<std::string_view, 5> kStoreStatusNames = {
    "done", "conflict", "expired", "not_run", "unknown"};

// In the answers, `era` is the store's era when it answered, also if it
// refused; 0: it did not answer, or does not name its era.

// Full content of a table.
struct TableRead {
  std::string table;
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<Row> rows;
  RowVersion version;
  StoreTime now{0};
  CallId call = 0;  // as in ReadTable
  StoreEra era = 0;
};
// Rows that changed after the requested version.
struct TableChanged {
  std::string table;
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<Row> rows;
  RowVersion version;
  StoreTime now{0};
  CallId call = 0;  // as in FollowTable
  RowVersion after;
  StoreEra era = 0;
};
struct RowWritten {
  CallId call = 0;
  StoreStatus status = StoreStatus::kUnknown;
  RowVersion expected;  // as in WriteRow
  RowVersion version;
  StoreTime now{0};
  StoreEra era = 0;
};
enum class PromoteStatus { kDone, kFenced, kNotRun, kUnknown };
struct PromoteAnswered {
  CallId call = 0;
  PromoteStatus status = PromoteStatus::kUnknown;
};
struct PeerReceived {
  peer::Envelope envelope;
};
// Answer to ReportUsage; kFenced: a higher token was seen.
struct UsageAnswered {
  CallId call = 0;
  PromoteStatus status = PromoteStatus::kUnknown;
};
// The process is being stopped. `last`: it ends now, and only what this event
// causes is still sent.
struct Stopping {
  bool last = false;
};
struct TimerFired {};

using Event = std::variant<TableRead, TableChanged, RowWritten, PromoteAnswered,
                           PeerReceived, relay::PrimaryHealth, relay::AdminDone,
                           relay::SendShare, relay::CommitsHeld,
                           metering::OperationsCounted, UsageAnswered, Stopping,
                           TimerFired>;

// `answer_limit` is the time in which the answer has to arrive, beyond the wait
// that a call requests.
struct ReadTable {
  std::string table;
  Milliseconds answer_limit{1'200};
  CallId call = 0;
};
// Long poll: answered as soon as a row changes after version `after`, or when
// `wait` has elapsed.
struct FollowTable {
  std::string table;
  RowVersion after;
  Milliseconds wait{0};
  Milliseconds answer_limit{1'200};
  CallId call = 0;
};
struct WriteRow {
  CallId call = 0;
  std::string table;
  std::string key;
  std::string value;
  RowVersion expected;  // number 0: the row must not exist
};
struct Promote {
  CallId call = 0;
  GroupId group;
  EndpointId endpoint;
  HostId holder;
  std::uint64_t fencing_token = 0;
};
// Reports the operations that all hosts have counted in a window. `counts` is a
// JSON object with a number for each workspace.
struct ReportUsage {
  CallId call = 0;
  HostId holder;
  std::uint64_t fencing_token = 0;
  std::uint64_t window = 0;
  std::string counts;
};
struct SendPeer {
  std::string address;
  peer::Message message;
};
struct PublishDirectory {
  relay::DirectoryPtr directory;
};

using Action =
    std::variant<ReadTable, FollowTable, WriteRow, Promote, ReportUsage,
                 SendPeer, PublishDirectory, relay::SeatsChanged,
                 relay::AdminRequest, relay::ShareReceived, relay::HoldCommits,
                 relay::CommitLeaseChanged>;

}  // namespace tiller::fleet
