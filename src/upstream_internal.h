#pragma once

/**
 * Parts of the upstream clients that are not public.
 *
 * Index of sections:
 *  [SECTION] Wire          requests and answers as bytes
 *  [SECTION] Connections   the pool of one address
 *  [SECTION] Watch         interruption of running attempts
 */

#include <map>
#include <thread>

#include <httplib.h>

#include "upstream.h"

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] Wire
//-----------------------------------------------------------------------------

/** An attempt as an HTTP request. */
struct WireRequest {
    std::string m_path;
    httplib::Headers m_headers;
    std::string m_body;
};

/** Nothing when a header value holds control characters, which would allow request splitting. */
std::optional<WireRequest> encodeRequest(const AttemptRequest &request, Duration timeLeft);
/** Identifier of one attempt on the wire: "<request>/<stage>/<attempt>". */
std::string attemptIdentifier(const AttemptRequest &request);
/** Parses an Open Inference Protocol answer; false when it is malformed or belongs to another attempt. */
bool decodeInference(const std::string &body, const AttemptRequest &request, nlohmann::json &output);
/** Parses a plain service's answer. An empty body reads as null. */
bool decodeCall(const std::string &body, nlohmann::json &output);
std::optional<Duration> decodeRetryAfter(const std::string &value);
std::optional<LoadReport> decodeLoad(const std::string &value, TimePoint now);

/** Reads a completions stream as it arrives. */
struct StreamReader {
    std::string m_line; ///< unfinished line
    bool m_done = false; ///< final marker seen
    bool m_malformed = false; ///< event that is no token, an error event, or a line above the bound
    uint64_t m_events = 0;
    int64_t m_reportedTokens = -1; ///< from the usage member; -1: none
};

/** Adds bytes to the reader. @return the text of the events that they complete. */
std::vector<std::string> readStream(StreamReader &reader, std::string_view data, size_t maxEventBytes);

//-----------------------------------------------------------------------------
// [SECTION] Connections
//-----------------------------------------------------------------------------

/** One HTTP connection. Used by one attempt at a time. */
struct Connection {
    explicit Connection(const Address &address);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    httplib::Client m_client;
    std::mutex m_mutex; ///< guards m_descriptor
    int m_descriptor = -1; ///< duplicate of the socket, so that an interruption never hits a descriptor used anew
    std::atomic<bool> m_created = false; ///< a socket was created for the current attempt
    TimePoint m_openedAt;
    TimePoint m_idleSince;
};

/** Ends both directions of the socket; a blocked read or connect returns at once. */
void interruptConnection(Connection &connection);
/** True when nothing was received and the peer has not closed. Unasked bytes would be read as the next answer. */
bool isQuiet(Connection &connection);

struct AddressPool {
    std::vector<std::unique_ptr<Connection>> m_idle; ///< the most recently used last
    size_t m_inUse = 0;
    std::optional<TimePoint> m_distrustedBefore;
};

//-----------------------------------------------------------------------------
// [SECTION] Watch
//-----------------------------------------------------------------------------

enum class Interruption : uint8_t { None, Cancelled, Deadline, Silence, NoProgress, AfterEnd };

/** A running attempt as the watching thread sees it. */
struct WatchedAttempt {
    Connection *m_connection = nullptr;
    const CancelToken *m_token = nullptr;
    const Clock *m_clock = nullptr;
    TimePoint m_deadline;
    bool m_stream = false;
    std::atomic<TimePoint> m_lastByte; ///< start of the attempt before the first byte
    std::atomic<TimePoint> m_lastEvent; ///< start of the attempt before the first event
    std::atomic<bool> m_hasEvent = false;
    std::atomic<bool> m_done = false; ///< the final marker was read
    std::atomic<Interruption> m_interruption = Interruption::None;
};

/** How long a finished stream may take to end its HTTP answer before its connection is given up. */
constexpr milliseconds EndOfAnswerLimit{100};

/** Decides whether an attempt must be interrupted. */
Interruption interruptionOf(const WatchedAttempt &attempt, const ConnectionSettings &settings, TimePoint now);

struct ConnectionPoolsState {
    ConnectionSettings m_settings;
    std::mutex m_mutex; ///< guards the pools and counts; held for map operations only
    std::map<Address, AddressPool> m_pools;
    ConnectionCounts m_counts;
    std::mutex m_watchMutex; ///< guards the members below
    std::condition_variable m_watchCondition;
    std::vector<WatchedAttempt *> m_watched;
    const Clock *m_clock = nullptr; ///< of the client made first
    bool m_stopped = false;
    std::thread m_thread;
};

/** An idle or a new connection; null above the bound of open connections. */
std::unique_ptr<Connection> acquireConnection(ConnectionPoolsState &state, const Address &address, Duration maxIdleAge, TimePoint now);
/** Takes a connection back. Keeps it only when it is open, trusted and below the bounds. */
void releaseConnection(ConnectionPoolsState &state,
                       const Address &address,
                       std::unique_ptr<Connection> connection,
                       bool reused,
                       TimePoint now);
/** Drops all idle connections opened before @p before, and the others when they are released. */
void distrustConnections(ConnectionPoolsState &state, const Address &address, TimePoint before);
void startWatch(ConnectionPoolsState &state, const Clock &clock);
void watch(ConnectionPoolsState &state, WatchedAttempt &attempt);
void unwatch(ConnectionPoolsState &state, WatchedAttempt &attempt);

} // namespace Medlarramp
