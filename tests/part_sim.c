/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Simulation of hosts, engines and callers whose prompts share parts.
 */
#include "part_sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "trial.h"

#define STEP (5 * EL_MSEC)
#define MAX_HOSTS 1000
#define MAX_ENGINES 256
#define MAX_BAD 8
#define MAX_PARTS 70
/* From the send until the engine begins the answer, and the answer's length.
 */
#define BEGIN_DELAY (60 * EL_MSEC)
#define BEGIN_JITTER (60 * EL_MSEC)
#define RUN_MIN (300 * EL_MSEC)
#define RUN_JITTER (2500 * EL_MSEC)
#define RESTART_TIME (6 * EL_SEC)
#define MESSAGE_DELAY (18 * EL_MSEC)
#define MESSAGE_DELAY_FLEET (300 * EL_MSEC)
#define MESSAGE_EXTRA_DELAY EL_SEC
#define RACK_PERIOD (20 * EL_SEC)
#define RETRY_DELAY (100 * EL_MSEC)
#define RETRIES_MAX 50
#define TRIAL_WAIT_MAX (1200 * EL_MSEC)
#define PROBATION (500 * EL_MSEC)
#define ATTEMPTS_MAX 2
#define LATE_CRASHES 5
#define LATE_AFTER (3 * EL_SEC)
#define SETTLED_AFTER EL_SEC
#define WAITS_MAX 200000
/* Crashing parts come from then on. */
#define WARM_UP (8 * EL_SEC)
#define MAX_TRIALS 64
#define TESTIMONY_GOSSIP_TIME (60 * EL_SEC)
/* One in so many of the requests that an idle host would take. */
#define IDLE_ONE_IN 30

typedef struct part_engine
{
  int up;
  unsigned instance;
  el_time_t restart_at;
  el_time_t probation_until;
} part_engine_t;

typedef struct part_stream
{
  rt_traits_t traits;
  rt_digest_t parts[MAX_PARTS];
  size_t bad; /* number of its crashing part plus one; 0: sound */
  size_t host;
  size_t engine;
  unsigned attempts;
  unsigned retries;
  int waiting;
  int begun;
  int counted; /* as a first try */
  el_time_t born;
  el_time_t waited_since;
  el_time_t at;
  el_time_t begins_at;
  el_time_t ends_at;
  struct part_stream *prev;
  struct part_stream *next;
} part_stream_t;

typedef enum part_message_kind
{
  MESSAGE_CRASH,
  MESSAGE_WELL,
  MESSAGE_TESTIMONY,
  MESSAGE_BLOCK
} part_message_kind_t;

typedef struct part_message
{
  part_message_kind_t kind;
  rt_crash_report_t crash;
  rt_digest_t well;
  el_time_t well_at;
  rt_block_t block;
  unsigned holds;
  el_time_t sent_at;
  uint64_t id;
  size_t refs;
} part_message_t;

typedef struct part_delivery
{
  part_message_t *message;
  size_t to;
  struct part_delivery *next;
} part_delivery_t;

/* Deliveries by the step in which they are due, as a ring. */
#define RING 512

typedef struct part_trials
{
  rt_digest_t cause;
  rt_trial_t state;
} part_trials_t;

typedef struct part_host
{
  rt_blame_t *blame;
  int stale;
  part_trials_t trials[MAX_TRIALS];
  size_t ntrials;
} part_host_t;

/* A testimony that is being gossiped: all hosts give it the same id. */
typedef struct part_testimony
{
  rt_digest_t id;
  el_time_t until;
  UT_hash_handle hh;
} part_testimony_t;

typedef struct part_sim
{
  part_options_t options;
  part_result_t result;
  uint64_t rng;
  el_time_t now;
  el_time_t started;
  size_t step;
  part_host_t *hosts;
  part_engine_t engine[MAX_ENGINES];
  part_stream_t *streams;
  part_delivery_t *ring[RING];
  part_testimony_t *testimonies;
  rt_digest_t last_digest;
  size_t crashes[MAX_BAD];
  el_time_t fifth[MAX_BAD];
  el_time_t blocked_at[MAX_BAD];
  size_t late[MAX_BAD];
  double *waits;
  size_t nwaits;
  size_t blocking_host;
} part_sim_t;

static double
sim_random (part_sim_t *sim)
{
  return (double)(el_random (&sim->rng) >> 11) / (double)(1ULL << 53);
}

