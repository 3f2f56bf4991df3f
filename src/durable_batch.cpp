#include <algorithm>
#include <charconv>

#include <fmt/format.h>

#include "durable_internal.h"

namespace Medlarramp {

namespace {

constexpr size_t JobOverheadBytes = 160; ///< more than the fields of a job take besides its input and names
constexpr size_t MaxBatchInputBytes = 2 * MaxInputBytes; ///< JSON text may escape characters of the input

size_t jobBytes(const BatchJob &job)
{
    return JobOverheadBytes + job.m_organisation.size() + job.m_pipeline.size() + job.m_input.size();
}

void addToUsage(BatchUsage &usage, const BatchJob &job)
{
    ++usage.m_jobs[job.m_organisation];
    usage.m_bytes += jobBytes(job);
}

void removeFromUsage(BatchUsage &usage, const BatchJob &job)
{
    // A refresh may have replaced the counts since the job was added.
    int64_t &jobs = usage.m_jobs[job.m_organisation];
    jobs = std::max<int64_t>(0, jobs - 1);
    usage.m_bytes -= std::min(usage.m_bytes, jobBytes(job));
}

bool isStuck(const BatchAccept &accept, TimePoint now)
{
    return isBusy(accept.m_write) && now >= accept.m_write.m_startedAt + BatchAcceptPatience;
}

Reason refusal(const BatchAccept &accept, const BatchJob &job, int64_t quota, TimePoint now)
{
    if (jobBytes(job) > MaxBatchInputBytes) {
        return Reason::BodyTooLarge;
    }
    const auto used = accept.m_usage.m_jobs.find(job.m_organisation);
    if (used != accept.m_usage.m_jobs.end() && used->second >= quota) {
        return Reason::QuotaExceeded;
    }
    if (accept.m_usage.m_bytes + jobBytes(job) > accept.m_maxBytes) {
        return Reason::BatchStoreFull;
    }
    if (accept.m_waiting.size() >= MaxWaitingJobs) {
        return Reason::QueueFull;
    }
    return isStuck(accept, now) ? Reason::StoreUnavailable : Reason::None;
}

void fillGroup(BatchAccept &accept)
{
    size_t bytes = 0;
    while (!accept.m_waiting.empty() && accept.m_flushing.size() < MaxJobsPerGroup) {
        bytes += jobBytes(accept.m_waiting.front().m_job);
        if (bytes > MaxDurableValueBytes) {
            break;
        }
        accept.m_waitingBytes -= jobBytes(accept.m_waiting.front().m_job);
        accept.m_flushing.push_back(std::move(accept.m_waiting.front()));
        accept.m_waiting.pop_front();
    }
}

void startGroupWrite(BatchAccept &accept, const DurableTime &time, Random &random, AcceptActions &actions)
{
    fillGroup(accept);
    std::vector<BatchJob> jobs;
    for (const WaitingJob &waiting : accept.m_flushing) {
        jobs.push_back(waiting.m_job);
    }
    if (accept.m_sequenceKey.empty()) {
        accept.m_sequenceKey = fmt::format("batch/accept/{}", toString(makeMark(time, random)));
        accept.m_sequenceRevision = 0;
    }
    StoreWrite write;
    write.m_mark = makeMark(time, random);
    accept.m_group = write.m_mark;
    write.m_markKey = groupKey(accept.m_group);
    write.m_compares = {{write.m_markKey, 0}, {accept.m_sequenceKey, accept.m_sequenceRevision}};
    write.m_puts = {{write.m_markKey, markValue(write.m_mark, encodeGroup(jobs)), false},
                    {accept.m_sequenceKey, markValue(write.m_mark, ""), true}};
    accept.m_lastWrite = time.m_now;
    ++accept.m_writes;
    startWrite(accept.m_write, std::move(write), time, actions.m_store);
}

bool isGroupFull(const BatchAccept &accept)
{
    return accept.m_waiting.size() >= MaxJobsPerGroup || accept.m_waitingBytes >= MaxDurableValueBytes;
}

/** An idle entry writes at once, because its last write is long ago. */
TimePoint nextWrite(const BatchAccept &accept)
{
    return accept.m_lastWrite + (isGroupFull(accept) ? FullGroupSpacing : BatchWriteSpacing);
}

bool isWriteDue(const BatchAccept &accept, const DurableTime &time)
{
    return !accept.m_waiting.empty() && !isBusy(accept.m_write) && time.m_now >= nextWrite(accept);
}

void writeIfDue(BatchAccept &accept, const DurableTime &time, Random &random, AcceptActions &actions)
{
    if (isWriteDue(accept, time)) {
        startGroupWrite(accept, time, random, actions);
    }
}

void groupStored(BatchAccept &accept, const StoreOutcome &outcome, AcceptActions &actions)
{
    accept.m_sequenceRevision = outcome.m_revision;
    for (size_t i = 0; i < accept.m_flushing.size(); ++i) {
        actions.m_accepted.push_back({accept.m_flushing[i].m_ticket, {accept.m_group, static_cast<int64_t>(i)}});
    }
    accept.m_flushing.clear();
}

/** Certainly not stored: the sequence key has gone with the lease. The jobs go into another group. */
void groupRejected(BatchAccept &accept)
{
    accept.m_sequenceKey.clear();
    while (!accept.m_flushing.empty()) {
        accept.m_waitingBytes += jobBytes(accept.m_flushing.back().m_job);
        accept.m_waiting.push_front(std::move(accept.m_flushing.back()));
        accept.m_flushing.pop_back();
    }
}

void writeEnded(BatchAccept &accept, const StoreOutcome &outcome, const DurableTime &time, Random &random, AcceptActions &actions)
{
    if (outcome.m_result == StoreWriteResult::Applied) {
        groupStored(accept, outcome, actions);
    } else {
        groupRejected(accept);
    }
    writeIfDue(accept, time, random, actions);
}

/** Jobs behind a write without an answer are in no write yet, so that they are certainly not stored. */
void refuseWaiting(BatchAccept &accept, AcceptActions &actions)
{
    for (const WaitingJob &waiting : accept.m_waiting) {
        actions.m_refused.push_back({waiting.m_ticket, Reason::StoreUnavailable});
        removeFromUsage(accept.m_usage, waiting.m_job);
    }
    accept.m_waiting.clear();
    accept.m_waitingBytes = 0;
}

void putJob(Encoder &encoder, const BatchJob &job)
{
    putIdentifier(encoder, job.m_key);
    putString(encoder, job.m_organisation);
    putString(encoder, job.m_pipeline);
    putString(encoder, job.m_input);
}

BatchJob takeJob(Decoder &decoder)
{
    BatchJob job;
    job.m_key = takeIdentifier(decoder);
    job.m_organisation = takeString(decoder, MaxNameLength);
    job.m_pipeline = takeString(decoder, MaxNameLength);
    job.m_input = takeString(decoder, MaxBatchInputBytes);
    return job;
}

} // namespace

std::string toString(const JobId &id)
{
    return fmt::format("{}.{}", toString(id.m_group), id.m_index);
}

std::optional<JobId> parseJobId(std::string_view text)
{
    const size_t dot = text.find('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const std::optional<Identifier> group = parseIdentifier(text.substr(0, dot));
    const std::string_view digits = text.substr(dot + 1);
    int64_t index = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), index);
    const bool whole = error == std::errc() && end == digits.data() + digits.size() && !digits.empty();
    if (!group || !whole || index < 0 || index >= static_cast<int64_t>(MaxJobsPerGroup)) {
        return std::nullopt;
    }
    return JobId{*group, index};
}

