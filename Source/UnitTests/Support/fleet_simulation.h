// Simulation of several fleet cores with one store and one group of endpoints,
// on a manual clock. Message delays are random. Tests can cut hosts off, freeze
// them, and kill endpoints.
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

class TestRecordCodec final : public RecordCodec {
 public:
  std::string ConfigKey() const override { return "config"; }
  std::optional<ZoneId> ZoneOutOfService(const std::string& key) const override;
  Result<FleetConfig> DecodeConfig(const std::string& value) const override;
  Result<relay::Endpoint> DecodeEndpoint(
      const std::string& id, const std::string& value) const override;
};

struct SimulatedEndpoint {
  bool alive = true;
  bool listed = true;  // has a row in the endpoint table
  bool leaving = false;
  bool replication_cut = false;  // receives no log from the primary
  Term term = 1;
  std::uint64_t position = 0;
  Term paused_below = 0;
  bool stepped_down = false;  // a primary that leads no more
  std::uint64_t process_start_ms = 0;
  std::uint64_t report_number = 0;
  bool sent_across_cut = false;  // to or from a zone that is cut off
  // Sent by the primary but not received yet; received in the next step.
  Term sent_term = 0;
  std::uint64_t sent_position = 0;
};

class FleetSimulation {
 public:
  FleetSimulation(int hosts, int endpoints, std::uint64_t seed);

  // Runs for `duration` in steps of one tick.
  void Run(Milliseconds duration);
  // `padding` bytes make the configuration larger.
  void SetConfig(std::uint64_t version, std::size_t padding = 0);
  void TakeZoneOutOfService(const ZoneId& zone);
  void WriteEndpointRow(const EndpointId& id);
  // Hosts and endpoints of the zone exchange nothing with those of others, nor
  // with the store and the platform. Endpoints "e0", "e3" and so on are in zone
  // 0, as are hosts 0 and 3.
  void CutZone(int zone);
  void ConnectZone();
  // The endpoint's process starts again with its log; a pause ends.
  void RestartEndpoint(const EndpointId& id);
  // Writes the row of an endpoint that does not run.
  void WriteStrayEndpointRow(const EndpointId& id, bool primary, bool leaving);

  int HostCount() const { return static_cast<int>(m_hosts.size()); }
  std::string PrimaryId() const { return m_primary_id; }
  std::map<EndpointId, SimulatedEndpoint>& Endpoints() { return m_endpoints; }
  relay::DirectoryPtr DirectoryOf(int host) const;
  const limits::SeatView& SeatsOf(int host) const;
  bool AllReplicasResumed() const;
  // The hosts that wait at the store for a change of this table.
  std::set<int> HostsPolling(const std::string& table) const;
  // Takes the copy of the store from which RestoreStore restores it.
  void CopyStore();
  // All that was written since the copy is gone, versions are given out again,
  // and a new era begins. Some long polls stay open. The operator and the
  // endpoints write again when the test has them do so.
  void RestoreStore();
  // All endpoints write their rows.
  void WriteEndpointRows();
  // Restarts a host: it loses its state and keeps its name.
  void Restart(int host);

  ManualClock clock;
  SeededRandom random;
  std::set<int> cut_off_from_store;  // hosts that cannot reach the store
  std::set<int> refused_by_store;    // hosts whose calls the store refuses
  // Hosts whose calls reach the store and get no answer, not even later.
  std::set<int> unanswered_by_store;
  std::set<int> cut_off_from_hosts;    // exchange nothing with other hosts
  std::set<int> cut_off_from_primary;  // at the time
  std::set<int> frozen;                // hosts that handle no events
  bool store_down = false;
  bool history_discarded = false;  // the store answers no feed
  // One in this many writes and promotions is executed but not answered; 0:
  // none.
  std::uint64_t lose_one_answer_in = 0;
  // Endpoints that have never answered a statement of any host.
  std::set<EndpointId> never_answered;
  // How often endpoints answer that they are busy before they do what a host
  // asks for.
  std::map<EndpointId, int> busy_answers;
  // Endpoints that leave PAUSE unanswered.
  std::set<EndpointId> unanswered_pauses;
  // Promotions get no answer and are executed that much later; 0: at once.
  Milliseconds promotion_delay{0};
  int promotion_calls = 0;
  EndpointId last_promotion_target;
  int last_promotion_host = 0;
  // Some hosts get no answer from the primary.
  bool primary_partly_unreachable = false;
  // The primary answers, but leaves writes unanswered.
  bool writes_unanswered = false;
  // Commits that endpoints had acknowledged were lost.
  std::vector<std::string> violations;
  // Commits that hosts had passed on to callers were lost.
  std::vector<std::string> lost_commits;
  // When a host last passed on a commit.
  Instant last_commit_at{};
  int promotions = 0;
  // Calls of all hosts to the store.
  int store_calls = 0;
  // The same for each table.
  std::map<std::string, int> store_calls_of_table;
  // Writes of new claims; renewals and ends of claims are not counted. The
  // second number contains those that took effect only.
  int claims_tried = 0;
  int claims_made = 0;
  // Messages that hosts have sent to each other.
  int peer_messages = 0;
  // Bytes of the configurations that hosts have sent to each other.
  std::size_t copied_bytes = 0;
  // Requests and events, with the time in milliseconds.
  std::vector<std::string> trace;
  std::string TraceText() const;
  void AddTrace(const std::string& line);

