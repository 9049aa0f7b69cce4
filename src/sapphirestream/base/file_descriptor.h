// RAII owner of a file descriptor.
#ifndef SAPPHIRESTREAM_BASE_FILE_DESCRIPTOR_H_
#define SAPPHIRESTREAM_BASE_FILE_DESCRIPTOR_H_

#include <unistd.h>

#include <utility>

namespace sapphirestream {

class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int fd) noexcept : fd_(fd) {}
  FileDescriptor(FileDescriptor&& other) noexcept
      : fd_(std::exchange(other.fd_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  ~FileDescriptor() {
    if (fd_ >= 0) ::close(fd_);
  }

  [[nodiscard]] int get() const noexcept { return fd_; }
  [[nodiscard]] bool is_open() const noexcept { return fd_ >= 0; }
  // Returns the descriptor and releases ownership without closing it.
  [[nodiscard]] int Release() noexcept { return std::exchange(fd_, -1); }

 private:
  int fd_ = -1;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_BASE_FILE_DESCRIPTOR_H_
