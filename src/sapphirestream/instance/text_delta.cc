// Deltas between two JSON texts.
//
// Format: an 8-byte hash of the base, an 8-byte hash of the result, then a
// sequence of steps. A copy step is varint n * 2 and varint offset, and copies
// n bytes of the base from that offset. A literal step is varint n * 2 + 1,
// followed by n literal bytes.
#include "sapphirestream/instance/text_delta.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "sapphirestream/base/hash.h"

namespace sapphirestream {
namespace {

constexpr std::size_t kHashSize = 8;
// Shorter pieces are smaller as literal text than as a copy step.
constexpr std::size_t kMinPieceSize = 12;

std::uint64_t HashText(std::string_view text) {
  return HashBytes(text.data(), text.size(), 0);
}

void AppendHash(std::uint64_t hash, std::string& out) {
  for (std::size_t i = 0; i < kHashSize; ++i) {
    out += static_cast<char>(hash >> (8 * i));
  }
}

void AppendVarint(std::uint64_t value, std::string& out) {
  while (value >= 0x80) {
    out += static_cast<char>((value & 0x7f) | 0x80);
    value >>= 7;
  }
  out += static_cast<char>(value);
}

bool ReadHash(std::string_view& in, std::uint64_t& hash) {
  if (in.size() < kHashSize) return false;
  hash = 0;
  for (std::size_t i = 0; i < kHashSize; ++i) {
    hash |= std::uint64_t{static_cast<unsigned char>(in[i])} << (8 * i);
  }
  in.remove_prefix(kHashSize);
  return true;
}

bool ReadVarint(std::string_view& in, std::uint64_t& value) {
  value = 0;
  for (unsigned shift = 0; shift < 56 && !in.empty(); shift += 7) {
    const auto byte = static_cast<unsigned char>(in.front());
    in.remove_prefix(1);
    value |= std::uint64_t{byte & 0x7fU} << shift;
    if ((byte & 0x80) == 0) return true;
  }
  return false;
}

std::vector<std::string_view> SplitIntoPieces(std::string_view text) {
  std::vector<std::string_view> pieces;
  std::size_t begin = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool is_end = text[i] == '}' && i + 1 - begin >= kMinPieceSize;
    if (!is_end && i + 1 != text.size()) continue;
    pieces.push_back(text.substr(begin, i + 1 - begin));
    begin = i + 1;
  }
  return pieces;
}

// Encodes steps and merges adjacent ones.
class StepWriter {
 public:
  explicit StepWriter(std::string& out) : out_(out) {}

  void Copy(std::size_t offset, std::size_t size) {
    FlushLiteral();
    if (copy_size_ != 0 && copy_offset_ + copy_size_ == offset) {
      copy_size_ += size;
      return;
    }
    FlushCopy();
    copy_offset_ = offset;
    copy_size_ = size;
  }
  void Literal(std::string_view text) {
    FlushCopy();
    literal_ += text;
  }
  void Finish() {
    FlushCopy();
    FlushLiteral();
  }

 private:
  void FlushCopy() {
    if (copy_size_ == 0) return;
    AppendVarint(copy_size_ * 2, out_);
    AppendVarint(copy_offset_, out_);
    copy_size_ = 0;
  }
  void FlushLiteral() {
    if (literal_.empty()) return;
    AppendVarint(literal_.size() * 2 + 1, out_);
    out_ += literal_;
    literal_.clear();
  }

  std::string& out_;
  std::size_t copy_offset_ = 0;
  std::size_t copy_size_ = 0;
  std::string literal_;
};

}  // namespace

std::string TextDelta::Diff(std::string_view base,
                            std::string_view next) const {
  std::string delta;
  AppendHash(HashText(base), delta);
  AppendHash(HashText(next), delta);
  std::unordered_map<std::string_view, std::size_t> offsets;
  for (const std::string_view piece : SplitIntoPieces(base)) {
    offsets.try_emplace(piece,
                        static_cast<std::size_t>(piece.data() - base.data()));
  }
  StepWriter steps(delta);
  for (const std::string_view piece : SplitIntoPieces(next)) {
    if (const auto it = offsets.find(piece); it != offsets.end()) {
      steps.Copy(it->second, piece.size());
    } else {
      steps.Literal(piece);
    }
  }
  steps.Finish();
  return delta;
}

std::optional<std::string> TextDelta::Apply(std::string_view base,
                                            std::string_view delta) const {
  std::uint64_t base_hash = 0;
  std::uint64_t next_hash = 0;
  if (!ReadHash(delta, base_hash) || !ReadHash(delta, next_hash) ||
      base_hash != HashText(base)) {
    return std::nullopt;
  }
  std::string next;
  while (!delta.empty()) {
    std::uint64_t step_header = 0;
    if (!ReadVarint(delta, step_header)) return std::nullopt;
    const std::size_t size = step_header / 2;
    if (size > kMaxBodySize - next.size()) return std::nullopt;
    if (step_header % 2 != 0) {
      if (size > delta.size()) return std::nullopt;
      next += delta.substr(0, size);
      delta.remove_prefix(size);
      continue;
    }
    std::uint64_t offset = 0;
    if (!ReadVarint(delta, offset) || offset > base.size() ||
        size > base.size() - offset) {
      return std::nullopt;
    }
    next += base.substr(offset, size);
  }
  if (HashText(next) != next_hash) return std::nullopt;
  return next;
}

}  // namespace sapphirestream
