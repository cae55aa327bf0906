// One connection of an HTTP listener. Internal to Net/http_server.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>
#include <memory>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>

#include "Net/http_server.h"

namespace tiller::net {

class HttpConnection {
 public:
  virtual ~HttpConnection() = default;
  virtual void CloseIfIdle() = 0;
  virtual void Close() = 0;
  // The server is about to be destroyed.
  virtual void Detach() = 0;
};

// Counts a request among those that the handler has not answered, until it is
// answered or its responder is destroyed.
class RequestInFlight {
 public:
  RequestInFlight(std::shared_ptr<std::size_t> total, std::size_t bytes)
      : m_total(std::move(total)), m_bytes(bytes) {
    *m_total += m_bytes;
  }
  ~RequestInFlight() { End(); }
  RequestInFlight(const RequestInFlight&) = delete;
  RequestInFlight& operator=(const RequestInFlight&) = delete;

  void End() {
    *m_total -= m_bytes;
    m_bytes = 0;
  }

 private:
  const std::shared_ptr<std::size_t> m_total;
  std::size_t m_bytes;  // 0 once ended
};

template <typename Stream>
class StreamConnection final
    : public HttpConnection,
      public std::enable_shared_from_this<StreamConnection<Stream>> {
 public:
  using ErrorCodeOfIo = boost::system::error_code;

  template <typename... Args>
  StreamConnection(HttpServer* server, HttpConnectionId id, Args&&... args)
      : m_server(server), m_id(id), m_stream(std::forward<Args>(args)...) {
    m_server->m_connections.emplace(m_id, this);
  }
  ~StreamConnection() override { Leave(); }

  void Start() {
    if constexpr (kTls) {
      SetPhase(HttpPhase::kHeader);
      boost::beast::get_lowest_layer(m_stream).expires_after(kHandshakeTimeout);
      m_stream.async_handshake(
          boost::asio::ssl::stream_base::server,
          [self = this->shared_from_this()](const ErrorCodeOfIo& failure) {
            if (failure || self->m_server == nullptr) return;
            boost::beast::get_lowest_layer(self->m_stream).expires_never();
            self->SetPhase(HttpPhase::kIdle);
            self->WaitForRequest();
          });
    } else {
      ErrorCodeOfIo ignored;  // fails if the peer has closed the connection
      m_stream.socket().set_option(boost::asio::ip::tcp::no_delay(true),
                                   ignored);
      WaitForRequest();
    }
  }

  void CloseIfIdle() override {
    if (!m_busy) Close();
  }
  void Close() override {
    ErrorCodeOfIo ignored;
    boost::beast::get_lowest_layer(m_stream).socket().close(ignored);
    Leave();
  }
  void Detach() override { Close(); }

 private:
  static constexpr bool kTls =
      !std::is_same_v<Stream, boost::beast::tcp_stream>;
  static constexpr Milliseconds kHandshakeTimeout{5'000};
  static constexpr std::size_t kFirstReadBytes = 4096;

  // Takes the connection out of the server's books. No callback does anything
  // afterwards.
  void Leave() {
    if (m_server == nullptr) return;
    SetBusy(false);
    Charge(0);
    m_server->m_guard.OnClosed(m_id);
    m_server->m_connections.erase(m_id);
    m_server = nullptr;
  }

  void SetPhase(HttpPhase phase) {
    m_server->m_guard.OnPhase(m_id, phase, m_server->Now());
  }

  // An idle plain connection holds no buffer: it only waits until its socket is
  // readable.
  void WaitForRequest() {
    if (m_server->m_draining && m_buffer.size() == 0) return Close();
    if (m_buffer.size() > 0) return ReadRequest();
    m_buffer.shrink_to_fit();
    Charge(0);
    if constexpr (kTls) {
      // What the peer sent may be inside the TLS layer, where waiting for the
      // socket does not see it.
      m_stream.async_read_some(
          m_buffer.prepare(kFirstReadBytes),
          [self = this->shared_from_this()](const ErrorCodeOfIo& failure,
                                            std::size_t received_bytes) {
            if (failure || self->m_server == nullptr) return;
            self->m_buffer.commit(received_bytes);
            self->ReadRequest();
          });
    } else {
      m_stream.socket().async_wait(
          boost::asio::ip::tcp::socket::wait_read,
          [self = this->shared_from_this()](const ErrorCodeOfIo& failure) {
            if (failure || self->m_server == nullptr) return;
            self->ReadRequest();
          });
    }
  }

  void ReadRequest() {
    SetPhase(HttpPhase::kHeader);
    m_received_bytes = 0;
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->body_limit(m_server->m_options.max_body_bytes);
    m_parser->header_limit(m_server->m_options.max_header_bytes);
    ReadPart();
  }

  // Reads in parts, so that the budget sees what an unfinished request holds.
  void ReadPart() {
    http::async_read_some(m_stream, m_buffer, *m_parser,
                          [self = this->shared_from_this()](
                              const ErrorCodeOfIo& failure, std::size_t bytes) {
                            if (self->m_server == nullptr) return;
                            self->OnPart(failure, bytes);
                          });
  }

  void OnPart(const ErrorCodeOfIo& failure, std::size_t bytes) {
    if (failure) return OnReadFailure(failure);
    m_received_bytes += bytes;
    if (m_parser->is_done()) return OnRequest();
    if (m_parser->is_header_done()) SetPhase(HttpPhase::kBody);
    // The text of a chunked body grows by doubling.
    Charge(m_buffer.capacity() +
           (m_parser->chunked() ? 2 : 1) * m_received_bytes);
    ReadPart();
  }

  void OnRequest() {
    SetBusy(true);
    SetPhase(HttpPhase::kServing);
    HttpRequest request = m_parser->release();
    m_parser.reset();
    if (m_buffer.size() == 0) m_buffer.shrink_to_fit();
    Charge(m_buffer.capacity());
    const bool keep_alive = request.keep_alive();
    if (!m_server->Admits(m_received_bytes)) {
      m_server->Report("http_request_refused", HttpCloseReason::kMemory);
      return Write(MakeProblem(MakeError(ErrorCode::kQueueFull,
                                         "too many bytes of requests wait")),
                   keep_alive);
    }
    const auto in_flight = std::make_shared<RequestInFlight>(
        m_server->m_in_flight_bytes, m_received_bytes);
    m_server->m_handler(std::move(request),
                        [self = this->shared_from_this(), keep_alive,
                         in_flight](HttpResponse response) {
                          in_flight->End();
                          self->Write(std::move(response), keep_alive);
                        });
  }

  void OnReadFailure(const ErrorCodeOfIo& failure) {
    const bool too_large = failure == http::error::body_limit ||
                           failure == http::error::header_limit;
    const bool is_http_error =
        failure.category() ==
        make_error_code(http::error::end_of_stream).category();
    if (!is_http_error || failure == http::error::end_of_stream ||
        failure == http::error::partial_message) {
      return Close();
    }
    SetBusy(true);
    // What was received is not needed any more.
    m_parser.reset();
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    Write(MakeProblem(MakeError(
              too_large ? ErrorCode::kTooLarge : ErrorCode::kBadRequest,
              failure.message())),
          false);
  }

  void Write(HttpResponse response, bool keep_alive) {
    if (m_server == nullptr) return;
    SetPhase(HttpPhase::kWriting);
    m_response.emplace(std::move(response));
    m_response->keep_alive(keep_alive && !m_server->m_draining);
    m_response->prepare_payload();
    Charge(m_buffer.capacity() + m_response->body().capacity());
    http::async_write(m_stream, *m_response,
                      [self = this->shared_from_this()](
                          const ErrorCodeOfIo& failure, std::size_t) {
                        const bool keep = self->m_response->keep_alive();
                        self->m_response.reset();
                        if (self->m_server == nullptr) return;
                        self->SetBusy(false);
                        if (failure || !keep) return self->ShutdownSend();
                        self->SetPhase(HttpPhase::kIdle);
                        self->WaitForRequest();
                      });
  }

  // Shuts down the sending side before the socket is closed, so that a TCP
  // reset cannot discard the last response.
  void ShutdownSend() {
    ErrorCodeOfIo ignored;
    boost::beast::get_lowest_layer(m_stream).socket().shutdown(
        boost::asio::ip::tcp::socket::shutdown_send, ignored);
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

  // Sets the bytes that the connection holds. It is a consumer of the budget
  // only while it holds any.
  void Charge(std::size_t bytes) {
    auto* budget = m_server->m_options.budget;
    if (budget == nullptr) return;
    if (bytes == 0) {
      if (m_consumer) budget->Remove(*m_consumer);
      m_consumer.reset();
      return;
    }
    if (!m_consumer) {
      m_consumer = budget->Add(m_server->m_options.budget_class, "",
                               [weak = this->weak_from_this()] {
                                 const auto self = weak.lock();
                                 if (!self || self->m_server == nullptr) return;
                                 self->m_server->CloseFor(
                                     self->m_id, HttpCloseReason::kMemory);
                               });
    }
    budget->Update(*m_consumer, bytes);
  }

  HttpServer* m_server;  // null once the connection is closed
  const HttpConnectionId m_id;
  Stream m_stream;
  boost::beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  std::size_t m_received_bytes = 0;  // of the request that is being read
  std::optional<HttpResponse> m_response;
  std::optional<ConsumerId> m_consumer;
  bool m_busy = false;
};

}  // namespace tiller::net
