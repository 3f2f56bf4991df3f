#include <algorithm>
#include <cassert>
#include <cmath>

#include "policy.h"

namespace Medlarramp {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
constexpr double EstimateGain = 0.05; ///< weight of a new sample
constexpr double MinWeight = 1e-3; ///< keeps start tags finite for an organisation of weight 0
constexpr double MinCost = 1e-3; ///< cost units; keeps service times per cost unit finite
constexpr size_t MinCleanupSize = 64; ///< organisations; lowest FairQueue::m_cleanupSize
constexpr double MaxBatchCredit = 4; ///< cost units; bounds the burst of batch after a long urgent load
/// The service estimate is used for refusals only after this many samples.
constexpr uint64_t MinEstimateSamples = 10;

double toSeconds(Duration duration)
{
    return static_cast<double>(duration.count()) / MicrosecondsPerSecond;
}

Duration fromSeconds(double value)
{
    return Duration(static_cast<int64_t>(value * MicrosecondsPerSecond));
}

FairQueue &queueOf(Admission &admission, RequestClass requestClass)
{
    return requestClass == RequestClass::Urgent ? admission.m_urgent : admission.m_batch;
}

double startTag(const FairQueue &queue, const OrganisationQueue &organisation)
{
    return std::max(queue.m_virtualTime, organisation.m_finishTag);
}

const DurationEstimate &serviceOf(const Admission &admission, RequestClass requestClass)
{
    return admission.m_service[static_cast<size_t>(requestClass)];
}

/** Adds the weight of an organisation to the total when its queue becomes non-empty. */
void activate(FairQueue &queue, OrganisationQueue &organisation, double weight)
{
    organisation.m_weight = std::max(weight, MinWeight);
    queue.m_weight += organisation.m_weight;
}

void deactivate(FairQueue &queue, OrganisationQueue &organisation)
{
    queue.m_weight -= organisation.m_weight;
    organisation.m_weight = 0;
    organisation.m_cost = 0;
}

/** Subtracts a removed request from the sums. They are set to 0 when the queue is empty, because rounding errors accumulate. */
void subtractCost(FairQueue &queue, OrganisationQueue &organisation, double cost)
{
    queue.m_size -= 1;
    queue.m_cost -= cost;
    organisation.m_cost -= cost;
    if (organisation.m_requests.empty()) {
        deactivate(queue, organisation);
    }
    if (queue.m_size == 0) {
        queue.m_cost = 0;
        queue.m_weight = 0;
    }
}

void eraseFromOrder(FairQueue &queue, uint64_t organisation)
{
    auto it = queue.m_order.begin();
    while (it != queue.m_order.end() && it->second != organisation) {
        ++it;
    }
    if (it != queue.m_order.end()) {
        queue.m_order.erase(it);
    }
}

/**
 * Removes organisations without queued requests whose finish tag is not above the virtual time. Runs when the number of
 * organisations has doubled, so that its amortised cost per request is constant.
 */
void removeIdle(FairQueue &queue)
{
    if (queue.m_size == 0) {
        queue.m_queues.clear();
        queue.m_virtualTime = 0;
        queue.m_cleanupSize = MinCleanupSize;
        return;
    }
    if (queue.m_queues.size() < queue.m_cleanupSize) {
        return;
    }
    std::erase_if(queue.m_queues,
                  [&](const auto &entry) { return entry.second.m_requests.empty() && entry.second.m_finishTag <= queue.m_virtualTime; });
    queue.m_cleanupSize = std::max(MinCleanupSize, 2 * queue.m_queues.size());
}

void pushRequest(FairQueue &queue, const AdmissionRequest &request)
{
    OrganisationQueue &organisation = queue.m_queues[request.m_organisation];
    if (organisation.m_requests.empty()) {
        queue.m_order.emplace(startTag(queue, organisation), request.m_organisation);
        activate(queue, organisation, request.m_weight);
    }
    if (request.m_resumed) {
        organisation.m_requests.push_front(request);
    } else {
        organisation.m_requests.push_back(request);
    }
    queue.m_size += 1;
    queue.m_cost += request.m_cost;
    organisation.m_cost += request.m_cost;
}

/** Removes the request that is next in fair order. @param charge whether its cost is charged to its organisation */
AdmissionRequest popRequest(FairQueue &queue, bool charge)
{
    assert(!queue.m_order.empty());
    const auto [tag, key] = *queue.m_order.begin();
    queue.m_order.erase(queue.m_order.begin());
    OrganisationQueue &organisation = queue.m_queues[key];
    AdmissionRequest request = organisation.m_requests.front();
    organisation.m_requests.pop_front();
    subtractCost(queue, organisation, request.m_cost);
    if (charge) {
        queue.m_virtualTime = tag;
        organisation.m_finishTag = tag + std::max(request.m_cost, MinCost) / std::max(request.m_weight, MinWeight);
    }
    if (!organisation.m_requests.empty()) {
        queue.m_order.emplace(startTag(queue, organisation), key);
    }
    removeIdle(queue);
    return request;
}

Duration expectedService(const Admission &admission, const AdmissionRequest &request)
{
    const DurationEstimate &service = serviceOf(admission, request.m_class);
    if (service.m_samples < MinEstimateSamples) {
        return Duration{0};
    }
    const double deviations = admission.m_settings.m_deadlineDeviations[static_cast<size_t>(request.m_class)];
    return fromSeconds((service.m_mean + deviations * service.m_deviation) * request.m_cost);
}

bool canMeetDeadline(const Admission &admission, const AdmissionRequest &request, Duration wait, TimePoint now)
{
    const Duration remaining = fromSeconds(toSeconds(request.m_remaining) * admission.m_settings.m_remainingMargin);
    return now + wait + expectedService(admission, request) + remaining <= request.m_deadline;
}

/**
 * Whether a request may run as a probe although its deadline is estimated as unreachable. Without probes, an estimate that is
 * too high would refuse all requests and never be corrected.
 */
bool acquireProbe(Admission &admission, const AdmissionRequest &request, TimePoint now)
{
    if (request.m_deadline <= now || now < admission.m_nextProbe) {
        return false;
    }
    admission.m_nextProbe = now + admission.m_settings.m_probeInterval;
    return true;
}

void startRequest(Admission &admission, const AdmissionRequest &request, bool guaranteed, TimePoint now, AdmissionActions &actions)
{
    admission.m_running.emplace(request.m_id, RunningRequest{request, now, guaranteed, false});
    admission.m_runningUrgent += request.m_class == RequestClass::Urgent ? 1 : 0;
    actions.m_start.push_back(request.m_id);
}

/** Starts the next request of a class that can meet its deadline and refuses those before it. @return its cost; 0: none started */
double startNext(Admission &admission, RequestClass requestClass, bool guaranteed, TimePoint now, AdmissionActions &actions)
{
    FairQueue &queue = queueOf(admission, requestClass);
    while (queue.m_size > 0) {
        const OrganisationQueue &organisation = queue.m_queues[queue.m_order.begin()->second];
        const AdmissionRequest &next = organisation.m_requests.front();
        const bool probed = next.m_probe && next.m_deadline > now;
        const bool startable = probed || canMeetDeadline(admission, next, Duration{0}, now) || acquireProbe(admission, next, now);
        const AdmissionRequest request = popRequest(queue, startable);
        if (startable) {
            startRequest(admission, request, guaranteed, now, actions);
            return std::max(request.m_cost, MinCost);
        }
        actions.m_refuse.push_back({request.m_id, Reason::DeadlineUnreachable});
    }
    return 0;
}

void addBatchCredit(Admission &admission, double urgentCost)
{
    const double share = std::clamp(admission.m_settings.m_batchShare, 0.0, 0.5);
    admission.m_batchCredit = std::min(MaxBatchCredit, admission.m_batchCredit + urgentCost * share / (1 - share));
}

size_t freeSlots(const Admission &admission)
{
    const auto slots = static_cast<size_t>(std::max(0.0, std::floor(admission.m_capacity)));
    return slots > admission.m_running.size() ? slots - admission.m_running.size() : 0;
}

bool startOne(Admission &admission, TimePoint now, AdmissionActions &actions)
{
    const bool batchIsDue = admission.m_batchCredit >= 1 && admission.m_batch.m_size > 0;
    if (batchIsDue) {
        const double cost = startNext(admission, RequestClass::Batch, admission.m_urgent.m_size > 0, now, actions);
        admission.m_batchCredit = std::max(0.0, admission.m_batchCredit - cost);
        if (cost > 0) {
            return true;
        }
    }
    const double urgentCost = startNext(admission, RequestClass::Urgent, false, now, actions);
    if (urgentCost > 0) {
        addBatchCredit(admission, urgentCost);
        return true;
    }
    return startNext(admission, RequestClass::Batch, false, now, actions) > 0;
}

double decayedBatchCost(const Admission &admission, TimePoint now)
{
    return admission.m_batchFinishedCost * std::exp(-toSeconds(now - admission.m_batchDecayedAt) / toSeconds(BatchRateWindow));
}

/**
 * Measured throughput of batch, in cost units per second. Preemption makes it lower than slots divided by service time.
 * @param expected throughput that is returned until one window has been measured
 */
double batchRate(const Admission &admission, double expected, TimePoint now)
{
    if (admission.m_batchMeasuredSince == TimePoint{} || now - admission.m_batchMeasuredSince < BatchRateWindow) {
        return expected;
    }
    // At a rate of 0 a pool that was blocked for some time would never accept batch again.
    constexpr double MinRateShare = 0.05;
    return std::max(MinRateShare * expected, decayedBatchCost(admission, now) / toSeconds(BatchRateWindow));
}

void recordFinishedBatch(Admission &admission, double cost, TimePoint now)
{
    admission.m_batchFinishedCost = decayedBatchCost(admission, now) + cost;
    admission.m_batchDecayedAt = now;
    admission.m_batchMeasuredSince = admission.m_batchMeasuredSince == TimePoint{} ? now : admission.m_batchMeasuredSince;
}

double preemptionLoss(const Admission &admission, const RunningRequest &running, TimePoint now)
{
    const double share = running.m_request.m_resumable ? admission.m_settings.m_resumeCost : 1.0;
    return share * toSeconds(now - running.m_started);
}

/** The preemptible batch request whose preemption discards the least service time, or null. */
RunningRequest *cheapestVictim(Admission &admission, TimePoint now)
{
    RunningRequest *best = nullptr;
    double bestLoss = 0;
    for (auto &[id, running] : admission.m_running) {
        const bool eligible = running.m_request.m_class == RequestClass::Batch && running.m_request.m_preemptible && !running.m_guaranteed
            && !running.m_preempted;
        if (!eligible) {
            continue;
        }
        const double loss = preemptionLoss(admission, running, now);
        const bool better = !best || loss < bestLoss || (loss == bestLoss && id < best->m_request.m_id);
        if (better) {
            best = &running;
            bestLoss = loss;
        }
    }
    return best;
}

/** Number of overdue urgent requests (queued for at least m_preemptAfter), counted up to @p bound. */
size_t countOverdue(const Admission &admission, TimePoint now, size_t bound)
{
    size_t count = 0;
    for (const auto &[key, organisation] : admission.m_urgent.m_queues) {
        for (const AdmissionRequest &request : organisation.m_requests) {
            if (count >= bound || request.m_queuedAt + admission.m_settings.m_preemptAfter > now) {
                break;
            }
            count += 1;
        }
    }
    return count;
}

/** When the next queued urgent request becomes overdue; at least 1 ms after @p now. */
std::optional<TimePoint> nextOverdue(const Admission &admission, TimePoint now)
{
    std::optional<TimePoint> next;
    for (const auto &[key, organisation] : admission.m_urgent.m_queues) {
        if (!organisation.m_requests.empty()) {
            const TimePoint at =
                std::max(now + milliseconds(1), organisation.m_requests.front().m_queuedAt + admission.m_settings.m_preemptAfter);
            next = next ? std::min(*next, at) : at;
        }
    }
    return next;
}

/**
 * Selects batch requests for preemption, one for each overdue urgent request. Urgent requests are queued for m_preemptAfter
 * first, because slots become free all the time and each preempted request has to run part of its work again.
 */
void preemptBatch(Admission &admission, TimePoint now, AdmissionActions &actions)
{
    const size_t overdue = countOverdue(admission, now, admission.m_running.size() + 1);
    while (overdue > admission.m_pendingPreemptions) {
        RunningRequest *victim = cheapestVictim(admission, now);
        if (!victim) {
            return;
        }
        const double loss = preemptionLoss(admission, *victim, now);
        if (loss > admission.m_wasteAllowance) {
            return;
        }
        admission.m_wasteAllowance -= loss;
        admission.m_wastedSeconds += loss;
        victim->m_preempted = true;
        admission.m_pendingPreemptions += 1;
        actions.m_preempt.push_back(victim->m_request.m_id);
    }
}

void refuseUnreachable(Admission &admission, TimePoint now, AdmissionActions &actions)
{
    for (FairQueue *queue : {&admission.m_urgent, &admission.m_batch}) {
        bool removed = true;
        while (removed && queue->m_size > 0) {
            const OrganisationQueue &organisation = queue->m_queues[queue->m_order.begin()->second];
            removed = organisation.m_requests.front().m_deadline <= now;
            if (removed) {
                actions.m_refuse.push_back({popRequest(*queue, false).m_id, Reason::DeadlineUnreachable});
            }
        }
    }
}

} // namespace

