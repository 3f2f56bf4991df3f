#include "cluster_internal.h"

#include <algorithm>

namespace Medlarramp {

namespace {

SpreadHeader *spreadHeader(MessageBody &body)
{
    if (auto *membership = std::get_if<Membership>(&body)) {
        return &membership->m_spread;
    }
    if (auto *change = std::get_if<ConfigChangeMessage>(&body)) {
        return &change->m_spread;
    }
    if (auto *verdict = std::get_if<CrashVerdictSpread>(&body)) {
        return &verdict->m_spread;
    }
    return nullptr;
}

const SpreadHeader *spreadHeader(const MessageBody &body)
{
    return spreadHeader(const_cast<MessageBody &>(body));
}

uint64_t addressHash(const Address &address)
{
    return hash64(address.m_host, static_cast<uint64_t>(address.m_port));
}

uint64_t spreadToken(const SpreadHeader &spread)
{
    return combineHash(spread.m_identifier, combineHash(addressHash(spread.m_begin), addressHash(spread.m_end)));
}

bool isServed(const ClusterState &state, const Member &member, bool regional)
{
    return isLive(member) && (!regional || member.m_region == state.m_self.m_region);
}

/** Live members in [begin, end) in ring order, without this node and @p without. */
std::vector<Address> ringRange(const ClusterState &state, const SpreadHeader &spread, const Address &without)
{
    std::vector<Address> ring;
    const auto add = [&](const auto &entry) {
        const bool isWanted = isServed(state, entry.second.m_member, spread.m_regional) && entry.first != without;
        if (isWanted && isInRing(entry.first, spread.m_begin, spread.m_end)) {
            ring.push_back(entry.first);
        }
    };
    const auto first = state.m_records.lower_bound(spread.m_begin);
    std::for_each(first, state.m_records.end(), add);
    std::for_each(state.m_records.begin(), first, add);
    return ring;
}

void sendPending(ClusterState &state, const Address &child, MessageBody body, EventContext &context)
{
    const uint64_t token = spreadToken(*spreadHeader(body));
    auto shared = std::make_shared<const MessageBody>(std::move(body));
    context.m_actions.m_sends.push_back({child, shared});
    if (state.m_pending.size() < MaxPendingSpreads) {
        state.m_pending.push_back({token, child, std::move(shared), context.m_now + SpreadTimeout, 1});
    }
}

void sendBranches(ClusterState &state, const std::vector<Address> &ring, const Address &end, const MessageBody &body, EventContext &context)
{
    const SpreadHeader &spread = *spreadHeader(body);
    // The watchers take turns as root, which sends more than an inner node does; they forward nothing besides.
    const std::vector<Address> leaves = spread.m_regional && ring.size() > TreeFanOut ? ownRegionWatchers(state) : std::vector<Address>();
    for (const TreeBranch &branch : treeBranches(ring, end, spread.m_identifier, leaves)) {
        MessageBody copy = body;
        spreadHeader(copy)->m_begin = branch.m_begin;
        spreadHeader(copy)->m_end = branch.m_end;
        sendPending(state, branch.m_child, std::move(copy), context);
    }
}

bool rememberSpread(ClusterState &state, uint64_t token)
{
    if (std::find(state.m_seenSpreads.begin(), state.m_seenSpreads.end(), token) != state.m_seenSpreads.end()) {
        return false;
    }
    state.m_seenSpreads.push_back(token);
    if (state.m_seenSpreads.size() > MaxSeenSpreads) {
        state.m_seenSpreads.pop_front();
    }
    return true;
}

void forwardToRange(ClusterState &state, const Address &sender, const MessageBody &body, EventContext &context)
{
    const SpreadHeader &spread = *spreadHeader(body);
    sendBranches(state, ringRange(state, spread, sender), spread.m_end, body, context);
}

/** Acknowledges. True when the message is to be forwarded: it is part of a tree and has not been forwarded before. */
bool acceptSpread(ClusterState &state, const Address &sender, const SpreadHeader &spread, EventContext &context)
{
    if (spread.m_identifier == 0) {
        return false;
    }
    const uint64_t token = spreadToken(spread);
    sendBody(context, sender, SpreadAck{token});
    return rememberSpread(state, token);
}

bool isAlive(const ClusterState &state, const Address &address)
{
    const auto found = state.m_records.find(address);
    return found != state.m_records.end() && found->second.m_member.m_state == MemberState::Alive;
}

/** Serves the range of a child that does not answer. */
void adoptRange(ClusterState &state, const PendingSpread &pending, EventContext &context)
{
    const SpreadHeader &spread = *spreadHeader(*pending.m_body);
    sendBranches(state, ringRange(state, spread, pending.m_child), spread.m_end, *pending.m_body, context);
}

//-----------------------------------------------------------------------------
// Configuration
//-----------------------------------------------------------------------------

/** Raises the cursor over ranges that were applied before the gap below them was closed. */
void closeRanges(ClusterState &state, EventContext &context)
{
    bool raised = true;
    while (raised) {
        raised = false;
        for (const RevisionRange &range : state.m_ranges) {
            const int64_t cursor = ownCursor(context);
            if (range.m_previous <= cursor && range.m_cursor > cursor) {
                context.m_config.m_apply({{}, range.m_previous, range.m_cursor});
                raised = true;
            }
        }
    }
    const int64_t cursor = ownCursor(context);
    std::erase_if(state.m_ranges, [cursor](const RevisionRange &range) { return range.m_cursor <= cursor; });
}

void applyChanges(ClusterState &state, const ConfigChanges &changes, EventContext &context)
{
    if (!context.m_config.m_apply) {
        return;
    }
    const bool leavesGap = changes.m_previous > ownCursor(context);
    context.m_config.m_apply(changes);
    if (leavesGap && !changes.m_objects.empty() && state.m_ranges.size() < MaxRanges) {
        state.m_ranges.push_back({changes.m_previous, changes.m_cursor});
    }
    closeRanges(state, context);
    state.m_self.m_cursor = ownCursor(context);
}

uint64_t changeIdentifier(const ConfigChanges &changes)
{
    const uint64_t identifier = combineHash(static_cast<uint64_t>(changes.m_cursor), static_cast<uint64_t>(changes.m_previous) + 1);
    return identifier == 0 ? 1 : identifier;
}

/** What the tree carries for @p changes in the node's mode. */
ConfigChanges treeContent(const ClusterState &state, const ConfigChanges &changes, EventContext &context)
{
    switch (state.m_mode) {
    case SpreadMode::Tree:
        break;
    case SpreadMode::NoticeAndPull:
        return {{}, changes.m_cursor, changes.m_cursor};
    case SpreadMode::FullCopies: {
        ConfigChanges all = context.m_config.m_changesSince(0, MaxConfigContentBytes);
        all.m_previous = 0;
        return all;
    }
    }
    return changes;
}

/** Larger sets, such as what a node reads when its watch begins, are left to the pull, which transfers them in parts. */
bool fitsTree(const ConfigChanges &changes)
{
    size_t bytes = 0;
    for (const ConfigObject &object : changes.m_objects) {
        bytes += object.m_key.size() + object.m_content.size();
    }
    return bytes <= MaxConfigBatchBytes && changes.m_objects.size() <= MaxObjectsPerMessage;
}

void sendChange(ClusterState &state, const ConfigChanges &changes, EventContext &context)
{
    state.m_treeCursor = std::max(state.m_treeCursor, changes.m_cursor);
    startSpread(state, ConfigChangeMessage{{}, treeContent(state, changes, context)}, changeIdentifier(changes), true, context);
}

/**
 * Position of this node among the watchers for one change. The first place rotates with the revision, because the
 * root of a tree sends several times as much as other nodes.
 */
size_t watcherRank(const ClusterState &state, int64_t cursor)
{
    const std::vector<Address> watchers = ownRegionWatchers(state);
    const auto found = std::find(watchers.begin(), watchers.end(), state.m_self.m_address);
    if (found == watchers.end()) {
        return watchers.size();
    }
    const auto position = static_cast<size_t>(found - watchers.begin());
    return (position + static_cast<size_t>(cursor)) % watchers.size();
}

void tickStaggered(ClusterState &state, EventContext &context)
{
    std::vector<StaggeredChange> due;
    std::erase_if(state.m_staggered, [&](const StaggeredChange &staggered) {
        if (staggered.m_changes->m_cursor <= state.m_treeCursor) {
            return true;
        }
        if (context.m_now < staggered.m_sendAt) {
            return false;
        }
        due.push_back(staggered);
        return true;
    });
    for (const StaggeredChange &staggered : due) {
        sendChange(state, *staggered.m_changes, context);
    }
}

Address chooseHolder(const ClusterState &state, EventContext &context)
{
    std::vector<Address> holders;
    for (const auto &[address, record] : state.m_records) {
        if (isLive(record.m_member) && record.m_member.m_cursor > ownCursor(context)) {
            holders.push_back(address);
        }
    }
    return holders.empty() ? state.m_highestPeer : holders[uniformBelow(context.m_random, holders.size())];
}

void sendPull(ClusterState &state, const Address &peer, EventContext &context)
{
    ++state.m_counters.m_pulls;
    state.m_pullAt = context.m_now + PullTimeout;
    sendBody(context, peer, ConfigPullMessage{ownCursor(context)});
}

void tickPull(ClusterState &state, EventContext &context)
{
    const int64_t cursor = ownCursor(context);
    if (state.m_highestCursor <= cursor || !context.m_config.m_apply) {
        state.m_pullTarget = 0;
        return;
    }
    if (state.m_pullTarget <= cursor) {
        state.m_pullTarget = state.m_highestCursor;
        state.m_pullAt = context.m_now + PullGrace + jitter(context.m_random, PullGrace / 2);
        return;
    }
    if (context.m_now >= state.m_pullAt) {
        sendPull(state, chooseHolder(state, context), context);
    }
}

void forwardNotices(ClusterState &state, EventContext &context)
{
    const int64_t cursor = ownCursor(context);
    std::vector<PendingNotice> due;
    std::erase_if(state.m_notices, [&](const PendingNotice &notice) {
        if (notice.m_cursor > cursor) {
            return false;
        }
        due.push_back(notice);
        return true;
    });
    for (const PendingNotice &notice : due) {
        forwardToRange(state, notice.m_sender, ConfigChangeMessage{notice.m_spread, {{}, notice.m_cursor, notice.m_cursor}}, context);
    }
}

/** A notice without content: pulls from its sender and forwards once the change is held. */
void receiveNotice(ClusterState &state, const Address &sender, const ConfigChangeMessage &change, EventContext &context)
{
    if (acceptSpread(state, sender, change.m_spread, context) && state.m_notices.size() < MaxNotices) {
        state.m_notices.push_back({change.m_spread, change.m_changes.m_cursor, sender});
    }
    if (change.m_changes.m_cursor > ownCursor(context)) {
        state.m_pullTarget = change.m_changes.m_cursor;
        sendPull(state, sender, context);
    }
    forwardNotices(state, context);
}

void storeVerdict(ClusterState &state, const CrashVerdict &verdict, EventContext &context)
{
    constexpr int VerdictTransmissions = 8;
    if (state.m_verdicts.size() >= MaxVerdicts && !state.m_verdicts.contains(verdict.m_contentHash)) {
        const auto earliest = std::min_element(state.m_verdicts.begin(), state.m_verdicts.end(), [](const auto &left, const auto &right) {
            return left.second.m_until < right.second.m_until;
        });
        state.m_verdicts.erase(earliest);
    }
    const milliseconds remaining = std::min<milliseconds>(verdict.m_remaining, MaxVerdictTime);
    state.m_verdicts[verdict.m_contentHash] = {context.m_now + remaining, VerdictTransmissions};
    context.m_actions.m_verdicts.push_back({verdict.m_contentHash, remaining});
}

bool isOneOf(const std::vector<Address> &addresses, const Address &address)
{
    return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

using ScoredAddress = std::pair<uint64_t, Address>;

void addScore(const Member &member, const std::string &region, std::vector<ScoredAddress> &scored)
{
    if (isLive(member) && member.m_region == region && member.m_readiness != Readiness::Draining) {
        scored.emplace_back(combineHash(addressHash(member.m_address), hash64(region)), member.m_address);
    }
}

std::vector<Address> bestScores(std::vector<ScoredAddress> scored)
{
    const size_t count = std::min(scored.size(), ConfigWatchersPerRegion);
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count), scored.end(), std::greater<>());
    std::vector<Address> watchers;
    for (size_t i = 0; i < count; ++i) {
        watchers.push_back(scored[i].second);
    }
    return watchers;
}

} // namespace

