#include <map>

#include <cppunit/extensions/HelperMacros.h>

#include "core.h"

using namespace Medlarramp;

class CoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CoreTest);
    CPPUNIT_TEST(pausedClockOnlyMovesWhenAdvanced);
    CPPUNIT_TEST(identifierSurvivesText);
    CPPUNIT_TEST(reasonNamesAreDistinct);
    CPPUNIT_TEST(deepJsonIsAFinding);
    CPPUNIT_TEST(unknownMemberIsAFinding);
    CPPUNIT_TEST(base64SurvivesBinaryData);
    CPPUNIT_TEST(snapshotSurvivesPublication);
    CPPUNIT_TEST(sharedMapKeepsKeyOrder);
    CPPUNIT_TEST_SUITE_END();

    // Guards against code that reads the system clock behind a paused clock.
    void pausedClockOnlyMovesWhenAdvanced()
    {
        Clock clock;
        pauseClock(clock, TimePoint(seconds(10)), 1'000);
        CPPUNIT_ASSERT(now(clock) == TimePoint(seconds(10)));
        advanceClock(clock, milliseconds(250));
        CPPUNIT_ASSERT(now(clock) == TimePoint(milliseconds(10'250)));
        CPPUNIT_ASSERT_EQUAL(int64_t(1'250), wallMilliseconds(clock));
    }

    // Guards against idempotency keys that change on their way through text.
    void identifierSurvivesText()
    {
        Clock clock;
        pauseClock(clock, TimePoint(seconds(1)), 1'700'000'000'000);
        const Identifier identifier = makeIdentifier(clock);
        CPPUNIT_ASSERT(parseIdentifier(toString(identifier)) == identifier);
        CPPUNIT_ASSERT(identifierMilliseconds(identifier) == 1'700'000'000'000);
        CPPUNIT_ASSERT(!parseIdentifier("not-an-identifier"));
        CPPUNIT_ASSERT(!identifierMilliseconds(Identifier{0, 0}));
    }

    // Guards against a reason added to the enum without its name, which would shift all later names.
    void reasonNamesAreDistinct()
    {
        for (size_t i = 0; i < static_cast<size_t>(Reason::Count); ++i) {
            const auto reason = static_cast<Reason>(i);
            CPPUNIT_ASSERT(!toString(reason).empty());
            CPPUNIT_ASSERT(parseReason(toString(reason)) == reason);
        }
        CPPUNIT_ASSERT(toString(Reason::InternalError) == "internal_error");
    }

    // Guards against stack exhaustion by deeply nested input.
    void deepJsonIsAFinding()
    {
        Findings findings;
        CPPUNIT_ASSERT(!parseJson(std::string(100'000, '['), "", findings));
        CPPUNIT_ASSERT_EQUAL(size_t(1), findings.size());
    }

    // Guards against settings with a misspelt name that silently keep the default.
    void unknownMemberIsAFinding()
    {
        Findings findings;
        const nlohmann::json value = {{"known", "x"}, {"a/b", 1}};
        ObjectReader reader = readObject(value, "settings.json", "/place", findings);
        std::string known;
        readString(reader, "known", known);
        finishObject(reader);
        const Findings expected = {{"settings.json", "/place/a~1b", "is not a known member"}};
        CPPUNIT_ASSERT(findings == expected);
    }

    // Guards against store values cut at a zero byte or with wrong padding.
    void base64SurvivesBinaryData()
    {
        for (size_t length = 0; length < 8; ++length) {
            const std::string data(length, '\0');
            CPPUNIT_ASSERT(fromBase64(toBase64(data)) == data);
        }
        CPPUNIT_ASSERT(!fromBase64("abc"));
    }

    // Guards against a request losing the configuration it began with.
    void snapshotSurvivesPublication()
    {
        RcuPointer<int> pointer;
        CPPUNIT_ASSERT(!snapshot(pointer));
        publish<int>(pointer, std::make_shared<const int>(1));
        const std::shared_ptr<const int> first = snapshot(pointer);
        publish<int>(pointer, std::make_shared<const int>(2));
        CPPUNIT_ASSERT_EQUAL(1, *first);
        CPPUNIT_ASSERT_EQUAL(2, *snapshot(pointer));
    }

    // Guards against entries that find() misses because an insertion looked up a key that had been moved from.
    void sharedMapKeepsKeyOrder()
    {
        SharedMap<int> map;
        Random random{7};
        std::map<std::string, int> expected;
        for (int i = 0; i < 1'000; ++i) {
            const std::string key = std::to_string(uniformBelow(random, 500));
            map[key] = i;
            expected[key] = i;
        }
        CPPUNIT_ASSERT_EQUAL(expected.size(), map.size());
        auto position = map.begin();
        for (const auto &[key, value] : expected) {
            CPPUNIT_ASSERT_EQUAL(key, position->first);
            CPPUNIT_ASSERT_EQUAL(value, map.at(key));
            ++position;
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(CoreTest, "core");
