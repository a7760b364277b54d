/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Admission control. The numbers of running and of queued streams are bounded;
 * queued streams are started by weighted fair queueing between customers. Each
 * started stream advances its customer's virtual time by a fixed unit divided
 * by weight * 2^priority, so that a higher priority gets a larger share and no
 * priority starves.
 */
#include "librt.h"

#define VIRTUAL_TIME_UNIT 1000000
#define RETRY_AFTER_MIN_MS 50
#define RETRY_AFTER_MAX_MS 5000
#define MEAN_RUN_INITIAL_US (200 * EL_MSEC)

/* This host's share of the customer's limit on requests in flight, rounded
   up. */
static uint64_t
customer_host_limit (const rt_router_t *router, const rt_customer_t *customer)
{
  size_t hosts = router->hosts ? router->hosts : 1;

  return (customer->max_in_flight + hosts - 1) / hosts;
}

static void
queue_append (rt_stream_t *stream)
{
  rt_customer_t *customer = stream->customer;

  stream->queue_next = NULL;
  if (customer->queue)
    customer->queue_tail->queue_next = stream;
  else
    customer->queue = stream;
  customer->queue_tail = stream;
  stream->router->queued++;
}

/** Remove a stream from its customer's queue, if it is in there. */
void
rt_admit_dequeue (rt_stream_t *stream)
{
  rt_customer_t *customer = stream->customer;
  rt_stream_t **link = &customer->queue;
  rt_stream_t *prev = NULL;

  while (*link && *link != stream)
    {
      prev = *link;
      link = &prev->queue_next;
    }
  if (!*link)
    return;
  *link = stream->queue_next;
  if (customer->queue_tail == stream)
    customer->queue_tail = prev;
  stream->router->queued--;
}

/* Advance the customer's virtual time for one stream. A customer that was idle
   starts from the current virtual time and gets no credit for its idle
   time. */
static void
customer_charge (rt_router_t *router, rt_customer_t *customer)
{
  if (customer->virtual_time < router->virtual_time)
    customer->virtual_time = router->virtual_time;
  router->virtual_time = customer->virtual_time;
  customer->virtual_time
      += VIRTUAL_TIME_UNIT / (customer->weight << customer->priority);
}

/** Start or queue the stream and return RT_DONE, or return the reason to
    refuse it. */
rt_reason_t
rt_admit (rt_stream_t *stream, el_time_t now)
{
  rt_router_t *router = stream->router;
  rt_customer_t *customer = stream->customer;

  if (router->stopping)
    return RT_STOPPING;
  if (stream->deadline <= now)
    return RT_DEADLINE;
  if (customer->in_flight >= customer_host_limit (router, customer))
    return RT_CUSTOMER_LIMIT;
  if (router->active >= router->options.max_active
      && router->queued >= router->options.max_queue)
    return RT_QUEUE_FULL;
  customer->in_flight++;
  if (router->active < router->options.max_active)
    {
      customer_charge (router, customer);
      rt_stream_start (stream, now);
      return RT_DONE;
    }
  stream->state = RT_QUEUED;
  queue_append (stream);
  el_timers_set (&router->timers, &stream->timer, stream->deadline);
  return RT_DONE;
}

/** Start queued streams while there is capacity. A stream that ends as soon as
    it is started calls this function recursively; the nested call returns at
    once and the outer loop continues, which bounds the stack depth. */
void
rt_admit_next (rt_router_t *router, el_time_t now)
{
  rt_customer_t *customer;
  rt_customer_t *next;
  rt_customer_t *best;
  rt_stream_t *stream;

  if (router->admitting)
    return;
  router->admitting = 1;
  while (router->queued && router->active < router->options.max_active)
    {
      best = NULL;
      HASH_ITER (hh, router->customers, customer, next)
      if (customer->queue
          && (!best || customer->virtual_time < best->virtual_time))
        best = customer;
      if (!best)
        break;
      stream = best->queue;
      rt_admit_dequeue (stream);
      customer_charge (router, best);
      rt_stream_start (stream, now);
    }
  router->admitting = 0;
}

/** The time in milliseconds after which a refused caller should retry: the
    estimated time until the queue is empty, plus jitter so that refused
    callers do not all return at once. */
uint64_t
rt_admit_retry_after (rt_router_t *router)
{
  uint64_t mean
      = router->mean_run_us ? router->mean_run_us : MEAN_RUN_INITIAL_US;
  uint64_t wait = mean / EL_MSEC * (router->queued + 1)
                  / (router->options.max_active + 1);

  if (wait < RETRY_AFTER_MIN_MS)
    wait = RETRY_AFTER_MIN_MS;
  if (wait > RETRY_AFTER_MAX_MS)
    wait = RETRY_AFTER_MAX_MS;
  return wait + rt_random (router) % (wait + 1);
}