//-----------------------------------------------------------------------------
// Pure functions
//-----------------------------------------------------------------------------

std::vector<Address> configWatchers(const Members &members, const std::string &region)
{
    std::vector<ScoredAddress> scored;
    for (const Member &member : members) {
        addScore(member, region, scored);
    }
    return bestScores(std::move(scored));
}

std::vector<Address> ownRegionWatchers(const ClusterState &state)
{
    std::vector<ScoredAddress> scored;
    addScore(state.m_self, state.m_self.m_region, scored);
    for (const auto &[address, record] : state.m_records) {
        addScore(record.m_member, state.m_self.m_region, scored);
    }
    return bestScores(std::move(scored));
}

bool isInRing(const Address &address, const Address &begin, const Address &end)
{
    if (begin < end) {
        return begin <= address && address < end;
    }
    return begin <= address || address < end;
}

std::vector<TreeBranch>
treeBranches(const std::vector<Address> &ring, const Address &end, uint64_t choice, const std::vector<Address> &leaves)
{
    std::vector<TreeBranch> branches;
    const size_t count = std::min(TreeFanOut, ring.size());
    for (size_t i = 0; i < count; ++i) {
        const size_t first = ring.size() * i / count;
        const size_t last = ring.size() * (i + 1) / count;
        size_t child = first + combineHash(choice, addressHash(ring[first])) % (last - first);
        for (size_t tried = first; tried < last && isOneOf(leaves, ring[child]); ++tried) {
            child = child + 1 < last ? child + 1 : first;
        }
        branches.push_back({ring[child], ring[first], last < ring.size() ? ring[last] : end});
    }
    return branches;
}

