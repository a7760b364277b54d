/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Attempts whose endpoint, or whose host on the way, gives no sign of life. A
 * new attempt begins elsewhere, but the former one stays open as a standby
 * until the new one delivers: silence does not show that an endpoint is gone,
 * and what comes next may be refused. Whichever delivers first continues the
 * response; the other one is cancelled.
 */
#include <stdlib.h>

#include "librelay.h"

/* The parts of a request that belong to its current attempt. */
struct relay_standby
{
  net_exchange_t *exchange;
  const relay_way_t *way;
  relay_helper_t *helper;
  rt_target_t *target;
  rt_chain_t chain;
  el_time_t sent;
  el_time_t head_at;
  el_time_t started_at;
  el_time_t last_progress;
  net_result_t kept;
  rt_hints_t hints;
  int refused;
  int ignored; /* the response does not continue the caller's */
  int stream;
  int writing;
  size_t unused;
  relay_events_t events;
};

static relay_standby_t
attempt_get (const gt_relay_t *relay)
{
  const relay_standby_t attempt = { .exchange = relay->exchange,
                                    .way = relay->way,
                                    .helper = relay->helper,
                                    .target = relay->target,
                                    .chain = relay->chain,
                                    .sent = relay->sent,
                                    .head_at = relay->head_at,
                                    .started_at = relay->started_at,
                                    .last_progress = relay->last_progress,
                                    .kept = relay->kept,
                                    .hints = relay->hints,
                                    .refused = relay->refused,
                                    .stream = relay->stream,
                                    .writing = relay->writing,
                                    .unused = relay->unused,
                                    .events = relay->events };

  return attempt;
}

static void
attempt_set (gt_relay_t *relay, const relay_standby_t *attempt)
{
  relay->exchange = attempt->exchange;
  relay->way = attempt->way;
  relay->helper = attempt->helper;
  relay->target = attempt->target;
  relay->chain = attempt->chain;
  relay->sent = attempt->sent;
  relay->head_at = attempt->head_at;
  relay->started_at = attempt->started_at;
  relay->last_progress = attempt->last_progress;
  relay->kept = attempt->kept;
  relay->hints = attempt->hints;
  relay->refused = attempt->refused;
  relay->stream = attempt->stream;
  relay->writing = attempt->writing;
  relay->unused = attempt->unused;
  relay->events = attempt->events;
}

/* Makes the standby the current attempt, and the current one the standby. */
static void
standby_swap (gt_relay_t *relay)
{
  const relay_standby_t current = attempt_get (relay);

  attempt_set (relay, relay->standby);
  *relay->standby = current;
}

static void
standby_log (const gt_relay_t *relay, const char *event, const char *reason)
{
  const relay_standby_t *standby = relay->standby;
  el_time_t now = net_clock_now (relay->relays->options.clock);

  EL_LOG (
      EL_LOG_INFO, event, EL_FS ("request", relay->id),
      EL_FS ("endpoint",
             standby->target ? standby->target->attrs.id : el_str ("-")),
      EL_FS ("via", standby->helper ? standby->helper->address : el_str ("-")),
      EL_FS ("current",
             relay->target ? relay->target->attrs.id : el_str ("-")),
      EL_FC ("reason", reason), EL_FN ("events", relay->nevents),
      EL_FN ("sent_us", now - standby->sent),
      EL_FN ("still_us", now - standby->last_progress),
      EL_FN ("attempts", relay->attempts.sent),
      EL_FN ("may_have_run", relay->attempts.may_run));
}

/* Ends the attempt that is the current one between two swaps. */
static void
standby_release (gt_relay_t *relay)
{
  relay_attempt_release (relay);
  relay_events_reset (&relay->events);
  standby_swap (relay);
  free (relay->standby);
  relay->standby = NULL;
}

/** Cancels the standby, if there is one. */
void
relay_standby_cancel (gt_relay_t *relay, const char *reason)
{
  if (!relay->standby)
    return;
  standby_log (relay, "standby_cancelled", reason);
  standby_swap (relay);
  standby_release (relay);
}

/** Makes the standby, if there is one, the current attempt again, and cancels
    the attempt, or the wait for one, that is in progress. Returns 0 if there
    is no standby. */
int
relay_standby_resume (gt_relay_t *relay, const char *reason)
{
  const relay_way_t *way;

  if (!relay->standby)
    return 0;
  standby_log (relay, "standby_resumed", reason);
  relay->relays->counts.standby_resumed++;
  if ((relay->phase == RELAY_SETTLING
       || (relay->exchange && net_exchange_is_sent (relay->exchange)))
      && !relay->refused)
    {
      relay->attempts.sent++;
      relay->attempts.may_run++;
    }
  relay_cancel_attempt (relay);
  relay_events_reset (&relay->events);
  if (!relay->response_started)
    el_buf_reset (&relay->out);
  relay->retry_unpaid = 0;
  relay_enter (relay, RELAY_SENT);
  standby_swap (relay);
  free (relay->standby);
  relay->standby = NULL;
  relay->attempts.sent--;
  relay->attempts.may_run--;
  way = relay->way;
  net_exchange_set_callbacks (relay->exchange, way->head, relay_attempt_body,
                              way->done);
  way->watch (relay);
  return 1;
}

