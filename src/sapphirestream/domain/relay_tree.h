// The tree in a domain along which configurations go down and confirmations go
// up. Every instance computes it from its own view.
#ifndef SAPPHIRESTREAM_DOMAIN_RELAY_TREE_H_
#define SAPPHIRESTREAM_DOMAIN_RELAY_TREE_H_

#include <vector>

#include "sapphirestream/base/id.h"
#include "sapphirestream/domain/member_view.h"

namespace sapphirestream {

// The place of one instance in the tree.
struct RelayTree {
  // kNoInstance at the root and outside the tree.
  InstanceId parent = kNoInstance;
  std::vector<InstanceId> children;
  bool is_root = false;
  // Among the first two in rank, who watch the store.
  bool is_reader = false;
  // Eligible instances of the own domain.
  std::size_t live = 0;
  // First in rank of each other domain with eligible instances.
  std::vector<InstanceId> other_roots;
  std::vector<DomainId> other_domains;

  bool operator==(const RelayTree&) const = default;
};

// Returns the place of `self`. An instance that is not eligible itself (still
// joining, or leaving) has no place and no children.
[[nodiscard]] RelayTree MakeRelayTree(const MemberView& view, InstanceId self,
                                      DomainId domain);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_RELAY_TREE_H_
