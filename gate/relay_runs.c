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
 *   this host may be cut off from the network. A request that crashes all
 *   endpoints of a service looks the same from here, so that the run is kept
 *   until another host reaches the endpoint, or the store's list decides.
 * - It does not respond: undecided, until it is no longer listed.
 * - It was not leaving, and is no longer listed or listed as another instance:
 *   it certainly crashed; decided after about three heartbeats.
 * - It refused a request, was slow, or was leaving: no evidence of a crash.
 *
 * Runs that this host cancelled are kept here, too (relay_cancelled.c).
 */
#include <stdlib.h>
#include <string.h>

#include "librelay.h"

/* An endpoint that is listed this long after its run was interrupted is alive:
   it takes three heartbeats until a crashed one is not, and the time until
   this host learns it. Only time up to which the store's list is known
   counts. */
#define PENDING_TIME_MAX (8 * EL_SEC)
/* The same while the store does not answer. */
#define PENDING_TIME_STORE_AWAY (120 * EL_SEC)
#define PENDING_MAX 1024
/* The same for cancelled runs. */
#define CANCELLED_MAX 1024
/* Endpoints in doubt are counted up to this number. */
#define DOUBTS_COUNTED 4U

void
relay_pending_free (relay_runs_t *runs, relay_run_t *run)
{
  DL_DELETE (runs->pending, run);
  runs->npending--;
  runs->npending_refused -= run->refused_at != 0;
  runs->ndoubtful -= run->doubtful != 0;
  runs->ncancelled -= run->cancelled != 0;
  rt_target_unref (run->target);
  free (run);
}

/* Whether the store's list shows that the run's endpoint is alive, or the run
   has been pending for too long. */
static int
pending_expired (const gt_relays_t *relays, const relay_run_t *run,
                 el_time_t now)
{
  el_time_t at = run->report.at;

  return at + PENDING_TIME_MAX < relays->rules_as_of
         || at + PENDING_TIME_STORE_AWAY < now;
}

/* Whether there are too many runs of RUN's kind. */
static int
pending_is_excess (const relay_runs_t *runs, const relay_run_t *run)
{
  return run->cancelled ? runs->ncancelled > CANCELLED_MAX
                        : runs->npending - runs->ncancelled > PENDING_MAX;
}

void
relay_pending_expire (gt_relays_t *relays, el_time_t now)
{
  relay_runs_t *runs = relays->runs;
  relay_run_t *run;
  relay_run_t *next;
  int excess;

  DL_FOREACH_SAFE (runs->pending, run, next)
  {
    excess = pending_is_excess (runs, run);
    if (!excess && !pending_expired (relays, run, now))
      continue;
    relays->counts.runs_forgotten += excess != 0;
    relays->counts.doubts_cleared += run->doubtful != 0;
    relay_pending_free (runs, run);
  }
}

relay_run_t *
relay_pending_add (gt_relays_t *relays, rt_target_t *target,
                   const rt_crash_report_t *report)
{
  relay_runs_t *runs = relays->runs;
  relay_run_t *run = el_alloc (sizeof *run);

  run->target = rt_target_ref (target);
  run->report = *report;
  DL_APPEND (runs->pending, run);
  runs->npending++;
  return run;
}

/* Counts and logs a run that only the store's list decides. */
static void
note_doubt (gt_relays_t *relays, const rt_target_t *target,
            const rt_crash_report_t *report)
{
  char hex[RT_DIGEST_HEX + 1];

  relays->counts.doubts++;
  rt_digest_hex (report->digest, hex);
  EL_LOG (
      EL_LOG_INFO, "run_in_doubt", EL_FS ("endpoint", target->attrs.id),
      EL_FC ("digest", hex), EL_FN ("ran_us", report->ran),
      EL_FN ("age_us", net_clock_now (relays->options.clock) - report->at));
}

/* The report that RELAY's run at TARGET would make of a crash now. */
rt_crash_report_t
relay_run_report (gt_relay_t *relay, const rt_target_t *target, el_time_t now)
{
  const rt_traits_t traits = relay_traits (relay);
  rt_crash_report_t report
      = { .instance = rt_target_instance (target),
          .digest = traits.digest,
          .customer = traits.customer,
          .host = relay->relays->options.host_incarnation,
          .at = now,
          .ran = now - (relay->head_at ? relay->head_at : relay->sent),
          .first = target == relay->target,
          .writing = relay->writing,
          .nparts = traits.nparts };

  if (traits.nparts)
    memcpy (report.parts, traits.parts, traits.nparts * sizeof *traits.parts);
  return report;
}

