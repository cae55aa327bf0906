// The stand-in platform's HTTP face, with outages on command.
#pragma once

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "Net/http_server.h"
#include "StandIn/platform_store.h"

namespace tiller::standin {

// What goes wrong with calls, until the next change.
enum class OutageMode { kUp, kDown, kSilent, kLoseAnswers };
inline constexpr std::array<std::string_view, 4> kOutageModeNames = {
    "up", "down", "silent", "lose_answers"};

class PlatformServer {
 public:
  PlatformServer(boost::asio::io_context* io, net::HttpServerOptions options,
                 Milliseconds host_list_lag);
  Result<void> Start() { return m_server.Start(); }
  std::uint16_t Port() const { return m_server.Port(); }

 private:
  void Handle(const net::HttpRequest& request, const net::Respond& respond);
  void HandleFault(const net::HttpRequest& request,
                   const net::Respond& respond);
  net::HttpResponse Answer(const net::HttpRequest& request);
  void RespondLater(const net::HttpResponse& response,
                    const net::Respond& respond);

  boost::asio::io_context* const m_io;
  const Milliseconds m_host_list_lag;
  PlatformStore m_store;
  OutageMode m_mode = OutageMode::kUp;
  Milliseconds m_delay{0};
  // Callers whose name starts with one of these get no answer.
  std::vector<std::string> m_cut;
  // Answers withheld for good; kept so that their connections stay open.
  std::vector<net::Respond> m_withheld;
  net::HttpServer m_server;
};

}  // namespace tiller::standin
