#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

#include "serving.h"

namespace Medlarramp::Serving {

namespace {

/** The notice of the registered incarnation of a replica; null when it is not registered. */
ReplicaNotice *findNotice(Registry &registry, const std::string &id)
{
    const auto replica = registry.m_replicas.find(id);
    if (replica == registry.m_replicas.end()) {
        return nullptr;
    }
    if (registry.m_notices.size() >= MaxNotices) {
        std::erase_if(registry.m_notices, [&registry](const auto &entry) { return !registry.m_replicas.contains(entry.first); });
    }
    ReplicaNotice &notice = registry.m_notices[id];
    const int64_t incarnationStart = replica->second.m_record.m_incarnationStart;
    if (notice.m_incarnationStart != incarnationStart) {
        notice = ReplicaNotice{.m_incarnationStart = incarnationStart};
    }
    return &notice;
}

/** Whether the registration or the replica itself says that it leaves. */
bool isLeaving(const Registry &registry, const ReplicaRecord &record)
{
    const auto notice = registry.m_notices.find(record.m_id);
    const bool applies = notice != registry.m_notices.end() && notice->second.m_incarnationStart == record.m_incarnationStart;
    return record.m_draining || (applies && notice->second.m_leaving);
}

} // namespace

//-----------------------------------------------------------------------------
// Registry
//-----------------------------------------------------------------------------

void observeStoreFailure(Registry &registry, TimePoint startedAt)
{
    registry.m_lastFailureAt = registry.m_storeUnavailableSince ? std::max(registry.m_lastFailureAt, startedAt) : startedAt;
    if (!registry.m_storeUnavailableSince) {
        registry.m_storeUnavailableSince = startedAt;
    }
}

void observeStoreSuccess(Registry &registry, TimePoint now)
{
    if (registry.m_storeUnavailableSince && now - *registry.m_storeUnavailableSince >= MinOutageDuration) {
        registry.m_storeRecoveredAt = registry.m_lastFailureAt;
    }
    registry.m_storeUnavailableSince.reset();
}

void upsertReplica(Registry &registry, ReplicaRecord record)
{
    RegisteredReplica &replica = registry.m_replicas[record.m_id];
    replica.m_record = std::move(record);
    replica.m_removeAt.reset();
    replica.m_isKept = false;
}

void eraseReplica(Registry &registry, const std::string &id, TimePoint now)
{
    const auto replica = registry.m_replicas.find(id);
    if (replica == registry.m_replicas.end()) {
        return;
    }
    recordDeparture(registry.m_departed, id, replica->second.m_record.m_incarnationStart, now);
    registry.m_replicas.erase(replica);
}

void removeReplica(Registry &registry, const std::string &id, TimePoint now)
{
    const auto replica = registry.m_replicas.find(id);
    if (replica == registry.m_replicas.end()) {
        return;
    }
    const bool isWithinGrace = registry.m_storeRecoveredAt && now < *registry.m_storeRecoveredAt + RegistrationGrace;
    replica->second.m_isKept = false;
    if (!isWithinGrace) {
        eraseReplica(registry, id, now);
        return;
    }
    if (!replica->second.m_removeAt) {
        replica->second.m_removeAt = *registry.m_storeRecoveredAt + RegistrationGrace;
    }
}

void replaceReplicas(Registry &registry, std::vector<ReplicaRecord> records, TimePoint now)
{
    std::unordered_set<std::string> listed;
    for (ReplicaRecord &record : records) {
        listed.insert(record.m_id);
        upsertReplica(registry, std::move(record));
    }
    std::vector<std::string> missing;
    for (const auto &[id, replica] : registry.m_replicas) {
        if (!listed.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const std::string &id : missing) {
        removeReplica(registry, id, now);
    }
}

std::optional<TimePoint> expireReplicas(Registry &registry, TimePoint now)
{
    std::optional<TimePoint> next;
    for (auto replica = registry.m_replicas.begin(); replica != registry.m_replicas.end();) {
        const std::optional<TimePoint> removeAt = replica->second.m_removeAt;
        if (removeAt && *removeAt <= now) {
            recordDeparture(registry.m_departed, replica->first, replica->second.m_record.m_incarnationStart, now);
            replica = registry.m_replicas.erase(replica);
            continue;
        }
        if (removeAt && (!next || *removeAt < *next)) {
            next = removeAt;
        }
        ++replica;
    }
    return next;
}

bool isEvacuated(const Registry &registry, const std::string &id)
{
    const auto replica = registry.m_replicas.find(id);
    return replica != registry.m_replicas.end() && registry.m_evacuatedDomains.contains(replica->second.m_record.m_failureDomain);
}

bool isServiceEvacuated(const Registry &registry, const std::string &service)
{
    bool evacuated = false;
    for (const auto &[id, replica] : registry.m_replicas) {
        if (replica.m_record.m_service != service || isLeaving(registry, replica.m_record)) {
            continue;
        }
        if (!isEvacuated(registry, id)) {
            return false;
        }
        evacuated = true;
    }
    return evacuated;
}

bool acceptsWork(const Registry &registry, const std::string &id)
{
    const auto replica = registry.m_replicas.find(id);
    return replica != registry.m_replicas.end() && !isLeaving(registry, replica->second.m_record) && !isEvacuated(registry, id);
}

void observePause(Registry &registry, const std::string &id, TimePoint until)
{
    if (ReplicaNotice *notice = findNotice(registry, id)) {
        notice->m_pausedUntil = std::max(notice->m_pausedUntil, until);
    }
}

TimePoint pausedUntil(const Registry &registry, const std::string &id)
{
    const auto replica = registry.m_replicas.find(id);
    const auto notice = registry.m_notices.find(id);
    const bool applies = replica != registry.m_replicas.end() && notice != registry.m_notices.end()
        && notice->second.m_incarnationStart == replica->second.m_record.m_incarnationStart;
    return applies ? notice->second.m_pausedUntil : TimePoint();
}

std::optional<TimePoint> firstResume(const Registry &registry, const std::vector<std::string> &ids, TimePoint now)
{
    std::optional<TimePoint> first;
    for (const std::string &id : ids) {
        const TimePoint until = pausedUntil(registry, id);
        if (until <= now) {
            return std::nullopt;
        }
        first = first ? std::min(*first, until) : until;
    }
    return first;
}

bool observeLeaving(Registry &registry, const std::string &id)
{
    ReplicaNotice *notice = findNotice(registry, id);
    return notice != nullptr && !std::exchange(notice->m_leaving, true);
}

std::map<std::string, std::vector<std::string>> usableReplicas(const Registry &registry)
{
    std::map<std::string, std::vector<std::string>> usable;
    std::map<std::string, std::vector<std::string>> missing;
    for (const auto &[id, replica] : registry.m_replicas) {
        if (acceptsWork(registry, id)) {
            (replica.m_removeAt && !replica.m_isKept ? missing : usable)[replica.m_record.m_service].push_back(id);
        }
    }
    for (const auto &[service, ids] : missing) {
        std::vector<std::string> &registered = usable[service];
        if (registered.size() < ids.size()) {
            registered.insert(registered.end(), ids.begin(), ids.end());
        }
    }
    return usable;
}

std::string_view describeReplica(const Registry &registry, const std::string &id)
{
    const auto replica = registry.m_replicas.find(id);
    if (replica == registry.m_replicas.end()) {
        return "unknown";
    }
    if (replica->second.m_removeAt) {
        return "missing";
    }
    if (isEvacuated(registry, id)) {
        return "evacuated";
    }
    return acceptsWork(registry, id) ? "ready" : "draining";
}

//-----------------------------------------------------------------------------
// Membership
//-----------------------------------------------------------------------------

double rendezvousScore(std::string_view node, std::string_view subject, double weight)
{
    const uint64_t hash = combineHash(hash64(node), hash64(subject));
    const double uniform = (static_cast<double>(hash >> 11) + 0.5) / static_cast<double>(uint64_t{1} << 53);
    return -weight / std::log(uniform);
}

bool isSuspected(const Membership &membership, const std::string &node, TimePoint now)
{
    const auto suspicion = membership.m_suspectedUntil.find(node);
    return suspicion != membership.m_suspectedUntil.end() && now < suspicion->second;
}

void replaceMembers(Membership &membership, std::vector<Member> members, TimePoint now)
{
    std::map<std::string, Member> next;
    for (Member &member : members) {
        const auto previous = membership.m_members.find(member.m_node);
        if (previous != membership.m_members.end() && previous->second.m_incarnation != member.m_incarnation) {
            membership.m_suspectedUntil.erase(member.m_node);
        }
        std::string node = member.m_node;
        next[std::move(node)] = std::move(member);
    }
    next[membership.m_self.m_node] = membership.m_self;
    membership.m_members = std::move(next);
    membership.m_counts.emplace_back(now, membership.m_members.size());
    memberCount(membership, now);
}

void suspectMember(Membership &membership, const std::string &node, TimePoint now)
{
    if (node != membership.m_self.m_node) {
        membership.m_suspectedUntil[node] = now + SuspicionTime;
    }
}

const std::string &ownerOf(const Membership &membership, std::string_view service, TimePoint now)
{
    double largest = 0;
    for (const auto &[node, member] : membership.m_members) {
        largest = isSuspected(membership, node, now) ? largest : std::max(largest, member.m_weight);
    }
    const std::string *owner = &membership.m_self.m_node;
    double best = -1;
    for (const auto &[node, member] : membership.m_members) {
        if (isSuspected(membership, node, now) || member.m_weight < largest * MinOwnerWeightShare) {
            continue;
        }
        const double score = rendezvousScore(node, service, member.m_weight);
        if (score > best) {
            best = score;
            owner = &node;
        }
    }
    return *owner;
}

size_t memberCount(Membership &membership, TimePoint now)
{
    std::deque<std::pair<TimePoint, size_t>> &counts = membership.m_counts;
    // The last count before the window was still valid at its start, so it is kept.
    while (counts.size() > 1 && counts[1].first + MemberCountWindow < now) {
        counts.pop_front();
    }
    size_t most = std::max<size_t>(1, membership.m_members.size());
    for (const auto &[at, count] : counts) {
        most = std::max(most, count);
    }
    return most;
}

} // namespace Medlarramp::Serving
