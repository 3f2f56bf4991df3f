#pragma once

/**
 * Test harness for gateway processes: fake key-value store, fake replicas and callers, all on one event loop of the test.
 *
 * The gateways run as processes of the built program, so that tests can send them signals.
 */

#include <algorithm>
#include <cerrno>
#include <climits>
#include <csignal>
#include <cstring>
#include <fstream>
#include <list>
#include <map>
#include <netinet/in.h>
#include <optional>
#include <set>
#include <spawn.h>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

#include <cppunit/TestAssert.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "net.h"

extern char **environ; // NOLINT(readability-redundant-declaration): POSIX requires programs to declare it

namespace Medlarramp::Serving {

constexpr Duration WaitLimit = seconds(20); ///< a condition that is not met within this time fails the test

/** A request that a fake server has received. */
struct ReceivedRequest {
    HttpRequest m_request;
    NetConnection *m_net = nullptr; ///< connection for the answer; null once the peer has disconnected
};

/** Keeps a port of 127.0.0.1 from being given to another process while nobody listens on it. Connections to it are refused. */
class ReservedPort
{
public:
    explicit ReservedPort(int port) : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int reuse = 1; // so that a server can listen on the port before this socket is closed
        sockaddr_in local{};
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        local.sin_port = htons(static_cast<uint16_t>(port));
        CPPUNIT_ASSERT_EQUAL(0, setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(std::strerror(errno), 0, bind(m_socket, reinterpret_cast<const sockaddr *>(&local), sizeof local));
    }

    ~ReservedPort()
    {
        close(m_socket);
    }

    ReservedPort(const ReservedPort &) = delete;
    ReservedPort &operator=(const ReservedPort &) = delete;

private:
    int m_socket;
};

/** HTTP server that records every request and answers by a handler of the test. */
struct FakeServer {
    using Handler = std::function<void(FakeServer &, const std::shared_ptr<ReceivedRequest> &)>;

    NetLoop *m_loop = nullptr;
    NetListener m_listener;
    Handler m_handler;
    std::vector<std::shared_ptr<ReceivedRequest>> m_requests;
    int m_connections = 0;

    void start(NetLoop &loop, Handler handler)
    {
        m_loop = &loop;
        m_handler = std::move(handler);
        const absl::Status status = m_listener.listen(loop, {"127.0.0.1", 0}, {}, [this](NetConnection *net) { accept(net); });
        CPPUNIT_ASSERT_MESSAGE(std::string(status.message()), status.ok());
    }

    [[nodiscard]] std::string address() const
    {
        return fmt::format("127.0.0.1:{}", m_listener.port());
    }

    /** Refuses new connections. No other process gets the port, as it stays bound. */
    void stopListening()
    {
        if (const int port = m_listener.port(); port != 0) {
            m_listener.close();
            m_reserved.emplace(port);
        }
    }

    /** Resets all connections and refuses new ones, at the same address, for @p downTime. @p onRestart is called after that. */
    void crash(Duration downTime, const std::function<void()> &onRestart)
    {
        const int port = m_listener.port();
        stopListening();
        for (NetConnection *net : std::exchange(m_open, {})) {
            net->resetConnection();
            for (const std::shared_ptr<ReceivedRequest> &request : m_requests) {
                request->m_net = request->m_net == net ? nullptr : request->m_net;
            }
        }
        m_restart.start(*m_loop, downTime, [this, port, onRestart] {
            const absl::Status status = m_listener.listen(*m_loop, {"127.0.0.1", port}, {}, [this](NetConnection *net) { accept(net); });
            CPPUNIT_ASSERT_MESSAGE(std::string(status.message()), status.ok());
            m_reserved.reset();
            onRestart();
        });
    }

    /** Requests whose target begins with @p prefix. */
    [[nodiscard]] std::vector<std::shared_ptr<ReceivedRequest>> requestsFor(const std::string &prefix) const
    {
        std::vector<std::shared_ptr<ReceivedRequest>> found;
        for (const std::shared_ptr<ReceivedRequest> &request : m_requests) {
            if (request->m_request.m_target.compare(0, prefix.size(), prefix) == 0) {
                found.push_back(request);
            }
        }
        return found;
    }

private:
    std::optional<ReservedPort> m_reserved;
    NetTimer m_restart;
    std::set<NetConnection *> m_open;

