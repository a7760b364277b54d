/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Attempts at a relayed request: sends the request, classifies the result and
 * decides on a retry.
 */
#include "librelay.h"

/* Unsafe requests reuse no connection that was idle longer: the endpoint may
   be about to close it. */
#define UNSAFE_IDLE_MAX (2 * EL_SEC)
/* Retry delay after a lost connection: it takes 2 ms until a crashed engine
   has refused a new connection, or a live one has responded. */
#define CONNECTION_LOST_RETRY_DELAY (5 * EL_MSEC)
/* A plain request without a response for this long may hang on a connection
   that gets no packets. */
#define RESPONSE_OVERDUE (200 * EL_MSEC)

/* Releases the target and chain, or the other host, of the current attempt. */
static void
attempt_release (gt_relay_t *relay)
{
  net_result_free (&relay->kept);
  relay_forward_release (relay);
  relay_wait_released (relay);
  rt_chain_release (&relay->chain);
  if (relay->target)
    {
      relay->target->running--;
      rt_target_unref (relay->target);
      relay->target = NULL;
    }
}

static void
attempt_cancel_exchange (gt_relay_t *relay)
{
  if (!relay->exchange)
    return;
  if (relay->target && net_exchange_is_sent (relay->exchange))
    relay_cancelled_add (relay);
  net_client_cancel (relay->exchange);
  relay->exchange = NULL;
}

/* Ends what the request waits for: an attempt, a check or the next attempt. */
static void
attempt_stop (gt_relay_t *relay)
{
  relay_watch_stop (relay);
  attempt_cancel_exchange (relay);
  if (relay->phase == RELAY_WAITING || relay->phase == RELAY_SENT
      || relay->phase == RELAY_SETTLING)
    relay_enter (relay, RELAY_DECIDING);
}

/** Cancels the current attempt, on this host and at the endpoint. */
void
relay_attempt_release (gt_relay_t *relay)
{
  attempt_cancel_exchange (relay);
  attempt_release (relay);
}

/** Cancels the current attempt, on this host and at the endpoint, or the wait
    for the next one. */
void
relay_cancel_attempt (gt_relay_t *relay)
{
  attempt_stop (relay);
  attempt_release (relay);
}

/* Records the time from arrival to the first event, or between events. */
static void
record_event_time (gt_relay_t *relay, el_time_t now)
{
  gt_relay_counts_t *counts = &relay->relays->counts;
  el_time_t gap = now - relay->last_event;

  if (relay->nevents++ == 0)
    {
      relay->first_event = now - relay->received;
      el_hist_add (&counts->first_event, relay->first_event);
      return;
    }
  if (gap > relay->longest_gap)
    relay->longest_gap = gap;
  el_hist_add (&counts->event_gap, gap);
}

/* An event of a stream that runs at an endpoint of this host. */
static void
direct_event (gt_relay_t *relay, el_time_t now)
{
  rt_chain_progress (&relay->chain, now);
  relay_watch_event (relay, now - relay->last_progress);
}

static void
attempt_event (void *arg, el_str_t event, int has_id, uint64_t id)
{
  gt_relay_t *relay = arg;
  gt_relays_t *relays = relay->relays;
  el_time_t now;

  if (relay->phase != RELAY_SENT)
    return;
  if (!relay->writing)
    {
      relay->writing = 1;
      relay_standby_cancel (relay, "a later one continues");
      relay_wait_served (relay);
      relay_blame_began (relay);
    }
  if (has_id && relay->has_id && id <= relay->last_event_id)
    return; /* already forwarded by an earlier attempt */
  now = net_clock_now (relays->options.clock);
  relay->way->event (relay, now);
  record_event_time (relay, now);
  relay->last_event = now;
  relay->endpoint_waits = 0;
  relay->helpers = 0;
  relays->counts.events++;
  relay->no_position = !has_id;
  if (has_id)
    {
      relay->last_event_id = id;
      relay->has_id = 1;
    }
  relay_respond_event (relay, event);
}

