// Messages between hosts, and their form as JSON-RPC parameters.
#pragma once

#include <json/json.h>

#include <string>
#include <variant>
#include <vector>

#include "Common/error.h"
#include "Common/types.h"
#include "Config/config.h"
#include "Limits/share_messages.h"

namespace tiller::peer {

// What one host says of itself; a higher heartbeat replaces a lower one.
struct MemberRecord {
  HostId host;
  std::string address;  // control address
  ZoneId zone;
  std::uint64_t heartbeat = 0;
  bool leaving = false;
  config::ConfigVersion config_version = 0;
  int seats = 0;
  // Groups whose primary answers it.
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

// Renews a seat holder's lease with its guard.
struct GuardRequest {
  std::uint64_t nonce = 0;
};
struct GuardAck {
  std::uint64_t nonce = 0;
};

// Asks another holder to vouch, during an outage of the platform, that it
// will not help anybody to take the sender's seats for a while.
struct SeatVouchRequest {
  std::uint64_t nonce = 0;
};
// `seats` are those that the sender holds; a majority of all seats vouches.
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

// Asks how recently the receiver confirmed its configuration.
struct ConfigQuery {
  std::uint64_t nonce = 0;
};
struct ConfigAnswer {
  std::uint64_t nonce = 0;
  config::ConfigVersion version = 0;
  // Time since the platform confirmed `version` as the newest.
  Milliseconds confirmed_age{0};
  // A change is being accepted: an outage can't be assumed.
  bool change_prepared = false;
  // Seats that vote for the answer.
  std::vector<int> seats;
};
struct ConfigFetch {};
struct ConfigBody {
  Json::Value config;
};
// First phase of a change of configuration.
struct ConfigPrepare {
  std::uint64_t nonce = 0;
};
struct ConfigPrepared {
  std::uint64_t nonce = 0;
  std::vector<int> seats;
};

// How new the sender's copies of the platform's tables are.
struct TableDigest {
  struct Item {
    std::string table;
    std::uint64_t version = 0;
  };
  std::vector<Item> tables;
};
// A whole table, for a host whose copy is older and that may not reach the
// platform.
struct TableCopy {
  struct Item {
    std::string key;
    std::string value;
    std::uint64_t version = 0;
  };
  std::string table;
  std::uint64_t version = 0;
  std::vector<Item> rows;
};

// Asks the receiver to make a primary of a lower term step down, since the
// sender replaces it and may not reach it.
struct StepDownRequest {
  GroupId group;
  EndpointId endpoint;
  Term term = 0;
};

using Message =
    std::variant<Gossip, GuardRequest, GuardAck, SeatVouchRequest, SeatVouch,
                 SeatTakeRequest, SeatTakeConsent, ConfigQuery, ConfigAnswer,
                 ConfigFetch, ConfigBody, ConfigPrepare, ConfigPrepared,
                 limits::TokenRequest, limits::TokenGrant, limits::UnitRequest,
                 limits::UnitGrant, limits::UnitReturn, limits::UnitRecall,
                 TableDigest, TableCopy, StepDownRequest>;

struct Envelope {
  HostId from;
  std::string from_address;
  Message message;
};

Json::Value Encode(const Envelope& envelope);
// Fails with kMessageInvalid.
Result<Envelope> Decode(const Json::Value& json);

}  // namespace tiller::peer
