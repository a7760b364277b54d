/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Responses to callers of relayed requests. An incomplete response is never
 * taken for a complete one: it ends without its last chunk.
 */
#include <stdio.h>

#include "libgate.h"
#include "librelay.h"

/* Bytes of a stream that wait for its caller to read, at most. */
#define UNREAD_MAX ((size_t)1 << 20)
/* The same while the process has no room, and bytes that are not drawn from
   its account. */
#define UNREAD_MIN ((size_t)65536)
#define UNREAD_FREE ((size_t)16384)

/* If all endpoints are in backoff, a quarter of the remaining time is added to
   retry-after at random, to spread callers. */
#define BACKOFF_SPREAD_DIVISOR 4

/* Retry-after of a host that is stopping; short, since other hosts serve the
   retry. */
#define STOPPING_RETRY_AFTER (20 * EL_MSEC)

static void response_proceed (h2o_generator_t *generator, h2o_req_t *req);

/** Responds with an error of this host. RETRY_AFTER tells the caller when to
    retry a request that was not executed; 0: not stated. */
void
relay_respond_error (gt_relay_t *relay, int status, const char *reason,
                     el_time_t retry_after)
{
  char text[32];

  relay_log (relay, "answered", status, reason);
  relay_finish (relay);
  if (status < 500 || status == 503)
    relay_forward_mark_refused (relay);
  if (retry_after)
    {
      snprintf (text, sizeof text, "%.3f",
                (double)retry_after / (double)EL_SEC);
      net_req_add_header (relay->req, EL_STR ("retry-after"), el_str (text));
    }
  net_req_reply (relay->req, status, EL_STR ("text/plain"), el_str (reason));
}

/** Responds that the request was not executed, with a retry-after that is not
    before the end of the endpoints' backoff or of their lack of tokens or
    room. */
void
relay_refuse (gt_relay_t *relay, const char *reason)
{
  gt_relays_t *relays = relay->relays;
  el_time_t now = net_clock_now (relays->options.clock);
  el_time_t left = relay_backoff_left (relay, now);
  el_time_t limited = left ? 0 : relay_limit_left (relay, now);
  el_time_t wait = left ? left : RELAY_REFUSED_RETRY_AFTER / 2;
  el_time_t spread
      = left ? left / BACKOFF_SPREAD_DIVISOR : RELAY_REFUSED_RETRY_AFTER / 2;

  relays->counts.refused++;
  relays->counts.refused_backoff += left > 0;
  relays->counts.refused_limit += limited > 0;
  if (left)
    reason = "all endpoints rest";
  if (limited)
    {
      reason = "all endpoints are at their limits";
      wait = relay_limit_reserve (relay, now, limited);
    }
  if (!left && !limited && relay_wait_return_after (relay, now, &wait))
    spread = 0;
  relay_respond_error (relay, 503, reason,
                       wait + el_random (&relays->random) % (spread + 1));
}

/** Responds that the request may have been executed. */
void
relay_fail (gt_relay_t *relay, const char *reason)
{
  relay->relays->counts.failed++;
  relay_respond_error (relay, 502, reason, 0);
}

static void
response_head (gt_relay_t *relay, const net_result_t *result)
{
  size_t i;

  relay->req->res.status = result->status;
  relay->req->res.reason = net_status_reason (result->status);
  for (i = 0; i < result->nheaders; i++)
    if (gt_header_is_forwarded (result->headers[i].name))
      net_req_add_header (relay->req, result->headers[i].name,
                          result->headers[i].value);
}

/** Forwards a complete response. */
void
relay_respond_whole (gt_relay_t *relay, const net_result_t *result)
{
  el_buf_t buffered;

  relay_log (relay, "answered", result->status, "passed");
  relay->relays->counts.forwarded++;
  el_hist_add (&relay->relays->counts.answer,
               net_clock_now (relay->relays->options.clock) - relay->received);
  response_head (relay, result);
  relay_finish (relay);
  if (result->body.len > UNREAD_FREE)
    net_req_hold_answer (relay->req, result->body.len);
  /* The body is copied; RELAY may be freed while it is sent. */
  buffered = relay->out;
  relay->out = (el_buf_t){ NULL, 0, 0 };
  h2o_send_inline (relay->req, result->body.ptr, result->body.len);
  el_buf_free (&buffered);
}

/** Starts the response of a stream with the head of the endpoint's
    response. */
void
relay_respond_head (gt_relay_t *relay, const net_result_t *head)
{
  relay->response_started = 1;
  response_head (relay, head);
  relay->generator.proceed = response_proceed;
  h2o_start_response (relay->req, &relay->generator);
}

/** Handles the head of an attempt's response: a stream begins, unless an
    earlier attempt has begun it; another response is kept until it is
    whole. */
void
relay_respond_begin (gt_relay_t *relay, const net_result_t *head)
{
  if (!relay->stream)
    net_exchange_keep_body (relay->exchange);
  else if (!relay->response_started)
    {
      /* Head and first events are of the same run. */
      relay_standby_cancel (relay, "a later one responds");
      relay_respond_head (relay, head);
    }
}

