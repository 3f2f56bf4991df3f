#pragma once

/**
 * medlarramp cluster: which entry processes exist, and how configuration changes and crash verdicts reach all of them.
 *
 * Index of sections:
 *  [SECTION] Members        one entry per process, and how two versions of an entry are merged
 *  [SECTION] Configuration  opaque changes, the callbacks that hold them, the nodes that watch the store
 *  [SECTION] Messages       bodies of all peer messages
 *  [SECTION] Wire format    encoding, authentication, replay detection
 *  [SECTION] Node state     the pure state machine: event and time in, messages and changes out
 *  [SECTION] Transport      UDP and TCP shell that feeds the state machine
 *
 * The state machine follows SWIM (Das, Gupta, Motivala: SWIM: Scalable Weakly-consistent Infection-style Process Group
 * Membership Protocol, 2002) with the local health of Lifeguard (Dadgar, Phillips, Currey: Lifeguard: Local Health
 * Awareness for More Accurate Failure Detection, 2018).
 *
 * Use by a process:
 *
 *     TransportOptions options;
 *     options.m_self = {.m_address = settings.m_peer, .m_node = settings.m_node, .m_region = settings.m_region};
 *     options.m_keys = {{1, secret}};
 *     options.m_seeds = settings.m_seeds;
 *     auto transport = startTransport(clock, std::move(options));
 *     setReadiness(**transport, Readiness::Ready);
 *     auto view = members(**transport);
 *     auto answer = callPeer(**transport, owner, claim, now(clock) + milliseconds(500));
 *     setReadiness(**transport, Readiness::Draining);
 *     leaveCluster(**transport);
 *     stopTransport(**transport);
 */

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core.h"
#include "model.h"

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] Members
//-----------------------------------------------------------------------------

enum class MemberState : uint8_t {
    Alive,
    Suspect, ///< missed probes; still a member until the suspicion time is over
    Failed,
    Left, ///< left by its own decision
};

enum class Readiness : uint8_t {
    Starting, ///< takes no requests yet
    Ready,
    Draining, ///< takes no new requests
};

/** One entry process. The address identifies it; the boot number tells one process from the next at the same address. */
struct Member {
    Address m_address; ///< peer address (UDP and TCP)
    std::string m_node; ///< unique name of the VM
    std::string m_region;
    std::string m_failureDomain;
    Readiness m_readiness = Readiness::Starting;
    MemberState m_state = MemberState::Alive;
    uint64_t m_boot = 0; ///< grows with each start at this address
    uint32_t m_incarnation = 0; ///< raised only by the member itself
    int64_t m_cursor = 0; ///< configuration cursor of its last known heartbeat

    bool operator==(const Member &) const = default;
};

/** True when @p left replaces @p right: higher boot number, then higher incarnation, then the state further from Alive. */
bool supersedes(const Member &left, const Member &right);

/** Sorted by address. */
using Members = std::vector<Member>;

enum class MemberEvent : uint8_t { Joined, Replaced, Updated, Suspected, Failed, Left };

/** A change of the membership that a node has seen. */
struct MembershipChange {
    MemberEvent m_event = MemberEvent::Joined;
    Member m_member;
};

//-----------------------------------------------------------------------------
// [SECTION] Configuration
//-----------------------------------------------------------------------------

/** One configuration object at one revision. The content is opaque here. */
struct ConfigObject {
    std::string m_key;
    int64_t m_revision = 0;
    std::string m_content;

    bool operator==(const ConfigObject &) const = default;
};

/** Every change with a revision in (m_previous, m_cursor] that has not been replaced by a later one in the list. */
struct ConfigChanges {
    std::vector<ConfigObject> m_objects;
    int64_t m_previous = 0;
    int64_t m_cursor = 0;

    bool operator==(const ConfigChanges &) const = default;
};

