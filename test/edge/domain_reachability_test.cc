// Guards against flows that are moved from target to target of a failure domain
// that is cut off, and against a domain given up because of single targets.
#include "sapphirestream/edge/domain_reachability.h"

#include <boost/test/unit_test.hpp>

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

struct Fixture {
  void Fail(std::uint64_t target) {
    domains.OnUnreachable("b", TargetKey{target}, now);
  }
  bool IsCutOff() { return domains.IsCutOff("b", now); }

  TimePoint now = TimePoint{} + 100s;
  DomainReachability domains;
};

BOOST_FIXTURE_TEST_SUITE(domain_reachability, Fixture)

BOOST_AUTO_TEST_CASE(several_unreachable_targets_show_a_partition) {
  Fail(1);
  Fail(2);
  Fail(2);
  BOOST_TEST(!IsCutOff());
  Fail(3);
  BOOST_TEST(IsCutOff());
  BOOST_TEST(!domains.IsCutOff("c", now));
}

BOOST_AUTO_TEST_CASE(one_answer_refutes_it) {
  for (std::uint64_t target : {1, 2, 3}) Fail(target);
  now += 10ms;
  domains.OnAnswer("b", now);
  BOOST_TEST(!IsCutOff());
}

// Probes end in any order.
BOOST_AUTO_TEST_CASE(a_probe_from_before_the_last_answer_does_not_count) {
  Fail(1);
  Fail(2);
  domains.OnAnswer("b", now + 10ms);
  Fail(3);
  BOOST_TEST(!IsCutOff());
}

BOOST_AUTO_TEST_CASE(evidence_expires) {
  for (std::uint64_t target : {1, 2, 3}) Fail(target);
  now += DomainReachability::kMaxEvidenceAge + 1ms;
  BOOST_TEST(!IsCutOff());
  Fail(4);
  BOOST_TEST(!IsCutOff());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
