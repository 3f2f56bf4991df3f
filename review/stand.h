#pragma once

/**
 * Stand-ins of the second sitting of the review: the platform's store, replicas and clients on loopback sockets, and the
 * gateway as a process of its own. They follow PROTOCOL.md. One thread per connection; a mutex guards what they share.
 */

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <spawn.h>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include <nlohmann/json.hpp>

extern char **environ;

namespace Stand {

using nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

inline const SteadyClock::time_point Start = SteadyClock::now();

inline int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - Start).count();
}

inline void sleepMs(int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/** Whether the case plays its disruption; TROUBLE=0 switches it off. */
inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

//-----------------------------------------------------------------------------
// Record
//-----------------------------------------------------------------------------

inline std::mutex RecordMutex;
inline std::ofstream RecordFile;

/** Writes one line with the time to record.txt and to the standard output. */
inline void note(const std::string &text)
{
    const std::lock_guard lock(RecordMutex);
    char at[32];
    std::snprintf(at, sizeof at, "%8.3f ", static_cast<double>(nowMs()) / 1000);
    RecordFile << at << text << std::endl;
    std::cout << at << text << std::endl;
}

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int NotRunnable = 2;

//-----------------------------------------------------------------------------
// Sockets
//-----------------------------------------------------------------------------

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline int portOf(int descriptor)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

inline std::string addressOf(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

inline int listenOn(int port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || listen(descriptor, 512) != 0) {
        std::perror("listen");
        std::exit(NotRunnable);
    }
    return descriptor;
}

/** A port that was free a moment ago. */
inline int freePort()
{
    const int descriptor = listenOn(0);
    const int port = portOf(descriptor);
    close(descriptor);
    return port;
}

inline bool sendAll(int descriptor, const std::string &text)
{
    size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = send(descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<size_t>(count);
    }
    return true;
}

struct Message {
    std::string m_first; ///< request or status line
    std::vector<std::pair<std::string, std::string>> m_headers; ///< names in lower case
    std::string m_body;

    [[nodiscard]] std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : m_headers) {
            if (key == name) {
                return value;
            }
        }
        return {};
    }
};

/** Reads messages with a length from a socket. */
class Reader
{
public:
    explicit Reader(int descriptor) : m_descriptor(descriptor)
    {
    }

    std::optional<Message> read()
    {
        size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more()) {
                return std::nullopt;
            }
        }
        Message message;
        const std::string head = m_buffer.substr(0, end + 2);
        m_buffer.erase(0, end + 4);
        size_t start = head.find("\r\n");
        message.m_first = head.substr(0, start);
        start += 2;
        while (start < head.size()) {
            const size_t lineEnd = head.find("\r\n", start);
            const std::string line = head.substr(start, lineEnd - start);
            start = lineEnd + 2;
            const size_t colon = line.find(':');
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            const size_t value = line.find_first_not_of(' ', colon + 1);
            message.m_headers.emplace_back(name, value == std::string::npos ? "" : line.substr(value));
        }
        const std::string length = message.header("content-length");
        const size_t size = length.empty() ? 0 : std::stoul(length);
        while (m_buffer.size() < size) {
            if (!more()) {
                return std::nullopt;
            }
        }
        message.m_body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return message;
    }

private:
    bool more()
    {
        char buffer[65536];
        const ssize_t count = recv(m_descriptor, buffer, sizeof buffer, 0);
        if (count <= 0) {
            return false;
        }
        m_buffer.append(buffer, static_cast<size_t>(count));
        return true;
    }

    int m_descriptor;
    std::string m_buffer;
};

/** Accepts connections; @p serve runs in a thread for each and the descriptor is closed after it. */
inline int serveOn(int port, std::function<void(int)> serve)
{
    const int listener = listenOn(port);
    std::thread([listener, serve = std::move(serve)] {
        while (true) {
            const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                return;
            }
            const int on = 1;
            setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([descriptor, serve] {
                serve(descriptor);
                close(descriptor);
            }).detach();
        }
    }).detach();
    return portOf(listener);
}

