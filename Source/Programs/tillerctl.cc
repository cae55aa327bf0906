// The operators' command.
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
constexpr int kMaxPolls = 300;
constexpr int kKeyBytes = 24;
constexpr char kUsage[] =
    "COMMAND [ARGUMENT...]\n"
    "  status                         this host and what it sees\n"
    "  hosts                          configuration in force on every host\n"
    "  config show                    print the configuration in force\n"
    "  config check FILE              check a configuration\n"
    "  config diff FILE               what applying FILE would change\n"
    "  config apply FILE              accept FILE as the next version\n"
    "  key issue WORKSPACE ID         make a key; prints it once\n"
    "  key withdraw ID                withdraw a key everywhere\n"
    "  zone out|in ZONE               take a zone out, or bring it back\n"
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

tiller::peer::RpcTransport TransportTo(const std::string& host) {
  return [host](const std::string& request) -> std::string {
    const auto answer = net::SendBlocking(
        host, net::MakeRequest(net::http::verb::post, "/rpc", request),
        kCallTimeout);
    return answer ? answer.value().body() : std::string();
  };
}

// Runs one command on the host and waits for its end.
Result<Json::Value> Operate(const Options& options, const std::string& verb,
                            const Json::Value& arguments) {
  const auto transport = TransportTo(options.host);
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

int Fail(const tiller::Error& error) {
  std::fprintf(stderr, "tillerctl: %s\n", error.detail.c_str());
  if (error.outcome == tiller::RunOutcome::kUnknown) {
    return settings::kExitUnknown;
  }
  return error.code == ErrorCode::kConnectFailed ? settings::kExitUnreachable
                                                 : settings::kExitFailure;
}

int Finish(const Options& options, const Result<Json::Value>& result,
           const std::function<void(const Json::Value&)>& print) {
  if (!result) return Fail(result.error());
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

// Says what an act will do, and asks unless --yes was given.
bool Confirm(const Options& options, const std::string& effect) {
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

int CheckFile(const Json::Value& json) {
  const auto checked = tiller::config::CheckConfig(json);
  for (const auto& problem : checked.problems) {
    std::fprintf(stderr, "%s: %s\n", problem.path.c_str(),
                 problem.detail.c_str());
  }
  return checked.problems.empty() ? settings::kExitSuccess
                                  : settings::kExitUsage;
}

int RunConfig(const Options& options, const std::vector<std::string>& words) {
  if (words.size() == 2 && words[1] == "show") {
    return Finish(options, Operate(options, "config_show", Json::objectValue),
                  [](const Json::Value& config) {
                    std::fputs(config.toStyledString().c_str(), stdout);
                  });
  }
  if (words.size() != 3) return settings::kExitUsage;
  const auto file = ReadConfigFile(words[2]);
  if (!file) return Fail(file.error());
  if (words[1] == "check") return CheckFile(file.value());
  const auto code = CheckFile(file.value());
  if (code != settings::kExitSuccess) return code;
  const auto current = Operate(options, "config_show", Json::objectValue);
  const auto base = current
                        ? tiller::config::CheckConfig(current.value()).config
                        : tiller::config::Config{};
  const auto changes =
      Diff(base, tiller::config::CheckConfig(file.value()).config);
  if (words[1] == "diff") {
    if (!current) return Fail(current.error());
    for (const auto& change : changes) std::puts(change.c_str());
    return settings::kExitSuccess;
  }
  if (words[1] != "apply") return settings::kExitUsage;
  if (!Confirm(options, "make " + std::to_string(changes.size()) +
                            " changes on all hosts")) {
    return settings::kExitFailure;
  }
  Json::Value arguments;
  arguments["config"] = file.value();
  arguments["expected_version"] = Json::UInt64(base.version);
  return Finish(options, Operate(options, "config_apply", arguments),
                PrintVersion);
}

int RunKey(const Options& options, const std::vector<std::string>& words) {
  Json::Value arguments;
  if (words.size() == 4 && words[1] == "issue") {
    const auto key = "tk_" + tiller::RandomHex(kKeyBytes);
    arguments["workspace"] = words[2];
    arguments["name"] = words[3];
    arguments["sha256"] = tiller::Sha256Hex(key);
    auto result = Operate(options, "key_add", arguments);
    if (result) result.value()["key"] = key;
    return Finish(options, result, [&](const Json::Value& value) {
      PrintVersion(value);
      std::printf("key (shown once): %s\n", key.c_str());
    });
  }
  if (words.size() != 3 || words[1] != "withdraw") return settings::kExitUsage;
  if (!Confirm(options, "refuse all requests with key " + words[2] +
                            " and roll back its open transactions")) {
    return settings::kExitFailure;
  }
  arguments["name"] = words[2];
  return Finish(options, Operate(options, "key_withdraw", arguments),
                PrintVersion);
}

int RunNamed(const Options& options, const std::string& verb,
             const std::string& name, const std::string& effect) {
  if (!Confirm(options, effect)) return settings::kExitFailure;
  Json::Value arguments;
  arguments["name"] = name;
  return Finish(options, Operate(options, verb, arguments), PrintVersion);
}

int RunGroup(const Options& options, const std::vector<std::string>& words) {
  if (words.size() == 2 && words[1] == "show") {
    return Finish(
        options, Operate(options, "status", Json::objectValue),
        [](const Json::Value& status) { PrintGroups(status["groups"]); });
  }
  if (words.size() < 3 || words.size() > 4 || words[1] != "promote") {
    return settings::kExitUsage;
  }
  if (!Confirm(options, "start a new term of " + words[2] +
                            " and interrupt its writes for a moment")) {
    return settings::kExitFailure;
  }
  Json::Value arguments;
  arguments["name"] = words[2];
  if (words.size() == 4) arguments["endpoint"] = words[3];
  return Finish(options, Operate(options, "promote", arguments),
                [](const Json::Value& result) {
                  std::printf("%s is primary of %s in term %s\n",
                              result["primary"].asCString(),
                              result["group"].asCString(),
                              result["term"].asString().c_str());
                });
}

// Asks every member itself: what the asked host heard of it may be old.
int RunHosts(const Options& options) {
  const auto status = Operate(options, "status", Json::objectValue);
  if (!status) return Fail(status.error());
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
    Options other = options;
    other.host = row["address"].asString();
    print(row["host"].asString(), row["zone"].asString(),
          Operate(other, "status", Json::objectValue));
  }
  return unreachable == 0 ? settings::kExitSuccess : settings::kExitFailure;
}

int Run(const Options& options, const std::vector<std::string>& words) {
  const auto& command = words[0];
  if (command == "status" && words.size() == 1) {
    return Finish(options, Operate(options, "status", Json::objectValue),
                  PrintStatus);
  }
  if (command == "watch" && words.size() == 1) {
    while (true) {
      const int code = Finish(
          options, Operate(options, "status", Json::objectValue), PrintStatus);
      if (code != settings::kExitSuccess) return code;
      std::this_thread::sleep_for(Milliseconds(1000));
    }
  }
  if (command == "hosts" && words.size() == 1) return RunHosts(options);
  if (command == "config") return RunConfig(options, words);
  if (command == "key") return RunKey(options, words);
  if (command == "group") return RunGroup(options, words);
  if (words.size() != 3) return settings::kExitUsage;
  const auto& verb = words[1];
  const auto& name = words[2];
  if (command == "zone" && verb == "out") {
    return RunNamed(options, "zone_out", name,
                    "send no new work to zone " + name +
                        " and move its primaries elsewhere");
  }
  if (command == "zone" && verb == "in") {
    return RunNamed(options, "zone_in", name, "send work to zone " + name);
  }
  if (command == "seat" && verb == "clear") {
    if (!Confirm(options,
                 "give up seat " + name + "; its host must be gone for good")) {
      return settings::kExitFailure;
    }
    Json::Value arguments;
    arguments["seat"] = Json::UInt64(std::strtoull(name.c_str(), nullptr, 10));
    return Finish(options, Operate(options, "seat_clear", arguments),
                  [](const Json::Value&) { std::puts("cleared"); });
  }
  if (command == "endpoint" && verb == "drain") {
    return RunNamed(options, "endpoint_drain", name,
                    "send no new work to endpoint " + name);
  }
  if (command == "endpoint" && verb == "undrain") {
    return RunNamed(options, "endpoint_undrain", name,
                    "send work to endpoint " + name);
  }
  return settings::kExitUsage;
}

}  // namespace

int main(int argc, const char** argv) {
  Options options;
  settings::CommandLine line("tillerctl", kUsage);
  line.Add("host", &options.host, "control address of any host");
  line.AddFlag("json", &options.json, "print JSON");
  line.AddFlag("yes", &options.yes, "do not ask before acting");
  const auto words = line.Parse(argc, argv);
  const int code = words.empty() ? settings::kExitUsage : Run(options, words);
  if (code == settings::kExitUsage) {
    std::fprintf(stderr, "usage: tillerctl %s", kUsage);
  }
  return code;
}
