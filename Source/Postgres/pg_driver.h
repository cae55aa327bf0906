// Asynchronous connections to PostgreSQL endpoints, built on libpq and Asio.
// The driver runs the pipelines that it is given and reports their results. It
// makes no decisions of its own, such as retries.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "Endpoint/endpoint_protocol.h"
#include "Traffic/traffic_messages.h"

namespace tiller::postgres {

class PgConnection;

// Bytes of results that are being received: of one pipeline, and of all. The
// defaults suit a host of 256 MB or more.
struct ResultLimits {
  std::size_t one_bytes = 16U << 20;
  std::size_t all_bytes = 32U << 20;
};

// Runs on one io_context; not thread-safe.
class PgDriver {
 public:
  using EventCallback = std::function<void(const traffic::Event&)>;

  // `application` is the application_name by which endpoints see this host.
  PgDriver(boost::asio::io_context* io, std::string application,
           std::string database, std::string user, EventCallback event_callback,
           ResultLimits limits = {});
  ~PgDriver();

  // Starts to connect and reports the outcome by one ConnectionOpened.
  void Open(traffic::ConnectionId id, const std::string& address);
  // Closes the connection without any further event for it.
  void Close(traffic::ConnectionId id);
  // Reports the outcome by one PipelineDone, with kNotSent if the connection is
  // unknown, with kAnswerTooLarge if its results exceed the limit for one, and
  // with kNoRoom if they are the largest while all exceed theirs.
  void Run(const traffic::RunPipeline& pipeline);

 private:
  friend class PgConnection;
  // Ends the largest pipelines until all results fit into the limit.
  void EnforceLimit();

  boost::asio::io_context* const m_io;
  const std::string m_application;
  const std::string m_database;
  const std::string m_user;
  const EventCallback m_event_callback;
  const ResultLimits m_limits;
  // Size of the results of all pipelines in progress.
  std::size_t m_result_bytes = 0;
  std::unordered_map<traffic::ConnectionId, std::shared_ptr<PgConnection>>
      m_connections;
};

}  // namespace tiller::postgres
