// Implementation of the judgement of pools.
#include "Relay/pool_health.h"

#include <algorithm>
#include <utility>

namespace tiller::relay {
namespace {

// A pool answers within a round trip what needs no endpoint; a host that is
// starved of processor time pauses for up to about 100 ms in between.
constexpr Milliseconds kMinAnswerTimeout{250};
constexpr Milliseconds kAnswerTimeoutSpread{150};
// A pool that has answered nothing for this long is probed. Longer than the
// slowest statement.
constexpr Milliseconds kProbeAfter{150};
// A pool that did not answer is tried again after about the time of a restart.
constexpr Milliseconds kMinRetryDelay{1'000};
constexpr Milliseconds kRetryDelaySpread{500};
// Longer than a trial connection may take to open. A trial whose outcome is
// unknown, because this host was late itself, is repeated.
constexpr Milliseconds kTrialTime{1'000};

Milliseconds Spread(Milliseconds least, Milliseconds spread, Random* random) {
  const auto steps = static_cast<std::uint64_t>(spread.count()) + 1;
  return least + Milliseconds(random->UniformBelow(steps));
}

}  // namespace

Duration PoolAnswerTimeout(Random* random) {
  return Spread(kMinAnswerTimeout, kAnswerTimeoutSpread, random);
}

bool IsAnsweredByPool(const Connection& connection) {
  if (connection.state == ConnectionState::kOpening) return true;
  switch (connection.step) {
    case Step::kDiscard:
    case Step::kSetOption:
    case Step::kPrepare:
      return true;
    case Step::kRollback:
      return !connection.in_transaction;
    default:
      return false;
  }
}

bool PoolHealth::IsSilent(const Connection& connection,
                          Instant on_time_since) const {
  if (!IsAnsweredByPool(connection)) return false;
  if (connection.step_sent < on_time_since) return false;
  const auto answer = m_last_answer.find(connection.pool_host_id);
  return answer == m_last_answer.end() || answer->second < connection.step_sent;
}

std::vector<const Connection*> PoolHealth::PoolsToProbe(
    const ConnectionTable& connections, Instant on_time_since,
    Instant now) const {
  struct Waiting {
    const Connection* oldest = nullptr;
    bool probed = false;
  };
  std::map<HostId, Waiting> pools;
  for (const auto& [id, connection] : connections) {
    if (connection.pool_host_id.empty()) continue;
    const bool pending = connection.state == ConnectionState::kBusy ||
                         connection.state == ConnectionState::kOpening;
    if (!pending) continue;
    auto& waiting = pools[connection.pool_host_id];
    waiting.probed |= IsAnsweredByPool(connection);
    if (waiting.oldest == nullptr ||
        connection.step_sent < waiting.oldest->step_sent) {
      waiting.oldest = &connection;
    }
  }
  std::vector<const Connection*> due;
  for (const auto& [host, waiting] : pools) {
    if (waiting.probed || m_avoided.count(host) > 0) continue;
    auto since = std::max(waiting.oldest->step_sent, on_time_since);
    const auto answer = m_last_answer.find(host);
    if (answer != m_last_answer.end()) since = std::max(since, answer->second);
    if (now - since > kProbeAfter) due.push_back(waiting.oldest);
  }
  return due;
}

void PoolHealth::Avoid(const Trial& trial, Instant now) {
  m_avoided[trial.host] =
      now + Spread(kMinRetryDelay, kRetryDelaySpread, m_random);
  m_trials[trial.host] = trial;
}

std::vector<PoolHealth::Trial> PoolHealth::TakeDueTrials(Instant now) {
  std::vector<Trial> due;
  for (auto& [host, until] : m_avoided) {
    if (now < until) continue;
    until = now + kTrialTime;
    due.push_back(m_trials[host]);
  }
  return due;
}

void PoolHealth::EndAvoidance(const HostId& host) {
  m_avoided.erase(host);
  m_trials.erase(host);
}

}  // namespace tiller::relay
