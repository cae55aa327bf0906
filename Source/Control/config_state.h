// The configuration in force on this host, and the evidence that it is still
// the newest version.
//
// Invariants: the adopted version never decreases. Keys are honoured only while
// the newest version was confirmed recently, or while holders of a majority of
// the seats have just reported that they cannot reach the platform, so that no
// withdrawal can have been accepted. A change is accepted only after holders of
// a majority have acknowledged its announcement; for a hold time after that
// they report no outage.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Config/config.h"
#include "Control/control_context.h"
#include "Control/member_table.h"
#include "Control/seat_quorum.h"

namespace tiller::control {

// Applies a change to a configuration; fails if the change is not applicable.
using ConfigEdit = std::function<Result<void>(config::Config*)>;

class ConfigState {
 public:
  ConfigState(ControlContext* context, const MemberTable* members,
              const SeatQuorum* quorum)
      : m_context(context), m_members(members), m_quorum(quorum) {}

  const config::ConfigPtr& Current() const { return m_current; }
  config::ConfigVersion Version() const {
    return m_current ? m_current->version : 0;
  }
  // Returns true once after each adoption of a version.
  bool TakeChanged() { return std::exchange(m_changed, false); }
  // Keys may be honoured until this time without a further confirmation; the
  // epoch if no configuration has been confirmed yet.
  Instant KeysValidUntil() const;
  // True if the platform answered a call within the last 3 seconds.
  bool PlatformReachable() const;

  // Starts a change on behalf of an operator; the result is sent as an
  // OperatorReply with `ticket`. Changes are processed one at a time, in order.
  // `expected` is the version that the change is based on; absent: any.
  void Propose(CallId ticket, ConfigEdit edit,
               std::optional<config::ConfigVersion> expected);

  // Polls the platform, queries peers, repeats messages and checks time-outs
  // when they are due.
  void Tick();
  // Returns false if the answer is for another component's call.
  bool Handle(const PlatformAnswered& answered);
  void Handle(const HostId& from, const peer::ConfigQuery& message);
  void Handle(const HostId& from, const peer::ConfigAnswer& message);
  void Handle(const HostId& from, const peer::ConfigFetch& message);
  void Handle(const peer::ConfigBody& message);
  void Handle(const HostId& from, const peer::ConfigPrepare& message);
  void Handle(const HostId& from, const peer::ConfigPrepared& message);

 private:
  enum class Stage { kPreparing, kReadingHead, kWritingObject, kCommitting };
  struct Proposal {
    CallId ticket = 0;
    ConfigEdit edit;
    std::optional<config::ConfigVersion> expected;
    Stage stage = Stage::kPreparing;
    std::uint64_t nonce = 0;
    // Hosts that acknowledged the announcement, with the seats that vote
    // through them.
    std::map<HostId, std::vector<int>> prepared;
    Instant next_prepare{};
    Instant started;
    int conflicts = 0;
    CallId call = 0;
    platform::RowVersion head_row_version = 0;
    config::ConfigPtr next;
    std::string object;
    std::string body;
  };
  // A peer's last answer on whether the platform is down.
  struct OutageVote {
    Instant query_sent;  // when the query that it answers was sent
    bool outage = false;
    std::vector<int> seats;
  };
  struct Query {
    HostId host;
    Instant sent;
  };

  void Adopt(const Json::Value& json);
  void Confirm(Instant since);
  void PollHead();
  void OnHead(const platform::Answer& answer, Instant sent);
  void QueryPeers();
  // True if this host cannot reach the platform and holders of a majority of
  // the seats, itself included, reported the same recently. Always false while
  // a change that was announced to or by this host may be accepted.
  bool MajorityReportsOutage() const;
  bool MajorityPrepared() const;

  void StartPrepare();
  // Announces the change to all peers, or proceeds to ReadHead() if a majority
  // has acknowledged it.
  void ContinuePrepare();
  void ReadHead();
  void OnProposalAnswer(const PlatformAnswered& answered);
  void OnProposalHead(const Result<platform::Answer>& answer);
  void BuildNext(const config::Config& base);
  void CommitHead();
  void OnCommitted(const Result<platform::Answer>& answer);
  void Fail(Error error);
  void PushToPeers();

  ControlContext* const m_context;
  const MemberTable* const m_members;
  const SeatQuorum* const m_quorum;
  config::ConfigPtr m_current;
  Json::Value m_current_json;
  bool m_changed = false;
  // Every configuration change accepted before this time is in force here.
  std::optional<Instant> m_config_confirmed_at;
  // When the platform last answered any call.
  std::optional<Instant> m_last_platform_answer;
  std::optional<CallId> m_head_call;
  Instant m_head_sent{};
  Instant m_next_poll{};
  std::optional<CallId> m_object_call;
  config::ConfigVersion m_object_version = 0;
  // When the read of the head row that named the object was sent.
  Instant m_object_head_sent{};
  Instant m_next_query{};
  std::map<std::uint64_t, Query> m_pending_queries;
  std::map<HostId, OutageVote> m_outage_votes;
  // A change announced by a peer may be accepted until then, so this host
  // reports no outage and assumes none.
  Instant m_no_outage_report_until{};
  std::optional<Proposal> m_proposal;
  std::vector<Proposal> m_waiting_proposals;
};

}  // namespace tiller::control
