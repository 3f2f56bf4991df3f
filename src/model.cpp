#include "model.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>

#include <fmt/format.h>

namespace Medlarramp {

namespace {

/** Names of an enum in its order. */
template<typename Enum, size_t Count>
struct EnumNames {
    std::array<std::string_view, Count> m_names;
};

constexpr EnumNames<StageKind, 3> StageKindNames{{"infer", "generate", "call"}};
constexpr EnumNames<UpstreamKind, 3> UpstreamKindNames{{"model_engine", "stage_pool", "plain_service"}};
constexpr EnumNames<RequestClass, 2> RequestClassNames{{"urgent", "batch"}};
constexpr EnumNames<AdminRole, 3> AdminRoleNames{{"read", "edit_organisation", "edit_all"}};

template<typename Enum, size_t Count>
std::string_view nameOf(const EnumNames<Enum, Count> &names, Enum value)
{
    return names.m_names.at(static_cast<size_t>(value));
}

template<typename Enum, size_t Count>
void readEnum(ObjectReader &reader, const char *name, const EnumNames<Enum, Count> &names, Enum &value, bool required)
{
    std::string text;
    const size_t before = reader.m_findings->size();
    readString(reader, name, text, required);
    if (reader.m_findings->size() != before || !reader.m_object->contains(name)) {
        return;
    }
    const auto found = std::find(names.m_names.begin(), names.m_names.end(), text);
    if (found == names.m_names.end()) {
        addFinding(reader, name, fmt::format("must be one of {}", fmt::join(names.m_names, ", ")));
        return;
    }
    value = static_cast<Enum>(found - names.m_names.begin());
}

bool isName(std::string_view text)
{
    const auto allowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.'; };
    return !text.empty() && text.size() <= MaxNameLength && std::all_of(text.begin(), text.end(), allowed);
}

void readName(ObjectReader &reader, const char *name, std::string &value, bool required)
{
    readString(reader, name, value, required);
    if (!value.empty() && !isName(value)) {
        addFinding(reader, name, fmt::format("must have up to {} of a-z, 0-9, '-', '_', '.'", MaxNameLength));
    }
}

void readAddress(ObjectReader &reader, const char *name, Address &value)
{
    std::string text;
    readString(reader, name, text);
    if (text.empty()) {
        return;
    }
    if (const std::optional<Address> address = parseAddress(text)) {
        value = *address;
    } else {
        addFinding(reader, name, "must be an IP number and a port, such as 127.0.0.1:8080");
    }
}

constexpr size_t MaxAddresses = 1024;

void readAddresses(ObjectReader &reader, const char *name, std::vector<Address> &value)
{
    std::vector<std::string> texts;
    readStrings(reader, name, texts, MaxAddresses);
    for (const std::string &text : texts) {
        if (const std::optional<Address> address = parseAddress(text)) {
            value.push_back(*address);
        } else {
            addFinding(reader, name, fmt::format("'{}' is not an IP number and a port", text));
        }
    }
}

int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

nlohmann::json toJson(const std::vector<Address> &addresses)
{
    nlohmann::json list = nlohmann::json::array();
    for (const Address &address : addresses) {
        list.push_back(toString(address));
    }
    return list;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Templates
//-----------------------------------------------------------------------------

bool hasNonIdempotentStage(const Template &pipeline)
{
    return std::any_of(pipeline.m_stages.begin(), pipeline.m_stages.end(), [](const Stage &stage) { return !stage.m_idempotent; });
}

namespace {

constexpr int64_t MaxAttemptsLimit = 5;
constexpr size_t MaxPromptLength = 16 * 1024; ///< bytes

void checkStageKind(ObjectReader &reader, const Stage &stage)
{
    if (stage.m_kind == StageKind::Call && (stage.m_path.empty() || stage.m_path.front() != '/')) {
        addFinding(reader, "path", "must begin with '/' for a stage of kind call");
    }
    if (stage.m_kind != StageKind::Call && stage.m_model.empty()) {
        addFinding(reader, "model", "is missing");
    }
    if (stage.m_kind != StageKind::Generate && !stage.m_prompt.empty()) {
        addFinding(reader, "prompt", "is only for a stage of kind generate");
    }
}

Stage parseStage(const nlohmann::json &value, const std::string &file, const std::string &pointer, Findings &findings)
{
    Stage stage;
    ObjectReader reader = readObject(value, file, pointer, findings);
    readName(reader, "name", stage.m_name, true);
    readEnum(reader, "kind", StageKindNames, stage.m_kind, true);
    readName(reader, "pool", stage.m_pool, true);
    readString(reader, "model", stage.m_model, false, MaxNameLength);
    readString(reader, "path", stage.m_path);
    readString(reader, "prompt", stage.m_prompt, false, MaxPromptLength);
    readBool(reader, "idempotent", stage.m_idempotent);
    readBool(reader, "required", stage.m_required);
    readStrings(reader, "inputs", stage.m_inputs, MaxStages);
    readNumber(reader, "deadline_share", stage.m_deadlineShare, 0, 1);
    readInteger(reader, "max_attempts", stage.m_maxAttempts, 1, MaxAttemptsLimit);
    readInteger(reader, "max_output_tokens", stage.m_maxOutputTokens, 1, MaxOutputTokensLimit);
    finishObject(reader);
    checkStageKind(reader, stage);
    if (stage.m_inputs.empty()) {
        stage.m_inputs = {"request"};
    }
    return stage;
}

void checkStages(ObjectReader &reader, const std::vector<Stage> &stages)
{
    std::set<std::string> earlier = {"request"};
    double share = 0;
    for (size_t i = 0; i < stages.size(); ++i) {
        const Stage &stage = stages[i];
        const std::string place = fmt::format("stages/{}", i);
        for (const std::string &input : stage.m_inputs) {
            if (!earlier.contains(input)) {
                reader.m_findings->push_back({reader.m_file,
                                              fmt::format("{}/{}/inputs", reader.m_pointer, place),
                                              fmt::format("'{}' is not an earlier stage", input)});
            }
        }
        if (!earlier.insert(stage.m_name).second) {
            reader.m_findings->push_back({reader.m_file, fmt::format("{}/{}/name", reader.m_pointer, place), "is used twice or reserved"});
        }
        share += stage.m_deadlineShare;
    }
    if (share > 1.0 + 1e-9) {
        addFinding(reader, "stages", "the deadline shares add up to more than 1");
    }
}

} // namespace

std::optional<Template> parseTemplate(const nlohmann::json &value, const std::string &file, Findings &findings, const std::string &pointer)
{
    const size_t before = findings.size();
    Template pipeline;
    ObjectReader reader = readObject(value, file, pointer, findings);
    readName(reader, "name", pipeline.m_name, true);
    readMilliseconds(reader, "default_deadline_ms", pipeline.m_defaultDeadline, milliseconds(1), MaxDeadline);
    readMilliseconds(reader, "max_deadline_ms", pipeline.m_maxDeadline, milliseconds(1), MaxDeadline);
    readMilliseconds(reader, "batch_deadline_ms", pipeline.m_batchDeadline, milliseconds(1), MaxDeadline);
    readArray(reader, "stages", true, MaxStages, [&](const nlohmann::json &element, const std::string &place) {
        pipeline.m_stages.push_back(parseStage(element, file, place, findings));
    });
    if (pipeline.m_stages.size() < MinStages) {
        addFinding(reader, "stages", fmt::format("must have {} to {} stages", MinStages, MaxStages));
    }
    if (pipeline.m_defaultDeadline > pipeline.m_maxDeadline) {
        addFinding(reader, "default_deadline_ms", "is above max_deadline_ms");
    }
    checkStages(reader, pipeline.m_stages);
    finishObject(reader);
    if (findings.size() != before) {
        return std::nullopt;
    }
    return pipeline;
}

nlohmann::json toJson(const Template &pipeline)
{
    nlohmann::json stages = nlohmann::json::array();
    for (const Stage &stage : pipeline.m_stages) {
        nlohmann::json entry = {{"name", stage.m_name},
                                {"kind", nameOf(StageKindNames, stage.m_kind)},
                                {"pool", stage.m_pool},
                                {"idempotent", stage.m_idempotent},
                                {"required", stage.m_required},
                                {"inputs", stage.m_inputs},
                                {"deadline_share", stage.m_deadlineShare},
                                {"max_attempts", stage.m_maxAttempts},
                                {"max_output_tokens", stage.m_maxOutputTokens}};
        if (!stage.m_model.empty()) {
            entry["model"] = stage.m_model;
        }
        if (!stage.m_path.empty()) {
            entry["path"] = stage.m_path;
        }
        if (!stage.m_prompt.empty()) {
            entry["prompt"] = stage.m_prompt;
        }
        stages.push_back(std::move(entry));
    }
    return {{"name", pipeline.m_name},
            {"default_deadline_ms", toMilliseconds(pipeline.m_defaultDeadline)},
            {"max_deadline_ms", toMilliseconds(pipeline.m_maxDeadline)},
            {"batch_deadline_ms", toMilliseconds(pipeline.m_batchDeadline)},
            {"stages", std::move(stages)}};
}

//-----------------------------------------------------------------------------
// [SECTION] Organisations
//-----------------------------------------------------------------------------

namespace {

constexpr double MaxWeight = 1000;
constexpr double MaxRequestsPerSecond = 100'000;
constexpr int64_t MaxBurst = 100'000;
constexpr int64_t MaxConcurrentLimit = 100'000;
constexpr int64_t MaxBatchJobsLimit = 10'000'000;
constexpr size_t MaxKeys = 16;
constexpr size_t DigestLength = 64; ///< hexadecimal digits of SHA-256

bool isDigest(const std::string &text)
{
    return text.size() == DigestLength && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

StageOverride parseOverride(const nlohmann::json &value, const std::string &file, const std::string &pointer, Findings &findings)
{
    StageOverride result;
    ObjectReader reader = readObject(value, file, pointer, findings);
    readName(reader, "template", result.m_template, true);
    readName(reader, "stage", result.m_stage, true);
    readString(reader, "model", result.m_model, false, MaxNameLength);
    readString(reader, "prompt", result.m_prompt, false, MaxPromptLength);
    finishObject(reader);
    return result;
}

} // namespace

std::optional<Organisation>
parseOrganisation(const nlohmann::json &value, const std::string &file, Findings &findings, const std::string &pointer)
{
    const size_t before = findings.size();
    Organisation organisation;
    ObjectReader reader = readObject(value, file, pointer, findings);
    readName(reader, "name", organisation.m_name, true);
    readStrings(reader, "key_digests", organisation.m_keyDigests, MaxKeys);
    readStrings(reader, "templates", organisation.m_templates);
    readNumber(reader, "weight", organisation.m_weight, 1e-3, MaxWeight);
    readNumber(reader, "requests_per_second", organisation.m_requestsPerSecond, 0, MaxRequestsPerSecond);
    readInteger(reader, "burst", organisation.m_burst, 1, MaxBurst);
    readInteger(reader, "max_concurrent", organisation.m_maxConcurrent, 0, MaxConcurrentLimit);
    readInteger(reader, "max_batch_jobs", organisation.m_maxBatchJobs, 0, MaxBatchJobsLimit);
    readArray(reader, "overrides", false, 256, [&](const nlohmann::json &element, const std::string &place) {
        organisation.m_overrides.push_back(parseOverride(element, file, place, findings));
    });
    finishObject(reader);
    for (const std::string &digest : organisation.m_keyDigests) {
        if (!isDigest(digest)) {
            addFinding(reader, "key_digests", "must be SHA-256 digests, 64 hexadecimal digits each");
        }
    }
    if (findings.size() != before) {
        return std::nullopt;
    }
    return organisation;
}

nlohmann::json toJson(const Organisation &organisation)
{
    nlohmann::json overrides = nlohmann::json::array();
    for (const StageOverride &entry : organisation.m_overrides) {
        overrides.push_back(
            {{"template", entry.m_template}, {"stage", entry.m_stage}, {"model", entry.m_model}, {"prompt", entry.m_prompt}});
    }
    return {{"name", organisation.m_name},
            {"key_digests", organisation.m_keyDigests},
            {"templates", organisation.m_templates},
            {"weight", organisation.m_weight},
            {"requests_per_second", organisation.m_requestsPerSecond},
            {"burst", organisation.m_burst},
            {"max_concurrent", organisation.m_maxConcurrent},
            {"max_batch_jobs", organisation.m_maxBatchJobs},
            {"overrides", std::move(overrides)}};
}

//-----------------------------------------------------------------------------
// [SECTION] Upstreams
//-----------------------------------------------------------------------------

std::string toString(const Address &address)
{
    return fmt::format("{}:{}", address.m_host, address.m_port);
}

namespace {

bool isIpNumber(std::string_view host)
{
    int octets = 0;
    while (!host.empty()) {
        const size_t dot = host.find('.');
        const std::string_view part = host.substr(0, dot);
        int octet = -1;
        const auto result = std::from_chars(part.data(), part.data() + part.size(), octet);
        if (result.ec != std::errc() || result.ptr != part.data() + part.size() || octet < 0 || octet > 255) {
            return false;
        }
        ++octets;
        host = dot == std::string_view::npos ? std::string_view() : host.substr(dot + 1);
    }
    return octets == 4;
}

} // namespace

std::optional<Address> parseAddress(std::string_view text)
{
    constexpr int MaxPort = 65535;
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || !isIpNumber(text.substr(0, colon))) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(colon + 1);
    int port = 0;
    const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (result.ec != std::errc() || result.ptr != digits.data() + digits.size() || port < 1 || port > MaxPort) {
        return std::nullopt;
    }
    return Address{std::string(text.substr(0, colon)), port};
}

namespace {

constexpr int64_t MaxReplicaLimit = 10'000;
constexpr int64_t MinHttpError = 400;
constexpr int64_t MaxHttpError = 599;
constexpr size_t MaxStatuses = 16;

void readStatuses(ObjectReader &reader, std::vector<int64_t> &statuses)
{
    if (!reader.m_object->contains("not_accepted_statuses")) {
        member(reader, "not_accepted_statuses", false);
        return;
    }
    statuses.clear();
    readArray(reader, "not_accepted_statuses", false, MaxStatuses, [&](const nlohmann::json &element, const std::string &pointer) {
        if (!element.is_number_integer() || element < MinHttpError || element > MaxHttpError) {
            reader.m_findings->push_back({reader.m_file, pointer, "must be an HTTP status from 400 to 599"});
            return;
        }
        statuses.push_back(element.get<int64_t>());
    });
}

} // namespace

std::optional<Upstream> parseUpstream(const nlohmann::json &value, const std::string &file, Findings &findings, const std::string &pointer)
{
    const size_t before = findings.size();
    Upstream upstream;
    ObjectReader reader = readObject(value, file, pointer, findings);
    readName(reader, "name", upstream.m_name, true);
    readEnum(reader, "kind", UpstreamKindNames, upstream.m_kind, true);
    readStrings(reader, "models", upstream.m_models);
    readAddresses(reader, "replicas", upstream.m_replicas);
    readStatuses(reader, upstream.m_notAcceptedStatuses);
    readBool(reader, "refuses_repeats", upstream.m_refusesRepeats);
    readBool(reader, "checks_fencing", upstream.m_checksFencing);
    readBool(reader, "checks_sender", upstream.m_checksSender);
    readBool(reader, "reports_load", upstream.m_reportsLoad);
    readBool(reader, "resumes_streams", upstream.m_resumesStreams);
    readInteger(reader, "initial_limit", upstream.m_initialLimit, 1, MaxReplicaLimit);
    readInteger(reader, "max_limit", upstream.m_maxLimit, 1, MaxReplicaLimit);
    finishObject(reader);
    if (upstream.m_initialLimit > upstream.m_maxLimit) {
        addFinding(reader, "initial_limit", "is above max_limit");
    }
    if (findings.size() != before) {
        return std::nullopt;
    }
    return upstream;
}

nlohmann::json toJson(const Upstream &upstream)
{
    return {{"name", upstream.m_name},
            {"kind", nameOf(UpstreamKindNames, upstream.m_kind)},
            {"models", upstream.m_models},
            {"replicas", toJson(upstream.m_replicas)},
            {"not_accepted_statuses", upstream.m_notAcceptedStatuses},
            {"refuses_repeats", upstream.m_refusesRepeats},
            {"checks_fencing", upstream.m_checksFencing},
            {"checks_sender", upstream.m_checksSender},
            {"reports_load", upstream.m_reportsLoad},
            {"resumes_streams", upstream.m_resumesStreams},
            {"initial_limit", upstream.m_initialLimit},
            {"max_limit", upstream.m_maxLimit}};
}

//-----------------------------------------------------------------------------
// [SECTION] Configuration
//-----------------------------------------------------------------------------

std::string_view toString(ObjectKind kind)
{
    constexpr std::array<std::string_view, 3> Names = {"template", "organisation", "upstream"};
    return Names.at(static_cast<size_t>(kind));
}

std::optional<ObjectKind> parseObjectKind(std::string_view name)
{
    for (const ObjectKind kind : {ObjectKind::Template, ObjectKind::Organisation, ObjectKind::Upstream}) {
        const std::string_view singular = toString(kind);
        if (name == singular || name == fmt::format("{}s", singular)) {
            return kind;
        }
    }
    return std::nullopt;
}

namespace {

/** Findings of a configuration name the object as file: "template/restock". */
std::string objectFile(ObjectKind kind, const std::string &name)
{
    return fmt::format("{}/{}", toString(kind), name);
}

bool kindsMatch(StageKind stage, UpstreamKind upstream)
{
    switch (stage) {
    case StageKind::Infer:
        return upstream == UpstreamKind::StagePool;
    case StageKind::Generate:
        return upstream == UpstreamKind::ModelEngine;
    case StageKind::Call:
        return upstream == UpstreamKind::PlainService;
    }
    return false;
}

bool servesModel(const Upstream &upstream, const std::string &model)
{
    const std::vector<std::string> &models = upstream.m_models;
    return models.empty() || std::find(models.begin(), models.end(), model) != models.end();
}

void validateStage(const Configuration &configuration, const std::string &file, size_t index, const Stage &stage, Findings &findings)
{
    const std::string pointer = fmt::format("/stages/{}", index);
    const auto upstream = configuration.m_upstreams.find(stage.m_pool);
    if (upstream == configuration.m_upstreams.end()) {
        findings.push_back({file, pointer + "/pool", fmt::format("there is no upstream '{}'", stage.m_pool)});
        return;
    }
    if (!kindsMatch(stage.m_kind, upstream->second->m_kind)) {
        findings.push_back({file, pointer + "/kind", fmt::format("upstream '{}' is of another kind", stage.m_pool)});
    }
    if (!stage.m_model.empty() && !servesModel(*upstream->second, stage.m_model)) {
        findings.push_back({file, pointer + "/model", fmt::format("upstream '{}' does not serve '{}'", stage.m_pool, stage.m_model)});
    }
}

const Stage *findStage(const Template &pipeline, const std::string &name)
{
    for (const Stage &stage : pipeline.m_stages) {
        if (stage.m_name == name) {
            return &stage;
        }
    }
    return nullptr;
}

void validateOverride(const Configuration &configuration,
                      const std::string &file,
                      size_t index,
                      const StageOverride &entry,
                      Findings &findings)
{
    const std::string pointer = fmt::format("/overrides/{}", index);
    const auto pipeline = configuration.m_templates.find(entry.m_template);
    if (pipeline == configuration.m_templates.end()) {
        findings.push_back({file, pointer + "/template", fmt::format("there is no template '{}'", entry.m_template)});
        return;
    }
    const Stage *stage = findStage(*pipeline->second, entry.m_stage);
    if (!stage) {
        findings.push_back({file, pointer + "/stage", fmt::format("there is no stage '{}'", entry.m_stage)});
        return;
    }
    const auto upstream = configuration.m_upstreams.find(stage->m_pool);
    if (!entry.m_model.empty() && upstream != configuration.m_upstreams.end() && !servesModel(*upstream->second, entry.m_model)) {
        findings.push_back({file, pointer + "/model", fmt::format("upstream '{}' does not serve '{}'", stage->m_pool, entry.m_model)});
    }
}

void validateOrganisation(const Configuration &configuration,
                          const Organisation &organisation,
                          std::map<std::string, std::string> &keyOwners,
                          Findings &findings)
{
    const std::string file = objectFile(ObjectKind::Organisation, organisation.m_name);
    for (size_t i = 0; i < organisation.m_templates.size(); ++i) {
        if (!configuration.m_templates.contains(organisation.m_templates[i])) {
            findings.push_back(
                {file, fmt::format("/templates/{}", i), fmt::format("there is no template '{}'", organisation.m_templates[i])});
        }
    }
    for (size_t i = 0; i < organisation.m_overrides.size(); ++i) {
        validateOverride(configuration, file, i, organisation.m_overrides[i], findings);
    }
    for (size_t i = 0; i < organisation.m_keyDigests.size(); ++i) {
        const auto [owner, added] = keyOwners.emplace(organisation.m_keyDigests[i], organisation.m_name);
        if (!added) {
            findings.push_back(
                {file, fmt::format("/key_digests/{}", i), fmt::format("the key belongs to organisation '{}'", owner->second)});
        }
    }
}

} // namespace

Findings validateConfiguration(const Configuration &configuration)
{
    Findings findings;
    for (const auto &[name, pipeline] : configuration.m_templates) {
        const std::string file = objectFile(ObjectKind::Template, name);
        for (size_t i = 0; i < pipeline->m_stages.size(); ++i) {
            validateStage(configuration, file, i, pipeline->m_stages[i], findings);
        }
    }
    std::map<std::string, std::string> keyOwners;
    for (const auto &[name, organisation] : configuration.m_organisations) {
        validateOrganisation(configuration, *organisation, keyOwners, findings);
    }
    return findings;
}

namespace {

constexpr size_t MaxBundleObjects = 100'000; ///< of one kind

/** Adds the objects of one array to a map by name. */
template<typename Objects, typename Parse>
void readObjects(ObjectReader &reader, const char *name, Objects &objects, const Parse &parse)
{
    readArray(reader, name, false, MaxBundleObjects, [&](const nlohmann::json &element, const std::string &place) {
        const auto object = parse(element, reader.m_file, *reader.m_findings, place);
        if (!object) {
            return;
        }
        if (objects.contains(object->m_name)) {
            reader.m_findings->push_back({reader.m_file, place + "/name", "is used twice"});
            return;
        }
        objects[object->m_name] = std::make_shared<const std::decay_t<decltype(*object)>>(*object);
    });
}

} // namespace

std::optional<Configuration> parseConfiguration(const nlohmann::json &value, const std::string &file, Findings &findings)
{
    const size_t before = findings.size();
    Configuration configuration;
    ObjectReader reader = readObject(value, file, "", findings);
    readObjects(reader, "templates", configuration.m_templates, parseTemplate);
    readObjects(reader, "organisations", configuration.m_organisations, parseOrganisation);
    readObjects(reader, "upstreams", configuration.m_upstreams, parseUpstream);
    finishObject(reader);
    for (const auto &[name, organisation] : configuration.m_organisations) {
        for (const std::string &digest : organisation->m_keyDigests) {
            configuration.m_organisationByKey[digest] = name;
        }
    }
    if (findings.size() == before) {
        const Findings references = validateConfiguration(configuration);
        findings.insert(findings.end(), references.begin(), references.end());
    }
    if (findings.size() != before) {
        return std::nullopt;
    }
    return configuration;
}

std::shared_ptr<const Organisation> organisationOfKey(const Configuration &configuration, std::string_view key)
{
    const auto name = configuration.m_organisationByKey.find(toHex(sha256(key)));
    if (name == configuration.m_organisationByKey.end()) {
        return nullptr;
    }
    const auto organisation = configuration.m_organisations.find(name->second);
    return organisation == configuration.m_organisations.end() ? nullptr : organisation->second;
}

Template applyOverrides(const Template &pipeline, const Organisation &organisation)
{
    Template result = pipeline;
    for (const StageOverride &entry : organisation.m_overrides) {
        if (entry.m_template != pipeline.m_name) {
            continue;
        }
        for (Stage &stage : result.m_stages) {
            if (stage.m_name != entry.m_stage) {
                continue;
            }
            stage.m_model = entry.m_model.empty() ? stage.m_model : entry.m_model;
            stage.m_prompt = entry.m_prompt.empty() ? stage.m_prompt : entry.m_prompt;
        }
    }
    return result;
}

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

std::string_view toString(RequestClass requestClass)
{
    return nameOf(RequestClassNames, requestClass);
}

std::optional<PipelineRequest> parseRequest(const nlohmann::json &value, Findings &findings)
{
    const size_t before = findings.size();
    PipelineRequest request;
    ObjectReader reader = readObject(value, "", "", findings);
    if (const nlohmann::json *input = member(reader, "input", true)) {
        if (!input->is_object() && !input->is_string()) {
            addFinding(reader, "input", "must be an object or a string");
        } else if (input->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).size() > MaxInputBytes) {
            addFinding(reader, "input", fmt::format("is larger than {} bytes", MaxInputBytes));
        } else {
            request.m_input = *input;
        }
    }
    if (reader.m_object->contains("deadline_ms")) {
        Duration deadline{};
        readMilliseconds(reader, "deadline_ms", deadline, milliseconds(1), MaxDeadline);
        request.m_deadline = deadline;
    } else {
        member(reader, "deadline_ms", false);
    }
    readEnum(reader, "class", RequestClassNames, request.m_class, false);
    readBool(reader, "stream", request.m_stream);
    finishObject(reader);
    if (findings.size() != before) {
        return std::nullopt;
    }
    return request;
}

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

absl::StatusOr<std::string> readSecret(const SecretSource &source)
{
    std::string secret;
    if (!source.m_environment.empty()) {
        const char *value = std::getenv(source.m_environment.c_str());
        if (!value) {
            return absl::NotFoundError(fmt::format("environment variable {} is not set", source.m_environment));
        }
        secret = value;
    } else {
        const std::ifstream file(source.m_file);
        if (!file) {
            return absl::NotFoundError(fmt::format("secret file {} cannot be read", source.m_file));
        }
        std::ostringstream content;
        content << file.rdbuf();
        secret = content.str();
    }
    while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r')) {
        secret.pop_back();
    }
    if (secret.empty()) {
        return absl::InvalidArgumentError("secret is empty");
    }
    return secret;
}

namespace {

void readSecretSource(ObjectReader &reader, SecretSource &source)
{
    readString(reader, "environment", source.m_environment);
    readString(reader, "file", source.m_file);
    if (source.m_environment.empty() == source.m_file.empty()) {
        addFinding(reader, "", "needs exactly one of environment and file");
    }
}

AdminKey parseAdminKey(const nlohmann::json &value, const std::string &file, const std::string &pointer, Findings &findings)
{
    AdminKey key;
    ObjectReader reader = readObject(value, file, pointer, findings);
    readName(reader, "name", key.m_name, true);
    readEnum(reader, "role", AdminRoleNames, key.m_role, true);
    readName(reader, "organisation", key.m_organisation, key.m_role == AdminRole::EditOrganisation);
    readSecretSource(reader, key.m_secret);
    finishObject(reader);
    return key;
}

PeerKey parsePeerKey(const nlohmann::json &value, const std::string &file, const std::string &pointer, Findings &findings)
{
    constexpr int64_t MaxKeyIdentifier = 255;
    PeerKey key;
    ObjectReader reader = readObject(value, file, pointer, findings);
    readInteger(reader, "identifier", key.m_identifier, 1, MaxKeyIdentifier, true);
    readSecretSource(reader, key.m_secret);
    finishObject(reader);
    return key;
}

void readLogLevel(ObjectReader &reader, LogLevel &level)
{
    std::string name;
    readString(reader, "log_level", name);
    if (name.empty()) {
        return;
    }
    if (const std::optional<LogLevel> parsed = parseLogLevel(name)) {
        level = *parsed;
    } else {
        addFinding(reader, "log_level", "must be one of debug, info, warning, error");
    }
}

constexpr size_t MaxAdminKeys = 256;
constexpr size_t MaxPeerKeys = 2;
constexpr int64_t MaxConnectionsLimit = 8192;
constexpr int64_t MaxBodyLimit = 8 * 1024 * 1024;
constexpr int64_t MaxClaimPartitions = 16;
constexpr milliseconds MaxTimeoutSetting{600'000};

void readLimits(ObjectReader &reader, Settings &settings)
{
    readInteger(reader, "max_connections", settings.m_maxConnections, 1, MaxConnectionsLimit);
    readInteger(reader, "max_queued_connections", settings.m_maxQueuedConnections, 1, MaxConnectionsLimit);
    readInteger(reader, "max_body_bytes", settings.m_maxBodyBytes, 1024, MaxBodyLimit);
    readInteger(reader, "claim_partitions", settings.m_claimPartitions, 1, MaxClaimPartitions);
    readMilliseconds(reader, "read_timeout_ms", settings.m_readTimeout, milliseconds(1), MaxTimeoutSetting);
    readMilliseconds(reader, "write_timeout_ms", settings.m_writeTimeout, milliseconds(1), MaxTimeoutSetting);
    readMilliseconds(reader, "drain_delay_ms", settings.m_drainDelay, milliseconds(0), MaxTimeoutSetting);
    readMilliseconds(reader, "drain_limit_ms", settings.m_drainLimit, milliseconds(0), MaxTimeoutSetting);
}

} // namespace

std::optional<Settings> parseSettings(const nlohmann::json &value, const std::string &file, Findings &findings)
{
    const size_t before = findings.size();
    Settings settings;
    ObjectReader reader = readObject(value, file, "", findings);
    readName(reader, "node", settings.m_node, true);
    readName(reader, "region", settings.m_region, false);
    readName(reader, "failure_domain", settings.m_failureDomain, true);
    readAddress(reader, "listen", settings.m_listen);
    readAddress(reader, "peer", settings.m_peer);
    readAddresses(reader, "seeds", settings.m_seeds);
    readAddresses(reader, "store_endpoints", settings.m_storeEndpoints);
    Address vmList;
    readAddress(reader, "vm_list", vmList);
    if (vmList.m_port != 0) {
        settings.m_vmList = vmList;
    }
    readString(reader, "vm_list_path", settings.m_vmListPath);
    readString(reader, "tls_certificate", settings.m_tlsCertificate);
    readString(reader, "tls_key", settings.m_tlsKey);
    readArray(reader, "admin_keys", false, MaxAdminKeys, [&](const nlohmann::json &element, const std::string &pointer) {
        settings.m_adminKeys.push_back(parseAdminKey(element, file, pointer, findings));
    });
    readArray(reader, "peer_keys", false, MaxPeerKeys, [&](const nlohmann::json &element, const std::string &pointer) {
        settings.m_peerKeys.push_back(parsePeerKey(element, file, pointer, findings));
    });
    readLogLevel(reader, settings.m_logLevel);
    readLimits(reader, settings);
    finishObject(reader);
    if (settings.m_tlsCertificate.empty() != settings.m_tlsKey.empty()) {
        addFinding(reader, "tls_certificate", "and tls_key must be set together");
    }
    if (settings.m_storeEndpoints.empty()) {
        addFinding(reader, "store_endpoints", "must name at least one address");
    }
    if (findings.size() != before) {
        return std::nullopt;
    }
    return settings;
}

} // namespace Medlarramp
