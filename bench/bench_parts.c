/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Compares ways to stop requests that share crashing parts of their prompts,
 * on the same seeds: which causes are judged, and with and without trials.
 */
#include <stdlib.h>
#include <string.h>

#include "bench.h"
#include "part_sim.h"

#define SEEDS 40
#define SECONDS 40

static const struct
{
  const char *name;
  part_options_t o;
  unsigned seeds; /* at most */
} cases[] = {
  { "9",
    { .hosts = 9,
      .engines = 6,
      .rate = 62,
      .bad_share = 0.03,
      .bad_parts = 1,
      .bad_customers = 1,
      .place = PART_MIDDLE },
    SEEDS },
  { "9-rare",
    { .hosts = 9,
      .engines = 6,
      .rate = 62,
      .bad_share = 0.005,
      .bad_parts = 1,
      .bad_customers = 1,
      .place = PART_MIDDLE },
    SEEDS },
  { "9-tenth",
    { .hosts = 9,
      .engines = 6,
      .rate = 62,
      .bad_share = 0.1,
      .bad_parts = 1,
      .bad_customers = 1,
      .place = PART_FIRST },
    SEEDS },
  { "9-half",
    { .hosts = 9,
      .engines = 6,
      .rate = 62,
      .bad_share = 0.5,
      .bad_parts = 1,
      .bad_customers = 1,
      .place = PART_MIDDLE },
    SEEDS },
  { "9-customers",
    { .hosts = 9,
      .engines = 6,
      .rate = 62,
      .bad_share = 0.03,
      .bad_parts = 1,
      .bad_customers = 10,
      .place = PART_LAST_SHARED },
    SEEDS },
  { "9-three",
    { .hosts = 9,
      .engines = 6,
      .rate = 62,
      .bad_share = 0.06,
      .bad_parts = 3,
      .bad_customers = 2,
      .place = PART_MIDDLE },
    SEEDS },
  { "9-faults",
    { .hosts = 9,
      .engines = 6,
      .rate = 62,
      .bad_share = 0.03,
      .bad_parts = 1,
      .bad_customers = 1,
      .place = PART_MIDDLE,
      .crash_rate = 0.01,
      .rack_size = 2 },
    SEEDS },
  { "9-innocent",
    { .hosts = 9,
      .engines = 6,
      .rate = 62,
      .bad_customers = 1,
      .crash_rate = 0.02,
      .rack_size = 3 },
    SEEDS },
  { "9-idle",
    { .hosts = 9,
      .idle_hosts = 4,
      .engines = 6,
      .rate = 62,
      .bad_share = 0.08,
      .bad_parts = 1,
      .bad_customers = 5,
      .place = PART_MIDDLE },
    SEEDS },
  { "9-idle-faults",
    { .hosts = 9,
      .idle_hosts = 4,
      .engines = 6,
      .rate = 62,
      .bad_share = 0.08,
      .bad_parts = 1,
      .bad_customers = 5,
      .place = PART_MIDDLE,
      .crash_rate = 0.02,
      .rack_size = 4 },
    SEEDS },
  { "9-idle-three",
    { .hosts = 9,
      .idle_hosts = 4,
      .engines = 6,
      .rate = 62,
      .bad_share = 0.08,
      .bad_parts = 3,
      .bad_customers = 5,
      .place = PART_MIDDLE,
      .crash_rate = 0.01,
      .rack_size = 3 },
    SEEDS },
  { "300",
    { .hosts = 300,
      .engines = 40,
      .rate = 1000,
      .bad_share = 0.01,
      .bad_parts = 1,
      .bad_customers = 1,
      .place = PART_MIDDLE },
    6 },
  { "300-faults",
    { .hosts = 300,
      .engines = 40,
      .rate = 1000,
      .bad_share = 0.01,
      .bad_parts = 1,
      .bad_customers = 3,
      .place = PART_MIDDLE,
      .crash_rate = 0.005,
      .rack_size = 10 },
    6 },
  { "986",
    { .hosts = 986,
      .engines = 120,
      .rate = 3000,
      .bad_share = 0.005,
      .bad_parts = 1,
      .bad_customers = 1,
      .place = PART_MIDDLE },
    2 },
};

