/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Compares strategies for reacting to endpoints that ask for back-off, on the
 * same seeds. Many hosts each choose endpoints with the code of rt_fleet;
 * endpoints reject requests because they are full or because a fault is
 * injected. Endpoints are simulated in steps of a millisecond, in simulated
 * time.
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
#define SIM_TIME (24 * EL_SEC)
#define HOSTS_MAX 570
#define ENDPOINTS_MAX 64
#define SENDS_MAX 4
/* Delay until an accepted stream starts to be answered. */
#define FIRST_EVENT_DELAY (50 * EL_MSEC)
/* Approximate time for a gossip message to reach all hosts. */
#define GOSSIP_DELAY (20 * EL_MSEC)
#define BACKOFF_TIME (3 * EL_SEC)
#define FAULT_FROM (5 * EL_SEC)
#define FAULT_TIME (9 * EL_SEC)
#define SERVICE EL_STR ("s")
#define HALL EL_STR ("h")

typedef struct strategy
{
  const char *name;
  int backs_off; /* hosts wait for the requested time */
  int jitter;    /* hosts return at different times */
  int trial;     /* each host sends one trial request first */
  int gossip;    /* other hosts avoid the endpoint, too */
  int halve;     /* at first a host sends it half of its previous load */
} strategy_t;

static const strategy_t strategies[] = {
  { .name = "aside-100ms" },
  { .name = "rest", .backs_off = 1 },
  { .name = "rest-spread", .backs_off = 1, .jitter = 1 },
  { .name = "rest-first", .backs_off = 1, .trial = 1 },
  { .name = "rest-spread-first", .backs_off = 1, .jitter = 1, .trial = 1 },
  { .name = "rest-spread-first-told",
    .backs_off = 1,
    .jitter = 1,
    .trial = 1,
    .gossip = 1 },
  { .name = "rest-spread-first-limit",
    .backs_off = 1,
    .jitter = 1,
    .trial = 1,
    .halve = 1 },
};

/* Behaviour of the endpoints during the fault. */
typedef enum shed
{
  SHED_IN_TURN,     /* one endpoint after another rejects all */
  SHED_HALF,        /* half of them reject 40 % */
  SHED_ALL_BUT_ONE, /* all but one reject all */
  SHED_BURST,       /* no injected rejections, but more load than capacity */
  SHED_COUNT
} shed_t;

static const char *const shed_names[SHED_COUNT]
    = { "one-after-another", "half-some", "all-but-one", "burst" };

static const struct
{
  const char *name;
  unsigned hosts;
  unsigned endpoints;
  unsigned slots;
  unsigned queue; /* requests that may wait for a slot */
  el_time_t runs; /* mean duration of a request */
  double load;    /* fraction of the slots in use */
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
  el_time_t backoff_until[HOSTS_MAX]; /* end of the back-off for each host, as
                                         the endpoint counts it */
} endpoint_t;

typedef struct results
{
  uint64_t requests;
  uint64_t sends;
  uint64_t rejected; /* sends rejected */
  uint64_t in_rest;  /* of these, sent during back-off */
  uint64_t rests;
  uint64_t refused; /* requests that no endpoint accepted */
  uint64_t peak;    /* most sends to an endpoint in 50 ms, percent of slots */
  uint64_t worst;   /* lowest share served in a second, percent */
} results_t;

typedef struct sim
{
  const strategy_t *strategy;
  unsigned site;
  shed_t shed;
  uint64_t random;
  el_time_t now;
  rt_fleet_t *fleets[HOSTS_MAX];
  rt_target_t *targets[HOSTS_MAX][ENDPOINTS_MAX];
  double limits[HOSTS_MAX][ENDPOINTS_MAX]; /* in flight; 0: no limit */
  endpoint_t endpoints[ENDPOINTS_MAX];
  unsigned recent_sends[ENDPOINTS_MAX];
  results_t f;
  uint64_t second_requests;
  uint64_t second_served;
} sim_t;

static double
random_fraction (sim_t *sim)
{
  return (double)(el_random (&sim->random) % 1000000) / 1000000;
}

