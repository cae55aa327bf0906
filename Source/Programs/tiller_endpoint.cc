// A stand-in database endpoint for tests, demonstrations and experiments.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>
#include <thread>

#include "Common/log.h"
#include "Settings/command_line.h"
#include "StandIn/endpoint_server.h"
#include "StandIn/pg_session.h"

int main(int argc, const char** argv) {
  namespace settings = tiller::settings;
  namespace standin = tiller::standin;
  using boost::asio::ip::tcp;
  standin::EndpointOptions options;
  std::string schema_file;
  int port = 0;
  int group_size = static_cast<int>(options.group_size);
  int lag_ms = 0;
  int cost_us = 0;
  int open_ms = 0;
  settings::CommandLine line("tiller-endpoint", "--name=NAME --folder=FOLDER");
  line.Add("name", &options.name, "name within its group");
  line.Add("folder", &options.folder, "folder for its data");
  line.Add("schema", &schema_file, "SQL run for each new workspace");
  line.Add("port", &port, "port on 127.0.0.1; 0: any");
  line.Add("group-size", &group_size, "endpoints in the group");
  line.Add("slots", &options.slots, "statements executed at once");
  line.Add("connections", &options.max_connections, "connections at once");
  line.Add("lag-ms", &lag_ms, "delay before entries are applied");
  line.Add("statement-cost-us", &cost_us, "time each statement takes longer");
  line.Add("open-ms", &open_ms, "time a new connection takes longer");
  line.Parse(argc, argv);
  if (options.name.empty() || options.folder.empty()) {
    std::fputs("tiller-endpoint: --name and --folder are required\n", stderr);
    return settings::kExitUsage;
  }
  tiller::log::Configure(tiller::log::Level::kInfo);
  options.group_size = static_cast<std::size_t>(group_size);
  options.lag = tiller::Milliseconds(lag_ms);
  options.statement_cost = std::chrono::microseconds(cost_us);
  std::ostringstream schema;
  if (!schema_file.empty()) schema << std::ifstream(schema_file).rdbuf();
  options.schema = schema.str();

  boost::asio::io_context io;
  tcp::acceptor acceptor(io);
  boost::system::error_code failure;
  acceptor.open(tcp::v4(), failure);
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  acceptor.bind({boost::asio::ip::address_v4::loopback(),
                 static_cast<std::uint16_t>(port)},
                failure);
  if (!failure) acceptor.listen(tcp::acceptor::max_listen_connections, failure);
  if (failure) {
    std::fprintf(stderr, "tiller-endpoint: cannot listen: %s\n",
                 failure.message().c_str());
    return settings::kExitFailure;
  }
  standin::EndpointServer server(options);
  tiller::log::Event(
      tiller::log::Channel::kEndpoint, tiller::log::Level::kInfo, "listening",
      {{"endpoint", options.name},
       {"port", std::to_string(acceptor.local_endpoint().port())}});
  while (true) {
    tcp::socket socket(io);
    acceptor.accept(socket, failure);
    if (failure) continue;
    socket.set_option(tcp::no_delay(true));
    // Each thread ends with its connection; the process ends by a signal.
    std::thread([&server, open_ms, taken = std::move(socket)]() mutable {
      std::this_thread::sleep_for(tiller::Milliseconds(open_ms));
      standin::PgSession(&server, std::move(taken)).Run();
    }).detach();
  }
}
