#include "cluster_internal.h"

#include <algorithm>
#include <cerrno>
#include <condition_variable>
#include <cstring>
#include <list>
#include <set>
#include <thread>

#include <absl/status/status.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netdb.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Medlarramp {

namespace {

constexpr milliseconds PollInterval{10}; ///< longest wait for a socket before the clock is read again
constexpr milliseconds ViewInterval{500}; ///< between publications of a view that only changed in its cursors
constexpr size_t DatagramsPerTurn = 256; ///< handled before the next tick is looked at
constexpr seconds ReuseTime{5}; ///< a kept connection is not used later; shorter than IdleConnectionTime of its peer
constexpr size_t MaxBufferedFrameBytes = 32 * 1024 * 1024; ///< received by all connections and not yet handled
constexpr size_t ReadChunkBytes = 64 * 1024;
constexpr int ListenBacklog = 128;
constexpr int PortAttempts = 16; ///< to find a port that is free for both protocols

/** Owns a file descriptor. */
struct Socket {
    int m_fd = -1;

    Socket() = default;
    explicit Socket(int fd) : m_fd(fd)
    {
    }
    Socket(Socket &&other) noexcept : m_fd(std::exchange(other.m_fd, -1))
    {
    }
    Socket &operator=(Socket &&other) noexcept
    {
        std::swap(m_fd, other.m_fd);
        return *this;
    }
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;
    ~Socket()
    {
        if (m_fd >= 0) {
            close(m_fd);
        }
    }
};

struct IdleConnection {
    Socket m_socket;
    TimePoint m_since{};
};

struct OutgoingFrame {
    Address m_destination;
    std::string m_bytes;
};

/** An encoded message of one step. */
struct Outgoing {
    Address m_destination;
    Channel m_channel = Channel::Datagram;
    std::string m_bytes;
};

} // namespace

struct Transport {
    const Clock *m_clock = nullptr;
    TransportOptions m_options;
    Address m_address;
    Socket m_udp;
    Socket m_listener;
    std::atomic<bool> m_stopping = false;

    std::mutex m_mutex; ///< guards the state machine and its parts
    ClusterState m_state;
    Codec m_codec;
    Random m_random;

    std::mutex m_callbackMutex; ///< one callback at a time
    std::mutex m_viewMutex; ///< held from reading the state to publishing it, so that no older view replaces a newer one
    RcuPointer<MembershipView> m_view;

    std::mutex m_connectionMutex; ///< guards accepted connections
    std::condition_variable m_connectionsEnded;
    std::set<int> m_accepted;
    size_t m_connectionThreads = 0;

    std::mutex m_idleMutex;
    std::map<Address, std::vector<IdleConnection>> m_idle;
    size_t m_idleCount = 0;

    std::mutex m_frameMutex;
    std::condition_variable m_framesReady;
    std::deque<OutgoingFrame> m_frames;

    std::atomic<size_t> m_bufferedBytes = 0;
    std::atomic<uint64_t> m_lastCall = 0;
    std::atomic<uint64_t> m_messagesSent = 0;
    std::atomic<uint64_t> m_messagesReceived = 0;
    std::atomic<uint64_t> m_bytesSent = 0;
    std::atomic<uint64_t> m_bytesReceived = 0;
    std::atomic<uint64_t> m_unknownTypes = 0;
    std::array<std::atomic<uint64_t>, static_cast<size_t>(Reason::Count)> m_drops{};

    std::vector<std::thread> m_threads;
};

