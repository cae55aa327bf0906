// Implementation of the load generator.
#include "Load/load_runner.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <cmath>
#include <sstream>
#include <utility>

#include "Common/json.h"
#include "Common/names.h"

namespace tiller::load {
namespace {

using net::http::verb;

constexpr std::size_t kMaxIdleConnections = 256;
constexpr Milliseconds kReadinessInterval{250};
constexpr Milliseconds kControlTimeout{500};
constexpr Milliseconds kHttpTimeoutMargin{1'000};
constexpr Milliseconds kInFlightTimeout{15'000};
constexpr Milliseconds kFinalCheckTimeout{5'000};
constexpr int kMaxFinalCheckRetries = 20;
constexpr int kMaxAttempts = 3;
constexpr double kWriteShare = 0.2;
constexpr double kStrictReadShare = 0.1;
constexpr double kListReadShare = 0.1;
constexpr int kListReadMaxStalenessMs = 1000;
constexpr int kTripCount = 20;

struct WorkloadStatements {
  const char* create;
  const char* update;
  const char* read;
  const char* list;
};

// The status column holds the workspace's name, so that each answer shows which
// workspace's row was read.
constexpr WorkloadStatements kQuoteStatements = {
    "INSERT INTO quotes (id, flue_mm, status, version) VALUES ($1, 150, $2, 1)",
    "UPDATE quotes SET version = version + 1 WHERE id = $1",
    "SELECT id, status, version FROM quotes WHERE id = $1",
    "SELECT count(*) FROM grants"};
constexpr WorkloadStatements kBookingStatements = {
    "INSERT INTO bookings (id, trip, rider, status, version) "
    "VALUES ($1, $3, $1, $2, 1)",
    "UPDATE bookings SET version = version + 1 WHERE id = $1",
    "SELECT id, status, version FROM bookings WHERE id = $1",
    "SELECT rider, status FROM bookings WHERE trip = $1 LIMIT 20"};

const WorkloadStatements& StatementsFor(Workload workload) {
  return workload == Workload::kQuotes ? kQuoteStatements : kBookingStatements;
}

std::map<std::string, bool> WithinRateByWorkspace(const LoadOptions& options) {
  std::map<std::string, bool> out;
  for (const auto& item : options.workspaces) out[item.name] = item.within_rate;
  return out;
}

}  // namespace

LoadRunner::LoadRunner(boost::asio::io_context* io, LoadOptions options)
    : m_io(io),
      m_options(std::move(options)),
      m_client(io, kMaxIdleConnections),
      m_random_engine(m_options.seed),
      m_report(m_options.deadline, WithinRateByWorkspace(m_options)),
      m_idle_sessions(m_options.workspaces.size()),
      m_host_ready(m_options.callers.size(), true),
      m_readiness_timer(std::make_unique<boost::asio::steady_timer>(*io)) {}

Json::Value LoadRunner::Run() {
  const auto keep_running = boost::asio::make_work_guard(*m_io);
  const auto metrics_before = FetchMetrics();
  m_start = std::chrono::steady_clock::now();
  m_end = m_start + m_options.duration;
  PollReadiness();
  for (std::size_t i = 0; i < m_options.workspaces.size(); ++i) {
    m_arrival_timers.push_back(
        std::make_unique<boost::asio::steady_timer>(*m_io));
    ScheduleArrival(i, m_start);
  }
  m_io->run_until(m_end);
  WaitForInFlight(kInFlightTimeout);
  const auto metrics_after = FetchMetrics();
  CheckFinalState();
  auto out = m_report.ToJson();
  const auto increase = [&](const char* name) {
    const double value = metrics_after.get(name, 0).asDouble() -
                         metrics_before.get(name, 0).asDouble();
    return std::max(0.0, value);
  };
  const double replica = increase("reads_replica");
  const double primary = increase("reads_primary");
  out["replica_read_share"] =
      replica + primary > 0 ? replica / (replica + primary) : 0.0;
  for (const auto& name : metrics_after.getMemberNames()) {
    const double value = increase(name.c_str());
    if (value > 0 && name.find("_us") == std::string::npos) {
      out["counters"][name] = value;
    }
  }
  out["sessions"] = Json::UInt64(m_sessions.size());
  out["sessions_without_final_check"] = Json::UInt64(m_unchecked_sessions);
  return out;
}

void LoadRunner::WaitForInFlight(Milliseconds timeout) {
  const auto until = std::chrono::steady_clock::now() + timeout;
  while (m_requests_in_flight > 0 && std::chrono::steady_clock::now() < until) {
    m_io->run_for(Milliseconds(20));
  }
}

void LoadRunner::ScheduleArrival(std::size_t workspace, Instant at) {
  const double rate = m_options.workspaces[workspace].rate;
  if (rate <= 0) return;
  const double interval_s = -std::log(1.0 - Uniform()) / rate;
  const auto next = at + std::chrono::duration_cast<Duration>(
                             std::chrono::duration<double>(interval_s));
  if (next >= m_end) return;
  auto& timer = *m_arrival_timers[workspace];
  timer.expires_at(next);
  timer.async_wait([this, workspace, next](const auto& canceled) {
    if (canceled) return;
    StartRequest(workspace, next);
    ScheduleArrival(workspace, next);
  });
}

LoadRunner::Session* LoadRunner::AcquireSession(std::size_t workspace) {
  auto& idle = m_idle_sessions[workspace];
  if (!idle.empty()) {
    const auto pick =
        static_cast<std::size_t>(Uniform() * static_cast<double>(idle.size()));
    std::swap(idle[pick], idle.back());
    auto* session = idle.back();
    idle.pop_back();
    return session;
  }
  Session session;
  const auto& name = m_options.workspaces[workspace].name;
  session.model = std::make_unique<SessionModel>(
      name + "-" + std::to_string(m_options.seed) + "-" +
          std::to_string(m_sessions.size()),
      name);
  session.workspace = workspace;
  m_sessions.push_back(std::move(session));
  return &m_sessions.back();
}

Operation LoadRunner::PickOperation(const Session& session) {
  if (session.model->MustCreate()) return Operation::kWrite;
  const double pick = Uniform();
  if (pick < kWriteShare) return Operation::kWrite;
  if (pick < kWriteShare + kStrictReadShare) return Operation::kStrictRead;
  if (pick < kWriteShare + kStrictReadShare + kListReadShare) {
    return Operation::kListRead;
  }
  return Operation::kRead;
}

void LoadRunner::StartRequest(std::size_t workspace, Instant intended_start) {
  auto pending = std::make_shared<PendingRequest>();
  pending->session = AcquireSession(workspace);
  pending->operation = PickOperation(*pending->session);
  pending->intended_start = intended_start;
  if (pending->operation == Operation::kWrite) {
    pending->idempotency_key = pending->session->model->Id() + "-" +
                               std::to_string(++pending->session->writes);
  }
  ++m_requests_in_flight;
  Send(std::move(pending));
}

std::size_t LoadRunner::PickHost(std::size_t workspace) {
  const auto count = m_options.callers.size();
  const auto preferred = workspace % count;
  if (m_host_ready[preferred] && Uniform() < m_options.skew) return preferred;
  const auto first =
      static_cast<std::size_t>(Uniform() * static_cast<double>(count));
  for (std::size_t i = 0; i < count; ++i) {
    if (m_host_ready[(first + i) % count]) return (first + i) % count;
  }
  return first;
}

net::HttpRequest LoadRunner::MakeRequest(const PendingRequest& pending) const {
  const auto& statements = StatementsFor(m_options.workload);
  const auto& session = *pending.session;
  const auto& id = session.model->Id();
  Json::Value body;
  body["deadline_ms"] = Json::Int64(m_options.deadline.count());
  auto& parameters = body["parameters"] = Json::Value(Json::arrayValue);
  const auto trip =
      "trip-" + std::to_string(std::hash<std::string>()(id) % kTripCount);
  switch (pending.operation) {
    case Operation::kWrite:
      body["statement"] =
          session.model->MustCreate() ? statements.create : statements.update;
      parameters.append(id);
      if (session.model->MustCreate()) {
        parameters.append(session.model->Workspace());
        if (m_options.workload == Workload::kBookings) parameters.append(trip);
      }
      break;
    case Operation::kListRead:
      body["statement"] = statements.list;
      body["max_staleness_ms"] = kListReadMaxStalenessMs;
      if (m_options.workload == Workload::kBookings) parameters.append(trip);
      break;
    case Operation::kStrictRead:
      body["max_staleness_ms"] = 0;
      [[fallthrough]];
    case Operation::kRead:
      body["statement"] = statements.read;
      parameters.append(id);
      break;
  }
  auto request = net::MakeRequest(verb::post, "/v1/execute", ToText(body));
  request.set(net::http::field::authorization,
              "Bearer " + m_options.workspaces[session.workspace].key);
  if (!session.token.empty()) request.set("Tiller-Session", session.token);
  if (!pending.idempotency_key.empty()) {
    request.set("Idempotency-Key", pending.idempotency_key);
  }
  return request;
}

void LoadRunner::Send(std::shared_ptr<PendingRequest> pending) {
  ++pending->attempts;
  const auto host = PickHost(pending->session->workspace);
  m_client.Send(m_options.callers[host], MakeRequest(*pending),
                m_options.deadline + kHttpTimeoutMargin,
                [this, pending, host](const Result<net::HttpResponse>& answer) {
                  // As a load balancer does, retry on another host if the
                  // connection failed and the request was never sent.
                  const bool not_connected =
                      !answer &&
                      answer.error().code == ErrorCode::kConnectFailed;
                  if (not_connected) m_host_ready[host] = false;
                  if (not_connected && pending->attempts < kMaxAttempts) {
                    return Send(pending);
                  }
                  OnAnswer(pending, answer);
                });
}

void LoadRunner::OnAnswer(const std::shared_ptr<PendingRequest>& pending,
                          const Result<net::HttpResponse>& answer) {
  --m_requests_in_flight;
  auto* session = pending->session;
  RequestResult result;
  result.operation = pending->operation;
  result.workspace = session->model->Workspace();
  result.intended_start = pending->intended_start - m_start;
  result.latency = std::chrono::steady_clock::now() - pending->intended_start;
  const auto body = answer ? ParseJson(answer.value().body())
                           : Result<Json::Value>(answer.error());
  result.answered = answer && body && answer.value().result_int() == 200;
  if (result.answered) {
    session->token = std::string(answer.value()["Tiller-Session"]);
    Breach breach = Breach::kNone;
    if (pending->operation == Operation::kWrite) {
      breach = session->model->CheckWriteAnswer(body.value());
      session->model->OnWriteAnswered();
    } else if (pending->operation != Operation::kListRead) {
      breach = session->model->CheckRead(body.value());
    }
    m_report.AddBreach(
        breach, session->model->Id() + " " +
                    std::string(NameOf(kOperationNames, pending->operation)) +
                    " " + answer.value().body());
  } else {
    result.error = body ? StringOr(body.value(), "code", "no_answer")
                        : std::string(NameOf(body.error().code));
    result.run_outcome = RunOutcome::kUnknown;
    if (body) {
      result.run_outcome =
          ValueOf<RunOutcome>(kRunOutcomeNames,
                              StringOr(body.value(), "outcome"))
              .value_or(RunOutcome::kUnknown);
    } else if (body.error().code == ErrorCode::kConnectFailed) {
      result.run_outcome = RunOutcome::kNotRun;
    }
    if (pending->operation == Operation::kWrite) {
      session->model->OnWriteFailed(result.run_outcome);
    }
  }
  m_report.Add(result);
  // If the outcome of a session's first write is unknown, its row may or may
  // not exist, so it is not known whether the next write has to create it. The
  // session gets no more requests until the final check.
  const bool in_doubt = pending->operation == Operation::kWrite &&
                        !result.answered &&
                        result.run_outcome == RunOutcome::kUnknown &&
                        session->model->MustCreate();
  if (!in_doubt) m_idle_sessions[session->workspace].push_back(session);
}

void LoadRunner::PollReadiness() {
  if (!m_polling_readiness) return;
  for (std::size_t i = 0; i < m_options.controls.size(); ++i) {
    m_client.Send(
        m_options.controls[i], net::MakeRequest(verb::get, "/ready"),
        kControlTimeout, [this, i](const Result<net::HttpResponse>& answer) {
          m_host_ready[i] = answer && answer.value().result_int() == 200;
        });
  }
  m_readiness_timer->expires_after(kReadinessInterval);
  m_readiness_timer->async_wait([this](const auto& canceled) {
    if (!canceled) PollReadiness();
  });
}

void LoadRunner::CheckFinalState() {
  // Few checks run at the same time, so that they keep within each workspace's
  // rate.
  for (auto& session : m_sessions) {
    ++m_requests_in_flight;
    CheckFinalStateOf(&session, 0);
    while (m_requests_in_flight > 16) m_io->run_for(Milliseconds(1));
  }
  WaitForInFlight(Milliseconds(60'000));
  m_polling_readiness = false;
  m_readiness_timer->cancel();
  if (m_requests_in_flight > 0) {
    m_report.AddBreach(Breach::kWrongAnswer, "the final check did not end");
  }
}

void LoadRunner::CheckFinalStateOf(Session* session, int retries) {
  PendingRequest pending;
  pending.session = session;
  pending.operation = Operation::kStrictRead;
  auto request = MakeRequest(pending);
  const auto host = PickHost(session->workspace);
  m_client.Send(
      m_options.callers[host], std::move(request), kFinalCheckTimeout,
      [this, session, retries](const Result<net::HttpResponse>& answer) {
        if (answer && answer.value().result_int() == 200) {
          --m_requests_in_flight;
          const auto body = ParseJson(answer.value().body());
          const auto breach = body ? session->model->CheckFinal(body.value())
                                   : Breach::kWrongAnswer;
          return m_report.AddBreach(
              breach, session->model->Id() + " final " + answer.value().body());
        }
        // A workspace whose key was withdrawn can't be read any more.
        const auto refusal = answer ? ParseJson(answer.value().body())
                                    : Result<Json::Value>(answer.error());
        if (refusal && StringOr(refusal.value(), "code") == "key_withdrawn") {
          --m_requests_in_flight;
          ++m_unchecked_sessions;
          return;
        }
        if (retries < kMaxFinalCheckRetries) {
          auto timer = std::make_shared<boost::asio::steady_timer>(
              *m_io, Milliseconds(100 * (retries + 1)));
          return timer->async_wait(
              [this, session, retries, timer](const auto&) {
                CheckFinalStateOf(session, retries + 1);
              });
        }
        --m_requests_in_flight;
        m_report.AddBreach(
            Breach::kLostWrite,
            session->model->Id() + " final: no answer " +
                (answer ? answer.value().body() : answer.error().detail));
      });
}

Json::Value LoadRunner::FetchMetrics() {
  Json::Value totals(Json::objectValue);
  std::size_t waiting = m_options.controls.size();
  for (const auto& control : m_options.controls) {
    m_client.Send(control, net::MakeRequest(verb::get, "/metrics"),
                  kControlTimeout,
                  [&](const Result<net::HttpResponse>& answer) {
                    --waiting;
                    if (!answer) return;
                    std::istringstream lines(answer.value().body());
                    std::string name;
                    double value = 0;
                    while (lines >> name >> value) {
                      totals[name] = totals.get(name, 0).asDouble() + value;
                    }
                  });
  }
  while (waiting > 0) m_io->run_for(Milliseconds(5));
  return totals;
}

}  // namespace tiller::load
