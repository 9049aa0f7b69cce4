// Transport that returns scripted responses without a network.
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

  // Queues a response to a call. Calls without a queued response fail as if the
  // instance were unreachable.
  void QueueResponse(Delivery delivery, int status = 0, std::string body = {}) {
    responses_.push_back({delivery, status, std::move(body)});
  }
  HttpAnswer Send(const Endpoint& instance, const HttpCall& call,
                  Duration) override {
    sent_.push_back({instance, call});
    if (responses_.empty()) return {};
    HttpAnswer response = std::move(responses_.front());
    responses_.pop_front();
    return response;
  }
  [[nodiscard]] const std::vector<Sent>& sent() const noexcept { return sent_; }

 private:
  std::deque<HttpAnswer> responses_;
  std::vector<Sent> sent_;
};

// Clock that advances only while the client sleeps.
class FakePause final : public SleepClock {
 public:
  [[nodiscard]] TimePoint Now() const noexcept override { return now_; }
  void Sleep(Duration time) override { now_ += time; }

 private:
  TimePoint now_;
};

}  // namespace sapphirestream::testing

#endif  // SAPPHIRESTREAM_TESTING_FAKE_TRANSPORT_H_
