/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Simulation of hosts that share a rate limit, in steps of simulated time.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "limit_sim.h"
#include "map.h"
#include "rate_limit.h"

#define MINUTE (60 * EL_SEC)
#define START (100 * EL_SEC)
/* Times after which another host notices a failure or a new host. */
#define DETECT_MIN (500 * EL_MSEC)
#define DETECT_RANGE (1500 * EL_MSEC)
#define JOIN_RANGE (500 * EL_MSEC)
#define ARRIVALS_MAX 65536

typedef enum fault
{
  FAULT_NONE,
  FAULT_KILLED,
  FAULT_FROZEN,
  FAULT_CUT,
  FAULT_ADDED,
  FAULT_COUNT
} fault_t;

typedef struct host
{
  uint64_t hash;
  fault_t fault;
  el_time_t from; /* of the fault */
  el_time_t until;
  co_borrower_t borrower;
  co_lender_t lender;
  int lending;
  double rate;
  unsigned waiting; /* requests that wait for the lender's answer */
  el_time_t answer_at;
  int answered; /* the pending call will be answered */
  co_loan_t loan;
  el_time_t next_at; /* of the strategies without a lender */
  uint64_t calls;
} host_t;

typedef struct sim
{
  const lsim_options_t *o;
  uint64_t random;
  el_time_t now;
  double rate;
  host_t *hosts; /* in descending order of hash */
  el_time_t arrivals[ARRIVALS_MAX];
  size_t first; /* of the window */
  size_t n;
  uint64_t last_minute;
  double offered; /* integral of the limit */
  double offered_minute;
  lsim_results_t *out;
} sim_t;

static double
fraction (sim_t *sim)
{
  return (double)(el_random (&sim->random) % 1000000) / 1000000;
}

static int
hash_cmp (const void *a, const void *b)
{
  const host_t *x = a;
  const host_t *y = b;

  return (x->hash < y->hash) - (x->hash > y->hash);
}

static void
fault_draw (sim_t *sim, host_t *host)
{
  host->fault = (fault_t)(1 + el_random (&sim->random) % (FAULT_COUNT - 1));
  host->from
      = START + (el_time_t)(fraction (sim) * (double)sim->o->duration * 0.8);
  host->until = host->from + 300 * EL_MSEC
                + (el_time_t)(fraction (sim) * (double)(4 * EL_SEC));
  if (host->fault == FAULT_KILLED)
    host->until = EL_TIME_NEVER;
}

static void
sim_init (sim_t *sim)
{
  size_t i;

  sim->hosts = el_alloc (sim->o->hosts * sizeof *sim->hosts);
  for (i = 0; i < sim->o->hosts; i++)
    {
      sim->hosts[i].hash = el_random (&sim->random);
      sim->hosts[i].rate = sim->rate;
    }
  qsort (sim->hosts, sim->o->hosts, sizeof *sim->hosts, hash_cmp);
  for (i = 0; i < sim->o->faults; i++)
    fault_draw (sim, &sim->hosts[el_random (&sim->random) % sim->o->hosts]);
}

static int
in_fault (const sim_t *sim, const host_t *host)
{
  return sim->now >= host->from && sim->now < host->until;
}

static int
host_runs (const sim_t *sim, const host_t *host)
{
  switch (host->fault)
    {
    case FAULT_KILLED:
    case FAULT_FROZEN:
      return !in_fault (sim, host);
    case FAULT_ADDED:
      return sim->now >= host->from;
    default:
      return 1;
    }
}

/* Whether what HOST sends now counts. */
static int
host_counts (const sim_t *sim, const host_t *host)
{
  if (host->fault == FAULT_NONE)
    return 1;
  if (host->fault == FAULT_ADDED)
    return sim->now >= host->from + SN_LIMIT_CONTACT_TIME;
  return sim->now < host->from
         || (host->until != EL_TIME_NEVER
             && sim->now >= host->until + SN_LIMIT_CONTACT_TIME);
}

/* A fixed time in RANGE that differs for each pair of hosts. */
static el_time_t
pair_delay (const host_t *observer, const host_t *host, el_time_t range)
{
  return (observer->hash * 31 + host->hash) % range;
}

static int
can_talk (const sim_t *sim, const host_t *a, const host_t *b)
{
  return a == b
         || (host_runs (sim, a) && host_runs (sim, b)
             && !(a->fault == FAULT_CUT && in_fault (sim, a))
             && !(b->fault == FAULT_CUT && in_fault (sim, b)));
}

