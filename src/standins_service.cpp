#include "standins_internal.h"

namespace Medlarramp {

namespace {

constexpr int StatusBadRequest = 400;

/** The JSON input in the first BYTES tensor. */
std::optional<nlohmann::json> tensorInput(const nlohmann::json &body)
{
    const nlohmann::json::json_pointer place("/inputs/0/data/0");
    if (!body.contains(place) || !body[place].is_string()) {
        return std::nullopt;
    }
    Findings findings;
    return parseJson(body[place].get<std::string>(), "", findings);
}

nlohmann::json inferenceAnswer(const std::string &model, const nlohmann::json &body, const nlohmann::json &output)
{
    const nlohmann::json tensor = {
        {"name", "output"},
        {"datatype", "BYTES"},
        {"shape", nlohmann::json::array({1})},
        {"data", nlohmann::json::array({output.dump()})},
    };
    return {{"model_name", model}, {"id", body.value("id", "")}, {"outputs", nlohmann::json::array({tensor})}};
}

void serveInference(StagePoolStandin &pool, const httplib::Request &request, httplib::Response &response)
{
    const UnaryService service{
        *pool.m_http.m_server, *pool.m_slots, pool.m_serviceTime, pool.m_maxRunning, pool.m_maxWaiting, pool.m_reportsLoad, false};
    const std::string model = request.matches[1];
    const std::optional<nlohmann::json> body = parseBody(request);
    const std::optional<nlohmann::json> input = body ? tensorInput(*body) : std::nullopt;
    if (!input) {
        refuse(service.m_server, response, StatusBadRequest);
        return;
    }
    serveUnary(service, request, response, [&] {
        const nlohmann::json output = pool.m_infer ? pool.m_infer(model, *input) : nlohmann::json{{"model", model}, {"input", *input}};
        return inferenceAnswer(model, *body, output);
    });
}

void serveCall(PlainServiceStandin &plain, const httplib::Request &request, httplib::Response &response)
{
    const UnaryService service{*plain.m_http.m_server,
                               *plain.m_slots,
                               plain.m_serviceTime,
                               plain.m_maxRunning,
                               plain.m_maxWaiting,
                               plain.m_reportsLoad,
                               plain.m_refusesRepeats};
    const std::optional<nlohmann::json> input = parseBody(request);
    if (!input) {
        refuse(service.m_server, response, StatusBadRequest);
        return;
    }
    serveUnary(service, request, response, [&] {
        return plain.m_handle ? plain.m_handle(request.path, *input) : nlohmann::json{{"path", request.path}, {"input", *input}};
    });
}

} // namespace

StagePoolStandin::StagePoolStandin() : m_slots(std::make_unique<ServiceSlots>())
{
}

StagePoolStandin::~StagePoolStandin() = default;

absl::Status start(StagePoolStandin &pool, int port)
{
    pool.m_http.m_server->Post(R"(/v2/models/(.+)/infer)", [&pool](const httplib::Request &request, httplib::Response &response) {
        serveInference(pool, request, response);
    });
    return startServer(pool.m_http, port);
}

void stop(StagePoolStandin &pool)
{
    stopServer(pool.m_http);
}

PlainServiceStandin::PlainServiceStandin() : m_slots(std::make_unique<ServiceSlots>())
{
}

PlainServiceStandin::~PlainServiceStandin() = default;

absl::Status start(PlainServiceStandin &service, int port)
{
    service.m_http.m_server->Post(
        R"(/.*)", [&service](const httplib::Request &request, httplib::Response &response) { serveCall(service, request, response); });
    return startServer(service.m_http, port);
}

void stop(PlainServiceStandin &service)
{
    stopServer(service.m_http);
}

} // namespace Medlarramp
