#include "simulation.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <queue>
#include <unordered_map>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Medlarramp::Bench {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
constexpr double ReferenceWork = 0.6; ///< seconds of work of an admission cost of 1 on the model pool
constexpr double MinCost = 0.02; ///< of short stages
constexpr size_t EngineQueueFactor = 4; ///< a replica rejects when this many times its slots wait
constexpr Duration BatchDeadline = seconds(60);
constexpr Duration Tick = milliseconds(100); ///< dispatch without another event
constexpr Duration ConnectTime = milliseconds(1);
constexpr double ResumeLoss = 0.1; ///< share of a preempted run that is repeated

double toSeconds(Duration duration)
{
    return static_cast<double>(duration.count()) / MicrosecondsPerSecond;
}

Duration fromSeconds(double value)
{
    return Duration(static_cast<int64_t>(value * MicrosecondsPerSecond));
}

struct Attempt {
    uint64_t m_request = 0;
    size_t m_pool = 0;
    size_t m_replica = 0;
    size_t m_entry = 0;
    RequestClass m_class = RequestClass::Urgent;
    TimePoint m_sent;
    TimePoint m_served; ///< when the replica began; zero while it waits
    double m_work = 0; ///< seconds
    bool m_open = true; ///< the entry still waits for it
    bool m_ended = false; ///< the replica has no more to do with it
    bool m_hedge = false;
};

struct SimulatedReplica {
    size_t m_domain = 0;
    double m_factor = 1;
    bool m_failed = false;
    size_t m_running = 0;
    std::vector<uint64_t> m_serving;
    std::array<std::deque<uint64_t>, 2> m_waiting; ///< by class
};

struct SimulatedRequest {
    RequestClass m_class = RequestClass::Urgent;
    size_t m_entry = 0;
    size_t m_organisation = 0;
    size_t m_stage = 0;
    TimePoint m_arrived;
    TimePoint m_deadline;
    TimePoint m_stageSince;
    int m_attempt = 0;
    double m_work = 0; ///< seconds of the current stage not yet done
    double m_fullWork = 0;
    double m_spent = 0; ///< slot time of finished stages and preempted runs
    double m_modelSpent = 0; ///< of it, on the model pool
    std::vector<uint64_t> m_open; ///< attempts
    std::vector<size_t> m_tried; ///< replicas
    int m_runs = 0; ///< of the current stage, completed on a replica
    uint64_t m_place = 0; ///< number of the place held; a retry planned for an earlier place is dropped
};

struct EntryPool {
    Admission m_admission;
    std::vector<AdaptiveLimit> m_limits;
    std::vector<ReplicaHealth> m_health;
    std::vector<ReplicaPresence> m_presence;
    std::vector<Candidate> m_candidates;
    std::vector<Candidate> m_choice; ///< candidates of one decision
    AttemptBudget m_retries;
    AttemptBudget m_hedges;
    size_t m_openHedges = 0;
    std::array<DurationEstimate, 2> m_estimates; ///< by class: attempts, divided by their cost
    AdmissionActions m_actions;
    size_t m_nextReplica = 0; ///< round robin
    TimePoint m_nextDispatch; ///< next dispatch without another event
};

struct Event {
    TimePoint m_at;
    uint64_t m_order = 0;
    std::function<void()> m_run;

    bool operator<(const Event &other) const
    {
        return m_at != other.m_at ? m_at > other.m_at : m_order > other.m_order;
    }
};

struct Simulation {
    Deployment m_deployment;
    Scenario m_scenario;
    Random m_random;
    TimePoint m_now;
    TimePoint m_end;
    uint64_t m_order = 0;
    uint64_t m_nextId = 1;
    std::priority_queue<Event> m_events;
    std::vector<std::vector<SimulatedReplica>> m_replicas; ///< by pool
    std::vector<std::vector<EntryPool>> m_entries; ///< by entry and pool
    std::unordered_map<uint64_t, SimulatedRequest> m_requests;
    std::unordered_map<uint64_t, Attempt> m_attempts;
    LimitSettings m_limitSettings;
    OutlierSettings m_outlierSettings;
    RoutingSettings m_routingSettings;
    RetrySettings m_retrySettings;
    HedgeSettings m_hedgeSettings;
    size_t m_modelPool = 0;
    Result m_result;
    std::vector<std::pair<uint64_t, uint64_t>> m_bySecond; ///< arrived and answered
};

void dispatch(Simulation &sim, size_t entry, size_t pool);
void sendAttempt(Simulation &sim, uint64_t id, bool hedge);
void beginStage(Simulation &sim, uint64_t id);

void schedule(Simulation &sim, TimePoint at, std::function<void()> run)
{
    sim.m_events.push({std::max(at, sim.m_now), sim.m_order++, std::move(run)});
}

void waste(Simulation &sim, WasteCause cause, double slotSeconds)
{
    sim.m_result.m_wastedSeconds += slotSeconds;
    sim.m_result.m_wastedByCause[static_cast<size_t>(cause)] += slotSeconds;
}

const std::vector<StageSpec> &stagesOf(const Simulation &sim, RequestClass requestClass)
{
    return requestClass == RequestClass::Urgent ? sim.m_deployment.m_urgentStages : sim.m_deployment.m_batchStages;
}

