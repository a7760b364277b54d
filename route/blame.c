/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The reports about requests that were running where endpoints crashed, and
 * the causes that these requests have:
 * bounded in number, expiring, and independent of the order of arrival. The
 * scoring rules are in blame_rule.c.
 */
#include <stdlib.h>
#include <string.h>

#include "libblame.h"

/* Reports expire after this. Where an endpoint crashes once an hour for other
   reasons, with one request of a hundred running there each time, the crash
   says nothing about that request ten minutes later. A culprit that pauses for
   this long crashes two endpoints in ten minutes and is not blocked; without
   pauses it crashed ten in a minute. */
#define REPORT_LIFETIME (600 * EL_SEC)
/* Duration of a request's first block. It doubles each time the request
   crashes another endpoint after a block has ended, so that waiting out the
   blocks costs one endpoint per block. */
#define BLOCK_TIME_MIN (600 * EL_SEC)
#define BLOCK_TIME_DOUBLINGS_MAX 3
/* Maximum number of stored crashes; a hall of a hundred engines may fail at
   once. */
#define CRASHES_MAX 512
/* Maximum number of causes stored per crash: those of the requests in the
   slots and the queue of an engine, few of which have parts that are possible
   causes. */
#define RUNS_PER_CRASH_MAX 2048
/* Hosts derive the time of a report from the age of its message, so that it
   may appear up to this much later than it was. */
#define TIME_TOLERANCE (50 * EL_MSEC)

/** Return a hash that identifies an endpoint instance. */
uint64_t
rt_instance_key (const rt_instance_t *instance)
{
  return XXH3_64bits_withSeed (instance->id, strlen (instance->id),
                               instance->born);
}

/** Return the current instance of TARGET; a long id is truncated. */
rt_instance_t
rt_target_instance (const rt_target_t *target)
{
  rt_instance_t instance = { .born = target->attrs.born };
  size_t len = target->attrs.id.len;

  if (len >= RT_INSTANCE_ID_SIZE)
    len = RT_INSTANCE_ID_SIZE - 1;
  memcpy (instance.id, target->attrs.id.ptr, len);
  return instance;
}

/** Return the duration of the HOLDS-th block of a request. */
el_time_t
rt_blame_block_time (unsigned holds)
{
  unsigned doublings = holds > 1 ? holds - 1 : 0;

  if (doublings > BLOCK_TIME_DOUBLINGS_MAX)
    doublings = BLOCK_TIME_DOUBLINGS_MAX;
  return BLOCK_TIME_MIN << doublings;
}

/** Create an empty set of reports. */
rt_blame_t *
rt_blame_new (const rt_blame_options_t *options)
{
  rt_blame_t *blame = el_alloc (sizeof *blame);

  blame->options = *options;
  return blame;
}

/* Return the tracked cause with DIGEST, or NULL. */
blame_cause_t *
blame_cause_find (const rt_blame_t *blame, rt_digest_t digest)
{
  blame_cause_t *cause;

  HASH_FIND (hh, blame->causes, &digest, sizeof digest, cause);
  return cause;
}

/* Remove a cause from a crash. */
void
blame_run_free (blame_run_t *run)
{
  DL_DELETE2 (run->crash->runs, run, crash_prev, crash_next);
  DL_DELETE2 (run->cause->runs, run, prev, next);
  run->crash->nruns--;
  free (run);
}

static void
cause_free (rt_blame_t *blame, blame_cause_t *cause)
{
  blame_customer_t *customer = cause->customer;

  while (cause->runs)
    blame_run_free (cause->runs);
  HASH_DEL (blame->causes, cause);
  blame->nshared -= cause->kind != RT_CAUSE_REQUEST;
  blame->nsets -= cause->set != NULL;
  free (cause->set);
  free (cause);
  if (--customer->ncauses)
    return;
  HASH_DEL (blame->customers, customer);
  free (customer);
}

static void
crash_free (rt_blame_t *blame, blame_crash_t *crash)
{
  while (crash->runs)
    blame_run_free (crash->runs);
  DL_DELETE (blame->crashes_by_time, crash);
  HASH_DEL (blame->crashes_by_key, crash);
  free (crash);
}

/** Free all reports and causes. */
void
rt_blame_free (rt_blame_t *blame)
{
  blame_cause_t *cause;
  blame_cause_t *next;

  while (blame->crashes_by_time)
    crash_free (blame, blame->crashes_by_time);
  HASH_ITER (hh, blame->causes, cause, next)
  cause_free (blame, cause);
  blame_proven_free (blame);
  free (blame);
}

/* Evict a cause if that is needed to add one of OWNER: one of OWNER's if it
   exceeds its quota, else, when the table is full, one of the customer with
   the most causes, so that no customer can evict what is known about those of
   others. Evict the cause with the fewest blocks, and of these the one with
   the oldest report. */
