#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

#include "explorer.h"

using namespace Medlarramp;
using namespace Medlarramp::Testing;

namespace {

/** An engine that obeys orders; loading takes time. */
struct Engine {
    EngineReport m_state;
    std::map<std::string, TimePoint> m_readyAt;
    int64_t m_highestFence = 0;
};

struct Fleet {
    std::vector<Engine> m_engines;
    std::vector<EngineReport> m_reports; ///< what nodes see, one round late
    TimePoint m_now{seconds(100)};
    int64_t m_loads = 0;
    size_t m_mostLoading = 0;
};

constexpr milliseconds LoadTime{5'000};

Address addressOf(int number)
{
    return {"127.0.0.1", 7'000 + number};
}

Fleet makeFleet(int engines, int64_t slots)
{
    Fleet fleet;
    for (int i = 0; i < engines; ++i) {
        Engine engine;
        engine.m_state.m_engine = addressOf(i);
        engine.m_state.m_pool = "llm";
        engine.m_state.m_slots = slots;
        fleet.m_engines.push_back(engine);
        fleet.m_reports.push_back(engine.m_state);
    }
    return fleet;
}

DurableTime timeOf(const Fleet &fleet)
{
    return {fleet.m_now, 1'800'000'000'000};
}

std::vector<std::string> sortedNames(std::vector<std::string> names)
{
    std::sort(names.begin(), names.end());
    return names;
}

void obey(Fleet &fleet, const EngineOrder &order)
{
    for (Engine &engine : fleet.m_engines) {
        EngineReport &state = engine.m_state;
        if (state.m_engine != order.m_engine) {
            continue;
        }
        if (state.m_checksFencing && order.m_fence < engine.m_highestFence) {
            return;
        }
        engine.m_highestFence = std::max(engine.m_highestFence, order.m_fence);
        switch (order.m_kind) {
        case OrderKind::Load:
            if (!engine.m_readyAt.contains(order.m_model)) {
                engine.m_readyAt[order.m_model] = fleet.m_now + LoadTime;
                state.m_loading.push_back(order.m_model);
                ++fleet.m_loads;
            }
            break;
        case OrderKind::Unload:
            engine.m_readyAt.erase(order.m_model);
            std::erase(state.m_models, order.m_model);
            std::erase(state.m_loading, order.m_model);
            break;
        case OrderKind::SetRole:
            state.m_role = order.m_role;
            break;
        }
    }
}

void preload(Fleet &fleet, int engine, const std::string &model)
{
    Engine &state = fleet.m_engines[static_cast<size_t>(engine)];
    state.m_readyAt[model] = fleet.m_now;
    state.m_state.m_models = sortedNames([&] {
        std::vector<std::string> names = state.m_state.m_models;
        names.push_back(model);
        return names;
    }());
    fleet.m_reports[static_cast<size_t>(engine)] = state.m_state;
}

int warmReplicas(const Fleet &fleet, const std::string &model)
{
    int warm = 0;
    for (const Engine &engine : fleet.m_engines) {
        const std::vector<std::string> &models = engine.m_state.m_models;
        warm += std::find(models.begin(), models.end(), model) != models.end() ? 1 : 0;
    }
    return warm;
}

/** One second passes. Reports show the state before it. */
void pass(Fleet &fleet)
{
    fleet.m_reports.clear();
    size_t loading = 0;
    for (Engine &engine : fleet.m_engines) {
        fleet.m_reports.push_back(engine.m_state);
        loading += engine.m_state.m_loading.size();
    }
    fleet.m_mostLoading = std::max(fleet.m_mostLoading, loading);
    fleet.m_now += seconds(1);
    for (Engine &engine : fleet.m_engines) {
        for (const auto &[model, at] : engine.m_readyAt) {
            if (fleet.m_now >= at && std::erase(engine.m_state.m_loading, model) > 0) {
                engine.m_state.m_models.push_back(model);
                engine.m_state.m_models = sortedNames(engine.m_state.m_models);
            }
        }
    }
}

OrderState actingNode(int64_t fence)
{
    OrderState state;
    state.m_group = "llm";
    state.m_node = "a";
    state.m_fence = fence;
    return state;
}

std::vector<EngineOrder> act(Fleet &fleet, OrderState &state, const std::vector<ModelDemand> &demand)
{
    const DesiredState desired = planEngines(demand, fleet.m_reports);
    std::vector<EngineOrder> orders = reconcile(state, desired, fleet.m_reports, demand, timeOf(fleet)).m_orders;
    for (const EngineOrder &order : orders) {
        obey(fleet, order);
    }
    return orders;
}

ModelDemand demandFor(const std::string &model, double replicas)
{
    return {model, "llm", replicas, 1, 0};
}

} // namespace

class OrdersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrdersTest);
    CPPUNIT_TEST(planIsTheSameInAnyOrder);
    CPPUNIT_TEST(planKeepsWhatIsLoaded);
    CPPUNIT_TEST(lastWarmReplicaStays);
    CPPUNIT_TEST(loadsStayWithinTheRate);
    CPPUNIT_TEST(orderIsNotRepeatedWhileItWorks);
    CPPUNIT_TEST(lostOrderIsGivenAgain);
    CPPUNIT_TEST(orderOfAFormerHolderIsCorrected);
    CPPUNIT_TEST(fencedNodeGivesNoOrders);
    CPPUNIT_TEST(staleReportsCauseNoOrders);
    CPPUNIT_TEST(rolesFollowTheShare);
    CPPUNIT_TEST(lostAnswerOfTheTakeIsResolved);
    CPPUNIT_TEST(changingDemandNeverLosesAModel);
    CPPUNIT_TEST_SUITE_END();

