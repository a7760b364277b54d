/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Throughput of the router relative to the capacity of the engines. Runs the
 * router of elmarchd with simulated engines, and round robin, least requests
 * and random choice on the same pipelines for comparison.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"
#include "route.h"

#define STAGES 4
#define LAYERS 32
#define ENGINE_KINDS 8
#define SLOTS 8 /* steps that an engine runs concurrently */
#define STEP_FASTEST (8 * EL_MSEC)
#define LINK_DELAY (1 * EL_MSEC)
#define TOKENS_MEAN 64
#define WARM_UP_TIME (12 * EL_SEC)
#define MEASURE_TIME (8 * EL_SEC)
#define NAME_MAX_BYTES 32
#define OVERLOAD 1.5
#define DEADLINE (60 * EL_SEC)

typedef struct sim sim_t;

/* A call that is running or queued at an engine. */
typedef struct job
{
  el_timer_t timer;
  sim_t *sim;
  unsigned engine;
  rt_call_id_t call;
  int final;
  struct job *next;
} job_t;

typedef struct engine
{
  el_time_t step;
  unsigned busy;
  job_t *queue;
  job_t **tail;
} engine_t;

typedef struct stream
{
  el_time_t arrived;
  el_time_t last_token; /* time of the last token */
  unsigned pipeline;
  uint64_t tokens; /* number of tokens requested */
} stream_t;

/* How a pipeline is chosen; NULL: by the router. */
typedef struct policy
{
  const char *name;
  unsigned (*choose) (sim_t *sim);
} policy_t;

struct sim
{
  const policy_t *policy;
  rt_router_t *router;
  el_timers_t timers;
  el_timer_t arrival;
  el_time_t now;
  uint64_t rng;
  engine_t *engines;
  unsigned npipelines;
  unsigned *running; /* streams of each pipeline */
  unsigned next_pipeline;
  stream_t *streams;
  uint64_t nstreams;
  double rate; /* requests per second */
  int measuring;
  uint64_t tokens;
  uint64_t refused;
  el_hist_t first_token;
  el_hist_t token_interval;
};

static unsigned choose_round_robin (sim_t *);
static unsigned choose_least (sim_t *);
static unsigned choose_random (sim_t *);

static const policy_t policies[] = {
  { "elmarch", NULL },
  { "round-robin", choose_round_robin },
  { "least-requests", choose_least },
  { "random", choose_random },
};

static uint64_t
sim_random (sim_t *sim)
{
  sim->rng = sim->rng * 6364136223846793005ULL + 1442695040888963407ULL;
  return sim->rng >> 33;
}

static unsigned
choose_round_robin (sim_t *sim)
{
  return sim->next_pipeline++ % sim->npipelines;
}

static unsigned
choose_least (sim_t *sim)
{
  unsigned best = 0;
  unsigned i;

  for (i = 1; i < sim->npipelines; i++)
    if (sim->running[i] < sim->running[best])
      best = i;
  return best;
}

static unsigned
choose_random (sim_t *sim)
{
  return (unsigned)(sim_random (sim) % sim->npipelines);
}

static void
job_done (void *arg, el_time_t now)
{
  job_t *job = arg;
  sim_t *sim = job->sim;
  engine_t *engine = &sim->engines[job->engine];
  job_t *next = engine->queue;
  rt_event_t event = { .kind = RT_EV_REPLY,
                       .stream = job->call.stream,
                       .call = job->call,
                       .echo = job->call,
                       .hidden = EL_STR ("h"),
                       .has_token = job->final,
                       .text = EL_STR ("t") };

  engine->busy--;
  if (next)
    {
      engine->queue = next->next;
      if (!engine->queue)
        engine->tail = &engine->queue;
      engine->busy++;
      el_timers_set (&sim->timers, &next->timer, now + engine->step);
    }
  rt_router_handle_event (sim->router, now, &event);
  free (job);
}

static void
act_call (sim_t *sim, const rt_action_t *action)
{
  job_t *job = el_alloc (sizeof *job);
  engine_t *engine;

  job->sim = sim;
  job->engine = (unsigned)strtoul (action->endpoint.ptr + 1, NULL, 10);
  job->call = action->call;
  job->final = action->final;
  job->timer.cb = job_done;
  job->timer.arg = job;
  engine = &sim->engines[job->engine];
  if (engine->busy < SLOTS)
    {
      engine->busy++;
      el_timers_set (&sim->timers, &job->timer,
                     sim->now + LINK_DELAY + engine->step);
      return;
    }
  *engine->tail = job;
  engine->tail = &job->next;
}

