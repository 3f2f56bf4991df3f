#include <algorithm>
#include <list>

#include <fmt/format.h>

#include "standins_internal.h"

namespace Medlarramp {

/** What an engine has loaded and cached. */
struct ModelEngineState {
    ServiceSlots m_slots;
    std::mutex m_mutex; ///< guards the members below
    std::set<std::string> m_models;
    int64_t m_lastFencingToken = 0;
    std::list<uint64_t> m_blocks; ///< hashes of cached prefixes, the most recently used first
    std::map<uint64_t, std::list<uint64_t>::iterator> m_blockPlaces;
};

namespace {

constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusServiceUnavailable = 503;
constexpr int StatusOk = 200;

Duration slowed(Duration duration, double factor)
{
    return Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

std::string nextToken(const std::string &text)
{
    return fmt::format(" t{:03}", hash64(text) % 1000);
}

/** Looks up the blocks of a prompt and caches them. @return the number of blocks that were not cached. */
size_t fillCache(ModelEngineStandin &engine, const std::string &salt, const std::string &prompt)
{
    ModelEngineState &state = *engine.m_state;
    const std::lock_guard lock(state.m_mutex);
    uint64_t prefix = hash64(salt);
    size_t missing = 0;
    for (size_t at = 0; at + PrefixBlockBytes <= prompt.size(); at += PrefixBlockBytes) {
        prefix = combineHash(prefix, hash64(std::string_view(prompt).substr(at, PrefixBlockBytes)));
        const auto known = state.m_blockPlaces.find(prefix);
        if (known != state.m_blockPlaces.end()) {
            state.m_blocks.erase(known->second);
        } else {
            ++missing;
        }
        state.m_blocks.push_front(prefix);
        state.m_blockPlaces[prefix] = state.m_blocks.begin();
    }
    while (state.m_blocks.size() > engine.m_cacheBlocks) {
        state.m_blockPlaces.erase(state.m_blocks.back());
        state.m_blocks.pop_back();
    }
    return missing;
}

void addBlocks(StandinServer &server, size_t blocks, size_t missing)
{
    const std::lock_guard lock(server.m_mutex);
    server.m_counts.m_cachedBlocks += blocks - missing;
    server.m_counts.m_uncachedBlocks += missing;
}

struct Generation {
    std::string m_model;
    std::string m_prompt;
    std::string m_salt;
    int64_t m_tokens = 0;
    int64_t m_priority = 0;
};

std::optional<Generation> parseGeneration(const httplib::Request &request)
{
    const std::optional<nlohmann::json> body = parseBody(request);
    if (!body || !body->is_object() || !body->value("stream", false)) {
        return std::nullopt;
    }
    Generation generation;
    generation.m_model = body->value("model", "");
    generation.m_prompt = body->value("prompt", "");
    generation.m_salt = body->value("cache_salt", "");
    generation.m_tokens = body->value("max_tokens", int64_t(16));
    generation.m_priority = body->value("priority", int64_t(0));
    return generation;
}

bool writeEvent(httplib::DataSink &sink, const std::string &data)
{
    const std::string event = "data: " + data + "\n\n";
    return sink.write(event.data(), event.size());
}

nlohmann::json tokenEvent(const std::string &text)
{
    const nlohmann::json choice = {{"index", 0}, {"text", text}, {"finish_reason", nullptr}};
    return {{"object", "text_completion"}, {"choices", nlohmann::json::array({choice})}};
}

/** Writes the tokens. @return false when the caller left or the fault plan cut the stream. */
bool generateTokens(ModelEngineStandin &engine, const Generation &generation, httplib::DataSink &sink)
{
    StandinServer &server = *engine.m_http.m_server;
    std::string text = generation.m_prompt;
    for (int64_t i = 0; i < generation.m_tokens; ++i) {
        const FaultPlan plan = faults(server);
        if (i == plan.m_closeAfter) {
            dropConnection();
            return false;
        }
        const bool stays = pauseRequest(plan.m_stuck ? Duration(seconds(3600)) : slowed(engine.m_tokenDelay, plan.m_slowdown));
        const std::string token = nextToken(text);
        if (!stays || !writeEvent(sink, tokenEvent(token).dump())) {
            addCancelled(server);
            dropConnection();
            return false;
        }
        text += token;
    }
    const nlohmann::json usage = {{"completion_tokens", generation.m_tokens}};
    return writeEvent(sink, nlohmann::json{{"choices", nlohmann::json::array()}, {"usage", usage}}.dump()) && writeEvent(sink, "[DONE]");
}

/** Runs a request that has a slot. */
bool runGeneration(ModelEngineStandin &engine, const Generation &generation, const httplib::Request &request, httplib::DataSink &sink)
{
    StandinServer &server = *engine.m_http.m_server;
    if (!beginRun(server, request)) {
        return false;
    }
    const auto missing = static_cast<int64_t>(fillCache(engine, generation.m_salt, generation.m_prompt));
    addBlocks(server, generation.m_prompt.size() / PrefixBlockBytes, missing);
    if (!pauseRequest(slowed(engine.m_prefillPerBlock * missing, faults(server).m_slowdown))) {
        addCancelled(server);
        dropConnection();
        return false;
    }
    return generateTokens(engine, generation, sink);
}

bool stream(ModelEngineStandin &engine, const Generation &generation, const httplib::Request &request, httplib::DataSink &sink)
{
    ServiceSlots &slots = engine.m_state->m_slots;
    if (!acquireSlot(slots, engine.m_maxRunning, generation.m_priority)) {
        dropConnection();
        return false;
    }
    const bool finished = runGeneration(engine, generation, request, sink);
    releaseSlot(slots);
    if (!finished) {
        return false;
    }
    addCompleted(*engine.m_http.m_server);
    sink.done();
    return true;
}

bool hasModel(ModelEngineStandin &engine, const std::string &model)
{
    const std::lock_guard lock(engine.m_state->m_mutex);
    return engine.m_state->m_models.contains(model);
}

void serveCompletion(ModelEngineStandin &engine, const httplib::Request &request, httplib::Response &response)
{
    StandinServer &server = *engine.m_http.m_server;
    if (!receiveRequest(server, response)) {
        return;
    }
    const std::optional<Generation> generation = parseGeneration(request);
    if (!generation || !hasModel(engine, generation->m_model)) {
        refuse(server, response, generation ? StatusNotFound : StatusBadRequest);
        return;
    }
    const auto [running, waiting] = slotLoad(engine.m_state->m_slots);
    setLoadHeader(response, running, waiting);
    if (waiting >= engine.m_maxWaiting) {
        refuse(server, response, StatusTooManyRequests);
        return;
    }
    response.set_chunked_content_provider("text/event-stream",
                                          [&engine, &request, generation = *generation](size_t, httplib::DataSink &sink) {
                                              return stream(engine, generation, request, sink);
                                          });
}

/** Asks the weight store for a model. @return its status; 0 without an answer. */
int fetchWeights(const Address &store, const std::string &model)
{
    httplib::Client client(store.m_host, store.m_port);
    const httplib::Result result = client.Get("/weights/" + model);
    return result ? result->status : 0;
}

/** Accepts or refuses the token of an order. */
bool acceptToken(ModelEngineStandin &engine, int64_t token)
{
    const std::lock_guard lock(engine.m_state->m_mutex);
    if (engine.m_checksFencing && token < engine.m_state->m_lastFencingToken) {
        return false;
    }
    engine.m_state->m_lastFencingToken = std::max(engine.m_state->m_lastFencingToken, token);
    return true;
}

bool loadModel(ModelEngineStandin &engine, const std::string &model)
{
    if (engine.m_weightStore && fetchWeights(*engine.m_weightStore, model) != StatusOk) {
        return false;
    }
    if (!pauseRequest(engine.m_loadDelay)) {
        return false;
    }
    const std::lock_guard lock(engine.m_state->m_mutex);
    engine.m_state->m_models.insert(model);
    return true;
}

void serveOrder(ModelEngineStandin &engine, const httplib::Request &request, httplib::Response &response)
{
    StandinServer &server = *engine.m_http.m_server;
    if (!receiveRequest(server, response)) {
        return;
    }
    const std::optional<nlohmann::json> body = parseBody(request);
    const nlohmann::json::json_pointer place("/parameters/fencing_token");
    if (!body || !body->contains(place) || !(*body)[place].is_number_integer()) {
        refuse(server, response, StatusBadRequest);
        return;
    }
    if (!acceptToken(engine, (*body)[place].get<int64_t>())) {
        refuse(server, response, StatusConflict);
        return;
    }
    const std::string model = request.matches[1];
    if (request.matches[2] == "unload") {
        const std::lock_guard lock(engine.m_state->m_mutex);
        engine.m_state->m_models.erase(model);
    } else if (!hasModel(engine, model) && !loadModel(engine, model)) {
        refuse(server, response, StatusServiceUnavailable);
        return;
    }
    answer(server, response, nlohmann::json::object());
}

void serveIndex(ModelEngineStandin &engine, httplib::Response &response)
{
    StandinServer &server = *engine.m_http.m_server;
    if (!receiveRequest(server, response)) {
        return;
    }
    nlohmann::json index = nlohmann::json::array();
    for (const std::string &model : loadedModels(engine)) {
        index.push_back({{"name", model}, {"state", "READY"}});
    }
    answer(server, response, index);
}

} // namespace

ModelEngineStandin::ModelEngineStandin() : m_state(std::make_unique<ModelEngineState>())
{
}

ModelEngineStandin::~ModelEngineStandin() = default;

absl::Status start(ModelEngineStandin &engine, int port)
{
    engine.m_state->m_models.insert(engine.m_models.begin(), engine.m_models.end());
    StandinServer &server = *engine.m_http.m_server;
    server.Post("/v1/completions",
                [&engine](const httplib::Request &request, httplib::Response &response) { serveCompletion(engine, request, response); });
    server.Post("/v2/repository/index", [&engine](const httplib::Request &, httplib::Response &response) { serveIndex(engine, response); });
    server.Post(R"(/v2/repository/models/(.+)/(load|unload))",
                [&engine](const httplib::Request &request, httplib::Response &response) { serveOrder(engine, request, response); });
    return startServer(engine.m_http, port);
}

void stop(ModelEngineStandin &engine)
{
    stopServer(engine.m_http);
}

std::string generatedText(std::string prompt, int64_t tokens)
{
    std::string generated;
    for (int64_t i = 0; i < tokens; ++i) {
        const std::string token = nextToken(prompt);
        prompt += token;
        generated += token;
    }
    return generated;
}

size_t waitingRequests(ModelEngineStandin &engine)
{
    return slotLoad(engine.m_state->m_slots).second;
}

std::vector<std::string> loadedModels(ModelEngineStandin &engine)
{
    const std::lock_guard lock(engine.m_state->m_mutex);
    return {engine.m_state->m_models.begin(), engine.m_state->m_models.end()};
}

} // namespace Medlarramp
