#include <algorithm>
#include <utility>

#include "serving.h"

namespace Medlarramp::Serving {

namespace {

constexpr int CrashesBeforeRefusal = 3;
constexpr Duration MinTimeBetweenCrashes = milliseconds(100); ///< replicas that crash closer together have one cause
constexpr Duration CrashReportTime = seconds(2); ///< reports of one incarnation within this time are of the same crash

using Refusals = std::unordered_map<uint64_t, TimePoint>;

bool contains(const std::vector<uint64_t> &values, uint64_t value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

void append(std::vector<uint64_t> &values, const std::vector<uint64_t> &more)
{
    for (const uint64_t value : more) {
        if (!contains(values, value)) {
            values.push_back(value);
        }
    }
    if (values.size() > MaxCrashSuspects) {
        values.clear();
    }
}

bool isActive(const Refusals &refusals, uint64_t id, TimePoint now)
{
    const auto entry = refusals.find(id);
    return entry != refusals.end() && now < entry->second;
}

void refuse(Refusals &refusals, uint64_t id, TimePoint until)
{
    if (refusals.size() >= MaxRefusedSuspects && !refusals.contains(id)) {
        refusals.erase(std::min_element(
            refusals.begin(), refusals.end(), [](const auto &left, const auto &right) { return left.second < right.second; }));
    }
    TimePoint &stored = refusals[id];
    stored = std::max(stored, until);
}

void removeExpired(CrashEvidence &evidence, TimePoint now)
{
    std::erase_if(evidence.m_crashes, [now](const ReplicaCrash &crash) { return now - crash.m_at > CrashWindow; });
    const auto isForgotten = [now](const auto &entry) { return now - entry.second > SuspectMemory; };
    std::erase_if(evidence.m_refusedRequests, isForgotten);
    std::erase_if(evidence.m_refusedParts, isForgotten);
}

ReplicaCrash &findCrash(CrashEvidence &evidence, uint64_t incarnation, TimePoint now)
{
    const auto known = std::find_if(evidence.m_crashes.begin(), evidence.m_crashes.end(), [&](const ReplicaCrash &crash) {
        return crash.m_incarnation == incarnation && now - crash.m_at <= CrashReportTime;
    });
    if (known != evidence.m_crashes.end()) {
        return *known;
    }
    if (evidence.m_crashes.size() >= MaxReplicaCrashes) {
        evidence.m_crashes.pop_front();
    }
    return evidence.m_crashes.emplace_back(ReplicaCrash{incarnation, now, {}});
}

/** Whether a request is refused: it is lost on its own account, so that crashes at the same time count too. */
bool isRequestBlamed(const CrashEvidence &evidence, uint64_t digest)
{
    if (evidence.m_refusedRequests.contains(digest)) {
        return true; // its refusal has ended, and it crashed one more replica
    }
    const auto crashes = std::count_if(evidence.m_crashes.begin(), evidence.m_crashes.end(), [digest](const ReplicaCrash &crash) {
        return contains(crash.m_suspects.m_requests, digest);
    });
    return crashes >= CrashesBeforeRefusal;
}

/** Number of crashes with @p part. Replicas that crash together, as in the loss of a failure domain, count once. */
int separateCrashes(const CrashEvidence &evidence, uint64_t part)
{
    int count = 0;
    TimePoint last;
    for (const ReplicaCrash &crash : evidence.m_crashes) {
        if (contains(crash.m_suspects.m_parts, part) && (count == 0 || crash.m_at - last >= MinTimeBetweenCrashes)) {
            count += 1;
            last = crash.m_at;
        }
    }
    return count;
}

/** Whether one request was lost in all crashes with @p part. */
bool isExplainedByRequest(const CrashEvidence &evidence, uint64_t part)
{
    std::vector<uint64_t> common;
    bool isFirst = true;
    for (const ReplicaCrash &crash : evidence.m_crashes) {
        if (!contains(crash.m_suspects.m_parts, part)) {
            continue;
        }
        if (std::exchange(isFirst, false)) {
            common = crash.m_suspects.m_requests;
        } else {
            std::erase_if(common, [&crash](uint64_t digest) { return !contains(crash.m_suspects.m_requests, digest); });
        }
    }
    return !common.empty();
}

/** The part of @p parts that is to be refused, see observeCrash(). */
std::optional<uint64_t> blamedPart(const CrashEvidence &evidence, const std::vector<uint64_t> &parts)
{
    std::optional<uint64_t> chosen;
    std::pair<int, bool> best(CrashesBeforeRefusal, false);
    for (const uint64_t part : parts) {
        if (evidence.m_refusedParts.contains(part)) {
            return part; // its refusal has ended, and a request with it crashed one more replica
        }
        const std::pair<int, bool> suspicion(separateCrashes(evidence, part), !evidence.m_answeredParts.contains(part));
        if (suspicion >= best && !isExplainedByRequest(evidence, part)) {
            chosen = part;
            best = suspicion;
        }
    }
    return chosen;
}

/** Refuses a part. The crashes that it explains are no evidence against what else was lost in them. */
void refusePart(CrashEvidence &evidence, uint64_t part, TimePoint until)
{
    refuse(evidence.m_refusedParts, part, until);
    std::erase_if(evidence.m_crashes, [part](const ReplicaCrash &crash) { return contains(crash.m_suspects.m_parts, part); });
}

/** Removes @p id from the suspects of all crashes. @return the number of crashes that it was suspected in. */
size_t clearSuspect(CrashEvidence &evidence, std::vector<uint64_t> CrashSuspects::*kind, uint64_t id)
{
    size_t cleared = 0;
    for (ReplicaCrash &crash : evidence.m_crashes) {
        cleared += std::erase(crash.m_suspects.*kind, id);
    }
    return cleared;
}

} // namespace

uint64_t requestDigest(std::string_view target, std::string_view caller, std::string_view body, const std::vector<PromptPart> &parts)
{
    std::string message(target);
    for (const PromptPart &part : parts) {
        message += ' '; // not part of a request target
        message += std::to_string(part.m_id);
    }
    message += '\n';
    message += body;
    const Digest digest = hmacSha256(caller, message);
    uint64_t value = 0;
    for (size_t i = 0; i < sizeof value; ++i) {
        value = (value << 8) | digest[i];
    }
    return value;
}

bool isRequestRefused(const CrashEvidence &evidence, uint64_t digest, TimePoint now)
{
    return isActive(evidence.m_refusedRequests, digest, now);
}

bool isPartRefused(const CrashEvidence &evidence, uint64_t part, TimePoint now)
{
    return isActive(evidence.m_refusedParts, part, now);
}

bool hasRefused(const CrashEvidence &evidence, const CrashSuspects &suspects, TimePoint now)
{
    const auto isRefusedRequest = [&](uint64_t digest) { return isRequestRefused(evidence, digest, now); };
    const auto isRefusedPart = [&](uint64_t part) { return isPartRefused(evidence, part, now); };
    return std::any_of(suspects.m_requests.begin(), suspects.m_requests.end(), isRefusedRequest)
        || std::any_of(suspects.m_parts.begin(), suspects.m_parts.end(), isRefusedPart);
}

void prolongRefusal(CrashEvidence &evidence, uint64_t digest, TimePoint now)
{
    refuse(evidence.m_refusedRequests, digest, now + RequestRefusalTime);
}

CrashSuspects observeCrash(CrashEvidence &evidence, uint64_t incarnation, const CrashSuspects &lost, TimePoint now)
{
    removeExpired(evidence, now);
    CrashSuspects refused;
    if (hasRefused(evidence, lost, now)) {
        return refused; // explained by what is refused already
    }
    ReplicaCrash &crash = findCrash(evidence, incarnation, now);
    append(crash.m_suspects.m_requests, lost.m_requests);
    append(crash.m_suspects.m_parts, lost.m_parts);
    for (const uint64_t digest : lost.m_requests) {
        if (isRequestBlamed(evidence, digest)) {
            refuse(evidence.m_refusedRequests, digest, now + RequestRefusalTime);
            refused.m_requests.push_back(digest);
        }
    }
    if (const std::optional<uint64_t> part = blamedPart(evidence, lost.m_parts)) {
        refusePart(evidence, *part, now + PartRefusalTime);
        refused.m_parts.push_back(*part);
    }
    return refused;
}

CrashSuspects observeAnswer(CrashEvidence &evidence, const CrashSuspects &answered)
{
    CrashSuspects cleared;
    for (const uint64_t digest : answered.m_requests) {
        if (clearSuspect(evidence, &CrashSuspects::m_requests, digest) + evidence.m_refusedRequests.erase(digest) > 0) {
            cleared.m_requests.push_back(digest);
        }
    }
    for (const uint64_t part : answered.m_parts) {
        noteAnsweredPart(evidence, part);
        if (clearSuspect(evidence, &CrashSuspects::m_parts, part) + evidence.m_refusedParts.erase(part) > 0) {
            cleared.m_parts.push_back(part);
        }
    }
    return cleared;
}

void noteAnsweredPart(CrashEvidence &evidence, uint64_t part)
{
    if (evidence.m_answeredParts.size() >= MaxAnsweredParts) {
        evidence.m_answeredParts.clear(); // frequent parts are soon known again
    }
    evidence.m_answeredParts.insert(part);
}

CrashSuspects applyRefusals(CrashEvidence &evidence, const CrashSuspects &suspects, Duration timeLeft, TimePoint now)
{
    CrashSuspects applied;
    for (const uint64_t digest : suspects.m_requests) {
        if (!isRequestRefused(evidence, digest, now)) {
            refuse(evidence.m_refusedRequests, digest, now + std::min(timeLeft, RequestRefusalTime));
            applied.m_requests.push_back(digest);
        }
    }
    for (const uint64_t part : suspects.m_parts) {
        if (!isPartRefused(evidence, part, now)) {
            refusePart(evidence, part, now + std::min(timeLeft, PartRefusalTime));
            applied.m_parts.push_back(part);
        }
    }
    return applied;
}

} // namespace Medlarramp::Serving
