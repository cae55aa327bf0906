// What this host knows of every endpoint and group: positions, terms, health
// and the marks by which the age of a replica's data is measured.
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

struct EndpointRow {
  EndpointId name;
  GroupId group;
  ZoneId zone;
  std::string address;
  // New work may be sent here: neither draining nor in a zone taken out.
  bool accepts_work = true;
  // As last reported by the endpoint itself.
  endpoint::EndpointStatus status;
  bool status_known = false;
  Instant heard{};  // arrival of its last whole answer
  Instant told{};   // the control part last learned of it
  // Consecutive exchanges without an answer.
  int failures = 0;
  Instant avoid_until{};
  // Statements sent or queued by this host.
  std::size_t load = 0;
  // A replica not known to have reached a position is tried once a read has
  // waited this long; the answer's own position decides.
  Duration catch_up{};
  // Moving mean of the time one statement takes.
  Duration service_time = Milliseconds(2);
};

// Proof that no entry after `position` had been acknowledged at `at`.
struct FreshnessMark {
  Instant at;
  GroupPosition position;
};

struct GroupRow {
  GroupId name;
  std::vector<EndpointId> endpoints;
  Term term = 0;
  EndpointId primary;  // empty: none known
  // In order of time; bounded.
  std::deque<FreshnessMark> marks;
};

class EndpointTable {
 public:
  // Adopts the configuration; rows that stay keep what is known of them.
  void Update(const config::Config& config);

  EndpointRow* Find(const EndpointId& name);
  GroupRow* FindGroup(const GroupId& name);
  const EndpointRow* Find(const EndpointId& name) const;
  const GroupRow* FindGroup(const GroupId& name) const;

  void Observe(const EndpointId& name, const endpoint::EndpointStatus& status,
               Instant now);
  void ObserveFailure(const EndpointId& name, Instant now);
  // A read came back from a replica: it had reached the position, or not.
  void ObserveReached(const EndpointId& name, bool reached);
  void ObserveServiceTime(const EndpointId& name, Duration took);
  // Adopts a primary; an older term than the known one is ignored.
  bool AdoptPrimary(const GroupId& group, Term term, const EndpointId& primary);
  void AddMark(const GroupId& group, FreshnessMark mark);

  // Age of the endpoint's data, or nothing when it can't be proved.
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
