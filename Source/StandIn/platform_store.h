// State of the stand-in platform: versioned rows, write-once objects and the
// list of hosts, which lags. Performs no I/O, so that the stand-in daemon and
// the tests run the same code.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Platform/platform_calls.h"

namespace tiller::standin {

class PlatformStore {
 public:
  // Executes one call synchronously.
  Result<platform::Answer> Execute(const platform::Call& call);
  // Replaces the list of hosts. Readers get the new list from `visible_at` on.
  void SetHosts(std::vector<platform::ListedHost> hosts, Instant visible_at);
  void SetNow(Instant now) { m_now = now; }
  std::uint64_t WriteCount() const { return m_writes; }
  std::uint64_t ReadCount() const { return m_reads; }

 private:
  using TableKey = std::pair<std::string, std::string>;
  Result<platform::Answer> Run(const platform::ReadRow& call);
  Result<platform::Answer> Run(const platform::ListRows& call);
  Result<platform::Answer> Run(const platform::CommitRows& call);
  Result<platform::Answer> Run(const platform::GetObject& call);
  Result<platform::Answer> Run(const platform::PutObject& call);
  Result<platform::Answer> Run(const platform::ListHosts& call);

  std::map<TableKey, platform::Row> m_rows;
  std::map<std::string, std::string> m_objects;
  // Lists of hosts, oldest first, with the time from which each is visible.
  std::deque<std::pair<Instant, std::vector<platform::ListedHost>>>
      m_host_lists;
  Instant m_now;
  // Versions are not reused, even after a deletion, so that each identifies one
  // write.
  platform::RowVersion m_last_version = 0;
  std::uint64_t m_writes = 0;
  std::uint64_t m_reads = 0;
};

}  // namespace tiller::standin
