#include <algorithm>
#include <deque>
#include <map>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include "standins_store.h"
#include "store.h"

using namespace Medlarramp;
using nlohmann::json;

namespace {

constexpr TimePoint Start{seconds(1'000)};
constexpr int64_t StartWall = 1'700'000'000'000;

json upstreamJson(const std::string &name, const std::string &kind, const std::vector<std::string> &models)
{
    return {{"name", name}, {"kind", kind}, {"models", models}};
}

json templateJson(const std::string &name, const std::string &model = "riddle")
{
    return {{"name", name},
            {"stages",
             {{{"name", "encode"}, {"kind", "infer"}, {"pool", "encoders"}, {"model", "small"}},
              {{"name", "retrieve"}, {"kind", "infer"}, {"pool", "encoders"}, {"model", "small"}},
              {{"name", "write"}, {"kind", "generate"}, {"pool", "engines"}, {"model", model}}}}};
}

json organisationJson(const std::string &name, const std::vector<std::string> &keys = {}, const std::vector<std::string> &templates = {})
{
    json digests = json::array();
    for (const std::string &key : keys) {
        digests.push_back(toHex(sha256(key)));
    }
    return {{"name", name}, {"key_digests", digests}, {"templates", templates}};
}

ConfigChange change(ObjectKind kind, const std::string &name, int64_t revision, const json &object)
{
    ConfigRecord record{"tester", StartWall, object.is_null(), object};
    return {configKey(kind, name), revision, encodeRecord({1, static_cast<uint64_t>(revision)}, record)};
}

/** Two pools, one template and three organisations, at revisions 1 to 6. */
ConfigState smallState()
{
    ConfigState state;
    applyBatch(state,
               {0,
                6,
                {change(ObjectKind::Upstream, "encoders", 1, upstreamJson("encoders", "stage_pool", {})),
                 change(ObjectKind::Upstream, "engines", 2, upstreamJson("engines", "model_engine", {"riddle", "hint"})),
                 change(ObjectKind::Template, "pack", 3, templateJson("pack")),
                 change(ObjectKind::Organisation, "alder", 4, organisationJson("alder", {"ka"}, {"pack"})),
                 change(ObjectKind::Organisation, "birch", 5, organisationJson("birch", {"kb"})),
                 change(ObjectKind::Organisation, "cedar", 6, organisationJson("cedar", {"kc"}, {"pack"}))},
                0});
    return state;
}

ConfigEdit edit(ObjectKind kind, const std::string &name, const json &object, int64_t revision)
{
    ConfigEdit result{{kind, name}, std::nullopt, revision, "tester"};
    if (!object.is_null()) {
        result.m_object = object;
    }
    return result;
}

/** What a node means, without how it came to it. */
bool sameMeaning(const ConfigState &left, const ConfigState &right)
{
    const auto objects = [](const ConfigState &state) {
        std::map<std::string, std::pair<int64_t, std::string>> result;
        for (const auto &[key, entry] : state.m_entries) {
            result[key] = {entry.m_revision, entry.m_value};
        }
        return result;
    };
    const auto keys = [](const ConfigState &state) {
        const auto &owners = state.m_configuration.m_organisationByKey;
        return std::map<std::string, std::string>(owners.begin(), owners.end());
    };
    return objects(left) == objects(right) && keys(left) == keys(right)
        && left.m_organisationsByTemplate == right.m_organisationsByTemplate;
}

/** A store on a paused clock with one editing node. */
struct Editor {
    ConfigState m_state;

    ConfigAccess access()
    {
        return [this](const std::function<void(ConfigState &)> &use) { use(m_state); };
    }
};

struct EditStore {
    Clock m_clock;
    KeyValueState m_state;
    Store m_store;
    Random m_random{3};
    std::function<void()> m_beforeTransaction; ///< runs once, between the validation and the write of an edit

    EditStore()
    {
        pauseClock(m_clock, Start, StartWall);
        m_state.m_clock = &m_clock;
        m_store = makeLocalStore(m_state, [this](Duration duration) { advanceClock(m_clock, duration); });
        m_store.m_transact = [this, inner = m_store.m_transact](const Transaction &transaction) {
            if (const auto hook = std::exchange(m_beforeTransaction, {})) {
                hook();
            }
            return inner(transaction);
        };
    }

    WriteContext context()
    {
        WriteContext context{&m_store, &m_clock, &m_random, nullptr, nullptr, {}};
        context.m_wait = [this](Duration duration) { advanceClock(m_clock, duration); };
        return context;
    }

    EditAnswer edit(Editor &editor, const ConfigEdit &wanted)
    {
        return editConfiguration(context(), editor.access(), wanted);
    }

    void accept(Editor &editor, ObjectKind kind, const json &object)
    {
        const EditAnswer answer = edit(editor, ::edit(kind, object.at("name"), object, 0));
        CPPUNIT_ASSERT_MESSAGE(toString(answer.m_findings), answer.m_result == EditResult::Accepted);
    }

    void fill(Editor &editor)
    {
        accept(editor, ObjectKind::Upstream, upstreamJson("encoders", "stage_pool", {}));
        accept(editor, ObjectKind::Upstream, upstreamJson("engines", "model_engine", {"riddle", "hint"}));
        accept(editor, ObjectKind::Template, templateJson("pack"));
        accept(editor, ObjectKind::Organisation, organisationJson("alder", {"ka"}, {"pack"}));
    }
};

} // namespace

class ConfigTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigTest);
    CPPUNIT_TEST(sharedMapBehavesLikeAMap);
    CPPUNIT_TEST(keysAreStrict);
    CPPUNIT_TEST(oldRevisionsAreIgnored);
    CPPUNIT_TEST(tombstoneIsNotUndoneByALatePut);
    CPPUNIT_TEST(cursorNeverFallsAndNeverSkips);
    CPPUNIT_TEST(staleReadIsRefused);
    CPPUNIT_TEST(pagedReadIsOneState);
    CPPUNIT_TEST(incrementalReadCarriesOnlyChanges);
    CPPUNIT_TEST(watchEventsRaiseTheCursor);
    CPPUNIT_TEST(restartTakesThePeersState);
    CPPUNIT_TEST(partsOfATransferClaimNothing);
    CPPUNIT_TEST(changesSurviveSerialisation);
    CPPUNIT_TEST(malformedTransfersAreRefused);
    CPPUNIT_TEST(snapshotsShareUnchangedObjects);
    CPPUNIT_TEST(movedKeyHasOneOwnerInEveryOrder);
    CPPUNIT_TEST(malformedObjectKeepsTheLastVersion);
    CPPUNIT_TEST(validationCoversReferrers);
    CPPUNIT_TEST(validationIgnoresOldFindings);
    CPPUNIT_TEST(oneOfTwoEditorsWins);
    CPPUNIT_TEST(editsOfDifferentObjectsDoNotConflict);
    CPPUNIT_TEST(editsThatBreakEachOtherAreNotBothAccepted);
    CPPUNIT_TEST(editWithALostAnswerIsAcceptedOnce);
    CPPUNIT_TEST(editOfACurrentStateCostsOneCall);
    CPPUNIT_TEST(refusalNeverRestsOnAnOldState);
    CPPUNIT_TEST(editDuringAnOutageIsRefused);
    CPPUNIT_TEST(deletedObjectCanBeCreatedAgain);
    CPPUNIT_TEST(seededDeliveryNeverReverts);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a snapshot that changes with its successor, and against lost or misplaced entries.
    void sharedMapBehavesLikeAMap()
    {
        Random random{17};
        SharedMap<int> map;
        std::map<std::string, int> model;
        std::vector<std::pair<SharedMap<int>, std::map<std::string, int>>> copies;
        for (int step = 0; step < 20'000; ++step) {
            const std::string key = std::to_string(uniformBelow(random, 2'000));
            switch (uniformBelow(random, 4)) {
            case 0:
                CPPUNIT_ASSERT_EQUAL(model.erase(key), map.erase(key));
                break;
            case 1:
                CPPUNIT_ASSERT_EQUAL(model.emplace(key, step).second, map.emplace(key, step).second);
                break;
            case 2:
                model[key] = step;
                map[key] = step;
                break;
            default:
                model.insert_or_assign(key, -step);
                map.insert_or_assign(key, -step);
            }
            if (step % 1'000 == 0) {
                copies.emplace_back(map, model);
            }
        }
        copies.emplace_back(map, model);
        for (const auto &[copy, expected] : copies) {
            CPPUNIT_ASSERT_EQUAL(expected.size(), copy.size());
            CPPUNIT_ASSERT((std::map<std::string, int>(copy.begin(), copy.end()) == expected));
            CPPUNIT_ASSERT(std::is_sorted(copy.begin(), copy.end()));
        }
    }

    // Guards against objects stored under a key that no other version reads.
    void keysAreStrict()
    {
        CPPUNIT_ASSERT((parseConfigKey("config/organisation/a/b") == ConfigName{ObjectKind::Organisation, "a/b"}));
        for (const char *key : {"config/organisation/", "config/organisations/a", "config/x/a", "config/", "batch/a", ""}) {
            CPPUNIT_ASSERT(!parseConfigKey(key));
        }
    }

    // Guards against a slow peer or a stale read that reverts a change.
    void oldRevisionsAreIgnored()
    {
        ConfigState state = smallState();
        CPPUNIT_ASSERT(applyChange(state, change(ObjectKind::Organisation, "birch", 9, organisationJson("birch", {"new"}))));
        CPPUNIT_ASSERT(!applyChange(state, change(ObjectKind::Organisation, "birch", 8, organisationJson("birch", {"kb"}))));
        CPPUNIT_ASSERT(!applyChange(state, change(ObjectKind::Organisation, "birch", 9, organisationJson("birch", {"kb"}))));
        const auto configuration = buildConfiguration(state);
        CPPUNIT_ASSERT(organisationOfKey(*configuration, "new"));
        CPPUNIT_ASSERT(!organisationOfKey(*configuration, "kb"));
        CPPUNIT_ASSERT_EQUAL(uint64_t(2), state.m_outdated);
    }

    // Guards against a deleted organisation whose key works again after a late message.
    void tombstoneIsNotUndoneByALatePut()
    {
        ConfigState state = smallState();
        CPPUNIT_ASSERT(applyChange(state, change(ObjectKind::Organisation, "alder", 8, nullptr)));
        CPPUNIT_ASSERT(!applyChange(state, change(ObjectKind::Organisation, "alder", 7, organisationJson("alder", {"ka"}))));
        CPPUNIT_ASSERT(!organisationOfKey(*buildConfiguration(state), "ka"));
        // A tombstone for an object that this node never had must hold as well.
        CPPUNIT_ASSERT(applyChange(state, change(ObjectKind::Organisation, "elm", 9, nullptr)));
        CPPUNIT_ASSERT(!applyChange(state, change(ObjectKind::Organisation, "elm", 5, organisationJson("elm", {"ke"}))));
        CPPUNIT_ASSERT(!organisationOfKey(*buildConfiguration(state), "ke"));
    }

    // Guards against a cursor that claims changes which never arrived.
    void cursorNeverFallsAndNeverSkips()
    {
        ConfigState state = smallState();
        applyBatch(state, {8, 9, {change(ObjectKind::Organisation, "elm", 9, organisationJson("elm"))}, 0});
        CPPUNIT_ASSERT_EQUAL(int64_t(6), state.m_cursor);
        CPPUNIT_ASSERT(buildConfiguration(state)->m_organisations.contains("elm"));
        applyBatch(state, {6, 8, {change(ObjectKind::Organisation, "fir", 8, organisationJson("fir"))}, 0});
        CPPUNIT_ASSERT_EQUAL(int64_t(8), state.m_cursor);
        applyBatch(state, {0, 5, {}, 0});
        CPPUNIT_ASSERT_EQUAL(int64_t(8), state.m_cursor);
        CPPUNIT_ASSERT_EQUAL(int64_t(8), buildConfiguration(state)->m_revision);
    }

    // Guards against a replica of the store that lags and is believed.
    void staleReadIsRefused()
    {
        EditStore store;
        Editor editor;
        store.fill(editor);
        const int64_t cursor = editor.m_state.m_cursor;
        CPPUNIT_ASSERT(absl::IsFailedPrecondition(readConfiguration(store.m_store, cursor + 1).status()));
        CPPUNIT_ASSERT(readConfiguration(store.m_store, cursor)->m_changes.empty());
    }

    // Guards against a full read that mixes two revisions when a change arrives between its pages.
    void pagedReadIsOneState()
    {
        EditStore store;
        constexpr int Objects = 1'200;
        for (int i = 0; i < Objects; ++i) {
            Transaction transaction;
            const std::string name = fmt::format("o{:04}", i);
            transaction.m_operations = {
                putOperation(configKey(ObjectKind::Organisation, name), encodeRecord({}, {"t", 0, false, organisationJson(name)}))};
            CPPUNIT_ASSERT(store.m_store.m_transact(transaction).ok());
        }
        Store disturbed = store.m_store;
        int pages = 0;
        disturbed.m_range = [&](const RangeRequest &request) {
            auto answer = store.m_store.m_range(request);
            if (++pages == 1) {
                Transaction late;
                late.m_operations = {putOperation(configKey(ObjectKind::Organisation, "o1100"), encodeRecord({}, {"t", 0, true, {}})),
                                     putOperation(configKey(ObjectKind::Organisation, "zz"), encodeRecord({}, {"t", 0, true, {}}))};
                CPPUNIT_ASSERT(store.m_store.m_transact(late).ok());
            }
            return answer;
        };
        const auto batch = readConfiguration(disturbed, 0);
        CPPUNIT_ASSERT_EQUAL(3, pages);
        CPPUNIT_ASSERT_EQUAL(size_t(Objects), batch->m_changes.size());
        ConfigState state;
        applyBatch(state, *batch);
        CPPUNIT_ASSERT_EQUAL(size_t(Objects), state.m_configuration.m_organisations.size());
        const auto next = readConfiguration(store.m_store, state.m_cursor);
        CPPUNIT_ASSERT_EQUAL(size_t(2), next->m_changes.size());
    }

    // Guards against incremental reads that cost as much as full ones.
    void incrementalReadCarriesOnlyChanges()
    {
        EditStore store;
        Editor editor;
        store.fill(editor);
        Editor other;
        applyBatch(other.m_state, *readConfiguration(store.m_store, 0));
        store.accept(editor, ObjectKind::Organisation, organisationJson("birch"));
        const auto batch = readConfiguration(store.m_store, other.m_state.m_cursor);
        CPPUNIT_ASSERT_EQUAL(size_t(1), batch->m_changes.size());
        applyBatch(other.m_state, *batch);
        CPPUNIT_ASSERT(sameMeaning(editor.m_state, other.m_state));
    }

    // Guards against a watcher whose cursor stands still, which would make every heartbeat look behind.
    void watchEventsRaiseTheCursor()
    {
        EditStore store;
        Editor editor;
        store.fill(editor);
        ConfigState watcher;
        int64_t from = 0;
        for (int round = 0; round < 3; ++round) {
            const auto events = eventsSince(store.m_state, std::string(ConfigPrefix), from + 1);
            CPPUNIT_ASSERT(events.ok());
            const ConfigBatch batch = toBatch(from, *events);
            applyBatch(watcher, batch);
            from = batch.m_to;
            store.accept(editor, ObjectKind::Organisation, organisationJson(fmt::format("o{}", round)));
        }
        applyBatch(watcher, toBatch(from, *eventsSince(store.m_state, std::string(ConfigPrefix), from + 1)));
        CPPUNIT_ASSERT(sameMeaning(editor.m_state, watcher));
        CPPUNIT_ASSERT_EQUAL(editor.m_state.m_cursor, watcher.m_cursor);
    }

    // Guards against a node that starts during a store outage with less than its peer has, or with deleted objects.
    void restartTakesThePeersState()
    {
        ConfigState peer = smallState();
        applyBatch(peer, {6, 7, {change(ObjectKind::Organisation, "birch", 7, nullptr)}, 0});
        ConfigState started;
        const auto batch = parseBatch(serializeBatch(changesSince(peer, started.m_cursor)));
        CPPUNIT_ASSERT(batch.ok());
        applyBatch(started, *batch);
        CPPUNIT_ASSERT(sameMeaning(peer, started));
        CPPUNIT_ASSERT_EQUAL(peer.m_cursor, started.m_cursor);
        CPPUNIT_ASSERT(!applyChange(started, change(ObjectKind::Organisation, "birch", 5, organisationJson("birch", {"kb"}))));
        CPPUNIT_ASSERT(changesSince(peer, started.m_cursor).m_changes.empty());
    }

    // Guards against a transfer that broke in the middle and left a cursor that claims all of it.
    void partsOfATransferClaimNothing()
    {
        ConfigState peer = smallState();
        ConfigState behind;
        int parts = 0;
        int64_t after = 0;
        while (true) {
            const ConfigBatch batch = changesSince(peer, behind.m_cursor, after, 300);
            ++parts;
            applyBatch(behind, batch);
            after = batch.m_next;
            if (after == 0) {
                break;
            }
            CPPUNIT_ASSERT_EQUAL(int64_t(0), behind.m_cursor);
            // An object that was already sent changes during the transfer, above the cursor of the sender.
            if (parts == 1) {
                applyChange(peer, change(ObjectKind::Upstream, "encoders", 9, upstreamJson("encoders", "stage_pool", {"x"})));
            }
        }
        CPPUNIT_ASSERT(parts > 2);
        CPPUNIT_ASSERT(sameMeaning(peer, behind));
        CPPUNIT_ASSERT_EQUAL(peer.m_cursor, behind.m_cursor);
    }

    // Guards against contents that are changed by their way through peers.
    void changesSurviveSerialisation()
    {
        const ConfigChange odd{"config/organisation/a b:1", 77, std::string("\0\n:9 c1 ", 8)};
        CPPUNIT_ASSERT(*parseChange(serializeChange(odd)) == odd);
        const ConfigBatch batch{3, 80, {odd, {"k", 1, ""}}, 5};
        CPPUNIT_ASSERT(*parseBatch(serializeBatch(batch)) == batch);
        CPPUNIT_ASSERT(*parseBatch(serializeBatch({})) == ConfigBatch());
    }

    // Guards against a peer of another version or a cut message that is applied in part.
    void malformedTransfersAreRefused()
    {
        const std::string text = serializeBatch({3, 80, {{"k", 4, "value"}, {"l", 5, "value"}}, 0});
        for (size_t length = 0; length < text.size(); ++length) {
            CPPUNIT_ASSERT(!parseBatch(text.substr(0, length)).ok());
        }
        for (const char *wrong :
             {"b1 5 4 0 0 ", "b1 0 1 0 99999999 ", "b2 0 1 0 0 ", "b1 -1 1 0 0 ", "b1 0 1 0 1 c1 1 99999999999999999999:k", "c1 1 9:k"}) {
            CPPUNIT_ASSERT(!parseBatch(wrong).ok());
            CPPUNIT_ASSERT(!parseChange(wrong).ok());
        }
        ConfigState state;
        CPPUNIT_ASSERT(!applyChange(state, {"batch/group/1", 4, ""}));
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), state.m_malformed);
    }