const StageSpec &stageOf(const Simulation &sim, const SimulatedRequest &request)
{
    return stagesOf(sim, request.m_class)[request.m_stage];
}

double costOf(const SimulatedRequest &request, double mean)
{
    return std::max(MinCost, mean / ReferenceWork * (request.m_fullWork > 0 ? request.m_work / request.m_fullWork : 1));
}

bool inOutage(const Simulation &sim)
{
    return sim.m_now >= sim.m_scenario.m_outageFrom && sim.m_now < sim.m_scenario.m_outageTo;
}

Duration networkDelay(const Simulation &sim, size_t entry, const SimulatedReplica &replica)
{
    return entry % sim.m_deployment.m_failureDomains == replica.m_domain ? milliseconds(1) / 4 : sim.m_deployment.m_oneWay;
}

//-----------------------------------------------------------------------------
// Replicas
//-----------------------------------------------------------------------------

void reply(Simulation &sim, uint64_t attemptId, const AttemptEvidence &evidence);

void replyLater(Simulation &sim, uint64_t attemptId, const AttemptEvidence &evidence)
{
    const Attempt &attempt = sim.m_attempts.at(attemptId);
    const Duration delay = networkDelay(sim, attempt.m_entry, sim.m_replicas[attempt.m_pool][attempt.m_replica]);
    schedule(sim, sim.m_now + delay, [&sim, attemptId, evidence]() { reply(sim, attemptId, evidence); });
}

AttemptEvidence completeEvidence()
{
    AttemptEvidence evidence;
    evidence.m_connected = evidence.m_requestSent = evidence.m_complete = true;
    evidence.m_status = 200;
    return evidence;
}

AttemptEvidence rejectedEvidence()
{
    AttemptEvidence evidence;
    evidence.m_connected = evidence.m_requestSent = true;
    evidence.m_status = 429;
    return evidence;
}

AttemptEvidence lostEvidence()
{
    AttemptEvidence evidence;
    evidence.m_connected = evidence.m_requestSent = true;
    return evidence;
}

void serveNext(Simulation &sim, size_t pool, size_t index);

void endService(Simulation &sim, uint64_t attemptId)
{
    Attempt &attempt = sim.m_attempts.at(attemptId);
    SimulatedReplica &replica = sim.m_replicas[attempt.m_pool][attempt.m_replica];
    attempt.m_ended = true;
    std::erase(replica.m_serving, attemptId);
    replica.m_running -= 1;
    sim.m_result.m_usedSeconds += toSeconds(sim.m_now - attempt.m_served);
}

void completeService(Simulation &sim, uint64_t attemptId)
{
    const auto it = sim.m_attempts.find(attemptId);
    if (it == sim.m_attempts.end() || it->second.m_ended) {
        return;
    }
    const size_t pool = it->second.m_pool;
    const size_t index = it->second.m_replica;
    endService(sim, attemptId);
    const auto request = sim.m_requests.find(it->second.m_request);
    if (request != sim.m_requests.end()) {
        request->second.m_runs += 1;
        const bool repeated = request->second.m_runs > 1 && !stageOf(sim, request->second).m_idempotent;
        sim.m_result.m_repeatedRuns += repeated ? 1 : 0;
    }
    replyLater(sim, attemptId, completeEvidence());
    serveNext(sim, pool, index);
}

void serveNext(Simulation &sim, size_t pool, size_t index)
{
    SimulatedReplica &replica = sim.m_replicas[pool][index];
    for (std::deque<uint64_t> &waiting : replica.m_waiting) {
        while (!waiting.empty() && replica.m_running < sim.m_deployment.m_pools[pool].m_slots) {
            const uint64_t id = waiting.front();
            waiting.pop_front();
            Attempt &attempt = sim.m_attempts.at(id);
            attempt.m_served = sim.m_now;
            replica.m_running += 1;
            replica.m_serving.push_back(id);
            schedule(sim, sim.m_now + fromSeconds(attempt.m_work * replica.m_factor), [&sim, id]() { completeService(sim, id); });
        }
    }
}

void arriveAtReplica(Simulation &sim, uint64_t attemptId)
{
    const auto it = sim.m_attempts.find(attemptId);
    if (it == sim.m_attempts.end()) {
        return;
    }
    Attempt &attempt = it->second;
    SimulatedReplica &replica = sim.m_replicas[attempt.m_pool][attempt.m_replica];
    const size_t slots = sim.m_deployment.m_pools[attempt.m_pool].m_slots;
    if (replica.m_failed) {
        attempt.m_ended = true;
        schedule(sim, sim.m_now + ConnectTime, [&sim, attemptId]() { reply(sim, attemptId, AttemptEvidence{}); });
        return;
    }
    if (replica.m_waiting[0].size() + replica.m_waiting[1].size() >= EngineQueueFactor * slots) {
        attempt.m_ended = true;
        replyLater(sim, attemptId, rejectedEvidence());
        return;
    }
    replica.m_waiting[static_cast<size_t>(attempt.m_class)].push_back(attemptId);
    serveNext(sim, attempt.m_pool, attempt.m_replica);
}

