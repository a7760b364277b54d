/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The planner checks the engines at a fixed interval. It orders engines that
 * hold no layers to load those that their hall needs most, and moves spare
 * replicas when a hall keeps lacking layers. An order carries the number of
 * orders that the engine has accepted before, and the engine accepts it only
 * if that number is right; an order that arrives late or twice thus has no
 * effect.
 */
#include <string.h>

#include "planner.h"

#define TICK_INTERVAL (200 * EL_MSEC)
#define ORDERS_MAX 256
/* An order whose result is not in the engine's entry by then is dropped and
   may be sent again; entries are a few seconds old at most. */
#define ORDER_RETRY (4 * EL_SEC)
/* Consecutive ticks that must find a hall without some layer before spare
   replicas are moved: an engine that is only slow to answer is available again
   by then. */
#define GAP_TICKS 3
/* An engine that refuses connections this soon after an order is taken to have
   crashed because of it. It gets one health check, a tick after the order. A
   crash later on, while it loads, has another cause. */
#define CRASH_WINDOW (1 * EL_SEC)
/* How long the number of endpoints must be stable before layers are planned,
   so that the entries of all engines are there. Only time for which the list
   is known to be current counts: when all time counted, a gap of 700 ms
   without updates while 227 engines were being listed made the planner place
   the whole model on 51 of them. */
#define STABLE_FOR (300 * EL_MSEC)

typedef struct planner_order
{
  rt_order_t order;
  gt_planner_t *planner;
  el_time_t sent_at;
  int in_flight; /* the answer is awaited */
  int finished;  /* to be freed once the answer has arrived */
  int crashed;   /* its engine crashed right after it */
  struct planner_order *prev;
  struct planner_order *next;
} planner_order_t;

struct gt_planner
{
  gt_planner_options_t options;
  el_timer_t timer;
  planner_order_t *orders;
  rt_order_failures_t failures;
  unsigned gap_ticks;    /* consecutive ticks that found a hall without some
                            layer */
  size_t endpoint_count; /* at the last tick */
  el_time_t count_changed_at; /* when endpoint_count changed */
  int stopped;
};

static void
order_free (planner_order_t *order)
{
  DL_DELETE (order->planner->orders, order);
  rt_target_unref (order->order.target);
  free (order);
}

static void
order_done (void *arg, gt_order_state_t state, int status,
            const rt_hints_t *hints)
{
  static const char *const states[] = { [GT_ORDER_BEGUN] = "begun",
                                        [GT_ORDER_REFUSED] = "refused",
                                        [GT_ORDER_UNKNOWN] = "unknown" };
  planner_order_t *order = arg;

  order->in_flight = 0;
  gt_relays_apply_hints (order->planner->options.relays, order->order.target,
                         hints, EL_STR ("order"));
  EL_LOG (EL_LOG_INFO, "order_answered",
          EL_FS ("engine", order->order.target->attrs.id),
          EL_FN ("first", order->order.first), EL_FN ("end", order->order.end),
          EL_FC ("state", states[state]), EL_FN ("status", status));
  if (state == GT_ORDER_UNKNOWN && !order->finished)
    gt_relays_check_engine (order->planner->options.relays,
                            order->order.target, order->sent_at);
  if (order->finished)
    order_free (order);
}

static int
order_applied (const planner_order_t *order)
{
  const rt_attrs_t *attrs = &order->order.target->attrs;

  return attrs->first == order->order.first && attrs->end == order->order.end;
}

/* Drops orders whose result is in the engine's entry, whose engine is gone, or
   that had no result within ORDER_RETRY. */
static void
orders_prune (gt_planner_t *planner, el_time_t now)
{
  planner_order_t *order;
  planner_order_t *next;

  DL_FOREACH_SAFE (planner->orders, order, next)
  {
    const rt_target_t *target = order->order.target;

    if (!target->avail.gone && now < order->sent_at + ORDER_RETRY
        && !order_applied (order))
      continue;
    if (!order->finished && order_applied (order))
      gt_relays_order_done (planner->options.relays, &planner->failures,
                            &order->order);
    order->finished = 1;
    if (!order->in_flight)
      order_free (order);
  }
}

/* Sends a health check to each engine that was sent an order within
   CRASH_WINDOW, and reports those that crashed. */
