#pragma once

/**
 * Stand-ins for the cases 6 to 10 of the review: the platform's store, plain replicas, clients, and gateway processes of the
 * deploy file. One thread for each connection; loopback addresses and free ports only.
 */

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace World {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

inline int64_t nowMs()
{
    static const Clock::time_point start = Clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
}

inline void sleepMs(int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/** Lines of record.txt: what was sent, answered and run. */
struct Record {
    std::mutex m_mutex;
    std::ofstream m_file;

    explicit Record(const std::string &path) : m_file(path)
    {
    }

    void add(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        m_file << nowMs() << " ms " << line << '\n';
        m_file.flush();
    }
};

//-----------------------------------------------------------------------------
// HTTP
//-----------------------------------------------------------------------------

struct Message {
    std::string m_first; ///< request or status line
    std::map<std::string, std::string> m_headers; ///< names in lower case
    std::string m_body;
};

struct Stream {
    int m_socket = -1;
    std::string m_buffer;

    explicit Stream(int socket) : m_socket(socket)
    {
    }
    ~Stream()
    {
        if (m_socket >= 0) {
            ::close(m_socket);
        }
    }
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    bool fill()
    {
        char data[65536];
        const ssize_t count = ::recv(m_socket, data, sizeof data, 0);
        if (count <= 0) {
            return false;
        }
        m_buffer.append(data, static_cast<size_t>(count));
        return true;
    }

    bool send(const std::string &text) const
    {
        size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t count = ::send(m_socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<size_t>(count);
        }
        return true;
    }

    /** The next message with a Content-Length or without a body; nothing when the connection ends before. */
    std::optional<Message> read()
    {
        size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill()) {
                return std::nullopt;
            }
        }
        Message message;
        size_t start = 0;
        const std::string head = m_buffer.substr(0, end + 2);
        m_buffer.erase(0, end + 4);
        while (start < head.size()) {
            const size_t lineEnd = head.find("\r\n", start);
            const std::string line = head.substr(start, lineEnd - start);
            const size_t colon = line.find(':');
            if (message.m_first.empty()) {
                message.m_first = line;
            } else if (colon != std::string::npos) {
                std::string name = line.substr(0, colon);
                for (char &c : name) {
                    c = static_cast<char>(std::tolower(c));
                }
                const size_t value = line.find_first_not_of(' ', colon + 1);
                message.m_headers[name] = value == std::string::npos ? "" : line.substr(value);
            }
            start = lineEnd + 2;
        }
        const auto length = message.m_headers.find("content-length");
        const size_t bytes = length == message.m_headers.end() ? 0 : std::stoul(length->second);
        while (m_buffer.size() < bytes) {
            if (!fill()) {
                return std::nullopt;
            }
        }
        message.m_body = m_buffer.substr(0, bytes);
        m_buffer.erase(0, bytes);
        return message;
    }
};

struct Address {
    std::string m_host = "127.0.0.1";
    int m_port = 0;

    [[nodiscard]] std::string text() const
    {
        return m_host + ":" + std::to_string(m_port);
    }
};

inline sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<uint16_t>(address.m_port));
    inet_pton(AF_INET, address.m_host.c_str(), &result.sin_addr);
    return result;
}

inline int listenOn(Address &address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enable = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
    sockaddr_in local = socketAddress(address);
    socklen_t size = sizeof local;
    if (bind(socket, reinterpret_cast<sockaddr *>(&local), sizeof local) != 0 || listen(socket, 512) != 0
        || getsockname(socket, reinterpret_cast<sockaddr *>(&local), &size) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    address.m_port = ntohs(local.sin_port);
    return socket;
}

inline int freePort()
{
    Address address;
    ::close(listenOn(address));
    return address.m_port;
}

/** @return null when the connection is refused. */
inline std::unique_ptr<Stream> connectTo(const Address &address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in remote = socketAddress(address);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&remote), sizeof remote) != 0) {
        ::close(socket);
        return nullptr;
    }
    const int enable = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
    return std::make_unique<Stream>(socket);
}

/** Serves each connection in a thread of its own, until the process ends. */
inline void serve(Address &address, std::function<void(Stream &)> handle)
{
    const int listener = listenOn(address);
    std::thread([listener, handle = std::move(handle)] {
        while (true) {
            const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                continue;
            }
            const int enable = 1;
            setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
            std::thread([socket, handle] {
                Stream stream(socket);
                handle(stream);
            }).detach();
        }
    }).detach();
}

