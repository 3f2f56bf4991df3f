#include <algorithm>
#include <arpa/inet.h>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>

#include "gateway_world.h"

using namespace Medlarramp;
using namespace Medlarramp::Serving;
using nlohmann::json;

namespace {

constexpr size_t Mebibyte = 1024 * 1024;

// The sanitizers multiply the memory of the program under test, which is built with the same one, so that a bound that follows
// from the memory of a VM has no meaning there.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool IsMemoryChecked = false;
#else
constexpr bool IsMemoryChecked = true;
#endif

/** Crowds are made for a VM of this size. An idle gateway takes 11 MB, so that 21 MB are left. */
constexpr int SmallMemoryMegabytes = 32;
constexpr size_t SmallBodyBytes = Mebibyte; ///< limit on the bodies of callers that goes with SmallMemoryMegabytes
constexpr Duration SendLimit = seconds(4); ///< a crowd stops sending after this time
constexpr Duration HoldTime = milliseconds(500); ///< the connections stay open for this time after a crowd has stopped sending

/** What one client of a crowd does. */
struct ClientScript {
    std::string m_address;
    std::shared_ptr<const std::string> m_text;
    size_t m_pieceBytes = Mebibyte; ///< sent every few milliseconds
    size_t m_readBytes = 0; ///< read every few milliseconds
    bool m_smallWindow = false; ///< a small receive buffer, so that unread bytes stay in the gateway
};

struct Client {
    ClientScript m_script;
    int m_descriptor = -1;
    size_t m_sent = 0;
    bool m_closed = false;
};

/** Clients with sockets of their own, so that they can leave answers unread. */
class Crowd
{
public:
    Crowd() = default;
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;
    ~Crowd()
    {
        leave();
    }

