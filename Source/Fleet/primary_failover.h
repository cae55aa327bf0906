// Replaces the primary of a group: detects the failure, claims the group,
// pauses all replicas, then chooses and promotes one of them.
//
// - One host acts for a group at a time: the holder of the claim in the group's
//   row.
// - Each claim increments the counter in the row. The counter is the fencing
//   token, so no two holders ever promote with the same token. Each era of the
//   store has tokens of its own, since a claim may be lost when the store comes
//   back from an older copy of itself. The loss of newer claims is taken into
//   account in that an older one proves nothing: a promotion may be pending.
// - An acknowledged commit is in the log of the primary and of at least one
//   replica. All listed replicas (those with a row in the endpoint table) are
//   paused before their positions are compared, so no commit can be
//   acknowledged that the replica with the highest position lacks.
// - An endpoint is not promoted while it lacks entries that some host knows to
//   be acknowledged, unless no endpoint that has them answers for a long time.
// - A primary that still answers at least one host steps down first, because a
//   replica that is not listed yet might acknowledge its commits. If a leaving
//   primary holds entries that no listed replica has, it is promoted again and
//   the failover is retried later.
// - Before the target is chosen, no host passes on commits of the group any
//   more; see commit_guard.h.
// - Paused replicas are resumed only after the promoted endpoint has become
//   primary. Before that, they could still acknowledge commits of the old
//   primary. A host that finds an unfinished claim after a change of primary
//   completes the failover.
// - A claim that is no longer fresh is renewed before a request is sent under
//   it, since another host may have taken it over. A holder whose renewal fails
//   sends no further requests.
// - A claim names the replicas that did not answer the attempt. Until they
//   answer or are no longer listed, an attempt would fail again: each host asks
//   them first, which needs no claim, and claims the group in its turn once
//   they have answered.
// - A promotion that is not answered is repeated unchanged until it is
//   answered. It may be executed late, even after its caller has given up, and
//   the replicas must still be paused then. They are resumed only after the
//   platform has answered a promotion under a newer token, since it refuses
//   older ones from then on, and after one that it had accepted before has had
//   time to take effect.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "Common/counters.h"
#include "Fleet/claim_row.h"
#include "Fleet/commit_guard.h"
#include "Fleet/fleet_messages.h"
#include "Fleet/replica_history.h"
#include "Relay/relay_types.h"

namespace tiller::fleet {

inline constexpr char kReasonLeaving[] = "leaving";
inline constexpr char kReasonUnfinished[] = "unfinished";

// Why an attempt to replace a primary was given up.
enum class GiveUpReason {
  kNoStore,
  kClaimRefused,
  kNoReplica,
  kReplicaSilent,
  kReplicaNotPaused,
  kReplicaGone,
  kCommitsMissing,
  kCommitsNotHeld,
  kPromotionUnanswered,
  kPromotionRefused,
  kOtherLeads
};
// As in the names of counters, and in log lines.
inline constexpr std::array<std::string_view, 11> kGiveUpNames = {
    "no_store",          "claim_refused",      "no_replica",
    "replica_silent",    "replica_not_paused", "replica_gone",
    "commits_missing",   "commits_not_held",   "promotion_unanswered",
    "promotion_refused", "other_leads"};
inline constexpr std::array<std::string_view, 11> kGiveUpTexts = {
    "store did not answer",
    "claim was not confirmed",
    "no replica is listed",
    "a replica did not answer",
    "a replica did not pause",
    "a replica that may have commits is gone",
    "no endpoint that answers has all commits",
    "a host may pass on commits",
    "promotion got no answer",
    "fenced, or the target does not run",
    "another endpoint leads the group"};

class PrimaryFailover {
 public:
  PrimaryFailover(HostId self, ZoneId zone, CommitGuard* guard,
                  const Clock* clock, Counters* counters)
      : m_self(std::move(self)),
        m_zone(std::move(zone)),
        m_guard(guard),
        m_clock(clock),
        m_counters(counters),
        m_history(clock) {}