    // Guards against two nodes that plan differently and undo each other's orders.
    void planIsTheSameInAnyOrder()
    {
        Fleet fleet = makeFleet(9, 2);
        preload(fleet, 2, "m1");
        preload(fleet, 5, "m2");
        std::vector<ModelDemand> demand = {demandFor("m1", 3), demandFor("m2", 2.5), demandFor("m3", 1)};
        const DesiredState first = planEngines(demand, fleet.m_reports);
        std::reverse(demand.begin(), demand.end());
        std::reverse(fleet.m_reports.begin(), fleet.m_reports.end());
        CPPUNIT_ASSERT(planEngines(demand, fleet.m_reports) == first);
    }

    // Guards against downloads that a plan causes although enough replicas are loaded.
    void planKeepsWhatIsLoaded()
    {
        Fleet fleet = makeFleet(6, 1);
        for (int i = 0; i < 6; ++i) {
            preload(fleet, i, i < 3 ? "m1" : "m2");
        }
        const std::vector<ModelDemand> demand = {demandFor("m1", 3), demandFor("m2", 1)};
        const DesiredState desired = planEngines(demand, fleet.m_reports);
        for (const EngineReport &report : fleet.m_reports) {
            CPPUNIT_ASSERT(desired.at(report.m_engine).m_models == report.m_models);
        }
    }

    // Guards against a model that no engine serves because a busier one took its room.
    void lastWarmReplicaStays()
    {
        Fleet fleet = makeFleet(3, 1);
        preload(fleet, 0, "rare");
        preload(fleet, 1, "busy");
        preload(fleet, 2, "busy");
        OrderState state = actingNode(10);
        const std::vector<ModelDemand> demand = {demandFor("busy", 3), {"rare", "llm", 0, 0, 0}};
        for (int i = 0; i < 30; ++i) {
            act(fleet, state, demand);
            pass(fleet);
            CPPUNIT_ASSERT_EQUAL(1, warmReplicas(fleet, "rare"));
        }
        // Also an order state that wants it gone keeps it.
        DesiredState desired = planEngines(demand, fleet.m_reports);
        desired[addressOf(0)].m_models = {"busy"};
        const OrderActions actions = reconcile(state, desired, fleet.m_reports, demand, timeOf(fleet));
        CPPUNIT_ASSERT(actions.m_orders.empty());
    }

    // Guards against a weight store that is overloaded when a model is wanted on every engine.
    void loadsStayWithinTheRate()
    {
        Fleet fleet = makeFleet(40, 1);
        OrderState state = actingNode(10);
        const std::vector<ModelDemand> demand = {demandFor("m1", 40)};
        for (int i = 0; i < 120; ++i) {
            const std::vector<EngineOrder> orders = act(fleet, state, demand);
            CPPUNIT_ASSERT(orders.size() <= 1);
            pass(fleet);
        }
        CPPUNIT_ASSERT(fleet.m_mostLoading <= static_cast<size_t>(MaxLoadsAtOnce));
        CPPUNIT_ASSERT_EQUAL(40, warmReplicas(fleet, "m1"));
        CPPUNIT_ASSERT_EQUAL(int64_t(40), fleet.m_loads);
    }

