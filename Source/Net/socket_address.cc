// Implementation of the parsing of socket addresses.
#include "Net/socket_address.h"

#include <charconv>
#include <cstdint>

namespace tiller::net {

using boost::asio::ip::tcp;
using boost::system::error_code;

Result<tcp::endpoint> ParseAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  error_code failure;
  const auto* const end = text.data() + text.size();
  const auto* parsed_to = text.data();
  std::uint16_t port = 0;
  if (colon != std::string::npos) {
    parsed_to = std::from_chars(text.data() + colon + 1, end, port).ptr;
  }
  const auto address = boost::asio::ip::make_address(
      text.substr(0, colon == std::string::npos ? 0 : colon), failure);
  if (failure || port == 0 || parsed_to != end) {
    return MakeError(ErrorCode::kSettingInvalid, "bad address: " + text);
  }
  return tcp::endpoint(address, port);
}

}  // namespace tiller::net
