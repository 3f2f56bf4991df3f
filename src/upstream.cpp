#include <algorithm>
#include <string_view>

#include "upstream_internal.h"

namespace Medlarramp {

namespace {

constexpr int FirstSuccess = 200;
constexpr int FirstRedirect = 300;
constexpr int StatusNoContent = 204;
constexpr seconds ReadTimeoutMargin{1}; ///< the library's own timeout is only a second line behind the watch

/** One attempt while it runs. */
struct Exchange {
    ConnectionPoolsState &m_state;
    const Clock &m_clock;
    const AttemptRequest &m_request;
    const TokenSink &m_sink;
    AttemptResult m_result;
    WatchedAttempt m_watched;
    StreamReader m_reader;
    std::string m_body;
    TimePoint m_start;
    bool m_hasLength = false; ///< the end of the answer is marked
    bool m_received = false; ///< at least one byte of the answer
    bool m_tooLarge = false;
    bool m_refusedBySink = false;
};

bool isStream(const Exchange &exchange)
{
    return exchange.m_request.m_kind == UpstreamKind::ModelEngine;
}

bool isSuccess(int status)
{
    return status >= FirstSuccess && status < FirstRedirect;
}

void noteByte(Exchange &exchange)
{
    exchange.m_received = true;
    exchange.m_watched.m_lastByte = now(exchange.m_clock);
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    });
}

bool receiveHead(Exchange &exchange, const httplib::Response &response)
{
    noteByte(exchange);
    AttemptResult &result = exchange.m_result;
    result.m_evidence.m_status = response.status;
    result.m_evidence.m_leaving = equalsIgnoringCase(response.get_header_value("X-Upstream-State"), "leaving");
    result.m_retryAfter = decodeRetryAfter(response.get_header_value("Retry-After"));
    result.m_load = decodeLoad(response.get_header_value("Endpoint-Load-Metrics"), now(exchange.m_clock));
    // Without a marked end, a cut answer such as "12" of "123" would look whole.
    exchange.m_hasLength = response.status == StatusNoContent || response.has_header("Content-Length")
        || equalsIgnoringCase(response.get_header_value("Transfer-Encoding"), "chunked");
    return true;
}

bool deliver(Exchange &exchange, const std::string &text)
{
    AttemptResult &result = exchange.m_result;
    if (!result.m_firstToken) {
        result.m_firstToken = now(exchange.m_clock) - exchange.m_start;
    }
    result.m_text += text;
    ++result.m_tokens;
    if (exchange.m_sink && !exchange.m_sink(text)) {
        exchange.m_refusedBySink = true;
        return false;
    }
    return true;
}

bool receiveEvents(Exchange &exchange, std::string_view data)
{
    StreamReader &reader = exchange.m_reader;
    const uint64_t before = reader.m_events;
    const std::vector<std::string> texts = readStream(reader, data, exchange.m_state.m_settings.m_maxEventBytes);
    if (reader.m_events != before) {
        exchange.m_watched.m_lastEvent = now(exchange.m_clock);
        exchange.m_watched.m_hasEvent = true;
    }
    for (const std::string &text : texts) {
        if (!deliver(exchange, text)) {
            return false;
        }
    }
    exchange.m_watched.m_done = reader.m_done;
    return !reader.m_malformed;
}

bool receiveBody(Exchange &exchange, const char *data, size_t length, uint64_t offset)
{
    noteByte(exchange);
    const ConnectionSettings &settings = exchange.m_state.m_settings;
    const bool events = isStream(exchange) && isSuccess(exchange.m_result.m_evidence.m_status);
    if (offset + length > (events ? settings.m_maxStreamBytes : settings.m_maxAnswerBytes)) {
        exchange.m_tooLarge = true;
        return false;
    }
    if (events) {
        return receiveEvents(exchange, std::string_view(data, length));
    }
    exchange.m_body.append(data, length);
    return true;
}

httplib::Request makeRequest(Exchange &exchange, WireRequest wire)
{
    httplib::Request request;
    request.method = "POST";
    request.path = std::move(wire.m_path);
    request.headers = std::move(wire.m_headers);
    request.body = std::move(wire.m_body);
    request.response_handler = [&exchange](const httplib::Response &response) { return receiveHead(exchange, response); };
    request.content_receiver = [&exchange](const char *data, size_t length, uint64_t offset, uint64_t) {
        return receiveBody(exchange, data, length, offset);
    };
    return request;
}

void setTimeouts(httplib::Client &client, const ConnectionSettings &settings, Duration timeLeft)
{
    client.set_connection_timeout(std::min(settings.m_connectTimeout, timeLeft));
    client.set_read_timeout(timeLeft + ReadTimeoutMargin);
    client.set_write_timeout(timeLeft + ReadTimeoutMargin);
}

bool isConnectError(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout || error == httplib::Error::BindIPAddress;
}

/** Sends the request and reads the answer. @return whether the HTTP answer ended in order. */
bool transfer(Exchange &exchange, Connection &connection, WireRequest wire)
{
    httplib::Request request = makeRequest(exchange, std::move(wire));
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    connection.m_created = false;
    const bool ended = connection.m_client.send(request, response, error);
    AttemptEvidence &evidence = exchange.m_result.m_evidence;
    if (connection.m_created) {
        connection.m_openedAt = exchange.m_start;
    }
    // The library reports these errors only before it writes the first byte. After any other end, bytes may have left.
    const bool connected = ended || !isConnectError(error);
    evidence.m_connected = connected;
    evidence.m_requestSent = connected;
    evidence.m_reusedConnection = connected && !connection.m_created;
    return ended;
}

