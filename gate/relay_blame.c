/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Attributes endpoint crashes to causes, and handles the reports of other
 * hosts.
 */
#include <stdlib.h>
#include <string.h>

#include "librelay.h"

/* Minimum interval between health checks of an endpoint. */
#define CHECK_INTERVAL_MIN (10 * EL_MSEC)
/* Average number of other hosts that check an endpoint after one host reported
   its crash. */
#define EXTRA_CHECKERS 3
/* Reports that arrive within this are evaluated together. */
#define UPDATE_INTERVAL_MIN (20 * EL_MSEC)
/* Tracked causes, in total and per customer; some 300 bytes each. */
#define CAUSES_MAX 4096
#define CUSTOMER_CAUSES_MAX 1024
/* Parts of prompts remembered as having run well; 80 bytes each. */
#define PROVEN_MAX 8192

typedef struct relay_blame
{
  rt_blame_t *table;
  el_timer_t update_timer;
  el_time_t last_update;
} relay_blame_t;

/** Returns the table of crash reports known to this host. */
rt_blame_t *
relay_blame_table (const gt_relays_t *relays)
{
  return relays->blame->table;
}

/** Whether there are reports that have not been evaluated yet. */
int
relay_blame_update_is_due (const gt_relays_t *relays)
{
  return relays->blame->update_timer.heap_index != 0;
}

/** Schedules the evaluation of new reports. */
void
relay_blame_schedule_update (gt_relays_t *relays)
{
  relay_blame_t *blame = relays->blame;
  el_time_t now = net_clock_now (relays->options.clock);
  el_time_t due = blame->last_update + UPDATE_INTERVAL_MIN;

  if (!blame->update_timer.heap_index)
    net_clock_set (relays->options.clock, &blame->update_timer,
                   due > now ? due - now : 0);
}

static void
update_timeout (void *arg, el_time_t now)
{
  gt_relays_t *relays = arg;

  relays->blame->last_update = now;
  rt_blame_update (relays->blame->table, now,
                   rt_fleet_count (relays->options.fleet), relay_block_add,
                   relays);
}

/* CAUSE ran well. If it was at any crash, that is published: a host that sees
   the next crash may not know that the cause ran well elsewhere in between.
   All hosts give the rumor the same id, so that it spreads only once. */
static void
cause_ran_well (gt_relays_t *relays, rt_digest_t cause)
{
  const relay_fact_t fact = { .kind = RELAY_FACT_COMPLETED, .digest = cause };
  uint64_t id = rt_blame_completed (relays->blame->table, cause,
                                    net_clock_now (relays->options.clock));

  if (!id)
    return;
  relay_rumor_publish (relays, &fact, cause ^ id, RELAY_FACT_GOSSIP_TIME);
}

static void
part_ran_well (gt_relays_t *relays, rt_digest_t part)
{
  rt_blame_prove (relays->blame->table, part,
                  net_clock_now (relays->options.clock));
  if (rt_blame_tracks_parts (relays->blame->table))
    cause_ran_well (relays, part);
}

/** Records that the response to RELAY began: what other requests share with it
    crashes no endpoint. */
void
relay_blame_began (gt_relay_t *relay)
{
  gt_relays_t *relays = relay->relays;
  rt_traits_t traits;
  size_t i;

  traits = relay_shared_traits (relay);
  for (i = 0; i < traits.nparts; i++)
    {
      part_ran_well (relays, traits.parts[i]);
      part_ran_well (relays,
                     rt_customer_part (traits.customer, traits.parts[i]));
    }
}

/** Records that RELAY completed. */
void
relay_blame_completed (gt_relay_t *relay)
{
  gt_relays_t *relays = relay->relays;

  if (rt_blame_is_empty (relays->blame->table))
    return;
  cause_ran_well (relays, relay_digest (relay));
  relay_blame_began (relay);
}

