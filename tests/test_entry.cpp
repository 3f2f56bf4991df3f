// Several entry processes in one test process, over real sockets, before stand-ins of every outside system.

#include <list>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <httplib.h>

#include "entry.h"
#include "standins.h"
#include "standins_store.h"

using namespace Medlarramp;

namespace {

constexpr const char *AdminVariable = "MEDLARRAMP_TEST_ADMIN_KEY";
constexpr const char *PeerVariable = "MEDLARRAMP_TEST_PEER_KEY";
constexpr const char *CallerKey = "test-caller-key";
constexpr const char *OtherKey = "test-other-key";
constexpr seconds EventLimit{60}; ///< generous: the machine may be busy

const char *const ConfigurationText = R"({
    "upstreams": [
        {"name": "encoders", "kind": "stage_pool", "models": ["m"]},
        {"name": "engines", "kind": "model_engine", "models": ["m"], "resumes_streams": true},
        {"name": "payments", "kind": "plain_service"}
    ],
    "templates": [
        {"name": "pay", "default_deadline_ms": 20000, "stages": [
            {"name": "screen", "kind": "infer", "pool": "encoders", "model": "m"},
            {"name": "confirm", "kind": "call", "pool": "payments", "path": "/pay", "idempotent": false},
            {"name": "note", "kind": "infer", "pool": "encoders", "model": "m", "inputs": ["confirm"]}]},
        {"name": "write", "default_deadline_ms": 20000, "stages": [
            {"name": "encode", "kind": "infer", "pool": "encoders", "model": "m"},
            {"name": "rank", "kind": "infer", "pool": "encoders", "model": "m", "inputs": ["encode"]},
            {"name": "text", "kind": "generate", "pool": "engines", "model": "m", "prompt": "{input}", "max_output_tokens": 40}]}
    ],
    "organisations": []
})";

/** All outside systems of one test. */
struct Platform {
    std::list<StagePoolStandin> m_encoders;
    std::list<ModelEngineStandin> m_engines;
    std::list<PlainServiceStandin> m_payments;
    KeyValueState m_storeState;
    std::unique_ptr<StoreServer> m_store;
    VmListStandin m_vmList;
};

Replica replicaOf(const char *pool, const HttpStandin &standin)
{
    return {standin.m_address, pool, "a", ReplicaState::Live};
}

void startPlatform(Platform &platform, const Clock &clock)
{
    constexpr int Replicas = 3;
    std::vector<Replica> vms;
    for (int i = 0; i < Replicas; ++i) {
        CPPUNIT_ASSERT(start(platform.m_encoders.emplace_back()).ok());
        ModelEngineStandin &engine = platform.m_engines.emplace_back();
        engine.m_models = {"m"};
        CPPUNIT_ASSERT(start(engine).ok());
        CPPUNIT_ASSERT(start(platform.m_payments.emplace_back()).ok());
        vms.push_back(replicaOf("encoders", platform.m_encoders.back().m_http));
        vms.push_back(replicaOf("engines", engine.m_http));
        vms.push_back(replicaOf("payments", platform.m_payments.back().m_http));
    }
    platform.m_storeState.m_clock = &clock;
    platform.m_store = startStoreServer(platform.m_storeState);
    CPPUNIT_ASSERT(platform.m_store);
    setVms(platform.m_vmList, std::move(vms));
    CPPUNIT_ASSERT(start(platform.m_vmList).ok());
}

Settings entrySettings(const Platform &platform, int number, const std::vector<Address> &seeds)
{
    Settings settings;
    settings.m_node = fmt::format("entry-{}", number);
    settings.m_failureDomain = "a";
    settings.m_listen = {"127.0.0.1", 0};
    settings.m_peer = {"127.0.0.1", 0};
    settings.m_seeds = seeds;
    settings.m_storeEndpoints = {platform.m_store->m_address};
    settings.m_vmList = platform.m_vmList.m_http.m_address;
    settings.m_adminKeys = {{"test", AdminRole::EditAll, "", {AdminVariable, ""}}};
    settings.m_peerKeys = {{1, {PeerVariable, ""}}};
    settings.m_maxConnections = 24;
    settings.m_drainDelay = milliseconds(100);
    return settings;
}

struct Answer {
    int m_status = 0;
    nlohmann::json m_body;
    std::string m_text;
};

