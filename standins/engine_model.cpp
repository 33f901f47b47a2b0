#include "standins/engine_model.h"

#include <algorithm>
#include <utility>

namespace bamboostream::standins {

namespace {
constexpr std::size_t max_cache_events = 4096;
/// Minimum time between two recorded snapshots.
constexpr milliseconds history_interval{20};
} // namespace

engine_model::engine_model(engine_parameters parameters)
    : parameters_(parameters), free_blocks_(parameters.blocks) {}

std::uint32_t engine_model::blocks_for(std::uint32_t tokens) const {
    return (tokens + parameters_.block_tokens - 1) / parameters_.block_tokens;
}

void engine_model::submit(const model_job& job, time_point now) {
    sequence s;
    s.job = job;
    s.to_prefill = std::max(job.prompt_tokens, 1U);
    s.order = next_order_++;
    if (job.carried_tokens > 0) {
        waiting_.push_front(s);
    } else {
        waiting_.push_back(s);
    }
    if (!stepping_) {
        begin_step(now);
    }
}

void engine_model::release(sequence& s) {
    free_blocks_ += s.blocks;
    s.blocks = 0;
}

bool engine_model::cancel(std::uint64_t id) {
    const auto same = [id](const sequence& s) { return s.job.id == id; };
    const auto waits = std::find_if(waiting_.begin(), waiting_.end(), same);
    if (waits != waiting_.end()) {
        waiting_.erase(waits);
        return true;
    }
    const auto runs = std::find_if(running_.begin(), running_.end(), same);
    if (runs == running_.end()) {
        return false;
    }
    release(*runs);
    running_.erase(runs);
    return true;
}

bool engine_model::touch_prefix(const model_job& job) {
    if (job.prefix == 0) {
        return false;
    }
    const auto found = std::find(prefixes_.begin(), prefixes_.end(), job.prefix);
    const bool hit = found != prefixes_.end();
    if (hit) {
        prefixes_.erase(found);
    } else {
        cache_events_.push_back({next_cache_event_++, job.prefix, true});
    }
    prefixes_.push_back(job.prefix);
    if (prefixes_.size() > parameters_.cached_prefixes) {
        cache_events_.push_back({next_cache_event_++, prefixes_.front(), false});
        prefixes_.pop_front();
    }
    while (cache_events_.size() > max_cache_events) {
        cache_events_.pop_front();
    }
    return hit;
}

void engine_model::admit_waiting() {
    // By priority, highest first, then by arrival.
    std::stable_sort(waiting_.begin(), waiting_.end(), [](const sequence& a, const sequence& b) {
        return a.job.priority != b.job.priority ? a.job.priority > b.job.priority
                                                : a.order < b.order;
    });
    while (!waiting_.empty() && running_.size() < parameters_.max_running) {
        sequence& s = waiting_.front();
        const std::uint32_t need = blocks_for(s.job.prompt_tokens + s.produced + 1);
        if (need > free_blocks_) {
            return;
        }
        s.blocks = need;
        free_blocks_ -= need;
        // In `wait` mode a preempted generation that has produced tokens keeps its cache.
        const bool cache_kept = parameters_.mode == preemption_mode::wait && s.produced > 0;
        s.to_prefill = cache_kept ? 0 : std::max(s.job.prompt_tokens + s.produced, 1U);
        if (touch_prefix(s.job) && s.to_prefill > 0) {
            s.to_prefill -= std::min(s.to_prefill - 1, s.job.prefix_tokens);
        }
        s.to_prefill -= std::min(s.to_prefill, std::exchange(s.job.carried_tokens, 0));
        running_.push_back(s);
        waiting_.pop_front();
    }
}

void engine_model::begin_step(time_point now) {
    admit_waiting();
    if (running_.empty()) {
        stepping_ = false;
        record(now);
        return;
    }
    std::uint32_t chunk = parameters_.prefill_chunk;
    std::uint32_t prefilled = 0;
    std::uint32_t decoding = 0;
    for (sequence& s : running_) {
        if (s.to_prefill == 0) {
            ++decoding;
            continue;
        }
        const std::uint32_t part = std::min(chunk, s.to_prefill);
        s.to_prefill -= part;
        chunk -= part;
        prefilled += part;
    }
    last_step_ms_ = parameters_.slowness *
                    (parameters_.step_base_ms + parameters_.step_per_sequence_ms * decoding +
                     parameters_.prefill_ms_per_token * prefilled);
    stepping_ = true;
    step_end_ = now + from_milliseconds(last_step_ms_);
    record(now);
}

void engine_model::preempt(std::size_t index, const sink& events) {
    sequence s = running_[index];
    running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(index));
    release(s);
    ++preemptions_;
    events({s.job.id, model_event::kind::preempted, s.produced, step_end_});
    waiting_.push_front(s);
}

