#include <algorithm>
#include <cassert>

#include "store.h"

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] Marked writes
//-----------------------------------------------------------------------------

namespace {

constexpr size_t MarkLength = 36; ///< text of a UUID

} // namespace

std::string encodeMarked(const MarkedValue &value)
{
    return toString(value.m_mark) + '\n' + value.m_payload;
}

std::optional<MarkedValue> decodeMarked(std::string_view value)
{
    if (value.size() <= MarkLength || value[MarkLength] != '\n') {
        return std::nullopt;
    }
    const std::optional<Identifier> mark = parseIdentifier(value.substr(0, MarkLength));
    if (!mark) {
        return std::nullopt;
    }
    return MarkedValue{*mark, std::string(value.substr(MarkLength + 1))};
}

std::string_view toString(WriteResult result)
{
    constexpr std::array<std::string_view, 4> Names = {"applied", "not_applied", "superseded", "unknown"};
    return Names.at(static_cast<size_t>(result));
}

Resolution resolveByMark(const std::optional<KeyValue> &witness, const Identifier &mark)
{
    if (!witness) {
        return Resolution::Absent;
    }
    const std::optional<MarkedValue> value = decodeMarked(witness->m_value);
    return value && value->m_mark == mark ? Resolution::Applied : Resolution::Replaced;
}

namespace {

/** Keys that one of the operations writes. */
bool writes(const std::vector<Operation> &operations, const std::string &key)
{
    return std::any_of(operations.begin(), operations.end(), [&key](const Operation &operation) {
        const bool inRange = !operation.m_end.empty() && key >= operation.m_key && key < operation.m_end;
        return operation.m_key == key || inRange;
    });
}

/** Holds for a transaction that cannot succeed twice. */
bool succeedsAtMostOnce(const Transaction &transaction)
{
    return std::any_of(transaction.m_compares.begin(), transaction.m_compares.end(), [&transaction](const Compare &compare) {
        const bool byRevision = compare.m_target != CompareTarget::Value && compare.m_result == CompareResult::Equal;
        return byRevision && writes(transaction.m_operations, compare.m_key);
    });
}

/** The revision of the witness that the transaction requires; 0: it must not exist; nothing: not compared. */
std::optional<int64_t> requiredRevision(const MarkedWrite &write)
{
    for (const Compare &compare : write.m_transaction.m_compares) {
        const bool byRevision =
            compare.m_target == CompareTarget::ModRevision || (compare.m_target == CompareTarget::CreateRevision && compare.m_number == 0);
        if (compare.m_key == write.m_witness && byRevision && compare.m_result == CompareResult::Equal) {
            return compare.m_number;
        }
    }
    return std::nullopt;
}

/** Sends, waits and reads of one write. */
struct Attempt {
    const WriteContext &m_context;
    const MarkedWrite &m_write;
    TimePoint m_deadline;
    bool m_mayBeApplied = false; ///< a send ended without an answer
    int m_failures = 0;
};

bool waitToRetry(Attempt &attempt)
{
    const WriteContext &context = attempt.m_context;
    const Duration delay = backoffDelay(*context.m_random, attempt.m_failures++);
    const TimePoint at = now(*context.m_clock);
    if (at + delay >= attempt.m_deadline) {
        return false;
    }
    if (context.m_wait) {
        context.m_wait(delay);
        return true;
    }
    StopSignal unused;
    return sleepFor(*context.m_clock, context.m_stop ? *context.m_stop : unused, delay);
}

absl::StatusOr<std::optional<KeyValue>> readWitness(Attempt &attempt, int64_t revision)
{
    RangeRequest request = keyRange(attempt.m_write.m_transaction.m_purpose, attempt.m_write.m_witness);
    request.m_revision = revision;
    while (true) {
        const absl::StatusOr<RangeAnswer> answer = attempt.m_context.m_store->m_range(request);
        if (answer.ok()) {
            return answer->m_entries.empty() ? std::nullopt : std::optional<KeyValue>(answer->m_entries.front());
        }
        if (absl::IsOutOfRange(answer.status()) || absl::IsInvalidArgument(answer.status()) || !waitToRetry(attempt)) {
            return answer.status();
        }
    }
}

/** A compare that failed once fails for ever, so a copy of the transaction still on its way cannot succeed later. */
bool failsForEver(const MarkedWrite &write)
{
    const std::vector<Compare> &compares = write.m_transaction.m_compares;
    return std::all_of(compares.begin(), compares.end(), [&write](const Compare &compare) {
        const bool byRevision = compare.m_target == CompareTarget::ModRevision || compare.m_target == CompareTarget::CreateRevision;
        return byRevision && compare.m_result == CompareResult::Equal && (compare.m_number > 0 || write.m_neverDeleted);
    });
}

/** Reads earlier versions of the witness until one carries the mark or is the one that the write required. */
WriteAnswer searchHistory(Attempt &attempt, const KeyValue &current)
{
    const MarkedWrite &write = attempt.m_write;
    const std::optional<int64_t> required = requiredRevision(write);
    WriteAnswer answer{WriteResult::Superseded, Reason::Conflict, 0, current};
    KeyValue version = current;
    for (int step = 0; required && step < MaxHistorySteps; ++step) {
        const bool first = version.m_version == 1;
        const bool reachedRequired = *required > 0 ? version.m_modRevision <= *required : first && write.m_neverDeleted;
        if (reachedRequired) {
            answer.m_result = failsForEver(write) ? WriteResult::NotApplied : WriteResult::Superseded;
            return answer;
        }
        if (first) {
            return answer;
        }
        const absl::StatusOr<std::optional<KeyValue>> earlier = readWitness(attempt, version.m_modRevision - 1);
        if (!earlier.ok() || !*earlier) {
            return answer;
        }
        version = **earlier;
        if (resolveByMark(version, write.m_mark) == Resolution::Applied) {
            answer.m_revision = version.m_modRevision;
            return answer;
        }
    }
    return answer;
}

/** What a failed compare means. */
WriteAnswer resolveConflict(Attempt &attempt, const TransactionAnswer &failed)
{
    std::optional<KeyValue> witness;
    for (const KeyValue &entry : failed.m_entries) {
        if (entry.m_key == attempt.m_write.m_witness) {
            witness = entry;
        }
    }
    if (!attempt.m_mayBeApplied) {
        return {WriteResult::NotApplied, Reason::Conflict, 0, witness};
    }
    switch (resolveByMark(witness, attempt.m_write.m_mark)) {
    case Resolution::Applied:
        return {WriteResult::Applied, Reason::None, witness->m_modRevision, std::nullopt};
    case Resolution::Replaced:
        return searchHistory(attempt, *witness);
    case Resolution::Absent:
        break;
    }
    // The key was never written, or it was written and deleted; a missing key does not tell which.
    const bool neverWritten = attempt.m_write.m_neverDeleted && failsForEver(attempt.m_write);
    return {neverWritten ? WriteResult::NotApplied : WriteResult::Superseded, Reason::Conflict, 0, std::nullopt};
}

Reason reasonOf(const absl::Status &status)
{
    if (absl::IsResourceExhausted(status)) {
        return Reason::StoreBudgetExhausted;
    }
    return absl::IsInvalidArgument(status) ? Reason::MalformedRequest : Reason::StoreUnavailable;
}

WriteAnswer run(Attempt &attempt, const Transaction &transaction)
{
    while (true) {
        const absl::StatusOr<TransactionAnswer> answer = attempt.m_context.m_store->m_transact(transaction);
        if (answer.ok() && answer->m_succeeded) {
            return {WriteResult::Applied, Reason::None, answer->m_revision, std::nullopt};
        }
        if (answer.ok()) {
            return resolveConflict(attempt, *answer);
        }
        attempt.m_mayBeApplied = attempt.m_mayBeApplied || mayHaveTakenEffect(answer.status());
        const Reason reason = reasonOf(answer.status());
        if (!attempt.m_mayBeApplied && reason == Reason::MalformedRequest) {
            return {WriteResult::NotApplied, reason, 0, std::nullopt};
        }
        if (absl::IsNotFound(answer.status())) {
            // The lease is gone, and with it every key that an earlier send put under it.
            return {attempt.m_mayBeApplied ? WriteResult::Superseded : WriteResult::NotApplied, Reason::NotFound, 0, std::nullopt};
        }
        if (!waitToRetry(attempt)) {
            return {attempt.m_mayBeApplied ? WriteResult::Unknown : WriteResult::NotApplied, reason, 0, std::nullopt};
        }
    }
}

void countResolution(StoreCounters &counters, WriteResult result)
{
    switch (result) {
    case WriteResult::Applied:
        ++counters.m_resolvedApplied;
        break;
    case WriteResult::NotApplied:
        ++counters.m_resolvedNotApplied;
        break;
    case WriteResult::Superseded:
        ++counters.m_resolvedSuperseded;
        break;
    case WriteResult::Unknown:
        ++counters.m_unresolved;
        break;
    }
}

} // namespace

