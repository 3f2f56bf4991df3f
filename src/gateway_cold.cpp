#include <algorithm>

#include <fmt/format.h>

#include "gateway_internal.h"

namespace Medlarramp::Serving {

namespace {

bool isEnabled(const Gateway &gateway)
{
    return gateway.m_settings.m_coldOverrun && gateway.m_settings.m_coldSlack;
}

ColdLimits limitsOf(const Gateway &gateway, const std::string &service)
{
    const ServingService *definition = gateway.m_configuration ? findService(*gateway.m_configuration, service) : nullptr;
    return definition == nullptr ? ColdLimits() : coldLimits(gateway.m_settings, *definition);
}

void logCold(Gateway &gateway, const std::string &replica, std::string_view cause)
{
    const Duration left = gateway.m_cold.m_replicas.at(replica).m_coldUntil - gatewayNow(gateway);
    writeLog(LogLevel::Info,
             "cold",
             "Replica is cold.",
             {{"replica", replica},
              {"cause", std::string(cause)},
              {"left_ms", fmt::format("{}", left.count() / 1000)},
              {"ready", maySendToCold(gateway.m_cold, gatewayNow(gateway)) ? "yes" : "no"}});
}

void reportInvalidNumber(Gateway &gateway, const std::string &name, const std::string &subject)
{
    gateway.m_cold.m_invalidNumbers += 1;
    writeLog(LogLevel::Warning, "cold", "Implausible number ignored.", {{"name", name}, {"subject", subject}});
}

} // namespace

bool isWithheld(Gateway &gateway, const std::string &replica, TimePoint now)
{
    return isCold(gateway.m_cold, replica, now) && !hasColdPermit(gateway.m_cold, replica, now);
}

bool isServiceWithheld(Gateway &gateway, const std::string &service, TimePoint now)
{
    const std::vector<std::string> &ids = gateway.m_replicasByService[service];
    return std::any_of(ids.begin(), ids.end(), [&gateway, now](const std::string &id) { return isWithheld(gateway, id, now); });
}

void reservePermit(Gateway &gateway, UpstreamCall &call)
{
    const TimePoint now = gatewayNow(gateway);
    if (isCold(gateway.m_cold, call.m_replica, now)) {
        call.m_permit = reserveColdPermit(gateway.m_cold, call.m_replica, now);
    }
}

bool takePermit(Gateway &gateway, UpstreamCall &call)
{
    const TimePoint now = gatewayNow(gateway);
    if (!isCold(gateway.m_cold, call.m_replica, now)) {
        returnPermit(gateway, call);
        return true;
    }
    if (!call.m_permit) {
        reservePermit(gateway, call); // the replica turned cold while the connection was being opened
    }
    const std::optional<int> permit = std::exchange(call.m_permit, std::nullopt);
    if (permit && useColdPermit(gateway.m_cold, call.m_replica, *permit, now)) {
        return true;
    }
    call.m_isWithheld = true;
    gateway.m_cold.m_withheld += 1;
    writeLog(LogLevel::Info, "cold", "Call to a cold replica not written.", {{"id", call.m_attemptId}, {"replica", call.m_replica}});
    return false;
}

void returnPermit(Gateway &gateway, UpstreamCall &call)
{
    if (const std::optional<int> permit = std::exchange(call.m_permit, std::nullopt)) {
        returnColdPermit(gateway.m_cold, call.m_replica, *permit);
    }
}

void pauseColdWorkers(Gateway &gateway, StageQueue &queue)
{
    const TimePoint now = gatewayNow(gateway);
    for (const auto &[id, worker] : queue.m_workers) {
        if (isWithheld(gateway, id, now)) {
            pauseWorker(queue, id, nextColdPermit(gateway.m_cold, id, now));
        }
    }
}

void noteRegistration(Gateway &gateway, const ReplicaRecord &record, int64_t revision)
{
    if (record.m_hasInvalidWarmUp) {
        reportInvalidNumber(gateway, "cold_left_ms", record.m_id);
    }
    if (!isEnabled(gateway)) {
        return;
    }
    const bool isRegistered = gateway.m_registry.m_replicas.contains(record.m_id);
    const bool isFirstListing = !gateway.m_store.m_watch.m_wasListed;
    const ColdLimits limits = limitsOf(gateway, record.m_service);
    if (observeColdRegistration(gateway.m_cold, record, revision, limits, isFirstListing, isRegistered, gatewayNow(gateway))) {
        logCold(gateway, record.m_id, "registration");
    }
}

void noteColdAnswer(Gateway &gateway, const std::string &replica, const HttpHeaders &headers)
{
    const std::optional<std::string_view> header = findHeader(headers, Platform::ColdMs);
    if (!header || !isEnabled(gateway)) {
        return;
    }
    const std::optional<Duration> left = Platform::parseColdTime(*header);
    if (!left) {
        reportInvalidNumber(gateway, std::string(Platform::ColdMs), replica);
        return;
    }
    const auto registered = gateway.m_registry.m_replicas.find(replica);
    if (*left == Duration(0) || registered == gateway.m_registry.m_replicas.end()) {
        return;
    }
    const TimePoint now = gatewayNow(gateway);
    if (markCold(gateway.m_cold, replica, limitsOf(gateway, registered->second.m_record.m_service), now + *left, now)) {
        logCold(gateway, replica, "answer");
    }
}

void noteEvacuationEnd(Gateway &gateway, const std::string &failureDomain)
{
    const TimePoint now = gatewayNow(gateway);
    for (const auto &[id, replica] : gateway.m_registry.m_replicas) {
        if (replica.m_record.m_failureDomain != failureDomain) {
            continue;
        }
        const ColdLimits limits = limitsOf(gateway, replica.m_record.m_service);
        if (markCold(gateway.m_cold, id, limits, now + limits.m_coldTime, now)) {
            logCold(gateway, id, "evacuation ended");
        }
    }
}

void noteConfiguration(Gateway &gateway)
{
    for (const std::string &name : gateway.m_configuration->m_ignoredNumbers) {
        reportInvalidNumber(gateway, name, "configuration");
    }
}

void noteMembers(Gateway &gateway)
{
    std::set<std::string> nodes;
    for (const auto &[node, member] : gateway.m_membership.m_members) {
        nodes.insert(node);
    }
    const Member &self = gateway.m_membership.m_self;
    const std::map<std::string, ListedMember> &listed = gateway.m_store.m_members.m_members;
    const auto item = listed.find(std::string(Platform::MemberPrefix) + self.m_node);
    const bool isSelf = item != listed.end() && item->second.m_member.m_incarnation == self.m_incarnation;
    // An item that is only kept from before the store was restored says nothing of what the store has now.
    const bool isListed = isSelf && !item->second.m_removeAt && item->second.m_version.era() == gateway.m_store.m_era.m_era;
    observeColdMembers(gateway.m_cold, nodes, isListed, gatewayNow(gateway));
}

} // namespace Medlarramp::Serving
