#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <limits>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fmt/format.h>

#include "net.h"

namespace Medlarramp::Serving {

namespace {

constexpr int ListenBacklog = 1024; ///< connections; a full queue delays a caller by seconds
constexpr int ProbeSeconds = 1; ///< the smallest idle time and interval that the kernel takes
constexpr int MinProbes = 2;
constexpr Duration HandshakeTime = milliseconds(50); ///< from the answer to a handshake to its last packet, within a region

absl::Status toStatus(int code, std::string_view what)
{
    return absl::UnavailableError(fmt::format("{}: {}", what, uv_strerror(code)));
}

/** The error that waits on the socket, as a negative number; 0 when there is none. */
int pendingError(const uv_tcp_t &tcp)
{
    uv_os_fd_t descriptor = -1;
    int error = 0;
    socklen_t size = sizeof error;
    if (uv_fileno(reinterpret_cast<const uv_handle_t *>(&tcp), &descriptor) != 0) {
        return UV_EBADF;
    }
    return getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? -error : UV_EBADF;
}

/** Drops the packets that ask @p listening for a connection. Those of handshakes under way still arrive. */
void ignoreHandshakes(int listening)
{
    constexpr uint32_t FlagsOffset = 13; // in the TCP header, with which the data of the filter begins
    constexpr uint32_t WholePacket = std::numeric_limits<uint32_t>::max();
    std::array<sock_filter, 4> instructions = {{BPF_STMT(BPF_LD | BPF_B | BPF_ABS, FlagsOffset),
                                                BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, TH_SYN, 0, 1),
                                                BPF_STMT(BPF_RET | BPF_K, 0),
                                                BPF_STMT(BPF_RET | BPF_K, WholePacket)}};
    const sock_fprog filter{instructions.size(), instructions.data()};
    if (setsockopt(listening, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter) != 0) {
        writeLog(LogLevel::Warning, "net", "Handshakes can't be ignored; closing may reset some.", {{"error", std::strerror(errno)}});
    }
}

} // namespace

void initLoop(NetLoop &loop, Clock &clock)
{
    uv_loop_init(&loop.m_loop);
    loop.m_clock = &clock;
    loop.m_readBuffer.resize(ReadBufferBytes);
    loop.m_loop.data = &loop;
}

void runLoop(NetLoop &loop)
{
    uv_run(&loop.m_loop, UV_RUN_DEFAULT);
}

void stopLoop(NetLoop &loop)
{
    uv_stop(&loop.m_loop);
}

void closeLoop(NetLoop &loop)
{
    const std::vector<NetConnection *> open(loop.m_connections.begin(), loop.m_connections.end());
    for (NetConnection *connection : open) {
        connection->close();
    }
    uv_run(&loop.m_loop, UV_RUN_DEFAULT);
    if (uv_loop_close(&loop.m_loop) != 0) {
        writeLog(LogLevel::Warning, "net", "Loop closed with open handles.");
    }
}

size_t unflushedBytes(const NetLoop &loop)
{
    size_t bytes = 0;
    for (const NetConnection *connection : loop.m_connections) {
        bytes += connection->m_mustFlush ? connection->queuedBytes() : 0;
    }
    return bytes;
}

TimePoint loopNow(const NetLoop &loop)
{
    return now(*loop.m_clock);
}

//-----------------------------------------------------------------------------
// Timers
//-----------------------------------------------------------------------------

struct NetTimer::Handle {
    uv_timer_t m_timer{};
    std::function<void()> m_callback;
};

NetTimer::~NetTimer()
{
    if (m_handle == nullptr) {
        return;
    }
    uv_timer_stop(&m_handle->m_timer);
    uv_close(reinterpret_cast<uv_handle_t *>(&m_handle->m_timer), [](uv_handle_t *handle) { delete static_cast<Handle *>(handle->data); });
}

