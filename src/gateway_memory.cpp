#include <algorithm>
#include <malloc.h>
#include <sys/resource.h>

#include <fmt/format.h>

#include "gateway_internal.h"

namespace Medlarramp::Serving {

namespace {

/** Larger buffers are mapped on their own and returned to the system when freed, so that peaks of different kinds don't add up. */
constexpr int MapThreshold = 64 * 1024;
constexpr int TrimThreshold = 256 * 1024; ///< free bytes at the end of the heap that the allocator keeps

/** One holder and where it is found. Dropping one may end others, so each is looked up again before it is dropped. */
struct Holder {
    CallerConnection *m_caller = nullptr;
    NetConnection *m_lingering = nullptr;
    PeerLink *m_peer = nullptr;
    uint64_t m_call = 0;
};

struct Holders {
    std::vector<Holder> m_holders;
    std::vector<HolderView> m_views;

    void add(const Holder &holder, size_t bytes, TimePoint progressAt)
    {
        m_holders.push_back(holder);
        m_views.push_back({bytes, progressAt});
    }
};

/** Bytes of a request that is held until it is answered, and of its copy that is being sent to a replica. */
size_t exchangeBytes(const Gateway &gateway, const Exchange &exchange)
{
    const size_t body = exchange.m_request.m_body.size();
    const size_t bytes = occupiedBytes(exchange.m_request.m_headers) + body;
    const auto call = gateway.m_calls.find(exchange.m_attempt->m_call);
    if (call == gateway.m_calls.end()) {
        return bytes + body; // the copy that the next attempt makes
    }
    const UpstreamConnection *connection = call->second->m_connection;
    return bytes + call->second->m_text.size() + (connection->m_net != nullptr ? connection->m_net->queuedBytes() : 0);
}

size_t callerBytes(const Gateway &gateway, const CallerConnection &caller)
{
    // A body that is being read will be copied for its replica.
    const size_t copy = caller.m_reader.m_body.size();
    size_t bytes = ConnectionBytes + caller.m_reader.occupiedBytes() + copy + caller.m_pending.size() + caller.m_net->queuedBytes();
    const auto exchange = gateway.m_exchanges.find(caller.m_exchange);
    if (exchange != gateway.m_exchanges.end()) {
        bytes += exchangeBytes(gateway, *exchange->second);
    }
    return bytes;
}

TimePoint callerProgress(const CallerConnection &caller)
{
    const bool isReading = caller.m_net->queuedBytes() > 0;
    return isReading ? std::max(caller.m_progressAt, caller.m_net->observeWrites()) : caller.m_progressAt;
}

Holders callerHolders(Gateway &gateway)
{
    Holders holders;
    for (auto *connections : {&gateway.m_callers, &gateway.m_readinessConnections}) {
        for (CallerConnection &caller : *connections) {
            Holder holder;
            holder.m_caller = &caller;
            holders.add(holder, callerBytes(gateway, caller), callerProgress(caller));
        }
    }
    for (NetConnection *net : gateway.m_loop.m_lingering) {
        Holder holder;
        holder.m_lingering = net;
        holders.add(holder, ConnectionBytes + net->queuedBytes(), net->observeWrites());
    }
    return holders;
}

Holders upstreamHolders(Gateway &gateway)
{
    Holders holders;
    for (const auto &[number, call] : gateway.m_calls) {
        Holder holder;
        holder.m_call = number;
        holders.add(holder, call->m_connection->m_reader.occupiedBytes(), call->m_lastByteAt);
    }
    // Incomplete events of streams have been taken from the reader. Dropping the call ends them.
    for (const auto &[number, exchange] : gateway.m_exchanges) {
        const auto call = gateway.m_calls.find(exchange->m_attempt->m_call);
        if (call != gateway.m_calls.end()) {
            Holder holder;
            holder.m_call = call->first;
            holders.add(holder, exchange->m_attempt->m_partialEvent.size(), call->second->m_lastByteAt);
        }
    }
    return holders;
}

Holders peerHolders(Gateway &gateway)
{
    Holders holders;
    for (PeerLink &link : gateway.m_peers) {
        Holder holder;
        holder.m_peer = &link;
        holders.add(holder, link.m_buffer.size() + link.m_net->queuedBytes(), link.m_lastReceivedAt);
    }
    return holders;
}

void dropHolder(Gateway &gateway, const Holder &holder)
{
    if (holder.m_caller != nullptr) {
        if (isOpen(gateway, holder.m_caller)) {
            dropCaller(gateway, *holder.m_caller, Reason::MemoryLimited);
        }
    } else if (holder.m_lingering != nullptr) {
        const auto &lingering = gateway.m_loop.m_lingering;
        if (std::find(lingering.begin(), lingering.end(), holder.m_lingering) != lingering.end()) {
            countReason(gateway.m_refusals, Reason::MemoryLimited);
            holder.m_lingering->resetConnection();
        }
    } else if (holder.m_peer != nullptr) {
        const auto isHolder = [&holder](const PeerLink &link) { return &link == holder.m_peer; };
        if (std::any_of(gateway.m_peers.begin(), gateway.m_peers.end(), isHolder)) {
            dropPeer(gateway, *holder.m_peer);
        }
    } else {
        dropCall(gateway, holder.m_call);
    }
}

Holders countHolders(Gateway &gateway, HolderKind kind)
{
    Holders holders = kind == HolderKind::Caller ? callerHolders(gateway)
        : kind == HolderKind::Upstream           ? upstreamHolders(gateway)
                                                 : peerHolders(gateway);
    size_t &held = gateway.m_memory.m_held[static_cast<size_t>(kind)];
    held = 0;
    for (const HolderView &view : holders.m_views) {
        held += view.m_bytes;
    }
    return holders;
}

std::string nameOf(HolderKind kind)
{
    constexpr std::array<const char *, static_cast<size_t>(HolderKind::Count)> Names = {"callers", "replicas", "peers", "store"};
    return Names[static_cast<size_t>(kind)];
}

/** The connection without an open request that has gone longest without progress; null when there is none. */
CallerConnection *longestIdle(std::list<CallerConnection> &connections)
{
    CallerConnection *longest = nullptr;
    for (CallerConnection &caller : connections) {
        if (caller.m_exchange == 0 && (longest == nullptr || caller.m_progressAt < longest->m_progressAt)) {
            longest = &caller;
        }
    }
    return longest;
}

bool dropIdleAtLimit(Gateway &gateway, std::list<CallerConnection> &connections, size_t limit)
{
    if (connections.size() < limit) {
        return true;
    }
    CallerConnection *longest = longestIdle(connections);
    if (longest == nullptr) {
        return false;
    }
    writeLog(LogLevel::Warning, "memory", "Too many connections; the one that has gone longest without progress is closed.");
    dropCaller(gateway, *longest, Reason::TooManyConnections);
    return true;
}

} // namespace

void initMemory(Gateway &gateway)
{
    mallopt(M_ARENA_MAX, 1);
    mallopt(M_MMAP_THRESHOLD, MapThreshold);
    mallopt(M_TRIM_THRESHOLD, TrimThreshold);
    gateway.m_memory.m_limits = memoryLimits(gateway.m_settings.m_memoryMegabytes);
    rlimit files{};
    if (getrlimit(RLIMIT_NOFILE, &files) != 0) {
        constexpr rlim_t UsualLimit = 1024;
        files.rlim_cur = UsualLimit;
        writeLog(LogLevel::Warning, "memory", "Limit on open files can't be read; 1024 is assumed.");
    }
    gateway.m_memory.m_connections = connectionLimits(files.rlim_cur);
}

void addHeld(Gateway &gateway, HolderKind kind, size_t bytes)
{
    gateway.m_memory.m_held[static_cast<size_t>(kind)] += bytes;
}

void makeRoom(Gateway &gateway, HolderKind kind, size_t bytes)
{
    size_t &held = gateway.m_memory.m_held[static_cast<size_t>(kind)];
    const size_t limit = gateway.m_memory.m_limits[kind];
    if (!isNearLimit(held + bytes, limit)) {
        return;
    }
    const Holders holders = countHolders(gateway, kind);
    for (const size_t index : chooseDropped(holders.m_views, limit - std::min(limit, bytes))) {
        const HolderView &view = holders.m_views[index];
        writeLog(LogLevel::Warning,
                 "memory",
                 "Memory limit reached; dropping what has gone longest without progress.",
                 {{"kind", nameOf(kind)},
                  {"held_bytes", fmt::format("{}", held)},
                  {"limit_bytes", fmt::format("{}", limit)},
                  {"dropped_bytes", fmt::format("{}", view.m_bytes)},
                  {"idle_ms", fmt::format("{}", (gatewayNow(gateway) - view.m_progressAt).count() / 1000)}});
        held -= std::min(held, view.m_bytes);
        dropHolder(gateway, holders.m_holders[index]);
    }
}

bool makeRoomForCaller(Gateway &gateway)
{
    const size_t limit = gateway.m_memory.m_connections.m_callers;
    std::list<NetConnection *> &lingering = gateway.m_loop.m_lingering;
    while (!lingering.empty() && gateway.m_callers.size() + lingering.size() >= limit) {
        lingering.front()->resetConnection(); // it has no request any more
    }
    return dropIdleAtLimit(gateway, gateway.m_callers, limit);
}

bool makeRoomForReadiness(Gateway &gateway)
{
    return dropIdleAtLimit(gateway, gateway.m_readinessConnections, gateway.m_memory.m_connections.m_readiness);
}

void throttleUpstream(Gateway &gateway, Exchange &exchange)
{
    const auto call = gateway.m_calls.find(exchange.m_attempt->m_call);
    if (call == gateway.m_calls.end() || call->second->m_connection->m_net == nullptr) {
        return;
    }
    const size_t held = gateway.m_memory.m_held[static_cast<size_t>(HolderKind::Caller)];
    if (exchange.m_caller->m_net->queuedBytes() < unreadAllowance(held, gateway.m_memory.m_limits[HolderKind::Caller])) {
        return;
    }
    exchange.m_caller->m_net->observeWrites();
    call->second->m_pausedAt = gatewayNow(gateway);
    call->second->m_connection->m_net->pauseReading();
}

void resumeUpstream(Gateway &gateway, Exchange &exchange)
{
    const auto found = gateway.m_calls.find(exchange.m_attempt->m_call);
    if (found == gateway.m_calls.end() || !found->second->m_pausedAt || found->second->m_connection->m_net == nullptr) {
        return;
    }
    UpstreamCall &call = *found->second;
    const size_t held = gateway.m_memory.m_held[static_cast<size_t>(HolderKind::Caller)];
    const size_t limit = gateway.m_memory.m_limits[HolderKind::Caller];
    const bool hasRead = exchange.m_caller->m_net->queuedBytes() < unreadAllowance(held, limit) / 2;
    const bool hasProgressed = exchange.m_caller->m_net->observeWrites() > *call.m_pausedAt;
    if (hasRead || mayReadAhead(gatewayNow(gateway) - *call.m_pausedAt, hasProgressed, held, limit)) {
        call.m_pausedAt.reset();
        call.m_connection->m_net->resumeReading();
    }
}

void checkProgress(Gateway &gateway)
{
    dropStalledCallers(gateway);
    for (const HolderKind kind : {HolderKind::Caller, HolderKind::Upstream, HolderKind::Peer}) {
        countHolders(gateway, kind);
        makeRoom(gateway, kind, 0); // also of what was held without received bytes, such as answers that are queued
    }
    for (const auto &[number, exchange] : gateway.m_exchanges) {
        resumeUpstream(gateway, *exchange);
    }
}

} // namespace Medlarramp::Serving
