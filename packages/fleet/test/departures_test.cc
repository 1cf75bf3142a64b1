#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "base/timeunits.h"
#include "fleet/departures.h"
}

namespace {

constexpr int64_t NOW_US = 100 * US_PER_SECOND;

/** Reads what the other has printed, as the next process does. */
void
Restore(struct departures *to, const struct departures &from)
{
    json_t *list = departures_to_json(&from, NOW_US);
    departures_read_stored(to, list, NOW_US);
    json_decref(list);
}

std::string
Name(int i)
{
    return "i-" + std::to_string(i);
}

TEST(DepartureList, StoredOnesAreKnownToTheNextProcess)
{
    struct departures departures = {};
    struct departures next = {};
    departures_record(&departures, "i-a", 5, NOW_US);
    EXPECT_TRUE(departures_any_unstored(&departures, NOW_US));
    EXPECT_FALSE(departures_is_stored(&departures, "i-a", 5, NOW_US));
    Restore(&next, departures);
    EXPECT_TRUE(departures_contains(&next, "i-a", 5, NOW_US));
    EXPECT_TRUE(departures_is_stored(&next, "i-a", 5, NOW_US));
    EXPECT_FALSE(departures_any_unstored(&next, NOW_US));
    EXPECT_FALSE(departures_contains(&next, "i-a", 6, NOW_US))
        << "the next incarnation under the same name";
}

/* Guards against: a row that is read again takes the place of a departure that
 * isn't stored yet. */
TEST(DepartureList, RowTakesThePlaceOfNoNewerOne)
{
    struct departures departures = {};
    for (int i = 0; i < DEPARTURES_MAX; i++) {
        departures_record(&departures, Name(i).c_str(), i + 1, NOW_US);
    }
    const struct departures row = departures;
    departures_record(&departures, "i-new", 50, NOW_US);
    Restore(&departures, row);
    EXPECT_TRUE(departures_contains(&departures, "i-new", 50, NOW_US));
    EXPECT_FALSE(departures_is_stored(&departures, "i-new", 50, NOW_US));
    EXPECT_FALSE(departures_contains(&departures, "i-0", 1, NOW_US));
    EXPECT_TRUE(departures_is_stored(&departures, "i-1", 2, NOW_US));
}

/* Guards against: the next process forgets the newest one first. */
TEST(DepartureList, TheOldestIsForgottenFirstInTheNextProcessToo)
{
    struct departures departures = {};
    struct departures next = {};
    for (int i = 0; i < DEPARTURES_MAX + 3; i++) {
        departures_record(&departures, Name(i).c_str(), i + 1, NOW_US);
    }
    departures_record(&next, "i-heard", 70, NOW_US);
    Restore(&next, departures);
    EXPECT_TRUE(departures_contains(&next, "i-heard", 70, NOW_US));
    EXPECT_TRUE(departures_contains(&next, "i-10", 11, NOW_US));
    EXPECT_FALSE(departures_contains(&next, "i-3", 4, NOW_US));
    departures_record(&next, "i-new", 50, NOW_US);
    EXPECT_TRUE(departures_contains(&next, "i-10", 11, NOW_US));
    EXPECT_FALSE(departures_contains(&next, "i-4", 5, NOW_US));
}

TEST(DepartureList, UnknownStartMatchesForAMinute)
{
    struct departures departures = {};
    departures_record(&departures, "i-a", 0, NOW_US);
    EXPECT_TRUE(departures_contains(&departures, "i-a", 9, NOW_US));
    EXPECT_FALSE(departures_contains(&departures, "i-a", 9,
                                     NOW_US + 61 * US_PER_SECOND));
    departures_resolve_start(&departures, "i-a", 5);
    EXPECT_FALSE(departures_contains(&departures, "i-a", 9, NOW_US));
    EXPECT_TRUE(departures_contains(&departures, "i-a", 5,
                                    NOW_US + 61 * US_PER_SECOND));
}

TEST(DepartureList, ReadsPastItemsOfAnotherForm)
{
    struct departures departures = {};
    json_t *list = json_loads(
        R"([5, {"target": "i-a"}, {"target": 3, "born_ms": 1},
            {"target": "i-b", "born_ms": "x"}, {"target": "", "born_ms": 2},
            {"target": "i-c", "born_ms": 7}])",
        0, nullptr);
    ASSERT_NE(nullptr, list);
    departures_read_stored(&departures, list, NOW_US);
    departures_read_stored(&departures, nullptr, NOW_US);
    EXPECT_EQ(1U, departures.count);
    EXPECT_TRUE(departures_is_stored(&departures, "i-c", 7, NOW_US));
    json_decref(list);
}

} // namespace
