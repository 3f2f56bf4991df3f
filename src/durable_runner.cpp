#include <algorithm>

#include <fmt/format.h>

#include "durable_internal.h"

namespace Medlarramp {

namespace {

constexpr size_t ProgressEntryBytes = 64; ///< more than an entry takes besides its output
constexpr size_t MaxUnwrittenBytes = 4 * MaxDurableValueBytes; ///< no further job is started above it
constexpr int64_t ProgressPageChunks = 16;
constexpr size_t MaxProgressEntries = MaxDurableValueBytes / 8;
constexpr milliseconds MinWriteSpacing{50}; ///< between two writes of one group that a claim key asks for

size_t entryBytes(const ProgressEntry &entry)
{
    return ProgressEntryBytes + entry.m_output.size();
}

std::string chunkKey(const BatchRunner &runner)
{
    return fmt::format("{}{:016d}/{:06d}", progressPrefix(runner.m_group), runner.m_fence, runner.m_nextChunk);
}

std::string ownerBody(const BatchRunner &runner, bool finished)
{
    const nlohmann::json body = {{"node", runner.m_node}, {"finished", finished}};
    return body.dump();
}

bool isValidJob(const BatchRunner &runner, int64_t job)
{
    return runner.m_phase == RunnerPhase::Running && job >= 0 && job < static_cast<int64_t>(runner.m_jobs.size());
}

void endWith(BatchRunner &runner, RunnerPhase phase, RunnerActions &actions)
{
    runner.m_phase = phase;
    runner.m_unwritten.clear();
    runner.m_writing.clear();
    runner.m_keyWaiters.clear();
    actions.m_ended = true;
}

//-----------------------------------------------------------------------------
// Loading
//-----------------------------------------------------------------------------

void loadNext(BatchRunner &runner, const DurableTime &time, Random &random, RunnerActions &actions)
{
    StoreRead read;
    read.m_tag = makeMark(time, random);
    if (runner.m_jobs.empty()) {
        read.m_keys = {groupKey(runner.m_group)};
    } else {
        read.m_prefix = progressPrefix(runner.m_group);
        read.m_from = runner.m_loadFrom;
        read.m_limit = ProgressPageChunks;
    }
    runner.m_loadTag = read.m_tag;
    actions.m_store.m_reads.push_back(std::move(read));
}

void giveBack(BatchRunner &runner, const DurableTime &time, Random &random, RunnerActions &actions)
{
    runner.m_releasing = true;
    StoreWrite write;
    write.m_mark = makeMark(time, random);
    write.m_compares = {{groupOwnerKey(runner.m_group), runner.m_fence}};
    write.m_deletes = {groupOwnerKey(runner.m_group)};
    ++runner.m_writes;
    startWrite(runner.m_write, std::move(write), time, actions.m_store);
}

/** A group that cannot be read stays in the store and stays taken, so that no node tries it again and again. */
void rejectLoad(BatchRunner &runner, const std::string &key, const absl::Status &status, RunnerActions &actions)
{
    actions.m_findings.push_back({key, "", std::string(status.message())});
    endWith(runner, RunnerPhase::Lost, actions);
}

void loadGroup(BatchRunner &runner, const StoreRange &range, const DurableTime &time, Random &random, RunnerActions &actions)
{
    if (range.m_items.empty()) {
        giveBack(runner, time, random, actions);
        return;
    }
    const StoreItem &item = range.m_items.front();
    const absl::StatusOr<std::string> body = bodyOf(item.m_value);
    const absl::StatusOr<std::vector<BatchJob>> jobs = body.ok() ? decodeGroup(*body) : body.status();
    if (!jobs.ok() || jobs->empty()) {
        rejectLoad(runner, item.m_key, jobs.ok() ? absl::InvalidArgumentError("batch group without jobs") : jobs.status(), actions);
        return;
    }
    runner.m_jobs = *jobs;
    runner.m_progress.assign(runner.m_jobs.size(), JobProgress{});
    loadNext(runner, time, random, actions);
}

absl::StatusOr<std::vector<ProgressEntry>> readChunk(const StoreItem &item)
{
    const absl::StatusOr<std::string> body = bodyOf(item.m_value);
    return body.ok() ? decodeProgress(*body) : body.status();
}

/** A claim key of an earlier runner may have been used, so it must not be replaced by a newer one. */
void markLoadedClaimsUsed(BatchRunner &runner)
{
    for (JobProgress &progress : runner.m_progress) {
        for (const auto &[stage, at] : progress.m_claimTimes) {
            progress.m_claimsUsed.insert(stage);
        }
        runner.m_ended += progress.m_result ? 1 : 0;
    }
}

void loadProgress(BatchRunner &runner, const StoreRange &range, const DurableTime &time, Random &random, RunnerActions &actions)
{
    for (const StoreItem &item : range.m_items) {
        const absl::StatusOr<std::vector<ProgressEntry>> entries = readChunk(item);
        if (!entries.ok()) {
            rejectLoad(runner, item.m_key, entries.status(), actions);
            return;
        }
        applyProgress(runner.m_progress, *entries);
        runner.m_loadFrom = item.m_key + '\0';
    }
    if (range.m_more && !range.m_items.empty()) {
        loadNext(runner, time, random, actions);
        return;
    }
    markLoadedClaimsUsed(runner);
    runner.m_phase = RunnerPhase::Running;
    runner.m_lastWrite = time.m_now;
    actions.m_started = true;
}

//-----------------------------------------------------------------------------
// Progress
//-----------------------------------------------------------------------------

void addUnwritten(BatchRunner &runner, ProgressEntry entry, TimePoint now)
{
    if (runner.m_unwritten.empty()) {
        runner.m_oldestUnwritten = now;
    }
    runner.m_unwrittenBytes += entryBytes(entry);
    runner.m_unwrittenResults += entry.m_kind == ProgressEntry::Kind::Result ? 1 : 0;
    runner.m_unwritten.push_back(std::move(entry));
}

bool areAllEnded(const BatchRunner &runner)
{
    return runner.m_ended == runner.m_jobs.size();
}

bool isWriteDue(const BatchRunner &runner, TimePoint now)
{
    if (runner.m_phase != RunnerPhase::Running || isBusy(runner.m_write)) {
        return false;
    }
    if (areAllEnded(runner)) {
        return true;
    }
    if (runner.m_unwritten.empty()) {
        return false;
    }
    if (runner.m_urgentWrite && now >= runner.m_lastWrite + MinWriteSpacing) {
        return true;
    }
    const bool full = runner.m_unwrittenResults >= ProgressJobs || runner.m_unwrittenBytes >= MaxDurableValueBytes / 2;
    return runner.m_releasing || full || now >= runner.m_oldestUnwritten + ProgressDelay;
}

/** A job's own result replaces the outputs of its stages in the same write. */
bool isSuperseded(const BatchRunner &runner, const ProgressEntry &entry)
{
    return entry.m_kind == ProgressEntry::Kind::Stage && runner.m_progress[static_cast<size_t>(entry.m_job)].m_result.has_value();
}

void fillChunk(BatchRunner &runner, TimePoint now)
{
    size_t bytes = 0;
    size_t taken = 0;
    for (; taken < runner.m_unwritten.size(); ++taken) {
        ProgressEntry &entry = runner.m_unwritten[taken];
        if (isSuperseded(runner, entry)) {
            continue;
        }
        bytes += entryBytes(entry);
        if (bytes > MaxDurableValueBytes) {
            break;
        }
        runner.m_writing.push_back(std::move(entry));
    }
    runner.m_unwritten.erase(runner.m_unwritten.begin(), runner.m_unwritten.begin() + static_cast<ptrdiff_t>(taken));
    runner.m_unwrittenBytes = 0;
    runner.m_unwrittenResults = 0;
    for (const ProgressEntry &entry : runner.m_unwritten) {
        runner.m_unwrittenBytes += entryBytes(entry);
        runner.m_unwrittenResults += entry.m_kind == ProgressEntry::Kind::Result ? 1 : 0;
    }
    runner.m_oldestUnwritten = now;
}

/** The owner key loses its lease and stays, so that no node takes the group again. */
void addFinish(BatchRunner &runner, StoreWrite &write)
{
    runner.m_finishing = true;
    const std::string key = groupOwnerKey(runner.m_group);
    write.m_puts.push_back({key, markValue(write.m_mark, ownerBody(runner, true)), false});
    if (write.m_markKey.empty()) {
        write.m_markKey = key;
    }
}

void writeProgress(BatchRunner &runner, const DurableTime &time, Random &random, RunnerActions &actions)
{
    fillChunk(runner, time.m_now);
    StoreWrite write;
    write.m_mark = makeMark(time, random);
    write.m_compares = {{groupOwnerKey(runner.m_group), runner.m_fence}};
    if (!runner.m_writing.empty()) {
        write.m_markKey = chunkKey(runner);
        write.m_compares.push_back({write.m_markKey, 0});
        write.m_puts.push_back({write.m_markKey, markValue(write.m_mark, encodeProgress(runner.m_writing)), false});
    }
    if (areAllEnded(runner) && runner.m_unwritten.empty()) {
        addFinish(runner, write);
    }
    runner.m_urgentWrite = false;
    runner.m_lastWrite = time.m_now;
    ++runner.m_writes;
    startWrite(runner.m_write, std::move(write), time, actions.m_store);
}

void writeIfDue(BatchRunner &runner, const DurableTime &time, Random &random, RunnerActions &actions)
{
    if (isWriteDue(runner, time.m_now)) {
        writeProgress(runner, time, random, actions);
        return;
    }
    const bool empty = runner.m_unwritten.empty() && !isBusy(runner.m_write);
    if (runner.m_releasing && empty && runner.m_phase == RunnerPhase::Running) {
        giveBack(runner, time, random, actions);
    }
}

//-----------------------------------------------------------------------------
// Claim keys
//-----------------------------------------------------------------------------

/** UUID version 7 with the durable time and a hash of the job and stage: equal on every node that runs the stage. */
Identifier claimKey(const BatchRunner &runner, int64_t job, int64_t stage, int64_t at)
{
    constexpr uint64_t Version7 = 0x7000;
    constexpr uint64_t Variant = uint64_t(2) << 62;
    const BatchJob &value = runner.m_jobs[static_cast<size_t>(job)];
    const Digest digest = sha256(fmt::format("{} {} {} {}", toString(value.m_key), toString(runner.m_group), job, stage));
    uint64_t high = 0;
    uint64_t low = 0;
    for (size_t i = 0; i < sizeof(uint64_t); ++i) {
        high = (high << 8) | digest[i];
        low = (low << 8) | digest[i + sizeof(uint64_t)];
    }
    return {(static_cast<uint64_t>(at) << 16) | Version7 | (high & 0xfff), Variant | (low >> 2)};
}

bool isClaimTimeUsable(const JobProgress &progress, int64_t stage, int64_t wall)
{
    const auto found = progress.m_claimTimes.find(stage);
    if (found == progress.m_claimTimes.end()) {
        return false;
    }
    return progress.m_claimsUsed.contains(stage) || wall < found->second + ClaimKeyLifetime.count();
}

void answerKey(BatchRunner &runner, const ClaimKeyRequest &request, RunnerActions &actions)
{
    JobProgress &progress = runner.m_progress[static_cast<size_t>(request.m_job)];
    progress.m_claimsUsed.insert(request.m_stage);
    const int64_t at = progress.m_claimTimes[request.m_stage];
    actions.m_keys.push_back({request.m_job, request.m_stage, claimKey(runner, request.m_job, request.m_stage, at)});
}

bool isWaitingForKey(const BatchRunner &runner, const ClaimKeyRequest &request)
{
    return std::find(runner.m_keyWaiters.begin(), runner.m_keyWaiters.end(), request) != runner.m_keyWaiters.end();
}

bool hasUnwrittenTime(const std::vector<ProgressEntry> &entries, int64_t job, int64_t stage)
{
    return std::any_of(entries.begin(), entries.end(), [&](const ProgressEntry &entry) {
        return entry.m_kind == ProgressEntry::Kind::ClaimTime && entry.m_job == job && entry.m_stage == stage;
    });
}

void addClaimTime(BatchRunner &runner, int64_t job, int64_t stage, const DurableTime &time)
{
    if (hasUnwrittenTime(runner.m_unwritten, job, stage) || hasUnwrittenTime(runner.m_writing, job, stage)) {
        return;
    }
    ProgressEntry entry;
    entry.m_kind = ProgressEntry::Kind::ClaimTime;
    entry.m_job = job;
    entry.m_stage = stage;
    entry.m_claimTime = time.m_wall;
    addUnwritten(runner, std::move(entry), time.m_now);
}

/** Further jobs of the same pipeline will ask soon; their keys share the write. */
void addClaimTimesAhead(BatchRunner &runner, const ClaimKeyRequest &request, const DurableTime &time)
{
    const std::string &pipeline = runner.m_jobs[static_cast<size_t>(request.m_job)].m_pipeline;
    size_t added = 0;
    for (size_t i = 0; i < runner.m_jobs.size() && added < ClaimKeysAhead; ++i) {
        const JobProgress &progress = runner.m_progress[i];
        const bool passed = progress.m_result || static_cast<int64_t>(progress.m_stages.size()) > request.m_stage;
        if (passed || runner.m_jobs[i].m_pipeline != pipeline || isClaimTimeUsable(progress, request.m_stage, time.m_wall)) {
            continue;
        }
        addClaimTime(runner, static_cast<int64_t>(i), request.m_stage, time);
        ++added;
    }
}

void answerWaiters(BatchRunner &runner, const DurableTime &time, RunnerActions &actions)
{
    std::vector<ClaimKeyRequest> left;
    for (const ClaimKeyRequest &request : runner.m_keyWaiters) {
        if (isClaimTimeUsable(runner.m_progress[static_cast<size_t>(request.m_job)], request.m_stage, time.m_wall)) {
            answerKey(runner, request, actions);
        } else {
            addClaimTime(runner, request.m_job, request.m_stage, time);
            runner.m_urgentWrite = true;
            left.push_back(request);
        }
    }
    runner.m_keyWaiters = std::move(left);
}

//-----------------------------------------------------------------------------
// Answers of the store
//-----------------------------------------------------------------------------

void progressStored(BatchRunner &runner, const DurableTime &time, RunnerActions &actions)
{
    if (runner.m_finishing) {
        endWith(runner, RunnerPhase::Finished, actions);
        return;
    }
    if (!runner.m_writing.empty()) {
        ++runner.m_nextChunk;
    }
    for (const ProgressEntry &entry : runner.m_writing) {
        if (entry.m_kind == ProgressEntry::Kind::ClaimTime) {
            runner.m_progress[static_cast<size_t>(entry.m_job)].m_claimTimes[entry.m_stage] = entry.m_claimTime;
        }
    }
    runner.m_writing.clear();
    answerWaiters(runner, time, actions);
}

void writeEnded(BatchRunner &runner, const StoreOutcome &outcome, const DurableTime &time, Random &random, RunnerActions &actions)
{
    if (outcome.m_result == StoreWriteResult::NotApplied) {
        endWith(runner, RunnerPhase::Lost, actions);
        return;
    }
    if (runner.m_phase == RunnerPhase::Taking) {
        runner.m_phase = RunnerPhase::Loading;
        runner.m_fence = outcome.m_revision;
        loadNext(runner, time, random, actions);
        return;
    }
    if (!runner.m_write.m_write.m_deletes.empty()) {
        endWith(runner, RunnerPhase::Released, actions);
        return;
    }
    progressStored(runner, time, actions);
    writeIfDue(runner, time, random, actions);
}

void putEntry(Encoder &encoder, const ProgressEntry &entry)
{
    putByte(encoder, static_cast<uint8_t>(entry.m_kind));
    putNumber(encoder, static_cast<uint64_t>(entry.m_job));
    putNumber(encoder, static_cast<uint64_t>(entry.m_stage));
    putNumber(encoder, static_cast<uint64_t>(entry.m_claimTime));
    putString(encoder, entry.m_output);
    putByte(encoder, static_cast<uint8_t>(entry.m_outcome));
    putByte(encoder, static_cast<uint8_t>(entry.m_reason));
}

ProgressEntry takeEntry(Decoder &decoder)
{
    ProgressEntry entry;
    entry.m_kind = takeEnum(decoder, ProgressEntry::Kind::Result);
    entry.m_job = static_cast<int64_t>(takeNumber<uint64_t>(decoder));
    entry.m_stage = static_cast<int64_t>(takeNumber<uint64_t>(decoder));
    entry.m_claimTime = static_cast<int64_t>(takeNumber<uint64_t>(decoder));
    entry.m_output = takeString(decoder, MaxJobResultBytes);
    entry.m_outcome = takeEnum(decoder, Outcome::Unknown);
    entry.m_reason = takeEnum(decoder, Reason::InternalError);
    return entry;
}

bool isInRange(const ProgressEntry &entry)
{
    const bool job = entry.m_job >= 0 && entry.m_job < static_cast<int64_t>(MaxJobsPerGroup);
    return job && entry.m_stage >= 0 && entry.m_stage < static_cast<int64_t>(MaxStages);
}

void applyStage(JobProgress &progress, const ProgressEntry &entry)
{
    if (static_cast<int64_t>(progress.m_stages.size()) == entry.m_stage) {
        progress.m_stages.push_back(entry.m_output);
    }
}

void applyResult(JobProgress &progress, const ProgressEntry &entry)
{
    if (!progress.m_result) {
        progress.m_result = JobResult{entry.m_outcome, entry.m_reason, entry.m_output};
        progress.m_state = JobState::Finished;
    }
}

/** True for the owner key of a group that @p node took and that is not finished. */
bool isOpenOwner(const StoreItem &owner, std::string_view node)
{
    const absl::StatusOr<std::string> body = bodyOf(owner.m_value);
    Findings findings;
    const std::optional<nlohmann::json> value = body.ok() ? parseJson(*body, owner.m_key, findings) : std::nullopt;
    if (!value) {
        return false;
    }
    ObjectReader reader = readObject(*value, owner.m_key, "", findings);
    std::string name;
    bool finished = false;
    readString(reader, "node", name, true);
    readBool(reader, "finished", finished);
    return findings.empty() && name == node && !finished;
}

} // namespace

std::string encodeProgress(const std::vector<ProgressEntry> &entries)
{
    Encoder encoder;
    encoder.m_archive(static_cast<uint32_t>(entries.size()));
    for (const ProgressEntry &entry : entries) {
        putEntry(encoder, entry);
    }
    return encoder.m_stream.str();
}

absl::StatusOr<std::vector<ProgressEntry>> decodeProgress(const std::string &body)
{
    try {
        Decoder decoder(body);
        beginDecoding(decoder);
        const size_t count = takeNumber<uint32_t>(decoder);
        std::vector<ProgressEntry> entries;
        bool valid = count <= MaxProgressEntries;
        for (size_t i = 0; valid && i < count && !decoder.m_failed; ++i) {
            entries.push_back(takeEntry(decoder));
            valid = isInRange(entries.back());
        }
        if (valid && !decoder.m_failed) {
            return entries;
        }
    } catch (const cereal::Exception &) {
    }
    return absl::InvalidArgumentError(fmt::format("malformed batch progress of {} bytes", body.size()));
}

std::vector<Identifier> groupsToTake(const std::vector<StoreItem> &groups, const std::vector<StoreItem> &owners)
{
    std::set<std::string> owned;
    for (const StoreItem &owner : owners) {
        owned.insert(owner.m_key.substr(std::min(owner.m_key.size(), groupOwnerPrefix().size())));
    }
    std::vector<Identifier> result;
    for (const StoreItem &group : groups) {
        const std::string name = group.m_key.substr(std::min(group.m_key.size(), groupPrefix().size()));
        const std::optional<Identifier> identifier = parseIdentifier(name);
        if (identifier && !owned.contains(name)) {
            result.push_back(*identifier);
        }
    }
    return result;
}

std::vector<StoreWrite> releaseOrphans(const std::vector<StoreItem> &owners,
                                       std::string_view node,
                                       const std::set<Identifier> &running,
                                       const DurableTime &time,
                                       Random &random)
{
    std::vector<StoreWrite> writes;
    for (const StoreItem &owner : owners) {
        const std::string name = owner.m_key.substr(std::min(owner.m_key.size(), groupOwnerPrefix().size()));
        const std::optional<Identifier> group = parseIdentifier(name);
        if (!group || running.contains(*group) || !isOpenOwner(owner, node)) {
            continue;
        }
        StoreWrite write;
        write.m_mark = makeMark(time, random);
        write.m_compares = {{owner.m_key, owner.m_modRevision}};
        write.m_deletes = {owner.m_key};
        writes.push_back(std::move(write));
    }
    return writes;
}

void applyProgress(std::vector<JobProgress> &jobs, const std::vector<ProgressEntry> &entries)
{
    for (const ProgressEntry &entry : entries) {
        if (entry.m_job < 0 || entry.m_job >= static_cast<int64_t>(jobs.size())) {
            continue;
        }
        JobProgress &progress = jobs[static_cast<size_t>(entry.m_job)];
        switch (entry.m_kind) {
        case ProgressEntry::Kind::Stage:
            applyStage(progress, entry);
            break;
        case ProgressEntry::Kind::ClaimTime:
            progress.m_claimTimes[entry.m_stage] = entry.m_claimTime;
            break;
        case ProgressEntry::Kind::Result:
            applyResult(progress, entry);
            break;
        }
    }
}

RunnerActions takeGroup(BatchRunner &runner, const Identifier &group, std::string node, const DurableTime &time, Random &random)
{
    RunnerActions actions;
    runner = BatchRunner{};
    runner.m_group = group;
    runner.m_node = std::move(node);
    StoreWrite write;
    write.m_mark = makeMark(time, random);
    write.m_markKey = groupOwnerKey(group);
    write.m_compares = {{write.m_markKey, 0}};
    write.m_puts = {{write.m_markKey, markValue(write.m_mark, ownerBody(runner, false)), true}};
    ++runner.m_writes;
    startWrite(runner.m_write, std::move(write), time, actions.m_store);
    return actions;
}

std::vector<StartJob> startJobs(BatchRunner &runner, size_t count)
{
    std::vector<StartJob> started;
    if (runner.m_phase != RunnerPhase::Running || runner.m_releasing || runner.m_unwrittenBytes > MaxUnwrittenBytes) {
        return started;
    }
    for (size_t i = 0; i < runner.m_progress.size() && started.size() < count; ++i) {
        JobProgress &progress = runner.m_progress[i];
        if (progress.m_state != JobState::Waiting) {
            continue;
        }
        progress.m_state = JobState::Running;
        started.push_back({static_cast<int64_t>(i), static_cast<int64_t>(progress.m_stages.size())});
    }
    return started;
}

RunnerActions stageFinished(BatchRunner &runner, int64_t job, int64_t stage, std::string output, const DurableTime &time, Random &random)
{
    RunnerActions actions;
    if (!isValidJob(runner, job) || stage < 0 || stage >= static_cast<int64_t>(MaxStages) || output.size() > MaxJobResultBytes) {
        return actions;
    }
    JobProgress &progress = runner.m_progress[static_cast<size_t>(job)];
    // A late or repeated result of a stage is dropped.
    if (progress.m_result || static_cast<int64_t>(progress.m_stages.size()) != stage) {
        return actions;
    }
    progress.m_stages.push_back(output);
    ProgressEntry entry;
    entry.m_kind = ProgressEntry::Kind::Stage;
    entry.m_job = job;
    entry.m_stage = stage;
    entry.m_output = std::move(output);
    addUnwritten(runner, std::move(entry), time.m_now);
    writeIfDue(runner, time, random, actions);
    return actions;
}

RunnerActions jobFinished(BatchRunner &runner, int64_t job, JobResult result, const DurableTime &time, Random &random)
{
    RunnerActions actions;
    if (!isValidJob(runner, job) || runner.m_progress[static_cast<size_t>(job)].m_result) {
        return actions;
    }
    if (result.m_output.size() > MaxJobResultBytes) {
        result = JobResult{Outcome::Unknown, Reason::BodyTooLarge, ""};
    }
    ProgressEntry entry;
    entry.m_kind = ProgressEntry::Kind::Result;
    entry.m_job = job;
    entry.m_output = result.m_output;
    entry.m_outcome = result.m_outcome;
    entry.m_reason = result.m_reason;
    JobProgress &progress = runner.m_progress[static_cast<size_t>(job)];
    progress.m_result = std::move(result);
    progress.m_state = JobState::Finished;
    ++runner.m_ended;
    addUnwritten(runner, std::move(entry), time.m_now);
    writeIfDue(runner, time, random, actions);
    return actions;
}

void jobInterrupted(BatchRunner &runner, int64_t job)
{
    if (isValidJob(runner, job) && runner.m_progress[static_cast<size_t>(job)].m_state == JobState::Running) {
        runner.m_progress[static_cast<size_t>(job)].m_state = JobState::Waiting;
    }
}

RunnerActions requestClaimKey(BatchRunner &runner, int64_t job, int64_t stage, const DurableTime &time, Random &random)
{
    RunnerActions actions;
    if (!isValidJob(runner, job) || stage < 0 || stage >= static_cast<int64_t>(MaxStages)) {
        return actions;
    }
    const ClaimKeyRequest request{job, stage};
    if (isClaimTimeUsable(runner.m_progress[static_cast<size_t>(job)], stage, time.m_wall)) {
        answerKey(runner, request, actions);
        return actions;
    }
    if (!isWaitingForKey(runner, request)) {
        runner.m_keyWaiters.push_back(request);
    }
    addClaimTime(runner, job, stage, time);
    addClaimTimesAhead(runner, request, time);
    runner.m_urgentWrite = true;
    writeIfDue(runner, time, random, actions);
    return actions;
}

RunnerActions storeAnswered(BatchRunner &runner, const StoreOutcome &outcome, const DurableTime &time, Random &random)
{
    RunnerActions actions;
    if (const auto certain = trackOutcome(runner.m_write, outcome, time, random, actions.m_store)) {
        writeEnded(runner, *certain, time, random, actions);
    }
    return actions;
}

RunnerActions rangeAnswered(BatchRunner &runner, const StoreRange &range, const DurableTime &time, Random &random)
{
    RunnerActions actions;
    if (runner.m_phase == RunnerPhase::Loading && range.m_tag == runner.m_loadTag) {
        runner.m_loadTag = Identifier{};
        if (!range.m_answered) {
            runner.m_nextLoad = time.m_now + retryDelay(runner.m_loadTries, random);
            ++runner.m_loadTries;
        } else if (runner.m_jobs.empty()) {
            loadGroup(runner, range, time, random, actions);
        } else {
            loadProgress(runner, range, time, random, actions);
        }
        return actions;
    }
    if (const auto certain = trackRange(runner.m_write, range, time, random, actions.m_store)) {
        writeEnded(runner, *certain, time, random, actions);
    }
    return actions;
}

RunnerActions runnerTimer(BatchRunner &runner, const DurableTime &time, Random &random)
{
    RunnerActions actions;
    trackTimer(runner.m_write, time, random, actions.m_store);
    const bool reloads = runner.m_phase == RunnerPhase::Loading && runner.m_loadTag == Identifier{} && !isBusy(runner.m_write);
    if (reloads && time.m_now >= runner.m_nextLoad) {
        loadNext(runner, time, random, actions);
    }
    writeIfDue(runner, time, random, actions);
    return actions;
}

TimePoint runnerNextTimer(const BatchRunner &runner, TimePoint now)
{
    TimePoint next = now + milliseconds(1'000);
    if (runner.m_write.m_phase == TrackerPhase::Waiting) {
        next = std::min(next, runner.m_write.m_nextTry);
    }
    if (runner.m_phase == RunnerPhase::Loading && runner.m_loadTag == Identifier{}) {
        next = std::min(next, runner.m_nextLoad);
    }
    if (runner.m_urgentWrite) {
        next = std::min<TimePoint>(next, runner.m_lastWrite + MinWriteSpacing);
    }
    return std::max(next, now);
}

RunnerActions releaseGroup(BatchRunner &runner, const DurableTime &time, Random &random)
{
    RunnerActions actions;
    runner.m_releasing = true;
    writeIfDue(runner, time, random, actions);
    return actions;
}

} // namespace Medlarramp
