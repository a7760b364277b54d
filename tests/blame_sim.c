/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Simulation of hosts, engines and callers for request blame.
 */
#include "blame_sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP (5 * EL_MSEC)
#define MAX_HOSTS 64
#define MAX_ENGINES 64
#define MAX_CULPRITS 8
/* Delay from the sending of a stream until it runs, and its duration. */
#define START_DELAY (60 * EL_MSEC)
#define RUN_MIN (300 * EL_MSEC)
#define RUN_JITTER (3000 * EL_MSEC)
/* Delay from the start of a culprit until its engine crashes. */
#define CRASH_DELAY_MIN (30 * EL_MSEC)
#define CRASH_DELAY_JITTER (90 * EL_MSEC)
#define RESTART_TIME 8.0
/* Delay from a crash until the store's list lacks the endpoint. */
#define LIST_DELAY_MIN (3000 * EL_MSEC)
#define LIST_DELAY_JITTER (600 * EL_MSEC)
/* A send of a culprit counts as late if it follows the crash with this number
   by more than this time. */
#define LATE_AFTER (3 * EL_SEC)
#define LATE_CRASHES 3
#define REPORT_DELAY (20 * EL_MSEC)
#define REPORT_EXTRA_DELAY (1 * EL_SEC)
#define RACK_PERIOD (20 * EL_SEC)
#define MAX_ATTEMPTS 2
#define MAX_SENDS 4
/* A caller that was refused because no engine was available retries. */
#define RETRY_DELAY (100 * EL_MSEC)
#define MAX_RETRIES 100
/* A suspect with this many crashes waits for an engine that no other suspect
   of its host uses. */
#define WAIT_CRASHES 2
/* Digest of the frequent innocent request; those of the other innocent
   requests follow. */
#define FREQUENT_DIGEST 1000
/* An engine is avoided for this long after a suspect was sent to it. */
#define PROBATION (500 * EL_MSEC)

typedef struct sim_engine
{
  int up;
  unsigned instance;
  el_time_t restart_at;
  el_time_t probation_until[MAX_HOSTS]; /* per host: a suspect that it sent
                                            runs here until then */
} sim_engine_t;

typedef struct sim_stream
{
  rt_digest_t digest;
  size_t culprit; /* number plus one; 0: innocent */
  size_t host;
  size_t engine;
  unsigned attempts; /* those counted against MAX_ATTEMPTS */
  unsigned sends;
  unsigned retries;
  int waiting;       /* to be sent at AT */
  int resubmitted;   /* by its caller, which does so once */
  el_time_t at;      /* when it was or will be sent */
  el_time_t ends_at; /* when it completes or crashes its engine */
  struct sim_stream *prev;
  struct sim_stream *next;
} sim_stream_t;

typedef struct sim_report
{
  rt_crash_report_t crash;
  rt_digest_t completed;
  size_t to;
  el_time_t at;
  struct sim_report *prev;
  struct sim_report *next;
} sim_report_t;

typedef struct sim
{
  sim_options_t options;
  sim_result_t result;
  uint64_t rng;
  el_time_t now;
  rt_blame_t *blame[MAX_HOSTS];
  int stale[MAX_HOSTS]; /* reports have arrived since the last update */
  sim_engine_t engine[MAX_ENGINES];
  sim_stream_t *streams;
  sim_report_t *reports;
  rt_digest_t last_digest;
  el_time_t third_crash[MAX_CULPRITS];
  size_t crash_count[MAX_CULPRITS];
  size_t late[MAX_CULPRITS];
} sim_t;

static double
sim_random (sim_t *sim)
{
  return (double)(el_random (&sim->rng) >> 11) / (double)(1ULL << 53);
}

static el_time_t
sim_jitter (sim_t *sim, el_time_t min, el_time_t spread)
{
  return min + (el_time_t)(sim_random (sim) * (double)spread);
}

