// Course of a cell of the fault matrix: injects the faults and ends them.
#include "UnitTests/Matrix/cell_run.h"

#include <algorithm>
#include <utility>

#include "Common/json.h"

namespace tiller::test {
namespace {

constexpr Milliseconds kWarmUpDuration{7'000};
constexpr Milliseconds kFaultDuration{4'000};
constexpr Milliseconds kWorkloadDuration{9'000};
constexpr Milliseconds kRecoveryDuration{14'000};
constexpr Milliseconds kPauseDuration{5'500};

}  // namespace

SimulationOptions CellRun::MakeOptions(const Cell& cell) {
  SimulationOptions options;
  options.hosts = 6;
  options.seats = 6;
  options.rate = kFloodRate;
  options.burst = kFloodBurst;
  options.seed = cell.seed;
  return options;
}

void CellRun::AddBreach(Guarantee guarantee, std::string detail) {
  m_result.breaches.push_back({guarantee, std::move(detail)});
}

CellResult CellRun::Run() {
  if (!m_simulation.RunUntilReady()) {
    AddBreach(Guarantee::kConfigurationHolds, "the fleet did not settle");
    return m_result;
  }
  // A seat has a vote only after it has been held for some time.
  m_simulation.RunFor(kWarmUpDuration);
  for (const auto* row : {"a", "b", "c", "d", "e"}) {
    CallerSession session;
    session.workspace = "w1";
    session.row = row;
    session.uses_idempotency_keys = *row == 'a' || *row == 'c' || *row == 'e';
    session.uses_transactions = *row == 'c' || *row == 'd';
    m_sessions.push_back(std::move(session));
  }
  m_workload_start = Now();
  m_next_flood_at = m_workload_start;
  m_version_accepted_at = m_workload_start;
  InstallFirstFault();
  while (Now() - m_workload_start < kWorkloadDuration) {
    AdvanceWorkload();
    m_simulation.RunFor(Milliseconds(5));
    EndFaults();
    CheckRunningState();
  }
  m_simulation.SetStageHook(nullptr);
  m_simulation.ReconnectAll();
  m_simulation.SetPlatformMode(PlatformMode::kUp);
  m_simulation.SetDuplicateAnswers(false);
  for (const auto& name : m_simulation.EndpointNames()) {
    m_simulation.SetLag(name, Milliseconds(5));
  }
  if (m_killed_endpoint) m_simulation.RestartEndpoint(*m_killed_endpoint);
  m_killed_endpoint.reset();
  const auto recovery_end = Now() + kRecoveryDuration;
  while (Now() < recovery_end) {
    m_simulation.RunFor(Milliseconds(5));
    EndFaults();
    CheckRunningState();
  }
  CheckFinalState();
  return m_result;
}

void CellRun::InstallFirstFault() {
  m_simulation.SetStageHook([this](Stage stage, const std::string& kind,
                                   const std::string& endpoint) {
    // No fault is injected before the workload has written something.
    if (!m_first_fault_pending || stage != m_cell.stage ||
        kind != m_cell.exchange ||
        Now() - m_workload_start < Milliseconds(500)) {
      return;
    }
    // Probes and platform calls occur all the time, whereas traffic goes to a
    // primary. Only a probe of the primary triggers the fault.
    if (kind == "probe" && endpoint != m_simulation.Primary()) return;
    m_first_fault_pending = false;
    m_result.fault_injected = true;
    InjectFault(m_cell.first);
    m_second_fault_at = Now() + m_cell.second_delay;
  });
}

int CellRun::PickHost() {
  for (int i = 0; i < 20; ++i) {
    const auto host = static_cast<int>(m_random.UniformBelow(
        static_cast<std::uint64_t>(m_simulation.HostCount())));
    if (m_simulation.HostAlive(host) && host != m_drained_host &&
        (m_simulation.Control(host).Ready() || m_random.UniformBelow(4) == 0)) {
      return host;
    }
  }
  return 0;
}

void CellRun::ChangeConfig(control::OperatorVerb verb, const std::string& name,
                           std::function<void()> on_accepted) {
  Json::Value arguments;
  arguments["name"] = name;
  int host = 0;
  while (!m_simulation.HostAlive(host)) ++host;
  m_simulation.SendOperatorCommand(
      host, verb, arguments,
      [this, on_accepted](const Result<Json::Value>& result) {
        if (!result) return;
        m_accepted_version =
            std::max(m_accepted_version, UintOr(result.value(), "version"));
        m_version_accepted_at = Now();
        if (on_accepted) on_accepted();
      });
}

void CellRun::InjectFault(Fault fault) {
  const auto primary = m_simulation.Primary();
  m_heal_at = Now() + kFaultDuration;
  switch (fault) {
    case Fault::kNone:
      return;
    case Fault::kPrimaryKilled:
      if (m_killed_endpoint || primary.empty()) return;
      m_killed_endpoint = primary;
      return m_simulation.KillEndpoint(primary);
    case Fault::kPrimaryIsolated:
      return m_simulation.Isolate(primary);
    case Fault::kReplicasBehind:
      for (const auto& name : m_simulation.EndpointNames()) {
        if (name != primary) m_simulation.SetLag(name, Milliseconds(1500));
      }
      return;
    case Fault::kHostKilled: {
      const int host = PickHost();
      m_simulation.KillHost(host);
      m_simulation.StartHost(m_simulation.ZoneOfHost(host));
      // Callers of this host get no answer; the others still wait for theirs.
      for (auto& session : m_sessions) {
        if (session.host != host) continue;
        session.request_pending = false;
        session.transaction.clear();
      }
      return;
    }
    case Fault::kHostPaused:
      return m_simulation.PauseHost(PickHost(), kPauseDuration);
    case Fault::kHostDrained:
      if (m_drained_host >= 0) return;
      m_drained_host = PickHost();
      return m_simulation.DrainHost(m_drained_host);
    case Fault::kKeyWithdrawn:
      return ChangeConfig(control::OperatorVerb::kKeyWithdraw, "w2-key",
                          [this] {
                            if (!m_key_withdrawn_at) m_key_withdrawn_at = Now();
                          });
    case Fault::kPlatformDown:
      return m_simulation.SetPlatformMode(PlatformMode::kDown);
    case Fault::kPlatformLosesAnswers:
      return m_simulation.SetPlatformMode(PlatformMode::kLoseAnswers);
    case Fault::kPlatformCutFromZone:
      for (int i = 0; i < m_simulation.HostCount(); ++i) {
        if (m_simulation.ZoneOfHost(i) == "z1") {
          m_simulation.Disconnect(m_simulation.HostNode(i), {"platform"});
        }
      }
      return;
    case Fault::kOperatorsRace: {
      ChangeConfig(control::OperatorVerb::kEndpointUndrain, "e1", nullptr);
      for (int i = 0; i < 3; ++i) {
        Json::Value arguments;
        arguments["name"] = kGroup;
        arguments["endpoint"] = "e" + std::to_string(i + 1);
        if (!m_simulation.HostAlive(i)) continue;
        m_simulation.SendOperatorCommand(i, control::OperatorVerb::kPromote,
                                         arguments,
                                         [](const Result<Json::Value>&) {});
      }
      return ChangeConfig(control::OperatorVerb::kZoneIn, "z2", nullptr);
    }
    case Fault::kConnectionsSilent:
      for (const auto& name : m_simulation.EndpointNames()) {
        m_simulation.SilenceConnections(name);
      }
      return;
    case Fault::kZoneCut:
    case Fault::kZoneCutFromAll:
      return m_simulation.DisconnectZone("z1", fault == Fault::kZoneCutFromAll);
    case Fault::kZoneOutAndBack:
      return ChangeConfig(control::OperatorVerb::kZoneOut, "z1", [this] {
        for (const auto& name : m_simulation.EndpointNames()) {
          if (m_simulation.ZoneOfEndpoint(name) != "z1") continue;
          m_out_of_service.push_back(
              {Guarantee::kZoneOutGetsNoWork, name, Now(), std::nullopt});
        }
        m_zone_in_at = Now() + Milliseconds(12'000);
      });
    case Fault::kEndpointDrained:
      return ChangeConfig(control::OperatorVerb::kEndpointDrain, "e2", [this] {
        m_out_of_service.push_back(
            {Guarantee::kLeavingEndpointGetsNoWork, "e2", Now(), std::nullopt});
      });
    case Fault::kAnswersDuplicated:
      return m_simulation.SetDuplicateAnswers(true);
  }
}

void CellRun::EndFaults() {
  const auto now = Now();
  if (m_heal_at && now >= *m_heal_at) {
    m_heal_at.reset();
    m_simulation.ReconnectAll();
    m_simulation.SetPlatformMode(PlatformMode::kUp);
    if (m_killed_endpoint) m_simulation.RestartEndpoint(*m_killed_endpoint);
    m_killed_endpoint.reset();
  }
  if (m_zone_in_at && now >= *m_zone_in_at) {
    m_zone_in_at.reset();
    std::erase_if(m_out_of_service, [](const auto& item) {
      return item.guarantee == Guarantee::kZoneOutGetsNoWork;
    });
    ChangeConfig(control::OperatorVerb::kZoneIn, "z1", nullptr);
  }
}

CellResult RunCell(const Cell& cell) { return CellRun(cell).Run(); }

}  // namespace tiller::test
