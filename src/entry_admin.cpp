#include "entry_admin.h"

#include <algorithm>
#include <cassert>
#include <charconv>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <httplib.h>

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

namespace {

using nlohmann::json;

constexpr int StatusOk = 200;
constexpr int StatusCreated = 201;
constexpr int StatusBadRequest = 400;
constexpr int StatusUnauthorized = 401;
constexpr int StatusForbidden = 403;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusTooLarge = 413;
constexpr int StatusTooMany = 429;
constexpr int StatusUnavailable = 503;
constexpr int StatusTimeout = 504;
constexpr size_t MaxLoggedFields = 10;
constexpr size_t MaxExaminedEntries = 5'000; ///< entries that one list request looks at under the lock

json toJsonAny(ObjectKind kind, const json &object)
{
    Findings findings;
    switch (kind) {
    case ObjectKind::Template:
        if (const auto value = parseTemplate(object, "", findings)) {
            return toJson(*value);
        }
        break;
    case ObjectKind::Organisation:
        if (const auto value = parseOrganisation(object, "", findings)) {
            return toJson(*value);
        }
        break;
    case ObjectKind::Upstream:
        if (const auto value = parseUpstream(object, "", findings)) {
            return toJson(*value);
        }
        break;
    }
    return object;
}

} // namespace

std::vector<std::string> differingFields(ObjectKind kind, const json &left, const json &right)
{
    std::vector<std::string> fields;
    for (const json &step : json::diff(toJsonAny(kind, left), toJsonAny(kind, right))) {
        fields.push_back(step.at("path").get<std::string>());
    }
    std::sort(fields.begin(), fields.end());
    fields.erase(std::unique(fields.begin(), fields.end()), fields.end());
    return fields;
}

std::vector<std::string> nodesBelow(const std::vector<NodeCursor> &cursors, int64_t revision)
{
    std::vector<std::string> nodes;
    for (const NodeCursor &cursor : cursors) {
        if (cursor.m_cursor < revision) {
            nodes.push_back(cursor.m_node);
        }
    }
    std::sort(nodes.begin(), nodes.end());
    return nodes;
}

namespace {

std::string quoted(int64_t revision)
{
    return fmt::format("\"{}\"", revision);
}

AdminAnswer refusal(const AdminContext &context, int status, Reason reason, const Findings &findings = {})
{
    if (context.m_countRefusal) {
        context.m_countRefusal(reason);
    }
    AdminAnswer answer;
    answer.m_status = status;
    answer.m_body = {{"outcome", toString(Outcome::NotRun)}, {"reason", toString(reason)}};
    if (!findings.empty()) {
        answer.m_body["findings"] = toJson(findings);
    }
    return answer;
}

/** The credential that the header proves. All are compared, so that the time does not tell which one is close. */
const AdminCredential *authenticate(const AdminContext &context, const std::string &authorization)
{
    constexpr std::string_view Scheme = "Bearer ";
    if (!authorization.starts_with(Scheme)) {
        return nullptr;
    }
    const std::string_view secret = std::string_view(authorization).substr(Scheme.size());
    const AdminCredential *found = nullptr;
    for (const AdminCredential &credential : context.m_credentials) {
        if (!credential.m_secret.empty() && equalSecrets(credential.m_secret, secret)) {
            found = &credential;
        }
    }
    return found;
}

/** An organisation's editor sees templates, upstreams and its own organisation, and changes the latter. */
bool isAllowed(const AdminCredential &credential, const AdminRequest &request)
{
    const bool own = request.m_kind == ObjectKind::Organisation && !request.m_name.empty() && request.m_name == credential.m_organisation;
    switch (credential.m_role) {
    case AdminRole::EditAll:
        return true;
    case AdminRole::Read:
        return request.m_method == AdminMethod::Get;
    case AdminRole::EditOrganisation:
        if (request.m_method == AdminMethod::Get) {
            return own || request.m_kind != ObjectKind::Organisation;
        }
        return own && request.m_method == AdminMethod::Put;
    }
    return false;
}

/** A whole number from the query; nothing when malformed or out of range. */
std::optional<int64_t> queryNumber(const AdminRequest &request, const std::string &name, int64_t standard, int64_t maximum)
{
    const auto text = request.m_query.find(name);
    if (text == request.m_query.end()) {
        return standard;
    }
    int64_t number = 0;
    const char *end = text->second.data() + text->second.size();
    const auto [stop, error] = std::from_chars(text->second.data(), end, number);
    if (error != std::errc() || stop != end || number < 0 || number > maximum) {
        return std::nullopt;
    }
    return number;
}

/** The revision of If-Match; 0 when absent; nothing when malformed. */
std::optional<int64_t> matchedRevision(const std::string &header)
{
    std::string_view text = header;
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
        text = text.substr(1, text.size() - 2);
    }
    if (header.empty()) {
        return 0;
    }
    int64_t revision = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), revision);
    const bool whole = error == std::errc() && stop == text.data() + text.size();
    return whole && revision > 0 ? std::optional<int64_t>(revision) : std::nullopt;
}

