// Start, threads and shutdown of an entry process.

#include <thread>

#include <fmt/format.h>

#include "entry_control.h"
#include "entry_durable.h"
#include "entry_http.h"

namespace Medlarramp {

struct Entry {
    Entry(Clock &clock, const Settings &settings) : m_clock(clock), m_board{clock, settings}, m_keeper{m_board}, m_upstreams{m_keeper}
    {
    }

    Clock &m_clock;
    ConnectionPools m_connections;
    Blackboard m_board;
    ConfigKeeper m_keeper;
    UpstreamController m_upstreams;
    NodeLease m_lease;
    std::shared_ptr<ClaimService> m_claims;
    std::shared_ptr<BatchService> m_batch;
    TransportPointer m_transport;
    std::unique_ptr<httplib::Server> m_server;
    Address m_address;
    StopSignal m_stop;
    std::vector<std::thread> m_threads;
};

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Listener
//-----------------------------------------------------------------------------

// The library listens with a backlog of 5, which loses connections in a burst; a second listen() raises it.
struct PlainServer : httplib::Server {
    void raiseBacklog()
    {
        ::listen(svr_sock_, SOMAXCONN);
    }
};

struct TlsServer : httplib::SSLServer {
    using httplib::SSLServer::SSLServer;
    void raiseBacklog()
    {
        ::listen(svr_sock_, SOMAXCONN);
    }
};

std::unique_ptr<httplib::Server> makeServer(const Settings &settings)
{
    if (settings.m_tlsCertificate.empty()) {
        return std::make_unique<PlainServer>();
    }
    return std::make_unique<TlsServer>(settings.m_tlsCertificate.c_str(), settings.m_tlsKey.c_str());
}

void raiseBacklog(httplib::Server &server)
{
    if (auto *plain = dynamic_cast<PlainServer *>(&server)) {
        plain->raiseBacklog();
    } else if (auto *tls = dynamic_cast<TlsServer *>(&server)) {
        tls->raiseBacklog();
    }
}

absl::Status bindServer(Entry &entry)
{
    const Address &wanted = entry.m_board.m_settings.m_listen;
    if (!entry.m_server->is_valid()) {
        return absl::InvalidArgumentError("the TLS certificate or key cannot be used");
    }
    entry.m_address = wanted;
    bool bound = false;
    if (wanted.m_port == 0) {
        entry.m_address.m_port = entry.m_server->bind_to_any_port(wanted.m_host);
        bound = entry.m_address.m_port > 0;
    } else {
        bound = entry.m_server->bind_to_port(wanted.m_host, wanted.m_port);
    }
    if (bound) {
        raiseBacklog(*entry.m_server);
    }
    return bound ? absl::OkStatus() : absl::UnavailableError(fmt::format("cannot listen on {}", toString(wanted)));
}

absl::StatusOr<std::vector<AdminCredential>> readAdminKeys(const Settings &settings)
{
    std::vector<AdminCredential> credentials;
    for (const AdminKey &key : settings.m_adminKeys) {
        const absl::StatusOr<std::string> secret = readSecret(key.m_secret);
        if (!secret.ok()) {
            return secret.status();
        }
        credentials.push_back({key.m_name, key.m_role, key.m_organisation, *secret});
    }
    return credentials;
}

absl::StatusOr<AdminContext> makeAdminContext(Entry &entry)
{
    AdminContext context;
    absl::StatusOr<std::vector<AdminCredential>> credentials = readAdminKeys(entry.m_board.m_settings);
    if (!credentials.ok()) {
        return credentials.status();
    }
    context.m_credentials = *std::move(credentials);
    context.m_store = &entry.m_keeper.m_store;
    context.m_clock = &entry.m_clock;
    context.m_stop = &entry.m_stop;
    context.m_counters = entry.m_keeper.m_counters.get();
    context.m_state = configAccess(entry.m_keeper);
    context.m_nodeCursors = [&entry] { return nodeCursors(entry.m_keeper, entry.m_transport.get()); };
    context.m_apply = [&entry](const ConfigBatch &batch) {
        applyAndPublish(entry.m_keeper, batch);
        publishState(entry.m_keeper);
        if (entry.m_transport) {
            offerChanges(*entry.m_transport, toChanges(batch));
        }
    };
    context.m_countRefusal = [&entry](Reason reason) { countRefusal(*entry.m_board.m_metrics, reason, RequestClass::Urgent); };
    return context;
}

//-----------------------------------------------------------------------------
// [SECTION] Parts
//-----------------------------------------------------------------------------

/** Without a place to record claims a non-idempotent stage is never run. */
ClaimCalls refusingClaims()
{
    ClaimCalls calls;
    calls.m_claim = [](const Identifier &, uint64_t, TimePoint) {
        return ClaimDecision{false, {}, std::nullopt, Outcome::NotRun, Reason::ClaimOwnerUnavailable};
    };
    calls.m_finish = [](const Identifier &, Outcome, const std::string &) {};
    return calls;
}

Store makeStore(Entry &entry)
{
    EtcdOptions options;
    options.m_endpoints = entry.m_board.m_settings.m_storeEndpoints;
    options.m_guard.m_clock = &entry.m_clock;
    options.m_guard.m_seed = entropySeed();
    options.m_guard.m_counters = entry.m_keeper.m_counters;
    options.m_guard.m_nodes = [&entry] { return entry.m_board.m_liveEntries.load(); };
    return makeEtcdStore(options);
}

std::shared_ptr<Entry> makeEntry(const Settings &settings, Clock &clock, const EntryParts &parts)
{
    auto entry = std::make_shared<Entry>(clock, settings);
    Blackboard &board = entry->m_board;
    board.m_upstream = parts.m_upstream.m_run ? parts.m_upstream : makeUpstreamClient(entry->m_connections, clock);
    board.m_claims = parts.m_claims.m_claim ? parts.m_claims : refusingClaims();
    board.m_metrics = makeMetrics();
    board.m_pools = makePools(clock, settings.m_failureDomain, board.m_metrics, entropySeed());
    entry->m_upstreams.m_replicas = parts.m_replicas;
    if (settings.m_vmList) {
        entry->m_upstreams.m_vmList = makeVmListClient(*settings.m_vmList, settings.m_vmListPath, clock);
    }
    if (parts.m_configuration) {
        publish(board.m_configuration, parts.m_configuration);
        const uint64_t self = hash64(settings.m_node);
        updatePools(*board.m_pools, {parts.m_configuration, parts.m_replicas, self, {self}});
        board.m_ready = true;
    }
    return entry;
}

/** Connects store, peers and claims, and starts their threads. */
absl::Status connectStore(const std::shared_ptr<Entry> &entry)
{
    Blackboard &board = entry->m_board;
    entry->m_keeper.m_store = makeStore(*entry);
    entry->m_claims = makeClaimService(board, entry->m_keeper.m_store, entry->m_lease);
    board.m_claims = makeClaimCalls(entry->m_claims);
    entry->m_batch = makeBatchService(board, entry->m_keeper.m_store, entry->m_lease);
    if (!board.m_settings.m_peerKeys.empty()) {
        absl::StatusOr<TransportPointer> transport =
            startMembership(board, entry->m_keeper, [service = entry->m_claims](const Address &, const std::string &payload) {
                return answerClaimCall(*service, payload);
            });
        if (!transport.ok()) {
            return transport.status();
        }
        entry->m_transport = *std::move(transport);
    }
    attachTransport(*entry->m_claims, entry->m_transport.get());
    entry->m_upstreams.m_transport = entry->m_transport.get();
    setBlameSink(*board.m_pools, [raw = entry.get()](const ContentRefusal &blame) {
        const Duration left = blame.m_until - now(raw->m_clock);
        if (raw->m_transport) {
            spreadVerdict(*raw->m_transport, {blame.m_content, std::chrono::duration_cast<milliseconds>(left)});
        }
    });
    return absl::OkStatus();
}

void startThreads(Entry &entry)
{
    Transport *transport = entry.m_transport.get();
    entry.m_threads.emplace_back([&entry, transport] { runConfigController(entry.m_keeper, transport, entry.m_stop); });
    entry.m_threads.emplace_back([&entry] { runUpstreamController(entry.m_upstreams, entry.m_stop); });
    entry.m_threads.emplace_back([&entry] { runLease(entry.m_lease, entry.m_keeper.m_store, entry.m_clock, entry.m_stop); });
    entry.m_threads.emplace_back([&entry] { runClaimReports(*entry.m_claims, entry.m_stop); });
    for (int64_t i = 0; i < entry.m_board.m_settings.m_claimPartitions; ++i) {
        entry.m_threads.emplace_back([&entry, i] { runClaimOwner(*entry.m_claims, static_cast<int>(i), entry.m_stop); });
    }
}

void startBatchThreads(Entry &entry)
{
    entry.m_threads.emplace_back([&entry] { runBatchAccept(*entry.m_batch, entry.m_stop); });
    entry.m_threads.emplace_back([&entry] { runBatchGroups(*entry.m_batch, entry.m_stop); });
    for (int i = 0; i < BatchWorkers; ++i) {
        entry.m_threads.emplace_back([&entry] { runBatchWorker(*entry.m_batch, entry.m_stop); });
    }
}

/** Stops what was started, in an order in which nothing is used after its end. */
void stopParts(Entry &entry)
{
    if (entry.m_batch) {
        leaveBatch(*entry.m_batch);
        leaveClaims(*entry.m_claims);
    }
    if (entry.m_transport) {
        leaveCluster(*entry.m_transport);
    }
    requestStop(entry.m_stop);
    if (entry.m_server) {
        entry.m_server->stop();
    }
    for (std::thread &thread : entry.m_threads) {
        thread.join();
    }
    entry.m_threads.clear();
    if (entry.m_transport) {
        stopTransport(*entry.m_transport);
    }
}

} // namespace

