// Guards against a status that operators cannot read although it was written.
#include "sapphirestream/instance/domain_status_store.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "testing/fake_store.h"
#include "testing/virtual_time.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

struct Fixture {
  void RunFor(Duration span) {
    for (Duration done{}; done < span; done += 250ms) {
      status_store.Write(status, time.Now());
      time.RunFor(250ms);
    }
  }
  std::vector<DomainStatus> Read() {
    std::vector<DomainStatus> read;
    const std::array domains{DomainId{1}};
    status_store.Read(domains, [&](std::vector<DomainStatus> statuses) {
      read = std::move(statuses);
    });
    time.RunFor(1s);
    return read;
  }

  testing::VirtualTime time;
  testing::FakeStore store{time};
  DomainStatusStore status_store{store};
  DomainStatus status{.domain = DomainId{1},
                      .version = ConfigVersion{7},
                      .live = 2,
                      .prepared = 2,
                      .active = 2,
                      .lagging = {}};
};

BOOST_FIXTURE_TEST_SUITE(domain_status_store, Fixture)

BOOST_AUTO_TEST_CASE(a_status_lost_by_a_restored_store_is_written_again) {
  RunFor(2s);
  BOOST_REQUIRE(Read().size() == 1U);
  store.Restore({});
  BOOST_TEST(Read().empty());
  RunFor(DomainStatusStore::kRefreshInterval +
         2 * DomainStatusStore::kRetryInterval);
  BOOST_TEST((Read() == std::vector<DomainStatus>{status}));
}

BOOST_AUTO_TEST_CASE(an_unchanged_status_is_rarely_written) {
  RunFor(60s);
  BOOST_TEST(store.calls().puts <= 3U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
