#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "base/address.h"
#include "base/counter.h"
#include "base/error.h"
#include "base/invariant.h"
#include "base/jsontext.h"
#define LOG_MODULE "test"
#include "base/log.h"
#include "base/random.h"
#include "base/runtime.h"
#include "base/task.h"
}

namespace {

struct RecordedTimer {
    struct timer timer;
    struct runtime *runtime;
    std::vector<int64_t> *times;
};

void
record_time(void *ctx)
{
    auto *recorded = static_cast<RecordedTimer *>(ctx);
    recorded->times->push_back(runtime_now_us(recorded->runtime));
}

TEST(Runtime, AdvanceFiresTimersInOrderAtTheirDueTimes)
{
    struct runtime *runtime = runtime_create_manual(1000, nullptr);
    std::vector<int64_t> times;
    std::vector<RecordedTimer> recorded(20);
    for (size_t i = 0; i < recorded.size(); i++) {
        recorded[i].runtime = runtime;
        recorded[i].times = &times;
        timer_init(&recorded[i].timer, runtime, record_time, &recorded[i]);
        timer_start(&recorded[i].timer,
                    static_cast<int64_t>((i * 7) % 20) * 10);
    }
    timer_stop(&recorded[3].timer);
    runtime_advance(runtime, 95);
    EXPECT_EQ(1095, runtime_now_us(runtime));
    EXPECT_EQ((std::vector<int64_t>{1000, 1020, 1030, 1040, 1050, 1060, 1070,
                                    1080, 1090}),
              times);
    for (auto &f : recorded) {
        timer_stop(&f.timer);
    }
    runtime_destroy(runtime);
}

TEST(Runtime, RealClockRunsUntilStopped)
{
    struct runtime *runtime = runtime_create(nullptr);
    struct timer timer;
    timer_init(
        &timer, runtime,
        [](void *ctx) { runtime_stop(static_cast<struct runtime *>(ctx)); },
        runtime);
    const int64_t before_us = runtime_now_us(runtime);
    timer_start(&timer, 5 * US_PER_MS);
    runtime_run(runtime);
    EXPECT_GE(runtime_now_us(runtime) - before_us, 5 * US_PER_MS);
    runtime_destroy(runtime);
}

struct Mailbox {
    std::vector<uint32_t> types;
};

void
record_type(void *ctx, struct message *message)
{
    static_cast<Mailbox *>(ctx)->types.push_back(message->type);
}

struct message *
make_message(uint32_t type)
{
    auto *message =
        static_cast<struct message *>(calloc(1, sizeof(struct message)));
    message->type = type;
    return message;
}

TEST(Task, DeliversInOrderAndNeverDuringPost)
{
    struct runtime *runtime = runtime_create_manual(0, nullptr);
    Mailbox mailbox;
    struct task *task = task_create(runtime, "t", record_type, &mailbox);
    task_post(task, make_message(1));
    task_post(task, make_message(2));
    EXPECT_TRUE(mailbox.types.empty());
    runtime_poll(runtime);
    EXPECT_EQ((std::vector<uint32_t>{1, 2}), mailbox.types);
    task_post(task, make_message(3));
    task_destroy(task);
    runtime_poll(runtime);
    EXPECT_EQ(2U, mailbox.types.size());
    runtime_destroy(runtime);
}

TEST(Error, DescribesSubjectAndCause)
{
    struct error err = {};
    EXPECT_FALSE(error_set(&err, ERROR_RPC_TIMEOUT, "10.0.0.1:%d", 7));
    EXPECT_FALSE(error_wrap(&err, ERROR_STORE_UNAVAILABLE, "config/head"));
    char text[512];
    EXPECT_STREQ("config/head: the store is unavailable; nothing was done "
                 "(the peer did not answer in time)",
                 error_describe(&err, text, sizeof(text)));
    EXPECT_STREQ("rpc_timeout", error_name(ERROR_RPC_TIMEOUT));
}

/* Guards against: a text from outside that a printer drops or aborts on. */
TEST(JsonText, AcceptsUtf8WithoutControlCharactersOnly)
{
    for (const char *text : {"", "i-7f3a91c2", "a b", "\xc3\xa9", "\"\\"}) {
        EXPECT_TRUE(jsontext_is_valid(text)) << text;
    }
    /* An overlong form, a surrogate, beyond U+10FFFF, cut short. */
    for (const char *text :
         {"\xff", "\x80", "\xc0\xaf", "\xed\xa0\x80", "\xf5\x80\x80\x80",
          "a\xc3", "\x01", "a\tb", "a\r\nb", "\x7f"}) {
        EXPECT_FALSE(jsontext_is_valid(text)) << text;
    }
}

TEST(JsonText, CopyNamesWhatIsWrong)
{
    char copy[4] = "";
    struct error err = {};
    EXPECT_FALSE(jsontext_copy(copy, sizeof(copy), "abcd", "token", &err));
    EXPECT_EQ(ERROR_FIELD_RANGE, err.code);
    EXPECT_FALSE(jsontext_copy(copy, sizeof(copy), "\xff", "token", &err));
    EXPECT_EQ(ERROR_TEXT_ENCODING, err.code);
    EXPECT_STREQ("token", err.subject);
    EXPECT_TRUE(jsontext_copy(copy, sizeof(copy), "abc", "token", &err));
    EXPECT_STREQ("abc", copy);
}

TEST(JsonText, PrintReportsADocumentWithUnreadableText)
{
    struct error err = {};
    EXPECT_EQ(nullptr, jsontext_print(json_pack("{s:s}", "name", "\xff"),
                                      JSON_COMPACT, &err));
    EXPECT_EQ(ERROR_TEXT_ENCODING, err.code);
    char *text =
        jsontext_print(json_pack("{s:s}", "name", "a"), JSON_COMPACT, &err);
    EXPECT_STREQ(R"({"name":"a"})", text);
    free(text);
}

TEST(Log, EscapesValuesAndWritesOneJsonObjectPerLine)
{
    char *text = nullptr;
    size_t size = 0;
    FILE *stream = open_memstream(&text, &size);
    log_init(stream, LOG_LEVEL_INFO);
    log_set_module_level("quiet", LOG_LEVEL_OFF);
    LOG_INFO("started", LOG_STR("path", "a\"b\n"), LOG_INT("count", -3));
    LOG_DBG("hidden");
    fclose(stream);
    log_init(stderr, LOG_LEVEL_WARNING);
    EXPECT_FALSE(log_enabled(LOG_LEVEL_INFO, "quiet"));
    const std::string line(text, size);
    free(text);
    EXPECT_NE(std::string::npos,
              line.find("\"module\":\"test\",\"event\":\"started\",\"path\":"
                        "\"a\\\"b\\u000a\",\"count\":-3}\n"));
    EXPECT_EQ(std::string::npos, line.find("hidden"));
}

TEST(Log, TruncatesLongValuesToAValidJsonLine)
{
    char *text = nullptr;
    size_t size = 0;
    FILE *stream = open_memstream(&text, &size);
    log_init(stream, LOG_LEVEL_INFO);
    const std::string value(5000, '"');
    LOG_INFO("long", LOG_STR("value", value.c_str()), LOG_INT("left_out", 1));
    fclose(stream);
    log_init(stderr, LOG_LEVEL_WARNING);
    const std::string line(text, size);
    free(text);
    EXPECT_EQ("\"}\n", line.substr(line.size() - 3));
    EXPECT_LT(line.size(), 2048U);
}

TEST(Invariant, CountsChecksAndViolations)
{
    invariant_reset();
    log_init(stderr, LOG_LEVEL_OFF);
    EXPECT_TRUE(invariant_check(INVARIANT_LIMIT, true, "a"));
    EXPECT_FALSE(invariant_check(INVARIANT_LIMIT, false, "a"));
    log_init(stderr, LOG_LEVEL_WARNING);
    EXPECT_EQ(2, invariant_checks(INVARIANT_LIMIT));
    EXPECT_EQ(1, invariant_violations(INVARIANT_LIMIT));
    invariant_reset();
}

TEST(Address, RoundTripsAndRejectsHostNames)
{
    struct address address;
    char text[ADDRESS_TEXT_SIZE];
    ASSERT_TRUE(address_parse("127.0.0.1:80", &address, nullptr));
    EXPECT_STREQ("127.0.0.1:80", address_format(&address, text));
    ASSERT_TRUE(address_parse("[::1]:8080", &address, nullptr));
    EXPECT_STREQ("[::1]:8080", address_format(&address, text));
    ASSERT_TRUE(address_parse("127.0.0.1:0", &address, nullptr));
    EXPECT_STREQ("127.0.0.1:0", address_format(&address, text));
    ASSERT_TRUE(address_parse("[::1]:0", &address, nullptr));
    EXPECT_STREQ("[::1]:0", address_format(&address, text));
    struct error err;
    EXPECT_FALSE(address_parse("localhost:80", &address, &err));
    EXPECT_EQ(ERROR_ADDRESS, err.code);
    EXPECT_FALSE(address_parse("127.0.0.1", &address, &err));
}

TEST(Counter, PrintsInInsertionOrder)
{
    struct counter_registry *registry = counter_registry_create();
    counter_add(registry, "b", "second")->value = 2;
    counter_add(registry, "a", "first")->value++;
    EXPECT_EQ(2, counter_add(registry, "b", "second")->value);
    char *text = nullptr;
    size_t size = 0;
    FILE *stream = open_memstream(&text, &size);
    counter_print(registry, stream);
    fclose(stream);
    EXPECT_STREQ("# HELP b second\nb 2\n# HELP a first\na 1\n", text);
    free(text);
    counter_registry_destroy(registry);
}

TEST(Random, RepeatsTheSequenceOfASeedWithinBounds)
{
    struct random_state a;
    struct random_state b;
    random_seed(&a, 42);
    random_seed(&b, 42);
    for (int i = 0; i < 1000; i++) {
        ASSERT_EQ(random_u64(&a), random_u64(&b));
        ASSERT_LT(random_below(&a, 7), 7U);
        random_below(&b, 7);
        const int64_t in_range = random_range(&a, -3, 3);
        ASSERT_LE(-3, in_range);
        ASSERT_GE(3, in_range);
        random_range(&b, -3, 3);
    }
}

} // namespace
