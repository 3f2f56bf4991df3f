// Measures memory and time of the configuration state at several sizes.
// Usage: measure_config [organisations ...]   (default: 490 4900 49000)

#include <algorithm>
#include <cstdlib>
#include <functional>

#include <malloc.h>

#include <fmt/format.h>

#include "store.h"

using namespace Medlarramp;
using nlohmann::json;

namespace {

constexpr int Pipelines = 12; // of the design size
constexpr int Pools = 39; // one for each model of the design size
constexpr int Repeats = 501; // of one measurement; the median is printed

double heapMegabytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd) / 1e6;
}

double microseconds(const std::function<void()> &action)
{
    const auto before = std::chrono::steady_clock::now();
    action();
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - before).count();
}

double medianMicroseconds(int repeats, const std::function<void(int)> &action)
{
    std::vector<double> times;
    times.reserve(static_cast<size_t>(repeats));
    for (int i = 0; i < repeats; ++i) {
        times.push_back(microseconds([&] { action(i); }));
    }
    std::nth_element(times.begin(), times.begin() + repeats / 2, times.end());
    return times[static_cast<size_t>(repeats) / 2];
}

json upstreamJson(int pool)
{
    return {{"name", fmt::format("pool-{}", pool)}, {"kind", pool == 0 ? "stage_pool" : "model_engine"}, {"models", {"base", "other"}}};
}

json templateJson(int pipeline)
{
    const std::string engine = fmt::format("pool-{}", pipeline + 1);
    return {{"name", fmt::format("pipeline-{}", pipeline)},
            {"stages",
             {{{"name", "encode"}, {"kind", "infer"}, {"pool", "pool-0"}, {"model", "base"}},
              {{"name", "retrieve"}, {"kind", "infer"}, {"pool", "pool-0"}, {"model", "base"}},
              {{"name", "write"}, {"kind", "generate"}, {"pool", engine}, {"model", "base"}}}}};
}

/** Two keys, two pipelines, one override with a prompt of 200 bytes. */
json organisationJson(int number, int version)
{
    const std::string name = fmt::format("organisation-{:06}", number);
    const std::string pipeline = fmt::format("pipeline-{}", number % Pipelines);
    return {{"name", name},
            {"key_digests", {toHex(sha256(name + "a")), toHex(sha256(fmt::format("{}{}", name, version)))}},
            {"templates", {pipeline, fmt::format("pipeline-{}", (number + 1) % Pipelines)}},
            {"weight", 2},
            {"requests_per_second", 50},
            {"overrides", {{{"template", pipeline}, {"stage", "write"}, {"prompt", std::string(200, 'p')}}}}};
}

ConfigChange change(ObjectKind kind, const json &object, int64_t revision)
{
    return {configKey(kind, object.at("name").get<std::string>()), revision, encodeRecord({1, 1}, {"operator", 1, false, object})};
}

ConfigBatch fullBatch(int organisations)
{
    ConfigBatch batch;
    int64_t revision = 0;
    for (int i = 0; i < Pools; ++i) {
        batch.m_changes.push_back(change(ObjectKind::Upstream, upstreamJson(i), ++revision));
    }
    for (int i = 0; i < Pipelines; ++i) {
        batch.m_changes.push_back(change(ObjectKind::Template, templateJson(i), ++revision));
    }
    for (int i = 0; i < organisations; ++i) {
        batch.m_changes.push_back(change(ObjectKind::Organisation, organisationJson(i, 0), ++revision));
    }
    batch.m_to = revision;
    return batch;
}

void print(int organisations, const char *measure, double value, const char *unit)
{
    fmt::print("organisations={} {}={:.2f} {}\n", organisations, measure, value, unit);
}

