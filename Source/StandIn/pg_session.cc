// Implementation of the PostgreSQL protocol for the stand-in endpoint.
#include "StandIn/pg_session.h"

#include <arpa/inet.h>

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <utility>

namespace tiller::standin {
namespace {

using endpoint::StepResult;

constexpr std::uint32_t kProtocolVersion3 = 196608;
constexpr std::uint32_t kSslRequest = 80877103;
constexpr std::uint32_t kGssRequest = 80877104;
constexpr std::size_t kMaxMessageBytes = 16U << 20;
constexpr std::string_view kOperatorName = "operator";
constexpr std::int32_t kInt8Oid = 20;
constexpr std::int32_t kFloat8Oid = 701;
constexpr std::int32_t kTextOid = 25;

void PutInt16(std::string* out, std::int16_t value) {
  const std::uint16_t wire = htons(static_cast<std::uint16_t>(value));
  out->append(reinterpret_cast<const char*>(&wire), sizeof(wire));
}

void PutInt32(std::string* out, std::int32_t value) {
  const std::uint32_t wire = htonl(static_cast<std::uint32_t>(value));
  out->append(reinterpret_cast<const char*>(&wire), sizeof(wire));
}

void PutString(std::string* out, std::string_view value) {
  out->append(value);
  out->push_back('\0');
}

// Reads the fields of one message. Reads past its end return empty values.
class MessageReader {
 public:
  explicit MessageReader(const std::string& body) : m_body(body) {}
  std::string ReadString() {
    const auto end = m_body.find('\0', m_offset);
    if (end == std::string::npos) return {};
    std::string out = m_body.substr(m_offset, end - m_offset);
    m_offset = end + 1;
    return out;
  }
  std::int16_t ReadInt16() {
    std::uint16_t wire = 0;
    return CopyBytes(&wire, sizeof(wire))
               ? static_cast<std::int16_t>(ntohs(wire))
               : std::int16_t{0};
  }
  std::int32_t ReadInt32() {
    std::uint32_t wire = 0;
    return CopyBytes(&wire, sizeof(wire))
               ? static_cast<std::int32_t>(ntohl(wire))
               : 0;
  }
  std::string ReadBytes(std::size_t size) {
    size = std::min(size, m_body.size() - m_offset);
    std::string out = m_body.substr(m_offset, size);
    m_offset += size;
    return out;
  }

