// Compares the documents with the program.

#include <fstream>
#include <set>
#include <sstream>

#include <cppunit/extensions/HelperMacros.h>

#include "core.h"
#include "model.h"

using namespace Medlarramp;

namespace {

std::string readSource(const std::string &path)
{
    const std::ifstream file(std::string(MEDLARRAMP_SOURCE_DIR) + "/" + path);
    CPPUNIT_ASSERT_MESSAGE(path, file.good());
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace

class DocsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DocsTest);
    CPPUNIT_TEST(everyReasonIsDocumented);
    CPPUNIT_TEST(examplesHaveNoFindings);
    CPPUNIT_TEST(firstTemplateOfTheReadmeIsValid);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a reason that callers meet and docs/api.md does not explain, and against rows of removed reasons.
    void everyReasonIsDocumented()
    {
        const std::string text = readSource("docs/api.md");
        std::set<std::string> rows;
        std::istringstream lines(text.substr(text.find("## Reasons")));
        std::string line;
        while (std::getline(lines, line)) {
            if (line.starts_with("| `")) {
                rows.insert(line.substr(3, line.find('`', 3) - 3));
            }
        }
        std::set<std::string> reasons;
        for (size_t i = 1; i < static_cast<size_t>(Reason::Count); ++i) {
            reasons.emplace(toString(static_cast<Reason>(i)));
        }
        CPPUNIT_ASSERT(rows == reasons);
    }

    // Guards against example files that the program refuses.
    void examplesHaveNoFindings()
    {
        Findings findings;
        parseSettings(nlohmann::json::parse(readSource("examples/settings.json")), "settings", findings);
        for (const char *name : {"examples/santiago.json", "examples/lagos.json"}) {
            parseConfiguration(nlohmann::json::parse(readSource(name)), name, findings);
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(toString(findings), size_t(0), findings.size());
    }

    // Guards against a first template that a newcomer cannot use.
    void firstTemplateOfTheReadmeIsValid()
    {
        const std::string text = readSource("README.md");
        const size_t begin = text.find("```json\n") + 8;
        Findings findings;
        parseTemplate(nlohmann::json::parse(text.substr(begin, text.find("```", begin) - begin)), "README.md", findings);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(toString(findings), size_t(0), findings.size());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(DocsTest, "docs");