AdminAnswer badQuery(const AdminContext &context, const std::string &place)
{
    return refusal(context, StatusBadRequest, Reason::MalformedRequest, {{"", place, "is not a whole number in its range"}});
}

json objectJson(const ConfigName &name, int64_t revision, const ConfigRecord &record)
{
    json value = {
        {"kind", toString(name.m_kind)}, {"name", name.m_name}, {"revision", revision}, {"by", record.m_by}, {"at_ms", record.m_at}};
    if (record.m_deleted) {
        value["deleted"] = true;
    } else {
        value["object"] = record.m_object;
    }
    return value;
}

/** An object that cannot be decoded is shown with its revision, so that it can be replaced. */
json entryJson(const ConfigName &name, const ConfigEntry &entry)
{
    const std::optional<ConfigRecord> record = decodeRecord(entry.m_value);
    return objectJson(name, entry.m_revision, record.value_or(ConfigRecord()));
}

/** Counts a request that waits, within the limit. */
struct Waiter {
    std::atomic<int> &m_count;
    bool m_admitted = false;

    explicit Waiter(std::atomic<int> &count) : m_count(count), m_admitted(count.fetch_add(1) < MaxAdminWaiters)
    {
    }
    ~Waiter()
    {
        m_count.fetch_sub(1);
    }
    Waiter(const Waiter &) = delete;
    Waiter &operator=(const Waiter &) = delete;
};

/** Looks at @p reached again and again until it holds, the limit is over, or the process stops. */
bool waitFor(const AdminContext &context, Duration limit, const std::function<bool()> &reached)
{
    const TimePoint deadline = now(*context.m_clock) + limit;
    while (!reached()) {
        if (now(*context.m_clock) >= deadline) {
            return false;
        }
        if (context.m_wait) {
            context.m_wait(AdminPoll);
            continue;
        }
        StopSignal unused;
        if (!sleepFor(*context.m_clock, context.m_stop ? *context.m_stop : unused, AdminPoll)) {
            return false;
        }
    }
    return true;
}

//--- Reads

AdminAnswer serveObject(const AdminContext &context, const AdminRequest &request)
{
    AdminAnswer answer;
    bool found = false;
    const ConfigName name{request.m_kind, request.m_name};
    context.m_state([&](const ConfigState &state) {
        const auto entry = state.m_entries.find(configKey(name.m_kind, name.m_name));
        found = entry != state.m_entries.end() && !entry->second.m_deleted;
        if (found) {
            answer.m_body = entryJson(name, entry->second);
            answer.m_etag = quoted(entry->second.m_revision);
        }
    });
    return found ? answer : refusal(context, StatusNotFound, Reason::NotFound);
}

