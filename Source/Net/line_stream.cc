// Implementation of the line stream.
#include "Net/line_stream.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace tiller::net {

using boost::system::error_code;

namespace {
constexpr std::size_t kReadChunkBytes = 4096;
// Buffers up to this size don't count as load: they belong to the cost of any
// connection.
constexpr std::size_t kUncountedBytes = 1024;
}  // namespace

LineStream::LineStream(boost::asio::ip::tcp::socket socket,
                       std::size_t max_line_bytes)
    : m_socket(std::move(socket)), m_splitter(max_line_bytes) {}

void LineStream::Observe(StreamObserver* observer, StreamId id) {
  m_observer = observer;
  m_id = id;
}

void LineStream::Start(OnLine on_line, OnClosed on_closed) {
  m_on_line = std::move(on_line);
  m_on_closed = std::move(on_closed);
  Read();
}

void LineStream::Read() {
  // Waits for readability first, so that an idle connection holds no buffer.
  m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                      [self = shared_from_this()](const error_code& failure) {
                        self->OnReadable(failure);
                      });
}

void LineStream::OnReadable(const error_code& failure) {
  if (m_closed) return;
  if (failure) return Fail(failure.message());
  std::array<char, kReadChunkBytes> chunk;
  error_code read_failure;
  const auto received_bytes =
      m_socket.read_some(boost::asio::buffer(chunk), read_failure);
  if (read_failure == boost::asio::error::would_block) return Read();
  if (read_failure) return Fail(read_failure.message());
  // After CloseAfterWrites() nothing is delivered any more. The input is read
  // nevertheless: closing a socket with unread input would discard the pending
  // output.
  if (!m_close_after_writes) {
    m_splitter.Append({chunk.data(), received_bytes});
    DeliverLines();
  }
  if (!m_closed && !m_input_paused) Read();
}

void LineStream::DeliverLines() {
  m_delivering = true;
  while (!m_closed && !m_close_after_writes) {
    m_input_paused = m_flow_control && m_output != nullptr;
    if (m_input_paused) break;
    const auto line = m_splitter.Next();
    if (!line) {
      m_delivering = false;
      return Fail(line.error().detail);
    }
    if (!line.value()) break;
    m_on_line(*line.value());
  }
  m_delivering = false;
  if (m_closed || m_close_after_writes) m_splitter.Clear();
  ReportLoad();
}

void LineStream::Write(std::string text) {
  if (m_closed || text.empty()) return;
  if (m_output) {
    if (m_output->queued.empty()) {
      m_output->queued = std::move(text);
    } else {
      m_output->queued += text;
    }
    return ReportLoad();
  }
  // Most messages fit into the socket's send buffer, so try a direct write
  // first.
  error_code failure;
  const auto sent = m_socket.write_some(boost::asio::buffer(text), failure);
  if (failure && failure != boost::asio::error::would_block) {
    // Reported asynchronously: the owner that called Write() may not be ready
    // for a callback here.
    boost::asio::post(m_socket.get_executor(),
                      [self = shared_from_this(), failure] {
                        self->Fail(failure.message());
                      });
    return;
  }
  if (!failure && sent == text.size()) return;
  m_output = std::make_unique<Output>();
  m_output->in_flight = std::move(text);
  SendOutput(failure ? 0 : sent);
  ReportLoad();
}

// Sends m_output->in_flight from the offset `sent`.
void LineStream::SendOutput(std::size_t sent) {
  boost::asio::async_write(
      m_socket, boost::asio::buffer(m_output->in_flight) + sent,
      [self = shared_from_this()](const error_code& failure, std::size_t) {
        self->OnOutputSent(failure);
      });
}

void LineStream::OnOutputSent(const error_code& failure) {
  if (m_closed) return m_output.reset();
  if (failure) return Fail(failure.message());
  if (!m_output->queued.empty()) {
    m_output->in_flight = std::exchange(m_output->queued, {});
    SendOutput(0);
    return ReportLoad();
  }
  m_output.reset();
  if (m_close_after_writes) return Close();
  if (!m_input_paused) return ReportLoad();
  m_input_paused = false;
  DeliverLines();
  if (!m_closed && !m_input_paused) Read();
}

void LineStream::CloseAfterWrites() {
  m_close_after_writes = true;
  if (m_closed) return;
  if (!m_output) return Close();
  if (m_delivering) return;  // DeliverLines() does the rest
  m_splitter.Clear();
  if (std::exchange(m_input_paused, false)) Read();
  ReportLoad();
}

void LineStream::SetOwnerBytes(std::size_t bytes) {
  if (m_owner_bytes == bytes) return;
  m_owner_bytes = static_cast<std::uint32_t>(bytes);
  if (!m_closed) ReportLoad();
}

void LineStream::ReportLoad() {
  if (m_observer == nullptr) return;
  StreamLoad load;
  if (!m_closed) {
    load.bytes = m_splitter.BufferBytes() + m_owner_bytes;
    if (m_output) {
      load.bytes +=
          m_output->in_flight.capacity() + m_output->queued.capacity();
    }
    if (load.bytes <= kUncountedBytes) load.bytes = 0;
    load.unsent_output = m_output != nullptr;
    // A line that waits behind unsent output has no time limit of its own.
    if (!m_input_paused) load.unfinished_line = m_splitter.UnfinishedLine();
  }
  if (load.Idle() && !m_reported) return;
  m_reported = !load.Idle();
  m_observer->OnLoad(m_id, load);
}

void LineStream::Close() {
  if (m_closed) return;
  m_closed = true;
  error_code ignored;  // the connection is unused from here on, even on failure
  m_socket.close(ignored);
  if (!m_delivering) m_splitter.Clear();
  ReportLoad();
}

void LineStream::Fail(const std::string& reason) {
  if (m_closed) return;
  Close();
  if (!m_close_after_writes) m_on_closed(reason);
}

}  // namespace tiller::net
