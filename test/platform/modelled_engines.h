#pragma once

#include "standins/engine_model.h"

#include <cmath>
#include <cstdint>
#include <random>

namespace bamboostream::test {

/// KV cache capacity of a modelled engine, in tokens.
inline constexpr std::int64_t modelled_memory_tokens = 21'840;

/// Parameters of an engine that takes 7 ms for a decoding step and prefills 14 prompt tokens a
/// millisecond, 112 in one step.
inline standins::engine_parameters modelled_engine() {
    standins::engine_parameters p;
    p.blocks = static_cast<std::uint32_t>(modelled_memory_tokens / p.block_tokens);
    p.max_running = 24;
    p.step_base_ms = 7.0;
    p.step_per_sequence_ms = 0.12;
    p.prefill_ms_per_token = 1.0 / 14.0;
    p.prefill_chunk = 112;
    return p;
}

/// Samples a log-normal distribution with this mean; `spread` is the standard deviation of the
/// logarithm.
inline double sample_log_normal(double mean, double spread, std::mt19937_64& random) {
    const double mu = std::log(mean) - spread * spread / 2.0;
    return std::lognormal_distribution<double>(mu, spread)(random);
}

} // namespace bamboostream::test
