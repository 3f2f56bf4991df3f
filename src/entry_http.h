#pragma once

/**
 * Internal header of the entry library: the HTTP surface for callers.
 *
 * Sources: HTTP semantics RFC 9110; server-sent events, HTML Living Standard; problem members are documented in
 * docs/api.md.
 */

#include <deque>

#include <httplib.h>

#include "entry.h"
#include "entry_batch.h"

namespace Medlarramp {

/** Runs connections on a bounded number of threads; accepting waits while all are busy and the queue is full. */
class BoundedTaskQueue : public httplib::TaskQueue
{
public:
    BoundedTaskQueue(size_t threads, size_t maxQueued);
    ~BoundedTaskQueue() override;
    void enqueue(std::function<void()> task) override;
    void shutdown() override;

private:
    void work();

    std::mutex m_mutex;
    std::condition_variable m_hasTask;
    std::condition_variable m_hasRoom;
    std::deque<std::function<void()>> m_tasks; ///< in order of arrival
    std::vector<std::thread> m_threads;
    size_t m_maxQueued = 0;
    bool m_stopped = false;
};

/** HTTP status of an ended request. */
int httpStatus(Outcome outcome, Reason reason);
/** Body of a refusal or failure. */
nlohmann::json errorBody(Outcome outcome, Reason reason, const Findings &findings, std::optional<Duration> retryAfter);
void answerError(httplib::Response &response, Outcome outcome, Reason reason, const Findings &findings = {});

/** The organisation of the request's key; answers 401 and returns null when there is none. */
std::shared_ptr<const Organisation>
authenticate(Blackboard &board, const Configuration &configuration, const httplib::Request &request, httplib::Response &response);

/** Parses and checks a request up to its acceptance; answers the error and returns nothing when it is refused. */
std::optional<AcceptedRequest> acceptRequest(Blackboard &board, const httplib::Request &request, httplib::Response &response);

/** Settings of a listener: bounds, timeouts, TCP_NODELAY. */
void configureServer(httplib::Server &server, const Settings &settings);
/** Routes for callers, health, readiness and metrics. */
void registerCallerRoutes(httplib::Server &server, Blackboard &board);
/** Routes for batch jobs. */
void registerJobRoutes(httplib::Server &server, Blackboard &board, BatchService &service);

} // namespace Medlarramp
