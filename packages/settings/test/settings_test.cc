#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

extern "C" {
#include "base/random.h"
#include "base/runtime.h"
#include "settings/settings.h"
}

namespace {

std::vector<std::string>
problems_of(const std::string &text)
{
    struct document_problems problems = {};
    struct settings settings;
    json_t *document = document_parse(text.data(), text.size(), &problems);
    if (document != nullptr) {
        const bool valid = settings_parse(document, &settings, &problems);
        EXPECT_EQ(valid, problems.count == 0);
    }
    json_decref(document);
    std::vector<std::string> texts;
    for (size_t i = 0; i < problems.count && i < DOCUMENT_PROBLEMS_MAX; i++) {
        texts.push_back(std::string(error_name(problems.problems[i].code)) +
                        " " + problems.problems[i].subject);
    }
    return texts;
}

TEST(Settings, ExamplesAreValid)
{
    for (const char *name :
         {"powys/settings-patrymau-1.json", "powys/settings-archebion-1.json",
          "lagos/settings-slot-viewer-1.json"}) {
        const std::string path = std::string(SOURCE_DIR "/examples/") + name;
        struct document_problems problems = {};
        struct settings settings;
        EXPECT_TRUE(settings_load(path.c_str(), &settings, &problems));
        EXPECT_EQ(0U, problems.count);
        EXPECT_EQ(size_t{8} << 20, settings.body_max_bytes);
    }
}

TEST(Settings, AdvertisesTheListenAddressByDefault)
{
    struct document_problems problems = {};
    struct settings settings;
    ASSERT_TRUE(settings_load(SOURCE_DIR
                              "/examples/powys/settings-archebion-1.json",
                              &settings, &problems));
    char text[ADDRESS_TEXT_SIZE];
    EXPECT_STREQ("10.20.2.31:8090",
                 address_format(&settings.rpc.advertise, text));
    EXPECT_TRUE(settings.has_static_target);
    EXPECT_STREQ("archebion", settings.target_service);
    EXPECT_EQ(LOG_LEVEL_INFO, settings.log_level);
    EXPECT_EQ(2 * US_PER_SECOND, settings.store_timeout_us);
}

TEST(Settings, ListsEveryProblemWithItsPath)
{
    const std::vector<std::string> expected = {
        "field_range /instance (expected letters, digits, '-', '_' or '.')",
        "field_missing /zone",
        "field_missing /http/advertise (needed as listen names no host)",
        "address /rpc/listen",
        "field_unknown /rpc/adverts",
        "field_missing /announce",
        "field_range /store/address (expected a port)",
        "field_type /store/timeout_ms (expected an integer)",
        "field_range /log/modules/lease (expected \"debug\", \"info\", "
        "\"warning\", \"error\" or \"off\")",
        "field_range /limits/body_max_bytes (expected 65536 to 16777216)",
        "field_missing /target/service",
        "field_range /target/address (expected the IP number of a host)",
        "field_unknown /port",
    };
    EXPECT_EQ(expected, problems_of(R"({
      "instance": "a/b",
      "http": {"listen": "0.0.0.0:1"},
      "rpc": {"listen": "host:1", "adverts": 1},
      "store": {"address": "127.0.0.1:0", "timeout_ms": "2 s"},
      "log": {"modules": {"lease": "loud"}},
      "limits": {"body_max_bytes": 16777217},
      "target": {"address": "0.0.0.0:80"},
      "port": 1})"));
}

TEST(Settings, EveryFieldIsInTheManual)
{
    std::ifstream file(SOURCE_DIR "/docs/man/chestnutgap-settings.5.scd");
    std::stringstream manual;
    manual << file.rdbuf();
    struct document_problems problems = {};
    json_t *document = document_load(
        SOURCE_DIR "/examples/powys/settings-patrymau-1.json", &problems);
    const char *field;
    const char *inner;
    json_t *section;
    json_t *value;
    json_object_foreach (document, field, section) {
        EXPECT_NE(std::string::npos,
                  manual.str().find("*" + std::string(field) + "*"))
            << field;
        json_object_foreach (section, inner, value) {
            EXPECT_NE(std::string::npos,
                      manual.str().find("*" + std::string(inner) + "*"))
                << inner;
        }
    }
    json_decref(document);
}

TEST(Settings, RandomBytesParseOrReportProblems)
{
    const std::string valid =
        R"({"instance":"i","zone":"z","http":{"listen":"127.0.0.1:80"},)"
        R"("rpc":{"listen":"127.0.0.1:81"},"announce":{"listen":)"
        R"("127.0.0.1:82"},"store":{"address":"127.0.0.1:83"},)"
        R"("limits":{"memory_mb":64,"body_max_bytes":1000000}})";
    ASSERT_TRUE(problems_of(valid).empty());
    struct random_state random;
    random_seed(&random, 5);
    for (int i = 0; i < 5000; i++) {
        std::string bytes = valid;
        const size_t change_count = 1 + random_below(&random, 3);
        for (size_t c = 0; c < change_count; c++) {
            bytes[random_below(&random, bytes.size())] =
                static_cast<char>(random_u64(&random));
        }
        problems_of(bytes);
    }
}

} // namespace
