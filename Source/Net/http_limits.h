// Works out the limits of the HTTP listeners of a host from the memory and the
// descriptors of its machine.
#pragma once

#include <cstddef>
#include <string>

#include "Net/http_server.h"

namespace tiller::net {

// Of a host whose callers use HTTP.
struct HttpLimits {
  ByteBudget::Limits callers;  // what the connections of callers hold
  std::size_t callers_in_flight_bytes = 0;  // requests that wait or run
  // Results of endpoints that are being received.
  std::size_t results_bytes = 0;
  std::size_t caller_connections = 0;
  ByteBudget::Limits control;  // connections of hosts and operators
  std::size_t control_connections = 0;
};

// 0 means 4 GiB of memory, or the descriptors that the process may open.
HttpLimits DeriveHttpLimits(std::size_t memory_bytes, std::size_t descriptors);

// Options, without address, of a listener that a host has beside the one of its
// callers. `kind` is kPeer for other hosts and kOperations for probes and
// metrics, which send no bodies. `budget_bytes` is the size of `budget`.
HttpServerOptions InternalListenerOptions(std::string name, BudgetClass kind,
                                          std::size_t budget_bytes,
                                          std::size_t caller_connections,
                                          SharedBudget* budget,
                                          Counters* counters,
                                          const Clock* clock);

}  // namespace tiller::net
