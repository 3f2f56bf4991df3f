#pragma once

/**
 * medlarramp net: one event loop with TCP connections, timers and HTTP/1.1 messages.
 *
 * Index of sections:
 *  [SECTION] Loop         the event loop and its clock
 *  [SECTION] Timers       one-shot timers on the loop
 *  [SECTION] Connections  TCP connections and listeners
 *  [SECTION] Messages     HTTP/1.1 heads, as read and as written
 *  [SECTION] Parsers      incremental readers of requests and answers
 *
 * Everything here belongs to the thread that runs the loop.
 */

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <http_parser.h>
#include <uv.h>

#include "core.h"

namespace Medlarramp::Serving {

//-----------------------------------------------------------------------------
// [SECTION] Loop
//-----------------------------------------------------------------------------

constexpr size_t ReadBufferBytes = 64 * 1024; ///< one buffer a loop, as readers consume what they get at once

class NetConnection;

struct NetLoop {
    uv_loop_t m_loop{};
    std::unordered_set<NetConnection *> m_connections; ///< not yet released
    std::list<NetConnection *> m_lingering; ///< close after their writes and have no owner any more; the longest such first
    Clock *m_clock = nullptr;
    std::vector<char> m_readBuffer;
};

void initLoop(NetLoop &loop, Clock &clock);
/** Runs until stopLoop(). */
void runLoop(NetLoop &loop);
void stopLoop(NetLoop &loop);
/** Closes all connections and runs until everything is released. Timers and listeners have to be gone before. */
void closeLoop(NetLoop &loop);
TimePoint loopNow(const NetLoop &loop);
/** Bytes not yet passed to the system on the connections of the loop with m_mustFlush, those that close after them included. */
size_t unflushedBytes(const NetLoop &loop);

//-----------------------------------------------------------------------------
// [SECTION] Timers
//-----------------------------------------------------------------------------

/** A timer that fires once for each start. Destroying it stops it. */
class NetTimer
{
public:
    NetTimer() = default;
    ~NetTimer();
    NetTimer(const NetTimer &) = delete;
    NetTimer &operator=(const NetTimer &) = delete;

    /** Starts or restarts. A delay below 1 ms counts as 1 ms. */
    void start(NetLoop &loop, Duration delay, std::function<void()> callback);
    void stop();
    [[nodiscard]] bool isActive() const;

private:
    struct Handle;
    Handle *m_handle = nullptr;
};

//-----------------------------------------------------------------------------
// [SECTION] Connections
//-----------------------------------------------------------------------------

struct SocketAddress {
    std::string m_host; ///< IPv4 number
    int m_port = 0;

    bool operator==(const SocketAddress &) const = default;
};

/** Parses "IP:PORT" of IPv4. */
std::optional<SocketAddress> parseSocketAddress(std::string_view text);
std::string toString(const SocketAddress &address);

struct ConnectionOptions {
    Duration m_connectTimeout = milliseconds(1000); ///< until the handshake ends
    /** Sent data that stays unacknowledged for this time ends the connection; also the limit of keep-alive probes. */
    Duration m_silenceTimeout = milliseconds(3000);
    bool m_probeIdle = true; ///< keep-alive probes each second while nothing is received
};

enum class CloseCause : uint8_t {
    End, ///< the peer finished sending, after everything written to it was passed to the system
    Reset, ///< an error, also a failed handshake or write
};

/**
 * One TCP connection. The owner keeps the pointer until it calls close() or m_onClose is called; both end the
 * object, and no callback comes after either.
 */
class NetConnection
{
public:
    std::function<void()> m_onConnect; ///< outgoing connections only
    std::function<void(std::string_view)> m_onData;
    std::function<void()> m_onWritten; ///< queued data has been passed to the system
    std::function<void(CloseCause, absl::Status)> m_onClose;
    bool m_mustFlush = false; ///< what is queued here is to be written before the process exits

    static NetConnection *connect(NetLoop &loop, const SocketAddress &address, const ConnectionOptions &options);
    static NetConnection *accept(NetLoop &loop, uv_stream_t *listener, const ConnectionOptions &options);
    /** Takes over an accepted socket. */
    static NetConnection *adopt(NetLoop &loop, int descriptor, const ConnectionOptions &options);

    /** Writes at once what the socket takes and queues the rest. */
    void write(std::string data);
    /** Ends the connection after all queued data has been written; reads nothing more. */
    void closeAfterWrites();
    void close();
    /** Time since the last segment from the peer's host, replies to keep-alive probes included; nothing when it is unknown. */
    [[nodiscard]] std::optional<Duration> heardAgo() const;
    /** Ends the connection by a reset, so that the peer can't take it for the end of an answer. */
    void resetConnection();
    [[nodiscard]] size_t queuedBytes() const;
    /** Reads nothing until resumeReading(), so that the peer can't send more than the system buffers. A close is noticed later. */
    void pauseReading();
    void resumeReading();
    [[nodiscard]] bool isReadingPaused() const;
    /** Last time at which the peer took queued bytes, as far as calls of this function tell; now if there are none. */
    TimePoint observeWrites();

private:
    explicit NetConnection(NetLoop &loop);
    ~NetConnection();
    void startReading();
    void applyOptions();
    void finish(CloseCause cause, absl::Status status);
    [[nodiscard]] int endError() const;
    void flushPending();
    void shutdownWhenDrained();
    static void onAlloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);
    static void onRead(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer);

