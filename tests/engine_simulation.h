#pragma once

/**
 * Virtual-time model of gateways that place prompts at engine replicas. Each replica admits up to m_slots requests and reads their
 * prompts in chunks between the tokens that it generates; it caches prompt parts and evicts the least recently read ones.
 */

#include <array>
#include <functional>
#include <map>
#include <queue>
#include <unordered_map>

#include "serving.h"

namespace Medlarramp::Serving {

enum class PromptKind : uint8_t { Long, Mean, Short, Count };

constexpr size_t PromptKinds = static_cast<size_t>(PromptKind::Count);

/** One site, as in section 1 of docs/hard-load.md. */
struct EngineSite {
    size_t m_gateways = 91;
    size_t m_replicas = 112;
    int m_slots = 16;
    double m_tokensPerMs = 157;
    int64_t m_cacheTokens = 521'965;
    double m_perSecond = 463;
    double m_burst = 2.6; ///< factor on the rate from second 8 to second 14
    double m_slowShare = 0; ///< share of the replicas that run at m_slowSpeed; the others run at m_fastSpeed
    double m_slowSpeed = 1;
    double m_fastSpeed = 1;
    Duration m_gapObjective = milliseconds(300);
    /** Time left to the objective for the first event when the stages of a request are done; half of it is used by then. */
    std::array<Duration, PromptKinds> m_firstObjectives = {milliseconds(700), milliseconds(1000), milliseconds(2000)};
};

enum class ReadOrder : uint8_t {
    ByArrival, ///< one chunk between two tokens, of the prompt that was admitted first
    Shared, ///< a chunk of each admitted prompt between two tokens
};

/** What is compared. */
struct EnginePolicy {
    std::string m_name;
    bool m_longAvoids = false; ///< long prompts are placed with the reports of other gateways
    bool m_othersAvoid = false; ///< so are other prompts
    bool m_isCapped = false; ///< a second long prompt at a replica costs as much as a full replica
    bool m_prioritizesOthers = false; ///< short and mean prompts are sent with a more urgent X-Request-Priority
    bool m_learnsSpeed = false; ///< the speed of replicas is learned from first events
    bool m_knowsRate = false; ///< the time to read a prompt is estimated with the real rate, not with the prior
};

struct KindResult {
    int m_requests = 0;
    int m_inTime = 0;
    std::vector<double> m_firstEvents; ///< milliseconds
    std::vector<double> m_pauses; ///< milliseconds, the longest of each stream
};

struct EngineResult {
    std::array<KindResult, PromptKinds> m_kinds;
    int64_t m_readTokens = 0;
    int64_t m_preemptions = 0;
    int64_t m_reports = 0; ///< of all gateways, each to all others
};

class EngineSimulation
{
public:
    EngineSimulation(const EngineSite &site, const EnginePolicy &policy, ReadOrder order, uint64_t seed)
        : m_site(site), m_policy(policy), m_order(order), m_random{seed}, m_gateways(site.m_gateways), m_replicas(site.m_replicas)
    {
        for (size_t i = 0; i < m_replicas.size(); ++i) {
            const bool isSlow = i < static_cast<size_t>(site.m_slowShare * static_cast<double>(site.m_replicas));
            m_replicas[i].m_speed = isSlow ? site.m_slowSpeed : site.m_fastSpeed;
            ReplicaView view;
            view.m_id = "r" + std::to_string(hash64(std::to_string(i)) % 1'000'000);
            view.m_slots = site.m_slots;
            m_views.push_back(view);
        }
        for (Gateway &gateway : m_gateways) {
            gateway.m_running.resize(m_replicas.size());
            gateway.m_pendingTokens.resize(m_replicas.size());
            gateway.m_speeds.resize(m_replicas.size());
        }
    }

    EngineResult run(Duration length)
    {
        TimePoint next = Start;
        while (next < Start + length) {
            const bool burst = next > Start + seconds(8) && next < Start + seconds(14);
            const double rate = m_site.m_perSecond * (burst ? m_site.m_burst : 1);
            next += Duration(static_cast<int64_t>(exponential(m_random, 1e6 / rate)));
            runUntil(next);
            m_now = next;
            submit();
        }
        runUntil(next + seconds(30));
        return std::move(m_result);
    }

private:
    static constexpr TimePoint Start{seconds(100)};
    static constexpr int64_t ChunkTokens = 2048;
    static constexpr double StepMs = 3; ///< fixed time of one token of all streams
    static constexpr double StepMsPerStream = 0.2;
    static constexpr double MinStepMs = 15; ///< time of one token while no prompt is read
    static constexpr Duration ReportDelay = milliseconds(5); ///< from one gateway to another
    static constexpr double CapCost = 10; ///< seconds