bool isComplete(Exchange &exchange, bool ended)
{
    AttemptResult &result = exchange.m_result;
    if (!isSuccess(result.m_evidence.m_status) || exchange.m_refusedBySink || exchange.m_tooLarge) {
        return false;
    }
    switch (exchange.m_request.m_kind) {
    case UpstreamKind::ModelEngine:
        return exchange.m_reader.m_done && !exchange.m_reader.m_malformed;
    case UpstreamKind::StagePool:
        return ended && exchange.m_hasLength && decodeInference(exchange.m_body, exchange.m_request, result.m_output);
    case UpstreamKind::PlainService:
        return ended && exchange.m_hasLength && decodeCall(exchange.m_body, result.m_output);
    }
    return false;
}

void noteInterruption(Exchange &exchange)
{
    AttemptEvidence &evidence = exchange.m_result.m_evidence;
    switch (exchange.m_watched.m_interruption.load()) {
    case Interruption::None:
    case Interruption::AfterEnd:
        break;
    case Interruption::Cancelled:
        evidence.m_cancelled = true;
        break;
    case Interruption::Deadline:
    case Interruption::NoProgress:
        evidence.m_timedOut = true;
        break;
    case Interruption::Silence:
        evidence.m_silent = true;
        break;
    }
}

void finish(Exchange &exchange, bool ended)
{
    AttemptResult &result = exchange.m_result;
    AttemptEvidence &evidence = result.m_evidence;
    evidence.m_complete = isComplete(exchange, ended);
    if (!evidence.m_complete) {
        noteInterruption(exchange);
        evidence.m_cancelled = evidence.m_cancelled || exchange.m_refusedBySink;
    }
    result.m_tokens = std::max(result.m_tokens, exchange.m_reader.m_reportedTokens);
}

/** Drops older connections to the same address when this one is found silent. */
void judgeConnections(Exchange &exchange)
{
    const Interruption interruption = exchange.m_watched.m_interruption;
    ConnectionObservation observation;
    observation.m_reused = exchange.m_result.m_evidence.m_reusedConnection;
    observation.m_interrupted = interruption == Interruption::Deadline || interruption == Interruption::Silence;
    observation.m_sentAt = exchange.m_start;
    if (exchange.m_received) {
        observation.m_lastByteAt = exchange.m_watched.m_lastByte.load();
    }
    observation.m_endedAt = now(exchange.m_clock);
    const std::optional<TimePoint> before = distrustBefore(observation, exchange.m_state.m_settings.m_silenceLimit);
    if (!before || exchange.m_result.m_evidence.m_complete) {
        return;
    }
    exchange.m_result.m_evidence.m_silent = true;
    distrustConnections(exchange.m_state, exchange.m_request.m_address, *before);
    writeLog(LogLevel::Warning,
             "upstream",
             "Connection is silent, older pooled connections are dropped.",
             {{"address", toString(exchange.m_request.m_address)}});
}

void runOnConnection(Exchange &exchange, std::unique_ptr<Connection> connection, const CancelToken &token, WireRequest wire)
{
    setTimeouts(connection->m_client, exchange.m_state.m_settings, exchange.m_request.m_deadline - exchange.m_start);
    WatchedAttempt &watched = exchange.m_watched;
    watched.m_connection = connection.get();
    watched.m_token = &token;
    watched.m_clock = &exchange.m_clock;
    watched.m_deadline = exchange.m_request.m_deadline;
    watched.m_stream = isStream(exchange);
    watched.m_lastByte = exchange.m_start;
    watched.m_lastEvent = exchange.m_start;
    watch(exchange.m_state, watched);
    const bool ended = transfer(exchange, *connection, std::move(wire));
    unwatch(exchange.m_state, watched);
    finish(exchange, ended);
    judgeConnections(exchange);
    const bool reused = exchange.m_result.m_evidence.m_reusedConnection;
    releaseConnection(exchange.m_state, exchange.m_request.m_address, std::move(connection), reused, now(exchange.m_clock));
}

/** Records why an attempt ended before a connection was sought. @return whether it did. */
bool endedEarly(Exchange &exchange, const CancelToken &token)
{
    AttemptEvidence &evidence = exchange.m_result.m_evidence;
    evidence.m_cancelled = token.m_cancelled;
    evidence.m_timedOut = exchange.m_start >= exchange.m_request.m_deadline;
    return evidence.m_cancelled || evidence.m_timedOut;
}

AttemptResult
runAttempt(ConnectionPoolsState &state, const Clock &clock, const AttemptRequest &request, const TokenSink &sink, const CancelToken &token)
{
    Exchange exchange{state, clock, request, sink, {}, {}, {}, {}, now(clock)};
    if (endedEarly(exchange, token)) {
        return exchange.m_result;
    }
    std::optional<WireRequest> wire = encodeRequest(request, request.m_deadline - exchange.m_start);
    if (!wire) {
        return exchange.m_result;
    }
    const Duration maxIdleAge = request.m_idempotencyKey.empty() ? state.m_settings.m_maxIdleAge : state.m_settings.m_maxIdleAgeWithKey;
    std::unique_ptr<Connection> connection = acquireConnection(state, request.m_address, maxIdleAge, exchange.m_start);
    if (connection) {
        runOnConnection(exchange, std::move(connection), token, std::move(*wire));
    }
    exchange.m_result.m_duration = now(clock) - exchange.m_start;
    return exchange.m_result;
}

} // namespace

UpstreamClient makeUpstreamClient(ConnectionPools &pools, const Clock &clock)
{
    ConnectionPoolsState &state = *pools.m_state;
    startWatch(state, clock);
    UpstreamClient client;
    client.m_run = [&state, &clock](const AttemptRequest &request, const TokenSink &sink, CancelToken &token) {
        return runAttempt(state, clock, request, sink, token);
    };
    return client;
}

} // namespace Medlarramp
