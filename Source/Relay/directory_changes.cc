// Implementation of the comparison of directories.
#include "Relay/directory_changes.h"

#include <algorithm>

namespace tiller::relay {
namespace {

template <typename Map, typename Same>
bool SameEntries(const Map& a, const Map& b, Same same) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [&](const auto& x, const auto& y) {
                      return x.first == y.first && same(x.second, y.second);
                    });
}

}  // namespace

bool SameWorkspaces(const Directory& a, const Directory& b) {
  return SameEntries(
      a.workspaces, b.workspaces,
      [](const auto& x, const auto& y) { return x.rate == y.rate; });
}

bool SameLimits(const Directory& a, const Directory& b) {
  return SameEntries(a.groups, b.groups, [](const auto& x, const auto& y) {
    return x.max_connections == y.max_connections;
  });
}

bool SameEndpoints(const Directory& a, const Directory& b) {
  return SameEntries(
      a.endpoints, b.endpoints, [](const auto& x, const auto& y) {
        return x.group == y.group && x.zone == y.zone && x.slots == y.slots;
      });
}

bool SamePrimaries(const Directory& a, const Directory& b) {
  return SameEntries(a.groups, b.groups, [](const auto& x, const auto& y) {
    return x.primary == y.primary;
  });
}

}  // namespace tiller::relay
