#pragma once

/**
 * Internal header of the entry library: durable batch over the store.
 *
 * Threads: one commits accepted jobs, one takes groups and writes their progress, and several run jobs.
 */

#include "entry_durable.h"

namespace Medlarramp {

constexpr int BatchWorkers = 16; ///< jobs that one entry runs at the same time
constexpr size_t MaxGroupsAtOnce = 4; ///< groups that one entry holds at the same time

struct BatchService;

std::shared_ptr<BatchService> makeBatchService(Blackboard &board, const Store &store, NodeLease &lease);

/** Answer to a submitted job. */
struct SubmitAnswer {
    std::optional<JobId> m_job; ///< durable
    Reason m_reason = Reason::None; ///< why it certainly is not stored
    bool m_unknown = false; ///< the time ran out while the store had not answered
};

/** Blocks until the job is durable, refused, or the deadline has passed. */
SubmitAnswer submitBatchJob(BatchService &service, BatchJob job, int64_t quota, TimePoint deadline);
/** Reads a job from the store. NotFound when there is none; Unavailable when the store gives no answer. */
absl::StatusOr<JobView> readBatchJob(BatchService &service, const JobId &id);
/** The result was handed to its caller; the group is deleted once all of its results were. */
void noteFetched(BatchService &service, const JobId &id);

void runBatchAccept(BatchService &service, StopSignal &stop);
void runBatchGroups(BatchService &service, StopSignal &stop);
void runBatchWorker(BatchService &service, StopSignal &stop);
/** Writes what is finished and gives all groups back, so that other entries take them at once. */
void leaveBatch(BatchService &service);

} // namespace Medlarramp
