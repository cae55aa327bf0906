// Implementation of parsing, checking and comparing configurations.
#include "Config/config.h"

#include <algorithm>
#include <initializer_list>
#include <set>
#include <sstream>
#include <utility>

#include "Common/json.h"

namespace tiller::config {
namespace {

constexpr std::size_t kMaxNameLength = 63;
constexpr std::size_t kSha256HexLength = 64;
constexpr std::size_t kMinSecretLength = 32;
constexpr std::size_t kMinGroupSize = 3;
constexpr double kMaxRate = 1e7;

bool IsName(const std::string& text) {
  if (text.empty() || text.size() > kMaxNameLength) return false;
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_';
  });
}

// Reads the members of one JSON object and collects the problems found.
class ObjectReader {
 public:
  ObjectReader(const Json::Value& json, std::string path,
               std::vector<Problem>* problems)
      : m_json(json), m_path(std::move(path)), m_problems(problems) {
    if (!m_json.isObject()) Report("", "must be an object");
  }

  // Reports all members that are not in `members`.
  void AllowOnly(std::initializer_list<const char*> members) {
    if (!m_json.isObject()) return;
    const std::set<std::string> allowed(members.begin(), members.end());
    for (const auto& member : m_json.getMemberNames()) {
      if (allowed.count(member) == 0) Report(member, "unknown member");
    }
  }
  std::string Name(const char* member) {
    auto text = Text(member);
    if (!text.empty() && !IsName(text)) {
      Report(member, "must be 1 to 63 letters, digits, '-' or '_'");
    }
    return text;
  }
  std::string Text(const char* member) {
    const auto value = Get(member);
    if (!value.isString() || value.asString().empty()) {
      Report(member, "must be a non-empty string");
      return {};
    }
    return value.asString();
  }
  double Number(const char* member, double low, double high) {
    const auto value = Get(member);
    if (!value.isNumeric() || value.asDouble() < low ||
        value.asDouble() > high) {
      std::ostringstream range;
      range << "must be a number from " << low << " to " << high;
      Report(member, range.str());
      return low;
    }
    return value.asDouble();
  }
  int Integer(const char* member, int low, int high) {
    const double value = Number(member, low, high);
    if (value != static_cast<int>(value)) Report(member, "must be whole");
    return static_cast<int>(value);
  }
  bool Flag(const char* member) {
    const auto value = Get(member);
    if (value.isNull()) return false;
    if (!value.isBool()) Report(member, "must be true or false");
    return value.isBool() && value.asBool();
  }
  const Json::Value& Array(const char* member) {
    static const Json::Value empty(Json::arrayValue);
    if (!m_json.isObject() || !m_json[member].isArray()) {
      Report(member, "must be an array");
      return empty;
    }
    return m_json[member];
  }
  bool Has(const char* member) const {
    return m_json.isObject() && m_json.isMember(member);
  }
  void Report(const std::string& member, std::string detail) {
    const auto dot = m_path.empty() || member.empty() ? "" : ".";
    m_problems->push_back({m_path + dot + member, std::move(detail)});
  }

 private:
  Json::Value Get(const char* member) const {
    return m_json.isObject() ? m_json[member] : Json::Value();
  }
  const Json::Value& m_json;
  const std::string m_path;
  std::vector<Problem>* const m_problems;
};

std::string ElementPath(const char* list, Json::ArrayIndex index) {
  return std::string(list) + "[" + std::to_string(index) + "]";
}

template <typename Item, typename Read>
std::vector<Item> ReadList(ObjectReader* parent, const char* list,
                           const std::string& prefix,
                           std::vector<Problem>* problems, Read read) {
  std::vector<Item> out;
  const auto& array = parent->Array(list);
  for (Json::ArrayIndex i = 0; i < array.size(); ++i) {
    ObjectReader reader(array[i], prefix + ElementPath(list, i), problems);
    out.push_back(read(&reader, prefix + ElementPath(list, i)));
  }
  return out;
}

Zone ReadZone(ObjectReader* reader) {
  reader->AllowOnly({"name", "region", "out"});
  return {reader->Name("name"), reader->Name("region"), reader->Flag("out")};
}

