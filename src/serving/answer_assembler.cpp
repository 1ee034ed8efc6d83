#include "src/serving/answer_assembler.hpp"

#include "src/serving/constants.hpp"

namespace cicadahatch::serving {

void answer_assembler::begin_attempt(attempt_number attempt) {
    attempt_ = attempt;
    ahead_.clear();
}

std::vector<std::string> answer_assembler::accept(const engines::frame& received) {
    if (received.attempt != attempt_ || received.position < position_) {
        return {};
    }
    if (received.position != position_ && ahead_.size() >= max_frames_ahead) {
        return {};
    }
    ahead_.emplace(received.position, received.text);
    std::vector<std::string> ready;
    for (auto next = ahead_.find(position_); next != ahead_.end(); next = ahead_.find(position_)) {
        text_ += next->second;
        ready.push_back(std::move(next->second));
        ahead_.erase(next);
        ++position_;
    }
    return ready;
}

} // namespace cicadahatch::serving