/** Whether HEAD is that of a response which proves that the request was not
    executed. */
int
relay_attempt_is_refused (const gt_relay_t *relay, const net_result_t *head)
{
  const gt_relay_headers_t *names = &relay->relays->options.dialect->names;

  return head->status == 421
         || net_result_header (head, names->not_executed).len;
}

static void
attempt_head (void *arg, const net_result_t *head)
{
  gt_relay_t *relay = arg;
  const gt_relay_headers_t *names = &relay->relays->options.dialect->names;

  relay->head_at = net_clock_now (relay->relays->options.clock);
  relay->refused = relay_attempt_is_refused (relay, head);
  relay->stream = relay->rule->kind == RT_STREAM && !relay->refused
                  && head->status >= 200 && head->status < 300
                  && net_result_header (head, names->seal).len;
  /* What the head asks for applies before the body arrives. */
  relay_backoff_read_head (relay, head);
  if (!relay->refused)
    relay_backoff_answered (relay);
  relay_respond_begin (relay, head);
}

/** Forwards complete events of a stream; buffers other responses. Returns 0 if
    the response is too long for that. */
int
relay_attempt_body (void *arg, el_str_t bytes)
{
  gt_relay_t *relay = arg;

  if (relay->stream)
    {
      int taken
          = relay_events_add (&relay->events, bytes, attempt_event, relay);

      if (relay->exchange)
        net_exchange_set_kept (relay->exchange, relay->events.part.len);
      return taken;
    }
  if (relay->response_started)
    return (relay->unused += bytes.len) <= RELAY_RESPONSE_MAX;
  if (relay->out.len + bytes.len > RELAY_RESPONSE_MAX)
    return 0;
  el_buf_add (&relay->out, bytes);
  return 1;
}

/* Determines whether the request was executed, and whether the response
   answers it. */
static void
attempt_classify (gt_relay_t *relay, const net_result_t *result,
                  rt_attempt_t *attempt)
{
  const gt_relay_headers_t *names = &relay->relays->options.dialect->names;
  int success = result->status >= 200 && result->status < 300;
  int refusal_status = result->status == 429 || result->status == 503
                       || result->status == 408 || result->status == 421;

  *attempt = (rt_attempt_t){ .verdict = result->verdict,
                             .begun = relay->response_started,
                             .unseen = result->net == NET_CONNECT_FAILED
                                       || result->net == NET_CONNECT_REFUSED };
  relay->relays->counts.wrong_id += result->net == NET_CROSSED;
  if (result->net != NET_OK)
    return;
  attempt->verdict = EL_MAY_HAVE_RUN;
  if (relay->refused)
    {
      attempt->verdict = EL_NOT_RUN;
      return;
    }
  /* A success without the endpoint's seal, a refusal without the header that
     confirms it, and a truncated event prove nothing. The head of a stream had
     the seal. */
  if (refusal_status
      || (success && !relay->stream
          && !net_result_header (result, names->seal).len)
      || relay->events.part.len)
    return;
  attempt->verdict = EL_RAN;
  attempt->answered = 1;
  attempt->failed = result->status >= 500;
}

/* Updates the endpoint's health, which later picks use. */
static void
attempt_record_health (gt_relay_t *relay, const net_result_t *result,
                       const rt_attempt_t *attempt)
{
  el_time_t now = net_clock_now (relay->relays->options.clock);
  rt_target_t *fault = relay_fault_target (relay, result);

  if (attempt->answered && !attempt->failed)
    rt_target_succeeded (relay->target, now - relay->sent);
  else if (attempt->verdict == EL_NOT_RUN && result->status == 421)
    rt_target_changed (fault, now);
  else if (attempt->verdict == EL_NOT_RUN && result->net == NET_OK)
    rt_target_busy (fault, now);
  else
    rt_target_failed (fault, now);
  if (relay->chain.n && !attempt->answered && !relay->hints.backoff)
    relay_check (relay->relays, fault);
  rt_tried_add (&relay->tried, fault);
}