void addSample(DurationEstimate &estimate, Duration sample)
{
    const double value = toSeconds(sample);
    estimate.m_samples += 1;
    const double gain = std::max(EstimateGain, 1.0 / static_cast<double>(estimate.m_samples));
    const double error = value - estimate.m_mean;
    estimate.m_mean += gain * error;
    estimate.m_deviation += gain * (std::abs(error) - estimate.m_deviation);
}

Duration meanOf(const DurationEstimate &estimate)
{
    return fromSeconds(estimate.m_mean);
}

Duration upperBoundOf(const DurationEstimate &estimate, double deviations)
{
    return fromSeconds(estimate.m_mean + deviations * estimate.m_deviation);
}

Duration expectedWait(const Admission &admission, const AdmissionRequest &request, TimePoint now)
{
    const bool urgent = request.m_class == RequestClass::Urgent;
    const FairQueue &queue = urgent ? admission.m_urgent : admission.m_batch;
    const size_t busy = urgent ? admission.m_runningUrgent : admission.m_running.size();
    const DurationEstimate &service = serviceOf(admission, request.m_class);
    if (service.m_samples < MinEstimateSamples || static_cast<double>(busy) < std::floor(admission.m_capacity)) {
        return Duration{0};
    }
    const auto own = queue.m_queues.find(request.m_organisation);
    const double ownCost = own == queue.m_queues.end() || request.m_resumed ? 0 : own->second.m_cost;
    const double ownWeight = own == queue.m_queues.end() ? 0 : own->second.m_weight;
    const double weight = std::max(request.m_weight, MinWeight);
    // While the earlier requests of this organisation are served, the others get their fair shares, at most the work they have queued.
    const double fair = ownCost * (queue.m_weight - ownWeight + weight) / weight;
    const double slots = admission.m_capacity - (urgent ? 0.0 : static_cast<double>(admission.m_runningUrgent));
    const double rate = std::max(1.0, slots) / std::max(1e-6, service.m_mean);
    return fromSeconds(std::min(fair, queue.m_cost) / (urgent ? rate : std::min(rate, batchRate(admission, rate, now))));
}

