#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>

extern "C" {
#include "fleet/keyera.h"
#include "store/rowstore.h"
}

namespace {

uint64_t
Version(uint64_t era, uint64_t counter)
{
    return (era << ROWSTORE_COUNTER_BITS) | counter;
}

/* A store that tells no era never returns from a copy. */
TEST(Keyera, WithoutErasAllIsSettled)
{
    struct keyera era = {};
    EXPECT_FALSE(keyera_is_settled(&era, 0));
    EXPECT_FALSE(keyera_observe(&era, 5, 0));
    EXPECT_FALSE(keyera_observe(&era, 4, 1));
    EXPECT_TRUE(keyera_is_settled(&era, 1));
    EXPECT_TRUE(keyera_is_present(&era, 0));
}

/* Guards against grants while an owner may hold the keys under a lease that
 * the copy lacks. */
TEST(Keyera, NewEraIsSettledWhenLeasesOfTheFormerHaveEnded)
{
    struct keyera era = {};
    keyera_observe(&era, Version(1, 90), 0);
    ASSERT_TRUE(keyera_parse_settled(&era, "{\"settled\":1}", 13));
    EXPECT_TRUE(keyera_is_settled(&era, 0));
    EXPECT_TRUE(keyera_observe(&era, Version(2, 50), 1000));
    EXPECT_FALSE(keyera_observe(&era, Version(1, 91), 1001));
    EXPECT_FALSE(keyera_is_recorded(&era));
    EXPECT_FALSE(keyera_may_record(&era, 1000 + KEYERA_SETTLE_US - 1));
    EXPECT_TRUE(keyera_may_record(&era, 1000 + KEYERA_SETTLE_US));
    EXPECT_FALSE(keyera_is_settled(&era, 1000 + KEYERA_UNNAMED_SETTLE_US - 1));
    EXPECT_TRUE(keyera_is_settled(&era, 1000 + KEYERA_UNNAMED_SETTLE_US));
    EXPECT_FALSE(keyera_is_present(&era, Version(1, 91)));
    EXPECT_TRUE(keyera_is_present(&era, Version(2, 51)));
}

/* Guards against a process that starts after the return and takes its first
 * version for an undisturbed one. */
TEST(Keyera, LaterProcessLearnsFromTheRowWhetherTheEraIsSettled)
{
    struct keyera era = {};
    EXPECT_FALSE(keyera_observe(&era, Version(2, 60), 7));
    EXPECT_FALSE(keyera_is_settled(&era, 7));
    char *text = keyera_print_settled(&era);
    EXPECT_TRUE(keyera_parse_settled(&era, text, strlen(text)));
    free(text);
    EXPECT_TRUE(keyera_is_settled(&era, 7));
    EXPECT_FALSE(keyera_parse_settled(&era, "{", 1));
    EXPECT_FALSE(keyera_parse_settled(&era, "{\"settled\":-1}", 14));
    EXPECT_EQ(2U, era.settled);
}

/* Guards against an instance that takes keys because others have settled the
 * era, while an owner still relies on its promise. */
TEST(Keyera, PromiseOfTheFormerEraHoldsInASettledOne)
{
    struct keyera era = {};
    keyera_observe(&era, Version(1, 90), 0);
    keyera_promise(&era, 5000);
    keyera_promise(&era, 4000);
    ASSERT_TRUE(keyera_parse_settled(&era, "{\"settled\":2}", 13));
    EXPECT_TRUE(keyera_is_settled(&era, 3000));
    EXPECT_TRUE(keyera_observe(&era, Version(2, 50), 3000));
    keyera_promise(&era, 9000); /* to an owner of the present era */
    EXPECT_TRUE(keyera_is_recorded(&era));
    EXPECT_FALSE(keyera_is_settled(&era, 4999));
    EXPECT_TRUE(keyera_is_settled(&era, 5000));
}

/* The same for a process that promised before it had read the store. */
TEST(Keyera, PromiseBeforeTheFirstReadHoldsInASettledEra)
{
    struct keyera era = {};
    keyera_promise(&era, 5000);
    keyera_observe(&era, Version(2, 50), 3000);
    ASSERT_TRUE(keyera_parse_settled(&era, "{\"settled\":2}", 13));
    EXPECT_FALSE(keyera_is_settled(&era, 4999));
    EXPECT_TRUE(keyera_is_settled(&era, 5000));
}

} // namespace
