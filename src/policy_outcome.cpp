#include <algorithm>

#include "policy.h"

namespace Medlarramp {

namespace {

constexpr int StatusTooManyRequests = 429;
constexpr int StatusServiceUnavailable = 503;
constexpr int FirstServerError = 500;

bool isNotAccepted(const Upstream &upstream, int status)
{
    const std::vector<int64_t> &statuses = upstream.m_notAcceptedStatuses;
    return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

Reason reasonOfStatus(const AttemptEvidence &evidence)
{
    if (evidence.m_leaving) {
        return Reason::UpstreamLeaving;
    }
    if (evidence.m_status == StatusTooManyRequests || evidence.m_status == StatusServiceUnavailable) {
        return Reason::UpstreamOverloaded;
    }
    return evidence.m_status >= FirstServerError ? Reason::UpstreamError : Reason::UpstreamRejected;
}

Reason reasonWithoutStatus(const AttemptEvidence &evidence)
{
    if (evidence.m_cancelled) {
        return Reason::CallerGone;
    }
    // Silence on a reused connection is attributed to the connection; a time-out on a new one is attributed to the upstream.
    if (evidence.m_silent && (evidence.m_reusedConnection || !evidence.m_timedOut)) {
        return Reason::ConnectionSilent;
    }
    if (evidence.m_timedOut) {
        return Reason::AttemptTimeout;
    }
    if (!evidence.m_connected) {
        return Reason::ConnectFailed;
    }
    return Reason::ConnectionLost;
}

} // namespace

AttemptVerdict classifyAttempt(const AttemptEvidence &evidence, const Upstream &upstream)
{
    if (evidence.m_complete) {
        return {Outcome::Answered, Reason::None};
    }
    if (!evidence.m_requestSent) {
        return {Outcome::NotRun, reasonWithoutStatus(evidence)};
    }
    if (evidence.m_status >= 400) {
        const Outcome outcome = isNotAccepted(upstream, evidence.m_status) ? Outcome::NotRun : Outcome::Unknown;
        return {outcome, reasonOfStatus(evidence)};
    }
    return {Outcome::Unknown, reasonWithoutStatus(evidence)};
}

} // namespace Medlarramp
