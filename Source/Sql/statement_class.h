// Decides with PostgreSQL's own parser whether a statement may run on a
// replica, must run on the primary, or is refused.
#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace tiller::sql {

enum class StatementClass { kRead, kWrite, kRefused };

struct Classified {
  StatementClass kind = StatementClass::kWrite;
  // Why a statement is refused; empty otherwise.
  std::string reason;
  // It may leave something behind in its connection, such as a temporary
  // table; true of all but plain queries and changes of rows.
  bool leaves_state = true;
};

// A read calls only functions known to have no side effects, takes no locks
// and has no part that writes. What can't be parsed is taken for a write.
// Refused are statements that would change the session or the transaction
// around them, several statements in one text, and access to the system's own
// functions and tables.
Classified Classify(const std::string& sql);

// Remembers the classes of recent statements; the least recently used goes
// first. Not thread-safe.
class ClassCache {
 public:
  explicit ClassCache(std::size_t capacity) : m_capacity(capacity) {}
  const Classified& Lookup(const std::string& sql);

 private:
  struct Entry {
    Classified value;
    std::list<std::string>::iterator use;
  };
  const std::size_t m_capacity;
  // Most recently used first; one element per entry.
  std::list<std::string> m_uses;
  std::unordered_map<std::string, Entry> m_entries;
};

}  // namespace tiller::sql
