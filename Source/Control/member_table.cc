// Implementation of membership by gossip (Demers et al., 1987) with plain zone
// labels: in a large fleet, each round sends one message within the host's own
// zone and one to another zone.
#include "Control/member_table.h"

#include <algorithm>
#include <utility>

namespace tiller::control {
namespace {

// With at most this many live peers, every host gossips with every other one
// directly.
constexpr std::size_t kFullMeshLimit = 12;
constexpr std::size_t kSameZoneTargets = 1;
constexpr std::size_t kOtherZoneTargets = 1;
constexpr std::size_t kAnnounceTargets = 24;
// Limits on one message. Together with the number of targets and the interval
// they bound a host's control traffic regardless of the fleet's size. In a full
// mesh each host sends only its own record.
constexpr std::size_t kMaxRecords = 6;
constexpr std::size_t kFullMeshRecords = 1;
constexpr std::size_t kMaxGroups = 4;
// Addresses without a known live member that are contacted in one round.
constexpr std::size_t kMaxUnverifiedTargets = 1;
// Approximate number of member records that a host receives per second. In a
// larger fleet each member's record arrives less often, so it takes longer
// before a missing heartbeat is significant.
constexpr std::size_t kRecordsPerSecond = 8;
constexpr std::size_t kMissedRounds = 3;
constexpr Milliseconds kUnverifiedRetryInterval{2'000};
constexpr Milliseconds kRemoveAfter{60'000};

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
    row.heartbeat_advanced_at = now;
    m_unverified_addresses.erase(record.address);
  }
}

void MemberTable::AddAddress(const std::string& address) {
  if (address.empty() || address == m_context->Options().address) return;
  const bool known =
      std::any_of(m_rows.begin(), m_rows.end(), [&](const auto& item) {
        return item.second.record.address == address && IsLive(item.first);
      });
  if (!known) m_unverified_addresses.emplace(address, Instant{});
}

void MemberTable::MarkLeaving(const std::string& address) {
  for (auto& [host, row] : m_rows) {
    if (row.record.address == address) row.record.leaving = true;
  }
}

std::vector<std::string> MemberTable::PickTargets() {
  std::vector<std::string> same_zone;
  std::vector<std::string> other_zones;
  for (const auto& row : Live()) {
    const bool local = row.record.zone == m_context->Options().zone;
    (local ? same_zone : other_zones).push_back(row.record.address);
  }
  std::vector<std::string> out;
  const auto pick_random = [&](std::vector<std::string>* pool,
                               std::size_t count) {
    for (; count > 0 && !pool->empty(); --count) {
      const auto pick = m_context->Rng()->UniformBelow(pool->size());
      out.push_back((*pool)[pick]);
      pool->erase(pool->begin() + static_cast<std::ptrdiff_t>(pick));
    }
  };
  const bool full_mesh =
      same_zone.size() + other_zones.size() <= kFullMeshLimit;
  pick_random(&same_zone, full_mesh ? same_zone.size() : kSameZoneTargets);
  pick_random(&other_zones, full_mesh ? other_zones.size() : kOtherZoneTargets);
  std::size_t tried = 0;
  for (auto& [address, next] : m_unverified_addresses) {
    if (next > m_context->Now()) continue;
    if (++tried > kMaxUnverifiedTargets) break;
    next = m_context->Now() + kUnverifiedRetryInterval;
    out.push_back(address);
  }
  return out;
}

std::vector<peer::MemberRecord> MemberTable::PickRecords(
    const peer::MemberRecord& self) const {
  auto rows = Live();
  // Half of the records are the most recently updated ones, which other hosts
  // are least likely to have. The rest are picked at random, so that no host is
  // left out permanently.
  std::stable_sort(rows.begin(), rows.end(), [](const auto& a, const auto& b) {
    return a.heartbeat_advanced_at > b.heartbeat_advanced_at;
  });
  for (std::size_t i = kMaxRecords / 2; i < rows.size(); ++i) {
    std::swap(rows[i],
              rows[i + m_context->Rng()->UniformBelow(rows.size() - i)]);
  }
  std::vector<peer::MemberRecord> out{self};
  const auto limit =
      rows.size() <= kFullMeshLimit ? kFullMeshRecords : kMaxRecords;
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
  const auto timeout = LivenessTimeout();
  std::erase_if(m_rows, [&](const auto& item) {
    return now - item.second.heartbeat_advanced_at > kRemoveAfter + 2 * timeout;
  });
  for (const auto& seed : m_context->Options().seeds) AddAddress(seed);
  self.heartbeat = ++m_heartbeat;
  peer::Gossip gossip;
  gossip.members = PickRecords(self);
  // Sends a rotating part of the groups, so that each is repeated regularly.
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
                                  m_context->Rng()->UniformBelow(rows.size())));
  }
  for (const auto& row : rows) {
    m_context->Send(row.record.address, peer::Gossip{{}, groups});
  }
}

bool MemberTable::IsLive(const HostId& host) const {
  if (host == m_context->Options().host) return true;
  const auto* row = Find(host);
  return row != nullptr &&
         m_context->Now() - row->heartbeat_advanced_at < LivenessTimeout();
}

Duration MemberTable::LivenessTimeout() const {
  const Duration base = m_context->Options().member_timeout;
  if (m_rows.size() <= kFullMeshLimit) return base;
  const auto spread_seconds = kMissedRounds * m_rows.size() / kRecordsPerSecond;
  return std::max<Duration>(base, std::chrono::seconds(spread_seconds));
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
