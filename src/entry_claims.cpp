// Claims of non-idempotent stages: the shell around the owner and holder state machines of durable.h. The machines run under
// one lock; store calls and messages are made without it.

#include <algorithm>
#include <deque>

#include <fmt/format.h>

#include "entry_durable.h"

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] Store shell
//-----------------------------------------------------------------------------

DurableTime durableTime(const Clock &clock)
{
    return {now(clock), wallMilliseconds(clock)};
}

namespace {

int64_t heldLease(NodeLease &lease, TimePoint now)
{
    const std::lock_guard lock(lease.m_mutex);
    return isLeaseHeld(lease.m_state, now) ? lease.m_state.m_id : 0;
}

Transaction toTransaction(const StoreWrite &write, StorePurpose purpose, int64_t lease)
{
    Transaction transaction;
    transaction.m_purpose = purpose;
    for (const KeyCompare &compare : write.m_compares) {
        transaction.m_compares.push_back(revisionEquals(compare.m_key, compare.m_modRevision));
    }
    for (const KeyPut &put : write.m_puts) {
        transaction.m_operations.push_back(putOperation(put.m_key, put.m_value, put.m_leased ? lease : 0));
    }
    for (const std::string &key : write.m_deletes) {
        transaction.m_operations.push_back(deleteOperation(key));
    }
    return transaction;
}

bool needsLease(const StoreWrite &write)
{
    return std::any_of(write.m_puts.begin(), write.m_puts.end(), [](const KeyPut &put) { return put.m_leased; });
}

StoreOutcome carryOut(const Store &store, StorePurpose purpose, const StoreWrite &write, int64_t lease)
{
    StoreOutcome outcome;
    outcome.m_mark = write.m_mark;
    if (needsLease(write) && lease == 0) {
        return outcome; // Unknown: sent again when there is a lease
    }
    const absl::StatusOr<TransactionAnswer> answer = store.m_transact(toTransaction(write, purpose, lease));
    if (answer.ok()) {
        outcome.m_result = answer->m_succeeded ? StoreWriteResult::Applied : StoreWriteResult::NotApplied;
        outcome.m_revision = answer->m_revision;
    }
    return outcome;
}

void addItems(StoreRange &range, const RangeAnswer &answer, bool keysOnly)
{
    for (const KeyValue &entry : answer.m_entries) {
        range.m_items.push_back({entry.m_key, keysOnly ? std::string() : entry.m_value, entry.m_modRevision});
    }
    range.m_more = answer.m_more;
}

StoreRange readKeys(const Store &store, StorePurpose purpose, const StoreRead &read)
{
    StoreRange range;
    range.m_tag = read.m_tag;
    for (const std::string &key : read.m_keys) {
        const absl::StatusOr<RangeAnswer> answer = store.m_range(keyRange(purpose, key));
        if (!answer.ok()) {
            return {read.m_tag, false, false, {}};
        }
        addItems(range, *answer, false);
    }
    range.m_answered = true;
    range.m_more = false;
    return range;
}

StoreRange readPrefix(const Store &store, StorePurpose purpose, const StoreRead &read)
{
    StoreRange range;
    range.m_tag = read.m_tag;
    RangeRequest request = prefixRange(purpose, read.m_prefix);
    if (!read.m_from.empty()) {
        request.m_key = read.m_from;
    }
    request.m_limit = read.m_limit;
    const absl::StatusOr<RangeAnswer> answer = store.m_range(request);
    if (answer.ok()) {
        range.m_answered = true;
        addItems(range, *answer, read.m_keysOnly);
    }
    return range;
}

} // namespace

StoreCalls makeStoreCalls(const Store &store, StorePurpose purpose, NodeLease &lease, const Clock &clock)
{
    StoreCalls calls;
    calls.m_transact = [&store, purpose, &lease, &clock](const StoreWrite &write) {
        return carryOut(store, purpose, write, heldLease(lease, now(clock)));
    };
    calls.m_range = [&store, purpose](const StoreRead &read) {
        return read.m_keys.empty() ? readPrefix(store, purpose, read) : readKeys(store, purpose, read);
    };
    return calls;
}

//-----------------------------------------------------------------------------
// [SECTION] Lease
//-----------------------------------------------------------------------------

