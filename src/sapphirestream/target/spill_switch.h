// Decides when a domain's new flows go to other domains.
#ifndef SAPPHIRESTREAM_TARGET_SPILL_SWITCH_H_
#define SAPPHIRESTREAM_TARGET_SPILL_SWITCH_H_

namespace sapphirestream {

// Hysteresis keeps the switch from changing with every flow near the threshold.
class SpillSwitch {
 public:
  // Spilling begins at `start` and ends at `stop` or below; start >= stop.
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
