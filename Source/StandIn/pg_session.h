// One client connection to a stand-in endpoint. Implements the subset of the
// PostgreSQL frontend/backend protocol, version 3, that libpq needs.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "StandIn/endpoint_server.h"

namespace tiller::standin {

class PgSession {
 public:
  PgSession(EndpointServer* server, boost::asio::ip::tcp::socket socket);
  ~PgSession();
  // Serves the connection until either side closes it. Blocking.
  void Run();

 private:
  using Cells = std::vector<endpoint::Cell>;
  struct Portal {
    std::string sql;
    Cells parameters;
    endpoint::StepResult result;
    bool executed = false;
  };
  enum class TransactionBlock { kNone, kOpen, kFailed };

  bool Startup();
  bool HandleMessage(char type, const std::string& body);
  void HandleBind(const std::string& body);
  void HandleDescribe(const std::string& body);
  void HandleExecute();
  void HandleSync();
  void HandleSimpleQuery(const std::string& sql);

  endpoint::StepResult Execute(const std::string& sql, const Cells& parameters);
  endpoint::StepResult RunUserStatement(const std::string& sql,
                                        const Cells& parameters);
  endpoint::StepResult Commit();
  void Rollback();
  void ClearTransaction();
  SqlHandle* WorkspaceHandle(const WorkspaceId& workspace);

  void SendRowDescription(const endpoint::StepResult& result);
  void SendRows(const endpoint::StepResult& result, const std::string& sql);
  void SendError(const endpoint::StepResult& result);
  void SendReady();
  void QueueMessage(char type, const std::string& body);
  bool Flush();
  void WaitWhileUnresponsive();
  bool ReadExactly(void* data, std::size_t size);

  EndpointServer* const m_server;
  boost::asio::ip::tcp::socket m_socket;
  const std::uint64_t m_connection_number;
  std::string m_peer;
  // Whether this connection counts towards the endpoint's connection limit.
  bool m_counted = false;
  std::string m_send_buffer;

  std::map<std::string, std::string> m_prepared;
  Portal m_portal;
  // Set by an error in the extended query protocol; cleared by Sync.
  bool m_skip_until_sync = false;

  TransactionBlock m_transaction_block = TransactionBlock::kNone;
  WorkspaceId m_workspace;  // of the current transaction only
  // Term in which the transaction must commit; 0: not set.
  Term m_expected_term = 0;
  std::vector<LoggedStatement> m_logged_statements;
  // Storage generation in which m_handles were opened.
  std::uint64_t m_handles_generation = 0;
  std::map<WorkspaceId, std::unique_ptr<SqlHandle>> m_handles;
};

}  // namespace tiller::standin
