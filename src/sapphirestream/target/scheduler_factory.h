// Factory of the placers that schedulers use.
#ifndef SAPPHIRESTREAM_TARGET_SCHEDULER_FACTORY_H_
#define SAPPHIRESTREAM_TARGET_SCHEDULER_FACTORY_H_

#include <memory>

#include "sapphirestream/target/placer.h"

namespace sapphirestream {

class SchedulerFactory final : public PlacerFactory {
 public:
  [[nodiscard]] std::unique_ptr<Placer> Make(const Service& service,
                                             const Preset& preset,
                                             DomainId own_domain) override;
  // `placer` must have been created by Make.
  void Update(Placer& placer, const Service& service,
              const Preset& preset) override;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TARGET_SCHEDULER_FACTORY_H_