/** Bytes and parts of a transfer of everything to a fresh peer. */
void measureTransfer(int organisations, const ConfigState &state)
{
    size_t bytes = 0;
    int parts = 0;
    int64_t after = 0;
    do {
        const ConfigBatch batch = changesSince(state, 0, after);
        bytes += serializeBatch(batch).size();
        after = batch.m_next;
        ++parts;
    } while (after != 0);
    print(organisations, "full_transfer", static_cast<double>(bytes) / 1e6, "MB");
    print(organisations, "full_transfer_parts", parts, "messages");
}

void measureChanges(int organisations, ConfigState &state)
{
    std::vector<ConfigChange> changes;
    changes.reserve(Repeats);
    for (int i = 0; i < Repeats; ++i) {
        changes.push_back(change(ObjectKind::Organisation, organisationJson(i * 7 % organisations, i + 1), state.m_cursor + 1 + i));
    }
    print(organisations, "bytes_of_one_change", static_cast<double>(serializeChange(changes[0]).size()), "bytes");
    std::shared_ptr<const Configuration> snapshot = buildConfiguration(state);
    const int64_t first = state.m_cursor;
    const double each = medianMicroseconds(Repeats, [&](int i) {
        applyBatch(state, {first + i, first + i + 1, {changes[static_cast<size_t>(i)]}, 0});
        snapshot = buildConfiguration(state);
    });
    print(organisations, "apply_one_change_and_snapshot", each, "us");
    print(organisations, "snapshot_only", medianMicroseconds(Repeats, [&](int) { snapshot = buildConfiguration(state); }), "us");
    const double before = heapMegabytes();
    std::vector<std::shared_ptr<const Configuration>> kept;
    for (int i = 0; i < 20; ++i) {
        applyChange(state, change(ObjectKind::Organisation, organisationJson(i, 1'000 + i), state.m_cursor + 1 + i));
        kept.push_back(buildConfiguration(state));
    }
    print(organisations, "memory_of_each_kept_snapshot", (heapMegabytes() - before) / 20 * 1e3, "KB");
    const double pull = medianMicroseconds(Repeats, [&](int) { (void)changesSince(state, state.m_cursor - 10); });
    print(organisations, "changes_since_10_revisions", pull, "us");
}

void measureValidation(int organisations, const ConfigState &state)
{
    const auto validate = [&](ObjectKind kind, const json &object, int repeats) {
        const ConfigEdit edit{{kind, object.at("name").get<std::string>()}, object, 1, "operator"};
        return medianMicroseconds(repeats, [&](int) {
            if (!validateEdit(state, edit).empty()) {
                fmt::print("unexpected findings\n");
                std::exit(EXIT_FAILURE);
            }
        });
    };
    print(organisations, "validate_organisation", validate(ObjectKind::Organisation, organisationJson(5, 9'999), Repeats), "us");
    print(organisations, "validate_template", validate(ObjectKind::Template, templateJson(5), 11), "us");
    print(organisations, "validate_upstream", validate(ObjectKind::Upstream, upstreamJson(6), 11), "us");
}

void measure(int organisations)
{
    const ConfigBatch batch = fullBatch(organisations);
    malloc_trim(0);
    const double before = heapMegabytes();
    ConfigState state;
    const double full = microseconds([&] { applyBatch(state, batch); });
    print(organisations, "apply_everything", full / 1e3, "ms");
    const auto snapshot = buildConfiguration(state);
    print(organisations, "memory_of_state", heapMegabytes() - before, "MB");
    if (snapshot->m_organisations.size() != static_cast<size_t>(organisations) || state.m_malformed != 0) {
        fmt::print("the state is not complete\n");
        std::exit(EXIT_FAILURE);
    }
    measureTransfer(organisations, state);
    measureChanges(organisations, state);
    measureValidation(organisations, state);
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<int> sizes = {490, 4'900, 49'000};
    if (argc > 1) {
        sizes.clear();
        for (int i = 1; i < argc; ++i) {
            sizes.push_back(std::atoi(argv[i]));
        }
    }
    for (const int size : sizes) {
        measure(size);
    }
    return EXIT_SUCCESS;
}
