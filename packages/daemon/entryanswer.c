#include "daemon/entryanswer.h"

#include <stddef.h>
#include <string.h>

#include "http/httpheaders.h"
#include "http/httpproblem.h"

#define PROBLEM_TEXT_SIZE 320
#define ANSWER_HEADERS_EXTRA 2
#define MS_PER_SECOND 1000

struct reason_info {
    const char *name;
    unsigned status; /* of a refusal as not run */
    const char *title;
};

static const struct reason_info reason_infos[] = {
    [FORWARD_REASON_NONE] = {"none", 503, "Request refused"},
    [FORWARD_REASON_NOT_OWNER] = {"not-owner", 503,
                                  "The key has no known owner now"},
    [FORWARD_REASON_NO_LEASE] = {"no-lease", 503,
                                 "The owner does not hold its lease"},
    [FORWARD_REASON_OVERLOADED] = {"overloaded", 503, "No capacity"},
    [FORWARD_REASON_COLD] = {"cold", 503, "The target is in cold start"},
    [FORWARD_REASON_DRAINING] = {"draining", 503, "The instance is leaving"},
    [FORWARD_REASON_ZONE_OUT] = {"zone-out", 503,
                                 "The availability zone is out"},
    [FORWARD_REASON_DEADLINE] = {"deadline", 504, "The deadline has passed"},
    [FORWARD_REASON_SUSPECT] = {"suspect", 503,
                                "The request stopped targets that ran it"},
    [FORWARD_REASON_ID_REUSED] = {"id-reused", 422,
                                  "The idempotency key belongs to another "
                                  "request"},
    [FORWARD_REASON_ID_UNKNOWN] =
        {"id-unknown", 502, "An earlier owner may have run the request"},
    [FORWARD_REASON_TARGET_CONNECT] = {"target-connect", 503,
                                       "The target accepts no connection"},
    [FORWARD_REASON_TARGET_CUT] = {"target-cut", 502,
                                   "The target's answer was cut short"},
    [FORWARD_REASON_TARGET_SHED] = {"target-shed", 503,
                                    "The target has no capacity"},
    [FORWARD_REASON_CANCELLED] = {"cancelled", 503, "Cancelled"},
    [FORWARD_REASON_PEER_LOST] = {"peer-lost", 502,
                                  "The connection to the owner was lost"},
    [FORWARD_REASON_NO_TARGET] = {"no-target", 503, "No target is available"},
};

#define REASON_COUNT (sizeof(reason_infos) / sizeof(reason_infos[0]))
#define STATUS_UNKNOWN_OUTCOME 502
#define STATUS_UNKNOWN_DEADLINE 504

static const struct reason_info *
reason_info_of(enum forward_reason reason)
{
    const size_t index = (size_t)reason;
    return &reason_infos[index < REASON_COUNT ? index : 0];
}

const char *
entryanswer_reason_name(enum forward_reason reason)
{
    return reason_info_of(reason)->name;
}

const char *
entryanswer_outcome_name(enum forward_outcome outcome)
{
    switch (outcome) {
    case FORWARD_ANSWERED:
        return "answered";
    case FORWARD_NOT_RUN:
        return "not-run";
    case FORWARD_UNKNOWN:
        break;
    }
    return "unknown";
}

void
entryanswer_send(struct http_request *request,
                 const struct forward_reply *reply)
{
    struct http_header headers[HTTP_HEADERS_MAX + ANSWER_HEADERS_EXTRA];
    size_t count = 0;
    for (; count < reply->headers.headers_len && count < HTTP_HEADERS_MAX;
         count++) {
        const struct forward_header *header =
            &reply->headers.headers_val[count];
        headers[count] = (struct http_header){header->name, header->value};
    }
    headers[count++] = (struct http_header){HTTP_OUTCOME_HEADER, "answered"};
    if (reply->replayed) {
        headers[count++] = (struct http_header){ENTRY_REPLAYED_HEADER, "true"};
    }
    const struct http_reply answer = {
        .status = reply->status,
        .headers = headers,
        .header_count = count,
        .body = reply->body.body_val,
        .body_size = reply->body.body_len,
    };
    http_request_reply(request, &answer);
}

static unsigned
round_up_to_seconds(uint32_t ms)
{
    return (ms + MS_PER_SECOND - 1) / MS_PER_SECOND;
}

void
entryanswer_refuse(struct http_request *request, enum forward_outcome outcome,
                   enum forward_reason reason, uint32_t retry_after_ms)
{
    const struct reason_info *info = reason_info_of(reason);
    unsigned status = info->status;
    if (outcome == FORWARD_UNKNOWN) {
        status = reason == FORWARD_REASON_DEADLINE ? STATUS_UNKNOWN_DEADLINE
                                                   : STATUS_UNKNOWN_OUTCOME;
    }
    const struct http_problem problem = {
        .status = status,
        .title = info->title,
        .outcome = entryanswer_outcome_name(outcome),
        .reason = info->name,
    };
    http_request_reply_problem(request, &problem,
                               round_up_to_seconds(retry_after_ms));
}

void
entryanswer_invalid(struct http_request *request, unsigned status,
                    const struct error *err)
{
    char detail[PROBLEM_TEXT_SIZE];
    const struct http_problem problem = {
        .status = status,
        .title = error_text(err->code),
        .detail = error_describe(err, detail, sizeof(detail)),
        .outcome = "not-run",
        .reason = error_name(err->code),
    };
    http_request_reply_problem(request, &problem, 0);
}
