// Soak test: runs instances of the edge program as processes, injects random
// faults, and verifies what clients and targets observe. See docs/soak.md.
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/program_options.hpp>
#include <cstdint>
#include <filesystem>
#include <iostream>
#include <stdexcept>
#include <string>

#include "testing/soak/soak_schedule.h"
#include "testing/soak/soak_world.h"

namespace sapphirestream::soak {
namespace {

namespace po = boost::program_options;
using namespace std::chrono_literals;

enum ExitCode : int { kPassed = 0, kFailed = 1, kBadArguments = 2 };

// After the last fault: time until every request must be answered again, and
// time for which this is verified.
constexpr Duration kRecoveryTime = 7s;
constexpr Duration kVerificationTime = 5s;
// A target loses its entry this long before then.
constexpr Duration kLostEntryLead = 2s;

int RunSeed(SoakOptions options) {
  namespace fs = std::filesystem;
  options.folder = fs::temp_directory_path() /
                   ("sapphire_soak_" + std::to_string(::getpid()) + "_" +
                    std::to_string(options.seed));
  fs::create_directories(options.folder);
  std::cout << "seed " << options.seed << "\n";
  bool has_passed = false;
  {
    SoakWorld world(options);
    world.Start();
    SoakSchedule schedule(world);
    schedule.Start();
    world.RunFor(options.length);
    schedule.EndAllFaults();
    world.Log("all faults have ended");
    schedule.CutOffAnyInstance();
    world.RunFor(SoakSchedule::kQuietCut);
    world.RunFor(kRecoveryTime - kLostEntryLead);
    schedule.LoseAnyEntry();
    world.RunFor(kLostEntryLead);
    world.ExpectAllAnswered();
    schedule.ClaimAddresses();
    schedule.DrainAnyTarget();
    schedule.EvacuateAnyDomain();
    schedule.RemoveReturningRoute();
    schedule.WriteStorm();
    world.RunFor(kVerificationTime);
    schedule.EndEvacuation();
    world.RunFor(kColdStart);
    world.Stop();
    const SoakCounts& counts = world.counts();
    std::cout << "seed " << options.seed << ": flows=" << counts.flows
              << " answered=" << counts.answered
              << " retried=" << counts.retried
              << " given_up=" << counts.given_up
              << " config_checks=" << counts.config_checks
              << " told=" << counts.told_flows << "/" << counts.removed_flows
              << " reused_ports=" << counts.reused_ports
              << " removal_checks=" << counts.removal_checks
              << " evacuation_checks=" << counts.evacuation_checks
              << " cold_flows=" << counts.limited_cold_flows << "/"
              << counts.cold_flows << " unserved=" << counts.unserved
              << " violations=" << world.violations().size() << std::endl;
    has_passed = world.violations().empty();
  }
  if (has_passed) {
    fs::remove_all(options.folder);
  } else {
    std::cout << "instance logs are in " << options.folder << std::endl;
  }
  return has_passed ? kPassed : kFailed;
}

// Reserves a loopback network that no other soak test on this machine uses, for
// as long as the returned socket is open. Throws if none is free.
boost::asio::ip::udp::socket ReserveNetwork(boost::asio::io_context& context,
                                            SoakOptions& options) {
  constexpr std::uint32_t first_net = 10;
  constexpr std::uint32_t last_net = 210;
  constexpr std::uint16_t claim_port = 6999;
  for (std::uint32_t net = first_net; net < last_net; ++net) {
    boost::asio::ip::udp::socket socket(context, boost::asio::ip::udp::v4());
    const boost::asio::ip::address_v4 address(127U << 24U | net << 16U | 1U);
    boost::system::error_code error;
    socket.bind({address, claim_port}, error);
    if (error) continue;
    options.net = static_cast<std::uint8_t>(net);
    return socket;
  }
  throw std::runtime_error("no free loopback network");
}

int Main(int argc, char** argv) {
  SoakOptions options;
  std::uint64_t seeds = 1;
  std::int64_t seconds = 0;
  po::options_description flags("Options");
  flags.add_options()("help", "print this help and exit")(
      "program", po::value(&options.program)->required(),
      "path of the edge program")(
      "seed", po::value(&options.seed)->default_value(1), "first seed")(
      "seeds", po::value(&seeds)->default_value(1), "number of seeds")(
      "seconds", po::value(&seconds)->default_value(10),
      "seconds with faults per seed")(
      "instances", po::value(&options.instances)->default_value(4),
      "number of instances");
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, flags), values);
  if (values.count("help") != 0) {
    std::cout << flags;
    return kPassed;
  }
  po::notify(values);
  options.length = std::chrono::seconds(seconds);
  boost::asio::io_context context;
  const auto reservation = ReserveNetwork(context, options);
  int result = kPassed;
  for (std::uint64_t i = 0; i < seeds; ++i, ++options.seed) {
    if (RunSeed(options) != kPassed) result = kFailed;
  }
  return result;
}

}  // namespace
}  // namespace sapphirestream::soak

int main(int argc, char** argv) {
  try {
    return sapphirestream::soak::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << "\n";
    return 2;
  }
}
