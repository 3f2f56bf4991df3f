#pragma once

/**
 * The demo: one entry process on embedded stand-ins of every outside system, and real requests over HTTP.
 */

#include <CLI/CLI.hpp>

namespace Medlarramp {

/** Adds the subcommand "demo". @p exitCode becomes 0 only if every answer is right. */
void addDemoCommand(CLI::App &app, int &exitCode);

} // namespace Medlarramp
