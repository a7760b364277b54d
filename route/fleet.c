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

/* An endpoint that fails is set aside; one failure alone is chance. */
static const rt_avoid_t avoid = {
  .after = 2, .first = 200 * EL_MSEC, .doublings = 4, .most = 3200 * EL_MSEC
};
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
/* Starts of endpoints that are remembered though they are not listed, 160
   bytes each: more than those of a day on which each of 1,900 is replaced
   twice. The oldest give way. */
#define NOTICES_MOST 4096

/* What a start of an endpoint asked for that is not listed: entries lapse
   while the store is away, and return. */
typedef struct notice
{
  el_str_t id;
  uint64_t born;
  rt_access_t access;
  UT_hash_handle hh;
} notice_t;

struct rt_fleet
{
  rt_target_t *by_id;
  notice_t *notices;
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

static void
notice_drop (rt_fleet_t *fleet, notice_t *notice)
{
  HASH_DEL (fleet->notices, notice);
  el_str_free (&notice->id);
  free (notice);
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
  while (fleet->notices)
    notice_drop (fleet, fleet->notices);
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

static notice_t *
notice_find (const rt_fleet_t *fleet, el_str_t id)
{
  notice_t *notice;

  HASH_FIND (hh, fleet->notices, id.ptr, (unsigned)id.len, notice);
  return notice;
}

/* Remember what the start BORN of ID, which is not listed, asked for. */
static void
notice_add (rt_fleet_t *fleet, el_str_t id, uint64_t born,
            const rt_access_t *access)
{
  notice_t *notice = notice_find (fleet, id);

  if (notice)
    notice_drop (fleet, notice);
  if (HASH_COUNT (fleet->notices) >= NOTICES_MOST)
    notice_drop (fleet, fleet->notices);
  notice = el_alloc (sizeof *notice);
  notice->id = el_str_dup (id);
  notice->born = born;
  notice->access = (rt_access_t){ .leaves_until = access->leaves_until,
                                  .rest_began = access->rest_began,
                                  .rest_until = access->rest_until,
                                  .trial = access->trial };
  HASH_ADD_KEYPTR (hh, fleet->notices, notice->id.ptr, (unsigned)id.len,
                   notice);
}

/* What the start that TARGET is asked for before it was listed holds. */
static void
notice_take (rt_fleet_t *fleet, rt_target_t *target)
{
  notice_t *notice = notice_find (fleet, target->facts.id);

  if (!notice)
    return;
  if (!notice->born || !target->facts.born
      || notice->born == target->facts.born)
    target->access = notice->access;
  notice_drop (fleet, notice);
}

static rt_target_t *
target_new (rt_fleet_t *fleet, const rt_facts_t *facts)
{
  rt_target_t *target = el_alloc (sizeof *target);

  target->refs = 1;
  facts_copy (&target->facts, facts);
  notice_take (fleet, target);
  HASH_ADD_KEYPTR (hh, fleet->by_id, target->facts.id.ptr,
                   (unsigned)target->facts.id.len, target);
  return target;
}

/** Take in what is told of an endpoint, new or known. One that said it leaves
    does not come back; another start under its id is another endpoint, which
    holds and knows nothing of before, neither that it leaves nor that it asked
    for rest. */
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
    target = target_new (fleet, facts);
  else if (facts->born)
    target->facts.born = facts->born;
  target->facts.slots = facts->slots;
  target->facts.first = facts->first;
  target->facts.end = facts->end;
  if (facts->leaving)
    rt_target_leave (target);
  return target;
}

/** The endpoint is no longer listed: it gets nothing new. */
void
rt_fleet_remove (rt_fleet_t *fleet, el_str_t id)
{
  rt_target_t *target = rt_fleet_find (fleet, id);

  if (!target)
    return;
  if (rt_target_leaves (target) || target->access.rest_until)
    notice_add (fleet, target->facts.id, target->facts.born, &target->access);
  target->access.gone = 1;
  HASH_DEL (fleet->by_id, target);
  rt_target_unref (target);
}

/** The start BORN of ID said that it leaves; gives the endpoint if that is
    new, NULL if it is known or none such is listed, which is remembered. */
rt_target_t *
rt_fleet_leaves (rt_fleet_t *fleet, el_str_t id, uint64_t born)
{
  const rt_access_t leaves = { .leaves_until = EL_TIME_NEVER };
  rt_target_t *target = rt_fleet_find (fleet, id);
  const rt_facts_t facts = { .born = born };

  if (!target)
    {
      notice_add (fleet, id, born, &leaves);
      return NULL;
    }
  if (!rt_target_same_start (target, &facts) || rt_target_leaves (target))
    return NULL;
  rt_target_leave (target);
  return target;
}

static int
notice_leaves (const notice_t *notice)
{
  return notice->access.leaves_until == EL_TIME_NEVER;
}

/** Visit the starts that said they leave: those listed, and of the others the
    MOST that were last to go. */
void
rt_fleet_left (const rt_fleet_t *fleet, size_t most, rt_left_cb left,
               void *arg)
{
  const rt_target_t *target;
  const notice_t *notice = NULL;

  for (target = fleet->by_id; target; target = target->hh.next)
    if (rt_target_leaves (target))
      left (arg, target->facts.id, target->facts.born);
  if (fleet->notices)
    notice
        = ELMT_FROM_HH (fleet->notices->hh.tbl, fleet->notices->hh.tbl->tail);
  for (; notice && most; notice = notice->hh.prev, most--)
    if (notice_leaves (notice))
      left (arg, notice->id, notice->born);
}

/** TARGET asked at NOW to be left in peace for so long; gives 1 when a rest
    begins. */
int
rt_fleet_rests (rt_fleet_t *fleet, rt_target_t *target, el_time_t now,
                el_time_t asked)
{
  return rt_access_rest (&target->access, now, asked,
                         el_random (&fleet->random));
}

/** When the first endpoint of SERVICE may be used again whose rest is all that
    keeps it from that; 0 when one may be used at NOW, or none ever. */
el_time_t
rt_fleet_opens (const rt_fleet_t *fleet, el_time_t now, el_str_t service)
{
  const rt_target_t *target;
  el_time_t first = 0;

  for (target = fleet->by_id; target; target = target->hh.next)
    {
      rt_why_t why = rt_access_why (&target->access, now);

      if (!el_str_eq (target->facts.service, service))
        continue;
      if (why < RT_WHY_RESTS)
        return 0;
      if (why == RT_WHY_RESTS && (!first || target->access.rest_until < first))
        first = target->access.rest_until;
    }
  return first;
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

/** Whether new work may go there now, as the first choice or where a suspect
    may end it. */
int
rt_target_usable (const rt_target_t *target, el_time_t now)
{
  return rt_access_open (&target->access, now) <= RT_DOUBT;
}

/** Whether it said that it takes no new work. */
int
rt_target_leaves (const rt_target_t *target)
{
  return target->access.leaves_until == EL_TIME_NEVER;
}

/** It says that it takes no new work; that holds for this start. */
void
rt_target_leave (rt_target_t *target)
{
  target->access.leaves_until = EL_TIME_NEVER;
}

/** An exchange with it failed. */
void
rt_target_failed (rt_target_t *target, el_time_t now)
{
  rt_access_failed (&target->access, now, &avoid, 0);
}

/** It does not hold what it was said to hold, or is another one by now: what
    is told of it will soon change. */
void
rt_target_changed (rt_target_t *target, el_time_t now)
{
  rt_access_changed (&target->access, now, CHANGED_AVOID);
}

/** It refused for want of room. */
void
rt_target_busy (rt_target_t *target, el_time_t now)
{
  rt_access_busy (&target->access, now, BUSY_AVOID);
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

  rt_access_served (&target->access);
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
    used. When all are set aside, one of them is tried all the same, unless it
    rests or leaves. */
rt_target_t *
rt_fleet_pick (rt_fleet_t *fleet, el_time_t now, el_str_t service,
               el_str_t hall, const rt_tried_t *tried)
{
  rt_target_t *best = NULL;
  rt_target_t *target;
  rt_target_t *next;
  rt_open_t best_open = RT_ASIDE;
  double least = 0;

  HASH_ITER (hh, fleet->by_id, target, next)
  {
    rt_open_t open = rt_access_open (&target->access, now);
    double cost;

    if (open > best_open || !el_str_eq (target->facts.service, service)
        || rt_tried_has (tried, target))
      continue;
    cost = pick_cost (fleet, target, hall);
    if (best && open == best_open && cost >= least)
      continue;
    best = target;
    least = cost;
    best_open = open;
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

      if (rt_access_open (&target->access, now) != RT_OPEN
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
