// The tree in a domain along which configurations are sent down and
// confirmations up. Every instance computes it from its own view.
#ifndef SAPPHIRESTREAM_DOMAIN_RELAY_TREE_H_
#define SAPPHIRESTREAM_DOMAIN_RELAY_TREE_H_

#include <vector>

#include "sapphirestream/base/id.h"
#include "sapphirestream/domain/member_view.h"

namespace sapphirestream {

// The position of one instance in the tree.
struct RelayTree {
  // kNoInstance for the root and for instances outside the tree.
  InstanceId parent = kNoInstance;
  std::vector<InstanceId> children;
  bool is_root = false;
  // Whether it is one of the two highest-ranked instances, which watch the
  // store.
  bool is_reader = false;
  // Eligible instances of the own domain.
  std::size_t live = 0;
  // Highest-ranked instance of each other domain with eligible instances.
  std::vector<InstanceId> other_roots;
  std::vector<DomainId> other_domains;

  bool operator==(const RelayTree&) const = default;
};

// Returns the position of `self`. An instance that is not eligible itself
// (still joining, or leaving) has no parent and no children.
[[nodiscard]] RelayTree MakeRelayTree(const MemberView& view, InstanceId self,
                                      DomainId domain);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_RELAY_TREE_H_
