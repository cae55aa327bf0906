// Implementation of the load tool's run.
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
constexpr Milliseconds kReadyInterval{250};
constexpr Milliseconds kReadyTimeout{500};
constexpr Milliseconds kHttpSlack{1'000};
constexpr Milliseconds kDrainLimit{15'000};
constexpr Milliseconds kFinalDeadline{5'000};
constexpr int kFinalTries = 20;
constexpr int kMaxTries = 3;
constexpr double kWriteShare = 0.2;
constexpr double kStrictReadShare = 0.1;
constexpr double kListReadShare = 0.1;
constexpr int kListStalenessMs = 1000;
constexpr int kTrips = 20;

struct Sql {
  const char* create;
  const char* change;
  const char* read;
  const char* list;
};

// The column that carries the workspace's name shows whose row was read.
constexpr Sql kQuoteSql = {
    "INSERT INTO quotes (id, flue_mm, status, version) VALUES ($1, 150, $2, 1)",
    "UPDATE quotes SET version = version + 1 WHERE id = $1",
    "SELECT id, status, version FROM quotes WHERE id = $1",
    "SELECT count(*) FROM grants"};
constexpr Sql kBookingSql = {
    "INSERT INTO bookings (id, trip, rider, status, version) "
    "VALUES ($1, $3, $1, $2, 1)",
    "UPDATE bookings SET version = version + 1 WHERE id = $1",
    "SELECT id, status, version FROM bookings WHERE id = $1",
    "SELECT rider, status FROM bookings WHERE trip = $1 LIMIT 20"};

const Sql& SqlOf(Workload workload) {
  return workload == Workload::kQuotes ? kQuoteSql : kBookingSql;
}

std::map<std::string, bool> InRate(const LoadOptions& options) {
  std::map<std::string, bool> out;
  for (const auto& item : options.workspaces) out[item.name] = item.in_rate;
  return out;
}

}  // namespace

LoadRunner::LoadRunner(boost::asio::io_context* io, LoadOptions options)
    : m_io(io),
      m_options(std::move(options)),
      m_client(io, kMaxIdleConnections),
      m_engine(m_options.seed),
      m_report(m_options.deadline, InRate(m_options)),
      m_idle(m_options.workspaces.size()),
      m_ready(m_options.callers.size(), true),
      m_ready_timer(std::make_unique<boost::asio::steady_timer>(*io)) {}

Json::Value LoadRunner::Run() {
  const auto keep_running = boost::asio::make_work_guard(*m_io);
  const auto before = FetchMetrics();
  m_start = std::chrono::steady_clock::now();
  m_end = m_start + m_options.duration;
  PollReadiness();
  for (std::size_t i = 0; i < m_options.workspaces.size(); ++i) {
    m_timers.push_back(std::make_unique<boost::asio::steady_timer>(*m_io));
    ScheduleArrival(i, m_start);
  }
  m_io->run_until(m_end);
  DrainInFlight(kDrainLimit);
  const auto after = FetchMetrics();
  CheckFinalState();
  auto out = m_report.ToJson();
  const auto rise = [&](const char* name) {
    const double value =
        after.get(name, 0).asDouble() - before.get(name, 0).asDouble();
    return std::max(0.0, value);
  };
  const double replica = rise("reads_replica");
  const double primary = rise("reads_primary");
  out["replica_read_share"] =
      replica + primary > 0 ? replica / (replica + primary) : 0.0;
  for (const auto& name : after.getMemberNames()) {
    const double value = rise(name.c_str());
    if (value > 0 && name.find("_us") == std::string::npos) {
      out["counters"][name] = value;
    }
  }
  out["sessions"] = Json::UInt64(m_sessions.size());
  out["sessions_without_final_check"] = Json::UInt64(m_unchecked);
  return out;
}

void LoadRunner::DrainInFlight(Milliseconds limit) {
  const auto until = std::chrono::steady_clock::now() + limit;
  while (m_in_flight > 0 && std::chrono::steady_clock::now() < until) {
    m_io->run_for(Milliseconds(20));
  }
}

void LoadRunner::ScheduleArrival(std::size_t workspace, Instant at) {
  const double rate = m_options.workspaces[workspace].rate;
  if (rate <= 0) return;
  const double wait = -std::log(1.0 - Uniform()) / rate;
  const auto next = at + std::chrono::duration_cast<Duration>(
                             std::chrono::duration<double>(wait));
  if (next >= m_end) return;
  auto& timer = *m_timers[workspace];
  timer.expires_at(next);
  timer.async_wait([this, workspace, next](const auto& stopped) {
    if (stopped) return;
    Arrive(workspace, next);
    ScheduleArrival(workspace, next);
  });
}

LoadRunner::Session* LoadRunner::TakeSession(std::size_t workspace) {
  auto& idle = m_idle[workspace];
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

void LoadRunner::Arrive(std::size_t workspace, Instant intended) {
  auto attempt = std::make_shared<Attempt>();
  attempt->session = TakeSession(workspace);
  attempt->operation = PickOperation(*attempt->session);
  attempt->intended = intended;
  if (attempt->operation == Operation::kWrite) {
    attempt->idempotency_key = attempt->session->model->Id() + "-" +
                               std::to_string(++attempt->session->writes);
  }
  ++m_in_flight;
  Send(std::move(attempt));
}

std::size_t LoadRunner::PickHost(std::size_t workspace) {
  const auto count = m_options.callers.size();
  const auto home = workspace % count;
  if (m_ready[home] && Uniform() < m_options.skew) return home;
  const auto first =
      static_cast<std::size_t>(Uniform() * static_cast<double>(count));
  for (std::size_t i = 0; i < count; ++i) {
    if (m_ready[(first + i) % count]) return (first + i) % count;
  }
  return first;
}

net::HttpRequest LoadRunner::MakeRequest(const Attempt& attempt) const {
  const auto& sql = SqlOf(m_options.workload);
  const auto& session = *attempt.session;
  const auto& id = session.model->Id();
  Json::Value body;
  body["deadline_ms"] = Json::Int64(m_options.deadline.count());
  auto& parameters = body["parameters"] = Json::Value(Json::arrayValue);
  const auto trip =
      "trip-" + std::to_string(std::hash<std::string>()(id) % kTrips);
  switch (attempt.operation) {
    case Operation::kWrite:
      body["statement"] = session.model->MustCreate() ? sql.create : sql.change;
      parameters.append(id);
      if (session.model->MustCreate()) {
        parameters.append(session.model->Workspace());
        if (m_options.workload == Workload::kBookings) parameters.append(trip);
      }
      break;
    case Operation::kListRead:
      body["statement"] = sql.list;
      body["max_staleness_ms"] = kListStalenessMs;
      if (m_options.workload == Workload::kBookings) parameters.append(trip);
      break;
    case Operation::kStrictRead:
      body["max_staleness_ms"] = 0;
      [[fallthrough]];
    case Operation::kRead:
      body["statement"] = sql.read;
      parameters.append(id);
      break;
  }
  auto request = net::MakeRequest(verb::post, "/v1/execute", ToText(body));
  request.set(net::http::field::authorization,
              "Bearer " + m_options.workspaces[session.workspace].key);
  if (!session.token.empty()) request.set("Tiller-Session", session.token);
  if (!attempt.idempotency_key.empty()) {
    request.set("Idempotency-Key", attempt.idempotency_key);
  }
  return request;
}

void LoadRunner::Send(std::shared_ptr<Attempt> attempt) {
  ++attempt->tries;
  const auto host = PickHost(attempt->session->workspace);
  m_client.Send(m_options.callers[host], MakeRequest(*attempt),
                m_options.deadline + kHttpSlack,
                [this, attempt, host](const Result<net::HttpResponse>& answer) {
                  // A balancer sends what was never taken to another host.
                  const bool not_taken =
                      !answer &&
                      answer.error().code == ErrorCode::kConnectFailed;
                  if (not_taken) m_ready[host] = false;
                  if (not_taken && attempt->tries < kMaxTries) {
                    return Send(attempt);
                  }
                  OnAnswer(attempt, answer);
                });
}

void LoadRunner::OnAnswer(const std::shared_ptr<Attempt>& attempt,
                          const Result<net::HttpResponse>& answer) {
  --m_in_flight;
  auto* session = attempt->session;
  Outcome outcome;
  outcome.operation = attempt->operation;
  outcome.workspace = session->model->Workspace();
  outcome.intended = attempt->intended - m_start;
  outcome.latency = std::chrono::steady_clock::now() - attempt->intended;
  const auto body = answer ? ParseJson(answer.value().body())
                           : Result<Json::Value>(answer.error());
  outcome.answered = answer && body && answer.value().result_int() == 200;
  if (outcome.answered) {
    session->token = std::string(answer.value()["Tiller-Session"]);
    Breach breach = Breach::kNone;
    if (attempt->operation == Operation::kWrite) {
      breach = session->model->CheckWriteAnswer(body.value());
      session->model->OnWriteAnswered();
    } else if (attempt->operation != Operation::kListRead) {
      breach = session->model->CheckRead(body.value());
    }
    m_report.AddBreach(
        breach, session->model->Id() + " " +
                    std::string(NameOf(kOperationNames, attempt->operation)) +
                    " " + answer.value().body());
  } else {
    outcome.error = body ? StringOr(body.value(), "code", "no_answer")
                         : std::string(NameOf(body.error().code));
    outcome.ran = RunOutcome::kUnknown;
    if (body) {
      outcome.ran = ValueOf<RunOutcome>(kRunOutcomeNames,
                                        StringOr(body.value(), "outcome"))
                        .value_or(RunOutcome::kUnknown);
    } else if (body.error().code == ErrorCode::kConnectFailed) {
      outcome.ran = RunOutcome::kNotRun;
    }
    if (attempt->operation == Operation::kWrite) {
      session->model->OnWriteRefused(outcome.ran);
    }
  }
  m_report.Add(outcome);
  // A session whose first write is in doubt can't know which statement comes
  // next; it stays aside until the final check.
  const bool in_doubt =
      attempt->operation == Operation::kWrite && !outcome.answered &&
      outcome.ran == RunOutcome::kUnknown && session->model->MustCreate();
  if (!in_doubt) m_idle[session->workspace].push_back(session);
}

void LoadRunner::PollReadiness() {
  if (!m_polling) return;
  for (std::size_t i = 0; i < m_options.controls.size(); ++i) {
    m_client.Send(m_options.controls[i], net::MakeRequest(verb::get, "/ready"),
                  kReadyTimeout,
                  [this, i](const Result<net::HttpResponse>& answer) {
                    m_ready[i] = answer && answer.value().result_int() == 200;
                  });
  }
  m_ready_timer->expires_after(kReadyInterval);
  m_ready_timer->async_wait([this](const auto& stopped) {
    if (!stopped) PollReadiness();
  });
}

void LoadRunner::CheckFinalState() {
  // One at a time for each workspace, so that the check keeps within its rate.
  for (auto& session : m_sessions) {
    ++m_in_flight;
    CheckFinalOf(&session, 0);
    while (m_in_flight > 16) m_io->run_for(Milliseconds(1));
  }
  DrainInFlight(Milliseconds(60'000));
  m_polling = false;
  m_ready_timer->cancel();
  if (m_in_flight > 0) {
    m_report.AddBreach(Breach::kWrongAnswer, "the final check did not end");
  }
}

void LoadRunner::CheckFinalOf(Session* session, int tries) {
  Attempt attempt;
  attempt.session = session;
  attempt.operation = Operation::kStrictRead;
  auto request = MakeRequest(attempt);
  const auto host = PickHost(session->workspace);
  m_client.Send(
      m_options.callers[host], std::move(request), kFinalDeadline,
      [this, session, tries](const Result<net::HttpResponse>& answer) {
        if (answer && answer.value().result_int() == 200) {
          --m_in_flight;
          const auto body = ParseJson(answer.value().body());
          const auto breach = body ? session->model->CheckFinal(body.value())
                                   : Breach::kWrongAnswer;
          return m_report.AddBreach(
              breach, session->model->Id() + " final " + answer.value().body());
        }
        // A workspace whose key was withdrawn can't be asked any more.
        const auto refusal = answer ? ParseJson(answer.value().body())
                                    : Result<Json::Value>(answer.error());
        if (refusal && StringOr(refusal.value(), "code") == "key_withdrawn") {
          --m_in_flight;
          ++m_unchecked;
          return;
        }
        if (tries < kFinalTries) {
          auto timer = std::make_shared<boost::asio::steady_timer>(
              *m_io, Milliseconds(100 * (tries + 1)));
          return timer->async_wait([this, session, tries, timer](const auto&) {
            CheckFinalOf(session, tries + 1);
          });
        }
        --m_in_flight;
        m_report.AddBreach(
            Breach::kLostWrite,
            session->model->Id() + " final: no answer " +
                (answer ? answer.value().body() : answer.error().detail));
      });
}

Json::Value LoadRunner::FetchMetrics() {
  Json::Value sums(Json::objectValue);
  std::size_t waiting = m_options.controls.size();
  for (const auto& control : m_options.controls) {
    m_client.Send(control, net::MakeRequest(verb::get, "/metrics"),
                  kReadyTimeout, [&](const Result<net::HttpResponse>& answer) {
                    --waiting;
                    if (!answer) return;
                    std::istringstream lines(answer.value().body());
                    std::string name;
                    double value = 0;
                    while (lines >> name >> value) {
                      sums[name] = sums.get(name, 0).asDouble() + value;
                    }
                  });
  }
  while (waiting > 0) m_io->run_for(Milliseconds(5));
  return sums;
}

}  // namespace tiller::load