static el_time_t
sim_jitter (part_sim_t *sim, el_time_t min, el_time_t spread)
{
  return min + (el_time_t)(sim_random (sim) * (double)spread);
}

static rt_digest_t
part_id (unsigned kind, size_t number)
{
  uint64_t mixed[] = { kind, number };

  return XXH3_64bits (mixed, sizeof mixed);
}

/* Messages. */

static void
message_deliver (part_sim_t *sim, size_t from, part_message_t *message)
{
  el_time_t spread
      = sim->options.hosts > 64 ? MESSAGE_DELAY_FLEET : MESSAGE_DELAY;
  part_delivery_t *delivery;
  el_time_t delay;
  size_t slot;
  size_t i;

  message->sent_at = sim->now;
  message->id = el_random (&sim->rng);
  for (i = 0; i < sim->options.hosts; i++)
    {
      if (i == from)
        continue;
      delay = sim_jitter (sim, EL_MSEC, spread);
      if (sim_random (sim) < sim->options.delayed_share)
        delay += MESSAGE_EXTRA_DELAY;
      slot = (sim->step + 1 + delay / STEP) % RING;
      delivery = el_alloc (sizeof *delivery);
      delivery->message = message;
      delivery->to = i;
      delivery->next = sim->ring[slot];
      sim->ring[slot] = delivery;
      message->refs++;
    }
  if (!message->refs)
    free (message);
}

static part_message_t *
message_new (part_message_kind_t kind)
{
  part_message_t *message = el_alloc (sizeof *message);

  message->kind = kind;
  return message;
}

static void
testimony_publish (part_sim_t *sim, size_t from, rt_digest_t part,
                   rt_digest_t id)
{
  part_testimony_t *known;
  part_message_t *message;

  HASH_FIND (hh, sim->testimonies, &id, sizeof id, known);
  if (known && sim->now < known->until)
    return;
  if (!known)
    {
      known = el_alloc (sizeof *known);
      known->id = id;
      HASH_ADD (hh, sim->testimonies, id, sizeof id, known);
    }
  known->until = sim->now + TESTIMONY_GOSSIP_TIME;
  sim->result.testimonies++;
  message = message_new (MESSAGE_TESTIMONY);
  message->well = part;
  message->well_at
      = rt_blame_ran_well_at (sim->hosts[from].blame, part, sim->now);
  message_deliver (sim, from, message);
}

static void
testify (part_sim_t *sim, size_t host, rt_digest_t part)
{
  if (!sim->options.no_testimony
      && rt_blame_should_testify (sim->hosts[host].blame, part, sim->now,
                                  sim->now + TESTIMONY_GOSSIP_TIME))
    testimony_publish (sim, host, part, part);
}

static void
testimony_give (part_sim_t *sim, size_t host, const rt_crash_report_t *run)
{
  size_t i;

  for (i = 0; i < run->nparts && !run->writing; i++)
    {
      testify (sim, host, run->parts[i]);
      testify (sim, host, rt_customer_part (run->customer, run->parts[i]));
    }
}

/* A host learns of a block that took its causes for new. */
static void
testimony_refute (part_sim_t *sim, size_t to, const rt_block_t *block)
{
  rt_blame_t *blame = sim->hosts[to].blame;
  el_time_t at;
  size_t i;

  for (i = 0;
       !sim->options.no_testimony && block->taken_for_new && i < block->n; i++)
    {
      at = rt_blame_ran_well_at (blame, block->causes[i], sim->now);
      if (at && rt_blame_testify (blame, block->causes[i], at, sim->now))
        testimony_publish (sim, to, block->causes[i],
                           block->causes[i] ^ block->id ^ 1);
    }
}

static void
message_receive (part_sim_t *sim, size_t to, const part_message_t *message)
{
  part_host_t *host = &sim->hosts[to];

  switch (message->kind)
    {
    case MESSAGE_CRASH:
      host->stale
          |= rt_blame_add_report (host->blame, sim->now, &message->crash);
      testimony_give (sim, to, &message->crash);
      break;
    case MESSAGE_WELL:
      rt_blame_completed (host->blame, message->well, message->sent_at);
      host->stale = 1;
      break;
    case MESSAGE_TESTIMONY:
      rt_blame_testify (host->blame, message->well, message->well_at,
                        sim->now + TESTIMONY_GOSSIP_TIME);
      host->stale = 1;
      break;
    case MESSAGE_BLOCK:
      if (rt_blame_block (host->blame, &message->block, 1, message->sent_at,
                          message->holds))
        testimony_refute (sim, to, &message->block);
      break;
    }
}

