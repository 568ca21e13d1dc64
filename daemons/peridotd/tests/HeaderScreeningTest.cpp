// Guards what reaches a backend server: no key in any form, no header that belongs to one hop.

#include "HeaderScreening.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace peridot {

class HeaderScreeningTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HeaderScreeningTest);
    CPPUNIT_TEST(findsKeysInAllPlaces);
    CPPUNIT_TEST(removesKeysEverywhere);
    CPPUNIT_TEST(removesHopByHopHeaders);
    CPPUNIT_TEST(reportsKeysInThePath);
    CPPUNIT_TEST(findsAmbiguousPaths);
    CPPUNIT_TEST_SUITE_END();

public:
    // Two different keys in two places must both be seen, or the request would run on behalf of one of them.
    void findsKeysInAllPlaces()
    {
        const auto request = screenRequest(
            { { "Authorization", "bearer a.1" }, { "X-Api-Key", "b.2, b.3" } }, "/s/x", "q=1&k%65y=c%2E4&key=a.1");
        CPPUNIT_ASSERT(request.presentedKeys == (std::vector<std::string> { "a.1", "b.2", "b.3", "c.4" }));
        CPPUNIT_ASSERT(screenRequest({ { "Authorization", "Basic a.1" } }, "/s", "").presentedKeys.empty());
    }

    void removesKeysEverywhere()
    {
        const auto request = screenRequest({ { "authorization", "Bearer k.secret" }, { "X-API-KEY", "k.secret" },
                                               { "Cookie", "a=b; session=k.secret" },
                                               { "Referer", "http://x/?key=k%2Esecret" }, { "Accept", "text/plain" } },
            "/s/x", "key=k.secret&a=b&copy=k%2esecret&c=d");
        CPPUNIT_ASSERT(request.headers == (HeaderList { { "Accept", "text/plain" } }));
        CPPUNIT_ASSERT_EQUAL(std::string("a=b&c=d"), request.query);
    }

    void removesHopByHopHeaders()
    {
        const HeaderList headers { { "Connection", "close, X-Hop" }, { "x-hop", "1" }, { "Keep-Alive", "5" },
            { "Transfer-Encoding", "chunked" }, { "Content-Length", "5" }, { "Upgrade", "h2c" }, { "TE", "trailers" },
            { "X-Request-Id", "forged" }, { "Request-Timeout-Ms", "1" }, { "X-Workspace", "forged" }, { "ETag", "e" } };
        CPPUNIT_ASSERT(screenRequest(headers, "/s", "").headers == (HeaderList { { "ETag", "e" } }));
        CPPUNIT_ASSERT(screenResponseHeaders(headers) == (HeaderList { { "ETag", "e" } }));
    }

    void reportsKeysInThePath()
    {
        const HeaderList headers { { "X-Api-Key", "k.secret" } };
        CPPUNIT_ASSERT(screenRequest(headers, "/s/k%2Esecret/x", "").isKeyInPath);
        CPPUNIT_ASSERT(!screenRequest(headers, "/s/x", "").isKeyInPath);
    }

    // A path that the backend server resolves differently would escape the class, and so the key, of its prefix.
    void findsAmbiguousPaths()
    {
        for (const auto* path : { "/s/../t", "/s/%2e%2E/t", "/s/./t", "/s/%252e/t", "/s\\t", "/s/%00", "/s/.." })
            CPPUNIT_ASSERT_MESSAGE(path, hasAmbiguousSegments(path));
        for (const auto* path : { "/s/t", "/s/..t", "/s/t.x/", "/s/%20", "/s/%C4%8D" })
            CPPUNIT_ASSERT_MESSAGE(path, !hasAmbiguousSegments(path));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeaderScreeningTest);

}
