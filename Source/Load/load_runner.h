// Open-loop load generator: requests arrive as a Poisson process, whether or
// not earlier ones have been answered, and latency is measured from the
// intended start.
//
// Operations of the workloads:
// quotes: Quote Request (write), Lookup (read), Rebate Check (strict read) and
// a count of grants (list).
// bookings: booking, then check-ins (writes), rider status (read), the newest
// status (strict read) and the trip's roster (list).
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
  double rate = 0;  // offered requests per second
  // Whether `rate` is within the workspace's configured rate.
  bool within_rate = true;
};

struct LoadOptions {
  Workload workload = Workload::kQuotes;
  std::vector<WorkspaceLoad> workspaces;
  // Addresses of the hosts for callers, and their control addresses in the same
  // order.
  std::vector<net::Authority> callers;
  std::vector<net::Authority> controls;
  Milliseconds duration{10'000};
  Milliseconds deadline{2'000};
  // Share of a workspace's requests, from 0 to 1, that go to its preferred
  // host; the others go to random hosts.
  double skew = 0;
  std::uint64_t seed = 1;
};

class LoadRunner {
 public:
  LoadRunner(boost::asio::io_context* io, LoadOptions options);
  // Generates load for the configured duration, checks the final state of all
  // sessions and returns the report.
  Json::Value Run();

 private:
  struct Session {
    std::unique_ptr<SessionModel> model;
    std::string token;
    std::size_t workspace = 0;
    std::uint64_t writes = 0;
  };
  struct PendingRequest {
    Session* session = nullptr;
    Operation operation = Operation::kRead;
    Instant intended_start;
    std::string idempotency_key;
    int attempts = 0;
  };

  void ScheduleArrival(std::size_t workspace, Instant at);
  void StartRequest(std::size_t workspace, Instant intended_start);
  Session* AcquireSession(std::size_t workspace);
  Operation PickOperation(const Session& session);
  void Send(std::shared_ptr<PendingRequest> pending);
  void OnAnswer(const std::shared_ptr<PendingRequest>& pending,
                const Result<net::HttpResponse>& answer);
  net::HttpRequest MakeRequest(const PendingRequest& pending) const;
  std::size_t PickHost(std::size_t workspace);
  void PollReadiness();
  void CheckFinalState();
  void CheckFinalStateOf(Session* session, int retries);
  Json::Value FetchMetrics();
  void WaitForInFlight(Milliseconds timeout);
  double Uniform() { return m_uniform(m_random_engine); }

  boost::asio::io_context* const m_io;
  const LoadOptions m_options;
  net::HttpClient m_client;
  std::mt19937_64 m_random_engine;
  std::uniform_real_distribution<double> m_uniform{0.0, 1.0};
  LoadReport m_report;
  Instant m_start;
  Instant m_end;
  std::deque<Session> m_sessions;
  // Sessions without a request in flight, per workspace.
  std::vector<std::vector<Session*>> m_idle_sessions;
  std::vector<std::unique_ptr<boost::asio::steady_timer>> m_arrival_timers;
  // Whether each host is ready, as a load balancer's health check sees it.
  std::vector<bool> m_host_ready;
  std::unique_ptr<boost::asio::steady_timer> m_readiness_timer;
  std::uint64_t m_requests_in_flight = 0;
  std::uint64_t m_unchecked_sessions = 0;
  bool m_polling_readiness = true;
};

}  // namespace tiller::load
