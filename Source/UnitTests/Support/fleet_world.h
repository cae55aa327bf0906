// Several fleet cores around one store and one group of endpoints, on a manual
// clock. Messages take random times, and the test cuts, freezes and kills.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "Common/counters.h"
#include "Fleet/fleet_core.h"

namespace tiller::fleet {

class WorldCodec final : public RecordCodec {
 public:
  std::string ConfigKey() const override { return "config"; }
  std::optional<ZoneId> ZoneTakenOut(const std::string& key) const override;
  Result<FleetConfig> DecodeConfig(const std::string& value) const override;
  Result<relay::Endpoint> DecodeEndpoint(
      const std::string& id, const std::string& value) const override;
};

struct WorldEndpoint {
  bool alive = true;
  bool listed = true;
  bool leaving = false;
  bool deaf = false;  // receives nothing from the primary
  Term term = 1;
  std::uint64_t position = 0;
  Term paused_below = 0;
  // Sent by the primary and not arrived; arrives with the next step.
  Term sent_term = 0;
  std::uint64_t sent_position = 0;
};

class FleetWorld {
 public:
  FleetWorld(int hosts, int endpoints, std::uint64_t seed);

  // Runs until `by` has passed, in steps of a tick.
  void Run(Milliseconds by);
  void SetConfig(std::uint64_t version);
  void WriteEndpointRow(const EndpointId& id);

  int HostCount() const { return static_cast<int>(m_hosts.size()); }
  std::string Leader() const { return m_leader; }
  std::map<EndpointId, WorldEndpoint>& Endpoints() { return m_endpoints; }
  relay::DirectoryPtr DirectoryOf(int host) const;
  const limits::SeatView& SeatsOf(int host) const;
  bool AllReplicasGoOn() const;
  // Restarts a host: its state is lost, its name stays.
  void Restart(int host);

  ManualClock clock;
  SeededRandom random;
  std::set<int> cut_off;  // from the store
  std::set<int> frozen;
  bool store_down = false;
  // One in so many writes and promotions is done but not answered; 0: none.
  std::uint64_t lose_answer_of = 0;
  bool silent_primary = false;  // some hosts get no answer from the leader
  std::vector<std::string> breaches;
  int promotions = 0;
  // What was ordered and what happened, with the time in milliseconds.
  std::vector<std::string> trace;
  std::string TraceText() const;
  void Note(const std::string& line);

 private:
  struct Host {
    std::string name;
    Counters counters;
    std::unique_ptr<FleetCore> core;
    relay::DirectoryPtr directory;
    limits::SeatView seats;
    int generation = 0;
  };
  struct Delivery {
    Instant due;
    int host = 0;
    int generation = 0;
    Event event;
  };
  struct Watch {
    int host = 0;
    int generation = 0;
    FollowTable follow;
    Instant until;
  };
  void Start(int host);
  void Collect(int host);
  void Perform(int host, const Action& action);
  void Deliver(int host, Event event, std::uint64_t max_delay_ms = 8);
  bool Reaches(int host) const;
  void PutRow(const std::string& table, const std::string& key,
              const std::string& value);
  StoreTime StoreNow() const;
  void AnswerWatches();
  void StepGroup();
  void Lead(const EndpointId& target);
  bool LostPrimary(int host) const;
  relay::AdminDone Admin(int host, const relay::AdminRequest& request);
  PromoteStatus OnPromote(const Promote& call);

  WorldCodec m_codec;
  std::vector<std::unique_ptr<Host>> m_hosts;
  std::map<std::string, std::map<std::string, Row>> m_tables;
  std::map<std::string, std::vector<Row>> m_history;
  RowVersion m_version = 0;
  std::vector<Delivery> m_deliveries;
  std::vector<Watch> m_watches;
  std::map<EndpointId, WorldEndpoint> m_endpoints;
  EndpointId m_leader;
  std::uint64_t m_acknowledged = 0;
  std::uint64_t m_newest_token = 0;
  std::map<std::uint64_t, HostId> m_token_holders;
  std::optional<std::pair<Instant, EndpointId>> m_promoting;
};

}  // namespace tiller::fleet
