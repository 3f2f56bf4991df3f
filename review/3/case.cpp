/**
 * CONFIG: a key that was taken away is served for many seconds, as a watch on the configuration hangs.
 *
 * Nine gateways. For 0.7 s the store rejects three of them by giving no response to calls that arrive, while it serves the others and
 * the operator, whose new configuration falls into that time. Five seconds later the operator takes a key away.
 */

#include "world.h"

using namespace World;

namespace {

constexpr int Gateways = 9;
constexpr double RejectFor = 0.7; ///< seconds
constexpr double ConfigApply = 2.0; ///< config_apply_ms
constexpr double Contact = 3.0; ///< contact_ms
constexpr double Watched = 10.0; ///< seconds after the acknowledgement for which requests are sent

bool serve(Connection &connection, const Message &request)
{
    const std::string id = request.header("x-attempt-id");
    record("replica runs %s for tenant %s", id.c_str(), request.header("x-tenant").c_str());
    return sendAll(connection.m_fd, formatAnswer(200, sealed(id, "i-one"), "stock of " + id));
}

json version(int number, const json &keys, int timeoutMs)
{
    json stock = route("stock", "idempotent", "kiosk-core", 2, timeoutMs);
    stock["anonymous"] = false;
    return configuration(number,
                         json::array({stock}),
                         json::array({service("kiosk-core", false)}),
                         json::array({{{"name", "bozi300"}, {"api_keys", keys}, {"priority", 1}}}));
}

int run(bool trouble)
{
    Store &store = *new Store; // used by threads until the process ends
    Server &replica = *new Server;
    replica.start(serve);
    store.put("op/config", version(1, {"key-one", "key-two"}, 2000));
    store.put("servers/i-one", registration("kiosk-core", replica.address(), "ready", 6));
    for (int i = 1; i <= Gateways; ++i) {
        const std::string name = "edge-" + std::to_string(i);
        startGateway(name, store.open(name));
        sleepFor(0.15);
    }
    for (const std::unique_ptr<Gateway> &gateway : gateways) {
        if (!waitUntilReady(*gateway)) {
            record("%s is not ready", gateway->m_name.c_str());
            return NotRun;
        }
    }
    sleepFor(5);
    if (trouble) {
        record("the store gives no response to calls of edge-1, edge-2 and edge-3 that arrive now");
        store.reject({"edge-1", "edge-2", "edge-3"});
    }
    sleepFor(0.1);
    store.put("op/config", version(2, {"key-one", "key-two"}, 2500));
    record("the operator changes a timeout, acknowledged");
    sleepFor(RejectFor - 0.1);
    store.reject({});
    record("the store serves all machines");
    sleepFor(Contact + 2);
    const double acknowledged = store.put("op/config", version(3, {"key-one"}, 2500));
    record("the operator takes key-two away, acknowledged");
    int stale = 0;
    int refused = 0;
    std::map<std::string, double> last;
    for (int round = 0; seconds() < acknowledged + Watched; ++round) {
        for (const std::unique_ptr<Gateway> &gateway : gateways) {
            const double sent = seconds() - acknowledged;
            const std::string id = "old" + gateway->m_name.substr(5) + "x" + std::to_string(round);
            Client client(gateway->m_front);
            const Message answer = client.call("GET", "/stock/1", id, "X-Api-Key: key-two\r\n");
            const bool isStale = answer.status() == 200 && sent > ConfigApply;
            refused += answer.status() == 401 ? 1 : 0;
            stale += isStale ? 1 : 0;
            record("client %s sent to %s %.2f s after the acknowledgement, with the key that was taken away, got %d%s",
                   id.c_str(),
                   gateway->m_name.c_str(),
                   sent,
                   answer.status(),
                   isStale ? "  <-- served by an older version" : "");
            if (isStale) {
                last[gateway->m_name] = sent;
            }
        }
        sleepFor(0.25);
    }
    for (const auto &[name, at] : last) {
        record("%s still served the key %.2f s after the acknowledgement", name.c_str(), at);
    }
    record("%d requests refused, %d requests served with the key later than %.0f s after its removal, by %zu gateways",
           refused,
           stale,
           ConfigApply,
           last.size());
    return stale > 0 ? Broken : Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
