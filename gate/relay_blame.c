/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Detects endpoint crashes, reports the requests that were running there, and
 * handles the reports of other hosts.
 *
 * A run is the execution of a request at one endpoint. When its connection is
 * lost, what is seen of the endpoint afterwards is judged as follows:
 *
 * - It answers a health check sent after the loss: it is alive; decided
 *   immediately.
 * - It refuses connections, and another endpoint has responded since: it
 *   crashed, with this host as the only witness; decided immediately.
 * - It refuses connections, and no other endpoint has responded: undecided, as
 *   this host may be cut off from the network.
 * - It does not respond: undecided, until it is no longer listed.
 * - It was not leaving, and is no longer listed or listed as another instance:
 *   it certainly crashed; decided after about three heartbeats.
 * - It refused a request, was slow, or was leaving: no evidence of a crash.
 */
#include <stdlib.h>
#include <string.h>

#include "librelay.h"

/* How long a run stays pending: until a crashed endpoint is no longer listed,
   which takes three heartbeats and the time until this host learns it. */
#define PENDING_TIME_MAX (8 * EL_SEC)
#define PENDING_MAX 1024
/* An answer that arrives later than this after the connection was lost may be
   from the next instance at the same address. */
#define ALIVE_WINDOW (1 * EL_SEC)
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

/* A run whose connection was lost, at an endpoint that may have crashed. */
typedef struct pending_run
{
  rt_target_t *target;
  rt_crash_report_t report;
  el_time_t refused_at; /* the endpoint refuses connections since; 0: not */
  struct pending_run *prev;
  struct pending_run *next;
} pending_run_t;

typedef struct relay_blame
{
  rt_blame_t *table;
  pending_run_t *pending;
  size_t npending;
  size_t npending_refused; /* of these, runs whose endpoint refuses
                              connections */
  el_timer_t update_timer;
  el_time_t last_update;
} relay_blame_t;

static void
pending_free (relay_blame_t *blame, pending_run_t *run)
{
  DL_DELETE (blame->pending, run);
  blame->npending--;
  blame->npending_refused -= run->refused_at != 0;
  rt_target_unref (run->target);
  free (run);
}

static void
pending_expire (relay_blame_t *blame, el_time_t now)
{
  while (blame->pending
         && (blame->pending->report.at + PENDING_TIME_MAX < now
             || blame->npending > PENDING_MAX))
    pending_free (blame, blame->pending);
}

static void
pending_add (relay_blame_t *blame, rt_target_t *target,
             const rt_crash_report_t *report)
{
  pending_run_t *run = el_alloc (sizeof *run);

  run->target = rt_target_ref (target);
  run->report = *report;
  DL_APPEND (blame->pending, run);
  blame->npending++;
  pending_expire (blame, report->at);
}

/* Logs a run that is not judged, as this host is cut off from its endpoint. */
static void
log_run_dropped (const rt_target_t *target, const rt_crash_report_t *report,
                 const char *why)
{
  char hex[RT_DIGEST_HEX + 1];

  rt_digest_hex (report->digest, hex);
  EL_LOG (EL_LOG_INFO, "run_dropped", EL_FS ("endpoint", target->attrs.id),
          EL_FC ("digest", hex), EL_FN ("ran_us", report->ran),
          EL_FC ("why", why));
}

/** Records that RELAY's run at TARGET lost its connection, or stalls because
    TARGET does not respond. It is reported if TARGET turns out to have
    crashed. */
void
relay_blame_run_interrupted (gt_relay_t *relay, rt_target_t *target)
{
  gt_relays_t *relays = relay->relays;
  el_time_t now = net_clock_now (relays->options.clock);
  const rt_traits_t traits = relay_traits (relay);
  rt_crash_report_t report
      = { .instance = rt_target_instance (target),
          .digest = traits.digest,
          .customer = traits.customer,
          .host = relays->options.host_incarnation,
          .at = now,
          .ran = now - (relay->head_at ? relay->head_at : relay->sent),
          .first = target == relay->target,
          .writing = relay->writing,
          .nparts = traits.nparts };

  if (traits.nparts)
    memcpy (report.parts, traits.parts, traits.nparts * sizeof *traits.parts);
  if (rt_target_is_leaving (target))
    return;
  if (relay_reach_is_cut_off (relays, target->attrs.service))
    log_run_dropped (target, &report, "cut off");
  else
    pending_add (relays->blame, target, &report);
}

