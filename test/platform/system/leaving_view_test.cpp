// What callers see: a request is cut, because it was sent to a backend server that had left more
// than two seconds before. In order: the store stops serving the instances that read it for all, a
// server says that it leaves or its entry is removed, and instances go on choosing it. The causes,
// each proved by a trace of every record read and of the age of the view at each choice: a reader
// called its view fresh until a read failed; an instance that had been cut off alone put removals
// off; a peer's older list took a removal back. docs/incidents/leaving-servers.md tells the whole
// story.

#include "test/platform/system/gateway_fixture.h"

#include <algorithm>

namespace bamboostream::test {
namespace {

/// From the store's word to the last instance that goes by it. Callers may count on two seconds;
/// the design promises one, and a busy machine gets half a second more here.
constexpr milliseconds learning_bound{1'500};
constexpr int instance_count = 4;
const std::string entries = "keyed.servers";
const std::string documents = "keyed.op";

/// Four instances, each with an address of its own at the store, and two backend servers.
class leaving_view : public gateway_test {
protected:
    void start_all() {
        configure(version_, "k");
        leaver_ = &add_sound_backend("i-1");
        add_sound_backend("i-2");
        for (int i = 0; i < instance_count; ++i) {
            stores_.push_back(store_.add_address());
            add_instance(stores_.back());
        }
        for (const auto& it : instances_) {
            ASSERT_TRUE(serves(*it, "k"));
        }
        // At the start all read, until they have heard of a reader and their long reads have ended.
        pass(milliseconds(2'000));
        ASSERT_TRUE(wait_until([&] { return readers().size() == 2; }));
    }

    /// The instances that read the store for all: only they wait there for records.
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

    void pass(milliseconds time) {
        wait_until([] { return false; }, time);
    }

    /// The server says that it leaves; it goes on answering.
    void leave() {
        store_.write(entries, "i-1",
                     fmt::format(R"({{"service":"s","address":"{}","zone":"z0","version":"v1",
"slots":6,"state":"draining","cold_left_ms":0,"sequence":2,"born":1}})",
                                 leaver_->address()));
    }

    /// Long reads that wait for records begin anew.
    void renew_reads() {
        configure(++version_, "k");
        add_sound_backend(fmt::format("i-{}", 1 + version_));
        pass(milliseconds(150));
    }

    /// Whether an instance has logged the event about both topics.
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
        const std::size_t before = leaver_->requests().size();
        for (const auto& it : instances_) {
            EXPECT_EQ(status_of(*it, "k"), 200);
            EXPECT_EQ(status_of(*it, "k"), 200);
        }
        EXPECT_EQ(leaver_->requests().size(), before);
    }

    scripted_backend* leaver_ = nullptr;
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

// Both readers' long reads have just begun when the store stops serving them; a server says that it
// leaves. The readers hear nothing, as if nothing had happened, and the others trust their word.
TEST_P(readers_turned_away, all_learn_that_a_server_leaves) {
    ASSERT_NO_FATAL_FAILURE(start_all());
    renew_reads();
    for (const std::size_t reader : readers()) {
        store_.set_manner(stores_[reader], GetParam());
    }
    leave();
    expect_all_know("backend_leaving");
}

// One reader alone is cut off from the store and comes back. A server's entry is removed then. The
// store was never away, so no entry lapsed for that: the reader must not put the removal off.
TEST_F(leaving_view, an_outage_of_one_reader_puts_no_removal_off) {
    ASSERT_NO_FATAL_FAILURE(start_all());
    const std::size_t reader = readers().front();
    store_.set_manner(stores_[reader], store_manner::refuses);
    ASSERT_TRUE(wait_until([&] { return has_logged_both(reader, "store_unavailable"); }));
    pass(milliseconds(1'000));
    store_.set_manner(stores_[reader], store_manner::answers);
    ASSERT_TRUE(wait_until([&] { return has_logged_both(reader, "store_available"); }));
    // By then it asks peers for nothing any more.
    pass(milliseconds(400));
    remove();
    expect_all_know("backend_down");
}

// One reader is back from an outage of its own as far as entries go, when the other is cut off and
// a server's entry is removed. The first reads the removal, asks peers for the configuration's
// sake, and their lists still have the server. What they list is older than the removal.
TEST_F(leaving_view, an_older_list_of_a_peer_takes_no_removal_back) {
    ASSERT_NO_FATAL_FAILURE(start_all());
    const std::vector<std::size_t> both = readers();
    store_.set_manner(stores_[both.front()], store_manner::refuses);
    ASSERT_TRUE(wait_until([&] { return has_logged_both(both.front(), "store_unavailable"); }));
    pass(milliseconds(700));
    renew_reads();
    store_.set_manner(stores_[both.back()], store_manner::is_silent);
    remove();
    store_.set_manner(stores_[both.front()], entries, store_manner::answers);
    pass(milliseconds(1'000));
    store_.set_manner(stores_[both.front()], store_manner::answers);
    expect_all_know("backend_down");
}

} // namespace
} // namespace bamboostream::test
