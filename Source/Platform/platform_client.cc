// Implementation of the client for the platform's HTTP interface.
#include "Platform/platform_client.h"

#include <utility>

namespace tiller::platform {
namespace {

using net::http::verb;

constexpr std::string_view kHostHeader = "Tiller-Host";
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

net::HttpRequest RequestFor(const ReadRow& call) {
  return net::MakeRequest(verb::get, "/v1/tables/" +
                                         net::PercentEncode(call.table) + "/" +
                                         net::PercentEncode(call.key));
}
net::HttpRequest RequestFor(const ListRows& call) {
  return net::MakeRequest(verb::get,
                          "/v1/tables/" + net::PercentEncode(call.table));
}
net::HttpRequest RequestFor(const CommitRows& call) {
  Json::Value body;
  for (const auto& write : call.writes) {
    Json::Value item;
    item["table"] = write.table;
    item["key"] = write.key;
    item["expected"] = Json::UInt64(write.expected);
    item["value"] = write.value;
    body["writes"].append(item);
  }
  return net::MakeRequest(verb::post, "/v1/transactions", ToText(body));
}
net::HttpRequest RequestFor(const GetObject& call) {
  return net::MakeRequest(verb::get,
                          "/v1/objects/" + net::PercentEncode(call.name));
}
net::HttpRequest RequestFor(const PutObject& call) {
  return net::MakeRequest(
      verb::put, "/v1/objects/" + net::PercentEncode(call.name), call.body);
}
net::HttpRequest RequestFor(const ListHosts&) {
  return net::MakeRequest(verb::get, "/v1/hosts");
}

Row RowFrom(const Json::Value& json) {
  return Row{StringOr(json, "key"), UintOr(json, "version"), json["value"]};
}

}  // namespace

PlatformClient::PlatformClient(net::HttpClient* client, net::Authority address,
                               std::string host_id, Milliseconds timeout)
    : m_client(client),
      m_address(std::move(address)),
      m_host_id(std::move(host_id)),
      m_timeout(timeout) {}

void PlatformClient::Send(const Call& call, Done done) {
  m_client->Send(m_address, EncodeCall(call, m_host_id), m_timeout,
                 [call, done = std::move(done)](
                     const Result<net::HttpResponse>& response) {
                   done(DecodeAnswer(call, response));
                 });
}

net::HttpRequest EncodeCall(const Call& call, const std::string& host_id) {
  auto request = std::visit(
      [](const auto& specific_call) { return RequestFor(specific_call); },
      call);
  request.set(std::string(kHostHeader), host_id);
  return request;
}

Result<Answer> DecodeAnswer(const Call& call,
                            const Result<net::HttpResponse>& response) {
  if (!response) {
    return MakeError(ErrorCode::kPlatformUnavailable, response.error().detail,
                     response.error().outcome);
  }
  const int status = static_cast<int>(response.value().result_int());
  const auto& body = response.value().body();
  if (status == kConflict) return MakeError(ErrorCode::kConflict, body);
  if (status == kNotFound) return MakeError(ErrorCode::kNotFound, body);
  if (status != kOk) {
    return MakeError(ErrorCode::kPlatformUnavailable,
                     "status " + std::to_string(status), RunOutcome::kUnknown);
  }
  Answer answer;
  if (std::holds_alternative<GetObject>(call)) {
    answer.body = body;
    return answer;
  }
  const auto parsed = ParseJson(body);
  if (!parsed) {
    return MakeError(ErrorCode::kPlatformUnavailable, parsed.error().detail,
                     RunOutcome::kUnknown);
  }
  const auto& json = parsed.value();
  if (std::holds_alternative<ReadRow>(call))
    answer.rows.push_back(RowFrom(json));
  for (const auto& row : json["rows"]) answer.rows.push_back(RowFrom(row));
  for (const auto& version : json["versions"]) {
    answer.versions.push_back(version.isUInt64() ? version.asUInt64() : 0);
  }
  for (const auto& host : json["hosts"]) {
    answer.hosts.push_back(
        {StringOr(host, "address"), BoolOr(host, "leaving")});
  }
  return answer;
}

}  // namespace tiller::platform
