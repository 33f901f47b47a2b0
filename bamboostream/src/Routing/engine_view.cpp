#include "bamboostream/src/Routing/engine_view.h"

#include <algorithm>
#include <utility>

namespace bamboostream {

namespace {

constexpr milliseconds history_length{5'000};
constexpr seconds prefix_retention{60};
constexpr std::size_t max_prefixes = 4096;
/// Differences up to this fraction of the capacity are ignored: rounding to blocks and the steps
/// between two progress reports cause them without any unknown generation.
constexpr double unattributed_tolerance = 0.06;

} // namespace

engine_view::engine_view(backend_id id, failure_domain_id domain)
    : id_(std::move(id)), domain_(std::move(domain)) {}

double engine_view::known_tokens_at(time_point moment) const {
    double held = 0.0;
    for (const sample& s : known_tokens_history_) {
        held = std::max(
            held, s.at <= moment + milliseconds(300) && s.at + milliseconds(300) >= moment ? s.held
                                                                                           : 0.0);
    }
    return held;
}

void engine_view::on_report(const engine_report& report, time_point now) {
    if (reported_ && report.preemptions >= preemptions_seen_) {
        new_preemptions_ += report.preemptions - preemptions_seen_;
    }
    preemptions_seen_ = report.preemptions;
    report_ = report;
    reported_ = true;
    // The report is compared with what this scheduler knew at the time that it describes. The
    // difference is memory of generations that others have scheduled (another scheduler during a
    // change of owner, an instance that is cut off), which must remain reserved.
    const double known_then = known_tokens_at(now - report.age);
    const double difference = report.used_tokens - known_then;
    const double tolerance = unattributed_tolerance * report.capacity_tokens;
    unattributed_tokens_ = difference > tolerance ? difference : 0.0;
}

void engine_view::rebuild(std::span<const memory_demand> demands, double expected_running,
                          time_point now) {
    forecast_.clear();
    for (const memory_demand& demand : demands) {
        forecast_.add(demand);
    }
    expected_running_ = expected_running;
    known_tokens_history_.push_back({now, forecast_.held()});
    while (!known_tokens_history_.empty() &&
           now - known_tokens_history_.front().at > history_length) {
        known_tokens_history_.pop_front();
    }
}

void engine_view::add(const memory_demand& demand) {
    forecast_.add(demand);
    expected_running_ += 1.0;
}

void engine_view::prefill_ended(std::uint32_t prompt_tokens) {
    prefill_in_flight_ -= std::min(prefill_in_flight_, prompt_tokens);
}

void engine_view::remember_prefix(std::uint64_t prefix, time_point now) {
    if (prefix == 0) {
        return;
    }
    if (prefixes_.size() >= max_prefixes) {
        std::erase_if(prefixes_,
                      [now](const auto& item) { return now - item.second > prefix_retention / 4; });
    }
    prefixes_[prefix] = now;
}

bool engine_view::may_have_prefix(std::uint64_t prefix, time_point now) const {
    const auto found = prefixes_.find(prefix);
    return prefix != 0 && found != prefixes_.end() && now - found->second <= prefix_retention;
}

double engine_view::room_in_batch() const {
    return report_.max_running - expected_running_;
}

std::uint64_t engine_view::take_new_preemptions() {
    return std::exchange(new_preemptions_, 0);
}

} // namespace bamboostream
