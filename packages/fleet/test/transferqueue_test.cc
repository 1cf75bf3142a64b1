/* Load pattern: many instances send bodies of tens of kilobytes to one whose
 * link bears 10 Mbit/s, while small messages share that link. */
#include <gtest/gtest.h>

#include <deque>
#include <random>
#include <vector>

extern "C" {
#include "base/timeunits.h"
#include "fleet/transferqueue.h"
}

namespace {

constexpr size_t kLimit = 64 << 10;

struct TransferQueue : testing::Test {
    struct transferqueue queue;

    TransferQueue()
    {
        transferqueue_init(&queue, kLimit);
    }

    struct transferqueue_transfer Body(size_t size, int64_t deadline_us)
    {
        struct transferqueue_transfer body = {};
        body.size = size;
        body.deadline_us = deadline_us;
        return body;
    }
};

TEST_F(TransferQueue, StartsUpToTheLimitThenInOrder)
{
    auto a = Body(40 << 10, US_PER_SECOND);
    auto b = Body(40 << 10, US_PER_SECOND);
    auto c = Body(10 << 10, US_PER_SECOND);
    EXPECT_EQ(TRANSFERQUEUE_START, transferqueue_offer(&queue, &a, 0));
    EXPECT_EQ(TRANSFERQUEUE_WAIT, transferqueue_offer(&queue, &b, 0));
    EXPECT_EQ(TRANSFERQUEUE_WAIT, transferqueue_offer(&queue, &c, 0))
        << "a small one that overtakes would starve the larger";
    enum transferqueue_verdict verdict;
    EXPECT_EQ(nullptr, transferqueue_next(&queue, 0, &verdict));
    transferqueue_arrived(&queue, &a, 1000);
    EXPECT_EQ(&b, transferqueue_next(&queue, 1000, &verdict));
    EXPECT_EQ(TRANSFERQUEUE_START, verdict);
    EXPECT_EQ(&c, transferqueue_next(&queue, 1000, &verdict));
    EXPECT_EQ(nullptr, transferqueue_next(&queue, 1000, &verdict));
}

TEST_F(TransferQueue, BodyAboveTheLimitIsSentAlone)
{
    auto small = Body(1 << 10, US_PER_SECOND);
    auto large = Body(1 << 20, US_PER_SECOND);
    enum transferqueue_verdict verdict;
    transferqueue_offer(&queue, &small, 0);
    EXPECT_EQ(TRANSFERQUEUE_WAIT, transferqueue_offer(&queue, &large, 0));
    transferqueue_arrived(&queue, &small, 10);
    EXPECT_EQ(&large, transferqueue_next(&queue, 10, &verdict));
    EXPECT_EQ(TRANSFERQUEUE_START, verdict);
}

TEST_F(TransferQueue, WaitingOneIsRefusedAtItsDeadline)
{
    auto a = Body(kLimit, US_PER_SECOND);
    auto b = Body(kLimit, 1000);
    enum transferqueue_verdict verdict;
    transferqueue_offer(&queue, &a, 0);
    EXPECT_EQ(TRANSFERQUEUE_WAIT, transferqueue_offer(&queue, &b, 0));
    EXPECT_EQ(&b, transferqueue_next(&queue, 1000, &verdict));
    EXPECT_EQ(TRANSFERQUEUE_REFUSE, verdict);
}

TEST_F(TransferQueue, AbandonedTransfersFreeTheirRoom)
{
    auto a = Body(kLimit, US_PER_SECOND);
    auto b = Body(kLimit, US_PER_SECOND);
    auto c = Body(kLimit, US_PER_SECOND);
    enum transferqueue_verdict verdict;
    transferqueue_offer(&queue, &a, 0);
    transferqueue_offer(&queue, &b, 0);
    transferqueue_offer(&queue, &c, 0);
    transferqueue_abandon(&queue, &b, 5);
    transferqueue_abandon(&queue, &a, 10);
    transferqueue_abandon(&queue, &a, 10);
    EXPECT_EQ(&c, transferqueue_next(&queue, 10, &verdict));
    transferqueue_abandon(&queue, &c, 20);
    EXPECT_EQ(0U, queue.running_bytes);
    EXPECT_EQ(0U, queue.waiting_bytes);
}

/* Senders that die after they were accepted must not make all others look too
 * late for good. */
TEST_F(TransferQueue, SpeedIsLearntAgainAfterTransfersThatNeverArrived)
{
    auto first = Body(kLimit, US_PER_SECOND);
    transferqueue_offer(&queue, &first, 0);
    transferqueue_arrived(&queue, &first, 50 * US_PER_MS);
    int64_t now_us = US_PER_SECOND;
    for (int i = 0; i < 10; i++) {
        auto lost = Body(kLimit, now_us + 9 * US_PER_SECOND);
        transferqueue_offer(&queue, &lost, now_us);
        now_us += 2 * US_PER_SECOND;
        transferqueue_abandon(&queue, &lost, now_us);
    }
    auto next = Body(kLimit, now_us + US_PER_SECOND);
    EXPECT_EQ(TRANSFERQUEUE_START, transferqueue_offer(&queue, &next, now_us));
}

/** Bodies that a link of 1.25 MB/s transfers one after the other. */
struct Link {
    struct transferqueue *queue;
    std::deque<struct transferqueue_transfer *> running;
    int64_t free_us = 0;

