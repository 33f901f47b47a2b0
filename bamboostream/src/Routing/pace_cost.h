#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Routing/backend_picker.h"
#include "bamboostream/src/Routing/load_table.h"
#include "bamboostream/src/Routing/server_pace.h"
#include "bamboostream/src/Routing/stream_demand.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace bamboostream {

/// Properties of a generation that determine what the pace of its engine means to its caller.
struct paced_request {
    /// Expected number of events.
    double events = 1.0;
    /// Zero if the caller has none.
    duration pause_objective{};
    /// Target time until the first event; zero if there is none.
    duration first_event_objective{};
    std::int64_t prompt_tokens = 0;
};

/// What the pace of engines adds to the cost of a choice, as fractions of a full engine. It is the
/// expected loss to callers at an engine:
///
/// - the risk that the generation itself has a late pause there;
/// - the risk that a long stream is late elsewhere because this generation takes the place of one
///   at an engine without risk: what makes brief generations go to slow engines;
/// - the risk that the prefill of the prompt makes one of the streams late that run there;
/// - a first event that isn't expected safely in time.
///
/// With equal paces all engines have the same cost. Slow engines cost more, but are never left out.
class pace_cost final : public placement_cost {
public:
    /// `typical` is the kind of stream that low-risk engines are kept for; nothing if unknown.
    pace_cost(const server_pace& pace, const service_id& service, const paced_request& request,
              std::optional<stream_demand::typical_stream> typical);

    /// Prepares for this number of engines.
    void reserve(std::size_t engines) { costs_.reserve(engines); }
    /// Determines the cost of one engine, given its `backend_hash`, its work in progress and the
    /// prompt tokens that it prefills in a millisecond. Engines must be added before the choice, in
    /// the order of the candidates if that is possible: lookups are fastest then.
    void add(const registered_backend& engine, std::uint64_t hash, const backend_work& work,
             double prefill_tokens_per_ms);
    double cost(const registered_backend& server) const override;

private:
    double cost_at(std::uint64_t hash, const backend_work& work,
                   double prefill_tokens_per_ms) const;
    /// The cost of the delay that the prefill causes to the streams that run at the engine.
    double crowding_cost(const server_pace::rated& typical, const backend_work& work,
                         double prefill_tokens_per_ms) const;

    const server_pace& pace_;
    const service_id& service_;
    paced_request request_;
    double prompt_tokens_;
    /// Per ms; zero if there is no objective.
    double inverse_first_event_objective_ = 0.0;
    std::optional<stream_demand::typical_stream> typical_;
    /// The request has the same objective for pauses as the typical stream.
    bool same_objective_ = false;
    struct entry {
        const registered_backend* engine;
        double cost;
    };
    std::vector<entry> costs_;
    /// Position after the latest lookup: the picker asks for the engines in order.
    mutable std::size_t next_ = 0;
};

} // namespace bamboostream