void failReplica(Simulation &sim, size_t pool, size_t index)
{
    SimulatedReplica &replica = sim.m_replicas[pool][index];
    replica.m_failed = true;
    std::vector<uint64_t> lost = replica.m_serving;
    for (std::deque<uint64_t> &waiting : replica.m_waiting) {
        lost.insert(lost.end(), waiting.begin(), waiting.end());
        waiting.clear();
    }
    for (const uint64_t id : lost) {
        Attempt &attempt = sim.m_attempts.at(id);
        if (attempt.m_served != TimePoint{}) {
            endService(sim, id);
            waste(sim, WasteCause::Lost, toSeconds(sim.m_now - attempt.m_served));
        }
        attempt.m_ended = true;
        replyLater(sim, id, lostEvidence());
    }
}

/** Takes an attempt back from its replica. @return the slot time that it had used. */
double withdrawAttempt(Simulation &sim, uint64_t attemptId)
{
    Attempt &attempt = sim.m_attempts.at(attemptId);
    if (attempt.m_ended) {
        return 0;
    }
    SimulatedReplica &replica = sim.m_replicas[attempt.m_pool][attempt.m_replica];
    double used = 0;
    if (attempt.m_served != TimePoint{}) {
        used = toSeconds(sim.m_now - attempt.m_served);
        endService(sim, attemptId);
    } else {
        std::erase(replica.m_waiting[static_cast<size_t>(attempt.m_class)], attemptId);
    }
    attempt.m_ended = true;
    serveNext(sim, attempt.m_pool, attempt.m_replica);
    return used;
}

//-----------------------------------------------------------------------------
// Entries
//-----------------------------------------------------------------------------

EntryPool &poolOf(Simulation &sim, const Attempt &attempt)
{
    return sim.m_entries[attempt.m_entry][attempt.m_pool];
}

/** Removes an attempt from the entry's books. */
Attempt closeAttempt(Simulation &sim, uint64_t attemptId)
{
    Attempt attempt = sim.m_attempts.at(attemptId);
    poolOf(sim, attempt).m_candidates[attempt.m_replica].m_open -= 1;
    poolOf(sim, attempt).m_openHedges -= attempt.m_hedge ? 1 : 0;
    sim.m_attempts.erase(attemptId);
    const auto request = sim.m_requests.find(attempt.m_request);
    if (request != sim.m_requests.end()) {
        std::erase(request->second.m_open, attemptId);
    }
    return attempt;
}

/** Gives an attempt up; what it used is wasted. */
void cancelAttempt(Simulation &sim, uint64_t attemptId)
{
    waste(sim, WasteCause::Cancelled, withdrawAttempt(sim, attemptId));
    closeAttempt(sim, attemptId);
}

void endRequest(Simulation &sim, uint64_t id, Reason reason)
{
    const SimulatedRequest request = sim.m_requests.at(id);
    const bool answered = reason == Reason::None && sim.m_now <= request.m_deadline;
    if (!answered) {
        waste(sim, WasteCause::Unanswered, request.m_spent);
    }
    const double delivered = answered ? request.m_modelSpent : 0;
    (request.m_class == RequestClass::Urgent ? sim.m_result.m_urgentSeconds : sim.m_result.m_batchSeconds) += delivered;
    if (request.m_class == RequestClass::Batch) {
        sim.m_result.m_batchAnswered += answered ? 1 : 0;
        sim.m_result.m_batchLosses[static_cast<size_t>(reason)] += answered || request.m_spent == 0 ? 0 : 1;
    } else {
        sim.m_result.m_urgent += 1;
        sim.m_result.m_urgentAnswered += answered ? 1 : 0;
        if (!answered) {
            sim.m_result.m_losses[static_cast<size_t>(reason == Reason::None ? Reason::DeadlineExceeded : reason)] += 1;
        }
        auto &second = sim.m_bySecond[static_cast<size_t>(toSeconds(request.m_arrived.time_since_epoch()))];
        second.first += 1;
        second.second += answered ? 1 : 0;
    }
    sim.m_requests.erase(id);
}

void updateCandidates(Simulation &sim, EntryPool &pool)
{
    for (size_t i = 0; i < pool.m_candidates.size(); ++i) {
        Candidate &candidate = pool.m_candidates[i];
        const bool usable = acceptsNewWork(pool.m_presence[i], sim.m_now) && !isEjected(pool.m_health[i], sim.m_now);
        candidate.m_usable = usable && hasFreeCapacity(pool.m_limits[i], candidate.m_open, sim.m_now);
        candidate.m_limit = pool.m_limits[i].m_limit;
    }
}

size_t chooseRoundRobin(EntryPool &pool)
{
    do {
        pool.m_nextReplica = (pool.m_nextReplica + 1) % pool.m_choice.size();
    } while (!pool.m_choice[pool.m_nextReplica].m_usable);
    return pool.m_nextReplica;
}

size_t chooseLeastOpen(const EntryPool &pool)
{
    size_t best = pool.m_choice.size();
    for (size_t i = 0; i < pool.m_choice.size(); ++i) {
        const Candidate &candidate = pool.m_choice[i];
        if (candidate.m_usable && (best == pool.m_choice.size() || candidate.m_open < pool.m_choice[best].m_open)) {
            best = i;
        }
    }
    return best;
}

size_t chooseRandom(const EntryPool &pool, Random &random)
{
    size_t index = uniformBelow(random, pool.m_choice.size());
    while (!pool.m_choice[index].m_usable) {
        index = uniformBelow(random, pool.m_choice.size());
    }
    return index;
}

