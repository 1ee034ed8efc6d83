#include "review/standins/engine.hpp"

#include <thread>

namespace review {

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_misdirected = 421;
constexpr unsigned slots = 64;

} // namespace

engine::engine(record& notes, std::string id, milliseconds work)
    : notes_(notes), id_(std::move(id)), work_(work),
      server_([this](tcp::socket& from) { serve(from); }) {}

void engine::enter(store& into, const std::string& service) const {
    into.put("servers/" + id_, {{"service", service},
                                {"address", place_of(server_.port())},
                                {"zone", "a"},
                                {"version", "v1"},
                                {"slots", slots},
                                {"state", "ready"},
                                {"coldLeftMs", 0},
                                {"seq", 1},
                                {"born", 1000}});
}

void engine::set_fault(fault wrong) {
    const std::lock_guard lock{mutex_};
    fault_ = std::move(wrong);
}

int engine::runs_of(const std::string& request) {
    const std::lock_guard lock{mutex_};
    return runs_[request];
}

bool engine::wait_for_runs(std::size_t count, milliseconds patience) {
    std::unique_lock lock{mutex_};
    return begun_.wait_for(lock, patience, [&] { return count_ >= count; });
}

void engine::note_run(const std::string& request) {
    {
        const std::lock_guard lock{mutex_};
        ++runs_[request];
        begins_.emplace(request, clock::now());
        ++count_;
    }
    begun_.notify_all();
    notes_.write(id_ + ": runs " + request);
}

void engine::exit() {
    const std::lock_guard lock{mutex_};
    has_exited_ = true;
    server_.stop();
    for (tcp::socket* socket : open_) {
        net_error ignored; // The peer may have closed it.
        socket->shutdown(tcp::socket::shutdown_both, ignored);
    }
    notes_.write(id_ + ": exits");
}

std::map<std::string, clock::time_point> engine::begins() {
    const std::lock_guard lock{mutex_};
    return begins_;
}

void engine::serve(tcp::socket& from) {
    {
        const std::lock_guard lock{mutex_};
        if (has_exited_) {
            return;
        }
        open_.insert(&from);
    }
    answer_all(from);
    const std::lock_guard lock{mutex_};
    open_.erase(&from);
}

void engine::answer_all(tcp::socket& from) {
    boost::beast::flat_buffer buffer;
    http_request asked;
    while (read_request(from, buffer, asked)) {
        const std::string request = field_of(asked, id_field);
        http_response answer;
        answer.set(id_field, request);
        if (field_of(asked, target_field) != id_) {
            answer.result(status_misdirected);
            answer.set(not_executed_field, "1");
        } else {
            note_run(request);
            fault wrong;
            {
                const std::lock_guard lock{mutex_};
                wrong = fault_;
            }
            if (wrong && wrong(from, asked)) {
                return;
            }
            std::this_thread::sleep_for(work_);
            answer.result(status_ok);
            answer.set(signature_field, "s." + id_ + "." + request);
            answer.body() = "done by " + id_ + " for " + request;
        }
        if (!write_response(from, std::move(answer))) {
            return;
        }
    }
}

} // namespace review