//-----------------------------------------------------------------------------
// Tree
//-----------------------------------------------------------------------------

void startSpread(ClusterState &state, const MessageBody &body, uint64_t identifier, bool regional, EventContext &context)
{
    ++state.m_counters.m_spreads;
    MessageBody copy = body;
    SpreadHeader &spread = *spreadHeader(copy);
    // The range of the root is the whole ring after its own address.
    spread = {identifier == 0 ? 1 : identifier, regional, state.m_self.m_address, state.m_self.m_address};
    sendBranches(state, ringRange(state, spread, state.m_self.m_address), state.m_self.m_address, copy, context);
}

void forwardSpread(ClusterState &state, const Address &sender, const MessageBody &body, EventContext &context)
{
    if (acceptSpread(state, sender, *spreadHeader(body), context)) {
        forwardToRange(state, sender, body, context);
    }
}

void acknowledgeSpread(ClusterState &state, const Address &sender, const SpreadAck &ack)
{
    std::erase_if(state.m_pending,
                  [&](const PendingSpread &pending) { return pending.m_token == ack.m_token && pending.m_child == sender; });
}

void retrySpreads(ClusterState &state, EventContext &context)
{
    std::vector<PendingSpread> adopted;
    for (PendingSpread &pending : state.m_pending) {
        if (context.m_now < pending.m_deadline) {
            continue;
        }
        ++state.m_counters.m_spreadRetries;
        ++pending.m_attempts;
        pending.m_deadline = context.m_now + SpreadTimeout;
        if (pending.m_attempts >= SpreadAttempts || !isAlive(state, pending.m_child)) {
            adopted.push_back(pending);
            pending.m_attempts = SpreadAttempts;
        }
        context.m_actions.m_sends.push_back({pending.m_child, pending.m_body});
    }
    std::erase_if(state.m_pending, [](const PendingSpread &pending) { return pending.m_attempts >= SpreadAttempts; });
    for (const PendingSpread &pending : adopted) {
        adoptRange(state, pending, context);
    }
}

