// Implementation of the libpq driver.
#include "Postgres/pg_driver.h"

#include <libpq-fe.h>

#include <algorithm>
#include <array>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdlib>
#include <cstring>
#include <optional>
#include <utility>

namespace tiller::postgres {

namespace asio = boost::asio;
using boost::system::error_code;
using endpoint::StepResult;
using traffic::PipelineFailure;

namespace {

constexpr Milliseconds kConnectTimeout{2000};
// What a cell and a row take besides their text.
constexpr std::size_t kCellBytes = sizeof(endpoint::Cell) + 16;
constexpr std::size_t kRowBytes = sizeof(std::vector<endpoint::Cell>) + 16;
constexpr Oid kBoolOid = 16;
constexpr Oid kInt8Oid = 20;
constexpr Oid kInt2Oid = 21;
constexpr Oid kInt4Oid = 23;
constexpr Oid kFloat4Oid = 700;
constexpr Oid kFloat8Oid = 701;

endpoint::ColumnType ColumnTypeOf(Oid oid) {
  switch (oid) {
    case kBoolOid:
      return endpoint::ColumnType::kBoolean;
    case kInt2Oid:
    case kInt4Oid:
    case kInt8Oid:
      return endpoint::ColumnType::kInteger;
    case kFloat4Oid:
    case kFloat8Oid:
      return endpoint::ColumnType::kFloat;
    default:
      return endpoint::ColumnType::kText;
  }
}

std::vector<endpoint::Cell> ToRow(PGresult* result, int row) {
  const int columns = PQnfields(result);
  std::vector<endpoint::Cell> cells;
  cells.reserve(static_cast<std::size_t>(columns));
  for (int i = 0; i < columns; ++i) {
    if (PQgetisnull(result, row, i) != 0) {
      cells.emplace_back();
      continue;
    }
    cells.emplace_back(
        std::string(PQgetvalue(result, row, i),
                    static_cast<std::size_t>(PQgetlength(result, row, i))));
  }
  return cells;
}

StepResult ToStepResult(PGresult* result) {
  StepResult out;
  switch (PQresultStatus(result)) {
    case PGRES_TUPLES_OK:
    case PGRES_SINGLE_TUPLE:
    case PGRES_COMMAND_OK:
    case PGRES_EMPTY_QUERY:
      out.ok = true;
      break;
    case PGRES_PIPELINE_ABORTED:
      out.skipped = true;
      return out;
    default: {
      const char* state = PQresultErrorField(result, PG_DIAG_SQLSTATE);
      const char* message = PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY);
      out.sqlstate = state == nullptr ? "" : state;
      out.message = message == nullptr ? PQresultErrorMessage(result) : message;
      return out;
    }
  }
  const int columns = PQnfields(result);
  for (int i = 0; i < columns; ++i) {
    out.columns.push_back(
        {PQfname(result, i), ColumnTypeOf(PQftype(result, i))});
  }
  const int rows = PQntuples(result);
  out.rows.reserve(static_cast<std::size_t>(rows));
  for (int row = 0; row < rows; ++row) out.rows.push_back(ToRow(result, row));
  out.affected = std::strtoull(PQcmdTuples(result), nullptr, 10);
  if (columns > 0) out.affected = 0;
  return out;
}

// libpq would send such a text only up to its first NUL byte.
bool HoldsNul(const std::vector<endpoint::Step>& steps) {
  const auto holds_nul = [](const std::string& text) {
    return text.find('\0') != std::string::npos;
  };
  return std::any_of(steps.begin(), steps.end(), [&](const auto& step) {
    return holds_nul(step.sql) ||
           std::any_of(
               step.parameters.begin(), step.parameters.end(),
               [&](const auto& cell) { return cell && holds_nul(*cell); });
  });
}

std::size_t BytesOf(const std::vector<endpoint::Cell>& row) {
  std::size_t bytes = kRowBytes;
  for (const auto& cell : row) bytes += kCellBytes + (cell ? cell->size() : 0);
  return bytes;
}

}  // namespace

