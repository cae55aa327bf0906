// Implementation of the traffic thread.
#include "Daemon/traffic_service.h"

#include <openssl/rand.h>

#include <boost/asio/post.hpp>
#include <utility>

#include "Common/log.h"
#include "Daemon/caller_api.h"

namespace tiller::daemon {
namespace {

constexpr Milliseconds kTick{5};

net::HttpServerOptions CallerListener(const DaemonSettings& settings) {
  net::HttpServerOptions options;
  options.address = settings.caller_address;
  options.port = settings.caller_port;
  return options;
}

std::uint64_t Seed() {
  std::uint64_t seed = 0;
  RAND_bytes(reinterpret_cast<unsigned char*>(&seed), sizeof(seed));
  return seed;
}

}  // namespace

TrafficService::TrafficService(const DaemonSettings& settings, Outputs outputs)
    : m_settings(settings),
      m_outputs(std::move(outputs)),
      m_random(Seed()),
      m_core(settings.traffic, &m_clock, &m_random, &m_counters),
      m_driver(&m_io, settings.control.host, settings.database,
               settings.database_user,
               [this](const traffic::Event& event) { Handle(event); }),
      m_server(&m_io, CallerListener(settings),
               [this](net::HttpRequest request, net::Respond respond) {
                 OnRequest(std::move(request), std::move(respond));
               }),
      m_tick(m_io) {}

Result<void> TrafficService::Start() {
  if (!m_settings.tls_certificate.empty()) {
    const auto loaded = LoadTls();
    if (!loaded) return loaded.error();
  }
  const auto started = m_server.Start();
  if (!started) return started.error();
  ScheduleTick();
  return Success();
}

Result<void> TrafficService::LoadTls() {
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
  // Actions may report back at once; the outer call takes those too.
  if (m_acting) return;
  m_acting = true;
  for (auto actions = m_core.TakeActions(); !actions.empty();
       actions = m_core.TakeActions()) {
    for (const auto& action : actions) {
      std::visit([this](const auto& kind) { Perform(kind); }, action);
    }
  }
  m_acting = false;
}

void TrafficService::OnRequest(net::HttpRequest request, net::Respond respond) {
  auto parsed = ParseCallerRequest(request);
  if (!parsed) {
    m_counters.Add("refused_" + std::string(NameOf(parsed.error().code)));
    return respond(net::MakeProblem(parsed.error()));
  }
  auto& call = parsed.value();
  call.id = m_next_request++;
  m_responds.emplace(call.id, std::move(respond));
  Handle(std::move(call));
}

void TrafficService::Perform(const traffic::Reply& action) {
  const auto it = m_responds.find(action.id);
  if (it == m_responds.end()) return;
  const auto respond = std::move(it->second);
  m_responds.erase(it);
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
void TrafficService::Perform(const traffic::EndpointHeard& action) {
  m_outputs.heard(action);
}
void TrafficService::Perform(const traffic::EndpointSilent& action) {
  m_outputs.silent(action);
}
void TrafficService::Perform(const traffic::SendShareMessage& action) {
  m_outputs.share(action);
}

void TrafficService::ScheduleTick() {
  m_tick.expires_after(kTick);
  m_tick.async_wait([this](const boost::system::error_code& stopped) {
    if (stopped) return;
    Handle(traffic::TimerFired{});
    CheckDrained();
    ScheduleTick();
  });
}

void TrafficService::Drain() { m_draining_since = m_clock.Now(); }

// Transactions need the listener until they end; after that only answers in
// progress are waited for.
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
  if (m_server.BusyCount() > 0 && !overdue) return;
  log::Event(log::Channel::kTraffic, log::Level::kInfo, "traffic_drained",
             {{"requests_cut", std::to_string(m_core.OpenRequests())}});
  m_draining_since.reset();
  m_outputs.drained();
}

}  // namespace tiller::daemon
