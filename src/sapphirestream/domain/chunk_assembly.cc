#include "sapphirestream/domain/chunk_assembly.h"

#include <utility>

namespace sapphirestream {
namespace {

// Limits the memory that a single message can reserve to about 78 MB of body.
constexpr std::uint32_t kMaxChunks = 1U << 16;
// A transfer without a new chunk for this long may be replaced by another one.
constexpr Duration kStallTime = std::chrono::seconds(2);

}  // namespace

std::optional<ChunkAssembly::Body> ChunkAssembly::Add(InstanceId from,
                                                      ConfigChunk chunk,
                                                      TimePoint now) {
  if (chunk.count == 0 || chunk.count > kMaxChunks) return std::nullopt;
  if (chunk.index >= chunk.count) return std::nullopt;
  const bool is_same =
      count_ == chunk.count && version_ == chunk.version && base_ == chunk.base;
  if (!is_same) {
    if (!is_empty() && now - last_progress_ < kStallTime) return std::nullopt;
    base_ = chunk.base;
    version_ = chunk.version;
    count_ = chunk.count;
    received_ = 0;
    parts_.assign(count_, std::nullopt);
  }
  if (parts_[chunk.index].has_value()) return std::nullopt;
  source_ = from;
  last_progress_ = now;
  parts_[chunk.index] = std::move(chunk.body);
  if (++received_ < count_) return std::nullopt;
  Body body{base_, version_, {}};
  for (const auto& part : parts_) body.bytes += *part;
  parts_.clear();
  Clear();
  return body;
}

std::vector<std::uint32_t> ChunkAssembly::MissingChunks(
    std::size_t limit) const {
  std::vector<std::uint32_t> missing;
  for (std::uint32_t i = 0; i < count_ && missing.size() < limit; ++i) {
    if (!parts_[i].has_value()) missing.push_back(i);
  }
  return missing;
}

}  // namespace sapphirestream
