/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Hosts, engines and callers for the judgement on requests.
 */
#include "blame_sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP (5 * EL_MSEC)
#define HOSTS_MOST 64
#define ENGINES_MOST 64
#define DEADLY_MOST 8
/* A stream begins to run so long after it was sent, and runs so long. */
#define BEGIN_AFTER (60 * EL_MSEC)
#define RUN_LEAST (300 * EL_MSEC)
#define RUN_SPREAD (3000 * EL_MSEC)
/* A deadly one ends its engine so long after it began. */
#define DEADLY_LEAST (30 * EL_MSEC)
#define DEADLY_SPREAD (90 * EL_MSEC)
#define ENGINE_BACK (8 * EL_SEC)
#define CONTACT (3 * EL_SEC)
#define ENDS_KNOWN 3
#define NEWS_DELAY (20 * EL_MSEC)
#define NEWS_LATE (1 * EL_SEC)
#define RACK_EVERY (20 * EL_SEC)
#define ATTEMPTS 2
#define SENDS 4
/* A caller that was refused for want of an engine comes back, some times. */
#define BACK_AFTER (100 * EL_MSEC)
#define BACK_MOST 100
/* Who ran under so many ends waits for its turn. */
#define TURN_ENDS 2
/* The request that comes often, and the first of the others. */
#define OFTEN 1000
/* A suspect is proved when it has run so long. */
#define PROOF (500 * EL_MSEC)

typedef struct sim_engine
{
  int up;
  unsigned instance;
  el_time_t back;
  el_time_t proof[HOSTS_MOST]; /* a suspect of this host is there until then */
} sim_engine_t;

typedef struct sim_stream
{
  rt_digest_t digest;
  size_t deadly; /* number plus one; 0: innocent */
  size_t host;
  size_t engine;
  unsigned counted; /* attempts that may have run, where engines live */
  unsigned sends;
  unsigned backs;
  int waits;      /* for its caller to come back */
  int pair;       /* its caller has come again already */
  el_time_t at;   /* sent, or when it comes back */
  el_time_t over; /* ends by itself, or the engine, at this time */
  struct sim_stream *prev;
  struct sim_stream *next;
} sim_stream_t;

typedef struct sim_news
{
  rt_crash_report_t ended;
  rt_digest_t survived;
  size_t to;
  el_time_t at;
  struct sim_news *prev;
  struct sim_news *next;
} sim_news_t;

typedef struct sim
{
  sim_options_t o;
  sim_result_t result;
  uint64_t rng;
  el_time_t now;
  rt_blame_t *blame[HOSTS_MOST];
  int fresh[HOSTS_MOST]; /* facts not judged yet */
  sim_engine_t engine[ENGINES_MOST];
  sim_stream_t *streams;
  sim_news_t *news;
  rt_digest_t next;
  el_time_t third[DEADLY_MOST];
  size_t crashes[DEADLY_MOST];
  size_t late[DEADLY_MOST];
} sim_t;

static double
sim_chance (sim_t *sim)
{
  return (double)(el_random (&sim->rng) >> 11) / (double)(1ULL << 53);
}

static el_time_t
sim_spread (sim_t *sim, el_time_t least, el_time_t spread)
{
  return least + (el_time_t)(sim_chance (sim) * (double)spread);
}

static rt_blame_status_t
judgement (const sim_t *sim, size_t host, rt_digest_t digest)
{
  return sim->o.rule ? rt_blame_get_status (sim->blame[host], sim->now, digest)
                     : (rt_blame_status_t){ 0 };
}

/* Whether a request is sent apart. */
static int
sim_prime (const sim_t *sim, const rt_blame_status_t *judged)
{
  if (judged->state != RT_BLAME_SUSPECT)
    return 0;
  return sim->o.apart < 3 || judged->crashes > 1 || judged->prime_suspect;
}

/* Engines where a request may be sent, best first: what a suspect is sent
   apart from, an innocent one avoids. */
