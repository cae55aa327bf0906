// Implementation of connection setup.
#include "Relay/connection_setup.h"

#include <algorithm>
#include <utility>

#include "Common/crypto.h"

namespace tiller::relay {
namespace {

// Limits of the prepared statements that a connection holds.
constexpr std::size_t kMaxPreparedNames = 256;
constexpr std::size_t kMaxPreparedBytes = kCallerLimits.bytes;
// Options of this size may stay set on an idle connection.
constexpr std::size_t kMaxIdleOptionBytes = 4U << 10;

bool IsFull(const Connection& connection, const PreparedStatement& added) {
  if (connection.prepared.empty()) return false;
  return connection.prepared.size() >= kMaxPreparedNames ||
         connection.prepared_bytes + added.shape.size() > kMaxPreparedBytes;
}

}  // namespace

std::string SharedStatementName(bool writes, std::string_view shape) {
  constexpr std::size_t kDigestDigits = 32;  // 128 bits
  return (writes ? "w_" : "r_") + Sha256Hex(shape).substr(0, kDigestDigits);
}

std::optional<SetupStep> NextSetupStep(
    const Connection& connection,
    const std::map<std::string, std::string>& options,
    const PreparedStatement* execute) {
  const bool extra_option = std::any_of(
      connection.options.begin(), connection.options.end(),
      [&](const auto& option) { return options.count(option.first) == 0; });
  if (connection.dirty || extra_option) {
    return SetupStep{Step::kDiscard, {Verb::kDiscard, "", "", ""}};
  }
  for (const auto& [name, value] : options) {
    const auto it = connection.options.find(name);
    if (it != connection.options.end() && it->second == value) continue;
    return SetupStep{Step::kSetOption, {Verb::kSetOption, "", name, value}};
  }
  if (execute == nullptr) return std::nullopt;
  if (connection.prepared.count(execute->shared_name) > 0) return std::nullopt;
  if (!connection.in_transaction && IsFull(connection, *execute)) {
    return SetupStep{Step::kDiscard, {Verb::kDiscard, "", "", ""}};
  }
  return SetupStep{Step::kPrepare,
                   {execute->writes ? Verb::kPrepareWrite : Verb::kPrepareRead,
                    "", execute->shared_name, execute->shape}};
}

void RecordSent(Connection* connection, Step step, const Statement& statement) {
  connection->step = step;
  connection->sent = {statement.verb, "", "", ""};
  if (step != Step::kSetOption && step != Step::kPrepare) return;
  connection->sent.name = statement.name;
  if (step == Step::kSetOption) {
    connection->sent.argument = statement.argument;
  } else {
    connection->sent_shape_bytes = statement.argument.size();
  }
}

void RecordSetupStep(Connection* connection, Step step) {
  switch (step) {
    case Step::kDiscard:
      connection->options.clear();
      connection->prepared.clear();
      connection->prepared_bytes = 0;
      connection->dirty = false;
      return;
    case Step::kSetOption:
      connection->options[std::exchange(connection->sent.name, {})] =
          std::exchange(connection->sent.argument, {});
      connection->options_in_transaction |= connection->in_transaction;
      return;
    case Step::kPrepare:
      connection->prepared.insert(std::exchange(connection->sent.name, {}));
      connection->prepared_bytes += connection->sent_shape_bytes;
      connection->options_in_transaction |= connection->in_transaction;
      return;
    default:
      return;
  }
}

void ForgetLargeOptions(Connection* connection) {
  std::size_t bytes = 0;
  for (const auto& [name, value] : connection->options) {
    bytes += name.size() + value.size();
  }
  if (bytes <= kMaxIdleOptionBytes) return;
  connection->options.clear();
  connection->dirty = true;
}

}  // namespace tiller::relay
