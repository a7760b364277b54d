/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * What callers of relayed requests are answered. What is not whole never
 * looks whole: it ends without its last chunk.
 */
#include <stdio.h>

#include "libgate.h"
#include "librelay.h"

static void answer_proceed (h2o_generator_t *generator, h2o_req_t *req);

/** Answer by this host: nothing of an endpoint's. A request that did not run
    is told when to come back. */
void
relay_answer_refuse (gt_relay_t *relay, int status, const char *reason,
                     el_time_t retry_after)
{
  char text[32];

  relay_log (relay, "answered", status, reason);
  relay_finished (relay);
  if (retry_after)
    {
      snprintf (text, sizeof text, "%.3f",
                (double)retry_after / (double)EL_SEC);
      net_req_add_header (relay->req, EL_STR ("retry-after"), el_str (text));
    }
  net_req_reply (relay->req, status, EL_STR ("text/plain"), el_str (reason));
}

static void
answer_head (gt_relay_t *relay, const net_result_t *result)
{
  size_t i;

  relay->req->res.status = result->status;
  relay->req->res.reason = net_status_reason (result->status);
  for (i = 0; i < result->nheaders; i++)
    if (gt_header_passes (result->headers[i].name))
      net_req_add_header (relay->req, result->headers[i].name,
                          result->headers[i].value);
}

/** Hand a whole answer on. */
void
relay_answer_pass (gt_relay_t *relay, const net_result_t *result)
{
  relay_log (relay, "answered", result->status, "passed");
  relay->relays->counts.passed++;
  el_hist_add (&relay->relays->counts.answer,
               net_clock_now (relay->relays->options.clock) - relay->received);
  answer_head (relay, result);
  relay_finished (relay);
  h2o_send_inline (relay->req, result->body.ptr, result->body.len);
}

/** Begin a stream's answer with the head of the endpoint's. */
void
relay_answer_begin (gt_relay_t *relay, const net_result_t *head)
{
  relay->begun = 1;
  answer_head (relay, head);
  relay->generator.proceed = answer_proceed;
  h2o_start_response (relay->req, &relay->generator);
}

static void
answer_push (gt_relay_t *relay)
{
  h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
  h2o_iovec_t vec;
  el_buf_t held;

  if (relay->sending)
    return;
  if (relay->break_off)
    {
      /* h2o ends a broken answer with a chunk that can't be read. */
      net_req_cut (relay->req);
      state = H2O_SEND_STATE_ERROR;
    }
  else if (relay->finish)
    state = H2O_SEND_STATE_FINAL;
  else if (relay->out.len == 0)
    return;
  held = relay->flight;
  relay->flight = relay->out;
  relay->out = held;
  el_buf_reset (&relay->out);
  relay->sending = 1;
  if (state != H2O_SEND_STATE_IN_PROGRESS)
    relay_finished (relay);
  vec = h2o_iovec_init (relay->flight.ptr, relay->flight.len);
  h2o_send (relay->req, &vec, vec.len ? 1 : 0, state);
}

static void
answer_proceed (h2o_generator_t *generator, h2o_req_t *req)
{
  gt_relay_t *relay
      = (gt_relay_t *)((char *)generator - offsetof (gt_relay_t, generator));

  (void)req;
  relay->sending = 0;
  answer_push (relay);
}

/** The next event of the stream. */
void
relay_answer_event (gt_relay_t *relay, el_str_t event)
{
  el_buf_add (&relay->out, event);
  answer_push (relay);
}

/** The stream is whole. */
void
relay_answer_end (gt_relay_t *relay)
{
  relay_log (relay, "answered", relay->req->res.status, "stream ended");
  relay->relays->counts.passed++;
  relay->finish = 1;
  answer_push (relay);
}

/** End what was begun so that it does not look whole, and the connection. */
void
relay_answer_break (gt_relay_t *relay, const char *reason)
{
  if (!relay->begun)
    {
      relay_finished (relay);
      relay->req->http1_is_persistent = 0;
      net_req_reply (relay->req, 502, EL_STR ("text/plain"),
                     EL_STR ("broken off"));
      return;
    }
  if (reason)
    {
      relay_log (relay, "broken_off", relay->req->res.status, reason);
      relay->relays->counts.cut++;
    }
  relay_drop (relay);
  relay->break_off = 1;
  answer_push (relay);
}
