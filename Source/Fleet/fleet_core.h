// Decision logic of the control thread on a platform with a transactional
// store: configuration, endpoints, seats, failover and messages to other hosts.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "Fleet/directory_builder.h"
#include "Fleet/primary_failover.h"
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
  void OnTableContent(const TableFollower& follower);
  void Publish();
  void PublishSeats();
  void SendDigests();
  void CollectActions();

  const FleetSettings m_settings;
  const Clock* const m_clock;
  Random* const m_random;
  Counters* const m_counters;
  TableFollower m_operator_table;
  TableFollower m_endpoint_table;
  SeatTable m_seats;
  DirectoryBuilder m_builder;
  PrimaryFailover m_failover;
  relay::DirectoryPtr m_directory;
  CallId m_next_call = 1;
  Instant m_next_digest_at{};
  Instant m_tables_current_from{};
  // Key: address of the receiving host, "/", name of the table.
  std::map<std::string, Instant> m_table_copy_sent_at;
  std::vector<Action> m_actions;
};

}  // namespace tiller::fleet