inline std::string answer(const std::string &status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

//-----------------------------------------------------------------------------
// Store
//-----------------------------------------------------------------------------

inline std::string toBase64(const std::string &text)
{
    static const char *Alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (size_t i = 0; i < text.size(); i += 3) {
        const auto byte = [&](size_t at) { return at < text.size() ? static_cast<unsigned char>(text[at]) : 0U; };
        const unsigned value = byte(i) << 16 | byte(i + 1) << 8 | byte(i + 2);
        out += Alphabet[value >> 18 & 63];
        out += Alphabet[value >> 12 & 63];
        out += i + 1 < text.size() ? Alphabet[value >> 6 & 63] : '=';
        out += i + 2 < text.size() ? Alphabet[value & 63] : '=';
    }
    return out;
}

/** The platform's store: listings, watches, transactions and leases. */
class Store
{
public:
    Store()
    {
        m_port = serveOn(0, [this](int descriptor) { serve(descriptor); });
        std::thread([this] { expireLeases(); }).detach();
    }

    int port() const
    {
        return m_port;
    }

    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        write(key, toBase64(value), 0);
    }

    void remove(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        erase(key);
    }

    /** Keys under @p prefix. */
    std::vector<std::string> keys(const std::string &prefix)
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::string> found;
        for (const auto &[key, item] : m_items) {
            if (key.compare(0, prefix.size(), prefix) == 0) {
                found.push_back(key);
            }
        }
        return found;
    }

    void putReplica(const std::string &id, const std::string &service, int port, const std::string &state = "ready", int64_t born = 1)
    {
        put("servers/" + id,
            json{{"service", service},
                 {"address", addressOf(port)},
                 {"zone", "z1"},
                 {"version", "v1"},
                 {"slots", 64},
                 {"state", state},
                 {"cold_left_ms", 0},
                 {"sequence", 1},
                 {"born", born}}
                .dump());
    }