    void accept(NetConnection *net)
    {
        m_connections += 1;
        m_open.insert(net);
        auto reader = std::make_shared<HttpReader>(HTTP_REQUEST, 64 * 1024, 16 * 1024 * 1024);
        auto open = std::make_shared<std::vector<std::weak_ptr<ReceivedRequest>>>();
        net->m_onData = [this, net, reader, open](std::string_view data) {
            while (!data.empty()) {
                data.remove_prefix(reader->feed(data));
                if (reader->m_state == ParseState::Head || reader->m_state == ParseState::Body) {
                    continue;
                }
                if (reader->m_state != ParseState::Done) {
                    return; // no request
                }
                auto request = std::make_shared<ReceivedRequest>();
                request->m_request = {reader->m_method, reader->m_target, reader->m_headers, reader->m_body, reader->m_keepAlive};
                request->m_net = net;
                reader->reset();
                open->push_back(request);
                m_requests.push_back(request);
                m_handler(*this, request);
            }
        };
        net->m_onClose = [this, net, open](CloseCause, const absl::Status &) {
            m_open.erase(net);
            for (const std::weak_ptr<ReceivedRequest> &request : *open) {
                if (const std::shared_ptr<ReceivedRequest> alive = request.lock()) {
                    alive->m_net = nullptr;
                }
            }
        };
    }
};

inline void reply(const std::shared_ptr<ReceivedRequest> &request, const std::string &bytes)
{
    if (request->m_net != nullptr) {
        request->m_net->write(bytes);
    }
}

/** Headers that a replica adds to each answer: the echoed attempt id and the seal. */
inline HttpHeaders replicaHeaders(const std::shared_ptr<ReceivedRequest> &request)
{
    const std::string id(findHeader(request->m_request.m_headers, "X-Attempt-Id").value_or(""));
    return {{"X-Attempt-Id", id}, {"X-Replica-Seal", "seal-of-" + id}};
}

inline std::string event(int id)
{
    return fmt::format("id: {}\ndata: piece {}\n\n", id, id);
}

/** A watch that waits at the fake store. */
struct PendingWatch {
    std::shared_ptr<ReceivedRequest> m_request;
    int64_t m_after = 0;
    std::shared_ptr<NetTimer> m_end; ///< answers without events
};

/** Contents of the fake store at one time. */
struct StoreBackup {
    std::map<std::string, std::pair<std::string, int64_t>> m_items;
    std::map<std::string, int64_t> m_removed;
    int64_t m_revision = 0;
};

/** Fake key-value store: listings in one page, watches that wait for changes, leases that end when a test says so. */
struct FakeStore {
    FakeServer m_server;
    std::map<std::string, std::pair<std::string, int64_t>> m_items; ///< value and revision by key
    std::map<std::string, int64_t> m_removed; ///< revision of the removal by key
    int64_t m_revision = 1;
    bool m_isSilent = false; ///< no call is answered
    bool m_isHistoryGone = false; ///< the next watch is answered with 410
    bool m_losesWatches = false; ///< watch calls and answers to waiting ones get lost; all other calls are answered
    std::optional<size_t> m_maxEvents; ///< most events in one answer to a watch; the rest follows in the next one
    std::optional<size_t> m_lostWatch; ///< index of the waiting watch whose answer to the next change gets lost
    std::map<std::string, std::pair<std::string, int64_t>> m_staleItems; ///< if any, what stale listings return
    std::vector<PendingWatch> m_watches;
    std::optional<std::string> m_era; ///< header of all answers; nothing: no header
    std::set<int64_t> m_leases; ///< granted since the start or the last restoration
    std::map<std::string, int64_t> m_itemLeases; ///< lease of the last write by key
    int64_t m_nextLease = 7;
    int64_t m_listings = 0; ///< answered range calls
    int64_t m_writes = 0; ///< answered transactions

