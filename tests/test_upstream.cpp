#include <future>
#include <latch>
#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include "standins.h"
#include "upstream.h"
#include "upstream_internal.h"

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

AttemptVerdict verdictOf(const AttemptResult &result)
{
    return classifyAttempt(result.m_evidence, Upstream{});
}

/** Socket that listens on a free loopback port. */
struct Listener {
    int m_descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    HttpStandin m_place; ///< holds the address for requestFor()

    explicit Listener(int backlog = 16)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        CPPUNIT_ASSERT_EQUAL(0, bind(m_descriptor, generic, length));
        CPPUNIT_ASSERT_EQUAL(0, listen(m_descriptor, backlog));
        getsockname(m_descriptor, generic, &length);
        m_place.m_address = {"127.0.0.1", ntohs(address.sin_port)};
    }

    ~Listener()
    {
        closeListener();
    }

    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    void closeListener()
    {
        if (m_descriptor >= 0) {
            shutdown(m_descriptor, SHUT_RDWR);
            close(std::exchange(m_descriptor, -1));
        }
    }
};

/** Reads one HTTP request with a Content-Length. */
std::string readHttpRequest(int descriptor)
{
    std::string text;
    std::array<char, 4096> buffer{};
    while (true) {
        const size_t head = text.find("\r\n\r\n");
        const size_t field = text.find("Content-Length: ");
        if (head != std::string::npos && field < head) {
            const size_t body = std::stoul(text.substr(field + 16));
            if (text.size() >= head + 4 + body) {
                return text;
            }
        }
        const ssize_t count = recv(descriptor, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            return text;
        }
        text.append(buffer.data(), static_cast<size_t>(count));
    }
}

void sendText(int descriptor, const std::string &text)
{
    send(descriptor, text.data(), text.size(), MSG_NOSIGNAL);
}

/** Server that treats each connection by a function of its descriptor and its number, one after the other. */
struct RawServer {
    using Handler = std::function<void(int descriptor, int number)>;

    Listener m_listener;
    Handler m_handler;
    std::atomic<int> m_connections = 0;
    std::thread m_thread;

    explicit RawServer(Handler handler) : m_handler(std::move(handler)), m_thread([this] { serve(); })
    {
    }

    /** Answers every request with the same bytes, then closes. */
    explicit RawServer(const std::string &answer)
        : RawServer([answer](int descriptor, int) {
            readHttpRequest(descriptor);
            sendText(descriptor, answer);
        })
    {
    }

    ~RawServer()
    {
        shutdown(m_listener.m_descriptor, SHUT_RDWR);
        m_thread.join();
    }

    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    void serve()
    {
        while (true) {
            const int descriptor = accept(m_listener.m_descriptor, nullptr, nullptr);
            if (descriptor < 0) {
                return;
            }
            m_handler(descriptor, m_connections++);
            shutdown(descriptor, SHUT_WR);
            std::array<char, 4096> rest{};
            while (recv(descriptor, rest.data(), rest.size(), 0) > 0) {}
            close(descriptor);
        }
    }
};

std::string httpAnswer(const std::string &body, const std::string &headers = "")
{
    return fmt::format("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{}\r\n{}", body.size(), headers, body);
}

std::string eventAnswer(const std::string &events)
{
    return fmt::format("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n",
                       events.size(),
                       events);
}

/** Listener whose queue of connections is full, so that the kernel leaves further SYNs unanswered. */
struct FullListener {
    Listener m_listener{0};
    std::vector<int> m_waiting;

    FullListener()
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<uint16_t>(m_listener.m_place.m_address.m_port));
        for (int i = 0; i < 4; ++i) {
            m_waiting.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
            (void)connect(m_waiting.back(), reinterpret_cast<sockaddr *>(&address), sizeof address);
        }
    }

    ~FullListener()
    {
        for (const int descriptor : m_waiting) {
            close(descriptor);
        }
    }

    FullListener(const FullListener &) = delete;
    FullListener &operator=(const FullListener &) = delete;
};

void waitForInUse(Fixture &fixture, size_t count)
{
    const TimePoint end = now(fixture.m_clock) + Limit;
    while (connectionCounts(fixture.m_pools).m_inUse != count) {
        CPPUNIT_ASSERT(now(fixture.m_clock) < end);
        std::this_thread::yield();
    }
}

AttemptResult runEngine(const RawServer &server, const ConnectionSettings &settings = {})
{
    Fixture fixture(settings);
    return run(fixture, requestFor(fixture, server.m_listener.m_place, UpstreamKind::ModelEngine));
}

const std::string TokenEvent = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n"; // NOLINT(bugprone-dynamic-static-initializers)

} // namespace

class UpstreamTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamTest);
    CPPUNIT_TEST(engineStreamsWholeAnswer);
    CPPUNIT_TEST(stagePoolAnswers);
    CPPUNIT_TEST(plainServiceAnswers);
    CPPUNIT_TEST(cancellationEndsStreamPromptly);
    CPPUNIT_TEST(vmListIsRead);
    CPPUNIT_TEST(refusedConnectionIsNotSent);
    CPPUNIT_TEST(unansweredConnectIsNotSent);
    CPPUNIT_TEST(connectIsCancelledPromptly);
    CPPUNIT_TEST(nothingIsSentWhenGivenUpBefore);
    CPPUNIT_TEST(closeBeforeAnswerMayHaveRun);
    CPPUNIT_TEST(resetBeforeAnswerMayHaveRun);
    CPPUNIT_TEST(lostAnswerIsNotRetried);
    CPPUNIT_TEST(redirectIsNotFollowed);
    CPPUNIT_TEST(truncatedStreamIsNotComplete);
    CPPUNIT_TEST(streamWithoutFinalMarkerIsNotComplete);
    CPPUNIT_TEST(brokenEventIsNotComplete);
    CPPUNIT_TEST(streamWithoutEndOfAnswerIsComplete);
    CPPUNIT_TEST(streamSurvivesEverySplit);
    CPPUNIT_TEST(oversizedAnswersAreCut);
    CPPUNIT_TEST(truncatedAnswerIsNotComplete);
    CPPUNIT_TEST(unmarkedEndIsNotComplete);
    CPPUNIT_TEST(answerOfAnotherAttemptIsRefused);
    CPPUNIT_TEST(stuckStreamEndsAtProgressLimit);
    CPPUNIT_TEST(pingsAreNoProgress);
    CPPUNIT_TEST(deadlineEndsCall);
    CPPUNIT_TEST(silentConnectionDiscreditsOlderOnes);
    CPPUNIT_TEST(slowUpstreamDiscreditsNothing);
    CPPUNIT_TEST(distrustIsDecidedByTheSilence);
    CPPUNIT_TEST(reuseIsDecidedByAgeAndTrust);
    CPPUNIT_TEST(idleConnectionsExpire);
    CPPUNIT_TEST(keyedRequestsAvoidLongIdleConnections);
    CPPUNIT_TEST(unaskedBytesAreNotAnAnswer);
    CPPUNIT_TEST(openConnectionsAreBounded);
    CPPUNIT_TEST(idleConnectionsAreBounded);
    CPPUNIT_TEST(requestCarriesWhatTheUpstreamNeeds);
    CPPUNIT_TEST(headerInjectionIsRefused);
    CPPUNIT_TEST(enginePromptContinuesEarlierText);
    CPPUNIT_TEST(answerHeadersAreRead);
    CPPUNIT_TEST(malformedVmListIsRefusedAsAWhole);
    CPPUNIT_TEST(vmListWithoutAnswerIsUnavailable);
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

    // Guards against a refused connection reported as a request that may have run.
    void refusedConnectionIsNotSent()
    {
        Listener listener;
        listener.closeListener();
        Fixture fixture;
        const AttemptResult result = run(fixture, requestFor(fixture, listener.m_place, UpstreamKind::PlainService));
        CPPUNIT_ASSERT(result.m_evidence == AttemptEvidence{});
        CPPUNIT_ASSERT((verdictOf(result) == AttemptVerdict{Outcome::NotRun, Reason::ConnectFailed}));
    }

    // Guards against a SYN without an answer that holds the attempt until its deadline.
    void unansweredConnectIsNotSent()
    {
        const FullListener listener;
        Fixture fixture(ConnectionSettings{.m_connectTimeout = milliseconds(100)});
        const AttemptResult result = run(fixture, requestFor(fixture, listener.m_listener.m_place, UpstreamKind::PlainService));
        CPPUNIT_ASSERT(result.m_evidence == AttemptEvidence{});
        CPPUNIT_ASSERT(result.m_duration >= milliseconds(100) && result.m_duration < Limit);
    }

    // Guards against a cancelled attempt that waits for the connect timeout.
    void connectIsCancelledPromptly()
    {
        const FullListener listener;
        Fixture fixture(ConnectionSettings{.m_connectTimeout = Limit * 2});
        AttemptRequest request = requestFor(fixture, listener.m_listener.m_place, UpstreamKind::PlainService);
        request.m_deadline = now(fixture.m_clock) + Limit * 3;
        auto attempt = std::async(std::launch::async, [&] { return run(fixture, request); });
        waitForInUse(fixture, 1);
        fixture.m_token.m_cancelled = true;
        const AttemptResult result = attempt.get();
        CPPUNIT_ASSERT(result.m_evidence.m_cancelled);
        CPPUNIT_ASSERT(!result.m_evidence.m_requestSent);
        CPPUNIT_ASSERT(result.m_duration < Limit);
        CPPUNIT_ASSERT((verdictOf(result) == AttemptVerdict{Outcome::NotRun, Reason::CallerGone}));
    }

    // Guards against work that is started although its caller has left or its time is over.
    void nothingIsSentWhenGivenUpBefore()
    {
        PlainServiceStandin service;
        CPPUNIT_ASSERT(start(service).ok());
        Fixture fixture;
        AttemptRequest request = requestFor(fixture, service.m_http, UpstreamKind::PlainService);
        request.m_deadline = now(fixture.m_clock);
        CPPUNIT_ASSERT((run(fixture, request).m_evidence == AttemptEvidence{.m_timedOut = true}));
        fixture.m_token.m_cancelled = true;
        request.m_deadline = now(fixture.m_clock) + Limit;
        CPPUNIT_ASSERT((run(fixture, request).m_evidence == AttemptEvidence{.m_cancelled = true}));
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), counts(service.m_http).m_received);
    }

    // Guards against "not run" for a request that the upstream read before it closed.
    void closeBeforeAnswerMayHaveRun()
    {
        RawServer server([](int descriptor, int) { readHttpRequest(descriptor); });
        Fixture fixture;
        const AttemptResult result = run(fixture, requestFor(fixture, server.m_listener.m_place, UpstreamKind::PlainService));
        CPPUNIT_ASSERT((result.m_evidence == AttemptEvidence{.m_connected = true, .m_requestSent = true}));
        CPPUNIT_ASSERT((verdictOf(result) == AttemptVerdict{Outcome::Unknown, Reason::ConnectionLost}));
    }

    // Guards against "not run" when the connection is reset while the request is being written.
    void resetBeforeAnswerMayHaveRun()
    {
        RawServer server([](int descriptor, int) {
            const linger reset{1, 0};
            setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            char byte = 0;
            recv(descriptor, &byte, 1, 0);
            shutdown(descriptor, SHUT_RD);
        });
        Fixture fixture;
        AttemptRequest request = requestFor(fixture, server.m_listener.m_place, UpstreamKind::PlainService);
        request.m_input = std::string(8 * 1024 * 1024, 'x');
        const AttemptResult result = run(fixture, request);
        CPPUNIT_ASSERT(result.m_evidence.m_requestSent);
        CPPUNIT_ASSERT(verdictOf(result).m_outcome == Outcome::Unknown);
    }

    // Guards against a client that sends a call again on its own, on a pooled and on a fresh connection.
    void lostAnswerIsNotRetried()
    {
        PlainServiceStandin service;
        CPPUNIT_ASSERT(start(service).ok());
        Fixture fixture;
        AttemptRequest request = requestFor(fixture, service.m_http, UpstreamKind::PlainService);
        CPPUNIT_ASSERT(run(fixture, request).m_evidence.m_complete);
        setFaults(service.m_http, {.m_closeAfter = 0});
        for (const bool pooled : {true, false}) {
            request.m_idempotencyKey = toString(makeIdentifier(fixture.m_clock));
            const AttemptResult result = run(fixture, request);
            CPPUNIT_ASSERT_EQUAL(pooled, result.m_evidence.m_reusedConnection);
            CPPUNIT_ASSERT(verdictOf(result).m_outcome == Outcome::Unknown);
            CPPUNIT_ASSERT_EQUAL(uint64_t(1), counts(service.m_http).m_runsByKey[request.m_idempotencyKey]);
        }
    }

    // Guards against a redirect that runs a call a second time elsewhere.
    void redirectIsNotFollowed()
    {
        PlainServiceStandin service;
        CPPUNIT_ASSERT(start(service).ok());
        RawServer server(fmt::format("HTTP/1.1 307 Temporary Redirect\r\nLocation: http://{}/pay\r\nContent-Length: 0\r\n\r\n",
                                     toString(service.m_http.m_address)));
        Fixture fixture;
        const AttemptResult result = run(fixture, requestFor(fixture, server.m_listener.m_place, UpstreamKind::PlainService));
        CPPUNIT_ASSERT_EQUAL(307, result.m_evidence.m_status);
        CPPUNIT_ASSERT(!result.m_evidence.m_complete);
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), counts(service.m_http).m_received);
    }

    // Guards against a partial text presented as the whole answer.
    void truncatedStreamIsNotComplete()
    {
        ModelEngineStandin engine;
        engine.m_models = {"m"};
        CPPUNIT_ASSERT(start(engine).ok());
        setFaults(engine.m_http, {.m_closeAfter = 3});
        Fixture fixture;
        const AttemptRequest request = requestFor(fixture, engine.m_http, UpstreamKind::ModelEngine);
        const AttemptResult result = run(fixture, request);
        CPPUNIT_ASSERT_EQUAL(200, result.m_evidence.m_status);
        CPPUNIT_ASSERT_EQUAL(generatedText(request.m_prompt, 3), result.m_text);
        CPPUNIT_ASSERT(verdictOf(result).m_outcome == Outcome::Unknown);
    }

    // Guards against a stream that ends in order as HTTP, but without the engine's word that it is whole.
    void streamWithoutFinalMarkerIsNotComplete()
    {
        RawServer server(eventAnswer(TokenEvent));
        const AttemptResult result = runEngine(server);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), result.m_text);
        CPPUNIT_ASSERT(!result.m_evidence.m_complete);
    }

    // Guards against an error of the engine, or an event that is no JSON, taken for part of a whole answer.
    void brokenEventIsNotComplete()
    {
        for (const char *event : {R"({"error":{"message":"out of memory"}})", R"({"choices":)", "[1]"}) {
            RawServer server(eventAnswer(fmt::format("{}data: {}\n\n{}data: [DONE]\n\n", TokenEvent, event, TokenEvent)));
            const AttemptResult result = runEngine(server);
            CPPUNIT_ASSERT_EQUAL(std::string("a"), result.m_text);
            CPPUNIT_ASSERT(!result.m_evidence.m_complete);
        }
    }

    // Guards against a whole answer that is held back or lost because the engine does not end its HTTP answer.
    void streamWithoutEndOfAnswerIsComplete()
    {
        const std::string answer = eventAnswer(TokenEvent + "data: [DONE]\n\n");
        RawServer server(answer.substr(0, answer.size() - 5));
        CPPUNIT_ASSERT(runEngine(server).m_evidence.m_complete);
        std::promise<void> done;
        RawServer holding([&](int descriptor, int) {
            readHttpRequest(descriptor);
            sendText(descriptor, answer.substr(0, answer.size() - 5));
            done.get_future().wait();
        });
        const AttemptResult result = runEngine(holding);
        done.set_value();
        CPPUNIT_ASSERT(result.m_evidence.m_complete);
        CPPUNIT_ASSERT(!result.m_evidence.m_timedOut && !result.m_evidence.m_silent);
    }

    // Guards against events that get lost when they are split between two reads.
    void streamSurvivesEverySplit()
    {
        const std::string events =
            "data: {\"choices\":[{\"text\":\"a\"}]}\r\n\r\n: ping\n\ndata:{\"choices\":[{\"text\":\"b\"}],\"usage\":null}\n\n"
            "data: {\"choices\":[],\"usage\":{\"completion_tokens\":2}}\n\ndata: [DONE]\n\n";
        for (size_t split = 0; split <= events.size(); ++split) {
            StreamReader reader;
            std::string text;
            for (const std::string &part : {events.substr(0, split), events.substr(split)}) {
                for (const std::string &piece : readStream(reader, part, 4096)) {
                    text += piece;
                }
            }
            CPPUNIT_ASSERT_EQUAL(std::string("ab"), text);
            CPPUNIT_ASSERT(reader.m_done && !reader.m_malformed);
            CPPUNIT_ASSERT_EQUAL(int64_t(2), reader.m_reportedTokens);
        }
    }

    // Guards against answers that fill the memory of the entry.
    void oversizedAnswersAreCut()
    {
        const ConnectionSettings settings{.m_maxAnswerBytes = 1000, .m_maxStreamBytes = 1000, .m_maxEventBytes = 100};
        RawServer large(httpAnswer("\"" + std::string(2000, 'x') + "\""));
        Fixture fixture(settings);
        CPPUNIT_ASSERT(!run(fixture, requestFor(fixture, large.m_listener.m_place, UpstreamKind::PlainService)).m_evidence.m_complete);
        RawServer longLine(eventAnswer("data: " + std::string(200, 'x') + "\n\ndata: [DONE]\n\n"));
        CPPUNIT_ASSERT(!runEngine(longLine, settings).m_evidence.m_complete);
        std::string many;
        while (many.size() < 2000) {
            many += TokenEvent;
        }
        RawServer longStream(eventAnswer(many + "data: [DONE]\n\n"));
        const AttemptResult result = runEngine(longStream, settings);
        CPPUNIT_ASSERT(!result.m_evidence.m_complete);
        CPPUNIT_ASSERT(result.m_tokens < 50);
    }

    // Guards against a part of an answer that happens to be valid.
    void truncatedAnswerIsNotComplete()
    {
        StagePoolStandin pool;
        CPPUNIT_ASSERT(start(pool).ok());
        setFaults(pool.m_http, {.m_closeAfter = 20});
        Fixture fixture;
        const AttemptResult result = run(fixture, requestFor(fixture, pool.m_http, UpstreamKind::StagePool));
        CPPUNIT_ASSERT_EQUAL(200, result.m_evidence.m_status);
        CPPUNIT_ASSERT(verdictOf(result).m_outcome == Outcome::Unknown);
        RawServer number("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n12");
        CPPUNIT_ASSERT(!run(fixture, requestFor(fixture, number.m_listener.m_place, UpstreamKind::PlainService)).m_evidence.m_complete);
    }

    // Guards against an answer whose end cannot be told from a lost connection.
    void unmarkedEndIsNotComplete()
    {
        RawServer server("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n12");
        Fixture fixture;
        CPPUNIT_ASSERT(!run(fixture, requestFor(fixture, server.m_listener.m_place, UpstreamKind::PlainService)).m_evidence.m_complete);
    }

    // Guards against the answer of one request delivered to another.
    void answerOfAnotherAttemptIsRefused()
    {
        RawServer server(httpAnswer(R"({"id":"0/0/0","outputs":[{"data":["{}"]}]})"));
        RawServer unnamed(httpAnswer(R"({"outputs":[{"data":["{}"]}]})"));
        Fixture fixture;
        CPPUNIT_ASSERT(!run(fixture, requestFor(fixture, server.m_listener.m_place, UpstreamKind::StagePool)).m_evidence.m_complete);
        CPPUNIT_ASSERT(run(fixture, requestFor(fixture, unnamed.m_listener.m_place, UpstreamKind::StagePool)).m_evidence.m_complete);
    }

    // Guards against a stream that stops in the middle and holds its caller until the deadline.
    void stuckStreamEndsAtProgressLimit()
    {
        ModelEngineStandin engine;
        engine.m_models = {"m"};
        CPPUNIT_ASSERT(start(engine).ok());
        Fixture fixture(ConnectionSettings{.m_progressLimit = milliseconds(100)});
        AttemptRequest request = requestFor(fixture, engine.m_http, UpstreamKind::ModelEngine);
        request.m_maxOutputTokens = 1000;
        const AttemptResult result = run(fixture, request, [&](const std::string &) {
            setFaults(engine.m_http, {.m_stuck = true});
            return true;
        });
        CPPUNIT_ASSERT(result.m_evidence.m_silent && !result.m_evidence.m_timedOut);
        CPPUNIT_ASSERT(result.m_duration < Limit);
        CPPUNIT_ASSERT((verdictOf(result) == AttemptVerdict{Outcome::Unknown, Reason::ConnectionSilent}));
    }

    // Guards against an engine that hangs while its HTTP server keeps the connection alive with comments.
    void pingsAreNoProgress()
    {
        std::atomic<bool> stop = false;
        RawServer server([&](int descriptor, int) {
            readHttpRequest(descriptor);
            sendText(descriptor, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            while (!stop && send(descriptor, "8\r\n: ping\n\n\r\n", 13, MSG_NOSIGNAL) > 0) {
                std::this_thread::sleep_for(milliseconds(5));
            }
        });
        const AttemptResult result = runEngine(server, ConnectionSettings{.m_firstEventLimit = seconds(1)});
        stop = true;
        CPPUNIT_ASSERT(result.m_evidence.m_timedOut && !result.m_evidence.m_silent);
        CPPUNIT_ASSERT(result.m_duration < Limit);
    }

    // Guards against a call that outlives its deadline, and against work that goes on upstream after it.
    void deadlineEndsCall()
    {
        PlainServiceStandin service;
        CPPUNIT_ASSERT(start(service).ok());
        setFaults(service.m_http, {.m_stuck = true});
        Fixture fixture;
        AttemptRequest request = requestFor(fixture, service.m_http, UpstreamKind::PlainService);
        request.m_deadline = now(fixture.m_clock) + milliseconds(500);
        const AttemptResult result = run(fixture, request);
        CPPUNIT_ASSERT((result.m_evidence == AttemptEvidence{.m_connected = true, .m_requestSent = true, .m_timedOut = true}));
        CPPUNIT_ASSERT((verdictOf(result) == AttemptVerdict{Outcome::Unknown, Reason::AttemptTimeout}));
        CPPUNIT_ASSERT(waitForCounts(service.m_http, Limit, [](const StandinCounts &c) { return c.m_cancelled == 1; }));
    }

    // Guards against one timeout for each pooled connection after all of them fell silent together.
    void silentConnectionDiscreditsOlderOnes()
    {
        constexpr int Connections = 3;
        StagePoolStandin pool;
        std::latch together(Connections);
        pool.m_infer = [&](const std::string &, const nlohmann::json &input) {
            if (input == "together") {
                together.arrive_and_wait();
            }
            return input;
        };
        CPPUNIT_ASSERT(start(pool).ok());
        Fixture fixture(ConnectionSettings{.m_silenceLimit = milliseconds(50), .m_maxIdleAge = Limit});
        AttemptRequest request = requestFor(fixture, pool.m_http, UpstreamKind::StagePool);
        request.m_input = "together";
        std::vector<std::future<AttemptResult>> attempts;
        attempts.reserve(Connections);
        for (int i = 0; i < Connections; ++i) {
            attempts.push_back(std::async(std::launch::async, [&] { return run(fixture, request); }));
        }
        for (auto &attempt : attempts) {
            CPPUNIT_ASSERT(attempt.get().m_evidence.m_complete);
        }
        CPPUNIT_ASSERT_EQUAL(size_t(Connections), connectionCounts(fixture.m_pools).m_idle);

        silenceConnections(pool.m_http);
        request.m_input = "alone";
        request.m_deadline = now(fixture.m_clock) + milliseconds(500);
        const AttemptResult silent = run(fixture, request);
        CPPUNIT_ASSERT(silent.m_evidence.m_reusedConnection && silent.m_evidence.m_silent && silent.m_evidence.m_timedOut);
        CPPUNIT_ASSERT(verdictOf(silent).m_outcome == Outcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(size_t(0), connectionCounts(fixture.m_pools).m_idle);

        request.m_deadline = now(fixture.m_clock) + Limit;
        const AttemptResult fresh = run(fixture, request);
        CPPUNIT_ASSERT(fresh.m_evidence.m_complete && !fresh.m_evidence.m_reusedConnection);
        CPPUNIT_ASSERT(run(fixture, request).m_evidence.m_reusedConnection);
    }

    // Guards against a storm of new connections to an upstream that is only slow.
    void slowUpstreamDiscreditsNothing()
    {
        StagePoolStandin pool;
        CPPUNIT_ASSERT(start(pool).ok());
        setFaults(pool.m_http, {.m_stuck = true});
        Fixture fixture(ConnectionSettings{.m_silenceLimit = milliseconds(10)});
        AttemptRequest request = requestFor(fixture, pool.m_http, UpstreamKind::StagePool);
        request.m_deadline = now(fixture.m_clock) + milliseconds(500);
        const AttemptResult result = run(fixture, request);
        CPPUNIT_ASSERT(result.m_evidence.m_timedOut && !result.m_evidence.m_silent);
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), connectionCounts(fixture.m_pools).m_distrusted);
    }

    // Guards against distrust without a silence, and against a wrong begin of the silence.
    void distrustIsDecidedByTheSilence()
    {
        const TimePoint sent(seconds(100));
        const TimePoint ended = sent + seconds(1);
        const Duration limit = milliseconds(250);
        const ConnectionObservation reused{.m_reused = true, .m_interrupted = true, .m_sentAt = sent, .m_endedAt = ended};
        CPPUNIT_ASSERT(distrustBefore(reused, limit) == sent);
        ConnectionObservation changed = reused;
        changed.m_interrupted = false;
        CPPUNIT_ASSERT(!distrustBefore(changed, limit));
        changed = reused;
        changed.m_reused = false;
        CPPUNIT_ASSERT(!distrustBefore(changed, limit));
        changed.m_lastByteAt = sent + milliseconds(400);
        CPPUNIT_ASSERT(distrustBefore(changed, limit) == sent + milliseconds(400));
        changed.m_lastByteAt = sent + milliseconds(751);
        CPPUNIT_ASSERT(!distrustBefore(changed, limit));
        changed = reused;
        changed.m_endedAt = sent + milliseconds(249);
        CPPUNIT_ASSERT(!distrustBefore(changed, limit));
    }

    // Guards against the use of a connection that is too old, and against the loss of one opened after the silence began.
    void reuseIsDecidedByAgeAndTrust()
    {
        const TimePoint now(seconds(100));
        CPPUNIT_ASSERT(mayReuse(now - seconds(50), now - seconds(4), std::nullopt, seconds(4), now));
        CPPUNIT_ASSERT(!mayReuse(now - seconds(50), now - seconds(4) - Duration(1), std::nullopt, seconds(4), now));
        CPPUNIT_ASSERT(!mayReuse(now - seconds(3), now, now - seconds(2), seconds(4), now));
        CPPUNIT_ASSERT(mayReuse(now - seconds(2), now, now - seconds(2), seconds(4), now));
    }

    // Guards against a request on a connection that the upstream is about to close.
    void idleConnectionsExpire()
    {
        PlainServiceStandin service;
        CPPUNIT_ASSERT(start(service).ok());
        Fixture fixture;
        pauseClock(fixture.m_clock, TimePoint(seconds(100)), 0);
        AttemptRequest request = requestFor(fixture, service.m_http, UpstreamKind::PlainService);
        CPPUNIT_ASSERT(run(fixture, request).m_evidence.m_complete);
        advanceClock(fixture.m_clock, ConnectionSettings{}.m_maxIdleAge);
        CPPUNIT_ASSERT(run(fixture, request).m_evidence.m_reusedConnection);
        advanceClock(fixture.m_clock, ConnectionSettings{}.m_maxIdleAge + Duration(1));
        CPPUNIT_ASSERT(!run(fixture, request).m_evidence.m_reusedConnection);
        CPPUNIT_ASSERT_EQUAL(uint64_t(2), connectionCounts(fixture.m_pools).m_opened);
    }

    // Guards against a payment that is lost to the race between its request and the upstream's idle close.
    void keyedRequestsAvoidLongIdleConnections()
    {
        PlainServiceStandin service;
        CPPUNIT_ASSERT(start(service).ok());
        Fixture fixture;
        pauseClock(fixture.m_clock, TimePoint(seconds(100)), 0);
        AttemptRequest request = requestFor(fixture, service.m_http, UpstreamKind::PlainService);
        CPPUNIT_ASSERT(run(fixture, request).m_evidence.m_complete);
        advanceClock(fixture.m_clock, ConnectionSettings{}.m_maxIdleAgeWithKey + Duration(1));
        request.m_idempotencyKey = "key";
        CPPUNIT_ASSERT(!run(fixture, request).m_evidence.m_reusedConnection);
    }

    // Guards against bytes sent on an idle connection, such as status 408, that are read as the next answer.
    void unaskedBytesAreNotAnAnswer()
    {
        std::promise<void> sent;
        RawServer server([&](int descriptor, int number) {
            readHttpRequest(descriptor);
            sendText(descriptor, httpAnswer(std::to_string(number)));
            if (number == 0) {
                sendText(descriptor, "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n");
                sent.set_value();
            }
        });
        Fixture fixture;
        const AttemptRequest request = requestFor(fixture, server.m_listener.m_place, UpstreamKind::PlainService);
        CPPUNIT_ASSERT(run(fixture, request).m_output == 0);
        sent.get_future().wait();
        const AttemptResult second = run(fixture, request);
        CPPUNIT_ASSERT(second.m_evidence.m_complete && second.m_output == 1);
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), connectionCounts(fixture.m_pools).m_stale);
    }

    // Guards against connections without bound to one upstream, and against a refusal reported as "may have run".
    void openConnectionsAreBounded()
    {
        ModelEngineStandin engine;
        engine.m_models = {"m"};
        CPPUNIT_ASSERT(start(engine).ok());
        Fixture fixture(ConnectionSettings{.m_maxOpenPerAddress = 1});
        AttemptRequest request = requestFor(fixture, engine.m_http, UpstreamKind::ModelEngine);
        std::optional<AttemptResult> second;
        const AttemptResult first = run(fixture, request, [&](const std::string &) {
            if (!second) {
                second = run(fixture, request);
            }
            return true;
        });
        CPPUNIT_ASSERT(first.m_evidence.m_complete);
        CPPUNIT_ASSERT(second && second->m_evidence == AttemptEvidence{});
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), connectionCounts(fixture.m_pools).m_refused);
        CPPUNIT_ASSERT(run(fixture, request).m_evidence.m_complete);
    }

    // Guards against idle connections that pile up.
    void idleConnectionsAreBounded()
    {
        ModelEngineStandin engine;
        engine.m_models = {"m"};
        CPPUNIT_ASSERT(start(engine).ok());
        Fixture fixture(ConnectionSettings{.m_maxIdlePerAddress = 1});
        const AttemptRequest request = requestFor(fixture, engine.m_http, UpstreamKind::ModelEngine);
        run(fixture, request, [&, nested = false](const std::string &) mutable {
            return std::exchange(nested, true) || run(fixture, request).m_evidence.m_complete;
        });
        CPPUNIT_ASSERT_EQUAL(uint64_t(2), connectionCounts(fixture.m_pools).m_opened);
        CPPUNIT_ASSERT_EQUAL(size_t(1), connectionCounts(fixture.m_pools).m_idle);
        CPPUNIT_ASSERT_EQUAL(size_t(0), connectionCounts(fixture.m_pools).m_inUse);
    }

    // Guards against a request without its time left, key or priority, and against cache entries shared by organisations.
    void requestCarriesWhatTheUpstreamNeeds()
    {
        AttemptRequest request;
        request.m_kind = UpstreamKind::ModelEngine;
        request.m_model = "m";
        request.m_organisation = "one";
        request.m_idempotencyKey = "key";
        request.m_stage = 2;
        request.m_attempt = 1;
        const std::optional<WireRequest> urgent = encodeRequest(request, milliseconds(1234));
        CPPUNIT_ASSERT(urgent);
        CPPUNIT_ASSERT_EQUAL(std::string("1234"), urgent->m_headers.find("X-Request-Timeout-Ms")->second);
        CPPUNIT_ASSERT_EQUAL(std::string("key"), urgent->m_headers.find("Idempotency-Key")->second);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), urgent->m_headers.find("X-Request-Stage")->second);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), urgent->m_headers.find("X-Request-Attempt")->second);
        request.m_organisation = "two";
        request.m_class = RequestClass::Batch;
        const nlohmann::json first = nlohmann::json::parse(urgent->m_body);
        const nlohmann::json second = nlohmann::json::parse(encodeRequest(request, milliseconds(1))->m_body);
        CPPUNIT_ASSERT(first["cache_salt"] != second["cache_salt"]);
        CPPUNIT_ASSERT(first["cache_salt"].get<std::string>().find("one") == std::string::npos);
        CPPUNIT_ASSERT(first["priority"] < second["priority"]);
        CPPUNIT_ASSERT(first["stream"] == true);
    }

    // Guards against a key that smuggles a second request or header to the upstream.
    void headerInjectionIsRefused()
    {
        PlainServiceStandin service;
        CPPUNIT_ASSERT(start(service).ok());
        Fixture fixture;
        AttemptRequest request = requestFor(fixture, service.m_http, UpstreamKind::PlainService);
        request.m_idempotencyKey = "key\r\nX-Other: 1";
        CPPUNIT_ASSERT(run(fixture, request).m_evidence == AttemptEvidence{});
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), counts(service.m_http).m_received);
    }

    // Guards against a resumed generation that begins again or leaves a gap.
    void enginePromptContinuesEarlierText()
    {
        ModelEngineStandin engine;
        engine.m_models = {"m"};
        CPPUNIT_ASSERT(start(engine).ok());
        Fixture fixture;
        AttemptRequest request = requestFor(fixture, engine.m_http, UpstreamKind::ModelEngine);
        int pieces = 0;
        const AttemptResult first = run(fixture, request, [&](const std::string &) { return ++pieces < 3; });
        CPPUNIT_ASSERT(first.m_evidence.m_cancelled);
        request.m_generated = first.m_text;
        request.m_maxOutputTokens -= first.m_tokens;
        const AttemptResult second = run(fixture, request);
        CPPUNIT_ASSERT(second.m_evidence.m_complete);
        CPPUNIT_ASSERT_EQUAL(generatedText(request.m_prompt, 8), first.m_text + second.m_text);
    }

    // Guards against load reports, back-off hints and leave notices that are not seen, and against nonsense taken for them.
    void answerHeadersAreRead()
    {
        RawServer server("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 7\r\nX-Upstream-State: Leaving\r\n"
                         "Endpoint-Load-Metrics: TEXT named_metrics.num_requests_running=3,named_metrics.num_requests_waiting=1.5\r\n\r\n");
        Fixture fixture;
        const AttemptResult result = run(fixture, requestFor(fixture, server.m_listener.m_place, UpstreamKind::PlainService));
        CPPUNIT_ASSERT_EQUAL(503, result.m_evidence.m_status);
        CPPUNIT_ASSERT(result.m_evidence.m_leaving && !result.m_evidence.m_complete);
        CPPUNIT_ASSERT(result.m_retryAfter == seconds(7));
        CPPUNIT_ASSERT(result.m_load && result.m_load->m_running == 3 && result.m_load->m_waiting == 1.5);
        CPPUNIT_ASSERT(decodeLoad(R"(JSON {"named_metrics":{"num_requests_running":2}})", {})->m_running == 2);
        for (const char *text : {"", "JSON {", "JSON []", "TEXT x", "TEXT named_metrics.num_requests_running=-1", "BIN abc"}) {
            CPPUNIT_ASSERT(!decodeLoad(text, {}));
        }
        CPPUNIT_ASSERT(!decodeRetryAfter("-1") && !decodeRetryAfter("soon") && !decodeRetryAfter(""));
        CPPUNIT_ASSERT(decodeRetryAfter("999999999999") == seconds(3600));
    }

    // Guards against a list with a broken part that looks like the removal of VMs.
    void malformedVmListIsRefusedAsAWhole()
    {
        const std::string good = R"({"targets":["127.0.0.1:1"],"labels":{"role":"upstream","pool":"p","extra":"x"}})";
        Findings findings;
        const auto list = parseVmList("[" + good + R"(,{"targets":["127.0.0.1:2"],"labels":{"role":"monitor"}}])", findings);
        CPPUNIT_ASSERT(list && list->size() == 1 && findings.empty());
        for (const std::string &bad : {std::string(R"({"targets":["host"],"labels":{"role":"upstream","pool":"p"}})"),
                                       std::string(R"({"targets":["127.0.0.1:1"],"labels":{"role":"upstream"}})"),
                                       std::string(R"({"targets":["127.0.0.1:1"],"labels":{"role":"entry","state":"gone"}})"),
                                       std::string(R"({"targets":["127.0.0.1:1"]})"),
                                       std::string("1")}) {
            findings.clear();
            CPPUNIT_ASSERT(!parseVmList(fmt::format("[{},{}]", good, bad), findings));
            CPPUNIT_ASSERT(!findings.empty());
        }
        findings.clear();
        CPPUNIT_ASSERT(!parseVmList("{}", findings));
        CPPUNIT_ASSERT(!parseVmList("[" + good, findings));
    }

    // Guards against an outage of the list that looks like an empty list.
    void vmListWithoutAnswerIsUnavailable()
    {
        VmListStandin list;
        CPPUNIT_ASSERT(start(list).ok());
        Clock clock;
        const VmListClient client = makeVmListClient(list.m_http.m_address, "/vms", clock);
        CPPUNIT_ASSERT(client.m_fetch()->empty());
        setFaults(list.m_http, {.m_refuseStatus = 500});
        CPPUNIT_ASSERT(absl::IsUnavailable(client.m_fetch().status()));
        setFaults(list.m_http, {.m_closeAfter = 1});
        CPPUNIT_ASSERT(absl::IsUnavailable(client.m_fetch().status()));
        stop(list);
        CPPUNIT_ASSERT(absl::IsUnavailable(client.m_fetch().status()));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(UpstreamTest, "upstream");