AdminAnswer serveList(const AdminContext &context, const AdminRequest &request)
{
    const std::optional<int64_t> limit = queryNumber(request, "limit", MaxListedObjects, MaxListedObjects);
    if (!limit || *limit == 0) {
        return badQuery(context, "/limit");
    }
    const auto from = request.m_query.find("from");
    const std::string prefix = configKey(request.m_kind, "");
    AdminAnswer answer;
    answer.m_body = {{"objects", json::array()}};
    context.m_state([&](const ConfigState &state) {
        size_t examined = 0;
        auto entry = state.m_entries.lower_bound(prefix + (from == request.m_query.end() ? "" : from->second));
        for (; entry != state.m_entries.end() && entry->first.starts_with(prefix); ++entry) {
            const std::string name = entry->first.substr(prefix.size());
            const bool full = answer.m_body["objects"].size() == static_cast<size_t>(*limit);
            if (full || ++examined > MaxExaminedEntries) {
                answer.m_body["next"] = name;
                break;
            }
            if (!entry->second.m_deleted) {
                answer.m_body["objects"].push_back(entryJson({request.m_kind, name}, entry->second));
            }
        }
        answer.m_body["cursor"] = state.m_cursor;
    });
    return answer;
}

/** Changes of one kind above @p after. @return false when there are none. */
bool collectChanges(const AdminContext &context, ObjectKind kind, int64_t after, json &body)
{
    body = {{"objects", json::array()}, {"cursor", after}};
    context.m_state([&](const ConfigState &state) {
        size_t examined = 0;
        auto position = state.m_log.lower_bound({after + 1, std::string_view()});
        for (; position != state.m_log.end() && position->first <= state.m_cursor; ++position) {
            const bool newRevision = position->first > body["cursor"].get<int64_t>();
            if (newRevision && (body["objects"].size() >= MaxListedObjects || ++examined > MaxExaminedEntries)) {
                return;
            }
            body["cursor"] = position->first;
            const std::optional<ConfigName> name = parseConfigKey(position->second);
            if (name && name->m_kind == kind) {
                body["objects"].push_back(entryJson(*name, state.m_entries.find(position->second)->second));
            }
        }
        body["cursor"] = std::max(after, state.m_cursor);
    });
    return !body["objects"].empty();
}

AdminAnswer serveWatch(const AdminContext &context, const AdminRequest &request, Duration wait)
{
    const std::optional<int64_t> after = queryNumber(request, "after", 0, INT64_MAX - 1);
    if (!after) {
        return badQuery(context, "/after");
    }
    const Waiter waiter(*context.m_waiters);
    if (wait > Duration::zero() && !waiter.m_admitted) {
        return refusal(context, StatusUnavailable, Reason::TooManyConnections);
    }
    AdminAnswer answer;
    int64_t cursor = *after;
    waitFor(context, wait, [&] {
        const bool found = collectChanges(context, request.m_kind, cursor, answer.m_body);
        cursor = answer.m_body["cursor"].get<int64_t>();
        return found;
    });
    return answer;
}

AdminAnswer serveRead(const AdminContext &context, const AdminRequest &request, Duration wait)
{
    if (!request.m_name.empty()) {
        return serveObject(context, request);
    }
    return request.m_query.contains("after") ? serveWatch(context, request, wait) : serveList(context, request);
}

//--- Edits

/** The object in force before an edit, to show and log what changed. Null when there is none. */
json currentObject(const AdminContext &context, const ConfigName &name)
{
    json object;
    context.m_state([&](const ConfigState &state) {
        const auto entry = state.m_entries.find(configKey(name.m_kind, name.m_name));
        if (entry != state.m_entries.end() && !entry->second.m_deleted) {
            const auto record = decodeRecord(entry->second.m_value);
            object = record ? record->m_object : json();
        }
    });
    return object;
}

/**
 * Names fields only: their values may be private to an organisation. The sentence carries the revision, because the log
 * leaves out equal sentences and no change may be left out.
 */