    [[nodiscard]] StoreBackup backup() const
    {
        return {m_items, m_removed, m_revision};
    }

    /** Restores a backup: later writes and all leases are lost, revisions and lease ids are given out again, and the era increases. */
    void restore(const StoreBackup &backup, int64_t era)
    {
        m_items = backup.m_items;
        m_removed = backup.m_removed;
        m_revision = backup.m_revision;
        m_leases.clear();
        m_nextLease = 7;
        m_era = std::to_string(era);
        closeWatches();
    }

    /** All leases end and the keys attached to them are removed. */
    void lapseLeases()
    {
        m_leases.clear();
        for (const auto &[key, lease] : std::exchange(m_itemLeases, {})) {
            if (lease != 0 && m_items.contains(key)) {
                remove(key);
            }
        }
    }

    /** Ends the connections of all waiting watches without an answer. */
    void closeWatches()
    {
        for (const PendingWatch &watch : std::exchange(m_watches, {})) {
            if (watch.m_request->m_net != nullptr) {
                watch.m_request->m_net->closeAfterWrites();
            }
        }
    }

    /** Grants a lease to a client that is no gateway. */
    int64_t grantLease()
    {
        m_leases.insert(m_nextLease);
        return m_nextLease++;
    }

    void start(NetLoop &loop)
    {
        m_server.start(loop, [this](FakeServer &, const std::shared_ptr<ReceivedRequest> &request) { answer(request); });
    }

    void put(const std::string &key, const std::string &value)
    {
        m_items[key] = {value, ++m_revision};
        m_removed.erase(key);
        notifyWatches();
    }

    void remove(const std::string &key)
    {
        m_items.erase(key);
        m_removed[key] = ++m_revision;
        notifyWatches();
    }

    void notifyWatches()
    {
        const auto watches = std::exchange(m_watches, {});
        const std::optional<size_t> lost = std::exchange(m_lostWatch, std::nullopt);
        for (size_t i = 0; i < watches.size(); ++i) {
            if (!m_losesWatches && i != lost) {
                answerWatch(watches[i].m_request, watches[i].m_after);
            }
        }
    }

    /** @param born start of the incarnation */
    void putReplica(const std::string &id,
                    const std::string &service,
                    const std::string &address,
                    const std::string &state = "ready",
                    int64_t born = 1,
                    const std::string &failureDomain = "z1",
                    const std::string &softwareVersion = "v1")
    {
        put("servers/" + id,
            nlohmann::json{{"service", service},
                           {"address", address},
                           {"zone", failureDomain},
                           {"version", softwareVersion},
                           {"slots", 8},
                           {"state", state},
                           {"cold_left_ms", 0},
                           {"sequence", 1},
                           {"born", born}}
                .dump());
    }

private:
    static std::string parameter(const std::string &target, const std::string &name)
    {
        const size_t start = target.find(name + "=");
        if (start == std::string::npos) {
            return {};
        }
        const size_t begin = start + name.size() + 1;
        return target.substr(begin, target.find('&', begin) - begin);
    }

    [[nodiscard]] nlohmann::json itemsAfter(int64_t revision, const std::string &prefix, bool stale = false) const
    {
        nlohmann::json items = nlohmann::json::array();
        for (const auto &[key, item] : stale ? m_staleItems : m_items) {
            if (item.second > revision && key.compare(0, prefix.size(), prefix) == 0) {
                items.push_back(
                    {{"key", key}, {"value", toBase64(item.first)}, {"revision", item.second}, {"created", item.second}, {"lease", 0}});
            }
        }
        return items;
    }

    void sendStatus(const std::shared_ptr<ReceivedRequest> &request, int status, const std::string &body)
    {
        HttpHeaders headers = {{"Content-Type", "application/json"}};
        if (m_era) {
            headers.push_back({"Store-Era", *m_era});
        }
        reply(request, formatAnswer(status, headers, body, true));
    }

    void send(const std::shared_ptr<ReceivedRequest> &request, const nlohmann::json &body)
    {
        sendStatus(request, 200, body.dump());
    }

