// Keeps a copy of one of the store's tables. Reads the whole table once, then
// polls for changes. Reads the table again if the store has discarded the
// change history.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "Fleet/fleet_messages.h"

namespace tiller::fleet {

class TableFollower {
 public:
  TableFollower(std::string table, const Clock* clock)
      : m_table(std::move(table)), m_clock(clock) {}

  const std::string& Table() const { return m_table; }
  const std::map<std::string, Row>& Rows() const { return m_rows; }
  bool Loaded() const { return m_loaded; }
  // The highest version of any row received, including deletions. Equal content
  // versions mean equal content.
  RowVersion ContentVersion() const { return m_content_version; }
  // Time of the last successful answer of the store.
  Instant LastAnswerTime() const { return m_last_answer_at; }
  bool Failing() const { return m_failures > 0; }

  // The next call to make, if one is due.
  std::optional<Action> NextCall();
  // Both return true if the content changed.
  bool Handle(const TableRead& event);
  bool Handle(const TableChanged& event);
  // Applies a copy from another host if it is newer than the local content or
  // nothing is loaded yet. Returns true if the copy was applied.
  bool Adopt(const std::vector<Row>& rows, RowVersion content_version);

 private:
  bool RecordFailure(StoreStatus status);
  void RecordSuccess();

  const std::string m_table;
  const Clock* const m_clock;
  std::map<std::string, Row> m_rows;
  bool m_loaded = false;
  bool m_call_outstanding = false;
  bool m_read_needed = true;
  // Store version up to which changes have been applied.
  RowVersion m_store_version = 0;
  RowVersion m_content_version = 0;
  int m_failures = 0;
  Instant m_retry_at{};
  Instant m_last_answer_at{};
};

}  // namespace tiller::fleet
