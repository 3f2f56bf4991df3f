#include <algorithm>

#include <fmt/format.h>

#include "gateway_internal.h"

namespace Medlarramp::Serving {

namespace {

/** Larger changes are read from the store by each gateway: passed on to dozens, they would fill the link of a VM. */
constexpr size_t MaxRelayedBytes = 64 * 1024;
/** Longest wait of a watch call at a gateway that others follow, and what a call may take beyond it. */
constexpr Duration RelayedWatchWait = milliseconds(1000);
constexpr Duration RelaySlackTime = milliseconds(250);

/** Records of streams are read when a stream is taken up; passed on to all gateways while versions are mixed, they would fill the links. */
bool isRelayed(const Platform::StoreItem &item)
{
    return !item.m_key.starts_with(Platform::StreamRecordPrefix);
}

size_t sizeOf(const Platform::StoreItems &events)
{
    size_t bytes = 0;
    for (const Platform::StoreItem &item : events.m_items) {
        bytes += isRelayed(item) ? item.m_key.size() + item.m_value.size() : 0;
    }
    return bytes;
}

PeerMessage makeRelay(const StoreVersion &from, const Platform::StoreItems &events)
{
    PeerMessage message;
    message.m_kind = PeerKind::Relay;
    message.m_era = from.era();
    message.m_fromRevision = from.revision();
    message.m_revision = events.m_asOf.revision();
    message.m_isIncomplete = sizeOf(events) > MaxRelayedBytes;
    if (!message.m_isIncomplete) {
        for (const Platform::StoreItem &item : events.m_items) {
            if (isRelayed(item)) {
                message.m_items.push_back({item.m_key, item.m_value, item.m_version.revision(), item.m_removed});
            }
        }
    }
    return message;
}

/** The changes of a relayed answer that are not known yet: another source may have told of some of them. */
Platform::StoreItems unknownChanges(const PeerMessage &message, const StoreVersion &known)
{
    Platform::StoreItems events;
    events.m_asOf = StoreVersion(message.m_era, message.m_revision);
    for (const RelayedItem &item : message.m_items) {
        const StoreVersion version(message.m_era, item.m_revision);
        if (version > known) {
            events.m_items.push_back({item.m_key, item.m_value, version, item.m_removed});
        }
    }
    return events;
}

} // namespace

Duration relayTimeout(const Gateway &gateway)
{
    return gateway.m_store.m_watch.m_interval + RelayedWatchWait + RelaySlackTime;
}

bool isFollowing(const Gateway &gateway)
{
    const StoreWatch &watch = gateway.m_store.m_watch;
    const TimePoint now = gatewayNow(gateway);
    const bool isWatcher = !gateway.m_relay.m_subscribers.empty() || relaySources(gateway.m_membership, now).empty();
    const TimePoint since = std::min(gateway.m_relay.m_receivedAt, gateway.m_relay.m_currentAt);
    return watch.m_isListed && watch.m_progress.m_isCurrent && !isWatcher && now - since < relayTimeout(gateway);
}

void relayAnswer(Gateway &gateway, const StoreVersion &from, const Platform::StoreItems &events)
{
    const std::vector<std::string> subscribers = currentSubscribers(gateway.m_relay, gatewayNow(gateway));
    if (subscribers.empty()) {
        return;
    }
    PeerMessage message = makeRelay(from, events);
    for (const std::string &node : subscribers) {
        message.m_subscribedUs = answeredTime(gateway.m_relay, node);
        sendToPeer(gateway, node, message);
    }
}

void handleRelay(Gateway &gateway, const PeerMessage &message)
{
    StoreWatch &watch = gateway.m_store.m_watch;
    const StoreVersion asOf(message.m_era, message.m_revision);
    const RelayStep step = decideRelay(watch.m_version, StoreVersion(message.m_era, message.m_fromRevision), asOf);
    if (!watch.m_isListed || step == RelayStep::Ignore) {
        return;
    }
    gateway.m_relay.m_receivedAt = gatewayNow(gateway);
    const bool isMissing = message.m_isIncomplete && asOf > watch.m_version;
    if (step == RelayStep::Read || isMissing) {
        gateway.m_relay.m_currentAt = TimePoint();
        watchNow(gateway);
        return;
    }
    const Duration age = watchAge(gateway);
    const Platform::StoreItems events = unknownChanges(message, watch.m_version);
    watch.m_version.advanceTo(asOf);
    gateway.m_relay.m_currentAt = gatewayNow(gateway);
    observeRelayedAnswer(watch.m_progress, gateway.m_relay.m_currentAt);
    applyEvents(gateway, events, age);
    observeColdView(gateway.m_cold, TimePoint(Duration(message.m_subscribedUs)), gatewayNow(gateway));
}

void renewSubscriptions(Gateway &gateway)
{
    RelayState &relay = gateway.m_relay;
    const TimePoint now = gatewayNow(gateway);
    if (now - relay.m_subscribedAt < SubscriptionRenewal || gateway.m_draining || !isListed(gateway)) {
        return;
    }
    relay.m_subscribedAt = now;
    PeerMessage message;
    message.m_kind = PeerKind::Subscribe;
    message.m_subscribedUs = now.time_since_epoch().count();
    for (const std::string &node : relaySources(gateway.m_membership, now)) {
        sendToPeer(gateway, node, message);
    }
}

} // namespace Medlarramp::Serving
