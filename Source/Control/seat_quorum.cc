// Implementation of the seat quorum.
#include "Control/seat_quorum.h"

#include <algorithm>
#include <utility>

namespace tiller::control {
namespace {

constexpr Milliseconds kVouchLifetime{4'000};
constexpr Milliseconds kVouchInterval{1'000};
constexpr Milliseconds kConsentInterval{500};
// A consent may be used for this long after it was requested. This is less than
// kNoVouchAfterConsent, so that no vouch is given while the consent is valid.
constexpr Milliseconds kConsentLifetime{5'000};
constexpr Milliseconds kNoVouchAfterConsent{15'000};
constexpr std::size_t kMaxPending = 8192;

}  // namespace

std::string SeatQuorum::RegisterRequest(const HostId& host,
                                        const HostId& holder,
                                        std::uint64_t* nonce) {
  while (m_pending.size() >= kMaxPending) m_pending.erase(m_pending.begin());
  *nonce = m_context->NextId();
  m_pending[*nonce] = {host, holder, m_context->Now()};
  return m_members->AddressOf(host);
}

void SeatQuorum::RequestVouches() {
  const auto now = m_context->Now();
  if (now < m_next_vouch) return;
  m_next_vouch = now + kVouchInterval;
  for (const auto& row : m_members->Live()) {
    if (row.record.seats == 0) continue;
    peer::SeatVouchRequest request;
    const auto address = RegisterRequest(row.record.host, {}, &request.nonce);
    m_context->Send(address, request);
  }
}

Instant SeatQuorum::VouchedUntil() const {
  std::vector<const Vote*> votes;
  for (const auto& [host, vote] : m_vouches) votes.push_back(&vote);
  std::sort(votes.begin(), votes.end(), [](const auto* a, const auto* b) {
    return a->request_sent > b->request_sent;
  });
  std::set<int> seats(m_voting_seats.begin(), m_voting_seats.end());
  for (const auto* vote : votes) {
    seats.insert(vote->seats.begin(), vote->seats.end());
    if (IsMajority(seats)) return vote->request_sent + kVouchLifetime;
  }
  return Instant{};
}

bool SeatQuorum::ObtainConsent(const HostId& holder) {
  const auto now = m_context->Now();
  auto& consents = m_consents[holder];
  std::erase_if(consents, [&](const auto& item) {
    return now - item.second.request_sent > kConsentLifetime;
  });
  std::set<int> seats;
  if (!m_voting_seats.empty() && m_vouched_until[holder] <= now) {
    m_consented_until[holder] = now + kNoVouchAfterConsent;
    seats.insert(m_voting_seats.begin(), m_voting_seats.end());
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
    const auto address =
        RegisterRequest(row.record.host, holder, &request.nonce);
    m_context->Send(address, request);
  }
  return false;
}

void SeatQuorum::Handle(const HostId& from,
                        const peer::SeatVouchRequest& message) {
  const auto now = m_context->Now();
  const auto consented = m_consented_until.find(from);
  if (m_voting_seats.empty() ||
      (consented != m_consented_until.end() && consented->second > now)) {
    return;
  }
  m_vouched_until[from] = now + WithDrift(kVouchLifetime);
  m_context->Send(m_members->AddressOf(from),
                  peer::SeatVouch{message.nonce, m_voting_seats});
}

void SeatQuorum::Handle(const HostId& from, const peer::SeatVouch& message) {
  const auto pending = m_pending.find(message.nonce);
  if (pending == m_pending.end() || pending->second.host != from ||
      !pending->second.holder.empty()) {
    return;
  }
  m_vouches[from] = {pending->second.sent, message.seats};
  m_pending.erase(pending);
}

void SeatQuorum::Handle(const HostId& from,
                        const peer::SeatTakeRequest& message) {
  const auto now = m_context->Now();
  if (m_voting_seats.empty() || message.holder == m_context->Options().host ||
      m_vouched_until[message.holder] > now) {
    return;
  }
  m_consented_until[message.holder] = now + kNoVouchAfterConsent;
  m_context->Send(m_members->AddressOf(from),
                  peer::SeatTakeConsent{message.nonce, m_voting_seats});
}

void SeatQuorum::Handle(const HostId& from,
                        const peer::SeatTakeConsent& message) {
  const auto pending = m_pending.find(message.nonce);
  if (pending == m_pending.end() || pending->second.host != from ||
      pending->second.holder.empty()) {
    return;
  }
  m_consents[pending->second.holder][from] = {pending->second.sent,
                                              message.seats};
  m_pending.erase(pending);
}

}  // namespace tiller::control
