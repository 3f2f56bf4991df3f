// One entry process over real sockets: time that it adds, requests per second, open streams. All figures depend on the
// machine and are informative.

#include <algorithm>
#include <list>
#include <thread>

#include <fmt/format.h>
#include <httplib.h>

#include "entry.h"
#include "report.h"
#include "standins.h"

using namespace Medlarramp;
using namespace Medlarramp::Bench;

namespace {

constexpr const char *CallerKey = "bench-key";
constexpr int Stages = 3;

struct Fleet {
    std::list<StagePoolStandin> m_stages;
    std::list<ModelEngineStandin> m_engines;
    std::vector<Replica> m_replicas;
};

std::shared_ptr<const Configuration> benchConfiguration()
{
    nlohmann::json value = nlohmann::json::parse(R"({
        "upstreams": [{"name": "stages", "kind": "stage_pool", "initial_limit": 64},
                      {"name": "engines", "kind": "model_engine", "initial_limit": 128}],
        "templates": [
            {"name": "plain", "stages": [
                {"name": "a", "kind": "infer", "pool": "stages", "model": "m"},
                {"name": "b", "kind": "infer", "pool": "stages", "model": "m", "inputs": ["a"]},
                {"name": "c", "kind": "infer", "pool": "stages", "model": "m", "inputs": ["b"]}]},
            {"name": "stream", "default_deadline_ms": 60000, "stages": [
                {"name": "a", "kind": "infer", "pool": "stages", "model": "m"},
                {"name": "b", "kind": "infer", "pool": "stages", "model": "m", "inputs": ["a"]},
                {"name": "c", "kind": "generate", "pool": "engines", "model": "m", "prompt": "{input}", "max_output_tokens": 75}]}],
        "organisations": [{"name": "bench"}]})");
    value["organisations"][0]["key_digests"] = {toHex(sha256(CallerKey))};
    Findings findings;
    const std::optional<Configuration> configuration = parseConfiguration(value, "bench", findings);
    return configuration ? std::make_shared<const Configuration>(*configuration) : nullptr;
}

bool startFleet(Fleet &fleet)
{
    constexpr int Replicas = 4;
    for (int i = 0; i < Replicas; ++i) {
        StagePoolStandin &stage = fleet.m_stages.emplace_back();
        stage.m_serviceTime = milliseconds(0);
        stage.m_maxRunning = 256;
        ModelEngineStandin &engine = fleet.m_engines.emplace_back();
        engine.m_models = {"m"};
        engine.m_maxRunning = 256;
        engine.m_tokenDelay = milliseconds(40);
        if (!start(stage).ok() || !start(engine).ok()) {
            return false;
        }
        fleet.m_replicas.push_back({stage.m_http.m_address, "stages", "a", ReplicaState::Live});
        fleet.m_replicas.push_back({engine.m_http.m_address, "engines", "a", ReplicaState::Live});
    }
    return true;
}

std::shared_ptr<Entry> startBenchEntry(const Fleet &fleet, Clock &clock)
{
    Settings settings;
    settings.m_node = "bench";
    settings.m_failureDomain = "a";
    settings.m_listen = {"127.0.0.1", 0};
    settings.m_maxConnections = 640;
    settings.m_drainDelay = milliseconds(0);
    EntryParts parts;
    parts.m_configuration = benchConfiguration();
    parts.m_replicas = fleet.m_replicas;
    const auto entry = startEntry(settings, clock, parts);
    return entry.ok() ? *entry : nullptr;
}

using Clients = std::vector<std::unique_ptr<httplib::Client>>;

