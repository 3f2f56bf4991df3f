#include <fmt/format.h>

#include "durable_internal.h"

namespace Medlarramp {

namespace {

constexpr size_t MinEntryBytes = 33; ///< kind, key, call
constexpr size_t MaxSegmentEntries = MaxDurableValueBytes / MinEntryBytes;

/** Trailing fields are ignored, so that a later version may add some. */
template<typename T>
absl::StatusOr<T> decodeWith(const std::string &bytes, const char *what, T (*read)(Decoder &))
{
    try {
        Decoder decoder(bytes);
        beginDecoding(decoder);
        T value = read(decoder);
        if (!decoder.m_failed) {
            return value;
        }
    } catch (const cereal::Exception &) {
    }
    return absl::InvalidArgumentError(fmt::format("malformed {} of {} bytes", what, bytes.size()));
}

ClaimRequest readRequest(Decoder &decoder)
{
    ClaimRequest message;
    message.m_key = takeIdentifier(decoder);
    message.m_call = takeIdentifier(decoder);
    message.m_holder = takeIdentifier(decoder);
    message.m_bodyHash = takeNumber<uint64_t>(decoder);
    message.m_runMilliseconds = static_cast<int64_t>(takeNumber<uint64_t>(decoder));
    return message;
}

ClaimAnswer readAnswer(Decoder &decoder)
{
    ClaimAnswer message;
    message.m_key = takeIdentifier(decoder);
    message.m_call = takeIdentifier(decoder);
    message.m_status = takeEnum(decoder, ClaimStatus::NotOwner);
    message.m_reason = takeEnum(decoder, Reason::InternalError);
    message.m_answer = takeString(decoder, MaxKeptAnswerBytes);
    return message;
}

ClaimReport readReport(Decoder &decoder)
{
    ClaimReport message;
    message.m_key = takeIdentifier(decoder);
    message.m_call = takeIdentifier(decoder);
    message.m_kind = takeEnum(decoder, ClaimReportKind::Ambiguous);
    message.m_kept = takeNumber<uint8_t>(decoder) != 0;
    message.m_answer = takeString(decoder, MaxKeptAnswerBytes);
    return message;
}

ClaimReportAck readAck(Decoder &decoder)
{
    ClaimReportAck message;
    message.m_key = takeIdentifier(decoder);
    message.m_call = takeIdentifier(decoder);
    return message;
}

void putEntry(Encoder &encoder, const ClaimEntry &entry)
{
    putByte(encoder, static_cast<uint8_t>(entry.m_kind));
    putIdentifier(encoder, entry.m_key);
    putIdentifier(encoder, entry.m_call);
    if (entry.m_kind == ClaimEntry::Kind::Claim) {
        putIdentifier(encoder, entry.m_holder);
        putNumber(encoder, entry.m_bodyHash);
        putNumber(encoder, static_cast<uint64_t>(entry.m_runMilliseconds));
    }
    if (entry.m_kind == ClaimEntry::Kind::Result) {
        putByte(encoder, entry.m_kept ? 1 : 0);
        putString(encoder, entry.m_answer);
    }
}

ClaimEntry readEntry(Decoder &decoder)
{
    ClaimEntry entry;
    entry.m_kind = takeEnum(decoder, ClaimEntry::Kind::Ambiguous);
    entry.m_key = takeIdentifier(decoder);
    entry.m_call = takeIdentifier(decoder);
    if (entry.m_kind == ClaimEntry::Kind::Claim) {
        entry.m_holder = takeIdentifier(decoder);
        entry.m_bodyHash = takeNumber<uint64_t>(decoder);
        entry.m_runMilliseconds = static_cast<int64_t>(takeNumber<uint64_t>(decoder));
    }
    if (entry.m_kind == ClaimEntry::Kind::Result) {
        entry.m_kept = takeNumber<uint8_t>(decoder) != 0;
        entry.m_answer = takeString(decoder, MaxKeptAnswerBytes);
    }
    return entry;
}

std::vector<ClaimEntry> readSegment(Decoder &decoder)
{
    std::vector<ClaimEntry> entries;
    const size_t count = takeNumber<uint32_t>(decoder);
    if (count > MaxSegmentEntries) {
        decoder.m_failed = true;
    }
    for (size_t i = 0; i < count && !decoder.m_failed; ++i) {
        entries.push_back(readEntry(decoder));
    }
    return entries;
}

} // namespace

int partitionOf(const Identifier &key, int partitions)
{
    return static_cast<int>(combineHash(key.m_high, key.m_low) % static_cast<uint64_t>(partitions));
}

std::string preferredOwner(int partition, const std::vector<std::string> &nodes)
{
    const std::string *best = nullptr;
    uint64_t bestScore = 0;
    for (const std::string &node : nodes) {
        const uint64_t score = hash64(node, static_cast<uint64_t>(partition) + 1);
        if (!best || score > bestScore || (score == bestScore && node < *best)) {
            best = &node;
            bestScore = score;
        }
    }
    return best ? *best : std::string();
}

std::string encode(const ClaimRequest &message)
{
    Encoder encoder;
    putIdentifier(encoder, message.m_key);
    putIdentifier(encoder, message.m_call);
    putIdentifier(encoder, message.m_holder);
    putNumber(encoder, message.m_bodyHash);
    putNumber(encoder, static_cast<uint64_t>(message.m_runMilliseconds));
    return encoder.m_stream.str();
}

std::string encode(const ClaimAnswer &message)
{
    Encoder encoder;
    putIdentifier(encoder, message.m_key);
    putIdentifier(encoder, message.m_call);
    putByte(encoder, static_cast<uint8_t>(message.m_status));
    putByte(encoder, static_cast<uint8_t>(message.m_reason));
    putString(encoder, message.m_answer);
    return encoder.m_stream.str();
}

std::string encode(const ClaimReport &message)
{
    Encoder encoder;
    putIdentifier(encoder, message.m_key);
    putIdentifier(encoder, message.m_call);
    putByte(encoder, static_cast<uint8_t>(message.m_kind));
    putByte(encoder, message.m_kept ? 1 : 0);
    putString(encoder, message.m_answer);
    return encoder.m_stream.str();
}

std::string encode(const ClaimReportAck &message)
{
    Encoder encoder;
    putIdentifier(encoder, message.m_key);
    putIdentifier(encoder, message.m_call);
    return encoder.m_stream.str();
}

absl::StatusOr<ClaimRequest> decodeClaimRequest(const std::string &bytes)
{
    return decodeWith(bytes, "claim", readRequest);
}

absl::StatusOr<ClaimAnswer> decodeClaimAnswer(const std::string &bytes)
{
    return decodeWith(bytes, "claim answer", readAnswer);
}

absl::StatusOr<ClaimReport> decodeClaimReport(const std::string &bytes)
{
    return decodeWith(bytes, "claim report", readReport);
}

absl::StatusOr<ClaimReportAck> decodeClaimReportAck(const std::string &bytes)
{
    return decodeWith(bytes, "acknowledgement of a claim report", readAck);
}

std::string encodeSegment(const std::vector<ClaimEntry> &entries)
{
    Encoder encoder;
    encoder.m_archive(static_cast<uint32_t>(entries.size()));
    for (const ClaimEntry &entry : entries) {
        putEntry(encoder, entry);
    }
    return encoder.m_stream.str();
}

absl::StatusOr<std::vector<ClaimEntry>> decodeSegment(const std::string &body)
{
    return decodeWith(body, "claim segment", readSegment);
}

} // namespace Medlarramp