 private:
  struct Host {
    std::string name;
    Counters counters;
    std::unique_ptr<FleetCore> core;
    relay::DirectoryPtr directory;
    limits::SeatView seats;
    int generation = 0;
    // The newest position whose acknowledgement the host has seen.
    GroupPosition acknowledged;
    relay::HoldCommits hold;
    bool holds_commits = false;
    Instant commits_until = Instant::max();
  };
  struct Delivery {
    Instant due;
    int host = 0;
    int generation = 0;
    Event event;
  };
  struct LongPoll {
    int host = 0;
    int generation = 0;
    FollowTable follow;
    Instant deadline;
    bool lost = false;     // the answer was lost
    bool waiting = false;  // the store has accepted it
  };
  void Start(int host);
  void ExecuteActions(int host);
  void Execute(int host, const ReadTable& read);
  void Execute(int host, const FollowTable& follow);
  void Execute(int host, const WriteRow& write);
  void Execute(int host, const Promote& promote);
  void Execute(int, const ReportUsage&) {}
  void Execute(int host, const SendPeer& send);
  void Execute(int host, const PublishDirectory& publish);
  void Execute(int host, const relay::SeatsChanged& change);
  void Execute(int host, const relay::AdminRequest& request);
  void Execute(int host, const relay::ShareReceived& share);
  void Execute(int host, const relay::HoldCommits& hold);
  void Execute(int host, const relay::CommitLeaseChanged& lease);
  // Whether the answer to this write or promotion is lost.
  bool LosesAnswer();
  void CountStoreCall(const std::string& table);
  void CountClaim(const WriteRow& write, bool written);
  void Deliver(int host, Event event, std::uint64_t max_delay_ms = 8);
  // Delivers the answer to a call of the host after a message delay or, if the
  // store leaves the host without an answer, a failure after `answer_limit`.
  template <typename Answer>
  void DeliverStoreAnswer(int host, Answer event, Milliseconds answer_limit);
  bool ReachesStore(int host) const;
  RowVersion NextVersion();
  // Sets the era in which the store answers `event`, and its newest version.
  template <typename Answer>
  void Stamp(Answer* event) const;
  void PutRow(const std::string& table, const std::string& key,
              const std::string& value);
  StoreTime StoreNow() const;
  void AnswerLongPolls();
  void AdvanceGroup();
  void MakePrimary(const EndpointId& target);
  bool CannotReachPrimary(int host) const;
  static int ZoneOf(int host) { return host % 3; }
  static int ZoneOf(const EndpointId& endpoint);
  bool IsCut(int zone, int other_zone) const;
  // Whether the host may pass on the commits that it sees acknowledged.
  bool PassesOnCommits(int host) const;
  static void EndHoldIfTargetLeads(Host* host);
  relay::PrimaryHealth HealthSeenBy(int host) const;
  // Passes an acknowledged commit on to the host that sent it.
  void AcknowledgeTo(int host);
  relay::AdminDone HandleAdmin(int host, const relay::AdminRequest& request);
  PromoteStatus HandlePromote(const Promote& call);

  TestRecordCodec m_codec;
  std::vector<std::unique_ptr<Host>> m_hosts;
  std::map<std::string, int> m_hosts_by_address;
  // The newest claim that was written.
  std::uint64_t m_claim_token = 0;
  struct StoreContent {
    std::map<std::string, std::map<std::string, Row>> tables;
    std::map<std::string, std::vector<Row>> history;
    RowVersion version{1, 0};
  };
  StoreContent m_store;
  StoreContent m_store_copy;
  std::vector<Delivery> m_deliveries;
  std::vector<LongPoll> m_long_polls;
  std::vector<std::pair<Instant, Promote>> m_late_promotions;
  std::map<EndpointId, SimulatedEndpoint> m_endpoints;
  EndpointId m_primary_id;
  std::uint64_t m_acknowledged_position = 0;
  GroupPosition m_passed_on;
  // The zone that is cut off, or was last, and since and until when.
  std::optional<int> m_cut_zone;
  bool m_zone_is_cut = false;
  Instant m_zone_changed_at{};
  std::uint64_t m_newest_token = 0;
  std::map<std::uint64_t, HostId> m_token_holders;
  std::optional<std::pair<Instant, EndpointId>> m_pending_promotion;
};

}  // namespace tiller::fleet
