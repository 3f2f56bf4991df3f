#pragma once

/**
 * Stand-ins for the review's scripts: the platform's store, replicas, clients, and gateway processes of the project.
 *
 * Everything listens on 127.0.0.1 and runs on the real clock. A world ends all processes that it started.
 */

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace World {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point Start = Clock::now();

inline double seconds()
{
    return std::chrono::duration<double>(Clock::now() - Start).count();
}

inline void sleepFor(double duration)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(duration));
}

//-----------------------------------------------------------------------------
// Record
//-----------------------------------------------------------------------------

inline std::mutex recordMutex;
inline FILE *recordFile = nullptr;

/** One line of record.txt with the time since the start. */
__attribute__((format(printf, 1, 2))) inline void record(const char *format, ...)
{
    const std::lock_guard lock(recordMutex);
    va_list arguments;
    va_start(arguments, format);
    if (recordFile != nullptr) {
        std::fprintf(recordFile, "%8.3f ", seconds());
        std::vfprintf(recordFile, format, arguments);
        std::fputc('\n', recordFile);
        std::fflush(recordFile);
    }
    va_end(arguments);
}

//-----------------------------------------------------------------------------
// Sockets and HTTP/1.1
//-----------------------------------------------------------------------------

inline int listenOnFreePort(int &port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

inline std::string freeAddress()
{
    int port = 0;
    const int fd = listenOnFreePort(port);
    close(fd);
    return "127.0.0.1:" + std::to_string(port);
}

/** @param receiveBuffer size of the socket's receive buffer in bytes; 0: as the system chooses */
inline int connectTo(const std::string &address, int receiveBuffer = 0)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    }
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    target.sin_port = htons(static_cast<uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (connect(fd, reinterpret_cast<sockaddr *>(&target), sizeof target) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline bool sendAll(int fd, const std::string &text)
{
    size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<size_t>(count);
    }
    return true;
}

struct Message {
    std::string m_start; ///< request line or status line
    std::map<std::string, std::string> m_headers; ///< names in lower case
    std::string m_body;
    bool m_hasHead = false;
    bool m_complete = false;

    [[nodiscard]] std::string header(const std::string &name) const
    {
        const auto entry = m_headers.find(name);
        return entry == m_headers.end() ? "" : entry->second;
    }
    [[nodiscard]] int status() const
    {
        return m_hasHead && m_start.size() > 12 ? std::atoi(m_start.c_str() + 9) : 0;
    }
    [[nodiscard]] std::string method() const
    {
        return m_start.substr(0, m_start.find(' '));
    }
    [[nodiscard]] std::string target() const
    {
        const size_t first = m_start.find(' ') + 1;
        return m_start.substr(first, m_start.find(' ', first) - first);
    }
};

/** Blocking reader of one message after the other. */
struct Reader {
    int m_fd = -1;
    std::string m_buffer;
    bool m_reset = false; ///< the connection ended by an error

    /** Reads more bytes. @return false at the end of the connection or of the time. */
    bool more(double until)
    {
        while (true) {
            const double left = until - seconds();
            if (left <= 0) {
                return false;
            }
            pollfd entry{m_fd, POLLIN, 0};
            const int ready = poll(&entry, 1, static_cast<int>(std::min(left * 1000 + 1, 1000.0)));
            if (ready <= 0) {
                continue;
            }
            char bytes[65536];
            const ssize_t count = recv(m_fd, bytes, sizeof bytes, 0);
            m_reset = count < 0;
            if (count <= 0) {
                return false;
            }
            m_buffer.append(bytes, static_cast<size_t>(count));
            return true;
        }
    }

    bool line(std::string &text, double until)
    {
        size_t end = 0;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            if (!more(until)) {
                return false;
            }
        }
        text = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        return true;
    }

    bool bytes(std::string &body, size_t count, double until)
    {
        while (m_buffer.size() < count) {
            if (!more(until)) {
                body += m_buffer;
                m_buffer.clear();
                return false;
            }
        }
        body += m_buffer.substr(0, count);
        m_buffer.erase(0, count);
        return true;
    }

    bool chunks(std::string &body, double until)
    {
        std::string text;
        while (line(text, until)) {
            const size_t size = std::strtoul(text.c_str(), nullptr, 16);
            if (size == 0) {
                while (line(text, until)) {
                    if (text.empty()) {
                        return true;
                    }
                }
                return false;
            }
            if (!bytes(body, size, until) || !line(text, until)) {
                return false;
            }
        }
        return false;
    }

    Message read(bool isAnswer, double until)
    {
        Message message;
        if (!line(message.m_start, until)) {
            return message;
        }
        std::string text;
        while (true) {
            if (!line(text, until)) {
                return message;
            }
            if (text.empty()) {
                break;
            }
            const size_t colon = text.find(':');
            std::string name = text.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            const size_t value = text.find_first_not_of(' ', colon + 1);
            message.m_headers[name] = value == std::string::npos ? "" : text.substr(value);
        }
        message.m_hasHead = true;
        if (message.header("transfer-encoding") == "chunked") {
            message.m_complete = chunks(message.m_body, until);
        } else if (message.m_headers.contains("content-length")) {
            message.m_complete = bytes(message.m_body, std::stoul(message.header("content-length")), until);
        } else if (isAnswer) {
            while (more(until)) {}
            message.m_body = std::exchange(m_buffer, "");
            message.m_complete = !m_reset && seconds() < until;
        } else {
            message.m_complete = true;
        }
        return message;
    }
};