Endpoint ReadEndpoint(ObjectReader* reader) {
  reader->AllowOnly({"name", "zone", "address", "draining"});
  Endpoint out{reader->Name("name"), reader->Name("zone"),
               reader->Text("address"), reader->Flag("draining")};
  if (!out.address.empty() && out.address.find(':') == std::string::npos) {
    reader->Report("address", "must be \"address:port\"");
  }
  return out;
}

Workspace ReadWorkspace(ObjectReader* reader) {
  reader->AllowOnly({"name", "service", "group", "rate", "burst", "weight"});
  return {reader->Name("name"),
          reader->Name("service"),
          reader->Name("group"),
          reader->Number("rate", 0, kMaxRate),
          reader->Number("burst", 1, kMaxRate),
          reader->Integer("weight", 1, 1000)};
}

Key ReadKey(ObjectReader* reader) {
  reader->AllowOnly({"id", "workspace", "sha256", "withdrawn"});
  Key out{reader->Name("id"), reader->Name("workspace"), reader->Text("sha256"),
          reader->Flag("withdrawn")};
  const bool is_sha256 =
      out.sha256.size() == kSha256HexLength &&
      out.sha256.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (!is_sha256) reader->Report("sha256", "must be 64 hexadecimal digits");
  return out;
}

OpenRoute ReadOpenRoute(ObjectReader* reader) {
  reader->AllowOnly({"name", "workspace", "statement", "max_staleness_ms"});
  return {reader->Name("name"), reader->Name("workspace"),
          reader->Text("statement"),
          Milliseconds(reader->Integer("max_staleness_ms", 0, 86'400'000))};
}

// Returns the names of `items` and reports those that occur more than once.
template <typename Item, typename NameOf>
std::set<std::string> CollectUniqueNames(const std::vector<Item>& items,
                                         const char* list, NameOf name_of,
                                         std::vector<Problem>* problems) {
  std::set<std::string> names;
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (names.insert(name_of(items[i])).second) continue;
    problems->push_back({ElementPath(list, static_cast<Json::ArrayIndex>(i)),
                         "duplicate " + name_of(items[i])});
  }
  return names;
}

void CheckReferences(const Config& config, std::vector<Problem>* problems) {
  const auto by_name = [](const auto& item) { return item.name; };
  const auto zones =
      CollectUniqueNames(config.zones, "zones", by_name, problems);
  const auto groups =
      CollectUniqueNames(config.groups, "groups", by_name, problems);
  const auto workspaces =
      CollectUniqueNames(config.workspaces, "workspaces", by_name, problems);
  CollectUniqueNames(config.open_routes, "open_routes", by_name, problems);
  CollectUniqueNames(
      config.keys, "keys", [](const auto& key) { return key.id; }, problems);
  CollectUniqueNames(
      config.keys, "keys", [](const auto& key) { return key.sha256; },
      problems);
  const auto check_exists = [&](const std::set<std::string>& names,
                                const std::string& name,
                                const std::string& path) {
    if (names.count(name) > 0) return;
    problems->push_back({path, "names nothing that exists: " + name});
  };
  Json::ArrayIndex i = 0;
  for (const auto& seat : config.seats) {
    check_exists(zones, seat.zone, ElementPath("seats", i++) + ".zone");
  }
  i = 0;
  std::set<std::string> endpoint_names;
  std::set<std::string> endpoint_addresses;
  for (const auto& group : config.groups) {
    const auto path = ElementPath("groups", i++);
    if (group.endpoints.size() < kMinGroupSize) {
      problems->push_back(
          {path + ".endpoints", "a majority needs at least 3 endpoints"});
    }
    for (const auto& endpoint : group.endpoints) {
      check_exists(zones, endpoint.zone, path + ".endpoints.zone");
      if (!endpoint_names.insert(endpoint.name).second ||
          !endpoint_addresses.insert(endpoint.address).second) {
        problems->push_back(
            {path + ".endpoints", "duplicate endpoint " + endpoint.name});
      }
    }
  }
  i = 0;
  for (const auto& workspace : config.workspaces) {
    check_exists(groups, workspace.group,
                 ElementPath("workspaces", i++) + ".group");
  }
  i = 0;
  for (const auto& key : config.keys) {
    check_exists(workspaces, key.workspace,
                 ElementPath("keys", i++) + ".workspace");
  }
  i = 0;
  for (const auto& route : config.open_routes) {
    check_exists(workspaces, route.workspace,
                 ElementPath("open_routes", i++) + ".workspace");
  }
}

