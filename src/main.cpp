#include <cstdio>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

int main(int argc, char **argv)
{
    CLI::App app("medlarramp serves multi-stage model pipelines.");
    app.require_subcommand(1);
    CLI::App *version = app.add_subcommand("version", "Print the version.");
    version->callback([] { fmt::print("medlarramp {}\n", MEDLARRAMP_VERSION); });
    CLI11_PARSE(app, argc, argv);
    return 0;
}
