// Limits the probes of an unavailable store to one reader at a time.
#ifndef SAPPHIRESTREAM_STORE_PROBE_LOCK_H_
#define SAPPHIRESTREAM_STORE_PROBE_LOCK_H_

namespace sapphirestream {

// Shared by the readers of one store, so that only one of them probes it while
// it is unavailable. The others wait for CollectionReader::RetryNow.
class ProbeLock {
 public:
  // Returns whether `reader` holds the lock.
  [[nodiscard]] bool TryAcquire(const void* reader) noexcept {
    if (holder_ == nullptr) holder_ = reader;
    return holder_ == reader;
  }
  // Does nothing if another reader holds the lock.
  void Release(const void* reader) noexcept {
    if (holder_ == reader) holder_ = nullptr;
  }

 private:
  // The reader that probes; null if there is none.
  const void* holder_ = nullptr;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_PROBE_LOCK_H_
