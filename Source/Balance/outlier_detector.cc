// Implementation of the outlier detection.
#include "Balance/outlier_detector.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string>

#include "Common/log.h"
#include "Common/names.h"

namespace tiller::balance {
namespace {

// One host runs about one statement a second at each endpoint, so a judgement
// needs the results of some seconds.
constexpr double kMemorySeconds = 10;
// An endpoint that fails 45 % of its statements is recognized after six or
// seven of them. Three failures by chance are rarer than one in a thousand
// among ten statements at an endpoint that fails 2 %.
constexpr double kMinFailed = 2.5;  // three that have decayed a little
constexpr double kMinShare = 0.2;
// Its share of failures is also this many times that of the others, plus
// kShareMargin.
constexpr double kShareFactor = 3;
constexpr double kShareMargin = 0.1;
// A probe is about as rare as one host's statements at the endpoint, and costs
// a second attempt if it fails.
constexpr Milliseconds kProbeInterval{1'500};
// After the last failure an ejection lasts for four probes: an endpoint that
// fails 45 % of its statements passes them once in eleven times. It doubles if
// the endpoint is ejected again soon after it (it flaps).
constexpr Milliseconds kEjection{6'000};
constexpr int kMaxDoublings = 3;
constexpr Milliseconds kEjectionMemory{60'000};
// An endpoint that returns gets these shares of its reads, each for kStepTime.
constexpr std::array<double, 3> kReturnShares = {0.1, 0.3, 0.6};
constexpr Milliseconds kStepTime{1'000};
constexpr std::uint64_t kRandomSteps = 1000;

}  // namespace

void OutlierDetector::SetMembers(const GroupId& group,
                                 const std::vector<EndpointId>& members) {
  auto& known = m_groups[group];
  std::erase_if(known, [&](const auto& item) {
    return std::find(members.begin(), members.end(), item.first) ==
           members.end();
  });
  for (const auto& member : members) known.try_emplace(member);
}

void OutlierDetector::Decay(Member* member, Instant now) {
  const double age =
      std::chrono::duration<double>(now - member->updated).count();
  const double factor = std::exp(-age / kMemorySeconds);
  member->tried *= factor;
  member->failed *= factor;
  member->updated = now;
}

bool OutlierDetector::IsOutlier(Members* members, const EndpointId& endpoint,
                                Instant now) {
  const auto& member = members->at(endpoint);
  if (member.failed < kMinFailed) return false;
  const double share = member.failed / member.tried;
  double tried = 0;
  double failed = 0;
  for (auto& [id, other] : *members) {
    if (id == endpoint) continue;
    Decay(&other, now);
    tried += other.tried;
    failed += other.failed;
  }
  const double other_share = tried > 0 ? failed / tried : 0;
  return share >=
         std::max(kMinShare, kShareFactor * other_share + kShareMargin);
}

void OutlierDetector::Change(const EndpointId& endpoint, Member* member,
                             Judgement judgement, Instant now) {
  member->judgement = judgement;
  const std::string name(NameOf(kJudgementNames, judgement));
  m_counters->Add("endpoints_judged_" + name);
  log::Event(log::Channel::kEndpoint, log::Level::kInfo, "endpoint_judged",
             {{"endpoint", endpoint},
              {"judgement", name},
              {"tried", std::to_string(std::lround(member->tried))},
              {"failed", std::to_string(std::lround(member->failed))},
              {"for_ms", log::MillisecondsText(
                             std::max<Duration>(member->until - now, {}))}});
}

void OutlierDetector::Eject(Members* members, const EndpointId& endpoint,
                            Instant now) {
  const auto ejected = static_cast<std::size_t>(
      std::count_if(members->begin(), members->end(), [&](const auto& item) {
        return item.first != endpoint &&
               item.second.judgement != Judgement::kAdmitted;
      }));
  if ((ejected + 1) * 3 > members->size()) {
    m_counters->Add("endpoint_ejections_refused");
    return;
  }
  auto& member = members->at(endpoint);
  if (now - member.ejected > kEjectionMemory) member.recent_ejections = 0;
  const int doublings = std::min(member.recent_ejections, kMaxDoublings);
  ++member.recent_ejections;
  member.ejected = now;
  member.until = now + kEjection * (1 << doublings);
  member.next_probe = now + kProbeInterval;
  Change(endpoint, &member, Judgement::kEjected, now);
  // What comes is judged afresh.
  member.tried = member.failed = 0;
}

void OutlierDetector::Record(const GroupId& group, const EndpointId& endpoint,
                             bool failed, Instant now) {
  auto& members = m_groups[group];
  const auto found = members.find(endpoint);
  if (found == members.end()) return;
  auto& member = found->second;
  Decay(&member, now);
  member.tried += 1;
  member.failed += failed ? 1 : 0;
  if (!failed) return;
  switch (member.judgement) {
    case Judgement::kAdmitted:
      if (IsOutlier(&members, endpoint, now)) Eject(&members, endpoint, now);
      return;
    case Judgement::kEjected:
      member.until = std::max<Instant>(member.until, now + kEjection);
      return;
    case Judgement::kReturning:
      // Some failures may be chance, but not a share like that before.
      if (member.failed >= kMinShare * member.tried + 1) {
        Eject(&members, endpoint, now);
      }
      return;
  }
}

void OutlierDetector::Advance(const EndpointId& endpoint, Member* member,
                              Instant now) {
  if (member->judgement == Judgement::kAdmitted || now < member->until) return;
  member->until = now + kStepTime;
  if (member->judgement == Judgement::kEjected) {
    member->step = 0;
    Change(endpoint, member, Judgement::kReturning, now);
  } else if (++member->step >= kReturnShares.size()) {
    Change(endpoint, member, Judgement::kAdmitted, now);
  }
}

OutlierDetector::Use OutlierDetector::UseForRead(const GroupId& group,
                                                 const EndpointId& endpoint,
                                                 Instant now) {
  const auto members = m_groups.find(group);
  if (members == m_groups.end()) return Use::kNormal;
  const auto found = members->second.find(endpoint);
  if (found == members->second.end()) return Use::kNormal;
  auto& member = found->second;
  Advance(endpoint, &member, now);
  if (member.judgement == Judgement::kAdmitted) return Use::kNormal;
  if (member.judgement == Judgement::kEjected) {
    return now >= member.next_probe ? Use::kProbe : Use::kNone;
  }
  const double drawn =
      static_cast<double>(m_random->UniformBelow(kRandomSteps)) /
      static_cast<double>(kRandomSteps);
  return drawn < kReturnShares[member.step] ? Use::kNormal : Use::kNone;
}

void OutlierDetector::RecordProbe(const GroupId& group,
                                  const EndpointId& endpoint, Instant now) {
  auto& members = m_groups[group];
  const auto found = members.find(endpoint);
  if (found == members.end()) return;
  found->second.next_probe = now + kProbeInterval;
  m_counters->Add("endpoint_ejection_probes");
}

Judgement OutlierDetector::Of(const GroupId& group,
                              const EndpointId& endpoint) const {
  const auto members = m_groups.find(group);
  if (members == m_groups.end()) return Judgement::kAdmitted;
  const auto found = members->second.find(endpoint);
  return found == members->second.end() ? Judgement::kAdmitted
                                        : found->second.judgement;
}

}  // namespace tiller::balance
