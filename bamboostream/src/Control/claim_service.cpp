#include "bamboostream/src/Control/claim_service.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Control/frames.h"
#include "bamboostream/src/Core/digest.h"
#include "bamboostream/src/Core/event_log.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace bamboostream {

namespace asio = boost::asio;

namespace {
const std::string stream_name = "ledger";
constexpr milliseconds query_timeout{500};
constexpr milliseconds query_pause{100};
constexpr std::size_t most_entries_a_record = 2'000;
constexpr std::size_t most_queued = 20'000;
constexpr char separator = '\x1f';
/// Deployments keep clocks this close to each other.
constexpr milliseconds clock_skew{1'000};
/// Members that died are remembered for a minute; keys older than this may have been sent by an
/// instance that nobody remembers.
constexpr milliseconds gone_remembered{50'000};
} // namespace

claim_service::claim_service(asio::io_context& context, log_service& log,
                             membership_service& membership, link_hub& links, timing times)
    : context_(context), log_(log), membership_(membership), links_(links), times_(times),
      queue_filled_(context) {}

void claim_service::start() {
    asio::co_spawn(context_, tail_loop(), asio::detached);
    asio::co_spawn(context_, append_loop(), asio::detached);
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
        // When nothing is left to read, every earlier key is beyond judgement.
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
        table_.forget_before(keep_from);
        std::erase_if(own_, [keep_from](const auto& item) { return item.second.at < keep_from; });
        std::erase_if(last_claim_,
                      [this](const auto& item) { return !own_.contains(item.second); });
        wake_readers();
    }
}

void claim_service::wake_readers() {
    for (const auto& reader : readers_) {
        reader->cancel();
    }
    readers_.clear();
}

asio::awaitable<bool> claim_service::wait_for_news(time_point until) {
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
    return times_.append_share * std::max(instances, 1);
}

void claim_service::enqueue(ledger_entry entry) {
    queue_.push_back(std::move(entry));
    queue_filled_.cancel();
}

/// Group commit: everything that gathered since the last append goes into one record. The pause
/// between appends grows with the number of instances, so that together they keep to a share of
/// what the log takes.
asio::awaitable<void> claim_service::append_loop() {
    while (true) {
        if (queue_.empty()) {
            co_await wait_on(queue_filled_, time_point::max());
            continue;
        }
        const std::size_t count = std::min(queue_.size(), most_entries_a_record);
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
                    refused_[entry.claim] = true;
                } else if (!is_claim && queue_.size() < most_queued) {
                    // Outcomes and voids are repeated until the log has them; twice is harmless.
                    queue_.push_back(std::move(entry));
                }
            }
            wake_readers();
            co_await pause_for(times_.retry_pause);
        }
        const duration used = monotonic_now() - started;
        if (used < append_period()) {
            co_await pause_for(append_period() - used);
        }
    }
}

std::optional<claim_result> claim_service::refuse_by_age(std::string_view key) const {
    const wall_time made = uuid_v7_time(key);
    const wall_time now = wall_now();
    claim_result result;
    if (made > now + times_.clock_tolerance.count()) {
        result.decision = claim_result::kind::not_run;
        result.reason = "the key's time lies in the future";
        return result;
    }
    if (made < now - times_.window.count() || made < table_.horizon()) {
        // The records that would tell may have been dropped, so "not run" could be a lie.
        result.decision = claim_result::kind::unknown;
        result.reason = "the key is too old to know whether its call has run";
        return result;
    }
    return std::nullopt;
}

asio::awaitable<claim_result> claim_service::claim(std::string workspace, std::string key,
                                                   std::string call_digest, time_point deadline) {
    if (auto refused = refuse_by_age(key)) {
        co_return *refused;
    }
    while (true) {
        const call_view known = table_.view(workspace, key);
        const bool reused = known.standing != call_standing::unclaimed &&
                            !known.call_digest.empty() && known.call_digest != call_digest;
        if (reused) {
            claim_result result;
            result.decision = claim_result::kind::key_reused;
            result.reason = "the key was used for another call";
            co_return result;
        }
        std::optional<claim_result> settled;
        if (known.standing == call_standing::unclaimed) {
            settled = co_await compete(workspace, key, call_digest, deadline);
        } else {
            settled = co_await learn_from_claimant(workspace, key, deadline);
        }
        if (settled) {
            co_return *settled;
        }
    }
}