static rt_blame_status_t
status_of (const sim_t *sim, size_t host, rt_digest_t digest)
{
  return sim->options.rule
             ? rt_blame_get_status (sim->blame[host], sim->now, digest)
             : (rt_blame_status_t){ 0 };
}

/* Whether a request is kept on an engine without other suspects. */
static int
is_isolated (const sim_t *sim, const rt_blame_status_t *status)
{
  if (status->state != RT_BLAME_SUSPECT)
    return 0;
  return sim->options.isolation < 3 || status->crashes > 1
         || status->prime_suspect;
}

/* Pick the engine to send a stream to; false if there is none. All streams
   avoid engines where a suspect runs; isolated suspects choose by rendezvous
   hashing, so that hosts send a suspect to the same engine. */
static int
engine_pick (sim_t *sim, const sim_stream_t *stream,
             const rt_blame_status_t *status, size_t *out)
{
  double best = -2;
  double rank;
  size_t i;

  for (i = 0; i < sim->options.engines; i++)
    {
      const sim_engine_t *engine = &sim->engine[i];
      uint64_t mixed[] = { stream->digest, status->crashes, i };

      if (!engine->up)
        continue;
      rank = sim_random (sim);
      if (sim->options.isolation && is_isolated (sim, status))
        rank = (double)(XXH3_64bits (mixed, sizeof mixed) >> 11)
               / (double)(1ULL << 53);
      if (sim->options.isolation
          && sim->now < engine->probation_until[stream->host])
        {
          if (sim->options.isolation > 1 && status->crashes >= WAIT_CRASHES)
            continue;
          rank -= 1;
        }
      if (best < rank)
        {
          best = rank;
          *out = i;
        }
    }
  return best > -2;
}

static void
stream_free (sim_t *sim, sim_stream_t *stream)
{
  DL_DELETE (sim->streams, stream);
  free (stream);
}

/* The caller of a culprit resubmits it, through any host. */
static void
culprit_schedule_resubmission (sim_t *sim, const sim_stream_t *stream)
{
  sim_stream_t *next_run = el_alloc (sizeof *next_run);

  next_run->digest = stream->digest;
  next_run->culprit = stream->culprit;
  next_run->host = el_random (&sim->rng) % sim->options.hosts;
  next_run->waiting = 1;
  next_run->at
      = sim->now
        + sim_jitter (sim, 0,
                      (el_time_t)(2 * sim->options.resubmit_delay_s * EL_SEC));
  DL_APPEND (sim->streams, next_run);
}

static void
stream_finish (sim_t *sim, sim_stream_t *stream)
{
  if (stream->culprit)
    culprit_schedule_resubmission (sim, stream);
  stream_free (sim, stream);
}

/* Whether HOST holds crashes at which the request ran, and knows of or holds
   so many that it must not send it. */
static int
must_hold (const sim_t *sim, size_t host, const rt_blame_status_t *status,
           rt_digest_t digest)
{
  const sim_report_t *report;
  unsigned held = 0;

  DL_FOREACH (sim->reports, report)
  held += report->to == host && report->crash.host == host + 1
          && report->crash.digest == digest;
  return held && held + status->crashes >= WAIT_CRASHES;
}

