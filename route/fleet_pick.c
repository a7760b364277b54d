/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Load balancing among the endpoints of a plain service, and the choice of an
 * endpoint for a suspect request.
 */
#include "libfleet.h"

/* Endpoints of a service whose response time a host should know, so that it
   notices when one of them is slow. */
#define KNOWN_MIN 3
/* One request of so many goes to an endpoint whose response time is unknown,
   so that a host finds others if all that it knows are slow. */
#define EXPLORE_REQUESTS 16
/* Response time assumed of an endpoint that is to be tried, relative to the
   mean of the known ones. */
#define EXPLORE_FACTOR 0.25
/* Fraction by which an endpoint in another hall costs more. */
#define REMOTE_HALL_PENALTY 0.25

/* Response times of the endpoints of a service, as far as they are known. */
typedef struct pick_service
{
  size_t known;
  double mean_ms; /* of the known ones */
  int explore;    /* try an endpoint whose response time is unknown */
} pick_service_t;

/* The endpoints that a host has used lately are known to it and connected to
   it. A few of them are enough: with every host at every endpoint, connections
   grow with the product of both. */
static pick_service_t
pick_service (rt_fleet_t *fleet, el_str_t service)
{
  pick_service_t out = { .known = 0 };
  const rt_target_t *target;

  for (target = fleet->by_id; target; target = target->hh.next)
    if (target->mean_ms > 0 && el_str_eq (target->attrs.service, service))
      {
        out.known++;
        out.mean_ms += target->mean_ms;
      }
  out.mean_ms = out.known ? out.mean_ms / (double)out.known : 1;
  out.explore = out.known < KNOWN_MIN
                || el_random (&fleet->random) % EXPLORE_REQUESTS == 0;
  return out;
}

/* Estimated wait at TARGET: load per slot times response time, with jitter so
   that hosts do not all choose the same endpoint. */
static double
pick_cost (rt_fleet_t *fleet, const rt_target_t *target, el_str_t hall,
           const pick_service_t *service)
{
  double slots = target->attrs.slots ? (double)target->attrs.slots : 1;
  double jitter = (double)(el_random (&fleet->random) % 1000) / 1000;
  double load = (double)(target->running + 1) / slots;
  double latency_ms = target->mean_ms;
  double cost;

  if (latency_ms == 0)
    latency_ms = service->mean_ms * (service->explore ? EXPLORE_FACTOR : 1);
  cost = load * latency_ms * (1 + jitter / 4);
  if (!el_str_eq (target->attrs.hall, hall))
    cost *= 1 + REMOTE_HALL_PENALTY;
  return cost;
}

/** Selects an endpoint of SERVICE for a request from HALL; NULL if none may be
    used. If all are to be avoided, one of them is used anyway, unless it is in
    backoff or leaving, or its rate limit is used up. */
rt_target_t *
rt_fleet_pick (rt_fleet_t *fleet, el_time_t now, el_str_t service,
               el_str_t hall, const rt_tried_t *tried)
{
  pick_service_t known = pick_service (fleet, service);
  rt_target_t *best = NULL;
  rt_target_t *target;
  rt_target_t *next;
  rt_avail_level_t best_level = RT_AVAIL_LAST_RESORT;
  double min_cost = 0;

  HASH_ITER (hh, fleet->by_id, target, next)
  {
    rt_avail_level_t level = rt_avail_level_at (&target->avail, now);
    double cost;

    if (level > best_level || !el_str_eq (target->attrs.service, service)
        || rt_tried_has (tried, target)
        || !rt_limit_admits (&target->limit, now))
      continue;
    cost = pick_cost (fleet, target, hall, &known);
    if (best && level == best_level && cost >= min_cost)
      continue;
    best = target;
    min_cost = cost;
    best_level = level;
  }
  return best;
}

/** Selects the endpoint of SERVICE for a suspect request; NULL if there is
    none. An engine must hold the first layers. Rendezvous hashing with DRAW
    makes all hosts choose the same endpoint for a request, and spreads suspect
    requests over the endpoints. An endpoint that another suspect request may
    be about to crash is skipped. */
rt_target_t *
rt_fleet_pick_isolated (const rt_fleet_t *fleet, el_time_t now,
                        el_str_t service, uint64_t draw,
                        const rt_tried_t *tried)
{
  rt_target_t *best = NULL;
  rt_target_t *target;
  uint64_t highest = 0;
  uint64_t rank;

  for (target = fleet->by_id; target; target = target->hh.next)
    {
      int engine = target->attrs.card.len > 0;

      if (rt_avail_level_at (&target->avail, now) != RT_AVAIL_FULL
          || !el_str_eq (target->attrs.service, service)
          || (engine && (target->attrs.first > 0 || target->attrs.end == 0))
          || rt_tried_has (tried, target)
          || !rt_limit_admits (&target->limit, now))
        continue;
      rank = XXH3_64bits_withSeed (target->attrs.id.ptr, target->attrs.id.len,
                                   draw);
      if (best && rank <= highest)
        continue;
      best = target;
      highest = rank;
    }
  return best;
}
