#include <sys/socket.h>
#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>

#include "gateway_world.h"

using namespace Medlarramp;
using namespace Medlarramp::Serving;
using nlohmann::json;

class GatewayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayTest);
    CPPUNIT_TEST(forwardsCompleteAnswer);
    CPPUNIT_TEST(retriesIdempotentFailureElsewhere);
    CPPUNIT_TEST(neverSendsNonIdempotentTwice);
    CPPUNIT_TEST(failsResetAnswer);
    CPPUNIT_TEST(forwardsAnswerWithoutLength);
    CPPUNIT_TEST(resumesStreamAtAnotherReplica);
    CPPUNIT_TEST(abortsStreamWhenResumeIsRefused);
    CPPUNIT_TEST(abortsStreamForCallerThatDoesNotRead);
    CPPUNIT_TEST(readsReplicaNoFasterThanSlowCaller);
    CPPUNIT_TEST(runsStagesBeforeTheRequest);
    CPPUNIT_TEST(cancelsWorkWhenCallerDisconnects);
    CPPUNIT_TEST(refusesUnknownRoutesAndKeys);
    CPPUNIT_TEST(sendsNothingToDrainingReplica);
    CPPUNIT_TEST(dropsReservedHeadersOfCallers);
    CPPUNIT_TEST(refusesRequestsLateInShutdown);
    CPPUNIT_TEST(answersOpenRequestsBeforeExit);
    CPPUNIT_TEST(ignoresMalformedRegistrations);
    CPPUNIT_TEST(batchesPiecesOfTwoGateways);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a forwarded answer or request that is lost or changed.
    void forwardsCompleteAnswer()
    {
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, answerOk);
        const GatewayHarness::Process &gateway = startServing(harness, {{"i-1", "plain", &replica}});
        Caller &caller = harness.send(gateway, "POST", "/plain/1", "a1");
        harness.runUntil("answer", [&] { return caller.isAnswered(); });
        CPPUNIT_ASSERT_EQUAL(200, caller.m_reader.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), caller.m_reader.m_body);
        CPPUNIT_ASSERT(findHeader(caller.m_reader.m_headers, "X-Replica-Seal") == "seal-of-a1");
        CPPUNIT_ASSERT(findHeader(replica.m_requests[0]->m_request.m_headers, "X-Expected-Replica") == "i-1");
        CPPUNIT_ASSERT_EQUAL(std::string("body"), replica.m_requests[0]->m_request.m_body);
    }

    // Guards against idempotent requests that fail with their first replica although another one is healthy.
    void retriesIdempotentFailureElsewhere()
    {
        GatewayHarness harness;
        FakeServer first;
        FakeServer second;
        int answers = 0;
        const auto failOnce = [&answers](FakeServer &, const std::shared_ptr<ReceivedRequest> &request) {
            reply(request, formatAnswer(++answers == 1 ? 500 : 200, replicaHeaders(request), "body", true));
        };
        first.start(harness.m_loop, failOnce);
        second.start(harness.m_loop, failOnce);
        const GatewayHarness::Process &gateway = startServing(harness, {{"i-1", "plain", &first}, {"i-2", "plain", &second}});
        Caller &caller = harness.send(gateway, "GET", "/read/1", "a1");
        harness.runUntil("answer", [&] { return caller.isAnswered(); });
        CPPUNIT_ASSERT_EQUAL(200, caller.m_reader.m_status);
        CPPUNIT_ASSERT_EQUAL(size_t(1), first.m_requests.size());
        CPPUNIT_ASSERT_EQUAL(size_t(1), second.m_requests.size());
    }

    // Guards against a non-idempotent request that runs twice, or is reported as not run although it may have run.
    void neverSendsNonIdempotentTwice()
    {
        GatewayHarness harness;
        FakeServer first;
        FakeServer second;
        const auto closeWithoutAnswer = [](FakeServer &, const std::shared_ptr<ReceivedRequest> &request) {
            NetConnection *net = std::exchange(request->m_net, nullptr);
            net->close();
        };
        first.start(harness.m_loop, closeWithoutAnswer);
        second.start(harness.m_loop, closeWithoutAnswer);
        const GatewayHarness::Process &gateway = startServing(harness, {{"i-1", "plain", &first}, {"i-2", "plain", &second}});
        Caller &caller = harness.send(gateway, "POST", "/plain/1", "a1");
        harness.runUntil("answer", [&] { return caller.isAnswered(); });
        CPPUNIT_ASSERT_EQUAL(502, caller.m_reader.m_status);
        CPPUNIT_ASSERT_EQUAL(size_t(1), first.m_requests.size() + second.m_requests.size());
    }

    // Guards against an answer without a length that a reset truncates and that is taken for complete: libuv reports the end
    // of the stream when one poll returns both bytes and the hang-up.
    void failsResetAnswer()
    {
        GatewayHarness harness;
        FakeServer replica;
        pid_t gatewayPid = 0;
        replica.start(harness.m_loop, [&](FakeServer &, const std::shared_ptr<ReceivedRequest> &request) {
            std::string head = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
            for (const HttpHeader &header : replicaHeaders(request)) {
                head += header.m_name + ": " + header.m_value + "\r\n";
            }
            // Stops the gateway, so that one poll returns both the bytes and the reset.
            kill(gatewayPid, SIGSTOP);
            NetConnection *net = std::exchange(request->m_net, nullptr);
            net->write(head + "\r\nhalf of the ans");
            net->resetConnection();
            auto timer = std::make_shared<NetTimer>();
            timer->start(harness.m_loop, milliseconds(50), [&gatewayPid, timer] { kill(gatewayPid, SIGCONT); });
        });
        const GatewayHarness::Process &gateway = startServing(harness, {{"i-1", "plain", &replica}});
        gatewayPid = gateway.m_pid;
        Caller &caller = harness.send(gateway, "POST", "/plain/1", "a1");
        harness.runUntil("answer", [&] { return caller.isAnswered() || caller.m_closed; });
        CPPUNIT_ASSERT_EQUAL(502, caller.m_reader.m_status);
    }

    // Guards against an answer without a length that is rejected although its connection was closed properly.
    void forwardsAnswerWithoutLength()
    {
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, [](FakeServer &, const std::shared_ptr<ReceivedRequest> &request) {
            std::string head = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
            for (const HttpHeader &header : replicaHeaders(request)) {
                head += header.m_name + ": " + header.m_value + "\r\n";
            }
            NetConnection *net = std::exchange(request->m_net, nullptr);
            net->write(head + "\r\nwhole");
            net->closeAfterWrites();
        });
        const GatewayHarness::Process &gateway = startServing(harness, {{"i-1", "plain", &replica}});
        Caller &caller = harness.send(gateway, "POST", "/plain/1", "a1");
        harness.runUntil("answer", [&] { return caller.isAnswered(); });
        CPPUNIT_ASSERT_EQUAL(200, caller.m_reader.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), caller.m_reader.m_body);
    }

    // Guards against events that are lost or duplicated when a stream resumes at another replica.
    void resumesStreamAtAnotherReplica()
    {
        GatewayHarness harness;
        FakeServer replicas[2];
        int streams = 0;
        for (FakeServer &replica : replicas) {
            replica.start(harness.m_loop, [&streams](FakeServer &, const std::shared_ptr<ReceivedRequest> &request) {
                if (++streams == 1) {
                    NetConnection *net = std::exchange(request->m_net, nullptr);
                    net->write(formatChunkedHead(200, replicaHeaders(request), true) + formatChunk(event(1) + event(2) + "id: 3\nda"));
                    net->closeAfterWrites();
                    return;
                }
                reply(request,
                      formatChunkedHead(200, replicaHeaders(request), true) + formatChunk(event(3) + event(4)) + std::string(LastChunk));
            });
        }
        const GatewayHarness::Process &gateway = startServing(harness, {{"i-1", "model", &replicas[0]}, {"i-2", "model", &replicas[1]}});
        Caller &caller = harness.send(gateway, "POST", "/stream/1", "a1");
        harness.runUntil("end of the stream", [&] { return caller.isAnswered(); });
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3) + event(4), caller.m_reader.m_body);
        // Two requests must have reached the replicas in all. Which of them resumed the stream is not checked.
        const std::shared_ptr<ReceivedRequest> &resumed = replicas[0].m_requests.size() == 2 ? replicas[0].m_requests[1]
            : replicas[1].m_requests.empty()                                                 ? replicas[0].m_requests[0]
                                                                                             : replicas[1].m_requests.back();
        CPPUNIT_ASSERT_EQUAL(size_t(2), replicas[0].m_requests.size() + replicas[1].m_requests.size());
        CPPUNIT_ASSERT(resumed != nullptr);
    }

    // Guards against a truncated stream that looks complete to its caller because the replica that should resume it refuses.
    void abortsStreamWhenResumeIsRefused()
    {
        GatewayHarness harness;
        FakeServer replica;
        int streams = 0;
        replica.start(harness.m_loop, [&streams](FakeServer &, const std::shared_ptr<ReceivedRequest> &request) {
            if (++streams == 1) {
                NetConnection *net = std::exchange(request->m_net, nullptr);
                net->write(formatChunkedHead(200, replicaHeaders(request), true) + formatChunk(event(1)));
                net->closeAfterWrites();
                return;
            }
            HttpHeaders headers = replicaHeaders(request);
            headers.push_back({"X-Not-Executed", "1"});
            reply(request, formatAnswer(409, headers, "", true));
        });
        const GatewayHarness::Process &gateway = startServing(harness, {{"i-1", "model", &replica}});
        Caller &caller = harness.send(gateway, "POST", "/stream/1", "a1");
        harness.runUntil("end of the connection", [&] { return caller.m_closed || caller.isAnswered(); });
        CPPUNIT_ASSERT_MESSAGE(caller.m_raw, !caller.isAnswered());
        CPPUNIT_ASSERT_EQUAL(event(1), caller.m_reader.m_body);
    }

    /** Reads from a blocking socket until the peer closes the connection or the receive timeout expires. */
    static std::string readAll(int descriptor)
    {
        std::string text;
        std::vector<char> buffer(ReadBufferBytes);
        for (ssize_t count = 1; count > 0;) {
            count = recv(descriptor, buffer.data(), buffer.size(), 0);
            text.append(buffer.data(), count > 0 ? static_cast<size_t>(count) : 0);
        }
        return text;
    }

    static int connectBlocking(const std::string &address)
    {
        const SocketAddress parsed = *parseSocketAddress(address);
        sockaddr_in target{};
        uv_ip4_addr(parsed.m_host.c_str(), parsed.m_port, &target);
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        CPPUNIT_ASSERT_EQUAL(0, connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target));
        const timeval receiveTimeout{2, 0};
        setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof receiveTimeout);
        return descriptor;
    }

    // Guards against events that are skipped in a stream because its caller reads slowly.
    void abortsStreamForCallerThatDoesNotRead()
    {
        constexpr int Events = 400;
        const std::string filler(64 * 1024, 'x');
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, [&](FakeServer &, const std::shared_ptr<ReceivedRequest> &request) {
            std::string stream = formatChunkedHead(200, replicaHeaders(request), true);
            for (int id = 1; id <= Events; ++id) {
                stream += formatChunk(fmt::format("id: {}\ndata: {}\n\n", id, filler));
            }
            reply(request, stream + std::string(LastChunk));
        });
        const GatewayHarness::Process &gateway = startServing(harness, {{"i-1", "model", &replica}});
        const int caller = connectBlocking(gateway.m_front);
        const std::string request =
            formatRequest("POST", "/stream/1", {{"Host", "h.example"}, {"X-Attempt-Id", "a1"}, {"X-Deadline-Ms", "9000"}}, "");
        CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(request.size()), ::send(caller, request.data(), request.size(), 0));
        harness.runFor(milliseconds(1000)); // by then the gateway has read the replica's answer and queues it for the caller
        HttpReader reader(HTTP_RESPONSE, 64 * 1024, 64 * 1024 * 1024);
        reader.feed(readAll(caller));
        close(caller);
        CPPUNIT_ASSERT(reader.m_state == ParseState::Body);
        int expected = 0;
        for (size_t at = reader.m_body.find("id: "); at != std::string::npos; at = reader.m_body.find("id: ", at + 1)) {
            CPPUNIT_ASSERT_EQUAL(++expected, std::stoi(reader.m_body.substr(at + 4, 8)));
        }
        CPPUNIT_ASSERT(expected > 0 && expected < Events);
    }

    // Guards against a stream that is aborted or held in full because its caller reads slowly, and against a pooled connection to the
    // replica that is not read any more after that.
    void readsReplicaNoFasterThanSlowCaller()
    {
        constexpr int Events = 240; // 15 MiB, below the limit of the reader of Caller
        const std::string filler(64 * 1024, 'x');
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, [&](FakeServer &, const std::shared_ptr<ReceivedRequest> &request) {
            std::string stream = formatChunkedHead(200, replicaHeaders(request), true);
            for (int id = 1; id <= Events; ++id) {
                stream += formatChunk(fmt::format("id: {}\ndata: {}\n\n", id, filler));
            }
            reply(request, stream + std::string(LastChunk));
        });
        const GatewayHarness::Process &gateway = startServing(harness, {{"i-1", "model", &replica}});
        Caller &slow = harness.send(gateway, "POST", "/stream/1", "a1");
        harness.runUntil("start of the stream", [&] { return !slow.m_raw.empty(); });
        slow.m_net->pauseReading();
        harness.runFor(milliseconds(1500));
        CPPUNIT_ASSERT(!slow.m_closed);
        // The system's buffers take some of 15 MiB, and the gateway up to 4 MiB.
        CPPUNIT_ASSERT(replica.m_requests[0]->m_net != nullptr && replica.m_requests[0]->m_net->queuedBytes() > 0);
        slow.m_net->resumeReading();
        harness.runUntil("end of the stream", [&] { return slow.isAnswered() || slow.m_closed; });
        CPPUNIT_ASSERT(slow.isAnswered());
        int expected = 0;
        for (size_t at = slow.m_reader.m_body.find("id: "); at != std::string::npos; at = slow.m_reader.m_body.find("id: ", at + 1)) {
            CPPUNIT_ASSERT_EQUAL(++expected, std::stoi(slow.m_reader.m_body.substr(at + 4, 8)));
        }
        CPPUNIT_ASSERT_EQUAL(Events, expected);
        Caller &next = harness.send(gateway, "POST", "/stream/2", "a2");
        harness.runUntil("next stream", [&] { return next.isAnswered() || next.m_closed; });
        CPPUNIT_ASSERT(next.isAnswered());
    }

    // Guards against a request that runs without its inputs, and against results that are never released.
    void runsStagesBeforeTheRequest()
    {
        GatewayHarness harness;
        FakeServer model;
        FakeServer stage;
        model.start(harness.m_loop, [](FakeServer &, const std::shared_ptr<ReceivedRequest> &request) {
            reply(request, formatChunkedHead(200, replicaHeaders(request), true) + formatChunk(event(1)) + std::string(LastChunk));
        });
        stage.start(harness.m_loop, answerStageCall);
        const GatewayHarness::Process &gateway = startServing(harness, {{"i-1", "model", &model}, {"s-1", "stage", &stage}});
        Caller &caller = harness.send(gateway, "POST", "/chain/1", "a1", {{"X-Pieces", "3"}, {"X-Piece-Key", "pk"}});
        harness.runUntil("answer", [&] { return caller.isAnswered(); });
        CPPUNIT_ASSERT_EQUAL(200, caller.m_reader.m_status);
        const std::string base = stage.address();
        CPPUNIT_ASSERT_EQUAL(fmt::format("{}/a1-0,{}/a1-1,{}/a1-2", base, base, base),
                             std::string(findHeader(model.m_requests[0]->m_request.m_headers, "X-Inputs").value_or("")));
        harness.runUntil("release of the results", [&] { return stage.requestsFor("/-/stage-free").size() == 1; });
        CPPUNIT_ASSERT_EQUAL(size_t(3), json::parse(stage.requestsFor("/-/stage-free")[0]->m_request.m_body).at("handles").size());
    }

    // Guards against replicas that continue to work for callers that have disconnected.
    void cancelsWorkWhenCallerDisconnects()
    {
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, [](FakeServer &, const std::shared_ptr<ReceivedRequest> &) {});
        const GatewayHarness::Process &gateway = startServing(harness, {{"i-1", "plain", &replica}});
        Caller &caller = harness.send(gateway, "GET", "/read/1", "a1");
        harness.runUntil("arrival at the replica", [&] { return replica.m_requests.size() == 1; });
        std::exchange(caller.m_net, nullptr)->close();
        harness.runUntil("end of the connection to the replica", [&] { return replica.m_requests[0]->m_net == nullptr; });
    }

    // Guards against requests that are forwarded without a route or with an unknown API key, and against forged tenant headers.
    void refusesUnknownRoutesAndKeys()
    {
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, answerOk);
        const GatewayHarness::Process &gateway = startServing(harness, {{"i-1", "plain", &replica}});
        const auto statusOf = [&](const std::string &target, HttpHeaders headers) {
            Caller &caller = harness.send(gateway, "GET", target, "a1", std::move(headers));
            harness.runUntil("answer", [&] { return caller.isAnswered(); });
            return caller.m_reader.m_status;
        };
        CPPUNIT_ASSERT_EQUAL(404, statusOf("/other/1", {}));
        CPPUNIT_ASSERT_EQUAL(401, statusOf("/keyed/1", {{"X-Api-Key", "k2"}}));
        CPPUNIT_ASSERT_EQUAL(200, statusOf("/keyed/1", {{"X-Api-Key", "k1"}, {"X-Tenant", "forged"}}));
        const HttpHeaders &forwarded = replica.m_requests.back()->m_request.m_headers;
        CPPUNIT_ASSERT(findHeader(forwarded, "X-Tenant") == "org");
        CPPUNIT_ASSERT(!findHeader(forwarded, "X-Api-Key"));
    }

    // Guards against new requests to a replica that is registered as draining.
    void sendsNothingToDrainingReplica()
    {
        GatewayHarness harness;
        FakeServer leaving;
        FakeServer staying;
        leaving.start(harness.m_loop, answerOk);
        staying.start(harness.m_loop, answerOk);
        const GatewayHarness::Process &gateway = startServing(harness, {{"i-1", "plain", &leaving}, {"i-2", "plain", &staying}});
        harness.m_store.putReplica("i-1", "plain", leaving.address(), "draining");
        harness.runFor(milliseconds(800));
        for (int i = 0; i < 20; ++i) {
            Caller &caller = harness.send(gateway, "GET", "/read/1", fmt::format("a{}", i));
            harness.runUntil("answer", [&] { return caller.isAnswered(); });
        }
        CPPUNIT_ASSERT_EQUAL(size_t(0), leaving.m_requests.size());
        CPPUNIT_ASSERT_EQUAL(size_t(20), staying.m_requests.size());
    }

    // Guards against headers reserved for the platform, and hop-by-hop headers, that are forwarded from a caller to a replica.
    void dropsReservedHeadersOfCallers()
    {
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, answerOk);
        const GatewayHarness::Process &gateway = startServing(harness, {{"i-1", "plain", &replica}});
        Caller &caller = harness.send(gateway,
                                      "GET",
                                      "/read/1?q=1",
                                      "a1",
                                      {{"X-Hold", "h"},
                                       {"Kv-From", "x"},
                                       {"X-Kv-Backup", "y"},
                                       {"X-Pin-Ms", "5"},
                                       {"Connection", "x-private"},
                                       {"X-Private", "1"},
                                       {"X-Other", "kept"}});
        harness.runUntil("answer", [&] { return caller.isAnswered(); });
        const HttpRequest &forwarded = replica.m_requests[0]->m_request;
        CPPUNIT_ASSERT_EQUAL(std::string("/read/1?q=1"), forwarded.m_target);
        for (const char *name : {"X-Hold", "Kv-From", "X-Kv-Backup", "X-Pin-Ms", "X-Private"}) {
            CPPUNIT_ASSERT_MESSAGE(name, !findHeader(forwarded.m_headers, name));
        }
        CPPUNIT_ASSERT(findHeader(forwarded.m_headers, "X-Other") == "kept");
    }

    // Guards against a request that is admitted shortly before the process exits and loses its connection without an answer.
    void refusesRequestsLateInShutdown()
    {
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, answerOk);
        const GatewayHarness::Process &gateway = startServing(harness, {{"i-1", "plain", &replica}});
        Caller &open = harness.send(gateway, "GET", "/read/1", "a1");
        Caller &secondCaller = harness.connectCaller(gateway.m_front);
        harness.runUntil("first answer", [&] { return open.isAnswered(); });
        kill(gateway.m_pid, SIGTERM);
        harness.runFor(milliseconds(3100));
        GatewayHarness::sendOn(secondCaller, "GET", "/read/1", "a2");
        harness.runUntil("refusal", [&] { return secondCaller.isAnswered(); });
        CPPUNIT_ASSERT_EQUAL(503, secondCaller.m_reader.m_status);
        CPPUNIT_ASSERT(findHeader(secondCaller.m_reader.m_headers, "Retry-After").has_value());
        CPPUNIT_ASSERT(findHeader(secondCaller.m_reader.m_headers, "Connection") == "close");
        CPPUNIT_ASSERT_EQUAL(size_t(1), replica.m_requests.size());
    }

    // Guards against requests that wait for stages when the process exits, and whose connections close without an answer.
    void answersOpenRequestsBeforeExit()
    {
        GatewayHarness harness;
        FakeServer stage;
        FakeServer plain;
        stage.start(harness.m_loop, [](FakeServer &, const std::shared_ptr<ReceivedRequest> &) {});
        plain.start(harness.m_loop, [](FakeServer &, const std::shared_ptr<ReceivedRequest> &) {});
        const GatewayHarness::Process &gateway = startServing(harness, {{"s-1", "stage", &stage}, {"i-1", "plain", &plain}}, 4000);
        Caller &waiting = harness.send(gateway, "POST", "/chain/1", "a1", {{"X-Pieces", "1"}, {"X-Piece-Key", "pk"}});
        Caller &running = harness.send(gateway, "POST", "/plain/1", "a2");
        harness.runUntil("arrival at both", [&] { return !stage.m_requests.empty() && !plain.m_requests.empty(); });
        kill(gateway.m_pid, SIGTERM);
        harness.runUntil("both answers",
                         [&] { return (waiting.isAnswered() || waiting.m_closed) && (running.isAnswered() || running.m_closed); });
        CPPUNIT_ASSERT_EQUAL(503, waiting.m_reader.m_status);
        // The request may have run, so the answer must not be 503.
        CPPUNIT_ASSERT_EQUAL(502, running.m_reader.m_status);
    }

    // Guards against a malformed registration that stops the gateway or hides the valid ones.
    void ignoresMalformedRegistrations()
    {
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, answerOk);
        harness.m_store.put("servers/i-0", "not json");
        harness.m_store.put("servers/i-2",
                            R"({"service":"plain","address":"nowhere","zone":"z","version":"v1","slots":1,"state":"ready"})");
        harness.m_store.put("servers/i-3", R"({"service":7,"address":"127.0.0.1:1","zone":"z","version":"v1","slots":1,"state":"ready"})");
        harness.m_store.put("servers/i-4",
                            R"({"service":"plain","address":"127.0.0.1:1","zone":"z","version":"v1","slots":1,"state":"odd"})");
        const GatewayHarness::Process &gateway = startServing(harness, {{"i-1", "plain", &replica}});
        for (int i = 0; i < 5; ++i) {
            Caller &caller = harness.send(gateway, "POST", "/plain/1", fmt::format("a{}", i));
            harness.runUntil("answer", [&] { return caller.isAnswered(); });
            CPPUNIT_ASSERT_EQUAL(200, caller.m_reader.m_status);
        }
    }

    // Guards against gateways that batch separately: pieces of both have to be queued at one owner and share a call.
    void batchesPiecesOfTwoGateways()
    {
        GatewayHarness harness;
        FakeServer model;
        FakeServer stage;
        model.start(harness.m_loop, [](FakeServer &, const std::shared_ptr<ReceivedRequest> &request) {
            reply(request, formatChunkedHead(200, replicaHeaders(request), true) + formatChunk(event(1)) + std::string(LastChunk));
        });
        bool blockStageCalls = true;
        std::vector<std::shared_ptr<ReceivedRequest>> blockedCalls;
        stage.start(harness.m_loop, [&](FakeServer &server, const std::shared_ptr<ReceivedRequest> &request) {
            if (blockStageCalls && request->m_request.m_target == "/-/stage-run") {
                blockedCalls.push_back(request);
                return;
            }
            answerStageCall(server, request);
        });
        const GatewayHarness::Process &first = startServing(harness, {{"i-1", "model", &model}, {"s-1", "stage", &stage}});
        const GatewayHarness::Process &second = harness.startGateway("g2");
        harness.runFor(milliseconds(1300)); // until each is in the other's membership
        std::vector<Caller *> callers;
        callers.push_back(&harness.send(first, "POST", "/chain/1", "a0", {{"X-Pieces", "1"}, {"X-Piece-Key", "pk"}}));
        harness.runUntil("first call", [&] { return blockedCalls.size() == 1; });
        for (int i = 1; i <= 4; ++i) {
            callers.push_back(&harness.send(
                i % 2 == 0 ? first : second, "POST", "/chain/1", fmt::format("a{}", i), {{"X-Pieces", "2"}, {"X-Piece-Key", "pk"}}));
        }
        harness.runFor(milliseconds(200));
        blockStageCalls = false;
        for (const std::shared_ptr<ReceivedRequest> &request : blockedCalls) {
            answerStageCall(stage, request);
        }
        harness.runUntil("all answers", [&] {
            return std::all_of(callers.begin(), callers.end(), [](const Caller *caller) { return caller->isAnswered(); });
        });
        for (const Caller *caller : callers) {
            CPPUNIT_ASSERT_EQUAL(200, caller->m_reader.m_status);
        }
        size_t largestBatch = 0;
        for (const std::shared_ptr<ReceivedRequest> &request : stage.requestsFor("/-/stage-run")) {
            largestBatch = std::max(largestBatch, json::parse(request->m_request.m_body).at("entries").size());
        }
        CPPUNIT_ASSERT_EQUAL(size_t(8), largestBatch);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(GatewayTest, "gateway");
