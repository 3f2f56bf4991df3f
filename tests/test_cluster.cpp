#include <algorithm>
#include <condition_variable>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cluster.h"
#include "virtual_cluster.h"

using namespace Medlarramp;

namespace {

const std::vector<PeerSecret> Keys = {{1, "first key"}};

Codec makeCodec(const std::string &host, std::vector<PeerSecret> keys = Keys)
{
    return Codec{.m_self = {host, 8'081}, .m_keys = std::move(keys)};
}

Member makeMember(const std::string &host)
{
    Member member;
    member.m_address = {host, 8'081};
    member.m_node = "entry-" + host;
    member.m_region = "r0";
    member.m_failureDomain = "r0-1";
    member.m_readiness = Readiness::Draining;
    member.m_state = MemberState::Suspect;
    member.m_boot = 1'700'000'000'000;
    member.m_incarnation = 7;
    member.m_cursor = 99;
    return member;
}

std::vector<MessageBody> allBodies()
{
    const Heartbeat heartbeat{12, 34, {makeMember("10.0.0.1"), makeMember("peer.example")}, {{5, milliseconds(600)}}};
    const SpreadHeader spread{77, true, {"10.0.0.1", 1}, {"10.0.0.9", 65'535}};
    const ConfigChanges changes{{{"config/organisation/a", 11, "content"}, {"config/template/b", 12, ""}}, 10, 12};
    return {
        Ping{1, MemberState::Failed, 2, 3, heartbeat},
        Ack{4, true, heartbeat},
        PingRequest{5, {"10.0.0.2", 8'081}},
        Membership{spread, true, {makeMember("10.0.0.3")}, {{6, milliseconds(1)}}},
        MembershipPull{makeMember("::1")},
        ConfigChangeMessage{spread, changes},
        ConfigPullMessage{13},
        ConfigBatchMessage{changes},
        CrashVerdictSpread{spread, {14, milliseconds(15)}},
        SpreadAck{16},
        Call{17, std::string("pay\0load", 8)},
        CallAnswer{18, true, "answer"},
    };
}

const Address Receiver{"10.0.0.2", 8'081};
constexpr TimePoint Start{seconds(1)};

size_t countEvents(const VirtualCluster &cluster, MemberEvent event)
{
    return static_cast<size_t>(std::count_if(cluster.m_observed.begin(), cluster.m_observed.end(), [event](const ObservedChange &observed) {
        return observed.m_change.m_event == event;
    }));
}

/** True when every running node but @p subject sees @p subject in the given state, or not at all when it failed. */
bool allSee(const VirtualCluster &cluster, size_t subject, MemberState state)
{
    const Address &address = cluster.m_nodes[subject]->m_self.m_address;
    return std::all_of(cluster.m_nodes.begin(), cluster.m_nodes.end(), [&](const auto &node) {
        if (!node->m_running || node->m_index == subject) {
            return true;
        }
        const auto found = node->m_state.m_records.find(address);
        return found != node->m_state.m_records.end() && found->second.m_member.m_state == state;
    });
}

VirtualCluster makeCluster(uint64_t seed, double loss)
{
    VirtualCluster cluster;
    cluster.m_random.m_state = seed;
    cluster.m_network.m_loss = loss;
    cluster.m_network.m_duplicates = 0.02;
    cluster.m_network.m_maxDelay = milliseconds(20);
    return cluster;
}

/** Bytes that all running nodes sent so far, per node. */
uint64_t bytesPerNode(const VirtualCluster &cluster)
{
    uint64_t bytes = 0;
    for (const auto &node : cluster.m_nodes) {
        bytes += node->m_traffic.m_bytesSent;
    }
    return bytes / cluster.m_nodes.size();
}

} // namespace

class ClusterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClusterTest);
    CPPUNIT_TEST(bodiesSurviveEncoding);
    CPPUNIT_TEST(arbitraryBytesAreRefused);
    CPPUNIT_TEST(trailingFieldsAreIgnored);
    CPPUNIT_TEST(unknownTypeIsIgnored);
    CPPUNIT_TEST(alteredMessagesAreRefused);
    CPPUNIT_TEST(messageForAnotherNodeIsRefused);
    CPPUNIT_TEST(replaysAreRefused);
    CPPUNIT_TEST(reorderedMessagesAreAcceptedOnce);
    CPPUNIT_TEST(oldProcessIsRefused);
    CPPUNIT_TEST(keysRotateWithoutLoss);
    CPPUNIT_TEST(sizesAreBounded);
    CPPUNIT_TEST(replayRecordsAreBounded);
    CPPUNIT_TEST(allStartedAtOnce);
    CPPUNIT_TEST(killIsNoticedByAll);
    CPPUNIT_TEST(failedDomainIsNoticedByAll);
    CPPUNIT_TEST(lossRemovesNobody);
    CPPUNIT_TEST(shortPauseRemovesNobody);
    CPPUNIT_TEST(pausedNodeRemovesNobody);
    CPPUNIT_TEST(longPauseRejoins);
    CPPUNIT_TEST(splitOfThreeMinutes);
    CPPUNIT_TEST(leaveAndDrainingSpreadAtOnce);
    CPPUNIT_TEST(replacementAtSameAddress);
    CPPUNIT_TEST(replacementWithClockBehind);
    CPPUNIT_TEST(noReachableNodeStaysRemoved);
    CPPUNIT_TEST(rememberedMembersAreBounded);
    CPPUNIT_TEST(transportExchangesCalls);
    CPPUNIT_TEST(transportTransfersConfiguration);
    CPPUNIT_TEST(transportReportsUnsentCalls);
    CPPUNIT_TEST(transportRefusesForeignKeys);
    CPPUNIT_TEST(transportSurvivesArbitraryBytes);
    CPPUNIT_TEST_SUITE_END();

    // Guards against fields that are lost or mixed up on the wire.
    void bodiesSurviveEncoding()
    {
        for (const MessageBody &body : allBodies()) {
            Codec sender = makeCodec("10.0.0.1");
            Codec receiver = makeCodec("10.0.0.2");
            for (const Channel channel : {Channel::Datagram, Channel::Stream}) {
                const auto bytes = encodeMessage(sender, 42, Receiver, channel, body);
                CPPUNIT_ASSERT(bytes);
                const DecodeResult result = decodeMessage(receiver, *bytes, channel, Start);
                CPPUNIT_ASSERT_EQUAL(Reason::None, result.m_reason);
                CPPUNIT_ASSERT(result.m_message.m_body == body);
                CPPUNIT_ASSERT(result.m_message.m_sender == sender.m_self);
                CPPUNIT_ASSERT_EQUAL(uint64_t(42), result.m_message.m_boot);
            }
        }
    }

    // Guards against crashes, exceptions and large allocations on bytes from a faulty peer.
    void arbitraryBytesAreRefused()
    {
        Random random{1};
        for (const MessageBody &body : allBodies()) {
            const std::string valid = encodeBody(body);
            for (int round = 0; round < 2'000; ++round) {
                std::string bytes = valid.substr(0, uniformBelow(random, valid.size() + 1));
                for (uint64_t flips = uniformBelow(random, 4); flips > 0 && !bytes.empty(); --flips) {
                    bytes[uniformBelow(random, bytes.size())] = static_cast<char>(nextRandom(random));
                }
                (void)decodeBody(messageType(body), bytes);
            }
            for (size_t length = 0; length < valid.size(); ++length) {
                CPPUNIT_ASSERT(!decodeBody(messageType(body), valid.substr(0, length)));
            }
        }
        Codec receiver = makeCodec("10.0.0.2");
        for (int round = 0; round < 2'000; ++round) {
            std::string bytes(uniformBelow(random, 200), '\0');
            std::generate(bytes.begin(), bytes.end(), [&random] { return static_cast<char>(nextRandom(random)); });
            CPPUNIT_ASSERT(decodeMessage(receiver, bytes, Channel::Datagram, Start).m_reason != Reason::None);
        }
    }

    // Guards against a newer version whose additional fields break the older nodes of the same cluster.
    void trailingFieldsAreIgnored()
    {
        for (const MessageBody &body : allBodies()) {
            const auto decoded = decodeBody(messageType(body), encodeBody(body) + "fields of a later version");
            CPPUNIT_ASSERT(decoded && *decoded == body);
        }
    }

    // Guards against a newer version whose additional message types break the older nodes of the same cluster.
    void unknownTypeIsIgnored()
    {
        Codec sender = makeCodec("10.0.0.1");
        Codec receiver = makeCodec("10.0.0.2");
        std::string bytes = *encodeMessage(sender, 1, Receiver, Channel::Datagram, SpreadAck{1});
        constexpr size_t VersionPosition = 1;
        constexpr size_t TypePosition = 3;
        bytes[VersionPosition] = 9;
        bytes[TypePosition] = 120;
        bytes.resize(bytes.size() - MacBytes);
        const std::string input = toString(Receiver) + '\0' + bytes;
        const Digest mac = hmacSha256(Keys[0].m_secret, input);
        bytes.append(reinterpret_cast<const char *>(mac.data()), MacBytes);
        const DecodeResult result = decodeMessage(receiver, bytes, Channel::Datagram, Start);
        CPPUNIT_ASSERT_EQUAL(Reason::None, result.m_reason);
        CPPUNIT_ASSERT(result.m_unknownType);
    }

    // Guards against bytes that are not covered by the authentication.
    void alteredMessagesAreRefused()
    {
        Codec sender = makeCodec("10.0.0.1");
        const std::string valid = *encodeMessage(sender, 1, Receiver, Channel::Datagram, PingRequest{1, {"10.0.0.3", 1}});
        for (size_t i = 0; i < valid.size(); ++i) {
            Codec receiver = makeCodec("10.0.0.2");
            std::string bytes = valid;
            bytes[i] = static_cast<char>(bytes[i] ^ 1);
            CPPUNIT_ASSERT_EQUAL(Reason::PeerMessageUnauthenticated, decodeMessage(receiver, bytes, Channel::Datagram, Start).m_reason);
        }
    }

    // Guards against a captured message that is sent to another node or over the other channel.
    void messageForAnotherNodeIsRefused()
    {
        Codec sender = makeCodec("10.0.0.1");
        const std::string bytes = *encodeMessage(sender, 1, Receiver, Channel::Datagram, SpreadAck{1});
        Codec other = makeCodec("10.0.0.3");
        CPPUNIT_ASSERT_EQUAL(Reason::PeerMessageUnauthenticated, decodeMessage(other, bytes, Channel::Datagram, Start).m_reason);
        Codec receiver = makeCodec("10.0.0.2");
        CPPUNIT_ASSERT_EQUAL(Reason::PeerMessageUnauthenticated, decodeMessage(receiver, bytes, Channel::Stream, Start).m_reason);
    }

    // Guards against a captured message that takes effect a second time.
    void replaysAreRefused()
    {
        Codec sender = makeCodec("10.0.0.1");
        Codec receiver = makeCodec("10.0.0.2");
        std::vector<std::string> sent;
        for (uint64_t i = 0; i < 3 * ReplayWindow; ++i) {
            sent.push_back(*encodeMessage(sender, 1, Receiver, Channel::Datagram, SpreadAck{i}));
            CPPUNIT_ASSERT_EQUAL(Reason::None, decodeMessage(receiver, sent.back(), Channel::Datagram, Start).m_reason);
        }
        for (const std::string &bytes : sent) {
            CPPUNIT_ASSERT_EQUAL(Reason::PeerMessageReplayed, decodeMessage(receiver, bytes, Channel::Datagram, Start).m_reason);
        }
    }

    // Guards against a window that drops messages which only arrived out of order.
    void reorderedMessagesAreAcceptedOnce()
    {
        Random random{3};
        Codec sender = makeCodec("10.0.0.1");
        Codec receiver = makeCodec("10.0.0.2");
        std::vector<std::string> sent;
        for (uint64_t i = 0; i < ReplayWindow; ++i) {
            sent.push_back(*encodeMessage(sender, 1, Receiver, Channel::Datagram, SpreadAck{i}));
        }
        for (size_t i = sent.size(); i > 1; --i) {
            std::swap(sent[i - 1], sent[uniformBelow(random, i)]);
        }
        for (const std::string &bytes : sent) {
            CPPUNIT_ASSERT_EQUAL(Reason::None, decodeMessage(receiver, bytes, Channel::Datagram, Start).m_reason);
            CPPUNIT_ASSERT_EQUAL(Reason::PeerMessageReplayed, decodeMessage(receiver, bytes, Channel::Datagram, Start).m_reason);
        }
    }

    // Guards against messages of a process that was replaced at its address.
    void oldProcessIsRefused()
    {
        Codec before = makeCodec("10.0.0.1");
        Codec after = makeCodec("10.0.0.1");
        Codec receiver = makeCodec("10.0.0.2");
        const std::string late = *encodeMessage(before, 1, Receiver, Channel::Datagram, SpreadAck{1});
        const std::string current = *encodeMessage(after, 2, Receiver, Channel::Datagram, SpreadAck{2});
        CPPUNIT_ASSERT_EQUAL(Reason::None, decodeMessage(receiver, current, Channel::Datagram, Start).m_reason);
        const DecodeResult result = decodeMessage(receiver, late, Channel::Datagram, Start);
        CPPUNIT_ASSERT_EQUAL(Reason::PeerMessageReplayed, result.m_reason);
        CPPUNIT_ASSERT(result.m_oldBoot);
    }

    // Guards against messages lost during a rotation, and against a retired key that is still accepted.
    void keysRotateWithoutLoss()
    {
        const std::vector<std::vector<PeerSecret>> steps = {{{1, "old"}}, {{1, "old"}, {2, "new"}}, {{2, "new"}, {1, "old"}}, {{2, "new"}}};
        for (size_t i = 0; i + 1 < steps.size(); ++i) {
            for (const auto &[from, to] : {std::pair(i, i + 1), std::pair(i + 1, i)}) {
                Codec sender = makeCodec("10.0.0.1", steps[from]);
                Codec receiver = makeCodec("10.0.0.2", steps[to]);
                const std::string bytes = *encodeMessage(sender, 1, Receiver, Channel::Datagram, SpreadAck{1});
                CPPUNIT_ASSERT_EQUAL(Reason::None, decodeMessage(receiver, bytes, Channel::Datagram, Start).m_reason);
            }
        }
        Codec retired = makeCodec("10.0.0.1", steps.front());
        Codec receiver = makeCodec("10.0.0.2", steps.back());
        const std::string bytes = *encodeMessage(retired, 1, Receiver, Channel::Datagram, SpreadAck{1});
        CPPUNIT_ASSERT_EQUAL(Reason::PeerMessageUnauthenticated, decodeMessage(receiver, bytes, Channel::Datagram, Start).m_reason);
    }

    // Guards against messages above the bounds of the channels.
    void sizesAreBounded()
    {
        Codec sender = makeCodec("10.0.0.1");
        Codec receiver = makeCodec("10.0.0.2");
        CPPUNIT_ASSERT(!encodeMessage(sender, 1, Receiver, Channel::Datagram, Call{1, std::string(MaxDatagramBytes, 'x')}));
        CPPUNIT_ASSERT(encodeMessage(sender, 1, Receiver, Channel::Stream, Call{1, std::string(MaxCallPayloadBytes, 'x')}));
        const ConfigChanges tooLarge{{{"a", 1, std::string(MaxFrameBytes, 'x')}}, 0, 1};
        CPPUNIT_ASSERT(!encodeMessage(sender, 1, Receiver, Channel::Stream, ConfigBatchMessage{tooLarge}));
        const std::string datagram(MaxDatagramBytes + 1, 'x');
        const std::string frame(MaxFrameBytes + 1, 'x');
        CPPUNIT_ASSERT_EQUAL(Reason::PeerMessageTooLarge, decodeMessage(receiver, datagram, Channel::Datagram, Start).m_reason);
        CPPUNIT_ASSERT_EQUAL(Reason::PeerMessageTooLarge, decodeMessage(receiver, frame, Channel::Stream, Start).m_reason);
        const std::string longPayload = encodeBody(Call{1, std::string(MaxCallPayloadBytes + 1, 'x')});
        CPPUNIT_ASSERT(!decodeBody(MessageType::Call, longPayload));
    }

    // Guards against memory that grows with the number of addresses ever seen.
    void replayRecordsAreBounded()
    {
        Codec receiver = makeCodec("10.0.0.2");
        for (size_t i = 0; i < MaxMembers + 100; ++i) {
            Codec sender = makeCodec(fmt::format("10.{}.{}.1", i / 250, i % 250));
            const std::string bytes = *encodeMessage(sender, 1, Receiver, Channel::Datagram, SpreadAck{1});
            const TimePoint at = Start + milliseconds(i);
            CPPUNIT_ASSERT_EQUAL(Reason::None, decodeMessage(receiver, bytes, Channel::Datagram, at).m_reason);
        }
        CPPUNIT_ASSERT_EQUAL(MaxMembers, receiver.m_replay.size());
    }

    // Guards against a first contact that leaves nodes out, and against a start that causes false suspicions.
    void allStartedAtOnce()
    {
        for (const size_t nodes : {2U, 3U, 9U, 30U}) {
            VirtualCluster cluster = makeCluster(nodes, 0.02);
            CPPUNIT_ASSERT(startAll(cluster, nodes, 1, 3));
            runFor(cluster, seconds(20));
            CPPUNIT_ASSERT(viewsAgree(cluster));
            CPPUNIT_ASSERT_EQUAL(size_t(0), countEvents(cluster, MemberEvent::Failed));
        }
    }

    // Guards against a failure that some node does not notice within a few seconds.
    void killIsNoticedByAll()
    {
        constexpr seconds Limit{6};
        for (uint64_t seed = 1; seed <= 20; ++seed) {
            VirtualCluster cluster = makeCluster(seed, 0.02);
            CPPUNIT_ASSERT(startAll(cluster, 9, 1, 3));
            runFor(cluster, seconds(5));
            killNode(cluster, seed % 9);
            CPPUNIT_ASSERT(runUntil(cluster, Limit, [&cluster] { return viewsAgree(cluster); }));
            CPPUNIT_ASSERT_EQUAL(size_t(8), countEvents(cluster, MemberEvent::Failed));
        }
    }

    // Guards against several failures at once that delay each other's detection for long.
    void failedDomainIsNoticedByAll()
    {
        for (uint64_t seed = 1; seed <= 10; ++seed) {
            VirtualCluster cluster = makeCluster(seed, 0.01);
            CPPUNIT_ASSERT(startAll(cluster, 9, 1, 3));
            runFor(cluster, seconds(5));
            for (const size_t index : {0U, 3U, 6U}) {
                killNode(cluster, index);
            }
            CPPUNIT_ASSERT(runUntil(cluster, seconds(15), [&cluster] { return viewsAgree(cluster); }));
            CPPUNIT_ASSERT_EQUAL(size_t(18), countEvents(cluster, MemberEvent::Failed));
        }
    }

    // Guards against the removal of live members on a link that loses every tenth datagram.
    void lossRemovesNobody()
    {
        VirtualCluster cluster = makeCluster(5, 0.1);
        CPPUNIT_ASSERT(startAll(cluster, 9, 1, 3));
        runFor(cluster, seconds(600));
        CPPUNIT_ASSERT_EQUAL(size_t(0), countEvents(cluster, MemberEvent::Failed));
        CPPUNIT_ASSERT(viewsAgree(cluster));
    }

    // Guards against the removal of a node that is only slow, alone or together with others.
    void shortPauseRemovesNobody()
    {
        for (uint64_t seed = 1; seed <= 10; ++seed) {
            VirtualCluster cluster = makeCluster(seed, 0.01);
            CPPUNIT_ASSERT(startAll(cluster, 9, 1, 3));
            runFor(cluster, seconds(5));
            for (const size_t index : {1U, 4U, 7U}) {
                pauseNode(cluster, index);
            }
            runFor(cluster, milliseconds(1'500));
            for (const size_t index : {1U, 4U, 7U}) {
                resumeNode(cluster, index);
            }
            runFor(cluster, seconds(20));
            CPPUNIT_ASSERT_EQUAL(size_t(0), countEvents(cluster, MemberEvent::Failed));
            CPPUNIT_ASSERT(viewsAgree(cluster));
        }
    }

    // Guards against a node that was paused for long and then holds its peers for failed.
    void pausedNodeRemovesNobody()
    {
        for (uint64_t seed = 1; seed <= 10; ++seed) {
            VirtualCluster cluster = makeCluster(seed, 0.01);
            CPPUNIT_ASSERT(startAll(cluster, 9, 1, 3));
            runFor(cluster, seconds(5));
            for (int round = 0; round < 5; ++round) {
                pauseNode(cluster, 4);
                runFor(cluster, milliseconds(2'000 + 700 * round));
                resumeNode(cluster, 4);
                runFor(cluster, milliseconds(300));
            }
            runFor(cluster, seconds(20));
            const Address &paused = cluster.m_nodes[4]->m_self.m_address;
            for (const ObservedChange &observed : cluster.m_observed) {
                const bool isRemoval = observed.m_change.m_event == MemberEvent::Failed;
                CPPUNIT_ASSERT(!isRemoval || observed.m_change.m_member.m_address == paused);
            }
            CPPUNIT_ASSERT(viewsAgree(cluster));
        }
    }

    // Guards against a paused node that does not come back, or comes back late.
    void longPauseRejoins()
    {
        constexpr seconds Limit{5};
        for (uint64_t seed = 1; seed <= 10; ++seed) {
            VirtualCluster cluster = makeCluster(seed, 0.01);
            CPPUNIT_ASSERT(startAll(cluster, 9, 1, 3));
            runFor(cluster, seconds(5));
            pauseNode(cluster, 2);
            runFor(cluster, seconds(30));
            CPPUNIT_ASSERT(allSee(cluster, 2, MemberState::Failed));
            resumeNode(cluster, 2);
            CPPUNIT_ASSERT(runUntil(cluster, Limit, [&cluster] { return viewsAgree(cluster); }));
            CPPUNIT_ASSERT_EQUAL(size_t(8), countEvents(cluster, MemberEvent::Failed));
        }
    }

    // Guards against regions that do not find each other again, that remove nodes of their own side, or that meet
    // again with a surge of traffic.
    void splitOfThreeMinutes()
    {
        VirtualCluster cluster = makeCluster(7, 0.01);
        cluster.m_network.m_regionDelay = milliseconds(20);
        CPPUNIT_ASSERT(startAll(cluster, 60, 2, 3));
        runFor(cluster, seconds(20));
        cutRegions(cluster, "r0", "r1");
        runFor(cluster, seconds(180));
        for (const auto &node : cluster.m_nodes) {
            CPPUNIT_ASSERT_EQUAL(size_t(30), liveMembers(node->m_state).size());
        }
        uint64_t before = bytesPerNode(cluster);
        joinRegions(cluster);
        const auto agree = [&cluster] { return viewsAgree(cluster); };
        uint64_t most = 0;
        for (int second = 0; second < 60 && !agree(); ++second) {
            runFor(cluster, seconds(1));
            most = std::max(most, bytesPerNode(cluster) - before);
            before = bytesPerNode(cluster);
        }
        CPPUNIT_ASSERT(agree());
        // Ten times the traffic that a node is allowed on average.
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} bytes in one second", most), most < 20'000);
        for (const ObservedChange &observed : cluster.m_observed) {
            const bool isRemoval = observed.m_change.m_event == MemberEvent::Failed;
            const std::string &own = cluster.m_nodes[observed.m_observer]->m_self.m_region;
            CPPUNIT_ASSERT(!isRemoval || observed.m_change.m_member.m_region != own);
        }
    }

    // Guards against a departure or a draining flag that others learn only through failed probes.
    void leaveAndDrainingSpreadAtOnce()
    {
        constexpr seconds Limit{1};
        for (uint64_t seed = 1; seed <= 20; ++seed) {
            VirtualCluster cluster = makeCluster(seed, 0.02);
            CPPUNIT_ASSERT(startAll(cluster, 30, 1, 3));
            runFor(cluster, seconds(15));
            feed(cluster, 3, ReadinessEvent{Readiness::Draining});
            const auto drains = [&cluster](const auto &node) {
                const auto found = node->m_state.m_records.find(cluster.m_nodes[3]->m_self.m_address);
                return node->m_index == 3
                    || (found != node->m_state.m_records.end() && found->second.m_member.m_readiness == Readiness::Draining);
            };
            CPPUNIT_ASSERT(runUntil(cluster, Limit, [&] { return std::all_of(cluster.m_nodes.begin(), cluster.m_nodes.end(), drains); }));
            leaveNode(cluster, 3);
            CPPUNIT_ASSERT(runUntil(cluster, Limit, [&cluster] { return allSee(cluster, 3, MemberState::Left); }));
            runFor(cluster, seconds(10));
            CPPUNIT_ASSERT(viewsAgree(cluster));
            CPPUNIT_ASSERT_EQUAL(size_t(0), countEvents(cluster, MemberEvent::Failed));
        }
    }

    // Guards against entries of a dead process that hide its replacement at the same address.
    void replacementAtSameAddress()
    {
        for (uint64_t seed = 1; seed <= 10; ++seed) {
            VirtualCluster cluster = makeCluster(seed, 0.02);
            CPPUNIT_ASSERT(startAll(cluster, 9, 1, 3));
            runFor(cluster, seconds(5));
            killNode(cluster, 5);
            // Before, during and after the suspicion.
            runFor(cluster, milliseconds(200 + 500 * seed));
            startNode(cluster, 5, {cluster.m_nodes[0]->m_self.m_address});
            CPPUNIT_ASSERT(runUntil(cluster, seconds(10), [&cluster] { return viewsAgree(cluster); }));
            runFor(cluster, seconds(20));
            CPPUNIT_ASSERT(viewsAgree(cluster));
        }
    }

    // Guards against a replacement that is locked out for ever because its clock is behind that of its predecessor.
    void replacementWithClockBehind()
    {
        VirtualCluster cluster = makeCluster(1, 0.01);
        CPPUNIT_ASSERT(startAll(cluster, 5, 1, 3));
        runFor(cluster, seconds(5));
        killNode(cluster, 4);
        startNode(cluster, 4, {cluster.m_nodes[0]->m_self.m_address});
        cluster.m_nodes[4]->m_state.m_self.m_boot = 5;
        CPPUNIT_ASSERT(runUntil(cluster, seconds(15), [&cluster] { return viewsAgree(cluster); }));
        CPPUNIT_ASSERT(cluster.m_nodes[4]->m_state.m_self.m_boot > 5);
    }

    // Guards against a node that runs and is reachable but stays removed at some other node, under random kills,
    // replacements and pauses with loss. Checked every 100 ms for each pair of nodes.
    void noReachableNodeStaysRemoved()
    {
        // A removed node refutes at its first exchange with a peer, which it has every second; one of them may be lost.
        constexpr seconds Limit{5};
        for (uint64_t seed = 1; seed <= 6; ++seed) {
            VirtualCluster cluster = makeCluster(seed, 0.05);
            CPPUNIT_ASSERT(startAll(cluster, 12, 2, 3));
            runFor(cluster, seconds(10));
            std::vector<TimePoint> runningSince(12, cluster.m_now);
            std::map<std::pair<size_t, size_t>, TimePoint> missingSince;
            for (int step = 0; step < 1'500; ++step) {
                if (step % 20 == 0) {
                    disturbNode(cluster, uniformBelow(cluster.m_random, 12), runningSince);
                }
                runFor(cluster, milliseconds(100));
                checkPairs(cluster, runningSince, Limit, missingSince);
            }
        }
    }

    /** Kills, replaces, pauses or resumes one node. */
    static void disturbNode(VirtualCluster &cluster, size_t index, std::vector<TimePoint> &runningSince)
    {
        const VirtualNode &node = *cluster.m_nodes[index];
        if (!node.m_running) {
            startNode(cluster, index, {cluster.m_nodes[0]->m_self.m_address, cluster.m_nodes[1]->m_self.m_address});
            runningSince[index] = cluster.m_now;
        } else if (node.m_paused) {
            resumeNode(cluster, index);
            runningSince[index] = cluster.m_now;
        } else if (index > 1 && uniformBelow(cluster.m_random, 2) == 0) {
            killNode(cluster, index);
        } else if (index > 1) {
            pauseNode(cluster, index);
        }
    }

    static void checkPairs(const VirtualCluster &cluster,
                           const std::vector<TimePoint> &runningSince,
                           Duration limit,
                           std::map<std::pair<size_t, size_t>, TimePoint> &missingSince)
    {
        for (const auto &observer : cluster.m_nodes) {
            for (const auto &subject : cluster.m_nodes) {
                const bool bothRun = observer->m_running && !observer->m_paused && subject->m_running && !subject->m_paused;
                const auto found = observer->m_state.m_records.find(subject->m_self.m_address);
                const bool isKnown = found != observer->m_state.m_records.end() && found->second.m_member.m_state <= MemberState::Suspect;
                const auto pair = std::pair(observer->m_index, subject->m_index);
                if (observer == subject || !bothRun || isKnown) {
                    missingSince.erase(pair);
                    continue;
                }
                const TimePoint since = std::max(runningSince[observer->m_index], runningSince[subject->m_index]);
                const TimePoint missing = missingSince.try_emplace(pair, std::max(since, cluster.m_now)).first->second;
                CPPUNIT_ASSERT_MESSAGE(fmt::format("node {} removed at node {}", pair.second, pair.first),
                                       cluster.m_now - missing <= limit);
            }
        }
    }

    // Guards against memory that grows with the number of members that ever existed.
    void rememberedMembersAreBounded()
    {
        ClusterState state;
        state.m_self = makeMember("10.0.0.2");
        state.m_self.m_state = MemberState::Alive;
        Random random{1};
        ClusterActions actions;
        handleEvent(state, StartEvent{}, Start, random, {}, actions);
        for (size_t i = 0; i < MaxMembers + 200; ++i) {
            Member member = makeMember(fmt::format("10.1.{}.{}", i / 250, i % 250));
            member.m_state = MemberState::Alive;
            PeerMessage message{member.m_address, member.m_boot, i + 1, Membership{{}, false, {member}, {}}};
            handleEvent(state, MessageEvent{message}, Start, random, {}, actions);
        }
        CPPUNIT_ASSERT_EQUAL(MaxMembers, state.m_records.size());
        CPPUNIT_ASSERT(state.m_gossip.size() <= 1'024);
    }

    static TransportOptions loopbackOptions(uint64_t seed, std::vector<Address> seeds = {})
    {
        TransportOptions options;
        options.m_self.m_address = {"127.0.0.1", 0};
        options.m_self.m_node = fmt::format("entry-{}", seed);
        options.m_self.m_boot = seed;
        options.m_keys = Keys;
        options.m_seeds = std::move(seeds);
        options.m_seed = seed;
        options.m_onCall = [](const Address &, const std::string &payload) { return "answer to " + payload; };
        return options;
    }

    /** Waits on the real clock for an event that threads bring about. */
    static bool eventually(const std::function<bool()> &predicate)
    {
        const auto until = std::chrono::steady_clock::now() + seconds(20);
        while (!predicate() && std::chrono::steady_clock::now() < until) {
            std::this_thread::sleep_for(milliseconds(5));
        }
        return predicate();
    }

    // Guards against a transport whose nodes do not find each other or mix up the answers of calls.
    void transportExchangesCalls()
    {
        Clock clock;
        auto first = startTransport(clock, loopbackOptions(1));
        CPPUNIT_ASSERT(first.ok());
        auto second = startTransport(clock, loopbackOptions(2, {localAddress(**first)}));
        CPPUNIT_ASSERT(second.ok());
        CPPUNIT_ASSERT(eventually([&] { return members(**first)->m_live.size() == 2 && members(**second)->m_live.size() == 2; }));
        constexpr int Callers = 8;
        std::vector<std::thread> callers;
        callers.reserve(Callers);
        std::atomic<int> correct = 0;
        for (int caller = 0; caller < Callers; ++caller) {
            callers.emplace_back([&, caller] {
                for (int i = 0; i < 20; ++i) {
                    const std::string payload = fmt::format("call {} {}", caller, i);
                    const auto answer = callPeer(**second, localAddress(**first), payload, now(clock) + seconds(10));
                    correct += answer.ok() && *answer == "answer to " + payload ? 1 : 0;
                }
            });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        CPPUNIT_ASSERT_EQUAL(160, correct.load());
        const std::string large(MaxCallPayloadBytes - 32, 'x');
        const auto answer = callPeer(**second, localAddress(**first), large, now(clock) + seconds(10));
        CPPUNIT_ASSERT(answer.ok() && *answer == "answer to " + large);
        leaveCluster(**second);
        CPPUNIT_ASSERT(eventually([&] { return members(**first)->m_live.size() == 1; }));
    }

    /** Objects by key, held in memory. */
    struct HeldConfig {
        std::mutex m_mutex;
        std::map<int64_t, ConfigObject> m_objects; ///< by revision
        int64_t m_cursor = 0;
    };

    static ConfigHolder accessTo(HeldConfig &config)
    {
        ConfigHolder access;
        access.m_cursor = [&config] {
            const std::lock_guard lock(config.m_mutex);
            return config.m_cursor;
        };
        access.m_changesSince = [&config](int64_t cursor, size_t maxBytes) {
            const std::lock_guard lock(config.m_mutex);
            ConfigChanges changes{{}, cursor, config.m_cursor};
            size_t bytes = 0;
            for (auto it = config.m_objects.upper_bound(cursor); it != config.m_objects.end() && it->first <= config.m_cursor; ++it) {
                bytes += it->second.m_content.size();
                if (bytes > maxBytes && !changes.m_objects.empty()) {
                    changes.m_cursor = changes.m_objects.back().m_revision;
                    break;
                }
                changes.m_objects.push_back(it->second);
            }
            return changes;
        };
        access.m_apply = [&config](const ConfigChanges &changes) {
            const std::lock_guard lock(config.m_mutex);
            for (const ConfigObject &object : changes.m_objects) {
                config.m_objects[object.m_revision] = object;
            }
            if (config.m_cursor >= changes.m_previous) {
                config.m_cursor = std::max(config.m_cursor, changes.m_cursor);
            }
        };
        return access;
    }

    // Guards against state that is too large for datagrams and does not reach a node over TCP, and against small
    // changes and verdicts that are lost between the state machine and the sockets.
    void transportTransfersConfiguration()
    {
        Clock clock;
        HeldConfig firstConfig;
        HeldConfig secondConfig;
        ConfigChanges all;
        for (int64_t revision = 1; revision <= 500; ++revision) {
            all.m_objects.push_back({fmt::format("key{}", revision), revision, std::string(2'000, 'x')});
        }
        all.m_cursor = 500;
        std::atomic<uint64_t> verdict = 0;
        TransportOptions firstOptions = loopbackOptions(1);
        firstOptions.m_config = accessTo(firstConfig);
        auto first = startTransport(clock, std::move(firstOptions));
        offerChanges(**first, all);
        TransportOptions secondOptions = loopbackOptions(2, {localAddress(**first)});
        secondOptions.m_config = accessTo(secondConfig);
        secondOptions.m_onVerdict = [&verdict](const CrashVerdict &learned) { verdict = learned.m_contentHash; };
        auto second = startTransport(clock, std::move(secondOptions));
        const ConfigHolder held = accessTo(secondConfig);
        CPPUNIT_ASSERT(eventually([&] { return held.m_cursor() == 500; }));
        CPPUNIT_ASSERT_EQUAL(size_t(500), secondConfig.m_objects.size());
        offerChanges(**first, {{{"key1", 501, "new"}}, 500, 501});
        spreadVerdict(**first, {99, seconds(60)});
        CPPUNIT_ASSERT(eventually([&] { return held.m_cursor() == 501 && verdict == 99; }));
        CPPUNIT_ASSERT(eventually([&] { return pollMembersBelow(**first, 501).empty(); }));
        for (const auto &transport : {first->get(), second->get()}) {
            const auto drops = transportCounters(*transport).m_drops;
            CPPUNIT_ASSERT(std::all_of(drops.begin(), drops.end(), [](uint64_t count) { return count == 0; }));
        }
    }

    // Guards against a call that is reported as possibly processed although nobody received it, and against one that
    // outlasts its deadline.
    void transportReportsUnsentCalls()
    {
        Clock clock;
        auto caller = startTransport(clock, loopbackOptions(1));
        auto gone = startTransport(clock, loopbackOptions(2));
        const Address address = localAddress(**gone);
        gone->reset();
        CPPUNIT_ASSERT(absl::IsUnavailable(callPeer(**caller, address, "x", now(clock) + seconds(5)).status()));
        TransportOptions slow = loopbackOptions(3);
        StopSignal release;
        slow.m_onCall = [&](const Address &, const std::string &) {
            sleepFor(clock, release, seconds(30));
            return std::string();
        };
        auto silent = startTransport(clock, std::move(slow));
        const auto answer = callPeer(**caller, localAddress(**silent), "x", now(clock) + milliseconds(100));
        CPPUNIT_ASSERT(absl::IsDeadlineExceeded(answer.status()));
        requestStop(release);
        TransportOptions without = loopbackOptions(4);
        without.m_onCall = nullptr;
        auto refusing = startTransport(clock, std::move(without));
        CPPUNIT_ASSERT(absl::IsUnavailable(callPeer(**caller, localAddress(**refusing), "x", now(clock) + seconds(5)).status()));
    }

    // Guards against a process without the shared key that becomes a member or is answered.
    void transportRefusesForeignKeys()
    {
        Clock clock;
        auto member = startTransport(clock, loopbackOptions(1));
        TransportOptions foreign = loopbackOptions(2, {localAddress(**member)});
        foreign.m_keys = {{1, "another key"}};
        auto outsider = startTransport(clock, std::move(foreign));
        const auto unauthenticated = static_cast<size_t>(Reason::PeerMessageUnauthenticated);
        CPPUNIT_ASSERT(eventually([&] { return transportCounters(**member).m_drops[unauthenticated] > 0; }));
        const auto answer = callPeer(**outsider, localAddress(**member), "x", now(clock) + seconds(5));
        CPPUNIT_ASSERT(!answer.ok());
        CPPUNIT_ASSERT_EQUAL(size_t(1), members(**member)->m_live.size());
        CPPUNIT_ASSERT(!startTransport(clock, TransportOptions{}).ok());
    }

    // Guards against bytes from outside that end the process or block the port.
    void transportSurvivesArbitraryBytes()
    {
        Clock clock;
        auto first = startTransport(clock, loopbackOptions(1));
        auto second = startTransport(clock, loopbackOptions(2));
        const Address target = localAddress(**first);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<uint16_t>(target.m_port));
        const int udp = socket(AF_INET, SOCK_DGRAM, 0);
        const int tcp = socket(AF_INET, SOCK_STREAM, 0);
        CPPUNIT_ASSERT_EQUAL(0, connect(tcp, reinterpret_cast<sockaddr *>(&address), sizeof(address)));
        const std::string datagram(1'500, 'x');
        const std::string announced("\x7f\xff\xff\xff", 4);
        sendto(udp, datagram.data(), datagram.size(), 0, reinterpret_cast<sockaddr *>(&address), sizeof(address));
        sendto(udp, datagram.data(), 100, 0, reinterpret_cast<sockaddr *>(&address), sizeof(address));
        CPPUNIT_ASSERT_EQUAL(ssize_t(4), send(tcp, announced.data(), announced.size(), MSG_NOSIGNAL));
        const auto drops = [&](Reason reason) { return transportCounters(**first).m_drops[static_cast<size_t>(reason)]; };
        CPPUNIT_ASSERT(
            eventually([&] { return drops(Reason::PeerMessageTooLarge) == 2 && drops(Reason::PeerMessageUnauthenticated) == 1; }));
        CPPUNIT_ASSERT(callPeer(**second, target, "x", now(clock) + seconds(10)).ok());
        shutdown(udp, SHUT_RDWR);
        close(tcp);
        close(udp);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ClusterTest, "cluster");
