#pragma once

/**
 * medlarramp core: what every other library builds on.
 *
 * Index of sections:
 *  [SECTION] Time          the runtime's clock, which tests pause and advance
 *  [SECTION] Identifiers   request identifiers and idempotency keys
 *  [SECTION] Findings      problems of an input, collected with their place
 *  [SECTION] Outcomes      the three outcomes of a request and every reason
 *  [SECTION] Random        seeded generator for decisions and tests
 *  [SECTION] Hashes        placement hashes and message authentication
 *  [SECTION] RCU pointer   snapshots for the request path
 *  [SECTION] Shared map    large map whose copies share what did not change
 *  [SECTION] JSON          reading of JSON with findings
 *  [SECTION] Log           lines on standard error
 */

#include <algorithm>
#include <array>
#include <atomic>
#include <cassert>
#include <chrono>
#include <compare>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <iterator>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] Time
//-----------------------------------------------------------------------------

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** The runtime's clock. Runs with the monotonic system clock until it is paused. */
struct Clock {
    std::atomic<bool> m_paused = false;
    std::atomic<int64_t> m_pausedAt = 0; ///< monotonic time while paused, in microseconds
    std::atomic<int64_t> m_pausedWall = 0; ///< time since the Unix epoch while paused, in milliseconds
};

/** Monotonic time. */
TimePoint now(const Clock &clock);
/** Milliseconds since the Unix epoch. Only for identifiers and logs; no safety rests on it. */
int64_t wallMilliseconds(const Clock &clock);
/** Stops the clock at @p at; wall time starts at @p wallMilliseconds. */
void pauseClock(Clock &clock, TimePoint at, int64_t wallMilliseconds);
/** Advances a paused clock. Asserts that it is paused. */
void advanceClock(Clock &clock, Duration by);
/**
 * Waits on @p condition until @p predicate holds or the clock reaches @p deadline.
 * @return the value of the predicate.
 */
bool waitUntil(const Clock &clock,
               std::unique_lock<std::mutex> &lock,
               std::condition_variable &condition,
               TimePoint deadline,
               const std::function<bool()> &predicate);

/** Lets threads be told to stop while they sleep. */
struct StopSignal {
    std::mutex m_mutex;
    std::condition_variable m_condition;
    bool m_stopped = false;
};

void requestStop(StopSignal &signal);
bool isStopped(StopSignal &signal);
/** Sleeps for @p duration on @p clock. @return false when the signal was set meanwhile. */
bool sleepFor(const Clock &clock, StopSignal &signal, Duration duration);

//-----------------------------------------------------------------------------
// [SECTION] Identifiers
//-----------------------------------------------------------------------------

/** 128-bit identifier. Written as a UUID (RFC 9562). */
struct Identifier {
    uint64_t m_high = 0;
    uint64_t m_low = 0;

    auto operator<=>(const Identifier &) const = default; // NOLINT(modernize-use-nullptr): false positive of clang-tidy 14
};

/** A new UUID version 7, ordered by time. Thread-safe. */
Identifier makeIdentifier(const Clock &clock);
std::string toString(const Identifier &identifier);
/** Parses the 36-character form of a UUID. */
std::optional<Identifier> parseIdentifier(std::string_view text);
/** The time in a UUID version 7, in milliseconds since the Unix epoch; nothing for another version. */
std::optional<int64_t> identifierMilliseconds(const Identifier &identifier);

//-----------------------------------------------------------------------------
// [SECTION] Findings
//-----------------------------------------------------------------------------

/** One problem of an input. */
struct Finding {
    std::string m_file; ///< file name, or empty for a request body
    std::string m_pointer; ///< JSON pointer (RFC 6901) of the place
    std::string m_reason; ///< short sentence without a full stop

    bool operator==(const Finding &) const = default;
};

using Findings = std::vector<Finding>;

/** One line per finding: "file:pointer: reason". */
std::string toString(const Findings &findings);
nlohmann::json toJson(const Findings &findings);

//-----------------------------------------------------------------------------
// [SECTION] Outcomes
//-----------------------------------------------------------------------------

