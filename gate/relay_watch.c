/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Streams that stand still: found by the time since their last event, and
 * moved around the engine that holds them up. First the engines of the line
 * are asked for a sign of life; when all live, the first one is asked where
 * the stream waits.
 */
#include <string.h>

#include "librelay.h"

/* A stream without an event for this long stands still. */
#define STILL_AFTER (75 * EL_MSEC)
/* The same before the first event, until which a prompt is read. */
#define STILL_FIRST (150 * EL_MSEC)
/* Where all streams are slow, one stands still after this many times what is
   usual on this host. */
#define STILL_TIMES 2
#define STILL_FIRST_TIMES 3
#define USUAL_OVER 32
/* A timer that fires later than this was held up with the process. */
#define HELD_UP (10 * EL_MSEC)
#define LOOK_AGAIN (100 * EL_MSEC)
/* The same for a stream that can't be helped now. */
#define WAIT_AGAIN (400 * EL_MSEC)
/* One look of so many asks the first engine where the stream waits; the
   others ask the engines of the line for a sign of life. */
#define LOOKS_ASK 4
/* Which one of them. */
#define LOOKS_ASK_AT 2
#define LOOKS_MAX 30
/* Moves that fail before the stream is begun anew at another line. */
#define MOVES_MAX 3

static void watch_look (void *arg, el_time_t now);
static void watch_move (gt_relay_t *relay);
static void watch_moved (void *arg, int done, el_str_t at_fault,
                         const rt_asks_t *asks);

static el_time_t
watch_limit (const gt_relay_t *relay)
{
  const gt_relays_t *relays = relay->relays;
  el_time_t usual = relay->nevents ? STILL_TIMES * relays->usual_gap
                                   : STILL_FIRST_TIMES * relays->usual_first;
  el_time_t least = relay->nevents ? STILL_AFTER : STILL_FIRST;

  return usual > least ? usual : least;
}

/* A moving mean over the last USUAL_OVER values or so. */
static void
usual_add (el_time_t *usual, el_time_t value)
{
  *usual = *usual - *usual / USUAL_OVER + value / USUAL_OVER;
}

/* The stream goes: what was tried while it stood still is over. */
static void
watch_forget (gt_relay_t *relay)
{
  relay->looks = 0;
  relay->moves = 0;
  relay->avoid.n = 0;
}

/* Let go of what was asked, and of the line that was to be moved to. */
static void
watch_drop_ask (gt_relay_t *relay)
{
  if (relay->ask)
    net_client_cancel (relay->ask);
  relay->ask = NULL;
  rt_line_release (&relay->next_line);
}

/** The stream was sent: wait for its first event. */
void
relay_watch_begin (gt_relay_t *relay)
{
  relay->watch.cb = watch_look;
  relay->watch.arg = relay;
  relay->still_since = relay->sent;
  watch_forget (relay);
  if (relay->relays->options.dialect->check)
    net_clock_set (relay->relays->options.clock, &relay->watch, STILL_FIRST);
}

/** An event came after GAP. */
void
relay_watch_event (gt_relay_t *relay, el_time_t gap)
{
  usual_add (relay->nevents ? &relay->relays->usual_gap
                            : &relay->relays->usual_first,
             gap);
  relay->still_since = net_clock_now (relay->relays->options.clock);
  watch_forget (relay);
}

/** No longer look after the stream. */
void
relay_watch_end (gt_relay_t *relay)
{
  net_clock_cancel (relay->relays->options.clock, &relay->watch);
  watch_drop_ask (relay);
}

static void
watch_again (gt_relay_t *relay, el_time_t wait)
{
  net_clock_set (relay->relays->options.clock, &relay->watch, wait);
}

/* Have the first engine pass the stream on over the line that was found. */
static void
watch_reroute (gt_relay_t *relay)
{
  const gt_relay_options_t *o = &relay->relays->options;

  rt_line_hold (&relay->next_line, &relay->line, relay->tokens);
  relay->ask = o->dialect->reroute (o->client, relay->id, &relay->next_line,
                                    watch_moved, relay);
}

