// Implementation of JSON helpers.
#include "Common/json.h"

#include <memory>

namespace tiller {
namespace {
constexpr int kMaxNesting = 32;
}  // namespace

Result<Json::Value> ParseJson(std::string_view text) {
  static const Json::CharReaderBuilder builder = [] {
    Json::CharReaderBuilder configured;
    Json::CharReaderBuilder::strictMode(&configured.settings_);
    configured["stackLimit"] = kMaxNesting;
    return configured;
  }();
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string errors;
  // The reader throws once the nesting limit is exceeded.
  try {
    if (!reader->parse(text.data(), text.data() + text.size(), &value,
                       &errors)) {
      return MakeError(ErrorCode::kBadRequest, "malformed JSON: " + errors);
    }
  } catch (const Json::Exception& failure) {
    return MakeError(ErrorCode::kBadRequest, failure.what());
  }
  return value;
}

std::string ToText(const Json::Value& value) {
  static const Json::StreamWriterBuilder builder = [] {
    Json::StreamWriterBuilder configured;
    configured["indentation"] = "";
    configured["emitUTF8"] = true;
    return configured;
  }();
  return Json::writeString(builder, value);
}

std::string StringOr(const Json::Value& object, const char* key,
                     std::string fallback) {
  if (!object.isObject() || !object[key].isString()) return fallback;
  return object[key].asString();
}

std::uint64_t UintOr(const Json::Value& object, const char* key,
                     std::uint64_t fallback) {
  if (!object.isObject() || !object[key].isUInt64()) return fallback;
  return object[key].asUInt64();
}

std::int64_t IntOr(const Json::Value& object, const char* key,
                   std::int64_t fallback) {
  if (!object.isObject() || !object[key].isInt64()) return fallback;
  return object[key].asInt64();
}

bool BoolOr(const Json::Value& object, const char* key, bool fallback) {
  if (!object.isObject() || !object[key].isBool()) return fallback;
  return object[key].asBool();
}

double NumberOr(const Json::Value& object, const char* key, double fallback) {
  if (!object.isObject() || !object[key].isNumeric()) return fallback;
  return object[key].asDouble();
}

}  // namespace tiller
