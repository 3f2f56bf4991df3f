#include "cluster.h"

#include <algorithm>
#include <istream>
#include <ostream>
#include <sstream>
#include <streambuf>

#include <arpa/inet.h>
#include <cereal/archives/portable_binary.hpp>

namespace Medlarramp {

namespace {

using Writer = cereal::PortableBinaryOutputArchive;
using Reader = cereal::PortableBinaryInputArchive;

/** Reads from bytes in place. */
struct ViewBuffer : std::streambuf {
    explicit ViewBuffer(std::string_view bytes)
    {
        char *begin = const_cast<char *>(bytes.data());
        setg(begin, begin, begin + bytes.size());
    }

    std::string_view rest() const
    {
        return {gptr(), static_cast<size_t>(egptr() - gptr())};
    }
};

/** Collects bytes in a string. */
struct StringBuffer : std::streambuf {
    std::string m_bytes;

    std::streamsize xsputn(const char *data, std::streamsize count) override
    {
        m_bytes.append(data, static_cast<size_t>(count));
        return count;
    }

    int_type overflow(int_type value) override
    {
        m_bytes.push_back(static_cast<char>(value));
        return value;
    }
};

/** An input archive together with the bytes that are left in it. */
struct Input {
    explicit Input(std::string_view bytes) : m_buffer(bytes), m_stream(&m_buffer), m_archive(m_stream)
    {
    }

    ViewBuffer m_buffer;
    std::istream m_stream;
    Reader m_archive;
};

struct Output {
    Output() : m_stream(&m_buffer), m_archive(m_stream)
    {
    }

