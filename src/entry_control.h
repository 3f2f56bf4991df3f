#pragma once

/**
 * Internal header of the entry library: controllers. Each is a function on a thread of its own that reads and writes the
 * blackboard and what belongs to it.
 *
 * Index of sections:
 *  [SECTION] Configuration  state of this node, reads and watches of the store, spread to peers
 *  [SECTION] Membership     the cluster transport and what it needs of the entry
 *  [SECTION] Upstreams      VM list, pools, readiness
 */

#include <condition_variable>
#include <mutex>

#include "cluster.h"
#include "entry.h"
#include "entry_admin.h"
#include "store.h"

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] Configuration
//-----------------------------------------------------------------------------

/** The configuration of this node and who has to learn of its changes. */
struct ConfigKeeper {
    Blackboard &m_board;
    Store m_store;
    std::shared_ptr<StoreCounters> m_counters = std::make_shared<StoreCounters>();
    std::mutex m_mutex;
    ConfigState m_state; ///< under m_mutex
    std::mutex m_publishMutex; ///< keeps snapshots in order
    std::vector<Replica> m_replicas; ///< by the VM list; under m_publishMutex
    std::vector<uint64_t> m_nodes; ///< keys of the live entries; under m_publishMutex
    bool m_poolsOutdated = true; ///< under m_publishMutex
    std::atomic<int64_t> m_storeContact = 0; ///< last answer of the store, microseconds of the clock; 0: none yet
    std::atomic<bool> m_complete = false; ///< the state of the store has been read whole, or taken from a peer
};

/** Lends the state under its lock. */
ConfigAccess configAccess(ConfigKeeper &keeper);
/** Applies changes and publishes the new snapshot. @return true when anything was new. */
bool applyAndPublish(ConfigKeeper &keeper, const ConfigBatch &batch);
/**
 * Publishes the state as it is now, pools first, so that a change is in force when it can be seen. An older snapshot
 * never replaces a newer one. Pools are rebuilt only when upstreams, replicas or entries have changed.
 */
void publishState(ConfigKeeper &keeper);
/** Takes over replicas and live entries and rebuilds the pools when they differ. */
void refreshPools(ConfigKeeper &keeper, const std::vector<Replica> &replicas, std::vector<uint64_t> nodes);
/** Callbacks of the cluster library on the same state. */
ConfigHolder configHolder(ConfigKeeper &keeper);
ConfigChanges toChanges(const ConfigBatch &batch);
/** Reads and watches the store while this node has to, and spreads what it learns. Runs until @p stop. */
void runConfigController(ConfigKeeper &keeper, Transport *transport, StopSignal &stop);

//-----------------------------------------------------------------------------
// [SECTION] Membership
//-----------------------------------------------------------------------------

/** Starts the transport of this node. @p onCall answers requests of other nodes. */
absl::StatusOr<TransportPointer> startMembership(Blackboard &board, ConfigKeeper &keeper, CallHandler onCall);
/** Cursors of all live nodes for the administration API. @p revision is asked for where it is not known. */
std::vector<NodeCursor> nodeCursors(ConfigKeeper &keeper, Transport *transport);

//-----------------------------------------------------------------------------
// [SECTION] Upstreams
//-----------------------------------------------------------------------------

/** Follows the VM list, the configuration and the membership; keeps pools and readiness true. Runs until @p stop. */
struct UpstreamController {
    ConfigKeeper &m_keeper;
    Transport *m_transport = nullptr;
    VmListClient m_vmList; ///< empty: static replicas only
    std::vector<Replica> m_replicas; ///< as last read
};

void runUpstreamController(UpstreamController &controller, StopSignal &stop);

} // namespace Medlarramp
