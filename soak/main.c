/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Runs the given seeds one after the other. Exits with status 1 if an
 * invariant was violated.
 */
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include <curl/curl.h>

#include "soak.h"

#define TICK_NS 10000000
/* Time after the last fault within which all hosts must serve again. */
#define RECOVERY_TIMEOUT (15 * EL_SEC)

typedef struct soak_settings
{
  const char *bin;
  const char *dir;
  uint64_t seed;
  uint64_t seeds;
  uint64_t seconds;
  uint64_t callers;
  int plan;
  int asks;
  int copies;
  int limits;
  int parts;
  int crashes;
} soak_settings_t;

#define FIELD(field) offsetof (soak_settings_t, field)

static const el_setting_t table[] = {
  { "bin", EL_SETTING_STRING, FIELD (bin), "build/bin", 1, 255, 0, "DIR",
    "directory of the programs under test" },
  { "dir", EL_SETTING_STRING, FIELD (dir), "build/soak", 1, 200, 0, "DIR",
    "logs and records, with a subdirectory for each seed" },
  { "seed", EL_SETTING_U64, FIELD (seed), "1", 0, UINT32_MAX, 0, "N",
    "first seed" },
  { "seeds", EL_SETTING_U64, FIELD (seeds), "1", 1, 100000, 0, "N",
    "number of seeds" },
  { "seconds", EL_SETTING_U64, FIELD (seconds), "12", 1, 86400, 0, "S",
    "duration of the faults of one seed (64 faults at most)" },
  { "callers", EL_SETTING_U64, FIELD (callers), "12", 1, 256, 0, "N",
    "threads" },
  { "plan", EL_SETTING_FLAG, FIELD (plan), "0", 0, 1, 0, NULL,
    "print each fault when it starts" },
  { "asks", EL_SETTING_FLAG, FIELD (asks), "0", 0, 1, 0, NULL,
    "in addition, have endpoints ask for backoff and announce that they "
    "leave" },
  { "copies", EL_SETTING_FLAG, FIELD (copies), "0", 0, 1, 0, NULL,
    "roll the store back to snapshots, in place of most faults" },
  { "limits", EL_SETTING_FLAG, FIELD (limits), "0", 0, 1, 0, NULL,
    "have all endpoints name rate limits, in place of most faults" },
  { "parts", EL_SETTING_FLAG, FIELD (parts), "0", 0, 1, 0, NULL,
    "send prompts with a part that crashes engines, in place of most faults" },
  { "crashes", EL_SETTING_FLAG, FIELD (crashes), "0", 0, 1, 0, NULL,
    "send a request that crashes all workers, in place of most faults" },
};

/* Start and end the faults that are due. */
static void
faults_tick (sk_cluster_t *cluster, sk_fault_t *faults, size_t n,
             el_time_t elapsed, int print)
{
  size_t i;

  for (i = 0; i < n; i++)
    {
      sk_fault_t *fault = &faults[i];

      if (!fault->started && elapsed >= fault->start_at)
        {
          if (print)
            printf (
                "at_ms=%" PRIu64 " fault=%s which=%u how=%u ms=%" PRIu64 "\n",
                fault->start_at / EL_MSEC, sk_fault_kind_name (fault->kind),
                fault->target, fault->variant, fault->duration / EL_MSEC);
          sk_fault_begin (cluster, fault);
        }
      if (fault->started && !fault->ended
          && elapsed >= fault->start_at + fault->duration)
        sk_fault_end (cluster, fault);
    }
}

static void
tick_sleep (void)
{
  const struct timespec wait = { 0, TICK_NS };

  nanosleep (&wait, NULL);
}

/* Check that all hosts serve all kinds of requests. */
static void
recovery_check (sk_cluster_t *cluster, sk_requests_t *requests)
{
  el_time_t until = sk_now () + RECOVERY_TIMEOUT;
  unsigned host = 0;
  unsigned kind = 0;

  while (host < SK_HOSTS && sk_now () < until)
    {
      sk_cluster_tick (cluster, sk_now ());
      if (!sk_caller_probe (cluster, requests, host, (sk_request_kind_t)kind))
        {
          tick_sleep ();
          continue;
        }
      kind = (kind + 1) % SK_REQUEST_KINDS;
      host += kind == 0;
    }
  if (host < SK_HOSTS)
    sk_violation ("recovery", "-",
                  "host %u does not serve requests of kind %u", host, kind);
}

