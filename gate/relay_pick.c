/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Choice of the endpoint, or of the chain of engines, for an attempt at a
 * relayed request.
 */
#include "librelay.h"

static int
uses_chain (const gt_relay_t *relay)
{
  return relay->service->model.layers > 0;
}

/* Picks a chain that starts at FIRST, or any if there is none. */
static int
pick_chain (gt_relay_t *relay, rt_target_t *first, el_time_t now)
{
  const gt_relay_options_t *o = &relay->relays->options;
  rt_chain_query_t want
      = { .service = relay->service,
          .hall = o->hall,
          .tokens = relay->tokens,
          .tried = &relay->tried,
          .first = first,
          .prefer_room = rt_service_has_ranks (relay->service) };

  if (rt_chain_pick (o->fleet, now, &want, &relay->chain))
    return 1;
  want.first = NULL;
  return first && rt_chain_pick (o->fleet, now, &want, &relay->chain);
}

/* Returns the best target now, which is the first engine if a chain is needed;
   NULL if there is none. */
static rt_target_t *
best_target (gt_relay_t *relay, el_time_t now)
{
  const gt_relay_options_t *o = &relay->relays->options;
  rt_target_t *isolated = relay_suspect_pick_target (relay, now);

  if (uses_chain (relay))
    return pick_chain (relay, isolated, now) ? relay->chain.part[0].target
                                             : NULL;
  return isolated ? isolated
                  : rt_fleet_pick (o->fleet, now, relay->service->name,
                                   o->hall, &relay->tried);
}

/* Picks another host for a request whose best target here is TARGET, if this
   host does not reach it. */
static relay_pick_t
pick_host (gt_relay_t *relay, const rt_target_t *target)
{
  gt_relays_t *relays = relay->relays;
  const relay_service_t *service
      = relay_service (relays, relay->service->name);
  int cut_off = service->reach.lost_at != 0;

  if (!cut_off && target && !target->reach.lost_at)
    return RELAY_PICK_NONE;
  if (!cut_off && !target && !service->lost)
    return RELAY_PICK_NONE;
  if (relay_survey_is_endpoints (service))
    return RELAY_PICK_UNREACHED;
  if (relay_forward_pick (relay))
    {
      relay->way = &relay_way_over_host;
      return RELAY_PICK_OK;
    }
  return cut_off || relay->forwarded ? RELAY_PICK_UNREACHED : RELAY_PICK_NONE;
}

/** Picks the target of the next attempt, or the host that serves the request.
   A target whose limit has no token left is not picked again. */
relay_pick_t
relay_pick_target (gt_relay_t *relay, el_time_t now)
{
  const gt_relay_options_t *o = &relay->relays->options;
  relay_permit_t permit;
  relay_pick_t admitted;
  relay_pick_t pick;
  rt_target_t *target;

  pick = relay_wait_charge (relay);
  if (pick != RELAY_PICK_OK)
    return pick;
  rt_fleet_set_hosts (o->fleet, o->hall_hosts (o->arg), o->hosts (o->arg));
  do
    {
      target = best_target (relay, now);
      pick = pick_host (relay, target);
      if (pick != RELAY_PICK_NONE)
        relay->chain.n = 0;
      if (pick != RELAY_PICK_NONE || !target)
        return pick;
      admitted = relay_wait_admit (relay, now);
      if (admitted != RELAY_PICK_OK)
        {
          relay->chain.n = 0;
          return admitted;
        }
      permit = relay_limit_permit (relay, target, now);
      if (permit != RELAY_PERMIT_SEND)
        relay->chain.n = 0;
    }
  while (permit == RELAY_PERMIT_DENIED);
  if (permit == RELAY_PERMIT_WAIT)
    return RELAY_PICK_WAIT;
  if (uses_chain (relay))
    {
      rt_chain_acquire (&relay->chain, NULL,
                        relay->nevents ? relay->tokens : relay->prompt);
      if (relay->attempts.sent == 0)
        rt_fleet_stream_sent (o->fleet, now, relay->tokens);
      relay_wait_started (relay, now);
    }
  relay->way = &relay_way_direct;
  relay->target = rt_target_ref (target);
  target->running++;
  return RELAY_PICK_OK;
}
