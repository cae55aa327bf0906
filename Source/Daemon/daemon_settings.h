// Settings of the entry daemon.
#pragma once

#include <string>
#include <vector>

#include "Control/control_context.h"
#include "Net/http_limits.h"
#include "Settings/settings_table.h"
#include "Traffic/traffic_core.h"

namespace tiller::daemon {

struct DaemonSettings {
  std::string host = "host";
  std::string zone;
  std::string caller_address = "127.0.0.1";
  std::uint16_t caller_port = 0;
  std::string control_address = "127.0.0.1";
  std::uint16_t control_port = 0;
  std::string platform;
  std::vector<std::string> peers;
  std::string database = "tiller";
  std::string database_user = "tiller";
  std::string tls_certificate;
  std::string tls_key;
  std::string log_level = "info";
  Milliseconds drain_delay{2'000};
  Milliseconds drain_limit{60'000};
  Milliseconds platform_timeout{1'500};
  // Limits on clients; see Net/http_limits and Net/http_guard.
  double memory_limit_mb = 0;
  double descriptor_limit = 0;
  Milliseconds header_limit{10'000};
  Milliseconds body_limit{60'000};
  Milliseconds unread_answer_limit{60'000};
  Milliseconds idle_limit{600'000};
  traffic::TrafficOptions traffic;
  control::ControlOptions control;
};

// Adds every setting of the daemon to `table`, bound to its field of
// `settings`.
void Declare(settings::SettingsTable* table, DaemonSettings* settings);
// Checks the rules that involve more than one setting. Returns one problem for
// each violated rule.
std::vector<settings::Problem> CheckConsistency(const DaemonSettings& settings);

// Limits on clients that follow from the memory and descriptors of the machine.
net::HttpLimits ClientLimitsOf(const DaemonSettings& settings);
// Limits of a listener with at most this many connections.
net::HttpGuard::Limits HttpLimitsOf(const DaemonSettings& settings,
                                    std::size_t connections);

}  // namespace tiller::daemon
