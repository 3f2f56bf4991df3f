/**
 * BUDGET: a request without prompt parts that crashes each replica that runs it is sent to replicas again and again.
 *
 * Three gateways and three replicas of a payment service. One caller's request crashes each replica that begins to run it; the replica
 * is back after two seconds. The request comes again, with the same path, caller and body, at any machine.
 */

#include "world.h"

using namespace World;

namespace {

constexpr int Gateways = 3;
constexpr double Contact = 3.0; ///< contact_ms
constexpr double DownFor = 2.0; ///< seconds until a crashed replica is back
constexpr double ComesAgain = 1.5; ///< seconds between the client's attempts
constexpr int Attempts = 24;
constexpr int MaxRetries = 3; ///< retries that the rule allows later than contact_ms after the third crash
const std::string Deadly = "charge with a body that no replica can read";

std::mutex mutex;
std::vector<double> crashes; ///< times
int lateArrivals = 0;

struct Replica {
    std::string m_id;
    Server m_server;
};
std::vector<Replica *> replicas;
Store *store = nullptr;

bool serve(Replica &replica, Connection &connection, const Message &request)
{
    const std::string id = request.header("x-attempt-id");
    if (request.m_body != Deadly) {
        sleepFor(0.06);
        return replica.m_server.m_running && sendAll(connection.m_fd, formatAnswer(200, sealed(id, replica.m_id), "paid " + id));
    }
    {
        const std::lock_guard lock(mutex);
        const bool isLate = crashes.size() >= 3 && seconds() > crashes[2] + Contact;
        lateArrivals += isLate ? 1 : 0;
        crashes.push_back(seconds());
        record("replica %s begins to run %s and crashes (crash %zu)%s", replica.m_id.c_str(), id.c_str(), crashes.size(),
               isLate ? "  <-- later than contact_ms after the third crash" : "");
    }
    replica.m_server.crash();
    std::thread([&replica] {
        sleepFor(DownFor);
        for (int i = 0; i < 50 && !replica.m_server.restart(); ++i) {
            sleepFor(0.1);
        }
        store->put("servers/" + replica.m_id, registration("kiosk-core", replica.m_server.address(), "ready", 6));
        record("replica %s is back", replica.m_id.c_str());
    }).detach();
    return false;
}

int run(bool trouble)
{
    store = new Store; // used by threads until the process ends
    store->put("op/config", configuration(1, json::array({route("charge", "non_idempotent", "kiosk-core", 1)}), json::array({service("kiosk-core", false)})));
    for (int i = 1; i <= 3; ++i) {
        auto *replica = new Replica;
        replica->m_id = "i-" + std::to_string(i);
        replica->m_server.start([replica](Connection &connection, const Message &request) { return serve(*replica, connection, request); });
        store->put("servers/" + replica->m_id, registration("kiosk-core", replica->m_server.address(), "ready", 6));
        replicas.push_back(replica);
    }
    for (int i = 1; i <= Gateways; ++i) {
        const std::string name = "edge-" + std::to_string(i);
        startGateway(name, store->open(name));
    }
    for (const std::unique_ptr<Gateway> &gateway : gateways) {
        if (!waitUntilReady(*gateway)) {
            record("%s is not ready", gateway->m_name.c_str());
            return NotRun;
        }
    }
    std::atomic<bool> isOver = false;
    std::atomic<int> served = 0;
    std::atomic<int> lost = 0;
    std::atomic<int> refused = 0;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < 6; ++caller) {
        callers.emplace_back([&, caller] {
            for (int i = 0; !isOver; ++i) {
                const Gateway &gateway = *gateways[static_cast<size_t>(caller + i) % gateways.size()];
                const std::string id = "pay" + std::to_string(caller) + "x" + std::to_string(i);
                Client client(gateway.m_front);
                const int status = client.call("POST", "/charge/2", id, "", "charge " + id).status();
                served += status == 200 ? 1 : 0;
                refused += status == 503 ? 1 : 0;
                lost += status != 200 && status != 503 ? 1 : 0;
                if (status != 200) {
                    record("another client's payment %s got %d", id.c_str(), status);
                }
                sleepFor(0.1);
            }
        });
    }
    for (int i = 0; i < Attempts; ++i) {
        if (trouble) {
            const Gateway &gateway = *gateways[static_cast<size_t>(i) % gateways.size()];
            const std::string id = "deadly" + std::to_string(i);
            Client client(gateway.m_front);
            const int status = client.call("POST", "/charge/1", id, "", Deadly).status();
            record("client %s sent to %s got %d", id.c_str(), gateway.m_name.c_str(), status);
        }
        sleepFor(ComesAgain);
    }
    isOver = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    record("%zu crashes; %d times did the request reach a replica later than contact_ms after the third (%d allowed)", crashes.size(), lateArrivals, MaxRetries);
    record("payments of other clients: %d served, %d refused as not run, %d ended without an answer of a replica", served.load(), refused.load(), lost.load());
    return lateArrivals > MaxRetries ? Broken : Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