void NetTimer::start(NetLoop &loop, Duration delay, std::function<void()> callback)
{
    if (m_handle == nullptr) {
        m_handle = new Handle;
        uv_timer_init(&loop.m_loop, &m_handle->m_timer);
        m_handle->m_timer.data = m_handle;
    }
    m_handle->m_callback = std::move(callback);
    const int64_t delayMs = std::max<int64_t>(1, std::chrono::ceil<milliseconds>(delay).count());
    uv_update_time(&loop.m_loop);
    uv_timer_start(
        &m_handle->m_timer,
        [](uv_timer_t *timer) {
            // The callback may destroy or restart the timer; its copy outlives that.
            const std::function<void()> run = std::move(static_cast<Handle *>(timer->data)->m_callback);
            run();
        },
        static_cast<uint64_t>(delayMs),
        0);
}

void NetTimer::stop()
{
    if (m_handle != nullptr) {
        uv_timer_stop(&m_handle->m_timer);
    }
}

bool NetTimer::isActive() const
{
    return m_handle != nullptr && uv_is_active(reinterpret_cast<const uv_handle_t *>(&m_handle->m_timer)) != 0;
}

//-----------------------------------------------------------------------------
// Connections
//-----------------------------------------------------------------------------

std::optional<SocketAddress> parseSocketAddress(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    SocketAddress address{std::string(text.substr(0, colon)), 0};
    const std::string_view port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.m_port);
    sockaddr_in probe{};
    if (error != std::errc() || end != port.data() + port.size() || address.m_port <= 0 || address.m_port > 65535
        || uv_ip4_addr(address.m_host.c_str(), address.m_port, &probe) != 0) {
        return std::nullopt;
    }
    return address;
}

std::string toString(const SocketAddress &address)
{
    return fmt::format("{}:{}", address.m_host, address.m_port);
}

NetConnection::NetConnection(NetLoop &loop) : m_netLoop(&loop)
{
    uv_tcp_init(&loop.m_loop, &m_tcp);
    m_tcp.data = this;
    loop.m_connections.insert(this);
}

NetConnection::~NetConnection()
{
    m_netLoop->m_connections.erase(this);
}

NetConnection *NetConnection::connect(NetLoop &loop, const SocketAddress &address, const ConnectionOptions &options)
{
    auto *connection = new NetConnection(loop);
    connection->m_options = options;
    sockaddr_in target{};
    uv_ip4_addr(address.m_host.c_str(), address.m_port, &target);
    connection->m_connectRequest.data = connection;
    const int code = uv_tcp_connect(&connection->m_connectRequest,
                                    &connection->m_tcp,
                                    reinterpret_cast<const sockaddr *>(&target),
                                    [](uv_connect_t *request, int status) {
                                        auto *self = static_cast<NetConnection *>(request->data);
                                        if (self->m_closing) {
                                            return;
                                        }
                                        if (status != 0) {
                                            self->finish(CloseCause::Reset, toStatus(status, "connect"));
                                            return;
                                        }
                                        self->m_connected = true;
                                        self->m_connectTimer.stop();
                                        self->applyOptions();
                                        self->startReading();
                                        self->flushPending();
                                        const std::function<void()> callback = std::move(self->m_onConnect);
                                        if (callback && !self->m_closing) {
                                            callback();
                                        }
                                    });
    // A failure here is reported from the timer, so that callers never get a callback inside connect().
    connection->m_connectTimer.start(loop, code == 0 ? options.m_connectTimeout : Duration(0), [connection, code] {
        connection->finish(CloseCause::Reset, code == 0 ? absl::DeadlineExceededError("connect timed out") : toStatus(code, "connect"));
    });
    return connection;
}

NetConnection *NetConnection::accept(NetLoop &loop, uv_stream_t *listener, const ConnectionOptions &options)
{
    auto *connection = new NetConnection(loop);
    connection->m_options = options;
    if (uv_accept(listener, reinterpret_cast<uv_stream_t *>(&connection->m_tcp)) != 0) {
        connection->close();
        return nullptr;
    }
    connection->m_connected = true;
    connection->applyOptions();
    connection->startReading();
    return connection;
}

