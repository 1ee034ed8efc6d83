#include "cicadahatch/configuration"
#include "cicadahatch/core"
#include "test/fuzz/fuzz_target.hpp"
#include "test/support/sample_settings.hpp"

#include <glog/logging.h>

namespace {

using namespace cicadahatch;

configuration::snapshot_ptr sample_snapshot(std::uint64_t at) {
    const settings::service described = test_support::sample_model_service();
    const configuration::accepted_service accepted{
        described, settings::render_service(described), revision{1}, revision{at}, {}};
    const configuration::service_map services{
        {described.name, std::make_shared<const configuration::accepted_service>(accepted)}};
    return std::make_shared<const configuration::snapshot>(
        revision{at}, services, configuration::tombstone_map{{service_id{"gone"}, revision{2}}},
        revision{});
}

} // namespace

std::vector<std::string> cicadahatch::fuzz::seed_inputs() {
    FLAGS_minloglevel = google::GLOG_ERROR;
    const std::string array_of_false_size = "\x9b\x64\x64\x64\x64\x64\x64\x64\x64";
    return {array_of_false_size, configuration::encode_since(*sample_snapshot(9), {}).value(),
            configuration::encode_since(*sample_snapshot(9), revision{8}).value()};
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    configuration::holder own;
    own.offer(sample_snapshot(3));
    const auto merged = configuration::merge_from_peer(own, fuzz::as_text(data, size));
    const bool is_taken = merged && *merged;
    CICADAHATCH_ASSERT(is_taken == (own.at() > revision{3}), only_a_taken_message_raises_revision);
    return 0;
}