static void
messages_step (part_sim_t *sim)
{
  size_t slot = sim->step % RING;
  part_delivery_t *delivery;

  while (sim->ring[slot])
    {
      delivery = sim->ring[slot];
      sim->ring[slot] = delivery->next;
      message_receive (sim, delivery->to, delivery->message);
      if (--delivery->message->refs == 0)
        free (delivery->message);
      free (delivery);
    }
}

/* Trials. */

static rt_trial_t *
trial_get (part_host_t *host, rt_digest_t cause)
{
  size_t i;

  for (i = 0; i < host->ntrials; i++)
    if (host->trials[i].cause == cause)
      return &host->trials[i].state;
  if (host->ntrials == MAX_TRIALS)
    host->ntrials = 0;
  host->trials[host->ntrials] = (part_trials_t){ .cause = cause };
  return &host->trials[host->ntrials++].state;
}

static int
trial_take (part_sim_t *sim, size_t host, rt_digest_t cause)
{
  size_t grantor = cause % sim->options.hosts;
  rt_trial_t *trial = trial_get (&sim->hosts[host], cause);
  el_time_t wait;
  int granted;

  if (rt_trial_take (trial, sim->now) == RT_TRIAL_ASK)
    {
      rt_trial_asked (trial, sim->now);
      granted = rt_trial_grant (trial_get (&sim->hosts[grantor], cause),
                                sim->now, &wait);
      rt_trial_answered (trial_get (&sim->hosts[host], cause), sim->now,
                         granted, wait);
      trial = trial_get (&sim->hosts[host], cause);
    }
  return rt_trial_take (trial, sim->now) == RT_TRIAL_OK;
}

/* Streams. */

static void
stream_free (part_sim_t *sim, part_stream_t *stream)
{
  DL_DELETE (sim->streams, stream);
  free (stream);
}

/* The first attempt of a sound request begins, or it does not. */
static void
stream_count_first (part_sim_t *sim, part_stream_t *stream, int begun)
{
  if (stream->bad || stream->counted || !sim->blocked_at[0]
      || stream->born < sim->blocked_at[0] + SETTLED_AFTER)
    return;
  stream->counted = 1;
  sim->result.first_tries++;
  sim->result.first_begun += begun != 0;
}

static void
stream_count_wait (part_sim_t *sim, part_stream_t *stream)
{
  if (stream->bad || !stream->waited_since)
    return;
  sim->result.sound_waited++;
  if (sim->nwaits < WAITS_MAX)
    sim->waits[sim->nwaits++]
        = (double)(sim->now - stream->waited_since) / EL_MSEC;
  stream->waited_since = 0;
}

static void
stream_refuse (part_sim_t *sim, part_stream_t *stream, size_t *count)
{
  stream_count_first (sim, stream, 0);
  *count += !stream->bad;
  stream_free (sim, stream);
}

static int
engine_pick (part_sim_t *sim, uint64_t draw, int isolated, size_t *out)
{
  double best = -2;
  double rank;
  size_t i;

  for (i = 0; i < sim->options.engines; i++)
    {
      uint64_t mixed[] = { draw, i };

      if (!sim->engine[i].up)
        continue;
      rank = isolated ? (double)(XXH3_64bits (mixed, sizeof mixed) >> 11)
                            / (double)(1ULL << 53)
                      : sim_random (sim);
      if (sim->now < sim->engine[i].probation_until)
        rank -= 1;
      if (best < rank)
        {
          best = rank;
          *out = i;
        }
    }
  return best > -2;
}

static void
stream_wait (part_sim_t *sim, part_stream_t *stream, el_time_t wait)
{
  stream->waiting = 1;
  stream->at = sim->now + wait;
}

/* Whether the stream has to wait for a trial. */
static int
stream_awaits_trial (part_sim_t *sim, part_stream_t *stream,
                     const rt_blame_status_t *status)
{
  if (!status->trial || sim->options.no_trials
      || trial_take (sim, stream->host, status->trial))
    return 0;
  if (!stream->waited_since)
    stream->waited_since = sim->now;
  if (sim->now < stream->waited_since + TRIAL_WAIT_MAX)
    stream_wait (sim, stream, 2 * STEP);
  else
    {
      stream_count_wait (sim, stream);
      stream_refuse (sim, stream, &sim->result.sound_refused);
    }
  return 1;
}

