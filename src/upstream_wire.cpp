#include <algorithm>
#include <charconv>

#include <fmt/format.h>

#include "upstream_internal.h"

namespace Medlarramp {

namespace {

constexpr int UrgentPriority = 0; ///< engines serve lower values first
constexpr int BatchPriority = 10;
constexpr seconds MaxRetryAfter{3600};
constexpr size_t MaxLoadHeaderBytes = 4096;

std::string dump(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool isSafeHeaderValue(const std::string &value)
{
    return std::none_of(value.begin(), value.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; });
}

std::string encodePathSegment(const std::string &segment)
{
    std::string encoded;
    for (const unsigned char c : segment) {
        if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
            encoded += static_cast<char>(c);
        } else {
            encoded += fmt::format("%{:02X}", c);
        }
    }
    return encoded;
}

/** Not the name itself, so that the engine's logs do not show which organisations exist. */
std::string cacheSalt(const std::string &organisation)
{
    return toHex(sha256("medlarramp cache salt/" + organisation));
}

std::string completionBody(const AttemptRequest &request)
{
    return dump({
        {"model", request.m_model},
        {"prompt", request.m_prompt + request.m_generated},
        {"max_tokens", request.m_maxOutputTokens},
        {"stream", true},
        {"stream_options", {{"include_usage", true}}},
        {"priority", request.m_class == RequestClass::Urgent ? UrgentPriority : BatchPriority},
        {"cache_salt", cacheSalt(request.m_organisation)},
    });
}

std::string inferenceBody(const AttemptRequest &request)
{
    const nlohmann::json input = {
        {"name", "input"},
        {"datatype", "BYTES"},
        {"shape", nlohmann::json::array({1})},
        {"data", nlohmann::json::array({dump(request.m_input)})},
    };
    return dump({{"id", attemptIdentifier(request)}, {"inputs", nlohmann::json::array({input})}});
}

std::optional<nlohmann::json> parseAnswer(const std::string &body)
{
    Findings findings;
    return parseJson(body, "", findings);
}

const nlohmann::json *find(const nlohmann::json &value, const char *name)
{
    if (!value.is_object()) {
        return nullptr;
    }
    const auto found = value.find(name);
    return found == value.end() ? nullptr : &*found;
}

const nlohmann::json *firstElement(const nlohmann::json *value)
{
    return value && value->is_array() && !value->empty() ? &value->front() : nullptr;
}

void readMetric(const nlohmann::json &metrics, const char *name, double &value)
{
    const nlohmann::json *metric = find(metrics, name);
    if (metric && metric->is_number() && metric->get<double>() >= 0) {
        value = metric->get<double>();
    }
}

std::optional<double> textMetric(const std::string &text, const std::string &name)
{
    const size_t at = text.find("named_metrics." + name + "=");
    if (at == std::string::npos) {
        return std::nullopt;
    }
    const char *begin = text.data() + text.find('=', at) + 1;
    double value = 0;
    const auto [end, error] = std::from_chars(begin, text.data() + text.size(), value);
    return error == std::errc() && end != begin && value >= 0 ? std::optional(value) : std::nullopt;
}

void readEvent(StreamReader &reader, std::string_view data, std::vector<std::string> &texts)
{
    if (data == "[DONE]") {
        reader.m_done = true;
        return;
    }
    const std::optional<nlohmann::json> event = parseAnswer(std::string(data));
    if (!event || !event->is_object() || event->contains("error")) {
        reader.m_malformed = true;
        return;
    }
    if (const nlohmann::json *usage = find(*event, "usage")) {
        const nlohmann::json *tokens = find(*usage, "completion_tokens");
        if (tokens && tokens->is_number_integer()) {
            reader.m_reportedTokens = tokens->get<int64_t>();
        }
    }
    const nlohmann::json *choice = firstElement(find(*event, "choices"));
    const nlohmann::json *text = choice ? find(*choice, "text") : nullptr;
    if (text && text->is_string() && !text->get_ref<const std::string &>().empty()) {
        texts.push_back(text->get<std::string>());
    }
}

void readLine(StreamReader &reader, std::string_view line, std::vector<std::string> &texts)
{
    if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
    }
    constexpr std::string_view Field = "data:";
    if (reader.m_done || !line.starts_with(Field)) {
        return;
    }
    line.remove_prefix(Field.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    ++reader.m_events;
    readEvent(reader, line, texts);
}

} // namespace

std::string attemptIdentifier(const AttemptRequest &request)
{
    return fmt::format("{}/{}/{}", toString(request.m_request), request.m_stage, request.m_attempt);
}

