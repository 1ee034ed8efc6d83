#include "bench/replay/cell_engines.hpp"

#include "cicadahatch/scheduling"

#include <string>

namespace cicadahatch::replay {

namespace {

constexpr char prefill_letter = 'p';
constexpr char decode_letter = 'd';

backend_id named(char letter, std::size_t number) {
    return backend_id{letter + std::to_string(number)};
}

} // namespace

backend_id prefill_id(std::size_t number) {
    return named(prefill_letter, number);
}

backend_id decode_id(std::size_t number) {
    return named(decode_letter, number);
}

std::size_t engine_number(const backend_id& id) {
    return std::stoul(id.str().substr(1));
}

std::size_t prefill_row_of(const world& in, const backend_id& id) {
    const std::size_t number = engine_number(id);
    return id.str().front() == prefill_letter ? number : in.decodes[number].as_prefill.value();
}

scheduling::link_spec link_of(const backend_id& prefill) {
    return {scheduling::link_id{"link-" + prefill.str()}, link_rate};
}

scheduling::engine_spec prefill_spec(const backend_id& id) {
    scheduling::engine_spec spec;
    spec.id = id;
    spec.role = backend_role::prefill;
    spec.link = link_of(id).id;
    spec.prefill_tokens_per_second = prefill_rate;
    return spec;
}

scheduling::engine_spec decode_spec(const backend_id& id) {
    scheduling::engine_spec spec;
    spec.id = id;
    spec.role = backend_role::decode;
    spec.slots = slot_count;
    spec.pieces = piece_count;
    spec.piece_tokens = piece_tokens;
    spec.step_base = step_base;
    spec.step_per_stream = step_per_stream;
    spec.kv_bytes_per_token = kv_bytes;
    return spec;
}

scheduling::cell_state make_cell(const deployment& of, std::size_t domain, std::size_t first) {
    std::vector<scheduling::engine_spec> engines{prefill_spec(prefill_id(domain))};
    const auto count = static_cast<std::size_t>(of.decode_engines[domain]);
    for (std::size_t number = first; number < first + count; ++number) {
        engines.push_back(decode_spec(decode_id(number)));
    }
    return scheduling::cell_builder{}
        .id(cell_id{"cell" + std::to_string(domain)})
        .model(model_id{"model"})
        .engines(engines)
        .links({link_of(prefill_id(domain))})
        .services({of.service})
        .build(replay_begin);
}

} // namespace cicadahatch::replay
