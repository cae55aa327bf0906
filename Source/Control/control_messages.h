// Events that enter the control part and actions that leave it.
#pragma once

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Common/log.h"
#include "Endpoint/endpoint_protocol.h"
#include "Peer/peer_messages.h"
#include "Platform/platform_calls.h"
#include "Traffic/traffic_messages.h"

namespace tiller::control {

using CallId = std::uint64_t;

// --- Events ---

struct PeerMessageArrived {
  peer::Envelope envelope;
};
struct PlatformAnswered {
  CallId id = 0;
  Result<platform::Answer> answer;
};
// Result of CallGroup; `result` is absent if the endpoint did not answer.
struct GroupCallDone {
  CallId id = 0;
  std::optional<endpoint::StepResult> result;
};
enum class OperatorVerb {
  kStatus,
  kConfigShow,
  kConfigApply,
  kKeyAdd,
  kKeyWithdraw,
  kZoneOut,
  kZoneIn,
  kEndpointDrain,
  kEndpointUndrain,
  kPromote,
  kSeatClear
};
inline constexpr std::array<std::string_view, 11> kOperatorVerbNames = {
    "status",           "config_show", "config_apply", "key_add",
    "key_withdraw",     "zone_out",    "zone_in",      "endpoint_drain",
    "endpoint_undrain", "promote",     "seat_clear"};
struct OperatorCommand {
  CallId ticket = 0;  // identifies the command in its OperatorReply
  OperatorVerb verb = OperatorVerb::kStatus;
  Json::Value arguments;
};
struct DrainRequested {};
// The traffic part has answered all its requests.
struct TrafficDrained {};

using Event = std::variant<PeerMessageArrived, PlatformAnswered, GroupCallDone,
                           traffic::EndpointStatusReport,
                           traffic::EndpointUnresponsive, OperatorCommand,
                           DrainRequested, TrafficDrained, traffic::TimerFired>;

// --- Actions ---

struct CallPlatform {
  CallId id = 0;
  platform::Call call;
};
struct SendPeer {
  std::string address;
  peer::Message message;
};
// Runs one of the group's SQL functions, such as a fence, on one endpoint.
struct CallGroup {
  CallId id = 0;
  EndpointId endpoint;
  std::string address;
  endpoint::Step step;
  Milliseconds timeout{0};
};
struct PublishView {
  traffic::TrafficViewPtr view;
};
struct OperatorReply {
  CallId ticket = 0;
  Result<Json::Value> result;
};
struct LogEvent {
  log::Channel channel = log::Channel::kControl;
  log::Level level = log::Level::kInfo;
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;
};
// The host has released all its seats and may exit.
struct DrainFinished {};

using Action = std::variant<CallPlatform, SendPeer, CallGroup, PublishView,
                            OperatorReply, LogEvent, DrainFinished>;

}  // namespace tiller::control
