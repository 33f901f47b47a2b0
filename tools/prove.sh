#!/usr/bin/env bash
# Shows that the proofs can fail: switches one safeguard off at a time in a scratch copy, builds, and
# runs the test that stands for it. A row is good when the test fails without the safeguard.
#
# Usage: tools/prove.sh [--only REGEX]
set -uo pipefail
cd "$(dirname "$0")/.."
only=""; [ "${1:-}" = --only ] && only=$2
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git ls-files -co --exclude-standard | tar -cf - -T - | tar -xf - -C "$scratch"
cd "$scratch"
# A safeguard that is off may leave names unused.
sed -i 's/ -Werror//' cmake/BamboostreamTargets.cmake
cmake -S . -B build -G Ninja >/dev/null && ninja -C build >/dev/null || exit 1
bad=0
# name | file | text that is replaced | replacement | test (ctest pattern)
prove() {
  local name=$1 file=$2 from=$3 to=$4 test=$5
  [ -n "$only" ] && ! [[ $name =~ ^($only)$ ]] && return
  cp "$file" "$file.whole"
  FROM=$from TO=$to python3 - "$file" <<'P' || { echo "$name: text not found"; bad=1; mv "$file.whole" "$file"; return; }
import os, sys
s = open(sys.argv[1]).read()
if os.environ["FROM"] not in s: sys.exit(1)
open(sys.argv[1], "w").write(s.replace(os.environ["FROM"], os.environ["TO"], 1))
P
  if ninja -C build >build.log 2>&1; then
    if ctest --test-dir build -R "$test" >test.log 2>&1; then
      echo "$name: NOT PROVED, '$test' passes without it"; bad=1
    else
      echo "$name: red without it ($(grep -c 'Failed' test.log) failed lines)"
    fi
  else
    echo "$name: does not build without it"; tail -3 build.log; bad=1
  fi
  mv "$file.whole" "$file"; touch "$file"
}
s=bamboostream/src
prove sequencer $s/Streams/token_sequencer.h 'if (sequence < next_) {' 'if (false) {' 'engine_sends_foreign|exhaustive'
prove foreign_generation $s/Streams/token_sequencer.h 'if (generation != generation_) {' 'if (false) {' 'engine_sends_foreign|exhaustive'
prove silence_watch $s/Streams/relay.cpp 'if (!watchdog->ended && watchdog->stream != nullptr && silent) {' 'if (false) {' 'open_link_freezes'
prove link_replacement $s/Streams/relay.cpp 'if (refusals >= timing_.max_consecutive_refusals) {' 'if (true) {' 'link_stalled|answers_lost'
prove claim_before_dispatch $s/Ledger/claim_table.cpp 'return first_valid_claim(found->second) == &*own ? claim_status::won : claim_status::lost;' 'return claim_status::won;' 'interleaving|same_key_at_all'
prove late_void $s/Ledger/claim_table.cpp 'added.is_void = entry.kind == ledger_kind::void_claim;' 'added.is_void = false;' 'interleaving|void_before'
prove honest_not_run $s/Control/claim_service.cpp 'result.decision = claim_result::kind::unknown;
    result.reason = reason + "; an earlier' 'result.decision = claim_result::kind::not_run;
    result.reason = reason + "; an earlier' 'does_not_deny'