std::string groupPrefix()
{
    return "batch/group/";
}

std::string groupKey(const Identifier &group)
{
    return groupPrefix() + toString(group);
}

std::string groupOwnerPrefix()
{
    return "batch/owner/";
}

std::string groupOwnerKey(const Identifier &group)
{
    return groupOwnerPrefix() + toString(group);
}

std::string progressPrefix(const Identifier &group)
{
    return fmt::format("batch/progress/{}/", toString(group));
}

std::string encodeGroup(const std::vector<BatchJob> &jobs)
{
    Encoder encoder;
    encoder.m_archive(static_cast<uint32_t>(jobs.size()));
    for (const BatchJob &job : jobs) {
        putJob(encoder, job);
    }
    return encoder.m_stream.str();
}

absl::StatusOr<std::vector<BatchJob>> decodeGroup(const std::string &body)
{
    try {
        Decoder decoder(body);
        beginDecoding(decoder);
        const size_t count = takeNumber<uint32_t>(decoder);
        std::vector<BatchJob> jobs;
        for (size_t i = 0; i < std::min(count, MaxJobsPerGroup) && !decoder.m_failed; ++i) {
            jobs.push_back(takeJob(decoder));
        }
        if (!decoder.m_failed && count <= MaxJobsPerGroup) {
            return jobs;
        }
    } catch (const cereal::Exception &) {
    }
    return absl::InvalidArgumentError(fmt::format("malformed batch group of {} bytes", body.size()));
}

