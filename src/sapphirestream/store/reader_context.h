// What the readers of one store share.
#ifndef SAPPHIRESTREAM_STORE_READER_CONTEXT_H_
#define SAPPHIRESTREAM_STORE_READER_CONTEXT_H_

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/store/probe_turns.h"
#include "sapphirestream/store/revision_clock.h"
#include "sapphirestream/store/timer.h"

namespace sapphirestream {

// The references must outlive the readers.
struct ReaderContext {
  Timer& timer;
  const Clock& clock;
  Random& random;
  ProbeTurns& probe_turns;
  RevisionClock& revision_clock;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_READER_CONTEXT_H_
