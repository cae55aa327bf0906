// Runs one cell of the fault matrix: generates the workload, injects the faults
// and checks the guarantees.
#include <algorithm>
#include <utility>

#include "Common/json.h"
#include "Common/names.h"
#include "Common/random.h"
#include "UnitTests/Matrix/fault_matrix.h"

namespace tiller::test {
namespace {

using std::chrono::seconds;
using traffic::RequestKind;

constexpr Milliseconds kWarmUpDuration{7'000};
constexpr Milliseconds kFaultDuration{4'000};
constexpr Milliseconds kWorkloadDuration{9'000};
constexpr Milliseconds kRecoveryDuration{14'000};
// Limits that the checks allow after a change was accepted: until a withdrawn
// key is rejected, until endpoints that are drained or in a zone out of service
// receive no new work, and until every host has adopted the configuration.
constexpr Milliseconds kKeyWithdrawalLimit{10'000};
constexpr Milliseconds kOutOfServiceLimit{5'000};
constexpr Milliseconds kConfigPropagationLimit{10'000};
// Time from the start of the workload to an operator's promotion.
constexpr Milliseconds kPromotionDelay{1'500};
constexpr Milliseconds kPauseDuration{5'500};
// Rate limit of each workspace. One of them sends a request every
// kFloodInterval, which exceeds its limit.
constexpr double kFloodRate = 40;  // requests per second
constexpr double kFloodBurst = 20;
constexpr Milliseconds kFloodInterval{10};

// Writes of one row as known to the caller's session. The row's version has to
// be between `acknowledged` and `acknowledged + unknown`.
struct RowModel {
  std::uint64_t acknowledged = 0;
  std::uint64_t unknown = 0;  // may or may not have run
};

// One caller, which reads and writes a row of its own.
struct CallerSession {
  std::string workspace;
  std::string row;
  std::string token;
  RowModel model;
  bool uses_idempotency_keys = false;
  bool uses_transactions = false;
  std::uint64_t write_count = 0;
  bool request_pending = false;
  int host = -1;  // handles the pending request or open transaction
  // Id of the open transaction and its number of writes so far; after two
  // writes it is committed.
  std::string transaction;
  int transaction_writes = 0;
};

class CellRun {
 public:
  explicit CellRun(const Cell& cell)
      : m_cell(cell), m_random(cell.seed), m_simulation(MakeOptions(cell)) {}

  CellResult Run();

 private:
  static SimulationOptions MakeOptions(const Cell& cell) {
    SimulationOptions options;
    options.hosts = 6;
    options.seats = 6;
    options.rate = kFloodRate;
    options.burst = kFloodBurst;
    options.seed = cell.seed;
    return options;
  }
  // Sets a hook that injects the first fault when its stage of its exchange
  // occurs.
  void InstallFirstFault();
  void InjectFault(Fault fault);
  // Injects the second fault and sends the requests that are due.
  void AdvanceWorkload();
  void AdvanceSession(CallerSession* session);
  void SendWrite(CallerSession* session);
  void SendRead(CallerSession* session);
  void AdvanceTransaction(CallerSession* session);
  void HandleWriteReply(CallerSession* session, const traffic::Reply& reply,
                        int writes);
  void HandleReadReply(CallerSession* session, const traffic::Reply& reply);
  void SendFloodRequest();
  void CountReply(const traffic::Reply& reply);
  // Ends the faults whose time is over, and checks what has to hold at any
  // time.
  void EndFaultsAndCheck();
  // Checks what has to hold after the recovery.
  void CheckFinalState();
  void ChangeConfig(control::OperatorVerb verb, const std::string& name,
                    std::function<void()> on_accepted);
  void CheckFinalRow(CallerSession* session);
  // Picks a running host that is not drained; one that is not ready is picked
  // less often. Returns host 0 if 20 attempts find none.
  int PickHost();
  void AddBreach(Guarantee guarantee, std::string detail);
  Instant Now() const { return m_simulation.Now(); }

  const Cell m_cell;
  SeededRandom m_random;
  ServiceSimulation m_simulation;
  CellResult m_result;
  std::vector<CallerSession> m_sessions;
  bool m_first_fault_pending = true;
  std::optional<Instant> m_second_fault_at;
  std::optional<Instant> m_heal_at;
  std::optional<Instant> m_zone_in_at;
  bool m_promotion_requested = false;
  Instant m_workload_start;
  Instant m_next_flood_at;
  // Flood requests that were answered successfully, and all that were sent.
  std::uint64_t m_flood_answered = 0;
  std::uint64_t m_flood_sent = 0;
  std::optional<Instant> m_key_withdrawn_at;
  // Endpoint that has to get no new work from kOutOfServiceLimit after `since`.
  // `baseline` is the number of its pipelines by then.
  struct OutOfServiceEndpoint {
    Guarantee guarantee;
    std::string endpoint;
    Instant since;
    std::optional<std::uint64_t> baseline;
  };
  std::vector<OutOfServiceEndpoint> m_out_of_service;
  std::vector<config::ConfigVersion> m_config_versions;
  config::ConfigVersion m_accepted_version = 1;
  Instant m_version_accepted_at;
  int m_drained_host = -1;
  std::uint64_t m_drained_open = 0;
  std::optional<EndpointId> m_killed_endpoint;
};

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
    EndFaultsAndCheck();
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
    EndFaultsAndCheck();
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

void CellRun::AdvanceWorkload() {
  const auto now = Now();
  if (m_second_fault_at && now >= *m_second_fault_at) {
    m_second_fault_at.reset();
    InjectFault(m_cell.second);
  }
  if (!m_promotion_requested && now - m_workload_start >= kPromotionDelay) {
    m_promotion_requested = true;
    Json::Value arguments;
    arguments["name"] = kGroup;
    int host = 0;
    while (!m_simulation.HostAlive(host)) ++host;
    m_simulation.SendOperatorCommand(host, control::OperatorVerb::kPromote,
                                     arguments,
                                     [](const Result<Json::Value>&) {});
  }
  for (auto& session : m_sessions) {
    if (!session.request_pending) AdvanceSession(&session);
  }
  if (now >= m_next_flood_at) {
    m_next_flood_at = now + kFloodInterval;
    SendFloodRequest();
  }
}

void CellRun::AdvanceSession(CallerSession* session) {
  if (m_random.UniformBelow(3) != 0) return;
  session->request_pending = true;
  if (session->uses_transactions && !session->transaction.empty()) {
    return AdvanceTransaction(session);
  }
  if (m_random.UniformBelow(2) == 0) return SendRead(session);
  if (session->uses_transactions) return AdvanceTransaction(session);
  SendWrite(session);
}

void CellRun::CountReply(const traffic::Reply& reply) {
  if (!reply.error) {
    ++m_result.answered;
  } else if (reply.error->outcome == RunOutcome::kUnknown) {
    ++m_result.unknown;
  } else {
    ++m_result.refused;
  }
}

void CellRun::HandleWriteReply(CallerSession* session,
                               const traffic::Reply& reply, int writes) {
  session->request_pending = false;
  CountReply(reply);
  auto& model = session->model;
  const auto count = static_cast<std::uint64_t>(writes);
  if (!reply.error) {
    model.acknowledged += count;
    session->token = reply.token;
  } else if (reply.error->outcome == RunOutcome::kUnknown) {
    model.unknown += count;
  }
}

void CellRun::SendWrite(CallerSession* session) {
  auto request = m_simulation.MakeIncrement(session->workspace, session->row);
  request.token = session->token;
  request.deadline = Milliseconds(3'000);
  ++session->write_count;
  if (session->uses_idempotency_keys) {
    request.idempotency_key =
        session->row + "-" + std::to_string(session->write_count);
  }
  session->host = PickHost();
  // The write counts as unknown until it is answered: a host that dies gives no
  // answer, and its write may or may not have run.
  ++session->model.unknown;
  m_simulation.Send(session->host, request,
                    [this, session](const traffic::Reply& reply) {
                      --session->model.unknown;
                      HandleWriteReply(session, reply, 1);
                    });
}

void CellRun::SendRead(CallerSession* session) {
  auto request = m_simulation.MakeRead(session->workspace, session->row);
  request.token = session->token;
  request.deadline = Milliseconds(3'000);
  if (m_random.UniformBelow(4) == 0) request.max_staleness = Milliseconds(0);
  session->host = PickHost();
  m_simulation.Send(session->host, request, [this, session](const auto& reply) {
    HandleReadReply(session, reply);
  });
}

void CellRun::HandleReadReply(CallerSession* session,
                              const traffic::Reply& reply) {
  session->request_pending = false;
  CountReply(reply);
  if (reply.error) return;
  session->token = reply.token;
  const auto body = ParseJson(reply.body);
  const auto& rows = body ? body.value()["rows"] : Json::Value::nullSingleton();
  if (!rows.isArray() || rows.size() > 1 ||
      (rows.size() == 1 && rows[0][2].asString() != session->row)) {
    return AddBreach(Guarantee::kWholeOwnAnswer, reply.body);
  }
  if (rows.size() == 1 && rows[0][1].asString() != session->workspace) {
    return AddBreach(Guarantee::kRightWorkspaceAndKeys, reply.body);
  }
  const std::uint64_t version =
      rows.empty() ? 0 : std::stoull(rows[0][0].asString());
  const auto& model = session->model;
  if (version < model.acknowledged) {
    AddBreach(Guarantee::kReadYourWrites,
              session->row + " read " + reply.body + " after " +
                  std::to_string(model.acknowledged));
  }
  if (version > model.acknowledged + model.unknown) {
    AddBreach(Guarantee::kNotRunIsTrue,
              session->row + " read " + reply.body + " after " +
                  std::to_string(model.acknowledged) + " and " +
                  std::to_string(model.unknown) + " unknown");
  }
}

void CellRun::AdvanceTransaction(CallerSession* session) {
  auto request = m_simulation.MakeIncrement(session->workspace, session->row);
  request.token = session->token;
  request.deadline = Milliseconds(3'000);
  if (session->transaction.empty()) {
    request.kind = RequestKind::kBegin;
    request.statements.clear();
    session->host = PickHost();
    session->transaction_writes = 0;
    return m_simulation.Send(
        session->host, request, [session](const traffic::Reply& reply) {
          session->request_pending = false;
          if (reply.error) return;
          const auto body = ParseJson(reply.body);
          session->transaction = StringOr(body.value(), "transaction");
        });
  }
  request.transaction = session->transaction;
  if (session->transaction_writes < 2) {
    request.kind = RequestKind::kTransactionExecute;
    return m_simulation.Send(session->host, request,
                             [session](const traffic::Reply& reply) {
                               session->request_pending = false;
                               ++session->transaction_writes;
                               // After any error, nothing was committed.
                               if (reply.error) session->transaction.clear();
                             });
  }
  request.kind = RequestKind::kCommit;
  request.statements.clear();
  ++session->write_count;
  if (session->uses_idempotency_keys) {
    request.idempotency_key =
        session->row + "-" + std::to_string(session->write_count);
  }
  session->transaction.clear();
  session->model.unknown += 2;
  m_simulation.Send(session->host, request,
                    [this, session](const traffic::Reply& reply) {
                      session->model.unknown -= 2;
                      HandleWriteReply(session, reply, 2);
                    });
}

// The second workspace sends far more requests than its rate allows, to all
// hosts.
void CellRun::SendFloodRequest() {
  auto request = m_simulation.MakeRead("w2", "x");
  request.deadline = Milliseconds(1'000);
  const auto sent = Now();
  ++m_flood_sent;
  m_simulation.Send(PickHost(), request, [this, sent](const auto& reply) {
    if (reply.error) return;
    ++m_flood_answered;
    if (m_key_withdrawn_at &&
        sent - *m_key_withdrawn_at > kKeyWithdrawalLimit) {
      AddBreach(Guarantee::kRightWorkspaceAndKeys,
                "a withdrawn key was honoured after the limit");
    }
  });
}

void CellRun::EndFaultsAndCheck() {
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

}  // namespace

CellResult RunCell(const Cell& cell) { return CellRun(cell).Run(); }

}  // namespace tiller::test
