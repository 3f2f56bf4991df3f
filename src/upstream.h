#pragma once

/**
 * medlarramp upstream: clients of model engines, stage pools, plain services and the VM list.
 *
 * Index of sections:
 *  [SECTION] Attempts       one call of one replica
 *  [SECTION] Connections    pooled connections and their trust
 *  [SECTION] VM list        Prometheus HTTP service discovery
 */

#include <atomic>
#include <functional>
#include <optional>
#include <string>

#include "core.h"
#include "model.h"
#include "policy.h"

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] Attempts
//-----------------------------------------------------------------------------

/** One call of one replica, complete in itself. */
struct AttemptRequest {
    Identifier m_request; ///< identifier of the caller's request
    size_t m_stage = 0; ///< index of the stage
    int m_attempt = 0; ///< number of the attempt, from 0
    Address m_address;
    UpstreamKind m_kind = UpstreamKind::StagePool;
    std::string m_model; ///< model engine and stage pool
    std::string m_path; ///< plain service
    std::string m_prompt; ///< model engine
    nlohmann::json m_input; ///< stage pool and plain service
    int64_t m_maxOutputTokens = 256;
    RequestClass m_class = RequestClass::Urgent; ///< becomes the engine's priority
    std::string m_organisation; ///< salt of the engine's prefix cache, so that organisations share no entries
    std::string m_idempotencyKey; ///< sent on when not empty
    TimePoint m_deadline; ///< end of the attempt; sent on as the time left
};

/** Load that a replica reports with an answer. */
struct LoadReport {
    double m_running = 0; ///< requests being served
    double m_waiting = 0; ///< requests queued on the replica
    TimePoint m_at; ///< when the report arrived

    bool operator==(const LoadReport &) const = default;
};

struct AttemptResult {
    AttemptEvidence m_evidence;
    nlohmann::json m_output; ///< stage pool and plain service
    std::string m_text; ///< model engine: the text so far
    int64_t m_tokens = 0; ///< model engine: tokens generated
    std::optional<Duration> m_firstToken; ///< since the start of the attempt
    Duration m_duration{}; ///< of the whole attempt
    std::optional<LoadReport> m_load;
    std::optional<Duration> m_retryAfter; ///< the replica's own word
};

/** Set by the entry to give an attempt up. */
struct CancelToken {
    std::atomic<bool> m_cancelled = false;
};

/** Receives each piece of generated text. Returning false cancels the attempt. */
using TokenSink = std::function<bool(const std::string &text)>;

/** The calls of an upstream. Tests and benches replace them. */
struct UpstreamClient {
    std::function<AttemptResult(const AttemptRequest &, const TokenSink &, CancelToken &)> m_run;
};

} // namespace Medlarramp
