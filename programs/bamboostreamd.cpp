// The daemon that runs one instance.

#include "bamboostream/Core"
#include "bamboostream/Entry"

int main(int argc, char** argv) {
    using namespace bamboostream;
    instance_settings values;
    settings s("bamboostreamd", "Serves model generations and calls to plain services");
    s.address("caller-listen", &values.caller_listen, "Address for callers");
    s.address("operator-listen", &values.operator_listen, "Address for operators");
    s.address("peer-listen", &values.peer_listen, "Address for other instances");
    s.address("log", &values.log_address, "Address of the platform's log", true);
    s.address("platform", &values.platform_address, "Address of the platform's instance list",
              true);
    s.text("failure-domain", &values.failure_domain, "Failure domain this instance stands in",
           true);
    s.text("announce-file", &values.announce_file,
           "File to write the addresses in use to: callers, operators, peers");
    s.number("threads", &values.threads, "Traffic threads", 1, 64);
    s.number("body-limit", &values.body_limit, "Largest request body in bytes", 1024, 1'048'576);
    s.duration_ms("log-timeout-ms", &values.log_timeout, "Time for an answer of the platform", 10,
                  60'000);
    s.duration_ms("drain-limit-ms", &values.drain_limit, "Time open streams get at a shutdown", 0,
                  86'400'000);
    s.duration_ms("away-limit-ms", &values.away_limit,
                  "Time a generation goes on without its caller", 0, 3'600'000);
    s.duration_ms("ledger-window-ms", &values.ledger_window,
                  "Age that keys of non-idempotent calls may have", 1'000, 86'400'000);
    s.duration_ms("snapshot-period-ms", &values.snapshot_period,
                  "Time between restatements of the configuration on the log", 500, 86'400'000);
    if (s.parse(argc, argv) != settings_outcome::run) {
        return s.exit_code();
    }
    instance serving(values);
    return serving.run();
}
