#include <cstdlib>
#include <set>

#include <cppunit/extensions/HelperMacros.h>

#include "gateway_world.h"

using namespace Medlarramp;
using namespace Medlarramp::Serving;

namespace {

constexpr uint64_t DefaultSeed = 1;
constexpr uint64_t DefaultSeconds = 40;
constexpr size_t Gateways = 3;
constexpr size_t Callers = 12;
constexpr int DrainMs = 4000;
constexpr uint64_t MinAnswersPerSecond = 10; ///< less means that the soak did not exercise the gateways

/** A caller that keeps its connection until it is closed, with at most one open request. */
struct SoakCaller {
    Caller *m_connection = nullptr;
    std::string m_id; ///< of the open request; empty: none
    bool m_isPlain = false; ///< the open request is not idempotent
};

struct SoakGateway {
    const GatewayHarness::Process *m_process = nullptr;
    bool m_isStopping = false;
};

/** Three gateways under signals, restarts and changes by seed, with a record of what replicas have run. */
struct Soak {
    GatewayHarness m_harness;
    FakeServer m_replicas[3];
    std::vector<SoakGateway> m_gateways{Gateways};
    std::vector<SoakCaller> m_callers{Callers};
    std::map<std::string, int> m_runs; ///< by attempt id
    std::set<std::string> m_plain; ///< ids of requests that may run once at most
    std::set<std::string> m_refused; ///< ids answered as not run
    Random m_random;
    int64_t m_version = 1;
    int m_nextNode = 1;
    int m_nextId = 1;
    int m_answers = 0;
    TimePoint m_storeBackAt;
};

bool hasExited(const GatewayHarness::Process &process)
{
    siginfo_t info{};
    // The process stays a zombie, so that the harness does not signal a process that has taken over its number.
    return waitid(P_PID, static_cast<id_t>(process.m_pid), &info, WEXITED | WNOHANG | WNOWAIT) == 0 && info.si_pid == process.m_pid;
}

void startNext(Soak &soak, SoakGateway &gateway)
{
    gateway.m_process = &soak.m_harness.startGateway("g" + std::to_string(soak.m_nextNode++), DrainMs);
    gateway.m_isStopping = false;
}

void startAll(Soak &soak)
{
    soak.m_harness.m_store.put("op/config", configuration(soak.m_version).dump());
    int number = 0;
    for (FakeServer &replica : soak.m_replicas) {
        replica.start(soak.m_harness.m_loop, [&soak](FakeServer &, const std::shared_ptr<ReceivedRequest> &request) {
            const std::string id(findHeader(request->m_request.m_headers, "X-Attempt-Id").value_or(""));
            soak.m_runs[id] += 1;
            reply(request, formatAnswer(200, replicaHeaders(request), "for " + id, true));
        });
        soak.m_harness.m_store.putReplica("i-" + std::to_string(++number), "plain", replica.address());
    }
    for (SoakGateway &gateway : soak.m_gateways) {
        startNext(soak, gateway);
    }
}

void checkAnswer(Soak &soak, SoakCaller &caller)
{
    const HttpReader &reader = caller.m_connection->m_reader;
    const std::string &id = caller.m_id;
    soak.m_answers += 1;
    if (reader.m_status == 200) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE("answer of another request", "for " + id, reader.m_body);
    } else {
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} for {}", reader.m_status, id), reader.m_status >= 502);
    }
    if (reader.m_status == 503 && caller.m_isPlain) {
        soak.m_refused.insert(id);
    }
    caller.m_id.clear();
    if (!reader.m_keepAlive) {
        caller.m_connection = nullptr;
    }
}

/** Sends the next request, on the open connection if there is one. */
void sendNext(Soak &soak, SoakCaller &caller)
{
    if (caller.m_connection == nullptr || caller.m_connection->m_closed) {
        SoakGateway &gateway = soak.m_gateways[nextRandom(soak.m_random) % Gateways];
        if (gateway.m_isStopping) {
            return; // the load balancer opens no connections to it
        }
        caller.m_connection = &soak.m_harness.connectCaller(gateway.m_process->m_front);
    }
    caller.m_isPlain = nextRandom(soak.m_random) % 2 == 0;
    caller.m_id = "s" + std::to_string(soak.m_nextId++);
    if (caller.m_isPlain) {
        soak.m_plain.insert(caller.m_id);
    }
    GatewayHarness::sendOn(*caller.m_connection, caller.m_isPlain ? "POST" : "GET", caller.m_isPlain ? "/plain/1" : "/read/1", caller.m_id);
}

