#pragma once

/**
 * medlarramp durable: leases, claims of non-idempotent requests, durable batch and engine orders.
 *
 * Index of sections:
 *  [SECTION] Store actions   transactions and reads that the state machines ask for
 *  [SECTION] Leases          when to renew and when to consider oneself not the holder
 *  [SECTION] Claim messages  what holders and owners of a partition send each other
 *  [SECTION] Claim owner     table of one partition, group commit, takeover
 *  [SECTION] Claim holder    one call of a non-idempotent stage
 *  [SECTION] Batch accept    jobs collected into groups
 *  [SECTION] Batch runner    one group taken under a lease
 *  [SECTION] Batch results   lookup, fetch and deletion
 *  [SECTION] Engine orders   desired state and reconciliation
 *  [SECTION] Shell           carries out store actions through callbacks
 *
 * Every state machine is a plain struct changed by free functions. A function takes an event, the time and a seeded
 * generator, and returns actions. Safety rests on compared revisions alone, never on time.
 */

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <absl/status/statusor.h>

#include "core.h"
#include "model.h"

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] Store actions
//-----------------------------------------------------------------------------

constexpr size_t MaxDurableValueBytes = 900'000; ///< the store accepts 1 MB; the rest is left for its encoding
constexpr size_t MaxDeletesPerWrite = 64; ///< the store limits operations per transaction to 128
constexpr milliseconds StoreRetryBase{50}; ///< mean delay before the first repeat; doubles with each repeat
constexpr milliseconds StoreRetryLimit{2'000};

/** Time of one node. Wall time differs between nodes; no safety rests on either. */
struct DurableTime {
    TimePoint m_now;
    int64_t m_wall = 0; ///< milliseconds since the Unix epoch
};

struct KeyCompare {
    std::string m_key;
    int64_t m_modRevision = 0; ///< 0: the key is absent

    bool operator==(const KeyCompare &) const = default;
};

struct KeyPut {
    std::string m_key;
    std::string m_value;
    bool m_leased = false; ///< attached to this node's lease

    bool operator==(const KeyPut &) const = default;
};

/**
 * One transaction: all compares hold, or nothing is written. Its own effect invalidates its compares, so sending
 * it again, or a copy that arrives late, changes nothing.
 */
struct StoreWrite {
    Identifier m_mark; ///< unique; every value put starts with it
    std::string m_markKey; ///< key whose value carries the mark; empty when nothing is put
    std::vector<KeyCompare> m_compares;
    std::vector<KeyPut> m_puts;
    std::vector<std::string> m_deletes;

    bool operator==(const StoreWrite &) const = default;
};

enum class StoreWriteResult : uint8_t {
    Applied,
    NotApplied, ///< a compare failed
    Unknown, ///< no answer: it may apply, even later
};

struct StoreOutcome {
    Identifier m_mark;
    StoreWriteResult m_result = StoreWriteResult::Unknown;
    int64_t m_revision = 0; ///< store revision of the write, when applied

    bool operator==(const StoreOutcome &) const = default;
};

/** Reads keys one after another in the given order, or one page of a prefix. */
struct StoreRead {
    Identifier m_tag; ///< returned with the answer
    std::vector<std::string> m_keys; ///< exact keys; the order matters to the reader
    std::string m_prefix; ///< used when m_keys is empty
    std::string m_from; ///< first key of the page; empty: the start of the prefix
    int64_t m_limit = 0; ///< most keys of the page
    bool m_keysOnly = false; ///< leave the values out

    bool operator==(const StoreRead &) const = default;
};

struct StoreItem {
    std::string m_key;
    std::string m_value;
    int64_t m_modRevision = 0;

    bool operator==(const StoreItem &) const = default;
};

struct StoreRange {
    Identifier m_tag;
    bool m_answered = false; ///< false: the read failed
    bool m_more = false; ///< keys are left behind this page
    std::vector<StoreItem> m_items;

    bool operator==(const StoreRange &) const = default;
};

struct StoreActions {
    std::vector<StoreWrite> m_writes;
    std::vector<StoreRead> m_reads;

    bool operator==(const StoreActions &) const = default;
};

/** A new UUID version 7 from the given time and generator. */
Identifier makeMark(const DurableTime &time, Random &random);
/** Value with its mark in front. */
std::string markValue(const Identifier &mark, std::string_view body);
/** Mark of a value; nothing when malformed. */
std::optional<Identifier> markOf(std::string_view value);
/** Value without its mark. */
absl::StatusOr<std::string> bodyOf(std::string_view value);

enum class TrackerPhase : uint8_t { Idle, Sent, ReadBack, Waiting };

/**
 * One write until its result is certain. After a lost answer the mark is read back; when it is absent and the
 * compares can still hold, the same write is sent again, because the first copy may arrive late.
 */
struct WriteTracker {
    TrackerPhase m_phase = TrackerPhase::Idle;
    StoreWrite m_write;
    bool m_uncertain = false; ///< an earlier copy may have been applied
    Identifier m_readTag;
    TimePoint m_startedAt;
    TimePoint m_nextTry;
    int m_tries = 0;
};

bool isBusy(const WriteTracker &tracker);
void startWrite(WriteTracker &tracker, StoreWrite write, const DurableTime &time, StoreActions &actions);
/** @return the certain result, or nothing while it is open. Ignores outcomes of other writes. */
std::optional<StoreOutcome>
trackOutcome(WriteTracker &tracker, const StoreOutcome &outcome, const DurableTime &time, Random &random, StoreActions &actions);
/** Takes the answer of a read-back. Ignores other reads. */
std::optional<StoreOutcome>
trackRange(WriteTracker &tracker, const StoreRange &range, const DurableTime &time, Random &random, StoreActions &actions);
/** Sends again what is due. */
void trackTimer(WriteTracker &tracker, const DurableTime &time, Random &random, StoreActions &actions);

//-----------------------------------------------------------------------------
// [SECTION] Leases
//-----------------------------------------------------------------------------

/** Lease of this node with the store. Used to save work, not to protect state. */
struct LeaseState {
    int64_t m_id = 0; ///< 0: none
    Duration m_timeToLive = seconds(5);
    TimePoint m_confirmedAt; ///< when the last confirmed grant or renewal was sent
    TimePoint m_sentAt;
    TimePoint m_nextSend;
    bool m_waiting = false;
};

enum class LeaseAction : uint8_t { None, Grant, KeepAlive };

constexpr Duration LeaseMargin = milliseconds(500); ///< given up this long before the store can expire it
constexpr Duration LeaseAnswerLimit = milliseconds(1'000);

/** What to send now. Renews after a third of the time to live, so that two renewals may be lost. */
LeaseAction leaseTimer(LeaseState &lease, TimePoint now, Random &random);
/** Answer to a grant or renewal. @p id is 0 when the store no longer knows the lease. */
void leaseAnswered(LeaseState &lease, bool answered, int64_t id, TimePoint now);
/** False when the store may have expired the lease; measured from the sending of the last confirmed renewal. */
bool isLeaseHeld(const LeaseState &lease, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Claim messages
//-----------------------------------------------------------------------------

constexpr size_t MaxKeptAnswerBytes = 2'048;
constexpr int MaxClaimPartitions = 64;

/** Asks the owner of a partition for the right to run. */
struct ClaimRequest {
    Identifier m_key; ///< idempotency key, UUID version 7
    Identifier m_call; ///< one call of one entry; repeats of the message carry the same one
    Identifier m_holder; ///< entry process: node and boot
    uint64_t m_bodyHash = 0; ///< includes the organisation, so that equal keys of two organisations differ
    int64_t m_runMilliseconds = 0; ///< longest time that the holder runs the stage after the grant

    bool operator==(const ClaimRequest &) const = default;
};

enum class ClaimStatus : uint8_t {
    Granted, ///< this call may run the stage
    InProgress, ///< another call holds the key; ask again
    Done, ///< ran to its end; the answer is attached
    DoneNotKept, ///< ran to its end; the answer was too large to keep
    Unknown, ///< the holder is gone or its time is over
    Expired, ///< the key is older than the window
    Mismatch, ///< the key was used with another body
    Released, ///< this call has released the key
    Refused, ///< not recorded; m_reason says why
    NotOwner, ///< not recorded; look up the owner and ask again
};

struct ClaimAnswer {
    Identifier m_key;
    Identifier m_call;
    ClaimStatus m_status = ClaimStatus::NotOwner;
    Reason m_reason = Reason::None;
    std::string m_answer; ///< Done only

    bool operator==(const ClaimAnswer &) const = default;
};

enum class ClaimReportKind : uint8_t {
    Released, ///< certain: the call has not run the stage and never will
    Result, ///< the stage ran to its end
    Ambiguous, ///< the stage may have run; the holder has given up
};

/** What became of a claim. Sent until it is acknowledged. */
struct ClaimReport {
    Identifier m_key;
    Identifier m_call;
    ClaimReportKind m_kind = ClaimReportKind::Result;
    bool m_kept = false; ///< false: the answer is longer than MaxKeptAnswerBytes
    std::string m_answer;

    bool operator==(const ClaimReport &) const = default;
};

struct ClaimReportAck {
    Identifier m_key;
    Identifier m_call;

    bool operator==(const ClaimReportAck &) const = default;
};

int partitionOf(const Identifier &key, int partitions);
/** Node that should own a partition: highest rendezvous score among @p nodes. Empty when there is none. */
std::string preferredOwner(int partition, const std::vector<std::string> &nodes);

std::string encode(const ClaimRequest &message);
std::string encode(const ClaimAnswer &message);
std::string encode(const ClaimReport &message);
std::string encode(const ClaimReportAck &message);
absl::StatusOr<ClaimRequest> decodeClaimRequest(const std::string &bytes);
absl::StatusOr<ClaimAnswer> decodeClaimAnswer(const std::string &bytes);
absl::StatusOr<ClaimReport> decodeClaimReport(const std::string &bytes);
absl::StatusOr<ClaimReportAck> decodeClaimReportAck(const std::string &bytes);

//-----------------------------------------------------------------------------
// [SECTION] Claim owner
//-----------------------------------------------------------------------------

constexpr milliseconds ClaimWindow{15 * 60 * 1'000};
constexpr milliseconds MaxKeyAhead{15 * 60 * 1'000}; ///< bounds how long a key with a wrong time stays in the table
constexpr milliseconds ClaimFlushSpacing{35}; ///< between the starts of two flushes with few claims
constexpr size_t ClaimsPerFlush = 12; ///< a flush with at least as many need not wait: at most 0.083 writes a claim
constexpr milliseconds MinFlushSpacing{10}; ///< between the starts of any two flushes
constexpr milliseconds ResultFlushDelay{1'000}; ///< a result alone waits this long for a flush to share
constexpr milliseconds WatermarkSpacing{30'000}; ///< how often the watermark is raised
constexpr milliseconds ClaimCommitPatience{1'000}; ///< an open flush older than this refuses new claims
constexpr milliseconds TakeoverRetry{500}; ///< between two attempts to take a partition
constexpr size_t MaxPendingClaims = 20'000; ///< entries waiting for a flush
constexpr size_t MaxClaimsInTable = 800'000; ///< about 90 MB without answers
constexpr size_t MaxAnswerBytesInTable = 24'000'000; ///< the oldest answers are given up for newer ones
constexpr int64_t TakeoverPageSegments = 256;
constexpr milliseconds RunGrace{2'000}; ///< added to a holder's own limit before a claim counts as unknown

/** Line of a segment. */
struct ClaimEntry {
    enum class Kind : uint8_t { Claim, Released, Result, Ambiguous };
    Kind m_kind = Kind::Claim;
    Identifier m_key;
    Identifier m_call;
    Identifier m_holder; ///< Claim only
    uint64_t m_bodyHash = 0; ///< Claim only
    int64_t m_runMilliseconds = 0; ///< Claim only
    bool m_kept = false; ///< Result only
    std::string m_answer; ///< Result only

    bool operator==(const ClaimEntry &) const = default;
};

std::string encodeSegment(const std::vector<ClaimEntry> &entries);
absl::StatusOr<std::vector<ClaimEntry>> decodeSegment(const std::string &body);

enum class ClaimState : uint8_t { Pending, InProgress, Released, Done, Unknown };

/** The members are ordered for size: a busy partition holds several hundred thousand records. */
struct ClaimRecord {
    Identifier m_call;
    Identifier m_holder;
    uint64_t m_bodyHash = 0;
    TimePoint m_runLimit; ///< after it a claim in progress is answered as unknown
    std::shared_ptr<const std::string> m_answer; ///< null: not kept
    ClaimState m_state = ClaimState::Pending;
    bool m_reportDurable = false; ///< the report that led to this state is committed
};

enum class OwnerPhase : uint8_t {
    Standby, ///< not the owner
    Taking, ///< the owner key is being written
    Loading, ///< segments are being read
    Serving,
};

/** One partition on one node. */
struct ClaimOwner {
    int m_partition = 0;
    std::string m_node; ///< unique for this process (name and boot), written to the owner key
    std::string m_address; ///< peer address, written to the owner key
    OwnerPhase m_phase = OwnerPhase::Standby;
    int64_t m_epoch = 0; ///< revision of the owner key
    int64_t m_nextSegment = 0;
    int64_t m_watermark = 0; ///< committed; keys at or below are never granted
    int64_t m_refuseBelow = 0; ///< at least m_watermark; raised before the write that raises the watermark
    int64_t m_watermarkRevision = 0; ///< of the watermark key; 0: absent
    int64_t m_highestKeyTime = 0;
    std::unordered_map<Identifier, ClaimRecord, size_t (*)(const Identifier &)> m_table{
        0,
        [](const Identifier &key) { return static_cast<size_t>(combineHash(key.m_high, key.m_low)); }};
    size_t m_answerBytes = 0; ///< of the answers in m_table
    std::deque<Identifier> m_answerOrder; ///< keys whose answer was kept, the oldest first
    std::map<std::string, int64_t> m_segments; ///< key of a committed segment -> highest key time in it
    std::deque<ClaimEntry> m_queue; ///< not yet in a write
    size_t m_queuedClaims = 0; ///< claims among m_queue
    std::vector<ClaimEntry> m_flushing; ///< in the open write
    std::vector<std::string> m_deleting;
    int64_t m_raising = 0; ///< watermark in the open write; 0: none
    WriteTracker m_write;
    TimePoint m_lastFlush;
    TimePoint m_oldestQueued;
    TimePoint m_nextWatermark;
    TimePoint m_nextTake;
    Identifier m_loadTag;
    std::string m_loadFrom;
    TimePoint m_nextLoad;
    int m_loadTries = 0;
    bool m_leaving = false;
    bool m_moreToDelete = false; ///< old segments are left for another write
    uint64_t m_writes = 0; ///< transactions started
    uint64_t m_granted = 0;
    uint64_t m_dropped = 0; ///< reports about claims that the table does not hold
};

struct AddressedClaimAnswer {
    Identifier m_holder;
    ClaimAnswer m_answer;

    bool operator==(const AddressedClaimAnswer &) const = default;
};

struct AddressedReportAck {
    Identifier m_call; ///< the call that reported
    ClaimReportAck m_ack;

    bool operator==(const AddressedReportAck &) const = default;
};

struct OwnerActions {
    StoreActions m_store;
    std::vector<AddressedClaimAnswer> m_answers;
    std::vector<AddressedReportAck> m_acks;
    bool m_steppedDown = false;
    bool m_startedServing = false;
    Findings m_findings; ///< malformed segments met by a takeover
};

/** Value of the owner key, for the entries that look up the owner. */
struct OwnerRecord {
    std::string m_node;
    std::string m_address;

    bool operator==(const OwnerRecord &) const = default;
};

std::string ownerKey(int partition);
std::string watermarkKey(int partition);
std::string segmentPrefix(int partition);
absl::StatusOr<OwnerRecord> parseOwnerRecord(std::string_view value);

ClaimOwner makeClaimOwner(int partition, std::string node, std::string address);
/**
 * What the owner key holds; nothing when it is absent. With @p preferred this node takes an absent key. A newer
 * revision than the own epoch makes an owner step down. A key that names this process although it is not the owner
 * comes from a copy of its write that arrived late; it is deleted, because nobody else would take the partition.
 */
OwnerActions
ownerObserved(ClaimOwner &owner, const std::optional<StoreItem> &current, bool preferred, const DurableTime &time, Random &random);
OwnerActions receiveClaim(ClaimOwner &owner, const ClaimRequest &request, const DurableTime &time, Random &random);
OwnerActions receiveReport(ClaimOwner &owner, const ClaimReport &report, const DurableTime &time, Random &random);
/** The process is gone for good; its claims without a result become unknown. */
OwnerActions holderGone(ClaimOwner &owner, const Identifier &holder, const DurableTime &time, Random &random);
OwnerActions storeAnswered(ClaimOwner &owner, const StoreOutcome &outcome, const DurableTime &time, Random &random);
OwnerActions rangeAnswered(ClaimOwner &owner, const StoreRange &range, const DurableTime &time, Random &random);
/** Processes that hold a claim without a result, so that those that left before a takeover can be told to holderGone(). */
std::set<Identifier> holdersInProgress(const ClaimOwner &owner);
/** Call at ownerNextTimer() or more often. */
OwnerActions ownerTimer(ClaimOwner &owner, const DurableTime &time, Random &random);
TimePoint ownerNextTimer(const ClaimOwner &owner, TimePoint now);
/** Finishes the queue, then deletes the owner key, so that the next owner need not wait for the lease. */
OwnerActions ownerLeave(ClaimOwner &owner, const DurableTime &time, Random &random);

//-----------------------------------------------------------------------------
// [SECTION] Claim holder
//-----------------------------------------------------------------------------

constexpr milliseconds AskAgainAfter{150}; ///< an unanswered claim is sent again
constexpr milliseconds AskInProgressAfter{100}; ///< a claim held by another call is asked for again
constexpr milliseconds ReportAgainAfter{200};
constexpr milliseconds ReportLimit{60'000}; ///< a report without an acknowledgement is given up

enum class HolderPhase : uint8_t {
    Asking,
    Running,
    Ended, ///< the caller has its answer; a report may be open
};

/** One call of a non-idempotent stage on the entry that serves it. Keep it until isHolderClosed(). */
struct ClaimHolder {
    ClaimRequest m_request;
    HolderPhase m_phase = HolderPhase::Asking;
    TimePoint m_deadline; ///< no run starts after it
    TimePoint m_nextAsk;
    bool m_heldElsewhere = false; ///< the owner has said that another call holds the key
    bool m_ran = false;
    std::optional<ClaimReport> m_report; ///< until acknowledged
    TimePoint m_nextReport;
    TimePoint m_reportUntil;
    TimePoint m_keepUntil; ///< a late grant is answered with a release until then
};

/** What the caller is told. */
struct ClaimVerdict {
    Outcome m_outcome = Outcome::Unknown;
    Reason m_reason = Reason::None;
    std::string m_answer; ///< Answered by an earlier call only

    bool operator==(const ClaimVerdict &) const = default;
};

/** Messages go to the current owner of the key's partition. */
struct HolderActions {
    std::optional<ClaimRequest> m_ask;
    std::optional<ClaimReport> m_report;
    bool m_run = false; ///< start the stage now; set at most once
    bool m_lookUpOwner = false; ///< the owner known so far is not the owner
    std::optional<ClaimVerdict> m_verdict; ///< set at most once
};

HolderActions startClaim(ClaimHolder &holder, const ClaimRequest &request, TimePoint deadline, TimePoint now);
HolderActions claimAnswered(ClaimHolder &holder, const ClaimAnswer &answer, TimePoint now);
/**
 * The stage has ended. @p outcome is NotRun only when certain (classifyAttempt). The caller's verdict follows from
 * the entry's own result; the actions hold the report.
 */
HolderActions runEnded(ClaimHolder &holder, Outcome outcome, std::string_view answer, TimePoint now);
void reportAcknowledged(ClaimHolder &holder, const ClaimReportAck &ack);
HolderActions holderTimer(ClaimHolder &holder, TimePoint now);
TimePoint holderNextTimer(const ClaimHolder &holder);
bool isHolderClosed(const ClaimHolder &holder, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Batch accept
//-----------------------------------------------------------------------------

constexpr size_t MaxJobsPerGroup = 200;
/**
 * Between two group writes of one entry while groups are not full. A group costs at least 4 writes until it is
 * deleted, whatever its size, so that small groups would use up the store's rate.
 */
constexpr milliseconds BatchWriteSpacing{1'000};
constexpr milliseconds FullGroupSpacing{50}; ///< between two writes of full groups of one entry
constexpr size_t MaxWaitingJobs = 20'000; ///< of one entry, not yet durable
constexpr size_t MaxBatchStoreBytes = 2'000'000'000; ///< groups and results of all entries
constexpr size_t MaxJobResultBytes = 256 * 1024;
constexpr milliseconds BatchAcceptPatience{5'000}; ///< an open group write older than this refuses new jobs

/** One batch job. */
struct BatchJob {
    Identifier m_key; ///< the caller's idempotency key, or a new identifier
    std::string m_organisation;
    std::string m_pipeline;
    std::string m_input; ///< JSON text

    bool operator==(const BatchJob &) const = default;
};

/** Name of a durable job: "<group>.<index>". */
struct JobId {
    Identifier m_group;
    int64_t m_index = 0;

    auto operator<=>(const JobId &) const = default; // NOLINT(modernize-use-nullptr): false positive of clang-tidy 14
};

std::string toString(const JobId &id);
std::optional<JobId> parseJobId(std::string_view text);

/** Stored jobs and bytes, from a regular read of the store, plus this entry's own since then. */
struct BatchUsage {
    std::map<std::string, int64_t> m_jobs; ///< by organisation
    size_t m_bytes = 0;

    bool operator==(const BatchUsage &) const = default;
};

struct WaitingJob {
    uint64_t m_ticket = 0;
    BatchJob m_job;
};

struct BatchAccept {
    BatchUsage m_usage;
    size_t m_maxBytes = MaxBatchStoreBytes;
    std::deque<WaitingJob> m_waiting;
    size_t m_waitingBytes = 0;
    std::vector<WaitingJob> m_flushing;
    Identifier m_group; ///< of the open write
    WriteTracker m_write;
    /**
     * Every group write also replaces this leased key, so that a copy that arrives after the group was deleted fails
     * and cannot store the jobs again.
     */
    std::string m_sequenceKey;
    int64_t m_sequenceRevision = 0;
    TimePoint m_lastWrite;
    uint64_t m_nextTicket = 1;
    uint64_t m_writes = 0;
};

struct JobAccepted {
    uint64_t m_ticket = 0;
    JobId m_id;

    bool operator==(const JobAccepted &) const = default;
};

struct JobRefused {
    uint64_t m_ticket = 0;
    Reason m_reason = Reason::None;

    bool operator==(const JobRefused &) const = default;
};

struct AcceptActions {
    StoreActions m_store;
    std::vector<JobAccepted> m_accepted;
    std::vector<JobRefused> m_refused; ///< certain: the job is not stored
};

std::string groupPrefix();
std::string groupKey(const Identifier &group);
std::string groupOwnerPrefix();
std::string groupOwnerKey(const Identifier &group);
std::string progressPrefix(const Identifier &group);

std::string encodeGroup(const std::vector<BatchJob> &jobs);
absl::StatusOr<std::vector<BatchJob>> decodeGroup(const std::string &body);

/** @return the ticket that the actions name; the job is durable once it is among m_accepted. */
uint64_t submitJob(BatchAccept &accept, BatchJob job, int64_t quota, const DurableTime &time, Random &random, AcceptActions &actions);
void refreshUsage(BatchAccept &accept, BatchUsage usage);
AcceptActions storeAnswered(BatchAccept &accept, const StoreOutcome &outcome, const DurableTime &time, Random &random);
AcceptActions rangeAnswered(BatchAccept &accept, const StoreRange &range, const DurableTime &time, Random &random);
AcceptActions acceptTimer(BatchAccept &accept, const DurableTime &time, Random &random);
TimePoint acceptNextTimer(const BatchAccept &accept, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Batch runner
//-----------------------------------------------------------------------------

constexpr size_t ProgressJobs = 50; ///< finished jobs that cause a progress write
constexpr milliseconds ProgressDelay{5'000}; ///< longest delay of progress
constexpr size_t ClaimKeysAhead = 50; ///< jobs whose claim keys one write makes durable
constexpr milliseconds ClaimKeyLifetime{5 * 60 * 1'000}; ///< an unused claim key is renewed before the window can pass
constexpr milliseconds GroupRetry{500};

enum class JobState : uint8_t { Waiting, Running, Finished };

/** Final state of a job. */
struct JobResult {
    Outcome m_outcome = Outcome::Answered;
    Reason m_reason = Reason::None;
    std::string m_output; ///< JSON text

    bool operator==(const JobResult &) const = default;
};

struct JobProgress {
    JobState m_state = JobState::Waiting;
    std::vector<std::string> m_stages; ///< outputs of finished stages, JSON text
    std::map<int64_t, int64_t> m_claimTimes; ///< stage -> durable time of its claim key, in ms
    std::set<int64_t> m_claimsUsed; ///< stages whose claim key was handed out
    std::optional<JobResult> m_result;
};

/** Line of a progress chunk. */
struct ProgressEntry {
    enum class Kind : uint8_t { Stage, ClaimTime, Result };
    Kind m_kind = Kind::Stage;
    int64_t m_job = 0;
    int64_t m_stage = 0; ///< Stage and ClaimTime only
    int64_t m_claimTime = 0; ///< ClaimTime only
    std::string m_output; ///< Stage and Result only
    Outcome m_outcome = Outcome::Answered; ///< Result only
    Reason m_reason = Reason::None; ///< Result only

    bool operator==(const ProgressEntry &) const = default;
};

std::string encodeProgress(const std::vector<ProgressEntry> &entries);
absl::StatusOr<std::vector<ProgressEntry>> decodeProgress(const std::string &body);
/** Groups without an owner key. Takes the items under groupPrefix(), read with m_keysOnly, and groupOwnerPrefix(). */
std::vector<Identifier> groupsToTake(const std::vector<StoreItem> &groups, const std::vector<StoreItem> &owners);
/**
 * Gives back groups that name this process although it does not run them: a copy of its take arrived late. To be
 * called with what groupsToTake() was called with; a lost answer needs no care, because the next call repeats it.
 */
std::vector<StoreWrite> releaseOrphans(const std::vector<StoreItem> &owners,
                                       std::string_view node,
                                       const std::set<Identifier> &running,
                                       const DurableTime &time,
                                       Random &random);
/** Adds a chunk to the state of the jobs. The first result of a job stays. */
void applyProgress(std::vector<JobProgress> &jobs, const std::vector<ProgressEntry> &entries);

enum class RunnerPhase : uint8_t {
    Taking,
    Loading,
    Running,
    Finished, ///< every result is durable; the owner key stays as the mark that nobody need take the group
    Released, ///< given back before its end
    Lost, ///< another node holds the group, or it no longer exists
};

struct ClaimKeyRequest {
    int64_t m_job = 0;
    int64_t m_stage = 0;

    auto operator<=>(const ClaimKeyRequest &) const = default; // NOLINT(modernize-use-nullptr): false positive of clang-tidy 14
};

/** One group on the node that took it. */
struct BatchRunner {
    Identifier m_group;
    std::string m_node; ///< unique for this process (name and boot)
    RunnerPhase m_phase = RunnerPhase::Taking;
    int64_t m_fence = 0; ///< revision of the owner key
    int64_t m_nextChunk = 0;
    std::vector<BatchJob> m_jobs;
    std::vector<JobProgress> m_progress;
    std::vector<ProgressEntry> m_unwritten;
    size_t m_unwrittenBytes = 0;
    size_t m_unwrittenResults = 0;
    bool m_urgentWrite = false; ///< a claim key waits for the next write
    std::vector<ProgressEntry> m_writing;
    std::vector<ClaimKeyRequest> m_keyWaiters;
    size_t m_ended = 0; ///< jobs with a result, durable or not
    WriteTracker m_write;
    bool m_releasing = false;
    bool m_finishing = false; ///< the open write holds the last results
    TimePoint m_lastWrite;
    TimePoint m_oldestUnwritten;
    Identifier m_loadTag;
    std::string m_loadFrom; ///< empty: the group itself is read next
    TimePoint m_nextLoad;
    int m_loadTries = 0;
    uint64_t m_writes = 0;
};

struct StartJob {
    int64_t m_job = 0;
    int64_t m_firstStage = 0; ///< earlier stages are finished; their outputs are in m_progress

    bool operator==(const StartJob &) const = default;
};

struct ClaimKeyReady {
    int64_t m_job = 0;
    int64_t m_stage = 0;
    Identifier m_key; ///< for ClaimRequest::m_key; equal after a takeover

    bool operator==(const ClaimKeyReady &) const = default;
};

struct RunnerActions {
    StoreActions m_store;
    std::vector<ClaimKeyReady> m_keys;
    bool m_started = false; ///< jobs may be started
    bool m_ended = false; ///< phase is Finished, Released or Lost: stop all jobs of the group
    Findings m_findings;
};

RunnerActions takeGroup(BatchRunner &runner, const Identifier &group, std::string node, const DurableTime &time, Random &random);
/** Marks up to @p count waiting jobs as running. None while too much progress waits for the store. */
std::vector<StartJob> startJobs(BatchRunner &runner, size_t count);
RunnerActions stageFinished(BatchRunner &runner, int64_t job, int64_t stage, std::string output, const DurableTime &time, Random &random);
RunnerActions jobFinished(BatchRunner &runner, int64_t job, JobResult result, const DurableTime &time, Random &random);
/** The job did not end (preempted or certainly not run); it may be started again. */
void jobInterrupted(BatchRunner &runner, int64_t job);
/** Asks for the claim key of a non-idempotent stage; the key comes with the actions once it is durable. */
RunnerActions requestClaimKey(BatchRunner &runner, int64_t job, int64_t stage, const DurableTime &time, Random &random);
RunnerActions storeAnswered(BatchRunner &runner, const StoreOutcome &outcome, const DurableTime &time, Random &random);
RunnerActions rangeAnswered(BatchRunner &runner, const StoreRange &range, const DurableTime &time, Random &random);
RunnerActions runnerTimer(BatchRunner &runner, const DurableTime &time, Random &random);
TimePoint runnerNextTimer(const BatchRunner &runner, TimePoint now);
/** Writes what is finished and gives the group back; used at shutdown. */
RunnerActions releaseGroup(BatchRunner &runner, const DurableTime &time, Random &random);

//-----------------------------------------------------------------------------
// [SECTION] Batch results
//-----------------------------------------------------------------------------

constexpr milliseconds ResultLifetime{24 * 60 * 60 * 1'000};

/** State of one job as read from the store. */
struct JobView {
    BatchJob m_job;
    JobProgress m_progress;
};

/** Joins a group value and its progress chunks. NotFound when the group or the index does not exist. */
absl::StatusOr<JobView> viewJob(const JobId &id, const std::optional<StoreItem> &group, const std::vector<StoreItem> &chunks);

/** Results handed to callers by this entry, by group. Bounded; a group that is forgotten goes after 24 h. */
struct FetchTracker {
    std::map<Identifier, std::set<int64_t>> m_fetched;
};

constexpr size_t MaxTrackedGroups = 10'000;

/** @return true when every job of the group has been fetched, so that it may be deleted. */
bool resultFetched(FetchTracker &tracker, const JobId &id, size_t jobsInGroup);
/** True when the group's time is over. */
bool isGroupExpired(const Identifier &group, int64_t wall);
/**
 * Deletes a group with its chunks in writes of bounded size, the group itself first, so that a half-deleted group is
 * gone for every reader. @p chunks are the keys of its progress.
 */
std::vector<StoreWrite>
deleteGroup(const Identifier &group, int64_t groupRevision, const std::vector<StoreItem> &chunks, const DurableTime &time, Random &random);
/** Sums what is stored, for refreshUsage(). Malformed groups count with their bytes only. */
void addUsage(BatchUsage &usage, const StoreItem &item);

//-----------------------------------------------------------------------------
// [SECTION] Engine orders
//-----------------------------------------------------------------------------

enum class EngineRole : uint8_t { Mixed, Prefill, Decode };

std::string_view toString(EngineRole role);

/** What an engine reports about itself. */
struct EngineReport {
    Address m_engine;
    std::string m_pool;
    std::vector<std::string> m_models; ///< ready to serve, sorted
    std::vector<std::string> m_loading;
    EngineRole m_role = EngineRole::Mixed;
    int64_t m_slots = 1; ///< models that fit at once
    bool m_checksFencing = false; ///< refuses an outdated fencing token
    bool m_fresh = true; ///< false: the report is too old to act on

    bool operator==(const EngineReport &) const = default;
};

/** Demand for one model (or adapter, or version: each is a name of its own). */
struct ModelDemand {
    std::string m_model;
    std::string m_pool;
    double m_replicas = 0; ///< replicas that the load needs, as a fraction
    int64_t m_minimum = 1; ///< from the configuration
    double m_prefillShare = 0; ///< share of the replicas with role Prefill, the others Decode; 0: all Mixed

    bool operator==(const ModelDemand &) const = default;
};

struct DesiredEngine {
    std::vector<std::string> m_models; ///< sorted
    EngineRole m_role = EngineRole::Mixed;

    bool operator==(const DesiredEngine &) const = default;
};

using DesiredState = std::map<Address, DesiredEngine>;

/**
 * Which engine serves which models. Keeps what is loaded where possible. The result is the same for the same
 * arguments in any order, so every node computes the same state.
 */
DesiredState planEngines(const std::vector<ModelDemand> &demand, const std::vector<EngineReport> &reports);

enum class OrderKind : uint8_t { Load, Unload, SetRole };

/** Command to an engine. Safe to repeat. */
struct EngineOrder {
    Address m_engine;
    OrderKind m_kind = OrderKind::Load;
    std::string m_model;
    EngineRole m_role = EngineRole::Mixed;
    int64_t m_fence = 0; ///< revision of the group's owner key

    bool operator==(const EngineOrder &) const = default;
};

constexpr milliseconds OrderRepeat{10'000}; ///< an order without visible effect is given again
constexpr int64_t MaxLoadsAtOnce = 4; ///< concurrent downloads from the weight store
constexpr milliseconds LoadSpacing{1'000}; ///< between the starts of two downloads

/** Orders of the node that acts for one group of engines. */
struct OrderState {
    std::string m_group;
    std::string m_node; ///< unique for this process (name and boot)
    int64_t m_fence = 0; ///< 0: this node does not act for the group
    WriteTracker m_write;
    std::map<std::string, TimePoint> m_givenAt; ///< order text -> last time given
    TimePoint m_nextLoad;
    TimePoint m_nextTake;
};

struct OrderActions {
    StoreActions m_store;
    std::vector<EngineOrder> m_orders;
    bool m_steppedDown = false;
};

std::string ordersOwnerKey(const std::string &group);
/**
 * What the owner key holds; nothing when it is absent. Takes an absent key when preferred, acts under a key that names
 * this process, and steps down in every other case.
 */
OrderActions
ordersObserved(OrderState &state, const std::optional<StoreItem> &current, bool preferred, const DurableTime &time, Random &random);
OrderActions storeAnswered(OrderState &state, const StoreOutcome &outcome, const DurableTime &time, Random &random);
OrderActions rangeAnswered(OrderState &state, const StoreRange &range, const DurableTime &time, Random &random);
OrderActions ordersTimer(OrderState &state, const DurableTime &time, Random &random);
/**
 * Compares what engines report with what is desired. Works from reports alone, so an order of a former holder that an
 * engine obeyed is undone. Unloads only when another fresh replica serves the model.
 */
OrderActions reconcile(OrderState &state,
                       const DesiredState &desired,
                       const std::vector<EngineReport> &reports,
                       const std::vector<ModelDemand> &demand,
                       const DurableTime &time);

//-----------------------------------------------------------------------------
// [SECTION] Shell
//-----------------------------------------------------------------------------

/** The store calls. The entry fills them in; they must not repeat a write after an unknown result. */
struct StoreCalls {
    std::function<StoreOutcome(const StoreWrite &)> m_transact;
    std::function<StoreRange(const StoreRead &)> m_range;
};

/** Carries out the actions one after another and hands each answer to its callback. */
void runStoreActions(const StoreActions &actions,
                     const StoreCalls &calls,
                     const std::function<void(const StoreOutcome &)> &written,
                     const std::function<void(const StoreRange &)> &read);

} // namespace Medlarramp
