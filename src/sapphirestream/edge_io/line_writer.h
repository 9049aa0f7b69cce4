// A log sink that never blocks: lines are gathered and written when the output
// takes them, and counted when it does not.
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
  // Bytes that wait for a slow reader.
  static constexpr std::size_t kMaxWaiting = std::size_t{64} * 1024;

  // Makes `fd` non-blocking; the caller keeps it open.
  LineWriter(int fd, const Clock& clock, LogLevel threshold);

  void Write(LogLevel level, const std::string& line) override;
  // Pipes take this many bytes whole or not at all, so that lines of several
  // writers do not mix.
  static constexpr std::size_t kMaxWrite = 4096;

  // Writes as many whole lines as the output takes. Returns whether bytes are
  // left.
  bool Flush() noexcept;
  void set_threshold(LogLevel threshold) noexcept { threshold_ = threshold; }
  // Lines left out since the start.
  [[nodiscard]] std::uint64_t omitted() const noexcept { return omitted_; }

 private:
  int fd_;
  const Clock& clock_;
  LogLevel threshold_;
  // Size of the first lines that are written at once; 0 if none wait.
  [[nodiscard]] std::size_t NextWrite() const noexcept;

  // Whole lines; a line above kMaxWrite may have been written in part.
  std::string waiting_;
  std::uint64_t omitted_ = 0;
  // Of these, the ones that no line has told of yet.
  std::uint64_t unreported_ = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_IO_LINE_WRITER_H_