static void
orders_probe (gt_planner_t *planner, el_time_t now)
{
  gt_relays_t *relays = planner->options.relays;
  planner_order_t *order;

  DL_FOREACH (planner->orders, order)
  {
    rt_target_t *target = order->order.target;

    if (order->crashed || order->finished)
      continue;
    if (target->refused_at >= order->sent_at
        && target->refused_at < order->sent_at + CRASH_WINDOW
        && gt_relays_refusal_counts (relays, target))
      {
        order->crashed = 1;
        gt_relays_order_crashed (relays, &planner->failures, &order->order);
      }
    else if (now > order->sent_at && now < order->sent_at + CRASH_WINDOW
             && !target->avail.gone)
      gt_relays_check_engine (relays, target, order->sent_at);
  }
}

static size_t
orders_pending (const gt_planner_t *planner, rt_order_t *out)
{
  const planner_order_t *order;
  size_t n = 0;

  DL_FOREACH (planner->orders, order)
  if (!order->finished && n < ORDERS_MAX)
    out[n++] = order->order;
  return n;
}

static void
order_dispatch (gt_planner_t *planner, const rt_order_t *order, el_time_t now)
{
  planner_order_t *sent;

  /* An engine in backoff is not lost and needs no replacement: it gets its
     order when the backoff is over. */
  if (rt_avail_backoff_left (&order->target->avail, now)
      || gt_relays_order_blocked (planner->options.relays, order))
    return;
  sent = el_alloc (sizeof *sent);
  sent->order = *order;
  sent->planner = planner;
  sent->sent_at = now;
  sent->in_flight = 1;
  rt_target_ref (order->target);
  DL_APPEND (planner->orders, sent);
  EL_LOG (EL_LOG_INFO, "order_given",
          EL_FS ("engine", order->target->attrs.id),
          EL_FS ("card", order->target->attrs.card),
          EL_FS ("hall", order->target->attrs.hall),
          EL_FN ("first", order->first), EL_FN ("end", order->end));
  planner->options.send_order (planner->options.client, &sent->order,
                               order_done, sent);
}

static void
plan_service (gt_planner_t *planner, const rt_service_t *service,
              el_time_t now)
{
  rt_order_t pending[ORDERS_MAX];
  rt_order_t orders[ORDERS_MAX];
  size_t npending = orders_pending (planner, pending);
  size_t n;
  size_t i;

  n = rt_layout_assign (planner->options.fleet, service, pending, npending,
                        orders, ORDERS_MAX - npending);
  for (i = 0; i < n; i++)
    order_dispatch (planner, &orders[i], now);
  if (n)
    return;
  n = rt_layout_repair (planner->options.fleet, service, pending, npending,
                        orders, ORDERS_MAX - npending);
  planner->gap_ticks = n ? planner->gap_ticks + 1 : 0;
  if (planner->gap_ticks < GAP_TICKS)
    return;
  for (i = 0; i < n; i++)
    order_dispatch (planner, &orders[i], now);
}

/* Returns whether the number of endpoints has been stable for STABLE_FOR. */
static int
planner_list_stable (gt_planner_t *planner, el_time_t now)
{
  const gt_planner_options_t *o = &planner->options;
  size_t n = rt_fleet_count (o->fleet);

  if (n != planner->endpoint_count)
    planner->count_changed_at = now;
  planner->endpoint_count = n;
  return n && o->known (o->arg) >= planner->count_changed_at + STABLE_FOR;
}

static void
planner_tick (void *arg, el_time_t now)
{
  gt_planner_t *planner = arg;
  const gt_planner_options_t *o = &planner->options;
  const rt_rules_t *rules = gt_relays_rules_in_force (o->relays);
  size_t i;

  if (planner->stopped)
    return;
  net_clock_set (o->clock, &planner->timer, TICK_INTERVAL);
  /* The holder keeps the duty, so that it does not move when hosts join. */
  st_duty_want (o->duty,
                rules && o->able (o->arg)
                    && (st_duty_held (o->duty, now) || o->candidate (o->arg)));
  if (!rules || !st_duty_held (o->duty, now))
    return;
  orders_probe (planner, now);
  if (!planner_list_stable (planner, now))
    return;
  orders_prune (planner, now);
  for (i = 0; i < rules->nservices; i++)
    if (rules->services[i].model.layers)
      plan_service (planner, &rules->services[i], now);
}

/** Creates a planner, which is active while this host has the duty. */
gt_planner_t *
gt_planner_new (const gt_planner_options_t *options)
{
  gt_planner_t *planner = el_alloc (sizeof *planner);

  planner->options = *options;
  planner->timer.cb = planner_tick;
  planner->timer.arg = planner;
  net_clock_set (options->clock, &planner->timer, 0);
  return planner;
}

/** Releases the duty and sends no further orders. */
void
gt_planner_stop (gt_planner_t *planner)
{
  planner->stopped = 1;
  st_duty_want (planner->options.duty, 0);
}
