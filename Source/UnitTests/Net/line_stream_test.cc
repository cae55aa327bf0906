// Tests of the line stream over loopback sockets.
#include "Net/line_stream.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace tiller::net {
namespace {

using boost::asio::ip::tcp;

class LineStreamTest : public testing::Test {
 protected:
  static constexpr std::size_t kMaxLineBytes = 16;

  LineStreamTest() : m_peer(m_io) {
    tcp::acceptor acceptor(m_io, {boost::asio::ip::address_v4::loopback(), 0});
    m_peer.connect(acceptor.local_endpoint());
    auto socket = acceptor.accept();
    socket.non_blocking(true);
    m_stream = std::make_shared<LineStream>(std::move(socket), kMaxLineBytes);
    m_stream->Start(
        [this](std::string_view line) {
          m_lines.emplace_back(line);
          if (m_on_line) m_on_line();
        },
        [this](const std::string& reason) { m_closed.push_back(reason); });
  }
  void SendFromPeer(const std::string& text) {
    boost::asio::write(m_peer, boost::asio::buffer(text));
  }
  // Runs the stream until `done` returns true, or nothing happens any more.
  void RunUntil(const std::function<bool()>& done) {
    m_io.restart();
    while (!done() && m_io.run_one_for(std::chrono::seconds(2)) > 0) {
    }
  }

  boost::asio::io_context m_io;
  tcp::socket m_peer;
  std::shared_ptr<LineStream> m_stream;
  std::function<void()> m_on_line;
  std::vector<std::string> m_lines;
  std::vector<std::string> m_closed;
};

TEST_F(LineStreamTest, DeliversLinesWithoutTheirEnds) {
  SendFromPeer("a\r\nb\n\nc");
  RunUntil([this] { return m_lines.size() == 3; });
  EXPECT_EQ(m_lines, (std::vector<std::string>{"a", "b", ""}));
  SendFromPeer("d\n");
  RunUntil([this] { return m_lines.size() == 4; });
  ASSERT_EQ(m_lines.size(), 4U);
  EXPECT_EQ(m_lines.back(), "cd");
  EXPECT_TRUE(m_closed.empty());
}

TEST_F(LineStreamTest, LineThatIsTooLongClosesTheConnection) {
  SendFromPeer(std::string(kMaxLineBytes, 'x'));
  SendFromPeer("x");
  RunUntil([this] { return m_stream->Closed(); });
  EXPECT_TRUE(m_stream->Closed());
  EXPECT_EQ(m_closed, std::vector<std::string>{"line too long"});
  EXPECT_TRUE(m_lines.empty());
}

TEST_F(LineStreamTest, EndOfThePeerIsReportedOnce) {
  SendFromPeer("a\n");
  m_peer.close();
  RunUntil([this] { return m_stream->Closed(); });
  EXPECT_EQ(m_lines, std::vector<std::string>{"a"});
  EXPECT_EQ(m_closed.size(), 1U);
}

TEST_F(LineStreamTest, NothingIsDeliveredAfterClose) {
  m_on_line = [this] { m_stream->Close(); };
  SendFromPeer("a\nb\n");
  RunUntil([this] { return m_stream->Closed(); });
  EXPECT_EQ(m_lines, std::vector<std::string>{"a"});
  EXPECT_TRUE(m_closed.empty());
}

TEST_F(LineStreamTest, PendingOutputIsSentBeforeTheClose) {
  // More than the socket buffers hold.
  const std::string text(8'000'000, 'x');
  m_stream->Write(text);
  m_stream->Write("end");
  m_stream->CloseAfterWrites();
  EXPECT_FALSE(m_stream->Closed());
  std::string received;
  std::thread reader([&] {
    boost::system::error_code end;
    boost::asio::read(m_peer, boost::asio::dynamic_buffer(received), end);
  });
  RunUntil([this] { return m_stream->Closed(); });
  EXPECT_TRUE(m_stream->Closed());
  m_stream->Close();
  reader.join();
  EXPECT_TRUE(received == text + "end") << received.size() << " bytes";
  EXPECT_TRUE(m_closed.empty());
}

}  // namespace
}  // namespace tiller::net
