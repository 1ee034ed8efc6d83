#include "cicadahatch/core"
#include "cicadahatch/rpc"
#include "test/fuzz/fuzz_target.hpp"

std::vector<std::string> cicadahatch::fuzz::seed_inputs() {
    rpc::acquire asked;
    asked.request = request_id{"r-1"};
    asked.cell = cell_id{"c"};
    asked.prefix_hashes = {1, 2, 3};
    asked.prefix_hashes = {1, 2};
    rpc::register_grants registered;
    registered.cell = cell_id{"c"};
    registered.grants.resize(2);
    rpc::gossip spread;
    spread.self.place = {"127.0.0.1", 8082};
    spread.heartbeats.resize(2);
    spread.members.resize(1);
    spread.payloads.resize(1);
    rpc::sync_reply answered;
    answered.members.resize(1);
    rpc::configuration_shard shard;
    shard.value = "bytes";
    return {rpc::encode_batch({1, {asked, rpc::granted{}, rpc::refused{}, rpc::release{}}}),
            rpc::encode_batch({2, {registered, rpc::copy_grants{}, rpc::request_registration{}}}),
            rpc::encode_batch({3, {spread, rpc::sync_request{}, answered}}),
            rpc::encode_batch({4, {shard, rpc::fetch_configuration{}, rpc::withdraw{}}}),
            rpc::encode_batch({5, {rpc::prefill_finished{}, rpc::first_token{}}})};
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace cicadahatch;
    const auto decoded = rpc::decode_batch(fuzz::as_text(data, size));
    if (decoded) {
        const std::string encoded = rpc::encode_batch(*decoded);
        const auto again = rpc::decode_batch(encoded);
        CICADAHATCH_ASSERT(again.has_value(), encoded_batch_is_sound);
        CICADAHATCH_ASSERT(rpc::encode_batch(*again) == encoded, encoded_batch_is_stable);
    }
    return 0;
}