/* Create the directory for the logs of one seed. Records of an earlier run of
   the seed are deleted, as they would be counted again. */
static void
seed_dir_prepare (const soak_settings_t *set, uint64_t seed, char *out,
                  size_t size)
{
  char record[300];

  snprintf (out, size, "%s/%" PRIu64, set->dir, seed);
  mkdir (set->dir, 0700);
  mkdir (out, 0700);
  snprintf (record, sizeof record, "%s/runs", out);
  unlink (record);
  snprintf (record, sizeof record, "%s/runs.asked", out);
  unlink (record);
  snprintf (record, sizeof record, "%s/runs.limit", out);
  unlink (record);
}

static size_t
seed_run (const soak_settings_t *set, uint64_t seed)
{
  sk_fault_t faults[2 * SK_FAULTS_MAX];
  sk_requests_t requests = { .lock = PTHREAD_MUTEX_INITIALIZER };
  el_time_t length = set->seconds * EL_SEC;
  size_t nfaults = set->copies   ? sk_plan_rollbacks (seed, length, faults)
                   : set->limits ? sk_plan_limits (seed, length, faults)
                   : set->parts || set->crashes
                       ? sk_plan_crashes (seed, length, faults)
                       : sk_plan (seed, length, faults);
  sk_callers_t *callers;
  sk_cluster_t cluster;
  el_time_t traffic_start;
  char dir[256];
  size_t n;

  if (set->asks)
    nfaults += sk_plan_notices (seed, length, &faults[nfaults]);
  seed_dir_prepare (set, seed, dir, sizeof dir);
  sk_cluster_start (&cluster, set->bin, dir,
                    set->parts     ? SK_CRASH_PARTS
                    : set->crashes ? SK_CRASH_REQUEST
                                   : SK_CRASH_NONE);
  recovery_check (&cluster, &requests); /* waits until layers are placed */
  callers
      = sk_callers_start (&cluster, &requests, (unsigned)set->callers, seed);
  traffic_start = sk_now ();
  while (sk_now () < traffic_start + length)
    {
      faults_tick (&cluster, faults, nfaults, sk_now () - traffic_start,
                   set->plan);
      sk_cluster_tick (&cluster, sk_now ());
      tick_sleep ();
    }
  faults_tick (&cluster, faults, nfaults, EL_TIME_NEVER / 2, set->plan);
  sk_cluster_clear_faults (&cluster);
  recovery_check (&cluster, &requests);
  sk_callers_stop (callers);
  sk_cluster_stop (&cluster);
  n = sk_check_invariants (&cluster, &requests, faults, nfaults,
                           traffic_start);
  printf ("seed=%" PRIu64 " faults=%zu broken=%zu\n", seed, nfaults, n);
  fflush (stdout);
  free (requests.list);
  return n;
}

int
main (int argc, const char **argv)
{
  const el_settings_options_t options
      = { .program = "soak",
          .env_prefix = "SOAK",
          .usage = "[OPTION...]",
          .table = table,
          .ntable = sizeof table / sizeof *table };
  soak_settings_t set;
  el_settings_result_t result;
  el_err_t err;
  size_t n = 0;
  uint64_t i;

  memset (&set, 0, sizeof set);
  result = el_settings_parse (&options, argc, argv, &set, NULL, &err);
  if (result == EL_SETTINGS_INVALID)
    {
      fprintf (stderr, "soak: %s\n", err.msg);
      return EL_EXIT_USAGE;
    }
  if (result == EL_SETTINGS_DONE)
    return EXIT_SUCCESS;
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  for (i = 0; i < set.seeds; i++)
    n += seed_run (&set, set.seed + i);
  curl_global_cleanup ();
  el_settings_free (&options, &set);
  return n ? EXIT_FAILURE : EXIT_SUCCESS;
}