    struct Job {
        PromptKind m_kind = PromptKind::Mean;
        std::vector<PromptPart> m_parts;
        size_t m_gateway = 0;
        size_t m_replica = 0;
        int m_priority = 5;
        uint64_t m_number = 0;
        TimePoint m_arrival;
        int64_t m_expectedTokens = 0;
        int m_runningBefore = 0;
        bool m_isAdmitted = false; ///< m_unread is known
        int64_t m_unread = 0; ///< tokens
        int m_output = 0; ///< tokens left to generate
        std::optional<TimePoint> m_firstEvent;
        TimePoint m_lastEvent;
        Duration m_longestPause{};
    };

    struct Replica {
        double m_speed = 1;
        std::vector<Job> m_waiting;
        std::vector<Job> m_running;
        std::unordered_map<uint64_t, int64_t> m_cached; ///< tokens by part
        std::deque<uint64_t> m_cacheOrder;
        int64_t m_cachedTokens = 0;
        bool m_isBusy = false;
        std::vector<int64_t> m_chunks; ///< tokens read in the current step, by index in m_running
    };

    struct Gateway {
        std::vector<int> m_running;
        std::vector<int64_t> m_pendingTokens;
        std::vector<SpeedEstimate> m_speeds;
        SpeedBaseline m_baseline;
        std::map<uint64_t, LongPrompt> m_own; ///< by job
        LongPromptReports m_reports;
        TimePoint m_reportedAt;
        bool m_isReportDue = false;
    };

    using Event = std::pair<TimePoint, uint64_t>;

    void at(TimePoint time, std::function<void()> action)
    {
        m_actions.emplace(Event(time, ++m_events), std::move(action));
    }

    void runUntil(TimePoint end)
    {
        while (!m_actions.empty() && m_actions.begin()->first.first <= end) {
            auto action = m_actions.extract(m_actions.begin());
            m_now = action.key().first;
            action.mapped()();
        }
    }

