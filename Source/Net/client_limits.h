// Works out the limits on clients from the memory and the descriptors of the
// machine.
#pragma once

#include <cstddef>

#include "Common/types.h"
#include "Net/byte_budget.h"
#include "Net/connection_guard.h"

namespace tiller::net {

struct MachineLimits {
  std::size_t memory_bytes = 0;      // 0: not known
  std::size_t connection_bytes = 0;  // of all connections; 0: from the memory
  std::size_t descriptors = 0;       // 0: the limit of the process
  Duration unstarted = std::chrono::seconds(5);
  Duration unfinished_line = std::chrono::seconds(60);
  Duration unread_answer = std::chrono::seconds(60);
};

struct ClientLimits {
  ByteBudget::Limits traffic;  // of the thread of sessions and endpoints
  ByteBudget::Limits control;  // of the thread of the HTTP interfaces
  ConnectionGuard::Limits callers;
  ConnectionGuard::Limits pool;  // sessions of other hosts
  // Of the options and prepared statements of all sessions.
  std::size_t session_values_bytes = 0;
};

ClientLimits DeriveClientLimits(const MachineLimits& machine);

}  // namespace tiller::net
