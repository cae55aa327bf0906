// Client for the platform's HTTP interface. No other module depends on the wire
// format.
#pragma once

#include <functional>
#include <string>

#include "Net/http_client.h"
#include "Platform/platform_calls.h"

namespace tiller::platform {

class PlatformClient {
 public:
  using Done = std::function<void(Result<Answer>)>;

  // `host_id` identifies this host to the platform.
  PlatformClient(net::HttpClient* client, net::Authority address,
                 std::string host_id, Milliseconds timeout);

  // Sends `call` and runs `done` exactly once. The error is
  // kPlatformUnavailable with outcome kUnknown if the answer was lost or could
  // not be used; the call may then have taken effect.
  void Send(const Call& call, Done done);

 private:
  net::HttpClient* const m_client;
  const net::Authority m_address;
  const std::string m_host_id;
  const Milliseconds m_timeout;
};

// Converts a call to the request that carries it, and the response to an
// answer.
net::HttpRequest EncodeCall(const Call& call, const std::string& host_id);
Result<Answer> DecodeAnswer(const Call& call,
                            const Result<net::HttpResponse>& response);

}  // namespace tiller::platform
