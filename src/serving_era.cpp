#include <algorithm>

#include "serving.h"

namespace Medlarramp::Serving {

namespace {

/** Whether the store has had the item of @p version in the current era. */
bool isListedInEra(const StoreEra &era, const StoreVersion &version)
{
    return version.era() == era.m_era;
}

void holdBack(StoreEra &era, const StoreVersion &version)
{
    era.m_held = std::max(era.m_held, version);
}

bool setInForce(Registry &registry, const std::string &failureDomain, Evacuation &evacuation, bool isInForce)
{
    evacuation.m_isInForce = isInForce;
    return isInForce ? registry.m_evacuatedDomains.insert(failureDomain).second : registry.m_evacuatedDomains.erase(failureDomain) > 0;
}

Evacuation &evacuationOf(Registry &registry, const std::string &failureDomain)
{
    if (registry.m_evacuations.size() >= MaxEvacuations && !registry.m_evacuations.contains(failureDomain)) {
        std::erase_if(registry.m_evacuations, [](const auto &entry) { return !entry.second.m_isInForce; });
    }
    return registry.m_evacuations[failureDomain];
}

/** Whether the departure of this incarnation, or of a later one, is known. */
bool hasLeft(const std::map<std::string, Departure> &departed, const std::string &id, int64_t incarnation)
{
    const auto departure = departed.find(id);
    return departure != departed.end() && incarnation <= departure->second.m_incarnation;
}

} // namespace

bool StoreVersion::advanceTo(const StoreVersion &seen)
{
    if (seen.m_era != m_era || seen.m_revision <= m_revision) {
        return false;
    }
    m_revision = seen.m_revision;
    return true;
}

//-----------------------------------------------------------------------------
// Eras
//-----------------------------------------------------------------------------

EraStep observeEra(StoreEra &era, bool isPresent, std::optional<int64_t> readable)
{
    if (!isPresent) {
        era.m_isSettled = true;
        return EraStep::Current;
    }
    const bool isPlausible = readable && *readable >= era.m_era && (!era.m_isSettled || *readable - era.m_era <= MaxEraStep);
    if (!isPlausible) {
        era.m_ignored += 1;
        return EraStep::Ignored;
    }
    const bool begins = era.m_isSettled && *readable > era.m_era;
    era.m_era = *readable;
    era.m_isSettled = true;
    return begins ? EraStep::Begins : EraStep::Current;
}

void beginEra(StoreEra &era, Registry &registry, MemberList &members, TimePoint now)
{
    era.m_restored.reset();
    era.m_awaitsRevision = true;
    era.m_held = StoreVersion();
    registry.m_storeUnavailableSince.reset();
    registry.m_storeRecoveredAt = now;
    members.m_keptUntil = now + MemberKeepTime;
}

void observeFirstVersion(StoreEra &era, const StoreVersion &seen)
{
    if (!era.m_awaitsRevision || seen.era() != era.m_era) {
        return;
    }
    era.m_awaitsRevision = false;
    era.m_restored = era.m_restored ? std::min(*era.m_restored, seen) : seen;
}

bool lowerRestored(StoreEra &era, Registry &registry, const StoreVersion &told)
{
    if (told.era() != era.m_era || (era.m_restored && *era.m_restored <= told)) {
        return false;
    }
    era.m_restored = told;
    // A gateway that was started in this era took the items of the backup for new writes.
    for (auto &[failureDomain, evacuation] : registry.m_evacuations) {
        evacuation.m_version = writeVersion(era, evacuation.m_version);
    }
    return told < era.m_held;
}

bool isOfBackup(const StoreEra &era, const StoreVersion &version)
{
    return version.era() < era.m_era || (era.m_restored && version <= *era.m_restored);
}

StoreVersion writeVersion(const StoreEra &era, const StoreVersion &version)
{
    // What was seen before the restoration keeps its version; an item of the backup may be older than all that is known.
    return isListedInEra(era, version) && isOfBackup(era, version) ? StoreVersion() : version;
}

//-----------------------------------------------------------------------------
// Registrations
//-----------------------------------------------------------------------------

void recordDeparture(std::map<std::string, Departure> &departed, const std::string &id, int64_t incarnation, TimePoint now)
{
    if (departed.size() >= MaxDepartures && !departed.contains(id)) {
        std::erase_if(departed, [now](const auto &entry) { return now - entry.second.m_at > DepartureMemory; });
    }
    if (departed.size() >= MaxDepartures && !departed.contains(id)) {
        departed.erase(std::min_element(
            departed.begin(), departed.end(), [](const auto &left, const auto &right) { return left.second.m_at < right.second.m_at; }));
    }
    departed[id] = {incarnation, now};
}

bool applyRegistration(Registry &registry, StoreEra &era, ReplicaRecord record, const StoreVersion &version)
{
    const std::string id = record.m_id;
    const auto known = registry.m_replicas.find(id);
    if (isOfBackup(era, version)) {
        if (known == registry.m_replicas.end() && hasLeft(registry.m_departed, id, record.m_incarnationStart)) {
            holdBack(era, version);
            return false;
        }
        if (known != registry.m_replicas.end() && record.m_incarnationStart <= known->second.m_record.m_incarnationStart) {
            const bool isSame = record.m_incarnationStart == known->second.m_record.m_incarnationStart;
            if (known->second.m_record != record) {
                holdBack(era, version);
            }
            // An incarnation that drains does not become ready again, so either source may tell of it.
            const bool isDraining = known->second.m_record.m_draining || (isSame && record.m_draining);
            record = known->second.m_record;
            record.m_draining = isDraining;
        }
    } else {
        registry.m_departed.erase(id);
    }
    upsertReplica(registry, std::move(record));
    registry.m_replicas[id].m_version = version;
    return true;
}

void applyRegistrations(Registry &registry,
                        StoreEra &era,
                        const std::vector<std::pair<ReplicaRecord, StoreVersion>> &records,
                        TimePoint now)
{
    std::unordered_set<std::string> listed;
    for (const auto &[record, version] : records) {
        listed.insert(record.m_id);
        applyRegistration(registry, era, record, version);
    }
    std::vector<std::string> missing;
    for (const auto &[id, replica] : registry.m_replicas) {
        if (!listed.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const std::string &id : missing) {
        removeReplica(registry, id, now);
        const auto replica = registry.m_replicas.find(id);
        if (replica != registry.m_replicas.end()) {
            replica->second.m_isKept = !isListedInEra(era, replica->second.m_version);
        }
    }
}

std::vector<ReplicaHold> replicaHolds(const Registry &registry, const StoreEra &era, TimePoint now)
{
    std::vector<ReplicaHold> holds;
    for (const auto &[id, departure] : registry.m_departed) {
        if (now - departure.m_at <= DepartureMemory) {
            holds.push_back({id, departure.m_incarnation, true});
        }
    }
    for (const auto &[id, replica] : registry.m_replicas) {
        if (replica.m_record.m_draining && isOfBackup(era, replica.m_version)) {
            holds.push_back({id, replica.m_record.m_incarnationStart, false});
        }
    }
    return holds;
}

bool applyReplicaHold(Registry &registry, const StoreEra &era, const ReplicaHold &hold, TimePoint now)
{
    const auto known = registry.m_replicas.find(hold.m_id);
    if (known == registry.m_replicas.end()) {
        if (hold.m_hasLeft && !hasLeft(registry.m_departed, hold.m_id, hold.m_incarnationStart)) {
            recordDeparture(registry.m_departed, hold.m_id, hold.m_incarnationStart, now);
        }
        return false;
    }
    RegisteredReplica &replica = known->second;
    const bool applies = isOfBackup(era, replica.m_version) && replica.m_record.m_incarnationStart <= hold.m_incarnationStart;
    if (applies && hold.m_hasLeft) {
        recordDeparture(registry.m_departed, hold.m_id, hold.m_incarnationStart, now);
        registry.m_replicas.erase(known);
        return true;
    }
    return applies && replica.m_record.m_incarnationStart == hold.m_incarnationStart && !std::exchange(replica.m_record.m_draining, true);
}

//-----------------------------------------------------------------------------
// Evacuations
//-----------------------------------------------------------------------------

bool observeEvacuation(Registry &registry, StoreEra &era, const std::string &failureDomain, bool isInForce, const StoreVersion &version)
{
    const bool isKnown = registry.m_evacuations.contains(failureDomain);
    Evacuation &evacuation = evacuationOf(registry, failureDomain);
    evacuation.m_listedEra = isInForce ? era.m_era : evacuation.m_listedEra;
    if (isOfBackup(era, version) && isKnown) {
        if (evacuation.m_isInForce != isInForce) {
            holdBack(era, version);
        }
        return false;
    }
    evacuation.m_version = writeVersion(era, version);
    return setInForce(registry, failureDomain, evacuation, isInForce);
}

std::vector<std::string>
endMissingEvacuations(Registry &registry, const StoreEra &era, const std::set<std::string> &listed, const StoreVersion &version)
{
    std::vector<std::string> ended;
    for (auto &[failureDomain, evacuation] : registry.m_evacuations) {
        if (!evacuation.m_isInForce || listed.contains(failureDomain) || evacuation.m_listedEra != era.m_era) {
            continue;
        }
        evacuation.m_version = version;
        setInForce(registry, failureDomain, evacuation, false);
        ended.push_back(failureDomain);
    }
    return ended;
}

bool mergeEvacuation(Registry &registry, const std::string &failureDomain, bool isInForce, const StoreVersion &version)
{
    const auto known = registry.m_evacuations.find(failureDomain);
    if (known != registry.m_evacuations.end() && version <= known->second.m_version) {
        return false;
    }
    Evacuation &evacuation = evacuationOf(registry, failureDomain);
    evacuation.m_version = version;
    return setInForce(registry, failureDomain, evacuation, isInForce);
}

//-----------------------------------------------------------------------------
// Configuration
//-----------------------------------------------------------------------------

bool replacesConfiguration(const ServingConfiguration *current,
                           const StoreVersion &currentWrite,
                           const ServingConfiguration &candidate,
                           const StoreVersion &candidateWrite)
{
    if (isNewer(current, candidate)) {
        return true;
    }
    return candidate.m_version == current->m_version && candidateWrite.era() > currentWrite.era() && !(candidate == *current);
}

//-----------------------------------------------------------------------------
// Members
//-----------------------------------------------------------------------------

namespace {

/** Incarnations of members are random numbers, so that only equal ones can be compared. */
bool hasMemberLeft(const MemberList &members, const std::string &key, const Member &member)
{
    const auto departure = members.m_departed.find(key);
    return departure != members.m_departed.end() && departure->second.m_incarnation == static_cast<int64_t>(member.m_incarnation);
}

} // namespace

void applyMemberItem(MemberList &members, StoreEra &era, const std::string &key, Member member, const StoreVersion &version)
{
    const auto known = members.m_members.find(key);
    if (isOfBackup(era, version)) {
        if (known != members.m_members.end()) {
            known->second.m_version = version;
            known->second.m_removeAt.reset();
            return;
        }
        if (hasMemberLeft(members, key, member)) {
            holdBack(era, version);
            return;
        }
    }
    members.m_departed.erase(key);
    members.m_members[key] = {std::move(member), version, std::nullopt};
}

void removeMemberItem(MemberList &members, const StoreEra &era, const std::string &key, TimePoint now)
{
    const auto known = members.m_members.find(key);
    if (known == members.m_members.end()) {
        return;
    }
    // After a restoration the item also disappears with a lease that was lost, although the member is alive.
    if (isOfBackup(era, known->second.m_version) && members.m_keptUntil && now < *members.m_keptUntil) {
        known->second.m_removeAt = *members.m_keptUntil;
        return;
    }
    recordDeparture(members.m_departed, key, static_cast<int64_t>(known->second.m_member.m_incarnation), now);
    members.m_members.erase(known);
}

void applyMemberItems(MemberList &members, StoreEra &era, const std::vector<std::pair<std::string, ListedMember>> &listed, TimePoint now)
{
    std::set<std::string> keys;
    for (const auto &[key, member] : listed) {
        keys.insert(key);
        applyMemberItem(members, era, key, member.m_member, member.m_version);
    }
    std::vector<std::string> missing;
    for (const auto &[key, member] : members.m_members) {
        if (!keys.contains(key)) {
            missing.push_back(key);
        }
    }
    for (const std::string &key : missing) {
        removeMemberItem(members, era, key, now);
    }
}

std::optional<TimePoint> expireMembers(MemberList &members, TimePoint now)
{
    std::optional<TimePoint> next;
    for (auto member = members.m_members.begin(); member != members.m_members.end();) {
        const std::optional<TimePoint> removeAt = member->second.m_removeAt;
        if (removeAt && *removeAt <= now) {
            recordDeparture(members.m_departed, member->first, static_cast<int64_t>(member->second.m_member.m_incarnation), now);
            member = members.m_members.erase(member);
            continue;
        }
        next = removeAt && (!next || *removeAt < *next) ? removeAt : next;
        ++member;
    }
    return next;
}

} // namespace Medlarramp::Serving
