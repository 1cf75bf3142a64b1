#include "session.h"

#include <gtest/gtest-spi.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <regex>

namespace {

const char *const powys = "examples/powys/state.json";

/** A daemon's invariant report. */
std::string
promises(int violations)
{
    std::string text = "[";
    for (const char *name :
         {"one_owner", "epoch_rises", "revision_rises", "lease_held",
          "zone_out", "leaving", "limit", "not_run", "at_most_once",
          "own_answer", "request_state", "graceful_stop"}) {
        const bool first = text == "[";
        text += (first ? "" : ",") + std::string("{\"name\":\"") + name +
                "\",\"text\":\"\",\"checks\":10,\"violations\":" +
                std::to_string(first ? violations : 0) + "}";
    }
    return text + "]";
}

std::string
status(int revision)
{
    return R"({"instance":"i","zone":"z","lease_until_us":1,"revision":)" +
           std::to_string(revision) +
           R"(,"draining":false,"load":{"in_flight":2,"limit":20}})";
}

class Ctl : public Session {};

/** Output of explain SUBJECT for a log. */
static std::string
ExplainLog(const std::string &subject, const std::string &log)
{
    char name[] = "/tmp/explainXXXXXX";
    const int fd = mkstemp(name);
    EXPECT_GE(fd, 0);
    EXPECT_EQ(static_cast<ssize_t>(log.size()),
              write(fd, log.data(), log.size()));
    close(fd);
    std::string program = BUILD_DIR "/chestnutgapctl";
    FILE *output = popen(
        (program + " explain " + subject + " --log " + name + " 2>&1").c_str(),
        "r");
    EXPECT_NE(nullptr, output);
    std::string got;
    char buffer[4096];
    while (fgets(buffer, sizeof(buffer), output) != nullptr) {
        got += buffer;
    }
    EXPECT_EQ(0, pclose(output));
    unlink(name);
    return got;
}

static const std::string log_of_three =
    R"(noise
  1.2 b {"time":"2026-01-01T00:00:02.300000Z","instance":"b","module":"gate","event":"refused","id":"r1","reason":2}
{"time":"2026-01-01T00:00:02.100000Z","instance":"a","module":"ingress","event":"sent","id":"r1","to":"b"}
{"time":"2026-01-01T00:00:02.200000Z","instance":"b","module":"target","event":"target_leaving","target":"t"}
{"time":"2026-01-01T00:00:02.200000Z","instance":"c","module":"target","event":"target_leaving","target":"u"}
{"time":"2026-01-01T00:00:02.400000Z","instance":"a","module":"ingress","event":"request","id":"r1","outcome":"not-run","reason":"leaving","to":"b"}
{"time":"2026-01-01T00:00:02.400000Z","instance":"a","module":"ingress","event":"request","id":"r2","service":"s","outcome":"not-run","status":0,"reason":"full","took_ms":7}
)";

TEST(ExplainLog, PrintsOutcomeAndStateChangesOfInvolvedInstances)
{
    const std::string got = ExplainLog("r1", log_of_three);
    EXPECT_EQ(4, std::count(got.begin(), got.end(), '\n') - 1) << got;
    EXPECT_LT(got.find("ingress sent"), got.find("~ b"));
    EXPECT_LT(got.find("~ b"), got.find("gate refused"));
    EXPECT_EQ(std::string::npos, got.find(" c "));
    EXPECT_EQ(std::string::npos, got.find("r2"));
    EXPECT_NE(std::string::npos,
              got.find("ended by a: not-run, reason leaving\n"));
}

TEST(ExplainLog, SumsRequestsByCause)
{
    const std::string got = ExplainLog("all", log_of_three);
    EXPECT_NE(std::string::npos, got.find("full")) << got;
    EXPECT_NE(std::string::npos, got.find("leaving")) << got;
    EXPECT_EQ(3, std::count(got.begin(), got.end(), '\n')) << got;
}

