#pragma once

/**
 * medlarramp policy: the decisions on the path of a request, as pure functions.
 *
 * Index of sections:
 *  [SECTION] Outcome of an attempt     the only place that says "not run"
 */

#include <vector>

#include "core.h"
#include "model.h"

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] Outcome of an attempt
//-----------------------------------------------------------------------------

/** What was seen on the wire during one attempt. Filled by the upstream client. */
struct AttemptEvidence {
    bool m_connected = false; ///< a connection was open before the request was sent
    bool m_requestSent = false; ///< at least one byte of the request may have left
    int m_status = 0; ///< HTTP status; 0: none received
    bool m_complete = false; ///< the whole answer was received and parsed
    bool m_silent = false; ///< no byte for longer than the progress limit
    bool m_timedOut = false; ///< the attempt's deadline passed
    bool m_cancelled = false; ///< given up by this entry
    bool m_reusedConnection = false; ///< the connection came from the pool
    bool m_leaving = false; ///< the upstream said that it is leaving

    bool operator==(const AttemptEvidence &) const = default;
};

/** Outcome and reason of an attempt. */
struct AttemptVerdict {
    Outcome m_outcome = Outcome::Unknown;
    Reason m_reason = Reason::InternalError;

    bool operator==(const AttemptVerdict &) const = default;
};

/**
 * Decides what an attempt's end means. "Not run" is certain only when nothing of the request left this process or the
 * upstream's configuration declares the status as "not accepted".
 */
AttemptVerdict classifyAttempt(const AttemptEvidence &evidence, const Upstream &upstream);

} // namespace Medlarramp
