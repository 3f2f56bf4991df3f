#include <algorithm>
#include <cassert>
#include <cerrno>
#include <csignal>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "upstream_internal.h"

namespace Medlarramp {

namespace {

constexpr seconds SweepPeriod{1}; ///< between two looks for expired connections

/** Moves the connections that may not be used again out of the pool, to be closed outside the lock. */
void sweepPool(const ConnectionPoolsState &state, AddressPool &pool, TimePoint now, std::vector<std::unique_ptr<Connection>> &closed)
{
    std::vector<std::unique_ptr<Connection>> kept;
    for (std::unique_ptr<Connection> &connection : pool.m_idle) {
        const bool keep =
            mayReuse(connection->m_openedAt, connection->m_idleSince, pool.m_distrustedBefore, state.m_settings.m_maxIdleAge, now);
        (keep ? kept : closed).push_back(std::move(connection));
    }
    pool.m_idle = std::move(kept);
}

void sweep(ConnectionPoolsState &state, TimePoint now)
{
    std::vector<std::unique_ptr<Connection>> closed;
    const std::lock_guard lock(state.m_mutex);
    for (auto entry = state.m_pools.begin(); entry != state.m_pools.end();) {
        sweepPool(state, entry->second, now, closed);
        const bool isEmpty = entry->second.m_idle.empty() && entry->second.m_inUse == 0;
        entry = isEmpty ? state.m_pools.erase(entry) : std::next(entry);
    }
    state.m_counts.m_idle -= closed.size();
    state.m_counts.m_expired += closed.size();
}

void interruptDue(ConnectionPoolsState &state)
{
    for (WatchedAttempt *attempt : state.m_watched) {
        if (attempt->m_interruption == Interruption::None) {
            attempt->m_interruption = interruptionOf(*attempt, state.m_settings, now(*attempt->m_clock));
        }
        // Repeated on every look, because the first may come before the socket begins to connect.
        if (attempt->m_interruption != Interruption::None) {
            interruptConnection(*attempt->m_connection);
        }
    }
}

void runWatch(ConnectionPoolsState &state)
{
    std::unique_lock lock(state.m_watchMutex);
    const Clock &clock = *state.m_clock;
    TimePoint nextSweep = now(clock) + SweepPeriod;
    while (!state.m_stopped) {
        const auto period = state.m_watched.empty() ? milliseconds(SweepPeriod) : InterruptionPeriod;
        state.m_watchCondition.wait_for(lock, period);
        interruptDue(state);
        if (now(clock) >= nextSweep) {
            nextSweep = now(clock) + SweepPeriod;
            sweep(state, now(clock));
        }
    }
}

} // namespace

std::optional<TimePoint> distrustBefore(const ConnectionObservation &observation, Duration silenceLimit)
{
    const bool hasWorked = observation.m_reused || observation.m_lastByteAt;
    const TimePoint silentSince = observation.m_lastByteAt.value_or(observation.m_sentAt);
    if (!hasWorked || !observation.m_interrupted || observation.m_endedAt - silentSince < silenceLimit) {
        return std::nullopt;
    }
    return silentSince;
}

bool mayReuse(TimePoint openedAt, TimePoint idleSince, std::optional<TimePoint> distrustedBefore, Duration maxIdleAge, TimePoint now)
{
    const bool trusted = !distrustedBefore || openedAt >= *distrustedBefore;
    return trusted && now - idleSince <= maxIdleAge;
}

Interruption interruptionOf(const WatchedAttempt &attempt, const ConnectionSettings &settings, TimePoint now)
{
    if (attempt.m_token->m_cancelled) {
        return Interruption::Cancelled;
    }
    const Duration sinceEvent = now - attempt.m_lastEvent.load();
    if (attempt.m_done && sinceEvent >= EndOfAnswerLimit) {
        return Interruption::AfterEnd;
    }
    if (now >= attempt.m_deadline) {
        return Interruption::Deadline;
    }
    if (!attempt.m_stream) {
        return Interruption::None;
    }
    const Duration limit = attempt.m_hasEvent ? settings.m_progressLimit : settings.m_firstEventLimit;
    if (sinceEvent < limit) {
        return Interruption::None;
    }
    return now - attempt.m_lastByte.load() >= limit ? Interruption::Silence : Interruption::NoProgress;
}

Connection::Connection(const Address &address) : m_client(address.m_host, address.m_port)
{
    m_client.set_keep_alive(true);
    m_client.set_follow_location(false);
    m_client.set_tcp_nodelay(true);
    m_client.set_decompress(false);
    m_client.set_socket_options([this](int socket) {
        const std::lock_guard lock(m_mutex);
        if (m_descriptor >= 0) {
            close(m_descriptor);
        }
        m_descriptor = fcntl(socket, F_DUPFD_CLOEXEC, 0);
        m_created = true;
    });
}

Connection::~Connection()
{
    interruptConnection(*this);
    if (m_descriptor >= 0) {
        close(m_descriptor);
    }
}

void interruptConnection(Connection &connection)
{
    const std::lock_guard lock(connection.m_mutex);
    if (connection.m_descriptor >= 0) {
        shutdown(connection.m_descriptor, SHUT_RDWR);
    }
}

bool isQuiet(Connection &connection)
{
    const std::lock_guard lock(connection.m_mutex);
    char byte = 0;
    const ssize_t count = recv(connection.m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::unique_ptr<Connection> acquireConnection(ConnectionPoolsState &state, const Address &address, Duration maxIdleAge, TimePoint now)
{
    std::vector<std::unique_ptr<Connection>> closed;
    {
        const std::lock_guard lock(state.m_mutex);
        AddressPool &pool = state.m_pools[address];
        if (pool.m_inUse >= state.m_settings.m_maxOpenPerAddress) {
            ++state.m_counts.m_refused;
            return nullptr;
        }
        ++pool.m_inUse;
        ++state.m_counts.m_inUse;
        while (!pool.m_idle.empty()) {
            std::unique_ptr<Connection> connection = std::move(pool.m_idle.back());
            pool.m_idle.pop_back();
            --state.m_counts.m_idle;
            if (!mayReuse(connection->m_openedAt, connection->m_idleSince, pool.m_distrustedBefore, maxIdleAge, now)) {
                ++state.m_counts.m_expired;
            } else if (!isQuiet(*connection)) {
                ++state.m_counts.m_stale;
            } else {
                return connection;
            }
            closed.push_back(std::move(connection));
        }
    }
    return std::make_unique<Connection>(address);
}

void releaseConnection(ConnectionPoolsState &state,
                       const Address &address,
                       std::unique_ptr<Connection> connection,
                       bool reused,
                       TimePoint now)
{
    const bool isOpen = connection->m_client.is_socket_open() != 0;
    const std::lock_guard lock(state.m_mutex);
    state.m_counts.m_opened += connection->m_created ? 1 : 0;
    state.m_counts.m_reused += reused ? 1 : 0;
    AddressPool &pool = state.m_pools[address];
    assert(pool.m_inUse > 0);
    --pool.m_inUse;
    --state.m_counts.m_inUse;
    connection->m_idleSince = now;
    if (!isOpen) {
        return;
    }
    if (!mayReuse(connection->m_openedAt, now, pool.m_distrustedBefore, state.m_settings.m_maxIdleAge, now)) {
        ++state.m_counts.m_distrusted;
        return;
    }
    if (pool.m_idle.size() < state.m_settings.m_maxIdlePerAddress && state.m_counts.m_idle < state.m_settings.m_maxIdle) {
        pool.m_idle.push_back(std::move(connection));
        ++state.m_counts.m_idle;
    }
}

void distrustConnections(ConnectionPoolsState &state, const Address &address, TimePoint before)
{
    std::vector<std::unique_ptr<Connection>> closed;
    const std::lock_guard lock(state.m_mutex);
    AddressPool &pool = state.m_pools[address];
    pool.m_distrustedBefore = std::max(before, pool.m_distrustedBefore.value_or(before));
    const auto isDistrusted = [&](const std::unique_ptr<Connection> &connection) {
        return connection->m_openedAt < *pool.m_distrustedBefore;
    };
    const auto trusted = std::stable_partition(pool.m_idle.begin(), pool.m_idle.end(), isDistrusted);
    closed.assign(std::make_move_iterator(pool.m_idle.begin()), std::make_move_iterator(trusted));
    pool.m_idle.erase(pool.m_idle.begin(), trusted);
    state.m_counts.m_idle -= closed.size();
    state.m_counts.m_distrusted += closed.size();
}

void startWatch(ConnectionPoolsState &state, const Clock &clock)
{
    const std::lock_guard lock(state.m_watchMutex);
    if (!state.m_thread.joinable()) {
        // The HTTP library writes without MSG_NOSIGNAL, so a closed connection would end the process.
        std::signal(SIGPIPE, SIG_IGN);
        state.m_clock = &clock;
        state.m_thread = std::thread([&state] { runWatch(state); });
    }
}

void watch(ConnectionPoolsState &state, WatchedAttempt &attempt)
{
    bool isFirst = false;
    {
        const std::lock_guard lock(state.m_watchMutex);
        isFirst = state.m_watched.empty();
        state.m_watched.push_back(&attempt);
    }
    // Later attempts are found by the next look; waking the thread for each would cost a scan of all attempts.
    if (isFirst) {
        state.m_watchCondition.notify_one();
    }
}

void unwatch(ConnectionPoolsState &state, WatchedAttempt &attempt)
{
    const std::lock_guard lock(state.m_watchMutex);
    std::erase(state.m_watched, &attempt);
}

ConnectionPools::ConnectionPools(const ConnectionSettings &settings) : m_state(std::make_unique<ConnectionPoolsState>())
{
    m_state->m_settings = settings;
}

ConnectionPools::~ConnectionPools()
{
    {
        const std::lock_guard lock(m_state->m_watchMutex);
        assert(m_state->m_watched.empty());
        m_state->m_stopped = true;
    }
    m_state->m_watchCondition.notify_one();
    if (m_state->m_thread.joinable()) {
        m_state->m_thread.join();
    }
}

ConnectionCounts connectionCounts(ConnectionPools &pools)
{
    const std::lock_guard lock(pools.m_state->m_mutex);
    return pools.m_state->m_counts;
}

} // namespace Medlarramp
