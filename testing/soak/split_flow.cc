#include "testing/soak/split_flow.h"

#include <algorithm>

namespace sapphirestream::soak {
namespace {

// Whether the process that reset the flow has forwarded this packet.
bool IsFromResettingProcess(const OpeningReceipt& receipt,
                            const FlowReset& reset) {
  return receipt.instance == reset.instance &&
         receipt.sent >= reset.process_started;
}

// Whether the process that handled the packet has ended in a crash.
bool HasCrashed(const OpeningReceipt& receipt, const FindTargetProcess& find) {
  const auto process = find(receipt.target);
  return process &&
         (!process->is_running || process->incarnation != receipt.incarnation);
}

}  // namespace

bool IsResetOfSplitFlow(const FlowReset& reset,
                        const std::vector<OpeningReceipt>& receipts,
                        const FindTargetProcess& find) {
  bool is_named_lost = false;
  for (const OpeningReceipt& receipt : receipts) {
    const bool is_named = receipt.token == reset.token;
    if (receipt.target == reset.holder) {
      if (is_named || IsFromResettingProcess(receipt, reset)) return false;
    } else if (is_named) {
      if (!HasCrashed(receipt, find)) return false;
      is_named_lost = true;
    }
  }
  return is_named_lost;
}

}  // namespace sapphirestream::soak
