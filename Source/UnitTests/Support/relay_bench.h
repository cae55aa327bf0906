// Test bench: a relay core with simulated endpoints. Connections open at once;
// statements stay pending until the test answers them.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Relay/relay_core.h"

namespace tiller::relay {

// Whether the text is short and holds nothing that ends a field of a line.
bool IsToken(const std::string& text);

class RelayBench {
 public:
  explicit RelayBench(bool load_management = false);

  // Returns a directory with one group "g" (primary "p", replicas "r1" and
  // "r2"), one database per kind of route ("strict", "bounded" and "own"; the
  // last one is read-your-writes), and the workspaces "w1" and "w2" (keys "k1"
  // and "k2").
  Directory MakeDirectory() const;
  // Hands the directory to the core.
  void Publish(const Directory& directory);

  SessionId Open(const std::string& database, const std::string& key = "k1");
  // Sends a caller's statement on the session.
  void Submit(SessionId session, Verb verb, const std::string& text,
              const std::string& name = {}, const std::string& argument = {});
  // Advances the clock and fires the timer.
  void Tick(Milliseconds by);
  void Handle(const Event& event);

  // Statements that wait for an endpoint's answer, oldest first.
  struct Pending {
    SendStatement statement;
    EndpointId endpoint;
    WorkspaceId workspace;
    std::string address;  // of the endpoint or of the shared pool
  };
  std::vector<Pending>& PendingStatements() { return m_pending; }
  // Returns the oldest of them at the endpoint, if any.
  std::optional<Pending> NextPendingAt(const EndpointId& endpoint) const;
  // Answers a statement that was taken from them with success, as its endpoint
  // would: with the state of its transaction, and a receipt of its own if it is
  // a read, write or commit. `receipt` is used if it has not been used before.
  void Complete(const Pending& pending, const std::string& receipt = {},
                std::optional<GroupPosition> position = {});
  // Answers the oldest pending statement with success.
  void CompleteNext(const std::string& receipt = {},
                    std::optional<GroupPosition> position = {});
  // Answers the oldest pending statement with a refusal.
  void Refuse(Refusal refusal, TxState state = TxState::kIdle);
  // Answers it with a refusal of a shared pool, which has no log position.
  void RefuseByPool(Refusal refusal);
  // Answers the relay's own statements until a caller's statement is next.
  void CompleteInternal();
  // Drops the connection of the oldest pending statement.
  void DropNextConnection();
  // Runs a write, which records a watermark at its position. Returns whether it
  // succeeded.
  bool RecordWatermark();
  // From now on there are 24 hosts, whose connections go through shared pools.
  void UseSharedPools();

  // Removes and returns the oldest result that the session got, if any.
  std::optional<StatementResult> TakeAnswer(SessionId session);
  std::map<SessionId, std::vector<StatementResult>>& Answers() {
    return m_answers;
  }
  // Returns the number of open connections to the endpoint.
  std::size_t OpenConnectionsAt(const EndpointId& endpoint) const;

  ManualClock clock;
  SeededRandom random{7};
  Counters counters;
  RelayCore core;
  // Log position that endpoints report.
  GroupPosition log_position{1, 100};
  // Each endpoint refuses connections above this number.
  std::size_t endpoint_limit = 1000;
  bool refuse_connections = false;
  Refusal connection_refusal = Refusal::kTooMany;
  // Endpoints do not answer connection attempts at all.
  bool unresponsive = false;
  // Actions of the core, as received by the bench.
  std::vector<SessionId> closed;
  std::vector<SessionId> rejected;
  std::vector<AdminDone> admin;
  std::vector<PrimaryHealth> health;
  std::vector<CommitsHeld> held;
  std::optional<bool> cut_off;

 private:
  // Handles the actions of the core until it returns none.
  void HandleActions();
  void HandleAction(const Action& action);

  SessionId m_next_session = 1;
  std::uint64_t m_next_request = 1;
  struct OpenedConnection {
    EndpointId endpoint;
    WorkspaceId workspace;
    std::string address;
    TxState state = TxState::kIdle;
  };
  std::map<ConnectionId, OpenedConnection> m_connections;
  std::set<std::string> m_receipts;
  std::uint64_t m_statuses = 0;
  std::vector<Pending> m_pending;
  std::map<SessionId, std::vector<StatementResult>> m_answers;
  bool m_handling_actions = false;
};

}  // namespace tiller::relay