/** How a request ended for its caller. */
enum class Outcome : uint8_t {
    Answered, ///< the whole answer was given
    NotRun, ///< certain: no stage with consequences has run
    Unknown, ///< it may have run
};

std::string_view toString(Outcome outcome);

/** Why a request was refused, an attempt repeated, a message dropped or an upstream set aside. */
enum class Reason : uint8_t {
    None,
    // Refusals of the input
    MalformedRequest,
    BodyTooLarge,
    UnknownPipeline,
    UnknownKey,
    Forbidden,
    IdempotencyKeyMissing,
    IdempotencyKeyMismatch,
    IdempotencyKeyExpired,
    DeadlineInPast,
    // Refusals by load
    RateLimited,
    ConcurrencyLimited,
    QueueFull,
    DeadlineUnreachable,
    TooManyConnections,
    Draining,
    QuotaExceeded,
    BatchStoreFull,
    MemoryLimited,
    // Refusals by state
    ConfigurationMissing,
    CrashGuard,
    ClaimInProgress,
    ClaimUnknown,
    ClaimAnswerNotKept,
    ClaimOwnerUnavailable,
    StoreUnavailable,
    StoreBudgetExhausted,
    Conflict,
    NotFound,
    // Ends and retries of attempts
    NoUpstream,
    ConnectFailed,
    ConnectionLost,
    ConnectionSilent,
    AttemptTimeout,
    DeadlineExceeded,
    UpstreamRejected,
    UpstreamOverloaded,
    UpstreamError,
    UpstreamLeaving,
    UpstreamEvacuated,
    UpstreamCold,
    StreamTruncated,
    InvalidAnswer,
    RetryBudgetExhausted,
    CallerGone,
    CallerStalled,
    Preempted,
    Hedged,
    LateResult,
    DuplicateResult,
    // Upstreams set aside
    OutlierEjected,
    // Peer messages
    PeerMessageMalformed,
    PeerMessageUnauthenticated,
    PeerMessageReplayed,
    PeerMessageTooLarge,
    PeerUnreachable,
    // Shutdown
    ShutdownLimit,
    InternalError,
    // Gateway; new reasons come last, as gateways exchange the numbers
    ConfigurationUnconfirmed,
    StreamVersionUnknown,
    StreamVersionLeft,
    StreamNotRecorded,
    Count, ///< number of reasons, not a reason
};

/** Name in answers, metrics and logs, such as "queue_full". */
std::string_view toString(Reason reason);
std::optional<Reason> parseReason(std::string_view name);

//-----------------------------------------------------------------------------
// [SECTION] Random
//-----------------------------------------------------------------------------

/** SplitMix64 generator (Steele, Lea, Flood: Fast Splittable Pseudorandom Number Generators, 2014). */
struct Random {
    uint64_t m_state = 0;
};

uint64_t nextRandom(Random &random);
/** Uniform in [0, bound). Asserts bound > 0. */
uint64_t uniformBelow(Random &random, uint64_t bound);
/** Uniform in [0, 1). */
double uniformReal(Random &random);
/** Exponentially distributed with mean @p mean. */
double exponential(Random &random, double mean);
/** Seed from the system's entropy source. */
uint64_t entropySeed();

//-----------------------------------------------------------------------------
// [SECTION] Hashes
//-----------------------------------------------------------------------------

/** XXH3, 64 bits. For placement, not for authentication. */
uint64_t hash64(std::string_view data, uint64_t seed = 0);
uint64_t combineHash(uint64_t left, uint64_t right);

using Digest = std::array<uint8_t, 32>;

Digest hmacSha256(std::string_view key, std::string_view data);
Digest sha256(std::string_view data);
std::string toHex(const Digest &digest);
std::string toBase64(std::string_view data);
/** Decodes standard base64 (RFC 4648); nothing when malformed. */
std::optional<std::string> fromBase64(std::string_view text);
/** Comparison in constant time. */
bool equalSecrets(std::string_view left, std::string_view right);

//-----------------------------------------------------------------------------
// [SECTION] RCU pointer
//-----------------------------------------------------------------------------

