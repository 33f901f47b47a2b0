// Tests configurations that are parsed outside the thread that serves requests.

#include "bamboostream/Gateway"
#include "platform/platform_record_codec.h"
#include "platform/platform_request_codec.h"
#include "test/platform/document_simulation.h"

#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

/// Documents submitted in this order while the first one is being parsed, and the version in force
/// at the end.
struct order_row {
    std::string name;
    std::vector<std::string> submitted;
    std::int64_t in_force;
    std::uint64_t rejected;
};

std::string with_version(int version) {
    return large_document_text(version, 3, 3);
}

std::string blanks(std::size_t count) {
    std::string out;
    out.resize(count, ' ');
    return out;
}

class set_reader : public testing::TestWithParam<order_row> {
protected:
    set_reader() : forwarding_(requests_, failure_domain_id("z"), {}, 1) {
        state_.set_reader(reader_);
    }
    void run_until_settled(std::size_t count) {
        const time_point limit = monotonic_now() + seconds(10);
        while (settled_ < count && monotonic_now() < limit) {
            context_.restart();
            context_.run_for(milliseconds(5));
        }
    }

    boost::asio::io_context context_{1};
    const platform::platform_request_codec requests_;
    const platform::platform_record_codec records_;
    forwarding_state forwarding_;
    deployment_state state_{forwarding_, records_};
    configuration_reader reader_{context_, records_};
    std::size_t settled_ = 0;
    std::uint64_t rejected_ = 0;
};

INSTANTIATE_TEST_SUITE_P(
    table, set_reader,
    testing::Values(order_row{"one", {with_version(5)}, 5, 0},
                    order_row{"newer_after_older", {with_version(5), with_version(6)}, 6, 0},
                    order_row{"older_after_newer", {with_version(6), with_version(5)}, 6, 0},
                    order_row{"the_same_twice", {with_version(5), with_version(5)}, 5, 0},
                    order_row{
                        "damaged_between", {with_version(5), "{broken", with_version(6)}, 6, 1},
                    order_row{"too_large", {with_version(5), blanks(max_document_bytes + 1)}, 5, 1},
                    order_row{"more_than_wait",
                              {with_version(5), with_version(6), with_version(7), with_version(8),
                               with_version(9)},
                              9,
                              0}),
    [](const auto& info) { return info.param.name; });

// Versions arrive from the store and from peers faster than they can be parsed. Requests continue
// to use the version in force, each submitter is notified of the result, and the newest version is
// in force at the end.
TEST_P(set_reader, the_newest_is_in_force_in_the_end) {
    const order_row& row = GetParam();
    for (const std::string& text : row.submitted) {
        state_.submit_configuration(text, "peer", [this](document_result result) {
            ++settled_;
            rejected_ += result == document_result::rejected ? 1 : 0;
        });
    }
    EXPECT_EQ(state_.version(), 0);
    run_until_settled(row.submitted.size());
    EXPECT_EQ(settled_, row.submitted.size());
    EXPECT_EQ(state_.version(), row.in_force);
    EXPECT_EQ(state_.rejected_documents(), row.rejected);
    // A version that was superseded before it was parsed is not rejected; it may be submitted
    // again.
    EXPECT_EQ(rejected_, row.rejected);
}

} // namespace
} // namespace bamboostream::test