Duration expectedTime(const Admission &admission, const AdmissionRequest &request, TimePoint now)
{
    return expectedWait(admission, request, now) + expectedService(admission, request);
}

Reason enqueueRequest(Admission &admission, const AdmissionRequest &request, TimePoint now)
{
    const AdmissionSettings &settings = admission.m_settings;
    FairQueue &queue = queueOf(admission, request.m_class);
    const size_t bound = request.m_class == RequestClass::Urgent ? settings.m_maxQueuedUrgent : settings.m_maxQueuedBatch;
    const auto own = queue.m_queues.find(request.m_organisation);
    const size_t ownSize = own == queue.m_queues.end() ? 0 : own->second.m_requests.size();
    // A preempted request has just freed a slot, so the capacity bounds how far the queue can exceed its limit.
    const bool bounded = !request.m_resumed;
    if (bounded && (queue.m_size >= bound || ownSize >= settings.m_maxQueuedByOrganisation)) {
        return Reason::QueueFull;
    }
    AdmissionRequest queued = request;
    queued.m_queuedAt = now;
    queued.m_probe = !canMeetDeadline(admission, request, expectedWait(admission, request, now), now);
    if (queued.m_probe && !acquireProbe(admission, request, now)) {
        return Reason::DeadlineUnreachable;
    }
    pushRequest(queue, queued);
    return Reason::None;
}

