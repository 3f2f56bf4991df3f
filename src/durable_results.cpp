#include <algorithm>

#include <fmt/format.h>

#include "durable.h"

namespace Medlarramp {

absl::StatusOr<JobView> viewJob(const JobId &id, const std::optional<StoreItem> &group, const std::vector<StoreItem> &chunks)
{
    if (!group) {
        return absl::NotFoundError(fmt::format("no job {}", toString(id)));
    }
    const absl::StatusOr<std::string> body = bodyOf(group->m_value);
    const absl::StatusOr<std::vector<BatchJob>> jobs = body.ok() ? decodeGroup(*body) : body.status();
    if (!jobs.ok()) {
        return jobs.status();
    }
    if (id.m_index < 0 || id.m_index >= static_cast<int64_t>(jobs->size())) {
        return absl::NotFoundError(fmt::format("no job {}", toString(id)));
    }
    std::vector<JobProgress> progress(jobs->size());
    for (const StoreItem &chunk : chunks) {
        const absl::StatusOr<std::string> text = bodyOf(chunk.m_value);
        const absl::StatusOr<std::vector<ProgressEntry>> entries = text.ok() ? decodeProgress(*text) : text.status();
        if (!entries.ok()) {
            return entries.status();
        }
        applyProgress(progress, *entries);
    }
    const auto index = static_cast<size_t>(id.m_index);
    return JobView{(*jobs)[index], progress[index]};
}

bool resultFetched(FetchTracker &tracker, const JobId &id, size_t jobsInGroup)
{
    if (tracker.m_fetched.size() >= MaxTrackedGroups && !tracker.m_fetched.contains(id.m_group)) {
        // Groups are ordered by time; the oldest is the nearest to its end.
        tracker.m_fetched.erase(tracker.m_fetched.begin());
    }
    std::set<int64_t> &fetched = tracker.m_fetched[id.m_group];
    fetched.insert(id.m_index);
    if (fetched.size() < jobsInGroup) {
        return false;
    }
    tracker.m_fetched.erase(id.m_group);
    return true;
}

bool isGroupExpired(const Identifier &group, int64_t wall)
{
    return identifierMilliseconds(group).value_or(wall) + ResultLifetime.count() <= wall;
}

std::vector<StoreWrite>
deleteGroup(const Identifier &group, int64_t groupRevision, const std::vector<StoreItem> &chunks, const DurableTime &time, Random &random)
{
    std::vector<StoreWrite> writes;
    StoreWrite write;
    write.m_mark = makeMark(time, random);
    write.m_compares = {{groupKey(group), groupRevision}};
    write.m_deletes = {groupKey(group), groupOwnerKey(group)};
    for (const StoreItem &chunk : chunks) {
        if (write.m_deletes.size() == MaxDeletesPerWrite) {
            writes.push_back(std::move(write));
            write = StoreWrite{};
            write.m_mark = makeMark(time, random);
            write.m_compares = {{groupKey(group), 0}};
        }
        write.m_deletes.push_back(chunk.m_key);
    }
    writes.push_back(std::move(write));
    return writes;
}

void addUsage(BatchUsage &usage, const StoreItem &item)
{
    usage.m_bytes += item.m_value.size();
    if (!item.m_key.starts_with(groupPrefix())) {
        return;
    }
    const absl::StatusOr<std::string> body = bodyOf(item.m_value);
    const absl::StatusOr<std::vector<BatchJob>> jobs = body.ok() ? decodeGroup(*body) : body.status();
    if (!jobs.ok()) {
        return;
    }
    for (const BatchJob &job : *jobs) {
        ++usage.m_jobs[job.m_organisation];
    }
}

} // namespace Medlarramp
