#pragma once

// What the source files of the cluster library share.

#include "cluster.h"

namespace Medlarramp {

/** What handles an event: its inputs besides the state, and its output. */
struct EventContext {
    TimePoint m_now;
    Random &m_random;
    const ConfigHolder &m_config;
    ClusterActions &m_actions;
};

constexpr size_t MaxPendingSpreads = 1'024;
constexpr size_t MaxSeenSpreads = 1'024;
constexpr size_t MaxStaggered = 64;
constexpr size_t MaxRanges = 64;
constexpr size_t MaxNotices = 64;

void sendBody(EventContext &context, const Address &destination, MessageBody body);
bool isLive(const Member &member);
/** Random duration in [0, bound). */
Duration jitter(Random &random, Duration bound);

// Membership
Heartbeat makeHeartbeat(ClusterState &state, EventContext &context);
int64_t ownCursor(const EventContext &context);

/** configWatchers() for the region of this node. */
std::vector<Address> ownRegionWatchers(const ClusterState &state);

// Spread
/** Sends @p body to all live members, or to those of the own region, down a tree rooted here. */
void startSpread(ClusterState &state, const MessageBody &body, uint64_t identifier, bool regional, EventContext &context);
/** Acknowledges a message of a tree and forwards it to the rest of its range. */
void forwardSpread(ClusterState &state, const Address &sender, const MessageBody &body, EventContext &context);
void acknowledgeSpread(ClusterState &state, const Address &sender, const SpreadAck &ack);
void retrySpreads(ClusterState &state, EventContext &context);

// Configuration and verdicts
void watchDelivered(ClusterState &state, const ConfigChanges &changes, EventContext &context);
void receiveConfigChange(ClusterState &state, const Address &sender, const ConfigChangeMessage &change, EventContext &context);
void answerConfigPull(const ClusterState &state, const Address &sender, const ConfigPullMessage &pull, EventContext &context);
void receiveConfigBatch(ClusterState &state, const Address &sender, const ConfigBatchMessage &batch, EventContext &context);
/** Notes the cursor of a peer and plans a pull when it is above the own one. */
void noteCursor(ClusterState &state, const Address &peer, int64_t cursor, EventContext &context);
void tickConfig(ClusterState &state, EventContext &context);
void startVerdict(ClusterState &state, const CrashVerdict &verdict, EventContext &context);
void receiveVerdict(ClusterState &state, const CrashVerdict &verdict, EventContext &context);
std::vector<CrashVerdict> heldVerdicts(const ClusterState &state, TimePoint now);

} // namespace Medlarramp
