// Implementation of the session token.
#include "Session/session_token.h"

#include <algorithm>
#include <utility>

#include "Common/crypto.h"

namespace tiller::session {
namespace {

constexpr char kVersion = 1;
constexpr std::size_t kTagBytes = 16;
constexpr std::size_t kMaxGroups = 16;

void PutVarint(std::string* out, std::uint64_t value) {
  while (value >= 128) {
    out->push_back(static_cast<char>((value & 127) | 128));
    value >>= 7;
  }
  out->push_back(static_cast<char>(value));
}

void PutText(std::string* out, std::string_view text) {
  PutVarint(out, text.size());
  out->append(text);
}

// Reads the fields of a token's body. Ok() is false once a field was malformed;
// the values read from then on are meaningless.
class BodyReader {
 public:
  explicit BodyReader(std::string_view body) : m_body(body) {}
  std::uint64_t Varint() {
    std::uint64_t value = 0;
    for (int shift = 0; shift < 64; shift += 7) {
      if (m_at >= m_body.size()) break;
      const auto byte = static_cast<unsigned char>(m_body[m_at++]);
      value |= static_cast<std::uint64_t>(byte & 127) << shift;
      if (byte < 128) return value;
    }
    m_ok = false;
    return 0;
  }
  std::string Text() {
    const auto size = Varint();
    if (size > m_body.size() - m_at) {
      m_ok = false;
      return {};
    }
    std::string out(m_body.substr(m_at, size));
    m_at += size;
    return out;
  }
  bool Ok() const { return m_ok; }
  bool AtEnd() const { return m_at == m_body.size(); }

 private:
  std::string_view m_body;
  std::size_t m_at = 0;
  bool m_ok = true;
};

Error Invalid(std::string detail) {
  return MakeError(ErrorCode::kSessionInvalid, std::move(detail));
}

}  // namespace

GroupPosition SessionState::LastSeenPosition(const GroupId& group) const {
  const auto it = seen.find(group);
  return it == seen.end() ? GroupPosition{} : it->second;
}

void SessionState::Advance(const GroupId& group, GroupPosition position) {
  auto& current = seen[group];
  current = std::max(current, position);
}

std::string EncodeToken(const SessionState& state, std::string_view secret) {
  std::string body(1, kVersion);
  PutText(&body, state.workspace);
  PutVarint(&body, state.seen.size());
  for (const auto& [group, position] : state.seen) {
    PutText(&body, group);
    PutVarint(&body, position.term);
    PutVarint(&body, position.position);
  }
  body.append(HmacSha256(secret, body), 0, kTagBytes);
  return Base64UrlEncode(body);
}

Result<SessionState> DecodeToken(std::string_view token,
                                 std::string_view secret,
                                 const WorkspaceId& workspace) {
  if (token.size() > kMaxTokenLength) return Invalid("too long");
  const auto decoded = Base64UrlDecode(token);
  if (!decoded || decoded->size() <= kTagBytes) return Invalid("malformed");
  const auto body =
      std::string_view(*decoded).substr(0, decoded->size() - kTagBytes);
  const auto tag = std::string_view(*decoded).substr(body.size());
  const auto expected = HmacSha256(secret, body);
  if (!EqualConstantTime(tag,
                         std::string_view(expected).substr(0, kTagBytes))) {
    return Invalid("not issued by this system");
  }
  if (body[0] != kVersion) return Invalid("unknown version");
  BodyReader reader(body.substr(1));
  SessionState state;
  state.workspace = reader.Text();
  const auto groups = reader.Varint();
  if (groups > kMaxGroups) return Invalid("too many groups");
  for (std::uint64_t i = 0; i < groups; ++i) {
    const auto group = reader.Text();
    const Term term = reader.Varint();
    state.seen[group] = {term, reader.Varint()};
  }
  if (!reader.Ok() || !reader.AtEnd()) return Invalid("malformed body");
  if (state.workspace != workspace) {
    return MakeError(ErrorCode::kSessionForeign,
                     "the session belongs to another workspace");
  }
  return state;
}

}  // namespace tiller::session