//-----------------------------------------------------------------------------
// Configuration
//-----------------------------------------------------------------------------

void watchDelivered(ClusterState &state, const ConfigChanges &changes, EventContext &context)
{
    applyChanges(state, changes, context);
    forwardNotices(state, context);
    if (state.m_left || changes.m_objects.empty() || changes.m_cursor <= state.m_treeCursor || !fitsTree(changes)) {
        return;
    }
    const size_t rank = watcherRank(state, changes.m_cursor);
    if (rank == 0) {
        sendChange(state, changes, context);
    } else if (state.m_staggered.size() < MaxStaggered) {
        const TimePoint sendAt = context.m_now + WatcherStagger * static_cast<int64_t>(rank);
        state.m_staggered.push_back({std::make_shared<const ConfigChanges>(changes), sendAt});
    }
}

void receiveConfigChange(ClusterState &state, const Address &sender, const ConfigChangeMessage &change, EventContext &context)
{
    state.m_treeCursor = std::max(state.m_treeCursor, change.m_changes.m_cursor);
    const bool isNotice = change.m_changes.m_objects.empty() && change.m_changes.m_previous == change.m_changes.m_cursor;
    if (isNotice) {
        receiveNotice(state, sender, change, context);
        return;
    }
    applyChanges(state, change.m_changes, context);
    forwardSpread(state, sender, change, context);
    noteCursor(state, sender, change.m_changes.m_cursor, context);
}

