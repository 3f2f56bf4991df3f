#include <future>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <httplib.h>

#include "standins.h"

using namespace Medlarramp;

namespace {

constexpr seconds Limit{20}; ///< generous, for events that come in milliseconds

httplib::Client clientOf(const HttpStandin &standin)
{
    httplib::Client client(standin.m_address.m_host, standin.m_address.m_port);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_read_timeout(Limit);
    return client;
}

struct Completion {
    std::string m_prompt = "prompt";
    int64_t m_tokens = 4;
    int64_t m_priority = 0;
    std::string m_salt;
    std::string m_request = "r";
};

/** What came back for a completion. */
struct CompletionAnswer {
    int m_status = 0;
    bool m_ended = false; ///< the final marker came
    std::string m_text;
    std::string m_load;
};

CompletionAnswer complete(const HttpStandin &standin, const Completion &completion, const std::function<bool()> &onEvent = nullptr)
{
    const nlohmann::json body = {
        {"model", "m"},
        {"prompt", completion.m_prompt},
        {"max_tokens", completion.m_tokens},
        {"priority", completion.m_priority},
        {"cache_salt", completion.m_salt},
        {"stream", true},
    };
    httplib::Client client = clientOf(standin);
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers = {{"X-Request-Id", completion.m_request}, {"X-Request-Stage", "0"}};
    request.body = body.dump();
    std::string events;
    request.content_receiver = [&](const char *data, size_t length, uint64_t, uint64_t) {
        events.append(data, length);
        return !onEvent || onEvent();
    };
    const httplib::Result result = client.send(request);
    CompletionAnswer answer;
    answer.m_status = result ? result->status : 0;
    answer.m_load = result ? result->get_header_value("Endpoint-Load-Metrics") : "";
    for (size_t at = events.find("data: "); at != std::string::npos; at = events.find("data: ", at + 1)) {
        const std::string data = events.substr(at + 6, events.find('\n', at) - at - 6);
        if (data == "[DONE]") {
            answer.m_ended = true;
        } else if (const nlohmann::json event = nlohmann::json::parse(data, nullptr, false);
                   !event.is_discarded() && !event["choices"].empty()) {
            answer.m_text += event["choices"][0]["text"];
        }
    }
    return answer;
}

struct Engine : ModelEngineStandin {
    Engine()
    {
        m_models = {"m"};
    }
};

/** Status of an order to an engine. */
int order(const HttpStandin &standin, const std::string &model, const std::string &verb, int64_t token)
{
    httplib::Client client = clientOf(standin);
    const std::string body = nlohmann::json{{"parameters", {{"fencing_token", token}}}}.dump();
    const httplib::Result result = client.Post("/v2/repository/models/" + model + "/" + verb, body, "application/json");
    return result ? result->status : 0;
}

/** Status of a call of a plain service; 0 without an answer. */
int call(httplib::Client &client, const std::string &key, const std::string &body = "{}")
{
    const httplib::Result result = client.Post("/pay", {{"Idempotency-Key", key}}, body, "application/json");
    return result ? result->status : 0;
}

void waitForWaiting(ModelEngineStandin &engine, size_t count)
{
    const Clock clock;
    const TimePoint end = now(clock) + Limit;
    while (waitingRequests(engine) != count) {
        CPPUNIT_ASSERT(now(clock) < end);
        std::this_thread::yield();
    }
}

} // namespace

class StandinsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StandinsTest);
    CPPUNIT_TEST(engineContinuesGivenText);
    CPPUNIT_TEST(engineServesUrgentFirst);
    CPPUNIT_TEST(engineBoundsItsQueue);
    CPPUNIT_TEST(enginePrefixCacheSavesTime);
    CPPUNIT_TEST(enginePrefixCacheIsBoundedAndSalted);
    CPPUNIT_TEST(engineStopsWhenCallerLeaves);
    CPPUNIT_TEST(engineDropsWaitingCaller);
    CPPUNIT_TEST(engineChecksFencingToken);
    CPPUNIT_TEST(engineWithoutCheckTakesOldOrder);
    CPPUNIT_TEST(engineLoadsAtTheRateOfTheWeightStore);
    CPPUNIT_TEST(crashEndsAllRequestsAtOnce);
    CPPUNIT_TEST(crashedServerComesBack);
    CPPUNIT_TEST(refusalDoesNotRun);
    CPPUNIT_TEST(refusedConnectionsComeBack);
    CPPUNIT_TEST(lostAnswerCountsAsRun);
    CPPUNIT_TEST(silentConnectionLeavesNewOnesWorking);
    CPPUNIT_TEST(stuckServerStops);
    CPPUNIT_TEST(slowServerIsSlow);
    CPPUNIT_TEST(repeatsAreCountedOrRefused);
    CPPUNIT_TEST(simultaneousRepeatsRunOnce);
    CPPUNIT_TEST(stagePoolRefusesMalformedTensor);
    CPPUNIT_TEST(vmListLags);
    CPPUNIT_TEST(portIsKeptForOneStandin);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a resumed generation that cannot be compared with the whole one.
    void engineContinuesGivenText()
    {
        Engine engine;
        CPPUNIT_ASSERT(start(engine).ok());
        const CompletionAnswer whole = complete(engine.m_http, {.m_tokens = 6});
        CPPUNIT_ASSERT(whole.m_ended);
        CPPUNIT_ASSERT_EQUAL(generatedText("prompt", 6), whole.m_text);
        const std::string half = generatedText("prompt", 3);
        CPPUNIT_ASSERT_EQUAL(whole.m_text, half + complete(engine.m_http, {.m_prompt = "prompt" + half, .m_tokens = 3}).m_text);
        CPPUNIT_ASSERT_EQUAL(uint64_t(2), counts(engine.m_http).m_runsByRequest["r/0"]);
    }

    // Guards against an engine that ignores priorities, which would hide a missing priority.
    void engineServesUrgentFirst()
    {
        Engine engine;
        engine.m_maxRunning = 1;
        CPPUNIT_ASSERT(start(engine).ok());
        std::atomic<bool> holdFirst = true;
        std::atomic<bool> holdOthers = true;
        const auto occupy = [&](const std::string &name, int64_t priority, const std::atomic<bool> &hold) {
            return std::async(std::launch::async, [&engine, &hold, name, priority] {
                complete(engine.m_http, {.m_tokens = 100'000, .m_priority = priority, .m_request = name}, [&] { return hold.load(); });
            });
        };
        auto first = occupy("first", 0, holdFirst);
        CPPUNIT_ASSERT(waitForCounts(engine.m_http, Limit, [](const StandinCounts &c) { return c.m_run == 1; }));
        auto batch = occupy("batch", 10, holdOthers);
        waitForWaiting(engine, 1);
        auto urgent = occupy("urgent", 0, holdOthers);
        waitForWaiting(engine, 2);
        holdFirst = false;
        CPPUNIT_ASSERT(waitForCounts(engine.m_http, Limit, [](const StandinCounts &c) { return c.m_run == 2; }));
        const StandinCounts seen = counts(engine.m_http);
        holdOthers = false;
        CPPUNIT_ASSERT(seen.m_runsByRequest.contains("urgent/0"));
        CPPUNIT_ASSERT(!seen.m_runsByRequest.contains("batch/0"));
    }

    // Guards against an engine that never pushes back.
    void engineBoundsItsQueue()
    {
        Engine engine;
        engine.m_maxRunning = 1;
        engine.m_maxWaiting = 1;
        CPPUNIT_ASSERT(start(engine).ok());
        std::atomic<bool> hold = true;
        const auto occupy = [&] {
            return std::async(std::launch::async, [&] { complete(engine.m_http, {.m_tokens = 100'000}, [&] { return hold.load(); }); });
        };
        auto first = occupy();
        CPPUNIT_ASSERT(waitForCounts(engine.m_http, Limit, [](const StandinCounts &c) { return c.m_run == 1; }));
        auto second = occupy();
        waitForWaiting(engine, 1);
        const CompletionAnswer refused = complete(engine.m_http, {});
        CPPUNIT_ASSERT_EQUAL(429, refused.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string(R"(JSON {"named_metrics":{"num_requests_running":1,"num_requests_waiting":1}})"), refused.m_load);
        hold = false;
        first.get();
        second.get();
    }

    // Guards against a prefix cache without effect, which would make placement look useless.
    void enginePrefixCacheSavesTime()
    {
        Engine engine;
        engine.m_prefillPerBlock = milliseconds(10);
        CPPUNIT_ASSERT(start(engine).ok());
        const Clock clock;
        const Completion completion{.m_prompt = std::string(PrefixBlockBytes * 10, 'x'), .m_tokens = 1};
        const TimePoint begin = now(clock);
        CPPUNIT_ASSERT(complete(engine.m_http, completion).m_ended);
        CPPUNIT_ASSERT(now(clock) - begin >= milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(uint64_t(10), counts(engine.m_http).m_uncachedBlocks);
        CPPUNIT_ASSERT(complete(engine.m_http, completion).m_ended);
        CPPUNIT_ASSERT_EQUAL(uint64_t(10), counts(engine.m_http).m_cachedBlocks);
    }

    // Guards against a cache without limit, and against one that serves an organisation from another's entries.
    void enginePrefixCacheIsBoundedAndSalted()
    {
        Engine engine;
        engine.m_prefillPerBlock = Duration(10);
        engine.m_cacheBlocks = 2;
        CPPUNIT_ASSERT(start(engine).ok());
        const auto cachedAfter = [&](char content, const std::string &salt) {
            const uint64_t before = counts(engine.m_http).m_cachedBlocks;
            complete(engine.m_http, {.m_prompt = std::string(PrefixBlockBytes, content), .m_tokens = 1, .m_salt = salt});
            return counts(engine.m_http).m_cachedBlocks - before;
        };
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), cachedAfter('a', "one"));
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), cachedAfter('a', "two"));
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), cachedAfter('a', "one"));
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), cachedAfter('b', "one")); // removes the entry of "two"
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), cachedAfter('a', "one"));
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), cachedAfter('a', "two"));
    }

    // Guards against generations that go on without a caller, which would hide missing cancellation.
    void engineStopsWhenCallerLeaves()
    {
        Engine engine;
        CPPUNIT_ASSERT(start(engine).ok());
        complete(engine.m_http, {.m_tokens = 100'000}, [] { return false; });
        CPPUNIT_ASSERT(waitForCounts(engine.m_http, Limit, [](const StandinCounts &c) { return c.m_cancelled == 1; }));
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), counts(engine.m_http).m_completed);
    }

    // Guards against a place in the queue that stays taken by a caller that has left.
    void engineDropsWaitingCaller()
    {
        Engine engine;
        engine.m_maxRunning = 1;
        CPPUNIT_ASSERT(start(engine).ok());
        std::atomic<bool> hold = true;
        auto first = std::async(std::launch::async, [&] { complete(engine.m_http, {.m_tokens = 100'000}, [&] { return hold.load(); }); });
        CPPUNIT_ASSERT(waitForCounts(engine.m_http, Limit, [](const StandinCounts &c) { return c.m_run == 1; }));
        httplib::Client client = clientOf(engine.m_http);
        auto second = std::async(
            std::launch::async, [&] { client.Post("/v1/completions", R"({"model":"m","prompt":"p","stream":true})", "application/json"); });
        waitForWaiting(engine, 1);
        client.stop();
        second.get();
        waitForWaiting(engine, 0);
        hold = false;
        first.get();
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), counts(engine.m_http).m_run);
    }

    // Guards against an engine with a fencing check that takes orders of a former leader.
    void engineChecksFencingToken()
    {
        Engine engine;
        CPPUNIT_ASSERT(start(engine).ok());
        CPPUNIT_ASSERT_EQUAL(200, order(engine.m_http, "new", "load", 7));
        CPPUNIT_ASSERT_EQUAL(409, order(engine.m_http, "new", "unload", 6));
        CPPUNIT_ASSERT((loadedModels(engine) == std::vector<std::string>{"m", "new"}));
        CPPUNIT_ASSERT_EQUAL(200, order(engine.m_http, "new", "load", 7));
        httplib::Client client = clientOf(engine.m_http);
        const httplib::Result index = client.Post("/v2/repository/index", "{}", "application/json");
        CPPUNIT_ASSERT(index && nlohmann::json::parse(index->body).size() == 2);
    }

    // Guards against tests of read-back that never meet an engine which obeys an old order.
    void engineWithoutCheckTakesOldOrder()
    {
        Engine engine;
        engine.m_checksFencing = false;
        CPPUNIT_ASSERT(start(engine).ok());
        CPPUNIT_ASSERT_EQUAL(200, order(engine.m_http, "new", "load", 7));
        CPPUNIT_ASSERT_EQUAL(200, order(engine.m_http, "new", "unload", 6));
        CPPUNIT_ASSERT((loadedModels(engine) == std::vector<std::string>{"m"}));
    }

    // Guards against a weight store that hides a fleet which loads too much at once.
    void engineLoadsAtTheRateOfTheWeightStore()
    {
        WeightStoreStandin store;
        store.m_downloadsPerSecond = 0.001;
        store.m_burst = 1;
        CPPUNIT_ASSERT(start(store).ok());
        Engine engine;
        engine.m_weightStore = store.m_http.m_address;
        CPPUNIT_ASSERT(start(engine).ok());
        CPPUNIT_ASSERT_EQUAL(200, order(engine.m_http, "one", "load", 1));
        CPPUNIT_ASSERT_EQUAL(503, order(engine.m_http, "two", "load", 1));
        CPPUNIT_ASSERT((loadedModels(engine) == std::vector<std::string>{"m", "one"}));
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), counts(store.m_http).m_refused);
    }

    // Guards against a crash that only loses its own request, which the crash guard must not count.
    void crashEndsAllRequestsAtOnce()
    {
        PlainServiceStandin service;
        CPPUNIT_ASSERT(start(service).ok());
        setFaults(service.m_http, {.m_delay = Limit * 2, .m_crashContent = "poison"});
        auto other = std::async(std::launch::async, [&] {
            httplib::Client client = clientOf(service.m_http);
            return call(client, "other");
        });
        CPPUNIT_ASSERT(waitForCounts(service.m_http, Limit, [](const StandinCounts &c) { return c.m_run == 1; }));
        httplib::Client client = clientOf(service.m_http);
        CPPUNIT_ASSERT_EQUAL(0, call(client, "suspect", R"({"text":"poison"})"));
        CPPUNIT_ASSERT_EQUAL(0, other.get());
        const StandinCounts seen = counts(service.m_http);
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), seen.m_crashes);
        CPPUNIT_ASSERT_EQUAL(uint64_t(2), seen.m_run);
    }

    // Guards against a crash that lasts for ever, and against a restart that forgets the counts.
    void crashedServerComesBack()
    {
        PlainServiceStandin service;
        CPPUNIT_ASSERT(start(service).ok());
        setFaults(service.m_http, {.m_crashContent = "poison"});
        for (uint64_t crashes = 1; crashes <= 3; ++crashes) {
            CPPUNIT_ASSERT_EQUAL(0, callUntilConnected(service.m_http, "suspect", R"({"text":"poison"})"));
            CPPUNIT_ASSERT_EQUAL(crashes, counts(service.m_http).m_crashes);
            CPPUNIT_ASSERT_EQUAL(200, callUntilConnected(service.m_http, fmt::format("key {}", crashes), "{}"));
        }
        CPPUNIT_ASSERT_EQUAL(uint64_t(3), counts(service.m_http).m_runsByKey["suspect"]);
    }

    // Guards against a refusal that ran, which would make a true "not run" look false.
    void refusalDoesNotRun()
    {
        PlainServiceStandin service;
        CPPUNIT_ASSERT(start(service).ok());
        setFaults(service.m_http, {.m_refuseStatus = 503, .m_leaving = true});
        httplib::Client client = clientOf(service.m_http);
        const httplib::Result result = client.Post("/pay", "{}", "application/json");
        CPPUNIT_ASSERT(result);
        CPPUNIT_ASSERT_EQUAL(503, result->status);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), result->get_header_value("Retry-After"));
        CPPUNIT_ASSERT_EQUAL(std::string("leaving"), result->get_header_value("X-Upstream-State"));
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), counts(service.m_http).m_run);
    }

    // Guards against a dead upstream that still accepts connections.
    void refusedConnectionsComeBack()
    {
        PlainServiceStandin service;
        CPPUNIT_ASSERT(start(service).ok());
        setFaults(service.m_http, {.m_refuseConnections = true});
        httplib::Client client = clientOf(service.m_http);
        const httplib::Result refused = client.Post("/pay", "{}", "application/json");
        CPPUNIT_ASSERT(refused.error() == httplib::Error::Connection);
        setFaults(service.m_http, {});
        CPPUNIT_ASSERT_EQUAL(200, callUntilConnected(service.m_http, "key", "{}"));
    }

    // Guards against a lost answer that is not counted as a run.
    void lostAnswerCountsAsRun()
    {
        PlainServiceStandin service;
        CPPUNIT_ASSERT(start(service).ok());
        setFaults(service.m_http, {.m_closeAfter = 0});
        httplib::Client client = clientOf(service.m_http);
        CPPUNIT_ASSERT_EQUAL(0, call(client, "key"));
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), counts(service.m_http).m_runsByKey["key"]);
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), counts(service.m_http).m_completed);
    }

    // Guards against a silence that also stops new connections, which is another fault.
    void silentConnectionLeavesNewOnesWorking()
    {
        PlainServiceStandin service;
        CPPUNIT_ASSERT(start(service).ok());
        httplib::Client old = clientOf(service.m_http);
        CPPUNIT_ASSERT_EQUAL(200, call(old, "one"));
        silenceConnections(service.m_http);
        auto silent = std::async(std::launch::async, [&] { return call(old, "two"); });
        CPPUNIT_ASSERT(waitForCounts(service.m_http, Limit, [](const StandinCounts &c) { return c.m_received == 2; }));
        httplib::Client fresh = clientOf(service.m_http);
        CPPUNIT_ASSERT_EQUAL(200, call(fresh, "three"));
        CPPUNIT_ASSERT(silent.wait_for(seconds(0)) == std::future_status::timeout);
        CPPUNIT_ASSERT(!counts(service.m_http).m_runsByKey.contains("two"));
        stop(service);
        CPPUNIT_ASSERT_EQUAL(0, silent.get());
    }

    // Guards against a test that cannot end because a stand-in holds its requests.
    void stuckServerStops()
    {
        StagePoolStandin pool;
        CPPUNIT_ASSERT(start(pool).ok());
        setFaults(pool.m_http, {.m_stuck = true});
        auto stuck = std::async(std::launch::async, [&] {
            httplib::Client client = clientOf(pool.m_http);
            return client.Post("/v2/models/m/infer", R"({"inputs":[{"data":["1"]}]})", "application/json").error();
        });
        CPPUNIT_ASSERT(waitForCounts(pool.m_http, Limit, [](const StandinCounts &c) { return c.m_run == 1; }));
        stop(pool);
        CPPUNIT_ASSERT(stuck.get() == httplib::Error::Read);
    }

    // Guards against a straggler that is as fast as the others.
    void slowServerIsSlow()
    {
        PlainServiceStandin service;
        service.m_serviceTime = milliseconds(10);
        CPPUNIT_ASSERT(start(service).ok());
        setFaults(service.m_http, {.m_delay = milliseconds(20), .m_slowdown = 10});
        const Clock clock;
        const TimePoint begin = now(clock);
        httplib::Client client = clientOf(service.m_http);
        CPPUNIT_ASSERT_EQUAL(200, call(client, "key"));
        CPPUNIT_ASSERT(now(clock) - begin >= milliseconds(120));
    }

    // Guards against a service that hides a call which ran twice.
    void repeatsAreCountedOrRefused()
    {
        PlainServiceStandin service;
        CPPUNIT_ASSERT(start(service).ok());
        httplib::Client client = clientOf(service.m_http);
        CPPUNIT_ASSERT_EQUAL(200, call(client, "key"));
        CPPUNIT_ASSERT_EQUAL(200, call(client, "key"));
        CPPUNIT_ASSERT_EQUAL(uint64_t(2), counts(service.m_http).m_runsByKey["key"]);
        service.m_refusesRepeats = true;
        CPPUNIT_ASSERT_EQUAL(409, call(client, "key"));
        CPPUNIT_ASSERT_EQUAL(uint64_t(2), counts(service.m_http).m_runsByKey["key"]);
    }

    // Guards against a service that runs two calls with one key because they arrive together.
    void simultaneousRepeatsRunOnce()
    {
        constexpr int Calls = 8;
        PlainServiceStandin service;
        service.m_refusesRepeats = true;
        CPPUNIT_ASSERT(start(service).ok());
        std::vector<std::future<int>> calls;
        calls.reserve(Calls);
        for (int i = 0; i < Calls; ++i) {
            calls.push_back(std::async(std::launch::async, [&] {
                httplib::Client client = clientOf(service.m_http);
                return call(client, "key");
            }));
        }
        int answered = 0;
        for (std::future<int> &result : calls) {
            answered += result.get() == 200 ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(1, answered);
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), counts(service.m_http).m_runsByKey["key"]);
    }

    // Guards against a stand-in that accepts what a real stage pool refuses.
    void stagePoolRefusesMalformedTensor()
    {
        StagePoolStandin pool;
        CPPUNIT_ASSERT(start(pool).ok());
        httplib::Client client = clientOf(pool.m_http);
        for (const char *body : {"", "{}", R"({"inputs":[]})", R"({"inputs":[{"data":[1]}]})", R"({"inputs":[{"data":["{"]}]})"}) {
            const httplib::Result result = client.Post("/v2/models/m/infer", body, "application/json");
            CPPUNIT_ASSERT(result);
            CPPUNIT_ASSERT_EQUAL(400, result->status);
        }
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), counts(pool.m_http).m_run);
    }

    // Guards against a list that is always right, which would hide that leaving must be learned elsewhere.
    void vmListLags()
    {
        VmListStandin list;
        CPPUNIT_ASSERT(start(list).ok());
        const Replica live{{"127.0.0.1", 9001}, "p", "a", ReplicaState::Live};
        Replica leaving = live;
        leaving.m_state = ReplicaState::Leaving;
        setVms(list, {live});
        list.m_lag = milliseconds(200);
        const Clock clock;
        const TimePoint set = now(clock);
        setVms(list, {leaving});
        httplib::Client client = clientOf(list.m_http);
        const auto state = [&] { return nlohmann::json::parse(client.Get("/vms")->body)[0]["labels"]["state"].get<std::string>(); };
        const std::string first = state();
        CPPUNIT_ASSERT(first == "live" || now(clock) - set >= milliseconds(200));
        while (state() != "leaving") {
            CPPUNIT_ASSERT(now(clock) - set < Limit);
        }
        CPPUNIT_ASSERT(now(clock) - set >= milliseconds(200));
    }

    // Guards against two stand-ins that share a port and answer for each other.
    void portIsKeptForOneStandin()
    {
        PlainServiceStandin first;
        CPPUNIT_ASSERT(start(first).ok());
        PlainServiceStandin second;
        CPPUNIT_ASSERT(!start(second, first.m_http.m_address.m_port).ok());
    }

    /** Calls until a connection is accepted. @return the status; 0 when the connection was lost after that. */
    static int callUntilConnected(HttpStandin &standin, const std::string &key, const std::string &body)
    {
        const Clock clock;
        const TimePoint end = now(clock) + Limit;
        while (true) {
            httplib::Client client = clientOf(standin);
            const uint64_t before = counts(standin).m_received;
            const int status = call(client, key, body);
            if (status != 0 || counts(standin).m_received > before) {
                return status;
            }
            CPPUNIT_ASSERT(now(clock) < end);
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(StandinsTest, "standins");
