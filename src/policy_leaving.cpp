#include <algorithm>

#include "policy.h"

namespace Medlarramp {

namespace {

constexpr int MaxRefusals = 3; ///< consecutive refused connections until new work is paused; one or two also occur during a restart
constexpr Duration RefusedRetryDelay = seconds(2); ///< pause of new work after refused connections
/// The VM list may be out of date: for this time after a replica reported that it is leaving, a ListedLive event is ignored.
constexpr Duration MaxListLag = seconds(60);

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

bool handleListedLive(ReplicaPresence &presence, TimePoint now)
{
    if (!presence.m_leaving) {
        presence.m_unlisted = false;
        return false;
    }
    const bool listIsStale = !presence.m_listConfirmed && now - presence.m_leavingSince < MaxListLag;
    return listIsStale ? false : markLive(presence);
}

bool handleRefusedConnection(ReplicaPresence &presence, TimePoint now)
{
    presence.m_refusals = std::min(presence.m_refusals + 1, MaxRefusals);
    if (presence.m_refusals < MaxRefusals) {
        return false;
    }
    const bool accepted = acceptsNewWork(presence, now);
    presence.m_retryAt = now + RefusedRetryDelay;
    return accepted;
}

} // namespace

bool observeReplica(ReplicaPresence &presence, ReplicaEvent event, TimePoint now)
{
    switch (event) {
    case ReplicaEvent::ListedLive:
        return handleListedLive(presence, now);
    case ReplicaEvent::ListedLeaving:
        presence.m_listConfirmed = true;
        return markLeaving(presence, now);
    case ReplicaEvent::Unlisted:
        presence.m_listConfirmed = true;
        presence.m_unlisted = true;
        return markLeaving(presence, now);
    case ReplicaEvent::ReportedLeaving:
        return markLeaving(presence, now);
    case ReplicaEvent::RefusedConnection:
        return handleRefusedConnection(presence, now);
    case ReplicaEvent::Answered:
        // A leaving replica still answers its open requests, so an answer does not end m_leaving.
        const bool wasPaused = !presence.m_leaving && now < presence.m_retryAt;
        presence.m_refusals = 0;
        presence.m_retryAt = TimePoint{};
        return wasPaused;
    }
    return false;
}

bool acceptsNewWork(const ReplicaPresence &presence, TimePoint now)
{
    return !presence.m_leaving && !presence.m_unlisted && now >= presence.m_retryAt;
}

void invalidateConnections(ConnectionValidity &validity, TimePoint silentSince)
{
    validity.m_reusableAfter = std::max(validity.m_reusableAfter, silentSince);
}

bool isReusable(const ConnectionValidity &validity, TimePoint openedAt, TimePoint lastUsed, TimePoint now)
{
    return openedAt > validity.m_reusableAfter && now - lastUsed <= MaxConnectionIdle;
}

} // namespace Medlarramp
