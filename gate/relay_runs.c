/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Runs that were interrupted at endpoints that may have crashed.
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

/* A run whose connection was lost, at an endpoint that may have crashed. */
typedef struct pending_run
{
  rt_target_t *target;
  rt_crash_report_t report;
  el_time_t refused_at; /* the endpoint refuses connections since; 0: not */
  struct pending_run *prev;
  struct pending_run *next;
} pending_run_t;

typedef struct relay_runs
{
  pending_run_t *pending;
  size_t npending;
  size_t npending_refused; /* of these, runs whose endpoint refuses
                              connections */
} relay_runs_t;

static void
pending_free (relay_runs_t *runs, pending_run_t *run)
{
  DL_DELETE (runs->pending, run);
  runs->npending--;
  runs->npending_refused -= run->refused_at != 0;
  rt_target_unref (run->target);
  free (run);
}

static void
pending_expire (relay_runs_t *runs, el_time_t now)
{
  while (runs->pending
         && (runs->pending->report.at + PENDING_TIME_MAX < now
             || runs->npending > PENDING_MAX))
    pending_free (runs, runs->pending);
}

static void
pending_add (relay_runs_t *runs, rt_target_t *target,
             const rt_crash_report_t *report)
{
  pending_run_t *run = el_alloc (sizeof *run);

  run->target = rt_target_ref (target);
  run->report = *report;
  DL_APPEND (runs->pending, run);
  runs->npending++;
  pending_expire (runs, report->at);
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
relay_runs_interrupted (gt_relay_t *relay, rt_target_t *target)
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
    pending_add (relays->runs, target, &report);
}

/** Whether a crash is still possible, or not yet evaluated, at an endpoint
    where DIGEST's run lost its connection. An engine may close its streams a
    moment before it stops listening. */
int
relay_runs_is_pending (const gt_relays_t *relays, rt_digest_t digest)
{
  const pending_run_t *run;

  if (relay_blame_update_is_due (relays))
    return 1;
  DL_FOREACH (relays->runs->pending, run)
  if (run->report.digest == digest)
    return 1;
  return 0;
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
  relay_runs_t *runs = relays->runs;
  relay_fact_t fact = { .kind = RELAY_FACT_CRASHED };
  el_time_t now = net_clock_now (relays->options.clock);
  pending_run_t *run;
  pending_run_t *next;
  size_t n = 0;

  DL_FOREACH_SAFE (runs->pending, run, next)
  if (run->target == target)
    {
      n += run->report.digest != 0;
      run->report.detected_at = now;
      if (rt_blame_should_publish (relay_blame_table (relays), &run->report)
          && !relay_fact_add_run (&fact, &run->report))
        {
          publish_runs (relays, &fact);
          relay_fact_add_run (&fact, &run->report);
        }
      rt_blame_add_report (relay_blame_table (relays), now, &run->report);
      log_run (run);
      pending_free (runs, run);
    }
  publish_runs (relays, &fact);
  relay_blame_schedule_update (relays);
  if (n == 0)
    return;
  relays->counts.crashes++;
  relays->counts.suspects += n;
  log_crash (target, evidence, n);
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

  if (rt_blame_needs_witness (relay_blame_table (relays), &report.instance,
                              report.host))
    pending_add (relays->runs, target, &report);
}

/** This host is cut off from SERVICE: what it saw of its endpoints since is no
    evidence of crashes. */
void
relay_runs_cut_off (gt_relays_t *relays, el_str_t service)
{
  relay_runs_t *runs = relays->runs;
  pending_run_t *run;
  pending_run_t *next;
  size_t dropped = 0;

  DL_FOREACH_SAFE (runs->pending, run, next)
  if (el_str_eq (run->target->attrs.service, service))
    {
      log_run_dropped (run->target, &run->report, "found cut off");
      pending_free (runs, run);
      dropped++;
    }
  if (dropped)
    EL_LOG (EL_LOG_INFO, "runs_dropped", EL_FS ("service", service),
            EL_FN ("runs", dropped));
}

/** Handles a connection refused by TARGET: it has crashed, unless this host is
    cut off. Connects to other endpoints of its service decide that. */
void
relay_runs_connect_refused (gt_relays_t *relays, rt_target_t *target)
{
  relay_runs_t *runs = relays->runs;
  pending_run_t *run;

  if (relay_reach_is_cut_off (relays, target->attrs.service))
    return;
  pending_add_check (relays, target);
  DL_FOREACH (runs->pending, run)
  if (run->target == target && !run->refused_at)
    {
      run->refused_at = net_clock_now (relays->options.clock);
      runs->npending_refused++;
    }
  if (runs->npending_refused)
    relay_reach_prove (relays, target);
}

/** Handles that a connection to TARGET, requested at BEGUN, is open. It shows
    that this host is not cut off from TARGET's service: the other endpoints of
    the service that refused connections before have crashed. An answer on an
    older connection would not show that. */
void
relay_runs_connected (gt_relays_t *relays, const rt_target_t *target,
                      el_time_t begun)
{
  const pending_run_t *run;
  rt_target_t *other;

  while (relays->runs->npending_refused)
    {
      DL_FOREACH (relays->runs->pending, run)
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
relay_runs_check_answered (gt_relays_t *relays, const rt_target_t *target,
                           el_time_t sent_at)
{
  relay_runs_t *runs = relays->runs;
  el_time_t now = net_clock_now (relays->options.clock);
  pending_run_t *run;
  pending_run_t *next;

  DL_FOREACH_SAFE (runs->pending, run, next)
  if (run->target == target && run->report.at <= sent_at
      && now < run->report.at + ALIVE_WINDOW)
    pending_free (runs, run);
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
  if (!rt_blame_add_report (relay_blame_table (relays), now, &report))
    return;
  if (!rt_blame_is_empty (relay_blame_table (relays)))
    relay_blame_schedule_update (relays);
}

/** Initializes the list of interrupted runs. */
void
relay_runs_open (gt_relays_t *relays)
{
  relays->runs = el_alloc (sizeof *relays->runs);
}
