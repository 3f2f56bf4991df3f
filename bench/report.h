#pragma once

/**
 * Figures of the benchmarks and their verdicts.
 *
 * Index of sections:
 *  [SECTION] Figures    one measured value with its target and baselines
 *  [SECTION] Registry   the named benches
 *  [SECTION] Output     table, JSON and exit code
 */

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Medlarramp::Bench {

//-----------------------------------------------------------------------------
// [SECTION] Figures
//-----------------------------------------------------------------------------

enum class Bound : uint8_t {
    None, ///< no target is stated for this figure
    AtMost,
    AtLeast,
};

/** A value of a simpler method, measured in the same run. */
struct Baseline {
    std::string m_name;
    double m_value = 0;
};

struct Figure {
    std::string m_name;
    double m_value = 0;
    std::string m_unit;
    Bound m_bound = Bound::None;
    double m_target = 0; ///< from the stated requirement, never from a measured value
    std::vector<Baseline> m_baselines;
    bool m_informative = false; ///< depends on the machine: reported, never a failure
};

bool passes(const Figure &figure);

//-----------------------------------------------------------------------------
// [SECTION] Registry
//-----------------------------------------------------------------------------

struct Run {
    uint64_t m_seed = 1;
    std::vector<Figure> m_figures;
};

struct Bench {
    std::string m_name;
    std::function<void(Run &)> m_function;
};

std::vector<Bench> &benches();
/** Adds a bench before main() runs. */
struct Registration {
    Registration(std::string name, std::function<void(Run &)> function);
};

//-----------------------------------------------------------------------------
// [SECTION] Output
//-----------------------------------------------------------------------------

/** Names from the lines "bench: NAME" of a KNOWN-RED.txt. */
std::set<std::string> readKnownRed(const std::string &path);
void printTable(const std::vector<Figure> &figures, const std::set<std::string> &knownRed);
/** @return false when the file cannot be written. */
bool writeJson(const std::vector<Figure> &figures, const std::string &path);
/** 1 when a deterministic figure misses its target and is not in @p knownRed. */
int exitCode(const std::vector<Figure> &figures, const std::set<std::string> &knownRed);

} // namespace Medlarramp::Bench
