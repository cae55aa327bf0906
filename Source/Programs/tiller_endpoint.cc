// Stand-in database endpoint for tests, demonstrations and experiments.
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
  int statement_cost_us = 0;
  int connect_delay_ms = 0;
  settings::CommandLine command_line("tiller-endpoint",
                                     "--name=NAME --folder=FOLDER");
  command_line.Add("name", &options.name, "name within its group");
  command_line.Add("folder", &options.folder, "folder for its data");
  command_line.Add("schema", &schema_file, "SQL run for each new workspace");
  command_line.Add("port", &port, "port on 127.0.0.1; 0: any");
  command_line.Add("group-size", &group_size,
                   "number of endpoints in the group");
  command_line.Add("slots", &options.slots,
                   "maximum number of concurrent statements");
  command_line.Add("connections", &options.max_connections,
                   "maximum number of connections");
  command_line.Add("lag-ms", &lag_ms,
                   "delay before a replica applies an entry");
  command_line.Add("statement-cost-us", &statement_cost_us,
                   "time added to each statement");
  command_line.Add("open-ms", &connect_delay_ms,
                   "time added to the start of each connection");
  command_line.Parse(argc, argv);
  if (options.name.empty() || options.folder.empty()) {
    std::fputs("tiller-endpoint: --name and --folder are required\n", stderr);
    return settings::kExitUsage;
  }
  tiller::log::Configure(tiller::log::Level::kInfo);
  options.group_size = static_cast<std::size_t>(group_size);
  options.lag = tiller::Milliseconds(lag_ms);
  options.statement_cost = std::chrono::microseconds(statement_cost_us);
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
    // Each thread ends with its connection. The process runs until a signal
    // terminates it.
    std::thread([&server, connect_delay_ms,
                 accepted = std::move(socket)]() mutable {
      std::this_thread::sleep_for(tiller::Milliseconds(connect_delay_ms));
      standin::PgSession(&server, std::move(accepted)).Run();
    }).detach();
  }
}
