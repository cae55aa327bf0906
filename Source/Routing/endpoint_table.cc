// Implementation of the endpoint table.
#include "Routing/endpoint_table.h"

#include <algorithm>
#include <set>

namespace tiller::routing {
namespace {

constexpr std::size_t kMaxWatermarks = 1024;
constexpr Milliseconds kMinWatermarkInterval{50};
constexpr int kFailuresBeforeBackoff = 2;
constexpr Milliseconds kInitialBackoff{250};
constexpr int kMaxBackoffDoublings = 4;
constexpr int kServiceTimeWeight = 8;
constexpr Duration kMinCatchUpDelay = Milliseconds(1);
constexpr Duration kMaxCatchUpDelay = Milliseconds(64);

}  // namespace

void EndpointTable::Update(const config::Config& config) {
  std::set<EndpointId> endpoints;
  std::set<GroupId> groups;
  for (const auto& group : config.groups) {
    groups.insert(group.name);
    auto& group_row = m_groups[group.name];
    group_row.name = group.name;
    group_row.endpoints.clear();
    for (const auto& endpoint : group.endpoints) {
      endpoints.insert(endpoint.name);
      group_row.endpoints.push_back(endpoint.name);
      auto& row = m_endpoints[endpoint.name];
      const auto* zone = config.FindZone(endpoint.zone);
      row.name = endpoint.name;
      row.group = group.name;
      row.zone = endpoint.zone;
      row.address = endpoint.address;
      row.accepts_work =
          !endpoint.draining && (zone == nullptr || !zone->out_of_service);
    }
  }
  std::erase_if(m_endpoints, [&](const auto& item) {
    return endpoints.count(item.first) == 0;
  });
  std::erase_if(m_groups, [&](const auto& item) {
    return groups.count(item.first) == 0;
  });
}

EndpointRow* EndpointTable::Find(const EndpointId& name) {
  const auto it = m_endpoints.find(name);
  return it == m_endpoints.end() ? nullptr : &it->second;
}

GroupRow* EndpointTable::FindGroup(const GroupId& name) {
  const auto it = m_groups.find(name);
  return it == m_groups.end() ? nullptr : &it->second;
}

const EndpointRow* EndpointTable::Find(const EndpointId& name) const {
  const auto it = m_endpoints.find(name);
  return it == m_endpoints.end() ? nullptr : &it->second;
}

const GroupRow* EndpointTable::FindGroup(const GroupId& name) const {
  const auto it = m_groups.find(name);
  return it == m_groups.end() ? nullptr : &it->second;
}

void EndpointTable::Observe(const EndpointId& name,
                            const endpoint::EndpointStatus& status,
                            Instant now) {
  auto* row = Find(name);
  if (row == nullptr) return;
  row->status = status;
  row->status_known = true;
  row->last_answer_at = now;
  row->consecutive_failures = 0;
  row->backoff_until = Instant{};
  if (status.role == endpoint::Role::kPrimary) {
    AdoptPrimary(row->group, status.term, name);
  }
}

void EndpointTable::ObserveFailure(const EndpointId& name, Instant now) {
  auto* row = Find(name);
  if (row == nullptr) return;
  ++row->consecutive_failures;
  if (row->consecutive_failures < kFailuresBeforeBackoff) return;
  const int doublings = std::min(
      row->consecutive_failures - kFailuresBeforeBackoff, kMaxBackoffDoublings);
  row->backoff_until = now + kInitialBackoff * (1 << doublings);
}

void EndpointTable::ObserveCatchUp(const EndpointId& name, bool reached) {
  auto* row = Find(name);
  if (row == nullptr) return;
  row->catch_up_delay = reached
                            ? row->catch_up_delay * 7 / 8
                            : std::clamp(row->catch_up_delay * 2,
                                         kMinCatchUpDelay, kMaxCatchUpDelay);
}

void EndpointTable::ObserveServiceTime(const EndpointId& name, Duration took) {
  auto* row = Find(name);
  if (row == nullptr) return;
  row->service_time += (took - row->service_time) / kServiceTimeWeight;
}

bool EndpointTable::AdoptPrimary(const GroupId& group, Term term,
                                 const EndpointId& primary) {
  auto* row = FindGroup(group);
  if (row == nullptr || term <= row->term) return false;
  row->term = term;
  row->primary = primary;
  return true;
}

void EndpointTable::AddWatermark(const GroupId& group,
                                 FreshnessWatermark watermark) {
  auto* row = FindGroup(group);
  if (row == nullptr) return;
  if (!row->watermarks.empty() &&
      watermark.at - row->watermarks.back().at < kMinWatermarkInterval) {
    return;
  }
  row->watermarks.push_back(watermark);
  if (row->watermarks.size() > kMaxWatermarks) row->watermarks.pop_front();
}

std::optional<Duration> EndpointTable::AgeOf(const EndpointRow& row,
                                             Instant now) const {
  const auto* group = FindGroup(row.group);
  if (group == nullptr || !row.status_known) return std::nullopt;
  for (auto watermark = group->watermarks.rbegin();
       watermark != group->watermarks.rend(); ++watermark) {
    if (row.status.term < watermark->position.term) continue;
    if (row.status.applied < watermark->position.position) continue;
    return now - watermark->at;
  }
  return std::nullopt;
}

}  // namespace tiller::routing