    // Guards against a flood of equal orders while a report lags.
    void orderIsNotRepeatedWhileItWorks()
    {
        Fleet fleet = makeFleet(1, 1);
        OrderState state = actingNode(10);
        const std::vector<ModelDemand> demand = {demandFor("m1", 1)};
        CPPUNIT_ASSERT_EQUAL(size_t(1), act(fleet, state, demand).size());
        for (int i = 0; i < 9; ++i) {
            CPPUNIT_ASSERT(act(fleet, state, demand).empty());
            pass(fleet);
        }
    }

    // Guards against an order that was lost on its way and is never given again.
    void lostOrderIsGivenAgain()
    {
        Fleet fleet = makeFleet(1, 1);
        OrderState state = actingNode(10);
        const std::vector<ModelDemand> demand = {demandFor("m1", 1)};
        const DesiredState desired = planEngines(demand, fleet.m_reports);
        CPPUNIT_ASSERT_EQUAL(size_t(1), reconcile(state, desired, fleet.m_reports, demand, timeOf(fleet)).m_orders.size());
        fleet.m_now += OrderRepeat;
        CPPUNIT_ASSERT_EQUAL(size_t(1), act(fleet, state, demand).size());
        for (int i = 0; i < 10; ++i) {
            pass(fleet);
        }
        CPPUNIT_ASSERT_EQUAL(1, warmReplicas(fleet, "m1"));
    }

    // Guards against the orders of a paused former holder: engines that check the token refuse them, the others obey
    // and are corrected from their reports.
    void orderOfAFormerHolderIsCorrected()
    {
        Fleet fleet = makeFleet(4, 1);
        for (int i = 0; i < 4; ++i) {
            preload(fleet, i, i < 2 ? "m1" : "m2");
        }
        fleet.m_engines[0].m_state.m_checksFencing = true;
        const std::vector<ModelDemand> demand = {demandFor("m1", 2), demandFor("m2", 2)};
        OrderState holder = actingNode(20);
        fleet.m_engines[0].m_highestFence = 20;
        EngineOrder late;
        late.m_kind = OrderKind::Unload;
        late.m_model = "m1";
        late.m_fence = 10;
        for (int i = 0; i < 2; ++i) {
            late.m_engine = addressOf(i);
            obey(fleet, late);
        }
        CPPUNIT_ASSERT_EQUAL(1, warmReplicas(fleet, "m1"));
        for (int i = 0; i < 30; ++i) {
            pass(fleet);
            act(fleet, holder, demand);
        }
        CPPUNIT_ASSERT_EQUAL(2, warmReplicas(fleet, "m1"));
        CPPUNIT_ASSERT_EQUAL(2, warmReplicas(fleet, "m2"));
    }

    // Guards against a node that goes on giving orders after another one took the group.
    void fencedNodeGivesNoOrders()
    {
        MemoryStore store;
        Random random{1};
        Fleet fleet = makeFleet(1, 1);
        const std::vector<ModelDemand> demand = {demandFor("m1", 1)};
        OrderState first = actingNode(0);
        OrderState second = actingNode(0);
        second.m_node = "b";
        const OrderActions taken = ordersObserved(first, std::nullopt, true, timeOf(fleet), random);
        storeAnswered(first, applyWrite(store, taken.m_store.m_writes.at(0), 0), timeOf(fleet), random);
        CPPUNIT_ASSERT(first.m_fence > 0);
        expireLease(store, 0);
        const OrderActions taken2 = ordersObserved(second, std::nullopt, true, timeOf(fleet), random);
        storeAnswered(second, applyWrite(store, taken2.m_store.m_writes.at(0), 1), timeOf(fleet), random);
        CPPUNIT_ASSERT(second.m_fence > first.m_fence);
        CPPUNIT_ASSERT(ordersObserved(first, readItem(store, ordersOwnerKey("llm")), true, timeOf(fleet), random).m_steppedDown);
        CPPUNIT_ASSERT(act(fleet, first, demand).empty());
        // A read that is older than its own take makes the holder step down; a later one resumes it.
        const int64_t fence = second.m_fence;
        CPPUNIT_ASSERT(ordersObserved(second, std::nullopt, true, timeOf(fleet), random).m_steppedDown);
        ordersObserved(second, readItem(store, ordersOwnerKey("llm")), true, timeOf(fleet), random);
        CPPUNIT_ASSERT_EQUAL(fence, second.m_fence);
    }

