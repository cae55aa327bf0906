// HTTP message types used at every listener and client.
#pragma once

#include <boost/beast/http.hpp>
#include <functional>
#include <string>

#include "Common/error.h"
#include "Common/json.h"

namespace tiller::net {

namespace http = boost::beast::http;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;
using Respond = std::function<void(HttpResponse)>;

HttpResponse MakeResponse(int status, std::string content_type,
                          std::string body);
HttpResponse MakeJsonResponse(int status, const Json::Value& body);
// An application/problem+json answer (RFC 7807) with the error's stable code
// and the outcome of the request.
HttpResponse MakeProblem(const Error& error);

}  // namespace tiller::net
