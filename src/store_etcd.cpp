#include <algorithm>
#include <atomic>
#include <cassert>
#include <charconv>
#include <thread>

#include <fmt/format.h>
#include <httplib.h>

#include "store.h"

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] Gateway client
//-----------------------------------------------------------------------------

namespace {

using nlohmann::json;

constexpr size_t MaxAnswerBytes = 64 * 1024 * 1024;
constexpr size_t MaxWatchLineBytes = 16 * 1024 * 1024;
constexpr size_t MaxIdleConnections = 16; ///< per endpoint
constexpr seconds MaxIdleAge{2}; ///< an older connection may be closed or silent, and a write on it would be uncertain
constexpr milliseconds StopPoll{50}; ///< a stop that meets a connection between two states is repeated
constexpr int GrpcOutOfRange = 11; ///< the gateway's code for a compacted revision
constexpr int GrpcNotFound = 5;

struct IdleConnection {
    std::unique_ptr<httplib::Client> m_client;
    TimePoint m_since;
};

/** Idle connections to one endpoint. */
struct Endpoint {
    Address m_address;
    std::mutex m_mutex;
    std::vector<IdleConnection> m_idle; ///< guarded by m_mutex
};

struct Gateway {
    EtcdOptions m_options;
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
    std::atomic<size_t> m_preferred = 0; ///< the endpoint that answered last
};

std::unique_ptr<httplib::Client> takeConnection(Endpoint &endpoint, TimePoint now)
{
    {
        const std::lock_guard lock(endpoint.m_mutex);
        std::erase_if(endpoint.m_idle, [now](const IdleConnection &idle) { return now - idle.m_since > MaxIdleAge; });
        if (!endpoint.m_idle.empty()) {
            std::unique_ptr<httplib::Client> client = std::move(endpoint.m_idle.back().m_client);
            endpoint.m_idle.pop_back();
            return client;
        }
    }
    auto client = std::make_unique<httplib::Client>(endpoint.m_address.m_host, endpoint.m_address.m_port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    return client;
}

void returnConnection(Endpoint &endpoint, std::unique_ptr<httplib::Client> client, TimePoint now)
{
    const std::lock_guard lock(endpoint.m_mutex);
    if (endpoint.m_idle.size() < MaxIdleConnections) {
        endpoint.m_idle.push_back({std::move(client), now});
    }
}

//--- JSON of the gateway: int64 as strings, bytes as base64, default values left out

int64_t readInt(const json &object, const char *name)
{
    const auto position = object.find(name);
    if (position == object.end()) {
        return 0;
    }
    if (position->is_number_integer()) {
        return position->get<int64_t>();
    }
    int64_t number = 0;
    if (position->is_string()) {
        const auto &text = position->get_ref<const std::string &>();
        std::from_chars(text.data(), text.data() + text.size(), number);
    }
    return number;
}

std::string readBase64(const json &object, const char *name)
{
    const auto position = object.find(name);
    if (position == object.end() || !position->is_string()) {
        return {};
    }
    return fromBase64(position->get_ref<const std::string &>()).value_or("");
}

bool readFlag(const json &object, const char *name)
{
    const auto position = object.find(name);
    return position != object.end() && position->is_boolean() && position->get<bool>();
}

/** The member, or an empty object. */
const json &child(const json &object, const char *name)
{
    static const json empty = json::object();
    const auto position = object.find(name);
    return position != object.end() && position->is_object() ? *position : empty;
}

const json &list(const json &object, const char *name)
{
    static const json empty = json::array();
    const auto position = object.find(name);
    return position != object.end() && position->is_array() ? *position : empty;
}

KeyValue readEntry(const json &value)
{
    KeyValue entry;
    entry.m_key = readBase64(value, "key");
    entry.m_value = readBase64(value, "value");
    entry.m_createRevision = readInt(value, "create_revision");
    entry.m_modRevision = readInt(value, "mod_revision");
    entry.m_version = readInt(value, "version");
    entry.m_lease = readInt(value, "lease");
    return entry;
}

std::vector<KeyValue> readEntries(const json &answer)
{
    std::vector<KeyValue> entries;
    for (const json &value : list(answer, "kvs")) {
        entries.push_back(readEntry(value));
    }
    return entries;
}

json writeRange(const std::string &key, const std::string &end)
{
    json range = {{"key", toBase64(key)}};
    if (!end.empty()) {
        range["range_end"] = toBase64(end);
    }
    return range;
}

json writeRequest(const RangeRequest &request)
{
    json body = writeRange(request.m_key, request.m_end);
    if (request.m_minModRevision > 0) {
        body["min_mod_revision"] = std::to_string(request.m_minModRevision);
    }
    if (request.m_limit > 0) {
        body["limit"] = std::to_string(request.m_limit);
    }
    if (request.m_revision > 0) {
        body["revision"] = std::to_string(request.m_revision);
    }
    return body;
}

json writeCompare(const Compare &compare)
{
    constexpr std::array<const char *, 4> Targets = {"MOD", "CREATE", "VERSION", "VALUE"};
    constexpr std::array<const char *, 4> Members = {"mod_revision", "create_revision", "version", "value"};
    constexpr std::array<const char *, 4> Results = {"EQUAL", "NOT_EQUAL", "LESS", "GREATER"};
    const auto target = static_cast<size_t>(compare.m_target);
    const bool byValue = compare.m_target == CompareTarget::Value;
    return {{"key", toBase64(compare.m_key)},
            {"target", Targets.at(target)},
            {"result", Results.at(static_cast<size_t>(compare.m_result))},
            {Members.at(target), byValue ? toBase64(compare.m_value) : std::to_string(compare.m_number)}};
}

json writeOperation(const Operation &operation)
{
    if (operation.m_kind == OperationKind::Delete) {
        return {{"requestDeleteRange", writeRange(operation.m_key, operation.m_end)}};
    }
    json put = {{"key", toBase64(operation.m_key)}, {"value", toBase64(operation.m_value)}};
    if (operation.m_lease != 0) {
        put["lease"] = std::to_string(operation.m_lease);
    }
    return {{"requestPut", std::move(put)}};
}

json writeTransaction(const Transaction &transaction)
{
    json body = {{"compare", json::array()}, {"success", json::array()}, {"failure", json::array()}};
    for (const Compare &compare : transaction.m_compares) {
        body["compare"].push_back(writeCompare(compare));
    }
    for (const Operation &operation : transaction.m_operations) {
        body["success"].push_back(writeOperation(operation));
    }
    for (const std::string &key : transaction.m_readOnFailure) {
        body["failure"].push_back({{"requestRange", writeRange(key, {})}});
    }
    return body;
}

TransactionAnswer readTransaction(const json &body)
{
    TransactionAnswer answer;
    answer.m_succeeded = readFlag(body, "succeeded");
    answer.m_revision = readInt(child(body, "header"), "revision");
    for (const json &response : list(body, "responses")) {
        for (KeyValue &entry : readEntries(child(response, "response_range"))) {
            answer.m_entries.push_back(std::move(entry));
        }
    }
    return answer;
}

//--- HTTP

absl::Status statusOfRefusal(int httpStatus, const std::string &body)
{
    constexpr size_t MaxQuote = 200; // bytes of the store's own message
    const json value = json::parse(body, nullptr, false);
    const auto code = value.is_object() ? static_cast<int>(readInt(value, "code")) : 0;
    const std::string message = fmt::format("the store answered {}: {}", httpStatus, body.substr(0, MaxQuote));
    if (code == GrpcOutOfRange) {
        return absl::OutOfRangeError(message);
    }
    if (code == GrpcNotFound || httpStatus == 404) {
        return absl::NotFoundError(message);
    }
    if (httpStatus == 429) {
        return absl::ResourceExhaustedError(message);
    }
    if (httpStatus >= 400 && httpStatus < 500 && httpStatus != 408) {
        return absl::InvalidArgumentError(message);
    }
    // A 5xx can follow a proposal that is committed later, such as "etcdserver: request timed out".
    return absl::UnknownError(message);
}

absl::Status statusOfFailure(httplib::Error error)
{
    const std::string message = fmt::format("the store did not answer: {}", httplib::to_string(error));
    if (error == httplib::Error::Connection || error == httplib::Error::BindIPAddress) {
        return absl::UnavailableError(message);
    }
    return absl::DeadlineExceededError(message);
}

/** One POST on one endpoint. */
absl::StatusOr<std::string>
postOnce(Endpoint &endpoint, const EtcdOptions &options, const std::string &path, const std::string &body, TimePoint deadline)
{
    const Clock &clock = *options.m_guard.m_clock;
    const Duration left = deadline - now(clock);
    if (left <= Duration::zero()) {
        return absl::UnavailableError("no time is left for the call");
    }
    std::unique_ptr<httplib::Client> client = takeConnection(endpoint, now(clock));
    client->set_connection_timeout(std::min(options.m_connectTimeout, left));
    client->set_read_timeout(left);
    client->set_write_timeout(left);
    std::string answer;
    httplib::Request request;
    request.method = "POST";
    request.path = path;
    request.body = body;
    request.headers.emplace("Content-Type", "application/json");
    request.content_receiver = [&](const char *data, size_t length, uint64_t, uint64_t) {
        answer.append(data, length);
        return answer.size() <= MaxAnswerBytes && now(clock) < deadline;
    };
    const httplib::Result result = client->send(request);
    if (!result) {
        return statusOfFailure(result.error());
    }
    returnConnection(endpoint, std::move(client), now(clock));
    if (result->status != 200) {
        return statusOfRefusal(result->status, answer);
    }
    return answer;
}

/** Tries each endpoint until one was connected to. A call that may have left is not sent to another one. */
absl::StatusOr<json> post(Gateway &gateway, const std::string &path, const json &body, Duration timeout)
{
    const TimePoint deadline = now(*gateway.m_options.m_guard.m_clock) + timeout;
    const std::string text = body.dump();
    const size_t first = gateway.m_preferred;
    absl::StatusOr<std::string> answer = absl::UnavailableError("no endpoint");
    for (size_t i = 0; i < gateway.m_endpoints.size(); ++i) {
        const size_t index = (first + i) % gateway.m_endpoints.size();
        answer = postOnce(*gateway.m_endpoints[index], gateway.m_options, path, text, deadline);
        const bool noConnection = absl::IsUnavailable(answer.status());
        if (!noConnection) {
            // The next call avoids an endpoint that did not answer in time.
            gateway.m_preferred = answer.ok() ? index : (index + 1) % gateway.m_endpoints.size();
            break;
        }
    }
    if (!answer.ok()) {
        return answer.status();
    }
    json value = json::parse(*answer, nullptr, false);
    if (!value.is_object()) {
        return absl::UnknownError("the store's answer is malformed");
    }
    return value;
}

absl::StatusOr<RangeAnswer> range(Gateway &gateway, const RangeRequest &request)
{
    const absl::StatusOr<json> body = post(gateway, "/v3/kv/range", writeRequest(request), request.m_timeout);
    if (!body.ok()) {
        return body.status();
    }
    RangeAnswer answer;
    answer.m_revision = readInt(child(*body, "header"), "revision");
    answer.m_entries = readEntries(*body);
    answer.m_more = readFlag(*body, "more");
    if (answer.m_revision <= 0) {
        return absl::UnknownError("the store's answer carries no revision");
    }
    return answer;
}

absl::StatusOr<TransactionAnswer> transactOn(Gateway &gateway, const Transaction &transaction)
{
    const absl::StatusOr<json> body = post(gateway, "/v3/kv/txn", writeTransaction(transaction), transaction.m_timeout);
    if (!body.ok()) {
        return body.status();
    }
    const TransactionAnswer answer = readTransaction(*body);
    if (answer.m_revision <= 0) {
        return absl::UnknownError("the store's answer carries no revision");
    }
    return answer;
}

absl::StatusOr<Lease> grantLease(Gateway &gateway, Duration timeToLive)
{
    const auto whole = std::chrono::ceil<seconds>(timeToLive);
    const json request = {{"TTL", std::to_string(whole.count())}};
    const absl::StatusOr<json> body = post(gateway, "/v3/lease/grant", request, DefaultStoreTimeout);
    if (!body.ok()) {
        return body.status();
    }
    const Lease lease{readInt(*body, "ID"), seconds(readInt(*body, "TTL"))};
    if (lease.m_identifier == 0) {
        return absl::UnknownError("the store's answer carries no lease");
    }
    return lease;
}

absl::StatusOr<Lease> keepAlive(Gateway &gateway, int64_t lease)
{
    const json request = {{"ID", std::to_string(lease)}};
    const absl::StatusOr<json> body = post(gateway, "/v3/lease/keepalive", request, DefaultStoreTimeout);
    if (!body.ok()) {
        return body.status();
    }
    const json &result = child(*body, "result");
    const Lease renewed{readInt(result, "ID"), seconds(readInt(result, "TTL"))};
    if (renewed.m_timeToLive <= Duration::zero()) {
        return absl::NotFoundError("the lease has expired");
    }
    return renewed;
}

absl::Status revokeLease(Gateway &gateway, int64_t lease)
{
    const json request = {{"ID", std::to_string(lease)}};
    return post(gateway, "/v3/lease/revoke", request, DefaultStoreTimeout).status();
}

//--- Watch

/** Reads the answers of one watch stream, one JSON object a line. */
struct WatchStream {
    const WatchSink &m_sink;
    int64_t m_startRevision = 0;
    std::string m_line;
    bool m_ended = false; ///< the sink has had enough
    absl::Status m_status; ///< what the store said
};

WatchBatch readWatchBatch(const json &result)
{
    WatchBatch batch;
    for (const json &value : list(result, "events")) {
        WatchEvent event;
        const auto type = value.find("type");
        const bool deleted = type != value.end() && *type == "DELETE";
        event.m_kind = deleted ? OperationKind::Delete : OperationKind::Put;
        event.m_entry = readEntry(child(value, "kv"));
        batch.m_events.push_back(std::move(event));
    }
    // The header may already show later revisions whose events follow in the next answer.
    batch.m_revision = batch.m_events.empty() ? readInt(child(result, "header"), "revision") : batch.m_events.back().m_entry.m_modRevision;
    return batch;
}

/** @return false to end the stream. */
bool takeWatchLine(WatchStream &stream)
{
    const json value = json::parse(stream.m_line, nullptr, false);
    const json &result = value.is_object() ? child(value, "result") : value;
    if (!result.is_object() || result.empty()) {
        stream.m_status = absl::UnknownError("the store's watch answer is malformed");
        return false;
    }
    if (readInt(result, "compact_revision") > 0) {
        stream.m_status = absl::OutOfRangeError("the watch starts at a compacted revision");
        return false;
    }
    if (readFlag(result, "canceled")) {
        stream.m_status = absl::UnavailableError("the store cancelled the watch");
        return false;
    }
    WatchBatch batch = readWatchBatch(result);
    if (readFlag(result, "created") && stream.m_startRevision > 0) {
        // The header shows the present revision, and events up to it are still to come.
        batch.m_revision = stream.m_startRevision - 1;
    }
    stream.m_ended = !stream.m_sink(batch);
    return !stream.m_ended;
}

bool takeWatchData(WatchStream &stream, const char *data, size_t length)
{
    for (size_t i = 0; i < length; ++i) {
        if (data[i] != '\n') {
            stream.m_line += data[i];
            continue;
        }
        if (!stream.m_line.empty() && !takeWatchLine(stream)) {
            return false;
        }
        stream.m_line.clear();
    }
    if (stream.m_line.size() > MaxWatchLineBytes) {
        stream.m_status = absl::UnknownError("the store's watch answer is too long");
        return false;
    }
    return true;
}

/** Ends the client's blocking call when the signal is set, until the call has ended. */
struct WatchStopper {
    StopSignal &m_stop;
    httplib::Client &m_client;
    std::atomic<bool> m_done = false;
    std::thread m_thread;

    WatchStopper(StopSignal &stop, httplib::Client &client) : m_stop(stop), m_client(client), m_thread([this] { run(); })
    {
    }
    ~WatchStopper()
    {
        m_done = true;
        m_stop.m_condition.notify_all();
        m_thread.join();
    }
    WatchStopper(const WatchStopper &) = delete;
    WatchStopper &operator=(const WatchStopper &) = delete;

    void run()
    {
        std::unique_lock lock(m_stop.m_mutex);
        while (!m_done) {
            m_stop.m_condition.wait_for(lock, StopPoll);
            if (m_stop.m_stopped && !m_done) {
                lock.unlock();
                m_client.stop();
                lock.lock();
            }
        }
    }
};

absl::Status watchOnce(Endpoint &endpoint, const EtcdOptions &options, const WatchRequest &request, const WatchSink &sink, StopSignal &stop)
{
    httplib::Client client(endpoint.m_address.m_host, endpoint.m_address.m_port);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(options.m_connectTimeout);
    client.set_read_timeout(options.m_watchIdleLimit);
    json create = writeRange(request.m_prefix, prefixEnd(request.m_prefix));
    create["progress_notify"] = true;
    if (request.m_startRevision > 0) {
        create["start_revision"] = std::to_string(request.m_startRevision);
    }
    WatchStream stream{sink, request.m_startRevision, {}, false, absl::OkStatus()};
    int httpStatus = 200;
    httplib::Request post;
    post.method = "POST";
    post.path = "/v3/watch";
    post.body = json{{"create_request", std::move(create)}}.dump();
    post.headers.emplace("Content-Type", "application/json");
    post.response_handler = [&](const httplib::Response &response) {
        httpStatus = response.status;
        return httpStatus == 200;
    };
    post.content_receiver = [&](const char *data, size_t length, uint64_t, uint64_t) {
        return !isStopped(stop) && takeWatchData(stream, data, length);
    };
    const WatchStopper stopper(stop, client);
    const httplib::Result result = client.send(post);
    if (stream.m_ended || isStopped(stop)) {
        return absl::OkStatus();
    }
    if (!stream.m_status.ok()) {
        return stream.m_status;
    }
    if (httpStatus != 200) {
        return statusOfRefusal(httpStatus, {});
    }
    return result ? absl::UnavailableError("the store ended the watch") : statusOfFailure(result.error());
}

absl::Status watch(Gateway &gateway, const WatchRequest &request, const WatchSink &sink, StopSignal &stop)
{
    const size_t index = gateway.m_preferred;
    absl::Status status = watchOnce(*gateway.m_endpoints[index], gateway.m_options, request, sink, stop);
    if (!status.ok()) {
        gateway.m_preferred = (index + 1) % gateway.m_endpoints.size();
    }
    return status;
}

} // namespace

Store makeEtcdStore(const EtcdOptions &options)
{
    assert(!options.m_endpoints.empty());
    auto gateway = std::make_shared<Gateway>();
    gateway->m_options = options;
    for (const Address &address : options.m_endpoints) {
        gateway->m_endpoints.push_back(std::make_unique<Endpoint>());
        gateway->m_endpoints.back()->m_address = address;
    }
    Store store;
    store.m_range = [gateway](const RangeRequest &request) { return range(*gateway, request); };
    store.m_transact = [gateway](const Transaction &transaction) { return transactOn(*gateway, transaction); };
    store.m_grantLease = [gateway](StorePurpose, Duration timeToLive) { return grantLease(*gateway, timeToLive); };
    store.m_keepAlive = [gateway](StorePurpose, int64_t lease) { return keepAlive(*gateway, lease); };
    store.m_revokeLease = [gateway](StorePurpose, int64_t lease) { return revokeLease(*gateway, lease); };
    store.m_watch = [gateway](const WatchRequest &request, const WatchSink &sink, StopSignal &stop) {
        return watch(*gateway, request, sink, stop);
    };
    return guardStore(std::move(store), options.m_guard);
}

} // namespace Medlarramp