Answer toAnswer(const httplib::Result &result)
{
    if (!result) {
        return {};
    }
    return {result->status, nlohmann::json::parse(result->body, nullptr, false), result->body};
}

std::unique_ptr<httplib::Client> connect(Entry &entry)
{
    const Address address = listenAddress(entry);
    auto client = std::make_unique<httplib::Client>(address.m_host, address.m_port);
    client->set_read_timeout(EventLimit.count());
    return client;
}

Answer post(Entry &entry, const std::string &path, const nlohmann::json &body, const std::string &key = {}, const char *caller = CallerKey)
{
    httplib::Headers headers = {{"Authorization", std::string("Bearer ") + caller}};
    if (!key.empty()) {
        headers.emplace("Idempotency-Key", key);
    }
    return toAnswer(connect(entry)->Post(path, headers, body.dump(), "application/json"));
}

Answer get(Entry &entry, const std::string &path, const char *caller = CallerKey)
{
    return toAnswer(connect(entry)->Get(path, {{"Authorization", std::string("Bearer ") + caller}}));
}

/** Repeats a look over HTTP until it holds. */
bool await(const Clock &clock, const std::function<bool()> &holds)
{
    StopSignal never;
    const TimePoint limit = now(clock) + EventLimit;
    while (now(clock) < limit) {
        if (holds()) {
            return true;
        }
        sleepFor(clock, never, milliseconds(20));
    }
    return false;
}

uint64_t paymentRuns(Platform &platform)
{
    uint64_t runs = 0;
    for (PlainServiceStandin &service : platform.m_payments) {
        runs += counts(service.m_http).m_run;
    }
    return runs;
}

std::string text(const nlohmann::json &body, const char *name)
{
    return body.is_object() ? body.value(name, "") : std::string();
}

} // namespace

class EntryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryTest);
    CPPUNIT_TEST(changeIsInForceOnEveryEntry);
    CPPUNIT_TEST(paymentSentToAllEntriesRunsOnce);
    CPPUNIT_TEST(paymentIsRefusedWhileTheStoreIsAway);
    CPPUNIT_TEST(acceptedJobSurvivesItsEntry);
    CPPUNIT_TEST(shutdownEndsOpenStreams);
    CPPUNIT_TEST(organisationsDoNotSeeEachOther);
    CPPUNIT_TEST(crashingContentIsRefused);
    CPPUNIT_TEST(badInputIsRefusedWithFindings);
    CPPUNIT_TEST_SUITE_END();

    Clock m_clock;
    std::unique_ptr<Platform> m_platform;
    std::vector<std::shared_ptr<Entry>> m_entries;

public:
    void setUp() override
    {
        setLogLevel(LogLevel::Error);
        setenv(AdminVariable, "test-admin-key", 1);
        setenv(PeerVariable, "test-peer-key", 1);
        m_platform = std::make_unique<Platform>();
        startPlatform(*m_platform, m_clock);
        std::vector<Address> seeds;
        for (int i = 0; i < 3; ++i) {
            auto entry = startEntry(entrySettings(*m_platform, i, seeds), m_clock);
            CPPUNIT_ASSERT_MESSAGE(std::string(entry.status().message()), entry.ok());
            seeds.push_back(peerAddress(**entry));
            m_entries.push_back(*std::move(entry));
        }
        CPPUNIT_ASSERT(await(m_clock, [this] {
            return std::all_of(m_entries.begin(), m_entries.end(), [](const auto &entry) {
                return blackboard(*entry).m_liveEntries == 3 && blackboard(*entry).m_ready;
            });
        }));
        putConfiguration();
    }

    void tearDown() override
    {
        for (const auto &entry : m_entries) {
            stopEntry(*entry);
        }
        m_entries.clear();
        m_platform.reset();
    }

