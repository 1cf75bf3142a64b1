#include <gtest/gtest.h>

#include <cstring>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

extern "C" {
#include "base/random.h"
#include "base/runtime.h"
#include "state/revision.h"
#include "state/state.h"
#include "state/statediff.h"
#include "state/statejson.h"
}

namespace {

json_t *
load(const char *name)
{
    const std::string path = std::string(SOURCE_DIR "/examples/") + name;
    struct document_problems problems = {};
    json_t *document = document_load(path.c_str(), &problems);
    EXPECT_NE(nullptr, document);
    return document;
}

std::vector<std::string>
problems_of(const json_t *document)
{
    struct document_problems problems = {};
    struct state *state = state_parse(document, &problems);
    EXPECT_EQ(state == nullptr, problems.count > 0);
    state_destroy(state);
    std::vector<std::string> texts;
    for (size_t i = 0; i < problems.count && i < DOCUMENT_PROBLEMS_MAX; i++) {
        texts.push_back(std::string(error_name(problems.problems[i].code)) +
                        " " + problems.problems[i].subject);
    }
    return texts;
}

struct state *
parse(const json_t *document)
{
    struct document_problems problems = {};
    return state_parse(document, &problems);
}

TEST(State, ParsesTheExampleDocuments)
{
    json_t *document = load("powys/state.json");
    struct state *state = parse(document);
    ASSERT_NE(nullptr, state);
    EXPECT_EQ(3U, state->zone_count);
    const struct state_service *patrymau =
        state_find_service(state, "patrymau");
    EXPECT_EQ(STATE_KEY_PATH, patrymau->key_source);
    EXPECT_EQ(20U, patrymau->slots);
    EXPECT_EQ(130U, patrymau->connections);
    EXPECT_TRUE(patrymau->targets_check_grants);
    const struct state_service *orders =
        state_service_for_path(state, "/archebion/orders?x=1");
    ASSERT_NE(nullptr, orders);
    EXPECT_STREQ("archebion", orders->name);
    EXPECT_TRUE(orders->durable_at_most_once);
    EXPECT_TRUE(state_is_idempotent(orders, "GET"));
    EXPECT_FALSE(state_is_idempotent(orders, "POST"));
    EXPECT_EQ(nullptr, state_service_for_path(state, "/archebion2"));
    EXPECT_EQ(750 * US_PER_MS, state->limits.lease_us);
    state_destroy(state);
    json_decref(document);
    document = load("lagos/state.json");
    EXPECT_TRUE(problems_of(document).empty());
    json_decref(document);
}

TEST(State, ListsEveryProblemWithItsPath)
{
    const char *text = R"({
      "zones": [{"name": "a"}, {"name": "a", "exit": 1}],
      "services": [
        {"name": "s", "path_prefix": "/s/t", "slots": 5, "connections": 4,
         "key": {"source": "path", "segment": 1},
         "shards": 3, "targets_check_grants": 1},
        {"name": "s", "path_prefix": "u", "slots": 2, "connections": 4,
         "cold_limit": 3, "key": {"source": "header"},
         "idempotent_methods": ["GET", "get", "GET"],
         "deadline_ms": 9, "deadline_max_ms": 8,
         "targets_check_grants": true}],
      "lost_instances": ["i", "i", 7],
      "limits": {"lease_ms": 1},
      "extra": {}})";
    json_t *document = json_loads(text, 0, nullptr);
    const std::vector<std::string> expected = {
        "field_duplicate /zones/1/name",
        "field_unknown /zones/1/exit",
        "field_range /services/0/key/segment (expected at least 2, after "
        "path_prefix)",
        "field_range /services/0/shards (expected a power of two)",
        "field_type /services/0/targets_check_grants (expected true or "
        "false)",
        "field_duplicate /services/1/name",
        "field_range /services/1/path_prefix (expected a path that starts "
        "with '/', without query)",
        "field_missing /services/1/key/name",
        "field_range /services/1/cold_limit (expected at most slots)",
        "field_range /services/1/deadline_ms (expected at most "
        "deadline_max_ms)",
        "field_range /services/1/idempotent_methods/1 (expected a method in "
        "upper case)",
        "field_duplicate /services/1/idempotent_methods/2",
        "field_duplicate /lost_instances/1",
        "field_range /lost_instances/2 (expected the name of an instance)",
        "field_range /limits/lease_ms (expected 100 to 30000)",
        "field_unknown /extra",
    };
    EXPECT_EQ(expected, problems_of(document));
    json_decref(document);
}

TEST(State, JsonRoundTripIsAnEqualState)
{
    for (const char *name : {"powys/state.json", "lagos/state.json"}) {
        json_t *document = load(name);
        struct state *state = parse(document);
        json_t *serialized = state_to_json(state);
        struct state *reparsed = parse(serialized);
        ASSERT_NE(nullptr, reparsed);
        struct state_diff *diff = state_diff_create(state, reparsed);
        EXPECT_EQ(0U, diff->count);
        state_diff_destroy(diff);
        state_destroy(reparsed);
        state_destroy(state);
        json_decref(serialized);
        json_decref(document);
    }
}

TEST(State, DigestIsIndependentOfFieldOrder)
{
    json_t *a = json_loads(R"({"a": 1, "b": [2, 3]})", 0, nullptr);
    json_t *b = json_loads(R"({"b": [2, 3], "a": 1})", 0, nullptr);
    json_t *c = json_loads(R"({"b": [3, 2], "a": 1})", 0, nullptr);
    EXPECT_EQ(state_digest(a), state_digest(b));
    EXPECT_NE(state_digest(a), state_digest(c));
    json_decref(a);
    json_decref(b);
    json_decref(c);
}

