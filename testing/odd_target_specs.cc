#include "testing/odd_target_specs.h"

namespace sapphirestream::testing {

std::string TargetSpecWith(const std::string& field, const std::string& value) {
  std::string spec;
  const auto add = [&](const std::string& name, const std::string& usual) {
    if (name == field && value.empty()) return;
    spec += (spec.empty() ? "{\"" : ",\"") + name +
            "\":" + (name == field ? value : usual);
  };
  add("Service", R"("desk")");
  add("Address", R"("10.128.0.9:8080")");
  add("Zone", R"("a")");
  add("Version", R"("v1")");
  add("Slots", "2");
  add("State", R"("ready")");
  add("ColdRemainingMs", "0");
  add("Seq", "4");
  add("born", "1787949095014");
  add("Extra", "0");
  return spec + "}";
}

std::string NestedArrays(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

std::vector<std::string> UndecodableTargetSpecs() {
  return {TargetSpecWith("Extra", NestedArrays(40)),
          TargetSpecWith("Extra", NestedArrays(100'000)),
          TargetSpecWith("Service", NestedArrays(40)),
          TargetSpecWith("Service", R"("\udcff")"),
          TargetSpecWith("Service", "\"\xff\xfe\""),
          R"({"\udcff":1,"Service":"desk"})",
          "{\"\xff\":1,\"Service\":\"desk\"}",
          "{\"Service\":\"desk\"\x01}"};
}

std::vector<std::string> ForeignTargetSpecs() {
  const std::vector<const char*> types{"null",        "true", "7",
                                       R"("text")",   "1.5",  "[]",
                                       R"(["text"])", "{}",   R"({"Value":7})"};
  const auto is_text = [](const std::string& value) {
    return value.front() == '"';
  };
  const auto is_number = [](const std::string& value) { return value == "7"; };
  std::vector<std::string> specs;
  const auto add = [&](const std::string& field, const auto& is_own_type) {
    specs.push_back(TargetSpecWith(field, ""));
    for (const char* const value : types) {
      if (!is_own_type(value)) specs.push_back(TargetSpecWith(field, value));
    }
  };
  for (const char* field : {"Service", "Address", "Zone", "Version", "State"}) {
    add(field, is_text);
  }
  for (const char* field : {"Slots", "ColdRemainingMs", "Seq", "born"}) {
    add(field, is_number);
  }
  return specs;
}

std::vector<std::string> OutOfRangeTargetSpecs() {
  std::vector<std::string> specs;
  const auto add = [&](const std::string& field, const std::string& value) {
    specs.push_back(TargetSpecWith(field, value));
  };
  add("Service", "\"" + std::string(300'000, 'x') + "\"");
  add("Service", R"("")");
  add("Zone", R"("")");
  // Numbers that are no whole number of 64 bits, or out of range.
  for (const char* number :
       {"18446744073709551616", "1e400", "1.5", "-1", "\"2\"", "null", "true",
        "99999999999999999999999999999999999999999"}) {
    for (const char* field : {"Slots", "ColdRemainingMs", "Seq", "born"}) {
      add(field, number);
    }
  }
  add("Slots", "0");
  add("Slots", "4294967297");
  add("Slots", "9007199254740992");
  add("ColdRemainingMs", "9300000000000");
  add("ColdRemainingMs", "18446744073709551615");
  add("born", "18446744073709551615");
  // Addresses that name no endpoint.
  for (const char* address :
       {"10.128.0.9:0", "10.128.0.9:65536", "10.128.0.9:70000", "10.128.0.9:-1",
        "10.128.0.9:99999999999999999999", "10.128.0.9:", "10.128.0.9",
        "0.0.0.0:80", "255.255.255.255:80", "224.0.0.1:80", "[::1]:80",
        R"(10.128.0.9\u0000.example:80)"}) {
    add("Address", std::string("\"") + address + "\"");
  }
  return specs;
}

}  // namespace sapphirestream::testing
