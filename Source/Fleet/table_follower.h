// Keeps a copy of one of the store's tables. Reads the whole table once, then
// polls for changes. Reads the table again if the store has discarded the
// change history. While it is paused, it calls the store only for the first
// read; changes come as copies from other hosts.
//
// Content of an older era of the store is kept until the table has been read
// again in the newer one, or a copy of that has arrived.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "Common/counters.h"
#include "Common/random.h"
#include "Fleet/fleet_messages.h"

namespace tiller::fleet {

enum class FollowMode {
  kPaused,    // no calls after the first read
  kProbe,     // one call without waiting at a time, with long pauses
  kInterval,  // polls at a fixed interval; for tables that change constantly
  kLongPoll   // waits at the store for the next change
};

class TableFollower {
 public:
  TableFollower(std::string table, const Clock* clock, Random* random,
                Counters* counters)
      : m_table(std::move(table)),
        m_clock(clock),
        m_random(random),
        m_counters(counters) {}

  const std::string& Table() const { return m_table; }
  const std::map<std::string, Row>& Rows() const { return m_rows; }
  bool Loaded() const { return m_loaded; }
  // The highest version of any row received, including deletions. Equal content
  // versions mean equal content.
  RowVersion ContentVersion() const { return m_content_version; }
  bool Failing() const { return m_failures > 0; }
  // Time of the last successful answer of the store.
  Instant LastAnswerTime() const { return m_last_answer_at; }
  // Local time just before the last call was made.
  Instant LastCallTime() const { return m_last_call_at; }
  // The time on the store's clock at which the content was known to be
  // complete.
  StoreTime CompleteAt() const { return m_complete_at; }

  // `interval` is the time from an answer to the next call; it applies to
  // kInterval and kLongPoll. The first call in a new mode does not wait.
  void SetMode(FollowMode mode, Milliseconds interval = Milliseconds{0});
  // Records that the store has begun a new era.
  void ObserveEra(StoreEra era);
  // Makes one call without waiting, also while paused, unless one is in
  // progress.
  void RequestCall() { m_call_requested |= m_call == 0; }
  // Makes a call without waiting beside the long poll in progress, whose
  // silence does not show whether the store still answers.
  void RequestCheck() { m_check_requested = true; }
  // Replaces the long poll in progress, whose answer may be lost, by a call
  // without waiting.
  void RestartLongPoll();
  // Like RequestCall, for a change that is known to be large.
  void RequestLargeCall();
  // The next call to make, if one is due.
  std::optional<Action> NextCall();
  // Both return true if the content changed.
  bool Handle(const TableRead& event);
  bool Handle(const TableChanged& event);

  // True if a copy of the changes since `version` is too large to be sent to
  // many hosts.
  bool IsLargeSince(RowVersion version) const;
  peer::TableDigest::Item Digest() const;
  // The rows that changed after `version`, or the whole table if deletions
  // since then are not known.
  peer::TableCopy CopySince(RowVersion version) const;
  // Applies a copy from another host if it is newer than the local content or
  // nothing is loaded yet. Returns true if the content changed.
  bool Adopt(const peer::TableCopy& copy);
  // Records that another host's copy, unless it is newer than the local one,
  // was complete up to the given version and time of the store.
  void Confirm(const peer::TableDigest::Item& item);

 private:
  // Ends the call or check in progress if this is its answer. Returns false for
  // the answer to a call that was replaced.
  bool EndCall(CallId call);
  std::optional<Action> NextCheck();
  bool RecordFailure(StoreStatus status);
  void RecordSuccess(StoreTime now);
  // Applies a row unless a newer one, or its deletion, is known. Returns true
  // if it was applied.
  bool Apply(const Row& row);

  const std::string m_table;
  const Clock* const m_clock;
  Random* const m_random;
  Counters* const m_counters;
  FollowMode m_mode = FollowMode::kLongPoll;
  Milliseconds m_interval{0};
  std::map<std::string, Row> m_rows;
  // Versions at which rows were deleted, complete from
  // `m_deletions_known_from`.
  std::map<std::string, RowVersion> m_deletions;
  RowVersion m_deletions_known_from;
  bool m_loaded = false;
  CallId m_last_call = 0;
  // The call in progress and the check in progress; 0: none.
  CallId m_call = 0;
  CallId m_check = 0;
  bool m_call_waits = false;  // the call in progress is a long poll
  bool m_call_requested = false;
  bool m_check_requested = false;
  bool m_large_expected = false;
  bool m_read_needed = true;
  // Store version up to which changes have been applied. Both are of one era.
  RowVersion m_store_version;
  RowVersion m_content_version;
  StoreTime m_complete_at{0};
  int m_failures = 0;
  // Calls since the last successful one that found the history discarded.
  int m_expirations = 0;
  Instant m_next_call_at{};
  Instant m_last_call_at{};
  Instant m_last_answer_at{};
};

}  // namespace tiller::fleet
