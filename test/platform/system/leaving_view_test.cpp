// Guards against requests that are cut off because they were sent to a backend server that had left
// more than two seconds before. The store stops serving the instances that read it on behalf of
// all, a server announces that it leaves or its entry is removed, and instances keep choosing it.
// Traces of every record read and of the age of the view at each choice showed three causes:
// - a reader reported its view as fresh until a read failed;
// - an instance that alone had lost the store delayed removals;
// - an older list from a peer reverted a removal.
// See docs/incidents/leaving-servers.md.

#include "test/platform/system/gateway_fixture.h"

#include <algorithm>
#include <csignal>

namespace bamboostream::test {
namespace {

/// Time from a change in the store until the last instance acts on it. Callers are guaranteed two
/// seconds; the design bound is one, and half a second is added for a loaded machine.
constexpr milliseconds learning_bound{1'500};
constexpr int instance_count = 4;
const std::string entries = "keyed.servers";
const std::string documents = "keyed.op";

/// Four instances, each with its own address at the store, and two backend servers.
class leaving_view : public gateway_test {
protected:
    void start_all() {
        configure(version_, "k");
        leaving_backend_ = &add_valid_backend("i-1");
        add_valid_backend("i-2");
        for (int i = 0; i < instance_count; ++i) {
            stores_.push_back(store_.add_address());
            add_instance(stores_.back());
        }
        for (const auto& it : instances_) {
            ASSERT_TRUE(serves(*it, "k"));
        }
        // At startup all instances read the store, until they know of a reader and their own long
        // reads have ended.
        run_for(milliseconds(2'000));
        ASSERT_TRUE(wait_until([&] { return readers().size() == 2; }));
    }

    /// The instances that read the store on behalf of all: only their reads wait for records.
    std::vector<std::size_t> readers() const {
        std::vector<std::size_t> out;
        for (std::size_t i = 0; i < stores_.size(); ++i) {
            if (store_.waiting_reads(stores_[i], entries) > 0 &&
                store_.waiting_reads(stores_[i], documents) > 0) {
                out.push_back(i);
            }
        }
        return out;
    }

    void run_for(milliseconds time) {
        wait_until([] { return false; }, time);
    }

    /// The server announces that it leaves, and keeps answering.
    void leave() {
        store_.write(entries, "i-1",
                     fmt::format(R"({{"service":"s","address":"{}","zone":"z0","version":"v1",
"slots":6,"state":"draining","cold_left_ms":0,"sequence":2,"born":1}})",
                                 leaving_backend_->address()));
    }

    /// Writes records, so that the long reads that wait for them end and new ones start.
    void renew_reads() {
        configure(++version_, "k");
        add_valid_backend(fmt::format("i-{}", 1 + version_));
        run_for(milliseconds(150));
    }

    /// Whether an instance has logged the event for both topics.
    bool has_logged_both(std::size_t instance, std::string_view event) const {
        return has_logged(*instances_[instance], event, "topic=backend_entries") &&
               has_logged(*instances_[instance], event, "topic=operator_documents");
    }

    void remove() { store_.write(entries, "i-1", ""); }

    void expect_all_know(std::string_view event) {
        const auto all_know = [&] {
            return std::all_of(instances_.begin(), instances_.end(), [&](const auto& it) {
                return has_logged(*it, event, "backend=i-1");
            });
        };
        EXPECT_TRUE(wait_until(all_know, learning_bound));
        const std::size_t before = leaving_backend_->requests().size();
        for (const auto& it : instances_) {
            EXPECT_EQ(status_of(*it, "k"), 200);
            EXPECT_EQ(status_of(*it, "k"), 200);
        }
        EXPECT_EQ(leaving_backend_->requests().size(), before);
    }

    scripted_backend* leaving_backend_ = nullptr;
    int version_ = 1;
    std::vector<std::string> stores_;
};

class readers_turned_away : public leaving_view,
                            public testing::WithParamInterface<store_manner> {};

INSTANTIATE_TEST_SUITE_P(table, readers_turned_away,
                         testing::Values(store_manner::is_silent, store_manner::refuses),
                         [](const auto& info) {
                             return info.param == store_manner::refuses ? "refuses" : "is_silent";
                         });

// The store stops serving both readers just after their long reads began, and a server announces
// that it leaves. To the readers this looks as if no record had been written, and the other
// instances rely on them.
TEST_P(readers_turned_away, all_learn_that_a_server_leaves) {
    ASSERT_NO_FATAL_FAILURE(start_all());
    renew_reads();
    for (const std::size_t reader : readers()) {
        store_.set_manner(stores_[reader], GetParam());
    }
    leave();
    expect_all_know("backend_leaving");
}

// One reader alone loses the store and reaches it again; then a server's entry is removed. The
// store itself was available throughout, so no entry expired because of an outage, and the reader
// must not delay the removal.
TEST_F(leaving_view, an_outage_of_one_reader_puts_no_removal_off) {
    ASSERT_NO_FATAL_FAILURE(start_all());
    const std::size_t reader = readers().front();
    store_.set_manner(stores_[reader], store_manner::refuses);
    ASSERT_TRUE(wait_until([&] { return has_logged_both(reader, "store_unavailable"); }));
    run_for(milliseconds(1'000));
    store_.set_manner(stores_[reader], store_manner::answers);
    ASSERT_TRUE(wait_until([&] { return has_logged_both(reader, "store_available"); }));
    // After this time the reader no longer requests anything from peers.
    run_for(milliseconds(400));
    remove();
    expect_all_know("backend_down");
}

// After an outage of its own, one reader can read entries again but not yet documents, while the
// other reader has lost the store and a server's entry is removed. The first reads the removal and
// requests the configuration from peers, whose lists still contain the server. These lists are
// older than the removal and must not revert it.
TEST_F(leaving_view, an_older_list_of_a_peer_takes_no_removal_back) {
    ASSERT_NO_FATAL_FAILURE(start_all());
    const std::vector<std::size_t> both = readers();
    store_.set_manner(stores_[both.front()], store_manner::refuses);
    ASSERT_TRUE(wait_until([&] { return has_logged_both(both.front(), "store_unavailable"); }));
    run_for(milliseconds(700));
    renew_reads();
    store_.set_manner(stores_[both.back()], store_manner::is_silent);
    remove();
    store_.set_manner(stores_[both.front()], entries, store_manner::answers);
    run_for(milliseconds(1'000));
    store_.set_manner(stores_[both.front()], store_manner::answers);
    expect_all_know("backend_down");
}

// Guards against requests to a server that is gone, after an interruption of the view of the store
// that no entry can have expired in: instances took it for an outage and deferred the removal.
TEST_F(leaving_view, a_short_standstill_of_all_instances_puts_no_removal_off) {
    ASSERT_NO_FATAL_FAILURE(start_all());
    for (const auto& it : instances_) {
        it->running->signal(SIGSTOP);
    }
    run_for(milliseconds(1'300));
    for (const auto& it : instances_) {
        it->running->signal(SIGCONT);
    }
    run_for(milliseconds(200));
    remove();
    expect_all_know("backend_down");
}

} // namespace
} // namespace bamboostream::test