/// Makes a claim of this instance's own and waits for the log's word on it. Nothing when another
/// claim came first, or when this one is void by now.
asio::awaitable<std::optional<claim_result>> claim_service::compete(std::string workspace,
                                                                    std::string key,
                                                                    std::string call_digest,
                                                                    time_point deadline) {
    if (!replayed_ || log_is_down_) {
        co_return co_await say_not_run(workspace, key, "the ledger's log is unavailable");
    }
    ledger_entry entry;
    entry.kind = ledger_kind::claim;
    entry.workspace = workspace;
    entry.key = key;
    entry.claim = random_id();
    entry.claimant = membership_.members().self().id;
    entry.call_digest = std::move(call_digest);
    const std::string claim = entry.claim;
    own_[claim] = {own_state::pending, 0, {}, wall_now()};
    last_claim_[workspace + separator + key] = claim;
    ++claims_;
    enqueue(std::move(entry));
    while (true) {
        const claim_verdict verdict = table_.judge(workspace, key, claim);
        if (verdict == claim_verdict::won && monotonic_now() < deadline) {
            own_[claim].state = own_state::dispatched;
            claim_result result;
            result.decision = claim_result::kind::dispatch;
            result.claim = claim;
            co_return result;
        }
        if (verdict == claim_verdict::lost) {
            abandon(workspace, key, claim);
            co_return std::nullopt;
        }
        bool given_up = refused_.erase(claim) > 0;
        if (!given_up) {
            given_up = !co_await wait_for_news(deadline);
        }
        if (given_up) {
            // Not dispatched, and from here on it never will be, whether or not the claim reaches
            // the log. The void frees the key for a later try.
            abandon(workspace, key, claim);
            co_return co_await say_not_run(workspace, key,
                                           "the claim could not be made certain in time");
        }
    }
}

/// This request sent nothing, but an earlier one with the same key may have, through an instance
/// whose records can't be read now. "Not run" is said only when every instance that could have
/// sent the call is alive and says that it didn't; otherwise the honest word is "unknown".
asio::awaitable<claim_result> claim_service::say_not_run(std::string workspace, std::string key,
                                                         std::string reason) {
    claim_result result;
    result.decision = claim_result::kind::unknown;
    result.reason = reason + "; an earlier request with this key may have run";
    const wall_time made = uuid_v7_time(key) - clock_skew.count();
    const member_table& members = membership_.members();
    bool all_known = members.self().id.start_stamp < made &&
                     wall_now() - made < gone_remembered.count() &&
                     table_.view(workspace, key).standing == call_standing::unclaimed;
    for (const std::string& address : members.all_addresses()) {
        const auto peer = members.find(address);
        if (!all_known || !peer || peer->id.start_stamp > made) {
            all_known = false;
            break;
        }
        wire::LedgerQueryT query;
        query.workspace = workspace;
        query.key = key;
        link_failure why;
        const auto reply =
            co_await links_.call(address, make_frame(std::move(query)), query_timeout, why);
        const bool answered = reply && reply->message.type == wire::Message::LedgerReply;
        all_known = answered && reply->message.AsLedgerReply()->abandoned;
    }
    if (all_known) {
        result.decision = claim_result::kind::not_run;
        result.reason = reason;
    }
    co_return result;
}

