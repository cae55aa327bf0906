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
// Longer than two intervals, so that one lost message does not matter, and
// shorter than the time in which a configuration must be in force.
constexpr Milliseconds kSourceTimeout{1'600};
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
// Shorter, since a new seat has to be known to all hosts before it counts, and
// copies that pass through a reader take longer.
constexpr Milliseconds kReaderSeatPollInterval{3'000};

}  // namespace

bool TableReplication::ReadsStore() const {
  return m_plan.reads_store || m_clock->Now() < m_reader_until;
}

bool TableReplication::SourceConfirmed() const {
  const auto oldest = m_clock->Now() - kSourceTimeout;
  return std::any_of(
      m_plan.sources.begin(), m_plan.sources.end(), [&](const FleetHost& host) {
        const auto it = m_sources.find(host.address);
        return it != m_sources.end() && it->second.confirmed_at > oldest;
      });
}

bool TableReplication::SourcesLost() const {
  return m_clock->Now() - m_unconfirmed_since >= kSourceTimeout;
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
    m_avoided[host.host] = now + kAvoidTime;
    m_next_plan_at = now;
    m_counters->Add("table_sources_avoided");
    log::Event(log::Channel::kPlatform, log::Level::kInfo,
               "table_source_avoided", {{"host", host.host}});
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
  if (m_reads_since) {
    FollowStore();
  } else {
    FollowSources();
  }
}

void TableReplication::UpdateReaderRole() {
  const auto now = m_clock->Now();
  if (SourceConfirmed()) m_unconfirmed_since = now;
  const bool store_answers =
      m_operator_table.LastAnswerTime() > m_unconfirmed_since;
  if (!m_plan.reads_store && SourcesLost() && store_answers) {
    // The store answers this host although no source reaches it.
    m_reader_until = std::max(m_reader_until, now + kSubscriptionTime);
    m_unconfirmed_since = now;
  }
  const bool reads_store = ReadsStore();
  if (reads_store == m_reads_since.has_value()) return;
  m_reads_since = reads_store ? std::optional(now) : std::nullopt;
  m_unconfirmed_since = now;
  log::Event(log::Channel::kPlatform, log::Level::kInfo, "table_source",
             {{"source", reads_store ? std::string("store")
                                     : m_plan.sources.front().host}});
}

void TableReplication::FollowSources() {
  // One table is enough to find out that the store answers this host.
  m_operator_table.SetMode(SourcesLost() ? FollowMode::kProbe
                                         : FollowMode::kPaused);
  m_endpoint_table.SetMode(FollowMode::kPaused);
  m_seat_rows.SetMode(FollowMode::kPaused);
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
  if (discovering) return m_seat_rows.SetMode(FollowMode::kPaused);
  m_seat_rows.SetMode(FollowMode::kInterval, has_subscribers
                                                 ? kReaderSeatPollInterval
                                                 : kSeatPollInterval);
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
    subscriber.versions[item.table] = item.version;
  }
  m_reader_until = std::max(m_reader_until, now + kSubscriptionTime);
  UpdateFollowModes();
  peer::TableDigest answer;
  answer.answer = true;
  answer.confirmed = m_reads_since.has_value();
  for (const auto* follower : {&m_operator_table, &m_endpoint_table}) {
    answer.confirmed &= follower->Loaded() && !follower->Failing() &&
                        follower->LastAnswerTime() >= *m_reads_since;
  }
  SendDigest(envelope.from_address, std::move(answer), true);
}

void TableReplication::OnAnswer(const peer::Envelope& envelope,
                                const peer::TableDigest& digest) {
  const auto source = m_sources.find(envelope.from_address);
  if (source == m_sources.end()) return;
  source->second.asked_since.reset();
  if (digest.confirmed) source->second.confirmed_at = m_clock->Now();
  for (const auto& item : digest.tables) {
    auto* follower = FollowerOf(item.table);
    if (follower == nullptr) continue;
    follower->Confirm(item);
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
