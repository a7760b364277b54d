/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Ways to take it that endpoints ask for rest, on the same seeds: many hosts
 * that each choose by the fleet's own code, endpoints that turn requests away
 * because they are full, or whether they are or not. Arithmetic endpoints in
 * steps of a millisecond; nothing here reads a clock but to time the runs.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"
#include "relay.h"

#define SEEDS 10
#define SEEDS_LARGE 2
#define HOSTS_LARGE 300
#define STEP EL_MSEC
#define LENGTH (24 * EL_SEC)
#define HOSTS_MOST 570
#define ENDPOINTS_MAX 64
#define SENDS_MAX 4
/* A stream that was taken begins to be answered after this. */
#define ANSWER (50 * EL_MSEC)
/* A news passes from one host to all in about this. */
#define NEWS (20 * EL_MSEC)
#define ASKED (3 * EL_SEC)
#define FAULT_FROM (5 * EL_SEC)
#define FAULT_LASTS (9 * EL_SEC)
#define SERVICE EL_STR ("s")
#define HALL EL_STR ("h")

typedef struct way
{
  const char *name;
  int rests;  /* the time asked for is kept to */
  int spread; /* hosts come back one after another */
  int trial;  /* one request of a host goes first */
  int told;   /* other hosts set the endpoint aside, too */
  int limit;  /* a host sends it half as much as before at first */
} way_t;

static const way_t ways[] = {
  { .name = "aside-100ms" },
  { .name = "rest", .rests = 1 },
  { .name = "rest-spread", .rests = 1, .spread = 1 },
  { .name = "rest-first", .rests = 1, .trial = 1 },
  { .name = "rest-spread-first", .rests = 1, .spread = 1, .trial = 1 },
  { .name = "rest-spread-first-told",
    .rests = 1,
    .spread = 1,
    .trial = 1,
    .told = 1 },
  { .name = "rest-spread-first-limit",
    .rests = 1,
    .spread = 1,
    .trial = 1,
    .limit = 1 },
};

/* What an endpoint does in the fault. */
typedef enum shed
{
  SHED_ALL,  /* one after another turns all away */
  SHED_SOME, /* half of them turn four in ten away */
  SHED_MOST, /* all but one turn all away */
  SHED_FULL, /* none; more requests come than there is room for */
  SHEDS
} shed_t;

static const char *const sheds[SHEDS]
    = { "one-after-another", "half-some", "all-but-one", "burst" };

static const struct
{
  const char *name;
  unsigned hosts;
  unsigned endpoints;
  unsigned slots;
  unsigned queue; /* requests that may wait for a slot */
  el_time_t runs; /* mean */
  double load;    /* share of the slots in use */
} sites[] = {
  { "plain", 7, 3, 6, 24, 20 * EL_MSEC, 0.5 },
  { "small", 7, 5, 192, 96, 2 * EL_SEC, 0.5 },
  { "grown", 64, 9, 192, 96, 2 * EL_SEC, 0.5 },
  { "target", 570, 60, 192, 96, 2 * EL_SEC, 0.5 },
};

typedef struct run
{
  el_time_t end;
  unsigned host;
  el_time_t began;
  int answered;
  struct run *next;
} run_t;

typedef struct endpoint
{
  run_t *running;
  unsigned n;
  el_time_t asked[HOSTS_MOST]; /* each host's rest, as the endpoint counts */
} endpoint_t;

typedef struct figures
{
  uint64_t requests;
  uint64_t sends;
  uint64_t away;    /* turned away */
  uint64_t in_rest; /* of these, in a rest */
  uint64_t rests;
  uint64_t refused; /* requests */
  uint64_t peak;    /* most that one endpoint got in 50 ms, against its slots,
                       percent */
  uint64_t worst;   /* least served of a second's requests, percent */
} figures_t;

typedef struct sim
{
  const way_t *way;
  unsigned site;
  shed_t shed;
  uint64_t random;
  el_time_t now;
  rt_fleet_t *fleets[HOSTS_MOST];
  rt_target_t *targets[HOSTS_MOST][ENDPOINTS_MAX];
  double limits[HOSTS_MOST][ENDPOINTS_MAX]; /* 0: none */
  endpoint_t endpoints[ENDPOINTS_MAX];
  unsigned lately[ENDPOINTS_MAX];
  figures_t f;
  uint64_t second_asked;
  uint64_t second_served;
} sim_t;

static double
draw (sim_t *sim)
{
  return (double)(el_random (&sim->random) % 1000000) / 1000000;
}

/* A sum of three draws of the same mean: most runs are near it. */
static el_time_t
run_draw (sim_t *sim)
{
  return (el_time_t)((double)sites[sim->site].runs
                     * (draw (sim) + draw (sim) + draw (sim)) / 1.5);
}

static int
in_fault (const sim_t *sim)
{
  return sim->now >= FAULT_FROM && sim->now < FAULT_FROM + FAULT_LASTS;
}

