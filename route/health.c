/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Which endpoints may get new work: not those that leave, and not those set
 * aside after failures. Being set aside is a hint only: the choice of route
 * passes over it when nothing else is left.
 */
#include "librt.h"

#define EJECT_AFTER 3
#define EJECT_FIRST (500 * EL_MSEC)
#define EJECT_MAX (15 * EL_SEC)
#define EJECT_DOUBLINGS 5

/* What a failure says of its endpoint. */
static const struct
{
  int counts;  /* towards being set aside */
  int at_once; /* one is enough */
} fails[RT_FAILS] = {
  [RT_FAIL_CONNECT] = { 1, 1 }, [RT_FAIL_BROKEN] = { 1, 0 },
  [RT_FAIL_LEAVING] = { 0, 0 }, [RT_FAIL_BUSY] = { 0, 0 },
  [RT_FAIL_REFUSED] = { 0, 0 }, [RT_FAIL_TIMEOUT] = { 1, 1 },
  [RT_FAIL_CROSSED] = { 1, 0 },
};

int
rt_endpoint_usable (const rt_endpoint_t *ep, el_time_t now,
                    int ignore_ejection)
{
  if (ep->draining || now < ep->leaving_until)
    return 0;
  return ignore_ejection || now >= ep->ejected_until;
}

static void
endpoint_eject (rt_router_t *router, rt_endpoint_t *ep, el_time_t now)
{
  unsigned over = ep->failures > EJECT_AFTER ? ep->failures - EJECT_AFTER : 0;
  el_time_t hold = EJECT_FIRST
                   << (over < EJECT_DOUBLINGS ? over : EJECT_DOUBLINGS);

  if (now >= ep->ejected_until)
    router->counts.ejected++;
  ep->ejected_until = now + (hold < EJECT_MAX ? hold : EJECT_MAX);
}

/** A call to the endpoint failed. */
void
rt_endpoint_failed (rt_router_t *router, el_str_t name, el_time_t now,
                    rt_fail_t fail)
{
  rt_endpoint_t *ep = rt_endpoint_find (router, name);

  if (!ep)
    return;
  if (fail == RT_FAIL_LEAVING)
    {
      router->counts.leaving++;
      ep->leaving_until = now + router->options.leave_hold;
    }
  if (!fails[fail].counts)
    return;
  ep->failures++;
  if (fails[fail].at_once || ep->failures >= EJECT_AFTER)
    endpoint_eject (router, ep, now);
}

/** A call to the endpoint was answered. */
void
rt_endpoint_answered (rt_router_t *router, el_str_t name)
{
  rt_endpoint_t *ep = rt_endpoint_find (router, name);

  if (!ep)
    return;
  ep->failures = 0;
  ep->ejected_until = 0;
}

/** A call went out to the endpoint (1), or is over (-1). */
void
rt_endpoint_flight (rt_router_t *router, el_str_t name, int delta)
{
  rt_endpoint_t *ep = rt_endpoint_find (router, name);

  if (!ep)
    return;
  if (delta > 0)
    ep->in_flight++;
  else if (ep->in_flight)
    ep->in_flight--;
}
