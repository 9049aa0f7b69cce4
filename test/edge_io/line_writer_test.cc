// Guards against a log that blocks, or that grows without limit, while its
// reader is stalled.
#include "sapphirestream/edge_io/line_writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <string>

#include "sapphirestream/base/file_descriptor.h"
#include "testing/manual_clock.h"

namespace sapphirestream {
namespace {

struct Fixture {
  Fixture() {
    std::array<int, 2> ends{};
    BOOST_REQUIRE(::pipe2(ends.data(), O_NONBLOCK) == 0);
    reader = FileDescriptor(ends[0]);
    writer = FileDescriptor(ends[1]);
  }
  std::string ReadAll() {
    std::string text;
    std::array<char, 65536> buffer{};
    do {
      const ssize_t size = ::read(reader.get(), buffer.data(), buffer.size());
      if (size <= 0) break;
      text.append(buffer.data(), static_cast<std::size_t>(size));
      if (size < static_cast<ssize_t>(buffer.size())) break;
    } while (true);
    return text;
  }

  FileDescriptor reader;
  FileDescriptor writer;
  testing::ManualClock clock;
};

BOOST_FIXTURE_TEST_SUITE(line_writer, Fixture)

BOOST_AUTO_TEST_CASE(lines_contain_time_and_level) {
  LineWriter lines(writer.get(), clock, LogLevel::kInfo);
  lines.Write(LogLevel::kDebug, "event=hidden");
  lines.Write(LogLevel::kWarn, "event=shown a=1");
  BOOST_TEST(!lines.Flush());
  BOOST_TEST(ReadAll() == "time_ms=1000000 level=warn event=shown a=1\n");
}

// Regression: lines were truncated when a pipe was full.
BOOST_AUTO_TEST_CASE(a_full_pipe_does_not_truncate_lines) {
  LineWriter lines(writer.get(), clock, LogLevel::kInfo);
  const std::string line(700, 'x');
  for (int i = 0; i < 90; ++i) {
    lines.Write(LogLevel::kInfo, line);
    if (i % 10 == 0) lines.Flush();
  }
  while (lines.Flush()) {
    const std::string text = ReadAll();
    BOOST_REQUIRE(!text.empty());
    BOOST_TEST(text.back() == '\n');
  }
}

BOOST_AUTO_TEST_CASE(a_stalled_reader_causes_dropped_lines_and_no_blocking) {
  LineWriter lines(writer.get(), clock, LogLevel::kInfo);
  const std::string line(1000, 'x');
  for (int i = 0; i < 1000; ++i) {
    lines.Write(LogLevel::kInfo, line);
    // Must not block although the pipe is not read.
    lines.Flush();
  }
  BOOST_TEST(lines.omitted() > 500U);
  const std::uint64_t omitted = lines.omitted();
  while (lines.Flush()) (void)ReadAll();
  lines.Write(LogLevel::kInfo, "event=next");
  (void)ReadAll();
  lines.Flush();
  BOOST_TEST(ReadAll().ends_with(
      "event=next omitted_before=" + std::to_string(omitted) + "\n"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
