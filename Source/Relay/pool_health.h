// Which hosts' shared pools answer this host.
//
// Load pattern: some hosts or endpoints are slow, so that statements that wait
// for an endpoint behind a pool have no answer in time. If their sender took
// the pool for dead, all sessions would move to the next host, which opens
// connections while the first host keeps its own, until the endpoints refuse
// more. So a pool is judged only by what it answers without an endpoint: an
// opening, or a ROLLBACK outside of a transaction. A pool that is avoided gets
// a single trial connection before sessions return to it, and hosts avoid it
// for different times.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "Common/random.h"
#include "Relay/connection_table.h"
#include "Relay/relay_types.h"

namespace tiller::relay {

// How long a pool may take to answer what needs no endpoint. It differs from
// request to request, so that hosts do not leave a slow pool all at once.
Duration PoolAnswerTimeout(Random* random);

// True if a pool answers the step in progress without an endpoint.
bool IsAnsweredByPool(const Connection& connection);

class PoolHealth {
 public:
  // What a trial connection to an avoided pool is opened for.
  struct Trial {
    HostId host;
    EndpointId endpoint;
    WorkspaceId workspace;
  };

  explicit PoolHealth(Random* random) : m_random(random) {}

  // A host's pool answered, whatever the answer was.
  void RecordAnswer(const HostId& host, Instant now) {
    m_last_answer[host] = now;
  }
  // The step in progress on the connection is overdue. Returns true if that
  // shows that the pool does not answer. `on_time_since`: see TickMonitor.
  bool IsSilent(const Connection& connection, Instant on_time_since) const;
  // Returns a busy connection of each pool that has left requests unanswered
  // for a while and has not been asked for anything that it answers itself.
  std::vector<const Connection*> PoolsToProbe(
      const ConnectionTable& connections, Instant on_time_since,
      Instant now) const;

  void Avoid(const Trial& trial, Instant now);
  // Pools that are not used, and until when; see ChoosePool.
  const std::map<HostId, Instant>& Avoided() const { return m_avoided; }
  // Returns the avoided pools that are due for a trial. They stay avoided until
  // EndAvoidance is called; if it is not, the next trial follows.
  std::vector<Trial> TakeDueTrials(Instant now);
  void EndAvoidance(const HostId& host);

 private:
  Random* const m_random;
  std::map<HostId, Instant> m_last_answer;
  // When the next trial is due.
  std::map<HostId, Instant> m_avoided;
  // Of each avoided pool.
  std::map<HostId, Trial> m_trials;
};

}  // namespace tiller::relay
