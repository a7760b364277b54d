/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The planner looks after the engines at a steady pace: those that hold
 * nothing are ordered to hold what their hall needs most, and spare copies are
 * moved when a hall goes on lacking layers. An engine takes an order only as
 * the one that it was meant to be, the first or the next after those that it
 * reported, so that one which is carried out late or twice changes nothing.
 */
#include <string.h>

#include "planner.h"

#define LOOK_EVERY (200 * EL_MSEC)
#define ORDERS_MAX 256
/* An order whose outcome does not show in the engine's entry is given again
   after this; entries are some seconds old at the most. */
#define ORDER_AGAIN (4 * EL_SEC)
/* Looks in a row that must find a hole before spare copies are moved: an
   engine that is only slow to answer is back by then. */
#define HOLE_LOOKS 3
/* An engine that refuses connections so soon after an order has ended under
   it; it is asked once, a look after the order. One that ends later, while it
   loads, has a reason of its own. */
#define FALL_WITHIN (1 * EL_SEC)
/* Before the first plan: the entries of all engines should be there. Counted
   in what the store tells, not in time alone: of 227 engines that were being
   listed, 51 were laid out for the whole model because nothing had been heard
   for 700 ms. */
#define SETTLE (300 * EL_MSEC)

typedef struct planner_order
{
  rt_order_t order;
  gt_planner_t *planner;
  el_time_t given;
  int out;  /* the answer is awaited */
  int over; /* to be freed once the answer came */
  int fell; /* its engine has ended under it */
  struct planner_order *prev;
  struct planner_order *next;
} planner_order_t;

struct gt_planner
{
  gt_planner_options_t options;
  el_timer_t look;
  planner_order_t *orders;
  rt_falls_t falls;
  unsigned holes;    /* looks in a row that found a hall without a layer */
  size_t seen;       /* endpoints at the last look */
  el_time_t changed; /* when that number changed */
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
            const rt_asks_t *asks)
{
  static const char *const states[] = { [GT_ORDER_BEGUN] = "begun",
                                        [GT_ORDER_REFUSED] = "refused",
                                        [GT_ORDER_UNKNOWN] = "unknown" };
  planner_order_t *order = arg;

  order->out = 0;
  gt_relays_asked (order->planner->options.relays, order->order.target, asks,
                   EL_STR ("order"));
  EL_LOG (EL_LOG_INFO, "order_answered",
          EL_FS ("engine", order->order.target->facts.id),
          EL_FN ("first", order->order.first), EL_FN ("end", order->order.end),
          EL_FC ("state", states[state]), EL_FN ("status", status));
  if (state == GT_ORDER_UNKNOWN && !order->over)
    gt_relays_check_engine (order->planner->options.relays,
                            order->order.target, order->given);
  if (order->over)
    order_free (order);
}

static int
order_shows (const planner_order_t *order)
{
  const rt_facts_t *facts = &order->order.target->facts;

  return facts->first == order->order.first && facts->end == order->order.end;
}

/* Forget orders that show in the engine's entry, whose engine is gone, or
   that nothing came of. */
static void
orders_prune (gt_planner_t *planner, el_time_t now)
{
  planner_order_t *order;
  planner_order_t *next;

  DL_FOREACH_SAFE (planner->orders, order, next)
  {
    const rt_target_t *target = order->order.target;

    if (!target->access.gone && now < order->given + ORDER_AGAIN
        && !order_shows (order))
      continue;
    if (!order->over && order_shows (order))
      gt_relays_order_done (planner->options.relays, &planner->falls,
                            &order->order);
    order->over = 1;
    if (!order->out)
      order_free (order);
  }
}