    // Guards against one change that copies 49,000 organisations, and against a request whose snapshot changes.
    void snapshotsShareUnchangedObjects()
    {
        ConfigState state;
        ConfigBatch batch{0, 5'000, {}, 0};
        for (int i = 1; i <= 5'000; ++i) {
            const std::string name = fmt::format("o{:05}", i);
            batch.m_changes.push_back(change(ObjectKind::Organisation, name, i, organisationJson(name, {name})));
        }
        applyBatch(state, batch);
        const auto before = buildConfiguration(state);
        applyBatch(state, {5'000, 5'001, {change(ObjectKind::Organisation, "o02500", 5'001, organisationJson("o02500", {"new"}))}, 0});
        const auto after = buildConfiguration(state);
        size_t changed = 0;
        for (const auto &[name, organisation] : after->m_organisations) {
            changed += before->m_organisations.at(name) == organisation ? 0 : 1;
        }
        CPPUNIT_ASSERT_EQUAL(size_t(1), changed);
        size_t copiedChunks = 0;
        for (size_t i = 0; i < after->m_organisations.m_slots.size(); ++i) {
            copiedChunks += after->m_organisations.m_slots[i].m_chunk == before->m_organisations.m_slots[i].m_chunk ? 0 : 1;
        }
        CPPUNIT_ASSERT_EQUAL(size_t(1), copiedChunks);
        CPPUNIT_ASSERT(organisationOfKey(*before, "o02500") && !organisationOfKey(*before, "new"));
        CPPUNIT_ASSERT(!organisationOfKey(*after, "o02500") && organisationOfKey(*after, "new"));
    }

    // Guards against a key without an owner, or with the former one, after it moved and the messages changed places.
    void movedKeyHasOneOwnerInEveryOrder()
    {
        std::vector<ConfigChange> changes = {change(ObjectKind::Organisation, "alder", 1, organisationJson("alder", {"k"})),
                                             change(ObjectKind::Organisation, "alder", 2, organisationJson("alder")),
                                             change(ObjectKind::Organisation, "birch", 3, organisationJson("birch", {"k"})),
                                             change(ObjectKind::Organisation, "birch", 4, nullptr),
                                             change(ObjectKind::Organisation, "cedar", 5, organisationJson("cedar", {"k"}))};
        std::vector<size_t> order = {0, 1, 2, 3, 4};
        do {
            ConfigState state;
            for (const size_t index : order) {
                applyChange(state, changes[index]);
            }
            const auto owner = organisationOfKey(*buildConfiguration(state), "k");
            CPPUNIT_ASSERT(owner && owner->m_name == "cedar");
        } while (std::next_permutation(order.begin(), order.end()));
    }

    // Guards against a newer version's object that takes a pipeline out of service on an older node.
    void malformedObjectKeepsTheLastVersion()
    {
        ConfigState state = smallState();
        json newer = templateJson("pack");
        newer["member_of_a_later_version"] = 1;
        CPPUNIT_ASSERT(applyChange(state, change(ObjectKind::Template, "pack", 8, newer)));
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), state.m_malformed);
        CPPUNIT_ASSERT(buildConfiguration(state)->m_templates.contains("pack"));
        CPPUNIT_ASSERT(changesSince(state, 6).m_changes.at(0).m_revision == 8);
    }

    // Guards against an accepted change that breaks an object which refers to it.
    void validationCoversReferrers()
    {
        const ConfigState state = smallState();
        const auto pointers = [&](const ConfigEdit &wanted) {
            std::vector<std::string> result;
            for (const Finding &finding : validateEdit(state, wanted)) {
                result.push_back(finding.m_file + finding.m_pointer);
            }
            return result;
        };
        using Pointers = std::vector<std::string>;
        CPPUNIT_ASSERT((pointers(edit(ObjectKind::Template, "pack", nullptr, 3))
                        == Pointers{"organisation/alder/templates/0", "organisation/cedar/templates/0"}));
        CPPUNIT_ASSERT((pointers(edit(ObjectKind::Upstream, "engines", nullptr, 2)) == Pointers{"template/pack/stages/2/pool"}));
        CPPUNIT_ASSERT((pointers(edit(ObjectKind::Upstream, "engines", upstreamJson("engines", "model_engine", {"hint"}), 2))
                        == Pointers{"template/pack/stages/2/model"}));
        CPPUNIT_ASSERT((pointers(edit(ObjectKind::Template, "pack", templateJson("pack", "none"), 3)) == Pointers{"/stages/2/model"}));
        CPPUNIT_ASSERT((pointers(edit(ObjectKind::Template, "other", templateJson("pack"), 0)) == Pointers{"/name"}));
        CPPUNIT_ASSERT((pointers(edit(ObjectKind::Organisation, "elm", organisationJson("elm", {"x", "kb"}, {"none"}), 0))
                        == Pointers{"/key_digests/1", "/templates/0"}));
        json overriding = organisationJson("alder", {"ka"});
        overriding["overrides"] = {{{"template", "pack"}, {"stage", "write"}, {"model", "hint"}}};
        CPPUNIT_ASSERT(pointers(edit(ObjectKind::Organisation, "alder", overriding, 4)).empty());
        ConfigState overridden = state;
        applyChange(overridden, change(ObjectKind::Organisation, "alder", 7, overriding));
        const Findings narrowed =
            validateEdit(overridden, edit(ObjectKind::Upstream, "engines", upstreamJson("engines", "model_engine", {"riddle"}), 2));
        CPPUNIT_ASSERT_EQUAL(size_t(1), narrowed.size());
        CPPUNIT_ASSERT_EQUAL(std::string("organisation/alder"), narrowed[0].m_file);
        CPPUNIT_ASSERT(pointers(edit(ObjectKind::Organisation, "birch", nullptr, 5)).empty());
    }

    // Guards against an old finding elsewhere that blocks the edit which repairs something else.
    void validationIgnoresOldFindings()
    {
        ConfigState state = smallState();
        // Written without the administration API: cedar refers to a template that does not exist.
        applyChange(state, change(ObjectKind::Organisation, "cedar", 7, organisationJson("cedar", {"kc"}, {"pack", "gone"})));
        CPPUNIT_ASSERT(validateEdit(state, edit(ObjectKind::Template, "pack", templateJson("pack", "hint"), 3)).empty());
        CPPUNIT_ASSERT(
            !validateEdit(state, edit(ObjectKind::Organisation, "cedar", organisationJson("cedar", {"kc"}, {"gone"}), 7)).empty());
        json many = organisationJson("elm");
        for (int i = 0; i < 200; ++i) {
            many["templates"].push_back(fmt::format("none{}", i));
        }
        CPPUNIT_ASSERT_EQUAL(MaxEditFindings + 1, validateEdit(state, edit(ObjectKind::Organisation, "elm", many, 0)).size());
    }

    // Guards against a lost update when two operators edit one object at the same moment.
    void oneOfTwoEditorsWins()
    {
        EditStore store;
        Editor first;
        Editor second;
        store.fill(first);
        const int64_t revision = first.m_state.m_entries.at("config/organisation/alder").m_revision;
        EditAnswer inner;
        store.m_beforeTransaction = [&] {
            inner = store.edit(second, edit(ObjectKind::Organisation, "alder", organisationJson("alder", {"second"}), revision));
        };
        const EditAnswer outer = store.edit(first, edit(ObjectKind::Organisation, "alder", organisationJson("alder", {"first"}), revision));
        CPPUNIT_ASSERT(inner.m_result == EditResult::Accepted);
        CPPUNIT_ASSERT(outer.m_result == EditResult::Conflict && outer.m_reason == Reason::Conflict);
        CPPUNIT_ASSERT_EQUAL(inner.m_revision, outer.m_revision);
        CPPUNIT_ASSERT(*outer.m_current == inner.m_batch.m_changes.at(0));
        CPPUNIT_ASSERT(organisationOfKey(*buildConfiguration(first.m_state), "second"));
    }

    // Guards against operators who are refused because somebody edits another object.
    void editsOfDifferentObjectsDoNotConflict()
    {
        EditStore store;
        Editor first;
        Editor second;
        store.fill(first);
        EditAnswer inner;
        store.m_beforeTransaction = [&] {
            inner = store.edit(second, edit(ObjectKind::Organisation, "birch", organisationJson("birch"), 0));
        };
        const EditAnswer outer = store.edit(first, edit(ObjectKind::Organisation, "cedar", organisationJson("cedar"), 0));
        CPPUNIT_ASSERT(inner.m_result == EditResult::Accepted && outer.m_result == EditResult::Accepted);
        CPPUNIT_ASSERT(first.m_state.m_configuration.m_organisations.contains("birch"));
    }

    // Guards against a template whose pool is deleted between its validation and its write.
    void editsThatBreakEachOtherAreNotBothAccepted()
    {
        EditStore store;
        Editor first;
        Editor second;
        store.fill(first);
        store.accept(first, ObjectKind::Upstream, upstreamJson("rankers", "stage_pool", {}));
        const int64_t revision = first.m_state.m_entries.at("config/upstream/rankers").m_revision;
        json pipeline = templateJson("ranked");
        pipeline["stages"][1]["pool"] = "rankers";
        EditAnswer inner;
        store.m_beforeTransaction = [&] { inner = store.edit(second, edit(ObjectKind::Template, "ranked", pipeline, 0)); };
        const EditAnswer outer = store.edit(first, edit(ObjectKind::Upstream, "rankers", nullptr, revision));
        CPPUNIT_ASSERT(inner.m_result == EditResult::Accepted);
        CPPUNIT_ASSERT(outer.m_result == EditResult::Invalid);
        CPPUNIT_ASSERT_EQUAL(std::string("template/ranked"), outer.m_findings.at(0).m_file);
    }

    // Guards against a conflict with the editor's own write after a lost answer.
    void editWithALostAnswerIsAcceptedOnce()
    {
        EditStore store;
        Editor editor;
        store.fill(editor);
        const uint64_t writes = writeCount(store.m_state);
        store.m_state.m_faults.m_loseNextAnswers = 1;
        const EditAnswer answer = store.edit(editor, edit(ObjectKind::Organisation, "birch", organisationJson("birch"), 0));
        CPPUNIT_ASSERT(answer.m_result == EditResult::Accepted);
        CPPUNIT_ASSERT_EQUAL(writes + 1, writeCount(store.m_state));
        CPPUNIT_ASSERT_EQUAL(answer.m_revision, editor.m_state.m_cursor);
    }

    // Guards against edits that use up the store's rate when an operator writes thousands of objects.
    void editOfACurrentStateCostsOneCall()
    {
        EditStore store;
        Editor editor;
        store.fill(editor);
        const uint64_t calls = allCalls(store.m_state);
        for (int i = 0; i < 50; ++i) {
            store.accept(editor, ObjectKind::Organisation, organisationJson(fmt::format("o{}", i)));
        }
        CPPUNIT_ASSERT_EQUAL(calls + 50, allCalls(store.m_state));
    }

    // Guards against a conflict or finding that only a node behind the store sees.
    void refusalNeverRestsOnAnOldState()
    {
        EditStore store;
        Editor behind;
        Editor current;
        store.fill(current);
        const int64_t created = current.m_state.m_entries.at("config/organisation/alder").m_revision;
        const EditAnswer conflicting =
            store.edit(behind, edit(ObjectKind::Organisation, "alder", organisationJson("alder", {"kx"}, {"pack"}), created));
        CPPUNIT_ASSERT(conflicting.m_result == EditResult::Accepted);
        Editor empty;
        const EditAnswer dangling = store.edit(empty, edit(ObjectKind::Organisation, "birch", organisationJson("birch", {}, {"pack"}), 0));
        CPPUNIT_ASSERT(dangling.m_result == EditResult::Accepted);
        // A change above the cursor hides that others may be missing.
        Editor gap;
        applyBatch(gap.m_state, dangling.m_batch);
        CPPUNIT_ASSERT_EQUAL(int64_t(0), gap.m_state.m_cursor);
        const EditAnswer overGap = store.edit(gap, edit(ObjectKind::Organisation, "cedar", organisationJson("cedar"), 0));
        CPPUNIT_ASSERT(overGap.m_result == EditResult::Accepted);
        CPPUNIT_ASSERT(gap.m_state.m_configuration.m_templates.contains("pack"));
    }

    // Guards against an edit that is accepted by one node only while the store is down.
    void editDuringAnOutageIsRefused()
    {
        EditStore store;
        Editor editor;
        store.fill(editor);
        store.m_state.m_faults.m_outage = true;
        const EditAnswer answer = store.edit(editor, edit(ObjectKind::Organisation, "birch", organisationJson("birch"), 0));
        CPPUNIT_ASSERT(answer.m_result == EditResult::Refused && answer.m_reason == Reason::StoreUnavailable);
        CPPUNIT_ASSERT(!editor.m_state.m_configuration.m_organisations.contains("birch"));
        CPPUNIT_ASSERT(organisationOfKey(*buildConfiguration(editor.m_state), "ka"));
    }

    // Guards against names that are lost for ever after a deletion, and against deletions of what is not there.
    void deletedObjectCanBeCreatedAgain()
    {
        EditStore store;
        Editor editor;
        store.fill(editor);
        const auto remove = [&](int64_t revision) {
            return store.edit(editor, edit(ObjectKind::Organisation, "alder", nullptr, revision));
        };
        const int64_t revision = editor.m_state.m_entries.at("config/organisation/alder").m_revision;
        CPPUNIT_ASSERT(remove(revision).m_result == EditResult::Accepted);
        CPPUNIT_ASSERT(remove(0).m_result == EditResult::NotFound);
        const EditAnswer late = remove(revision);
        CPPUNIT_ASSERT(late.m_result == EditResult::Conflict && !late.m_current);
        store.accept(editor, ObjectKind::Organisation, organisationJson("alder", {"again"}));
        CPPUNIT_ASSERT(organisationOfKey(*buildConfiguration(editor.m_state), "again"));
    }

    /** Nodes that edit, read, pull from each other, restart, and push changes over a bad network. */
    struct Cluster {
        EditStore m_store;
        Random m_dice;
        std::vector<Editor> m_nodes{5};
        std::vector<std::map<std::string, int64_t>> m_seen{5}; ///< highest revision of each object, by node
        std::deque<std::pair<size_t, std::string>> m_network; ///< receiver, serialised batch
        int m_accepted = 0;
    };

    static void send(Cluster &cluster, const ConfigBatch &batch)
    {
        for (size_t node = 0; node < cluster.m_nodes.size(); ++node) {
            const uint64_t copies = uniformBelow(cluster.m_dice, 3); // lost, delivered, duplicated
            for (uint64_t i = 0; i < copies; ++i) {
                const auto place = static_cast<std::ptrdiff_t>(uniformBelow(cluster.m_dice, cluster.m_network.size() + 1));
                cluster.m_network.insert(cluster.m_network.begin() + place, {node, serializeBatch(batch)});
            }
        }
    }

    static void editSomething(Cluster &cluster, size_t node)
    {
        const std::string name = fmt::format("o{}", uniformBelow(cluster.m_dice, 6));
        const auto &entries = cluster.m_nodes[node].m_state.m_entries;
        const auto entry = entries.find(configKey(ObjectKind::Organisation, name));
        const bool exists = entry != entries.end() && !entry->second.m_deleted;
        const bool remove = uniformBelow(cluster.m_dice, 4) == 0;
        const json object = organisationJson(name, {fmt::format("{}-{}", name, uniformBelow(cluster.m_dice, 1'000))}, {"pack"});
        const EditAnswer answer = cluster.m_store.edit(
            cluster.m_nodes[node], edit(ObjectKind::Organisation, name, remove ? json() : object, exists ? entry->second.m_revision : 0));
        if (answer.m_result == EditResult::Accepted) {
            ++cluster.m_accepted;
            send(cluster, answer.m_batch);
        }
    }

    static void pull(Cluster &cluster, size_t node, size_t peer)
    {
        int64_t after = 0;
        do {
            const ConfigBatch batch = changesSince(cluster.m_nodes[peer].m_state, cluster.m_nodes[node].m_state.m_cursor, after, 400);
            applyBatch(cluster.m_nodes[node].m_state, *parseBatch(serializeBatch(batch)));
            after = batch.m_next;
            if (uniformBelow(cluster.m_dice, 5) == 0) {
                return; // the connection broke
            }
        } while (after != 0);
    }

    static void step(Cluster &cluster)
    {
        const size_t node = uniformBelow(cluster.m_dice, cluster.m_nodes.size());
        const size_t peer = uniformBelow(cluster.m_dice, cluster.m_nodes.size());
        switch (uniformBelow(cluster.m_dice, 12)) {
        case 0:
            editSomething(cluster, node);
            break;
        case 1: {
            const auto batch = readConfiguration(cluster.m_store.m_store, cluster.m_nodes[node].m_state.m_cursor);
            if (batch.ok()) {
                applyBatch(cluster.m_nodes[node].m_state, *batch);
            }
            break;
        }
        case 2:
            pull(cluster, node, peer);
            break;
        case 3:
            if (uniformBelow(cluster.m_dice, 10) == 0 && node != peer) {
                cluster.m_nodes[node].m_state = ConfigState();
                cluster.m_seen[node].clear();
                pull(cluster, node, peer);
            }
            break;
        case 4:
            cluster.m_store.m_state.m_faults.m_outage = uniformBelow(cluster.m_dice, 4) == 0;
            break;
        case 5:
            runDeferred(cluster.m_store.m_state);
            cluster.m_store.m_state.m_faults.m_deferNextRequests = static_cast<int>(uniformBelow(cluster.m_dice, 2));
            break;
        default:
            if (!cluster.m_network.empty()) {
                const auto [receiver, text] = cluster.m_network.front();
                cluster.m_network.pop_front();
                applyBatch(cluster.m_nodes[receiver].m_state, *parseBatch(text));
            }
        }
    }

    /** Latest revision of each object up to @p bound, by the store's own history. */
    static std::map<std::string, int64_t> truthAt(Cluster &cluster, int64_t bound)
    {
        std::map<std::string, int64_t> truth;
        const auto history = eventsSince(cluster.m_store.m_state, std::string(ConfigPrefix), 1);
        CPPUNIT_ASSERT(history.ok());
        for (const WatchEvent &event : history->m_events) {
            if (event.m_entry.m_modRevision <= bound) {
                truth[event.m_entry.m_key] = event.m_entry.m_modRevision;
            }
        }
        return truth;
    }

    static void check(Cluster &cluster, const std::string &place)
    {
        for (size_t node = 0; node < cluster.m_nodes.size(); ++node) {
            const ConfigState &state = cluster.m_nodes[node].m_state;
            for (const auto &[key, entry] : state.m_entries) {
                int64_t &seen = cluster.m_seen[node][key];
                CPPUNIT_ASSERT_MESSAGE("reverted, " + place, entry.m_revision >= seen);
                seen = entry.m_revision;
            }
            for (const auto &[key, revision] : truthAt(cluster, state.m_cursor)) {
                const auto entry = state.m_entries.find(key);
                CPPUNIT_ASSERT_MESSAGE("cursor claims too much, " + place,
                                       entry != state.m_entries.end() && entry->second.m_revision >= revision);
            }
        }
    }

    // Guards against any order of lost, late, duplicated and reordered messages, reads, pulls, restarts and store faults
    // that reverts an object or lets a cursor claim a change that is missing.
    void seededDeliveryNeverReverts()
    {
        int accepted = 0;
        for (uint64_t seed = 1; seed <= 60; ++seed) {
            Cluster cluster;
            cluster.m_dice.m_state = seed;
            cluster.m_store.fill(cluster.m_nodes[0]);
            cluster.m_store.m_state.m_random.m_state = seed;
            cluster.m_store.m_state.m_faults.m_lostAnswerShare = 0.2;
            cluster.m_store.m_state.m_faults.m_lostRequestShare = 0.1;
            for (int i = 0; i < 400; ++i) {
                step(cluster);
                check(cluster, fmt::format("seed {} step {}", seed, i));
            }
            cluster.m_store.m_state.m_faults = {};
            runDeferred(cluster.m_store.m_state);
            for (Editor &node : cluster.m_nodes) {
                applyBatch(node.m_state, *readConfiguration(cluster.m_store.m_store, node.m_state.m_cursor));
            }
            check(cluster, fmt::format("seed {} end", seed));
            for (const Editor &node : cluster.m_nodes) {
                CPPUNIT_ASSERT(sameMeaning(cluster.m_nodes[0].m_state, node.m_state));
                CPPUNIT_ASSERT_EQUAL(cluster.m_nodes[0].m_state.m_cursor, node.m_state.m_cursor);
            }
            accepted += cluster.m_accepted;
        }
        CPPUNIT_ASSERT(accepted > 500);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ConfigTest, "config");
