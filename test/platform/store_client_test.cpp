// The client of the platform's store over a slow link.

#include "bamboostream/src/Control/async_wait.h"
#include "platform/store_client.h"
#include "test/platform/narrow_link.h"
#include "test/platform/standin_store.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;

constexpr record_topic documents = record_topic::operator_documents;
constexpr double link_mbps = 10.0;

/// How the newest document is read.
struct read_row {
    std::string name;
    bool all;
    friend void PrintTo(const read_row& row, std::ostream* out) { *out << row.name; }
};

class large_document : public testing::TestWithParam<read_row> {
protected:
    std::optional<record_page> read(platform::store_client& client, store_failure& why) {
        std::optional<record_page> page;
        bool done = false;
        asio::co_spawn(
            context_,
            [&]() -> asio::awaitable<void> {
                if (GetParam().all) {
                    page = co_await client.newest(documents, why);
                } else {
                    page = co_await client.read(documents, 0, milliseconds(100), why);
                }
                done = true;
            },
            asio::detached);
        const time_point limit = monotonic_now() + seconds(10);
        while (!done && monotonic_now() < limit) {
            context_.restart();
            context_.run_for(milliseconds(20));
        }
        return page;
    }

    asio::io_context context_{1};
};

INSTANTIATE_TEST_SUITE_P(table, large_document,
                         testing::Values(read_row{"newest", true}, read_row{"following", false}),
                         [](const auto& info) { return info.param.name; });

// Guards against an instance on a slow link that keeps an old configuration for good. With a
// timeout of 0.9 s for the whole response, whatever its size, the read of a large document was
// abandoned halfway and each later read started anew: small instances read the configuration 5 to
// 16 times in 35 s and kept their old version. A response that keeps arriving must not be
// abandoned.
TEST_P(large_document, is_read_while_it_keeps_arriving) {
    standin_store store(context_);
    const std::string value(2'500'000, 'v');
    store.write("keyed.op", "config", value);
    const narrow_link link(context_, store.add_address(), link_mbps);
    platform::store_client client(context_.get_executor(), link.address());
    store_failure why;
    const auto page = read(client, why);
    ASSERT_TRUE(page) << why.text;
    ASSERT_EQ(page->records.size(), 1u);
    EXPECT_EQ(page->records.front().value, value);
}

// A response that stops halfway is abandoned, so that another source can be used.
TEST_P(large_document, is_abandoned_when_it_stops_arriving) {
    standin_store store(context_);
    store.write("keyed.op", "config", std::string(2'500'000, 'v'));
    narrow_link link(context_, store.add_address(), link_mbps);
    platform::store_client client(context_.get_executor(), link.address());
    link.stop_after(300'000);
    store_failure why;
    const time_point began = monotonic_now();
    EXPECT_FALSE(read(client, why));
    EXPECT_LT(monotonic_now() - began, seconds(3));
}

} // namespace
} // namespace bamboostream::test
