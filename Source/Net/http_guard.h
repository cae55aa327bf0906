// Decides which connections of an HTTP listener are closed because of their
// number or their time, without I/O.
//
// Answers crowds of connections that never speak, send a header or a body
// without an end, or never take an answer: each of them holds a descriptor, and
// ordinary requests are refused once the descriptors run out. At the limit, a
// connection without a request gives way to a new one, and after a while also
// one whose client neither sends nor reads.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Common/types.h"

namespace tiller::net {

// Rises with the time of acceptance.
using HttpConnectionId = std::uint64_t;

// What a connection does. At the limit of connections, those of the first phase
// give way first.
enum class HttpPhase {
  kNew,      // no request yet
  kHeader,   // a header, or the handshake of TLS, has begun
  kIdle,     // between two requests
  kBody,     // the body of a request has begun
  kWriting,  // the answer is being taken
  kServing   // the request is with its handler; never closed
};

// Why a connection is closed or refused.
enum class HttpCloseReason {
  kConnections,  // limit of the listener
  kDescriptors,  // of the process have run out
  kHeaderTime,
  kBodyTime,
  kIdleTime,
  kUnreadAnswer,
  kMemory,
  kCount
};
inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(HttpCloseReason::kCount)>
    kHttpCloseReasonNames = {"connections", "descriptors", "header_time",
                             "body_time",   "idle_time",   "unread_answer",
                             "memory"};

class HttpGuard {
 public:
  struct Limits {
    std::size_t connections = 8192;
    // A header has at most 16 KiB.
    Duration header = std::chrono::seconds(10);
    // 1 MiB in this time is 140 kbit/s.
    Duration body = std::chrono::seconds(60);
    Duration unread_answer = std::chrono::seconds(60);
    Duration idle = std::chrono::minutes(10);
    // In the phases kBody and kWriting, a connection gives way only after this
    // time: on the smallest link, of 10 Mbit/s, 1 MiB takes 0.9 s.
    Duration grace = std::chrono::seconds(3);
  };
  struct Verdict {
    HttpConnectionId connection = 0;
    HttpCloseReason reason = HttpCloseReason::kConnections;
  };

  explicit HttpGuard(const Limits& limits) : m_limits(limits) {}

  // Returns the connection that must be closed for the new one, which may be
  // the new one itself.
  std::optional<Verdict> OnAccepted(HttpConnectionId connection, Instant now);
  // Has no effect on an unknown connection, like OnClosed().
  void OnPhase(HttpConnectionId connection, HttpPhase phase, Instant now);
  void OnClosed(HttpConnectionId connection);
  // Returns the connection to close so that another one can be accepted, if
  // any.
  std::optional<HttpConnectionId> ToGiveWay(Instant now) const;
  // Returns the connections whose time in their phase is over.
  std::vector<Verdict> Overdue(Instant now) const;
  std::size_t Count() const { return m_connections.size(); }

 private:
  struct State {
    HttpPhase phase = HttpPhase::kNew;
    Instant since{};  // begin of the phase
    HttpConnectionId connection = 0;
    auto operator<=>(const State&) const = default;
  };
  // Returns the connection that has been longest in a phase, or null.
  const State* LongestIn(HttpPhase phase) const;

  const Limits m_limits;
  // Both hold the same connections.
  std::unordered_map<HttpConnectionId, State> m_connections;
  std::set<State> m_order;
};

}  // namespace tiller::net
