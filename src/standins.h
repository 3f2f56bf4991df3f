#pragma once

/**
 * medlarramp standins: small simulated versions of the external systems, for the demo, tests and benchmarks.
 *
 * Index of sections:
 *  [SECTION] Faults             what a stand-in does wrong, and what it counts
 *  [SECTION] Model engine       OpenAI completions API, streamed
 *  [SECTION] Stage pool         Open Inference Protocol v2
 *  [SECTION] Plain service      HTTP JSON with Idempotency-Key
 *  [SECTION] VM list            Prometheus HTTP service discovery, with lag
 *  [SECTION] Weight store       downloads with a rate limit
 *
 * Each stand-in is a struct whose fields are set before start(). It listens on the loopback address; port 0 takes any
 * free port. It runs in real time. Faults may be changed at any time.
 */

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core.h"
#include "model.h"

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] Faults
//-----------------------------------------------------------------------------

/** What a stand-in does wrong. The default plan has no fault. */
struct FaultPlan {
    Duration m_delay{}; ///< slow: added before each answer
    double m_slowdown = 1; ///< slow: factor on service and token times
    bool m_stuck = false; ///< requests are run and never answered
    std::string m_crashContent; ///< a request with this text in its body ends all connections at once
    Duration m_restartAfter{}; ///< time without a listener after a crash
    int m_refuseStatus = 0; ///< status that requests get instead of being run; 0: off
    bool m_refuseConnections = false; ///< no listener
    int64_t m_closeAfter = -1; ///< closes in mid-answer after this many tokens (engine) or bytes; negative: off
    bool m_leaving = false; ///< answers say that the stand-in is leaving

    bool operator==(const FaultPlan &) const = default;
};

/** What a stand-in has seen and done. */
struct StandinCounts {
    uint64_t m_connections = 0; ///< accepted
    uint64_t m_received = 0; ///< requests read
    uint64_t m_run = 0; ///< requests that began to run
    uint64_t m_completed = 0; ///< whole answers handed to the connection
    uint64_t m_cancelled = 0; ///< runs ended because the caller disconnected
    uint64_t m_refused = 0;
    uint64_t m_crashes = 0;
    uint64_t m_cachedBlocks = 0; ///< engine: blocks of prompts found in the prefix cache
    uint64_t m_uncachedBlocks = 0; ///< engine: blocks of prompts computed
    std::map<std::string, uint64_t> m_runsByRequest; ///< X-Request-Id "/" X-Request-Stage -> runs begun
    std::map<std::string, uint64_t> m_runsByKey; ///< Idempotency-Key -> runs begun

    bool operator==(const StandinCounts &) const = default;
};

class StandinServer;

/** The HTTP server of a stand-in. */
struct HttpStandin {
    HttpStandin();
    ~HttpStandin();
    HttpStandin(const HttpStandin &) = delete;
    HttpStandin &operator=(const HttpStandin &) = delete;

    Address m_address; ///< set by start()
    std::unique_ptr<StandinServer> m_server;
};

void setFaults(HttpStandin &standin, const FaultPlan &faults);
/** Makes the connections that are open now permanently silent; new ones work. */
void silenceConnections(HttpStandin &standin);
StandinCounts counts(HttpStandin &standin);
/** Waits until @p predicate holds for the counts. @return its last value. */
bool waitForCounts(HttpStandin &standin, Duration limit, const std::function<bool(const StandinCounts &)> &predicate);

//-----------------------------------------------------------------------------
// [SECTION] Model engine
//-----------------------------------------------------------------------------

struct ModelEngineState;

/**
 * Engine with continuous batching: up to m_maxRunning requests generate at the same time, the others wait by priority
 * (lower value first), then by arrival. Each next token is a function of the whole text before it, so an engine that
 * is given a prompt with a part of its own answer continues exactly there.
 *
 * Orders: POST /v2/repository/models/{model}/load and /unload with {"parameters":{"fencing_token":N}};
 * POST /v2/repository/index lists the models.
 */
struct ModelEngineStandin {
    ModelEngineStandin();
    ~ModelEngineStandin();
    ModelEngineStandin(const ModelEngineStandin &) = delete;
    ModelEngineStandin &operator=(const ModelEngineStandin &) = delete;

