#pragma once

/**
 * medlarramp model: what operators and callers describe, as plain values.
 *
 * Index of sections:
 *  [SECTION] Templates       a pipeline and its stages
 *  [SECTION] Organisations   parameters of one organisation
 *  [SECTION] Upstreams       a pool of upstreams and its replicas
 *  [SECTION] Configuration   one immutable snapshot of all three
 *  [SECTION] Requests        what a caller asks for
 *  [SECTION] Settings        what one process is started with
 *
 * Each value is filled by a parse function that reports every finding with its place, and is not changed afterwards.
 */

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core.h"

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] Templates
//-----------------------------------------------------------------------------

enum class StageKind : uint8_t {
    Infer, ///< encoder, retriever or reranker: Open Inference Protocol v2
    Generate, ///< model engine: OpenAI completions API, streamed
    Call, ///< plain service: HTTP JSON
};

constexpr size_t MinStages = 3;
constexpr size_t MaxStages = 6;
constexpr size_t MaxNameLength = 64; ///< bytes
constexpr milliseconds MaxDeadline{600'000};
constexpr int64_t MaxOutputTokensLimit = 32'768;

/** One stage of a pipeline. */
struct Stage {
    std::string m_name;
    StageKind m_kind = StageKind::Infer;
    std::string m_pool; ///< name of the upstream pool
    std::string m_model; ///< model name on the upstream; empty for a plain service
    std::string m_path; ///< HTTP path on a plain service
    std::string m_prompt; ///< generate only; "{input}" and "{stage name}" are replaced
    bool m_idempotent = true; ///< false: runs at most once
    bool m_required = true; ///< false: the answer may leave it out when it fails
    std::vector<std::string> m_inputs; ///< "request" or names of earlier stages
    double m_deadlineShare = 0; ///< share of the deadline; 0: what is left, by equal parts
    int64_t m_maxAttempts = 3;
    int64_t m_maxOutputTokens = 256;

    bool operator==(const Stage &) const = default;
};

/** A pipeline. */
struct Template {
    std::string m_name;
    std::vector<Stage> m_stages;
    Duration m_defaultDeadline = seconds(7);
    Duration m_maxDeadline = seconds(60); ///< for urgent requests
    Duration m_batchDeadline = seconds(60); ///< per attempt run of a batch job

    bool operator==(const Template &) const = default;
};

bool hasNonIdempotentStage(const Template &pipeline);
/** @p file and @p pointer name the place of @p value in findings; empty for the body of an HTTP request. */
std::optional<Template>
parseTemplate(const nlohmann::json &value, const std::string &file, Findings &findings, const std::string &pointer = {});
nlohmann::json toJson(const Template &pipeline);

//-----------------------------------------------------------------------------
// [SECTION] Organisations
//-----------------------------------------------------------------------------

/** What an organisation chooses for one stage of one template. */
struct StageOverride {
    std::string m_template;
    std::string m_stage;
    std::string m_model; ///< empty: the template's
    std::string m_prompt; ///< empty: the template's

    bool operator==(const StageOverride &) const = default;
};

struct Organisation {
    std::string m_name;
    std::vector<std::string> m_keyDigests; ///< SHA-256 of each valid key, hexadecimal
    std::vector<std::string> m_templates; ///< pipelines it may use; empty: all
    double m_weight = 1; ///< share under contention, relative to other organisations
    double m_requestsPerSecond = 0; ///< 0: not limited
    int64_t m_burst = 10; ///< requests above the rate
    int64_t m_maxConcurrent = 0; ///< per entry; 0: not limited
    int64_t m_maxBatchJobs = 100'000; ///< jobs accepted and not yet expired
    std::vector<StageOverride> m_overrides;

    bool operator==(const Organisation &) const = default;
};

std::optional<Organisation>
parseOrganisation(const nlohmann::json &value, const std::string &file, Findings &findings, const std::string &pointer = {});
nlohmann::json toJson(const Organisation &organisation);

//-----------------------------------------------------------------------------
// [SECTION] Upstreams
//-----------------------------------------------------------------------------

enum class UpstreamKind : uint8_t { ModelEngine, StagePool, PlainService };

/** Address by IP number. */
struct Address {
    std::string m_host;
    int m_port = 0;

    auto operator<=>(const Address &) const = default; // NOLINT(modernize-use-nullptr): false positive of clang-tidy 14
};

std::string toString(const Address &address);
/** Parses "127.0.0.1:80". */
std::optional<Address> parseAddress(std::string_view text);

/** Properties of a pool. Its replicas come from the VM list, and from m_replicas where there is none. */
struct Upstream {
    std::string m_name; ///< name of the pool
    UpstreamKind m_kind = UpstreamKind::StagePool;
    std::vector<std::string> m_models;
    std::vector<Address> m_replicas; ///< static replicas
    std::vector<int64_t> m_notAcceptedStatuses = {429}; ///< HTTP statuses that promise the call did not run
    bool m_refusesRepeats = false; ///< checks Idempotency-Key, so an unknown attempt may be repeated
    bool m_checksFencing = false; ///< refuses an order with an old fencing token
    bool m_checksSender = false; ///< checks who gives an order
    bool m_reportsLoad = false;
    bool m_resumesStreams = false;
    int64_t m_initialLimit = 16; ///< concurrency per replica and entry to start from
    int64_t m_maxLimit = 512;

    bool operator==(const Upstream &) const = default;
};

std::optional<Upstream>
parseUpstream(const nlohmann::json &value, const std::string &file, Findings &findings, const std::string &pointer = {});
nlohmann::json toJson(const Upstream &upstream);

enum class ReplicaState : uint8_t { Live, Leaving };

/** One VM of a pool, from the VM list. */
struct Replica {
    Address m_address;
    std::string m_pool;
    std::string m_failureDomain;
    ReplicaState m_state = ReplicaState::Live;

    bool operator==(const Replica &) const = default;
};

//-----------------------------------------------------------------------------
// [SECTION] Configuration
//-----------------------------------------------------------------------------

enum class ObjectKind : uint8_t { Template, Organisation, Upstream };

std::string_view toString(ObjectKind kind);
/** Parses the singular or plural name. */
std::optional<ObjectKind> parseObjectKind(std::string_view name);

/** All objects in force on a node at one store revision. A request keeps the snapshot it began with. */
struct Configuration {
    int64_t m_revision = 0; ///< store revision up to which every change is included
    std::map<std::string, std::shared_ptr<const Template>> m_templates;
    SharedMap<std::shared_ptr<const Organisation>> m_organisations;
    std::map<std::string, std::shared_ptr<const Upstream>> m_upstreams;
    SharedMap<std::string> m_organisationByKey; ///< SHA-256 of a key, hexadecimal -> organisation
};

/**
 * Reads a bundle {"templates": [], "organisations": [], "upstreams": []}, checks each object and the references between
 * them. Reports every finding and returns nothing when there is one.
 */
std::optional<Configuration> parseConfiguration(const nlohmann::json &value, const std::string &file, Findings &findings);
/** Checks references between objects: pools, models, kinds, overrides, keys used twice. */
Findings validateConfiguration(const Configuration &configuration);
/** The organisation a key belongs to; null when the key is unknown. */
std::shared_ptr<const Organisation> organisationOfKey(const Configuration &configuration, std::string_view key);
/** The stages with the overrides of @p organisation applied. */
Template applyOverrides(const Template &pipeline, const Organisation &organisation);

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

enum class RequestClass : uint8_t { Urgent, Batch };

std::string_view toString(RequestClass requestClass);

constexpr size_t MaxInputBytes = 256 * 1024;

/** What a caller asks for, after parsing. */
struct PipelineRequest {
    nlohmann::json m_input;
    std::optional<Duration> m_deadline; ///< from arrival; nothing: the template's default
    RequestClass m_class = RequestClass::Urgent;
    bool m_stream = false;

    bool operator==(const PipelineRequest &) const = default;
};

std::optional<PipelineRequest> parseRequest(const nlohmann::json &value, Findings &findings);

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

enum class AdminRole : uint8_t { Read, EditOrganisation, EditAll };

/** Where a secret comes from. Exactly one member is set. */
struct SecretSource {
    std::string m_environment; ///< name of an environment variable
    std::string m_file; ///< path of a file

    bool operator==(const SecretSource &) const = default;
};

/** Reads a secret and strips a trailing newline. */
absl::StatusOr<std::string> readSecret(const SecretSource &source);

struct AdminKey {
    std::string m_name; ///< who, in the change log
    AdminRole m_role = AdminRole::Read;
    std::string m_organisation; ///< EditOrganisation only
    SecretSource m_secret;

    bool operator==(const AdminKey &) const = default;
};

/** A shared key of the entry processes. The first of the list signs; all verify. */
struct PeerKey {
    int64_t m_identifier = 0; ///< 1 to 255
    SecretSource m_secret;

    bool operator==(const PeerKey &) const = default;
};

/** What one entry process is started with. */
struct Settings {
    std::string m_node; ///< unique name of this VM
    std::string m_region = "default";
    std::string m_failureDomain;
    Address m_listen{"127.0.0.1", 8080}; ///< callers and administration
    Address m_peer{"127.0.0.1", 8081}; ///< UDP and TCP between entry processes
    std::vector<Address> m_seeds; ///< peer addresses for first contact, besides the VM list
    std::vector<Address> m_storeEndpoints; ///< etcd v3 JSON gateway
    std::optional<Address> m_vmList; ///< Prometheus HTTP service discovery
    std::string m_vmListPath = "/vms";
    std::string m_tlsCertificate; ///< PEM file; empty: plain HTTP
    std::string m_tlsKey; ///< PEM file
    std::vector<AdminKey> m_adminKeys;
    std::vector<PeerKey> m_peerKeys;
    LogLevel m_logLevel = LogLevel::Info;
    int64_t m_maxConnections = 1024; ///< threads of the HTTP server
    int64_t m_maxQueuedConnections = 256;
    int64_t m_maxBodyBytes = 512 * 1024;
    int64_t m_claimPartitions = 2;
    Duration m_readTimeout = seconds(5); ///< headers and body of a caller
    Duration m_writeTimeout = seconds(5); ///< one write to a caller
    Duration m_drainDelay = seconds(5); ///< from unreadiness to the closed listener
    Duration m_drainLimit = seconds(60); ///< longest wait for accepted requests

    bool operator==(const Settings &) const = default;
};

std::optional<Settings> parseSettings(const nlohmann::json &value, const std::string &file, Findings &findings);

} // namespace Medlarramp
