// Implementation of the limits on clients.
#include "Net/client_limits.h"

#include <sys/resource.h>

#include <algorithm>

namespace tiller::net {
namespace {

// Of a machine whose limits are not known.
constexpr std::size_t kDefaultMemoryBytes = std::size_t{4} << 30;
constexpr std::size_t kMaxDescriptors = 1U << 20;
// The program itself needs 10 MB. Freed buffers stay with the allocator in
// part, and a statement is copied on its way, so the budget is a quarter.
constexpr std::size_t kMemoryShare = 4;
// With less, a message of 1 MiB would not find room in a calm process.
constexpr std::size_t kMinConnectionBytes = 8U << 20;
// Up to this size, a connection is ordinary: statements and answers of the
// usual routes are a few hundred bytes.
constexpr std::size_t kOrdinaryBytes = 64U << 10;
// A message of 1 MiB and the statement made of it take 4 MiB.
constexpr std::size_t kMinOneConnectionBytes = 6U << 20;
constexpr std::size_t kMaxSessionValuesBytes = 16U << 20;

ByteBudget::Limits Budget(std::size_t bytes) {
  return {bytes, bytes / 8, std::min(kOrdinaryBytes, bytes / 64)};
}

std::size_t ProcessDescriptors() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return kMaxDescriptors;
  return std::min<std::size_t>(limit.rlim_cur, kMaxDescriptors);
}

}  // namespace

ClientLimits DeriveClientLimits(const MachineLimits& machine) {
  const auto memory =
      machine.memory_bytes == 0 ? kDefaultMemoryBytes : machine.memory_bytes;
  const auto bytes =
      std::max(machine.connection_bytes == 0 ? memory / kMemoryShare
                                             : machine.connection_bytes,
               kMinConnectionBytes);
  const auto descriptors =
      machine.descriptors == 0 ? ProcessDescriptors() : machine.descriptors;
  ClientLimits out;
  out.traffic = Budget(bytes / 4 * 3);
  out.control = Budget(bytes / 4);
  out.callers.unstarted = machine.unstarted;
  out.callers.unfinished_line = machine.unfinished_line;
  out.callers.unread_answer = machine.unread_answer;
  out.callers.connection_bytes = std::max(bytes / 2, kMinOneConnectionBytes);
  out.pool = out.callers;
  // The rest is for endpoints, pools of other hosts, store, peers and the HTTP
  // interfaces.
  out.callers.connections = descriptors / 2;
  out.callers.connections_of_owner = descriptors / 8 * 3;
  out.pool.connections = descriptors / 10 * 3;
  out.pool.connections_of_owner = out.pool.connections;
  out.session_values_bytes = std::min(bytes / 4, kMaxSessionValuesBytes);
  return out;
}

}  // namespace tiller::net