/** Marks a read-side critical section of liburcu; registers the thread on first use. */
struct RcuReadGuard {
    RcuReadGuard();
    ~RcuReadGuard();
    RcuReadGuard(const RcuReadGuard &) = delete;
    RcuReadGuard &operator=(const RcuReadGuard &) = delete;
};

/** Waits until all read-side critical sections that began before the call have ended. */
void synchronizeRcu();

/** Published snapshot of an immutable value. Readers take no lock; a writer waits for a grace period. */
template<typename T>
struct RcuPointer {
    std::atomic<const std::shared_ptr<const T> *> m_current = nullptr;
    std::mutex m_writerMutex;

    RcuPointer() = default;
    RcuPointer(const RcuPointer &) = delete;
    RcuPointer &operator=(const RcuPointer &) = delete;
    ~RcuPointer()
    {
        delete m_current.load();
    }
};

/** The current snapshot; null before the first publication. The caller may keep it. */
template<typename T>
std::shared_ptr<const T> snapshot(const RcuPointer<T> &pointer)
{
    const RcuReadGuard guard;
    const auto *current = pointer.m_current.load(std::memory_order_acquire);
    return current ? *current : nullptr;
}

template<typename T>
void publish(RcuPointer<T> &pointer, std::shared_ptr<const T> value)
{
    auto next = std::make_unique<const std::shared_ptr<const T>>(std::move(value));
    const std::lock_guard lock(pointer.m_writerMutex);
    const std::unique_ptr<const std::shared_ptr<const T>> previous(pointer.m_current.exchange(next.release(), std::memory_order_acq_rel));
    synchronizeRcu();
}

//-----------------------------------------------------------------------------
// [SECTION] Shared map
//-----------------------------------------------------------------------------

/**
 * Map in key order with the interface of std::map that configuration needs. Entries are kept in chunks that copies
 * share; a change copies one chunk. A copy costs one reference count per chunk, about size / 96.
 * Copies may be used by different threads; one map may not be changed while another thread uses it.
 * Iterators end with the next change.
 */
template<typename Value>
struct SharedMap {
    using value_type = std::pair<std::string, Value>;
    using Chunk = std::vector<value_type>;
    static constexpr size_t MaxChunk = 128; ///< entries; a full chunk is split in halves

    struct Slot {
        std::shared_ptr<Chunk> m_chunk; ///< never empty
        bool m_owned = false; ///< no copy of the map shares the chunk
    };

    struct ConstIterator {
        using iterator_category = std::forward_iterator_tag;
        using value_type = SharedMap::value_type;
        using difference_type = std::ptrdiff_t;
        using pointer = const value_type *;
        using reference = const value_type &;

        const SharedMap *m_map = nullptr;
        size_t m_slot = 0;
        size_t m_index = 0;

        reference operator*() const
        {
            return (*m_map->m_slots[m_slot].m_chunk)[m_index];
        }
        pointer operator->() const
        {
            return &**this;
        }
        ConstIterator &operator++()
        {
            if (++m_index == m_map->m_slots[m_slot].m_chunk->size()) {
                ++m_slot;
                m_index = 0;
            }
            return *this;
        }
        ConstIterator operator++(int)
        {
            ConstIterator before = *this;
            ++*this;
            return before;
        }
        bool operator==(const ConstIterator &) const = default;
    };
    using const_iterator = ConstIterator;

    std::vector<Slot> m_slots; ///< in key order
    size_t m_size = 0;
    mutable std::atomic<bool> m_copied = false; ///< a copy shares all chunks since the last change

    SharedMap() = default;
    SharedMap(std::initializer_list<value_type> entries)
    {
        for (const value_type &entry : entries) {
            emplace(entry.first, entry.second);
        }
    }
    SharedMap(const SharedMap &other) : m_slots(other.m_slots), m_size(other.m_size), m_copied(true)
    {
        other.m_copied.store(true, std::memory_order_relaxed);
    }
    SharedMap &operator=(const SharedMap &other)
    {
        if (this != &other) {
            m_slots = other.m_slots;
            m_size = other.m_size;
            m_copied.store(true, std::memory_order_relaxed);
            other.m_copied.store(true, std::memory_order_relaxed);
        }
        return *this;
    }
    ~SharedMap() = default;

