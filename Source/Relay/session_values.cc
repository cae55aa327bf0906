// Implementation of the session's options and prepared statements.
#include "Relay/session_values.h"

#include "Relay/connection_setup.h"

namespace tiller::relay {
namespace {

// Of an entry beside its texts: the nodes of the containers, and the name on
// endpoint connections.
constexpr std::size_t kEntryBytes = 256;

std::size_t EntryBytes(const std::string& name, const std::string& value) {
  return name.size() + value.size() + kEntryBytes;
}

}  // namespace

bool MemoryAccount::TryTake(std::size_t bytes) {
  if (bytes > m_limit - m_used) return false;
  m_used += bytes;
  return true;
}

ValueLimit SessionValues::Charge(std::size_t bytes,
                                 std::size_t replaced_bytes) {
  const bool is_new = replaced_bytes == 0;
  if (is_new && m_options.size() + m_prepared.size() >= m_limits.names) {
    return ValueLimit::kNames;
  }
  if (m_bytes - replaced_bytes + bytes > m_limits.bytes) {
    return ValueLimit::kSessionBytes;
  }
  if (bytes > replaced_bytes && !m_account->TryTake(bytes - replaced_bytes)) {
    return ValueLimit::kHostBytes;
  }
  if (bytes < replaced_bytes) m_account->Return(replaced_bytes - bytes);
  m_bytes = m_bytes - replaced_bytes + bytes;
  return ValueLimit::kNone;
}

ValueLimit SessionValues::SetOption(const std::string& name,
                                    const std::string& value) {
  const auto old = m_options.find(name);
  const auto limit =
      Charge(EntryBytes(name, value),
             old == m_options.end() ? 0 : EntryBytes(name, old->second));
  if (limit == ValueLimit::kNone) m_options[name] = value;
  return limit;
}

ValueLimit SessionValues::Prepare(const std::string& name, bool writes,
                                  const std::string& shape) {
  const auto old = m_prepared.find(name);
  const auto limit =
      Charge(EntryBytes(name, shape),
             old == m_prepared.end() ? 0 : EntryBytes(name, old->second.shape));
  if (limit == ValueLimit::kNone) {
    m_prepared[name] = {writes, shape, SharedStatementName(writes, shape)};
  }
  return limit;
}

bool SessionValues::Deallocate(const std::string& name) {
  const auto it = m_prepared.find(name);
  if (it == m_prepared.end()) return false;
  const auto bytes = EntryBytes(name, it->second.shape);
  m_account->Return(bytes);
  m_bytes -= bytes;
  m_prepared.erase(it);
  return true;
}

void SessionValues::Clear() {
  m_account->Return(m_bytes);
  m_bytes = 0;
  m_options.clear();
  m_prepared.clear();
}

const PreparedStatement* SessionValues::Prepared(
    const std::string& name) const {
  const auto it = m_prepared.find(name);
  return it == m_prepared.end() ? nullptr : &it->second;
}

}  // namespace tiller::relay
