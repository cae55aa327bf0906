// Implementation of the HTTP listener.
#include "Net/http_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>
#include <optional>
#include <utility>
#include <vector>

namespace tiller::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;

namespace {
constexpr Milliseconds kAcceptRetryDelay{100};
constexpr Milliseconds kHandshakeTimeout{5'000};
}  // namespace

class HttpConnection {
 public:
  virtual ~HttpConnection() = default;
  virtual void CloseIfIdle() = 0;
  virtual void Close() = 0;
};

template <typename Stream>
class StreamConnection final
    : public HttpConnection,
      public std::enable_shared_from_this<StreamConnection<Stream>> {
 public:
  template <typename... Args>
  explicit StreamConnection(HttpServer* server, Args&&... args)
      : m_server(server), m_stream(std::forward<Args>(args)...) {
    m_server->m_connections.insert(this);
  }
  ~StreamConnection() override {
    if (m_server != nullptr) m_server->m_connections.erase(this);
  }

  void Start() {
    if constexpr (kTls) {
      beast::get_lowest_layer(m_stream).expires_after(kHandshakeTimeout);
      m_stream.async_handshake(
          asio::ssl::stream_base::server,
          [self = this->shared_from_this()](const error_code& failure) {
            if (!failure) self->WaitForRequest();
          });
    } else {
      m_stream.socket().set_option(tcp::no_delay(true));
      WaitForRequest();
    }
  }

  void CloseIfIdle() override {
    if (!m_busy) Close();
  }
  void Close() override {
    error_code ignored;
    beast::get_lowest_layer(m_stream).socket().close(ignored);
  }

 private:
  static constexpr bool kTls = !std::is_same_v<Stream, beast::tcp_stream>;

  // An idle plain connection holds no buffer: it only waits until its socket is
  // readable.
  void WaitForRequest() {
    if (m_server->m_draining && m_buffer.size() == 0) return Close();
    if (m_buffer.size() > 0) return ReadRequest();
    if constexpr (kTls) {
      return ReadRequest();
    } else {
      m_buffer.shrink_to_fit();
      m_stream.socket().async_wait(
          tcp::socket::wait_read,
          [self = this->shared_from_this()](const error_code& failure) {
            if (!failure) self->ReadRequest();
          });
    }
  }

  void ReadRequest() {
    m_parser.emplace();
    m_parser->body_limit(m_server->m_options.max_body_bytes);
    m_parser->header_limit(m_server->m_options.max_header_bytes);
    if constexpr (!kTls) {
      m_stream.expires_after(m_server->m_options.read_timeout);
    } else {
      beast::get_lowest_layer(m_stream).expires_never();
    }
    http::async_read(m_stream, m_buffer, *m_parser,
                     [self = this->shared_from_this()](
                         const error_code& failure, std::size_t) {
                       self->OnRequest(failure);
                     });
  }

  void OnRequest(const error_code& failure) {
    beast::get_lowest_layer(m_stream).expires_never();
    if (failure) return OnReadFailure(failure);
    SetBusy(true);
    HttpRequest request = m_parser->release();
    m_parser.reset();
    const bool keep_alive = request.keep_alive();
    m_server->m_handler(
        std::move(request),
        [self = this->shared_from_this(), keep_alive](HttpResponse response) {
          self->Write(std::move(response), keep_alive);
        });
  }

  void OnReadFailure(const error_code& failure) {
    const bool too_large = failure == http::error::body_limit ||
                           failure == http::error::header_limit;
    const bool is_http_error =
        failure.category() ==
        make_error_code(http::error::end_of_stream).category();
    if (!is_http_error || failure == http::error::end_of_stream ||
        failure == http::error::partial_message) {
      return;
    }
    SetBusy(true);
    Write(MakeProblem(MakeError(
              too_large ? ErrorCode::kTooLarge : ErrorCode::kBadRequest,
              failure.message())),
          false);
  }

  void Write(HttpResponse response, bool keep_alive) {
    if (m_server == nullptr) return;
    m_response.emplace(std::move(response));
    m_response->keep_alive(keep_alive && !m_server->m_draining);
    m_response->prepare_payload();
    http::async_write(m_stream, *m_response,
                      [self = this->shared_from_this()](
                          const error_code& failure, std::size_t) {
                        const bool keep = self->m_response->keep_alive();
                        self->m_response.reset();
                        self->SetBusy(false);
                        if (failure || !keep) return self->ShutdownSend();
                        self->WaitForRequest();
                      });
  }

  // Shuts down the sending side before the socket is closed, so that a TCP
  // reset cannot discard the last response.
  void ShutdownSend() {
    error_code ignored;
    beast::get_lowest_layer(m_stream).socket().shutdown(
        tcp::socket::shutdown_send, ignored);
  }

  void SetBusy(bool busy) {
    if (m_busy == busy) return;
    m_busy = busy;
    if (busy) {
      ++m_server->m_busy_count;
    } else {
      --m_server->m_busy_count;
    }
  }

  HttpServer* m_server;
  Stream m_stream;
  beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  std::optional<HttpResponse> m_response;
  bool m_busy = false;
};

HttpServer::HttpServer(asio::io_context* io, HttpServerOptions options,
                       Handler handler)
    : m_io(io),
      m_options(std::move(options)),
      m_handler(std::move(handler)),
      m_acceptor(*io),
      m_accept_retry_timer(*io) {}

HttpServer::~HttpServer() { Close(); }

Result<void> HttpServer::Start() {
  error_code failure;
  const auto address = asio::ip::make_address(m_options.address, failure);
  const tcp::endpoint endpoint(address, m_options.port);
  if (!failure) m_acceptor.open(endpoint.protocol(), failure);
  if (!failure) m_acceptor.set_option(tcp::acceptor::reuse_address(true));
  if (!failure) m_acceptor.bind(endpoint, failure);
  if (!failure) {
    m_acceptor.listen(asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    return MakeError(ErrorCode::kSettingInvalid,
                     "cannot listen on " + m_options.address + ":" +
                         std::to_string(m_options.port) + ": " +
                         failure.message());
  }
  m_port = m_acceptor.local_endpoint().port();
  Accept();
  return Success();
}

void HttpServer::SetTls(std::shared_ptr<asio::ssl::context> context) {
  m_tls_context = std::move(context);
}

void HttpServer::Accept() {
  m_acceptor.async_accept(
      [this](const error_code& failure, tcp::socket socket) {
        if (failure == asio::error::operation_aborted) return;
        if (failure) {
          m_accept_retry_timer.expires_after(kAcceptRetryDelay);
          m_accept_retry_timer.async_wait([this](const error_code& cancelled) {
            if (!cancelled) Accept();
          });
          return;
        }
        if (m_connections.size() < m_options.max_connections) {
          if (m_tls_context) {
            std::make_shared<
                StreamConnection<beast::ssl_stream<beast::tcp_stream>>>(
                this, beast::tcp_stream(std::move(socket)), *m_tls_context)
                ->Start();
          } else {
            std::make_shared<StreamConnection<beast::tcp_stream>>(
                this, std::move(socket))
                ->Start();
          }
        }
        Accept();
      });
}

void HttpServer::Drain() {
  m_draining = true;
  error_code ignored;
  m_acceptor.close(ignored);
  m_accept_retry_timer.cancel();
  const std::vector<HttpConnection*> connections(m_connections.begin(),
                                                 m_connections.end());
  for (auto* connection : connections) connection->CloseIfIdle();
}

void HttpServer::Close() {
  error_code ignored;
  m_acceptor.close(ignored);
  const std::vector<HttpConnection*> connections(m_connections.begin(),
                                                 m_connections.end());
  for (auto* connection : connections) connection->Close();
}

}  // namespace tiller::net
