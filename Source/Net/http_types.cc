// Construction of HTTP responses.
#include "Net/http_types.h"

#include <utility>

#include "Common/names.h"

namespace tiller::net {

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
