// An eventfd that traffic threads use to wake the control thread.
#ifndef SAPPHIRESTREAM_INSTANCE_WAKEUP_H_
#define SAPPHIRESTREAM_INSTANCE_WAKEUP_H_

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>

#include "sapphirestream/base/file_descriptor.h"

namespace sapphirestream {

class Wakeup {
 public:
  Wakeup() : fd_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

  [[nodiscard]] int fd() const noexcept { return fd_.get(); }
  // Makes the descriptor readable. Thread-safe.
  void Notify() const noexcept {
    const std::uint64_t one = 1;
    // Fails only if the counter is at its maximum, and then the descriptor is
    // already readable.
    (void)!::write(fd_.get(), &one, sizeof(one));
  }
  // Clears the readable state until the next Notify.
  void Reset() const noexcept {
    std::uint64_t count = 0;
    (void)!::read(fd_.get(), &count, sizeof(count));
  }

 private:
  FileDescriptor fd_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_WAKEUP_H_
