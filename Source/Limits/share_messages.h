// Messages that hosts exchange to lend each other parts of fleet-wide limits.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Common/types.h"

namespace tiller::limits {

// Millionths of a token.
using MicroTokens = std::int64_t;
inline constexpr MicroTokens kMicroPerToken = 1'000'000;

// Requests tokens from the receiver's share of a workspace's rate.
struct TokenRequest {
  WorkspaceId workspace;
  std::uint64_t request_id = 0;
  MicroTokens wanted = 0;
  // Request ids of earlier grants from the receiver that have been credited
  // here, so that the receiver can release the reservations for them.
  std::vector<std::uint64_t> settled;
};
// Answers a TokenRequest; `granted` is 0 if the request was refused.
struct TokenGrant {
  WorkspaceId workspace;
  std::uint64_t request_id = 0;
  MicroTokens granted = 0;
};

// Requests one unit of a divisible resource, such as an endpoint's slots.
struct UnitRequest {
  std::string resource;
  std::uint64_t request_id = 0;
  // Id of the loan to extend; 0 requests a new loan.
  std::uint64_t renews = 0;
};
// Answers a UnitRequest.
struct UnitGrant {
  std::string resource;
  std::uint64_t request_id = 0;
  std::uint64_t loan_id = 0;  // 0: refused
};
// The borrower returns the unit before its loan expires.
struct UnitReturn {
  std::string resource;
  std::uint64_t loan_id = 0;
};
// The owner asks for the unit back. The borrower returns it when the statement
// that uses it has finished, or at once if the unit is idle.
struct UnitRecall {
  std::string resource;
  std::uint64_t loan_id = 0;
};

using ShareMessage = std::variant<TokenRequest, TokenGrant, UnitRequest,
                                  UnitGrant, UnitReturn, UnitRecall>;

// A message and the host that it is for.
struct AddressedShareMessage {
  HostId to;
  ShareMessage message;
};

}  // namespace tiller::limits
