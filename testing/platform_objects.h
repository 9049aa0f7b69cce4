// Sample responses of the users' platform for tests and benchmarks.
#ifndef SAPPHIRESTREAM_TESTING_PLATFORM_OBJECTS_H_
#define SAPPHIRESTREAM_TESTING_PLATFORM_OBJECTS_H_

#include <cstdint>
#include <string>

namespace sapphirestream::testing {

// Returns a list response with the entries of `count` targets.
inline std::string MakeTargetList(std::uint32_t count) {
  constexpr std::uint32_t first_id = 1'000'000'000;
  std::string body = R"({"items":[)";
  for (std::uint32_t i = 0; i < count; ++i) {
    if (i != 0) body += ',';
    body += R"({"meta":{"Name":"i-)";
    body += std::to_string(first_id + i);
    body += R"(","Revision":12,"CreateRevision":3,"Finalizers":[],)"
            R"("Deleting":false},"spec":{"Service":"desk","Address":)"
            R"("10.128.0.9:8080","Zone":"domain-1","Version":"v1","Slots":2,)"
            R"("State":"ready","ColdRemainingMs":0,"Seq":4,)"
            R"("born":1787949095014},"status":null})";
  }
  return body + R"(],"Truncated":false,"CurrentRev":530})";
}

}  // namespace sapphirestream::testing

#endif  // SAPPHIRESTREAM_TESTING_PLATFORM_OBJECTS_H_
