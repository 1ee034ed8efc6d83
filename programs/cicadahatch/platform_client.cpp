#include "programs/cicadahatch/platform_client.hpp"

#include "programs/cicadahatch/admin_client.hpp"
#include "programs/cicadahatch/error.hpp"
#include "src/store/error.hpp"
#include "src/store/etcd_store.hpp"

namespace cicadahatch::tool {

result<std::unique_ptr<store::key_value_store>> open_platform(const cxxopts::ParseResult& values) {
    const auto places = parse_endpoints(list_value(values, "platform", "CICADAHATCH_PLATFORM"));
    if (!places) {
        return tl::unexpected(places.error());
    }
    if (places->empty()) {
        return failure(errc::no_platform);
    }
    store::etcd_store_builder builder;
    for (const http::endpoint& place : *places) {
        builder.add_endpoint(place);
    }
    return std::unique_ptr<store::key_value_store>(builder.build());
}

bool is_platform_unreached(const std::error_code& error) {
    return error == store::errc::unavailable || error == store::errc::outcome_unknown ||
           error == store::errc::circuit_open || error == store::errc::rate_limited;
}

} // namespace cicadahatch::tool
