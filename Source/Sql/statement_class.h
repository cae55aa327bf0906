// Decides with PostgreSQL's own parser whether a statement may run on a
// replica, must run on the primary, or is refused.
#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace tiller::sql {

enum class StatementClass { kRead, kWrite, kRefused };

struct Classification {
  StatementClass kind = StatementClass::kWrite;
  // Why the statement is refused. Empty for other classes.
  std::string reason;
  // The statement may leave state in its connection, such as a temporary
  // table. True for everything except plain queries and row changes.
  bool leaves_state = true;
};

// A statement is a read if it calls only functions known to have no side
// effects, takes no locks and has no part that writes. A text that cannot be
// parsed is a write, unless it contains a reserved word. Statements are refused
// if they would change their session or the enclosing transaction, or access
// functions or tables reserved for this system. Texts with more than one
// statement are refused as well.
Classification Classify(const std::string& sql);

// Caches the classifications of recent statements. When the cache is full, it
// evicts the least recently used one. Not thread-safe.
class StatementClassCache {
 public:
  explicit StatementClassCache(std::size_t capacity) : m_capacity(capacity) {}
  const Classification& Lookup(const std::string& sql);

 private:
  struct Entry {
    Classification classification;
    std::list<std::string>::iterator lru_position;
  };
  const std::size_t m_capacity;
  // Statements in order of use, most recent first; one element per entry.
  std::list<std::string> m_lru_order;
  std::unordered_map<std::string, Entry> m_entries;
};

}  // namespace tiller::sql
