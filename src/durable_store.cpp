#include <algorithm>

#include <fmt/format.h>

#include "durable_internal.h"

namespace Medlarramp {

namespace {

constexpr size_t MarkLength = 36; ///< text form of a UUID
constexpr int MaxBackoffDoublings = 6;

int64_t revisionOf(const StoreRange &range, const std::string &key)
{
    const auto found = std::find_if(range.m_items.begin(), range.m_items.end(), [&](const StoreItem &item) { return item.m_key == key; });
    return found == range.m_items.end() ? 0 : found->m_modRevision;
}

/** The compares come first: when one has changed, a mark that is absent afterwards cannot have been written earlier. */
std::vector<std::string> readBackKeys(const StoreWrite &write)
{
    std::vector<std::string> keys;
    for (const KeyCompare &compare : write.m_compares) {
        if (compare.m_key != write.m_markKey) {
            keys.push_back(compare.m_key);
        }
    }
    if (!write.m_markKey.empty()) {
        keys.push_back(write.m_markKey);
    }
    return keys;
}

bool canStillApply(const StoreWrite &write, const StoreRange &range)
{
    return std::all_of(write.m_compares.begin(), write.m_compares.end(), [&](const KeyCompare &compare) {
        return revisionOf(range, compare.m_key) == compare.m_modRevision;
    });
}

/** A write that only deletes leaves no mark: it counts as applied when the keys that it compares and deletes are gone. */
bool areDeletesDone(const StoreWrite &write, const StoreRange &range)
{
    return std::all_of(write.m_compares.begin(), write.m_compares.end(), [&](const KeyCompare &compare) {
        const bool deleted = std::find(write.m_deletes.begin(), write.m_deletes.end(), compare.m_key) != write.m_deletes.end();
        return !deleted || revisionOf(range, compare.m_key) == 0;
    });
}

std::optional<int64_t> revisionOfMark(const StoreWrite &write, const StoreRange &range)
{
    for (const StoreItem &item : range.m_items) {
        if (item.m_key == write.m_markKey && markOf(item.m_value) == write.m_mark) {
            return item.m_modRevision;
        }
    }
    return std::nullopt;
}

void sendReadBack(WriteTracker &tracker, const DurableTime &time, Random &random, StoreActions &actions)
{
    tracker.m_phase = TrackerPhase::ReadBack;
    tracker.m_readTag = makeMark(time, random);
    actions.m_reads.push_back({tracker.m_readTag, readBackKeys(tracker.m_write), "", "", 0, false});
}

void waitForNextTry(WriteTracker &tracker, const DurableTime &time, Random &random)
{
    tracker.m_phase = TrackerPhase::Waiting;
    tracker.m_nextTry = time.m_now + retryDelay(tracker.m_tries, random);
    ++tracker.m_tries;
}

StoreOutcome finish(WriteTracker &tracker, StoreWriteResult result, int64_t revision)
{
    tracker.m_phase = TrackerPhase::Idle;
    tracker.m_uncertain = false;
    return {tracker.m_write.m_mark, result, revision};
}

} // namespace

Duration retryDelay(int tries, Random &random)
{
    const int doublings = std::min(tries, MaxBackoffDoublings);
    const Duration mean = std::min<Duration>(StoreRetryBase * (1 << doublings), StoreRetryLimit);
    return Duration(static_cast<int64_t>(static_cast<double>(mean.count()) * 2 * uniformReal(random)));
}

Identifier makeMark(const DurableTime &time, Random &random)
{
    constexpr uint64_t Version7 = 0x7000;
    constexpr uint64_t Variant = uint64_t(2) << 62;
    Identifier mark;
    mark.m_high = (static_cast<uint64_t>(time.m_wall) << 16) | Version7 | (nextRandom(random) & 0xfff);
    mark.m_low = Variant | (nextRandom(random) >> 2);
    return mark;
}

std::string markValue(const Identifier &mark, std::string_view body)
{
    std::string value = toString(mark);
    value.push_back('\n');
    value.append(body);
    return value;
}

std::optional<Identifier> markOf(std::string_view value)
{
    if (value.size() <= MarkLength || value[MarkLength] != '\n') {
        return std::nullopt;
    }
    return parseIdentifier(value.substr(0, MarkLength));
}

absl::StatusOr<std::string> bodyOf(std::string_view value)
{
    if (!markOf(value)) {
        return absl::InvalidArgumentError("store value has no mark");
    }
    return std::string(value.substr(MarkLength + 1));
}

bool isBusy(const WriteTracker &tracker)
{
    return tracker.m_phase != TrackerPhase::Idle;
}

void startWrite(WriteTracker &tracker, StoreWrite write, const DurableTime &time, StoreActions &actions)
{
    tracker.m_phase = TrackerPhase::Sent;
    tracker.m_write = std::move(write);
    tracker.m_uncertain = false;
    tracker.m_startedAt = time.m_now;
    tracker.m_tries = 0;
    actions.m_writes.push_back(tracker.m_write);
}

std::optional<StoreOutcome>
trackOutcome(WriteTracker &tracker, const StoreOutcome &outcome, const DurableTime &time, Random &random, StoreActions &actions)
{
    if (tracker.m_phase != TrackerPhase::Sent || outcome.m_mark != tracker.m_write.m_mark) {
        return std::nullopt;
    }
    if (outcome.m_result == StoreWriteResult::Applied) {
        return finish(tracker, StoreWriteResult::Applied, outcome.m_revision);
    }
    if (outcome.m_result == StoreWriteResult::NotApplied && !tracker.m_uncertain) {
        return finish(tracker, StoreWriteResult::NotApplied, 0);
    }
    tracker.m_uncertain = true;
    sendReadBack(tracker, time, random, actions);
    return std::nullopt;
}

std::optional<StoreOutcome>
trackRange(WriteTracker &tracker, const StoreRange &range, const DurableTime &time, Random &random, StoreActions & /*actions*/)
{
    if (tracker.m_phase != TrackerPhase::ReadBack || range.m_tag != tracker.m_readTag) {
        return std::nullopt;
    }
    if (!range.m_answered) {
        waitForNextTry(tracker, time, random);
        return std::nullopt;
    }
    if (const std::optional<int64_t> revision = revisionOfMark(tracker.m_write, range)) {
        return finish(tracker, StoreWriteResult::Applied, *revision);
    }
    if (canStillApply(tracker.m_write, range)) {
        waitForNextTry(tracker, time, random);
        return std::nullopt;
    }
    const bool deleted = tracker.m_write.m_markKey.empty() && areDeletesDone(tracker.m_write, range);
    return finish(tracker, deleted ? StoreWriteResult::Applied : StoreWriteResult::NotApplied, 0);
}

void trackTimer(WriteTracker &tracker, const DurableTime &time, Random & /*random*/, StoreActions &actions)
{
    if (tracker.m_phase == TrackerPhase::Waiting && time.m_now >= tracker.m_nextTry) {
        tracker.m_phase = TrackerPhase::Sent;
        actions.m_writes.push_back(tracker.m_write);
    }
}

void runStoreActions(const StoreActions &actions,
                     const StoreCalls &calls,
                     const std::function<void(const StoreOutcome &)> &written,
                     const std::function<void(const StoreRange &)> &read)
{
    for (const StoreWrite &write : actions.m_writes) {
        StoreOutcome outcome = calls.m_transact(write);
        outcome.m_mark = write.m_mark;
        written(outcome);
    }
    for (const StoreRead &request : actions.m_reads) {
        StoreRange range = calls.m_range(request);
        range.m_tag = request.m_tag;
        read(range);
    }
}

} // namespace Medlarramp