/** Returns whether RELAY's request is a suspect or blocked. */
rt_blame_status_t
relay_blame_get_status (gt_relay_t *relay)
{
  const gt_relays_t *relays = relay->relays;
  rt_traits_t traits;

  if (rt_blame_is_empty (relays->blame->table))
    return (rt_blame_status_t){ 0 };
  traits = relay_traits (relay);
  return rt_blame_judge (relays->blame->table,
                         net_clock_now (relays->options.clock), &traits);
}

/* Checks the endpoint if only one host has reported its crash and this host is
   among the few, chosen at random, that check it. */
static void
check_unconfirmed_crash (gt_relays_t *relays, const rt_instance_t *instance)
{
  const gt_relay_options_t *o = &relays->options;
  rt_target_t *target = rt_fleet_find (o->fleet, el_str (instance->id));

  if (target && target->attrs.born == instance->born && o->dialect->check
      && target->attrs.end > target->attrs.first
      && rt_blame_needs_witness (relays->blame->table, instance,
                                 o->host_incarnation)
      && el_random (&relays->random) % o->hosts (o->arg) < EXTRA_CHECKERS)
    relay_check_unless_recent (relays, target,
                               net_clock_now (o->clock) - CHECK_INTERVAL_MIN);
}

/** Handles a rumor of an endpoint crash and the requests that ran there. */
void
relay_blame_on_crash (gt_relays_t *relays, const co_rumor_t *rumor,
                      const relay_fact_t *fact)
{
  el_time_t now = net_clock_now (relays->options.clock);
  size_t i;

  (void)rumor;
  for (i = 0; i < fact->nruns; i++)
    {
      if (rt_blame_add_report (relays->blame->table, now, &fact->runs[i]))
        relay_blame_schedule_update (relays);
      relay_testimony_give (relays, &fact->runs[i]);
    }
  check_unconfirmed_crash (relays, &fact->runs[0].instance);
  relay_cancelled_check_instance (relays, &fact->runs[0].instance);
}

/** Handles a rumor that a cause ran well. */
void
relay_blame_on_completed (gt_relays_t *relays, const co_rumor_t *rumor,
                          const relay_fact_t *fact)
{
  rt_blame_completed (relays->blame->table, fact->digest, rumor->at);
}

/** Initializes crash attribution. */
void
relay_blame_open (gt_relays_t *relays)
{
  const rt_blame_options_t options
      = { .max_causes = CAUSES_MAX,
          .max_customer_causes = CUSTOMER_CAUSES_MAX,
          .max_proven = PROVEN_MAX,
          .rule = &rt_blame_rule_odds };
  relay_blame_t *blame = el_alloc (sizeof *blame);

  blame->table = rt_blame_new (&options);
  blame->update_timer.cb = update_timeout;
  blame->update_timer.arg = relays;
  relays->blame = blame;
  relay_runs_open (relays);
}

/** Updates the endpoint's liveness after an attempt and, if the connection was
    lost, records the request as a possible cause of a crash. */
void
relay_blame_attempt_ended (gt_relay_t *relay, const net_result_t *result,
                           const rt_attempt_t *attempt)
{
  gt_relays_t *relays = relay->relays;

  if (result->net == NET_CONNECT_REFUSED)
    relay_runs_connect_refused (relays, relay->target);
  if (attempt->answered)
    relay_cancelled_seen_alive (relays, relay->target, relay->sent);
  /* A crash may have closed the connection in the middle of a plain answer. */
  if (attempt->answered && (relay->stream || !result->by_close))
    relay_blame_completed (relay);
  if (result->net != NET_CONNECTION_LOST || attempt->verdict == EL_NOT_RUN)
    return;
  relay_runs_interrupted (relay, relay->target);
  if (relay->chain.n)
    relay_check_unless_recent (relays, relay->target,
                               net_clock_now (relays->options.clock)
                                   - CHECK_INTERVAL_MIN);
}
