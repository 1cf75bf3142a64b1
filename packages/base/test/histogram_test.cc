#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include <fcntl.h>
#include <unistd.h>

extern "C" {
#include "base/histogram.h"
#define LOG_MODULE "test"
#include "base/log.h"
#include "base/random.h"
}

namespace {

TEST(Histogram, QuantileErrorIsAtMostASixteenth)
{
    struct random_state random;
    for (uint64_t seed = 1; seed <= 10; seed++) {
        struct histogram_registry *registry = histogram_registry_create();
        struct histogram *histogram = histogram_add(registry, "h", "", "help");
        std::vector<int64_t> exact;
        random_seed(&random, seed);
        for (int i = 0; i < 5000; i++) {
            const auto value = static_cast<int64_t>(
                random_exponential(&random, 1000.0 * (1 << seed)));
            exact.push_back(value);
            histogram_record(histogram, value);
        }
        std::sort(exact.begin(), exact.end());
        for (const double share : {0.01, 0.5, 0.9, 0.99, 0.999, 1.0}) {
            const auto index =
                static_cast<size_t>(std::max(0.0, share * 5000.0 - 1.0));
            const int64_t estimate_us =
                histogram_quantile_us(histogram, share);
            EXPECT_GT(estimate_us, exact[index]) << seed << " " << share;
            EXPECT_LE(static_cast<double>(estimate_us),
                      static_cast<double>(exact[index]) * 17 / 16 + 1);
        }
        histogram_registry_destroy(registry);
    }
}

TEST(Histogram, PrintsCumulativeBucketsAndSum)
{
    struct histogram_registry *registry = histogram_registry_create();
    struct histogram *histogram =
        histogram_add(registry, "h_seconds", "stage=\"queue\"", "help");
    histogram_record(histogram, 500);
    histogram_record(histogram, 30000);
    histogram_record(histogram, -5);
    char *text = nullptr;
    size_t size = 0;
    FILE *stream = open_memstream(&text, &size);
    histogram_print(registry, stream);
    fclose(stream);
    const std::string got(text, size);
    EXPECT_NE(std::string::npos, got.find("# TYPE h_seconds histogram\n"));
    EXPECT_NE(std::string::npos,
              got.find("h_seconds_bucket{stage=\"queue\",le=\"0.001\"} 2\n"));
    EXPECT_NE(std::string::npos,
              got.find("h_seconds_bucket{stage=\"queue\",le=\"+Inf\"} 3\n"));
    EXPECT_NE(std::string::npos,
              got.find("h_seconds_sum{stage=\"queue\"} 0.030500\n"));
    free(text);
    histogram_registry_destroy(registry);
}

std::string
ReadAll(int fd)
{
    std::string got;
    char buffer[65536];
    ssize_t size;
    while ((size = read(fd, buffer, sizeof(buffer))) > 0) {
        got.append(buffer, static_cast<size_t>(size));
    }
    return got;
}

/* Logs to a pipe, limited to 100 lines per second; tests drain the pipe. */
struct BoundedLog : testing::Test {
    int pipe_fds[2] = {-1, -1};
    FILE *stream = nullptr;
    std::string got;

    void SetUp() override
    {
        ASSERT_EQ(0, pipe2(pipe_fds, O_NONBLOCK));
        stream = fdopen(pipe_fds[1], "w");
        log_init(stream, LOG_LEVEL_INFO);
        log_set_rate_limit(pipe_fds[1], 100);
    }

    void TearDown() override
    {
        log_set_rate_limit(-1, 0);
        log_init(stderr, LOG_LEVEL_WARNING);
        fclose(stream);
        close(pipe_fds[0]);
    }

    void Read()
    {
        got += ReadAll(pipe_fds[0]);
    }
};

TEST_F(BoundedLog, FloodIsLimitedAndKeepsRoomForWarnings)
{
    for (int i = 0; i < 2000; i++) {
        LOG_INFO("flood", LOG_INT("i", i));
        Read();
    }
    for (int i = 0; i < 20; i++) {
        LOG_WARN("important", LOG_INT("i", i));
        Read();
    }
    const auto lines = std::count(got.begin(), got.end(), '\n');
    EXPECT_LE(lines, 2 * 100 + 30);
    EXPECT_NE(std::string::npos, got.find("\"important\",\"i\":19"));
    EXPECT_GT(log_dropped(), 1500U);
}

/* Guards against step lines that use up the limit, so that the lines about how
 * requests ended are dropped. */
TEST_F(BoundedLog, StepsLeaveRoomForFinalLines)
{
    for (int i = 0; i < 500; i++) {
        LOG_STEP("step", LOG_INT("i", i));
        Read();
    }
    for (int i = 0; i < 40; i++) {
        LOG_INFO("closing", LOG_INT("i", i));
        Read();
    }
    EXPECT_NE(std::string::npos, got.find("\"closing\",\"i\":39"));
}

TEST(Log, FullPipeDropsLinesWithoutBlocking)
{
    int pipe_fds[2];
    ASSERT_EQ(0, pipe(pipe_fds));
    FILE *stream = fdopen(pipe_fds[1], "w");
    log_init(stream, LOG_LEVEL_INFO);
    log_set_rate_limit(pipe_fds[1], 1000000);
    const uint64_t before = log_dropped();
    for (int i = 0; i < 3000; i++) {
        LOG_INFO("line", LOG_INT("i", i));
    }
    EXPECT_GT(log_dropped(), before);
    log_set_rate_limit(-1, 0);
    log_init(stderr, LOG_LEVEL_WARNING);
    fclose(stream);
    close(pipe_fds[0]);
}

} // namespace
