#include "main_admin.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <optional>
#include <string>

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <httplib.h>

#include "model.h"

namespace Medlarramp {

namespace {

using nlohmann::json;

constexpr seconds ConnectTimeout{3};
constexpr seconds AnswerTimeout{15}; ///< beyond the wait that was asked for; the server resolves lost store answers for 5 s
constexpr milliseconds WatchWait{20'000}; ///< of one long poll
constexpr int MaxWaitMilliseconds = 60'000; ///< limit of the server

/** Arguments of one subcommand. */
struct AdminOptions {
    ObjectKind m_kind = ObjectKind::Template;
    std::string m_server = "http://127.0.0.1:8080";
    std::string m_keyVariable = "MEDLARRAMP_ADMIN_KEY";
    std::string m_certificates; ///< PEM file; empty: the system's
    bool m_json = false;
    int m_wait = 0; ///< milliseconds
    std::string m_name;
    std::string m_file;
    int64_t m_revision = 0; ///< 0: as read
    int m_count = 0; ///< watch: changes until the end; 0: no end
};

struct Reply {
    int m_status = 0; ///< 0: none
    json m_body;
    std::string m_error; ///< why there is none
};

void printError(const std::string &sentence)
{
    fmt::print(stderr, "medlarramp: {}\n", sentence);
}

std::string pathOf(const AdminOptions &options, const std::string &name)
{
    const std::string path = fmt::format("/admin/v1/{}s", toString(options.m_kind));
    return name.empty() ? path : fmt::format("{}/{}", path, name);
}

httplib::Request makeRequest(const AdminOptions &options, const std::string &method, const std::string &path)
{
    httplib::Request request;
    request.method = method;
    request.path = path;
    const char *key = std::getenv(options.m_keyVariable.c_str());
    if (key) {
        request.headers.emplace("Authorization", fmt::format("Bearer {}", key));
    }
    return request;
}

Reply send(const AdminOptions &options, const httplib::Request &request, milliseconds wait)
{
    httplib::Client client(options.m_server);
    if (!client.is_valid()) {
        return {0, {}, fmt::format("'{}' is not a server address", options.m_server)};
    }
    client.set_connection_timeout(ConnectTimeout);
    client.set_read_timeout(AnswerTimeout + wait);
    if (!options.m_certificates.empty()) {
        client.set_ca_cert_path(options.m_certificates);
    }
    const httplib::Result result = client.send(request);
    if (!result) {
        return {0, {}, fmt::format("no answer from {}: {}", options.m_server, httplib::to_string(result.error()))};
    }
    json body = json::parse(result->body, nullptr, false);
    return {result->status, body.is_object() ? std::move(body) : json::object(), {}};
}

bool isDone(const Reply &reply)
{
    constexpr int FirstError = 300;
    return reply.m_status >= 200 && reply.m_status < FirstError;
}

int exitCodeOf(const Reply &reply)
{
    switch (reply.m_status) {
    case 0:
    case 504: // the change may have been accepted
        return ExitUnreachable;
    case 400:
    case 413:
        return ExitUsage;
    case 409:
        return ExitConflict;
    default:
        return isDone(reply) ? ExitDone : ExitRefused;
    }
}

void printFindings(const json &body)
{
    for (const json &finding : body.value("findings", json::array())) {
        const std::string file = finding.value("file", "");
        printError(fmt::format("{}{}{}: {}", file, file.empty() ? "" : ":", finding.value("pointer", ""), finding.value("reason", "")));
    }
}

void printConflict(const json &body)
{
    if (body.contains("current") && body["current"].is_object()) {
        const json &current = body["current"];
        printError(fmt::format("revision {} was written by {}", current.value("revision", int64_t(0)), current.value("by", "")));
    } else {
        printError("the object does not exist");
    }
    for (const json &field : body.value("differing", json::array())) {
        printError(fmt::format("differs at '{}'", field.get<std::string>()));
    }
}

/** Prints what went wrong, to standard error, and with --json the answer as well. */
int fail(const AdminOptions &options, const Reply &reply)
{
    if (reply.m_status == 0) {
        printError(reply.m_error);
        return ExitUnreachable;
    }
    if (options.m_json) {
        fmt::print("{}\n", reply.m_body.dump());
    }
    printError(
        fmt::format("{}: {}", reply.m_body.value("outcome", "refused"), reply.m_body.value("reason", std::to_string(reply.m_status))));
    printFindings(reply.m_body);
    if (reply.m_status == 409) {
        printConflict(reply.m_body);
    }
    return exitCodeOf(reply);
}

int reportEdit(const AdminOptions &options, const Reply &reply)
{
    if (!isDone(reply)) {
        return fail(options, reply);
    }
    const json unconfirmed = reply.m_body.value("unconfirmed", json::array());
    if (options.m_json) {
        fmt::print("{}\n", reply.m_body.dump());
    } else {
        fmt::print("revision {}\n", reply.m_body.value("revision", int64_t(0)));
    }
    if (options.m_wait == 0 || reply.m_body.value("in_force", false)) {
        return ExitDone;
    }
    for (const json &node : unconfirmed) {
        printError(fmt::format("not confirmed by {}", node.get<std::string>()));
    }
    return ExitUnreachable;
}

int runGet(const AdminOptions &options)
{
    const Reply reply = send(options, makeRequest(options, "GET", pathOf(options, options.m_name)), milliseconds(0));
    if (!isDone(reply)) {
        return fail(options, reply);
    }
    fmt::print("{}\n", reply.m_body.dump(options.m_json ? -1 : 2));
    return ExitDone;
}

std::optional<std::string> readFile(const std::string &path)
{
    if (path == "-") {
        return std::string(std::istreambuf_iterator<char>(std::cin), {});
    }
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

/** An object to write and the revision that it was read at. */
struct Document {
    json m_object;
    int64_t m_revision = 0;
};

/** Reads a plain object, or what "get" printed. */
std::optional<Document> readDocument(const std::string &path, Findings &findings)
{
    const std::optional<std::string> text = readFile(path);
    if (!text) {
        findings.push_back({path, "", "cannot be read"});
        return std::nullopt;
    }
    const std::optional<json> value = parseJson(*text, path, findings);
    if (!value) {
        return std::nullopt;
    }
    Document document{*value, 0};
    if (value->is_object() && value->contains("object") && value->contains("revision")) {
        document.m_object = (*value)["object"];
        document.m_revision = (*value)["revision"].is_number_integer() ? (*value)["revision"].get<int64_t>() : 0;
    }
    if (!document.m_object.is_object() || !document.m_object.contains("name") || !document.m_object["name"].is_string()) {
        findings.push_back({path, "/name", "must be the name of the object"});
        return std::nullopt;
    }
    return document;
}

std::string waitQuery(const AdminOptions &options)
{
    return options.m_wait > 0 ? fmt::format("?wait_ms={}", options.m_wait) : "";
}

int runPut(const AdminOptions &options)
{
    Findings findings;
    const std::optional<Document> document = readDocument(options.m_file, findings);
    if (!document) {
        printError(toString(findings));
        return ExitUsage;
    }
    const std::string name = document->m_object["name"].get<std::string>();
    httplib::Request request = makeRequest(options, "PUT", pathOf(options, name) + waitQuery(options));
    const int64_t revision = options.m_revision > 0 ? options.m_revision : document->m_revision;
    if (revision > 0) {
        request.headers.emplace("If-Match", fmt::format("\"{}\"", revision));
    }
    request.headers.emplace("Content-Type", "application/json");
    request.body = document->m_object.dump();
    return reportEdit(options, send(options, request, milliseconds(options.m_wait)));
}

/** Without --revision the object is deleted as it is at the moment. */
int runDelete(const AdminOptions &options)
{
    int64_t revision = options.m_revision;
    if (revision == 0) {
        const Reply current = send(options, makeRequest(options, "GET", pathOf(options, options.m_name)), milliseconds(0));
        if (!isDone(current)) {
            return fail(options, current);
        }
        revision = current.m_body.value("revision", int64_t(0));
    }
    httplib::Request request = makeRequest(options, "DELETE", pathOf(options, options.m_name) + waitQuery(options));
    request.headers.emplace("If-Match", fmt::format("\"{}\"", revision));
    return reportEdit(options, send(options, request, milliseconds(options.m_wait)));
}

void printObject(const AdminOptions &options, const json &object)
{
    if (options.m_json) {
        fmt::print("{}\n", object.dump());
    } else {
        fmt::print("{} revision={} by={}{}\n",
                   object.value("name", ""),
                   object.value("revision", int64_t(0)),
                   object.value("by", ""),
                   object.value("deleted", false) ? " deleted" : "");
    }
    std::fflush(stdout);
}

int runList(const AdminOptions &options)
{
    std::string from;
    do {
        const std::string query = from.empty() ? "" : "?from=" + from;
        const Reply reply = send(options, makeRequest(options, "GET", pathOf(options, "") + query), milliseconds(0));
        if (!isDone(reply)) {
            return fail(options, reply);
        }
        for (const json &object : reply.m_body.value("objects", json::array())) {
            printObject(options, object);
        }
        from = reply.m_body.value("next", "");
    } while (!from.empty());
    return ExitDone;
}

/** Starts at the present unless --revision says where. Ends after --count changes or with the server. */
int runWatch(const AdminOptions &options)
{
    int64_t cursor = options.m_revision;
    if (cursor == 0) {
        const Reply start = send(options, makeRequest(options, "GET", pathOf(options, "") + "?limit=1"), milliseconds(0));
        if (!isDone(start)) {
            return fail(options, start);
        }
        cursor = start.m_body.value("cursor", int64_t(0));
    }
    int seen = 0;
    while (options.m_count == 0 || seen < options.m_count) {
        const std::string query = fmt::format("?after={}&wait_ms={}", cursor, WatchWait.count());
        const Reply reply = send(options, makeRequest(options, "GET", pathOf(options, "") + query), WatchWait);
        if (!isDone(reply)) {
            return fail(options, reply);
        }
        for (const json &object : reply.m_body.value("objects", json::array())) {
            printObject(options, object);
            ++seen;
        }
        cursor = reply.m_body.value("cursor", cursor);
    }
    return ExitDone;
}

using Run = int (*)(const AdminOptions &);

struct Action {
    const char *m_name;
    const char *m_description;
    Run m_run;
};

constexpr Action Get{"get", "Print an object with its revision.", runGet};
constexpr Action Put{"put", "Create an object, or replace the revision that was read.", runPut};
constexpr Action List{"list", "Print all objects.", runList};
constexpr Action Delete{"delete", "Delete an object.", runDelete};
constexpr Action Watch{"watch", "Print each change as it happens.", runWatch};

void addAction(CLI::App &parent, const std::shared_ptr<AdminOptions> &options, const Action &action, int &exitCode)
{
    CLI::App *command = parent.add_subcommand(action.m_name, action.m_description);
    command->add_option("--server", options->m_server, "Address of an entry process")->capture_default_str();
    command->add_option("--key-env", options->m_keyVariable, "Environment variable with the administration key")->capture_default_str();
    command->add_option("--ca", options->m_certificates, "PEM file with the certificates to trust");
    command->add_flag("--json", options->m_json, "Print JSON, one object a line");
    if (action.m_run == runGet || action.m_run == runDelete) {
        command->add_option("name", options->m_name, "Name of the object")->required();
    }
    if (action.m_run == runPut) {
        command->add_option("file", options->m_file, "JSON file; - reads standard input")->required();
    }
    if (action.m_run == runPut || action.m_run == runDelete) {
        command->add_option("--wait", options->m_wait, "Wait until the change is in force everywhere, in milliseconds")
            ->check(CLI::Range(0, MaxWaitMilliseconds));
    }
    if (action.m_run != runGet && action.m_run != runList) {
        command->add_option("--revision", options->m_revision, "Revision to replace, or to watch from")->check(CLI::NonNegativeNumber);
    }
    if (action.m_run == runWatch) {
        command->add_option("--count", options->m_count, "End after this many changes")->check(CLI::NonNegativeNumber);
    }
    command->callback([options, run = action.m_run, &exitCode] { exitCode = run(*options); });
}

} // namespace

void addAdminCommands(CLI::App &app, int &exitCode)
{
    for (const ObjectKind kind : {ObjectKind::Template, ObjectKind::Organisation, ObjectKind::Upstream}) {
        const std::string name(toString(kind));
        CLI::App *command = app.add_subcommand(name, fmt::format("Edit objects of the kind {}.", name));
        command->require_subcommand(1);
        auto options = std::make_shared<AdminOptions>();
        options->m_kind = kind;
        for (const Action &action : {Get, Put, List, Delete, Watch}) {
            addAction(*command, options, action, exitCode);
        }
    }
}

} // namespace Medlarramp
