#pragma once

/**
 * Internal header of the entry library: claims and durable batch over the store and the peers.
 *
 * Index of sections:
 *  [SECTION] Store shell  carries out the store actions of the durable library
 *  [SECTION] Lease        one lease of this node, granted when something needs it
 *  [SECTION] Claims       owner and holder side of claims
 */

#include <condition_variable>
#include <mutex>
#include <thread>

#include "cluster.h"
#include "durable.h"
#include "entry.h"
#include "store.h"

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] Store shell
//-----------------------------------------------------------------------------

/** The lease of this node. Claims and batch attach their owner keys to it. */
struct NodeLease {
    std::mutex m_mutex;
    LeaseState m_state; ///< under m_mutex
    std::atomic<bool> m_wanted = false; ///< a lease is granted only when something needs it
};

/** Calls of @p store for one purpose; puts marked as leased use the lease held at that moment. */
StoreCalls makeStoreCalls(const Store &store, StorePurpose purpose, NodeLease &lease, const Clock &clock);
DurableTime durableTime(const Clock &clock);

//-----------------------------------------------------------------------------
// [SECTION] Lease
//-----------------------------------------------------------------------------

/** Grants and renews the lease while it is wanted. Runs until @p stop. */
void runLease(NodeLease &lease, const Store &store, const Clock &clock, StopSignal &stop);

//-----------------------------------------------------------------------------
// [SECTION] Claims
//-----------------------------------------------------------------------------

struct ClaimService;

std::shared_ptr<ClaimService> makeClaimService(Blackboard &board, const Store &store, NodeLease &lease);
/** Called once the transport is there; null on a node without peers. */
void attachTransport(ClaimService &service, Transport *transport);
/** Answers a request of another node. */
std::string answerClaimCall(ClaimService &service, const std::string &payload);
ClaimCalls makeClaimCalls(const std::shared_ptr<ClaimService> &service);
/** Owns one partition where this node is preferred. Runs until @p stop. */
void runClaimOwner(ClaimService &service, int partition, StopSignal &stop);
/** Sends reports until they are acknowledged. Runs until @p stop. */
void runClaimReports(ClaimService &service, StopSignal &stop);
/** Gives the owned partitions back at a shutdown, so that the next owner need not wait for the lease. */
void leaveClaims(ClaimService &service);

} // namespace Medlarramp