inline std::string formatAnswer(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

inline std::string formatChunk(const std::string &data)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    return size + data + "\r\n";
}

/** One connection of a server, with the state that its handler keeps. */
struct Connection {
    int m_fd = -1;
    int m_requests = 0;
    std::string m_memory; ///< for the handler
    Reader m_reader;
};

/** A server with one thread for each connection. The handler returns false to end the connection. */
class Server
{
public:
    using Handler = std::function<bool(Connection &, const Message &)>;

    void start(Handler handler)
    {
        m_handler = std::move(handler);
        m_listener = listenOnFreePort(m_port);
        m_running = true;
        std::thread([this] { acceptAll(); }).detach();
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }

    /** As a process that ends: all connections are reset and the port refuses new ones until it is started again. */
    void crash()
    {
        const std::lock_guard lock(m_mutex);
        m_running = false;
        if (m_listener >= 0) {
            shutdown(m_listener, SHUT_RDWR);
            close(m_listener);
            m_listener = -1;
        }
        for (const int fd : m_open) {
            const linger discard{1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
            shutdown(fd, SHUT_RD);
        }
    }

    bool restart()
    {
        const int listener = listenOnFreePort(m_port);
        if (listener < 0) {
            return false;
        }
        {
            const std::lock_guard lock(m_mutex);
            m_listener = listener;
            m_running = true;
        }
        std::thread([this] { acceptAll(); }).detach();
        return true;
    }

    std::atomic<bool> m_running = false;

private:
    void acceptAll()
    {
        while (m_running) {
            const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_open.insert(fd);
        }
        Connection connection;
        connection.m_fd = fd;
        connection.m_reader.m_fd = fd;
        while (m_running) {
            const Message request = connection.m_reader.read(false, seconds() + 600);
            if (!request.m_complete) {
                break;
            }
            connection.m_requests += 1;
            if (!m_handler(connection, request)) {
                break;
            }
        }
        const std::lock_guard lock(m_mutex);
        m_open.erase(fd);
        close(fd);
    }

    Handler m_handler;
    int m_listener = -1;
    int m_port = 0;
    std::mutex m_mutex;
    std::set<int> m_open;
};

//-----------------------------------------------------------------------------
// Store
//-----------------------------------------------------------------------------

inline std::string toBase64(const std::string &data)
{
    static const char *Letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t i = 0; i < data.size(); i += 3) {
        uint32_t value = 0;
        for (size_t j = 0; j < 3; ++j) {
            value = value << 8 | (i + j < data.size() ? static_cast<unsigned char>(data[i + j]) : 0);
        }
        for (size_t j = 0; j < 4; ++j) {
            text += i + j > data.size() ? '=' : Letters[value >> (18 - 6 * j) & 63];
        }
    }
    return text;
}

/** The platform's key-value store: items, watches and leases. Calls of one machine come by an address of its own. */
class Store
{
public:
    struct Item {
        std::string m_value; ///< base64 text
        int64_t m_revision = 0;
        int64_t m_created = 0;
        int64_t m_lease = 0;
    };

    Store()
    {
        std::thread([this] { expireLeases(); }).detach();
    }

    /** An address for the machine @p name. */
    std::string open(const std::string &name)
    {
        auto *server = new Server; // serves until the process ends
        server->start([this, name](Connection &connection, const Message &request) { return handle(name, connection, request); });
        return server->address();
    }

