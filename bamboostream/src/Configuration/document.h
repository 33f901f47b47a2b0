#pragma once

#include "bamboostream/src/Contracts/json_reader.h"
#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Routing/objective.h"

#include <array>
#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream {

/// A caller's API key; only its digest is stored.
struct workspace_key {
    std::string id;
    /// SHA-256 of the key, 64 hexadecimal digits.
    std::string sha256;
};

/// Service-level objectives; a time of zero means that there is none.
struct service_objectives {
    double first_token_ms = 0.0;
    double inter_token_ms = 0.0;
    double stall_ms = 0.0;
    /// Fraction of the requests that must meet them, for example 0.95.
    double target = 0.95;
};

/// Share, limits and keys of one workspace.
struct workspace_settings {
    /// Share relative to the other workspaces.
    double weight = 1.0;
    std::uint32_t max_running = 10'000;
    std::uint32_t max_waiting = 10'000;
    priority_level highest_priority = priority_level::urgent;
    std::vector<workspace_key> keys;
    service_objectives objectives;
};

/// What the engines of one pool serve, and how.
struct pool_settings {
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    objective goal = objective::stall_time;
    /// Whether the pool's engines reject orders with an outdated fencing number.
    bool engines_check_fencing = true;
    /// Minimum number of engines that stay in service while others load a model.
    std::uint32_t least_serving = 1;
    /// How long a request may wait for its start if the caller gives no deadline.
    milliseconds default_wait{30'000};
    service_objectives objectives;
};

/// One operation of a plain service.
struct operation_settings {
    bool idempotent = false;
    milliseconds deadline{10'000};
    std::size_t max_body_bytes = 65'536;
};

/// The operations of one plain service, by name.
struct service_settings {
    std::map<std::string, operation_settings, std::less<>> operations;
};

/// Takes a failure domain out of service: its backend servers get no new work, while running
/// requests continue.
struct cordon_settings {
    /// Free text for operators; may be empty.
    std::string reason;
};

/// A key that signs resume handles. Only the newest active key signs, but all listed keys verify,
/// so that a key rotation interrupts no stream.
struct resume_key_settings {
    std::string secret;
    bool active = true;
};

/// A validated configuration. Immutable once published, so it may be read on any thread.
struct configuration_document {
    std::map<std::string, workspace_settings, std::less<>> workspaces;
    std::map<std::string, pool_settings, std::less<>> pools;
    std::map<std::string, service_settings, std::less<>> services;
    std::map<std::string, resume_key_settings, std::less<>> resume_keys;
    /// By failure domain. A cordon of a domain without servers is kept, since servers may join it.
    std::map<std::string, cordon_settings, std::less<>> cordons;

    /// The name and settings of the pool that serves a model, or null.
    const std::pair<const std::string, pool_settings>* pool_of_model(std::string_view model) const;
    bool is_cordoned(const failure_domain_id& domain) const {
        return cordons.contains(domain.text());
    }
    /// The workspace whose key has this digest, or empty. Compares with every key, each in constant
    /// time.
    std::string workspace_of_key(std::string_view key_sha256) const;
};

/// The sections of a document; an entry is named "section/name".
inline constexpr std::array<std::string_view, 5> document_sections = {
    "workspaces", "pools", "services", "resume_keys", "cordons"};
/// The section that `bamboostreamctl evacuate` and `restore` change.
inline constexpr std::string_view cordons_section = document_sections.back();

/// Parses and validates a document. Each error is reported with its path, the value found and what
/// is expected; the result is empty if there is any. All paths use this function: command line,
/// console, submissions, and records read from the log.
std::optional<configuration_document> validate_document(const boost::json::value& document,
                                                        std::vector<validation_error>& errors);

/// Conversion between priorities and their names.
std::string_view to_string(priority_level level);
std::optional<priority_level> parse_priority(std::string_view name);

} // namespace bamboostream
