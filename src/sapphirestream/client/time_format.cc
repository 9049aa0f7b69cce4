// Times in RFC 3339 format, in UTC and whole seconds.
#include "sapphirestream/client/time_format.h"

#include <charconv>
#include <cstdint>
#include <cstdio>

namespace sapphirestream {
namespace {

using std::chrono::days;
using std::chrono::floor;
using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;
using std::chrono::sys_days;
using std::chrono::year_month_day;

// Two years; a longer time is taken for a typo.
constexpr std::uint32_t kMaxRelativeSeconds = 2 * 365 * 86'400;

std::optional<std::uint32_t> ParseDigits(std::string_view text) {
  std::uint32_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (text.empty() || error != std::errc{} || stop != end) return std::nullopt;
  return value;
}

std::optional<seconds> ParseRelative(std::string_view text) {
  const auto number = ParseDigits(text.substr(0, text.size() - 1));
  if (!number) return std::nullopt;
  const char unit = text.back();
  const std::uint64_t scale = unit == 's'   ? 1
                              : unit == 'm' ? 60
                              : unit == 'h' ? 3600
                                            : 0;
  if (scale == 0 || *number * scale > kMaxRelativeSeconds) return std::nullopt;
  return seconds(*number * scale);
}

}  // namespace

std::optional<WallTime> ParseTime(std::string_view text, WallTime now) {
  if (text == "now") return now;
  if (text.size() > 1 && text.front() == '+') {
    const auto offset = ParseRelative(text.substr(1));
    if (!offset) return std::nullopt;
    return now + *offset;
  }
  constexpr std::string_view shape = "0000-00-00T00:00:00Z";
  if (text.size() != shape.size()) return std::nullopt;
  for (std::size_t i = 0; i < shape.size(); ++i) {
    const bool is_digit = text[i] >= '0' && text[i] <= '9';
    if (shape[i] == '0' ? !is_digit : text[i] != shape[i]) {
      return std::nullopt;
    }
  }
  const auto at = [&](std::size_t from, std::size_t size) {
    return ParseDigits(text.substr(from, size)).value_or(0);
  };
  const year_month_day date{std::chrono::year(static_cast<int>(at(0, 4))),
                            std::chrono::month(at(5, 2)),
                            std::chrono::day(at(8, 2))};
  if (!date.ok() || at(11, 2) > 23 || at(14, 2) > 59 || at(17, 2) > 59) {
    return std::nullopt;
  }
  return WallTime(sys_days{date} + hours(at(11, 2)) + minutes(at(14, 2)) +
                  seconds(at(17, 2)));
}

std::string FormatTime(WallTime time) {
  const auto day = floor<days>(time);
  const year_month_day date(day);
  const std::chrono::hh_mm_ss clock(floor<seconds>(time - day));
  char text[40];
  std::snprintf(text, sizeof(text), "%04d-%02u-%02uT%02d:%02d:%02dZ",
                static_cast<int>(date.year()),
                static_cast<unsigned>(date.month()),
                static_cast<unsigned>(date.day()),
                static_cast<int>(clock.hours().count()),
                static_cast<int>(clock.minutes().count()),
                static_cast<int>(clock.seconds().count()));
  return text;
}

}  // namespace sapphirestream
