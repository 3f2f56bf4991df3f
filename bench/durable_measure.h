#pragma once

/**
 * Figures of durable on virtual time: claims at a given rate, takeover of a partition, and the drain of a batch.
 *
 * The links and the store are simulated with fixed latencies and jitter from a seeded generator. The decision
 * functions are the real ones.
 */

#include <cstdint>

#include "durable.h"

namespace Medlarramp::Measure {

struct ClaimScenario {
    double m_rate = 1'000; ///< claims per second over all partitions
    int m_partitions = 2;
    Duration m_duration = seconds(60); ///< time during which claims arrive
    Duration m_store = milliseconds(3); ///< answer time of the store
    Duration m_link = milliseconds(2); ///< one way, between an entry and an owner
    Duration m_linkJitter = Duration(500); ///< mean of the exponential part of a link's delay
    Duration m_run = milliseconds(50); ///< mean time that a stage runs
    size_t m_answerBytes = 200;
    double m_storeBytesPerSecond = 100e6; ///< transfer of segments at a takeover
    uint64_t m_seed = 1;
};

struct ClaimFigures {
    int64_t m_claims = 0;
    int64_t m_granted = 0;
    int64_t m_notGranted = 0; ///< refused or without a grant by the end
    double m_writesPerClaim = 0;
    double m_writesPerSecond = 0;
    Duration m_addedMedian{}; ///< from the start of a claim to the order to run
    Duration m_added99{};
    size_t m_storeKeys = 0; ///< at the end, all partitions
    size_t m_storeBytes = 0;
    size_t m_tableRecords = 0;
    size_t m_tableBytes = 0; ///< estimate: records, hash nodes, answers and the index of segments
    int64_t m_takeoverReads = 0; ///< of the largest partition
    Duration m_takeover{}; ///< virtual time of the largest partition, without the wait for the lease
    Duration m_takeoverWork{}; ///< time that decoding took on this machine
};

ClaimFigures measureClaims(const ClaimScenario &scenario);

struct DrainScenario {
    int64_t m_jobs = 100'000;
    int m_entries = 8;
    double m_submitRate = 1'700; ///< jobs per second over all entries; 0: all at once
    size_t m_inputBytes = 400;
    size_t m_outputBytes = 400;
    int64_t m_stages = 3;
    size_t m_jobsAtOnce = 64; ///< of one group
    size_t m_groupsAtOnce = 4; ///< of one node
    Duration m_stage = milliseconds(100); ///< mean time of one stage
    Duration m_store = milliseconds(3);
    uint64_t m_seed = 1;
};

struct DrainFigures {
    int64_t m_accepted = 0;
    int64_t m_finished = 0; ///< results found in the store
    int64_t m_writes = 0;
    int64_t m_reads = 0;
    int64_t m_groups = 0;
    double m_writesPerJob = 0;
    double m_callsPerJob = 0;
    Duration m_acceptMedian{}; ///< from submission to the durable answer
    Duration m_accept99{};
    Duration m_total{};
};

DrainFigures measureDrain(const DrainScenario &scenario);

} // namespace Medlarramp::Measure
