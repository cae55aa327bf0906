// A relay core with scripted endpoints: connections open at once, statements
// wait until the test answers them.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Relay/relay_core.h"

namespace tiller::relay {

class RelayBench {
 public:
  RelayBench();

  // Directory of one group "g": primary "p", replicas "r1" and "r2", with one
  // database per kind of route and workspaces "w1" and "w2" (keys "k1", "k2").
  Directory MakeDirectory() const;
  void Publish(const Directory& directory);

  SessionId Open(const std::string& database, const std::string& key = "k1");
  void Say(SessionId session, Verb verb, const std::string& text,
           const std::string& name = {}, const std::string& argument = {});
  void Tick(Milliseconds by);
  void Handle(const Event& event);

  // Statements that endpoints have not answered, oldest first.
  struct Pending {
    SendStatement statement;
    EndpointId endpoint;
    WorkspaceId workspace;
  };
  std::vector<Pending>& Statements() { return m_pending; }
  std::optional<Pending> NextAt(const EndpointId& endpoint) const;
  // Answers the oldest statement.
  void Succeed(const std::string& text = "-",
               std::optional<GroupPosition> position = {});
  void Refuse(Refusal refusal, TxState state = TxState::kIdle);
  // Answers the relay's own statements until a caller's is pending.
  void SucceedOwn();
  void LoseConnectionOfNext();

  std::optional<StatementResult> Answer(SessionId session);
  std::map<SessionId, std::vector<StatementResult>>& Answers() {
    return m_answers;
  }
  std::size_t OpenAt(const EndpointId& endpoint) const;

  ManualClock clock;
  SeededRandom random{7};
  Counters counters;
  RelayCore core;
  GroupPosition log{1, 100};
  // Connections beyond this are refused by each endpoint.
  std::size_t endpoint_limit = 1000;
  bool refuse_connections = false;
  // Endpoints don't answer connections at all.
  bool dark = false;
  std::vector<SessionId> closed;
  std::vector<SessionId> rejected;
  std::vector<AdminDone> admin;
  std::vector<PrimaryHealth> health;
  std::optional<bool> cut_off;

 private:
  void Collect();
  void Take(const Action& action);

  SessionId m_next_session = 1;
  std::uint64_t m_next_request = 1;
  struct Held {
    EndpointId endpoint;
    WorkspaceId workspace;
  };
  std::map<ConnectionId, Held> m_connections;
  std::vector<Pending> m_pending;
  std::map<SessionId, std::vector<StatementResult>> m_answers;
  bool m_collecting = false;
};

}  // namespace tiller::relay
