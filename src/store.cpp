#include "store.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

std::string_view toString(StorePurpose purpose)
{
    constexpr std::array<std::string_view, static_cast<size_t>(StorePurpose::Count)> Names = {
        "configuration", "claims", "batch", "leases", "administration"};
    return Names.at(static_cast<size_t>(purpose));
}

std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff) {
        prefix.pop_back();
    }
    if (prefix.empty()) {
        return std::string(1, '\0'); // etcd: all keys from the first
    }
    prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1);
    return prefix;
}

RangeRequest prefixRange(StorePurpose purpose, const std::string &prefix)
{
    RangeRequest request;
    request.m_purpose = purpose;
    request.m_key = prefix;
    request.m_end = prefixEnd(prefix);
    return request;
}

RangeRequest keyRange(StorePurpose purpose, const std::string &key)
{
    RangeRequest request;
    request.m_purpose = purpose;
    request.m_key = key;
    return request;
}

Compare revisionEquals(std::string key, int64_t modRevision)
{
    Compare compare;
    compare.m_key = std::move(key);
    compare.m_number = modRevision;
    return compare;
}

Operation putOperation(std::string key, std::string value, int64_t lease)
{
    Operation operation;
    operation.m_key = std::move(key);
    operation.m_value = std::move(value);
    operation.m_lease = lease;
    return operation;
}

Operation deleteOperation(std::string key, std::string end)
{
    Operation operation;
    operation.m_kind = OperationKind::Delete;
    operation.m_key = std::move(key);
    operation.m_end = std::move(end);
    return operation;
}

