// Checks of a cell of the fault matrix while it runs, and after the recovery.
#include "Common/json.h"
#include "UnitTests/Matrix/cell_run.h"

namespace tiller::test {
namespace {

// Limits that the checks allow after a change was accepted: until endpoints
// that are drained or in a zone out of service receive no new work, and until
// every host has adopted the configuration.
constexpr Milliseconds kOutOfServiceLimit{5'000};
constexpr Milliseconds kConfigPropagationLimit{10'000};

}  // namespace

void CellRun::CheckRunningState() {
  const auto now = Now();
  for (auto& item : m_out_of_service) {
    if (now - item.since < kOutOfServiceLimit) continue;
    const auto pipelines = m_simulation.PipelinesStartedAt(item.endpoint);
    if (!item.baseline) item.baseline = pipelines;
    if (pipelines > *item.baseline) {
      AddBreach(item.guarantee, item.endpoint + " got new work");
      item.baseline = pipelines;
    }
  }
  m_config_versions.resize(static_cast<std::size_t>(m_simulation.HostCount()),
                           0);
  for (int i = 0; i < m_simulation.HostCount(); ++i) {
    if (!m_simulation.HostAlive(i)) continue;
    const auto version = m_simulation.Control(i).Configuration().Version();
    auto& last_version = m_config_versions[static_cast<std::size_t>(i)];
    if (version < last_version) {
      AddBreach(Guarantee::kConfigurationHolds, "a configuration reverted");
    }
    last_version = version;
  }
  const auto elapsed =
      std::chrono::duration<double>(now - m_workload_start).count();
  if (static_cast<double>(m_flood_answered) >
      kFloodBurst + kFloodRate * elapsed + 1e-6) {
    AddBreach(Guarantee::kRateAndBurst, std::to_string(m_flood_answered) +
                                            " run in " +
                                            std::to_string(elapsed));
    m_flood_answered = 0;
  }
  if (m_simulation.ParametersWithCallerKey() > 0) {
    AddBreach(Guarantee::kRightWorkspaceAndKeys, "an endpoint saw a key");
  }
}

void CellRun::CheckFinalRow(CallerSession* session) {
  auto request = m_simulation.MakeRead(session->workspace, session->row);
  request.max_staleness = Milliseconds(0);
  for (int i = 0; i < 10; ++i) {
    const auto reply = m_simulation.Call(PickHost(), request);
    if (!reply || reply->error) {
      m_simulation.RunFor(Milliseconds(300));
      continue;
    }
    const auto body = ParseJson(reply->body);
    const auto& rows = body.value()["rows"];
    const std::uint64_t version =
        rows.empty() ? 0 : std::stoull(rows[0][0].asString());
    const auto& model = session->model;
    const auto detail = session->row + " ends at " + std::to_string(version) +
                        " after " + std::to_string(model.acknowledged) +
                        " acknowledged and " + std::to_string(model.unknown) +
                        " unknown";
    if (version < model.acknowledged) {
      AddBreach(Guarantee::kNoAcknowledgementByOldPrimary, detail);
    }
    if (version > model.acknowledged + model.unknown) {
      AddBreach(session->uses_idempotency_keys ? Guarantee::kAtMostOnce
                                               : Guarantee::kNotRunIsTrue,
                detail);
    }
    if (session->uses_transactions && version % 2 != 0) {
      AddBreach(Guarantee::kTransactionsNeverMix, detail);
    }
    return;
  }
  AddBreach(Guarantee::kWholeOwnAnswer, "no answer after recovery");
}

void CellRun::CheckFinalState() {
  for (auto& session : m_sessions) CheckFinalRow(&session);
  if (Now() - m_version_accepted_at > kConfigPropagationLimit) {
    for (int i = 0; i < m_simulation.HostCount(); ++i) {
      if (!m_simulation.HostAlive(i) || i == m_drained_host) continue;
      if (m_simulation.Control(i).Configuration().Version() <
          m_accepted_version) {
        AddBreach(
            Guarantee::kConfigurationHolds,
            m_simulation.HostNode(i) + " lacks an accepted configuration");
      }
    }
  }
  if (m_drained_host >= 0 && m_simulation.HostAlive(m_drained_host) &&
      m_simulation.Traffic(m_drained_host).OpenRequests() > 0) {
    AddBreach(Guarantee::kGracefulShutdownCutsNothing, "a request was cut");
  }
}

}  // namespace tiller::test