private:
    struct Item {
        std::string m_value; ///< base64
        int64_t m_revision = 0;
        int64_t m_created = 0;
        int64_t m_lease = 0;
    };

    struct Lease {
        int64_t m_ttl = 0;
        int64_t m_until = 0;
    };

    static json describe(const std::string &key, const Item &item)
    {
        return {{"key", key}, {"value", item.m_value}, {"revision", item.m_revision}, {"created", item.m_created}, {"lease", item.m_lease}};
    }

    void write(const std::string &key, const std::string &value, int64_t lease)
    {
        Item &item = m_items[key];
        item.m_value = value;
        item.m_revision = ++m_revision;
        item.m_created = item.m_created == 0 ? m_revision : item.m_created;
        item.m_lease = lease;
        m_history.push_back(describe(key, item));
        m_changed.notify_all();
    }

    void erase(const std::string &key)
    {
        if (m_items.erase(key) > 0) {
            m_history.push_back({{"key", key}, {"revision", ++m_revision}, {"tombstone", true}});
            m_changed.notify_all();
        }
    }

    void endLease(int64_t lease)
    {
        m_leases.erase(lease);
        std::vector<std::string> ended;
        for (const auto &[key, item] : m_items) {
            if (item.m_lease == lease) {
                ended.push_back(key);
            }
        }
        for (const std::string &key : ended) {
            erase(key);
        }
    }

    void expireLeases()
    {
        while (true) {
            sleepMs(50);
            const std::lock_guard lock(m_mutex);
            std::vector<int64_t> ended;
            for (const auto &[lease, state] : m_leases) {
                if (state.m_until <= nowMs()) {
                    ended.push_back(lease);
                }
            }
            for (const int64_t lease : ended) {
                endLease(lease);
            }
        }
    }

    static std::string parameter(const std::string &target, const std::string &name)
    {
        size_t at = target.find('?');
        while (at != std::string::npos) {
            const size_t end = std::min(target.find('&', at + 1), target.size());
            const std::string pair = target.substr(at + 1, end - at - 1);
            const size_t equals = pair.find('=');
            if (pair.substr(0, equals) == name) {
                return equals == std::string::npos ? "" : pair.substr(equals + 1);
            }
            at = end < target.size() ? end : std::string::npos;
        }
        return {};
    }

    static std::string number(const std::string &target)
    {
        return target.substr(target.rfind('/') + 1);
    }

    std::string range(const std::string &target)
    {
        const std::string prefix = parameter(target, "prefix");
        const std::string after = parameter(target, "after");
        const std::lock_guard lock(m_mutex);
        json entries = json::array();
        for (const auto &[key, item] : m_items) {
            if (key.compare(0, prefix.size(), prefix) == 0 && key > after) {
                entries.push_back(describe(key, item));
            }
        }
        return json{{"entries", entries}, {"more_pages", false}, {"as_of", m_revision}}.dump();
    }

    std::string watch(const std::string &target)
    {
        const int64_t after = std::stoll(parameter(target, "after"));
        const int64_t wait = std::stoll(parameter(target, "wait_ms"));
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, std::chrono::milliseconds(wait), [&] { return m_revision > after; });
        json events = json::array();
        for (const json &event : m_history) {
            if (event.at("revision").get<int64_t>() > after) {
                events.push_back(event);
            }
        }
        return json{{"events", events}, {"as_of", m_revision}}.dump();
    }

    std::string transact(const std::string &body, std::string &status)
    {
        const json call = json::parse(body);
        const std::lock_guard lock(m_mutex);
        for (const json &entry : call.at("writes")) {
            const int64_t lease = entry.value("lease", int64_t{0});
            if (lease != 0 && !m_leases.contains(lease)) {
                status = "404 Not Found";
                return "{}";
            }
        }
        for (const json &entry : call.at("writes")) {
            write(entry.at("key"), entry.at("value"), entry.value("lease", int64_t{0}));
        }
        for (const json &key : call.at("remove")) {
            erase(key);
        }
        return json{{"revision", m_revision}}.dump();
    }

    std::string lease(const std::string &body)
    {
        const int64_t ttl = json::parse(body).at("ttl_ms");
        const std::lock_guard lock(m_mutex);
        const int64_t id = m_nextLease++;
        m_leases[id] = {ttl, nowMs() + ttl};
        return json{{"lease", id}, {"ttl_ms", ttl}}.dump();
    }

    void serve(int descriptor)
    {
        Reader reader(descriptor);
        while (const std::optional<Message> request = reader.read()) {
            const size_t space = request->m_first.find(' ');
            const std::string method = request->m_first.substr(0, space);
            const std::string target = request->m_first.substr(space + 1, request->m_first.rfind(' ') - space - 1);
            std::string status = "200 OK";
            std::string body = "{}";
            if (target.find("/-/kv-range") == 0) {
                body = range(target);
            } else if (target.find("/-/kv-watch") == 0) {
                body = watch(target);
            } else if (target == "/-/kv-txn") {
                body = transact(request->m_body, status);
            } else if (target == "/-/kv-lease") {
                body = lease(request->m_body);
            } else if (target.find("/-/kv-keep/") == 0) {
                const std::lock_guard lock(m_mutex);
                const auto kept = m_leases.find(std::stoll(number(target)));
                if (kept == m_leases.end()) {
                    status = "404 Not Found";
                } else {
                    kept->second.m_until = nowMs() + kept->second.m_ttl;
                    body = json{{"lease", kept->first}, {"ttl_ms", kept->second.m_ttl}}.dump();
                }
            } else if (method == "DELETE" && target.find("/-/kv-lease-end/") == 0) {
                const std::lock_guard lock(m_mutex);
                endLease(std::stoll(number(target)));
            } else {
                status = "404 Not Found";
            }
            if (!sendAll(descriptor, answer(status, "Content-Type: application/json\r\n", body))) {
                return;
            }
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<json> m_history;
    std::map<int64_t, Lease> m_leases;
    int64_t m_revision = 1;
    int64_t m_nextLease = 1000;
    int m_port = 0;
};

//-----------------------------------------------------------------------------
// Gateway
//-----------------------------------------------------------------------------

/** A gateway process, run with the command of the deploy file and settings like those of a small deployment. */
class Gateway
{
public:
    Gateway(const std::string &node, int storePort, const std::string &folder) : m_node(node), m_folder(folder)
    {
        m_front = freePort();
        m_ready = freePort();
        m_peers = freePort();
        m_settings = folder + "/" + node + ".json";
        std::ofstream(m_settings) << json{
            {"node", node},
            {"failure_domain", "z1"},
            {"front", addressOf(m_front)},
            {"readiness", addressOf(m_ready)},
            {"peers", addressOf(m_peers)},
            {"store", addressOf(storePort)},
            {"processor_share", 0.25},
            {"memory_mb", 260},
            {"drain_ms", 8000},
            {"heartbeat_ms", 1200},
            {"leaving_ms", 2000},
            {"repeat_ratio", 0.2},
            {"repeat_extra", 58},
            {"repeat_window_ms", 10000},
            {"min_lease_ms", 1000}}.dump();
        start();
    }

    ~Gateway()
    {
        stop(SIGKILL);
    }

    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    void start()
    {
        const std::string setting = "MEDLARRAMP_SETTINGS=" + m_settings;
        std::vector<char *> environment;
        for (char **entry = environ; *entry != nullptr; ++entry) {
            environment.push_back(*entry);
        }
        environment.push_back(const_cast<char *>(setting.c_str()));
        environment.push_back(nullptr);
        const char *program = "target/medlarramp";
        char *arguments[] = {const_cast<char *>(program), const_cast<char *>("gateway"), nullptr};
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        const std::string log = m_folder + "/" + m_node + ".log";
        posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        if (posix_spawn(&m_pid, program, &actions, nullptr, arguments, environment.data()) != 0) {
            std::perror(program);
            std::exit(NotRunnable);
        }
        posix_spawn_file_actions_destroy(&actions);
    }

    /** Sends @p number and waits for the end of the process. */
    void stop(int number)
    {
        if (m_pid > 0) {
            kill(m_pid, number);
            waitpid(m_pid, nullptr, 0);
            m_pid = 0;
        }
    }

    void signal(int number) const
    {
        kill(m_pid, number);
    }

    /** Whether the process has ended by itself; its status is in @p status. */
    bool hasEnded(int &status)
    {
        if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = 0;
            return true;
        }
        return false;
    }

    bool waitUntilReady(int64_t limitMs = 10000) const
    {
        const int64_t end = nowMs() + limitMs;
        while (nowMs() < end) {
            const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const sockaddr_in address = loopback(m_ready);
            bool isReady = false;
            if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0
                && sendAll(descriptor, "GET /-/readyz HTTP/1.1\r\nHost: r\r\n\r\n")) {
                const std::optional<Message> got = Reader(descriptor).read();
                isReady = got && got->m_first.find(" 200 ") != std::string::npos;
            }
            close(descriptor);
            if (isReady) {
                return true;
            }
            sleepMs(50);
        }
        return false;
    }

    int m_front = 0;
    int m_ready = 0;
    int m_peers = 0;
    pid_t m_pid = 0;