/* Send the stream again. One that may not be sent again stays where it is: its
   engine may come back, and silence is no reason to end what a caller waits
   for. */
static void
watch_begin_anew (gt_relay_t *relay, const char *why)
{
  int may = relay_may_resume (relay);

  EL_LOG (EL_LOG_INFO, may ? "stream_begun_anew" : "stream_waits",
          EL_FS ("request", relay->id), EL_FN ("avoided", relay->avoid.n),
          EL_FN ("events", relay->nevents), EL_FC ("reason", why));
  if (may)
    {
      relay_abandon (relay);
      return;
    }
  relay->relays->counts.held++;
  watch_forget (relay);
  watch_again (relay, WAIT_AGAIN);
}

/* A move was refused: go around the engine that can't have its part, too. A
   stream that is only slow stays where it is. */
static void
watch_not_moved (gt_relay_t *relay, el_str_t at_fault)
{
  rt_target_t *engine = rt_line_engine (&relay->next_line, at_fault);

  /* Where none is named, one of the new ones has no room. */
  if (!engine)
    engine = rt_line_fullest (&relay->next_line, &relay->line);
  if (relay->avoid.n == 0)
    {
      rt_line_release (&relay->next_line);
      watch_again (relay, LOOK_AGAIN);
      return;
    }
  if (engine)
    {
      rt_tried_add (&relay->avoid, engine);
      rt_target_busy (engine, net_clock_now (relay->relays->options.clock));
      if (at_fault.len)
        relay_check (relay->relays, engine);
    }
  rt_line_release (&relay->next_line);
  if (++relay->moves >= MOVES_MAX)
    watch_begin_anew (relay, "moves were refused");
  else
    watch_move (relay);
}

static void
watch_moved (void *arg, int done, el_str_t at_fault, const rt_asks_t *asks)
{
  gt_relay_t *relay = arg;

  relay->ask = NULL;
  gt_relays_asked (relay->relays, relay->target, asks, relay->id);
  EL_LOG (EL_LOG_INFO, done ? "stream_moved" : "stream_not_moved",
          EL_FS ("request", relay->id), EL_FN ("events", relay->nevents),
          EL_FN ("parts", relay->next_line.n), EL_FN ("moves", relay->moves),
          EL_FS ("fault", at_fault));
  if (!done)
    {
      watch_not_moved (relay, at_fault);
      return;
    }
  relay->relays->counts.rerouted++;
  rt_line_release (&relay->line);
  relay->line = relay->next_line;
  relay->next_line.n = 0;
  watch_again (relay, LOOK_AGAIN);
}

/* Move the stream around the engines to avoid. A line that leaves the hall has
   all tokens so far cross the pipe that all share; reading them at another
   hall's own line is sooner. */
static void
watch_move (gt_relay_t *relay)
{
  const gt_relay_options_t *o = &relay->relays->options;
  const char *why = "its first engine is lost";

  if (!rt_tried_has (&relay->avoid, relay->target))
    {
      why = "no line around the engine in its hall";
      if (rt_line_around (o->fleet, net_clock_now (o->clock), relay->service,
                          &relay->line, &relay->avoid, &relay->next_line)
          && !(rt_line_crosses (&relay->next_line)
               && relay_may_resume (relay)))
        {
          watch_reroute (relay);
          return;
        }
    }
  relay->next_line.n = 0;
  watch_begin_anew (relay, why);
}

/** ENGINE, on the stream's line, gives no sign of life. */
void
relay_watch_silent (gt_relay_t *relay, rt_target_t *engine)
{
  EL_LOG (EL_LOG_INFO, "stream_through_silent_engine",
          EL_FS ("request", relay->id), EL_FS ("engine", engine->facts.id),
          EL_FN ("events", relay->nevents),
          EL_FN ("still_us", net_clock_now (relay->relays->options.clock)
                                 - relay->still_since));
  watch_drop_ask (relay);
  relay_blame_broken (relay, engine);
  rt_tried_add (&relay->avoid, engine);
  watch_move (relay);
}

/** ENGINE, on the stream's line, runs slowly: use a copy of it in the same
    hall when there is one. */
