#pragma once

// A few nodes that own and hold claims of one key, for explorer.h.

#include <memory>

#include "explorer.h"

namespace Medlarramp::Testing {

constexpr int64_t WorldWall = 1'800'000'000'000; ///< milliseconds since the Unix epoch
constexpr milliseconds WorldTick{200};
constexpr milliseconds WorldCallDeadline{3'000};
constexpr int64_t OwnerLookupTicks = 8; ///< longer than DelayTicks

struct ClaimNode {
    ClaimOwner m_owner;
    Identifier m_boot;
    int64_t m_clockSkew = 0; ///< milliseconds
    int m_knownOwner = 0;
    bool m_alive = true;
    TimePoint m_pausedUntil; ///< no timers and no look at the owner key before it
};

struct ClaimCall {
    ClaimHolder m_holder;
    int m_node = 0;
    bool m_started = false;
    int m_runOrders = 0;
    int m_effects = 0; ///< times that the stage really ran
    std::optional<ClaimVerdict> m_verdict;
};

struct ClaimWorld {
    MemoryStore m_store;
    Schedule m_schedule;
    TimePoint m_now{seconds(1'000)};
    Random m_random{1};
    Identifier m_key;
    std::vector<ClaimNode> m_nodes;
    std::vector<ClaimCall> m_calls;
    bool m_storeDown = false;
};

inline DurableTime timeOf(const ClaimWorld &world, int node)
{
    const auto since = std::chrono::duration_cast<milliseconds>(world.m_now.time_since_epoch()).count();
    const int64_t skew = world.m_nodes.empty() ? 0 : world.m_nodes[static_cast<size_t>(node)].m_clockSkew;
    return {world.m_now, WorldWall + since + skew};
}

void carryOut(ClaimWorld &world, int node, const OwnerActions &actions);
void carryOut(ClaimWorld &world, size_t call, const HolderActions &actions);

inline void sendMessage(ClaimWorld &world, int to, const std::function<void()> &receive)
{
    const auto arrive = [&world, to, receive] {
        if (world.m_nodes[static_cast<size_t>(to)].m_alive) {
            receive();
        }
    };
    PendingEvent event;
    event.m_happen = arrive;
    event.m_faults.push_back([] {}); // lost
    event.m_faults.push_back([&world, arrive] { delay(world.m_schedule, arrive); });
    event.m_faults.push_back([&world, arrive] { // delivered twice
        world.m_schedule.m_pending.push_back({arrive, {}});
        arrive();
    });
    world.m_schedule.m_pending.push_back(std::move(event));
}

inline ClaimOwner &ownerOf(ClaimWorld &world, int node)
{
    return world.m_nodes[static_cast<size_t>(node)].m_owner;
}

inline bool isAlive(const ClaimWorld &world, int node)
{
    return world.m_nodes[static_cast<size_t>(node)].m_alive;
}

/** Call with the holder's identity and call identifier, if it is still there. */
inline std::optional<size_t> findCall(const ClaimWorld &world, const Identifier &call)
{
    for (size_t i = 0; i < world.m_calls.size(); ++i) {
        if (world.m_calls[i].m_started && world.m_calls[i].m_holder.m_request.m_call == call) {
            return i;
        }
    }
    return std::nullopt;
}

inline void carryOut(ClaimWorld &world, int node, const OwnerActions &actions)
{
    sendStoreActions(
        world.m_schedule,
        world.m_store,
        node,
        actions.m_store,
        [&world, node](const StoreOutcome &outcome) {
            if (isAlive(world, node)) {
                carryOut(world, node, storeAnswered(ownerOf(world, node), outcome, timeOf(world, node), world.m_random));
            }
        },
        [&world, node](const StoreRange &range) {
            if (isAlive(world, node)) {
                carryOut(world, node, rangeAnswered(ownerOf(world, node), range, timeOf(world, node), world.m_random));
            }
        });
    for (const AddressedClaimAnswer &answer : actions.m_answers) {
        if (const auto call = findCall(world, answer.m_answer.m_call)) {
            sendMessage(world, world.m_calls[*call].m_node, [&world, call, answer] {
                carryOut(world, *call, claimAnswered(world.m_calls[*call].m_holder, answer.m_answer, world.m_now));
            });
        }
    }
    for (const AddressedReportAck &ack : actions.m_acks) {
        if (const auto call = findCall(world, ack.m_call)) {
            sendMessage(
                world, world.m_calls[*call].m_node, [&world, call, ack] { reportAcknowledged(world.m_calls[*call].m_holder, ack.m_ack); });
        }
    }
}

inline std::string worldAnswer(size_t call)
{
    return "answer of call " + std::to_string(call);
}

inline void endRun(ClaimWorld &world, size_t call, bool effect, Outcome outcome)
{
    ClaimCall &state = world.m_calls[call];
    state.m_effects += effect ? 1 : 0;
    if (!isAlive(world, state.m_node)) {
        return;
    }
    const HolderActions actions = runEnded(state.m_holder, outcome, worldAnswer(call), world.m_now);
    state.m_verdict = ClaimVerdict{outcome, Reason::None, outcome == Outcome::Answered ? worldAnswer(call) : ""};
    carryOut(world, call, actions);
}

inline void startRun(ClaimWorld &world, size_t call)
{
    ++world.m_calls[call].m_runOrders;
    PendingEvent event;
    event.m_happen = [&world, call] { endRun(world, call, true, Outcome::Answered); };
    event.m_faults.push_back([&world, call] { endRun(world, call, false, Outcome::NotRun); });
    event.m_faults.push_back([&world, call] { endRun(world, call, true, Outcome::Unknown); });
    event.m_faults.push_back([&world, call] { endRun(world, call, false, Outcome::Unknown); });
    world.m_schedule.m_pending.push_back(std::move(event));
}

inline void lookUpOwner(ClaimWorld &world, int node)
{
    const auto found = world.m_store.m_keys.find(ownerKey(0));
    if (found != world.m_store.m_keys.end()) {
        world.m_nodes[static_cast<size_t>(node)].m_knownOwner = found->second.m_leaseNode;
    }
}

inline void carryOut(ClaimWorld &world, size_t call, const HolderActions &actions)
{
    ClaimCall &state = world.m_calls[call];
    const int owner = world.m_nodes[static_cast<size_t>(state.m_node)].m_knownOwner;
    if (actions.m_ask) {
        sendMessage(world, owner, [&world, owner, request = *actions.m_ask] {
            carryOut(world, owner, receiveClaim(ownerOf(world, owner), request, timeOf(world, owner), world.m_random));
        });
    }
    if (actions.m_report) {
        sendMessage(world, owner, [&world, owner, report = *actions.m_report] {
            carryOut(world, owner, receiveReport(ownerOf(world, owner), report, timeOf(world, owner), world.m_random));
        });
    }
    if (actions.m_lookUpOwner) {
        lookUpOwner(world, state.m_node);
    }
    if (actions.m_verdict) {
        state.m_verdict = actions.m_verdict;
    }
    if (actions.m_run) {
        startRun(world, call);
    }
}

inline void startCall(ClaimWorld &world, size_t call)
{
    ClaimCall &state = world.m_calls[call];
    if (!isAlive(world, state.m_node)) {
        return;
    }
    state.m_started = true;
    ClaimRequest request;
    request.m_key = world.m_key;
    request.m_call = Identifier{7, call + 1};
    request.m_holder = world.m_nodes[static_cast<size_t>(state.m_node)].m_boot;
    request.m_bodyHash = 42;
    request.m_runMilliseconds = 1'000;
    carryOut(world, call, startClaim(state.m_holder, request, world.m_now + WorldCallDeadline, world.m_now));
}

/** Time passes; every live node looks at the owner key and fires its timers. */
inline void tick(ClaimWorld &world)
{
    world.m_now += WorldTick;
    lookUpOwner(world, 0);
    for (int node = 0; node < static_cast<int>(world.m_nodes.size()); ++node) {
        if (!isAlive(world, node) || world.m_now < world.m_nodes[static_cast<size_t>(node)].m_pausedUntil) {
            continue;
        }
        // The other nodes keep an old view of the owner for a while, unless it says that it is not the owner.
        if (node == 0 || (world.m_now.time_since_epoch() / WorldTick) % OwnerLookupTicks == 0) {
            lookUpOwner(world, node);
        }
        const DurableTime time = timeOf(world, node);
        if (!world.m_storeDown) {
            carryOut(world, node, ownerObserved(ownerOf(world, node), readItem(world.m_store, ownerKey(0)), true, time, world.m_random));
        }
        carryOut(world, node, ownerTimer(ownerOf(world, node), time, world.m_random));
    }
    // The order changes with every tick, so that another call may be the first to reach a new owner.
    const bool reverse = (world.m_now.time_since_epoch() / WorldTick) % 2 == 1;
    for (size_t i = 0; i < world.m_calls.size(); ++i) {
        const size_t call = reverse ? world.m_calls.size() - 1 - i : i;
        ClaimCall &state = world.m_calls[call];
        if (state.m_started && isAlive(world, state.m_node)) {
            carryOut(world, call, holderTimer(state.m_holder, world.m_now));
        }
    }
}

/** The process dies. Its lease ends later, and the others hear of it later. */
inline void killNode(ClaimWorld &world, int node)
{
    if (!isAlive(world, node)) {
        return;
    }
    world.m_nodes[static_cast<size_t>(node)].m_alive = false;
    world.m_schedule.m_pending.push_back({[&world, node] { expireLease(world.m_store, node); }, {}});
    for (int other = 0; other < static_cast<int>(world.m_nodes.size()); ++other) {
        world.m_schedule.m_pending.push_back(
            {[&world, node, other] {
                 const Identifier boot = world.m_nodes[static_cast<size_t>(node)].m_boot;
                 carryOut(world, other, holderGone(ownerOf(world, other), boot, timeOf(world, other), world.m_random));
             },
             {}});
    }
}

/** The node is paused past the end of its lease; what it has sent and received is handled when it wakes or before. */
inline void pausePastLease(ClaimWorld &world, int node)
{
    expireLease(world.m_store, node);
    world.m_nodes[static_cast<size_t>(node)].m_pausedUntil = world.m_now + WorldTick * (DelayTicks + 2);
}

/** @p callNodes: node of each call; all calls use the same key and start one after another. */
inline std::unique_ptr<ClaimWorld> makeClaimWorld(int nodes, const std::vector<int> &callNodes)
{
    auto world = std::make_unique<ClaimWorld>();
    world->m_key = makeMark(timeOf(*world, 0), world->m_random);
    for (int i = 0; i < nodes; ++i) {
        ClaimNode node;
        node.m_owner = makeClaimOwner(0, "node" + std::to_string(i), "127.0.0.1:" + std::to_string(9000 + i));
        node.m_boot = Identifier{9, static_cast<uint64_t>(i) + 1};
        world->m_nodes.push_back(std::move(node));
    }
    for (const int node : callNodes) {
        ClaimCall call;
        call.m_node = node;
        world->m_calls.push_back(std::move(call));
    }
    ClaimWorld &self = *world;
    self.m_schedule.m_tick = [&self] { tick(self); };
    for (int i = 0; i < nodes; ++i) {
        self.m_schedule.m_disturbances.push_back([&self, i] { expireLease(self.m_store, i); });
        self.m_schedule.m_disturbances.push_back([&self, i] { pausePastLease(self, i); });
        self.m_schedule.m_disturbances.push_back([&self, i] { killNode(self, i); });
    }
    return world;
}

/** Runs without faults until nothing is on its way and every live call has its verdict. */
inline void settle(ClaimWorld &world, int ticks)
{
    for (int i = 0; i < ticks; ++i) {
        runPending(world.m_schedule);
        passTime(world.m_schedule);
    }
}

/** Node 0 becomes the owner before the schedule begins. */
inline void settleOwner(ClaimWorld &world)
{
    carryOut(world, 0, ownerObserved(ownerOf(world, 0), std::nullopt, true, timeOf(world, 0), world.m_random));
    runPending(world.m_schedule);
}

/** What is wrong with the world; empty when every property holds. */
inline std::string violation(const ClaimWorld &world)
{
    int effects = 0;
    for (const ClaimCall &call : world.m_calls) {
        effects += call.m_effects;
    }
    if (effects > 1) {
        return "the stage ran " + std::to_string(effects) + " times";
    }
    for (size_t i = 0; i < world.m_calls.size(); ++i) {
        const ClaimCall &call = world.m_calls[i];
        const std::string name = "call " + std::to_string(i);
        if (call.m_runOrders > 1) {
            return name + " was told to run twice";
        }
        if (call.m_verdict && call.m_verdict->m_outcome == Outcome::NotRun && call.m_effects > 0) {
            return name + " was answered \"not run\" and ran";
        }
        if (call.m_verdict && call.m_verdict->m_outcome == Outcome::Answered && effects == 0) {
            return name + " was answered without a run";
        }
        if (call.m_started && !call.m_verdict && world.m_nodes[static_cast<size_t>(call.m_node)].m_alive) {
            return name + " has no verdict";
        }
    }
    return "";
}

/** Runs one schedule. @return the violation. */
inline std::string runClaimSchedule(Explorer &explorer, int nodes, const std::vector<int> &callNodes, int steps, int faults)
{
    const auto world = makeClaimWorld(nodes, callNodes);
    world->m_schedule.m_faultsLeft = faults;
    for (int i = 0; i < nodes; ++i) {
        // Clocks differ by minutes.
        world->m_nodes[static_cast<size_t>(i)].m_clockSkew = i * 7 * 60'000;
    }
    settleOwner(*world);
    for (size_t call = 0; call < callNodes.size(); ++call) {
        world->m_schedule.m_pending.push_back({[&self = *world, call] { startCall(self, call); }, {}});
    }
    for (int i = 0; i < steps; ++i) {
        step(world->m_schedule, explorer);
    }
    settle(*world, 25);
    return violation(*world);
}

} // namespace Medlarramp::Testing