absl::StatusOr<std::shared_ptr<Entry>> startEntry(const Settings &settings, Clock &clock, const EntryParts &parts)
{
    const std::shared_ptr<Entry> entry = makeEntry(settings, clock, parts);
    entry->m_server = makeServer(settings);
    configureServer(*entry->m_server, settings);
    registerCallerRoutes(*entry->m_server, entry->m_board);
    if (absl::Status status = bindServer(*entry); !status.ok()) {
        return status;
    }
    if (!settings.m_storeEndpoints.empty()) {
        if (absl::Status status = connectStore(entry); !status.ok()) {
            return status;
        }
        absl::StatusOr<AdminContext> context = makeAdminContext(*entry);
        if (!context.ok()) {
            return context.status();
        }
        registerAdminRoutes(*entry->m_server, *std::move(context));
        registerJobRoutes(*entry->m_server, entry->m_board, *entry->m_batch);
        startThreads(*entry);
        startBatchThreads(*entry);
    }
    entry->m_threads.emplace_back([server = entry->m_server.get()] { server->listen_after_bind(); });
    writeLog(LogLevel::Info, "entry", "Listening.", {{"address", toString(entry->m_address)}, {"node", settings.m_node}});
    return entry;
}

int64_t stopEntry(Entry &entry)
{
    constexpr milliseconds OpenRequestPoll{5};
    Blackboard &board = entry.m_board;
    board.m_draining = true;
    StopSignal never;
    sleepFor(entry.m_clock, never, board.m_settings.m_drainDelay);
    board.m_refusing = true;
    const TimePoint limit = now(entry.m_clock) + board.m_settings.m_drainLimit;
    while (board.m_openRequests > 0 && now(entry.m_clock) < limit) {
        sleepFor(entry.m_clock, never, OpenRequestPoll);
    }
    const int64_t left = board.m_openRequests;
    if (left > 0) {
        countDrop(*board.m_metrics, Reason::ShutdownLimit);
        writeLog(LogLevel::Warning, "entry", "Shutdown limit reached.", {{"requests_left", fmt::format("{}", left)}});
    }
    stopParts(entry);
    return left;
}

Address listenAddress(const Entry &entry)
{
    return entry.m_address;
}

Address peerAddress(const Entry &entry)
{
    return entry.m_transport ? localAddress(*entry.m_transport) : Address();
}

Blackboard &blackboard(Entry &entry)
{
    return entry.m_board;
}

} // namespace Medlarramp
