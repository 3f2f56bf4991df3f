// The medlarramp program: subcommands and exit codes.

#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "main_admin.h"

int main(int argc, char **argv)
{
    CLI::App app("medlarramp serves multi-stage model pipelines.");
    app.footer("Exit codes: 0 done, 1 failed or refused, 2 usage or findings, 3 server unreachable, 4 conflict.");
    app.require_subcommand(1);
    int exitCode = 0;
    CLI::App *version = app.add_subcommand("version", "Print the version.");
    version->callback([] { fmt::print("medlarramp {}\n", MEDLARRAMP_VERSION); });
    Medlarramp::addAdminCommands(app, exitCode);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : Medlarramp::ExitUsage;
    }
    return exitCode;
}
