#include "gateway_internal.h"

namespace Medlarramp::Serving {

namespace {

void logEvacuation(const std::string &failureDomain, bool begins, int64_t revision)
{
    writeLog(LogLevel::Info,
             "registry",
             begins ? "Evacuation of a failure domain began." : "Evacuation of a failure domain ended.",
             {{"failure_domain", failureDomain}, {"revision", std::to_string(revision)}});
}

void setEvacuated(Gateway &gateway, const std::string &failureDomain, bool isEvacuated, int64_t revision)
{
    std::set<std::string> &domains = gateway.m_registry.m_evacuatedDomains;
    const bool changed = isEvacuated ? domains.insert(failureDomain).second : domains.erase(failureDomain) > 0;
    if (changed) {
        logEvacuation(failureDomain, isEvacuated, revision);
        if (!isEvacuated) {
            noteEvacuationEnd(gateway, failureDomain);
        }
    }
}

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
    setEvacuated(gateway, *failureDomain, !item.m_removed, item.m_revision);
    if (!item.m_removed) {
        reportUnknownEvacuation(gateway, *failureDomain);
    }
}

void replaceEvacuations(Gateway &gateway, const std::vector<Platform::StoreItem> &items)
{
    std::set<std::string> ended = gateway.m_registry.m_evacuatedDomains;
    for (const Platform::StoreItem &item : items) {
        if (item.m_key.compare(0, Platform::EvacuationPrefix.size(), Platform::EvacuationPrefix) != 0) {
            continue;
        }
        if (const std::optional<std::string> failureDomain = evacuatedDomain(gateway, item.m_key)) {
            ended.erase(*failureDomain);
            setEvacuated(gateway, *failureDomain, true, item.m_revision);
        }
    }
    for (const std::string &failureDomain : ended) {
        setEvacuated(gateway, failureDomain, false, gateway.m_store.m_watch.m_listRevision);
    }
}

} // namespace Medlarramp::Serving
