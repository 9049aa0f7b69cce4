// Stand-ins for the environment of the load balancer in the demo: the
// platform's object API, the targets, and the fabric with its clients.
#include <exception>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <string_view>

#include "testing/standins/subcommand.h"

int main(int argc, char** argv) {
  namespace standins = sapphirestream::standins;
  using standins::Arguments;
  const std::map<std::string_view, std::function<int(const Arguments&)>>
      subcommands{{"object-api", standins::RunObjectApi},
                  {"target", standins::RunTarget},
                  {"load", standins::RunLoad}};
  const auto it = argc < 2 ? subcommands.end() : subcommands.find(argv[1]);
  if (it == subcommands.end()) {
    std::cerr << "usage: standins object-api|target|load [OPTION...]\n";
    return 2;
  }
  try {
    return it->second(Arguments(argv + 2, argv + argc));
  } catch (const std::exception& error) {
    std::cerr << "standins " << it->first << ": " << error.what() << '\n';
    return 2;
  }
}
