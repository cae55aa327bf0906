// Implementation of connection setup.
#include "Relay/connection_setup.h"

#include <algorithm>

namespace tiller::relay {

std::string SharedStatementName(const PreparedStatement& prepared) {
  return (prepared.writes ? "w_" : "r_") + prepared.shape;
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
  const auto name = SharedStatementName(*execute);
  if (connection.prepared.count(name) > 0) return std::nullopt;
  return SetupStep{Step::kPrepare,
                   {execute->writes ? Verb::kPrepareWrite : Verb::kPrepareRead,
                    "", name, execute->shape}};
}

void RecordSetupStep(Connection* connection, Step step) {
  switch (step) {
    case Step::kDiscard:
      connection->options.clear();
      connection->prepared.clear();
      connection->dirty = false;
      return;
    case Step::kSetOption:
      connection->options[connection->sent.name] = connection->sent.argument;
      connection->options_in_transaction |= connection->in_transaction;
      return;
    case Step::kPrepare:
      connection->prepared.insert(connection->sent.name);
      connection->options_in_transaction |= connection->in_transaction;
      return;
    default:
      return;
  }
}

}  // namespace tiller::relay