    void add(const ClientScript &script)
    {
        Client client{script, socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
        CPPUNIT_ASSERT(client.m_descriptor >= 0);
        if (script.m_smallWindow) {
            const int bytes = 4096;
            setsockopt(client.m_descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
        }
        const SocketAddress address = *parseSocketAddress(script.m_address);
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(static_cast<uint16_t>(address.m_port));
        inet_pton(AF_INET, address.m_host.c_str(), &target.sin_addr);
        client.m_closed = connect(client.m_descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0;
        fcntl(client.m_descriptor, F_SETFL, O_NONBLOCK);
        m_clients.push_back(client);
    }

    /** Sends and reads the next piece of each client. @return whether all have sent everything or are closed. */
    bool step()
    {
        bool done = true;
        for (Client &client : m_clients) {
            if (!client.m_closed) {
                sendPiece(client);
                readPiece(client);
            }
            done = done && (client.m_closed || client.m_sent == client.m_script.m_text->size());
        }
        return done;
    }

    void leave()
    {
        for (Client &client : m_clients) {
            close(client.m_descriptor);
        }
        m_clients.clear();
    }

private:
    std::vector<Client> m_clients;

    static void sendPiece(Client &client)
    {
        const std::string &text = *client.m_script.m_text;
        const size_t size = std::min(client.m_script.m_pieceBytes, text.size() - client.m_sent);
        const ssize_t count = size == 0 ? 0 : ::send(client.m_descriptor, text.data() + client.m_sent, size, MSG_NOSIGNAL);
        client.m_sent += count > 0 ? static_cast<size_t>(count) : 0;
        client.m_closed = count < 0 && errno != EAGAIN;
    }

    static void readPiece(Client &client)
    {
        std::string buffer(client.m_script.m_readBytes, '\0');
        const ssize_t count = buffer.empty() ? 1 : recv(client.m_descriptor, buffer.data(), buffer.size(), 0);
        client.m_closed = client.m_closed || count == 0 || (count < 0 && errno != EAGAIN);
    }
};

std::shared_ptr<const std::string> share(std::string text)
{
    return std::make_shared<const std::string>(std::move(text));
}

std::string bodyHead(const std::string &path, const std::string &framing, size_t number)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: crowd-{}\r\n{}\r\n\r\n", path, number, framing);
}

/** A request with a length whose last @p missing bytes are never sent. */
std::string requestWithLength(const std::string &path, size_t number, size_t bodyBytes, size_t missing)
{
    return bodyHead(path, fmt::format("Content-Length: {}", bodyBytes), number) + std::string(bodyBytes - missing, 'x');
}

/** A request in chunks of 8 KiB; the last chunk is only sent when the request is @p whole. */
std::string requestInChunks(const std::string &path, size_t number, size_t bodyBytes, bool whole)
{
    constexpr size_t ChunkBytes = 8192;
    std::string text = bodyHead(path, "Transfer-Encoding: chunked", number);
    const std::string chunk = formatChunk(std::string(ChunkBytes, 'x'));
    for (size_t sent = 0; sent + ChunkBytes <= bodyBytes; sent += ChunkBytes) {
        text += chunk;
    }
    return whole ? text + std::string(LastChunk) : text;
}

/** A head of less than 16,384 bytes with as many fields as possible. */
std::string requestWithManyFields(const std::string &path, size_t number, bool whole)
{
    constexpr size_t Fields = 4000;
    std::string text = fmt::format("GET {} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: crowd-{}\r\n", path, number);
    for (size_t i = 0; i < Fields; ++i) {
        text += "a:\r\n";
    }
    return whole ? text + "\r\n" : text;
}

std::string pipelinedRequests(const std::string &path, size_t count)
{
    std::string text;
    for (size_t i = 0; i < count; ++i) {
        text += fmt::format("GET {} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: p{}\r\n\r\n", path, i);
    }
    return text;
}

/** A gateway with a replica, and the crowd of one test. */
struct HostileWorld {
    GatewayHarness m_harness;
    FakeServer m_plain;
    FakeServer m_model;
    const GatewayHarness::Process *m_gateway = nullptr;
    int m_memoryMegabytes;
    size_t m_descriptors = 0; ///< bound on the descriptors of the process; 0: two for each client, the second one for its replica, and 100
    Crowd m_crowd;
    size_t m_clients = 0;

    /** @p plain answers the crowd's requests at /plain/ and /read/; those of ordinary callers are answered at once. */
    explicit HostileWorld(int memoryMegabytes = SmallMemoryMegabytes,
                          const json &limits = {{"max_body_bytes", SmallBodyBytes}},
                          const FakeServer::Handler &plain = answerOk,
                          rlim_t openFiles = 0)
        : m_memoryMegabytes(memoryMegabytes)
    {
        m_harness.m_extraSettings = {{"memory_mb", memoryMegabytes}};
        m_harness.m_descriptors = openFiles;
        const auto handler = [plain](FakeServer &server, const std::shared_ptr<ReceivedRequest> &request) {
            const bool isOrdinary = findHeader(request->m_request.m_headers, "X-Attempt-Id").value_or("").substr(0, 8) == "ordinary";
            if (isOrdinary) {
                answerOk(server, request);
            } else {
                plain(server, request);
            }
        };
        m_plain.start(m_harness.m_loop, handler);
        m_model.start(m_harness.m_loop, handler);
        json content = configuration(1);
        content["limits"] = limits;
        m_harness.m_store.put("op/config", content.dump());
        m_harness.m_store.putReplica("i-1", "plain", m_plain.address());
        m_harness.m_store.putReplica("i-2", "model", m_model.address());
        m_gateway = &m_harness.startGateway("hostile");
    }

    void add(const ClientScript &script)
    {
        m_crowd.add(script);
        m_clients += 1;
    }

    /** Lets the crowd send, and returns what is wrong with the process then; empty when nothing is. */
    std::string play(const std::string &what)
    {
        const TimePoint end = now(m_harness.m_clock) + SendLimit;
        m_harness.runUntil(what, [&] { return m_crowd.step() || now(m_harness.m_clock) >= end; });
        const TimePoint holdEnd = now(m_harness.m_clock) + HoldTime;
        m_harness.runUntil(what, [&] {
            m_crowd.step();
            return now(m_harness.m_clock) >= holdEnd;
        });
        std::string faults;
        if (waitpid(m_gateway->m_pid, nullptr, WNOHANG) != 0) {
            return what + ": the process has ended\n";
        }
        const size_t descriptors = openDescriptors();
        const size_t bound = m_descriptors != 0 ? m_descriptors : 2 * m_clients + 100;
        if (descriptors > bound) {
            faults += fmt::format("{}: {} open descriptors, bound {}\n", what, descriptors, bound);
        }
        if (!isOrdinaryRequestAnswered()) {
            faults += what + ": the ordinary request was not answered\n";
        }
        const int64_t peak = peakKilobytes();
        if (IsMemoryChecked && peak > int64_t{m_memoryMegabytes} * 1024) {
            faults += fmt::format("{}: VmHWM {} kB, memory of the VM {} MB\n", what, peak, m_memoryMegabytes);
        }
        m_crowd.leave();
        return faults;
    }

    bool isOrdinaryRequestAnswered()
    {
        Caller &caller = m_harness.send(*m_gateway, "GET", "/read/1", "ordinary-1");
        const TimePoint end = now(m_harness.m_clock) + seconds(10);
        m_harness.runUntil("ordinary request", [&] {
            m_crowd.step();
            return caller.isAnswered() || caller.m_closed || now(m_harness.m_clock) >= end;
        });
        return caller.isAnswered() && caller.m_reader.m_status == 200;
    }

    [[nodiscard]] size_t openDescriptors() const
    {
        const std::filesystem::directory_iterator entries(fmt::format("/proc/{}/fd", m_gateway->m_pid));
        return static_cast<size_t>(std::distance(begin(entries), end(entries)));
    }

private:
    [[nodiscard]] int64_t peakKilobytes() const
    {
        std::ifstream status(fmt::format("/proc/{}/status", m_gateway->m_pid));
        std::string line;
        while (std::getline(status, line)) {
            if (line.compare(0, 6, "VmHWM:") == 0) {
                return std::stoll(line.substr(6));
            }
        }
        CPPUNIT_FAIL("no VmHWM in the status of the process");
        return 0;
    }
};

/** A path of the callers' address or of the readiness address. */
struct Target {
    const char *m_path;
    bool m_isReadiness = false;
};

constexpr std::array Targets = {Target{"/plain/1"}, Target{"/nowhere"}, Target{"/-/readyz", true}};

std::string addressOf(const HostileWorld &world, const Target &target)
{
    return target.m_isReadiness ? world.m_gateway->m_ready : world.m_gateway->m_front;
}

using TextMaker = std::function<std::string(const std::string &path, size_t number)>;

/** Plays a crowd of @p clients at each of the targets, with a process of its own, and fails with all that is wrong. */
void playAtAllTargets(size_t clients, ClientScript script, const TextMaker &makeText)
{
    std::string faults;
    for (const Target &target : Targets) {
        HostileWorld world;
        script.m_address = addressOf(world, target);
        for (size_t i = 0; i < clients; ++i) {
            script.m_text = share(makeText(target.m_path, i));
            world.add(script);
        }
        faults += world.play(target.m_path);
    }
    CPPUNIT_ASSERT_MESSAGE(faults, faults.empty());
}

/** One of eight clients sends its request to the end. */
bool isWhole(size_t number)
{
    return number % 8 == 0;
}

constexpr size_t MissingBytes = 100; ///< of the requests that stop just short of their end

/** Handler of a replica that never answers. */
void neverAnswer(FakeServer & /*server*/, const std::shared_ptr<ReceivedRequest> & /*request*/)
{
}

/** Handler of a replica whose answers have @p bytes. */
FakeServer::Handler answerBytes(size_t bytes)
{
    return [bytes](FakeServer &, const std::shared_ptr<ReceivedRequest> &request) {
        reply(request, formatAnswer(200, replicaHeaders(request), std::string(bytes, 'y'), true));
    };
}

/** Handler of a replica that streams @p count events of 64 KiB. */
FakeServer::Handler streamEvents(int count)
{
    return [count](FakeServer &, const std::shared_ptr<ReceivedRequest> &request) {
        const std::string filler(64 * 1024, 'y');
        std::string stream = formatChunkedHead(200, replicaHeaders(request), true);
        for (int id = 1; id <= count; ++id) {
            stream += formatChunk(fmt::format("id: {}\ndata: {}\n\n", id, filler));
        }
        reply(request, stream + std::string(LastChunk));
    };
}

} // namespace

class HostileCallersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HostileCallersTest);
    CPPUNIT_TEST(servesSingleRequestsWithinLimits);
    CPPUNIT_TEST(survivesBodiesInOnePiece);
    CPPUNIT_TEST(survivesBodiesInSmallPieces);
    CPPUNIT_TEST(survivesBodiesInChunks);
    CPPUNIT_TEST(survivesLargestBodiesInSmallestVm);
    CPPUNIT_TEST(survivesWholeBodiesAtSilentReplica);
    CPPUNIT_TEST(survivesBodiesOverTheLimit);
    CPPUNIT_TEST(survivesBodiesOverTheLimitInChunks);
    CPPUNIT_TEST(survivesManyHeaderFields);
    CPPUNIT_TEST(survivesManyHeaderFieldsAtSilentReplica);
    CPPUNIT_TEST(survivesPipelinedRequests);
    CPPUNIT_TEST(survivesPipelinedRequestsWithLargeAnswers);
    CPPUNIT_TEST(survivesSlowSenders);
    CPPUNIT_TEST(survivesSlowReaders);
    CPPUNIT_TEST(survivesReadersThatStop);
    CPPUNIT_TEST(survivesStreamReadersThatStop);
    CPPUNIT_TEST(survivesReplicasThatSendWithoutEnd);
    CPPUNIT_TEST(survivesEventsWithoutEnd);
    CPPUNIT_TEST(survivesSilentConnections);
    CPPUNIT_TEST(closesCallersWithoutProgress);
    CPPUNIT_TEST(cutsOffNoLateRequests);
    CPPUNIT_TEST_SUITE_END();

