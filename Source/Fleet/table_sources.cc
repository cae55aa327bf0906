// Table replication: which hosts read the store, and how the others get changes
// from them.
#include <algorithm>
#include <set>
#include <utility>

#include "Common/log.h"
#include "Fleet/table_replication.h"

namespace tiller::fleet {
namespace {

// Interval of the queries. A change that was not delivered arrives with the
// next answer.
constexpr Milliseconds kQueryInterval{700};
// Longer than two intervals, so that one lost message does not matter.
constexpr Milliseconds kSourceTimeout{1'600};
// A reader whose copy has reached this age, and a random part of the spread,
// checks whether the store answers. The answer serves all readers and their
// subscribers, so usually one reader checks.
constexpr Milliseconds kCheckAge{1'000};
constexpr Milliseconds kCheckSpread{600};
// Age from which copies are stale: longer than that of the last check and the
// answer of a slow store. Together with the first probe of the store it is
// shorter than the time in which a configuration must be in force.
constexpr Milliseconds kOperatorTableMaxAge{2'400};
// Longer than a long poll and the pause before it.
constexpr Milliseconds kEndpointTableMaxAge{13'000};
// A host that did not answer is not asked again for this long.
constexpr Milliseconds kAvoidTime{10'000};
constexpr Milliseconds kSubscriptionTime{3'000};
constexpr Milliseconds kPlanInterval{1'000};
// Hosts that start together know each other after this time. All of them read
// the store until then, and all endpoints write their first rows, so calls are
// spaced.
constexpr Milliseconds kDiscoveryTime{4'000};
constexpr Milliseconds kDiscoverySpacing{1'500};
// Bounds the calls of a reader while many rows change.
constexpr Milliseconds kReaderSpacing{100};
constexpr Milliseconds kSeatPollInterval{5'000};
// Age at which a reader with subscribers reads the seats, as in kCheckAge.
// Shorter, since a new seat has to be known to all hosts before it counts, and
// copies that pass through a reader take longer.
constexpr Milliseconds kReaderSeatAge{2'800};

}  // namespace

bool TableReplication::ReadsStore() const {
  return m_plan.reads_store || m_clock->Now() < m_reader_until;
}

Milliseconds TableReplication::AgeOf(const TableFollower& follower) const {
  const auto store_time = m_seats->EstimatedStoreTime();
  return store_time ? *store_time - follower.CompleteAt() : Milliseconds::max();
}

bool TableReplication::Fresh() const {
  return AgeOf(m_operator_table) < kOperatorTableMaxAge &&
         AgeOf(m_endpoint_table) < kEndpointTableMaxAge;
}

void TableReplication::Avoid(const HostId& host) {
  m_avoided[host] = m_clock->Now() + kAvoidTime;
  m_next_plan_at = m_clock->Now();
  m_next_query_at = m_clock->Now();
  m_counters->Add("table_sources_avoided");
  log::Event(log::Channel::kPlatform, log::Level::kInfo, "table_source_avoided",
             {{"host", host}});
}

void TableReplication::AvoidSilentSources() {
  const auto now = m_clock->Now();
  std::erase_if(m_avoided,
                [&](const auto& item) { return item.second <= now; });
  for (const auto& host : m_plan.sources) {
    const auto source = m_sources.find(host.address);
    if (source == m_sources.end()) continue;
    const auto& asked_since = source->second.asked_since;
    if (!asked_since || now - *asked_since < kSourceTimeout) continue;
    m_sources.erase(source);
    Avoid(host.host);
  }
}

void TableReplication::UpdatePlan() {
  const auto now = m_clock->Now();
  if (now < m_next_plan_at) return;
  m_next_plan_at = now + kPlanInterval;
  if (m_first_start &&
      m_seat_rows.LastAnswerTime() - m_started_at < kDiscoveryTime) {
    if (now - m_started_at >= kDiscoveryTime) m_seat_rows.RequestCall();
    return;
  }
  std::set<std::string> avoided;
  for (const auto& [host, until] : m_avoided) avoided.insert(host);
  m_plan = ChooseReaders(m_self, m_seats->Peers(), avoided);
}

void TableReplication::UpdateFollowModes() {
  const auto now = m_clock->Now();
  std::erase_if(m_subscribers,
                [&](const auto& item) { return item.second.until <= now; });
  AvoidSilentSources();
  UpdatePlan();
  UpdateReaderRole();
  if (m_follows_store) {
    FollowStore();
  } else {
    FollowSources();
  }
}

void TableReplication::UpdateReaderRole() {
  const auto now = m_clock->Now();
  if (m_probing_since && m_operator_table.LastAnswerTime() > *m_probing_since) {
    m_probing_since.reset();
    // The answer made the copy fresh. If that happens twice in a row, the store
    // answers this host but not its sources.
    if (now - m_last_probe_answer < 2 * kOperatorTableMaxAge) {
      m_reader_until = std::max(m_reader_until, now + kSubscriptionTime);
      for (const auto& host : m_plan.sources) Avoid(host.host);
    }
    m_last_probe_answer = now;
  }
  const bool reads_store = ReadsStore();
  if (reads_store == m_follows_store) return;
  m_follows_store = reads_store;
  m_role_since = now;
  m_probing_since.reset();
  m_next_query_at = now;
  log::Event(log::Channel::kPlatform, log::Level::kInfo, "table_source",
             {{"source", reads_store ? std::string("store")
                                     : m_plan.sources.front().host}});
}

void TableReplication::FollowSources() {
  m_endpoint_table.SetMode(FollowMode::kPaused);
  m_seat_rows.SetMode(FollowMode::kPaused);
  // New sources need time for their first answers.
  const bool stale =
      !Fresh() && m_clock->Now() - m_role_since >= kSourceTimeout;
  if (!stale) m_probing_since.reset();
  if (stale && !m_probing_since) {
    m_probing_since = m_clock->Now();
    m_counters->Add("table_copies_stale");
    log::Event(log::Channel::kPlatform, log::Level::kWarn, "table_copies_stale",
               {{"source", m_plan.sources.front().host}});
  }
  // One table is enough to find out that the store answers this host.
  m_operator_table.SetMode(stale ? FollowMode::kProbe : FollowMode::kPaused);
}

void TableReplication::FollowStore() {
  const bool has_subscribers = !m_subscribers.empty();
  const bool discovering =
      m_first_start && m_clock->Now() - m_started_at < kDiscoveryTime;
  Milliseconds spacing{0};
  if (has_subscribers) spacing = kReaderSpacing;
  if (discovering) spacing = kDiscoverySpacing;
  m_operator_table.SetMode(FollowMode::kLongPoll, spacing);
  m_endpoint_table.SetMode(FollowMode::kLongPoll, spacing);
  if (has_subscribers && AgeOf(m_operator_table) >= m_check_age) {
    m_check_age = kCheckAge + CheckSpread();
    m_operator_table.RequestCheck();
  }
  if (discovering) return m_seat_rows.SetMode(FollowMode::kPaused);
  if (!has_subscribers) {
    return m_seat_rows.SetMode(FollowMode::kInterval, kSeatPollInterval);
  }
  m_seat_rows.SetMode(FollowMode::kPaused);
  if (AgeOf(m_seat_rows) >= m_seat_check_age) {
    m_seat_check_age = kReaderSeatAge + CheckSpread();
    m_seat_rows.RequestCall();
  }
}

Milliseconds TableReplication::CheckSpread() {
  return Milliseconds(m_random->UniformBelow(kCheckSpread.count()));
}

void TableReplication::QuerySources() {
  const auto now = m_clock->Now();
  m_next_query_at = now + kQueryInterval;
  if (ReadsStore()) return;
  bool subscribe = true;
  for (const auto& host : m_plan.sources) {
    auto& source = m_sources[host.address];
    if (!source.asked_since) source.asked_since = now;
    peer::TableDigest query;
    query.query = true;
    query.subscribe = std::exchange(subscribe, false);
    SendDigest(host.address, std::move(query), true);
  }
}

void TableReplication::OnQuery(const peer::Envelope& envelope,
                               const peer::TableDigest& digest) {
  const auto now = m_clock->Now();
  auto& subscriber = m_subscribers[envelope.from_address];
  subscriber.until = now + kSubscriptionTime;
  subscriber.wants_changes = digest.subscribe;
  for (const auto& item : digest.tables) {
    subscriber.versions[item.table] = {item.era, item.version};
  }
  m_reader_until = std::max(m_reader_until, now + kSubscriptionTime);
  UpdateFollowModes();
  peer::TableDigest answer;
  answer.answer = true;
  SendDigest(envelope.from_address, std::move(answer), true);
}

void TableReplication::OnAnswer(const peer::Envelope& envelope) {
  const auto source = m_sources.find(envelope.from_address);
  if (source != m_sources.end()) source->second.asked_since.reset();
}

// Tells the subscribers that nothing has changed, before their copies are
// stale.
void TableReplication::ConfirmToSubscribers() {
  for (const auto& [address, subscriber] : m_subscribers) {
    if (subscriber.wants_changes) SendDigest(address, {}, false);
  }
}

void TableReplication::ConfirmToReaders() {
  for (const auto& reader : m_plan.readers) {
    SendDigest(reader.address, {}, true);
  }
}

// Changes of seats are not sent at once: they come with the next answer, since
// hosts renew their rows all the time.
void TableReplication::NotifySubscribers(const TableFollower& follower) {
  if (&follower == &m_seat_rows) return;
  for (auto& [address, subscriber] : m_subscribers) {
    if (!subscriber.wants_changes) continue;
    auto& version = subscriber.versions[follower.Table()];
    if (version >= follower.ContentVersion()) continue;
    SendCopy(address, follower, version, false);
    version = follower.ContentVersion();
  }
}

}  // namespace tiller::fleet
