#include "sapphirestream/edge_io/line_writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>

namespace sapphirestream {

LineWriter::LineWriter(int fd, const Clock& clock, LogLevel threshold)
    : fd_(fd), clock_(clock), threshold_(threshold) {
  const int flags = ::fcntl(fd_, F_GETFL);
  if (flags >= 0) ::fcntl(fd_, F_SETFL, flags | O_NONBLOCK);
}

void LineWriter::Write(LogLevel level, const std::string& line) {
  if (level < threshold_) return;
  if (buffer_.size() + line.size() > kMaxBuffered) {
    ++omitted_;
    ++unreported_;
    return;
  }
  buffer_ += "time_ms=";
  buffer_ += std::to_string(clock_.WallNow().time_since_epoch().count());
  buffer_ += " level=";
  buffer_ += Name(level);
  buffer_ += ' ';
  buffer_ += line;
  if (unreported_ != 0) {
    buffer_ += " omitted_before=" + std::to_string(unreported_);
    unreported_ = 0;
  }
  buffer_ += '\n';
}

std::size_t LineWriter::NextWriteSize() const noexcept {
  if (buffer_.size() <= kMaxWrite) return buffer_.size();
  const std::size_t end = buffer_.rfind('\n', kMaxWrite - 1);
  return end == std::string::npos ? kMaxWrite : end + 1;
}

bool LineWriter::Flush() noexcept {
  while (!buffer_.empty()) {
    const ssize_t written = ::write(fd_, buffer_.data(), NextWriteSize());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return true;
    buffer_.erase(0, static_cast<std::size_t>(written));
  }
  return false;
}

}  // namespace sapphirestream
