// Open-loop load: requests start at Poisson times whether or not earlier ones
// have been answered, and latency counts from the intended start.
//
// quotes: Quote Request (write), Lookup (read), Rebate Check (strict read) and
// a count of grants (list). bookings: booking, then check-ins (writes), rider
// status (read), the newest status (strict read) and the trip's roster (list).
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Load/load_report.h"
#include "Net/http_client.h"

namespace tiller::load {

enum class Workload { kQuotes, kBookings };
inline constexpr std::array<std::string_view, 2> kWorkloadNames = {"quotes",
                                                                   "bookings"};

struct WorkspaceLoad {
  std::string name;
  std::string key;
  double rate = 0;  // requests a second to offer
  bool in_rate = true;
};

struct LoadOptions {
  Workload workload = Workload::kQuotes;
  std::vector<WorkspaceLoad> workspaces;
  std::vector<net::Authority> callers;   // callers' addresses of the hosts
  std::vector<net::Authority> controls;  // control addresses, same order
  Milliseconds duration{10'000};
  Milliseconds deadline{2'000};
  // Share of a workspace's requests that go to one host.
  double skew = 0;
  std::uint64_t seed = 1;
};

class LoadRunner {
 public:
  LoadRunner(boost::asio::io_context* io, LoadOptions options);
  // Runs to the end, checks the final state and returns the report.
  Json::Value Run();

 private:
  struct Session {
    std::unique_ptr<SessionModel> model;
    std::string token;
    std::size_t workspace = 0;
    std::uint64_t writes = 0;
  };
  struct Attempt {
    Session* session = nullptr;
    Operation operation = Operation::kRead;
    Instant intended;
    std::string idempotency_key;
    int tries = 0;
  };

  void ScheduleArrival(std::size_t workspace, Instant at);
  void Arrive(std::size_t workspace, Instant intended);
  Session* TakeSession(std::size_t workspace);
  Operation PickOperation(const Session& session);
  void Send(std::shared_ptr<Attempt> attempt);
  void OnAnswer(const std::shared_ptr<Attempt>& attempt,
                const Result<net::HttpResponse>& answer);
  net::HttpRequest MakeRequest(const Attempt& attempt) const;
  std::size_t PickHost(std::size_t workspace);
  void PollReadiness();
  void CheckFinalState();
  void CheckFinalOf(Session* session, int tries);
  Json::Value FetchMetrics();
  void DrainInFlight(Milliseconds limit);
  double Uniform() { return m_uniform(m_engine); }

  boost::asio::io_context* const m_io;
  const LoadOptions m_options;
  net::HttpClient m_client;
  std::mt19937_64 m_engine;
  std::uniform_real_distribution<double> m_uniform{0.0, 1.0};
  LoadReport m_report;
  Instant m_start;
  Instant m_end;
  std::deque<Session> m_sessions;
  // Sessions without a request in flight, per workspace.
  std::vector<std::vector<Session*>> m_idle;
  std::vector<std::unique_ptr<boost::asio::steady_timer>> m_timers;
  // As a balancer sees it.
  std::vector<bool> m_ready;
  std::unique_ptr<boost::asio::steady_timer> m_ready_timer;
  std::uint64_t m_in_flight = 0;
  std::uint64_t m_unchecked = 0;
  bool m_polling = true;
};

}  // namespace tiller::load
