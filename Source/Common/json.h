// Reading of JSON that comes from outside, with bounds and typed errors.
#pragma once

#include <json/json.h>

#include <string>
#include <string_view>

#include "Common/error.h"

namespace tiller {

// Parses one strict JSON document. Fails with kBadRequest.
Result<Json::Value> ParseJson(std::string_view text);
// Compact text without a trailing newline.
std::string ToText(const Json::Value& value);

// Typed access with a fallback for absent or mistyped members.
std::string StringOr(const Json::Value& object, const char* key,
                     std::string fallback = {});
std::uint64_t UintOr(const Json::Value& object, const char* key,
                     std::uint64_t fallback = 0);
bool BoolOr(const Json::Value& object, const char* key, bool fallback = false);

}  // namespace tiller
