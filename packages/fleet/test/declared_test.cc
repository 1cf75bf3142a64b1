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

} // namespace