private:
    std::string m_node;
    std::string m_folder;
    std::string m_settings;
};

inline std::string temporaryFolder()
{
    const char *base = std::getenv("TMPDIR");
    std::string name = std::string(base == nullptr ? "/tmp" : base) + "/review-XXXXXX";
    if (mkdtemp(name.data()) == nullptr) {
        std::exit(NotRunnable);
    }
    return name;
}

/** Copies the warnings of a gateway's log into the record, removes the folder and ends the case; threads may still run. */
[[noreturn]] inline void finish(Gateway &gateway, const std::string &folder, const std::string &node, int result)
{
    gateway.stop(SIGKILL);
    std::ifstream log(folder + "/" + node + ".log");
    for (std::string line; std::getline(log, line);) {
        if (line.find(" warning ") != std::string::npos || line.find("not read its answer") != std::string::npos) {
            note(node + " wrote: " + line.substr(line.find('Z') + 2));
        }
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
    note(result == Held ? "The rule held." : result == Broken ? "The rule was broken." : "The case could not run.");
    RecordFile.close();
    _exit(result);
}

//-----------------------------------------------------------------------------
// Configuration
//-----------------------------------------------------------------------------

inline json makeRoute(const std::string &name, const std::string &prefix, const std::string &kind, const std::string &service)
{
    return {{"name", name},
            {"host", "pule25.example"},
            {"prefix", prefix},
            {"kind", kind},
            {"timeout_ms", 4000},
            {"target_latency_ms", 2000},
            {"priority", 1},
            {"service", service},
            {"max_attempts", 1},
            {"anonymous", true}};
}

//-----------------------------------------------------------------------------
// Callers
//-----------------------------------------------------------------------------

/** Waits before the next read of an answer of which @p got bytes have arrived since @p startedAt. */
using Pace = std::function<void(size_t got, int64_t startedAt)>;

struct Outcome {
    bool m_isComplete = false;
    size_t m_got = 0; ///< bytes
    std::string m_status; ///< empty: no head arrived
    std::string m_text; ///< for the record
};

/** A client with one connection that it keeps, over a network with packets of 1,448 bytes. */
class Caller
{
public:
    /** @param bufferBytes of the socket for received bytes */
    /** @param readBytes that it takes at once, at most */
    Caller(int port, int bufferBytes, size_t readBytes) : m_buffer(readBytes)
    {
        constexpr int SegmentBytes = 1448;
        m_descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        setsockopt(m_descriptor, IPPROTO_TCP, TCP_MAXSEG, &SegmentBytes, sizeof SegmentBytes);
        setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof bufferBytes);
        const sockaddr_in address = loopback(port);
        m_isOpen = connect(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    }

    ~Caller()
    {
        close(m_descriptor);
    }

    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    /** Sends a request and reads its answer, which has a length, at @p pace. */
    Outcome ask(const std::string &path, const std::string &id, const Pace &pace)
    {
        Outcome outcome;
        const int64_t startedAt = nowMs();
        const std::string head = "POST " + path + " HTTP/1.1\r\nHost: pule25.example\r\nX-Attempt-Id: " + id
            + "\r\nX-Deadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nbody";
        m_isOpen = m_isOpen && sendAll(m_descriptor, head);
        std::string got;
        std::optional<size_t> whole;
        while (m_isOpen && got.size() < whole.value_or(got.size() + 1)) {
            const ssize_t count = recv(m_descriptor, m_buffer.data(), m_buffer.size(), 0);
            if (count <= 0) {
                m_isOpen = false;
                outcome.m_text = count < 0 ? std::strerror(errno) : "end of the connection";
                break;
            }
            got.append(m_buffer.data(), static_cast<size_t>(count));
            const size_t end = got.find("\r\n\r\n");
            if (!whole && end != std::string::npos) {
                const std::string name = "Content-Length: ";
                const size_t at = got.find(name);
                whole = end + 4 + (at < end ? std::stoul(got.substr(at + name.size())) : 0);
                outcome.m_status = got.substr(9, 3);
            }
            pace(got.size(), startedAt);
        }
        outcome.m_got = got.size();
        outcome.m_isComplete = whole && got.size() == *whole;
        const std::string size = std::to_string(got.size()) + " of " + (whole ? std::to_string(*whole) : "?") + " bytes in "
            + std::to_string(nowMs() - startedAt) + " ms";
        outcome.m_text = "request " + id + ": status " + (outcome.m_status.empty() ? "none" : outcome.m_status) + ", " + size
            + (outcome.m_text.empty() ? "" : ", " + outcome.m_text);
        return outcome;
    }

private:
    int m_descriptor = -1;
    bool m_isOpen = false;
    std::vector<char> m_buffer;
};

inline void atOnce(size_t /*got*/, int64_t /*startedAt*/)
{
}

} // namespace Stand