  void SetDirectory(relay::DirectoryPtr directory);
  void Handle(const relay::PrimaryHealth& event);
  void Handle(const relay::AdminDone& event);
  void Handle(const TableRead& event);
  void Handle(const RowWritten& event);
  void Handle(const PromoteAnswered& event);
  // Handles a request from another host to step down a primary.
  void Handle(const peer::Envelope& envelope,
              const peer::StepDownRequest& request);
  // Another host has made the primary step down for this one.
  void Handle(const peer::StepDownReport& report);
  void Handle(const peer::CommitReport& report);
  // Records that the store has begun a new era. Claims of earlier ones may be
  // lost.
  void ObserveEra(StoreEra era);
  // Set to false while the local copies of the store's tables may be out of
  // date. No failover is started then.
  void SetTablesCurrent(bool current);
  // `host_ranks`: rank of this host in the order of each group, 0 first. Hosts
  // with a lower rank act earlier.
  void Tick(const std::map<GroupId, std::size_t>& host_ranks);

  bool OwnsCall(CallId call) const;
  std::vector<Action> TakeActions(CallId* next_call);
  // Returns the messages to be sent to all other hosts.
  std::vector<peer::Message> TakePeerMessages();
  // Returns the promotions accepted since the last call, as pairs of group and
  // target.
  std::vector<std::pair<GroupId, EndpointId>> TakePromotions();
  // Returns the endpoints that have answered as the primary although the
  // directory names another one, since the last call.
  std::vector<std::pair<GroupId, EndpointId>> TakeConfirmedPrimaries();

 private:
  // The first hosts in a group's order check for unfinished claims.
  static constexpr Milliseconds kClaimCheckRankDelay{500};
  static constexpr std::size_t kClaimCheckHosts = 3;

  enum class Stage {
    kIdle,
    kAskingOthers,    // whether another endpoint that says so is the primary
    kAskingReplicas,  // that did not answer an earlier attempt
    kReadingClaim,
    kClaiming,
    kProbing,
    kSteppingDown,
    kPausing,
    kAwaitingHold,  // until no host passes on commits any more
    kPromoting,
    kResuming  // waits until the target is primary, then resumes replicas
  };
  struct Claim : ClaimRow {
    RowVersion version;
  };
  struct Job {
    Stage stage = Stage::kIdle;
    std::string reason;
    Instant suspected_since{};  // default value: not suspected
    Instant next_attempt_at{};
    Instant stage_deadline{};
    // Time by which the target must report itself as primary.
    Instant primary_report_deadline{};
    Claim claim;
    // Local time just before the write that made or renewed the claim.
    Instant claim_sent_at{};
    bool renewing_claim = false;
    // The store refused a renewal; the next one is sent from then on.
    Instant next_renewal_at{};
    CallId call = 0;
    // A promotion that got no answer, under this claim or an earlier one, may
    // still be executed. Replicas are not resumed then.
    bool promotion_pending = false;
    // As it was when the claim was made: the platform has to answer a promotion
    // under the new token first. If there is no other reason to replace the
    // primary, the primary itself is promoted for this purpose.
    bool fences_older_promotion = false;
    bool keeps_primary = false;
    // Replicas that were asked to pause, with their answers.
    std::map<EndpointId, std::optional<relay::EndpointStatus>> pause_answers;
    int pause_refusals = 0;
    Term pause_term = 0;
    Term step_down_term = 0;
    // The primary when the job started. The job never waits for it.
    EndpointId old_primary;
    // Replicas that were probed, and those of them that have not answered.
    std::set<EndpointId> probed_replicas;
    std::set<EndpointId> unanswered_probes;
    // Whether the other endpoints that report themselves as primary were asked
    // since the primary is suspected.
    bool others_asked = false;
    // Replicas that did not answer an earlier attempt of any host, and until
    // when this is taken into account.
    std::map<EndpointId, Instant> unanswered_before;
    // The newest claim that they are taken from.
    std::uint64_t unanswered_token = 0;
    // They did not answer this host either; and until when.
    bool replicas_awaited = false;
    Instant replicas_awaited_until{};
    // The endpoint that answered a probe as the primary, with its term.
    EndpointId leader;
    Term leader_term = 0;
    // The newest term that endpoints of the group have reported. Unlike
    // newest_term it contains no term that was only requested.
    Term reported_term = 0;
    // This host may have left replicas paused.
    bool may_have_left_paused = false;
    // Rank of this host in the group's order at the last tick.
    std::size_t host_rank = 0;
    // Position at which the old primary stepped down.
    std::optional<GroupPosition> stepped_down_at;
    Instant pause_not_before{};
    int reverts = 0;
    // All entries up to here are acknowledged; a target must have them.
    GroupPosition acknowledged;
    // Since when no endpoint that answers has them.
    std::optional<Instant> commits_missing_since;
    EndpointId target;
    // Endpoints of the group that this job already knows, with the start of
    // their process; others are new. A restart ends a pause.
    std::map<EndpointId, std::uint64_t> seen_endpoints;
    // Replicas that have not confirmed that they have resumed.
    std::set<EndpointId> to_resume;
    Instant next_resume_at{};
    // The primary last named by the directory, and when to check for an
    // unfinished claim.
    EndpointId known_primary;
    std::optional<Instant> check_claim_at;
    Instant next_promote_at{};
    // Hosts were asked to hold the commits, and told that those of the target
    // may be passed on.
    bool commits_held = false;
    bool target_allowed = false;
    // The primary has stepped down for this job, which called no promotion yet.
    bool primary_stepped_down = false;
    bool promote_outstanding = false;
    // From the health reports of the traffic thread.
    Duration silent_for{};
    EndpointId silent_endpoint;
    Term newest_term = 0;
    // Calls that have no call id yet.
    std::vector<Action> pending_calls;
  };