void BuildIndex(Config* config) {
  for (std::size_t i = 0; i < config->groups.size(); ++i) {
    config->group_index.emplace(config->groups[i].name, i);
  }
  for (std::size_t i = 0; i < config->workspaces.size(); ++i) {
    config->workspace_index.emplace(config->workspaces[i].name, i);
  }
  for (std::size_t i = 0; i < config->keys.size(); ++i) {
    config->key_index.emplace(config->keys[i].sha256, i);
  }
}

template <typename Items, typename ToLine>
void DiffList(const Items& before, const Items& after, const std::string& kind,
              ToLine to_line, std::vector<std::string>* out) {
  std::set<std::string> old_lines;
  std::set<std::string> new_lines;
  for (const auto& item : before) old_lines.insert(to_line(item));
  for (const auto& item : after) new_lines.insert(to_line(item));
  for (const auto& line : old_lines) {
    if (new_lines.count(line) == 0) out->push_back("- " + kind + " " + line);
  }
  for (const auto& line : new_lines) {
    if (old_lines.count(line) == 0) out->push_back("+ " + kind + " " + line);
  }
}

Json::Value ToJson(const Endpoint& endpoint) {
  Json::Value out;
  out["name"] = endpoint.name;
  out["zone"] = endpoint.zone;
  out["address"] = endpoint.address;
  out["draining"] = endpoint.draining;
  return out;
}

Json::Value ToJson(const Group& group) {
  Json::Value out;
  out["name"] = group.name;
  out["slots"] = group.slots;
  out["connections"] = group.connections;
  out["endpoints"] = Json::Value(Json::arrayValue);
  for (const auto& endpoint : group.endpoints) {
    out["endpoints"].append(ToJson(endpoint));
  }
  return out;
}

Json::Value ToJson(const Workspace& workspace) {
  Json::Value out;
  out["name"] = workspace.name;
  out["service"] = workspace.service;
  out["group"] = workspace.group;
  out["rate"] = workspace.rate;
  out["burst"] = workspace.burst;
  out["weight"] = workspace.weight;
  return out;
}

Json::Value ToJson(const Key& key) {
  Json::Value out;
  out["id"] = key.id;
  out["workspace"] = key.workspace;
  out["sha256"] = key.sha256;
  out["withdrawn"] = key.withdrawn;
  return out;
}

Json::Value ToJson(const Zone& zone) {
  Json::Value out;
  out["name"] = zone.name;
  out["region"] = zone.region;
  out["out"] = zone.out_of_service;
  return out;
}

Json::Value ToJson(const OpenRoute& route) {
  Json::Value out;
  out["name"] = route.name;
  out["workspace"] = route.workspace;
  out["statement"] = route.statement;
  out["max_staleness_ms"] = Json::Int64(route.max_staleness.count());
  return out;
}

Json::Value ToJson(const Seat& seat) {
  Json::Value out;
  out["zone"] = seat.zone;
  return out;
}

template <typename Items>
Json::Value ListToJson(const Items& items) {
  Json::Value out(Json::arrayValue);
  for (const auto& item : items) out.append(ToJson(item));
  return out;
}

template <typename Index, typename Items>
auto* Find(const Index& index, const Items& items, std::string_view name) {
  const auto it = index.find(std::string(name));
  return it == index.end() ? nullptr : &items[it->second];
}

template <typename Items>
auto* FindByName(const Items& items, std::string_view name) {
  const auto it = std::find_if(items.begin(), items.end(),
                               [&](const auto& i) { return i.name == name; });
  return it == items.end() ? nullptr : &*it;
}

}  // namespace

const Group* Config::FindGroup(std::string_view name) const {
  return Find(group_index, groups, name);
}
const Workspace* Config::FindWorkspace(std::string_view name) const {
  return Find(workspace_index, workspaces, name);
}
const Key* Config::FindKeyByHash(std::string_view sha256) const {
  return Find(key_index, keys, sha256);
}
const Zone* Config::FindZone(std::string_view name) const {
  return FindByName(zones, name);
}
const OpenRoute* Config::FindOpenRoute(std::string_view name) const {
  return FindByName(open_routes, name);
}

