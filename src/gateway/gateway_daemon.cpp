#include "src/gateway/gateway_daemon.hpp"

#include "src/gateway/internal/gateway_daemon_impl.hpp"

namespace cicadahatch::gateway {

gateway_daemon::gateway_daemon(std::unique_ptr<impl> implementation)
    : impl_(std::move(implementation)) {}

gateway_daemon::~gateway_daemon() {
    impl_->stop_following();
}

bool gateway_daemon::run() {
    return impl_->run();
}

void gateway_daemon::shut_down() {
    impl_->post_shutdown();
}

void gateway_daemon::halt() {
    impl_->halt();
}

gateway_builder& gateway_builder::settings(settings::gateway_settings configured) {
    configured_ = std::move(configured);
    return *this;
}

gateway_builder& gateway_builder::settings_file(std::string file) {
    settings_file_ = std::move(file);
    return *this;
}

gateway_builder& gateway_builder::time(const clock& clock_source) {
    time_ = &clock_source;
    return *this;
}

gateway_builder& gateway_builder::lease_time(const clock& clock_source) {
    lease_time_ = &clock_source;
    return *this;
}

gateway_builder& gateway_builder::platform(platform_binding binding) {
    binding_ = std::move(binding);
    return *this;
}

gateway_builder& gateway_builder::log_output(logging::event_log::output output) {
    log_output_ = std::move(output);
    return *this;
}

result<std::unique_ptr<gateway_daemon>> gateway_builder::build() const {
    const gateway_clocks clocks{*time_, *lease_time_};
    auto built = std::make_unique<gateway_daemon::impl>(configured_, settings_file_, clocks,
                                                        binding_, log_output_);
    const auto opened = built->open();
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    return std::unique_ptr<gateway_daemon>{new gateway_daemon{std::move(built)}};
}

} // namespace cicadahatch::gateway
