/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Detection of stalled streams by the time since their last event. First the
 * engines of the chain are sent health checks; if all respond, the chain's
 * first engine is asked which engine the stream waits for. The stream is then
 * rerouted around that engine.
 */
#include <string.h>

#include "librelay.h"

/* Time without an event after which a stream counts as stalled. */
#define STALL_TIMEOUT (75 * EL_MSEC)
/* The same before the first event, while the prompt is processed. */
#define FIRST_EVENT_TIMEOUT (150 * EL_MSEC)
/* If all streams of this host are slow, they count as stalled only after this
   many times their mean. */
#define STALL_MEAN_FACTOR 2
#define FIRST_EVENT_MEAN_FACTOR 3
#define MEAN_WINDOW 32
/* If a timer fires later than this, the process was delayed. */
#define TIMER_DELAY_MAX (10 * EL_MSEC)
#define WATCH_INTERVAL (100 * EL_MSEC)
/* Interval until a stalled stream that may not be retried is checked again. */
#define NO_RETRY_INTERVAL (400 * EL_MSEC)
/* Of each QUERY_PERIOD stall checks, number QUERY_PHASE asks the first engine
   which engine the stream waits for; the others send health checks. */
#define QUERY_PERIOD 4
#define QUERY_PHASE 2
#define STALL_CHECKS_MAX 30
/* Refused reroutes before the stream is resumed on another chain. */
#define REROUTES_MAX 3

/* Part of the stall timeout after which a stream through an engine that does
   not respond counts as stalled: another stream's stall had the engine
   checked. */
#define STALL_SHARE 2

static void watch_tick (void *arg, el_time_t now);
static void watch_move_stream (gt_relay_t *relay);
static void watch_reroute_done (void *arg, int done, el_str_t at_fault,
                                const rt_hints_t *hints);

static el_time_t
stall_timeout (const gt_relay_t *relay)
{
  const gt_relays_t *relays = relay->relays;
  el_time_t scaled_mean
      = relay->nevents ? STALL_MEAN_FACTOR * relays->mean_event_gap
                       : FIRST_EVENT_MEAN_FACTOR * relays->mean_first_event;
  el_time_t min = relay->nevents ? STALL_TIMEOUT : FIRST_EVENT_TIMEOUT;

  return scaled_mean > min ? scaled_mean : min;
}

/* Updates an exponential moving mean over about MEAN_WINDOW values. */
static void
mean_update (el_time_t *mean, el_time_t value)
{
  *mean = *mean - *mean / MEAN_WINDOW + value / MEAN_WINDOW;
}

/* Clears the stall state: the stream makes progress. */
static void
watch_reset (gt_relay_t *relay)
{
  relay->stall_checks = 0;
  relay->reroutes = 0;
  relay->avoid.n = 0;
}

/* Cancels the query or reroute in progress and releases the new chain. */
static void
watch_cancel_query (gt_relay_t *relay)
{
  if (relay->query)
    net_client_cancel (relay->query);
  relay->query = NULL;
  rt_chain_release (&relay->reroute_chain);
}

/** Starts watching a stream that was just sent. */
void
relay_watch_start (gt_relay_t *relay)
{
  relay->watch_timer.cb = watch_tick;
  relay->watch_timer.arg = relay;
  relay->last_progress = relay->sent;
  watch_reset (relay);
  if (relay->relays->options.dialect->check)
    net_clock_set (relay->relays->options.clock, &relay->watch_timer,
                   FIRST_EVENT_TIMEOUT);
}

/** Records an event that came after GAP. */
void
relay_watch_event (gt_relay_t *relay, el_time_t gap)
{
  mean_update (relay->nevents ? &relay->relays->mean_event_gap
                              : &relay->relays->mean_first_event,
               gap);
  relay->last_progress = net_clock_now (relay->relays->options.clock);
  watch_reset (relay);
}

/** Stops watching the stream. */
void
relay_watch_stop (gt_relay_t *relay)
{
  net_clock_cancel (relay->relays->options.clock, &relay->watch_timer);
  watch_cancel_query (relay);
}

static void
watch_schedule (gt_relay_t *relay, el_time_t wait)
{
  net_clock_set (relay->relays->options.clock, &relay->watch_timer, wait);
}

/** Watches an attempt that is the current one again. */
void
relay_watch_again (gt_relay_t *relay)
{
  if (!relay->chain.n)
    return;
  relay->watch_timer.cb = watch_tick;
  relay->watch_timer.arg = relay;
  watch_reset (relay);
  watch_schedule (relay, NO_RETRY_INTERVAL);
}

/* Tells the first engine to continue the stream on the new chain. */
static void
watch_reroute (gt_relay_t *relay)
{
  const gt_relay_options_t *o = &relay->relays->options;

  rt_chain_acquire (&relay->reroute_chain, &relay->chain, relay->tokens);
  relay->query = o->dialect->reroute (
      o->client, relay->id, &relay->reroute_chain, watch_reroute_done, relay);
}

