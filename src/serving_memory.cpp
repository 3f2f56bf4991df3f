#include <algorithm>
#include <numeric>

#include "serving.h"

namespace Medlarramp::Serving {

namespace {

constexpr size_t Mebibyte = 1024 * 1024;
/** The program without any load: 11 MB measured for an idle gateway; the rest is for configuration and registrations. */
constexpr size_t ProcessBytes = 16 * Mebibyte;
constexpr size_t OverheadDivisor = 8; ///< this part of the memory is left for the allocator and for copies held for a moment
constexpr size_t MinShareDivisor = 4; ///< the bytes held get at least this part of a very small memory
constexpr size_t MinReadinessConnections = 8;
constexpr size_t MaxReadinessConnections = 64;
constexpr size_t MaxUnreadBytes = 4 * Mebibyte; ///< of one caller
constexpr size_t MinUnreadBytes = 64 * 1024; ///< of one caller
/** A replica aborts an answer that stays unread for some seconds. */
constexpr Duration MaxReadPause = milliseconds(1000);

/** In percent, by HolderKind. Callers hold most: a request of 4 MiB takes twice as much while it is sent to its replica. */
constexpr std::array<size_t, static_cast<size_t>(HolderKind::Count)> Shares = {45, 35, 5, 15};

} // namespace

MemoryLimits memoryLimits(int64_t memoryMegabytes)
{
    const size_t memory = static_cast<size_t>(std::max<int64_t>(memoryMegabytes, 1)) * Mebibyte;
    const size_t reserved = memory / OverheadDivisor + ProcessBytes;
    const size_t usable = std::max(memory / MinShareDivisor, memory - std::min(memory, reserved));
    MemoryLimits limits;
    for (size_t i = 0; i < Shares.size(); ++i) {
        limits.m_bytes[i] = usable / 100 * Shares[i];
    }
    return limits;
}

bool isNearLimit(size_t held, size_t limit)
{
    return held > limit - limit / 16;
}

std::vector<size_t> chooseDropped(const std::vector<HolderView> &holders, size_t limit)
{
    size_t held = std::accumulate(
        holders.begin(), holders.end(), size_t{0}, [](size_t sum, const HolderView &holder) { return sum + holder.m_bytes; });
    if (!isNearLimit(held, limit)) {
        return {};
    }
    const size_t mean = held / holders.size();
    const auto isSmall = [&](size_t index) { return holders[index].m_bytes < mean / 2; };
    std::vector<size_t> order(holders.size());
    std::iota(order.begin(), order.end(), size_t{0});
    std::stable_sort(order.begin(), order.end(), [&](size_t left, size_t right) {
        return std::pair(isSmall(left), holders[left].m_progressAt) < std::pair(isSmall(right), holders[right].m_progressAt);
    });
    std::vector<size_t> dropped;
    for (const size_t index : order) {
        if (held <= limit - limit / 8) {
            break;
        }
        held -= holders[index].m_bytes;
        dropped.push_back(index);
    }
    return dropped;
}

ConnectionLimits connectionLimits(uint64_t descriptors)
{
    constexpr uint64_t MaxDescriptors = 1 << 16; // also when the system sets no limit
    const size_t usable = std::min(descriptors, MaxDescriptors);
    return {usable * 3 / 8, std::clamp(usable / 16, MinReadinessConnections, MaxReadinessConnections)};
}

size_t unreadAllowance(size_t held, size_t limit)
{
    return held < limit / 2 ? std::clamp(limit / 8, MinUnreadBytes, MaxUnreadBytes) : MinUnreadBytes;
}

bool mayReadAhead(Duration pause, bool hasCallerProgressed, size_t held, size_t limit)
{
    return pause >= MaxReadPause && hasCallerProgressed && held < limit - limit / 4;
}

} // namespace Medlarramp::Serving