    std::vector<PromptPart> makeParts(PromptKind kind)
    {
        const uint64_t session = 1000 + uniformBelow(m_random, 3000);
        const uint64_t unique = 1'000'000 + ++m_parts;
        switch (kind) {
        case PromptKind::Long:
            return {{1, 500}, {session, 4800}, {unique, 49'300}};
        case PromptKind::Mean:
            return {{1, 500}, {session, 4800}, {unique, 1300}};
        case PromptKind::Short:
        case PromptKind::Count:
            break;
        }
        return {{10'000 + session, 500}, {unique, 130}};
    }

    static int64_t tokensOf(const std::vector<PromptPart> &parts)
    {
        return expectedUncachedTokens(parts, false);
    }

    Duration readTime(int64_t tokens) const
    {
        return m_policy.m_knowsRate ? Duration(static_cast<int64_t>(static_cast<double>(tokens) / m_site.m_tokensPerMs * 1e3))
                                    : priorReadTime(tokens);
    }

    void submit()
    {
        Job job;
        const double draw = uniformReal(m_random);
        job.m_kind = draw < 0.06 ? PromptKind::Long : draw < 0.6 ? PromptKind::Mean : PromptKind::Short;
        job.m_parts = makeParts(job.m_kind);
        job.m_gateway = uniformBelow(m_random, m_gateways.size());
        job.m_priority = m_policy.m_prioritizesOthers && job.m_kind != PromptKind::Long ? 4 : 5;
        job.m_number = ++m_jobs;
        job.m_arrival = m_now;
        job.m_output = 10 + static_cast<int>(exponential(m_random, 70));
        Gateway &gateway = m_gateways[job.m_gateway];
        const bool avoids = job.m_kind == PromptKind::Long ? m_policy.m_longAvoids : m_policy.m_othersAvoid;
        std::unordered_map<uint64_t, double> left;
        if (avoids) {
            left = longPromptSeconds(gateway.m_reports, m_now);
        }
        for (size_t i = 0; i < m_views.size(); ++i) {
            m_views[i].m_running = gateway.m_running[i];
            m_views[i].m_pendingTokens = gateway.m_pendingTokens[i];
            m_views[i].m_speedRatio = m_policy.m_learnsSpeed ? estimateSpeed(gateway.m_speeds[i], m_now).m_ratio : 1;
            const auto entry = left.find(i);
            m_views[i].m_longPromptSeconds = entry == left.end() ? 0 : entry->second;
            if (entry != left.end() && m_policy.m_isCapped && job.m_kind == PromptKind::Long) {
                m_views[i].m_longPromptSeconds += CapCost;
            }
        }
        PlacementRequest request;
        request.m_parts = job.m_parts;
        request.m_spreadsTies = avoids || m_policy.m_learnsSpeed;
        job.m_replica = placePrompt(m_views, request).value();
        const bool isHome = homeReplica(m_views, job.m_parts) == job.m_replica;
        job.m_expectedTokens = expectedUncachedTokens(job.m_parts, isHome);
        job.m_runningBefore = gateway.m_running[job.m_replica];
        gateway.m_running[job.m_replica] += 1;
        gateway.m_pendingTokens[job.m_replica] += tokensOf(job.m_parts);
        const int64_t uncached = job.m_expectedTokens;
        if (uncached >= MinLongPromptTokens && (m_policy.m_longAvoids || m_policy.m_othersAvoid)) {
            gateway.m_own[job.m_number] = {job.m_replica, m_now + readTime(uncached)};
            report(job.m_gateway);
        }
        const size_t index = job.m_replica;
        Replica &replica = m_replicas[index];
        replica.m_waiting.push_back(std::move(job));
        if (!replica.m_isBusy) {
            step(index);
        }
    }

    void report(size_t index)
    {
        Gateway &gateway = m_gateways[index];
        const TimePoint due = gateway.m_reportedAt + MinLongPromptReportInterval;
        if (due > m_now) {
            if (!gateway.m_isReportDue) {
                gateway.m_isReportDue = true;
                at(due, [this, index] {
                    m_gateways[index].m_isReportDue = false;
                    report(index);
                });
            }
            return;
        }
        gateway.m_reportedAt = m_now;
        std::vector<LongPrompt> prompts;
        for (const auto &[number, prompt] : gateway.m_own) {
            prompts.push_back(prompt);
        }
        m_result.m_reports += 1;
        at(m_now + ReportDelay, [this, index, prompts = selectLongPrompts(std::move(prompts), m_now)] {
            for (size_t i = 0; i < m_gateways.size(); ++i) {
                if (i != index) {
                    applyLongPromptReport(m_gateways[i].m_reports, std::to_string(index), prompts, m_now);
                    expireLongPromptReports(m_gateways[i].m_reports, m_now);
                }
            }
        });
    }

    void admit(Replica &replica)
    {
        std::stable_sort(replica.m_waiting.begin(), replica.m_waiting.end(), [](const Job &left, const Job &right) {
            return left.m_priority != right.m_priority ? left.m_priority < right.m_priority : left.m_number < right.m_number;
        });
        const auto slots = static_cast<size_t>(m_site.m_slots);
        while (!replica.m_waiting.empty()) {
            if (replica.m_running.size() >= slots) {
                const auto victim = std::max_element(replica.m_running.begin(), replica.m_running.end(), [](const Job &l, const Job &r) {
                    return l.m_priority != r.m_priority ? l.m_priority < r.m_priority : l.m_number < r.m_number;
                });
                if (victim->m_priority <= replica.m_waiting.front().m_priority) {
                    return;
                }
                // A preempted request loses what was read and reads its whole prompt again.
                m_result.m_preemptions += 1;
                victim->m_isAdmitted = false;
                replica.m_waiting.push_back(std::move(*victim));
                replica.m_running.erase(victim);
            }
            Job job = std::move(replica.m_waiting.front());
            replica.m_waiting.erase(replica.m_waiting.begin());
            job.m_isAdmitted = true;
            job.m_unread = tokensOf(job.m_parts);
            for (const PromptPart &part : job.m_parts) {
                if (!replica.m_cached.contains(part.m_id)) {
                    break;
                }
                job.m_unread -= part.m_tokens;
            }
            job.m_unread = std::max<int64_t>(1, job.m_unread);
            replica.m_running.push_back(std::move(job));
        }
    }

    void step(size_t index)
    {
        Replica &replica = m_replicas[index];
        admit(replica);
        replica.m_isBusy = !replica.m_running.empty();
        if (!replica.m_isBusy) {
            return;
        }
        std::vector<size_t> readers;
        size_t streams = 0;
        for (size_t i = 0; i < replica.m_running.size(); ++i) {
            if (replica.m_running[i].m_unread > 0) {
                readers.push_back(i);
            } else {
                streams += 1;
            }
        }
        std::stable_sort(readers.begin(), readers.end(), [&replica](size_t left, size_t right) {
            const Job &l = replica.m_running[left];
            const Job &r = replica.m_running[right];
            return l.m_priority != r.m_priority ? l.m_priority < r.m_priority : l.m_number < r.m_number;
        });
        replica.m_chunks.assign(replica.m_running.size(), 0);
        int64_t budget = ChunkTokens;
        int64_t tokens = 0;
        for (const size_t reader : readers) {
            const int64_t chunk = std::min(replica.m_running[reader].m_unread, m_order == ReadOrder::Shared ? ChunkTokens : budget);
            replica.m_chunks[reader] = chunk;
            budget -= m_order == ReadOrder::Shared ? 0 : chunk;
            tokens += chunk;
        }
        m_result.m_readTokens += tokens;
        const double milliseconds =
            StepMs + StepMsPerStream * static_cast<double>(streams) + static_cast<double>(tokens) / m_site.m_tokensPerMs;
        const double duration = (tokens > 0 ? milliseconds : std::max(MinStepMs, milliseconds)) / replica.m_speed;
        at(m_now + Duration(static_cast<int64_t>(duration * 1e3)), [this, index] { endStep(index); });
    }

    void cache(Replica &replica, const Job &job)
    {
        for (const PromptPart &part : job.m_parts) {
            if (replica.m_cached.emplace(part.m_id, part.m_tokens).second) {
                replica.m_cacheOrder.push_back(part.m_id);
                replica.m_cachedTokens += part.m_tokens;
            }
        }
        while (replica.m_cachedTokens > m_site.m_cacheTokens) {
            const auto oldest = replica.m_cached.find(replica.m_cacheOrder.front());
            replica.m_cacheOrder.pop_front();
            replica.m_cachedTokens -= oldest->second;
            replica.m_cached.erase(oldest);
        }
    }

    void beginStream(Replica &replica, Job &job)
    {
        cache(replica, job);
        Gateway &gateway = m_gateways[job.m_gateway];
        if (!job.m_firstEvent) {
            job.m_firstEvent = m_now;
            job.m_lastEvent = m_now;
            gateway.m_pendingTokens[job.m_replica] -= tokensOf(job.m_parts);
            gateway.m_own.erase(job.m_number);
            const double ratio = measureFirstEvent(gateway.m_baseline, job.m_expectedTokens, job.m_runningBefore, m_now - job.m_arrival);
            observeMeasuredSpeed(gateway.m_speeds[job.m_replica], ratio, m_now);
        }
    }

    void endStep(size_t index)
    {
        Replica &replica = m_replicas[index];
        for (size_t i = 0; i < replica.m_running.size(); ++i) {
            Job &job = replica.m_running[i];
            const bool wasReading = job.m_unread > 0;
            job.m_unread -= replica.m_chunks[i];
            if (wasReading && job.m_unread > 0) {
                continue;
            }
            if (wasReading) {
                beginStream(replica, job);
            }
            job.m_longestPause = std::max(job.m_longestPause, m_now - job.m_lastEvent);
            job.m_lastEvent = m_now;
            job.m_output -= 1;
        }
        for (size_t i = replica.m_running.size(); i-- > 0;) {
            if (replica.m_running[i].m_unread == 0 && replica.m_running[i].m_output <= 0) {
                finish(replica.m_running[i]);
                replica.m_running.erase(replica.m_running.begin() + static_cast<ptrdiff_t>(i));
            }
        }
        step(index);
    }

    void finish(const Job &job)
    {
        m_gateways[job.m_gateway].m_running[job.m_replica] -= 1;
        const auto kind = static_cast<size_t>(job.m_kind);
        KindResult &result = m_result.m_kinds[kind];
        const Duration first = *job.m_firstEvent - job.m_arrival;
        const bool inTime = first <= m_site.m_firstObjectives[kind] && job.m_longestPause <= m_site.m_gapObjective;
        result.m_requests += 1;
        result.m_inTime += inTime ? 1 : 0;
        result.m_firstEvents.push_back(std::chrono::duration<double, std::milli>(first).count());
        result.m_pauses.push_back(std::chrono::duration<double, std::milli>(job.m_longestPause).count());
    }

    EngineSite m_site;
    EnginePolicy m_policy;
    ReadOrder m_order;
    Random m_random;
    TimePoint m_now = Start;
    std::vector<Gateway> m_gateways;
    std::vector<Replica> m_replicas;
    std::vector<ReplicaView> m_views;
    std::map<Event, std::function<void()>> m_actions;
    uint64_t m_events = 0;
    uint64_t m_jobs = 0;
    uint64_t m_parts = 0;
    EngineResult m_result;
};

} // namespace Medlarramp::Serving