  // Advances a running job when a deadline or retry time is reached.
  void Advance(const GroupId& group, Job* job);
  // Starts a job if there is a reason to replace the primary or to check for an
  // unfinished claim.
  void MaybeStartFailover(const GroupId& group, Job* job,
                          std::size_t host_rank);
  std::string FindTrigger(const GroupId& group, const Job& job) const;
  void StartClaimRead(const GroupId& group, Job* job);
  void OnClaimRead(const GroupId& group, Job* job, const Claim& claim,
                   StoreTime now);
  void WriteClaim(const GroupId& group, Job* job, bool finished,
                  const EndpointId& target);
  // Returns true if requests may be sent under the claim. Otherwise a renewal
  // is in progress; it is started here if necessary.
  bool EnsureClaimFresh(const GroupId& group, Job* job);
  void OnClaimRenewed(const GroupId& group, Job* job, const RowWritten& event);

  // True if claims that were made after this one may be lost.
  bool MayHaveSuccessors(const Claim& claim) const;
  // Hosts with a higher rank act later by this, so that usually only one does.
  static Duration RankDelay(std::size_t host_rank);
  // Leaves the group to the holder of its claim for `wait`, and then to the
  // hosts before this one. Looks at the claim again meanwhile, since the holder
  // may give up. Returns false if it is this host's turn.
  bool PostponeClaim(Job* job, Duration wait);
  void Abandon(const GroupId& group, Job* job, const std::string& reason);
  void PauseNewReplicas(const GroupId& group, Job* job);
  // Asks replicas that have become listed whether they are paused. One that
  // disappeared while it was paused was not resumed by the host that paused it.
  void AskReturnedReplicas(const relay::DirectoryPtr& old);
  void AskReplica(const relay::Endpoint& endpoint);
  // Asks the other endpoints whose rows name them the primary. Needs no claim,
  // since nothing is changed.
  void StartAskingOthers(Job* job, const relay::Group& row);
  void OnOthersAnswered(const GroupId& group, Job* job);
  // Takes over which replicas did not answer the attempt under `claim`.
  void RecordUnanswered(const ClaimRow& claim, StoreTime now, Job* job);
  // Asks the replicas that did not answer an earlier attempt. Returns false if
  // there are none, so that the attempt may go on.
  bool AskUnanswered(const GroupId& group, Job* job);
  void OnReplicaAnswered(const GroupId& group, Job* job,
                         const relay::AdminDone& event);
  void AwaitReplicas(Job* job);
  void StopAwaitingReplicas(Job* job);
  // Notes in the claim that the replicas did not answer.
  void NoteUnanswered(Job* job, const std::set<EndpointId>& replicas);
  void RecordLeader(const relay::AdminDone& event, const EndpointId& primary,
                    Job* job);
  // Ends the job if an endpoint has answered that it leads the newest term.
  // Returns false if there is none.
  bool EndIfLed(const GroupId& group, Job* job);
  void StartProbe(const GroupId& group, Job* job);
  void OnProbeAnswered(const GroupId& group, Job* job,
                       const relay::AdminDone& event);
  void StartStepDown(const GroupId& group, Job* job);
  void StartPause(const GroupId& group, Job* job);
  // Has all hosts hold the group's commits.
  void HoldCommits(const GroupId& group, Job* job);
  void SendPause(const GroupId& group, const EndpointId& endpoint, Job* job);
  // Chooses the target once all replicas are paused and all hosts hold the
  // group's commits.
  void MaybeChooseTarget(const GroupId& group, Job* job);
  void ChooseTarget(const GroupId& group, Job* job);
  // True if entries that are known to be acknowledged are not in the log up to
  // `received`, and an endpoint that has them may still come back.
  bool AwaitsCommits(const GroupId& group, Job* job,
                     const GroupPosition& received);
  void StartPromoting(const GroupId& group, Job* job);
  void SendPromote(const GroupId& group, Job* job);
  // Has the primary that this job made step down lead again, since nothing else
  // would until another attempt succeeds. It has all commits. Returns false if
  // there is none.
  bool RestorePrimary(const GroupId& group, Job* job,
                      const std::string& reason);
  // Resumes the paused replicas and delays the next attempt.
  // `endpoint`: the one that did not answer, if it was a certain one.
  void GiveUp(const GroupId& group, Job* job, GiveUpReason why,
              const EndpointId& endpoint = {});
  void StartResume(const GroupId& group, Job* job);
  void Resume(const GroupId& group, Job* job);
  void CheckClaimAgain(Job* job);
  void AllowTarget(const GroupId& group, Job* job);
  void Finish(const GroupId& group, Job* job);
  void TrackPrimary(const GroupId& group, Job* job, std::size_t host_rank);

