#include "src/scheduling/cell_builder.hpp"

#include "src/core/hash.hpp"
#include "src/core/macros.hpp"
#include "src/scheduling/cell_inputs.hpp"
#include "src/scheduling/systems/predict.hpp"

#include <utility>

namespace cicadahatch::scheduling {

cell_builder& cell_builder::id(cell_id value) {
    id_ = std::move(value);
    return *this;
}

cell_builder& cell_builder::model(model_id value) {
    model_ = std::move(value);
    return *this;
}

cell_builder& cell_builder::engines(std::vector<engine_spec> value) {
    engines_ = std::move(value);
    return *this;
}

cell_builder& cell_builder::links(std::vector<link_spec> value) {
    links_ = std::move(value);
    return *this;
}

cell_builder& cell_builder::services(std::vector<service_spec> value) {
    services_ = std::move(value);
    return *this;
}

cell_state cell_builder::build(time_point now) const {
    CICADAHATCH_ASSERT(!id_.empty(), cell_has_an_id);
    cell_state state;
    state.id = id_;
    state.model = model_;
    state.random = random_source{stable_hash(id_.str())};
    state.last_tick = now;
    set_links(state, links_);
    set_engines(state, engines_, now);
    set_services(state, services_);
    systems::predict(state, cell_policy{}, now);
    return state;
}

} // namespace cicadahatch::scheduling
