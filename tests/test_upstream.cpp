#include <future>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

#include "standins.h"
#include "upstream.h"

using namespace Medlarramp;

namespace {

constexpr seconds Limit{20}; ///< generous, for events that come in milliseconds

Upstream poolOf(UpstreamKind kind)
{
    Upstream upstream;
    upstream.m_kind = kind;
    return upstream;
}

/** A client with its clock and pools. */
struct Fixture {
    Clock m_clock;
    ConnectionPools m_pools;
    UpstreamClient m_client;
    CancelToken m_token;

    explicit Fixture(const ConnectionSettings &settings = {}) : m_pools(settings), m_client(makeUpstreamClient(m_pools, m_clock))
    {
    }
};

AttemptRequest requestFor(const Fixture &fixture, const HttpStandin &standin, UpstreamKind kind)
{
    AttemptRequest request;
    request.m_request = makeIdentifier(fixture.m_clock);
    request.m_address = standin.m_address;
    request.m_kind = kind;
    request.m_model = "m";
    request.m_path = "/pay";
    request.m_prompt = "Write a riddle.";
    request.m_input = {{"amount", 3}};
    request.m_maxOutputTokens = 8;
    request.m_organisation = "org";
    request.m_deadline = now(fixture.m_clock) + Limit;
    return request;
}

AttemptResult run(Fixture &fixture, const AttemptRequest &request, const TokenSink &sink = nullptr)
{
    return fixture.m_client.m_run(request, sink, fixture.m_token);
}

} // namespace

class UpstreamTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamTest);
    CPPUNIT_TEST(engineStreamsWholeAnswer);
    CPPUNIT_TEST(stagePoolAnswers);
    CPPUNIT_TEST(plainServiceAnswers);
    CPPUNIT_TEST(cancellationEndsStreamPromptly);
    CPPUNIT_TEST(vmListIsRead);
    CPPUNIT_TEST_SUITE_END();

    // Guards against lost, doubled or reordered pieces of a stream.
    void engineStreamsWholeAnswer()
    {
        ModelEngineStandin engine;
        engine.m_models = {"m"};
        CPPUNIT_ASSERT(start(engine).ok());
        Fixture fixture;
        const AttemptRequest request = requestFor(fixture, engine.m_http, UpstreamKind::ModelEngine);
        std::string pieces;
        const AttemptResult result = run(fixture, request, [&](const std::string &text) {
            pieces += text;
            return true;
        });
        CPPUNIT_ASSERT(result.m_evidence.m_complete);
        CPPUNIT_ASSERT_EQUAL(generatedText(request.m_prompt, 8), result.m_text);
        CPPUNIT_ASSERT_EQUAL(result.m_text, pieces);
        CPPUNIT_ASSERT_EQUAL(int64_t(8), result.m_tokens);
        CPPUNIT_ASSERT(result.m_firstToken && *result.m_firstToken <= result.m_duration);
        CPPUNIT_ASSERT(result.m_load);
    }

    // Guards against an input or output that changes on its way through the tensor.
    void stagePoolAnswers()
    {
        StagePoolStandin pool;
        CPPUNIT_ASSERT(start(pool).ok());
        Fixture fixture;
        AttemptRequest request = requestFor(fixture, pool.m_http, UpstreamKind::StagePool);
        request.m_model = "group/encoder 1";
        request.m_input = {{"text", "rain \"now\" \xc3\xa9"}};
        const AttemptResult result = run(fixture, request);
        CPPUNIT_ASSERT(result.m_evidence.m_complete);
        const nlohmann::json expected = {{"model", "group/encoder 1"}, {"input", request.m_input}};
        CPPUNIT_ASSERT(result.m_output == expected);
        CPPUNIT_ASSERT(result.m_load);
    }

    // Guards against a call that loses its path, its body or its idempotency key.
    void plainServiceAnswers()
    {
        PlainServiceStandin service;
        CPPUNIT_ASSERT(start(service).ok());
        Fixture fixture;
        AttemptRequest request = requestFor(fixture, service.m_http, UpstreamKind::PlainService);
        request.m_idempotencyKey = toString(makeIdentifier(fixture.m_clock));
        const AttemptResult result = run(fixture, request);
        CPPUNIT_ASSERT(result.m_evidence.m_complete);
        const nlohmann::json expected = {{"path", "/pay"}, {"input", request.m_input}};
        CPPUNIT_ASSERT(result.m_output == expected);
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), counts(service.m_http).m_runsByKey[request.m_idempotencyKey]);
    }

    // Guards against work that goes on upstream after the caller has left.
    void cancellationEndsStreamPromptly()
    {
        ModelEngineStandin engine;
        engine.m_models = {"m"};
        CPPUNIT_ASSERT(start(engine).ok());
        Fixture fixture;
        AttemptRequest request = requestFor(fixture, engine.m_http, UpstreamKind::ModelEngine);
        request.m_maxOutputTokens = 30'000;
        std::promise<void> firstToken;
        bool first = true;
        auto attempt = std::async(std::launch::async, [&] {
            return run(fixture, request, [&](const std::string &) {
                if (std::exchange(first, false)) {
                    firstToken.set_value();
                }
                return true;
            });
        });
        CPPUNIT_ASSERT(firstToken.get_future().wait_for(Limit) == std::future_status::ready);
        fixture.m_token.m_cancelled = true;
        const AttemptResult result = attempt.get();
        CPPUNIT_ASSERT(result.m_evidence.m_cancelled);
        CPPUNIT_ASSERT(!result.m_evidence.m_complete);
        const AttemptVerdict verdict = classifyAttempt(result.m_evidence, poolOf(UpstreamKind::ModelEngine));
        CPPUNIT_ASSERT((verdict == AttemptVerdict{Outcome::Unknown, Reason::CallerGone}));
        CPPUNIT_ASSERT(waitForCounts(engine.m_http, Limit, [](const StandinCounts &c) { return c.m_cancelled == 1; }));
    }

    // Guards against VMs that lose their pool, failure domain or state.
    void vmListIsRead()
    {
        VmListStandin list;
        CPPUNIT_ASSERT(start(list).ok());
        const std::vector<Replica> vms = {
            {{"127.0.0.1", 9001}, "encode", "a", ReplicaState::Live},
            {{"127.0.0.1", 9002}, "encode", "b", ReplicaState::Leaving},
            {{"127.0.0.1", 9003}, "", "a", ReplicaState::Live},
        };
        setVms(list, vms);
        Clock clock;
        const absl::StatusOr<std::vector<Replica>> read = makeVmListClient(list.m_http.m_address, "/vms", clock).m_fetch();
        CPPUNIT_ASSERT(read.ok());
        CPPUNIT_ASSERT(*read == vms);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(UpstreamTest, "upstream");