static void
stream_send (part_sim_t *sim, part_stream_t *stream)
{
  rt_blame_status_t status = rt_blame_judge (sim->hosts[stream->host].blame,
                                             sim->now, &stream->traits);
  size_t b = stream->bad - 1;

  if (status.state == RT_BLAME_BLOCKED)
    {
      stream_refuse (sim, stream, &sim->result.sound_blocked);
      return;
    }
  if (!engine_pick (sim, status.trial + status.trial_crashes,
                    status.trial != 0, &stream->engine))
    {
      if (++stream->retries < RETRIES_MAX)
        stream_wait (sim, stream, RETRY_DELAY);
      else
        stream_refuse (sim, stream, &sim->result.sound_refused);
      return;
    }
  if (stream_awaits_trial (sim, stream, &status))
    return;
  stream_count_wait (sim, stream);
  if (status.trial)
    sim->engine[stream->engine].probation_until = sim->now + PROBATION;
  stream->waiting = 0;
  stream->begun = 0;
  stream->attempts++;
  stream->at = sim->now;
  stream->begins_at = sim->now + sim_jitter (sim, BEGIN_DELAY, BEGIN_JITTER);
  stream->ends_at = stream->begins_at + sim_jitter (sim, RUN_MIN, RUN_JITTER);
  if (!stream->bad)
    return;
  if (sim->fifth[b] && sim->now > sim->fifth[b] + LATE_AFTER)
    sim->late[b]++;
  if (sim->blocked_at[b] && sim->now > sim->blocked_at[b] + 2 * EL_SEC)
    sim->result.after_block++;
}

static void
cause_well (part_sim_t *sim, size_t host, rt_digest_t cause)
{
  part_message_t *message;

  rt_blame_prove (sim->hosts[host].blame, cause, sim->now);
  if (!rt_blame_completed (sim->hosts[host].blame, cause, sim->now))
    return;
  sim->hosts[host].stale = 1;
  message = message_new (MESSAGE_WELL);
  message->well = cause;
  message_deliver (sim, host, message);
}

static void
stream_begin (part_sim_t *sim, part_stream_t *stream)
{
  const rt_traits_t *traits = &stream->traits;
  size_t i;

  stream->begun = 1;
  stream_count_first (sim, stream, stream->attempts == 1);
  for (i = 0; i < traits->nparts; i++)
    {
      cause_well (sim, stream->host, traits->parts[i]);
      cause_well (sim, stream->host,
                  rt_customer_part (traits->customer, traits->parts[i]));
    }
}

static void
stream_broken (part_sim_t *sim, part_stream_t *stream)
{
  stream_count_first (sim, stream, 0);
  if (stream->attempts >= ATTEMPTS_MAX)
    stream_free (sim, stream);
  else
    stream_wait (sim, stream, STEP);
}

static void
engine_crash (part_sim_t *sim, size_t i)
{
  part_engine_t *engine = &sim->engine[i];
  rt_crash_report_t crash = { .first = 1, .at = sim->now };
  part_host_t *host;
  part_message_t *message;
  part_stream_t *stream;
  part_stream_t *next;
  size_t n;

  engine->up = 0;
  engine->restart_at = sim->now + RESTART_TIME;
  snprintf (crash.instance.id, sizeof crash.instance.id, "engine-%zu", i);
  crash.instance.born = engine->instance;
  DL_FOREACH (sim->streams, stream)
  {
    if (stream->waiting || stream->engine != i)
      continue;
    host = &sim->hosts[stream->host];
    crash.digest = stream->traits.digest;
    crash.customer = stream->traits.customer;
    crash.host = stream->host + 1;
    crash.ran = sim->now - stream->at;
    crash.writing = stream->begun;
    n = stream->traits.nparts;
    crash.nparts = sim->options.requests_only ? 0
                   : n < RT_PARTS_MAX         ? n
                                              : RT_PARTS_MAX;
    memcpy (crash.parts, stream->parts, crash.nparts * sizeof *crash.parts);
    if (rt_blame_should_publish (host->blame, &crash))
      {
        message = message_new (MESSAGE_CRASH);
        message->crash = crash;
        message_deliver (sim, stream->host, message);
      }
    rt_blame_add_report (host->blame, sim->now, &crash);
    testimony_give (sim, stream->host, &crash);
    host->stale = 1;
  }
  DL_FOREACH_SAFE (sim->streams, stream, next)
  if (!stream->waiting && stream->engine == i)
    stream_broken (sim, stream);
}