prove sticky_leaving $s/Membership/backend_table.cpp 'const bool sticky = r.facts.state == backend_state::leaving;' 'const bool sticky = false;' 'backend_table_test'
prove self_suspicion $s/Membership/member_table.cpp 'suspects_itself_ = many && now - failing_since_ < max_self_suspicion;' 'suspects_itself_ = false;' 'suspects_itself'
prove base_version $s/Configuration/configuration_state.cpp 'if (changed > submission->base) {' 'if (false) {' 'racing|conflict|configuration_property|configuration_state_test'
prove snapshot_hole $s/Configuration/configuration_state.cpp 'number_at(record, "as_of") < readable_from_' 'false' 'snapshot_older|configuration_property'
prove directory_lapse $s/Entry/instance.cpp 'co_await pause_for(directory_validity + directory_validity_margin);' 'for (const auto& context : traffic) { context->stop(); }' 'rolling_replacement|entry_drained'
prove handle_signature $s/Streams/resume_handle.cpp 'if (!equal_in_constant_time(signature, hmac_sha256(key->secret, payload))) {' 'if (false) {' 'bad_handle|any_text'
prove home_attach $s/Control/home_service.cpp 'if (held && !stale && !request.take_over) {' 'if (false) {' 'same_key_twice'
prove hold_back $s/Limits/pool_scheduler.cpp 'return engine.peak_with(demand, margin_sigmas_) <= engine.capacity() * capacity_share_;' 'return true;' 'holds_back|taken_over'
prove fencing_by_log_time $s/Placement/lease_table.cpp 'const bool expired = record.time - existing.renewed >= duration_.count();' 'const bool expired = true;' 'lease_table'
prove no_surplus_bytes $s/Http/http_connection.cpp 'complete() && unparsed_bytes_ == 0 && !writing_' 'complete() && !writing_' 'surplus_bytes'
prove caller_watched $s/Http/http_server.cpp 'if (ec && ec != asio::error::operation_aborted && on_disconnect_) {' 'if (false) {' 'work_for_a_caller'
prove id_sticky_leaving $s/Membership/backend_registry.cpp 'received.leaving = received.leaving || has_announced_leaving(backend);' '' 'backend_registry_test'
prove lapsed_entries_wait $s/Membership/backend_registry.cpp 'return store_away_ || (store_returned_ && now < *store_returned_ + return_grace);' 'return now == time_point{};' 'entry_removal'
prove newest_version_wins $s/Gateway/deployment_state.cpp 'if (table->configuration().version <= version_) {' 'if (table->configuration().version < 0) {' 'deployment_state_test|set_reader'
prove genuine_answers $s/Forwarding/forwarded_attempt.cpp 'if (!facts.authentic) {' 'if (!facts.authentic && false) {' 'misbehaving_backend'
prove fate_unknown_is_said $s/Forwarding/attempt_policy.cpp 'may_have_run = may_have_run || end != attempt_end::not_run;' '' 'attempt_decision|misbehaving_backend'
prove event_gap $s/Forwarding/event_splitter.cpp 'if (id && last_id_ && *id != *last_id_ + 1) {' 'if (false) {' 'broken_stream|event_split'
prove one_copy_a_target $s/Evacuation/evacuation_service.cpp 'if (!busy_targets_.contains(backend->id)) {' 'if (true) {' 'evacuation_test'
prove first_copy_used $s/Evacuation/evacuation_service.cpp 'if (source_gone) {' 'if (false) {' 'failed_step'
prove outlived_estimate $s/Forwarding/active_streams.cpp 'stream.output_tokens / 2);' 'std::int64_t{0});' 'move_plan_test'
prove gap_in_the_store platform/store_client.cpp 'if (response.status == 410) {' 'if (response.status == 9999) {' 'a_gap_in_the_history'
prove change_gap $s/Gateway/change_cursor.cpp 'if (previous > position_) {' 'if (false) {' 'change_cursor_test'
prove shutdown_waits $s/Gateway/gateway.cpp 'while (monotonic_now() < end &&' 'while (false &&' 'a_shutdown_answers'
prove budget_bound $s/Routing/window_budget.cpp 'if (static_cast<double>(a.spent.size()) + 1.0 > allowed) {' 'if (allowed < 0.0) {' 'window_budget_test'
prove early_answer $s/Http/http_connection.cpp 'const bool request_consumed = request_bytes_.size() <= max_reusable_request_bytes;' 'const bool request_consumed = true;' 'an_answer_before_the_body'
prove driver_takeover $s/Evacuation/evacuation_service.cpp 'take_over_delegated(monotonic_now());' '' 'the_next_owner_takes_over'
prove return_after_outage $s/Limits/retry_delay.cpp 'if (awaits_servers && request.caller_timeout) {' 'if (false) {' 'retry_delay_case'
prove store_pause_grows $s/Gateway/store_read_policy.cpp 'if (role == store_read_role::reader) {' 'if (true) {' 'store_pause'
prove workspace_rank $s/Forwarding/forwarded_call.cpp 'priority_ = workspace->priority.value_or(route_->priority);' '' 'workspace_s_rank'
prove log_flood $s/Core/log_limit.cpp 'if (bucket.tokens < 1.0) {' 'if (false) {' 'bounds_a_flood'
prove log_never_blocks $s/Core/event_log.cpp 'if (!stdout_writable() || write' 'if (write' 'a_stalled_reader'
prove removal_told $s/Gateway/change_cursor.h 'return next >= position_;' 'return false;' 'lapsed_in_an_outage|a_removal_without'
prove second_life $s/Membership/backend_registry.cpp 'backend.started_ms <= found->second;' 'true;' 'second_start'
prove old_life_heard_late $s/Membership/backend_registry.cpp 'if (known && backend.started_ms < found->second.backend.started_ms) {' 'if (false) {' 'second_start'
prove foreign_entries platform/platform_record_codec.cpp 'if (!entry || !is_valid_entry(key, *entry, why)) {' 'if (!entry) {' 'foreign_entry'
prove unreadable_neighbour $s/Gateway/deployment_state.cpp 'unreadable.emplace_back(record.key);' '' 'malformed_neighbour'
prove room_at_the_brim $s/Evacuation/move_plan.h 'double max_fill_when_busy = 0.65;' 'double max_fill_when_busy = 0.95;' 'room_is_kept'
prove substitutes_read $s/Gateway/store_read_policy.cpp 'return !is_covered(topic, order, self, times.max_view_age, now);' 'return false;' 'reading_duty|readers_turned_away'
prove old_views_count_as_old $s/Gateway/store_read_policy.cpp 'now - found->second <= max_age;' 'true;' 'reading_duty|learning_budget'
prove short_waits $s/Gateway/store_read_policy.cpp 'times.max_view_age, now) ? relaxed_wait : times.wait;' 'times.max_view_age, now) ? relaxed_wait : relaxed_wait;' 'only_one_proves|leaving_view|readers_turned_away'
prove older_list $s/Gateway/deployment_state.cpp '(position > entries_.position() || has_no_entries)' 'true' 'peer_list'
prove lapsed_is_not_listed $s/Membership/backend_registry.cpp 'if (!entry.lapsed) {' 'if (true) {' 'peer_list'
prove own_outage $s/Membership/backend_registry.h 'min_outage{1' 'min_outage{0' 'outage|an_outage_of_one_reader'
prove overtaken_list $s/Gateway/store_follower.cpp 'if (page.next < known && (!all || known_before <= page.next)) {' 'if (false) {' 'store_follower_test'
prove overtaken_page $s/Gateway/store_follower.cpp 'if (!all) {' 'if (false) {' 'store_follower_test'
prove target_leaves $s/Evacuation/evacuation_service.cpp 'if (!may_receive(target)) {
        log' 'if (false) {
        log' 'a_target_that_begins'
prove old_notice $s/Forwarding/forwarded_attempt.cpp 'if (!may_follow_move(notice, monotonic_now())) {' 'if (false) {' 'old_move'
prove late_tellings $s/Gateway/announcement_delay.cpp 'return difference - std::min(d.current_min, d.previous_min.value_or(d.current_min));' 'return milliseconds{0};' 'announcement_delay_test'
prove two_relays $s/Gateway/store_update_exchange.cpp 'first ? candidates.front() : candidates.back()' 'candidates.front()' 'lost_relay'
prove choice_counted_at_once $s/Gateway/owner_scheduler.cpp 'if (choice.engine && choice.result == admission_result::admit) {' 'if (false) {' 'counts_each_choice_at_once'
prove deputy $s/Gateway/owner_scheduler.cpp 'owners_per_service = 2' 'owners_per_service = 1' 'the_deputy_answers'
prove silent_owner $s/Gateway/owner_scheduler.cpp 'unresponsive_until_[owner] = now + silent_owner_pause;' '' 'the_deputy_answers'
prove leaving_engine_of_owner $s/Gateway/owner_scheduler.cpp '!fits || !forwarding_.registry.takes_work(engine->id)' '!fits' 'known_to_leave_is_not_taken'
prove version_of_owner_answer $s/Gateway/owner_scheduler.cpp '(request.version.empty() || engine->version == request.version)' 'true' 'of_the_owner_is_checked'
prove version_of_owner_choice $s/Forwarding/engine_choice.cpp 'return !request.version.empty() && engine->version != request.version;' 'return false;' 'of_the_owner_is_limited'
prove version_of_move_target $s/Evacuation/move_plan.cpp '!t.fits || fill > max_fill' 'fill > max_fill' 'evacuated_version|move_targets'
prove version_of_continuation $s/Forwarding/stream_continuation.cpp 'return !origin_ || origin_->allows(server);' 'return true;' 'resumed_version|notified_version'
prove ambiguous_origin $s/Forwarding/stream_origin_table.cpp 'found->second.ambiguous || found->second.origin != origin' 'false' 'two_origins'
prove origin_is_renewed $s/Gateway/stream_origin_exchange.cpp '        report_open_streams();' '' 'reported_again'
prove busy_target_again $s/Evacuation/evacuation_service.cpp 'busy_targets_.contains(target.id) || !may_receive' '!may_receive' 'never_shares_the_next_target'
prove failures_told $s/Gateway/owner_scheduler.cpp 'if (engine != nullptr) {' 'if (false && engine != nullptr) {' 'an_engine_that_fails_others'
prove handed_on $s/Gateway/configuration_distributor.cpp 'if (const auto outgoing_request = fetcher_.next(now)) {' 'if (const auto outgoing_request = fetcher_.next(now); outgoing_request && false) {' 'a_configuration_is_handed_on'
prove document_digest $s/Configuration/document_encoding.cpp '|| digest_of(out) != encoded.digest' '' 'damaged_encoding'
prove document_base $s/Configuration/document_encoding.cpp 'digest_of(base) != encoded.base_digest' 'false' 'damaged_encoding'
prove document_limit $s/Configuration/document_encoding.cpp 'if (size > max_document_bytes) {' 'if (false) {' 'damaged_encoding'
prove resumed_where_it_stopped $s/Gateway/document_fetcher.cpp 'out.request.offset = static_cast<std::uint32_t>(transfer_->received_bytes.size());' 'out.request.offset = 0;' 'goes_on_at_another_holder'
prove pieces_in_order $s/Gateway/document_fetcher.cpp 'if (piece.offset != t.received_bytes.size()) {' 'if (false) {' 'wrong_piece|a_late_piece'
prove whole_after_damage $s/Gateway/document_fetcher.cpp 'const bool is_wanted = !full_document_wanted_ || piece.base_digest == 0;' 'const bool is_wanted = true;' 'after_damage'
prove bulk_in_pieces $s/Gateway/document_transfer.h 'piece_bytes = 16 * 1024' 'piece_bytes = 16 * 1024 * 1024' 'nothing_waits_behind_it'
prove served_by_link $s/Gateway/document_provider.cpp 'active_requesters_.size() >= max_served_' 'false' 'encodes_once_and_serves'
prove encoded_once $s/Gateway/document_provider.cpp 'if (found != encodings_.end()) {' 'if (false) {' 'document_provider_test'
prove passed_on_in_part $s/Gateway/document_fetcher.cpp 'if (const auto partial = fetcher.partial_for(request)) {' 'if (const auto partial = fetcher.partial_for(request); partial && false) {' 'what_has_come_is_passed_on'
prove read_in_progress platform/store_client.cpp '        connection->expire_at(monotonic_now() + answer_timeout);
    } while' '    } while' 'large_document'