std::optional<size_t> route(Simulation &sim, EntryPool &pool, const SimulatedRequest &request)
{
    updateCandidates(sim, pool);
    pool.m_choice = pool.m_candidates;
    for (const size_t tried : request.m_tried) {
        pool.m_choice[tried].m_usable = false;
    }
    const auto usable = [](const Candidate &candidate) { return candidate.m_usable; };
    if (std::none_of(pool.m_choice.begin(), pool.m_choice.end(), usable)) {
        // Every other replica was tried or is full: a replica tried before is better than none.
        pool.m_choice = pool.m_candidates;
    }
    if (std::none_of(pool.m_choice.begin(), pool.m_choice.end(), usable)) {
        for (size_t i = 0; i < pool.m_choice.size(); ++i) {
            pool.m_choice[i].m_usable = acceptsNewWork(pool.m_presence[i], sim.m_now) && !isEjected(pool.m_health[i], sim.m_now);
        }
    }
    if (std::none_of(pool.m_choice.begin(), pool.m_choice.end(), usable)) {
        return std::nullopt;
    }
    switch (sim.m_scenario.m_routing) {
    case RoutingMode::RoundRobin:
        return chooseRoundRobin(pool);
    case RoutingMode::Random:
        return chooseRandom(pool, sim.m_random);
    case RoutingMode::LeastOpen:
        return chooseLeastOpen(pool);
    case RoutingMode::Policy:
        break;
    }
    const auto choice = chooseReplica(pool.m_choice, {}, nullptr, sim.m_routingSettings, sim.m_now, sim.m_random);
    return choice ? std::optional<size_t>(choice->m_index) : std::nullopt;
}

void leavePool(Simulation &sim, uint64_t id, Finish finish)
{
    const SimulatedRequest &request = sim.m_requests.at(id);
    const size_t pool = stageOf(sim, request).m_pool;
    const size_t entry = request.m_entry;
    finishRequest(sim.m_entries[entry][pool].m_admission, id, finish, sim.m_now);
    schedule(sim, sim.m_now, [&sim, entry, pool]() { dispatch(sim, entry, pool); });
}

void failRequest(Simulation &sim, uint64_t id, Reason reason)
{
    SimulatedRequest &request = sim.m_requests.at(id);
    while (!request.m_open.empty()) {
        cancelAttempt(sim, request.m_open.back());
    }
    leavePool(sim, id, Finish::Failed);
    endRequest(sim, id, reason);
}

void retryOrFail(Simulation &sim, uint64_t id, const AttemptVerdict &verdict)
{
    SimulatedRequest &request = sim.m_requests.at(id);
    const StageSpec &stage = stageOf(sim, request);
    EntryPool &pool = sim.m_entries[request.m_entry][stage.m_pool];
    FailedAttempt failed;
    failed.m_verdict = verdict;
    failed.m_attempt = request.m_attempt;
    failed.m_idempotent = stage.m_idempotent;
    failed.m_deadline = request.m_deadline;
    RetryDecision decision = decideRetry(pool.m_retries, sim.m_retrySettings, failed, sim.m_now, sim.m_random);
    if (sim.m_scenario.m_retry == RetryMode::PlainThree) {
        decision = {request.m_attempt < 2 && stage.m_idempotent, Duration{0}, verdict.m_reason};
    }
    if (!decision.m_retry) {
        failRequest(sim, id, decision.m_reason);
        return;
    }
    request.m_attempt += 1;
    sim.m_result.m_retries += 1;
    schedule(sim, sim.m_now + decision.m_delay, [&sim, id, place = request.m_place]() {
        const auto it = sim.m_requests.find(id);
        if (it != sim.m_requests.end() && it->second.m_place == place) {
            sendAttempt(sim, id, false);
        }
    });
}

void observe(Simulation &sim, const Attempt &attempt, const AttemptVerdict &verdict, uint32_t open)
{
    EntryPool &pool = poolOf(sim, attempt);
    const double cost = std::max(MinCost, attempt.m_work / ReferenceWork);
    const Duration latency = fromSeconds(toSeconds(sim.m_now - attempt.m_sent) / cost);
    const LimitSignal signal = limitSignal(verdict);
    observeSample(pool.m_limits[attempt.m_replica], sim.m_limitSettings, {signal, latency, open}, sim.m_now);
    if (verdict.m_reason == Reason::ConnectFailed) {
        observeReplica(pool.m_presence[attempt.m_replica], ReplicaEvent::RefusedConnection, sim.m_now);
    } else if (verdict.m_outcome == Outcome::Answered) {
        observeReplica(pool.m_presence[attempt.m_replica], ReplicaEvent::Answered, sim.m_now);
        addSample(pool.m_estimates[static_cast<size_t>(attempt.m_class)], latency);
    }
    const bool plainRouting = sim.m_scenario.m_routing != RoutingMode::Policy;
    if (plainRouting || signal == LimitSignal::Rejected) {
        return;
    }
    const HealthSample sample{isReplicaFailure(verdict), latency};
    if (observeHealth(pool.m_health, attempt.m_replica, sample, sim.m_outlierSettings, sim.m_now)) {
        pool.m_candidates[attempt.m_replica].m_usableSince = pool.m_health[attempt.m_replica].m_ejectedUntil;
    }
}

