// Publication of immutable values from one thread to others.
#ifndef SAPPHIRESTREAM_INSTANCE_PUBLISHED_H_
#define SAPPHIRESTREAM_INSTANCE_PUBLISHED_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <utility>

namespace sapphirestream {

// Holds the newest value. The standard library guards an atomic shared pointer
// with a spin lock, so readers keep their copy and look at a plain atomic
// number to learn whether it is out of date.
template <typename T>
class Published {
 public:
  // Called by one thread.
  void Set(std::shared_ptr<const T> value) {
    value_.store(std::move(value), std::memory_order_release);
    generation_.fetch_add(1, std::memory_order_release);
  }

  // One thread's view of the value.
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
