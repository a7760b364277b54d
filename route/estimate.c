/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Estimates the cost of one more stream at an engine: memory use, slowdown of
 * a decode step, prefill queue, and wait for a slot. The inputs are the
 * engine's last load report, some hundred milliseconds old, and what this host
 * has sent since; what the other hosts have sent is told by them, or assumed
 * to be as much (load/ld_others.c).
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

/* What an estimate is based on. */
typedef struct basis
{
  const rt_fleet_t *fleet;
  const rt_target_t *target;
  el_time_t now;
  int fresh; /* the engine's load report is recent */
} basis_t;

/* The use of QUANTITY, of which this host uses OWN, by all hosts that use the
   engine: the change since its load report, or all if that is not recent. */
static double
used_by_all (const basis_t *basis, const ld_quantity_t *quantity, double own)
{
  return ld_others_estimate (&basis->target->others, quantity, basis->now, own,
                             rt_fleet_hosts (basis->fleet), basis->fresh);
}

/* Sets the memory use with a stream of TOKENS, and the room for such. */
static void
estimate_memory (const basis_t *basis, const rt_model_t *model,
                 const rt_card_t *card, double tokens, rt_estimate_t *out)
{
  const rt_target_t *target = basis->target;
  double layers = target->attrs.end - target->attrs.first;
  double kv_capacity = (card->memory_mb - layers * model->layer_mb)
                       / model->token_kv_mb * (double)model->layers;
  double fill;

  out->fill = 1;
  if (kv_capacity <= 0)
    return;
  fill = used_by_all (basis, &target->others.held, target->kv_held)
         / kv_capacity;
  if (basis->fresh)
    fill += target->fill;
  if (fill < 0)
    fill = 0;
  out->fill = fill + tokens * layers / kv_capacity;
  if (tokens > 0 && layers > 0)
    out->kv_room = (1 - fill) * kv_capacity / (tokens * layers);
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

/* Sets the cost of beginning one more stream, and the slots for such. */
static void
estimate_slots (const basis_t *basis, rt_estimate_t *out)
{
  const rt_target_t *target = basis->target;
  double slots = target->attrs.slots ? (double)target->attrs.slots : 1;
  double taken
      = (used_by_all (basis, &target->others.begun, target->running) + 1)
        / slots;

  if (basis->fresh)
    taken += target->taken;
  out->slot_room = (1 - taken) * slots + 1;
  if (taken > SLOTS_KNEE)
    out->slot_wait_ms = SLOTS_PENALTY_MS * (taken - SLOTS_KNEE);
}

/** Estimates the cost of a stream of TOKENS at TARGET, an engine with the
    accelerator type CARD. */
rt_estimate_t
rt_estimate (const rt_fleet_t *fleet, const rt_model_t *model,
             const rt_card_t *card, const rt_target_t *target, double tokens,
             el_time_t now)
{
  const basis_t basis = { .fleet = fleet,
                          .target = target,
                          .now = now,
                          .fresh = target->reported_at
                                   && now < target->reported_at + REPORT_TTL };
  double pace = target->pace > 1 ? target->pace : 1;
  rt_estimate_t out
      = { .prefill_wait_ms = target->to_prefill * rt_fleet_hosts (fleet)
                             * prefill_ms (model, card) * pace };

  estimate_memory (&basis, model, card, tokens, &out);
  estimate_slots (&basis, &out);
  out.step_factor = pace * fill_factor (out.fill);
  return out;
}
