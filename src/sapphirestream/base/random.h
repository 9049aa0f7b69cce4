// Random number interface, injected so that tests and benchmarks are
// reproducible.
#ifndef SAPPHIRESTREAM_BASE_RANDOM_H_
#define SAPPHIRESTREAM_BASE_RANDOM_H_

#include <cstdint>
#include <random>

namespace sapphirestream {

class Random {
 public:
  virtual ~Random() = default;
  // Returns 64 uniformly distributed bits.
  virtual std::uint64_t Next() = 0;

  // Returns a value in [0, bound). `bound` must not be zero.
  std::uint64_t Below(std::uint64_t bound) { return Next() % bound; }
  // Returns a value in [0, 1).
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }
};

// Pseudorandom generator seeded by the caller.
class SeededRandom final : public Random {
 public:
  explicit SeededRandom(std::uint64_t seed) : engine_(seed) {}
  std::uint64_t Next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_BASE_RANDOM_H_
