#include <algorithm>
#include <sstream>

#include <cereal/archives/binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <fmt/format.h>

#include "gateway_internal.h"

namespace Medlarramp::Serving {

namespace {

constexpr size_t StateFanout = 3; ///< members that are asked in a round
constexpr int MaxStateRounds = 4; ///< a starting gateway serves with what it knows after these
constexpr int EnoughStateRounds = 2; ///< members that do not answer within these are not waited for if others have answered
/** A connection to a member that is unreachable is given up after 400 ms; the rest is for the answer over a slow network. */
constexpr Duration StateRoundTime = milliseconds(700);
/** A change that a peer knows arrives from the store within this time unless the store has lost it. */
constexpr Duration LateChangeTime = milliseconds(2000);
constexpr size_t MaxStateHolds = 2048; ///< at about 50 bytes each, far below MaxPeerMessageBytes
constexpr size_t StateHeadBytes = 4096; ///< room for the other fields of a message with a configuration

/** StoreVersion of an evacuation on its way to a peer. */
struct EvacuationState {
    std::string m_failureDomain;
    bool m_isInForce = false;
    int64_t m_era = 0;
    int64_t m_revision = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(m_failureDomain, m_isInForce, m_era, m_revision);
    }
};

struct HoldState {
    std::string m_id;
    int64_t m_incarnationStart = 0;
    bool m_hasLeft = false;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(m_id, m_incarnationStart, m_hasLeft);
    }
};

/** Contents of PeerMessage::m_state. */
struct StoreState {
    bool m_hasRestored = false;
    int64_t m_restored = 0; ///< revision of StoreEra::m_restored in the era of the message
    int64_t m_configurationVersion = -1; ///< -1: none
    int64_t m_writeEra = 0; ///< of Gateway::m_configurationWrite
    int64_t m_writeRevision = 0;
    uint64_t m_evacuated = 0; ///< digest of the failure domains whose evacuation is in force
    std::string m_configuration; ///< only in messages of kind Configuration
    std::vector<EvacuationState> m_evacuations;
    std::vector<HoldState> m_holds;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(m_hasRestored,
                m_restored,
                m_configurationVersion,
                m_writeEra,
                m_writeRevision,
                m_evacuated,
                m_configuration,
                m_evacuations,
                m_holds);
    }
};

std::string encodeState(const StoreState &state)
{
    std::ostringstream stream;
    {
        cereal::BinaryOutputArchive archive(stream);
        archive(state);
    }
    return stream.str();
}

std::optional<StoreState> decodeState(const std::string &text)
{
    try {
        std::istringstream stream(text);
        cereal::BinaryInputArchive archive(stream);
        StoreState state;
        archive(state);
        return state;
    } catch (const std::exception &) {
        return std::nullopt; // counted and logged by the caller of this function
    }
}

int64_t configurationVersion(const Gateway &gateway)
{
    return gateway.m_configuration ? gateway.m_configuration->m_version : -1;
}

uint64_t evacuatedDigest(const Gateway &gateway)
{
    uint64_t digest = 0;
    for (const std::string &failureDomain : gateway.m_registry.m_evacuatedDomains) {
        digest = combineHash(digest, hash64(failureDomain));
    }
    return digest;
}

StoreState makeSummary(const Gateway &gateway)
{
    StoreState state;
    if (const std::optional<StoreVersion> &restored = gateway.m_store.m_era.m_restored) {
        state.m_hasRestored = true;
        state.m_restored = restored->revision();
    }
    state.m_configurationVersion = configurationVersion(gateway);
    state.m_writeEra = gateway.m_configurationWrite.era();
    state.m_writeRevision = gateway.m_configurationWrite.revision();
    state.m_evacuated = evacuatedDigest(gateway);
    return state;
}

StoreState makeState(const Gateway &gateway)
{
    StoreState state = makeSummary(gateway);
    for (const auto &[failureDomain, evacuation] : gateway.m_registry.m_evacuations) {
        state.m_evacuations.push_back({failureDomain, evacuation.m_isInForce, evacuation.m_version.era(), evacuation.m_version.revision()});
    }
    for (const ReplicaHold &hold : replicaHolds(gateway.m_registry, gateway.m_store.m_era, gatewayNow(gateway))) {
        if (state.m_holds.size() == MaxStateHolds) {
            writeLog(LogLevel::Warning, "store", "Too many replicas have left to tell a peer of all.");
            break;
        }
        state.m_holds.push_back({hold.m_id, hold.m_incarnationStart, hold.m_hasLeft});
    }
    return state;
}

bool sendState(Gateway &gateway, const std::string &node, PeerKind kind, const StoreState &state)
{
    PeerMessage message;
    message.m_kind = kind;
    message.m_era = gateway.m_store.m_era.m_era;
    message.m_state = encodeState(state);
    return sendToPeer(gateway, node, message);
}

