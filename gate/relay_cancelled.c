/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Runs that this host cancelled, because the caller left, the time is over or
 * the request moves on. Such a run is not over at the endpoint, which may
 * still crash. It counts if the endpoint turns out to have crashed by the time
 * it must have noticed, but is no reason to doubt the endpoint.
 */
#include "librelay.h"

/* An endpoint may go on with a cancelled run for this long. */
#define CANCELLED_TIME (500 * EL_MSEC)

/** Whether the endpoint of a cancelled run may still be at work on it. */
int
relay_cancelled_may_run (const relay_run_t *run, el_time_t at)
{
  return at < run->report.at + CANCELLED_TIME;
}

/** Connects to the endpoints of the runs that are to be checked. */
void
relay_cancelled_checks_due (void *arg, el_time_t now)
{
  gt_relays_t *relays = arg;
  relay_runs_t *runs = relays->runs;
  relay_run_t *run;
  el_time_t left = 0;

  do
    { /* a connect may end at once, and with it runs */
      DL_FOREACH (runs->pending, run)
      if (run->check)
        break;
      if (run && relay_cancelled_may_run (run, now))
        left = run->report.at + CANCELLED_TIME - now;
      else if (run)
        {
          run->check = 0;
          run->checked = 1;
          relay_reach_check_lost (relays, run->target);
        }
    }
  while (run && !left);
  if (left)
    net_clock_set (relays->options.clock, &runs->check_timer, left);
}

/** Has the endpoint of a cancelled run checked as soon as it must have
   noticed. */
void
relay_cancelled_check (gt_relays_t *relays, relay_run_t *run)
{
  el_time_t now = net_clock_now (relays->options.clock);

  if (run->checked)
    return;
  run->check = 1;
  if (!relays->runs->check_timer.heap_index)
    net_clock_set (relays->options.clock, &relays->runs->check_timer,
                   relay_cancelled_may_run (run, now)
                       ? run->report.at + CANCELLED_TIME - now
                       : 0);
}

/** Records that this host cancels RELAY's run, which may still crash its
    endpoint. The endpoint of a suspect is checked afterwards. */
void
relay_cancelled_add (gt_relay_t *relay)
{
  gt_relays_t *relays = relay->relays;
  el_time_t now = net_clock_now (relays->options.clock);
  rt_crash_report_t report;
  relay_run_t *run;

  if (rt_target_is_leaving (relay->target))
    return;
  report = relay_run_report (relay, relay->target, now);
  run = relay_pending_add (relays, relay->target, &report);
  run->cancelled = 1;
  relays->runs->ncancelled++;
  if (rt_blame_get_status (relay_blame_table (relays), now, report.digest)
          .state
      != RT_BLAME_NONE)
    relay_cancelled_check (relays, run);
  relay_pending_expire (relays, now);
}

/** Has the endpoint INSTANCE checked, which crashed according to another host,
    if this host cancelled runs there. */
void
relay_cancelled_check_instance (gt_relays_t *relays,
                                const rt_instance_t *instance)
{
  uint64_t key = rt_instance_key (instance);
  relay_run_t *run;

  if (!relays->runs->ncancelled)
    return;
  DL_FOREACH (relays->runs->pending, run)
  if (run->cancelled && rt_instance_key (&run->report.instance) == key)
    {
      relay_reach_check_lost (relays, run->target);
      return;
    }
}

/** TARGET is alive: it accepted a connection, or answered a request, that was
    begun at SINCE. Runs that were cancelled long enough before did not crash
    it. Later it may be the next instance at the same address. */
void
relay_cancelled_seen_alive (gt_relays_t *relays, const rt_target_t *target,
                            el_time_t since)
{
  relay_runs_t *runs = relays->runs;
  relay_run_t *run;
  relay_run_t *next;

  if (!runs->ncancelled)
    return;
  DL_FOREACH_SAFE (runs->pending, run, next)
  if (run->cancelled && run->target == target
      && !relay_cancelled_may_run (run, since)
      && since < run->report.at + CANCELLED_TIME + RELAY_ALIVE_WINDOW)
    relay_pending_free (runs, run);
}
