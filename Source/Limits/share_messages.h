// Messages by which hosts lend each other parts of fleet-wide limits.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Common/types.h"

namespace tiller::limits {

using MicroTokens = std::int64_t;
inline constexpr MicroTokens kMicroPerToken = 1'000'000;

// Asks for tokens of a workspace's rate.
struct TokenRequest {
  WorkspaceId workspace;
  std::uint64_t request_id = 0;
  MicroTokens wanted = 0;
  // Earlier grants from the same host that have arrived or were given up.
  std::vector<std::uint64_t> settled;
};
struct TokenGrant {
  WorkspaceId workspace;
  std::uint64_t request_id = 0;
  MicroTokens granted = 0;
};

// Asks for one unit of a divisible resource such as an endpoint's slots.
struct UnitRequest {
  std::string resource;
  std::uint64_t request_id = 0;
  // An earlier loan to be extended; 0 for a new one.
  std::uint64_t renews = 0;
};
struct UnitGrant {
  std::string resource;
  std::uint64_t request_id = 0;
  std::uint64_t loan_id = 0;  // 0: refused
};
struct UnitReturn {
  std::string resource;
  std::uint64_t loan_id = 0;
};
// The owner needs the unit; the borrower returns it after its statement.
struct UnitRecall {
  std::string resource;
  std::uint64_t loan_id = 0;
};

using ShareMessage = std::variant<TokenRequest, TokenGrant, UnitRequest,
                                  UnitGrant, UnitReturn, UnitRecall>;

struct AddressedShareMessage {
  HostId to;
  ShareMessage message;
};

}  // namespace tiller::limits
