#include <cppunit/extensions/HelperMacros.h>

#include "model.h"

using namespace Medlarramp;

namespace {

nlohmann::json threeStages()
{
    return nlohmann::json::parse(R"({
        "name": "hint",
        "stages": [
            {"name": "encode", "kind": "infer", "pool": "encoders", "model": "small"},
            {"name": "retrieve", "kind": "infer", "pool": "retrievers", "model": "index", "inputs": ["encode"]},
            {"name": "write", "kind": "generate", "pool": "engines", "model": "riddle", "inputs": ["request", "retrieve"]}
        ]
    })");
}

} // namespace

class ModelTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ModelTest);
    CPPUNIT_TEST(templateSurvivesJson);
    CPPUNIT_TEST(allFindingsAreReportedTogether);
    CPPUNIT_TEST(danglingReferencesAreFindings);
    CPPUNIT_TEST(keyOfTwoOrganisationsIsAFinding);
    CPPUNIT_TEST(addressNeedsAnIpNumber);
    CPPUNIT_TEST_SUITE_END();

    // Guards against members lost between the administration API and the store.
    void templateSurvivesJson()
    {
        Findings findings;
        const std::optional<Template> pipeline = parseTemplate(threeStages(), "", findings);
        CPPUNIT_ASSERT(pipeline);
        CPPUNIT_ASSERT(parseTemplate(toJson(*pipeline), "", findings) == pipeline);
        CPPUNIT_ASSERT(findings.empty());
    }

    // Guards against an operator who has to fix one finding at a time.
    void allFindingsAreReportedTogether()
    {
        nlohmann::json value = threeStages();
        value["stages"][0]["kind"] = "encode";
        value["stages"][1]["inputs"] = {"write"};
        value["stages"][2]["max_attempts"] = 0;
        value["stage"] = 1;
        Findings findings;
        CPPUNIT_ASSERT(!parseTemplate(value, "hint.json", findings));
        CPPUNIT_ASSERT_EQUAL(size_t(4), findings.size());
        CPPUNIT_ASSERT_EQUAL(std::string("/stages/0/kind"), findings[0].m_pointer);
    }

    // Guards against a template in force whose pool does not exist.
    void danglingReferencesAreFindings()
    {
        Findings findings;
        Configuration configuration;
        configuration.m_templates["hint"] = std::make_shared<const Template>(*parseTemplate(threeStages(), "", findings));
        findings = validateConfiguration(configuration);
        CPPUNIT_ASSERT_EQUAL(size_t(3), findings.size());
        CPPUNIT_ASSERT_EQUAL(std::string("template/hint"), findings[0].m_file);
        CPPUNIT_ASSERT_EQUAL(std::string("/stages/0/pool"), findings[0].m_pointer);
    }

    // Guards against one key that opens two organisations.
    void keyOfTwoOrganisationsIsAFinding()
    {
        Configuration configuration;
        for (const char *name : {"first", "second"}) {
            Organisation organisation{.m_name = name, .m_keyDigests = {toHex(sha256("key"))}};
            configuration.m_organisations[name] = std::make_shared<const Organisation>(std::move(organisation));
        }
        const Findings findings = validateConfiguration(configuration);
        CPPUNIT_ASSERT_EQUAL(size_t(1), findings.size());
        CPPUNIT_ASSERT_EQUAL(std::string("organisation/second"), findings[0].m_file);
    }

    // Guards against name look-ups, which the platform does not offer.
    void addressNeedsAnIpNumber()
    {
        CPPUNIT_ASSERT(parseAddress("127.0.0.1:80") == (Address{"127.0.0.1", 80}));
        CPPUNIT_ASSERT(!parseAddress("localhost:80"));
        CPPUNIT_ASSERT(!parseAddress("127.0.0.1:0"));
        CPPUNIT_ASSERT(!parseAddress("127.0.0.1.1:80"));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ModelTest, "model");
