// Benchmark: compares small reads through one host with the same reads sent
// directly to an endpoint by libpq, and measures the memory that the host uses
// per idle client connection.
#include <libpq-fe.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "Common/json.h"
#include "Load/load_report.h"
#include "Net/http_client.h"
#include "Settings/command_line.h"

namespace {

namespace settings = tiller::settings;
namespace net = tiller::net;
using SteadyClock = std::chrono::steady_clock;

constexpr char kStatement[] = "SELECT id, status FROM quotes WHERE id = $1";

struct Options {
  std::string endpoint;
  std::string caller_address;
  std::string key;
  std::string workspace;
  int pid = 0;  // process id of the host's daemon
  int concurrency = 8;
  int seconds = 5;
  int idle_connections = 2000;
};

struct Measurements {
  std::vector<double> latencies_us;
  double seconds = 0;
};

double ToMicroseconds(SteadyClock::duration elapsed) {
  return std::chrono::duration<double, std::micro>(elapsed).count();
}

// CPU time of another process in seconds, user and system, from /proc.
double CpuSeconds(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string stat_field;
  double ticks = 0;
  for (int i = 1; i <= 15 && file >> stat_field; ++i) {
    if (i >= 14) ticks += std::stod(stat_field);
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

// Resident memory of another process in bytes, from /proc.
double ResidentBytes(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

bool ReadFromEndpoint(PGconn* connection, const Options& options) {
  const char* workspace = options.workspace.c_str();
  const char* id = "none";
  PQsendQueryParams(connection,
                    "SELECT set_config('tiller.workspace', $1, true)", 1,
                    nullptr, &workspace, nullptr, nullptr, 0);
  PQsendQueryParams(connection, kStatement, 1, nullptr, &id, nullptr, nullptr,
                    0);
  PQpipelineSync(connection);
  bool ok = true;
  for (bool synced = false; !synced;) {
    PGresult* result = PQgetResult(connection);
    if (result == nullptr) {
      if (PQstatus(connection) != CONNECTION_OK) return false;
      continue;
    }
    const auto status = PQresultStatus(result);
    synced = status == PGRES_PIPELINE_SYNC;
    ok &= synced || status == PGRES_TUPLES_OK || status == PGRES_COMMAND_OK;
    PQclear(result);
  }
  return ok;
}

Measurements RunDirect(const Options& options) {
  const auto colon = options.endpoint.rfind(':');
  const std::string connection_string =
      "hostaddr=" + options.endpoint.substr(0, colon) +
      " port=" + options.endpoint.substr(colon + 1) +
      " user=bench dbname=group sslmode=disable" + " gssencmode=disable";
  std::vector<Measurements> thread_results(
      static_cast<std::size_t>(options.concurrency));
  const auto end = SteadyClock::now() + std::chrono::seconds(options.seconds);
  std::vector<std::thread> threads;
  for (auto& thread_result : thread_results) {
    threads.emplace_back([&thread_result, &connection_string, &options, end] {
      PGconn* connection = PQconnectdb(connection_string.c_str());
      PQenterPipelineMode(connection);
      while (SteadyClock::now() < end) {
        const auto started = SteadyClock::now();
        if (!ReadFromEndpoint(connection, options)) break;
        thread_result.latencies_us.push_back(
            ToMicroseconds(SteadyClock::now() - started));
      }
      PQfinish(connection);
    });
  }
  for (auto& thread : threads) thread.join();
  Measurements out;
  out.seconds = options.seconds;
  for (const auto& thread_result : thread_results) {
    out.latencies_us.insert(out.latencies_us.end(),
                            thread_result.latencies_us.begin(),
                            thread_result.latencies_us.end());
  }
  return out;
}

Measurements RunProxied(const Options& options) {
  boost::asio::io_context io(1);
  net::HttpClient client(&io, static_cast<std::size_t>(options.concurrency));
  Json::Value body;
  body["statement"] = kStatement;
  body["parameters"].append("none");
  const auto text = tiller::ToText(body);
  Measurements out;
  out.seconds = options.seconds;
  const auto end = SteadyClock::now() + std::chrono::seconds(options.seconds);
  std::uint64_t refused = 0;
  std::function<void()> send_next = [&] {
    const auto started = SteadyClock::now();
    if (started >= end) return;
    auto request = net::MakeRequest(net::http::verb::post, "/v1/execute", text);
    request.set(net::http::field::authorization, "Bearer " + options.key);
    client.Send(options.caller_address, std::move(request),
                tiller::Milliseconds(5'000),
                [&, started](const tiller::Result<net::HttpResponse>& answer) {
                  if (answer && answer.value().result_int() == 200) {
                    out.latencies_us.push_back(
                        ToMicroseconds(SteadyClock::now() - started));
                  } else {
                    ++refused;
                  }
                  send_next();
                });
  };
  for (int i = 0; i < options.concurrency; ++i) send_next();
  io.run();
  if (refused > 0) std::printf("refused %lu\n", refused);
  return out;
}

void Print(const char* name, const Measurements& measurements) {
  std::printf("%-8s %8.0f reads/s  p50 %7.0f us  p99 %7.0f us\n", name,
              static_cast<double>(measurements.latencies_us.size()) /
                  measurements.seconds,
              tiller::load::Percentile(measurements.latencies_us, 0.5),
              tiller::load::Percentile(measurements.latencies_us, 0.99));
}

void MeasureIdleConnections(const Options& options) {
  boost::asio::io_context io;
  using boost::asio::ip::tcp;
  const auto colon = options.caller_address.rfind(':');
  const tcp::endpoint target(
      boost::asio::ip::make_address(options.caller_address.substr(0, colon)),
      static_cast<std::uint16_t>(
          std::stoi(options.caller_address.substr(colon + 1))));
  const double before = ResidentBytes(options.pid);
  std::vector<tcp::socket> sockets;
  const std::string request = "GET /v1/open/none HTTP/1.1\r\nHost: x\r\n\r\n";
  for (int i = 0; i < options.idle_connections; ++i) {
    sockets.emplace_back(io);
    sockets.back().connect(target);
    // Each connection serves one request before it becomes idle.
    boost::asio::write(sockets.back(), boost::asio::buffer(request));
    std::string answer(1024, '\0');
    (void)sockets.back().read_some(boost::asio::buffer(answer));
  }
  std::this_thread::sleep_for(std::chrono::seconds(1));
  std::printf("idle     %d connections, %.0f bytes each\n",
              options.idle_connections,
              (ResidentBytes(options.pid) - before) / options.idle_connections);
}

}  // namespace

int main(int argc, const char** argv) {
  Options options;
  settings::CommandLine command_line("tiller-bench", "");
  command_line.Add("endpoint", &options.endpoint,
                   "address:port of an endpoint");
  command_line.Add("caller", &options.caller_address,
                   "address:port of one host, for clients");
  command_line.Add("key", &options.key, "key of the workspace");
  command_line.Add("workspace", &options.workspace, "workspace to read from");
  command_line.Add("pid", &options.pid, "process id of the host's daemon");
  command_line.Add("concurrency", &options.concurrency,
                   "number of concurrent requests");
  command_line.Add("seconds", &options.seconds, "duration of each measurement");
  command_line.Add("idle", &options.idle_connections,
                   "number of idle connections to open");
  command_line.Parse(argc, argv);
  const auto direct = RunDirect(options);
  const double before = CpuSeconds(options.pid);
  const auto proxied = RunProxied(options);
  const double cpu_seconds = CpuSeconds(options.pid) - before;
  Print("direct", direct);
  Print("proxied", proxied);
  std::printf(
      "ratio of p50 %.2f; %.0f reads per processor second of the host\n",
      tiller::load::Percentile(proxied.latencies_us, 0.5) /
          tiller::load::Percentile(direct.latencies_us, 0.5),
      static_cast<double>(proxied.latencies_us.size()) / cpu_seconds);
  MeasureIdleConnections(options);
  return settings::kExitSuccess;
}
