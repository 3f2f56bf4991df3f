#include "standins_store.h"

#include <algorithm>
#include <cassert>
#include <charconv>

#include <fmt/format.h>
#include <httplib.h>

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] State
//-----------------------------------------------------------------------------

std::string_view toString(StoreCall call)
{
    constexpr std::array<std::string_view, static_cast<size_t>(StoreCall::Count)> Names = {
        "range", "txn", "lease_grant", "lease_keepalive", "lease_revoke", "watch"};
    return Names.at(static_cast<size_t>(call));
}

void setFaults(KeyValueState &state, const StoreFaults &faults)
{
    const std::lock_guard lock(state.m_mutex);
    state.m_faults = faults;
    state.m_changed.notify_all();
}

uint64_t callCount(KeyValueState &state, StoreCall call)
{
    const std::lock_guard lock(state.m_mutex);
    return state.m_calls.at(static_cast<size_t>(call));
}

uint64_t allCalls(KeyValueState &state)
{
    const std::lock_guard lock(state.m_mutex);
    uint64_t sum = 0;
    for (const uint64_t calls : state.m_calls) {
        sum += calls;
    }
    return sum;
}

uint64_t writeCount(KeyValueState &state)
{
    const std::lock_guard lock(state.m_mutex);
    return state.m_writes;
}