void stepCallers(Soak &soak)
{
    for (SoakCaller &caller : soak.m_callers) {
        if (!caller.m_id.empty() && caller.m_connection->isAnswered()) {
            checkAnswer(soak, caller);
        } else if (!caller.m_id.empty() && caller.m_connection->m_closed) {
            CPPUNIT_ASSERT_MESSAGE("run and cut off without an answer: " + caller.m_id, !soak.m_runs.contains(caller.m_id));
            caller.m_id.clear();
            caller.m_connection = nullptr;
        }
        if (caller.m_id.empty()) {
            sendNext(soak, caller);
        }
    }
}

void stopOne(Soak &soak)
{
    const auto stopping =
        std::count_if(soak.m_gateways.begin(), soak.m_gateways.end(), [](const SoakGateway &gateway) { return gateway.m_isStopping; });
    SoakGateway &gateway = soak.m_gateways[nextRandom(soak.m_random) % Gateways];
    if (stopping + 1 < static_cast<long>(Gateways) && !gateway.m_isStopping) {
        gateway.m_isStopping = true;
        kill(gateway.m_process->m_pid, SIGTERM);
    }
}

void replaceReplica(Soak &soak)
{
    const size_t index = nextRandom(soak.m_random) % 2; // the third one stays
    const std::string id = "i-" + std::to_string(index + 1);
    const bool leaves = nextRandom(soak.m_random) % 2 == 0;
    soak.m_harness.m_store.putReplica(id, "plain", soak.m_replicas[index].address(), leaves ? "draining" : "ready");
}

/** One disturbance by seed; they come in series and overlap. */
void disturb(Soak &soak)
{
    switch (nextRandom(soak.m_random) % 6) {
    case 0:
    case 1:
        stopOne(soak);
        return;
    case 2:
        kill(soak.m_gateways[nextRandom(soak.m_random) % Gateways].m_process->m_pid, SIGHUP);
        return;
    case 3:
        soak.m_harness.m_store.put("op/config", configuration(++soak.m_version).dump());
        return;
    case 4:
        replaceReplica(soak);
        return;
    default:
        if (!soak.m_harness.m_store.m_isSilent) {
            soak.m_harness.m_store.m_isSilent = true;
            soak.m_harness.m_store.m_watches.clear();
            soak.m_storeBackAt = now(soak.m_harness.m_clock) + milliseconds(500 + static_cast<int64_t>(nextRandom(soak.m_random) % 2500));
        }
    }
}

/** Starts gateways again that have exited; needs the store. */
void restartExited(Soak &soak)
{
    for (SoakGateway &gateway : soak.m_gateways) {
        if (gateway.m_isStopping && !soak.m_harness.m_store.m_isSilent && hasExited(*gateway.m_process)) {
            startNext(soak, gateway);
        }
    }
}

void run(Soak &soak, Duration duration)
{
    const TimePoint end = now(soak.m_harness.m_clock) + duration;
    TimePoint next;
    while (now(soak.m_harness.m_clock) < end) {
        soak.m_harness.runFor(milliseconds(10));
        stepCallers(soak);
        const TimePoint current = now(soak.m_harness.m_clock);
        if (soak.m_harness.m_store.m_isSilent && current >= soak.m_storeBackAt) {
            soak.m_harness.m_store.m_isSilent = false;
            if (nextRandom(soak.m_random) % 2 == 0) {
                soak.m_harness.m_store.lapseLeases();
            }
        }
        restartExited(soak);
        if (current >= next) {
            next = current + milliseconds(100 + static_cast<int64_t>(nextRandom(soak.m_random) % 700));
            disturb(soak);
        }
    }
}

uint64_t numberFromEnvironment(const char *name, uint64_t otherwise)
{
    const char *text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

} // namespace

/**
 * Callers on kept connections while signals, restarts, changes and outages of the store overlap. MEDLARRAMP_SOAK_SEED and
 * MEDLARRAMP_SOAK_SECONDS choose another seed and length.
 */
class SoakTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SoakTest);
    CPPUNIT_TEST(requestsSurviveOverlappingPlannedWork);
    CPPUNIT_TEST_SUITE_END();

    // Guards against requests that are cut off, mixed up, run twice or refused although they ran, whatever overlaps.
    void requestsSurviveOverlappingPlannedWork()
    {
        Soak soak;
        soak.m_random.m_state = numberFromEnvironment("MEDLARRAMP_SOAK_SEED", DefaultSeed);
        const uint64_t length = numberFromEnvironment("MEDLARRAMP_SOAK_SECONDS", DefaultSeconds);
        startAll(soak);
        run(soak, seconds(length));
        CPPUNIT_ASSERT(soak.m_answers > static_cast<int>(length * MinAnswersPerSecond));
        for (const std::string &id : soak.m_refused) {
            CPPUNIT_ASSERT_MESSAGE("refused and run: " + id, !soak.m_runs.contains(id));
        }
        for (const std::string &id : soak.m_plain) {
            CPPUNIT_ASSERT_MESSAGE("run twice: " + id, !soak.m_runs.contains(id) || soak.m_runs.at(id) == 1);
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(SoakTest, "soak");
