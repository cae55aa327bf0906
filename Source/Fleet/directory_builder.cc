// Implementation of the directory builder.
#include "Fleet/directory_builder.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "Common/log.h"

namespace tiller::fleet {
namespace {

// Rows that expired during a store outage are written again within about two
// seconds after the store is back. A row that is missing for longer is treated
// as removed.
constexpr Milliseconds kMissingRowGracePeriod{2200};

}  // namespace

void DirectoryBuilder::UpdateOperator(const std::map<std::string, Row>& rows) {
  m_zones_out_of_service.clear();
  for (const auto& [key, row] : rows) {
    if (const auto zone = m_codec->ZoneOutOfService(key))
      m_zones_out_of_service.insert(*zone);
  }
  const auto it = rows.find(m_codec->ConfigKey());
  if (it == rows.end() || it->second.version <= m_config_version) return;
  auto decoded = m_codec->DecodeConfig(it->second.value);
  if (!decoded) {
    log::Event(log::Channel::kConfig, log::Level::kError, "config_unreadable",
               {{"row_version", TextOf(it->second.version)},
                {"detail", decoded.error().detail}});
    return;
  }
  m_config_version = it->second.version;
  // The version of the configuration never decreases.
  if (m_config && decoded.value().version < m_config->version) return;
  m_config = std::move(decoded.value());
  log::Event(log::Channel::kConfig, log::Level::kInfo, "config_adopted",
             {{"version", std::to_string(m_config->version)},
              {"row_version", TextOf(m_config_version)},
              {"routes", std::to_string(m_config->routes.size())},
              {"keys", std::to_string(m_config->keys.size())}});
}

void DirectoryBuilder::UpdateEndpoints(const std::map<std::string, Row>& rows) {
  for (auto& [id, entry] : m_entries) {
    if (rows.count(id) > 0 || entry.missing_since) continue;
    entry.missing_since = m_clock->Now();
    log::Event(log::Channel::kEndpoint, log::Level::kInfo, "endpoint_missing",
               {{"endpoint", id}, {"address", entry.endpoint.address}});
  }
  for (const auto& [id, row] : rows) {
    const auto existing = m_entries.find(id);
    if (existing != m_entries.end() &&
        existing->second.version == row.version) {
      existing->second.missing_since.reset();
      continue;
    }
    auto decoded = m_codec->DecodeEndpoint(id, row.value);
    if (!decoded) {
      if (std::exchange(m_unreadable_versions[id], row.version) !=
          row.version) {
        log::Event(log::Channel::kEndpoint, log::Level::kWarn,
                   "endpoint_unreadable",
                   {{"endpoint", id}, {"detail", decoded.error().detail}});
      }
      // An unreadable row does not describe a usable endpoint.
      m_entries.erase(id);
      continue;
    }
    auto& entry = m_entries[id];
    const bool restarted =
        entry.endpoint.process_start_ms != decoded.value().process_start_ms;
    const bool is_primary = decoded.value().primary;
    if (!is_primary) {
      entry.primary_since = {};
    } else if (entry.primary_since == RowVersion{} || restarted) {
      entry.primary_since = row.version;
    }
    entry.endpoint = std::move(decoded.value());
    entry.version = row.version;
    entry.missing_since.reset();
    entry.not_primary = false;
    log::Event(log::Channel::kEndpoint, log::Level::kInfo, "endpoint_reported",
               {{"endpoint", id},
                {"group", entry.endpoint.group},
                {"primary", is_primary ? "yes" : "no"},
                {"leaving", entry.endpoint.leaving ? "yes" : "no"},
                {"version", TextOf(row.version)}});
  }
  // An address may have been reused by a newer endpoint. The older entry is
  // removed if its row is missing.
  std::map<std::string, RowVersion> newest_by_address;
  for (const auto& [id, entry] : m_entries) {
    auto& version = newest_by_address[entry.endpoint.address];
    version = std::max(version, entry.version);
  }
  std::erase_if(m_entries, [&](const auto& item) {
    return item.second.missing_since &&
           newest_by_address[item.second.endpoint.address] !=
               item.second.version;
  });
}

bool DirectoryBuilder::ExpireMissing() {
  const auto now = m_clock->Now();
  return std::erase_if(m_entries, [&](const auto& item) {
           return item.second.missing_since &&
                  now - *item.second.missing_since >= kMissingRowGracePeriod;
         }) > 0;
}

void DirectoryBuilder::MarkNotPrimary(const EndpointId& endpoint) {
  const auto it = m_entries.find(endpoint);
  if (it == m_entries.end()) return;
  it->second.not_primary = true;
  // What it disproved while it was the primary may hold now.
  for (auto& [id, entry] : m_entries) {
    if (entry.endpoint.group != it->second.endpoint.group) continue;
    entry.disproved_since = {};
  }
}

void DirectoryBuilder::SetExpectedPrimary(const GroupId& group,
                                          const EndpointId& endpoint) {
  for (auto& [id, entry] : m_entries) {
    if (entry.endpoint.group != group) continue;
    entry.not_primary = id != endpoint;
  }
}

void DirectoryBuilder::ConfirmPrimary(const GroupId& group,
                                      const EndpointId& endpoint) {
  for (auto& [id, entry] : m_entries) {
    if (entry.endpoint.group != group) continue;
    entry.not_primary = id != endpoint;
    if (id == endpoint) {
      entry.confirmed_version = entry.version;
      entry.disproved_since = {};
    } else {
      entry.disproved_since = entry.primary_since;
    }
  }
}

RowVersion DirectoryBuilder::PrimarySince(const Entry& entry) {
  if (entry.primary_since != RowVersion{}) {
    return entry.primary_since == entry.disproved_since ? RowVersion{}
                                                        : entry.primary_since;
  }
  return entry.confirmed_version == entry.version ? entry.version
                                                  : RowVersion{};
}

EndpointId DirectoryBuilder::ChoosePrimary(const GroupId& group) const {
  const Entry* best = nullptr;
  for (const auto& [id, entry] : m_entries) {
    if (entry.endpoint.group != group || PrimarySince(entry) == RowVersion{}) {
      continue;
    }
    if (entry.not_primary) continue;
    if (best == nullptr || PrimarySince(entry) > PrimarySince(*best)) {
      best = &entry;
    }
  }
  return best == nullptr ? EndpointId() : best->endpoint.id;
}

relay::DirectoryPtr DirectoryBuilder::Build() {
  auto out = std::make_shared<relay::Directory>();
  out->version = m_config->version;
  for (const auto& route : m_config->routes) {
    out->routes[route.database] = route;
  }
  for (const auto& [key, workspace] : m_config->keys) {
    out->keys[key] = workspace;
  }
  for (const auto& workspace : m_config->workspaces) {
    out->workspaces[workspace.name] = workspace;
  }
  for (const auto& group : m_config->groups) {
    auto& copy = out->groups[group.name];
    copy = group;
    copy.primary = ChoosePrimary(group.name);
  }
  for (const auto& [id, entry] : m_entries) {
    const bool says_primary = entry.primary_since != RowVersion{};
    if (says_primary && PrimarySince(entry) == RowVersion{}) {
      continue;
    }
    auto& copy = out->endpoints[id];
    copy = entry.endpoint;
    copy.leaving |= m_zones_out_of_service.count(copy.zone) > 0;
    const auto group = out->groups.find(copy.group);
    copy.primary = group != out->groups.end() && group->second.primary == id;
    if (says_primary && !copy.primary && group != out->groups.end()) {
      group->second.other_primaries.push_back(id);
    }
  }
  out->transaction_idle = m_config->transaction_idle;
  return out;
}

}  // namespace tiller::fleet
