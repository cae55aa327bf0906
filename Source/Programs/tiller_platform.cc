// Stand-in platform for tests, demonstrations and experiments.
#include <boost/asio/io_context.hpp>
#include <cstdio>

#include "Common/log.h"
#include "Settings/command_line.h"
#include "StandIn/platform_server.h"

int main(int argc, const char** argv) {
  namespace settings = tiller::settings;
  int port = 0;
  int lag_ms = 2000;
  settings::CommandLine command_line("tiller-platform", "");
  command_line.Add("port", &port, "port on 127.0.0.1; 0: any");
  command_line.Add("host-list-lag-ms", &lag_ms,
                   "delay before a new list of hosts is visible");
  command_line.Parse(argc, argv);
  tiller::log::Configure(tiller::log::Level::kInfo);
  boost::asio::io_context io(1);
  tiller::net::HttpServerOptions options;
  options.port = static_cast<std::uint16_t>(port);
  tiller::standin::PlatformServer server(&io, options,
                                         tiller::Milliseconds(lag_ms));
  const auto started = server.Start();
  if (!started) {
    std::fprintf(stderr, "tiller-platform: %s\n",
                 started.error().detail.c_str());
    return settings::kExitFailure;
  }
  tiller::log::Event(tiller::log::Channel::kPlatform, tiller::log::Level::kInfo,
                     "listening", {{"port", std::to_string(server.Port())}});
  io.run();
  return settings::kExitSuccess;
}
