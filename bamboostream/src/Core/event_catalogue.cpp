#include "bamboostream/src/Core/event_catalogue.h"

#include <array>

namespace bamboostream {

std::span<const event_kind> event_catalogue() {
    using namespace events;
    static constexpr std::array all = {
        started,
        stopping,
        stopped,
        listen_failed,
        ready,
        reloaded,
        settings_bad,
        log_lines_lost,
        member_joined,
        member_suspect,
        member_gone,
        member_leaving,
        self_suspect,
        platform_list_unavailable,
        backend_joined,
        backend_leaving,
        backend_down,
        backend_up,
        backend_loading,
        backend_restarted,
        backend_lapsed,
        backend_kept,
        domains_cordoned,
        backend_connection_lost,
        service_cut_off,
        service_reachable,
        backend_end_found,
        backend_rate_limit,
        rate_limit_malformed,
        server_load_malformed,
        server_slow,
        server_recovered,
        response_without_end,
        late_response,
        stream_end_ambiguous,
        request_body_refused,
        configuration_in_force,
        configuration_rejected,
        log_unavailable,
        log_available,
        ledger_replayed,
        ledger_append_failed,
        record_rejected,
        store_unavailable,
        store_available,
        view_stale,
        view_fresh,
        bound_too_short,
        store_reading,
        configuration_received,
        configuration_piece_dropped,
        generation_lost,
        stream_resumed,
        foreign_event_dropped,
        generation_cancelled,
        request_refused,
        bad_request,
        peer_frame_bad,
        request_ended,
        request_failed,
        attempt_failed,
        caller_left,
        request_sent,
        request_quarantined,
        request_released,
        quarantine_trial,
        request_tunneled,
        tunnel_requested,
        generation_moved,
        move_failed,
        evacuation_started,
        stream_not_continued,
        stream_taken_up,
        carriers_asked,
        move_not_possible,
        order_sent,
        order_refused,
        lease_won,
        lease_lost,
        fault_set,
    };
    return all;
}

std::string_view to_string(event_level level) {
    static constexpr std::array<std::string_view, 4> names = {"debug", "info", "warning", "error"};
    return names[static_cast<std::size_t>(level)];
}

} // namespace bamboostream
