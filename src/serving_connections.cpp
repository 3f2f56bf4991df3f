#include <algorithm>

#include "serving.h"

namespace Medlarramp::Serving {

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

} // namespace Medlarramp::Serving
