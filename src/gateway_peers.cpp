#include <algorithm>
#include <cstring>
#include <sstream>

#include <cereal/archives/binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <fmt/format.h>

#include "gateway_internal.h"

namespace Medlarramp::Serving {

namespace {

constexpr size_t LengthBytes = 4;
constexpr Duration PeerConnectTimeout = milliseconds(400); ///< covers several round trips between failure domains and one lost packet
constexpr Duration PeerSilenceTimeout = milliseconds(3000); ///< silence timeout of the TCP connection, also without open tasks
constexpr Duration PeerPingAfter = milliseconds(250); ///< time without a message from a peer that has open tasks, before a ping is sent
/** Time without a message before a peer that has open tasks is dropped. Must exceed the stalls caused by the scheduler. */
constexpr Duration PeerLostAfter = milliseconds(1200);

void readPeer(Gateway &gateway, PeerLink &link, std::string_view data);

std::string encodeMessage(const PeerMessage &message)
{
    std::ostringstream stream;
    {
        cereal::BinaryOutputArchive archive(stream);
        archive(message);
    }
    const std::string body = stream.str();
    const auto size = static_cast<uint32_t>(body.size());
    std::string text(LengthBytes, '\0');
    std::memcpy(text.data(), &size, LengthBytes);
    return text + body;
}

std::optional<PeerMessage> decodeMessage(std::string body)
{
    try {
        std::istringstream stream(std::move(body));
        cereal::BinaryInputArchive archive(stream);
        PeerMessage message;
        archive(message);
        const bool known = message.m_kind < PeerKind::Count && message.m_reason < static_cast<uint8_t>(Reason::Count);
        return known ? std::optional(std::move(message)) : std::nullopt;
    } catch (const std::exception &) {
        return std::nullopt; // counted and logged by the caller of this function
    }
}

PeerLink *findLink(Gateway &gateway, const std::string &node)
{
    for (PeerLink &link : gateway.m_peers) {
        if (link.m_node == node && link.m_net != nullptr) {
            return &link;
        }
    }
    return nullptr;
}

void removeLink(Gateway &gateway, PeerLink &link)
{
    if (link.m_net != nullptr) {
        link.m_net->close();
    }
    gateway.m_peers.remove_if([&link](const PeerLink &other) { return &other == &link; });
}

/**
 * Removes a link that has closed or timed out. If it was the last one to its peer, cancels the peer's tasks and submits open
 * tasks at this peer to the next owner.
 */
void dropLink(Gateway &gateway, PeerLink &link, std::string_view cause)
{
    const std::string node = link.m_node;
    removeLink(gateway, link);
    if (node.empty() || findLink(gateway, node) != nullptr) {
        return;
    }
    writeLog(LogLevel::Info, "peers", "Connection to a gateway lost.", {{"node", node}, {"cause", std::string(cause)}});
    suspectMember(gateway.m_membership, node, gatewayNow(gateway));
    cancelSubmitter(gateway, node);
    resubmitTasksOf(gateway, node);
}

void attachLink(Gateway &gateway, PeerLink &link)
{
    link.m_lastReceivedAt = gatewayNow(gateway);
    link.m_net->m_onData = [&gateway, &link](std::string_view data) { readPeer(gateway, link, data); };
    link.m_net->m_onClose = [&gateway, &link](CloseCause, const absl::Status &status) {
        link.m_net = nullptr;
        dropLink(gateway, link, std::string(status.message()));
    };
}

PeerLink *openLink(Gateway &gateway, const std::string &node)
{
    const auto member = gateway.m_membership.m_members.find(node);
    const std::optional<SocketAddress> address =
        member == gateway.m_membership.m_members.end() ? std::nullopt : parseSocketAddress(member->second.m_address);
    if (!address) {
        return nullptr;
    }
    PeerLink &link = gateway.m_peers.emplace_back();
    link.m_node = node;
    ConnectionOptions options;
    options.m_connectTimeout = PeerConnectTimeout;
    options.m_silenceTimeout = PeerSilenceTimeout;
    link.m_net = NetConnection::connect(gateway.m_loop, *address, options);
    attachLink(gateway, link);
    PeerMessage hello;
    hello.m_kind = PeerKind::Hello;
    hello.m_node = gateway.m_settings.m_node;
    link.m_net->write(encodeMessage(hello));
    return &link;
}

StageTask makeStageTask(const PeerMessage &message, const std::string &submitter, TimePoint now)
{
    StageTask task;
    task.m_submitter = submitter;
    task.m_submission = message.m_submission;
    task.m_request = message.m_request;
    task.m_stage = message.m_stage;
    task.m_key = message.m_key;
    task.m_inputs = message.m_handles;
    task.m_rank = message.m_rank;
    task.m_value = message.m_value;
    task.m_deadline = now + Duration(message.m_timeLeftUs);
    task.m_latestStart = now + Duration(message.m_latestStartUs);
    task.m_resultBytes = message.m_resultBytes;
    task.m_work = Duration(message.m_workUs);
    task.m_failureDomain = message.m_failureDomain;
    task.m_pieces.resize(static_cast<size_t>(std::clamp(message.m_pieces, 0, MaxPieces)));
    for (size_t i = 0; i < task.m_pieces.size(); ++i) {
        task.m_pieces[i] = static_cast<int>(i);
    }
    return task;
}

void handleMessage(Gateway &gateway, PeerLink &link, PeerMessage &message)
{
    switch (message.m_kind) {
    case PeerKind::Hello:
        link.m_node = message.m_node;
        return;
    case PeerKind::Submit:
        enqueueTask(gateway, message.m_service, makeStageTask(message, link.m_node, gatewayNow(gateway)));
        return;
    case PeerKind::Cancel:
        cancelEnqueued(gateway, message.m_service, link.m_node, message.m_submission);
        return;
    case PeerKind::Release:
        releaseHandles(gateway, message.m_service, message.m_handles);
        return;
    case PeerKind::Evictable:
        markHandlesEvictable(gateway, message.m_service, message.m_handles);
        return;
    case PeerKind::Result:
        handleStageResult(gateway, message.m_submission, static_cast<Reason>(message.m_reason), std::move(message.m_handles));
        return;
    case PeerKind::InputsRead:
        handleInputsRead(gateway, message.m_submission);
        return;
    case PeerKind::Ping: {
        PeerMessage pong;
        pong.m_kind = PeerKind::Pong;
        link.m_net->write(encodeMessage(pong));
        return;
    }
    case PeerKind::Crash:
    case PeerKind::Cleared:
    case PeerKind::Refused:
        handleCrashMessage(gateway, message);
        return;
    case PeerKind::Revision:
    case PeerKind::StateRequest:
    case PeerKind::State:
    case PeerKind::ConfigurationRequest:
    case PeerKind::Configuration:
        handleStateMessage(gateway, link.m_node, message);
        return;
    case PeerKind::Subscribe:
        if (!link.m_node.empty() && !addSubscriber(gateway.m_relay, link.m_node, gatewayNow(gateway))) {
            writeLog(LogLevel::Warning, "peers", "Too many subscribers to the watch.", {{"node", link.m_node}});
        }
        noteSubscriberTime(gateway.m_relay, link.m_node, message.m_subscribedUs);
        return;
    case PeerKind::Relay:
        handleRelay(gateway, message);
        return;
    case PeerKind::LongPrompts:
        handleLongPrompts(gateway, link.m_node, message);
        return;
    case PeerKind::Pong:
    case PeerKind::Count:
        return;
    }
}

bool isLinked(const Gateway &gateway, const PeerLink *link)
{
    return std::any_of(gateway.m_peers.begin(), gateway.m_peers.end(), [link](const PeerLink &other) { return &other == link; });
}

void readPeer(Gateway &gateway, PeerLink &link, std::string_view data)
{
    link.m_lastReceivedAt = gatewayNow(gateway);
    makeRoom(gateway, HolderKind::Peer, data.size());
    if (!isLinked(gateway, &link)) {
        return;
    }
    addHeld(gateway, HolderKind::Peer, data.size());
    link.m_buffer += data;
    while (link.m_buffer.size() >= LengthBytes) {
        uint32_t size = 0;
        std::memcpy(&size, link.m_buffer.data(), LengthBytes);
        if (size > MaxPeerMessageBytes) {
            countReason(gateway.m_refusals, Reason::PeerMessageTooLarge);
            dropLink(gateway, link, "message too large");
            return;
        }
        if (link.m_buffer.size() < LengthBytes + size) {
            return;
        }
        std::optional<PeerMessage> message = decodeMessage(link.m_buffer.substr(LengthBytes, size));
        link.m_buffer.erase(0, LengthBytes + size);
        if (!message) {
            countReason(gateway.m_refusals, Reason::PeerMessageMalformed);
            dropLink(gateway, link, "malformed message");
            return;
        }
        handleMessage(gateway, link, *message);
        if (!isLinked(gateway, &link)) {
            return;
        }
    }
}

/** Returns whether the peer has open tasks of this gateway. */
bool hasOpenTasks(const Gateway &gateway, const std::string &node)
{
    return std::any_of(
        gateway.m_submissions.begin(), gateway.m_submissions.end(), [&](const auto &entry) { return entry.second.m_owner == node; });
}

} // namespace

void acceptPeer(Gateway &gateway, NetConnection *net)
{
    PeerLink &link = gateway.m_peers.emplace_back();
    link.m_net = net;
    attachLink(gateway, link);
}

bool sendToPeer(Gateway &gateway, const std::string &node, const PeerMessage &message)
{
    PeerLink *link = findLink(gateway, node);
    if (link == nullptr) {
        link = openLink(gateway, node);
    }
    if (link == nullptr) {
        return false;
    }
    if (!hasOpenTasks(gateway, node)) {
        link->m_lastReceivedAt = gatewayNow(gateway); // the timeout starts with the first open task
    }
    std::string text = encodeMessage(message);
    addHeld(gateway, HolderKind::Peer, text.size());
    link->m_net->write(std::move(text));
    return true;
}

void dropPeer(Gateway &gateway, PeerLink &link)
{
    countReason(gateway.m_refusals, Reason::MemoryLimited);
    dropLink(gateway, link, "memory limit");
}

void checkPeers(Gateway &gateway)
{
    const TimePoint now = gatewayNow(gateway);
    std::vector<PeerLink *> timedOut;
    for (PeerLink &link : gateway.m_peers) {
        if (link.m_node.empty() || !hasOpenTasks(gateway, link.m_node)) {
            continue;
        }
        const Duration idleTime = now - link.m_lastReceivedAt;
        if (idleTime > PeerLostAfter) {
            timedOut.push_back(&link);
        } else if (idleTime > PeerPingAfter) {
            link.m_net->write(encodeMessage(PeerMessage()));
        }
    }
    for (PeerLink *link : timedOut) {
        if (isLinked(gateway, link)) {
            dropLink(gateway, *link, "silent");
        }
    }
}

} // namespace Medlarramp::Serving