NetConnection *NetConnection::adopt(NetLoop &loop, int descriptor, const ConnectionOptions &options)
{
    auto *connection = new NetConnection(loop);
    connection->m_options = options;
    if (uv_tcp_open(&connection->m_tcp, descriptor) != 0) {
        ::close(descriptor);
        connection->close();
        return nullptr;
    }
    connection->m_connected = true;
    connection->applyOptions();
    connection->startReading();
    return connection;
}

void NetConnection::applyOptions()
{
    uv_tcp_nodelay(&m_tcp, 1);
    uv_os_fd_t descriptor = -1;
    if (uv_fileno(reinterpret_cast<const uv_handle_t *>(&m_tcp), &descriptor) != 0) {
        return;
    }
    const auto silence = static_cast<unsigned>(std::chrono::ceil<milliseconds>(m_options.m_silenceTimeout).count());
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &silence, sizeof silence);
    if (!m_options.m_probeIdle) {
        return;
    }
    const int enable = 1;
    const int probes = std::max(MinProbes, static_cast<int>(silence / 1000) - ProbeSeconds);
    setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &enable, sizeof enable);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &ProbeSeconds, sizeof ProbeSeconds);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &ProbeSeconds, sizeof ProbeSeconds);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

void NetConnection::startReading()
{
    if (!m_isPaused) {
        uv_read_start(reinterpret_cast<uv_stream_t *>(&m_tcp), onAlloc, onRead);
    }
}

void NetConnection::pauseReading()
{
    m_isPaused = true;
    uv_read_stop(reinterpret_cast<uv_stream_t *>(&m_tcp));
}

void NetConnection::resumeReading()
{
    if (m_isPaused && !m_closing) {
        m_isPaused = false;
        if (m_connected) {
            startReading();
        }
    }
}

bool NetConnection::isReadingPaused() const
{
    return m_isPaused;
}

TimePoint NetConnection::observeWrites()
{
    const size_t unsent = uv_stream_get_write_queue_size(reinterpret_cast<const uv_stream_t *>(&m_tcp));
    if (unsent == 0 || unsent < m_unsent || m_unsent == 0) {
        m_writtenAt = loopNow(*m_netLoop);
    }
    m_unsent = unsent;
    return m_writtenAt;
}

void NetConnection::onAlloc(uv_handle_t *handle, size_t /*suggested*/, uv_buf_t *buffer)
{
    std::vector<char> &shared = static_cast<NetConnection *>(handle->data)->m_netLoop->m_readBuffer;
    *buffer = uv_buf_init(shared.data(), static_cast<unsigned>(shared.size()));
}

void NetConnection::onRead(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
    auto *self = static_cast<NetConnection *>(stream->data);
    if (count == 0) {
        return;
    }
    if (count < 0) {
        const int error = count == UV_EOF ? self->endError() : static_cast<int>(count);
        self->finish(error == 0 ? CloseCause::End : CloseCause::Reset, error == 0 ? absl::OkStatus() : toStatus(error, "read"));
        return;
    }
    if (self->m_onData && !self->m_discards) {
        self->m_onData(std::string_view(buffer->base, static_cast<size_t>(count)));
    }
}

/**
 * The error that the end of the received stream stands for; 0 for an orderly end. libuv reports the end also after a reset, when
 * the poll says that the peer hung up or when a failed write took the error. A peer that ends while data is still queued has
 * not read all of it, so what it sent may have been cut.
 */
int NetConnection::endError() const
{
    const int error = pendingError(m_tcp);
    return error == 0 && (m_writeFailed || m_queued > 0) ? UV_ECONNRESET : error;
}

void NetConnection::flushPending()
{
    if (!m_pending.empty()) {
        write(std::exchange(m_pending, std::string()));
    }
    shutdownWhenDrained();
}