    /** Writes as the operator or a replica. @return the time of the acknowledgement. */
    double put(const std::string &key, const json &value)
    {
        const std::lock_guard lock(m_mutex);
        write(key, toBase64(value.dump()), 0);
        m_changed.notify_all();
        return seconds();
    }

    double remove(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        erase(key);
        m_changed.notify_all();
        return seconds();
    }

    /** While a machine is in this set, calls of it that arrive get no response, also later. */
    void reject(const std::set<std::string> &machines)
    {
        const std::lock_guard lock(m_mutex);
        m_rejected = machines;
    }

    size_t count(const std::string &prefix)
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<size_t>(std::count_if(
            m_items.begin(), m_items.end(), [&](const auto &item) { return item.first.compare(0, prefix.size(), prefix) == 0; }));
    }

    bool m_logsCalls = false;

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
        m_history.push_back({m_revision, key, describe(key, item)});
    }

    void erase(const std::string &key)
    {
        if (m_items.erase(key) > 0) {
            m_revision += 1;
            m_history.push_back({m_revision, key, json{{"key", key}, {"revision", m_revision}, {"tombstone", true}}});
        }
    }

    void expireLeases()
    {
        while (true) {
            sleepFor(0.05);
            const std::lock_guard lock(m_mutex);
            std::vector<int64_t> ended;
            for (const auto &[lease, end] : m_leases) {
                if (end.first < seconds()) {
                    ended.push_back(lease);
                }
            }
            for (const int64_t lease : ended) {
                endLease(lease);
            }
        }
    }

    void endLease(int64_t lease)
    {
        m_leases.erase(lease);
        std::vector<std::string> keys;
        for (const auto &[key, item] : m_items) {
            if (item.m_lease == lease) {
                keys.push_back(key);
            }
        }
        for (const std::string &key : keys) {
            erase(key);
        }
        m_changed.notify_all();
    }

    bool handle(const std::string &machine, Connection &connection, const Message &request)
    {
        std::unique_lock lock(m_mutex);
        if (m_logsCalls) {
            record("store: %s calls %s", machine.c_str(), request.m_start.c_str());
        }
        if (m_rejected.contains(machine)) {
            record("store: no response to %s for %s", machine.c_str(), request.m_start.c_str());
            connection.m_memory = "silent";
        }
        if (connection.m_memory == "silent") {
            return true; // a connection on which a response is lost returns nothing further
        }
        const std::string target = request.target();
        int status = 200;
        json body;
        if (target.starts_with("/-/kv-watch")) {
            body = watch(lock, target);
        } else if (target.starts_with("/-/kv-range")) {
            body = range(target);
        } else if (target.starts_with("/-/kv-txn")) {
            status = transact(json::parse(request.m_body), body);
        } else if (target == "/-/kv-lease") {
            const int64_t lease = ++m_lastLease;
            const int64_t ttl = std::max<int64_t>(1000, json::parse(request.m_body).at("ttl_ms").get<int64_t>());
            m_leases[lease] = {seconds() + static_cast<double>(ttl) / 1000, ttl};
            body = {{"lease", lease}, {"ttl_ms", ttl}};
        } else if (target.starts_with("/-/kv-keep/")) {
            const auto lease = m_leases.find(std::stoll(target.substr(11)));
            status = lease == m_leases.end() ? 404 : 200;
            if (lease != m_leases.end()) {
                lease->second.first = seconds() + static_cast<double>(lease->second.second) / 1000;
                body = {{"ttl_ms", lease->second.second}};
            }
        } else if (target.starts_with("/-/kv-lease-end/")) {
            endLease(std::stoll(target.substr(16)));
        } else {
            status = 404;
        }
        lock.unlock();
        return sendAll(connection.m_fd, formatAnswer(status, "Content-Type: application/json\r\n", body.is_null() ? "{}" : body.dump()));
    }

    json watch(std::unique_lock<std::mutex> &lock, const std::string &target)
    {
        const std::string prefix = parameter(target, "prefix");
        const int64_t after = std::stoll(parameter(target, "after"));
        const auto until = Clock::now() + std::chrono::milliseconds(std::stoll(parameter(target, "wait_ms")));
        json events = json::array();
        const auto collect = [&] {
            for (const Event &event : m_history) {
                if (event.m_revision > after && event.m_key.compare(0, prefix.size(), prefix) == 0) {
                    events.push_back(event.m_text);
                }
            }
            return !events.empty();
        };
        m_changed.wait_until(lock, until, collect);
        return {{"events", events}, {"as_of", m_revision}};
    }

    json range(const std::string &target)
    {
        const std::string prefix = parameter(target, "prefix");
        const std::string after = parameter(target, "after");
        json entries = json::array();
        for (const auto &[key, item] : m_items) {
            if (key.compare(0, prefix.size(), prefix) == 0 && key > after) {
                entries.push_back(describe(key, item));
            }
        }
        return {{"entries", entries}, {"more_pages", false}, {"as_of", m_revision}};
    }

    int transact(const json &call, json &body)
    {
        for (const json &row : call.value("expected_revision", json::array())) {
            const auto item = m_items.find(row.at("key").get<std::string>());
            if ((item == m_items.end() ? 0 : item->second.m_revision) != row.at("revision").get<int64_t>()) {
                body = {{"entries", json::array()}};
                return 412;
            }
        }
        for (const json &row : call.value("writes", json::array())) {
            if (row.value("lease", 0) != 0 && !m_leases.contains(row.at("lease").get<int64_t>())) {
                return 404;
            }
        }
        for (const json &row : call.value("writes", json::array())) {
            write(row.at("key"), row.at("value"), row.value("lease", 0));
        }
        for (const json &key : call.value("remove", json::array())) {
            erase(key.get<std::string>());
        }
        body = {{"revision", m_revision}};
        m_changed.notify_all();
        return 200;
    }

    struct Event {
        int64_t m_revision = 0;
        std::string m_key;
        json m_text;
    };

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::deque<Event> m_history;
    std::map<int64_t, std::pair<double, int64_t>> m_leases; ///< end and length, by lease
    std::set<std::string> m_rejected;
    int64_t m_revision = 100;
    int64_t m_lastLease = 70000;
};

