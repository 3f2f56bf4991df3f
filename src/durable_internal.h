#pragma once

// Encoding shared by the parts of durable: fields in cereal portable binary, read with bounds.

#include <sstream>
#include <string>

#include <cereal/archives/portable_binary.hpp>

#include "durable.h"

namespace Medlarramp {

struct Encoder {
    std::ostringstream m_stream;
    cereal::PortableBinaryOutputArchive m_archive{m_stream};
};

inline void putNumber(Encoder &encoder, uint64_t value)
{
    encoder.m_archive(value);
}

inline void putByte(Encoder &encoder, uint8_t value)
{
    encoder.m_archive(value);
}

inline void putIdentifier(Encoder &encoder, const Identifier &value)
{
    encoder.m_archive(value.m_high, value.m_low);
}

inline void putString(Encoder &encoder, const std::string &value)
{
    encoder.m_archive(static_cast<uint32_t>(value.size()));
    encoder.m_archive(cereal::binary_data(value.data(), value.size()));
}

/** Reads fields until one is missing; then every further field reads as zero and m_failed is set. */
struct Decoder {
    explicit Decoder(const std::string &bytes) : m_stream(bytes), m_left(bytes.size())
    {
    }

    std::istringstream m_stream;
    size_t m_left;
    bool m_failed = false;
    std::unique_ptr<cereal::PortableBinaryInputArchive> m_archive;
};

/** Creates the archive, which reads the byte order mark and throws when there is none. */
inline void beginDecoding(Decoder &decoder)
{
    if (decoder.m_left == 0) {
        decoder.m_failed = true;
        return;
    }
    --decoder.m_left;
    decoder.m_archive = std::make_unique<cereal::PortableBinaryInputArchive>(decoder.m_stream);
}

template<typename T>
T takeNumber(Decoder &decoder)
{
    T value = 0;
    if (decoder.m_failed || decoder.m_left < sizeof(T)) {
        decoder.m_failed = true;
        return 0;
    }
    decoder.m_left -= sizeof(T);
    (*decoder.m_archive)(value);
    return value;
}

inline Identifier takeIdentifier(Decoder &decoder)
{
    Identifier value;
    value.m_high = takeNumber<uint64_t>(decoder);
    value.m_low = takeNumber<uint64_t>(decoder);
    return value;
}

inline std::string takeString(Decoder &decoder, size_t maxLength)
{
    const size_t length = takeNumber<uint32_t>(decoder);
    if (decoder.m_failed || length > maxLength || length > decoder.m_left) {
        decoder.m_failed = true;
        return {};
    }
    std::string value(length, '\0');
    (*decoder.m_archive)(cereal::binary_data(value.data(), length));
    decoder.m_left -= length;
    return value;
}

/** A member of an enumeration whose last value is @p last. */
template<typename T>
T takeEnum(Decoder &decoder, T last)
{
    const auto value = takeNumber<uint8_t>(decoder);
    if (value > static_cast<uint8_t>(last)) {
        decoder.m_failed = true;
        return T{};
    }
    return static_cast<T>(value);
}

/** Delay before try number @p tries: exponential with full jitter around the mean. */
Duration retryDelay(int tries, Random &random);

} // namespace Medlarramp
