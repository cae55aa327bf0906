// Keeps a copy of one of the store's tables: read as a whole once, then
// followed by its changes; read again when the history is gone.
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
  // The newest version of any row seen, deletions included. Equal content
  // versions mean equal content.
  RowVersion ContentVersion() const { return m_content_version; }
  // When the store last answered.
  Instant LastAnswer() const { return m_last_answer; }
  bool Failing() const { return m_failures > 0; }

  // The next call to make, if one is due.
  std::optional<Action> NextCall();
  // Both return true if the content changed.
  bool Handle(const TableRead& event);
  bool Handle(const TableChanged& event);
  // A copy from another host; ignored unless it is newer.
  bool Adopt(const std::vector<Row>& rows, RowVersion content_version);

 private:
  bool Failed(StoreStatus status);
  void Answered();

  const std::string m_table;
  const Clock* const m_clock;
  std::map<std::string, Row> m_rows;
  bool m_loaded = false;
  bool m_calling = false;
  bool m_read_needed = true;
  // Store version up to which changes are known.
  RowVersion m_after = 0;
  RowVersion m_content_version = 0;
  int m_failures = 0;
  Instant m_retry_at{};
  Instant m_last_answer{};
};

}  // namespace tiller::fleet
