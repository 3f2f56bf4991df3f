#include <cstdio>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "main_admin.h"

int main(int argc, char **argv)
{
    CLI::App app("medlarramp serves multi-stage model pipelines.");
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