bool mayHaveTakenEffect(const absl::Status &status)
{
    switch (status.code()) {
    case absl::StatusCode::kOk:
        return true;
    case absl::StatusCode::kUnavailable:
    case absl::StatusCode::kResourceExhausted:
    case absl::StatusCode::kInvalidArgument:
    case absl::StatusCode::kOutOfRange:
    case absl::StatusCode::kNotFound:
        return false;
    default:
        return true;
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Call guard
//-----------------------------------------------------------------------------

CallBudgets defaultBudgets(TimePoint at)
{
    const auto budget = [at](double perSecond, double burst) { return CallBudget{perSecond, burst, burst, at}; };
    CallBudgets budgets;
    budgets[static_cast<size_t>(StorePurpose::Configuration)] = budget(2, 200); // a full read takes about 100 pages
    budgets[static_cast<size_t>(StorePurpose::Claims)] = budget(60, 120);
    budgets[static_cast<size_t>(StorePurpose::Batch)] = budget(40, 80);
    budgets[static_cast<size_t>(StorePurpose::Leases)] = budget(4, 20);
    budgets[static_cast<size_t>(StorePurpose::Administration)] = budget(20, 60);
    return budgets;
}

bool takeCall(CallBudget &budget, TimePoint now)
{
    if (now > budget.m_at) {
        const double elapsed = std::chrono::duration<double>(now - budget.m_at).count();
        budget.m_tokens = std::min(budget.m_burst, budget.m_tokens + elapsed * budget.m_perSecond);
        budget.m_at = now;
    }
    if (budget.m_tokens < 1) {
        return false;
    }
    budget.m_tokens -= 1;
    return true;
}

Duration backoffDelay(Random &random, int attempt, Duration base, Duration cap)
{
    constexpr int MaxDoublings = 20;
    const Duration ceiling = std::min(cap, Duration(base.count() << std::clamp(attempt, 0, MaxDoublings)));
    return Duration(static_cast<int64_t>(uniformBelow(random, static_cast<uint64_t>(ceiling.count()) + 1)));
}

Duration returnSpread(int64_t nodes)
{
    return Duration(ReturnSpreadPer100Nodes) * std::max<int64_t>(nodes, 1) / 100;
}

bool admitCall(CircuitBreaker &breaker, TimePoint now)
{
    if (breaker.m_state == BreakerState::Closed) {
        return true;
    }
    if (now < breaker.m_probeAt) {
        return false;
    }
    breaker.m_state = BreakerState::Probing;
    breaker.m_probeAt = now + ProbeLimit;
    return true;
}

void recordSuccess(CircuitBreaker &breaker)
{
    breaker = CircuitBreaker();
}

void recordFailure(CircuitBreaker &breaker, TimePoint now, Random &random, int64_t nodes)
{
    ++breaker.m_failures;
    if (breaker.m_state == BreakerState::Closed && breaker.m_failures < BreakerThreshold) {
        return;
    }
    const int probes = breaker.m_failures - BreakerThreshold;
    const Duration spread = returnSpread(nodes);
    // A cluster whose spread exceeds the back-off keeps that spread, so all nodes together probe at a constant rate.
    const Duration delay = spread > BackoffCap ? backoffDelay(random, 0, spread, spread) : backoffDelay(random, probes + 1);
    breaker.m_state = BreakerState::Open;
    breaker.m_probeAt = now + delay;
}

namespace {

struct Guard {
    std::mutex m_mutex;
    CallBudgets m_budgets; ///< guarded by m_mutex
    CircuitBreaker m_breaker; ///< guarded by m_mutex
    Random m_random; ///< guarded by m_mutex
    const Clock *m_clock = nullptr;
    std::function<int64_t()> m_nodes;
    std::shared_ptr<StoreCounters> m_counters;
    Store m_inner;
};

void count(const Guard &guard, Reason reason)
{
    if (guard.m_counters) {
        ++guard.m_counters->m_refusals.at(static_cast<size_t>(reason));
    }
}

absl::Status admit(Guard &guard, StorePurpose purpose)
{
    const TimePoint at = now(*guard.m_clock);
    const std::lock_guard lock(guard.m_mutex);
    if (guard.m_breaker.m_state != BreakerState::Closed && at < guard.m_breaker.m_probeAt) {
        count(guard, Reason::StoreUnavailable);
        return absl::UnavailableError("the circuit breaker of the store is open");
    }
    if (!takeCall(guard.m_budgets.at(static_cast<size_t>(purpose)), at)) {
        count(guard, Reason::StoreBudgetExhausted);
        return absl::ResourceExhaustedError("the call budget of the store is used up");
    }
    admitCall(guard.m_breaker, at);
    if (guard.m_counters) {
        ++guard.m_counters->m_calls.at(static_cast<size_t>(purpose));
    }
    return absl::OkStatus();
}

/** Answers that show a store at work, even when it refuses the call. */
bool showsLife(const absl::Status &status)
{
    return status.ok() || absl::IsInvalidArgument(status) || absl::IsOutOfRange(status) || absl::IsNotFound(status);
}

void record(Guard &guard, const absl::Status &status)
{
    const int64_t nodes = guard.m_nodes ? guard.m_nodes() : 1;
    const std::lock_guard lock(guard.m_mutex);
    if (showsLife(status)) {
        recordSuccess(guard.m_breaker);
        return;
    }
    recordFailure(guard.m_breaker, now(*guard.m_clock), guard.m_random, nodes);
    count(guard, absl::IsResourceExhausted(status) ? Reason::UpstreamOverloaded : Reason::StoreUnavailable);
    if (guard.m_counters && mayHaveTakenEffect(status)) {
        ++guard.m_counters->m_lostAnswers;
    }
}

absl::Status statusOf(const absl::Status &status)
{
    return status;
}

template<typename T>
absl::Status statusOf(const absl::StatusOr<T> &result)
{
    return result.status();
}

template<typename Call>
auto guarded(Guard &guard, StorePurpose purpose, const Call &call) -> decltype(call())
{
    absl::Status admitted = admit(guard, purpose);
    if (!admitted.ok()) {
        return admitted;
    }
    auto result = call();
    record(guard, statusOf(result));
    return result;
}

/** A watch that delivered anything was alive; its later end says nothing about the store's health until it reopens. */
absl::Status guardedWatch(Guard &guard, const WatchRequest &request, const WatchSink &sink, StopSignal &stop)
{
    absl::Status admitted = admit(guard, request.m_purpose);
    if (!admitted.ok()) {
        return admitted;
    }
    bool delivered = false;
    const auto noteAndPass = [&](const WatchBatch &batch) {
        if (!delivered) {
            delivered = true;
            record(guard, absl::OkStatus());
        }
        return sink(batch);
    };
    absl::Status status = guard.m_inner.m_watch(request, noteAndPass, stop);
    if (!delivered || status.ok()) {
        record(guard, status);
    }
    return status;
}

} // namespace

Store guardStore(Store inner, const GuardOptions &options)
{
    assert(options.m_clock);
    auto guard = std::make_shared<Guard>();
    guard->m_budgets = options.m_budgets ? *options.m_budgets : defaultBudgets(now(*options.m_clock));
    guard->m_random.m_state = options.m_seed;
    guard->m_clock = options.m_clock;
    guard->m_nodes = options.m_nodes;
    guard->m_counters = options.m_counters;
    guard->m_inner = std::move(inner);
    Store store;
    store.m_range = [guard](const RangeRequest &request) {
        return guarded(*guard, request.m_purpose, [&] { return guard->m_inner.m_range(request); });
    };
    store.m_transact = [guard](const Transaction &transaction) {
        return guarded(*guard, transaction.m_purpose, [&] { return guard->m_inner.m_transact(transaction); });
    };
    store.m_grantLease = [guard](StorePurpose purpose, Duration timeToLive) {
        return guarded(*guard, purpose, [&] { return guard->m_inner.m_grantLease(purpose, timeToLive); });
    };
    store.m_keepAlive = [guard](StorePurpose purpose, int64_t lease) {
        return guarded(*guard, purpose, [&] { return guard->m_inner.m_keepAlive(purpose, lease); });
    };
    store.m_revokeLease = [guard](StorePurpose purpose, int64_t lease) {
        return guarded(*guard, purpose, [&] { return guard->m_inner.m_revokeLease(purpose, lease); });
    };
    store.m_watch = [guard](const WatchRequest &request, const WatchSink &sink, StopSignal &stop) {
        return guardedWatch(*guard, request, sink, stop);
    };
    return store;
}

} // namespace Medlarramp