/* Whether OBSERVER takes HOST to be alive. */
static int
host_seen (const sim_t *sim, const host_t *observer, const host_t *host)
{
  const host_t *faulty = host->fault ? host : observer;
  el_time_t lost
      = faulty->from + DETECT_MIN + pair_delay (observer, host, DETECT_RANGE);

  if (observer == host)
    return 1;
  if (host->fault == FAULT_ADDED)
    return sim->now >= host->from + pair_delay (observer, host, JOIN_RANGE);
  if (host->fault != FAULT_NONE)
    return sim->now < lost
           || (host->until != EL_TIME_NEVER
               && sim->now >= host->until
                                  + pair_delay (observer, host, JOIN_RANGE));
  if (observer->fault == FAULT_CUT)
    return sim->now < lost
           || sim->now
                  >= observer->until + pair_delay (observer, host, JOIN_RANGE);
  return 1;
}

static host_t *
lender_of (const sim_t *sim, const host_t *observer)
{
  size_t i;

  for (i = 0; i < sim->o->hosts; i++)
    if (host_seen (sim, observer, &sim->hosts[i]))
      return &sim->hosts[i];
  return NULL;
}

/* The part of the limit that HOST takes for itself under a strategy without a
   lender. */
static double
own_share (const sim_t *sim, const host_t *host)
{
  size_t seen = 0;
  size_t before = 0;
  size_t sharers;
  size_t i;

  for (i = 0; i < sim->o->hosts; i++)
    {
      int alive = host_seen (sim, host, &sim->hosts[i]);

      seen += (size_t)alive;
      before += (size_t)(alive && &sim->hosts[i] < host);
    }
  if (sim->o->strategy == LSIM_ALONE)
    return sim->rate;
  if (sim->o->strategy == LSIM_EVEN)
    return sim->rate / (double)seen;
  sharers = sim->rate < 1 ? 1 : (size_t)sim->rate;
  sharers = sharers < seen ? sharers : seen;
  return before < sharers ? sim->rate / (double)sharers : 0;
}

/* A request of HOST arrives at the endpoint. */
static void
endpoint_arrival (sim_t *sim, const host_t *host)
{
  double share;

  sim->out->sent++;
  sim->last_minute++;
  if (!host_counts (sim, host) || sim->n - sim->first == ARRIVALS_MAX)
    return;
  sim->arrivals[sim->n++ % ARRIVALS_MAX] = sim->now;
  while (sim->arrivals[sim->first % ARRIVALS_MAX] + SN_LIMIT_WINDOW
         <= sim->now)
    sim->first++;
  if (sim->n - sim->first > sim->out->most)
    sim->out->most = (unsigned)(sim->n - sim->first);
  share = (double)(sim->n - sim->first) / sn_limit_allowed (sim->o->rate);
  if (share > sim->out->worst)
    sim->out->worst = share;
}

/* The call of HOST reaches LENDER. */
static void
lender_serve (sim_t *sim, host_t *lender, host_t *host, unsigned wanted)
{
  if (lender_of (sim, lender) != lender)
    {
      lender->lending = 0;
      host->loan = (co_loan_t){ .wait = 200 * EL_MSEC };
      return;
    }
  if (!lender->lending)
    co_lender_open (&lender->lender, sim->now, sim->rate, START);
  else if (lender->rate != sim->rate)
    co_lender_set_rate (&lender->lender, sim->now, sim->rate);
  lender->lending = 1;
  lender->rate = sim->rate;
  host->loan = co_lender_lend (&lender->lender, sim->now, wanted);
}

static void
host_ask (sim_t *sim, host_t *host)
{
  host_t *lender = lender_of (sim, host);
  unsigned wanted = co_borrower_loan (&host->borrower);

  co_borrower_asked (&host->borrower, sim->now);
  host->answered
      = can_talk (sim, host, lender)
        && (lender == host
            || el_random (&sim->random) % 100 >= sim->o->lost_percent);
  if (host->answered)
    lender_serve (sim, lender, host, wanted);
  if (lender != host)
    {
      sim->out->asked++;
      if (++lender->calls > sim->out->busiest)
        sim->out->busiest = lender->calls;
    }
  host->answer_at = sim->now + 2 * sim->o->step;
  if (!host->answered)
    host->answer_at = sim->now + 50 * EL_MSEC;
}

