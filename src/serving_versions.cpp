#include <algorithm>

#include "serving.h"

namespace Medlarramp::Serving {

namespace {

size_t countOf(const std::map<std::string, size_t> &versions, const std::string &version)
{
    const auto found = versions.find(version);
    return found == versions.end() ? 0 : found->second;
}

/** The version with the most replicas; the first by name among equals, so that all gateways choose the same. */
const std::string &mostFrequent(const std::map<std::string, size_t> &versions)
{
    return std::max_element(
               versions.begin(), versions.end(), [](const auto &left, const auto &right) { return left.second < right.second; })
        ->first;
}

bool isValid(const UsualVersion *usual, int64_t era)
{
    return usual != nullptr && usual->m_isSettled && usual->m_era == era;
}

TakeUp takeUpAt(const std::string &version, const std::map<std::string, size_t> &versions)
{
    return {countOf(versions, version) > 0 ? TakeUpStep::GoOn : TakeUpStep::Left, version};
}

} // namespace

TakeUpForm classifyTakeUp(const std::vector<std::string_view> &resumes, std::optional<std::string_view> lastEvent)
{
    if (resumes.empty()) {
        return lastEvent ? TakeUpForm::Unnamed : TakeUpForm::None;
    }
    const std::string_view name = resumes.front();
    const bool isPlain =
        std::all_of(name.begin(), name.end(), [](char character) { return character > ' ' && character <= '~' && character != ','; });
    const bool isNumber = lastEvent && !lastEvent->empty()
        && std::all_of(lastEvent->begin(), lastEvent->end(), [](char character) { return character >= '0' && character <= '9'; });
    const bool isName = !name.empty() && name.size() <= MaxResumesBytes && isPlain;
    return resumes.size() == 1 && isName && isNumber ? TakeUpForm::Named : TakeUpForm::Malformed;
}

bool mayWriteStream(const Registry &registry, const std::string &replica, const StreamPin &pin)
{
    const auto registered = registry.m_replicas.find(replica);
    if (registered == registry.m_replicas.end() || registered->second.m_record.m_softwareVersion != pin.m_expected) {
        return false;
    }
    return !pin.m_begun || *pin.m_begun == pin.m_expected;
}

uint64_t streamKey(std::string_view organisation, std::string_view route, std::string_view attemptId)
{
    return combineHash(combineHash(hash64(organisation), hash64(route)), hash64(attemptId));
}

std::map<std::string, size_t> countVersions(const Registry &registry, const std::string &service)
{
    std::map<std::string, size_t> versions;
    for (const auto &[id, replica] : registry.m_replicas) {
        if (replica.m_record.m_service == service) {
            versions[replica.m_record.m_softwareVersion] += 1;
        }
    }
    return versions;
}

bool isUsual(const UsualVersion *usual, const std::string &version, int64_t era)
{
    return isValid(usual, era) && usual->m_version == version;
}

bool mayGoUnrecorded(const UsualVersion *usual, const std::string &version, int64_t era, const std::map<std::string, size_t> &versions)
{
    return !isValid(usual, era) || usual->m_version == version || countOf(versions, usual->m_version) == 0;
}

std::optional<std::string> requiredVersion(const std::optional<std::string> &begun,
                                           bool canRecord,
                                           const UsualVersion *usual,
                                           int64_t era,
                                           const std::map<std::string, size_t> &versions)
{
    if (begun || canRecord) {
        return begun;
    }
    const bool isServing = isValid(usual, era) && countOf(versions, usual->m_version) > 0;
    return isServing ? std::optional(usual->m_version) : std::nullopt;
}

TakeUp decideTakeUp(std::optional<uint64_t> key,
                    const StreamVersions &records,
                    const UsualVersion *usual,
                    int64_t era,
                    const std::map<std::string, size_t> &versions)
{
    if (key) {
        if (const auto record = records.find(*key); record != records.end()) {
            return takeUpAt(record->second, versions);
        }
    }
    const bool isOnly = records.empty() && versions.size() <= 1;
    if (!isValid(usual, era) || (!key && !isOnly)) {
        return {};
    }
    return takeUpAt(usual->m_version, versions);
}

std::optional<UsualChange> decideUsualVersion(const UsualVersion *usual,
                                              int64_t era,
                                              const std::map<std::string, size_t> &versions,
                                              Duration knownFor,
                                              Duration missingFor,
                                              Duration streamLife)
{
    if (versions.empty()) {
        return std::nullopt;
    }
    if (usual == nullptr) {
        // Without an item no stream has gone unrecorded, unless a restored store has lost the item.
        return knownFor >= UsualFirstTime ? std::optional(UsualChange{mostFrequent(versions), era == 0}) : std::nullopt;
    }
    if (usual->m_era != era || (usual->m_isSettled && missingFor >= UsualMissingTime)) {
        return UsualChange{mostFrequent(versions), false};
    }
    if (!usual->m_isSettled && knownFor >= streamLife) {
        return UsualChange{mostFrequent(versions), true};
    }
    return std::nullopt;
}

void addStreamRecord(StreamRecords &records, uint64_t key, const std::string &version, Duration streamLife, TimePoint now)
{
    records.m_entries[key] = {version, now + streamLife};
}

bool canRecord(const StreamRecords &records, TimePoint now)
{
    const bool isSlow = !records.m_writing.empty() && now - records.m_writeSince > SlowRecordTime;
    return !isSlow && records.m_entries.size() < MaxStreamRecords;
}

bool mayRepeatRecord(const StreamRecords &records, TimePoint now)
{
    return now - records.m_writeSince < RecordTimeLimit;
}

StreamVersions currentRecords(StreamRecords &records, TimePoint now)
{
    std::erase_if(records.m_entries, [now](const auto &entry) { return entry.second.m_expiresAt <= now; });
    StreamVersions current;
    for (const auto &[key, entry] : records.m_entries) {
        current.emplace(key, entry.m_version);
    }
    return current;
}

} // namespace Medlarramp::Serving
