// The simulated store.
#include <utility>

#include "Fleet/claim_row.h"
#include "UnitTests/Support/fleet_simulation.h"

namespace tiller::fleet {
namespace {

constexpr Milliseconds kWriteAnswerLimit{1'200};

}  // namespace

void FleetSimulation::SetConfig(std::uint64_t version, std::size_t padding) {
  PutRow("config", "config",
         std::to_string(version) + std::string(padding, ' '));
}

void FleetSimulation::TakeZoneOutOfService(const ZoneId& zone) {
  PutRow("config", "out/" + zone, "");
}

StoreTime FleetSimulation::StoreNow() const {
  return std::chrono::duration_cast<StoreTime>(clock.Now().time_since_epoch());
}

RowVersion FleetSimulation::NextVersion() {
  ++m_store.version.number;
  return m_store.version;
}

void FleetSimulation::PutRow(const std::string& table, const std::string& key,
                             const std::string& value) {
  const Row row{key, value, NextVersion(), false};
  m_store.tables[table][key] = row;
  m_store.history[table].push_back(row);
}

void FleetSimulation::CopyStore() { m_store_copy = m_store; }

void FleetSimulation::RestoreStore() {
  const auto era = m_store.version.era + 1;
  m_store = m_store_copy;
  m_store.version.era = era;
  for (auto& [table, rows] : m_store.tables) {
    for (auto& [key, row] : rows) row.version.era = era;
  }
  for (auto& [table, rows] : m_store.history) {
    for (auto& row : rows) row.version.era = era;
  }
  AddTrace("store restored at " + TextOf(m_store.version));
  for (auto& poll : std::exchange(m_long_polls, {})) {
    if (random.UniformBelow(2) == 0) {
      m_long_polls.push_back(std::move(poll));
      continue;
    }
    TableChanged event;
    event.table = poll.follow.table;
    event.call = poll.follow.call;
    Deliver(poll.host, event);
  }
}

std::set<int> FleetSimulation::HostsPolling(const std::string& table) const {
  std::set<int> hosts;
  for (const auto& poll : m_long_polls) {
    if (poll.follow.table == table && !poll.lost) hosts.insert(poll.host);
  }
  return hosts;
}

bool FleetSimulation::ReachesStore(int host) const {
  const bool in_cut_zone = m_zone_is_cut && ZoneOf(host) == *m_cut_zone;
  return !store_down && cut_off_from_store.count(host) == 0 &&
         refused_by_store.count(host) == 0 && !in_cut_zone;
}

template <typename Answer>
void FleetSimulation::Stamp(Answer* event) const {
  event->version = m_store.version;
  event->now = StoreNow();
  event->era = m_store.version.era;
}

template <typename Answer>
void FleetSimulation::DeliverStoreAnswer(int host, Answer event,
                                         Milliseconds answer_limit) {
  if (refused_by_store.count(host) > 0) event.status = StoreStatus::kNotRun;
  if (unanswered_by_store.count(host) == 0) return Deliver(host, event);
  event.status = StoreStatus::kUnknown;
  event.era = 0;
  const auto& state = *m_hosts[static_cast<std::size_t>(host)];
  m_deliveries.push_back(
      {clock.Now() + answer_limit, host, state.generation, event});
}

void FleetSimulation::Execute(int host, const ReadTable& read) {
  CountStoreCall(read.table);
  TableRead event;
  event.table = read.table;
  event.call = read.call;
  if (ReachesStore(host)) {
    Stamp(&event);
    event.status = StoreStatus::kDone;
    for (const auto& [key, item] : m_store.tables[read.table]) {
      event.rows.push_back(item);
    }
  }
  DeliverStoreAnswer(host, event, read.answer_limit);
}

void FleetSimulation::Execute(int host, const FollowTable& follow) {
  CountStoreCall(follow.table);
  m_long_polls.push_back({host,
                          m_hosts[static_cast<std::size_t>(host)]->generation,
                          follow, clock.Now() + follow.wait});
}

void FleetSimulation::Execute(int host, const WriteRow& write) {
  CountStoreCall(write.table);
  RowWritten event;
  event.call = write.call;
  event.expected = write.expected;
  if (ReachesStore(host)) {
    const auto it = m_store.tables[write.table].find(write.key);
    const auto present =
        it == m_store.tables[write.table].end() ? 0 : it->second.version.number;
    if (present != write.expected.number) {
      event.status = StoreStatus::kConflict;
    } else {
      PutRow(write.table, write.key, write.value);
      event.status = StoreStatus::kDone;
    }
    CountClaim(write, event.status == StoreStatus::kDone);
    Stamp(&event);
    if (LosesAnswer()) event.status = StoreStatus::kUnknown;
  }
  DeliverStoreAnswer(host, event, kWriteAnswerLimit);
}

void FleetSimulation::CountStoreCall(const std::string& table) {
  ++store_calls;
  ++store_calls_of_table[table];
}

void FleetSimulation::CountClaim(const WriteRow& write, bool written) {
  if (write.table != kClaimTable) return;
  const auto claim = DecodeClaim(write.value);
  if (!claim || claim->token <= m_claim_token) {
    // An attempt that another host's claim has overtaken has its token, too.
    claims_tried += claim && !written && !claim->finished;
    return;
  }
  ++claims_tried;
  if (!written) return;
  ++claims_made;
  m_claim_token = claim->token;
}

void FleetSimulation::AnswerLongPolls() {
  std::vector<LongPoll> still_open;
  for (auto& poll : std::exchange(m_long_polls, {})) {
    TableChanged event;
    event.table = poll.follow.table;
    event.after = poll.follow.after;
    event.call = poll.follow.call;
    event.status = StoreStatus::kDone;
    Stamp(&event);
    if (poll.lost) {
      if (clock.Now() < poll.deadline + poll.follow.answer_limit) {
        still_open.push_back(std::move(poll));
        continue;
      }
      event.status = StoreStatus::kUnknown;
      event.era = 0;
      Deliver(poll.host, event);
      continue;
    }
    if (!ReachesStore(poll.host)) {
      event.status = StoreStatus::kUnknown;
      event.era = 0;
      Deliver(poll.host, event);
      continue;
    }
    const bool unknown_version =
        poll.follow.after.number > m_store.version.number && !poll.waiting;
    if (history_discarded || unknown_version) {
      event.status = StoreStatus::kExpired;
      Deliver(poll.host, event);
      continue;
    }
    poll.waiting = true;
    for (const auto& row : m_store.history[poll.follow.table]) {
      if (row.version.number > poll.follow.after.number)
        event.rows.push_back(row);
    }
    if (event.rows.empty() && clock.Now() < poll.deadline) {
      still_open.push_back(std::move(poll));
      continue;
    }
    if (unanswered_by_store.count(poll.host) > 0) {
      poll.lost = true;
      still_open.push_back(std::move(poll));
      continue;
    }
    Deliver(poll.host, event);
  }
  for (auto& poll : still_open) m_long_polls.push_back(std::move(poll));
}

}  // namespace tiller::fleet