/// The first claim that stands has no outcome in the log yet: its claimant may know more. Nothing
/// when the claim is void by now, so that a new one may be made.
asio::awaitable<std::optional<claim_result>>
claim_service::learn_from_claimant(std::string workspace, std::string key, time_point deadline) {
    claim_result result;
    result.decision = claim_result::kind::unknown;
    while (true) {
        const call_view view = table_.view(workspace, key);
        if (view.standing == call_standing::unclaimed) {
            co_return std::nullopt;
        }
        if (view.standing == call_standing::decided) {
            result.decision = claim_result::kind::decided;
            result.status = view.status;
            result.body = view.body;
            co_return result;
        }
        const claimant_word told = co_await ask_claimant(workspace, key, view);
        if (told.state == own_state::decided) {
            result.decision = claim_result::kind::decided;
            result.status = told.status;
            result.body = told.body;
            co_return result;
        }
        if (told.state == own_state::unknown) {
            result.reason =
                "the call was sent and its answer, or the instance that sent it, is lost";
            co_return result;
        }
        if (monotonic_now() + query_pause >= deadline) {
            result.reason = "the call is still running or its instance can't be reached";
            co_return result;
        }
        // Running, or given up with the void on its way.
        co_await pause_for(query_pause);
    }
}

/// What the claimant says of a claim that stands. A claimant that is gone for good can't say, and
/// that is "unknown" for ever; one that doesn't answer now counts as still running.
asio::awaitable<claim_service::claimant_word>
claim_service::ask_claimant(std::string workspace, std::string key, call_view view) {
    claimant_word word;
    const auto own = own_.find(view.claim);
    if (own != own_.end()) {
        co_return claimant_word{own->second.state, own->second.status, own->second.body};
    }
    const auto peer = membership_.members().find(view.claimant.address);
    const bool replaced = peer && peer->id.start_stamp > view.claimant.start_stamp;
    if (!peer || replaced || peer->state == liveness::gone ||
        view.claimant == membership_.members().self().id) {
        word.state = own_state::unknown;
        co_return word;
    }
    wire::LedgerQueryT query;
    query.workspace = std::move(workspace);
    query.key = std::move(key);
    query.claim = view.claim;
    link_failure why;
    const auto reply = co_await links_.call(view.claimant.address, make_frame(std::move(query)),
                                            query_timeout, why);
    if (!reply || reply->message.type != wire::Message::LedgerReply) {
        co_return word;
    }
    const wire::LedgerReplyT& told = *reply->message.AsLedgerReply();
    word.state = told.decided     ? own_state::decided
                 : told.abandoned ? own_state::abandoned
                 : told.running   ? own_state::dispatched
                                  : own_state::unknown;
    word.status = told.status;
    word.body = told.body;
    co_return word;
}

/// Asked about a claim: what became of it. Asked about a key (no claim named): "abandoned" when
/// this instance has sent nothing for it.
asio::awaitable<std::unique_ptr<wire::FrameT>>
claim_service::handle_query(const wire::LedgerQueryT& query) {
    wire::LedgerReplyT reply;
    std::string claim = query.claim;
    if (claim.empty()) {
        const auto last = last_claim_.find(query.workspace + separator + query.key);
        reply.abandoned = last == last_claim_.end();
        claim = last == last_claim_.end() ? std::string{} : last->second;
    }
    const auto found = own_.find(claim);
    if (found != own_.end()) {
        const own_claim& own = found->second;
        reply.running = own.state == own_state::pending || own.state == own_state::dispatched;
        reply.abandoned = own.state == own_state::abandoned;
        reply.decided = own.state == own_state::decided;
        reply.status = own.status;
        reply.body = own.body;
    }
    co_return make_reply(std::move(reply));
}

void claim_service::decided(const std::string& workspace, const std::string& key,
                            const std::string& claim, int status, const std::string& body) {
    own_[claim] = {own_state::decided, status, body, wall_now()};
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
    own_[claim].state = own_state::unknown;
}

void claim_service::abandon(const std::string& workspace, const std::string& key,
                            const std::string& claim) {
    own_[claim].state = own_state::abandoned;
    own_[claim].at = wall_now();
    ledger_entry entry;
    entry.kind = ledger_kind::void_claim;
    entry.workspace = workspace;
    entry.key = key;
    entry.claim = claim;
    enqueue(std::move(entry));
}

} // namespace bamboostream
