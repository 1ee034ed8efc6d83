#include "src/gateway/gateway_daemon.hpp"

#include "src/gateway/internal/parts.hpp"

namespace cicadahatch::gateway {

gateway_daemon::gateway_daemon(std::unique_ptr<parts> built) : parts_(std::move(built)) {}

gateway_daemon::~gateway_daemon() {
    parts_->stop_following();
}

bool gateway_daemon::run() {
    return parts_->run();
}

void gateway_daemon::shut_down() {
    parts_->post_shutdown();
}

void gateway_daemon::halt() {
    parts_->halt();
}

gateway_builder& gateway_builder::settings(settings::gateway_settings configured) {
    configured_ = std::move(configured);
    return *this;
}

gateway_builder& gateway_builder::settings_file(std::string file) {
    settings_file_ = std::move(file);
    return *this;
}

gateway_builder& gateway_builder::time(const clock& source) {
    time_ = &source;
    return *this;
}

gateway_builder& gateway_builder::lease_time(const clock& source) {
    lease_time_ = &source;
    return *this;
}

gateway_builder& gateway_builder::platform(platform_binding binding) {
    binding_ = std::move(binding);
    return *this;
}

gateway_builder& gateway_builder::log_output(logging::event_log::output out) {
    out_ = std::move(out);
    return *this;
}

result<std::unique_ptr<gateway_daemon>> gateway_builder::build() const {
    const gateway_clocks clocks{*time_, *lease_time_};
    auto built = std::make_unique<gateway_daemon::parts>(configured_, settings_file_, clocks,
                                                         binding_, out_);
    const auto opened = built->open();
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    return std::unique_ptr<gateway_daemon>{new gateway_daemon{std::move(built)}};
}

} // namespace cicadahatch::gateway
