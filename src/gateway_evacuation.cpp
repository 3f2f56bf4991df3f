#include "gateway_internal.h"

namespace Medlarramp::Serving {

namespace {

/** The failure domain that a key names; counts and logs a key without one. */
std::optional<std::string> evacuatedDomain(Gateway &gateway, const std::string &key)
{
    std::string name = key.substr(Platform::EvacuationPrefix.size());
    if (name.empty()) {
        gateway.m_invalidItems += 1;
        writeLog(LogLevel::Warning, "registry", "Evacuation without a failure domain ignored.", {{"key", key}});
        return std::nullopt;
    }
    return name;
}

} // namespace

void recordEvacuation(Gateway &gateway, const std::string &failureDomain, bool begins, const StoreVersion &version)
{
    writeLog(LogLevel::Info,
             "registry",
             begins ? "Evacuation of a failure domain began." : "Evacuation of a failure domain ended.",
             {{"failure_domain", failureDomain}, {"revision", std::to_string(version.revision())}, {"era", std::to_string(version.era())}});
    if (!begins) {
        noteEvacuationEnd(gateway, failureDomain);
    }
}

void reportUnknownEvacuation(Gateway &gateway, const std::string &failureDomain)
{
    for (const auto &[id, replica] : gateway.m_registry.m_replicas) {
        if (replica.m_record.m_failureDomain == failureDomain) {
            return;
        }
    }
    gateway.m_invalidItems += 1;
    writeLog(LogLevel::Warning,
             "registry",
             "Evacuation of a failure domain in which no replica is registered.",
             {{"key", std::string(Platform::EvacuationPrefix) + failureDomain}, {"failure_domain", failureDomain}});
}

void applyEvacuation(Gateway &gateway, const Platform::StoreItem &item)
{
    const std::optional<std::string> failureDomain = evacuatedDomain(gateway, item.m_key);
    if (!failureDomain) {
        return;
    }
    if (observeEvacuation(gateway.m_registry, gateway.m_store.m_era, *failureDomain, !item.m_removed, item.m_version)) {
        recordEvacuation(gateway, *failureDomain, !item.m_removed, item.m_version);
    }
    if (!item.m_removed) {
        reportUnknownEvacuation(gateway, *failureDomain);
    }
}

void replaceEvacuations(Gateway &gateway, const std::vector<Platform::StoreItem> &items)
{
    std::set<std::string> listed;
    for (const Platform::StoreItem &item : items) {
        if (item.m_key.compare(0, Platform::EvacuationPrefix.size(), Platform::EvacuationPrefix) != 0) {
            continue;
        }
        if (const std::optional<std::string> failureDomain = evacuatedDomain(gateway, item.m_key)) {
            listed.insert(*failureDomain);
            if (observeEvacuation(gateway.m_registry, gateway.m_store.m_era, *failureDomain, true, item.m_version)) {
                recordEvacuation(gateway, *failureDomain, true, item.m_version);
            }
        }
    }
    const StoreVersion version = gateway.m_store.m_watch.m_listVersion.value_or(StoreVersion());
    for (const std::string &failureDomain : endMissingEvacuations(gateway.m_registry, gateway.m_store.m_era, listed, version)) {
        recordEvacuation(gateway, failureDomain, false, version);
    }
}

} // namespace Medlarramp::Serving
