// Injects a fault into a stand-in endpoint, or ends one.
#include <libpq-fe.h>

#include <array>
#include <cstdio>
#include <string>

#include "Settings/command_line.h"

int main(int argc, const char** argv) {
  namespace settings = tiller::settings;
  settings::CommandLine command_line("tiller-fault", "ADDRESS:PORT KIND VALUE");
  const auto arguments = command_line.Parse(argc, argv);
  if (arguments.size() != 3) {
    std::fputs("tiller-fault: see --help\n", stderr);
    return settings::kExitUsage;
  }
  const auto colon = arguments[0].rfind(':');
  PGconn* connection = PQconnectdb(
      ("hostaddr=" + arguments[0].substr(0, colon) + " port=" +
       arguments[0].substr(colon + 1) + " user=operator dbname=group" +
       " application_name=operator sslmode=disable gssencmode=disable" +
       " connect_timeout=3")
          .c_str());
  const std::array<const char*, 2> values = {arguments[1].c_str(),
                                             arguments[2].c_str()};
  PGresult* result = PQexecParams(connection, "SELECT standin_fault($1, $2)", 2,
                                  nullptr, values.data(), nullptr, nullptr, 0);
  const bool ok = PQresultStatus(result) == PGRES_TUPLES_OK;
  if (!ok) std::fputs(PQerrorMessage(connection), stderr);
  PQclear(result);
  PQfinish(connection);
  return ok ? settings::kExitSuccess : settings::kExitFailure;
}
