#pragma once

/**
 * medlarramp gateway: the process between callers and upstreams on a platform that keeps configuration and
 * registrations in its key-value service.
 *
 * Index of sections:
 *  [SECTION] Process  start and run
 *
 * One thread runs everything on one event loop: a VM has a fraction of one core, so more threads only add switches.
 */

#include <memory>

#include <absl/status/status.h>

#include "serving.h"

namespace Medlarramp::Serving {

//-----------------------------------------------------------------------------
// [SECTION] Process
//-----------------------------------------------------------------------------

/**
 * Runs a gateway until SIGTERM or SIGINT and the drain that follows. SIGHUP reads @p settingsPath again.
 * Errors: Unavailable when an address can't be listened on.
 */
absl::Status runGateway(const GatewaySettings &settings, const std::string &settingsPath, Clock &clock);

} // namespace Medlarramp::Serving