    void answerWatch(const std::shared_ptr<ReceivedRequest> &request, int64_t after)
    {
        if (m_era && after > m_revision) {
            sendStatus(request, 410, "");
            return;
        }
        nlohmann::json events = itemsAfter(after, parameter(request->m_request.m_target, "prefix"));
        for (const auto &[key, revision] : m_removed) {
            if (revision > after) {
                events.push_back({{"key", key}, {"revision", revision}, {"tombstone", true}});
            }
        }
        if (m_maxEvents && events.size() > *m_maxEvents) {
            std::sort(events.begin(), events.end(), [](const nlohmann::json &left, const nlohmann::json &right) {
                return left.at("revision").get<int64_t>() < right.at("revision").get<int64_t>();
            });
            events.erase(events.begin() + static_cast<std::ptrdiff_t>(*m_maxEvents), events.end());
            send(request, {{"events", events}, {"as_of", events.back().at("revision")}});
            return;
        }
        if (!events.empty()) {
            send(request, {{"events", events}, {"as_of", m_revision}});
            return;
        }
        const int64_t wait = std::stoll(parameter(request->m_request.m_target, "wait_ms"));
        PendingWatch &watch = m_watches.emplace_back(PendingWatch{request, after, std::make_shared<NetTimer>()});
        watch.m_end->start(*m_server.m_loop, milliseconds(wait), [this, request] { endWatch(request); });
    }

    void endWatch(const std::shared_ptr<ReceivedRequest> &request)
    {
        std::erase_if(m_watches, [&request](const PendingWatch &watch) { return watch.m_request == request; });
        if (!m_isSilent && !m_losesWatches) {
            send(request, {{"events", nlohmann::json::array()}, {"as_of", m_revision}});
        }
    }

    [[nodiscard]] int64_t revisionOf(const std::string &key) const
    {
        return m_items.contains(key) ? m_items.at(key).second : 0;
    }

    void answerTransaction(const std::shared_ptr<ReceivedRequest> &request, const nlohmann::json &body)
    {
        m_writes += 1;
        nlohmann::json current = nlohmann::json::array();
        bool holds = true;
        for (const nlohmann::json &row : body.value("expected_revision", nlohmann::json::array())) {
            const std::string key = row.at("key");
            holds = holds && row.at("revision") == revisionOf(key);
            current.push_back({{"key", key}, {"revision", revisionOf(key)}});
        }
        if (!holds) {
            sendStatus(request, 412, nlohmann::json{{"entries", current}}.dump());
            return;
        }
        for (const nlohmann::json &write : body.at("writes")) {
            m_itemLeases[write.at("key").get<std::string>()] = write.value("lease", int64_t{0});
            put(write.at("key"), fromBase64(write.at("value").get<std::string>()).value_or(""));
        }
        for (const nlohmann::json &key : body.value("remove", nlohmann::json::array())) {
            remove(key);
        }
        send(request, {{"revision", m_revision}});
    }

    void answer(const std::shared_ptr<ReceivedRequest> &request)
    {
        const std::string &target = request->m_request.m_target;
        if (m_isSilent) {
            return;
        }
        if (target.find("/-/kv-range") == 0) {
            m_listings += 1;
            const bool stale = parameter(target, "allow_stale") == "1" && !m_staleItems.empty();
            send(request, {{"entries", itemsAfter(0, parameter(target, "prefix"), stale)}, {"more_pages", false}, {"as_of", m_revision}});
        } else if (target.find("/-/kv-watch") == 0 && std::exchange(m_isHistoryGone, false)) {
            sendStatus(request, 410, "");
        } else if (target.find("/-/kv-watch") == 0 && m_losesWatches) {
            return;
        } else if (target.find("/-/kv-watch") == 0) {
            answerWatch(request, std::stoll(parameter(target, "after")));
        } else if (target.find("/-/kv-txn") == 0) {
            answerTransaction(request, nlohmann::json::parse(request->m_request.m_body));
        } else if (target.find("/-/kv-keep/") == 0) {
            const int64_t lease = std::stoll(target.substr(target.rfind('/') + 1));
            sendStatus(request, m_leases.contains(lease) ? 200 : 404, nlohmann::json{{"lease", lease}, {"ttl_ms", 4000}}.dump());
        } else if (target == "/-/kv-lease") {
            send(request, {{"lease", grantLease()}, {"ttl_ms", 4000}});
        } else {
            send(request, nlohmann::json::object());
        }
    }
};

/** A caller's connection, and what it has received. */
struct Caller {
    NetConnection *m_net = nullptr;
    HttpReader m_reader{HTTP_RESPONSE, 64 * 1024, 16 * 1024 * 1024};
    std::string m_raw;
    bool m_closed = false;
    bool m_reset = false;

