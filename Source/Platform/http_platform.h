// The platform over HTTP: the only place that knows its wire format.
#pragma once

#include <functional>
#include <string>

#include "Net/http_client.h"
#include "Platform/platform_calls.h"

namespace tiller::platform {

class HttpPlatform {
 public:
  using Done = std::function<void(Result<Answer>)>;

  // `caller` names this host to the platform.
  HttpPlatform(net::HttpClient* client, net::Authority address,
               std::string caller, Milliseconds timeout);

  // Calls `done` once. kPlatformUnavailable with outcome kUnknown when an
  // answer was lost: the call may have taken effect.
  void Send(const Call& call, Done done);

 private:
  net::HttpClient* const m_client;
  const net::Authority m_address;
  const std::string m_caller;
  const Milliseconds m_timeout;
};

// The request that carries `call`, and the reading of its answer.
net::HttpRequest EncodeCall(const Call& call, const std::string& caller);
Result<Answer> DecodeAnswer(const Call& call,
                            const Result<net::HttpResponse>& response);

}  // namespace tiller::platform
