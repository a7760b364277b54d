/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Backoff and leaving notices in the responses of endpoints. They apply to
 * every later pick (route/avail.h), whether the response was to a request, a
 * health check or an order.
 */
#include "librelay.h"

/* How long hosts gossip that an endpoint is leaving: it keeps serving for
   seconds, and a host that starts meanwhile has to know. */
#define LEAVING_GOSSIP_TIME (120 * EL_SEC)

/* The backoff of an endpoint, until it expires. */
typedef struct relay_backoff
{
  gt_relays_t *relays;
  rt_target_t *target;
  el_timer_t timer;
  UT_hash_handle hh;
} relay_backoff_t;

static void
backoff_expired (void *arg, el_time_t now)
{
  relay_backoff_t *backoff = arg;
  gt_relays_t *relays = backoff->relays;
  const rt_target_t *target = backoff->target;
  el_time_t left = rt_avail_backoff_left (&target->avail, now);
  el_time_t lasted = now - target->avail.backoff_since;

  if (left)
    {
      net_clock_set (relays->options.clock, &backoff->timer, left);
      return;
    }
  EL_LOG (EL_LOG_INFO, "rest_over", EL_FS ("endpoint", target->attrs.id),
          EL_FN ("born", target->attrs.born), EL_FN ("us", lasted),
          EL_FN ("running", target->running), EL_FN ("lines", target->chains),
          EL_FN ("gone", target->avail.gone));
  relays->counts.backoff_us += lasted;
  relay_service (relays, target->attrs.service)->backoff_us += lasted;
  HASH_DEL (relays->backoffs, backoff);
  rt_target_unref (backoff->target);
  free (backoff);
}

/* Counts and logs a backoff of TARGET that begins. Called once per backoff,
   not once per response that requests it. */
static void
backoff_start (gt_relays_t *relays, rt_target_t *target, el_time_t requested,
               el_str_t by)
{
  el_time_t now = net_clock_now (relays->options.clock);
  relay_backoff_t *backoff;

  HASH_FIND_PTR (relays->backoffs, &target, backoff);
  if (!backoff)
    {
      backoff = el_alloc (sizeof *backoff);
      backoff->relays = relays;
      backoff->target = rt_target_ref (target);
      backoff->timer.cb = backoff_expired;
      backoff->timer.arg = backoff;
      HASH_ADD_PTR (relays->backoffs, target, backoff);
    }
  net_clock_set (relays->options.clock, &backoff->timer,
                 rt_avail_backoff_left (&target->avail, now));
  relays->counts.backoffs++;
  EL_LOG (EL_LOG_INFO, "rest_begins", EL_FS ("endpoint", target->attrs.id),
          EL_FN ("born", target->attrs.born),
          EL_FS ("service", target->attrs.service), EL_FS ("by", by),
          EL_FN ("asked_us", requested),
          EL_FN ("left_us", rt_avail_backoff_left (&target->avail, now)),
          EL_FN ("running", target->running), EL_FN ("lines", target->chains),
          EL_FN ("resting", HASH_COUNT (relays->backoffs)));
}

static void
leaving_log (gt_relays_t *relays, const rt_target_t *target, el_str_t by)
{
  relays->counts.leaving++;
  EL_LOG (EL_LOG_INFO, "endpoint_leaves", EL_FS ("endpoint", target->attrs.id),
          EL_FN ("born", target->attrs.born),
          EL_FS ("service", target->attrs.service), EL_FS ("by", by),
          EL_FN ("running", target->running), EL_FN ("lines", target->chains));
}

/** Publishes that INSTANCE is leaving. The rumor id is derived from the fact,
    so that all hosts publish the same rumor. */
void
relay_backoff_announce_leaving (gt_relays_t *relays,
                                const rt_instance_t *instance)
{
  const relay_fact_t fact
      = { .kind = RELAY_FACT_LEAVING, .instance = *instance };

  relay_rumor_publish (relays, &fact,
                       rt_instance_key (instance) ^ RELAY_FACT_LEAVING,
                       LEAVING_GOSSIP_TIME);
}

/* Marks TARGET as leaving, whatever its entry says, and publishes it, so that
   other hosts learn it before they send to TARGET. */
static void
leaving_learned (gt_relays_t *relays, rt_target_t *target, el_str_t by)
{
  const rt_instance_t instance = rt_target_instance (target);

  if (rt_target_is_leaving (target))
    return;
  rt_target_mark_leaving (target);
  leaving_log (relays, target, by);
  relay_backoff_announce_leaving (relays, &instance);
}

/** Handles a rumor that an endpoint is leaving. */
void
relay_backoff_on_leaving (gt_relays_t *relays, const co_rumor_t *rumor,
                          const relay_fact_t *fact)
{
  const rt_target_t *target = rt_fleet_mark_leaving (
      relays->options.fleet, el_str (fact->instance.id), fact->instance.born);

  (void)rumor;
  if (target)
    leaving_log (relays, target, EL_STR ("another host"));
}

/** Applies the backoff and the leaving notice that TARGET sent in a response
    to BY: a request id, or "check" or "order". */
