#include <httplib.h>

#include <fmt/format.h>

#include "upstream.h"

namespace Medlarramp {

namespace {

constexpr int StatusOk = 200;
constexpr size_t MaxTargetsPerGroup = MaxVms;

struct Group {
    std::vector<std::string> m_targets;
    std::string m_role;
    std::string m_pool;
    std::string m_failureDomain;
    std::string m_state = "live";
};

/** Labels are open to extension, so unknown ones are not findings. */
void readLabel(const nlohmann::json &labels, const char *name, const ObjectReader &group, std::string &value)
{
    const auto found = labels.find(name);
    if (found == labels.end()) {
        return;
    }
    if (!found->is_string()) {
        group.m_findings->push_back({group.m_file, group.m_pointer + "/labels/" + name, "is not a string"});
        return;
    }
    value = found->get<std::string>();
}

Group readGroup(const nlohmann::json &value, const std::string &pointer, Findings &findings)
{
    Group group;
    ObjectReader reader = readObject(value, "", pointer, findings);
    readStrings(reader, "targets", group.m_targets, MaxTargetsPerGroup);
    const nlohmann::json *labels = member(reader, "labels", true);
    if (labels && !labels->is_object()) {
        addFinding(reader, "labels", "is not an object");
    } else if (labels) {
        readLabel(*labels, "role", reader, group.m_role);
        readLabel(*labels, "pool", reader, group.m_pool);
        readLabel(*labels, "failure_domain", reader, group.m_failureDomain);
        readLabel(*labels, "state", reader, group.m_state);
    }
    return group;
}

void addReplicas(const Group &group, const std::string &pointer, std::vector<Replica> &replicas, Findings &findings)
{
    if (group.m_role != "entry" && group.m_role != "upstream") {
        return;
    }
    if (group.m_role == "upstream" && group.m_pool.empty()) {
        findings.push_back({"", pointer + "/labels/pool", "is missing"});
    }
    if (group.m_state != "live" && group.m_state != "leaving") {
        findings.push_back({"", pointer + "/labels/state", "is neither live nor leaving"});
    }
    for (size_t i = 0; i < group.m_targets.size(); ++i) {
        const std::optional<Address> address = parseAddress(group.m_targets[i]);
        if (!address) {
            findings.push_back({"", fmt::format("{}/targets/{}", pointer, i), "is not an IP address with a port"});
            continue;
        }
        const ReplicaState state = group.m_state == "leaving" ? ReplicaState::Leaving : ReplicaState::Live;
        replicas.push_back({*address, group.m_role == "upstream" ? group.m_pool : "", group.m_failureDomain, state});
    }
}

absl::StatusOr<std::string> fetch(const Address &address, const std::string &path, const Clock &clock)
{
    httplib::Client client(address.m_host, address.m_port);
    client.set_connection_timeout(VmListTimeout);
    client.set_read_timeout(VmListTimeout);
    client.set_write_timeout(VmListTimeout);
    client.set_follow_location(false);
    client.set_tcp_nodelay(true);
    client.set_decompress(false);
    std::string body;
    const TimePoint end = now(clock) + VmListTimeout;
    const httplib::Result result = client.Get(path, {{"Accept-Encoding", "identity"}}, [&](const char *data, size_t length) {
        body.append(data, length);
        return body.size() <= MaxVmListBytes && now(clock) < end;
    });
    if (!result) {
        return absl::UnavailableError(fmt::format("VM list {}: {}", toString(address), httplib::to_string(result.error())));
    }
    if (result->status != StatusOk) {
        return absl::UnavailableError(fmt::format("VM list {}: status {}", toString(address), result->status));
    }
    return body;
}

} // namespace

std::optional<std::vector<Replica>> parseVmList(std::string_view text, Findings &findings)
{
    const std::optional<nlohmann::json> list = parseJson(text, "", findings);
    if (!list) {
        return std::nullopt;
    }
    if (!list->is_array() || list->size() > MaxVms) {
        findings.push_back({"", "", fmt::format("is not an array of at most {} groups", MaxVms)});
        return std::nullopt;
    }
    const size_t before = findings.size();
    std::vector<Replica> replicas;
    for (size_t i = 0; i < list->size(); ++i) {
        const std::string pointer = fmt::format("/{}", i);
        addReplicas(readGroup((*list)[i], pointer, findings), pointer, replicas, findings);
        if (replicas.size() > MaxVms) {
            findings.push_back({"", pointer, fmt::format("brings the list above {} VMs", MaxVms)});
            break;
        }
    }
    return findings.size() == before ? std::optional(std::move(replicas)) : std::nullopt;
}

VmListClient makeVmListClient(const Address &address, const std::string &path, const Clock &clock)
{
    VmListClient client;
    client.m_fetch = [address, path, &clock]() -> absl::StatusOr<std::vector<Replica>> {
        const absl::StatusOr<std::string> body = fetch(address, path, clock);
        if (!body.ok()) {
            return body.status();
        }
        Findings findings;
        std::optional<std::vector<Replica>> replicas = parseVmList(*body, findings);
        if (!replicas) {
            return absl::InvalidArgumentError(fmt::format("VM list {}:\n{}", toString(address), toString(findings)));
        }
        return *std::move(replicas);
    };
    return client;
}

} // namespace Medlarramp