CheckedConfig CheckConfig(const Json::Value& json) {
  CheckedConfig out;
  auto& config = out.config;
  auto* problems = &out.problems;
  ObjectReader root(json, "", problems);
  if (!json.isObject()) return out;
  root.AllowOnly({"version", "service", "session_secret", "zones", "seats",
                  "groups", "workspaces", "keys", "open_routes"});
  config.version = UintOr(json, "version");
  config.service = root.Name("service");
  config.session_secret = root.Text("session_secret");
  if (config.session_secret.size() < kMinSecretLength) {
    root.Report("session_secret", "must have at least 32 characters");
  }
  config.zones = ReadList<Zone>(&root, "zones", "", problems,
                                [](ObjectReader* reader, const std::string&) {
                                  return ReadZone(reader);
                                });
  config.seats = ReadList<Seat>(&root, "seats", "", problems,
                                [](ObjectReader* reader, const std::string&) {
                                  reader->AllowOnly({"zone"});
                                  return Seat{reader->Name("zone")};
                                });
  if (config.seats.empty()) root.Report("seats", "at least one seat");
  config.groups = ReadList<Group>(
      &root, "groups", "", problems,
      [&](ObjectReader* reader, const std::string& path) {
        reader->AllowOnly({"name", "slots", "connections", "endpoints"});
        Group group{reader->Name("name"),
                    reader->Integer("slots", 1, 10'000),
                    reader->Integer("connections", 1, 100'000),
                    {}};
        group.endpoints =
            ReadList<Endpoint>(reader, "endpoints", path + ".", problems,
                               [](ObjectReader* item, const std::string&) {
                                 return ReadEndpoint(item);
                               });
        return group;
      });
  config.workspaces =
      ReadList<Workspace>(&root, "workspaces", "", problems,
                          [](ObjectReader* reader, const std::string&) {
                            return ReadWorkspace(reader);
                          });
  config.keys = ReadList<Key>(
      &root, "keys", "", problems,
      [](ObjectReader* reader, const std::string&) { return ReadKey(reader); });
  if (root.Has("open_routes")) {
    config.open_routes =
        ReadList<OpenRoute>(&root, "open_routes", "", problems,
                            [](ObjectReader* reader, const std::string&) {
                              return ReadOpenRoute(reader);
                            });
  }
  CheckReferences(config, problems);
  BuildIndex(&config);
  return out;
}

Json::Value ToJson(const Config& config) {
  Json::Value out;
  out["version"] = Json::UInt64(config.version);
  out["service"] = config.service;
  out["session_secret"] = config.session_secret;
  out["zones"] = ListToJson(config.zones);
  out["seats"] = ListToJson(config.seats);
  out["groups"] = ListToJson(config.groups);
  out["workspaces"] = ListToJson(config.workspaces);
  out["keys"] = ListToJson(config.keys);
  out["open_routes"] = ListToJson(config.open_routes);
  return out;
}

std::string Describe(const std::vector<Problem>& problems) {
  std::string out;
  for (const auto& problem : problems) {
    if (!out.empty()) out += "; ";
    out += problem.path + ": " + problem.detail;
  }
  return out;
}

std::vector<std::string> Diff(const Config& before, const Config& after) {
  std::vector<std::string> out;
  const auto to_text = [](const auto& item) { return ToText(ToJson(item)); };
  DiffList(before.zones, after.zones, "zone", to_text, &out);
  DiffList(before.groups, after.groups, "group", to_text, &out);
  DiffList(before.workspaces, after.workspaces, "workspace", to_text, &out);
  DiffList(before.open_routes, after.open_routes, "open_route", to_text, &out);
  DiffList(
      before.keys, after.keys, "key",
      [](const Key& key) {
        return key.id + " of " + key.workspace +
               (key.withdrawn ? " withdrawn" : "");
      },
      &out);
  if (before.seats.size() != after.seats.size()) {
    out.push_back("~ seats " + std::to_string(before.seats.size()) + " -> " +
                  std::to_string(after.seats.size()));
  }
  if (before.session_secret != after.session_secret) {
    out.emplace_back("~ session_secret replaced");
  }
  return out;
}

}  // namespace tiller::config
