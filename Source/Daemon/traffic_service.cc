// Implementation of the traffic thread.
#include "Daemon/traffic_service.h"

#include <openssl/rand.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "Common/log.h"
#include "Daemon/caller_api.h"

namespace tiller::daemon {
namespace {

constexpr Milliseconds kTickInterval{5};

net::HttpServerOptions CallerServerOptions(const DaemonSettings& settings) {
  const auto limits = ClientLimitsOf(settings);
  net::HttpServerOptions options;
  options.address = settings.caller_address;
  options.port = settings.caller_port;
  options.name = "callers";
  options.limits = HttpLimitsOf(settings, limits.caller_connections);
  options.max_in_flight_bytes = limits.callers_in_flight_bytes;
  return options;
}

net::HttpServerOptions WithAccounts(net::HttpServerOptions options,
                                    net::SharedBudget* budget,
                                    Counters* counters, const Clock* clock) {
  options.budget = budget;
  options.counters = counters;
  options.clock = clock;
  return options;
}

std::uint64_t RandomSeed() {
  std::uint64_t seed = 0;
  RAND_bytes(reinterpret_cast<unsigned char*>(&seed), sizeof(seed));
  return seed;
}

// A single result may use all of the room, up to the driver's limit for one.
postgres::ResultLimits ResultLimitsOf(const net::HttpLimits& limits) {
  postgres::ResultLimits out;
  out.all_bytes = limits.results_bytes;
  out.one_bytes = std::min(out.one_bytes, out.all_bytes);
  return out;
}

}  // namespace

TrafficService::TrafficService(const DaemonSettings& settings,
                               Callbacks callbacks)
    : m_settings(settings),
      m_callbacks(std::move(callbacks)),
      m_random(RandomSeed()),
      m_core(settings.traffic, &m_clock, &m_random, &m_counters),
      m_driver(
          &m_io, settings.control.host, settings.database,
          settings.database_user,
          [this](const traffic::Event& event) { Handle(event); },
          ResultLimitsOf(ClientLimitsOf(settings))),
      m_budget(&m_io, ClientLimitsOf(settings).callers, &m_clock, &m_counters),
      m_server(&m_io,
               WithAccounts(CallerServerOptions(settings), &m_budget,
                            &m_counters, &m_clock),
               [this](net::HttpRequest request, net::Responder respond) {
                 OnRequest(std::move(request), std::move(respond));
               }),
      m_tick_timer(m_io) {}

Result<void> TrafficService::Start() {
  if (!m_settings.tls_certificate.empty()) {
    const auto loaded = LoadTlsCertificate();
    if (!loaded) return loaded.error();
  }
  const auto started = m_server.Start();
  if (!started) return started.error();
  ScheduleTick();
  return Success();
}

Result<void> TrafficService::LoadTlsCertificate() {
  namespace ssl = boost::asio::ssl;
  auto context = std::make_shared<ssl::context>(ssl::context::tls_server);
  boost::system::error_code failure;
  context->set_options(ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1,
                       failure);
  context->use_certificate_chain_file(m_settings.tls_certificate, failure);
  if (!failure) {
    context->use_private_key_file(m_settings.tls_key, ssl::context::pem,
                                  failure);
  }
  if (failure) {
    return MakeError(ErrorCode::kSettingInvalid,
                     "cannot load the certificate: " + failure.message());
  }
  m_server.SetTls(std::move(context));
  return Success();
}

void TrafficService::Post(std::function<void()> task) {
  boost::asio::post(m_io, std::move(task));
}

void TrafficService::Handle(const traffic::Event& event) {
  m_core.Handle(event);
  RunActions();
}

void TrafficService::RunActions() {
  // An action may call Handle() before it returns. The outermost call then also
  // runs the actions that this adds.
  if (m_running_actions) return;
  m_running_actions = true;
  for (auto actions = m_core.TakeActions(); !actions.empty();
       actions = m_core.TakeActions()) {
    for (const auto& action : actions) {
      std::visit([this](const auto& alternative) { Perform(alternative); },
                 action);
    }
  }
  m_running_actions = false;
}

void TrafficService::OnRequest(net::HttpRequest request,
                               net::Responder respond) {
  auto parsed = ParseCallerRequest(request);
  if (!parsed) {
    m_counters.Add("refused_" + std::string(NameOf(parsed.error().code)));
    return respond(net::MakeProblem(parsed.error()));
  }
  auto& caller_request = parsed.value();
  caller_request.id = m_next_request++;
  m_response_callbacks.emplace(caller_request.id, std::move(respond));
  Handle(std::move(caller_request));
}

void TrafficService::Perform(const traffic::Reply& action) {
  const auto it = m_response_callbacks.find(action.id);
  if (it == m_response_callbacks.end()) return;
  const auto respond = std::move(it->second);
  m_response_callbacks.erase(it);
  respond(MakeCallerResponse(action));
}

void TrafficService::Perform(const traffic::OpenConnection& action) {
  m_driver.Open(action.connection, action.address);
}
void TrafficService::Perform(const traffic::CloseConnection& action) {
  m_driver.Close(action.connection);
}
void TrafficService::Perform(const traffic::RunPipeline& action) {
  m_driver.Run(action);
}
void TrafficService::Perform(const traffic::EndpointStatusReport& action) {
  m_callbacks.on_endpoint_status(action);
}
void TrafficService::Perform(const traffic::EndpointUnresponsive& action) {
  m_callbacks.on_endpoint_unresponsive(action);
}
void TrafficService::Perform(const traffic::SendShareMessage& action) {
  m_callbacks.on_share_message(action);
}

std::string TrafficService::CountersText() const {
  return m_counters.ToText() + "caller_connections_open " +
         std::to_string(m_server.ConnectionCount()) +
         "\ncaller_connection_bytes " + std::to_string(m_budget.Used()) + "\n";
}

void TrafficService::ScheduleTick() {
  m_tick_timer.expires_after(kTickInterval);
  m_tick_timer.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    Handle(traffic::TimerFired{});
    CheckDrained();
    ScheduleTick();
  });
}

void TrafficService::Drain() {
  if (m_draining_since) return;
  m_draining_since = m_clock.Now();
  Handle(traffic::DrainStarted{m_settings.drain_limit});
}

// Keeps the listener open until all transactions have ended, because their
// statements arrive through it. After that, waits only for responses in
// progress. Both waits end at the drain limit.
void TrafficService::CheckDrained() {
  if (!m_draining_since) return;
  const bool overdue =
      m_clock.Now() - *m_draining_since > m_settings.drain_limit;
  if (m_core.OpenTransactions() > 0 && !overdue) return;
  if (!m_listener_closed) {
    m_listener_closed = true;
    m_server.Drain();
    return;
  }
  if (m_server.BusyConnectionCount() > 0 && !overdue) return;
  log::Event(log::Channel::kTraffic, log::Level::kInfo, "traffic_drained",
             {{"requests_cut", std::to_string(m_core.OpenRequests())}});
  m_draining_since.reset();
  m_callbacks.on_drained();
}

}  // namespace tiller::daemon
