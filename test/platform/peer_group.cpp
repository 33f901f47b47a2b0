#include "test/platform/peer_group.h"

#include "bamboostream/src/Control/async_wait.h"

#include <algorithm>
#include <fmt/format.h>

namespace bamboostream::test {

namespace asio = boost::asio;

namespace {

/// A fixed list of addresses at which to look for other instances.
class fixed_seeds final : public instance_list {
public:
    explicit fixed_seeds(std::vector<std::string> seeds) : seeds_(std::move(seeds)) {}
    asio::awaitable<std::optional<machine_list>> read(list_failure&) override {
        machine_list out;
        out.instances = seeds_;
        co_return out;
    }

private:
    std::vector<std::string> seeds_;
};

} // namespace

asio::awaitable<std::optional<record_page>> shared_store::newest(record_topic topic,
                                                                 store_failure& why) {
    ++calls_;
    full_document_reads_ += topic == record_topic::operator_documents ? 1 : 0;
    if (turned_away) {
        why.set(store_error::unavailable, "turned away");
        co_return std::nullopt;
    }
    const std::vector<keyed_record>& log = records_.log(topic);
    co_return record_page{log, static_cast<std::int64_t>(log.size())};
}

asio::awaitable<std::optional<record_page>>
shared_store::read(record_topic topic, std::int64_t from, milliseconds wait, store_failure& why) {
    ++calls_;
    if (turned_away) {
        why.set(store_error::unavailable, "turned away");
        co_return std::nullopt;
    }
    record_page page;
    page.next = from;
    const time_point until = monotonic_now() + wait;
    while (monotonic_now() < until) {
        const auto& log = records_.log(topic);
        if (turned_away) {
            why.set(store_error::unavailable, "turned away");
            co_return std::nullopt;
        }
        if (static_cast<std::size_t>(from) < log.size()) {
            page.records.assign(log.begin() + from, log.end());
            page.next = static_cast<std::int64_t>(log.size());
            co_return page;
        }
        co_await pause_for(milliseconds(2));
    }
    co_await pause_for(std::max(duration{}, until - monotonic_now()));
    co_return page;
}

peer_instance::peer_instance(asio::io_context& context, const shared_records& records,
                             const std::string& failure_domain, std::vector<std::string> seeds,
                             double link_mbps)
    : links(context,
            [this](std::unique_ptr<wire::FrameT> frame) { return handle(std::move(frame)); }),
      forwarding(requests, failure_domain_id(failure_domain), window_budget_rules{}, 7),
      state(forwarding, documents), reader(context, documents), store(records),
      follower(context, store, state) {
    std::string why;
    member_facts self;
    self.id = {links.listen("127.0.0.1:0", why).value_or(why), wall_now()};
    if (link_mbps > 0.0) {
        link = std::make_unique<narrow_link>(context, self.id.address, link_mbps);
        self.id.address = link->address();
    }
    self.failure_domain = failure_domain_id(failure_domain);
    links.set_identity(self.id);
    membership_service::timing times;
    times.max_direct_recipients = 1;
    membership = std::make_unique<membership_service>(
        context, links, std::make_unique<fixed_seeds>(std::move(seeds)), self, times,
        stable_hash(self.id.address));
    distributor = std::make_unique<configuration_distributor>(context, links, *membership, state);
    distributor->set_link_speed(link_mbps);
    distributor->set_pause_condition([this] { return follower.is_reading_configuration(); });
    news = std::make_unique<store_update_exchange>(context, links, *membership, forwarding, state,
                                                   follower, read_policy, *distributor);
    state.set_reader(reader);
    state.on_cordon_change([this] { news->announce_cordons(); });
    state.on_departures_read(
        [this](std::span<const backend_id> read) { news->announce_departures(read); });
    state.on_backend_change(
        [this](const registry_change& change) { news->announce_change(change); });
    owner = std::make_unique<owner_scheduler>(links, *membership, forwarding);
    quarantine =
        std::make_unique<quarantine_exchange>(context, links, *membership, forwarding.quarantine);
    forwarding.quarantine.on_evidence([this](const crash_evidence& it) { quarantine->note(it); });
    forwarding.quarantine.on_part_answer([this](const part_answer& it) { quarantine->note(it); });
    server_states = std::make_unique<server_state_exchange>(
        context, links, *membership, forwarding.server_checks, view_of_servers(forwarding), 7);
    forwarding.server_states = server_states.get();
    origins =
        std::make_unique<stream_origin_exchange>(context, links, *membership, forwarding.origins);
    forwarding.origin_registry = origins.get();
    rate_limits = std::make_unique<rate_limit_exchange>(context, links, *membership,
                                                        forwarding.registry, forwarding.rate_limits,
                                                        forwarding.issuer, issuer_key(forwarding));
    forwarding.permits = rate_limits.get();
    peers = std::make_unique<peer_exchange>(context, links, *membership, forwarding, *news,
                                            *distributor, *owner, *quarantine, *server_states,
                                            *origins, *rate_limits);
    tunnels = std::make_unique<tunnel_client>(context, *membership, forwarding,
                                              stable_hash(self.id.address));
    forwarding.tunnels = tunnels.get();
    carried_tunnels = std::make_unique<tunnel_server>(context, forwarding);
    links.on_tunnel_request(
        [this](asio::ip::tcp::socket origin, std::unique_ptr<wire::FrameT> frame) {
            carried_tunnels->accept(std::move(origin), std::move(frame));
        });
    membership->start();
    tunnels->start();
}

asio::awaitable<std::unique_ptr<wire::FrameT>>
peer_instance::handle(std::unique_ptr<wire::FrameT> frame) {
    ++received_frames[frame->message.type];
    if (drops_store_news && frame->message.type == wire::Message::StoreNews) {
        co_return nullptr;
    }
    if (drops_harm_reports && frame->message.type == wire::Message::HarmReport) {
        co_return nullptr;
    }
    const bool is_rate_limit = frame->message.type == wire::Message::RateLimitReport ||
                               frame->message.type == wire::Message::RatePermitRequest;
    if (drops_rate_limits && is_rate_limit) {
        co_return nullptr;
    }
    co_return co_await peers->handle(std::move(frame));
}

peer_group::peer_group(int domains, int count, double link_mbps) {
    std::vector<std::string> seeds;
    for (int i = 0; i < domains * count; ++i) {
        all.push_back(std::make_unique<peer_instance>(
            context, records, fmt::format("d{}", i % domains), seeds, link_mbps));
        if (seeds.size() < 3) {
            seeds.push_back(all.back()->address());
        }
    }
    const time_point limit = monotonic_now() + seconds(10);
    while (!all_know_all() && monotonic_now() < limit) {
        run_for(milliseconds(20));
    }
}

void peer_group::run_for(milliseconds time) {
    context.restart();
    context.run_for(time);
}

bool peer_group::all_know_all() const {
    return std::all_of(all.begin(), all.end(), [this](const auto& it) {
        return it->membership->usable_peers().size() + 1 == all.size();
    });
}

peer_instance& peer_group::at(const std::string& address) const {
    return **std::find_if(all.begin(), all.end(),
                          [&](const auto& it) { return it->address() == address; });
}

std::vector<peer_instance*> peer_group::owners(std::string_view key) const {
    std::vector<peer_instance*> out;
    for (const std::string& address : all.front()->membership->owners(key, all.size())) {
        out.push_back(&at(address));
    }
    return out;
}

void peer_group::kill(peer_instance& instance) {
    instance.links.close();
}

} // namespace bamboostream::test
