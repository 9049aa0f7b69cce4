// Plays a script of operators that change a configuration through a failing
// store, and records the outcomes.
#include <memory>
#include <set>
#include <sstream>
#include <stdexcept>

#include "sapphirestream/contract/find.h"
#include "test/session/script.h"
#include "test/store/session.h"

namespace sapphirestream::session {
namespace {

class StorePlayer {
 public:
  explicit StorePlayer(const Script& script) : script_(script) {
    session_.SetUp();
    start_ = session_.time.Now();
  }

  Outcome Play() {
    for (const Step& step : script_.steps) {
      session_.time.After(step.at, [this, &step] { Run(step); });
    }
    session_.time.RunFor(script_.end);
    const auto after = session_.Load();
    record_ << "end version=" << Value(after->version)
            << " preset=" << after->preset
            << " targets=" << after->services.at(0).targets.size() << '\n';
    CheckAccepted(*after);
    return {record_.str(), std::move(violations_)};
  }

 private:
  void Run(const Step& step) {
    const Arguments& arguments = step.arguments;
    Line(step.verb) << step.text << '\n';
    if (step.verb == "outage") {
      session_.store.set_outage(arguments.Number("on") == 1);
    } else if (step.verb == "lose_answer") {
      session_.store.LoseNextResponse(std::string(kHeadName),
                                      testing::LostWrite::kTakesEffect);
    } else if (step.verb == "submit") {
      Submit(arguments.Text("id"), arguments);
    } else {
      throw std::runtime_error("unknown event " + step.verb);
    }
  }

  void Submit(const std::string& id, const Arguments& arguments) {
    // Each operator uses its own instance, which has its own writer.
    std::unique_ptr<ConfigWriter>& writer =
        writers_[arguments.Text("operator")];
    if (writer == nullptr) writer = session_.MakeWriter();
    writer->Submit(sample::MakeChange(id, {OperationFrom(arguments)}),
                   [this, id](const ChangeOutcome& o) { OnDone(id, o); });
  }

  static Operation OperationFrom(const Arguments& arguments) {
    const std::string op = arguments.Text("op");
    if (op == "switch_preset") return SwitchPreset{arguments.Text("preset")};
    const auto n = static_cast<std::uint8_t>(arguments.Number("target"));
    if (op == "add_target") return sample::Add(n);
    if (op == "drain_target") return DrainTarget{"orders", sample::Tunnel(n)};
    throw std::runtime_error("unknown operation " + op);
  }

  void OnDone(const std::string& id, const ChangeOutcome& outcome) {
    Line("outcome") << " id=" << id
                    << " error=" << AnswerFor(outcome.error.kind).name
                    << " version=" << Value(outcome.version)
                    << " already_applied=" << outcome.already_applied << '\n';
    if (outcome.error.kind == ErrorKind::kNone) {
      accepted_.insert(id);
      if (!outcome.already_applied &&
          !versions_.insert(outcome.version).second) {
        violations_.push_back(id + " got the same version as another change");
      }
    } else if (outcome.error.kind != ErrorKind::kOutcomeUnknown) {
      rejected_.insert(id);
    }
  }

  // Checks that each accepted change is in force exactly once and that no
  // rejected change is.
  void CheckAccepted(const Configuration& after) {
    for (const std::string& id : accepted_) {
      if (FindChange(after, id) == nullptr) {
        violations_.push_back(id + " was accepted but is not in force");
      }
    }
    for (const std::string& id : rejected_) {
      if (!accepted_.contains(id) && FindChange(after, id) != nullptr) {
        violations_.push_back(id + " was rejected but is in force");
      }
    }
    std::set<std::string> ids;
    for (const ChangeRecord& change : after.recent_changes) {
      if (!ids.insert(change.id).second) {
        violations_.push_back(change.id + " was applied twice");
      }
    }
  }

  std::ostream& Line(const std::string& event) {
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(
        session_.time.Now() - start_);
    return record_ << "t=" << since.count() << " event=" << event;
  }

  const Script& script_;
  Session session_;
  TimePoint start_;
  std::map<std::string, std::unique_ptr<ConfigWriter>> writers_;
  std::set<std::string> accepted_;
  std::set<std::string> rejected_;
  std::set<ConfigVersion> versions_;
  std::ostringstream record_;
  std::vector<std::string> violations_;
};

}  // namespace

Outcome PlayStore(const Script& script) { return StorePlayer(script).Play(); }

}  // namespace sapphirestream::session