/** Who holds the configuration. The functions are called from one thread at a time and must not call back. */
struct ConfigHolder {
    /** The revision up to which every change is held. */
    std::function<int64_t()> m_cursor;
    /**
     * Objects with a revision above the given cursor in ascending order of revision, at most the given number of
     * bytes but at least one object. m_cursor of the result is the revision up to which the result is complete.
     */
    std::function<ConfigChanges(int64_t cursor, size_t maxBytes)> m_changesSince;
    /**
     * Stores objects; one whose revision is not above the stored one is ignored. Raises the cursor to m_cursor when
     * the held cursor is at least m_previous, and never lowers it.
     */
    std::function<void(const ConfigChanges &changes)> m_apply;
};

constexpr size_t ConfigWatchersPerRegion = 3;
constexpr size_t TreeFanOut = 4;

/** Addresses of the members of @p region that watch the store, best rendezvous score first. Draining members do not. */
std::vector<Address> configWatchers(const Members &members, const std::string &region);

/** One child in the tree and the part of the sorted ring of addresses, [m_begin, m_end), that it has to serve. */
struct TreeBranch {
    Address m_child;
    Address m_begin;
    Address m_end;

    bool operator==(const TreeBranch &) const = default;
};

/**
 * Splits @p ring (the addresses to reach, in ring order, without the sender) into at most TreeFanOut branches that
 * cover it. @p end is the address at which the range of the ring ends. @p choice varies the child of each branch,
 * so that the work of inner nodes is spread over the members; addresses in @p leaves are chosen only when a branch has
 * no others.
 */
std::vector<TreeBranch>
treeBranches(const std::vector<Address> &ring, const Address &end, uint64_t choice, const std::vector<Address> &leaves = {});
/** True when @p address lies in the ring range [begin, end), which wraps around the largest address. */
bool isInRing(const Address &address, const Address &begin, const Address &end);

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

/** Values are part of the wire format. */
enum class MessageType : uint8_t {
    Ping = 1,
    Ack = 2,
    PingRequest = 3,
    Membership = 4,
    MembershipPull = 5,
    ConfigChangeMessage = 6,
    ConfigPullMessage = 7,
    ConfigBatchMessage = 8,
    CrashVerdict = 9,
    SpreadAck = 10,
    Call = 11,
    CallAnswer = 12,
};

/** A request content that crashed upstreams, refused for the remaining time. */
struct CrashVerdict {
    uint64_t m_contentHash = 0;
    milliseconds m_remaining{0}; ///< a duration, so that clocks of nodes need not agree

    bool operator==(const CrashVerdict &) const = default;
};

/** Part of each Ping and Ack. */
struct Heartbeat {
    int64_t m_cursor = 0; ///< configuration cursor of the sender
    uint64_t m_digest = 0; ///< digest of the sender's live members
    std::vector<Member> m_members; ///< recent changes
    std::vector<CrashVerdict> m_verdicts; ///< recent verdicts

    bool operator==(const Heartbeat &) const = default;
};

struct Ping {
    uint32_t m_probe = 0;
    MemberState m_targetState = MemberState::Alive; ///< what the sender knows of the receiver
    uint64_t m_targetBoot = 0; ///< only sent when the state is not Alive
    uint32_t m_targetIncarnation = 0; ///< only sent when the state is not Alive
    Heartbeat m_heartbeat;

    bool operator==(const Ping &) const = default;
};

struct Ack {
    uint32_t m_probe = 0;
    bool m_introduce = false; ///< the receiver of the Ping did not know its sender
    Heartbeat m_heartbeat;

    bool operator==(const Ack &) const = default;
};

/** Asks the receiver to probe another member. */
struct PingRequest {
    uint32_t m_probe = 0;
    Address m_target;

    bool operator==(const PingRequest &) const = default;
};

