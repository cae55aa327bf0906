// State of every endpoint and group as observed by this host: positions, terms,
// health, and the watermarks from which the age of a replica's
// data is computed.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/types.h"
#include "Config/config.h"
#include "Endpoint/endpoint_protocol.h"

namespace tiller::routing {

// State of one endpoint.
struct EndpointRow {
  EndpointId name;
  GroupId group;
  ZoneId zone;
  std::string address;
  // New work may be sent here: the endpoint is not draining and its zone has
  // not been taken out of service.
  bool accepts_work = true;
  // Last status that the endpoint reported.
  endpoint::EndpointStatus status;
  bool status_known = false;
  // When its last complete answer arrived.
  Instant last_answer_at{};
  // When its status was last sent to the control part.
  Instant last_reported_at{};
  // Consecutive exchanges without an answer.
  int consecutive_failures = 0;
  // End of the backoff after failures; the endpoint is avoided until then.
  Instant backoff_until{};
  // Statements sent or queued by this host.
  std::size_t load = 0;
  // A replica that is not known to have reached a position is tried once a read
  // has waited this long. The position in its answer then decides whether the
  // answer is used.
  Duration catch_up_delay{};
  // Moving average of the time that one statement takes.
  Duration service_time = Milliseconds(2);
};

// At the time `at`, no log entry after `position` had been acknowledged. A
// replica that has applied `position` is therefore at least as recent as `at`.
struct FreshnessWatermark {
  Instant at;
  GroupPosition position;
};

// State of one group.
struct GroupRow {
  GroupId name;
  std::vector<EndpointId> endpoints;
  Term term = 0;
  EndpointId primary;  // empty: none known
  // Oldest first; limited in number.
  std::deque<FreshnessWatermark> watermarks;
};

// Table of all endpoints and groups of the configuration.
class EndpointTable {
 public:
  // Applies a configuration. Endpoints and groups that it still contains keep
  // their state; the others are removed.
  void Update(const config::Config& config);

  EndpointRow* Find(const EndpointId& name);
  GroupRow* FindGroup(const GroupId& name);
  const EndpointRow* Find(const EndpointId& name) const;
  const GroupRow* FindGroup(const GroupId& name) const;

  // Records a status that the endpoint reported; ends its backoff.
  void Observe(const EndpointId& name, const endpoint::EndpointStatus& status,
               Instant now);
  // Records an exchange without an answer; repeated ones start a backoff.
  void ObserveFailure(const EndpointId& name, Instant now);
  // Records whether a replica had reached the position that a read needed, and
  // adapts its catch_up_delay.
  void ObserveCatchUp(const EndpointId& name, bool reached);
  // Adds the time that one statement took to the moving average.
  void ObserveServiceTime(const EndpointId& name, Duration took);
  // Sets the primary of a group. Returns false without a change unless `term`
  // is newer than the known one.
  bool AdoptPrimary(const GroupId& group, Term term, const EndpointId& primary);
  // Adds a watermark unless the previous one is too recent.
  void AddWatermark(const GroupId& group, FreshnessWatermark watermark);

  // Returns the greatest possible age of the endpoint's data, or nothing if no
  // watermark proves one.
  std::optional<Duration> AgeOf(const EndpointRow& row, Instant now) const;

  std::unordered_map<EndpointId, EndpointRow>& Endpoints() {
    return m_endpoints;
  }
  std::unordered_map<GroupId, GroupRow>& Groups() { return m_groups; }

 private:
  std::unordered_map<EndpointId, EndpointRow> m_endpoints;
  std::unordered_map<GroupId, GroupRow> m_groups;
};

}  // namespace tiller::routing