namespace {

// The functions below expect that the caller holds the lock.

/** Forgets the oldest event and the versions that only it kept. */
void dropOldestEvent(KeyValueState &state)
{
    const WatchEvent &event = state.m_events.front();
    const int64_t revision = event.m_entry.m_modRevision;
    const auto key = state.m_versions.find(event.m_entry.m_key);
    if (key != state.m_versions.end()) {
        std::vector<KeyValue> &versions = key->second;
        const auto firstKept = std::find_if(
            versions.begin(), versions.end(), [revision](const KeyValue &version) { return version.m_modRevision >= revision; });
        versions.erase(versions.begin(), firstKept);
        const bool onlyDeletion = versions.size() == 1 && versions[0].m_version == 0 && versions[0].m_modRevision == revision;
        if (versions.empty() || onlyDeletion) {
            state.m_versions.erase(key);
        }
    }
    state.m_compacted = revision;
    state.m_events.pop_front();
}

void limitHistory(KeyValueState &state)
{
    // A revision's events are dropped together, since m_compacted covers the whole revision.
    while (state.m_events.size() > state.m_maxEvents
           || (!state.m_events.empty() && state.m_events.front().m_entry.m_modRevision <= state.m_compacted)) {
        dropOldestEvent(state);
    }
}

/** The version of a key at @p revision; null when it did not exist. */
const KeyValue *versionAt(const std::vector<KeyValue> &versions, int64_t revision)
{
    const auto after = std::upper_bound(
        versions.begin(), versions.end(), revision, [](int64_t bound, const KeyValue &version) { return bound < version.m_modRevision; });
    if (after == versions.begin() || std::prev(after)->m_version == 0) {
        return nullptr;
    }
    return &*std::prev(after);
}

const KeyValue *currentVersion(const KeyValueState &state, const std::string &key)
{
    const auto versions = state.m_versions.find(key);
    return versions == state.m_versions.end() ? nullptr : versionAt(versions->second, state.m_revision);
}

void addVersion(KeyValueState &state, OperationKind kind, KeyValue version)
{
    state.m_events.push_back({kind, version});
    std::vector<KeyValue> &versions = state.m_versions[version.m_key];
    // Several writes of one key in one transaction share the revision; the last one counts.
    if (!versions.empty() && versions.back().m_modRevision == version.m_modRevision) {
        versions.back() = std::move(version);
        return;
    }
    versions.push_back(std::move(version));
}

void putKey(KeyValueState &state, const Operation &operation, int64_t revision)
{
    const KeyValue *previous = currentVersion(state, operation.m_key);
    KeyValue version;
    version.m_key = operation.m_key;
    version.m_value = operation.m_value;
    version.m_createRevision = previous ? previous->m_createRevision : revision;
    version.m_modRevision = revision;
    version.m_version = previous ? previous->m_version + 1 : 1;
    version.m_lease = operation.m_lease;
    addVersion(state, OperationKind::Put, std::move(version));
}

/** @return true when a key was deleted. */
bool deleteKeys(KeyValueState &state, const std::string &first, const std::string &end, int64_t revision)
{
    std::vector<std::string> keys;
    for (auto position = state.m_versions.lower_bound(first); position != state.m_versions.end(); ++position) {
        const bool inRange = end.empty() ? position->first == first : position->first < end;
        if (!inRange) {
            break;
        }
        if (versionAt(position->second, state.m_revision)) {
            keys.push_back(position->first);
        }
    }
    for (const std::string &key : keys) {
        KeyValue deletion;
        deletion.m_key = key;
        deletion.m_modRevision = revision;
        addVersion(state, OperationKind::Delete, std::move(deletion));
    }
    return !keys.empty();
}

void finishRevision(KeyValueState &state, int64_t revision)
{
    state.m_revision = revision;
    limitHistory(state);
    state.m_changed.notify_all();
}

/** Deletes the keys of a lease in one revision. */
void endLease(KeyValueState &state, int64_t lease)
{
    const int64_t revision = state.m_revision + 1;
    std::vector<std::string> keys;
    for (const auto &[key, versions] : state.m_versions) {
        const KeyValue *current = versionAt(versions, state.m_revision);
        if (current && current->m_lease == lease) {
            keys.push_back(key);
        }
    }
    for (const std::string &key : keys) {
        deleteKeys(state, key, {}, revision);
    }
    state.m_leases.erase(lease);
    if (!keys.empty()) {
        finishRevision(state, revision);
    }
}

void expire(KeyValueState &state)
{
    const TimePoint at = now(*state.m_clock);
    std::vector<int64_t> expired;
    for (const auto &[identifier, lease] : state.m_leases) {
        if (lease.m_expiresAt <= at) {
            expired.push_back(identifier);
        }
    }
    for (const int64_t identifier : expired) {
        endLease(state, identifier);
    }
}

bool holds(const KeyValueState &state, const Compare &compare)
{
    const KeyValue *current = currentVersion(state, compare.m_key);
    if (compare.m_target == CompareTarget::Value) {
        if (!current) {
            return false; // etcd: a missing key fails every compare of values
        }
        const int order = current->m_value.compare(compare.m_value);
        return compare.m_result == CompareResult::Equal   ? order == 0
            : compare.m_result == CompareResult::NotEqual ? order != 0
            : compare.m_result == CompareResult::Less     ? order < 0
                                                          : order > 0;
    }
    int64_t number = 0;
    if (current) {
        number = compare.m_target == CompareTarget::ModRevision ? current->m_modRevision
            : compare.m_target == CompareTarget::CreateRevision ? current->m_createRevision
                                                                : current->m_version;
    }
    switch (compare.m_result) {
    case CompareResult::Equal:
        return number == compare.m_number;
    case CompareResult::NotEqual:
        return number != compare.m_number;
    case CompareResult::Less:
        return number < compare.m_number;
    case CompareResult::Greater:
        return number > compare.m_number;
    }
    return false;
}

absl::Status checkLeases(const KeyValueState &state, const Transaction &transaction)
{
    for (const Operation &operation : transaction.m_operations) {
        if (operation.m_lease != 0 && !state.m_leases.contains(operation.m_lease)) {
            return absl::NotFoundError("requested lease not found");
        }
    }
    return absl::OkStatus();
}

absl::StatusOr<TransactionAnswer> transactNow(KeyValueState &state, const Transaction &transaction)
{
    expire(state);
    TransactionAnswer answer;
    answer.m_succeeded = std::all_of(
        transaction.m_compares.begin(), transaction.m_compares.end(), [&state](const Compare &compare) { return holds(state, compare); });
    if (answer.m_succeeded) {
        const absl::Status leases = checkLeases(state, transaction);
        if (!leases.ok()) {
            return leases;
        }
        const int64_t revision = state.m_revision + 1;
        bool wrote = false;
        for (const Operation &operation : transaction.m_operations) {
            if (operation.m_kind == OperationKind::Put) {
                putKey(state, operation, revision);
                wrote = true;
            } else {
                wrote = deleteKeys(state, operation.m_key, operation.m_end, revision) || wrote;
            }
        }
        if (wrote) {
            ++state.m_writes;
            finishRevision(state, revision);
        }
    } else {
        for (const std::string &key : transaction.m_readOnFailure) {
            const KeyValue *current = currentVersion(state, key);
            if (current) {
                answer.m_entries.push_back(*current);
            }
        }
    }
    answer.m_revision = state.m_revision;
    return answer;
}

absl::StatusOr<RangeAnswer> rangeNow(KeyValueState &state, const RangeRequest &request)
{
    expire(state);
    if (request.m_revision > 0 && request.m_revision < state.m_compacted) {
        return absl::OutOfRangeError("required revision has been compacted");
    }
    if (request.m_revision > state.m_revision) {
        return absl::OutOfRangeError("required revision is a future revision");
    }
    const int64_t at = request.m_revision > 0 ? request.m_revision : state.m_revision;
    RangeAnswer answer;
    answer.m_revision = state.m_revision;
    for (auto position = state.m_versions.lower_bound(request.m_key); position != state.m_versions.end(); ++position) {
        const bool inRange = request.m_end.empty() ? position->first == request.m_key : position->first < request.m_end;
        if (!inRange) {
            break;
        }
        const KeyValue *version = versionAt(position->second, at);
        if (!version || version->m_modRevision < request.m_minModRevision) {
            continue;
        }
        if (request.m_limit > 0 && answer.m_entries.size() == static_cast<size_t>(request.m_limit)) {
            answer.m_more = true;
            break;
        }
        answer.m_entries.push_back(*version);
    }
    return answer;
}

absl::StatusOr<WatchBatch> eventsNow(KeyValueState &state, const std::string &prefix, int64_t startRevision)
{
    if (startRevision <= state.m_compacted) {
        return absl::OutOfRangeError("required revision has been compacted");
    }
    WatchBatch batch;
    batch.m_revision = std::max(state.m_revision, startRevision - 1);
    const auto first = std::partition_point(state.m_events.begin(), state.m_events.end(), [startRevision](const WatchEvent &event) {
        return event.m_entry.m_modRevision < startRevision;
    });
    std::copy_if(first, state.m_events.end(), std::back_inserter(batch.m_events), [&prefix](const WatchEvent &event) {
        return event.m_entry.m_key.starts_with(prefix);
    });
    return batch;
}

/** What the faults do to one call. */
enum class Fate : uint8_t { Serve, RefuseOutage, RefuseRate, DropRequest, Defer, LoseAnswer };

bool takeFault(int &remaining)
{
    if (remaining <= 0) {
        return false;
    }
    --remaining;
    return true;
}

bool withinRate(KeyValueState &state)
{
    const double rate = state.m_faults.m_callsPerSecond;
    if (rate <= 0) {
        return true;
    }
    const TimePoint at = now(*state.m_clock);
    const double elapsed = std::chrono::duration<double>(at - state.m_tokensAt).count();
    state.m_tokens = std::min(rate, state.m_tokens + elapsed * rate);
    state.m_tokensAt = at;
    if (state.m_tokens < 1) {
        ++state.m_refusedByRate;
        return false;
    }
    state.m_tokens -= 1;
    return true;
}

Fate decideFate(KeyValueState &state, StoreCall call)
{
    ++state.m_calls.at(static_cast<size_t>(call));
    StoreFaults &faults = state.m_faults;
    if (faults.m_outage) {
        return Fate::RefuseOutage;
    }
    if (faults.m_silent) {
        return Fate::DropRequest;
    }
    if (!withinRate(state)) {
        return Fate::RefuseRate;
    }
    if (call != StoreCall::Transaction) {
        return Fate::Serve;
    }
    if (takeFault(faults.m_deferNextRequests)) {
        return Fate::Defer;
    }
    if (takeFault(faults.m_loseNextRequests)
        || (faults.m_lostRequestShare > 0 && uniformReal(state.m_random) < faults.m_lostRequestShare)) {
        return Fate::DropRequest;
    }
    if (takeFault(faults.m_loseNextAnswers) || (faults.m_lostAnswerShare > 0 && uniformReal(state.m_random) < faults.m_lostAnswerShare)) {
        return Fate::LoseAnswer;
    }
    return Fate::Serve;
}

/** The status of a call that is not answered normally. */
absl::Status statusOf(Fate fate)
{
    switch (fate) {
    case Fate::RefuseOutage:
        return absl::UnavailableError("the stand-in store is down");
    case Fate::RefuseRate:
        return absl::ResourceExhaustedError("too many requests");
    case Fate::DropRequest:
    case Fate::Defer:
    case Fate::LoseAnswer:
        return absl::DeadlineExceededError("no answer from the stand-in store");
    case Fate::Serve:
        break;
    }
    return absl::OkStatus();
}

void waitOn(const Clock &clock, const StandinWait &wait, Duration duration)
{
    if (duration <= Duration::zero()) {
        return;
    }
    if (wait) {
        wait(duration);
        return;
    }
    StopSignal unused;
    sleepFor(clock, unused, duration);
}

/** Fate of a call, with its delay waited for. */
Fate beginCall(KeyValueState &state, StoreCall call, const StandinWait &wait)
{
    Duration delay{};
    Fate fate = Fate::Serve;
    {
        const std::lock_guard lock(state.m_mutex);
        fate = decideFate(state, call);
        delay = fate == Fate::RefuseOutage ? Duration::zero() : state.m_faults.m_delay;
    }
    waitOn(*state.m_clock, wait, delay);
    return fate;
}

/** Runs a transaction as its fate wants, and says what the caller learns. */
absl::StatusOr<TransactionAnswer> transactFated(KeyValueState &state, const Transaction &transaction, Fate fate)
{
    const std::lock_guard lock(state.m_mutex);
    if (fate == Fate::Defer) {
        state.m_deferred.push_back(transaction);
    }
    if (fate == Fate::Serve || fate == Fate::LoseAnswer) {
        absl::StatusOr<TransactionAnswer> answer = transactNow(state, transaction);
        if (fate == Fate::Serve) {
            return answer;
        }
    }
    return statusOf(fate);
}

absl::StatusOr<Lease> grantNow(KeyValueState &state, Duration timeToLive)
{
    const std::lock_guard lock(state.m_mutex);
    expire(state);
    const Lease lease{state.m_nextLease++, std::chrono::ceil<seconds>(timeToLive)};
    state.m_leases[lease.m_identifier] = {lease.m_timeToLive, now(*state.m_clock) + lease.m_timeToLive};
    return lease;
}

absl::StatusOr<Lease> renewNow(KeyValueState &state, int64_t identifier)
{
    const std::lock_guard lock(state.m_mutex);
    expire(state);
    const auto lease = state.m_leases.find(identifier);
    if (lease == state.m_leases.end()) {
        return absl::NotFoundError("requested lease not found");
    }
    lease->second.m_expiresAt = now(*state.m_clock) + lease->second.m_timeToLive;
    return Lease{identifier, lease->second.m_timeToLive};
}

absl::Status revokeNow(KeyValueState &state, int64_t identifier)
{
    const std::lock_guard lock(state.m_mutex);
    expire(state);
    if (!state.m_leases.contains(identifier)) {
        return absl::NotFoundError("requested lease not found");
    }
    endLease(state, identifier);
    return absl::OkStatus();
}

constexpr milliseconds WatchPoll{20}; ///< between looks at the stop signal and at leases
constexpr milliseconds ProgressInterval{1'000};

/** Position of one watch. */
struct WatchCursor {
    std::string m_prefix;
    int64_t m_next = 0;
    TimePoint m_progressAt; ///< when an empty batch is due
};

/** Blocks until there are events, progress is due, or the watch ends. Nothing: ended. */
absl::StatusOr<std::optional<WatchBatch>> nextBatch(KeyValueState &state, WatchCursor &cursor, const std::function<bool()> &stopped)
{
    std::unique_lock lock(state.m_mutex);
    while (!stopped()) {
        expire(state);
        if (state.m_faults.m_outage) {
            return absl::UnavailableError("the stand-in store is down");
        }
        const bool due = now(*state.m_clock) >= cursor.m_progressAt;
        if ((state.m_revision >= cursor.m_next || due) && !state.m_faults.m_silent) {
            absl::StatusOr<WatchBatch> batch = eventsNow(state, cursor.m_prefix, cursor.m_next);
            if (!batch.ok()) {
                return batch.status();
            }
            cursor.m_next = batch->m_revision + 1;
            if (!batch->m_events.empty() || due) {
                cursor.m_progressAt = now(*state.m_clock) + ProgressInterval;
                return std::optional<WatchBatch>(std::move(*batch));
            }
        }
        state.m_changed.wait_for(lock, WatchPoll);
    }
    return std::optional<WatchBatch>();
}

WatchCursor openWatch(KeyValueState &state, const std::string &prefix, int64_t startRevision, Duration untilProgress)
{
    const std::lock_guard lock(state.m_mutex);
    ++state.m_openWatches;
    return {prefix, startRevision > 0 ? startRevision : state.m_revision + 1, now(*state.m_clock) + untilProgress};
}

void closeWatch(KeyValueState &state)
{
    const std::lock_guard lock(state.m_mutex);
    --state.m_openWatches;
}

} // namespace

void runDeferred(KeyValueState &state)
{
    const std::lock_guard lock(state.m_mutex);
    for (const Transaction &transaction : std::exchange(state.m_deferred, {})) {
        (void)transactNow(state, transaction);
    }
}

void compact(KeyValueState &state, int64_t revision)
{
    const std::lock_guard lock(state.m_mutex);
    const int64_t bound = std::min(revision, state.m_revision);
    while (!state.m_events.empty() && state.m_events.front().m_entry.m_modRevision <= bound) {
        dropOldestEvent(state);
    }
    state.m_compacted = std::max(state.m_compacted, bound);
}

void expireLeases(KeyValueState &state)
{
    const std::lock_guard lock(state.m_mutex);
    expire(state);
}

absl::StatusOr<WatchBatch> eventsSince(KeyValueState &state, const std::string &prefix, int64_t startRevision)
{
    const std::lock_guard lock(state.m_mutex);
    expire(state);
    return eventsNow(state, prefix, startRevision);
}

//-----------------------------------------------------------------------------
// [SECTION] Local
//-----------------------------------------------------------------------------

namespace {

absl::Status watchLocal(KeyValueState &state, const WatchRequest &request, const WatchSink &sink, StopSignal &stop)
{
    const Fate fate = beginCall(state, StoreCall::Watch, {});
    if (fate != Fate::Serve) {
        return statusOf(fate);
    }
    WatchCursor cursor = openWatch(state, request.m_prefix, request.m_startRevision, Duration::zero());
    absl::Status status = absl::OkStatus();
    while (true) {
        const auto batch = nextBatch(state, cursor, [&stop] { return isStopped(stop); });
        if (!batch.ok()) {
            status = batch.status();
            break;
        }
        if (!*batch || !sink(**batch)) {
            break;
        }
    }
    closeWatch(state);
    return status;
}

} // namespace

Store makeLocalStore(KeyValueState &state, const StandinWait &wait)
{
    assert(state.m_clock);
    Store store;
    store.m_range = [&state, wait](const RangeRequest &request) -> absl::StatusOr<RangeAnswer> {
        const Fate fate = beginCall(state, StoreCall::Range, wait);
        if (fate != Fate::Serve) {
            return statusOf(fate);
        }
        const std::lock_guard lock(state.m_mutex);
        return rangeNow(state, request);
    };
    store.m_transact = [&state, wait](const Transaction &transaction) {
        const Fate fate = beginCall(state, StoreCall::Transaction, wait);
        return transactFated(state, transaction, fate);
    };
    store.m_grantLease = [&state, wait](StorePurpose, Duration timeToLive) -> absl::StatusOr<Lease> {
        const Fate fate = beginCall(state, StoreCall::LeaseGrant, wait);
        return fate == Fate::Serve ? grantNow(state, timeToLive) : statusOf(fate);
    };
    store.m_keepAlive = [&state, wait](StorePurpose, int64_t lease) -> absl::StatusOr<Lease> {
        const Fate fate = beginCall(state, StoreCall::LeaseKeepAlive, wait);
        return fate == Fate::Serve ? renewNow(state, lease) : statusOf(fate);
    };
    store.m_revokeLease = [&state, wait](StorePurpose, int64_t lease) {
        const Fate fate = beginCall(state, StoreCall::LeaseRevoke, wait);
        return fate == Fate::Serve ? revokeNow(state, lease) : statusOf(fate);
    };
    store.m_watch = [&state](const WatchRequest &request, const WatchSink &sink, StopSignal &stop) {
        return watchLocal(state, request, sink, stop);
    };
    return store;
}

//-----------------------------------------------------------------------------
// [SECTION] Server
//-----------------------------------------------------------------------------

namespace {

using nlohmann::json;

constexpr int ServerThreads = 64; ///< a pending watch holds one
constexpr time_t KeepAliveSeconds = 3; ///< a stop waits this long for idle connections; clients keep them for less
constexpr milliseconds SilentLimit{3'000}; ///< a silent call is held at most this long

//--- JSON of the gateway, the server's side

int64_t readInt(const json &object, const char *name)
{
    const auto position = object.find(name);
    if (position == object.end()) {
        return 0;
    }
    if (position->is_number_integer()) {
        return position->get<int64_t>();
    }
    int64_t number = 0;
    if (position->is_string()) {
        const auto &text = position->get_ref<const std::string &>();
        std::from_chars(text.data(), text.data() + text.size(), number);
    }
    return number;
}

std::string readBytes(const json &object, const char *name)
{
    const auto position = object.find(name);
    if (position == object.end() || !position->is_string()) {
        return {};
    }
    return fromBase64(position->get_ref<const std::string &>()).value_or("");
}

json header(int64_t revision)
{
    return {{"cluster_id", "1"}, {"member_id", "1"}, {"revision", std::to_string(revision)}, {"raft_term", "1"}};
}

/** Members with default values are left out, as the gateway does. */
json writeEntry(const KeyValue &entry)
{
    json value = {{"key", toBase64(entry.m_key)}, {"mod_revision", std::to_string(entry.m_modRevision)}};
    if (entry.m_createRevision != 0) {
        value["create_revision"] = std::to_string(entry.m_createRevision);
    }
    if (entry.m_version != 0) {
        value["version"] = std::to_string(entry.m_version);
    }
    if (!entry.m_value.empty()) {
        value["value"] = toBase64(entry.m_value);
    }
    if (entry.m_lease != 0) {
        value["lease"] = std::to_string(entry.m_lease);
    }
    return value;
}

json writeEntries(const std::vector<KeyValue> &entries)
{
    json values = json::array();
    for (const KeyValue &entry : entries) {
        values.push_back(writeEntry(entry));
    }
    return values;
}

RangeRequest readRange(const json &body)
{
    RangeRequest request;
    request.m_key = readBytes(body, "key");
    request.m_end = readBytes(body, "range_end");
    request.m_limit = readInt(body, "limit");
    request.m_revision = readInt(body, "revision");
    request.m_minModRevision = readInt(body, "min_mod_revision");
    return request;
}

json writeRangeAnswer(const RangeAnswer &answer)
{
    json body = {{"header", header(answer.m_revision)}};
    if (!answer.m_entries.empty()) {
        body["kvs"] = writeEntries(answer.m_entries);
        body["count"] = std::to_string(answer.m_entries.size());
    }
    if (answer.m_more) {
        body["more"] = true;
    }
    return body;
}

template<size_t Count>
size_t indexOf(const std::array<std::string_view, Count> &names, const json &object, const char *name)
{
    const std::string text = object.value(name, std::string(names[0]));
    const auto position = std::find(names.begin(), names.end(), text);
    return position == names.end() ? 0 : static_cast<size_t>(position - names.begin());
}

Compare readCompare(const json &value)
{
    // In the order of etcd's enums, whose first values are the defaults.
    constexpr std::array<std::string_view, 4> Targets = {"VERSION", "CREATE", "MOD", "VALUE"};
    constexpr std::array<CompareTarget, 4> TargetValues = {
        CompareTarget::Version, CompareTarget::CreateRevision, CompareTarget::ModRevision, CompareTarget::Value};
    constexpr std::array<const char *, 4> Members = {"version", "create_revision", "mod_revision", "value"};
    constexpr std::array<std::string_view, 4> Results = {"EQUAL", "GREATER", "LESS", "NOT_EQUAL"};
    constexpr std::array<CompareResult, 4> ResultValues = {
        CompareResult::Equal, CompareResult::Greater, CompareResult::Less, CompareResult::NotEqual};
    const size_t target = indexOf(Targets, value, "target");
    Compare compare;
    compare.m_key = readBytes(value, "key");
    compare.m_target = TargetValues.at(target);
    compare.m_result = ResultValues.at(indexOf(Results, value, "result"));
    if (compare.m_target == CompareTarget::Value) {
        compare.m_value = readBytes(value, "value");
    } else {
        compare.m_number = readInt(value, Members.at(target));
    }
    return compare;
}

const json *firstOf(const json &object, const char *camelCase, const char *snakeCase)
{
    for (const char *name : {camelCase, snakeCase}) {
        const auto position = object.find(name);
        if (position != object.end() && position->is_object()) {
            return &*position;
        }
    }
    return nullptr;
}

std::optional<Operation> readOperation(const json &value)
{
    if (const json *put = firstOf(value, "requestPut", "request_put")) {
        Operation operation;
        operation.m_key = readBytes(*put, "key");
        operation.m_value = readBytes(*put, "value");
        operation.m_lease = readInt(*put, "lease");
        return operation;
    }
    if (const json *range = firstOf(value, "requestDeleteRange", "request_delete_range")) {
        Operation operation;
        operation.m_kind = OperationKind::Delete;
        operation.m_key = readBytes(*range, "key");
        operation.m_end = readBytes(*range, "range_end");
        return operation;
    }
    return std::nullopt;
}

std::optional<Transaction> readTransaction(const json &body)
{
    Transaction transaction;
    for (const json &value : body.value("compare", json::array())) {
        transaction.m_compares.push_back(readCompare(value));
    }
    for (const json &value : body.value("success", json::array())) {
        const std::optional<Operation> operation = readOperation(value);
        if (!operation) {
            return std::nullopt;
        }
        transaction.m_operations.push_back(*operation);
    }
    for (const json &value : body.value("failure", json::array())) {
        const json *range = firstOf(value, "requestRange", "request_range");
        if (!range) {
            return std::nullopt;
        }
        transaction.m_readOnFailure.push_back(readBytes(*range, "key"));
    }
    return transaction;
}

json writeTransactionAnswer(const Transaction &transaction, const TransactionAnswer &answer)
{
    json body = {{"header", header(answer.m_revision)}, {"responses", json::array()}};
    if (answer.m_succeeded) {
        body["succeeded"] = true;
        for (const Operation &operation : transaction.m_operations) {
            const char *name = operation.m_kind == OperationKind::Put ? "response_put" : "response_delete_range";
            body["responses"].push_back({{name, {{"header", {{"revision", std::to_string(answer.m_revision)}}}}}});
        }
        return body;
    }
    for (const std::string &key : transaction.m_readOnFailure) {
        RangeAnswer range;
        range.m_revision = answer.m_revision;
        std::copy_if(answer.m_entries.begin(), answer.m_entries.end(), std::back_inserter(range.m_entries), [&key](const KeyValue &entry) {
            return entry.m_key == key;
        });
        body["responses"].push_back({{"response_range", writeRangeAnswer(range)}});
    }
    return body;
}

//--- HTTP

void answerJson(httplib::Response &response, const json &body)
{
    response.set_content(body.dump(), "application/json");
}

/** Closes the connection without an answer. */
void answerNothing(httplib::Response &response)
{
    response.set_content_provider(1, "application/json", [](size_t, size_t, httplib::DataSink &) { return false; });
}

void answerStatus(httplib::Response &response, const absl::Status &status)
{
    constexpr int GrpcInvalidArgument = 3;
    constexpr int GrpcNotFound = 5;
    constexpr int GrpcResourceExhausted = 8;
    constexpr int GrpcOutOfRange = 11;
    constexpr int GrpcUnavailable = 14;
    int code = GrpcUnavailable;
    response.status = 503;
    if (absl::IsNotFound(status)) {
        code = GrpcNotFound;
        response.status = 404;
    } else if (absl::IsOutOfRange(status)) {
        code = GrpcOutOfRange;
        response.status = 400;
    } else if (absl::IsResourceExhausted(status)) {
        code = GrpcResourceExhausted;
        response.status = 429;
    } else if (absl::IsInvalidArgument(status)) {
        code = GrpcInvalidArgument;
        response.status = 400;
    }
    const std::string message(status.message());
    answerJson(response, {{"error", message}, {"code", code}, {"message", message}});
}

/** Ends calls that are not served. @return true when the call is served. */
bool passFate(StoreServer &server, Fate fate, httplib::Response &response)
{
    if (fate == Fate::Serve) {
        return true;
    }
    if (fate == Fate::DropRequest || fate == Fate::Defer || fate == Fate::LoseAnswer) {
        bool silent = false;
        {
            const std::lock_guard lock(server.m_state->m_mutex);
            silent = server.m_state->m_faults.m_silent;
        }
        if (silent) {
            sleepFor(*server.m_state->m_clock, server.m_stop, SilentLimit);
        }
        answerNothing(response);
        return false;
    }
    answerStatus(response, statusOf(fate));
    return false;
}

std::optional<json> readBody(const httplib::Request &request, httplib::Response &response)
{
    json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        answerStatus(response, absl::InvalidArgumentError("the body is not a JSON object"));
        return std::nullopt;
    }
    return body;
}

void serveRange(StoreServer &server, const json &body, httplib::Response &response)
{
    if (!passFate(server, beginCall(*server.m_state, StoreCall::Range, {}), response)) {
        return;
    }
    absl::StatusOr<RangeAnswer> answer = absl::UnknownError("");
    {
        const std::lock_guard lock(server.m_state->m_mutex);
        answer = rangeNow(*server.m_state, readRange(body));
    }
    if (!answer.ok()) {
        answerStatus(response, answer.status());
        return;
    }
    answerJson(response, writeRangeAnswer(*answer));
}

void serveTransaction(StoreServer &server, const json &body, httplib::Response &response)
{
    const std::optional<Transaction> transaction = readTransaction(body);
    if (!transaction) {
        answerStatus(response, absl::InvalidArgumentError("the transaction has an unknown operation"));
        return;
    }
    const Fate fate = beginCall(*server.m_state, StoreCall::Transaction, {});
    const absl::StatusOr<TransactionAnswer> answer = transactFated(*server.m_state, *transaction, fate);
    if (!passFate(server, fate, response)) {
        return;
    }
    if (!answer.ok()) {
        answerStatus(response, answer.status());
        return;
    }
    answerJson(response, writeTransactionAnswer(*transaction, *answer));
}

json writeLease(const Lease &lease)
{
    const auto whole = std::chrono::duration_cast<seconds>(lease.m_timeToLive);
    return {{"header", header(1)}, {"ID", std::to_string(lease.m_identifier)}, {"TTL", std::to_string(whole.count())}};
}

void serveGrant(StoreServer &server, const json &body, httplib::Response &response)
{
    if (!passFate(server, beginCall(*server.m_state, StoreCall::LeaseGrant, {}), response)) {
        return;
    }
    answerJson(response, writeLease(*grantNow(*server.m_state, seconds(readInt(body, "TTL")))));
}

void serveKeepAlive(StoreServer &server, const json &body, httplib::Response &response)
{
    if (!passFate(server, beginCall(*server.m_state, StoreCall::LeaseKeepAlive, {}), response)) {
        return;
    }
    const int64_t identifier = readInt(body, "ID");
    const absl::StatusOr<Lease> lease = renewNow(*server.m_state, identifier);
    // The gateway answers an expired lease without TTL, since 0 is the default.
    const json expired = {{"header", header(1)}, {"ID", std::to_string(identifier)}};
    answerJson(response, {{"result", lease.ok() ? writeLease(*lease) : expired}});
}

void serveRevoke(StoreServer &server, const json &body, httplib::Response &response)
{
    if (!passFate(server, beginCall(*server.m_state, StoreCall::LeaseRevoke, {}), response)) {
        return;
    }
    const absl::Status status = revokeNow(*server.m_state, readInt(body, "ID"));
    if (!status.ok()) {
        answerStatus(response, status);
        return;
    }
    answerJson(response, {{"header", header(1)}});
}

json writeWatchBatch(const WatchBatch &batch)
{
    json result = {{"header", header(batch.m_revision)}};
    if (!batch.m_events.empty()) {
        result["events"] = json::array();
    }
    for (const WatchEvent &event : batch.m_events) {
        json value = {{"kv", writeEntry(event.m_entry)}};
        if (event.m_kind == OperationKind::Delete) {
            value["type"] = "DELETE";
        }
        result["events"].push_back(std::move(value));
    }
    return {{"result", std::move(result)}};
}

bool writeLine(httplib::DataSink &sink, const json &value)
{
    const std::string line = value.dump() + '\n';
    return sink.write(line.data(), line.size());
}

/** Writes the stream of one watch. @return false: close the connection. */
bool streamWatch(StoreServer &server, WatchCursor &cursor, httplib::DataSink &sink)
{
    if (!writeLine(sink, {{"result", {{"header", header(cursor.m_next - 1)}, {"created", true}}}})) {
        return false;
    }
    while (true) {
        const auto batch = nextBatch(*server.m_state, cursor, [&server] { return isStopped(server.m_stop); });
        if (!batch.ok() && absl::IsOutOfRange(batch.status())) {
            writeLine(sink, {{"result", {{"header", header(1)}, {"canceled", true}, {"compact_revision", std::to_string(cursor.m_next)}}}});
            return false;
        }
        if (!batch.ok() || !*batch || !writeLine(sink, writeWatchBatch(**batch))) {
            return false;
        }
    }
}

void serveWatch(StoreServer &server, const json &body, httplib::Response &response)
{
    if (!passFate(server, beginCall(*server.m_state, StoreCall::Watch, {}), response)) {
        return;
    }
    const json create = body.value("create_request", json::object());
    auto cursor = std::make_shared<WatchCursor>(
        openWatch(*server.m_state, readBytes(create, "key"), readInt(create, "start_revision"), ProgressInterval));
    response.set_chunked_content_provider(
        "application/json",
        [&server, cursor](size_t, httplib::DataSink &sink) { return streamWatch(server, *cursor, sink); },
        [&server](bool) { closeWatch(*server.m_state); });
}

using Handler = void (*)(StoreServer &, const json &, httplib::Response &);

void addRoute(StoreServer &server, const std::string &path, Handler handler)
{
    server.m_server->Post(path, [&server, handler](const httplib::Request &request, httplib::Response &response) {
        const std::optional<json> body = readBody(request, response);
        if (body) {
            handler(server, *body, response);
        }
    });
}

} // namespace

StoreServer::StoreServer() : m_server(std::make_unique<httplib::Server>())
{
}

StoreServer::~StoreServer()
{
    stopStoreServer(*this);
}

std::unique_ptr<StoreServer> startStoreServer(KeyValueState &state, int port)
{
    assert(state.m_clock);
    auto server = std::make_unique<StoreServer>();
    server->m_state = &state;
    server->m_server->new_task_queue = [] { return new httplib::ThreadPool(ServerThreads); };
    server->m_server->set_tcp_nodelay(true);
    server->m_server->set_keep_alive_max_count(1'000'000);
    server->m_server->set_keep_alive_timeout(KeepAliveSeconds);
    addRoute(*server, "/v3/kv/range", serveRange);
    addRoute(*server, "/v3/kv/txn", serveTransaction);
    addRoute(*server, "/v3/lease/grant", serveGrant);
    addRoute(*server, "/v3/lease/keepalive", serveKeepAlive);
    addRoute(*server, "/v3/lease/revoke", serveRevoke);
    addRoute(*server, "/v3/watch", serveWatch);
    server->m_address.m_host = "127.0.0.1";
    if (port == 0) {
        port = server->m_server->bind_to_any_port("127.0.0.1");
    } else if (!server->m_server->bind_to_port("127.0.0.1", port)) {
        port = -1;
    }
    if (port < 0) {
        return nullptr;
    }
    server->m_address.m_port = port;
    server->m_thread = std::thread([raw = server.get()] { raw->m_server->listen_after_bind(); });
    while (!server->m_server->is_running()) {
        std::this_thread::yield();
    }
    return server;
}

void stopStoreServer(StoreServer &server)
{
    if (!server.m_thread.joinable()) {
        return;
    }
    requestStop(server.m_stop);
    server.m_state->m_changed.notify_all();
    server.m_server->stop();
    server.m_thread.join();
}

} // namespace Medlarramp
