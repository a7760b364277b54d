/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Compares strategies for blaming and isolating requests under which engines
 * crashed, on the same seeds: with and without requests that crash engines,
 * and with engines that crash for other reasons.
 */
#include <stdlib.h>
#include <string.h>

#include "bench.h"
#include "blame_sim.h"

#define SEEDS 40
#define SECONDS 90

static const struct
{
  const char *name;
  sim_options_t o;
} scenarios[] = {
  { "small",
    { .hosts = 7,
      .engines = 6,
      .rate = 62,
      .culprits = 1,
      .resubmit_delay_s = 1 } },
  { "small-three",
    { .hosts = 7,
      .engines = 6,
      .rate = 62,
      .culprits = 3,
      .resubmit_delay_s = 1 } },
  { "small-faults",
    { .hosts = 7,
      .engines = 6,
      .rate = 62,
      .culprits = 1,
      .resubmit_delay_s = 1,
      .crash_rate = 0.01,
      .rack_size = 2 } },
  { "small-innocent",
    { .hosts = 7,
      .engines = 6,
      .rate = 62,
      .crash_rate = 0.02,
      .rack_size = 3 } },
  { "small-often",
    { .hosts = 7,
      .engines = 6,
      .rate = 42,
      .frequent_rate = 20,
      .crash_rate = 0.02,
      .rack_size = 3 } },
  { "large",
    { .hosts = 60,
      .engines = 24,
      .rate = 240,
      .culprits = 1,
      .resubmit_delay_s = 0.5 } },
  { "large-faults",
    { .hosts = 60,
      .engines = 24,
      .rate = 240,
      .culprits = 2,
      .resubmit_delay_s = 0.5,
      .crash_rate = 0.01,
      .rack_size = 6 } },
  { "service-of-1",
    { .hosts = 7,
      .engines = 1,
      .rate = 8,
      .culprits = 1,
      .resubmit_delay_s = 0.5,
      .restart_s = 3.1 } },
  { "service-of-2",
    { .hosts = 7,
      .engines = 2,
      .rate = 8,
      .culprits = 1,
      .resubmit_delay_s = 0.5,
      .restart_s = 3.1 } },
  { "service-of-3",
    { .hosts = 7,
      .engines = 3,
      .rate = 8,
      .culprits = 1,
      .resubmit_delay_s = 0.5,
      .restart_s = 3.1 } },
  { "service-of-5",
    { .hosts = 9,
      .engines = 5,
      .rate = 8,
      .culprits = 1,
      .resubmit_delay_s = 0.5,
      .restart_s = 3.1 } },
  { "service-of-3-60-hosts",
    { .hosts = 60,
      .engines = 3,
      .rate = 30,
      .culprits = 1,
      .resubmit_delay_s = 0.1,
      .restart_s = 3.1 } },
  { "service-of-3-faults",
    { .hosts = 7,
      .engines = 3,
      .rate = 4,
      .frequent_rate = 4,
      .crash_rate = 0.02,
      .rack_size = 3,
      .restart_s = 3.1 } },
  { "large-innocent",
    { .hosts = 60,
      .engines = 24,
      .rate = 240,
      .crash_rate = 0.02,
      .rack_size = 12 } },
};

static const struct
{
  const char *name;
  const rt_blame_rule_t *rule;
  int isolation;
  int free_retries;
  int defer_completed;
  sim_doubt_t doubt;
} strategies[] = {
  { "none", NULL, 0, 0, 0, SIM_DOUBT_NONE },
  { "count", &rt_blame_rule_count, 0, 0, 0, SIM_DOUBT_NONE },
  { "count+apart", &rt_blame_rule_count, 1, 0, 0, SIM_DOUBT_NONE },
  { "odds", &rt_blame_rule_odds, 0, 0, 0, SIM_DOUBT_NONE },
  { "odds+apart", &rt_blame_rule_odds, 1, 0, 0, SIM_DOUBT_NONE },
  { "odds+turn", &rt_blame_rule_odds, 2, 0, 0, SIM_DOUBT_NONE },
  { "odds+turn+foremost", &rt_blame_rule_odds, 3, 0, 0, SIM_DOUBT_NONE },
  { "odds+turn+foremost+drop", &rt_blame_rule_odds, 3, 0, 0, SIM_DOUBT_DROP },
  { "odds+turn+foremost+hold", &rt_blame_rule_odds, 3, 0, 0, SIM_DOUBT_HOLD },
  { "odds+turn+foremost+late", &rt_blame_rule_odds, 3, 0, 1, SIM_DOUBT_NONE },
  { "odds+apart+patient", &rt_blame_rule_odds, 1, 1, 0, SIM_DOUBT_NONE },
  { "odds+turn+patient", &rt_blame_rule_odds, 2, 1, 0, SIM_DOUBT_NONE },
};

static void
sum_add (sim_result_t *sum, const sim_result_t *one)
{
  sum->sends += one->sends;
  sum->culprit_crashes += one->culprit_crashes;
  sum->late = one->late > sum->late ? one->late : sum->late;
  sum->other_crashes += one->other_crashes;
  sum->streams += one->streams;
  sum->refused += one->refused;
  sum->failed += one->failed;
  sum->broken += one->broken;
  sum->blocked += one->blocked;
}

static void
measure (size_t c, size_t w, unsigned seeds)
{
  sim_options_t options = scenarios[c].o;
  sim_result_t sum = { 0 };
  sim_result_t one;
  double max_ended = 0;
  uint64_t begin = bench_ns ();
  unsigned seed;

  options.rule = strategies[w].rule;
  options.isolation = strategies[w].isolation;
  options.free_retries = strategies[w].free_retries;
  options.defer_completed = strategies[w].defer_completed;
  options.doubt = strategies[w].doubt;
  options.seconds = SECONDS;
  options.delayed_share = 0.02;
  for (seed = 1; seed <= seeds; seed++)
    {
      options.seed = seed;
      one = sim_run (&options);
      sum_add (&sum, &one);
      if ((double)one.culprit_crashes > max_ended)
        max_ended = (double)one.culprit_crashes;
    }
  printf ("case=%s way=%s deadly_sends=%.1f engines_ended=%.2f most=%.0f "
          "late_sends_most=%zu other_ends=%.1f broken=%.0f failed=%.1f "
          "of=%.0f innocents_blocked=%.3f blocked=%.2f ms=%.0f\n",
          scenarios[c].name, strategies[w].name, (double)sum.sends / seeds,
          (double)sum.culprit_crashes / seeds, max_ended, sum.late,
          (double)sum.other_crashes / seeds, (double)sum.broken / seeds,
          (double)sum.failed / seeds, (double)sum.streams / seeds,
          (double)sum.refused / seeds, (double)sum.blocked / seeds,
          (double)(bench_ns () - begin) / 1e6);
  fflush (stdout);
}

/* Whether to measure a strategy. The patient ones, which are not in use and
   take minutes, run only if named. */
static int
selected (size_t w, const char *name)
{
  return name ? strcmp (name, strategies[w].name) == 0
              : !strategies[w].free_retries;
}

int
main (int argc, char **argv)
{
  unsigned seeds = argc > 1 ? (unsigned)strtoul (argv[1], NULL, 10) : SEEDS;
  size_t c;
  size_t w;

  for (c = 0; c < sizeof scenarios / sizeof *scenarios; c++)
    for (w = 0; w < sizeof strategies / sizeof *strategies; w++)
      if ((argc < 3 || strcmp (argv[2], scenarios[c].name) == 0)
          && selected (w, argc > 3 ? argv[3] : NULL))
        measure (c, w, seeds);
  return EXIT_SUCCESS;
}