/* Sends a request if there is a token. Returns 0 if it waits for one. */
static int
host_try (sim_t *sim, host_t *host)
{
  if (sim->o->strategy != LSIM_LEND)
    {
      double share = own_share (sim, host);

      if (share > 0 && sim->now >= host->next_at)
        {
          endpoint_arrival (sim, host);
          host->next_at = sim->now + (el_time_t)((double)EL_SEC / share);
        }
      return 1;
    }
  switch (co_borrower_take (&host->borrower, sim->now))
    {
    case CO_TAKE_OK:
      endpoint_arrival (sim, host);
      if (co_borrower_should_prefetch (&host->borrower, sim->now))
        host_ask (sim, host);
      return 1;
    case CO_TAKE_ASK:
      host_ask (sim, host);
      return 0;
    case CO_TAKE_WAIT:
      return 0;
    default:
      return 1;
    }
}

static void
host_request (sim_t *sim, host_t *host)
{
  if (host_runs (sim, host) && !host_try (sim, host))
    host->waiting++;
}

static void
host_answer (sim_t *sim, host_t *host)
{
  unsigned waiting = host->waiting;

  host->answer_at = 0;
  host->waiting = 0;
  co_borrower_answered (&host->borrower, sim->now,
                        host->answered ? &host->loan : NULL);
  while (waiting--)
    host_request (sim, host);
}

static void
set_rate (sim_t *sim, double rate)
{
  size_t i;

  for (i = 0; i < sim->o->hosts; i++)
    co_borrower_rate_changed (&sim->hosts[i].borrower, rate / sim->rate);
  sim->rate = rate;
}

/* The host to which a request comes. */
static host_t *
draw_host (sim_t *sim)
{
  size_t n = sim->o->hosts;
  size_t second = (size_t)(sim->now / EL_SEC);
  size_t i = el_random (&sim->random) % n;

  if (sim->o->demand == LSIM_ONE && fraction (sim) < 0.9)
    i = n / 2;
  if (sim->o->demand == LSIM_MOVING && fraction (sim) < 0.9)
    i = (second % 3 + 3 * (i / 3)) % n;
  return &sim->hosts[i];
}

static void
sim_step (sim_t *sim, double *due)
{
  size_t i;

  for (i = 0; i < sim->o->hosts; i++)
    if (sim->hosts[i].answer_at && sim->now >= sim->hosts[i].answer_at
        && host_runs (sim, &sim->hosts[i]))
      host_answer (sim, &sim->hosts[i]);
  *due += sim->o->rate * sim->o->excess * (double)sim->o->step / (double)EL_SEC
          * -log (1 - fraction (sim));
  for (; *due >= 1; *due -= 1)
    host_request (sim, draw_host (sim));
  sim->offered += sim->rate * (double)sim->o->step / (double)EL_SEC;
  sim->offered_minute += sim->rate * (double)sim->o->step / (double)EL_SEC;
  if ((sim->now - START) % MINUTE || sim->now == START)
    return;
  if ((double)sim->last_minute / sim->offered_minute > sim->out->minute)
    sim->out->minute = (double)sim->last_minute / sim->offered_minute;
  sim->last_minute = 0;
  sim->offered_minute = 0;
}

/** Draws a short schedule with faults, lost calls and changes of the limit. */
void
lsim_draw (lsim_strategy_t strategy, uint64_t seed, lsim_options_t *out)
{
  static const double rates[] = { 0.5, 3.6, 6.9, 50 };

  *out = (lsim_options_t){ .strategy = strategy,
                           .demand = (lsim_demand_t)(seed % LSIM_DEMANDS),
                           .hosts = 2 + seed % 8,
                           .rate = rates[seed / 3 % 4],
                           .excess = 1 + (double)(seed % 5),
                           .duration = 12 * EL_SEC,
                           .step = 5 * EL_MSEC,
                           .faults = (unsigned)(seed % 4),
                           .lost_percent = seed % 7 ? 0 : 20,
                           .halving = seed % 6 == 5,
                           .seed = seed };
}

/** Plays OPTIONS. All hosts know of the limit from the start. */
void
lsim_run (const lsim_options_t *options, lsim_results_t *out)
{
  sim_t *sim = el_alloc (sizeof *sim);
  double due = 0;

  memset (out, 0, sizeof *out);
  sim->o = options;
  sim->out = out;
  sim->random = options->seed * 2 + 1;
  el_random (&sim->random);
  sim->rate = options->rate;
  sim_init (sim);
  for (sim->now = START; sim->now <= START + options->duration;
       sim->now += options->step)
    {
      if (options->halving && (sim->now - START) % EL_SEC == 0)
        set_rate (sim, (sim->now - START) / EL_SEC % 2 ? options->rate / 2
                                                       : options->rate);
      sim_step (sim, &due);
    }
  out->used = (double)out->sent / sim->offered;
  free (sim->hosts);
  free (sim);
}