/* The sum of three random numbers keeps most durations close to the mean. */
static el_time_t
random_duration (sim_t *sim)
{
  return (el_time_t)((double)sites[sim->site].runs
                     * (random_fraction (sim) + random_fraction (sim)
                        + random_fraction (sim))
                     / 1.5);
}

static int
in_fault (const sim_t *sim)
{
  return sim->now >= FAULT_FROM && sim->now < FAULT_FROM + FAULT_TIME;
}

/* Whether endpoint I rejects a request. */
static int
endpoint_rejects (sim_t *sim, unsigned i)
{
  unsigned n = sites[sim->site].endpoints;
  unsigned turn = (unsigned)((sim->now - FAULT_FROM) / (FAULT_TIME / 3));

  if (sim->endpoints[i].n >= sites[sim->site].slots + sites[sim->site].queue)
    return 1;
  if (!in_fault (sim))
    return 0;
  switch (sim->shed)
    {
    case SHED_IN_TURN:
      return i == turn % n;
    case SHED_HALF:
      return i < (n + 1) / 2 && random_fraction (sim) < 0.4;
    case SHED_ALL_BUT_ONE:
      return i > 0;
    default:
      return 0;
    }
}

static void
endpoint_accept (sim_t *sim, unsigned host, unsigned i)
{
  endpoint_t *endpoint = &sim->endpoints[i];
  unsigned slots = sites[sim->site].slots;
  run_t *run = el_alloc (sizeof *run);

  run->host = host;
  run->began = sim->now;
  run->end = sim->now + random_duration (sim) * (endpoint->n / slots + 1);
  run->next = endpoint->running;
  endpoint->running = run;
  endpoint->n++;
}

/* Handles a rejection at HOST. */
static void
host_handle_rejection (sim_t *sim, unsigned host, unsigned i)
{
  const strategy_t *strategy = sim->strategy;
  rt_target_t *target = sim->targets[host][i];
  unsigned other;

  rt_target_busy (target, sim->now);
  if (!strategy->backs_off)
    return;
  sim->f.rests
      += rt_avail_backoff (&target->avail, sim->now, BACKOFF_TIME,
                           strategy->jitter ? el_random (&sim->random) : 0);
  if (!strategy->trial)
    target->avail.trial = 0;
  if (strategy->halve)
    sim->limits[host][i] = target->running > 1 ? target->running / 2.0 : 1;
  for (other = 0; strategy->gossip && other < sites[sim->site].hosts; other++)
    rt_avail_busy (&sim->targets[other][i]->avail, sim->now,
                   GOSSIP_DELAY + BACKOFF_TIME / 3);
}

/* Sends to the endpoint that HOST picks; returns 1 if the request may be sent
   again, 0 if it was accepted or no endpoint is left. */
static int
host_send (sim_t *sim, unsigned host, rt_tried_t *tried, int *served)
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
  sim->recent_sends[i]++;
  if (!endpoint_rejects (sim, i))
    {
      endpoint_accept (sim, host, i);
      target->running++;
      if (sim->limits[host][i] > 0)
        sim->limits[host][i] += 0.1;
      *served = 1;
      return 0;
    }
  sim->f.rejected++;
  sim->f.in_rest += sim->now < endpoint->backoff_until[host];
  if (sim->now >= endpoint->backoff_until[host])
    endpoint->backoff_until[host] = sim->now + BACKOFF_TIME;
  host_handle_rejection (sim, host, i);
  rt_tried_add (tried, target);
  return 1;
}

static void
sim_request (sim_t *sim)
{
  unsigned host
      = (unsigned)(el_random (&sim->random) % sites[sim->site].hosts);
  rt_tried_t tried = { .n = 0 };
  uint64_t before = sim->f.sends;
  int served = 0;

  while (sim->f.sends < before + SENDS_MAX
         && host_send (sim, host, &tried, &served))
    ;
  sim->f.requests++;
  sim->f.refused += !served;
  sim->second_requests++;
  sim->second_served += (uint64_t)served;
}

