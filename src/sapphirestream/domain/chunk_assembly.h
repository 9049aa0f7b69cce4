// Reassembles a configuration body from its chunks.
#ifndef SAPPHIRESTREAM_DOMAIN_CHUNK_ASSEMBLY_H_
#define SAPPHIRESTREAM_DOMAIN_CHUNK_ASSEMBLY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/domain/message.h"

namespace sapphirestream {

class ChunkAssembly {
 public:
  struct Body {
    ConfigVersion base{};
    ConfigVersion version{};
    std::string bytes;
  };

  // Adds a chunk and returns the body once it is complete. A chunk of another
  // body is ignored while the current transfer makes progress; if the current
  // transfer has stalled, the chunk starts a new one.
  std::optional<Body> Add(InstanceId from, ConfigChunk chunk, TimePoint now);
  void Clear() noexcept { count_ = 0; }

  [[nodiscard]] bool is_empty() const noexcept { return count_ == 0; }
  [[nodiscard]] ConfigVersion version() const noexcept { return version_; }
  [[nodiscard]] InstanceId source() const noexcept { return source_; }
  [[nodiscard]] TimePoint last_progress() const noexcept {
    return last_progress_;
  }
  // Returns the indices of the first missing chunks.
  [[nodiscard]] std::vector<std::uint32_t> MissingChunks(
      std::size_t limit) const;

 private:
  InstanceId source_ = kNoInstance;
  ConfigVersion base_{};
  ConfigVersion version_{};
  std::uint32_t count_ = 0;
  std::uint32_t received_ = 0;
  std::vector<std::optional<std::string>> parts_;
  TimePoint last_progress_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_CHUNK_ASSEMBLY_H_