void finishQuery(Gateway &gateway)
{
    PeerQuery &query = gateway.m_peerQuery;
    query.m_timer.stop();
    query.m_open.clear();
    query.m_configurationFrom.clear();
    if (std::exchange(query.m_isStart, false)) {
        writeLog(LogLevel::Info,
                 "store",
                 "State before the restoration of the key-value store was asked for.",
                 {{"answers", fmt::format("{}", query.m_answers)},
                  {"rounds", fmt::format("{}", query.m_round)},
                  {"version", fmt::format("{}", configurationVersion(gateway))}});
    }
}

void askRound(Gateway &gateway);

void endRound(Gateway &gateway)
{
    PeerQuery &query = gateway.m_peerQuery;
    const bool isEnough = query.m_answers > 0 && query.m_configurationFrom.empty() && query.m_round >= EnoughStateRounds;
    if (isEnough || query.m_round >= MaxStateRounds) {
        if (query.m_answers == 0) {
            writeLog(LogLevel::Warning, "store", "No peer told its state before the restoration; continuing with the key-value store.");
        }
        finishQuery(gateway);
        return;
    }
    askRound(gateway);
}

void askRound(Gateway &gateway)
{
    PeerQuery &query = gateway.m_peerQuery;
    query.m_round += 1;
    query.m_open.clear();
    query.m_configurationFrom.clear();
    const std::vector<std::string> nodes = membersFrom(gateway, nextRandom(gateway.m_random));
    const StoreState state = makeState(gateway);
    for (const std::string &node : nodes) {
        if (query.m_open.size() < StateFanout && sendState(gateway, node, PeerKind::StateRequest, state)) {
            query.m_open.insert(node);
        }
    }
    if (query.m_open.empty()) {
        finishQuery(gateway); // the only member
        return;
    }
    query.m_timer.start(gateway.m_loop, StateRoundTime, [&gateway] { endRound(gateway); });
}

void requestConfiguration(Gateway &gateway, const std::string &node)
{
    PeerQuery &query = gateway.m_peerQuery;
    if (query.m_configurationFrom.empty() && sendState(gateway, node, PeerKind::ConfigurationRequest, makeSummary(gateway))) {
        query.m_configurationFrom = node;
        if (!query.m_timer.isActive()) {
            query.m_timer.start(gateway.m_loop, StateRoundTime, [&gateway] { finishQuery(gateway); });
        }
    }
}

/** The version of a write that a peer tells; a peer that was started in this era may have taken an item of the backup for a new write. */
StoreVersion peerWrite(const Gateway &gateway, int64_t era, int64_t revision)
{
    return writeVersion(gateway.m_store.m_era, StoreVersion(era, revision));
}

/** Whether the peer has a configuration that this gateway should have: a higher version, or a later write of the same one. */
bool hasNewerConfiguration(const Gateway &gateway, const StoreState &state)
{
    const StoreVersion write = peerWrite(gateway, state.m_writeEra, state.m_writeRevision);
    return state.m_configurationVersion > configurationVersion(gateway)
        || (state.m_configurationVersion == configurationVersion(gateway) && write.era() > gateway.m_configurationWrite.era());
}

/** Learns from a peer up to which version items may be of the backup. */
void mergeRestored(Gateway &gateway, int64_t era, const StoreState &state)
{
    StoreClient &store = gateway.m_store;
    if (!state.m_hasRestored || era == 0) {
        return;
    }
    const bool isHeldWrongly = lowerRestored(store.m_era, gateway.m_registry, StoreVersion(era, state.m_restored));
    gateway.m_configurationWrite = writeVersion(store.m_era, gateway.m_configurationWrite);
    if (!isHeldWrongly) {
        return;
    }
    writeLog(LogLevel::Info,
             "store",
             "Items were taken for those of a backup that were written later; listing again.",
             {{"restored", fmt::format("{}", state.m_restored)}, {"era", fmt::format("{}", era)}});
    listAgain(gateway);
}

void mergeState(Gateway &gateway, int64_t era, const StoreState &state)
{
    if (era > gateway.m_store.m_era.m_era) {
        return; // this gateway can't tell its backup from new writes before it has listed that era, and asks again then
    }
    const std::map<std::string, std::string_view> before = describeReplicas(gateway.m_registry);
    // First, so that what the backup told is compared as such. A listing that it starts is answered later.
    mergeRestored(gateway, era, state);
    const TimePoint now = gatewayNow(gateway);
    for (const EvacuationState &evacuation : state.m_evacuations) {
        const StoreVersion version = peerWrite(gateway, evacuation.m_era, evacuation.m_revision);
        if (mergeEvacuation(gateway.m_registry, evacuation.m_failureDomain, evacuation.m_isInForce, version)) {
            recordEvacuation(gateway, evacuation.m_failureDomain, evacuation.m_isInForce, version);
        }
    }
    for (const HoldState &hold : state.m_holds) {
        applyReplicaHold(gateway.m_registry, gateway.m_store.m_era, {hold.m_id, hold.m_incarnationStart, hold.m_hasLeft}, now);
    }
    applyRegistryChange(gateway, before);
}