static void
evict_cause (rt_blame_t *blame, blame_customer_t *owner)
{
  blame_cause_t *victim = NULL;
  blame_cause_t *cause;
  blame_cause_t *next;
  blame_customer_t *customer;
  blame_customer_t *other;

  if (owner->ncauses <= blame->options.max_customer_causes)
    {
      if (HASH_COUNT (blame->causes) < blame->options.max_causes)
        return;
      HASH_ITER (hh, blame->customers, customer, other)
      if (customer->ncauses > owner->ncauses)
        owner = customer;
    }
  HASH_ITER (hh, blame->causes, cause, next)
  if (cause->customer == owner
      && (!victim || cause->holds < victim->holds
          || (cause->holds == victim->holds
              && cause->last_report_at < victim->last_report_at)))
    victim = cause;
  if (victim)
    cause_free (blame, victim);
}

static blame_customer_t *
customer_get (rt_blame_t *blame, uint64_t key)
{
  blame_customer_t *customer;

  HASH_FIND (hh, blame->customers, &key, sizeof key, customer);
  if (customer)
    return customer;
  customer = el_alloc (sizeof *customer);
  customer->key = key;
  HASH_ADD (hh, blame->customers, key, sizeof customer->key, customer);
  return customer;
}

/* Return the cause with DIGEST, added if it is not tracked. */
blame_cause_t *
blame_cause_get (rt_blame_t *blame, rt_digest_t digest, rt_cause_kind_t kind,
                 uint64_t key)
{
  blame_cause_t *cause = blame_cause_find (blame, digest);
  blame_customer_t *customer;

  if (cause)
    return cause;
  customer = customer_get (blame, key);
  customer->ncauses++; /* keeps the customer allocated during eviction */
  evict_cause (blame, customer);
  cause = el_alloc (sizeof *cause);
  cause->digest = digest;
  cause->kind = kind;
  cause->leader = cause;
  cause->customer = customer;
  blame->nshared += kind != RT_CAUSE_REQUEST;
  HASH_ADD (hh, blame->causes, digest, sizeof cause->digest, cause);
  return cause;
}

/* Return the cause, or the set of causes, that BLOCK blocks. */
blame_cause_t *
blame_block_get (rt_blame_t *blame, const rt_block_t *block, uint64_t customer)
{
  blame_cause_t *cause
      = blame_cause_get (blame, block->id, block->kind, customer);

  if (block->n < 2 || cause->set)
    return cause;
  cause->set = el_alloc (sizeof *cause->set);
  *cause->set = *block;
  blame->nsets++;
  return cause;
}

/* Insert the crash into the list of crashes, which is sorted by time. */
static void
crash_insert_by_time (rt_blame_t *blame, blame_crash_t *crash)
{
  blame_crash_t *after
      = blame->crashes_by_time ? blame->crashes_by_time->prev : NULL;

  while (after && after->at > crash->at)
    after = after == blame->crashes_by_time ? NULL : after->prev;
  if (after)
    DL_APPEND_ELEM (blame->crashes_by_time, after, crash);
  else
    DL_PREPEND (blame->crashes_by_time, crash);
}

static blame_crash_t *
crash_get (rt_blame_t *blame, const rt_crash_report_t *report)
{
  uint64_t key = rt_instance_key (&report->instance);
  blame_crash_t *crash;

  HASH_FIND (hh, blame->crashes_by_key, &key, sizeof key, crash);
  if (crash)
    return crash;
  if (HASH_COUNT (blame->crashes_by_key) >= CRASHES_MAX)
    crash_free (blame, blame->crashes_by_time);
  crash = el_alloc (sizeof *crash);
  crash->key = key;
  crash->instance = report->instance;
  crash->at = report->at;
  crash->at_is_late = report->host == 0;
  crash->detected_at = EL_TIME_NEVER;
  HASH_ADD (hh, blame->crashes_by_key, key, sizeof crash->key, crash);
  crash_insert_by_time (blame, crash);
  return crash;
}

/* The store no longer lists an endpoint some time after it crashed: take the
   time from the first report of a host. */
static void
crash_correct_time (rt_blame_t *blame, blame_crash_t *crash,
                    const rt_crash_report_t *report)
{
  if (!crash->at_is_late || report->host == 0)
    return;
  crash->at_is_late = 0;
  if (report->at >= crash->at)
    return;
  crash->at = report->at;
  DL_DELETE (blame->crashes_by_time, crash);
  crash_insert_by_time (blame, crash);
}

/* Record a witness of the crash; return 0 if it was known. Two hosts or the
   store confirm a crash: a single host may just have lost its connection to
   the endpoint. */
