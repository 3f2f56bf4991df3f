#include <algorithm>

#include "standins_internal.h"

namespace Medlarramp {

namespace {

constexpr int StatusTooManyRequests = 429;

nlohmann::json groupOf(const Replica &vm)
{
    const nlohmann::json labels = {
        {"role", vm.m_pool.empty() ? "entry" : "upstream"},
        {"pool", vm.m_pool},
        {"failure_domain", vm.m_failureDomain},
        {"state", vm.m_state == ReplicaState::Leaving ? "leaving" : "live"},
    };
    return {{"targets", nlohmann::json::array({toString(vm.m_address)})}, {"labels", labels}};
}

/** The list that is shown at a time. */
nlohmann::json shownList(VmListStandin &list, TimePoint at)
{
    const std::lock_guard lock(list.m_mutex);
    nlohmann::json groups = nlohmann::json::array();
    const auto later = std::find_if(list.m_history.begin(), list.m_history.end(), [at](const auto &entry) { return entry.first > at; });
    if (later != list.m_history.begin()) {
        // Older states are never shown again.
        list.m_history.erase(list.m_history.begin(), std::prev(later));
        for (const Replica &vm : list.m_history.front().second) {
            groups.push_back(groupOf(vm));
        }
    }
    return groups;
}

bool takeToken(WeightStoreStandin &store, TimePoint at)
{
    const std::lock_guard lock(store.m_mutex);
    const double elapsed = std::chrono::duration<double>(at - store.m_filledAt).count();
    store.m_tokens = std::min(store.m_burst, store.m_tokens + elapsed * store.m_downloadsPerSecond);
    store.m_filledAt = at;
    if (store.m_tokens < 1) {
        return false;
    }
    store.m_tokens -= 1;
    return true;
}

} // namespace

absl::Status start(VmListStandin &list, int port)
{
    StandinServer &server = *list.m_http.m_server;
    server.Get("/vms", [&list, &server](const httplib::Request &request, httplib::Response &response) {
        if (receiveRequest(server, response) && beginRun(server, request)) {
            answer(server, response, shownList(list, now(server.m_clock)));
        }
    });
    return startServer(list.m_http, port);
}

void stop(VmListStandin &list)
{
    stopServer(list.m_http);
}

void setVms(VmListStandin &list, std::vector<Replica> vms)
{
    const TimePoint shownFrom = now(list.m_http.m_server->m_clock) + list.m_lag;
    const std::lock_guard lock(list.m_mutex);
    list.m_history.emplace_back(shownFrom, std::move(vms));
}

absl::Status start(WeightStoreStandin &store, int port)
{
    StandinServer &server = *store.m_http.m_server;
    store.m_tokens = store.m_burst;
    store.m_filledAt = now(server.m_clock);
    server.Get(R"(/weights/(.+))", [&store, &server](const httplib::Request &request, httplib::Response &response) {
        if (!receiveRequest(server, response)) {
            return;
        }
        if (!takeToken(store, now(server.m_clock))) {
            refuse(server, response, StatusTooManyRequests);
        } else if (beginRun(server, request) && pauseRequest(store.m_downloadTime)) {
            answer(server, response, {{"model", std::string(request.matches[1])}});
        }
    });
    return startServer(store.m_http, port);
}

void stop(WeightStoreStandin &store)
{
    stopServer(store.m_http);
}

} // namespace Medlarramp