    // Guards against limits that refuse a single request within the documented ones: 16,384 bytes of head, 4 MiB of body.
    void servesSingleRequestsWithinLimits()
    {
        HostileWorld world(120, json::object());
        const std::string start = "POST /plain/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: ordinary-2\r\nContent-Length: 4194304\r\n";
        std::string head = start;
        while (head.size() + 8 <= 16384) {
            head += "a:bc\r\n";
        }
        for (const bool inPieces : {false, true}) {
            Caller &caller = world.m_harness.connectCaller(world.m_gateway->m_front);
            const std::string text = head + "\r\n" + std::string(4 * Mebibyte, 'x');
            const size_t piece = inPieces ? 64 * 1024 : text.size();
            for (size_t sent = 0; sent < text.size(); sent += piece) {
                caller.m_net->write(text.substr(sent, piece));
                if (inPieces) {
                    world.m_harness.runFor(milliseconds(5));
                }
            }
            world.m_harness.runUntil("answer", [&] { return caller.isAnswered() || caller.m_closed; });
            CPPUNIT_ASSERT(caller.isAnswered());
            CPPUNIT_ASSERT_EQUAL(200, caller.m_reader.m_status);
            CPPUNIT_ASSERT_EQUAL(4 * Mebibyte, world.m_plain.m_requests.back()->m_request.m_body.size());
        }
    }