static void
stream_send (sim_t *sim, sim_stream_t *stream)
{
  rt_blame_status_t status = status_of (sim, stream->host, stream->digest);
  size_t d = stream->culprit - 1;

  if (status.state == RT_BLAME_BLOCKED)
    {
      sim->result.refused += !stream->culprit;
      stream_finish (sim, stream);
      return;
    }
  stream->at = sim->now + RETRY_DELAY;
  stream->waiting = 1;
  if (must_hold (sim, stream->host, &status, stream->digest)
      || !engine_pick (sim, stream, &status, &stream->engine))
    {
      if (++stream->retries < MAX_RETRIES)
        return;
      sim->result.failed += !stream->culprit;
      stream_finish (sim, stream);
      return;
    }
  stream->waiting = 0;
  stream->sends++;
  stream->at = sim->now;
  stream->ends_at
      = sim->now + START_DELAY + sim_jitter (sim, RUN_MIN, RUN_JITTER);
  if (is_isolated (sim, &status))
    sim->engine[stream->engine].probation_until[stream->host]
        = sim->now + PROBATION;
  if (!stream->culprit)
    return;
  stream->ends_at = sim->now + START_DELAY
                    + sim_jitter (sim, CRASH_DELAY_MIN, CRASH_DELAY_JITTER);
  sim->result.sends++;
  if (sim->third_crash[d] && sim->now > sim->third_crash[d] + LATE_AFTER)
    sim->late[d]++;
}

static void
report_broadcast (sim_t *sim, size_t from, const rt_crash_report_t *crash,
                  rt_digest_t completed)
{
  sim_report_t *report;
  size_t i;

  for (i = 0; i < sim->options.hosts; i++)
    {
      if (i == from)
        continue;
      report = el_alloc (sizeof *report);
      if (crash)
        report->crash = *crash;
      report->completed = completed;
      report->to = i;
      report->at = sim->now + sim_jitter (sim, EL_MSEC, REPORT_DELAY);
      if (sim_random (sim) < sim->options.delayed_share)
        report->at += REPORT_EXTRA_DELAY;
      DL_APPEND (sim->reports, report);
    }
}

/* An interrupted stream is retried, or fails. */
static void
stream_interrupted (sim_t *sim, sim_stream_t *stream)
{
  sim->result.broken += !stream->culprit;
  if (!sim->options.free_retries)
    stream->attempts++;
  if (stream->attempts < MAX_ATTEMPTS && stream->sends < MAX_SENDS)
    {
      stream->waiting = 1;
      stream->at = sim->now;
      return;
    }
  if (!stream->culprit && !stream->resubmitted)
    { /* its caller resubmits it once */
      stream->resubmitted = 1;
      stream->attempts = 0;
      stream->sends = 0;
      stream->waiting = 1;
      stream->host = el_random (&sim->rng) % sim->options.hosts;
      stream->at = sim->now + 2 * STEP;
      return;
    }
  sim->result.failed += !stream->culprit;
  stream_finish (sim, stream);
}

/* HOST keeps a crash until the store's list decides; the others learn of it
   then. */
static void
report_hold (sim_t *sim, size_t host, const rt_crash_report_t *crash)
{
  el_time_t listed
      = sim->now + sim_jitter (sim, LIST_DELAY_MIN, LIST_DELAY_JITTER);
  sim_report_t *report;
  size_t i;

  for (i = 0; i < sim->options.hosts; i++)
    {
      report = el_alloc (sizeof *report);
      report->crash = *crash;
      report->crash.detected_at = listed;
      report->to = i;
      report->at = listed;
      if (i != host)
        report->at += sim_jitter (sim, EL_MSEC, REPORT_DELAY);
      DL_APPEND (sim->reports, report);
    }
}

static int
engines_are_up (const sim_t *sim)
{
  size_t i;

  for (i = 0; i < sim->options.engines; i++)
    if (sim->engine[i].up)
      return 1;
  return 0;
}

/* HOST learns of a crash under its request, and tells the others. */
static void
crash_report (sim_t *sim, size_t host, const rt_crash_report_t *crash)
{
  if (sim->options.doubt == SIM_DOUBT_NONE || engines_are_up (sim))
    {
      if (rt_blame_should_publish (sim->blame[host], crash))
        report_broadcast (sim, host, crash, 0);
      rt_blame_add_report (sim->blame[host], sim->now, crash);
      sim->stale[host] = 1;
    }
  else if (sim->options.doubt == SIM_DOUBT_HOLD)
    report_hold (sim, host, crash);
}

