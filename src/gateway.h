#pragma once

/**
 * medlarramp gateway: the process that forwards requests of callers to upstreams, on a platform that stores
 * configuration and registrations in a key-value store.
 *
 * Index of sections:
 *  [SECTION] Process  runs the gateway process
 *
 * A single thread runs all work on one event loop: a VM has a fraction of one core, so more threads would only add context
 * switches.
 */

#include <memory>

#include <absl/status/status.h>

#include "serving.h"

namespace Medlarramp::Serving {

//-----------------------------------------------------------------------------
// [SECTION] Process
//-----------------------------------------------------------------------------

/**
 * Runs a gateway until it has drained after SIGTERM or SIGINT. SIGHUP reloads the log level from @p settingsPath.
 * Errors: InvalidArgument when an address in @p settings can't be parsed, Unavailable when listening on one fails.
 */
absl::Status runGateway(const GatewaySettings &settings, const std::string &settingsPath, Clock &clock);

} // namespace Medlarramp::Serving