/** Returns the host that serves the standby; NULL if there is none. */
const relay_helper_t *
relay_standby_helper (const gt_relay_t *relay)
{
  return relay->standby ? relay->standby->helper : NULL;
}

/* Applies what an endpoint asks for in a response that is not used. */
static void
standby_read_hints (gt_relay_t *relay, const net_result_t *head)
{
  const gt_relay_dialect_t *dialect = relay->relays->options.dialect;
  relay_standby_t *standby = relay->standby;

  if (!standby->target)
    return;
  dialect->read_hints (head, &standby->hints);
  gt_relays_apply_hints (relay->relays, standby->target, &standby->hints,
                         relay->id);
}

static void
standby_head (void *arg, const net_result_t *head)
{
  gt_relay_t *relay = arg;

  relay->standby->refused = relay_attempt_is_refused (relay, head);
  relay->standby->ignored
      = relay->standby->refused || head->status < 200 || head->status >= 300;
  if (relay->standby->ignored)
    {
      standby_read_hints (relay, head);
      return;
    }
  relay_standby_resume (relay, "response");
  relay->way->head (relay, head);
}

static int
standby_body (void *arg, el_str_t bytes)
{
  gt_relay_t *relay = arg;

  if (relay->standby->ignored)
    return 1;
  relay_standby_resume (relay, "progress");
  return relay_attempt_body (relay, bytes);
}

/* The standby has ended without the response. */
static void
standby_failed (gt_relay_t *relay, const net_result_t *result)
{
  standby_log (relay, "standby_failed",
               relay->standby->refused   ? "refused"
               : relay->standby->ignored ? "error response"
                                         : "broken");
  standby_swap (relay);
  relay->exchange = NULL;
  if (relay->target)
    relay_attempt_record (relay, result);
  if (relay->refused)
    relay->attempts.may_run--;
  standby_release (relay);
}

static void
standby_done (void *arg, const net_result_t *result)
{
  gt_relay_t *relay = arg;
  net_result_t end = *result;

  if (end.net == NET_OK && end.by_close && !relay->standby->ignored)
    {
      /* The end of a connection may be a cut: the later attempt tells. */
      end.net = NET_CONNECTION_LOST;
      end.verdict = EL_MAY_HAVE_RUN;
    }
  if (end.net != NET_OK || relay->standby->ignored)
    {
      standby_failed (relay, &end);
      return;
    }
  relay_standby_resume (relay, "response ended");
  relay->way->done (relay, result);
}

/* Whether the current attempt can be continued later: what has arrived of a
   plain response is not kept for two attempts. */
static int
attempt_can_stand_by (const gt_relay_t *relay)
{
  return relay->response_started || relay->out.len == 0;
}

/** Starts another attempt at a request that may be repeated, with the current
    one as a standby. Returns 0 if no other attempt may follow: the current one
    continues. */
int
relay_standby_begin (gt_relay_t *relay)
{
  const rt_attempt_t attempt
      = { .verdict = EL_MAY_HAVE_RUN, .begun = relay->response_started };
  const rt_attempts_t before = relay->attempts;
  /* The head was that of a refusal or an error. */
  int ignored = relay->refused
                || (relay->rule->kind == RT_STREAM && relay->head_at
                    && !relay->stream);
  el_time_t now = net_clock_now (relay->relays->options.clock);

  if (!net_exchange_is_sent (relay->exchange))
    {
      if (relay->target)
        rt_tried_add (&relay->tried, relay->target);
      relay_attempt_unsent (relay);
      return 1;
    }
  if (!attempt_can_stand_by (relay))
    return 0;
  if (rt_attempts_next (&relay->attempts, relay->rule, &attempt, 1,
                        relay->deadline > now ? relay->deadline - now : 0)
      != RT_NEXT_RETRY)
    {
      relay->attempts = before;
      return 0;
    }
  relay_standby_cancel (relay, "a later one");
  if (relay->target)
    rt_tried_add (&relay->tried, relay->target);
  relay_watch_stop (relay);
  net_exchange_set_callbacks (relay->exchange, standby_head, standby_body,
                              standby_done);
  relay->standby = el_alloc (sizeof *relay->standby);
  standby_swap (relay);
  relay->standby->ignored = ignored;
  standby_log (relay, "standby_begun", "silent");
  relay->relays->counts.standby_begun++;
  relay_enter (relay, RELAY_DECIDING);
  relay->retry_unpaid = 1;
  relay_retry (relay, 1);
  return 1;
}
