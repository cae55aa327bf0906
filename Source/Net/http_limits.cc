// Implementation of the limits of HTTP listeners.
#include "Net/http_limits.h"

#include <sys/resource.h>

#include <algorithm>
#include <utility>

namespace tiller::net {
namespace {

constexpr std::size_t kDefaultMemoryBytes = std::size_t{4} << 30;
constexpr std::size_t kMaxDescriptors = 1U << 20;
// Parts of the memory. A request is copied on its way, and the allocator keeps
// part of what is freed, so all listeners together get a quarter.
constexpr std::size_t kCallersPart = 32;  // 3 of them, and 3 for in flight
constexpr std::size_t kControlPart = 16;
// A result of 1 MiB in small cells takes up to 5 MiB while it is received.
constexpr std::size_t kResultsPart = 16;
// Room for one message of 1 MiB with its buffers beside the reserve.
constexpr std::size_t kMinBudgetBytes = 3U << 19;
// Up to this size, a connection is ordinary: usual requests and answers are a
// few hundred bytes.
constexpr std::size_t kOrdinaryBytes = 64U << 10;
constexpr std::size_t kReservePart = 8;

constexpr std::size_t kMaxPeerBodyBytes = 16U << 20;
constexpr std::size_t kMaxOperationsBodyBytes = 64U << 10;
// Parts of the callers' number of connections. A probe or a scrape needs one or
// two; a host has one connection, now and then two, to each other host.
constexpr std::size_t kPeerConnectionsPart = 5;
constexpr std::size_t kOperationsConnectionsPart = 10;

ByteBudget::Limits Budget(std::size_t bytes) {
  bytes = std::max(bytes, kMinBudgetBytes);
  return {bytes, bytes / kReservePart, kOrdinaryBytes};
}

std::size_t ProcessDescriptors() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return kMaxDescriptors;
  return std::min<std::size_t>(limit.rlim_cur, kMaxDescriptors);
}

}  // namespace

HttpLimits DeriveHttpLimits(std::size_t memory_bytes, std::size_t descriptors) {
  if (memory_bytes == 0) memory_bytes = kDefaultMemoryBytes;
  if (descriptors == 0) descriptors = ProcessDescriptors();
  HttpLimits out;
  out.callers = Budget(memory_bytes / kCallersPart * 3);
  out.callers_in_flight_bytes = out.callers.total_bytes;
  out.results_bytes = memory_bytes / kResultsPart;
  out.control = Budget(memory_bytes / kControlPart);
  // The rest is for endpoints, the platform and calls to other hosts.
  out.caller_connections = descriptors / 2;
  out.control_connections = descriptors / 10 * 3;
  return out;
}

HttpServerOptions InternalListenerOptions(std::string name, BudgetClass kind,
                                          std::size_t budget_bytes,
                                          std::size_t caller_connections,
                                          SharedBudget* budget,
                                          Counters* counters,
                                          const Clock* clock) {
  const bool peer = kind == BudgetClass::kPeer;
  HttpServerOptions options;
  options.name = std::move(name);
  // One message of the largest size fits into the budget with its buffers.
  options.max_body_bytes =
      peer ? std::min(kMaxPeerBodyBytes, budget_bytes / 4 * 3)
           : kMaxOperationsBodyBytes;
  options.limits.connections =
      caller_connections /
      (peer ? kPeerConnectionsPart : kOperationsConnectionsPart);
  options.budget = budget;
  options.budget_class = kind;
  options.counters = counters;
  options.clock = clock;
  return options;
}

}  // namespace tiller::net