/// Allocates a block for the next token of `running_[index]` if it needs one, preempting sequences
/// until one is free. False if the sequence itself was preempted.
bool engine_model::grow(std::size_t index, const sink& events) {
    const std::uint64_t id = running_[index].job.id;
    while (true) {
        const auto self = std::find_if(running_.begin(), running_.end(),
                                       [id](const sequence& s) { return s.job.id == id; });
        if (self == running_.end()) {
            return false;
        }
        const std::uint32_t need = blocks_for(self->job.prompt_tokens + self->produced + 1);
        if (need <= self->blocks) {
            return true;
        }
        if (free_blocks_ > 0) {
            --free_blocks_;
            ++self->blocks;
            continue;
        }
        // Preempts the lowest priority, and among equals the latest arrival.
        const auto victim = std::min_element(
            running_.begin(), running_.end(), [](const sequence& a, const sequence& b) {
                return a.job.priority != b.job.priority ? a.job.priority < b.job.priority
                                                        : a.order > b.order;
            });
        preempt(static_cast<std::size_t>(victim - running_.begin()), events);
    }
}

void engine_model::end_step(const sink& events) {
    std::vector<std::uint64_t> ready;
    for (const sequence& s : running_) {
        if (s.to_prefill == 0) {
            ready.push_back(s.job.id);
        }
    }
    for (const std::uint64_t id : ready) {
        auto self = std::find_if(running_.begin(), running_.end(),
                                 [id](const sequence& s) { return s.job.id == id; });
        if (self == running_.end()) {
            continue;
        }
        if (!grow(static_cast<std::size_t>(self - running_.begin()), events)) {
            continue;
        }
        self = std::find_if(running_.begin(), running_.end(),
                            [id](const sequence& s) { return s.job.id == id; });
        events({id, model_event::kind::token, self->produced, step_end_});
        ++tokens_served_;
        if (++self->produced >= self->job.output_tokens) {
            release(*self);
            running_.erase(self);
            events({id, model_event::kind::finished, 0, step_end_});
        }
    }
}

void engine_model::advance(time_point now, const sink& events) {
    while (stepping_ && step_end_ <= now) {
        end_step(events);
        begin_step(step_end_);
    }
}

std::optional<time_point> engine_model::next_step_end() const {
    return stepping_ ? std::optional(step_end_) : std::nullopt;
}

engine_report engine_model::report_now() const {
    engine_report r;
    r.capacity_tokens = static_cast<double>(parameters_.blocks) * parameters_.block_tokens;
    r.used_tokens =
        static_cast<double>(parameters_.blocks - free_blocks_) * parameters_.block_tokens;
    r.running = static_cast<std::uint32_t>(running_.size());
    r.waiting = static_cast<std::uint32_t>(waiting_.size());
    r.max_running = parameters_.max_running;
    r.preemptions = preemptions_;
    r.step_ms = last_step_ms_;
    return r;
}

void engine_model::record(time_point at) {
    if (!history_.empty() && at - history_.back().at < history_interval) {
        return;
    }
    history_.push_back({at, report_now()});
    while (history_.size() > 2 && at - history_[1].at > parameters_.report_lag) {
        history_.pop_front();
    }
}

void engine_model::set_report_frozen(bool frozen, time_point now) {
    frozen_report_ = {now, report(now)};
    frozen_ = frozen;
}

engine_report engine_model::report(time_point now) const {
    if (frozen_) {
        return frozen_report_.report;
    }
    const snapshot* seen = nullptr;
    for (const snapshot& s : history_) {
        if (seen == nullptr || s.at + parameters_.report_lag <= now) {
            seen = &s;
        }
    }
    engine_report out = seen == nullptr ? report_now() : seen->report;
    out.age = seen == nullptr ? milliseconds(0)
                              : std::chrono::duration_cast<milliseconds>(
                                    std::max<duration>(now - seen->at, parameters_.report_lag));
    return out;
}

} // namespace bamboostream::standins
