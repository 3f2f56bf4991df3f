#pragma once

/**
 * medlarramp entry: administration API. Internal header of the entry library.
 *
 * Index of sections:
 *  [SECTION] Context    what the API works on
 *  [SECTION] Requests   the API without HTTP
 *  [SECTION] Routes     the API on an HTTP server
 *
 * GET, PUT, DELETE /admin/v1/{templates|organisations|upstreams}/{name}
 *   PUT and DELETE take If-Match with the revision that the editor read; a PUT without it creates the object.
 *   Both take ?wait_ms=N: the answer waits until the change is in force everywhere, or names the nodes that lack it.
 * GET /admin/v1/{kind}s?from=NAME&limit=N lists objects in name order; "next" continues.
 * GET /admin/v1/{kind}s?after=REVISION&wait_ms=N watches: it answers with the changes above the revision once there are
 *   any, and with "cursor" to go on from.
 */

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core.h"
#include "model.h"
#include "store.h"

namespace httplib { // NOLINT(readability-identifier-naming): name of the library
class Server;
}

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] Context
//-----------------------------------------------------------------------------

/** An administration key with its secret. Never logged. */
struct AdminCredential {
    std::string m_name; ///< who, in the change log
    AdminRole m_role = AdminRole::Read;
    std::string m_organisation; ///< EditOrganisation only
    std::string m_secret;
};

/** How far the configuration of one node has come. */
struct NodeCursor {
    std::string m_node;
    int64_t m_cursor = 0;

    bool operator==(const NodeCursor &) const = default;
};

constexpr milliseconds MaxAdminWait{60'000};
constexpr milliseconds AdminPoll{20}; ///< between two looks while a request waits
constexpr int MaxAdminWaiters = 64; ///< requests that wait at the same moment
constexpr size_t MaxAdminBodyBytes = 512 * 1024;
constexpr size_t MaxListedObjects = 500;
constexpr int64_t MaxListedNodes = 1'000; ///< names of nodes in one answer

/** What the API works on. Everything referred to must outlive the server. */
struct AdminContext {
    const Store *m_store = nullptr;
    const Clock *m_clock = nullptr;
    StopSignal *m_stop = nullptr; ///< ends waits at shutdown
    StoreCounters *m_counters = nullptr; ///< may be null
    ConfigAccess m_state; ///< lends the node's ConfigState under its lock
    std::function<std::vector<NodeCursor>()> m_nodeCursors; ///< all live nodes with this one
    /** Called after an edit outside the lock: publishes the snapshot and spreads the batch, which may be empty. */
    std::function<void(const ConfigBatch &)> m_apply;
    std::function<void(Reason)> m_countRefusal; ///< may be empty
    std::vector<AdminCredential> m_credentials;
    std::function<void(Duration)> m_wait; ///< empty: waits on the clock; simulations advance their time here
    std::shared_ptr<std::atomic<int>> m_waiters = std::make_shared<std::atomic<int>>(0);
};

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

enum class AdminMethod : uint8_t { Get, Put, Delete };

struct AdminRequest {
    AdminMethod m_method = AdminMethod::Get;
    ObjectKind m_kind = ObjectKind::Template;
    std::string m_name; ///< empty: list or watch
    std::string m_authorization; ///< header
    std::string m_ifMatch; ///< header; "REVISION" with or without quotes
    std::map<std::string, std::string> m_query;
    std::string m_body;
};

struct AdminAnswer {
    int m_status = 200;
    nlohmann::json m_body;
    std::string m_etag; ///< revision in quotes; empty: none
};

/** Serves one request; blocks while it waits. */
AdminAnswer serveAdmin(const AdminContext &context, const AdminRequest &request);

/** JSON pointers of the members in which two objects of one kind differ, with defaults filled in. */
std::vector<std::string> differingFields(ObjectKind kind, const nlohmann::json &left, const nlohmann::json &right);

/** Nodes whose cursor is below @p revision. */
std::vector<std::string> nodesBelow(const std::vector<NodeCursor> &cursors, int64_t revision);

//-----------------------------------------------------------------------------
// [SECTION] Routes
//-----------------------------------------------------------------------------

void registerAdminRoutes(httplib::Server &server, AdminContext context);

} // namespace Medlarramp
