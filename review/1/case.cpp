/**
 * MIXED: the answer to one request is given to the caller of another one.
 *
 * Two replicas of a payment service behind one gateway. One of them sends a late second copy of its previous answer, without a
 * length, where the next answer is expected, and ends the connection.
 */

#include "world.h"

using namespace World;

namespace {

constexpr int Callers = 4;
constexpr int RequestsPerCaller = 75;
constexpr int SpoiledEvery = 20; ///< one answer in so many of the faulty replica: x = 0.05
std::atomic<int> spoiled = 0;
std::atomic<int> answered = 0;
std::atomic<int> owed = 0; ///< answers to spoil; a connection's first answer can't be
std::mutex runsMutex;
std::set<std::string> runs;

std::string bodyFor(const std::string &id)
{
    return "payment of request " + id + " is captured\n";
}

/** The connection's memory holds the id of the request that was answered last. */
bool serve(const std::string &replica, bool isFaulty, Connection &connection, const Message &request)
{
    const std::string id = request.header("x-attempt-id");
    const std::string previous = std::exchange(connection.m_memory, id);
    {
        const std::lock_guard lock(runsMutex);
        runs.insert(id);
    }
    record("replica %s runs %s", replica.c_str(), id.c_str());
    sleepFor(0.02);
    owed += isFaulty && ++answered % SpoiledEvery == 0 ? 1 : 0;
    if (isFaulty && owed > 0 && !previous.empty()) {
        owed -= 1;
        spoiled += 1;
        record("replica %s sends a second answer to %s, without a length, where the answer to %s is expected, and closes",
               replica.c_str(),
               previous.c_str(),
               id.c_str());
        sendAll(connection.m_fd, "HTTP/1.1 200 OK\r\n" + sealed(previous, replica) + "Connection: close\r\n\r\n" + bodyFor(previous));
        return false;
    }
    return sendAll(connection.m_fd, formatAnswer(200, sealed(id, replica), bodyFor(id)));
}

int run(bool trouble)
{
    Store &store = *new Store; // used by threads until the process ends
    Server &first = *new Server;
    Server &second = *new Server;
    first.start([&](Connection &connection, const Message &request) { return serve("i-one", trouble, connection, request); });
    second.start([&](Connection &connection, const Message &request) { return serve("i-two", false, connection, request); });
    store.put(
        "op/config",
        configuration(1, json::array({route("charge", "non_idempotent", "kiosk-core", 1)}), json::array({service("kiosk-core", false)})));
    store.put("servers/i-one", registration("kiosk-core", first.address(), "ready", 6));
    store.put("servers/i-two", registration("kiosk-core", second.address(), "ready", 6));
    const Gateway &gateway = startGateway("edge-1", store.open("edge-1"));
    if (!waitUntilReady(gateway)) {
        record("the gateway is not ready");
        return NotRun;
    }
    std::atomic<int> foreign = 0;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < Callers; ++caller) {
        callers.emplace_back([&, caller] {
            for (int i = 0; i < RequestsPerCaller; ++i) {
                const std::string id = "pay" + std::to_string(caller) + "x" + std::to_string(i);
                Client client(gateway.m_front);
                const Message answer = client.call("POST", "/charge/1", id, "", "charge " + id);
                const bool isSuccess = answer.m_complete && answer.status() / 100 == 2;
                const bool isForeign = isSuccess && (answer.m_body != bodyFor(id) || answer.header("x-attempt-id") != id);
                record("client %s got %d, seal '%s', body '%s'%s",
                       id.c_str(),
                       answer.status(),
                       answer.header("x-replica-seal").c_str(),
                       answer.m_body.substr(0, answer.m_body.find('\n')).c_str(),
                       isForeign ? "  <-- the answer to another request" : "");
                foreign += isForeign ? 1 : 0;
                sleepFor(0.02);
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    record("%d requests, %d answers spoiled, %d clients got a success that belongs to another request",
           Callers * RequestsPerCaller,
           spoiled.load(),
           foreign.load());
    return foreign > 0 ? Broken : Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