static void
on_blocked (void *arg, const rt_block_t *block,
            const rt_blame_status_t *status)
{
  part_sim_t *sim = arg;
  part_message_t *message = message_new (MESSAGE_BLOCK);
  size_t i;

  for (i = 0; i < sim->options.bad_parts && block->kind != RT_CAUSE_REQUEST;
       i++)
    if (!sim->blocked_at[i])
      {
        size_t k;
        size_t c;

        for (k = 0; k < block->n; k++)
          {
            int hit = block->causes[k] == part_id (9, i);

            for (c = 0; c < sim->options.customers; c++)
              hit |= block->causes[k]
                     == rt_customer_part (part_id (1, c), part_id (9, i));
            if (hit)
              {
                sim->blocked_at[i] = sim->now;
                if (sim->crashes[i] > sim->result.before_block)
                  sim->result.before_block = sim->crashes[i];
              }
          }
      }
  message->block = *block;
  message->holds = status->holds;
  message_deliver (sim, sim->blocking_host, message);
}

static void
hosts_step (part_sim_t *sim)
{
  size_t i;

  for (i = 0; i < sim->options.hosts; i++)
    if (sim->hosts[i].stale)
      {
        sim->blocking_host = i;
        rt_blame_update (sim->hosts[i].blame, sim->now, sim->options.engines,
                         on_blocked, sim);
        sim->hosts[i].stale = 0;
      }
}

static void
streams_step (part_sim_t *sim)
{
  part_stream_t *stream;
  part_stream_t *next;
  int changed = 1;
  size_t b;

  while (changed)
    { /* a crash changes the list */
      changed = 0;
      DL_FOREACH_SAFE (sim->streams, stream, next)
      {
        if (stream->waiting || sim->now < stream->begins_at)
          continue;
        if (stream->bad)
          {
            b = stream->bad - 1;
            sim->result.crashes++;
            if (++sim->crashes[b] == LATE_CRASHES)
              sim->fifth[b] = sim->now;
            engine_crash (sim, stream->engine);
            changed = 1;
            break;
          }
        if (!stream->begun)
          stream_begin (sim, stream);
        if (sim->now >= stream->ends_at)
          stream_free (sim, stream);
      }
    }
  hosts_step (sim);
  DL_FOREACH_SAFE (sim->streams, stream, next)
  if (stream->waiting && stream->at <= sim->now)
    stream_send (sim, stream);
}

static void
engines_step (part_sim_t *sim)
{
  const part_options_t *o = &sim->options;
  size_t i;

  for (i = 0; i < o->engines; i++)
    {
      part_engine_t *engine = &sim->engine[i];

      if (!engine->up && engine->restart_at <= sim->now)
        {
          engine->up = 1;
          engine->instance++;
        }
      if (engine->up
          && (sim_random (sim) < o->crash_rate * (double)STEP / EL_SEC
              || (o->rack_size && sim->now % RACK_PERIOD < EL_SEC
                  && i < o->rack_size
                  && sim->now % (EL_SEC / o->rack_size) < STEP
                  && sim_random (sim) < 0.5)))
        {
          sim->result.other_crashes++;
          engine_crash (sim, i);
        }
    }
}

/* Draw the host that takes a request. */
static size_t
host_draw (part_sim_t *sim)
{
  const part_options_t *o = &sim->options;
  size_t host = el_random (&sim->rng) % o->hosts;

  if (host >= o->idle_hosts || el_random (&sim->rng) % IDLE_ONE_IN == 0)
    return host;
  return o->idle_hosts + el_random (&sim->rng) % (o->hosts - o->idle_hosts);
}

