// Routes for batch jobs: submit, poll and await.

#include <algorithm>

#include <fmt/format.h>

#include "entry_http.h"

namespace Medlarramp {

namespace {

constexpr const char *JsonType = "application/json";
constexpr size_t SubmitStage = MaxStages; ///< place of the submission among the claim keys of a request
constexpr milliseconds MaxJobWait{60'000};
constexpr milliseconds FirstJobPoll{100};
constexpr milliseconds MaxJobPoll{1'000};
constexpr seconds SubmitLimit{10};

void answerJson(httplib::Response &response, int status, const nlohmann::json &body)
{
    response.status = status;
    response.set_content(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), JsonType);
}

void answerSubmitted(httplib::Response &response, const std::string &job)
{
    answerJson(response, 202, {{"job", job}, {"state", "accepted"}});
}

BatchJob toJob(Blackboard &board, const AcceptedRequest &accepted)
{
    BatchJob job;
    job.m_key = accepted.m_idempotencyKey.value_or(makeIdentifier(board.m_clock));
    job.m_organisation = accepted.m_organisation->m_name;
    job.m_pipeline = accepted.m_pipeline.m_name;
    job.m_input = accepted.m_request.m_input.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return job;
}

void submit(Blackboard &board,
            BatchService &service,
            const AcceptedRequest &accepted,
            httplib::Response &response,
            const ClaimDecision *claim)
{
    const SubmitAnswer answer =
        submitBatchJob(service, toJob(board, accepted), accepted.m_organisation->m_maxBatchJobs, now(board.m_clock) + SubmitLimit);
    const Outcome refused = answer.m_unknown ? Outcome::Unknown : Outcome::NotRun;
    if (claim) {
        const std::string stored = answer.m_job ? nlohmann::json(toString(*answer.m_job)).dump() : std::string();
        board.m_claims.m_finish(claim->m_call, answer.m_job ? Outcome::Answered : refused, stored);
    }
    if (answer.m_job) {
        answerSubmitted(response, toString(*answer.m_job));
        return;
    }
    countRefusal(*board.m_metrics, answer.m_reason, RequestClass::Batch);
    answerError(response, refused, answer.m_reason);
}

/** A submission with an idempotency key is claimed, so that a repeated one gets the first one's job. */
void handleSubmit(Blackboard &board, BatchService &service, const httplib::Request &request, httplib::Response &response)
{
    const std::optional<AcceptedRequest> accepted = acceptRequest(board, request, response);
    if (!accepted) {
        return;
    }
    if (!accepted->m_idempotencyKey) {
        submit(board, service, *accepted, response, nullptr);
        return;
    }
    const Identifier key = claimKey(accepted->m_organisation->m_name, *accepted->m_idempotencyKey, SubmitStage);
    const ClaimDecision claim = board.m_claims.m_claim(key, accepted->m_contentHash, now(board.m_clock) + SubmitLimit);
    if (claim.m_granted) {
        submit(board, service, *accepted, response, &claim);
    } else if (claim.m_answer) {
        answerSubmitted(response, nlohmann::json::parse(*claim.m_answer, nullptr, false).get<std::string>());
    } else {
        countRefusal(*board.m_metrics, claim.m_reason, RequestClass::Batch);
        answerError(response, claim.m_outcome, claim.m_reason);
    }
}

nlohmann::json describeJob(const JobId &id, const JobView &view)
{
    if (!view.m_progress.m_result) {
        return {{"job", toString(id)}, {"state", "accepted"}, {"finished_stages", view.m_progress.m_stages.size()}};
    }
    const JobResult &result = *view.m_progress.m_result;
    nlohmann::json body = {{"job", toString(id)}, {"state", "finished"}, {"outcome", toString(result.m_outcome)}};
    if (result.m_outcome == Outcome::Answered) {
        body["output"] = nlohmann::json::parse(result.m_output, nullptr, false);
    } else {
        body["reason"] = toString(result.m_reason);
    }
    return body;
}

Duration readWait(const httplib::Request &request)
{
    const std::string text = request.get_param_value("wait_ms");
    const bool digits =
        !text.empty() && text.size() <= 6 && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    return digits ? std::min<Duration>(milliseconds(std::stol(text)), MaxJobWait) : Duration{};
}

/** Reads a job until it has ended or the wait is over. */
absl::StatusOr<JobView> awaitJob(Blackboard &board, BatchService &service, const JobId &id, Duration wait)
{
    const TimePoint limit = now(board.m_clock) + wait;
    Duration poll = FirstJobPoll;
    StopSignal never;
    while (true) {
        absl::StatusOr<JobView> view = readBatchJob(service, id);
        const bool ended = !view.ok() || view->m_progress.m_result.has_value();
        if (ended || now(board.m_clock) + poll > limit || board.m_refusing) {
            return view;
        }
        sleepFor(board.m_clock, never, poll);
        poll = std::min<Duration>(poll * 2, MaxJobPoll);
    }
}

void handleJob(Blackboard &board, BatchService &service, const httplib::Request &request, httplib::Response &response)
{
    const auto configuration = snapshot(board.m_configuration);
    if (!configuration) {
        answerError(response, Outcome::NotRun, Reason::ConfigurationMissing);
        return;
    }
    const auto organisation = authenticate(board, *configuration, request, response);
    if (!organisation) {
        return;
    }
    const std::optional<JobId> id = parseJobId(request.matches[1].str());
    absl::StatusOr<JobView> view = id ? readBatchJob(service, *id) : absl::NotFoundError("not a job identifier");
    // A job of another organisation is answered as one that does not exist.
    if (absl::IsNotFound(view.status()) || (view.ok() && view->m_job.m_organisation != organisation->m_name)) {
        answerError(response, Outcome::NotRun, Reason::NotFound);
        return;
    }
    if (view.ok() && !view->m_progress.m_result) {
        view = awaitJob(board, service, *id, readWait(request));
    }
    if (!view.ok()) {
        answerError(response, Outcome::NotRun, Reason::StoreUnavailable);
        return;
    }
    answerJson(response, 200, describeJob(*id, *view));
    if (view->m_progress.m_result) {
        noteFetched(service, *id);
    }
}

} // namespace

void registerJobRoutes(httplib::Server &server, Blackboard &board, BatchService &service)
{
    server.Post(R"(/v1/pipelines/([a-z0-9._-]{1,64})/jobs)",
                [&](const httplib::Request &request, httplib::Response &response) { handleSubmit(board, service, request, response); });
    server.Get(R"(/v1/jobs/([0-9a-f.-]{38,64}))",
               [&](const httplib::Request &request, httplib::Response &response) { handleJob(board, service, request, response); });
}

} // namespace Medlarramp