    // Guards against decisions on reports that are too old.
    void staleReportsCauseNoOrders()
    {
        Fleet fleet = makeFleet(2, 1);
        preload(fleet, 0, "m1");
        preload(fleet, 1, "m2");
        for (EngineReport &report : fleet.m_reports) {
            report.m_fresh = false;
        }
        OrderState state = actingNode(10);
        CPPUNIT_ASSERT(act(fleet, state, {demandFor("m3", 2)}).empty());
        // A stale replica does not count as the other warm one.
        fleet.m_reports[0].m_fresh = true;
        fleet.m_reports[1].m_models = {"m1"};
        DesiredState desired;
        desired[addressOf(0)].m_models = {"m3"};
        const std::vector<ModelDemand> demand = {demandFor("m1", 1), demandFor("m3", 1)};
        const OrderActions actions = reconcile(state, desired, fleet.m_reports, demand, timeOf(fleet));
        CPPUNIT_ASSERT(actions.m_orders.empty());
    }

    // Guards against engines that keep a role that the configuration no longer gives them.
    void rolesFollowTheShare()
    {
        Fleet fleet = makeFleet(4, 1);
        for (int i = 0; i < 4; ++i) {
            preload(fleet, i, "m1");
        }
        OrderState state = actingNode(10);
        std::vector<ModelDemand> demand = {demandFor("m1", 4)};
        demand[0].m_prefillShare = 0.25;
        for (int i = 0; i < 3; ++i) {
            act(fleet, state, demand);
            pass(fleet);
        }
        int prefill = 0;
        for (const Engine &engine : fleet.m_engines) {
            prefill += engine.m_state.m_role == EngineRole::Prefill ? 1 : 0;
            CPPUNIT_ASSERT(engine.m_state.m_role != EngineRole::Mixed);
        }
        CPPUNIT_ASSERT_EQUAL(1, prefill);
    }

    // Guards against a group of engines without a holder after the answer to the take was lost.
    void lostAnswerOfTheTakeIsResolved()
    {
        MemoryStore store;
        Random random{1};
        const DurableTime time{TimePoint(seconds(1)), 1'800'000'000'000};
        OrderState state = actingNode(0);
        const OrderActions taken = ordersObserved(state, std::nullopt, true, time, random);
        const StoreOutcome applied = applyWrite(store, taken.m_store.m_writes.at(0), 0);
        const OrderActions asked = storeAnswered(state, {applied.m_mark, StoreWriteResult::Unknown, 0}, time, random);
        rangeAnswered(state, readStore(store, asked.m_store.m_reads.at(0)), time, random);
        CPPUNIT_ASSERT_EQUAL(applied.m_revision, state.m_fence);
    }

    // Guards against any sequence of demands, with late reports and one change of the holder, after which a model
    // that was warm has no replica, or in which more models are ordered than an engine can hold.
    void changingDemandNeverLosesAModel()
    {
        for (uint64_t seed = 1; seed <= 200; ++seed) {
            Random random{seed};
            Fleet fleet = makeFleet(6, 2);
            const std::vector<std::string> models = {"m1", "m2", "m3", "m4"};
            for (size_t i = 0; i < models.size(); ++i) {
                preload(fleet, static_cast<int>(i), models[i]);
            }
            OrderState state = actingNode(10);
            std::vector<ModelDemand> demand;
            for (int round = 0; round < 200; ++round) {
                if (round % 20 == 0) {
                    demand.clear();
                    for (const std::string &model : models) {
                        demand.push_back(demandFor(model, uniformReal(random) * 6));
                    }
                }
                if (round == 100) {
                    state = actingNode(20);
                }
                act(fleet, state, demand);
                pass(fleet);
                for (const std::string &model : models) {
                    CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), warmReplicas(fleet, model) >= 1);
                }
                for (const Engine &engine : fleet.m_engines) {
                    const size_t used = engine.m_state.m_models.size() + engine.m_state.m_loading.size();
                    CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), used <= 2);
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(OrdersTest, "orders");
