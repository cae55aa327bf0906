// Implementation of group commands.
#include "Daemon/group_command_runner.h"

#include <string>
#include <utility>

namespace tiller::daemon {

GroupCommandRunner::GroupCommandRunner(boost::asio::io_context* io,
                                       const std::string& application,
                                       const std::string& database,
                                       const std::string& user,
                                       DoneCallback on_done)
    : m_io(io),
      m_on_done(std::move(on_done)),
      m_driver(io, application, database, user,
               [this](const traffic::Event& event) { OnEvent(event); }) {}

void GroupCommandRunner::Start(const control::CallGroup& call) {
  const auto id = m_next_id++;
  auto timer = std::make_unique<boost::asio::steady_timer>(*m_io, call.timeout);
  timer->async_wait([this, id](const boost::system::error_code& cancelled) {
    if (!cancelled) Finish(id, std::nullopt);
  });
  m_pending.emplace(id, Pending{call, std::move(timer)});
  m_driver.Open(id, call.address);
}

void GroupCommandRunner::OnEvent(const traffic::Event& event) {
  if (const auto* opened = std::get_if<traffic::ConnectionOpened>(&event)) {
    const auto it = m_pending.find(opened->connection);
    if (it == m_pending.end()) return;
    if (!opened->ok) return Finish(opened->connection, std::nullopt);
    m_driver.Run({opened->connection,
                  1,
                  {it->second.call.step},
                  it->second.call.timeout});
  } else if (const auto* done = std::get_if<traffic::PipelineDone>(&event)) {
    const bool complete = done->failure == traffic::PipelineFailure::kNone &&
                          !done->results.empty();
    Finish(done->connection,
           complete ? std::optional(done->results.front()) : std::nullopt);
  } else if (const auto* closed =
                 std::get_if<traffic::ConnectionClosed>(&event)) {
    Finish(closed->connection, std::nullopt);
  }
}

void GroupCommandRunner::Finish(traffic::ConnectionId id,
                                std::optional<endpoint::StepResult> result) {
  const auto it = m_pending.find(id);
  if (it == m_pending.end()) return;
  const auto call_id = it->second.call.id;
  m_pending.erase(it);
  m_driver.Close(id);
  m_on_done({call_id, std::move(result)});
}

}  // namespace tiller::daemon
