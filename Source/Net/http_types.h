// HTTP message types shared by all listeners and clients.
#pragma once

#include <boost/beast/http.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "Common/error.h"
#include "Common/json.h"

namespace tiller::net {

namespace http = boost::beast::http;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;
// Sends the response to one request. Must be called at most once.
using Responder = std::function<void(HttpResponse)>;

// Encodes a text for use as a segment of a path or as a value in a query.
std::string PercentEncode(std::string_view text);
// Returns nullopt if a percent sign is not followed by two hexadecimal digits.
std::optional<std::string> PercentDecode(std::string_view text);

HttpResponse MakeResponse(int status, std::string content_type,
                          std::string body);
HttpResponse MakeJsonResponse(int status, const Json::Value& body);
// An application/problem+json response (RFC 7807) with the error's stable code
// and the outcome of the request.
HttpResponse MakeProblem(const Error& error);

}  // namespace tiller::net