    // Guards against bodies of legal size that are sent in one piece, stop just short of their end and exhaust the memory together.
    void survivesBodiesInOnePiece()
    {
        playAtAllTargets(48, {}, [](const std::string &path, size_t number) {
            return requestWithLength(path, number, SmallBodyBytes, isWhole(number) ? 0 : MissingBytes);
        });
    }

    // As above, for bodies that arrive in small pieces, whose buffers grow step by step.
    void survivesBodiesInSmallPieces()
    {
        ClientScript script;
        script.m_pieceBytes = 16 * 1024;
        playAtAllTargets(48, script, [](const std::string &path, size_t number) {
            return requestWithLength(path, number, SmallBodyBytes, isWhole(number) ? 0 : MissingBytes);
        });
    }

    // As above, for bodies in chunks, whose length is not known before their end.
    void survivesBodiesInChunks()
    {
        playAtAllTargets(
            48, {}, [](const std::string &path, size_t number) { return requestInChunks(path, number, SmallBodyBytes, isWhole(number)); });
    }

    // Guards against a VM of 120 MB that can't hold the bodies of 4 MiB that the default limits allow.
    void survivesLargestBodiesInSmallestVm()
    {
        HostileWorld world(120, json::object());
        for (size_t i = 0; i < 40; ++i) {
            ClientScript script;
            script.m_address = world.m_gateway->m_front;
            script.m_text = share(requestWithLength("/plain/1", i, 4 * Mebibyte, isWhole(i) ? 0 : MissingBytes));
            world.add(script);
        }
        const std::string faults = world.play("4 MiB");
        CPPUNIT_ASSERT_MESSAGE(faults, faults.empty());
    }

