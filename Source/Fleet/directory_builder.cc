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
// Time in which the operator writes again what a restored store has lost.
constexpr Milliseconds kOperatorRewriteTime{30'000};
// Longer than the age of a copy from which the store is restored.
constexpr Milliseconds kDepartedMemory{120'000};

}  // namespace

void DirectoryBuilder::UpdateZones(const std::map<std::string, Row>& rows) {
  std::set<ZoneId> named;
  StoreEra era = 0;
  for (const auto& [key, row] : rows) {
    era = std::max(era, row.version.era);
    if (const auto zone = m_codec->ZoneOutOfService(key)) named.insert(*zone);
  }
  if (m_operator_era > 0 && era > m_operator_era) {
    for (const auto& zone : m_zones_out_of_service) {
      m_zones_kept.emplace(zone, m_clock->Now() + kOperatorRewriteTime);
    }
  }
  m_operator_era = std::max(m_operator_era, era);
  for (const auto& zone : named) m_zones_kept.erase(zone);
  for (const auto& [zone, until] : m_zones_kept) named.insert(zone);
  m_zones_out_of_service = std::move(named);
}

void DirectoryBuilder::UpdateOperator(const std::map<std::string, Row>& rows) {
  UpdateZones(rows);
  const auto it = rows.find(m_codec->ConfigKey());
  if (it == rows.end() || it->second.version <= m_config_version) return;
  m_config_version = it->second.version;
  AdoptConfig(it->second);
}

bool DirectoryBuilder::AdoptConfig(const Row& row) {
  if (row.key != m_codec->ConfigKey()) return false;
  auto decoded = m_codec->DecodeConfig(row.value);
  if (!decoded) {
    log::Event(log::Channel::kConfig, log::Level::kError, "config_unreadable",
               {{"row_version", TextOf(row.version)},
                {"detail", decoded.error().detail}});
    return false;
  }
  // The version of the configuration never decreases.
  const bool outdated = m_config && decoded.value().version < m_config->version;
  log::Event(log::Channel::kConfig, log::Level::kInfo,
             outdated ? "config_outdated" : "config_adopted",
             {{"version", std::to_string(decoded.value().version)},
              {"in_force", std::to_string(ConfigVersion())},
              {"row_version", TextOf(row.version)},
              {"routes", std::to_string(decoded.value().routes.size())},
              {"keys", std::to_string(decoded.value().keys.size())}});
  if (outdated) return false;
  for (const auto& entry : decoded.value().unusable_entries) {
    log::Event(log::Channel::kConfig, log::Level::kError,
               "config_entry_unusable",
               {{"version", std::to_string(decoded.value().version)},
                {"code", std::string(NameOf(entry.code))},
                {"detail", entry.detail}});
  }
  m_config = std::move(decoded.value());
  m_config_row = row;
  return true;
}

std::optional<Row> DirectoryBuilder::ConfigMissingFromStore() const {
  const bool missing = m_config_row.version.era < m_config_version.era;
  return missing ? std::make_optional(m_config_row) : std::nullopt;
}

bool DirectoryBuilder::IsOutdated(const Row& row,
                                  const relay::Endpoint& reported,
                                  Entry* known) {
  const auto order = [](const relay::Endpoint& endpoint) {
    return std::make_pair(endpoint.process_start_ms, endpoint.report_number);
  };
  if (row.version.era <= known->version.era) return false;
  if (order(reported) >= order(known->endpoint)) return false;
  const bool written_again = known->outdated_version.era == row.version.era &&
                             known->outdated_version != row.version;
  if (written_again) return false;
  known->outdated_version = row.version;
  return true;
}

void DirectoryBuilder::UpdateEndpoint(const EndpointId& id, const Row& row) {
  auto decoded = m_codec->DecodeEndpoint(id, row.value);
  if (!decoded) {
    if (std::exchange(m_unreadable_versions[id], row.version) != row.version) {
      log::Event(log::Channel::kEndpoint, log::Level::kWarn,
                 "endpoint_unreadable",
                 {{"endpoint", id}, {"detail", decoded.error().detail}});
    }
    // An unreadable row does not describe a usable endpoint.
    m_entries.erase(id);
    return;
  }
  const auto departed = m_departed.find(id);
  if (departed != m_departed.end()) {
    auto& known = departed->second;
    const bool removed_row =
        row.version.era > known.version.era && row.value == known.value;
    if (removed_row || IsOutdated(row, decoded.value(), &known)) return;
    m_departed.erase(departed);
  }
  auto& entry = m_entries[id];
  if (IsOutdated(row, decoded.value(), &entry)) {
    entry.missing_since.reset();
    log::Event(log::Channel::kEndpoint, log::Level::kInfo, "endpoint_outdated",
               {{"endpoint", id},
                {"version", TextOf(row.version)},
                {"known", TextOf(entry.version)}});
    return;
  }
  const bool restarted =
      entry.endpoint.process_start_ms != decoded.value().process_start_ms;
  const bool is_primary = decoded.value().primary;
  if (!is_primary) {
    entry.primary_since = RowVersion();
  } else if (entry.primary_since.IsNone() || restarted) {
    entry.primary_since = row.version;
  }
  entry.endpoint = std::move(decoded.value());
  entry.value = row.value;
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

void DirectoryBuilder::UpdateEndpoints(const std::map<std::string, Row>& rows) {
  for (auto& [id, entry] : m_entries) {
    if (rows.count(id) > 0 || entry.missing_since) continue;
    entry.missing_since = m_clock->Now();
    log::Event(log::Channel::kEndpoint, log::Level::kInfo, "endpoint_missing",
               {{"endpoint", id}, {"address", entry.endpoint.address}});
  }
  for (const auto& [id, row] : rows) {
    const auto existing = m_entries.find(id);
    if (existing == m_entries.end()) {
      UpdateEndpoint(id, row);
      continue;
    }
    auto& entry = existing->second;
    // A restored store has the same rows in a new era.
    const bool same_row =
        row.version.era > entry.version.era && row.value == entry.value;
    if (entry.version != row.version && !same_row) {
      UpdateEndpoint(id, row);
      continue;
    }
    if (entry.confirmed_version == entry.version) {
      entry.confirmed_version = row.version;
    }
    entry.version = row.version;
    entry.missing_since.reset();
  }
  // An address may have been reused by a newer endpoint. The older entry is
  // removed if its row is missing.
  std::map<std::string, RowVersion> newest_by_address;
  for (const auto& [id, entry] : m_entries) {
    auto& version = newest_by_address[entry.endpoint.address];
    version = std::max(version, entry.version);
  }
  Remove([&](const Entry& entry) {
    return entry.missing_since &&
           newest_by_address[entry.endpoint.address] != entry.version;
  });
}

template <typename Condition>
bool DirectoryBuilder::Remove(Condition condition) {
  return std::erase_if(m_entries, [&](auto& item) {
           if (!condition(item.second)) return false;
           m_departed[item.first] = std::move(item.second);
           return true;
         }) > 0;
}

bool DirectoryBuilder::ExpireMissing() {
  const auto now = m_clock->Now();
  std::erase_if(m_departed, [&](const auto& item) {
    return now - *item.second.missing_since >= kDepartedMemory;
  });
  const bool zones_changed = std::erase_if(m_zones_kept, [&](const auto& item) {
                               if (now < item.second) return false;
                               m_zones_out_of_service.erase(item.first);
                               return true;
                             }) > 0;
  const bool removed = Remove([&](const Entry& entry) {
    return entry.missing_since &&
           now - *entry.missing_since >= kMissingRowGracePeriod;
  });
  return zones_changed || removed;
}

void DirectoryBuilder::MarkNotPrimary(const EndpointId& endpoint) {
  const auto it = m_entries.find(endpoint);
  if (it == m_entries.end()) return;
  it->second.not_primary = true;
  // What it disproved while it was the primary may hold now.
  for (auto& [id, entry] : m_entries) {
    if (entry.endpoint.group != it->second.endpoint.group) continue;
    entry.disproved_since = RowVersion();
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
      entry.disproved_since = RowVersion();
    } else {
      entry.disproved_since = entry.primary_since;
    }
  }
}

RowVersion DirectoryBuilder::PrimarySince(const Entry& entry) {
  if (!entry.primary_since.IsNone()) {
    const bool disproved = entry.primary_since == entry.disproved_since;
    return disproved ? RowVersion() : entry.primary_since;
  }
  const bool confirmed = entry.confirmed_version == entry.version;
  return confirmed ? entry.version : RowVersion();
}

EndpointId DirectoryBuilder::ChoosePrimary(const GroupId& group) const {
  const Entry* best = nullptr;
  for (const auto& [id, entry] : m_entries) {
    if (entry.endpoint.group != group || PrimarySince(entry).IsNone()) continue;
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
    const bool says_primary = !entry.primary_since.IsNone();
    if (says_primary && PrimarySince(entry).IsNone()) continue;
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