    std::vector<std::string> m_models; ///< loaded at the start
    size_t m_maxRunning = 32;
    size_t m_maxWaiting = 256; ///< above: status 429
    Duration m_tokenDelay = milliseconds(2);
    Duration m_prefillPerBlock = milliseconds(1); ///< for each block of the prompt that is not in the prefix cache
    size_t m_cacheBlocks = 1024; ///< memory of the prefix cache, least recently used blocks leave first
    Duration m_loadDelay = milliseconds(20); ///< to load a model after its weights arrived
    bool m_checksFencing = true; ///< refuses orders with an older token than the last with status 409
    std::optional<Address> m_weightStore; ///< asked for the weights when a model is loaded
    std::unique_ptr<ModelEngineState> m_state;
    HttpStandin m_http; ///< last, so that it stops before the state goes
};

constexpr size_t PrefixBlockBytes = 64; ///< granularity of the engine's prefix cache

absl::Status start(ModelEngineStandin &engine, int port = 0);
void stop(ModelEngineStandin &engine);
/** The text that an engine generates after @p prompt. */
std::string generatedText(std::string prompt, int64_t tokens);
std::vector<std::string> loadedModels(ModelEngineStandin &engine);
/** Requests that wait for one of the m_maxRunning places. */
size_t waitingRequests(ModelEngineStandin &engine);

//-----------------------------------------------------------------------------
// [SECTION] Stage pool
//-----------------------------------------------------------------------------

struct ServiceSlots;

/** Encoder, retriever or reranker. One BYTES tensor holds the JSON input, one the JSON output. */
struct StagePoolStandin {
    StagePoolStandin();
    ~StagePoolStandin();
    StagePoolStandin(const StagePoolStandin &) = delete;
    StagePoolStandin &operator=(const StagePoolStandin &) = delete;

    Duration m_serviceTime = milliseconds(2);
    size_t m_maxRunning = 16;
    size_t m_maxWaiting = 256; ///< above: status 429
    bool m_reportsLoad = true;
    std::function<nlohmann::json(const std::string &model, const nlohmann::json &input)> m_infer; ///< empty: {"model", "input"}
    std::unique_ptr<ServiceSlots> m_slots;
    HttpStandin m_http; ///< last, so that it stops before the slots go
};

absl::Status start(StagePoolStandin &pool, int port = 0);
void stop(StagePoolStandin &pool);

//-----------------------------------------------------------------------------
// [SECTION] Plain service
//-----------------------------------------------------------------------------

/** Service with calls that must not be repeated. Every run is counted by its idempotency key. */
struct PlainServiceStandin {
    PlainServiceStandin();
    ~PlainServiceStandin();
    PlainServiceStandin(const PlainServiceStandin &) = delete;
    PlainServiceStandin &operator=(const PlainServiceStandin &) = delete;

    Duration m_serviceTime = milliseconds(2);
    size_t m_maxRunning = 64;
    size_t m_maxWaiting = 256; ///< above: status 429
    bool m_reportsLoad = false;
    bool m_refusesRepeats = false; ///< answers a known idempotency key with status 409 and does not run it
    std::function<nlohmann::json(const std::string &path, const nlohmann::json &input)> m_handle; ///< empty: {"path", "input"}
    std::unique_ptr<ServiceSlots> m_slots;
    HttpStandin m_http; ///< last, so that it stops before the slots go
};

absl::Status start(PlainServiceStandin &service, int port = 0);
void stop(PlainServiceStandin &service);

//-----------------------------------------------------------------------------
// [SECTION] VM list
//-----------------------------------------------------------------------------

/** List of VMs that shows each state m_lag after it was set. Served at /vms. */
struct VmListStandin {
    Duration m_lag{};
    std::mutex m_mutex; ///< guards m_history
    std::vector<std::pair<TimePoint, std::vector<Replica>>> m_history; ///< by the time from which each is shown
    HttpStandin m_http;
};

absl::Status start(VmListStandin &list, int port = 0);
void stop(VmListStandin &list);
/** Sets the actual state. A replica with an empty pool is an entry. */
void setVms(VmListStandin &list, std::vector<Replica> vms);

//-----------------------------------------------------------------------------
// [SECTION] Weight store
//-----------------------------------------------------------------------------

/** Store of model weights. GET /weights/{model} answers with status 429 and Retry-After above the rate. */
struct WeightStoreStandin {
    double m_downloadsPerSecond = 10;
    double m_burst = 2; ///< downloads
    Duration m_downloadTime = milliseconds(5);
    std::mutex m_mutex; ///< guards the members below
    double m_tokens = 0;
    TimePoint m_filledAt;
    HttpStandin m_http;
};

absl::Status start(WeightStoreStandin &store, int port = 0);
void stop(WeightStoreStandin &store);

} // namespace Medlarramp