prove denied_by_old_table $s/Forwarding/forwarded_call.cpp 'while (refused && refused->depends_on_configuration &&' 'while (false && refused &&' 'late_configuration'
prove refused_version $s/Gateway/document_fetcher.cpp 'version <= rejected_version_) {' 'false) {' 'a_refused_version'
prove lists_by_pages $s/Gateway/store_update_exchange.cpp 'request.paged = true;' 'request.paged = false;' 'a_long_list_comes'
prove many_changes_untold $s/Gateway/store_update_exchange.cpp 'max_announced_changes = 512' 'max_announced_changes = 100000' 'a_long_list_comes'
prove few_read_at_a_start $s/Gateway/store_update_exchange.cpp 'return since < peer_wait_at_start || distributor_.is_fetching(now);' 'return false;' 'a_start_of_all_reads'
prove idle_while_waiting $s/Gateway/configuration_distributor.cpp 'paused ? now + paused_poll_period : fetcher_.due(now)' 'fetcher_.due(now)' 'waits_is_idle'
prove given_up_is_not_refused $s/Gateway/deployment_state.cpp 'dropped.notify_listeners(document_result::superseded);' 'dropped.notify_listeners(document_result::rejected);' 'set_reader'
prove members_made_up_for $s/Membership/member_table.cpp 'summary_differs_ = gossip.summary != 0 && gossip.summary != summary();' '' 'all_know_all_in_time'
prove large_owners $s/Core/rendezvous.h 'if (a.node->preferred != b.node->preferred) {' 'if (false) {' 'preferred_nodes_come_first'
prove sums_expire $s/Routing/load_table.cpp 'now - peer_reports_.front().at > peer_report_lifetime' 'false' 'sums_are_those|prefers_the_server'
prove cordon_newest_wins $s/Gateway/deployment_state.cpp 'if (peer_cordons.position > cordons_.position) {' 'if (true) {' 'cordon_words'
prove cordoned_not_usable $s/Membership/backend_registry.cpp 'return !backend.leaving && !cordoned_.contains(backend.failure_domain);' 'return !backend.leaving;' 'cordoned'
prove cordoned_engine_of_owner $s/Gateway/owner_scheduler.cpp '!forwarding_.registry.takes_work(engine->id)' 'engine->leaving' 'of_a_cordoned_domain'
prove cordons_told $s/Gateway/store_update_exchange.cpp 'news.cordoned = to_wire(state_.cordons().domains);' '' 'cordon_news|cordon_losses'
prove cordons_asked $s/Gateway/store_update_exchange.cpp 'co_await fetch_cordons(peer);' '' 'cordon_losses'
prove teller_without_cordons $s/Gateway/store_update_exchange.cpp 'if (documents_as_of && news.documents_sequence > 0) {' 'if (documents_as_of) {' 'a_teller_without_cordons'
prove not_back_into_cordon $s/Evacuation/evacuation_service.cpp 'last->copied || state_.registry.cordoned().contains(source.failure_domain);' 'last->copied;' 'does_not_go_back_into'
prove cold_part_of_owner $s/Limits/cold_start_limit.cpp 'owner_share = 0.5' 'owner_share = 1.2' 'cold_start_scenario'
prove cold_turns $s/Limits/cold_start_limit.cpp 'return sent < 1.0 && has_turn(server, own * turn_utilization, now);' 'return sent < 1.0;' 'cold_start_scenario'
prove cold_new_role $s/Limits/cold_start_limit.cpp 'now - held->second.since >= settling_time' 'true' 'cold_start_scenario'
prove cold_lost_sight $s/Limits/cold_start_limit.cpp 'settled && 2 * live_count_ > max_recent_instances()' 'settled' 'cold_start_scenario|cold_start_limit_test'
prove cold_new_instance $s/Limits/cold_start_limit.cpp 'if (!first_update_ || now - *first_update_ < settling_time) {' 'if (!first_update_) {' 'cold_start_scenario|cold_start_limit_test'
prove late_start_refused $s/Limits/engine_admission.cpp 'if (work.unread_tokens > 0 && request.objective > duration{} &&' 'if (false &&' 'admission'
prove memory_claims $s/Limits/engine_admission.cpp 'if (work.requests > 0 &&' 'if (false &&' 'admission'
prove any_engine_that_admits $s/Forwarding/engine_choice.cpp 'return check_engine(*engine) != admission_result::admit;' 'return false;' 'one_that_admits|admission_load'
prove return_after_overload $s/Limits/retry_delay.cpp 'if (request.overload <= transient_delay || !request.caller_timeout) {' 'if (true) {' 'retry_delay_case'
prove reading_learned $s/Routing/prefill_rates.cpp 'add(services_[service], sample, service_retention_tokens);' '' 'prefill_rate'
prove reading_told $s/Gateway/peer_frames.cpp 'if (entry.prefill_ms > 0) {' 'if (false) {' 'reading_is_told'
prove document_leaves_cordons $s/Configuration/configuration_state.cpp 'if (section == cordons_section &&' 'if (false &&' 'a_document_without_cordons'
prove cordoned_engines $s/Control/scheduling_service.cpp 'return backend.state == backend_state::live && !is_cordoned(backend);' 'return backend.state == backend_state::live;' 'cordon_test'
prove cordoned_replicas $s/Entry/service_handler.cpp 'return document->is_cordoned(replica.failure_domain);' 'return false;' 'cordon_test'
prove harmful_held $s/Forwarding/forwarded_call.cpp 'if (verdict == quarantine_verdict::free || trial_continues) {' 'if (true) {' 'ends_no_more_than_three'
prove harmful_withdrawn_not_sent_again $s/Forwarding/forwarded_call.cpp 'if (withdrawn_ || confirmed_harmful) {' 'if (false) {' 'is_ended_on_other_servers'
prove harmful_withdrawn $s/Limits/quarantine_registry.cpp 'call->withdraw(request);' '' 'is_ended_on_other_servers'
prove blame_needs_an_end $s/Forwarding/forwarded_attempt.cpp 'if (process == process_state::running || leaving) {' 'process = process_state::ended; if (leaving) {' 'lost_connection'
prove no_blame_for_leaving $s/Forwarding/forwarded_attempt.cpp 'if (process == process_state::running || leaving) {' 'if (process == process_state::running) {' 'lost_connection'
prove answer_clears $s/Forwarding/forwarded_call.cpp 'state_.quarantine.note_answer(digest(), monotonic_now());' '' 'lost_connection'
prove ends_explained $s/Limits/crash_attribution.cpp 'attributed_.insert(crash->server);' '' 'quarantine'
prove one_moment $s/Limits/crash_attribution.cpp 'it.last - it.first > rules_.common_cause_window' 'true' 'quarantine'
prove cleared_stays_cleared $s/Limits/request_quarantine.cpp 'to.*flag = to.*flag || from.*flag;' 'to.*flag = from.*flag;' 'quarantine_evidence'
prove evidence_bounded $s/Limits/request_quarantine.cpp 'if (!caller_full && evidence_.size() < rules_.max_evidence) {' 'if (true) {' 'of_one_caller_is_bounded'
prove evidence_announced $s/Control/quarantine_exchange.cpp 'evidence_added_.cancel();' '' 'ends_seen_by_three'
prove evidence_asked_for $s/Control/quarantine_exchange.cpp 'co_await request_evidence(peers[which]);' '' 'missed_the_announcement'
prove held_requests_stored $s/Gateway/quarantine_persister.cpp 'stored_[request] = evidence->size();' '' 'a_start_of_all_knows|two_instances_write'
prove held_requests_restored $s/Gateway/quarantine_persister.cpp 'restore_records(*records);' '' 'a_start_of_all_knows|were_killed'
prove state_outlives_calls $s/Gateway/gateway.cpp 'const std::shared_ptr<forwarding_state> shared_state = shared_forwarding;' 'forwarding_state* shared_state = &forwarding;' 'a_shutdown_ends_while'
prove single_ends_not_compared $s/Limits/request_quarantine.cpp 'if (is_suspicious(it)) {' 'if (true) {' 'of_one_server_is_not_compared'
prove failure_clears_nothing $s/Forwarding/forwarded_attempt.cpp 'if (facts.status >= 500) {' 'record_server_survived(); if (facts.status >= 500) {' 'failed_elsewhere'
prove answered_before $s/Limits/quarantine_registry.cpp 'evidence.cleared || recent_responses_.contains(evidence.request, now)' 'evidence.cleared' 'answered_just_before'
prove no_turns $s/Limits/crash_attribution.cpp 'const bool repeated = it.crashes.size() > rules_.servers && out.servers > 0;' 'const bool repeated = false;' 'quarantine\.|crash_attribution'
prove ending_server_asked_again $s/Contracts/server_check.cpp 'max_attempts = 3' 'max_attempts = 2' 'server_that_closes_connections'
prove explained_by_digest $s/Report/explanation.cpp 'if (own || of_content ||' 'if (own || (false && of_content) ||' 'explanation'
prove own_calls_held $s/Entry/service_handler.cpp 'if (!quarantine.any() || quarantine.verdict(digest()) == quarantine_verdict::free) {' 'if (true) {' 'harmful_call'
prove own_generations_held $s/Entry/completion_handler.cpp 'return quarantine.any() ? quarantine.verdict(digest()) : quarantine_verdict::free;' 'return quarantine_verdict::free;' 'harmful_call'
prove own_evidence_announced $s/Control/quarantine_service.cpp 'registry_.on_evidence([this](const crash_evidence& it) { exchange_.note(it); });' '' 'harmful_call'
prove own_evidence_heard $s/Entry/instance.cpp 'core.quarantine->hear(*frame->message.AsHarmReport());' '' 'harmful_call'
prove contested_held $s/Limits/crash_attribution.cpp 'it.verdict = quarantine_verdict::contested;' '' 'crash_attribution|quarantine\.'
prove suspected_one_at_a_time $s/Limits/crash_attribution.cpp 'it.verdict = quarantine_verdict::suspected;' '' 'crash_attribution|quarantine_load'
prove answered_explained $s/Limits/crash_attribution.cpp '(it.answered_before && has_rival(it, crash, min_rival_crashes(it)))' 'false' 'crash_attribution'
prove tried_not_explained $s/Limits/crash_attribution.cpp 'const bool tried = it.trials > 0 && !it.answered_before;' 'const bool tried = false;' 'crash_attribution'
prove cleared_is_answer $s/Limits/crash_attribution.cpp '|| crash.answered_before || crash.cleared;' '|| crash.answered_before;' 'crash_attribution'
prove only_suspect $s/Limits/crash_attribution.cpp '(!crash->shared && !it.popular)' '!it.popular' 'crash_attribution|quarantine_load'
prove settling $s/Limits/crash_attribution.cpp 'if (now_ >= settles_at(*crash)) {' 'if (true) {' 'may_arrive_later'
prove trial_order $s/Limits/crash_attribution.cpp 'std::max(first ? settled : it.last + rules_.trial_delay, it.deferred_until)' 'std::max(settled, it.deferred_until)' 'crash_attribution'
prove failed_trial_delays $s/Limits/crash_attribution.cpp 'if (it.trials > 0 && !it.popular) {' 'if (false) {' 'crash_attribution|not_due_in_time'
prove trial_sent $s/Control/trial_arbiter.cpp 'co_await arbiter->acquire(request, lease)' 'lease < duration{}' 'request_trial'
prove trial_confirms $s/Forwarding/forwarded_attempt.cpp 'evidence.on_trial = on_trial_;' '' 'ends_with_a_crash_confirms'
prove trial_returned $s/Forwarding/forwarded_call.cpp 'state_.trials->release(*digest_);' '' 'followed_by_another'
prove one_trial $s/Limits/trial_permits.cpp 'return permits_.try_emplace(request, permit{std::string(holder), now + lease}).second;' 'return permits_.try_emplace(request, permit{std::string(holder), now + lease}).second || true;' 'grants_one_trial|request_trial'
prove no_trial_of_confirmed $s/Control/trial_service.cpp '(known->verdict != quarantine_verdict::confirmed && now >= known->trial_due)' 'true' 'none_for_a_confirmed'
prove contested_goes_on $s/Limits/quarantine_registry.cpp 'if (verdict(request) == quarantine_verdict::confirmed) {' 'if (true) {' 'open_attempt_may_still'
prove answered_long_ago $s/Limits/quarantine_registry.cpp 'evidence.answered_before || recent_responses_.answered_before(evidence.request, now)' 'evidence.answered_before' 'answered_a_minute_ago'
prove popular_remembered $s/Limits/recent_responses.cpp 'if (place.responses > 0) {' 'if (false) {' 'recent_response'
prove marks_exchanged $s/Control/frames.cpp '(entry.marks() & answered_before_mark) != 0' 'false' 'marks_reach'
prove marks_stored $s/Gateway/quarantine_persister.cpp 'is_true(entry, "on_trial")' 'false' 'keep_the_marks|written_again'
prove tunnel_raced $s/Forwarding/backend_connection.cpp 'if (race->is_open() && !race->tunnel_failed) {' 'if (false) {' 'cut_off_instance|tunnel_test'
prove assumption_tried $s/Forwarding/backend_connection.cpp 'out.connection || state.reachability.is_found_cut_off(server.service, server.id)' 'true' 'only_assumed'
prove service_cut_off $s/Routing/reachability_tracker.cpp 'state.cut_off = true;' '' 'reachability_test'
prove assumed_first $s/Routing/reachability_tracker.cpp 'state.servers.try_emplace(other->id, server_state{now, {}, true});' '' 'reachability_test'
prove carrier_not_cut_off $s/Gateway/tunnel_server.cpp 'if (forwarding_.reachability.is_found_cut_off(server.service, id)) {' 'if (false) {' 'carries_no_tunnel'
prove other_domain_next $s/Routing/carrier_selector.cpp '(asked == search.asked_in.end() ? 0 : asked->second)' '0' 'carrier_selector'
prove cut_off_domain_last $s/Routing/carrier_selector.cpp '(known == belief::domain_cut_off ? cut_off_handicap : 0)' '0' 'carrier_selector'
prove search_widens $s/Routing/carrier_selector.cpp 'search.server_failures == 0 && search.rounds > 1' 'false' 'carrier_selector'
prove down_server_found $s/Routing/carrier_selector.cpp '++search.server_failures;' '' 'carrier_selector'
prove searches_shared $s/Routing/carrier_selector.cpp 'known != belief::connected && service.in_flight.contains(it.address)' 'false' 'carrier_selector'
prove failed_asked_again $s/Routing/carrier_selector.cpp 'search.asked_again < max_asked_again' 'false' 'carrier_selector'
prove connected_first $s/Routing/carrier_selector.cpp 'known == belief::domain_mixed || is_loaded' 'is_loaded' 'carrier_selector'
prove carrier_control $s/Gateway/tunnel_server.cpp 'if (!reached_since(server.service, began)) {' 'if (false) {' 'carrier_view'
prove tunnel_end_marked $s/Http/http_connection.cpp 'if (ec == asio::error::eof || tunnel_->malformed()) {' 'if (tunnel_->malformed()) {' 'carrier_end'
prove abandoned_reset $s/Http/http_connection.cpp 'if (any_sent_ && !complete()) {' 'if (false) {' 'given_up_request'
prove end_verified $s/Forwarding/forwarded_attempt.cpp 'if (state_.server_states != nullptr) {' 'if (false) {' 'lost_server'
prove control_server $s/Control/server_state_exchange.cpp 'if (control == process_state::running) {' 'if (true) {' 'lost_server'
prove popular_rivals $s/Limits/crash_attribution.cpp 'other.crashes.size() > (it.popular ? 0 : 1)' 'other.crashes.size() > 1' 'crash_attribution'
prove rivals_deferred $s/Limits/crash_attribution.cpp 'it.verdict = quarantine_verdict::deferred;' '' 'crash_attribution'
prove attempts_merged $s/Limits/request_quarantine.cpp 'to.attempts = attempts;' '' 'of_attempts_is_merged|is_served_although'
prove found_late $s/Limits/crash_attribution.cpp 'return std::max(crash.at, crash.found_at) + rules_.settling_time;' 'return crash.at + rules_.settling_time;' 'found_late'
prove unsettled_waits $s/Limits/crash_attribution.cpp 'it.known == certainty::unsettled' 'false' 'found_late'
prove deferred_sent $s/Control/trial_arbiter.cpp 'if (now >= limit && (deferred || state->popular)) {' 'if (false) {' 'delays_the_others'
prove foreign_answer_clears_nothing $s/Forwarding/forwarded_attempt.cpp 'if (facts.names_request) {' 'if (true) {' 'foreign_process'
prove ended_no_control $s/Control/server_state_exchange.cpp 'return refusing_.has_ended(it.id);' 'return false && refusing_.has_ended(it.id);' 'last_server'
prove late_end_found $s/Control/refusing_servers.cpp 'found->second.listeners.push_back(std::move(listener));' 'listener = nullptr;' 'lost_server_pair|simultaneous_crash'
prove examined_again $s/Control/server_state_exchange.cpp 'co_await recheck(co_await reaches_another(open.front().server.id));' '' 'lost_server_pair'
prove restart_is_an_end $s/Control/server_state_exchange.cpp 'if (start && *start > it.started) {' 'if (start && *start < 0) {' 'have_restarted'
prove partition_spread $s/Control/server_state_exchange.cpp 'state = co_await reaches_another(server) ? co_await checks_.check_now(address)' 'state = co_await reaches_another(server) ? process_state::ended' 'a_moment_after_the_others'
exit $bad
