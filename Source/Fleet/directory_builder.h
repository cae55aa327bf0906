// Builds the directory that traffic decisions use. Its sources are the
// operator's configuration and the rows that the endpoints write about
// themselves.
//
// A store that comes back from an older copy of itself brings back rows that
// have been replaced or removed since. What is known stays in force until the
// operator or the endpoint has written again: the configuration by its own
// version, an endpoint by the number of its report.
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
  // Why entries of the row were left out.
  std::vector<Error> unusable_entries;
};

// Decodes the rows of the operator and of the endpoints.
class RecordCodec {
 public:
  virtual ~RecordCodec() = default;
  // Key of the configuration's row in the operator's table.
  virtual std::string ConfigKey() const = 0;
  // Zone that the operator's row with this key takes out of service; nullopt if
  // it is a different kind of row.
  virtual std::optional<ZoneId> ZoneOutOfService(
      const std::string& key) const = 0;
  // Fails with kConfigInvalid. An entry whose name cannot be used is left out.
  virtual Result<FleetConfig> DecodeConfig(const std::string& value) const = 0;
  // Fails with kMessageInvalid if the row does not describe a usable endpoint.
  virtual Result<relay::Endpoint> DecodeEndpoint(
      const std::string& id, const std::string& value) const = 0;
};

class DirectoryBuilder {
 public:
  DirectoryBuilder(const RecordCodec* codec, const Clock* clock)
      : m_codec(codec), m_clock(clock) {}

  void UpdateOperator(const std::map<std::string, Row>& rows);
  // Takes over the configuration from a row that another host has sent, if it
  // is newer than the one in force. Returns true if it was taken over.
  bool AdoptConfig(const Row& row);
  // The row of the configuration in force if the store has an older one.
  std::optional<Row> ConfigMissingFromStore() const;
  std::uint64_t ConfigVersion() const {
    return m_config ? m_config->version : 0;
  }
  void UpdateEndpoints(const std::map<std::string, Row>& rows);
  // Records that `endpoint` refused to act as primary. It is not chosen as
  // primary until it writes a new version of its row.
  void MarkNotPrimary(const EndpointId& endpoint);
  // Records that this host promoted `endpoint`. Other endpoints of the group
  // are not chosen as primary until they write a new version of their row.
  void SetExpectedPrimary(const GroupId& group, const EndpointId& endpoint);
  // Records that `endpoint` has answered that it is the primary. Other
  // endpoints whose rows say the same are left out until they report another
  // role first.
  void ConfirmPrimary(const GroupId& group, const EndpointId& endpoint);
  // Removes entries whose rows have been missing for longer than the grace
  // period. Returns true if anything changed.
  bool ExpireMissing();

  bool Ready() const { return m_config.has_value(); }
  relay::DirectoryPtr Build();
  const std::set<ZoneId>& ZonesOutOfService() const {
    return m_zones_out_of_service;
  }

 private:
  struct Entry {
    relay::Endpoint endpoint;
    std::string value;  // of its row
    RowVersion version;
    // Version of an older row that a restored store has brought back. The entry
    // stays until the row is written again.
    RowVersion outdated_version;
    // Version of the row in which the endpoint began to report itself as
    // primary; the default value if it does not.
    RowVersion primary_since;
    // Value of primary_since that was disproved by another endpoint's answer.
    RowVersion disproved_since;
    // Version of the row when the endpoint answered that it is the primary.
    RowVersion confirmed_version;
    // Time since which its row has been missing.
    std::optional<Instant> missing_since;
    bool not_primary = false;
  };
  // The version from which the entry counts as primary; the default value: it
  // does not.
  static RowVersion PrimarySince(const Entry& entry);
  EndpointId ChoosePrimary(const GroupId& group) const;
  // True if a restored store has brought back a row that is older than what is
  // known of the endpoint.
  static bool IsOutdated(const Row& row, const relay::Endpoint& reported,
                         Entry* known);
  // Applies the row of an endpoint that is not known with this version.
  void UpdateEndpoint(const EndpointId& id, const Row& row);
  // Moves the entries that fulfil `condition` to m_departed.
  template <typename Condition>
  bool Remove(Condition condition);
  void UpdateZones(const std::map<std::string, Row>& rows);

  const RecordCodec* const m_codec;
  const Clock* const m_clock;
  std::optional<FleetConfig> m_config;
  // The row that the configuration in force comes from.
  Row m_config_row;
  // Version of the last row of the configuration read from the store.
  RowVersion m_config_version;
  std::set<ZoneId> m_zones_out_of_service;
  // Zones whose rows were gone when a new era of the store began, and until
  // when they stay out of service.
  std::map<ZoneId, Instant> m_zones_kept;
  StoreEra m_operator_era = 0;
  std::map<EndpointId, Entry> m_entries;
  // Entries that were removed, without those whose endpoint is known again.
  std::map<EndpointId, Entry> m_departed;
  std::map<EndpointId, RowVersion> m_unreadable_versions;
};

}  // namespace tiller::fleet