void runLease(NodeLease &lease, const Store &store, const Clock &clock, StopSignal &stop)
{
    constexpr milliseconds LeaseTick{50};
    Random random{entropySeed()};
    while (sleepFor(clock, stop, LeaseTick)) {
        if (!lease.m_wanted) {
            continue;
        }
        LeaseAction action = LeaseAction::None;
        int64_t id = 0;
        Duration timeToLive{};
        {
            const std::lock_guard lock(lease.m_mutex);
            action = leaseTimer(lease.m_state, now(clock), random);
            id = lease.m_state.m_id;
            timeToLive = lease.m_state.m_timeToLive;
        }
        if (action == LeaseAction::None) {
            continue;
        }
        const bool grant = action == LeaseAction::Grant;
        const absl::StatusOr<Lease> answer =
            grant ? store.m_grantLease(StorePurpose::Leases, timeToLive) : store.m_keepAlive(StorePurpose::Leases, id);
        const bool gone = !answer.ok() && answer.status().code() == absl::StatusCode::kNotFound;
        const std::lock_guard lock(lease.m_mutex);
        leaseAnswered(lease.m_state, answer.ok() || gone, answer.ok() ? answer->m_identifier : 0, now(clock));
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Claims
//-----------------------------------------------------------------------------

namespace {

// The first byte of a request to the owner says which message follows.
constexpr char ClaimCallKind = 'c';
constexpr char ReportCallKind = 'r';
// An owner holds the connection of a claim this long; afterwards the holder asks again.
constexpr milliseconds OwnerAnswerLimit{500};
constexpr milliseconds OwnerObserveInterval{500};
constexpr milliseconds ClaimTick{5};
constexpr milliseconds PeerCallLimit{700}; ///< above OwnerAnswerLimit and a round trip
constexpr size_t MaxOpenHolders = 20'000;

/** An owner with its store actions that wait to be carried out. */
struct OwnedPartition {
    ClaimOwner m_owner;
    std::deque<StoreActions> m_pending;
};

} // namespace

struct ClaimService {
    Blackboard &m_board;
    const Store &m_store;
    NodeLease &m_lease;
    std::atomic<Transport *> m_transport = nullptr;
    Identifier m_process; ///< of this process: hash of the node name, boot number
    std::string m_node; ///< unique for this process
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<OwnedPartition> m_partitions;
    std::vector<std::string> m_ownerAddresses; ///< by partition; empty: not known
    std::map<Identifier, ClaimAnswer> m_answers; ///< by call, until the waiting thread takes them
    std::set<Identifier> m_waiting; ///< calls with a thread that waits for an answer
    std::set<Identifier> m_acknowledged; ///< reports whose thread waits
    std::map<Identifier, ClaimHolder> m_holders; ///< calls of this process, by call
    Random m_random;
};

std::shared_ptr<ClaimService> makeClaimService(Blackboard &board, const Store &store, NodeLease &lease)
{
    auto service = std::shared_ptr<ClaimService>(new ClaimService{board, store, lease});
    service->m_random.m_state = entropySeed();
    const Settings &settings = board.m_settings;
    service->m_process = {hash64(settings.m_node), entropySeed()};
    service->m_node = fmt::format("{}/{:016x}", settings.m_node, service->m_process.m_low);
    for (int64_t i = 0; i < settings.m_claimPartitions; ++i) {
        service->m_partitions.push_back({makeClaimOwner(static_cast<int>(i), service->m_node, toString(settings.m_peer)), {}});
        service->m_ownerAddresses.emplace_back();
    }
    return service;
}

void attachTransport(ClaimService &service, Transport *transport)
{
    const std::lock_guard lock(service.m_mutex);
    service.m_transport = transport;
    if (!transport) {
        return;
    }
    // The boot number is known to the other members, so they can tell when this process is gone.
    const auto view = members(*transport);
    service.m_process.m_low = view->m_self.m_boot;
    service.m_node = fmt::format("{}/{:016x}", service.m_board.m_settings.m_node, service.m_process.m_low);
    for (OwnedPartition &partition : service.m_partitions) {
        partition.m_owner.m_node = service.m_node;
        partition.m_owner.m_address = toString(view->m_self.m_address);
    }
}

namespace {

std::string ownAddress(ClaimService &service)
{
    Transport *transport = service.m_transport;
    return transport ? toString(members(*transport)->m_self.m_address) : toString(service.m_board.m_settings.m_peer);
}

/** Keeps answers for waiting threads and queues store actions. The caller holds the lock. */
void take(ClaimService &service, OwnedPartition &partition, OwnerActions actions)
{
    for (AddressedClaimAnswer &answer : actions.m_answers) {
        if (service.m_waiting.contains(answer.m_answer.m_call)) {
            service.m_answers[answer.m_answer.m_call] = std::move(answer.m_answer);
        }
    }
    for (const AddressedReportAck &ack : actions.m_acks) {
        if (service.m_waiting.contains(ack.m_call)) {
            service.m_acknowledged.insert(ack.m_call);
        }
    }
    if (!actions.m_store.m_writes.empty() || !actions.m_store.m_reads.empty()) {
        partition.m_pending.push_back(std::move(actions.m_store));
    }
    if (actions.m_startedServing) {
        writeLog(LogLevel::Info, "claims", "Partition served.", {{"partition", fmt::format("{}", partition.m_owner.m_partition)}});
    }
    if (actions.m_steppedDown) {
        writeLog(LogLevel::Warning, "claims", "Partition given up.", {{"partition", fmt::format("{}", partition.m_owner.m_partition)}});
    }
    for (const Finding &finding : actions.m_findings) {
        writeLog(LogLevel::Error, "claims", "Malformed segment.", {{"place", finding.m_pointer}, {"finding", finding.m_reason}});
    }
    service.m_changed.notify_all();
}

OwnedPartition &partitionFor(ClaimService &service, const Identifier &key)
{
    return service.m_partitions[static_cast<size_t>(partitionOf(key, static_cast<int>(service.m_partitions.size())))];
}

/** Serves a claim on this node; waits until the owner machine has answered. */
std::optional<ClaimAnswer> serveClaim(ClaimService &service, const ClaimRequest &request)
{
    const Clock &clock = service.m_board.m_clock;
    std::unique_lock lock(service.m_mutex);
    service.m_waiting.insert(request.m_call);
    OwnedPartition &partition = partitionFor(service, request.m_key);
    take(service, partition, receiveClaim(partition.m_owner, request, durableTime(clock), service.m_random));
    waitUntil(clock, lock, service.m_changed, now(clock) + OwnerAnswerLimit, [&] { return service.m_answers.contains(request.m_call); });
    service.m_waiting.erase(request.m_call);
    const auto found = service.m_answers.find(request.m_call);
    if (found == service.m_answers.end()) {
        return std::nullopt;
    }
    std::optional<ClaimAnswer> answer = std::move(found->second);
    service.m_answers.erase(found);
    return answer;
}

/** Serves a report on this node. @return true once it is durable or needs not be kept. */
bool serveReport(ClaimService &service, const ClaimReport &report)
{
    const Clock &clock = service.m_board.m_clock;
    std::unique_lock lock(service.m_mutex);
    service.m_waiting.insert(report.m_call);
    OwnedPartition &partition = partitionFor(service, report.m_key);
    take(service, partition, receiveReport(partition.m_owner, report, durableTime(clock), service.m_random));
    waitUntil(
        clock, lock, service.m_changed, now(clock) + OwnerAnswerLimit, [&] { return service.m_acknowledged.contains(report.m_call); });
    service.m_waiting.erase(report.m_call);
    return service.m_acknowledged.erase(report.m_call) > 0;
}

} // namespace

std::string answerClaimCall(ClaimService &service, const std::string &payload)
{
    if (payload.empty()) {
        return {};
    }
    const std::string body = payload.substr(1);
    if (payload.front() == ClaimCallKind) {
        const absl::StatusOr<ClaimRequest> request = decodeClaimRequest(body);
        const std::optional<ClaimAnswer> answer = request.ok() ? serveClaim(service, *request) : std::nullopt;
        return answer ? encode(*answer) : std::string();
    }
    if (payload.front() == ReportCallKind) {
        const absl::StatusOr<ClaimReport> report = decodeClaimReport(body);
        const bool acknowledged = report.ok() && serveReport(service, *report);
        return acknowledged ? encode(ClaimReportAck{report->m_key, report->m_call}) : std::string();
    }
    return {};
}

namespace {

/** Reads who owns the partition of a key. */
void lookUpOwner(ClaimService &service, size_t partition)
{
    const absl::StatusOr<RangeAnswer> answer =
        service.m_store.m_range(keyRange(StorePurpose::Claims, ownerKey(static_cast<int>(partition))));
    if (!answer.ok()) {
        return;
    }
    std::string address;
    if (!answer->m_entries.empty()) {
        const absl::StatusOr<OwnerRecord> record = parseOwnerRecord(answer->m_entries.front().m_value);
        address = record.ok() ? record->m_address : std::string();
    }
    const std::lock_guard lock(service.m_mutex);
    service.m_ownerAddresses[partition] = address;
}

std::string knownOwner(ClaimService &service, size_t partition)
{
    const std::lock_guard lock(service.m_mutex);
    return service.m_ownerAddresses[partition];
}

/** Sends a request to the owner of a key and returns its answer; empty when there is none. */
std::string askOwner(ClaimService &service, const Identifier &key, const std::string &payload, TimePoint deadline)
{
    const auto partition = static_cast<size_t>(partitionOf(key, static_cast<int>(service.m_partitions.size())));
    if (knownOwner(service, partition).empty()) {
        lookUpOwner(service, partition);
    }
    const std::string owner = knownOwner(service, partition);
    if (owner.empty()) {
        return {};
    }
    if (owner == ownAddress(service)) {
        return answerClaimCall(service, payload);
    }
    Transport *transport = service.m_transport;
    const std::optional<Address> address = parseAddress(owner);
    if (!transport || !address) {
        return {};
    }
    const TimePoint limit = std::min<TimePoint>(deadline, now(service.m_board.m_clock) + PeerCallLimit);
    const absl::StatusOr<std::string> answer = callPeer(*transport, *address, payload, limit);
    if (!answer.ok()) {
        countDrop(*service.m_board.m_metrics, Reason::PeerUnreachable);
        const std::lock_guard lock(service.m_mutex);
        service.m_ownerAddresses[partition].clear();
        return {};
    }
    return *answer;
}

void forgetOwner(ClaimService &service, const Identifier &key)
{
    const auto partition = static_cast<size_t>(partitionOf(key, static_cast<int>(service.m_partitions.size())));
    const std::lock_guard lock(service.m_mutex);
    service.m_ownerAddresses[partition].clear();
}

/** Sends the holder's claim and hands the answer back to its machine. */
HolderActions ask(ClaimService &service, ClaimHolder &holder, const ClaimRequest &request)
{
    const std::string payload = ClaimCallKind + encode(request);
    const std::string bytes = askOwner(service, request.m_key, payload, holder.m_deadline);
    const absl::StatusOr<ClaimAnswer> answer = decodeClaimAnswer(bytes);
    if (bytes.empty() || !answer.ok()) {
        return {};
    }
    return claimAnswered(holder, *answer, now(service.m_board.m_clock));
}

void keepHolder(ClaimService &service, const ClaimHolder &holder)
{
    const std::lock_guard lock(service.m_mutex);
    if (service.m_holders.size() < MaxOpenHolders) {
        service.m_holders.emplace(holder.m_request.m_call, holder);
    }
}

ClaimDecision claim(ClaimService &service, const Identifier &key, uint64_t bodyHash, TimePoint deadline)
{
    const Clock &clock = service.m_board.m_clock;
    ClaimRequest request;
    request.m_key = key;
    request.m_call = makeIdentifier(clock);
    request.m_holder = service.m_process;
    request.m_bodyHash = bodyHash;
    request.m_runMilliseconds = std::chrono::duration_cast<milliseconds>(deadline - now(clock)).count();
    ClaimHolder holder;
    HolderActions actions = startClaim(holder, request, deadline, now(clock));
    StopSignal never;
    while (true) {
        if (actions.m_ask) {
            const HolderActions next = ask(service, holder, *actions.m_ask);
            if (next.m_lookUpOwner) {
                forgetOwner(service, key);
            }
            actions = next;
        }
        if (actions.m_run) {
            keepHolder(service, holder);
            return {true, request.m_call, std::nullopt, Outcome::Unknown, Reason::None};
        }
        if (actions.m_verdict) {
            keepHolder(service, holder);
            const ClaimVerdict &verdict = *actions.m_verdict;
            const bool answered = verdict.m_outcome == Outcome::Answered;
            return {false, request.m_call, answered ? std::optional(verdict.m_answer) : std::nullopt, verdict.m_outcome, verdict.m_reason};
        }
        if (!actions.m_ask) {
            const TimePoint current = now(clock);
            sleepFor(clock, never, std::max<Duration>(holderNextTimer(holder) - current, Duration(ClaimTick)));
            actions = holderTimer(holder, now(clock));
        }
    }
}

void finish(ClaimService &service, const Identifier &call, Outcome outcome, const std::string &answer)
{
    const std::lock_guard lock(service.m_mutex);
    const auto found = service.m_holders.find(call);
    if (found != service.m_holders.end()) {
        runEnded(found->second, outcome, answer, now(service.m_board.m_clock));
        service.m_changed.notify_all();
    }
}

/** Reports that are due, with their holders' calls. */
std::vector<ClaimReport> dueReports(ClaimService &service)
{
    std::vector<ClaimReport> reports;
    const TimePoint current = now(service.m_board.m_clock);
    const std::lock_guard lock(service.m_mutex);
    for (auto position = service.m_holders.begin(); position != service.m_holders.end();) {
        ClaimHolder &holder = position->second;
        if (isHolderClosed(holder, current)) {
            position = service.m_holders.erase(position);
            continue;
        }
        if (holder.m_report && holderNextTimer(holder) <= current) {
            const HolderActions actions = holderTimer(holder, current);
            if (actions.m_report) {
                reports.push_back(*actions.m_report);
            }
        }
        ++position;
    }
    return reports;
}

} // namespace

ClaimCalls makeClaimCalls(const std::shared_ptr<ClaimService> &service)
{
    ClaimCalls calls;
    calls.m_claim = [service](const Identifier &key, uint64_t bodyHash, TimePoint deadline) {
        return claim(*service, key, bodyHash, deadline);
    };
    calls.m_finish = [service](const Identifier &call, Outcome outcome, const std::string &answer) {
        finish(*service, call, outcome, answer);
    };
    return calls;
}

void runClaimReports(ClaimService &service, StopSignal &stop)
{
    const Clock &clock = service.m_board.m_clock;
    do {
        for (const ClaimReport &report : dueReports(service)) {
            const TimePoint limit = now(clock) + PeerCallLimit;
            const absl::StatusOr<ClaimReportAck> ack =
                decodeClaimReportAck(askOwner(service, report.m_key, ReportCallKind + encode(report), limit));
            const std::lock_guard lock(service.m_mutex);
            const auto holder = service.m_holders.find(report.m_call);
            if (ack.ok() && holder != service.m_holders.end()) {
                reportAcknowledged(holder->second, *ack);
            }
        }
    } while (sleepFor(clock, stop, ClaimTick));
}

namespace {

/** Whether this node should own the partition, by the live members that are not draining. */
bool isPreferred(ClaimService &service, int partition)
{
    Transport *transport = service.m_transport;
    if (service.m_board.m_draining) {
        return false;
    }
    if (!transport) {
        return true;
    }
    std::vector<std::string> nodes;
    const auto view = members(*transport);
    for (const Member &member : view->m_live) {
        if (member.m_readiness != Readiness::Draining) {
            nodes.push_back(member.m_node);
        }
    }
    return preferredOwner(partition, nodes) == view->m_self.m_node;
}

void observeOwnerKey(ClaimService &service, OwnedPartition &partition, bool preferred)
{
    const absl::StatusOr<RangeAnswer> answer =
        service.m_store.m_range(keyRange(StorePurpose::Claims, ownerKey(partition.m_owner.m_partition)));
    if (!answer.ok()) {
        return;
    }
    std::optional<StoreItem> item;
    if (!answer->m_entries.empty()) {
        const KeyValue &entry = answer->m_entries.front();
        item = StoreItem{entry.m_key, entry.m_value, entry.m_modRevision};
    }
    const std::lock_guard lock(service.m_mutex);
    take(service, partition, ownerObserved(partition.m_owner, item, preferred, durableTime(service.m_board.m_clock), service.m_random));
}

/** Tells the owner which holders are no longer members, so that their claims become unknown instead of waiting. */
void observeHolders(ClaimService &service, OwnedPartition &partition)
{
    Transport *transport = service.m_transport;
    if (!transport) {
        return;
    }
    std::set<Identifier> live = {service.m_process};
    const auto view = members(*transport);
    for (const Member &member : view->m_live) {
        live.insert({hash64(member.m_node), member.m_boot});
    }
    const std::lock_guard lock(service.m_mutex);
    for (const Identifier &holder : holdersInProgress(partition.m_owner)) {
        if (!live.contains(holder)) {
            take(service, partition, holderGone(partition.m_owner, holder, durableTime(service.m_board.m_clock), service.m_random));
        }
    }
}

bool isInvolved(ClaimService &service, const OwnedPartition &partition)
{
    const std::lock_guard lock(service.m_mutex);
    return partition.m_owner.m_phase != OwnerPhase::Standby;
}

/** Waits for store actions or the next timer, whichever is first. */
std::optional<StoreActions> nextActions(ClaimService &service, OwnedPartition &partition)
{
    const Clock &clock = service.m_board.m_clock;
    std::unique_lock lock(service.m_mutex);
    const TimePoint current = now(clock);
    const TimePoint wake =
        std::min<TimePoint>(std::max(ownerNextTimer(partition.m_owner, current), current), current + OwnerObserveInterval);
    waitUntil(clock, lock, service.m_changed, wake, [&partition] { return !partition.m_pending.empty(); });
    if (partition.m_pending.empty()) {
        take(service, partition, ownerTimer(partition.m_owner, durableTime(clock), service.m_random));
    }
    if (partition.m_pending.empty()) {
        return std::nullopt;
    }
    StoreActions actions = std::move(partition.m_pending.front());
    partition.m_pending.pop_front();
    return actions;
}

void carryOutOwner(ClaimService &service, OwnedPartition &partition, const StoreCalls &calls, const StoreActions &actions)
{
    const Clock &clock = service.m_board.m_clock;
    runStoreActions(
        actions,
        calls,
        [&](const StoreOutcome &outcome) {
            const std::lock_guard lock(service.m_mutex);
            take(service, partition, storeAnswered(partition.m_owner, outcome, durableTime(clock), service.m_random));
        },
        [&](const StoreRange &range) {
            const std::lock_guard lock(service.m_mutex);
            take(service, partition, rangeAnswered(partition.m_owner, range, durableTime(clock), service.m_random));
        });
}

} // namespace

void runClaimOwner(ClaimService &service, int partition, StopSignal &stop)
{
    OwnedPartition &owned = service.m_partitions[static_cast<size_t>(partition)];
    const Clock &clock = service.m_board.m_clock;
    const StoreCalls calls = makeStoreCalls(service.m_store, StorePurpose::Claims, service.m_lease, clock);
    TimePoint nextObserve{};
    while (!isStopped(stop)) {
        const bool preferred = isPreferred(service, partition);
        const bool involved = preferred || isInvolved(service, owned);
        if (involved && now(clock) >= nextObserve) {
            service.m_lease.m_wanted = true;
            nextObserve = now(clock) + OwnerObserveInterval;
            observeOwnerKey(service, owned, preferred);
            observeHolders(service, owned);
        }
        if (const std::optional<StoreActions> actions = nextActions(service, owned)) {
            carryOutOwner(service, owned, calls, *actions);
        }
    }
}

void leaveClaims(ClaimService &service)
{
    constexpr seconds LeaveLimit{2};
    const Clock &clock = service.m_board.m_clock;
    std::unique_lock lock(service.m_mutex);
    for (OwnedPartition &partition : service.m_partitions) {
        take(service, partition, ownerLeave(partition.m_owner, durableTime(clock), service.m_random));
    }
    waitUntil(clock, lock, service.m_changed, now(clock) + LeaveLimit, [&service] {
        return std::all_of(service.m_partitions.begin(), service.m_partitions.end(), [](const OwnedPartition &partition) {
            return partition.m_owner.m_phase == OwnerPhase::Standby;
        });
    });
}

} // namespace Medlarramp
