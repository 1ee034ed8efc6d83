#pragma once

#include "src/rpc/messages.hpp"

#include <tuple>
#include <type_traits>

/// \file
/// \brief The fields of each message in their order on the wire; new ones go to the end.

namespace cicadahatch::rpc::internal {

template <class T>
using tag = std::type_identity<T>;

constexpr auto fields_of(tag<http::endpoint>) {
    return std::tuple{&http::endpoint::host, &http::endpoint::port};
}

constexpr auto fields_of(tag<acquire>) {
    return std::tuple{&acquire::request,
                      &acquire::attempt,
                      &acquire::cell,
                      &acquire::service,
                      &acquire::model,
                      &acquire::team,
                      &acquire::work_rank,
                      &acquire::prompt_tokens,
                      &acquire::generated_tokens,
                      &acquire::expected_output_tokens,
                      &acquire::waited,
                      &acquire::first_token_target,
                      &acquire::between_tokens_target,
                      &acquire::gives_up_after,
                      &acquire::prefix_hashes,
                      &acquire::prefix_block_tokens,
                      &acquire::max_output_tokens,
                      &acquire::prompt_key,
                      &acquire::late_first_token_target,
                      &acquire::level,
                      &acquire::avoided,
                      &acquire::prompt_parts};
}

constexpr auto fields_of(tag<granted>) {
    return std::tuple{&granted::request,
                      &granted::attempt,
                      &granted::cell,
                      &granted::grant,
                      &granted::prefill_backend,
                      &granted::decode_backend,
                      &granted::expected_cached_tokens,
                      &granted::kv_pieces,
                      &granted::predicted_first_token,
                      &granted::predicted_between_tokens};
}

constexpr auto fields_of(tag<refused>) {
    return std::tuple{&refused::request, &refused::attempt,     &refused::cell,
                      &refused::reason,  &refused::retry_after, &refused::home};
}

constexpr auto fields_of(tag<prefill_finished>) {
    return std::tuple{&prefill_finished::request, &prefill_finished::attempt,
                      &prefill_finished::cell, &prefill_finished::cached_tokens,
                      &prefill_finished::took};
}

constexpr auto fields_of(tag<first_token>) {
    return std::tuple{&first_token::request, &first_token::attempt, &first_token::cell,
                      &first_token::since_grant, &first_token::prompt_parts};
}

constexpr auto fields_of(tag<release>) {
    return std::tuple{&release::request,     &release::attempt,       &release::cell,
                      &release::outcome,     &release::output_tokens, &release::between_tokens,
                      &release::prompt_parts};
}

constexpr auto fields_of(tag<withdraw>) {
    return std::tuple{&withdraw::request, &withdraw::attempt, &withdraw::cell};
}

constexpr auto fields_of(tag<grant_record>) {
    return std::tuple{&grant_record::request,
                      &grant_record::attempt,
                      &grant_record::grant,
                      &grant_record::holder,
                      &grant_record::holder_incarnation,
                      &grant_record::service,
                      &grant_record::team,
                      &grant_record::work_rank,
                      &grant_record::stage,
                      &grant_record::prefill_backend,
                      &grant_record::decode_backend,
                      &grant_record::prompt_tokens,
                      &grant_record::expected_output_tokens,
                      &grant_record::kv_pieces,
                      &grant_record::between_tokens_target,
                      &grant_record::age,
                      &grant_record::generated_tokens,
                      &grant_record::max_output_tokens,
                      &grant_record::prompt_parts};
}

constexpr auto fields_of(tag<register_grants>) {
    return std::tuple{&register_grants::cell, &register_grants::grants, &register_grants::is_last};
}

constexpr auto fields_of(tag<copy_grants>) {
    return std::tuple{&copy_grants::cell, &copy_grants::sequence, &copy_grants::is_whole,
                      &copy_grants::added, &copy_grants::removed};
}

constexpr auto fields_of(tag<request_registration>) {
    return std::tuple{&request_registration::cell};
}

constexpr auto fields_of(tag<member_record>) {
    return std::tuple{&member_record::id,      &member_record::domain,    &member_record::place,
                      &member_record::started, &member_record::heartbeat, &member_record::status};
}

constexpr auto fields_of(tag<heartbeat_entry>) {
    return std::tuple{&heartbeat_entry::id, &heartbeat_entry::started, &heartbeat_entry::heartbeat};
}

constexpr auto fields_of(tag<domain_contact>) {
    return std::tuple{&domain_contact::domain, &domain_contact::age};
}

constexpr auto fields_of(tag<payload>) {
    return std::tuple{&payload::kind, &payload::key, &payload::version, &payload::value};
}

constexpr auto fields_of(tag<gossip>) {
    return std::tuple{&gossip::self,    &gossip::heartbeats, &gossip::contacts,
                      &gossip::members, &gossip::payloads,   &gossip::table_hash};
}

constexpr auto fields_of(tag<sync_request>) {
    return std::tuple{&sync_request::self, &sync_request::table_hash};
}

constexpr auto fields_of(tag<sync_reply>) {
    return std::tuple{&sync_reply::table_hash, &sync_reply::wants_reply, &sync_reply::members,
                      &sync_reply::payloads};
}

constexpr auto fields_of(tag<fetch_configuration>) {
    return std::tuple{&fetch_configuration::newer_than};
}

constexpr auto fields_of(tag<configuration_shard>) {
    return std::tuple{&configuration_shard::accepted, &configuration_shard::name,
                      &configuration_shard::index, &configuration_shard::count,
                      &configuration_shard::value};
}

constexpr auto fields_of(tag<engine_leaving>) {
    return std::tuple{&engine_leaving::cell, &engine_leaving::backend, &engine_leaving::started};
}

constexpr auto fields_of(tag<registry_change>) {
    return std::tuple{&registry_change::key, &registry_change::value, &registry_change::modified,
                      &registry_change::is_erased};
}

constexpr auto fields_of(tag<registry_look>) {
    return std::tuple{&registry_look::after, &registry_look::through, &registry_look::changes,
                      &registry_look::settling};
}

constexpr auto fields_of(tag<crashing_part>) {
    return std::tuple{&crashing_part::part, &crashing_part::crashes, &crashing_part::common,
                      &crashing_part::until_trial};
}

constexpr auto fields_of(tag<crashing_parts>) {
    return std::tuple{&crashing_parts::parts};
}

constexpr auto fields_of(tag<registry_ping>) {
    return std::tuple{&registry_ping::stamp};
}

constexpr auto fields_of(tag<registry_age>) {
    return std::tuple{&registry_age::stamp, &registry_age::age};
}

constexpr auto fields_of(tag<usage_request>) {
    return std::tuple{&usage_request::ticket, &usage_request::team, &usage_request::units,
                      &usage_request::extra};
}

constexpr auto fields_of(tag<usage_answer>) {
    return std::tuple{&usage_answer::ticket,   &usage_answer::is_granted,
                      &usage_answer::is_final, &usage_answer::is_leaving,
                      &usage_answer::units,    &usage_answer::retry_after};
}

constexpr auto fields_of(tag<usage_return>) {
    return std::tuple{&usage_return::team, &usage_return::units};
}

constexpr auto fields_of(tag<usage_presence>) {
    return std::tuple{&usage_presence::reserved};
}

/// \brief The largest enumerator of each enumeration that travels; larger numbers are malformed.
constexpr auto last_enumerator(tag<rank>) {
    return rank::deferrable;
}
constexpr auto last_enumerator(tag<refusal_reason>) {
    return refusal_reason::crashes_engines;
}
constexpr auto last_enumerator(tag<release_outcome>) {
    return release_outcome::engine_crashed;
}
constexpr auto last_enumerator(tag<grant_stage>) {
    return grant_stage::decoding;
}
constexpr auto last_enumerator(tag<member_status>) {
    return member_status::left;
}
constexpr auto last_enumerator(tag<payload_kind>) {
    return payload_kind::domain_digest;
}

template <class T>
concept structure = requires {
    fields_of(tag<T>{});
};

} // namespace cicadahatch::rpc::internal