    // Guards against complete requests that wait for their replica and exhaust the memory together.
    void survivesWholeBodiesAtSilentReplica()
    {
        HostileWorld world(SmallMemoryMegabytes, {{"max_body_bytes", SmallBodyBytes}}, neverAnswer);
        for (size_t i = 0; i < 48; ++i) {
            ClientScript script;
            script.m_address = world.m_gateway->m_front;
            script.m_text = share(requestWithLength("/plain/1", i, SmallBodyBytes, 0));
            world.add(script);
        }
        const std::string faults = world.play("silent replica");
        CPPUNIT_ASSERT_MESSAGE(faults, faults.empty());
    }

    // Guards against a body far over the limit that is read although its length tells that it will be refused.
    void survivesBodiesOverTheLimit()
    {
        playAtAllTargets(32, {}, [](const std::string &path, size_t number) {
            return requestWithLength(path, number, 8 * SmallBodyBytes, MissingBytes);
        });
    }

    // Guards against bodies over the limit in chunks, of which the part up to the limit is held for many clients at once.
    void survivesBodiesOverTheLimitInChunks()
    {
        ClientScript script;
        script.m_pieceBytes = 64 * 1024;
        playAtAllTargets(
            48, script, [](const std::string &path, size_t number) { return requestInChunks(path, number, 4 * SmallBodyBytes, false); });
    }

    // Guards against heads of legal size whose fields occupy many times their bytes.
    void survivesManyHeaderFields()
    {
        playAtAllTargets(
            160, {}, [](const std::string &path, size_t number) { return requestWithManyFields(path, number, isWhole(number)); });
    }

    // As above, for complete requests that wait for their replica.
    void survivesManyHeaderFieldsAtSilentReplica()
    {
        HostileWorld world(SmallMemoryMegabytes, json::object(), neverAnswer);
        for (size_t i = 0; i < 160; ++i) {
            ClientScript script;
            script.m_address = world.m_gateway->m_front;
            script.m_text = share(requestWithManyFields("/plain/1", i, true));
            world.add(script);
        }
        const std::string faults = world.play("silent replica");
        CPPUNIT_ASSERT_MESSAGE(faults, faults.empty());
    }

