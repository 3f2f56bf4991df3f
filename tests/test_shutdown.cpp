#include <arpa/inet.h>
#include <atomic>
#include <csignal>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>

#include "gateway_world.h"

using namespace Medlarramp;
using namespace Medlarramp::Serving;

namespace {

/** Opens connections on a thread of its own, one after the other, until one is refused. */
class ConnectionFlood
{
public:
    explicit ConnectionFlood(int port)
        : m_thread([this, port] {
            while (connectOnce(port)) {}
        })
    {
    }

    ~ConnectionFlood()
    {
        m_thread.join();
    }

    ConnectionFlood(const ConnectionFlood &) = delete;
    ConnectionFlood &operator=(const ConnectionFlood &) = delete;

    std::atomic<size_t> m_answered = 0;
    std::atomic<size_t> m_lost = 0; ///< established connections that were reset or got no answer
    std::atomic<bool> m_isEnded = false;

private:
    /** @return false when the connection was refused or not established in time. */
    bool connectOnce(int port)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const timeval connectLimit{0, 300'000};
        const timeval answerLimit{10, 0}; // a lost connection may get no reset
        setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &connectLimit, sizeof connectLimit);
        setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &answerLimit, sizeof answerLimit);
        const bool isConnected = connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        if (isConnected) {
            char byte = 0;
            const bool isAnswered = recv(descriptor, &byte, 1, 0) == 1;
            (isAnswered ? m_answered : m_lost) += 1;
        }
        ::close(descriptor);
        m_isEnded = m_isEnded || !isConnected;
        return isConnected;
    }

    std::thread m_thread;
};

} // namespace

class ShutdownTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ShutdownTest);
    CPPUNIT_TEST(closingListenerLosesNoConnection);
    CPPUNIT_TEST(lateRequestOnAKeptConnectionIsAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against connections that are established between the last accept and the close of the listener, and are lost.
    void closingListenerLosesNoConnection()
    {
        constexpr int Listeners = 30;
        size_t answered = 0;
        size_t lost = 0;
        for (int i = 0; i < Listeners; ++i) {
            Clock clock;
            NetLoop loop;
            initLoop(loop, clock);
            closeDuringFloods(loop, answered, lost);
            closeLoop(loop);
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("lost connections, beside {} answered ones", answered), size_t(0), lost);
    }

    // Guards against an exit as idle while callers may still use the connections that they have open.
    void lateRequestOnAKeptConnectionIsAnswered()
    {
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, answerOk);
        harness.m_store.put("op/config", configuration(1).dump());
        harness.m_store.putReplica("i-1", "plain", replica.address());
        const GatewayHarness::Process &gateway = harness.startGateway("kept");
        Caller &caller = harness.connectCaller(gateway.m_front);
        harness.runFor(milliseconds(100));
        kill(gateway.m_pid, SIGTERM);
        harness.runFor(milliseconds(5000));
        CPPUNIT_ASSERT(!caller.m_closed);
        harness.sendOn(caller, "GET", "/read/1", "a1");
        harness.runUntil("answer", [&] { return caller.isAnswered() || caller.m_closed; });
        CPPUNIT_ASSERT(caller.isAnswered());
    }

private:
    /** Closes a listener while connections are opened, and adds what became of these. */
    static void closeDuringFloods(NetLoop &loop, size_t &answered, size_t &lost)
    {
        constexpr size_t Floods = 4;
        constexpr size_t AnsweredBefore = 20; ///< by each flood
        NetListener listener;
        const auto answer = [](NetConnection *net) {
            net->write("a");
            net->closeAfterWrites();
        };
        CPPUNIT_ASSERT(listener.listen(loop, {"127.0.0.1", 0}, {}, answer).ok());
        std::list<ConnectionFlood> floods;
        for (size_t i = 0; i < Floods; ++i) {
            floods.emplace_back(listener.port());
        }
        const auto runUntilAll = [&loop, &floods](const std::function<bool(const ConnectionFlood &)> &isDone) {
            while (!std::all_of(floods.begin(), floods.end(), isDone)) {
                NetTimer wake;
                wake.start(loop, milliseconds(1), [] {});
                uv_run(&loop.m_loop, UV_RUN_ONCE);
            }
        };
        runUntilAll([](const ConnectionFlood &flood) { return flood.m_answered >= AnsweredBefore || flood.m_isEnded; });
        listener.closeAfterPending();
        runUntilAll([](const ConnectionFlood &flood) { return flood.m_isEnded.load(); });
        for (const ConnectionFlood &flood : floods) {
            answered += flood.m_answered;
            lost += flood.m_lost;
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ShutdownTest, "shutdown");
