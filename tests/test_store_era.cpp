#include <cppunit/extensions/HelperMacros.h>

#include "gateway_world.h"
#include "platform/platform.h"
#include "serving.h"

using namespace Medlarramp;
using namespace Medlarramp::Serving;

namespace {

const TimePoint Start = TimePoint(seconds(1000));

ReplicaRecord record(const std::string &id, int64_t incarnation = 1, bool draining = false)
{
    ReplicaRecord record;
    record.m_id = id;
    record.m_service = "plain";
    record.m_failureDomain = "home"; // never evacuated
    record.m_incarnationStart = incarnation;
    record.m_draining = draining;
    return record;
}

Member member(const std::string &node, uint64_t incarnation = 1)
{
    return {node, "127.0.0.1:1", "z1", 1, incarnation};
}

/** What one gateway knows, with the decisions about a restored store and without messages. */
struct Knowledge {
    StoreEra m_era;
    Registry m_registry;
    MemberList m_members;

    void enter(int64_t era, TimePoint now)
    {
        CPPUNIT_ASSERT(observeEra(m_era, true, era) == EraStep::Begins);
        beginEra(m_era, m_registry, m_members, now);
    }

    /** Reads the operator's keys and the registrations at @p revision. */
    void list(int64_t revision,
              const std::vector<std::pair<std::string, int64_t>> &evacuations,
              const std::vector<std::pair<ReplicaRecord, int64_t>> &records,
              TimePoint now)
    {
        observeFirstVersion(m_era, StoreVersion(m_era.m_era, revision));
        std::set<std::string> listed;
        for (const auto &[failureDomain, written] : evacuations) {
            listed.insert(failureDomain);
            observeEvacuation(m_registry, m_era, failureDomain, true, StoreVersion(m_era.m_era, written));
        }
        endMissingEvacuations(m_registry, m_era, listed, StoreVersion(m_era.m_era, revision));
        std::vector<std::pair<ReplicaRecord, StoreVersion>> versions;
        versions.reserve(records.size());
        for (const auto &[replica, written] : records) {
            versions.emplace_back(replica, StoreVersion(m_era.m_era, written));
        }
        applyRegistrations(m_registry, m_era, versions, now);
    }

    /** Exchanges what must outlast the restoration, as gateways do by messages of the kinds StateRequest and State. */
    void learnFrom(const Knowledge &peer, TimePoint now)
    {
        if (peer.m_era.m_restored) {
            lowerRestored(m_era, m_registry, *peer.m_era.m_restored);
        }
        for (const auto &[failureDomain, evacuation] : peer.m_registry.m_evacuations) {
            mergeEvacuation(m_registry, failureDomain, evacuation.m_isInForce, writeVersion(m_era, evacuation.m_version));
        }
        for (const ReplicaHold &hold : replicaHolds(peer.m_registry, peer.m_era, now)) {
            applyReplicaHold(m_registry, m_era, hold, now);
        }
    }

    [[nodiscard]] bool isInForce(const std::string &failureDomain) const
    {
        return m_registry.m_evacuatedDomains.contains(failureDomain);
    }
};

/** Knowledge of a gateway that has followed the store in era @p era. */
Knowledge settled(int64_t era)
{
    Knowledge knowledge;
    CPPUNIT_ASSERT(observeEra(knowledge.m_era, true, era) == EraStep::Current);
    return knowledge;
}

} // namespace

