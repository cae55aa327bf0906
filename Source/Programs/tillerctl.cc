// tillerctl: command-line tool for operators. Sends operations to the control
// address of a host.
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "Common/crypto.h"
#include "Common/json.h"
#include "Config/config.h"
#include "Net/http_client.h"
#include "Peer/json_rpc.h"
#include "Settings/command_line.h"

namespace {

namespace settings = tiller::settings;
namespace net = tiller::net;
using tiller::ErrorCode;
using tiller::MakeError;
using tiller::Milliseconds;
using tiller::Result;
using tiller::StringOr;
using tiller::ToText;
using tiller::peer::CallMethod;

constexpr Milliseconds kCallTimeout{3'000};
constexpr Milliseconds kPollInterval{50};
constexpr int kMaxPolls = 300;  // 15 s at kPollInterval
constexpr int kKeyBytes = 24;
constexpr char kUsage[] =
    "COMMAND [ARGUMENT...]\n"
    "  status                         state, peers and groups of this host\n"
    "  hosts                          configuration version of every host\n"
    "  config show                    print the configuration in force\n"
    "  config check FILE              check a configuration\n"
    "  config diff FILE               what applying FILE would change\n"
    "  config apply FILE              apply FILE as the next version\n"
    "  key issue WORKSPACE ID         issue a key; it is printed only once\n"
    "  key withdraw ID                withdraw a key on all hosts\n"
    "  zone out|in ZONE               take a zone out of service, or back in\n"
    "  endpoint drain|undrain NAME    stop or resume new work on an endpoint\n"
    "  seat clear NUMBER              free the seat of a host that is gone\n"
    "  group show                     terms, primaries and positions\n"
    "  group promote GROUP [ENDPOINT] replace the primary, safely\n"
    "  watch                          status every second until interrupted\n"
    "Exit codes: 0 done, 1 failed or refused, 2 usage, 3 host unreachable,\n"
    "4 outcome unknown.\n";

struct Options {
  std::string host = "127.0.0.1:7400";
  bool json = false;
  bool yes = false;
};

tiller::peer::RpcTransport MakeTransport(const std::string& host) {
  return [host](const std::string& request) -> std::string {
    const auto answer = net::SendBlocking(
        host, net::MakeRequest(net::http::verb::post, "/rpc", request),
        kCallTimeout);
    return answer ? answer.value().body() : std::string();
  };
}

// Starts an operation on the host and polls for its result. Fails with
// kConnectFailed if the host cannot be reached, and with an unknown outcome if
// no result arrives within kMaxPolls polls.
Result<Json::Value> RunOperation(const Options& options,
                                 const std::string& verb,
                                 const Json::Value& arguments) {
  const auto transport = MakeTransport(options.host);
  Json::Value body;
  body["verb"] = verb;
  body["arguments"] = arguments;
  const auto started = CallMethod(transport, "operate", body);
  if (!started.ok) {
    return MakeError(ErrorCode::kConnectFailed,
                     options.host + ": " + started.failure);
  }
  if (started.value.isMember("error")) {
    return MakeError(ErrorCode::kBadRequest,
                     StringOr(started.value["error"], "detail"));
  }
  Json::Value query;
  query["ticket"] = started.value["ticket"];
  for (int i = 0; i < kMaxPolls; ++i) {
    const auto polled = CallMethod(transport, "result", query);
    if (polled.ok && polled.value.isMember("ok")) return polled.value["ok"];
    if (polled.ok && polled.value.isMember("error")) {
      const auto& error = polled.value["error"];
      auto failure =
          MakeError(ErrorCode::kConflict,
                    StringOr(error, "code") + ": " + StringOr(error, "detail"));
      if (StringOr(error, "outcome") == "unknown") {
        failure.outcome = tiller::RunOutcome::kUnknown;
      }
      return failure;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return MakeError(ErrorCode::kTimeout, "no result",
                   tiller::RunOutcome::kUnknown);
}

int ReportError(const tiller::Error& error) {
  std::fprintf(stderr, "tillerctl: %s\n", error.detail.c_str());
  if (error.outcome == tiller::RunOutcome::kUnknown) {
    return settings::kExitUnknown;
  }
  return error.code == ErrorCode::kConnectFailed ? settings::kExitUnreachable
                                                 : settings::kExitFailure;
}

int PrintResult(const Options& options, const Result<Json::Value>& result,
                const std::function<void(const Json::Value&)>& print) {
  if (!result) return ReportError(result.error());
  if (options.json) {
    std::puts(ToText(result.value()).c_str());
  } else {
    print(result.value());
  }
  return settings::kExitSuccess;
}

void PrintVersion(const Json::Value& result) {
  std::printf("accepted as version %s\n", result["version"].asString().c_str());
}

void PrintGroups(const Json::Value& groups) {
  std::printf("%-20s %6s %-24s %-8s %-10s %6s %9s %9s %s\n", "GROUP", "TERM",
              "ENDPOINT", "ROLE", "ZONE", "TERM", "APPLIED", "RECEIVED",
              "HEARD");
  for (const auto& group : groups) {
    for (const auto& item : group["endpoints"]) {
      std::printf("%-20s %6s %-24s %-8s %-10s %6s %9s %9s %sms%s\n",
                  group["group"].asCString(), group["term"].asString().c_str(),
                  item["endpoint"].asCString(), item["role"].asCString(),
                  item["zone"].asCString(), item["term"].asString().c_str(),
                  item["applied"].asString().c_str(),
                  item["received"].asString().c_str(),
                  item["heard_ms_ago"].asString().c_str(),
                  item["draining"].asBool() ? " draining" : "");
    }
  }
}

void PrintMembers(const Json::Value& status) {
  std::printf("%-28s %-12s %-22s %8s %6s %s\n", "HOST", "ZONE", "ADDRESS",
              "VERSION", "SEATS", "STATE");
  std::printf("%-28s %-12s %-22s %8s %6u %s\n", status["host"].asCString(),
              status["zone"].asCString(), "(this host)",
              status["config_version"].asString().c_str(),
              status["seats"].size(),
              status["ready"].asBool() ? "ready" : "not ready");
  for (const auto& row : status["members"]) {
    std::printf("%-28s %-12s %-22s %8s %6s %s\n", row["host"].asCString(),
                row["zone"].asCString(), row["address"].asCString(),
                row["config_version"].asString().c_str(),
                row["seats"].asString().c_str(),
                row["leaving"].asBool() ? "leaving" : "live");
  }
}

void PrintStatus(const Json::Value& status) {
  std::printf(
      "platform %s, keys valid for %s ms, seats valid for %s ms\n",
      status["platform_reachable"].asBool() ? "reachable" : "NOT reachable",
      status["keys_valid_ms"].asString().c_str(),
      status["seats_valid_ms"].asString().c_str());
  PrintMembers(status);
  PrintGroups(status["groups"]);
}

// Prints what an operation will do and asks for confirmation, unless --yes was
// given.
bool ConfirmEffect(const Options& options, const std::string& effect) {
  if (options.yes) return true;
  std::printf("This will %s. Go on? [y/N] ", effect.c_str());
  std::fflush(stdout);
  return std::getchar() == 'y';
}

Result<Json::Value> ReadConfigFile(const std::string& path) {
  const std::ifstream file(path);
  if (!file)
    return MakeError(ErrorCode::kBadRequest, path + ": cannot be read");
  std::ostringstream text;
  text << file.rdbuf();
  return tiller::ParseJson(text.str());
}

int CheckConfigFile(const Json::Value& json) {
  const auto checked = tiller::config::CheckConfig(json);
  for (const auto& problem : checked.problems) {
    std::fprintf(stderr, "%s: %s\n", problem.path.c_str(),
                 problem.detail.c_str());
  }
  return checked.problems.empty() ? settings::kExitSuccess
                                  : settings::kExitUsage;
}

int RunConfig(const Options& options,
              const std::vector<std::string>& command_arguments) {
  if (command_arguments.size() == 2 && command_arguments[1] == "show") {
    return PrintResult(options,
                       RunOperation(options, "config_show", Json::objectValue),
                       [](const Json::Value& config) {
                         std::fputs(config.toStyledString().c_str(), stdout);
                       });
  }
  if (command_arguments.size() != 3) return settings::kExitUsage;
  const auto new_config = ReadConfigFile(command_arguments[2]);
  if (!new_config) return ReportError(new_config.error());
  if (command_arguments[1] == "check")
    return CheckConfigFile(new_config.value());
  const auto code = CheckConfigFile(new_config.value());
  if (code != settings::kExitSuccess) return code;
  const auto current_config =
      RunOperation(options, "config_show", Json::objectValue);
  const auto base =
      current_config
          ? tiller::config::CheckConfig(current_config.value()).config
          : tiller::config::Config{};
  const auto changes =
      Diff(base, tiller::config::CheckConfig(new_config.value()).config);
  if (command_arguments[1] == "diff") {
    if (!current_config) return ReportError(current_config.error());
    for (const auto& change : changes) std::puts(change.c_str());
    return settings::kExitSuccess;
  }
  if (command_arguments[1] != "apply") return settings::kExitUsage;
  if (!ConfirmEffect(options, "make " + std::to_string(changes.size()) +
                                  " changes on all hosts")) {
    return settings::kExitFailure;
  }
  Json::Value arguments;
  arguments["config"] = new_config.value();
  arguments["expected_version"] = Json::UInt64(base.version);
  return PrintResult(options, RunOperation(options, "config_apply", arguments),
                     PrintVersion);
}

int RunKey(const Options& options,
           const std::vector<std::string>& command_arguments) {
  Json::Value arguments;
  if (command_arguments.size() == 4 && command_arguments[1] == "issue") {
    const auto key = "tk_" + tiller::RandomHex(kKeyBytes);
    arguments["workspace"] = command_arguments[2];
    arguments["name"] = command_arguments[3];
    arguments["sha256"] = tiller::Sha256Hex(key);
    auto result = RunOperation(options, "key_add", arguments);
    if (result) result.value()["key"] = key;
    return PrintResult(options, result, [&](const Json::Value& value) {
      PrintVersion(value);
      std::printf("key (shown once): %s\n", key.c_str());
    });
  }
  if (command_arguments.size() != 3 || command_arguments[1] != "withdraw")
    return settings::kExitUsage;
  if (!ConfirmEffect(options, "refuse all requests with key " +
                                  command_arguments[2] +
                                  " and roll back its open transactions")) {
    return settings::kExitFailure;
  }
  arguments["name"] = command_arguments[2];
  return PrintResult(options, RunOperation(options, "key_withdraw", arguments),
                     PrintVersion);
}

int RunNamedOperation(const Options& options, const std::string& verb,
                      const std::string& name, const std::string& effect) {
  if (!ConfirmEffect(options, effect)) return settings::kExitFailure;
  Json::Value arguments;
  arguments["name"] = name;
  return PrintResult(options, RunOperation(options, verb, arguments),
                     PrintVersion);
}

int RunGroup(const Options& options,
             const std::vector<std::string>& command_arguments) {
  if (command_arguments.size() == 2 && command_arguments[1] == "show") {
    return PrintResult(
        options, RunOperation(options, "status", Json::objectValue),
        [](const Json::Value& status) { PrintGroups(status["groups"]); });
  }
  if (command_arguments.size() < 3 || command_arguments.size() > 4 ||
      command_arguments[1] != "promote") {
    return settings::kExitUsage;
  }
  if (!ConfirmEffect(options, "start a new term of " + command_arguments[2] +
                                  " and interrupt its writes for a moment")) {
    return settings::kExitFailure;
  }
  Json::Value arguments;
  arguments["name"] = command_arguments[2];
  if (command_arguments.size() == 4)
    arguments["endpoint"] = command_arguments[3];
  return PrintResult(options, RunOperation(options, "promote", arguments),
                     [](const Json::Value& result) {
                       std::printf("%s is primary of %s in term %s\n",
                                   result["primary"].asCString(),
                                   result["group"].asCString(),
                                   result["term"].asString().c_str());
                     });
}

// Queries every member directly, because the status that the contacted host
// received from it may be out of date.
int RunHosts(const Options& options) {
  const auto status = RunOperation(options, "status", Json::objectValue);
  if (!status) return ReportError(status.error());
  int unreachable = 0;
  const auto print = [&](const std::string& name, const std::string& zone,
                         const Result<Json::Value>& answer) {
    if (!answer) ++unreachable;
    std::printf(
        "%-28s %-12s %s\n", name.c_str(), zone.c_str(),
        answer
            ? ("version " + answer.value()["config_version"].asString()).c_str()
            : "could not be asked");
  };
  print(status.value()["host"].asString(), status.value()["zone"].asString(),
        status);
  for (const auto& row : status.value()["members"]) {
    Options member_options = options;
    member_options.host = row["address"].asString();
    print(row["host"].asString(), row["zone"].asString(),
          RunOperation(member_options, "status", Json::objectValue));
  }
  return unreachable == 0 ? settings::kExitSuccess : settings::kExitFailure;
}

int Run(const Options& options,
        const std::vector<std::string>& command_arguments) {
  const auto& command = command_arguments[0];
  if (command == "status" && command_arguments.size() == 1) {
    return PrintResult(options,
                       RunOperation(options, "status", Json::objectValue),
                       PrintStatus);
  }
  if (command == "watch" && command_arguments.size() == 1) {
    while (true) {
      const int code = PrintResult(
          options, RunOperation(options, "status", Json::objectValue),
          PrintStatus);
      if (code != settings::kExitSuccess) return code;
      std::this_thread::sleep_for(Milliseconds(1000));
    }
  }
  if (command == "hosts" && command_arguments.size() == 1)
    return RunHosts(options);
  if (command == "config") return RunConfig(options, command_arguments);
  if (command == "key") return RunKey(options, command_arguments);
  if (command == "group") return RunGroup(options, command_arguments);
  if (command_arguments.size() != 3) return settings::kExitUsage;
  const auto& verb = command_arguments[1];
  const auto& name = command_arguments[2];
  if (command == "zone" && verb == "out") {
    return RunNamedOperation(options, "zone_out", name,
                             "send no new work to zone " + name +
                                 " and move its primaries elsewhere");
  }
  if (command == "zone" && verb == "in") {
    return RunNamedOperation(options, "zone_in", name,
                             "send work to zone " + name);
  }
  if (command == "seat" && verb == "clear") {
    if (!ConfirmEffect(options, "give up seat " + name +
                                    "; its host must be gone for good")) {
      return settings::kExitFailure;
    }
    Json::Value arguments;
    arguments["seat"] = Json::UInt64(std::strtoull(name.c_str(), nullptr, 10));
    return PrintResult(options, RunOperation(options, "seat_clear", arguments),
                       [](const Json::Value&) { std::puts("cleared"); });
  }
  if (command == "endpoint" && verb == "drain") {
    return RunNamedOperation(options, "endpoint_drain", name,
                             "send no new work to endpoint " + name);
  }
  if (command == "endpoint" && verb == "undrain") {
    return RunNamedOperation(options, "endpoint_undrain", name,
                             "send work to endpoint " + name);
  }
  return settings::kExitUsage;
}

}  // namespace

int main(int argc, const char** argv) {
  Options options;
  settings::CommandLine command_line("tillerctl", kUsage);
  command_line.Add("host", &options.host, "control address of any host");
  command_line.AddFlag("json", &options.json, "print JSON");
  command_line.AddFlag("yes", &options.yes, "do not ask for confirmation");
  const auto command_arguments = command_line.Parse(argc, argv);
  const int code = command_arguments.empty() ? settings::kExitUsage
                                             : Run(options, command_arguments);
  if (code == settings::kExitUsage) {
    std::fprintf(stderr, "usage: tillerctl %s", kUsage);
  }
  return code;
}
