// Instances that answer as a test says, without a network.
#ifndef SAPPHIRESTREAM_TESTING_FAKE_TRANSPORT_H_
#define SAPPHIRESTREAM_TESTING_FAKE_TRANSPORT_H_

#include <deque>
#include <utility>
#include <vector>

#include "sapphirestream/client/sleep_clock.h"
#include "sapphirestream/client/transport.h"

namespace sapphirestream::testing {

class FakeTransport final : public Transport {
 public:
  struct Sent {
    Endpoint instance;
    HttpCall call;
  };

  // Queues the answer to the next call; after the last one, instances are
  // unreachable.
  void Then(Delivery delivery, int status = 0, std::string body = {}) {
    answers_.push_back({delivery, status, std::move(body)});
  }
  HttpAnswer Send(const Endpoint& instance, const HttpCall& call,
                  Duration) override {
    sent_.push_back({instance, call});
    if (answers_.empty()) return {};
    HttpAnswer answer = std::move(answers_.front());
    answers_.pop_front();
    return answer;
  }
  [[nodiscard]] const std::vector<Sent>& sent() const noexcept { return sent_; }

 private:
  std::deque<HttpAnswer> answers_;
  std::vector<Sent> sent_;
};

// Time that moves only while the client sleeps.
class FakePause final : public SleepClock {
 public:
  [[nodiscard]] TimePoint Now() const noexcept override { return now_; }
  void Sleep(Duration time) override { now_ += time; }

 private:
  TimePoint now_;
};

}  // namespace sapphirestream::testing

#endif  // SAPPHIRESTREAM_TESTING_FAKE_TRANSPORT_H_
