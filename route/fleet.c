/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The endpoints of relayed requests, as far as one host knows them, and the
 * choice among those of a plain service.
 */
#include <string.h>

#include "relay.h"

/* An endpoint that fails is set aside, longer with each failure in a row. */
#define AVOID_FIRST (200 * EL_MSEC)
#define AVOID_DOUBLINGS 4
/* Failures in a row before an endpoint is set aside: one alone is chance. */
#define AVOID_AFTER 2
/* An engine without room is left for this long: streams end all the time. */
#define BUSY_AVOID (100 * EL_MSEC)
/* News of an endpoint takes about a second. */
#define CHANGED_AVOID (1000 * EL_MSEC)
/* Weight of the newest answer in the moving mean of times. */
#define MEAN_WEIGHT 0.2
/* An endpoint of another hall counts as this much busier. */
#define FAR_COST 0.25

/* The flow of tokens is a mean over this, about as long as streams take. */
#define FLOW_MEAN (2 * EL_SEC)

struct rt_fleet
{
  rt_target_t *by_id;
  uint64_t random;
  size_t hosts; /* that send to the same engines */
  size_t all;   /* hosts of all halls */
  double flow;  /* tokens a second of this host's streams, a moving mean
                   as of SENT */
  el_time_t sent;
};

/** A fleet without endpoints; hosts should differ in SEED. */
rt_fleet_t *
rt_fleet_new (uint64_t seed)
{
  rt_fleet_t *fleet = el_alloc (sizeof *fleet);

  fleet->random = seed | 1;
  return fleet;
}

/** Forget all endpoints; those in use stay until they are let go of. */
void
rt_fleet_free (rt_fleet_t *fleet)
{
  rt_target_t *target;
  rt_target_t *next;

  HASH_ITER (hh, fleet->by_id, target, next)
  {
    HASH_DEL (fleet->by_id, target);
    rt_target_unref (target);
  }
  free (fleet);
}

/** Keep TARGET in memory until rt_target_unref. */
rt_target_t *
rt_target_ref (rt_target_t *target)
{
  target->refs++;
  return target;
}

static void
facts_free (rt_facts_t *facts)
{
  el_str_free (&facts->id);
  el_str_free (&facts->service);
  el_str_free (&facts->address);
  el_str_free (&facts->hall);
  el_str_free (&facts->card);
}

static void
facts_copy (rt_facts_t *to, const rt_facts_t *from)
{
  *to = *from;
  to->id = el_str_dup (from->id);
  to->service = el_str_dup (from->service);
  to->address = el_str_dup (from->address);
  to->hall = el_str_dup (from->hall);
  to->card = el_str_dup (from->card);
}

/** Let go of TARGET; the last one frees it. */
void
rt_target_unref (rt_target_t *target)
{
  if (!target || --target->refs)
    return;
  facts_free (&target->facts);
  free (target);
}

/** Whether FACTS are of the start that TARGET is. */
int
rt_target_same_start (const rt_target_t *target, const rt_facts_t *facts)
{
  return !target->facts.born || !facts->born
         || target->facts.born == facts->born;
}

/** Take in what is told of an endpoint, new or known. One that said it leaves
    does not come back; another start under its id is another endpoint, which
    holds and knows nothing of before. */
rt_target_t *
rt_fleet_set (rt_fleet_t *fleet, const rt_facts_t *facts)
{
  rt_target_t *target = rt_fleet_find (fleet, facts->id);

  if (target && !rt_target_same_start (target, facts))
    {
      rt_fleet_remove (fleet, facts->id);
      target = NULL;
    }
  if (!target)
    {
      target = el_alloc (sizeof *target);
      target->refs = 1;
      facts_copy (&target->facts, facts);
      HASH_ADD_KEYPTR (hh, fleet->by_id, target->facts.id.ptr,
                       (unsigned)target->facts.id.len, target);
      return target;
    }
  if (facts->born)
    target->facts.born = facts->born;
  target->facts.slots = facts->slots;
  target->facts.leaving |= facts->leaving;
  target->facts.first = facts->first;
  target->facts.end = facts->end;
  return target;
}

