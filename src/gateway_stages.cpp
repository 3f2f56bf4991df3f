#include <algorithm>

#include <fmt/format.h>

#include "gateway_internal.h"

namespace Medlarramp::Serving {

namespace {

constexpr Duration ExpectedRunTime = milliseconds(200); ///< from the last stage to the first event, on a replica with free slots
constexpr Duration ReleaseDelay = milliseconds(5); ///< results released within this time share one call
/**
 * Expected time for a replica to fetch the inputs of a call once the call has started: connection, request and fetch between
 * failure domains.
 */
constexpr Duration ExpectedInputsFetchTime = milliseconds(70);
constexpr size_t MaxReleases = 512; ///< handles per release call
constexpr Duration CallTimeoutMargin = milliseconds(1500); ///< fixed part of the timeout of a stage call
constexpr int64_t CallTimeoutFactor = 4; ///< multiple of the expected time in the timeout, for slow replicas

void runQueue(Gateway &gateway, OwnedQueue &owned);

//-----------------------------------------------------------------------------
// Stage tasks of this gateway's requests
//-----------------------------------------------------------------------------

/** Latest start of a stage that still meets the latency target, given the expected time of this and later stages and the run. */
TimePoint latestStart(const Exchange &exchange, size_t stage)
{
    return exchange.m_objectiveAt - ExpectedRunTime
        - expectedChainTime(*exchange.m_configuration, *exchange.m_route, exchange.m_plan, stage);
}

StageTask makeTask(Gateway &gateway, const Exchange &exchange, size_t stage, uint64_t submission)
{
    const ServingStage &definition = exchange.m_route->m_stages[stage];
    StageTask task;
    task.m_submitter = gateway.m_settings.m_node;
    task.m_submission = submission;
    task.m_request = exchange.m_attemptId;
    task.m_stage = static_cast<int>(stage);
    task.m_inputs = inputsOf(*exchange.m_route, exchange.m_plan, stage);
    if (definition.m_after.empty()) {
        task.m_key = std::string(findHeader(exchange.m_request.m_headers, Platform::PieceKey).value_or(""));
    }
    task.m_rank = exchange.m_rank;
    task.m_value = exchange.m_value;
    task.m_deadline = exchange.m_firstEventDeadline;
    task.m_latestStart = latestStart(exchange, stage);
    task.m_work = exchange.m_objectiveAt - task.m_latestStart;
    task.m_resultBytes = definition.m_resultBytes;
    const int pieces = exchange.m_plan.m_stages[stage].m_pieces;
    task.m_failureDomain = preferredDomain(resultBytesByDomain(gateway, exchange, definition.m_after),
                                           pieces,
                                           expectedDomain(gateway, exchange),
                                           finalBytes(*exchange.m_route, exchange.m_plan, stage));
    task.m_pieces.resize(static_cast<size_t>(pieces));
    for (size_t i = 0; i < task.m_pieces.size(); ++i) {
        task.m_pieces[i] = static_cast<int>(i);
    }
    return task;
}

PeerMessage makeSubmitMessage(const StageTask &task, const std::string &service, TimePoint now)
{
    PeerMessage message;
    message.m_kind = PeerKind::Submit;
    message.m_submission = task.m_submission;
    message.m_service = service;
    message.m_request = task.m_request;
    message.m_stage = task.m_stage;
    message.m_pieces = static_cast<int32_t>(task.m_pieces.size());
    message.m_key = task.m_key;
    message.m_handles = task.m_inputs;
    message.m_rank = task.m_rank;
    message.m_value = task.m_value;
    message.m_timeLeftUs = (task.m_deadline - now).count();
    message.m_latestStartUs = (task.m_latestStart - now).count();
    message.m_resultBytes = task.m_resultBytes;
    message.m_workUs = task.m_work.count();
    message.m_failureDomain = task.m_failureDomain;
    return message;
}

void submitStage(Gateway &gateway, Exchange &exchange, size_t stage)
{
    const uint64_t number = gateway.m_nextNumber++;
    const std::string &service = exchange.m_route->m_stages[stage].m_service;
    StageTask task = makeTask(gateway, exchange, stage, number);
    exchange.m_plan.m_stages[stage].m_state = StageState::Submitted;
    exchange.m_submissions[stage] = number;
    const TimePoint now = gatewayNow(gateway);
    std::string owner = ownerOf(gateway.m_membership, service, now);
    if (owner != gateway.m_settings.m_node && !sendToPeer(gateway, owner, makeSubmitMessage(task, service, now))) {
        owner = gateway.m_settings.m_node;
    }
    gateway.m_submissions[number] = {exchange.m_number, stage, service, owner};
    if (owner == gateway.m_settings.m_node) {
        enqueueTask(gateway, service, std::move(task));
    }
}

/** Expected time until the first of the stages at work is done, with empty queues; the longest Duration when none is at work. */
Duration firstCompletion(const Exchange &exchange)
{
    Duration first = Duration::max();
    for (const auto &[stage, submission] : exchange.m_submissions) {
        if (!exchange.m_delayTimers.contains(stage)) {
            first = std::min(first, expectedStageTime(*exchange.m_configuration, *exchange.m_route, stage));
        }
    }
    return first;
}

void submitOrDelay(Gateway &gateway, Exchange &exchange, size_t stage, Duration delay)
{
    if (delay <= Duration(0)) {
        submitStage(gateway, exchange, stage);
        return;
    }
    if (delay > firstCompletion(exchange)) {
        return; // a stage of the parallel chain ends before, and the delay is computed again then
    }
    exchange.m_plan.m_stages[stage].m_state = StageState::Submitted;
    const uint64_t number = exchange.m_number;
    exchange.m_delayTimers[stage].start(gateway.m_loop, delay, [&gateway, number, stage] {
        if (Exchange *delayed = findExchange(gateway, number)) {
            submitStage(gateway, *delayed, stage);
        }
    });
}

using ReleaseAction = void (*)(Gateway &gateway, const std::string &service, const std::vector<std::string> &handles);

/**
 * Applies @p action to the results of @p stage that this gateway owns, and sends a message of @p kind to the owners of others.
 * Falls back to @p action when an owner is no longer a member.
 */
void notifyOwners(Gateway &gateway, Exchange &exchange, size_t stage, PeerKind kind, ReleaseAction action)
{
    std::map<std::string, std::vector<std::string>> byOwner;
    for (const std::string &handle : exchange.m_plan.m_stages[stage].m_handles) {
        byOwner[exchange.m_resultOwners[handle]].push_back(handle);
    }
    const std::string &service = exchange.m_route->m_stages[stage].m_service;
    for (auto &[owner, handles] : byOwner) {
        PeerMessage message;
        message.m_kind = kind;
        message.m_service = service;
        message.m_handles = handles;
        if (owner == gateway.m_settings.m_node || !sendToPeer(gateway, owner, message)) {
            action(gateway, service, handles);
        }
    }
}

void releaseFrom(Gateway &gateway, Exchange &exchange, size_t stage)
{
    exchange.m_plan.m_stages[stage].m_resultsReleased = true;
    notifyOwners(gateway, exchange, stage, PeerKind::Release, releaseHandles);
}

void markStageEvictable(Gateway &gateway, Exchange &exchange, size_t stage)
{
    exchange.m_plan.m_stages[stage].m_resultsEvictable = true;
    notifyOwners(gateway, exchange, stage, PeerKind::Evictable, markHandlesEvictable);
}

bool holdsResults(const PlannedStage &stage)
{
    return !stage.m_resultsReleased && !stage.m_handles.empty();
}

/** Cancels the open task of @p stage, whether it is delayed, in a local queue or at a peer. */
void cancelSubmission(Gateway &gateway, Exchange &exchange, size_t stage)
{
    exchange.m_delayTimers.erase(stage);
    const auto entry = exchange.m_submissions.find(stage);
    const uint64_t number = entry == exchange.m_submissions.end() ? 0 : entry->second;
    exchange.m_submissions.erase(stage);
    const auto submission = gateway.m_submissions.find(number);
    if (submission == gateway.m_submissions.end()) {
        return;
    }
    const Submission open = submission->second;
    gateway.m_submissions.erase(submission);
    if (open.m_owner == gateway.m_settings.m_node) {
        cancelEnqueued(gateway, open.m_service, open.m_owner, number);
        return;
    }
    PeerMessage message;
    message.m_kind = PeerKind::Cancel;
    message.m_service = open.m_service;
    message.m_submission = number;
    sendToPeer(gateway, open.m_owner, message);
}

//-----------------------------------------------------------------------------
// Owned queues
//-----------------------------------------------------------------------------

OwnedQueue &queueOf(Gateway &gateway, const std::string &service)
{
    std::unique_ptr<OwnedQueue> &owned = gateway.m_queues[service];
    if (!owned) {
        owned = std::make_unique<OwnedQueue>();
        owned->m_queue.m_service = service;
        syncQueues(gateway);
    }
    return *owned;
}

void reportOutcome(Gateway &gateway, const std::string &service, StageOutcome outcome)
{
    StageTask &task = outcome.m_task;
    if (outcome.m_reason != Reason::None) {
        std::erase(task.m_handles, "");
        releaseHandles(gateway, service, task.m_handles);
        task.m_handles.clear();
    }
    if (task.m_submitter == gateway.m_settings.m_node) {
        handleStageResult(gateway, task.m_submission, outcome.m_reason, std::move(task.m_handles));
        return;
    }
    PeerMessage message;
    message.m_kind = PeerKind::Result;
    message.m_submission = task.m_submission;
    message.m_service = service;
    message.m_reason = static_cast<uint8_t>(outcome.m_reason);
    message.m_handles = std::move(task.m_handles);
    if (!sendToPeer(gateway, task.m_submitter, message)) {
        releaseHandles(gateway, service, message.m_handles);
    }
}

void reportOutcomes(Gateway &gateway, const std::string &service, std::vector<StageOutcome> outcomes)
{
    for (StageOutcome &outcome : outcomes) {
        reportOutcome(gateway, service, std::move(outcome));
    }
}

std::string formatStageCall(Gateway &gateway, const StageQueue &queue, const StageCall &call, const StageWorker &worker)
{
    const TimePoint now = gatewayNow(gateway);
    std::vector<Platform::PieceRequest> orders;
    for (const StageCall::Item &item : call.m_items) {
        const StageTask &task = queue.m_tasks.at(item.m_ticket);
        orders.push_back(
            {task.m_request, task.m_stage, item.m_piece, std::max(Duration(0), task.m_deadline - now), task.m_key, &task.m_inputs});
    }
    const HttpHeaders headers = {
        {"Host", worker.m_address}, {"Content-Type", "application/json"}, {std::string(Platform::ExpectedReplica), worker.m_id}};
    return formatRequest("POST", std::string(Platform::StageRunTarget), headers, Platform::encodeStageRun(orders));
}

void failCall(Gateway &gateway, OwnedQueue &owned, const StageCall &call, PieceFailure failure)
{
    std::vector<StageOutcome> outcomes;
    const TimePoint now = gatewayNow(gateway);
    for (size_t i = 0; i < call.m_items.size(); ++i) {
        if (std::optional<StageOutcome> outcome = failPiece(owned.m_queue, call, i, failure)) {
            outcomes.push_back(std::move(*outcome));
        }
    }
    writeLog(LogLevel::Info,
             "stage",
             "Stage call failed.",
             {{"service", owned.m_queue.m_service},
              {"replica", call.m_replica},
              {"pieces", fmt::format("{}", call.m_items.size())},
              {"failure", fmt::format("{}", static_cast<int>(failure))}});
    owned.m_inputTimers.erase(call.m_call);
    endCall(owned.m_queue, call.m_call, true, now);
    reportOutcomes(gateway, owned.m_queue.m_service, std::move(outcomes));
}

void handleStageAnswer(Gateway &gateway, OwnedQueue &owned, const StageCall &call, HttpReader &reader)
{
    const bool notRun = reader.m_status == HTTP_STATUS_SERVICE_UNAVAILABLE || reader.m_status == HTTP_STATUS_MISDIRECTED_REQUEST;
    if (reader.m_status != HTTP_STATUS_OK) {
        failCall(gateway, owned, call, notRun ? PieceFailure::Rejected : PieceFailure::Error);
        return;
    }
    absl::StatusOr<std::vector<Platform::PieceResult>> results = Platform::decodeStageRun(reader.m_body);
    if (!results.ok() || results->size() != call.m_items.size()) {
        writeLog(LogLevel::Warning,
                 "stage",
                 "Invalid answer to a stage call.",
                 {{"replica", call.m_replica},
                  {"pieces", fmt::format("{}", call.m_items.size())},
                  {"error", results.ok() ? fmt::format("{} results", results->size()) : std::string(results.status().message())}});
        failCall(gateway, owned, call, PieceFailure::Error);
        return;
    }
    const TimePoint now = gatewayNow(gateway);
    const std::vector<int> load = Platform::parseCounts(findHeader(reader.m_headers, Platform::ReplicaLoad).value_or(""));
    observeLoad(owned.m_queue, call, load.size() >= 2 ? load[0] + load[1] : 0, now);
    std::vector<StageOutcome> outcomes;
    std::vector<std::string> orphanedHandles;
    const auto lacksCapacity = [](const Platform::PieceResult &result) {
        return result.m_handle.empty() && result.m_failure == PieceFailure::NoCapacity;
    };
    if (std::any_of(results->begin(), results->end(), lacksCapacity)) {
        const auto made =
            std::count_if(results->begin(), results->end(), [](const Platform::PieceResult &result) { return !result.m_handle.empty(); });
        observeCapacityRefusal(owned.m_queue, call, static_cast<size_t>(made), now);
    }
    for (size_t i = 0; i < results->size(); ++i) {
        Platform::PieceResult &result = (*results)[i];
        const bool isTaskOpen = owned.m_queue.m_tasks.contains(call.m_items[i].m_ticket);
        if (!result.m_handle.empty() && !isTaskOpen) {
            orphanedHandles.push_back(result.m_handle);
        }
        std::optional<StageOutcome> outcome = result.m_handle.empty()
            ? failPiece(owned.m_queue, call, i, result.m_failure)
            : completePiece(owned.m_queue, call, i, std::move(result.m_handle), now);
        if (outcome) {
            outcomes.push_back(std::move(*outcome));
        }
    }
    owned.m_inputTimers.erase(call.m_call);
    endCall(owned.m_queue, call.m_call, false, now);
    releaseHandles(gateway, owned.m_queue.m_service, orphanedHandles);
    reportOutcomes(gateway, owned.m_queue.m_service, std::move(outcomes));
}

Duration callTimeout(const StageQueue &queue, const StageCall &call)
{
    const Duration expected = queue.m_limits.m_callTime + queue.m_limits.m_pieceTime * static_cast<int64_t>(call.m_items.size());
    return expected * CallTimeoutFactor + CallTimeoutMargin;
}

std::vector<uint64_t> pieceIds(const StageQueue &queue, const StageCall &call)
{
    std::vector<uint64_t> ids;
    for (const StageCall::Item &item : call.m_items) {
        const StageTask &task = queue.m_tasks.at(item.m_ticket);
        ids.push_back(hash64(fmt::format("{}/{}/{}", task.m_stage, item.m_piece, task.m_request)));
    }
    return ids;
}

/** Handles in the answer to a stage call, empty for failed pieces; none when it is not a valid answer. */
std::vector<std::string> handlesIn(const HttpReader &reader)
{
    std::vector<std::string> handles;
    if (reader.m_status != HTTP_STATUS_OK) {
        return handles;
    }
    if (absl::StatusOr<std::vector<Platform::PieceResult>> results = Platform::decodeStageRun(reader.m_body); results.ok()) {
        for (Platform::PieceResult &result : *results) {
            handles.push_back(std::move(result.m_handle));
        }
    }
    return handles;
}

/** Sends @p call, leaving out pieces whose tasks have ended since the call was planned. */
void sendStageCall(Gateway &gateway, OwnedQueue &owned, StageCall call)
{
    std::erase_if(call.m_items, [&owned](const StageCall::Item &item) { return !owned.m_queue.m_tasks.contains(item.m_ticket); });
    if (call.m_items.empty()) {
        endCall(owned.m_queue, call.m_call, false, call.m_sentAt);
        return;
    }
    const StageWorker &worker = owned.m_queue.m_workers.at(call.m_replica);
    if (!gateway.m_upstreams.contains(call.m_replica)) {
        failCall(gateway, owned, call, PieceFailure::Rejected);
        return;
    }
    UpstreamCall upstream;
    upstream.m_text = formatStageCall(gateway, owned.m_queue, call, worker);
    auto timer = std::make_shared<NetTimer>();
    upstream.m_onEnd = [&gateway, &owned, call, timer](UpstreamCall &ended, CallEnd end) {
        timer->stop();
        if (end == CallEnd::Done) {
            handleStageAnswer(gateway, owned, call, answerReader(ended));
        } else {
            failCall(gateway, owned, call, end == CallEnd::NotConnected ? PieceFailure::NotSent : PieceFailure::Lost);
        }
        runQueue(gateway, owned);
    };
    // Answers to stage calls carry no attempt id. On a connection that is used again, a late copy of an earlier answer is recognised by its
    // handles.
    const bool isReused = isScarce(gateway, owned.m_queue.m_service);
    upstream.m_purpose = CallPurpose::StageRun;
    if (isReused) {
        upstream.m_ids = pieceIds(owned.m_queue, call);
        upstream.m_handles = handlesIn;
    }
    const ConnectionUse use = isReused ? ConnectionUse::Pooled : ConnectionUse::Fresh;
    const UpstreamCall *started = startCall(gateway, call.m_replica, std::move(upstream), use);
    if (started == nullptr) {
        failCall(gateway, owned, call, PieceFailure::NotSent);
        return;
    }
    const uint64_t number = started->m_number;
    timer->start(gateway.m_loop, callTimeout(owned.m_queue, call), [&gateway, &owned, call, number] {
        cancelCall(gateway, number);
        failCall(gateway, owned, call, PieceFailure::Lost);
        runQueue(gateway, owned);
    });
}

void reportInputsRead(Gateway &gateway, OwnedQueue &owned, uint64_t call)
{
    for (const StageTask &task : recordInputsRead(owned.m_queue, call)) {
        if (task.m_submitter == gateway.m_settings.m_node) {
            handleInputsRead(gateway, task.m_submission);
            continue;
        }
        PeerMessage message;
        message.m_kind = PeerKind::InputsRead;
        message.m_submission = task.m_submission;
        message.m_service = owned.m_queue.m_service;
        sendToPeer(gateway, task.m_submitter, message);
    }
}

void startInputTimers(Gateway &gateway, OwnedQueue &owned)
{
    for (const uint64_t call : callsExpectedToRun(owned.m_queue, gatewayNow(gateway))) {
        owned.m_queue.m_calls.at(call).m_isRunning = true;
        owned.m_inputTimers[call].start(
            gateway.m_loop, ExpectedInputsFetchTime, [&gateway, &owned, call] { reportInputsRead(gateway, owned, call); });
    }
}

void runQueue(Gateway &gateway, OwnedQueue &owned)
{
    const TimePoint now = gatewayNow(gateway);
    reportOutcomes(gateway, owned.m_queue.m_service, expireTasks(owned.m_queue, now));
    pauseColdWorkers(gateway, owned.m_queue);
    for (StageCall &call : planCalls(owned.m_queue, now)) {
        sendStageCall(gateway, owned, std::move(call));
    }
    releaseHandles(gateway, owned.m_queue.m_service, resultsToEvict(owned.m_queue));
    startInputTimers(gateway, owned);
    const std::optional<TimePoint> next = nextQueueEvent(owned.m_queue, now);
    if (!next) {
        owned.m_timer.stop();
        return;
    }
    owned.m_timer.start(gateway.m_loop, *next - now, [&gateway, &owned] { runQueue(gateway, owned); });
}

void sendReleases(Gateway &gateway, OwnedQueue &owned)
{
    const auto releases = std::exchange(owned.m_releases, {});
    for (const auto &[replica, handles] : releases) {
        const auto upstream = gateway.m_upstreams.find(replica);
        const TimePoint now = gatewayNow(gateway);
        const bool isPaused = now < pausedUntil(gateway.m_registry, replica);
        const bool isSilenced = isPaused || isEvacuated(gateway.m_registry, replica) || isWithheld(gateway, replica, now);
        if (upstream == gateway.m_upstreams.end() || !upstream->second.m_registered || isSilenced) {
            continue; // the results expire
        }
        const HttpHeaders headers = {{"Host", upstream->second.m_record.m_address},
                                     {"Content-Type", "application/json"},
                                     {std::string(Platform::ExpectedReplica), replica}};
        for (size_t start = 0; start < handles.size(); start += MaxReleases) {
            const std::vector<std::string> part(handles.begin() + static_cast<std::ptrdiff_t>(start),
                                                handles.begin()
                                                    + static_cast<std::ptrdiff_t>(std::min(handles.size(), start + MaxReleases)));
            UpstreamCall call;
            call.m_isWork = false;
            call.m_purpose = CallPurpose::StageRelease;
            call.m_text = formatRequest("POST", std::string(Platform::StageFreeTarget), headers, Platform::encodeStageFree(part));
            // Result capacity stays reserved until the replica has confirmed; after a lost release, until the result expires.
            call.m_onEnd = [&gateway, &owned, part](UpstreamCall &, CallEnd end) {
                if (end == CallEnd::Done) {
                    for (const std::string &handle : part) {
                        releaseResult(owned.m_queue, handle);
                    }
                    runQueue(gateway, owned);
                }
            };
            startCall(gateway, replica, std::move(call), ConnectionUse::Pooled);
        }
    }
}

/** Id of the replica that produced a result, found by the address in @p handle, for results unknown to the local queue. */
std::string producerOf(Gateway &gateway, const std::string &service, const std::string &handle)
{
    const std::optional<SocketAddress> address = Platform::resultAddress(handle);
    for (const std::string &id : gateway.m_replicasByService[service]) {
        if (address && gateway.m_upstreams.at(id).m_address == *address) {
            return id;
        }
    }
    return {};
}

} // namespace

bool refuseIfUnreachable(Gateway &gateway, Exchange &exchange)
{
    if (isPlanDone(exchange.m_plan)) {
        return false;
    }
    const Duration work = expectedPlanTime(*exchange.m_configuration, *exchange.m_route, exchange.m_plan) + ExpectedRunTime;
    if (!isUnreachable(exchange.m_firstEventDeadline, work, gatewayNow(gateway))) {
        return false;
    }
    refuseExchange(gateway, exchange, Reason::DeadlineUnreachable);
    return true;
}

void beginStages(Gateway &gateway, Exchange &exchange)
{
    if (isPlanDone(exchange.m_plan)) {
        startAttempt(gateway, exchange);
    } else if (!refuseIfUnreachable(gateway, exchange)) {
        startStages(gateway, exchange);
    }
}

void startStages(Gateway &gateway, Exchange &exchange)
{
    if (isPlanDone(exchange.m_plan)) {
        startAttempt(gateway, exchange);
        return;
    }
    const uint64_t number = exchange.m_number;
    // Stages that start at once go first, as the delay of the others depends on them.
    std::vector<std::pair<Duration, size_t>> ready;
    for (const size_t stage : readyStages(*exchange.m_route, exchange.m_plan)) {
        ready.emplace_back(stageDelay(*exchange.m_configuration, *exchange.m_route, exchange.m_plan, stage), stage);
    }
    std::sort(ready.begin(), ready.end());
    for (const auto &[delay, stage] : ready) {
        submitOrDelay(gateway, exchange, stage, delay);
        if (findExchange(gateway, number) == nullptr) {
            return;
        }
    }
}

void cancelStages(Gateway &gateway, Exchange &exchange)
{
    for (size_t stage = 0; stage < exchange.m_plan.m_stages.size(); ++stage) {
        cancelSubmission(gateway, exchange, stage);
    }
    releaseStages(gateway, exchange, true);
}

void resetStage(Gateway &gateway, Exchange &exchange, size_t stage)
{
    cancelSubmission(gateway, exchange, stage);
    PlannedStage &planned = exchange.m_plan.m_stages[stage];
    if (holdsResults(planned)) {
        releaseFrom(gateway, exchange, stage);
    }
    const int pieces = planned.m_pieces;
    planned = PlannedStage();
    planned.m_pieces = pieces;
}

void markResultsEvictable(Gateway &gateway, Exchange &exchange)
{
    for (size_t stage = 0; stage < exchange.m_plan.m_stages.size(); ++stage) {
        if (holdsResults(exchange.m_plan.m_stages[stage])) {
            markStageEvictable(gateway, exchange, stage);
        }
    }
}

void releaseStages(Gateway &gateway, Exchange &exchange, bool everything)
{
    if (exchange.m_route == nullptr) {
        return;
    }
    if (!everything) {
        for (const size_t stage : releasableStages(*exchange.m_route, exchange.m_plan)) {
            releaseFrom(gateway, exchange, stage);
        }
        for (const size_t stage : evictableStages(*exchange.m_route, exchange.m_plan)) {
            markStageEvictable(gateway, exchange, stage);
        }
        return;
    }
    for (size_t stage = 0; stage < exchange.m_plan.m_stages.size(); ++stage) {
        if (holdsResults(exchange.m_plan.m_stages[stage])) {
            releaseFrom(gateway, exchange, stage);
        }
    }
}

void handleStageResult(Gateway &gateway, uint64_t submission, Reason reason, std::vector<std::string> handles)
{
    const auto entry = gateway.m_submissions.find(submission);
    if (entry == gateway.m_submissions.end()) {
        return; // cancelled meanwhile; the cancellation makes the owner release the results
    }
    const Submission open = entry->second;
    gateway.m_submissions.erase(entry);
    Exchange *exchange = findExchange(gateway, open.m_exchange);
    if (exchange == nullptr) {
        return;
    }
    exchange->m_submissions.erase(open.m_stage);
    PlannedStage &planned = exchange->m_plan.m_stages[open.m_stage];
    const std::vector<size_t> repeated =
        reason == Reason::NotFound ? stagesToRerun(*exchange->m_route, exchange->m_plan, open.m_stage) : std::vector<size_t>();
    if (retryStages(gateway, *exchange, repeated)) {
        return;
    }
    if (reason != Reason::None || handles.size() != static_cast<size_t>(planned.m_pieces)) {
        refuseExchange(gateway, *exchange, reason == Reason::None ? Reason::InvalidAnswer : reason);
        return;
    }
    for (const std::string &handle : handles) {
        exchange->m_resultOwners[handle] = open.m_owner;
    }
    planned.m_handles = std::move(handles);
    planned.m_state = StageState::Done;
    releaseStages(gateway, *exchange, false);
    startStages(gateway, *exchange);
}

void handleInputsRead(Gateway &gateway, uint64_t submission)
{
    const auto entry = gateway.m_submissions.find(submission);
    Exchange *exchange = entry == gateway.m_submissions.end() ? nullptr : findExchange(gateway, entry->second.m_exchange);
    if (exchange != nullptr) {
        exchange->m_plan.m_stages[entry->second.m_stage].m_inputsRead = true;
        releaseStages(gateway, *exchange, false);
    }
}

void enqueueTask(Gateway &gateway, const std::string &service, StageTask task)
{
    OwnedQueue &owned = queueOf(gateway, service);
    StageTask taskCopy = task;
    if (!addTask(owned.m_queue, std::move(task))) {
        taskCopy.m_handles.clear();
        reportOutcome(gateway, service, {std::move(taskCopy), Reason::QueueFull});
        return;
    }
    // The short delay lets tasks that arrive in the same loop iteration share a call.
    owned.m_timer.start(gateway.m_loop, milliseconds(1), [&gateway, &owned] { runQueue(gateway, owned); });
}

void cancelEnqueued(Gateway &gateway, const std::string &service, const std::string &submitter, uint64_t submission)
{
    const auto owned = gateway.m_queues.find(service);
    if (owned == gateway.m_queues.end()) {
        return;
    }
    releaseHandles(gateway, service, cancelTask(owned->second->m_queue, submitter, submission));
}

void cancelSubmitter(Gateway &gateway, const std::string &submitter)
{
    for (auto &[service, owned] : gateway.m_queues) {
        std::vector<uint64_t> submissions;
        for (const auto &[ticket, task] : owned->m_queue.m_tasks) {
            if (task.m_submitter == submitter) {
                submissions.push_back(task.m_submission);
            }
        }
        for (const uint64_t submission : submissions) {
            cancelEnqueued(gateway, service, submitter, submission);
        }
    }
}

void releaseHandles(Gateway &gateway, const std::string &service, const std::vector<std::string> &handles)
{
    if (handles.empty()) {
        return;
    }
    OwnedQueue &owned = queueOf(gateway, service);
    for (const std::string &handle : handles) {
        const auto result = owned.m_queue.m_results.find(handle);
        const std::string replica =
            result == owned.m_queue.m_results.end() ? producerOf(gateway, service, handle) : result->second.m_replica;
        if (!replica.empty() && beginRelease(owned.m_queue, handle)) {
            owned.m_releases[replica].push_back(handle);
        }
    }
    if (!owned.m_releaseTimer.isActive()) {
        owned.m_releaseTimer.start(gateway.m_loop, ReleaseDelay, [&gateway, &owned] { sendReleases(gateway, owned); });
    }
}

void markHandlesEvictable(Gateway &gateway, const std::string &service, const std::vector<std::string> &handles)
{
    OwnedQueue &owned = queueOf(gateway, service);
    for (const std::string &handle : handles) {
        markEvictable(owned.m_queue, handle);
    }
    releaseHandles(gateway, service, resultsToEvict(owned.m_queue));
}

void resubmitTasksOf(Gateway &gateway, const std::string &owner)
{
    std::vector<Submission> affected;
    std::erase_if(gateway.m_submissions, [&](const auto &entry) {
        const bool isAffected = entry.second.m_owner == owner;
        if (isAffected) {
            affected.push_back(entry.second);
        }
        return isAffected;
    });
    for (const Submission &submission : affected) {
        if (Exchange *exchange = findExchange(gateway, submission.m_exchange)) {
            countReason(gateway.m_retries, Reason::PeerUnreachable);
            submitStage(gateway, *exchange, submission.m_stage);
        }
    }
}

void syncQueues(Gateway &gateway)
{
    for (auto &[service, owned] : gateway.m_queues) {
        StageQueue &queue = owned->m_queue;
        const ServingService *definition = gateway.m_configuration ? findService(*gateway.m_configuration, service) : nullptr;
        if (definition != nullptr && definition->m_pieces) {
            queue.m_limits = *definition->m_pieces;
        }
        for (auto &[id, worker] : queue.m_workers) {
            worker.m_usable = false;
        }
        for (const std::string &id : gateway.m_replicasByService[service]) {
            updateWorker(queue, gateway.m_upstreams.at(id).m_record);
        }
        std::erase_if(queue.m_workers, [](const auto &entry) { return !entry.second.m_usable && entry.second.m_calls == 0; });
        if (!queue.m_waiting.empty()) {
            OwnedQueue &waiting = *owned;
            waiting.m_timer.start(gateway.m_loop, milliseconds(1), [&gateway, &waiting] { runQueue(gateway, waiting); });
        }
    }
}

void pauseStageCalls(Gateway &gateway, const std::string &replica, TimePoint until)
{
    for (auto &[service, owned] : gateway.m_queues) {
        pauseWorker(owned->m_queue, replica, until);
    }
}

bool hasQueuedWork(const Gateway &gateway)
{
    return std::any_of(
        gateway.m_queues.begin(), gateway.m_queues.end(), [](const auto &entry) { return !entry.second->m_queue.m_tasks.empty(); });
}

} // namespace Medlarramp::Serving
