// The replicas of each pool and who may use them: a thin shell around the decisions of policy.h. Each pool has a lock of
// its own, and a request thread waits on a condition variable of its own.

#include <algorithm>
#include <cassert>
#include <condition_variable>
#include <mutex>

#include <fmt/format.h>

#include "entry.h"

namespace Medlarramp {

namespace {

// Losses on one replica within this time count as one crash: connections of a dead process end within milliseconds.
constexpr milliseconds CrashWindow{500};
// A request that holds a place waits this long for a replica with room before it looks again.
constexpr milliseconds RoomPoll{50};

/** A loss of an attempt, kept until it is known whether the replica crashed. */
struct LostAttempt {
    uint64_t m_content = 0;
    TimePoint m_at;
};

struct ReplicaEntry {
    Replica m_replica;
    uint64_t m_key = 0;
    ReplicaPresence m_presence;
    AdaptiveLimit m_limit;
    uint32_t m_open = 0; ///< attempts of this entry on the replica
    double m_reported = 0;
    uint32_t m_openAtReport = 0;
    TimePoint m_reportedAt;
    TimePoint m_usableSince;
    std::vector<LostAttempt> m_losses;
};

/** A request thread that waits for a place or holds one. */
struct Waiter {
    std::condition_variable m_changed;
    bool m_started = false;
    Reason m_refusal = Reason::None;
    bool m_preempted = false;
    CancelToken *m_cancel = nullptr;
};

struct Pool {
    std::mutex m_mutex;
    std::condition_variable m_released;
    std::shared_ptr<const Upstream> m_upstream;
    std::vector<ReplicaEntry> m_replicas;
    std::vector<ReplicaHealth> m_health; ///< same order as m_replicas
    Admission m_admission;
    AdmissionActions m_actions; ///< reused between dispatches
    std::unordered_map<uint64_t, std::shared_ptr<Waiter>> m_waiters; ///< by ticket
    AttemptBudget m_retryBudget;
    DurationEstimate m_attemptTime;
    PrefixIndex m_prefixes = makePrefixIndex();
    std::vector<Candidate> m_candidates; ///< reused between routing decisions
    LimitSettings m_limitSettings;
    Random m_random;
    uint64_t m_nextTicket = 1;
};

} // namespace

struct Pools {
    const Clock &m_clock;
    std::string m_failureDomain;
    std::shared_ptr<Metrics> m_metrics;
    uint64_t m_seed = 0;
    RcuPointer<std::map<std::string, std::shared_ptr<Pool>>> m_pools;
    std::mutex m_guardMutex;
    CrashGuard m_guard; ///< under m_guardMutex
    BlameSink m_blameSink; ///< under m_guardMutex
    std::atomic<bool> m_guardActive = false; ///< false: no crash was seen, so the guard need not be asked
    RoutingSettings m_routing;
    OutlierSettings m_outliers;
    RetrySettings m_retries;
};

std::shared_ptr<Pools> makePools(const Clock &clock, std::string failureDomain, std::shared_ptr<Metrics> metrics, uint64_t seed)
{
    auto pools = std::shared_ptr<Pools>(new Pools{clock, std::move(failureDomain), std::move(metrics), seed});
    publish(pools->m_pools, std::make_shared<const std::map<std::string, std::shared_ptr<Pool>>>());
    return pools;
}

void setBlameSink(Pools &pools, BlameSink sink)
{
    const std::lock_guard lock(pools.m_guardMutex);
    pools.m_blameSink = std::move(sink);
}

namespace {

std::shared_ptr<Pool> findPool(Pools &pools, const std::string &name)
{
    const auto map = snapshot(pools.m_pools);
    const auto found = map->find(name);
    return found == map->end() ? nullptr : found->second;
}

ReplicaEntry *findReplica(Pool &pool, uint64_t key)
{
    for (ReplicaEntry &entry : pool.m_replicas) {
        if (entry.m_key == key) {
            return &entry;
        }
    }
    return nullptr;
}

//-----------------------------------------------------------------------------
// [SECTION] Dispatch
//-----------------------------------------------------------------------------

bool isUsable(const Pool &pool, size_t index, TimePoint now)
{
    return acceptsNewWork(pool.m_replicas[index].m_presence, now) && !isEjected(pool.m_health[index], now);
}

Candidate toCandidate(const Pools &pools, const Pool &pool, size_t index, TimePoint now)
{
    const ReplicaEntry &entry = pool.m_replicas[index];
    Candidate candidate;
    candidate.m_key = entry.m_key;
    candidate.m_usable = isUsable(pool, index, now) && hasFreeCapacity(entry.m_limit, entry.m_open, now);
    candidate.m_distance = entry.m_replica.m_failureDomain == pools.m_failureDomain ? 0 : 1;
    candidate.m_open = entry.m_open;
    candidate.m_limit = entry.m_limit.m_limit;
    candidate.m_reported = entry.m_reported;
    candidate.m_openAtReport = entry.m_openAtReport;
    candidate.m_reportedAt = entry.m_reportedAt;
    candidate.m_usableSince = std::max(entry.m_usableSince, pool.m_health[index].m_ejectedUntil);
    return candidate;
}

/** The caller holds the lock. */
double capacityOf(const Pools &pools, Pool &pool, TimePoint now)
{
    pool.m_candidates.clear();
    for (size_t i = 0; i < pool.m_replicas.size(); ++i) {
        pool.m_candidates.push_back(toCandidate(pools, pool, i, now));
    }
    return poolCapacity(pool.m_candidates);
}

void preempt(Waiter &waiter)
{
    waiter.m_preempted = true;
    if (waiter.m_cancel) {
        waiter.m_cancel->m_cancelled = true;
    }
}

/** Carries out what admission decides. The caller holds the pool's lock. */
void dispatch(const Pools &pools, Pool &pool, TimePoint now)
{
    AdmissionActions &actions = pool.m_actions;
    actions.m_start.clear();
    actions.m_refuse.clear();
    actions.m_preempt.clear();
    dispatchRequests(pool.m_admission, capacityOf(pools, pool, now), now, actions);
    for (const uint64_t ticket : actions.m_start) {
        Waiter &waiter = *pool.m_waiters.at(ticket);
        waiter.m_started = true;
        waiter.m_changed.notify_one();
    }
    for (const AdmissionRefusal &refusal : actions.m_refuse) {
        Waiter &waiter = *pool.m_waiters.at(refusal.m_id);
        waiter.m_refusal = refusal.m_reason;
        waiter.m_changed.notify_one();
    }
    for (const uint64_t ticket : actions.m_preempt) {
        preempt(*pool.m_waiters.at(ticket));
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Replicas
//-----------------------------------------------------------------------------

/** Replicas of the pool that this entry uses. */
std::vector<Replica> subsetOf(const Upstream &upstream, const PoolInputs &inputs)
{
    std::vector<Replica> all;
    for (const Replica &replica : inputs.m_replicas) {
        if (replica.m_pool == upstream.m_name) {
            all.push_back(replica);
        }
    }
    for (const Address &address : upstream.m_replicas) {
        all.push_back({address, upstream.m_name, "", ReplicaState::Live});
    }
    std::vector<uint64_t> keys;
    keys.reserve(all.size());
    for (const Replica &replica : all) {
        keys.push_back(replicaKey(replica.m_address));
    }
    std::vector<Replica> subset;
    for (const size_t index : chooseSubset(inputs.m_self, inputs.m_nodes, keys)) {
        subset.push_back(all[index]);
    }
    return subset;
}

ReplicaEntry makeReplicaEntry(const Pool &pool, const Replica &replica, TimePoint now)
{
    ReplicaEntry entry;
    entry.m_replica = replica;
    entry.m_key = replicaKey(replica.m_address);
    entry.m_limit = makeAdaptiveLimit(pool.m_limitSettings);
    entry.m_usableSince = now;
    return entry;
}

/** Marks replicas that the list no longer names; they stay until their last attempt has ended. */
void keepBusyReplicas(Pool &pool, std::vector<ReplicaEntry> &entries, std::vector<ReplicaHealth> &health, TimePoint now)
{
    for (size_t i = 0; i < pool.m_replicas.size(); ++i) {
        ReplicaEntry &old = pool.m_replicas[i];
        const bool kept =
            std::any_of(entries.begin(), entries.end(), [&old](const ReplicaEntry &entry) { return entry.m_key == old.m_key; });
        if (!kept && old.m_open > 0) {
            observeReplica(old.m_presence, ReplicaEvent::Unlisted, now);
            entries.push_back(std::move(old));
            health.push_back(pool.m_health[i]);
        }
    }
}

void updatePool(const Pools &pools, Pool &pool, const std::shared_ptr<const Upstream> &upstream, const PoolInputs &inputs, TimePoint now)
{
    const std::vector<Replica> replicas = subsetOf(*upstream, inputs);
    const std::lock_guard lock(pool.m_mutex);
    pool.m_upstream = upstream;
    pool.m_limitSettings.m_initial = static_cast<double>(upstream->m_initialLimit);
    pool.m_limitSettings.m_maximum = static_cast<double>(upstream->m_maxLimit);
    const bool first = pool.m_replicas.empty();
    std::vector<ReplicaEntry> entries;
    std::vector<ReplicaHealth> health;
    for (const Replica &replica : replicas) {
        // Slow start is for a replica added to a pool at work; replicas of a new pool have nothing to be compared with.
        ReplicaEntry entry = makeReplicaEntry(pool, replica, first ? TimePoint{} : now);
        ReplicaHealth entryHealth;
        for (size_t i = 0; i < pool.m_replicas.size(); ++i) {
            if (pool.m_replicas[i].m_key == entry.m_key) {
                entry = pool.m_replicas[i];
                entry.m_replica = replica;
                entryHealth = pool.m_health[i];
            }
        }
        const bool live = replica.m_state == ReplicaState::Live;
        observeReplica(entry.m_presence, live ? ReplicaEvent::ListedLive : ReplicaEvent::ListedLeaving, now);
        entries.push_back(std::move(entry));
        health.push_back(entryHealth);
    }
    keepBusyReplicas(pool, entries, health, now);
    pool.m_replicas = std::move(entries);
    pool.m_health = std::move(health);
    dispatch(pools, pool, now);
    pool.m_released.notify_all();
}

} // namespace

void updatePools(Pools &pools, const PoolInputs &inputs)
{
    const auto current = snapshot(pools.m_pools);
    auto next = std::make_shared<std::map<std::string, std::shared_ptr<Pool>>>();
    for (const auto &[name, upstream] : inputs.m_configuration->m_upstreams) {
        const auto found = current->find(name);
        std::shared_ptr<Pool> pool;
        if (found == current->end()) {
            pool = std::make_shared<Pool>();
            pool->m_random.m_state = combineHash(pools.m_seed, hash64(name));
        } else {
            pool = found->second;
        }
        updatePool(pools, *pool, upstream, inputs, now(pools.m_clock));
        next->emplace(name, std::move(pool));
    }
    publish<std::map<std::string, std::shared_ptr<Pool>>>(pools.m_pools, std::move(next));
}

//-----------------------------------------------------------------------------
// [SECTION] Places
//-----------------------------------------------------------------------------

namespace {

AdmissionRequest toAdmission(const PlaceRequest &request, uint64_t ticket)
{
    AdmissionRequest admission;
    admission.m_id = ticket;
    admission.m_class = request.m_class;
    admission.m_organisation = hash64(request.m_organisation);
    admission.m_weight = request.m_weight;
    admission.m_deadline = request.m_deadline;
    admission.m_remaining = request.m_remaining;
    admission.m_preemptible = request.m_class == RequestClass::Batch && request.m_idempotent;
    admission.m_resumable = request.m_resumable;
    return admission;
}

/** Routes a request; one that failed everywhere may try a replica again. */
std::optional<size_t> route(Pools &pools, Pool &pool, const PlaceRequest &request, const PrefixChain &chain, TimePoint now)
{
    pool.m_candidates.clear();
    bool untried = false;
    for (size_t i = 0; i < pool.m_replicas.size(); ++i) {
        pool.m_candidates.push_back(toCandidate(pools, pool, i, now));
    }
    const auto isAvoided = [&request](const Candidate &candidate) {
        return std::find(request.m_avoid.begin(), request.m_avoid.end(), candidate.m_key) != request.m_avoid.end();
    };
    for (size_t i = 0; i < pool.m_candidates.size(); ++i) {
        untried |= !isAvoided(pool.m_candidates[i]) && isUsable(pool, i, now);
    }
    if (untried) {
        for (Candidate &candidate : pool.m_candidates) {
            candidate.m_usable &= !isAvoided(candidate);
        }
    }
    const auto choice = chooseReplica(pool.m_candidates, chain, &pool.m_prefixes, pools.m_routing, now, pool.m_random);
    return choice ? std::optional<size_t>(choice->m_index) : std::nullopt;
}

Place refusedPlace(Reason reason)
{
    Place place;
    place.m_refusal = reason;
    return place;
}

/** Waits for admission. The caller holds the lock. */
Reason awaitAdmission(Pools &pools, Pool &pool, std::unique_lock<std::mutex> &lock, const PlaceRequest &request, uint64_t ticket)
{
    const TimePoint arrival = now(pools.m_clock);
    const AdmissionRequest admission = toAdmission(request, ticket);
    if (const Reason reason = enqueueRequest(pool.m_admission, admission, arrival); reason != Reason::None) {
        return reason;
    }
    const std::shared_ptr<Waiter> waiter = pool.m_waiters.at(ticket);
    dispatch(pools, pool, arrival);
    const auto decided = [&waiter] { return waiter->m_started || waiter->m_refusal != Reason::None; };
    if (!waitUntil(pools.m_clock, lock, waiter->m_changed, request.m_deadline, decided)) {
        withdrawRequest(pool.m_admission, ticket, admission.m_organisation, request.m_class);
        return Reason::DeadlineUnreachable;
    }
    return waiter->m_refusal;
}

/** Finds a replica with room for a request that holds a place. The caller holds the lock. */
std::optional<size_t> awaitRoom(Pools &pools, Pool &pool, std::unique_lock<std::mutex> &lock, const PlaceRequest &request, uint64_t ticket)
{
    const PrefixChain chain = request.m_prompt.empty() ? PrefixChain{} : prefixChain(request.m_prompt, hash64(request.m_organisation));
    while (true) {
        const TimePoint current = now(pools.m_clock);
        const std::optional<size_t> index = route(pools, pool, request, chain, current);
        if (index) {
            recordPlacement(pool.m_prefixes, chain, pool.m_replicas[*index].m_key, current);
            return index;
        }
        if (current >= request.m_deadline || pool.m_waiters.at(ticket)->m_preempted) {
            return std::nullopt;
        }
        const TimePoint again = std::min<TimePoint>(request.m_deadline, current + RoomPoll);
        waitUntil(pools.m_clock, lock, pool.m_released, again, [] { return false; });
    }
}

} // namespace

Place acquirePlace(Pools &pools, const PlaceRequest &request, CancelToken &cancel)
{
    const std::shared_ptr<Pool> pool = findPool(pools, request.m_pool);
    if (!pool) {
        return refusedPlace(Reason::NoUpstream);
    }
    std::unique_lock lock(pool->m_mutex);
    if (pool->m_replicas.empty()) {
        return refusedPlace(Reason::NoUpstream);
    }
    const uint64_t ticket = pool->m_nextTicket++;
    const auto waiter = std::make_shared<Waiter>();
    waiter->m_cancel = &cancel;
    pool->m_waiters.emplace(ticket, waiter);
    if (const Reason reason = awaitAdmission(pools, *pool, lock, request, ticket); reason != Reason::None) {
        pool->m_waiters.erase(ticket);
        return refusedPlace(reason);
    }
    const std::optional<size_t> index = awaitRoom(pools, *pool, lock, request, ticket);
    if (!index) {
        const Reason reason = waiter->m_preempted ? Reason::Preempted : Reason::DeadlineUnreachable;
        finishRequest(pool->m_admission, ticket, waiter->m_preempted ? Finish::Preempted : Finish::Failed, now(pools.m_clock));
        pool->m_waiters.erase(ticket);
        dispatch(pools, *pool, now(pools.m_clock));
        return refusedPlace(reason);
    }
    const TimePoint current = now(pools.m_clock);
    ReplicaEntry &entry = pool->m_replicas[*index];
    ++entry.m_open;
    recordOpened(entry.m_limit, current);
    if (request.m_attempt == 0) {
        countFirstAttempt(pool->m_retryBudget);
    }
    Place place;
    place.m_upstream = pool->m_upstream;
    place.m_address = entry.m_replica.m_address;
    place.m_replica = entry.m_key;
    place.m_ticket = ticket;
    place.m_deadline = current + attemptTimeout(request.m_deadline - current, 1.0, pool->m_attemptTime, request.m_attemptsLeft);
    return place;
}

namespace {

void observePresence(ReplicaEntry &entry, const AttemptEvidence &evidence, const AttemptVerdict &verdict, TimePoint now)
{
    if (evidence.m_leaving) {
        observeReplica(entry.m_presence, ReplicaEvent::ReportedLeaving, now);
    } else if (verdict.m_reason == Reason::ConnectFailed) {
        observeReplica(entry.m_presence, ReplicaEvent::RefusedConnection, now);
    } else if (evidence.m_status != 0) {
        observeReplica(entry.m_presence, ReplicaEvent::Answered, now);
    }
}

void observeLoad(ReplicaEntry &entry, const AttemptResult &result)
{
    if (result.m_load) {
        entry.m_reported = result.m_load->m_running + result.m_load->m_waiting;
        entry.m_reportedAt = result.m_load->m_at;
        entry.m_openAtReport = entry.m_open;
    }
}

void reportBlames(Pools &pools, const std::vector<ContentRefusal> &blames, const BlameSink &sink)
{
    for (const ContentRefusal &blame : blames) {
        countDrop(*pools.m_metrics, Reason::CrashGuard);
        writeLog(LogLevel::Warning, "guard", "Content refused after crashes.", {{"content", fmt::format("{:016x}", blame.m_content)}});
        if (sink) {
            sink(blame);
        }
    }
}

/**
 * Collects the attempts that a replica lost at once. A completed attempt shows that the replica lives, so earlier losses
 * have another cause. Returns the lost contents when nothing is left open on the replica.
 */
std::vector<uint64_t> collectLosses(ReplicaEntry &entry, const AttemptVerdict &verdict, uint64_t content, TimePoint now)
{
    std::vector<uint64_t> lost;
    std::erase_if(entry.m_losses, [now](const LostAttempt &loss) { return loss.m_at + CrashWindow < now; });
    if (verdict.m_outcome == Outcome::Answered) {
        entry.m_losses.clear();
    } else if (verdict.m_reason == Reason::ConnectionLost && entry.m_losses.size() < MaxCrashSuspects) {
        entry.m_losses.push_back({content, now});
    }
    if (entry.m_open == 0) {
        for (const LostAttempt &loss : entry.m_losses) {
            lost.push_back(loss.m_content);
        }
        entry.m_losses.clear();
    }
    return lost;
}

void observeCrash(Pools &pools, uint64_t replica, const std::vector<uint64_t> &lost, TimePoint now)
{
    std::vector<ContentRefusal> blames;
    BlameSink sink;
    {
        const std::lock_guard lock(pools.m_guardMutex);
        pools.m_guardActive = true;
        blames = observeLostRequests(pools.m_guard, replica, lost, lost.size(), now);
        sink = pools.m_blameSink;
    }
    reportBlames(pools, blames, sink);
}

Finish finishOf(const AttemptVerdict &verdict, bool preempted)
{
    if (verdict.m_outcome == Outcome::Answered) {
        return Finish::Useful;
    }
    return preempted ? Finish::Preempted : Finish::Failed;
}

/** Updates everything that the pool knows of a replica. The caller holds the lock. */
std::vector<uint64_t> learn(Pools &pools,
                            Pool &pool,
                            size_t index,
                            const PlaceRequest &request,
                            const AttemptResult &result,
                            const AttemptVerdict &verdict,
                            TimePoint now)
{
    ReplicaEntry &entry = pool.m_replicas[index];
    const uint32_t open = entry.m_open;
    assert(entry.m_open > 0);
    --entry.m_open;
    observeLoad(entry, result);
    observeSample(entry.m_limit, pool.m_limitSettings, {limitSignal(verdict), result.m_duration, open}, now);
    observePresence(entry, result.m_evidence, verdict, now);
    const bool failed = isReplicaFailure(verdict);
    if (failed || verdict.m_outcome == Outcome::Answered) {
        const bool ejected = observeHealth(pool.m_health, index, {failed, result.m_duration}, pools.m_outliers, now);
        if (ejected) {
            countDrop(*pools.m_metrics, Reason::OutlierEjected);
            writeLog(LogLevel::Warning,
                     "pools",
                     "Replica set aside.",
                     {{"pool", request.m_pool}, {"replica", toString(entry.m_replica.m_address)}});
        }
    }
    if (verdict.m_outcome == Outcome::Answered) {
        addSample(pool.m_attemptTime, result.m_duration);
    }
    return collectLosses(entry, verdict, request.m_contentHash, now);
}

} // namespace

bool releasePlace(Pools &pools, const PlaceRequest &request, const Place &place, const AttemptResult &result, const AttemptVerdict &verdict)
{
    const std::shared_ptr<Pool> pool = findPool(pools, request.m_pool);
    if (!pool) {
        return false;
    }
    const TimePoint current = now(pools.m_clock);
    bool preempted = false;
    std::vector<uint64_t> lost;
    {
        const std::lock_guard lock(pool->m_mutex);
        if (const ReplicaEntry *entry = findReplica(*pool, place.m_replica)) {
            const auto index = static_cast<size_t>(entry - pool->m_replicas.data());
            lost = learn(pools, *pool, index, request, result, verdict, current);
        }
        const auto waiter = pool->m_waiters.find(place.m_ticket);
        assert(waiter != pool->m_waiters.end());
        preempted = waiter->second->m_preempted && verdict.m_outcome != Outcome::Answered;
        pool->m_waiters.erase(waiter);
        finishRequest(pool->m_admission, place.m_ticket, finishOf(verdict, preempted), current);
        dispatch(pools, *pool, current);
        pool->m_released.notify_one();
    }
    if (!lost.empty()) {
        observeCrash(pools, place.m_replica, lost, current);
    } else if (verdict.m_outcome == Outcome::Answered && pools.m_guardActive) {
        const std::lock_guard lock(pools.m_guardMutex);
        observeCompletion(pools.m_guard, request.m_contentHash);
    }
    return preempted;
}

RetryDecision permitRetry(Pools &pools, const std::string &pool, const FailedAttempt &failed)
{
    const std::shared_ptr<Pool> found = findPool(pools, pool);
    if (!found) {
        return {false, {}, Reason::NoUpstream};
    }
    const std::lock_guard lock(found->m_mutex);
    return decideRetry(found->m_retryBudget, pools.m_retries, failed, now(pools.m_clock), found->m_random);
}

Duration expectedStageTime(Pools &pools, const PlaceRequest &request)
{
    const std::shared_ptr<Pool> found = findPool(pools, request.m_pool);
    if (!found) {
        return {};
    }
    const std::lock_guard lock(found->m_mutex);
    return expectedTime(found->m_admission, toAdmission(request, 0), now(pools.m_clock));
}

void tickPools(Pools &pools)
{
    const auto map = snapshot(pools.m_pools);
    for (const auto &[name, pool] : *map) {
        const std::lock_guard lock(pool->m_mutex);
        dispatch(pools, *pool, now(pools.m_clock));
    }
}

bool isRefusedContent(Pools &pools, uint64_t contentHash)
{
    if (!pools.m_guardActive) {
        return false;
    }
    const std::lock_guard lock(pools.m_guardMutex);
    return isContentRefused(pools.m_guard, contentHash, now(pools.m_clock));
}

void acceptBlame(Pools &pools, const ContentRefusal &blame)
{
    const std::lock_guard lock(pools.m_guardMutex);
    applyContentRefusal(pools.m_guard, blame, now(pools.m_clock));
    pools.m_guardActive = true;
}

std::vector<PoolStatus> poolStatus(Pools &pools)
{
    std::vector<PoolStatus> list;
    const auto map = snapshot(pools.m_pools);
    for (const auto &[name, pool] : *map) {
        const std::lock_guard lock(pool->m_mutex);
        const TimePoint current = now(pools.m_clock);
        PoolStatus status;
        status.m_name = name;
        status.m_replicas = pool->m_replicas.size();
        for (size_t i = 0; i < pool->m_replicas.size(); ++i) {
            status.m_usable += isUsable(*pool, i, current) ? 1 : 0;
        }
        status.m_running = pool->m_admission.m_running.size();
        status.m_queuedUrgent = pool->m_admission.m_urgent.m_size;
        status.m_queuedBatch = pool->m_admission.m_batch.m_size;
        status.m_capacity = capacityOf(pools, *pool, current);
        list.push_back(std::move(status));
    }
    return list;
}

} // namespace Medlarramp