TEST(State, DiffListsThePathOfEachChange)
{
    json_t *document = load("powys/state.json");
    struct state *before = parse(document);
    json_t *services = json_object_get(document, "services");
    json_object_set_new(json_array_get(services, 0), "slots",
                        json_integer(12));
    json_array_remove(services, 2);
    json_object_set_new(json_array_get(json_object_get(document, "zones"), 1),
                        "out", json_true());
    json_array_append_new(json_object_get(document, "lost_instances"),
                          json_string("patrymau-2"));
    struct state *after = parse(document);
    struct state_diff *diff = state_diff_create(before, after);
    std::vector<std::string> paths;
    for (size_t i = 0; i < diff->count; i++) {
        paths.push_back(diff->changes[i].path);
    }
    EXPECT_EQ((std::vector<std::string>{
                  "/lost_instances/patrymau-2", "/services/archebion",
                  "/services/patrymau/slots", "/zones/rhayader/out"}),
              paths);
    state_diff_destroy(diff);
    diff = state_diff_create(nullptr, after);
    EXPECT_EQ(11U, diff->count);
    state_diff_destroy(diff);
    state_destroy(before);
    state_destroy(after);
    json_decref(document);
}

TEST(State, RevisionRowRoundTripsAndDetectsCorruption)
{
    json_t *document = load("lagos/state.json");
    struct revision_head head = {};
    head.revision = 4;
    head.base = 3;
    strcpy(head.author, "bisi");
    state_digest_format(state_digest(document), head.digest);
    json_t *row = revision_row_to_json(&head, document);
    struct revision_head read;
    struct error err = {};
    EXPECT_EQ(document, revision_row_document(row, &read, &err));
    EXPECT_EQ(4U, read.revision);
    EXPECT_STREQ("bisi", read.author);
    json_object_set_new(document, "limits", json_object());
    EXPECT_EQ(nullptr, revision_row_document(row, &read, &err));
    EXPECT_EQ(ERROR_STORE_ANSWER, err.code);
    char name[REVISION_ROW_NAME_SIZE];
    revision_row_name(4, name);
    EXPECT_STREQ("revision/00000000000000000004", name);
    json_decref(row);
    json_decref(document);
}

TEST(State, ShardCountOfAServiceIsImmutable)
{
    json_t *document = load("lagos/state.json");
    struct state *before = parse(document);
    json_t *service = json_array_get(json_object_get(document, "services"), 1);
    json_object_set_new(service, "shards", json_integer(128));
    struct state *after = parse(document);
    struct document_problems problems = {};
    EXPECT_TRUE(revision_check_immutable(before, before, &problems));
    EXPECT_FALSE(revision_check_immutable(before, after, &problems));
    EXPECT_STREQ("/services/1/shards (expected 64, fixed while "
                 "reservation-desk exists)",
                 problems.problems[0].subject);
    state_destroy(before);
    state_destroy(after);
    json_decref(document);
}

std::string
read_file(const std::string &name)
{
    std::ifstream file(SOURCE_DIR "/" + name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/** Expects every field of a document in STATE.md and the manual page. */
void
expect_documented(const json_t *value)
{
    static const std::string page = read_file("docs/STATE.md");
    static const std::string manual =
        read_file("docs/man/chestnutgap-state.5.scd");
    const char *field;
    json_t *member;
    json_object_foreach (const_cast<json_t *>(value), field, member) {
        const std::string name(field);
        EXPECT_NE(std::string::npos, page.find(name)) << name;
        EXPECT_NE(std::string::npos, manual.find("*" + name + "*")) << name;
        expect_documented(member);
    }
    for (size_t i = 0; i < json_array_size(value); i++) {
        expect_documented(json_array_get(value, i));
    }
}

TEST(State, EveryFieldIsDocumented)
{
    json_t *document = load("powys/state.json");
    struct state *state = parse(document);
    json_t *serialized = state_to_json(state);
    expect_documented(serialized);
    json_decref(serialized);
    state_destroy(state);
    json_decref(document);
}

TEST(State, CorruptedDocumentsAreRejectedOrValid)
{
    json_t *document = load("powys/state.json");
    char *text = json_dumps(document, JSON_COMPACT);
    const std::string valid(text);
    free(text);
    json_decref(document);
    struct random_state random;
    random_seed(&random, 11);
    size_t accepted = 0;
    for (int i = 0; i < 3000; i++) {
        std::string bytes = valid;
        const size_t changes = 1 + random_below(&random, 3);
        for (size_t c = 0; c < changes; c++) {
            const char random_byte = static_cast<char>(random_u64(&random));
            const size_t position = random_below(&random, bytes.size());
            const bool digit =
                bytes[position] >= '0' && bytes[position] <= '9';
            bytes[position] = digit ? static_cast<char>('0' + random_byte % 10)
                                    : random_byte;
        }
        struct document_problems problems = {};
        json_t *parsed = document_parse(bytes.data(), bytes.size(), &problems);
        struct state *state =
            parsed != nullptr ? state_parse(parsed, &problems) : nullptr;
        EXPECT_EQ(state == nullptr, problems.count > 0);
        for (size_t s = 0; state != nullptr && s < state->service_count; s++) {
            const struct state_service &service = state->services[s];
            EXPECT_LE(service.cold_limit, service.slots);
            EXPECT_LE(service.slots, service.connections);
            EXPECT_LE(service.deadline_us, service.deadline_max_us);
        }
        accepted += state != nullptr;
        state_destroy(state);
        json_decref(parsed);
    }
    EXPECT_GT(accepted, 0U);
}

} // namespace