static int
crash_add_witness (blame_crash_t *crash, uint64_t host)
{
  size_t i;

  if (host == 0)
    {
      int changed = !crash->store_confirmed;

      crash->store_confirmed = 1;
      return changed;
    }
  for (i = 0; i < crash->nwitnesses; i++)
    if (crash->witnesses[i] == host)
      return 0;
  if (crash->nwitnesses == BLAME_WITNESSES)
    return 0;
  crash->witnesses[crash->nwitnesses++] = host;
  return 1;
}

/* Return the run of CAUSE at CRASH, or NULL. */
blame_run_t *
blame_run_find (const blame_cause_t *cause, const blame_crash_t *crash)
{
  blame_run_t *run;

  DL_FOREACH (cause->runs, run)
  if (run->crash == crash)
    return run;
  return NULL;
}

/* Whether a run that began at BEGAN_AT was sent to an endpoint already known
   to have crashed, and thus did not run there. */
static int
crash_detected_before (const blame_crash_t *crash, el_time_t began_at)
{
  return crash->detected_at < EL_TIME_NEVER
         && began_at > crash->detected_at + TIME_TOLERANCE;
}

/* A host had detected the crash at DETECTED_AT: drop the runs that began
   later. */
static void
crash_set_detected (blame_crash_t *crash, el_time_t detected_at)
{
  blame_run_t *run;
  blame_run_t *next;

  if (detected_at >= crash->detected_at)
    return;
  crash->detected_at = detected_at;
  DL_FOREACH_SAFE2 (crash->runs, run, next, crash_next)
  if (crash_detected_before (crash, run->began_at))
    blame_run_free (run);
}

/* Add CAUSE to the crashed endpoint, where its run began early enough. Return
   NULL if CAUSE was cleared since or there are too many. */
static blame_run_t *
run_add (blame_crash_t *crash, blame_cause_t *cause,
         const rt_crash_report_t *report)
{
  blame_run_t *run;

  if (crash->at <= cause->cleared_at || crash->nruns >= RUNS_PER_CRASH_MAX)
    return NULL;
  run = el_alloc (sizeof *run);
  run->crash = crash;
  run->cause = cause;
  run->began_at = report->at - report->ran;
  run->ran = report->ran;
  run->first = report->first;
  run->writing = report->writing;
  if (cause->last_report_at < crash->at)
    cause->last_report_at = crash->at;
  DL_APPEND2 (crash->runs, run, crash_prev, crash_next);
  DL_APPEND (cause->runs, run);
  crash->nruns++;
  return run;
}

/* The cause ran more than once concurrently at the endpoint: keep the run that
   began last. Return 0 if nothing changes. */
static int
run_update (blame_run_t *run, const rt_crash_report_t *report)
{
  if (report->ran >= run->ran)
    return 0;
  run->began_at = report->at - report->ran;
  run->ran = report->ran;
  run->first |= report->first;
  run->writing &= report->writing;
  return 1;
}

/* Add a cause that the reported request has. Return 0 if nothing changes. */
static int
report_add_cause (rt_blame_t *blame, blame_crash_t *crash,
                  const rt_crash_report_t *report, rt_digest_t digest,
                  rt_cause_kind_t kind)
{
  blame_cause_t *cause
      = blame_cause_get (blame, digest, kind, report->customer);
  blame_run_t *run = blame_run_find (cause, crash);
  int changed = run ? run_update (run, report) : 1;

  if (!run)
    run = run_add (crash, cause, report);
  if (!run)
    return 0;
  if (kind != RT_CAUSE_REQUEST || !run->requests)
    {
      run->requests ^= XXH3_64bits (&report->digest, sizeof report->digest);
      run->nrequests++;
    }
  return changed;
}

/* Add the parts of the reported request's prompt. */
static void
report_add_parts (rt_blame_t *blame, blame_crash_t *crash,
                  const rt_crash_report_t *report)
{
  size_t i;

  for (i = 0; i < report->nparts && !report->writing; i++)
    {
      report_add_cause (blame, crash, report, report->parts[i], RT_CAUSE_PART);
      report_add_cause (blame, crash, report,
                        rt_customer_part (report->customer, report->parts[i]),
                        RT_CAUSE_CUSTOMER_PART);
    }
}

/** Add a report of this or another host. Return 0 if it was known or has
    expired. */
int
rt_blame_add_report (rt_blame_t *blame, el_time_t now,
                     const rt_crash_report_t *report)
{
  const blame_cause_t *request;
  blame_crash_t *crash;
  int changed;
  int is_new;

  if (report->at + REPORT_LIFETIME < now)
    return 0;
  crash = crash_get (blame, report);
  crash_correct_time (blame, crash, report);
  changed = crash_add_witness (crash, report->host);
  crash_set_detected (crash,
                      report->detected_at ? report->detected_at : report->at);
  if (!report->digest
      || crash_detected_before (crash, report->at - report->ran))
    return changed;
  request = blame_cause_find (blame, report->digest);
  is_new = !request || !blame_run_find (request, crash);
  changed |= report_add_cause (blame, crash, report, report->digest,
                               RT_CAUSE_REQUEST);
  /* A second report of the request would count its parts twice. */
  if (is_new)
    report_add_parts (blame, crash, report);
  return changed;
}

