// Implementation of the HTTP client.
#include "Net/http_client.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <charconv>
#include <optional>
#include <utility>

namespace tiller::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint64_t kMaxResponseBytes = 64U << 20;
// TCP keep-alive. A connection whose peer has vanished without closing it ends
// after three seconds, even while it waits for a response that may take longer.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbeCount = 2;

// The options are optional: without them the timeout of the exchange ends the
// connection, so a failure to set one is ignored.
void SetSocketOptions(tcp::socket* socket) {
  error_code ignored;
  socket->set_option(tcp::no_delay(true), ignored);
  socket->set_option(asio::socket_base::keep_alive(true), ignored);
  const auto set = [&](int name, int value) {
    ::setsockopt(socket->native_handle(), IPPROTO_TCP, name, &value,
                 sizeof(value));
  };
  set(TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  set(TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  set(TCP_KEEPCNT, kKeepAliveProbeCount);
}

std::optional<tcp::endpoint> ParseAuthority(const Authority& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  error_code failure;
  const auto address = asio::ip::make_address(text.substr(0, colon), failure);
  std::uint16_t port = 0;
  std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
  if (failure || port == 0) return std::nullopt;
  return tcp::endpoint(address, port);
}

bool IsControl(char c) {
  return static_cast<unsigned char>(c) < ' ' || c == '\x7f';
}

// Whether the request's line and headers can be told apart by the receiver.
bool IsWellFormed(const HttpRequest& request) {
  const auto target = request.target();
  if (target.empty() || std::any_of(target.begin(), target.end(), [](char c) {
        return c == ' ' || IsControl(c);
      })) {
    return false;
  }
  return std::all_of(request.begin(), request.end(), [](const auto& field) {
    const auto value = field.value();
    return std::none_of(value.begin(), value.end(), IsControl);
  });
}

}  // namespace

struct HttpClient::Exchange {
  Authority target;
  HttpRequest request;
  Milliseconds timeout{0};
  ResponseCallback on_response;
  std::unique_ptr<Stream> stream;
  beast::flat_buffer buffer;
  std::optional<http::response_parser<http::string_body>> parser;
};

void HttpClient::Send(const Authority& target, HttpRequest request,
                      Milliseconds timeout, ResponseCallback on_response) {
  auto exchange = std::make_shared<Exchange>();
  exchange->target = target;
  exchange->request = std::move(request);
  exchange->request.set(http::field::host, target);
  exchange->request.prepare_payload();
  exchange->timeout = timeout;
  exchange->on_response = std::move(on_response);
  if (!IsWellFormed(exchange->request)) {
    asio::post(*m_io, [this, exchange] {
      Fail(exchange, ErrorCode::kBadRequest, "malformed target or header");
    });
    return;
  }
  auto& idle = m_idle_connections[target];
  while (!idle.empty()) {
    exchange->stream = std::move(idle.back());
    idle.pop_back();
    // An idle connection that is readable has been closed by its peer. It is
    // dropped, and the next one is tried.
    error_code failure;
    if (exchange->stream->socket().available(failure) == 0 && !failure) {
      exchange->stream->socket().non_blocking(true, failure);
      char peeked = 0;
      exchange->stream->socket().receive(asio::buffer(&peeked, 1),
                                         tcp::socket::message_peek, failure);
      if (failure == asio::error::would_block) return Write(exchange);
    }
  }
  Connect(exchange);
}

void HttpClient::Connect(const std::shared_ptr<Exchange>& exchange) {
  const auto endpoint = ParseAuthority(exchange->target);
  if (!endpoint) {
    asio::post(*m_io, [this, exchange] {
      Fail(exchange, ErrorCode::kConnectFailed, "bad address");
    });
    return;
  }
  exchange->stream = std::make_unique<Stream>(*m_io);
  exchange->stream->expires_after(exchange->timeout);
  exchange->stream->async_connect(
      *endpoint, [this, exchange](const error_code& failure) {
        if (failure) {
          return Fail(exchange, ErrorCode::kConnectFailed, failure.message());
        }
        SetSocketOptions(&exchange->stream->socket());
        Write(exchange);
      });
}

void HttpClient::Write(const std::shared_ptr<Exchange>& exchange) {
  exchange->stream->expires_after(exchange->timeout);
  http::async_write(*exchange->stream, exchange->request,
                    [this, exchange](const error_code& failure, std::size_t) {
                      if (failure) {
                        return Fail(exchange, ErrorCode::kEndpointLost,
                                    failure.message());
                      }
                      Read(exchange);
                    });
}

void HttpClient::Read(const std::shared_ptr<Exchange>& exchange) {
  exchange->parser.emplace();
  exchange->parser->body_limit(kMaxResponseBytes);
  http::async_read(*exchange->stream, exchange->buffer, *exchange->parser,
                   [this, exchange](const error_code& failure, std::size_t) {
                     if (failure) {
                       return Fail(exchange,
                                   failure == beast::error::timeout
                                       ? ErrorCode::kTimeout
                                       : ErrorCode::kEndpointLost,
                                   failure.message());
                     }
                     auto response = exchange->parser->release();
                     // The response follows after any number of interim ones.
                     if (http::to_status_class(response.result_int()) ==
                         http::status_class::informational) {
                       return Read(exchange);
                     }
                     exchange->stream->expires_never();
                     auto& idle = m_idle_connections[exchange->target];
                     // Surplus bytes would be read as the next response.
                     if (response.keep_alive() &&
                         exchange->buffer.size() == 0 &&
                         idle.size() < m_max_idle_per_target) {
                       idle.push_back(std::move(exchange->stream));
                     }
                     exchange->on_response(std::move(response));
                   });
}

void HttpClient::Fail(const std::shared_ptr<Exchange>& exchange, ErrorCode code,
                      const std::string& detail) {
  exchange->stream.reset();
  exchange->on_response(MakeError(
      code, exchange->target + ": " + detail,
      code == ErrorCode::kConnectFailed || code == ErrorCode::kBadRequest
          ? RunOutcome::kNotRun
          : RunOutcome::kUnknown));
}

Result<HttpResponse> SendBlocking(const Authority& target, HttpRequest request,
                                  Milliseconds timeout) {
  asio::io_context io;
  HttpClient client(&io);
  std::optional<Result<HttpResponse>> out;
  client.Send(target, std::move(request), timeout,
              [&](Result<HttpResponse> result) {
                out = std::move(result);
                io.stop();
              });
  io.run();
  if (!out) return MakeError(ErrorCode::kInternal, "no answer");
  return *out;
}

HttpRequest MakeRequest(http::verb method, const std::string& target,
                        std::string body) {
  HttpRequest request(method, target, 11);
  request.body() = std::move(body);
  if (!request.body().empty()) {
    request.set(http::field::content_type, "application/json");
  }
  return request;
}

}  // namespace tiller::net
