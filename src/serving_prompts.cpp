#include <algorithm>

#include "serving.h"

namespace Medlarramp::Serving {

namespace {

bool usesService(const ServingRoute &route, const std::string &service)
{
    return std::any_of(
        route.m_services.begin(), route.m_services.end(), [&](const ServiceShare &share) { return share.m_service == service; });
}

} // namespace

std::optional<LongPromptMode> parseLongPromptMode(std::string_view text)
{
    if (text == "auto") {
        return LongPromptMode::Auto;
    }
    if (text == "on") {
        return LongPromptMode::On;
    }
    return text == "off" ? std::optional(LongPromptMode::Off) : std::nullopt;
}

bool separatesLongPrompts(const ServingConfiguration &configuration, const std::string &service, LongPromptMode mode)
{
    const ServingService *definition = findService(configuration, service);
    if (mode == LongPromptMode::Off || definition == nullptr || !definition->m_engine) {
        return false;
    }
    return mode == LongPromptMode::On
        || std::any_of(configuration.m_routes.begin(), configuration.m_routes.end(), [&](const ServingRoute &route) {
               const bool isTight = route.m_gapObjective > Duration(0) && route.m_gapObjective <= MaxLongPromptGap;
               return isTight && route.m_usesEngine && usesService(route, service);
           });
}

bool applyLongPromptReport(LongPromptReports &reports, const std::string &node, std::vector<LongPrompt> prompts, TimePoint now)
{
    if (prompts.empty()) {
        reports.m_byNode.erase(node);
        return true;
    }
    if (reports.m_byNode.size() >= MaxLongPromptReporters && !reports.m_byNode.contains(node)) {
        return false;
    }
    if (prompts.size() > MaxReportedLongPrompts) {
        prompts.resize(MaxReportedLongPrompts);
    }
    reports.m_byNode[node] = {now + LongPromptReportLifetime, std::move(prompts)};
    return true;
}

size_t expireLongPromptReports(LongPromptReports &reports, TimePoint now)
{
    return std::erase_if(reports.m_byNode, [now](const auto &entry) { return entry.second.m_expiresAt <= now; });
}

std::unordered_map<uint64_t, double> longPromptSeconds(const LongPromptReports &reports, TimePoint now)
{
    std::unordered_map<uint64_t, double> left;
    for (const auto &[node, report] : reports.m_byNode) {
        if (report.m_expiresAt <= now) {
            continue;
        }
        for (const LongPrompt &prompt : report.m_prompts) {
            const TimePoint end = std::min(prompt.m_endsAt, report.m_expiresAt);
            if (end > now) {
                left[prompt.m_replica] += std::chrono::duration<double>(end - now).count();
            }
        }
    }
    return left;
}

bool isLongPrompt(const std::vector<PromptPart> &parts)
{
    return expectedUncachedTokens(parts, true) >= MinLongPromptTokens;
}

std::vector<LongPrompt> selectLongPrompts(std::vector<LongPrompt> prompts, TimePoint now)
{
    std::erase_if(prompts, [now](const LongPrompt &prompt) { return prompt.m_endsAt <= now; });
    std::sort(
        prompts.begin(), prompts.end(), [](const LongPrompt &left, const LongPrompt &right) { return left.m_endsAt > right.m_endsAt; });
    prompts.resize(std::min(prompts.size(), MaxReportedLongPrompts));
    return prompts;
}

} // namespace Medlarramp::Serving
