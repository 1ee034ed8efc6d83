#include "cicadahatch/core"
#include "src/rpc/internal/link_proof.hpp"
#include "test/fuzz/fuzz_target.hpp"

namespace {

const std::string secret = "secret-of-the-tests";

std::string query_of(const cicadahatch::rpc::internal::link_ends& ends) {
    const std::string path = cicadahatch::rpc::internal::link_path(ends, secret);
    return path.substr(path.find('?') + 1);
}

} // namespace

std::vector<std::string> cicadahatch::fuzz::seed_inputs() {
    return {query_of({daemon_id{"entry-1"}, incarnation{7}, daemon_id{"entry-2"}}),
            query_of({daemon_id{"entry 1&to=%"}, incarnation{8}, {}})};
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace cicadahatch;
    const auto checked = rpc::internal::check_link_query(fuzz::as_text(data, size), secret);
    if (checked) {
        const auto again = rpc::internal::check_link_query(query_of(*checked), secret);
        CICADAHATCH_ASSERT(again.has_value(), checked_ends_are_sound);
        CICADAHATCH_ASSERT(again->sender == checked->sender, checked_sender_is_the_same);
        CICADAHATCH_ASSERT(again->recipient == checked->recipient, checked_recipient_is_the_same);
    }
    return 0;
}