/* Resumes the stream on another chain, for the reason WHY, if that is
   possible before its engine recovers. A stall alone is no reason to end a
   response that the caller waits for. */
static void
watch_restart_stream (gt_relay_t *relay, const char *why)
{
  int may_resume = relay_may_resume (relay);

  EL_LOG (EL_LOG_INFO, may_resume ? "stream_begun_anew" : "stream_waits",
          EL_FS ("request", relay->id), EL_FN ("avoided", relay->avoid.n),
          EL_FN ("events", relay->nevents), EL_FC ("reason", why));
  if (may_resume && relay_standby_begin (relay))
    return;
  relay->relays->counts.not_retried++;
  watch_reset (relay);
  watch_schedule (relay, NO_RETRY_INTERVAL);
}

/* Tries another chain that also bypasses the engine that refused. A stream
   that was to be moved only off a slow engine, or for released layers, stays
   where it is. */
static void
watch_reroute_failed (gt_relay_t *relay, el_str_t at_fault)
{
  rt_target_t *engine = rt_chain_engine_at (&relay->reroute_chain, at_fault);

  /* If none is named, one of the new engines has no capacity. */
  if (!engine)
    engine = rt_chain_fullest (&relay->reroute_chain, &relay->chain);
  if (relay->avoid.n == 0)
    {
      rt_chain_release (&relay->reroute_chain);
      watch_schedule (relay, WATCH_INTERVAL);
      return;
    }
  if (engine)
    {
      rt_tried_add (&relay->avoid, engine);
      rt_target_busy (engine, net_clock_now (relay->relays->options.clock));
      if (at_fault.len)
        relay_check (relay->relays, engine);
    }
  rt_chain_release (&relay->reroute_chain);
  if (++relay->reroutes >= REROUTES_MAX)
    watch_restart_stream (relay, "reroutes refused");
  else
    watch_move_stream (relay);
}

static void
watch_reroute_done (void *arg, int done, el_str_t at_fault,
                    const rt_hints_t *hints)
{
  gt_relay_t *relay = arg;

  relay->query = NULL;
  gt_relays_apply_hints (relay->relays, relay->target, hints, relay->id);
  EL_LOG (EL_LOG_INFO, done ? "stream_moved" : "stream_not_moved",
          EL_FS ("request", relay->id), EL_FN ("events", relay->nevents),
          EL_FN ("parts", relay->reroute_chain.n),
          EL_FN ("moves", relay->reroutes), EL_FS ("fault", at_fault));
  if (!done)
    {
      watch_reroute_failed (relay, at_fault);
      return;
    }
  relay->relays->counts.rerouted++;
  rt_chain_release (&relay->chain);
  relay->chain = relay->reroute_chain;
  relay->reroute_chain.n = 0;
  watch_schedule (relay, WATCH_INTERVAL);
}

/* Reroutes the stream around the engines to avoid. A chain that crosses halls
   would send all tokens so far over the shared link between halls; processing
   them again on a chain within another hall is faster. */
static void
watch_move_stream (gt_relay_t *relay)
{
  const gt_relay_options_t *o = &relay->relays->options;
  const char *why = "first engine lost";

  if (!rt_tried_has (&relay->avoid, relay->target))
    {
      why = "no line around the engine in its hall";
      if (rt_chain_reroute (o->fleet, net_clock_now (o->clock), relay->service,
                            &relay->chain, &relay->avoid,
                            &relay->reroute_chain)
          && !(rt_chain_crosses_halls (&relay->reroute_chain)
               && relay_may_resume (relay)))
        {
          watch_reroute (relay);
          return;
        }
    }
  relay->reroute_chain.n = 0;
  watch_restart_stream (relay, why);
}

static void
watch_leave_engine (gt_relay_t *relay, rt_target_t *engine)
{
  EL_LOG (EL_LOG_INFO, "stream_through_silent_engine",
          EL_FS ("request", relay->id), EL_FS ("engine", engine->attrs.id),
          EL_FN ("events", relay->nevents),
          EL_FN ("still_us", net_clock_now (relay->relays->options.clock)
                                 - relay->last_progress));
  watch_cancel_query (relay);
  rt_tried_add (&relay->avoid, engine);
  watch_move_stream (relay);
}

/** Moves the stream off ENGINE, in its chain, which does not respond to this
    host. A stream that makes progress shows that ENGINE runs and that its
    neighbors reach it. */
void
relay_watch_engine_silent (gt_relay_t *relay, rt_target_t *engine)
{
  el_time_t now = net_clock_now (relay->relays->options.clock);
  int stalled
      = now >= relay->last_progress + stall_timeout (relay) / STALL_SHARE;

  if (!stalled && relay->last_progress > relay->sent)
    return;
  if (stalled)
    relay_runs_interrupted (relay, engine);
  watch_leave_engine (relay, engine);
}

/** Moves the stream off ENGINE, in its chain, which has restarted. */
void
relay_watch_engine_restarted (gt_relay_t *relay, rt_target_t *engine)
{
  relay_runs_interrupted (relay, engine);
  watch_leave_engine (relay, engine);
}

