#include <algorithm>
#include <list>

#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standins_internal.h"

namespace Medlarramp {

namespace {

constexpr size_t MaxThreads = 1024; ///< connections served at the same time by one stand-in
constexpr size_t MaxRequestBytes = 8 * 1024 * 1024;
constexpr seconds IdleLimit{60};
constexpr seconds TransferLimit{10}; ///< for one read or write of a request or answer
constexpr seconds ForeverLimit{3600};
constexpr milliseconds RebindPeriod{10};
constexpr milliseconds SlotCheckPeriod{2};
constexpr int StatusConflict = 409;
constexpr int StatusTooManyRequests = 429;

thread_local ServerConnection *currentConnection = nullptr;

/** Thread for each connection, kept for later ones. */
struct ConnectionThreads : httplib::TaskQueue {
    std::mutex m_mutex;
    std::condition_variable m_condition;
    std::list<std::function<void()>> m_jobs;
    std::vector<std::thread> m_threads;
    size_t m_idle = 0;
    bool m_shutdown = false;

    void enqueue(std::function<void()> job) override
    {
        const std::lock_guard lock(m_mutex);
        m_jobs.push_back(std::move(job));
        if (m_idle < m_jobs.size() && m_threads.size() < MaxThreads) {
            m_threads.emplace_back([this] { run(); });
        }
        m_condition.notify_one();
    }

    void shutdown() override
    {
        {
            const std::lock_guard lock(m_mutex);
            m_shutdown = true;
        }
        m_condition.notify_all();
        for (std::thread &thread : m_threads) {
            thread.join();
        }
    }

    void run()
    {
        std::unique_lock lock(m_mutex);
        while (true) {
            ++m_idle;
            m_condition.wait(lock, [&] { return m_shutdown || !m_jobs.empty(); });
            --m_idle;
            if (m_jobs.empty()) {
                return;
            }
            const std::function<void()> job = std::move(m_jobs.front());
            m_jobs.pop_front();
            lock.unlock();
            job();
            lock.lock();
        }
    }
};

bool waitForEvent(int descriptor, int16_t events, Duration limit)
{
    pollfd entry{descriptor, events, 0};
    const int64_t micros = std::max<int64_t>(limit.count(), 0);
    const timespec timeout{micros / 1'000'000, (micros % 1'000'000) * 1000};
    return ppoll(&entry, 1, &timeout, nullptr) > 0;
}

/** Buffered reads and whole writes on a connected socket. */
struct SocketStream : httplib::Stream {
    explicit SocketStream(int descriptor) : m_descriptor(descriptor)
    {
    }

    bool is_readable() const override // NOLINT(readability-identifier-naming)
    {
        return m_begin < m_end || waitForEvent(m_descriptor, POLLIN, TransferLimit);
    }

    bool is_writable() const override // NOLINT(readability-identifier-naming)
    {
        return waitForEvent(m_descriptor, POLLOUT, TransferLimit);
    }

    ssize_t read(char *data, size_t size) override
    {
        if (m_begin == m_end) {
            if (!is_readable()) {
                return -1;
            }
            const ssize_t count = recv(m_descriptor, m_buffer.data(), m_buffer.size(), 0);
            if (count <= 0) {
                return count;
            }
            m_begin = 0;
            m_end = static_cast<size_t>(count);
        }
        const size_t count = std::min(size, m_end - m_begin);
        std::copy_n(m_buffer.data() + m_begin, count, data);
        m_begin += count;
        return static_cast<ssize_t>(count);
    }

    ssize_t write(const char *data, size_t size) override
    {
        return is_writable() ? send(m_descriptor, data, size, MSG_NOSIGNAL) : -1;
    }

    void get_remote_ip_and_port(std::string &, int &) const override // NOLINT(readability-identifier-naming)
    {
    }

    void get_local_ip_and_port(std::string &, int &) const override // NOLINT(readability-identifier-naming)
    {
    }

    int socket() const override
    {
        return m_descriptor;
    }

