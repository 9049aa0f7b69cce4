// Counts the calls of operator new in this test program.
#ifndef SAPPHIRESTREAM_TEST_TARGET_ALLOCATION_COUNT_H_
#define SAPPHIRESTREAM_TEST_TARGET_ALLOCATION_COUNT_H_

#include <cstddef>

namespace sapphirestream::testing {

[[nodiscard]] std::size_t AllocationCount() noexcept;

}  // namespace sapphirestream::testing

#endif  // SAPPHIRESTREAM_TEST_TARGET_ALLOCATION_COUNT_H_