void answerConfigPull(const ClusterState &state, const Address &sender, const ConfigPullMessage &pull, EventContext &context)
{
    if (state.m_left || !context.m_config.m_changesSince || pull.m_cursor >= ownCursor(context)) {
        return;
    }
    ConfigChanges changes = context.m_config.m_changesSince(pull.m_cursor, MaxConfigBatchBytes);
    changes.m_previous = pull.m_cursor;
    if (changes.m_objects.size() > MaxObjectsPerMessage) {
        changes.m_objects.resize(MaxObjectsPerMessage);
        changes.m_cursor = changes.m_objects.back().m_revision;
    }
    sendBody(context, sender, ConfigBatchMessage{std::move(changes)});
}

void receiveConfigBatch(ClusterState &state, const Address &sender, const ConfigBatchMessage &batch, EventContext &context)
{
    const int64_t before = ownCursor(context);
    applyChanges(state, batch.m_changes, context);
    forwardNotices(state, context);
    const int64_t cursor = ownCursor(context);
    if (cursor > before && cursor < state.m_pullTarget) {
        sendPull(state, sender, context);
    }
}

void noteCursor(ClusterState &state, const Address &peer, int64_t cursor, EventContext &context)
{
    if (cursor > ownCursor(context) && cursor >= state.m_highestCursor) {
        state.m_highestCursor = cursor;
        state.m_highestPeer = peer;
    }
}

void tickConfig(ClusterState &state, EventContext &context)
{
    state.m_self.m_cursor = ownCursor(context);
    tickStaggered(state, context);
    tickPull(state, context);
    std::erase_if(state.m_verdicts, [&context](const auto &entry) { return entry.second.m_until <= context.m_now; });
}

//-----------------------------------------------------------------------------
// Crash verdicts
//-----------------------------------------------------------------------------

void startVerdict(ClusterState &state, const CrashVerdict &verdict, EventContext &context)
{
    if (state.m_left) {
        return;
    }
    storeVerdict(state, verdict, context);
    const uint64_t identifier = combineHash(verdict.m_contentHash, nextRandom(context.m_random));
    startSpread(state, CrashVerdictSpread{{}, verdict}, identifier, false, context);
}

void receiveVerdict(ClusterState &state, const CrashVerdict &verdict, EventContext &context)
{
    // Copies of one verdict arrive with times that differ by their travel; only a clearly longer time is news.
    constexpr seconds Tolerance{2};
    const auto known = state.m_verdicts.find(verdict.m_contentHash);
    const TimePoint until = context.m_now + std::min<milliseconds>(verdict.m_remaining, MaxVerdictTime);
    const bool isNews = known == state.m_verdicts.end() || until > known->second.m_until + Tolerance;
    if (isNews && verdict.m_remaining > milliseconds(0)) {
        storeVerdict(state, verdict, context);
    }
}

std::vector<CrashVerdict> heldVerdicts(const ClusterState &state, TimePoint now)
{
    std::vector<CrashVerdict> verdicts;
    for (const auto &[hash, verdict] : state.m_verdicts) {
        if (verdict.m_until > now) {
            verdicts.push_back({hash, std::chrono::duration_cast<milliseconds>(verdict.m_until - now)});
        }
    }
    return verdicts;
}

} // namespace Medlarramp
