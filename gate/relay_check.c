/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Engines asked for a sign of life when streams through them stand still. One
 * that gives none is left by all streams of this host, and asked again until
 * it answers or is listed no more.
 */
#include "librelay.h"

/* An engine answers within a few milliseconds also when it is busy. */
#define CHECK_LIMIT (50 * EL_MSEC)
/* Not asked again sooner than this, however many streams wait for it. */
#define CHECK_GAP (80 * EL_MSEC)
#define CHECK_AGAIN (400 * EL_MSEC)
/* So many times slower than its kind an engine is worth leaving: moving reads
   all tokens anew. */
#define PACE_SLOW 2.5
#define SLOW_AGAIN (1000 * EL_MSEC)

typedef struct relay_check
{
  gt_relays_t *relays;
  rt_target_t *engine;
  net_exchange_t *ask;
  el_time_t asked;
  el_timer_t again;
  UT_hash_handle hh;
} relay_check_t;

static void check_ask (void *arg, el_time_t now);

static void
check_free (relay_check_t *check)
{
  net_clock_cancel (check->relays->options.clock, &check->again);
  HASH_DEL (check->relays->checks, check);
  rt_target_unref (check->engine);
  free (check);
}

/* Have the streams through a slow engine use a copy of it in their hall. */
static void
check_move (gt_relays_t *relays, rt_target_t *engine)
{
  gt_relay_t *relay;
  gt_relay_t *next;

  DL_FOREACH_SAFE (relays->running, relay, next)
  if (!relay->ended && relay->exchange && rt_line_has (&relay->line, engine))
    relay_watch_slow (relay, engine);
}

/* Have all streams through a silent engine go around it. */
static void
check_leave (gt_relays_t *relays, rt_target_t *engine)
{
  gt_relay_t *relay;
  gt_relay_t *next;

  DL_FOREACH_SAFE (relays->running, relay, next)
  if (!relay->ended && relay->exchange && rt_line_has (&relay->line, engine))
    relay_watch_silent (relay, engine);
}

/* An engine that runs slowly is left by the streams that have a copy of it in
   their hall, chosen less by new ones, and asked again until it is well. */
static void
check_pace (relay_check_t *check, double pace)
{
  rt_target_t *engine = check->engine;
  gt_relays_t *relays = check->relays;
  int was_slow = engine->pace >= PACE_SLOW;
  int slow = pace >= PACE_SLOW;

  engine->pace = pace;
  if (slow)
    net_clock_set (relays->options.clock, &check->again, SLOW_AGAIN);
  if (slow == was_slow)
    return;
  EL_LOG (EL_LOG_INFO, slow ? "engine_slow" : "engine_well",
          EL_FS ("engine", engine->facts.id),
          EL_FN ("pace_percent", (uint64_t)(pace * 100)),
          EL_FN ("lines", engine->lines));
  if (slow)
    check_move (relays, engine);
}

static void
check_told (void *arg, int answered, double pace)
{
  relay_check_t *check = arg;
  gt_relays_t *relays = check->relays;
  rt_target_t *engine = check->engine;
  int was = engine->suspect;

  check->ask = NULL;
  engine->suspect = !answered;
  if (answered)
    check_pace (check, pace);
  if (answered && !was)
    return;
  if (answered == was)
    EL_LOG (EL_LOG_INFO, answered ? "engine_back" : "engine_silent",
            EL_FS ("engine", engine->facts.id),
            EL_FS ("address", engine->facts.address),
            EL_FN ("lines", engine->lines));
  if (answered)
    return;
  relays->counts.silent++;
  rt_target_ref (engine);
  check_leave (relays, engine);
  if (engine->gone)
    check_free (check);
  else
    net_clock_set (relays->options.clock, &check->again, CHECK_AGAIN);
  rt_target_unref (engine);
}

static void
check_ask (void *arg, el_time_t now)
{
  relay_check_t *check = arg;
  const gt_relay_options_t *o = &check->relays->options;

  if (check->engine->gone)
    {
      check_free (check);
      return;
    }
  check->asked = now;
  check->relays->counts.checks++;
  check->ask = o->dialect->check (o->client, check->engine, CHECK_LIMIT,
                                  check_told, check);
}

/** Ask whether ENGINE lives. */
void
relay_check (gt_relays_t *relays, rt_target_t *engine)
{
  el_time_t now = net_clock_now (relays->options.clock);
  relay_check_t *check;

  HASH_FIND_PTR (relays->checks, &engine, check);
  if (!check)
    {
      check = el_alloc (sizeof *check);
      check->relays = relays;
      check->engine = rt_target_ref (engine);
      check->again.cb = check_ask;
      check->again.arg = check;
      HASH_ADD_PTR (relays->checks, engine, check);
    }
  if (check->ask || check->again.slot
      || (check->asked && now < check->asked + CHECK_GAP))
    return;
  check_ask (check, now);
}