void NetConnection::write(std::string data)
{
    if (m_closing || data.empty()) {
        return;
    }
    if (!m_connected) {
        m_pending += data;
        return;
    }
    auto *stream = reinterpret_cast<uv_stream_t *>(&m_tcp);
    size_t written = 0;
    if (m_queued == 0) {
        uv_buf_t buffer = uv_buf_init(data.data(), static_cast<unsigned>(data.size()));
        const int result = uv_try_write(stream, &buffer, 1);
        // The read side ends the connection after an error.
        m_writeFailed = m_writeFailed || (result < 0 && result != UV_EAGAIN);
        written = result > 0 ? static_cast<size_t>(result) : 0;
    }
    if (written == data.size()) {
        return;
    }
    struct Write {
        uv_write_t m_request{};
        std::string m_data;
        size_t m_size = 0; ///< memory that it occupies
    };
    // A small rest is copied, so that it doesn't keep a large buffer; a large one is not, as both would be held for a moment.
    const bool isCopied = data.size() - written < data.size() / 2;
    const size_t offset = isCopied ? 0 : written;
    auto *pending = new Write{{}, isCopied ? data.substr(written) : std::move(data), 0};
    pending->m_size = pending->m_data.size() + sizeof(Write);
    pending->m_request.data = pending;
    m_queued += pending->m_size;
    uv_buf_t buffer = uv_buf_init(pending->m_data.data() + offset, static_cast<unsigned>(pending->m_data.size() - offset));
    const int code = uv_write(&pending->m_request, stream, &buffer, 1, [](uv_write_t *request, int status) {
        const std::unique_ptr<Write> done(static_cast<Write *>(request->data));
        auto *self = static_cast<NetConnection *>(request->handle->data);
        self->m_queued -= done->m_size;
        self->m_writeFailed = self->m_writeFailed || status != 0;
        if (status != 0 && self->m_isPaused) {
            // The read side, which reports errors otherwise, is switched off.
            self->finish(CloseCause::Reset, toStatus(status, "write"));
            return;
        }
        self->shutdownWhenDrained();
        if (self->m_onWritten && !self->m_closing && !self->m_discards) {
            self->m_onWritten();
        }
    });
    if (code != 0) {
        m_writeFailed = true;
        m_queued -= pending->m_size;
        delete pending;
    }
}

void NetConnection::closeAfterWrites()
{
    // m_onData may be on the stack, so it is only switched off.
    m_closeAfterWrites = true;
    m_discards = true;
    m_onClose = nullptr;
    if (!m_closing && !m_isLingering) {
        m_isLingering = true;
        m_netLoop->m_lingering.push_back(this);
    }
    resumeReading();
    shutdownWhenDrained();
}

void NetConnection::shutdownWhenDrained()
{
    if (!m_closeAfterWrites || m_closing || !m_connected || m_queued > 0) {
        return;
    }
    // Reading goes on until the peer closes: closing with unread bytes would reset the connection under the answer.
    m_closeAfterWrites = false;
    auto *request = new uv_shutdown_t{};
    request->data = this;
    const int code =
        uv_shutdown(request, reinterpret_cast<uv_stream_t *>(&m_tcp), [](uv_shutdown_t *done, int /*status*/) { delete done; });
    if (code != 0) {
        delete request;
        close();
        return;
    }
    constexpr Duration Linger = seconds(2); // time for the peer to read the answer and to close
    m_connectTimer.start(*m_netLoop, Linger, [this] { close(); });
}

size_t NetConnection::queuedBytes() const
{
    return m_queued + m_pending.size();
}

std::optional<Duration> NetConnection::heardAgo() const
{
    uv_os_fd_t descriptor = -1;
    tcp_info info{};
    socklen_t size = sizeof info;
    if (!m_connected || uv_fileno(reinterpret_cast<const uv_handle_t *>(&m_tcp), &descriptor) != 0
        || getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return std::nullopt;
    }
    return milliseconds(info.tcpi_last_ack_recv);
}

void NetConnection::finish(CloseCause cause, absl::Status status)
{
    if (m_closing) {
        return;
    }
    const auto callback = std::move(m_onClose);
    close();
    if (callback) {
        callback(cause, std::move(status));
    }
}

void NetConnection::resetConnection()
{
    uv_os_fd_t descriptor = -1;
    if (uv_fileno(reinterpret_cast<const uv_handle_t *>(&m_tcp), &descriptor) == 0) {
        const linger discard{1, 0};
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
    }
    close();
}