    // Guards against pipelined requests whose answers are never read and pile up.
    void survivesPipelinedRequests()
    {
        std::string faults;
        for (const Target &target : {Target{"/read/1"}, Target{"/nowhere"}, Target{"/-/readyz", true}, Target{"/metrics", true}}) {
            HostileWorld world;
            ClientScript script;
            script.m_address = addressOf(world, target);
            script.m_text = share(pipelinedRequests(target.m_path, 40000));
            script.m_smallWindow = true;
            for (size_t i = 0; i < 4; ++i) {
                world.add(script);
            }
            faults += world.play(target.m_path);
        }
        CPPUNIT_ASSERT_MESSAGE(faults, faults.empty());
    }

    // As above, with few requests and large answers.
    void survivesPipelinedRequestsWithLargeAnswers()
    {
        HostileWorld world(SmallMemoryMegabytes, json::object(), answerBytes(Mebibyte));
        ClientScript script;
        script.m_address = world.m_gateway->m_front;
        script.m_text = share(pipelinedRequests("/read/1", 16));
        script.m_smallWindow = true;
        for (size_t i = 0; i < 12; ++i) {
            world.add(script);
        }
        const std::string faults = world.play("large answers");
        CPPUNIT_ASSERT_MESSAGE(faults, faults.empty());
    }

    // Guards against many bodies that are half sent and go on so slowly that no timeout ends them.
    void survivesSlowSenders()
    {
        ClientScript script;
        script.m_pieceBytes = 4 * 1024;
        playAtAllTargets(100, script, [](const std::string &path, size_t number) {
            // Those with an even number stop half-way.
            return requestWithLength(path, number, SmallBodyBytes, number % 2 == 0 ? SmallBodyBytes / 2 : MissingBytes);
        });
    }

    // Guards against large answers that are held for callers that read them very slowly.
    void survivesSlowReaders()
    {
        playReaders(answerBytes(6 * Mebibyte), "/read/1", 128);
    }

    // As above, for callers that never read.
    void survivesReadersThatStop()
    {
        playReaders(answerBytes(6 * Mebibyte), "/read/1", 0);
    }

    // Guards against streams that are read from their replicas much faster than their callers read them.
    void survivesStreamReadersThatStop()
    {
        playReaders(streamEvents(96), "/stream/1", 0);
    }

    // Guards against answers without end, each below its limit, that exhaust the memory together.
    void survivesReplicasThatSendWithoutEnd()
    {
        const auto sendWithoutEnd = [](FakeServer &, const std::shared_ptr<ReceivedRequest> &request) {
            const std::string head = formatChunkedHead(200, replicaHeaders(request), true);
            reply(request, head + formatChunk(std::string(12 * Mebibyte, 'y')));
        };
        HostileWorld world(64, json::object(), sendWithoutEnd);
        for (size_t i = 0; i < 14; ++i) {
            ClientScript script;
            script.m_address = world.m_gateway->m_front;
            script.m_text = share(bodyHead("/plain/1", "Content-Length: 0", i));
            world.add(script);
        }
        const std::string faults = world.play("answers without end");
        CPPUNIT_ASSERT_MESSAGE(faults, faults.empty());
    }

    // As above, for streams whose first event has no end: each is below the limit on one event.
    void survivesEventsWithoutEnd()
    {
        const auto sendEventWithoutEnd = [](FakeServer &, const std::shared_ptr<ReceivedRequest> &request) {
            const std::string head = formatChunkedHead(200, replicaHeaders(request), true);
            reply(request, head + formatChunk("data: " + std::string(250 * 1024, 'y')));
        };
        HostileWorld world(SmallMemoryMegabytes, json::object(), sendEventWithoutEnd);
        for (size_t i = 0; i < 140; ++i) {
            ClientScript script;
            script.m_address = world.m_gateway->m_front;
            script.m_text = share(bodyHead("/stream/1", "Content-Length: 0", i));
            world.add(script);
        }
        const std::string faults = world.play("events without end");
        CPPUNIT_ASSERT_MESSAGE(faults, faults.empty());
    }

