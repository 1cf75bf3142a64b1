#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "base/invariant.h"
#include "base/random.h"
#include "spread/config.h"
}

namespace {

struct Applier {
    uint64_t revision = 0;
    bool usable = true;

    static bool Apply(void *ctx, uint64_t revision, const json_t *)
    {
        Applier *applier = static_cast<Applier *>(ctx);
        if (!applier->usable) {
            return false;
        }
        EXPECT_GT(revision, applier->revision);
        applier->revision = revision;
        return true;
    }
};

json_t *
Document(const std::string &text)
{
    return json_pack("{s:s}", "zone", text.c_str());
}

class Config : public testing::Test {
  protected:
    void SetUp() override
    {
        invariant_reset();
        config = config_create(Applier::Apply, &applier);
    }

    void TearDown() override
    {
        config_destroy(config);
    }

    enum config_result Offer(uint64_t revision, const std::string &text)
    {
        json_t *document = Document(text);
        enum config_result result = config_offer(config, revision, document);
        json_decref(document);
        return result;
    }

    Applier applier;
    struct config *config = nullptr;
};

TEST_F(Config, NeverRevertsToAnOlderRevision)
{
    EXPECT_EQ(Offer(5, "five"), CONFIG_IN_FORCE);
    EXPECT_EQ(Offer(5, "five"), CONFIG_ALREADY_IN_FORCE);
    EXPECT_EQ(Offer(5, "other"), CONFIG_CONFLICT);
    EXPECT_EQ(Offer(4, "four"), CONFIG_SUPERSEDED);
    EXPECT_EQ(Offer(0, "none"), CONFIG_SUPERSEDED);
    EXPECT_EQ(Offer(7, "seven"), CONFIG_IN_FORCE);
    EXPECT_EQ(config_revision(config), 7u);
    EXPECT_EQ(applier.revision, 7u);
}

TEST_F(Config, KeepsRevisionIfDocumentIsRejected)
{
    EXPECT_EQ(Offer(5, "five"), CONFIG_IN_FORCE);
    applier.usable = false;
    EXPECT_EQ(Offer(6, "six"), CONFIG_REFUSED);
    EXPECT_EQ(config_revision(config), 5u);
    EXPECT_EQ(config_newest(config), 6u);
    EXPECT_FALSE(config_record_newest(config, 6, 100));
    EXPECT_FALSE(config_is_fresh(config, 0));
    applier.usable = true;
    EXPECT_TRUE(config_record_newest(config, 7, 100));
    EXPECT_EQ(Offer(7, "seven"), CONFIG_IN_FORCE);
    EXPECT_TRUE(config_is_fresh(config, 0));
}

TEST_F(Config, OldSnapshotIsNotFreshUntilHeadIsRead)
{
    EXPECT_EQ(Offer(5, "from an old snapshot"), CONFIG_IN_FORCE);
    EXPECT_FALSE(config_is_fresh(config, 0));
    EXPECT_TRUE(config_record_newest(config, 9, 1000));
    EXPECT_FALSE(config_is_fresh(config, 0));
    EXPECT_EQ(Offer(9, "nine"), CONFIG_IN_FORCE);
    EXPECT_TRUE(config_is_fresh(config, 1000));
    /* The process was suspended for hours and regained its lease. */
    EXPECT_FALSE(config_is_fresh(config, 5000));
    EXPECT_FALSE(config_record_newest(config, 9, 5000));
    EXPECT_TRUE(config_is_fresh(config, 5000));
}

TEST_F(Config, ListsMembersThatHaveNotAcknowledged)
{
    const char *names[2];

    config_add_member(config, "a");
    config_add_member(config, "b");
    config_record_acknowledged(config, "a", 5);
    config_record_acknowledged(config, "a", 4);
    config_record_acknowledged(config, "stranger", 5);
    EXPECT_EQ(config_acknowledged_revision(config, "a"), 5u);
    ASSERT_EQ(config_list_unacknowledged(config, 5, names, 2), 1u);
    EXPECT_STREQ(names[0], "b");
    config_add_member(config, "a");
    EXPECT_EQ(config_list_unacknowledged(config, 5, names, 2), 1u);
    config_remove_member(config, "b");
    EXPECT_EQ(config_list_unacknowledged(config, 5, names, 2), 0u);
    json_t *status = config_to_json(config);
    EXPECT_EQ(json_integer_value(json_object_get(status, "members")), 1);
    json_decref(status);
}

/* Offers in random order, with duplicates and restarts without a snapshot. */
TEST_F(Config, RandomOffersNeverLowerTheRevision)
{
    struct random_state random;

    random_seed(&random, 7);
    for (int run = 0; run < 200; run++) {
        uint64_t highest = 0;
        config_destroy(config);
        applier = Applier();
        config = config_create(Applier::Apply, &applier);
        for (int step = 0; step < 100; step++) {
            uint64_t revision = 1 + random_below(&random, 50);
            Offer(revision, std::to_string(revision));
            highest = revision > highest ? revision : highest;
            ASSERT_EQ(config_revision(config), highest);
        }
    }
    EXPECT_EQ(invariant_violations(INVARIANT_REVISION_RISES), 0);
}

} // namespace
