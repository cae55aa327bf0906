// Implementation of the HTTP API for callers.
#include "Daemon/caller_api.h"

#include <optional>
#include <set>
#include <sstream>
#include <string_view>
#include <utility>

#include "Common/json.h"
#include "Common/json_size.h"

namespace tiller::daemon {
namespace {

using net::http::verb;
using traffic::RequestKind;

constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::string_view kTransactionsPath = "/v1/transactions";
constexpr std::string_view kOpenRoutePrefix = "/v1/open/";
constexpr std::size_t kMaxParameters = 1000;

Error Reject(std::string detail) {
  return MakeError(ErrorCode::kBadRequest, std::move(detail));
}

Result<endpoint::Cell> ParseCell(const Json::Value& value) {
  if (value.isNull()) return endpoint::Cell{};
  if (value.isString()) {
    if (value.asString().find('\0') != std::string::npos) {
      return Reject("a parameter contains a NUL byte");
    }
    return endpoint::Cell{value.asString()};
  }
  if (value.isBool()) return endpoint::Cell{value.asBool() ? "t" : "f"};
  if (value.isNumeric()) return endpoint::Cell{value.asString()};
  return Reject("parameters are strings, numbers, booleans or null");
}

Result<traffic::Statement> ParseStatement(const Json::Value& json) {
  if (!json.isObject() || !json["statement"].isString()) {
    return Reject("\"statement\" must be a string");
  }
  traffic::Statement statement{json["statement"].asString(), {}};
  if (statement.sql.empty()) return Reject("\"statement\" is empty");
  const auto& parameters = json["parameters"];
  if (parameters.isNull()) return statement;
  if (!parameters.isArray() || parameters.size() > kMaxParameters) {
    return Reject("\"parameters\" must be an array of at most 1000 values");
  }
  for (const auto& value : parameters) {
    auto cell = ParseCell(value);
    if (!cell) return cell.error();
    statement.parameters.push_back(std::move(cell.value()));
  }
  return statement;
}

// Sets the kind and the transaction id of a POST request from its path.
// Returns false if no route matches.
bool ParseRoute(std::string_view target, traffic::CallerRequest* out) {
  if (target == "/v1/execute") {
    out->kind = RequestKind::kExecute;
    return true;
  }
  if (target == "/v1/batch") {
    out->kind = RequestKind::kBatch;
    return true;
  }
  if (target == kTransactionsPath) {
    out->kind = RequestKind::kBegin;
    return true;
  }
  if (!target.starts_with(kTransactionsPath)) return false;
  target.remove_prefix(kTransactionsPath.size());
  const auto slash = target.find('/', 1);
  if (target.empty() || target[0] != '/' || slash == std::string_view::npos) {
    return false;
  }
  out->transaction = std::string(target.substr(1, slash - 1));
  const auto operation = target.substr(slash + 1);
  if (operation == "execute") {
    out->kind = RequestKind::kTransactionExecute;
  } else if (operation == "commit") {
    out->kind = RequestKind::kCommit;
  } else if (operation == "rollback") {
    out->kind = RequestKind::kRollback;
  } else {
    return false;
  }
  return !out->transaction.empty();
}

Result<std::optional<Milliseconds>> ParseMilliseconds(const Json::Value& body,
                                                      const char* member) {
  if (!body.isObject() || !body.isMember(member)) {
    return std::optional<Milliseconds>{};
  }
  constexpr std::uint64_t kMaxMilliseconds = 86'400'000;
  if (!body[member].isUInt64() || body[member].asUInt64() > kMaxMilliseconds) {
    return Reject(std::string(member) + " must be milliseconds up to 86400000");
  }
  return std::optional(
      Milliseconds(static_cast<std::int64_t>(body[member].asUInt64())));
}

Result<void> CheckMembers(const Json::Value& body) {
  static const std::set<std::string> known = {"statement", "parameters",
                                              "statements", "max_staleness_ms",
                                              "deadline_ms"};
  for (const auto& member : body.getMemberNames()) {
    if (known.count(member) == 0) return Reject("unknown member " + member);
  }
  return Success();
}

Result<void> ParseBody(const std::string& text, traffic::CallerRequest* out) {
  Json::Value body(Json::objectValue);
  if (!text.empty()) {
    if (JsonValueBound(text) > kMaxJsonValues) {
      return MakeError(ErrorCode::kTooLarge, "too many JSON values");
    }
    auto parsed = ParseJson(text);
    if (!parsed) return parsed.error();
    body = std::move(parsed.value());
  }
  if (!body.isObject()) return Reject("the body must be an object");
  const auto members = CheckMembers(body);
  if (!members) return members.error();
  const auto staleness = ParseMilliseconds(body, "max_staleness_ms");
  if (!staleness) return staleness.error();
  const auto deadline = ParseMilliseconds(body, "deadline_ms");
  if (!deadline) return deadline.error();
  out->max_staleness = staleness.value();
  out->deadline = deadline.value().value_or(Milliseconds{0});
  if (out->kind == RequestKind::kBatch) {
    if (!body["statements"].isArray() || body["statements"].empty()) {
      return Reject("\"statements\" must be a non-empty array");
    }
    for (const auto& item : body["statements"]) {
      auto statement = ParseStatement(item);
      if (!statement) return statement.error();
      out->statements.push_back(std::move(statement.value()));
    }
  } else if (out->kind == RequestKind::kExecute ||
             out->kind == RequestKind::kTransactionExecute) {
    auto statement = ParseStatement(body);
    if (!statement) return statement.error();
    out->statements.push_back(std::move(statement.value()));
  }
  return Success();
}

}  // namespace

Result<traffic::CallerRequest> ParseCallerRequest(
    const net::HttpRequest& request) {
  traffic::CallerRequest out;
  const std::string_view target(request.target().data(),
                                request.target().size());
  if (target.starts_with(kOpenRoutePrefix)) {
    if (request.method() != verb::get) return Reject("open routes take GET");
    out.kind = RequestKind::kOpenRoute;
    out.open_route = std::string(target.substr(kOpenRoutePrefix.size()));
    return out;
  }
  if (!ParseRoute(target, &out)) {
    return MakeError(ErrorCode::kRouteUnknown, std::string(target));
  }
  if (request.method() != verb::post) return Reject("this route takes POST");
  for (const std::string_view name :
       {std::string_view("Authorization"), std::string_view(kSessionHeader),
        std::string_view(kIdempotencyHeader)}) {
    if (request.count({name.data(), name.size()}) > 1) {
      return Reject("more than one " + std::string(name));
    }
  }
  const auto authorization = request[net::http::field::authorization];
  if (std::string_view(authorization.data(), authorization.size())
          .starts_with(kBearerPrefix)) {
    out.key = std::string(authorization.substr(kBearerPrefix.size()));
  }
  out.token = std::string(request[kSessionHeader]);
  if (request.find(kIdempotencyHeader) != request.end()) {
    out.idempotency_key = std::string(request[kIdempotencyHeader]);
  }
  const auto body = ParseBody(request.body(), &out);
  if (!body) return body.error();
  return out;
}

net::HttpResponse MakeCallerResponse(const traffic::Reply& reply) {
  if (reply.error) return net::MakeProblem(*reply.error);
  auto response = net::MakeResponse(200, "application/json", reply.body);
  response.set(kSessionHeader, reply.token);
  return response;
}

}  // namespace tiller::daemon
