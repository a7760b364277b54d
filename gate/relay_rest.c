/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * What endpoints ask of this host beside their answers: for how long they are
 * to be left in peace, and that they take no new work. It is heard with one
 * answer and counts for every choice after it (route/access.h), whichever
 * request, check or order brought it.
 */
#include "librelay.h"

/* How long hosts tell each other that an endpoint leaves: it serves on for
   seconds, and a host that starts meanwhile should know. */
#define LEAVES_HOLD (120 * EL_SEC)

/* An endpoint that rests, until its rest is over. */
typedef struct relay_rest
{
  gt_relays_t *relays;
  rt_target_t *target;
  el_timer_t over;
  UT_hash_handle hh;
} relay_rest_t;

static void
rest_over (void *arg, el_time_t now)
{
  relay_rest_t *rest = arg;
  gt_relays_t *relays = rest->relays;
  const rt_target_t *target = rest->target;
  el_time_t left = rt_access_rest_left (&target->access, now);
  el_time_t lasted = now - target->access.rest_began;

  if (left)
    {
      net_clock_set (relays->options.clock, &rest->over, left);
      return;
    }
  EL_LOG (EL_LOG_INFO, "rest_over", EL_FS ("endpoint", target->facts.id),
          EL_FN ("born", target->facts.born), EL_FN ("us", lasted),
          EL_FN ("running", target->running), EL_FN ("lines", target->lines),
          EL_FN ("gone", target->access.gone));
  relays->counts.rest_us += lasted;
  relay_service (relays, target->facts.service)->rest_us += lasted;
  HASH_DEL (relays->rests, rest);
  rt_target_unref (rest->target);
  free (rest);
}

/* A line a rest, not one for each answer that asks for it again. */
static void
rest_begin (gt_relays_t *relays, rt_target_t *target, el_time_t asked,
            el_str_t by)
{
  el_time_t now = net_clock_now (relays->options.clock);
  relay_rest_t *rest;

  HASH_FIND_PTR (relays->rests, &target, rest);
  if (!rest)
    {
      rest = el_alloc (sizeof *rest);
      rest->relays = relays;
      rest->target = rt_target_ref (target);
      rest->over.cb = rest_over;
      rest->over.arg = rest;
      HASH_ADD_PTR (relays->rests, target, rest);
    }
  net_clock_set (relays->options.clock, &rest->over,
                 rt_access_rest_left (&target->access, now));
  relays->counts.rests++;
  EL_LOG (EL_LOG_INFO, "rest_begins", EL_FS ("endpoint", target->facts.id),
          EL_FN ("born", target->facts.born),
          EL_FS ("service", target->facts.service), EL_FS ("by", by),
          EL_FN ("asked_us", asked),
          EL_FN ("left_us", rt_access_rest_left (&target->access, now)),
          EL_FN ("running", target->running), EL_FN ("lines", target->lines),
          EL_FN ("resting", HASH_COUNT (relays->rests)));
}

static void
leaves_log (gt_relays_t *relays, const rt_target_t *target, el_str_t by)
{
  relays->counts.leaves++;
  EL_LOG (EL_LOG_INFO, "endpoint_leaves", EL_FS ("endpoint", target->facts.id),
          EL_FN ("born", target->facts.born),
          EL_FS ("service", target->facts.service), EL_FS ("by", by),
          EL_FN ("running", target->running), EL_FN ("lines", target->lines));
}

/** All hosts should know that START leaves. The fact is named by what it says,
    so that it is one rumor whoever tells it. */
void
relay_rest_leaves_tell (gt_relays_t *relays, const rt_start_t *start)
{
  const relay_fact_t fact = { .kind = RELAY_FACT_LEAVES, .start = *start };

  relay_rumor_tell (relays, &fact, rt_start_key (start) ^ RELAY_FACT_LEAVES,
                    LEAVES_HOLD);
}

/* It takes no new work, whatever its entry says. The other hosts should know
   before they send there. */
static void
leaves_hear (gt_relays_t *relays, rt_target_t *target, el_str_t by)
{
  const rt_start_t start = rt_target_start (target);

  if (rt_target_leaves (target))
    return;
  rt_target_leave (target);
  leaves_log (relays, target, by);
  relay_rest_leaves_tell (relays, &start);
}

/** Another host was told that an endpoint leaves. */
void
relay_rest_hear_leaves (gt_relays_t *relays, const co_rumor_t *rumor,
                        const relay_fact_t *fact)
{
  const rt_target_t *target = rt_fleet_leaves (
      relays->options.fleet, el_str (fact->start.id), fact->start.born);

  (void)rumor;
  if (target)
    leaves_log (relays, target, EL_STR ("another host"));
}

