// The replicas of each pool and who may use them.

#include <algorithm>
#include <condition_variable>
#include <mutex>

#include "entry.h"

namespace Medlarramp {

namespace {

struct ReplicaEntry {
    Replica m_replica;
    int64_t m_open = 0; ///< attempts of this entry on the replica
};

struct Pool {
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::shared_ptr<const Upstream> m_upstream;
    std::vector<ReplicaEntry> m_replicas;
};

} // namespace

struct Pools {
    const Clock &m_clock;
    std::string m_failureDomain;
    std::shared_ptr<Metrics> m_metrics;
    std::mutex m_mutex; ///< guards the map; each pool has its own lock
    std::map<std::string, std::shared_ptr<Pool>> m_pools;
};

std::shared_ptr<Pools> makePools(const Clock &clock, std::string failureDomain, std::shared_ptr<Metrics> metrics)
{
    return std::shared_ptr<Pools>(new Pools{clock, std::move(failureDomain), std::move(metrics), {}, {}});
}

namespace {

std::shared_ptr<Pool> findPool(Pools &pools, const std::string &name)
{
    const std::lock_guard lock(pools.m_mutex);
    const auto found = pools.m_pools.find(name);
    return found == pools.m_pools.end() ? nullptr : found->second;
}

std::vector<Replica> replicasOfPool(const Upstream &upstream, const std::vector<Replica> &replicas)
{
    std::vector<Replica> result;
    for (const Replica &replica : replicas) {
        if (replica.m_pool == upstream.m_name) {
            result.push_back(replica);
        }
    }
    for (const Address &address : upstream.m_replicas) {
        result.push_back({address, upstream.m_name, "", ReplicaState::Live});
    }
    return result;
}

void updatePool(Pool &pool, std::shared_ptr<const Upstream> upstream, const std::vector<Replica> &replicas)
{
    const std::lock_guard lock(pool.m_mutex);
    std::vector<ReplicaEntry> entries;
    for (const Replica &replica : replicasOfPool(*upstream, replicas)) {
        ReplicaEntry entry{replica, 0};
        for (const ReplicaEntry &old : pool.m_replicas) {
            if (old.m_replica.m_address == replica.m_address) {
                entry.m_open = old.m_open;
            }
        }
        entries.push_back(std::move(entry));
    }
    pool.m_replicas = std::move(entries);
    pool.m_upstream = std::move(upstream);
    pool.m_changed.notify_all();
}

ReplicaEntry *findReplica(Pool &pool, const Address &address)
{
    for (ReplicaEntry &entry : pool.m_replicas) {
        if (entry.m_replica.m_address == address) {
            return &entry;
        }
    }
    return nullptr;
}

ReplicaEntry *leastOpen(Pool &pool, const PlaceRequest &request)
{
    ReplicaEntry *best = nullptr;
    for (ReplicaEntry &entry : pool.m_replicas) {
        const std::vector<Address> &avoid = request.m_avoid;
        const bool avoided = std::find(avoid.begin(), avoid.end(), entry.m_replica.m_address) != avoid.end();
        if (avoided || entry.m_replica.m_state == ReplicaState::Leaving || entry.m_open >= pool.m_upstream->m_initialLimit) {
            continue;
        }
        if (!best || entry.m_open < best->m_open) {
            best = &entry;
        }
    }
    return best;
}

} // namespace

void updatePools(Pools &pools, const Configuration &configuration, const std::vector<Replica> &replicas)
{
    for (const auto &[name, upstream] : configuration.m_upstreams) {
        std::shared_ptr<Pool> pool;
        {
            const std::lock_guard lock(pools.m_mutex);
            std::shared_ptr<Pool> &slot = pools.m_pools[name];
            if (!slot) {
                slot = std::make_shared<Pool>();
            }
            pool = slot;
        }
        updatePool(*pool, upstream, replicas);
    }
}

Place acquirePlace(Pools &pools, const PlaceRequest &request, CancelToken &cancel)
{
    Place place;
    const std::shared_ptr<Pool> pool = findPool(pools, request.m_pool);
    if (!pool) {
        place.m_refusal = Reason::NoUpstream;
        return place;
    }
    std::unique_lock lock(pool->m_mutex);
    ReplicaEntry *chosen = nullptr;
    waitUntil(pools.m_clock, lock, pool->m_changed, request.m_deadline, [&] {
        chosen = leastOpen(*pool, request);
        return chosen || cancel.m_cancelled;
    });
    if (!chosen) {
        place.m_refusal = cancel.m_cancelled ? Reason::CallerGone : Reason::DeadlineUnreachable;
        return place;
    }
    ++chosen->m_open;
    place.m_upstream = pool->m_upstream;
    place.m_address = chosen->m_replica.m_address;
    place.m_failureDomain = chosen->m_replica.m_failureDomain;
    return place;
}

void releasePlace(Pools &pools,
                  const PlaceRequest &request,
                  const Place &place,
                  const AttemptResult & /*result*/,
                  const AttemptVerdict & /*verdict*/)
{
    const std::shared_ptr<Pool> pool = findPool(pools, request.m_pool);
    if (!pool) {
        return;
    }
    const std::lock_guard lock(pool->m_mutex);
    if (ReplicaEntry *entry = findReplica(*pool, place.m_address)) {
        --entry->m_open;
    }
    pool->m_changed.notify_one();
}

std::optional<Duration> permitRetry(Pools &pools, const std::string & /*pool*/, int attempt, TimePoint deadline)
{
    constexpr milliseconds FirstDelay{20};
    const Duration delay = FirstDelay * (1 << std::min(attempt, 6));
    if (now(pools.m_clock) + delay >= deadline) {
        return std::nullopt;
    }
    return delay;
}

} // namespace Medlarramp
