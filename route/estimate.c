/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Estimates the cost of one more stream at an engine: memory use, slowdown of
 * a decode step, prefill queue, and wait for a slot. The inputs are the
 * engine's last load report, some hundred milliseconds old, and what this host
 * has sent since; the other hosts are assumed to have sent as much.
 */
#include "relay.h"

/* Slowdown in proportion to memory use, FILL_PENALTY at full memory. Above
   FILL_KNEE a steeper term is added, which soon exceeds the cost of another
   hall, since an engine that runs out of memory preempts its newest
   streams. */
#define FILL_PENALTY 0.5
#define FILL_KNEE 0.75
#define FILL_KNEE_SLOPE 40.0
/* How long a load report is valid. */
#define REPORT_TTL (4 * EL_SEC)
/* Duration of a decode step under typical load, relative to that with one
   stream. */
#define LOADED_STEP_FACTOR 1.5
/* As the first of a chain, an engine costs more above SLOTS_KNEE of its slots;
   with all slots taken it costs as much as leaving the hall. The load pattern
   that this guards against: some engines of a hall fail, streams on the others
   take longer, and the engines with the first layers run out of slots while
   all engines use half of their memory and time. */
#define SLOTS_KNEE 0.85
#define SLOTS_PENALTY_MS 100.0

/* Extrapolates this host's load to all hosts that use the engine, which are
   assumed to cause as much: the change from AT_REPORT, at the engine's load
   report, to NOW, or all of NOW if the report is not FRESH. */
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
  double layers = target->attrs.end - target->attrs.first;
  double kv_capacity = (card->memory_mb - layers * model->layer_mb)
                       / model->token_kv_mb * (double)model->layers;
  double fill;

  if (kv_capacity <= 0)
    return 1;
  fill = extrapolate (fleet, fresh, target->held_at_report, target->kv_held)
         / kv_capacity;
  if (fresh)
    fill += target->fill;
  return (fill > 0 ? fill : 0) + tokens * layers / kv_capacity;
}

static double
fill_factor (double fill)
{
  double excess = fill > FILL_KNEE ? fill - FILL_KNEE : 0;

  return 1 + FILL_PENALTY * fill + FILL_KNEE_SLOPE * excess;
}

/* Prefill time per token and layer, including the decode steps of other
   streams in between. */
static double
prefill_ms (const rt_model_t *model, const rt_card_t *card)
{
  double steps = model->interleaved_steps * model->step_ms * card->step_scale;

  return (model->prefill_ms * card->prefill_scale + LOADED_STEP_FACTOR * steps)
         / (double)model->layers;
}

static double
slot_wait_ms (const rt_fleet_t *fleet, const rt_target_t *target, int fresh)
{
  double slots = target->attrs.slots ? (double)target->attrs.slots : 1;
  double taken
      = (extrapolate (fleet, fresh, target->running_at_report, target->running)
         + 1)
        / slots;

  if (fresh)
    taken += target->taken;
  return taken > SLOTS_KNEE ? SLOTS_PENALTY_MS * (taken - SLOTS_KNEE) : 0;
}

/** Estimates the cost of a stream of TOKENS at TARGET, an engine with the
    accelerator type CARD. */
rt_estimate_t
rt_estimate (const rt_fleet_t *fleet, const rt_model_t *model,
             const rt_card_t *card, const rt_target_t *target, double tokens,
             el_time_t now)
{
  double pace = target->pace > 1 ? target->pace : 1;
  int fresh = target->reported_at && now < target->reported_at + REPORT_TTL;
  double fill = fill_with (fleet, model, card, target, fresh, tokens);

  return (rt_estimate_t){ .fill = fill,
                          .step_factor = pace * fill_factor (fill),
                          .prefill_wait_ms = target->to_prefill
                                             * rt_fleet_hosts (fleet)
                                             * prefill_ms (model, card) * pace,
                          .slot_wait_ms
                          = slot_wait_ms (fleet, target, fresh) };
}
