#include "entry_http.h"

#include <algorithm>
#include <thread>

#include <fmt/format.h>

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] Threads of the server
//-----------------------------------------------------------------------------

BoundedTaskQueue::BoundedTaskQueue(size_t threads, size_t maxQueued) : m_maxQueued(maxQueued)
{
    for (size_t i = 0; i < threads; ++i) {
        m_threads.emplace_back([this] { work(); });
    }
}

BoundedTaskQueue::~BoundedTaskQueue() = default;

void BoundedTaskQueue::enqueue(std::function<void()> task)
{
    std::unique_lock lock(m_mutex);
    m_hasRoom.wait(lock, [this] { return m_tasks.size() < m_maxQueued || m_stopped; });
    m_tasks.push_back(std::move(task));
    m_hasTask.notify_one();
}

void BoundedTaskQueue::shutdown()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_hasTask.notify_all();
    m_hasRoom.notify_all();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

void BoundedTaskQueue::work()
{
    while (true) {
        std::function<void()> task;
        {
            std::unique_lock lock(m_mutex);
            m_hasTask.wait(lock, [this] { return !m_tasks.empty() || m_stopped; });
            if (m_tasks.empty()) {
                return;
            }
            task = std::move(m_tasks.front());
            m_tasks.pop_front();
        }
        m_hasRoom.notify_one();
        task();
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Answers
//-----------------------------------------------------------------------------

namespace {

constexpr const char *JsonType = "application/json";
constexpr const char *EventStreamType = "text/event-stream";
constexpr milliseconds DefaultRetryAfter{500};

std::string dumpJson(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool helpsToComeBack(Reason reason)
{
    switch (reason) {
    case Reason::RateLimited:
    case Reason::ConcurrencyLimited:
    case Reason::QueueFull:
    case Reason::DeadlineUnreachable:
    case Reason::Draining:
    case Reason::StoreUnavailable:
    case Reason::StoreBudgetExhausted:
    case Reason::ClaimInProgress:
    case Reason::ClaimOwnerUnavailable:
    case Reason::BatchStoreFull:
    case Reason::NoUpstream:
    case Reason::UpstreamOverloaded:
    case Reason::ConfigurationMissing:
        return true;
    default:
        return false;
    }
}

/** 0 when the reason alone does not decide. */
int statusOfReason(Reason reason)
{
    switch (reason) {
    case Reason::MalformedRequest:
    case Reason::IdempotencyKeyMissing:
    case Reason::DeadlineInPast:
        return 400;
    case Reason::UnknownKey:
        return 401;
    case Reason::Forbidden:
        return 403;
    case Reason::UnknownPipeline:
    case Reason::NotFound:
        return 404;
    case Reason::Conflict:
    case Reason::ClaimInProgress:
        return 409;
    case Reason::IdempotencyKeyExpired:
        return 410;
    case Reason::BodyTooLarge:
        return 413;
    case Reason::IdempotencyKeyMismatch:
    case Reason::CrashGuard:
        return 422;
    case Reason::RateLimited:
    case Reason::ConcurrencyLimited:
    case Reason::QuotaExceeded:
        return 429;
    default:
        return 0;
    }
}

} // namespace

int httpStatus(Outcome outcome, Reason reason)
{
    if (outcome == Outcome::Answered) {
        return 200;
    }
    if (const int status = statusOfReason(reason)) {
        return status;
    }
    const bool late = reason == Reason::DeadlineExceeded || reason == Reason::AttemptTimeout;
    if (outcome == Outcome::NotRun) {
        return 503;
    }
    return late ? 504 : 502;
}

nlohmann::json errorBody(Outcome outcome, Reason reason, const Findings &findings, std::optional<Duration> retryAfter)
{
    nlohmann::json body = {{"outcome", toString(outcome)}, {"reason", toString(reason)}};
    if (!findings.empty()) {
        body["findings"] = toJson(findings);
    }
    if (!retryAfter && helpsToComeBack(reason)) {
        retryAfter = DefaultRetryAfter;
    }
    if (retryAfter) {
        body["retry_after_ms"] = std::chrono::duration_cast<milliseconds>(*retryAfter).count();
    }
    return body;
}

void answerError(httplib::Response &response, Outcome outcome, Reason reason, const Findings &findings)
{
    response.status = httpStatus(outcome, reason);
    response.set_content(dumpJson(errorBody(outcome, reason, findings, std::nullopt)), JsonType);
}

namespace {

void refuse(Blackboard &board, httplib::Response &response, Reason reason, RequestClass requestClass, const Findings &findings = {})
{
    countRefusal(*board.m_metrics, reason, requestClass);
    writeLog(LogLevel::Info,
             "entry",
             "Request refused.",
             {{"reason", std::string(toString(reason))}, {"findings", fmt::format("{}", findings.size())}});
    answerError(response, Outcome::NotRun, reason, findings);
}

constexpr std::string_view BearerPrefix = "Bearer ";

} // namespace

std::shared_ptr<const Organisation>
authenticate(Blackboard &board, const Configuration &configuration, const httplib::Request &request, httplib::Response &response)
{
    const std::string header = request.get_header_value("Authorization");
    std::shared_ptr<const Organisation> organisation;
    if (header.starts_with(BearerPrefix)) {
        organisation = organisationOfKey(configuration, std::string_view(header).substr(BearerPrefix.size()));
    }
    if (!organisation) {
        refuse(board, response, Reason::UnknownKey, RequestClass::Urgent);
    }
    return organisation;
}

//-----------------------------------------------------------------------------
// [SECTION] Acceptance
//-----------------------------------------------------------------------------

namespace {

bool mayUse(const Organisation &organisation, const std::string &pipeline)
{
    const std::vector<std::string> &allowed = organisation.m_templates;
    return allowed.empty() || std::find(allowed.begin(), allowed.end(), pipeline) != allowed.end();
}

/** Reads the Idempotency-Key header. Adds a finding when it is malformed. */
std::optional<Identifier> readIdempotencyKey(const httplib::Request &request, Findings &findings)
{
    if (!request.has_header("Idempotency-Key")) {
        return std::nullopt;
    }
    const std::optional<Identifier> key = parseIdentifier(request.get_header_value("Idempotency-Key"));
    if (!key || !identifierMilliseconds(*key)) {
        findings.push_back({"", "", "header Idempotency-Key must be a UUID version 7"});
    }
    return key;
}

struct ParsedBody {
    PipelineRequest m_request;
    std::optional<Identifier> m_key;
};

std::optional<ParsedBody> parseBody(Blackboard &board, const httplib::Request &request, httplib::Response &response)
{
    Findings findings;
    ParsedBody parsed;
    parsed.m_key = readIdempotencyKey(request, findings);
    const std::optional<nlohmann::json> body = parseJson(request.body, "", findings);
    std::optional<PipelineRequest> pipelineRequest;
    if (body) {
        pipelineRequest = parseRequest(*body, findings);
    }
    if (!findings.empty() || !pipelineRequest) {
        refuse(board, response, Reason::MalformedRequest, RequestClass::Urgent, findings);
        return std::nullopt;
    }
    parsed.m_request = std::move(*pipelineRequest);
    return parsed;
}

} // namespace

std::optional<AcceptedRequest> acceptRequest(Blackboard &board, const httplib::Request &request, httplib::Response &response)
{
    AcceptedRequest accepted;
    accepted.m_arrival = now(board.m_clock);
    if (board.m_refusing) {
        refuse(board, response, Reason::Draining, RequestClass::Urgent);
        return std::nullopt;
    }
    accepted.m_configuration = snapshot(board.m_configuration);
    if (!accepted.m_configuration) {
        refuse(board, response, Reason::ConfigurationMissing, RequestClass::Urgent);
        return std::nullopt;
    }
    accepted.m_organisation = authenticate(board, *accepted.m_configuration, request, response);
    if (!accepted.m_organisation) {
        return std::nullopt;
    }
    const std::string name = request.matches[1];
    const auto pipeline = accepted.m_configuration->m_templates.find(name);
    if (pipeline == accepted.m_configuration->m_templates.end() || !mayUse(*accepted.m_organisation, name)) {
        refuse(board, response, Reason::UnknownPipeline, RequestClass::Urgent);
        return std::nullopt;
    }
    std::optional<ParsedBody> parsed = parseBody(board, request, response);
    if (!parsed) {
        return std::nullopt;
    }
    accepted.m_pipeline = applyOverrides(*pipeline->second, *accepted.m_organisation);
    accepted.m_request = std::move(parsed->m_request);
    accepted.m_idempotencyKey = parsed->m_key;
    const RequestClass requestClass = accepted.m_request.m_class;
    if (hasNonIdempotentStage(accepted.m_pipeline) && !accepted.m_idempotencyKey) {
        refuse(board, response, Reason::IdempotencyKeyMissing, requestClass);
        return std::nullopt;
    }
    const Duration deadline = accepted.m_request.m_deadline.value_or(accepted.m_pipeline.m_defaultDeadline);
    accepted.m_deadline = accepted.m_arrival + std::min(deadline, accepted.m_pipeline.m_maxDeadline);
    accepted.m_contentHash = contentHash(accepted.m_pipeline.m_name, accepted.m_request.m_input);
    accepted.m_identifier = makeIdentifier(board.m_clock);
    if (isRefusedContent(*board.m_pools, accepted.m_contentHash)) {
        refuse(board, response, Reason::CrashGuard, requestClass);
        return std::nullopt;
    }
    return accepted;
}

//-----------------------------------------------------------------------------
// [SECTION] Routes for callers
//-----------------------------------------------------------------------------

namespace {

/** Counts a request as open for as long as it lives, so that a shutdown waits for it. */
struct OpenRequest {
    explicit OpenRequest(Blackboard &board) : m_board(board)
    {
        ++m_board.m_openRequests;
    }
    ~OpenRequest()
    {
        --m_board.m_openRequests;
    }
    OpenRequest(const OpenRequest &) = delete;
    OpenRequest &operator=(const OpenRequest &) = delete;

    Blackboard &m_board;
};

/** Counts a request against its organisation's limits for as long as it lives. */
struct LimitedRequest {
    LimitedRequest(Blackboard &board, std::shared_ptr<const Organisation> organisation)
        : m_board(board), m_organisation(std::move(organisation))
    {
        const double share = 1.0 / static_cast<double>(std::max<int64_t>(1, board.m_liveEntries));
        const std::lock_guard lock(board.m_limitsMutex);
        m_decision = beginOrganisationRequest(board.m_limits, *m_organisation, share, now(board.m_clock));
    }
    ~LimitedRequest()
    {
        if (m_decision.m_reason == Reason::None) {
            const std::lock_guard lock(m_board.m_limitsMutex);
            endOrganisationRequest(m_board.m_limits, *m_organisation);
        }
    }
    LimitedRequest(const LimitedRequest &) = delete;
    LimitedRequest &operator=(const LimitedRequest &) = delete;

    Blackboard &m_board;
    std::shared_ptr<const Organisation> m_organisation;
    RateDecision m_decision;
};

std::string tierOf(const Organisation &organisation)
{
    constexpr double MediumWeight = 1;
    constexpr double LargeWeight = 10;
    if (organisation.m_weight >= LargeWeight) {
        return "large";
    }
    return organisation.m_weight >= MediumWeight ? "medium" : "small";
}

void recordEnd(Blackboard &board, const AcceptedRequest &accepted, const PipelineResult &result)
{
    const TimePoint end = now(board.m_clock);
    RequestRecord record;
    record.m_pipeline = accepted.m_pipeline.m_name;
    record.m_tier = tierOf(*accepted.m_organisation);
    record.m_class = accepted.m_request.m_class;
    record.m_outcome = result.m_outcome;
    record.m_inDeadline = end <= accepted.m_deadline;
    record.m_duration = end - accepted.m_arrival;
    record.m_firstToken = result.m_firstToken;
    recordRequest(*board.m_metrics, record);
    if (result.m_outcome != Outcome::Answered) {
        countRefusal(*board.m_metrics, result.m_reason, record.m_class);
        writeLog(LogLevel::Info,
                 "entry",
                 "Request failed.",
                 {{"request", toString(accepted.m_identifier)},
                  {"organisation", accepted.m_organisation->m_name},
                  {"pipeline", record.m_pipeline},
                  {"stage", result.m_failedStage},
                  {"outcome", std::string(toString(result.m_outcome))},
                  {"reason", std::string(toString(result.m_reason))}});
    }
}

nlohmann::json answerBody(const AcceptedRequest &accepted, const PipelineResult &result)
{
    if (result.m_outcome != Outcome::Answered) {
        nlohmann::json body = errorBody(result.m_outcome, result.m_reason, {}, result.m_retryAfter);
        body["request"] = toString(accepted.m_identifier);
        body["stage"] = result.m_failedStage;
        body["side_effects"] = result.m_sideEffects ? "possible" : "none";
        return body;
    }
    return {{"outcome", toString(result.m_outcome)},
            {"request", toString(accepted.m_identifier)},
            {"output", result.m_output},
            {"stages", result.m_stages},
            {"configuration_revision", accepted.m_configuration->m_revision}};
}

std::string serverSentEvent(std::string_view event, const nlohmann::json &data)
{
    return fmt::format("event: {}\ndata: {}\n\n", event, dumpJson(data));
}

void answerStream(Blackboard &board,
                  const std::shared_ptr<AcceptedRequest> &accepted,
                  const std::shared_ptr<LimitedRequest> &limited,
                  httplib::Response &response)
{
    // The response outlives the handler, so the provider owns what has to live as long as the request.
    auto open = std::make_shared<OpenRequest>(board);
    response.set_header("Cache-Control", "no-store");
    response.set_chunked_content_provider(EventStreamType, [&board, accepted, open, limited](size_t /*offset*/, httplib::DataSink &sink) {
        CancelToken cancel;
        const auto write = [&sink](const std::string &text) { return sink.write(text.data(), text.size()); };
        const PipelineResult result = runPipeline(
            board,
            *accepted,
            [&](const std::string &text) {
                if (!write(serverSentEvent("token", {{"text", text}}))) {
                    cancel.m_cancelled = true;
                }
                return !cancel.m_cancelled;
            },
            cancel);
        const bool answered = result.m_outcome == Outcome::Answered;
        write(serverSentEvent(answered ? "done" : "error", answerBody(*accepted, result)));
        recordEnd(board, *accepted, result);
        sink.done();
        return true;
    });
}

void handlePipelineRequest(Blackboard &board, const httplib::Request &request, httplib::Response &response)
{
    const OpenRequest open(board);
    std::optional<AcceptedRequest> accepted = acceptRequest(board, request, response);
    if (!accepted) {
        return;
    }
    const auto limited = std::make_shared<LimitedRequest>(board, accepted->m_organisation);
    if (limited->m_decision.m_reason != Reason::None) {
        countRefusal(*board.m_metrics, limited->m_decision.m_reason, accepted->m_request.m_class);
        response.status = httpStatus(Outcome::NotRun, limited->m_decision.m_reason);
        response.set_content(dumpJson(errorBody(Outcome::NotRun, limited->m_decision.m_reason, {}, limited->m_decision.m_retryAfter)),
                             JsonType);
        return;
    }
    if (accepted->m_request.m_stream) {
        answerStream(board, std::make_shared<AcceptedRequest>(std::move(*accepted)), limited, response);
        return;
    }
    CancelToken cancel;
    const PipelineResult result = runPipeline(board, *accepted, {}, cancel);
    recordEnd(board, *accepted, result);
    response.status = httpStatus(result.m_outcome, result.m_reason);
    response.set_content(dumpJson(answerBody(*accepted, result)), JsonType);
}

nlohmann::json describeState(Blackboard &board)
{
    const auto configuration = snapshot(board.m_configuration);
    nlohmann::json pools = nlohmann::json::array();
    for (const PoolStatus &pool : poolStatus(*board.m_pools)) {
        pools.push_back({{"name", pool.m_name},
                         {"replicas", pool.m_replicas},
                         {"usable", pool.m_usable},
                         {"running", pool.m_running},
                         {"queued_urgent", pool.m_queuedUrgent},
                         {"queued_batch", pool.m_queuedBatch},
                         {"capacity", pool.m_capacity}});
    }
    return {{"node", board.m_settings.m_node},
            {"ready", board.m_ready && !board.m_draining},
            {"draining", board.m_draining.load()},
            {"configuration_revision", configuration ? configuration->m_revision : 0},
            {"live_entries", board.m_liveEntries.load()},
            {"open_requests", board.m_openRequests.load()},
            {"pools", std::move(pools)}};
}

} // namespace

void configureServer(httplib::Server &server, const Settings &settings)
{
    constexpr time_t KeepAliveSeconds = 60;
    constexpr size_t RequestsPerConnection = 10'000;
    const auto setTimeout = [](Duration duration) {
        const auto whole = std::chrono::duration_cast<seconds>(duration);
        return std::pair<time_t, time_t>(whole.count(), (duration - whole).count());
    };
    const auto read = setTimeout(settings.m_readTimeout);
    const auto write = setTimeout(settings.m_writeTimeout);
    server.set_read_timeout(read.first, read.second);
    server.set_write_timeout(write.first, write.second);
    server.set_keep_alive_timeout(KeepAliveSeconds);
    server.set_keep_alive_max_count(RequestsPerConnection);
    server.set_tcp_nodelay(true);
    server.set_payload_max_length(static_cast<size_t>(settings.m_maxBodyBytes));
    const auto threads = static_cast<size_t>(settings.m_maxConnections);
    const auto queued = static_cast<size_t>(settings.m_maxQueuedConnections);
    server.new_task_queue = [threads, queued] { return new BoundedTaskQueue(threads, queued); };
    server.set_error_handler([](const httplib::Request & /*request*/, httplib::Response &response) {
        if (!response.body.empty()) {
            return;
        }
        const int status = response.status;
        const Reason reason = status == 413 ? Reason::BodyTooLarge : status == 404 ? Reason::NotFound : Reason::MalformedRequest;
        response.set_content(dumpJson(errorBody(Outcome::NotRun, reason, {}, std::nullopt)), JsonType);
    });
}

void registerCallerRoutes(httplib::Server &server, Blackboard &board)
{
    server.Post(R"(/v1/pipelines/([a-z0-9._-]{1,64})/requests)", [&board](const httplib::Request &request, httplib::Response &response) {
        handlePipelineRequest(board, request, response);
    });
    server.set_post_routing_handler([&board](const httplib::Request & /*request*/, httplib::Response &response) {
        if (board.m_draining) {
            response.set_header("Connection", "close");
        }
    });
    server.Get("/healthz", [](const httplib::Request & /*request*/, httplib::Response &response) {
        response.set_content("{\"healthy\":true}", JsonType);
    });
    server.Get("/readyz", [&board](const httplib::Request & /*request*/, httplib::Response &response) {
        const bool ready = board.m_ready && !board.m_draining;
        response.status = ready ? 200 : 503;
        response.set_content(ready ? "{\"ready\":true}" : "{\"ready\":false}", JsonType);
    });
    server.Get("/statusz", [&board](const httplib::Request & /*request*/, httplib::Response &response) {
        response.set_content(dumpJson(describeState(board)), JsonType);
    });
    server.Get("/metrics", [&board](const httplib::Request & /*request*/, httplib::Response &response) {
        response.set_content(exposeMetrics(*board.m_metrics), "text/plain; version=0.0.4");
    });
}

} // namespace Medlarramp
