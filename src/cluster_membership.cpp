#include "cluster_internal.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <cmath>

namespace Medlarramp {

namespace {

constexpr size_t MaxProbes = 64;
constexpr size_t MaxRelayed = 256;
constexpr size_t MaxGossip = 1'024;
constexpr size_t MaxAnnounced = 64;
constexpr size_t MembersPerAnnouncement = 8; ///< keeps the message within one datagram
constexpr size_t HeartbeatMemberBytes = 700; ///< of a datagram; the rest is for header, verdicts and MAC
constexpr size_t MemberFixedBytes = 48; ///< of an encoded member without its names
constexpr size_t SeedContacts = 3;
constexpr size_t RechecksPerMessage = 8; ///< probes of members that a peer holds alive and this node holds failed
constexpr int MaxMissedAcks = 4; ///< a failed domain must not delay the detection of its members for long
constexpr int MissedAcksAfterPause = MaxHealthFactor;
constexpr double MaxAnnounceLoad = 8; ///< trees of others within about a second, above which gossip has to suffice
constexpr milliseconds DifferenceTime{1'500}; ///< between two views, before one is pulled; a change spreads in less
constexpr milliseconds AnnounceDelay{50}; ///< collects changes into one message
constexpr Duration AnnounceDelayPerMember{300}; ///< spreads announcements of a large event, so that later ones see the earlier
constexpr Duration JoinDelayPerMember{3'000}; ///< a join is less urgent, and all nodes may start at once

MemberRecord *findRecord(ClusterState &state, const Address &address)
{
    const auto found = state.m_records.find(address);
    return found == state.m_records.end() ? nullptr : &found->second;
}

uint64_t memberDigest(const Member &member)
{
    const uint64_t version = combineHash(member.m_boot, member.m_incarnation);
    return combineHash(hash64(member.m_address.m_host, static_cast<uint64_t>(member.m_address.m_port)), version);
}

void toggleDigest(ClusterState &state, const Member &member)
{
    if (isLive(member)) {
        state.m_digest ^= memberDigest(member);
    }
}

bool isIsolated(const ClusterState &state, TimePoint now)
{
    const auto live =
        std::count_if(state.m_records.begin(), state.m_records.end(), [](const auto &entry) { return isLive(entry.second.m_member); });
    // With a single peer, silence says as much about the peer as about this node.
    return live >= 2 && now - state.m_lastHeard > IsolationTime;
}

size_t liveCount(const ClusterState &state)
{
    size_t count = 1;
    for (const auto &[address, record] : state.m_records) {
        count += isLive(record.m_member) ? 1 : 0;
    }
    return count;
}

size_t encodedSize(const Member &member)
{
    return MemberFixedBytes + member.m_address.m_host.size() + member.m_node.size() + member.m_region.size()
        + member.m_failureDomain.size();
}

/** How an entry reached this node, which tells who may still lack it. */
enum class Source : uint8_t {
    Peer, ///< a heartbeat or the node itself
    Tree, ///< sent to all; gossip only repairs losses
    WholeView, ///< others compare whole views too, and gossip of hundreds of entries would take minutes
};

int gossipTransmissions(const ClusterState &state, Source source)
{
    constexpr int TreeRepairs = 3;
    switch (source) {
    case Source::Peer:
        return 2 + static_cast<int>(std::bit_width(state.m_records.size() + 1));
    case Source::Tree:
        return TreeRepairs;
    case Source::WholeView:
        break;
    }
    return 0;
}

void addGossip(ClusterState &state, const Address &address, Source source = Source::Peer)
{
    std::erase_if(state.m_gossip, [&address](const GossipItem &item) { return item.m_address == address; });
    const int transmissions = gossipTransmissions(state, source);
    if (transmissions == 0) {
        return;
    }
    state.m_gossip.insert(state.m_gossip.begin(), GossipItem{address, transmissions});
    if (state.m_gossip.size() > MaxGossip) {
        state.m_gossip.pop_back();
    }
}

/** Plans a tree for a change of which this node is the origin. */
void announce(ClusterState &state, const Address &address, EventContext &context, Duration delayPerMember = AnnounceDelayPerMember)
{
    addGossip(state, address);
    if (state.m_announce.empty()) {
        const Duration window = AnnounceDelay + delayPerMember * static_cast<int64_t>(state.m_records.size());
        state.m_announceAt = context.m_now + jitter(context.m_random, window);
    }
    const bool isKnown = std::find(state.m_announce.begin(), state.m_announce.end(), address) != state.m_announce.end();
    if (!isKnown && state.m_announce.size() < MaxAnnounced) {
        state.m_announce.push_back(address);
    }
}

/** The entry of a live or remembered member, or of this node. */
const Member *currentEntry(const ClusterState &state, const Address &address)
{
    if (address == state.m_self.m_address) {
        return &state.m_self;
    }
    const auto found = state.m_records.find(address);
    return found == state.m_records.end() ? nullptr : &found->second.m_member;
}

Membership makeAnnouncement(ClusterState &state)
{
    Membership membership;
    const size_t count = std::min(state.m_announce.size(), MembersPerAnnouncement);
    for (size_t i = 0; i < count; ++i) {
        if (const Member *member = currentEntry(state, state.m_announce[i])) {
            membership.m_members.push_back(*member);
        }
    }
    state.m_announce.erase(state.m_announce.begin(), state.m_announce.begin() + static_cast<std::ptrdiff_t>(count));
    return membership;
}

void addAnnounceLoad(ClusterState &state, double load, TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - state.m_announceLoadAt).count();
    state.m_announceLoad = state.m_announceLoad * std::exp(-std::max(elapsed, 0.0)) + load;
    state.m_announceLoadAt = now;
}

void announceSelfNow(ClusterState &state, EventContext &context)
{
    addGossip(state, state.m_self.m_address);
    Membership membership;
    membership.m_members.push_back(state.m_self);
    startSpread(state, membership, nextRandom(context.m_random), false, context);
}

void tickAnnouncements(ClusterState &state, EventContext &context)
{
    if (state.m_announce.empty() || context.m_now < state.m_announceAt) {
        return;
    }
    addAnnounceLoad(state, 0, context.m_now);
    if (state.m_announceLoad > MaxAnnounceLoad) {
        ++state.m_counters.m_spreadsSuppressed;
        state.m_announce.clear();
        return;
    }
    startSpread(state, makeAnnouncement(state), nextRandom(context.m_random), false, context);
    state.m_announceAt = context.m_now + AnnounceDelay;
}

/** Raises the own entry above what is said about this node. */
void considerOwnEntry(ClusterState &state, uint64_t boot, uint32_t incarnation, MemberState said, EventContext &context)
{
    Member &self = state.m_self;
    const bool isOlder = boot < self.m_boot || (boot == self.m_boot && incarnation < self.m_incarnation);
    const bool isSame = boot == self.m_boot && incarnation == self.m_incarnation && said == MemberState::Alive;
    if (state.m_left || isOlder || isSame) {
        return;
    }
    toggleDigest(state, self);
    if (boot > self.m_boot) {
        // An earlier process at this address had a clock that was ahead.
        self.m_boot = boot + 1;
        self.m_incarnation = 0;
    } else {
        self.m_incarnation = incarnation + 1;
        ++state.m_counters.m_refutations;
    }
    toggleDigest(state, self);
    announce(state, self.m_address, context);
}

std::optional<MemberEvent> eventOf(const MemberRecord *before, const Member &after)
{
    const bool wasLive = before && isLive(before->m_member);
    if (!isLive(after)) {
        if (!wasLive) {
            return std::nullopt;
        }
        return after.m_state == MemberState::Left ? MemberEvent::Left : MemberEvent::Failed;
    }
    if (!wasLive) {
        return MemberEvent::Joined;
    }
    if (before->m_member.m_boot != after.m_boot) {
        return MemberEvent::Replaced;
    }
    return after.m_state == MemberState::Suspect ? MemberEvent::Suspected : MemberEvent::Updated;
}

bool makeRoom(ClusterState &state)
{
    if (state.m_records.size() < MaxMembers) {
        return true;
    }
    auto oldest = state.m_records.end();
    for (auto it = state.m_records.begin(); it != state.m_records.end(); ++it) {
        const bool isOlder = oldest == state.m_records.end() || it->second.m_changedAt < oldest->second.m_changedAt;
        if (!isLive(it->second.m_member) && isOlder) {
            oldest = it;
        }
    }
    if (oldest == state.m_records.end()) {
        return false;
    }
    state.m_records.erase(oldest);
    return true;
}

/** Stores a new version of an entry. */
void storeMember(ClusterState &state, const Member &member, Source source, EventContext &context)
{
    MemberRecord *known = findRecord(state, member.m_address);
    const std::optional<MemberEvent> event = eventOf(known, member);
    if (!known) {
        if (!makeRoom(state)) {
            return;
        }
        known = &state.m_records[member.m_address];
    } else {
        toggleDigest(state, known->m_member);
    }
    const bool isSameBoot = known->m_member.m_boot == member.m_boot;
    const int64_t cursor = isSameBoot ? std::max(known->m_member.m_cursor, member.m_cursor) : member.m_cursor;
    state.m_suspects -= known->m_member.m_state == MemberState::Suspect ? 1 : 0;
    state.m_suspects += member.m_state == MemberState::Suspect ? 1 : 0;
    known->m_member = member;
    known->m_member.m_cursor = cursor;
    known->m_changedAt = context.m_now;
    known->m_suspectUntil = context.m_now + SuspicionTime;
    known->m_detectedHere = false;
    toggleDigest(state, known->m_member);
    addGossip(state, member.m_address, source);
    if (event) {
        context.m_actions.m_changes.push_back({*event, known->m_member});
    }
}

/** Merges an entry that a peer sent. */
void mergeMember(ClusterState &state, Member member, Source source, EventContext &context)
{
    if (member.m_address == state.m_self.m_address) {
        considerOwnEntry(state, member.m_boot, member.m_incarnation, member.m_state, context);
        return;
    }
    MemberRecord *known = findRecord(state, member.m_address);
    if (!known) {
        if (isLive(member)) {
            storeMember(state, member, source, context);
        }
        return;
    }
    if (member.m_state == MemberState::Failed && known->m_member.m_state == MemberState::Alive) {
        // A node is removed only after the suspicion time, in which it can answer. This also keeps the verdicts of
        // a cut-off region from removing nodes here when the regions meet again.
        member.m_state = MemberState::Suspect;
    }
    if (supersedes(member, known->m_member)) {
        storeMember(state, member, source, context);
    } else if (member.m_boot == known->m_member.m_boot) {
        known->m_member.m_cursor = std::max(known->m_member.m_cursor, member.m_cursor);
    }
}

std::vector<Address> randomLive(const ClusterState &state, size_t count, const Address &without, Random &random)
{
    std::vector<Address> candidates;
    for (const auto &[address, record] : state.m_records) {
        if (record.m_member.m_state == MemberState::Alive && address != without) {
            candidates.push_back(address);
        }
    }
    const size_t wanted = std::min(count, candidates.size());
    for (size_t i = 0; i < wanted; ++i) {
        std::swap(candidates[i], candidates[i + uniformBelow(random, candidates.size() - i)]);
    }
    candidates.resize(wanted);
    return candidates;
}

void sendPing(ClusterState &state, const Address &target, uint32_t probe, EventContext &context)
{
    Ping ping;
    ping.m_probe = probe;
    const MemberRecord *record = findRecord(state, target);
    if (record && record->m_member.m_state != MemberState::Alive) {
        ping.m_targetBoot = record->m_member.m_boot;
        ping.m_targetIncarnation = record->m_member.m_incarnation;
        ping.m_targetState = record->m_member.m_state;
    }
    ping.m_heartbeat = makeHeartbeat(state, context);
    sendBody(context, target, std::move(ping));
}

void startProbe(ClusterState &state, const Address &target, bool failedMember, EventContext &context)
{
    if (state.m_probes.size() >= MaxProbes) {
        return;
    }
    ++state.m_counters.m_probes;
    const uint32_t probe = ++state.m_lastProbe;
    state.m_probes.push_back({probe, target, context.m_now, state.m_heard, false, failedMember});
    sendPing(state, target, probe, context);
}

/** The next member in the ring that is not suspected. Each member is probed by its predecessor in every interval. */
std::optional<Address> ringSuccessor(const ClusterState &state)
{
    const auto isAlive = [](const auto &entry) { return entry.second.m_member.m_state == MemberState::Alive; };
    const auto start = state.m_records.upper_bound(state.m_self.m_address);
    auto found = std::find_if(start, state.m_records.end(), isAlive);
    if (found != state.m_records.end()) {
        return found->first;
    }
    found = std::find_if(state.m_records.begin(), start, isAlive);
    return found == start ? std::nullopt : std::optional(found->first);
}

void refillProbeOrder(ClusterState &state, Random &random)
{
    for (const auto &[address, record] : state.m_records) {
        if (isLive(record.m_member)) {
            state.m_probeOrder.push_back(address);
        }
    }
    for (size_t i = state.m_probeOrder.size(); i > 1; --i) {
        std::swap(state.m_probeOrder[i - 1], state.m_probeOrder[uniformBelow(random, i)]);
    }
}

std::optional<Address> nextInOrder(ClusterState &state, Random &random)
{
    if (state.m_probeOrder.empty()) {
        refillProbeOrder(state, random);
    }
    while (!state.m_probeOrder.empty()) {
        const Address address = state.m_probeOrder.back();
        state.m_probeOrder.pop_back();
        const MemberRecord *record = findRecord(state, address);
        if (record && isLive(record->m_member)) {
            return address;
        }
    }
    return std::nullopt;
}

void probeFailedMember(ClusterState &state, EventContext &context)
{
    std::vector<Address> failed;
    for (const auto &[address, record] : state.m_records) {
        if (record.m_member.m_state == MemberState::Failed) {
            failed.push_back(address);
        }
    }
    if (!failed.empty()) {
        startProbe(state, failed[uniformBelow(context.m_random, failed.size())], true, context);
    }
}

void tickProbes(ClusterState &state, EventContext &context)
{
    if (context.m_now >= state.m_nextRingProbe) {
        state.m_nextRingProbe = context.m_now + RingProbeInterval;
        if (const auto target = ringSuccessor(state)) {
            startProbe(state, *target, false, context);
        }
    }
    if (context.m_now >= state.m_nextProbe) {
        state.m_nextProbe = context.m_now + RandomProbeInterval;
        if (const auto target = nextInOrder(state, context.m_random)) {
            startProbe(state, *target, false, context);
        }
    }
    if (context.m_now >= state.m_nextFailedProbe) {
        state.m_nextFailedProbe = context.m_now + FailedProbeInterval / 2 + jitter(context.m_random, FailedProbeInterval);
        probeFailedMember(state, context);
    }
}

void suspect(ClusterState &state, MemberRecord &record, EventContext &context)
{
    Member member = record.m_member;
    member.m_state = MemberState::Suspect;
    storeMember(state, member, Source::Peer, context);
    record.m_detectedHere = true;
    ++state.m_counters.m_suspicions;
    announce(state, member.m_address, context);
    // Tells the member directly, so that it can refute.
    sendPing(state, member.m_address, 0, context);
}

void concludeProbe(ClusterState &state, const Probe &probe, EventContext &context)
{
    MemberRecord *record = findRecord(state, probe.m_target);
    if (probe.m_failedMember || !record || !isLive(record->m_member)) {
        return;
    }
    if (state.m_missedAcks < MaxMissedAcks) {
        ++state.m_missedAcks;
    }
    const bool heardNobody = state.m_heard == probe.m_heardBefore && liveCount(state) > 2;
    if (record->m_member.m_state == MemberState::Alive && !heardNobody) {
        suspect(state, *record, context);
    }
}

void askOthers(ClusterState &state, const Probe &probe, EventContext &context)
{
    for (const Address &helper : randomLive(state, IndirectProbes, probe.m_target, context.m_random)) {
        sendBody(context, helper, PingRequest{probe.m_probe, probe.m_target});
    }
}

void expireProbes(ClusterState &state, EventContext &context)
{
    std::vector<Probe> expired;
    for (Probe &probe : state.m_probes) {
        const Duration age = context.m_now - probe.m_sentAt;
        if (age >= ProbeAnswerLimit) {
            expired.push_back(probe);
        } else if (age >= ProbeTimeout && !probe.m_indirect && !probe.m_failedMember) {
            probe.m_indirect = true;
            askOthers(state, probe, context);
        }
    }
    std::erase_if(state.m_probes, [&context](const Probe &probe) { return context.m_now - probe.m_sentAt >= ProbeAnswerLimit; });
    std::erase_if(state.m_relayed, [&context](const RelayedProbe &probe) { return context.m_now - probe.m_sentAt >= ProbeAnswerLimit; });
    for (const Probe &probe : expired) {
        concludeProbe(state, probe, context);
    }
}

void expireSuspicions(ClusterState &state, EventContext &context)
{
    if (state.m_suspects == 0) {
        return;
    }
    std::vector<Address> due;
    for (const auto &[address, record] : state.m_records) {
        if (record.m_member.m_state == MemberState::Suspect && context.m_now >= record.m_suspectUntil) {
            due.push_back(address);
        }
    }
    if (due.empty()) {
        return;
    }
    const Duration limit = SuspicionTime * healthFactor(state, context.m_now);
    for (const Address &address : due) {
        MemberRecord &record = state.m_records[address];
        if (context.m_now - record.m_changedAt < limit) {
            continue;
        }
        const bool detectedHere = record.m_detectedHere;
        Member member = record.m_member;
        member.m_state = MemberState::Failed;
        storeMember(state, member, Source::Peer, context);
        ++state.m_counters.m_failures;
        if (detectedHere) {
            announce(state, address, context);
        }
    }
}

/** Short in a small cluster, whose whole view is small. */
Duration syncInterval(const ClusterState &state)
{
    return std::clamp<Duration>(SyncIntervalPerMember * static_cast<int64_t>(state.m_records.size()), MinSyncInterval, MaxSyncInterval);
}

void pullView(ClusterState &state, const Address &peer, EventContext &context)
{
    const Duration interval = syncInterval(state);
    state.m_nextSync = context.m_now + interval + jitter(context.m_random, interval);
    state.m_differsSince = TimePoint{};
    ++state.m_counters.m_syncs;
    sendBody(context, peer, MembershipPull{state.m_self});
}

/** After a pause of this process, missing answers say nothing about others. */
void noticePause(ClusterState &state, EventContext &context)
{
    const Duration gap = context.m_now - state.m_lastTick;
    state.m_lastTick = context.m_now;
    if (gap <= PauseThreshold) {
        return;
    }
    ++state.m_counters.m_pauses;
    state.m_probes.clear();
    state.m_relayed.clear();
    state.m_missedAcks = MissedAcksAfterPause;
    for (auto &[address, record] : state.m_records) {
        record.m_suspectUntil = std::max(record.m_suspectUntil, context.m_now + SuspicionTime);
    }
    for (const Address &peer : randomLive(state, 1, state.m_self.m_address, context.m_random)) {
        // What was announced during the pause may be lost.
        pullView(state, peer, context);
    }
    for (PendingSpread &pending : state.m_pending) {
        pending.m_deadline = std::max(pending.m_deadline, context.m_now + SpreadTimeout);
    }
}

void forgetOldMembers(ClusterState &state, TimePoint now)
{
    std::erase_if(state.m_records, [now](const auto &entry) {
        const MemberRecord &record = entry.second;
        const bool isOldFailed = record.m_member.m_state == MemberState::Failed && now - record.m_changedAt > FailedRetention;
        const bool isOldLeft = record.m_member.m_state == MemberState::Left && now - record.m_changedAt > LeftRetention;
        return isOldFailed || isOldLeft;
    });
}

bool isKnownLive(const ClusterState &state, const Address &address)
{
    const Member *member = currentEntry(state, address);
    return member && isLive(*member);
}

void tickSeeds(ClusterState &state, EventContext &context)
{
    if (context.m_now < state.m_nextSeed) {
        return;
    }
    const bool isAlone = liveCount(state) == 1;
    const Duration interval = isAlone ? Duration(SeedInterval) : Duration(SeedRecheckInterval);
    state.m_nextSeed = context.m_now + interval / 2 + jitter(context.m_random, interval);
    std::vector<Address> unknown;
    for (const Address &seed : state.m_seeds) {
        if (!isKnownLive(state, seed)) {
            unknown.push_back(seed);
        }
    }
    const size_t contacts = std::min(unknown.size(), isAlone ? SeedContacts : size_t(1));
    for (size_t i = 0; i < contacts; ++i) {
        std::swap(unknown[i], unknown[i + uniformBelow(context.m_random, unknown.size() - i)]);
        sendBody(context, unknown[i], MembershipPull{state.m_self});
    }
    forgetOldMembers(state, context.m_now);
}

void start(ClusterState &state, const StartEvent &event, EventContext &context)
{
    assert(!state.m_started);
    state.m_started = true;
    state.m_seeds = event.m_seeds;
    state.m_seeds.resize(std::min(state.m_seeds.size(), MaxMembers));
    state.m_digest = memberDigest(state.m_self);
    state.m_lastTick = context.m_now;
    state.m_lastHeard = context.m_now;
    state.m_announceLoadAt = context.m_now;
    state.m_nextSeed = context.m_now;
    state.m_nextSync = context.m_now;
    state.m_nextRingProbe = context.m_now + jitter(context.m_random, RingProbeInterval);
    state.m_nextProbe = context.m_now + jitter(context.m_random, RandomProbeInterval);
    state.m_nextFailedProbe = context.m_now + FailedProbeInterval;
    state.m_lastProbe = static_cast<uint32_t>(nextRandom(context.m_random));
    tickSeeds(state, context);
}

void tick(ClusterState &state, EventContext &context)
{
    if (state.m_left) {
        state.m_lastTick = context.m_now;
        retrySpreads(state, context);
        return;
    }
    noticePause(state, context);
    tickSeeds(state, context);
    expireProbes(state, context);
    expireSuspicions(state, context);
    tickProbes(state, context);
    tickAnnouncements(state, context);
    retrySpreads(state, context);
    tickConfig(state, context);
}

void leave(ClusterState &state, EventContext &context)
{
    if (state.m_left) {
        return;
    }
    ++state.m_self.m_incarnation;
    state.m_self.m_state = MemberState::Left;
    announceSelfNow(state, context);
    state.m_left = true;
    state.m_staggered.clear();
}

void changeReadiness(ClusterState &state, Readiness readiness, EventContext &context)
{
    if (state.m_left || state.m_self.m_readiness == readiness) {
        return;
    }
    toggleDigest(state, state.m_self);
    state.m_self.m_readiness = readiness;
    ++state.m_self.m_incarnation;
    toggleDigest(state, state.m_self);
    announceSelfNow(state, context);
}

/** Pulls the whole view of a peer when views have differed for longer than a change takes to spread. */
void compareViews(ClusterState &state, const Address &peer, uint64_t digest, EventContext &context)
{
    // Equal views of other peers prove nothing: neighbours in the ring may lack the same member.
    const bool isFresh = context.m_now - state.m_differsSince > MaxSyncInterval;
    if (digest == state.m_digest) {
        return;
    }
    if (isFresh) {
        state.m_differsSince = context.m_now;
    } else if (context.m_now >= state.m_nextSync && context.m_now - state.m_differsSince >= DifferenceTime) {
        pullView(state, peer, context);
    }
}

void receiveHeartbeat(ClusterState &state, const PeerMessage &message, const Heartbeat &heartbeat, EventContext &context)
{
    for (const Member &member : heartbeat.m_members) {
        mergeMember(state, member, Source::Peer, context);
    }
    for (const CrashVerdict &verdict : heartbeat.m_verdicts) {
        receiveVerdict(state, verdict, context);
    }
    MemberRecord *record = findRecord(state, message.m_sender);
    if (record && record->m_member.m_boot == message.m_boot) {
        record->m_member.m_cursor = std::max(record->m_member.m_cursor, heartbeat.m_cursor);
    }
    noteCursor(state, message.m_sender, heartbeat.m_cursor, context);
    compareViews(state, message.m_sender, heartbeat.m_digest, context);
}

void receivePing(ClusterState &state, const PeerMessage &message, const Ping &ping, EventContext &context)
{
    if (ping.m_targetState != MemberState::Alive) {
        considerOwnEntry(state, ping.m_targetBoot, ping.m_targetIncarnation, ping.m_targetState, context);
    }
    receiveHeartbeat(state, message, ping.m_heartbeat, context);
    const MemberRecord *record = findRecord(state, message.m_sender);
    Ack ack;
    ack.m_probe = ping.m_probe;
    ack.m_introduce = !record || record->m_member.m_boot < message.m_boot;
    ack.m_heartbeat = makeHeartbeat(state, context);
    const bool isDoubted = record && (record->m_member.m_state != MemberState::Alive || record->m_member.m_boot > message.m_boot);
    if (isDoubted) {
        ack.m_heartbeat.m_members.push_back(record->m_member);
    }
    if (ping.m_targetState != MemberState::Alive) {
        ack.m_heartbeat.m_members.push_back(state.m_self);
    }
    sendBody(context, message.m_sender, std::move(ack));
}

void receiveAck(ClusterState &state, const PeerMessage &message, const Ack &ack, EventContext &context)
{
    receiveHeartbeat(state, message, ack.m_heartbeat, context);
    const auto relayed = std::find_if(
        state.m_relayed.begin(), state.m_relayed.end(), [&ack](const RelayedProbe &probe) { return probe.m_probe == ack.m_probe; });
    if (relayed != state.m_relayed.end()) {
        Ack answer;
        answer.m_probe = relayed->m_originProbe;
        answer.m_heartbeat = makeHeartbeat(state, context);
        sendBody(context, relayed->m_origin, std::move(answer));
        state.m_relayed.erase(relayed);
    }
    const size_t answered = std::erase_if(state.m_probes, [&ack](const Probe &probe) { return probe.m_probe == ack.m_probe; });
    if (answered > 0 && state.m_missedAcks > 0) {
        --state.m_missedAcks;
    }
    if (ack.m_introduce) {
        Membership introduction;
        introduction.m_members.push_back(state.m_self);
        sendBody(context, message.m_sender, std::move(introduction));
    }
}

void receivePingRequest(ClusterState &state, const PeerMessage &message, const PingRequest &request, EventContext &context)
{
    if (state.m_relayed.size() >= MaxRelayed || request.m_target == state.m_self.m_address) {
        return;
    }
    const uint32_t probe = ++state.m_lastProbe;
    state.m_relayed.push_back({probe, request.m_probe, message.m_sender, context.m_now});
    sendPing(state, request.m_target, probe, context);
}

void receivePull(ClusterState &state, const PeerMessage &message, const MembershipPull &pull, EventContext &context)
{
    if (pull.m_self.m_address == message.m_sender && pull.m_self.m_boot == message.m_boot) {
        mergeMember(state, pull.m_self, Source::Peer, context);
    }
    Membership answer;
    answer.m_complete = true;
    answer.m_members = liveMembers(state);
    answer.m_verdicts = heldVerdicts(state, context.m_now);
    const MemberRecord *record = findRecord(state, message.m_sender);
    if (record && !isLive(record->m_member)) {
        answer.m_members.push_back(record->m_member);
    }
    sendBody(context, message.m_sender, std::move(answer));
}

/** Probes members that the peer holds alive and this node holds failed; they refute when they are reached. */
void recheckFailed(ClusterState &state, const Members &theirs, EventContext &context)
{
    size_t rechecks = 0;
    for (const Member &member : theirs) {
        const MemberRecord *record = findRecord(state, member.m_address);
        if (record && record->m_member.m_state == MemberState::Failed && rechecks < RechecksPerMessage) {
            ++rechecks;
            startProbe(state, member.m_address, true, context);
        }
    }
}

/** Sends what the peer's whole view lacks. */
void sendMissing(ClusterState &state, const Address &peer, const Members &theirs, EventContext &context)
{
    std::map<Address, const Member *> known;
    for (const Member &member : theirs) {
        known[member.m_address] = &member;
    }
    Membership missing;
    for (const auto &[address, record] : state.m_records) {
        const auto found = known.find(address);
        const bool isNews = found == known.end() || supersedes(record.m_member, *found->second);
        if (record.m_member.m_state == MemberState::Alive && isNews) {
            missing.m_members.push_back(record.m_member);
        }
    }
    if (!missing.m_members.empty()) {
        sendBody(context, peer, std::move(missing));
    }
}

Source sourceOf(const Membership &membership)
{
    if (membership.m_complete) {
        return Source::WholeView;
    }
    return membership.m_spread.m_identifier == 0 ? Source::Peer : Source::Tree;
}

void receiveMembership(ClusterState &state, const PeerMessage &message, const Membership &membership, EventContext &context)
{
    const bool wasAlone = liveCount(state) == 1;
    const Source source = sourceOf(membership);
    for (const Member &member : membership.m_members) {
        mergeMember(state, member, source, context);
    }
    for (const CrashVerdict &verdict : membership.m_verdicts) {
        receiveVerdict(state, verdict, context);
    }
    if (membership.m_spread.m_identifier != 0) {
        addAnnounceLoad(state, 1, context.m_now);
        forwardSpread(state, message.m_sender, membership, context);
    }
    if (!membership.m_complete) {
        return;
    }
    if (wasAlone) {
        announce(state, state.m_self.m_address, context, JoinDelayPerMember);
    }
    recheckFailed(state, membership.m_members, context);
    sendMissing(state, message.m_sender, membership.m_members, context);
}

void receiveBody(ClusterState &state, const PeerMessage &message, EventContext &context)
{
    const Address &sender = message.m_sender;
    if (const auto *ping = std::get_if<Ping>(&message.m_body)) {
        receivePing(state, message, *ping, context);
    } else if (const auto *ack = std::get_if<Ack>(&message.m_body)) {
        receiveAck(state, message, *ack, context);
    } else if (const auto *request = std::get_if<PingRequest>(&message.m_body)) {
        receivePingRequest(state, message, *request, context);
    } else if (const auto *membership = std::get_if<Membership>(&message.m_body)) {
        receiveMembership(state, message, *membership, context);
    } else if (const auto *pull = std::get_if<MembershipPull>(&message.m_body)) {
        receivePull(state, message, *pull, context);
    } else if (const auto *change = std::get_if<ConfigChangeMessage>(&message.m_body)) {
        receiveConfigChange(state, sender, *change, context);
    } else if (const auto *configPull = std::get_if<ConfigPullMessage>(&message.m_body)) {
        answerConfigPull(state, sender, *configPull, context);
    } else if (const auto *batch = std::get_if<ConfigBatchMessage>(&message.m_body)) {
        receiveConfigBatch(state, sender, *batch, context);
    } else if (const auto *verdict = std::get_if<CrashVerdictSpread>(&message.m_body)) {
        receiveVerdict(state, verdict->m_verdict, context);
        forwardSpread(state, sender, message.m_body, context);
    }
}

void receiveMessage(ClusterState &state, const PeerMessage &message, EventContext &context)
{
    if (message.m_sender == state.m_self.m_address) {
        return;
    }
    if (const auto *ack = std::get_if<SpreadAck>(&message.m_body)) {
        acknowledgeSpread(state, message.m_sender, *ack);
    }
    if (state.m_left) {
        return;
    }
    ++state.m_heard;
    state.m_lastHeard = context.m_now;
    if (MemberRecord *record = findRecord(state, message.m_sender)) {
        record->m_lastHeard = context.m_now;
    }
    receiveBody(state, message, context);
}

/** Tells a process that an earlier one at its address used a higher boot number. */
void answerOldBoot(ClusterState &state, const Address &sender, EventContext &context)
{
    const MemberRecord *record = findRecord(state, sender);
    if (!record || state.m_left) {
        return;
    }
    Membership membership;
    membership.m_members.push_back(record->m_member);
    sendBody(context, sender, std::move(membership));
}

void pollCursors(ClusterState &state, int64_t revision, EventContext &context)
{
    if (state.m_left) {
        return;
    }
    for (const Address &address : membersBelow(state, revision)) {
        if (address != state.m_self.m_address) {
            sendPing(state, address, 0, context);
        }
    }
}

} // namespace

bool isLive(const Member &member)
{
    return member.m_state == MemberState::Alive || member.m_state == MemberState::Suspect;
}

bool supersedes(const Member &left, const Member &right)
{
    if (left.m_boot != right.m_boot) {
        return left.m_boot > right.m_boot;
    }
    if (left.m_incarnation != right.m_incarnation) {
        return left.m_incarnation > right.m_incarnation;
    }
    return left.m_state > right.m_state;
}

void sendBody(EventContext &context, const Address &destination, MessageBody body)
{
    context.m_actions.m_sends.push_back({destination, std::make_shared<const MessageBody>(std::move(body))});
}

Duration jitter(Random &random, Duration bound)
{
    return Duration(static_cast<int64_t>(uniformBelow(random, static_cast<uint64_t>(std::max<int64_t>(bound.count(), 1)))));
}

int64_t ownCursor(const EventContext &context)
{
    return context.m_config.m_cursor ? context.m_config.m_cursor() : 0;
}

Heartbeat makeHeartbeat(ClusterState &state, EventContext &context)
{
    Heartbeat heartbeat;
    heartbeat.m_cursor = ownCursor(context);
    heartbeat.m_digest = state.m_digest;
    size_t bytes = 0;
    size_t taken = 0;
    std::vector<GossipItem> sent;
    for (const GossipItem &item : state.m_gossip) {
        const Member *member = currentEntry(state, item.m_address);
        const size_t size = member ? encodedSize(*member) : 0;
        if (bytes + size > HeartbeatMemberBytes) {
            break;
        }
        ++taken;
        bytes += size;
        if (member) {
            heartbeat.m_members.push_back(*member);
        }
        if (member && item.m_left > 1) {
            sent.push_back({item.m_address, item.m_left - 1});
        }
    }
    state.m_gossip.erase(state.m_gossip.begin(), state.m_gossip.begin() + static_cast<std::ptrdiff_t>(taken));
    state.m_gossip.insert(state.m_gossip.end(), sent.begin(), sent.end());
    constexpr size_t VerdictsPerHeartbeat = 4;
    for (auto &[hash, verdict] : state.m_verdicts) {
        if (verdict.m_gossipLeft > 0 && verdict.m_until > context.m_now && heartbeat.m_verdicts.size() < VerdictsPerHeartbeat) {
            --verdict.m_gossipLeft;
            heartbeat.m_verdicts.push_back({hash, std::chrono::duration_cast<milliseconds>(verdict.m_until - context.m_now)});
        }
    }
    return heartbeat;
}

int healthFactor(const ClusterState &state, TimePoint now)
{
    if (isIsolated(state, now)) {
        return MaxHealthFactor;
    }
    return std::clamp(state.m_missedAcks, 1, MaxHealthFactor);
}

Members liveMembers(const ClusterState &state)
{
    Members live;
    bool selfAdded = state.m_left;
    for (const auto &[address, record] : state.m_records) {
        if (!selfAdded && state.m_self.m_address < address) {
            live.push_back(state.m_self);
            selfAdded = true;
        }
        if (isLive(record.m_member)) {
            live.push_back(record.m_member);
        }
    }
    if (!selfAdded) {
        live.push_back(state.m_self);
    }
    return live;
}

Members failedMembers(const ClusterState &state)
{
    Members failed;
    for (const auto &[address, record] : state.m_records) {
        if (record.m_member.m_state == MemberState::Failed) {
            failed.push_back(record.m_member);
        }
    }
    return failed;
}

bool isConfigWatcher(const ClusterState &state, TimePoint now)
{
    const bool hearsNobody = now - state.m_lastHeard > NoContactLimit;
    if (state.m_left || !state.m_started) {
        return false;
    }
    if (hearsNobody) {
        return true;
    }
    if (liveCount(state) == 1) {
        // A node that knows seeds waits for their answer, so that many nodes started at once do not all read the store.
        return state.m_seeds.empty();
    }
    const std::vector<Address> watchers = ownRegionWatchers(state);
    return std::find(watchers.begin(), watchers.end(), state.m_self.m_address) != watchers.end();
}

std::vector<Address> membersBelow(const ClusterState &state, int64_t revision)
{
    std::vector<Address> below;
    for (const auto &[address, record] : state.m_records) {
        if (isLive(record.m_member) && record.m_member.m_cursor < revision) {
            below.push_back(address);
        }
    }
    return below;
}

void handleEvent(ClusterState &state,
                 const ClusterEvent &event,
                 TimePoint now,
                 Random &random,
                 const ConfigHolder &config,
                 ClusterActions &actions)
{
    EventContext context{now, random, config, actions};
    if (const auto *startEvent = std::get_if<StartEvent>(&event)) {
        start(state, *startEvent, context);
        return;
    }
    if (!state.m_started) {
        return;
    }
    if (std::holds_alternative<TickEvent>(event)) {
        tick(state, context);
    } else if (const auto *message = std::get_if<MessageEvent>(&event)) {
        receiveMessage(state, message->m_message, context);
    } else if (const auto *seeds = std::get_if<SeedsEvent>(&event)) {
        state.m_seeds = seeds->m_seeds;
        state.m_seeds.resize(std::min(state.m_seeds.size(), MaxMembers));
    } else if (const auto *oldBoot = std::get_if<OldBootEvent>(&event)) {
        answerOldBoot(state, oldBoot->m_sender, context);
    } else if (const auto *readiness = std::get_if<ReadinessEvent>(&event)) {
        changeReadiness(state, readiness->m_readiness, context);
    } else if (std::holds_alternative<LeaveEvent>(event)) {
        leave(state, context);
    } else if (const auto *watch = std::get_if<StoreChangesEvent>(&event)) {
        watchDelivered(state, watch->m_changes, context);
    } else if (const auto *verdict = std::get_if<VerdictEvent>(&event)) {
        startVerdict(state, verdict->m_verdict, context);
    } else if (const auto *poll = std::get_if<PollCursorsEvent>(&event)) {
        pollCursors(state, poll->m_revision, context);
    }
}

} // namespace Medlarramp