/** Place in the tree. With m_identifier 0 the message is not forwarded and not acknowledged. */
struct SpreadHeader {
    uint64_t m_identifier = 0;
    bool m_regional = false; ///< only members of the sender's region
    Address m_begin; ///< the receiver serves the members in [m_begin, m_end)
    Address m_end;

    bool operator==(const SpreadHeader &) const = default;
};

struct Membership {
    SpreadHeader m_spread;
    bool m_complete = false; ///< the whole view of the sender
    std::vector<Member> m_members;
    std::vector<CrashVerdict> m_verdicts;

    bool operator==(const Membership &) const = default;
};

/** Asks for the whole view; carries the sender's own entry. */
struct MembershipPull {
    Member m_self;

    bool operator==(const MembershipPull &) const = default;
};

struct ConfigChangeMessage {
    SpreadHeader m_spread;
    ConfigChanges m_changes;

    bool operator==(const ConfigChangeMessage &) const = default;
};

struct ConfigPullMessage {
    int64_t m_cursor = 0;

    bool operator==(const ConfigPullMessage &) const = default;
};

struct ConfigBatchMessage {
    ConfigChanges m_changes;

    bool operator==(const ConfigBatchMessage &) const = default;
};

struct CrashVerdictSpread {
    SpreadHeader m_spread;
    CrashVerdict m_verdict;

    bool operator==(const CrashVerdictSpread &) const = default;
};

struct SpreadAck {
    uint64_t m_token = 0; ///< of identifier and range

    bool operator==(const SpreadAck &) const = default;
};

/** Opaque request to one node (claims and their results). */
struct Call {
    uint64_t m_call = 0;
    std::string m_payload;

    bool operator==(const Call &) const = default;
};

struct CallAnswer {
    uint64_t m_call = 0;
    bool m_accepted = false; ///< false: no handler, the call did not run
    std::string m_payload;

    bool operator==(const CallAnswer &) const = default;
};

/** In the order of MessageType. */
using MessageBody = std::variant<Ping,
                                 Ack,
                                 PingRequest,
                                 Membership,
                                 MembershipPull,
                                 ConfigChangeMessage,
                                 ConfigPullMessage,
                                 ConfigBatchMessage,
                                 CrashVerdictSpread,
                                 SpreadAck,
                                 Call,
                                 CallAnswer>;

struct PeerMessage {
    Address m_sender;
    uint64_t m_boot = 0;
    uint64_t m_sequence = 0;
    MessageBody m_body;

    bool operator==(const PeerMessage &) const = default;
};

//-----------------------------------------------------------------------------
// [SECTION] Wire format
//-----------------------------------------------------------------------------

constexpr size_t MaxDatagramBytes = 1'200;
constexpr size_t MaxFrameBytes = 1024 * 1024; ///< one message over TCP
constexpr size_t MaxCallPayloadBytes = 256 * 1024;
constexpr size_t MaxConfigKeyBytes = 256;
constexpr size_t MaxConfigContentBytes = 960 * 1024; ///< fits into one frame with its key
constexpr size_t MaxConfigBatchBytes = 256 * 1024; ///< asked for in one pull
constexpr size_t MaxMembers = 4'096; ///< remembered members of all states
constexpr size_t MaxObjectsPerMessage = 4'096;
constexpr size_t MaxVerdicts = 1'024;
constexpr size_t MacBytes = 16;
constexpr uint8_t ProtocolVersion = 1;
constexpr uint64_t ReplayWindow = 1'024; ///< sequence numbers

/** A shared key with its value. */
struct PeerSecret {
    uint8_t m_identifier = 1;
    std::string m_secret;
};

/** UDP and TCP have their own sequence numbers, because they overtake each other. */
enum class Channel : uint8_t { Datagram, Stream };

/** What a receiver remembers of one sender. */
struct ReplayRecord {
    uint64_t m_boot = 0;
    TimePoint m_lastUsed{};
    std::array<uint64_t, 2> m_highest{}; ///< by channel
    std::array<std::array<uint64_t, ReplayWindow / 64>, 2> m_seen{}; ///< by channel; bit s mod ReplayWindow
};

