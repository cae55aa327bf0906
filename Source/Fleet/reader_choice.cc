// Implementation of the choice of readers.
#include "Fleet/reader_choice.h"

#include <algorithm>
#include <map>
#include <utility>

#include "Common/crypto.h"

namespace tiller::fleet {
namespace {

// In a small fleet every host reads the store: the calls are few, and no host
// depends on another one for its configuration.
constexpr std::size_t kMaxHostsWithoutReaders = 12;
// Bounds the messages that a reader handles for the other hosts of its zone.
constexpr std::size_t kHostsPerReader = 16;

std::uint64_t Weight(const FleetHost& host) {
  return StableHash("reader/" + host.host);
}

// The readers of a zone with these hosts, in order of their weight.
std::vector<FleetHost> ReadersAmong(
    const std::vector<const FleetHost*>& hosts) {
  const auto count = (hosts.size() + kHostsPerReader - 1) / kHostsPerReader;
  std::vector<std::pair<std::uint64_t, const FleetHost*>> weights;
  weights.reserve(hosts.size());
  for (const auto* host : hosts) weights.emplace_back(Weight(*host), host);
  std::partial_sort(
      weights.begin(), weights.begin() + static_cast<std::ptrdiff_t>(count),
      weights.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<FleetHost> readers;
  for (std::size_t i = 0; i < count; ++i) readers.push_back(*weights[i].second);
  return readers;
}

}  // namespace

ReaderPlan ChooseReaders(const FleetHost& self,
                         const std::vector<FleetHost>& others,
                         const std::set<std::string>& avoided) {
  ReaderPlan plan;
  if (others.size() < kMaxHostsWithoutReaders) return plan;
  std::map<ZoneId, std::vector<const FleetHost*>> zones;
  zones[self.zone].push_back(&self);
  for (const auto& host : others) {
    if (avoided.count(host.host) == 0) zones[host.zone].push_back(&host);
  }
  const auto pick = [&](const std::vector<const FleetHost*>& hosts) {
    const auto readers = ReadersAmong(hosts);
    return readers[StableHash(self.host) % readers.size()];
  };
  const auto own_readers = ReadersAmong(zones.at(self.zone));
  plan.reads_store = std::any_of(
      own_readers.begin(), own_readers.end(),
      [&](const FleetHost& reader) { return reader.host == self.host; });
  if (plan.reads_store) {
    for (const auto& [zone, hosts] : zones) {
      for (const auto& reader : ReadersAmong(hosts)) {
        if (reader.host != self.host) plan.readers.push_back(reader);
      }
    }
    return plan;
  }
  plan.sources.push_back(pick(zones.at(self.zone)));
  // The next zone in cyclic order, so that the zones do not all use the same
  // one.
  auto next = zones.upper_bound(self.zone);
  if (next == zones.end()) next = zones.begin();
  if (next->first != self.zone) plan.sources.push_back(pick(next->second));
  return plan;
}

}  // namespace tiller::fleet
