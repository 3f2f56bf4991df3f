#pragma once

/**
 * Parts of the stand-ins that are not public.
 *
 * Index of sections:
 *  [SECTION] Server      HTTP server whose connections can be dropped and silenced
 *  [SECTION] Requests    steps that all stand-ins share
 *  [SECTION] Slots       bounded concurrency with a queue
 */

#include <set>
#include <thread>

#include <httplib.h>

#include "standins.h"

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] Server
//-----------------------------------------------------------------------------

/** One accepted connection. */
struct ServerConnection {
    int m_descriptor = -1;
    std::atomic<bool> m_silent = false;
};

/**
 * Server that knows its connections. The library's own connection loop closes after a few requests and offers no way to
 * drop a connection in mid-answer, so this class replaces it.
 */
class StandinServer : public httplib::Server
{
public:
    StandinServer();
    /** The library's backlog of 5 drops the SYNs of a burst, which are sent again only after 1 s. */
    void raiseBacklog();
    /** Closes a socket that was bound but does not accept yet. */
    void closeListener();

    Clock m_clock;
    std::mutex m_mutex; ///< guards the members below
    std::condition_variable m_changed; ///< counts, faults or the listener changed
    FaultPlan m_faults;
    StandinCounts m_counts;
    std::set<ServerConnection *> m_connections;
    bool m_up = false; ///< listening
    bool m_stopped = true;
    TimePoint m_downUntil;
    std::thread m_listener;

private:
    bool process_and_close_socket(int descriptor) override; // NOLINT(readability-identifier-naming): name given by the library
};

absl::Status startServer(HttpStandin &standin, int port);
void stopServer(HttpStandin &standin);

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

FaultPlan faults(StandinServer &server);
/** Waits while the caller of this thread's request stays. @return false when it left or the server went down. */
bool pauseRequest(Duration duration);
/** True when the caller of this thread's request left or the server went down. */
bool isCallerGone();
/** Closes the connection of this thread's request. */
void dropConnection();

/** Counts a request and applies the faults that come before it runs. @return whether it shall go on. */
bool receiveRequest(StandinServer &server, httplib::Response &response);
/** Counts a run and applies the faults of a running request. @return whether it shall go on. */
bool beginRun(StandinServer &server, const httplib::Request &request);
void refuse(StandinServer &server, httplib::Response &response, int status);
void addCancelled(StandinServer &server);
void addCompleted(StandinServer &server);
/** Sends a JSON answer, or a part of it when the fault plan says so. */
void answer(StandinServer &server, httplib::Response &response, const nlohmann::json &value);
void setLoadHeader(httplib::Response &response, size_t running, size_t waiting);
std::optional<nlohmann::json> parseBody(const httplib::Request &request);

//-----------------------------------------------------------------------------
// [SECTION] Slots
//-----------------------------------------------------------------------------

/** Concurrency bound. Waiting requests are served by priority (lower first), then by arrival. */
struct ServiceSlots {
    std::mutex m_mutex;
    std::condition_variable m_changed;
    size_t m_running = 0;
    uint64_t m_arrivals = 0;
    std::set<std::pair<int64_t, uint64_t>> m_waiting; ///< priority, arrival
};

/** Waits for a slot. @return false when the caller left meanwhile. */
bool acquireSlot(ServiceSlots &slots, size_t maxRunning, int64_t priority);
void releaseSlot(ServiceSlots &slots);
std::pair<size_t, size_t> slotLoad(ServiceSlots &slots); ///< running, waiting

/** Runs one request that is not a stream: slot, service time, answer made by @p run. */
struct UnaryService {
    StandinServer &m_server;
    ServiceSlots &m_slots;
    Duration m_serviceTime;
    size_t m_maxRunning;
    size_t m_maxWaiting;
    bool m_reportsLoad;
    bool m_refusesRepeats;
};
void serveUnary(const UnaryService &service,
                const httplib::Request &request,
                httplib::Response &response,
                const std::function<nlohmann::json()> &run);

} // namespace Medlarramp
