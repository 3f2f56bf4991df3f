// Start, controllers and shutdown of an entry process.

#include <thread>

#include <fmt/format.h>

#include "entry_http.h"

namespace Medlarramp {

struct Entry {
    Entry(Clock &clock, const Settings &settings) : m_clock(clock), m_board{clock, settings}
    {
    }

    Clock &m_clock;
    ConnectionPools m_connections;
    Blackboard m_board;
    std::unique_ptr<httplib::Server> m_server;
    Address m_address;
    StopSignal m_stop;
    std::vector<std::thread> m_threads;
};

namespace {

std::unique_ptr<httplib::Server> makeServer(const Settings &settings)
{
    if (settings.m_tlsCertificate.empty()) {
        return std::make_unique<httplib::Server>();
    }
    return std::make_unique<httplib::SSLServer>(settings.m_tlsCertificate.c_str(), settings.m_tlsKey.c_str());
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
    return bound ? absl::OkStatus() : absl::UnavailableError(fmt::format("cannot listen on {}", toString(wanted)));
}

} // namespace

namespace {

/** Without a place to record claims a non-idempotent stage is never run. */
ClaimCalls refusingClaims()
{
    ClaimCalls calls;
    calls.m_claim = [](const std::string &, const Identifier &, uint64_t, const Identifier &, TimePoint) {
        return ClaimDecision{false, std::nullopt, Outcome::NotRun, Reason::ClaimOwnerUnavailable};
    };
    calls.m_finish = [](const std::string &, const Identifier &, const Identifier &, const std::optional<std::string> &) {};
    return calls;
}

std::shared_ptr<Entry> makeEntry(const Settings &settings, Clock &clock, EntryParts &parts)
{
    auto entry = std::make_shared<Entry>(clock, settings);
    Blackboard &board = entry->m_board;
    board.m_upstream = parts.m_upstream.m_run ? parts.m_upstream : makeUpstreamClient(entry->m_connections, clock);
    board.m_claims = parts.m_claims.m_claim ? parts.m_claims : refusingClaims();
    board.m_metrics = makeMetrics();
    board.m_pools = makePools(clock, settings.m_failureDomain, board.m_metrics, entropySeed());
    if (parts.m_configuration) {
        publish(board.m_configuration, parts.m_configuration);
        const uint64_t self = hash64(settings.m_node);
        updatePools(*board.m_pools, {parts.m_configuration, parts.m_replicas, self, {self}});
        board.m_ready = true;
    }
    return entry;
}

} // namespace

absl::StatusOr<std::shared_ptr<Entry>> startEntry(const Settings &settings, Clock &clock, EntryParts parts)
{
    const std::shared_ptr<Entry> entry = makeEntry(settings, clock, parts);
    entry->m_server = makeServer(settings);
    configureServer(*entry->m_server, settings);
    registerCallerRoutes(*entry->m_server, entry->m_board);
    if (absl::Status status = bindServer(*entry); !status.ok()) {
        return status;
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
    requestStop(entry.m_stop);
    entry.m_server->stop();
    for (std::thread &thread : entry.m_threads) {
        thread.join();
    }
    return left;
}

Address listenAddress(const Entry &entry)
{
    return entry.m_address;
}

Blackboard &blackboard(Entry &entry)
{
    return entry.m_board;
}

} // namespace Medlarramp