/** Records that RELAY's run at TARGET lost its connection, or stalls because
    TARGET does not respond. It is reported if TARGET turns out to have
    crashed. */
void
relay_runs_interrupted (gt_relay_t *relay, rt_target_t *target)
{
  gt_relays_t *relays = relay->relays;
  el_time_t now = net_clock_now (relays->options.clock);
  rt_crash_report_t report;
  relay_run_t *run;

  if (rt_target_is_leaving (target))
    return;
  report = relay_run_report (relay, target, now);
  run = relay_pending_add (relays, target, &report);
  run->doubtful = relay_reach_is_cut_off (relays, target->attrs.service);
  relays->runs->ndoubtful += run->doubtful != 0;
  if (run->doubtful)
    {
      note_doubt (relays, target, &report);
      relay_survey_begin (relays,
                          relay_service (relays, target->attrs.service));
    }
  relay_pending_expire (relays, now);
}

/** Whether a crash is still possible, or not yet evaluated, at an endpoint
    where DIGEST's run lost its connection. An engine may close its streams a
    moment before it stops listening. */
int
relay_runs_is_pending (gt_relays_t *relays, rt_digest_t digest)
{
  relay_run_t *run;

  if (relay_blame_update_is_due (relays))
    return 1;
  relay_pending_expire (relays, net_clock_now (relays->options.clock));
  DL_FOREACH (relays->runs->pending, run)
  if (run->report.digest == digest)
    {
      if (run->cancelled)
        relay_cancelled_check (relays, run);
      return 1;
    }
  return 0;
}

/** Returns the number of endpoints that runs of RELAY's request may have
    crashed, and for which only the store's list decides. */