    NetLoop *m_netLoop;
    uv_tcp_t m_tcp{};
    uv_connect_t m_connectRequest{};
    ConnectionOptions m_options;
    NetTimer m_connectTimer;
    std::string m_pending; ///< written before the handshake ended
    size_t m_queued = 0; ///< bytes in write requests
    bool m_writeFailed = false; ///< a write took the error of the socket, which the read side then no longer sees
    bool m_connected = false;
    bool m_closing = false;
    bool m_closeAfterWrites = false;
    bool m_discards = false; ///< received bytes are dropped
    bool m_isPaused = false;
    bool m_isLingering = false;
    size_t m_unsent = 0; ///< bytes not yet passed to the system at the last call of observeWrites()
    TimePoint m_writtenAt;
};

class NetListener
{
public:
    NetListener() = default;
    ~NetListener();
    NetListener(const NetListener &) = delete;
    NetListener &operator=(const NetListener &) = delete;

    /** Errors: the address is in use or not local. */
    absl::Status
    listen(NetLoop &loop, const SocketAddress &address, const ConnectionOptions &options, std::function<void(NetConnection *)> onAccept);
    /** The port listened on, also when port 0 asked for any. */
    [[nodiscard]] int port() const;
    [[nodiscard]] bool isOpen() const;
    void close();
    /**
     * Ends the handshakes that are under way, accepts their connections and closes, so that none is reset unread. Until then new
     * handshakes get no answer; their callers are refused when they try again, on Linux after 1 s.
     */
    void closeAfterPending();

private:
    void acceptPending();

    struct Handle;
    Handle *m_handle = nullptr;
    NetTimer m_closeTimer;
};

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

struct HttpHeader {
    std::string m_name;
    std::string m_value;

    bool operator==(const HttpHeader &) const = default;
};

using HttpHeaders = std::vector<HttpHeader>;

/** Memory that the fields occupy, which for short ones is many times their bytes. */
size_t occupiedBytes(const HttpHeaders &headers);

bool equalHeaderNames(std::string_view left, std::string_view right);
/** Value of the first header of that name; nothing when absent. */
std::optional<std::string_view> findHeader(const HttpHeaders &headers, std::string_view name);
/** Headers that concern one connection only (RFC 9110, 7.6.1), and those that carry the framing. */
bool isHopByHop(std::string_view name);
/** Names listed in the Connection header. */
std::vector<std::string> connectionTokens(const HttpHeaders &headers);

struct HttpRequest {
    std::string m_method;
    std::string m_target; ///< path and query as received
    HttpHeaders m_headers;
    std::string m_body;
    bool m_keepAlive = true;
};

/** Head of a request with Content-Length where the method has a body or one is given. */
std::string formatRequest(const std::string &method, const std::string &target, const HttpHeaders &headers, std::string_view body);
std::string formatAnswer(int status, const HttpHeaders &headers, std::string_view body, bool keepAlive);
/** Head of an answer whose body of @p bodyBytes follows. */
std::string formatAnswerHead(int status, const HttpHeaders &headers, size_t bodyBytes, bool keepAlive);
/** Head of an answer whose body follows in chunks. */
std::string formatChunkedHead(int status, const HttpHeaders &headers, bool keepAlive);
std::string formatChunk(std::string_view data);
constexpr std::string_view LastChunk = "0\r\n\r\n";

//-----------------------------------------------------------------------------
// [SECTION] Parsers
//-----------------------------------------------------------------------------

enum class ParseState : uint8_t {
    Head, ///< the head is not complete
    Body,
    Done,
    Failed, ///< the bytes are no message
    HeadTooLarge,
    BodyTooLarge,
};

/** Incremental reader of one HTTP/1.1 message after the other. */
class HttpReader
{
public:
    /** @param maxBodyBytes of a body that is not taken meanwhile */
    HttpReader(http_parser_type type, size_t maxHeadBytes, size_t maxBodyBytes);
    HttpReader(const HttpReader &) = delete;
    HttpReader &operator=(const HttpReader &) = delete;

    /** Feeds bytes until they end or a message is done. @return the number of bytes used. */
    size_t feed(std::string_view data);
    /** The peer has finished sending. Completes a message that is framed by the end of the connection. */
    void feedEnd();
    /** Prepares for the next message on the connection. */
    void reset();
    void setLimits(size_t maxHeadBytes, size_t maxBodyBytes);
    /** Memory that the message occupies as far as it was read. */
    [[nodiscard]] size_t occupiedBytes() const;

    ParseState m_state = ParseState::Head;
    bool m_started = false; ///< at least one byte of the message was read
    bool m_framed = false; ///< the message has a length or chunks
    int m_status = 0;
    std::string m_method;
    std::string m_target;
    HttpHeaders m_headers;
    std::string m_body; ///< the part not yet taken by the user
    bool m_keepAlive = true;
    bool m_expectContinue = false;

private:
    static int onUrl(http_parser *parser, const char *data, size_t length);
    static int onField(http_parser *parser, const char *data, size_t length);
    static int onValue(http_parser *parser, const char *data, size_t length);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *data, size_t length);
    static int onMessageComplete(http_parser *parser);
    bool countHead(size_t bytes);

    http_parser m_parser{};
    http_parser_settings m_settings{};
    http_parser_type m_type;
    size_t m_maxHeadBytes;
    size_t m_maxBodyBytes;
    size_t m_headBytes = 0;
    bool m_lastWasValue = true;
};

} // namespace Medlarramp::Serving
