#include <algorithm>
#include <bit>

#include "policy.h"

namespace Medlarramp {

namespace {

size_t firstSlot(const PrefixIndex &index, uint64_t hash)
{
    const size_t sets = index.m_slots.size() / PrefixWays;
    return (hash & (sets - 1)) * PrefixWays;
}

PrefixSlot *findSlot(PrefixIndex &index, uint64_t hash)
{
    return const_cast<PrefixSlot *>(findPrefix(index, hash));
}

/** The slot of @p hash. A new hash replaces the least recently used slot of its set. */
PrefixSlot &findOrReplaceSlot(PrefixIndex &index, uint64_t hash, TimePoint now)
{
    if (PrefixSlot *slot = findSlot(index, hash)) {
        slot->m_lastUsed = std::max(slot->m_lastUsed, now);
        return *slot;
    }
    const auto first = index.m_slots.begin() + static_cast<std::ptrdiff_t>(firstSlot(index, hash));
    const auto oldest = std::min_element(
        first, first + PrefixWays, [](const PrefixSlot &left, const PrefixSlot &right) { return left.m_lastUsed < right.m_lastUsed; });
    *oldest = PrefixSlot{hash, now, {}};
    return *oldest;
}

void addHolder(PrefixSlot &slot, uint64_t replica, TimePoint at)
{
    auto match =
        std::find_if(slot.m_holders.begin(), slot.m_holders.end(), [&](const PrefixHolder &holder) { return holder.m_replica == replica; });
    if (match == slot.m_holders.end()) {
        match = std::min_element(slot.m_holders.begin(), slot.m_holders.end(), [](const PrefixHolder &left, const PrefixHolder &right) {
            return left.m_lastUsed < right.m_lastUsed;
        });
        *match = PrefixHolder{replica, at};
    }
    match->m_lastUsed = std::max(match->m_lastUsed, at);
}

void removeHolder(PrefixSlot &slot, uint64_t replica, TimePoint sentAt)
{
    for (PrefixHolder &holder : slot.m_holders) {
        if (holder.m_replica == replica && holder.m_lastUsed <= sentAt) {
            holder = PrefixHolder{};
        }
    }
}

} // namespace

PrefixChain prefixChain(std::string_view prompt, uint64_t salt)
{
    PrefixChain chain;
    for (const size_t length : PrefixLengths) {
        if (prompt.size() < length) {
            break;
        }
        chain.m_hashes[chain.m_count] = std::max<uint64_t>(1, hash64(prompt.substr(0, length), salt));
        chain.m_count += 1;
    }
    return chain;
}

PrefixIndex makePrefixIndex(size_t sets)
{
    PrefixIndex index;
    index.m_slots.resize(std::bit_ceil(std::max<size_t>(1, sets)) * PrefixWays);
    return index;
}

const PrefixSlot *findPrefix(const PrefixIndex &index, uint64_t hash)
{
    if (index.m_slots.empty()) {
        return nullptr;
    }
    const size_t first = firstSlot(index, hash);
    for (size_t way = 0; way < PrefixWays; ++way) {
        if (index.m_slots[first + way].m_hash == hash) {
            return &index.m_slots[first + way];
        }
    }
    return nullptr;
}

void applyCacheEvent(PrefixIndex &index, uint64_t replica, CacheEvent event, uint64_t hash, TimePoint sentAt)
{
    if (index.m_slots.empty()) {
        return;
    }
    if (event == CacheEvent::Cleared) {
        for (PrefixSlot &slot : index.m_slots) {
            removeHolder(slot, replica, sentAt);
        }
        return;
    }
    if (event == CacheEvent::Stored) {
        addHolder(findOrReplaceSlot(index, hash, sentAt), replica, sentAt);
        return;
    }
    if (PrefixSlot *slot = findSlot(index, hash)) {
        removeHolder(*slot, replica, sentAt);
    }
}

void recordPlacement(PrefixIndex &index, const PrefixChain &chain, uint64_t replica, TimePoint now)
{
    if (index.m_slots.empty()) {
        return;
    }
    for (size_t block = 0; block < chain.m_count; ++block) {
        addHolder(findOrReplaceSlot(index, chain.m_hashes[block], now), replica, now);
    }
}

} // namespace Medlarramp