/* The request was withheld before any byte was sent: another target is picked,
   and nothing is charged to the retry budget. */
static void
attempt_not_sent (gt_relay_t *relay)
{
  relay->relays->counts.withheld++;
  EL_LOG (EL_LOG_INFO, "kept_back", EL_FS ("request", relay->id),
          EL_FS ("endpoint", relay->target->attrs.id));
  relay_limit_not_sent (relay);
  attempt_release (relay);
  relay_attempt (relay);
}

static int
attempt_permitted (void *arg)
{
  gt_relay_t *relay = arg;

  el_time_t now = net_clock_now (relay->relays->options.clock);

  relay_reach_connected (relay->relays, relay->target, relay->sent);
  return relay_backoff_permits (relay, now)
         && relay_limit_still_permits (relay, now);
}

/* Records what the end of an attempt shows about its endpoint. */
static void
attempt_record (gt_relay_t *relay, const net_result_t *result,
                const rt_attempt_t *attempt)
{
  if (result->net == NET_CONNECT_FAILED || result->net == NET_CONNECT_REFUSED)
    relay_limit_not_sent (relay);
  relay_reach_attempt_ended (relay, result);
  relay_blame_attempt_ended (relay, result, attempt);
  attempt_record_health (relay, result, attempt);
}

/** Records what the end of an attempt shows that is not to be settled. */
void
relay_attempt_record (gt_relay_t *relay, const net_result_t *result)
{
  rt_attempt_t attempt;

  attempt_classify (relay, result, &attempt);
  attempt_record (relay, result, &attempt);
}

/** Handles the end of an attempt that was sent to an endpoint. */
void
relay_attempt_settled (gt_relay_t *relay, const net_result_t *result)
{
  rt_attempt_t attempt;

  attempt_classify (relay, result, &attempt);
  attempt_record (relay, result, &attempt);
  if (relay->response_started && !relay->stream)
    attempt.answered = 0; /* an error response can't follow a stream's head */
  if (relay->response_started && attempt.answered)
    {
      relay_respond_end (relay);
      attempt_release (relay);
      return;
    }
  relay_attempt_ended (relay, &attempt, result);
}

static void
attempt_done (void *arg, const net_result_t *result)
{
  gt_relay_t *relay = arg;

  relay->exchange = NULL;
  relay_watch_stop (relay);
  relay_enter (relay, RELAY_DECIDING);
  if (result->net == NET_WITHHELD)
    attempt_not_sent (relay);
  else if (result->by_close)
    relay_close_settle (relay, result);
  else
    relay_attempt_settled (relay, result);
}

/* Whether the next attempt of RELAY waits for the budget: it is a stream in
   progress that could be resumed. */
static int
may_wait_for_budget (const gt_relay_t *relay)
{
  return relay->response_started && relay->rule->resumable;
}

/* Decides what follows an attempt. A retry is charged to the budget, unless no
   endpoint has seen the attempt. */
static rt_next_t
attempt_next (gt_relay_t *relay, const rt_attempt_t *attempt)
{
  el_time_t now = net_clock_now (relay->relays->options.clock);
  el_time_t left = relay->deadline > now ? relay->deadline - now : 0;
  rt_attempts_t before = relay->attempts;
  rt_next_t next = rt_attempts_next (&relay->attempts, relay->rule, attempt,
                                     !relay->no_position, left);

  if (next != RT_NEXT_RETRY || attempt->unseen || relay_retry_take (relay))
    return next;
  if (may_wait_for_budget (relay))
    {
      relay->retry_unpaid = 1;
      return RT_NEXT_RETRY;
    }
  relay->attempts = before;
  return rt_attempts_next (&relay->attempts, relay->rule, attempt, 0, left);
}

