// Limits the probes of an unavailable store to one reader at a time.
#ifndef SAPPHIRESTREAM_STORE_PROBE_TURNS_H_
#define SAPPHIRESTREAM_STORE_PROBE_TURNS_H_

#include <algorithm>
#include <deque>

namespace sapphirestream {

// Shared by the readers of one store. They probe it in turns, because the calls
// of one reader may fail for a reason of its own while those of another one
// would succeed.
class ProbeTurns {
 public:
  class Reader {
   public:
    virtual ~Reader() = default;
    // It is this reader's turn to probe the store.
    virtual void OnTurn() = 0;
  };

  // Called before each probe. If the reader had the turn, it has failed, and
  // the turn passes to the next reader that waits. Returns whether it is the
  // reader's turn; otherwise OnTurn is called later.
  [[nodiscard]] bool Request(Reader& reader) {
    if (HasTurn(reader)) {
      readers_.pop_front();
      readers_.push_back(&reader);
      if (!HasTurn(reader)) readers_.front()->OnTurn();
    } else if (std::find(readers_.begin(), readers_.end(), &reader) ==
               readers_.end()) {
      readers_.push_back(&reader);
    }
    return HasTurn(reader);
  }
  // The reader does not probe any more. Does nothing if it did not.
  void Leave(Reader& reader) {
    const bool had_turn = HasTurn(reader);
    std::erase(readers_, &reader);
    if (had_turn && !readers_.empty()) readers_.front()->OnTurn();
  }

 private:
  [[nodiscard]] bool HasTurn(const Reader& reader) const noexcept {
    return !readers_.empty() && readers_.front() == &reader;
  }

  // Readers that find the store unavailable; the first one has the turn.
  std::deque<Reader*> readers_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_PROBE_TURNS_H_
