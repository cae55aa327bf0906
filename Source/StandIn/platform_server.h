// HTTP server of the stand-in platform, with injectable outages.
#pragma once

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "Net/http_server.h"
#include "StandIn/platform_store.h"

namespace tiller::standin {

// How calls fail until the mode is changed. kDown: every call is answered with
// status 503. kUnresponsive: calls are neither executed nor answered.
// kDropWriteResponses: all calls are executed, but only reads are answered.
enum class OutageMode { kUp, kDown, kUnresponsive, kDropWriteResponses };
inline constexpr std::array<std::string_view, 4> kOutageModeNames = {
    "up", "down", "silent", "lose_answers"};

class PlatformServer {
 public:
  PlatformServer(boost::asio::io_context* io, net::HttpServerOptions options,
                 Milliseconds host_list_lag);
  Result<void> Start() { return m_server.Start(); }
  std::uint16_t Port() const { return m_server.Port(); }

 private:
  void Handle(const net::HttpRequest& request, const net::Responder& respond);
  void HandleStandInRequest(const net::HttpRequest& request,
                            const net::Responder& respond);
  net::HttpResponse ExecuteRequest(const net::HttpRequest& request);
  void RespondAfterDelay(const net::HttpResponse& response,
                         const net::Responder& respond);

  boost::asio::io_context* const m_io;
  const Milliseconds m_host_list_lag;
  PlatformStore m_store;
  OutageMode m_outage_mode = OutageMode::kUp;
  Milliseconds m_response_delay{0};
  // Hosts whose name starts with one of these get no answer.
  std::vector<std::string> m_blocked_callers;
  // Responders of unanswered calls, kept so that their connections stay open.
  std::vector<net::Responder> m_withheld_responses;
  net::HttpServer m_server;
};

}  // namespace tiller::standin
