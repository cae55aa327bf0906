// One caller's connection to a stand-in endpoint: the minimum of the
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
  // Serves until either side closes; blocking.
  void Run();

 private:
  using Cells = std::vector<endpoint::Cell>;
  struct Portal {
    std::string sql;
    Cells parameters;
    endpoint::StepResult result;
    bool executed = false;
  };
  enum class Block { kNone, kOpen, kFailed };

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
  SqlHandle* HandleFor(const WorkspaceId& workspace);

  void SendRowDescription(const endpoint::StepResult& result);
  void SendRows(const endpoint::StepResult& result, const std::string& sql);
  void SendError(const endpoint::StepResult& result);
  void SendReady();
  void Queue(char type, const std::string& body);
  bool Flush();
  void WaitWhileSilenced();
  bool Read(void* data, std::size_t size);

  EndpointServer* const m_server;
  boost::asio::ip::tcp::socket m_socket;
  const std::uint64_t m_number;
  std::string m_peer;
  // Counts towards the endpoint's limit of connections.
  bool m_counted = false;
  std::string m_out;

  std::map<std::string, std::string> m_prepared;
  Portal m_portal;
  // Set by an error in the extended protocol; cleared by Sync.
  bool m_skip_until_sync = false;

  Block m_block = Block::kNone;
  WorkspaceId m_workspace;   // of the current transaction only
  Term m_expected_term = 0;  // 0: the transaction expects none
  std::vector<LoggedStatement> m_written;
  std::uint64_t m_generation = 0;
  std::map<WorkspaceId, std::unique_ptr<SqlHandle>> m_handles;
};

}  // namespace tiller::standin
