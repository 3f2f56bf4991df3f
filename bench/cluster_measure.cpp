#include "cluster_measure.h"

#include <algorithm>
#include <ctime>
#include <thread>

#include <fmt/format.h>
#include <malloc.h>

#include "virtual_cluster.h"

namespace Medlarramp {

namespace {

constexpr double BytesTarget = 2'000; ///< per second and node
constexpr double CoreTarget = 0.01;
constexpr double MemoryTarget = 256;
constexpr double EverywhereTarget = 5; ///< seconds
constexpr double MostTarget = 1; ///< seconds, for 99% at today's size
constexpr int TodayNodes = 9;
constexpr Duration ChangeInterval{1'250'000}; ///< 0.8 changes a second
constexpr size_t ContentBytes = 600;
constexpr size_t HeldObjects = 20; ///< before the measured changes
constexpr double DesignObjects = 49'000;
constexpr int Changes = 24;
constexpr seconds IdleTime{20};
constexpr seconds SettleTime{40};

using Figures = std::vector<ClusterFigure>;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double processorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

std::string nameOf(SpreadMode mode)
{
    switch (mode) {
    case SpreadMode::Tree:
        return "tree";
    case SpreadMode::NoticeAndPull:
        return "notice_and_pull";
    case SpreadMode::FullCopies:
        break;
    }
    return "full_copies";
}

/** Traffic of all nodes at one moment. */
struct Reading {
    TimePoint m_at{};
    double m_processor = 0;
    std::vector<VirtualTraffic> m_traffic;
};

Reading read(const VirtualCluster &cluster)
{
    Reading reading{cluster.m_now, processorSeconds(), {}};
    for (const auto &node : cluster.m_nodes) {
        reading.m_traffic.push_back(node->m_traffic);
    }
    return reading;
}

/** Figures of one stretch of time, under names that begin with @p prefix. */
void addTraffic(Figures &figures, const std::string &mode, const std::string &prefix, const Reading &from, const Reading &to)
{
    const double duration = toSeconds(to.m_at - from.m_at);
    const auto nodes = static_cast<double>(from.m_traffic.size());
    double sent = 0;
    double received = 0;
    double messages = 0;
    double busiest = 0;
    for (size_t i = 0; i < from.m_traffic.size(); ++i) {
        const auto nodeSent = static_cast<double>(to.m_traffic[i].m_bytesSent - from.m_traffic[i].m_bytesSent);
        const auto nodeReceived = static_cast<double>(to.m_traffic[i].m_bytesReceived - from.m_traffic[i].m_bytesReceived);
        sent += nodeSent;
        received += nodeReceived;
        messages += static_cast<double>(to.m_traffic[i].m_messagesSent - from.m_traffic[i].m_messagesSent);
        busiest = std::max(busiest, nodeSent);
    }
    figures.push_back({mode, prefix + "_sent", sent / nodes / duration, "B/s per node", BytesTarget});
    figures.push_back({mode, prefix + "_received", received / nodes / duration, "B/s per node", BytesTarget});
    figures.push_back({mode, prefix + "_sent_and_received", (sent + received) / nodes / duration, "B/s per node", BytesTarget});
    figures.push_back({mode, prefix + "_sent_busiest", busiest / duration, "B/s", BytesTarget});
    figures.push_back({mode, prefix + "_messages", messages / nodes / duration, "sent/s per node"});
    // With the work of the virtual network and without that of sockets.
    const double cores = (to.m_processor - from.m_processor) / nodes / duration;
    figures.push_back({mode, prefix + "_processor", cores, "cores per node", CoreTarget});
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return -1;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<size_t>(share * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
}

void addChangeTimes(Figures &figures, const VirtualCluster &cluster, const std::string &mode)
{
    std::vector<double> byNode;
    std::vector<double> everywhere;
    size_t missing = 0;
    for (size_t i = HeldObjects; i < cluster.m_store.size(); ++i) {
        const CommittedChange &change = cluster.m_store[i];
        missing += cluster.m_nodes.size() - change.m_heldAt.size();
        double last = 0;
        for (const auto &[node, at] : change.m_heldAt) {
            byNode.push_back(toSeconds(at - change.m_at));
            last = std::max(last, byNode.back());
        }
        everywhere.push_back(last);
    }
    const double mostTarget = cluster.m_nodes.size() <= TodayNodes ? MostTarget : 0;
    figures.push_back({mode, "change_at_node_median", quantile(byNode, 0.5), "s"});
    figures.push_back({mode, "change_everywhere_median", quantile(everywhere, 0.5), "s"});
    figures.push_back({mode, "change_everywhere_99", quantile(everywhere, 0.99), "s", mostTarget});
    figures.push_back({mode, "change_everywhere_max", quantile(everywhere, 1), "s", EverywhereTarget});
    figures.push_back({mode, "change_missing", static_cast<double>(missing), "nodes x changes"});
}

void commitOver(VirtualCluster &cluster, int changes)
{
    for (int i = 0; i < changes; ++i) {
        const uint64_t key = uniformBelow(cluster.m_random, HeldObjects);
        commitChange(cluster, fmt::format("config/organisation/o{}", key), std::string(ContentBytes, 'x'));
        runFor(cluster, ChangeInterval);
    }
}

void addFailureTimes(Figures &figures, VirtualCluster &cluster, const std::string &mode)
{
    constexpr int Failures = 5;
    std::vector<double> times;
    size_t wrong = 0;
    cluster.m_observed.clear();
    cluster.m_recordObserved = true;
    for (int i = 0; i < Failures; ++i) {
        const size_t victim = uniformBelow(cluster.m_random, cluster.m_nodes.size());
        const TimePoint start = cluster.m_now;
        killNode(cluster, victim);
        const bool known = runUntil(cluster, seconds(30), [&cluster] { return viewsAgree(cluster); });
        times.push_back(known ? toSeconds(cluster.m_now - start) : 30);
        const Address &address = cluster.m_nodes[victim]->m_self.m_address;
        wrong += static_cast<size_t>(
            std::count_if(cluster.m_observed.begin(), cluster.m_observed.end(), [&address](const ObservedChange &change) {
                return change.m_change.m_event == MemberEvent::Failed && change.m_change.m_member.m_address != address;
            }));
        cluster.m_observed.clear();
        startNode(cluster, victim, {cluster.m_nodes[(victim + 1) % cluster.m_nodes.size()]->m_self.m_address});
        runFor(cluster, seconds(3));
    }
    figures.push_back({mode, "failure_known_median", quantile(times, 0.5), "s"});
    figures.push_back({mode, "failure_known_max", quantile(times, 1), "s"});
    figures.push_back({mode, "wrong_removals", static_cast<double>(wrong), "entries"});
}

double heapMegabytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd) / 1e6;
}

Figures measureMode(SpreadMode mode, int nodes, uint64_t seed)
{
    Figures figures;
    const std::string name = nameOf(mode);
    const double heapBefore = heapMegabytes();
    VirtualCluster cluster;
    cluster.m_random.m_state = seed;
    cluster.m_mode = mode;
    cluster.m_recordObserved = false;
    cluster.m_network = {0.01, 0.01, milliseconds(1), milliseconds(5), milliseconds(30)};
    const size_t regions = nodes <= TodayNodes ? 1 : (nodes <= 100 ? 3 : 9);
    const TimePoint started = cluster.m_now;
    const bool agreed = startAll(cluster, static_cast<size_t>(nodes), regions, 3);
    figures.push_back({name, "all_started_agree", agreed ? toSeconds(cluster.m_now - started) : -1, "s"});
    runFor(cluster, SettleTime);
    const Reading idleFrom = read(cluster);
    runFor(cluster, IdleTime);
    const Reading idleTo = read(cluster);
    addTraffic(figures, name, "idle", idleFrom, idleTo);
    for (size_t i = 0; i < HeldObjects; ++i) {
        commitChange(cluster, fmt::format("config/organisation/o{}", i), std::string(ContentBytes, 'x'));
    }
    runFor(cluster, seconds(5));
    const Reading changesFrom = read(cluster);
    commitOver(cluster, Changes);
    const Reading changesTo = read(cluster);
    addTraffic(figures, name, "changes", changesFrom, changesTo);
    runFor(cluster, seconds(5));
    addChangeTimes(figures, cluster, name);
    figures.push_back({name, "memory", (heapMegabytes() - heapBefore) / nodes, "MB per node", MemoryTarget});
    if (mode == SpreadMode::FullCopies) {
        const double perChange = DesignObjects * ContentBytes;
        figures.push_back(
            {name, "received_at_49000_objects_calculated", perChange / toSeconds(ChangeInterval), "B/s per node", BytesTarget});
    }
    if (mode == SpreadMode::Tree) {
        addFailureTimes(figures, cluster, name);
    }
    return figures;
}

} // namespace

