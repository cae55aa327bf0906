// Decides which connections of a listener are closed because of their number or
// their time, without I/O.
//
// Load addressed: crowds of connections that never start a session, never end a
// line or never take an answer, and crowds with one API key. Connections that
// have not started a session give way first, the oldest one before the others.
#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Common/types.h"
#include "Net/line_stream.h"

namespace tiller::net {

// Why a connection is closed or refused.
enum class CloseReason {
  kConnections,       // of the listener
  kOwnerConnections,  // of one owner
  kUnstarted,         // no session was started in time
  kUnfinishedLine,    // a line did not end in time
  kUnreadAnswer,      // an answer was not taken in time
  kConnectionBytes,   // memory of one connection
  kMemory             // memory of all connections
};
inline constexpr std::array<std::string_view, 7> kCloseReasonNames = {
    "connections",   "owner_connections", "unstarted", "unfinished_line",
    "unread_answer", "connection_bytes",  "memory"};

class ConnectionGuard {
 public:
  struct Limits {
    std::size_t connections = 100'000;
    std::size_t connections_of_owner = 100'000;
    std::size_t connection_bytes = 256U << 20;
    // Longer than the 2 s after which callers give up starting a session.
    Duration unstarted = std::chrono::seconds(5);
    // 1 MiB in this time is 140 kbit/s.
    Duration unfinished_line = std::chrono::seconds(60);
    Duration unread_answer = std::chrono::seconds(60);
  };
  struct Verdict {
    StreamId stream = 0;
    CloseReason reason = CloseReason::kConnections;
  };
  // Number of started connections by owner.
  using Owner = std::unordered_map<std::string, std::size_t>::value_type;

  explicit ConnectionGuard(const Limits& limits) : m_limits(limits) {}

  // Returns the connection that must be closed for the new one, which may be
  // the new one itself. Ids rise with the time of acceptance.
  std::optional<Verdict> OnAccepted(StreamId stream, Instant now);
  // The connection has sent the line that starts its session.
  void OnStarted(StreamId stream) { m_unstarted.erase(stream); }
  // Returns null if the owner has too many connections.
  Owner* OnOwnerKnown(const std::string& owner);
  // `owner` is null if it was never known.
  void OnClosed(StreamId stream, Owner* owner);
  // Returns the reason if the connection must be closed at once.
  std::optional<CloseReason> OnLoad(StreamId stream, const StreamLoad& load,
                                    Instant now);
  // Returns the connections whose time is over.
  std::vector<Verdict> Overdue(Instant now) const;
  // The connection to close when descriptors have run out.
  std::optional<StreamId> OldestUnstarted() const;

 private:
  struct Stalled {
    std::uint64_t line = 0;  // offset of the unfinished line
    std::optional<Instant> line_since;
    std::optional<Instant> output_since;
  };

  const Limits m_limits;
  std::size_t m_open = 0;
  std::map<StreamId, Instant> m_unstarted;  // oldest first
  // Connections with an unfinished line or an answer that is not taken.
  std::unordered_map<StreamId, Stalled> m_stalled;
  // An entry exists while its number is above 0. Its address is stable.
  std::unordered_map<std::string, std::size_t> m_owners;
};

}  // namespace tiller::net
