#include "virtual_cluster.h"

#include <algorithm>

#include <fmt/format.h>

namespace Medlarramp {

namespace {

constexpr size_t UdpOverhead = 28; ///< IPv4 and UDP headers
constexpr size_t TcpOverhead = 320; ///< handshake, acknowledgements and end of one short connection
constexpr size_t TcpSegmentBytes = 1'448;
constexpr size_t TcpSegmentOverhead = 40;
constexpr milliseconds StoreDelay{3};
constexpr milliseconds WatchCheckInterval{250};

void schedule(VirtualCluster &cluster, TimePoint at, std::function<void()> run)
{
    cluster.m_events.push({at, cluster.m_nextOrder++, std::move(run)});
}

bool isCut(const VirtualCluster &cluster, const VirtualNode &left, const VirtualNode &right)
{
    return cluster.m_cutRegions.contains({left.m_self.m_region, right.m_self.m_region});
}

Duration linkDelay(VirtualCluster &cluster, const VirtualNode &from, const VirtualNode &to)
{
    const VirtualNetwork &network = cluster.m_network;
    const auto span = static_cast<uint64_t>((network.m_maxDelay - network.m_minDelay).count() + 1);
    const Duration base = network.m_minDelay + Duration(static_cast<int64_t>(uniformBelow(cluster.m_random, span)));
    return from.m_self.m_region == to.m_self.m_region ? base : base + network.m_regionDelay;
}

void recordHeld(VirtualCluster &cluster, VirtualNode &node, int64_t from, int64_t to)
{
    for (int64_t revision = from + 1; revision <= to; ++revision) {
        CommittedChange &change = cluster.m_store[static_cast<size_t>(revision - 1)];
        change.m_heldAt.try_emplace(node.m_index, cluster.m_now);
        const auto held = node.m_config.m_objects.find(change.m_object.m_key);
        if (held == node.m_config.m_objects.end() || held->second.m_revision < revision) {
            cluster.m_violations.push_back(fmt::format("node {} has cursor {} but not {}", node.m_index, to, revision));
        }
    }
}

void applyConfig(VirtualCluster &cluster, VirtualNode &node, const ConfigChanges &changes)
{
    VirtualConfig &config = node.m_config;
    for (const ConfigObject &object : changes.m_objects) {
        ConfigObject &held = config.m_objects[object.m_key];
        if (object.m_revision <= held.m_revision) {
            continue;
        }
        config.m_byRevision.erase(held.m_revision);
        config.m_byRevision[object.m_revision] = object.m_key;
        held = object;
        if (static_cast<size_t>(object.m_revision) <= cluster.m_store.size()) {
            cluster.m_store[static_cast<size_t>(object.m_revision - 1)].m_heldAt.try_emplace(node.m_index, cluster.m_now);
        }
    }
    if (config.m_cursor >= changes.m_previous && changes.m_cursor > config.m_cursor) {
        recordHeld(cluster, node, config.m_cursor, changes.m_cursor);
        config.m_cursor = changes.m_cursor;
    }
}

ConfigChanges readConfig(const VirtualConfig &config, int64_t cursor, size_t maxBytes)
{
    ConfigChanges changes;
    changes.m_previous = cursor;
    size_t bytes = 0;
    for (auto it = config.m_byRevision.upper_bound(cursor); it != config.m_byRevision.end() && it->first <= config.m_cursor; ++it) {
        const ConfigObject &object = config.m_objects.at(it->second);
        bytes += object.m_key.size() + object.m_content.size() + 24;
        if (!changes.m_objects.empty() && bytes > maxBytes) {
            changes.m_cursor = changes.m_objects.back().m_revision;
            return changes;
        }
        changes.m_objects.push_back(object);
    }
    changes.m_cursor = config.m_cursor;
    return changes;
}

size_t wireBytes(Channel channel, size_t bytes)
{
    if (channel == Channel::Datagram) {
        return bytes + UdpOverhead;
    }
    return bytes + TcpOverhead + bytes / TcpSegmentBytes * TcpSegmentOverhead;
}

void receive(VirtualCluster &cluster, VirtualNode &node, Channel channel, const std::string &bytes)
{
    if (!node.m_running) {
        return;
    }
    if (node.m_paused) {
        node.m_backlog.emplace_back(channel, bytes);
        return;
    }
    ++node.m_traffic.m_messagesReceived;
    node.m_traffic.m_bytesReceived += wireBytes(channel, bytes.size());
    DecodeResult result = decodeMessage(node.m_codec, bytes, channel, cluster.m_now);
    if (result.m_oldBoot) {
        feed(cluster, node.m_index, OldBootEvent{result.m_message.m_sender});
    }
    if (result.m_reason != Reason::None) {
        ++node.m_drops[static_cast<size_t>(result.m_reason)];
        return;
    }
    feed(cluster, node.m_index, MessageEvent{std::move(result.m_message)});
}

void deliver(VirtualCluster &cluster, const VirtualNode &from, const Address &destination, Channel channel, const std::string &bytes)
{
    const auto found = cluster.m_byAddress.find(destination);
    if (found == cluster.m_byAddress.end()) {
        return;
    }
    VirtualNode &to = *cluster.m_nodes[found->second];
    const bool isDatagram = channel == Channel::Datagram;
    if (isCut(cluster, from, to) || (isDatagram && uniformReal(cluster.m_random) < cluster.m_network.m_loss)) {
        return;
    }
    const int copies = isDatagram && uniformReal(cluster.m_random) < cluster.m_network.m_duplicates ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        // A connection is opened first, which takes one more round trip.
        const Duration delay = isDatagram ? linkDelay(cluster, from, to) : 3 * linkDelay(cluster, from, to);
        const uint64_t generation = to.m_generation;
        schedule(cluster, cluster.m_now + delay, [&cluster, &to, channel, bytes, generation, isDatagram] {
            if (isDatagram || to.m_generation == generation) {
                receive(cluster, to, channel, bytes);
            }
        });
    }
}

void sendAll(VirtualCluster &cluster, VirtualNode &node, const std::vector<SendAction> &sends)
{
    for (const SendAction &action : sends) {
        Channel channel = Channel::Datagram;
        auto bytes = encodeMessage(node.m_codec, node.m_state.m_self.m_boot, action.m_destination, channel, *action.m_body);
        if (!bytes) {
            channel = Channel::Stream;
            bytes = encodeMessage(node.m_codec, node.m_state.m_self.m_boot, action.m_destination, channel, *action.m_body);
        }
        if (!bytes) {
            cluster.m_violations.push_back(fmt::format("node {} made a message above the bound", node.m_index));
            continue;
        }
        ++node.m_traffic.m_messagesSent;
        node.m_traffic.m_bytesSent += wireBytes(channel, bytes->size());
        deliver(cluster, node, action.m_destination, channel, *bytes);
    }
}

/** Gives a watching node what the store holds above its watch cursor. */
void deliverWatch(VirtualCluster &cluster, VirtualNode &node, uint64_t generation)
{
    const auto head = static_cast<int64_t>(cluster.m_store.size());
    if (!node.m_running || node.m_paused || node.m_generation != generation || !node.m_watching || !node.m_storeReachable) {
        return;
    }
    if (node.m_watchCursor >= head) {
        return;
    }
    ConfigChanges changes{{}, node.m_watchCursor, head};
    for (int64_t revision = node.m_watchCursor + 1; revision <= head; ++revision) {
        changes.m_objects.push_back(cluster.m_store[static_cast<size_t>(revision - 1)].m_object);
    }
    node.m_watchCursor = head;
    feed(cluster, node.m_index, StoreChangesEvent{std::move(changes)});
}

void scheduleWatch(VirtualCluster &cluster, VirtualNode &node)
{
    const uint64_t generation = node.m_generation;
    const Duration delay = StoreDelay + Duration(static_cast<int64_t>(uniformBelow(cluster.m_random, 3'000)));
    schedule(cluster, cluster.m_now + delay, [&cluster, &node, generation] { deliverWatch(cluster, node, generation); });
}

void checkWatch(VirtualCluster &cluster, VirtualNode &node, uint64_t generation)
{
    if (!node.m_running || node.m_generation != generation) {
        return;
    }
    const bool watches = !node.m_paused && node.m_storeReachable && isConfigWatcher(node.m_state, cluster.m_now);
    if (watches && !node.m_watching) {
        node.m_watchCursor = node.m_config.m_cursor;
    }
    node.m_watching = watches;
    if (watches) {
        scheduleWatch(cluster, node);
    }
    schedule(cluster, cluster.m_now + WatchCheckInterval, [&cluster, &node, generation] { checkWatch(cluster, node, generation); });
}

void tickNode(VirtualCluster &cluster, VirtualNode &node, uint64_t generation)
{
    if (!node.m_running || node.m_generation != generation) {
        return;
    }
    if (!node.m_paused) {
        feed(cluster, node.m_index, TickEvent{});
    }
    schedule(cluster, cluster.m_now + TickInterval, [&cluster, &node, generation] { tickNode(cluster, node, generation); });
}

ConfigHolder makeAccess(VirtualCluster &cluster, VirtualNode &node)
{
    ConfigHolder access;
    access.m_cursor = [&node] { return node.m_config.m_cursor; };
    access.m_changesSince = [&node](int64_t cursor, size_t maxBytes) { return readConfig(node.m_config, cursor, maxBytes); };
    access.m_apply = [&cluster, &node](const ConfigChanges &changes) { applyConfig(cluster, node, changes); };
    return access;
}

} // namespace

VirtualNode &addNode(VirtualCluster &cluster, const std::string &region, const std::string &failureDomain)
{
    const size_t index = cluster.m_nodes.size();
    auto node = std::make_unique<VirtualNode>();
    node->m_index = index;
    node->m_self.m_address = {fmt::format("10.0.{}.{}", index / 200, index % 200 + 1), 8'081};
    node->m_self.m_node = fmt::format("entry-{}", index);
    node->m_self.m_region = region;
    node->m_self.m_failureDomain = failureDomain;
    node->m_self.m_readiness = Readiness::Ready;
    node->m_random.m_state = nextRandom(cluster.m_random);
    cluster.m_byAddress[node->m_self.m_address] = index;
    cluster.m_nodes.push_back(std::move(node));
    return *cluster.m_nodes.back();
}

void startNode(VirtualCluster &cluster, size_t index, std::vector<Address> seeds)
{
    VirtualNode &node = *cluster.m_nodes[index];
    node.m_running = true;
    node.m_paused = false;
    node.m_backlog.clear();
    ++node.m_generation;
    node.m_state = ClusterState{};
    node.m_state.m_self = node.m_self;
    node.m_state.m_mode = cluster.m_mode;
    node.m_state.m_self.m_boot = static_cast<uint64_t>(cluster.m_now.time_since_epoch().count());
    node.m_codec = Codec{.m_self = node.m_self.m_address, .m_keys = {{1, "a shared key of the entry processes"}}};
    node.m_config = VirtualConfig{};
    node.m_access = makeAccess(cluster, node);
    node.m_watching = false;
    node.m_watchCursor = 0;
    node.m_verdicts.clear();
    for (CommittedChange &change : cluster.m_store) {
        change.m_heldAt.erase(index);
    }
    feed(cluster, index, StartEvent{std::move(seeds)});
    const Duration offset(static_cast<int64_t>(uniformBelow(cluster.m_random, 50'000)));
    const uint64_t generation = node.m_generation;
    schedule(cluster, cluster.m_now + offset, [&cluster, &node, generation] { tickNode(cluster, node, generation); });
    schedule(cluster, cluster.m_now + offset, [&cluster, &node, generation] { checkWatch(cluster, node, generation); });
}

void killNode(VirtualCluster &cluster, size_t index)
{
    cluster.m_nodes[index]->m_running = false;
}

void leaveNode(VirtualCluster &cluster, size_t index)
{
    feed(cluster, index, LeaveEvent{});
    VirtualNode &node = *cluster.m_nodes[index];
    const uint64_t generation = node.m_generation;
    schedule(cluster, cluster.m_now + LeaveTime, [&node, generation] {
        if (node.m_generation == generation) {
            node.m_running = false;
        }
    });
}

void pauseNode(VirtualCluster &cluster, size_t index)
{
    cluster.m_nodes[index]->m_paused = true;
}

void resumeNode(VirtualCluster &cluster, size_t index)
{
    VirtualNode &node = *cluster.m_nodes[index];
    node.m_paused = false;
    const auto backlog = std::exchange(node.m_backlog, {});
    for (const auto &[channel, bytes] : backlog) {
        receive(cluster, node, channel, bytes);
    }
}

void cutRegions(VirtualCluster &cluster, const std::string &left, const std::string &right)
{
    cluster.m_cutRegions.insert({left, right});
    cluster.m_cutRegions.insert({right, left});
}

void joinRegions(VirtualCluster &cluster)
{
    cluster.m_cutRegions.clear();
}

void feed(VirtualCluster &cluster, size_t index, const ClusterEvent &event)
{
    VirtualNode &node = *cluster.m_nodes[index];
    const int64_t cursorBefore = node.m_config.m_cursor;
    ClusterActions actions;
    handleEvent(node.m_state, event, cluster.m_now, node.m_random, node.m_access, actions);
    if (node.m_config.m_cursor < cursorBefore) {
        cluster.m_violations.push_back(fmt::format("node {} lowered its cursor", index));
    }
    if (cluster.m_recordObserved) {
        for (const MembershipChange &change : actions.m_changes) {
            cluster.m_observed.push_back({cluster.m_now, index, change});
        }
    }
    node.m_verdicts.insert(node.m_verdicts.end(), actions.m_verdicts.begin(), actions.m_verdicts.end());
    sendAll(cluster, node, actions.m_sends);
    if (cluster.m_afterStep) {
        cluster.m_afterStep(node);
    }
}

int64_t commitChange(VirtualCluster &cluster, const std::string &key, std::string content)
{
    const auto revision = static_cast<int64_t>(cluster.m_store.size()) + 1;
    cluster.m_store.push_back({{key, revision, std::move(content)}, cluster.m_now, {}});
    for (const auto &node : cluster.m_nodes) {
        if (node->m_running && node->m_watching) {
            scheduleWatch(cluster, *node);
        }
    }
    return revision;
}

void runFor(VirtualCluster &cluster, Duration duration)
{
    const TimePoint until = cluster.m_now + duration;
    while (!cluster.m_events.empty() && cluster.m_events.top().m_at <= until) {
        const VirtualEvent event = cluster.m_events.top();
        cluster.m_events.pop();
        cluster.m_now = event.m_at;
        event.m_run();
    }
    cluster.m_now = until;
}

bool runUntil(VirtualCluster &cluster, Duration limit, const std::function<bool()> &predicate)
{
    const TimePoint until = cluster.m_now + limit;
    while (!predicate()) {
        if (cluster.m_now >= until) {
            return false;
        }
        runFor(cluster, milliseconds(20));
    }
    return true;
}

bool viewsAgree(const VirtualCluster &cluster)
{
    size_t running = 0;
    for (const auto &node : cluster.m_nodes) {
        running += node->m_running ? 1 : 0;
    }
    for (const auto &node : cluster.m_nodes) {
        if (!node->m_running) {
            continue;
        }
        size_t live = 1;
        for (const auto &[address, record] : node->m_state.m_records) {
            const MemberState state = record.m_member.m_state;
            if (state != MemberState::Alive && state != MemberState::Suspect) {
                continue;
            }
            ++live;
            const VirtualNode &other = *cluster.m_nodes[cluster.m_byAddress.at(address)];
            if (!other.m_running || other.m_state.m_self.m_boot != record.m_member.m_boot) {
                return false;
            }
        }
        if (live != running) {
            return false;
        }
    }
    return true;
}

bool holdAllChanges(const VirtualCluster &cluster)
{
    const auto head = static_cast<int64_t>(cluster.m_store.size());
    return std::all_of(cluster.m_nodes.begin(), cluster.m_nodes.end(), [head](const auto &node) {
        return !node->m_running || node->m_config.m_cursor >= head;
    });
}

bool startAll(VirtualCluster &cluster, size_t nodes, size_t regions, size_t domainsPerRegion)
{
    for (size_t i = 0; i < nodes; ++i) {
        const std::string region = fmt::format("r{}", i % regions);
        addNode(cluster, region, fmt::format("{}-{}", region, i / regions % domainsPerRegion));
    }
    std::vector<Address> seeds;
    for (size_t i = 0; i < std::min<size_t>(nodes, 3); ++i) {
        seeds.push_back(cluster.m_nodes[i]->m_self.m_address);
    }
    for (size_t i = 0; i < nodes; ++i) {
        startNode(cluster, i, seeds);
    }
    return runUntil(cluster, seconds(60), [&cluster] { return viewsAgree(cluster); });
}

} // namespace Medlarramp