std::vector<ClusterFigure> measureCluster(int nodes, uint64_t seed)
{
    Figures figures;
    for (const SpreadMode mode : {SpreadMode::Tree, SpreadMode::NoticeAndPull, SpreadMode::FullCopies}) {
        const Figures part = measureMode(mode, nodes, seed);
        figures.insert(figures.end(), part.begin(), part.end());
    }
    return figures;
}

std::vector<ClusterFigure> measureTransport(int nodes, int runSeconds)
{
    Clock clock;
    std::vector<TransportPointer> transports;
    std::vector<Address> seeds;
    for (int i = 0; i < nodes; ++i) {
        TransportOptions options;
        options.m_self.m_address = {"127.0.0.1", 0};
        options.m_self.m_node = fmt::format("entry-{}", i);
        options.m_keys = {{1, "a shared key of the entry processes"}};
        options.m_seeds = seeds;
        auto transport = startTransport(clock, std::move(options));
        if (!transport.ok()) {
            return {};
        }
        seeds = {localAddress(**transport)};
        transports.push_back(std::move(*transport));
    }
    std::this_thread::sleep_for(seconds(3));
    const double before = processorSeconds();
    std::this_thread::sleep_for(seconds(runSeconds));
    const double cores = (processorSeconds() - before) / nodes / runSeconds;
    return {{"tree", "transport_idle_processor", cores, "cores per node", CoreTarget}};
}

} // namespace Medlarramp
