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
  if (waiting_.size() + line.size() > kMaxWaiting) {
    ++omitted_;
    ++unreported_;
    return;
  }
  waiting_ += "time_ms=";
  waiting_ += std::to_string(clock_.WallNow().time_since_epoch().count());
  waiting_ += " level=";
  waiting_ += Name(level);
  waiting_ += ' ';
  waiting_ += line;
  if (unreported_ != 0) {
    waiting_ += " omitted_before=" + std::to_string(unreported_);
    unreported_ = 0;
  }
  waiting_ += '\n';
}

std::size_t LineWriter::NextWrite() const noexcept {
  if (waiting_.size() <= kMaxWrite) return waiting_.size();
  const std::size_t end = waiting_.rfind('\n', kMaxWrite - 1);
  return end == std::string::npos ? kMaxWrite : end + 1;
}

bool LineWriter::Flush() noexcept {
  while (!waiting_.empty()) {
    const ssize_t written = ::write(fd_, waiting_.data(), NextWrite());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return true;
    waiting_.erase(0, static_cast<std::size_t>(written));
  }
  return false;
}

}  // namespace sapphirestream