/** Whether a crash is still possible, or not yet evaluated, at an endpoint
    where DIGEST's run lost its connection. An engine may close its streams a
    moment before it stops listening. */
int
relay_blame_is_pending (const gt_relays_t *relays, rt_digest_t digest)
{
  const pending_run_t *run;

  if (relays->blame->update_timer.heap_index)
    return 1;
  DL_FOREACH (relays->blame->pending, run)
  if (run->report.digest == digest)
    return 1;
  return 0;
}

/** Returns the table of crash reports known to this host. */
rt_blame_t *
relay_blame_table (const gt_relays_t *relays)
{
  return relays->blame->table;
}

static void
schedule_update (gt_relays_t *relays)
{
  relay_blame_t *blame = relays->blame;
  el_time_t now = net_clock_now (relays->options.clock);
  el_time_t due = blame->last_update + UPDATE_INTERVAL_MIN;

  if (!blame->update_timer.heap_index)
    net_clock_set (relays->options.clock, &blame->update_timer,
                   due > now ? due - now : 0);
}

static void
log_crash (const rt_target_t *target, const char *evidence, size_t runs)
{
  EL_LOG (EL_LOG_WARN, "endpoint_ended", EL_FS ("endpoint", target->attrs.id),
          EL_FS ("address", target->attrs.address), EL_FC ("sign", evidence),
          EL_FN ("runs", runs));
}

/* Logs a run that may have crashed its endpoint. */
static void
log_run (const pending_run_t *run)
{
  const rt_crash_report_t *report = &run->report;
  char hex[RT_DIGEST_HEX + 1];

  if (!report->digest || report->writing)
    return;
  rt_digest_hex (report->digest, hex);
  EL_LOG (EL_LOG_INFO, "end_candidate",
          EL_FS ("endpoint", run->target->attrs.id), EL_FC ("digest", hex),
          EL_FN ("ran_us", report->ran), EL_FN ("first", report->first),
          EL_FN ("shared_parts", report->nparts));
}

static void
publish_runs (gt_relays_t *relays, relay_fact_t *fact)
{
  if (fact->nruns)
    relay_rumor_publish (relays, fact, el_random (&relays->random),
                         RELAY_FACT_GOSSIP_TIME);
  fact->nruns = 0;
}

/* TARGET has crashed: reports the requests of this host that were running
   there. */
static void
pending_confirm (gt_relays_t *relays, const rt_target_t *target,
                 const char *evidence)
{
  relay_blame_t *blame = relays->blame;
  relay_fact_t fact = { .kind = RELAY_FACT_CRASHED };
  el_time_t now = net_clock_now (relays->options.clock);
  pending_run_t *run;
  pending_run_t *next;
  size_t runs = 0;

  DL_FOREACH_SAFE (blame->pending, run, next)
  if (run->target == target)
    {
      runs += run->report.digest != 0;
      run->report.detected_at = now;
      if (rt_blame_should_publish (blame->table, &run->report)
          && !relay_fact_add_run (&fact, &run->report))
        {
          publish_runs (relays, &fact);
          relay_fact_add_run (&fact, &run->report);
        }
      rt_blame_add_report (blame->table, now, &run->report);
      log_run (run);
      pending_free (blame, run);
    }
  publish_runs (relays, &fact);
  schedule_update (relays);
  if (runs == 0)
    return;
  relays->counts.crashes++;
  relays->counts.suspects += runs;
  log_crash (target, evidence, runs);
}

/* If another host reported that TARGET crashed and a second witness is needed,
   adds a pending report that concerns no request. */
static void
pending_add_check (gt_relays_t *relays, rt_target_t *target)
{
  const rt_crash_report_t report
      = { .instance = rt_target_instance (target),
          .host = relays->options.host_incarnation,
          .at = net_clock_now (relays->options.clock) };

  if (rt_blame_needs_witness (relays->blame->table, &report.instance,
                              report.host))
    pending_add (relays->blame, target, &report);
}

