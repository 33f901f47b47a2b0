#include "test/system/cluster.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace bamboostream::test {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

const std::vector<std::string> failure_domains = {"norra", "hamnen", "verket"};
constexpr milliseconds start_timeout{10'000};
constexpr milliseconds request_timeout{8'000};

json::object workspace_value(const std::string& name) {
    return json::object{
        {"weight", 1},
        {"keys", json::array{json::object{{"id", "k"}, {"sha256", sha256_hex(name + "-key")}}}}};
}

json::array initial_changes() {
    const json::object operations{
        {"transfer", json::object{{"idempotent", false}, {"deadline_ms", 5000}}},
        {"lookup", json::object{{"idempotent", true}, {"deadline_ms", 3000}}}};
    return json::array{
        json::object{{"entry", "workspaces/desk"}, {"value", workspace_value("desk")}},
        json::object{{"entry", "workspaces/traders"}, {"value", workspace_value("traders")}},
        json::object{{"entry", "pools/drafting"}, {"value", json::object{{"model", "standard"}}}},
        json::object{{"entry", "services/registry"},
                     {"value", json::object{{"operations", operations}}}},
        json::object{{"entry", "resume_keys/a"},
                     {"value", json::object{{"secret", "a-secret-for-tests-only"}}}}};
}

int count_ended(const std::vector<std::unique_ptr<member>>& members) {
    return static_cast<int>(std::count_if(members.begin(), members.end(), [](const auto& it) {
        return it->running->wait_for_end(milliseconds(0));
    }));
}

} // namespace

process::process(const std::string& program, std::vector<std::string> arguments,
                 const std::string& log_file) {
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 2, log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, 2, 1);
    // Otherwise the child would inherit listening sockets and keep them open after this process
    // has closed them.
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    std::vector<char*> argv;
    std::string path = std::string(BIN_DIR) + "/" + program;
    argv.push_back(path.data());
    for (std::string& argument : arguments) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    if (posix_spawn(&pid_, path.c_str(), &actions, nullptr, argv.data(), environ) != 0) {
        pid_ = -1;
        ended_ = true;
    }
    posix_spawn_file_actions_destroy(&actions);
}

process::~process() {
    if (!ended_) {
        signal(SIGKILL);
        wait_for_end(start_timeout);
    }
}

void process::signal(int number) const {
    if (!ended_ && pid_ > 0) {
        kill(pid_, number);
    }
}

bool process::wait_for_end(milliseconds timeout) {
    const time_point until = monotonic_now() + timeout;
    while (!ended_) {
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) == pid_) {
            ended_ = true;
            exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        }
        if (ended_ || monotonic_now() >= until) {
            break;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return ended_;
}

cluster::cluster(cluster_options options) : options_(std::move(options)) {
    std::string pattern = (std::filesystem::temp_directory_path() / "bamboostream-XXXXXX").string();
    folder_ = mkdtemp(pattern.data());
    start(log_, "standin-log", options_.log_arguments, 1);
    if (options_.proxied_log) {
        put_behind_proxy(log_);
    }
    start(platform_, "standin-platform", options_.platform_arguments, 1);
    for (int i = 0; i < options_.engines; ++i) {
        auto m = std::make_unique<member>();
        start(*m, "standin-engine", options_.engine_arguments, 1);
        if (options_.proxied_engines) {
            put_behind_proxy(*m);
        }
        m->failure_domain = failure_domains[static_cast<std::size_t>(i) % failure_domains.size()];
        add_to_list(m->visible_address, "engine", "drafting", m->failure_domain);
        engines_.push_back(std::move(m));
    }
    for (int i = 0; i < options_.services; ++i) {
        auto m = std::make_unique<member>();
        start(*m, "standin-service", options_.service_arguments, 1);
        if (options_.proxied_services) {
            put_behind_proxy(*m);
        }
        m->failure_domain = failure_domains[static_cast<std::size_t>(i) % failure_domains.size()];
        add_to_list(m->visible_address, "service", "registry", m->failure_domain);
        services_.push_back(std::move(m));
    }
    for (int i = 0; i < options_.instances; ++i) {
        add_instance();
    }
    const json::value verdict = submit(0, 0, initial_changes());
    EXPECT_EQ(text_at(verdict, "fate"), "accepted") << json::serialize(verdict);
    const std::size_t backends = engines_.size() + services_.size();
    EXPECT_TRUE(wait_until(
        [&] {
            for (int i = 0; i < instance_count(); ++i) {
                const json::value status = get(instance(i).addresses[1], "/v1/status");
                if (!status.is_object() || number_at(status, "configuration_version") == 0 ||
                    status.at("members").as_array().size() + 1 != instances_.size() ||
                    status.at("backends").as_array().size() != backends ||
                    !status.at("ledger_ready").as_bool()) {
                    return false;
                }
            }
            return true;
        },
        start_timeout));
}