uint64_t submitJob(BatchAccept &accept, BatchJob job, int64_t quota, const DurableTime &time, Random &random, AcceptActions &actions)
{
    const uint64_t ticket = accept.m_nextTicket++;
    const Reason reason = refusal(accept, job, quota, time.m_now);
    if (reason != Reason::None) {
        actions.m_refused.push_back({ticket, reason});
        return ticket;
    }
    addToUsage(accept.m_usage, job);
    accept.m_waitingBytes += jobBytes(job);
    accept.m_waiting.push_back({ticket, std::move(job)});
    writeIfDue(accept, time, random, actions);
    return ticket;
}

void refreshUsage(BatchAccept &accept, BatchUsage usage)
{
    for (const WaitingJob &waiting : accept.m_waiting) {
        addToUsage(usage, waiting.m_job);
    }
    for (const WaitingJob &waiting : accept.m_flushing) {
        addToUsage(usage, waiting.m_job);
    }
    accept.m_usage = std::move(usage);
}

AcceptActions storeAnswered(BatchAccept &accept, const StoreOutcome &outcome, const DurableTime &time, Random &random)
{
    AcceptActions actions;
    if (const auto certain = trackOutcome(accept.m_write, outcome, time, random, actions.m_store)) {
        writeEnded(accept, *certain, time, random, actions);
    }
    return actions;
}

AcceptActions rangeAnswered(BatchAccept &accept, const StoreRange &range, const DurableTime &time, Random &random)
{
    AcceptActions actions;
    if (const auto certain = trackRange(accept.m_write, range, time, random, actions.m_store)) {
        writeEnded(accept, *certain, time, random, actions);
    }
    return actions;
}

AcceptActions acceptTimer(BatchAccept &accept, const DurableTime &time, Random &random)
{
    AcceptActions actions;
    trackTimer(accept.m_write, time, random, actions.m_store);
    if (isStuck(accept, time.m_now)) {
        refuseWaiting(accept, actions);
    }
    writeIfDue(accept, time, random, actions);
    return actions;
}

TimePoint acceptNextTimer(const BatchAccept &accept, TimePoint now)
{
    TimePoint next = now + milliseconds(1'000);
    if (accept.m_write.m_phase == TrackerPhase::Waiting) {
        next = std::min(next, accept.m_write.m_nextTry);
    }
    if (!accept.m_waiting.empty()) {
        const bool busy = isBusy(accept.m_write);
        next = std::min<TimePoint>(next, busy ? accept.m_write.m_startedAt + BatchAcceptPatience : nextWrite(accept));
    }
    return std::max(next, now);
}

} // namespace Medlarramp