/** Moves the stream off ENGINE, in its chain, which is slow, if the same hall
    has a replica. */
void
relay_watch_engine_slow (gt_relay_t *relay, rt_target_t *engine)
{
  const gt_relay_options_t *o = &relay->relays->options;
  rt_tried_t tried = { .n = 0 };

  rt_tried_add (&tried, engine);
  if (relay->query)
    return;
  if (rt_chain_reroute (o->fleet, net_clock_now (o->clock), relay->service,
                        &relay->chain, &tried, &relay->reroute_chain)
      && !rt_chain_crosses_halls (&relay->reroute_chain))
    watch_reroute (relay);
  else
    relay->reroute_chain.n = 0;
}

/* Whether the stream uses layers of ENGINE that it no longer holds. */
static int
watch_uses_released_layers (const gt_relay_t *relay, const rt_target_t *engine)
{
  size_t i;

  for (i = 0; i < relay->chain.n; i++)
    {
      const struct rt_chain_part *part = &relay->chain.part[i];

      if (part->target == engine
          && (part->from < engine->attrs.first
              || part->to > engine->attrs.end))
        return 1;
    }
  return 0;
}

/** Moves the stream off ENGINE, in its chain, if it uses layers that ENGINE
    has released: ENGINE loads no others until the streams on these have ended
    or moved. The mean time from an order that moves a spare replica until the
    replica is in place was 5.9 s with streams that stay to their end, and 2.5
    s with this (17 and 18 moves). */
void
relay_watch_layers_released (gt_relay_t *relay, rt_target_t *engine)
{
  const gt_relay_options_t *o = &relay->relays->options;
  rt_tried_t tried = { .n = 0 };

  if (relay->query || !watch_uses_released_layers (relay, engine))
    return;
  rt_tried_add (&tried, engine);
  if (rt_chain_reroute (o->fleet, net_clock_now (o->clock), relay->service,
                        &relay->chain, &tried, &relay->reroute_chain))
    watch_reroute (relay);
  else
    relay->reroute_chain.n = 0;
}

static void
watch_query_done (void *arg, int answered, el_str_t address,
                  const rt_hints_t *hints)
{
  gt_relay_t *relay = arg;
  rt_target_t *engine = rt_chain_engine_at (&relay->chain, address);

  relay->query = NULL;
  gt_relays_apply_hints (relay->relays, relay->target, hints, relay->id);
  EL_LOG (EL_LOG_INFO, "stream_stands_still", EL_FS ("request", relay->id),
          EL_FN ("answered", answered), EL_FS ("engine", address),
          EL_FN ("looks", relay->stall_checks),
          EL_FN ("events", relay->nevents),
          EL_FN ("still_us", net_clock_now (relay->relays->options.clock)
                                 - relay->last_progress));
  if (engine)
    {
      /* It may be alive but unreachable for its neighbors in the chain. */
      rt_target_changed (engine, net_clock_now (relay->relays->options.clock));
      rt_tried_add (&relay->avoid, engine);
      watch_move_stream (relay);
    }
  else
    watch_schedule (relay, WATCH_INTERVAL);
}

/* Sends health checks to the engines of the chain; waits longer each time. */
static void
watch_check (gt_relay_t *relay)
{
  unsigned doublings = relay->stall_checks < QUERY_PERIOD ? relay->stall_checks
                                                          : QUERY_PERIOD;
  size_t i;

  for (i = 0; i < relay->chain.n; i++)
    relay_check (relay->relays, relay->chain.part[i].target);
  watch_schedule (relay, WATCH_INTERVAL << doublings);
}

/* Returns an engine of the chain that is no longer listed, and which no check
   will find silent; NULL if there is none. */
static rt_target_t *
watch_engine_gone (const gt_relay_t *relay)
{
  size_t i;

  for (i = 0; i < relay->chain.n; i++)
    if (relay->chain.part[i].target->avail.gone)
      return relay->chain.part[i].target;
  return NULL;
}

/* Checks whether the stream is stalled. */
static void
watch_tick (void *arg, el_time_t now)
{
  gt_relay_t *relay = arg;
  const gt_relay_options_t *o = &relay->relays->options;
  el_time_t limit = stall_timeout (relay);
  el_time_t stalled_for = now - relay->last_progress;
  rt_target_t *gone = watch_engine_gone (relay);

  if (stalled_for < limit)
    {
      watch_schedule (relay, limit - stalled_for);
      return;
    }
  if (now > relay->watch_timer.due + TIMER_DELAY_MAX)
    {
      /* The process was delayed: events may be waiting to be read. */
      watch_schedule (relay, TIMER_DELAY_MAX);
      return;
    }
  if (gone)
    {
      watch_leave_engine (relay, gone);
      return;
    }
  if (relay->query || relay->stall_checks++ >= STALL_CHECKS_MAX)
    return;
  if (relay->stall_checks % QUERY_PERIOD == QUERY_PHASE)
    relay->query = o->dialect->query_stalled (
        o->client, relay->target, relay->id, watch_query_done, relay);
  else
    watch_check (relay);
}