/* States what the caller has not read yet. */
static void
response_hold (gt_relay_t *relay)
{
  size_t unread = relay->out.len + (relay->sending ? relay->in_flight.len : 0);

  net_req_hold_answer (relay->req, unread > UNREAD_FREE ? unread : 0);
}

static void
response_flush (gt_relay_t *relay)
{
  h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
  h2o_iovec_t vec;
  el_buf_t sent;

  if (relay->sending)
    return;
  if (relay->abort_pending)
    {
      /* h2o ends an aborted response with a malformed chunk. */
      net_req_abort (relay->req);
      state = H2O_SEND_STATE_ERROR;
    }
  else if (relay->phase == RELAY_ENDING)
    state = H2O_SEND_STATE_FINAL;
  else if (relay->out.len == 0)
    return;
  sent = relay->in_flight;
  relay->in_flight = relay->out;
  relay->out = sent;
  el_buf_reset (&relay->out);
  relay->sending = 1;
  if (state != H2O_SEND_STATE_IN_PROGRESS)
    relay_finish (relay);
  vec = h2o_iovec_init (relay->in_flight.ptr, relay->in_flight.len);
  h2o_send (relay->req, &vec, vec.len ? 1 : 0, state);
}

static void
response_proceed (h2o_generator_t *generator, h2o_req_t *req)
{
  gt_relay_t *relay
      = (gt_relay_t *)((char *)generator - offsetof (gt_relay_t, generator));

  (void)req;
  relay->sending = 0;
  response_hold (relay);
  response_flush (relay);
}

/** Forwards one event. */
void
relay_respond_event (gt_relay_t *relay, el_str_t event)
{
  el_buf_add (&relay->out, event);
  response_hold (relay);
  if (relay->out.len > UNREAD_MAX
      || (relay->out.len > UNREAD_MIN && !net_req_has_room (relay->req)))
    relay_respond_cut (relay, "caller does not read");
  else
    response_flush (relay);
}

/** Ends the response after its last event. */
void
relay_respond_end (gt_relay_t *relay)
{
  relay_log (relay, "answered", relay->req->res.status, "stream ended");
  relay->relays->counts.forwarded++;
  relay_enter (relay, RELAY_ENDING);
  response_flush (relay);
}

/** Ends the response so that it is not taken for a complete one, and closes
    the connection. Logs REASON unless it is NULL. */
void
relay_respond_abort (gt_relay_t *relay, const char *reason)
{
  if (!relay->response_started)
    {
      relay_finish (relay);
      relay->req->http1_is_persistent = 0;
      net_req_reply (relay->req, 502, EL_STR ("text/plain"),
                     EL_STR ("broken off"));
      return;
    }
  if (reason)
    {
      relay_log (relay, "broken_off", relay->req->res.status, reason);
      relay->relays->counts.aborted++;
    }
  relay_cancel_attempt (relay);
  if (relay->phase < RELAY_ENDING)
    relay_enter (relay, RELAY_ENDING);
  relay->abort_pending = 1;
  response_flush (relay);
}

/** As relay_respond_abort, but does not wait for the caller to read what was
    sent before. */
void
relay_respond_cut (gt_relay_t *relay, const char *reason)
{
  int unread = relay->sending;

  relay_respond_abort (relay, reason);
  if (unread)
    net_req_abort (relay->req);
}

/** Whether the request may have run, or its caller has received a part of the
    response. It can't be refused then. */
int
relay_may_have_run (const gt_relay_t *relay)
{
  return relay->phase == RELAY_SENT || relay->phase == RELAY_SETTLING
         || relay->response_started || relay->attempts.may_run
         || relay->attempts.before;
}

/** Ends the request: cancels its attempt and responds with an error or aborts
    the response. */
void
relay_abort (gt_relay_t *relay, const char *reason)
{
  int may_have_run = relay_may_have_run (relay);

  relay_cancel_attempt (relay);
  if (relay->response_started)
    relay_respond_abort (relay, reason);
  else if (may_have_run)
    relay_fail (relay, reason);
  else
    relay_refuse (relay, reason);
}

/** Responds that this host is stopping; the request has not run. */
void
relay_refuse_stopping (gt_relay_t *relay)
{
  relay->relays->counts.refused++;
  relay_forward_mark_unserved (relay);
  relay_respond_error (relay, 503, "stopping", STOPPING_RETRY_AFTER);
}

/** Responds to all requests in progress, as the process ends soon: those that
    have not run are refused first, so that none is sent to an endpoint in the
    room of another one; the others fail or are broken off. */
void
gt_relays_end (gt_relays_t *relays)
{
  gt_relay_t *relay;
  gt_relay_t *next;

  DL_FOREACH_SAFE (relays->running, relay, next)
  if (relay->phase < RELAY_ENDING && !relay_may_have_run (relay))
    relay_refuse_stopping (relay);
  DL_FOREACH_SAFE (relays->running, relay, next)
  if (relay->phase < RELAY_ENDING)
    relay_abort (relay, "stopping");
}