    StringBuffer m_buffer;
    std::ostream m_stream;
    Writer m_archive;
};

template<typename T>
void put(Output &output, const T &value)
{
    output.m_archive(value);
}

template<typename T>
T get(Input &input)
{
    T value{};
    input.m_archive(value);
    return value;
}

[[noreturn]] void rejectBytes()
{
    throw cereal::Exception("length above its bound");
}

/** Variable length, 7 bits a byte from the low end: most numbers here take a few bytes of the 2 KB/s of a node. */
void putNumber(Output &output, uint64_t value)
{
    constexpr uint64_t Continued = 0x80;
    while (value >= Continued) {
        put(output, static_cast<uint8_t>(value | Continued));
        value >>= 7;
    }
    put(output, static_cast<uint8_t>(value));
}

uint64_t getNumber(Input &input)
{
    constexpr uint8_t Continued = 0x80;
    uint64_t value = 0;
    for (int shift = 0; shift < 64; shift += 7) {
        const auto byte = get<uint8_t>(input);
        value |= static_cast<uint64_t>(byte & ~Continued) << shift;
        if ((byte & Continued) == 0) {
            return value;
        }
    }
    rejectBytes();
}

void putRevision(Output &output, int64_t revision)
{
    putNumber(output, static_cast<uint64_t>(revision));
}

int64_t getRevision(Input &input)
{
    return static_cast<int64_t>(getNumber(input));
}

/** A length is checked against the bytes that are left before anything is allocated. */
std::string_view getView(Input &input, size_t length)
{
    const std::string_view rest = input.m_buffer.rest();
    if (length > rest.size()) {
        rejectBytes();
    }
    input.m_stream.ignore(static_cast<std::streamsize>(length));
    return rest.substr(0, length);
}

void putBytes(Output &output, std::string_view bytes)
{
    putNumber(output, bytes.size());
    output.m_archive(cereal::binary_data(bytes.data(), bytes.size()));
}

std::string getBytes(Input &input, size_t maxLength)
{
    const size_t length = getNumber(input);
    if (length > maxLength) {
        rejectBytes();
    }
    return std::string(getView(input, length));
}

void putName(Output &output, std::string_view name)
{
    const std::string_view bounded = name.substr(0, MaxNameLength);
    put(output, static_cast<uint8_t>(bounded.size()));
    output.m_archive(cereal::binary_data(bounded.data(), bounded.size()));
}

std::string getName(Input &input)
{
    const size_t length = get<uint8_t>(input);
    if (length > MaxNameLength) {
        rejectBytes();
    }
    return std::string(getView(input, length));
}

// An IPv4 address takes 7 bytes instead of up to 18; other hosts are sent as text.
constexpr uint8_t AddressV4 = 4;
constexpr uint8_t AddressText = 0;

void putAddress(Output &output, const Address &address)
{
    in_addr number{};
    std::array<char, INET_ADDRSTRLEN> text{};
    const bool isV4 = inet_pton(AF_INET, address.m_host.c_str(), &number) == 1
        && inet_ntop(AF_INET, &number, text.data(), text.size()) != nullptr && address.m_host == text.data();
    put(output, isV4 ? AddressV4 : AddressText);
    if (isV4) {
        output.m_archive(cereal::binary_data(&number, sizeof(number)));
    } else {
        putName(output, address.m_host);
    }
    put(output, static_cast<uint16_t>(address.m_port));
}

Address getAddress(Input &input)
{
    Address address;
    if (get<uint8_t>(input) == AddressV4) {
        in_addr number{};
        input.m_archive(cereal::binary_data(&number, sizeof(number)));
        std::array<char, INET_ADDRSTRLEN> text{};
        if (inet_ntop(AF_INET, &number, text.data(), text.size()) != nullptr) {
            address.m_host = text.data();
        }
    } else {
        address.m_host = getName(input);
    }
    address.m_port = get<uint16_t>(input);
    return address;
}

/** A list of records, each with its length, so that fields added by later versions are passed over. */
template<typename T, typename Put>
void putList(Output &output, const std::vector<T> &list, const Put &putElement)
{
    putNumber(output, list.size());
    for (const T &element : list) {
        Output record;
        putElement(record, element);
        putBytes(output, record.m_buffer.m_bytes);
    }
}

template<typename T, typename Get>
std::vector<T> getList(Input &input, size_t maxCount, const Get &getElement)
{
    const size_t count = getNumber(input);
    if (count > maxCount) {
        rejectBytes();
    }
    std::vector<T> list;
    for (size_t i = 0; i < count; ++i) {
        Input record(getView(input, getNumber(input)));
        list.push_back(getElement(record));
    }
    return list;
}

template<typename Enum>
Enum getEnum(Input &input, Enum last)
{
    const auto value = get<uint8_t>(input);
    return value <= static_cast<uint8_t>(last) ? static_cast<Enum>(value) : last;
}

void putMember(Output &output, const Member &member)
{
    putAddress(output, member.m_address);
    putName(output, member.m_node);
    putName(output, member.m_region);
    putName(output, member.m_failureDomain);
    put(output, static_cast<uint8_t>(member.m_readiness));
    put(output, static_cast<uint8_t>(member.m_state));
    putNumber(output, member.m_boot);
    putNumber(output, member.m_incarnation);
    putRevision(output, member.m_cursor);
}

Member getMember(Input &input)
{
    Member member;
    member.m_address = getAddress(input);
    member.m_node = getName(input);
    member.m_region = getName(input);
    member.m_failureDomain = getName(input);
    member.m_readiness = getEnum(input, Readiness::Draining);
    member.m_state = getEnum(input, MemberState::Left);
    member.m_boot = getNumber(input);
    member.m_incarnation = static_cast<uint32_t>(getNumber(input));
    member.m_cursor = getRevision(input);
    return member;
}

void putVerdict(Output &output, const CrashVerdict &verdict)
{
    put(output, verdict.m_contentHash);
    put(output, static_cast<uint32_t>(std::clamp<int64_t>(verdict.m_remaining.count(), 0, milliseconds(MaxVerdictTime).count())));
}

CrashVerdict getVerdict(Input &input)
{
    CrashVerdict verdict;
    verdict.m_contentHash = get<uint64_t>(input);
    verdict.m_remaining = std::min<milliseconds>(milliseconds(get<uint32_t>(input)), MaxVerdictTime);
    return verdict;
}

void putHeartbeat(Output &output, const Heartbeat &heartbeat)
{
    putRevision(output, heartbeat.m_cursor);
    put(output, heartbeat.m_digest);
    putList(output, heartbeat.m_members, putMember);
    putList(output, heartbeat.m_verdicts, putVerdict);
}

Heartbeat getHeartbeat(Input &input)
{
    Heartbeat heartbeat;
    heartbeat.m_cursor = getRevision(input);
    heartbeat.m_digest = get<uint64_t>(input);
    heartbeat.m_members = getList<Member>(input, MaxMembers, getMember);
    heartbeat.m_verdicts = getList<CrashVerdict>(input, MaxVerdicts, getVerdict);
    return heartbeat;
}

constexpr uint8_t NoSpread = 0;
constexpr uint8_t GlobalSpread = 1;
constexpr uint8_t RegionalSpread = 2;

void putSpread(Output &output, const SpreadHeader &spread)
{
    put(output, static_cast<uint8_t>(spread.m_identifier != 0 ? (spread.m_regional ? RegionalSpread : GlobalSpread) : NoSpread));
    if (spread.m_identifier == 0) {
        return;
    }
    put(output, spread.m_identifier);
    putAddress(output, spread.m_begin);
    putAddress(output, spread.m_end);
}

SpreadHeader getSpread(Input &input)
{
    SpreadHeader spread;
    const auto kind = get<uint8_t>(input);
    if (kind == NoSpread) {
        return spread;
    }
    spread.m_regional = kind == RegionalSpread;
    spread.m_identifier = get<uint64_t>(input);
    spread.m_begin = getAddress(input);
    spread.m_end = getAddress(input);
    return spread;
}

void putObject(Output &output, const ConfigObject &object)
{
    putBytes(output, object.m_key);
    putRevision(output, object.m_revision);
    putBytes(output, object.m_content);
}

ConfigObject getObject(Input &input)
{
    ConfigObject object;
    object.m_key = getBytes(input, MaxConfigKeyBytes);
    object.m_revision = getRevision(input);
    object.m_content = getBytes(input, MaxConfigContentBytes);
    return object;
}

void putChanges(Output &output, const ConfigChanges &changes)
{
    putRevision(output, changes.m_previous);
    putRevision(output, changes.m_cursor);
    putList(output, changes.m_objects, putObject);
}

ConfigChanges getChanges(Input &input)
{
    ConfigChanges changes;
    changes.m_previous = getRevision(input);
    changes.m_cursor = getRevision(input);
    changes.m_objects = getList<ConfigObject>(input, MaxObjectsPerMessage, getObject);
    return changes;
}

void putBody(Output &output, const Ping &ping)
{
    put(output, ping.m_probe);
    put(output, static_cast<uint8_t>(ping.m_targetState));
    if (ping.m_targetState != MemberState::Alive) {
        putNumber(output, ping.m_targetBoot);
        putNumber(output, ping.m_targetIncarnation);
    }
    putHeartbeat(output, ping.m_heartbeat);
}

void getBody(Input &input, Ping &ping)
{
    ping.m_probe = get<uint32_t>(input);
    ping.m_targetState = getEnum(input, MemberState::Left);
    if (ping.m_targetState != MemberState::Alive) {
        ping.m_targetBoot = getNumber(input);
        ping.m_targetIncarnation = static_cast<uint32_t>(getNumber(input));
    }
    ping.m_heartbeat = getHeartbeat(input);
}

void putBody(Output &output, const Ack &ack)
{
    put(output, ack.m_probe);
    put(output, static_cast<uint8_t>(ack.m_introduce));
    putHeartbeat(output, ack.m_heartbeat);
}

void getBody(Input &input, Ack &ack)
{
    ack.m_probe = get<uint32_t>(input);
    ack.m_introduce = get<uint8_t>(input) != 0;
    ack.m_heartbeat = getHeartbeat(input);
}

void putBody(Output &output, const PingRequest &request)
{
    put(output, request.m_probe);
    putAddress(output, request.m_target);
}

void getBody(Input &input, PingRequest &request)
{
    request.m_probe = get<uint32_t>(input);
    request.m_target = getAddress(input);
}

void putBody(Output &output, const Membership &membership)
{
    putSpread(output, membership.m_spread);
    put(output, static_cast<uint8_t>(membership.m_complete));
    putList(output, membership.m_members, putMember);
    putList(output, membership.m_verdicts, putVerdict);
}

void getBody(Input &input, Membership &membership)
{
    membership.m_spread = getSpread(input);
    membership.m_complete = get<uint8_t>(input) != 0;
    membership.m_members = getList<Member>(input, MaxMembers, getMember);
    membership.m_verdicts = getList<CrashVerdict>(input, MaxVerdicts, getVerdict);
}

void putBody(Output &output, const MembershipPull &pull)
{
    putMember(output, pull.m_self);
}

void getBody(Input &input, MembershipPull &pull)
{
    pull.m_self = getMember(input);
}

void putBody(Output &output, const ConfigChangeMessage &change)
{
    putSpread(output, change.m_spread);
    putChanges(output, change.m_changes);
}

void getBody(Input &input, ConfigChangeMessage &change)
{
    change.m_spread = getSpread(input);
    change.m_changes = getChanges(input);
}

void putBody(Output &output, const ConfigPullMessage &pull)
{
    putRevision(output, pull.m_cursor);
}

void getBody(Input &input, ConfigPullMessage &pull)
{
    pull.m_cursor = getRevision(input);
}

void putBody(Output &output, const ConfigBatchMessage &batch)
{
    putChanges(output, batch.m_changes);
}

void getBody(Input &input, ConfigBatchMessage &batch)
{
    batch.m_changes = getChanges(input);
}

void putBody(Output &output, const CrashVerdictSpread &verdict)
{
    putSpread(output, verdict.m_spread);
    putVerdict(output, verdict.m_verdict);
}

void getBody(Input &input, CrashVerdictSpread &verdict)
{
    verdict.m_spread = getSpread(input);
    verdict.m_verdict = getVerdict(input);
}

void putBody(Output &output, const SpreadAck &ack)
{
    put(output, ack.m_token);
}

void getBody(Input &input, SpreadAck &ack)
{
    ack.m_token = get<uint64_t>(input);
}

void putBody(Output &output, const Call &call)
{
    putNumber(output, call.m_call);
    putBytes(output, call.m_payload);
}

void getBody(Input &input, Call &call)
{
    call.m_call = getNumber(input);
    call.m_payload = getBytes(input, MaxCallPayloadBytes);
}

void putBody(Output &output, const CallAnswer &answer)
{
    putNumber(output, answer.m_call);
    put(output, static_cast<uint8_t>(answer.m_accepted));
    putBytes(output, answer.m_payload);
}

void getBody(Input &input, CallAnswer &answer)
{
    answer.m_call = getNumber(input);
    answer.m_accepted = get<uint8_t>(input) != 0;
    answer.m_payload = getBytes(input, MaxCallPayloadBytes);
}

template<typename T>
MessageBody readBody(Input &input)
{
    T body;
    getBody(input, body);
    return body;
}

MessageBody readBody(MessageType type, Input &input)
{
    switch (type) {
    case MessageType::Ping:
        return readBody<Ping>(input);
    case MessageType::Ack:
        return readBody<Ack>(input);
    case MessageType::PingRequest:
        return readBody<PingRequest>(input);
    case MessageType::Membership:
        return readBody<Membership>(input);
    case MessageType::MembershipPull:
        return readBody<MembershipPull>(input);
    case MessageType::ConfigChangeMessage:
        return readBody<ConfigChangeMessage>(input);
    case MessageType::ConfigPullMessage:
        return readBody<ConfigPullMessage>(input);
    case MessageType::ConfigBatchMessage:
        return readBody<ConfigBatchMessage>(input);
    case MessageType::CrashVerdict:
        return readBody<CrashVerdictSpread>(input);
    case MessageType::SpreadAck:
        return readBody<SpreadAck>(input);
    case MessageType::Call:
        return readBody<Call>(input);
    case MessageType::CallAnswer:
        return readBody<CallAnswer>(input);
    }
    rejectBytes();
}

bool isKnownType(uint8_t type)
{
    return type >= static_cast<uint8_t>(MessageType::Ping) && type <= static_cast<uint8_t>(MessageType::CallAnswer);
}

/**
 * The destination and the channel are part of the signed bytes but not of the message. A captured message is
 * therefore worth nothing at another node, whose replay window has not seen it.
 */
std::string makeMac(const std::string &secret, const Address &destination, Channel channel, std::string_view bytes)
{
    std::string input = toString(destination);
    input.push_back(static_cast<char>(channel));
    input.append(bytes);
    const Digest digest = hmacSha256(secret, input);
    return {reinterpret_cast<const char *>(digest.data()), MacBytes};
}

size_t channelLimit(Channel channel)
{
    return channel == Channel::Datagram ? MaxDatagramBytes : MaxFrameBytes;
}

/** Position of the key identifier in a message, after the archive's byte order and the protocol version. */
constexpr size_t KeyPosition = 2;
constexpr size_t MinMessageBytes = KeyPosition + 1 + MacBytes;

bool isAuthentic(const Codec &codec, std::string_view bytes, Channel channel)
{
    const std::string_view signedBytes = bytes.substr(0, bytes.size() - MacBytes);
    const std::string_view mac = bytes.substr(bytes.size() - MacBytes);
    const auto identifier = static_cast<uint8_t>(bytes[KeyPosition]);
    for (const PeerSecret &key : codec.m_keys) {
        if (key.m_identifier == identifier && equalSecrets(makeMac(key.m_secret, codec.m_self, channel, signedBytes), mac)) {
            return true;
        }
    }
    return false;
}

struct MessageHeader {
    uint8_t m_type = 0;
    Address m_sender;
    uint64_t m_boot = 0;
    uint64_t m_sequence = 0;
};

MessageHeader getHeader(Input &input)
{
    MessageHeader header;
    get<uint8_t>(input); // protocol version; all versions so far share this header
    get<uint8_t>(input); // key identifier
    header.m_type = get<uint8_t>(input);
    header.m_sender = getAddress(input);
    header.m_boot = getNumber(input);
    header.m_sequence = getNumber(input);
    return header;
}

ReplayRecord &replayRecord(Codec &codec, const Address &sender, TimePoint now)
{
    const auto found = codec.m_replay.find(sender);
    if (found != codec.m_replay.end()) {
        found->second.m_lastUsed = now;
        return found->second;
    }
    if (codec.m_replay.size() >= MaxMembers) {
        const auto oldest = std::min_element(codec.m_replay.begin(), codec.m_replay.end(), [](const auto &left, const auto &right) {
            return left.second.m_lastUsed < right.second.m_lastUsed;
        });
        codec.m_replay.erase(oldest);
    }
    ReplayRecord &record = codec.m_replay[sender];
    record.m_lastUsed = now;
    return record;
}

/** Marks the sequence number as seen. False when it was seen before or is below the window. */
bool markSeen(ReplayRecord &record, Channel channel, uint64_t sequence)
{
    const auto index = static_cast<size_t>(channel);
    uint64_t &highest = record.m_highest[index];
    auto &seen = record.m_seen[index];
    const auto bit = [&seen](uint64_t number) -> std::pair<uint64_t &, uint64_t> {
        const uint64_t slot = number % ReplayWindow;
        return {seen[slot / 64], uint64_t(1) << (slot % 64)};
    };
    if (sequence == 0 || sequence + ReplayWindow <= highest) {
        return false;
    }
    if (sequence > highest) {
        if (sequence - highest >= ReplayWindow) {
            seen.fill(0);
        } else {
            for (uint64_t number = highest + 1; number <= sequence; ++number) {
                auto [word, mask] = bit(number);
                word &= ~mask;
            }
        }
        highest = sequence;
    }
    auto [word, mask] = bit(sequence);
    const bool isNew = (word & mask) == 0;
    word |= mask;
    return isNew;
}

/** Fills @p result and returns true when the message is to be dropped. */
bool isReplayed(Codec &codec, const MessageHeader &header, Channel channel, TimePoint now, DecodeResult &result)
{
    ReplayRecord &record = replayRecord(codec, header.m_sender, now);
    if (header.m_boot < record.m_boot) {
        result.m_oldBoot = true;
        return true;
    }
    if (header.m_boot > record.m_boot) {
        record = ReplayRecord{.m_boot = header.m_boot, .m_lastUsed = now};
    }
    return !markSeen(record, channel, header.m_sequence);
}

} // namespace

MessageType messageType(const MessageBody &body)
{
    return static_cast<MessageType>(body.index() + 1);
}

std::string encodeBody(const MessageBody &body)
{
    Output output;
    std::visit([&output](const auto &value) { putBody(output, value); }, body);
    return std::move(output.m_buffer.m_bytes);
}

std::optional<MessageBody> decodeBody(MessageType type, std::string_view bytes)
{
    try {
        Input input(bytes);
        return readBody(type, input);
    } catch (const cereal::Exception &) {
        return std::nullopt;
    }
}

std::optional<std::string> encodeMessage(Codec &codec, uint64_t boot, const Address &destination, Channel channel, const MessageBody &body)
{
    if (codec.m_keys.empty()) {
        return std::nullopt;
    }
    Output output;
    put(output, ProtocolVersion);
    put(output, codec.m_keys.front().m_identifier);
    put(output, static_cast<uint8_t>(messageType(body)));
    putAddress(output, codec.m_self);
    putNumber(output, boot);
    putNumber(output, codec.m_sequence[static_cast<size_t>(channel)] + 1);
    std::visit([&output](const auto &value) { putBody(output, value); }, body);
    std::string &bytes = output.m_buffer.m_bytes;
    if (bytes.size() + MacBytes > channelLimit(channel)) {
        return std::nullopt;
    }
    ++codec.m_sequence[static_cast<size_t>(channel)];
    bytes += makeMac(codec.m_keys.front().m_secret, destination, channel, bytes);
    return std::move(bytes);
}

DecodeResult decodeMessage(Codec &codec, std::string_view bytes, Channel channel, TimePoint now)
{
    DecodeResult result;
    if (bytes.size() > channelLimit(channel)) {
        result.m_reason = Reason::PeerMessageTooLarge;
        return result;
    }
    if (bytes.size() < MinMessageBytes) {
        result.m_reason = Reason::PeerMessageMalformed;
        return result;
    }
    if (!isAuthentic(codec, bytes, channel)) {
        result.m_reason = Reason::PeerMessageUnauthenticated;
        return result;
    }
    try {
        Input input(bytes.substr(0, bytes.size() - MacBytes));
        const MessageHeader header = getHeader(input);
        result.m_message.m_sender = header.m_sender;
        result.m_message.m_boot = header.m_boot;
        result.m_message.m_sequence = header.m_sequence;
        if (isReplayed(codec, header, channel, now, result)) {
            result.m_reason = Reason::PeerMessageReplayed;
            return result;
        }
        if (!isKnownType(header.m_type)) {
            result.m_unknownType = true;
            return result;
        }
        result.m_message.m_body = readBody(static_cast<MessageType>(header.m_type), input);
    } catch (const cereal::Exception &) {
        result.m_reason = Reason::PeerMessageMalformed;
    }
    return result;
}

} // namespace Medlarramp