    [[nodiscard]] bool isAnswered() const
    {
        return m_reader.m_state == ParseState::Done;
    }
};

/** Runs gateway processes, a fake key-value store and callers for one test. */
class GatewayHarness
{
public:
    GatewayHarness()
    {
        std::signal(SIGPIPE, SIG_IGN); // a write to a connection that the gateway has closed
        initLoop(m_loop, m_clock);
        m_store.start(m_loop);
    }

    ~GatewayHarness()
    {
        for (const Process &process : m_processes) {
            kill(process.m_pid, SIGKILL);
            waitpid(process.m_pid, nullptr, 0);
            unlink(process.m_settings.c_str());
        }
        m_store.m_server.m_listener.close();
        m_store.m_watches.clear();
        closeLoop(m_loop);
    }

    GatewayHarness(const GatewayHarness &) = delete;
    GatewayHarness &operator=(const GatewayHarness &) = delete;

    struct Process {
        pid_t m_pid = 0;
        std::string m_settings;
        std::string m_front;
        std::string m_ready;
    };

    /** Starts a gateway and waits until it reports ready. */
    Process &startGateway(const std::string &node, int drainMs = 8000, const nlohmann::json &extraSettings = nlohmann::json::object())
    {
        // Another process may bind a port between its choice and its use; the gateway then exits at once.
        constexpr int MaxStarts = 10;
        for (int start = 0; start < MaxStarts; ++start) {
            spawnGateway(node, drainMs, extraSettings);
            if (waitUntilReady(m_processes.back())) {
                return m_processes.back();
            }
            m_processes.pop_back();
        }
        CPPUNIT_FAIL("the gateway exited at every start");
        return m_processes.back();
    }

    void spawnGateway(const std::string &node, int drainMs, const nlohmann::json &extraSettings = nlohmann::json::object())
    {
        Process process;
        process.m_front = freeAddress();
        process.m_ready = freeAddress();
        process.m_settings = fmt::format("/tmp/medlarramp-test-{}-{}.json", getpid(), node);
        nlohmann::json settings = {{"node", node},
                                   {"failure_domain", "z1"},
                                   {"front", process.m_front},
                                   {"readiness", process.m_ready},
                                   {"peers", freeAddress()},
                                   {"store", m_store.m_server.address()},
                                   {"drain_ms", drainMs},
                                   {"leaving_ms", 1500},
                                   {"repeat_ratio", 0.2},
                                   {"repeat_extra", 50}};
        settings.update(extraSettings);
        settings.update(m_extraSettings);
        std::ofstream(process.m_settings) << settings;
        const std::string program = programPath();
        std::vector<std::string> words = {program, "gateway", "--settings", process.m_settings};
        std::vector<char *> arguments;
        arguments.reserve(words.size() + 1);
        for (std::string &word : words) {
            arguments.push_back(word.data());
        }
        arguments.push_back(nullptr);
        // A spawned process inherits the limits of this one.
        rlimit limit{};
        CPPUNIT_ASSERT_EQUAL(0, getrlimit(RLIMIT_NOFILE, &limit));
        const rlimit lowered{m_descriptors == 0 ? limit.rlim_cur : m_descriptors, limit.rlim_max};
        CPPUNIT_ASSERT_EQUAL(0, setrlimit(RLIMIT_NOFILE, &lowered));
        const int code = posix_spawn(&process.m_pid, program.c_str(), nullptr, nullptr, arguments.data(), environ);
        CPPUNIT_ASSERT_EQUAL(0, setrlimit(RLIMIT_NOFILE, &limit));
        CPPUNIT_ASSERT_EQUAL(0, code);
        m_processes.push_back(process);
    }

