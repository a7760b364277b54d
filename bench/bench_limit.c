/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Compares strategies by which hosts share the rate limit of an endpoint, on
 * the same seeds: how much arrives in the worst four seconds against what is
 * allowed, how much of the limit is used, and what hosts send each other.
 */
#include <stdlib.h>
#include <string.h>

#include "bench.h"
#include "limit_sim.h"

#define SEEDS 4
#define SCHEDULES 100000

static const char *const strategy_names[LSIM_STRATEGIES]
    = { "alone", "even", "few", "lend" };
static const char *const demand_names[LSIM_DEMANDS]
    = { "spread", "one-90", "moving" };
static const size_t host_counts[] = { 2, 7, 9, 60, 300, 986, 1972 };
/* Demand in multiples of the limit. */
#define EXCESS 3
#define EXCESS_LARGE 100
static const double rates[] = { 0.5, 3.6, 6.9, 50 };

static void
measure (lsim_strategy_t strategy, lsim_demand_t demand, size_t hosts,
         double rate, double excess)
{
  lsim_options_t o = { .strategy = strategy,
                       .demand = demand,
                       .hosts = hosts,
                       .rate = rate,
                       .excess = excess,
                       .duration = 120 * EL_SEC,
                       .step = EL_MSEC };
  lsim_results_t sum = { 0 };
  lsim_results_t one;

  for (o.seed = 0; o.seed < SEEDS; o.seed++)
    {
      lsim_run (&o, &one);
      sum.sent += one.sent;
      sum.asked += one.asked;
      sum.used += one.used;
      sum.worst = one.worst > sum.worst ? one.worst : sum.worst;
      sum.minute = one.minute > sum.minute ? one.minute : sum.minute;
      sum.most = one.most > sum.most ? one.most : sum.most;
      sum.busiest = one.busiest > sum.busiest ? one.busiest : sum.busiest;
    }
  printf ("bench=limit way=%s demand=%s excess=%.0f hosts=%zu rate=%.1f "
          "most_in_4s=%u worst_of_allowed=%.2f worst_minute=%.2f used=%.2f "
          "calls_per_s=%.1f busiest_host_calls_per_s=%.1f\n",
          strategy_names[strategy], demand_names[demand], excess, hosts, rate,
          sum.most, sum.worst, sum.minute, sum.used / SEEDS,
          (double)sum.asked / SEEDS / 120, (double)sum.busiest / 120);
  fflush (stdout);
}

/* Short schedules with faults, lost calls and changes of the limit drawn at
   random. */
static void
measure_schedules (lsim_strategy_t strategy, uint64_t n)
{
  lsim_results_t one;
  uint64_t over = 0;
  uint64_t seed;
  double worst = 0;

  for (seed = 0; seed < n; seed++)
    {
      lsim_options_t o;

      lsim_draw (strategy, seed, &o);
      lsim_run (&o, &one);
      over += one.worst > 1;
      worst = one.worst > worst ? one.worst : worst;
    }
  printf ("bench=limit_schedules way=%s schedules=%llu over=%llu "
          "worst_of_allowed=%.2f\n",
          strategy_names[strategy], (unsigned long long)n,
          (unsigned long long)over, worst);
}

int
main (int argc, char **argv)
{
  uint64_t schedules = argc > 1 ? strtoull (argv[1], NULL, 10) : SCHEDULES;
  unsigned s;
  unsigned d;
  size_t h;
  size_t r;

  for (s = 0; s < LSIM_STRATEGIES; s++)
    measure_schedules ((lsim_strategy_t)s, schedules);
  for (h = 0; h < sizeof host_counts / sizeof *host_counts; h++)
    for (r = 0; r < sizeof rates / sizeof *rates; r++)
      for (d = 0; d < LSIM_DEMANDS; d++)
        for (s = 0; s < LSIM_STRATEGIES; s++)
          measure ((lsim_strategy_t)s, (lsim_demand_t)d, host_counts[h],
                   rates[r], EXCESS);
  for (h = 0; h < sizeof host_counts / sizeof *host_counts; h++)
    for (r = 0; r < sizeof rates / sizeof *rates; r++)
      measure (LSIM_LEND, LSIM_SPREAD, host_counts[h], rates[r], EXCESS_LARGE);
  return EXIT_SUCCESS;
}