static int
engine_choose (sim_t *sim, const sim_stream_t *stream,
               const rt_blame_status_t *judged, size_t *out)
{
  double best = -2;
  double rank;
  size_t i;

  for (i = 0; i < sim->o.engines; i++)
    {
      const sim_engine_t *engine = &sim->engine[i];
      uint64_t mixed[] = { stream->digest, judged->crashes, i };

      if (!engine->up)
        continue;
      rank = sim_chance (sim);
      if (sim->o.apart && sim_prime (sim, judged))
        rank = (double)(XXH3_64bits (mixed, sizeof mixed) >> 11)
               / (double)(1ULL << 53);
      if (sim->o.apart && sim->now < engine->proof[stream->host])
        {
          if (sim->o.apart > 1 && judged->crashes >= TURN_ENDS)
            continue;
          rank -= 1;
        }
      if (best < rank)
        {
          best = rank;
          *out = i;
        }
    }
  return best > -2;
}

static void
stream_drop (sim_t *sim, sim_stream_t *stream)
{
  DL_DELETE (sim->streams, stream);
  free (stream);
}

/* The caller of a deadly request comes again, at any host. */
static void
deadly_again (sim_t *sim, const sim_stream_t *stream)
{
  sim_stream_t *again = el_alloc (sizeof *again);

  again->digest = stream->digest;
  again->deadly = stream->deadly;
  again->host = el_random (&sim->rng) % sim->o.hosts;
  again->waits = 1;
  again->at = sim->now
              + sim_spread (sim, 0, (el_time_t)(2 * sim->o.again_s * EL_SEC));
  DL_APPEND (sim->streams, again);
}

static void
stream_over (sim_t *sim, sim_stream_t *stream)
{
  if (stream->deadly)
    deadly_again (sim, stream);
  stream_drop (sim, stream);
}

static void
stream_send (sim_t *sim, sim_stream_t *stream)
{
  rt_blame_status_t judged = judgement (sim, stream->host, stream->digest);
  size_t d = stream->deadly - 1;

  if (judged.state == RT_BLAME_BLOCKED)
    {
      sim->result.refused += !stream->deadly;
      stream_over (sim, stream);
      return;
    }
  stream->at = sim->now + BACK_AFTER;
  stream->waits = 1;
  if (!engine_choose (sim, stream, &judged, &stream->engine))
    {
      if (++stream->backs < BACK_MOST)
        return;
      sim->result.failed += !stream->deadly;
      stream_over (sim, stream);
      return;
    }
  stream->waits = 0;
  stream->sends++;
  stream->at = sim->now;
  stream->over
      = sim->now + BEGIN_AFTER + sim_spread (sim, RUN_LEAST, RUN_SPREAD);
  if (sim_prime (sim, &judged))
    sim->engine[stream->engine].proof[stream->host] = sim->now + PROOF;
  if (!stream->deadly)
    return;
  stream->over
      = sim->now + BEGIN_AFTER + sim_spread (sim, DEADLY_LEAST, DEADLY_SPREAD);
  sim->result.sends++;
  if (sim->third[d] && sim->now > sim->third[d] + CONTACT)
    sim->late[d]++;
}

static void
news_spread (sim_t *sim, size_t from, const rt_crash_report_t *ended,
             rt_digest_t survived)
{
  sim_news_t *news;
  size_t i;

  for (i = 0; i < sim->o.hosts; i++)
    {
      if (i == from)
        continue;
      news = el_alloc (sizeof *news);
      if (ended)
        news->ended = *ended;
      news->survived = survived;
      news->to = i;
      news->at = sim->now + sim_spread (sim, EL_MSEC, NEWS_DELAY);
      if (sim_chance (sim) < sim->o.loss)
        news->at += NEWS_LATE;
      DL_APPEND (sim->news, news);
    }
}

/* A stream that was broken off is sent again, or fails. */
static void
stream_broken (sim_t *sim, sim_stream_t *stream)
{
  sim->result.broken += !stream->deadly;
  if (!sim->o.patient)
    stream->counted++;
  if (stream->counted < ATTEMPTS && stream->sends < SENDS)
    {
      stream->waits = 1;
      stream->at = sim->now;
      return;
    }
  if (!stream->deadly && !stream->pair)
    { /* its caller comes once more */
      stream->pair = 1;
      stream->counted = 0;
      stream->sends = 0;
      stream->waits = 1;
      stream->host = el_random (&sim->rng) % sim->o.hosts;
      stream->at = sim->now + 2 * STEP;
      return;
    }
  sim->result.failed += !stream->deadly;
  stream_over (sim, stream);
}

