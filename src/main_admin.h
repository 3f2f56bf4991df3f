#pragma once

/**
 * medlarramp main: subcommands that edit the configuration through the administration API.
 *
 * medlarramp {template|organisation|upstream} {get NAME | put FILE | list | delete NAME | watch}
 *   "put" reads what "get" printed: its "revision" must still be the current one. Without a revision it creates.
 */

namespace CLI {
class App;
}

namespace Medlarramp {

/** Exit codes of the subcommands. */
constexpr int ExitDone = 0;
constexpr int ExitRefused = 1; ///< key, role, missing object, load, or the store
constexpr int ExitUsage = 2; ///< arguments, files, or findings in the object
constexpr int ExitUnreachable = 3; ///< no answer, or with --wait some nodes that have not confirmed the change
constexpr int ExitConflict = 4; ///< somebody else has changed the object

/** Adds the subcommands; the one that runs sets @p exitCode. @p exitCode must outlive the parse. */
void addAdminCommands(CLI::App &app, int &exitCode);

} // namespace Medlarramp