class PgConnection : public std::enable_shared_from_this<PgConnection> {
 public:
  PgConnection(PgDriver* driver, traffic::ConnectionId id)
      : m_driver(driver),
        m_id(id),
        m_descriptor(*driver->m_io),
        m_timer(*driver->m_io) {}
  ~PgConnection() { Destroy(); }

  void Open(const std::string& address) {
    const auto colon = address.rfind(':');
    const auto host = address.substr(0, colon);
    const auto port = address.substr(colon + 1);
    // The names are passed as values; a connection string would be parsed.
    constexpr int kExpandDatabaseName = 0;
    constexpr std::array kKeywords = {
        "hostaddr",         "port",
        "dbname",           "user",
        "application_name", "sslmode",
        "gssencmode",       static_cast<const char*>(nullptr)};
    const std::array values = {host.c_str(),
                               port.c_str(),
                               m_driver->m_database.c_str(),
                               m_driver->m_user.c_str(),
                               m_driver->m_application.c_str(),
                               "disable",
                               "disable",
                               static_cast<const char*>(nullptr)};
    m_connection = PQconnectStartParams(kKeywords.data(), values.data(),
                                        kExpandDatabaseName);
    if (m_connection == nullptr || PQstatus(m_connection) == CONNECTION_BAD) {
      return ReportOpenFailure();
    }
    m_timer.expires_after(kConnectTimeout);
    m_timer.async_wait(
        [self = shared_from_this()](const error_code& cancelled) {
          if (!cancelled && !self->m_open) self->ReportOpenFailure();
        });
    WaitForConnect(PGRES_POLLING_WRITING);
  }

  void Run(const traffic::RunPipeline& pipeline) {
    m_generation = pipeline.generation;
    m_results.clear();
    m_expected_results = pipeline.steps.size();
    m_pending_syncs = 0;
    m_rows.reset();
    SetBytes(0);
    m_next_step = true;
    m_consecutive_nulls = 0;
    m_running = true;
    m_sent = false;
    if (!m_open || HoldsNul(pipeline.steps) || !SendSteps(pipeline.steps)) {
      return Finish(m_sent ? PipelineFailure::kConnectionLost
                           : PipelineFailure::kNotSent);
    }
    m_timer.expires_after(pipeline.timeout);
    m_timer.async_wait([self = shared_from_this(), generation = m_generation](
                           const error_code& cancelled) {
      if (cancelled || !self->m_running || self->m_generation != generation) {
        return;
      }
      self->Finish(PipelineFailure::kTimeout);
    });
    FlushOutput();
  }

  // Closes the connection. No further event is reported for it.
  void CloseQuietly() {
    SetBytes(0);
    m_driver = nullptr;
    m_running = false;
    Destroy();
  }

  bool Running() const { return m_running; }
  std::size_t Bytes() const { return m_bytes; }

  void Finish(PipelineFailure failure) {
    m_running = false;
    SetBytes(0);
    m_rows.reset();
    error_code ignored;
    m_timer.cancel(ignored);
    const auto self = shared_from_this();
    if (failure != PipelineFailure::kNone) Destroy();
    traffic::PipelineDone done{m_id, m_generation, failure,
                               std::move(m_results)};
    m_results.clear();
    if (m_driver == nullptr) return;
    if (failure == PipelineFailure::kNone) return Report(done);
    asio::post(*m_driver->m_io,
               [self, done = std::move(done)] { self->Report(done); });
  }

 private:
  void Destroy() {
    error_code ignored;
    m_timer.cancel(ignored);
    // libpq owns the socket and closes it.
    if (m_descriptor.is_open()) m_descriptor.release();
    if (m_connection != nullptr) PQfinish(m_connection);
    m_connection = nullptr;
    m_open = false;
  }

  void Report(const traffic::Event& event) {
    if (m_driver != nullptr) m_driver->m_event_callback(event);
  }

