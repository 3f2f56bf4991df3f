#include <algorithm>
#include <cassert>

#include "serving.h"

namespace Medlarramp::Serving {

namespace {

constexpr int64_t MaxSettingBytes = 256;
constexpr double MaxColdOverrun = 1000;
constexpr double MaxColdSlack = 1e6; ///< requests per second

void readOptionalNumber(ObjectReader &reader, const char *name, std::optional<double> &value, double maximum)
{
    constexpr double Absent = -1;
    double read = Absent;
    readNumber(reader, name, read, 0, maximum);
    if (read != Absent) {
        value = read;
    }
}

std::string_view requestPath(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace

GatewaySettings parseGatewaySettings(const nlohmann::json &value, const std::string &file, Findings &findings)
{
    GatewaySettings settings;
    ObjectReader reader = readObject(value, file, "", findings);
    readString(reader, "node", settings.m_node, true, MaxSettingBytes);
    readString(reader, "failure_domain", settings.m_failureDomain, true, MaxSettingBytes);
    readString(reader, "front", settings.m_frontAddress, true, MaxSettingBytes);
    readString(reader, "readiness", settings.m_readyAddress, true, MaxSettingBytes);
    readString(reader, "peers", settings.m_peerAddress, true, MaxSettingBytes);
    readString(reader, "store", settings.m_storeAddress, true, MaxSettingBytes);
    readNumber(reader, "processor_share", settings.m_processorShare, 0.01, 1024);
    readInteger(reader, "memory_mb", settings.m_memoryMegabytes, 16, 1 << 20);
    readMilliseconds(reader, "drain_ms", settings.m_drainTime, milliseconds(1), milliseconds(600'000));
    readMilliseconds(reader, "heartbeat_ms", settings.m_heartbeat, milliseconds(1), milliseconds(600'000));
    readMilliseconds(reader, "leaving_ms", settings.m_leavingTime, milliseconds(100), milliseconds(600'000));
    readNumber(reader, "repeat_ratio", settings.m_retryRatio, 0, 10);
    readNumber(reader, "repeat_extra", settings.m_extraRetries, 0, 1e6);
    readMilliseconds(reader, "repeat_window_ms", settings.m_retryWindow, milliseconds(100), milliseconds(600'000));
    readInteger(reader, "min_lease_ms", settings.m_minLeaseMs, 1, 600'000);
    readOptionalNumber(reader, "cold_overrun", settings.m_coldOverrun, MaxColdOverrun);
    readOptionalNumber(reader, "cold_slack", settings.m_coldSlack, MaxColdSlack);
    std::string longPrompts = "auto";
    readString(reader, "long_prompts", longPrompts, false, MaxSettingBytes);
    if (const std::optional<LongPromptMode> parsed = parseLongPromptMode(longPrompts)) {
        settings.m_longPrompts = *parsed;
    } else {
        addFinding(reader, "long_prompts", "is not auto, on or off");
    }
    std::string level = "info";
    readString(reader, "log_level", level, false, MaxSettingBytes);
    if (const std::optional<LogLevel> parsed = parseLogLevel(level)) {
        settings.m_logLevel = *parsed;
    } else {
        addFinding(reader, "log_level", "is not a log level");
    }
    finishObject(reader);
    return settings;
}

void indexRoutes(ServingConfiguration &configuration)
{
    configuration.m_routesByHost.clear();
    for (size_t i = 0; i < configuration.m_routes.size(); ++i) {
        configuration.m_routesByHost[configuration.m_routes[i].m_host].push_back(i);
    }
    for (auto &[host, indexes] : configuration.m_routesByHost) {
        std::stable_sort(indexes.begin(), indexes.end(), [&](size_t left, size_t right) {
            return configuration.m_routes[left].m_prefix.size() > configuration.m_routes[right].m_prefix.size();
        });
    }
}

const ServingRoute *findRoute(const ServingConfiguration &configuration, std::string_view host, std::string_view target)
{
    const auto indexes = configuration.m_routesByHost.find(std::string(host));
    if (indexes == configuration.m_routesByHost.end()) {
        return nullptr;
    }
    const std::string_view path = requestPath(target);
    for (const size_t index : indexes->second) {
        const ServingRoute &route = configuration.m_routes[index];
        if (path.substr(0, route.m_prefix.size()) == route.m_prefix) {
            return &route;
        }
    }
    return nullptr;
}

const ServingService *findService(const ServingConfiguration &configuration, const std::string &name)
{
    const auto service = configuration.m_services.find(name);
    return service == configuration.m_services.end() ? nullptr : &service->second;
}

const std::string &chooseService(const ServingRoute &route, uint64_t seed)
{
    assert(!route.m_services.empty());
    double total = 0;
    for (const ServiceShare &share : route.m_services) {
        total += share.m_weight;
    }
    Random random{seed};
    double point = uniformReal(random) * total;
    for (const ServiceShare &share : route.m_services) {
        point -= share.m_weight;
        if (point < 0) {
            return share.m_service;
        }
    }
    return route.m_services.back().m_service;
}

int rankOf(const ServingConfiguration &configuration, const ServingRoute &route, std::optional<size_t> organisation)
{
    if (organisation && *organisation < configuration.m_organisations.size()) {
        return configuration.m_organisations[*organisation].m_priority.value_or(route.m_priority);
    }
    return route.m_priority;
}

bool isNewer(const ServingConfiguration *current, const ServingConfiguration &candidate)
{
    return current == nullptr || candidate.m_version > current->m_version;
}

} // namespace Medlarramp::Serving
