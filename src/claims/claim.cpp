#include "src/claims/claim.hpp"

#include "src/claims/constants.hpp"
#include "src/core/hash.hpp"

#include <utility>

namespace cicadahatch::claims {

request_digest digest_of(std::string_view method, std::string_view path, std::string_view body) {
    const std::uint64_t method_hash = stable_hash(method);
    const std::uint64_t path_hash = stable_hash(path, method_hash);
    return request_digest{stable_hash(body, path_hash)};
}

claim_outcome make_outcome(int status, std::string content_type, std::string body) {
    claim_outcome outcome;
    outcome.status = status;
    outcome.content_type = std::move(content_type);
    outcome.body_bytes = body.size();
    outcome.body_digest = stable_hash(body);
    if (outcome.content_type.size() > max_content_type_bytes) {
        outcome.content_type.clear();
    }
    outcome.is_body_kept = body.size() <= max_kept_body_bytes;
    if (outcome.is_body_kept) {
        outcome.body = std::move(body);
    }
    return outcome;
}

} // namespace cicadahatch::claims