  void ReportOpenFailure() {
    Destroy();
    if (m_driver == nullptr) return;
    // Posted, so that the event is never delivered while the caller is still
    // inside Open().
    asio::post(*m_driver->m_io, [self = shared_from_this()] {
      self->Report(traffic::ConnectionOpened{self->m_id, false});
    });
  }

  void AttachSocket() {
    if (m_descriptor.is_open()) m_descriptor.release();
    m_descriptor.assign(PQsocket(m_connection));
  }

  void WaitForConnect(PostgresPollingStatusType wanted) {
    AttachSocket();
    const auto kind = wanted == PGRES_POLLING_READING
                          ? asio::posix::stream_descriptor::wait_read
                          : asio::posix::stream_descriptor::wait_write;
    m_descriptor.async_wait(
        kind, [self = shared_from_this()](const error_code& failure) {
          if (failure || self->m_connection == nullptr) return;
          self->ContinueConnect();
        });
  }

  void ContinueConnect() {
    const auto status = PQconnectPoll(m_connection);
    if (status == PGRES_POLLING_FAILED) return ReportOpenFailure();
    if (status != PGRES_POLLING_OK) return WaitForConnect(status);
    if (PQsetnonblocking(m_connection, 1) != 0 ||
        PQenterPipelineMode(m_connection) != 1) {
      return ReportOpenFailure();
    }
    m_open = true;
    error_code ignored;
    m_timer.cancel(ignored);
    AttachSocket();
    WaitReadable();
    Report(traffic::ConnectionOpened{m_id, true});
  }

  bool SendSteps(const std::vector<endpoint::Step>& steps) {
    m_sent = true;
    for (const auto& step : steps) {
      std::vector<const char*> values;
      values.reserve(step.parameters.size());
      for (const auto& cell : step.parameters) {
        values.push_back(cell ? cell->c_str() : nullptr);
      }
      if (PQsendQueryParams(m_connection, step.sql.c_str(),
                            static_cast<int>(values.size()), nullptr,
                            values.data(), nullptr, nullptr, 0) != 1) {
        return false;
      }
      if (!step.sync_after) continue;
      if (PQpipelineSync(m_connection) != 1) return false;
      ++m_pending_syncs;
    }
    return true;
  }

  void FlushOutput() {
    const int left = PQflush(m_connection);
    if (left < 0) return Finish(PipelineFailure::kConnectionLost);
    if (left == 0) return;
    m_descriptor.async_wait(
        asio::posix::stream_descriptor::wait_write,
        [self = shared_from_this()](const error_code& failure) {
          if (failure || self->m_connection == nullptr || !self->m_running) {
            return;
          }
          self->FlushOutput();
        });
  }

  void WaitReadable() {
    m_descriptor.async_wait(
        asio::posix::stream_descriptor::wait_read,
        [self = shared_from_this()](const error_code& failure) {
          if (failure || self->m_connection == nullptr) return;
          self->OnReadable();
        });
  }

  void OnReadable() {
    const auto self = shared_from_this();
    if (PQconsumeInput(m_connection) != 1) {
      if (m_running) return Finish(PipelineFailure::kConnectionLost);
      Destroy();
      return Report(traffic::ConnectionClosed{m_id});
    }
    while (m_running) {
      // Rows are taken one by one, so that libpq does not collect them.
      if (std::exchange(m_next_step, false)) PQsetSingleRowMode(m_connection);
      if (PQisBusy(m_connection) != 0) break;
      PGresult* result = PQgetResult(m_connection);
      // PQgetResult returns null after the results of each step. Two nulls in a
      // row mean that no results are left although a sync is outstanding.
      if (result == nullptr) {
        if (++m_consecutive_nulls > 1)
          return Finish(PipelineFailure::kConnectionLost);
        m_next_step = true;
        continue;
      }
      m_consecutive_nulls = 0;
      const bool sync = PQresultStatus(result) == PGRES_PIPELINE_SYNC;
      m_next_step |= sync;
      if (!sync) AddResult(result);
      PQclear(result);
      // Above a limit, the pipeline has been ended.
      if (!m_running) return;
      if (sync && --m_pending_syncs == 0) {
        Finish(m_results.size() == m_expected_results
                   ? PipelineFailure::kNone
                   : PipelineFailure::kConnectionLost);
        break;
      }
    }
    if (m_connection != nullptr) WaitReadable();
  }

