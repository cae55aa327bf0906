// Declarations of the entry daemon's settings.
#include "Daemon/daemon_settings.h"

namespace tiller::daemon {

void Declare(settings::SettingsTable* table, DaemonSettings* settings) {
  auto& s = *settings;
  table->Add("host", &s.host,
             "name of this host; each start appends a random suffix");
  table->Add("zone", &s.zone, "availability zone of this host");
  table->Require("zone");
  table->Add("caller_address", &s.caller_address,
             "address to listen on for callers");
  table->Add("caller_port", &s.caller_port,
             "port for callers; 0: any free port");
  table->Add("control_address", &s.control_address,
             "address to listen on for other hosts and operators");
  table->Add("control_port", &s.control_port,
             "port for other hosts and operators; 0: any free port");
  table->Add("platform", &s.platform, "address:port of the platform");
  table->Require("platform");
  table->Add(
      "peers", &s.peers,
      "control addresses of other hosts, for starts without the platform");
  table->Add("database", &s.database, "database name at endpoints");
  table->Add("database_user", &s.database_user, "user name at endpoints");
  table->Add("tls_certificate", &s.tls_certificate,
             "PEM file; with tls_key, callers must use TLS");
  table->Add("tls_key", &s.tls_key, "PEM file of the private key");
  table->Add("log_level", &s.log_level, "debug, info, warn or error");
  table->Add("drain_delay_ms", &s.drain_delay,
             "time between SIGTERM and closing the listener");
  table->Add("drain_limit_ms", &s.drain_limit,
             "longest wait for open requests and transactions to end");
  table->Add("platform_timeout_ms", &s.platform_timeout,
             "timeout of one call to the platform");
  table->Add("memory_limit_mb", &s.memory_limit_mb,
             "memory of the machine; 0: 4096");
  table->Add("descriptor_limit", &s.descriptor_limit,
             "descriptors of the process; 0: the limit of the process");
  table->Add("header_limit_ms", &s.header_limit,
             "time in which the header of a request must arrive");
  table->Add("body_limit_ms", &s.body_limit,
             "time in which the body of a request must arrive");
  table->Add("unread_answer_limit_ms", &s.unread_answer_limit,
             "time in which a client must take an answer");
  table->Add("idle_limit_ms", &s.idle_limit,
             "time without a request after which a connection is closed");
  auto& t = s.traffic;
  table->Add("default_deadline_ms", &t.default_deadline,
             "deadline of a request that sets none");
  table->Add("max_deadline_ms", &t.max_deadline,
             "longest deadline of a request");
  table->Add("default_max_staleness_ms", &t.default_max_staleness,
             "accepted age of the data for reads that set none");
  table->Add("token_wait_ms", &t.rate_token_wait,
             "longest wait before a request is refused for its rate");
  table->Add("replica_patience_ms", &t.replica_wait,
             "longest wait for a replica before a read goes to the primary");
  table->Add("read_timeout_ms", &t.read_timeout,
             "timeout of one attempt at a read");
  table->Add("keyed_write_timeout_ms", &t.keyed_write_timeout,
             "timeout of one attempt at a write with an idempotency key");
  table->Add("confirm_limit_ms", &t.confirm_limit,
             "timeout of one confirmation by a majority of the group");
  table->Add("probe_interval_ms", &t.probe_interval,
             "interval between status probes of an endpoint");
  table->Add("probe_timeout_ms", &t.probe_timeout, "timeout of a status probe");
  table->Add("transaction_idle_ms", &t.transaction_idle,
             "idle time after which a transaction is rolled back");
  table->Add("transaction_total_ms", &t.transaction_total,
             "longest duration of a transaction");
  auto& c = s.control;
  table->Add("gossip_interval_ms", &c.gossip_interval,
             "interval between gossip rounds");
  table->Add("member_timeout_ms", &c.member_timeout,
             "time without a new heartbeat after which a host counts as gone");
  table->Add("config_poll_ms", &c.config_poll,
             "mean interval between polls for the newest configuration");
  table->Add("key_grace_ms", &c.key_grace,
             "time for which keys stay valid after the last confirmation of "
             "the configuration");
  table->Add(
      "outage_grace_ms", &c.outage_grace,
      "the same during a platform outage that a majority of hosts confirms");
  table->Add("seat_lease_ms", &c.seat_lease,
             "duration of a seat lease in the table service");
  table->Add("seat_renew_ms", &c.seat_renew,
             "interval between renewals of a seat lease");
  table->Add("guard_lease_ms", &c.guard_lease,
             "duration of a seat lease with its guard");
  table->Add("guard_renew_ms", &c.guard_renew,
             "interval between renewals of a seat lease with its guard");
  table->Add("suspect_after_ms", &c.suspect_after,
             "time without an answer after which a primary is suspected");
  table->Add("zone_out_grace_ms", &c.zone_out_grace,
             "time after which a host in a zone taken out of service refuses "
             "requests");
}

std::vector<settings::Problem> CheckConsistency(
    const DaemonSettings& settings) {
  std::vector<settings::Problem> problems;
  const auto require = [&](bool holds, const char* key, const char* detail) {
    if (!holds) problems.push_back({0, key, detail});
  };
  const auto& c = settings.control;
  require(c.key_grace > 2 * c.config_poll, "key_grace_ms",
          "must be more than twice config_poll_ms");
  require(c.seat_lease > 3 * c.seat_renew, "seat_lease_ms",
          "must be more than three times seat_renew_ms");
  require(c.guard_lease > 2 * c.guard_renew, "guard_lease_ms",
          "must be more than twice guard_renew_ms");
  require(c.member_timeout > 2 * c.gossip_interval, "member_timeout_ms",
          "must be more than twice gossip_interval_ms");
  require(settings.traffic.max_deadline >= settings.traffic.default_deadline,
          "max_deadline_ms", "must not be below default_deadline_ms");
  require(settings.tls_certificate.empty() == settings.tls_key.empty(),
          "tls_key", "must be set together with tls_certificate");
  return problems;
}

net::HttpLimits ClientLimitsOf(const DaemonSettings& settings) {
  return net::DeriveHttpLimits(
      static_cast<std::size_t>(settings.memory_limit_mb * (1U << 20)),
      static_cast<std::size_t>(settings.descriptor_limit));
}

net::HttpGuard::Limits HttpLimitsOf(const DaemonSettings& settings,
                                    std::size_t connections) {
  net::HttpGuard::Limits limits;
  limits.connections = connections;
  limits.header = settings.header_limit;
  limits.body = settings.body_limit;
  limits.unread_answer = settings.unread_answer_limit;
  limits.idle = settings.idle_limit;
  return limits;
}

}  // namespace tiller::daemon
