/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Polling of a hall's engines by one of its hosts, which sends their reports
 * to the other hosts.
 */
#include "librelay.h"

/* Each engine of the hall is considered once per interval, in one of its
   POLL_SLICES slices. */
#define POLL_INTERVAL (500 * EL_MSEC)
#define POLL_SLICES 10
/* Engines that are neither busy nor slow are polled less often, to save
   requests. */
#define POLL_IDLE_INTERVAL (1800 * EL_MSEC)
#define POLL_BUSY_FILL 0.5
#define POLL_SLOW_PACE 1.5
/* Share of slots taken from which an engine with the first layers is busy:
   streams wait for its slots. */
#define POLL_BUSY_SLOTS 0.6
/* Older reports are not sent to other hosts. */
#define REPORT_AGE_MAX (3 * EL_SEC)

static int
poll_covers (const gt_relays_t *relays, const rt_target_t *engine)
{
  return engine->attrs.end > engine->attrs.first
         && !rt_target_is_leaving (engine)
         && el_str_eq (engine->attrs.hall, relays->options.hall);
}

static el_time_t
poll_interval (const rt_target_t *engine)
{
  int slots_busy = engine->attrs.first == 0 && engine->taken > POLL_BUSY_SLOTS;

  if (slots_busy || engine->fill > POLL_BUSY_FILL
      || engine->pace > POLL_SLOW_PACE)
    return POLL_INTERVAL / 2;
  return POLL_IDLE_INTERVAL;
}

/* Tries again to move streams off engines that released their layers: other
   engines may have capacity by now. */
static void
poll_released_layers (gt_relays_t *relays)
{
  rt_target_t *engine;

  for (engine = rt_fleet_first (relays->options.fleet); engine;
       engine = engine->hh.next)
    if (engine->chains)
      gt_relays_engine_changed (relays, engine);
}

static void
poll_tick (void *arg, el_time_t now)
{
  gt_relays_t *relays = arg;
  const gt_relay_options_t *o = &relays->options;
  rt_target_t *engine;
  size_t i = 0;

  net_clock_set (o->clock, &relays->poll, POLL_INTERVAL / POLL_SLICES);
  relays->poll_slice = (relays->poll_slice + 1) % POLL_SLICES;
  if (relays->poll_slice == 0)
    poll_released_layers (relays);
  if (!o->is_poller (o->arg))
    return;
  for (engine = rt_fleet_first (o->fleet); engine; engine = engine->hh.next)
    if (poll_covers (relays, engine) && i++ % POLL_SLICES == relays->poll_slice
        && !rt_avail_backoff_left (&engine->avail, now))
      relay_check_unless_recent (relays, engine, now - poll_interval (engine));
  if (relays->poll_slice == 0)
    o->poll_done (o->arg);
}

/** Starts polling; only the host that is the hall's poller sends requests. */
void
relay_poll_start (gt_relays_t *relays)
{
  relays->poll.cb = poll_tick;
  relays->poll.arg = relays;
  if (relays->options.dialect->check)
    net_clock_set (relays->options.clock, &relays->poll, POLL_INTERVAL);
}

/** Stops polling. */
void
relay_poll_stop (gt_relays_t *relays)
{
  net_clock_cancel (relays->options.clock, &relays->poll);
}

/** Stores in OUT, which the caller frees, the reports of the hall's engines
    that this host got after AFTER, or all recent ones if that is 0, and
   returns their number. Engines that stay idle have no report after AFTER, so
   that the number follows the load and not the engines. */
size_t
gt_relays_engine_reports (gt_relays_t *relays, el_time_t after,
                          pr_engine_report_t **out)
{
  const gt_relay_options_t *o = &relays->options;
  el_time_t now = net_clock_now (o->clock);
  rt_target_t *engine;
  size_t size = 0;
  size_t n = 0;

  *out = NULL;
  for (engine = rt_fleet_first (o->fleet); engine; engine = engine->hh.next)
    {
      int reached = !engine->reach.lost_at
                    && !relay_reach_is_cut_off (relays, engine->attrs.service);
      int silent
          = (engine->avail.silent && reached) || engine->reported_silent;

      if (!poll_covers (relays, engine) || (after && engine->news_at < after)
          || !engine->reported_at
          || (!silent && now >= engine->reported_at + REPORT_AGE_MAX))
        continue;
      if (n == size)
        {
          size = size ? 2 * size : 16;
          *out = el_grow (*out, size, sizeof **out);
        }
      (*out)[n++] = (pr_engine_report_t){ .id = engine->attrs.id,
                                          .born = engine->attrs.born,
                                          .fill = engine->fill,
                                          .pace = engine->pace,
                                          .taken = engine->taken,
                                          .age = now - engine->reported_at,
                                          .silent = silent };
    }
  return n;
}

/** Processes engine reports from another host. An engine that did not respond
    there may be unreachable for the other host only: this host checks it, too,
    if it uses it, and otherwise prefers others. If all hosts of a hall checked
    it, one engine that is slow to answer would have as many checks as the hall
    has hosts. */
void
gt_relays_receive_reports (gt_relays_t *relays,
                           const pr_engine_report_t *reports, size_t n)
{
  const gt_relay_options_t *o = &relays->options;
  el_time_t now = net_clock_now (o->clock);
  size_t i;

  for (i = 0; i < n; i++)
    {
      const rt_load_t load = { .born = reports[i].born,
                               .fill = reports[i].fill,
                               .pace = reports[i].pace,
                               .taken = reports[i].taken };
      rt_target_t *engine = rt_fleet_find (o->fleet, reports[i].id);

      if (!engine)
        continue;
      if (engine->reported_silent != reports[i].silent)
        engine->news_at = now;
      engine->reported_silent = reports[i].silent;
      if (!reports[i].silent)
        relay_check_load (relays, engine, &load, now - reports[i].age);
      else if (engine->chains || engine->running)
        relay_check (relays, engine);
    }
}