void
relay_watch_slow (gt_relay_t *relay, rt_target_t *engine)
{
  const gt_relay_options_t *o = &relay->relays->options;
  rt_tried_t tried = { .n = 0 };

  rt_tried_add (&tried, engine);
  if (relay->ask)
    return;
  if (rt_line_around (o->fleet, net_clock_now (o->clock), relay->service,
                      &relay->line, &tried, &relay->next_line)
      && !rt_line_crosses (&relay->next_line))
    watch_reroute (relay);
  else
    relay->next_line.n = 0;
}

/* Whether the stream passes ENGINE by layers that it holds no more. */
static int
watch_passes_given_up (const gt_relay_t *relay, const rt_target_t *engine)
{
  size_t i;

  for (i = 0; i < relay->line.n; i++)
    {
      const struct rt_part *part = &relay->line.part[i];

      if (part->target == engine
          && (part->from < engine->facts.first
              || part->to > engine->facts.end))
        return 1;
    }
  return 0;
}

/** ENGINE, on the stream's line, may have given up what it runs of it: it
   loads nothing before its streams are over or gone. From an order that moves
   a spare copy to the copy in its place: 5.9 s in the mean with streams that
    stay to their end, 2.5 s with this (17 and 18 moves). */
void
relay_watch_given_up (gt_relay_t *relay, rt_target_t *engine)
{
  const gt_relay_options_t *o = &relay->relays->options;
  rt_tried_t tried = { .n = 0 };

  if (relay->ask || !watch_passes_given_up (relay, engine))
    return;
  rt_tried_add (&tried, engine);
  if (rt_line_around (o->fleet, net_clock_now (o->clock), relay->service,
                      &relay->line, &tried, &relay->next_line))
    watch_reroute (relay);
  else
    relay->next_line.n = 0;
}

static void
watch_told (void *arg, int answered, el_str_t address, const rt_asks_t *asks)
{
  gt_relay_t *relay = arg;
  rt_target_t *engine = rt_line_engine (&relay->line, address);

  relay->ask = NULL;
  gt_relays_asked (relay->relays, relay->target, asks, relay->id);
  EL_LOG (EL_LOG_INFO, "stream_stands_still", EL_FS ("request", relay->id),
          EL_FN ("answered", answered), EL_FS ("engine", address),
          EL_FN ("looks", relay->looks), EL_FN ("events", relay->nevents),
          EL_FN ("still_us", net_clock_now (relay->relays->options.clock)
                                 - relay->still_since));
  if (engine)
    {
      /* It may live and be out of its neighbours' reach. */
      rt_target_changed (engine, net_clock_now (relay->relays->options.clock));
      rt_tried_add (&relay->avoid, engine);
      watch_move (relay);
    }
  else
    watch_again (relay, LOOK_AGAIN);
}

/* Ask the engines of the line for a sign of life; look again, each time later.
 */
static void
watch_check (gt_relay_t *relay)
{
  unsigned later = relay->looks < LOOKS_ASK ? relay->looks : LOOKS_ASK;
  size_t i;

  for (i = 0; i < relay->line.n; i++)
    relay_check (relay->relays, relay->line.part[i].target);
  watch_again (relay, LOOK_AGAIN << later);
}

/* Time passed; look whether the stream moves. */
static void
watch_look (void *arg, el_time_t now)
{
  gt_relay_t *relay = arg;
  const gt_relay_options_t *o = &relay->relays->options;
  el_time_t limit = watch_limit (relay);
  el_time_t still = now - relay->still_since;

  if (still < limit)
    {
      watch_again (relay, limit - still);
      return;
    }
  if (now > relay->watch.due + HELD_UP)
    {
      /* This process was held up: events may wait to be read. */
      watch_again (relay, HELD_UP);
      return;
    }
  if (relay->ask || relay->looks++ >= LOOKS_MAX)
    return;
  if (relay->looks % LOOKS_ASK == LOOKS_ASK_AT)
    relay->ask = o->dialect->ask_stalled (o->client, relay->target, relay->id,
                                          watch_told, relay);
  else
    watch_check (relay);
}
