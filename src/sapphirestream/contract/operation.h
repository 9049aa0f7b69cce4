// The operations that a change consists of. Services are identified by name,
// and targets by service and tunnel endpoint.
#ifndef SAPPHIRESTREAM_CONTRACT_OPERATION_H_
#define SAPPHIRESTREAM_CONTRACT_OPERATION_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/contract/preset.h"
#include "sapphirestream/contract/service.h"

namespace sapphirestream {

struct CreateService {
  std::string name;
  ServiceId id{};
  Endpoint address;
  FlowKind kind = FlowKind::kStream;
  bool idempotent = true;
  bool operator==(const CreateService&) const = default;
};

// Also deletes the announcements of the service. Fails with kOutOfRange if the
// service has targets that are not removed.
struct DeleteService {
  std::string service;
  bool operator==(const DeleteService&) const = default;
};

struct AddTarget {
  std::string service;
  Endpoint tunnel;
  DomainId domain{};
  std::uint32_t slots = 2;
  std::uint32_t max_connections = 2000;
  std::uint32_t weight = 100;
  bool operator==(const AddTarget&) const = default;
};

struct DrainTarget {
  std::string service;
  Endpoint tunnel;
  bool operator==(const DrainTarget&) const = default;
};

// Removes the target from the lookup table and hides it from operators. It
// stays in the configuration for kMaxFlowLifetime (see Target::removed).
struct RemoveTarget {
  std::string service;
  Endpoint tunnel;
  bool operator==(const RemoveTarget&) const = default;
};

// Creates or replaces a preset.
struct PutPreset {
  Preset preset;
  bool operator==(const PutPreset&) const = default;
};

// Fails with kOutOfRange if the preset is in force.
struct DeletePreset {
  std::string preset;
  bool operator==(const DeletePreset&) const = default;
};

struct SwitchPreset {
  std::string preset;
  bool operator==(const SwitchPreset&) const = default;
};

// Creates or replaces an announcement.
struct PutAnnouncement {
  std::string name;
  std::string service;
  WallTime from;
  WallTime until;
  std::string text;
  bool operator==(const PutAnnouncement&) const = default;
};

struct DeleteAnnouncement {
  std::string announcement;
  bool operator==(const DeleteAnnouncement&) const = default;
};

struct SetDomains {
  // Sorted and unique after parsing.
  std::vector<DomainId> domains;
  bool operator==(const SetDomains&) const = default;
};

using Operation =
    std::variant<CreateService, DeleteService, AddTarget, DrainTarget,
                 RemoveTarget, PutPreset, DeletePreset, SwitchPreset,
                 PutAnnouncement, DeleteAnnouncement, SetDomains>;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_OPERATION_H_
