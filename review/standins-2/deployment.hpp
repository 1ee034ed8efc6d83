#pragma once

#include "review/standins-2/engine.hpp"
#include "review/standins-2/router.hpp"

#include <fstream>
#include <sstream>

namespace standins {

/// Exit statuses of a case.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int not_run = 2;

/// \brief What a case is started with.
struct case_options {
    std::string program; ///< the daemon
    std::string folder;  ///< a temporary one
    std::string record;  ///< the file that tells what was sent, answered and run
    bool has_trouble = true;
};

/// \returns the options; an empty program if the arguments don't fit
[[nodiscard]] case_options read_options(const std::vector<std::string>& arguments);

/// \brief Lines of the record, with the time since the start of the case.
class record {
public:
    explicit record(const std::string& file) : out_(file) {}

    template <class... Parts>
    void write(const Parts&... parts) {
        const std::lock_guard lock{mutex_};
        out_ << seconds(std::chrono::steady_clock::now()) << " s  ";
        (out_ << ... << parts) << std::endl;
    }
    /// \returns the time since the start of the case, with three digits
    [[nodiscard]] std::string seconds(time_point at) const;
    void write_runs(const std::vector<run>& runs);

private:
    std::mutex mutex_;
    std::ofstream out_;
    time_point began_at_ = std::chrono::steady_clock::now();
};

/// \returns the head of a client's request, as PROTOCOL.md shows it
/// \param fields further header fields, each with its line end
[[nodiscard]] std::string request_text(const std::string& path, const std::string& id,
                                       std::chrono::milliseconds deadline,
                                       const std::string& fields, const std::string& body);

/// \returns the fields of a request for a stream
/// \param session the last part of its prompt
[[nodiscard]] std::string stream_fields(const std::string& session, unsigned long output_tokens);

/// \returns the operator's configuration with the routes of mddma-hatch: /costing/, /lace/ and
/// /order/
[[nodiscard]] nlohmann::json sample_configuration();

} // namespace standins
