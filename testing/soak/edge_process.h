// Runs an instance of the edge program as a child process.
#ifndef SAPPHIRESTREAM_TESTING_SOAK_EDGE_PROCESS_H_
#define SAPPHIRESTREAM_TESTING_SOAK_EDGE_PROCESS_H_

#include <boost/process/child.hpp>
#include <chrono>
#include <filesystem>
#include <optional>
#include <string>

#include "sapphirestream/edge/v4_endpoint.h"

namespace sapphirestream::soak {

struct EdgeProcessOptions {
  std::string program;
  // Directory of the settings file and the logs.
  std::filesystem::path folder;
  std::string name;
  std::string domain;
  V4Endpoint data;
  V4Endpoint ready;
  V4Endpoint metrics;
  V4Endpoint store;
  // For messages between instances.
  V4Endpoint peer;
  std::chrono::milliseconds evacuation_bound{};
  // Addresses of other instances, separated by commas.
  std::string seeds;
};

class EdgeProcess {
 public:
  // Seconds from SIGTERM to the kill.
  static constexpr int kGraceSeconds = 6;

  explicit EdgeProcess(EdgeProcessOptions options);
  // Kills the process if it is running.
  ~EdgeProcess();
  EdgeProcess(const EdgeProcess&) = delete;
  EdgeProcess& operator=(const EdgeProcess&) = delete;

  // Throws boost::process::process_error if the process cannot be started.
  void Start();
  // Writes the settings file. The log level distinguishes its versions.
  void WriteSettings(const std::string& log_level) const;
  void Signal(int number);
  // Kills the process if it is running, and waits for its end.
  void Kill();
  [[nodiscard]] bool is_running();
  // Returns the exit code, or the negated number of the terminating signal.
  [[nodiscard]] int status() const;
  [[nodiscard]] const EdgeProcessOptions& options() const { return options_; }

 private:
  EdgeProcessOptions options_;
  int starts_ = 0;
  std::optional<boost::process::child> child_;
};

}  // namespace sapphirestream::soak

#endif  // SAPPHIRESTREAM_TESTING_SOAK_EDGE_PROCESS_H_