//-----------------------------------------------------------------------------
// Configuration and replicas
//-----------------------------------------------------------------------------

inline json route(const std::string &name, const std::string &kind, const std::string &service, int attempts, int timeoutMs = 4000)
{
    return {{"name", name},
            {"host", "review.example"},
            {"prefix", "/" + name + "/"},
            {"kind", kind},
            {"timeout_ms", timeoutMs},
            {"target_latency_ms", 1000},
            {"priority", 1},
            {"service", service},
            {"max_attempts", attempts},
            {"anonymous", true},
            {"sticky", false},
            {"resumable", false},
            {"target_gap_ms", 600}};
}

inline json service(const std::string &name, bool isEngine)
{
    json value{{"name", name}, {"health_path", "/healthz"}, {"max_connections", 280}, {"protocol", "h1"}, {"tls", false}};
    if (isEngine) {
        value["engine"] = {{"slots", 64},
                           {"kv_capacity", 536094},
                           {"kv_token_bytes", 18432},
                           {"link_mbps", 370000.0},
                           {"models", json::array({{{"name", "m"}}})}};
    }
    return value;
}

inline json configuration(int version, const json &routes, const json &services, const json &tenants = json::array())
{
    json value{
        {"version", version},
        {"routes", routes},
        {"services", services},
        {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}}};
    value["tenants"] = tenants;
    return value;
}

inline int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline json registration(const std::string &service, const std::string &address, const std::string &state = "ready", int slots = 64)
{
    return {{"service", service},
            {"address", address},
            {"zone", "z-a"},
            {"version", "v1"},
            {"slots", slots},
            {"state", state},
            {"cold_left_ms", 0},
            {"sequence", 1},
            {"born", unixMilliseconds()}};
}

/** Headers that a replica adds to each of its answers. */
inline std::string sealed(const std::string &id, const std::string &replica)
{
    return "X-Attempt-Id: " + id + "\r\nX-Replica-Seal: seal." + replica + "." + id + "\r\n";
}

//-----------------------------------------------------------------------------
// Gateway processes
//-----------------------------------------------------------------------------

inline std::string folder; ///< temporary, for settings and logs
inline std::string program; ///< words of `run` in deploy/system.toml

struct Gateway {
    std::string m_name;
    std::string m_front;
    std::string m_ready;
    std::string m_settings;
    pid_t m_pid = 0;
};

inline std::vector<std::unique_ptr<Gateway>> gateways;

