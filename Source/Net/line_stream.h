// A TCP connection that carries lines of text, each ended by CR LF.
//
// Load addressed: peers that send much and read little. With flow control, no
// input is read while output is unsent, so that a peer that reads nothing has
// at most the answer to one line in memory.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Net/line_splitter.h"

namespace tiller::net {

using StreamId = std::uint64_t;

// What a stream keeps in memory, and what it waits for.
struct StreamLoad {
  std::size_t bytes = 0;  // of the buffers, and what the owner has added
  // Offset in the received bytes of the line whose end has not been received.
  std::optional<std::uint64_t> unfinished_line;
  bool unsent_output = false;

  bool Idle() const { return bytes == 0 && !unfinished_line && !unsent_output; }
};

class StreamObserver {
 public:
  virtual ~StreamObserver() = default;
  // Called when the load changes, not while the stream stays idle. Must not
  // close or destroy the stream.
  virtual void OnLoad(StreamId stream, const StreamLoad& load) = 0;
};

class LineStream : public std::enable_shared_from_this<LineStream> {
 public:
  // `on_line` receives each line without its line end. `on_closed` is called
  // once if the peer closes the connection, the connection fails, or the peer
  // sends a line that is too long.
  using OnLine = std::function<void(std::string_view line)>;
  using OnClosed = std::function<void(const std::string& reason)>;

  // A line may have `max_line_bytes` without its end.
  LineStream(boost::asio::ip::tcp::socket socket, std::size_t max_line_bytes);

  // Reports the load as that of `id`. The observer must outlive the stream's
  // handlers.
  void Observe(StreamObserver* observer, StreamId id);
  // Reads no input while output is unsent. Not for both ends of a connection:
  // each would wait for the other one to read.
  void EnableFlowControl() { m_flow_control = true; }
  boost::asio::ip::tcp::socket& Socket() { return m_socket; }
  void Start(OnLine on_line, OnClosed on_closed);
  void Write(std::string text);
  // Closes the connection once all pending output is sent. No callback is
  // called any more.
  void CloseAfterWrites();
  // Sets the bytes that the owner keeps for the stream, as part of its load.
  void SetOwnerBytes(std::size_t bytes);
  std::uint64_t ReceivedBytes() const { return m_splitter.ReceivedBytes(); }
  // Offset in the received bytes at which the line that is being delivered
  // begins. Valid inside `on_line`.
  std::uint64_t LineStart() const { return m_splitter.LineStart(); }
  bool Closed() const { return m_closed; }
  // Closes the connection at once, without a callback.
  void Close();

 private:
  struct Output {
    std::string in_flight;  // text of the write in progress
    std::string queued;     // behind in_flight
  };
  void Read();
  void OnReadable(const boost::system::error_code& failure);
  void DeliverLines();
  void SendOutput(std::size_t sent);
  void OnOutputSent(const boost::system::error_code& failure);
  void ReportLoad();
  void Fail(const std::string& reason);

  boost::asio::ip::tcp::socket m_socket;
  LineSplitter m_splitter;
  OnLine m_on_line;
  OnClosed m_on_closed;
  // Null while all output is sent, so that an idle stream holds no buffer.
  std::unique_ptr<Output> m_output;
  StreamObserver* m_observer = nullptr;
  StreamId m_id = 0;
  std::uint32_t m_owner_bytes = 0;
  bool m_reported = false;  // the last load that was reported was not idle
  bool m_flow_control = false;
  bool m_input_paused = false;  // no read is pending; only with flow control
  bool m_delivering = false;
  bool m_close_after_writes = false;  // no callback is called any more
  bool m_closed = false;
};

}  // namespace tiller::net
