// Construction of HTTP responses.
#include "Net/http_types.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "Common/names.h"

namespace tiller::net {

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  constexpr std::string_view kUnreserved =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.~";
  // As segments of a path, these would name the parent or the path itself.
  const bool dots = text == "." || text == "..";
  std::string out;
  for (const char c : text) {
    if (!dots && kUnreserved.find(c) != std::string_view::npos) {
      out.push_back(c);
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    out.push_back('%');
    out.push_back(kHexDigits[byte >> 4]);
    out.push_back(kHexDigits[byte & 15]);
  }
  return out;
}

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string out;
  while (!text.empty()) {
    const char c = text.front();
    text.remove_prefix(1);
    if (c != '%') {
      out.push_back(c);
      continue;
    }
    unsigned byte = 0;
    const auto* end = text.data() + std::min<std::size_t>(text.size(), 2);
    const auto parsed = std::from_chars(text.data(), end, byte, 16);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + 2) {
      return std::nullopt;
    }
    out.push_back(static_cast<char>(byte));
    text.remove_prefix(2);
  }
  return out;
}

HttpResponse MakeResponse(int status, std::string content_type,
                          std::string body) {
  HttpResponse response;
  response.version(11);
  response.result(static_cast<unsigned>(status));
  response.set(http::field::content_type, content_type);
  response.body() = std::move(body);
  return response;
}

HttpResponse MakeJsonResponse(int status, const Json::Value& body) {
  return MakeResponse(status, "application/json", ToText(body));
}

HttpResponse MakeProblem(const Error& error) {
  Json::Value body;
  body["type"] = "urn:laburnumtiller:" + std::string(NameOf(error.code));
  body["code"] = std::string(NameOf(error.code));
  body["status"] = HttpStatusOf(error.code);
  body["detail"] = error.detail;
  body["outcome"] = std::string(NameOf(kRunOutcomeNames, error.outcome));
  if (!error.sqlstate.empty()) body["sqlstate"] = error.sqlstate;
  auto response =
      MakeResponse(HttpStatusOf(error.code), "application/problem+json", {});
  if (error.retry_after.count() > 0) {
    body["retry_after_ms"] = Json::Int64(error.retry_after.count());
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(error.retry_after);
    response.set(http::field::retry_after, std::to_string(seconds.count()));
  }
  response.body() = ToText(body);
  return response;
}

}  // namespace tiller::net