/** A key-value store that is restored from a backup. */
class StoreEraTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreEraTest);
    CPPUNIT_TEST(versionsOfTwoErasAreNotConfused);
    CPPUNIT_TEST(erasAreDecodedAndChecked);
    CPPUNIT_TEST(backupRevivesNoReplica);
    CPPUNIT_TEST(registrationsLostWithTheBackupAreKeptForAWhile);
    CPPUNIT_TEST(backupNeitherEndsNorBeginsEvacuations);
    CPPUNIT_TEST(operatorsWriteCountsInTheNewEra);
    CPPUNIT_TEST(configurationNeverFallsBack);
    CPPUNIT_TEST(membersHaveTimeToRegisterAgain);
    CPPUNIT_TEST(lateGatewayAppliesWhatItTookForTheBackup);
    CPPUNIT_TEST(restartedGatewayLearnsFromPeers);
    CPPUNIT_TEST(gatewaysAgreeAfterBackupsOfAnyAge);
    CPPUNIT_TEST(leaseAndMemberAreWrittenAnew);
    CPPUNIT_TEST(configurationAndKeysOutlastARestoration);
    CPPUNIT_TEST(restartedGatewayServesNoOlderConfiguration);
    CPPUNIT_TEST(evacuationsOutlastARestoration);
    CPPUNIT_TEST(drainedAndDepartedReplicasStayUnused);
    CPPUNIT_TEST(partitionedGatewayLearnsFromPeers);
    CPPUNIT_TEST(silentPeersAreHeardLater);
    CPPUNIT_TEST(erasThatGoBackOrAreUnreadableAreIgnored);
    CPPUNIT_TEST(storeWithoutErasIsServedAsBefore);
    CPPUNIT_TEST_SUITE_END();

    //-----------------------------------------------------------------------------
    // Decisions
    //-----------------------------------------------------------------------------

    // Guards against a revision of a new era that is taken for an old one as its number is lower, and against a watch that advances to
    // a revision of another era.
    void versionsOfTwoErasAreNotConfused()
    {
        CPPUNIT_ASSERT(StoreVersion(1, 10) > StoreVersion(0, 900));
        CPPUNIT_ASSERT(StoreVersion(1, 10) < StoreVersion(1, 11));
        StoreVersion version(1, 10);
        CPPUNIT_ASSERT(!version.advanceTo(StoreVersion(2, 20)));
        CPPUNIT_ASSERT(!version.advanceTo(StoreVersion(0, 20)));
        CPPUNIT_ASSERT(!version.advanceTo(StoreVersion(1, 9)));
        CPPUNIT_ASSERT(version == StoreVersion(1, 10));
        CPPUNIT_ASSERT(version.advanceTo(StoreVersion(1, 11)));
        CPPUNIT_ASSERT(version == StoreVersion(1, 11));
    }

    // Guards against answers of an earlier era, or with an unreadable one, that are taken for current, and against one odd number
    // after which no restoration would be noticed.
    void erasAreDecodedAndChecked()
    {
        for (const char *odd : {"", "x", "-1", "1.5", "2 ", "0x3", "99999999999999999999", "1,2"}) {
            CPPUNIT_ASSERT_MESSAGE(odd, !Platform::parseStoreEra(odd));
        }
        CPPUNIT_ASSERT(Platform::parseStoreEra("12") == int64_t(12));
        StoreEra era;
        CPPUNIT_ASSERT(observeEra(era, false, std::nullopt) == EraStep::Current);
        CPPUNIT_ASSERT(observeEra(era, true, 1) == EraStep::Begins);
        CPPUNIT_ASSERT(observeEra(era, true, 1) == EraStep::Current);
        CPPUNIT_ASSERT(observeEra(era, false, std::nullopt) == EraStep::Current);
        CPPUNIT_ASSERT(observeEra(era, true, 0) == EraStep::Ignored);
        CPPUNIT_ASSERT(observeEra(era, true, std::nullopt) == EraStep::Ignored);
        CPPUNIT_ASSERT(observeEra(era, true, std::numeric_limits<int64_t>::max()) == EraStep::Ignored);
        CPPUNIT_ASSERT_EQUAL(uint64_t(3), era.m_ignored);
        CPPUNIT_ASSERT(observeEra(era, true, 3) == EraStep::Begins);
        CPPUNIT_ASSERT_EQUAL(int64_t(3), era.m_era);
        StoreEra started;
        CPPUNIT_ASSERT(observeEra(started, true, 7) == EraStep::Current);
    }

    // Guards against requests to a replica that drains or has left and that a backup lists as ready, also when its revision was
    // assigned again, and against a replica that stays unused after it has registered again.
    void backupRevivesNoReplica()
    {
        Knowledge known = settled(0);
        known.list(100, {}, {{record("r1"), 10}, {record("r2"), 11}, {record("r3"), 12}}, Start);
        applyRegistration(known.m_registry, known.m_era, record("r1", 1, true), StoreVersion(0, 101));
        removeReplica(known.m_registry, "r2", Start);
        known.enter(1, Start);
        known.list(50, {}, {{record("r1"), 10}, {record("r2"), 11}, {record("r3"), 12}}, Start);
        CPPUNIT_ASSERT(!acceptsWork(known.m_registry, "r1"));
        CPPUNIT_ASSERT(!acceptsWork(known.m_registry, "r2"));
        CPPUNIT_ASSERT(acceptsWork(known.m_registry, "r3"));
        // A listing later in the same era still has the items of the backup.
        known.list(60, {}, {{record("r1"), 10}, {record("r2"), 11}, {record("r3"), 12}}, Start + seconds(5));
        CPPUNIT_ASSERT(!acceptsWork(known.m_registry, "r1"));
        CPPUNIT_ASSERT(!acceptsWork(known.m_registry, "r2"));
        // 101 was the drain in the old era; now it is a new registration.
        applyRegistration(known.m_registry, known.m_era, record("r1", 2), StoreVersion(1, 101));
        applyRegistration(known.m_registry, known.m_era, record("r2"), StoreVersion(1, 51));
        CPPUNIT_ASSERT(acceptsWork(known.m_registry, "r1"));
        CPPUNIT_ASSERT(acceptsWork(known.m_registry, "r2"));
    }

    // Guards against replicas that get nothing, or are forgotten, before they could register again, and against dead ones that stay.
    void registrationsLostWithTheBackupAreKeptForAWhile()
    {
        Knowledge known = settled(0);
        known.list(100, {}, {{record("r1"), 10}, {record("r2"), 99}, {record("r3"), 98}}, Start);
        known.enter(1, Start);
        known.list(50, {}, {{record("r1"), 10}}, Start + milliseconds(10));
        CPPUNIT_ASSERT(usableReplicas(known.m_registry).at("plain") == (std::vector<std::string>{"r1", "r2", "r3"}));
        applyRegistration(known.m_registry, known.m_era, record("r2"), StoreVersion(1, 55));
        expireReplicas(known.m_registry, Start + RegistrationGrace);
        CPPUNIT_ASSERT(usableReplicas(known.m_registry).at("plain") == (std::vector<std::string>{"r1", "r2"}));
        removeReplica(known.m_registry, "r2", Start + seconds(3));
        CPPUNIT_ASSERT(!acceptsWork(known.m_registry, "r2"));
    }

    // Guards against a backup that ends an evacuation in force, or begins one again that has ended.
    void backupNeitherEndsNorBeginsEvacuations()
    {
        Knowledge known = settled(0);
        known.list(100, {{"ended", 40}, {"both", 41}}, {}, Start);
        observeEvacuation(known.m_registry, known.m_era, "ended", false, StoreVersion(0, 101));
        observeEvacuation(known.m_registry, known.m_era, "begun", true, StoreVersion(0, 102));
        known.enter(1, Start);
        known.list(50, {{"ended", 40}, {"both", 41}}, {}, Start);
        CPPUNIT_ASSERT(!known.isInForce("ended"));
        CPPUNIT_ASSERT(known.isInForce("begun"));
        CPPUNIT_ASSERT(known.isInForce("both"));
        known.list(70, {{"ended", 40}, {"both", 41}}, {}, Start);
        CPPUNIT_ASSERT(!known.isInForce("ended") && known.isInForce("begun") && known.isInForce("both"));
        // A second restoration, from a backup of the first era.
        known.enter(2, Start);
        known.list(45, {{"ended", 40}}, {}, Start);
        CPPUNIT_ASSERT(!known.isInForce("ended") && known.isInForce("begun") && known.isInForce("both"));
    }

    // Guards against an operator whose writes after the restoration have no effect.
    void operatorsWriteCountsInTheNewEra()
    {
        Knowledge known = settled(0);
        known.list(100, {{"z1", 40}, {"z2", 90}}, {}, Start);
        known.enter(1, Start);
        known.list(50, {{"z1", 40}}, {}, Start);
        CPPUNIT_ASSERT(observeEvacuation(known.m_registry, known.m_era, "z1", false, StoreVersion(1, 51)));
        observeEvacuation(known.m_registry, known.m_era, "z2", true, StoreVersion(1, 52));
        CPPUNIT_ASSERT(known.isInForce("z2"));
        CPPUNIT_ASSERT(observeEvacuation(known.m_registry, known.m_era, "z2", false, StoreVersion(1, 53)));
        CPPUNIT_ASSERT(observeEvacuation(known.m_registry, known.m_era, "z3", true, StoreVersion(1, 54)));
        // The key is missing from a listing of the same era that had it: the operator has removed it.
        known.list(80, {}, {}, Start);
        CPPUNIT_ASSERT(known.m_registry.m_evacuatedDomains.empty());
    }

    // Guards against a configuration of the backup, or with a lower version, that replaces the one in force.
    void configurationNeverFallsBack()
    {
        ServingConfiguration current;
        current.m_version = 5;
        ServingConfiguration candidate;
        candidate.m_version = 4;
        CPPUNIT_ASSERT(!replacesConfiguration(&current, StoreVersion(0, 90), candidate, StoreVersion(1, 60)));
        candidate.m_version = 6;
        CPPUNIT_ASSERT(replacesConfiguration(&current, StoreVersion(0, 90), candidate, StoreVersion()));
        candidate.m_version = 5;
        CPPUNIT_ASSERT(!replacesConfiguration(&current, StoreVersion(0, 90), candidate, StoreVersion(1, 60)));
        candidate.m_needsKeys = true;
        CPPUNIT_ASSERT(!replacesConfiguration(&current, StoreVersion(0, 90), candidate, StoreVersion()));
        CPPUNIT_ASSERT(!replacesConfiguration(&current, StoreVersion(0, 90), candidate, StoreVersion(0, 95)));
        CPPUNIT_ASSERT(replacesConfiguration(&current, StoreVersion(0, 90), candidate, StoreVersion(1, 60)));
        CPPUNIT_ASSERT(replacesConfiguration(nullptr, StoreVersion(), candidate, StoreVersion()));
    }

    // Guards against shares of limits and queue owners that change at once because a backup lacks members, and against members that
    // a backup revives.
    void membersHaveTimeToRegisterAgain()
    {
        Knowledge known = settled(0);
        MemberList &members = known.m_members;
        const auto item = [](const std::string &node, const StoreVersion &version) {
            return std::pair(node, ListedMember{member(node), version, std::nullopt});
        };
        const StoreVersion old(0, 5);
        applyMemberItems(members, known.m_era, {item("g1", old), item("g2", old), item("g3", old), item("g4", old)}, Start);
        removeMemberItem(members, known.m_era, "g4", Start);
        CPPUNIT_ASSERT_EQUAL(size_t(3), members.m_members.size());
        known.enter(1, Start);
        observeFirstVersion(known.m_era, StoreVersion(1, 50));
        applyMemberItems(members, known.m_era, {item("g1", StoreVersion(1, 5)), item("g4", StoreVersion(1, 5))}, Start);
        CPPUNIT_ASSERT_EQUAL(size_t(3), members.m_members.size());
        CPPUNIT_ASSERT(!members.m_members.contains("g4"));
        // The lease of the item in the backup ends before the member has registered again.
        removeMemberItem(members, known.m_era, "g1", Start + seconds(1));
        CPPUNIT_ASSERT(members.m_members.contains("g1"));
        applyMemberItem(members, known.m_era, "g1", member("g1"), StoreVersion(1, 60));
        applyMemberItem(members, known.m_era, "g2", member("g2"), StoreVersion(1, 61));
        CPPUNIT_ASSERT(expireMembers(members, Start + MemberKeepTime - milliseconds(1)) == Start + MemberKeepTime);
        CPPUNIT_ASSERT(!expireMembers(members, Start + MemberKeepTime));
        CPPUNIT_ASSERT_EQUAL(size_t(2), members.m_members.size());
        // One that has registered again leaves at once.
        removeMemberItem(members, known.m_era, "g2", Start + seconds(2));
        CPPUNIT_ASSERT(!members.m_members.contains("g2"));
    }

    // Guards against a gateway that saw the era late and ignores for good what was written between the restoration and its listing.
    void lateGatewayAppliesWhatItTookForTheBackup()
    {
        Knowledge late = settled(0);
        late.list(100, {}, {{record("r1", 1, true), 10}}, Start);
        late.enter(1, Start);
        late.list(90, {}, {{record("r1"), 70}}, Start);
        CPPUNIT_ASSERT(!acceptsWork(late.m_registry, "r1"));
        CPPUNIT_ASSERT(!lowerRestored(late.m_era, late.m_registry, StoreVersion(1, 80))); // the item held back is older
        CPPUNIT_ASSERT(!lowerRestored(late.m_era, late.m_registry, StoreVersion(0, 5))); // of another era
        CPPUNIT_ASSERT(lowerRestored(late.m_era, late.m_registry, StoreVersion(1, 50)));
        late.list(91, {}, {{record("r1"), 70}}, Start);
        CPPUNIT_ASSERT(acceptsWork(late.m_registry, "r1"));
    }

    // Guards against a gateway that was started after the restoration, takes the backup for what is in force and tells others so.
    void restartedGatewayLearnsFromPeers()
    {
        Knowledge peer = settled(0);
        peer.list(100, {{"ended", 40}}, {{record("r1"), 10}, {record("r2"), 11}, {record("r3"), 12}}, Start);
        observeEvacuation(peer.m_registry, peer.m_era, "ended", false, StoreVersion(0, 101));
        observeEvacuation(peer.m_registry, peer.m_era, "begun", true, StoreVersion(0, 102));
        applyRegistration(peer.m_registry, peer.m_era, record("r1", 1, true), StoreVersion(0, 103));
        removeReplica(peer.m_registry, "r2", Start);
        peer.enter(1, Start);
        peer.list(50, {{"ended", 40}}, {{record("r1"), 10}, {record("r2"), 11}, {record("r3"), 12}}, Start);
        Knowledge started = settled(1);
        started.list(60, {{"ended", 40}}, {{record("r1"), 10}, {record("r2"), 11}, {record("r3"), 12}}, Start);
        peer.learnFrom(started, Start);
        CPPUNIT_ASSERT(!peer.isInForce("ended") && peer.isInForce("begun"));
        started.learnFrom(peer, Start);
        CPPUNIT_ASSERT(!started.isInForce("ended") && started.isInForce("begun"));
        CPPUNIT_ASSERT(!acceptsWork(started.m_registry, "r1"));
        CPPUNIT_ASSERT(!acceptsWork(started.m_registry, "r2"));
        CPPUNIT_ASSERT(acceptsWork(started.m_registry, "r3"));
    }

    struct Written {
        bool m_isEvacuated = false;
        int64_t m_revision = 0;
    };

    /** Lists for @p known what the store holds. */
    static void
    listFor(Knowledge &known, int64_t revision, const std::map<std::string, Written> &domains, const std::map<std::string, Written> &drains)
    {
        std::vector<std::pair<std::string, int64_t>> evacuations;
        for (const auto &[name, written] : domains) {
            if (written.m_isEvacuated) {
                evacuations.emplace_back(name, written.m_revision);
            }
        }
        std::vector<std::pair<ReplicaRecord, int64_t>> records;
        records.reserve(drains.size());
        for (const auto &[id, written] : drains) {
            records.emplace_back(record(id, 1, written.m_isEvacuated), written.m_revision);
        }
        known.list(revision, evacuations, records, Start);
    }

    // Guards against gateways that disagree, or forget an evacuation, its end or a drain, after a restoration from a backup that is 0 to
    // 10 s old, when they see the era at different times, one misses the end of the old era, and one is started in the new one.
    void gatewaysAgreeAfterBackupsOfAnyAge()
    {
        constexpr int Steps = 100; // of 100 ms
        for (uint64_t seed = 0; seed < 200; ++seed) {
            Random random{seed};
            const std::string what = fmt::format("seed {}", seed);
            std::vector<Knowledge> gateways(4, settled(0));
            std::map<std::string, Written> domains;
            std::map<std::string, Written> drains;
            for (int i = 0; i < 5; ++i) {
                domains[fmt::format("z{}", i)] = {};
                drains[fmt::format("r{}", i)] = {false, 1};
            }
            int64_t revision = 1;
            for (Knowledge &gateway : gateways) {
                listFor(gateway, revision, domains, drains);
            }
            const auto backupAt = static_cast<int>(uniformBelow(random, Steps + 1));
            const auto cutAt = static_cast<int>(uniformBelow(random, Steps + 1));
            std::map<std::string, Written> backupDomains;
            std::map<std::string, Written> backupDrains;
            int64_t backupRevision = 0;
            for (int step = 0; step <= Steps; ++step) {
                if (step == backupAt) {
                    backupDomains = domains;
                    backupDrains = drains;
                    backupRevision = revision;
                }
                if (uniformBelow(random, 10) != 0) {
                    continue;
                }
                const uint64_t index = uniformBelow(random, 5);
                const bool isDrain = uniformBelow(random, 2) == 0;
                const std::string name = fmt::format("{}{}", isDrain ? "r" : "z", index);
                Written &written = isDrain ? drains[name] : domains[name];
                written = {isDrain || !written.m_isEvacuated, ++revision};
                for (size_t i = 0; i < gateways.size(); ++i) {
                    if (i == 3 && step >= cutAt) {
                        continue; // partitioned
                    }
                    Knowledge &gateway = gateways[i];
                    const StoreVersion version(0, revision);
                    if (isDrain) {
                        applyRegistration(gateway.m_registry, gateway.m_era, record(name, 1, true), version);
                    } else {
                        observeEvacuation(gateway.m_registry, gateway.m_era, name, written.m_isEvacuated, version);
                    }
                }
            }
            // The store is restored; the gateways list it while the first replica registers again and the operator writes one key.
            const std::map<std::string, Written> inForce = domains;
            const std::map<std::string, Written> drained = drains;
            domains = backupDomains;
            drains = backupDrains;
            revision = backupRevision;
            const uint64_t operatorAt = uniformBelow(random, 4);
            gateways.push_back(settled(1));
            for (size_t i = 0; i < gateways.size(); ++i) {
                drains["r0"] = {drained.at("r0").m_isEvacuated, ++revision};
                if (i == operatorAt) {
                    domains["z0"] = {!inForce.at("z0").m_isEvacuated, ++revision};
                }
                if (i < 4) {
                    gateways[i].enter(1, Start);
                }
                listFor(gateways[i], revision, domains, drains);
                for (int name = 1; name < 5 && i < 3; ++name) {
                    const std::string domain = fmt::format("z{}", name);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, inForce.at(domain).m_isEvacuated, gateways[i].isInForce(domain));
                    const std::string replica = fmt::format("r{}", name);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, drained.at(replica).m_isEvacuated, !acceptsWork(gateways[i].m_registry, replica));
                }
            }
            // Listed gateways see the operator's write by their watch; then all exchange what they know.
            for (size_t i = 0; i < operatorAt; ++i) {
                const Written &written = domains.at("z0");
                observeEvacuation(
                    gateways[i].m_registry, gateways[i].m_era, "z0", written.m_isEvacuated, StoreVersion(1, written.m_revision));
            }
            for (int round = 0; round < 2; ++round) {
                for (Knowledge &gateway : gateways) {
                    for (const Knowledge &peer : gateways) {
                        gateway.learnFrom(peer, Start);
                    }
                    listFor(gateway, revision, domains, drains);
                }
            }
            for (const Knowledge &gateway : gateways) {
                for (int name = 1; name < 5; ++name) {
                    const std::string domain = fmt::format("z{}", name);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, inForce.at(domain).m_isEvacuated, gateway.isInForce(domain));
                    const std::string replica = fmt::format("r{}", name);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, drained.at(replica).m_isEvacuated, !acceptsWork(gateway.m_registry, replica));
                }
                // An end that was written before the first gateway had listed the era can't be told from a backup without the key.
                if (operatorAt > 0) {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, !inForce.at("z0").m_isEvacuated, gateway.isInForce("z0"));
                }
            }
        }
    }

    //-----------------------------------------------------------------------------
    // Processes
    //-----------------------------------------------------------------------------

    static int answerTo(GatewayHarness &harness, const GatewayHarness::Process &gateway, const std::string &target, HttpHeaders extra = {})
    {
        static int number = 0;
        Caller &caller = harness.send(gateway, "POST", target, fmt::format("a{}", ++number), std::move(extra));
        harness.runUntil("answer to " + target, [&] { return caller.isAnswered() || caller.m_closed; });
        return caller.m_reader.m_status;
    }

    /** The value of a metric. */
    static double metric(GatewayHarness &harness, const GatewayHarness::Process &gateway, const std::string &name)
    {
        Caller &caller = harness.connectCaller(gateway.m_ready);
        caller.m_net->write(formatRequest("GET", "/metrics", {{"Host", "r"}}, ""));
        harness.runUntil("metrics", [&] { return caller.isAnswered() || caller.m_closed; });
        const std::string text = caller.m_reader.m_body;
        if (caller.m_net != nullptr) {
            std::exchange(caller.m_net, nullptr)->close(); // repeated readings must not use up the descriptors
        }
        const size_t at = text.find("\n" + name + " ");
        const bool hasLabel = name.find('{') != std::string::npos; // such a gauge is missing when it is 0
        CPPUNIT_ASSERT_MESSAGE(name + " is missing", at != std::string::npos || hasLabel);
        if (at == std::string::npos) {
            return 0;
        }
        return std::stod(text.substr(at + name.size() + 2));
    }

    static void waitForMetric(GatewayHarness &harness, const GatewayHarness::Process &gateway, const std::string &name, double expected)
    {
        constexpr int MaxTries = 100;
        for (int i = 0; i < MaxTries && metric(harness, gateway, name) != expected; ++i) {
            harness.runFor(milliseconds(100));
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, expected, metric(harness, gateway, name));
    }

    /** Waits until the gateway has seen the era, listed the store and exchanged its state with peers. */
    static void waitForEra(GatewayHarness &harness, const GatewayHarness::Process &gateway, double era)
    {
        waitForMetric(harness, gateway, "medlarramp_store_era", era);
        harness.runFor(milliseconds(300));
    }

    /** Stops a process so that it gets no answer of the store to its open watch, and waits for the watch of the other gateway. */
    static void cutOff(GatewayHarness &harness, const GatewayHarness::Process &gateway)
    {
        kill(gateway.m_pid, SIGSTOP);
        harness.runFor(milliseconds(100)); // calls that it has sent before
        harness.m_store.closeWatches();
        harness.runUntil("a watch", [&] { return !harness.m_store.m_watches.empty(); });
    }

    static nlohmann::json configurationWithKey(int64_t version, const std::string &key)
    {
        nlohmann::json value = configuration(version);
        value["tenants"] = nlohmann::json::array({{{"name", "org"}, {"api_keys", nlohmann::json::array({key})}}});
        return value;
    }

    // Guards against a gateway that renews a lease, or keeps its membership by one, that belongs to another client since the restoration.
    void leaseAndMemberAreWrittenAnew()
    {
        GatewayHarness harness;
        harness.m_store.m_era = "4";
        const StoreBackup backup = harness.m_store.backup();
        harness.m_store.put("op/config", configuration(1).dump());
        const GatewayHarness::Process &gateway = harness.startGateway("g1");
        harness.runUntil("the member", [&] { return harness.m_store.m_items.contains("entries/g1"); });
        const int64_t before = harness.m_store.m_itemLeases.at("entries/g1");
        harness.m_store.restore(backup, 5);
        CPPUNIT_ASSERT_EQUAL(before, harness.m_store.grantLease());
        harness.runUntil("the member again", [&] { return harness.m_store.m_items.contains("entries/g1"); });
        // A renewal of the old lease that was answered in the new era may have written the item once with it.
        harness.runUntil("a new lease", [&] { return harness.m_store.m_itemLeases.at("entries/g1") != before; });
        waitForEra(harness, gateway, 5);
        harness.m_store.m_server.m_requests.clear();
        harness.runFor(milliseconds(2500));
        const std::string old = fmt::format("/-/kv-keep/{}", before);
        for (const std::shared_ptr<ReceivedRequest> &request : harness.m_store.m_server.requestsFor("/-/kv-keep/")) {
            CPPUNIT_ASSERT(request->m_request.m_target != old);
        }
        CPPUNIT_ASSERT(!harness.m_store.m_server.requestsFor("/-/kv-keep/").empty());
        CPPUNIT_ASSERT_EQUAL(1.0, metric(harness, gateway, "medlarramp_configuration_version"));
    }

    // Guards against an API key that a backup makes valid again, and against an operator's later configuration that has no effect.
    void configurationAndKeysOutlastARestoration()
    {
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, answerOk);
        harness.m_store.m_era = "0";
        harness.m_store.put("op/config", configurationWithKey(1, "withdrawn").dump());
        harness.m_store.putReplica("i-1", "plain", replica.address());
        const GatewayHarness::Process &gateway = harness.startGateway("g1");
        CPPUNIT_ASSERT_EQUAL(200, answerTo(harness, gateway, "/keyed/1", {{"X-Api-Key", "withdrawn"}}));
        const StoreBackup backup = harness.m_store.backup();
        harness.m_store.put("op/config", configurationWithKey(2, "valid").dump());
        waitForMetric(harness, gateway, "medlarramp_configuration_version", 2);
        harness.m_store.restore(backup, 1);
        waitForEra(harness, gateway, 1);
        CPPUNIT_ASSERT_EQUAL(401, answerTo(harness, gateway, "/keyed/1", {{"X-Api-Key", "withdrawn"}}));
        CPPUNIT_ASSERT_EQUAL(200, answerTo(harness, gateway, "/keyed/1", {{"X-Api-Key", "valid"}}));
        // The operator's next write has a revision that the old era had assigned to something else.
        harness.m_store.put("op/config", configurationWithKey(3, "next").dump());
        waitForMetric(harness, gateway, "medlarramp_configuration_version", 3);
        CPPUNIT_ASSERT_EQUAL(200, answerTo(harness, gateway, "/keyed/1", {{"X-Api-Key", "next"}}));
    }

    // Guards against a gateway that restarts before the operator writes again and serves the configuration and evacuations of the backup.
    void restartedGatewayServesNoOlderConfiguration()
    {
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, answerOk);
        harness.m_store.m_era = "0";
        harness.m_store.put("op/config", configurationWithKey(1, "withdrawn").dump());
        harness.m_store.putReplica("i-1", "plain", replica.address());
        const GatewayHarness::Process &first = harness.startGateway("g1");
        const StoreBackup backup = harness.m_store.backup();
        harness.m_store.put("op/config", configurationWithKey(2, "valid").dump());
        harness.m_store.put("op/evacuate/z9", "{}");
        waitForMetric(harness, first, "medlarramp_configuration_version", 2);
        waitForMetric(harness, first, "medlarramp_evacuated{failure_domain=\"z9\"}", 1);
        harness.m_store.restore(backup, 1);
        waitForEra(harness, first, 1);
        harness.runUntil("the member", [&] { return harness.m_store.m_items.contains("entries/g1"); });
        const GatewayHarness::Process &second = harness.startGateway("g2");
        CPPUNIT_ASSERT_EQUAL(401, answerTo(harness, second, "/keyed/1", {{"X-Api-Key", "withdrawn"}}));
        CPPUNIT_ASSERT_EQUAL(200, answerTo(harness, second, "/keyed/1", {{"X-Api-Key", "valid"}}));
        CPPUNIT_ASSERT_EQUAL(2.0, metric(harness, second, "medlarramp_configuration_version"));
        CPPUNIT_ASSERT_EQUAL(1.0, metric(harness, second, "medlarramp_evacuated{failure_domain=\"z9\"}"));
    }

    // Guards against requests to a failure domain whose evacuation the backup lacks, and against one that stays unused as the backup
    // still has a request that the operator had withdrawn.
    void evacuationsOutlastARestoration()
    {
        GatewayHarness harness;
        FakeServer first;
        FakeServer second;
        first.start(harness.m_loop, answerOk);
        second.start(harness.m_loop, answerOk);
        harness.m_store.m_era = "0";
        harness.m_store.put("op/config", configuration(1).dump());
        harness.m_store.putReplica("i-1", "plain", first.address(), "ready", 1, "z1");
        harness.m_store.putReplica("i-2", "plain", second.address(), "ready", 1, "z2");
        harness.m_store.put("op/evacuate/z2", "{}");
        const GatewayHarness::Process &gateway = harness.startGateway("g1");
        const StoreBackup backup = harness.m_store.backup();
        harness.m_store.put("op/evacuate/z1", "{}");
        harness.m_store.remove("op/evacuate/z2");
        harness.runUntil("use of z2", [&] {
            answerTo(harness, gateway, "/read/1");
            return !second.m_requests.empty();
        });
        harness.runFor(milliseconds(1200));
        harness.m_store.restore(backup, 1);
        waitForEra(harness, gateway, 1);
        first.m_requests.clear();
        for (int i = 0; i < 20; ++i) {
            CPPUNIT_ASSERT_EQUAL(200, answerTo(harness, gateway, "/read/1"));
        }
        CPPUNIT_ASSERT_EQUAL(size_t(0), first.m_requests.size());
        // The operator writes again.
        harness.m_store.put("op/evacuate/z1", "{}");
        harness.runFor(milliseconds(1500));
        harness.m_store.remove("op/evacuate/z1");
        harness.runUntil("use of z1", [&] {
            answerTo(harness, gateway, "/read/1");
            return !first.m_requests.empty();
        });
    }

    // Guards against requests to replicas that drain or have left and that a backup lists as ready, and against one that stays unused
    // after it has registered again.
    void drainedAndDepartedReplicasStayUnused()
    {
        GatewayHarness harness;
        FakeServer drained;
        FakeServer departed;
        FakeServer other;
        for (FakeServer *server : {&drained, &departed, &other}) {
            server->start(harness.m_loop, answerOk);
        }
        harness.m_store.m_era = "0";
        harness.m_store.put("op/config", configuration(1).dump());
        harness.m_store.putReplica("i-1", "plain", drained.address());
        harness.m_store.putReplica("i-2", "plain", departed.address());
        harness.m_store.putReplica("i-3", "plain", other.address());
        const GatewayHarness::Process &gateway = harness.startGateway("g1");
        const StoreBackup backup = harness.m_store.backup();
        harness.m_store.putReplica("i-1", "plain", drained.address(), "draining");
        harness.m_store.remove("servers/i-2");
        waitForMetric(harness, gateway, "medlarramp_replicas", 2);
        harness.m_store.restore(backup, 1);
        waitForEra(harness, gateway, 1);
        drained.m_requests.clear();
        departed.m_requests.clear();
        for (int i = 0; i < 30; ++i) {
            CPPUNIT_ASSERT_EQUAL(200, answerTo(harness, gateway, "/read/1"));
        }
        CPPUNIT_ASSERT_EQUAL(size_t(0), drained.m_requests.size());
        CPPUNIT_ASSERT_EQUAL(size_t(0), departed.m_requests.size());
        // Its latency is not known yet, so that the other replica would be preferred.
        harness.m_store.putReplica("i-2", "plain", departed.address());
        harness.m_store.remove("servers/i-3");
        harness.runUntil("use of the replica that has registered again", [&] {
            answerTo(harness, gateway, "/read/1");
            return !departed.m_requests.empty();
        });
        CPPUNIT_ASSERT_EQUAL(size_t(0), drained.m_requests.size());
    }

    // Guards against a gateway that was cut off during the restoration and never learns what happened at the end of the old era.
    void partitionedGatewayLearnsFromPeers()
    {
        GatewayHarness harness;
        harness.m_store.m_era = "0";
        harness.m_store.put("op/config", configuration(1).dump());
        const GatewayHarness::Process &first = harness.startGateway("g1");
        const GatewayHarness::Process &second = harness.startGateway("g2");
        waitForMetric(harness, first, "medlarramp_gateways", 2);
        const StoreBackup backup = harness.m_store.backup();
        cutOff(harness, second);
        harness.m_store.put("op/config", configuration(2).dump());
        harness.m_store.put("op/evacuate/z9", "{}");
        waitForMetric(harness, first, "medlarramp_configuration_version", 2);
        waitForMetric(harness, first, "medlarramp_evacuated{failure_domain=\"z9\"}", 1);
        harness.m_store.restore(backup, 1);
        waitForEra(harness, first, 1);
        kill(second.m_pid, SIGCONT);
        waitForEra(harness, second, 1);
        waitForMetric(harness, second, "medlarramp_configuration_version", 2);
        waitForMetric(harness, second, "medlarramp_evacuated{failure_domain=\"z9\"}", 1);
        CPPUNIT_ASSERT_EQUAL(1.0, metric(harness, first, "medlarramp_evacuated{failure_domain=\"z9\"}"));
    }

    // Guards against a gateway that could ask no peer when it listed the restored store and does not learn from them afterwards.
    void silentPeersAreHeardLater()
    {
        GatewayHarness harness;
        harness.m_store.m_era = "0";
        harness.m_store.put("op/config", configuration(1).dump());
        const GatewayHarness::Process &first = harness.startGateway("g1");
        const GatewayHarness::Process &second = harness.startGateway("g2");
        waitForMetric(harness, first, "medlarramp_gateways", 2);
        const StoreBackup backup = harness.m_store.backup();
        cutOff(harness, second);
        harness.m_store.put("op/config", configuration(2).dump());
        harness.m_store.put("op/evacuate/z9", "{}");
        waitForMetric(harness, first, "medlarramp_configuration_version", 2);
        waitForMetric(harness, first, "medlarramp_evacuated{failure_domain=\"z9\"}", 1);
        harness.m_store.restore(backup, 1);
        waitForEra(harness, first, 1);
        kill(first.m_pid, SIGSTOP);
        kill(second.m_pid, SIGCONT);
        waitForEra(harness, second, 1);
        constexpr Duration AskingTime = milliseconds(3500); // four rounds of 700 ms
        harness.runFor(AskingTime);
        CPPUNIT_ASSERT_EQUAL(1.0, metric(harness, second, "medlarramp_configuration_version"));
        kill(first.m_pid, SIGCONT);
        // Replicas renew their registrations all the time, so that there is a new revision to tell.
        int64_t renewal = 0;
        harness.runUntil("what the peer knows", [&] {
            harness.m_store.putReplica("i-1", "plain", "127.0.0.1:1", "ready", ++renewal);
            harness.runFor(milliseconds(200));
            return metric(harness, second, "medlarramp_configuration_version") == 2;
        });
        waitForMetric(harness, second, "medlarramp_evacuated{failure_domain=\"z9\"}", 1);
    }

    // Guards against answers of an earlier store, or with an odd era, that are applied, and against a gateway that no longer serves or
    // follows the store after them.
    void erasThatGoBackOrAreUnreadableAreIgnored()
    {
        GatewayHarness harness;
        FakeServer replica;
        replica.start(harness.m_loop, answerOk);
        harness.m_store.m_era = "3";
        harness.m_store.put("op/config", configuration(1).dump());
        harness.m_store.putReplica("i-1", "plain", replica.address());
        const GatewayHarness::Process &gateway = harness.startGateway("g1");
        double ignored = 0;
        for (const char *odd : {"2", "nonsense", "-1", "9223372036854775807"}) {
            harness.m_store.m_era = odd;
            harness.m_store.put("op/config", configuration(9).dump());
            harness.runUntil("an ignored answer",
                             [&] { return metric(harness, gateway, "medlarramp_store_eras_ignored_total") > ignored; });
            ignored = metric(harness, gateway, "medlarramp_store_eras_ignored_total");
            CPPUNIT_ASSERT_EQUAL(200, answerTo(harness, gateway, "/read/1"));
            CPPUNIT_ASSERT_EQUAL(1.0, metric(harness, gateway, "medlarramp_configuration_version"));
            CPPUNIT_ASSERT_EQUAL(3.0, metric(harness, gateway, "medlarramp_store_era"));
        }
        harness.m_store.m_era = "3";
        waitForMetric(harness, gateway, "medlarramp_configuration_version", 9);
        // An answer without an era belongs to the current one.
        harness.m_store.m_era.reset();
        harness.m_store.put("op/config", configuration(10).dump());
        waitForMetric(harness, gateway, "medlarramp_configuration_version", 10);
        CPPUNIT_ASSERT_EQUAL(3.0, metric(harness, gateway, "medlarramp_store_era"));
    }

    // Guards against further calls to a store that has no eras.
    void storeWithoutErasIsServedAsBefore()
    {
        GatewayHarness harness;
        harness.m_store.put("op/config", configuration(1).dump());
        const GatewayHarness::Process &first = harness.startGateway("g1");
        harness.startGateway("g2");
        waitForMetric(harness, first, "medlarramp_gateways", 2);
        harness.m_store.put("op/evacuate/z9", "{}");
        harness.runFor(milliseconds(3000));
        CPPUNIT_ASSERT_EQUAL(int64_t(6), harness.m_store.m_listings);
        CPPUNIT_ASSERT_EQUAL(size_t(2), harness.m_store.m_server.requestsFor("/-/kv-lease").size());
        CPPUNIT_ASSERT_EQUAL(size_t(2), harness.m_store.m_server.requestsFor("/-/kv-txn").size());
        CPPUNIT_ASSERT_EQUAL(0.0, metric(harness, first, "medlarramp_store_era"));
        CPPUNIT_ASSERT_EQUAL(0.0, metric(harness, first, "medlarramp_store_eras_ignored_total"));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(StoreEraTest, "store_era");
