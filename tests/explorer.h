#pragma once

// Runs small worlds of several nodes through many schedules, with an in-memory store.
//
// A schedule is the list of choices that the world made. Explorer enumerates all schedules with a bounded number of
// deviations from the default one (delay-bounded scheduling: Emmi, Qadeer, Rakamaric, 2011), or draws random ones.

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "durable.h"

namespace Medlarramp::Testing {

//-----------------------------------------------------------------------------
// Store
//-----------------------------------------------------------------------------

struct StoredValue {
    std::string m_value;
    int64_t m_modRevision = 0;
    int m_leaseNode = -1; ///< -1: not leased
};

/** Keys with revisions, compare-and-swap and one lease for each node. */
struct MemoryStore {
    std::map<std::string, StoredValue> m_keys;
    int64_t m_revision = 100;
    std::map<int, int> m_leaseGenerations;
    int64_t m_applied = 0;
    int64_t m_reads = 0;
};

inline int64_t modRevision(const MemoryStore &store, const std::string &key)
{
    const auto found = store.m_keys.find(key);
    return found == store.m_keys.end() ? 0 : found->second.m_modRevision;
}

inline bool hasLeasedPut(const StoreWrite &write)
{
    for (const KeyPut &put : write.m_puts) {
        if (put.m_leased) {
            return true;
        }
    }
    return false;
}

/** @p leaseGeneration is the one of the node when it sent the write; a leased put under an ended lease fails. */
inline StoreOutcome applyWrite(MemoryStore &store, const StoreWrite &write, int node, int leaseGeneration)
{
    if (hasLeasedPut(write) && store.m_leaseGenerations[node] != leaseGeneration) {
        return {write.m_mark, StoreWriteResult::Unknown, 0};
    }
    for (const KeyCompare &compare : write.m_compares) {
        if (modRevision(store, compare.m_key) != compare.m_modRevision) {
            return {write.m_mark, StoreWriteResult::NotApplied, 0};
        }
    }
    ++store.m_revision;
    ++store.m_applied;
    for (const KeyPut &put : write.m_puts) {
        store.m_keys[put.m_key] = {put.m_value, store.m_revision, put.m_leased ? node : -1};
    }
    for (const std::string &key : write.m_deletes) {
        store.m_keys.erase(key);
    }
    return {write.m_mark, StoreWriteResult::Applied, store.m_revision};
}

inline StoreOutcome applyWrite(MemoryStore &store, const StoreWrite &write, int node)
{
    return applyWrite(store, write, node, store.m_leaseGenerations[node]);
}

inline StoreRange readStore(MemoryStore &store, const StoreRead &read)
{
    ++store.m_reads;
    StoreRange range;
    range.m_tag = read.m_tag;
    range.m_answered = true;
    for (const std::string &key : read.m_keys) {
        const auto found = store.m_keys.find(key);
        if (found != store.m_keys.end()) {
            range.m_items.push_back({key, found->second.m_value, found->second.m_modRevision});
        }
    }
    if (!read.m_keys.empty()) {
        return range;
    }
    auto it = store.m_keys.lower_bound(read.m_from.empty() ? read.m_prefix : read.m_from);
    for (; it != store.m_keys.end() && it->first.starts_with(read.m_prefix); ++it) {
        if (read.m_limit > 0 && static_cast<int64_t>(range.m_items.size()) == read.m_limit) {
            range.m_more = true;
            break;
        }
        range.m_items.push_back({it->first, it->second.m_value, it->second.m_modRevision});
    }
    return range;
}

inline std::vector<StoreItem> itemsWithPrefix(MemoryStore &store, const std::string &prefix)
{
    StoreRead read;
    read.m_prefix = prefix;
    return readStore(store, read).m_items;
}

inline std::optional<StoreItem> readItem(const MemoryStore &store, const std::string &key)
{
    const auto found = store.m_keys.find(key);
    if (found == store.m_keys.end()) {
        return std::nullopt;
    }
    return StoreItem{key, found->second.m_value, found->second.m_modRevision};
}

/** The lease of the node ends: its keys vanish, and late writes under it fail. */
inline void expireLease(MemoryStore &store, int node)
{
    ++store.m_leaseGenerations[node];
    std::erase_if(store.m_keys, [&](const auto &item) { return item.second.m_leaseNode == node; });
}

//-----------------------------------------------------------------------------
// Schedules
//-----------------------------------------------------------------------------

struct Explorer {
    int m_maxDeviations = 2;
    std::vector<int> m_prefix;
    std::vector<int> m_taken;
    std::vector<int> m_widths;
    int m_deviations = 0;
    bool m_random = false;
    Random m_generator;
    int m_deviationPercent = 15; ///< random schedules only
};

/** 0 is the default. */
inline int choose(Explorer &explorer, int width)
{
    int choice = 0;
    const int open = explorer.m_deviations < explorer.m_maxDeviations ? width : 1;
    if (explorer.m_random) {
        const bool deviates = open > 1 && uniformBelow(explorer.m_generator, 100) < static_cast<uint64_t>(explorer.m_deviationPercent);
        choice = deviates ? 1 + static_cast<int>(uniformBelow(explorer.m_generator, static_cast<uint64_t>(open - 1))) : 0;
    } else if (explorer.m_taken.size() < explorer.m_prefix.size()) {
        choice = explorer.m_prefix[explorer.m_taken.size()];
    }
    explorer.m_deviations += choice == 0 ? 0 : 1;
    explorer.m_taken.push_back(choice);
    explorer.m_widths.push_back(open);
    return choice;
}

/** Moves to the next schedule. @return false when all have been run. */
inline bool nextSchedule(Explorer &explorer)
{
    std::vector<int> prefix = explorer.m_taken;
    while (!prefix.empty() && prefix.back() + 1 >= explorer.m_widths[prefix.size() - 1]) {
        prefix.pop_back();
    }
    if (prefix.empty()) {
        return false;
    }
    ++prefix.back();
    explorer.m_prefix = std::move(prefix);
    explorer.m_taken.clear();
    explorer.m_widths.clear();
    explorer.m_deviations = 0;
    return true;
}

inline void beginRandomSchedule(Explorer &explorer, uint64_t seed)
{
    explorer.m_random = true;
    explorer.m_generator = Random{seed};
    explorer.m_taken.clear();
    explorer.m_widths.clear();
    explorer.m_deviations = 0;
}

inline std::string describeSchedule(const Explorer &explorer)
{
    std::string text;
    for (size_t i = 0; i < explorer.m_taken.size(); ++i) {
        if (explorer.m_taken[i] != 0) {
            text += " step " + std::to_string(i) + " choice " + std::to_string(explorer.m_taken[i]) + ";";
        }
    }
    return text;
}

/** Something that is on its way: a message, a store call or the end of a run. */
struct PendingEvent {
    std::function<void()> m_happen;
    std::vector<std::function<void()>> m_faults; ///< ways to go wrong, such as being lost
};

/** An event that is held up, as when its sender is paused or a link is slow. */
struct DelayedEvent {
    int m_ticks = 0; ///< left
    std::function<void()> m_happen;
};

constexpr int DelayTicks = 6; ///< long enough for another node to take over

/** Events on their way, and the faults that may strike at any time. */
struct Schedule {
    std::vector<PendingEvent> m_pending;
    std::vector<DelayedEvent> m_delayed;
    std::vector<std::function<void()>> m_disturbances; ///< a lease ends, a node dies
    std::function<void()> m_tick; ///< time passes and timers fire
    int m_faultsLeft = 2;
};

inline void delay(Schedule &schedule, std::function<void()> happen)
{
    schedule.m_delayed.push_back({DelayTicks, std::move(happen)});
}

/** Time passes, and what was held up long enough goes on its way. */
inline void passTime(Schedule &schedule)
{
    for (DelayedEvent &event : schedule.m_delayed) {
        if (--event.m_ticks == 0) {
            schedule.m_pending.push_back({event.m_happen, {}});
        }
    }
    std::erase_if(schedule.m_delayed, [](const DelayedEvent &event) { return event.m_ticks <= 0; });
    schedule.m_tick();
}

/** Runs everything that is on its way, without faults. */
inline void runPending(Schedule &schedule)
{
    while (!schedule.m_pending.empty()) {
        const PendingEvent event = schedule.m_pending.front();
        schedule.m_pending.erase(schedule.m_pending.begin());
        event.m_happen();
    }
}

/** Takes one step that the explorer chooses. Default: the oldest event, or time passes when there is none. */
inline void step(Schedule &schedule, Explorer &explorer)
{
    struct Option {
        int m_event = -1;
        std::function<void()> m_run;
        bool m_fault = false;
    };
    std::vector<Option> options;
    for (size_t i = 0; i < schedule.m_pending.size(); ++i) {
        options.push_back({static_cast<int>(i), schedule.m_pending[i].m_happen, false});
    }
    options.push_back({-1, [&schedule] { passTime(schedule); }, false});
    if (schedule.m_faultsLeft > 0) {
        for (size_t i = 0; i < schedule.m_pending.size(); ++i) {
            for (const auto &fault : schedule.m_pending[i].m_faults) {
                options.push_back({static_cast<int>(i), fault, true});
            }
        }
        for (const auto &disturbance : schedule.m_disturbances) {
            options.push_back({-1, disturbance, true});
        }
    }
    const Option option = options[static_cast<size_t>(choose(explorer, static_cast<int>(options.size())))];
    schedule.m_faultsLeft -= option.m_fault ? 1 : 0;
    if (option.m_event >= 0) {
        schedule.m_pending.erase(schedule.m_pending.begin() + option.m_event);
    }
    option.m_run();
}

/** Reads one key (or the page) and goes on with the next: other events may happen between two keys. */
inline void sendRead(Schedule &schedule,
                     MemoryStore &store,
                     const StoreRead &request,
                     const StoreRange &soFar,
                     const std::function<void(const StoreRange &)> &read)
{
    PendingEvent event;
    event.m_happen = [&schedule, &store, request, soFar, read] {
        StoreRead first = request;
        StoreRead rest = request;
        if (!request.m_keys.empty()) {
            first.m_keys.resize(1);
            rest.m_keys.erase(rest.m_keys.begin());
        }
        StoreRange range = readStore(store, first);
        range.m_items.insert(range.m_items.begin(), soFar.m_items.begin(), soFar.m_items.end());
        if (!request.m_keys.empty() && !rest.m_keys.empty()) {
            sendRead(schedule, store, rest, range, read);
            return;
        }
        schedule.m_pending.push_back({[read, range] { read(range); }, {}});
    };
    event.m_faults.push_back([request, read] { read(StoreRange{request.m_tag, false, false, {}}); });
    schedule.m_pending.push_back(std::move(event));
}

/** Puts store actions of a node on their way. The callbacks receive the answers. */
inline void sendStoreActions(Schedule &schedule,
                             MemoryStore &store,
                             int node,
                             const StoreActions &actions,
                             const std::function<void(const StoreOutcome &)> &written,
                             const std::function<void(const StoreRange &)> &read)
{
    for (const StoreWrite &write : actions.m_writes) {
        const int lease = store.m_leaseGenerations[node];
        const auto answer = [&schedule, written](const StoreOutcome &outcome) {
            schedule.m_pending.push_back({[written, outcome] { written(outcome); }, {}});
        };
        const StoreOutcome unknown{write.m_mark, StoreWriteResult::Unknown, 0};
        PendingEvent event;
        event.m_happen = [&store, write, node, lease, answer] { answer(applyWrite(store, write, node, lease)); };
        // The answer is lost after the write took effect.
        event.m_faults.push_back([&store, write, node, lease, answer, unknown] {
            applyWrite(store, write, node, lease);
            answer(unknown);
        });
        // The request is lost.
        event.m_faults.push_back([answer, unknown] { answer(unknown); });
        // The sender is paused, or the request is slow.
        event.m_faults.push_back([&schedule, happen = event.m_happen] { delay(schedule, happen); });
        // The request arrives after its sender has given it up.
        event.m_faults.push_back([&schedule, &store, write, node, lease, answer, unknown] {
            answer(unknown);
            delay(schedule, [&store, write, node, lease] { applyWrite(store, write, node, lease); });
        });
        schedule.m_pending.push_back(std::move(event));
    }
    for (const StoreRead &request : actions.m_reads) {
        sendRead(schedule, store, request, StoreRange{request.m_tag, true, false, {}}, read);
    }
}

} // namespace Medlarramp::Testing
