// Implementation of the usage duty.
#include "Metering/usage_duty.h"

#include <algorithm>
#include <utility>

#include "Common/crypto.h"
#include "Common/log.h"
#include "Common/names.h"
#include "Fleet/claim_row.h"

namespace tiller::metering {
namespace {

using fleet::StoreStatus;

// Another host may claim the duty once the row is this old. The holder writes
// it every 5 s, with one window.
constexpr Milliseconds kLease{7'000};
// A report is sent only under a claim that is no older than this; its call is
// answered or given up before the lease ends.
constexpr Milliseconds kMaxClaimAge{4'000};
// The row is written again after this time also without a new text.
constexpr Milliseconds kRenewAfter{5'300};
// A holder whose claim is older announces itself no more.
constexpr Milliseconds kAnnouncedAge{6'500};
constexpr Milliseconds kAnnounceInterval{1'000};
// A new holder announces itself to all hosts repeatedly, since a message may be
// lost.
constexpr Milliseconds kIntroductionTime{2'500};
// The candidates miss three announcements before they read the row; the other
// hosts hear of the holder once a window.
constexpr Milliseconds kCandidateSilence{3'000};
constexpr Milliseconds kCandidateRankDelay{300};
constexpr Milliseconds kOtherSilence{9'000};
constexpr Milliseconds kOtherRankDelay{50};
constexpr Milliseconds kTakeoverRankDelay{150};
// A host that hears no holder reads the row at least this often: the holder may
// have given up the duty.
constexpr Milliseconds kReadInterval{2'000};
// The counts of a window have arrived by then.
constexpr Milliseconds kCountsWait{2'200};
// If the next holders hear as few hosts, the duty does not move on and on.
constexpr Milliseconds kYieldInterval{60'000};
// Time for the hosts of a starting fleet to appear in the seat table.
constexpr Milliseconds kStartDelay{1'000};
// Well above 3 s, within which two hosts must not take turns.
constexpr Milliseconds kBarredFor{15'000};
constexpr Milliseconds kRetryDelay{700};
constexpr Milliseconds kUncertainDelay{100};
constexpr Milliseconds kRetrySpread{400};
// Smaller changes of the median are noise of the estimated store time.
constexpr Milliseconds kOffsetStep{20};

}  // namespace

std::uint64_t SuccessionWeight(const HostId& host) {
  return StableHash("usage/" + host);
}

UsageDuty::UsageDuty(HostId host, Milliseconds deadline, const FleetView* fleet,
                     WindowClock* windows, UsageCollector* collector,
                     const Clock* clock, Random* random, Counters* counters)
    : m_host(std::move(host)),
      m_process(random->Next() >> 12U),
      m_fleet(fleet),
      m_windows(windows),
      m_collector(collector),
      m_clock(clock),
      m_random(random),
      m_counters(counters),
      m_reports(deadline, windows, collector, clock, counters),
      m_era_since(clock->Now()),
      m_confirmed_at(clock->Now() - kLease),
      m_heard_at(clock->Now() + kStartDelay) {}

std::size_t UsageDuty::Rank() const {
  const auto own = SuccessionWeight(m_host);
  const auto peers = m_fleet->Peers();
  return static_cast<std::size_t>(std::count_if(
      peers.begin(), peers.end(),
      [&](const auto& peer) { return SuccessionWeight(peer.host) > own; }));
}

Duration UsageDuty::SilenceLimit() const {
  const auto rank = static_cast<int>(Rank());
  if (rank < static_cast<int>(kCandidates)) {
    return kCandidateSilence + kCandidateRankDelay * rank;
  }
  return kOtherSilence + kOtherRankDelay * rank;
}

void UsageDuty::ObserveEra(fleet::StoreEra era) {
  m_era = era;
  m_era_since = m_clock->Now();
  if (m_stage == Stage::kFollowing) return;
  // Only the texts of this host are known to have been stored once.
  auto kept = m_reports.StoredTexts();
  const bool held = m_stage == Stage::kHolding;
  Lose(Loss::kEra);
  if (!held) return;
  m_kept_texts = std::move(kept);
  m_barred_until = {};
  m_heard_at = m_clock->Now() - kOtherSilence - kStartDelay;
}

void UsageDuty::Lose(Loss why) {
  const std::string reason(NameOf(kLossNames, why));
  m_counters->Add("usage_duty_lost_" + reason);
  log::Event(log::Channel::kControl, log::Level::kWarn, "usage_duty_lost",
             {{"token", std::to_string(m_token)}, {"reason", reason}});
  m_stage = Stage::kFollowing;
  m_token = 0;
  m_uncertain = false;
  m_yielding = false;
  m_kept_texts.clear();
  m_reports.Begin(0, {});
  m_report_call = 0;
  m_heard_at = m_clock->Now();
  m_barred_until = m_clock->Now() + kBarredFor;
}

void UsageDuty::StartRead() {
  m_reading = true;
  m_actions.push_back(fleet::ReadTable{kUsageTable});
}

void UsageDuty::Handle(const fleet::TableRead& event) {
  m_reading = false;
  if (event.status != StoreStatus::kDone) {
    m_next_read_at = m_clock->Now() + kRetryDelay +
                     Milliseconds(m_random->UniformBelow(kRetrySpread.count()));
    return;
  }
  std::optional<UsageRow> row;
  fleet::RowVersion version{event.version.era, 0};
  for (const auto& stored : event.rows) {
    if (stored.key != kUsageKey) continue;
    version = stored.version;
    row = DecodeUsageRow(stored.value);
    if (row) continue;
    log::Event(log::Channel::kControl, log::Level::kError,
               "usage_row_unreadable", {{"version", TextOf(version)}});
    m_counters->Add("usage_rows_unreadable");
  }
  if (row) m_newest_token = std::max(m_newest_token, row->token);
  OnRowRead(row, version, event.now);
}

void UsageDuty::OnRowRead(const std::optional<UsageRow>& row,
                          fleet::RowVersion version, fleet::StoreTime now) {
  const bool own = row && m_token != 0 && row->holder == m_host &&
                   row->process == m_process && row->token == m_token &&
                   row->era == m_era;
  if (own) {
    m_version = version;
    m_uncertain = false;
    m_reports.SetStored(row->texts);
    if (row->claimed_at == m_written.claimed_at) {
      m_confirmed_at = m_write_sent_at;
    }
    if (m_stage != Stage::kHolding) BecomeHolder();
    return;
  }
  if (m_stage == Stage::kHolding) return Lose(Loss::kTaken);
  m_stage = Stage::kFollowing;
  if (m_draining || m_clock->Now() < m_barred_until) return;
  const auto rank_delay = kTakeoverRankDelay * static_cast<int>(Rank());
  if (row && row->era == m_era) {
    const auto age = now - row->claimed_at;
    const auto wait = kLease - age;
    // A claim far in the future is not a fresh one.
    if (wait.count() > 0 && age > -kLease) {
      m_next_read_at = m_clock->Now() +
                       std::min<Milliseconds>(wait, kReadInterval) + rank_delay;
      return;
    }
  }
  Claim(row, version, now);
}

void UsageDuty::Claim(const std::optional<UsageRow>& row,
                      fleet::RowVersion version, fleet::StoreTime now) {
  UsageRow claim;
  if (row) claim = *row;
  // Rows of an older era, or that are gone, may have named more windows. A
  // report under such a row was of a window that had ended before the era.
  if (!row || row->era < m_era) {
    const auto running = m_windows->WindowAt(m_era_since);
    if (!running) {
      m_next_read_at = m_clock->Now() + kRetryDelay;
      return;
    }
    claim.newest = std::max(claim.newest, *running);
    claim.texts.insert(m_kept_texts.begin(), m_kept_texts.end());
  }
  claim.holder = m_host;
  claim.process = m_process;
  claim.token = fleet::NextToken(std::max(claim.token, m_newest_token), m_era);
  claim.claimed_at = now;
  claim.era = m_era;
  m_token = claim.token;
  m_version = version;
  m_stage = Stage::kClaiming;
  Write(std::move(claim));
}

void UsageDuty::Write(UsageRow row) {
  if (const auto dropped = DropExcessTexts(&row.texts); dropped > 0) {
    m_counters->Add("usage_texts_dropped", dropped);
  }
  m_written = std::move(row);
  m_write_sent_at = m_clock->Now();
  m_writing = true;
  m_actions.push_back(
      fleet::WriteRow{0, kUsageTable, kUsageKey, Encode(m_written), m_version});
}

void UsageDuty::Handle(const fleet::RowWritten& event) {
  m_write_call = 0;
  m_writing = false;
  const auto now = m_clock->Now();
  // The claim was given up meanwhile, in a new era.
  if (m_stage == Stage::kFollowing) return;
  const bool releasing = std::exchange(m_releasing, false);
  switch (event.status) {
    case StoreStatus::kDone:
      m_version = event.version;
      m_confirmed_at = m_write_sent_at;
      m_reports.SetStored(m_written.texts);
      if (releasing) {
        m_announce_release = true;
        return;
      }
      if (m_stage == Stage::kClaiming) return BecomeHolder();
      if (m_written.newest > m_stored) {
        m_stored = m_written.newest;
        m_announce_to_all = true;
        m_collector->Forget(m_stored);
      }
      return;
    case StoreStatus::kNotRun:
      if (m_stage == Stage::kClaiming) {
        m_stage = Stage::kFollowing;
        m_next_read_at = now + kRetryDelay;
      }
      m_next_write_at = now + kRetryDelay;
      return;
    case StoreStatus::kConflict:
      if (m_stage == Stage::kClaiming) {
        m_stage = Stage::kFollowing;
        m_next_read_at = now + kRetryDelay;
        return;
      }
      [[fallthrough]];
    default:
      m_uncertain = true;
      m_next_read_at = now + kUncertainDelay;
  }
}

void UsageDuty::BecomeHolder() {
  m_stage = Stage::kHolding;
  m_held_since = m_clock->Now();
  m_uncertain = false;
  m_newest_token = std::max(m_newest_token, m_token);
  m_stored = m_written.newest;
  m_collector->Clear();
  m_kept_texts.clear();
  m_reports.Begin(m_written.newest, m_written.texts);
  m_announce_to_all = true;
  m_next_write_at = m_clock->Now();
  m_counters->Add("usage_duty_claimed");
  log::Event(log::Channel::kControl, log::Level::kInfo, "usage_duty_claimed",
             {{"token", std::to_string(m_token)},
              {"newest", std::to_string(m_written.newest)},
              {"texts", std::to_string(m_written.texts.size())}});
  if (m_windows->FleetOffset() || m_written.clock_offset == Milliseconds{0}) {
    return;
  }
  m_windows->SetFleetOffset(m_written.clock_offset);
}

void UsageDuty::Handle(const UsageHolder& message) {
  if (message.token < m_newest_token) return;
  m_newest_token = message.token;
  if (m_stage == Stage::kHolding && message.token > m_token) {
    m_uncertain = true;
    m_confirmed_at = m_clock->Now() - kLease;
    m_next_read_at = m_clock->Now();
  }
  m_windows->SetFleetOffset(message.clock_offset);
  m_heard_at = m_clock->Now();
  if (!message.released) return;
  m_heard_at -= kOtherSilence + kOtherRankDelay * static_cast<int>(Rank());
  m_next_read_at =
      m_clock->Now() + kTakeoverRankDelay * static_cast<int>(Rank());
}

void UsageDuty::Tick() {
  if (m_stage == Stage::kHolding) return TickHolder();
  const auto now = m_clock->Now();
  if (m_reading || m_writing || now < m_next_read_at) return;
  // A claim without an answer may be in the store.
  if (m_stage == Stage::kClaiming) return StartRead();
  if (m_draining || now < m_barred_until) return;
  if (now - m_heard_at < SilenceLimit()) return;
  if (m_windows->WindowAt(now)) StartRead();
}

void UsageDuty::UpdateOffset() {
  if (m_clock->Now() < m_next_offset_update) return;
  m_next_offset_update = m_clock->Now() + kAnnounceInterval;
  const auto median = m_collector->MedianOffset();
  if (!median) return;
  const auto current = m_windows->FleetOffset();
  if (current && std::chrono::abs(*median - *current) < kOffsetStep) return;
  m_windows->SetFleetOffset(*median);
}

bool UsageDuty::IsCutOff() const {
  const auto now = m_clock->Now();
  if (m_yielded_at && now - *m_yielded_at < kYieldInterval) return false;
  const auto current = m_windows->WindowAt(now);
  if (!current || *current - 1 <= m_reports.Newest()) return false;
  return m_windows->SinceEnd(*current - 1) >= kCountsWait &&
         m_collector->IsMostlyMissing(*current - 1);
}

void UsageDuty::TickHolder() {
  const auto now = m_clock->Now();
  if (m_announce_release) return;  // until it has been announced
  if (m_uncertain) {
    if (!m_reading && now >= m_next_read_at) StartRead();
    return;
  }
  UpdateOffset();
  m_yielding |= IsCutOff();
  const bool giving_up = m_draining || m_yielding;
  if (!giving_up) m_reports.MakeTexts();
  const bool renew = giving_up || ClaimAge() >= kRenewAfter ||
                     m_reports.HasUnstored() || m_reports.Newest() > m_stored ||
                     (m_reports.HasDue() && ClaimAge() > kMaxClaimAge);
  if (renew && !m_writing && now >= m_next_write_at) Renew();
  if (m_releasing || ClaimAge() > kMaxClaimAge) return;
  if (auto report = m_reports.NextReport()) {
    report->holder = m_host;
    report->fencing_token = m_token;
    m_actions.push_back(std::move(*report));
  }
}

void UsageDuty::Renew() {
  UsageRow row = m_written;
  row.newest = m_reports.Newest();
  row.texts = m_reports.Texts();
  row.clock_offset = m_windows->FleetOffset().value_or(row.clock_offset);
  row.claimed_at = m_fleet->StoreTime().value_or(row.claimed_at);
  m_releasing = m_draining || m_yielding;
  if (m_releasing) row.claimed_at = fleet::StoreTime{0};
  Write(std::move(row));
}

void UsageDuty::Handle(const fleet::UsageAnswered& event) {
  if (event.call != m_report_call || event.call == 0) return;
  m_report_call = 0;
  m_reports.SetAnswer(event.status);
  if (event.status == fleet::PromoteStatus::kFenced) Lose(Loss::kFenced);
}

UsageHolder UsageDuty::Announcement() const {
  const auto own = m_windows->OwnOffset().value_or(Milliseconds{0});
  return {m_token, m_stored, m_windows->FleetOffset().value_or(own),
          m_announce_release};
}

std::optional<UsageHolder> UsageDuty::TakeAnnouncement(bool* for_all) {
  if (m_stage != Stage::kHolding) return std::nullopt;
  const auto now = m_clock->Now();
  *for_all = m_announce_to_all || m_announce_release ||
             now - m_held_since < kIntroductionTime;
  if (!m_announce_release) {
    if (m_uncertain || ClaimAge() > kAnnouncedAge) return std::nullopt;
    if (!m_announce_to_all && now < m_next_announcement) return std::nullopt;
  }
  m_announce_to_all = false;
  m_next_announcement = now + kAnnounceInterval;
  auto message = Announcement();
  if (std::exchange(m_announce_release, false)) {
    if (m_yielding) m_yielded_at = now;
    Lose(m_yielding ? Loss::kCutOff : Loss::kReleased);
  }
  return message;
}

std::vector<fleet::Action> UsageDuty::TakeActions(fleet::CallId* next_call) {
  for (auto& action : m_actions) {
    if (auto* write = std::get_if<fleet::WriteRow>(&action)) {
      write->call = m_write_call = (*next_call)++;
    }
    if (auto* report = std::get_if<fleet::ReportUsage>(&action)) {
      report->call = m_report_call = (*next_call)++;
    }
  }
  return std::exchange(m_actions, {});
}

}  // namespace tiller::metering
