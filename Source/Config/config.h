// Configuration of services, workspaces, keys, databases, rates and zones: data
// types, checks and canonical JSON form.
#pragma once

#include <json/json.h>

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Common/error.h"
#include "Common/types.h"

namespace tiller::config {

using ConfigVersion = std::uint64_t;

struct Zone {
  ZoneId name;
  std::string region;
  bool out_of_service = false;  // by an operator
};

struct Endpoint {
  EndpointId name;
  ZoneId zone;
  std::string address;  // numeric "address:port"
  bool draining = false;
};

struct Group {
  GroupId name;
  int slots = 0;        // concurrent statements per endpoint
  int connections = 0;  // per endpoint, total of all hosts
  std::vector<Endpoint> endpoints;
};

struct Workspace {
  WorkspaceId name;
  std::string service;
  GroupId group;
  double rate = 0;   // requests per second, total of all hosts
  double burst = 0;  // requests, total of all hosts
  int weight = 1;    // relative share of the slots when requests queue for them
};

struct Key {
  std::string id;
  WorkspaceId workspace;
  std::string sha256;  // of the key's text, hexadecimal
  bool withdrawn = false;
};

// A predefined read statement that callers may run without a key.
struct OpenRoute {
  std::string name;
  WorkspaceId workspace;
  std::string statement;
  Milliseconds max_staleness{0};
};

// The right of one host to one share of every fleet-wide limit.
struct Seat {
  ZoneId zone;
};

struct Config {
  ConfigVersion version = 0;
  std::string service;
  std::string session_secret;
  std::vector<Zone> zones;
  std::vector<Seat> seats;
  std::vector<Group> groups;
  std::vector<Workspace> workspaces;
  std::vector<Key> keys;
  std::vector<OpenRoute> open_routes;

  const Group* FindGroup(std::string_view name) const;
  const Workspace* FindWorkspace(std::string_view name) const;
  const Key* FindKeyByHash(std::string_view sha256) const;
  const Zone* FindZone(std::string_view name) const;
  const OpenRoute* FindOpenRoute(std::string_view name) const;

  // Lookup tables, built by CheckConfig().
  std::unordered_map<std::string, std::size_t> group_index;
  std::unordered_map<std::string, std::size_t> workspace_index;
  std::unordered_map<std::string, std::size_t> key_index;
};
using ConfigPtr = std::shared_ptr<const Config>;

// A problem in a configuration, at a path such as "groups[1].slots".
struct Problem {
  std::string path;
  std::string detail;
};

struct CheckedConfig {
  Config config;
  std::vector<Problem> problems;  // empty if the configuration is valid
};

// Parses and checks a complete configuration. Returns all problems, not only
// the first one.
CheckedConfig CheckConfig(const Json::Value& json);
Json::Value ToJson(const Config& config);
// Returns all problems as one line of text.
std::string Describe(const std::vector<Problem>& problems);

// Returns the differences between two configurations, one line each. Keys are
// identified by their id; hashes and the session secret are not shown.
std::vector<std::string> Diff(const Config& before, const Config& after);

}  // namespace tiller::config