std::optional<WireRequest> encodeRequest(const AttemptRequest &request, Duration timeLeft)
{
    if (!isSafeHeaderValue(request.m_idempotencyKey) || !isSafeHeaderValue(request.m_path)) {
        return std::nullopt;
    }
    WireRequest wire;
    wire.m_headers = {
        {"Content-Type", "application/json"},
        {"Accept-Encoding", "identity"},
        {"User-Agent", "medlarramp"},
        {"X-Request-Id", toString(request.m_request)},
        {"X-Request-Stage", std::to_string(request.m_stage)},
        {"X-Request-Attempt", std::to_string(request.m_attempt)},
        {"X-Request-Timeout-Ms", std::to_string(std::chrono::duration_cast<milliseconds>(timeLeft).count())},
        {"Endpoint-Load-Metrics-Format", "JSON"},
    };
    if (!request.m_idempotencyKey.empty()) {
        wire.m_headers.emplace("Idempotency-Key", request.m_idempotencyKey);
    }
    switch (request.m_kind) {
    case UpstreamKind::ModelEngine:
        wire.m_path = "/v1/completions";
        wire.m_body = completionBody(request);
        wire.m_headers.emplace("Accept", "text/event-stream");
        break;
    case UpstreamKind::StagePool:
        wire.m_path = "/v2/models/" + encodePathSegment(request.m_model) + "/infer";
        wire.m_body = inferenceBody(request);
        break;
    case UpstreamKind::PlainService:
        wire.m_path = request.m_path.starts_with('/') ? request.m_path : "/" + request.m_path;
        wire.m_body = dump(request.m_input);
        break;
    }
    return wire;
}

bool decodeInference(const std::string &body, const AttemptRequest &request, nlohmann::json &output)
{
    const std::optional<nlohmann::json> answer = parseAnswer(body);
    if (!answer) {
        return false;
    }
    const nlohmann::json *identifier = find(*answer, "id");
    if (identifier && *identifier != attemptIdentifier(request)) {
        return false;
    }
    const nlohmann::json *tensor = firstElement(find(*answer, "outputs"));
    const nlohmann::json *data = tensor ? firstElement(find(*tensor, "data")) : nullptr;
    if (!data || !data->is_string()) {
        return false;
    }
    return decodeCall(data->get<std::string>(), output);
}

bool decodeCall(const std::string &body, nlohmann::json &output)
{
    if (body.empty()) {
        output = nullptr;
        return true;
    }
    std::optional<nlohmann::json> answer = parseAnswer(body);
    if (!answer) {
        return false;
    }
    output = std::move(*answer);
    return true;
}

std::optional<Duration> decodeRetryAfter(const std::string &value)
{
    // The form with a date is left out: it would need the wall clock of both sides to agree.
    int64_t delay = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), delay);
    if (error != std::errc() || end != value.data() + value.size() || delay < 0) {
        return std::nullopt;
    }
    return std::min(Duration(MaxRetryAfter), Duration(seconds(std::min<int64_t>(delay, MaxRetryAfter.count()))));
}

std::optional<LoadReport> decodeLoad(const std::string &value, TimePoint now)
{
    LoadReport report{-1, 0, now};
    if (value.size() > MaxLoadHeaderBytes) {
        return std::nullopt;
    }
    if (value.starts_with("JSON ")) {
        const std::optional<nlohmann::json> json = parseAnswer(value.substr(5));
        const nlohmann::json *metrics = json ? find(*json, "named_metrics") : nullptr;
        if (!metrics) {
            return std::nullopt;
        }
        readMetric(*metrics, "num_requests_running", report.m_running);
        readMetric(*metrics, "num_requests_waiting", report.m_waiting);
    } else if (value.starts_with("TEXT ")) {
        report.m_running = textMetric(value, "num_requests_running").value_or(-1);
        report.m_waiting = textMetric(value, "num_requests_waiting").value_or(0);
    }
    return report.m_running >= 0 ? std::optional(report) : std::nullopt;
}

std::vector<std::string> readStream(StreamReader &reader, std::string_view data, size_t maxEventBytes)
{
    std::vector<std::string> texts;
    while (!data.empty() && !reader.m_malformed) {
        const size_t end = data.find('\n');
        const std::string_view part = data.substr(0, end);
        if (reader.m_line.size() + part.size() > maxEventBytes) {
            reader.m_malformed = true;
            break;
        }
        reader.m_line += part;
        if (end == std::string_view::npos) {
            break;
        }
        readLine(reader, reader.m_line, texts);
        reader.m_line.clear();
        data.remove_prefix(end + 1);
    }
    return texts;
}

} // namespace Medlarramp
