#include "programs/cicadahatch/platform_client.hpp"

#include "programs/cicadahatch/admin_client.hpp"
#include "programs/cicadahatch/error.hpp"
#include "src/platform/error.hpp"
#include "src/platform/etcd_store.hpp"

namespace cicadahatch::tool {

result<std::unique_ptr<platform::store>> open_platform(const cxxopts::ParseResult& values) {
    const auto places = parse_endpoints(list_value(values, "platform", "CICADAHATCH_PLATFORM"));
    if (!places) {
        return tl::unexpected(places.error());
    }
    if (places->empty()) {
        return failure(errc::no_platform);
    }
    platform::etcd_store_builder builder;
    for (const http::endpoint& place : *places) {
        builder.add_endpoint(place);
    }
    return std::unique_ptr<platform::store>(builder.build());
}

bool is_platform_unreached(const std::error_code& error) {
    return error == platform::errc::unavailable || error == platform::errc::outcome_unknown ||
           error == platform::errc::circuit_open || error == platform::errc::rate_limited;
}

} // namespace cicadahatch::tool