static void
engine_crash (sim_t *sim, size_t i)
{
  sim_engine_t *engine = &sim->engine[i];
  rt_crash_report_t crash = { .first = 1, .at = sim->now };
  sim_stream_t *stream;
  sim_stream_t *next;

  engine->up = 0;
  engine->restart_at
      = sim->now
        + (el_time_t)((sim->options.restart_s ? sim->options.restart_s
                                              : RESTART_TIME)
                      * EL_SEC);
  snprintf (crash.instance.id, sizeof crash.instance.id, "engine-%zu", i);
  crash.instance.born = engine->instance;
  DL_FOREACH (sim->streams, stream)
  if (!stream->waiting && stream->engine == i && sim->options.rule)
    {
      crash.digest = stream->digest;
      crash.customer = 1;
      crash.host = stream->host + 1;
      crash.ran = sim->now - stream->at;
      if (crash.ran > START_DELAY)
        crash.ran -= START_DELAY;
      crash_report (sim, stream->host, &crash);
    }
  DL_FOREACH_SAFE (sim->streams, stream, next)
  if (!stream->waiting && stream->engine == i)
    stream_interrupted (sim, stream);
}

static void
on_blocked (void *arg, const rt_block_t *block,
            const rt_blame_status_t *status)
{
  (void)arg;
  (void)block;
  (void)status;
}

static void
hosts_update (sim_t *sim)
{
  size_t i;

  for (i = 0; sim->options.rule && i < sim->options.hosts; i++)
    if (sim->stale[i])
      {
        rt_blame_update (sim->blame[i], sim->now, sim->options.engines,
                         on_blocked, sim);
        sim->stale[i] = 0;
      }
}

static void
reports_get (sim_t *sim)
{
  sim_report_t *report;
  sim_report_t *next;

  DL_FOREACH_SAFE (sim->reports, report, next)
  if (report->at <= sim->now)
    {
      if (report->completed)
        sim->stale[report->to]
            |= rt_blame_completed (sim->blame[report->to], report->completed,
                                   report->crash.at)
               != 0;
      else
        sim->stale[report->to] |= rt_blame_add_report (
            sim->blame[report->to], sim->now, &report->crash);
      DL_DELETE (sim->reports, report);
      free (report);
    }
}

/* A stream reached its end: a culprit crashes its engine. */
static void
stream_complete (sim_t *sim, sim_stream_t *stream)
{
  size_t d = stream->culprit - 1;
  const rt_crash_report_t at = { .at = sim->now };
  unsigned crashes = status_of (sim, stream->host, stream->digest).crashes;

  if (stream->culprit)
    {
      sim->result.culprit_crashes++;
      if (++sim->crash_count[d] == LATE_CRASHES)
        sim->third_crash[d] = sim->now;
      engine_crash (sim, stream->engine);
      return;
    }
  if (sim->options.rule
      && rt_blame_completed (sim->blame[stream->host], stream->digest,
                             sim->now)
      && (!sim->options.defer_completed || crashes > 1))
    report_broadcast (sim, stream->host, &at, stream->digest);
  stream_free (sim, stream);
}

static void
streams_step (sim_t *sim)
{
  sim_stream_t *stream;
  sim_stream_t *next;
  int changed = 1;

  while (changed)
    { /* a crash of an engine changes the list */
      changed = 0;
      DL_FOREACH_SAFE (sim->streams, stream, next)
      if (!stream->waiting && stream->ends_at <= sim->now)
        {
          changed = 1;
          stream_complete (sim, stream);
          break;
        }
    }
  hosts_update (sim);
  DL_FOREACH_SAFE (sim->streams, stream, next)
  if (stream->waiting && stream->at <= sim->now)
    stream_send (sim, stream);
}

