#include "bamboostream/src/Gateway/configuration_reader.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace bamboostream {

namespace asio = boost::asio;

void configuration_reader::read(std::shared_ptr<const std::string> document, listener done) {
    asio::post(worker_, [this, document = std::move(document), done = std::move(done)]() mutable {
        std::string why;
        std::shared_ptr<const route_table> table;
        if (auto configuration = codec_.read_configuration(*document, why)) {
            table = std::make_shared<const route_table>(std::move(*configuration));
        }
        asio::post(context_,
                   [table = std::move(table), why = std::move(why),
                    done = std::move(done)]() mutable { done(std::move(table), std::move(why)); });
    });
}

} // namespace bamboostream
