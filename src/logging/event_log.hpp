#pragma once

#include "src/core/clock.hpp"
#include "src/core/token_bucket.hpp"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cicadahatch::logging {

/// \brief One named value of a line.
struct log_field {
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double, bool> value;

    log_field(std::string_view field_name, std::string_view text) : name(field_name), value(text) {}
    log_field(std::string_view field_name, const std::string& text)
        : name(field_name), value(std::string_view{text}) {}
    log_field(std::string_view field_name, const char* text)
        : name(field_name), value(std::string_view{text}) {}
    log_field(std::string_view field_name, bool flag) : name(field_name), value(flag) {}
    log_field(std::string_view field_name, double number) : name(field_name), value(number) {}
    log_field(std::string_view field_name, duration time)
        : name(field_name), value(std::chrono::duration<double, std::milli>(time).count()) {
    } ///< in milliseconds
    template <class Integer>
    requires std::is_integral_v<Integer> log_field(std::string_view field_name, Integer number)
        : name(field_name), value(static_cast<std::int64_t>(number)) {}
};

/// \returns 64-bit hashes as hexadecimal digits, separated by commas
[[nodiscard]] std::string format_hashes(const std::vector<std::uint64_t>& hashes);

/// \brief How much a line matters when not all can be written.
enum class weight : std::uint8_t {
    routine, ///< of work that goes as it should; the first to be left out
    notable  ///< of failures and of changes in what the process believes
};

/// \brief Bounds on the volume.
struct log_limits {
    double lines_per_second = 200; ///< under 1 MB a minute at the usual 80 to 250 bytes a line
    double burst_lines = 400;      ///< two seconds' worth
    double routine_reserve = 200;  ///< routine lines leave this many of the burst to others
};

/// \brief Writes structured lines: one JSON object each, with time, daemon and event.
///
/// A line that exceeds the limits, or that the output does not take at once, is dropped and
/// counted; the count stands in the next line that is written. Used by one thread.
class event_log {
public:
    /// Takes a line with its end; returns whether all of it was taken. Must not block.
    using output = std::function<bool(std::string_view line)>;

    /// \param time outlives the log
    event_log(const clock& time, std::string daemon, log_limits limits, output out);

    void write(weight matters, std::string_view event, std::initializer_list<log_field> fields);

    /// \returns the lines dropped since the start
    [[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_; }
    [[nodiscard]] std::uint64_t written() const noexcept { return written_; }

private:
    [[nodiscard]] bool admit(weight matters);

    const clock& time_;
    std::string daemon_;
    log_limits limits_;
    output out_;
    token_bucket lines_;
    std::uint64_t written_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t unreported_ = 0; ///< dropped since the last line
};

/// \returns an output to a file descriptor that drops lines while a reader is slow
[[nodiscard]] event_log::output output_to(int descriptor);

} // namespace cicadahatch::logging