void completeStage(Simulation &sim, uint64_t id, const Attempt &attempt, double used)
{
    SimulatedRequest &request = sim.m_requests.at(id);
    while (!request.m_open.empty()) {
        cancelAttempt(sim, request.m_open.back());
    }
    request.m_spent += used;
    request.m_modelSpent += attempt.m_pool == sim.m_modelPool ? used : 0;
    leavePool(sim, id, Finish::Useful);
    request.m_stage += 1;
    if (request.m_stage == stagesOf(sim, request.m_class).size()) {
        endRequest(sim, id, Reason::None);
        return;
    }
    beginStage(sim, id);
}

void reply(Simulation &sim, uint64_t attemptId, const AttemptEvidence &evidence)
{
    const auto it = sim.m_attempts.find(attemptId);
    if (it == sim.m_attempts.end()) {
        return;
    }
    const AttemptVerdict verdict = classifyAttempt(evidence, Upstream{});
    const uint32_t open = poolOf(sim, it->second).m_candidates[it->second.m_replica].m_open;
    const Attempt attempt = closeAttempt(sim, attemptId);
    observe(sim, attempt, verdict, open);
    const uint64_t id = attempt.m_request;
    if (sim.m_deployment.m_pools[attempt.m_pool].m_reportsLoad) {
        Candidate &candidate = poolOf(sim, attempt).m_candidates[attempt.m_replica];
        const SimulatedReplica &replica = sim.m_replicas[attempt.m_pool][attempt.m_replica];
        candidate.m_reported = static_cast<double>(replica.m_running + replica.m_waiting[0].size() + replica.m_waiting[1].size());
        candidate.m_openAtReport = candidate.m_open;
        candidate.m_reportedAt = sim.m_now;
    }
    if (verdict.m_outcome == Outcome::Answered) {
        const double factor = sim.m_replicas[attempt.m_pool][attempt.m_replica].m_factor;
        completeStage(sim, id, attempt, attempt.m_work * factor);
        return;
    }
    if (sim.m_requests.at(id).m_open.empty()) {
        retryOrFail(sim, id, verdict);
    }
}

void timeOut(Simulation &sim, uint64_t attemptId)
{
    if (!sim.m_attempts.contains(attemptId)) {
        return;
    }
    AttemptEvidence evidence = lostEvidence();
    evidence.m_timedOut = true;
    waste(sim, WasteCause::TimedOut, withdrawAttempt(sim, attemptId));
    reply(sim, attemptId, evidence);
}

void hedgeIfLate(Simulation &sim, uint64_t attemptId)
{
    const auto it = sim.m_attempts.find(attemptId);
    if (it == sim.m_attempts.end()) {
        return;
    }
    const Attempt &attempt = it->second;
    SimulatedRequest &request = sim.m_requests.at(attempt.m_request);
    EntryPool &pool = poolOf(sim, attempt);
    const double cost = std::max(MinCost, attempt.m_work / ReferenceWork);
    const Duration elapsed = fromSeconds(toSeconds(sim.m_now - attempt.m_sent) / cost) + milliseconds(1);
    const bool idempotent = stageOf(sim, request).m_idempotent;
    const bool single = request.m_open.size() == 1;
    if (single
        && decideHedge(pool.m_hedges,
                       pool.m_estimates[static_cast<size_t>(attempt.m_class)],
                       idempotent,
                       elapsed,
                       request.m_deadline - sim.m_now,
                       sim.m_hedgeSettings)) {
        sim.m_result.m_hedges += 1;
        sendAttempt(sim, attempt.m_request, true);
    }
}

Duration timeLimit(Simulation &sim, const EntryPool &pool, const SimulatedRequest &request)
{
    DurationEstimate scaled = pool.m_estimates[static_cast<size_t>(request.m_class)];
    const double cost = costOf(request, request.m_fullWork);
    scaled.m_mean *= cost;
    scaled.m_deviation *= cost;
    const StageSpec &stage = stageOf(sim, request);
    const double share = stage.m_pool == sim.m_modelPool ? 0.9 : 0.5;
    return attemptTimeout(request.m_deadline - sim.m_now, share, scaled, stage.m_idempotent ? 2 - request.m_attempt : 0);
}