void
gt_relays_apply_hints (gt_relays_t *relays, rt_target_t *target,
                       const rt_hints_t *hints, el_str_t by)
{
  if (hints->leaving)
    leaving_learned (relays, target, by);
  if (hints->limited == RT_LIMIT_NAMED)
    relay_limit_named (relays, target, hints->limit, by);
  if (hints->backoff
      && rt_fleet_backoff (relays->options.fleet, target,
                           net_clock_now (relays->options.clock),
                           hints->backoff))
    backoff_start (relays, target, hints->backoff, by);
}

/** Returns the engine that a refusal names, or the attempt's target. */
rt_target_t *
relay_fault_target (gt_relay_t *relay, const net_result_t *result)
{
  const gt_relay_headers_t *names = &relay->relays->options.dialect->names;
  el_str_t address = net_result_header (result, names->at_fault);
  rt_target_t *named
      = address.len ? rt_chain_engine_at (&relay->chain, address) : NULL;

  return named ? named : relay->target;
}

/** Applies the hints in the head of RELAY's response. A refusal may name an
    engine further down the chain without telling whether the backoff is for
    that engine or for the target: it is applied to both. */
void
relay_backoff_read_head (gt_relay_t *relay, const net_result_t *head)
{
  rt_target_t *fault = relay_fault_target (relay, head);

  relay->relays->options.dialect->read_hints (head, &relay->hints);
  gt_relays_apply_hints (relay->relays, relay->target, &relay->hints,
                         relay->id);
  relay_limit_read_head (relay);
  if (fault != relay->target)
    gt_relays_apply_hints (relay->relays, fault,
                           &(rt_hints_t){ .backoff = relay->hints.backoff },
                           relay->id);
}

/* Calls EACH for the endpoints that RELAY is sent to: the target, or all
   engines of the chain. */
static void
for_each_target (gt_relay_t *relay, el_time_t now,
                 void (*each) (gt_relay_t *relay, rt_target_t *target,
                               el_time_t now))
{
  size_t i;

  if (!relay->chain.n)
    each (relay, relay->target, now);
  for (i = 0; i < relay->chain.n; i++)
    each (relay, relay->chain.part[i].target, now);
}

static void
sent_to (gt_relay_t *relay, rt_target_t *target, el_time_t now)
{
  relay->relays->counts.sent_in_backoff
      += rt_avail_backoff_left (&target->avail, now) > 0;
  rt_avail_sent (&target->avail, now);
}

/** Records at its endpoints that RELAY is sent. */
void
relay_backoff_sent (gt_relay_t *relay, el_time_t now)
{
  for_each_target (relay, now, sent_to);
}

/** Whether RELAY may still be sent to the target, which was picked before the
    connection was made. */
int
relay_backoff_permits (gt_relay_t *relay, el_time_t now)
{
  size_t i;

  for (i = 0; i < relay->chain.n; i++)
    if (rt_avail_level_at (&relay->chain.part[i].target->avail, now)
        == RT_AVAIL_NONE)
      return 0;
  return rt_avail_level_at (&relay->target->avail, now) != RT_AVAIL_NONE;
}

static void
answered_by (gt_relay_t *relay, rt_target_t *target, el_time_t now)
{
  (void)relay;
  (void)now;
  rt_avail_answered (&target->avail);
}

/** Records at RELAY's endpoints that they accepted it. */
void
relay_backoff_answered (gt_relay_t *relay)
{
  for_each_target (relay, 0, answered_by);
}

/** Returns the time until an endpoint's backoff ends and it may serve RELAY,
    or 0 if no backoff prevents that now. */
el_time_t
relay_backoff_left (gt_relay_t *relay, el_time_t now)
{
  const gt_relay_options_t *o = &relay->relays->options;
  const rt_tried_t none = { .n = 0 };
  const rt_chain_query_t want = { .service = relay->service,
                                  .hall = o->hall,
                                  .tokens = relay->tokens,
                                  .tried = &none };
  el_time_t opens;

  if (!relay->relays->backoffs)
    return 0;
  opens = relay->service->model.layers
              ? rt_chain_available_at (o->fleet, now, &want)
              : rt_fleet_available_at (o->fleet, now, relay->service->name);
  return opens > now ? opens - now : 0;
}

/** Returns the endpoints that are unavailable to new requests, and the total
    backoff of each service, as JSON. */
json_t *
gt_relays_unavailable_endpoints (gt_relays_t *relays)
{
  el_time_t now = net_clock_now (relays->options.clock);
  json_t *list = json_array ();
  json_t *backoffs = json_object ();
  const relay_service_t *service;
  const rt_target_t *target;

  for (target = rt_fleet_first (relays->options.fleet); target;
       target = target->hh.next)
    {
      rt_unavail_t why = rt_avail_reason_at (&target->avail, now);

      if (rt_avail_level_at (&target->avail, now) != RT_AVAIL_NONE)
        continue;
      json_array_append_new (
          list,
          json_pack ("{s:s%,s:I,s:s,s:I,s:i}", "endpoint",
                     target->attrs.id.ptr, target->attrs.id.len, "born",
                     (json_int_t)target->attrs.born, "why",
                     rt_unavail_name (why), "restLeftUs",
                     (json_int_t)rt_avail_backoff_left (&target->avail, now),
                     "running", (int)target->running));
    }
  for (service = relays->services; service; service = service->hh.next)
    json_object_set_new (backoffs, service->name,
                         json_integer ((json_int_t)service->backoff_us));
  return json_pack ("{s:o,s:o}", "endpoints", list, "restedUs", backoffs);
}
