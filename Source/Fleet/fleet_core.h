// Decision logic of the control thread on a platform with a transactional
// store: configuration, endpoints, seats, failover and messages to other hosts.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Fleet/commit_guard.h"
#include "Fleet/directory_builder.h"
#include "Fleet/primary_failover.h"
#include "Fleet/seat_table.h"
#include "Fleet/table_replication.h"
#include "Metering/usage_reporter.h"

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

// The hosts and the time as the seat table knows them.
class SeatFleetView final : public metering::FleetView {
 public:
  explicit SeatFleetView(const SeatTable* seats) : m_seats(seats) {}
  std::vector<FleetHost> Peers() const override { return m_seats->Peers(); }
  std::optional<Milliseconds> StoreTime() const override {
    return m_seats->EstimatedStoreTime();
  }

 private:
  const SeatTable* const m_seats;
};

class FleetCore {
 public:
  FleetCore(const FleetSettings& settings, const RecordCodec* codec,
            const Clock* clock, Random* random, Counters* counters,
            const metering::UsageSettings& usage = {});

  void Handle(const Event& event);
  std::vector<Action> TakeActions();
  // True if a configuration has been loaded and endpoints are known.
  bool Ready() const;
  // Time that the messages caused by the last event of a stopping process need
  // to leave it; 0: there are none.
  Milliseconds StopDelay() const;

 private:
  void On(const TableRead& event);
  void On(const TableChanged& event);
  void On(const RowWritten& event);
  void On(const PromoteAnswered& event);
  void On(const PeerReceived& event);
  void On(const relay::PrimaryHealth& event);
  void On(const relay::AdminDone& event);
  void On(const relay::SendShare& event);
  void On(const relay::CommitsHeld& event);
  void On(const metering::OperationsCounted& event) { m_usage.Handle(event); }
  void On(const UsageAnswered& event) { m_usage.Handle(event); }
  void On(const Stopping& event) { m_usage.Handle(event); }
  void On(const TimerFired& event);

  // Sends the configuration in force to a host that has an older one and can't
  // get it from the store.
  void OfferConfig(const std::string& address, std::uint64_t known_version);
  // An answer of the store about one of the replicated tables.
  template <typename Answer>
  void OnTableAnswer(const Answer& answer);
  // `changed` is nullptr if no content changed.
  void OnTableContent(const TableFollower* changed);
  void Publish();
  // Records an era that the store has begun.
  void ObserveEra(StoreEra era);
  // Records the era of an answer. The status of an answer that an earlier era
  // gave becomes kUnknown: what it says may have been lost since.
  template <typename Answer>
  void CheckEra(Answer* answer);
  // Publishes the seats if the view of them has changed.
  void PublishSeats();
  void CollectActions();

  const Clock* const m_clock;
  Counters* const m_counters;
  SeatTable m_seats;
  TableReplication m_tables;
  DirectoryBuilder m_builder;
  CommitGuard m_guard;
  PrimaryFailover m_failover;
  const SeatFleetView m_fleet_view;
  metering::UsageReporter m_usage;
  relay::DirectoryPtr m_directory;
  CallId m_next_call = 1;
  Instant m_tables_current_from{};
  // The newest era of the store that this host has seen; 0: none yet.
  StoreEra m_era = 0;
  // The view last published.
  std::optional<limits::SeatView> m_published_seats;
  // Rank of this host in the order of each group, among the holders of seats.
  std::map<GroupId, std::size_t> m_host_ranks;
  std::vector<Action> m_actions;
};

}  // namespace tiller::fleet