void handleState(Gateway &gateway, const std::string &node, int64_t era, const StoreState &state)
{
    PeerQuery &query = gateway.m_peerQuery;
    if (era >= gateway.m_store.m_era.m_era && query.m_open.erase(node) > 0) {
        query.m_answers += 1;
    }
    if (hasNewerConfiguration(gateway, state)) {
        requestConfiguration(gateway, node);
    }
    if (query.m_timer.isActive() && query.m_open.empty() && query.m_configurationFrom.empty()) {
        finishQuery(gateway);
    }
}

void sendConfiguration(Gateway &gateway, const std::string &node)
{
    if (!gateway.m_configuration) {
        return;
    }
    if (gateway.m_configurationText.size() + StateHeadBytes > MaxPeerMessageBytes) {
        writeLog(LogLevel::Error,
                 "config",
                 "Configuration is too large for a message to a peer.",
                 {{"node", node}, {"bytes", fmt::format("{}", gateway.m_configurationText.size())}});
        return;
    }
    StoreState state = makeSummary(gateway);
    state.m_configuration = gateway.m_configurationText;
    sendState(gateway, node, PeerKind::Configuration, state);
}

void handleConfiguration(Gateway &gateway, const std::string &node, const StoreState &state)
{
    adoptConfiguration(gateway, state.m_configuration, peerWrite(gateway, state.m_writeEra, state.m_writeRevision));
    syncUpstreams(gateway);
    PeerQuery &query = gateway.m_peerQuery;
    if (query.m_configurationFrom == node) {
        query.m_configurationFrom.clear();
        if (query.m_open.empty()) {
            finishQuery(gateway);
        }
    }
}

/** A peer tells its revision: asks it for what the store has lost, if this gateway seems not to know it. */
void handleSummary(Gateway &gateway, const std::string &node, int64_t era, const StoreState &state)
{
    const StoreEra &known = gateway.m_store.m_era;
    if (era != known.m_era || !gateway.m_store.m_watch.m_isListed) {
        return;
    }
    const bool wasWithout = !known.m_restored;
    mergeRestored(gateway, era, state);
    if (wasWithout && known.m_restored) {
        sendState(gateway, node, PeerKind::StateRequest, makeState(gateway));
    }
    const auto lacksSomething = [&gateway, state] {
        return hasNewerConfiguration(gateway, state) || evacuatedDigest(gateway) != state.m_evacuated;
    };
    PeerQuery &query = gateway.m_peerQuery;
    if (lacksSomething() && !query.m_lateTimer.isActive()) {
        query.m_lateTimer.start(gateway.m_loop, LateChangeTime, [&gateway, node, lacksSomething] {
            if (lacksSomething()) {
                sendState(gateway, node, PeerKind::StateRequest, makeState(gateway));
            }
        });
    }
}

} // namespace

void askPeersForState(Gateway &gateway, bool isStart)
{
    PeerQuery &query = gateway.m_peerQuery;
    query.m_isStart = query.m_isStart || isStart;
    query.m_round = 0;
    query.m_answers = 0;
    askRound(gateway);
}

void addStateSummary(const Gateway &gateway, PeerMessage &message)
{
    if (gateway.m_store.m_era.m_era > 0) {
        message.m_state = encodeState(makeSummary(gateway));
    }
}

void handleStateMessage(Gateway &gateway, const std::string &node, const PeerMessage &message)
{
    // A peer that is an era ahead, whatever it says, makes the watch ask the store.
    handleRevision(gateway, StoreVersion(message.m_era, message.m_revision));
    // A gateway that has not listed the store has no state, and its era may not be known yet. Without an era there is nothing to add.
    if (!gateway.m_store.m_watch.m_wasListed || (message.m_kind == PeerKind::Revision && message.m_state.empty())) {
        return;
    }
    const std::optional<StoreState> state = message.m_state.empty() ? StoreState() : decodeState(message.m_state);
    if (!state) {
        countReason(gateway.m_refusals, Reason::PeerMessageMalformed);
        writeLog(LogLevel::Warning, "peers", "Malformed state of a gateway ignored.", {{"node", node}});
        return;
    }
    switch (message.m_kind) {
    case PeerKind::Revision:
        handleSummary(gateway, node, message.m_era, *state);
        return;
    case PeerKind::StateRequest:
        sendState(gateway, node, PeerKind::State, makeState(gateway));
        mergeState(gateway, message.m_era, *state);
        handleState(gateway, node, message.m_era, *state);
        return;
    case PeerKind::State:
        mergeState(gateway, message.m_era, *state);
        handleState(gateway, node, message.m_era, *state);
        return;
    case PeerKind::ConfigurationRequest:
        sendConfiguration(gateway, node);
        return;
    case PeerKind::Configuration:
        handleConfiguration(gateway, node, *state);
        return;
    default:
        return;
    }
}

} // namespace Medlarramp::Serving