/* Forwards the endpoint's response with its buffered body. */
static void
attempt_forward (gt_relay_t *relay, const net_result_t *result)
{
  net_result_t whole = *result;

  whole.body = el_buf_str (&relay->out);
  relay_respond_whole (relay, &whole);
}

static void
retry_due (void *arg, el_time_t now)
{
  (void)now;
  relay_attempt (arg);
}

/** Schedules another attempt after WAIT. */
void
relay_schedule_attempt (gt_relay_t *relay, el_time_t wait)
{
  relay_enter (relay, RELAY_WAITING);
  relay->retry_timer.cb = retry_due;
  relay->retry_timer.arg = relay;
  net_clock_set (relay->relays->options.clock, &relay->retry_timer, wait);
}

/** Retries. After a lost connection, waits until it is known whether the
    endpoint crashed and the request is to blame. */
void
relay_retry (gt_relay_t *relay, int connection_lost)
{
  gt_relay_counts_t *counts = &relay->relays->counts;

  counts->retries++;
  counts->resumed += relay->response_started != 0;
  if (connection_lost)
    relay_schedule_attempt (relay, CONNECTION_LOST_RETRY_DELAY);
  else if (!relay->endpoint_waits
           || !relay_wait_endpoint (relay, "no endpoint to go on at"))
    relay_attempt (relay);
}

/** Handles an attempt whose response was not forwarded as a stream: forwards
   it whole, retries, or responds with an error. */
void
relay_attempt_ended (gt_relay_t *relay, const rt_attempt_t *attempt,
                     const net_result_t *result)
{
  rt_next_t next = attempt_next (relay, attempt);

  if (next == RT_NEXT_PASS && !(attempt->failed && relay->standby))
    {
      attempt_forward (relay, result);
      return;
    }
  relay_log_failed (relay, attempt, result, next);
  attempt_release (relay);
  if (!relay->response_started)
    el_buf_reset (&relay->out);
  relay_events_reset (&relay->events);
  if (next == RT_NEXT_RETRY)
    relay_retry (relay, result->net == NET_CONNECTION_LOST);
  else if (relay_standby_resume (relay, "the later one failed"))
    return;
  else if (relay->response_started)
    relay_respond_abort (relay, "no endpoint goes on with it");
  else if (next == RT_NEXT_FAIL)
    relay_fail (relay, "may have run");
  else if (!relay->refused
           || !relay_wait_refused (
               relay, net_clock_now (relay->relays->options.clock), 0))
    relay_refuse (relay, "not run");
}

/** Whether the request may be sent once more. */
int
relay_may_repeat (gt_relay_t *relay)
{
  const rt_attempts_t *attempts = &relay->attempts;

  return (relay->rule->kind == RT_SAFE || relay->rule->resumable)
         && !relay->no_position
         && attempts->before + attempts->may_run + 1 < relay->rule->attempts
         && relay_retry_left (relay);
}

/** Whether the stream may be resumed on another chain after the current
    attempt. */
int
relay_may_resume (gt_relay_t *relay)
{
  return relay->rule->resumable && relay_may_repeat (relay);
}

/* The answer to a plain request is overdue. */
static void
direct_overdue (void *arg, el_time_t now)
{
  gt_relay_t *relay = arg;

  (void)now;
  if (!relay->head_at)
    relay_reach_check_overdue (relay->relays, relay->target);
}

