// Load reports of other hosts' pools, as received with their answers.
//
// Load pattern: callers retry while a pool's queue is longer than their target.
// Each attempt costs a round trip and a place in the queue. The caller's host
// refuses them at once instead, and names a time after which the queue will
// have shrunk, different from caller to caller.
#pragma once

#include <map>
#include <optional>
#include <tuple>

#include "Balance/load_report.h"
#include "Common/random.h"
#include "Common/types.h"

namespace tiller::balance {

class LoadTable {
 public:
  // A report describes a queue that drains within about this time.
  static constexpr Milliseconds kExpiry{1'000};

  // The pool of a host, for the connections of a workspace to an endpoint.
  using Key = std::tuple<EndpointId, WorkspaceId, HostId>;

  explicit LoadTable(Random* random) : m_random(random) {}

  // Implausible values are bounded.
  void Record(const Key& key, LoadReport report, Instant now);
  // Nothing if the last report has expired. So a false report has an effect for
  // kExpiry at most: what it refuses brings no new report.
  std::optional<LoadReport> Find(const Key& key, Instant now) const;
  // The newest report of any pool, or null. Valid until the next change.
  const LoadReport* FindNewest(const EndpointId& endpoint,
                               const WorkspaceId& workspace, Instant now) const;
  // Removes expired reports.
  void Expire(Instant now);
  // After which time a caller should retry, if the wait is `expected`.
  Milliseconds RetryAfter(Duration expected) const;

 private:
  struct Received {
    LoadReport report;
    Instant at;
  };
  Random* const m_random;
  std::map<Key, Received> m_reports;
};

}  // namespace tiller::balance
