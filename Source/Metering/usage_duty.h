// Decides which host of the fleet reports its usage: the one that holds the
// claim row in the store. The holder writes the row once for each window, which
// renews the claim and stores the window's text.
//
// Load pattern: the holder may be killed, frozen, cut off or stopped at any
// time, several holders in a row, and the store may be down, slow or restored
// from an older copy.
//
// - A host claims the duty if it has heard no holder for some time, in an order
//   of the hosts, and the row is older than kLease on the store's clock. The
//   holder sends a report only under a claim that is no older than
//   kMaxClaimAge, so it never acts after its successor. A host that has lost
//   the duty does not claim it for kBarredFor.
// - Each claim has a new token; see fleet::NextToken.
// - A holder that does not get the counts of most hosts gives the duty up.
// - In a new era of the store, what was written may be lost. Windows up to the
//   one that ran when the era was first seen have no new text then.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Common/counters.h"
#include "Common/random.h"
#include "Metering/fleet_view.h"
#include "Metering/usage_collector.h"
#include "Metering/usage_reports.h"
#include "Metering/usage_row.h"
#include "Metering/window_clock.h"

namespace tiller::metering {

// Announcements go to this many hosts more often, the first that would claim
// the duty.
inline constexpr std::size_t kCandidates = 4;

// Hosts with a higher weight claim the duty earlier.
std::uint64_t SuccessionWeight(const HostId& host);

class UsageDuty {
 public:
  UsageDuty(HostId host, Milliseconds deadline, const FleetView* fleet,
            WindowClock* windows, UsageCollector* collector, const Clock* clock,
            Random* random, Counters* counters);

  void ObserveEra(fleet::StoreEra era);
  void Handle(const fleet::TableRead& event);
  bool OwnsCall(fleet::CallId call) const {
    return call != 0 && call == m_write_call;
  }
  void Handle(const fleet::RowWritten& event);
  void Handle(const fleet::UsageAnswered& event);
  // Another host announces itself.
  void Handle(const UsageHolder& message);
  // Gives up the duty for good, since the process is being stopped.
  void Drain() { m_draining = true; }
  void Tick();
  bool Holds() const { return m_stage == Stage::kHolding; }
  std::uint64_t Token() const { return m_token; }
  WindowNumber StoredWindow() const { return m_stored; }
  UsageHolder Announcement() const;
  // Returns the announcement that is due; `for_all`: it goes to all hosts.
  std::optional<UsageHolder> TakeAnnouncement(bool* for_all);
  std::vector<fleet::Action> TakeActions(fleet::CallId* next_call);

 private:
  enum class Stage { kFollowing, kClaiming, kHolding };
  enum class Loss { kTaken, kFenced, kEra, kReleased, kCutOff };
  static constexpr std::array<std::string_view, 5> kLossNames = {
      "taken", "fenced", "era", "released", "cut_off"};

  std::size_t Rank() const;
  Duration SilenceLimit() const;
  Duration ClaimAge() const { return m_clock->Now() - m_confirmed_at; }
  void StartRead();
  void OnRowRead(const std::optional<UsageRow>& row, fleet::RowVersion version,
                 fleet::StoreTime now);
  void Claim(const std::optional<UsageRow>& row, fleet::RowVersion version,
             fleet::StoreTime now);
  void Write(UsageRow row);
  void BecomeHolder();
  void TickHolder();
  void UpdateOffset();
  bool IsCutOff() const;
  void Renew();
  void Lose(Loss why);

  const HostId m_host;
  const std::uint64_t m_process;
  const FleetView* const m_fleet;
  WindowClock* const m_windows;
  UsageCollector* const m_collector;
  const Clock* const m_clock;
  Random* const m_random;
  Counters* const m_counters;
  UsageReports m_reports;
  Stage m_stage = Stage::kFollowing;
  // Of the claim; 0: none. Never used again once the claim is lost.
  std::uint64_t m_token = 0;
  std::uint64_t m_newest_token = 0;  // that was seen
  fleet::StoreEra m_era = 0;
  Instant m_era_since{};
  fleet::RowVersion m_version;  // of the row as this host knows it
  UsageRow m_written;           // content of the last write
  Instant m_write_sent_at{};
  fleet::CallId m_write_call = 0;
  bool m_writing = false;
  // When the last write was sent that the store has confirmed.
  Instant m_confirmed_at{};
  // The outcome of the last write is unknown: the row has to be read.
  bool m_uncertain = false;
  bool m_reading = false;
  Instant m_next_read_at{};
  Instant m_next_write_at{};
  // When a holder was last heard of.
  Instant m_heard_at{};
  Instant m_barred_until{};
  Instant m_held_since{};
  fleet::CallId m_report_call = 0;
  WindowNumber m_stored = 0;  // windows that need no more counts
  // Texts of the lost era that were stored and may have been sent.
  std::map<WindowNumber, std::string> m_kept_texts;
  Instant m_next_announcement{};
  Instant m_next_offset_update{};
  bool m_announce_to_all = false;
  bool m_announce_release = false;
  bool m_draining = false;
  // The duty is given up because this host does not hear most of the others.
  bool m_yielding = false;
  std::optional<Instant> m_yielded_at;
  bool m_releasing = false;
  std::vector<fleet::Action> m_actions;
};

}  // namespace tiller::metering
