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
// Compares in a time that depends only on the lengths, against timing attacks.
bool EqualConstantTime(std::string_view a, std::string_view b);

// Base64 with the URL-safe alphabet and without padding. Decoding returns
// nullopt unless the text is the canonical encoding of a value.
std::string Base64UrlEncode(std::string_view data);
std::optional<std::string> Base64UrlDecode(std::string_view text);

// FNV-1a with an avalanche step. The value is the same on all hosts; it is used
// to order and distribute items, not for security. A copy of a hasher continues
// from the same prefix.
class StableHasher {
 public:
  void Add(std::string_view data) {
    for (const char c : data) {
      m_hash ^= static_cast<unsigned char>(c);
      m_hash *= 1099511628211ULL;
    }
  }
  std::uint64_t Finish() const {
    auto hash = m_hash;
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    return hash;
  }

 private:
  std::uint64_t m_hash = 14695981039346656037ULL;
};

// Returns the hash of `data` alone.
std::uint64_t StableHash(std::string_view data);

// Returns `bytes` random bytes of OpenSSL's generator, which the operating
// system seeds, as hexadecimal digits.
std::string RandomHex(int bytes);

}  // namespace tiller
