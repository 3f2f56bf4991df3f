#include <algorithm>
#include <cmath>

#include "serving.h"

namespace Medlarramp::Serving {

namespace {

struct ScoredNode {
    double m_score = 0;
    std::string m_node;
};

/** Names of the @p count nodes with the highest scores. */
std::vector<std::string> highestScores(std::vector<ScoredNode> nodes, size_t count)
{
    const size_t size = std::min(count, nodes.size());
    std::partial_sort(nodes.begin(),
                      nodes.begin() + static_cast<std::ptrdiff_t>(size),
                      nodes.end(),
                      [](const ScoredNode &left, const ScoredNode &right) { return left.m_score > right.m_score; });
    std::vector<std::string> names;
    for (size_t i = 0; i < size; ++i) {
        names.push_back(std::move(nodes[i].m_node));
    }
    return names;
}

} // namespace

std::vector<std::string> relayWatchers(const Membership &membership, TimePoint now)
{
    if (membership.m_members.size() < MinRelayMembers) {
        return {};
    }
    double largest = 0;
    for (const auto &[node, member] : membership.m_members) {
        largest = isSuspected(membership, node, now) ? largest : std::max(largest, member.m_weight);
    }
    std::vector<ScoredNode> nodes;
    std::vector<ScoredNode> smallNodes;
    for (const auto &[node, member] : membership.m_members) {
        if (!isSuspected(membership, node, now)) {
            const bool isLarge = member.m_weight >= largest * MinOwnerWeightShare;
            (isLarge ? nodes : smallNodes).push_back({rendezvousScore(node, "watch", member.m_weight), node});
        }
    }
    if (nodes.size() < MinRelayWatchers) {
        nodes.insert(nodes.end(), smallNodes.begin(), smallNodes.end());
    }
    const auto count = static_cast<size_t>(std::ceil(std::sqrt(static_cast<double>(membership.m_members.size()))));
    return highestScores(std::move(nodes), count);
}

std::vector<std::string> relaySources(const Membership &membership, TimePoint now)
{
    const std::string &self = membership.m_self.m_node;
    const std::vector<std::string> watchers = relayWatchers(membership, now);
    if (std::find(watchers.begin(), watchers.end(), self) != watchers.end()) {
        return {};
    }
    std::vector<ScoredNode> nodes;
    nodes.reserve(watchers.size());
    for (const std::string &node : watchers) {
        nodes.push_back({rendezvousScore(node, self, membership.m_members.at(node).m_weight), node});
    }
    return highestScores(std::move(nodes), RelaySources);
}

bool addSubscriber(RelayState &state, const std::string &node, TimePoint now)
{
    if (state.m_subscribers.size() >= MaxSubscribers && !state.m_subscribers.contains(node)) {
        return false;
    }
    state.m_subscribers[node] = now + SubscriptionTime;
    return true;
}

void noteSubscriberTime(RelayState &state, const std::string &node, int64_t timeUs)
{
    if (state.m_subscribers.contains(node)) {
        state.m_subscriberTimes[node].first = timeUs;
    }
}

void beginRelayedCall(RelayState &state)
{
    for (auto &[node, times] : state.m_subscriberTimes) {
        times.second = times.first;
    }
}

int64_t answeredTime(const RelayState &state, const std::string &node)
{
    const auto times = state.m_subscriberTimes.find(node);
    return times == state.m_subscriberTimes.end() ? 0 : times->second.second;
}

std::vector<std::string> currentSubscribers(RelayState &state, TimePoint now)
{
    std::erase_if(state.m_subscribers, [now](const auto &entry) { return entry.second <= now; });
    std::erase_if(state.m_subscriberTimes, [&state](const auto &entry) { return !state.m_subscribers.contains(entry.first); });
    std::vector<std::string> nodes;
    for (const auto &[node, end] : state.m_subscribers) {
        nodes.push_back(node);
    }
    return nodes;
}

RelayStep decideRelay(const StoreVersion &known, const StoreVersion &from, const StoreVersion &asOf)
{
    if (asOf.era() > known.era()) {
        return RelayStep::Read; // the store was restored: only its own answer may begin an era here
    }
    if (asOf < known) {
        return RelayStep::Ignore;
    }
    return from > known ? RelayStep::Read : RelayStep::Apply;
}

} // namespace Medlarramp::Serving
