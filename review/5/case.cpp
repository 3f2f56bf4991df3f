/**
 * BUDGET: a request that crashes each replica that runs it is sent to replicas again and again.
 *
 * Three gateways, three replicas of a payment service and three model replicas. One payment and one stream crash each replica that
 * begins to run them; the replica is back after two seconds. Both come again, with the same path, caller and body, at any machine. The
 * stream shares all parts of its prompt but the last with the streams of other clients, which are sound.
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

/** What is known of one of the two requests. */
struct Record {
    std::vector<double> m_crashes; ///< times
    int m_lateArrivals = 0;
};
std::map<std::string, Record> records; ///< by service

struct Replica {
    std::string m_id;
    std::string m_service;
    Server m_server;
};
Store *store = nullptr;

std::string eventsOf(const std::string &id)
{
    std::string text;
    for (int number = 1; number <= 5; ++number) {
        text += "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + " of " + id + "\n\n";
    }
    return text;
}

bool serve(Replica &replica, Connection &connection, const Message &request)
{
    const std::string id = request.header("x-attempt-id");
    if (request.m_body != Deadly) {
        sleepFor(0.06);
        const std::string body = replica.m_service == "kiosk-core" ? "paid " + id : eventsOf(id);
        return replica.m_server.m_running && sendAll(connection.m_fd, formatAnswer(200, sealed(id, replica.m_id), body));
    }
    {
        const std::lock_guard lock(mutex);
        Record &known = records[replica.m_service];
        const bool isLate = known.m_crashes.size() >= 3 && seconds() > known.m_crashes[2] + Contact;
        known.m_lateArrivals += isLate ? 1 : 0;
        known.m_crashes.push_back(seconds());
        record("replica %s of %s begins to run %s and crashes (crash %zu)%s",
               replica.m_id.c_str(),
               replica.m_service.c_str(),
               id.c_str(),
               known.m_crashes.size(),
               isLate ? "  <-- later than contact_ms after the third crash" : "");
    }
    sleepFor(0.02);
    replica.m_server.crash();
    std::thread([&replica] {
        sleepFor(DownFor);
        for (int i = 0; i < 50 && !replica.m_server.restart(); ++i) {
            sleepFor(0.1);
        }
        store->put("servers/" + replica.m_id, registration(replica.m_service, replica.m_server.address(), "ready", 6));
        record("replica %s is back", replica.m_id.c_str());
    }).detach();
    return false;
}

struct Counts {
    std::atomic<int> m_served = 0;
    std::atomic<int> m_refused = 0;
    std::atomic<int> m_lost = 0;
};

void count(Counts &counts, const std::string &id, const Message &answer)
{
    const bool isServed = answer.status() == 200 && answer.m_complete;
    counts.m_served += isServed ? 1 : 0;
    counts.m_refused += answer.status() == 503 ? 1 : 0;
    counts.m_lost += !isServed && answer.status() != 503 ? 1 : 0;
    if (!isServed) {
        record("another client's request %s got %d%s", id.c_str(), answer.status(), answer.m_complete ? "" : ", cut off");
    }
}

std::string promptHeaders(const std::string &lastPart)
{
    return "X-Model: m\r\nX-Token-Count: 330,40\r\nX-Prefix-Hash: 5c1e07a2:119,91bd3f06:79," + lastPart + ":250\r\n";
}

int run(bool trouble)
{
    store = new Store; // used by threads until the process ends
    json diagnosis = route("fault-diag", "streaming", "lluvia-llm", 2, 20000);
    diagnosis["resumable"] = true;
    diagnosis["sticky"] = true;
    store->put("op/config",
               configuration(1,
                             json::array({route("charge", "non_idempotent", "kiosk-core", 1), diagnosis}),
                             json::array({service("kiosk-core", false), service("lluvia-llm", true)})));
    for (const char *name : {"kiosk-core", "lluvia-llm"}) {
        for (int i = 1; i <= 3; ++i) {
            auto *replica = new Replica;
            replica->m_id = "i-" + std::string(name).substr(0, 1) + std::to_string(i);
            replica->m_service = name;
            replica->m_server.start(
                [replica](Connection &connection, const Message &request) { return serve(*replica, connection, request); });
            store->put("servers/" + replica->m_id, registration(name, replica->m_server.address(), "ready", 6));
        }
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
    Counts payments;
    Counts streams;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < 6; ++caller) {
        callers.emplace_back([&, caller] {
            for (int i = 0; !isOver; ++i) {
                const Gateway &gateway = *gateways[static_cast<size_t>(caller + i) % gateways.size()];
                const std::string id = std::to_string(caller) + "x" + std::to_string(i);
                Client first(gateway.m_front);
                count(payments, "pay" + id, first.call("POST", "/charge/2", "pay" + id, "", "charge " + id));
                Client second(gateway.m_front);
                const std::string part = std::to_string(1000 + caller) + std::to_string(i);
                count(streams, "diag" + id, second.call("POST", "/fault-diag/2", "diag" + id, promptHeaders(part), "prompt " + id, 15000));
                sleepFor(0.1);
            }
        });
    }
    for (int i = 0; i < Attempts; ++i) {
        if (trouble) {
            const Gateway &gateway = *gateways[static_cast<size_t>(i) % gateways.size()];
            const std::string id = "deadly" + std::to_string(i);
            Client first(gateway.m_front);
            record("client %s sent a payment to %s, got %d",
                   id.c_str(),
                   gateway.m_name.c_str(),
                   first.call("POST", "/charge/1", id, "", Deadly).status());
            Client second(gateway.m_front);
            const int status = second.call("POST", "/fault-diag/1", "s" + id, promptHeaders("e4402b7d"), Deadly, 15000).status();
            record("client s%s sent a stream to %s, got %d", id.c_str(), gateway.m_name.c_str(), status);
        }
        sleepFor(ComesAgain);
    }
    isOver = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    bool isBroken = false;
    for (const auto &[name, known] : records) {
        record("%s: %zu crashes; %d times did the request reach a replica later than contact_ms after the third (%d allowed)",
               name.c_str(),
               known.m_crashes.size(),
               known.m_lateArrivals,
               MaxRetries);
        isBroken = isBroken || known.m_lateArrivals > MaxRetries;
    }
    record("payments of other clients: %d served, %d refused as not run, %d ended without an answer of a replica",
           payments.m_served.load(),
           payments.m_refused.load(),
           payments.m_lost.load());
    record("streams of other clients: %d served, %d refused as not run, %d ended otherwise",
           streams.m_served.load(),
           streams.m_refused.load(),
           streams.m_lost.load());
    return isBroken ? Broken : Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