/* Whether endpoint I turns a request away. */
static int
turns_away (sim_t *sim, unsigned i)
{
  unsigned n = sites[sim->site].endpoints;
  unsigned turn = (unsigned)((sim->now - FAULT_FROM) / (FAULT_LASTS / 3));

  if (sim->endpoints[i].n >= sites[sim->site].slots + sites[sim->site].queue)
    return 1;
  if (!in_fault (sim))
    return 0;
  switch (sim->shed)
    {
    case SHED_ALL:
      return i == turn % n;
    case SHED_SOME:
      return i < (n + 1) / 2 && draw (sim) < 0.4;
    case SHED_MOST:
      return i > 0;
    default:
      return 0;
    }
}

static void
endpoint_takes (sim_t *sim, unsigned host, unsigned i)
{
  endpoint_t *endpoint = &sim->endpoints[i];
  unsigned slots = sites[sim->site].slots;
  run_t *run = el_alloc (sizeof *run);

  run->host = host;
  run->began = sim->now;
  run->end = sim->now + run_draw (sim) * (endpoint->n / slots + 1);
  run->next = endpoint->running;
  endpoint->running = run;
  endpoint->n++;
}

/* The host hears that it was turned away. */
static void
host_hears (sim_t *sim, unsigned host, unsigned i)
{
  const way_t *way = sim->way;
  rt_target_t *target = sim->targets[host][i];
  unsigned other;

  rt_target_busy (target, sim->now);
  if (!way->rests)
    return;
  sim->f.rests
      += rt_avail_backoff (&target->avail, sim->now, ASKED,
                           way->spread ? el_random (&sim->random) : 0);
  if (!way->trial)
    target->avail.trial = 0;
  if (way->limit)
    sim->limits[host][i] = target->running > 1 ? target->running / 2.0 : 1;
  for (other = 0; way->told && other < sites[sim->site].hosts; other++)
    rt_avail_busy (&sim->targets[other][i]->avail, sim->now, NEWS + ASKED / 3);
}

/* Send to the endpoint that HOST chooses; gives 0 when there is none. */
static int
host_sends (sim_t *sim, unsigned host, rt_tried_t *tried, int *served)
{
  rt_target_t *target
      = rt_fleet_pick (sim->fleets[host], sim->now, SERVICE, HALL, tried);
  endpoint_t *endpoint;
  unsigned i;

  if (!target)
    return 0;
  i = (unsigned)strtoul (target->attrs.id.ptr, NULL, 10);
  if (sim->limits[host][i] > 0 && target->running >= sim->limits[host][i])
    {
      rt_tried_add (tried, target);
      return tried->n < RT_TRIED_MAX;
    }
  endpoint = &sim->endpoints[i];
  rt_avail_sent (&target->avail, sim->now);
  sim->f.sends++;
  sim->lately[i]++;
  if (!turns_away (sim, i))
    {
      endpoint_takes (sim, host, i);
      target->running++;
      if (sim->limits[host][i] > 0)
        sim->limits[host][i] += 0.1;
      *served = 1;
      return 0;
    }
  sim->f.away++;
  sim->f.in_rest += sim->now < endpoint->asked[host];
  if (sim->now >= endpoint->asked[host])
    endpoint->asked[host] = sim->now + ASKED;
  host_hears (sim, host, i);
  rt_tried_add (tried, target);
  return 1;
}

static void
request (sim_t *sim)
{
  unsigned host
      = (unsigned)(el_random (&sim->random) % sites[sim->site].hosts);
  rt_tried_t tried = { .n = 0 };
  uint64_t before = sim->f.sends;
  int served = 0;

  while (sim->f.sends < before + SENDS_MAX
         && host_sends (sim, host, &tried, &served))
    ;
  sim->f.requests++;
  sim->f.refused += !served;
  sim->second_asked++;
  sim->second_served += (uint64_t)served;
}

static void
run_answers (sim_t *sim, run_t *run, unsigned i)
{
  if (run->answered || (sim->now < run->began + ANSWER && sim->now < run->end))
    return;
  run->answered = 1;
  rt_avail_answered (&sim->targets[run->host][i]->avail);
}

static void
endpoint_step (sim_t *sim, unsigned i)
{
  endpoint_t *endpoint = &sim->endpoints[i];
  run_t **at = &endpoint->running;
  run_t *run;

  while ((run = *at))
    {
      rt_target_t *target = sim->targets[run->host][i];

      run_answers (sim, run, i);
      if (run->end > sim->now)
        {
          at = &run->next;
          continue;
        }
      target->running--;
      rt_target_succeeded (target, sim->now - run->began);
      *at = run->next;
      endpoint->n--;
      free (run);
    }
}

