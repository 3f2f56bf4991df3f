#include <algorithm>

#include "serving.h"

namespace Medlarramp::Serving {

namespace {

constexpr int StatusTooManyRequests = 429;
constexpr int FirstServerError = 500;
constexpr Duration BaseRetryDelay = milliseconds(150); ///< doubles with each consecutive failure
/** With StoreProbeTimeout, the bound on the time to notice the end of an outage; a change has to be in force soon after it. */
constexpr Duration MaxRetryDelay = milliseconds(600);
constexpr int MaxRetryDoublings = 2;
constexpr Duration MinWatchPause = milliseconds(100); ///< after an answer with events
constexpr int MaxCatchUpCalls = 16; ///< without pauses between them, in case that the store has new events each time

constexpr Duration NewsSlack = milliseconds(100); ///< by which answers to the watches of two gateways differ, with a slow link
constexpr Duration ReceivingSlack = milliseconds(1000); ///< for the rest of a large answer
constexpr size_t MaxBinaryRing = 16; ///< other members up to which the distances are 1, 2, 4; above they are 1, 4, 16

} // namespace

StoreReply storeReplyOf(int status)
{
    if (status == 0) {
        return StoreReply::None;
    }
    return status == StatusTooManyRequests || status >= FirstServerError ? StoreReply::Refused : StoreReply::Answered;
}

ContactStep observeStoreReply(StoreContact &contact, StoreReply reply)
{
    if (reply == StoreReply::Answered) {
        const bool isRegained = !contact.m_isAvailable && contact.m_failures > 0;
        contact.m_isAvailable = true;
        contact.m_failures = 0;
        return isRegained ? ContactStep::Regained : ContactStep::None;
    }
    const bool isLost = contact.m_isAvailable || contact.m_failures == 0;
    contact.m_isAvailable = false;
    contact.m_hasLostAnswer = contact.m_hasLostAnswer || reply == StoreReply::None;
    contact.m_failures += 1;
    return isLost ? ContactStep::Lost : ContactStep::None;
}

Duration storeCallTimeout(const StoreContact &contact, Duration usual)
{
    const bool isProbe = !contact.m_isAvailable && contact.m_failures > 0;
    return isProbe ? std::min(usual, StoreProbeTimeout) : usual;
}

Duration storeRetryDelay(const StoreContact &contact, Random &random)
{
    const int doublings = std::min(contact.m_failures, MaxRetryDoublings);
    const Duration delay = std::min(MaxRetryDelay, BaseRetryDelay * (int64_t{1} << doublings));
    // Jitter spreads the retries of gateways that lost the store at the same time.
    return delay / 2 + Duration(static_cast<int64_t>(uniformReal(random) * static_cast<double>(delay.count()) / 2));
}

WatchRestart restartAfterOutage(const StoreContact &contact, bool isParked, bool isCalling)
{
    if (isParked) {
        return WatchRestart::Resume;
    }
    return isCalling && contact.m_hasLostAnswer ? WatchRestart::Replace : WatchRestart::None;
}

//-----------------------------------------------------------------------------
// Progress of the watch
//-----------------------------------------------------------------------------

void observeInterruption(WatchProgress &progress)
{
    progress.m_isInterrupted = true;
    progress.m_isCurrent = false;
    progress.m_isProven = false;
    progress.m_catchUpCalls = 0;
}

void observeWatchAnswer(WatchProgress &progress, bool hasEvents, TimePoint now)
{
    progress.m_isInterrupted = false;
    progress.m_answeredAt = now;
    progress.m_isProven = progress.m_isCurrent && !hasEvents;
    progress.m_catchUpCalls += progress.m_isCurrent ? 0 : 1;
    progress.m_isCurrent = progress.m_isCurrent || !hasEvents || progress.m_catchUpCalls >= MaxCatchUpCalls;
    progress.m_confirmedAt = progress.m_isCurrent ? now : progress.m_confirmedAt;
}

void observeListing(WatchProgress &progress, bool isComplete, TimePoint now)
{
    progress.m_isInterrupted = false;
    progress.m_answeredAt = now;
    progress.m_isProven = false;
    progress.m_isCurrent = isComplete;
    progress.m_confirmedAt = isComplete ? now : progress.m_confirmedAt;
}

void observeRelayedAnswer(WatchProgress &progress, TimePoint now)
{
    progress.m_answeredAt = now;
    progress.m_confirmedAt = now;
}

Duration pauseBeforeWatch(WatchProgress &progress, bool wasCurrent, Duration interval, TimePoint now)
{
    if (!wasCurrent || progress.m_isProven) {
        return Duration(0);
    }
    progress.m_nextEventsAt = std::max(progress.m_nextEventsAt, now - interval) + interval;
    return std::max(MinWatchPause, progress.m_nextEventsAt - now);
}

bool mayDenyUnknown(const WatchProgress &progress, TimePoint now)
{
    const bool isFollowed = progress.m_isCurrent && !progress.m_isInterrupted;
    return isFollowed || now - progress.m_confirmedAt <= MaxUnconfirmedAge;
}

//-----------------------------------------------------------------------------
// News of other gateways
//-----------------------------------------------------------------------------

Duration newsGrace(const WatchCallView &call)
{
    if (!call.m_isOpen) {
        return call.m_untilNext + NewsSlack;
    }
    return call.m_isReceiving ? ReceivingSlack : NewsSlack;
}

std::vector<std::string> revisionListeners(const std::vector<std::string> &others)
{
    const size_t base = others.size() < MaxBinaryRing ? 2 : 4;
    std::vector<std::string> listeners;
    size_t distance = 1;
    while (distance <= others.size() && listeners.size() < MaxRevisionListeners) {
        listeners.push_back(others[distance - 1]);
        distance *= base;
    }
    return listeners;
}

} // namespace Medlarramp::Serving
