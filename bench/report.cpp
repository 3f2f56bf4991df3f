#include "report.h"

#include <algorithm>
#include <cstdio>
#include <fstream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Medlarramp::Bench {

namespace {

std::string targetText(const Figure &figure)
{
    switch (figure.m_bound) {
    case Bound::None:
        return "-";
    case Bound::AtMost:
        return fmt::format("<= {:g}", figure.m_target);
    case Bound::AtLeast:
        return fmt::format(">= {:g}", figure.m_target);
    }
    return "-";
}

std::string verdictText(const Figure &figure, const std::set<std::string> &knownRed)
{
    if (figure.m_informative) {
        return "informative";
    }
    if (figure.m_bound == Bound::None) {
        return "-";
    }
    if (passes(figure)) {
        return "pass";
    }
    return knownRed.contains(figure.m_name) ? "known red" : "FAIL";
}

std::string baselineText(const Figure &figure)
{
    std::string text;
    for (const Baseline &baseline : figure.m_baselines) {
        text += fmt::format("{}{} {:.4g}", text.empty() ? "" : ", ", baseline.m_name, baseline.m_value);
    }
    return text;
}

nlohmann::json toJson(const Figure &figure)
{
    nlohmann::json baselines = nlohmann::json::object();
    for (const Baseline &baseline : figure.m_baselines) {
        baselines[baseline.m_name] = baseline.m_value;
    }
    nlohmann::json object{{"name", figure.m_name}, {"value", figure.m_value}, {"unit", figure.m_unit}, {"baseline", baselines}};
    object["target"] = figure.m_bound == Bound::None ? nlohmann::json(nullptr) : nlohmann::json(targetText(figure));
    object["pass"] = passes(figure);
    object["informative"] = figure.m_informative;
    return object;
}

} // namespace

bool passes(const Figure &figure)
{
    switch (figure.m_bound) {
    case Bound::None:
        return true;
    case Bound::AtMost:
        return figure.m_value <= figure.m_target;
    case Bound::AtLeast:
        return figure.m_value >= figure.m_target;
    }
    return false;
}

std::vector<Bench> &benches()
{
    static std::vector<Bench> all;
    return all;
}

Registration::Registration(std::string name, std::function<void(Run &)> function)
{
    benches().push_back({std::move(name), std::move(function)});
}

std::set<std::string> readKnownRed(const std::string &path)
{
    constexpr std::string_view Prefix = "bench: ";
    std::set<std::string> names;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(Prefix)) {
            const std::string rest = line.substr(Prefix.size());
            names.insert(rest.substr(0, rest.find_first_of(" \t\r")));
        }
    }
    return names;
}

void printTable(const std::vector<Figure> &figures, const std::set<std::string> &knownRed)
{
    fmt::print("{:<44} {:>10} {:<12} {:>10} {:<11} {}\n", "name", "value", "unit", "target", "verdict", "baselines");
    for (const Figure &figure : figures) {
        fmt::print("{:<44} {:>10.4g} {:<12} {:>10} {:<11} {}\n",
                   figure.m_name,
                   figure.m_value,
                   figure.m_unit,
                   targetText(figure),
                   verdictText(figure, knownRed),
                   baselineText(figure));
    }
}

bool writeJson(const std::vector<Figure> &figures, const std::string &path)
{
    nlohmann::json list = nlohmann::json::array();
    for (const Figure &figure : figures) {
        list.push_back(toJson(figure));
    }
    std::ofstream file(path);
    file << list.dump(2) << '\n';
    file.flush();
    return file.good();
}

int exitCode(const std::vector<Figure> &figures, const std::set<std::string> &knownRed)
{
    const bool failed = std::any_of(figures.begin(), figures.end(), [&](const Figure &figure) {
        return !figure.m_informative && !passes(figure) && !knownRed.contains(figure.m_name);
    });
    return failed ? 1 : 0;
}

} // namespace Medlarramp::Bench
