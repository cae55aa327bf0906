// Implementation of the configuration generator.
#include "Config/questionnaire.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <set>
#include <sstream>
#include <utility>

#include "Common/crypto.h"

namespace tiller::config {
namespace {

constexpr int kKeyBytes = 24;
constexpr int kSecretBytes = 32;

// Reads one map of the questionnaire and collects the problems found.
class AnswerReader {
 public:
  AnswerReader(const YAML::Node& node, std::vector<Problem>* problems)
      : m_node(node), m_problems(problems) {}

  // Reports all answers whose key is not in `keys`.
  void AllowOnly(std::initializer_list<const char*> keys) {
    if (!m_node.IsMap()) return Report(m_node, "", "must be a map");
    const std::set<std::string> allowed(keys.begin(), keys.end());
    for (const auto& item : m_node) {
      const auto key = item.first.Scalar();
      if (allowed.count(key) == 0) Report(item.first, key, "unknown answer");
    }
  }
  std::string Text(const char* key) {
    const auto value = Get(key);
    if (value.IsScalar() && !value.Scalar().empty()) return value.Scalar();
    Report(m_node, key, "is required");
    return {};
  }
  double Number(const char* key, double fallback, bool required) {
    const auto value = Get(key);
    if (value.IsNull() && !required) return fallback;
    double out = 0;
    std::istringstream text(value.IsScalar() ? value.Scalar() : "");
    if (text >> out && text.eof() && out >= 0) return out;
    Report(m_node, key, "must be a number of at least 0");
    return fallback;
  }
  std::vector<YAML::Node> List(const char* key, bool required) {
    std::vector<YAML::Node> out;
    const auto value = Get(key);
    if (value.IsSequence()) {
      for (const auto& item : value) out.push_back(item);
    }
    if (out.empty() && required) Report(m_node, key, "must be a list");
    return out;
  }

 private:
  // Returns a null node if the answer is missing.
  YAML::Node Get(const char* key) const {
    if (!m_node.IsMap() || !m_node[key].IsDefined()) return YAML::Node();
    return m_node[key];
  }
  void Report(const YAML::Node& at, const std::string& key,
              std::string detail) {
    m_problems->push_back(
        {"line " + std::to_string(at.Mark().line + 1) + ": " + key,
         std::move(detail)});
  }
  const YAML::Node m_node;
  std::vector<Problem>* const m_problems;
};

void ReadZones(AnswerReader* root, GeneratedConfig* out) {
  const auto hosts = static_cast<int>(root->Number("hosts_per_zone", 3, true));
  for (const auto& node : root->List("zones", true)) {
    AnswerReader reader(node, &out->problems);
    reader.AllowOnly({"name", "region"});
    const auto name = reader.Text("name");
    out->config.zones.push_back({name, reader.Text("region"), false});
    for (int i = 0; i < hosts; ++i) out->config.seats.push_back({name});
  }
  out->explanation.push_back(
      "seats: one for each entry host, " +
      std::to_string(out->config.seats.size()) +
      " in all; each carries one share of every fleet-wide limit");
}

// The questionnaire calls a group of endpoints a database.
void ReadDatabases(AnswerReader* root, GeneratedConfig* out) {
  for (const auto& node : root->List("databases", true)) {
    AnswerReader reader(node, &out->problems);
    reader.AllowOnly({"name", "slots", "connections", "endpoints"});
    Group group;
    group.name = reader.Text("name");
    group.slots = static_cast<int>(reader.Number("slots", 1, true));
    group.connections = static_cast<int>(reader.Number("connections", 1, true));
    int index = 0;
    for (const auto& item : reader.List("endpoints", true)) {
      AnswerReader endpoint(item, &out->problems);
      endpoint.AllowOnly({"zone", "address"});
      group.endpoints.push_back({group.name + "-" + std::to_string(++index),
                                 endpoint.Text("zone"),
                                 endpoint.Text("address"), false});
    }
    out->explanation.push_back(
        "database " + group.name + ": " +
        std::to_string(group.endpoints.size()) + " endpoints, each with " +
        std::to_string(group.slots) + " slots and " +
        std::to_string(group.connections) +
        " connections over all hosts; a majority must hold each write");
    out->config.groups.push_back(std::move(group));
  }
}

void ReadWorkspaces(AnswerReader* root, GeneratedConfig* out,
                    std::string (*random_hex)(int)) {
  for (const auto& node : root->List("workspaces", true)) {
    AnswerReader reader(node, &out->problems);
    reader.AllowOnly({"name", "database", "rate", "burst", "weight"});
    Workspace workspace;
    workspace.name = reader.Text("name");
    workspace.service = out->config.service;
    workspace.group = reader.Text("database");
    workspace.rate = reader.Number("rate", 0, true);
    // By default, the burst is one second of the rate.
    workspace.burst =
        reader.Number("burst", std::max(1.0, std::ceil(workspace.rate)), false);
    workspace.weight = static_cast<int>(reader.Number("weight", 1, false));
    std::ostringstream line;
    line << "workspace " << workspace.name << ": " << workspace.rate
         << " requests a second and bursts of " << workspace.burst
         << " over all hosts together, weight " << workspace.weight;
    out->explanation.push_back(line.str());
    IssuedKey key{workspace.name + "-1", workspace.name,
                  "tk_" + random_hex(kKeyBytes)};
    out->config.keys.push_back(
        {key.id, key.workspace, Sha256Hex(key.text), false});
    out->keys.push_back(std::move(key));
    out->config.workspaces.push_back(std::move(workspace));
  }
}

void ReadOpenRoutes(AnswerReader* root, GeneratedConfig* out) {
  for (const auto& node : root->List("open_routes", false)) {
    AnswerReader reader(node, &out->problems);
    reader.AllowOnly({"name", "workspace", "statement", "max_staleness_ms"});
    out->config.open_routes.push_back(
        {reader.Text("name"), reader.Text("workspace"),
         reader.Text("statement"),
         Milliseconds(static_cast<std::int64_t>(
             reader.Number("max_staleness_ms", 2000, false)))});
  }
}

}  // namespace

GeneratedConfig GenerateConfig(const std::string& yaml,
                               std::string (*random_hex)(int bytes)) {
  GeneratedConfig out;
  YAML::Node document;
  // yaml-cpp reports syntax errors by exceptions only.
  try {
    document = YAML::Load(yaml);
  } catch (const YAML::Exception& failure) {
    out.problems.push_back(
        {"line " + std::to_string(failure.mark.line + 1), failure.msg});
    return out;
  }
  AnswerReader root(document, &out.problems);
  root.AllowOnly({"service", "zones", "hosts_per_zone", "databases",
                  "workspaces", "open_routes"});
  out.config.service = root.Text("service");
  out.config.session_secret = random_hex(kSecretBytes);
  ReadZones(&root, &out);
  ReadDatabases(&root, &out);
  ReadWorkspaces(&root, &out, random_hex);
  ReadOpenRoutes(&root, &out);
  if (!out.problems.empty()) return out;
  auto checked = CheckConfig(ToJson(out.config));
  out.problems = std::move(checked.problems);
  out.config = std::move(checked.config);
  return out;
}

}  // namespace tiller::config
