// Judges endpoints by the results of their statements, relative to the others
// of their group (outlier detection).
//
// Load pattern: an endpoint fails a share of its statements while its health is
// good, or answers and falls silent by turns. Each answer looks like one of an
// endpoint that works, so that it keeps its part of the reads and each failure
// costs an attempt. Such an endpoint is ejected: it gets no reads but a few
// probes, and returns in steps. A statement that fails everywhere ejects
// nothing, since its retries fail at the others too.
#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string_view>
#include <vector>

#include "Common/counters.h"
#include "Common/random.h"
#include "Common/types.h"

namespace tiller::balance {

enum class Judgement { kAdmitted, kEjected, kReturning };
inline constexpr std::array<std::string_view, 3> kJudgementNames = {
    "admitted", "ejected", "returning"};

class OutlierDetector {
 public:
  enum class Use { kNormal, kNone, kProbe };

  OutlierDetector(Random* random, Counters* counters)
      : m_random(random), m_counters(counters) {}

  // Sets the endpoints of the group that serve reads. What is known of others
  // is forgotten.
  void SetMembers(const GroupId& group, const std::vector<EndpointId>& members);
  // A statement ran at the endpoint; `failed`: without success, for a reason
  // that lies with the endpoint.
  void Record(const GroupId& group, const EndpointId& endpoint, bool failed,
              Instant now);
  // Whether a read that could use the endpoint should. After kProbe the read
  // must be sent there, and RecordProbe() be called.
  Use UseForRead(const GroupId& group, const EndpointId& endpoint, Instant now);
  void RecordProbe(const GroupId& group, const EndpointId& endpoint,
                   Instant now);
  Judgement Of(const GroupId& group, const EndpointId& endpoint) const;

 private:
  struct Member {
    Judgement judgement = Judgement::kAdmitted;
    // Decayed numbers of results, as of `updated`.
    double tried = 0;
    double failed = 0;
    Instant updated{};
    // The end of the ejection, or of the present step of the return.
    Instant until{};
    Instant next_probe{};
    std::size_t step = 0;  // while it returns; index of kReturnShares
    int recent_ejections = 0;
    Instant ejected{};  // the last time
  };
  using Members = std::map<EndpointId, Member>;

  static void Decay(Member* member, Instant now);
  // True if the member fails clearly more than the others.
  static bool IsOutlier(Members* members, const EndpointId& endpoint,
                        Instant now);
  void Change(const EndpointId& endpoint, Member* member, Judgement judgement,
              Instant now);
  void Eject(Members* members, const EndpointId& endpoint, Instant now);
  void Advance(const EndpointId& endpoint, Member* member, Instant now);

  Random* const m_random;
  Counters* const m_counters;
  // At most a third of a group's members is ejected.
  std::map<GroupId, Members> m_groups;
};

}  // namespace tiller::balance
