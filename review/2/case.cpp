/**
 * ORDER: pieces of two runs are joined in one event of a stream.
 *
 * Two model replicas behind one gateway, a resumable streaming route. One replica stops in the middle of an event and goes on with
 * bytes that are no answer; the gateway resumes the stream at the other replica.
 */

#include "world.h"

using namespace World;

namespace {

constexpr int Streams = 100;
constexpr int Events = 8;
constexpr int SpoiledEvery = 20; ///< one answer in so many of the faulty replica: x = 0.05
std::atomic<int> spoiled = 0;
std::atomic<int> answered = 0;

std::string event(const std::string &id, int number)
{
    return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + " of " + id + "\n\n";
}

bool serve(const std::string &replica, bool isFaulty, Connection &connection, const Message &request)
{
    const std::string id = request.header("x-attempt-id");
    const std::string last = request.header("last-event-id");
    const int after = last.empty() ? 0 : std::stoi(last);
    record("replica %s runs %s from event %d", replica.c_str(), id.c_str(), after + 1);
    const bool isSpoiled = isFaulty && ++answered % SpoiledEvery == 0;
    bool sent =
        sendAll(connection.m_fd,
                "HTTP/1.1 200 OK\r\n" + sealed(id, replica) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int number = after + 1; sent && number <= Events; ++number) {
        sleepFor(0.005);
        const std::string text = event(id, number);
        if (isSpoiled && number == 4) {
            spoiled += 1;
            record("replica %s stops in the middle of event 4 of %s and sends bytes that are no answer", replica.c_str(), id.c_str());
            sendAll(connection.m_fd, formatChunk(text.substr(0, text.size() / 2)));
            sleepFor(0.03);
            sendAll(connection.m_fd, "%%% these bytes are no answer %%%\r\n");
            return false;
        }
        sent = sendAll(connection.m_fd, formatChunk(text));
    }
    return sent && sendAll(connection.m_fd, "0\r\n\r\n");
}

int run(bool trouble)
{
    Store &store = *new Store; // used by threads until the process ends
    Server &first = *new Server;
    Server &second = *new Server;
    first.start([&](Connection &connection, const Message &request) { return serve("i-one", trouble, connection, request); });
    second.start([&](Connection &connection, const Message &request) { return serve("i-two", false, connection, request); });
    json diagnosis = route("fault-diag", "streaming", "lluvia-llm", 2, 20000);
    diagnosis["resumable"] = true;
    diagnosis["sticky"] = true;
    store.put("op/config", configuration(1, json::array({diagnosis}), json::array({service("lluvia-llm", true)})));
    store.put("servers/i-one", registration("lluvia-llm", first.address()));
    store.put("servers/i-two", registration("lluvia-llm", second.address()));
    const Gateway &gateway = startGateway("edge-1", store.open("edge-1"));
    if (!waitUntilReady(gateway)) {
        record("the gateway is not ready");
        return NotRun;
    }
    int joined = 0;
    for (int i = 0; i < Streams; ++i) {
        const std::string id = "diag" + std::to_string(1000 + i);
        std::string whole;
        for (int number = 1; number <= Events; ++number) {
            whole += event(id, number);
        }
        char prefix[64];
        std::snprintf(prefix, sizeof prefix, "X-Prefix-Hash: %x:80,%x:250\r\n", 0x5c10 + 7919 * i, 0xe4402b7d + i);
        Client client(gateway.m_front);
        const Message answer = client.call(
            "POST", "/fault-diag/1", id, std::string("X-Model: m\r\nX-Token-Count: 330,40\r\n") + prefix, "prompt " + id, 15000);
        // A stream that ends early may be cut anywhere between events; one that ends as complete has to be whole.
        const bool isPart = whole.compare(0, answer.m_body.size(), answer.m_body) == 0;
        const bool isBad = answer.status() == 200 && (answer.m_complete ? answer.m_body != whole : !isPart);
        record("client %s got %d, %s, %zu of %zu bytes%s",
               id.c_str(),
               answer.status(),
               answer.m_complete ? "complete" : "cut",
               answer.m_body.size(),
               whole.size(),
               isBad ? "  <-- not the stream of one run:" : "");
        if (isBad) {
            joined += 1;
            record("%s", json(answer.m_body).dump().c_str());
        }
        sleepFor(0.02);
    }
    record("%d streams, %d spoiled at one replica, %d clients got pieces of two runs joined", Streams, spoiled.load(), joined);
    return joined > 0 ? Broken : Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
