// In a file of its own, because GCC reports mismatched new and delete if it
// inlines only one of them.
#include "test/target/allocation_count.h"

#include <cstdlib>
#include <new>

namespace {

std::size_t allocations = 0;

}  // namespace

void* operator new(std::size_t size) {
  ++allocations;
  if (void* memory = std::malloc(size)) return memory;
  throw std::bad_alloc();
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t /*size*/) noexcept {
  std::free(memory);
}

namespace sapphirestream::testing {

std::size_t AllocationCount() noexcept { return allocations; }

}  // namespace sapphirestream::testing
