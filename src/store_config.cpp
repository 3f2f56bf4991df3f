#include <algorithm>
#include <cassert>
#include <charconv>

#include <fmt/format.h>

#include "store.h"

namespace Medlarramp {

//-----------------------------------------------------------------------------
// [SECTION] Configuration
//-----------------------------------------------------------------------------

std::string configKey(ObjectKind kind, std::string_view name)
{
    return fmt::format("{}{}/{}", ConfigPrefix, toString(kind), name);
}

std::optional<ConfigName> parseConfigKey(std::string_view key)
{
    if (!key.starts_with(ConfigPrefix)) {
        return std::nullopt;
    }
    key.remove_prefix(ConfigPrefix.size());
    const size_t slash = key.find('/');
    if (slash == std::string_view::npos || slash + 1 == key.size()) {
        return std::nullopt;
    }
    const std::optional<ObjectKind> kind = parseObjectKind(key.substr(0, slash));
    if (!kind || toString(*kind) != key.substr(0, slash)) {
        return std::nullopt;
    }
    return ConfigName{*kind, std::string(key.substr(slash + 1))};
}

std::string encodeRecord(const Identifier &mark, const ConfigRecord &record)
{
    nlohmann::json payload = {{"by", record.m_by}, {"at", record.m_at}};
    if (record.m_deleted) {
        payload["deleted"] = true;
    } else {
        payload["object"] = record.m_object;
    }
    return encodeMarked({mark, payload.dump()});
}

std::optional<ConfigRecord> decodeRecord(std::string_view value)
{
    const std::optional<MarkedValue> marked = decodeMarked(value);
    if (!marked) {
        return std::nullopt;
    }
    Findings findings;
    const std::optional<nlohmann::json> payload = parseJson(marked->m_payload, "", findings);
    if (!payload) {
        return std::nullopt;
    }
    ConfigRecord record;
    // Members that this version does not know are ignored, so that a newer version may add some.
    ObjectReader reader = readObject(*payload, "", "", findings);
    readString(reader, "by", record.m_by);
    readInteger(reader, "at", record.m_at, 0, INT64_MAX);
    readBool(reader, "deleted", record.m_deleted);
    const nlohmann::json *object = member(reader, "object", false);
    if (!findings.empty() || (!object && !record.m_deleted)) {
        return std::nullopt;
    }
    if (object && !record.m_deleted) {
        record.m_object = *object;
    }
    return record;
}

namespace {

constexpr std::string_view ChangeFormat = "c1 ";
constexpr std::string_view BatchFormat = "b1 ";

/** Reads the fields of a serialised change or batch. */
struct FieldReader {
    std::string_view m_rest;
    bool m_ok = true;
};

void skip(FieldReader &reader, std::string_view expected)
{
    reader.m_ok = reader.m_ok && reader.m_rest.starts_with(expected);
    if (reader.m_ok) {
        reader.m_rest.remove_prefix(expected.size());
    }
}

int64_t readNumber(FieldReader &reader, std::string_view terminator)
{
    int64_t number = 0;
    const auto [end, error] = std::from_chars(reader.m_rest.data(), reader.m_rest.data() + reader.m_rest.size(), number);
    reader.m_ok = reader.m_ok && error == std::errc() && number >= 0;
    if (reader.m_ok) {
        reader.m_rest.remove_prefix(static_cast<size_t>(end - reader.m_rest.data()));
    }
    skip(reader, terminator);
    return reader.m_ok ? number : 0;
}

std::string readBytes(FieldReader &reader)
{
    const auto length = static_cast<size_t>(readNumber(reader, ":"));
    reader.m_ok = reader.m_ok && length <= reader.m_rest.size();
    if (!reader.m_ok) {
        return {};
    }
    std::string bytes(reader.m_rest.substr(0, length));
    reader.m_rest.remove_prefix(length);
    return bytes;
}

ConfigChange readChange(FieldReader &reader)
{
    ConfigChange change;
    skip(reader, ChangeFormat);
    change.m_revision = readNumber(reader, " ");
    change.m_key = readBytes(reader);
    change.m_value = readBytes(reader);
    return change;
}

} // namespace

std::string serializeChange(const ConfigChange &change)
{
    return fmt::format(
        "{}{} {}:{}{}:{}", ChangeFormat, change.m_revision, change.m_key.size(), change.m_key, change.m_value.size(), change.m_value);
}

absl::StatusOr<ConfigChange> parseChange(std::string_view text)
{
    FieldReader reader{text};
    ConfigChange change = readChange(reader);
    if (!reader.m_ok || !reader.m_rest.empty()) {
        return absl::InvalidArgumentError("malformed configuration change");
    }
    return change;
}

std::string serializeBatch(const ConfigBatch &batch)
{
    std::string text = fmt::format("{}{} {} {} {} ", BatchFormat, batch.m_from, batch.m_to, batch.m_next, batch.m_changes.size());
    for (const ConfigChange &change : batch.m_changes) {
        text += serializeChange(change);
    }
    return text;
}

absl::StatusOr<ConfigBatch> parseBatch(std::string_view text)
{
    FieldReader reader{text};
    ConfigBatch batch;
    skip(reader, BatchFormat);
    batch.m_from = readNumber(reader, " ");
    batch.m_to = readNumber(reader, " ");
    batch.m_next = readNumber(reader, " ");
    const auto count = static_cast<size_t>(readNumber(reader, " "));
    if (count > MaxBatchChanges || batch.m_to < batch.m_from) {
        return absl::InvalidArgumentError("configuration batch out of bounds");
    }
    for (size_t i = 0; i < count && reader.m_ok; ++i) {
        batch.m_changes.push_back(readChange(reader));
    }
    if (!reader.m_ok || !reader.m_rest.empty()) {
        return absl::InvalidArgumentError("malformed configuration batch");
    }
    return batch;
}

namespace {

std::set<std::string> templatesOf(const Organisation &organisation)
{
    std::set<std::string> names(organisation.m_templates.begin(), organisation.m_templates.end());
    for (const StageOverride &entry : organisation.m_overrides) {
        names.insert(entry.m_template);
    }
    return names;
}

void indexTemplates(ConfigState &state, const Organisation &organisation)
{
    for (const std::string &name : templatesOf(organisation)) {
        state.m_organisationsByTemplate[name].insert(organisation.m_name);
    }
}

void unindexTemplates(ConfigState &state, const Organisation &organisation)
{
    for (const std::string &name : templatesOf(organisation)) {
        const auto users = state.m_organisationsByTemplate.find(name);
        if (users == state.m_organisationsByTemplate.end()) {
            continue;
        }
        users->second.erase(organisation.m_name);
        if (users->second.empty()) {
            state.m_organisationsByTemplate.erase(users);
        }
    }
}

int64_t revisionOf(const ConfigState &state, ObjectKind kind, const std::string &name)
{
    const auto entry = state.m_entries.find(configKey(kind, name));
    return entry == state.m_entries.end() ? 0 : entry->second.m_revision;
}

void removeKeys(ConfigState &state, const Organisation &organisation)
{
    SharedMap<std::string> &owners = state.m_configuration.m_organisationByKey;
    for (const std::string &digest : organisation.m_keyDigests) {
        const auto owner = owners.find(digest);
        if (owner != owners.end() && owner->second == organisation.m_name) {
            owners.erase(digest);
        }
    }
}

/**
 * A key that moved from one organisation to another belongs to the one with the higher revision, in whatever order the
 * two changes arrive.
 */
void addKeys(ConfigState &state, const Organisation &organisation, int64_t revision)
{
    SharedMap<std::string> &owners = state.m_configuration.m_organisationByKey;
    for (const std::string &digest : organisation.m_keyDigests) {
        const auto owner = owners.find(digest);
        if (owner != owners.end() && revisionOf(state, ObjectKind::Organisation, owner->second) > revision) {
            continue;
        }
        owners.insert_or_assign(digest, organisation.m_name);
    }
}

void removeObject(ConfigState &state, const ConfigName &name)
{
    Configuration &configuration = state.m_configuration;
    switch (name.m_kind) {
    case ObjectKind::Template:
        configuration.m_templates.erase(name.m_name);
        return;
    case ObjectKind::Upstream:
        configuration.m_upstreams.erase(name.m_name);
        return;
    case ObjectKind::Organisation:
        break;
    }
    const auto previous = configuration.m_organisations.find(name.m_name);
    if (previous == configuration.m_organisations.end()) {
        return;
    }
    removeKeys(state, *previous->second);
    unindexTemplates(state, *previous->second);
    configuration.m_organisations.erase(name.m_name);
}

/** The parsed object of exactly one kind. */
struct ParsedObject {
    std::shared_ptr<const Template> m_template;
    std::shared_ptr<const Organisation> m_organisation;
    std::shared_ptr<const Upstream> m_upstream;
};

template<typename T>
std::shared_ptr<const T> shareNamed(std::optional<T> value, const std::string &name, Findings &findings)
{
    if (value && value->m_name != name) {
        findings.push_back({"", "/name", fmt::format("does not match '{}'", name)});
    }
    return value ? std::make_shared<const T>(std::move(*value)) : nullptr;
}

std::optional<ParsedObject> parseObject(const ConfigName &name, const nlohmann::json &value, Findings &findings)
{
    const size_t before = findings.size();
    ParsedObject object;
    switch (name.m_kind) {
    case ObjectKind::Template:
        object.m_template = shareNamed(parseTemplate(value, "", findings), name.m_name, findings);
        break;
    case ObjectKind::Organisation:
        object.m_organisation = shareNamed(parseOrganisation(value, "", findings), name.m_name, findings);
        break;
    case ObjectKind::Upstream:
        object.m_upstream = shareNamed(parseUpstream(value, "", findings), name.m_name, findings);
        break;
    }
    return findings.size() == before ? std::optional<ParsedObject>(std::move(object)) : std::nullopt;
}

void putObject(ConfigState &state, const ConfigName &name, const ParsedObject &object, int64_t revision)
{
    Configuration &configuration = state.m_configuration;
    switch (name.m_kind) {
    case ObjectKind::Template:
        configuration.m_templates[name.m_name] = object.m_template;
        return;
    case ObjectKind::Upstream:
        configuration.m_upstreams[name.m_name] = object.m_upstream;
        return;
    case ObjectKind::Organisation:
        break;
    }
    removeObject(state, name);
    configuration.m_organisations.insert_or_assign(name.m_name, object.m_organisation);
    addKeys(state, *object.m_organisation, revision);
    indexTemplates(state, *object.m_organisation);
}

void interpret(ConfigState &state, const ConfigName &name, const ConfigChange &change, ConfigEntry &entry)
{
    const std::optional<ConfigRecord> record = decodeRecord(change.m_value);
    entry.m_deleted = record && record->m_deleted;
    if (entry.m_deleted) {
        removeObject(state, name);
        return;
    }
    Findings findings;
    const std::optional<ParsedObject> object = record ? parseObject(name, record->m_object, findings) : std::nullopt;
    if (!object) {
        ++state.m_malformed;
        writeLog(LogLevel::Warning,
                 "store",
                 "a configuration object is malformed, its last version stays in force",
                 {{"key", change.m_key}, {"revision", std::to_string(change.m_revision)}, {"findings", std::to_string(findings.size())}});
        return;
    }
    putObject(state, name, *object, change.m_revision);
}

} // namespace

bool applyChange(ConfigState &state, const ConfigChange &change)
{
    const std::optional<ConfigName> name = parseConfigKey(change.m_key);
    if (!name || change.m_revision <= 0) {
        ++state.m_malformed;
        return false;
    }
    const auto [position, added] = state.m_entries.try_emplace(change.m_key);
    ConfigEntry &entry = position->second;
    if (!added && entry.m_revision >= change.m_revision) {
        ++state.m_outdated;
        return false;
    }
    state.m_log.erase({entry.m_revision, position->first});
    state.m_log.emplace(change.m_revision, position->first);
    entry.m_revision = change.m_revision;
    entry.m_value = change.m_value;
    interpret(state, *name, change, entry);
    ++state.m_applied;
    return true;
}

bool applyBatch(ConfigState &state, const ConfigBatch &batch)
{
    bool changed = false;
    for (const ConfigChange &change : batch.m_changes) {
        changed = applyChange(state, change) || changed;
    }
    if (state.m_cursor >= batch.m_from && batch.m_to > state.m_cursor) {
        state.m_cursor = batch.m_to;
        state.m_configuration.m_revision = batch.m_to;
    }
    return changed;
}

std::shared_ptr<const Configuration> buildConfiguration(const ConfigState &state)
{
    return std::make_shared<const Configuration>(state.m_configuration);
}

ConfigBatch changesSince(const ConfigState &state, int64_t cursor, int64_t after, size_t maxBytes)
{
    ConfigBatch batch;
    batch.m_from = cursor;
    size_t bytes = 0;
    int64_t last = std::max(cursor, after);
    for (auto position = state.m_log.lower_bound({last + 1, std::string_view()}); position != state.m_log.end(); ++position) {
        const auto &[revision, key] = *position;
        const ConfigEntry &entry = state.m_entries.find(key)->second;
        bytes += key.size() + entry.m_value.size();
        const bool full = bytes > maxBytes || batch.m_changes.size() >= MaxBatchChanges;
        // Objects of one revision stay in one part, because the next part starts above that revision.
        if (full && !batch.m_changes.empty() && revision != last) {
            batch.m_to = cursor;
            batch.m_next = last;
            return batch;
        }
        batch.m_changes.push_back({std::string(key), revision, entry.m_value});
        last = revision;
    }
    // Objects above the own cursor were sent too: one of them may hide an older change that the cursor covers.
    batch.m_to = std::max(cursor, state.m_cursor);
    return batch;
}

ConfigBatch toBatch(int64_t from, const WatchBatch &events)
{
    ConfigBatch batch;
    batch.m_from = from;
    batch.m_to = std::max(from, events.m_revision);
    for (const WatchEvent &event : events.m_events) {
        // Objects end with a tombstone, so a deleted key was not deleted through the administration API; it stays.
        if (event.m_kind == OperationKind::Put) {
            batch.m_changes.push_back({event.m_entry.m_key, event.m_entry.m_modRevision, event.m_entry.m_value});
        }
    }
    return batch;
}

namespace {

void addEntries(ConfigBatch &batch, RangeAnswer &&answer)
{
    for (KeyValue &entry : answer.m_entries) {
        batch.m_changes.push_back({std::move(entry.m_key), entry.m_modRevision, std::move(entry.m_value)});
    }
}

} // namespace

absl::StatusOr<ConfigBatch> readConfiguration(const Store &store, int64_t cursor, StorePurpose purpose)
{
    RangeRequest request = prefixRange(purpose, std::string(ConfigPrefix));
    request.m_minModRevision = cursor > 0 ? cursor + 1 : 0;
    request.m_limit = ReadPageSize;
    ConfigBatch batch;
    batch.m_from = cursor;
    while (true) {
        absl::StatusOr<RangeAnswer> answer = store.m_range(request);
        if (!answer.ok()) {
            return answer.status();
        }
        if (request.m_revision == 0) {
            request.m_revision = answer->m_revision;
            batch.m_to = answer->m_revision;
        }
        if (batch.m_to < cursor) {
            return absl::FailedPreconditionError(
                fmt::format("the store answers with revision {}, below the cursor {}", batch.m_to, cursor));
        }
        const bool more = answer->m_more && !answer->m_entries.empty();
        if (more) {
            request.m_key = answer->m_entries.back().m_key + '\0';
        }
        addEntries(batch, std::move(*answer));
        if (!more) {
            return batch;
        }
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Edits
//-----------------------------------------------------------------------------

namespace {

/** The part of a configuration that an edit concerns. */
Configuration partFor(const ConfigState &state, const std::set<std::string> &organisations)
{
    Configuration part;
    part.m_templates = state.m_configuration.m_templates;
    part.m_upstreams = state.m_configuration.m_upstreams;
    for (const std::string &name : organisations) {
        const auto organisation = state.m_configuration.m_organisations.find(name);
        if (organisation != state.m_configuration.m_organisations.end()) {
            part.m_organisations.emplace(name, organisation->second);
        }
    }
    return part;
}

std::set<std::string> organisationsConcerned(const ConfigState &state, const ConfigName &name)
{
    std::set<std::string> concerned;
    const auto addUsersOf = [&](const std::string &pipeline) {
        const auto users = state.m_organisationsByTemplate.find(pipeline);
        if (users != state.m_organisationsByTemplate.end()) {
            concerned.insert(users->second.begin(), users->second.end());
        }
    };
    switch (name.m_kind) {
    case ObjectKind::Organisation:
        concerned.insert(name.m_name);
        break;
    case ObjectKind::Template:
        addUsersOf(name.m_name);
        break;
    case ObjectKind::Upstream:
        for (const auto &[pipeline, value] : state.m_configuration.m_templates) {
            const auto &stages = value->m_stages;
            if (std::any_of(stages.begin(), stages.end(), [&](const Stage &stage) { return stage.m_pool == name.m_name; })) {
                addUsersOf(pipeline);
            }
        }
        break;
    }
    return concerned;
}

void setObject(Configuration &part, const ConfigName &name, const std::optional<ParsedObject> &object)
{
    switch (name.m_kind) {
    case ObjectKind::Template:
        part.m_templates.erase(name.m_name);
        if (object) {
            part.m_templates.emplace(name.m_name, object->m_template);
        }
        break;
    case ObjectKind::Organisation:
        part.m_organisations.erase(name.m_name);
        if (object) {
            part.m_organisations.emplace(name.m_name, object->m_organisation);
        }
        break;
    case ObjectKind::Upstream:
        part.m_upstreams.erase(name.m_name);
        if (object) {
            part.m_upstreams.emplace(name.m_name, object->m_upstream);
        }
        break;
    }
}

void checkKeys(const ConfigState &state, const Organisation &organisation, Findings &findings)
{
    for (size_t i = 0; i < organisation.m_keyDigests.size(); ++i) {
        const auto owner = state.m_configuration.m_organisationByKey.find(organisation.m_keyDigests[i]);
        if (owner != state.m_configuration.m_organisationByKey.end() && owner->second != organisation.m_name) {
            findings.push_back({"", fmt::format("/key_digests/{}", i), fmt::format("the key belongs to organisation '{}'", owner->second)});
        }
    }
}

/** Limits findings and says how many were left out. */
void limitFindings(Findings &findings)
{
    if (findings.size() > MaxEditFindings) {
        const size_t more = findings.size() - MaxEditFindings;
        findings.resize(MaxEditFindings);
        findings.push_back({"", "", fmt::format("{} more findings", more)});
    }
}

std::set<std::string> linesOf(const Findings &findings)
{
    std::set<std::string> lines;
    for (const Finding &finding : findings) {
        lines.insert(toString({finding}));
    }
    return lines;
}

} // namespace

Findings validateEdit(const ConfigState &state, const ConfigEdit &edit)
{
    Findings findings;
    std::optional<ParsedObject> object;
    if (edit.m_object) {
        object = parseObject(edit.m_name, *edit.m_object, findings);
        if (!object) {
            limitFindings(findings);
            return findings;
        }
    }
    if (object && object->m_organisation) {
        checkKeys(state, *object->m_organisation, findings);
    }
    Configuration part = partFor(state, organisationsConcerned(state, edit.m_name));
    const Configuration before = part;
    setObject(part, edit.m_name, object);
    const Findings after = validateConfiguration(part);
    const std::set<std::string> known = after.empty() ? std::set<std::string>() : linesOf(validateConfiguration(before));
    const std::string self = fmt::format("{}/{}", toString(edit.m_name.m_kind), edit.m_name.m_name);
    for (Finding finding : after) {
        const bool concernsSelf = finding.m_file == self;
        if (!concernsSelf && known.contains(toString({finding}))) {
            continue;
        }
        if (concernsSelf) {
            finding.m_file.clear();
        }
        findings.push_back(std::move(finding));
    }
    limitFindings(findings);
    return findings;
}

namespace {

/** What an edit is decided on: the state at one revision of the store. */
struct EditBase {
    int64_t m_cursor = 0;
    Findings m_findings;
    std::optional<ConfigChange> m_current; ///< with tombstones
    bool m_exists = false;
};

EditBase inspect(const ConfigAccess &access, const ConfigEdit &edit)
{
    EditBase base;
    access([&](const ConfigState &state) {
        const std::string key = configKey(edit.m_name.m_kind, edit.m_name.m_name);
        base.m_cursor = state.m_cursor;
        base.m_findings = validateEdit(state, edit);
        const auto entry = state.m_entries.find(key);
        if (entry != state.m_entries.end()) {
            base.m_current = ConfigChange{key, entry->second.m_revision, entry->second.m_value};
            base.m_exists = !entry->second.m_deleted;
        }
    });
    return base;
}

EditAnswer conflictAnswer(const EditBase &base)
{
    EditAnswer answer;
    answer.m_result = EditResult::Conflict;
    answer.m_reason = Reason::Conflict;
    if (base.m_exists) {
        answer.m_current = base.m_current;
        answer.m_revision = base.m_current->m_revision;
    }
    return answer;
}

/** Refusals that need no write. */
std::optional<EditAnswer> refuse(const EditBase &base, const ConfigEdit &edit)
{
    const int64_t revision = base.m_exists ? base.m_current->m_revision : 0;
    EditAnswer answer;
    if (!edit.m_object && !base.m_exists && edit.m_expectedRevision == 0) {
        answer.m_result = EditResult::NotFound;
        answer.m_reason = Reason::NotFound;
        return answer;
    }
    if (revision != edit.m_expectedRevision) {
        return conflictAnswer(base);
    }
    if (!base.m_findings.empty()) {
        answer.m_result = EditResult::Invalid;
        answer.m_reason = Reason::MalformedRequest;
        answer.m_findings = base.m_findings;
        return answer;
    }
    return std::nullopt;
}

/** Reads what the state is missing and the revision of the head key. Nothing: the store does not answer. */
absl::StatusOr<int64_t> refresh(const WriteContext &context, const ConfigAccess &access)
{
    // The head is read before the objects: a change between the two reads makes the compare fail.
    const absl::StatusOr<RangeAnswer> head = context.m_store->m_range(keyRange(StorePurpose::Administration, std::string(ConfigHeadKey)));
    if (!head.ok()) {
        return head.status();
    }
    int64_t cursor = 0;
    access([&cursor](const ConfigState &state) { cursor = state.m_cursor; });
    const absl::StatusOr<ConfigBatch> batch = readConfiguration(*context.m_store, cursor, StorePurpose::Administration);
    if (!batch.ok()) {
        return batch.status();
    }
    access([&batch](ConfigState &state) { applyBatch(state, *batch); });
    return head->m_entries.empty() ? 0 : head->m_entries.front().m_modRevision;
}

/**
 * The head key's revision by this node's own state: each change writes the head in its own transaction, so it is the
 * last change's revision. Nothing when a change is above the cursor, because others below it may be missing.
 */
std::optional<int64_t> localHead(const ConfigAccess &access)
{
    std::optional<int64_t> head;
    access([&head](const ConfigState &state) {
        const int64_t last = state.m_log.empty() ? 0 : state.m_log.rbegin()->first;
        if (last <= state.m_cursor) {
            head = last;
        }
    });
    return head;
}

MarkedWrite makeWrite(const WriteContext &context, const ConfigEdit &edit, const EditBase &base, int64_t head, std::string &value)
{
    MarkedWrite write;
    write.m_mark = makeIdentifier(*context.m_clock);
    write.m_witness = configKey(edit.m_name.m_kind, edit.m_name.m_name);
    write.m_neverDeleted = true;
    write.m_limit = EditLimit;
    const ConfigRecord record{edit.m_by, wallMilliseconds(*context.m_clock), !edit.m_object, edit.m_object.value_or(nlohmann::json())};
    value = encodeRecord(write.m_mark, record);
    write.m_transaction.m_purpose = StorePurpose::Administration;
    write.m_transaction.m_compares = {revisionEquals(write.m_witness, base.m_current ? base.m_current->m_revision : 0),
                                      revisionEquals(std::string(ConfigHeadKey), head)};
    write.m_transaction.m_operations = {putOperation(write.m_witness, value),
                                        putOperation(std::string(ConfigHeadKey), encodeMarked({write.m_mark, {}}))};
    return write;
}

EditAnswer refused(const absl::Status &status)
{
    EditAnswer answer;
    answer.m_result = EditResult::Refused;
    answer.m_reason = absl::IsResourceExhausted(status) ? Reason::StoreBudgetExhausted : Reason::StoreUnavailable;
    return answer;
}

/** The answer to an edit that was written; nothing when it has to be decided anew. */
std::optional<EditAnswer> answerWrite(const EditBase &base, const WriteAnswer &written, const std::string &key, const std::string &value)
{
    EditAnswer answer;
    answer.m_reason = written.m_reason;
    answer.m_revision = written.m_revision;
    answer.m_batch = {base.m_cursor, base.m_cursor, {{key, written.m_revision, value}}, 0};
    switch (written.m_result) {
    case WriteResult::Applied:
        answer.m_result = EditResult::Accepted;
        answer.m_batch.m_to = written.m_revision;
        return answer;
    case WriteResult::Superseded:
        // When its revision is known, the edit was accepted and has been replaced since; other changes may be missing.
        answer.m_result = written.m_revision > 0 ? EditResult::Accepted : EditResult::Unknown;
        break;
    case WriteResult::Unknown:
        answer.m_result = EditResult::Unknown;
        break;
    case WriteResult::NotApplied:
        if (written.m_reason == Reason::Conflict) {
            return std::nullopt;
        }
        answer.m_result = EditResult::Refused;
        break;
    }
    if (answer.m_result != EditResult::Accepted) {
        answer.m_batch = {};
    }
    return answer;
}

EditAnswer tooLarge()
{
    EditAnswer answer;
    answer.m_result = EditResult::Invalid;
    answer.m_reason = Reason::BodyTooLarge;
    answer.m_findings = {{"", "", "the object is too large for the store"}};
    return answer;
}

} // namespace

EditAnswer editConfiguration(const WriteContext &context, const ConfigAccess &access, const ConfigEdit &edit)
{
    for (int attempt = 0; attempt < MaxEditAttempts; ++attempt) {
        // The first attempt trusts the node's own state; the compare on the head key refuses it when that is behind.
        const bool fresh = attempt > 0;
        const std::optional<int64_t> local = fresh ? std::nullopt : localHead(access);
        if (!fresh && !local) {
            continue;
        }
        const absl::StatusOr<int64_t> head = fresh ? refresh(context, access) : absl::StatusOr<int64_t>(*local);
        if (!head.ok()) {
            return refused(head.status());
        }
        const EditBase base = inspect(access, edit);
        const std::optional<EditAnswer> refusal = refuse(base, edit);
        if (refusal && fresh) {
            return *refusal;
        }
        if (refusal) {
            continue;
        }
        std::string value;
        const MarkedWrite write = makeWrite(context, edit, base, *head, value);
        if (value.size() > MaxStoreValueBytes / 2) {
            return tooLarge();
        }
        const std::optional<EditAnswer> answer = answerWrite(base, transact(context, write), write.m_witness, value);
        if (answer) {
            access([&answer](ConfigState &state) { applyBatch(state, answer->m_batch); });
            return *answer;
        }
    }
    EditAnswer answer;
    answer.m_result = EditResult::Refused;
    answer.m_reason = Reason::Conflict;
    return answer;
}

} // namespace Medlarramp