/** An answer of TARGET to BY, a request, a check or an order, asks for
    something. */
void
gt_relays_asked (gt_relays_t *relays, rt_target_t *target,
                 const rt_asks_t *asks, el_str_t by)
{
  if (asks->leaves)
    leaves_hear (relays, target, by);
  if (asks->rest
      && rt_fleet_rests (relays->options.fleet, target,
                         net_clock_now (relays->options.clock), asks->rest))
    rest_begin (relays, target, asks->rest, by);
}

/** The head of RELAY's answer came. A refusal may name an engine further down
    the line as the one at fault, and does not tell whose time it names:
   neither is sent to. */
void
relay_rest_heard (gt_relay_t *relay, const net_result_t *head)
{
  rt_target_t *fault = relay_at_fault (relay, head);

  relay->relays->options.dialect->read_asks (head, &relay->asks);
  gt_relays_asked (relay->relays, relay->target, &relay->asks, relay->id);
  if (fault != relay->target)
    gt_relays_asked (relay->relays, fault,
                     &(rt_asks_t){ .rest = relay->asks.rest }, relay->id);
}

/* Have EACH endpoint that RELAY is sent to. */
static void
rest_each (gt_relay_t *relay, el_time_t now,
           void (*each) (gt_relay_t *relay, rt_target_t *target,
                         el_time_t now))
{
  size_t i;

  if (!relay->line.n)
    each (relay, relay->target, now);
  for (i = 0; i < relay->line.n; i++)
    each (relay, relay->line.part[i].target, now);
}

static void
sent_to (gt_relay_t *relay, rt_target_t *target, el_time_t now)
{
  relay->relays->counts.in_rest
      += rt_access_rest_left (&target->access, now) > 0;
  rt_access_sent (&target->access, now);
}

/** RELAY is sent. */
void
relay_rest_sent (gt_relay_t *relay, el_time_t now)
{
  rest_each (relay, now, sent_to);
}

/** Whether RELAY may still go where it was to be sent: the choice was made
    before a connection was there. */
int
relay_rest_may (gt_relay_t *relay, el_time_t now)
{
  size_t i;

  for (i = 0; i < relay->line.n; i++)
    if (rt_access_open (&relay->line.part[i].target->access, now) == RT_CLOSED)
      return 0;
  return rt_access_open (&relay->target->access, now) != RT_CLOSED;
}

static void
answered_by (gt_relay_t *relay, rt_target_t *target, el_time_t now)
{
  (void)relay;
  (void)now;
  rt_access_answered (&target->access);
}

/** RELAY runs where it was sent. */
void
relay_rest_answered (gt_relay_t *relay)
{
  rest_each (relay, 0, answered_by);
}

/** Until some endpoint may serve RELAY again, where rests are all that keep
    them from it; 0 where they are not. */
el_time_t
relay_rest_left (gt_relay_t *relay, el_time_t now)
{
  const gt_relay_options_t *o = &relay->relays->options;
  const rt_tried_t none = { .n = 0 };
  const rt_line_want_t want = { .service = relay->service,
                                .hall = o->hall,
                                .tokens = relay->tokens,
                                .tried = &none };
  el_time_t opens;

  if (!relay->relays->rests)
    return 0;
  opens = relay->service->model.layers
              ? rt_line_opens (o->fleet, now, &want)
              : rt_fleet_opens (o->fleet, now, relay->service->name);
  return opens > now ? opens - now : 0;
}

/** The endpoints that nothing new goes to, and how long those of each service
    have rested. */
json_t *
gt_relays_closed (gt_relays_t *relays)
{
  el_time_t now = net_clock_now (relays->options.clock);
  json_t *list = json_array ();
  json_t *rested = json_object ();
  const relay_service_t *service;
  const rt_target_t *target;

  for (target = rt_fleet_first (relays->options.fleet); target;
       target = target->hh.next)
    {
      rt_why_t why = rt_access_why (&target->access, now);

      if (rt_access_open (&target->access, now) != RT_CLOSED)
        continue;
      json_array_append_new (
          list,
          json_pack ("{s:s%,s:I,s:s,s:I,s:i}", "endpoint",
                     target->facts.id.ptr, target->facts.id.len, "born",
                     (json_int_t)target->facts.born, "why", rt_why_name (why),
                     "restLeftUs",
                     (json_int_t)rt_access_rest_left (&target->access, now),
                     "running", (int)target->running));
    }
  for (service = relays->services; service; service = service->hh.next)
    json_object_set_new (rested, service->name,
                         json_integer ((json_int_t)service->rest_us));
  return json_pack ("{s:o,s:o}", "endpoints", list, "restedUs", rested);
}