static const struct
{
  const char *name;
  int requests_only;
  int no_trials;
  int no_testimony;
} ways[] = {
  { "requests", 1, 1, 1 },
  { "parts", 0, 1, 1 },
  { "parts+trials", 0, 0, 1 },
  { "testimony", 0, 0, 0 },
};

static int
compare (const void *a, const void *b)
{
  size_t left = *(const size_t *)a;
  size_t right = *(const size_t *)b;

  return (left > right) - (left < right);
}

static void
measure (size_t c, size_t w, unsigned seeds)
{
  part_options_t options = cases[c].o;
  part_result_t sum = { 0 };
  part_result_t one;
  size_t before[SEEDS];
  uint64_t begin = bench_ns ();
  double p50 = 0;
  double p99 = 0;
  unsigned seed;

  if (seeds > cases[c].seeds)
    seeds = cases[c].seeds;
  options.requests_only = ways[w].requests_only;
  options.no_trials = ways[w].no_trials;
  options.no_testimony = ways[w].no_testimony;
  options.customers = 10;
  options.delayed_share = 0.02;
  options.seconds = options.hosts > 64 ? SECONDS / 4 : SECONDS;
  for (seed = 1; seed <= seeds; seed++)
    {
      options.seed = seed;
      one = part_sim_run (&options);
      before[seed - 1] = one.before_block;
      sum.crashes += one.crashes;
      sum.late = one.late > sum.late ? one.late : sum.late;
      sum.after_block += one.after_block;
      sum.other_crashes += one.other_crashes;
      sum.sound += one.sound;
      sum.sound_blocked += one.sound_blocked;
      sum.sound_refused += one.sound_refused;
      sum.sound_waited += one.sound_waited;
      sum.testimonies += one.testimonies;
      sum.blocked_parts += one.blocked_parts;
      sum.first_tries += one.first_tries;
      sum.first_begun += one.first_begun;
      p50 = one.wait_p50_ms > p50 ? one.wait_p50_ms : p50;
      p99 = one.wait_p99_ms > p99 ? one.wait_p99_ms : p99;
    }
  qsort (before, seeds, sizeof *before, compare);
  printf ("case=%s way=%s ends=%.2f before_block_p50=%zu "
          "before_block_most=%zu late_most=%zu after_block=%.2f "
          "other_ends=%.1f sound=%.0f sound_blocked=%.3f "
          "sound_refused=%.2f sound_waited=%.1f wait_p50_ms=%.0f "
          "wait_p99_ms=%.0f testimonies=%.1f first_begun=%.4f "
          "parts_blocked=%.2f seeds=%u "
          "ms=%.0f\n",
          cases[c].name, ways[w].name, (double)sum.crashes / seeds,
          before[seeds / 2], before[seeds - 1], sum.late,
          (double)sum.after_block / seeds, (double)sum.other_crashes / seeds,
          (double)sum.sound / seeds, (double)sum.sound_blocked / seeds,
          (double)sum.sound_refused / seeds, (double)sum.sound_waited / seeds,
          p50, p99, (double)sum.testimonies / seeds,
          sum.first_tries ? (double)sum.first_begun / (double)sum.first_tries
                          : 0,
          (double)sum.blocked_parts / seeds, seeds,
          (double)(bench_ns () - begin) / 1e6);
  fflush (stdout);
}

int
main (int argc, char **argv)
{
  unsigned seeds = argc > 1 ? (unsigned)strtoul (argv[1], NULL, 10) : SEEDS;
  size_t c;
  size_t w;

  if (seeds > SEEDS)
    seeds = SEEDS;
  for (c = 0; c < sizeof cases / sizeof *cases; c++)
    for (w = 0; w < sizeof ways / sizeof *ways; w++)
      if ((argc < 3 || strcmp (argv[2], cases[c].name) == 0)
          && (argc < 4 || strcmp (argv[3], ways[w].name) == 0))
        measure (c, w, seeds);
  return EXIT_SUCCESS;
}