static void
act_token (sim_t *sim, const rt_action_t *action)
{
  stream_t *stream = &sim->streams[action->stream];

  if (sim->measuring)
    {
      sim->tokens++;
      if (stream->last_token)
        el_hist_add (&sim->token_interval, sim->now - stream->last_token);
      else
        el_hist_add (&sim->first_token, sim->now - stream->arrived);
    }
  stream->last_token = sim->now;
}

static void
sim_act (void *arg, const rt_action_t *action)
{
  sim_t *sim = arg;

  if (action->kind == RT_ACT_CALL)
    act_call (sim, action);
  else if (action->kind == RT_ACT_TOKEN)
    act_token (sim, action);
  else if (action->kind == RT_ACT_END)
    {
      sim->running[sim->streams[action->stream].pipeline]--;
      sim->refused += sim->measuring && action->verdict == EL_NOT_RUN;
    }
}

static void
arrive (void *arg, el_time_t now)
{
  sim_t *sim = arg;
  char target[NAME_MAX_BYTES] = "m";
  rt_event_t event = { .kind = RT_EV_REQUEST,
                       .customer = EL_STR ("c"),
                       .prompt = EL_STR ("{}"),
                       .repeatable = 1 };
  stream_t *stream;

  sim->streams
      = el_grow (sim->streams, sim->nstreams + 1, sizeof *sim->streams);
  stream = &sim->streams[sim->nstreams];
  memset (stream, 0, sizeof *stream);
  stream->arrived = now;
  stream->tokens = 1 + sim_random (sim) % (2 * TOKENS_MEAN - 1);
  if (sim->policy->choose)
    {
      stream->pipeline = sim->policy->choose (sim);
      snprintf (target, sizeof target, "m%u", stream->pipeline);
    }
  sim->running[stream->pipeline]++;
  event.stream = sim->nstreams++;
  event.target = el_str (target);
  event.max_tokens = stream->tokens;
  event.deadline = now + DEADLINE;
  rt_router_handle_event (sim->router, now, &event);
  el_timers_set (&sim->timers, &sim->arrival,
                 now
                     + (el_time_t)((double)EL_SEC * 2 / sim->rate
                                   * (double)(sim_random (sim) % 1000) / 1000)
                     + 1);
}

static void
declare (sim_t *sim, co_kind_t kind, const char *name, json_t *spec)
{
  el_err_t err;
  co_resource_t *res = co_resource_parse (kind, el_str (name), spec, 1, &err);

  if (!res)
    {
      fprintf (stderr, "bench: %s: %s\n", name, err.msg);
      exit (EXIT_FAILURE);
    }
  rt_router_apply_config (sim->router, NULL, res);
  co_resource_free (res);
  json_decref (spec);
}

/* All engines of a pipeline are of the same kind, and its weight follows from
   their speed. Each pipeline is also a deployment of its own, for the policies
   that choose a pipeline themselves. */
static double
declare_pipeline (sim_t *sim, unsigned pipeline)
{
  unsigned kind = 1 + (unsigned)(pipeline * 5 % ENGINE_KINDS);
  char name[NAME_MAX_BYTES];
  json_t *stages = json_array ();
  unsigned i;

  for (i = 0; i < STAGES; i++)
    {
      unsigned at = pipeline * STAGES + i;

      snprintf (name, sizeof name, "e%u", at);
      sim->engines[at].step = STEP_FASTEST * kind;
      sim->engines[at].tail = &sim->engines[at].queue;
      declare (sim, CO_ENDPOINT, name,
               json_pack ("{s:s,s:s,s:s,s:i}", "address", "10.0.0.1:1", "hall",
                          "h", "role", "engine", "capacity", SLOTS));
      json_array_append_new (
          stages, json_pack ("{s:s,s:i,s:i}", "endpoint", name, "first",
                             (int)i * LAYERS / STAGES, "last",
                             ((int)i + 1) * LAYERS / STAGES - 1));
    }
  snprintf (name, sizeof name, "m%u", pipeline);
  declare (sim, CO_DEPLOYMENT, name,
           json_pack ("{s:s,s:i}", "model", name, "layers", LAYERS));
  declare (sim, CO_PIPELINE, name,
           json_pack ("{s:s,s:O}", "deployment", name, "stages", stages));
  snprintf (name, sizeof name, "p%u", pipeline);
  declare (sim, CO_PIPELINE, name,
           json_pack ("{s:s,s:i,s:o}", "deployment", "m", "weight",
                      (int)(840 / kind), "stages", stages));
  return (double)SLOTS * EL_SEC / (double)(STEP_FASTEST * kind);
}