static void
direct_send (gt_relay_t *relay, el_time_t now)
{
  const gt_relay_options_t *o = &relay->relays->options;
  const h2o_req_t *req = relay->req;
  relay_head_t head;
  net_request_t send
      = { .address = relay->target->attrs.address,
          .host = { req->authority.base, req->authority.len },
          .method = net_req_method (req),
          .path = { req->path.base, req->path.len },
          .body = net_req_body (req),
          .id_header = o->dialect->names.id,
          .id = relay->id,
          .id_required = 1,
          /* If this host is cut off, nothing is sent on a new one. */
          .new_connection = relay->attempts.may_run > 0,
          .max_idle = relay->rule->kind == RT_UNSAFE ? UNSAFE_IDLE_MAX : 0,
          .allow = attempt_permitted,
          .head = attempt_head,
          .body_part = relay_attempt_body,
          .keeps_body = relay->rule->kind != RT_STREAM,
          .max_response = RELAY_RESPONSE_MAX,
          .done = attempt_done,
          .arg = relay };

  relay_head_build (relay, now, &head);
  send.headers = head.list;
  send.nheaders = head.n;
  relay->relays->counts.attempts++;
  relay_log_sent (relay, now);
  relay_backoff_sent (relay, now);
  relay_limit_sent (relay);
  relay->exchange = net_client_send (o->client, &send);
  relay_head_free (&head);
  if (relay->chain.n)
    {
      relay_watch_start (relay);
      return;
    }
  relay->watch_timer.cb = direct_overdue;
  relay->watch_timer.arg = relay;
  net_clock_set (o->clock, &relay->watch_timer, RESPONSE_OVERDUE);
}

const relay_way_t relay_way_direct = { .send = direct_send,
                                       .watch = relay_watch_again,
                                       .head = attempt_head,
                                       .event = direct_event,
                                       .done = attempt_done };

static void
attempt_send (gt_relay_t *relay, el_time_t now)
{
  relay_wait_over (relay, now);
  relay_enter (relay, RELAY_SENT);
  relay->refused = 0;
  relay->stream = 0;
  relay->writing = 0;
  relay->unused = 0;
  relay->sent = now;
  relay->head_at = 0;
  relay->hints = (rt_hints_t){ 0 };
  relay->way->send (relay, now);
}

/** Gives up an attempt of which nothing was sent, and starts another one. */
void
relay_attempt_unsent (gt_relay_t *relay)
{
  if (relay->target)
    relay_limit_not_sent (relay);
  relay_cancel_attempt (relay);
  relay_attempt (relay);
}

/** Starts an attempt at the best target available now, if there is one.
    Otherwise waits, or ends the request. */
void
relay_attempt (gt_relay_t *relay)
{
  el_time_t now = net_clock_now (relay->relays->options.clock);

  if (!relay_begin_attempt (relay))
    return;
  if (relay_blame_get_status (relay).state == RT_BLAME_BLOCKED)
    {
      if (relay_may_have_run (relay))
        relay_abort (relay, "ends endpoints");
      else
        relay_suspect_refuse (relay);
      return;
    }
  if (relay_suspect_must_wait (relay, now))
    return;
  switch (relay_pick_target (relay, now))
    {
    case RELAY_PICK_OK:
      attempt_send (relay, now);
      return;
    case RELAY_PICK_WAIT:
    case RELAY_PICK_TURNED_AWAY:
      return;
    case RELAY_PICK_UNREACHED:
      if (relay->response_started || relay->attempts.may_run)
        break;
      relay_forward_refuse (relay, RELAY_REFUSED_RETRY_AFTER);
      return;
    case RELAY_PICK_NONE:
      break;
    }
  if (relay_standby_resume (relay, "no other endpoint")
      || relay_wait_endpoint (relay, "no endpoint to go on at")
      || relay_limit_wait (relay, now) || relay_wait_refused (relay, now, 1))
    return;
  if (relay->response_started)
    relay_respond_abort (relay, "no endpoint to go on at");
  else if (relay->attempts.may_run)
    relay_fail (relay, "may have run, no endpoint left");
  else if (relay->forwarded
           && relay_service (relay->relays, relay->service->name)->lost)
    relay_forward_refuse (relay, RELAY_REFUSED_RETRY_AFTER);
  else
    relay_refuse (relay, "no endpoint");
}