static void
run_answer (sim_t *sim, run_t *run, unsigned i)
{
  if (run->answered
      || (sim->now < run->began + FIRST_EVENT_DELAY && sim->now < run->end))
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

      run_answer (sim, run, i);
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
update_peak (sim_t *sim)
{
  unsigned i;

  for (i = 0; i < sites[sim->site].endpoints; i++)
    {
      uint64_t percent
          = 100ULL * sim->recent_sends[i] / sites[sim->site].slots;

      if (sim->now > FAULT_FROM && percent > sim->f.peak)
        sim->f.peak = percent;
      sim->recent_sends[i] = 0;
    }
}

static void
update_worst (sim_t *sim)
{
  uint64_t percent = sim->second_requests
                         ? 100 * sim->second_served / sim->second_requests
                         : 100;

  if (sim->now > EL_SEC && percent < sim->f.worst)
    sim->f.worst = percent;
  sim->second_requests = sim->second_served = 0;
}

static void
sim_init (sim_t *sim)
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
sim_free (sim_t *sim)
{
  unsigned i;

  sim->now = EL_TIME_NEVER;
  for (i = 0; i < sites[sim->site].endpoints; i++)
    endpoint_step (sim, i);
  for (i = 0; i < sites[sim->site].hosts; i++)
    rt_fleet_free (sim->fleets[i]);
}

/* Mean number of requests that arrive in a step. */
static double
arrivals_per_step (const sim_t *sim)
{
  double slots = (double)sites[sim->site].endpoints * sites[sim->site].slots;
  double load = sites[sim->site].load;

  if (sim->shed == SHED_BURST && in_fault (sim))
    load *= 2.4;
  return load * slots / (double)sites[sim->site].runs * (double)STEP;
}

static void
sim_run (const strategy_t *strategy, unsigned site, shed_t shed, uint64_t seed,
         results_t *sum)
{
  sim_t *sim = el_alloc (sizeof *sim);
  double due = 0;
  unsigned arrivals;
  unsigned i;

  sim->strategy = strategy;
  sim->site = site;
  sim->shed = shed;
  sim->random = seed * 2 + 1;
  sim->f.worst = 100;
  sim_init (sim);
  for (sim->now = EL_MSEC; sim->now < SIM_TIME; sim->now += STEP)
    {
      for (i = 0; i < sites[site].endpoints; i++)
        endpoint_step (sim, i);
      due += arrivals_per_step (sim) * 2 * random_fraction (sim);
      arrivals = (unsigned)due;
      due -= arrivals;
      while (arrivals--)
        sim_request (sim);
      if (sim->now % (50 * EL_MSEC) == 0)
        update_peak (sim);
      if (sim->now % EL_SEC == 0)
        update_worst (sim);
    }
  sum->requests += sim->f.requests;
  sum->sends += sim->f.sends;
  sum->rejected += sim->f.rejected;
  sum->in_rest += sim->f.in_rest;
  sum->rests += sim->f.rests;
  sum->refused += sim->f.refused;
  sum->peak += sim->f.peak;
  sum->worst += sim->f.worst;
  sim_free (sim);
  free (sim);
}

static void
measure (const strategy_t *strategy, unsigned site, shed_t shed)
{
  unsigned seeds = sites[site].hosts < HOSTS_LARGE ? SEEDS : SEEDS_LARGE;
  uint64_t began = bench_ns ();
  results_t f = { 0 };
  uint64_t seed;

  for (seed = 0; seed < seeds; seed++)
    sim_run (strategy, site, shed, seed, &f);
  printf ("bench=rest site=%s shed=%s way=%s requests=%.0f away_percent=%.2f "
          "in_rest=%.1f rests=%.0f refused_percent=%.2f peak_percent=%.0f "
          "worst_second_percent=%.0f ns_per_send=%.0f\n",
          sites[site].name, shed_names[shed], strategy->name,
          (double)f.requests / seeds,
          100.0 * (double)f.rejected / (double)f.sends,
          (double)f.in_rest / seeds, (double)f.rests / seeds,
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
  unsigned strategy;

  for (site = 0; site < sizeof sites / sizeof *sites; site++)
    for (shed = 0; shed < SHED_COUNT; shed++)
      for (strategy = 0; strategy < sizeof strategies / sizeof *strategies;
           strategy++)
        if (argc < 2 || strcmp (argv[1], sites[site].name) == 0)
          measure (&strategies[strategy], site, (shed_t)shed);
  return EXIT_SUCCESS;
}