/** This host is cut off from SERVICE: what it saw of its endpoints since is no
    evidence of crashes. */
void
relay_blame_cut_off (gt_relays_t *relays, el_str_t service)
{
  relay_blame_t *blame = relays->blame;
  pending_run_t *run;
  pending_run_t *next;
  size_t dropped = 0;

  DL_FOREACH_SAFE (blame->pending, run, next)
  if (el_str_eq (run->target->attrs.service, service))
    {
      log_run_dropped (run->target, &run->report, "found cut off");
      pending_free (blame, run);
      dropped++;
    }
  if (dropped)
    EL_LOG (EL_LOG_INFO, "runs_dropped", EL_FS ("service", service),
            EL_FN ("runs", dropped));
}

/** Handles a connection refused by TARGET: it has crashed, unless this host is
    cut off. Connects to other endpoints of its service decide that. */
void
relay_blame_connect_refused (gt_relays_t *relays, rt_target_t *target)
{
  relay_blame_t *blame = relays->blame;
  pending_run_t *run;

  if (relay_reach_is_cut_off (relays, target->attrs.service))
    return;
  pending_add_check (relays, target);
  DL_FOREACH (blame->pending, run)
  if (run->target == target && !run->refused_at)
    {
      run->refused_at = net_clock_now (relays->options.clock);
      blame->npending_refused++;
    }
  if (blame->npending_refused)
    relay_reach_prove (relays, target);
}

/** Handles that a connection to TARGET, requested at BEGUN, is open. It shows
    that this host is not cut off from TARGET's service: the other endpoints of
    the service that refused connections before have crashed. An answer on an
    older connection would not show that. */
void
relay_blame_connected (gt_relays_t *relays, const rt_target_t *target,
                       el_time_t begun)
{
  const pending_run_t *run;
  rt_target_t *other;

  while (relays->blame->npending_refused)
    {
      DL_FOREACH (relays->blame->pending, run)
      if (run->refused_at && run->refused_at <= begun && run->target != target
          && el_str_eq (run->target->attrs.service, target->attrs.service))
        break;
      if (!run)
        return;
      other = rt_target_ref (run->target);
      pending_confirm (relays, other, "connections refused");
      rt_target_unref (other);
    }
}

/** Handles TARGET's answer to a health check sent at SENT_AT: the runs that
    lost their connection before did not end in a crash. */
void
relay_blame_check_answered (gt_relays_t *relays, const rt_target_t *target,
                            el_time_t sent_at)
{
  relay_blame_t *blame = relays->blame;
  el_time_t now = net_clock_now (relays->options.clock);
  pending_run_t *run;
  pending_run_t *next;

  DL_FOREACH_SAFE (blame->pending, run, next)
  if (run->target == target && run->report.at <= sent_at
      && now < run->report.at + ALIVE_WINDOW)
    pending_free (blame, run);
}

/** Handles that TARGET is no longer listed, or listed as another instance: it
    has crashed, unless it was leaving. All hosts learn this in the same
    way. */
void
gt_relays_engine_gone (gt_relays_t *relays, rt_target_t *target)
{
  el_time_t now = net_clock_now (relays->options.clock);
  const rt_crash_report_t report = { .instance = rt_target_instance (target),
                                     .at = now,
                                     .detected_at = now };

  if (rt_target_is_leaving (target))
    return;
  rt_target_ref (target);
  pending_confirm (relays, target, "gone");
  rt_target_unref (target);
  if (!rt_blame_add_report (relays->blame->table, now, &report))
    return;
  if (!rt_blame_is_empty (relays->blame->table))
    schedule_update (relays);
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
    if (rt_blame_add_report (relays->blame->table, now, &fact->runs[i]))
      schedule_update (relays);
  check_unconfirmed_crash (relays, &fact->runs[0].instance);
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
}

/** Frees the state of crash attribution. */
void
relay_blame_close (gt_relays_t *relays)
{
  relay_blame_t *blame = relays->blame;

  net_clock_cancel (relays->options.clock, &blame->update_timer);
  while (blame->pending)
    pending_free (blame, blame->pending);
  rt_blame_free (blame->table);
  relay_trial_close (relays);
  free (blame);
  relays->blame = NULL;
}