static void
stream_add (part_sim_t *sim)
{
  const part_options_t *o = &sim->options;
  part_stream_t *stream = el_alloc (sizeof *stream);
  size_t customer
      = (size_t)(sim_random (sim) * sim_random (sim) * (double)o->customers);
  size_t n = 0;
  size_t i;
  rt_digest_t bad = 0;

  if (o->bad_parts && sim->now >= sim->started + WARM_UP
      && sim_random (sim) < o->bad_share)
    {
      stream->bad = 1 + el_random (&sim->rng) % o->bad_parts;
      customer = el_random (&sim->rng) % o->bad_customers;
      bad = part_id (9, stream->bad - 1);
    }
  if (bad && o->place == PART_FIRST)
    stream->parts[n++] = bad;
  stream->parts[n++] = part_id (2, customer);
  if (bad && o->place == PART_MIDDLE)
    stream->parts[n++] = bad;
  stream->parts[n++] = part_id (3, el_random (&sim->rng) % 3);
  for (i = 0; i < o->extra_parts; i++)
    stream->parts[n++] = part_id (4, i + 1000 * (sim->last_digest % 3));
  /* a part that few requests share */
  stream->parts[n++] = part_id (5, el_random (&sim->rng) % 500);
  if (bad && o->place == PART_LAST_SHARED)
    stream->parts[n++] = bad;
  stream->traits = (rt_traits_t){ .digest = ++sim->last_digest,
                                  .customer = part_id (1, customer),
                                  .parts = stream->parts,
                                  .nparts = n };
  stream->host = host_draw (sim);
  stream->waiting = 1;
  stream->born = sim->now;
  stream->at = sim->now;
  sim->result.sound += !stream->bad;
  DL_APPEND (sim->streams, stream);
}

static void
callers_step (part_sim_t *sim)
{
  double due = sim->options.rate * (double)STEP / (double)EL_SEC;
  size_t n = (size_t)due;

  for (n += sim_random (sim) < due - (double)n; n; n--)
    stream_add (sim);
}

static int
compare (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

static void
sim_finish (part_sim_t *sim)
{
  part_stream_t *stream;
  part_stream_t *next;
  part_testimony_t *testimony;
  part_testimony_t *testimony_next;
  rt_traits_t traits = { .digest = 1, .customer = part_id (1, 0) };
  rt_digest_t bad;
  size_t i;

  for (i = 0; i < sim->options.bad_parts; i++)
    {
      bad = part_id (9, i);
      traits.parts = &bad;
      traits.nparts = 1;
      if (sim->late[i] > sim->result.late)
        sim->result.late = sim->late[i];
      sim->result.blocked_parts
          += sim->blocked_at[i] != 0
             || rt_blame_judge (sim->hosts[0].blame, sim->now, &traits).state
                    == RT_BLAME_BLOCKED;
    }
  if (sim->nwaits)
    {
      qsort (sim->waits, sim->nwaits, sizeof *sim->waits, compare);
      sim->result.wait_p50_ms = sim->waits[sim->nwaits / 2];
      sim->result.wait_p99_ms = sim->waits[sim->nwaits * 99 / 100];
    }
  DL_FOREACH_SAFE (sim->streams, stream, next)
  stream_free (sim, stream);
  for (i = 0; i < RING; i++)
    while (sim->ring[i])
      {
        part_delivery_t *delivery = sim->ring[i];

        sim->ring[i] = delivery->next;
        if (--delivery->message->refs == 0)
          free (delivery->message);
        free (delivery);
      }
  for (i = 0; i < sim->options.hosts; i++)
    rt_blame_free (sim->hosts[i].blame);
  HASH_ITER (hh, sim->testimonies, testimony, testimony_next)
  {
    HASH_DEL (sim->testimonies, testimony);
    free (testimony);
  }
  free (sim->hosts);
  free (sim->waits);
}

/** Run one simulation. */
part_result_t
part_sim_run (const part_options_t *options)
{
  const rt_blame_options_t blame = { .max_causes = 4096,
                                     .max_customer_causes = 1024,
                                     .max_proven = 8192,
                                     .rule = &rt_blame_rule_odds };
  part_sim_t *sim = el_alloc (sizeof *sim);
  part_result_t result;
  el_time_t end;
  size_t i;

  sim->options = *options;
  sim->rng = options->seed * 2654435761U + 1;
  sim->now = 100 * EL_SEC;
  sim->started = sim->now;
  sim->last_digest = 1000;
  sim->hosts = el_alloc (options->hosts * sizeof *sim->hosts);
  sim->waits = el_alloc (WAITS_MAX * sizeof *sim->waits);
  for (i = 0; i < options->hosts; i++)
    sim->hosts[i].blame = rt_blame_new (&blame);
  for (i = 0; i < options->engines; i++)
    sim->engine[i].up = 1;
  end = sim->now + (el_time_t)(options->seconds * EL_SEC);
  for (; sim->now < end; sim->now += STEP, sim->step++)
    {
      messages_step (sim);
      engines_step (sim);
      callers_step (sim);
      streams_step (sim);
    }
  sim_finish (sim);
  result = sim->result;
  free (sim);
  return result;
}
