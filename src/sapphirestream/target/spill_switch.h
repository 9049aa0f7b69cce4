// Decides whether new flows of a domain may be placed in other domains.
#ifndef SAPPHIRESTREAM_TARGET_SPILL_SWITCH_H_
#define SAPPHIRESTREAM_TARGET_SPILL_SWITCH_H_

namespace sapphirestream {

// Uses hysteresis, so that the decision does not change with every flow near
// the threshold.
class SpillSwitch {
 public:
  // Spilling starts at `start` or above and ends at `stop` or below; requires
  // start >= stop.
  bool Update(double load, double start, double stop) noexcept {
    if (load >= start) {
      spilling_ = true;
    } else if (load <= stop) {
      spilling_ = false;
    }
    return spilling_;
  }
  [[nodiscard]] bool spilling() const noexcept { return spilling_; }

 private:
  bool spilling_ = false;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TARGET_SPILL_SWITCH_H_
