#pragma once

/**
 * medlarramp stand-in of the key-value service: the state, an in-process Store, and the etcd v3 JSON gateway subset.
 * Internal header of standins; included by tests, benchmarks and the demo.
 *
 * Index of sections:
 *  [SECTION] State     keys with history, leases, faults, counts
 *  [SECTION] Local     the state behind Store, without sockets
 *  [SECTION] Server    the state behind the JSON gateway on a loopback port
 */

#include <array>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "core.h"
#include "store.h"

namespace httplib { // NOLINT(readability-identifier-naming): name of the library
class Server;
}

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] State
//-----------------------------------------------------------------------------

enum class StoreCall : uint8_t { Range, Transaction, LeaseGrant, LeaseKeepAlive, LeaseRevoke, Watch, Count };

std::string_view toString(StoreCall call);

/** Faults of the stand-in. Shares are probabilities by the state's seeded generator. */
struct StoreFaults {
    bool m_outage = false; ///< calls are refused before they have an effect; watches end
    bool m_silent = false; ///< calls have no effect and get no answer
    Duration m_delay{}; ///< before each call takes effect
    double m_lostAnswerShare = 0; ///< of transactions that take effect without an answer
    double m_lostRequestShare = 0; ///< of transactions that neither take effect nor get an answer
    int m_loseNextAnswers = 0; ///< transactions that take effect without an answer, from now
    int m_loseNextRequests = 0; ///< transactions that neither take effect nor get an answer, from now
    int m_deferNextRequests = 0; ///< transactions without an answer that take effect at runDeferred()
    double m_callsPerSecond = 0; ///< calls above the rate are refused; 0: no limit
};

struct StandinLease {
    Duration m_timeToLive{};
    TimePoint m_expiresAt;
};

/** State of the stand-in. Every function below locks m_mutex. */
struct KeyValueState {
    std::mutex m_mutex;
    std::condition_variable m_changed; ///< a revision was added
    const Clock *m_clock = nullptr;
    int64_t m_revision = 1;
    int64_t m_compacted = 0; ///< reads below this revision are refused
    std::map<std::string, std::vector<KeyValue>> m_versions; ///< in revision order; version 0 marks a deletion
    std::deque<WatchEvent> m_events; ///< above m_compacted, in revision order
    std::map<int64_t, StandinLease> m_leases;
    int64_t m_nextLease = 1000;
    StoreFaults m_faults;
    std::vector<Transaction> m_deferred;
    Random m_random;
    double m_tokens = 0;
    TimePoint m_tokensAt;
    size_t m_maxEvents = 200'000; ///< history kept before compaction
    std::array<uint64_t, static_cast<size_t>(StoreCall::Count)> m_calls{}; ///< calls that arrived, by kind
    uint64_t m_writes = 0; ///< transactions that wrote
    uint64_t m_refusedByRate = 0;
    int m_openWatches = 0;
};

void setFaults(KeyValueState &state, const StoreFaults &faults);
uint64_t callCount(KeyValueState &state, StoreCall call);
uint64_t allCalls(KeyValueState &state);
uint64_t writeCount(KeyValueState &state);
/** Carries out the transactions that StoreFaults::m_deferNextRequests held back. */
void runDeferred(KeyValueState &state);
/** Discards history up to @p revision. */
void compact(KeyValueState &state, int64_t revision);
/** Expires leases by the clock; also done at each call. */
void expireLeases(KeyValueState &state);
/** Events of @p prefix from @p startRevision, for simulations that must not block. OutOfRange when compacted. */
absl::StatusOr<WatchBatch> eventsSince(KeyValueState &state, const std::string &prefix, int64_t startRevision);

//-----------------------------------------------------------------------------
// [SECTION] Local
//-----------------------------------------------------------------------------

/** Waits of a simulation: advances its own time. Empty: waits on the state's clock. */
using StandinWait = std::function<void(Duration)>;

/** The calls without sockets. @p state must outlive the Store. Faults give the codes that the gateway client gives. */
Store makeLocalStore(KeyValueState &state, const StandinWait &wait = {});

//-----------------------------------------------------------------------------
// [SECTION] Server
//-----------------------------------------------------------------------------

/** The JSON gateway on 127.0.0.1. The destructor stops it. */
struct StoreServer {
    KeyValueState *m_state = nullptr;
    Address m_address; ///< where it listens
    std::unique_ptr<httplib::Server> m_server;
    std::thread m_thread;
    StopSignal m_stop;

    StoreServer();
    ~StoreServer();
    StoreServer(const StoreServer &) = delete;
    StoreServer &operator=(const StoreServer &) = delete;
};

/** @param port 0: any. @return null when the port is taken. */
std::unique_ptr<StoreServer> startStoreServer(KeyValueState &state, int port = 0);
/** Stops listening and ends every connection. */
void stopStoreServer(StoreServer &server);

} // namespace Medlarramp
