/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The router: dispatches events, maintains the table of streams and implements
 * what all request types share: matching answers to calls, retrying after
 * failures and ending requests.
 */
#include <inttypes.h>
#include <string.h>

#include "librt.h"

/* Maximum attempts of a stream that has no tokens. */
#define ATTEMPTS_MAX 4
/* Each finished stream contributes one part in this many to the moving average
   of run times. */
#define MEAN_RUN_DIVISOR 16
/* The Retry-After of a caller that has to wait for a backoff to end is
   extended at random by up to this fraction (one part in so many) of the wait,
   so that callers do not all return at once. */
#define BACKOFF_JITTER_DIVISOR 4

typedef void (*event_fn) (rt_router_t *router, el_time_t now,
                          const rt_event_t *event);

static void on_request (rt_router_t *, el_time_t, const rt_event_t *);
static void on_reply (rt_router_t *, el_time_t, const rt_event_t *);
static void on_failed (rt_router_t *, el_time_t, const rt_event_t *);
static void on_cancel (rt_router_t *, el_time_t, const rt_event_t *);
static void on_tick (rt_router_t *, el_time_t, const rt_event_t *);
static void on_leaving (rt_router_t *, el_time_t, const rt_event_t *);
static void on_hosts (rt_router_t *, el_time_t, const rt_event_t *);
static void on_stop (rt_router_t *, el_time_t, const rt_event_t *);
static void on_stream_timer (void *arg, el_time_t now);

static const event_fn handlers[RT_EVENTS] = {
  [RT_EV_REQUEST] = on_request, [RT_EV_REPLY] = on_reply,
  [RT_EV_FAILED] = on_failed,   [RT_EV_CANCEL] = on_cancel,
  [RT_EV_TICK] = on_tick,       [RT_EV_LEAVING] = on_leaving,
  [RT_EV_HOSTS] = on_hosts,     [RT_EV_STOP] = on_stop,
};

static const rt_request_ops_t *const request_ops[RT_REQUEST_TYPES] = {
  [RT_CHAT] = &rt_chat_ops,
  [RT_CALL] = &rt_call_ops,
};

/* How each reason is reported to the caller. */
static const struct
{
  const char *name;
  int complete;  /* the answer is complete */
  int retryable; /* the same request may succeed later */
} reason_info[RT_REASONS] = {
  [RT_DONE] = { "stop", 1, 0 },
  [RT_LENGTH] = { "length", 1, 0 },
  [RT_CANCELLED] = { "cancelled", 0, 0 },
  [RT_NOT_FOUND] = { "not-found", 0, 0 },
  [RT_NO_ROUTE] = { "no-route", 0, 1 },
  [RT_QUEUE_FULL] = { "queue-full", 0, 1 },
  [RT_CUSTOMER_LIMIT] = { "customer-limit", 0, 1 },
  [RT_DEADLINE] = { "deadline", 0, 1 },
  [RT_RETRIES_USED_UP] = { "retries-used-up", 0, 1 },
  [RT_ENDPOINT_FAILED] = { "endpoint-failed", 0, 0 },
  [RT_STOPPING] = { "stopping", 0, 1 },
};

static const char *const failure_names[RT_FAILS] = {
  [RT_FAIL_CONNECT] = "connect", [RT_FAIL_BROKEN] = "broken",
  [RT_FAIL_LEAVING] = "leaving", [RT_FAIL_BUSY] = "busy",
  [RT_FAIL_REFUSED] = "refused", [RT_FAIL_TIMEOUT] = "timeout",
  [RT_FAIL_CROSSED] = "crossed",
};

const char *
rt_reason_name (rt_reason_t reason)
{
  return reason_info[reason].name;
}

const char *
rt_failure_name (rt_failure_t fail)
{
  return failure_names[fail];
}

rt_router_t *
rt_router_new (const rt_options_t *options)
{
  rt_router_t *router = el_alloc (sizeof *router);

  router->options = *options;
  router->rng = options->seed;
  router->hosts = 1;
  return router;
}

static void
stream_free (rt_stream_t *stream)
{
  el_timers_cancel (&stream->router->timers, &stream->timer);
  HASH_DEL (stream->router->streams, stream);
  rt_route_free (stream->route);
  el_str_free (&stream->target);
  el_str_free (&stream->prompt);
  el_str_free (&stream->avoid);
  free (stream->tokens);
  free (stream);
}

