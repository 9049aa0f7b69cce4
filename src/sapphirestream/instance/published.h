// Publication of immutable values from one thread to others.
#ifndef SAPPHIRESTREAM_INSTANCE_PUBLISHED_H_
#define SAPPHIRESTREAM_INSTANCE_PUBLISHED_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <utility>

namespace sapphirestream {

// Holds the newest value. The standard library guards an atomic shared pointer
// with a spin lock, so each reader caches a copy and compares a plain atomic
// generation number to detect a newer value.
template <typename T>
class Published {
 public:
  // Must only be called by one thread.
  void Set(std::shared_ptr<const T> value) {
    value_.store(std::move(value), std::memory_order_release);
    generation_.fetch_add(1, std::memory_order_release);
  }

  // Cached access to the value; one per reading thread.
  class Reader {
   public:
    explicit Reader(const Published& source) : source_(source) {}

    // Returns the newest value, null before the first Set. It stays valid until
    // the next call.
    [[nodiscard]] const T* Get() {
      const std::uint64_t generation =
          source_.generation_.load(std::memory_order_acquire);
      if (generation != seen_) {
        value_ = source_.value_.load(std::memory_order_acquire);
        seen_ = generation;
      }
      return value_.get();
    }

   private:
    const Published& source_;
    std::shared_ptr<const T> value_;
    std::uint64_t seen_ = 0;
  };

 private:
  std::atomic<std::uint64_t> generation_{0};
  std::atomic<std::shared_ptr<const T>> value_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_PUBLISHED_H_
