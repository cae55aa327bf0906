// Implementation of digests and encodings.
#include "Common/crypto.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <vector>

namespace tiller {
namespace {

constexpr std::string_view kBase64UrlAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

std::string ToHex(const unsigned char* data, std::size_t size) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string out;
  out.reserve(size * 2);
  for (std::size_t i = 0; i < size; ++i) {
    out.push_back(kDigits[data[i] >> 4]);
    out.push_back(kDigits[data[i] & 15]);
  }
  return out;
}

}  // namespace

std::string Sha256Hex(std::string_view data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  return ToHex(digest.data(), size);
}

std::string HmacSha256(std::string_view secret, std::string_view data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(data.data()), data.size(),
       digest.data(), &size);
  return std::string(reinterpret_cast<const char*>(digest.data()), size);
}

bool EqualConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string Base64UrlEncode(std::string_view data) {
  std::string out;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char c : data) {
    bits = (bits << 8) | static_cast<unsigned char>(c);
    count += 8;
    while (count >= 6) {
      count -= 6;
      out.push_back(kBase64UrlAlphabet[(bits >> count) & 63]);
    }
  }
  if (count > 0) out.push_back(kBase64UrlAlphabet[(bits << (6 - count)) & 63]);
  return out;
}

std::optional<std::string> Base64UrlDecode(std::string_view text) {
  std::string out;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char c : text) {
    const auto value = kBase64UrlAlphabet.find(c);
    if (value == std::string_view::npos) return std::nullopt;
    bits = (bits << 6) | static_cast<std::uint32_t>(value);
    count += 6;
    if (count < 8) continue;
    count -= 8;
    out.push_back(static_cast<char>((bits >> count) & 255));
  }
  // Accept only the canonical encoding of a value: no extra characters and no
  // bits set after the last byte.
  const bool non_canonical = count >= 6 || (bits & ((1U << count) - 1)) != 0;
  if (non_canonical) return std::nullopt;
  return out;
}

std::uint64_t StableHash(std::string_view data) {
  StableHasher hasher;
  hasher.Add(data);
  return hasher.Finish();
}

std::string RandomHex(int bytes) {
  std::vector<unsigned char> data(static_cast<std::size_t>(bytes));
  RAND_bytes(data.data(), bytes);
  return ToHex(data.data(), data.size());
}

}  // namespace tiller
