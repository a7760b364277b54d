/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Randomized tests: parsers get mutated input, and layer placement and retry
 * decisions are checked for their invariants under random schedules of events.
 * ELMARCH_SEEDS sets the number of seeds; the seed of a failure is printed,
 * and ELMARCH_SEED reproduces it.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "librelay.h"
#include "platform.h"
#include "seeds.h"
#include "test.h"

#define LAYERS 80
#define STEPS 60
#define ENGINES_MAX 24
#define ORDERS_MAX 64

/* Parsers of external input. */

static const char rules_text[]
    = "{\"Version\":7,\"Routes\":[{\"Name\":\"r\",\"Host\":\"h\","
      "\"PathPrefix\":\"/a/\",\"RouteType\":\"streaming\",\"TimeoutMs\":20000,"
      "\"TrafficSplit\":[{\"Service\":\"s\",\"Weight\":90}],\"MaxAttempts\":2,"
      "\"Resumable\":true}],\"Services\":[{\"Name\":\"s\",\"Engine\":{"
      "\"layers\":80,\"layer_mb\":1750.0,\"usual\":{\"prompt\":772,"
      "\"answer\":154},\"kinds\":[{\"Name\":\"k\",\"mb\":36000.0,"
      "\"pace\":3.1}]}}],\"Limits\":{\"IdleTimeoutMs\":15000},"
      "\"Tenants\":[{\"Name\":\"t\",\"ApiKeys\":[\"k1\",\"k2\"]}]}";
static const char entry_text[]
    = "{\"Service\":\"s\",\"Address\":\"10.0.0.1:80\",\"Zone\":\"h\","
      "\"Slots\":6,\"State\":\"ready\",\"born\":1,\"RouteType\":\"k\","
      "\"layers\":{\"Source\":0,\"TargetVersion\":16}}";
static const char list_text[]
    = "{\"Items\":[{\"Key\":\"a\",\"Value\":\"bm9kZS0x\",\"Revision\":4,"
      "\"made\":1,\"lease\":0},{\"Key\":\"b\",\"Revision\":5,\"gone\":true}],"
      "\"more\":false,\"at\":9}";
static const char events_text[]
    = "id: 7\ndata: a\n\nid:8\r\ndata: b\r\n\r\ndata: c\n\n";

static void
count_bytes (void *arg, el_str_t event, int has_id, uint64_t id)
{
  size_t *bytes = arg;

  (void)has_id;
  (void)id;
  *bytes += event.len;
}

static void
fuzz_parsers (uint64_t seed)
{
  el_buf_t text = seeds_mutate (rules_text);
  relay_events_t events = { { NULL, 0, 0 } };
  net_result_t result = { .net = NET_OK, .status = 200 };
  st_store_list_t list = { 0 };
  rt_attrs_t attrs;
  json_t *entry_json;
  el_err_t err;
  size_t bytes = 0;
  size_t cut;

  (void)seed;
  rt_rules_unref (pf_rules_read (el_buf_str (&text), &err));
  el_buf_free (&text);
  text = seeds_mutate (entry_text);
  if (pf_attrs_read (EL_STR ("servers/x"), el_buf_str (&text), &attrs,
                     &entry_json, &err))
    ck_assert_uint_le (attrs.first, attrs.end);
  json_decref (entry_json);
  el_buf_free (&text);
  text = seeds_mutate (list_text);
  result.body = el_buf_str (&text);
  pf_store.read_list (&result, &list);
  st_store_list_free (&list);
  el_buf_free (&text);
  text = seeds_mutate (events_text);
  cut = seeds_random ((unsigned)text.len + 1);
  relay_events_add (&events, (el_str_t){ text.ptr, cut }, count_bytes, &bytes);
  relay_events_add (&events, el_str_after (el_buf_str (&text), cut),
                    count_bytes, &bytes);
  ck_assert_uint_le (bytes + events.part.len, text.len);
  relay_events_reset (&events);
  el_buf_free (&text);
}

START_TEST (test_random_mutated_input_is_safe) { seeds_run (fuzz_parsers); }
END_TEST

/* Layer placement under lost, leaving and silent engines, and orders that are
   lost or executed late. */

typedef struct sim_order
{
  char id[16];
  rt_order_t order;
  unsigned orders_done; /* the engine's count when the order was given */
  int due;              /* steps until it is executed; -1: slot is free */
} sim_order_t;

typedef struct sim_engine
{
  char id[16];
  unsigned orders_done; /* orders executed */
  int live;
} sim_engine_t;

static rt_card_t cards[] = {
  { { "large", 5 }, 36000, 3.1, 3.2 },
  { { "middle", 6 }, 21600, 16, 8.2 },
  { { "small", 5 }, 14400, 15, 15 },
};

