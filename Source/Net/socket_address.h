// Parsing of socket addresses.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "Common/error.h"

namespace tiller::net {

// Parses "address:port" with a numeric IP address. Fails with kSettingInvalid.
Result<boost::asio::ip::tcp::endpoint> ParseAddress(const std::string& text);

}  // namespace tiller::net