cluster::~cluster() {
    instances_.clear();
    std::error_code ignored;
    if (testing::Test::HasFailure() && std::getenv("KEEP_LOGS") != nullptr) {
        fmt::print(stderr, "logs in {}\n", folder_);
        return;
    }
    std::filesystem::remove_all(folder_, ignored);
}

std::string cluster::next_announce_path() {
    return fmt::format("{}/m{}", folder_, announce_count_++);
}

void cluster::start(member& m, const std::string& program, std::vector<std::string> arguments,
                    std::size_t lines) {
    const std::string name = next_announce_path();
    arguments.push_back("--announce-file");
    arguments.push_back(name);
    m.arguments = arguments;
    m.running = std::make_unique<process>(program, arguments, name + ".log");
    const time_point until = monotonic_now() + start_timeout;
    while (m.addresses.size() < lines && monotonic_now() < until) {
        m.addresses.clear();
        std::ifstream file(name);
        std::string line;
        while (std::getline(file, line)) {
            m.addresses.push_back(line);
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    ASSERT_EQ(m.addresses.size(), lines) << program << " did not start";
    m.visible_address = m.addresses[0];
}

void cluster::put_behind_proxy(member& m) {
    const std::string name = next_announce_path();
    const std::string proxied = name + ".proxied";
    m.proxy = std::make_unique<process>("fault-proxy",
                                        std::vector<std::string>{"--target", m.addresses[0],
                                                                 "--announce-file", name,
                                                                 "--proxy-announce-file", proxied},
                                        name + ".log");
    const auto read = [&](const std::string& file) {
        std::string line;
        const time_point until = monotonic_now() + start_timeout;
        while (line.empty() && monotonic_now() < until) {
            std::ifstream input(file);
            std::getline(input, line);
            std::this_thread::sleep_for(milliseconds(5));
        }
        return line;
    };
    m.proxy_control = read(name);
    m.visible_address = read(proxied);
}

int cluster::add_instance() {
    const auto index = instances_.size();
    auto m = std::make_unique<member>();
    m->failure_domain = failure_domains[index % failure_domains.size()];
    std::vector<std::string> arguments = {"--log",
                                          log_.visible_address,
                                          "--platform",
                                          platform_.visible_address,
                                          "--failure-domain",
                                          m->failure_domain};
    arguments.insert(arguments.end(), options_.instance_arguments.begin(),
                     options_.instance_arguments.end());
    start(*m, "bamboostreamd", arguments, 3);
    add_to_list(m->addresses[2], "instance", "", m->failure_domain);
    instances_.push_back(std::move(m));
    return static_cast<int>(index);
}

void cluster::add_to_list(const std::string& address, const std::string& kind,
                          const std::string& group, const std::string& failure_domain) {
    post(platform_.addresses[0], "/control/instances",
         json::object{{"address", address},
                      {"kind", kind},
                      {"group", group},
                      {"failure_domain", failure_domain},
                      {"state", "live"},
                      {"now", 1}});
}

void cluster::remove_from_list(const member& m, bool now) {
    const std::string address = m.addresses.size() > 2 ? m.addresses[2] : m.visible_address;
    post(platform_.addresses[0], "/control/instances",
         json::object{{"address", address}, {"remove", 1}, {"now", now ? 1 : 0}});
}

void cluster::command(const std::string& address, const json::object& body) {
    post(address, "/control", body);
}

json::value cluster::send_request(const std::string& address, const http_request& request) {
    std::optional<http_response> response;
    bool done = false;
    http_failure why;
    asio::co_spawn(
        context_,
        [&]() -> asio::awaitable<void> {
            response =
                co_await fetch(context_.get_executor(), address, request, request_timeout, why);
            done = true;
        },
        asio::detached);
    context_.restart();
    while (!done) {
        context_.run_one();
    }
    std::string reason;
    return response ? parse_json(response->body, reason).value_or(nullptr) : json::value();
}

json::value cluster::get(const std::string& address, const std::string& target) {
    return send_request(address, make_request("GET", target));
}

json::value cluster::post(const std::string& address, const std::string& target,
                          const json::value& body) {
    return send_request(address, make_request("POST", target, json::serialize(body)));
}

json::value cluster::call_at(int at, const std::string& key, const std::string& operation,
                             const std::string& body) {
    http_request request = make_request("POST", "/v1/services/registry/" + operation, body);
    request.fields.push_back({"Authorization", "Bearer desk-key"});
    request.fields.push_back({"Idempotency-Key", key});
    return send_request(instance(at).addresses[0], request);
}

json::value cluster::complete_at(int at, const std::string& prompt) {
    const json::object body{{"model", "standard"}, {"prompt", prompt}, {"kind", "label"}};
    http_request request = make_request("POST", "/v1/completions", json::serialize(body));
    request.fields.push_back({"Authorization", "Bearer desk-key"});
    request.fields.push_back({"Idempotency-Key", make_uuid_v7(wall_now())});
    return send_request(instance(at).addresses[0], request);
}

int cluster::ended_engines() {
    return count_ended(engines_);
}

int cluster::ended_services() {
    return count_ended(services_);
}

json::value cluster::submit(int at, std::int64_t base, const json::array& changes,
                            const std::string& id) {
    return post(instance(at).addresses[1], "/v1/configuration",
                json::object{{"id", id}, {"base", base}, {"author", "test"}, {"changes", changes}});
}

bool cluster::wait_until(const std::function<bool()>& condition, milliseconds timeout) {
    const time_point until = monotonic_now() + timeout;
    while (monotonic_now() < until) {
        if (condition()) {
            return true;
        }
        run_for(milliseconds(20));
    }
    return condition();
}

std::int64_t cluster::version_at(int i) {
    return number_at(get(instance(i).addresses[1], "/v1/status"), "configuration_version", -1);
}

void cluster::run_for(duration time) {
    bool done = false;
    asio::steady_timer timer(context_);
    timer.expires_after(time);
    timer.async_wait([&](auto) { done = true; });
    context_.restart();
    while (!done) {
        context_.run_one();
    }
}

caller_options cluster::options_for(const std::string& workspace) {
    caller_options options;
    for (const auto& m : instances_) {
        if (!m->running->ended()) {
            options.seeds.push_back(m->addresses[0]);
        }
    }
    options.bearer_key = workspace + "-key";
    options.patience = milliseconds(30'000);
    return options;
}

std::shared_ptr<completion_result> cluster::start_completion(const completion_call& call,
                                                             const std::string& workspace) {
    auto result = std::make_shared<completion_result>();
    callers_.push_back(
        std::make_unique<caller>(context_.get_executor(), options_for(workspace), seed_++));
    asio::co_spawn(
        context_,
        [client = callers_.back().get(), call, result]() -> asio::awaitable<void> {
            *result = co_await client->complete(call);
        },
        asio::detached);
    return result;
}

std::shared_ptr<service_result> cluster::start_service_call(const std::string& key,
                                                            const std::string& operation,
                                                            const std::string& workspace) {
    auto result = std::make_shared<service_result>();
    callers_.push_back(
        std::make_unique<caller>(context_.get_executor(), options_for(workspace), seed_++));
    asio::co_spawn(
        context_,
        [client = callers_.back().get(), key, operation, result]() -> asio::awaitable<void> {
            *result = co_await client->call_service("registry", operation, key, R"({"amount":1})",
                                                    milliseconds(6'000));
        },
        asio::detached);
    return result;
}

int cluster::runs_of(const std::string& key) {
    int runs = 0;
    for (const auto& m : services_) {
        if (m->running->ended()) {
            continue;
        }
        const json::value journal = get(m->addresses[0], "/v1/journal");
        for (const json::value& entry : journal.at("ran").as_array()) {
            runs += text_at(entry, "key") == key ? 1 : 0;
        }
    }
    return runs;
}

int cluster::generations_of(const std::string& key) {
    int count = 0;
    for (const auto& m : engines_) {
        if (m->running->ended()) {
            continue;
        }
        const json::value journal = get(m->addresses[0], "/v1/journal");
        for (const json::value& entry : journal.at("generations").as_array()) {
            count += text_at(entry, "request_key") == key ? 1 : 0;
        }
    }
    return count;
}

completion_call make_call(const std::string& kind, std::uint32_t max_tokens) {
    completion_call call;
    call.key = make_uuid_v7(wall_now());
    call.model = "standard";
    call.kind = kind;
    call.prompt = "Draft a statement for " + call.key;
    call.prompt_tokens = 32;
    call.max_tokens = max_tokens;
    return call;
}

bool has_expected_tokens(const completion_result& result, const completion_call& call) {
    const std::string digest = sha256_hex(call.prompt).substr(0, 8);
    for (std::size_t i = 0; i < result.tokens.size(); ++i) {
        if (result.tokens[i] != fmt::format("{}.{} ", digest, i)) {
            return false;
        }
    }
    return result.doubled == 0 && result.out_of_order == 0 && result.mixed == 0;
}

} // namespace bamboostream::test