inline std::string formatAnswer(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

//-----------------------------------------------------------------------------
// The platform's store
//-----------------------------------------------------------------------------

inline std::string toBase64(const std::string &text)
{
    static const char *const Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (size_t i = 0; i < text.size(); i += 3) {
        uint32_t group = 0;
        for (size_t j = 0; j < 3; ++j) {
            group = (group << 8) | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0);
        }
        for (size_t j = 0; j < 4; ++j) {
            result += i + j > text.size() ? '=' : Digits[(group >> (18 - 6 * j)) & 63];
        }
    }
    return result;
}

inline std::string parameter(const std::string &target, const std::string &name)
{
    const size_t query = target.find('?');
    const size_t start = query == std::string::npos ? query : target.find(name + "=", query);
    if (start == std::string::npos) {
        return {};
    }
    const size_t begin = start + name.size() + 1;
    std::string raw = target.substr(begin, target.find('&', begin) - begin);
    std::string text;
    for (size_t i = 0; i < raw.size(); ++i) {
        if (raw[i] == '%' && i + 2 < raw.size()) {
            text += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            text += raw[i];
        }
    }
    return text;
}

/** A store that keeps 20 s of history, and that can be down: it then answers 503. Values are kept as base64 text. */
struct Store {
    static constexpr int64_t HistoryMs = 20'000;
    static constexpr int Silent = 0; ///< in place of a status: no answer

    struct Item {
        std::string m_value;
        int64_t m_revision = 0;
        int64_t m_lease = 0;
    };
    struct Event {
        std::string m_key;
        Item m_item;
        bool m_removed = false;
        int64_t m_atMs = 0;
    };

    std::mutex m_mutex;
    std::condition_variable m_changed;
    Address m_address;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_events;
    int64_t m_revision = 1;
    int64_t m_nextLease = 100;
    int64_t m_forgotten = 0; ///< revisions up to this one are no longer in the history
    bool m_isDown = false; ///< calls get 503; operators and replicas still reach it
    int m_silences = 0; ///< how often the connections with a waiting watch went silent
    int m_waiting = 0; ///< watches that wait now
    int64_t m_largestAnswer = 0; ///< bytes

    void setDown(bool isDown)
    {
        const std::lock_guard lock(m_mutex);
        m_isDown = isDown;
        m_changed.notify_all();
    }

    /** Makes the connections on which a watch waits now silent for good; new ones work. @return their number */
    int silenceWatches()
    {
        const std::lock_guard lock(m_mutex);
        m_silences += 1;
        return m_waiting;
    }

    void start()
    {
        serve(m_address, [this](Stream &stream) {
            while (const std::optional<Message> request = stream.read()) {
                const auto [status, body] = answer(*request);
                if (status == Silent) {
                    while (stream.fill()) {
                        stream.m_buffer.clear();
                    }
                    return;
                }
                const std::string text = body.dump();
                {
                    const std::lock_guard lock(m_mutex);
                    m_largestAnswer = std::max(m_largestAnswer, static_cast<int64_t>(text.size()));
                }
                if (!stream.send(formatAnswer(status, "Content-Type: application/json\r\n", text))) {
                    return;
                }
            }
        });
    }

    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        write(key, toBase64(value), 0);
    }

