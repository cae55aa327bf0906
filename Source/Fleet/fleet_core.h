// Decision logic of the control thread on a platform with a transactional
// store: configuration, endpoints, seats, failover and messages to other hosts.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Fleet/directory_builder.h"
#include "Fleet/primary_failover.h"
#include "Fleet/reader_choice.h"
#include "Fleet/seat_table.h"
#include "Fleet/table_follower.h"

namespace tiller::fleet {

struct FleetSettings {
  std::string host;
  std::string address;       // on which other hosts reach this host
  std::string pool_address;  // on which other hosts reach its shared pool
  ZoneId zone;
  // Names of the tables written by the operator and by the endpoints.
  std::string operator_table;
  std::string endpoint_table;
};

class FleetCore {
 public:
  FleetCore(FleetSettings settings, const RecordCodec* codec,
            const Clock* clock, Random* random, Counters* counters);

  void Handle(const Event& event);
  std::vector<Action> TakeActions();
  // True if a configuration has been loaded and endpoints are known.
  bool Ready() const;

 private:
  void On(const TableRead& event);
  void On(const TableChanged& event);
  void On(const RowWritten& event);
  void On(const PromoteAnswered& event);
  void On(const PeerReceived& event);
  void On(const relay::PrimaryHealth& event);
  void On(const relay::AdminDone& event);
  void On(const relay::SendShare& event);
  void On(const TimerFired& event);

  void OnTableDigest(const peer::Envelope& envelope,
                     const peer::TableDigest& digest);
  void OnTableCopy(const peer::TableCopy& copy);
  TableFollower* FollowerOf(const std::string& table);
  std::array<TableFollower*, 3> Followers();
  void OnTableContent(const TableFollower& follower);
  void Publish();
  void PublishSeats();
  // Called when the host's seats or their holders may have changed.
  void OnSeatsChanged();
  // Sends the changes since a version or, if they are large, only the newer
  // version.
  void SendCopy(const std::string& address, const TableFollower& follower,
                RowVersion since, bool fetch);
  // Gets a large change from the store or, if it does not answer this host,
  // from the host that has it.
  void GetLargeChange(const std::string& address, TableFollower* follower);
  void SendDigest(const std::string& address, peer::TableDigest digest,
                  bool with_seats);
  void SendDigests();
  void NotifySubscribers(const TableFollower& follower);
  void CollectActions();

  // ---- readers and sources (table_sources.cc)
  void OnQuery(const peer::Envelope& envelope, const peer::TableDigest& digest);
  void OnAnswer(const peer::Envelope& envelope,
                const peer::TableDigest& digest);
  // Decides which tables this host follows itself.
  void UpdateFollowModes();
  void UpdatePlan();
  void AvoidSilentSources();
  bool ReadsStore() const;
  // True if a source that follows the store has answered recently.
  bool SourceConfirmed() const;
  void QuerySources();

  const FleetSettings m_settings;
  const Clock* const m_clock;
  Random* const m_random;
  Counters* const m_counters;
  TableFollower m_operator_table;
  TableFollower m_endpoint_table;
  TableFollower m_seat_rows;
  SeatTable m_seats;
  DirectoryBuilder m_builder;
  PrimaryFailover m_failover;
  relay::DirectoryPtr m_directory;
  CallId m_next_call = 1;
  Instant m_next_digest_at{};
  Instant m_tables_current_from{};
  // The view last published.
  std::optional<limits::SeatView> m_published_seats;
  // Rank of this host in the order of each group, among these holders of seats.
  std::map<GroupId, std::size_t> m_host_ranks;
  std::vector<HostId> m_ranked_holders;
  const Instant m_started_at;
  // No host had a seat when this host first read the table.
  bool m_first_start = true;

  // ---- readers and sources
  struct Subscriber {
    Instant until;
    bool wants_changes = false;
    // Versions of the tables that the host has or has been sent.
    std::map<std::string, RowVersion> versions;
  };
  struct Source {
    std::optional<Instant> asked_since;  // first query without an answer
    Instant confirmed_at{};  // last answer of the host while it reads the store
  };
  ReaderPlan m_plan;
  Instant m_next_plan_at{};
  // Since when this host follows the store; unset while it does not.
  std::optional<Instant> m_reads_since;
  // Since when no source has confirmed its answers.
  Instant m_unconfirmed_since{};
  // Key: address of the host.
  std::map<std::string, Subscriber> m_subscribers;
  std::map<std::string, Source> m_sources;
  // Hosts that did not answer queries, and until when they are not asked.
  std::map<HostId, Instant> m_avoided;
  Instant m_next_query_at{};
  // Other hosts use this host as a reader until then.
  Instant m_reader_until{};
  // Key: address of the receiving host, "/", name of the table.
  std::map<std::string, Instant> m_table_copy_sent_at;
  Instant m_next_large_copy_at{};
  Instant m_next_fetch_at{};
  std::vector<Action> m_actions;
};

}  // namespace tiller::fleet
