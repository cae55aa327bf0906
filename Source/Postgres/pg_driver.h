// Connections to PostgreSQL endpoints through libpq's asynchronous calls on
// Asio. Runs pipelines as told and reports what came back; decides nothing.
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

// Runs on one io_context; not thread-safe.
class PgDriver {
 public:
  using Report = std::function<void(const traffic::Event&)>;

  // `application` names this host to endpoints.
  PgDriver(boost::asio::io_context* io, std::string application,
           std::string database, std::string user, Report report);
  ~PgDriver();

  void Open(traffic::ConnectionId id, const std::string& address);
  void Close(traffic::ConnectionId id);
  // Answers with one PipelineDone. An unknown connection answers kNotSent.
  void Run(const traffic::RunPipeline& pipeline);

 private:
  friend class PgConnection;
  boost::asio::io_context* const m_io;
  const std::string m_application;
  const std::string m_database;
  const std::string m_user;
  const Report m_report;
  std::unordered_map<traffic::ConnectionId, std::shared_ptr<PgConnection>>
      m_connections;
};

}  // namespace tiller::postgres
