// Which hosts are there: spread by gossip, with the platform's list and the
// seat table as further sources of addresses.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Control/control_context.h"

namespace tiller::control {

struct MemberRow {
  peer::MemberRecord record;
  // When the heartbeat last rose, on this host's clock.
  Instant advanced{};
};

class MemberTable {
 public:
  explicit MemberTable(ControlContext* context) : m_context(context) {}

  // Adopts records that are newer than the known ones.
  void Merge(const std::vector<peer::MemberRecord>& records);
  // Remembers an address to gossip with, from the platform or from settings.
  void Learn(const std::string& address);
  // The host at `address` is leaving by the platform's word.
  void MarkLeaving(const std::string& address);

  // Sends gossip when it is due. `self` is this host's own record.
  void Tick(peer::MemberRecord self,
            const std::vector<peer::GroupRecord>& groups);
  // Sends the given groups to many hosts at once, after a failover.
  void Announce(const std::vector<peer::GroupRecord>& groups);

  bool IsLive(const HostId& host) const;
  const MemberRow* Find(const HostId& host) const;
  // Live hosts other than this one, in the order of their ids.
  std::vector<MemberRow> Live() const;
  std::string AddressOf(const HostId& host) const;

 private:
  // Silence after which a host counts as gone.
  Duration Timeout() const;
  std::vector<std::string> PickTargets();
  std::vector<peer::MemberRecord> PickRecords(
      const peer::MemberRecord& self) const;

  ControlContext* const m_context;
  std::map<HostId, MemberRow> m_rows;
  // Addresses without a known member behind them, with the next try.
  std::map<std::string, Instant> m_learned;
  std::uint64_t m_heartbeat = 0;
  Instant m_next_gossip{};
};

}  // namespace tiller::control
