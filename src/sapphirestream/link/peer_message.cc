// Codec of the messages between instances.
#include "sapphirestream/link/peer_message.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>
#include <string>
#include <utility>

#include "sapphirestream/link/messages.capnp.h"
#include "sapphirestream/link/wire_reader.h"
#include "sapphirestream/link/wire_writer.h"

namespace sapphirestream {
namespace {

// Limits the unpacked size. Packing compresses runs of zeros a thousandfold, so
// a limit relative to the input size would reject redirected packets full of
// zeros.
constexpr std::uint64_t kMaxUnpackedWords = 8'192;
constexpr int kMaxNesting = 8;
// Size of the stack buffer in which typical messages are built without a heap
// allocation.
constexpr std::size_t kScratchWords = 512;

class VectorOutputStream final : public kj::OutputStream {
 public:
  explicit VectorOutputStream(std::vector<std::byte>& out) : out_(out) {}
  void write(const void* buffer, std::size_t size) override {
    const auto* bytes = static_cast<const std::byte*>(buffer);
    out_.insert(out_.end(), bytes, bytes + size);
  }

 private:
  std::vector<std::byte>& out_;
};

}  // namespace

void EncodePeerMessage(const PeerMessage& message,
                       std::vector<std::byte>& out) {
  std::array<capnp::word, kScratchWords> scratch{};
  capnp::MallocMessageBuilder builder(
      kj::arrayPtr(scratch.data(), scratch.size()));
  auto root = builder.initRoot<wire::PeerMessage>();
  std::visit([&](const auto& m) { internal::Write(m, root); }, message);
  VectorOutputStream stream(out);
  capnp::writePackedMessage(stream, builder);
}

leaf::result<PeerMessage> DecodePeerMessage(std::span<const std::byte> bytes) {
  try {
    kj::ArrayInputStream stream(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxUnpackedWords;
    options.nestingLimit = kMaxNesting;
    capnp::PackedMessageReader reader(stream, options);
    if (stream.tryGetReadBuffer().size() != 0) {
      return MakeError(ErrorKind::kMalformedMessage, "trailing bytes");
    }
    PeerMessage message;
    if (!internal::Read(reader.getRoot<wire::PeerMessage>(), message)) {
      return MakeError(ErrorKind::kMalformedMessage, "invalid value");
    }
    return message;
  } catch (const kj::Exception& e) {
    return MakeError(ErrorKind::kMalformedMessage, e.getDescription().cStr());
  }
}

}  // namespace sapphirestream