void sendAttempt(Simulation &sim, uint64_t id, bool hedge)
{
    SimulatedRequest &request = sim.m_requests.at(id);
    const size_t poolIndex = stageOf(sim, request).m_pool;
    EntryPool &pool = sim.m_entries[request.m_entry][poolIndex];
    const std::optional<size_t> replica = route(sim, pool, request);
    if (!replica) {
        if (!hedge) {
            retryOrFail(sim, id, {Outcome::NotRun, Reason::NoUpstream});
        }
        return;
    }
    const uint64_t attemptId = sim.m_nextId++;
    Attempt attempt{id, poolIndex, *replica, request.m_entry, request.m_class, sim.m_now, {}, request.m_work};
    attempt.m_hedge = hedge;
    pool.m_openHedges += hedge ? 1 : 0;
    sim.m_attempts.emplace(attemptId, attempt);
    request.m_open.push_back(attemptId);
    request.m_tried.push_back(*replica);
    pool.m_candidates[*replica].m_open += 1;
    recordOpened(pool.m_limits[*replica], sim.m_now);
    if (poolIndex == sim.m_modelPool && inOutage(sim)) {
        sim.m_result.m_modelAttempts += 1;
        sim.m_result.m_modelRequests += request.m_attempt == 0 && !hedge ? 1 : 0;
    }
    if (request.m_attempt == 0 && !hedge) {
        countFirstAttempt(pool.m_retries);
        countFirstAttempt(pool.m_hedges);
    }
    const Duration delay = networkDelay(sim, request.m_entry, sim.m_replicas[poolIndex][*replica]);
    schedule(sim, sim.m_now + delay, [&sim, attemptId]() { arriveAtReplica(sim, attemptId); });
    schedule(sim, sim.m_now + timeLimit(sim, pool, request), [&sim, attemptId]() { timeOut(sim, attemptId); });
    const auto late =
        hedgeDelay(pool.m_estimates[static_cast<size_t>(request.m_class)], stageOf(sim, request).m_idempotent, sim.m_hedgeSettings);
    if (!hedge && late && request.m_class == RequestClass::Urgent) {
        const double cost = std::max(MinCost, attempt.m_work / ReferenceWork);
        schedule(sim, sim.m_now + fromSeconds(toSeconds(*late) * cost), [&sim, attemptId]() { hedgeIfLate(sim, attemptId); });
    }
}

void preempt(Simulation &sim, uint64_t id)
{
    SimulatedRequest &request = sim.m_requests.at(id);
    sim.m_result.m_preemptions += 1;
    while (!request.m_open.empty()) {
        const uint64_t attemptId = request.m_open.back();
        const double used = withdrawAttempt(sim, attemptId);
        const Attempt attempt = closeAttempt(sim, attemptId);
        const double factor = sim.m_replicas[attempt.m_pool][attempt.m_replica].m_factor;
        waste(sim, WasteCause::Preempted, ResumeLoss * used);
        request.m_spent += (1 - ResumeLoss) * used;
        request.m_work = std::max(0.001, request.m_work - (1 - ResumeLoss) * used / factor);
        request.m_modelSpent += attempt.m_pool == sim.m_modelPool ? (1 - ResumeLoss) * used : 0;
    }
    leavePool(sim, id, Finish::Preempted);
    request.m_attempt = 0;
    request.m_place += 1;
    request.m_tried.clear();
    const size_t entry = request.m_entry;
    EntryPool &pool = sim.m_entries[entry][stageOf(sim, request).m_pool];
    AdmissionRequest again;
    again.m_id = id;
    again.m_class = RequestClass::Batch;
    again.m_organisation = request.m_organisation;
    again.m_weight = sim.m_deployment.m_organisations[request.m_organisation].m_weight;
    again.m_cost = costOf(request, request.m_fullWork);
    again.m_deadline = request.m_deadline;
    again.m_preemptible = again.m_resumable = again.m_resumed = true;
    if (enqueueRequest(pool.m_admission, again, sim.m_now) != Reason::None) {
        endRequest(sim, id, Reason::QueueFull);
    }
}

void dispatch(Simulation &sim, size_t entry, size_t poolIndex)
{
    EntryPool &pool = sim.m_entries[entry][poolIndex];
    updateCandidates(sim, pool);
    dispatchRequests(pool.m_admission, poolCapacity(pool.m_candidates) - static_cast<double>(pool.m_openHedges), sim.m_now, pool.m_actions);
    const AdmissionActions actions = pool.m_actions;
    if (actions.m_nextDispatch && (pool.m_nextDispatch <= sim.m_now || *actions.m_nextDispatch < pool.m_nextDispatch)) {
        pool.m_nextDispatch = *actions.m_nextDispatch;
        schedule(sim, pool.m_nextDispatch, [&sim, entry, poolIndex]() { dispatch(sim, entry, poolIndex); });
    }
    for (const AdmissionRefusal &refusal : actions.m_refuse) {
        endRequest(sim, refusal.m_id, refusal.m_reason);
    }
    for (const uint64_t id : actions.m_start) {
        sendAttempt(sim, id, false);
    }
    for (const uint64_t id : actions.m_preempt) {
        if (sim.m_requests.contains(id)) {
            preempt(sim, id);
        }
    }
}

Duration remainingAfter(const Simulation &sim, const SimulatedRequest &request)
{
    Duration remaining{0};
    const std::vector<StageSpec> &stages = stagesOf(sim, request.m_class);
    for (size_t i = request.m_stage + 1; i < stages.size(); ++i) {
        AdmissionRequest later;
        later.m_class = request.m_class;
        later.m_organisation = request.m_organisation;
        later.m_weight = sim.m_deployment.m_organisations[request.m_organisation].m_weight;
        later.m_cost = std::max(MinCost, toSeconds(stages[i].m_service) / ReferenceWork);
        const Duration time = expectedTime(sim.m_entries[request.m_entry][stages[i].m_pool].m_admission, later, sim.m_now);
        remaining += std::max(time, stages[i].m_service);
    }
    return remaining;
}