    [[nodiscard]] const_iterator begin() const
    {
        return {this, 0, 0};
    }
    [[nodiscard]] const_iterator end() const
    {
        return {this, m_slots.size(), 0};
    }
    [[nodiscard]] size_t size() const
    {
        return m_size;
    }
    [[nodiscard]] bool empty() const
    {
        return m_size == 0;
    }
    /** The first entry whose key is not less than @p key. */
    // NOLINTNEXTLINE(readability-identifier-naming): name of std::map
    [[nodiscard]] const_iterator lower_bound(std::string_view key) const
    {
        const auto slot =
            std::partition_point(m_slots.begin(), m_slots.end(), [key](const Slot &entry) { return entry.m_chunk->back().first < key; });
        if (slot == m_slots.end()) {
            return end();
        }
        const auto entry = std::partition_point(
            slot->m_chunk->begin(), slot->m_chunk->end(), [key](const value_type &candidate) { return candidate.first < key; });
        return {this, static_cast<size_t>(slot - m_slots.begin()), static_cast<size_t>(entry - slot->m_chunk->begin())};
    }
    [[nodiscard]] const_iterator find(std::string_view key) const
    {
        const const_iterator position = lower_bound(key);
        return position != end() && position->first == key ? position : end();
    }
    [[nodiscard]] bool contains(std::string_view key) const
    {
        return find(key) != end();
    }
    /** Asserts that the key exists. */
    [[nodiscard]] const Value &at(std::string_view key) const
    {
        const const_iterator position = find(key);
        assert(position != end());
        return position->second;
    }
    /** Leaves an existing entry as it is. */
    std::pair<const_iterator, bool> emplace(std::string key, Value value)
    {
        const const_iterator existing = find(key);
        if (existing != end()) {
            return {existing, false};
        }
        const const_iterator position = lower_bound(key);
        return {insert(position, std::move(key), std::move(value)), true};
    }
    // NOLINTNEXTLINE(readability-identifier-naming): name of std::map
    std::pair<const_iterator, bool> insert_or_assign(std::string key, Value value)
    {
        const const_iterator existing = find(key);
        if (existing == end()) {
            const const_iterator position = lower_bound(key);
            return {insert(position, std::move(key), std::move(value)), true};
        }
        own(existing.m_slot)[existing.m_index].second = std::move(value);
        return {existing, false};
    }
    /** The value of @p key, added when missing. The reference ends with the next change or copy. */
    Value &operator[](const std::string &key)
    {
        const const_iterator position = emplace(key, Value()).first;
        return own(position.m_slot)[position.m_index].second;
    }
    size_t erase(std::string_view key)
    {
        const const_iterator position = find(key);
        if (position == end()) {
            return 0;
        }
        Chunk &chunk = own(position.m_slot);
        chunk.erase(chunk.begin() + static_cast<std::ptrdiff_t>(position.m_index));
        if (chunk.empty()) {
            m_slots.erase(m_slots.begin() + static_cast<std::ptrdiff_t>(position.m_slot));
        }
        --m_size;
        return 1;
    }

private:
    /** The chunk of a slot, copied first when it is shared. */
    Chunk &own(size_t index)
    {
        if (m_copied.exchange(false, std::memory_order_relaxed)) {
            for (Slot &slot : m_slots) {
                slot.m_owned = false;
            }
        }
        Slot &slot = m_slots[index];
        if (!slot.m_owned) {
            slot.m_chunk = std::make_shared<Chunk>(*slot.m_chunk);
            slot.m_owned = true;
        }
        return *slot.m_chunk;
    }
    const_iterator insert(const_iterator position, std::string key, Value value)
    {
        ++m_size;
        if (m_slots.empty()) {
            m_slots.push_back({std::make_shared<Chunk>(), true});
            m_slots[0].m_chunk->emplace_back(std::move(key), std::move(value));
            return begin();
        }
        if (position == end()) {
            position = {this, m_slots.size() - 1, m_slots.back().m_chunk->size()};
        }
        Chunk &chunk = own(position.m_slot);
        chunk.emplace(chunk.begin() + static_cast<std::ptrdiff_t>(position.m_index), std::move(key), std::move(value));
        if (chunk.size() > MaxChunk) {
            return split(position);
        }
        return position;
    }
    const_iterator split(const_iterator position)
    {
        Chunk &chunk = *m_slots[position.m_slot].m_chunk;
        const size_t half = chunk.size() / 2;
        const auto middle = chunk.begin() + static_cast<std::ptrdiff_t>(half);
        auto upper = std::make_shared<Chunk>(std::make_move_iterator(middle), std::make_move_iterator(chunk.end()));
        chunk.erase(middle, chunk.end());
        m_slots.insert(m_slots.begin() + static_cast<std::ptrdiff_t>(position.m_slot) + 1, Slot{std::move(upper), true});
        if (position.m_index >= half) {
            return {this, position.m_slot + 1, position.m_index - half};
        }
        return position;
    }
};

