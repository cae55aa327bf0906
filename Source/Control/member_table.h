// The hosts of the fleet and their state, distributed by gossip. The platform's
// host list and the seat table are further sources of addresses.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Control/control_context.h"

namespace tiller::control {

struct MemberRow {
  peer::MemberRecord record;
  // When the heartbeat last increased, on this host's clock.
  Instant heartbeat_advanced_at{};
};

class MemberTable {
 public:
  explicit MemberTable(ControlContext* context) : m_context(context) {}

  // Adopts records with a higher heartbeat than the stored ones.
  void Merge(const std::vector<peer::MemberRecord>& records);
  // Adds an address to gossip with, for example from the platform or from the
  // settings, unless a live member already has it.
  void AddAddress(const std::string& address);
  // Marks the host at `address` as leaving, as reported by the platform.
  void MarkLeaving(const std::string& address);

  // Sends gossip when it is due. `self` is this host's own record.
  void Tick(peer::MemberRecord self,
            const std::vector<peer::GroupRecord>& groups);
  // Sends the given groups to many live hosts immediately, after a failover.
  void Announce(const std::vector<peer::GroupRecord>& groups);

  bool IsLive(const HostId& host) const;
  const MemberRow* Find(const HostId& host) const;
  // Live hosts other than this one, in the order of their ids.
  std::vector<MemberRow> Live() const;
  // The control address of a host; empty if the host is unknown.
  std::string AddressOf(const HostId& host) const;

 private:
  // A host whose heartbeat has not increased for this long is not live.
  Duration LivenessTimeout() const;
  std::vector<std::string> PickTargets();
  std::vector<peer::MemberRecord> PickRecords(
      const peer::MemberRecord& self) const;

  ControlContext* const m_context;
  std::map<HostId, MemberRow> m_rows;
  // Addresses without a known live member, with the time of the next attempt.
  std::map<std::string, Instant> m_unverified_addresses;
  std::uint64_t m_heartbeat = 0;
  Instant m_next_gossip{};
};

}  // namespace tiller::control