void logEdit(const AdminCredential &who, const ConfigEdit &edit, int64_t revision, const std::vector<std::string> &fields)
{
    const std::vector<std::string> shown(fields.begin(),
                                         fields.begin() + static_cast<std::ptrdiff_t>(std::min(fields.size(), MaxLoggedFields)));
    writeLog(
        LogLevel::Info,
        "admin",
        fmt::format(
            "{} {} '{}' at revision {}", edit.m_object ? "put" : "deleted", toString(edit.m_name.m_kind), edit.m_name.m_name, revision),
        {{"by", who.m_name},
         {"previous", std::to_string(edit.m_expectedRevision)},
         {"fields", fmt::format("{}", fmt::join(shown, ","))},
         {"more_fields", std::to_string(fields.size() - shown.size())}});
}

AdminAnswer conflictAnswer(const AdminContext &context, const ConfigEdit &edit, const EditAnswer &result)
{
    AdminAnswer answer = refusal(context, StatusConflict, Reason::Conflict);
    json current;
    if (result.m_current) {
        const auto record = decodeRecord(result.m_current->m_value);
        answer.m_body["current"] = objectJson(edit.m_name, result.m_revision, record.value_or(ConfigRecord()));
        answer.m_etag = quoted(result.m_revision);
        current = record ? record->m_object : json();
    } else {
        answer.m_body["current"] = nullptr;
    }
    answer.m_body["differing"] = differingFields(edit.m_name.m_kind, edit.m_object.value_or(json()), current);
    return answer;
}

AdminAnswer failedEdit(const AdminContext &context, const ConfigEdit &edit, const EditAnswer &result)
{
    switch (result.m_result) {
    case EditResult::Conflict:
        return conflictAnswer(context, edit, result);
    case EditResult::Invalid:
        return refusal(context, StatusBadRequest, result.m_reason, result.m_findings);
    case EditResult::NotFound:
        return refusal(context, StatusNotFound, Reason::NotFound);
    case EditResult::Refused:
        return refusal(context, result.m_reason == Reason::StoreBudgetExhausted ? StatusTooMany : StatusUnavailable, result.m_reason);
    case EditResult::Unknown:
    case EditResult::Accepted:
        break;
    }
    AdminAnswer answer = refusal(context, StatusTimeout, result.m_reason);
    answer.m_body["outcome"] = toString(Outcome::Unknown);
    return answer;
}

/** Adds whether the change is in force everywhere, and which nodes have not confirmed it. */
void reportSpread(const AdminContext &context, int64_t revision, Duration wait, json &body)
{
    std::vector<std::string> missing;
    const bool everywhere = waitFor(context, wait, [&] {
        missing = nodesBelow(context.m_nodeCursors(), revision);
        return missing.empty();
    });
    body["in_force"] = everywhere;
    body["unconfirmed_count"] = missing.size();
    missing.resize(std::min<size_t>(missing.size(), MaxListedNodes));
    body["unconfirmed"] = missing;
}

/** Reads the object of a PUT; the name in the path stands in for a missing one. */
std::optional<json> readObjectBody(const AdminRequest &request, Findings &findings)
{
    std::optional<json> object = parseJson(request.m_body, "", findings);
    if (object && object->is_object() && !object->contains("name")) {
        (*object)["name"] = request.m_name;
    }
    return object;
}