void beginStage(Simulation &sim, uint64_t id)
{
    SimulatedRequest &request = sim.m_requests.at(id);
    const StageSpec &stage = stageOf(sim, request);
    const double mean = toSeconds(stage.m_service);
    request.m_attempt = 0;
    request.m_place += 1;
    request.m_tried.clear();
    request.m_runs = 0;
    // Service times vary between half and one and a half times their mean.
    request.m_fullWork = request.m_work = mean * (0.5 + uniformReal(sim.m_random));
    const bool oneQueue = sim.m_scenario.m_admission == AdmissionMode::OneQueue;
    AdmissionRequest admission;
    admission.m_id = id;
    admission.m_class = oneQueue ? RequestClass::Urgent : request.m_class;
    admission.m_organisation = oneQueue ? 0 : request.m_organisation;
    admission.m_weight = oneQueue ? 1 : sim.m_deployment.m_organisations[request.m_organisation].m_weight;
    admission.m_cost = costOf(request, mean);
    admission.m_deadline = request.m_deadline;
    admission.m_remaining = remainingAfter(sim, request);
    admission.m_preemptible = !oneQueue && request.m_class == RequestClass::Batch && stage.m_idempotent;
    admission.m_resumable = admission.m_preemptible;
    Admission &state = sim.m_entries[request.m_entry][stage.m_pool].m_admission;
    const Reason refused = enqueueRequest(state, admission, sim.m_now);
    if (refused != Reason::None) {
        endRequest(sim, id, refused);
        return;
    }
    dispatch(sim, request.m_entry, stage.m_pool);
}

size_t drawOrganisation(Simulation &sim)
{
    double rest = uniformReal(sim.m_random);
    for (size_t i = 0; i + 1 < sim.m_deployment.m_organisations.size(); ++i) {
        rest -= sim.m_deployment.m_organisations[i].m_share;
        if (rest < 0) {
            return i;
        }
    }
    return sim.m_deployment.m_organisations.size() - 1;
}

void arrive(Simulation &sim, RequestClass requestClass)
{
    SimulatedRequest request;
    request.m_class = requestClass;
    request.m_entry = uniformBelow(sim.m_random, sim.m_deployment.m_entries);
    request.m_organisation = drawOrganisation(sim);
    request.m_arrived = sim.m_now;
    request.m_deadline = sim.m_now + (requestClass == RequestClass::Urgent ? sim.m_deployment.m_deadline : BatchDeadline);
    const uint64_t id = sim.m_nextId++;
    sim.m_requests.emplace(id, std::move(request));
    beginStage(sim, id);
}

/** Arrivals as a Poisson process until the end of the run. */
void arriveNext(Simulation &sim, RequestClass requestClass, double perSecond)
{
    const TimePoint at = sim.m_now + fromSeconds(exponential(sim.m_random, 1 / perSecond));
    if (at >= sim.m_end) {
        return;
    }
    schedule(sim, at, [&sim, requestClass, perSecond]() {
        arrive(sim, requestClass);
        arriveNext(sim, requestClass, perSecond);
    });
}

void tick(Simulation &sim)
{
    for (size_t entry = 0; entry < sim.m_entries.size(); ++entry) {
        for (size_t pool = 0; pool < sim.m_entries[entry].size(); ++pool) {
            dispatch(sim, entry, pool);
        }
    }
    if (sim.m_now < sim.m_end) {
        schedule(sim, sim.m_now + Tick, [&sim]() { tick(sim); });
    }
}

void buildPools(Simulation &sim)
{
    for (size_t p = 0; p < sim.m_deployment.m_pools.size(); ++p) {
        std::vector<SimulatedReplica> replicas(sim.m_deployment.m_pools[p].m_replicas);
        for (size_t i = 0; i < replicas.size(); ++i) {
            replicas[i].m_domain = i % sim.m_deployment.m_failureDomains;
        }
        sim.m_replicas.push_back(std::move(replicas));
    }
    for (size_t entry = 0; entry < sim.m_deployment.m_entries; ++entry) {
        std::vector<EntryPool> pools(sim.m_deployment.m_pools.size());
        for (size_t p = 0; p < pools.size(); ++p) {
            const size_t count = sim.m_deployment.m_pools[p].m_replicas;
            pools[p].m_limits.assign(count, makeAdaptiveLimit(sim.m_limitSettings));
            pools[p].m_health.resize(count);
            pools[p].m_presence.resize(count);
            pools[p].m_candidates.resize(count);
            for (size_t i = 0; i < count; ++i) {
                pools[p].m_candidates[i].m_key = combineHash(p + 1, i + 1);
                pools[p].m_candidates[i].m_distance = sim.m_replicas[p][i].m_domain == entry % sim.m_deployment.m_failureDomains ? 0 : 1;
            }
        }
        sim.m_entries.push_back(std::move(pools));
    }
}

void scheduleFaults(Simulation &sim)
{
    const Scenario &scenario = sim.m_scenario;
    schedule(sim, scenario.m_faultsAt, [&sim]() {
        if (sim.m_scenario.m_straggler) {
            sim.m_replicas[sim.m_modelPool][*sim.m_scenario.m_straggler].m_factor = sim.m_scenario.m_stragglerFactor;
        }
        if (sim.m_scenario.m_failed) {
            failReplica(sim, sim.m_modelPool, *sim.m_scenario.m_failed);
        }
    });
    if (scenario.m_outageFrom == scenario.m_outageTo) {
        return;
    }
    schedule(sim, scenario.m_outageFrom, [&sim]() {
        for (size_t i = 0; i < sim.m_replicas[sim.m_modelPool].size(); ++i) {
            failReplica(sim, sim.m_modelPool, i);
        }
    });
    schedule(sim, scenario.m_outageTo, [&sim]() {
        for (SimulatedReplica &replica : sim.m_replicas[sim.m_modelPool]) {
            replica.m_failed = false;
        }
    });
}