namespace {

//-----------------------------------------------------------------------------
// Sockets
//-----------------------------------------------------------------------------

struct SocketAddress {
    sockaddr_storage m_storage{};
    socklen_t m_length = 0;
};

std::optional<SocketAddress> resolve(const Address &address)
{
    if (address.m_port < 0 || address.m_port > 65'535) {
        return std::nullopt;
    }
    addrinfo hints{};
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
    hints.ai_family = AF_UNSPEC;
    hints.ai_socktype = SOCK_STREAM;
    addrinfo *found = nullptr;
    if (getaddrinfo(address.m_host.c_str(), std::to_string(address.m_port).c_str(), &hints, &found) != 0) {
        return std::nullopt;
    }
    SocketAddress result;
    std::memcpy(&result.m_storage, found->ai_addr, found->ai_addrlen);
    result.m_length = found->ai_addrlen;
    freeaddrinfo(found);
    return result;
}

const sockaddr *rawAddress(const SocketAddress &address)
{
    return reinterpret_cast<const sockaddr *>(&address.m_storage);
}

int boundPort(int fd)
{
    sockaddr_storage storage{};
    socklen_t length = sizeof(storage);
    if (getsockname(fd, reinterpret_cast<sockaddr *>(&storage), &length) != 0) {
        return 0;
    }
    const bool isV6 = storage.ss_family == AF_INET6;
    const uint16_t port =
        isV6 ? reinterpret_cast<sockaddr_in6 *>(&storage)->sin6_port : reinterpret_cast<sockaddr_in *>(&storage)->sin_port;
    return ntohs(port);
}

std::optional<Socket> openBound(const Address &address, int type)
{
    const auto resolved = resolve(address);
    if (!resolved) {
        return std::nullopt;
    }
    Socket opened(socket(resolved->m_storage.ss_family, type | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (opened.m_fd < 0) {
        return std::nullopt;
    }
    const int on = 1;
    if (type == SOCK_STREAM) {
        setsockopt(opened.m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    }
    if (bind(opened.m_fd, rawAddress(*resolved), resolved->m_length) != 0) {
        return std::nullopt;
    }
    if (type == SOCK_STREAM && listen(opened.m_fd, ListenBacklog) != 0) {
        return std::nullopt;
    }
    return opened;
}

bool bindBoth(Transport &transport, const Address &wanted)
{
    const int attempts = wanted.m_port == 0 ? PortAttempts : 1;
    for (int i = 0; i < attempts; ++i) {
        auto listener = openBound(wanted, SOCK_STREAM);
        if (!listener) {
            return false;
        }
        const Address chosen{wanted.m_host, boundPort(listener->m_fd)};
        if (auto udp = openBound(chosen, SOCK_DGRAM)) {
            transport.m_listener = std::move(*listener);
            transport.m_udp = std::move(*udp);
            transport.m_address = chosen;
            return true;
        }
    }
    return false;
}

/** True when the socket is ready for @p events before the deadline on the clock. */
bool waitForSocket(const Transport &transport, int fd, short events, TimePoint deadline)
{
    while (!transport.m_stopping) {
        const auto left = std::chrono::ceil<milliseconds>(deadline - now(*transport.m_clock));
        if (left <= milliseconds(0)) {
            return false;
        }
        pollfd waiting{fd, events, 0};
        const int ready = poll(&waiting, 1, static_cast<int>(std::min(left, PollInterval * 5).count()));
        if (ready > 0) {
            return true;
        }
        if (ready < 0 && errno != EINTR) {
            return false;
        }
    }
    return false;
}

bool writeAll(const Transport &transport, int fd, std::string_view bytes, TimePoint deadline)
{
    while (!bytes.empty()) {
        const ssize_t written = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (written > 0) {
            bytes.remove_prefix(static_cast<size_t>(written));
            continue;
        }
        const bool mayContinue = errno == EAGAIN || errno == EINTR;
        if (!mayContinue || !waitForSocket(transport, fd, POLLOUT, deadline)) {
            return false;
        }
    }
    return true;
}

/** Appends exactly @p count bytes. The buffer grows with what arrives, not with what was announced. */
bool readBytes(const Transport &transport, int fd, size_t count, TimePoint deadline, std::string &bytes)
{
    const size_t wanted = bytes.size() + count;
    while (bytes.size() < wanted) {
        const size_t before = bytes.size();
        const size_t chunk = std::min(wanted - before, ReadChunkBytes);
        bytes.resize(before + chunk);
        const ssize_t received = recv(fd, bytes.data() + before, chunk, MSG_DONTWAIT);
        bytes.resize(before + static_cast<size_t>(std::max<ssize_t>(received, 0)));
        if (received == 0 || (received < 0 && errno != EAGAIN && errno != EINTR)) {
            return false;
        }
        if (received < 0 && !waitForSocket(transport, fd, POLLIN, deadline)) {
            return false;
        }
    }
    return true;
}

constexpr size_t LengthBytes = 4;

std::string frameLength(size_t length)
{
    std::string bytes;
    for (int shift = 24; shift >= 0; shift -= 8) {
        bytes.push_back(static_cast<char>(length >> shift));
    }
    return bytes;
}

size_t parseLength(std::string_view bytes)
{
    size_t length = 0;
    for (size_t i = 0; i < LengthBytes; ++i) {
        length = length << 8 | static_cast<uint8_t>(bytes[i]);
    }
    return length;
}

void countDrop(Transport &transport, Reason reason)
{
    ++transport.m_drops[static_cast<size_t>(reason)];
}

void countSent(Transport &transport, size_t bytes)
{
    ++transport.m_messagesSent;
    transport.m_bytesSent += bytes;
}

void countReceived(Transport &transport, size_t bytes)
{
    ++transport.m_messagesReceived;
    transport.m_bytesReceived += bytes;
}

bool writeFrame(Transport &transport, int fd, std::string_view bytes, TimePoint deadline)
{
    std::string frame = frameLength(bytes.size());
    frame.append(bytes);
    if (!writeAll(transport, fd, frame, deadline)) {
        return false;
    }
    countSent(transport, frame.size());
    return true;
}

/** Counts bytes of frames that are being received, so that many connections cannot use up the memory. */
struct FrameBudget {
    FrameBudget(Transport &transport, size_t bytes)
        : m_transport(transport), m_bytes(bytes), m_granted(transport.m_bufferedBytes.fetch_add(bytes) + bytes <= MaxBufferedFrameBytes)
    {
    }
    ~FrameBudget()
    {
        m_transport.m_bufferedBytes -= m_bytes;
    }
    FrameBudget(const FrameBudget &) = delete;
    FrameBudget &operator=(const FrameBudget &) = delete;

    Transport &m_transport;
    size_t m_bytes;
    bool m_granted;
};

/** The bytes of one frame; nothing when the connection ended or has to be closed. */
std::optional<std::string> readFrame(Transport &transport, int fd, TimePoint firstByteBy, Duration restWithin)
{
    std::string header;
    if (!waitForSocket(transport, fd, POLLIN, firstByteBy)) {
        return std::nullopt;
    }
    const TimePoint deadline = now(*transport.m_clock) + restWithin;
    if (!readBytes(transport, fd, LengthBytes, deadline, header)) {
        return std::nullopt;
    }
    const size_t length = parseLength(header);
    if (length > MaxFrameBytes) {
        countDrop(transport, Reason::PeerMessageTooLarge);
        return std::nullopt;
    }
    const FrameBudget budget(transport, length);
    std::string bytes;
    if (!budget.m_granted) {
        countDrop(transport, Reason::TooManyConnections);
        return std::nullopt;
    }
    if (!readBytes(transport, fd, length, deadline, bytes)) {
        return std::nullopt;
    }
    countReceived(transport, length + LengthBytes);
    return bytes;
}

//-----------------------------------------------------------------------------
// Connections to peers
//-----------------------------------------------------------------------------

std::optional<Socket> connectTo(const Transport &transport, const Address &address, TimePoint deadline)
{
    const auto resolved = resolve(address);
    if (!resolved) {
        return std::nullopt;
    }
    Socket opened(socket(resolved->m_storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (opened.m_fd < 0) {
        return std::nullopt;
    }
    const int on = 1;
    setsockopt(opened.m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(opened.m_fd, rawAddress(*resolved), resolved->m_length) == 0) {
        return opened;
    }
    if (errno != EINPROGRESS || !waitForSocket(transport, opened.m_fd, POLLOUT, deadline)) {
        return std::nullopt;
    }
    int failure = 0;
    socklen_t length = sizeof(failure);
    if (getsockopt(opened.m_fd, SOL_SOCKET, SO_ERROR, &failure, &length) != 0 || failure != 0) {
        return std::nullopt;
    }
    return opened;
}

/** A kept connection must have nothing to read: bytes or an end mean that it is no longer usable. */
bool isUsable(const IdleConnection &connection, TimePoint at)
{
    pollfd waiting{connection.m_socket.m_fd, POLLIN, 0};
    return at - connection.m_since < ReuseTime && poll(&waiting, 1, 0) == 0;
}

std::optional<Socket> takeIdle(Transport &transport, const Address &address)
{
    const TimePoint at = now(*transport.m_clock);
    const std::lock_guard lock(transport.m_idleMutex);
    const auto found = transport.m_idle.find(address);
    while (found != transport.m_idle.end() && !found->second.empty()) {
        IdleConnection connection = std::move(found->second.back());
        found->second.pop_back();
        --transport.m_idleCount;
        if (isUsable(connection, at)) {
            return std::move(connection.m_socket);
        }
    }
    return std::nullopt;
}

void keepIdle(Transport &transport, const Address &address, Socket socket)
{
    const std::lock_guard lock(transport.m_idleMutex);
    if (transport.m_stopping || transport.m_idleCount >= MaxIdleConnectionsTotal) {
        return;
    }
    auto &connections = transport.m_idle[address];
    if (connections.size() >= MaxIdleConnections) {
        return;
    }
    connections.push_back({std::move(socket), now(*transport.m_clock)});
    ++transport.m_idleCount;
}

void dropIdle(Transport &transport, const Address &address)
{
    const std::lock_guard lock(transport.m_idleMutex);
    const auto found = transport.m_idle.find(address);
    if (found != transport.m_idle.end()) {
        transport.m_idleCount -= found->second.size();
        transport.m_idle.erase(found);
    }
}

void closeOldIdle(Transport &transport)
{
    const TimePoint at = now(*transport.m_clock);
    const std::lock_guard lock(transport.m_idleMutex);
    for (auto &[address, connections] : transport.m_idle) {
        transport.m_idleCount -=
            std::erase_if(connections, [at](const IdleConnection &connection) { return at - connection.m_since > ReuseTime; });
    }
    std::erase_if(transport.m_idle, [](const auto &entry) { return entry.second.empty(); });
}

//-----------------------------------------------------------------------------
// State machine
//-----------------------------------------------------------------------------

void queueFrame(Transport &transport, Outgoing &outgoing)
{
    {
        const std::lock_guard lock(transport.m_frameMutex);
        if (transport.m_frames.size() >= MaxQueuedFrames) {
            countDrop(transport, Reason::QueueFull);
            return;
        }
        transport.m_frames.push_back({outgoing.m_destination, std::move(outgoing.m_bytes)});
    }
    transport.m_framesReady.notify_one();
}

void sendDatagram(Transport &transport, const Outgoing &outgoing)
{
    const auto resolved = resolve(outgoing.m_destination);
    if (!resolved) {
        countDrop(transport, Reason::PeerUnreachable);
        return;
    }
    const ssize_t sent = sendto(transport.m_udp.m_fd,
                                outgoing.m_bytes.data(),
                                outgoing.m_bytes.size(),
                                MSG_NOSIGNAL | MSG_DONTWAIT,
                                rawAddress(*resolved),
                                resolved->m_length);
    if (sent < 0) {
        countDrop(transport, Reason::PeerUnreachable);
        return;
    }
    countSent(transport, outgoing.m_bytes.size());
}

/** Encodes with the mutex held, so that sequence numbers follow the order of the actions. */
std::vector<Outgoing> encodeSends(Transport &transport, const std::vector<SendAction> &sends)
{
    std::vector<Outgoing> encoded;
    const uint64_t boot = transport.m_state.m_self.m_boot;
    for (const SendAction &action : sends) {
        for (const Channel channel : {Channel::Datagram, Channel::Stream}) {
            if (auto bytes = encodeMessage(transport.m_codec, boot, action.m_destination, channel, *action.m_body)) {
                encoded.push_back({action.m_destination, channel, std::move(*bytes)});
                break;
            }
            if (channel == Channel::Stream) {
                countDrop(transport, Reason::PeerMessageTooLarge);
            }
        }
    }
    return encoded;
}

void publishView(Transport &transport)
{
    const std::lock_guard publishing(transport.m_viewMutex);
    auto view = std::make_shared<MembershipView>();
    {
        const std::lock_guard lock(transport.m_mutex);
        view->m_live = liveMembers(transport.m_state);
        view->m_self = transport.m_state.m_self;
        view->m_configWatcher = isConfigWatcher(transport.m_state, now(*transport.m_clock));
        view->m_lastHeard = transport.m_state.m_lastHeard;
    }
    publish<MembershipView>(transport.m_view, std::move(view));
}

void runCallbacks(Transport &transport, const ClusterActions &actions)
{
    if (actions.m_changes.empty() && actions.m_verdicts.empty()) {
        return;
    }
    const std::lock_guard lock(transport.m_callbackMutex);
    if (!actions.m_changes.empty()) {
        publishView(transport);
        if (transport.m_options.m_onMembership) {
            transport.m_options.m_onMembership(actions.m_changes);
        }
    }
    for (const CrashVerdict &verdict : actions.m_verdicts) {
        if (transport.m_options.m_onVerdict) {
            transport.m_options.m_onVerdict(verdict);
        }
    }
}

/** Feeds one event and carries out the actions. */
void step(Transport &transport, const ClusterEvent &event)
{
    ClusterActions actions;
    std::vector<Outgoing> encoded;
    {
        const std::lock_guard lock(transport.m_mutex);
        handleEvent(transport.m_state, event, now(*transport.m_clock), transport.m_random, transport.m_options.m_config, actions);
        encoded = encodeSends(transport, actions.m_sends);
    }
    for (Outgoing &outgoing : encoded) {
        if (outgoing.m_channel == Channel::Datagram) {
            sendDatagram(transport, outgoing);
        } else {
            queueFrame(transport, outgoing);
        }
    }
    runCallbacks(transport, actions);
}

/** Decodes and counts drops. Nothing when the message is to be ignored. */
std::optional<PeerMessage> receiveBytes(Transport &transport, std::string_view bytes, Channel channel)
{
    DecodeResult result;
    {
        const std::lock_guard lock(transport.m_mutex);
        result = decodeMessage(transport.m_codec, bytes, channel, now(*transport.m_clock));
    }
    if (result.m_oldBoot) {
        step(transport, OldBootEvent{result.m_message.m_sender});
    }
    if (result.m_reason != Reason::None) {
        countDrop(transport, result.m_reason);
        return std::nullopt;
    }
    if (result.m_unknownType) {
        ++transport.m_unknownTypes;
        return std::nullopt;
    }
    return std::move(result.m_message);
}

//-----------------------------------------------------------------------------
// Threads
//-----------------------------------------------------------------------------

void receiveDatagrams(Transport &transport)
{
    std::array<char, MaxDatagramBytes + 1> buffer{};
    for (size_t i = 0; i < DatagramsPerTurn; ++i) {
        const ssize_t received = recv(transport.m_udp.m_fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (received < 0) {
            return;
        }
        const auto length = static_cast<size_t>(received);
        countReceived(transport, length);
        if (auto message = receiveBytes(transport, {buffer.data(), length}, Channel::Datagram)) {
            step(transport, MessageEvent{std::move(*message)});
        }
    }
}

void runLoop(Transport &transport)
{
    TimePoint nextTick = now(*transport.m_clock);
    TimePoint nextView = nextTick;
    while (!transport.m_stopping) {
        pollfd waiting{transport.m_udp.m_fd, POLLIN, 0};
        poll(&waiting, 1, static_cast<int>(PollInterval.count()));
        receiveDatagrams(transport);
        const TimePoint at = now(*transport.m_clock);
        if (at >= nextTick) {
            nextTick = at + TickInterval;
            step(transport, TickEvent{});
        }
        if (at >= nextView) {
            nextView = at + ViewInterval;
            publishView(transport);
            closeOldIdle(transport);
        }
    }
}

std::string answerCall(Transport &transport, const PeerMessage &message, const Call &call)
{
    CallAnswer answer;
    answer.m_call = call.m_call;
    if (transport.m_options.m_onCall) {
        answer.m_payload = transport.m_options.m_onCall(message.m_sender, call.m_payload);
        answer.m_accepted = true;
    }
    const std::lock_guard lock(transport.m_mutex);
    return encodeMessage(transport.m_codec, transport.m_state.m_self.m_boot, message.m_sender, Channel::Stream, answer)
        .value_or(std::string());
}

/** False when the connection has to be closed. */
bool serveFrame(Transport &transport, int fd, const std::string &bytes)
{
    auto message = receiveBytes(transport, bytes, Channel::Stream);
    if (!message) {
        return false;
    }
    const auto *call = std::get_if<Call>(&message->m_body);
    if (!call) {
        step(transport, MessageEvent{std::move(*message)});
        return true;
    }
    const std::string answer = answerCall(transport, *message, *call);
    return !answer.empty() && writeFrame(transport, fd, answer, now(*transport.m_clock) + FrameTimeout);
}

void serveConnection(Transport &transport, Socket connection)
{
    bool isOpen = true;
    while (isOpen && !transport.m_stopping) {
        const TimePoint idleUntil = now(*transport.m_clock) + IdleConnectionTime;
        const auto bytes = readFrame(transport, connection.m_fd, idleUntil, FrameTimeout);
        isOpen = bytes && serveFrame(transport, connection.m_fd, *bytes);
    }
    const std::lock_guard lock(transport.m_connectionMutex);
    transport.m_accepted.erase(connection.m_fd);
    --transport.m_connectionThreads;
    transport.m_connectionsEnded.notify_all();
}

void acceptConnection(Transport &transport)
{
    Socket connection(accept4(transport.m_listener.m_fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
    if (connection.m_fd < 0) {
        return;
    }
    const int on = 1;
    setsockopt(connection.m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard lock(transport.m_connectionMutex);
    if (transport.m_connectionThreads >= MaxPeerConnections || transport.m_stopping) {
        countDrop(transport, Reason::TooManyConnections);
        return;
    }
    ++transport.m_connectionThreads;
    transport.m_accepted.insert(connection.m_fd);
    std::thread([&transport, moved = std::move(connection)]() mutable { serveConnection(transport, std::move(moved)); }).detach();
}

void runAccept(Transport &transport)
{
    while (!transport.m_stopping) {
        pollfd waiting{transport.m_listener.m_fd, POLLIN, 0};
        if (poll(&waiting, 1, static_cast<int>(PollInterval.count() * 5)) > 0) {
            acceptConnection(transport);
        }
    }
}

void deliverFrame(Transport &transport, const OutgoingFrame &frame)
{
    std::optional<Socket> connection = takeIdle(transport, frame.m_destination);
    if (connection && writeFrame(transport, connection->m_fd, frame.m_bytes, now(*transport.m_clock) + FrameTimeout)) {
        keepIdle(transport, frame.m_destination, std::move(*connection));
        return;
    }
    connection = connectTo(transport, frame.m_destination, now(*transport.m_clock) + ConnectTimeout);
    if (connection && writeFrame(transport, connection->m_fd, frame.m_bytes, now(*transport.m_clock) + FrameTimeout)) {
        keepIdle(transport, frame.m_destination, std::move(*connection));
        return;
    }
    countDrop(transport, Reason::PeerUnreachable);
}

void runFrames(Transport &transport)
{
    while (true) {
        OutgoingFrame frame;
        {
            std::unique_lock lock(transport.m_frameMutex);
            transport.m_framesReady.wait(lock, [&transport] { return transport.m_stopping || !transport.m_frames.empty(); });
            if (transport.m_stopping) {
                return;
            }
            frame = std::move(transport.m_frames.front());
            transport.m_frames.pop_front();
        }
        deliverFrame(transport, frame);
    }
}

//-----------------------------------------------------------------------------
// Calls
//-----------------------------------------------------------------------------

std::optional<std::string> encodeCall(Transport &transport, const Address &address, uint64_t number, const std::string &payload)
{
    const std::lock_guard lock(transport.m_mutex);
    return encodeMessage(transport.m_codec, transport.m_state.m_self.m_boot, address, Channel::Stream, Call{number, payload});
}

enum class CallEnd : uint8_t { Answered, NotAccepted, NotSent, Broken, TimedOut };

struct CallResult {
    CallEnd m_end = CallEnd::NotSent;
    std::string m_payload;
};

/** One attempt on an open connection. */
CallResult exchange(Transport &transport, int fd, const Address &address, const std::string &payload, TimePoint deadline)
{
    const uint64_t number = ++transport.m_lastCall;
    const auto request = encodeCall(transport, address, number, payload);
    if (!request) {
        return {CallEnd::NotSent, {}};
    }
    if (!writeFrame(transport, fd, *request, deadline)) {
        // A part of the frame cannot be authenticated, so the peer has not processed it.
        return {CallEnd::NotSent, {}};
    }
    const auto bytes = readFrame(transport, fd, deadline, std::max(deadline - now(*transport.m_clock), Duration(0)));
    if (!bytes) {
        return {now(*transport.m_clock) >= deadline ? CallEnd::TimedOut : CallEnd::Broken, {}};
    }
    auto message = receiveBytes(transport, *bytes, Channel::Stream);
    auto *answer = message ? std::get_if<CallAnswer>(&message->m_body) : nullptr;
    if (!answer || answer->m_call != number || message->m_sender != address) {
        return {CallEnd::Broken, {}};
    }
    return {answer->m_accepted ? CallEnd::Answered : CallEnd::NotAccepted, std::move(answer->m_payload)};
}

absl::StatusOr<std::string> callStatus(const Transport &transport, CallResult result, const Address &address)
{
    if (result.m_end == CallEnd::Answered) {
        return std::move(result.m_payload);
    }
    if (result.m_end == CallEnd::NotSent) {
        return absl::UnavailableError(fmt::format("peer {}: request not sent", toString(address)));
    }
    if (result.m_end == CallEnd::NotAccepted) {
        return absl::UnavailableError(fmt::format("peer {}: request not accepted", toString(address)));
    }
    if (transport.m_stopping) {
        return absl::CancelledError("transport stopped");
    }
    if (result.m_end == CallEnd::TimedOut) {
        return absl::DeadlineExceededError(fmt::format("peer {}: no answer", toString(address)));
    }
    return absl::UnknownError(fmt::format("peer {}: connection lost before the answer", toString(address)));
}

absl::Status checkKeys(const std::vector<PeerSecret> &keys)
{
    if (keys.empty() || keys.size() > 2) {
        return absl::InvalidArgumentError("one or two peer keys are needed");
    }
    const bool hasEmpty = std::any_of(keys.begin(), keys.end(), [](const PeerSecret &key) { return key.m_secret.empty(); });
    if (hasEmpty || (keys.size() == 2 && keys[0].m_identifier == keys[1].m_identifier)) {
        return absl::InvalidArgumentError("peer keys need distinct identifiers and values that are not empty");
    }
    return absl::OkStatus();
}

void startThreads(Transport &transport)
{
    transport.m_threads.emplace_back([&transport] { runLoop(transport); });
    transport.m_threads.emplace_back([&transport] { runAccept(transport); });
    for (size_t i = 0; i < FrameSenders; ++i) {
        transport.m_threads.emplace_back([&transport] { runFrames(transport); });
    }
}

} // namespace

//-----------------------------------------------------------------------------
// Public functions
//-----------------------------------------------------------------------------

void TransportDeleter::operator()(Transport *transport) const
{
    stopTransport(*transport);
    delete transport;
}

absl::StatusOr<TransportPointer> startTransport(const Clock &clock, TransportOptions options)
{
    if (const absl::Status status = checkKeys(options.m_keys); !status.ok()) {
        return status;
    }
    if (!resolve(options.m_self.m_address)) {
        return absl::InvalidArgumentError(fmt::format("no IP address and port: {}", toString(options.m_self.m_address)));
    }
    TransportPointer transport(new Transport);
    transport->m_clock = &clock;
    if (!bindBoth(*transport, options.m_self.m_address)) {
        return absl::UnavailableError(fmt::format("cannot bind {}: {}", toString(options.m_self.m_address), std::strerror(errno)));
    }
    transport->m_random.m_state = options.m_seed == 0 ? entropySeed() : options.m_seed;
    transport->m_state.m_self = options.m_self;
    transport->m_state.m_self.m_address = transport->m_address;
    if (options.m_self.m_boot == 0) {
        transport->m_state.m_self.m_boot = static_cast<uint64_t>(wallMilliseconds(clock));
    }
    transport->m_codec.m_self = transport->m_address;
    transport->m_codec.m_keys = options.m_keys;
    transport->m_options = std::move(options);
    step(*transport, StartEvent{transport->m_options.m_seeds});
    publishView(*transport);
    startThreads(*transport);
    return transport;
}

Address localAddress(const Transport &transport)
{
    return transport.m_address;
}

std::shared_ptr<const MembershipView> members(const Transport &transport)
{
    return snapshot(transport.m_view);
}

TransportCounters transportCounters(Transport &transport)
{
    TransportCounters counters;
    counters.m_messagesSent = transport.m_messagesSent;
    counters.m_messagesReceived = transport.m_messagesReceived;
    counters.m_bytesSent = transport.m_bytesSent;
    counters.m_bytesReceived = transport.m_bytesReceived;
    counters.m_unknownTypes = transport.m_unknownTypes;
    std::copy(transport.m_drops.begin(), transport.m_drops.end(), counters.m_drops.begin());
    const std::lock_guard lock(transport.m_mutex);
    counters.m_cluster = transport.m_state.m_counters;
    return counters;
}

void setReadiness(Transport &transport, Readiness readiness)
{
    step(transport, ReadinessEvent{readiness});
    publishView(transport);
}

void setSeeds(Transport &transport, std::vector<Address> seeds)
{
    seeds.insert(seeds.begin(), transport.m_options.m_seeds.begin(), transport.m_options.m_seeds.end());
    step(transport, SeedsEvent{std::move(seeds)});
}

absl::Status setKeys(Transport &transport, std::vector<PeerSecret> keys)
{
    if (absl::Status status = checkKeys(keys); !status.ok()) {
        return status;
    }
    const std::lock_guard lock(transport.m_mutex);
    transport.m_codec.m_keys = std::move(keys);
    return absl::OkStatus();
}

void offerChanges(Transport &transport, const ConfigChanges &changes)
{
    step(transport, StoreChangesEvent{changes});
}

void spreadVerdict(Transport &transport, const CrashVerdict &verdict)
{
    step(transport, VerdictEvent{verdict});
}

std::vector<Address> pollMembersBelow(Transport &transport, int64_t revision)
{
    step(transport, PollCursorsEvent{revision});
    const std::lock_guard lock(transport.m_mutex);
    return membersBelow(transport.m_state, revision);
}

absl::StatusOr<std::string> callPeer(Transport &transport, const Address &address, const std::string &payload, TimePoint deadline)
{
    if (payload.size() > MaxCallPayloadBytes) {
        return absl::InvalidArgumentError("payload of a peer call is too large");
    }
    CallResult result{CallEnd::NotSent, {}};
    if (std::optional<Socket> kept = takeIdle(transport, address)) {
        result = exchange(transport, kept->m_fd, address, payload, deadline);
        if (result.m_end == CallEnd::Answered || result.m_end == CallEnd::NotAccepted) {
            keepIdle(transport, address, std::move(*kept));
            return callStatus(transport, std::move(result), address);
        }
        // Connections opened before this one went silent are not trusted either.
        dropIdle(transport, address);
    }
    if (result.m_end == CallEnd::TimedOut || transport.m_stopping) {
        return callStatus(transport, std::move(result), address);
    }
    std::optional<Socket> fresh = connectTo(transport, address, std::min(deadline, now(*transport.m_clock) + ConnectTimeout));
    if (!fresh) {
        countDrop(transport, Reason::PeerUnreachable);
        return callStatus(transport, std::move(result), address);
    }
    const bool mayHaveRun = result.m_end == CallEnd::Broken;
    result = exchange(transport, fresh->m_fd, address, payload, deadline);
    if (result.m_end == CallEnd::Answered || result.m_end == CallEnd::NotAccepted) {
        keepIdle(transport, address, std::move(*fresh));
    }
    if (mayHaveRun && (result.m_end == CallEnd::NotSent || result.m_end == CallEnd::NotAccepted)) {
        result.m_end = CallEnd::Broken;
    }
    return callStatus(transport, std::move(result), address);
}

void leaveCluster(Transport &transport)
{
    step(transport, LeaveEvent{});
    publishView(transport);
    const TimePoint until = now(*transport.m_clock) + LeaveTime;
    while (!transport.m_stopping && now(*transport.m_clock) < until) {
        std::this_thread::sleep_for(PollInterval);
    }
}

void stopTransport(Transport &transport)
{
    if (transport.m_stopping.exchange(true)) {
        return;
    }
    {
        const std::lock_guard lock(transport.m_frameMutex);
        transport.m_framesReady.notify_all();
    }
    for (std::thread &thread : transport.m_threads) {
        thread.join();
    }
    std::unique_lock lock(transport.m_connectionMutex);
    for (const int fd : transport.m_accepted) {
        shutdown(fd, SHUT_RDWR);
    }
    transport.m_connectionsEnded.wait(lock, [&transport] { return transport.m_connectionThreads == 0; });
}

} // namespace Medlarramp
