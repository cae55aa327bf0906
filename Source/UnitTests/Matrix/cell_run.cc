// One cell of the fault matrix: a workload, faults, and the checks.
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

constexpr Milliseconds kQuietStart{7'000};
constexpr Milliseconds kFaultLength{4'000};
constexpr Milliseconds kWorkloadLength{9'000};
constexpr Milliseconds kRecovery{14'000};
// "Within seconds" and "after a few seconds" of the brief.
constexpr Milliseconds kKeyLimit{10'000};
constexpr Milliseconds kNoWorkLimit{5'000};
constexpr Milliseconds kConfigLimit{10'000};
constexpr Milliseconds kPromoteAt{1'500};
constexpr Milliseconds kPauseLength{5'500};
constexpr double kFloodRate = 40;
constexpr double kFloodBurst = 20;
constexpr Milliseconds kFloodInterval{10};

// What a caller's session knows about one row.
struct RowModel {
  std::uint64_t acknowledged = 0;
  std::uint64_t unknown = 0;
};

struct Session {
  std::string workspace;
  std::string row;
  std::string token;
  RowModel model;
  bool keyed = false;
  bool uses_transactions = false;
  std::uint64_t writes = 0;
  bool busy = false;
  int host = -1;  // that holds the call or the transaction in progress
  // Progress of a transaction: its host and id; two writes, then the commit.
  std::string transaction;
  int transaction_writes = 0;
};

class CellRun {
 public:
  explicit CellRun(const Cell& cell)
      : m_cell(cell), m_random(cell.seed), m_fleet(Options(cell)) {}

  CellResult Run();

 private:
  static FleetOptions Options(const Cell& cell) {
    FleetOptions options;
    options.hosts = 6;
    options.seats = 6;
    options.rate = kFloodRate;
    options.burst = kFloodBurst;
    options.seed = cell.seed;
    return options;
  }
  void ArmFirst();
  void Strike(Fault fault);
  void Step();
  void StepSession(Session* session);
  void SendWrite(Session* session);
  void SendRead(Session* session);
  void StepTransaction(Session* session);
  void OnWrite(Session* session, const traffic::Reply& reply, int writes);
  void OnRead(Session* session, const traffic::Reply& reply);
  void Flood();
  void CountReply(const traffic::Reply& reply);
  void CheckEveryStep();
  void CheckFinal();
  void ChangeConfig(control::OperatorVerb verb, const std::string& name,
                    std::function<void()> accepted);
  void ReadFinal(Session* session);
  int PickHost();
  void Break(Promise promise, std::string detail);
  Instant Now() const { return m_fleet.Now(); }

  const Cell m_cell;
  SeededRandom m_random;
  Fleet m_fleet;
  CellResult m_result;
  std::vector<Session> m_sessions;
  bool m_armed = true;
  std::optional<Instant> m_second_at;
  std::optional<Instant> m_heal_at;
  std::optional<Instant> m_zone_back_at;
  bool m_promoted = false;
  Instant m_start;
  Instant m_next_flood;
  // Floods accepted, and when the first one was sent.
  std::uint64_t m_flood_run = 0;
  std::uint64_t m_flood_sent = 0;
  std::optional<Instant> m_key_withdrawn;
  struct NoWork {
    Promise promise;
    std::string endpoint;
    Instant since;
    std::optional<std::uint64_t> baseline;
  };
  std::vector<NoWork> m_no_work;
  std::vector<config::ConfigVersion> m_versions;
  config::ConfigVersion m_accepted = 1;
  Instant m_accepted_at;
  int m_drained_host = -1;
  std::uint64_t m_drained_open = 0;
  std::optional<EndpointId> m_killed_endpoint;
};

void CellRun::Break(Promise promise, std::string detail) {
  m_result.breaches.push_back({promise, std::move(detail)});
}

CellResult CellRun::Run() {
  if (!m_fleet.Settle()) {
    Break(Promise::kConfigurationHolds, "the fleet did not settle");
    return m_result;
  }
  // Seats vote once they have been held for a while.
  m_fleet.RunFor(kQuietStart);
  for (const auto* row : {"a", "b", "c", "d", "e"}) {
    Session session;
    session.workspace = "w1";
    session.row = row;
    session.keyed = *row == 'a' || *row == 'c' || *row == 'e';
    session.uses_transactions = *row == 'c' || *row == 'd';
    m_sessions.push_back(std::move(session));
  }
  m_start = Now();
  m_next_flood = m_start;
  m_accepted_at = m_start;
  ArmFirst();
  while (Now() - m_start < kWorkloadLength) {
    Step();
    m_fleet.RunFor(Milliseconds(5));
    CheckEveryStep();
  }
  m_fleet.SetStageHook(nullptr);
  m_fleet.Heal();
  m_fleet.SetPlatform(PlatformMode::kUp);
  m_fleet.DuplicateAnswers(false);
  for (const auto& name : m_fleet.EndpointNames()) {
    m_fleet.SetLag(name, Milliseconds(5));
  }
  if (m_killed_endpoint) m_fleet.RestartEndpoint(*m_killed_endpoint);
  m_killed_endpoint.reset();
  const auto recovery_end = Now() + kRecovery;
  while (Now() < recovery_end) {
    m_fleet.RunFor(Milliseconds(5));
    CheckEveryStep();
  }
  CheckFinal();
  return m_result;
}

void CellRun::ArmFirst() {
  m_fleet.SetStageHook([this](Stage stage, const std::string& kind,
                              const std::string& endpoint) {
    // Nothing strikes before the workload has written something.
    if (!m_armed || stage != m_cell.stage || kind != m_cell.exchange ||
        Now() - m_start < Milliseconds(500)) {
      return;
    }
    // Probes and platform calls go on all the time; traffic aims at a primary.
    if (kind == "probe" && endpoint != m_fleet.Primary()) return;
    m_armed = false;
    m_result.struck = true;
    Strike(m_cell.first);
    m_second_at = Now() + m_cell.second_after;
  });
}

int CellRun::PickHost() {
  for (int i = 0; i < 20; ++i) {
    const auto host = static_cast<int>(
        m_random.Below(static_cast<std::uint64_t>(m_fleet.HostCount())));
    if (m_fleet.HostAlive(host) && host != m_drained_host &&
        (m_fleet.Control(host).Ready() || m_random.Below(4) == 0)) {
      return host;
    }
  }
  return 0;
}

void CellRun::ChangeConfig(control::OperatorVerb verb, const std::string& name,
                           std::function<void()> accepted) {
  Json::Value arguments;
  arguments["name"] = name;
  int host = 0;
  while (!m_fleet.HostAlive(host)) ++host;
  m_fleet.Operate(host, verb, arguments,
                  [this, accepted](const Result<Json::Value>& result) {
                    if (!result) return;
                    m_accepted =
                        std::max(m_accepted, UintOr(result.value(), "version"));
                    m_accepted_at = Now();
                    if (accepted) accepted();
                  });
}

void CellRun::Strike(Fault fault) {
  const auto primary = m_fleet.Primary();
  m_heal_at = Now() + kFaultLength;
  switch (fault) {
    case Fault::kNone:
      return;
    case Fault::kPrimaryKilled:
      if (m_killed_endpoint || primary.empty()) return;
      m_killed_endpoint = primary;
      return m_fleet.KillEndpoint(primary);
    case Fault::kPrimaryIsolated:
      return m_fleet.Isolate(primary);
    case Fault::kReplicasBehind:
      for (const auto& name : m_fleet.EndpointNames()) {
        if (name != primary) m_fleet.SetLag(name, Milliseconds(1500));
      }
      return;
    case Fault::kHostKilled: {
      const int host = PickHost();
      m_fleet.KillHost(host);
      m_fleet.StartHost(m_fleet.ZoneOf(host));
      // Its callers get no answer; the others still wait for theirs.
      for (auto& session : m_sessions) {
        if (session.host != host) continue;
        session.busy = false;
        session.transaction.clear();
      }
      return;
    }
    case Fault::kHostPaused:
      return m_fleet.PauseHost(PickHost(), kPauseLength);
    case Fault::kHostDrained:
      if (m_drained_host >= 0) return;
      m_drained_host = PickHost();
      return m_fleet.DrainHost(m_drained_host);
    case Fault::kKeyWithdrawn:
      return ChangeConfig(control::OperatorVerb::kKeyWithdraw, "w2-key",
                          [this] {
                            if (!m_key_withdrawn) m_key_withdrawn = Now();
                          });
    case Fault::kPlatformDown:
      return m_fleet.SetPlatform(PlatformMode::kDown);
    case Fault::kPlatformLosesAnswers:
      return m_fleet.SetPlatform(PlatformMode::kLoseAnswers);
    case Fault::kPlatformCutFromZone:
      for (int i = 0; i < m_fleet.HostCount(); ++i) {
        if (m_fleet.ZoneOf(i) == "z1") {
          m_fleet.Cut(m_fleet.HostNode(i), {"platform"});
        }
      }
      return;
    case Fault::kOperatorsRace: {
      ChangeConfig(control::OperatorVerb::kEndpointUndrain, "e1", nullptr);
      for (int i = 0; i < 3; ++i) {
        Json::Value arguments;
        arguments["name"] = kGroup;
        arguments["endpoint"] = "e" + std::to_string(i + 1);
        if (!m_fleet.HostAlive(i)) continue;
        m_fleet.Operate(i, control::OperatorVerb::kPromote, arguments,
                        [](const Result<Json::Value>&) {});
      }
      return ChangeConfig(control::OperatorVerb::kZoneIn, "z2", nullptr);
    }
    case Fault::kConnectionsSilent:
      for (const auto& name : m_fleet.EndpointNames()) {
        m_fleet.SilenceConnections(name);
      }
      return;
    case Fault::kZoneCut:
    case Fault::kZoneCutFromAll:
      return m_fleet.CutZone("z1", fault == Fault::kZoneCutFromAll);
    case Fault::kZoneOutAndBack:
      return ChangeConfig(control::OperatorVerb::kZoneOut, "z1", [this] {
        for (const auto& name : m_fleet.EndpointNames()) {
          if (m_fleet.ZoneOfEndpoint(name) != "z1") continue;
          m_no_work.push_back(
              {Promise::kZoneOutGetsNoWork, name, Now(), std::nullopt});
        }
        m_zone_back_at = Now() + Milliseconds(12'000);
      });
    case Fault::kEndpointDrained:
      return ChangeConfig(control::OperatorVerb::kEndpointDrain, "e2", [this] {
        m_no_work.push_back(
            {Promise::kLeavingEndpointGetsNoWork, "e2", Now(), std::nullopt});
      });
    case Fault::kAnswersDuplicated:
      return m_fleet.DuplicateAnswers(true);
  }
}

void CellRun::Step() {
  const auto now = Now();
  if (m_second_at && now >= *m_second_at) {
    m_second_at.reset();
    Strike(m_cell.second);
  }
  if (!m_promoted && now - m_start >= kPromoteAt) {
    m_promoted = true;
    Json::Value arguments;
    arguments["name"] = kGroup;
    int host = 0;
    while (!m_fleet.HostAlive(host)) ++host;
    m_fleet.Operate(host, control::OperatorVerb::kPromote, arguments,
                    [](const Result<Json::Value>&) {});
  }
  for (auto& session : m_sessions) {
    if (!session.busy) StepSession(&session);
  }
  if (now >= m_next_flood) {
    m_next_flood = now + kFloodInterval;
    Flood();
  }
}

void CellRun::StepSession(Session* session) {
  if (m_random.Below(3) != 0) return;
  session->busy = true;
  if (session->uses_transactions && !session->transaction.empty()) {
    return StepTransaction(session);
  }
  if (m_random.Below(2) == 0) return SendRead(session);
  if (session->uses_transactions) return StepTransaction(session);
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

void CellRun::OnWrite(Session* session, const traffic::Reply& reply,
                      int writes) {
  session->busy = false;
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

void CellRun::SendWrite(Session* session) {
  auto request = m_fleet.Bump(session->workspace, session->row);
  request.token = session->token;
  request.deadline = Milliseconds(3'000);
  ++session->writes;
  if (session->keyed) {
    request.idempotency_key =
        session->row + "-" + std::to_string(session->writes);
  }
  session->host = PickHost();
  // A host that dies gives no answer: its write may or may not have run.
  ++session->model.unknown;
  m_fleet.Send(session->host, request,
               [this, session](const traffic::Reply& reply) {
                 --session->model.unknown;
                 OnWrite(session, reply, 1);
               });
}

void CellRun::SendRead(Session* session) {
  auto request = m_fleet.Read(session->workspace, session->row);
  request.token = session->token;
  request.deadline = Milliseconds(3'000);
  if (m_random.Below(4) == 0) request.max_staleness = Milliseconds(0);
  session->host = PickHost();
  m_fleet.Send(session->host, request,
               [this, session](const auto& reply) { OnRead(session, reply); });
}

void CellRun::OnRead(Session* session, const traffic::Reply& reply) {
  session->busy = false;
  CountReply(reply);
  if (reply.error) return;
  session->token = reply.token;
  const auto body = ParseJson(reply.body);
  const auto& rows = body ? body.value()["rows"] : Json::Value::nullSingleton();
  if (!rows.isArray() || rows.size() > 1 ||
      (rows.size() == 1 && rows[0][2].asString() != session->row)) {
    return Break(Promise::kWholeOwnAnswer, reply.body);
  }
  if (rows.size() == 1 && rows[0][1].asString() != session->workspace) {
    return Break(Promise::kRightWorkspaceAndKeys, reply.body);
  }
  const std::uint64_t version =
      rows.empty() ? 0 : std::stoull(rows[0][0].asString());
  const auto& model = session->model;
  if (version < model.acknowledged) {
    Break(Promise::kReadYourWrites, session->row + " read " + reply.body +
                                        " after " +
                                        std::to_string(model.acknowledged));
  }
  if (version > model.acknowledged + model.unknown) {
    Break(Promise::kNotRunIsTrue,
          session->row + " read " + reply.body + " after " +
              std::to_string(model.acknowledged) + " and " +
              std::to_string(model.unknown) + " unknown");
  }
}

void CellRun::StepTransaction(Session* session) {
  auto request = m_fleet.Bump(session->workspace, session->row);
  request.token = session->token;
  request.deadline = Milliseconds(3'000);
  if (session->transaction.empty()) {
    request.kind = RequestKind::kBegin;
    request.statements.clear();
    session->host = PickHost();
    session->transaction_writes = 0;
    return m_fleet.Send(
        session->host, request, [session](const traffic::Reply& reply) {
          session->busy = false;
          if (reply.error) return;
          const auto body = ParseJson(reply.body);
          session->transaction = StringOr(body.value(), "transaction");
        });
  }
  request.transaction = session->transaction;
  if (session->transaction_writes < 2) {
    request.kind = RequestKind::kTransactionExecute;
    return m_fleet.Send(session->host, request,
                        [session](const traffic::Reply& reply) {
                          session->busy = false;
                          ++session->transaction_writes;
                          // Whatever went wrong, nothing was committed.
                          if (reply.error) session->transaction.clear();
                        });
  }
  request.kind = RequestKind::kCommit;
  request.statements.clear();
  ++session->writes;
  if (session->keyed) {
    request.idempotency_key =
        session->row + "-" + std::to_string(session->writes);
  }
  session->transaction.clear();
  session->model.unknown += 2;
  m_fleet.Send(session->host, request,
               [this, session](const traffic::Reply& reply) {
                 session->model.unknown -= 2;
                 OnWrite(session, reply, 2);
               });
}

// A second workspace sends far more than its rate, to every host.
void CellRun::Flood() {
  auto request = m_fleet.Read("w2", "x");
  request.deadline = Milliseconds(1'000);
  const auto sent = Now();
  ++m_flood_sent;
  m_fleet.Send(PickHost(), request, [this, sent](const auto& reply) {
    if (reply.error) return;
    ++m_flood_run;
    if (m_key_withdrawn && sent - *m_key_withdrawn > kKeyLimit) {
      Break(Promise::kRightWorkspaceAndKeys,
            "a withdrawn key was honoured after the limit");
    }
  });
}

void CellRun::CheckEveryStep() {
  const auto now = Now();
  if (m_heal_at && now >= *m_heal_at) {
    m_heal_at.reset();
    m_fleet.Heal();
    m_fleet.SetPlatform(PlatformMode::kUp);
    if (m_killed_endpoint) m_fleet.RestartEndpoint(*m_killed_endpoint);
    m_killed_endpoint.reset();
  }
  if (m_zone_back_at && now >= *m_zone_back_at) {
    m_zone_back_at.reset();
    std::erase_if(m_no_work, [](const auto& item) {
      return item.promise == Promise::kZoneOutGetsNoWork;
    });
    ChangeConfig(control::OperatorVerb::kZoneIn, "z1", nullptr);
  }
  for (auto& item : m_no_work) {
    if (now - item.since < kNoWorkLimit) continue;
    const auto work = m_fleet.WorkAt(item.endpoint);
    if (!item.baseline) item.baseline = work;
    if (work > *item.baseline) {
      Break(item.promise, item.endpoint + " got new work");
      item.baseline = work;
    }
  }
  m_versions.resize(static_cast<std::size_t>(m_fleet.HostCount()), 0);
  for (int i = 0; i < m_fleet.HostCount(); ++i) {
    if (!m_fleet.HostAlive(i)) continue;
    const auto version = m_fleet.Control(i).Configuration().Version();
    auto& last = m_versions[static_cast<std::size_t>(i)];
    if (version < last) {
      Break(Promise::kConfigurationHolds, "a configuration reverted");
    }
    last = version;
  }
  const auto elapsed = std::chrono::duration<double>(now - m_start).count();
  if (static_cast<double>(m_flood_run) >
      kFloodBurst + kFloodRate * elapsed + 1e-6) {
    Break(Promise::kRateAndBurst,
          std::to_string(m_flood_run) + " run in " + std::to_string(elapsed));
    m_flood_run = 0;
  }
  if (m_fleet.StepsWithKey() > 0) {
    Break(Promise::kRightWorkspaceAndKeys, "an endpoint saw a key");
  }
}

void CellRun::ReadFinal(Session* session) {
  auto request = m_fleet.Read(session->workspace, session->row);
  request.max_staleness = Milliseconds(0);
  for (int i = 0; i < 10; ++i) {
    const auto reply = m_fleet.Call(PickHost(), request);
    if (!reply || reply->error) {
      m_fleet.RunFor(Milliseconds(300));
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
      Break(Promise::kNoAcknowledgementByOldPrimary, detail);
    }
    if (version > model.acknowledged + model.unknown) {
      Break(session->keyed ? Promise::kAtMostOnce : Promise::kNotRunIsTrue,
            detail);
    }
    if (session->uses_transactions && version % 2 != 0) {
      Break(Promise::kTransactionsNeverMix, detail);
    }
    return;
  }
  Break(Promise::kWholeOwnAnswer, "no answer after recovery");
}

void CellRun::CheckFinal() {
  for (auto& session : m_sessions) ReadFinal(&session);
  if (Now() - m_accepted_at > kConfigLimit) {
    for (int i = 0; i < m_fleet.HostCount(); ++i) {
      if (!m_fleet.HostAlive(i) || i == m_drained_host) continue;
      if (m_fleet.Control(i).Configuration().Version() < m_accepted) {
        Break(Promise::kConfigurationHolds,
              m_fleet.HostNode(i) + " lacks an accepted configuration");
      }
    }
  }
  if (m_drained_host >= 0 && m_fleet.HostAlive(m_drained_host) &&
      m_fleet.Traffic(m_drained_host).OpenRequests() > 0) {
    Break(Promise::kGracefulShutdownCutsNothing, "a request was cut");
  }
}

}  // namespace

CellResult RunCell(const Cell& cell) { return CellRun(cell).Run(); }

}  // namespace tiller::test
