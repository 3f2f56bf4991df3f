// A request from its first stage to its answer.

#include <algorithm>
#include <cassert>

#include <fmt/format.h>

#include "entry.h"

namespace Medlarramp {

namespace {

constexpr int MaxPreemptions = 16; ///< of one stage; later the stage fails and its job is queued again
constexpr std::string_view RequestInput = "request";

/** Cost of one attempt, kept until its use is known. */
struct SpentAttempt {
    std::string m_stage;
    Duration m_time{};
    int64_t m_tokens = 0;
    bool m_final = false; ///< its result went into the answer
};

/** What a running request has so far. */
struct Progress {
    std::map<std::string, nlohmann::json> m_outputs; ///< by stage name, and the request's input
    std::vector<SpentAttempt> m_spent;
    std::optional<Duration> m_firstToken;
    bool m_mayHaveRun = false; ///< an attempt of any stage may have reached an upstream
    bool m_sideEffects = false; ///< an attempt of a non-idempotent stage may have reached an upstream
};

/** How one stage ended. */
struct StageResult {
    Outcome m_outcome = Outcome::Unknown;
    Reason m_reason = Reason::None;
    nlohmann::json m_output;
    std::optional<Duration> m_retryAfter;
};

std::string asText(const nlohmann::json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/** Replaces {input} and {stage}. Replaced text is not searched again, so that no input can name another placeholder. */
std::string fillPrompt(const std::string &pattern, const std::map<std::string, nlohmann::json> &outputs)
{
    std::string text;
    size_t position = 0;
    while (position < pattern.size()) {
        const size_t open = pattern.find('{', position);
        const size_t close = open == std::string::npos ? open : pattern.find('}', open);
        if (close == std::string::npos) {
            break;
        }
        text += pattern.substr(position, open - position);
        const std::string name = pattern.substr(open + 1, close - open - 1);
        const auto found = outputs.find(name == "input" ? std::string(RequestInput) : name);
        if (found != outputs.end()) {
            text += found->second.is_null() ? std::string() : asText(found->second);
        } else {
            text += pattern.substr(open, close - open + 1);
        }
        position = close + 1;
    }
    return text + pattern.substr(std::min(position, pattern.size()));
}

nlohmann::json stageInput(const Stage &stage, const Progress &progress)
{
    nlohmann::json input = nlohmann::json::object();
    for (const std::string &name : stage.m_inputs) {
        const auto found = progress.m_outputs.find(name);
        if (found != progress.m_outputs.end()) {
            input[name] = found->second;
        }
    }
    return input;
}

UpstreamKind upstreamKind(StageKind kind)
{
    switch (kind) {
    case StageKind::Infer:
        return UpstreamKind::StagePool;
    case StageKind::Generate:
        return UpstreamKind::ModelEngine;
    case StageKind::Call:
        return UpstreamKind::PlainService;
    }
    return UpstreamKind::StagePool;
}

/** End of a stage: its share of what was left when it began, and never later than the request's deadline. */
TimePoint stageDeadline(const AcceptedRequest &request, const Stage &stage, TimePoint start)
{
    if (stage.m_deadlineShare <= 0) {
        return request.m_deadline;
    }
    const Duration whole = request.m_deadline - request.m_arrival;
    const auto share = std::chrono::duration_cast<Duration>(whole * stage.m_deadlineShare);
    return std::min(request.m_deadline, start + share);
}

} // namespace

Identifier claimKey(const std::string &organisation, const Identifier &key, size_t stage)
{
    constexpr uint64_t VariantMask = uint64_t(3) << 62;
    const uint64_t hash = combineHash(combineHash(key.m_low, hash64(organisation)), stage);
    return {key.m_high, (key.m_low & VariantMask) | (hash & ~VariantMask)};
}

namespace {

AttemptRequest makeAttempt(const AcceptedRequest &request, size_t index, const Progress &progress)
{
    const Stage &stage = request.m_pipeline.m_stages[index];
    AttemptRequest attempt;
    attempt.m_request = request.m_identifier;
    attempt.m_stage = index;
    attempt.m_kind = upstreamKind(stage.m_kind);
    attempt.m_model = stage.m_model;
    attempt.m_path = stage.m_path;
    attempt.m_maxOutputTokens = stage.m_maxOutputTokens;
    attempt.m_class = request.m_request.m_class;
    attempt.m_organisation = request.m_organisation->m_name;
    if (stage.m_kind == StageKind::Generate) {
        attempt.m_prompt = stage.m_prompt.empty() ? asText(stageInput(stage, progress)) : fillPrompt(stage.m_prompt, progress.m_outputs);
    } else {
        attempt.m_input = stageInput(stage, progress);
    }
    if (request.m_idempotencyKey && !stage.m_idempotent) {
        attempt.m_idempotencyKey = toString(claimKey(request.m_organisation->m_name, *request.m_idempotencyKey, index));
    }
    return attempt;
}

PlaceRequest makePlaceRequest(const AcceptedRequest &request, const Stage &stage)
{
    PlaceRequest place;
    place.m_pool = stage.m_pool;
    place.m_organisation = request.m_organisation->m_name;
    place.m_weight = request.m_organisation->m_weight;
    place.m_class = request.m_request.m_class;
    place.m_contentHash = request.m_contentHash;
    place.m_deadline = request.m_deadline;
    place.m_attemptsLeft = stage.m_idempotent ? stage.m_maxAttempts - 1 : 0;
    place.m_idempotent = stage.m_idempotent;
    return place;
}

/** Expected time of the stages after @p index; optional ones may be left out. */
Duration expectedRemaining(Blackboard &board, const AcceptedRequest &request, size_t index)
{
    Duration remaining{};
    const std::vector<Stage> &stages = request.m_pipeline.m_stages;
    for (size_t i = index + 1; i < stages.size(); ++i) {
        if (stages[i].m_required) {
            remaining += expectedStageTime(*board.m_pools, makePlaceRequest(request, stages[i]));
        }
    }
    return remaining;
}

/** Passes text on and measures the time between pieces. */
TokenSink measuredSink(Blackboard &board, const AcceptedRequest &request, Progress &progress, const TokenSink &sink)
{
    auto last = std::make_shared<std::optional<TimePoint>>();
    return [&board, &request, &progress, sink, last](const std::string &text) {
        const TimePoint current = now(board.m_clock);
        if (!progress.m_firstToken) {
            progress.m_firstToken = current - request.m_arrival;
        }
        if (*last) {
            recordTokenGap(*board.m_metrics, current - **last);
        }
        *last = current;
        return !sink || sink(text);
    };
}

/** The attempts of one stage. A non-idempotent stage has been claimed before. */
struct StageRun {
    Blackboard &m_board;
    const AcceptedRequest &m_request;
    size_t m_index = 0;
    Progress &m_progress;
    const TokenSink &m_sink;
    std::string m_keptText; ///< generated by earlier attempts and continued by the engine
};

/** Text generated before a break is kept: an engine that resumes continues from there. */
void keepText(StageRun &run, const Upstream &upstream, const AttemptResult &result, AttemptRequest &attempt)
{
    if (upstream.m_resumesStreams && !result.m_text.empty()) {
        attempt.m_generated += result.m_text;
        attempt.m_maxOutputTokens = std::max<int64_t>(1, attempt.m_maxOutputTokens - result.m_tokens);
        run.m_keptText = attempt.m_generated;
    }
}

StageResult finishStage(const StageRun &run, const Stage &stage, const AttemptResult &result)
{
    StageResult finished{Outcome::Answered, Reason::None, {}, {}};
    if (stage.m_kind == StageKind::Generate) {
        finished.m_output = run.m_keptText + result.m_text;
    } else {
        finished.m_output = result.m_output;
    }
    return finished;
}

/** Notes the end of an attempt in the progress of its request. */
void noteAttempt(Progress &progress, const Stage &stage, const AttemptResult &result, const AttemptVerdict &verdict)
{
    if (verdict.m_outcome != Outcome::NotRun) {
        progress.m_mayHaveRun = true;
        progress.m_sideEffects |= !stage.m_idempotent;
    }
    progress.m_spent.push_back({stage.m_name, result.m_duration, result.m_tokens, verdict.m_outcome == Outcome::Answered});
}

FailedAttempt describeFailure(const StageRun &run,
                              const Stage &stage,
                              const Place &place,
                              const AttemptRequest &attempt,
                              const AttemptResult &result,
                              const AttemptVerdict &verdict,
                              TimePoint deadline)
{
    FailedAttempt failed;
    failed.m_verdict = verdict;
    failed.m_attempt = attempt.m_attempt;
    failed.m_maxAttempts = stage.m_maxAttempts;
    failed.m_idempotent = stage.m_idempotent;
    failed.m_refusesRepeats = place.m_upstream->m_refusesRepeats && !attempt.m_idempotencyKey.empty();
    failed.m_delivered = run.m_sink && !result.m_text.empty() && !place.m_upstream->m_resumesStreams;
    failed.m_retryAfter = result.m_retryAfter;
    failed.m_deadline = deadline;
    return failed;
}

/** One attempt with its place. */
struct AttemptEnd {
    Place m_place;
    AttemptResult m_result;
    AttemptVerdict m_verdict;
    bool m_preempted = false;
};

AttemptEnd runAttempt(StageRun &run, const PlaceRequest &wanted, AttemptRequest &attempt, const TokenSink &sink)
{
    Blackboard &board = run.m_board;
    CancelToken cancel;
    AttemptEnd end;
    end.m_place = acquirePlace(*board.m_pools, wanted, cancel);
    if (end.m_place.m_refusal != Reason::None) {
        end.m_preempted = end.m_place.m_refusal == Reason::Preempted;
        return end;
    }
    attempt.m_address = end.m_place.m_address;
    attempt.m_deadline = end.m_place.m_deadline;
    end.m_result = board.m_upstream.m_run(attempt, sink, cancel);
    end.m_verdict = classifyAttempt(end.m_result.m_evidence, *end.m_place.m_upstream);
    end.m_preempted = releasePlace(*board.m_pools, wanted, end.m_place, end.m_result, end.m_verdict);
    return end;
}

StageResult runAttempts(StageRun &run)
{
    Blackboard &board = run.m_board;
    const Stage &stage = run.m_request.m_pipeline.m_stages[run.m_index];
    AttemptRequest attempt = makeAttempt(run.m_request, run.m_index, run.m_progress);
    PlaceRequest wanted = makePlaceRequest(run.m_request, stage);
    wanted.m_prompt = attempt.m_prompt;
    wanted.m_remaining = expectedRemaining(board, run.m_request, run.m_index);
    wanted.m_deadline = stageDeadline(run.m_request, stage, now(board.m_clock));
    const TokenSink sink = measuredSink(board, run.m_request, run.m_progress, run.m_sink);
    // The worst outcome of all attempts counts: one that may have run stays "unknown" whatever follows.
    Outcome worst = Outcome::NotRun;
    int preemptions = 0;
    while (true) {
        AttemptEnd end = runAttempt(run, wanted, attempt, sink);
        if (end.m_preempted && ++preemptions <= MaxPreemptions) {
            if (end.m_place.m_refusal == Reason::None) {
                noteAttempt(run.m_progress, stage, end.m_result, end.m_verdict);
                keepText(run, *end.m_place.m_upstream, end.m_result, attempt);
                worst = Outcome::Unknown;
            }
            countRetry(*board.m_metrics, Reason::Preempted, stage.m_pool);
            continue;
        }
        if (end.m_place.m_refusal != Reason::None) {
            return {worst, end.m_place.m_refusal, {}, {}};
        }
        noteAttempt(run.m_progress, stage, end.m_result, end.m_verdict);
        if (end.m_verdict.m_outcome == Outcome::Answered) {
            return finishStage(run, stage, end.m_result);
        }
        worst = end.m_verdict.m_outcome == Outcome::Unknown ? Outcome::Unknown : worst;
        const RetryDecision retry =
            permitRetry(*board.m_pools,
                        stage.m_pool,
                        describeFailure(run, stage, end.m_place, attempt, end.m_result, end.m_verdict, wanted.m_deadline));
        if (!retry.m_retry) {
            return {worst, retry.m_reason, {}, end.m_result.m_retryAfter};
        }
        countRetry(*board.m_metrics, retry.m_reason, stage.m_pool);
        keepText(run, *end.m_place.m_upstream, end.m_result, attempt);
        wanted.m_avoid.push_back(end.m_place.m_replica);
        wanted.m_attempt = ++attempt.m_attempt;
        wanted.m_attemptsLeft = std::max<int64_t>(0, wanted.m_attemptsLeft - 1);
        StopSignal never;
        sleepFor(board.m_clock, never, retry.m_delay);
    }
}

std::string encodeAnswer(const nlohmann::json &output)
{
    return output.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<Identifier> stageClaimKey(const AcceptedRequest &request, size_t index)
{
    if (request.m_claimKey) {
        return request.m_claimKey(index);
    }
    assert(request.m_idempotencyKey);
    return claimKey(request.m_organisation->m_name, *request.m_idempotencyKey, index);
}

StageResult runClaimed(StageRun &run)
{
    Blackboard &board = run.m_board;
    const AcceptedRequest &request = run.m_request;
    const std::optional<Identifier> key = stageClaimKey(request, run.m_index);
    if (!key) {
        return {Outcome::NotRun, Reason::StoreUnavailable, {}, {}};
    }
    const ClaimDecision claim = board.m_claims.m_claim(*key, request.m_contentHash, request.m_deadline);
    if (claim.m_answer || (!claim.m_granted && claim.m_outcome == Outcome::Unknown)) {
        run.m_progress.m_mayHaveRun = true;
        run.m_progress.m_sideEffects = true;
    }
    if (claim.m_answer) {
        return {Outcome::Answered, Reason::None, nlohmann::json::parse(*claim.m_answer, nullptr, false), {}};
    }
    if (!claim.m_granted) {
        return {claim.m_outcome, claim.m_reason, {}, {}};
    }
    StageResult result = runAttempts(run);
    const bool answered = result.m_outcome == Outcome::Answered;
    board.m_claims.m_finish(claim.m_call, result.m_outcome, answered ? encodeAnswer(result.m_output) : std::string());
    return result;
}

/** "Not run" holds for a request only if no stage may have run on any upstream. */
Outcome requestOutcome(const Progress &progress)
{
    return progress.m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
}

void settleCosts(Blackboard &board, const AcceptedRequest &request, const Progress &progress, bool answered)
{
    for (const SpentAttempt &spent : progress.m_spent) {
        CostUse use = CostUse::Wasted;
        if (answered) {
            use = spent.m_final ? CostUse::Useful : CostUse::Retried;
        }
        recordCost(*board.m_metrics, request.m_pipeline.m_name, spent.m_stage, use, spent.m_time, spent.m_tokens);
    }
}

} // namespace

PipelineResult runPipeline(Blackboard &board, const AcceptedRequest &request, const TokenSink &sink, CancelToken &cancel)
{
    Progress progress;
    progress.m_outputs[std::string(RequestInput)] = request.m_request.m_input;
    PipelineResult result;
    result.m_outcome = Outcome::Answered;
    result.m_stages = nlohmann::json::object();
    const std::vector<Stage> &stages = request.m_pipeline.m_stages;
    for (size_t i = 0; i < request.m_finished.size(); ++i) {
        result.m_stages[stages[i].m_name] = request.m_finished[i];
        progress.m_outputs[stages[i].m_name] = request.m_finished[i];
        progress.m_mayHaveRun = true;
    }
    for (size_t i = request.m_finished.size(); i < stages.size(); ++i) {
        const Stage &stage = stages[i];
        const bool last = i + 1 == stages.size();
        const TokenSink none;
        const bool streamed = last && stage.m_kind == StageKind::Generate;
        StageRun run{board, request, i, progress, streamed ? sink : none, {}};
        StageResult stageResult = stage.m_idempotent ? runAttempts(run) : runClaimed(run);
        if (stageResult.m_outcome != Outcome::Answered && stage.m_required) {
            result.m_outcome = requestOutcome(progress);
            result.m_reason = stageResult.m_reason;
            result.m_failedStage = stage.m_name;
            result.m_retryAfter = stageResult.m_retryAfter;
            break;
        }
        if (cancel.m_cancelled) {
            result.m_outcome = requestOutcome(progress);
            result.m_reason = Reason::CallerGone;
            break;
        }
        if (request.m_onStage && !last) {
            request.m_onStage(i, stageResult.m_output);
        }
        result.m_stages[stage.m_name] = stageResult.m_output;
        progress.m_outputs[stage.m_name] = std::move(stageResult.m_output);
    }
    if (result.m_outcome == Outcome::Answered) {
        result.m_output = progress.m_outputs[stages.back().m_name];
    }
    result.m_sideEffects = progress.m_sideEffects;
    result.m_firstToken = progress.m_firstToken;
    settleCosts(board, request, progress, result.m_outcome == Outcome::Answered && !cancel.m_cancelled);
    return result;
}

} // namespace Medlarramp
