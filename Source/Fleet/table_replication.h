// Keeps this host's copies of the store's tables up to date: from the store, or
// from other hosts that read it. In a large fleet only some hosts, the readers,
// follow the store; see reader_choice.h. The others are their subscribers.
//
// - Copies only become newer: by the store's era first, then by its versions. A
//   host that was cut off cannot bring older content back.
// - A host that is not a reader asks two readers at a fixed interval for their
//   versions and for the time on the store's clock at which their copies were
//   complete. Copies that were not complete recently are stale: the host then
//   checks the store itself. A reader that the store does not answer cannot
//   make older copies look recent.
// - A long poll does not show whether the store answers. Readers check that at
//   short intervals and tell each other and their subscribers.
// - A host that is asked becomes a reader even if it did not choose itself:
//   views of the fleet may differ for a while.
// - Changes above a size are only announced; each host reads them from the
//   store.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Common/counters.h"
#include "Common/random.h"
#include "Fleet/fleet_messages.h"
#include "Fleet/reader_choice.h"
#include "Fleet/seat_table.h"
#include "Fleet/table_follower.h"

namespace tiller::fleet {

class TableReplication {
 public:
  // `seats` names the other hosts of the fleet.
  TableReplication(FleetHost self, const std::string& operator_table,
                   const std::string& endpoint_table, const SeatTable* seats,
                   const Clock* clock, Random* random, Counters* counters);

  const TableFollower& OperatorTable() const { return m_operator_table; }
  const TableFollower& EndpointTable() const { return m_endpoint_table; }
  const TableFollower& SeatRows() const { return m_seat_rows; }
  // Sets the version of the configuration in force, which other hosts are told.
  void SetConfigVersion(std::uint64_t version) { m_config_version = version; }
  // False while the copies may be out of date.
  bool Current() const;

  // These return the table whose content changed; nullptr if none did.
  const TableFollower* Handle(const TableRead& event);
  const TableFollower* Handle(const TableChanged& event);
  const TableFollower* Handle(const peer::TableCopy& copy);
  // Sends changes to a host whose copies are older, and asks for them if its
  // copies are newer.
  void Handle(const peer::Envelope& envelope, const peer::TableDigest& digest);
  // Reads the seats once, also while this host does not follow the store.
  void RequestSeats() { m_seat_rows.RequestCall(); }
  // Records that the store has begun a new era.
  void ObserveEra(StoreEra era);
  void Tick();
  std::vector<Action> TakeActions();

 private:
  struct Subscriber {
    Instant until;
    bool wants_changes = false;
    // Versions of the tables that the host has or has been sent.
    std::map<std::string, RowVersion> versions;
  };
  struct Source {
    std::optional<Instant> asked_since;  // first query without an answer
  };

  std::array<TableFollower*, 3> Followers();
  TableFollower* FollowerOf(const std::string& table);
  template <typename Answer>
  const TableFollower* HandleAnswer(const Answer& answer);
  void RestartLongPolls();
  // Sends the changes since a version or, if they are large, only the newer
  // version. `fetch`: the receiver asked for a large copy.
  void SendCopy(const std::string& address, const TableFollower& follower,
                RowVersion since, bool fetch);
  // Gets a large change from the store or, if it does not answer this host,
  // from the host that has it.
  void GetLargeChange(const std::string& address, TableFollower* follower);
  void SendDigest(const std::string& address, peer::TableDigest digest,
                  bool with_seats);
  void SendDigests();

  // ---- readers and their subscribers (table_sources.cc)
  void OnQuery(const peer::Envelope& envelope, const peer::TableDigest& digest);
  void OnAnswer(const peer::Envelope& envelope);
  void NotifySubscribers(const TableFollower& follower);
  void ConfirmToSubscribers();
  // A random delay, so that one reader checks before the others.
  Milliseconds CheckSpread();
  // Tells the other readers that the store answers and what it has.
  void ConfirmToReaders();
  // Decides which tables this host follows itself.
  void UpdateFollowModes();
  void UpdatePlan();
  // Decides whether this host follows the store.
  void UpdateReaderRole();
  void FollowStore();
  void FollowSources();
  void Avoid(const HostId& host);
  void AvoidSilentSources();
  void QuerySources();
  bool ReadsStore() const;
  // Time since the copy was complete, on the store's clock.
  Milliseconds AgeOf(const TableFollower& follower) const;
  // True if the copies were complete recently.
  bool Fresh() const;

  const FleetHost m_self;
  const SeatTable* const m_seats;
  const Clock* const m_clock;
  Random* const m_random;
  Counters* const m_counters;
  TableFollower m_operator_table;
  TableFollower m_endpoint_table;
  TableFollower m_seat_rows;
  std::uint64_t m_config_version = 0;
  const Instant m_started_at;
  // No host had a seat when this host first read the table.
  bool m_first_start = true;
  ReaderPlan m_plan;
  Instant m_next_plan_at{};
  // Whether this host follows the store, and since when it does or does not.
  bool m_follows_store = false;
  Instant m_role_since{};
  // Ages of the copies at which this host, as a reader, checks the store.
  Milliseconds m_check_age{0};
  Milliseconds m_seat_check_age{0};
  // Since when this host, whose copies are stale, checks whether the store
  // answers.
  std::optional<Instant> m_probing_since;
  Instant m_last_probe_answer{};
  // Other hosts use this host as a reader until then.
  Instant m_reader_until{};
  // Key: address of the host.
  std::map<std::string, Subscriber> m_subscribers;
  std::map<std::string, Source> m_sources;
  // Hosts that did not answer queries, and until when they are not asked.
  std::map<HostId, Instant> m_avoided;
  Instant m_next_query_at{};
  Instant m_next_digest_at{};
  // Key: address of the receiving host, "/", name of the table.
  std::map<std::string, Instant> m_copy_sent_at;
  // When newer copies were last requested. Key: address of the host asked.
  std::map<std::string, Instant> m_copies_requested_at;
  Instant m_next_large_copy_at{};
  Instant m_next_fetch_at{};
  std::vector<Action> m_actions;
};

}  // namespace tiller::fleet
