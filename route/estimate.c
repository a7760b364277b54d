/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * What one more stream would meet at an engine: how full its memory would be,
 * how much slower a token step, what waits to be read, how long for a place.
 * Taken from what the engine reported, some hundred milliseconds ago, and from
 * what this host sent since then, as the other hosts are taken to do the same.
 */
#include "relay.h"

/* An engine whose memory is full of streams costs half as much again; past
   FILL_KNEE it soon costs more than another hall, since the newest streams
   are put back when it runs out. */
#define FILL_PENALTY 0.5
#define FILL_KNEE 0.75
#define FILL_KNEE_SLOPE 40.0
/* What an engine reported counts for this long. */
#define REPORT_TTL (4 * EL_SEC)
/* A token step takes this many times as long with the usual number of streams
   as with one. */
#define LOADED_STEP_FACTOR 1.5
/* Load pattern: engines of a hall are lost, the others' streams take longer,
   and the slots of the engines with the first layers run out while memory and
   time of all engines are half used. Past SLOTS_KNEE of the slots an engine
   costs more as a first one, at all of them as much as leaving the hall. */
#define SLOTS_KNEE 0.85
#define SLOTS_PENALTY_MS 100.0

/* What this host adds to a number that the engine fresh when the host had
   THEN, and now has NOW: all hosts of the hall are taken to have added as
   much. */
static double
extrapolate (const rt_fleet_t *fleet, int fresh, double at_report, double now)
{
  return (fresh ? now - at_report : now) * rt_fleet_hosts (fleet);
}

static double
fill_with (const rt_fleet_t *fleet, const rt_model_t *model,
           const rt_card_t *card, const rt_target_t *target, int fresh,
           double tokens)
{
  double layers = target->facts.end - target->facts.first;
  double room = (card->memory_mb - layers * model->layer_mb)
                / model->token_kv_mb * (double)model->layers;
  double fill;

  if (room <= 0)
    return 1;
  fill = extrapolate (fleet, fresh, target->held_at_report, target->held)
         / room;
  if (fresh)
    fill += target->fill;
  return (fill > 0 ? fill : 0) + tokens * layers / room;
}

static double
fill_factor (double fill)
{
  double over = fill > FILL_KNEE ? fill - FILL_KNEE : 0;

  return 1 + FILL_PENALTY * fill + FILL_KNEE_SLOPE * over;
}

/* Reading one token in one layer, while others write between the reads. */
static double
read_ms (const rt_model_t *model, const rt_card_t *card)
{
  double steps = model->read_steps * model->step_ms * card->step_pace;

  return (model->read_ms * card->read_pace + LOADED_STEP_FACTOR * steps)
         / (double)model->layers;
}

static double
slot_wait_ms (const rt_fleet_t *fleet, const rt_target_t *target, int fresh)
{
  double slots = target->facts.slots ? (double)target->facts.slots : 1;
  double taken
      = (extrapolate (fleet, fresh, target->running_at_report, target->running)
         + 1)
        / slots;

  if (fresh)
    taken += target->taken;
  return taken > SLOTS_KNEE ? SLOTS_PENALTY_MS * (taken - SLOTS_KNEE) : 0;
}

/** What a stream of TOKENS would meet at TARGET, an engine with one of the
    model's cards. */
rt_estimate_t
rt_estimate (const rt_fleet_t *fleet, const rt_model_t *model,
             const rt_target_t *target, double tokens, el_time_t now)
{
  const rt_card_t *card = rt_model_card (model, target->facts.card);
  double pace = target->pace > 1 ? target->pace : 1;
  int fresh = target->told && now < target->told + REPORT_TTL;
  double fill = fill_with (fleet, model, card, target, fresh, tokens);

  return (rt_estimate_t){
    .fill = fill,
    .step_factor = pace * fill_factor (fill),
    .prefill_wait_ms
    = target->unread * rt_fleet_hosts (fleet) * read_ms (model, card) * pace,
    .slot_wait_ms = slot_wait_ms (fleet, target, fresh)
  };
}