TEST_F(Ctl, ApplyingSession)
{
    const std::string wrong = example("powys/state.json", "\"slots\": 20",
                                      "\"slots\": 200, \"slot\": 1");
    const std::string out =
        example("powys/state.json", "\"out\": false", "\"out\": true");
    const std::string shards =
        example("powys/state.json", "\"shards\": 256", "\"shards\": 512");
    EXPECT_EQ(1, record("get"));
    EXPECT_EQ(0, record(std::string("check ") + powys));
    EXPECT_EQ(1, record("check " + wrong));
    EXPECT_EQ(1, record("apply " + wrong + " --json"));
    EXPECT_EQ(0, record("check --settings "
                        "examples/powys/settings-patrymau-1.json"));
    EXPECT_EQ(0, record(std::string("diff ") + powys));
    EXPECT_EQ(0, record(std::string("apply ") + powys + " --author ann"));
    EXPECT_EQ(0, record(std::string("apply ") + powys));
    EXPECT_EQ(0, record("diff --json " + out));
    EXPECT_EQ(0, record("apply --json --base 1 " + out));
    EXPECT_EQ(1, record("apply " + shards));
    EXPECT_EQ(3, record(std::string("apply --base 1 ") + powys));
    EXPECT_EQ(3, record(std::string("apply --json --base 1 ") + powys));
    EXPECT_EQ(0, record("get --revision 1 --json"));
    EXPECT_EQ(1, record("get --revision 9"));
    EXPECT_EQ(0, record("audit"));
    EXPECT_EQ(0, record("audit --limit 1 --json"));
    expect_golden("apply.txt");
}

TEST_F(Ctl, UsageSession)
{
    EXPECT_EQ(2, record(""));
    EXPECT_EQ(2, record("nothing"));
    EXPECT_EQ(2, record("apply"));
    EXPECT_EQ(2, record("apply a b"));
    EXPECT_EQ(2, record("apply a --base x"));
    EXPECT_EQ(2, record("--store host:1 get"));
    EXPECT_EQ(2, record("explain k"));
    EXPECT_EQ(2, record("suspects forgive"));
    EXPECT_EQ(2, record("suspects lift zz"));
    EXPECT_EQ(0, record("--help"));
    EXPECT_EQ(0, record("apply --help"));
    expect_golden("usage.txt");
}

TEST_F(Ctl, StoreFaultsSession)
{
    const std::string out =
        example("powys/state.json", "\"out\": false", "\"out\": true");
    store_post("/v1/faults", R"({"lose_write_answers_percent": 100})");
    EXPECT_EQ(0, record(std::string("apply --author ann ") + powys));
    store_post("/v1/faults",
               R"({"delay_writes_percent": 100, "delay_writes_ms": 500})");
    EXPECT_EQ(0, record("apply --author ann " + out));
    store_post("/v1/faults", R"({"down": true})");
    EXPECT_EQ(4, record(std::string("apply --author ann ") + powys));
    EXPECT_EQ(4, record("status --json"));
    store_post("/v1/faults",
               R"({"delay_writes_percent": 100, "delay_writes_ms": 60000})");
    EXPECT_EQ(
        5, record(std::string("apply --timeout 300 --author ann ") + powys));
    store_post("/v1/faults", "{}");
    EXPECT_EQ(0, record("audit"));
    expect_golden("faults.txt");
}

/* Failure: a missing program has the id -1, by which a signal goes to all
 * processes of the machine. Signal 0 only checks whether they exist. */
TEST_F(Ctl, NoProcessIsSignalledForAProgramThatWasNotStarted)
{
    EXPECT_NONFATAL_FAILURE(send_signal(-1, 0), "not started");
}

/* Failure: of several commands that read the same head, more than one is
 * accepted, or one that is refused does not report which revision won. */
