#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "durable.h"

namespace Medlarramp {

namespace {

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

//-----------------------------------------------------------------------------
// Plan
//-----------------------------------------------------------------------------

/** Plan of one engine while it is made. */
struct Slot {
    const EngineReport *m_report = nullptr;
    std::vector<std::string> m_models;
};

using Slots = std::vector<Slot>;

bool hasRoom(const Slot &slot)
{
    return static_cast<int64_t>(slot.m_models.size()) < slot.m_report->m_slots;
}

bool isWarm(const EngineReport &report, const std::string &model)
{
    return contains(report.m_models, model);
}

bool isStarted(const EngineReport &report, const std::string &model)
{
    return isWarm(report, model) || contains(report.m_loading, model);
}

uint64_t placementScore(const EngineReport &report, const std::string &model)
{
    return hash64(toString(report.m_engine), hash64(model));
}

/** Warm replicas first, then loading ones, then by rendezvous score; stale reports last within each. */
bool isBetterHolder(const Slot *left, const Slot *right, const std::string &model)
{
    const auto rank = [&](const Slot *slot) {
        return std::tuple(!isWarm(*slot->m_report, model),
                          !isStarted(*slot->m_report, model),
                          !slot->m_report->m_fresh,
                          slot->m_models.size(),
                          placementScore(*slot->m_report, model),
                          slot->m_report->m_engine);
    };
    return rank(left) < rank(right);
}

size_t wantedReplicas(const ModelDemand &demand, const Slots &slots)
{
    const bool warm = std::any_of(slots.begin(), slots.end(), [&](const Slot &slot) {
        return slot.m_report->m_pool == demand.m_pool && isWarm(*slot.m_report, demand.m_model);
    });
    const double load = std::clamp(demand.m_replicas, 0.0, static_cast<double>(slots.size()));
    const auto wanted = std::max<int64_t>(demand.m_minimum, static_cast<int64_t>(std::ceil(load)));
    return static_cast<size_t>(std::max<int64_t>(wanted, warm ? 1 : 0));
}

std::vector<Slot *> candidates(Slots &slots, const ModelDemand &demand, bool started)
{
    std::vector<Slot *> result;
    for (Slot &slot : slots) {
        const bool fits = slot.m_report->m_pool == demand.m_pool && hasRoom(slot) && !contains(slot.m_models, demand.m_model);
        // A stale engine can neither be seen to load nor to serve, so nothing new is planned for it.
        if (fits && isStarted(*slot.m_report, demand.m_model) == started && (started || slot.m_report->m_fresh)) {
            result.push_back(&slot);
        }
    }
    std::sort(
        result.begin(), result.end(), [&](const Slot *left, const Slot *right) { return isBetterHolder(left, right, demand.m_model); });
    return result;
}

size_t placedReplicas(const Slots &slots, const std::string &model)
{
    return static_cast<size_t>(std::count_if(slots.begin(), slots.end(), [&](const Slot &slot) { return contains(slot.m_models, model); }));
}

void place(Slots &slots, const ModelDemand &demand, bool started, size_t wanted)
{
    size_t placed = placedReplicas(slots, demand.m_model);
    for (Slot *slot : candidates(slots, demand, started)) {
        if (placed >= wanted) {
            return;
        }
        slot->m_models.push_back(demand.m_model);
        ++placed;
    }
}

/** What is loaded stays while nothing else needs the room. */
void keepLoaded(Slot &slot)
{
    for (const std::string &model : slot.m_report->m_models) {
        if (hasRoom(slot) && !contains(slot.m_models, model)) {
            slot.m_models.push_back(model);
        }
    }
}

void setRoles(DesiredState &desired, const Slots &slots, const ModelDemand &demand)
{
    if (demand.m_prefillShare <= 0) {
        return;
    }
    const size_t replicas = placedReplicas(slots, demand.m_model);
    auto prefill = static_cast<size_t>(std::lround(static_cast<double>(replicas) * std::min(1.0, demand.m_prefillShare)));
    for (const Slot &slot : slots) {
        if (!contains(slot.m_models, demand.m_model)) {
            continue;
        }
        desired[slot.m_report->m_engine].m_role = prefill > 0 ? EngineRole::Prefill : EngineRole::Decode;
        prefill -= prefill > 0 ? 1 : 0;
    }
}

std::vector<ModelDemand> sorted(std::vector<ModelDemand> demand)
{
    std::sort(demand.begin(), demand.end(), [](const ModelDemand &left, const ModelDemand &right) {
        return std::tie(left.m_pool, left.m_model) < std::tie(right.m_pool, right.m_model);
    });
    return demand;
}

Slots makeSlots(const std::vector<EngineReport> &reports)
{
    Slots slots;
    for (const EngineReport &report : reports) {
        slots.push_back({&report, {}});
    }
    std::sort(
        slots.begin(), slots.end(), [](const Slot &left, const Slot &right) { return left.m_report->m_engine < right.m_report->m_engine; });
    return slots;
}

//-----------------------------------------------------------------------------
// Orders
//-----------------------------------------------------------------------------

std::string orderText(const EngineOrder &order)
{
    return fmt::format("{} {} {} {}",
                       toString(order.m_engine),
                       static_cast<int>(order.m_kind),
                       order.m_model,
                       order.m_kind == OrderKind::SetRole ? toString(order.m_role) : "");
}

bool wasJustGiven(const OrderState &state, const EngineOrder &order, TimePoint now)
{
    const auto found = state.m_givenAt.find(orderText(order));
    return found != state.m_givenAt.end() && now < found->second + OrderRepeat;
}

void give(OrderState &state, const EngineOrder &order, TimePoint now, OrderActions &actions)
{
    state.m_givenAt[orderText(order)] = now;
    actions.m_orders.push_back(order);
}

EngineOrder makeOrder(const OrderState &state, const EngineReport &report, OrderKind kind, const std::string &model)
{
    EngineOrder order;
    order.m_engine = report.m_engine;
    order.m_kind = kind;
    order.m_model = model;
    order.m_fence = state.m_fence;
    return order;
}

/** Downloads that engines report, and those ordered lately that no report shows yet. */
int64_t loadsInProgress(const OrderState &state, const std::vector<EngineReport> &reports, TimePoint now)
{
    int64_t loads = 0;
    for (const EngineReport &report : reports) {
        loads += static_cast<int64_t>(report.m_loading.size());
    }
    for (const EngineReport &report : reports) {
        const std::string prefix = fmt::format("{} {} ", toString(report.m_engine), static_cast<int>(OrderKind::Load));
        for (auto it = state.m_givenAt.lower_bound(prefix); it != state.m_givenAt.end() && it->first.starts_with(prefix); ++it) {
            std::string model = it->first.substr(prefix.size());
            model.pop_back();
            loads += now < it->second + OrderRepeat && !isStarted(report, model) ? 1 : 0;
        }
    }
    return loads;
}

/** Fresh engines that serve the model, besides @p except, and are not being told to unload it. */
bool isWarmElsewhere(const OrderState &state,
                     const std::vector<EngineReport> &reports,
                     const EngineReport &except,
                     const std::string &model,
                     TimePoint now)
{
    return std::any_of(reports.begin(), reports.end(), [&](const EngineReport &report) {
        const bool serves = report.m_engine != except.m_engine && report.m_fresh && report.m_pool == except.m_pool && isWarm(report, model);
        return serves && !wasJustGiven(state, makeOrder(state, report, OrderKind::Unload, model), now);
    });
}

bool isWanted(const std::vector<ModelDemand> &demand, const EngineReport &report, const std::string &model)
{
    return std::any_of(
        demand.begin(), demand.end(), [&](const ModelDemand &wanted) { return wanted.m_pool == report.m_pool && wanted.m_model == model; });
}

struct Reconciliation {
    OrderState &m_state;
    const std::vector<EngineReport> &m_reports;
    const std::vector<ModelDemand> &m_demand;
    TimePoint m_now;
    OrderActions &m_actions;
};

void unloadExtra(const Reconciliation &context, const EngineReport &report, const DesiredEngine &desired)
{
    for (const std::string &model : report.m_models) {
        const EngineOrder order = makeOrder(context.m_state, report, OrderKind::Unload, model);
        if (contains(desired.m_models, model) || wasJustGiven(context.m_state, order, context.m_now)) {
            continue;
        }
        const bool wanted = isWanted(context.m_demand, report, model);
        if (!wanted || isWarmElsewhere(context.m_state, context.m_reports, report, model, context.m_now)) {
            give(context.m_state, order, context.m_now, context.m_actions);
        }
    }
}

void loadMissing(const Reconciliation &context, const EngineReport &report, const DesiredEngine &desired)
{
    auto used = static_cast<int64_t>(report.m_models.size() + report.m_loading.size());
    for (const std::string &model : desired.m_models) {
        const EngineOrder order = makeOrder(context.m_state, report, OrderKind::Load, model);
        if (isStarted(report, model) || wasJustGiven(context.m_state, order, context.m_now)) {
            continue;
        }
        const bool room = used < report.m_slots;
        const bool spaced = context.m_now >= context.m_state.m_nextLoad;
        if (!room || !spaced || loadsInProgress(context.m_state, context.m_reports, context.m_now) >= MaxLoadsAtOnce) {
            continue;
        }
        ++used;
        context.m_state.m_nextLoad = context.m_now + LoadSpacing;
        give(context.m_state, order, context.m_now, context.m_actions);
    }
}

void correctRole(const Reconciliation &context, const EngineReport &report, const DesiredEngine &desired)
{
    EngineOrder order = makeOrder(context.m_state, report, OrderKind::SetRole, "");
    order.m_role = desired.m_role;
    if (report.m_role != desired.m_role && !wasJustGiven(context.m_state, order, context.m_now)) {
        give(context.m_state, order, context.m_now, context.m_actions);
    }
}

void stepDown(OrderState &state, const DurableTime &time, OrderActions &actions)
{
    state.m_fence = 0;
    state.m_write = WriteTracker{};
    state.m_givenAt.clear();
    state.m_nextTake = time.m_now + TakeoverRetry;
    actions.m_steppedDown = true;
}

bool isOwn(const OrderState &state, const StoreItem &current)
{
    const absl::StatusOr<std::string> body = bodyOf(current.m_value);
    Findings findings;
    const std::optional<nlohmann::json> value = body.ok() ? parseJson(*body, current.m_key, findings) : std::nullopt;
    if (!value) {
        return false;
    }
    ObjectReader reader = readObject(*value, current.m_key, "", findings);
    std::string name;
    readString(reader, "node", name, true);
    return findings.empty() && name == state.m_node;
}

void takeEnded(OrderState &state, const StoreOutcome &outcome, const DurableTime &time)
{
    if (outcome.m_result == StoreWriteResult::Applied) {
        state.m_fence = outcome.m_revision;
        return;
    }
    state.m_nextTake = time.m_now + TakeoverRetry;
}

} // namespace

std::string_view toString(EngineRole role)
{
    switch (role) {
    case EngineRole::Mixed:
        return "mixed";
    case EngineRole::Prefill:
        return "prefill";
    case EngineRole::Decode:
        return "decode";
    }
    return "mixed";
}

DesiredState planEngines(const std::vector<ModelDemand> &demand, const std::vector<EngineReport> &reports)
{
    Slots slots = makeSlots(reports);
    const std::vector<ModelDemand> ordered = sorted(demand);
    // Replicas that exist are kept for every model before any room is given away, so none loses its last one.
    for (const ModelDemand &model : ordered) {
        place(slots, model, true, wantedReplicas(model, slots));
    }
    for (const ModelDemand &model : ordered) {
        place(slots, model, false, wantedReplicas(model, slots));
    }
    DesiredState desired;
    for (Slot &slot : slots) {
        keepLoaded(slot);
        std::sort(slot.m_models.begin(), slot.m_models.end());
        desired[slot.m_report->m_engine].m_models = slot.m_models;
    }
    for (const ModelDemand &model : ordered) {
        setRoles(desired, slots, model);
    }
    return desired;
}

std::string ordersOwnerKey(const std::string &group)
{
    return fmt::format("orders/{}/owner", group);
}

OrderActions
ordersObserved(OrderState &state, const std::optional<StoreItem> &current, bool preferred, const DurableTime &time, Random &random)
{
    OrderActions actions;
    const int64_t revision = current ? current->m_modRevision : 0;
    if (state.m_fence != 0 && revision != state.m_fence) {
        stepDown(state, time, actions);
    }
    if (isBusy(state.m_write)) {
        return actions;
    }
    if (current) {
        state.m_fence = isOwn(state, *current) ? revision : 0;
        return actions;
    }
    if (!preferred || time.m_now < state.m_nextTake) {
        return actions;
    }
    const nlohmann::json body = {{"node", state.m_node}};
    StoreWrite write;
    write.m_mark = makeMark(time, random);
    write.m_markKey = ordersOwnerKey(state.m_group);
    write.m_compares = {{write.m_markKey, 0}};
    write.m_puts = {{write.m_markKey, markValue(write.m_mark, body.dump()), true}};
    startWrite(state.m_write, std::move(write), time, actions.m_store);
    return actions;
}

OrderActions storeAnswered(OrderState &state, const StoreOutcome &outcome, const DurableTime &time, Random &random)
{
    OrderActions actions;
    if (const auto certain = trackOutcome(state.m_write, outcome, time, random, actions.m_store)) {
        takeEnded(state, *certain, time);
    }
    return actions;
}

OrderActions rangeAnswered(OrderState &state, const StoreRange &range, const DurableTime &time, Random &random)
{
    OrderActions actions;
    if (const auto certain = trackRange(state.m_write, range, time, random, actions.m_store)) {
        takeEnded(state, *certain, time);
    }
    return actions;
}

OrderActions ordersTimer(OrderState &state, const DurableTime &time, Random &random)
{
    OrderActions actions;
    trackTimer(state.m_write, time, random, actions.m_store);
    return actions;
}

OrderActions reconcile(OrderState &state,
                       const DesiredState &desired,
                       const std::vector<EngineReport> &reports,
                       const std::vector<ModelDemand> &demand,
                       const DurableTime &time)
{
    OrderActions actions;
    if (state.m_fence == 0) {
        return actions;
    }
    std::erase_if(state.m_givenAt, [&](const auto &item) { return time.m_now >= item.second + OrderRepeat; });
    const Reconciliation context{state, reports, demand, time.m_now, actions};
    for (const EngineReport &report : reports) {
        const auto found = desired.find(report.m_engine);
        if (!report.m_fresh || found == desired.end()) {
            continue;
        }
        unloadExtra(context, report, found->second);
        loadMissing(context, report, found->second);
        correctRole(context, report, found->second);
    }
    return actions;
}

} // namespace Medlarramp