void
rt_router_free (rt_router_t *router)
{
  rt_stream_t *stream;
  rt_stream_t *next;

  HASH_ITER (hh, router->streams, stream, next)
  stream_free (stream);
  rt_tables_free (router);
  el_timers_free (&router->timers);
  free (router);
}

/** Returns the next number of the router's own pseudorandom sequence
    (splitmix64 by Sebastiano Vigna, public domain). A replayed trace with the
    same seed draws the same numbers. */
uint64_t
rt_random (rt_router_t *router)
{
  uint64_t z = (router->rng += 0x9e3779b97f4a7c15ULL);

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

void
rt_emit_action (rt_router_t *router, const rt_action_t *action)
{
  router->options.act (router->options.arg, action);
}

/** Handle one event. All resulting actions are emitted before it returns. */
void
rt_router_handle_event (rt_router_t *router, el_time_t now,
                        const rt_event_t *event)
{
  handlers[event->kind](router, now, event);
}

static rt_stream_t *
stream_find (rt_router_t *router, uint64_t id)
{
  rt_stream_t *stream;

  HASH_FIND (hh, router->streams, &id, sizeof id, stream);
  return stream;
}

/* Set the stream's timer to DUE or to the stream's deadline, whichever is
   earlier. */
static void
stream_set_timer (rt_stream_t *stream, el_time_t due)
{
  if (due > stream->deadline)
    due = stream->deadline;
  el_timers_set (&stream->router->timers, &stream->timer, due);
}

/** Send the stream's next call to HOP. ACTION contains the fields specific to
    the request type; the common ones are filled in here. */
void
rt_stream_send_call (rt_stream_t *stream, el_time_t now, const rt_hop_t *hop,
                     rt_action_t *action)
{
  rt_router_t *router = stream->router;

  stream->call_pending = 1;
  stream->call_due = stream->work == RT_CALL
                         ? stream->deadline
                         : now + router->options.call_limit;
  stream_set_timer (stream, stream->call_due);
  rt_endpoint_adjust_in_flight (router, hop->endpoint, now, 1);
  router->counts.calls++;
  action->kind = RT_ACT_CALL;
  action->stream = stream->id;
  action->work = stream->work;
  action->call = (rt_call_id_t){ .stream = stream->id,
                                 .attempt = stream->attempt,
                                 .step = stream->ntokens,
                                 .first = hop->first,
                                 .last = hop->last,
                                 .generation = stream->route->generation };
  action->endpoint = hop->endpoint;
  action->address = hop->address;
  action->priority = stream->customer->priority;
  action->due = stream->call_due < stream->deadline ? stream->call_due
                                                    : stream->deadline;
  rt_emit_action (router, action);
}

/* Record the outcome of the pending call. */
static void
stream_call_ended (rt_stream_t *stream, el_verdict_t verdict)
{
  stream->call_pending = 0;
  stream->verdict = el_verdict_join (stream->verdict, verdict);
  rt_endpoint_adjust_in_flight (
      stream->router, stream->route->hops[stream->hop].endpoint, 0, -1);
}

/* The time in milliseconds after which a refused caller should retry: if only
   backoffs keep routes from being available, the time until the first one is
   available, plus jitter; otherwise an estimate from the queue. */
static uint64_t
stream_retry_after (const rt_stream_t *stream, el_time_t now,
                    rt_reason_t reason)
{
  rt_router_t *router = stream->router;
  el_time_t available_at
      = reason == RT_NO_ROUTE
            ? request_ops[stream->work]->available_at (stream, now)
            : 0;
  uint64_t wait;

  if (available_at <= now)
    return rt_admit_retry_after (router);
  wait = (available_at - now) / EL_MSEC + 1;
  return wait + rt_random (router) % (wait / BACKOFF_JITTER_DIVISOR + 1);
}

/** End a request and start queued ones. A request that ends without its
    complete answer is at most EL_MAY_HAVE_RUN, even if some of its calls
    ran. */
void
rt_stream_end (rt_stream_t *stream, el_time_t now, rt_reason_t reason)
{
  rt_router_t *router = stream->router;
  rt_customer_t *customer = stream->customer;
  rt_action_t action = { .kind = RT_ACT_END,
                         .stream = stream->id,
                         .work = stream->work,
                         .reason = reason,
                         .tokens = stream->ntokens };

  if (stream->state == RT_QUEUED)
    rt_admit_dequeue (stream);
  else
    {
      router->active--;
      router->mean_run_us += (now - stream->started) / MEAN_RUN_DIVISOR;
      router->mean_run_us -= router->mean_run_us / MEAN_RUN_DIVISOR;
    }
  if (stream->call_pending)
    stream_call_ended (stream, EL_MAY_HAVE_RUN);
  request_ops[stream->work]->release (stream, now,
                                      !reason_info[reason].complete);
  if (reason_info[reason].complete)
    {
      stream->verdict = EL_RAN;
      router->counts.whole++;
    }
  else
    {
      if (stream->verdict == EL_RAN)
        stream->verdict = EL_MAY_HAVE_RUN;
      if (reason == RT_CANCELLED)
        router->counts.cancelled++;
      else if (stream->verdict == EL_NOT_RUN)
        router->counts.refused++;
      else
        router->counts.broken++;
    }
  action.verdict = stream->verdict;
  if (reason_info[reason].retryable)
    action.retry_after_ms = stream_retry_after (stream, now, reason);
  stream_free (stream);
  rt_customer_release (router, customer);
  rt_emit_action (router, &action);
  rt_admit_next (router, now);
}

/* Start an attempt. If there is no route, a stream that has tokens and made an
   attempt before waits for one to become available; any other ends at once. */
static void
stream_start_attempt (rt_stream_t *stream, el_time_t now)
{
  rt_reason_t reason;

  stream->state = RT_RUNNING;
  reason = request_ops[stream->work]->start (stream, now);
  if (reason == RT_DONE)
    return;
  if (reason == RT_NO_ROUTE && stream->ntokens && stream->attempt)
    {
      stream->failures++;
      stream->state = RT_RETRY_DELAY;
      stream_set_timer (
          stream, now + rt_retry_delay (stream->router, stream->failures + 1));
      return;
    }
  rt_stream_end (stream, now, reason);
}

/** Start the first attempt of an admitted stream. */
void
rt_stream_start (rt_stream_t *stream, el_time_t now)
{
  rt_router_t *router = stream->router;
  rt_retry_budget_t *budget = request_ops[stream->work]->budget (stream);

  router->active++;
  stream->started = now;
  if (budget)
    rt_retry_budget_earn (budget);
  stream_start_attempt (stream, now);
}

/* Returns RT_DONE if the stream may make another attempt after a failure with
   VERDICT, or else the reason to end it. A stream that has tokens is not
   charged to the retry budget, so that an empty budget does not end it;
   exponential backoff limits the rate of its attempts. */
static rt_reason_t
stream_check_retry (rt_stream_t *stream, el_verdict_t verdict,
                    rt_failure_t fail)
{
  rt_retry_budget_t *budget = request_ops[stream->work]->budget (stream);

  if (fail == RT_FAIL_REFUSED)
    return RT_ENDPOINT_FAILED;
  if (verdict != EL_NOT_RUN && !stream->repeatable)
    return RT_ENDPOINT_FAILED;
  if (stream->ntokens)
    return RT_DONE;
  if (stream->attempt >= ATTEMPTS_MAX || !budget
      || !rt_retry_budget_spend (budget))
    return RT_RETRIES_USED_UP;
  stream->router->counts.retries++;
  return RT_DONE;
}

/** The pending call failed: make another attempt or end the stream. */
void
rt_stream_call_failed (rt_stream_t *stream, el_time_t now,
                       el_verdict_t verdict, rt_failure_t fail)
{
  rt_router_t *router = stream->router;
  el_str_t endpoint = el_str_dup (stream->route->hops[stream->hop].endpoint);
  rt_reason_t reason;
  el_time_t wait;

  if (stream->call_pending)
    stream_call_ended (stream, verdict);
  rt_endpoint_failed (router, endpoint, now, fail);
  el_str_free (&stream->avoid);
  stream->avoid = endpoint;
  reason = stream_check_retry (stream, verdict, fail);
  if (reason != RT_DONE)
    {
      rt_stream_end (stream, now, reason);
      return;
    }
  request_ops[stream->work]->release (stream, now, 1);
  stream->failures++;
  router->counts.rebuilds++;
  wait = rt_retry_delay (router, stream->failures);
  if (wait == 0)
    {
      stream_start_attempt (stream, now);
      return;
    }
  stream->state = RT_RETRY_DELAY;
  stream_set_timer (stream, now + wait);
}

static void
on_stream_timer (void *arg, el_time_t now)
{
  rt_stream_t *stream = arg;

  if (now >= stream->deadline)
    rt_stream_end (stream, now, RT_DEADLINE);
  else if (stream->state == RT_RETRY_DELAY)
    stream_start_attempt (stream, now);
  else if (stream->call_pending && now >= stream->call_due)
    rt_stream_call_failed (stream, now, EL_MAY_HAVE_RUN, RT_FAIL_TIMEOUT);
}

static void
request_refuse (rt_router_t *router, const rt_event_t *event,
                rt_reason_t reason)
{
  rt_action_t action = { .kind = RT_ACT_END,
                         .stream = event->stream,
                         .work = event->work,
                         .verdict = EL_NOT_RUN,
                         .reason = reason };

  router->counts.refused++;
  if (reason_info[reason].retryable)
    action.retry_after_ms = rt_admit_retry_after (router);
  rt_emit_action (router, &action);
}

static rt_stream_t *
stream_new (rt_router_t *router, const rt_event_t *event,
            rt_customer_t *customer)
{
  rt_stream_t *stream = el_alloc (sizeof *stream);

  stream->id = event->stream;
  stream->work = event->work;
  stream->router = router;
  stream->customer = customer;
  stream->target = el_str_dup (event->target);
  stream->prompt = el_str_dup (event->prompt);
  stream->max_tokens = event->max_tokens;
  stream->deadline = event->deadline;
  stream->repeatable = event->repeatable;
  stream->verdict = EL_NOT_RUN;
  stream->timer.cb = on_stream_timer;
  stream->timer.arg = stream;
  if (event->nresume)
    {
      stream->tokens = el_grow (NULL, event->nresume, sizeof (uint64_t));
      memcpy (stream->tokens, event->resume,
              event->nresume * sizeof (uint64_t));
      stream->ntokens = stream->tokens_capacity = event->nresume;
    }
  HASH_ADD (hh, router->streams, id, sizeof stream->id, stream);
  return stream;
}

static void
on_request (rt_router_t *router, el_time_t now, const rt_event_t *event)
{
  rt_customer_t *customer = rt_customer_find (router, event->customer);
  rt_stream_t *stream;
  rt_reason_t reason;

  router->counts.requests++;
  if (!customer || customer->removed)
    {
      request_refuse (router, event, RT_NOT_FOUND);
      return;
    }
  stream = stream_new (router, event, customer);
  reason = rt_admit (stream, now);
  if (reason == RT_DONE)
    return;
  stream_free (stream);
  request_refuse (router, event, reason);
}

static int
call_id_eq (const rt_call_id_t *a, const rt_call_id_t *b)
{
  return a->stream == b->stream && a->attempt == b->attempt
         && a->step == b->step && a->first == b->first && a->last == b->last
         && a->generation == b->generation;
}

/* Returns the stream whose pending call is the one the event belongs to. If
   there is none, the result is late: it is counted and otherwise ignored. */
static rt_stream_t *
stream_awaiting_call (rt_router_t *router, const rt_event_t *event)
{
  rt_stream_t *stream = stream_find (router, event->stream);
  rt_call_id_t expected;

  if (stream && stream->call_pending)
    {
      expected
          = (rt_call_id_t){ .stream = stream->id,
                            .attempt = stream->attempt,
                            .step = stream->ntokens,
                            .first = stream->route->hops[stream->hop].first,
                            .last = stream->route->hops[stream->hop].last,
                            .generation = stream->route->generation };
      if (call_id_eq (&event->call, &expected))
        return stream;
    }
  router->counts.late++;
  return NULL;
}

static void
on_reply (rt_router_t *router, el_time_t now, const rt_event_t *event)
{
  rt_stream_t *stream = stream_awaiting_call (router, event);

  if (!stream)
    return;
  if (!call_id_eq (&event->call, &event->echo))
    {
      router->counts.crossed++;
      rt_stream_call_failed (stream, now, EL_MAY_HAVE_RUN, RT_FAIL_CROSSED);
      return;
    }
  rt_endpoint_answered (router, stream->route->hops[stream->hop].endpoint);
  stream_call_ended (stream, EL_RAN);
  request_ops[stream->work]->reply (stream, now, event);
}

static void
on_failed (rt_router_t *router, el_time_t now, const rt_event_t *event)
{
  rt_stream_t *stream = stream_awaiting_call (router, event);

  if (!stream)
    return;
  if (event->rest)
    rt_endpoint_backoff_requested (
        router, stream->route->hops[stream->hop].endpoint, now, event->rest);
  rt_stream_call_failed (stream, now, event->verdict, event->fail);
}

static void
on_cancel (rt_router_t *router, el_time_t now, const rt_event_t *event)
{
  rt_stream_t *stream = stream_find (router, event->stream);

  if (stream)
    rt_stream_end (stream, now, RT_CANCELLED);
}

static void
on_tick (rt_router_t *router, el_time_t now, const rt_event_t *event)
{
  (void)event;
  el_timers_run (&router->timers, now);
}

static void
on_leaving (rt_router_t *router, el_time_t now, const rt_event_t *event)
{
  rt_endpoint_t *ep = rt_endpoint_find (router, event->target);

  if (ep)
    ep->avail.leaving_until
        = event->leaving ? now + router->options.leave_hold : 0;
}

static void
on_hosts (rt_router_t *router, el_time_t now, const rt_event_t *event)
{
  (void)now;
  router->hosts = event->hosts;
}

static void
on_stop (rt_router_t *router, el_time_t now, const rt_event_t *event)
{
  (void)now;
  (void)event;
  router->stopping = 1;
}

/** Returns the time at which the router needs its next RT_EV_TICK. */
el_time_t
rt_router_next_tick (const rt_router_t *router)
{
  return el_timers_next_due (&router->timers);
}

/** Whether a request that was routed to ENDPOINT may still be sent, i.e. the
    endpoint has not requested a backoff in the meantime. */
int
rt_router_may_send (const rt_router_t *router, el_time_t now,
                    el_str_t endpoint)
{
  const rt_endpoint_t *ep = rt_endpoint_find (router, endpoint);

  return !ep || rt_avail_backoff_left (&ep->avail, now) == 0;
}

const rt_counts_t *
rt_router_counts (const rt_router_t *router)
{
  return &router->counts;
}

size_t
rt_router_active (const rt_router_t *router)
{
  return router->active;
}

size_t
rt_router_queued (const rt_router_t *router)
{
  return router->queued;
}

static const char *
endpoint_state (const rt_endpoint_t *ep, el_time_t now)
{
  /* The router itself records no other reasons. */
  static const char *const states[RT_UNAVAIL_COUNT]
      = { [RT_UNAVAIL_NOTHING] = "live",
          [RT_UNAVAIL_TRIAL] = "trial",
          [RT_UNAVAIL_FAILED] = "ejected",
          [RT_UNAVAIL_BACKOFF] = "resting",
          [RT_UNAVAIL_LEAVING] = "leaving" };

  return ep->draining ? "draining"
                      : states[rt_avail_reason_at (&ep->avail, now)];
}

/** Returns the router's state as JSON, for operators. */
json_t *
rt_router_dump (const rt_router_t *router, el_time_t now)
{
  json_t *endpoints = json_object ();
  json_t *pipelines = json_object ();
  json_t *customers = json_object ();
  rt_endpoint_t *ep;
  rt_endpoint_t *next_ep;
  rt_pipeline_t *pipe;
  rt_pipeline_t *next_pipe;
  rt_customer_t *customer;
  rt_customer_t *next_customer;

  HASH_ITER (hh, router->endpoints, ep, next_ep)
  json_object_set_new (
      endpoints, ep->key,
      json_pack ("{s:s,s:I,s:I,s:I}", "state", endpoint_state (ep, now),
                 "inFlight", (json_int_t)ep->in_flight, "failures",
                 (json_int_t)ep->avail.failures, "restLeftUs",
                 (json_int_t)rt_avail_backoff_left (&ep->avail, now)));
  HASH_ITER (hh, router->pipelines, pipe, next_pipe)
  json_object_set_new (pipelines, pipe->key,
                       json_pack ("{s:I,s:I}", "streams",
                                  (json_int_t)pipe->streams, "tokensToCome",
                                  (json_int_t)pipe->tokens_pending));
  HASH_ITER (hh, router->customers, customer, next_customer)
  json_object_set_new (
      customers, customer->key,
      json_pack ("{s:I}", "inFlight", (json_int_t)customer->in_flight));
  return json_pack ("{s:I,s:I,s:o,s:o,s:o}", "active",
                    (json_int_t)router->active, "queued",
                    (json_int_t)router->queued, "endpoints", endpoints,
                    "pipelines", pipelines, "customers", customers);
}
