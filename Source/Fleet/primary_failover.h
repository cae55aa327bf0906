// Replaces primaries: detection, claim, pause of all replicas, choice and
// promotion of one.
//
// - One host acts for a group at a time: it holds the claim in the group's row.
// - Each claim raises the row's counter, which is the fencing token, so that
//   no two holders ever promote with the same token.
// - An acknowledged commit is in the log of the primary and of one replica at
//   least. All listed replicas are paused before their positions are compared,
//   so nothing can be acknowledged that the highest of them lacks.
// - A primary that still answers some host steps down first: a replica that is
//   not listed yet might acknowledge for it. If a primary leaves and no listed
//   replica holds all that the old primary held, the old one is promoted again,
//   and the change is tried later.
// - Paused replicas go on only once the promoted endpoint leads: until then the
//   old primary could still have commits acknowledged by them. A host that
//   finds an unfinished claim after a change of primary finishes it.
// - A claim is renewed before an order is given under it once it is no longer
//   fresh, since another host may have taken it over meanwhile; a holder whose
//   renewal fails gives no further order.
// - A promotion without an answer is repeated unchanged until it is answered:
//   it may be carried out late, and must find the replicas still paused.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "Common/counters.h"
#include "Fleet/fleet_messages.h"
#include "Relay/relay_types.h"

namespace tiller::fleet {

inline constexpr char kPrimaryTable[] = "primaries";

inline constexpr char kUnfinished[] = "unfinished";

class PrimaryFailover {
 public:
  PrimaryFailover(HostId self, ZoneId zone, const Clock* clock,
                  Counters* counters)
      : m_self(std::move(self)),
        m_zone(std::move(zone)),
        m_clock(clock),
        m_counters(counters) {}

  void SetDirectory(relay::DirectoryPtr directory);
  void Handle(const relay::PrimaryHealth& event);
  void Handle(const relay::AdminDone& event);
  void Handle(const TableRead& event);
  void Handle(const RowWritten& event);
  void Handle(const PromoteAnswered& event);
  // Another host asks that a primary steps down.
  void Handle(const peer::StepDownRequest& request);
  // False while the copies of the store's tables may be old: nothing is begun.
  void SetInformed(bool informed) { m_informed = informed; }
  // `turn`: this host's place in the group's order; earlier ones act first.
  void Tick(const std::map<GroupId, std::size_t>& turns);

  bool OwnsCall(CallId call) const;
  std::vector<Action> TakeActions(CallId* next_call);
  // What all other hosts should be asked.
  std::vector<peer::StepDownRequest> TakeForPeers();
  // Groups whose promotion was ordered since the last call.
  std::vector<std::pair<GroupId, EndpointId>> TakePromoted();

 private:
  enum class Stage {
    kIdle,
    kReading,
    kClaiming,
    kProbing,
    kSteppingDown,
    kPausing,
    kPromoting,
    kResuming  // waits for the target to lead, then resumes the replicas
  };
  struct Claim {
    HostId holder;
    std::uint64_t token = 0;
    StoreTime claimed{0};
    bool finished = false;
    bool promoted = false;  // it ended with a promotion
    RowVersion version = 0;
  };
  struct Job {
    Stage stage = Stage::kIdle;
    std::string reason;
    Instant suspected_since{};  // 0: not suspected
    Instant not_before{};
    Instant stage_until{};
    Instant lead_until{};  // the target should lead by then
    Claim claim;
    // Own clock before the write that made or renewed the claim.
    Instant claim_sent{};
    bool renewing = false;
    CallId call = 0;
    // Replicas asked to pause, with their answer.
    std::map<EndpointId, std::optional<relay::EndpointStatus>> paused;
    int pause_refusals = 0;
    Term pause_term = 0;
    // The primary when the job began; it is never waited for.
    EndpointId old_primary;
    std::set<EndpointId> replicas;    // that answered the probe
    std::set<EndpointId> unanswered;  // of the probe
    // This host may have left replicas paused.
    bool left_paused = false;
    // The position at which the leaving primary stepped down.
    std::optional<GroupPosition> stepped_down_at;
    Instant pause_from{};
    int reverted = 0;
    EndpointId target;
    // Endpoints of the group that the job knows of.
    std::set<EndpointId> seen;
    // Replicas that have not confirmed that they go on.
    std::set<EndpointId> to_resume;
    Instant resume_again{};
    // As last named by the directory, and when to look for an unfinished claim.
    EndpointId known_primary;
    std::optional<Instant> check_claim_at;
    Instant promote_again{};
    bool promote_outstanding = false;
    // From the health reports of the traffic part.
    Duration silent_for{};
    EndpointId silent_endpoint;
    Term newest_term = 0;
    // Waiting for a call id.
    std::vector<Action> pending;
  };

  // Moves a job on whose time has come.
  void Advance(const GroupId& group, Job* job);
  // Looks for a reason to begin a job.
  void Watch(const GroupId& group, Job* job, std::size_t place);
  std::string Trigger(const GroupId& group, const Job& job) const;
  void StartRead(const GroupId& group, Job* job);
  void OnClaimRead(const GroupId& group, Job* job, const Claim& claim,
                   StoreTime now);
  void WriteClaim(const GroupId& group, Job* job, bool finished,
                  const EndpointId& target);
  // True if orders may be given now; else a renewal is under way.
  bool ClaimIsFresh(const GroupId& group, Job* job);
  void OnRenewed(const GroupId& group, Job* job, const RowWritten& event);
  void Abandon(const GroupId& group, Job* job, const std::string& reason);
  void PauseNewcomers(const GroupId& group, Job* job);
  void NoteVanished(const relay::DirectoryPtr& old);
  bool MissesReplica(const GroupId& group);
  void StartProbe(const GroupId& group, Job* job);
  void OnProbed(const GroupId& group, Job* job, const relay::AdminDone& event);
  void StartStepDown(const GroupId& group, Job* job);
  void StartPause(const GroupId& group, Job* job);
  void SendPause(const GroupId& group, const EndpointId& endpoint, Job* job);
  void Choose(const GroupId& group, Job* job);
  void SendPromote(const GroupId& group, Job* job);
  // Lets paused replicas go on and waits before the next try.
  void GiveUp(const GroupId& group, Job* job, const std::string& reason);
  void StartResume(const GroupId& group, Job* job);
  void Resume(const GroupId& group, Job* job);
  void Finish(const GroupId& group, Job* job);
  void NotePrimary(const GroupId& group, Job* job, std::size_t turn);

  const HostId m_self;
  const ZoneId m_zone;
  const Clock* const m_clock;
  Counters* const m_counters;
  relay::DirectoryPtr m_directory;
  std::map<GroupId, Job> m_jobs;
  // Replicas whose rows vanished, and when; see MissesReplica.
  std::map<GroupId, std::map<EndpointId, Instant>> m_vanished;
  // Outstanding administrative statements.
  struct Order {
    GroupId group;
    relay::Verb verb = relay::Verb::kStatus;
  };
  std::map<std::uint64_t, Order> m_admin;
  void SendOrder(const GroupId& group, const EndpointId& endpoint,
                 relay::Verb verb, Term term);
  std::uint64_t m_next_admin = 1;
  bool m_reading = false;
  bool m_informed = false;
  std::vector<std::pair<GroupId, EndpointId>> m_promoted;
  std::vector<peer::StepDownRequest> m_for_peers;
  std::vector<Action> m_out;
};

}  // namespace tiller::fleet
