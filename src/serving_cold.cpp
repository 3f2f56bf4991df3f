#include <algorithm>
#include <cmath>

#include "serving.h"

namespace Medlarramp::Serving {

namespace {

bool isCurrent(const ColdState &state, TimePoint now)
{
    return state.m_isListed && now < state.m_leaseUntil && now < state.m_viewAt + ColdViewAge;
}

/** To be called before m_leaseUntil or m_viewAt is extended: an interruption that has ended must not be overlooked. */
void noticeInterruption(ColdState &state, TimePoint now)
{
    if (!isCurrent(state, now)) {
        state.m_since.reset();
    }
}

void continueIfCurrent(ColdState &state, TimePoint now)
{
    if (!state.m_since && isCurrent(state, now)) {
        state.m_since = now;
    }
}

/** Removes the members that left the view more than ColdSettleTime ago. */
void expireMembers(ColdState &state, TimePoint now)
{
    const size_t removed = std::erase_if(state.m_members, [now](const auto &entry) {
        const std::optional<TimePoint> &leftAt = entry.second;
        return leftAt && *leftAt + ColdSettleTime <= now;
    });
    state.m_version += removed > 0 ? 1 : 0;
}

/**
 * Numbers of the slots that belong to this gateway. The order of two gateways in a slot depends on nothing but their names, so that
 * two that know of each other never both have it.
 */
std::vector<int> ownSlots(const ColdState &state, const std::string &id, int slots)
{
    const uint64_t replica = hash64(id);
    const uint64_t self = hash64(state.m_self);
    std::vector<uint64_t> others;
    others.reserve(state.m_members.size());
    for (const auto &[node, leftAt] : state.m_members) {
        if (node != state.m_self) {
            others.push_back(hash64(node));
        }
    }
    std::vector<int> own;
    for (int slot = 0; slot < slots; ++slot) {
        const uint64_t subject = combineHash(replica, static_cast<uint64_t>(slot));
        const uint64_t score = combineHash(self, subject);
        // Equal scores, which are all but impossible, give the slot to neither.
        if (std::all_of(others.begin(), others.end(), [&](uint64_t other) { return combineHash(other, subject) < score; })) {
            own.push_back(slot);
        }
    }
    return own;
}

/** Updates the slots of this gateway after a change of members or limits; slots that it keeps keep their last use. */
void refreshSlots(ColdState &state, const std::string &id, ColdReplica &replica)
{
    if (replica.m_slotsVersion == state.m_version) {
        return;
    }
    std::vector<ColdSlot> slots;
    for (const int number : ownSlots(state, id, replica.m_limits.m_slots)) {
        const auto kept = std::find_if(
            replica.m_slots.begin(), replica.m_slots.end(), [number](const ColdSlot &slot) { return slot.m_number == number; });
        slots.push_back(kept == replica.m_slots.end() ? ColdSlot{.m_number = number} : *kept);
    }
    replica.m_slots = std::move(slots);
    replica.m_slotsVersion = state.m_version;
}

/** The slots of a replica that this gateway may use now; null when there are none. */
std::vector<ColdSlot> *usableSlots(ColdState &state, const std::string &id, TimePoint now)
{
    const auto replica = state.m_replicas.find(id);
    if (replica == state.m_replicas.end() || !maySendToCold(state, now)) {
        return nullptr;
    }
    refreshSlots(state, id, replica->second);
    return &replica->second.m_slots;
}

bool isFree(const ColdSlot &slot, TimePoint now)
{
    return !slot.m_isReserved && (slot.m_usedAt == TimePoint() || slot.m_usedAt + ColdSpacing <= now);
}

ColdReplica &replicaOf(ColdState &state, const std::string &id, TimePoint now)
{
    if (state.m_replicas.size() >= MaxColdReplicas && !state.m_replicas.contains(id)) {
        std::erase_if(state.m_replicas, [now](const auto &entry) { return entry.second.m_coldUntil <= now; });
    }
    return state.m_replicas[id];
}

void setLimits(ColdReplica &replica, const ColdLimits &limits)
{
    if (replica.m_limits != limits) {
        replica.m_limits = limits;
        replica.m_slotsVersion = 0;
    }
}

/** @return whether the replica was not cold before. */
bool extendCold(ColdReplica &replica, TimePoint until, TimePoint now)
{
    const bool wasCold = now < replica.m_coldUntil;
    replica.m_coldUntil = std::max(replica.m_coldUntil, until);
    return !wasCold && now < replica.m_coldUntil;
}

} // namespace

ColdLimits coldLimits(const GatewaySettings &settings, const ServingService &service)
{
    if (!settings.m_coldOverrun || !settings.m_coldSlack || service.m_coldTime <= Duration(0) || service.m_coldPerSecond <= 0) {
        return {};
    }
    const double limit = std::floor(service.m_coldPerSecond * *settings.m_coldOverrun + *settings.m_coldSlack);
    return {service.m_coldTime, static_cast<int>(std::clamp(limit, 0.0, static_cast<double>(MaxColdSlots)))};
}

void observeColdMembers(ColdState &state, const std::set<std::string> &nodes, bool isListed, TimePoint now)
{
    noticeInterruption(state, now);
    state.m_isListed = isListed;
    noticeInterruption(state, now);
    expireMembers(state, now);
    for (auto &[node, leftAt] : state.m_members) {
        if (!nodes.contains(node) && !leftAt) {
            leftAt = now;
        }
    }
    for (const std::string &node : nodes) {
        const auto [member, isNew] = state.m_members.try_emplace(node);
        member->second.reset();
        state.m_version += isNew ? 1 : 0;
    }
}

void observeColdLease(ColdState &state, TimePoint sentAt, Duration lifetime, TimePoint now)
{
    noticeInterruption(state, now);
    state.m_leaseUntil = std::max(state.m_leaseUntil, sentAt + std::min(lifetime, ColdLeaseTime) - ColdLeaseMargin);
    continueIfCurrent(state, now);
}

void loseColdLease(ColdState &state)
{
    state.m_leaseUntil = TimePoint();
    state.m_since.reset();
}

void observeColdView(ColdState &state, TimePoint viewAt, TimePoint now)
{
    expireMembers(state, now);
    noticeInterruption(state, now);
    state.m_viewAt = std::max(state.m_viewAt, viewAt);
    continueIfCurrent(state, now);
}

bool maySendToCold(const ColdState &state, TimePoint now)
{
    return isCurrent(state, now) && state.m_since && *state.m_since + ColdSettleTime <= now;
}

bool observeColdRegistration(ColdState &state,
                             const ReplicaRecord &record,
                             int64_t revision,
                             const ColdLimits &limits,
                             bool isFirstListing,
                             bool isRegistered,
                             TimePoint now)
{
    const bool isKnown = state.m_replicas.contains(record.m_id);
    ColdReplica &replica = replicaOf(state, record.m_id, now);
    setLimits(replica, limits);
    // Without the start of its incarnation, a replica that was gone meanwhile may be a new one.
    const bool isSame =
        isKnown && replica.m_incarnationStart == record.m_incarnationStart && (record.m_incarnationStart != 0 || isRegistered);
    // Listings repeat registrations that were read before; what is left has to be counted from the first time.
    const bool isRead = isSame && replica.m_revision == revision;
    replica.m_failureDomain = record.m_failureDomain;
    replica.m_incarnationStart = record.m_incarnationStart;
    replica.m_revision = revision;
    if (limits.m_coldTime == Duration(0) || isRead) {
        return false;
    }
    const Duration stated = std::clamp(record.m_warmUpLeft, Duration(0), MaxColdTime);
    return extendCold(replica, now + (isSame || isFirstListing ? stated : std::max(stated, limits.m_coldTime)), now);
}

bool markCold(ColdState &state, const std::string &id, const ColdLimits &limits, TimePoint until, TimePoint now)
{
    if (limits.m_coldTime == Duration(0)) {
        return false;
    }
    ColdReplica &replica = replicaOf(state, id, now);
    setLimits(replica, limits);
    return extendCold(replica, until, now);
}

bool isCold(const ColdState &state, const std::string &id, TimePoint now)
{
    const auto replica = state.m_replicas.find(id);
    return replica != state.m_replicas.end() && now < replica->second.m_coldUntil;
}

size_t coldReplicaCount(const ColdState &state, TimePoint now)
{
    return static_cast<size_t>(std::count_if(
        state.m_replicas.begin(), state.m_replicas.end(), [now](const auto &entry) { return now < entry.second.m_coldUntil; }));
}

bool hasColdPermit(ColdState &state, const std::string &id, TimePoint now)
{
    const std::vector<ColdSlot> *slots = usableSlots(state, id, now);
    return slots != nullptr && std::any_of(slots->begin(), slots->end(), [now](const ColdSlot &slot) { return isFree(slot, now); });
}

std::optional<int> reserveColdPermit(ColdState &state, const std::string &id, TimePoint now)
{
    std::vector<ColdSlot> *slots = usableSlots(state, id, now);
    if (slots == nullptr) {
        return std::nullopt;
    }
    const auto slot = std::find_if(slots->begin(), slots->end(), [now](const ColdSlot &candidate) { return isFree(candidate, now); });
    if (slot == slots->end()) {
        return std::nullopt;
    }
    slot->m_isReserved = true;
    return slot->m_number;
}

bool useColdPermit(ColdState &state, const std::string &id, int slot, TimePoint now)
{
    std::vector<ColdSlot> *slots = usableSlots(state, id, now);
    if (slots == nullptr) {
        returnColdPermit(state, id, slot);
        return false;
    }
    const auto used = std::find_if(slots->begin(), slots->end(), [slot](const ColdSlot &candidate) { return candidate.m_number == slot; });
    if (used == slots->end() || !used->m_isReserved) {
        return false;
    }
    used->m_isReserved = false;
    used->m_usedAt = now;
    state.m_permits += 1;
    return true;
}

void returnColdPermit(ColdState &state, const std::string &id, int slot)
{
    const auto replica = state.m_replicas.find(id);
    if (replica == state.m_replicas.end()) {
        return;
    }
    for (ColdSlot &candidate : replica->second.m_slots) {
        if (candidate.m_number == slot) {
            candidate.m_isReserved = false;
        }
    }
}

TimePoint nextColdPermit(ColdState &state, const std::string &id, TimePoint now)
{
    const auto replica = state.m_replicas.find(id);
    if (replica == state.m_replicas.end()) {
        return now;
    }
    TimePoint next = replica->second.m_coldUntil;
    if (const std::vector<ColdSlot> *slots = usableSlots(state, id, now)) {
        for (const ColdSlot &slot : *slots) {
            next = slot.m_isReserved ? next : std::min(next, slot.m_usedAt + ColdSpacing);
        }
    }
    return std::max(next, now);
}

} // namespace Medlarramp::Serving