/** State of encoding and decoding. */
struct Codec {
    Address m_self;
    std::vector<PeerSecret> m_keys; ///< the first signs, all verify
    std::array<uint64_t, 2> m_sequence{}; ///< last used, by channel
    std::map<Address, ReplayRecord> m_replay; ///< at most MaxMembers senders
};

/** Encodes and signs for @p destination. Nothing when the message is above the bound of the channel. */
std::optional<std::string> encodeMessage(Codec &codec, uint64_t boot, const Address &destination, Channel channel, const MessageBody &body);

struct DecodeResult {
    Reason m_reason = Reason::None; ///< why the message was dropped
    bool m_unknownType = false; ///< authentic, of a type that this version does not know; m_message has no body
    bool m_oldBoot = false; ///< dropped as replayed, because a process with a higher boot number uses the address
    PeerMessage m_message;
};

/** Checks size, authentication and replay, then decodes. Never throws; its work is bounded by the bytes given. */
DecodeResult decodeMessage(Codec &codec, std::string_view bytes, Channel channel, TimePoint now);
/** Decodes a body without authentication. For tests and fuzzing. */
std::optional<MessageBody> decodeBody(MessageType type, std::string_view bytes);
std::string encodeBody(const MessageBody &body);
MessageType messageType(const MessageBody &body);

//-----------------------------------------------------------------------------
// [SECTION] Node state
//-----------------------------------------------------------------------------

