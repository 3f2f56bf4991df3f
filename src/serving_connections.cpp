#include <algorithm>

#include "serving.h"

namespace Medlarramp::Serving {

namespace {

// They decide among replicas of about equal cost: together they are the cost of reading 700 prompt tokens. With a smaller random part, a
// gateway stays with the replicas that it used first, and the load of the replicas differs by more than 20 %.
constexpr double NewConnectionCost = 0.002; ///< seconds; 1 ms of the replica's time, a round trip, and its price
constexpr double NotPreferredCost = 0.006; ///< seconds
constexpr double RandomCost = 0.006; ///< seconds

/** Position of the first handle that is not empty; the number of handles when there is none. */
size_t firstHandle(const std::vector<std::string> &handles)
{
    const auto first = std::find_if(handles.begin(), handles.end(), [](const std::string &handle) { return !handle.empty(); });
    return static_cast<size_t>(first - handles.begin());
}

bool contains(const std::vector<uint64_t> &values, uint64_t value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

} // namespace

Duration connectPause(int failures, Random &random)
{
    constexpr int MaxDoublings = 16; // enough to reach MaxConnectPause, and no overflow
    const int doublings = std::clamp(failures - 1, 0, MaxDoublings);
    const Duration limit = std::min(MaxConnectPause, ConnectPauseBase * (int64_t{1} << doublings));
    // Random, so that gateways that saw the same failure don't return together.
    return Duration(static_cast<int64_t>((0.5 + 0.5 * uniformReal(random)) * static_cast<double>(limit.count())));
}

bool mayConnect(const ConnectHistory &history, TimePoint now)
{
    return now >= history.m_nextAt;
}

void beginConnect(ConnectHistory &history, Random &random, TimePoint now)
{
    if (history.m_failures > 0) {
        history.m_nextAt = now + connectPause(history.m_failures, random);
    }
}

void observeConnectFailure(ConnectHistory &history, TimePoint begunAt, Random &random, TimePoint now)
{
    if (history.m_failures > 0 && begunAt <= history.m_failedAt) {
        return;
    }
    history.m_failures += 1;
    history.m_failedAt = now;
    history.m_nextAt = now + connectPause(history.m_failures, random);
}

void observeConnected(ConnectHistory &history, TimePoint now)
{
    history.m_failures = std::min(history.m_failures, 1);
    history.m_nextAt = std::min(history.m_nextAt, now + ConnectPauseBase);
}

void observeConnectSuccess(ConnectHistory &history)
{
    history = ConnectHistory();
}

std::optional<TimePoint> nextConnectAt(int failures, std::optional<TimePoint> earliest, TimePoint deadline, Random &random, TimePoint now)
{
    TimePoint next = std::max(now, earliest.value_or(now));
    if (failures > MaxImmediateFailovers) {
        next = std::max(next, now + connectPause(failures - MaxImmediateFailovers, random));
    }
    return next + MinAttemptTime <= deadline ? std::optional(next) : std::nullopt;
}

bool hasScarceConnections(int maxConnections, size_t gateways)
{
    return static_cast<size_t>(std::max(0, maxConnections)) < MaxSharedConnections * gateways;
}

bool mayReuse(const IdleConnection &connection, ConnectionUse use, bool isScarce)
{
    if (use == ConnectionUse::Fresh || connection.m_idle >= connection.m_idleLimit) {
        return false;
    }
    const bool isRecent = connection.m_idle <= RecentIdleLimit;
    const bool isHeard = isScarce && connection.m_heard && *connection.m_heard <= RecentlyHeardLimit;
    return use == ConnectionUse::Pooled || isRecent || isHeard;
}

Duration shortenIdleLimit(Duration limit, Duration idle)
{
    return std::max(DefaultIdleLimit, std::min(limit, idle * 3 / 4));
}

bool hasCarried(const CarriedCalls &carried, const std::vector<uint64_t> &ids)
{
    return std::any_of(ids.begin(), ids.end(), [&carried](uint64_t id) { return contains(carried.m_calls, id); });
}

bool isEarlierAnswer(const CarriedCalls &carried, const std::vector<std::string> &handles)
{
    const size_t first = firstHandle(handles);
    return first < handles.size() && contains(carried.m_results, hash64(handles[first]));
}

bool recordStageAnswer(CarriedCalls &carried, const std::vector<uint64_t> &pieces, const std::vector<std::string> &handles)
{
    const size_t first = firstHandle(handles);
    if (first >= std::min(handles.size(), pieces.size())) {
        return false;
    }
    carried.m_calls.push_back(pieces[first]);
    carried.m_results.push_back(hash64(handles[first]));
    return true;
}

bool isPreferred(size_t replica, size_t replicas, size_t index)
{
    if (replicas <= ConnectionSubset) {
        return true;
    }
    const size_t start = index * ConnectionSubset % replicas;
    return (replica + replicas - start) % replicas < ConnectionSubset;
}

double connectionCost(bool hasIdle, bool isPreferred, Random &random)
{
    return (hasIdle ? 0 : NewConnectionCost) + (isPreferred ? 0 : NotPreferredCost) + RandomCost * uniformReal(random);
}

int connectionShare(int maxConnections, size_t gateways, Duration sinceStart, TimePoint loweredUntil, TimePoint now)
{
    if (sinceStart < ShareSettlingTime) {
        return 1;
    }
    const int shared = maxConnections - maxConnections / JoinReserve;
    const int share = shared / static_cast<int>(std::max<size_t>(1, gateways));
    return std::max(1, now < loweredUntil ? share - 1 : share);
}

TimePoint nextShareCheck(int waits, Random &random, TimePoint now)
{
    constexpr int MaxGrowth = 3; // up to 80 ms, as a connection becomes free with the end of any request
    return now + connectPause(std::min(waits + 1, MaxGrowth), random);
}

} // namespace Medlarramp::Serving
