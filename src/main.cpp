// The medlarramp program: subcommands and exit codes.

#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <httplib.h>

#include "entry.h"
#include "gateway.h"
#include "main_admin.h"
#include "main_demo.h"

using namespace Medlarramp;

namespace {

std::optional<std::string> readFile(const std::string &path, Findings &findings)
{
    const std::ifstream file(path);
    if (!file) {
        findings.push_back({path, "", "cannot be read"});
        return std::nullopt;
    }
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

std::optional<nlohmann::json> readJsonFile(const std::string &path, Findings &findings)
{
    const std::optional<std::string> text = readFile(path, findings);
    return text ? parseJson(*text, path, findings) : std::nullopt;
}

std::optional<Settings> readSettings(const std::string &path, Findings &findings)
{
    const std::optional<nlohmann::json> value = readJsonFile(path, findings);
    return value ? parseSettings(*value, path, findings) : std::nullopt;
}

void printFindings(const Findings &findings, bool json)
{
    if (json) {
        fmt::print("{}\n", toJson(findings).dump(2));
    } else {
        fmt::print(stderr, "{}", toString(findings));
    }
}

struct CheckOptions {
    std::string m_settings;
    std::vector<std::string> m_configurations;
    bool m_json = false;
};

int runCheck(const CheckOptions &options)
{
    Findings findings;
    if (!options.m_settings.empty()) {
        readSettings(options.m_settings, findings);
    }
    for (const std::string &path : options.m_configurations) {
        if (const std::optional<nlohmann::json> value = readJsonFile(path, findings)) {
            parseConfiguration(*value, path, findings);
        }
    }
    printFindings(findings, options.m_json);
    return findings.empty() ? ExitDone : ExitUsage;
}

void addCheckCommand(CLI::App &app, int &exitCode)
{
    CLI::App *command = app.add_subcommand("check", "Check settings and configuration files; report every finding.");
    auto options = std::make_shared<CheckOptions>();
    command->add_option("--settings", options->m_settings, "Settings file of an entry process");
    command->add_option("--configuration", options->m_configurations, "Files with templates, organisations and upstreams");
    command->add_flag("--json", options->m_json, "Print the findings as JSON");
    command->callback([options, &exitCode] { exitCode = runCheck(*options); });
}

/** Blocks the termination signals in all threads, so that one thread can wait for them. */
sigset_t blockTerminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int runServe(const std::string &path)
{
    Findings findings;
    const std::optional<Settings> settings = readSettings(path, findings);
    if (!settings) {
        printFindings(findings, false);
        return ExitUsage;
    }
    setLogLevel(settings->m_logLevel);
    const sigset_t signals = blockTerminationSignals();
    Clock clock;
    const absl::StatusOr<std::shared_ptr<Entry>> entry = startEntry(*settings, clock);
    if (!entry.ok()) {
        writeLog(LogLevel::Error, "main", "Start failed.", {{"error", std::string(entry.status().message())}});
        return ExitRefused;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    writeLog(LogLevel::Info, "main", "Shutdown began.", {{"signal", fmt::format("{}", signal)}});
    const int64_t left = stopEntry(**entry);
    writeLog(LogLevel::Info, "main", "Shutdown ended.", {{"requests_left", fmt::format("{}", left)}});
    return left == 0 ? ExitDone : ExitRefused;
}

void addServeCommand(CLI::App &app, int &exitCode)
{
    CLI::App *command = app.add_subcommand("serve", "Run an entry process until SIGTERM or SIGINT.");
    auto settings = std::make_shared<std::string>();
    command->add_option("--settings", *settings, "Settings file")->required();
    command->callback([settings, &exitCode] { exitCode = runServe(*settings); });
}

int runGatewayCommand(std::string path)
{
    if (path.empty()) {
        const char *environment = std::getenv("MEDLARRAMP_SETTINGS");
        path = environment == nullptr ? "" : environment;
    }
    Findings findings;
    const std::optional<nlohmann::json> value = readJsonFile(path, findings);
    const Serving::GatewaySettings settings = value ? Serving::parseGatewaySettings(*value, path, findings) : Serving::GatewaySettings();
    if (!findings.empty()) {
        printFindings(findings, false);
        return ExitUsage;
    }
    setLogLevel(settings.m_logLevel);
    Clock clock;
    if (const absl::Status status = Serving::runGateway(settings, path, clock); !status.ok()) {
        writeLog(LogLevel::Error, "main", "Start failed.", {{"error", std::string(status.message())}});
        return ExitRefused;
    }
    return ExitDone;
}

void addGatewayCommand(CLI::App &app, int &exitCode)
{
    CLI::App *command = app.add_subcommand("gateway", "Run a gateway process until SIGTERM or SIGINT.");
    auto settings = std::make_shared<std::string>();
    command->add_option("--settings", *settings, "Settings file; otherwise MEDLARRAMP_SETTINGS names it");
    command->callback([settings, &exitCode] { exitCode = runGatewayCommand(*settings); });
}

int runStatus(const std::string &server, bool json)
{
    const std::optional<Address> address = parseAddress(server);
    if (!address) {
        fmt::print(stderr, "--server must be an IP number and a port\n");
        return ExitUsage;
    }
    httplib::Client client(address->m_host, address->m_port);
    const httplib::Result result = client.Get("/statusz");
    const nlohmann::json state = nlohmann::json::parse(result ? result->body : "", nullptr, false);
    if (!result || result->status != 200 || !state.is_object()) {
        fmt::print(stderr, "{} gives no answer\n", server);
        return ExitUnreachable;
    }
    if (json) {
        fmt::print("{}\n", state.dump(2));
        return ExitDone;
    }
    fmt::print("node {}, ready {}, draining {}, configuration revision {}, live entries {}, open requests {}\n",
               state.value("node", ""),
               state.value("ready", false),
               state.value("draining", false),
               state.value("configuration_revision", int64_t(0)),
               state.value("live_entries", int64_t(0)),
               state.value("open_requests", int64_t(0)));
    for (const nlohmann::json &pool : state.value("pools", nlohmann::json::array())) {
        fmt::print("  {}: {} of {} replicas usable, {} running, {} queued\n",
                   pool.value("name", ""),
                   pool.value("usable", 0),
                   pool.value("replicas", 0),
                   pool.value("running", 0),
                   pool.value("queued_urgent", 0) + pool.value("queued_batch", 0));
    }
    return ExitDone;
}

void addStatusCommand(CLI::App &app, int &exitCode)
{
    CLI::App *command = app.add_subcommand("status", "Show the state of an entry process.");
    auto server = std::make_shared<std::string>("127.0.0.1:8080");
    auto json = std::make_shared<bool>(false);
    command->add_option("--server", *server, "Address of the entry")->capture_default_str();
    command->add_flag("--json", *json, "Print JSON");
    command->callback([server, json, &exitCode] { exitCode = runStatus(*server, *json); });
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("medlarramp serves multi-stage model pipelines.");
    app.footer("Exit codes: 0 done, 1 failed or refused, 2 usage or findings, 3 server unreachable, 4 conflict.");
    app.require_subcommand(1);
    int exitCode = ExitDone;
    app.add_subcommand("version", "Print the version.")->callback([] { fmt::print("medlarramp {}\n", MEDLARRAMP_VERSION); });
    addServeCommand(app, exitCode);
    addGatewayCommand(app, exitCode);
    addCheckCommand(app, exitCode);
    addStatusCommand(app, exitCode);
    addAdminCommands(app, exitCode);
    addDemoCommand(app, exitCode);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? ExitDone : ExitUsage;
    }
    return exitCode;
}