    int m_descriptor;
    std::array<char, 4096> m_buffer{};
    size_t m_begin = 0;
    size_t m_end = 0;
};

/** Ends the listener and all connections. */
void takeDown(StandinServer &server)
{
    {
        const std::lock_guard lock(server.m_mutex);
        for (const ServerConnection *connection : server.m_connections) {
            shutdown(connection->m_descriptor, SHUT_RDWR);
        }
        if (!server.m_up) {
            return;
        }
        server.m_up = false;
    }
    server.m_changed.notify_all();
    while (!server.is_running()) {
        std::this_thread::yield();
    }
    server.stop();
}

void crash(StandinServer &server)
{
    {
        const std::lock_guard lock(server.m_mutex);
        ++server.m_counts.m_crashes;
        server.m_downUntil = now(server.m_clock) + server.m_faults.m_restartAfter;
    }
    takeDown(server);
}

/** Waits until the server may listen. @return false when it was stopped. */
bool waitForRestart(StandinServer &server)
{
    std::unique_lock lock(server.m_mutex);
    while (!server.m_stopped) {
        const TimePoint at = now(server.m_clock);
        if (!server.m_faults.m_refuseConnections && at >= server.m_downUntil) {
            return true;
        }
        const TimePoint until = server.m_faults.m_refuseConnections ? at + ForeverLimit : server.m_downUntil;
        const bool wasRefusing = server.m_faults.m_refuseConnections;
        waitUntil(server.m_clock, lock, server.m_changed, until, [&] {
            return server.m_stopped || server.m_faults.m_refuseConnections != wasRefusing;
        });
    }
    return false;
}

void runListener(StandinServer &server, const Address &address, bool bound)
{
    while (waitForRestart(server)) {
        if (!bound && !server.bind_to_port(address.m_host, address.m_port)) {
            std::this_thread::sleep_for(RebindPeriod);
            continue;
        }
        bound = false;
        {
            // A stop or a fault that came while the port was being bound found no listener to end.
            const std::lock_guard lock(server.m_mutex);
            if (server.m_stopped || server.m_faults.m_refuseConnections) {
                server.closeListener();
                continue;
            }
            server.raiseBacklog();
            server.m_up = true;
        }
        server.m_changed.notify_all();
        server.listen_after_bind();
    }
}

} // namespace

StandinServer::StandinServer()
{
    new_task_queue = [] { return new ConnectionThreads; };
    set_tcp_nodelay(true);
    set_payload_max_length(MaxRequestBytes);
    // The library's default shares the port between processes (SO_REUSEPORT), which would mix up stand-ins.
    set_socket_options([](int descriptor) {
        const int on = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    });
}

void StandinServer::raiseBacklog()
{
    ::listen(svr_sock_, SOMAXCONN);
}

void StandinServer::closeListener()
{
    close(svr_sock_.exchange(-1));
}

bool StandinServer::process_and_close_socket(int descriptor)
{
    ServerConnection connection;
    connection.m_descriptor = descriptor;
    bool open = false;
    {
        const std::lock_guard lock(m_mutex);
        open = m_up;
        m_connections.insert(&connection);
        ++m_counts.m_connections;
    }
    m_changed.notify_all();
    currentConnection = &connection;
    SocketStream stream(descriptor);
    while (open && (stream.m_begin < stream.m_end || waitForEvent(descriptor, POLLIN, IdleLimit))) {
        bool closed = false;
        open = process_request(stream, false, closed, nullptr) && !closed;
    }
    currentConnection = nullptr;
    const std::lock_guard lock(m_mutex);
    m_connections.erase(&connection);
    close(descriptor);
    return true;
}

absl::Status startServer(HttpStandin &standin, int port)
{
    StandinServer &server = *standin.m_server;
    const std::string host = "127.0.0.1";
    const int bound = port == 0 ? server.bind_to_any_port(host) : (server.bind_to_port(host, port) ? port : -1);
    if (bound <= 0) {
        return absl::UnavailableError(fmt::format("stand-in cannot listen on {}:{}", host, port));
    }
    standin.m_address = {host, bound};
    {
        const std::lock_guard lock(server.m_mutex);
        server.m_stopped = false;
    }
    server.m_listener = std::thread([&server, address = standin.m_address] { runListener(server, address, true); });
    std::unique_lock lock(server.m_mutex);
    server.m_changed.wait(lock, [&] { return server.m_up || server.m_faults.m_refuseConnections; });
    return absl::OkStatus();
}

void stopServer(HttpStandin &standin)
{
    StandinServer &server = *standin.m_server;
    if (!server.m_listener.joinable()) {
        return;
    }
    {
        const std::lock_guard lock(server.m_mutex);
        server.m_stopped = true;
    }
    server.m_changed.notify_all();
    takeDown(server);
    server.m_listener.join();
}

HttpStandin::HttpStandin() : m_server(std::make_unique<StandinServer>())
{
}

HttpStandin::~HttpStandin()
{
    stopServer(*this);
}

void setFaults(HttpStandin &standin, const FaultPlan &faults)
{
    StandinServer &server = *standin.m_server;
    {
        const std::lock_guard lock(server.m_mutex);
        server.m_faults = faults;
    }
    server.m_changed.notify_all();
    if (faults.m_refuseConnections) {
        takeDown(server);
    }
}

void silenceConnections(HttpStandin &standin)
{
    const std::lock_guard lock(standin.m_server->m_mutex);
    for (ServerConnection *connection : standin.m_server->m_connections) {
        connection->m_silent = true;
    }
}

StandinCounts counts(HttpStandin &standin)
{
    const std::lock_guard lock(standin.m_server->m_mutex);
    return standin.m_server->m_counts;
}

bool waitForCounts(HttpStandin &standin, Duration limit, const std::function<bool(const StandinCounts &)> &predicate)
{
    StandinServer &server = *standin.m_server;
    std::unique_lock lock(server.m_mutex);
    return waitUntil(server.m_clock, lock, server.m_changed, now(server.m_clock) + limit, [&] { return predicate(server.m_counts); });
}

FaultPlan faults(StandinServer &server)
{
    const std::lock_guard lock(server.m_mutex);
    return server.m_faults;
}

bool pauseRequest(Duration duration)
{
    return !waitForEvent(currentConnection->m_descriptor, POLLRDHUP, duration);
}

bool isCallerGone()
{
    return !pauseRequest(Duration::zero());
}

void dropConnection()
{
    shutdown(currentConnection->m_descriptor, SHUT_RDWR);
}

bool receiveRequest(StandinServer &server, httplib::Response &response)
{
    {
        const std::lock_guard lock(server.m_mutex);
        ++server.m_counts.m_received;
    }
    server.m_changed.notify_all();
    if (currentConnection->m_silent) {
        pauseRequest(ForeverLimit);
        dropConnection();
        return false;
    }
    const FaultPlan plan = faults(server);
    if (plan.m_leaving) {
        response.set_header("X-Upstream-State", "leaving");
    }
    if (plan.m_refuseStatus != 0) {
        refuse(server, response, plan.m_refuseStatus);
        return false;
    }
    return true;
}

bool beginRun(StandinServer &server, const httplib::Request &request)
{
    FaultPlan plan;
    {
        const std::lock_guard lock(server.m_mutex);
        plan = server.m_faults;
        ++server.m_counts.m_run;
        if (request.has_header("X-Request-Id")) {
            ++server.m_counts.m_runsByRequest[request.get_header_value("X-Request-Id") + "/" + request.get_header_value("X-Request-Stage")];
        }
        if (request.has_header("Idempotency-Key")) {
            ++server.m_counts.m_runsByKey[request.get_header_value("Idempotency-Key")];
        }
    }
    server.m_changed.notify_all();
    if (!plan.m_crashContent.empty() && request.body.find(plan.m_crashContent) != std::string::npos) {
        crash(server);
        return false;
    }
    if (!pauseRequest(plan.m_stuck ? Duration(ForeverLimit) : plan.m_delay)) {
        addCancelled(server);
        dropConnection();
        return false;
    }
    return true;
}

void refuse(StandinServer &server, httplib::Response &response, int status)
{
    {
        const std::lock_guard lock(server.m_mutex);
        ++server.m_counts.m_refused;
    }
    server.m_changed.notify_all();
    response.status = status;
    response.set_header("Retry-After", "1");
    response.set_content(R"({"error":"refused"})", "application/json");
}

void addCancelled(StandinServer &server)
{
    {
        const std::lock_guard lock(server.m_mutex);
        ++server.m_counts.m_cancelled;
    }
    server.m_changed.notify_all();
}

void addCompleted(StandinServer &server)
{
    {
        const std::lock_guard lock(server.m_mutex);
        ++server.m_counts.m_completed;
    }
    server.m_changed.notify_all();
}

void answer(StandinServer &server, httplib::Response &response, const nlohmann::json &value)
{
    std::string body = value.dump();
    const int64_t closeAfter = faults(server).m_closeAfter;
    if (closeAfter < 0) {
        addCompleted(server);
        response.set_content(body, "application/json");
        return;
    }
    const size_t length = body.size();
    const size_t part = std::min(length, static_cast<size_t>(closeAfter));
    response.set_content_provider(length, "application/json", [body = std::move(body), part](size_t, size_t, httplib::DataSink &sink) {
        sink.write(body.data(), part);
        dropConnection();
        return false;
    });
}

void setLoadHeader(httplib::Response &response, size_t running, size_t waiting)
{
    response.set_header(
        "Endpoint-Load-Metrics",
        fmt::format(R"(JSON {{"named_metrics":{{"num_requests_running":{},"num_requests_waiting":{}}}}})", running, waiting));
}

std::optional<nlohmann::json> parseBody(const httplib::Request &request)
{
    Findings findings;
    return parseJson(request.body, "", findings);
}

bool acquireSlot(ServiceSlots &slots, size_t maxRunning, int64_t priority)
{
    std::unique_lock lock(slots.m_mutex);
    const std::pair<int64_t, uint64_t> self{priority, slots.m_arrivals++};
    slots.m_waiting.insert(self);
    while (slots.m_running >= maxRunning || *slots.m_waiting.begin() != self) {
        slots.m_changed.wait_for(lock, SlotCheckPeriod);
        if (isCallerGone()) {
            slots.m_waiting.erase(self);
            slots.m_changed.notify_all();
            return false;
        }
    }
    slots.m_waiting.erase(self);
    ++slots.m_running;
    slots.m_changed.notify_all();
    return true;
}

void releaseSlot(ServiceSlots &slots)
{
    {
        const std::lock_guard lock(slots.m_mutex);
        --slots.m_running;
    }
    slots.m_changed.notify_all();
}

std::pair<size_t, size_t> slotLoad(ServiceSlots &slots)
{
    const std::lock_guard lock(slots.m_mutex);
    return {slots.m_running, slots.m_waiting.size()};
}

namespace {

/** Takes an idempotency key for the one run it allows. @return false when it is taken. */
bool takeKey(StandinServer &server, const httplib::Request &request)
{
    const std::lock_guard lock(server.m_mutex);
    return !request.has_header("Idempotency-Key")
        || server.m_counts.m_runsByKey.try_emplace(request.get_header_value("Idempotency-Key"), 0).second;
}

} // namespace

void serveUnary(const UnaryService &service,
                const httplib::Request &request,
                httplib::Response &response,
                const std::function<nlohmann::json()> &run)
{
    StandinServer &server = service.m_server;
    if (!receiveRequest(server, response)) {
        return;
    }
    const auto [running, waiting] = slotLoad(service.m_slots);
    if (service.m_reportsLoad) {
        setLoadHeader(response, running, waiting);
    }
    if (waiting >= service.m_maxWaiting) {
        refuse(server, response, StatusTooManyRequests);
        return;
    }
    if (!acquireSlot(service.m_slots, service.m_maxRunning, 0)) {
        dropConnection();
        return;
    }
    if (service.m_refusesRepeats && !takeKey(server, request)) {
        releaseSlot(service.m_slots);
        refuse(server, response, StatusConflict);
        return;
    }
    const Duration serviceTime(static_cast<int64_t>(static_cast<double>(service.m_serviceTime.count()) * faults(server).m_slowdown));
    const bool begun = beginRun(server, request);
    const bool finished = begun && pauseRequest(serviceTime);
    releaseSlot(service.m_slots);
    if (finished) {
        answer(server, response, run());
    } else if (begun) {
        addCancelled(server);
        dropConnection();
    }
}

} // namespace Medlarramp
