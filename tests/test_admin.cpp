#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include <sys/wait.h>
#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <httplib.h>

#include "entry_admin.h"
#include "standins_store.h"

using namespace Medlarramp;
using nlohmann::json;

namespace {

constexpr TimePoint Start{seconds(1'000)};
constexpr int64_t StartWall = 1'700'000'000'000;

/** One node with the API, on a paused clock whose waits advance it. */
struct Node {
    Clock m_clock;
    KeyValueState m_state;
    Store m_store;
    std::mutex m_mutex;
    ConfigState m_config; ///< guarded by m_mutex
    std::vector<NodeCursor> m_others; ///< cursors of other nodes
    std::vector<ConfigBatch> m_spread;
    std::map<Reason, int> m_refusals;
    std::function<void()> m_duringWait;
    AdminContext m_context;

    explicit Node(bool paused = true)
    {
        if (paused) {
            pauseClock(m_clock, Start, StartWall);
        }
        m_state.m_clock = &m_clock;
        const auto wait = [this](Duration duration) {
            advanceClock(m_clock, duration);
            if (m_duringWait) {
                m_duringWait();
            }
        };
        m_store = makeLocalStore(m_state, paused ? StandinWait(wait) : StandinWait());
        m_context.m_store = &m_store;
        m_context.m_clock = &m_clock;
        m_context.m_state = [this](const std::function<void(ConfigState &)> &use) {
            const std::lock_guard lock(m_mutex);
            use(m_config);
        };
        m_context.m_nodeCursors = [this] {
            const std::lock_guard lock(m_mutex);
            std::vector<NodeCursor> cursors = m_others;
            cursors.push_back({"self", m_config.m_cursor});
            return cursors;
        };
        m_context.m_apply = [this](const ConfigBatch &batch) {
            const std::lock_guard lock(m_mutex);
            m_spread.push_back(batch);
        };
        m_context.m_countRefusal = [this](Reason reason) {
            const std::lock_guard lock(m_mutex);
            ++m_refusals[reason];
        };
        if (paused) {
            m_context.m_wait = wait;
        }
        m_context.m_credentials = {{"reader", AdminRole::Read, "", "secret-reader"},
                                   {"alder-editor", AdminRole::EditOrganisation, "alder", "secret-alder"},
                                   {"operator", AdminRole::EditAll, "", "secret-operator"},
                                   {"unset", AdminRole::EditAll, "", ""}};
    }

    AdminAnswer call(AdminMethod method, ObjectKind kind, const std::string &name, const json &body = {}, int64_t revision = 0)
    {
        AdminRequest request{method, kind, name, "Bearer secret-operator", {}, {}, {}};
        if (revision > 0) {
            request.m_ifMatch = fmt::format("\"{}\"", revision);
        }
        if (!body.is_null()) {
            request.m_body = body.dump();
        }
        return serveAdmin(m_context, request);
    }

    int64_t create(ObjectKind kind, const json &object)
    {
        const AdminAnswer answer = call(AdminMethod::Put, kind, object.at("name"), object);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.m_body.dump(), 201, answer.m_status);
        return answer.m_body.at("revision");
    }

    void fill()
    {
        create(ObjectKind::Upstream, {{"name", "encoders"}, {"kind", "stage_pool"}});
        create(ObjectKind::Upstream, {{"name", "engines"}, {"kind", "model_engine"}, {"models", {"riddle"}}});
        create(ObjectKind::Template,
               {{"name", "pack"},
                {"stages",
                 {{{"name", "encode"}, {"kind", "infer"}, {"pool", "encoders"}, {"model", "small"}},
                  {{"name", "retrieve"}, {"kind", "infer"}, {"pool", "encoders"}, {"model", "small"}},
                  {{"name", "write"}, {"kind", "generate"}, {"pool", "engines"}, {"model", "riddle"}}}}});
    }
};

AdminRequest withKey(AdminMethod method, ObjectKind kind, const std::string &name, const std::string &key, const std::string &ifMatch = "")
{
    AdminRequest request{method, kind, name, "Bearer " + key, ifMatch, {}, {}};
    if (method == AdminMethod::Put) {
        request.m_body = json{{"name", name}}.dump();
    }
    return request;
}

/** Collects standard error of this process in a file while it lives. */
struct CapturedLog {
    std::filesystem::path m_path = std::filesystem::temp_directory_path() / fmt::format("medlarramp-log-{}", getpid());
    int m_previous = dup(STDERR_FILENO);

    CapturedLog()
    {
        std::fflush(stderr);
        FILE *file = std::fopen(m_path.c_str(), "w");
        dup2(fileno(file), STDERR_FILENO);
        std::fclose(file);
    }
    std::string finish()
    {
        std::fflush(stderr);
        dup2(m_previous, STDERR_FILENO);
        std::ifstream file(m_path);
        return {std::istreambuf_iterator<char>(file), {}};
    }
    ~CapturedLog()
    {
        finish();
        close(m_previous);
        std::filesystem::remove(m_path);
    }
    CapturedLog(const CapturedLog &) = delete;
    CapturedLog &operator=(const CapturedLog &) = delete;
};

/** The API on a loopback port with the running clock. */
struct AdminServer {
    Node m_node{false};
    httplib::Server m_server;
    int m_port = 0;
    std::thread m_thread;

    AdminServer()
    {
        m_server.set_keep_alive_max_count(1);
        registerAdminRoutes(m_server, m_node.m_context);
        m_port = m_server.bind_to_any_port("127.0.0.1");
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
        while (!m_server.is_running()) {
            std::this_thread::yield();
        }
    }
    ~AdminServer()
    {
        m_server.stop();
        m_thread.join();
    }
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;
};

/** Runs the binary beside the tests with an administration key. @return its exit code. */
int runBinary(const std::string &arguments, const std::string &key, std::string &output)
{
    const auto binary = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "medlarramp";
    const std::string command = fmt::format("TEST_ADMIN_KEY={} {} {} 2>&1", key, binary.string(), arguments);
    FILE *pipe = popen(command.c_str(), "r");
    CPPUNIT_ASSERT(pipe);
    std::array<char, 4096> buffer{};
    output.clear();
    for (size_t length = 0; (length = std::fread(buffer.data(), 1, buffer.size(), pipe)) > 0;) {
        output.append(buffer.data(), length);
    }
    const int status = pclose(pipe);
    CPPUNIT_ASSERT(WIFEXITED(status));
    return WEXITSTATUS(status);
}

} // namespace

class AdminTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdminTest);
    CPPUNIT_TEST(objectLivesFromCreationToDeletion);
    CPPUNIT_TEST(keysAndRolesAreChecked);
    CPPUNIT_TEST(conflictShowsCurrentObjectAndDifferences);
    CPPUNIT_TEST(findingsNameTheirPlaces);
    CPPUNIT_TEST(acceptedChangeIsSpread);
    CPPUNIT_TEST(waitNamesTheNodesThatLag);
    CPPUNIT_TEST(waitEndsWithTheLastConfirmation);
    CPPUNIT_TEST(outageRefusesEditsAndServesReads);
    CPPUNIT_TEST(uncertainEditIsCalledUnknown);
    CPPUNIT_TEST(logTellsWhoAndWhatWithoutSecrets);
    CPPUNIT_TEST(listIsPagedAndLeavesOutDeletedObjects);
    CPPUNIT_TEST(watchDeliversEachChangeOnce);
    CPPUNIT_TEST(waitersAreBounded);
    CPPUNIT_TEST(malformedRequestsAreRefused);
    CPPUNIT_TEST(routesCarryHeadersAndQuery);
    CPPUNIT_TEST(oneOfManyEditorsOverHttpWins);
    CPPUNIT_TEST(commandsExitWithTheirMeaning);
    CPPUNIT_TEST_SUITE_END();

    // Guards against an object that cannot be read back, replaced or deleted with the revision that was read.
    void objectLivesFromCreationToDeletion()
    {
        Node node;
        const int64_t created = node.create(ObjectKind::Organisation, {{"name", "alder"}, {"weight", 2}});
        const AdminAnswer read = node.call(AdminMethod::Get, ObjectKind::Organisation, "alder");
        CPPUNIT_ASSERT_EQUAL(fmt::format("\"{}\"", created), read.m_etag);
        CPPUNIT_ASSERT_EQUAL(std::string("operator"), read.m_body.at("by").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(StartWall, read.m_body.at("at_ms").get<int64_t>());
        CPPUNIT_ASSERT_EQUAL(2, read.m_body.at("object").at("weight").get<int>());
        const AdminAnswer replaced = node.call(AdminMethod::Put, ObjectKind::Organisation, "alder", {{"weight", 3}}, created);
        CPPUNIT_ASSERT_EQUAL(200, replaced.m_status);
        const int64_t revision = replaced.m_body.at("revision");
        CPPUNIT_ASSERT(revision > created);
        CPPUNIT_ASSERT_EQUAL(200, node.call(AdminMethod::Delete, ObjectKind::Organisation, "alder", {}, revision).m_status);
        CPPUNIT_ASSERT_EQUAL(404, node.call(AdminMethod::Get, ObjectKind::Organisation, "alder").m_status);
        node.create(ObjectKind::Organisation, {{"name", "alder"}});
    }

    // Guards against edits without a key, with a wrong one, or beyond the key's role.
    void keysAndRolesAreChecked()
    {
        Node node;
        const int64_t alder = node.create(ObjectKind::Organisation, {{"name", "alder"}});
        const int64_t birch = node.create(ObjectKind::Organisation, {{"name", "birch"}});
        const std::string alderMatch = std::to_string(alder);
        const std::string birchMatch = std::to_string(birch);
        const auto status = [&](const AdminRequest &request) { return serveAdmin(node.m_context, request).m_status; };
        constexpr auto Organisation = ObjectKind::Organisation;
        AdminRequest anonymous = withKey(AdminMethod::Get, Organisation, "alder", "");
        CPPUNIT_ASSERT_EQUAL(401, status(anonymous)); // the credential without a secret must not match
        anonymous.m_authorization = "";
        CPPUNIT_ASSERT_EQUAL(401, status(anonymous));
        CPPUNIT_ASSERT_EQUAL(401, status(withKey(AdminMethod::Get, Organisation, "alder", "secret-operato")));
        CPPUNIT_ASSERT_EQUAL(200, status(withKey(AdminMethod::Get, Organisation, "alder", "secret-reader")));
        CPPUNIT_ASSERT_EQUAL(403, status(withKey(AdminMethod::Put, Organisation, "alder", "secret-reader", alderMatch)));
        CPPUNIT_ASSERT_EQUAL(403, status(withKey(AdminMethod::Delete, Organisation, "alder", "secret-reader", alderMatch)));
        CPPUNIT_ASSERT_EQUAL(403, status(withKey(AdminMethod::Get, Organisation, "birch", "secret-alder")));
        CPPUNIT_ASSERT_EQUAL(403, status(withKey(AdminMethod::Get, Organisation, "", "secret-alder")));
        CPPUNIT_ASSERT_EQUAL(200, status(withKey(AdminMethod::Get, ObjectKind::Template, "", "secret-alder")));
        CPPUNIT_ASSERT_EQUAL(403, status(withKey(AdminMethod::Put, Organisation, "birch", "secret-alder", birchMatch)));
        CPPUNIT_ASSERT_EQUAL(403, status(withKey(AdminMethod::Put, ObjectKind::Upstream, "alder", "secret-alder", alderMatch)));
        CPPUNIT_ASSERT_EQUAL(403, status(withKey(AdminMethod::Delete, Organisation, "alder", "secret-alder", alderMatch)));
        CPPUNIT_ASSERT_EQUAL(403, status(withKey(AdminMethod::Put, Organisation, "alder", "secret-alder")));
        CPPUNIT_ASSERT_EQUAL(200, status(withKey(AdminMethod::Put, Organisation, "alder", "secret-alder", alderMatch)));
        CPPUNIT_ASSERT_EQUAL(3, node.m_refusals[Reason::UnknownKey]);
        CPPUNIT_ASSERT_EQUAL(8, node.m_refusals[Reason::Forbidden]);
    }

    // Guards against an editor who learns of a conflict and not what it is about.
    void conflictShowsCurrentObjectAndDifferences()
    {
        Node node;
        const int64_t created = node.create(ObjectKind::Organisation, {{"name", "alder"}, {"weight", 2}, {"burst", 5}});
        const AdminAnswer other = node.call(AdminMethod::Put, ObjectKind::Organisation, "alder", {{"weight", 4}, {"burst", 5}}, created);
        // "burst" is 10 by default, so leaving it out differs; "max_concurrent" is 0 by default, so naming it does not.
        const AdminAnswer conflict =
            node.call(AdminMethod::Put, ObjectKind::Organisation, "alder", {{"weight", 3}, {"max_concurrent", 0}}, created);
        CPPUNIT_ASSERT_EQUAL(409, conflict.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string("conflict"), conflict.m_body.at("reason").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("not_run"), conflict.m_body.at("outcome").get<std::string>());
        CPPUNIT_ASSERT(conflict.m_body.at("current").at("revision") == other.m_body.at("revision"));
        CPPUNIT_ASSERT_EQUAL(4, conflict.m_body.at("current").at("object").at("weight").get<int>());
        CPPUNIT_ASSERT(conflict.m_body.at("differing") == json({"/burst", "/weight"}));
        CPPUNIT_ASSERT_EQUAL(409, node.call(AdminMethod::Put, ObjectKind::Organisation, "alder", {{"weight", 3}}).m_status);
        const AdminAnswer gone = node.call(AdminMethod::Put, ObjectKind::Organisation, "elm", {{"weight", 3}}, created);
        CPPUNIT_ASSERT_EQUAL(409, gone.m_status);
        CPPUNIT_ASSERT(gone.m_body.at("current").is_null());
    }

    // Guards against refusals that do not say where the fault is, and against deletions that break other objects.
    void findingsNameTheirPlaces()
    {
        Node node;
        node.fill();
        const AdminAnswer wrong =
            node.call(AdminMethod::Put, ObjectKind::Organisation, "alder", {{"weight", -1}, {"templates", {"none"}}, {"colour", "red"}});
        CPPUNIT_ASSERT_EQUAL(400, wrong.m_status);
        CPPUNIT_ASSERT_EQUAL(size_t(2), wrong.m_body.at("findings").size());
        CPPUNIT_ASSERT_EQUAL(std::string("/weight"), wrong.m_body.at("findings")[0].at("pointer").get<std::string>());
        const AdminAnswer dangling = node.call(AdminMethod::Put, ObjectKind::Organisation, "alder", {{"templates", {"pack", "none"}}});
        CPPUNIT_ASSERT_EQUAL(std::string("/templates/1"), dangling.m_body.at("findings").at(0).at("pointer").get<std::string>());
        const int64_t engines = node.call(AdminMethod::Get, ObjectKind::Upstream, "engines").m_body.at("revision");
        const AdminAnswer used = node.call(AdminMethod::Delete, ObjectKind::Upstream, "engines", {}, engines);
        CPPUNIT_ASSERT_EQUAL(400, used.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string("template/pack"), used.m_body.at("findings").at(0).at("file").get<std::string>());
    }

    // Guards against an accepted change that stays on the node which accepted it.
    void acceptedChangeIsSpread()
    {
        Node node;
        const int64_t revision = node.create(ObjectKind::Organisation, {{"name", "alder"}});
        CPPUNIT_ASSERT_EQUAL(size_t(1), node.m_spread.size());
        CPPUNIT_ASSERT_EQUAL(revision, node.m_spread[0].m_to);
        ConfigState other;
        applyBatch(other, node.m_spread[0]);
        CPPUNIT_ASSERT(other.m_configuration.m_organisations.contains("alder"));
        node.call(AdminMethod::Put, ObjectKind::Organisation, "alder", {{"weight", 2}});
        CPPUNIT_ASSERT(node.m_spread.back().m_changes.empty());
    }

    // Guards against "in force" while a node still has the old configuration.
    void waitNamesTheNodesThatLag()
    {
        Node node;
        node.m_others = {{"b", 0}, {"a", 0}, {"ahead", 1'000'000}};
        AdminRequest request = withKey(AdminMethod::Put, ObjectKind::Organisation, "alder", "secret-operator");
        request.m_query["wait_ms"] = "300";
        const AdminAnswer answer = serveAdmin(node.m_context, request);
        CPPUNIT_ASSERT_EQUAL(201, answer.m_status);
        CPPUNIT_ASSERT(!answer.m_body.at("in_force").get<bool>());
        CPPUNIT_ASSERT(answer.m_body.at("unconfirmed") == json({"a", "b"}));
        CPPUNIT_ASSERT(now(node.m_clock) - Start >= Duration(milliseconds(300)));
    }

    // Guards against an editor who waits for the whole time although all nodes have confirmed.
    void waitEndsWithTheLastConfirmation()
    {
        Node node;
        node.m_others = {{"a", 0}};
        node.m_duringWait = [&node] {
            if (now(node.m_clock) >= Start + milliseconds(200)) {
                node.m_others[0].m_cursor = 1'000;
            }
        };
        AdminRequest request = withKey(AdminMethod::Put, ObjectKind::Organisation, "alder", "secret-operator");
        request.m_query["wait_ms"] = "5000";
        const AdminAnswer answer = serveAdmin(node.m_context, request);
        CPPUNIT_ASSERT(answer.m_body.at("in_force").get<bool>());
        CPPUNIT_ASSERT(answer.m_body.at("unconfirmed").empty());
        CPPUNIT_ASSERT(now(node.m_clock) - Start <= Duration(milliseconds(250)));
    }

    // Guards against edits that seem accepted without the store, and against an outage that hides the configuration.
    void outageRefusesEditsAndServesReads()
    {
        Node node;
        const int64_t revision = node.create(ObjectKind::Organisation, {{"name", "alder"}});
        node.m_state.m_faults.m_outage = true;
        const AdminAnswer edit = node.call(AdminMethod::Put, ObjectKind::Organisation, "alder", {{"weight", 2}}, revision);
        CPPUNIT_ASSERT_EQUAL(503, edit.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string("not_run"), edit.m_body.at("outcome").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("store_unavailable"), edit.m_body.at("reason").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(200, node.call(AdminMethod::Get, ObjectKind::Organisation, "alder").m_status);
        CPPUNIT_ASSERT_EQUAL(1, node.m_refusals[Reason::StoreUnavailable]);
    }

    // Guards against "not run" for a change that the store has taken.
    void uncertainEditIsCalledUnknown()
    {
        Node node;
        node.m_state.m_faults.m_loseNextAnswers = 1;
        node.m_duringWait = [&node] { node.m_state.m_faults.m_outage = true; };
        const AdminAnswer answer = node.call(AdminMethod::Put, ObjectKind::Organisation, "alder", {{"weight", 2}});
        CPPUNIT_ASSERT_EQUAL(504, answer.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), answer.m_body.at("outcome").get<std::string>());
        node.m_duringWait = {};
        node.m_state.m_faults = {};
        const auto later = readConfiguration(node.m_store, 0);
        CPPUNIT_ASSERT_EQUAL(size_t(1), later->m_changes.size());
    }

    // Guards against a change without an author in the log, and against secrets or customers' prompts in it.
    void logTellsWhoAndWhatWithoutSecrets()
    {
        Node node;
        node.fill();
        const std::string digest = toHex(sha256("customer-key"));
        std::string log;
        {
            CapturedLog captured;
            json object = {{"name", "hazel"}, {"key_digests", {digest}}};
            object["overrides"] = {{{"template", "pack"}, {"stage", "write"}, {"prompt", "private prompt {input}"}}};
            const int64_t revision = node.create(ObjectKind::Organisation, object);
            object["weight"] = 7;
            node.call(AdminMethod::Put, ObjectKind::Organisation, "hazel", object, revision);
            serveAdmin(node.m_context, withKey(AdminMethod::Get, ObjectKind::Organisation, "hazel", "secret-wrong"));
            log = captured.finish();
        }
        for (const char *expected : {"put organisation 'hazel' at revision", "by=operator", "fields=/weight", "previous="}) {
            CPPUNIT_ASSERT_MESSAGE(log, log.find(expected) != std::string::npos);
        }
        for (const std::string &secret : {std::string("secret-"), digest, std::string("private prompt")}) {
            CPPUNIT_ASSERT_MESSAGE(log, log.find(secret) == std::string::npos);
        }
    }

    // Guards against a list that skips or repeats objects at its page ends.
    void listIsPagedAndLeavesOutDeletedObjects()
    {
        Node node;
        for (int i = 0; i < 7; ++i) {
            const int64_t revision = node.create(ObjectKind::Organisation, {{"name", fmt::format("o{}", i)}});
            if (i == 3) {
                node.call(AdminMethod::Delete, ObjectKind::Organisation, "o3", {}, revision);
            }
        }
        node.create(ObjectKind::Upstream, {{"name", "encoders"}, {"kind", "stage_pool"}});
        std::vector<std::string> names;
        AdminRequest request = withKey(AdminMethod::Get, ObjectKind::Organisation, "", "secret-reader");
        request.m_query["limit"] = "2";
        while (true) {
            const AdminAnswer page = serveAdmin(node.m_context, request);
            for (const json &object : page.m_body.at("objects")) {
                names.push_back(object.at("name"));
            }
            if (!page.m_body.contains("next")) {
                break;
            }
            request.m_query["from"] = page.m_body.at("next");
        }
        CPPUNIT_ASSERT((names == std::vector<std::string>{"o0", "o1", "o2", "o4", "o5", "o6"}));
    }

    // Guards against a watcher that misses a deletion or sees a change twice.
    void watchDeliversEachChangeOnce()
    {
        Node node;
        node.create(ObjectKind::Organisation, {{"name", "alder"}});
        AdminRequest request = withKey(AdminMethod::Get, ObjectKind::Organisation, "", "secret-reader");
        request.m_query["after"] = std::to_string(node.m_config.m_cursor);
        request.m_query["wait_ms"] = "1000";
        bool edited = false;
        node.m_duringWait = [&] {
            if (!std::exchange(edited, true)) {
                node.create(ObjectKind::Upstream, {{"name", "encoders"}, {"kind", "stage_pool"}});
                const int64_t revision = node.create(ObjectKind::Organisation, {{"name", "birch"}});
                node.call(AdminMethod::Delete, ObjectKind::Organisation, "birch", {}, revision);
            }
        };
        const AdminAnswer first = serveAdmin(node.m_context, request);
        CPPUNIT_ASSERT_EQUAL(size_t(1), first.m_body.at("objects").size());
        CPPUNIT_ASSERT_EQUAL(std::string("birch"), first.m_body.at("objects")[0].at("name").get<std::string>());
        CPPUNIT_ASSERT(first.m_body.at("objects")[0].at("deleted").get<bool>());
        request.m_query["after"] = std::to_string(first.m_body.at("cursor").get<int64_t>());
        const TimePoint before = now(node.m_clock);
        CPPUNIT_ASSERT(serveAdmin(node.m_context, request).m_body.at("objects").empty());
        CPPUNIT_ASSERT(now(node.m_clock) - before >= Duration(seconds(1)));
    }

    // Guards against waiting requests that use up every thread of the server.
    void waitersAreBounded()
    {
        Node node;
        *node.m_context.m_waiters = MaxAdminWaiters;
        AdminRequest request = withKey(AdminMethod::Put, ObjectKind::Organisation, "alder", "secret-operator");
        request.m_query["wait_ms"] = "1000";
        CPPUNIT_ASSERT_EQUAL(503, serveAdmin(node.m_context, request).m_status);
        CPPUNIT_ASSERT_EQUAL(1, node.m_refusals[Reason::TooManyConnections]);
        request.m_query.clear();
        CPPUNIT_ASSERT_EQUAL(201, serveAdmin(node.m_context, request).m_status);
        CPPUNIT_ASSERT_EQUAL(MaxAdminWaiters, node.m_context.m_waiters->load());
    }

    // Guards against requests that are taken for something else than the editor meant.
    void malformedRequestsAreRefused()
    {
        Node node;
        const int64_t revision = node.create(ObjectKind::Organisation, {{"name", "alder"}});
        const auto status = [&](const AdminRequest &request) { return serveAdmin(node.m_context, request).m_status; };
        const std::string key = "secret-operator";
        for (const char *match : {"*", "\"x\"", "-1", "0", "\"1", "1 2", "99999999999999999999"}) {
            CPPUNIT_ASSERT_EQUAL(400, status(withKey(AdminMethod::Put, ObjectKind::Organisation, "alder", key, match)));
        }
        CPPUNIT_ASSERT_EQUAL(400, status(withKey(AdminMethod::Delete, ObjectKind::Organisation, "alder", key)));
        AdminRequest request = withKey(AdminMethod::Put, ObjectKind::Organisation, "alder", key, std::to_string(revision));
        for (const char *wait : {"x", "-1", "60001", "1s", ""}) {
            request.m_query["wait_ms"] = wait;
            CPPUNIT_ASSERT_EQUAL(400, status(request));
        }
        request.m_query.clear();
        for (const char *body : {"", "{", "[]", "{\"name\":\"birch\"}"}) {
            request.m_body = body;
            CPPUNIT_ASSERT_EQUAL(400, status(request));
        }
        request.m_body = std::string(MaxAdminBodyBytes + 1, ' ');
        CPPUNIT_ASSERT_EQUAL(413, status(request));
        CPPUNIT_ASSERT_EQUAL(revision, node.call(AdminMethod::Get, ObjectKind::Organisation, "alder").m_body.at("revision").get<int64_t>());
    }

    // Guards against headers, queries and names that get lost between HTTP and the API.
    void routesCarryHeadersAndQuery()
    {
        AdminServer server;
        httplib::Client client("127.0.0.1", server.m_port);
        const httplib::Headers headers = {{"Authorization", "Bearer secret-operator"}};
        const auto created = client.Put("/admin/v1/organisations/alder?wait_ms=1000", headers, R"({"weight":2})", "application/json");
        CPPUNIT_ASSERT(created);
        CPPUNIT_ASSERT_EQUAL(201, created->status);
        CPPUNIT_ASSERT(json::parse(created->body).at("in_force").get<bool>());
        const auto read = client.Get("/admin/v1/organisations/alder", headers);
        CPPUNIT_ASSERT_EQUAL(created->get_header_value("ETag"), read->get_header_value("ETag"));
        httplib::Headers matched = headers;
        matched.emplace("If-Match", read->get_header_value("ETag"));
        CPPUNIT_ASSERT_EQUAL(200, client.Delete("/admin/v1/organisations/alder", matched)->status);
        CPPUNIT_ASSERT_EQUAL(409, client.Delete("/admin/v1/organisations/alder", matched)->status);
        CPPUNIT_ASSERT_EQUAL(401, client.Get("/admin/v1/templates")->status);
        CPPUNIT_ASSERT_EQUAL(200, client.Get("/admin/v1/upstreams?limit=1", headers)->status);
        CPPUNIT_ASSERT_EQUAL(404, client.Get("/admin/v1/secrets", headers)->status);
        const auto odd = client.Put("/admin/v1/organisations/%FF%FE", headers, "{}", "application/json");
        CPPUNIT_ASSERT_EQUAL(400, odd->status);
        CPPUNIT_ASSERT(json::accept(odd->body));
    }

    // Guards against lost updates when many operators write one object at the same moment.
    void oneOfManyEditorsOverHttpWins()
    {
        AdminServer server;
        const int64_t revision = server.m_node.create(ObjectKind::Organisation, {{"name", "alder"}});
        std::atomic<int> accepted = 0;
        std::atomic<int> conflicts = 0;
        std::vector<std::thread> editors;
        editors.reserve(8);
        for (int i = 0; i < 8; ++i) {
            editors.emplace_back([&, i] {
                httplib::Client client("127.0.0.1", server.m_port);
                const httplib::Headers headers = {{"Authorization", "Bearer secret-operator"}, {"If-Match", std::to_string(revision)}};
                const auto answer =
                    client.Put("/admin/v1/organisations/alder", headers, json{{"weight", i + 1}}.dump(), "application/json");
                accepted += answer && answer->status == 200 ? 1 : 0;
                conflicts += answer && answer->status == 409 ? 1 : 0;
            });
        }
        for (std::thread &editor : editors) {
            editor.join();
        }
        CPPUNIT_ASSERT_EQUAL(1, accepted.load());
        CPPUNIT_ASSERT_EQUAL(7, conflicts.load());
    }

    // Guards against scripts that take a refusal for success, or a conflict for a fault of the file.
    void commandsExitWithTheirMeaning()
    {
        AdminServer server;
        const auto directory = std::filesystem::temp_directory_path() / fmt::format("medlarramp-admin-{}", getpid());
        std::filesystem::create_directories(directory);
        const std::string file = (directory / "object.json").string();
        const auto write = [&file](const std::string &text) { std::ofstream(file) << text; };
        const std::string address = fmt::format("--server http://127.0.0.1:{} --key-env TEST_ADMIN_KEY", server.m_port);
        std::string output;
        const auto run = [&](const std::string &arguments, const std::string &key = "secret-operator") {
            return runBinary(fmt::format("{} {}", arguments, address), key, output);
        };
        write(R"({"name":"alder","weight":2})");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(output, 0, run("organisation put " + file + " --wait 1000"));
        CPPUNIT_ASSERT_EQUAL(4, run("organisation put " + file));
        CPPUNIT_ASSERT_EQUAL(0, run("organisation get alder --json"));
        const json read = json::parse(output);
        write(output);
        CPPUNIT_ASSERT_EQUAL(0, run("organisation put " + file));
        CPPUNIT_ASSERT_EQUAL(4, run("organisation put " + file));
        CPPUNIT_ASSERT(output.find("was written by operator") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0, run("organisation list --json"));
        CPPUNIT_ASSERT(json::parse(output).at("revision") > read.at("revision"));
        CPPUNIT_ASSERT_EQUAL(0, run("organisation watch --revision 1 --count 1"));
        CPPUNIT_ASSERT(output.starts_with("alder revision="));
        CPPUNIT_ASSERT_EQUAL(1, run("organisation get alder", "wrong"));
        CPPUNIT_ASSERT_EQUAL(1, run("organisation delete alder", "secret-reader"));
        CPPUNIT_ASSERT_EQUAL(1, run("template get none"));
        write(R"({"name":"birch","weight":-2})");
        CPPUNIT_ASSERT_EQUAL(2, run("organisation put " + file));
        CPPUNIT_ASSERT(output.find("/weight") != std::string::npos);
        write("{");
        CPPUNIT_ASSERT_EQUAL(2, run("organisation put " + file));
        CPPUNIT_ASSERT_EQUAL(2, run("organisation put " + (directory / "none.json").string()));
        CPPUNIT_ASSERT_EQUAL(2, run("organisation"));
        CPPUNIT_ASSERT_EQUAL(2, run("organisation get"));
        CPPUNIT_ASSERT_EQUAL(3, runBinary("organisation get alder --server http://127.0.0.1:1", "x", output));
        {
            const std::lock_guard lock(server.m_node.m_mutex);
            server.m_node.m_others = {{"lagging", 0}};
        }
        CPPUNIT_ASSERT_EQUAL(3, run("organisation delete alder --wait 50"));
        CPPUNIT_ASSERT(output.find("not confirmed by lagging") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(1, run("organisation get alder"));
        std::filesystem::remove_all(directory);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(AdminTest, "admin");
