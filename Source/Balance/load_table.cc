// Implementation of the table of load reports.
#include "Balance/load_table.h"

#include <algorithm>

namespace tiller::balance {
namespace {

constexpr std::size_t kMaxCount = 10'000;
// A retry comes between half and one and a half times the expected wait, within
// these bounds: not before an answer could have changed anything, and not after
// the report has long expired.
constexpr Milliseconds kMinRetry{50};
constexpr Milliseconds kMaxRetry{1'000};

}  // namespace

void LoadTable::Record(const Key& key, LoadReport report, Instant now) {
  report.in_progress = std::min(report.in_progress, kMaxCount);
  report.waiting = std::min(report.waiting, kMaxCount);
  report.connections = std::min(report.connections, kMaxCount);
  report.expected_wait =
      std::clamp<Duration>(report.expected_wait, Duration{}, kExpiry);
  m_reports[key] = {report, now};
}

std::optional<LoadReport> LoadTable::Find(const Key& key, Instant now) const {
  const auto found = m_reports.find(key);
  if (found == m_reports.end()) return std::nullopt;
  if (now - found->second.at >= kExpiry) return std::nullopt;
  return found->second.report;
}

const LoadReport* LoadTable::FindNewest(const EndpointId& endpoint,
                                        const WorkspaceId& workspace,
                                        Instant now) const {
  const Received* newest = nullptr;
  for (auto it = m_reports.lower_bound({endpoint, workspace, HostId()});
       it != m_reports.end(); ++it) {
    const auto& [found_endpoint, found_workspace, host] = it->first;
    if (found_endpoint != endpoint || found_workspace != workspace) break;
    if (now - it->second.at >= kExpiry) continue;
    if (newest == nullptr || it->second.at > newest->at) newest = &it->second;
  }
  return newest == nullptr ? nullptr : &newest->report;
}

void LoadTable::Expire(Instant now) {
  std::erase_if(m_reports, [&](const auto& item) {
    return now - item.second.at >= kExpiry;
  });
}

Milliseconds LoadTable::RetryAfter(Duration expected) const {
  const auto wait = std::clamp(
      std::chrono::duration_cast<Milliseconds>(expected), kMinRetry, kMaxRetry);
  const auto spread = static_cast<std::uint64_t>(wait.count()) + 1;
  return std::max(kMinRetry,
                  wait / 2 + Milliseconds(m_random->UniformBelow(spread)));
}

}  // namespace tiller::balance
