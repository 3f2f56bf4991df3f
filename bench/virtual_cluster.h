#pragma once

/**
 * Many nodes of the cluster library on virtual time, for tests and measurements: a network with seeded loss,
 * duplicates, reordering and delay, nodes that are killed, paused and replaced, regions that are cut off from each
 * other, and a store of configuration changes that the watching nodes read. Messages are encoded, signed and decoded.
 */

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "cluster.h"

namespace Medlarramp {

/** Properties of the network. */
struct VirtualNetwork {
    double m_loss = 0; ///< share of datagrams
    double m_duplicates = 0; ///< share of datagrams
    Duration m_minDelay = milliseconds(1); ///< one way
    Duration m_maxDelay = milliseconds(5); ///< one way; differing delays reorder datagrams
    Duration m_regionDelay{0}; ///< added between regions
};

/** What a node holds of the configuration, with the checks of every change. */
struct VirtualConfig {
    std::map<std::string, ConfigObject> m_objects;
    std::map<int64_t, std::string> m_byRevision;
    int64_t m_cursor = 0;
};

struct VirtualTraffic {
    uint64_t m_messagesSent = 0;
    uint64_t m_messagesReceived = 0;
    uint64_t m_bytesSent = 0; ///< with IP, UDP and TCP headers
    uint64_t m_bytesReceived = 0;
};

struct VirtualCluster;

struct VirtualNode {
    size_t m_index = 0;
    Member m_self; ///< as started
    bool m_running = false;
    bool m_paused = false;
    bool m_storeReachable = true;
    uint64_t m_generation = 0; ///< of the process at this address
    ClusterState m_state;
    Codec m_codec;
    Random m_random;
    VirtualConfig m_config;
    ConfigHolder m_access;
    int64_t m_watchCursor = 0;
    bool m_watching = false;
    std::vector<std::pair<Channel, std::string>> m_backlog; ///< arrived while paused
    VirtualTraffic m_traffic;
    std::vector<CrashVerdict> m_verdicts;
    std::array<uint64_t, static_cast<size_t>(Reason::Count)> m_drops{};
};

struct VirtualEvent {
    TimePoint m_at{};
    uint64_t m_order = 0;
    std::function<void()> m_run;
};

struct LaterEvent {
    bool operator()(const VirtualEvent &left, const VirtualEvent &right) const
    {
        return std::tie(left.m_at, left.m_order) > std::tie(right.m_at, right.m_order);
    }
};

/** A membership change that one node saw. */
struct ObservedChange {
    TimePoint m_at{};
    size_t m_observer = 0;
    MembershipChange m_change;
};

/** A configuration change in the store, and when each node held it. */
struct CommittedChange {
    ConfigObject m_object;
    TimePoint m_at{};
    std::map<size_t, TimePoint> m_heldAt; ///< by node
};

struct VirtualCluster {
    TimePoint m_now{seconds(1'000)};
    Random m_random;
    VirtualNetwork m_network;
    SpreadMode m_mode = SpreadMode::Tree;
    std::vector<std::unique_ptr<VirtualNode>> m_nodes;
    std::map<Address, size_t> m_byAddress;
    std::set<std::pair<std::string, std::string>> m_cutRegions; ///< pairs in both orders
    std::priority_queue<VirtualEvent, std::vector<VirtualEvent>, LaterEvent> m_events;
    uint64_t m_nextOrder = 0;
    std::vector<CommittedChange> m_store;
    std::vector<ObservedChange> m_observed;
    bool m_recordObserved = true;
    std::vector<std::string> m_violations; ///< of invariants that are checked at each step
    std::function<void(const VirtualNode &)> m_afterStep; ///< further checks
};

/** Adds a node that is not started. Address 10.0.x.y:8081 by its number. */
VirtualNode &addNode(VirtualCluster &cluster, const std::string &region, const std::string &failureDomain);
/** Starts a process with a new boot number, an empty configuration and the given seeds. */
void startNode(VirtualCluster &cluster, size_t index, std::vector<Address> seeds);
/** Ends a process without a leave. */
void killNode(VirtualCluster &cluster, size_t index);
void leaveNode(VirtualCluster &cluster, size_t index);
/** The process stops running; messages wait for it. */
void pauseNode(VirtualCluster &cluster, size_t index);
void resumeNode(VirtualCluster &cluster, size_t index);
void cutRegions(VirtualCluster &cluster, const std::string &left, const std::string &right);
void joinRegions(VirtualCluster &cluster);
void feed(VirtualCluster &cluster, size_t index, const ClusterEvent &event);
/** Commits a change to the store; watching nodes receive it some milliseconds later. */
int64_t commitChange(VirtualCluster &cluster, const std::string &key, std::string content);
/** Runs all events until @p duration has passed. */
void runFor(VirtualCluster &cluster, Duration duration);
/** Runs in short steps until @p predicate holds; false when @p limit has passed. */
bool runUntil(VirtualCluster &cluster, Duration limit, const std::function<bool()> &predicate);
/** True when the running nodes see exactly the running nodes. */
bool viewsAgree(const VirtualCluster &cluster);
/** True when every running node holds every committed change. */
bool holdAllChanges(const VirtualCluster &cluster);
/** Nodes in regions r0, r1, ..., started at once with three seeds, run until all views agree (or for 60 s). */
bool startAll(VirtualCluster &cluster, size_t nodes, size_t regions, size_t domainsPerRegion);

} // namespace Medlarramp
