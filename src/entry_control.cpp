#include "entry_control.h"

#include <algorithm>

#include <fmt/format.h>

namespace Medlarramp {

namespace {

constexpr milliseconds WatcherPoll{200}; ///< between two looks at whether this node has to watch the store
constexpr milliseconds StoreRetry{500}; ///< after a failed read; the store client spreads returning nodes further
constexpr milliseconds VmListInterval{1'000}; ///< leaves 2 s of MaxLeavingDelay for the list's own lag and a lost read
constexpr milliseconds ControlTick{50};

int64_t toCount(TimePoint time)
{
    return time.time_since_epoch().count();
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Configuration
//-----------------------------------------------------------------------------

ConfigAccess configAccess(ConfigKeeper &keeper)
{
    return [&keeper](const std::function<void(ConfigState &)> &use) {
        const std::lock_guard lock(keeper.m_mutex);
        use(keeper.m_state);
    };
}

namespace {

/** The caller holds the publish lock. */
void rebuildPools(ConfigKeeper &keeper, const std::shared_ptr<const Configuration> &configuration)
{
    Blackboard &board = keeper.m_board;
    if (!configuration || keeper.m_nodes.empty()) {
        return;
    }
    updatePools(*board.m_pools, {configuration, keeper.m_replicas, hash64(board.m_settings.m_node), keeper.m_nodes});
    keeper.m_poolsOutdated = false;
}

} // namespace

void publishState(ConfigKeeper &keeper)
{
    const std::lock_guard publishLock(keeper.m_publishMutex);
    const auto previous = snapshot(keeper.m_board.m_configuration);
    std::shared_ptr<const Configuration> configuration;
    {
        const std::lock_guard lock(keeper.m_mutex);
        configuration = buildConfiguration(keeper.m_state);
    }
    if (keeper.m_poolsOutdated || !previous || previous->m_upstreams != configuration->m_upstreams) {
        rebuildPools(keeper, configuration);
    }
    publish(keeper.m_board.m_configuration, std::move(configuration));
}

void refreshPools(ConfigKeeper &keeper, const std::vector<Replica> &replicas, std::vector<uint64_t> nodes)
{
    const std::lock_guard publishLock(keeper.m_publishMutex);
    if (!keeper.m_poolsOutdated && nodes == keeper.m_nodes && replicas == keeper.m_replicas) {
        return;
    }
    keeper.m_nodes = std::move(nodes);
    keeper.m_replicas = replicas;
    keeper.m_board.m_liveEntries = static_cast<int64_t>(keeper.m_nodes.size());
    rebuildPools(keeper, snapshot(keeper.m_board.m_configuration));
}

bool applyAndPublish(ConfigKeeper &keeper, const ConfigBatch &batch)
{
    bool changed = false;
    {
        const std::lock_guard lock(keeper.m_mutex);
        const int64_t before = keeper.m_state.m_cursor;
        changed = applyBatch(keeper.m_state, batch) || keeper.m_state.m_cursor != before;
        keeper.m_complete = keeper.m_complete || keeper.m_state.m_cursor > 0;
    }
    if (changed) {
        publishState(keeper);
    }
    return changed;
}

ConfigChanges toChanges(const ConfigBatch &batch)
{
    ConfigChanges changes;
    changes.m_previous = batch.m_from;
    changes.m_cursor = batch.m_to;
    for (const ConfigChange &change : batch.m_changes) {
        changes.m_objects.push_back({change.m_key, change.m_revision, change.m_value});
    }
    return changes;
}

namespace {

ConfigBatch toBatch(const ConfigChanges &changes)
{
    ConfigBatch batch;
    batch.m_from = changes.m_previous;
    batch.m_to = changes.m_cursor;
    for (const ConfigObject &object : changes.m_objects) {
        batch.m_changes.push_back({object.m_key, object.m_revision, object.m_content});
    }
    return batch;
}

/** What a peer is missing. A part that was cut is complete up to the revision of its last object. */
ConfigChanges missingChanges(const ConfigState &state, int64_t cursor, size_t maxBytes)
{
    const ConfigBatch batch = changesSince(state, cursor, 0, maxBytes);
    ConfigChanges changes = toChanges(batch);
    changes.m_previous = cursor;
    if (batch.m_next != 0 && !changes.m_objects.empty()) {
        changes.m_cursor = changes.m_objects.back().m_revision;
    }
    return changes;
}

} // namespace

ConfigHolder configHolder(ConfigKeeper &keeper)
{
    ConfigHolder holder;
    holder.m_cursor = [&keeper] {
        const std::lock_guard lock(keeper.m_mutex);
        return keeper.m_state.m_cursor;
    };
    holder.m_changesSince = [&keeper](int64_t cursor, size_t maxBytes) {
        const std::lock_guard lock(keeper.m_mutex);
        return missingChanges(keeper.m_state, cursor, maxBytes);
    };
    holder.m_apply = [&keeper](const ConfigChanges &changes) { applyAndPublish(keeper, toBatch(changes)); };
    return holder;
}

namespace {

bool hasToWatch(const Transport *transport)
{
    return !transport || members(*transport)->m_configWatcher;
}

void noteStoreContact(ConfigKeeper &keeper)
{
    keeper.m_storeContact = toCount(now(keeper.m_board.m_clock));
}

void spread(Transport *transport, const ConfigBatch &batch)
{
    if (transport && (!batch.m_changes.empty() || batch.m_to > batch.m_from)) {
        offerChanges(*transport, toChanges(batch));
    }
}

int64_t currentCursor(ConfigKeeper &keeper)
{
    const std::lock_guard lock(keeper.m_mutex);
    return keeper.m_state.m_cursor;
}

/** Reads what is missing. @return false when the store gave no usable answer. */
bool readStore(ConfigKeeper &keeper, Transport *transport)
{
    const absl::StatusOr<ConfigBatch> batch = readConfiguration(keeper.m_store, currentCursor(keeper));
    if (!batch.ok()) {
        writeLog(LogLevel::Warning, "config", "Store read failed.", {{"error", std::string(batch.status().message())}});
        return false;
    }
    noteStoreContact(keeper);
    applyAndPublish(keeper, *batch);
    keeper.m_complete = true;
    spread(transport, *batch);
    return true;
}

/** Watches the store from the cursor until the watch breaks or this node need not watch any more. */
void watchStore(ConfigKeeper &keeper, Transport *transport, StopSignal &stop)
{
    const int64_t cursor = currentCursor(keeper);
    WatchRequest request;
    request.m_prefix = std::string(ConfigPrefix);
    request.m_startRevision = cursor + 1;
    int64_t position = cursor;
    const absl::Status status = keeper.m_store.m_watch(
        request,
        [&](const WatchBatch &events) {
            noteStoreContact(keeper);
            const ConfigBatch batch = toBatch(position, events);
            position = std::max(position, batch.m_to);
            applyAndPublish(keeper, batch);
            spread(transport, batch);
            return hasToWatch(transport);
        },
        stop);
    if (!status.ok()) {
        writeLog(LogLevel::Warning, "config", "Store watch ended.", {{"error", std::string(status.message())}});
    }
}

} // namespace

void runConfigController(ConfigKeeper &keeper, Transport *transport, StopSignal &stop)
{
    const Clock &clock = keeper.m_board.m_clock;
    while (!isStopped(stop)) {
        // A node without any configuration reads the store itself, because there may be no peer that has one.
        if (!hasToWatch(transport) && keeper.m_complete) {
            sleepFor(clock, stop, WatcherPoll);
        } else if (!readStore(keeper, transport)) {
            sleepFor(clock, stop, StoreRetry);
        } else if (hasToWatch(transport)) {
            watchStore(keeper, transport, stop);
        }
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Membership
//-----------------------------------------------------------------------------

namespace {

absl::StatusOr<std::vector<PeerSecret>> readPeerKeys(const Settings &settings)
{
    std::vector<PeerSecret> keys;
    for (const PeerKey &key : settings.m_peerKeys) {
        const absl::StatusOr<std::string> secret = readSecret(key.m_secret);
        if (!secret.ok()) {
            return secret.status();
        }
        keys.push_back({static_cast<uint8_t>(key.m_identifier), *secret});
    }
    return keys;
}

/** A verdict travels with its remaining time, so that the clocks of nodes need not agree. */
void takeVerdict(Blackboard &board, const CrashVerdict &verdict)
{
    acceptBlame(*board.m_pools, {verdict.m_contentHash, now(board.m_clock) + verdict.m_remaining});
}

} // namespace

absl::StatusOr<TransportPointer> startMembership(Blackboard &board, ConfigKeeper &keeper, CallHandler onCall)
{
    const Settings &settings = board.m_settings;
    TransportOptions options;
    options.m_self.m_address = settings.m_peer;
    options.m_self.m_node = settings.m_node;
    options.m_self.m_region = settings.m_region;
    options.m_self.m_failureDomain = settings.m_failureDomain;
    options.m_seeds = settings.m_seeds;
    absl::StatusOr<std::vector<PeerSecret>> keys = readPeerKeys(settings);
    if (!keys.ok()) {
        return keys.status();
    }
    options.m_keys = *std::move(keys);
    options.m_config = configHolder(keeper);
    options.m_onCall = std::move(onCall);
    options.m_onVerdict = [&board](const CrashVerdict &verdict) { takeVerdict(board, verdict); };
    options.m_onMembership = [](const std::vector<MembershipChange> &changes) {
        constexpr std::array<std::string_view, 6> Names = {"joined", "replaced", "updated", "suspected", "failed", "left"};
        for (const MembershipChange &change : changes) {
            if (change.m_event != MemberEvent::Updated) {
                writeLog(LogLevel::Info,
                         "cluster",
                         "Member changed.",
                         {{"node", change.m_member.m_node}, {"event", std::string(Names.at(static_cast<size_t>(change.m_event)))}});
            }
        }
    };
    return startTransport(board.m_clock, std::move(options));
}

std::vector<NodeCursor> nodeCursors(ConfigKeeper &keeper, Transport *transport)
{
    const int64_t own = currentCursor(keeper);
    std::vector<NodeCursor> cursors;
    if (!transport) {
        return {{keeper.m_board.m_settings.m_node, own}};
    }
    pollMembersBelow(*transport, own);
    const auto view = members(*transport);
    for (const Member &member : view->m_live) {
        const bool self = member.m_address == view->m_self.m_address;
        cursors.push_back({member.m_node, self ? own : member.m_cursor});
    }
    return cursors;
}

//-----------------------------------------------------------------------------
// [SECTION] Upstreams
//-----------------------------------------------------------------------------

namespace {

/** Reads the VM list; keeps what was read last when it does not answer. */
void readVmList(UpstreamController &controller)
{
    if (!controller.m_vmList.m_fetch) {
        return;
    }
    absl::StatusOr<std::vector<Replica>> vms = controller.m_vmList.m_fetch();
    if (!vms.ok()) {
        writeLog(LogLevel::Warning, "upstreams", "VM list failed.", {{"error", std::string(vms.status().message())}});
        return;
    }
    std::vector<Address> entries;
    std::vector<Replica> replicas;
    for (Replica &vm : *vms) {
        if (!vm.m_pool.empty()) {
            replicas.push_back(std::move(vm));
        } else if (vm.m_state == ReplicaState::Live) {
            entries.push_back(vm.m_address);
        }
    }
    if (controller.m_transport && !entries.empty()) {
        setSeeds(*controller.m_transport, std::move(entries));
    }
    controller.m_replicas = std::move(replicas);
}

/** Keys of the live entries that take requests. */
std::vector<uint64_t> liveEntryKeys(Blackboard &board, const Transport *transport)
{
    std::vector<uint64_t> keys;
    if (transport) {
        const auto view = members(*transport);
        for (const Member &member : view->m_live) {
            if (member.m_readiness != Readiness::Draining && member.m_node != board.m_settings.m_node) {
                keys.push_back(hash64(member.m_node));
            }
        }
    }
    keys.push_back(hash64(board.m_settings.m_node));
    std::sort(keys.begin(), keys.end());
    return keys;
}

Duration since(TimePoint time, TimePoint current)
{
    return current - time;
}

TimePoint storeContact(const ConfigKeeper &keeper)
{
    return TimePoint(Duration(keeper.m_storeContact.load()));
}

/** A node cut off from the store and from peers it knew cannot learn of changes, so it is not ready. */
bool hasContact(const ConfigKeeper &keeper, const Transport *transport, bool knewPeers)
{
    if (!knewPeers || !transport) {
        return true;
    }
    const TimePoint current = now(keeper.m_board.m_clock);
    return since(members(*transport)->m_lastHeard, current) < NoContactLimit || since(storeContact(keeper), current) < NoContactLimit;
}

/** A node that hears no peer asks the store itself, because a quiet watch does not tell whether it still works. */
void seekContact(ConfigKeeper &keeper, Transport *transport, bool knewPeers)
{
    constexpr seconds ContactInterval{1};
    if (!knewPeers || !transport) {
        return;
    }
    const TimePoint current = now(keeper.m_board.m_clock);
    const bool alone = since(members(*transport)->m_lastHeard, current) > NoContactLimit / 2;
    if (alone && since(storeContact(keeper), current) > ContactInterval) {
        readStore(keeper, transport);
    }
}

/** Whether this node has every change that a live member has. */
bool hasCaughtUp(ConfigKeeper &keeper, const Transport *transport)
{
    if (!transport) {
        return true;
    }
    const int64_t own = currentCursor(keeper);
    const auto view = members(*transport);
    return std::all_of(view->m_live.begin(), view->m_live.end(), [own](const Member &member) { return member.m_cursor <= own; });
}

void updateReadiness(ConfigKeeper &keeper, Transport *transport, bool knewPeers)
{
    Blackboard &board = keeper.m_board;
    // A started node catches up before it is ready; later it lags by no more than the way of a change.
    const bool current = board.m_ready || hasCaughtUp(keeper, transport);
    const bool ready = keeper.m_complete && current && snapshot(board.m_configuration) && hasContact(keeper, transport, knewPeers);
    if (board.m_ready.exchange(ready) != ready) {
        writeLog(LogLevel::Info, "entry", ready ? "Ready." : "Not ready.");
    }
    if (transport) {
        const Readiness wanted = board.m_draining ? Readiness::Draining : ready ? Readiness::Ready : Readiness::Starting;
        if (members(*transport)->m_self.m_readiness != wanted) {
            setReadiness(*transport, wanted);
        }
    }
}

void exposeState(ConfigKeeper &keeper, const Transport *transport)
{
    Metrics &metrics = *keeper.m_board.m_metrics;
    setGauge(metrics, "configuration_cursor", static_cast<double>(currentCursor(keeper)));
    setGauge(metrics, "open_requests", static_cast<double>(keeper.m_board.m_openRequests.load()));
    setGauge(metrics, "ready", keeper.m_board.m_ready ? 1 : 0);
    setGauge(metrics, "live_entries", static_cast<double>(keeper.m_board.m_liveEntries.load()));
    setGauge(metrics, "store_lost_answers", static_cast<double>(keeper.m_counters->m_lostAnswers.load()));
    for (size_t i = 0; i < static_cast<size_t>(StorePurpose::Count); ++i) {
        const std::string purpose(toString(static_cast<StorePurpose>(i)));
        setGauge(metrics, "store_calls_" + purpose, static_cast<double>(keeper.m_counters->m_calls[i].load()));
    }
    if (transport) {
        setGauge(metrics, "config_watcher", members(*transport)->m_configWatcher ? 1 : 0);
    }
    for (const PoolStatus &pool : poolStatus(*keeper.m_board.m_pools)) {
        setGauge(metrics, "pool_usable_" + pool.m_name, static_cast<double>(pool.m_usable));
        setGauge(metrics, "pool_running_" + pool.m_name, static_cast<double>(pool.m_running));
        setGauge(metrics, "pool_queued_" + pool.m_name, static_cast<double>(pool.m_queuedUrgent + pool.m_queuedBatch));
    }
}

} // namespace

void runUpstreamController(UpstreamController &controller, StopSignal &stop)
{
    ConfigKeeper &keeper = controller.m_keeper;
    Blackboard &board = keeper.m_board;
    TimePoint nextRead{};
    bool knewPeers = false;
    do {
        const TimePoint current = now(board.m_clock);
        if (current >= nextRead) {
            nextRead = current + VmListInterval;
            readVmList(controller);
            seekContact(keeper, controller.m_transport, knewPeers);
            exposeState(keeper, controller.m_transport);
        }
        std::vector<uint64_t> nodes = liveEntryKeys(board, controller.m_transport);
        knewPeers = knewPeers || nodes.size() > 1;
        refreshPools(keeper, controller.m_replicas, std::move(nodes));
        updateReadiness(keeper, controller.m_transport, knewPeers);
        tickPools(*board.m_pools);
    } while (sleepFor(board.m_clock, stop, ControlTick));
}

} // namespace Medlarramp