/** Return when INSTANCE crashed, as far as a run there showed it, or 0. */
el_time_t
rt_blame_crash_time (const rt_blame_t *blame, const rt_instance_t *instance)
{
  uint64_t key = rt_instance_key (instance);
  const blame_crash_t *crash;

  HASH_FIND (hh, blame->crashes_by_key, &key, sizeof key, crash);
  return crash && !crash->at_is_late ? crash->at : 0;
}

/** Whether the crash of INSTANCE is reported but not confirmed, and HOST has
    not reported it yet. */
int
rt_blame_needs_witness (const rt_blame_t *blame, const rt_instance_t *instance,
                        uint64_t host)
{
  uint64_t key = rt_instance_key (instance);
  const blame_crash_t *crash;

  HASH_FIND (hh, blame->crashes_by_key, &key, sizeof key, crash);
  return crash && !blame_crash_confirmed (crash)
         && (!crash->nwitnesses || crash->witnesses[0] != host);
}

/** Whether to publish the report to other hosts: the run was short, or its
    request was already suspect or blocked. */
int
rt_blame_should_publish (const rt_blame_t *blame,
                         const rt_crash_report_t *report)
{
  return report->ran < RT_BLAME_SHORT_RUN
         || rt_blame_get_status (blame, report->at, report->digest).state;
}

/** Record that BLOCK took effect for the HOLDS-th time at AT, as reported by
    another host or the store. Return 0 if that was known or the cause has been
    cleared since. */
int
rt_blame_block (rt_blame_t *blame, const rt_block_t *block, uint64_t customer,
                el_time_t at, unsigned holds)
{
  blame_cause_t *cause = blame_block_get (blame, block, customer);

  if (holds <= cause->holds || at <= cause->cleared_at)
    return 0;
  cause->holds = holds;
  cause->taken_for_new = block->taken_for_new;
  cause->blocked_until = at + rt_blame_block_time (holds);
  if (cause->last_report_at < at)
    cause->last_report_at = at;
  return 1;
}

/* A cause that was blocked is tracked for the duration of its last block
   after the block ends; one that ran well, until earlier reports about it
   have expired. */
static int
cause_expired (const blame_cause_t *cause, el_time_t now)
{
  return (!cause->blocked_until
          || cause->blocked_until + rt_blame_block_time (cause->holds) < now)
         && cause->cleared_at + REPORT_LIFETIME < now;
}

/* Drop expired crashes and causes. */
void
blame_expire (rt_blame_t *blame, el_time_t now)
{
  blame_cause_t *cause;
  blame_cause_t *next;

  while (blame->crashes_by_time
         && blame->crashes_by_time->at + REPORT_LIFETIME < now)
    crash_free (blame, blame->crashes_by_time);
  HASH_ITER (hh, blame->causes, cause, next)
  if (!cause->runs && cause_expired (cause, now))
    cause_free (blame, cause);
}

/** Whether no cause is tracked. */
int
rt_blame_is_empty (const rt_blame_t *blame)
{
  return !blame->causes;
}

/** Whether a cause other than a request is tracked. */
int
rt_blame_tracks_parts (const rt_blame_t *blame)
{
  return blame->nshared > 0;
}

/** Visit all causes that are suspect or blocked. */
void
rt_blame_visit_causes (const rt_blame_t *blame, el_time_t now,
                       rt_blame_cause_cb visit, void *arg)
{
  blame_cause_t *cause;
  blame_cause_t *next;
  rt_blame_status_t status;
  rt_block_t block;

  HASH_ITER (hh, blame->causes, cause, next)
  {
    status = blame_status (cause, now);
    block = cause->set ? *cause->set
                       : rt_block_single (cause->kind, cause->digest);
    if (status.state)
      visit (arg, &block, &status);
  }
}

/** Visit the crashes of a cause. */
void
rt_blame_visit_crashes (const rt_blame_t *blame, rt_digest_t digest,
                        rt_blame_report_cb visit, void *arg)
{
  const blame_cause_t *cause = blame_cause_find (blame, digest);
  const blame_run_t *run;

  DL_FOREACH (cause ? cause->runs : NULL, run)
  {
    const rt_crash_report_t report
        = { .instance = run->crash->instance,
            .digest = digest,
            .customer = cause->customer->key,
            .host = run->crash->store_confirmed ? 0 : run->crash->witnesses[0],
            .at = run->crash->at,
            .ran = run->ran,
            .first = run->first };

    visit (arg, &report);
  }
}
