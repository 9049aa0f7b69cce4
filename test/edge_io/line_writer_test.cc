// Guards against a log that blocks or grows while its reader stands still.
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

BOOST_AUTO_TEST_CASE(lines_carry_time_and_level) {
  LineWriter lines(writer.get(), clock, LogLevel::kInfo);
  lines.Write(LogLevel::kDebug, "event=hidden");
  lines.Write(LogLevel::kWarn, "event=shown a=1");
  BOOST_TEST(!lines.Flush());
  BOOST_TEST(ReadAll() == "time_ms=1000000 level=warn event=shown a=1\n");
}

// Found on the bench: lines were cut where a pipe was full.
BOOST_AUTO_TEST_CASE(a_full_pipe_cuts_no_line) {
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

BOOST_AUTO_TEST_CASE(a_reader_that_stands_still_costs_lines_and_no_time) {
  LineWriter lines(writer.get(), clock, LogLevel::kInfo);
  const std::string line(1000, 'x');
  for (int i = 0; i < 1000; ++i) {
    lines.Write(LogLevel::kInfo, line);
    // Returns at once although nobody reads.
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
