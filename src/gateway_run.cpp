#include <csignal>
#include <fstream>
#include <sstream>

#include <fmt/format.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "gateway_internal.h"

namespace Medlarramp::Serving {

namespace {

constexpr Duration TickInterval = milliseconds(250);
constexpr Duration ListenAfterSigterm = milliseconds(3500); ///< the load balancer polls readiness every second and needs two failures
/** Time before SIGKILL at which requests that are not at a replica are refused, so that callers can retry elsewhere. */
constexpr Duration RefuseMargin = milliseconds(1300);
constexpr Duration AnswerMargin = milliseconds(700); ///< time before SIGKILL at which all other requests are answered
constexpr Duration ExitMargin = milliseconds(300); ///< time before SIGKILL at which the process exits; leaves time to send the answers
constexpr size_t MaxOperatorRequestBytes = 16 * 1024;

bool isReady(const Gateway &gateway)
{
    return gateway.m_configuration && gateway.m_store.m_listed && !gateway.m_draining;
}

//-----------------------------------------------------------------------------
// Readiness and metrics
//-----------------------------------------------------------------------------

void addCounts(prometheus::Registry &registry,
               const std::string &name,
               const std::string &help,
               const std::array<uint64_t, static_cast<size_t>(Reason::Count)> &counts)
{
    auto &family = prometheus::BuildCounter().Name(name).Help(help).Register(registry);
    for (size_t i = 0; i < counts.size(); ++i) {
        if (counts[i] > 0) {
            family.Add({{"reason", std::string(toString(static_cast<Reason>(i)))}}).Increment(static_cast<double>(counts[i]));
        }
    }
}

void addGauge(prometheus::Registry &registry, const std::string &name, const std::string &help, double value)
{
    prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({}).Set(value);
}

std::string formatMetrics(const Gateway &gateway)
{
    prometheus::Registry registry;
    addCounts(registry, "medlarramp_refusals_total", "Answers of the gateway's own, by reason", gateway.m_refusals);
    addCounts(registry, "medlarramp_retries_total", "Attempts and tasks sent again, by reason", gateway.m_retries);
    addGauge(registry, "medlarramp_answered", "Answers of replicas passed on", static_cast<double>(gateway.m_answered));
    addGauge(registry, "medlarramp_open_requests", "Requests without an answer", static_cast<double>(gateway.m_exchanges.size()));
    addGauge(registry, "medlarramp_gateways", "Gateways in the membership", static_cast<double>(gateway.m_membership.m_members.size()));
    addGauge(registry, "medlarramp_replicas", "Replicas in the registry", static_cast<double>(gateway.m_registry.m_replicas.size()));
    const double version = gateway.m_configuration ? static_cast<double>(gateway.m_configuration->m_version) : 0;
    addGauge(registry, "medlarramp_configuration_version", "Version in force", version);
    auto &waiting = prometheus::BuildGauge().Name("medlarramp_queued_tasks").Help("Stage tasks in owned queues").Register(registry);
    for (const auto &[service, owned] : gateway.m_queues) {
        waiting.Add({{"service", service}}).Set(static_cast<double>(owned->m_queue.m_tasks.size()));
    }
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

std::string answerOperator(const Gateway &gateway, const HttpReader &reader)
{
    if (reader.m_target == Platform::ReadinessPath || reader.m_target == "/readyz") {
        return formatAnswer(isReady(gateway) ? HTTP_STATUS_OK : HTTP_STATUS_SERVICE_UNAVAILABLE, {}, "", reader.m_keepAlive);
    }
    if (reader.m_target == "/metrics") {
        return formatAnswer(HTTP_STATUS_OK, {{"Content-Type", "text/plain; version=0.0.4"}}, formatMetrics(gateway), reader.m_keepAlive);
    }
    return formatAnswer(HTTP_STATUS_NOT_FOUND, {}, "", reader.m_keepAlive);
}

void acceptOperator(Gateway &gateway, NetConnection *net)
{
    CallerLimits limits;
    limits.m_headBytes = MaxOperatorRequestBytes;
    limits.m_bodyBytes = MaxOperatorRequestBytes;
    CallerConnection &connection = gateway.m_operators.emplace_back(limits);
    connection.m_self = std::prev(gateway.m_operators.end());
    connection.m_net = net;
    net->m_onData = [&gateway, &connection](std::string_view data) {
        while (!data.empty()) {
            data.remove_prefix(connection.m_reader.feed(data));
            if (connection.m_reader.m_state == ParseState::Done) {
                connection.m_net->write(answerOperator(gateway, connection.m_reader));
                connection.m_reader.reset();
            } else if (connection.m_reader.m_state != ParseState::Head && connection.m_reader.m_state != ParseState::Body) {
                connection.m_net->closeAfterWrites();
                gateway.m_operators.erase(connection.m_self);
                return;
            }
        }
    };
    net->m_onClose = [&gateway, &connection](CloseCause, const absl::Status &) { gateway.m_operators.erase(connection.m_self); };
}

//-----------------------------------------------------------------------------
// Start and shutdown
//-----------------------------------------------------------------------------

absl::Status listenOn(Gateway &gateway, NetListener &listener, const std::string &address, void (*accept)(Gateway &, NetConnection *))
{
    const std::optional<SocketAddress> parsed = parseSocketAddress(address);
    if (!parsed) {
        return absl::InvalidArgumentError("invalid address: " + address);
    }
    return listener.listen(gateway.m_loop, *parsed, ConnectionOptions(), [&gateway, accept](NetConnection *net) { accept(gateway, net); });
}

absl::Status listenAll(Gateway &gateway)
{
    absl::Status status = listenOn(gateway, gateway.m_readyListener, gateway.m_settings.m_readyAddress, acceptOperator);
    if (status.ok()) {
        status = listenOn(gateway, gateway.m_peerListener, gateway.m_settings.m_peerAddress, acceptPeer);
    }
    if (status.ok()) {
        status = listenOn(gateway, gateway.m_frontListener, gateway.m_settings.m_frontAddress, acceptCaller);
    }
    return status;
}

bool isIdle(const Gateway &gateway)
{
    return gateway.m_exchanges.empty() && !hasQueuedWork(gateway);
}

/** Answers requests that can't finish before the process exits. Includes requests at a replica only with @p everything. */
void endOpenRequests(Gateway &gateway, bool everything)
{
    std::vector<uint64_t> open;
    for (const auto &[number, exchange] : gateway.m_exchanges) {
        if (everything || exchange->m_call == 0) {
            open.push_back(number);
        }
    }
    for (const uint64_t number : open) {
        Exchange *exchange = findExchange(gateway, number);
        if (exchange == nullptr) {
            continue;
        }
        if (exchange->m_call == 0 && exchange->m_attempts.m_ran == 0) {
            refuseExchange(gateway, *exchange, Reason::Draining);
        } else {
            failExchange(gateway, *exchange, HTTP_STATUS_BAD_GATEWAY, Reason::ShutdownLimit);
        }
    }
}

void continueDrain(Gateway &gateway)
{
    const Duration elapsed = gatewayNow(gateway) - gateway.m_drainStartedAt;
    const Duration left = gateway.m_settings.m_drainTime - elapsed;
    if (left <= RefuseMargin) {
        endOpenRequests(gateway, left <= AnswerMargin);
    }
    if (elapsed >= ListenAfterSigterm && (isIdle(gateway) || left <= ExitMargin)) {
        writeLog(LogLevel::Info, "main", "Shutdown ended.", {{"requests_left", fmt::format("{}", gateway.m_exchanges.size())}});
        stopLoop(gateway.m_loop);
    }
}

void beginDrain(Gateway &gateway, int signal)
{
    if (gateway.m_draining) {
        return;
    }
    writeLog(LogLevel::Info, "main", "Shutdown began.", {{"signal", fmt::format("{}", signal)}});
    gateway.m_draining = true;
    gateway.m_drainStartedAt = gatewayNow(gateway);
    leaveMembership(gateway);
}

void tick(Gateway &gateway)
{
    checkPeers(gateway);
    closeIdleUpstreams(gateway);
    if (gateway.m_draining) {
        continueDrain(gateway);
    }
    gateway.m_tick.start(gateway.m_loop, TickInterval, [&gateway] { tick(gateway); });
}

/** Applies the log level of the settings file; other settings need a restart. An invalid file changes nothing. */
void reloadSettings(Gateway &gateway)
{
    std::ifstream file(gateway.m_settingsPath);
    std::ostringstream content;
    content << file.rdbuf();
    Findings findings;
    const std::optional<nlohmann::json> value = parseJson(content.str(), gateway.m_settingsPath, findings);
    const GatewaySettings settings = value ? parseGatewaySettings(*value, gateway.m_settingsPath, findings) : GatewaySettings();
    if (!findings.empty()) {
        writeLog(LogLevel::Error, "main", "Settings file is invalid; settings unchanged.", {{"findings", toString(findings)}});
        return;
    }
    setLogLevel(settings.m_logLevel);
    writeLog(LogLevel::Info, "main", "Log level reloaded from the settings file.");
}

void watchSignal(Gateway &gateway, uv_signal_t &handle, int number, uv_signal_cb callback)
{
    uv_signal_init(&gateway.m_loop.m_loop, &handle);
    handle.data = &gateway;
    uv_signal_start(&handle, callback, number);
}

void watchSignals(Gateway &gateway)
{
    std::signal(SIGPIPE, SIG_IGN);
    const uv_signal_cb drain = [](uv_signal_t *handle, int number) { beginDrain(*static_cast<Gateway *>(handle->data), number); };
    watchSignal(gateway, gateway.m_terminate, SIGTERM, drain);
    watchSignal(gateway, gateway.m_interrupt, SIGINT, drain);
    watchSignal(gateway, gateway.m_reload, SIGHUP, [](uv_signal_t *handle, int) { reloadSettings(*static_cast<Gateway *>(handle->data)); });
}

} // namespace

absl::Status runGateway(const GatewaySettings &settings, const std::string &settingsPath, Clock &clock)
{
    // Never freed: the process exits when the loop ends.
    auto &gateway = *new Gateway;
    gateway.m_settings = settings;
    gateway.m_settingsPath = settingsPath;
    gateway.m_clock = &clock;
    gateway.m_random.m_state = entropySeed();
    initLoop(gateway.m_loop, clock);
    const std::optional<SocketAddress> store = parseSocketAddress(settings.m_storeAddress);
    if (!store) {
        return absl::InvalidArgumentError("invalid store address: " + settings.m_storeAddress);
    }
    gateway.m_store.m_address = *store;
    gateway.m_membership.m_self = {
        settings.m_node, settings.m_peerAddress, settings.m_failureDomain, settings.m_processorShare, nextRandom(gateway.m_random)};
    replaceMembers(gateway.m_membership, {}, gatewayNow(gateway));
    if (absl::Status status = listenAll(gateway); !status.ok()) {
        return status;
    }
    watchSignals(gateway);
    startStore(gateway);
    tick(gateway);
    writeLog(LogLevel::Info, "main", "Gateway started.", {{"node", settings.m_node}});
    runLoop(gateway.m_loop);
    return absl::OkStatus();
}

} // namespace Medlarramp::Serving
