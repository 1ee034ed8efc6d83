#include "src/serving/cell_layout.hpp"

#include "src/core/macros.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace cicadahatch::serving {

namespace {

using pool_key = std::pair<model_id, domain_id>;

std::map<pool_key, std::vector<backend_row>> to_pools(const std::vector<backend_row>& backends) {
    std::map<pool_key, std::vector<backend_row>> pools;
    for (const backend_row& server : backends) {
        if (server.role != backend_role::plain) {
            pools[{server.model, server.domain}].push_back(server);
        }
    }
    return pools;
}

void sort_for_dealing(std::vector<backend_row>& engines) {
    std::sort(engines.begin(), engines.end(),
              [](const backend_row& left, const backend_row& right) {
                  return std::pair{left.role, left.id} < std::pair{right.role, right.id};
              });
}

std::vector<cell_plan> deal(const pool_key& key, std::vector<backend_row> engines,
                            std::size_t max_engines) {
    sort_for_dealing(engines);
    const std::size_t count = (engines.size() + max_engines - 1) / max_engines;
    std::vector<cell_plan> cells(count);
    for (std::size_t index = 0; index < count; ++index) {
        const std::string name = key.first.str() + "/" + key.second.str();
        cells[index].id = cell_id{name + "/" + std::to_string(index)};
        cells[index].model = key.first;
        cells[index].domain = key.second;
    }
    for (std::size_t index = 0; index < engines.size(); ++index) {
        cells[index % count].engines.push_back(std::move(engines[index]));
    }
    return cells;
}

} // namespace

std::vector<cell_plan> lay_out_cells(const std::vector<backend_row>& backends,
                                     std::size_t max_engines) {
    CICADAHATCH_ASSERT(max_engines >= 2, cell_holds_prefill_and_decode);
    std::vector<cell_plan> cells;
    for (auto& [key, engines] : to_pools(backends)) {
        for (cell_plan& cell : deal(key, std::move(engines), max_engines)) {
            cells.push_back(std::move(cell));
        }
    }
    return cells;
}

} // namespace cicadahatch::serving