/** The endpoint is no longer listed: it gets nothing new. */
void
rt_fleet_remove (rt_fleet_t *fleet, el_str_t id)
{
  rt_target_t *target = rt_fleet_find (fleet, id);

  if (!target)
    return;
  target->gone = 1;
  HASH_DEL (fleet->by_id, target);
  rt_target_unref (target);
}

/** The endpoint named ID; NULL without one. */
rt_target_t *
rt_fleet_find (const rt_fleet_t *fleet, el_str_t id)
{
  rt_target_t *target = NULL;

  if (id.len)
    HASH_FIND (hh, fleet->by_id, id.ptr, (unsigned)id.len, target);
  return target;
}

/** The first endpoint; the others follow by hh.next. */
rt_target_t *
rt_fleet_first (const rt_fleet_t *fleet)
{
  return fleet->by_id;
}

/** HOSTS of this hall, this one included, send to the same engines in about
    equal parts; ALL are those of all halls. */
void
rt_fleet_share (rt_fleet_t *fleet, size_t hosts, size_t all)
{
  fleet->hosts = hosts;
  fleet->all = all;
}

/* The part of the moving mean that is left at NOW. */
static double
flow_left (const rt_fleet_t *fleet, el_time_t now)
{
  el_time_t past = now > fleet->sent ? now - fleet->sent : 0;

  return (double)FLOW_MEAN / (double)(FLOW_MEAN + past);
}

/** This host sends a stream of TOKENS to engines. */
void
rt_fleet_sent (rt_fleet_t *fleet, el_time_t now, double tokens)
{
  fleet->flow = fleet->flow * flow_left (fleet, now)
                + tokens * (double)EL_SEC / (double)FLOW_MEAN;
  fleet->sent = now;
}

/** Tokens a second of all hosts' streams, if they send as many as this one. */
double
rt_fleet_flow (const rt_fleet_t *fleet, el_time_t now)
{
  double hosts = fleet->all ? (double)fleet->all : 1;

  return fleet->flow * flow_left (fleet, now) * hosts;
}

/** How many hosts send to the same engines; at least 1. */
double
rt_fleet_hosts (const rt_fleet_t *fleet)
{
  return fleet->hosts ? (double)fleet->hosts : 1;
}

/** How many endpoints are listed. */
size_t
rt_fleet_count (const rt_fleet_t *fleet)
{
  return HASH_COUNT (fleet->by_id);
}

/** Whether new work may go there now. */
int
rt_target_usable (const rt_target_t *target, el_time_t now)
{
  return !target->gone && !target->facts.leaving && !target->suspect
         && now >= target->avoid_until;
}

/** An exchange with it failed. */
void
rt_target_failed (rt_target_t *target, el_time_t now)
{
  unsigned over;

  target->failures++;
  if (target->failures < AVOID_AFTER)
    return;
  over = target->failures - AVOID_AFTER;
  if (over > AVOID_DOUBLINGS)
    over = AVOID_DOUBLINGS;
  target->avoid_until = now + (AVOID_FIRST << over);
}

/** It does not hold what it was said to hold, or is another one by now: what
    is told of it will soon change. */
void
rt_target_changed (rt_target_t *target, el_time_t now)
{
  target->avoid_until = now + CHANGED_AVOID;
}

/** It refused for want of room. */
void
rt_target_busy (rt_target_t *target, el_time_t now)
{
  if (target->avoid_until < now + BUSY_AVOID)
    target->avoid_until = now + BUSY_AVOID;
}