  const HostId m_self;
  const ZoneId m_zone;
  CommitGuard* const m_guard;
  const Clock* const m_clock;
  Counters* const m_counters;
  relay::DirectoryPtr m_directory;
  std::map<GroupId, Job> m_jobs;
  ReplicaHistory m_history;
  // Administrative requests that have not been answered.
  struct PendingAdminRequest {
    GroupId group;
    relay::Verb verb = relay::Verb::kStatus;
    Term term = 0;
    // Host on whose behalf it was sent; empty: this one.
    std::string for_address;
  };
  std::map<std::uint64_t, PendingAdminRequest> m_admin_requests;
  void SendAdminRequest(const GroupId& group, const EndpointId& endpoint,
                        relay::Verb verb, Term term,
                        const std::string& for_address = {});
  void RecordStepDown(Job* job, const GroupPosition& received);
  std::uint64_t m_next_admin_id = 1;
  bool m_reading_claims = false;
  bool m_tables_current = false;
  Instant m_tables_current_since{};
  // The store's era, since when this host knows it, and whether this host has
  // seen an earlier one.
  StoreEra m_era = 0;
  Instant m_era_since{};
  bool m_seen_earlier_era = false;
  std::vector<std::pair<GroupId, EndpointId>> m_promotions;
  std::vector<std::pair<GroupId, EndpointId>> m_confirmed_primaries;
  std::vector<peer::Message> m_peer_messages;
  std::vector<Action> m_actions;
};

}  // namespace tiller::fleet
