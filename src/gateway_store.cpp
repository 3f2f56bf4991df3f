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
    std::function<void(int, std::string)> m_onEnd; ///< HTTP status (0: no answer) and body
    NetTimer m_timeout;
    bool m_busy = false;

    static constexpr size_t MaxHeadBytes = 16 * 1024;
    static constexpr size_t MaxBodyBytes = 64 * 1024 * 1024; ///< enough for a full history of large values
};

namespace {

constexpr Duration CallTimeout = milliseconds(2000); ///< the store usually answers within milliseconds
constexpr Duration WatchWait = seconds(15); ///< long, as each call is billed; keep-alive probes detect a dead connection earlier
constexpr Duration WatchTimeoutMargin = seconds(3); ///< added to WatchWait for the timeout of a watch call
constexpr Duration WatchPause = milliseconds(500); ///< changes within this pause share one call
constexpr Duration StoreSilenceTimeout = milliseconds(3000); ///< whole seconds, the resolution of TCP keep-alive probes
constexpr Duration BaseRetryDelay = milliseconds(150); ///< doubles with each consecutive failure
constexpr Duration MaxRetryDelay = milliseconds(1200); ///< upper bound on the time to detect the end of an outage
constexpr int MaxRetryDoublings = 3;
constexpr Duration LeaseTime = seconds(4); ///< a crashed member stays listed for at most this time
constexpr Duration LeaseRenewal = milliseconds(1300); ///< two consecutive renewals may fail before the lease expires

void readPage(Gateway &gateway, const std::string &after);
void watch(Gateway &gateway);
void renewLease(Gateway &gateway);

//-----------------------------------------------------------------------------
// Calls
//-----------------------------------------------------------------------------

void finishStoreCall(StoreConnection &connection, int status, std::string body, bool keep)
{
    connection.m_timeout.stop();
    connection.m_busy = false;
    if (!keep && connection.m_net != nullptr) {
        connection.m_net->close();
        connection.m_net = nullptr;
    }
    connection.m_reader.reset();
    const auto callback = std::exchange(connection.m_onEnd, nullptr);
    if (callback) {
        callback(status, std::move(body));
    }
}

void connectStore(Gateway &gateway, StoreConnection &connection)
{
    ConnectionOptions options;
    options.m_silenceTimeout = StoreSilenceTimeout;
    connection.m_reader.reset();
    connection.m_net = NetConnection::connect(gateway.m_loop, gateway.m_store.m_address, options);
    connection.m_net->m_onData = [&connection](std::string_view data) {
        const size_t used = connection.m_reader.feed(data);
        if (!connection.m_busy || (connection.m_reader.m_state != ParseState::Done && used < data.size())) {
            finishStoreCall(connection, 0, "", false);
            return;
        }
        if (connection.m_reader.m_state == ParseState::Done) {
            std::string body = std::move(connection.m_reader.m_body);
            finishStoreCall(connection, connection.m_reader.m_status, std::move(body), connection.m_reader.m_keepAlive);
        }
    };
    connection.m_net->m_onClose = [&connection](CloseCause, const absl::Status &) {
        connection.m_net = nullptr;
        if (connection.m_busy) {
            finishStoreCall(connection, 0, "", false);
        }
    };
}

void callStore(Gateway &gateway,
               StoreConnection &connection,
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
    connection.m_onEnd = std::move(onEnd);
    HttpHeaders headers = {{"Host", toString(gateway.m_store.m_address)}};
    if (!body.empty()) {
        headers.push_back({"Content-Type", "application/json"});
    }
    connection.m_net->write(formatRequest(method, target, headers, body));
    connection.m_timeout.start(gateway.m_loop, timeout, [&connection] { finishStoreCall(connection, 0, "", false); });
}

Duration retryDelay(Gateway &gateway)
{
    const int doublings = std::min(gateway.m_store.m_failures, MaxRetryDoublings);
    const Duration delay = std::min(MaxRetryDelay, BaseRetryDelay * (int64_t{1} << doublings));
    // Jitter spreads the retries of gateways that lost the store at the same time.
    return delay / 2 + Duration(static_cast<int64_t>(uniformReal(gateway.m_random) * static_cast<double>(delay.count()) / 2));
}

void recordStoreAnswer(Gateway &gateway)
{
    StoreClient &store = gateway.m_store;
    observeStoreSuccess(gateway.m_registry, gatewayNow(gateway));
    if (!store.m_available) {
        writeLog(LogLevel::Info, "store", "Key-value store is available.", {{"failures", fmt::format("{}", store.m_failures)}});
    }
    store.m_available = true;
    store.m_failures = 0;
}

/** @param silence time without an answer before the call failed */
void recordStoreFailure(Gateway &gateway, std::string_view call, int status, Duration silence)
{
    StoreClient &store = gateway.m_store;
    observeStoreFailure(gateway.m_registry, gatewayNow(gateway) - silence);
    if (store.m_available || store.m_failures == 0) {
        writeLog(LogLevel::Warning,
                 "store",
                 "Call to the key-value store failed.",
                 {{"call", std::string(call)}, {"status", fmt::format("{}", status)}});
    }
    store.m_available = false;
    store.m_failures += 1;
}

//-----------------------------------------------------------------------------
// Items of the store
//-----------------------------------------------------------------------------

void applyConfiguration(Gateway &gateway, const Platform::StoreItem &item)
{
    absl::StatusOr<ServingConfiguration> decoded = Platform::decodeConfiguration(item.m_value);
    if (!decoded.ok()) {
        writeLog(LogLevel::Error, "config", "Invalid configuration ignored.", {{"error", std::string(decoded.status().message())}});
        return;
    }
    if (!isNewer(gateway.m_configuration.get(), *decoded)) {
        return;
    }
    gateway.m_configuration = std::make_shared<const ServingConfiguration>(std::move(*decoded));
    writeLog(LogLevel::Info, "config", "Configuration applied.", {{"version", fmt::format("{}", gateway.m_configuration->m_version)}});
}

std::string idOf(const std::string &key, std::string_view prefix)
{
    return key.substr(prefix.size());
}

bool startsWith(const std::string &text, std::string_view prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

void applyMember(Gateway &gateway, const Platform::StoreItem &item)
{
    if (item.m_removed) {
        gateway.m_store.m_members.erase(item.m_key);
        return;
    }
    absl::StatusOr<Member> member = Platform::decodeMember(item.m_value);
    if (member.ok()) {
        gateway.m_store.m_members[item.m_key] = std::move(*member);
    }
}

void applyMembers(Gateway &gateway)
{
    std::vector<Member> members;
    for (const auto &[key, member] : gateway.m_store.m_members) {
        members.push_back(member);
    }
    replaceMembers(gateway.m_membership, std::move(members), gatewayNow(gateway));
}

std::optional<ReplicaRecord> readRecord(const Platform::StoreItem &item)
{
    absl::StatusOr<ReplicaRecord> record = Platform::decodeRegistration(idOf(item.m_key, Platform::RegistrationPrefix), item.m_value);
    if (!record.ok()) {
        writeLog(LogLevel::Warning,
                 "registry",
                 "Invalid registration ignored.",
                 {{"key", item.m_key}, {"error", std::string(record.status().message())}});
        return std::nullopt;
    }
    return std::move(*record);
}

void expireRegistrations(Gateway &gateway)
{
    const TimePoint now = gatewayNow(gateway);
    const std::optional<TimePoint> next = expireReplicas(gateway.m_registry, now);
    syncUpstreams(gateway);
    if (next) {
        gateway.m_store.m_expiryTimer.start(gateway.m_loop, *next - now, [&gateway] { expireRegistrations(gateway); });
    }
}

void applyEvents(Gateway &gateway, const Platform::StoreItems &events)
{
    const TimePoint now = gatewayNow(gateway);
    bool replicasChanged = false;
    bool membersChanged = false;
    for (const Platform::StoreItem &item : events.m_items) {
        if (item.m_key == Platform::ConfigurationKey && !item.m_removed) {
            applyConfiguration(gateway, item);
            replicasChanged = true;
        } else if (startsWith(item.m_key, Platform::MemberPrefix)) {
            applyMember(gateway, item);
            membersChanged = true;
        } else if (startsWith(item.m_key, Platform::RegistrationPrefix)) {
            replicasChanged = true;
            const std::string id = idOf(item.m_key, Platform::RegistrationPrefix);
            std::optional<ReplicaRecord> record = item.m_removed ? std::nullopt : readRecord(item);
            if (record) {
                upsertReplica(gateway.m_registry, std::move(*record));
            } else if (item.m_removed) {
                removeReplica(gateway.m_registry, id, now);
            } else {
                gateway.m_registry.m_replicas.erase(id);
            }
        }
    }
    if (membersChanged) {
        applyMembers(gateway);
    }
    if (replicasChanged) {
        expireRegistrations(gateway);
    }
}

/** Replaces registry and members by a complete listing, and starts the watch. */
void applyListing(Gateway &gateway)
{
    StoreClient &store = gateway.m_store;
    std::vector<ReplicaRecord> records;
    store.m_members.clear();
    for (const Platform::StoreItem &item : store.m_page) {
        if (item.m_key == Platform::ConfigurationKey) {
            applyConfiguration(gateway, item);
        } else if (startsWith(item.m_key, Platform::MemberPrefix)) {
            applyMember(gateway, item);
        } else if (startsWith(item.m_key, Platform::RegistrationPrefix)) {
            if (std::optional<ReplicaRecord> record = readRecord(item)) {
                records.push_back(std::move(*record));
            }
        }
    }
    store.m_page.clear();
    replaceReplicas(gateway.m_registry, std::move(records), gatewayNow(gateway));
    applyMembers(gateway);
    expireRegistrations(gateway);
    store.m_listed = true;
    store.m_revision = store.m_listRevision;
    watch(gateway);
}

//-----------------------------------------------------------------------------
// Listing and watching
//-----------------------------------------------------------------------------

void startListing(Gateway &gateway)
{
    gateway.m_store.m_page.clear();
    gateway.m_store.m_listRevision = 0;
    readPage(gateway, "");
}

void retryListing(Gateway &gateway, int status)
{
    recordStoreFailure(gateway, "list", status, status == 0 ? CallTimeout : Duration(0));
    gateway.m_store.m_watchTimer.start(gateway.m_loop, retryDelay(gateway), [&gateway] { startListing(gateway); });
}

void readPage(Gateway &gateway, const std::string &after)
{
    const std::string target = Platform::formatRangeTarget("", after);
    callStore(gateway, *gateway.m_store.m_watchConnection, "GET", target, "", CallTimeout, [&gateway](int status, const std::string &body) {
        StoreClient &store = gateway.m_store;
        absl::StatusOr<Platform::StoreItems> page =
            status == HTTP_STATUS_OK ? Platform::decodeItems(body) : absl::UnavailableError("no answer");
        if (!page.ok()) {
            retryListing(gateway, status);
            return;
        }
        recordStoreAnswer(gateway);
        // Pages may differ in revision, so the watch starts at the revision of the first page.
        store.m_listRevision = store.m_listRevision == 0 ? page->m_asOf : store.m_listRevision;
        const std::string last = page->m_items.empty() ? "" : page->m_items.back().m_key;
        const bool more = page->m_more && !last.empty();
        std::move(page->m_items.begin(), page->m_items.end(), std::back_inserter(store.m_page));
        if (more) {
            readPage(gateway, last);
        } else {
            applyListing(gateway);
        }
    });
}

void handleWatch(Gateway &gateway, int status, const std::string &body)
{
    StoreClient &store = gateway.m_store;
    absl::StatusOr<Platform::StoreItems> events =
        status == HTTP_STATUS_OK ? Platform::decodeItems(body) : absl::UnavailableError("no answer");
    if (events.ok()) {
        recordStoreAnswer(gateway);
        store.m_revision = std::max(store.m_revision, events->m_asOf);
        applyEvents(gateway, *events);
        store.m_watchTimer.start(gateway.m_loop, WatchPause, [&gateway] { watch(gateway); });
        return;
    }
    if (status == HTTP_STATUS_GONE) {
        writeLog(LogLevel::Info, "store", "Watch history is no longer available; listing again.");
        startListing(gateway);
        return;
    }
    // A waiting watch may be cut off at any time, so its failure is no evidence that the store was unavailable before.
    recordStoreFailure(gateway, "watch", status, Duration(0));
    store.m_watchTimer.start(gateway.m_loop, retryDelay(gateway), [&gateway] { watch(gateway); });
}

void watch(Gateway &gateway)
{
    const std::string target = Platform::formatWatchTarget("", gateway.m_store.m_revision, WatchWait);
    callStore(gateway,
              *gateway.m_store.m_watchConnection,
              "GET",
              target,
              "",
              WatchWait + WatchTimeoutMargin,
              [&gateway](int status, const std::string &body) { handleWatch(gateway, status, body); });
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
    recordStoreFailure(gateway, "lease", status, status == 0 ? CallTimeout : Duration(0));
    scheduleLease(gateway, retryDelay(gateway));
}

void registerMember(Gateway &gateway)
{
    StoreClient &store = gateway.m_store;
    const std::string key = std::string(Platform::MemberPrefix) + gateway.m_settings.m_node;
    const std::string body = Platform::formatPutBody(key, Platform::encodeMember(gateway.m_membership.m_self), store.m_lease);
    callStore(gateway,
              *store.m_leaseConnection,
              "POST",
              std::string(Platform::TransactionTarget),
              body,
              CallTimeout,
              [&gateway](int status, const std::string &) {
                  if (status != HTTP_STATUS_OK) {
                      handleLeaseFailure(gateway, status);
                      return;
                  }
                  scheduleLease(gateway, LeaseRenewal);
              });
}

void requestLease(Gateway &gateway)
{
    StoreClient &store = gateway.m_store;
    const std::string body = Platform::formatLeaseBody(std::max(LeaseTime, Duration(milliseconds(gateway.m_settings.m_minLeaseMs))));
    callStore(gateway,
              *store.m_leaseConnection,
              "POST",
              std::string(Platform::LeaseTarget),
              body,
              CallTimeout,
              [&gateway](int status, const std::string &answer) {
                  const absl::StatusOr<int64_t> lease =
                      status == HTTP_STATUS_OK ? Platform::decodeLease(answer) : absl::UnavailableError("no answer");
                  if (!lease.ok()) {
                      handleLeaseFailure(gateway, status);
                      return;
                  }
                  gateway.m_store.m_lease = *lease;
                  registerMember(gateway);
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
              "POST",
              Platform::formatLeaseRenewalTarget(store.m_lease),
              "",
              CallTimeout,
              [&gateway](int status, const std::string &) {
                  if (status == HTTP_STATUS_OK) {
                      recordStoreAnswer(gateway);
                      scheduleLease(gateway, LeaseRenewal);
                      return;
                  }
                  if (status == HTTP_STATUS_NOT_FOUND) {
                      gateway.m_store.m_lease = 0;
                      requestLease(gateway);
                      return;
                  }
                  // The lease may still be valid, so it is renewed again and not replaced.
                  recordStoreFailure(gateway, "renew", status, status == 0 ? CallTimeout : Duration(0));
                  scheduleLease(gateway, retryDelay(gateway));
              });
}

} // namespace

void startStore(Gateway &gateway)
{
    StoreClient &store = gateway.m_store;
    // Never freed: both are used until the process exits.
    store.m_watchConnection = new StoreConnection;
    store.m_leaseConnection = new StoreConnection;
    startListing(gateway);
    renewLease(gateway);
}

void leaveMembership(Gateway &gateway)
{
    StoreClient &store = gateway.m_store;
    store.m_leaseTimer.stop();
    if (store.m_lease == 0 || store.m_leaseConnection->m_busy) {
        return; // the lease expires
    }
    callStore(gateway,
              *store.m_leaseConnection,
              "DELETE",
              Platform::formatLeaseRevokeTarget(store.m_lease),
              "",
              CallTimeout,
              [](int, const std::string &) {});
}

} // namespace Medlarramp::Serving
