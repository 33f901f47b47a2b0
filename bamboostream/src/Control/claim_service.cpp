#include "bamboostream/src/Control/claim_service.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Control/frames.h"
#include "bamboostream/src/Core/digest.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Core/log_exception.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>

namespace bamboostream {

namespace asio = boost::asio;

namespace {
const std::string stream_name = "ledger";
constexpr milliseconds query_timeout{500};
constexpr milliseconds query_pause{100};
constexpr std::size_t max_entries_per_record = 2'000;
constexpr std::size_t max_queued_entries = 20'000;
constexpr char separator = '\x1f';
/// Maximum clock skew between the instances of a deployment.
constexpr milliseconds clock_skew{1'000};
/// The membership keeps failed members for a minute; a call with a key older than this may have
/// been sent by an instance that is no longer in the table.
constexpr milliseconds gone_member_retention{50'000};
} // namespace

claim_service::claim_service(asio::io_context& context, log_service& log,
                             membership_service& membership, peer_links& links, timing times)
    : context_(context), log_(log), membership_(membership), links_(links), times_(times),
      queue_filled_(context) {}

void claim_service::start() {
    asio::co_spawn(context_, tail_loop(), log_exception);
    asio::co_spawn(context_, append_loop(), log_exception);
}

asio::awaitable<void> claim_service::tail_loop() {
    while (true) {
        log_failure why;
        const milliseconds wait = replayed_ ? times_.poll_wait : milliseconds(0);
        const auto page = co_await log_.read(stream_name, table_.next_offset(), wait, why);
        if (!page) {
            log_is_down_ = true;
            co_await pause_for(times_.retry_pause);
            continue;
        }
        log_is_down_ = false;
        // If records were removed before they were read here, calls with keys older than the first
        // available record can't be decided; with no record available, all keys up to now.
        const wall_time oldest = page->records.empty() ? wall_now() : page->records.front().time;
        table_.note_first_offset(page->first_offset, oldest);
        for (const log_record& record : page->records) {
            table_.apply(record);
        }
        if (!replayed_ && table_.next_offset() >= page->next_offset) {
            replayed_ = true;
            log_event(events::ledger_replayed, "calls={} next_offset={}", table_.size(),
                      table_.next_offset());
        }
        const wall_time keep_from =
            wall_now() - (times_.window + 2 * times_.clock_tolerance).count();
        table_.prune_before(keep_from);
        std::erase_if(own_, [keep_from](const auto& item) { return item.second.at < keep_from; });
        std::erase_if(claims_of_call_, [this](const auto& item) {
            return std::none_of(item.second.begin(), item.second.end(),
                                [this](const auto& claim) { return own_.contains(claim); });
        });
        notify_readers();
    }
}

void claim_service::notify_readers() {
    for (const auto& reader : readers_) {
        reader->cancel();
    }
    readers_.clear();
}

asio::awaitable<bool> claim_service::wait_for_log_update(time_point until) {
    if (monotonic_now() >= until) {
        co_return false;
    }
    auto timer = std::make_shared<asio::steady_timer>(context_);
    readers_.push_back(timer);
    co_await wait_on(*timer, until);
    co_return monotonic_now() < until;
}

milliseconds claim_service::append_period() const {
    const auto instances = static_cast<int>(membership_.members().usable().size());
    return times_.append_interval_per_instance * std::max(instances, 1);
}

void claim_service::enqueue(ledger_entry entry) {
    queue_.push_back(std::move(entry));
    queue_filled_.cancel();
}

/// Group commit: all entries queued since the last append go into one record. The pause between
/// appends grows with the number of instances, so that their total stays within a fixed part of the
/// log's append rate.
asio::awaitable<void> claim_service::append_loop() {
    while (true) {
        if (queue_.empty()) {
            co_await wait_on(queue_filled_, time_point::max());
            continue;
        }
        const std::size_t count = std::min(queue_.size(), max_entries_per_record);
        std::vector<ledger_entry> group(
            std::make_move_iterator(queue_.begin()),
            std::make_move_iterator(queue_.begin() + static_cast<std::ptrdiff_t>(count)));
        queue_.erase(queue_.begin(), queue_.begin() + static_cast<std::ptrdiff_t>(count));
        const time_point started = monotonic_now();
        log_failure why;
        ++appends_;
        const auto offset = co_await log_.append(stream_name, encode_ledger_record(group), why);
        if (!offset) {
            log_event(events::ledger_append_failed, "entries={} reason={}", group.size(), why.text);
            for (ledger_entry& entry : group) {
                const bool is_claim = entry.kind == ledger_kind::claim;
                if (is_claim && why.code == log_error::not_appended) {
                    rejected_claims_[entry.claim] = true;
                } else if (!is_claim && queue_.size() < max_queued_entries) {
                    // Outcomes and voids are retried until the log has them; duplicates are
                    // harmless.
                    queue_.push_back(std::move(entry));
                }
            }
            notify_readers();
            co_await pause_for(times_.retry_pause);
        }
        const duration used = monotonic_now() - started;
        if (used < append_period()) {
            co_await pause_for(append_period() - used);
        }
    }
}

/// Whether the records that would show that a call has run may have been removed.
bool claim_service::is_too_old(std::string_view key) const {
    const wall_time made = uuid_v7_time(key);
    return made < wall_now() - times_.window.count() || made < table_.horizon();
}

asio::awaitable<claim_result> claim_service::claim(std::string workspace, std::string key,
                                                   std::string call_digest, time_point deadline) {
    if (is_too_old(key)) {
        claim_result result;
        result.reason = "the key is too old to know whether its call has run";
        co_return result;
    }
    while (true) {
        const call_view known = table_.view(workspace, key);
        const bool reused = known.state != call_state::unclaimed && !known.call_digest.empty() &&
                            known.call_digest != call_digest;
        if (reused) {
            claim_result result;
            result.decision = claim_result::kind::key_reused;
            result.reason = "the key was used for another call";
            co_return result;
        }
        // With a clock that is ahead of this one, another instance may have accepted the key.
        const bool lies_in_future = uuid_v7_time(key) > wall_now() + times_.clock_tolerance.count();
        if (lies_in_future && known.state == call_state::unclaimed) {
            co_return co_await confirm_not_run(workspace, key, "the key's time lies in the future");
        }
        std::optional<claim_result> settled;
        if (known.state == call_state::unclaimed) {
            settled = co_await place_claim(workspace, key, call_digest, deadline);
        } else {
            settled = co_await resolve_claim(workspace, key, deadline);
        }
        if (settled) {
            co_return *settled;
        }
    }
}

/// Appends a claim of this instance and waits until it can be read back. Returns nothing if another
/// claim came first or this one has been voided.
asio::awaitable<std::optional<claim_result>> claim_service::place_claim(std::string workspace,
                                                                        std::string key,
                                                                        std::string call_digest,
                                                                        time_point deadline) {
    if (!replayed_ || log_is_down_) {
        co_return co_await confirm_not_run(workspace, key, "the ledger's log is unavailable");
    }
    ledger_entry entry;
    entry.kind = ledger_kind::claim;
    entry.workspace = workspace;
    entry.key = key;
    entry.claim = random_id();
    entry.claimant = membership_.members().self().id;
    entry.call_digest = std::move(call_digest);
    const std::string claim = entry.claim;
    own_[claim] = {claim_state::pending, 0, {}, wall_now()};
    claims_of_call_[workspace + separator + key].push_back(claim);
    ++claims_;
    enqueue(std::move(entry));
    while (true) {
        const claim_status verdict = table_.check_claim(workspace, key, claim);
        if (verdict == claim_status::won && monotonic_now() < deadline) {
            own_[claim].state = claim_state::dispatched;
            claim_result result;
            result.decision = claim_result::kind::dispatch;
            result.claim = claim;
            co_return result;
        }
        if (verdict == claim_status::lost) {
            abandon(workspace, key, claim);
            co_return std::nullopt;
        }
        bool given_up = rejected_claims_.erase(claim) > 0;
        if (!given_up) {
            given_up = !co_await wait_for_log_update(deadline);
        }
        if (given_up) {
            // The call was not sent and never will be under this claim, whether or not the claim
            // reaches the log. The void releases the key for a later attempt.
            abandon(workspace, key, claim);
            co_return co_await confirm_not_run(workspace, key,
                                               "the claim could not be made certain in time");
        }
    }
}

/// This request sent nothing, but another one with the same key may have, or may yet, through an
/// instance whose records can't be read now or through this one. Returns `not_run` only if every
/// instance that could have sent the call is reachable and confirms that it did not and will not
/// under any claim it has made, otherwise `unknown`.
asio::awaitable<claim_result> claim_service::confirm_not_run(std::string workspace, std::string key,
                                                             std::string reason) {
    claim_result result;
    result.decision = claim_result::kind::unknown;
    result.reason = reason + "; another request with this key may run or have run";
    const wall_time made = uuid_v7_time(key) - clock_skew.count();
    const member_table& members = membership_.members();
    const auto is_confirmed_here = [&] {
        return has_only_abandoned_claims(workspace, key) &&
               table_.view(workspace, key).state == call_state::unclaimed;
    };
    bool all_confirmed = members.self().id.start_stamp < made &&
                         wall_now() - made < gone_member_retention.count() && is_confirmed_here();
    for (const std::string& address : members.all_addresses()) {
        const auto peer = members.find(address);
        if (!all_confirmed || !peer || peer->id.start_stamp > made) {
            all_confirmed = false;
            break;
        }
        wire::LedgerQueryT query;
        query.workspace = workspace;
        query.key = key;
        link_failure why;
        const auto reply =
            co_await links_.call(address, make_frame(std::move(query)), query_timeout, why);
        const bool answered = reply && reply->message.type == wire::Message::LedgerReply;
        all_confirmed = answered && reply->message.AsLedgerReply()->abandoned;
    }
    // Claims may have been made or read meanwhile.
    if (all_confirmed && is_confirmed_here()) {
        result.decision = claim_result::kind::not_run;
        result.reason = reason;
    }
    co_return result;
}

bool claim_service::has_only_abandoned_claims(const std::string& workspace,
                                              const std::string& key) const {
    const auto claims = claims_of_call_.find(workspace + separator + key);
    return claims == claims_of_call_.end() ||
           std::all_of(claims->second.begin(), claims->second.end(), [this](const auto& claim) {
               const auto found = own_.find(claim);
               return found == own_.end() || found->second.state == claim_state::abandoned;
           });
}

/// Finds the outcome of a claim that another request made, from the log or from the claimant, which
/// may be ahead of the log. Returns nothing if that claim has been voided, so that a new one can be
/// made.
asio::awaitable<std::optional<claim_result>>
claim_service::resolve_claim(std::string workspace, std::string key, time_point deadline) {
    claim_result result;
    result.decision = claim_result::kind::unknown;
    while (true) {
        const call_view view = table_.view(workspace, key);
        if (view.state == call_state::unclaimed) {
            co_return std::nullopt;
        }
        if (view.state == call_state::decided) {
            result.decision = claim_result::kind::decided;
            result.status = view.status;
            result.body = view.body;
            co_return result;
        }
        const claimant_report answer = co_await ask_claimant(workspace, key, view);
        if (answer.state == claim_state::decided) {
            result.decision = claim_result::kind::decided;
            result.status = answer.status;
            result.body = answer.body;
            co_return result;
        }
        if (answer.state == claim_state::unknown) {
            result.reason =
                "the call was sent and its answer, or the instance that sent it, is lost";
            co_return result;
        }
        if (monotonic_now() + query_pause >= deadline) {
            result.reason = "the call is still running or its instance can't be reached";
            co_return result;
        }
        // The call is running, or the claim was abandoned and its void is not yet in the log.
        co_await pause_for(query_pause);
    }
}

/// Asks the claimant for the state of a claim. If the claimant is gone for good, the result is
/// `unknown` and stays so; if it does not answer now, the call counts as still running.
asio::awaitable<claim_service::claimant_report>
claim_service::ask_claimant(std::string workspace, std::string key, call_view view) {
    claimant_report report;
    const auto own = own_.find(view.claim);
    if (own != own_.end()) {
        co_return claimant_report{own->second.state, own->second.status, own->second.body};
    }
    const auto peer = membership_.members().find(view.claimant.address);
    const bool replaced = peer && peer->id.start_stamp > view.claimant.start_stamp;
    if (!peer || replaced || peer->state == liveness::gone ||
        view.claimant == membership_.members().self().id) {
        report.state = claim_state::unknown;
        co_return report;
    }
    wire::LedgerQueryT query;
    query.workspace = std::move(workspace);
    query.key = std::move(key);
    query.claim = view.claim;
    link_failure why;
    const auto reply = co_await links_.call(view.claimant.address, make_frame(std::move(query)),
                                            query_timeout, why);
    if (!reply || reply->message.type != wire::Message::LedgerReply) {
        co_return report;
    }
    const wire::LedgerReplyT& answer = *reply->message.AsLedgerReply();
    report.state = answer.decided     ? claim_state::decided
                   : answer.abandoned ? claim_state::abandoned
                   : answer.running   ? claim_state::dispatched
                                      : claim_state::unknown;
    report.status = answer.status;
    report.body = answer.body;
    co_return report;
}

/// Reports the state of the given claim. If the query contains only a key, reports "abandoned" if
/// this instance has sent nothing for it and none of its claims may still be dispatched.
asio::awaitable<std::unique_ptr<wire::FrameT>>
claim_service::handle_query(const wire::LedgerQueryT& query) {
    wire::LedgerReplyT reply;
    if (query.claim.empty()) {
        reply.abandoned = has_only_abandoned_claims(query.workspace, query.key);
        co_return make_reply(std::move(reply));
    }
    const auto found = own_.find(query.claim);
    if (found != own_.end()) {
        const own_claim& own = found->second;
        reply.running = own.state == claim_state::pending || own.state == claim_state::dispatched;
        reply.abandoned = own.state == claim_state::abandoned;
        reply.decided = own.state == claim_state::decided;
        reply.status = own.status;
        reply.body = own.body;
    }
    co_return make_reply(std::move(reply));
}

void claim_service::decided(const std::string& workspace, const std::string& key,
                            const std::string& claim, int status, const std::string& body) {
    own_[claim] = {claim_state::decided, status, body, wall_now()};
    ledger_entry entry;
    entry.kind = ledger_kind::outcome;
    entry.workspace = workspace;
    entry.key = key;
    entry.claim = claim;
    entry.status = status;
    entry.body = body;
    enqueue(std::move(entry));
}

void claim_service::mark_unknown(const std::string& claim) {
    own_[claim].state = claim_state::unknown;
}

void claim_service::abandon(const std::string& workspace, const std::string& key,
                            const std::string& claim) {
    own_[claim].state = claim_state::abandoned;
    own_[claim].at = wall_now();
    ledger_entry entry;
    entry.kind = ledger_kind::void_claim;
    entry.workspace = workspace;
    entry.key = key;
    entry.claim = claim;
    enqueue(std::move(entry));
}

} // namespace bamboostream
