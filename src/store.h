#pragma once

/**
 * medlarramp store: the key-value service and the configuration that it keeps.
 *
 * Index of sections:
 *  [SECTION] Store            the calls of the key-value service
 *  [SECTION] Call guard       call budget, circuit breaker, back-off, counters
 *  [SECTION] Gateway client   etcd v3 JSON gateway
 *  [SECTION] Marked writes    resolution of writes whose answer was lost
 *  [SECTION] Configuration    state of one node, changes for peers, reads from the store
 *  [SECTION] Edits            validation and compare-and-swap of one change
 *
 * Status codes of a call: Unavailable and ResourceExhausted promise that the call had no effect; InvalidArgument means
 * that the store refused it; OutOfRange that the revision is compacted; NotFound that the lease is gone. With every
 * other code a write may have taken effect.
 */

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "core.h"
#include "model.h"

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

/** What a call is made for. Each purpose has its own budget. */
enum class StorePurpose : uint8_t { Configuration, Claims, Batch, Leases, Administration, Count };

std::string_view toString(StorePurpose purpose);

constexpr milliseconds DefaultStoreTimeout{1'000};
constexpr size_t MaxStoreValueBytes = 1024 * 1024; ///< limit of the platform

struct KeyValue {
    std::string m_key;
    std::string m_value;
    int64_t m_createRevision = 0;
    int64_t m_modRevision = 0;
    int64_t m_version = 0; ///< number of puts since creation
    int64_t m_lease = 0;

    bool operator==(const KeyValue &) const = default;
};

struct RangeRequest {
    StorePurpose m_purpose = StorePurpose::Configuration;
    std::string m_key;
    std::string m_end; ///< first key after the range; empty: only m_key
    int64_t m_minModRevision = 0; ///< leaves out entries with a lower revision
    int64_t m_limit = 0; ///< 0: no limit
    int64_t m_revision = 0; ///< reads the state at this revision; 0: the latest
    Duration m_timeout = DefaultStoreTimeout;
};

struct RangeAnswer {
    int64_t m_revision = 0; ///< of the store when it answered
    std::vector<KeyValue> m_entries; ///< in key order
    bool m_more = false; ///< the limit cut the answer
};

/** The first key after all keys with @p prefix. */
std::string prefixEnd(std::string prefix);
RangeRequest prefixRange(StorePurpose purpose, const std::string &prefix);
RangeRequest keyRange(StorePurpose purpose, const std::string &key);

enum class CompareTarget : uint8_t { ModRevision, CreateRevision, Version, Value };
enum class CompareResult : uint8_t { Equal, NotEqual, Less, Greater };

struct Compare {
    std::string m_key;
    CompareTarget m_target = CompareTarget::ModRevision;
    CompareResult m_result = CompareResult::Equal;
    int64_t m_number = 0; ///< 0 with ModRevision or CreateRevision: the key does not exist
    std::string m_value; ///< target Value only
};

Compare revisionEquals(std::string key, int64_t modRevision);

enum class OperationKind : uint8_t { Put, Delete };

struct Operation {
    OperationKind m_kind = OperationKind::Put;
    std::string m_key;
    std::string m_end; ///< delete only: first key after the range; empty: only m_key
    std::string m_value; ///< put only
    int64_t m_lease = 0; ///< put only; 0: none
};

Operation putOperation(std::string key, std::string value, int64_t lease = 0);
Operation deleteOperation(std::string key, std::string end = {});

struct Transaction {
    StorePurpose m_purpose = StorePurpose::Configuration;
    std::vector<Compare> m_compares;
    std::vector<Operation> m_operations; ///< carried out when every compare holds
    std::vector<std::string> m_readOnFailure; ///< keys read otherwise
    Duration m_timeout = DefaultStoreTimeout;
};

struct TransactionAnswer {
    bool m_succeeded = false;
    int64_t m_revision = 0; ///< of the store after the transaction
    std::vector<KeyValue> m_entries; ///< of m_readOnFailure, without missing keys
};

struct Lease {
    int64_t m_identifier = 0;
    Duration m_timeToLive{};
};

struct WatchRequest {
    StorePurpose m_purpose = StorePurpose::Configuration;
    std::string m_prefix;
    int64_t m_startRevision = 0; ///< first revision of interest; 0: from now
};

struct WatchEvent {
    OperationKind m_kind = OperationKind::Put;
    KeyValue m_entry; ///< key and m_modRevision only when deleted

    bool operator==(const WatchEvent &) const = default;
};

/** Every event above the previous batch's m_revision up to and including m_revision. */
struct WatchBatch {
    int64_t m_revision = 0;
    std::vector<WatchEvent> m_events; ///< in revision order; empty: the watch has opened, or a progress notification
};

/** Receives events in order. Returning false ends the watch. */
using WatchSink = std::function<bool(const WatchBatch &)>;

/** The calls of the key-value service. All are blocking and thread-safe. */
struct Store {
    std::function<absl::StatusOr<RangeAnswer>(const RangeRequest &)> m_range;
    std::function<absl::StatusOr<TransactionAnswer>(const Transaction &)> m_transact;
    /** Time to live is rounded up to whole seconds. */
    std::function<absl::StatusOr<Lease>(StorePurpose, Duration timeToLive)> m_grantLease;
    /** NotFound when the lease has expired. */
    std::function<absl::StatusOr<Lease>(StorePurpose, int64_t lease)> m_keepAlive;
    std::function<absl::Status(StorePurpose, int64_t lease)> m_revokeLease;
    /** Blocks until the sink or the signal ends it (Ok) or the watch breaks. OutOfRange: read anew, then watch. */
    std::function<absl::Status(const WatchRequest &, const WatchSink &, StopSignal &)> m_watch;
};

/** True unless the code promises that the call had no effect. */
bool mayHaveTakenEffect(const absl::Status &status);

//-----------------------------------------------------------------------------
// [SECTION] Call guard
//-----------------------------------------------------------------------------

/** Token bucket of one purpose. */
struct CallBudget {
    double m_perSecond = 0;
    double m_burst = 0;
    double m_tokens = 0;
    TimePoint m_at; ///< last refill

    bool operator==(const CallBudget &) const = default;
};

using CallBudgets = std::array<CallBudget, static_cast<size_t>(StorePurpose::Count)>;

/**
 * Budgets of one node, full at @p at. Claims cover one owner at one flush per 35 ms, batch the drain of a group every
 * 50 ms; the others are a few calls a second, because 610 nodes share about 2,000 reads/s.
 */
CallBudgets defaultBudgets(TimePoint at);
/** Takes one call. @return false when the budget is used up. */
bool takeCall(CallBudget &budget, TimePoint now);

enum class BreakerState : uint8_t { Closed, Open, Probing };

/** Lets one probe through at a time while the store is down. */
struct CircuitBreaker {
    BreakerState m_state = BreakerState::Closed;
    int m_failures = 0; ///< in a row
    TimePoint m_probeAt; ///< Open: next probe; Probing: end of the probe's claim

    bool operator==(const CircuitBreaker &) const = default;
};

constexpr int BreakerThreshold = 5; ///< failures in a row
constexpr milliseconds BackoffBase{50};
constexpr milliseconds BackoffCap{1'000};
constexpr seconds ProbeLimit{5}; ///< a probe without a result after this time is replaced
constexpr seconds ReturnSpreadPer100Nodes{5};

/** Uniform in [0, min(cap, base x 2^attempt)] (full jitter). */
Duration backoffDelay(Random &random, int attempt, Duration base = BackoffBase, Duration cap = BackoffCap);
/** Time over which @p nodes spread their first calls to a store that returns: 5 s x nodes/100. */
Duration returnSpread(int64_t nodes);
/** @return true when a call may be made now; moves an open breaker to probing. */
bool admitCall(CircuitBreaker &breaker, TimePoint now);
void recordSuccess(CircuitBreaker &breaker);
/** Probes of an open breaker are spread uniformly over the back-off or returnSpread(), whichever is longer. */
void recordFailure(CircuitBreaker &breaker, TimePoint now, Random &random, int64_t nodes);

/** Calls and refusals since start. */
struct StoreCounters {
    std::array<std::atomic<uint64_t>, static_cast<size_t>(StorePurpose::Count)> m_calls{}; ///< let through, by purpose
    std::array<std::atomic<uint64_t>, static_cast<size_t>(Reason::Count)> m_refusals{}; ///< by reason
    std::atomic<uint64_t> m_lostAnswers = 0; ///< calls that may have taken effect without an answer
    std::atomic<uint64_t> m_resolvedApplied = 0;
    std::atomic<uint64_t> m_resolvedNotApplied = 0;
    std::atomic<uint64_t> m_resolvedSuperseded = 0;
    std::atomic<uint64_t> m_unresolved = 0;
};

struct GuardOptions {
    const Clock *m_clock = nullptr; ///< required
    std::function<int64_t()> m_nodes; ///< size of the cluster; empty: 1
    uint64_t m_seed = 0;
    std::optional<CallBudgets> m_budgets; ///< nothing: defaultBudgets()
    std::shared_ptr<StoreCounters> m_counters; ///< empty: not counted
};

/** Puts budget, breaker and counters before every call of @p inner. A watch counts as one call when it starts. */
Store guardStore(Store inner, const GuardOptions &options);

//-----------------------------------------------------------------------------
// [SECTION] Gateway client
//-----------------------------------------------------------------------------

struct EtcdOptions {
    std::vector<Address> m_endpoints; ///< tried in turn
    Duration m_connectTimeout = milliseconds(300);
    Duration m_watchIdleLimit = seconds(30); ///< a watch without a byte for this time is opened anew
    GuardOptions m_guard;
};

/**
 * Client over the etcd v3 JSON gateway (https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/), guarded.
 * Asserts at least one endpoint and a clock.
 */
Store makeEtcdStore(const EtcdOptions &options);

//-----------------------------------------------------------------------------
// [SECTION] Marked writes
//-----------------------------------------------------------------------------

/** A stored value with the identifier of the write that made it. */
struct MarkedValue {
    Identifier m_mark;
    std::string m_payload;

    bool operator==(const MarkedValue &) const = default;
};

std::string encodeMarked(const MarkedValue &value);
/** Nothing when the value carries no mark. */
std::optional<MarkedValue> decodeMarked(std::string_view value);

enum class WriteResult : uint8_t {
    Applied,
    NotApplied, ///< certain, now and later
    Superseded, ///< the key has moved on; the write was applied before that, or that cannot be told
    Unknown, ///< no answer within the limit; the write may still take effect
};

std::string_view toString(WriteResult result);

struct WriteAnswer {
    WriteResult m_result = WriteResult::Unknown;
    Reason m_reason =
        Reason::None; ///< NotApplied: Conflict, StoreUnavailable, StoreBudgetExhausted, MalformedRequest, NotFound (lease gone)
    int64_t m_revision = 0; ///< Applied: revision of the write. Superseded: the same, or 0 when not known
    std::optional<KeyValue> m_current; ///< Conflict or Superseded: the witness key as last read
};

/**
 * A transaction whose compares cannot hold twice, so that sending it again is safe: at least one compares the
 * ModRevision, CreateRevision or Version, with Equal, of a key that the transaction writes. A compare with 0 holds again
 * once the key is deleted; the caller sees to it that nobody deletes such a key while the write may be on its way, or
 * puts it under a lease, which ends before its keys.
 */
struct MarkedWrite {
    Transaction m_transaction;
    std::string m_witness; ///< a key that the transaction puts with a marked value
    Identifier m_mark;
    bool m_neverDeleted = false; ///< neither the witness nor a compared key is ever deleted
    Duration m_limit = seconds(5); ///< for all sends and reads together
};

struct WriteContext {
    const Store *m_store = nullptr;
    const Clock *m_clock = nullptr;
    Random *m_random = nullptr; ///< not shared between threads
    StopSignal *m_stop = nullptr; ///< may be null; ends the waits
    StoreCounters *m_counters = nullptr; ///< may be null
    std::function<void(Duration)> m_wait; ///< empty: waits on the clock; simulations advance their time here
};

/** Sends @p write and resolves a lost answer by its mark. Asserts the rules of MarkedWrite. */
WriteAnswer transact(const WriteContext &context, const MarkedWrite &write);

/** Puts @p payload under @p key when its revision is still @p expectedRevision (0: it does not exist). */
WriteAnswer putWithMark(const WriteContext &context,
                        StorePurpose purpose,
                        const std::string &key,
                        const std::string &payload,
                        int64_t expectedRevision,
                        int64_t lease = 0);

/** What is known of a write whose answer was lost, from one read of its witness. Pure. */
enum class Resolution : uint8_t {
    Applied,
    Replaced, ///< the key has another writer's value; history may tell more
    Absent, ///< the key does not exist
};

Resolution resolveByMark(const std::optional<KeyValue> &witness, const Identifier &mark);

constexpr int MaxHistorySteps = 16; ///< earlier versions of the witness that are read to find the mark

//-----------------------------------------------------------------------------
// [SECTION] Configuration
//-----------------------------------------------------------------------------

constexpr std::string_view ConfigPrefix = "config/";
constexpr std::string_view ConfigHeadKey = "config-head"; ///< written with every change, so that edits are serialised

/** "config/organisation/alder". */
std::string configKey(ObjectKind kind, std::string_view name);

struct ConfigName {
    ObjectKind m_kind = ObjectKind::Template;
    std::string m_name;

    auto operator<=>(const ConfigName &) const = default;
};

std::optional<ConfigName> parseConfigKey(std::string_view key);

/** One version of an object as the store keeps it. */
struct ConfigChange {
    std::string m_key;
    int64_t m_revision = 0;
    std::string m_value; ///< marked ConfigRecord

    bool operator==(const ConfigChange &) const = default;
};

/** Payload of a stored object. */
struct ConfigRecord {
    std::string m_by; ///< name of the administration key
    int64_t m_at = 0; ///< milliseconds since the Unix epoch
    bool m_deleted = false; ///< a tombstone
    nlohmann::json m_object; ///< null when deleted
};

std::string encodeRecord(const Identifier &mark, const ConfigRecord &record);
std::optional<ConfigRecord> decodeRecord(std::string_view value);

/**
 * Versions of objects. Whoever has every change up to m_from has every change up to m_to after applying the batch.
 * m_to equal to m_from claims nothing beyond the changes themselves.
 */
struct ConfigBatch {
    int64_t m_from = 0;
    int64_t m_to = 0;
    std::vector<ConfigChange> m_changes;
    int64_t m_next = 0; ///< not 0: more follows; ask again with this as m_after

    bool operator==(const ConfigBatch &) const = default;
};

std::string serializeChange(const ConfigChange &change);
absl::StatusOr<ConfigChange> parseChange(std::string_view text);
std::string serializeBatch(const ConfigBatch &batch);
absl::StatusOr<ConfigBatch> parseBatch(std::string_view text);

constexpr size_t MaxBatchBytes = 900 * 1024; ///< of changes in one answer to a peer; a message carries up to 1 MB
constexpr size_t MaxBatchChanges = 10'000;

struct ConfigEntry {
    int64_t m_revision = 0;
    bool m_deleted = false;
    std::string m_value; ///< as in the store
};

/**
 * The configuration of one node. Not thread-safe; its owner publishes snapshots from buildConfiguration().
 * An object's revision and the cursor never fall.
 */
struct ConfigState {
    int64_t m_cursor = 0; ///< every change up to this revision is included
    std::map<std::string, ConfigEntry, std::less<>> m_entries; ///< by store key, with tombstones
    /** Change log for peers that are behind. Keeps the last change of each object, so it is bounded and complete. */
    std::set<std::pair<int64_t, std::string_view>> m_log; ///< (revision, key of m_entries)
    Configuration m_configuration; ///< what the entries mean
    std::map<std::string, std::set<std::string>> m_organisationsByTemplate; ///< those that name the template
    uint64_t m_applied = 0;
    uint64_t m_outdated = 0; ///< changes ignored because the object was as new or newer
    uint64_t m_malformed = 0; ///< changes whose object this version cannot read; the last readable one stays in force
};

/** @return true when the change was new to the object. Never moves the cursor. */
bool applyChange(ConfigState &state, const ConfigChange &change);
/** Applies all changes, then raises the cursor to m_to when it has reached m_from. @return true when anything was new. */
bool applyBatch(ConfigState &state, const ConfigBatch &batch);
/** A snapshot that shares every unchanged object with earlier snapshots. Cost does not grow with the objects' sizes. */
std::shared_ptr<const Configuration> buildConfiguration(const ConfigState &state);
/**
 * What a peer with @p cursor is missing, in revision order from after @p after (0: from the cursor), up to @p maxBytes.
 * Only the last part raises the peer's cursor.
 */
ConfigBatch changesSince(const ConfigState &state, int64_t cursor, int64_t after = 0, size_t maxBytes = MaxBatchBytes);

/** The batch of a watch's events, as seen by a watcher that has every change up to @p from. */
ConfigBatch toBatch(int64_t from, const WatchBatch &events);

/**
 * Reads what changed after @p cursor (0: everything) in pages at one revision.
 * FailedPrecondition when the store answers with a revision below the cursor, as a stale replica does.
 */
absl::StatusOr<ConfigBatch> readConfiguration(const Store &store, int64_t cursor, StorePurpose purpose = StorePurpose::Configuration);

constexpr int64_t ReadPageSize = 500; ///< objects

//-----------------------------------------------------------------------------
// [SECTION] Edits
//-----------------------------------------------------------------------------

/** What an editor wants. */
struct ConfigEdit {
    ConfigName m_name;
    std::optional<nlohmann::json> m_object; ///< nothing: delete
    int64_t m_expectedRevision = 0; ///< the revision the editor read; 0: the object must not exist
    std::string m_by;
};

constexpr size_t MaxEditFindings = 100;

/**
 * Findings of the object and of everything that refers to it. Looks only at the objects concerned.
 * Findings that existed before and do not concern the object are left out.
 */
Findings validateEdit(const ConfigState &state, const ConfigEdit &edit);

enum class EditResult : uint8_t { Accepted, Invalid, Conflict, NotFound, Refused, Unknown };

struct EditAnswer {
    EditResult m_result = EditResult::Unknown;
    Reason m_reason = Reason::None;
    Findings m_findings; ///< Invalid
    int64_t m_revision = 0; ///< Accepted: of the change. Conflict: of the current object
    std::optional<ConfigChange> m_current; ///< Conflict: the current object; nothing when it does not exist
    ConfigBatch m_batch; ///< Accepted: what to apply and spread
};

/** The owner of a ConfigState lends it under its lock. */
using ConfigAccess = std::function<void(const std::function<void(ConfigState &)> &)>;

/**
 * Validates, and writes by compare-and-swap on the object and on ConfigHeadKey. A state that is behind the store is
 * brought up to it first: no refusal rests on an old state. An edit of another object at the same moment leads to a new
 * validation, not to a conflict. Costs one store call when the state is up to date.
 */
EditAnswer editConfiguration(const WriteContext &context, const ConfigAccess &access, const ConfigEdit &edit);

constexpr int MaxEditAttempts = 8; ///< validations of one edit while others succeed
constexpr seconds EditLimit{3}; ///< for the sends and reads of one attempt

} // namespace Medlarramp
