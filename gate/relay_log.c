/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Log lines for decisions on relayed requests, with the data that the decision
 * is based on, the age of that data, and the result.
 */
#include "librelay.h"

static const char *const next_names[] = { [RT_NEXT_PASS] = "pass",
                                          [RT_NEXT_RETRY] = "again",
                                          [RT_NEXT_REFUSE] = "refuse",
                                          [RT_NEXT_FAIL] = "fail" };
static const char *const outcome_names[]
    = { [NET_OK] = "answered",
        [NET_CONNECT_FAILED] = "not connected",
        [NET_CONNECT_REFUSED] = "refused",
        [NET_CONNECTION_LOST] = "broken",
        [NET_TIMEOUT] = "timeout",
        [NET_TOO_BIG] = "too big",
        [NET_WITHHELD] = "kept back",
        [NET_CROSSED] = "crossed" };

/** Logs the end of a request. */
void
relay_log (gt_relay_t *relay, const char *event, int status,
           const char *reason)
{
  el_time_t now = net_clock_now (relay->relays->options.clock);
  const rt_target_t *target = relay->target;

  EL_LOG (EL_LOG_INFO, event, EL_FS ("request", relay->id),
          EL_FS ("rule", relay->rule ? relay->rule->name : el_str ("-")),
          EL_FS ("customer", relay->customer),
          EL_FS ("endpoint", target ? target->attrs.id : el_str ("-")),
          EL_FN ("parts", relay->chain.n),
          EL_FN ("attempts", relay->attempts.sent),
          EL_FN ("may_have_run", relay->attempts.may_run),
          EL_FN ("status", status), EL_FC ("reason", reason),
          EL_FN ("events", relay->nevents),
          EL_FN ("first_us", relay->first_event),
          EL_FN ("longest_gap_us", relay->longest_gap),
          EL_FN ("config", relay->rules ? relay->rules->version : 0),
          EL_FN ("config_age_us", now - relay->relays->rules_as_of),
          EL_FN ("us", now - relay->received));
}

/** Logs the send of an attempt, with what is known about its target and how
    old that knowledge is. */
void
relay_log_sent (const gt_relay_t *relay, el_time_t now)
{
  const rt_target_t *target = relay->target;
  EL_LOG (
      EL_LOG_INFO, "sent", EL_FS ("request", relay->id),
      EL_FS ("endpoint", target->attrs.id), EL_FN ("born", target->attrs.born),
      EL_FN ("attempt", relay->attempts.sent + 1),
      EL_FN ("parts", relay->chain.n),
      EL_FC ("against",
             rt_unavail_name (rt_avail_reason_at (&target->avail, now))),
      EL_FN ("rest_left_us", rt_avail_backoff_left (&target->avail, now)),
      EL_FN ("leaving", rt_target_is_leaving (target)),
      EL_FN ("limit_milli", relay_limit_milli (&target->limit)),
      EL_FN ("tokens", target->limit.borrower.tokens),
      EL_FN ("running", target->running),
      EL_FN ("told_age_us",
             target->reported_at ? now - target->reported_at : 0),
      EL_FN ("listed_epoch", target->epoch),
      EL_FN ("listed_age_us", target->listed_at ? now - target->listed_at : 0),
      EL_FN ("known_age_us", now - relay->relays->rules_as_of));
}

/** Logs an attempt whose response is not forwarded; NEXT is what follows. */
void
relay_log_failed (gt_relay_t *relay, const rt_attempt_t *attempt,
                  const net_result_t *result, rt_next_t next)
{
  const gt_relay_dialect_t *dialect = relay->relays->options.dialect;
  el_time_t now = net_clock_now (relay->relays->options.clock);
  char digest[RT_DIGEST_HEX + 1];
  el_buf_t chain = { NULL, 0, 0 };

  rt_digest_hex (relay_digest (relay), digest);
  dialect->write_chain (&relay->chain, &chain);
  EL_LOG (EL_LOG_INFO, "attempt_failed", EL_FS ("request", relay->id),
          EL_FC ("digest", digest),
          EL_FS ("endpoint",
                 relay->target ? relay->target->attrs.id : el_str ("-")),
          EL_FS ("via", relay->helper ? relay->helper->address : el_str ("-")),
          EL_FC ("net", outcome_names[result->net]),
          EL_FN ("status", result->status),
          EL_FC ("verdict", el_verdict_name (attempt->verdict)),
          EL_FN ("conn", result->conn), EL_FN ("carried", result->carried),
          EL_FN ("attempt", relay->attempts.sent),
          EL_FN ("sent_us", now - relay->sent),
          EL_FN ("ran_us", relay->head_at ? now - relay->head_at : 0),
          EL_FN ("events", relay->nevents),
          EL_FN ("may_have_run", relay->attempts.may_run),
          EL_FN ("allowed", relay->rule->attempts),
          EL_FN ("left_us", relay->deadline > now ? relay->deadline - now : 0),
          EL_FN ("budget_left", relay_retry_left (relay)),
          EL_FC ("next", next_names[next]),
          EL_FS ("fault", net_result_header (result, dialect->names.at_fault)),
          EL_FN ("rest_asked_us", relay->hints.backoff),
          EL_FS ("line", el_buf_str (&chain)),
          EL_FS ("prompt",
                 net_req_header (relay->req, dialect->names.prompt_parts)));
  el_buf_free (&chain);
}
