// Implementation of the stand-in platform's HTTP server.
#include "StandIn/platform_server.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "Common/clock.h"
#include "Common/names.h"

namespace tiller::standin {
namespace {

using net::http::verb;

// Returns the decoded segments of the path; none if it is malformed.
std::vector<std::string> SplitPath(std::string_view target) {
  std::vector<std::string> parts;
  std::size_t start = 1;
  while (start <= target.size()) {
    const auto end = std::min(target.find('/', start), target.size());
    auto part = net::PercentDecode(target.substr(start, end - start));
    if (!part) return {};
    parts.push_back(std::move(*part));
    start = end + 1;
  }
  return parts;
}

std::optional<platform::Call> ParseCall(const net::HttpRequest& request) {
  const auto parts =
      SplitPath({request.target().data(), request.target().size()});
  if (parts.size() < 2 || parts[0] != "v1") return std::nullopt;
  const bool is_get = request.method() == verb::get;
  if (parts[1] == "hosts" && is_get) return platform::ListHosts{};
  if (parts[1] == "tables" && is_get && parts.size() == 3) {
    return platform::ListRows{parts[2]};
  }
  if (parts[1] == "tables" && is_get && parts.size() == 4) {
    return platform::ReadRow{parts[2], parts[3]};
  }
  if (parts[1] == "objects" && parts.size() == 3) {
    if (is_get) return platform::GetObject{parts[2]};
    return platform::PutObject{parts[2], request.body()};
  }
  if (parts[1] != "transactions") return std::nullopt;
  const auto body = ParseJson(request.body());
  if (!body) return std::nullopt;
  platform::CommitRows commit;
  for (const auto& item : body.value()["writes"]) {
    commit.writes.push_back({StringOr(item, "table"), StringOr(item, "key"),
                             UintOr(item, "expected"), item["value"]});
  }
  return commit;
}

Json::Value RowToJson(const platform::Row& row) {
  Json::Value out;
  out["key"] = row.key;
  out["version"] = Json::UInt64(row.version);
  out["value"] = row.value;
  return out;
}

Json::Value AnswerToJson(const platform::Call& call,
                         const platform::Answer& answer) {
  if (std::holds_alternative<platform::ReadRow>(call)) {
    return RowToJson(answer.rows.front());
  }
  Json::Value out(Json::objectValue);
  for (const auto& row : answer.rows) out["rows"].append(RowToJson(row));
  for (const auto version : answer.versions) {
    out["versions"].append(Json::UInt64(version));
  }
  for (const auto& host : answer.hosts) {
    Json::Value item;
    item["address"] = host.address;
    item["leaving"] = host.leaving;
    out["hosts"].append(item);
  }
  return out;
}

}  // namespace

PlatformServer::PlatformServer(boost::asio::io_context* io,
                               net::HttpServerOptions options,
                               Milliseconds host_list_lag)
    : m_io(io),
      m_host_list_lag(host_list_lag),
      m_server(
          io, std::move(options),
          [this](const net::HttpRequest& request,
                 const net::Responder& respond) { Handle(request, respond); }) {
}

void PlatformServer::Handle(const net::HttpRequest& request,
                            const net::Responder& respond) {
  if (request.target().starts_with("/standin/")) {
    return HandleStandInRequest(request, respond);
  }
  const std::string caller(request["Tiller-Host"]);
  const bool blocked = std::any_of(
      m_blocked_callers.begin(), m_blocked_callers.end(),
      [&](const auto& prefix) { return caller.rfind(prefix, 0) == 0; });
  if (blocked || m_outage_mode == OutageMode::kUnresponsive) {
    m_withheld_responses.push_back(respond);
    return;
  }
  if (m_outage_mode == OutageMode::kDown) {
    respond(net::MakeResponse(503, "text/plain", "outage"));
    return;
  }
  const auto response = ExecuteRequest(request);
  if (m_outage_mode == OutageMode::kDropWriteResponses &&
      request.method() != verb::get) {
    m_withheld_responses.push_back(respond);
    return;
  }
  RespondAfterDelay(response, respond);
}

net::HttpResponse PlatformServer::ExecuteRequest(
    const net::HttpRequest& request) {
  const auto call = ParseCall(request);
  if (!call) return net::MakeResponse(400, "text/plain", "unknown call");
  m_store.SetNow(SystemClock().Now());
  const auto answer = m_store.Execute(*call);
  if (!answer) return net::MakeProblem(answer.error());
  if (std::holds_alternative<platform::GetObject>(*call)) {
    return net::MakeResponse(200, "application/json", answer.value().body);
  }
  return net::MakeJsonResponse(200, AnswerToJson(*call, answer.value()));
}

void PlatformServer::RespondAfterDelay(const net::HttpResponse& response,
                                       const net::Responder& respond) {
  if (m_response_delay.count() == 0) return respond(response);
  auto timer =
      std::make_shared<boost::asio::steady_timer>(*m_io, m_response_delay);
  timer->async_wait(
      [timer, response, respond](const auto&) { respond(response); });
}

void PlatformServer::HandleStandInRequest(const net::HttpRequest& request,
                                          const net::Responder& respond) {
  const auto body = ParseJson(request.body());
  const auto reply = [&](int status, const std::string& text) {
    respond(net::MakeResponse(status, "text/plain", text));
  };
  if (request.target() == "/standin/statistics") {
    return reply(200, "reads " + std::to_string(m_store.ReadCount()) +
                          "\nwrites " + std::to_string(m_store.WriteCount()) +
                          "\n");
  }
  if (!body) return reply(400, "malformed JSON");
  const auto& json = body.value();
  if (request.target() == "/standin/hosts") {
    std::vector<platform::ListedHost> hosts;
    for (const auto& host : json) {
      hosts.push_back({StringOr(host, "address"), BoolOr(host, "leaving")});
    }
    m_store.SetHosts(std::move(hosts), SystemClock().Now() + m_host_list_lag);
    return reply(200, "ok");
  }
  const auto mode =
      ValueOf<OutageMode>(kOutageModeNames, StringOr(json, "mode", "up"));
  if (!mode) return reply(400, "unknown mode");
  m_outage_mode = *mode;
  m_response_delay = Milliseconds(UintOr(json, "delay_ms"));
  m_blocked_callers.clear();
  for (const auto& prefix : json["cut"])
    m_blocked_callers.push_back(prefix.asString());
  if (m_outage_mode != OutageMode::kUnresponsive) m_withheld_responses.clear();
  reply(200, "ok");
}

}  // namespace tiller::standin
