// Runs the group commands of a failover. Each command uses a new connection
// that is closed afterwards, so that it never waits behind traffic.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "Control/control_messages.h"
#include "Postgres/pg_driver.h"

namespace tiller::daemon {

class GroupCommandRunner {
 public:
  using DoneCallback = std::function<void(const control::GroupCallDone&)>;

  GroupCommandRunner(boost::asio::io_context* io,
                     const std::string& application,
                     const std::string& database, const std::string& user,
                     DoneCallback on_done);
  // Starts a command. Its result is passed to `on_done`, without a value if the
  // endpoint did not answer within the timeout of the call.
  void Start(const control::CallGroup& call);

 private:
  struct Pending {
    control::CallGroup call;
    std::unique_ptr<boost::asio::steady_timer> timer;
  };
  void OnEvent(const traffic::Event& event);
  void Finish(traffic::ConnectionId id,
              std::optional<endpoint::StepResult> result);

  boost::asio::io_context* const m_io;
  const DoneCallback m_on_done;
  postgres::PgDriver m_driver;
  traffic::ConnectionId m_next_id = 1;
  std::unordered_map<traffic::ConnectionId, Pending> m_pending;
};

}  // namespace tiller::daemon