private:
    void write(const std::string &key, const std::string &value, int64_t lease)
    {
        m_items[key] = {value, ++m_revision, lease};
        m_events.push_back({key, m_items[key], false, nowMs()});
        m_changed.notify_all();
    }

    void remove(const std::string &key)
    {
        m_items.erase(key);
        m_events.push_back({key, {"", ++m_revision, 0}, true, nowMs()});
        m_changed.notify_all();
    }

    static json describe(const std::string &key, const Item &item)
    {
        return {
            {"key", key}, {"value", item.m_value}, {"revision", item.m_revision}, {"created", item.m_revision}, {"lease", item.m_lease}};
    }

    std::pair<int, json> watch(std::unique_lock<std::mutex> &lock, int64_t after, int64_t waitMs)
    {
        const int silences = m_silences;
        m_waiting += 1;
        m_changed.wait_for(lock, std::chrono::milliseconds(waitMs), [&] { return m_revision > after || m_isDown; });
        m_waiting -= 1;
        if (m_silences != silences) {
            return {Silent, json::object()};
        }
        while (!m_events.empty() && m_events.front().m_atMs < nowMs() - HistoryMs) {
            m_forgotten = m_events.front().m_item.m_revision;
            m_events.erase(m_events.begin());
        }
        if (m_isDown || after < m_forgotten) {
            return {m_isDown ? 503 : 410, json::object()};
        }
        json events = json::array();
        for (const Event &event : m_events) {
            if (event.m_item.m_revision > after) {
                events.push_back(event.m_removed ? json{{"key", event.m_key}, {"revision", event.m_item.m_revision}, {"tombstone", true}}
                                                 : describe(event.m_key, event.m_item));
            }
        }
        return {200, {{"events", events}, {"as_of", m_revision}}};
    }

    std::pair<int, json> answer(const Message &request)
    {
        const size_t space = request.m_first.find(' ');
        const std::string target = request.m_first.substr(space + 1, request.m_first.rfind(' ') - space - 1);
        std::unique_lock lock(m_mutex);
        if (m_isDown) {
            return {503, json::object()};
        }
        if (target.find("/-/kv-range") == 0) {
            const std::string prefix = parameter(target, "prefix");
            json entries = json::array();
            for (const auto &[key, item] : m_items) {
                if (key.compare(0, prefix.size(), prefix) == 0) {
                    entries.push_back(describe(key, item));
                }
            }
            return {200, {{"entries", entries}, {"more_pages", false}, {"as_of", m_revision}}};
        }
        if (target.find("/-/kv-watch") == 0) {
            return watch(lock, std::stoll(parameter(target, "after")), std::stoll(parameter(target, "wait_ms")));
        }
        if (target == "/-/kv-lease") {
            return {200, {{"lease", m_nextLease++}, {"ttl_ms", json::parse(request.m_body).at("ttl_ms")}}};
        }
        if (target.find("/-/kv-keep/") == 0) {
            return {200, {{"ttl_ms", 6000}}};
        }
        if (target.find("/-/kv-lease-end/") == 0) {
            const int64_t lease = std::stoll(target.substr(target.rfind('/') + 1));
            std::vector<std::string> keys;
            for (const auto &[key, item] : m_items) {
                if (item.m_lease == lease) {
                    keys.push_back(key);
                }
            }
            for (const std::string &key : keys) {
                remove(key);
            }
            return {200, json::object()};
        }
        if (target == "/-/kv-txn") {
            const json body = json::parse(request.m_body);
            for (const json &entry : body.at("writes")) {
                write(entry.at("key"), entry.at("value"), entry.value("lease", int64_t{0}));
            }
            return {200, {{"revision", m_revision}}};
        }
        return {404, json::object()};
    }
};

//-----------------------------------------------------------------------------
// Replicas
//-----------------------------------------------------------------------------

/** A sound replica of a plain service: reads a request whole, runs it in a slot, and answers with its seal. */
struct Replica {
    std::string m_id;
    std::string m_service;
    int m_slots = 10;
    int64_t m_workMs = 50; ///< of requests with a body of more than 1,000 bytes; others take 5 ms
    Record *m_record = nullptr;
    Address m_address;
    std::mutex m_mutex;
    std::condition_variable m_free;
    int m_running = 0;
    std::map<std::string, int> m_runs; ///< by attempt id

    void start(Store &store)
    {
        serve(m_address, [this](Stream &stream) {
            while (const std::optional<Message> request = stream.read()) {
                if (!stream.send(run(*request))) {
                    return;
                }
            }
        });
        store.put("servers/" + m_id,
                  json{{"service", m_service},
                       {"address", m_address.text()},
                       {"zone", "z1"},
                       {"version", "v1"},
                       {"slots", m_slots},
                       {"state", "ready"},
                       {"cold_left_ms", 0},
                       {"sequence", 1},
                       {"born", 1}}
                      .dump());
    }

