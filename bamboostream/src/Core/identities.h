#pragma once

#include "bamboostream/src/Core/clock.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace bamboostream {

/// A string id with its own type for each kind of object, so that passing a pool name where a
/// workspace name is expected does not compile.
///
/// Example: `workspace_id w{"acme"}; w.text()`.
template <class Tag> class typed_id {
public:
    typed_id() = default;
    explicit typed_id(std::string text) : text_(std::move(text)) {}
    explicit typed_id(std::string_view text) : text_(text) {}
    explicit typed_id(const char* text) : text_(text) {}

    const std::string& text() const { return text_; }
    bool empty() const { return text_.empty(); }
    auto operator<=>(const typed_id&) const = default;

private:
    std::string text_;
};

/// A customer that shares the engines with others.
using workspace_id = typed_id<struct workspace_tag>;
/// A group of backend servers that run the same model.
using pool_id = typed_id<struct pool_tag>;
/// An engine or a plain service replica, named by its address "ip:port".
using backend_id = typed_id<struct backend_tag>;
/// A group of machines that tend to fail together, such as a zone.
using failure_domain_id = typed_id<struct failure_domain_tag>;
/// One run of a model for one request; never reused.
using generation_id = typed_id<struct generation_tag>;
/// A plain service to which the system routes calls.
using service_id = typed_id<struct service_tag>;

/// The version of the software that a backend server runs, as the server states it; empty when it
/// is not known. Versions have no order. Not the version of a model's weights.
using software_version = typed_id<struct software_version_tag>;

/// The version as one word for log lines: "unknown" if it is empty, and "_" in place of any
/// character that isn't printable ASCII or is a space.
std::string printable(const software_version& version);

/// One process of an instance: after a restart at the same address the start stamp is later.
struct instance_id {
    /// Address for traffic between instances, "ip:port".
    std::string address;
    /// Wall time at which the process started, in milliseconds.
    wall_time start_stamp = 0;

    auto operator<=>(const instance_id&) const = default;
};

/// The priority of a request; a higher level is served first when weights are equal.
enum class priority_level : std::uint8_t { batch = 0, standard = 1, urgent = 2 };

} // namespace bamboostream

template <class Tag> struct std::hash<bamboostream::typed_id<Tag>> {
    std::size_t operator()(const bamboostream::typed_id<Tag>& id) const noexcept {
        return std::hash<std::string>{}(id.text());
    }
};
