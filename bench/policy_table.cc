// Prints a table of the outcome of flows and requests under each event, for the
// product and for baseline policies. Runs in virtual time with fixed seeds, so
// the same arguments always print the same table.
//
//   policy_table [--site=rubikon|palco] [--event=N] [--product]
//                [--sizes [--instances=N]]
#include <cstdio>
#include <cstdlib>
#include <future>
#include <string>
#include <string_view>
#include <vector>

#include "bench/policy_table/scenario.h"

namespace sapphirestream::fleet {
namespace {

// Number of scenarios that run in parallel; each needs about 100 MB.
constexpr std::size_t kParallelScenarios = 8;

constexpr std::string_view kPolicyNames[] = {"hash", "hash+local", "2ch+local",
                                             "2ch+replic"};

std::string_view NameOf(const Scenario& scenario) {
  if (!scenario.policy) return "product";
  return kPolicyNames[static_cast<std::size_t>(*scenario.policy)];
}

Scenario MakeScenario(std::string_view site) {
  Scenario scenario;
  scenario.site = site;
  if (site == "palco") {
    scenario.load_share_permille = 200;
    scenario.delay_between = std::chrono::microseconds(3500);
    scenario.client_delay = std::chrono::milliseconds(1);
  }
  return scenario;
}

void PrintHeader() {
  std::printf(
      "%-8s %-32s %-10s %4s %6s %6s %6s %5s %6s %6s %6s %6s %6s %6s "
      "%7s %8s %7s %6s\n",
      "site", "event", "policy", "inst", "broken", "silent", "stall", "dbl",
      "falseN", "refus", "unansw", "late", "open", "busy", "p99wait", "records",
      "B/s/ins", "redir%");
}

void Print(const Scenario& scenario, const Outcome& outcome) {
  const TrafficResult& t = outcome.traffic;
  const std::uint64_t unanswered =
      t.requests - t.requests_answered - t.requests_refused;
  std::printf(
      "%-8s %-32s %-10s %4zu %6lu %6lu %6lu %5lu %6lu %6lu %6lu %6lu %6.3f "
      "%6.2f %7.2f %8zu %7.0f %6.2f\n",
      scenario.site.data(),
      kEventNames[static_cast<std::size_t>(scenario.event)].data(),
      NameOf(scenario).data(), scenario.instances, t.broken(),
      t.reset_as_silent, t.stalled, t.requests_doubled, t.false_not_run,
      t.requests_refused, unanswered, t.late_on_drained, outcome.open_imbalance,
      outcome.busy_imbalance, t.WaitAt(99), outcome.records,
      outcome.control_bytes_per_second,
      100.0 * static_cast<double>(t.redirects) /
          static_cast<double>(t.packets));
}

void RunAll(const std::vector<Scenario>& scenarios) {
  PrintHeader();
  for (std::size_t i = 0; i < scenarios.size(); i += kParallelScenarios) {
    std::vector<std::future<Outcome>> running;
    const std::size_t end = std::min(scenarios.size(), i + kParallelScenarios);
    for (std::size_t k = i; k < end; ++k) {
      running.push_back(
          std::async(std::launch::async, RunScenario, std::cref(scenarios[k])));
    }
    for (std::size_t k = i; k < end; ++k) {
      Print(scenarios[k], running[k - i].get());
      std::fflush(stdout);
    }
  }
}

// Returns scenarios of a steady state with 2,000 new flows per second and
// instance.
std::vector<Scenario> SizeScenarios(std::string_view site,
                                    std::size_t only_instances) {
  std::vector<Scenario> scenarios;
  for (const std::size_t instances : {3, 6, 9, 18}) {
    if (only_instances != 0 && instances != only_instances) continue;
    Scenario scenario = MakeScenario(site);
    scenario.instances = instances;
    scenario.short_flows_per_second = 2000.0 * static_cast<double>(instances);
    scenario.load_share_permille = 10;
    scenarios.push_back(scenario);
  }
  return scenarios;
}

std::vector<Scenario> EventScenarios(std::string_view site, int only_event,
                                     bool only_product) {
  std::vector<Scenario> scenarios;
  for (std::size_t e = 0; e < kEventNames.size(); ++e) {
    if (only_event >= 0 && e != static_cast<std::size_t>(only_event)) continue;
    Scenario scenario = MakeScenario(site);
    scenario.event = static_cast<Event>(e);
    if (!only_product) {
      for (const Policy policy :
           {Policy::kHash, Policy::kHashLocal, Policy::kTwoChoicesLocal,
            Policy::kTwoChoicesReplicated}) {
        scenario.policy = policy;
        scenarios.push_back(scenario);
      }
      scenario.policy.reset();
    }
    scenarios.push_back(scenario);
    if (scenario.event == Event::kNone) {
      scenario.load = 0.6;
      scenarios.push_back(scenario);
    }
  }
  return scenarios;
}

}  // namespace
}  // namespace sapphirestream::fleet

int main(int argc, char** argv) {
  using sapphirestream::fleet::EventScenarios;
  using sapphirestream::fleet::RunAll;
  using sapphirestream::fleet::SizeScenarios;
  std::vector<std::string> sites{"rubikon", "palco"};
  int event = -1;
  bool only_product = false;
  bool sizes = false;
  std::size_t instances = 0;
  for (int i = 1; i < argc; ++i) {
    const std::string_view argument = argv[i];
    if (argument.starts_with("--site=")) {
      sites = {std::string(argument.substr(7))};
    } else if (argument.starts_with("--event=")) {
      event = std::atoi(argument.substr(8).data());
    } else if (argument.starts_with("--instances=")) {
      instances = std::strtoul(argument.substr(12).data(), nullptr, 10);
    } else if (argument == "--product") {
      only_product = true;
    } else if (argument == "--sizes") {
      sizes = true;
    } else {
      std::fprintf(stderr, "unknown argument %s\n", argv[i]);
      return 2;
    }
  }
  for (const std::string& site : sites) {
    RunAll(sizes ? SizeScenarios(site, instances)
                 : EventScenarios(site, event, only_product));
  }
  return 0;
}