static struct
{
  rt_fleet_t *fleet;
  rt_service_t service;
  sim_engine_t engines[ENGINES_MAX];
  size_t n;
  sim_order_t orders[ORDERS_MAX];
} sim;

static rt_target_t *
engine_target (const sim_engine_t *engine)
{
  return rt_fleet_find (sim.fleet, el_str (engine->id));
}

static void
engine_add (void)
{
  sim_engine_t *engine;
  rt_attrs_t attrs = { .service = EL_STR ("pool"),
                       .address = EL_STR ("a"),
                       .hall = EL_STR ("h"),
                       .slots = 1 };

  if (sim.n == ENGINES_MAX)
    return;
  engine = &sim.engines[sim.n];
  *engine = (sim_engine_t){ .live = 1 };
  snprintf (engine->id, sizeof engine->id, "e%zu", sim.n++);
  attrs.id = el_str (engine->id);
  attrs.card = cards[seeds_random (3)].name;
  rt_fleet_update (sim.fleet, &attrs);
}

static sim_engine_t *
engine_find (el_str_t id)
{
  size_t i;

  for (i = 0; i < sim.n; i++)
    if (el_str_eq (el_str (sim.engines[i].id), id))
      return &sim.engines[i];
  return NULL;
}

/* Execute an order, unless the engine has executed another since the order was
   given. */
static void
order_execute (sim_order_t *pending)
{
  sim_engine_t *engine = engine_find (el_str (pending->id));
  rt_target_t *target = engine->live ? engine_target (engine) : NULL;

  pending->due = -1;
  if (!target || engine->orders_done != pending->orders_done)
    return;
  engine->orders_done++;
  target->attrs.first = pending->order.first;
  target->attrs.end = pending->order.end;
}

static void
order_send (const rt_order_t *order)
{
  sim_engine_t *engine = engine_find (order->target->attrs.id);
  const rt_card_t *card
      = rt_model_card (&sim.service.model, order->target->attrs.card);
  size_t i;

  ck_assert_uint_lt (order->first, order->end);
  ck_assert_uint_le (order->end, LAYERS);
  ck_assert ((order->end - order->first) * 1750.0 <= card->memory_mb);
  for (i = 0; i < ORDERS_MAX && sim.orders[i].due >= 0; i++)
    ;
  if (i == ORDERS_MAX || seeds_random (8) == 0)
    return; /* lost */
  sim.orders[i]
      = (sim_order_t){ .order = *order,
                       .orders_done = engine->orders_done,
                       .due = (int)seeds_random (seeds_random (4) ? 2 : 12) };
  snprintf (sim.orders[i].id, sizeof sim.orders[i].id, "%s", engine->id);
}

/* Run the planner once: empty engines first, then missing layers. Returns the
   number of orders. */
static size_t
run_planner (void)
{
  rt_order_t orders[ORDERS_MAX];
  size_t n = rt_layout_assign (sim.fleet, &sim.service, NULL, 0, orders,
                               ORDERS_MAX);
  size_t i;

  if (!n)
    n = rt_layout_repair (sim.fleet, &sim.service, NULL, 0, orders,
                          ORDERS_MAX);
  for (i = 0; i < n; i++)
    order_send (&orders[i]);
  return n;
}

static void
random_event (void)
{
  sim_engine_t *engine = &sim.engines[seeds_random ((unsigned)sim.n)];
  rt_target_t *target = engine->live ? engine_target (engine) : NULL;
  size_t i;

  switch (seeds_random (6))
    {
    case 0:
      engine_add ();
      break;
    case 1:
      if (target)
        rt_fleet_remove (sim.fleet, el_str (engine->id));
      engine->live = 0;
      break;
    case 2:
      if (target)
        rt_target_mark_leaving (target);
      break;
    case 3:
      if (target)
        target->avail.silent = !target->avail.silent;
      break;
    default:
      run_planner ();
    }
  for (i = 0; i < ORDERS_MAX; i++)
    if (sim.orders[i].due >= 0 && sim.orders[i].due-- == 0)
      order_execute (&sim.orders[i]);
}

static unsigned
uncovered_layers (unsigned *held_layers)
{
  unsigned cover[LAYERS] = { 0 };
  const rt_target_t *target;
  unsigned uncovered = 0;
  unsigned k;

  *held_layers = 0;
  for (target = rt_fleet_first (sim.fleet); target; target = target->hh.next)
    {
      if (rt_target_is_leaving (target))
        continue;
      *held_layers += target->attrs.end - target->attrs.first;
      for (k = target->attrs.first; k < target->attrs.end; k++)
        cover[k]++;
    }
  for (k = 0; k < LAYERS; k++)
    uncovered += !cover[k];
  return uncovered;
}

