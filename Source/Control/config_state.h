// The configuration in force on this host, and the proof that it still is the
// newest one.
//
// Invariants: the adopted version never falls. Keys are honoured only while
// the newest version was confirmed recently, or while holders of a majority of
// the seats have just said that none of them reaches the platform, so that
// nobody can have accepted a withdrawal. A change is accepted only after a
// majority has been told to stop relying on the latter.
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

// Changes a configuration; fails when the change does not apply.
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
  // True once after each adoption.
  bool TakeChanged() { return std::exchange(m_changed, false); }
  Instant KeysValidUntil() const;
  bool PlatformReachable() const;

  // Starts a change on behalf of an operator; answers through OperatorReply.
  // `expected` is the version the change is based on; absent: any.
  void Propose(CallId ticket, ConfigEdit edit,
               std::optional<config::ConfigVersion> expected);

  void Tick();
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
    // Hosts that know of the change, with the seats that vote through them.
    std::map<HostId, std::vector<int>> prepared;
    Instant next_prepare{};
    Instant started;
    int conflicts = 0;
    CallId call = 0;
    platform::RowVersion head_row = 0;
    config::ConfigPtr next;
    std::string object;
    std::string body;
  };
  struct PeerProof {
    Instant asked;  // start of the query it answered
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
  bool OutageProved() const;
  bool MajorityPrepared() const;

  void StartPrepare();
  void SendPrepare();
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
  // Every change accepted before this time is in force here.
  std::optional<Instant> m_confirmed;
  // Last time that the platform answered at all.
  std::optional<Instant> m_platform_answered;
  std::optional<CallId> m_head_call;
  Instant m_head_sent{};
  Instant m_next_poll{};
  std::optional<CallId> m_object_call;
  config::ConfigVersion m_object_version = 0;
  Instant m_object_confirms{};
  Instant m_next_query{};
  std::map<std::uint64_t, Query> m_queries;
  std::map<HostId, PeerProof> m_proofs;
  // A peer announced a change: no outage is assumed before then.
  Instant m_change_prepared_until{};
  std::optional<Proposal> m_proposal;
  std::vector<Proposal> m_waiting_proposals;
};

}  // namespace tiller::control