static void
engines_step (sim_t *sim)
{
  size_t up[MAX_ENGINES];
  size_t n = 0;
  size_t i;

  for (i = 0; i < sim->options.engines; i++)
    {
      sim_engine_t *engine = &sim->engine[i];

      if (!engine->up && engine->restart_at <= sim->now)
        {
          engine->up = 1;
          engine->instance++;
        }
      if (engine->up)
        up[n++] = i;
    }
  for (i = 0; i < n; i++)
    if (sim_random (sim)
        < sim->options.crash_rate * (double)STEP / (double)EL_SEC)
      {
        sim->result.other_crashes++;
        engine_crash (sim, up[i]);
      }
  /* A rack outage: engines crash one after another within a second. */
  if (sim->options.rack_size && sim->now % RACK_PERIOD < EL_SEC
      && sim->now % (EL_SEC / sim->options.rack_size) < STEP && n)
    {
      i = up[el_random (&sim->rng) % n];
      if (!sim->engine[i].up)
        return;
      sim->result.other_crashes++;
      engine_crash (sim, i);
    }
}

static void
callers_step (sim_t *sim)
{
  double rate = sim->options.rate + sim->options.frequent_rate;
  double due = rate * (double)STEP / (double)EL_SEC;
  size_t n = (size_t)due;
  sim_stream_t *stream;

  for (n += sim_random (sim) < due - (double)n; n; n--)
    {
      stream = el_alloc (sizeof *stream);
      stream->digest = sim_random (sim) * rate < sim->options.frequent_rate
                           ? FREQUENT_DIGEST
                           : ++sim->last_digest;
      stream->host = el_random (&sim->rng) % sim->options.hosts;
      stream->waiting = 1;
      stream->at = sim->now;
      sim->result.streams++;
      DL_APPEND (sim->streams, stream);
    }
}

static void
sim_open (sim_t *sim)
{
  const rt_blame_options_t options = { .max_causes = 4096,
                                       .max_customer_causes = 4096,
                                       .rule = sim->options.rule };
  const sim_stream_t none = { 0 };
  sim_stream_t first = none;
  size_t i;

  sim->rng = sim->options.seed * 2654435761U + 1;
  sim->now = 100 * EL_SEC;
  sim->last_digest = FREQUENT_DIGEST;
  for (i = 0; i < sim->options.engines; i++)
    sim->engine[i].up = 1;
  for (i = 0; sim->options.rule && i < sim->options.hosts; i++)
    sim->blame[i] = rt_blame_new (&options);
  for (i = 0; i < sim->options.culprits; i++)
    {
      first.culprit = i + 1;
      first.digest = i + 1;
      culprit_schedule_resubmission (sim, &first);
    }
}

static void
sim_close (sim_t *sim)
{
  sim_stream_t *stream;
  sim_stream_t *next;
  sim_report_t *report;
  sim_report_t *after;
  size_t i;

  for (i = 0; i < sim->options.culprits; i++)
    {
      if (sim->late[i] > sim->result.late)
        sim->result.late = sim->late[i];
      sim->result.blocked
          += status_of (sim, 0, i + 1).state == RT_BLAME_BLOCKED;
    }
  DL_FOREACH_SAFE (sim->streams, stream, next)
  stream_free (sim, stream);
  DL_FOREACH_SAFE (sim->reports, report, after)
  {
    DL_DELETE (sim->reports, report);
    free (report);
  }
  for (i = 0; sim->options.rule && i < sim->options.hosts; i++)
    rt_blame_free (sim->blame[i]);
}

/** Run one simulation. */
sim_result_t
sim_run (const sim_options_t *options)
{
  sim_t *sim = el_alloc (sizeof *sim);
  sim_result_t result;
  el_time_t end;

  sim->options = *options;
  sim_open (sim);
  end = sim->now + (el_time_t)(sim->options.seconds * EL_SEC);
  for (; sim->now < end; sim->now += STEP)
    {
      reports_get (sim);
      engines_step (sim);
      callers_step (sim);
      streams_step (sim);
    }
  sim_close (sim);
  result = sim->result;
  free (sim);
  return result;
}
