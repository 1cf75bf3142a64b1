#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "fleet/declared.h"
}

namespace {

struct Declared : testing::Test {
    struct declared *config = declared_create(7);
    ~Declared() override
    {
        declared_destroy(config);
    }

    void Route(const char *host, const char *prefix, size_t service)
    {
        struct declared_route *route =
            declared_add_route(config, host, prefix);
        route->shares[0] = {service, 1};
        route->share_count = 1;
        route->weight_sum = 1;
    }

    std::string Prefix(const char *host, const char *path)
    {
        const struct declared_route *route =
            declared_find_route(config, host, path);
        return route != nullptr ? route->prefix : "";
    }
};

TEST_F(Declared, LongestPrefixOfTheHostMatches)
{
    declared_add_service(config, "a");
    Route("shop.example", "/", 0);
    Route("shop.example", "/a/", 0);
    Route("shop.example", "/a/b/", 0);
    Route("other.example", "/a/c/", 0);
    ASSERT_TRUE(declared_build_index(config, nullptr));
    EXPECT_EQ("/a/b/", Prefix("shop.example", "/a/b/x"));
    EXPECT_EQ("/a/", Prefix("shop.example", "/a/bx"));
    EXPECT_EQ("/a/", Prefix("shop.example", "/a/c/1"));
    EXPECT_EQ("/", Prefix("shop.example", "/a"));
    EXPECT_EQ("/a/c/", Prefix("OTHER.example:80", "/a/c/"));
    EXPECT_EQ("", Prefix("other.example", "/a/"));
    EXPECT_EQ("", Prefix("nobody.example", "/a/c/"));
}

TEST_F(Declared, FindsEachOfThousandsOfRoutes)
{
    declared_add_service(config, "a");
    for (int i = 0; i < 5000; i++) {
        Route("h.example", ("/r" + std::to_string(i) + "/").c_str(), 0);
    }
    ASSERT_TRUE(declared_build_index(config, nullptr));
    EXPECT_EQ(5000U, declared_route_count(config));
    for (int i = 0; i < 5000; i += 7) {
        const std::string prefix = "/r" + std::to_string(i) + "/";
        EXPECT_EQ(prefix, Prefix("h.example", (prefix + "x").c_str()));
    }
}

TEST_F(Declared, RefusesDuplicatePrefixOfOneHost)
{
    struct error err = {};
    declared_add_service(config, "a");
    Route("h.example", "/a/", 0);
    Route("H.example", "/a/", 0);
    EXPECT_FALSE(declared_build_index(config, &err));
    EXPECT_EQ(ERROR_FIELD_DUPLICATE, err.code);
}

TEST_F(Declared, DistributesDrawsByWeight)
{
    declared_add_service(config, "a");
    declared_add_service(config, "b");
    struct declared_route *route = declared_add_route(config, "h", "/");
    route->shares[0] = {0, 90};
    route->shares[1] = {1, 10};
    route->share_count = 2;
    route->weight_sum = 100;
    ASSERT_TRUE(declared_build_index(config, nullptr));
    int first = 0;
    const struct declared_route *found = declared_find_route(config, "h", "/");
    for (unsigned draw = 0; draw < 100; draw++) {
        const struct declared_service *service =
            declared_pick_service(config, found, draw);
        first += std::string(service->name) == "a";
    }
    EXPECT_EQ(90, first);
}

/* Guards against a key that finds another workspace or none, and against a
 * lookup whose time grows with the number of workspaces. */
TEST_F(Declared, EachKeyFindsItsWorkspaceAmongTensOfThousands)
{
    const int count = 30000;
    for (int i = 0; i < count; i++) {
        const std::string name = "w" + std::to_string(i);
        struct declared_workspace *workspace =
            declared_add_workspace(config, name.c_str());
        workspace->rate_per_s = i;
        for (const char *suffix : {"-a", "-b", "-c"}) {
            declared_add_key(config, ("key" + name + suffix).c_str());
        }
    }
    ASSERT_TRUE(declared_build_index(config, nullptr));
    EXPECT_EQ(30000U, declared_workspace_count(config));
    for (int i = 0; i < count; i += 7) {
        const std::string name = "w" + std::to_string(i);
        const struct declared_workspace *by_key =
            declared_workspace_by_key(config, ("key" + name + "-b").c_str());
        ASSERT_NE(nullptr, by_key);
        EXPECT_EQ(name, by_key->name);
        EXPECT_EQ(by_key, declared_find_workspace(config, name.c_str()));
        EXPECT_EQ(by_key,
                  declared_workspace_at(config, static_cast<size_t>(i)));
    }
    EXPECT_EQ(nullptr, declared_workspace_by_key(config, "keyw1-"));
    EXPECT_EQ(nullptr, declared_workspace_by_key(config, "keyw1-aa"));
    EXPECT_EQ(nullptr, declared_workspace_by_key(config, ""));
    EXPECT_EQ(nullptr, declared_find_workspace(config, "w"));
}

TEST_F(Declared, WithoutWorkspacesNoKeyIsRequired)
{
    ASSERT_TRUE(declared_build_index(config, nullptr));
    EXPECT_FALSE(declared_requires_workspace(config));
    EXPECT_EQ(nullptr, declared_workspace_by_key(config, "key"));
}

TEST_F(Declared, RefusesAKeyOfTwoWorkspacesWithoutNamingTheKey)
{
    struct error err = {};
    declared_add_workspace(config, "one");
    declared_add_key(config, "secret");
    declared_add_key(config, "secret"); /* twice in one does no harm */
    declared_add_workspace(config, "two");
    declared_add_key(config, "secret");
    EXPECT_FALSE(declared_build_index(config, &err));
    EXPECT_EQ(ERROR_FIELD_DUPLICATE, err.code);
    EXPECT_STREQ("a key of two", err.subject);
}

TEST_F(Declared, RefusesTwoWorkspacesOfOneName)
{
    declared_add_workspace(config, "one");
    declared_add_workspace(config, "one");
    EXPECT_FALSE(declared_build_index(config, nullptr));
}

} // namespace