void dispatchRequests(Admission &admission, double capacity, TimePoint now, AdmissionActions &actions)
{
    actions.m_start.clear();
    actions.m_refuse.clear();
    actions.m_preempt.clear();
    admission.m_capacity = capacity;
    refuseUnreachable(admission, now, actions);
    for (size_t slots = freeSlots(admission); slots > 0; --slots) {
        if (!startOne(admission, now, actions)) {
            break;
        }
    }
    preemptBatch(admission, now, actions);
    const bool preemptible = admission.m_running.size() > admission.m_runningUrgent;
    actions.m_nextDispatch = preemptible ? nextOverdue(admission, now) : std::nullopt;
}

void finishRequest(Admission &admission, uint64_t id, Finish finish, TimePoint now)
{
    const auto it = admission.m_running.find(id);
    assert(it != admission.m_running.end());
    const RunningRequest running = it->second;
    admission.m_running.erase(it);
    admission.m_runningUrgent -= running.m_request.m_class == RequestClass::Urgent ? 1 : 0;
    admission.m_pendingPreemptions -= running.m_preempted ? 1 : 0;
    const double serviceSeconds = toSeconds(now - running.m_started);
    if (finish != Finish::Useful) {
        return;
    }
    addSample(admission.m_service[static_cast<size_t>(running.m_request.m_class)],
              fromSeconds(serviceSeconds / std::max(running.m_request.m_cost, MinCost)));
    if (running.m_request.m_class == RequestClass::Batch) {
        recordFinishedBatch(admission, running.m_request.m_cost, now);
    }
    admission.m_usefulSeconds += serviceSeconds;
    admission.m_wasteAllowance = std::min(toSeconds(admission.m_settings.m_wasteBurst),
                                          admission.m_wasteAllowance + serviceSeconds * admission.m_settings.m_wasteShare);
}

bool withdrawRequest(Admission &admission, uint64_t id, uint64_t organisation, RequestClass requestClass)
{
    FairQueue &queue = queueOf(admission, requestClass);
    const auto own = queue.m_queues.find(organisation);
    if (own == queue.m_queues.end()) {
        return false;
    }
    std::deque<AdmissionRequest> &requests = own->second.m_requests;
    const auto it = std::find_if(requests.begin(), requests.end(), [id](const AdmissionRequest &request) { return request.m_id == id; });
    if (it == requests.end()) {
        return false;
    }
    const double cost = it->m_cost;
    requests.erase(it);
    subtractCost(queue, own->second, cost);
    if (requests.empty()) {
        eraseFromOrder(queue, organisation);
    }
    removeIdle(queue);
    return true;
}

} // namespace Medlarramp
