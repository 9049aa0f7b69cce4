// Counters and gauges for metrics. Writers use relaxed atomics; a reader gets
// an exact value of each counter, but no consistent snapshot of all of them.
#ifndef SAPPHIRESTREAM_BASE_COUNTER_H_
#define SAPPHIRESTREAM_BASE_COUNTER_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sapphirestream {

// A monotonic counter, updated by Add(), or a gauge, updated by Set().
class Counter {
 public:
  void Add(std::uint64_t n = 1) noexcept {
    value_.fetch_add(n, std::memory_order_relaxed);
  }
  void Set(std::uint64_t n) noexcept {
    value_.store(n, std::memory_order_relaxed);
  }
  [[nodiscard]] std::uint64_t value() const noexcept {
    return value_.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<std::uint64_t> value_{0};
};

// Owns counters by name. Not thread-safe: all counters have to be created
// before the traffic threads start. References stay valid for the lifetime of
// the set.
class CounterSet {
 public:
  // Returns the counter with that name, creating it at zero if needed. The name
  // follows Prometheus, labels included: `packets_total{kind="forward"}`.
  [[nodiscard]] Counter& Emplace(std::string_view name) {
    auto [it, is_new] = by_name_.try_emplace(std::string(name), nullptr);
    if (is_new) {
      it->second = &counters_.emplace_back();
      names_.emplace_back(it->first);
    }
    return *it->second;
  }

  // Returns names and values in the order of creation.
  [[nodiscard]] std::vector<std::pair<std::string, std::uint64_t>> Read()
      const {
    std::vector<std::pair<std::string, std::uint64_t>> out;
    out.reserve(names_.size());
    for (const std::string& name : names_) {
      out.emplace_back(name, by_name_.at(name)->value());
    }
    return out;
  }

  [[nodiscard]] std::size_t size() const noexcept { return names_.size(); }

 private:
  // A deque keeps references valid while it grows.
  std::deque<Counter> counters_;
  std::unordered_map<std::string, Counter*> by_name_;
  std::vector<std::string> names_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_BASE_COUNTER_H_