WriteAnswer transact(const WriteContext &context, const MarkedWrite &write)
{
    assert(context.m_store && context.m_clock && context.m_random);
    assert(writes(write.m_transaction.m_operations, write.m_witness));
    assert(succeedsAtMostOnce(write.m_transaction));
    Transaction transaction = write.m_transaction;
    std::vector<std::string> &reads = transaction.m_readOnFailure;
    if (std::find(reads.begin(), reads.end(), write.m_witness) == reads.end()) {
        reads.push_back(write.m_witness);
    }
    Attempt attempt{context, write, now(*context.m_clock) + write.m_limit};
    WriteAnswer answer = run(attempt, transaction);
    if (context.m_counters && attempt.m_mayBeApplied) {
        countResolution(*context.m_counters, answer.m_result);
    }
    if (context.m_counters && answer.m_result == WriteResult::NotApplied) {
        ++context.m_counters->m_refusals.at(static_cast<size_t>(answer.m_reason));
    }
    return answer;
}

WriteAnswer putWithMark(const WriteContext &context,
                        StorePurpose purpose,
                        const std::string &key,
                        const std::string &payload,
                        int64_t expectedRevision,
                        int64_t lease)
{
    MarkedWrite write;
    write.m_mark = makeIdentifier(*context.m_clock);
    write.m_witness = key;
    write.m_transaction.m_purpose = purpose;
    write.m_transaction.m_compares = {revisionEquals(key, expectedRevision)};
    write.m_transaction.m_operations = {putOperation(key, encodeMarked({write.m_mark, payload}), lease)};
    return transact(context, write);
}

} // namespace Medlarramp
