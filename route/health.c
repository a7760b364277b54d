/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Which endpoints may be sent new requests: not those that are draining,
 * leaving or in backoff, and not those ejected after failures. Ejection is
 * only a hint: route selection ignores it if no other endpoint is left.
 */
#include "librt.h"

static const rt_ejection_t ejection_policy = { .threshold = 3,
                                               .first = 500 * EL_MSEC,
                                               .max_doublings = 5,
                                               .max = 15 * EL_SEC };

/* The effect of a failure on the endpoint's ejection. */
static const struct
{
  int counts;         /* as one of the consecutive failures */
  int ejects_at_once; /* a single failure is enough */
} failure_effects[RT_FAILS] = {
  [RT_FAIL_CONNECT] = { 1, 1 }, [RT_FAIL_BROKEN] = { 1, 0 },
  [RT_FAIL_LEAVING] = { 0, 0 }, [RT_FAIL_BUSY] = { 0, 0 },
  [RT_FAIL_REFUSED] = { 0, 0 }, [RT_FAIL_TIMEOUT] = { 1, 1 },
  [RT_FAIL_CROSSED] = { 1, 0 },
};

/** Whether the endpoint may be sent new requests. IGNORE_EJECTION admits one
    that is ejected or on trial after a backoff. */
int
rt_endpoint_usable (const rt_endpoint_t *ep, el_time_t now,
                    int ignore_ejection)
{
  rt_avail_level_t level = rt_avail_level_at (&ep->avail, now);

  return !ep->draining
         && level <= (ignore_ejection ? RT_AVAIL_LAST_RESORT
                                      : RT_AVAIL_DOUBTFUL);
}

/** The earliest time at which the endpoint may be sent new requests: NOW, the
    end of its backoff, or EL_TIME_NEVER if it is draining or leaving. */
el_time_t
rt_endpoint_available_at (const rt_endpoint_t *ep, el_time_t now)
{
  rt_unavail_t reason = rt_avail_reason_at (&ep->avail, now);

  if (ep->draining || reason > RT_UNAVAIL_BACKOFF)
    return EL_TIME_NEVER;
  return reason == RT_UNAVAIL_BACKOFF ? ep->avail.backoff_until : now;
}

/** A call to the endpoint failed. */
void
rt_endpoint_failed (rt_router_t *router, el_str_t name, el_time_t now,
                    rt_failure_t fail)
{
  rt_endpoint_t *ep = rt_endpoint_find (router, name);
  int ejected;

  if (!ep)
    return;
  if (fail == RT_FAIL_LEAVING)
    {
      router->counts.leaving++;
      ep->avail.leaving_until = now + router->options.leave_hold;
    }
  if (!failure_effects[fail].counts)
    return;
  ejected = now < ep->avail.ejected_until;
  if (rt_avail_failed (&ep->avail, now, &ejection_policy,
                       failure_effects[fail].ejects_at_once))
    router->counts.ejected += !ejected;
}

/** The endpoint requested a backoff of REQUESTED. */
void
rt_endpoint_backoff_requested (rt_router_t *router, el_str_t name,
                               el_time_t now, el_time_t requested)
{
  rt_endpoint_t *ep = rt_endpoint_find (router, name);

  if (ep && rt_avail_backoff (&ep->avail, now, requested, rt_random (router)))
    router->counts.backoffs++;
}

/** A call to the endpoint was answered. */
void
rt_endpoint_answered (rt_router_t *router, el_str_t name)
{
  rt_endpoint_t *ep = rt_endpoint_find (router, name);

  if (!ep)
    return;
  rt_avail_answered (&ep->avail);
  rt_avail_succeeded (&ep->avail);
}

/** A call was sent to the endpoint at NOW (DELTA is 1) or has ended (DELTA is
    -1; NOW is not used). */
void
rt_endpoint_adjust_in_flight (rt_router_t *router, el_str_t name,
                              el_time_t now, int delta)
{
  rt_endpoint_t *ep = rt_endpoint_find (router, name);

  if (!ep)
    return;
  if (delta > 0)
    {
      rt_avail_sent (&ep->avail, now);
      ep->in_flight++;
    }
  else if (ep->in_flight)
    ep->in_flight--;
}
