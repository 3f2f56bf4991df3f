#include <algorithm>

#include <fmt/format.h>

#include "gateway_internal.h"

namespace Medlarramp::Serving {

namespace {

constexpr std::string_view RecordCall = "record"; ///< names of calls in the log
constexpr std::string_view LookupCall = "lookup";
constexpr std::string_view KeepCall = "usual";
constexpr Duration RecordRetryDelay = milliseconds(50);
/** Beyond the life of a stream: a process that lost its membership may not have noticed it yet. */
constexpr Duration OrphanMargin = seconds(10);

void writeRecords(Gateway &gateway);
void readRecords(Gateway &gateway);

int64_t currentEra(const Gateway &gateway)
{
    return gateway.m_store.m_era.m_era;
}

bool isStoreLost(const Gateway &gateway)
{
    const StoreContact &contact = gateway.m_store.m_contact;
    return !contact.m_isAvailable && contact.m_failures > 1; // one failure may concern a single connection
}

const UsualVersion *usualVersion(const Gateway &gateway, const std::string &service)
{
    const auto usual = gateway.m_software.m_usual.find(service);
    return usual == gateway.m_software.m_usual.end() ? nullptr : &usual->second.m_usual;
}

/** How long a stream can be taken up after it has begun. */
Duration streamLife(const Gateway &gateway)
{
    Duration life = MinStreamLife;
    for (const ServingRoute &route : gateway.m_configuration->m_routes) {
        life = route.m_resumable ? std::max(life, route.m_timeout) : life;
    }
    return life;
}

std::string_view organisationOf(const Exchange &exchange)
{
    return exchange.m_organisation ? std::string_view(exchange.m_configuration->m_organisations[*exchange.m_organisation].m_name) : "";
}

uint64_t keyOf(const Exchange &exchange, std::string_view attemptId)
{
    return streamKey(organisationOf(exchange), exchange.m_route->m_name, attemptId);
}

std::string recordKey(const Member &member)
{
    return fmt::format("{}{}/{:x}", Platform::StreamRecordPrefix, member.m_node, member.m_incarnation);
}

void rejectItem(Gateway &gateway, const Platform::StoreItem &item, const absl::Status &status)
{
    gateway.m_invalidItems += 1;
    writeLog(LogLevel::Warning,
             "versions",
             "Invalid record of software versions ignored.",
             {{"key", item.m_key}, {"error", std::string(status.message())}});
}

//-----------------------------------------------------------------------------
// Records of streams
//-----------------------------------------------------------------------------

bool maySendUnrecorded(const Gateway &gateway, const Exchange &exchange, const std::string &version)
{
    const std::map<std::string, size_t> versions = countVersions(gateway.m_registry, exchange.m_service);
    return mayGoUnrecorded(usualVersion(gateway, exchange.m_service), version, currentEra(gateway), versions);
}

void releaseRecorded(Gateway &gateway, bool isWritten)
{
    for (const uint64_t number : std::exchange(gateway.m_software.m_records.m_writing, {})) {
        Exchange *exchange = findExchange(gateway, number);
        if (exchange == nullptr) {
            continue;
        }
        exchange->m_isRecording = false;
        if (isWritten || maySendUnrecorded(gateway, *exchange, *exchange->m_softwareVersion)) {
            continueStream(gateway, *exchange);
        } else {
            failExchange(gateway, *exchange, HTTP_STATUS_BAD_GATEWAY, Reason::StreamNotRecorded);
        }
    }
}

void handleRecordWritten(Gateway &gateway, int status, const std::string &body)
{
    SoftwareState &software = gateway.m_software;
    StreamRecords &records = software.m_records;
    if (status == HTTP_STATUS_OK) {
        records.m_revision = Platform::decodeRevision(body).value_or(0);
        releaseRecorded(gateway, true);
    } else if (mayRepeatRecord(records, gatewayNow(gateway))) {
        if (status == HTTP_STATUS_PRECONDITION_FAILED) {
            // A write without an answer was executed.
            records.m_revision = Platform::decodeConflict(body, recordKey(gateway.m_membership.m_self)).value_or(0);
        }
        software.m_recordTimer.start(gateway.m_loop, RecordRetryDelay, [&gateway] { writeRecords(gateway); });
        return;
    } else {
        software.m_recordFailures += 1;
        writeLog(LogLevel::Warning,
                 "versions",
                 "Software versions of streams could not be recorded.",
                 {{"status", fmt::format("{}", status)}, {"streams", fmt::format("{}", records.m_writing.size())}});
        releaseRecorded(gateway, false);
    }
    if (!records.m_waiting.empty()) {
        writeRecords(gateway);
    }
}

/** Writes the records of this gateway; streams that come meanwhile share the next write. */
void writeRecords(Gateway &gateway)
{
    SoftwareState &software = gateway.m_software;
    StreamRecords &records = software.m_records;
    if (isCalling(*software.m_recordConnection)) {
        return;
    }
    software.m_recordTimer.stop();
    if (records.m_writing.empty()) {
        records.m_writeSince = gatewayNow(gateway);
    }
    std::move(records.m_waiting.begin(), records.m_waiting.end(), std::back_inserter(records.m_writing));
    records.m_waiting.clear();
    software.m_recordWrites += 1;
    const StreamVersions current = currentRecords(records, gatewayNow(gateway));
    const Platform::KeyRevision key{recordKey(gateway.m_membership.m_self), records.m_revision};
    const std::string body = current.empty() ? Platform::formatRemoveBody({key})
                                             : Platform::formatPutBody(key, Platform::encodeStreamRecords(current, currentEra(gateway)));
    callStore(gateway,
              *software.m_recordConnection,
              RecordCall,
              "POST",
              std::string(Platform::TransactionTarget),
              body,
              StoreProbeTimeout,
              [&gateway, isRemoved = current.empty()](int status, const std::string &answer) {
                  if (isRemoved && (status == HTTP_STATUS_OK || status == HTTP_STATUS_PRECONDITION_FAILED)) {
                      gateway.m_software.m_records.m_revision = 0;
                  }
                  handleRecordWritten(gateway, isRemoved ? HTTP_STATUS_OK : status, isRemoved ? "" : answer);
              });
}

//-----------------------------------------------------------------------------
// Streams that are taken up
//-----------------------------------------------------------------------------

/** The contents of a read below SoftwarePrefix. */
struct SoftwareRecords {
    std::map<std::string, UsualVersion> m_usual; ///< by service
    StreamVersions m_streams;
};

SoftwareRecords decodeRecords(Gateway &gateway, const std::vector<Platform::StoreItem> &items)
{
    SoftwareRecords records;
    for (const Platform::StoreItem &item : items) {
        if (item.m_key.starts_with(Platform::UsualVersionPrefix)) {
            absl::StatusOr<UsualVersion> usual = Platform::decodeUsualVersion(item.m_value, item.m_version);
            if (usual.ok()) {
                records.m_usual[item.m_key.substr(Platform::UsualVersionPrefix.size())] = std::move(*usual);
            } else {
                rejectItem(gateway, item, usual.status());
            }
        } else if (item.m_key.starts_with(Platform::StreamRecordPrefix)) {
            absl::StatusOr<StreamVersions> streams = Platform::decodeStreamRecords(item.m_value, currentEra(gateway));
            if (streams.ok()) {
                records.m_streams.merge(*streams);
            } else {
                rejectItem(gateway, item, streams.status());
            }
        }
    }
    return records;
}

void refuseTakeUps(Gateway &gateway, const std::vector<uint64_t> &numbers)
{
    for (const uint64_t number : numbers) {
        if (Exchange *exchange = findExchange(gateway, number)) {
            refuseExchange(gateway, *exchange, Reason::StreamVersionUnknown);
        }
    }
}

void takeUp(Gateway &gateway, Exchange &exchange, const SoftwareRecords &records)
{
    const std::optional<std::string_view> resumes = findHeader(exchange.m_request.m_headers, Platform::Resumes);
    const std::optional<uint64_t> key = resumes ? std::optional(keyOf(exchange, *resumes)) : std::nullopt;
    const auto usual = records.m_usual.find(exchange.m_service);
    const TakeUp decided = decideTakeUp(key,
                                        records.m_streams,
                                        usual == records.m_usual.end() ? nullptr : &usual->second,
                                        currentEra(gateway),
                                        countVersions(gateway.m_registry, exchange.m_service));
    writeLog(LogLevel::Debug,
             "versions",
             "Stream is taken up.",
             {{"id", exchange.m_attemptId}, {"resumes", std::string(resumes.value_or(""))}, {"version", decided.m_version}});
    if (decided.m_step == TakeUpStep::Unknown) {
        refuseExchange(gateway, exchange, Reason::StreamVersionUnknown);
        return;
    }
    exchange.m_softwareVersion = decided.m_version;
    if (decided.m_step == TakeUpStep::Left || hasVersionLeft(gateway, exchange)) {
        refuseExchange(gateway, exchange, Reason::StreamVersionLeft);
        return;
    }
    gateway.m_software.m_takenUp += 1;
    beginStages(gateway, exchange);
}

void handleRecordPage(Gateway &gateway, int status, const std::string &body)
{
    SoftwareState &software = gateway.m_software;
    absl::StatusOr<Platform::StoreItems> page =
        status == HTTP_STATUS_OK ? Platform::decodeItems(body, currentEra(gateway)) : absl::UnavailableError("no answer");
    if (!page.ok()) {
        recordUnreadableAnswer(gateway, *software.m_lookupConnection, status);
        software.m_page.clear();
        refuseTakeUps(gateway, std::exchange(software.m_open, {}));
    } else {
        std::move(page->m_items.begin(), page->m_items.end(), std::back_inserter(software.m_page));
        if (page->m_more && !software.m_page.empty()) {
            readRecords(gateway);
            return;
        }
        const SoftwareRecords records = decodeRecords(gateway, std::exchange(software.m_page, {}));
        for (const uint64_t number : std::exchange(software.m_open, {})) {
            if (Exchange *exchange = findExchange(gateway, number)) {
                takeUp(gateway, *exchange, records);
            }
        }
    }
    if (!software.m_lookups.empty()) {
        software.m_open = std::exchange(software.m_lookups, {});
        readRecords(gateway);
    }
}

/** Reads a page of the records of all gateways, behind those that were read. */
void readRecords(Gateway &gateway)
{
    SoftwareState &software = gateway.m_software;
    software.m_recordReads += 1;
    const std::string after = software.m_page.empty() ? "" : software.m_page.back().m_key;
    callStore(gateway,
              *software.m_lookupConnection,
              LookupCall,
              "GET",
              Platform::formatRangeTarget(Platform::SoftwarePrefix, after),
              "",
              StoreProbeTimeout,
              [&gateway](int status, const std::string &body) { handleRecordPage(gateway, status, body); });
}

//-----------------------------------------------------------------------------
// Usual versions
//-----------------------------------------------------------------------------

void applyUsual(Gateway &gateway, const Platform::StoreItem &item)
{
    std::map<std::string, UsualView> &usual = gateway.m_software.m_usual;
    const std::string service = item.m_key.substr(Platform::UsualVersionPrefix.size());
    if (item.m_removed) {
        usual.erase(service);
        return;
    }
    absl::StatusOr<UsualVersion> decoded = Platform::decodeUsualVersion(item.m_value, item.m_version);
    if (!decoded.ok()) {
        rejectItem(gateway, item, decoded.status());
        usual.erase(service);
        return;
    }
    const auto known = usual.find(service);
    if (known != usual.end() && known->second.m_usual == *decoded) {
        return;
    }
    writeLog(LogLevel::Info,
             "versions",
             decoded->m_isSettled ? "Usual software version is settled." : "Usual software version is changing.",
             {{"service", service}, {"version", decoded->m_version}, {"revision", fmt::format("{}", item.m_version.revision())}});
    usual[service] = {std::move(*decoded), gatewayNow(gateway)};
}

std::set<std::string> resumableServices(const Gateway &gateway)
{
    std::set<std::string> services;
    for (const ServingRoute &route : gateway.m_configuration->m_routes) {
        for (const ServiceShare &share : route.m_services) {
            if (route.m_resumable) {
                services.insert(share.m_service);
            }
        }
    }
    return services;
}

Duration missingFor(Gateway &gateway, const std::string &service, const UsualVersion *usual, const std::map<std::string, size_t> &versions)
{
    std::map<std::string, TimePoint> &since = gateway.m_software.m_missingSince;
    const TimePoint now = gatewayNow(gateway);
    if (usual == nullptr || versions.contains(usual->m_version)) {
        since.erase(service);
        return Duration(0);
    }
    return now - since.emplace(service, now).first->second;
}

void writeUsual(Gateway &gateway, const std::string &service, const UsualVersion *usual, const UsualChange &change)
{
    const UsualVersion written{currentEra(gateway), change.m_version, change.m_isSettled, StoreVersion()};
    const Platform::KeyRevision key{std::string(Platform::UsualVersionPrefix) + service, usual == nullptr ? 0 : usual->m_write.revision()};
    callStore(gateway,
              *gateway.m_software.m_keeperConnection,
              KeepCall,
              "POST",
              std::string(Platform::TransactionTarget),
              Platform::formatPutBody(key, Platform::encodeUsualVersion(written)),
              StoreProbeTimeout,
              [](int, const std::string &) {}); // the watch tells what came of it
}

void keepUsualVersions(Gateway &gateway)
{
    const TimePoint now = gatewayNow(gateway);
    for (const std::string &service : resumableServices(gateway)) {
        const std::map<std::string, size_t> versions = countVersions(gateway.m_registry, service);
        const UsualVersion *usual = usualVersion(gateway, service);
        const TimePoint since = usual == nullptr ? gateway.m_startedAt : gateway.m_software.m_usual.at(service).m_knownSince;
        const Duration missing = missingFor(gateway, service, usual, versions);
        const std::optional<UsualChange> change =
            decideUsualVersion(usual, currentEra(gateway), versions, now - since, missing, streamLife(gateway));
        if (change) {
            writeUsual(gateway, service, usual, *change);
            return; // one call at a time
        }
    }
}

std::set<std::string> memberRecordKeys(const Gateway &gateway)
{
    std::set<std::string> keys;
    for (const auto &[node, member] : gateway.m_membership.m_members) {
        keys.insert(recordKey(member));
    }
    return keys;
}

/** Removes the records of processes that have been gone for longer than their streams can be taken up. */
void removeOrphans(Gateway &gateway)
{
    const TimePoint now = gatewayNow(gateway);
    std::vector<Platform::KeyRevision> removed;
    const std::set<std::string> live = gateway.m_software.m_items.empty() ? std::set<std::string>() : memberRecordKeys(gateway);
    for (auto &[key, item] : gateway.m_software.m_items) {
        if (live.contains(key)) {
            item.m_orphanedSince.reset();
            continue;
        }
        item.m_orphanedSince = item.m_orphanedSince.value_or(now);
        if (now - *item.m_orphanedSince >= streamLife(gateway) + OrphanMargin && removed.size() < Platform::MaxTransactionKeys) {
            removed.push_back({key, item.m_revision});
            item.m_orphanedSince = now; // tried again later if the removal fails
        }
    }
    if (!removed.empty()) {
        callStore(gateway,
                  *gateway.m_software.m_keeperConnection,
                  KeepCall,
                  "POST",
                  std::string(Platform::TransactionTarget),
                  Platform::formatRemoveBody(removed),
                  StoreProbeTimeout,
                  [&gateway, removed](int status, const std::string &) {
                      if (status != HTTP_STATUS_PRECONDITION_FAILED) {
                          return;
                      }
                      for (const Platform::KeyRevision &key : removed) {
                          gateway.m_software.m_items.erase(key.m_key); // what is known of them is out of date
                      }
                  });
    }
}

} // namespace

bool isResumable(const Exchange &exchange)
{
    return exchange.m_route->m_kind == RequestKind::Streaming && exchange.m_route->m_resumable;
}

TakeUpForm takeUpForm(const Exchange &exchange)
{
    if (!isResumable(exchange)) {
        return TakeUpForm::None;
    }
    std::vector<std::string_view> resumes;
    for (const HttpHeader &header : exchange.m_request.m_headers) {
        if (equalHeaderNames(header.m_name, Platform::Resumes)) {
            resumes.emplace_back(header.m_value);
        }
    }
    return classifyTakeUp(resumes, findHeader(exchange.m_request.m_headers, Platform::LastEventId));
}

bool beginTakeUp(Gateway &gateway, Exchange &exchange)
{
    if (takeUpForm(exchange) == TakeUpForm::None) {
        return false;
    }
    if (isStoreLost(gateway)) {
        refuseExchange(gateway, exchange, Reason::StreamVersionUnknown);
        return true;
    }
    SoftwareState &software = gateway.m_software;
    // A read that is open may have been answered before the stream was recorded.
    software.m_lookups.push_back(exchange.m_number);
    if (!isCalling(*software.m_lookupConnection)) {
        software.m_open = std::exchange(software.m_lookups, {});
        readRecords(gateway);
    }
    return true;
}

bool fixVersion(Gateway &gateway, Exchange &exchange)
{
    if (!isResumable(exchange) || exchange.m_softwareVersion) {
        return !exchange.m_isRecording; // an attempt may have been replaced while its stream was being recorded
    }
    const std::string &version = exchange.m_attempt->m_softwareVersion;
    exchange.m_softwareVersion = version;
    if (isUsual(usualVersion(gateway, exchange.m_service), version, currentEra(gateway))) {
        return true;
    }
    StreamRecords &records = gateway.m_software.m_records;
    addStreamRecord(records, keyOf(exchange, exchange.m_attemptId), version, streamLife(gateway), gatewayNow(gateway));
    records.m_waiting.push_back(exchange.m_number);
    exchange.m_isRecording = true;
    if (!gateway.m_software.m_recordTimer.isActive()) {
        writeRecords(gateway);
    }
    return false;
}

std::optional<std::string> requiredVersion(const Gateway &gateway, const Exchange &exchange)
{
    if (!isResumable(exchange)) {
        return std::nullopt;
    }
    const bool isRecordable = !isStoreLost(gateway) && canRecord(gateway.m_software.m_records, gatewayNow(gateway));
    if (exchange.m_softwareVersion || isRecordable) {
        return exchange.m_softwareVersion;
    }
    const std::map<std::string, size_t> versions = countVersions(gateway.m_registry, exchange.m_service);
    return requiredVersion(std::nullopt, isRecordable, usualVersion(gateway, exchange.m_service), currentEra(gateway), versions);
}

bool hasVersionLeft(Gateway &gateway, const Exchange &exchange)
{
    const std::vector<std::string> &ids = gateway.m_replicasByService[exchange.m_service];
    return exchange.m_softwareVersion && std::none_of(ids.begin(), ids.end(), [&](const std::string &id) {
               return gateway.m_upstreams.at(id).m_record.m_softwareVersion == *exchange.m_softwareVersion;
           });
}

void applySoftwareItem(Gateway &gateway, const Platform::StoreItem &item)
{
    std::map<std::string, RecordItem> &items = gateway.m_software.m_items;
    if (item.m_key.starts_with(Platform::UsualVersionPrefix)) {
        applyUsual(gateway, item);
    } else if (item.m_key.starts_with(Platform::StreamRecordPrefix) && item.m_removed) {
        items.erase(item.m_key);
    } else if (item.m_key.starts_with(Platform::StreamRecordPrefix)) {
        items[item.m_key].m_revision = item.m_version.revision();
    }
}

void replaceSoftwareItems(Gateway &gateway, const std::vector<Platform::StoreItem> &items)
{
    SoftwareState &software = gateway.m_software;
    std::set<std::string> listed;
    for (const Platform::StoreItem &item : items) {
        listed.insert(item.m_key);
        applySoftwareItem(gateway, item);
    }
    std::erase_if(software.m_items, [&listed](const auto &entry) { return !listed.contains(entry.first); });
    std::erase_if(software.m_usual,
                  [&listed](const auto &entry) { return !listed.contains(std::string(Platform::UsualVersionPrefix) + entry.first); });
}

void startSoftware(Gateway &gateway)
{
    gateway.m_software.m_recordConnection = newStoreConnection();
    gateway.m_software.m_lookupConnection = newStoreConnection();
    gateway.m_software.m_keeperConnection = newStoreConnection();
}

void keepSoftware(Gateway &gateway)
{
    SoftwareState &software = gateway.m_software;
    if (!gateway.m_configuration || !isListed(gateway) || isStoreLost(gateway) || gateway.m_draining) {
        return;
    }
    StreamRecords &records = software.m_records;
    const bool isOver = records.m_revision != 0 && records.m_waiting.empty() && records.m_writing.empty()
        && currentRecords(records, gatewayNow(gateway)).empty();
    if (isOver && !isCalling(*software.m_recordConnection)) {
        writeRecords(gateway); // removes the item
    }
    const TimePoint now = gatewayNow(gateway);
    const std::string &self = gateway.m_settings.m_node;
    const std::string &keeper = ownerOf(gateway.m_membership, "software versions", now);
    if (keeper == self && !isCalling(*software.m_keeperConnection)) {
        keepUsualVersions(gateway);
    }
    // Only gateways that watch the store themselves know the records.
    const std::vector<std::string> watchers = relayWatchers(gateway.m_membership, now);
    if ((watchers.empty() ? keeper : watchers.front()) == self && !isCalling(*software.m_keeperConnection)) {
        removeOrphans(gateway);
    }
}

} // namespace Medlarramp::Serving