constexpr milliseconds TickInterval{50};
constexpr milliseconds RingProbeInterval{1'000}; ///< to the next member in the ring, so that each member is probed by one node
constexpr milliseconds RandomProbeInterval{2'000}; ///< in random round-robin order, which compares views and cursors
constexpr milliseconds ProbeTimeout{300}; ///< until other members are asked to probe
constexpr milliseconds ProbeAnswerLimit{900}; ///< until the member is suspected
constexpr size_t IndirectProbes = 3;
constexpr milliseconds SuspicionTime{2'000}; ///< with no missed acks of other members
constexpr int MaxHealthFactor = 8; ///< largest multiple of SuspicionTime
constexpr milliseconds PauseThreshold{500}; ///< a longer gap between two ticks means that this process was paused
constexpr milliseconds IsolationTime{2'000}; ///< without any message, after which this node doubts itself
constexpr milliseconds FailedProbeInterval{2'000};
constexpr seconds FailedRetention{3'600};
constexpr seconds LeftRetention{120};
constexpr milliseconds SeedInterval{1'000}; ///< while no other member is known
constexpr seconds SeedRecheckInterval{10};
constexpr milliseconds SyncIntervalPerMember{16}; ///< at least, between two requests for a whole view
constexpr milliseconds MinSyncInterval{1'000};
constexpr milliseconds MaxSyncInterval{10'000};
constexpr milliseconds SpreadTimeout{250}; ///< until a child in the tree gets the message again
constexpr int SpreadAttempts = 3;
constexpr milliseconds WatcherStagger{150}; ///< after which the next watcher sends a change that it has not received
constexpr milliseconds PullGrace{400}; ///< from a higher cursor seen to the pull; the tree is usually faster
constexpr milliseconds PullTimeout{1'000};
constexpr seconds MaxVerdictTime{3'600};
constexpr seconds NoContactLimit{5}; ///< without store and peers, after which a node is not ready

/** A member as one node sees it. */
struct MemberRecord {
    Member m_member;
    TimePoint m_changedAt{}; ///< of the state
    TimePoint m_suspectUntil{};
    TimePoint m_lastHeard{}; ///< direct message
    bool m_detectedHere = false; ///< this node raised the suspicion and announces the failure
};

struct Probe {
    uint32_t m_probe = 0;
    Address m_target;
    TimePoint m_sentAt{};
    uint64_t m_heardBefore = 0; ///< messages received when the probe was sent
    bool m_indirect = false; ///< others were asked
    bool m_failedMember = false; ///< checks whether a failed member is back; no consequence without an answer
};

/** A probe made for another member. */
struct RelayedProbe {
    uint32_t m_probe = 0; ///< own number
    uint32_t m_originProbe = 0;
    Address m_origin;
    TimePoint m_sentAt{};
};

/** A message to a child in the tree that has not been acknowledged. */
struct PendingSpread {
    uint64_t m_token = 0;
    Address m_child;
    std::shared_ptr<const MessageBody> m_body;
    TimePoint m_deadline{};
    int m_attempts = 0;
};

/** A recent change, sent with heartbeats a limited number of times. */
struct GossipItem {
    Address m_address;
    int m_left = 0;
};

struct VerdictRecord {
    TimePoint m_until{};
    int m_gossipLeft = 0;
};

/** A change received from the store that another watcher is expected to send. */
struct StaggeredChange {
    std::shared_ptr<const ConfigChanges> m_changes;
    TimePoint m_sendAt{};
};

/** A range of revisions whose changes were applied before a gap was closed. */
struct RevisionRange {
    int64_t m_previous = 0;
    int64_t m_cursor = 0;
};

/** A notice to forward as soon as the change it announces is held. */
struct PendingNotice {
    SpreadHeader m_spread;
    int64_t m_cursor = 0;
    Address m_sender;
};

/** Work counted by the state machine. */
struct ClusterCounters {
    uint64_t m_probes = 0;
    uint64_t m_suspicions = 0;
    uint64_t m_failures = 0;
    uint64_t m_refutations = 0; ///< of suspicions about this node
    uint64_t m_pauses = 0;
    uint64_t m_spreads = 0; ///< trees started here
    uint64_t m_spreadsSuppressed = 0; ///< trees not started, because others started many
    uint64_t m_spreadRetries = 0;
    uint64_t m_pulls = 0;
    uint64_t m_syncs = 0;

    bool operator==(const ClusterCounters &) const = default;
};

/** How configuration changes travel. The alternatives exist for measurement. */
enum class SpreadMode : uint8_t {
    Tree, ///< content down the tree, cursor in heartbeats, pull of what is missing
    NoticeAndPull, ///< a notice without content down the tree, then a pull
    FullCopies, ///< all objects down the tree with each change
};

/** State of one node. Every container has a bound. */
struct ClusterState {
    Member m_self;
    SpreadMode m_mode = SpreadMode::Tree;
    std::map<Address, MemberRecord> m_records; ///< all other members, at most MaxMembers
    uint64_t m_digest = 0; ///< of the live members, with this node
    size_t m_suspects = 0; ///< number of suspected members in m_records
    uint64_t m_heard = 0; ///< messages received
    TimePoint m_lastHeard{}; ///< from any peer
    TimePoint m_lastTick{};
    TimePoint m_differsSince{}; ///< of the own view from those of peers; zero: it does not
    int m_missedAcks = 0; ///< recent probes without an answer, less the answered ones
    bool m_started = false;
    bool m_left = false;
    std::vector<Address> m_seeds; ///< at most MaxMembers
    TimePoint m_nextSeed{};
    TimePoint m_nextSync{};
    TimePoint m_nextRingProbe{};
    TimePoint m_nextProbe{};
    TimePoint m_nextFailedProbe{};
    std::vector<Address> m_probeOrder; ///< rest of the current round, last first
    uint32_t m_lastProbe = 0;
    std::vector<Probe> m_probes;
    std::vector<RelayedProbe> m_relayed;
    std::vector<GossipItem> m_gossip;
    std::vector<Address> m_announce; ///< changes to send down the tree at m_announceAt
    TimePoint m_announceAt{};
    double m_announceLoad = 0; ///< recent membership trees of others, decays within a second
    TimePoint m_announceLoadAt{};
    std::deque<uint64_t> m_seenSpreads; ///< tokens of messages already forwarded
    std::vector<PendingSpread> m_pending;
    std::map<uint64_t, VerdictRecord> m_verdicts; ///< by content hash
    std::vector<StaggeredChange> m_staggered;
    std::vector<RevisionRange> m_ranges; ///< applied above the cursor
    int64_t m_treeCursor = 0; ///< highest cursor of a change received or sent down the tree
    int64_t m_highestCursor = 0; ///< seen at any peer
    Address m_highestPeer;
    int64_t m_pullTarget = 0; ///< a pull is due when this is still above the own cursor at m_pullAt
    TimePoint m_pullAt{};
    std::vector<PendingNotice> m_notices; ///< SpreadMode::NoticeAndPull only
    ClusterCounters m_counters;
};

struct StartEvent {
    std::vector<Address> m_seeds;
};
/** Current addresses of entry processes by the VM list; replaces the seeds. */
struct SeedsEvent {
    std::vector<Address> m_seeds;
};
struct TickEvent {
};
struct MessageEvent {
    PeerMessage m_message;
};
/** A message was dropped because its sender uses an old boot number. */
struct OldBootEvent {
    Address m_sender;
};
struct ReadinessEvent {
    Readiness m_readiness = Readiness::Ready;
};
/** After this the node sends only what belongs to its departure. */
struct LeaveEvent {
};
/** Changes that this node's own watch of the store delivered. */
struct StoreChangesEvent {
    ConfigChanges m_changes;
};
/** A verdict reached on this node. */
struct VerdictEvent {
    CrashVerdict m_verdict;
};
/** Asks members whose known cursor is below the revision for their cursor. */
struct PollCursorsEvent {
    int64_t m_revision = 0;
};

using ClusterEvent = std::variant<StartEvent,
                                  SeedsEvent,
                                  TickEvent,
                                  MessageEvent,
                                  OldBootEvent,
                                  ReadinessEvent,
                                  LeaveEvent,
                                  StoreChangesEvent,
                                  VerdictEvent,
                                  PollCursorsEvent>;

struct SendAction {
    Address m_destination;
    std::shared_ptr<const MessageBody> m_body;
};

/** What the shell has to do after an event. */
struct ClusterActions {
    std::vector<SendAction> m_sends;
    std::vector<MembershipChange> m_changes;
    std::vector<CrashVerdict> m_verdicts; ///< newly learned
};

/** Handles one event and appends to @p actions. Message bodies Call and CallAnswer are not for this function. */
void handleEvent(ClusterState &state,
                 const ClusterEvent &event,
                 TimePoint now,
                 Random &random,
                 const ConfigHolder &config,
                 ClusterActions &actions);

/** Live members (alive or suspected) with this node, sorted by address. */
Members liveMembers(const ClusterState &state);
/** Members that are remembered as failed. */
Members failedMembers(const ClusterState &state);
/** True when this node has to watch the store: by its rendezvous score, or because it hears no peer. */
bool isConfigWatcher(const ClusterState &state, TimePoint now);
/** Live members whose last known cursor is below @p revision. */
std::vector<Address> membersBelow(const ClusterState &state, int64_t revision);
/** The factor by which suspicions of this node are lengthened, 1 to MaxHealthFactor. */
int healthFactor(const ClusterState &state, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Transport
//-----------------------------------------------------------------------------

constexpr size_t MaxPeerConnections = 256; ///< accepted TCP connections, each with a thread
constexpr size_t MaxIdleConnections = 4; ///< kept open per peer by the caller's side
constexpr size_t MaxIdleConnectionsTotal = 256;
constexpr size_t MaxQueuedFrames = 64; ///< one-way messages waiting for TCP
constexpr size_t FrameSenders = 2; ///< threads that send them
constexpr milliseconds ConnectTimeout{1'000};
constexpr seconds FrameTimeout{5}; ///< for one message over TCP
constexpr seconds IdleConnectionTime{10};
constexpr milliseconds LeaveTime{600}; ///< kept running after a leave, so that lost messages are repeated

/** Answers an opaque request. Runs on the connection's thread; a repeated request has to be harmless. */
using CallHandler = std::function<std::string(const Address &sender, const std::string &payload)>;

struct TransportOptions {
    Member m_self; ///< address, names and readiness; port 0 chooses a free one; boot number 0: taken from the clock
    std::vector<PeerSecret> m_keys;
    std::vector<Address> m_seeds;
    uint64_t m_seed = 0; ///< of the random generator; 0: from the system
    ConfigHolder m_config; ///< empty functions: this node holds no configuration
    CallHandler m_onCall; ///< empty: calls are answered as not accepted
    std::function<void(const std::vector<MembershipChange> &)> m_onMembership;
    std::function<void(const CrashVerdict &)> m_onVerdict;
};

/** Traffic and drops of one transport. */
struct TransportCounters {
    uint64_t m_messagesSent = 0;
    uint64_t m_messagesReceived = 0;
    uint64_t m_bytesSent = 0;
    uint64_t m_bytesReceived = 0;
    uint64_t m_unknownTypes = 0; ///< ignored messages of newer versions
    std::array<uint64_t, static_cast<size_t>(Reason::Count)> m_drops{}; ///< by Reason
    ClusterCounters m_cluster;
};

/** A published view of the membership. */
struct MembershipView {
    Members m_live; ///< sorted by address, with this node
    Member m_self;
    bool m_configWatcher = false; ///< this node has to watch the store
    TimePoint m_lastHeard{}; ///< last message from any peer
};

struct Transport; // cluster_internal.h

struct TransportDeleter {
    void operator()(Transport *transport) const;
};

using TransportPointer = std::unique_ptr<Transport, TransportDeleter>;

/** Binds the sockets and starts the threads. Errors: InvalidArgument (address, keys), Unavailable (bind). */
absl::StatusOr<TransportPointer> startTransport(const Clock &clock, TransportOptions options);
/** The address in use, with the port chosen. */
Address localAddress(const Transport &transport);
std::shared_ptr<const MembershipView> members(const Transport &transport);
TransportCounters transportCounters(Transport &transport);
void setReadiness(Transport &transport, Readiness readiness);
/** New addresses from the VM list, besides the seeds of the options. */
void setSeeds(Transport &transport, std::vector<Address> seeds);
/** Replaces the keys. The first signs, all verify. InvalidArgument: none, more than two or an empty one. */
absl::Status setKeys(Transport &transport, std::vector<PeerSecret> keys);
/** Applies and spreads what the node's watch of the store delivered. */
void offerChanges(Transport &transport, const ConfigChanges &changes);
void spreadVerdict(Transport &transport, const CrashVerdict &verdict);
/** Live members whose cursor is below @p revision. Asks them for it; call again after some 100 ms. */
std::vector<Address> pollMembersBelow(Transport &transport, int64_t revision);
/**
 * Sends @p payload to the node at @p address and waits for its answer until @p deadline on the transport's clock.
 * Errors: Unavailable (certainly not processed: not connected or not accepted), DeadlineExceeded and Unknown (may
 * have been processed), InvalidArgument (payload above MaxCallPayloadBytes), Cancelled (transport stopped). A request
 * may be processed twice when a kept connection breaks, so handlers have to treat repetitions as harmless.
 */
absl::StatusOr<std::string> callPeer(Transport &transport, const Address &address, const std::string &payload, TimePoint deadline);
/** Announces the departure and waits for LeaveTime. */
void leaveCluster(Transport &transport);
/** Ends all threads and closes the sockets. Called by the destructor too. */
void stopTransport(Transport &transport);

} // namespace Medlarramp
