// Implementation of the usage reporter.
#include "Metering/usage_reporter.h"

#include <algorithm>
#include <utility>

namespace tiller::metering {

UsageReporter::UsageReporter(HostId host, const UsageSettings& settings,
                             const FleetView* fleet, const Clock* clock,
                             Random* random, Counters* counters)
    : m_host(std::move(host)),
      m_active(settings.Active()),
      m_fleet(fleet),
      m_random(random),
      m_counters(counters),
      m_windows(std::max(settings.Window(), Milliseconds{1}), fleet, clock),
      m_collector(clock),
      m_duty(m_host, settings.Deadline(), fleet, &m_windows, &m_collector,
             clock, random, counters),
      m_sender(&m_windows, clock, random) {}

void UsageReporter::Handle(const OperationsCounted& event) {
  if (Active()) m_sender.Add(event);
}

void UsageReporter::Handle(const peer::Envelope& envelope,
                           const UsageCounts& message) {
  if (!Active()) return;
  if (!m_duty.Holds()) {
    const bool pass_on = message.seeking && message.host.empty() && m_holder;
    if (!pass_on) return m_counters->Add("usage_counts_unwanted");
    auto passed_on = message;
    passed_on.host = envelope.from;
    return Send(std::move(passed_on));
  }
  m_counters->Add("usage_counts_received");
  m_collector.Add(envelope.from, message);
  if (!message.seeking) return;
  for (const auto& peer : m_fleet->Peers()) {
    const bool seeks =
        peer.host == (message.host.empty() ? envelope.from : message.host);
    if (!seeks) continue;
    m_messages.push_back(fleet::SendPeer{peer.address, m_duty.Announcement()});
  }
}

void UsageReporter::Handle(const peer::Envelope& envelope,
                           const UsageHolder& message) {
  if (!Active()) return;
  m_duty.Handle(message);
  if (m_holder && message.token < m_holder->token) return;
  m_sender.SetStored(message.stored);
  if (message.released) return m_holder.reset();
  const bool changed = !m_holder || m_holder->token != message.token;
  m_holder = Holder{envelope.from_address, message.token};
  if (!changed) return;
  m_sender.Restart();
  for (auto& counts : m_collector.TakeUnrepeatable()) Send(std::move(counts));
}

void UsageReporter::Handle(const fleet::Stopping& event) {
  if (!Active()) return;
  m_duty.Drain();
  if (!event.last || !m_holder) return;
  if (auto message = m_sender.LastMessage()) Send(std::move(*message));
}

void UsageReporter::Send(UsageCounts message) {
  if (m_holder->address.empty()) return m_collector.Add(m_host, message);
  m_counters->Add("usage_counts_sent");
  m_messages.push_back(fleet::SendPeer{m_holder->address, std::move(message)});
}

std::vector<fleet::FleetHost> UsageReporter::Candidates() const {
  auto peers = m_fleet->Peers();
  if (peers.size() <= kCandidates) return peers;
  const auto end = peers.begin() + kCandidates;
  std::partial_sort(
      peers.begin(), end, peers.end(), [](const auto& a, const auto& b) {
        return SuccessionWeight(a.host) > SuccessionWeight(b.host);
      });
  peers.erase(end, peers.end());
  return peers;
}

void UsageReporter::Announce() {
  bool for_all = false;
  const auto message = m_duty.TakeAnnouncement(&for_all);
  if (!message) return;
  const auto peers = for_all ? m_fleet->Peers() : Candidates();
  m_counters->Add("usage_announcements_sent", peers.size());
  for (const auto& peer : peers) {
    m_messages.push_back(fleet::SendPeer{peer.address, *message});
  }
}

// Sends the counts to a host that has probably heard of the holder.
void UsageReporter::SeekHolder(UsageCounts message) {
  const auto candidates = Candidates();
  if (candidates.empty()) return;
  m_counters->Add("usage_counts_seeking");
  message.seeking = true;
  const auto pick = m_random->UniformBelow(candidates.size());
  m_messages.push_back(
      fleet::SendPeer{candidates[pick].address, std::move(message)});
}

void UsageReporter::Tick() {
  if (!Active()) return;
  m_duty.Tick();
  Announce();
  if (m_duty.Holds()) {
    if (!m_holder || m_holder->token < m_duty.Token()) {
      m_holder = Holder{"", m_duty.Token()};
      m_sender.Restart();
    }
    m_sender.SetStored(m_duty.StoredWindow());
  } else if (m_holder && m_holder->address.empty()) {
    m_holder.reset();
  }
  auto message = m_sender.NextMessage(m_fleet->Peers().size());
  if (!message) return;
  m_holder ? Send(std::move(*message)) : SeekHolder(std::move(*message));
}

std::vector<fleet::Action> UsageReporter::TakeActions(
    fleet::CallId* next_call) {
  auto actions = m_duty.TakeActions(next_call);
  for (auto& message : m_messages) actions.push_back(std::move(message));
  m_messages.clear();
  return actions;
}

}  // namespace tiller::metering
