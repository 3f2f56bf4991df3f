#include "main_demo.h"

#include <csignal>
#include <fstream>
#include <list>
#include <sstream>

#include <fmt/format.h>
#include <httplib.h>

#include "entry.h"
#include "standins.h"
#include "standins_store.h"

namespace Medlarramp {

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Deployment on stand-ins
//-----------------------------------------------------------------------------

/** Replicas of one pool in the demo; the numbers are those of the example deployments. */
struct DemoPool {
    std::string m_name;
    UpstreamKind m_kind = UpstreamKind::StagePool;
    int m_replicas = 2;
};

/** One deployment: its stand-ins, which must not move once started. */
struct DemoFleet {
    std::list<ModelEngineStandin> m_engines;
    std::list<StagePoolStandin> m_stages;
    std::list<PlainServiceStandin> m_services;
    std::vector<Replica> m_replicas;
    VmListStandin m_vmList;
    KeyValueState m_storeState;
    std::unique_ptr<StoreServer> m_store;
};

std::vector<DemoPool> demoPools(const Configuration &configuration)
{
    constexpr int EngineReplicas = 9;
    constexpr int ServiceReplicas = 4;
    std::vector<DemoPool> pools;
    for (const auto &[name, upstream] : configuration.m_upstreams) {
        int replicas = 2;
        if (upstream->m_kind == UpstreamKind::ModelEngine) {
            replicas = EngineReplicas;
        } else if (upstream->m_kind == UpstreamKind::PlainService) {
            replicas = ServiceReplicas;
        }
        pools.push_back({name, upstream->m_kind, replicas});
    }
    return pools;
}

absl::Status startReplica(DemoFleet &fleet, const DemoPool &pool, const Configuration &configuration, Replica &replica)
{
    absl::Status status;
    if (pool.m_kind == UpstreamKind::ModelEngine) {
        ModelEngineStandin &engine = fleet.m_engines.emplace_back();
        engine.m_models = configuration.m_upstreams.at(pool.m_name)->m_models;
        status = start(engine);
        replica.m_address = engine.m_http.m_address;
    } else if (pool.m_kind == UpstreamKind::StagePool) {
        StagePoolStandin &stage = fleet.m_stages.emplace_back();
        status = start(stage);
        replica.m_address = stage.m_http.m_address;
    } else {
        PlainServiceStandin &service = fleet.m_services.emplace_back();
        status = start(service);
        replica.m_address = service.m_http.m_address;
    }
    return status;
}

absl::Status startFleet(DemoFleet &fleet, const Configuration &configuration, const std::string &region)
{
    constexpr int FailureDomains = 3;
    for (const DemoPool &pool : demoPools(configuration)) {
        for (int i = 0; i < pool.m_replicas; ++i) {
            Replica replica;
            replica.m_pool = pool.m_name;
            replica.m_failureDomain = fmt::format("{}-{}", region, static_cast<char>('a' + i % FailureDomains));
            if (absl::Status status = startReplica(fleet, pool, configuration, replica); !status.ok()) {
                return status;
            }
            fleet.m_replicas.push_back(replica);
        }
    }
    setVms(fleet.m_vmList, fleet.m_replicas);
    if (absl::Status status = start(fleet.m_vmList); !status.ok()) {
        return status;
    }
    fleet.m_store = startStoreServer(fleet.m_storeState);
    return fleet.m_store ? absl::OkStatus() : absl::UnavailableError("cannot start the store");
}

void stopFleet(DemoFleet &fleet)
{
    stopStoreServer(*fleet.m_store);
    stop(fleet.m_vmList);
    for (ModelEngineStandin &engine : fleet.m_engines) {
        stop(engine);
    }
    for (StagePoolStandin &stage : fleet.m_stages) {
        stop(stage);
    }
    for (PlainServiceStandin &service : fleet.m_services) {
        stop(service);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

struct DemoCall {
    std::string m_title;
    std::string m_pipeline;
    std::string m_key;
    nlohmann::json m_body;
    std::string m_idempotencyKey;
};

struct DemoAnswer {
    int m_status = 0;
    std::string m_body;
};

DemoAnswer post(httplib::Client &client, const DemoCall &call)
{
    httplib::Headers headers = {{"Authorization", "Bearer " + call.m_key}};
    if (!call.m_idempotencyKey.empty()) {
        headers.emplace("Idempotency-Key", call.m_idempotencyKey);
    }
    const std::string path = fmt::format("/v1/pipelines/{}/requests", call.m_pipeline);
    const httplib::Result result = client.Post(path, headers, call.m_body.dump(), "application/json");
    return result ? DemoAnswer{result->status, result->body} : DemoAnswer{};
}

/** Prints one line for an answer and counts it when it is not as expected. */
struct DemoReport {
    int m_wrong = 0;
};

void report(DemoReport &demo, const std::string &title, bool right, const std::string &answer)
{
    constexpr size_t ShownBytes = 160;
    std::string shown = answer.substr(0, ShownBytes);
    std::replace(shown.begin(), shown.end(), '\n', ' ');
    fmt::print("{:5} {}: {}{}\n", right ? "right" : "WRONG", title, shown, answer.size() > ShownBytes ? " ..." : "");
    demo.m_wrong += right ? 0 : 1;
}

/** The text of all token events, and whether the stream ended with a done event that repeats it. */
bool isWholeStream(const std::string &body)
{
    std::string text;
    std::istringstream lines(body);
    std::string line;
    std::string event;
    bool whole = false;
    while (std::getline(lines, line)) {
        if (line.starts_with("event: ")) {
            event = line.substr(7);
        } else if (line.starts_with("data: ")) {
            const nlohmann::json data = nlohmann::json::parse(line.substr(6), nullptr, false);
            if (event == "token") {
                text += data.value("text", "");
            }
            whole = event == "done" && data.value("output", "") == text && !text.empty();
        }
    }
    return whole;
}

struct DemoScript {
    std::string m_streamed; ///< pipeline that ends with a generation
    std::string m_payment; ///< pipeline with a non-idempotent stage
    std::string m_batch; ///< pipeline for batch jobs
    std::string m_key;
    std::string m_paymentStage; ///< the stage that runs at most once
};

/** Runs of calls with an idempotency key, over all plain services, of the call that was run most often. */
uint64_t paymentRuns(DemoFleet &fleet)
{
    std::map<std::string, uint64_t> runs;
    uint64_t most = 0;
    for (PlainServiceStandin &service : fleet.m_services) {
        for (const auto &[key, count] : counts(service.m_http).m_runsByKey) {
            runs[key] += count;
            most = std::max(most, runs[key]);
        }
    }
    return most;
}

/** Output of the stage that runs at most once; null when the answer has none. */
nlohmann::json stageOutput(const nlohmann::json &answer, const DemoScript &script)
{
    return answer.value("stages", nlohmann::json::object()).value(script.m_paymentStage, nlohmann::json());
}

/** Submits a batch job and polls it to its end. */
void runBatchJob(DemoReport &demo, const DemoScript &script, httplib::Client &client)
{
    constexpr int MaxPolls = 20;
    const httplib::Headers headers = {{"Authorization", "Bearer " + script.m_key}};
    const std::string path = fmt::format("/v1/pipelines/{}/jobs", script.m_batch);
    const httplib::Result submitted = client.Post(path, headers, R"({"input":"next week","class":"batch"})", "application/json");
    const nlohmann::json accepted = nlohmann::json::parse(submitted ? submitted->body : "", nullptr, false);
    report(demo, "batch job accepted", submitted && submitted->status == 202, submitted ? submitted->body : "");
    if (!submitted || submitted->status != 202) {
        return;
    }
    nlohmann::json job = nlohmann::json::object();
    for (int i = 0; i < MaxPolls && job.value("state", "") != "finished"; ++i) {
        const httplib::Result polled = client.Get("/v1/jobs/" + accepted.value("job", "") + "?wait_ms=1000", headers);
        job = nlohmann::json::parse(polled ? polled->body : "", nullptr, false);
        if (!job.is_object()) {
            break;
        }
    }
    report(demo, "batch job finished", job.is_object() && job.value("outcome", "") == "answered", job.dump());
}

void runScript(DemoReport &demo, const DemoScript &script, const Address &address, DemoFleet &fleet)
{
    httplib::Client client(address.m_host, address.m_port);
    client.set_read_timeout(30);
    DemoCall streamed{
        "streamed generation", script.m_streamed, script.m_key, {{"input", "It rains. Is there an umbrella left?"}, {"stream", true}}, {}};
    const DemoAnswer stream = post(client, streamed);
    report(demo, streamed.m_title, stream.m_status == 200 && isWholeStream(stream.m_body), stream.m_body);

    DemoCall whole{"whole answer", script.m_streamed, script.m_key, {{"input", "Where is the next kiosk?"}}, {}};
    const DemoAnswer answer = post(client, whole);
    const nlohmann::json body = nlohmann::json::parse(answer.m_body, nullptr, false);
    report(demo, whole.m_title, answer.m_status == 200 && body.value("outcome", "") == "answered", answer.m_body);

    DemoCall late{"deadline that cannot be met", script.m_streamed, script.m_key, {{"input", "Now!"}, {"deadline_ms", 1}}, {}};
    const DemoAnswer refused = post(client, late);
    const nlohmann::json lateBody = nlohmann::json::parse(refused.m_body, nullptr, false);
    report(demo, late.m_title, refused.m_status >= 500 && lateBody.value("outcome", "") != "answered", refused.m_body);

    DemoCall keyless{"payment without an idempotency key", script.m_payment, script.m_key, {{"input", "umbrella 17"}}, {}};
    const DemoAnswer missing = post(client, keyless);
    report(demo, keyless.m_title, missing.m_status == 400, missing.m_body);

    const Clock clock;
    const std::string key = toString(makeIdentifier(clock));
    DemoCall payment{"payment", script.m_payment, script.m_key, {{"input", "umbrella 17"}}, key};
    const DemoAnswer first = post(client, payment);
    const nlohmann::json firstBody = nlohmann::json::parse(first.m_body, nullptr, false);
    report(demo, payment.m_title, first.m_status == 200 && firstBody.value("outcome", "") == "answered", first.m_body);

    const uint64_t runs = paymentRuns(fleet);
    const DemoAnswer second = post(client, payment);
    const nlohmann::json secondBody = nlohmann::json::parse(second.m_body, nullptr, false);
    const bool sameAnswer = second.m_status == 200 && stageOutput(secondBody, script) == stageOutput(firstBody, script);
    report(demo, "the same payment again: same answer, one run", sameAnswer && paymentRuns(fleet) == runs && runs == 1, second.m_body);

    DemoCall other{"the same key with another body", script.m_payment, script.m_key, {{"input", "umbrella 18"}}, key};
    const DemoAnswer mismatch = post(client, other);
    report(demo, other.m_title, mismatch.m_status == 422, mismatch.m_body);

    runBatchJob(demo, script, client);

    DemoCall stranger{"unknown key", script.m_streamed, "no-such-key", {{"input", "x"}}, {}};
    const DemoAnswer unknown = post(client, stranger);
    report(demo, stranger.m_title, unknown.m_status == 401, unknown.m_body);
}

void printTables(Metrics &metrics)
{
    fmt::print("\n{:20} {:8} {:>9} {:>11}\n", "pipeline", "class", "requests", "in deadline");
    for (const AttainmentRow &row : attainmentTable(metrics)) {
        fmt::print("{:20} {:8} {:9} {:11}\n", row.m_pipeline, toString(row.m_class), row.m_requests, row.m_inDeadline);
    }
    fmt::print("\n{:20} {:10} {:8} {:>10} {:>7}\n", "pipeline", "stage", "use", "seconds", "tokens");
    for (const CostRow &row : costTable(metrics)) {
        fmt::print("{:20} {:10} {:8} {:10.4f} {:7}\n", row.m_pipeline, row.m_stage, toString(row.m_use), row.m_seconds, row.m_tokens);
    }
    fmt::print("\n");
}

//-----------------------------------------------------------------------------
// [SECTION] Command
//-----------------------------------------------------------------------------

std::optional<Configuration> readConfigurationFile(const std::string &path, Findings &findings)
{
    const std::ifstream file(path);
    std::ostringstream content;
    content << file.rdbuf();
    const std::optional<nlohmann::json> value = parseJson(content.str(), path, findings);
    return value ? parseConfiguration(*value, path, findings) : std::nullopt;
}

struct DemoOptions {
    std::string m_examples = "examples";
    int m_port = 0;
    bool m_keep = false;
};

void keepRunning(const Address &address, const DemoScript &script)
{
    fmt::print("The entry listens on {}. Try:\n", toString(address));
    fmt::print("  curl -N -H 'Authorization: Bearer {}' -d '{{\"input\":\"Hello\",\"stream\":true}}' http://{}/v1/pipelines/{}/requests\n",
               script.m_key,
               toString(address),
               script.m_streamed);
    fmt::print("  curl http://{}/metrics\n", toString(address));
    fmt::print("Stop it with Ctrl-C.\n");
    std::fflush(stdout);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    int signal = 0;
    sigwait(&signals, &signal);
}

constexpr const char *AdminKeyVariable = "MEDLARRAMP_DEMO_ADMIN_KEY";
constexpr const char *PeerKeyVariable = "MEDLARRAMP_DEMO_PEER_KEY";

Settings demoSettings(const DemoOptions &options, const std::string &region, DemoFleet &fleet)
{
    Settings settings;
    settings.m_node = region + "-entry-1";
    settings.m_region = region;
    settings.m_failureDomain = region + "-a";
    settings.m_listen = {"127.0.0.1", options.m_port};
    settings.m_peer = {"127.0.0.1", 0};
    settings.m_storeEndpoints = {fleet.m_store->m_address};
    settings.m_vmList = fleet.m_vmList.m_http.m_address;
    settings.m_maxConnections = 64;
    settings.m_drainDelay = milliseconds(0);
    settings.m_adminKeys = {{"demo", AdminRole::EditAll, "", {AdminKeyVariable, ""}}};
    settings.m_peerKeys = {{1, {PeerKeyVariable, ""}}};
    return settings;
}

/** Puts every object of the example through the administration API. */
bool putConfiguration(const Configuration &configuration, const Address &address)
{
    httplib::Client client(address.m_host, address.m_port);
    const httplib::Headers headers = {{"Authorization", std::string("Bearer ") + std::getenv(AdminKeyVariable)}};
    bool accepted = true;
    const auto put = [&](const std::string &kind, const std::string &name, const nlohmann::json &object) {
        const std::string path = fmt::format("/admin/v1/{}/{}?wait_ms=5000", kind, name);
        const httplib::Result result = client.Put(path, headers, object.dump(), "application/json");
        if (!result || result->status >= 300) {
            fmt::print("WRONG {} {}: {}\n", kind, name, result ? result->body : "no answer");
            accepted = false;
        }
    };
    for (const auto &[name, upstream] : configuration.m_upstreams) {
        put("upstreams", name, toJson(*upstream));
    }
    for (const auto &[name, pipeline] : configuration.m_templates) {
        put("templates", name, toJson(*pipeline));
    }
    for (const auto &[name, organisation] : configuration.m_organisations) {
        put("organisations", name, toJson(*organisation));
    }
    return accepted;
}

/** Waits for readiness as the platform's balancer does. */
bool awaitReady(const Address &address, const Clock &clock)
{
    constexpr seconds ReadyLimit{20};
    constexpr milliseconds ReadyPoll{20};
    httplib::Client client(address.m_host, address.m_port);
    StopSignal never;
    const TimePoint limit = now(clock) + ReadyLimit;
    while (now(clock) < limit) {
        const httplib::Result result = client.Get("/readyz");
        if (result && result->status == 200) {
            return true;
        }
        sleepFor(clock, never, ReadyPoll);
    }
    return false;
}

absl::Status runDeployment(DemoReport &demo, const DemoOptions &options, const std::string &region, const DemoScript &script, bool keep)
{
    Findings findings;
    const std::optional<Configuration> configuration =
        readConfigurationFile(fmt::format("{}/{}.json", options.m_examples, region), findings);
    if (!configuration) {
        return absl::InvalidArgumentError(toString(findings));
    }
    Clock clock;
    DemoFleet fleet;
    fleet.m_storeState.m_clock = &clock;
    if (absl::Status status = startFleet(fleet, *configuration, region); !status.ok()) {
        return status;
    }
    const absl::StatusOr<std::shared_ptr<Entry>> entry = startEntry(demoSettings(options, region, fleet), clock);
    if (!entry.ok()) {
        return entry.status();
    }
    fmt::print("== {}\n", region);
    const Address address = listenAddress(**entry);
    report(demo, "ready", awaitReady(address, clock), "");
    report(demo, "configuration in force", putConfiguration(*configuration, address), "");
    runScript(demo, script, address, fleet);
    printTables(*blackboard(**entry).m_metrics);
    if (keep) {
        keepRunning(address, script);
    }
    demo.m_wrong += stopEntry(**entry) == 0 ? 0 : 1;
    stopFleet(fleet);
    return absl::OkStatus();
}

int runDemo(const DemoOptions &options)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    setLogLevel(LogLevel::Error);
    setenv(AdminKeyVariable, "demo-admin-key", 0);
    setenv(PeerKeyVariable, "demo-peer-key", 0);
    const DemoScript santiago{"customer-reply", "rental-payment", "restock-plan", "demo-key-kiosk-centro", "confirm"};
    const DemoScript lagos{"hint-ladder", "prize-redemption", "riddle-pack", "demo-key-lagoon-hunts", "redeem"};
    DemoReport demo;
    for (const auto &[region, script] : {std::pair{"lagos", lagos}, std::pair{"santiago", santiago}}) {
        const bool keep = options.m_keep && std::string_view(region) == "santiago";
        if (const absl::Status status = runDeployment(demo, options, region, script, keep); !status.ok()) {
            fmt::print(stderr, "demo: {}\n", std::string(status.message()));
            return 1;
        }
    }
    fmt::print("{} wrong answers\n", demo.m_wrong);
    return demo.m_wrong == 0 ? 0 : 1;
}

} // namespace

void addDemoCommand(CLI::App &app, int &exitCode)
{
    CLI::App *command = app.add_subcommand("demo", "Run both example deployments on stand-ins and check every answer.");
    auto options = std::make_shared<DemoOptions>();
    command->add_option("--examples", options->m_examples, "Folder with the example configurations")->capture_default_str();
    command->add_option("--port", options->m_port, "Port of the entry; 0 takes a free one")->capture_default_str();
    command->add_flag("--keep", options->m_keep, "Stay up after the requests");
    command->callback([options, &exitCode] { exitCode = runDemo(*options); });
}

} // namespace Medlarramp
