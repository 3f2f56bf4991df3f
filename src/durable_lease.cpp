#include "durable.h"

namespace Medlarramp {

namespace {

constexpr int RenewalsPerLease = 3;
constexpr double JitterShare = 0.1; ///< spreads the renewals of nodes that started together

Duration renewalDelay(const LeaseState &lease, Random &random)
{
    const auto interval = static_cast<double>(lease.m_timeToLive.count()) / RenewalsPerLease;
    return Duration(static_cast<int64_t>(interval * (1 - JitterShare * uniformReal(random))));
}

} // namespace

LeaseAction leaseTimer(LeaseState &lease, TimePoint now, Random &random)
{
    if (lease.m_waiting && now < lease.m_sentAt + LeaseAnswerLimit) {
        return LeaseAction::None;
    }
    if (now < lease.m_nextSend) {
        return LeaseAction::None;
    }
    lease.m_waiting = true;
    lease.m_sentAt = now;
    lease.m_nextSend = now + renewalDelay(lease, random);
    return lease.m_id == 0 ? LeaseAction::Grant : LeaseAction::KeepAlive;
}

void leaseAnswered(LeaseState &lease, bool answered, int64_t id, TimePoint now)
{
    lease.m_waiting = false;
    if (!answered) {
        return;
    }
    if (id == 0) {
        lease.m_id = 0;
        lease.m_nextSend = now;
        return;
    }
    lease.m_id = id;
    lease.m_confirmedAt = lease.m_sentAt;
}

bool isLeaseHeld(const LeaseState &lease, TimePoint now)
{
    return lease.m_id != 0 && now < lease.m_confirmedAt + lease.m_timeToLive - LeaseMargin;
}

} // namespace Medlarramp