    // Guards against idle connections that take all descriptors, so that none is left for callers, replicas and the store.
    void survivesSilentConnections()
    {
        constexpr size_t OpenFiles = 128;
        std::string faults;
        for (const Target &target : Targets) {
            HostileWorld world(SmallMemoryMegabytes, json::object(), answerOk, OpenFiles);
            world.m_descriptors = OpenFiles - 16;
            ClientScript script;
            script.m_address = addressOf(world, target);
            script.m_text = share("");
            for (size_t i = 0; i < 200; ++i) {
                world.add(script);
            }
            faults += world.play(target.m_path);
        }
        CPPUNIT_ASSERT_MESSAGE(faults, faults.empty());
    }

    // Guards against connections that stay open for ever: silent ones at both addresses, and those that never read their answer.
    void closesCallersWithoutProgress()
    {
        HostileWorld world(SmallMemoryMegabytes, {{"idle_timeout_ms", 2000}}, answerBytes(3 * Mebibyte));
        world.m_harness.runFor(milliseconds(3000)); // the connections that waited for readiness have been closed by then
        const size_t idle = world.openDescriptors();
        ClientScript script;
        script.m_smallWindow = true;
        for (const Target &target : {Target{"/read/1"}, Target{"/metrics", true}}) {
            script.m_address = addressOf(world, target);
            script.m_text = share("");
            world.add(script);
            script.m_text = share(pipelinedRequests(target.m_path, target.m_isReadiness ? 20000 : 1));
            world.add(script);
        }
        world.m_harness.runUntil("connections", [&] {
            world.m_crowd.step();
            return world.openDescriptors() >= idle + 4;
        });
        // The connection to the replica may stay open.
        world.m_harness.runUntil("end of all connections", [&] {
            world.m_crowd.step();
            return world.openDescriptors() <= idle + 1;
        });
        CPPUNIT_ASSERT(world.isOrdinaryRequestAnswered());
    }

