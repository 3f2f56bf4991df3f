#include <algorithm>
#include <set>

#include "policy.h"

namespace Medlarramp {

namespace {

bool contains(const CrashRecord &record, uint64_t content)
{
    return std::find(record.m_suspects.begin(), record.m_suspects.end(), content) != record.m_suspects.end();
}

void removeExpired(CrashGuard &guard, TimePoint now)
{
    std::erase_if(guard.m_records, [&](const CrashRecord &record) { return now - record.m_at > guard.m_settings.m_window; });
    std::erase_if(guard.m_refusedUntil, [now](const auto &entry) { return entry.second <= now; });
}

/** Number of distinct replicas that crashed while @p content was running on them. */
size_t crashesOf(const CrashGuard &guard, uint64_t content)
{
    size_t count = 0;
    for (size_t i = 0; i < guard.m_records.size(); ++i) {
        const CrashRecord &record = guard.m_records[i];
        const bool counted = contains(record, content)
            && std::none_of(guard.m_records.begin(),
                            guard.m_records.begin() + static_cast<std::ptrdiff_t>(i),
                            [&](const CrashRecord &earlier) {
                                return earlier.m_replica == record.m_replica && contains(earlier, content);
                            });
        count += counted ? 1 : 0;
    }
    return count;
}

/** Share of one crash attributed to @p content, see observeLostRequests(). */
double blameShare(const CrashGuard &guard, const CrashRecord &record, uint64_t content)
{
    const size_t own = crashesOf(guard, content);
    size_t equal = 0;
    size_t neverCompleted = 0;
    for (const uint64_t other : record.m_suspects) {
        const size_t crashes = crashesOf(guard, other);
        if (crashes > own) {
            return 0;
        }
        equal += crashes == own ? 1 : 0;
        neverCompleted += crashes == own && !hasCompleted(guard, other) ? 1 : 0;
    }
    if (neverCompleted > 0) {
        return hasCompleted(guard, content) ? 0 : 1.0 / static_cast<double>(neverCompleted);
    }
    return 1.0 / static_cast<double>(std::max<size_t>(1, equal));
}

double blameScore(const CrashGuard &guard, uint64_t content)
{
    std::vector<uint64_t> replicas;
    double blame = 0;
    for (const CrashRecord &record : guard.m_records) {
        const bool repeated = std::find(replicas.begin(), replicas.end(), record.m_replica) != replicas.end();
        if (repeated || !contains(record, content)) {
            continue;
        }
        replicas.push_back(record.m_replica);
        blame += blameShare(guard, record, content);
    }
    return blame;
}

/** The record of a crash; reports of the same replica within CrashReportTime are of one crash. */
CrashRecord &findRecord(CrashGuard &guard, uint64_t replica, TimePoint now)
{
    const auto known = std::find_if(guard.m_records.begin(), guard.m_records.end(), [&](const CrashRecord &record) {
        return record.m_replica == replica && now - record.m_at <= CrashReportTime;
    });
    if (known != guard.m_records.end()) {
        return *known;
    }
    if (guard.m_records.size() >= MaxCrashRecords) {
        guard.m_records.pop_front();
    }
    return guard.m_records.emplace_back(CrashRecord{replica, now, {}});
}

void addSuspects(CrashRecord &record, std::span<const uint64_t> lost)
{
    record.m_suspects.insert(record.m_suspects.end(), lost.begin(), lost.end());
    std::sort(record.m_suspects.begin(), record.m_suspects.end());
    record.m_suspects.erase(std::unique(record.m_suspects.begin(), record.m_suspects.end()), record.m_suspects.end());
    if (record.m_suspects.size() > MaxCrashSuspects) {
        record.m_suspects.clear(); // identifies none of them
    }
}

void refuse(CrashGuard &guard, uint64_t content, TimePoint until)
{
    if (guard.m_refusedUntil.size() >= MaxRefusedContents && !guard.m_refusedUntil.contains(content)) {
        const auto first = std::min_element(guard.m_refusedUntil.begin(),
                                            guard.m_refusedUntil.end(),
                                            [](const auto &left, const auto &right) { return left.second < right.second; });
        guard.m_refusedUntil.erase(first);
    }
    TimePoint &stored = guard.m_refusedUntil[content];
    stored = std::max(stored, until);
}

/** Refuses those of @p suspects that are blamed for enough crashes. */
std::vector<ContentRefusal> refuseBlamed(CrashGuard &guard, const std::vector<uint64_t> &suspects, TimePoint now)
{
    std::vector<ContentRefusal> refusals;
    for (const uint64_t content : suspects) {
        // Most suspects were present at one crash only. Their blame score cannot reach the limit and is not computed.
        const auto crashes = static_cast<double>(crashesOf(guard, content));
        if (crashes >= guard.m_settings.m_crashes && blameScore(guard, content) >= guard.m_settings.m_crashes) {
            refusals.push_back({content, now + guard.m_settings.m_refusal});
            refuse(guard, content, refusals.back().m_until);
        }
    }
    return refusals;
}

} // namespace

uint64_t contentHash(std::string_view pipeline, const nlohmann::json &input)
{
    return combineHash(hash64(pipeline), hash64(input.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)));
}

bool isContentRefused(const CrashGuard &guard, uint64_t content, TimePoint now)
{
    const auto it = guard.m_refusedUntil.find(content);
    return it != guard.m_refusedUntil.end() && now < it->second;
}

std::vector<ContentRefusal>
observeLostRequests(CrashGuard &guard, uint64_t replica, std::span<const uint64_t> lost, size_t open, TimePoint now)
{
    removeExpired(guard, now);
    if (lost.empty() || lost.size() < open || lost.size() > MaxCrashSuspects) {
        return {};
    }
    CrashRecord &record = findRecord(guard, replica, now);
    addSuspects(record, lost);
    const std::vector<uint64_t> suspects = record.m_suspects;
    return refuseBlamed(guard, suspects, now);
}

void noteCompleted(CrashGuard &guard, uint64_t content)
{
    if (guard.m_completed.size() >= MaxCompletedContents) {
        guard.m_completed.clear(); // frequent contents are soon known again
    }
    guard.m_completed.insert(content);
}

bool observeCompletion(CrashGuard &guard, uint64_t content)
{
    noteCompleted(guard, content);
    size_t erased = 0;
    for (CrashRecord &record : guard.m_records) {
        erased += std::erase(record.m_suspects, content);
    }
    return erased > 0;
}

bool hasCompleted(const CrashGuard &guard, uint64_t content)
{
    return guard.m_completed.contains(content);
}

std::vector<ContentRefusal> reassessCrashes(CrashGuard &guard, TimePoint now)
{
    removeExpired(guard, now);
    std::set<uint64_t> suspects;
    for (const CrashRecord &record : guard.m_records) {
        suspects.insert(record.m_suspects.begin(), record.m_suspects.end());
    }
    std::erase_if(suspects, [&](uint64_t content) { return isContentRefused(guard, content, now); });
    return refuseBlamed(guard, {suspects.begin(), suspects.end()}, now);
}

void applyContentRefusal(CrashGuard &guard, const ContentRefusal &refusal, TimePoint now)
{
    // Limits the effect of a wrong clock on the peer to this entry's own refusal time.
    const TimePoint until = std::min(refusal.m_until, now + guard.m_settings.m_refusal);
    if (until > now) {
        refuse(guard, refusal.m_content, until);
    }
}

} // namespace Medlarramp