void NetConnection::close()
{
    if (m_closing) {
        return;
    }
    m_closing = true;
    if (std::exchange(m_isLingering, false)) {
        m_netLoop->m_lingering.remove(this);
    }
    m_connectTimer.stop();
    m_onClose = nullptr;
    m_onConnect = nullptr;
    // m_onData may be on the stack; it is released with the object.
    uv_read_stop(reinterpret_cast<uv_stream_t *>(&m_tcp));
    uv_close(reinterpret_cast<uv_handle_t *>(&m_tcp), [](uv_handle_t *handle) { delete static_cast<NetConnection *>(handle->data); });
}

struct NetListener::Handle {
    uv_tcp_t m_tcp{};
    NetLoop *m_netLoop = nullptr;
    ConnectionOptions m_options;
    std::function<void(NetConnection *)> m_onAccept;
};

NetListener::~NetListener()
{
    close();
}

absl::Status NetListener::listen(NetLoop &loop,
                                 const SocketAddress &address,
                                 const ConnectionOptions &options,
                                 std::function<void(NetConnection *)> onAccept)
{
    m_handle = new Handle{{}, &loop, options, std::move(onAccept)};
    uv_tcp_init(&loop.m_loop, &m_handle->m_tcp);
    m_handle->m_tcp.data = m_handle;
    sockaddr_in local{};
    int code = uv_ip4_addr(address.m_host.c_str(), address.m_port, &local);
    if (code == 0) {
        code = uv_tcp_bind(&m_handle->m_tcp, reinterpret_cast<const sockaddr *>(&local), 0);
    }
    if (code == 0) {
        code = uv_listen(reinterpret_cast<uv_stream_t *>(&m_handle->m_tcp), ListenBacklog, [](uv_stream_t *stream, int status) {
            auto *handle = static_cast<Handle *>(stream->data);
            if (status != 0) {
                writeLog(LogLevel::Warning, "net", "Accept failed.", {{"error", uv_strerror(status)}});
                return;
            }
            if (NetConnection *connection = NetConnection::accept(*handle->m_netLoop, stream, handle->m_options)) {
                handle->m_onAccept(connection);
            }
        });
    }
    if (code != 0) {
        close();
        return toStatus(code, "listen on " + toString(address));
    }
    return absl::OkStatus();
}

int NetListener::port() const
{
    sockaddr_in local{};
    int size = sizeof local;
    if (m_handle == nullptr || uv_tcp_getsockname(&m_handle->m_tcp, reinterpret_cast<sockaddr *>(&local), &size) != 0) {
        return 0;
    }
    return ntohs(local.sin_port);
}

bool NetListener::isOpen() const
{
    return m_handle != nullptr;
}

void NetListener::closeAfterPending()
{
    uv_os_fd_t listening = -1;
    if (m_handle == nullptr || m_closeTimer.isActive()
        || uv_fileno(reinterpret_cast<const uv_handle_t *>(&m_handle->m_tcp), &listening) != 0) {
        return;
    }
    ignoreHandshakes(listening);
    m_closeTimer.start(*m_handle->m_netLoop, HandshakeTime, [this] {
        acceptPending();
        close();
    });
}

void NetListener::acceptPending()
{
    uv_os_fd_t listening = -1;
    if (uv_fileno(reinterpret_cast<const uv_handle_t *>(&m_handle->m_tcp), &listening) != 0) {
        return;
    }
    for (int accepted = 0; (accepted = accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
        if (NetConnection *connection = NetConnection::adopt(*m_handle->m_netLoop, accepted, m_handle->m_options)) {
            m_handle->m_onAccept(connection);
        }
    }
}

void NetListener::close()
{
    if (m_handle == nullptr) {
        return;
    }
    m_closeTimer.stop();
    uv_close(reinterpret_cast<uv_handle_t *>(&m_handle->m_tcp), [](uv_handle_t *handle) { delete static_cast<Handle *>(handle->data); });
    m_handle = nullptr;
}

} // namespace Medlarramp::Serving
