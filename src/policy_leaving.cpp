#include <algorithm>

#include "policy.h"

namespace Medlarramp {

namespace {

constexpr int RefusalsToLeave = 3; ///< refused connections in a row; one or two also happen during a restart
constexpr Duration RefusedRetry = seconds(2); ///< a replica that refused connections is tried again after this time
/// The VM list lags; a replica that said it is leaving is not believed live again before this time.
constexpr Duration ListLag = seconds(60);

bool markLeaving(ReplicaPresence &presence, TimePoint now)
{
    const bool changed = !presence.m_leaving;
    presence.m_leavingSince = changed ? now : presence.m_leavingSince;
    presence.m_leaving = true;
    return changed;
}

bool markLive(ReplicaPresence &presence)
{
    const bool changed = presence.m_leaving;
    presence = ReplicaPresence{};
    return changed;
}

bool listedLive(ReplicaPresence &presence, TimePoint now)
{
    if (!presence.m_leaving) {
        presence.m_gone = false;
        return false;
    }
    const bool stale = !presence.m_listConfirmed && now - presence.m_leavingSince < ListLag;
    return stale ? false : markLive(presence);
}

bool refusedConnection(ReplicaPresence &presence, TimePoint now)
{
    presence.m_refusals = std::min(presence.m_refusals + 1, RefusalsToLeave);
    if (presence.m_refusals < RefusalsToLeave) {
        return false;
    }
    const bool accepted = acceptsNewWork(presence, now);
    presence.m_retryAt = now + RefusedRetry;
    return accepted;
}

} // namespace

bool observeReplica(ReplicaPresence &presence, ReplicaEvent event, TimePoint now)
{
    switch (event) {
    case ReplicaEvent::ListedLive:
        return listedLive(presence, now);
    case ReplicaEvent::ListedLeaving:
        presence.m_listConfirmed = true;
        return markLeaving(presence, now);
    case ReplicaEvent::Unlisted:
        presence.m_listConfirmed = true;
        presence.m_gone = true;
        return markLeaving(presence, now);
    case ReplicaEvent::SaidLeaving:
        return markLeaving(presence, now);
    case ReplicaEvent::RefusedConnection:
        return refusedConnection(presence, now);
    case ReplicaEvent::Answered:
        // A replica that leaves still answers the requests it has.
        const bool wasAvoided = !presence.m_leaving && now < presence.m_retryAt;
        presence.m_refusals = 0;
        presence.m_retryAt = TimePoint{};
        return wasAvoided;
    }
    return false;
}

bool acceptsNewWork(const ReplicaPresence &presence, TimePoint now)
{
    return !presence.m_leaving && !presence.m_gone && now >= presence.m_retryAt;
}

void observeSilence(ConnectionTrust &trust, TimePoint silentSince)
{
    trust.m_distrustedBefore = std::max(trust.m_distrustedBefore, silentSince);
}

bool isTrusted(const ConnectionTrust &trust, TimePoint openedAt, TimePoint lastUsed, TimePoint now)
{
    return openedAt > trust.m_distrustedBefore && now - lastUsed <= MaxConnectionIdle;
}

} // namespace Medlarramp