AdminAnswer serveEdit(const AdminContext &context, const AdminCredential &who, const AdminRequest &request, Duration wait)
{
    const std::optional<int64_t> expected = matchedRevision(request.m_ifMatch);
    if (!expected || (request.m_method == AdminMethod::Delete && *expected == 0)) {
        return refusal(context, StatusBadRequest, Reason::MalformedRequest, {{"", "/If-Match", "must be the revision that was read"}});
    }
    if (who.m_role == AdminRole::EditOrganisation && *expected == 0) {
        return refusal(context, StatusForbidden, Reason::Forbidden);
    }
    ConfigEdit edit{{request.m_kind, request.m_name}, std::nullopt, *expected, who.m_name};
    if (request.m_method == AdminMethod::Put) {
        Findings findings;
        edit.m_object = readObjectBody(request, findings);
        if (!edit.m_object) {
            return refusal(context, StatusBadRequest, Reason::MalformedRequest, findings);
        }
    }
    const Waiter waiter(*context.m_waiters);
    if (wait > Duration::zero() && !waiter.m_admitted) {
        return refusal(context, StatusUnavailable, Reason::TooManyConnections);
    }
    const json before = currentObject(context, edit.m_name);
    Random random{entropySeed()};
    const WriteContext write{context.m_store, context.m_clock, &random, context.m_stop, context.m_counters, context.m_wait};
    const EditAnswer result = editConfiguration(write, context.m_state, edit);
    context.m_apply(result.m_batch);
    if (result.m_result != EditResult::Accepted) {
        return failedEdit(context, edit, result);
    }
    logEdit(who, edit, result.m_revision, differingFields(edit.m_name.m_kind, before, edit.m_object.value_or(json())));
    AdminAnswer answer;
    answer.m_status = *expected == 0 ? StatusCreated : StatusOk;
    answer.m_etag = edit.m_object ? quoted(result.m_revision) : "";
    answer.m_body = {{"outcome", toString(Outcome::Answered)}, {"revision", result.m_revision}};
    reportSpread(context, result.m_revision, wait, answer.m_body);
    return answer;
}

} // namespace

AdminAnswer serveAdmin(const AdminContext &context, const AdminRequest &request)
{
    const AdminCredential *who = authenticate(context, request.m_authorization);
    if (!who) {
        return refusal(context, StatusUnauthorized, Reason::UnknownKey);
    }
    if (!isAllowed(*who, request)) {
        return refusal(context, StatusForbidden, Reason::Forbidden);
    }
    if (request.m_body.size() > MaxAdminBodyBytes) {
        return refusal(context, StatusTooLarge, Reason::BodyTooLarge);
    }
    const std::optional<int64_t> wait = queryNumber(request, "wait_ms", 0, MaxAdminWait.count());
    if (!wait) {
        return badQuery(context, "/wait_ms");
    }
    if (request.m_method == AdminMethod::Get) {
        return serveRead(context, request, milliseconds(*wait));
    }
    return serveEdit(context, *who, request, milliseconds(*wait));
}

//-----------------------------------------------------------------------------
// [SECTION] Routes
//-----------------------------------------------------------------------------

namespace {

AdminRequest toRequest(AdminMethod method, const httplib::Request &http)
{
    AdminRequest request;
    request.m_method = method;
    request.m_kind = parseObjectKind(http.matches[1].str()).value_or(ObjectKind::Template);
    request.m_name = http.matches.size() > 2 ? http.matches[2].str() : "";
    request.m_authorization = http.get_header_value("Authorization");
    request.m_ifMatch = http.get_header_value("If-Match");
    for (const auto &[name, value] : http.params) {
        request.m_query.emplace(name, value);
    }
    request.m_body = http.body;
    return request;
}

void writeAnswer(const AdminAnswer &answer, httplib::Response &http)
{
    http.status = answer.m_status;
    if (!answer.m_etag.empty()) {
        http.set_header("ETag", answer.m_etag);
    }
    // A name from the path may hold bytes that are not UTF-8.
    http.set_content(answer.m_body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n", "application/json");
}

} // namespace

void registerAdminRoutes(httplib::Server &server, AdminContext context)
{
    assert(context.m_store && context.m_clock && context.m_state && context.m_nodeCursors && context.m_apply);
    const auto shared = std::make_shared<const AdminContext>(std::move(context));
    const auto handler = [shared](AdminMethod method) {
        return [shared, method](const httplib::Request &request, httplib::Response &response) {
            writeAnswer(serveAdmin(*shared, toRequest(method, request)), response);
        };
    };
    const std::string kinds = "/admin/v1/(templates|organisations|upstreams)";
    server.Get(kinds, handler(AdminMethod::Get));
    server.Get(kinds + "/([^/]+)", handler(AdminMethod::Get));
    server.Put(kinds + "/([^/]+)", handler(AdminMethod::Put));
    server.Delete(kinds + "/([^/]+)", handler(AdminMethod::Delete));
}

} // namespace Medlarramp
