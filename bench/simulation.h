#pragma once

/**
 * Event loop in virtual time that drives the decision functions of policy.h with a few entries and one deployment's replicas.
 *
 * Index of sections:
 *  [SECTION] Deployment   what bench/data describes
 *  [SECTION] Scenario     load, faults and the decisions to replace by a baseline
 *  [SECTION] Result       what was measured
 */

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core.h"
#include "policy.h"

namespace Medlarramp::Bench {

//-----------------------------------------------------------------------------
// [SECTION] Deployment
//-----------------------------------------------------------------------------

struct PoolSpec {
    std::string m_name;
    size_t m_replicas = 1;
    size_t m_slots = 16; ///< requests that a replica serves at once
    bool m_reportsLoad = false;
};

struct StageSpec {
    size_t m_pool = 0; ///< index
    Duration m_service{}; ///< mean
    bool m_idempotent = true;
};

struct OrganisationSpec {
    double m_weight = 1;
    double m_share = 1; ///< of the arrivals
};

struct Deployment {
    std::string m_name;
    size_t m_entries = 9;
    size_t m_failureDomains = 3;
    Duration m_oneWay{}; ///< between failure domains
    Duration m_deadline = seconds(7); ///< urgent requests
    double m_urgentLoad = 0.4; ///< share of the model pool's capacity
    std::vector<PoolSpec> m_pools;
    std::vector<StageSpec> m_urgentStages;
    std::vector<StageSpec> m_batchStages;
    std::vector<OrganisationSpec> m_organisations;
};

/** Reads bench/data/<name>.json; ends the process with a message when it cannot be read. */
Deployment loadDeployment(const std::string &name);

//-----------------------------------------------------------------------------
// [SECTION] Scenario
//-----------------------------------------------------------------------------

enum class RoutingMode : uint8_t { Policy, RoundRobin, Random, LeastOpen };
enum class AdmissionMode : uint8_t { Policy, OneQueue };
enum class RetryMode : uint8_t { Policy, PlainThree };

struct Scenario {
    Duration m_length = std::chrono::hours(1);
    double m_batchLoad = 0; ///< arrivals of batch as a multiple of the model pool's capacity
    std::optional<size_t> m_straggler; ///< replica of the first urgent model stage's pool
    std::optional<size_t> m_failed; ///< replica of the same pool
    double m_stragglerFactor = 10;
    TimePoint m_faultsAt; ///< straggler and failure begin
    TimePoint m_outageFrom; ///< every replica of the model pool fails; equal times: never
    TimePoint m_outageTo;
    RoutingMode m_routing = RoutingMode::Policy;
    AdmissionMode m_admission = AdmissionMode::Policy;
    RetryMode m_retry = RetryMode::Policy;
};

//-----------------------------------------------------------------------------
// [SECTION] Result
//-----------------------------------------------------------------------------

enum class WasteCause : uint8_t {
    Cancelled, ///< a hedge or its first attempt, or an attempt of a failed request
    Lost, ///< the replica failed
    Unanswered, ///< finished stages of a request that got no answer in time
    TimedOut,
    Preempted,
    Count, ///< number of causes, not a cause
};

struct Result {
    uint64_t m_urgent = 0; ///< urgent requests whose end fell into the run
    uint64_t m_urgentAnswered = 0; ///< of them, answered within the deadline
    uint64_t m_batchAnswered = 0;
    uint64_t m_modelRequests = 0; ///< first attempts on the model pool during the outage
    uint64_t m_modelAttempts = 0; ///< all attempts on the model pool during the outage
    double m_urgentSeconds = 0; ///< slot time of the model pool that gave delivered urgent answers
    double m_batchSeconds = 0; ///< slot time of the model pool that gave delivered batch answers
    double m_wastedSeconds = 0; ///< slot time of all pools whose answer nobody received
    std::array<double, static_cast<size_t>(WasteCause::Count)> m_wastedByCause{};
    double m_usedSeconds = 0; ///< slot time of all pools
    double m_capacitySeconds = 0; ///< slot time that the model pool offered
    uint64_t m_repeatedRuns = 0; ///< non-idempotent stages that ran twice
    uint64_t m_hedges = 0;
    uint64_t m_preemptions = 0;
    uint64_t m_retries = 0;
    std::vector<uint64_t> m_losses; ///< urgent requests not answered, by Reason
    std::vector<uint64_t> m_batchLosses; ///< batch requests that had used slot time and were not answered, by Reason
    std::vector<double> m_attainmentBySecond; ///< answered share of the urgent requests that arrived in each second
};

double attainment(const Result &result);
double wastedShare(const Result &result);
Result simulate(const Deployment &deployment, const Scenario &scenario, uint64_t seed);

} // namespace Medlarramp::Bench
