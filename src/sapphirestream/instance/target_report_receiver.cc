// Parsing and reception of load reports.
#include "sapphirestream/instance/target_report_receiver.h"

#include <unistd.h>

#include <array>
#include <boost/json.hpp>
#include <utility>

namespace sapphirestream {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxReportSize = 512;
// Datagrams per event-loop iteration; bounded so that timers keep running under
// load.
constexpr int kMaxDatagramsPerIteration = 64;

leaf::result<std::uint32_t> ReadCount(const json::value& value) {
  if (!value.is_int64()) return MakeError(ErrorKind::kWrongType);
  const std::int64_t number = value.get_int64();
  if (number < 0 || number > UINT32_MAX) {
    return MakeError(ErrorKind::kOutOfRange);
  }
  return static_cast<std::uint32_t>(number);
}

leaf::result<void> ReadField(std::string_view key, const json::value& value,
                             TargetReport& out) {
  if (key == "target") {
    const auto* text = value.if_string();
    if (text == nullptr) return MakeError(ErrorKind::kWrongType);
    const auto endpoint =
        ParseEndpoint(std::string_view(text->data(), text->size()));
    if (!endpoint) return MakeError(ErrorKind::kOutOfRange);
    out.tunnel = *endpoint;
  } else if (key == "busy") {
    BOOST_LEAF_ASSIGN(out.busy_slots, ReadCount(value));
  } else if (key == "open") {
    BOOST_LEAF_ASSIGN(out.open_connections, ReadCount(value));
  } else if (key == "shedding") {
    if (!value.is_bool()) return MakeError(ErrorKind::kWrongType);
    out.shedding = value.get_bool();
  } else {
    return MakeError(ErrorKind::kUnknownField);
  }
  return {};
}

}  // namespace

leaf::result<TargetReport> ParseTargetReport(std::string_view text) {
  boost::system::error_code error;
  const json::value value = json::parse(text, error);
  if (error || !value.is_object()) return MakeError(ErrorKind::kMalformedJson);
  TargetReport report;
  for (const auto& [key, field] : value.get_object()) {
    BOOST_LEAF_CHECK(
        ReadField(std::string_view(key.data(), key.size()), field, report));
  }
  for (const char* name : {"target", "busy", "open"}) {
    if (!value.get_object().contains(name)) {
      return MakeError(ErrorKind::kMalformedJson);
    }
  }
  return report;
}

leaf::result<std::unique_ptr<TargetReportReceiver>> TargetReportReceiver::Open(
    boost::asio::io_context& io, const Endpoint& local, CounterSet& counters) {
  BOOST_LEAF_AUTO(socket, UdpSocket::Open({.local = local}));
  return std::unique_ptr<TargetReportReceiver>(
      new TargetReportReceiver(io, std::move(socket), counters));
}

TargetReportReceiver::TargetReportReceiver(boost::asio::io_context& io,
                                           UdpSocket socket,
                                           CounterSet& counters)
    : socket_(std::move(socket)),
      // The stream descriptor closes its own duplicate.
      readable_(io, ::dup(socket_.fd())),
      accepted_(counters.Emplace("target_reports_total{result=\"accepted\"}")),
      refused_(counters.Emplace("target_reports_total{result=\"refused\"}")) {}

void TargetReportReceiver::Start(Handler handler) {
  handler_ = std::move(handler);
  AwaitDatagrams();
}

void TargetReportReceiver::AwaitDatagrams() {
  readable_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                       [this](boost::system::error_code error) {
                         if (error) return;
                         ReceiveDatagrams();
                         AwaitDatagrams();
                       });
}

void TargetReportReceiver::ReceiveDatagrams() {
  std::array<std::byte, kMaxReportSize> buffer;
  for (int i = 0; i < kMaxDatagramsPerIteration; ++i) {
    Endpoint from;
    const std::ptrdiff_t size = socket_.ReceiveFrom(buffer, from);
    if (size < 0) return;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          const std::string_view text(
              reinterpret_cast<const char*>(buffer.data()),
              static_cast<std::size_t>(size));
          BOOST_LEAF_AUTO(report, ParseTargetReport(text));
          // A target may report only its own load.
          if (from.address != report.tunnel.address) {
            return MakeError(ErrorKind::kAddressMismatch);
          }
          accepted_.Add();
          handler_(report);
          return {};
        },
        [this] { refused_.Add(); });
  }
}

}  // namespace sapphirestream