static void
engine_end (sim_t *sim, size_t i)
{
  sim_engine_t *engine = &sim->engine[i];
  rt_crash_report_t ended = { .first = 1, .at = sim->now };
  sim_stream_t *stream;
  sim_stream_t *next;

  engine->up = 0;
  engine->back = sim->now + ENGINE_BACK;
  snprintf (ended.instance.id, sizeof ended.instance.id, "engine-%zu", i);
  ended.instance.born = engine->instance;
  DL_FOREACH (sim->streams, stream)
  if (!stream->waits && stream->engine == i && sim->o.rule)
    {
      ended.digest = stream->digest;
      ended.customer = 1;
      ended.host = stream->host + 1;
      ended.ran = sim->now - stream->at;
      if (ended.ran > BEGIN_AFTER)
        ended.ran -= BEGIN_AFTER;
      if (rt_blame_should_publish (sim->blame[stream->host], &ended))
        news_spread (sim, stream->host, &ended, 0);
      rt_blame_add_report (sim->blame[stream->host], sim->now, &ended);
      sim->fresh[stream->host] = 1;
    }
  DL_FOREACH_SAFE (sim->streams, stream, next)
  if (!stream->waits && stream->engine == i)
    stream_broken (sim, stream);
}

static void
blocked (void *arg, rt_digest_t digest, const rt_blame_status_t *judgement_)
{
  (void)arg;
  (void)digest;
  (void)judgement_;
}

static void
hosts_judge (sim_t *sim)
{
  size_t i;

  for (i = 0; sim->o.rule && i < sim->o.hosts; i++)
    if (sim->fresh[i])
      {
        rt_blame_update (sim->blame[i], sim->now, sim->o.engines, blocked,
                         sim);
        sim->fresh[i] = 0;
      }
}

static void
news_arrive (sim_t *sim)
{
  sim_news_t *news;
  sim_news_t *next;

  DL_FOREACH_SAFE (sim->news, news, next)
  if (news->at <= sim->now)
    {
      if (news->survived)
        sim->fresh[news->to]
            |= rt_blame_completed (sim->blame[news->to], news->survived,
                                   news->ended.at)
               != 0;
      else
        sim->fresh[news->to] |= rt_blame_add_report (sim->blame[news->to],
                                                     sim->now, &news->ended);
      DL_DELETE (sim->news, news);
      free (news);
    }
}

/* A stream reached its end: a deadly one ends its engine. */
static void
stream_ends (sim_t *sim, sim_stream_t *stream)
{
  size_t d = stream->deadly - 1;
  const rt_crash_report_t at = { .at = sim->now };
  unsigned crashes = judgement (sim, stream->host, stream->digest).crashes;

  if (stream->deadly)
    {
      sim->result.ended++;
      if (++sim->crashes[d] == ENDS_KNOWN)
        sim->third[d] = sim->now;
      engine_end (sim, stream->engine);
      return;
    }
  if (sim->o.rule
      && rt_blame_completed (sim->blame[stream->host], stream->digest,
                             sim->now)
      && (!sim->o.tell_late || crashes > 1))
    news_spread (sim, stream->host, &at, stream->digest);
  stream_drop (sim, stream);
}

static void
streams_move (sim_t *sim)
{
  sim_stream_t *stream;
  sim_stream_t *next;
  int again = 1;

  while (again)
    { /* the end of an engine changes the list */
      again = 0;
      DL_FOREACH_SAFE (sim->streams, stream, next)
      if (!stream->waits && stream->over <= sim->now)
        {
          again = 1;
          stream_ends (sim, stream);
          break;
        }
    }
  hosts_judge (sim);
  DL_FOREACH_SAFE (sim->streams, stream, next)
  if (stream->waits && stream->at <= sim->now)
    stream_send (sim, stream);
}

