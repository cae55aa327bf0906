// Implementation of the stand-in platform's state.
#include "StandIn/platform_store.h"

#include <vector>

namespace tiller::standin {

using platform::Answer;

Result<Answer> PlatformStore::Execute(const platform::Call& call) {
  return std::visit([this](const auto& typed_call) { return Run(typed_call); },
                    call);
}

void PlatformStore::SetHosts(std::vector<platform::ListedHost> hosts,
                             Instant visible_at) {
  m_host_lists.emplace_back(visible_at, std::move(hosts));
}

Result<Answer> PlatformStore::Run(const platform::ReadRow& call) {
  ++m_reads;
  const auto it = m_rows.find({call.table, call.key});
  if (it == m_rows.end()) return MakeError(ErrorCode::kNotFound, call.key);
  Answer answer;
  answer.rows.push_back(it->second);
  return answer;
}

Result<Answer> PlatformStore::Run(const platform::ListRows& call) {
  ++m_reads;
  Answer answer;
  for (const auto& [key, row] : m_rows) {
    if (key.first != call.table) continue;
    answer.rows.push_back(row);
  }
  return answer;
}

Result<Answer> PlatformStore::Run(const platform::CommitRows& call) {
  for (const auto& write : call.writes) {
    const auto it = m_rows.find({write.table, write.key});
    const auto current = it == m_rows.end() ? 0 : it->second.version;
    if (current != write.expected) {
      return MakeError(ErrorCode::kConflict, write.key);
    }
  }
  Answer answer;
  for (const auto& write : call.writes) {
    ++m_writes;
    if (write.value.isNull()) {
      m_rows.erase({write.table, write.key});
      answer.versions.push_back(0);
      continue;
    }
    m_rows[{write.table, write.key}] = {write.key, ++m_last_version,
                                        write.value};
    answer.versions.push_back(m_last_version);
  }
  return answer;
}

Result<Answer> PlatformStore::Run(const platform::GetObject& call) {
  ++m_reads;
  const auto it = m_objects.find(call.name);
  if (it == m_objects.end()) return MakeError(ErrorCode::kNotFound, call.name);
  Answer answer;
  answer.body = it->second;
  return answer;
}

Result<Answer> PlatformStore::Run(const platform::PutObject& call) {
  ++m_writes;
  const auto [it, added] = m_objects.emplace(call.name, call.body);
  if (!added && it->second != call.body) {
    return MakeError(ErrorCode::kConflict, call.name);
  }
  return Answer{};
}

Result<Answer> PlatformStore::Run(const platform::ListHosts&) {
  ++m_reads;
  while (m_host_lists.size() > 1 && m_host_lists[1].first <= m_now)
    m_host_lists.pop_front();
  Answer answer;
  if (!m_host_lists.empty() && m_host_lists.front().first <= m_now) {
    answer.hosts = m_host_lists.front().second;
  }
  return answer;
}

}  // namespace tiller::standin
