// Implementation of vouches and consents.
#include "Control/seat_quorum.h"

#include <algorithm>
#include <utility>

namespace tiller::control {
namespace {

constexpr Milliseconds kVouchLifetime{4'000};
constexpr Milliseconds kVouchInterval{1'000};
constexpr Milliseconds kConsentInterval{500};
// Consents have to be used while they stand.
constexpr Milliseconds kConsentLifetime{5'000};
constexpr Milliseconds kConsentHold{15'000};
constexpr std::size_t kMaxAsked = 8192;

}  // namespace

std::string SeatQuorum::Remember(const HostId& host, const HostId& holder,
                                 std::uint64_t* nonce) {
  while (m_asked.size() >= kMaxAsked) m_asked.erase(m_asked.begin());
  *nonce = m_context->NextId();
  m_asked[*nonce] = {host, holder, m_context->Now()};
  return m_members->AddressOf(host);
}

void SeatQuorum::AskForVouches() {
  const auto now = m_context->Now();
  if (now < m_next_vouch) return;
  m_next_vouch = now + kVouchInterval;
  for (const auto& row : m_members->Live()) {
    if (row.record.seats == 0) continue;
    peer::SeatVouchRequest request;
    const auto address = Remember(row.record.host, {}, &request.nonce);
    m_context->Send(address, request);
  }
}

Instant SeatQuorum::VouchedUntil() const {
  std::vector<const Vote*> votes;
  for (const auto& [host, vote] : m_vouches) votes.push_back(&vote);
  std::sort(votes.begin(), votes.end(),
            [](const auto* a, const auto* b) { return a->asked > b->asked; });
  std::set<int> seats(m_votes.begin(), m_votes.end());
  for (const auto* vote : votes) {
    seats.insert(vote->seats.begin(), vote->seats.end());
    if (IsMajority(seats)) return vote->asked + kVouchLifetime;
  }
  return Instant{};
}

bool SeatQuorum::AskForConsent(const HostId& holder) {
  const auto now = m_context->Now();
  auto& consents = m_consents[holder];
  std::erase_if(consents, [&](const auto& item) {
    return now - item.second.asked > kConsentLifetime;
  });
  std::set<int> seats;
  if (!m_votes.empty() && m_vouched_for[holder] <= now) {
    m_consented_against[holder] = now + kConsentHold;
    seats.insert(m_votes.begin(), m_votes.end());
  }
  for (const auto& [host, vote] : consents) {
    seats.insert(vote.seats.begin(), vote.seats.end());
  }
  if (IsMajority(seats)) return true;
  if (now < m_next_consent[holder]) return false;
  m_next_consent[holder] = now + kConsentInterval;
  for (const auto& row : m_members->Live()) {
    if (row.record.seats == 0 || row.record.host == holder) continue;
    peer::SeatTakeRequest request;
    request.holder = holder;
    const auto address = Remember(row.record.host, holder, &request.nonce);
    m_context->Send(address, request);
  }
  return false;
}

void SeatQuorum::Handle(const HostId& from,
                        const peer::SeatVouchRequest& message) {
  const auto now = m_context->Now();
  const auto against = m_consented_against.find(from);
  if (m_votes.empty() ||
      (against != m_consented_against.end() && against->second > now)) {
    return;
  }
  m_vouched_for[from] = now + WithDrift(kVouchLifetime);
  m_context->Send(m_members->AddressOf(from),
                  peer::SeatVouch{message.nonce, m_votes});
}

void SeatQuorum::Handle(const HostId& from, const peer::SeatVouch& message) {
  const auto asked = m_asked.find(message.nonce);
  if (asked == m_asked.end() || asked->second.host != from ||
      !asked->second.holder.empty()) {
    return;
  }
  m_vouches[from] = {asked->second.sent, message.seats};
  m_asked.erase(asked);
}

void SeatQuorum::Handle(const HostId& from,
                        const peer::SeatTakeRequest& message) {
  const auto now = m_context->Now();
  if (m_votes.empty() || message.holder == m_context->Options().host ||
      m_vouched_for[message.holder] > now) {
    return;
  }
  m_consented_against[message.holder] = now + kConsentHold;
  m_context->Send(m_members->AddressOf(from),
                  peer::SeatTakeConsent{message.nonce, m_votes});
}

void SeatQuorum::Handle(const HostId& from,
                        const peer::SeatTakeConsent& message) {
  const auto asked = m_asked.find(message.nonce);
  if (asked == m_asked.end() || asked->second.host != from ||
      asked->second.holder.empty()) {
    return;
  }
  m_consents[asked->second.holder][from] = {asked->second.sent, message.seats};
  m_asked.erase(asked);
}

}  // namespace tiller::control
