#include <algorithm>

#include <fmt/format.h>

#include "gateway_internal.h"

namespace Medlarramp::Serving {

/**
 * A connection to the key-value store with at most one open call. It stays open between calls; each kind of call has its own
 * connection.
 */
struct StoreConnection {
    NetConnection *m_net = nullptr;
    HttpReader m_reader{HTTP_RESPONSE, MaxHeadBytes, MaxBodyBytes};
    /** HTTP status (0: no answer, 413: an answer beyond the limit) and body; the answer belongs to StoreClient::m_era. */
    std::function<void(int, std::string)> m_onEnd;
    std::string_view m_call; ///< name of the open call in the log
    NetTimer m_timeout;
    bool m_busy = false;
    bool m_isConnected = false; ///< the handshake has ended
    TimePoint m_startedAt; ///< start of the open or last call

    static constexpr size_t MaxHeadBytes = 16 * 1024;
    static constexpr size_t MaxBodyBytes = 64 * 1024 * 1024; ///< enough for a full history of large values
};

namespace {

constexpr Duration MaxStoreCallTime = seconds(30); ///< for a call whose answer goes on arriving, waits of watches included
constexpr Duration CallTimeout = milliseconds(2000); ///< the store usually answers within milliseconds
/**
 * Wait of a watch call that follows an interruption or an answer with events. A call that is lost with the disruption that caused
 * them is noticed after this time and ShortWatchMargin.
 */
constexpr Duration ShortWatchWait = milliseconds(1000);
constexpr Duration ShortWatchMargin = milliseconds(750); ///< added to the wait for the timeout of the call
constexpr Duration LongWatchWait = seconds(15); ///< of calls on a proven watch, as each call is billed
constexpr Duration LongWatchMargin = seconds(2);
constexpr Duration MinWatchInterval = milliseconds(500); ///< least setting of StoreWatch::m_pause
constexpr Duration MaxWatchInterval = milliseconds(1000);
constexpr size_t Sentinels = 2; ///< gateways whose watch never waits for long
constexpr Duration MinRevisionInterval = milliseconds(500); ///< between two messages with revisions
/** The pause is this part of GatewaySettings::m_leavingTime; the rest is for the call and for requests on their way. */
constexpr int64_t LeavingTimeDivisor = 4;
constexpr Duration StoreConnectTimeout = milliseconds(400); ///< less than the second after which a lost opening packet is sent again
constexpr Duration StoreSilenceTimeout = milliseconds(2000); ///< whole seconds, the resolution of TCP keep-alive probes
constexpr Duration ConfirmingWatchWait = milliseconds(10); ///< wait of a watch call while changes may be missing
/** How long new requests wait for the store after a pause of the process. Without an answer, traffic goes on as known. */
constexpr Duration ConfirmTimeout = milliseconds(500);
constexpr Duration MaxParkedTime = seconds(3); ///< a parked watch is retried after this time at the latest
constexpr Duration LeaseTime = seconds(6); ///< a crashed member stays listed for at most this time
constexpr Duration LeaseRenewal = milliseconds(1900); ///< two consecutive renewals may fail before the lease expires

constexpr size_t MaxLoggedEraBytes = 32;
constexpr std::string_view WatchCall = "watch"; ///< names of calls in the log
constexpr std::string_view ListCall = "list";
constexpr std::string_view LeaseCall = "lease";
constexpr std::string_view RegisterCall = "register";
constexpr std::string_view RenewCall = "renew";
constexpr std::string_view RevokeCall = "revoke";

void startListing(Gateway &gateway);
void readPage(Gateway &gateway, const std::string &after);
void callWatch(Gateway &gateway);
void renewLease(Gateway &gateway);
void requestLease(Gateway &gateway);
void dropStoreCall(StoreConnection &connection);
void resumeAfterOutage(Gateway &gateway);

//-----------------------------------------------------------------------------
// Calls
//-----------------------------------------------------------------------------

/** Frees the connection for the next call. @return the callback of the call that was open */
std::function<void(int, std::string)> releaseStoreCall(StoreConnection &connection, bool keep)
{
    connection.m_timeout.stop();
    connection.m_busy = false;
    if (!keep && connection.m_net != nullptr) {
        connection.m_net->close();
        connection.m_net = nullptr;
    }
    connection.m_reader.reset();
    return std::exchange(connection.m_onEnd, nullptr);
}

/** Records how a call ended. Every call passes here, whatever it was for. */
void recordStoreReply(Gateway &gateway, const StoreConnection &connection, StoreReply reply, int status)
{
    StoreContact &contact = gateway.m_store.m_contact;
    const bool wasAvailable = contact.m_isAvailable;
    const int failures = contact.m_failures;
    const ContactStep step = observeStoreReply(contact, reply);
    if (reply == StoreReply::Answered) {
        if (!wasAvailable) {
            const std::optional<TimePoint> since = gateway.m_registry.m_storeUnavailableSince;
            const Duration outage = since ? gatewayNow(gateway) - *since : Duration(0);
            writeLog(LogLevel::Info,
                     "store",
                     "Key-value store is available.",
                     {{"call", std::string(connection.m_call)},
                      {"status", fmt::format("{}", status)},
                      {"failures", fmt::format("{}", failures)},
                      {"outage_ms", fmt::format("{}", outage.count() / 1000)}});
        }
        observeStoreSuccess(gateway.m_registry, gatewayNow(gateway));
        return;
    }
    // A waiting watch may be cut off at any time, so its failure is no evidence that the store was out of reach before.
    const bool hasWaited = connection.m_call == WatchCall && connection.m_isConnected;
    const bool isSince = reply == StoreReply::None && !hasWaited;
    observeStoreFailure(gateway.m_registry, isSince ? connection.m_startedAt : gatewayNow(gateway));
    if (step == ContactStep::Lost) {
        writeLog(LogLevel::Warning,
                 "store",
                 "Call to the key-value store failed.",
                 {{"call", std::string(connection.m_call)}, {"status", fmt::format("{}", status)}});
    }
}

/** Ends a call: records how it ended, and then resumes what has waited for the store. */
void finishStoreCall(Gateway &gateway, StoreConnection &connection, int status, std::string body, bool keep)
{
    const bool wasLost = gateway.m_store.m_contact.m_failures > 0;
    recordStoreReply(gateway, connection, storeReplyOf(status), status);
    if (const auto callback = releaseStoreCall(connection, keep)) {
        callback(status, std::move(body));
    }
    if (wasLost && gateway.m_store.m_contact.m_isAvailable) {
        resumeAfterOutage(gateway);
    }
}

/** The store was restored from a backup: reads it again, and replaces the lease, whose id may have been assigned to another client. */
void enterEra(Gateway &gateway)
{
    StoreClient &store = gateway.m_store;
    writeLog(LogLevel::Warning,
             "store",
             "Key-value store was restored from a backup; reading it again.",
             {{"era", fmt::format("{}", store.m_era.m_era)}, {"revision", fmt::format("{}", store.m_watch.m_version.revision())}});
    beginEra(store.m_era, gateway.m_registry, store.m_members, gatewayNow(gateway));
    listAgain(gateway);
    store.m_lease = 0;
    loseColdLease(gateway.m_cold);
    store.m_leaseTimer.stop();
    if (store.m_leaseConnection->m_busy) {
        dropStoreCall(*store.m_leaseConnection);
    }
    if (!gateway.m_draining) {
        requestLease(gateway);
    }
}

/** Ends a call whose answer begins a new era. The question was asked in an earlier one, so that the answer means something else. */
void endCallOfEarlierEra(Gateway &gateway, StoreConnection &connection, bool keepAlive)
{
    const StoreClient &store = gateway.m_store;
    const int status = connection.m_reader.m_status;
    recordStoreReply(gateway, connection, storeReplyOf(status), status);
    const auto callback = releaseStoreCall(connection, keepAlive);
    enterEra(gateway);
    const bool isStartedAgain = &connection == store.m_watch.m_connection || &connection == store.m_leaseConnection;
    if (callback && !isStartedAgain) {
        callback(0, "");
    }
}

/** Ends a call with the answer that has been read, according to the era of the answer. */
void finishAnswer(Gateway &gateway, StoreConnection &connection)
{
    const HttpReader &reader = connection.m_reader;
    const bool keepAlive = reader.m_keepAlive;
    const std::optional<std::string_view> header = findHeader(reader.m_headers, Platform::StoreEraHeader);
    StoreEra &era = gateway.m_store.m_era;
    switch (observeEra(era, header.has_value(), header ? Platform::parseStoreEra(*header) : std::nullopt)) {
    case EraStep::Current: {
        std::string body = std::move(connection.m_reader.m_body);
        finishStoreCall(gateway, connection, reader.m_status, std::move(body), keepAlive);
        return;
    }
    case EraStep::Begins:
        endCallOfEarlierEra(gateway, connection, keepAlive);
        return;
    case EraStep::Ignored:
        writeLog(LogLevel::Warning,
                 "store",
                 "Answer of the key-value store ignored: its era is unreadable, implausible or lower than the known one.",
                 {{"era", std::string(header->substr(0, MaxLoggedEraBytes))}, {"known", fmt::format("{}", era.m_era)}});
        finishStoreCall(gateway, connection, 0, "", false);
        return;
    }
}

/** Ends a call without an answer, or closes an idle connection on which something arrives. */
void failStoreCall(Gateway &gateway, StoreConnection &connection)
{
    if (connection.m_busy) {
        finishStoreCall(gateway, connection, 0, "", false);
    } else {
        releaseStoreCall(connection, false);
    }
}

void connectStore(Gateway &gateway, StoreConnection &connection)
{
    ConnectionOptions options;
    options.m_connectTimeout = StoreConnectTimeout;
    options.m_silenceTimeout = StoreSilenceTimeout;
    connection.m_reader.reset();
    // Only the answers to the watch and its listings are large, and only one of them is open at a time.
    const size_t maxBody = std::min(StoreConnection::MaxBodyBytes, gateway.m_memory.m_limits[HolderKind::Store]);
    connection.m_reader.setLimits(StoreConnection::MaxHeadBytes, maxBody);
    connection.m_isConnected = false;
    connection.m_net = NetConnection::connect(gateway.m_loop, gateway.m_store.m_address, options);
    connection.m_net->m_onConnect = [&connection] { connection.m_isConnected = true; };
    connection.m_net->m_onData = [&gateway, &connection](std::string_view data) {
        const size_t used = connection.m_reader.feed(data);
        if (connection.m_busy && connection.m_reader.m_state == ParseState::BodyTooLarge) {
            finishStoreCall(gateway, connection, HTTP_STATUS_PAYLOAD_TOO_LARGE, "", false);
            return;
        }
        if (!connection.m_busy || (connection.m_reader.m_state != ParseState::Done && used < data.size())) {
            failStoreCall(gateway, connection);
            return;
        }
        if (connection.m_reader.m_state == ParseState::Done) {
            finishAnswer(gateway, connection);
        }
    };
    connection.m_net->m_onClose = [&gateway, &connection](CloseCause, const absl::Status &) {
        connection.m_net = nullptr;
        if (connection.m_busy) {
            failStoreCall(gateway, connection);
        }
    };
}

/** Gives a call up after @p limit unless more of its answer than @p received bytes has arrived: a large one takes its time on a slow link.
 */
void limitStoreCall(Gateway &gateway, StoreConnection &connection, Duration limit, size_t received)
{
    connection.m_timeout.start(gateway.m_loop, limit, [&gateway, &connection, received] {
        const size_t arrived = connection.m_reader.m_started ? connection.m_reader.occupiedBytes() : 0;
        const bool isOverdue = gatewayNow(gateway) - connection.m_startedAt > MaxStoreCallTime;
        if (arrived <= received || isOverdue) {
            failStoreCall(gateway, connection);
        } else {
            limitStoreCall(gateway, connection, StoreProbeTimeout, arrived);
        }
    });
}

} // namespace

void callStore(Gateway &gateway,
               StoreConnection &connection,
               std::string_view call,
               const std::string &method,
               const std::string &target,
               std::string_view body,
               Duration timeout,
               std::function<void(int, std::string)> onEnd)
{
    if (connection.m_net == nullptr) {
        connectStore(gateway, connection);
    }
    connection.m_busy = true;
    connection.m_call = call;
    connection.m_startedAt = gatewayNow(gateway);
    connection.m_onEnd = std::move(onEnd);
    HttpHeaders headers = {{"Host", toString(gateway.m_store.m_address)}};
    if (!body.empty()) {
        headers.push_back({"Content-Type", "application/json"});
    }
    connection.m_net->write(formatRequest(method, target, headers, body));
    limitStoreCall(gateway, connection, storeCallTimeout(gateway.m_store.m_contact, timeout), 0);
}

StoreConnection *newStoreConnection()
{
    return new StoreConnection;
}

bool isCalling(const StoreConnection &connection)
{
    return connection.m_busy;
}

void recordUnreadableAnswer(Gateway &gateway, const StoreConnection &connection, int status)
{
    if (storeReplyOf(status) == StoreReply::Answered) {
        recordStoreReply(gateway, connection, StoreReply::Refused, status);
    }
}

namespace {

/** Ends an open call without its callback and closes the connection. */
void dropStoreCall(StoreConnection &connection)
{
    releaseStoreCall(connection, false);
}

/** Lists or watches again after a failed call. */
void resumeWatch(Gateway &gateway)
{
    StoreWatch &watch = gateway.m_store.m_watch;
    watch.m_isParked = false;
    watch.m_timer.stop();
    if (watch.m_isListed) {
        callWatch(gateway);
    } else {
        startListing(gateway);
    }
}

/**
 * Retries a listing or watch after a failed call: soon after the first failure, as a call may be cut at any time. After
 * that, the renewal of the lease, which costs a tenth of other calls, finds out when the store is available again.
 */
void parkWatch(Gateway &gateway)
{
    StoreWatch &watch = gateway.m_store.m_watch;
    watch.m_isParked = true;
    observeInterruption(watch.m_progress);
    const StoreContact &contact = gateway.m_store.m_contact;
    const bool isProbed = gateway.m_store.m_lease != 0 && !gateway.m_draining && contact.m_failures > 1;
    const Duration delay = isProbed ? MaxParkedTime : storeRetryDelay(contact, gateway.m_random);
    watch.m_timer.start(gateway.m_loop, delay, [&gateway] { resumeWatch(gateway); });
}

/** Ends an open call and starts the watch or its listings again. */
void restartWatch(Gateway &gateway)
{
    StoreWatch &watch = gateway.m_store.m_watch;
    dropStoreCall(*watch.m_connection);
    observeInterruption(watch.m_progress);
    resumeWatch(gateway);
}

/** The store is back: resumes the watch, or starts its call again if that may get no answer. */
void resumeAfterOutage(Gateway &gateway)
{
    StoreContact &contact = gateway.m_store.m_contact;
    const StoreWatch &watch = gateway.m_store.m_watch;
    const WatchRestart restart = restartAfterOutage(contact, watch.m_isParked, watch.m_connection->m_busy);
    contact.m_hasLostAnswer = false;
    switch (restart) {
    case WatchRestart::Resume:
        resumeWatch(gateway);
        return;
    case WatchRestart::Replace:
        restartWatch(gateway);
        return;
    case WatchRestart::None:
        return;
    }
}

void countUnreadable(Gateway &gateway, const Platform::StoreItems &items)
{
    if (items.m_unreadable > 0) {
        gateway.m_invalidItems += static_cast<uint64_t>(items.m_unreadable);
        writeLog(LogLevel::Warning, "store", "Items without a readable key ignored.", {{"count", fmt::format("{}", items.m_unreadable)}});
    }
}

/** Logs the first answer to the watch or a listing after an interruption. */
void logContinuation(const Gateway &gateway)
{
    const StoreWatch &watch = gateway.m_store.m_watch;
    if (watch.m_progress.m_isInterrupted) {
        writeLog(LogLevel::Info,
                 "store",
                 "Watch continues after an interruption.",
                 {{"silent_ms", fmt::format("{}", watchAge(gateway).count() / 1000)},
                  {"revision", fmt::format("{}", watch.m_version.revision())}});
    }
}

//-----------------------------------------------------------------------------
// Items of the store
//-----------------------------------------------------------------------------

void applyConfiguration(Gateway &gateway, const Platform::StoreItem &item)
{
    adoptConfiguration(gateway, item.m_value, writeVersion(gateway.m_store.m_era, item.m_version));
}

std::string idOf(const std::string &key, std::string_view prefix)
{
    return key.substr(prefix.size());
}

bool startsWith(const std::string &text, std::string_view prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

std::optional<Member> readMember(Gateway &gateway, const Platform::StoreItem &item)
{
    absl::StatusOr<Member> member = Platform::decodeMember(item.m_value);
    if (!member.ok()) {
        gateway.m_invalidItems += 1;
        writeLog(LogLevel::Warning,
                 "store",
                 "Invalid member ignored.",
                 {{"key", item.m_key}, {"error", std::string(member.status().message())}});
        return std::nullopt;
    }
    return std::move(*member);
}

void applyMember(Gateway &gateway, const Platform::StoreItem &item)
{
    StoreClient &store = gateway.m_store;
    if (item.m_removed) {
        removeMemberItem(store.m_members, store.m_era, item.m_key, gatewayNow(gateway));
        return;
    }
    // A member that was known stays one until its item is removed, even if it becomes invalid: tasks may be open at it.
    if (std::optional<Member> member = readMember(gateway, item)) {
        applyMemberItem(store.m_members, store.m_era, item.m_key, std::move(*member), item.m_version);
    }
}

void applyMembers(Gateway &gateway)
{
    StoreClient &store = gateway.m_store;
    const TimePoint now = gatewayNow(gateway);
    const std::optional<TimePoint> next = expireMembers(store.m_members, now);
    std::vector<Member> members;
    for (const auto &[key, listed] : store.m_members.m_members) {
        members.push_back(listed.m_member);
    }
    replaceMembers(gateway.m_membership, std::move(members), now);
    noteMembers(gateway);
    if (next) {
        store.m_memberTimer.start(gateway.m_loop, *next - now, [&gateway] { applyMembers(gateway); });
    }
}

void applyMemberListing(Gateway &gateway, const std::vector<Platform::StoreItem> &items)
{
    StoreClient &store = gateway.m_store;
    std::vector<std::pair<std::string, ListedMember>> listed;
    replaceSoftwareItems(gateway, items);
    for (const Platform::StoreItem &item : items) {
        if (startsWith(item.m_key, Platform::SoftwarePrefix)) {
            continue;
        }
        if (std::optional<Member> member = readMember(gateway, item)) {
            listed.emplace_back(item.m_key, ListedMember{std::move(*member), item.m_version, std::nullopt});
        }
    }
    applyMemberItems(store.m_members, store.m_era, listed, gatewayNow(gateway));
    applyMembers(gateway);
}

/** An entry that can't be read names no replica to use, also when it replaces one that did. */
std::optional<ReplicaRecord> readRecord(Gateway &gateway, const Platform::StoreItem &item)
{
    absl::StatusOr<ReplicaRecord> record = Platform::decodeRegistration(idOf(item.m_key, Platform::RegistrationPrefix), item.m_value);
    if (!record.ok()) {
        gateway.m_invalidItems += 1;
        writeLog(LogLevel::Warning,
                 "registry",
                 "Invalid registration ignored.",
                 {{"key", item.m_key}, {"error", std::string(record.status().message())}});
        return std::nullopt;
    }
    noteRegistration(gateway, *record, item.m_version.revision());
    return std::move(*record);
}

/** Logs a change of what the gateway does with a replica; @p age is that of the knowledge it replaces. */
void logReplicaChange(const Gateway &gateway, const std::string &id, std::string_view before, int64_t revision, Duration age)
{
    const std::string_view after = describeReplica(gateway.m_registry, id);
    if (after != before) {
        writeLog(LogLevel::Info,
                 "registry",
                 "Registration changed.",
                 {{"replica", id},
                  {"before", std::string(before)},
                  {"after", std::string(after)},
                  {"revision", fmt::format("{}", revision)},
                  {"age_ms", fmt::format("{}", age.count() / 1000)}});
    }
}

void expireRegistrations(Gateway &gateway)
{
    const TimePoint now = gatewayNow(gateway);
    std::vector<std::string> expiring;
    for (const auto &[id, replica] : gateway.m_registry.m_replicas) {
        if (replica.m_removeAt && *replica.m_removeAt <= now) {
            expiring.push_back(id);
        }
    }
    const std::optional<TimePoint> next = expireReplicas(gateway.m_registry, now);
    for (const std::string &id : expiring) {
        logReplicaChange(gateway, id, "missing", 0, watchAge(gateway));
    }
    syncUpstreams(gateway);
    if (next) {
        gateway.m_store.m_expiryTimer.start(gateway.m_loop, *next - now, [&gateway] { expireRegistrations(gateway); });
    }
}

} // namespace

void applyEvents(Gateway &gateway, const Platform::StoreItems &events, Duration age)
{
    const TimePoint now = gatewayNow(gateway);
    bool replicasChanged = false;
    bool membersChanged = false;
    for (const Platform::StoreItem &item : events.m_items) {
        if (item.m_key == Platform::ConfigurationKey && !item.m_removed) {
            applyConfiguration(gateway, item);
            replicasChanged = true;
        } else if (startsWith(item.m_key, Platform::EvacuationPrefix)) {
            applyEvacuation(gateway, item);
            replicasChanged = true;
        } else if (startsWith(item.m_key, Platform::SoftwarePrefix)) {
            applySoftwareItem(gateway, item);
        } else if (startsWith(item.m_key, Platform::MemberPrefix)) {
            applyMember(gateway, item);
            membersChanged = true;
        } else if (startsWith(item.m_key, Platform::RegistrationPrefix)) {
            replicasChanged = true;
            const std::string id = idOf(item.m_key, Platform::RegistrationPrefix);
            const std::string_view before = describeReplica(gateway.m_registry, id);
            std::optional<ReplicaRecord> record = item.m_removed ? std::nullopt : readRecord(gateway, item);
            if (record) {
                applyRegistration(gateway.m_registry, gateway.m_store.m_era, std::move(*record), item.m_version);
            } else if (item.m_removed) {
                removeReplica(gateway.m_registry, id, now);
            } else {
                gateway.m_registry.m_replicas.erase(id);
            }
            logReplicaChange(gateway, id, before, item.m_version.revision(), age);
        }
    }
    if (membersChanged) {
        applyMembers(gateway);
    }
    if (replicasChanged) {
        expireRegistrations(gateway);
    }
}

namespace {

void applyRegistrationListing(Gateway &gateway, const std::vector<Platform::StoreItem> &items)
{
    std::vector<std::pair<ReplicaRecord, StoreVersion>> records;
    for (const Platform::StoreItem &item : items) {
        if (std::optional<ReplicaRecord> record = readRecord(gateway, item)) {
            records.emplace_back(std::move(*record), item.m_version);
        }
    }
    const std::map<std::string, std::string_view> before = describeReplicas(gateway.m_registry);
    applyRegistrations(gateway.m_registry, gateway.m_store.m_era, records, gatewayNow(gateway));
    applyRegistryChange(gateway, before);
}

/** Replaces the registrations or members by a complete listing, or applies the configuration. */
void applyListing(Gateway &gateway, StoreRange range, const std::vector<Platform::StoreItem> &items)
{
    switch (range) {
    case StoreRange::Operator:
        replaceEvacuations(gateway, items);
        for (const Platform::StoreItem &item : items) {
            if (item.m_key == Platform::ConfigurationKey) {
                applyConfiguration(gateway, item);
            }
        }
        syncUpstreams(gateway);
        return;
    case StoreRange::Members:
        applyMemberListing(gateway, items);
        return;
    case StoreRange::Registrations:
        applyRegistrationListing(gateway, items);
        return;
    }
}

//-----------------------------------------------------------------------------
// Listing and watching
//-----------------------------------------------------------------------------

std::string_view prefixOf(StoreRange range)
{
    switch (range) {
    case StoreRange::Operator:
        return Platform::OperatorPrefix;
    case StoreRange::Members:
        return Platform::MemberPrefix;
    case StoreRange::Registrations:
        return Platform::RegistrationPrefix;
    }
    return "";
}

/** Continues held requests once what is known has been confirmed. */
void confirm(Gateway &gateway)
{
    if (gateway.m_isUnconfirmed && gateway.m_store.m_watch.m_progress.m_isCurrent) {
        admitHeldRequests(gateway);
    }
}

void startListing(Gateway &gateway)
{
    StoreWatch &watch = gateway.m_store.m_watch;
    watch.m_listStartedAt = gatewayNow(gateway);
    watch.m_listing = 0;
    watch.m_page.clear();
    watch.m_listVersion.reset();
    readPage(gateway, "");
}

/** Continues with the next listing, or with the watch after the last one. */
void finishListing(Gateway &gateway)
{
    StoreWatch &watch = gateway.m_store.m_watch;
    applyListing(gateway, StoreRanges.at(watch.m_listing), std::exchange(watch.m_page, {}));
    watch.m_listing += 1;
    if (watch.m_listing < StoreRanges.size()) {
        readPage(gateway, "");
        return;
    }
    const bool isFirst = !watch.m_wasListed;
    watch.m_isListed = true;
    watch.m_wasListed = true;
    for (const std::string &failureDomain : gateway.m_registry.m_evacuatedDomains) {
        reportUnknownEvacuation(gateway, failureDomain);
    }
    observeListing(watch.m_progress, true, gatewayNow(gateway));
    // Pages and listings may differ in revision, so the watch starts at that of the first page.
    watch.m_version = watch.m_listVersion.value_or(StoreVersion());
    if (gateway.m_store.m_era.m_era > 0) {
        askPeersForState(gateway, isFirst);
    }
    observeColdView(gateway.m_cold, watch.m_listStartedAt, gatewayNow(gateway));
    confirm(gateway);
    callWatch(gateway);
}

void handlePage(Gateway &gateway, int status, const std::string &body)
{
    StoreWatch &watch = gateway.m_store.m_watch;
    absl::StatusOr<Platform::StoreItems> page =
        status == HTTP_STATUS_OK ? Platform::decodeItems(body, gateway.m_store.m_era.m_era) : absl::UnavailableError("no answer");
    if (!page.ok()) {
        recordUnreadableAnswer(gateway, *watch.m_connection, status);
        parkWatch(gateway);
        return;
    }
    logContinuation(gateway);
    observeListing(watch.m_progress, false, gatewayNow(gateway));
    countUnreadable(gateway, *page);
    observeFirstVersion(gateway.m_store.m_era, page->m_asOf);
    watch.m_listVersion = watch.m_listVersion.value_or(page->m_asOf);
    const std::string last = page->m_items.empty() ? "" : page->m_items.back().m_key;
    const bool more = page->m_more && !last.empty();
    std::move(page->m_items.begin(), page->m_items.end(), std::back_inserter(watch.m_page));
    if (more) {
        readPage(gateway, last);
    } else {
        finishListing(gateway);
    }
}

void readPage(Gateway &gateway, const std::string &after)
{
    StoreWatch &watch = gateway.m_store.m_watch;
    const std::string target = Platform::formatRangeTarget(prefixOf(StoreRanges.at(watch.m_listing)), after);
    callStore(gateway, *watch.m_connection, ListCall, "GET", target, "", CallTimeout, [&gateway](int status, const std::string &body) {
        handlePage(gateway, status, body);
    });
}

/** The earliest time at which the store may have read what the answer to a watch call tells. */
TimePoint viewTime(const Gateway &gateway, const Platform::StoreItems &events)
{
    const StoreWatch &watch = gateway.m_store.m_watch;
    const TimePoint startedAt = watch.m_connection->m_startedAt;
    const bool hasWaited = gatewayNow(gateway) >= startedAt + watch.m_wait;
    return events.m_items.empty() && hasWaited ? startedAt + watch.m_wait : startedAt;
}

void handleWatch(Gateway &gateway, int status, const std::string &body)
{
    StoreWatch &watch = gateway.m_store.m_watch;
    absl::StatusOr<Platform::StoreItems> events =
        status == HTTP_STATUS_OK ? Platform::decodeItems(body, gateway.m_store.m_era.m_era) : absl::UnavailableError("no answer");
    if (events.ok()) {
        const Duration age = watchAge(gateway);
        const StoreVersion from = watch.m_version;
        const TimePoint viewAt = viewTime(gateway, *events);
        const bool wasCurrent = watch.m_progress.m_isCurrent;
        logContinuation(gateway);
        observeWatchAnswer(watch.m_progress, !events->m_items.empty(), gatewayNow(gateway));
        countUnreadable(gateway, *events);
        // A relayed answer may have told of newer changes while this call was open.
        std::erase_if(events->m_items,
                      [from](const Platform::StoreItem &item) { return item.m_version.revision() != 0 && item.m_version <= from; });
        watch.m_version.advanceTo(events->m_asOf);
        gateway.m_relay.m_currentAt = gatewayNow(gateway);
        applyEvents(gateway, *events, age);
        if (watch.m_progress.m_isCurrent) {
            observeColdView(gateway.m_cold, viewAt, gatewayNow(gateway));
        }
        relayAnswer(gateway, from, *events);
        confirm(gateway);
        gossipRevision(gateway);
        const Duration pause = pauseBeforeWatch(watch.m_progress, wasCurrent, watch.m_interval, gatewayNow(gateway));
        watch.m_timer.start(gateway.m_loop, pause, [&gateway] { callWatch(gateway); });
        return;
    }
    if (status == HTTP_STATUS_GONE || status == HTTP_STATUS_PAYLOAD_TOO_LARGE) {
        writeLog(LogLevel::Info,
                 "store",
                 status == HTTP_STATUS_GONE ? "Watch history is no longer available; listing again."
                                            : "Changes exceed the limit of an answer; listing again.",
                 {{"revision", fmt::format("{}", watch.m_version.revision())}});
        watch.m_isListed = false;
        startListing(gateway);
        return;
    }
    recordUnreadableAnswer(gateway, *watch.m_connection, status);
    parkWatch(gateway);
}

/** Whether this is one of the few gateways that never wait for long, so that a change is noticed even if all others miss it. */
bool isSentinel(const Gateway &gateway)
{
    const std::vector<std::string> others = membersFrom(gateway, 0);
    return others.size() < Sentinels || hash64(gateway.m_settings.m_node) < hash64(others[Sentinels - 1]);
}

/** Watches again when relayed answers no longer come. */
void awaitRelay(Gateway &gateway)
{
    StoreWatch &watch = gateway.m_store.m_watch;
    const TimePoint since = std::min(gateway.m_relay.m_receivedAt, gateway.m_relay.m_currentAt);
    const Duration left = since + relayTimeout(gateway) - gatewayNow(gateway);
    watch.m_timer.start(gateway.m_loop, left, [&gateway] { callWatch(gateway); });
}

void callWatch(Gateway &gateway)
{
    StoreWatch &watch = gateway.m_store.m_watch;
    const bool wasFollowing = std::exchange(gateway.m_relay.m_isFollowing, isFollowing(gateway));
    if (wasFollowing != gateway.m_relay.m_isFollowing) {
        writeLog(LogLevel::Info,
                 "store",
                 wasFollowing ? "Relayed answers no longer come; watching the key-value store." : "Following the watch of another gateway.",
                 {{"revision", fmt::format("{}", watch.m_version.revision())}});
    }
    if (gateway.m_relay.m_isFollowing) {
        awaitRelay(gateway);
        return;
    }
    const WatchProgress &progress = watch.m_progress;
    const bool isLong = progress.m_isCurrent && progress.m_isProven && !isSentinel(gateway) && gateway.m_relay.m_subscribers.empty();
    const Duration wait = !progress.m_isCurrent ? ConfirmingWatchWait : isLong ? LongWatchWait : ShortWatchWait;
    const Duration margin = isLong ? LongWatchMargin : ShortWatchMargin;
    watch.m_wait = wait;
    writeLog(progress.m_isInterrupted ? LogLevel::Info : LogLevel::Debug,
             "store",
             "Watch started.",
             {{"revision", fmt::format("{}", watch.m_version.revision())},
              {"connection", watch.m_connection->m_net == nullptr ? "new" : "kept"},
              {"wait_ms", fmt::format("{}", wait.count() / 1000)}});
    gateway.m_watchCalls += 1;
    beginRelayedCall(gateway.m_relay);
    // All keys have the empty prefix.
    const std::string target = Platform::formatWatchTarget("", watch.m_version.revision(), wait);
    callStore(gateway, *watch.m_connection, WatchCall, "GET", target, "", wait + margin, [&gateway](int status, const std::string &body) {
        handleWatch(gateway, status, body);
    });
}

/** Starts the watch again if it has not got to @p seen although its call is open or other gateways call for it. */
void restartIfBehind(Gateway &gateway, const StoreVersion &seen)
{
    const StoreWatch &watch = gateway.m_store.m_watch;
    const bool isCalling = watch.m_connection->m_busy || gateway.m_relay.m_isFollowing;
    if (watch.m_version >= seen || !watch.m_isListed || watch.m_isParked || !isCalling) {
        return; // up to date, or about to be
    }
    gateway.m_relay.m_currentAt = TimePoint();
    writeLog(LogLevel::Warning,
             "store",
             "Watch misses changes that another gateway has seen; starting it again.",
             {{"revision", fmt::format("{}", watch.m_version.revision())},
              {"seen", fmt::format("{}", seen.revision())},
              {"seen_era", fmt::format("{}", seen.era())},
              {"silent_ms", fmt::format("{}", watchAge(gateway).count() / 1000)}});
    restartWatch(gateway);
}

/** Interval of answers with events, so that a replica that leaves gets no work later than the settings allow. */
Duration watchInterval(const GatewaySettings &settings)
{
    return std::clamp(settings.m_leavingTime / LeavingTimeDivisor, MinWatchInterval, MaxWatchInterval);
}

//-----------------------------------------------------------------------------
// Membership
//-----------------------------------------------------------------------------

void scheduleLease(Gateway &gateway, Duration delay)
{
    gateway.m_store.m_leaseTimer.start(gateway.m_loop, delay, [&gateway] { renewLease(gateway); });
}

void handleLeaseFailure(Gateway &gateway, int status)
{
    gateway.m_store.m_lease = 0;
    loseColdLease(gateway.m_cold);
    recordUnreadableAnswer(gateway, *gateway.m_store.m_leaseConnection, status);
    scheduleLease(gateway, storeRetryDelay(gateway.m_store.m_contact, gateway.m_random));
}

/** @param leaseStartedAt when the lease was requested */
void registerMember(Gateway &gateway, TimePoint leaseStartedAt)
{
    StoreClient &store = gateway.m_store;
    const std::string key = std::string(Platform::MemberPrefix) + gateway.m_settings.m_node;
    const std::string body = Platform::formatPutBody(key, Platform::encodeMember(gateway.m_membership.m_self), store.m_lease);
    callStore(gateway,
              *store.m_leaseConnection,
              RegisterCall,
              "POST",
              std::string(Platform::TransactionTarget),
              body,
              StoreProbeTimeout,
              [&gateway, leaseStartedAt](int status, const std::string &) {
                  if (status != HTTP_STATUS_OK) {
                      handleLeaseFailure(gateway, status);
                      return;
                  }
                  writeLog(LogLevel::Info, "store", "Member registered.", {{"lease", fmt::format("{}", gateway.m_store.m_lease)}});
                  observeColdLease(gateway.m_cold, leaseStartedAt, gateway.m_store.m_leaseLifetime, gatewayNow(gateway));
                  scheduleLease(gateway, LeaseRenewal);
              });
}

void requestLease(Gateway &gateway)
{
    StoreClient &store = gateway.m_store;
    const Duration lifetime = std::max(LeaseTime, Duration(milliseconds(gateway.m_settings.m_minLeaseMs)));
    const std::string body = Platform::formatLeaseBody(lifetime);
    callStore(gateway,
              *store.m_leaseConnection,
              LeaseCall,
              "POST",
              std::string(Platform::LeaseTarget),
              body,
              StoreProbeTimeout,
              [&gateway, lifetime](int status, const std::string &answer) {
                  const absl::StatusOr<int64_t> lease =
                      status == HTTP_STATUS_OK ? Platform::decodeLease(answer) : absl::UnavailableError("no answer");
                  if (!lease.ok()) {
                      handleLeaseFailure(gateway, status);
                      return;
                  }
                  gateway.m_store.m_lease = *lease;
                  gateway.m_store.m_leaseLifetime = Platform::decodeLeaseLifetime(answer, lifetime);
                  registerMember(gateway, gateway.m_store.m_leaseConnection->m_startedAt);
              });
}

void renewLease(Gateway &gateway)
{
    StoreClient &store = gateway.m_store;
    if (gateway.m_draining) {
        return;
    }
    if (store.m_lease == 0) {
        requestLease(gateway);
        return;
    }
    callStore(gateway,
              *store.m_leaseConnection,
              RenewCall,
              "POST",
              Platform::formatLeaseRenewalTarget(store.m_lease),
              "",
              StoreProbeTimeout,
              [&gateway](int status, const std::string &) {
                  if (status == HTTP_STATUS_OK) {
                      observeColdLease(gateway.m_cold,
                                       gateway.m_store.m_leaseConnection->m_startedAt,
                                       gateway.m_store.m_leaseLifetime,
                                       gatewayNow(gateway));
                      scheduleLease(gateway, LeaseRenewal);
                      return;
                  }
                  if (status == HTTP_STATUS_NOT_FOUND) {
                      writeLog(LogLevel::Warning,
                               "store",
                               "Lease has ended; requesting another.",
                               {{"lease", fmt::format("{}", gateway.m_store.m_lease)},
                                {"watch", gateway.m_store.m_watch.m_isParked ? "parked" : "open"}});
                      gateway.m_store.m_lease = 0;
                      loseColdLease(gateway.m_cold);
                      requestLease(gateway);
                      return;
                  }
                  // The lease may still be valid, so it is renewed again and not replaced.
                  recordUnreadableAnswer(gateway, *gateway.m_store.m_leaseConnection, status);
                  scheduleLease(gateway, storeRetryDelay(gateway.m_store.m_contact, gateway.m_random));
              });
}

} // namespace

std::map<std::string, std::string_view> describeReplicas(const Registry &registry)
{
    std::map<std::string, std::string_view> states;
    for (const auto &[id, replica] : registry.m_replicas) {
        states[id] = describeReplica(registry, id);
    }
    return states;
}

std::vector<std::string> membersFrom(const Gateway &gateway, uint64_t start)
{
    std::vector<std::pair<uint64_t, std::string>> nodes;
    for (const auto &[node, member] : gateway.m_membership.m_members) {
        if (node != gateway.m_settings.m_node) {
            nodes.emplace_back(hash64(node) - start, node);
        }
    }
    std::sort(nodes.begin(), nodes.end());
    std::vector<std::string> names;
    names.reserve(nodes.size());
    for (auto &[hash, node] : nodes) {
        names.push_back(std::move(node));
    }
    return names;
}

void applyRegistryChange(Gateway &gateway, const std::map<std::string, std::string_view> &before)
{
    std::map<std::string, std::string_view> states = before;
    for (const auto &[id, replica] : gateway.m_registry.m_replicas) {
        states.emplace(id, "unknown");
    }
    const StoreWatch &watch = gateway.m_store.m_watch;
    for (const auto &[id, state] : states) {
        logReplicaChange(gateway, id, state, watch.m_listVersion.value_or(StoreVersion()).revision(), watchAge(gateway));
    }
    expireRegistrations(gateway);
}

void adoptConfiguration(Gateway &gateway, const std::string &text, const StoreVersion &write)
{
    absl::StatusOr<ServingConfiguration> decoded = Platform::decodeConfiguration(text);
    if (!decoded.ok()) {
        writeLog(LogLevel::Error, "config", "Invalid configuration ignored.", {{"error", std::string(decoded.status().message())}});
        return;
    }
    if (!replacesConfiguration(gateway.m_configuration.get(), gateway.m_configurationWrite, *decoded, write)) {
        if (*decoded == *gateway.m_configuration) {
            gateway.m_configurationWrite = std::max(gateway.m_configurationWrite, write);
        }
        return;
    }
    gateway.m_configuration = std::make_shared<const ServingConfiguration>(std::move(*decoded));
    gateway.m_configurationWrite = write;
    gateway.m_configurationText = text;
    noteConfiguration(gateway);
    writeLog(LogLevel::Info, "config", "Configuration applied.", {{"version", fmt::format("{}", gateway.m_configuration->m_version)}});
}

void listAgain(Gateway &gateway)
{
    StoreWatch &watch = gateway.m_store.m_watch;
    if (watch.m_connection->m_busy) {
        dropStoreCall(*watch.m_connection);
    }
    watch.m_timer.stop();
    watch.m_behindTimer.stop();
    watch.m_isParked = false;
    watch.m_isListed = false;
    observeInterruption(watch.m_progress);
    gateway.m_relay.m_currentAt = TimePoint();
    startListing(gateway);
}

void startStore(Gateway &gateway)
{
    StoreClient &store = gateway.m_store;
    store.m_leaseConnection = newStoreConnection();
    store.m_watch.m_connection = newStoreConnection();
    startSoftware(gateway);
    store.m_watch.m_interval = watchInterval(gateway.m_settings);
    startListing(gateway);
    renewLease(gateway);
}

Duration watchAge(const Gateway &gateway)
{
    return gatewayNow(gateway) - gateway.m_store.m_watch.m_progress.m_answeredAt;
}

void gossipRevision(Gateway &gateway)
{
    StoreWatch &watch = gateway.m_store.m_watch;
    const TimePoint now = gatewayNow(gateway);
    if (watch.m_version <= watch.m_toldVersion || now - watch.m_toldAt < MinRevisionInterval) {
        return;
    }
    if (watch.m_version.era() != gateway.m_store.m_era.m_era) {
        return; // a new era is being listed
    }
    watch.m_toldVersion = watch.m_version;
    watch.m_toldAt = now;
    PeerMessage message;
    message.m_kind = PeerKind::Revision;
    message.m_revision = watch.m_version.revision();
    message.m_era = watch.m_version.era();
    addStateSummary(gateway, message);
    for (const std::string &node : revisionListeners(membersFrom(gateway, hash64(gateway.m_settings.m_node)))) {
        sendToPeer(gateway, node, message);
    }
}

void handleRevision(Gateway &gateway, const StoreVersion &seen)
{
    StoreWatch &watch = gateway.m_store.m_watch;
    if (seen <= watch.m_version || watch.m_behindTimer.isActive()) {
        return;
    }
    if (watch.m_isParked) {
        resumeWatch(gateway); // the store answers another gateway
        return;
    }
    WatchCallView call;
    call.m_isOpen = watch.m_connection->m_busy;
    call.m_isReceiving = watch.m_connection->m_reader.m_started;
    call.m_untilNext = watch.m_interval;
    watch.m_behindTimer.start(gateway.m_loop, newsGrace(call), [&gateway, seen] { restartIfBehind(gateway, seen); });
}

void watchNow(Gateway &gateway)
{
    const StoreWatch &watch = gateway.m_store.m_watch;
    if (watch.m_isListed && !watch.m_isParked && !watch.m_connection->m_busy) {
        callWatch(gateway);
    }
}

void refreshStore(Gateway &gateway)
{
    gateway.m_isUnconfirmed = true;
    gateway.m_confirmTimer.start(gateway.m_loop, ConfirmTimeout, [&gateway] {
        writeLog(LogLevel::Warning, "store", "Key-value store did not confirm what is known; continuing with it.");
        admitHeldRequests(gateway);
    });
    restartWatch(gateway);
}

bool isListed(const Gateway &gateway)
{
    return gateway.m_store.m_watch.m_wasListed && !gateway.m_peerQuery.m_isStart;
}

void leaveMembership(Gateway &gateway)
{
    StoreClient &store = gateway.m_store;
    store.m_leaseTimer.stop();
    loseColdLease(gateway.m_cold);
    if (store.m_lease == 0 || store.m_leaseConnection->m_busy) {
        return; // the lease expires
    }
    callStore(gateway,
              *store.m_leaseConnection,
              RevokeCall,
              "DELETE",
              Platform::formatLeaseRevokeTarget(store.m_lease),
              "",
              CallTimeout,
              [](int, const std::string &) {});
}

} // namespace Medlarramp::Serving