  void AddResult(PGresult* result) {
    if (PQresultStatus(result) == PGRES_SINGLE_TUPLE) {
      if (m_rows) {
        m_rows->rows.push_back(ToRow(result, 0));
      } else {
        m_rows = ToStepResult(result);
      }
      SetBytes(m_bytes + BytesOf(m_rows->rows.back()));
      if (m_bytes > m_driver->m_limits.one_bytes) {
        return Finish(PipelineFailure::kAnswerTooLarge);
      }
      return m_driver->EnforceLimit();
    }
    m_results.push_back(ToStepResult(result));
    std::size_t bytes = m_bytes;
    for (const auto& row : m_results.back().rows) bytes += BytesOf(row);
    SetBytes(bytes);
    // The rows of a step that failed in the end are not its result.
    if (m_rows && m_results.back().ok) {
      m_results.back().rows = std::move(m_rows->rows);
    }
    m_rows.reset();
  }

  void SetBytes(std::size_t bytes) {
    if (m_driver != nullptr) {
      m_driver->m_result_bytes = m_driver->m_result_bytes - m_bytes + bytes;
    }
    m_bytes = bytes;
  }

  PgDriver* m_driver;
  const traffic::ConnectionId m_id;
  PGconn* m_connection = nullptr;
  asio::posix::stream_descriptor m_descriptor;
  asio::steady_timer m_timer;
  bool m_open = false;
  // State of the pipeline in progress.
  bool m_running = false;
  bool m_sent = false;
  traffic::Generation m_generation = 0;
  std::size_t m_expected_results = 0;
  int m_pending_syncs = 0;
  int m_consecutive_nulls = 0;
  bool m_next_step = false;  // no result of the next step has been taken
  // Size of the results received so far; part of the driver's m_result_bytes.
  std::size_t m_bytes = 0;
  std::vector<StepResult> m_results;
  std::optional<StepResult> m_rows;  // of the step whose rows arrive
};

PgDriver::PgDriver(asio::io_context* io, std::string application,
                   std::string database, std::string user,
                   EventCallback event_callback, ResultLimits limits)
    : m_io(io),
      m_application(std::move(application)),
      m_database(std::move(database)),
      m_user(std::move(user)),
      m_event_callback(std::move(event_callback)),
      m_limits(limits) {}

PgDriver::~PgDriver() {
  for (const auto& [id, connection] : m_connections) connection->CloseQuietly();
}

void PgDriver::EnforceLimit() {
  while (m_result_bytes > m_limits.all_bytes) {
    PgConnection* largest = nullptr;
    for (const auto& [id, connection] : m_connections) {
      if (!connection->Running()) continue;
      if (largest == nullptr || connection->Bytes() > largest->Bytes()) {
        largest = connection.get();
      }
    }
    if (largest == nullptr) return;
    largest->Finish(PipelineFailure::kNoRoom);
  }
}

void PgDriver::Open(traffic::ConnectionId id, const std::string& address) {
  auto connection = std::make_shared<PgConnection>(this, id);
  m_connections[id] = connection;
  connection->Open(address);
}

void PgDriver::Close(traffic::ConnectionId id) {
  const auto it = m_connections.find(id);
  if (it == m_connections.end()) return;
  it->second->CloseQuietly();
  m_connections.erase(it);
}

void PgDriver::Run(const traffic::RunPipeline& pipeline) {
  const auto it = m_connections.find(pipeline.connection);
  if (it != m_connections.end()) return it->second->Run(pipeline);
  asio::post(*m_io, [this, pipeline] {
    m_event_callback(traffic::PipelineDone{pipeline.connection,
                                           pipeline.generation,
                                           PipelineFailure::kNotSent,
                                           {}});
  });
}

}  // namespace tiller::postgres