 private:
  bool CopyBytes(void* to, std::size_t size) {
    if (m_offset + size > m_body.size()) return false;
    std::memcpy(to, m_body.data() + m_offset, size);
    m_offset += size;
    return true;
  }
  const std::string& m_body;
  std::size_t m_offset = 0;
};

std::string FirstWord(const std::string& sql) {
  std::string word;
  for (const char c : sql) {
    if (std::isalpha(static_cast<unsigned char>(c)) == 0) {
      if (word.empty()) continue;
      break;
    }
    word.push_back(static_cast<char>(std::toupper(c)));
  }
  return word;
}

StepResult FailureResult(std::string sqlstate, std::string message) {
  StepResult result;
  result.sqlstate = std::move(sqlstate);
  result.message = std::move(message);
  return result;
}

StepResult SuccessResult() {
  StepResult result;
  result.ok = true;
  return result;
}

std::int32_t OidOf(endpoint::ColumnType type) {
  switch (type) {
    case endpoint::ColumnType::kInteger:
      return kInt8Oid;
    case endpoint::ColumnType::kFloat:
      return kFloat8Oid;
    default:
      return kTextOid;
  }
}

}  // namespace

PgSession::PgSession(EndpointServer* server,
                     boost::asio::ip::tcp::socket socket)
    : m_server(server),
      m_socket(std::move(socket)),
      m_connection_number(server->NextConnectionNumber()) {}

PgSession::~PgSession() {
  Rollback();
  if (m_counted) m_server->ReleaseConnection();
}

bool PgSession::ReadExactly(void* data, std::size_t size) {
  boost::system::error_code failure;
  boost::asio::read(m_socket, boost::asio::buffer(data, size), failure);
  return !failure;
}

// The TCP keep-alive of a real server ends a connection whose network path was
// lost: it no longer counts towards the limit and holds no locks. The client
// just receives nothing.
void PgSession::WaitWhileUnresponsive() {
  if (m_counted && m_server->IsConnectionLost(m_connection_number)) {
    m_counted = false;
    m_server->ReleaseConnection();
    Rollback();
  }
  m_server->WaitWhileUnresponsive(m_peer, m_connection_number);
}

bool PgSession::Flush() {
  WaitWhileUnresponsive();
  boost::system::error_code failure;
  boost::asio::write(m_socket, boost::asio::buffer(m_send_buffer), failure);
  m_send_buffer.clear();
  return !failure;
}

void PgSession::QueueMessage(char type, const std::string& body) {
  m_send_buffer.push_back(type);
  PutInt32(&m_send_buffer,
           static_cast<std::int32_t>(body.size() + sizeof(int32_t)));
  m_send_buffer.append(body);
}

bool PgSession::Startup() {
  while (true) {
    std::uint32_t header[2];
    if (!ReadExactly(header, sizeof(header))) return false;
    const std::size_t size = ntohl(header[0]);
    const std::uint32_t code = ntohl(header[1]);
    if (code == kSslRequest || code == kGssRequest) {
      m_send_buffer = "N";
      if (!Flush()) return false;
      continue;
    }
    if (code != kProtocolVersion3 || size > kMaxMessageBytes) return false;
    std::string body(size - sizeof(header), '\0');
    if (!ReadExactly(body.data(), body.size())) return false;
    MessageReader reader(body);
    for (auto key = reader.ReadString(); !key.empty();
         key = reader.ReadString()) {
      const auto value = reader.ReadString();
      if (key == "application_name") m_peer = value;
    }
    break;
  }
  std::string authentication_ok;
  PutInt32(&authentication_ok, 0);
  QueueMessage('R', authentication_ok);
  for (const auto& [key, value] :
       {std::pair{"server_version", "15.0"},
        std::pair{"client_encoding", "UTF8"},
        std::pair{"standard_conforming_strings", "on"}}) {
    std::string body;
    PutString(&body, key);
    PutString(&body, value);
    QueueMessage('S', body);
  }
  std::string key_data;
  PutInt32(&key_data, static_cast<std::int32_t>(m_connection_number));
  PutInt32(&key_data, 0);
  QueueMessage('K', key_data);
  SendReady();
  return Flush();
}

void PgSession::Run() {
  if (!Startup()) return;
  // Operators are not counted, so that they can connect when the other clients
  // have used up the limit.
  m_counted = m_peer != kOperatorName;
  if (m_counted && !m_server->AdmitConnection()) {
    m_counted = false;
    SendError(FailureResult("53300", "too many connections"));
    Flush();
    return;
  }
  while (true) {
    char type = 0;
    std::uint32_t length = 0;
    if (!ReadExactly(&type, 1) || !ReadExactly(&length, sizeof(length))) return;
    const std::size_t size = ntohl(length);
    if (size < sizeof(length) || size > kMaxMessageBytes) return;
    std::string body(size - sizeof(length), '\0');
    if (!ReadExactly(body.data(), body.size())) return;
    WaitWhileUnresponsive();
    if (!HandleMessage(type, body)) return;
  }
}

bool PgSession::HandleMessage(char type, const std::string& body) {
  if (type == 'X') return false;
  if (type == 'S') {
    HandleSync();
    return Flush();
  }
  if (type == 'H') return Flush();
  if (m_skip_until_sync) return true;
  MessageReader reader(body);
  switch (type) {
    case 'Q':
      HandleSimpleQuery(reader.ReadString());
      return Flush();
    case 'P': {
      const auto name = reader.ReadString();
      m_prepared[name] = reader.ReadString();
      QueueMessage('1', {});
      return true;
    }
    case 'B':
      HandleBind(body);
      return true;
    case 'D':
      HandleDescribe(body);
      return true;
    case 'E':
      HandleExecute();
      return true;
    case 'C':
      QueueMessage('3', {});
      return true;
    default:
      return false;
  }
}

void PgSession::HandleBind(const std::string& body) {
  MessageReader reader(body);
  reader.ReadString();
  m_portal = Portal{};
  m_portal.sql = m_prepared[reader.ReadString()];
  const int formats = reader.ReadInt16();
  for (int i = 0; i < formats; ++i) reader.ReadInt16();
  const int count = reader.ReadInt16();
  for (int i = 0; i < count; ++i) {
    const std::int32_t size = reader.ReadInt32();
    if (size < 0) {
      m_portal.parameters.emplace_back();
      continue;
    }
    m_portal.parameters.emplace_back(
        reader.ReadBytes(static_cast<std::size_t>(size)));
  }
  QueueMessage('2', {});
}

// Column types are taken from the first row, so the portal is executed when it
// is described.
void PgSession::HandleDescribe(const std::string& body) {
  if (body.empty() || body[0] != 'P') {
    std::string none;
    PutInt16(&none, 0);
    QueueMessage('t', none);
    QueueMessage('n', {});
    return;
  }
  m_portal.result = Execute(m_portal.sql, m_portal.parameters);
  m_portal.executed = true;
  if (!m_portal.result.ok) {
    SendError(m_portal.result);
    m_skip_until_sync = true;
    return;
  }
  if (m_portal.result.columns.empty()) {
    QueueMessage('n', {});
    return;
  }
  SendRowDescription(m_portal.result);
}

void PgSession::HandleExecute() {
  if (!m_portal.executed) {
    m_portal.result = Execute(m_portal.sql, m_portal.parameters);
  }
  if (!m_portal.result.ok) {
    SendError(m_portal.result);
    m_skip_until_sync = true;
    return;
  }
  SendRows(m_portal.result, m_portal.sql);
}

void PgSession::HandleSync() {
  if (m_transaction_block == TransactionBlock::kNone) {
    if (m_skip_until_sync) {
      Rollback();
    } else {
      const auto committed = Commit();
      if (!committed.ok) SendError(committed);
    }
  } else if (m_skip_until_sync) {
    m_transaction_block = TransactionBlock::kFailed;
  }
  m_skip_until_sync = false;
  SendReady();
}

void PgSession::HandleSimpleQuery(const std::string& sql) {
  auto result = Execute(sql, {});
  if (result.ok && m_transaction_block == TransactionBlock::kNone) {
    const auto committed = Commit();
    if (!committed.ok) result = committed;
  }
  if (!result.ok) {
    SendError(result);
    if (m_transaction_block == TransactionBlock::kNone) Rollback();
  } else {
    if (!result.columns.empty()) SendRowDescription(result);
    SendRows(result, sql);
  }
  SendReady();
}

StepResult PgSession::Execute(const std::string& sql, const Cells& parameters) {
  const auto word = FirstWord(sql);
  if (word == "ROLLBACK") {
    Rollback();
    return SuccessResult();
  }
  if (m_transaction_block == TransactionBlock::kFailed) {
    if (word == "COMMIT") Rollback();
    return FailureResult("25P02", "current transaction is aborted");
  }
  if (word == "BEGIN") {
    m_transaction_block = TransactionBlock::kOpen;
    return SuccessResult();
  }
  if (word == "COMMIT") return Commit();
  if (word == "DISCARD") {
    Rollback();
    m_prepared.clear();
    return SuccessResult();
  }
  if (sql == endpoint::kSetWorkspaceSql) {
    m_workspace = parameters.empty() ? "" : parameters[0].value_or("");
    return SuccessResult();
  }
  if (auto group = m_server->RunGroupCall(sql, parameters)) {
    if (group->ok && sql == endpoint::kExpectSql) {
      m_expected_term = std::strtoull(parameters[0]->c_str(), nullptr, 10);
    }
    if (!group->ok && m_transaction_block == TransactionBlock::kOpen)
      m_transaction_block = TransactionBlock::kFailed;
    return *group;
  }
  auto result = RunUserStatement(sql, parameters);
  if (!result.ok && m_transaction_block == TransactionBlock::kOpen)
    m_transaction_block = TransactionBlock::kFailed;
  return result;
}

SqlHandle* PgSession::WorkspaceHandle(const WorkspaceId& workspace) {
  if (m_handles_generation != m_server->StorageGeneration()) {
    m_handles.clear();
    m_handles_generation = m_server->StorageGeneration();
  }
  auto& handle = m_handles[workspace];
  if (!handle) handle = m_server->OpenHandle(workspace);
  return handle.get();
}

StepResult PgSession::RunUserStatement(const std::string& sql,
                                       const Cells& parameters) {
  if (m_workspace.empty()) return FailureResult("42501", "no workspace is set");
  auto* handle = WorkspaceHandle(m_workspace);
  bool writes = false;
  if (!handle->InTransaction()) {
    // A transaction that expects a term will write. It acquires the write lock
    // at its start, because the upgrade of a read snapshot to a write
    // transaction could fail.
    handle->Run(m_expected_term != 0 ? "BEGIN IMMEDIATE" : "BEGIN", {},
                &writes);
  }
  m_server->AcquireSlot();
  if (m_server->Options().statement_cost.count() > 0) {
    std::this_thread::sleep_for(m_server->Options().statement_cost);
  }
  auto result = handle->Run(sql, parameters, &writes);
  m_server->ReleaseSlot();
  if (!result.ok || !writes) return result;
  if (m_expected_term == 0) {
    const auto term = m_server->PrimaryTerm();
    if (!term) {
      Rollback();
      return FailureResult(std::string(endpoint::kReadOnlyTransaction),
                           "cannot write on a replica");
    }
    m_expected_term = term.value();
  }
  m_logged_statements.push_back({sql, parameters});
  return result;
}

StepResult PgSession::Commit() {
  const auto workspace = m_workspace;
  StepResult result = SuccessResult();
  auto* handle = workspace.empty() ? nullptr : WorkspaceHandle(workspace);
  bool writes = false;
  if (handle != nullptr && handle->InTransaction()) {
    if (m_logged_statements.empty()) {
      handle->Run("COMMIT", {}, &writes);
    } else {
      const auto committed = m_server->CommitWrites(
          handle, m_expected_term, {workspace, m_logged_statements});
      if (!committed) {
        result = FailureResult(std::string(endpoint::kStaleTermState),
                               committed.error().detail);
      }
    }
  } else if (!m_logged_statements.empty()) {
    // The storage was rebuilt while this transaction was open.
    result =
        FailureResult(std::string(endpoint::kStaleTermState), "role changed");
  }
  ClearTransaction();
  return result;
}

void PgSession::Rollback() {
  for (const auto& [workspace, handle] : m_handles) {
    bool writes = false;
    if (handle->InTransaction()) handle->Run("ROLLBACK", {}, &writes);
  }
  ClearTransaction();
}

void PgSession::ClearTransaction() {
  m_transaction_block = TransactionBlock::kNone;
  m_workspace.clear();
  m_expected_term = 0;
  m_logged_statements.clear();
}

void PgSession::SendRowDescription(const StepResult& result) {
  std::string body;
  PutInt16(&body, static_cast<std::int16_t>(result.columns.size()));
  for (const auto& column : result.columns) {
    PutString(&body, column.name);
    PutInt32(&body, 0);
    PutInt16(&body, 0);
    PutInt32(&body, OidOf(column.type));
    PutInt16(&body, -1);
    PutInt32(&body, -1);
    PutInt16(&body, 0);
  }
  QueueMessage('T', body);
}

void PgSession::SendRows(const StepResult& result, const std::string& sql) {
  for (const auto& row : result.rows) {
    std::string body;
    PutInt16(&body, static_cast<std::int16_t>(row.size()));
    for (const auto& cell : row) {
      PutInt32(&body, cell ? static_cast<std::int32_t>(cell->size()) : -1);
      if (cell) body.append(*cell);
    }
    QueueMessage('D', body);
  }
  const auto word = FirstWord(sql);
  std::string tag = word;
  if (word == "INSERT") tag += " 0";
  if (word == "INSERT" || word == "UPDATE" || word == "DELETE") {
    tag += " " + std::to_string(result.affected);
  } else if (word == "SELECT") {
    tag += " " + std::to_string(result.rows.size());
  }
  std::string body;
  PutString(&body, tag);
  QueueMessage('C', body);
}

void PgSession::SendError(const StepResult& result) {
  std::string body;
  for (const auto& [field, value] : {std::pair<char, std::string>{'S', "ERROR"},
                                     {'V', "ERROR"},
                                     {'C', result.sqlstate},
                                     {'M', result.message}}) {
    body.push_back(field);
    PutString(&body, value);
  }
  body.push_back('\0');
  QueueMessage('E', body);
}

void PgSession::SendReady() {
  const char state =
      m_transaction_block == TransactionBlock::kNone
          ? 'I'
          : (m_transaction_block == TransactionBlock::kOpen ? 'T' : 'E');
  QueueMessage('Z', std::string(1, state));
}

}  // namespace tiller::standin