/** It reported at AT how it does; gives 0 when something newer is known. */
int
rt_target_told (rt_target_t *target, const rt_load_t *load, el_time_t at)
{
  if (at <= target->told)
    return 0;
  target->told = at;
  target->fill = load->fill;
  target->pace = load->pace;
  target->held_then = target->held;
  target->taken = load->taken;
  target->running_then = target->running;
  return 1;
}

/** It answered after TOOK. */
void
rt_target_served (rt_target_t *target, el_time_t took)
{
  double ms = (double)took / (double)EL_MSEC;

  target->failures = 0;
  target->avoid_until = 0;
  if (target->usual_ms > 0)
    target->usual_ms += MEAN_WEIGHT * (ms - target->usual_ms);
  else
    target->usual_ms = ms;
}

/** Leave TARGET out of further choices. */
void
rt_tried_add (rt_tried_t *tried, const rt_target_t *target)
{
  if (tried->n < RT_TRIED_MAX)
    tried->list[tried->n++] = target;
}

/** Whether TARGET is among those that a request is not sent to again. */
int
rt_tried_has (const rt_tried_t *tried, const rt_target_t *target)
{
  size_t i;

  for (i = 0; i < tried->n; i++)
    if (tried->list[i] == target)
      return 1;
  return 0;
}

/* How much a request would wait there: what runs against the slots, by how
   slow it is, with a little chance so that hosts do not agree. */
static double
pick_cost (rt_fleet_t *fleet, const rt_target_t *target, el_str_t hall)
{
  double slots = target->facts.slots ? (double)target->facts.slots : 1;
  double chance = (double)(el_random (&fleet->random) % 1000) / 1000;
  double load = (double)(target->running + 1) / slots;
  double slow = target->usual_ms > 0 ? target->usual_ms : 1;
  double cost = load * slow * (1 + chance / 4);

  if (!el_str_eq (target->facts.hall, hall))
    cost *= 1 + FAR_COST;
  return cost;
}

/** An endpoint of SERVICE for a request from HALL; NULL when none may be
    used. When all are set aside, one of them is tried all the same. */
rt_target_t *
rt_fleet_pick (rt_fleet_t *fleet, el_time_t now, el_str_t service,
               el_str_t hall, const rt_tried_t *tried)
{
  rt_target_t *best = NULL;
  rt_target_t *target;
  rt_target_t *next;
  double least = 0;
  int aside = 1;

  HASH_ITER (hh, fleet->by_id, target, next)
  {
    int set_aside = target->suspect || now < target->avoid_until
                    || now < target->proof_until;
    double cost;

    if (target->gone || target->facts.leaving || set_aside > aside
        || !el_str_eq (target->facts.service, service)
        || rt_tried_has (tried, target))
      continue;
    cost = pick_cost (fleet, target, hall);
    if (best && set_aside == aside && cost >= least)
      continue;
    best = target;
    least = cost;
    aside = set_aside;
  }
  return best;
}

/** Where a suspect is sent: an endpoint of SERVICE, for engines one with the
    first layers, that DRAW chooses, the same at all hosts, so that suspects
    part from each other; not one that another suspect may just be ending. NULL
    when there is none. */
rt_target_t *
rt_fleet_apart (const rt_fleet_t *fleet, el_time_t now, el_str_t service,
                uint64_t draw, const rt_tried_t *tried)
{
  rt_target_t *best = NULL;
  rt_target_t *target;
  uint64_t highest = 0;
  uint64_t rank;

  for (target = fleet->by_id; target; target = target->hh.next)
    {
      int engine = target->facts.card.len > 0;

      if (!rt_target_usable (target, now) || now < target->proof_until
          || !el_str_eq (target->facts.service, service)
          || (engine && (target->facts.first > 0 || target->facts.end == 0))
          || rt_tried_has (tried, target))
        continue;
      rank = XXH3_64bits_withSeed (target->facts.id.ptr, target->facts.id.len,
                                   draw);
      if (best && rank <= highest)
        continue;
      best = target;
      highest = rank;
    }
  return best;
}
