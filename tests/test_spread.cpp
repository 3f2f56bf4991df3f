#include <algorithm>
#include <set>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include "cluster.h"
#include "virtual_cluster.h"

using namespace Medlarramp;

namespace {

constexpr seconds ChangeLimit{5}; ///< I7: a change is in force everywhere within this time

VirtualCluster makeCluster(uint64_t seed, double loss)
{
    VirtualCluster cluster;
    cluster.m_random.m_state = seed;
    cluster.m_network.m_loss = loss;
    cluster.m_network.m_duplicates = 0.05;
    cluster.m_network.m_maxDelay = milliseconds(20);
    return cluster;
}

void requireNoViolation(const VirtualCluster &cluster)
{
    CPPUNIT_ASSERT_MESSAGE(cluster.m_violations.empty() ? "" : cluster.m_violations.front(), cluster.m_violations.empty());
}

std::string keyOf(uint64_t number)
{
    return fmt::format("config/organisation/o{}", number);
}

/** Adds a check after each step: no object of a node goes back to an earlier revision. */
void checkRevisions(VirtualCluster &cluster)
{
    auto seen = std::make_shared<std::map<std::pair<size_t, uint64_t>, std::map<std::string, int64_t>>>();
    cluster.m_afterStep = [&cluster, seen](const VirtualNode &node) {
        auto &revisions = (*seen)[{node.m_index, node.m_generation}];
        for (const auto &[key, object] : node.m_config.m_objects) {
            int64_t &revision = revisions[key];
            if (object.m_revision < revision) {
                cluster.m_violations.push_back(fmt::format("node {} reverted {}", node.m_index, key));
            }
            revision = object.m_revision;
        }
    };
}

/** Nodes that lack a change that was committed longer than the limit ago, while they ran all the time since. */
bool isLate(const VirtualCluster &cluster, const std::vector<size_t> &nodes, Duration limit)
{
    for (const CommittedChange &change : cluster.m_store) {
        if (cluster.m_now - change.m_at <= limit) {
            continue;
        }
        for (const size_t node : nodes) {
            const int64_t held = cluster.m_nodes[node]->m_config.m_cursor;
            if (held < change.m_object.m_revision) {
                return true;
            }
        }
    }
    return false;
}

uint64_t totalSent(const VirtualCluster &cluster)
{
    uint64_t bytes = 0;
    for (const auto &node : cluster.m_nodes) {
        bytes += node->m_traffic.m_bytesSent;
    }
    return bytes;
}

std::vector<size_t> allOf(const VirtualCluster &cluster)
{
    std::vector<size_t> nodes;
    for (const auto &node : cluster.m_nodes) {
        nodes.push_back(node->m_index);
    }
    return nodes;
}

//-----------------------------------------------------------------------------
// Exhaustive exploration of three nodes
//-----------------------------------------------------------------------------

struct Letter {
    size_t m_to = 0;
    PeerMessage m_message;
};

/** A configuration with one key per revision is enough: its cursor must never pass a revision that is not held. */
struct SmallConfig {
    std::set<int64_t> m_held;
    int64_t m_cursor = 0;
};

struct SmallWorld {
    std::array<ClusterState, 3> m_states;
    std::array<SmallConfig, 3> m_configs;
    std::vector<Letter> m_letters;
    int m_losses = 0;
    std::array<int64_t, 3> m_watched{}; ///< revision up to which the store has delivered to each node
    TimePoint m_now{seconds(100)};
};

struct Exploration {
    int64_t m_changes = 0; ///< revisions in the store
    int m_maxLosses = 0;
    bool m_allWatch = false; ///< the store delivers to all nodes, at any moment; otherwise only as set up
    uint64_t m_steps = 0;
    uint64_t m_ends = 0;
    std::set<std::string> m_visited;
    std::string m_violation;
};

ConfigHolder smallAccess(SmallConfig &config, Exploration &exploration)
{
    ConfigHolder access;
    access.m_cursor = [&config] { return config.m_cursor; };
    access.m_changesSince = [&config](int64_t cursor, size_t) {
        ConfigChanges changes{{}, cursor, config.m_cursor};
        for (const int64_t revision : config.m_held) {
            if (revision > cursor && revision <= config.m_cursor) {
                changes.m_objects.push_back({fmt::format("key{}", revision), revision, "content"});
            }
        }
        return changes;
    };
    access.m_apply = [&config, &exploration](const ConfigChanges &changes) {
        for (const ConfigObject &object : changes.m_objects) {
            config.m_held.insert(object.m_revision);
        }
        if (config.m_cursor < changes.m_previous || changes.m_cursor <= config.m_cursor) {
            return;
        }
        config.m_cursor = changes.m_cursor;
        for (int64_t revision = 1; revision <= config.m_cursor; ++revision) {
            if (!config.m_held.contains(revision)) {
                exploration.m_violation = fmt::format("cursor {} without revision {}", config.m_cursor, revision);
            }
        }
    };
    return access;
}

void smallStep(SmallWorld &world, size_t node, const ClusterEvent &event, Exploration &exploration)
{
    Random random{7};
    ClusterActions actions;
    const int64_t before = world.m_configs[node].m_cursor;
    handleEvent(world.m_states[node], event, world.m_now, random, smallAccess(world.m_configs[node], exploration), actions);
    ++exploration.m_steps;
    if (world.m_configs[node].m_cursor < before) {
        exploration.m_violation = "cursor lowered";
    }
    for (const SendAction &action : actions.m_sends) {
        const auto to = static_cast<size_t>(action.m_destination.m_port);
        const Member &self = world.m_states[node].m_self;
        world.m_letters.push_back({to, {self.m_address, self.m_boot, 1, *action.m_body}});
    }
}

/** Three nodes of one region that know each other. */
SmallWorld smallWorld(Exploration &exploration)
{
    SmallWorld world;
    for (size_t i = 0; i < 3; ++i) {
        Member &self = world.m_states[i].m_self;
        self.m_address = {"10.0.0.1", static_cast<int>(i)};
        self.m_region = "r0";
        self.m_boot = 1;
        smallStep(world, i, StartEvent{}, exploration);
    }
    for (size_t i = 0; i < 3; ++i) {
        for (size_t j = 0; j < 3; ++j) {
            if (i != j) {
                const Member &other = world.m_states[j].m_self;
                const PeerMessage message{other.m_address, 1, 1, Membership{{}, false, {other}, {}}};
                smallStep(world, i, MessageEvent{message}, exploration);
            }
        }
    }
    world.m_letters.clear();
    return world;
}

std::string describe(const SmallWorld &world)
{
    std::string text;
    for (size_t i = 0; i < 3; ++i) {
        const ClusterState &state = world.m_states[i];
        text += fmt::format("{}:{}:{}:", world.m_configs[i].m_cursor, state.m_treeCursor, state.m_highestCursor);
        for (const int64_t revision : world.m_configs[i].m_held) {
            text += fmt::format("h{}", revision);
        }
        for (const RevisionRange &range : state.m_ranges) {
            text += fmt::format("r{}-{}", range.m_previous, range.m_cursor);
        }
        for (const PendingSpread &pending : state.m_pending) {
            text += fmt::format("p{}>{}", pending.m_token, pending.m_child.m_port);
        }
        for (const uint64_t token : state.m_seenSpreads) {
            text += fmt::format("s{}", token);
        }
        for (const StaggeredChange &staggered : state.m_staggered) {
            text += fmt::format("w{}", staggered.m_changes->m_cursor);
        }
        text += ";";
    }
    std::vector<std::string> letters;
    for (const Letter &letter : world.m_letters) {
        letters.push_back(fmt::format("{}<{}:{}:{}",
                                      letter.m_to,
                                      letter.m_message.m_sender.m_port,
                                      letter.m_message.m_body.index(),
                                      encodeBody(letter.m_message.m_body)));
    }
    std::sort(letters.begin(), letters.end());
    for (const std::string &letter : letters) {
        text += letter + "|";
    }
    return text + fmt::format("L{}W{},{},{}", world.m_losses, world.m_watched[0], world.m_watched[1], world.m_watched[2]);
}

/** Without further losses, all three nodes hold everything within the limit. */
bool convergesInTime(SmallWorld world, Exploration &exploration)
{
    const TimePoint until = world.m_now + ChangeLimit;
    while (world.m_now < until) {
        const std::vector<Letter> letters = std::exchange(world.m_letters, {});
        for (const Letter &letter : letters) {
            smallStep(world, letter.m_to, MessageEvent{letter.m_message}, exploration);
        }
        world.m_now += TickInterval;
        for (size_t i = 0; i < 3; ++i) {
            smallStep(world, i, TickEvent{}, exploration);
        }
        const bool done = std::all_of(world.m_configs.begin(), world.m_configs.end(), [&exploration](const SmallConfig &config) {
            return config.m_cursor == exploration.m_changes;
        });
        if (done) {
            return true;
        }
    }
    return false;
}

void deliverNextChange(SmallWorld &world, size_t node, Exploration &exploration)
{
    const int64_t revision = ++world.m_watched[node];
    const ConfigChanges changes{{{fmt::format("key{}", revision), revision, "content"}}, revision - 1, revision};
    smallStep(world, node, StoreChangesEvent{changes}, exploration);
}

void explore(const SmallWorld &world, Exploration &exploration);

/** Lets the store deliver its next change to each node in turn. True when there was one to deliver. */
bool exploreWatches(const SmallWorld &world, Exploration &exploration)
{
    bool delivered = false;
    for (size_t node = 0; exploration.m_allWatch && node < world.m_states.size(); ++node) {
        if (world.m_watched[node] < exploration.m_changes) {
            SmallWorld next = world;
            deliverNextChange(next, node, exploration);
            explore(next, exploration);
            delivered = true;
        }
    }
    return delivered;
}

/** Delivers or loses each message under way, and delivers each change of the store, in every order. */
void explore(const SmallWorld &world, Exploration &exploration)
{
    if (!exploration.m_violation.empty() || !exploration.m_visited.insert(describe(world)).second) {
        return;
    }
    const bool delivered = exploreWatches(world, exploration);
    if (world.m_letters.empty() && !delivered) {
        ++exploration.m_ends;
        if (!convergesInTime(world, exploration)) {
            exploration.m_violation = "a change is not in force everywhere in time: " + describe(world);
        }
        return;
    }
    for (size_t i = 0; i < world.m_letters.size(); ++i) {
        SmallWorld next = world;
        const Letter letter = world.m_letters[i];
        next.m_letters.erase(next.m_letters.begin() + static_cast<std::ptrdiff_t>(i));
        SmallWorld lost = next;
        smallStep(next, letter.m_to, MessageEvent{letter.m_message}, exploration);
        explore(next, exploration);
        if (lost.m_losses < exploration.m_maxLosses) {
            ++lost.m_losses;
            explore(lost, exploration);
        }
    }
}

} // namespace

class SpreadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SpreadTest);
    CPPUNIT_TEST(branchesCoverTheRing);
    CPPUNIT_TEST(treeReachesAllOnce);
    CPPUNIT_TEST(watchersAreStable);
    CPPUNIT_TEST(changesReachAll);
    CPPUNIT_TEST(changesReachAllUnderFaults);
    CPPUNIT_TEST(changesReachAllWhenWatchersDie);
    CPPUNIT_TEST(changesReachRegionsWithoutStore);
    CPPUNIT_TEST(startingNodeTakesStateFromPeers);
    CPPUNIT_TEST(splitIsRepaired);
    CPPUNIT_TEST(isolatedNodeWatchesTheStore);
    CPPUNIT_TEST(verdictsReachAll);
    CPPUNIT_TEST(verdictsExpireAndAreBounded);
    CPPUNIT_TEST(pollFindsNodesBelow);
    CPPUNIT_TEST(alternativesReachAll);
    CPPUNIT_TEST(allInterleavingsOfThreeChanges);
    CPPUNIT_TEST(allInterleavingsOfStoreAndTree);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a part of the ring that no child serves, or that two children serve.
    void branchesCoverTheRing()
    {
        constexpr int Nodes = 40;
        std::vector<Address> ring;
        ring.reserve(Nodes);
        for (int i = 0; i < Nodes; ++i) {
            ring.push_back({"10.0.0.1", 100 + i});
        }
        const Address end{"10.0.0.1", 99};
        for (size_t count = 0; count <= ring.size(); ++count) {
            const std::vector<Address> part(ring.begin(), ring.begin() + static_cast<std::ptrdiff_t>(count));
            const auto branches = treeBranches(part, end, count);
            CPPUNIT_ASSERT_EQUAL(std::min(TreeFanOut, count), branches.size());
            for (const Address &address : part) {
                const auto serving = std::count_if(branches.begin(), branches.end(), [&address](const TreeBranch &branch) {
                    return isInRing(address, branch.m_begin, branch.m_end);
                });
                CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1), serving);
            }
            for (const TreeBranch &branch : branches) {
                CPPUNIT_ASSERT(isInRing(branch.m_child, branch.m_begin, branch.m_end));
            }
            // Leaves are only passed over where a branch has other members.
            for (const TreeBranch &branch : treeBranches(part, end, count, {ring[0], ring[1], ring[2]})) {
                const bool isLeaf = branch.m_child.m_port < 103;
                CPPUNIT_ASSERT(isInRing(branch.m_child, branch.m_begin, branch.m_end));
                CPPUNIT_ASSERT(!isLeaf || count < 16);
            }
        }
    }

    // Guards against a tree that is deeper or sends more copies than its fan-out allows.
    void treeReachesAllOnce()
    {
        VirtualCluster cluster = makeCluster(1, 0);
        cluster.m_network.m_duplicates = 0;
        CPPUNIT_ASSERT(startAll(cluster, 85, 1, 3));
        runFor(cluster, seconds(30));
        uint64_t copies = 0;
        cluster.m_afterStep = nullptr;
        commitChange(cluster, keyOf(1), std::string(600, 'x'));
        const auto bytesBefore = totalSent(cluster);
        // Five hops of at most 20 ms.
        runFor(cluster, milliseconds(6 + 5 * 20));
        const auto bytes = totalSent(cluster) - bytesBefore;
        for (const auto &node : cluster.m_nodes) {
            copies += node->m_config.m_cursor == 1 ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(uint64_t(85), copies);
        // One copy for each node but the root, with its acknowledgement, besides the heartbeats of this time.
        constexpr uint64_t CopyBytes = 600 + 400;
        CPPUNIT_ASSERT(bytes < 85 * CopyBytes + 85 * 200);
    }

    // Guards against a change of the membership that moves the watch to many other nodes.
    void watchersAreStable()
    {
        Members members;
        for (int i = 0; i < 30; ++i) {
            Member member;
            member.m_address = {"10.0.0.1", i};
            member.m_region = i % 2 == 0 ? "r0" : "r1";
            members.push_back(member);
        }
        const auto watchers = configWatchers(members, "r0");
        CPPUNIT_ASSERT_EQUAL(ConfigWatchersPerRegion, watchers.size());
        for (size_t i = 0; i < members.size(); ++i) {
            Members fewer = members;
            fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(i));
            const auto after = configWatchers(fewer, "r0");
            const auto kept = std::count_if(watchers.begin(), watchers.end(), [&after](const Address &address) {
                return std::find(after.begin(), after.end(), address) != after.end();
            });
            CPPUNIT_ASSERT(kept >= 2);
        }
        members[static_cast<size_t>(watchers.front().m_port)].m_readiness = Readiness::Draining;
        const auto after = configWatchers(members, "r0");
        CPPUNIT_ASSERT(std::find(after.begin(), after.end(), watchers.front()) == after.end());
    }

    // Guards against changes that are late or reverted on a lossy network without further faults.
    void changesReachAll()
    {
        for (uint64_t seed = 1; seed <= 5; ++seed) {
            VirtualCluster cluster = makeCluster(seed, 0.05);
            checkRevisions(cluster);
            CPPUNIT_ASSERT(startAll(cluster, 9, 1, 3));
            runFor(cluster, seconds(5));
            const std::vector<size_t> nodes = allOf(cluster);
            for (uint64_t change = 0; change < 200; ++change) {
                commitChange(cluster, keyOf(uniformBelow(cluster.m_random, 20)), std::string(600, 'x'));
                runFor(cluster, Duration(static_cast<int64_t>(uniformBelow(cluster.m_random, 600'000))));
                CPPUNIT_ASSERT(!isLate(cluster, nodes, ChangeLimit));
            }
            CPPUNIT_ASSERT(runUntil(cluster, ChangeLimit, [&cluster] { return holdAllChanges(cluster); }));
            requireNoViolation(cluster);
        }
    }

    // Guards against changes that are late or reverted while nodes are killed, replaced and paused.
    void changesReachAllUnderFaults()
    {
        for (uint64_t seed = 1; seed <= 5; ++seed) {
            VirtualCluster cluster = makeCluster(seed, 0.05);
            checkRevisions(cluster);
            CPPUNIT_ASSERT(startAll(cluster, 12, 2, 3));
            runFor(cluster, seconds(5));
            const std::vector<size_t> stable = {0, 1, 2, 3, 4, 5};
            for (uint64_t round = 0; round < 60; ++round) {
                const size_t victim = 6 + uniformBelow(cluster.m_random, 6);
                if (!cluster.m_nodes[victim]->m_running) {
                    startNode(cluster, victim, {cluster.m_nodes[0]->m_self.m_address});
                } else if (cluster.m_nodes[victim]->m_paused) {
                    resumeNode(cluster, victim);
                } else if (uniformBelow(cluster.m_random, 2) == 0) {
                    killNode(cluster, victim);
                } else {
                    pauseNode(cluster, victim);
                }
                commitChange(cluster, keyOf(uniformBelow(cluster.m_random, 20)), std::string(600, 'x'));
                for (int part = 0; part < 10; ++part) {
                    runFor(cluster, milliseconds(100));
                    CPPUNIT_ASSERT(!isLate(cluster, stable, ChangeLimit));
                }
            }
            for (size_t victim = 6; victim < 12; ++victim) {
                if (!cluster.m_nodes[victim]->m_running) {
                    startNode(cluster, victim, {cluster.m_nodes[0]->m_self.m_address});
                }
                resumeNode(cluster, victim);
            }
            CPPUNIT_ASSERT(runUntil(cluster, 2 * ChangeLimit, [&cluster] { return holdAllChanges(cluster) && viewsAgree(cluster); }));
            requireNoViolation(cluster);
        }
    }

    // Guards against changes that depend on one watcher: all watchers of the region die together.
    void changesReachAllWhenWatchersDie()
    {
        for (uint64_t seed = 1; seed <= 10; ++seed) {
            VirtualCluster cluster = makeCluster(seed, 0.02);
            checkRevisions(cluster);
            CPPUNIT_ASSERT(startAll(cluster, 9, 1, 3));
            runFor(cluster, seconds(5));
            std::vector<size_t> survivors;
            for (const auto &node : cluster.m_nodes) {
                if (isConfigWatcher(node->m_state, cluster.m_now)) {
                    killNode(cluster, node->m_index);
                } else {
                    survivors.push_back(node->m_index);
                }
            }
            CPPUNIT_ASSERT_EQUAL(size_t(6), survivors.size());
            runFor(cluster, milliseconds(100));
            commitChange(cluster, keyOf(1), "content");
            CPPUNIT_ASSERT(runUntil(cluster, ChangeLimit, [&cluster] { return holdAllChanges(cluster); }));
            requireNoViolation(cluster);
        }
    }

    // Guards against a region that loses the store and then holds an old configuration although its peers are reachable.
    void changesReachRegionsWithoutStore()
    {
        VirtualCluster cluster = makeCluster(3, 0.02);
        checkRevisions(cluster);
        CPPUNIT_ASSERT(startAll(cluster, 12, 2, 3));
        runFor(cluster, seconds(5));
        for (const auto &node : cluster.m_nodes) {
            node->m_storeReachable = node->m_self.m_region == "r0";
        }
        runFor(cluster, seconds(1));
        for (uint64_t change = 0; change < 30; ++change) {
            commitChange(cluster, keyOf(change), "content");
            runFor(cluster, milliseconds(400));
            CPPUNIT_ASSERT(!isLate(cluster, allOf(cluster), ChangeLimit));
        }
        CPPUNIT_ASSERT(runUntil(cluster, ChangeLimit, [&cluster] { return holdAllChanges(cluster); }));
        requireNoViolation(cluster);
    }

    // Guards against a node that starts during a store outage and stays without configuration.
    void startingNodeTakesStateFromPeers()
    {
        VirtualCluster cluster = makeCluster(4, 0.02);
        CPPUNIT_ASSERT(startAll(cluster, 5, 1, 3));
        runFor(cluster, seconds(5));
        for (uint64_t change = 0; change < 2'000; ++change) {
            commitChange(cluster, keyOf(change), std::string(600, 'x'));
        }
        CPPUNIT_ASSERT(runUntil(cluster, 2 * ChangeLimit, [&cluster] { return holdAllChanges(cluster); }));
        for (const auto &node : cluster.m_nodes) {
            node->m_storeReachable = false;
        }
        VirtualNode &added = addNode(cluster, "r0", "r0-0");
        added.m_storeReachable = false;
        startNode(cluster, added.m_index, {cluster.m_nodes[1]->m_self.m_address});
        CPPUNIT_ASSERT(runUntil(cluster, ChangeLimit, [&cluster] { return holdAllChanges(cluster); }));
        requireNoViolation(cluster);
    }

    // Guards against changes that one side of a split lacks after the regions meet again.
    void splitIsRepaired()
    {
        for (const bool otherSideHasStore : {true, false}) {
            VirtualCluster cluster = makeCluster(5, 0.02);
            checkRevisions(cluster);
            CPPUNIT_ASSERT(startAll(cluster, 12, 2, 3));
            runFor(cluster, seconds(5));
            cutRegions(cluster, "r0", "r1");
            for (const auto &node : cluster.m_nodes) {
                node->m_storeReachable = node->m_self.m_region == "r0" || otherSideHasStore;
            }
            for (uint64_t change = 0; change < 60; ++change) {
                commitChange(cluster, keyOf(change % 10), "content");
                runFor(cluster, seconds(3));
                const std::vector<size_t> near = {0, 2, 4, 6, 8, 10};
                CPPUNIT_ASSERT(!isLate(cluster, otherSideHasStore ? allOf(cluster) : near, ChangeLimit));
            }
            joinRegions(cluster);
            CPPUNIT_ASSERT(runUntil(cluster, seconds(30), [&cluster] { return holdAllChanges(cluster) && viewsAgree(cluster); }));
            requireNoViolation(cluster);
        }
    }

    // Guards against a node that hears no peer and does not read the store although it could.
    void isolatedNodeWatchesTheStore()
    {
        VirtualCluster cluster = makeCluster(6, 0);
        CPPUNIT_ASSERT(startAll(cluster, 9, 1, 3));
        runFor(cluster, seconds(5));
        const auto follower = std::find_if(cluster.m_nodes.begin(), cluster.m_nodes.end(), [&cluster](const auto &node) {
            return !isConfigWatcher(node->m_state, cluster.m_now);
        });
        CPPUNIT_ASSERT(follower != cluster.m_nodes.end());
        (*follower)->m_self.m_region = "alone";
        cutRegions(cluster, "alone", "r0");
        runFor(cluster, NoContactLimit + seconds(1));
        CPPUNIT_ASSERT(isConfigWatcher((*follower)->m_state, cluster.m_now));
        commitChange(cluster, keyOf(1), "content");
        CPPUNIT_ASSERT(runUntil(cluster, ChangeLimit, [&cluster] { return holdAllChanges(cluster); }));
    }

    // Guards against a request that crashes the upstreams of entries which have not heard of the verdict.
    void verdictsReachAll()
    {
        for (uint64_t seed = 1; seed <= 10; ++seed) {
            VirtualCluster cluster = makeCluster(seed, 0.05);
            CPPUNIT_ASSERT(startAll(cluster, 20, 2, 3));
            runFor(cluster, seconds(5));
            feed(cluster, 3, VerdictEvent{{77, seconds(60)}});
            const auto knows = [](const auto &node) {
                return node->m_verdicts.size() == 1 && node->m_verdicts.front().m_contentHash == 77;
            };
            const auto allKnow = [&] { return std::all_of(cluster.m_nodes.begin(), cluster.m_nodes.end(), knows); };
            CPPUNIT_ASSERT(runUntil(cluster, seconds(3), allKnow));
            VirtualNode &added = addNode(cluster, "r0", "r0-0");
            startNode(cluster, added.m_index, {cluster.m_nodes[0]->m_self.m_address});
            CPPUNIT_ASSERT(runUntil(cluster, seconds(5), allKnow));
        }
    }

    // Guards against verdicts that never end because nodes keep telling each other, and against unbounded memory.
    void verdictsExpireAndAreBounded()
    {
        VirtualCluster cluster = makeCluster(1, 0.02);
        CPPUNIT_ASSERT(startAll(cluster, 9, 1, 3));
        feed(cluster, 0, VerdictEvent{{1, seconds(10)}});
        runFor(cluster, seconds(13));
        for (const auto &node : cluster.m_nodes) {
            CPPUNIT_ASSERT(node->m_state.m_verdicts.empty());
            CPPUNIT_ASSERT_EQUAL(size_t(1), node->m_verdicts.size());
        }
        for (uint64_t hash = 1; hash <= MaxVerdicts + 100; ++hash) {
            feed(cluster, 0, VerdictEvent{{hash, seconds(100'000)}});
        }
        CPPUNIT_ASSERT_EQUAL(MaxVerdicts, cluster.m_nodes[0]->m_state.m_verdicts.size());
        for (const auto &[hash, verdict] : cluster.m_nodes[0]->m_state.m_verdicts) {
            CPPUNIT_ASSERT(verdict.m_until <= cluster.m_now + MaxVerdictTime);
        }
    }

    // Guards against an editor who is told that a change is in force while a node still lacks it.
    void pollFindsNodesBelow()
    {
        VirtualCluster cluster = makeCluster(2, 0);
        CPPUNIT_ASSERT(startAll(cluster, 9, 1, 3));
        runFor(cluster, seconds(5));
        pauseNode(cluster, 8);
        const int64_t revision = commitChange(cluster, keyOf(1), "content");
        const auto isInForce = [revision](const auto &node) { return node->m_paused || node->m_config.m_cursor >= revision; };
        CPPUNIT_ASSERT(
            runUntil(cluster, seconds(1), [&] { return std::all_of(cluster.m_nodes.begin(), cluster.m_nodes.end(), isInForce); }));
        feed(cluster, 0, PollCursorsEvent{revision});
        runFor(cluster, milliseconds(100));
        const std::vector<Address> below = membersBelow(cluster.m_nodes[0]->m_state, revision);
        CPPUNIT_ASSERT_EQUAL(size_t(1), below.size());
        CPPUNIT_ASSERT(below.front() == cluster.m_nodes[8]->m_self.m_address);
        resumeNode(cluster, 8);
        runFor(cluster, seconds(2));
        feed(cluster, 0, PollCursorsEvent{revision});
        runFor(cluster, milliseconds(100));
        CPPUNIT_ASSERT(membersBelow(cluster.m_nodes[0]->m_state, revision).empty());
    }

    // Guards against measurements of alternatives that do not work at all.
    void alternativesReachAll()
    {
        for (const SpreadMode mode : {SpreadMode::NoticeAndPull, SpreadMode::FullCopies}) {
            VirtualCluster cluster = makeCluster(2, 0.02);
            cluster.m_mode = mode;
            checkRevisions(cluster);
            CPPUNIT_ASSERT(startAll(cluster, 9, 1, 3));
            runFor(cluster, seconds(5));
            for (uint64_t change = 0; change < 20; ++change) {
                commitChange(cluster, keyOf(change), "content");
                runFor(cluster, milliseconds(500));
                CPPUNIT_ASSERT(!isLate(cluster, allOf(cluster), ChangeLimit));
            }
            requireNoViolation(cluster);
        }
    }

    // Guards against an order of messages and losses that seeded runs do not reach: every order in which the messages
    // of three changes can arrive at three nodes, with every choice of lost ones.
    void allInterleavingsOfThreeChanges()
    {
        constexpr int NoLimit = 1'000;
        Exploration exploration{.m_changes = 3, .m_maxLosses = NoLimit};
        SmallWorld world = smallWorld(exploration);
        const std::vector<Address> watchers = configWatchers(liveMembers(world.m_states[0]), "r0");
        CPPUNIT_ASSERT_EQUAL(size_t(3), watchers.size());
        // The watcher whose turn it is sends each change; the others hear nothing from the store.
        for (int64_t revision = 1; revision <= exploration.m_changes; ++revision) {
            const Address &first = watchers[(watchers.size() - static_cast<size_t>(revision) % watchers.size()) % watchers.size()];
            const auto node = static_cast<size_t>(first.m_port);
            world.m_watched[node] = revision - 1;
            deliverNextChange(world, node, exploration);
        }
        CPPUNIT_ASSERT_EQUAL(size_t(6), world.m_letters.size());
        explore(world, exploration);
        CPPUNIT_ASSERT_EQUAL(std::string(), exploration.m_violation);
        CPPUNIT_ASSERT(exploration.m_ends > 1'000);
    }

    // Guards against changes that the store and the tree deliver in conflicting orders: two changes that each node may
    // receive from the store at any moment between the messages, of which up to two are lost.
    void allInterleavingsOfStoreAndTree()
    {
        Exploration exploration{.m_changes = 2, .m_maxLosses = 2, .m_allWatch = true};
        explore(smallWorld(exploration), exploration);
        CPPUNIT_ASSERT_EQUAL(std::string(), exploration.m_violation);
        CPPUNIT_ASSERT(exploration.m_ends > 100);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(SpreadTest, "spread");