static void
sim_run (sim_t *sim, el_time_t until)
{
  rt_event_t tick = { .kind = RT_EV_TICK };
  el_time_t due;

  for (;;)
    {
      due = el_timers_next_due (&sim->timers);
      if (rt_router_next_tick (sim->router) < due)
        due = rt_router_next_tick (sim->router);
      if (due > until)
        break;
      if (due > sim->now)
        sim->now = due;
      if (rt_router_next_tick (sim->router) <= sim->now)
        rt_router_handle_event (sim->router, sim->now, &tick);
      el_timers_run (&sim->timers, sim->now);
    }
  sim->now = until;
}

static void
measure (const policy_t *policy, unsigned pipelines, double load)
{
  sim_t *sim = el_alloc (sizeof *sim);
  rt_options_t options
      = { .seed = 1,
          .max_active = (size_t)pipelines * SLOTS * STAGES * 3 / 2,
          .max_queue = (size_t)pipelines * SLOTS,
          .call_limit = DEADLINE,
          .leave_hold = EL_SEC,
          .act = sim_act,
          .arg = sim };
  double bound = 0;
  unsigned i;

  sim->policy = policy;
  sim->npipelines = pipelines;
  sim->now = 1;
  sim->rng = 7;
  sim->engines = el_alloc (pipelines * STAGES * sizeof *sim->engines);
  sim->running = el_alloc (pipelines * sizeof *sim->running);
  sim->router = rt_router_new (&options);
  declare (sim, CO_DEPLOYMENT, "m",
           json_pack ("{s:s,s:i}", "model", "m", "layers", LAYERS));
  declare (sim, CO_CUSTOMER, "c",
           json_pack ("{s:s,s:i}", "keyHash",
                      "00000000000000000000000000000000"
                      "00000000000000000000000000000000",
                      "maxInFlight", 1000000));
  for (i = 0; i < pipelines; i++)
    bound += declare_pipeline (sim, i);
  sim->rate = bound / TOKENS_MEAN * load;
  sim->arrival.cb = arrive;
  sim->arrival.arg = sim;
  el_timers_set (&sim->timers, &sim->arrival, 1);
  sim_run (sim, WARM_UP_TIME);
  sim->measuring = 1;
  sim_run (sim, WARM_UP_TIME + MEASURE_TIME);
  printf ("bench=route policy=%s workers=%u load=%.1f bound_tokens_per_s=%.0f "
          "tokens_per_s=%.0f ratio=%.3f refused=%" PRIu64
          " first_token_ms=%" PRIu64 "/%" PRIu64 "/%" PRIu64
          " between_tokens_ms=%" PRIu64 "/%" PRIu64 "/%" PRIu64 "\n",
          policy->name, pipelines * STAGES, load, bound,
          (double)sim->tokens * EL_SEC / MEASURE_TIME,
          (double)sim->tokens * EL_SEC / MEASURE_TIME / bound, sim->refused,
          el_hist_quantile (&sim->first_token, 0.5) / EL_MSEC,
          el_hist_quantile (&sim->first_token, 0.95) / EL_MSEC,
          el_hist_quantile (&sim->first_token, 0.99) / EL_MSEC,
          el_hist_quantile (&sim->token_interval, 0.5) / EL_MSEC,
          el_hist_quantile (&sim->token_interval, 0.95) / EL_MSEC,
          el_hist_quantile (&sim->token_interval, 0.99) / EL_MSEC);
}

int
main (void)
{
  static const unsigned pipelines[] = { 10, 100 };
  size_t size;
  size_t i;

  for (size = 0; size < 2; size++)
    for (i = 0; i < sizeof policies / sizeof *policies; i++)
      {
        measure (&policies[i], pipelines[size], 0.8);
        measure (&policies[i], pipelines[size], OVERLOAD);
      }
  return EXIT_SUCCESS;
}
