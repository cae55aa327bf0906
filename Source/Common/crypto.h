// Digests and text encodings, over OpenSSL.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tiller {

// SHA-256 as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view data);
// HMAC-SHA256 as 32 raw bytes.
std::string HmacSha256(std::string_view secret, std::string_view data);
// Compares in time that depends on the length only.
bool EqualConstantTime(std::string_view a, std::string_view b);

std::string Base64UrlEncode(std::string_view data);
std::optional<std::string> Base64UrlDecode(std::string_view text);

// FNV-1a with an avalanche step; for placement, not for security.
std::uint64_t StableHash(std::string_view data);

// `bytes` bytes from the operating system's generator, in hexadecimal.
std::string RandomHex(int bytes);

}  // namespace tiller