private:
    Answer put(const std::string &kind, const nlohmann::json &object)
    {
        const std::string path = fmt::format("/admin/v1/{}/{}?wait_ms=60000", kind, object.value("name", ""));
        const httplib::Headers headers = {{"Authorization", "Bearer test-admin-key"}};
        return toAnswer(connect(*m_entries[0])->Put(path, headers, object.dump(), "application/json"));
    }

    void putConfiguration()
    {
        const nlohmann::json configuration = nlohmann::json::parse(ConfigurationText);
        for (const char *kind : {"upstreams", "templates"}) {
            for (const nlohmann::json &object : configuration[kind]) {
                const Answer answer = put(kind, object);
                CPPUNIT_ASSERT_MESSAGE(answer.m_text, answer.m_status >= 200 && answer.m_status < 300);
            }
        }
        for (const auto &[name, key] : {std::pair{"caller", CallerKey}, std::pair{"other", OtherKey}}) {
            const Answer answer = put("organisations", {{"name", name}, {"key_digests", {toHex(sha256(key))}}});
            CPPUNIT_ASSERT_MESSAGE(answer.m_text, answer.m_status >= 200 && answer.m_status < 300);
        }
    }

    std::string newKey()
    {
        return toString(makeIdentifier(m_clock));
    }

    // Guards against a change that is confirmed but not in force on some entry.
    void changeIsInForceOnEveryEntry()
    {
        const int64_t revision = get(*m_entries[0], "/statusz").m_body.value("configuration_revision", int64_t(0));
        for (const auto &entry : m_entries) {
            CPPUNIT_ASSERT(get(*entry, "/statusz").m_body.value("configuration_revision", int64_t(0)) >= revision);
            const Answer answer = post(*entry, "/v1/pipelines/write/requests", {{"input", "hello"}});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.m_text, 200, answer.m_status);
            const Answer revoked = post(*entry, "/v1/pipelines/write/requests", {{"input", "hello"}}, "", "revoked-key");
            CPPUNIT_ASSERT_EQUAL(401, revoked.m_status);
        }
    }

    // Guards against a doubled charge when a caller repeats a payment at other entries while the first still runs.
    void paymentSentToAllEntriesRunsOnce()
    {
        const std::string key = newKey();
        std::vector<Answer> answers(m_entries.size());
        std::vector<std::thread> callers;
        for (size_t i = 0; i < m_entries.size(); ++i) {
            callers.emplace_back([&, i] { answers[i] = post(*m_entries[i], "/v1/pipelines/pay/requests", {{"input", "umbrella"}}, key); });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        for (const Answer &answer : answers) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.m_text, 200, answer.m_status);
            CPPUNIT_ASSERT(answer.m_body["stages"]["confirm"] == answers[0].m_body["stages"]["confirm"]);
        }
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), paymentRuns(*m_platform));
        const Answer mismatch = post(*m_entries[1], "/v1/pipelines/pay/requests", {{"input", "another"}}, key);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(mismatch.m_text, 422, mismatch.m_status);
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), paymentRuns(*m_platform));
    }

    // Guards against a payment that runs without a durable claim, and against a pipeline that needs the store for nothing.
    void paymentIsRefusedWhileTheStoreIsAway()
    {
        StoreFaults outage;
        outage.m_outage = true;
        setFaults(m_platform->m_storeState, outage);
        const Answer payment = post(*m_entries[0], "/v1/pipelines/pay/requests", {{"input", "umbrella"}, {"deadline_ms", 3000}}, newKey());
        CPPUNIT_ASSERT_MESSAGE(payment.m_text, payment.m_status >= 500);
        CPPUNIT_ASSERT_EQUAL(std::string("none"), text(payment.m_body, "side_effects"));
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), paymentRuns(*m_platform));
        const Answer whole = post(*m_entries[1], "/v1/pipelines/write/requests", {{"input", "hello"}});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(whole.m_text, 200, whole.m_status);
        setFaults(m_platform->m_storeState, {});
        CPPUNIT_ASSERT(await(m_clock, [this] {
            return post(*m_entries[2], "/v1/pipelines/pay/requests", {{"input", "umbrella"}}, newKey()).m_status == 200;
        }));
    }

    // Guards against an accepted job that vanishes with the entry that accepted it.
    void acceptedJobSurvivesItsEntry()
    {
        const Answer accepted = post(*m_entries[0], "/v1/pipelines/write/jobs", {{"input", "plan"}, {"class", "batch"}});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(accepted.m_text, 202, accepted.m_status);
        stopEntry(*m_entries[0]);
        m_entries.erase(m_entries.begin());
        const std::string path = "/v1/jobs/" + text(accepted.m_body, "job") + "?wait_ms=2000";
        CPPUNIT_ASSERT(await(m_clock, [&] { return text(get(*m_entries[0], path).m_body, "outcome") == "answered"; }));
    }

    // Guards against a shutdown that cuts off a stream in the middle.
    void shutdownEndsOpenStreams()
    {
        for (ModelEngineStandin &engine : m_platform->m_engines) {
            FaultPlan slow;
            slow.m_slowdown = 10;
            setFaults(engine.m_http, slow);
        }
        Answer answer;
        std::thread caller([&] { answer = post(*m_entries[0], "/v1/pipelines/write/requests", {{"input", "hello"}, {"stream", true}}); });
        CPPUNIT_ASSERT(await(m_clock, [this] { return blackboard(*m_entries[0]).m_openRequests > 0; }));
        CPPUNIT_ASSERT_EQUAL(int64_t(0), stopEntry(*m_entries[0]));
        caller.join();
        m_entries.erase(m_entries.begin());
        CPPUNIT_ASSERT_MESSAGE(answer.m_text, answer.m_text.find("event: done") != std::string::npos);
    }

    // Guards against an organisation that reads another one's job or blocks its idempotency key.
    void organisationsDoNotSeeEachOther()
    {
        const Answer accepted = post(*m_entries[0], "/v1/pipelines/write/jobs", {{"input", "secret"}});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(accepted.m_text, 202, accepted.m_status);
        const Answer foreign = get(*m_entries[1], "/v1/jobs/" + text(accepted.m_body, "job"), OtherKey);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(foreign.m_text, 404, foreign.m_status);
        const std::string key = newKey();
        for (const char *caller : {CallerKey, OtherKey}) {
            const Answer payment = post(*m_entries[0], "/v1/pipelines/pay/requests", {{"input", caller}}, key, caller);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(payment.m_text, 200, payment.m_status);
        }
        CPPUNIT_ASSERT_EQUAL(uint64_t(2), paymentRuns(*m_platform));
    }

    // Guards against one content that takes a whole pool down while its caller sends it again and again.
    void crashingContentIsRefused()
    {
        for (ModelEngineStandin &engine : m_platform->m_engines) {
            FaultPlan crash;
            crash.m_crashContent = "poison";
            crash.m_restartAfter = milliseconds(100);
            setFaults(engine.m_http, crash);
        }
        const auto sendPoison = [this](size_t entry) {
            return post(*m_entries[entry], "/v1/pipelines/write/requests", {{"input", "poison"}});
        };
        CPPUNIT_ASSERT(await(m_clock, [&] { return sendPoison(0).m_status == 422; }));
        CPPUNIT_ASSERT(await(m_clock, [&] { return sendPoison(1).m_status == 422 && sendPoison(2).m_status == 422; }));
        uint64_t crashes = 0;
        for (ModelEngineStandin &engine : m_platform->m_engines) {
            crashes += counts(engine.m_http).m_crashes;
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("{} crashes", crashes), true, crashes <= 2);
        CPPUNIT_ASSERT(await(m_clock, [this] {
            return post(*m_entries[0], "/v1/pipelines/write/requests", {{"input", "harmless"}}).m_status == 200;
        }));
    }

    // Guards against input that is run although it is wrong, or refused without saying where.
    void badInputIsRefusedWithFindings()
    {
        Entry &entry = *m_entries[0];
        const Answer types = post(entry, "/v1/pipelines/write/requests", {{"input", 5}, {"deadline_ms", "soon"}, {"extra", 1}});
        CPPUNIT_ASSERT_EQUAL(400, types.m_status);
        CPPUNIT_ASSERT_EQUAL(size_t(3), types.m_body["findings"].size());
        CPPUNIT_ASSERT_EQUAL(404, post(entry, "/v1/pipelines/none/requests", {{"input", "x"}}).m_status);
        CPPUNIT_ASSERT_EQUAL(400, post(entry, "/v1/pipelines/pay/requests", {{"input", "x"}}).m_status);
        CPPUNIT_ASSERT_EQUAL(400, post(entry, "/v1/pipelines/pay/requests", {{"input", "x"}}, "not-a-uuid").m_status);
        CPPUNIT_ASSERT_EQUAL(400, post(entry, "/v1/pipelines/write/requests", {{"input", "x"}, {"deadline_ms", -1}}).m_status);
        const std::string large(1024 * 1024, 'x');
        CPPUNIT_ASSERT_EQUAL(413, post(entry, "/v1/pipelines/write/requests", {{"input", large}}).m_status);
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), paymentRuns(*m_platform));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(EntryTest, "entry");