//-----------------------------------------------------------------------------
// [SECTION] JSON
//-----------------------------------------------------------------------------

constexpr size_t MaxJsonDepth = 32; ///< nesting levels accepted from outside

/** Parses text with bounded depth. Reports a finding at the byte where it broke. */
std::optional<nlohmann::json> parseJson(std::string_view text, const std::string &file, Findings &findings);

/**
 * Reads the members of one JSON object. Every problem becomes a finding with its JSON pointer.
 * finishObject() reports members that nobody read.
 */
struct ObjectReader {
    const nlohmann::json *m_object = nullptr;
    std::string m_file;
    std::string m_pointer;
    Findings *m_findings = nullptr;
    std::vector<std::string> m_known; ///< names asked for
};

/** Reports a finding and reads as an empty object when @p value is not an object. */
ObjectReader readObject(const nlohmann::json &value, std::string file, std::string pointer, Findings &findings);
/** The member, or null when absent. Marks the name as known. */
const nlohmann::json *member(ObjectReader &reader, const char *name, bool required);
void addFinding(ObjectReader &reader, const std::string &name, std::string reason);
void readString(ObjectReader &reader, const char *name, std::string &value, bool required = false, size_t maxLength = 4096);
void readBool(ObjectReader &reader, const char *name, bool &value);
void readNumber(ObjectReader &reader, const char *name, double &value, double minimum, double maximum);
void readInteger(ObjectReader &reader, const char *name, int64_t &value, int64_t minimum, int64_t maximum, bool required = false);
/** Reads a whole number of milliseconds. */
void readMilliseconds(ObjectReader &reader, const char *name, Duration &value, milliseconds minimum, milliseconds maximum);
void readStrings(ObjectReader &reader, const char *name, std::vector<std::string> &value, size_t maxCount = 256);
/** Calls @p read with each element of an array and its pointer. */
void readArray(ObjectReader &reader,
               const char *name,
               bool required,
               size_t maxCount,
               const std::function<void(const nlohmann::json &, const std::string &)> &read);
void finishObject(ObjectReader &reader);

//-----------------------------------------------------------------------------
// [SECTION] Log
//-----------------------------------------------------------------------------

enum class LogLevel : uint8_t { Debug, Info, Warning, Error };

struct LogField {
    std::string_view m_key;
    std::string m_value;
};

/** Lines below the level are dropped. Default: Info. */
void setLogLevel(LogLevel level);
/** Whether lines of @p level are written, to skip the formatting of fields that are not. */
bool isLogged(LogLevel level);
std::optional<LogLevel> parseLogLevel(std::string_view name);
/**
 * Writes "<time> <level> <part>: <sentence> key=value ..." to standard error.
 * Equal sentences of one part are limited to MaxEqualLogLines per second; the next line tells how many were left out.
 */
void writeLog(LogLevel level, std::string_view part, std::string_view sentence, std::initializer_list<LogField> fields = {});
constexpr int MaxEqualLogLines = 10; ///< per second

} // namespace Medlarramp
