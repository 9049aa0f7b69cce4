// Non-blocking log sink: lines are buffered until the output accepts them.
// Lines that exceed the buffer are dropped and counted.
#ifndef SAPPHIRESTREAM_EDGE_IO_LINE_WRITER_H_
#define SAPPHIRESTREAM_EDGE_IO_LINE_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/event_log.h"

namespace sapphirestream {

class LineWriter final : public LogSink {
 public:
  // Maximum number of bytes buffered for a slow reader.
  static constexpr std::size_t kMaxBuffered = std::size_t{64} * 1024;

  // Makes `fd` non-blocking; the caller keeps it open.
  LineWriter(int fd, const Clock& clock, LogLevel threshold);

  void Write(LogLevel level, const std::string& line) override;
  // Writes of at most PIPE_BUF (4096) bytes to a pipe are atomic, so that the
  // lines of several writers are not interleaved.
  static constexpr std::size_t kMaxWrite = 4096;

  // Writes as many complete lines as the output accepts. Returns whether the
  // buffer still contains data.
  bool Flush() noexcept;
  void set_threshold(LogLevel threshold) noexcept { threshold_ = threshold; }
  // Number of dropped lines since the start.
  [[nodiscard]] std::uint64_t omitted() const noexcept { return omitted_; }

 private:
  int fd_;
  const Clock& clock_;
  LogLevel threshold_;
  // Size of the next write: complete lines of at most kMaxWrite bytes if
  // possible; 0 if the buffer is empty.
  [[nodiscard]] std::size_t NextWriteSize() const noexcept;

  // Buffered lines; a line longer than kMaxWrite may have been written in part.
  std::string buffer_;
  std::uint64_t omitted_ = 0;
  // Dropped lines that have not been reported in the log yet.
  std::uint64_t unreported_ = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_IO_LINE_WRITER_H_