    void Start(struct transferqueue_transfer *body, int64_t now_us)
    {
        free_us = std::max(free_us, now_us) +
                  static_cast<int64_t>(body->size * 8 / 10);
        running.push_back(body);
    }
};

TEST_F(TransferQueue, WhatCannotArriveInTimeIsRefusedOnArrival)
{
    std::mt19937 random(1);
    std::vector<struct transferqueue_transfer> bodies(2000);
    Link link{&queue, {}};
    int64_t longest_backlog_us = 0;
    unsigned late = 0;
    unsigned arrived = 0;
    unsigned refused_waiting = 0;
    std::vector<int64_t> ends;
    size_t next_end = 0;
    for (size_t i = 0; i < bodies.size(); i++) {
        /* Half as much again as the link bears. */
        const int64_t now_us = static_cast<int64_t>(i) * 32 * US_PER_MS;
        const auto Finish = [&](int64_t until_us) {
            enum transferqueue_verdict verdict;
            while (next_end < ends.size() && ends[next_end] <= until_us) {
                const int64_t end_us = ends[next_end++];
                struct transferqueue_transfer *body = link.running.front();
                link.running.pop_front();
                late += end_us > body->deadline_us ? 1 : 0;
                arrived++;
                transferqueue_arrived(&queue, body, end_us);
                struct transferqueue_transfer *next;
                while ((next = transferqueue_next(&queue, end_us, &verdict)) !=
                       nullptr) {
                    if (verdict == TRANSFERQUEUE_REFUSE) {
                        refused_waiting++;
                        continue;
                    }
                    link.Start(next, end_us);
                    ends.push_back(link.free_us);
                }
            }
        };
        Finish(now_us);
        bodies[i] = Body(20000 + random() % 80000, now_us + US_PER_SECOND);
        if (transferqueue_offer(&queue, &bodies[i], now_us) ==
            TRANSFERQUEUE_START) {
            link.Start(&bodies[i], now_us);
            ends.push_back(link.free_us);
        }
        longest_backlog_us =
            std::max(longest_backlog_us, link.free_us - now_us);
    }
    /* The bound is what the link can transfer in that time. */
    const double bound = 2000 * 32e-3 * 1.25e6 / 60000;
    EXPECT_GT(arrived, 0.95 * bound);
    EXPECT_LT(longest_backlog_us, 100 * US_PER_MS)
        << "small messages wait that long";
    EXPECT_LT(late, arrived / 100);
    EXPECT_LT(refused_waiting, 20U);
}

} // namespace