unsigned
relay_runs_count_doubtful (gt_relay_t *relay)
{
  gt_relays_t *relays = relay->relays;
  const rt_target_t *seen[DOUBTS_COUNTED];
  const relay_run_t *run;
  rt_digest_t digest;
  unsigned n = 0;
  unsigned i;

  if (!relays->runs->ndoubtful)
    return 0;
  digest = relay_digest (relay);
  relay_pending_expire (relays, net_clock_now (relays->options.clock));
  DL_FOREACH (relays->runs->pending, run)
  {
    if (!run->doubtful || run->report.digest != digest)
      continue;
    for (i = 0; i < n && seen[i] != run->target; i++)
      ;
    if (i == n && n < DOUBTS_COUNTED)
      seen[n++] = run->target;
  }
  return n;
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
log_run (const relay_run_t *run)
{
  const rt_crash_report_t *report = &run->report;
  char hex[RT_DIGEST_HEX + 1];

  if (!report->digest || report->writing)
    return;
  rt_digest_hex (report->digest, hex);
  EL_LOG (EL_LOG_INFO, "end_candidate",
          EL_FS ("endpoint", run->target->attrs.id), EL_FC ("digest", hex),
          EL_FN ("ran_us", report->ran), EL_FN ("first", report->first),
          EL_FN ("cancelled", run->cancelled),
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

/* Reports the runs at TARGET that were cancelled, or those that were not.
   Returns their number. */
static size_t
runs_confirm (gt_relays_t *relays, const rt_target_t *target, int cancelled,
              relay_fact_t *fact)
{
  relay_runs_t *runs = relays->runs;
  const rt_instance_t instance = rt_target_instance (target);
  el_time_t now = net_clock_now (relays->options.clock);
  el_time_t crashed_at
      = cancelled ? rt_blame_crash_time (relay_blame_table (relays), &instance)
                  : 0;
  relay_run_t *run;
  relay_run_t *next;
  size_t n = 0;

  DL_FOREACH_SAFE (runs->pending, run, next)
  if (run->target == target && run->cancelled == cancelled)
    {
      if (crashed_at && !relay_cancelled_may_run (run, crashed_at))
        {
          relay_pending_free (runs, run);
          continue;
        }
      n += run->report.digest != 0;
      relays->counts.doubts_confirmed += run->doubtful != 0;
      run->report.detected_at = now;
      if (rt_blame_should_publish (relay_blame_table (relays), &run->report)
          && !relay_fact_add_run (fact, &run->report))
        {
          publish_runs (relays, fact);
          relay_fact_add_run (fact, &run->report);
        }
      rt_blame_add_report (relay_blame_table (relays), now, &run->report);
      relay_testimony_give (relays, &run->report);
      log_run (run);
      relay_pending_free (runs, run);
    }
  return n;
}

/* TARGET has crashed: reports the requests of this host that were running
   there. Those that were cancelled tell its time less exactly. */
static void
pending_confirm (gt_relays_t *relays, const rt_target_t *target,
                 const char *evidence)
{
  relay_fact_t fact = { .kind = RELAY_FACT_CRASHED };
  size_t n = 0;
  int cancelled;

  for (cancelled = 0; cancelled <= 1; cancelled++)
    n += runs_confirm (relays, target, cancelled, &fact);
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

  if (!rt_blame_needs_witness (relay_blame_table (relays), &report.instance,
                               report.host))
    return;
  relay_pending_add (relays, target, &report);
  relay_pending_expire (relays, report.at);
}

/** This host reaches no endpoint of SERVICE: it is cut off, or all of them
    have crashed. Refused connections no longer prove that an endpoint
    crashed. */
void
relay_runs_doubt (gt_relays_t *relays, el_str_t service)
{
  relay_runs_t *runs = relays->runs;
  relay_run_t *run;

  DL_FOREACH (runs->pending, run)
  if (!run->doubtful && el_str_eq (run->target->attrs.service, service))
    {
      runs->npending_refused -= run->refused_at != 0;
      run->refused_at = 0;
      if (run->cancelled)
        continue;
      run->doubtful = 1;
      runs->ndoubtful++;
      note_doubt (relays, run->target, &run->report);
    }
}

static int
pending_is_unasked (const relay_run_t *run, el_str_t service)
{
  return run->doubtful && !run->asked
         && el_str_eq (run->target->attrs.service, service);
}

/** Lists the instances of SERVICE at which runs are in doubt, as far as other
    hosts were not asked about them. Returns their number, at most MAX. */
size_t
relay_runs_ask (gt_relays_t *relays, el_str_t service, rt_instance_t *out,
                size_t max)
{
  relay_run_t *run;
  size_t n = 0;
  size_t i;

  DL_FOREACH (relays->runs->pending, run)
  {
    if (!pending_is_unasked (run, service))
      continue;
    for (i = 0; i < n; i++)
      if (rt_instance_key (&out[i]) == rt_instance_key (&run->report.instance))
        break;
    if (i == max)
      continue;
    out[i] = run->report.instance;
    n += i == n;
    run->asked = 1;
  }
  return n;
}

/** Whether runs at SERVICE are in doubt about which other hosts were not
    asked. */
int
relay_runs_has_unasked (const gt_relays_t *relays, el_str_t service)
{
  const relay_run_t *run;

  DL_FOREACH (relays->runs->pending, run)
  if (pending_is_unasked (run, service))
    return 1;
  return 0;
}

/** Another host reached INSTANCE after it was asked at ASKED_AT: the runs that
    lost their connection before did not end in a crash. */
void
relay_runs_alive (gt_relays_t *relays, const rt_instance_t *instance,
                  el_time_t asked_at)
{
  relay_runs_t *runs = relays->runs;
  uint64_t key = rt_instance_key (instance);
  el_time_t now = net_clock_now (relays->options.clock);
  relay_run_t *run;
  relay_run_t *next;

  DL_FOREACH_SAFE (runs->pending, run, next)
  if (run->doubtful && run->report.at <= asked_at
      && now < run->report.at + RELAY_ALIVE_WINDOW
      && rt_instance_key (&run->report.instance) == key)
    {
      relays->counts.doubts_cleared++;
      relay_pending_free (runs, run);
    }
}

/** Handles a connection refused by TARGET: it has crashed, unless this host is
    cut off. Connects to other endpoints of its service decide that. */
void
relay_runs_connect_refused (gt_relays_t *relays, rt_target_t *target)
{
  relay_runs_t *runs = relays->runs;
  relay_run_t *run;

  if (rt_target_is_leaving (target)
      || relay_reach_is_cut_off (relays, target->attrs.service))
    return;
  pending_add_check (relays, target);
  DL_FOREACH (runs->pending, run)
  if (run->target == target && !run->refused_at && !run->doubtful)
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
  const relay_run_t *run;
  rt_target_t *other;

  relay_cancelled_seen_alive (relays, target, begun);
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
  relay_run_t *run;
  relay_run_t *next;

  relay_cancelled_seen_alive (relays, target, sent_at);
  DL_FOREACH_SAFE (runs->pending, run, next)
  if (run->target == target && !run->cancelled && run->report.at <= sent_at
      && now < run->report.at + RELAY_ALIVE_WINDOW)
    relay_pending_free (runs, run);
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
  relays->runs->check_timer.cb = relay_cancelled_checks_due;
  relays->runs->check_timer.arg = relays;
}