/* After any schedule the planner converges, that is, gives no orders in 20
   runs in a row; then no layer is missing if the engines hold at least twice
   as many as the model has. */
static void
fuzz_planner (uint64_t seed)
{
  rt_target_t *target;
  unsigned held;
  int step;
  int idle_runs = 0;
  size_t i;

  memset (&sim, 0, sizeof sim);
  sim.fleet = rt_fleet_new (seed);
  sim.service = (rt_service_t){ .name = EL_STR ("pool"),
                                .model = { .layers = LAYERS,
                                           .layer_mb = 1750,
                                           .step_ms = 0.85,
                                           .prefill_ms = 1.0 / 252,
                                           .interleaved_steps = 2.0 / 512,
                                           .token_kv_mb = 0.459,
                                           .typical_tokens = 926,
                                           .cards = cards,
                                           .ncards = 3 } };
  for (i = 0; i < ORDERS_MAX; i++)
    sim.orders[i].due = -1;
  for (i = 0; i < 11; i++)
    engine_add ();
  for (step = 0; step < STEPS; step++)
    random_event ();
  for (target = rt_fleet_first (sim.fleet); target; target = target->hh.next)
    target->avail.silent = 0;
  for (step = 0; step < 400 && idle_runs < 20; step++)
    {
      idle_runs = run_planner () ? 0 : idle_runs + 1;
      for (i = 0; i < ORDERS_MAX; i++)
        if (sim.orders[i].due >= 0 && sim.orders[i].due-- == 0)
          order_execute (&sim.orders[i]);
    }
  ck_assert_msg (idle_runs == 20,
                 "seed %lu: the planner does not stop giving orders",
                 (unsigned long)seed);
  if (uncovered_layers (&held))
    ck_assert_msg (held < 2 * LAYERS,
                   "seed %lu: a layer is missing while engines hold %u",
                   (unsigned long)seed, held);
  rt_fleet_free (sim.fleet);
}

START_TEST (test_random_layout_converges_without_missing_layers)
{
  seeds_run (fuzz_planner);
}
END_TEST

/* Attempts with random outcomes: they end, a request that must not be retried
   runs at most once, and a request is refused only if it did not run. */
static void
fuzz_attempts (uint64_t seed)
{
  const rt_rule_t rule = { .kind = (rt_rule_kind_t)seeds_random (3),
                           .attempts = 1 + seeds_random (3),
                           .resumable = (int)seeds_random (2) };
  rt_attempts_t state = { 0, 0, 0 };
  rt_attempt_t attempt;
  unsigned may_run = 0;
  unsigned sent = 0;
  rt_next_t next = RT_NEXT_RETRY;
  int repeatable
      = rule.kind == RT_SAFE || (rule.kind == RT_STREAM && rule.resumable);

  while (next == RT_NEXT_RETRY)
    {
      attempt = (rt_attempt_t){ .verdict = (el_verdict_t)seeds_random (3) };
      if (attempt.verdict == EL_RAN)
        {
          attempt.answered = 1;
          attempt.failed = (int)seeds_random (2);
        }
      sent++;
      may_run += attempt.verdict != EL_NOT_RUN;
      next = rt_attempts_next (&state, &rule, &attempt, (int)seeds_random (4),
                               seeds_random (100) * EL_MSEC);
      ck_assert_msg (sent <= 8, "seed %lu: retries do not end",
                     (unsigned long)seed);
      ck_assert_msg (may_run <= (repeatable ? rule.attempts : 1),
                     "seed %lu: ran %u times", (unsigned long)seed, may_run);
      if (next == RT_NEXT_REFUSE)
        ck_assert_msg (may_run == 0, "seed %lu: refused after a run",
                       (unsigned long)seed);
      if (next == RT_NEXT_PASS)
        ck_assert_int_eq (attempt.answered, 1);
    }
}

START_TEST (test_random_attempts_keep_retry_guarantees)
{
  seeds_run (fuzz_attempts);
}
END_TEST

Suite *
random_suite (void)
{
  Suite *suite = suite_create ("random");
  TCase *tcase = tcase_create ("random");

  tcase_set_timeout (tcase, (double)seeds_env ("ELMARCH_SEEDS_S", 60));
  ADD (tcase, test_random_mutated_input_is_safe);
  ADD (tcase, test_random_layout_converges_without_missing_layers);
  ADD (tcase, test_random_attempts_keep_retry_guarantees);
  suite_add_tcase (suite, tcase);
  return suite;
}
