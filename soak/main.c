/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Runs the seeds that it is given, one after the other; ends with 1 when a
 * promise was broken.
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

#define STEP_NS 10000000
/* After the last fault all hosts serve again within this. */
#define RECOVERY (15 * EL_SEC)

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
} soak_settings_t;

#define AT(field) offsetof (soak_settings_t, field)

static const el_setting_t table[] = {
  { "bin", EL_SETTING_STRING, AT (bin), "build/bin", 1, 255, 0, "DIR",
    "the programs" },
  { "dir", EL_SETTING_STRING, AT (dir), "build/soak", 1, 200, 0, "DIR",
    "for logs and records, a folder for each seed" },
  { "seed", EL_SETTING_U64, AT (seed), "1", 0, UINT32_MAX, 0, "N",
    "the first seed" },
  { "seeds", EL_SETTING_U64, AT (seeds), "1", 1, 100000, 0, "N", "how many" },
  { "seconds", EL_SETTING_U64, AT (seconds), "12", 1, 86400, 0, "S",
    "faults of one seed, 64 at the most" },
  { "callers", EL_SETTING_U64, AT (callers), "12", 1, 256, 0, "N", "threads" },
  { "plan", EL_SETTING_FLAG, AT (plan), "0", 0, 1, 0, NULL,
    "print the faults as they strike" },
  { "asks", EL_SETTING_FLAG, AT (asks), "0", 0, 1, 0, NULL,
    "have members ask for rest, and say that they leave, besides" },
  { "copies", EL_SETTING_FLAG, AT (copies), "0", 0, 1, 0, NULL,
    "have the store go on from copies of itself, in place of most faults" },
};

/* Begin and end what is due. */
static void
faults_look (sk_world_t *world, sk_fault_t *faults, size_t n, el_time_t at,
             int print)
{
  size_t i;

  for (i = 0; i < n; i++)
    {
      sk_fault_t *fault = &faults[i];

      if (!fault->begun && at >= fault->at)
        {
          if (print)
            printf ("at_ms=%" PRIu64 " fault=%s which=%u how=%u ms=%" PRIu64
                    "\n",
                    fault->at / EL_MSEC, sk_kind_name (fault->kind),
                    fault->which, fault->how, fault->lasts / EL_MSEC);
          sk_fault_begin (world, fault);
        }
      if (fault->begun && !fault->over && at >= fault->at + fault->lasts)
        sk_fault_end (world, fault);
    }
}

static void
step (void)
{
  const struct timespec wait = { 0, STEP_NS };

  nanosleep (&wait, NULL);
}

/* All hosts serve all kinds of requests again. */
static void
recovery_check (sk_world_t *world, sk_seen_t *seen)
{
  el_time_t until = sk_now () + RECOVERY;
  unsigned host = 0;
  unsigned kind = 0;

  while (host < SK_HOSTS && sk_now () < until)
    {
      sk_world_tick (world, sk_now ());
      if (!sk_caller_probe (world, seen, host, (sk_request_kind_t)kind))
        {
          step ();
          continue;
        }
      kind = (kind + 1) % SK_REQUEST_KINDS;
      host += kind == 0;
    }
  if (host < SK_HOSTS)
    sk_broken ("recovery", "-", "host %u does not serve kind %u", host, kind);
}

/* A folder for the logs of one seed; what members noted in an earlier run of
   it must not count again. */
static void
dir_make (const soak_settings_t *set, uint64_t seed, char *out, size_t size)
{
  char record[300];

  snprintf (out, size, "%s/%" PRIu64, set->dir, seed);
  mkdir (set->dir, 0700);
  mkdir (out, 0700);
  snprintf (record, sizeof record, "%s/runs", out);
  unlink (record);
  snprintf (record, sizeof record, "%s/runs.asked", out);
  unlink (record);
}

static size_t
seed_run (const soak_settings_t *set, uint64_t seed)
{
  sk_fault_t faults[2 * SK_FAULTS_MAX];
  sk_seen_t seen = { .lock = PTHREAD_MUTEX_INITIALIZER };
  el_time_t length = set->seconds * EL_SEC;
  size_t nfaults = set->copies ? sk_plan_copies (seed, length, faults)
                               : sk_plan (seed, length, faults);
  sk_callers_t *callers;
  sk_world_t world;
  el_time_t begun;
  char dir[256];
  size_t n;

  if (set->asks)
    nfaults += sk_plan_asks (seed, length, &faults[nfaults]);
  dir_make (set, seed, dir, sizeof dir);
  sk_world_open (&world, set->bin, dir);
  recovery_check (&world, &seen); /* the layers are placed */
  callers = sk_callers_start (&world, &seen, (unsigned)set->callers, seed);
  begun = sk_now ();
  while (sk_now () < begun + length)
    {
      faults_look (&world, faults, nfaults, sk_now () - begun, set->plan);
      sk_world_tick (&world, sk_now ());
      step ();
    }
  faults_look (&world, faults, nfaults, EL_TIME_NEVER / 2, set->plan);
  sk_world_calm (&world);
  recovery_check (&world, &seen);
  sk_callers_stop (callers);
  sk_world_close (&world);
  n = sk_check (&world, &seen, faults, nfaults, begun);
  printf ("seed=%" PRIu64 " faults=%zu broken=%zu\n", seed, nfaults, n);
  fflush (stdout);
  free (seen.list);
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
