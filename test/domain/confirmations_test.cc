// Guards against confirmation counts that stay wrong after a member joined or
// left.
#include "sapphirestream/domain/confirmations.h"

#include <boost/test/unit_test.hpp>
#include <variant>

namespace sapphirestream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class CountingSink final : public DomainSink {
 public:
  void Send(InstanceId /*to*/, const DomainMessage& message) override {
    if (std::holds_alternative<ConfigConfirm>(message)) ++counts;
  }

  int counts = 0;
};

RelayTree MakeLeaf(InstanceId parent) {
  RelayTree tree;
  tree.parent = parent;
  tree.live = 2;
  return tree;
}

BOOST_AUTO_TEST_SUITE(confirmations)

// A new parent that does not have the new tree yet ignores the first count. If
// the count was not resent, the status stayed at 2 of 3 instances.
BOOST_AUTO_TEST_CASE(count_is_resent_to_a_new_parent) {
  CountingSink sink;
  Confirmations leaf(DomainId{1}, sink);
  TimePoint now{seconds(1000)};
  leaf.SetTree(MakeLeaf(InstanceId{2}));
  leaf.SetOwnVersions(ConfigVersion{7}, ConfigVersion{7}, now);
  leaf.OnConfirm(InstanceId{2}, {ConfigVersion{7}, DomainId{1}, 2, 0, 2, {}},
                 now);
  now += seconds(60);
  leaf.OnTimer(now);
  sink.counts = 0;
  leaf.SetTree(MakeLeaf(InstanceId{3}));
  for (int i = 0; i < 600; ++i) {
    now += milliseconds(100);
    leaf.OnTimer(now);
  }
  BOOST_TEST(sink.counts > 3);
  BOOST_TEST(sink.counts < 20);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
