#include <algorithm>

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

/** Share of one crash attributed to @p content: equal shares for the suspects that were present at the most crashes. */
double blameShare(const CrashGuard &guard, const CrashRecord &record, uint64_t content)
{
    const size_t own = crashesOf(guard, content);
    size_t equal = 0;
    for (const uint64_t other : record.m_suspects) {
        const size_t crashes = crashesOf(guard, other);
        if (crashes > own) {
            return 0;
        }
        equal += crashes == own ? 1 : 0;
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

CrashRecord makeRecord(uint64_t replica, std::span<const uint64_t> lost, TimePoint now)
{
    CrashRecord record{replica, now, {lost.begin(), lost.end()}};
    std::sort(record.m_suspects.begin(), record.m_suspects.end());
    record.m_suspects.erase(std::unique(record.m_suspects.begin(), record.m_suspects.end()), record.m_suspects.end());
    return record;
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
    if (guard.m_records.size() >= MaxCrashRecords) {
        guard.m_records.pop_front();
    }
    guard.m_records.push_back(makeRecord(replica, lost, now));
    const std::vector<uint64_t> suspects = guard.m_records.back().m_suspects;
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

void observeCompletion(CrashGuard &guard, uint64_t content)
{
    for (CrashRecord &record : guard.m_records) {
        std::erase(record.m_suspects, content);
    }
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