double modelCapacity(const Simulation &sim)
{
    const PoolSpec &pool = sim.m_deployment.m_pools[sim.m_modelPool];
    return static_cast<double>(pool.m_replicas * pool.m_slots);
}

double serviceOnModel(const Simulation &sim, RequestClass requestClass)
{
    double service = 0;
    for (const StageSpec &stage : stagesOf(sim, requestClass)) {
        service += stage.m_pool == sim.m_modelPool ? toSeconds(stage.m_service) : 0;
    }
    return service;
}

void summarise(Simulation &sim)
{
    double replicas = static_cast<double>(sim.m_deployment.m_pools[sim.m_modelPool].m_replicas);
    replicas -= sim.m_scenario.m_failed ? 1 : 0;
    const auto slots = static_cast<double>(sim.m_deployment.m_pools[sim.m_modelPool].m_slots);
    sim.m_result.m_capacitySeconds = replicas * slots * toSeconds(sim.m_scenario.m_length);
    for (const auto &[arrived, answered] : sim.m_bySecond) {
        sim.m_result.m_attainmentBySecond.push_back(arrived == 0 ? 1 : static_cast<double>(answered) / static_cast<double>(arrived));
    }
}

size_t poolIndex(const Deployment &deployment, const std::string &name)
{
    for (size_t i = 0; i < deployment.m_pools.size(); ++i) {
        if (deployment.m_pools[i].m_name == name) {
            return i;
        }
    }
    fmt::print(stderr, "unknown pool \"{}\" in deployment {}\n", name, deployment.m_name);
    std::exit(EXIT_FAILURE);
}

std::vector<StageSpec> readStages(const Deployment &deployment, const nlohmann::json &list)
{
    std::vector<StageSpec> stages;
    for (const auto &stage : list) {
        stages.push_back(
            {poolIndex(deployment, stage.at("pool")), milliseconds(stage.at("service_ms").get<int>()), stage.at("idempotent")});
    }
    return stages;
}

} // namespace

Deployment loadDeployment(const std::string &name)
{
    const std::string path = std::string(MEDLARRAMP_SOURCE_DIR) + "/bench/data/" + name + ".json";
    std::ifstream file(path);
    if (!file) {
        fmt::print(stderr, "cannot read {}\n", path);
        std::exit(EXIT_FAILURE);
    }
    const nlohmann::json json = nlohmann::json::parse(file);
    Deployment deployment;
    deployment.m_name = json.at("name");
    deployment.m_entries = json.at("entries");
    deployment.m_failureDomains = json.at("failure_domains");
    deployment.m_oneWay = Duration(json.at("one_way_us").get<int64_t>());
    deployment.m_deadline = milliseconds(json.at("deadline_ms").get<int64_t>());
    deployment.m_urgentLoad = json.at("urgent_load");
    for (const auto &pool : json.at("pools")) {
        deployment.m_pools.push_back({pool.at("name"), pool.at("replicas"), pool.at("slots"), pool.at("reports_load")});
    }
    deployment.m_urgentStages = readStages(deployment, json.at("urgent_stages"));
    deployment.m_batchStages = readStages(deployment, json.at("batch_stages"));
    for (const auto &organisation : json.at("organisations")) {
        deployment.m_organisations.push_back({organisation.at("weight"), organisation.at("share")});
    }
    return deployment;
}

double attainment(const Result &result)
{
    return result.m_urgent == 0 ? 1 : static_cast<double>(result.m_urgentAnswered) / static_cast<double>(result.m_urgent);
}

double wastedShare(const Result &result)
{
    return result.m_usedSeconds > 0 ? result.m_wastedSeconds / result.m_usedSeconds : 0;
}

Result simulate(const Deployment &deployment, const Scenario &scenario, uint64_t seed)
{
    Simulation sim;
    sim.m_deployment = deployment;
    sim.m_scenario = scenario;
    sim.m_random = Random{seed};
    sim.m_end = TimePoint{} + scenario.m_length;
    sim.m_modelPool = 0;
    sim.m_result.m_losses.resize(static_cast<size_t>(Reason::Count));
    sim.m_result.m_batchLosses.resize(static_cast<size_t>(Reason::Count));
    sim.m_bySecond.resize(static_cast<size_t>(toSeconds(scenario.m_length)) + 1);
    buildPools(sim);
    scheduleFaults(sim);
    arriveNext(sim, RequestClass::Urgent, deployment.m_urgentLoad * modelCapacity(sim) / serviceOnModel(sim, RequestClass::Urgent));
    if (scenario.m_batchLoad > 0) {
        arriveNext(sim, RequestClass::Batch, scenario.m_batchLoad * modelCapacity(sim) / serviceOnModel(sim, RequestClass::Batch));
    }
    tick(sim);
    while (!sim.m_events.empty() && sim.m_events.top().m_at <= sim.m_end) {
        const Event event = sim.m_events.top();
        sim.m_events.pop();
        sim.m_now = event.m_at;
        event.m_run();
    }
    summarise(sim);
    return sim.m_result;
}

} // namespace Medlarramp::Bench
