/**
 * @file
 * The rate limit that one incarnation of a target names in its answers, as
 * known from the latest of them. Answers may arrive in another order than the
 * target made them: an answer changes what is known only if its request was
 * not sent earlier than that of the answer in force, and raises or ends a
 * limit only if it was sent after that answer had arrived.
 */
#ifndef CHESTNUTGAP_FLEET_LIMITNOTICE_H
#define CHESTNUTGAP_FLEET_LIMITNOTICE_H

#include <stdbool.h>
#include <stdint.h>

#define LIMITNOTICE_MAX_PER_S 1e6 /* higher ones limit nothing */

/** False for a limit that is negative, too high or not a number. */
bool limitnotice_is_valid(double per_s);

/** Who says what the limit is. */
enum limitnotice_source {
    LIMITNOTICE_ANSWER,   /**< the target, in an answer to a request */
    LIMITNOTICE_HEALTH,   /**< the target, in a health answer */
    LIMITNOTICE_INSTANCE, /**< an instance that passed on such an answer */
};

/** The text of a source, for logs. */
const char *limitnotice_source_name(enum limitnotice_source source);

/** What one answer says. */
struct limitnotice_statement {
    enum limitnotice_source source;
    bool limited;
    double per_s;    /**< requests per second from all instances, if limited */
    int64_t sent_us; /**< when the request was sent that it answers */
};

enum limitnotice_change {
    LIMITNOTICE_UNCHANGED,
    LIMITNOTICE_BEGAN,
    LIMITNOTICE_CHANGED,
    LIMITNOTICE_ENDED,
};

/** Initialise with zeros for each incarnation. */
struct limitnotice {
    bool heard; /**< the target itself has said whether it has a limit */
    bool limited;
    double per_s;
    int64_t sent_us;   /**< of the request whose answer is in force */
    int64_t heard_us;  /**< when that answer, or the latest equal one, came */
    bool health_names; /**< health answers have named a limit */
};

/** Applies what an answer says. A health answer without a limit counts only
 * if health answers have named one before; what an instance says counts only
 * until the target itself has said it. */
enum limitnotice_change
limitnotice_apply(struct limitnotice *notice,
                  const struct limitnotice_statement *statement,
                  int64_t now_us);

#endif
