// JSON encoding of the messages between hosts.
#include "Peer/peer_messages.h"

#include <array>
#include <utility>

#include "Common/crypto.h"
#include "Common/json.h"
#include "Common/names.h"

namespace tiller::peer {
namespace {

// One name per alternative of Message, in the same order.
constexpr std::array<std::string_view, std::variant_size_v<Message>>
    kMessageKinds = {"gossip",
                     "guard_request",
                     "guard_ack",
                     "seat_vouch_request",
                     "seat_vouch",
                     "seat_take_request",
                     "seat_take_consent",
                     "config_query",
                     "config_answer",
                     "config_fetch",
                     "config_body",
                     "config_prepare",
                     "config_prepared",
                     "token_request",
                     "token_grant",
                     "unit_request",
                     "unit_grant",
                     "unit_return",
                     "unit_recall",
                     "table_digest",
                     "table_copy",
                     "step_down_request",
                     "commit_hold",
                     "commit_report",
                     "lease_query",
                     "lease_grant",
                     "step_down_report",
                     "usage_counts",
                     "usage_holder"};

constexpr Json::ArrayIndex kMaxListItems = 2048;

Json::UInt64 JsonUint(std::uint64_t value) { return value; }

Json::Value ToJson(const MemberRecord& record) {
  Json::Value out;
  out["host"] = record.host;
  out["address"] = record.address;
  out["zone"] = record.zone;
  out["heartbeat"] = JsonUint(record.heartbeat);
  out["leaving"] = record.leaving;
  out["config"] = JsonUint(record.config_version);
  out["seats"] = record.seats;
  out["primaries"] = record.primaries;
  return out;
}

MemberRecord ParseMember(const Json::Value& json) {
  return {StringOr(json, "host"),
          StringOr(json, "address"),
          StringOr(json, "zone"),
          UintOr(json, "heartbeat"),
          BoolOr(json, "leaving"),
          UintOr(json, "config"),
          static_cast<int>(UintOr(json, "seats")),
          static_cast<int>(UintOr(json, "primaries"))};
}

Json::Value ToJson(const GroupRecord& record) {
  Json::Value out;
  out["group"] = record.group;
  out["term"] = JsonUint(record.term);
  out["primary"] = record.primary;
  out["owner"] = record.owner;
  return out;
}

GroupRecord ParseGroup(const Json::Value& json) {
  return {StringOr(json, "group"), UintOr(json, "term"),
          StringOr(json, "primary"), StringOr(json, "owner")};
}

void EncodeBody(const Gossip& message, Json::Value* out) {
  for (const auto& member : message.members) {
    (*out)["members"].append(ToJson(member));
  }
  for (const auto& group : message.groups) {
    (*out)["groups"].append(ToJson(group));
  }
}
void DecodeBody(const Json::Value& json, Gossip* message) {
  for (const auto& member : json["members"]) {
    message->members.push_back(ParseMember(member));
  }
  for (const auto& group : json["groups"]) {
    message->groups.push_back(ParseGroup(group));
  }
}

Json::Value ToJson(const CommitHold& hold) {
  Json::Value out;
  out["group"] = hold.group;
  out["token"] = JsonUint(hold.token);
  out["holder"] = hold.holder;
  if (!hold.target.empty()) out["target"] = hold.target;
  if (hold.released) out["released"] = true;
  return out;
}

CommitHold ParseHold(const Json::Value& json) {
  return {StringOr(json, "group"), UintOr(json, "token"),
          StringOr(json, "holder"), StringOr(json, "target"),
          BoolOr(json, "released")};
}

template <typename Kind>
concept HasNonce = std::is_same_v<decltype(Kind::nonce), std::uint64_t>;

template <HasNonce Kind>
void EncodeBody(const Kind& message, Json::Value* out) {
  (*out)["nonce"] = JsonUint(message.nonce);
  if constexpr (std::is_same_v<Kind, ConfigAnswer>) {
    (*out)["version"] = JsonUint(message.version);
    (*out)["age_ms"] =
        JsonUint(static_cast<std::uint64_t>(message.confirmed_age.count()));
    (*out)["change_prepared"] = message.change_prepared;
  }
  if constexpr (requires { message.seats; }) {
    for (const int seat : message.seats) (*out)["seats"].append(seat);
  }
  if constexpr (requires { message.holder; }) {
    (*out)["holder"] = message.holder;
  }
  if constexpr (requires { message.holds; }) {
    for (const auto& hold : message.holds) (*out)["holds"].append(ToJson(hold));
  }
}
template <HasNonce Kind>
void DecodeBody(const Json::Value& json, Kind* message) {
  message->nonce = UintOr(json, "nonce");
  if constexpr (std::is_same_v<Kind, ConfigAnswer>) {
    message->version = UintOr(json, "version");
    message->confirmed_age =
        Milliseconds(static_cast<std::int64_t>(UintOr(json, "age_ms")));
    message->change_prepared = BoolOr(json, "change_prepared");
  }
  if constexpr (requires { message->seats; }) {
    for (const auto& seat : json["seats"]) {
      if (seat.isInt()) message->seats.push_back(seat.asInt());
    }
  }
  if constexpr (requires { message->holder; }) {
    message->holder = StringOr(json, "holder");
  }
  if constexpr (requires { message->holds; }) {
    for (const auto& hold : json["holds"]) {
      message->holds.push_back(ParseHold(hold));
    }
  }
}

void EncodeBody(const ConfigFetch&, Json::Value*) {}
void DecodeBody(const Json::Value&, ConfigFetch*) {}
void EncodeBody(const ConfigBody& message, Json::Value* out) {
  (*out)["config"] = message.config;
}
void DecodeBody(const Json::Value& json, ConfigBody* message) {
  message->config = json["config"];
}

void EncodeBody(const limits::TokenRequest& message, Json::Value* out) {
  (*out)["workspace"] = message.workspace;
  (*out)["request"] = JsonUint(message.request_id);
  (*out)["wanted"] = Json::Int64(message.wanted);
  for (const auto id : message.settled) (*out)["settled"].append(JsonUint(id));
}
void DecodeBody(const Json::Value& json, limits::TokenRequest* message) {
  message->workspace = StringOr(json, "workspace");
  message->request_id = UintOr(json, "request");
  message->wanted = static_cast<limits::MicroTokens>(UintOr(json, "wanted"));
  for (const auto& id : json["settled"]) {
    if (id.isUInt64()) message->settled.push_back(id.asUInt64());
  }
}
void EncodeBody(const limits::TokenGrant& message, Json::Value* out) {
  (*out)["workspace"] = message.workspace;
  (*out)["request"] = JsonUint(message.request_id);
  (*out)["granted"] = Json::Int64(message.granted);
}
void DecodeBody(const Json::Value& json, limits::TokenGrant* message) {
  message->workspace = StringOr(json, "workspace");
  message->request_id = UintOr(json, "request");
  message->granted = static_cast<limits::MicroTokens>(UintOr(json, "granted"));
}
void EncodeBody(const limits::UnitRequest& message, Json::Value* out) {
  (*out)["resource"] = message.resource;
  (*out)["request"] = JsonUint(message.request_id);
  (*out)["renews"] = JsonUint(message.renews);
}
void DecodeBody(const Json::Value& json, limits::UnitRequest* message) {
  *message = {StringOr(json, "resource"), UintOr(json, "request"),
              UintOr(json, "renews")};
}
void EncodeBody(const limits::UnitGrant& message, Json::Value* out) {
  (*out)["resource"] = message.resource;
  (*out)["request"] = JsonUint(message.request_id);
  (*out)["loan"] = JsonUint(message.loan_id);
}
void DecodeBody(const Json::Value& json, limits::UnitGrant* message) {
  *message = {StringOr(json, "resource"), UintOr(json, "request"),
              UintOr(json, "loan")};
}
template <typename Kind>
concept LoanMessage = std::is_same_v<Kind, limits::UnitReturn> ||
    std::is_same_v<Kind, limits::UnitRecall>;
template <LoanMessage Kind>
void EncodeBody(const Kind& message, Json::Value* out) {
  (*out)["resource"] = message.resource;
  (*out)["loan"] = JsonUint(message.loan_id);
}
template <LoanMessage Kind>
void DecodeBody(const Json::Value& json, Kind* message) {
  *message = {StringOr(json, "resource"), UintOr(json, "loan")};
}

void EncodeBody(const TableDigest& message, Json::Value* out) {
  for (const auto& item : message.tables) {
    Json::Value entry;
    entry["table"] = item.table;
    entry["version"] = JsonUint(item.version);
    entry["complete_to"] = JsonUint(item.complete_to);
    entry["complete_at"] = JsonUint(item.complete_at_ms);
    if (item.large) entry["large"] = true;
    entry["era"] = JsonUint(item.era);
    (*out)["tables"].append(std::move(entry));
  }
  if (message.fetch) (*out)["fetch"] = true;
  if (message.query) (*out)["query"] = true;
  if (message.subscribe) (*out)["subscribe"] = true;
  if (message.answer) (*out)["answer"] = true;
  (*out)["config"] = JsonUint(message.config_version);
}
void DecodeBody(const Json::Value& json, TableDigest* message) {
  for (const auto& item : json["tables"]) {
    message->tables.push_back({StringOr(item, "table"), UintOr(item, "version"),
                               UintOr(item, "complete_to"),
                               UintOr(item, "complete_at"),
                               BoolOr(item, "large"), UintOr(item, "era")});
  }
  message->fetch = BoolOr(json, "fetch");
  message->query = BoolOr(json, "query");
  message->subscribe = BoolOr(json, "subscribe");
  message->answer = BoolOr(json, "answer");
  message->config_version = UintOr(json, "config");
}
void EncodeBody(const StepDownRequest& message, Json::Value* out) {
  (*out)["group"] = message.group;
  (*out)["endpoint"] = message.endpoint;
  (*out)["term"] = JsonUint(message.term);
}
void DecodeBody(const Json::Value& json, StepDownRequest* message) {
  *message = {StringOr(json, "group"), StringOr(json, "endpoint"),
              UintOr(json, "term")};
}
void EncodeBody(const StepDownReport& message, Json::Value* out) {
  (*out)["group"] = message.group;
  (*out)["endpoint"] = message.endpoint;
  (*out)["term"] = JsonUint(message.term);
  (*out)["log_term"] = JsonUint(message.received.term);
  (*out)["position"] = JsonUint(message.received.position);
}
void DecodeBody(const Json::Value& json, StepDownReport* message) {
  *message = {StringOr(json, "group"),
              StringOr(json, "endpoint"),
              UintOr(json, "term"),
              {UintOr(json, "log_term"), UintOr(json, "position")}};
}
void EncodeBody(const CommitHold& message, Json::Value* out) {
  *out = ToJson(message);
}
void DecodeBody(const Json::Value& json, CommitHold* message) {
  *message = ParseHold(json);
}
void EncodeBody(const CommitReport& message, Json::Value* out) {
  (*out)["group"] = message.group;
  (*out)["term"] = JsonUint(message.acknowledged.term);
  (*out)["position"] = JsonUint(message.acknowledged.position);
  (*out)["token"] = JsonUint(message.token);
  for (const auto& lease : message.leases) {
    Json::Value entry;
    entry["host"] = lease.host;
    entry["left_ms"] = Json::Int64(lease.left.count());
    (*out)["leases"].append(std::move(entry));
  }
}
void DecodeBody(const Json::Value& json, CommitReport* message) {
  *message = {StringOr(json, "group"),
              {UintOr(json, "term"), UintOr(json, "position")},
              UintOr(json, "token"),
              {}};
  for (const auto& lease : json["leases"]) {
    message->leases.push_back(
        {StringOr(lease, "host"), Milliseconds(IntOr(lease, "left_ms"))});
  }
}
// Row values are arbitrary bytes, so they are encoded as base64url.
void EncodeBody(const TableCopy& message, Json::Value* out) {
  (*out)["table"] = message.table;
  (*out)["version"] = JsonUint(message.version);
  (*out)["base"] = JsonUint(message.base);
  (*out)["complete_to"] = JsonUint(message.complete_to);
  (*out)["complete_at"] = JsonUint(message.complete_at_ms);
  (*out)["era"] = JsonUint(message.era);
  for (const auto& row : message.rows) {
    Json::Value entry;
    entry["key"] = row.key;
    entry["value"] = Base64UrlEncode(row.value);
    entry["version"] = JsonUint(row.version);
    if (row.deleted) entry["deleted"] = true;
    (*out)["rows"].append(std::move(entry));
  }
}
void DecodeBody(const Json::Value& json, TableCopy* message) {
  message->table = StringOr(json, "table");
  message->version = UintOr(json, "version");
  message->base = UintOr(json, "base");
  message->complete_to = UintOr(json, "complete_to");
  message->complete_at_ms = UintOr(json, "complete_at");
  message->era = UintOr(json, "era");
  for (const auto& row : json["rows"]) {
    auto value = Base64UrlDecode(StringOr(row, "value"));
    if (!value) {
      // A copy that lacks a row must not count as up to date. Version 0 of era
      // 0 is older than every copy, so the receiver ignores it.
      message->version = 0;
      message->era = 0;
      return;
    }
    message->rows.push_back({StringOr(row, "key"), std::move(*value),
                             UintOr(row, "version"), BoolOr(row, "deleted")});
  }
}

void EncodeBody(const metering::UsageCounts& message, Json::Value* out) {
  if (!message.host.empty()) (*out)["host"] = message.host;
  (*out)["process"] = JsonUint(message.process);
  (*out)["sequence"] = JsonUint(message.sequence);
  (*out)["from"] = JsonUint(message.counted_from);
  (*out)["offset"] = Json::Int64(message.clock_offset.count());
  if (message.seeking) (*out)["seeking"] = true;
  if (message.leaving) (*out)["leaving"] = true;
  for (const auto& part : message.windows) {
    Json::Value entry;
    entry["window"] = JsonUint(part.window);
    if (part.final) entry["final"] = true;
    for (const auto& [workspace, count] : part.counts) {
      entry["counts"][workspace] = JsonUint(count);
    }
    (*out)["windows"].append(std::move(entry));
  }
}
void DecodeBody(const Json::Value& json, metering::UsageCounts* message) {
  message->host = StringOr(json, "host");
  message->process = UintOr(json, "process");
  message->sequence = UintOr(json, "sequence");
  message->counted_from = UintOr(json, "from");
  message->clock_offset = Milliseconds(IntOr(json, "offset"));
  message->seeking = BoolOr(json, "seeking");
  message->leaving = BoolOr(json, "leaving");
  for (const auto& entry : json["windows"]) {
    if (!entry.isObject()) continue;
    metering::UsageCounts::Window part;
    part.window = UintOr(entry, "window");
    part.final = BoolOr(entry, "final");
    const auto& counts = entry["counts"];
    if (counts.isObject()) {
      for (const auto& workspace : counts.getMemberNames()) {
        part.counts[workspace] = UintOr(counts, workspace.c_str());
      }
    }
    message->windows.push_back(std::move(part));
  }
}
void EncodeBody(const metering::UsageHolder& message, Json::Value* out) {
  (*out)["token"] = JsonUint(message.token);
  (*out)["stored"] = JsonUint(message.stored);
  (*out)["offset"] = Json::Int64(message.clock_offset.count());
  if (message.released) (*out)["released"] = true;
}
void DecodeBody(const Json::Value& json, metering::UsageHolder* message) {
  *message = {UintOr(json, "token"), UintOr(json, "stored"),
              Milliseconds(IntOr(json, "offset")), BoolOr(json, "released")};
}

// Decodes `body` as the alternative of Message with the given index.
template <std::size_t I = 0>
Message DecodeMessage(std::size_t index, const Json::Value& body) {
  if constexpr (I < std::variant_size_v<Message>) {
    if (index != I) return DecodeMessage<I + 1>(index, body);
    std::variant_alternative_t<I, Message> message;
    DecodeBody(body, &message);
    return message;
  } else {
    return Message{};
  }
}

bool HasInvalidList(const Json::Value& body) {
  for (const auto* list : {"members", "groups", "settled", "seats", "tables",
                           "rows", "holds", "leases", "windows"}) {
    if (body.isMember(list) &&
        (!body[list].isArray() || body[list].size() > kMaxListItems)) {
      return true;
    }
  }
  return false;
}

}  // namespace

Json::Value Encode(const Envelope& envelope) {
  Json::Value out;
  out["from"] = envelope.from;
  out["address"] = envelope.from_address;
  out["kind"] = std::string(kMessageKinds[envelope.message.index()]);
  Json::Value body(Json::objectValue);
  std::visit([&](const auto& message) { EncodeBody(message, &body); },
             envelope.message);
  out["body"] = std::move(body);
  return out;
}

Result<Envelope> Decode(const Json::Value& json) {
  const auto kind = StringOr(json, "kind");
  for (std::size_t i = 0; i < kMessageKinds.size(); ++i) {
    if (kMessageKinds[i] != kind) continue;
    if (!json["body"].isObject() || HasInvalidList(json["body"])) break;
    return Envelope{StringOr(json, "from"), StringOr(json, "address"),
                    DecodeMessage(i, json["body"])};
  }
  return MakeError(ErrorCode::kMessageInvalid, "unknown peer message");
}

}  // namespace tiller::peer
