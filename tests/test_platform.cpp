#include <cppunit/extensions/HelperMacros.h>

#include "platform/platform.h"

using namespace Medlarramp;
using namespace Medlarramp::Serving;

class PlatformTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformTest);
    CPPUNIT_TEST(decodesConfiguration);
    CPPUNIT_TEST(rejectsMalformedConfiguration);
    CPPUNIT_TEST(decodesRegistration);
    CPPUNIT_TEST(rejectsMalformedRegistrations);
    CPPUNIT_TEST(oddNumbersAreRejected);
    CPPUNIT_TEST(oddItemDoesNotHideTheOthers);
    CPPUNIT_TEST(decodesStoreItems);
    CPPUNIT_TEST(encodesAndDecodesStageCalls);
    CPPUNIT_TEST(headersAreParsed);
    CPPUNIT_TEST(retryAfterIsParsed);
    CPPUNIT_TEST(corruptedInputIsHandled);
    CPPUNIT_TEST(requestParserRejectsAmbiguousFraming);
    CPPUNIT_TEST(requestParserEnforcesLimits);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char *Configuration = R"({"version":7,"routes":[
        {"name":"r1","host":"h","prefix":"/a/","kind":"streaming","timeout_ms":15000,"target_latency_ms":2000,"priority":1,
         "traffic_split":[{"service":"s","weight":90},{"service":"t","weight":10}],"max_attempts":1,
         "stages":[{"service":"p","after":[],"length":800000},{"service":"p","after":[0],"length":10}],
         "anonymous":false,"sticky":true,"resumable":true,"target_gap_ms":600},
        {"name":"r2","host":"h","prefix":"/b/","kind":"brand-new","timeout_ms":100,"service":"s"}],
        "services":[{"name":"s","max_connections":280,"engine":{"slots":64,"kv_capacity":5}},
                    {"name":"p","max_connections":28,"pieces":{"slots":1,"queue":2,"batch":8,"call_ms":240.0,"item_ms":26.5,"headroom_mb":9.6,"handle_ttl_s":4.0}}],
        "limits":{"max_header_bytes":100,"max_body_bytes":200,"header_timeout_ms":3000,"idle_timeout_ms":15000},
        "tenants":[{"name":"o1","api_keys":["k1","k2"],"priority":3}]})";

    // Guards against numbers that fit no field, of which a conversion is undefined, and against nesting that exhausts the stack.
    void oddNumbersAreRejected()
    {
        const std::string nested(100'000, '[');
        for (const std::string odd : {"1e300", "-1e300", "-1", "18446744073709551616", "\"1\"", "null", "[]", nested.c_str()}) {
            const std::string replica = R"({"service":"s","address":"1.2.3.4:80","zone":"z","version":"v1","state":"ready","slots":)";
            CPPUNIT_ASSERT_MESSAGE(odd, !Platform::decodeRegistration("i-1", replica + odd + "}").ok());
            const std::string member = R"({"node":"n","address":"1.2.3.4:80","failure_domain":"z","incarnation":1,"weight":)";
            CPPUNIT_ASSERT_MESSAGE(odd, !Platform::decodeMember(member + odd + "}").ok());
            const std::string incarnation = R"({"node":"n","address":"1.2.3.4:80","failure_domain":"z","weight":1,"incarnation":)";
            CPPUNIT_ASSERT_MESSAGE(odd, !Platform::decodeMember(incarnation + odd + "}").ok());
        }
        const auto decode = [](const std::string &fields) {
            return Platform::decodeRegistration("i-1",
                                                R"({"service":"s","zone":"z","version":"v1","state":"ready","slots":1,)" + fields + "}")
                .ok();
        };
        CPPUNIT_ASSERT(decode(R"("address":"1.2.3.4:80","born":1,"cold_left_ms":0)"));
        CPPUNIT_ASSERT(!decode(R"("address":"1.2.3.4:80","born":18446744073709551615)"));
        CPPUNIT_ASSERT(!decode(R"("address":"1.2.3.4:80","born":1e300)"));
        // Ignored by itself, see test_cold.cpp: the replica can be used without it.
        CPPUNIT_ASSERT(decode(R"("address":"1.2.3.4:80","cold_left_ms":1e300)"));
        CPPUNIT_ASSERT(!decode(R"("address":"1.2.3.4:0")"));
        CPPUNIT_ASSERT(!decode(R"("address":"1.2.3.4:65536")"));
        CPPUNIT_ASSERT(!decode(R"("address":"1.2.3.4:99999999999999999999")"));
    }

    // Guards against one odd item that ends the reading of all others, so that the watch starts again and again.
    void oddItemDoesNotHideTheOthers()
    {
        const std::string odd[] = {R"({"key":7,"value":""})",
                                   R"({"value":""})",
                                   R"(7)",
                                   R"({"key":"servers/a","value":"no base64!","revision":3})",
                                   R"({"key":"servers/a","value":{},"revision":1e300})",
                                   R"({"key":"servers/a","revision":"x","tombstone":"x"})"};
        for (const std::string &item : odd) {
            const absl::StatusOr<Platform::StoreItems> items =
                Platform::decodeItems(R"({"as_of":9,"events":[)" + item + R"(,{"key":"servers/b","value":"e30=","revision":4}]})", 0);
            CPPUNIT_ASSERT_MESSAGE(item, items.ok());
            CPPUNIT_ASSERT_EQUAL(std::string("servers/b"), items->m_items.back().m_key);
            CPPUNIT_ASSERT_EQUAL(std::string("{}"), items->m_items.back().m_value);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item, size_t(2), items->m_items.size() + static_cast<size_t>(items->m_unreadable));
            CPPUNIT_ASSERT(items->m_items.size() == 1 || items->m_items.front().m_value.empty());
        }
    }

    // Guards against a configuration field that is read under a wrong name or in a wrong unit.
    void decodesConfiguration()
    {
        const absl::StatusOr<ServingConfiguration> decoded = Platform::decodeConfiguration(Configuration);
        CPPUNIT_ASSERT_MESSAGE(std::string(decoded.status().message()), decoded.ok());
        CPPUNIT_ASSERT_EQUAL(int64_t(7), decoded->m_version);
        const ServingRoute &route = decoded->m_routes[0];
        CPPUNIT_ASSERT(route.m_kind == RequestKind::Streaming && route.m_resumable && route.m_usesEngine && !route.m_anonymous);
        CPPUNIT_ASSERT(route.m_timeout == seconds(15) && route.m_objective == seconds(2) && route.m_gapObjective == milliseconds(600));
        CPPUNIT_ASSERT_EQUAL(size_t(2), route.m_services.size());
        CPPUNIT_ASSERT(route.m_stages[1].m_after == std::vector<size_t>{0});
        // An unknown kind allows no retry after the request may have run.
        CPPUNIT_ASSERT(decoded->m_routes[1].m_kind == RequestKind::NonIdempotent);
        const PieceLimits &pieces = *decoded->m_services.at("p").m_pieces;
        CPPUNIT_ASSERT(pieces.m_callTime == milliseconds(240) && pieces.m_pieceTime == Duration(26'500));
        CPPUNIT_ASSERT_EQUAL(int64_t(9'600'000), pieces.m_resultCapacityBytes);
        CPPUNIT_ASSERT_EQUAL(size_t(2), decoded->m_keys.size());
        CPPUNIT_ASSERT(rankOf(*decoded, route, decoded->m_keys.at("k2")) == 3 && rankOf(*decoded, route, std::nullopt) == 1);
        CPPUNIT_ASSERT_EQUAL(size_t(200), decoded->m_limits.m_bodyBytes);
    }

    // Guards against a configuration that is read in part and put into use: truncated and malformed texts must be rejected.
    void rejectsMalformedConfiguration()
    {
        const std::string text = Configuration;
        CPPUNIT_ASSERT(!Platform::decodeConfiguration("").ok());
        CPPUNIT_ASSERT(!Platform::decodeConfiguration("[]").ok());
        CPPUNIT_ASSERT(!Platform::decodeConfiguration(R"({"version":"x","routes":[],"services":[]})").ok());
        for (size_t length = 0; length < text.size(); length += 37) {
            CPPUNIT_ASSERT(!Platform::decodeConfiguration(text.substr(0, length)).ok());
        }
    }

    // Guards against losing a replica's state or the start of its incarnation when a registration is decoded.
    void decodesRegistration()
    {
        const absl::StatusOr<ReplicaRecord> record = Platform::decodeRegistration(
            "i-1",
            R"({"service":"s","address":"10.0.0.9:8080","zone":"z1","version":"v1","slots":64,"state":"draining","cold_left_ms":250,"sequence":4,"born":1700000000000})");
        CPPUNIT_ASSERT(record.ok());
        CPPUNIT_ASSERT(record->m_id == "i-1" && record->m_draining && record->m_failureDomain == "z1" && record->m_slots == 64);
        CPPUNIT_ASSERT(record->m_softwareVersion == "v1");
        CPPUNIT_ASSERT(record->m_warmUpLeft == milliseconds(250) && record->m_incarnationStart == 1'700'000'000'000);
    }

    // Guards against requests to a replica from a malformed registration.
    void rejectsMalformedRegistrations()
    {
        for (const char *text : {
                 "",
                 "null",
                 R"({"service":"s","address":"10.0.0.9:8080","zone":"z1","version":"v1","slots":64})",
                 R"({"service":"s","address":"10.0.0.9:8080","zone":"z1","version":"v1","slots":64,"state":"leaving"})",
                 R"({"service":"s","address":"host:8080","zone":"z1","version":"v1","slots":64,"state":"ready"})",
                 R"({"service":"s","address":"10.0.0.9:99999","zone":"z1","version":"v1","slots":64,"state":"ready"})",
                 R"({"service":["s"],"address":"10.0.0.9:8080","zone":"z1","version":"v1","slots":64,"state":"ready"})",
                 R"({"service":"s","address":"10.0.0.9:8080","zone":"z1","version":"v1","slots":"64","state":"ready"})",
                 R"({"service":"s","address":"10.0.0.9:8080","zone":"z1","version":"v1","slots":64,"state":"ready","born":1.5})",
                 R"({"service":"s","address":"10.0.0.9:8080","zone":"z1","slots":64,"state":"ready"})",
                 R"({"service":"s","address":"10.0.0.9:8080","zone":"z1","version":1,"slots":64,"state":"ready"})",
             }) {
            CPPUNIT_ASSERT_MESSAGE(text, !Platform::decodeRegistration("i-1", text).ok());
        }
    }

    // Guards against a watch that continues at a wrong revision, and against values that are not base64.
    void decodesStoreItems()
    {
        const absl::StatusOr<Platform::StoreItems> events = Platform::decodeItems(
            R"({"events":[{"key":"a","value":"bm9kZS0x","revision":412,"created":412,"lease":0},{"key":"b","revision":413,"tombstone":true}],"as_of":413})",
            2);
        CPPUNIT_ASSERT(events.ok());
        CPPUNIT_ASSERT(events->m_asOf == StoreVersion(2, 413));
        CPPUNIT_ASSERT(events->m_items[0].m_version == StoreVersion(2, 412));
        CPPUNIT_ASSERT_EQUAL(std::string("node-1"), events->m_items[0].m_value);
        CPPUNIT_ASSERT(!events->m_items[0].m_removed && events->m_items[1].m_removed);
        const absl::StatusOr<Platform::StoreItems> broken =
            Platform::decodeItems(R"({"entries":[{"key":"a","value":"***"}],"as_of":1})", 0);
        CPPUNIT_ASSERT(broken.ok() && !Platform::decodeRegistration("a", broken->m_items.at(0).m_value).ok());
        CPPUNIT_ASSERT(!Platform::decodeItems(R"({"entries":[]})", 0).ok());
    }

    // Guards against results that are assigned to another piece: the response lists them in the order of the request.
    void encodesAndDecodesStageCalls()
    {
        const std::vector<std::string> inputs = {"10.0.0.1:1/ab", "10.0.0.2:2/cd"};
        const std::string text =
            Platform::encodeStageRun({{"id\"1", 0, 2, milliseconds(900), "key", nullptr}, {"id2", 2, 0, milliseconds(10), "", &inputs}});
        const nlohmann::json value = nlohmann::json::parse(text);
        CPPUNIT_ASSERT(value.at("entries")[0]
                       == nlohmann::json({{"id", "id\"1"}, {"stage", 0}, {"piece", 2}, {"remaining_ms", 900}, {"key", "key"}}));
        CPPUNIT_ASSERT(value.at("entries")[1].at("inputs") == nlohmann::json(inputs));
        const auto results = Platform::decodeStageRun(
            R"({"entries":[{"handle":"h1"},{"reason":"gone"},{"reason":"room"},{"reason":"late"},{"reason":"?"}]})");
        CPPUNIT_ASSERT(results.ok() && results->size() == 5);
        CPPUNIT_ASSERT((*results)[0].m_handle == "h1");
        CPPUNIT_ASSERT((*results)[1].m_failure == PieceFailure::InputExpired && (*results)[2].m_failure == PieceFailure::NoCapacity);
        CPPUNIT_ASSERT((*results)[3].m_failure == PieceFailure::Late && (*results)[4].m_failure == PieceFailure::Error);
        CPPUNIT_ASSERT(Platform::resultAddress("10.0.0.1:80/ab") == (SocketAddress{"10.0.0.1", 80}));
    }

    // Guards against a Retry-After that is misread, so that a replica gets requests too early or none at all.
    void retryAfterIsParsed()
    {
        CPPUNIT_ASSERT(Platform::parseRetryAfter("2") == seconds(2));
        CPPUNIT_ASSERT(Platform::parseRetryAfter("0.75") == milliseconds(750));
        CPPUNIT_ASSERT(Platform::parseRetryAfter("1000000") == seconds(3600));
        for (const char *text : {"", "-1", "soon", "2s", "nan", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !Platform::parseRetryAfter(text));
        }
    }

    // Guards against prompts that are placed by a wrong part because a header was misread.
    void headersAreParsed()
    {
        const std::vector<PromptPart> parts = Platform::parsePromptParts("5c1e07a2:800,91bd3f06:410, e4402b7d:250,broken");
        CPPUNIT_ASSERT_EQUAL(size_t(3), parts.size());
        CPPUNIT_ASSERT((parts[2] == PromptPart{0xe4402b7d, 250}));
        CPPUNIT_ASSERT((Platform::parseCounts("3,0,x,8") == std::vector<int>{3, 0, 0, 8}));
        CPPUNIT_ASSERT_EQUAL(2260.0, Platform::parseRequestSize("1460,80"));
        CPPUNIT_ASSERT_EQUAL(0.0, Platform::parseRequestSize(""));
    }

    // Guards against decoders that throw or crash on corrupted input. The seed is fixed, so that each run uses the same bytes.
    void corruptedInputIsHandled()
    {
        Random random{42};
        const std::string base = Configuration;
        for (int i = 0; i < 3000; ++i) {
            std::string text = base;
            for (int change = 0; change < 3; ++change) {
                text[uniformBelow(random, text.size())] = static_cast<char>(uniformBelow(random, 256));
            }
            (void)Platform::decodeConfiguration(text);
            (void)Platform::decodeRegistration("i", text.substr(uniformBelow(random, 200)));
            (void)Platform::decodeItems(text, 0);
            (void)Platform::decodeStageRun(text);
            (void)Platform::decodeMember(text);
            (void)Platform::parsePromptParts(text);
            HttpReader request(HTTP_REQUEST, 4096, 4096);
            request.feed("POST /" + text.substr(0, 30) + " HTTP/1.1\r\n" + text);
            HttpReader answer(HTTP_RESPONSE, 4096, 4096);
            answer.feed("HTTP/1.1 200 OK\r\n" + text);
            answer.feedEnd();
        }
    }

    static ParseState stateOf(const std::string &text)
    {
        HttpReader reader(HTTP_REQUEST, 1000, 100);
        reader.feed(text);
        return reader.m_state;
    }

    // Guards against request smuggling: a request whose length can be read in two ways must be rejected.
    void requestParserRejectsAmbiguousFraming()
    {
        const std::string start = "POST /a/ HTTP/1.1\r\nHost: h\r\n";
        CPPUNIT_ASSERT(stateOf(start + "Content-Length: 3\r\n\r\nabc") == ParseState::Done);
        CPPUNIT_ASSERT(stateOf(start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") == ParseState::Failed);
        CPPUNIT_ASSERT(stateOf(start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd") == ParseState::Failed);
        CPPUNIT_ASSERT(stateOf(start + "Content-Length: -3\r\n\r\nabc") == ParseState::Failed);
        CPPUNIT_ASSERT(stateOf(start + "Content-Length : 3\r\n\r\nabc") == ParseState::Failed);
        CPPUNIT_ASSERT(stateOf(start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n") == ParseState::Failed);
        HttpReader reader(HTTP_REQUEST, 1000, 100);
        const std::string two = start + "Content-Length: 3\r\n\r\nabcGET /next HTTP/1.1\r\n\r\n";
        CPPUNIT_ASSERT_EQUAL(two.find("GET /next"), reader.feed(two));
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), reader.m_body);
    }

    // Guards against request heads and bodies that take unbounded memory.
    void requestParserEnforcesLimits()
    {
        CPPUNIT_ASSERT(stateOf("GET /" + std::string(2000, 'x')) == ParseState::HeadTooLarge);
        CPPUNIT_ASSERT(stateOf("GET / HTTP/1.1\r\nA: " + std::string(2000, 'x')) == ParseState::HeadTooLarge);
        CPPUNIT_ASSERT(stateOf("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n") == ParseState::BodyTooLarge);
        CPPUNIT_ASSERT(stateOf("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n80\r\n" + std::string(128, 'x'))
                       == ParseState::BodyTooLarge);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PlatformTest, "platform");
