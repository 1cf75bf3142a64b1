#include <gtest/gtest.h>

#include <map>
#include <string>
#include <strings.h>
#include <vector>

extern "C" {
#include "entry/choice.h"
#include "entry/coalescer.h"
#include "entry/hedge.h"
#include "entry/request.h"
#include "entry/requestkey.h"
#include "entry/retry.h"
}

namespace {

using Headers = std::map<std::string, std::string>;

const char *
find_header(void *ctx, const char *name)
{
    for (const auto &[key, value] : *static_cast<Headers *>(ctx)) {
        if (strcasecmp(key.c_str(), name) == 0) {
            return value.c_str();
        }
    }
    return nullptr;
}

class RequestKey : public testing::Test {
  protected:
    RequestKey()
    {
        snprintf(service_.name, sizeof(service_.name), "archebion");
        snprintf(service_.key_name, sizeof(service_.key_name), "id");
        snprintf(service_.idempotent_methods[0], STATE_METHOD_MAX, "GET");
        service_.idempotent_method_count = 1;
        service_.deadline_us = 2000000;
        service_.deadline_max_us = 5000000;
    }
    error_code Read(const char *method, const char *target,
                    Headers headers = {})
    {
        const requestkey_source source = {method, target, find_header,
                                          &headers};
        error err = {};
        return requestkey_read(&service_, &source, &key_, &err) ? ERROR_NONE
                                                                : err.code;
    }
    state_service service_ = {};
    requestkey key_ = {};
};

TEST_F(RequestKey, ReadsKeyFromPathQueryOrHeader)
{
    service_.key_source = STATE_KEY_PATH;
    service_.key_segment = 1;
    EXPECT_EQ(ERROR_NONE, Read("GET", "/orders/a%2Fb%20c/x?id=z"));
    EXPECT_STREQ("a/b c", key_.key);
    EXPECT_TRUE(key_.idempotent);
    EXPECT_EQ(ERROR_KEY_MISSING, Read("GET", "/orders"));
    EXPECT_EQ(ERROR_KEY_MISSING, Read("GET", "/orders//x"));
    EXPECT_EQ(ERROR_KEY_INVALID, Read("GET", "/orders/%4"));
    EXPECT_EQ(ERROR_KEY_INVALID, Read("GET", "/orders/a%00b"));
    EXPECT_EQ(ERROR_KEY_INVALID,
              Read("GET", ("/orders/" + std::string(256, 'a')).c_str()));
    service_.key_source = STATE_KEY_QUERY;
    EXPECT_EQ(ERROR_NONE, Read("GET", "/o?x=1&i%64=a+b%26&id=second"));
    EXPECT_STREQ("a b&", key_.key);
    EXPECT_EQ(ERROR_KEY_INVALID, Read("GET", "/o?id="));
    EXPECT_EQ(ERROR_KEY_MISSING, Read("GET", "/o?idx=1#id=2"));
    service_.key_source = STATE_KEY_HEADER;
    EXPECT_EQ(ERROR_NONE, Read("GET", "/", {{"ID", "k%20"}}));
    EXPECT_STREQ("k%20", key_.key);
}

TEST_F(RequestKey, ReadsAndChecksIdsAndDeadlines)
{
    EXPECT_EQ(ERROR_NONE, Read("POST", "/o", {{"idempotency-key", "q-1"}}));
    EXPECT_TRUE(key_.keyed) << "one gate records it";
    EXPECT_STREQ("q-1", key_.key);
    EXPECT_EQ(2000000, key_.remaining_us);
    EXPECT_EQ(ERROR_NONE, Read("GET", "/o", {{"Idempotency-Key", "q-1"}}));
    EXPECT_FALSE(key_.keyed);
    EXPECT_EQ(ERROR_ID_INVALID, Read("POST", "/", {{"Idempotency-Key", ""}}));
    EXPECT_EQ(ERROR_ID_INVALID,
              Read("POST", "/", {{"Idempotency-Key", "a b"}}));
    service_.require_id = true;
    EXPECT_EQ(ERROR_ID_MISSING, Read("POST", "/"));
    const char *name = REQUESTKEY_DEADLINE_HEADER;
    EXPECT_EQ(ERROR_NONE, Read("GET", "/", {{name, "150"}}));
    EXPECT_EQ(150000, key_.remaining_us);
    EXPECT_EQ(ERROR_NONE, Read("GET", "/", {{name, "999999999"}}));
    EXPECT_EQ(5000000, key_.remaining_us);
    EXPECT_EQ(ERROR_DEADLINE_INVALID, Read("GET", "/", {{name, "-1"}}));
    EXPECT_EQ(ERROR_DEADLINE_INVALID, Read("GET", "/", {{name, "1s"}}));
}

struct Read {
    Read(std::string target, Headers headers, const char *method = "GET")
        : target_(std::move(target)), headers_(std::move(headers))
    {
        for (auto &[key, value] : headers_) {
            header_list_.push_back({const_cast<char *>(key.c_str()),
                                    const_cast<char *>(value.c_str())});
        }
        request_.service = const_cast<char *>("s");
        request_.key = const_cast<char *>("");
        request_.method = const_cast<char *>(method);
        request_.target = const_cast<char *>(target_.c_str());
        request_.idempotent = true;
        request_.headers.headers_val = header_list_.data();
        request_.headers.headers_len = static_cast<u_int>(header_list_.size());
    }
    std::string target_;
    Headers headers_;
    std::vector<forward_header> header_list_;
    forward_request request_ = {};
    coalescer_read read_ = {};
};

TEST(Flight, OnlyIdenticalReadsShareAndFollowerReplacesLeader)
{
    struct coalescer *coalescer = coalescer_create();
    Read leader("/a", {{"Accept", "x"}, {"User-Agent", "one"}});
    Read same("/a", {{"accept", "x"}, {"user-agent", "two"}});
    Read third("/a", {{"Accept", "x"}});
    Read other_header("/a", {{"Accept", "y"}});
    Read authorized("/a", {{"Accept", "x"}, {"Authorization", "me"}});
    Read other_target("/b", {{"Accept", "x"}});
    Read head("/a", {{"Accept", "x"}}, "HEAD");
    EXPECT_TRUE(coalescer_join(coalescer, &leader.read_, &leader.request_));
    EXPECT_FALSE(coalescer_join(coalescer, &same.read_, &same.request_));
    EXPECT_FALSE(coalescer_join(coalescer, &third.read_, &third.request_));
    for (Read *read : {&other_header, &authorized, &other_target, &head}) {
        EXPECT_TRUE(coalescer_join(coalescer, &read->read_, &read->request_));
        EXPECT_EQ(nullptr, coalescer_leave(coalescer, &read->read_));
    }
    EXPECT_EQ(&same.read_, coalescer_leave(coalescer, &leader.read_));
    Read late("/a", {{"Accept", "x"}});
    EXPECT_FALSE(coalescer_join(coalescer, &late.read_, &late.request_));
    EXPECT_EQ(nullptr, coalescer_leave(coalescer, &third.read_));
    EXPECT_EQ(&late.read_, coalescer_next_follower(&same.read_));
    EXPECT_EQ(nullptr, coalescer_next_follower(&same.read_));
    EXPECT_EQ(nullptr, coalescer_leave(coalescer, &same.read_));
    coalescer_destroy(coalescer);
}

TEST(Hedge, QuantilesAreWithinABucketAndOldSamplesExpire)
{
    struct hedge hedge;
    hedge_init(&hedge, 3, 0);
    EXPECT_EQ(-1, hedge_delay_us(&hedge));
    for (int i = 1; i <= 1000; i++) {
        hedge_record_latency(&hedge, 0, i * 100);
    }
    for (const double quantile : {0.5, 0.95, 0.99}) {
        const double exact = quantile * 100000;
        const auto estimate =
            static_cast<double>(hedge_quantile_us(&hedge, quantile));
        EXPECT_GE(estimate, exact * 0.99);
        EXPECT_LE(estimate, exact * 1.13);
    }
    for (int i = 0; i < 3; i++) {
        for (int j = 0; j < 200; j++) {
            hedge_record_latency(&hedge, (i + 1) * INT64_C(10000000), 50);
        }
    }
    EXPECT_LE(hedge_delay_us(&hedge), 60);
    int hedges = 0;
    for (int i = 0; i < 1000; i++) {
        hedge_earn_token(&hedge);
        hedges += hedge_take_token(&hedge);
    }
    EXPECT_NEAR(30, hedges, 1);
}

TEST(Retry, BudgetIsAShareOfTrafficAndBackoffGrows)
{
    struct retry retry;
    retry_init(&retry, 10, 0);
    int retries = 0;
    for (int i = 0; i < 10000; i++) {
        retry_earn_token(&retry, i);
        retries += retry_take_token(&retry, i);
    }
    EXPECT_NEAR(1010, retries, 2);
    struct random_state random;
    random_seed(&random, 1);
    for (unsigned attempt = 1; attempt < 20; attempt++) {
        const int64_t delay_us = retry_backoff_us(&random, attempt);
        EXPECT_GE(delay_us, attempt < 7 ? 1000 << (attempt - 1) : 64000);
        EXPECT_LE(delay_us, 256000);
    }
}

TEST(Choice, PicksBySpareCapacityAndFreesRemovedMemberLate)
{
    struct random_state random;
    random_seed(&random, 1);
    struct choice *choice = choice_create("z0", &random);
    EXPECT_EQ(CHOICE_NO_MEMBER, choice_pick(choice, nullptr, 0, true, 0));
    const uint32_t a = choice_add(choice, "a", "z0");
    const uint32_t b = choice_add(choice, "b", "z1");
    const forward_load load = {.in_flight = 0, .limit = 10};
    std::vector<choice_attempt> attempts(3);
    for (uint32_t member : {a, b}) {
        choice_attempt_started(choice, &attempts[0], member, 0);
        choice_attempt_ended(choice, &attempts[0], 1000, CHOICE_ANSWERED,
                             &load);
    }
    EXPECT_EQ(a, choice_pick(choice, nullptr, 0, true, 1000))
        << "own zone preferred";
    for (choice_attempt &attempt : attempts) {
        choice_attempt_started(choice, &attempt, a, 1000);
    }
    EXPECT_EQ(b, choice_pick(choice, nullptr, 0, true, 1000))
        << "own zone full";
    EXPECT_EQ(b, choice_pick(choice, &a, 1, true, 1000));
    EXPECT_EQ(choice_pick_by_hash(choice, 5, nullptr, 0, 0),
              choice_pick_by_hash(choice, 5, nullptr, 0, 9));
    choice_set_excluded(choice, b, true);
    EXPECT_EQ(a, choice_pick(choice, nullptr, 0, true, 1000));
    choice_remove(choice, "a");
    EXPECT_EQ(CHOICE_NO_MEMBER, choice_pick(choice, nullptr, 0, true, 1000));
    for (int i = 0; i < 20; i++) {
        choice_add(choice, std::to_string(i).c_str(), "z1");
    }
    choice_attempt_ended(choice, &attempts[0], 2000, CHOICE_UNREACHABLE,
                         nullptr);
    choice_attempt_ended(choice, &attempts[1], 2000, CHOICE_ANSWERED, &load);
    EXPECT_STREQ("a", choice_member_name(choice, a))
        << "until its last attempt ends";
    choice_attempt_ended(choice, &attempts[2], 2000, CHOICE_ABANDONED,
                         nullptr);
    EXPECT_EQ(nullptr, choice_member_name(choice, a));
    choice_destroy(choice);
}

/* A keyed request at an entry that knows three members but not the owner. */
class KeyedRequest : public testing::Test {
  protected:
    KeyedRequest()
    {
        random_seed(&random_, 1);
        choice_ = choice_create("z0", &random_);
        for (const char *name : {"a", "b", "c"}) {
            choice_add(choice_, name, "z0");
        }
        retry_init(&retry_, 10, 0);
        hedge_init(&hedge_, 0, 0);
        suspects_ = suspects_create(16);
        env_ = {};
        env_.choice = choice_;
        env_.retry = &retry_;
        env_.hedge = &hedge_;
        env_.suspects = suspects_;
        env_.random = &random_;
        env_.owner = [](void *, uint32_t, uint64_t *epoch) {
            *epoch = 0;
            return CHOICE_NO_MEMBER;
        };
        env_.ops.send = [](void *ctx, request *, const request_send *send) {
            static_cast<KeyedRequest *>(ctx)->sent_.push_back(*send);
        };
        env_.ops.cancel = [](void *, request *, uint32_t) {};
        env_.ops.answer = [](void *ctx, request *, const request_answer *a) {
            static_cast<KeyedRequest *>(ctx)->answers_.push_back(*a);
        };
        env_.ops.set_timer = [](void *ctx, request *, int64_t due_us) {
            static_cast<KeyedRequest *>(ctx)->timer_due_us_ = due_us;
        };
        env_.ops_ctx = this;
        const request_spec spec = {
            .deadline_us = 2000000, .keyed = true, .has_id = true};
        request_ = request_create(&env_, &spec, nullptr);
    }
    ~KeyedRequest() override
    {
        request_destroy(request_);
        suspects_destroy(suspects_);
        choice_destroy(choice_);
    }
    /* Refuses the latest attempt, as a gate that names this owner. */
    void RefuseNotOwner(uint32_t owner, uint64_t epoch)
    {
        const request_reply reply = {.outcome = FORWARD_NOT_RUN,
                                     .reason = FORWARD_REASON_NOT_OWNER,
                                     .owner = owner,
                                     .owner_epoch = epoch};
        request_replied(request_, sent_.back().number, &reply, now_us_);
    }
    void RunTimer()
    {
        now_us_ = timer_due_us_;
        request_timer_expired(request_, now_us_);
    }
    random_state random_;
    struct choice *choice_;
    struct retry retry_;
    struct hedge hedge_;
    struct suspects *suspects_;
    request_env env_;
    struct request *request_;
    std::vector<request_send> sent_;
    std::vector<request_answer> answers_;
    int64_t now_us_ = 0;
    int64_t timer_due_us_ = 0;
};

TEST_F(KeyedRequest, UnknownOwnerIsLearnedFromAMembersRefusal)
{
    request_start(request_, now_us_);
    ASSERT_EQ(1u, sent_.size()) << "sent to a member at once";
    EXPECT_EQ(0u, sent_[0].epoch);
    const uint32_t owner = (sent_[0].member + 1) % 3;
    RefuseNotOwner(owner, 7);
    ASSERT_EQ(2u, sent_.size()) << "sent to the named owner";
    EXPECT_EQ(owner, sent_[1].member);
    EXPECT_EQ(7u, sent_[1].epoch);
}

TEST_F(KeyedRequest, UnknownOwnerIsSoughtOncePerMemberThenNotRun)
{
    request_start(request_, now_us_);
    std::vector<bool> seen(3);
    for (size_t i = 0; i < 3; i++) {
        ASSERT_EQ(i + 1, sent_.size());
        EXPECT_FALSE(seen[sent_[i].member]);
        seen[sent_[i].member] = true;
        RefuseNotOwner(CHOICE_NO_MEMBER, 0);
        RunTimer();
    }
    while (answers_.empty()) {
        RunTimer();
    }
    EXPECT_EQ(3u, sent_.size());
    EXPECT_EQ(FORWARD_REASON_NOT_OWNER, answers_[0].reason);
    EXPECT_LE(now_us_, 1100000);
}

} // namespace