static void
engines_move (sim_t *sim)
{
  size_t up[ENGINES_MOST];
  size_t n = 0;
  size_t i;

  for (i = 0; i < sim->o.engines; i++)
    {
      sim_engine_t *engine = &sim->engine[i];

      if (!engine->up && engine->back <= sim->now)
        {
          engine->up = 1;
          engine->instance++;
        }
      if (engine->up)
        up[n++] = i;
    }
  for (i = 0; i < n; i++)
    if (sim_chance (sim) < sim->o.end_rate * (double)STEP / (double)EL_SEC)
      {
        sim->result.others++;
        engine_end (sim, up[i]);
      }
  /* A rack: one engine after the other, within a second. */
  if (sim->o.rack && sim->now % RACK_EVERY < EL_SEC
      && sim->now % (EL_SEC / sim->o.rack) < STEP && n)
    {
      i = up[el_random (&sim->rng) % n];
      if (!sim->engine[i].up)
        return;
      sim->result.others++;
      engine_end (sim, i);
    }
}

static void
callers_come (sim_t *sim)
{
  double rate = sim->o.rate + sim->o.often;
  double due = rate * (double)STEP / (double)EL_SEC;
  size_t n = (size_t)due;
  sim_stream_t *stream;

  for (n += sim_chance (sim) < due - (double)n; n; n--)
    {
      stream = el_alloc (sizeof *stream);
      stream->digest
          = sim_chance (sim) * rate < sim->o.often ? OFTEN : ++sim->next;
      stream->host = el_random (&sim->rng) % sim->o.hosts;
      stream->waits = 1;
      stream->at = sim->now;
      sim->result.streams++;
      DL_APPEND (sim->streams, stream);
    }
}

static void
sim_open (sim_t *sim)
{
  const rt_blame_options_t options = { .max_requests = 4096,
                                       .max_customer_requests = 4096,
                                       .rule = sim->o.rule };
  const sim_stream_t none = { 0 };
  sim_stream_t first = none;
  size_t i;

  sim->rng = sim->o.seed * 2654435761U + 1;
  sim->now = 100 * EL_SEC;
  sim->next = OFTEN;
  for (i = 0; i < sim->o.engines; i++)
    sim->engine[i].up = 1;
  for (i = 0; sim->o.rule && i < sim->o.hosts; i++)
    sim->blame[i] = rt_blame_new (&options);
  for (i = 0; i < sim->o.deadly; i++)
    {
      first.deadly = i + 1;
      first.digest = i + 1;
      deadly_again (sim, &first);
    }
}

static void
sim_close (sim_t *sim)
{
  sim_stream_t *stream;
  sim_stream_t *next;
  sim_news_t *news;
  sim_news_t *after;
  size_t i;

  for (i = 0; i < sim->o.deadly; i++)
    {
      if (sim->late[i] > sim->result.late)
        sim->result.late = sim->late[i];
      sim->result.blocked
          += judgement (sim, 0, i + 1).state == RT_BLAME_BLOCKED;
    }
  DL_FOREACH_SAFE (sim->streams, stream, next)
  stream_drop (sim, stream);
  DL_FOREACH_SAFE (sim->news, news, after)
  {
    DL_DELETE (sim->news, news);
    free (news);
  }
  for (i = 0; sim->o.rule && i < sim->o.hosts; i++)
    rt_blame_free (sim->blame[i]);
}

/** Play one course of events. */
sim_result_t
sim_run (const sim_options_t *options)
{
  sim_t *sim = el_alloc (sizeof *sim);
  sim_result_t result;
  el_time_t end;

  sim->o = *options;
  sim_open (sim);
  end = sim->now + (el_time_t)(sim->o.seconds * EL_SEC);
  for (; sim->now < end; sim->now += STEP)
    {
      news_arrive (sim);
      engines_move (sim);
      callers_come (sim);
      streams_move (sim);
    }
  sim_close (sim);
  result = sim->result;
  free (sim);
  return result;
}