    Caller &connectCaller(const std::string &address)
    {
        Caller &caller = m_callers.emplace_back();
        caller.m_net = NetConnection::connect(m_loop, *parseSocketAddress(address), {});
        caller.m_net->m_onData = [&caller](std::string_view data) {
            caller.m_raw += data;
            caller.m_reader.feed(data);
        };
        caller.m_net->m_onClose = [&caller](CloseCause cause, const absl::Status &) {
            caller.m_closed = true;
            caller.m_reset = cause == CloseCause::Reset;
            caller.m_net = nullptr;
        };
        return caller;
    }

    /** Sends a request to the test host on a new connection. */
    Caller &
    send(const Process &gateway, const std::string &method, const std::string &target, const std::string &id, HttpHeaders extra = {})
    {
        Caller &caller = connectCaller(gateway.m_front);
        sendOn(caller, method, target, id, std::move(extra));
        return caller;
    }

    static void sendOn(Caller &caller, const std::string &method, const std::string &target, const std::string &id, HttpHeaders extra = {})
    {
        HttpHeaders headers = {{"Host", "h.example"}, {"X-Attempt-Id", id}};
        headers.insert(headers.end(), extra.begin(), extra.end());
        if (!findHeader(headers, "X-Deadline-Ms")) {
            headers.push_back({"X-Deadline-Ms", "9000"});
        }
        caller.m_reader.reset();
        caller.m_net->write(formatRequest(method, target, headers, method == "POST" ? "body" : ""));
    }

    /** Runs the loop until @p condition is true; fails the test after WaitLimit. */
    void runUntil(const std::string &what, const std::function<bool()> &condition)
    {
        const TimePoint limit = now(m_clock) + WaitLimit;
        while (!condition()) {
            CPPUNIT_ASSERT_MESSAGE("timed out waiting for: " + what, now(m_clock) < limit);
            NetTimer wake;
            wake.start(m_loop, milliseconds(5), [] {});
            uv_run(&m_loop.m_loop, UV_RUN_ONCE);
        }
    }

    /** Runs the loop for @p duration of real time. */
    void runFor(Duration duration)
    {
        const TimePoint end = now(m_clock) + duration;
        runUntil("end of a pause", [&] { return now(m_clock) >= end; });
    }

    NetLoop m_loop;
    Clock m_clock;
    FakeStore m_store;
    nlohmann::json m_extraSettings = nlohmann::json::object(); ///< added to the settings file of each gateway
    rlim_t m_descriptors = 0; ///< limit on the open files of each gateway; 0: that of the test process

private:
    static std::string programPath()
    {
        std::array<char, PATH_MAX> self{};
        const ssize_t length = readlink("/proc/self/exe", self.data(), self.size() - 1);
        const std::string path(self.data(), length > 0 ? static_cast<size_t>(length) : 0);
        return path.substr(0, path.rfind('/')) + "/medlarramp";
    }

    std::string freeAddress()
    {
        NetListener probe;
        CPPUNIT_ASSERT(probe.listen(m_loop, {"127.0.0.1", 0}, {}, [](NetConnection *net) { net->close(); }).ok());
        return fmt::format("127.0.0.1:{}", probe.port());
    }

    /** Waits until the gateway reports ready. @return false when the process has exited instead. */
    bool waitUntilReady(const Process &process)
    {
        bool ready = false;
        bool ended = false;
        Caller *probe = nullptr;
        runUntil("readiness of the gateway", [&] {
            ended = waitpid(process.m_pid, nullptr, WNOHANG) == process.m_pid;
            ready = probe != nullptr && probe->isAnswered() && probe->m_reader.m_status == 200;
            if (!ready && (probe == nullptr || probe->m_closed || probe->isAnswered())) {
                probe = &connectCaller(process.m_ready);
                probe->m_net->write(formatRequest("GET", "/-/readyz", {{"Host", "r"}}, ""));
            }
            return ready || ended;
        });
        return ready && !ended;
    }

