#include "sapphirestream/target/scheduler_factory.h"

#include "sapphirestream/target/least_load_placer.h"

namespace sapphirestream {

std::unique_ptr<Placer> SchedulerFactory::Make(const Service& service,
                                               const Preset& preset,
                                               DomainId own_domain) {
  return std::make_unique<LeastLoadPlacer>(service, preset, own_domain);
}

void SchedulerFactory::Update(Placer& placer, const Service& service,
                              const Preset& preset) {
  static_cast<LeastLoadPlacer&>(placer).Update(service, preset);
}

}  // namespace sapphirestream
