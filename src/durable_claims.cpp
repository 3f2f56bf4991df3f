#include <algorithm>

#include <fmt/format.h>

#include "durable_internal.h"

namespace Medlarramp {

namespace {

constexpr size_t EntryBytes = 96; ///< more than one entry takes in a segment without its answer
constexpr size_t MaxSegmentsScanned = 512; ///< per flush, when looking for old segments
constexpr milliseconds DeleteSpacing{1'000}; ///< between writes that only delete
constexpr milliseconds MaxRunTime{600'000};

int64_t keyTime(const Identifier &key)
{
    return identifierMilliseconds(key).value_or(0);
}

size_t entryBytes(const ClaimEntry &entry)
{
    return EntryBytes + entry.m_answer.size();
}

std::string segmentKey(const ClaimOwner &owner)
{
    return fmt::format("{}{:016d}/{:010d}", segmentPrefix(owner.m_partition), owner.m_epoch, owner.m_nextSegment);
}

void answer(OwnerActions &actions, const ClaimRequest &request, ClaimStatus status, Reason reason = Reason::None, std::string text = "")
{
    actions.m_answers.push_back({request.m_holder, {request.m_key, request.m_call, status, reason, std::move(text)}});
}

void acknowledge(OwnerActions &actions, const Identifier &key, const Identifier &call)
{
    actions.m_acks.push_back({call, {key, call}});
}

ClaimRecord recordOf(const ClaimEntry &entry, ClaimState state, TimePoint now)
{
    ClaimRecord record;
    record.m_call = entry.m_call;
    record.m_holder = entry.m_holder;
    record.m_bodyHash = entry.m_bodyHash;
    record.m_state = state;
    const int64_t run = std::clamp<int64_t>(entry.m_runMilliseconds, 0, MaxRunTime.count());
    record.m_runLimit = now + milliseconds(run) + RunGrace;
    return record;
}

void enqueue(ClaimOwner &owner, ClaimEntry entry, TimePoint now)
{
    if (owner.m_queue.empty()) {
        owner.m_oldestQueued = now;
    }
    if (entry.m_kind == ClaimEntry::Kind::Claim) {
        ++owner.m_queuedClaims;
    }
    owner.m_queue.push_back(std::move(entry));
}

//-----------------------------------------------------------------------------
// Stepping down
//-----------------------------------------------------------------------------

/** Claims that are not committed were never granted by this node; their calls ask the next owner. */
void answerUncommitted(const ClaimOwner &owner, OwnerActions &actions)
{
    for (const auto &[key, record] : owner.m_table) {
        if (record.m_state == ClaimState::Pending) {
            actions.m_answers.push_back({record.m_holder, {key, record.m_call, ClaimStatus::NotOwner, Reason::None, ""}});
        }
    }
}

void forgetEverything(ClaimOwner &owner)
{
    owner.m_phase = OwnerPhase::Standby;
    owner.m_epoch = 0;
    owner.m_nextSegment = 0;
    owner.m_watermark = 0;
    owner.m_refuseBelow = 0;
    owner.m_watermarkRevision = -1;
    owner.m_highestKeyTime = 0;
    owner.m_table.clear();
    owner.m_answerBytes = 0;
    owner.m_answerOrder.clear();
    owner.m_segments.clear();
    owner.m_queue.clear();
    owner.m_queuedClaims = 0;
    owner.m_flushing.clear();
    owner.m_deleting.clear();
    owner.m_raising = 0;
    owner.m_write = WriteTracker{};
    owner.m_loadTag = Identifier{};
    owner.m_loadFrom.clear();
    owner.m_loadTries = 0;
    owner.m_moreToDelete = false;
}

void stepDown(ClaimOwner &owner, const DurableTime &time, OwnerActions &actions)
{
    answerUncommitted(owner, actions);
    forgetEverything(owner);
    owner.m_nextTake = time.m_now + TakeoverRetry;
    actions.m_steppedDown = true;
}

//-----------------------------------------------------------------------------
// Takeover
//-----------------------------------------------------------------------------

void take(ClaimOwner &owner, const DurableTime &time, Random &random, OwnerActions &actions)
{
    forgetEverything(owner);
    owner.m_phase = OwnerPhase::Taking;
    const nlohmann::json body = {{"node", owner.m_node}, {"address", owner.m_address}};
    StoreWrite write;
    write.m_mark = makeMark(time, random);
    write.m_markKey = ownerKey(owner.m_partition);
    write.m_compares = {{write.m_markKey, 0}};
    write.m_puts = {{write.m_markKey, markValue(write.m_mark, body.dump()), true}};
    ++owner.m_writes;
    startWrite(owner.m_write, std::move(write), time, actions.m_store);
}

void deleteIfOwn(ClaimOwner &owner, const StoreItem &current, const DurableTime &time, Random &random, OwnerActions &actions)
{
    const absl::StatusOr<OwnerRecord> record = parseOwnerRecord(current.m_value);
    if (!record.ok() || record->m_node != owner.m_node) {
        return;
    }
    StoreWrite write;
    write.m_mark = makeMark(time, random);
    write.m_compares = {{ownerKey(owner.m_partition), current.m_modRevision}};
    write.m_deletes = {ownerKey(owner.m_partition)};
    ++owner.m_writes;
    startWrite(owner.m_write, std::move(write), time, actions.m_store);
}

/** Reads the watermark first, then the segments page by page. Nobody else can write them in this epoch. */
void loadNext(ClaimOwner &owner, const DurableTime &time, Random &random, OwnerActions &actions)
{
    StoreRead read;
    read.m_tag = makeMark(time, random);
    if (owner.m_watermarkRevision < 0) {
        read.m_keys = {watermarkKey(owner.m_partition)};
    } else {
        read.m_prefix = segmentPrefix(owner.m_partition);
        read.m_from = owner.m_loadFrom;
        read.m_limit = TakeoverPageSegments;
    }
    owner.m_loadTag = read.m_tag;
    actions.m_store.m_reads.push_back(std::move(read));
}

void retryLoad(ClaimOwner &owner, const DurableTime &time, Random &random)
{
    owner.m_loadTag = Identifier{};
    owner.m_nextLoad = time.m_now + retryDelay(owner.m_loadTries, random);
    ++owner.m_loadTries;
}

/** A watermark or segment that cannot be read may hide claims, so the node does not serve until it is repaired. */
void rejectLoad(ClaimOwner &owner, const std::string &key, const absl::Status &status, const DurableTime &time, OwnerActions &actions)
{
    actions.m_findings.push_back({key, "", std::string(status.message())});
    owner.m_loadTag = Identifier{};
    owner.m_nextLoad = time.m_now + WatermarkSpacing;
}

absl::StatusOr<int64_t> parseWatermark(const StoreItem &item)
{
    const absl::StatusOr<std::string> body = bodyOf(item.m_value);
    if (!body.ok()) {
        return body.status();
    }
    Findings findings;
    const std::optional<nlohmann::json> value = parseJson(*body, item.m_key, findings);
    int64_t watermark = 0;
    if (value) {
        ObjectReader reader = readObject(*value, item.m_key, "", findings);
        readInteger(reader, "watermark_ms", watermark, 0, int64_t(1) << 48, true);
    }
    if (!findings.empty()) {
        return absl::InvalidArgumentError(toString(findings));
    }
    return watermark;
}

void loadWatermark(ClaimOwner &owner, const StoreRange &range, const DurableTime &time, Random &random, OwnerActions &actions)
{
    owner.m_watermarkRevision = 0;
    if (!range.m_items.empty()) {
        const absl::StatusOr<int64_t> watermark = parseWatermark(range.m_items.front());
        if (!watermark.ok()) {
            owner.m_watermarkRevision = -1;
            rejectLoad(owner, range.m_items.front().m_key, watermark.status(), time, actions);
            return;
        }
        owner.m_watermarkRevision = range.m_items.front().m_modRevision;
        owner.m_watermark = *watermark;
        owner.m_refuseBelow = *watermark;
    }
    loadNext(owner, time, random, actions);
}

ClaimState stateAfter(ClaimEntry::Kind kind)
{
    switch (kind) {
    case ClaimEntry::Kind::Claim:
        return ClaimState::InProgress;
    case ClaimEntry::Kind::Released:
        return ClaimState::Released;
    case ClaimEntry::Kind::Result:
        return ClaimState::Done;
    case ClaimEntry::Kind::Ambiguous:
        return ClaimState::Unknown;
    }
    return ClaimState::Unknown;
}

void dropAnswer(ClaimOwner &owner, ClaimRecord &record)
{
    if (record.m_answer) {
        owner.m_answerBytes -= record.m_answer->size();
        record.m_answer.reset();
    }
}

/** Callers repeat a request soon or never, so that the oldest answers are the least needed. */
void makeRoomForAnswer(ClaimOwner &owner, size_t bytes)
{
    while (owner.m_answerBytes + bytes > MaxAnswerBytesInTable && !owner.m_answerOrder.empty()) {
        const auto found = owner.m_table.find(owner.m_answerOrder.front());
        if (found != owner.m_table.end()) {
            dropAnswer(owner, found->second);
        }
        owner.m_answerOrder.pop_front();
    }
}

void keepAnswer(ClaimOwner &owner, const Identifier &key, ClaimRecord &record, bool kept, const std::string &text)
{
    dropAnswer(owner, record);
    if (!kept) {
        return;
    }
    makeRoomForAnswer(owner, text.size());
    record.m_answer = std::make_shared<const std::string>(text);
    owner.m_answerBytes += text.size();
    owner.m_answerOrder.push_back(key);
}

/** Applies a committed line to the table. Lines come in the order of their commits. */
void replay(ClaimOwner &owner, const ClaimEntry &entry, TimePoint now)
{
    if (entry.m_kind == ClaimEntry::Kind::Claim) {
        owner.m_table[entry.m_key] = recordOf(entry, ClaimState::InProgress, now);
        owner.m_highestKeyTime = std::max(owner.m_highestKeyTime, keyTime(entry.m_key));
        return;
    }
    const auto found = owner.m_table.find(entry.m_key);
    if (found == owner.m_table.end() || found->second.m_call != entry.m_call) {
        return;
    }
    ClaimRecord &record = found->second;
    record.m_state = stateAfter(entry.m_kind);
    keepAnswer(owner, entry.m_key, record, entry.m_kept, entry.m_answer);
    record.m_reportDurable = true;
}

int64_t highestKeyTime(const std::vector<ClaimEntry> &entries)
{
    int64_t highest = 0;
    for (const ClaimEntry &entry : entries) {
        highest = std::max(highest, keyTime(entry.m_key));
    }
    return highest;
}

absl::Status loadSegment(ClaimOwner &owner, const StoreItem &item, TimePoint now)
{
    const absl::StatusOr<std::string> body = bodyOf(item.m_value);
    if (!body.ok()) {
        return body.status();
    }
    const absl::StatusOr<std::vector<ClaimEntry>> entries = decodeSegment(*body);
    if (!entries.ok()) {
        return entries.status();
    }
    for (const ClaimEntry &entry : *entries) {
        replay(owner, entry, now);
    }
    owner.m_segments[item.m_key] = highestKeyTime(*entries);
    return absl::OkStatus();
}

void loadSegments(ClaimOwner &owner, const StoreRange &range, const DurableTime &time, Random &random, OwnerActions &actions)
{
    for (const StoreItem &item : range.m_items) {
        const absl::Status status = loadSegment(owner, item, time.m_now);
        if (!status.ok()) {
            rejectLoad(owner, item.m_key, status, time, actions);
            return;
        }
        // The next page begins behind this key.
        owner.m_loadFrom = item.m_key + '\0';
    }
    if (range.m_more && !range.m_items.empty()) {
        loadNext(owner, time, random, actions);
        return;
    }
    owner.m_phase = OwnerPhase::Serving;
    owner.m_nextWatermark = time.m_now + WatermarkSpacing;
    actions.m_startedServing = true;
}

void loadAnswered(ClaimOwner &owner, const StoreRange &range, const DurableTime &time, Random &random, OwnerActions &actions)
{
    if (!range.m_answered) {
        retryLoad(owner, time, random);
        return;
    }
    owner.m_loadTries = 0;
    if (owner.m_watermarkRevision < 0) {
        loadWatermark(owner, range, time, random, actions);
        return;
    }
    loadSegments(owner, range, time, random, actions);
}

//-----------------------------------------------------------------------------
// Group commit
//-----------------------------------------------------------------------------

/**
 * Watermark that may be written now. The highest key time bounds it, so that an owner whose clock is ahead does not
 * expire the keys of callers whose clocks are right.
 */
int64_t watermarkCandidate(const ClaimOwner &owner, const DurableTime &time)
{
    return std::min(time.m_wall, owner.m_highestKeyTime) - ClaimWindow.count();
}

bool isOldSegment(int64_t highest, int64_t watermark)
{
    return highest <= watermark;
}

bool hasOldSegment(const ClaimOwner &owner, int64_t watermark)
{
    size_t scanned = 0;
    for (const auto &[key, highest] : owner.m_segments) {
        if (isOldSegment(highest, watermark)) {
            return true;
        }
        if (++scanned == MaxSegmentsScanned) {
            break;
        }
    }
    return false;
}

bool isWatermarkDue(const ClaimOwner &owner, const DurableTime &time)
{
    if (time.m_now < owner.m_nextWatermark) {
        return false;
    }
    const int64_t candidate = watermarkCandidate(owner, time);
    return candidate > owner.m_watermark && hasOldSegment(owner, candidate);
}

/** The spacing that the claims in the queue allow. */
TimePoint nextFlush(const ClaimOwner &owner)
{
    return owner.m_lastFlush + (owner.m_queuedClaims >= ClaimsPerFlush ? MinFlushSpacing : ClaimFlushSpacing);
}

bool isFlushDue(const ClaimOwner &owner, const DurableTime &time)
{
    if (owner.m_phase != OwnerPhase::Serving || isBusy(owner.m_write) || time.m_now < nextFlush(owner)) {
        return false;
    }
    if (owner.m_queuedClaims > 0) {
        return true;
    }
    if (!owner.m_queue.empty() && (owner.m_leaving || time.m_now >= owner.m_oldestQueued + ResultFlushDelay)) {
        return true;
    }
    const bool deletesDue = owner.m_moreToDelete && time.m_now >= owner.m_lastFlush + DeleteSpacing;
    return deletesDue || isWatermarkDue(owner, time);
}

/** Moves what fits into one value from the queue to the open write. */
void fillSegment(ClaimOwner &owner, const DurableTime &time)
{
    size_t bytes = 0;
    while (!owner.m_queue.empty() && bytes + entryBytes(owner.m_queue.front()) <= MaxDurableValueBytes) {
        ClaimEntry &entry = owner.m_queue.front();
        bytes += entryBytes(entry);
        if (entry.m_kind == ClaimEntry::Kind::Claim) {
            --owner.m_queuedClaims;
        }
        owner.m_flushing.push_back(std::move(entry));
        owner.m_queue.pop_front();
    }
    owner.m_oldestQueued = time.m_now;
}

void addSegment(ClaimOwner &owner, StoreWrite &write)
{
    const std::string key = segmentKey(owner);
    write.m_markKey = key;
    write.m_compares.push_back({key, 0});
    write.m_puts.push_back({key, markValue(write.m_mark, encodeSegment(owner.m_flushing)), false});
}

void addWatermark(ClaimOwner &owner, StoreWrite &write, const DurableTime &time)
{
    owner.m_nextWatermark = time.m_now + WatermarkSpacing;
    owner.m_raising = watermarkCandidate(owner, time);
    owner.m_refuseBelow = std::max(owner.m_refuseBelow, owner.m_raising);
    const std::string key = watermarkKey(owner.m_partition);
    const nlohmann::json body = {{"watermark_ms", owner.m_raising}};
    write.m_compares.push_back({key, owner.m_watermarkRevision});
    write.m_puts.push_back({key, markValue(write.m_mark, body.dump()), false});
    if (write.m_markKey.empty()) {
        write.m_markKey = key;
    }
}

/** Old segments go in the same transaction that raises the watermark, or after it. */
void addDeletes(ClaimOwner &owner, StoreWrite &write)
{
    const int64_t watermark = std::max(owner.m_watermark, owner.m_raising);
    size_t scanned = 0;
    owner.m_moreToDelete = false;
    for (const auto &[key, highest] : owner.m_segments) {
        if (++scanned > MaxSegmentsScanned) {
            break;
        }
        if (!isOldSegment(highest, watermark)) {
            continue;
        }
        if (write.m_deletes.size() == MaxDeletesPerWrite) {
            owner.m_moreToDelete = true;
            break;
        }
        write.m_deletes.push_back(key);
    }
    owner.m_deleting = write.m_deletes;
}

void flush(ClaimOwner &owner, const DurableTime &time, Random &random, OwnerActions &actions)
{
    StoreWrite write;
    write.m_mark = makeMark(time, random);
    write.m_compares = {{ownerKey(owner.m_partition), owner.m_epoch}};
    fillSegment(owner, time);
    if (!owner.m_flushing.empty()) {
        addSegment(owner, write);
    }
    if (isWatermarkDue(owner, time)) {
        addWatermark(owner, write, time);
    }
    addDeletes(owner, write);
    owner.m_lastFlush = time.m_now;
    ++owner.m_writes;
    startWrite(owner.m_write, std::move(write), time, actions.m_store);
}

/** Gives the partition back once nothing is left to write. */
void leaveWhenEmpty(ClaimOwner &owner, const DurableTime &time, Random &random, OwnerActions &actions)
{
    if (!owner.m_leaving || owner.m_phase != OwnerPhase::Serving || isBusy(owner.m_write) || !owner.m_queue.empty()) {
        return;
    }
    StoreWrite write;
    write.m_mark = makeMark(time, random);
    write.m_compares = {{ownerKey(owner.m_partition), owner.m_epoch}};
    write.m_deletes = {ownerKey(owner.m_partition)};
    ++owner.m_writes;
    startWrite(owner.m_write, std::move(write), time, actions.m_store);
}

void flushIfDue(ClaimOwner &owner, const DurableTime &time, Random &random, OwnerActions &actions)
{
    if (isFlushDue(owner, time)) {
        flush(owner, time, random, actions);
    }
    leaveWhenEmpty(owner, time, random, actions);
}

void commitClaim(ClaimOwner &owner, const ClaimEntry &entry, TimePoint now, OwnerActions &actions)
{
    const auto found = owner.m_table.find(entry.m_key);
    if (found == owner.m_table.end() || found->second.m_call != entry.m_call || found->second.m_state != ClaimState::Pending) {
        return;
    }
    found->second = recordOf(entry, ClaimState::InProgress, now);
    ++owner.m_granted;
    actions.m_answers.push_back({entry.m_holder, {entry.m_key, entry.m_call, ClaimStatus::Granted, Reason::None, ""}});
}

void commitReport(ClaimOwner &owner, const ClaimEntry &entry, OwnerActions &actions)
{
    const auto found = owner.m_table.find(entry.m_key);
    if (found != owner.m_table.end() && found->second.m_call == entry.m_call) {
        found->second.m_reportDurable = found->second.m_state == stateAfter(entry.m_kind);
    }
    acknowledge(actions, entry.m_key, entry.m_call);
}

/** Keys at or below the watermark are refused without a look at the table, so their records can go. */
void prune(ClaimOwner &owner)
{
    std::erase_if(owner.m_table, [&](const auto &item) {
        const bool old = item.second.m_state != ClaimState::Pending && keyTime(item.first) <= owner.m_watermark;
        owner.m_answerBytes -= old && item.second.m_answer ? item.second.m_answer->size() : 0;
        return old;
    });
    while (!owner.m_answerOrder.empty() && !owner.m_table.contains(owner.m_answerOrder.front())) {
        owner.m_answerOrder.pop_front();
    }
}

void committed(ClaimOwner &owner, const StoreOutcome &outcome, const DurableTime &time, OwnerActions &actions)
{
    for (const ClaimEntry &entry : owner.m_flushing) {
        if (entry.m_kind == ClaimEntry::Kind::Claim) {
            commitClaim(owner, entry, time.m_now, actions);
        } else {
            commitReport(owner, entry, actions);
        }
    }
    if (!owner.m_flushing.empty()) {
        owner.m_segments[segmentKey(owner)] = highestKeyTime(owner.m_flushing);
        ++owner.m_nextSegment;
        owner.m_flushing.clear();
    }
    for (const std::string &key : owner.m_deleting) {
        owner.m_segments.erase(key);
    }
    owner.m_deleting.clear();
    if (owner.m_raising != 0) {
        owner.m_watermark = owner.m_raising;
        owner.m_watermarkRevision = outcome.m_revision;
        owner.m_raising = 0;
        prune(owner);
    }
}

void writeEnded(ClaimOwner &owner, const StoreOutcome &outcome, const DurableTime &time, Random &random, OwnerActions &actions)
{
    // In the standby phase the only write is the deletion of an owner key that arrived late.
    if (owner.m_phase == OwnerPhase::Standby) {
        return;
    }
    if (outcome.m_result == StoreWriteResult::NotApplied) {
        stepDown(owner, time, actions);
        return;
    }
    if (owner.m_phase == OwnerPhase::Taking) {
        owner.m_phase = OwnerPhase::Loading;
        owner.m_epoch = outcome.m_revision;
        loadNext(owner, time, random, actions);
        return;
    }
    const bool left = !owner.m_write.m_write.m_deletes.empty() && owner.m_write.m_write.m_deletes.front() == ownerKey(owner.m_partition);
    if (left) {
        stepDown(owner, time, actions);
        return;
    }
    committed(owner, outcome, time, actions);
    flushIfDue(owner, time, random, actions);
}

//-----------------------------------------------------------------------------
// Claims
//-----------------------------------------------------------------------------

bool isStoreStuck(const ClaimOwner &owner, TimePoint now)
{
    return isBusy(owner.m_write) && now >= owner.m_write.m_startedAt + ClaimCommitPatience;
}

/** Why a key that the table does not hold cannot be recorded now; None when it can. */
Reason refusal(const ClaimOwner &owner, const ClaimRequest &request, const DurableTime &time)
{
    const std::optional<int64_t> at = identifierMilliseconds(request.m_key);
    if (!at || *at > time.m_wall + MaxKeyAhead.count()) {
        return Reason::MalformedRequest;
    }
    if (isStoreStuck(owner, time.m_now)) {
        return Reason::StoreUnavailable;
    }
    if (owner.m_queue.size() >= MaxPendingClaims || owner.m_table.size() >= MaxClaimsInTable) {
        return Reason::QueueFull;
    }
    return Reason::None;
}

void recordClaim(ClaimOwner &owner, const ClaimRequest &request, const DurableTime &time, OwnerActions &actions)
{
    if (identifierMilliseconds(request.m_key).value_or(owner.m_refuseBelow + 1) <= owner.m_refuseBelow) {
        answer(actions, request, ClaimStatus::Expired, Reason::IdempotencyKeyExpired);
        return;
    }
    const Reason reason = refusal(owner, request, time);
    if (reason != Reason::None) {
        answer(actions, request, ClaimStatus::Refused, reason);
        return;
    }
    ClaimEntry entry;
    entry.m_key = request.m_key;
    entry.m_call = request.m_call;
    entry.m_holder = request.m_holder;
    entry.m_bodyHash = request.m_bodyHash;
    entry.m_runMilliseconds = request.m_runMilliseconds;
    owner.m_table[entry.m_key] = recordOf(entry, ClaimState::Pending, time.m_now);
    owner.m_highestKeyTime = std::max(owner.m_highestKeyTime, keyTime(entry.m_key));
    enqueue(owner, std::move(entry), time.m_now);
}

void answerInProgress(const ClaimRecord &record, const ClaimRequest &request, TimePoint now, OwnerActions &actions)
{
    if (record.m_call == request.m_call) {
        answer(actions, request, ClaimStatus::Granted);
        return;
    }
    const bool over = now >= record.m_runLimit;
    answer(actions, request, over ? ClaimStatus::Unknown : ClaimStatus::InProgress, over ? Reason::ClaimUnknown : Reason::ClaimInProgress);
}

void answerDone(const ClaimRecord &record, const ClaimRequest &request, OwnerActions &actions)
{
    if (record.m_answer) {
        answer(actions, request, ClaimStatus::Done, Reason::None, *record.m_answer);
        return;
    }
    answer(actions, request, ClaimStatus::DoneNotKept, Reason::ClaimAnswerNotKept);
}

void answerKnown(ClaimOwner &owner, ClaimRecord &record, const ClaimRequest &request, const DurableTime &time, OwnerActions &actions)
{
    // A release may have arrived before its claim, so the body of a released key may not be known.
    if (record.m_state != ClaimState::Released && record.m_bodyHash != request.m_bodyHash) {
        answer(actions, request, ClaimStatus::Mismatch, Reason::IdempotencyKeyMismatch);
        return;
    }
    switch (record.m_state) {
    case ClaimState::Pending:
        if (record.m_call != request.m_call) {
            answer(actions, request, ClaimStatus::InProgress, Reason::ClaimInProgress);
        }
        break;
    case ClaimState::InProgress:
        answerInProgress(record, request, time.m_now, actions);
        break;
    case ClaimState::Done:
        answerDone(record, request, actions);
        break;
    case ClaimState::Unknown:
        answer(actions, request, ClaimStatus::Unknown, Reason::ClaimUnknown);
        break;
    case ClaimState::Released:
        if (record.m_call == request.m_call) {
            answer(actions, request, ClaimStatus::Released);
        } else {
            recordClaim(owner, request, time, actions);
        }
        break;
    }
}

/** Claims that wait behind a write without an answer are refused; they are in no write yet, so this is certain. */
void refuseQueued(ClaimOwner &owner, OwnerActions &actions)
{
    std::deque<ClaimEntry> kept;
    for (ClaimEntry &entry : owner.m_queue) {
        if (entry.m_kind != ClaimEntry::Kind::Claim) {
            kept.push_back(std::move(entry));
            continue;
        }
        const auto found = owner.m_table.find(entry.m_key);
        if (found != owner.m_table.end() && found->second.m_call == entry.m_call) {
            found->second.m_state = ClaimState::Released;
        }
        actions.m_answers.push_back({entry.m_holder, {entry.m_key, entry.m_call, ClaimStatus::Refused, Reason::StoreUnavailable, ""}});
    }
    owner.m_queue = std::move(kept);
    owner.m_queuedClaims = 0;
}

//-----------------------------------------------------------------------------
// Reports
//-----------------------------------------------------------------------------

ClaimEntry::Kind entryKind(ClaimReportKind kind)
{
    switch (kind) {
    case ClaimReportKind::Released:
        return ClaimEntry::Kind::Released;
    case ClaimReportKind::Result:
        return ClaimEntry::Kind::Result;
    case ClaimReportKind::Ambiguous:
        return ClaimEntry::Kind::Ambiguous;
    }
    return ClaimEntry::Kind::Ambiguous;
}

bool mayChange(const ClaimRecord &record, ClaimReportKind kind)
{
    switch (record.m_state) {
    case ClaimState::InProgress:
        return true;
    case ClaimState::Pending:
        return kind == ClaimReportKind::Released;
    case ClaimState::Unknown:
        return kind != ClaimReportKind::Ambiguous;
    case ClaimState::Released:
    case ClaimState::Done:
        return false;
    }
    return false;
}

/** A release that overtook its claim: the claim must not be granted when it arrives. */
void rememberEarlyRelease(ClaimOwner &owner, const ClaimReport &report, const DurableTime &time)
{
    const int64_t at = keyTime(report.m_key);
    const bool inWindow = at > owner.m_refuseBelow && at <= time.m_wall + MaxKeyAhead.count();
    if (report.m_kind != ClaimReportKind::Released || !inWindow || owner.m_table.size() >= MaxClaimsInTable) {
        ++owner.m_dropped;
        return;
    }
    ClaimRecord record;
    record.m_call = report.m_call;
    record.m_state = ClaimState::Released;
    record.m_reportDurable = true;
    owner.m_table[report.m_key] = std::move(record);
}

void applyReport(ClaimOwner &owner, ClaimRecord &record, const ClaimReport &report, TimePoint now)
{
    ClaimEntry entry;
    entry.m_kind = entryKind(report.m_kind);
    entry.m_key = report.m_key;
    entry.m_call = report.m_call;
    keepAnswer(owner, report.m_key, record, report.m_kept, report.m_answer);
    entry.m_kept = report.m_kept;
    entry.m_answer = report.m_answer;
    record.m_state = stateAfter(entry.m_kind);
    record.m_reportDurable = false;
    enqueue(owner, std::move(entry), now);
}

} // namespace

//-----------------------------------------------------------------------------
// Public functions
//-----------------------------------------------------------------------------

std::string ownerKey(int partition)
{
    return fmt::format("claim/{}/owner", partition);
}

std::string watermarkKey(int partition)
{
    return fmt::format("claim/{}/watermark", partition);
}

std::string segmentPrefix(int partition)
{
    return fmt::format("claim/{}/segment/", partition);
}

absl::StatusOr<OwnerRecord> parseOwnerRecord(std::string_view value)
{
    const absl::StatusOr<std::string> body = bodyOf(value);
    if (!body.ok()) {
        return body.status();
    }
    Findings findings;
    OwnerRecord record;
    const std::optional<nlohmann::json> json = parseJson(*body, "owner", findings);
    if (json) {
        ObjectReader reader = readObject(*json, "owner", "", findings);
        readString(reader, "node", record.m_node, true);
        readString(reader, "address", record.m_address, true);
    }
    if (!findings.empty()) {
        return absl::InvalidArgumentError(toString(findings));
    }
    return record;
}

ClaimOwner makeClaimOwner(int partition, std::string node, std::string address)
{
    ClaimOwner owner;
    owner.m_partition = partition;
    owner.m_node = std::move(node);
    owner.m_address = std::move(address);
    owner.m_watermarkRevision = -1;
    return owner;
}

OwnerActions
ownerObserved(ClaimOwner &owner, const std::optional<StoreItem> &current, bool preferred, const DurableTime &time, Random &random)
{
    OwnerActions actions;
    const bool holds = owner.m_phase == OwnerPhase::Loading || owner.m_phase == OwnerPhase::Serving;
    if (holds && current && current->m_modRevision > owner.m_epoch) {
        stepDown(owner, time, actions);
        return actions;
    }
    if (owner.m_phase != OwnerPhase::Standby || isBusy(owner.m_write)) {
        return actions;
    }
    if (current) {
        deleteIfOwn(owner, *current, time, random, actions);
    } else if (preferred && !owner.m_leaving && time.m_now >= owner.m_nextTake) {
        take(owner, time, random, actions);
    }
    return actions;
}

OwnerActions receiveClaim(ClaimOwner &owner, const ClaimRequest &request, const DurableTime &time, Random &random)
{
    OwnerActions actions;
    if (owner.m_phase != OwnerPhase::Serving || owner.m_leaving) {
        answer(actions, request, ClaimStatus::NotOwner);
        return actions;
    }
    const auto found = owner.m_table.find(request.m_key);
    if (found == owner.m_table.end()) {
        recordClaim(owner, request, time, actions);
    } else {
        answerKnown(owner, found->second, request, time, actions);
    }
    flushIfDue(owner, time, random, actions);
    return actions;
}

OwnerActions receiveReport(ClaimOwner &owner, const ClaimReport &report, const DurableTime &time, Random &random)
{
    OwnerActions actions;
    if (owner.m_phase != OwnerPhase::Serving || owner.m_queue.size() >= MaxPendingClaims) {
        return actions;
    }
    const auto found = owner.m_table.find(report.m_key);
    if (found == owner.m_table.end()) {
        rememberEarlyRelease(owner, report, time);
        acknowledge(actions, report.m_key, report.m_call);
    } else if (found->second.m_call != report.m_call) {
        ++owner.m_dropped;
        acknowledge(actions, report.m_key, report.m_call);
    } else if (mayChange(found->second, report.m_kind)) {
        applyReport(owner, found->second, report, time.m_now);
    } else if (found->second.m_reportDurable) {
        acknowledge(actions, report.m_key, report.m_call);
    }
    flushIfDue(owner, time, random, actions);
    return actions;
}

OwnerActions holderGone(ClaimOwner &owner, const Identifier &holder, const DurableTime & /*time*/, Random & /*random*/)
{
    for (auto &[key, record] : owner.m_table) {
        if (record.m_holder == holder && record.m_state == ClaimState::InProgress) {
            record.m_state = ClaimState::Unknown;
        }
    }
    return {};
}

std::set<Identifier> holdersInProgress(const ClaimOwner &owner)
{
    std::set<Identifier> holders;
    for (const auto &[key, record] : owner.m_table) {
        if (record.m_state == ClaimState::InProgress) {
            holders.insert(record.m_holder);
        }
    }
    return holders;
}

OwnerActions storeAnswered(ClaimOwner &owner, const StoreOutcome &outcome, const DurableTime &time, Random &random)
{
    OwnerActions actions;
    if (const auto certain = trackOutcome(owner.m_write, outcome, time, random, actions.m_store)) {
        writeEnded(owner, *certain, time, random, actions);
    }
    return actions;
}

OwnerActions rangeAnswered(ClaimOwner &owner, const StoreRange &range, const DurableTime &time, Random &random)
{
    OwnerActions actions;
    if (owner.m_phase == OwnerPhase::Loading && range.m_tag == owner.m_loadTag) {
        loadAnswered(owner, range, time, random, actions);
        return actions;
    }
    if (const auto certain = trackRange(owner.m_write, range, time, random, actions.m_store)) {
        writeEnded(owner, *certain, time, random, actions);
    }
    return actions;
}

OwnerActions ownerTimer(ClaimOwner &owner, const DurableTime &time, Random &random)
{
    OwnerActions actions;
    trackTimer(owner.m_write, time, random, actions.m_store);
    if (owner.m_phase == OwnerPhase::Loading && owner.m_loadTag == Identifier{} && time.m_now >= owner.m_nextLoad) {
        loadNext(owner, time, random, actions);
    }
    if (owner.m_queuedClaims > 0 && isStoreStuck(owner, time.m_now)) {
        refuseQueued(owner, actions);
    }
    flushIfDue(owner, time, random, actions);
    return actions;
}

TimePoint ownerNextTimer(const ClaimOwner &owner, TimePoint now)
{
    TimePoint next = now + milliseconds(1'000);
    if (owner.m_write.m_phase == TrackerPhase::Waiting) {
        next = std::min(next, owner.m_write.m_nextTry);
    }
    if (owner.m_phase == OwnerPhase::Loading && owner.m_loadTag == Identifier{}) {
        next = std::min(next, owner.m_nextLoad);
    }
    if (owner.m_phase == OwnerPhase::Serving && owner.m_queuedClaims > 0) {
        const bool busy = isBusy(owner.m_write);
        next = std::min<TimePoint>(next, busy ? owner.m_write.m_startedAt + ClaimCommitPatience : nextFlush(owner));
    }
    return std::max(next, now);
}

OwnerActions ownerLeave(ClaimOwner &owner, const DurableTime &time, Random &random)
{
    OwnerActions actions;
    owner.m_leaving = true;
    flushIfDue(owner, time, random, actions);
    return actions;
}

} // namespace Medlarramp
