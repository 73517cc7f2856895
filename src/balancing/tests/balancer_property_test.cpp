#include "balancing/balancer.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>

using namespace snipeshore;
using namespace snipeshore::balancing;
using namespace std::chrono_literals;

namespace {

/// Reference model of one target: its requests in flight and whether it may get new ones.
struct model_target {
    std::uint32_t in_flight = 0;
    bool usable = false;
};

struct running {
    std::uint32_t index = 0;
    std::string id;
};

target_set make_set(std::uint64_t pick)
{
    target_set set;
    set.self = base::host_id("host");
    set.entry_hosts = {set.self};
    for (std::uint64_t index = 0; index < 8; ++index) {
        if ((pick >> index & 1U) != 0) {
            target_info info{base::target_id("t" + std::to_string(index)), 2, 3};
            info.leaving = (pick >> (index + 8) & 3U) == 0;
            set.targets.push_back(info);
        }
    }
    return set;
}

} // namespace

// Guards against orders of events in which a connection limit is exceeded, a leaving target gets a
// request, more than a third of the targets is ejected, or a request is refused although a target
// could take it.
TEST_CASE("property: choices agree with a reference model of the targets")
{
    CHECK(rc::check([] {
        balancer_state state;
        base::time_point now{1h};
        std::map<std::string, model_target> model;
        std::vector<running> started;
        // There is only one host, so its subset contains all targets.
        state.config.min_subset = 8;
        const auto apply_set = [&](std::uint64_t pick) {
            const target_set set = make_set(pick);
            set_targets(state, set, now);
            for (auto& [id, target] : model) {
                target.usable = false;
            }
            for (const auto& info : set.targets) {
                model[info.id.value()].usable = !info.leaving;
            }
        };
        apply_set(0xffff);
        const auto steps = *rc::gen::container<std::vector<std::uint64_t>>(
            300, rc::gen::inRange<std::uint64_t>(0, 1U << 30U));
        for (const std::uint64_t step : steps) {
            const std::uint64_t detail = step >> 4U;
            now += std::chrono::milliseconds(detail % 700);
            if (step % 16 == 0) {
                apply_set(detail);
            } else if (step % 16 < 9) {
                std::size_t usable = 0;
                std::size_t ejected = 0;
                bool has_room = false;
                const auto chosen = choose(state, {detail, detail % 2 == 0, {}}, now);
                for (const auto& target : state.targets) {
                    const auto& known = model[target.info.id.value()];
                    if (target.present && known.usable) {
                        ++usable;
                        ejected += target.phase != ejection_phase::active ? 1 : 0;
                        has_room = has_room ||
                                   (target.phase == ejection_phase::active && known.in_flight < 3);
                    }
                }
                RC_ASSERT(ejected <= usable / 3);
                if (!base::is_ok(chosen)) {
                    RC_ASSERT(!has_room);
                    continue;
                }
                const std::uint32_t index = base::value_of(chosen);
                const std::string id = state.targets[index].info.id.value();
                RC_ASSERT(model[id].usable);
                RC_ASSERT(model[id].in_flight < 3U);
                on_start(state, index, now);
                ++model[id].in_flight;
                started.push_back({index, id});
            } else if (!started.empty()) {
                const std::size_t position = detail % started.size();
                const running ended = started[position];
                started.erase(started.begin() + static_cast<std::ptrdiff_t>(position));
                RC_ASSERT(state.targets[ended.index].info.id.value() == ended.id);
                on_end(state, ended.index, static_cast<outcome>(step % 4),
                       std::chrono::milliseconds(detail % 50), now);
                --model[ended.id].in_flight;
            }
            RC_ASSERT(state.targets.size() <= 16U);
        }
    }));
}
