// Runs the registered benches, prints one table and sets the exit code.

#include <algorithm>
#include <cstdlib>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "report.h"

using namespace Medlarramp::Bench;

int main(int argc, char **argv)
{
    CLI::App app("Benchmarks of medlarramp");
    std::string name;
    std::string json;
    Run run;
    bool list = false;
    app.add_option("NAME", name, "Bench to run; default: all");
    app.add_option("--seed", run.m_seed, "Seed of the virtual-time runs")->capture_default_str();
    app.add_option("--json", json, "File for the figures");
    app.add_flag("--list", list, "Print the names of the benches");
    CLI11_PARSE(app, argc, argv);

    std::sort(benches().begin(), benches().end(), [](const Bench &left, const Bench &right) { return left.m_name < right.m_name; });
    bool found = false;
    for (const Bench &bench : benches()) {
        if (list) {
            fmt::print("{}\n", bench.m_name);
            continue;
        }
        if (name.empty() || name == bench.m_name) {
            found = true;
            bench.m_function(run);
        }
    }
    if (list) {
        return EXIT_SUCCESS;
    }
    if (!found) {
        fmt::print(stderr, "no bench named \"{}\"; --list prints the names\n", name);
        return EXIT_FAILURE;
    }
    const std::set<std::string> knownRed = readKnownRed(MEDLARRAMP_SOURCE_DIR "/KNOWN-RED.txt");
    printTable(run.m_figures, knownRed);
    if (!json.empty() && !writeJson(run.m_figures, json)) {
        fmt::print(stderr, "cannot write {}\n", json);
        return EXIT_FAILURE;
    }
    return exitCode(run.m_figures, knownRed);
}