inline void launch(Gateway &gateway)
{
    gateway.m_pid = fork();
    if (gateway.m_pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // no process outlives the case
        setenv("MEDLARRAMP_SETTINGS", gateway.m_settings.c_str(), 1);
        const int log = ::open((folder + "/" + gateway.m_name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, 1);
        dup2(log, 2);
        execl(program.c_str(), program.c_str(), "gateway", nullptr);
        _exit(127);
    }
}

inline int readiness(const Gateway &gateway)
{
    const int fd = connectTo(gateway.m_ready);
    if (fd < 0) {
        return 0;
    }
    sendAll(fd, "GET /-/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
    Reader reader;
    reader.m_fd = fd;
    const int status = reader.read(true, seconds() + 1).status();
    close(fd);
    return status;
}

inline bool waitUntilReady(const Gateway &gateway)
{
    for (int i = 0; i < 100; ++i) {
        if (readiness(gateway) == 200) {
            return true;
        }
        sleepFor(0.1);
    }
    return false;
}

/** Starts a gateway with the settings of deploy/settings.json. */
inline Gateway &startGateway(const std::string &name, const std::string &storeAddress)
{
    gateways.push_back(std::make_unique<Gateway>());
    Gateway &gateway = *gateways.back();
    gateway.m_name = name;
    gateway.m_front = freeAddress();
    gateway.m_ready = freeAddress();
    gateway.m_settings = folder + "/" + name + ".json";
    std::ofstream(gateway.m_settings) << json{
        {"node", name},
        {"failure_domain", "z-a"},
        {"front", gateway.m_front},
        {"readiness", gateway.m_ready},
        {"peers", freeAddress()},
        {"store", storeAddress},
        {"processor_share", 0.25},
        {"memory_mb", 260},
        {"drain_ms", 8000},
        {"heartbeat_ms", 1200},
        {"leaving_ms", 2000},
        {"repeat_ratio", 0.2},
        {"repeat_extra", 58},
        {"repeat_window_ms", 10000},
        {"min_lease_ms", 1000}}.dump(4);
    launch(gateway);
    return gateway;
}

//-----------------------------------------------------------------------------
// Clients
//-----------------------------------------------------------------------------

/** A client's connection to a gateway. */
struct Client {
    Reader m_reader;

    explicit Client(const std::string &address)
    {
        m_reader.m_fd = connectTo(address);
    }
    ~Client()
    {
        if (m_reader.m_fd >= 0) {
            close(m_reader.m_fd);
        }
    }
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    Message call(const std::string &method,
                 const std::string &path,
                 const std::string &id,
                 const std::string &headers = "",
                 const std::string &body = "",
                 int deadlineMs = 4000)
    {
        std::string text = method + " " + path + " HTTP/1.1\r\nHost: review.example\r\nX-Attempt-Id: " + id
            + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + headers;
        if (method == "POST") {
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        }
        if (m_reader.m_fd < 0 || !sendAll(m_reader.m_fd, text + "\r\n" + body)) {
            return {};
        }
        return m_reader.read(true, seconds() + deadlineMs / 1000.0);
    }
};

//-----------------------------------------------------------------------------
// The run of a case
//-----------------------------------------------------------------------------

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int NotRun = 2;

inline void endGateways()
{
    for (const std::unique_ptr<Gateway> &gateway : gateways) {
        if (gateway->m_pid > 0) {
            kill(gateway->m_pid, SIGCONT);
            kill(gateway->m_pid, SIGKILL);
            waitpid(gateway->m_pid, nullptr, 0);
        }
    }
}

/** Runs @p body. Arguments: the program, the folder of the case, and a temporary folder. TROUBLE=0 leaves the disruption out. */
inline int runCase(int argc, char **argv, const std::function<int(bool trouble)> &body)
{
    if (argc < 4) {
        std::fprintf(stderr, "usage: case PROGRAM CASE-FOLDER TEMPORARY-FOLDER\n");
        return NotRun;
    }
    signal(SIGPIPE, SIG_IGN);
    program = argv[1];
    folder = argv[3];
    const char *setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::string(setting) != "0";
    recordFile = std::fopen((std::string(argv[2]) + "/record.txt").c_str(), "w");
    record("case starts, %s", trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
    int result = NotRun;
    try {
        result = body(trouble);
    } catch (const std::exception &error) {
        record("the case could not run: %s", error.what());
    }
    record("result: %s", result == Held ? "the rule held" : result == Broken ? "the rule was broken" : "the case could not run");
    endGateways();
    std::fflush(nullptr);
    _exit(result);
}

} // namespace World
