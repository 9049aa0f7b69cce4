#include "testing/soak/edge_process.h"

#include <sys/wait.h>

#include <boost/process/env.hpp>
#include <boost/process/handles.hpp>
#include <boost/process/io.hpp>
#include <csignal>
#include <fstream>
#include <system_error>
#include <utility>

#include "platform/edge_platform.h"

namespace sapphirestream::soak {

namespace bp = boost::process;

EdgeProcess::EdgeProcess(EdgeProcessOptions options)
    : options_(std::move(options)) {
  WriteSettings("info");
}

EdgeProcess::~EdgeProcess() { Kill(); }

void EdgeProcess::WriteSettings(const std::string& log_level) const {
  std::ofstream file(options_.folder / (options_.name + ".settings"));
  // Instances reach the store by different addresses, each over its own link.
  file << "name = " << options_.name << "\ndomain = " << options_.domain
       << "\ndata = " << ToString(options_.data)
       << "\nready = " << ToString(options_.ready)
       << "\nmetrics = " << ToString(options_.metrics)
       << "\nstore = " << ToString(options_.store) << "\nstore-id = store"
       << "\npeer = " << ToString(options_.peer)
       << "\nseeds = " << options_.seeds << "\nrules = health,places"
       << "\nevacuation-bound-ms = " << options_.evacuation_bound.count()
       << "\ngrace-s = " << kGraceSeconds << "\nlog-level = " << log_level
       << "\n";
}

void EdgeProcess::Start() {
  const std::string stem =
      options_.name + "." + std::to_string(++starts_) + ".log";
  const std::string log = (options_.folder / stem).string();
  const std::string settings =
      (options_.folder / (options_.name + ".settings")).string();
  bp::environment environment = boost::this_process::environment();
  environment[platform::kSettingsPathVariable] = settings;
  // A socket inherited by the child would keep the address of a crashed target
  // in use.
  child_.emplace(options_.program, environment,
                 (bp::std_out & bp::std_err) > log, bp::std_in < bp::null,
                 bp::limit_handles);
}

void EdgeProcess::Signal(int number) {
  if (is_running()) ::kill(child_->id(), number);
}

void EdgeProcess::Kill() {
  if (!is_running()) return;
  ::kill(child_->id(), SIGKILL);
  std::error_code ignored;  // the process has ended in any case
  child_->wait(ignored);
}

bool EdgeProcess::is_running() {
  std::error_code error;  // set if the child is unknown, i.e. not running
  return child_ && child_->running(error) && !error;
}

int EdgeProcess::status() const {
  const int native = child_->native_exit_code();
  return WIFSIGNALED(native) ? -WTERMSIG(native) : WEXITSTATUS(native);
}

}  // namespace sapphirestream::soak
