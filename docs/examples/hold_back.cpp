// Submits 100 requests and prints how many are scheduled before the predicted memory of the engine
// is full.

#include "bamboostream/Limits"

#include <fmt/format.h>

int main() {
    using namespace bamboostream;
    const time_point now{seconds(1)};
    pool_scheduler scheduler("standard", objective::stall_time, 1);
    scheduler.add_engine(backend_id("127.0.0.1:1"), failure_domain_id("norra"));
    engine_report report;
    report.capacity_tokens = 16'000;
    report.max_running = 64;
    scheduler.on_report("127.0.0.1:1", report, now);
    for (std::uint64_t id = 1; id <= 100; ++id) {
        scheduling_request request;
        request.id = id;
        request.workspace = "desk";
        request.prompt_tokens = 200;
        request.start_by = now + seconds(30);
        scheduler.submit(request, now);
    }
    const std::size_t placed = scheduler.dispatch(now).size();
    fmt::print("placed {} of 100, {} wait\n", placed, scheduler.waiting());
    return placed > 0 && scheduler.waiting() > 0 ? 0 : 1;
}