static void
peaks_look (sim_t *sim)
{
  unsigned i;

  for (i = 0; i < sites[sim->site].endpoints; i++)
    {
      uint64_t part = 100ULL * sim->lately[i] / sites[sim->site].slots;

      if (sim->now > FAULT_FROM && part > sim->f.peak)
        sim->f.peak = part;
      sim->lately[i] = 0;
    }
}

static void
second_look (sim_t *sim)
{
  uint64_t part
      = sim->second_asked ? 100 * sim->second_served / sim->second_asked : 100;

  if (sim->now > EL_SEC && part < sim->f.worst)
    sim->f.worst = part;
  sim->second_asked = sim->second_served = 0;
}

static void
sim_open (sim_t *sim)
{
  char id[16];
  unsigned h;
  unsigned i;

  for (h = 0; h < sites[sim->site].hosts; h++)
    {
      sim->fleets[h] = rt_fleet_new (h * 2 + 1);
      for (i = 0; i < sites[sim->site].endpoints; i++)
        {
          rt_attrs_t attrs = { .service = SERVICE,
                               .address = SERVICE,
                               .hall = HALL,
                               .slots = sites[sim->site].slots };

          snprintf (id, sizeof id, "%u", i);
          attrs.id = el_str (id);
          sim->targets[h][i] = rt_fleet_update (sim->fleets[h], &attrs);
        }
    }
}

static void
sim_close (sim_t *sim)
{
  unsigned i;

  sim->now = EL_TIME_NEVER;
  for (i = 0; i < sites[sim->site].endpoints; i++)
    endpoint_step (sim, i);
  for (i = 0; i < sites[sim->site].hosts; i++)
    rt_fleet_free (sim->fleets[i]);
}

/* Requests that come in a step, on the mean. */
static double
rate (const sim_t *sim)
{
  double slots = (double)sites[sim->site].endpoints * sites[sim->site].slots;
  double load = sites[sim->site].load;

  if (sim->shed == SHED_FULL && in_fault (sim))
    load *= 2.4;
  return load * slots / (double)sites[sim->site].runs * (double)STEP;
}

static void
sim_play (const way_t *way, unsigned site, shed_t shed, uint64_t seed,
          figures_t *sum)
{
  sim_t *sim = el_alloc (sizeof *sim);
  double due = 0;
  unsigned come;
  unsigned i;

  sim->way = way;
  sim->site = site;
  sim->shed = shed;
  sim->random = seed * 2 + 1;
  sim->f.worst = 100;
  sim_open (sim);
  for (sim->now = EL_MSEC; sim->now < LENGTH; sim->now += STEP)
    {
      for (i = 0; i < sites[site].endpoints; i++)
        endpoint_step (sim, i);
      due += rate (sim) * 2 * draw (sim);
      come = (unsigned)due;
      due -= come;
      while (come--)
        request (sim);
      if (sim->now % (50 * EL_MSEC) == 0)
        peaks_look (sim);
      if (sim->now % EL_SEC == 0)
        second_look (sim);
    }
  sum->requests += sim->f.requests;
  sum->sends += sim->f.sends;
  sum->away += sim->f.away;
  sum->in_rest += sim->f.in_rest;
  sum->rests += sim->f.rests;
  sum->refused += sim->f.refused;
  sum->peak += sim->f.peak;
  sum->worst += sim->f.worst;
  sim_close (sim);
  free (sim);
}

static void
measure (const way_t *way, unsigned site, shed_t shed)
{
  unsigned seeds = sites[site].hosts < HOSTS_LARGE ? SEEDS : SEEDS_LARGE;
  uint64_t began = bench_ns ();
  figures_t f = { 0 };
  uint64_t seed;

  for (seed = 0; seed < seeds; seed++)
    sim_play (way, site, shed, seed, &f);
  printf ("bench=rest site=%s shed=%s way=%s requests=%.0f away_percent=%.2f "
          "in_rest=%.1f rests=%.0f refused_percent=%.2f peak_percent=%.0f "
          "worst_second_percent=%.0f ns_per_send=%.0f\n",
          sites[site].name, sheds[shed], way->name, (double)f.requests / seeds,
          100.0 * (double)f.away / (double)f.sends, (double)f.in_rest / seeds,
          (double)f.rests / seeds,
          100.0 * (double)f.refused / (double)f.requests,
          (double)f.peak / seeds, (double)f.worst / seeds,
          (double)(bench_ns () - began) / (double)f.sends);
  fflush (stdout);
}

int
main (int argc, char **argv)
{
  unsigned site;
  unsigned shed;
  unsigned way;

  for (site = 0; site < sizeof sites / sizeof *sites; site++)
    for (shed = 0; shed < SHEDS; shed++)
      for (way = 0; way < sizeof ways / sizeof *ways; way++)
        if (argc < 2 || strcmp (argv[1], sites[site].name) == 0)
          measure (&ways[way], site, (shed_t)shed);
  return EXIT_SUCCESS;
}