std::unique_ptr<httplib::Client> makeClient(const Address &address)
{
    auto client = std::make_unique<httplib::Client>(address.m_host, address.m_port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_read_timeout(60);
    return client;
}

bool postPipeline(httplib::Client &client, const char *pipeline, const std::string &body)
{
    const httplib::Headers headers = {{"Authorization", std::string("Bearer ") + CallerKey}};
    const auto result = client.Post(fmt::format("/v1/pipelines/{}/requests", pipeline), headers, body, "application/json");
    return result && result->status == 200;
}

double median(std::vector<double> values)
{
    std::nth_element(values.begin(), values.begin() + static_cast<long>(values.size() / 2), values.end());
    return values[values.size() / 2];
}

template<typename Call>
double medianTime(int calls, const Call &call)
{
    std::vector<double> times;
    times.reserve(static_cast<size_t>(calls));
    for (int i = 0; i < calls; ++i) {
        const auto begun = std::chrono::steady_clock::now();
        call();
        times.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begun).count());
    }
    return median(std::move(times));
}

/** The caller makes the three stage calls itself, one after another. */
double directTime(const Fleet &fleet, int calls)
{
    const auto client = makeClient(fleet.m_replicas[0].m_address);
    const std::string body = R"({"inputs":[{"name":"input","datatype":"BYTES","shape":[1],"data":["{\"request\":\"x\"}"]}]})";
    return medianTime(calls, [&] {
        for (int i = 0; i < Stages; ++i) {
            client->Post("/v2/models/m/infer", body, "application/json");
        }
    });
}

double requestsPerSecond(const Address &address, int threads, seconds duration)
{
    std::atomic<int64_t> answered = 0;
    const auto end = std::chrono::steady_clock::now() + duration;
    std::vector<std::thread> callers;
    callers.reserve(static_cast<size_t>(threads));
    for (int i = 0; i < threads; ++i) {
        callers.emplace_back([&] {
            const auto client = makeClient(address);
            while (std::chrono::steady_clock::now() < end) {
                answered += postPipeline(*client, "plain", R"({"input":"x"})") ? 1 : 0;
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    return static_cast<double>(answered) / static_cast<double>(duration.count());
}

/** Streams of 75 tokens at 25 tokens/s; @return those that ended whole. */
int wholeStreams(const Address &address, int streams)
{
    std::atomic<int> whole = 0;
    std::vector<std::thread> callers;
    callers.reserve(static_cast<size_t>(streams));
    for (int i = 0; i < streams; ++i) {
        callers.emplace_back([&, i] {
            const auto client = makeClient(address);
            const httplib::Headers headers = {{"Authorization", std::string("Bearer ") + CallerKey}};
            const std::string body = fmt::format(R"({{"input":"stream {}","stream":true}})", i);
            const auto result = client->Post("/v1/pipelines/stream/requests", headers, body, "application/json");
            whole += result && result->body.find("event: done") != std::string::npos ? 1 : 0;
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    return whole;
}

void benchEntry(Run &run)
{
    constexpr int Calls = 1'000;
    constexpr int Streams = 500;
    constexpr int CallerThreads = 32;
    setLogLevel(LogLevel::Error);
    Clock clock;
    Fleet fleet;
    const bool started = startFleet(fleet);
    const std::shared_ptr<Entry> entry = started ? startBenchEntry(fleet, clock) : nullptr;
    if (!entry) {
        return;
    }
    const Address address = listenAddress(*entry);
    const auto client = makeClient(address);
    const double direct = directTime(fleet, Calls);
    const double through = medianTime(Calls, [&] { postPipeline(*client, "plain", R"({"input":"x"})"); });
    run.m_figures.push_back({"entry.added_median", through - direct, "ms", Bound::AtMost, 1, {{"direct", direct}}, true});
    const double rate = requestsPerSecond(address, CallerThreads, seconds(5));
    run.m_figures.push_back({"entry.requests_per_second", rate, "requests/s", Bound::AtLeast, 2'000, {}, true});
    const auto begun = std::chrono::steady_clock::now();
    const int whole = wholeStreams(address, Streams);
    const double elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
    run.m_figures.push_back({"entry.whole_streams", static_cast<double>(whole), "streams", Bound::AtLeast, Streams, {}, true});
    run.m_figures.push_back({"entry.stream_time", elapsed, "s", Bound::None, 0, {{"ideal", 3.0}}, true});
    stopEntry(*entry);
}

const Registration EntryBench("entry", benchEntry);

} // namespace
