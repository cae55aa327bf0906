// Implementation of membership by gossip (Demers et al., 1987) with plain
// zone labels: most messages stay in the own zone, one in each round leaves it.
#include "Control/member_table.h"

#include <algorithm>
#include <utility>

namespace tiller::control {
namespace {

// In a small fleet every host hears from every other directly.
constexpr std::size_t kFullMeshLimit = 12;
constexpr std::size_t kNearTargets = 1;
constexpr std::size_t kFarTargets = 1;
constexpr std::size_t kAnnounceTargets = 24;
// Bounds on one message; with the targets and the interval they bound the
// control traffic of a host whatever the fleet's size. In a full mesh each host
// speaks for itself.
constexpr std::size_t kMaxRecords = 6;
constexpr std::size_t kMeshRecords = 1;
constexpr std::size_t kMaxGroups = 4;
// Addresses without a known host behind them that are tried in one round.
constexpr std::size_t kMaxLearnedTargets = 1;
// Heartbeats that reach a host in a second, about; a larger fleet needs longer
// until silence means anything.
constexpr std::size_t kRecordsPerSecond = 8;
constexpr std::size_t kMissedRounds = 3;
constexpr Milliseconds kLearnedRetry{2'000};
constexpr Milliseconds kForgetAfter{60'000};

}  // namespace

void MemberTable::Merge(const std::vector<peer::MemberRecord>& records) {
  const auto now = m_context->Now();
  for (const auto& record : records) {
    if (record.host.empty() || record.host == m_context->Options().host) {
      continue;
    }
    auto& row = m_rows[record.host];
    if (record.heartbeat <= row.record.heartbeat) continue;
    const bool leaving = row.record.leaving || record.leaving;
    row.record = record;
    row.record.leaving = leaving;
    row.advanced = now;
    m_learned.erase(record.address);
  }
}

void MemberTable::Learn(const std::string& address) {
  if (address.empty() || address == m_context->Options().address) return;
  const bool known =
      std::any_of(m_rows.begin(), m_rows.end(), [&](const auto& item) {
        return item.second.record.address == address && IsLive(item.first);
      });
  if (!known) m_learned.emplace(address, Instant{});
}

void MemberTable::MarkLeaving(const std::string& address) {
  for (auto& [host, row] : m_rows) {
    if (row.record.address == address) row.record.leaving = true;
  }
}

std::vector<std::string> MemberTable::PickTargets() {
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const auto& row : Live()) {
    const bool local = row.record.zone == m_context->Options().zone;
    (local ? near : far).push_back(row.record.address);
  }
  std::vector<std::string> out;
  const auto take = [&](std::vector<std::string>* from, std::size_t count) {
    for (; count > 0 && !from->empty(); --count) {
      const auto pick = m_context->Rng()->Below(from->size());
      out.push_back((*from)[pick]);
      from->erase(from->begin() + static_cast<std::ptrdiff_t>(pick));
    }
  };
  const bool full_mesh = near.size() + far.size() <= kFullMeshLimit;
  take(&near, full_mesh ? near.size() : kNearTargets);
  take(&far, full_mesh ? far.size() : kFarTargets);
  std::size_t tried = 0;
  for (auto& [address, next] : m_learned) {
    if (next > m_context->Now()) continue;
    if (++tried > kMaxLearnedTargets) break;
    next = m_context->Now() + kLearnedRetry;
    out.push_back(address);
  }
  return out;
}

std::vector<peer::MemberRecord> MemberTable::PickRecords(
    const peer::MemberRecord& self) const {
  auto rows = Live();
  // Half of them are the youngest news, the least likely to be known
  // elsewhere; the rest are drawn, so that no host is passed over for ever.
  std::stable_sort(rows.begin(), rows.end(), [](const auto& a, const auto& b) {
    return a.advanced > b.advanced;
  });
  for (std::size_t i = kMaxRecords / 2; i < rows.size(); ++i) {
    std::swap(rows[i], rows[i + m_context->Rng()->Below(rows.size() - i)]);
  }
  std::vector<peer::MemberRecord> out{self};
  const auto limit = rows.size() <= kFullMeshLimit ? kMeshRecords : kMaxRecords;
  for (const auto& row : rows) {
    if (out.size() >= limit) break;
    out.push_back(row.record);
  }
  return out;
}

void MemberTable::Tick(peer::MemberRecord self,
                       const std::vector<peer::GroupRecord>& groups) {
  const auto now = m_context->Now();
  if (now < m_next_gossip) return;
  m_next_gossip = now + m_context->Options().gossip_interval;
  const auto timeout = Timeout();
  std::erase_if(m_rows, [&](const auto& item) {
    return now - item.second.advanced > kForgetAfter + 2 * timeout;
  });
  for (const auto& seed : m_context->Options().seeds) Learn(seed);
  self.heartbeat = ++m_heartbeat;
  peer::Gossip gossip;
  gossip.members = PickRecords(self);
  // A rotating part of the groups: every one is told again and again.
  for (std::size_t i = 0; i < std::min(groups.size(), kMaxGroups); ++i) {
    gossip.groups.push_back(
        groups[(m_heartbeat * kMaxGroups + i) % groups.size()]);
  }
  for (const auto& target : PickTargets()) m_context->Send(target, gossip);
}

void MemberTable::Announce(const std::vector<peer::GroupRecord>& groups) {
  auto rows = Live();
  while (rows.size() > kAnnounceTargets) {
    rows.erase(rows.begin() + static_cast<std::ptrdiff_t>(
                                  m_context->Rng()->Below(rows.size())));
  }
  for (const auto& row : rows) {
    m_context->Send(row.record.address, peer::Gossip{{}, groups});
  }
}

bool MemberTable::IsLive(const HostId& host) const {
  if (host == m_context->Options().host) return true;
  const auto* row = Find(host);
  return row != nullptr && m_context->Now() - row->advanced < Timeout();
}

Duration MemberTable::Timeout() const {
  const Duration base = m_context->Options().member_timeout;
  if (m_rows.size() <= kFullMeshLimit) return base;
  const auto spread = kMissedRounds * m_rows.size() / kRecordsPerSecond;
  return std::max<Duration>(base, std::chrono::seconds(spread));
}

const MemberRow* MemberTable::Find(const HostId& host) const {
  const auto it = m_rows.find(host);
  return it == m_rows.end() ? nullptr : &it->second;
}

std::vector<MemberRow> MemberTable::Live() const {
  std::vector<MemberRow> out;
  for (const auto& [host, row] : m_rows) {
    if (IsLive(host)) out.push_back(row);
  }
  return out;
}

std::string MemberTable::AddressOf(const HostId& host) const {
  const auto* row = Find(host);
  return row == nullptr ? std::string() : row->record.address;
}

}  // namespace tiller::control
