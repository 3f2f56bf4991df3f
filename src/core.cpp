#include "core.h"

#include <cassert>
#include <cmath>
#include <map>
#include <random>
#include <thread>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <urcu.h>
#include <xxhash.h>

#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#endif

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] Time
//-----------------------------------------------------------------------------

TimePoint now(const Clock &clock)
{
    if (clock.m_paused.load(std::memory_order_acquire)) {
        return TimePoint(Duration(clock.m_pausedAt.load(std::memory_order_acquire)));
    }
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

int64_t wallMilliseconds(const Clock &clock)
{
    if (clock.m_paused.load(std::memory_order_acquire)) {
        return clock.m_pausedWall.load(std::memory_order_acquire);
    }
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void pauseClock(Clock &clock, TimePoint at, int64_t wallMilliseconds)
{
    clock.m_pausedAt.store(at.time_since_epoch().count(), std::memory_order_release);
    clock.m_pausedWall.store(wallMilliseconds, std::memory_order_release);
    clock.m_paused.store(true, std::memory_order_release);
}

void advanceClock(Clock &clock, Duration by)
{
    assert(clock.m_paused.load());
    clock.m_pausedAt.fetch_add(by.count(), std::memory_order_acq_rel);
    clock.m_pausedWall.fetch_add(std::chrono::duration_cast<milliseconds>(by).count(), std::memory_order_acq_rel);
}

namespace {

// A paused clock cannot wake a condition variable, so waiters look at it at this interval.
constexpr milliseconds PausedClockPoll{1};

} // namespace

bool waitUntil(const Clock &clock,
               std::unique_lock<std::mutex> &lock,
               std::condition_variable &condition,
               TimePoint deadline,
               const std::function<bool()> &predicate)
{
    while (!predicate()) {
        const TimePoint current = now(clock);
        if (current >= deadline) {
            return false;
        }
        const Duration left = clock.m_paused.load() ? Duration(PausedClockPoll) : deadline - current;
        condition.wait_for(lock, left);
    }
    return true;
}

void requestStop(StopSignal &signal)
{
    const std::lock_guard lock(signal.m_mutex);
    signal.m_stopped = true;
    signal.m_condition.notify_all();
}

bool isStopped(StopSignal &signal)
{
    const std::lock_guard lock(signal.m_mutex);
    return signal.m_stopped;
}

bool sleepFor(const Clock &clock, StopSignal &signal, Duration duration)
{
    std::unique_lock lock(signal.m_mutex);
    return !waitUntil(clock, lock, signal.m_condition, now(clock) + duration, [&signal] { return signal.m_stopped; });
}

//-----------------------------------------------------------------------------
// [SECTION] Identifiers
//-----------------------------------------------------------------------------

namespace {

constexpr uint64_t UuidVersion7 = 7;
constexpr uint64_t UuidVariant = 2; ///< RFC 9562, section 4.1
constexpr size_t UuidLength = 36;

uint64_t threadRandom()
{
    thread_local Random random{entropySeed()};
    return nextRandom(random);
}

} // namespace

Identifier makeIdentifier(const Clock &clock)
{
    const auto time = static_cast<uint64_t>(wallMilliseconds(clock));
    Identifier identifier;
    identifier.m_high = (time << 16) | (UuidVersion7 << 12) | (threadRandom() & 0xfff);
    identifier.m_low = (UuidVariant << 62) | (threadRandom() >> 2);
    return identifier;
}

std::string toString(const Identifier &identifier)
{
    return fmt::format("{:08x}-{:04x}-{:04x}-{:04x}-{:012x}",
                       identifier.m_high >> 32,
                       (identifier.m_high >> 16) & 0xffff,
                       identifier.m_high & 0xffff,
                       identifier.m_low >> 48,
                       identifier.m_low & 0xffffffffffff);
}

std::optional<Identifier> parseIdentifier(std::string_view text)
{
    if (text.size() != UuidLength) {
        return std::nullopt;
    }
    std::array<uint64_t, 2> halves{};
    size_t digits = 0;
    for (size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (i == 8 || i == 13 || i == 18 || i == 23) {
            if (c != '-') {
                return std::nullopt;
            }
            continue;
        }
        uint64_t digit = 0;
        if (c >= '0' && c <= '9') {
            digit = static_cast<uint64_t>(c - '0');
        } else if (c >= 'a' && c <= 'f') {
            digit = static_cast<uint64_t>(c - 'a') + 10;
        } else if (c >= 'A' && c <= 'F') {
            digit = static_cast<uint64_t>(c - 'A') + 10;
        } else {
            return std::nullopt;
        }
        uint64_t &half = halves[digits / 16];
        half = (half << 4) | digit;
        ++digits;
    }
    return Identifier{halves[0], halves[1]};
}

std::optional<int64_t> identifierMilliseconds(const Identifier &identifier)
{
    if (((identifier.m_high >> 12) & 0xf) != UuidVersion7 || (identifier.m_low >> 62) != UuidVariant) {
        return std::nullopt;
    }
    return static_cast<int64_t>(identifier.m_high >> 16);
}

//-----------------------------------------------------------------------------
// [SECTION] Findings
//-----------------------------------------------------------------------------

std::string toString(const Findings &findings)
{
    std::string text;
    for (const Finding &finding : findings) {
        text += fmt::format("{}:{}: {}\n", finding.m_file, finding.m_pointer, finding.m_reason);
    }
    return text;
}

nlohmann::json toJson(const Findings &findings)
{
    nlohmann::json list = nlohmann::json::array();
    for (const Finding &finding : findings) {
        list.push_back({{"file", finding.m_file}, {"pointer", finding.m_pointer}, {"reason", finding.m_reason}});
    }
    return list;
}

//-----------------------------------------------------------------------------
// [SECTION] Outcomes
//-----------------------------------------------------------------------------

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

namespace {

constexpr std::array<std::string_view, static_cast<size_t>(Reason::Count)> ReasonNames = {
    "none",
    "malformed_request",
    "body_too_large",
    "unknown_pipeline",
    "unknown_key",
    "forbidden",
    "idempotency_key_missing",
    "idempotency_key_mismatch",
    "idempotency_key_expired",
    "deadline_in_past",
    "rate_limited",
    "concurrency_limited",
    "queue_full",
    "deadline_unreachable",
    "too_many_connections",
    "draining",
    "quota_exceeded",
    "batch_store_full",
    "memory_limited",
    "configuration_missing",
    "crash_guard",
    "claim_in_progress",
    "claim_unknown",
    "claim_answer_not_kept",
    "claim_owner_unavailable",
    "store_unavailable",
    "store_budget_exhausted",
    "conflict",
    "not_found",
    "no_upstream",
    "connect_failed",
    "connection_lost",
    "connection_silent",
    "attempt_timeout",
    "deadline_exceeded",
    "upstream_rejected",
    "upstream_overloaded",
    "upstream_error",
    "upstream_leaving",
    "upstream_evacuated",
    "upstream_cold",
    "stream_truncated",
    "invalid_answer",
    "retry_budget_exhausted",
    "caller_gone",
    "caller_stalled",
    "preempted",
    "hedged",
    "late_result",
    "duplicate_result",
    "outlier_ejected",
    "peer_message_malformed",
    "peer_message_unauthenticated",
    "peer_message_replayed",
    "peer_message_too_large",
    "peer_unreachable",
    "shutdown_limit",
    "internal_error",
    "configuration_unconfirmed",
    "stream_version_unknown",
    "stream_version_left",
    "stream_not_recorded",
};

} // namespace

std::string_view toString(Reason reason)
{
    const auto index = static_cast<size_t>(reason);
    assert(index < ReasonNames.size());
    return ReasonNames[index];
}

std::optional<Reason> parseReason(std::string_view name)
{
    for (size_t i = 0; i < ReasonNames.size(); ++i) {
        if (ReasonNames[i] == name) {
            return static_cast<Reason>(i);
        }
    }
    return std::nullopt;
}

//-----------------------------------------------------------------------------
// [SECTION] Random
//-----------------------------------------------------------------------------

uint64_t nextRandom(Random &random)
{
    random.m_state += 0x9e3779b97f4a7c15;
    uint64_t value = random.m_state;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

uint64_t uniformBelow(Random &random, uint64_t bound)
{
    assert(bound > 0);
    return nextRandom(random) % bound;
}

double uniformReal(Random &random)
{
    constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(nextRandom(random) >> 11) * Scale;
}

double exponential(Random &random, double mean)
{
    return -mean * std::log1p(-uniformReal(random));
}

uint64_t entropySeed()
{
    std::random_device device;
    return (static_cast<uint64_t>(device()) << 32) | device();
}

//-----------------------------------------------------------------------------
// [SECTION] Hashes
//-----------------------------------------------------------------------------

uint64_t hash64(std::string_view data, uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

uint64_t combineHash(uint64_t left, uint64_t right)
{
    const std::array<uint64_t, 2> values{left, right};
    return XXH3_64bits(values.data(), sizeof(values));
}

Digest hmacSha256(std::string_view key, std::string_view data)
{
    Digest digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(),
         key.data(),
         static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(data.data()),
         data.size(),
         digest.data(),
         &length);
    return digest;
}

Digest sha256(std::string_view data)
{
    Digest digest{};
    SHA256(reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.data());
    return digest;
}

std::string toHex(const Digest &digest)
{
    std::string text;
    for (const uint8_t byte : digest) {
        text += fmt::format("{:02x}", byte);
    }
    return text;
}

std::string toBase64(std::string_view data)
{
    std::string text((data.size() + 2) / 3 * 4, '\0');
    EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                    reinterpret_cast<const unsigned char *>(data.data()),
                    static_cast<int>(data.size()));
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    if (text.size() % 4 != 0) {
        return std::nullopt;
    }
    if (text.empty()) {
        return std::string();
    }
    std::string data(text.size() / 4 * 3, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(data.data()),
                                       reinterpret_cast<const unsigned char *>(text.data()),
                                       static_cast<int>(text.size()));
    if (length < 0) {
        return std::nullopt;
    }
    size_t padding = 0;
    while (padding < 2 && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    data.resize(static_cast<size_t>(length) - padding);
    return data;
}

bool equalSecrets(std::string_view left, std::string_view right)
{
    const Digest leftDigest = sha256(left);
    const Digest rightDigest = sha256(right);
    unsigned difference = 0;
    for (size_t i = 0; i < leftDigest.size(); ++i) {
        difference |= static_cast<unsigned>(leftDigest[i] ^ rightDigest[i]);
    }
    return difference == 0;
}

//-----------------------------------------------------------------------------
// [SECTION] RCU pointer
//-----------------------------------------------------------------------------

namespace {

// ThreadSanitizer does not see the barriers inside liburcu, so the end of a read and of a grace period are told to it.
#ifdef __SANITIZE_THREAD__
char rcuOrder = 0;

void noteReadEnd()
{
    __tsan_release(&rcuOrder);
}

void noteGracePeriod()
{
    __tsan_acquire(&rcuOrder);
}
#else
void noteReadEnd()
{
}

void noteGracePeriod()
{
}
#endif

struct RcuThread {
    RcuThread()
    {
        rcu_register_thread();
    }
    ~RcuThread()
    {
        rcu_unregister_thread();
    }
    RcuThread(const RcuThread &) = delete;
    RcuThread &operator=(const RcuThread &) = delete;
};

} // namespace

RcuReadGuard::RcuReadGuard()
{
    thread_local const RcuThread thread;
    rcu_read_lock();
}

RcuReadGuard::~RcuReadGuard()
{
    noteReadEnd();
    rcu_read_unlock();
}

void synchronizeRcu()
{
    synchronize_rcu();
    noteGracePeriod();
}

//-----------------------------------------------------------------------------
// [SECTION] JSON
//-----------------------------------------------------------------------------

namespace {

/** Deepest nesting of arrays and objects, without building a value, so that a deep input costs no stack. */
size_t nestingDepth(std::string_view text)
{
    size_t depth = 0;
    size_t deepest = 0;
    bool inString = false;
    for (size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (inString) {
            if (c == '\\') {
                ++i;
            } else if (c == '"') {
                inString = false;
            }
        } else if (c == '"') {
            inString = true;
        } else if (c == '{' || c == '[') {
            deepest = std::max(deepest, ++depth);
        } else if ((c == '}' || c == ']') && depth > 0) {
            --depth;
        }
    }
    return deepest;
}

std::string escapePointer(std::string_view name)
{
    std::string text;
    for (const char c : name) {
        if (c == '~') {
            text += "~0";
        } else if (c == '/') {
            text += "~1";
        } else {
            text += c;
        }
    }
    return text;
}

} // namespace

std::optional<nlohmann::json> parseJson(std::string_view text, const std::string &file, Findings &findings)
{
    if (nestingDepth(text) > MaxJsonDepth) {
        findings.push_back({file, "", fmt::format("nested deeper than {} levels", MaxJsonDepth)});
        return std::nullopt;
    }
    try {
        return nlohmann::json::parse(text);
    } catch (const nlohmann::json::parse_error &error) {
        findings.push_back({file, "", fmt::format("not valid JSON at byte {}", error.byte)});
        return std::nullopt;
    }
}

ObjectReader readObject(const nlohmann::json &value, std::string file, std::string pointer, Findings &findings)
{
    static const nlohmann::json empty = nlohmann::json::object();
    ObjectReader reader{&value, std::move(file), std::move(pointer), &findings, {}};
    if (!value.is_object()) {
        findings.push_back({reader.m_file, reader.m_pointer, "must be an object"});
        reader.m_object = &empty;
    }
    return reader;
}

const nlohmann::json *member(ObjectReader &reader, const char *name, bool required)
{
    reader.m_known.emplace_back(name);
    const auto found = reader.m_object->find(name);
    if (found == reader.m_object->end()) {
        if (required) {
            addFinding(reader, name, "is missing");
        }
        return nullptr;
    }
    return &*found;
}

void addFinding(ObjectReader &reader, const std::string &name, std::string reason)
{
    std::string pointer = reader.m_pointer;
    if (!name.empty()) {
        pointer += "/" + escapePointer(name);
    }
    reader.m_findings->push_back({reader.m_file, std::move(pointer), std::move(reason)});
}

void readString(ObjectReader &reader, const char *name, std::string &value, bool required, size_t maxLength)
{
    const nlohmann::json *found = member(reader, name, required);
    if (!found) {
        return;
    }
    if (!found->is_string()) {
        addFinding(reader, name, "must be a string");
        return;
    }
    const auto &text = found->get_ref<const std::string &>();
    if (text.size() > maxLength) {
        addFinding(reader, name, fmt::format("is longer than {} bytes", maxLength));
    } else if (required && text.empty()) {
        addFinding(reader, name, "must not be empty");
    } else {
        value = text;
    }
}

void readBool(ObjectReader &reader, const char *name, bool &value)
{
    const nlohmann::json *found = member(reader, name, false);
    if (!found) {
        return;
    }
    if (!found->is_boolean()) {
        addFinding(reader, name, "must be true or false");
        return;
    }
    value = found->get<bool>();
}

void readNumber(ObjectReader &reader, const char *name, double &value, double minimum, double maximum)
{
    const nlohmann::json *found = member(reader, name, false);
    if (!found) {
        return;
    }
    if (!found->is_number()) {
        addFinding(reader, name, "must be a number");
        return;
    }
    const double number = found->get<double>();
    if (!(number >= minimum && number <= maximum)) {
        addFinding(reader, name, fmt::format("must be between {} and {}", minimum, maximum));
        return;
    }
    value = number;
}

void readInteger(ObjectReader &reader, const char *name, int64_t &value, int64_t minimum, int64_t maximum, bool required)
{
    const nlohmann::json *found = member(reader, name, required);
    if (!found) {
        return;
    }
    const bool tooLarge = found->is_number_unsigned() && found->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX);
    if (!found->is_number_integer() || tooLarge) {
        addFinding(reader, name, "must be a whole number");
        return;
    }
    const auto number = found->get<int64_t>();
    if (number < minimum || number > maximum) {
        addFinding(reader, name, fmt::format("must be between {} and {}", minimum, maximum));
        return;
    }
    value = number;
}

void readMilliseconds(ObjectReader &reader, const char *name, Duration &value, milliseconds minimum, milliseconds maximum)
{
    int64_t count = std::chrono::duration_cast<milliseconds>(value).count();
    readInteger(reader, name, count, minimum.count(), maximum.count());
    value = milliseconds(count);
}

void readStrings(ObjectReader &reader, const char *name, std::vector<std::string> &value, size_t maxCount)
{
    std::vector<std::string> strings;
    readArray(reader, name, false, maxCount, [&](const nlohmann::json &element, const std::string &pointer) {
        if (element.is_string()) {
            strings.push_back(element.get<std::string>());
        } else {
            reader.m_findings->push_back({reader.m_file, pointer, "must be a string"});
        }
    });
    if (reader.m_object->contains(name)) {
        value = std::move(strings);
    }
}

void readArray(ObjectReader &reader,
               const char *name,
               bool required,
               size_t maxCount,
               const std::function<void(const nlohmann::json &, const std::string &)> &read)
{
    const nlohmann::json *found = member(reader, name, required);
    if (!found) {
        return;
    }
    if (!found->is_array()) {
        addFinding(reader, name, "must be an array");
        return;
    }
    if (found->size() > maxCount) {
        addFinding(reader, name, fmt::format("has more than {} elements", maxCount));
        return;
    }
    for (size_t i = 0; i < found->size(); ++i) {
        read((*found)[i], fmt::format("{}/{}/{}", reader.m_pointer, escapePointer(name), i));
    }
}

void finishObject(ObjectReader &reader)
{
    for (const auto &[name, value] : reader.m_object->items()) {
        if (std::find(reader.m_known.begin(), reader.m_known.end(), name) == reader.m_known.end()) {
            addFinding(reader, name, "is not a known member");
        }
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Log
//-----------------------------------------------------------------------------

namespace {

constexpr size_t MaxLogSentences = 1024; ///< sentences whose rate is remembered
std::atomic<LogLevel> logLevel = LogLevel::Info;

struct SentenceRate {
    int64_t m_second = 0;
    int m_lines = 0;
    int m_leftOut = 0;
};

struct LogLimiter {
    std::mutex m_mutex;
    std::map<std::string, SentenceRate, std::less<>> m_sentences;
};

LogLimiter &logLimiter()
{
    static LogLimiter limiter;
    return limiter;
}

/** Number of lines left out before this one, or nothing when this one is to be left out. */
std::optional<int> admitLine(std::string_view part, std::string_view sentence, int64_t second)
{
    LogLimiter &limiter = logLimiter();
    const std::lock_guard lock(limiter.m_mutex);
    if (limiter.m_sentences.size() >= MaxLogSentences) {
        limiter.m_sentences.clear();
    }
    SentenceRate &rate = limiter.m_sentences[fmt::format("{}\n{}", part, sentence)];
    if (rate.m_second != second) {
        rate.m_second = second;
        rate.m_lines = 0;
    }
    if (++rate.m_lines > MaxEqualLogLines) {
        ++rate.m_leftOut;
        return std::nullopt;
    }
    return std::exchange(rate.m_leftOut, 0);
}

std::string_view levelName(LogLevel level)
{
    constexpr std::array<std::string_view, 4> Names = {"debug", "info", "warning", "error"};
    return Names[static_cast<size_t>(level)];
}

/** Quotes a value that would break the key=value form. */
std::string logValue(const std::string &value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos) {
        return value;
    }
    return nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

void setLogLevel(LogLevel level)
{
    logLevel.store(level, std::memory_order_relaxed);
}

bool isLogged(LogLevel level)
{
    return level >= logLevel.load(std::memory_order_relaxed);
}

std::optional<LogLevel> parseLogLevel(std::string_view name)
{
    for (const LogLevel level : {LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error}) {
        if (levelName(level) == name) {
            return level;
        }
    }
    return std::nullopt;
}

void writeLog(LogLevel level, std::string_view part, std::string_view sentence, std::initializer_list<LogField> fields)
{
    if (!isLogged(level)) {
        return;
    }
    const auto time = std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
    const int64_t second = std::chrono::duration_cast<seconds>(time.time_since_epoch()).count();
    const std::optional<int> leftOut = admitLine(part, sentence, second);
    if (!leftOut) {
        return;
    }
    std::string line = fmt::format("{:%Y-%m-%dT%H:%M:%S}Z {} {}: {}", time, levelName(level), part, sentence);
    for (const LogField &field : fields) {
        line += fmt::format(" {}={}", field.m_key, logValue(field.m_value));
    }
    if (*leftOut > 0) {
        line += fmt::format(" left_out={}", *leftOut);
    }
    line += '\n';
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace Medlarramp