TEST_F(Ctl, ConcurrentAppliesHaveOneWinnerThatTheOthersReport)
{
    const size_t count = 6;
    CommitBarrier barrier(runtime, store_port, count);
    std::vector<std::string> runs;
    for (size_t i = 0; i < count; i++) {
        runs.push_back("--store 127.0.0.1:" + std::to_string(barrier.port) +
                       " apply --timeout 60000 --author op" +
                       std::to_string(i) + " " +
                       example("powys/state.json", "\"slots\": 20",
                               "\"slots\": " + std::to_string(10 + i)));
    }
    const std::vector<RunResult> results = run_all(runs);
    size_t winner = count;
    for (size_t i = 0; i < count; i++) {
        if (results[i].code == 0) {
            EXPECT_EQ(count, winner);
            winner = i;
        }
    }
    ASSERT_LT(winner, count);
    EXPECT_NE(std::string::npos,
              results[winner].output.find("revision 1 accepted, based on 0"))
        << results[winner].output;
    const std::string conflict =
        "revision 1 by op" + std::to_string(winner) + " (digest ";
    for (size_t i = 0; i < count; i++) {
        if (i != winner) {
            EXPECT_EQ(3, results[i].code);
            EXPECT_NE(std::string::npos, results[i].output.find(conflict))
                << results[i].output;
            EXPECT_NE(std::string::npos,
                      results[i].output.find("yours is based on 0"))
                << results[i].output;
        }
    }
    EXPECT_NE(
        std::string::npos,
        run("get").output.find("\"slots\": " + std::to_string(10 + winner)));
    EXPECT_EQ(1, run("get --revision 2").code);
}

TEST_F(Ctl, DaemonsSession)
{
    FakeDaemon first(runtime);
    FakeDaemon second(runtime);
    put_member("patrymau-1", "llanidloes", "patrymau", "active", first.port);
    put_member("patrymau-2", "rhayader", "patrymau", "active", second.port);
    put_member("patrymau-3", "rhayader", "patrymau", "fenced", 10001);
    for (FakeDaemon *daemon : {&first, &second}) {
        daemon->answers["/chestnutgap/status"] = status(0);
        daemon->answers["/chestnutgap/promises"] = promises(0);
        daemon->answers["/chestnutgap/suspects"] = "[]";
        daemon->answers["/chestnutgap/entries"] =
            R"([{"instance":"patrymau-1","zone":"llanidloes",)"
            R"("http":"10.0.0.1:8080"}])";
    }
    second.on_request = [](FakeDaemon *daemon) {
        if (daemon->requests["/chestnutgap/status"] == 3) {
            daemon->answers["/chestnutgap/status"] = status(1);
        }
    };
    first.answers["/chestnutgap/status"] = status(1);
    EXPECT_EQ(0, record(std::string("apply --wait --author ann ") + powys));
    EXPECT_EQ(3, second.requests["/chestnutgap/status"]);
    EXPECT_EQ(0, record("members"));
    EXPECT_EQ(0, record("status"));
    EXPECT_EQ(0, record("promises"));
    second.answers["/chestnutgap/promises"] = promises(2);
    EXPECT_EQ(6, record("promises"));
    second.answers["/chestnutgap/promises"] = "[]";
    EXPECT_EQ(5, record("promises"));
    second.answers["/chestnutgap/promises"] = promises(0);
    EXPECT_EQ(0, record("promises --daemon 127.0.0.1:" +
                        std::to_string(second.port)));
    put_row("audit", "99999999999999999998-0000000000000001",
            R"({"who":"patrymau-4","what":"promises","subject":"patrymau-4",)"
            R"("after":{"leaving":{"checks":7,"violations":0}},"at":1})");
    EXPECT_EQ(0, record("promises --since 60"));
    put_row("audit", "99999999999999999999-0000000000000002",
            R"({"who":"patrymau-4","what":"promise_broken","subject":"limit",)"
            R"("after":{"count":3,"subject":"a"},"at":1})");
    EXPECT_EQ(6, record("promises"));
    second.answers.erase("/chestnutgap/promises");
    EXPECT_EQ(6, record("promises --json"));
    EXPECT_EQ(0, record("entries"));
    const std::string out =
        example("powys/state.json", "\"out\": false", "\"out\": true");
    EXPECT_EQ(6, record("apply --wait --timeout 600 --author ann " + out));
    EXPECT_EQ(6, record("apply --wait --timeout 300 --json " + out));
    first.answers["/chestnutgap/suspects"] =
        R"([{"fingerprint":"00000000000000ab","standing":"condemned",)"
        R"("crashes":2,"remaining_us":599000000}])";
    EXPECT_EQ(0, record("suspects list"));
    first.answers["/chestnutgap/suspects"] = R"({"lifted":true})";
    EXPECT_EQ(0, record("suspects lift 00000000000000ab --author ann"));
    EXPECT_EQ(R"({"lift":"00000000000000ab"})", second.last_body);
    EXPECT_NE(std::string::npos, run("audit").output.find(" lift "));
    expect_golden("daemons.txt");
}

