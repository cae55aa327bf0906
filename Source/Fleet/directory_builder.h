// Builds the directory that traffic decisions use from the operator's
// configuration and the endpoints' own reports.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Common/error.h"
#include "Fleet/table_follower.h"
#include "Relay/relay_types.h"

namespace tiller::fleet {

struct FleetConfig {
  std::uint64_t version = 0;
  std::vector<relay::Route> routes;
  std::vector<relay::Workspace> workspaces;
  std::map<std::string, WorkspaceId> keys;
  std::vector<relay::Group> groups;
  Milliseconds transaction_idle{0};
};

// Reads the records of the operator and of the endpoints.
class RecordCodec {
 public:
  virtual ~RecordCodec() = default;
  // Key of the configuration among the operator's rows.
  virtual std::string ConfigKey() const = 0;
  // The zone that an operator's row takes out, if it is such a row.
  virtual std::optional<ZoneId> ZoneTakenOut(const std::string& key) const = 0;
  // Fails with kConfigInvalid.
  virtual Result<FleetConfig> DecodeConfig(const std::string& value) const = 0;
  // Fails with kMessageInvalid when it names no endpoint that could be used.
  virtual Result<relay::Endpoint> DecodeEndpoint(
      const std::string& id, const std::string& value) const = 0;
};

class DirectoryBuilder {
 public:
  DirectoryBuilder(const RecordCodec* codec, const Clock* clock)
      : m_codec(codec), m_clock(clock) {}

  void UpdateOperator(const std::map<std::string, Row>& rows);
  void UpdateEndpoints(const std::map<std::string, Row>& rows);
  // An endpoint refused to lead; it is not named until it reports anew.
  void Deny(const EndpointId& endpoint);
  // An endpoint whose promotion was ordered by this host.
  void Expect(const GroupId& group, const EndpointId& endpoint);
  // Forgets entries that stayed missing; true if any did.
  bool ExpireMissing();

  bool Ready() const { return m_config.has_value(); }
  relay::DirectoryPtr Build();
  const std::set<ZoneId>& ZonesOut() const { return m_zones_out; }

 private:
  struct Entry {
    relay::Endpoint endpoint;
    RowVersion version = 0;
    // Version at which it began to report itself as primary; 0: it does not.
    RowVersion primary_since = 0;
    // Its row is missing since then.
    std::optional<Instant> missing_since;
    bool denied = false;
  };
  EndpointId ChoosePrimary(const GroupId& group) const;

  const RecordCodec* const m_codec;
  const Clock* const m_clock;
  std::optional<FleetConfig> m_config;
  RowVersion m_config_version = 0;
  std::set<ZoneId> m_zones_out;
  std::map<EndpointId, Entry> m_entries;
  std::map<EndpointId, RowVersion> m_unreadable;
};

}  // namespace tiller::fleet
