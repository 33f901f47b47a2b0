#include "bamboostream/src/Configuration/document.h"

#include "bamboostream/src/Core/digest.h"

#include <algorithm>
#include <fmt/format.h>

namespace bamboostream {

namespace {

constexpr std::array<std::string_view, 3> priority_names = {"batch", "standard", "urgent"};
constexpr std::size_t max_name_length = 64;
constexpr std::size_t min_secret_length = 16;
constexpr std::int64_t max_count = 10'000'000;
constexpr std::int64_t max_time_ms = 3'600'000;

using mistake_list = std::vector<validation_error>;

bool is_name(std::string_view name) {
    return !name.empty() && name.size() <= max_name_length &&
           std::all_of(name.begin(), name.end(), [](unsigned char c) {
               return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
           });
}

bool is_digest(std::string_view text) {
    return text.size() == 64 &&
           text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

service_objectives read_objectives(json_reader& parent, mistake_list& errors) {
    service_objectives out;
    const boost::json::value* value = parent.child("objectives");
    if (value == nullptr) {
        return out;
    }
    json_reader r(*value, parent.path_of("objectives"), errors);
    out.first_token_ms = r.real_or("first_token_ms", 0.0, 0.0, 1e7);
    out.inter_token_ms = r.real_or("inter_token_ms", 0.0, 0.0, 1e7);
    out.stall_ms = r.real_or("stall_ms", 0.0, 0.0, 1e7);
    out.target = r.real_or("target", 0.95, 0.5, 0.99999);
    r.finish();
    return out;
}

workspace_settings read_workspace(const boost::json::value& value, const std::string& path,
                                  mistake_list& errors) {
    workspace_settings out;
    json_reader r(value, path, errors);
    out.weight = r.real_or("weight", 1.0, 0.001, 1e6);
    out.max_running = static_cast<std::uint32_t>(r.number_or("max_running", 10'000, 1, max_count));
    out.max_waiting = static_cast<std::uint32_t>(r.number_or("max_waiting", 10'000, 0, max_count));
    const std::string priority = r.text_or("highest_priority", "urgent");
    const auto parsed = parse_priority(priority);
    if (!parsed) {
        r.error("highest_priority", priority, "batch, standard or urgent");
    }
    out.highest_priority = parsed.value_or(priority_level::urgent);
    if (const boost::json::array* keys = r.array_or_none("keys")) {
        for (std::size_t i = 0; i < keys->size(); ++i) {
            json_reader k((*keys)[i], fmt::format("{}/keys/{}", path, i), errors);
            workspace_key key{k.text("id"), k.text("sha256")};
            if (k.is_object() && !is_digest(key.sha256)) {
                k.error("sha256", key.sha256, "64 lower-case hexadecimal digits");
            }
            k.finish();
            out.keys.push_back(std::move(key));
        }
    }
    out.objectives = read_objectives(r, errors);
    r.finish();
    return out;
}

pool_settings read_pool(const boost::json::value& value, const std::string& path,
                        mistake_list& errors) {
    pool_settings out;
    json_reader r(value, path, errors);
    out.model = r.text("model");
    out.version = r.text_or("version", "");
    const std::string goal = r.text_or("objective", "stall_time");
    const auto parsed = parse_objective(goal);
    if (!parsed) {
        r.error("objective", goal, "stall_time or tail_latency");
    }
    out.goal = parsed.value_or(objective::stall_time);
    if (const boost::json::array* adapters = r.array_or_none("adapters")) {
        for (const boost::json::value& adapter : *adapters) {
            if (adapter.is_string()) {
                out.adapters.emplace_back(adapter.get_string());
            } else {
                r.error("adapters", boost::json::serialize(adapter), "texts");
            }
        }
    }
    out.engines_check_fencing = r.flag_or("engines_check_fencing", true);
    out.least_serving = static_cast<std::uint32_t>(r.number_or("least_serving", 1, 0, max_count));
    out.default_wait = milliseconds(r.number_or("default_wait_ms", 30'000, 1, max_time_ms));
    out.objectives = read_objectives(r, errors);
    r.finish();
    return out;
}

service_settings read_service(const boost::json::value& value, const std::string& path,
                              mistake_list& errors) {
    service_settings out;
    json_reader r(value, path, errors);
    const boost::json::object* operations = r.object_or_none("operations");
    if (operations == nullptr || operations->empty()) {
        r.error("operations", "nothing", "at least one operation");
    } else {
        for (const auto& item : *operations) {
            const std::string name(item.key());
            json_reader o(item.value(), fmt::format("{}/operations/{}", path, name), errors);
            operation_settings operation;
            operation.idempotent = o.flag_or("idempotent", false);
            operation.deadline = milliseconds(o.number_or("deadline_ms", 10'000, 1, max_time_ms));
            operation.max_body_bytes =
                static_cast<std::size_t>(o.number_or("max_body_bytes", 65'536, 0, 1'048'576));
            o.finish();
            if (!is_name(name)) {
                r.error("operations", name, "a name of letters, digits, '-', '_', '.'");
            }
            out.operations.emplace(name, operation);
        }
    }
    r.finish();
    return out;
}

resume_key_settings read_resume_key(const boost::json::value& value, const std::string& path,
                                    mistake_list& errors) {
    resume_key_settings out;
    json_reader r(value, path, errors);
    out.secret = r.text("secret");
    if (r.is_object() && !out.secret.empty() && out.secret.size() < min_secret_length) {
        // Report the length only, so that the secret does not appear in the message.
        r.error("secret", fmt::format("{} characters", out.secret.size()),
                "at least 16 characters");
    }
    out.active = r.flag_or("active", true);
    r.finish();
    return out;
}

cordon_settings read_cordon(const boost::json::value& value, const std::string& path,
                            mistake_list& errors) {
    json_reader r(value, path, errors);
    cordon_settings out{r.text_or("reason", "")};
    r.finish();
    return out;
}

template <class Settings, class Read>
void read_section(json_reader& root, std::string_view section, mistake_list& errors,
                  std::map<std::string, Settings, std::less<>>& into, Read read) {
    const boost::json::object* entries = root.object_or_none(section);
    if (entries == nullptr) {
        return;
    }
    for (const auto& item : *entries) {
        const std::string name(item.key());
        if (!is_name(name)) {
            root.error(section, name, "names of letters, digits, '-', '_', '.', at most 64 long");
        }
        into.emplace(name, read(item.value(), fmt::format("{}/{}", section, name), errors));
    }
}

/// Validates rules that involve several entries.
void check_cross_entry_rules(const configuration_document& document, mistake_list& errors) {
    std::map<std::string, std::string> owner_of_digest;
    for (const auto& [name, workspace] : document.workspaces) {
        for (const workspace_key& key : workspace.keys) {
            const auto [found, fresh] = owner_of_digest.emplace(key.sha256, name);
            if (!fresh && found->second != name) {
                errors.push_back({fmt::format("workspaces/{}/keys", name), key.id,
                                  fmt::format("a key not also held by {}", found->second)});
            }
        }
    }
    std::map<std::string, std::string> pool_of_model;
    for (const auto& [name, pool] : document.pools) {
        const auto [found, fresh] = pool_of_model.emplace(pool.model, name);
        if (!fresh) {
            errors.push_back({fmt::format("pools/{}/model", name), pool.model,
                              fmt::format("a model not already served by pool {}", found->second)});
        }
    }
}

} // namespace

const std::pair<const std::string, pool_settings>*
configuration_document::pool_of_model(std::string_view model) const {
    for (const auto& item : pools) {
        if (item.second.model == model) {
            return &item;
        }
    }
    return nullptr;
}

std::string configuration_document::workspace_of_key(std::string_view key_sha256) const {
    std::string owner;
    for (const auto& [name, workspace] : workspaces) {
        for (const workspace_key& key : workspace.keys) {
            if (equal_in_constant_time(key.sha256, key_sha256)) {
                owner = name;
            }
        }
    }
    return owner;
}

std::optional<configuration_document> validate_document(const boost::json::value& document,
                                                        std::vector<validation_error>& errors) {
    const std::size_t before = errors.size();
    configuration_document out;
    json_reader root(document, "", errors);
    read_section(root, "workspaces", errors, out.workspaces, read_workspace);
    read_section(root, "pools", errors, out.pools, read_pool);
    read_section(root, "services", errors, out.services, read_service);
    read_section(root, "resume_keys", errors, out.resume_keys, read_resume_key);
    read_section(root, "cordons", errors, out.cordons, read_cordon);
    root.finish();
    check_cross_entry_rules(out, errors);
    if (errors.size() > before) {
        return std::nullopt;
    }
    return out;
}

std::string_view to_string(priority_level level) {
    return priority_names[static_cast<std::size_t>(level)];
}

std::optional<priority_level> parse_priority(std::string_view name) {
    for (std::size_t i = 0; i < priority_names.size(); ++i) {
        if (priority_names[i] == name) {
            return static_cast<priority_level>(i);
        }
    }
    return std::nullopt;
}

} // namespace bamboostream