    // Guards against requests that come late in the grace period, are accepted and get no answer as the process exits.
    void cutsOffNoLateRequests()
    {
        constexpr size_t Arrivals = 2000; ///< new connections, each with one request
        constexpr size_t OpenConnections = 10; ///< opened before SIGTERM, each with one request after it
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, answerOk);
        harness.m_store.put("op/config", configuration(1).dump());
        harness.m_store.putReplica("i-1", "plain", replica.address());
        struct LateRequest {
            Duration m_at{}; ///< after SIGTERM
            Caller *m_caller = nullptr;
            size_t m_sent = 0; ///< bytes of the request
            bool m_isOpenBefore = false; ///< the connection was opened before SIGTERM
            Duration m_firstPartAt{}; ///< after SIGTERM
            Duration m_lastPartAt{};
            Duration m_closedAt{}; ///< 0 while the connection is open
        };
        struct Grace {
            const GatewayHarness::Process *m_gateway = nullptr;
            std::vector<LateRequest> m_requests;
        };
        std::vector<Grace> graces;
        for (const uint64_t seed : {1, 2, 3, 4, 5, 6}) {
            Random random{seed};
            Grace grace{&harness.startGateway(fmt::format("late{}", seed))};
            const auto randomTime = [&random](int64_t from, int64_t to) {
                return milliseconds(from + static_cast<int64_t>(uniformReal(random) * static_cast<double>(to - from)));
            };
            for (size_t i = 0; i < Arrivals; ++i) {
                // Most of them around the time at which the process exits at the latest.
                grace.m_requests.push_back({i % 4 == 0 ? randomTime(3000, 8300) : randomTime(7500, 7950)});
            }
            for (size_t i = 0; i < OpenConnections; ++i) {
                grace.m_requests.push_back({randomTime(2500, 7500), &harness.connectCaller(grace.m_gateway->m_front), 0, true});
            }
            graces.push_back(std::move(grace));
        }
        harness.runFor(milliseconds(100));
        for (const Grace &grace : graces) {
            kill(grace.m_gateway->m_pid, SIGTERM);
        }
        // A head in two parts, as a slow network delivers it.
        constexpr Duration PartPause = milliseconds(30);
        const std::string text = pipelinedRequests("/read/1", 1);
        const size_t half = text.size() / 2;
        const TimePoint start = now(harness.m_clock);
        const auto elapsed = [&] { return now(harness.m_clock) - start; };
        const auto sendPart = [&](LateRequest &request) {
            const std::string part = text.substr(request.m_sent, half);
            request.m_caller->m_net->write(part);
            request.m_firstPartAt = request.m_sent == 0 ? elapsed() : request.m_firstPartAt;
            request.m_lastPartAt = elapsed();
            request.m_sent += part.size();
            request.m_at = elapsed() + PartPause;
        };
        harness.runUntil("end of the grace period", [&] {
            for (Grace &grace : graces) {
                for (LateRequest &request : grace.m_requests) {
                    if (request.m_closedAt == Duration::zero() && request.m_caller != nullptr && request.m_caller->m_closed) {
                        request.m_closedAt = elapsed();
                    }
                    if (request.m_sent == text.size() || elapsed() < request.m_at) {
                        continue;
                    }
                    if (request.m_caller == nullptr) {
                        request.m_caller = &harness.connectCaller(grace.m_gateway->m_front);
                        request.m_at = Duration::max(); // until the connection is accepted
                        request.m_caller->m_net->m_onConnect = [&request, &sendPart] { sendPart(request); };
                    } else if (request.m_caller->m_net != nullptr) {
                        sendPart(request);
                    }
                }
            }
            return elapsed() >= milliseconds(8600);
        });
        const auto inMilliseconds = [](Duration time) { return std::chrono::duration_cast<milliseconds>(time).count(); };
        std::string faults;
        for (size_t i = 0; i < graces.size(); ++i) {
            const std::vector<LateRequest> &requests = graces[i].m_requests;
            const auto sent = std::count_if(requests.begin(), requests.end(), [](const auto &request) { return request.m_sent > 0; });
            const auto cut = std::count_if(requests.begin(), requests.end(), [](const LateRequest &request) {
                return request.m_sent > 0 && !request.m_caller->isAnswered();
            });
            if (cut > 0) {
                faults += fmt::format("seed {}: {} of {} accepted requests got no answer\n", i + 1, cut, sent);
            }
            for (const LateRequest &request : requests) {
                if (request.m_sent > 0 && !request.m_caller->isAnswered()) {
                    faults += fmt::format("  {} connection: parts sent after {} and {} ms, {} after {} ms, {} bytes received\n",
                                          request.m_isOpenBefore ? "open" : "new",
                                          inMilliseconds(request.m_firstPartAt),
                                          inMilliseconds(request.m_lastPartAt),
                                          request.m_caller->m_reset ? "reset" : "closed",
                                          inMilliseconds(request.m_closedAt),
                                          request.m_caller->m_raw.size());
                }
            }
        }
        CPPUNIT_ASSERT_MESSAGE(faults, faults.empty());
    }

private:
    static void playReaders(const FakeServer::Handler &replica, const std::string &path, size_t readBytes)
    {
        HostileWorld world(SmallMemoryMegabytes, json::object(), replica);
        for (size_t i = 0; i < 16; ++i) {
            ClientScript script;
            script.m_address = world.m_gateway->m_front;
            script.m_text = share(bodyHead(path, "Content-Length: 0", i));
            script.m_readBytes = readBytes;
            script.m_smallWindow = true;
            world.add(script);
        }
        const std::string faults = world.play(path);
        CPPUNIT_ASSERT_MESSAGE(faults, faults.empty());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(HostileCallersTest, "hostile_callers");
