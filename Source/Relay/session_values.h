// Options and prepared statements of a session, with limits on their memory.
#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "Relay/relay_types.h"

namespace tiller::relay {

// A statement that a session prepared under a name.
struct PreparedStatement {
  bool writes = false;
  std::string shape;
  // Name on endpoint connections; see SharedStatementName.
  std::string shared_name;
};

// Memory that many sessions use together.
class MemoryAccount {
 public:
  explicit MemoryAccount(std::size_t limit) : m_limit(limit) {}
  // Returns false, and takes nothing, if the limit would be exceeded.
  bool TryTake(std::size_t bytes);
  void Return(std::size_t bytes) { m_used -= bytes; }
  std::size_t Used() const { return m_used; }

 private:
  const std::size_t m_limit;
  std::size_t m_used = 0;
};

// The limit that a session's options and prepared statements would exceed.
enum class ValueLimit { kNone, kNames, kSessionBytes, kHostBytes };
inline constexpr std::array<std::string_view, 4> kValueLimitNames = {
    "none", "names", "session_bytes", "host_bytes"};

struct SessionLimits {
  std::size_t names = 0;  // options and prepared statements together
  std::size_t bytes = 0;
};
// Of a caller's session. One statement of the maximum size fits.
inline constexpr SessionLimits kCallerLimits{256, (1U << 20) + (64U << 10)};
// Of a session that a host opens through a shared pool. The host's connection
// may hold as much as one session when the transaction of another one begins,
// and cannot be reset before the transaction ends. Names of the host are longer
// than those of callers.
inline constexpr std::size_t kPoolNameBytes = 512;
inline constexpr SessionLimits kPoolSessionLimits{
    2 * kCallerLimits.names,
    2 * (kCallerLimits.bytes + kCallerLimits.names * kPoolNameBytes)};
// Of all callers' sessions of a host, and again of all sessions of its pool,
// unless the memory of the machine is smaller (Net/client_limits).
inline constexpr std::size_t kMaxBytesOfAllSessions = 16U << 20;

class SessionValues {
 public:
  SessionValues(SessionLimits limits, MemoryAccount* account)
      : m_limits(limits), m_account(account) {}
  ~SessionValues() { Clear(); }
  SessionValues(const SessionValues&) = delete;
  SessionValues& operator=(const SessionValues&) = delete;

  // Sets an option, or prepares a statement under a name. Nothing changes if a
  // limit is returned.
  ValueLimit SetOption(const std::string& name, const std::string& value);
  ValueLimit Prepare(const std::string& name, bool writes,
                     const std::string& shape);
  // Returns false if no statement has the name.
  bool Deallocate(const std::string& name);
  void Clear();

  const std::map<std::string, std::string>& Options() const {
    return m_options;
  }
  // Returns the statement that was prepared under the name, or null.
  const PreparedStatement* Prepared(const std::string& name) const;

 private:
  // Takes `bytes` for an entry in place of `replaced_bytes` for its
  // predecessor; the latter is 0 for a new entry.
  ValueLimit Charge(std::size_t bytes, std::size_t replaced_bytes);

  const SessionLimits m_limits;
  MemoryAccount* const m_account;
  // Sum over all entries; taken from m_account.
  std::size_t m_bytes = 0;
  std::map<std::string, std::string> m_options;
  std::map<std::string, PreparedStatement> m_prepared;
};

}  // namespace tiller::relay
