// Messages between hosts and their encoding as JSON-RPC parameters.
#pragma once

#include <json/json.h>

#include <string>
#include <variant>
#include <vector>

#include "Common/error.h"
#include "Common/types.h"
#include "Config/config.h"
#include "Limits/share_messages.h"
#include "Metering/usage_messages.h"

namespace tiller::peer {

// State that a host publishes about itself. A record with a higher heartbeat
// replaces one with a lower heartbeat.
struct MemberRecord {
  HostId host;
  std::string address;  // control address
  ZoneId zone;
  std::uint64_t heartbeat = 0;
  bool leaving = false;
  config::ConfigVersion config_version = 0;
  int seats = 0;
  // Number of groups whose primary answers this host.
  int primaries = 0;
};

// The primary of a group in a term, and the host that promoted it.
struct GroupRecord {
  GroupId group;
  Term term = 0;
  EndpointId primary;
  std::string owner;
};

struct Gossip {
  std::vector<MemberRecord> members;
  std::vector<GroupRecord> groups;
};

// Sent by a seat holder to its guard to renew the guard lease.
struct GuardRequest {
  std::uint64_t nonce = 0;
};
struct GuardAck {
  std::uint64_t nonce = 0;
};

// Sent during a platform outage. Asks another seat holder to vouch for the
// sender: to give nobody its consent to take the sender's seats for a while.
struct SeatVouchRequest {
  std::uint64_t nonce = 0;
};
// `seats` are the seats with which the sender votes. The vouches of a majority
// of all seats are needed.
struct SeatVouch {
  std::uint64_t nonce = 0;
  std::vector<int> seats;
};
// Asks for consent to take the seats of a holder whose lease has lapsed.
struct SeatTakeRequest {
  std::uint64_t nonce = 0;
  HostId holder;
};
struct SeatTakeConsent {
  std::uint64_t nonce = 0;
  std::vector<int> seats;
};

// Asks how recently the configuration of the receiver was confirmed as the
// newest.
struct ConfigQuery {
  std::uint64_t nonce = 0;
};
struct ConfigAnswer {
  std::uint64_t nonce = 0;
  config::ConfigVersion version = 0;
  // Time since the platform confirmed `version` as the newest.
  Milliseconds confirmed_age{0};
  // The sender knows of a configuration change in progress or reaches the
  // platform, so the answer is no evidence of a platform outage.
  bool change_prepared = false;
  // Seats with which the sender votes.
  std::vector<int> seats;
};
struct ConfigFetch {};
struct ConfigBody {
  Json::Value config;
};
// First phase of a configuration change.
struct ConfigPrepare {
  std::uint64_t nonce = 0;
};
struct ConfigPrepared {
  std::uint64_t nonce = 0;
  std::vector<int> seats;
};

// Versions of the sender's copies of the platform's tables.
struct TableDigest {
  struct Item {
    std::string table;
    std::uint64_t version = 0;
    // The copy contains all changes up to this version of the store and this
    // time on the store's clock; 0 if the sender does not know.
    std::uint64_t complete_to = 0;
    std::uint64_t complete_at_ms = 0;
    // The copy is too large to be sent to many hosts. A receiver that lacks it
    // reads the platform's table instead.
    bool large = false;
    // The platform's era, which both versions are of.
    std::uint64_t era = 0;
  };
  std::vector<Item> tables;
  // The sender cannot reach the platform and asks for large copies as well.
  bool fetch = false;
  // The sender does not read the store itself and asks for an answer.
  bool query = false;
  // With `query`: changes are to be sent as soon as the receiver has them.
  bool subscribe = false;
  // This is the answer to a query.
  bool answer = false;
  // Version of the configuration that is in force at the sender.
  config::ConfigVersion config_version = 0;
};
// Rows of a table, sent to a host whose copy is older, since that host may be
// unable to reach the platform.
struct TableCopy {
  struct Item {
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool deleted = false;
  };
  std::string table;
  std::uint64_t version = 0;
  std::vector<Item> rows;
  // The rows changed after this version; 0: the rows are the whole table.
  std::uint64_t base = 0;
  // As in TableDigest::Item.
  std::uint64_t complete_to = 0;
  std::uint64_t complete_at_ms = 0;
  // The platform's era, which all versions are of.
  std::uint64_t era = 0;
};

// Asks the receiver to make a primary of a lower term step down. The sender
// replaces that primary and may be unable to reach it.
struct StepDownRequest {
  GroupId group;
  EndpointId endpoint;
  Term term = 0;
};

// The endpoint has stepped down in this term, as the receiver has asked for.
// Its log ends at `received`.
struct StepDownReport {
  GroupId group;
  EndpointId endpoint;
  Term term = 0;
  GroupPosition received;
};

// Asks the receiver to pass on no commits of the group: its primary is being
// replaced under the claim with this token.
struct CommitHold {
  GroupId group;
  std::uint64_t token = 0;
  HostId holder;  // of the claim
  // The platform has accepted the promotion of this endpoint, whose commits are
  // passed on; empty: none yet.
  EndpointId target;
  // The claim has ended without a promotion.
  bool released = false;
};
// A commit lease that the sender granted. `left` is negative if it has ended.
struct GrantedLease {
  HostId host;
  Milliseconds left{0};
};
// The sender passes on no commits of the group until the hold with this token
// ends. All entries up to `acknowledged` are acknowledged, as far as it knows.
struct CommitReport {
  GroupId group;
  GroupPosition acknowledged;
  std::uint64_t token = 0;
  std::vector<GrantedLease> leases;
};

// Asks for a commit lease. Without one, the sender passes on no commits.
struct LeaseQuery {
  std::uint64_t nonce = 0;
};
// Grants it, counted from when the query was sent, and names the holds that the
// sender knows.
struct LeaseGrant {
  std::uint64_t nonce = 0;
  std::vector<CommitHold> holds;
};

using Message =
    std::variant<Gossip, GuardRequest, GuardAck, SeatVouchRequest, SeatVouch,
                 SeatTakeRequest, SeatTakeConsent, ConfigQuery, ConfigAnswer,
                 ConfigFetch, ConfigBody, ConfigPrepare, ConfigPrepared,
                 limits::TokenRequest, limits::TokenGrant, limits::UnitRequest,
                 limits::UnitGrant, limits::UnitReturn, limits::UnitRecall,
                 TableDigest, TableCopy, StepDownRequest, CommitHold,
                 CommitReport, LeaseQuery, LeaseGrant, StepDownReport,
                 metering::UsageCounts, metering::UsageHolder>;

struct Envelope {
  HostId from;
  std::string from_address;
  Message message;
};

Json::Value Encode(const Envelope& envelope);
// Fails with kMessageInvalid if the kind is unknown or the body is malformed.
Result<Envelope> Decode(const Json::Value& json);

}  // namespace tiller::peer