TEST_F(Ctl, DaemonsKeepLeasesDuringStoreOutage)
{
    const std::vector<std::string> zones = {"llanidloes", "rhayader",
                                            "machynlleth"};
    std::vector<pid_t> daemons;
    for (const std::string &zone : zones) {
        daemons.push_back(start_daemon("patrymau-" + zone, zone));
    }
    wait_for("members", "active", zones.size());
    const RunResult applied =
        run(std::string("apply --wait --author ann ") + powys);
    EXPECT_EQ(0, applied.code);
    EXPECT_NE(std::string::npos,
              applied.output.find("revision 1 in force on 3 of 3 members"))
        << applied.output;

    std::vector<std::string> addresses;
    const std::string members = run("members --json").output;
    const std::regex http("\"http\": \"([^\"]+)\"");
    for (std::sregex_iterator i(members.begin(), members.end(), http), end;
         i != end; ++i) {
        addresses.push_back((*i)[1]);
    }
    ASSERT_EQ(zones.size(), addresses.size());
    const std::string out =
        example("powys/state.json", "\"out\": false", "\"out\": true");
    store_post("/v1/faults", R"({"down": true})");
    usleep(1700000); /* more than two leases */
    EXPECT_EQ(4, run("apply --base 1 " + out).code);
    for (const std::string &address : addresses) {
        const RunResult status = run("status --json --daemon " + address);
        EXPECT_EQ(0, status.code);
        EXPECT_NE(std::string::npos,
                  status.output.find("\"lease_held\": true"));
        EXPECT_EQ(0, run("promises --daemon " + address).code);
    }
    store_post("/v1/faults", "{}");

    EXPECT_EQ(0, run("apply --wait --base 1 " + out).code);
    const RunResult status = run("status");
    EXPECT_NE(std::string::npos,
              status.output.find("revision 2 by operator, in force on 3 of 3"))
        << status.output;
    EXPECT_EQ(0, run("promises").code);
    EXPECT_EQ(std::string::npos, run("audit").output.find("fence"));
    EXPECT_EQ(0, run("suspects list").code);
    EXPECT_EQ(1, run("suspects lift 00000000000000ab").code);
    for (const pid_t daemon : daemons) {
        EXPECT_EQ(0, stop(daemon));
    }
    wait_for("members", " left ", zones.size());
}

TEST_F(Ctl, UnresponsiveStoreIsReportedWithinTheTimeout)
{
    pause_store(true);
    const RunResult result = run("get --timeout 300");
    pause_store(false);
    EXPECT_EQ(4, result.code);
    EXPECT_EQ(1, run("get").code);
}

TEST_F(Ctl, OwnersSession)
{
    put_member("patrymau-1", "llanidloes", "patrymau", "active", 10001);
    EXPECT_EQ(0, run(std::string("apply --author ann ") + powys).code);
    std::string shards;
    for (int i = 0; i < 64; i++) {
        shards +=
            std::string(i > 0 ? "," : "") + (i < 60 ? "[0,3,0]" : "[1,0,0]");
    }
    put_row("shards", "patrymau/00002",
            R"({"service":"patrymau","page":2,"owners":["patrymau-1",""],)"
            R"("shards":[)" +
                shards + R"(],"keys":[]})");
    EXPECT_EQ(0, record("owners"));
    EXPECT_EQ(0, record("owners hanes-ffit"));
    EXPECT_EQ(0, record("owners --json"));
    EXPECT_EQ(0, record("explain bridle --service patrymau"));
    EXPECT_EQ(0, record("explain k1 --service patrymau"));
    EXPECT_EQ(0, record("explain k1 --service patrymau --json"));
    EXPECT_EQ(1, record("explain k1 --service nothing"));
    put_row("shards", "patrymau/00001", R"({"service":"patrymau"})");
    EXPECT_EQ(1, record("owners"));
    expect_golden("owners.txt");
}

} // namespace