    std::list<Process> m_processes;
    std::list<Caller> m_callers;
};

inline nlohmann::json route(const std::string &name, const std::string &prefix, const std::string &kind, const std::string &service)
{
    return {{"name", name},
            {"host", "h.example"},
            {"prefix", prefix},
            {"kind", kind},
            {"timeout_ms", 9000},
            {"target_latency_ms", 2000},
            {"priority", 0},
            {"service", service},
            {"max_attempts", 2},
            {"anonymous", true}};
}

inline nlohmann::json pieces(int batch)
{
    return {{"slots", 1}, {"queue", 2}, {"batch", batch}, {"call_ms", 20}, {"item_ms", 1}, {"headroom_mb", 9}, {"handle_ttl_s", 4}};
}

/**
 * Routes: /plain/ non-idempotent, /read/ idempotent, /keyed/ idempotent with API key, /stream/ resumable, /chain/ resumable
 * after one stage.
 */
inline nlohmann::json configuration(int64_t version)
{
    nlohmann::json stream = route("stream", "/stream/", "streaming", "model");
    stream["resumable"] = true;
    stream["sticky"] = true;
    nlohmann::json chain = stream;
    chain["name"] = "chain";
    chain["prefix"] = "/chain/";
    chain["stages"] = nlohmann::json::array({{{"service", "stage"}, {"after", nlohmann::json::array()}, {"length", 1000}}});
    nlohmann::json keyed = route("keyed", "/keyed/", "idempotent", "plain");
    keyed["anonymous"] = false;
    return {
        {"version", version},
        {"routes",
         nlohmann::json::array(
             {route("plain", "/plain/", "non_idempotent", "plain"), route("read", "/read/", "idempotent", "plain"), stream, chain, keyed})},
        {"services",
         nlohmann::json::array({{{"name", "plain"}, {"max_connections", 50}},
                                {{"name", "model"}, {"max_connections", 50}, {"engine", {{"slots", 8}, {"kv_capacity", 1000}}}},
                                {{"name", "stage"}, {"max_connections", 50}, {"pieces", pieces(8)}}})},
        {"tenants", nlohmann::json::array({{{"name", "org"}, {"api_keys", nlohmann::json::array({"k1"})}}})}};
}

/** Handler of a replica that answers every request with 200 and the body "whole". */
inline void answerOk(FakeServer & /*server*/, const std::shared_ptr<ReceivedRequest> &request)
{
    reply(request, formatAnswer(200, replicaHeaders(request), "whole", true));
}

/** Handler of a stage replica that returns a result for each piece at once. */
inline void answerStageCall(FakeServer &server, const std::shared_ptr<ReceivedRequest> &request)
{
    if (request->m_request.m_target == "/-/stage-free") {
        reply(request, formatAnswer(200, {}, "", true));
        return;
    }
    nlohmann::json entries = nlohmann::json::array();
    const nlohmann::json body = nlohmann::json::parse(request->m_request.m_body);
    for (const nlohmann::json &entry : body.at("entries")) {
        entries.push_back(
            {{"handle", fmt::format("{}/{}-{}", server.address(), entry.at("id").get<std::string>(), entry.at("piece").get<int>())}});
    }
    reply(request, formatAnswer(200, {{"Content-Type", "application/json"}}, nlohmann::json{{"entries", entries}}.dump(), true));
}

struct RegisteredFake {
    const char *m_id;
    const char *m_service;
    const FakeServer *m_server;
};

/** Writes the configuration and the replicas to the store and starts a gateway. */
inline const GatewayHarness::Process &startServing(GatewayHarness &harness, const std::vector<RegisteredFake> &replicas, int drainMs = 8000)
{
    harness.m_store.put("op/config", configuration(1).dump());
    for (const RegisteredFake &replica : replicas) {
        harness.m_store.putReplica(replica.m_id, replica.m_service, replica.m_server->address());
    }
    return harness.startGateway("g1", drainMs);
}

} // namespace Medlarramp::Serving