    bool hasRun(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        return m_runs.contains(id);
    }

private:
    std::string run(const Message &request)
    {
        const auto id = request.m_headers.find("x-attempt-id");
        const auto expected = request.m_headers.find("x-expected-replica");
        if (expected != request.m_headers.end() && expected->second != m_id) {
            return formatAnswer(421, "X-Not-Executed: 1\r\nX-Replica-Id: " + m_id + "\r\n", "");
        }
        const std::string attempt = id == request.m_headers.end() ? "" : id->second;
        {
            std::unique_lock lock(m_mutex);
            m_free.wait(lock, [this] { return m_running < m_slots; });
            m_running += 1;
            m_runs[attempt] += 1;
        }
        m_record->add("run " + attempt + " at " + m_id + ", " + std::to_string(request.m_body.size()) + " bytes");
        sleepMs(request.m_body.size() > 1000 ? m_workMs : 5);
        {
            const std::lock_guard lock(m_mutex);
            m_running -= 1;
        }
        m_free.notify_one();
        m_record->add("done " + attempt + " at " + m_id);
        return formatAnswer(200, "X-Attempt-Id: " + attempt + "\r\nX-Replica-Seal: seal-" + attempt + "\r\n", "ok " + attempt);
    }
};

//-----------------------------------------------------------------------------
// Gateway processes
//-----------------------------------------------------------------------------

/** A process of the deploy file, with settings as deploy/settings.json renders them for a small deployment. */
struct Gateway {
    std::string m_node = "edge-z1-1";
    Address m_front;
    Address m_ready;
    std::string m_settings; ///< path
    pid_t m_pid = 0;

    void start(const Store &store, const std::string &folder)
    {
        m_front.m_port = freePort();
        m_ready.m_port = freePort();
        Address peers;
        peers.m_port = freePort();
        m_settings = folder + "/" + m_node + ".json";
        std::ofstream(m_settings) << json{
            {"node", m_node},
            {"failure_domain", "z1"},
            {"front", m_front.text()},
            {"readiness", m_ready.text()},
            {"peers", peers.text()},
            {"store", store.m_address.text()},
            {"processor_share", 0.25},
            {"memory_mb", 260},
            {"drain_ms", 8000},
            {"heartbeat_ms", 1200},
            {"leaving_ms", 2000},
            {"repeat_ratio", 0.2},
            {"repeat_extra", 58},
            {"repeat_window_ms", 10000},
            {"min_lease_ms", 1000}}.dump();
        const std::string log = folder + "/" + m_node + ".log";
        m_pid = fork();
        if (m_pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // also when this process is killed at its limit of time
            setenv("MEDLARRAMP_SETTINGS", m_settings.c_str(), 1);
            if (std::freopen(log.c_str(), "w", stderr) == nullptr) {
                _exit(2);
            }
            execl("target/medlarramp", "target/medlarramp", "gateway", nullptr);
            _exit(2);
        }
        waitReady();
    }

    void stop()
    {
        if (m_pid > 0) {
            kill(m_pid, SIGKILL);
            waitpid(m_pid, nullptr, 0);
            m_pid = 0;
        }
    }

    ~Gateway()
    {
        stop();
    }

    /** A line of /proc/PID/status, such as VmHWM. */
    [[nodiscard]] std::string status(const std::string &name) const
    {
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.compare(0, name.size(), name) == 0) {
                return line;
            }
        }
        return "";
    }

private:
    void waitReady()
    {
        for (int i = 0; i < 200; ++i) {
            if (const std::unique_ptr<Stream> stream = connectTo(m_ready)) {
                stream->send("GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
                const std::optional<Message> answer = stream->read();
                if (answer && answer->m_first.find(" 200 ") != std::string::npos) {
                    return;
                }
            }
            sleepMs(50);
        }
        std::fprintf(stderr, "the gateway is not ready\n");
        stop();
        std::exit(2);
    }
};

//-----------------------------------------------------------------------------
// Clients
//-----------------------------------------------------------------------------

/** What a client saw: the status, or 0 when the connection ended without an answer. */
inline int
request(Stream &stream, const std::string &path, const std::string &id, size_t bodyBytes, int deadlineMs, const std::string &headers = "")
{
    const std::string head = "POST " + path + " HTTP/1.1\r\nHost: kiosk.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: "
        + std::to_string(deadlineMs) + "\r\n" + headers + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    stream.send(head + std::string(bodyBytes, 'b')); // an answer may come although sending fails
    const std::optional<Message> answer = stream.read();
    return answer ? std::atoi(answer->m_first.c_str() + std::strlen("HTTP/1.1 ")) : 0;
}

inline bool isTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace World