/* Look whether engines live that were given an order just now. */
static void
orders_ask (gt_planner_t *planner, el_time_t now)
{
  gt_relays_t *relays = planner->options.relays;
  planner_order_t *order;

  DL_FOREACH (planner->orders, order)
  {
    rt_target_t *target = order->order.target;

    if (order->fell || order->over)
      continue;
    if (target->refused_at >= order->given
        && target->refused_at < order->given + FALL_WITHIN)
      {
        order->fell = 1;
        gt_relays_order_crashed (relays, &planner->falls, &order->order);
      }
    else if (now > order->given && now < order->given + FALL_WITHIN
             && !target->access.gone)
      gt_relays_check_engine (relays, target, order->given);
  }
}

static size_t
orders_pending (const gt_planner_t *planner, rt_order_t *out)
{
  const planner_order_t *order;
  size_t n = 0;

  DL_FOREACH (planner->orders, order)
  if (!order->over && n < ORDERS_MAX)
    out[n++] = order->order;
  return n;
}

static void
order_give (gt_planner_t *planner, const rt_order_t *order, el_time_t now)
{
  planner_order_t *given;

  /* One that rests is neither lost nor in need: it waits for its order. */
  if (rt_access_rest_left (&order->target->access, now)
      || gt_relays_order_blocked (planner->options.relays, order))
    return;
  given = el_alloc (sizeof *given);
  given->order = *order;
  given->planner = planner;
  given->given = now;
  given->out = 1;
  rt_target_ref (order->target);
  DL_APPEND (planner->orders, given);
  EL_LOG (EL_LOG_INFO, "order_given",
          EL_FS ("engine", order->target->facts.id),
          EL_FS ("card", order->target->facts.card),
          EL_FS ("hall", order->target->facts.hall),
          EL_FN ("first", order->first), EL_FN ("end", order->end));
  planner->options.place (planner->options.client, &given->order, order_done,
                          given);
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

  n = rt_layout_next (planner->options.fleet, service, pending, npending,
                      orders, ORDERS_MAX - npending);
  for (i = 0; i < n; i++)
    order_give (planner, &orders[i], now);
  if (n)
    return;
  n = rt_layout_repair (planner->options.fleet, service, pending, npending,
                        orders, ORDERS_MAX - npending);
  planner->holes = n ? planner->holes + 1 : 0;
  if (planner->holes < HOLE_LOOKS)
    return;
  for (i = 0; i < n; i++)
    order_give (planner, &orders[i], now);
}

/* Whether the list of endpoints is known to have stood still for a moment. */
static int
planner_settled (gt_planner_t *planner, el_time_t now)
{
  const gt_planner_options_t *o = &planner->options;
  size_t n = rt_fleet_count (o->fleet);

  if (n != planner->seen)
    planner->changed = now;
  planner->seen = n;
  return n && o->known (o->arg) >= planner->changed + SETTLE;
}

static void
planner_look (void *arg, el_time_t now)
{
  gt_planner_t *planner = arg;
  const gt_planner_options_t *o = &planner->options;
  const rt_rules_t *rules = gt_relays_rules_in_force (o->relays);
  size_t i;

  if (planner->stopped)
    return;
  net_clock_set (o->clock, &planner->look, LOOK_EVERY);
  /* Who has the duty keeps it: it need not pass on as hosts come. */
  gt_duty_want (o->duty,
                rules
                    && (gt_duty_held (o->duty, now) || o->preferred (o->arg)));
  if (!rules || !gt_duty_held (o->duty, now))
    return;
  orders_ask (planner, now);
  if (!planner_settled (planner, now))
    return;
  orders_prune (planner, now);
  for (i = 0; i < rules->nservices; i++)
    if (rules->services[i].model.layers)
      plan_service (planner, &rules->services[i], now);
}

/** A planner; it looks after the engines while this host has the duty. */
gt_planner_t *
gt_planner_new (const gt_planner_options_t *options)
{
  gt_planner_t *planner = el_alloc (sizeof *planner);

  planner->options = *options;
  planner->look.cb = planner_look;
  planner->look.arg = planner;
  net_clock_set (options->clock, &planner->look, 0);
  return planner;
}

/** Give no further orders. */
void
gt_planner_stop (gt_planner_t *planner)
{
  planner->stopped = 1;
  gt_duty_want (planner->options.duty, 0);
}
