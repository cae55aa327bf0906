// Parsing of untrusted JSON with a nesting limit and typed errors.
#pragma once

#include <json/json.h>

#include <string>
#include <string_view>

#include "Common/error.h"

namespace tiller {

// Parses one strict JSON document. Fails with kBadRequest on malformed or too
// deeply nested text.
Result<Json::Value> ParseJson(std::string_view text);
// Returns compact JSON text without a trailing newline.
std::string ToText(const Json::Value& value);

// Typed access to a member; returns `fallback` if `object` is not an object or
// the member is missing or of another type.
std::string StringOr(const Json::Value& object, const char* key,
                     std::string fallback = {});
std::uint64_t UintOr(const Json::Value& object, const char* key,
                     std::uint64_t fallback = 0);
std::int64_t IntOr(const Json::Value& object, const char* key,
                   std::int64_t fallback = 0);
bool BoolOr(const Json::Value& object, const char* key, bool fallback = false);
double NumberOr(const Json::Value& object, const char* key,
                double fallback = 0);

}  // namespace tiller
