/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of the routing of relayed requests: selection of endpoints and of
 * chains of engines, and placement of model layers.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "relay.h"
#include "test.h"

#define LAYERS 80
#define SERVICE EL_STR ("pool")
#define NOW (100 * EL_SEC)
#define SEEDS 200

static rt_card_t cards[] = {
  { { "large", 5 }, 36000, 3.1, 3.2 },
  { { "middle", 6 }, 21600, 16, 8.2 },
  { { "small", 5 }, 14400, 15, 15 },
};

static rt_service_t service;
static rt_fleet_t *fleet;

static void
relay_setup (void)
{
  service = (rt_service_t){ .name = SERVICE,
                            .model = { .layers = LAYERS,
                                       .layer_mb = 1750,
                                       .step_ms = 0.85,
                                       .prefill_ms = 1.0 / 252,
                                       .interleaved_steps = 2.0 / 512,
                                       .token_kv_mb = 0.459,
                                       .typical_tokens = 926,
                                       .inter_hall_ms = 0.25,
                                       .link_ms = 0.0232,
                                       .cards = cards,
                                       .ncards = 3 } };
  fleet = rt_fleet_new (7);
}

static void
relay_teardown (void)
{
  rt_fleet_free (fleet);
}

/* Add an engine that holds layers FIRST to before END; none if they are
   equal. */
static rt_target_t *
add_engine (const char *id, const char *hall, const char *card, unsigned first,
            unsigned end)
{
  rt_attrs_t attrs = { .id = el_str (id),
                       .service = SERVICE,
                       .address = el_str (id),
                       .hall = el_str (hall),
                       .card = el_str (card),
                       .slots = 192,
                       .first = first,
                       .end = end };

  return rt_fleet_update (fleet, &attrs);
}

static rt_target_t *
add_worker (const char *id)
{
  rt_attrs_t attrs = { .id = el_str (id),
                       .service = SERVICE,
                       .address = el_str (id),
                       .hall = EL_STR ("h"),
                       .slots = 6 };

  return rt_fleet_update (fleet, &attrs);
}

static int
chain_pick (const char *hall, const rt_tried_t *tried, rt_chain_t *out)
{
  static const rt_tried_t none;
  const rt_chain_query_t want = { .service = &service,
                                  .hall = el_str (hall),
                                  .tokens = 900,
                                  .tried = tried ? tried : &none };

  return rt_chain_pick (fleet, NOW, &want, out);
}

static void
orders_apply (const rt_order_t *orders, size_t n)
{
  size_t i;

  for (i = 0; i < n; i++)
    {
      orders[i].target->attrs.first = orders[i].first;
      orders[i].target->attrs.end = orders[i].end;
    }
}

/* The number of layers that no engine of the hall holds. */
static unsigned
uncovered_layers (const char *hall)
{
  unsigned cover[LAYERS] = { 0 };
  unsigned uncovered = 0;
  rt_target_t *target;
  unsigned i;

  for (target = rt_fleet_first (fleet); target; target = target->hh.next)
    for (i = target->attrs.first;
         i < target->attrs.end && !rt_target_is_leaving (target); i++)
      cover[i] += el_str_eq (target->attrs.hall, el_str (hall));
  for (i = 0; i < LAYERS; i++)
    uncovered += !cover[i];
  return uncovered;
}

/* Add a hall's engines, none of which holds layers. */
static void
add_hall (const char *hall, int large, int middle, int small)
{
  const int counts[] = { large, middle, small };
  char id[32];
  int k;
  int i;

  for (k = 0; k < 3; k++)
    for (i = 0; i < counts[k]; i++)
      {
        snprintf (id, sizeof id, "%s-%s-%d", hall, cards[k].name.ptr, i);
        add_engine (id, hall, cards[k].name.ptr, 0, 0);
      }
}

/* Endpoint selection. */

START_TEST (test_pick_skips_leaving_and_tried_endpoints)
{
  rt_target_t *a = add_worker ("a");
  rt_target_t *b = add_worker ("b");
  rt_tried_t tried = { .n = 0 };

  rt_target_mark_leaving (b);
  ck_assert_ptr_eq (rt_fleet_pick (fleet, NOW, SERVICE, EL_STR ("h"), &tried),
                    a);
  rt_tried_add (&tried, a);
  ck_assert_ptr_null (
      rt_fleet_pick (fleet, NOW, SERVICE, EL_STR ("h"), &tried));
}
END_TEST

START_TEST (test_pick_avoids_failing_endpoints_unless_all_fail)
{
  rt_target_t *a = add_worker ("a");
  rt_target_t *b = add_worker ("b");
  const rt_tried_t none = { .n = 0 };

  rt_target_failed (a, NOW);
  rt_target_failed (a, NOW);
  ck_assert_ptr_eq (rt_fleet_pick (fleet, NOW, SERVICE, EL_STR ("h"), &none),
                    b);
  rt_target_failed (b, NOW);
  rt_target_failed (b, NOW);
  ck_assert_ptr_nonnull (
      rt_fleet_pick (fleet, NOW, SERVICE, EL_STR ("h"), &none));
  rt_target_succeeded (a, EL_MSEC);
  ck_assert_ptr_eq (rt_fleet_pick (fleet, NOW, SERVICE, EL_STR ("h"), &none),
                    a);
}
END_TEST

START_TEST (test_pick_leaving_endpoint_stays_excluded)
{
  rt_target_t *a = add_worker ("a");

  rt_target_mark_leaving (a);
  add_worker ("a");
  ck_assert_int_eq (rt_target_usable (a, NOW), 0);
}
END_TEST

/* The response time of the endpoint with number I; the first SLOW_TO are
   slow. */
static el_time_t
worker_time (size_t i, size_t slow_to)
{
  return (i < slow_to ? 900 : 60) * EL_MSEC;
}

/* Sends REQUESTS requests, CONCURRENT of them at a time, to N endpoints, a
   third of which are slow; returns how many endpoints got one. SLOW counts the
   requests to slow ones. */
static size_t
count_used (size_t n, size_t requests, size_t concurrent, size_t *slow)
{
  static rt_target_t *workers[300];
  rt_target_t *running[16] = { NULL };
  const rt_tried_t none = { .n = 0 };
  unsigned char used[300] = { 0 };
  size_t count = 0;
  size_t i;
  size_t k;
  char id[32];

  rt_fleet_free (fleet);
  fleet = rt_fleet_new (7);
  for (i = 0; i < n; i++)
    {
      snprintf (id, sizeof id, "w%03zu", i);
      workers[i] = add_worker (id);
    }
  *slow = 0;
  for (i = 0; i < requests; i++)
    {
      rt_target_t **at = &running[i % concurrent];

      if (*at)
        {
          (*at)->running--;
          for (k = 0; workers[k] != *at; k++)
            ;
          rt_target_succeeded (*at, worker_time (k, n / 3));
        }
      *at = rt_fleet_pick (fleet, NOW, SERVICE, EL_STR ("h"), &none);
      (*at)->running++;
      for (k = 0; workers[k] != *at; k++)
        ;
      *slow += k < n / 3;
      count += !used[k];
      used[k] = 1;
    }
  return count;
}

/* Guards against hosts that each use all endpoints of a service, so that
   connections grow with the product of both: a host uses as many as it has
   requests at a time, and a few more. */
START_TEST (test_pick_uses_few_endpoints_of_many)
{
  static const size_t sizes[] = { 10, 30, 300 };
  size_t slow;
  size_t i;

  for (i = 0; i < 3; i++)
    {
      ck_assert_uint_le (count_used (sizes[i], 60, 1, &slow), 3 + 60 / 16 + 6);
      ck_assert_uint_le (slow, 12);
      ck_assert_uint_le (count_used (sizes[i], 200, 8, &slow),
                         3 + 8 + 200 / 16 + 10);
    }
}
END_TEST

/* Chains. */

START_TEST (test_chain_covers_each_layer_once)
{
  rt_chain_t chain;

  add_engine ("a", "h", "large", 0, 16);
  add_engine ("b", "h", "middle", 10, 40);
  add_engine ("c", "h", "middle", 30, 80);
  ck_assert_int_eq (chain_pick ("h", NULL, &chain), 1);
  ck_assert_int_eq (rt_chain_valid (&chain, LAYERS), 1);
  add_engine ("b", "h", "middle", 17, 40);
  ck_assert_int_eq (chain_pick ("h", NULL, &chain), 0);
  ck_assert_uint_eq (chain.n, 0);
}
END_TEST

/* Adds N replicas of each half of the model. */
static void
add_replicas (size_t n)
{
  char id[32];
  size_t i;

  for (i = 0; i < n; i++)
    {
      snprintf (id, sizeof id, "a%04zu", i);
      add_engine (id, "h", "middle", 0, 40);
      snprintf (id, sizeof id, "b%04zu", i);
      add_engine (id, "h", "middle", 40, 80);
    }
}

/* Guards against a search that ends at a number of engines: in a larger fleet,
   those beyond it got no streams. Wherever the two quick engines are listed,
   the chain goes through them. */
START_TEST (test_chain_sees_all_engines_of_a_large_fleet)
{
  const rt_load_t slow = { .pace = 9 };
  const rt_load_t quick = { .pace = 1 };
  const size_t at = (size_t)_i * 333;
  rt_target_t *engine;
  rt_chain_t chain;
  char id[32];

  add_replicas (1000);
  for (engine = rt_fleet_first (fleet); engine; engine = engine->hh.next)
    rt_target_report (fleet, engine, &slow, NOW - 2);
  snprintf (id, sizeof id, "a%04zu", at);
  rt_target_report (fleet, rt_fleet_find (fleet, el_str (id)), &quick,
                    NOW - 1);
  snprintf (id, sizeof id, "b%04zu", 999 - at);
  rt_target_report (fleet, rt_fleet_find (fleet, el_str (id)), &quick,
                    NOW - 1);
  ck_assert_int_eq (chain_pick ("h", NULL, &chain), 1);
  ck_assert_uint_eq (chain.n, 2);
  ck_assert (chain.part[0].target->pace == 1);
  ck_assert (chain.part[1].target->pace == 1);
}
END_TEST

/* Token latency of a chain without load, in milliseconds. */
static double
chain_ms (const rt_chain_t *chain)
{
  double ms = 0;
  size_t i;

  for (i = 0; i < chain->n; i++)
    {
      const rt_target_t *target = chain->part[i].target;
      const rt_card_t *card
          = rt_model_card (&service.model, target->attrs.card);
      double pace = target->pace > 1 ? target->pace : 1;

      ms += RT_HOP_MS
            + (chain->part[i].to - chain->part[i].from) * card->step_scale
                  * pace * service.model.step_ms / LAYERS;
      if (i
          && !el_str_eq (target->attrs.hall,
                         chain->part[i - 1].target->attrs.hall))
        ms += 4;
    }
  return ms;
}

/* A search over the cheapest replicas finds a chain that is as good as that of
   a full search: engines that are added to a drawn fleet, replicas of others
   but slower, do not make the chain worse. */
START_TEST (test_chain_of_replicas_is_as_good_as_full_search)
{
  uint64_t random = (uint64_t)_i + 1;
  const rt_load_t slow = { .pace = 4 };
  rt_chain_t full;
  rt_chain_t reduced;
  char id[32];
  size_t i;

  for (i = 0; i < 480; i++)
    {
      const size_t card = el_random (&random) % 3;
      const unsigned layers = (unsigned[]){ 16, 10, 6 }[card];
      const unsigned first
          = (unsigned)(el_random (&random) % (LAYERS / layers + 1)) * layers;
      const rt_load_t load
          = { .pace = 1 + (double)(el_random (&random) % 200) / 100,
              .fill = (double)(el_random (&random) % 60) / 100 };
      const unsigned from = first + layers > LAYERS ? LAYERS - layers : first;

      snprintf (id, sizeof id, "e%04zu", i);
      rt_target_report (fleet,
                        add_engine (id, i % 2 ? "h" : "g",
                                    cards[card].name.ptr, from, from + layers),
                        &load, NOW - 1);
    }
  ck_assert_int_eq (chain_pick ("h", NULL, &full), 1);
  for (i = 0; i < 480; i++)
    {
      const rt_target_t *other;

      snprintf (id, sizeof id, "e%04zu", i);
      other = rt_fleet_find (fleet, el_str (id));
      snprintf (id, sizeof id, "s%04zu", i);
      rt_target_report (fleet,
                        add_engine (id, i % 2 ? "h" : "g",
                                    other->attrs.card.ptr, other->attrs.first,
                                    other->attrs.end),
                        &slow, NOW - 1);
    }
  ck_assert_int_eq (chain_pick ("h", NULL, &reduced), 1);
  ck_assert (chain_ms (&reduced) <= 1.05 * chain_ms (&full));
}
END_TEST

START_TEST (test_chain_stays_in_the_callers_hall)
{
  rt_order_t orders[64];
  rt_chain_t chain;
  size_t n;
  size_t i;

  add_hall ("far", 1, 5, 8);
  add_hall ("near", 1, 5, 8);
  n = rt_layout_assign (fleet, &service, NULL, 0, orders, 64);
  orders_apply (orders, n);
  ck_assert_int_eq (chain_pick ("near", NULL, &chain), 1);
  for (i = 0; i < chain.n; i++)
    ck_assert (el_str_eq (chain.part[i].target->attrs.hall, EL_STR ("near")));
  rt_fleet_remove (fleet, EL_STR ("near-large-0"));
  ck_assert_int_eq (chain_pick ("near", NULL, &chain), 1);
  for (i = 0; i < chain.n; i++)
    ck_assert (el_str_eq (chain.part[i].target->attrs.hall, EL_STR ("far")));
}
END_TEST

/* Streams leave a hall whose memory is nearly full for another hall, but only
   while the link between halls has bandwidth to spare. */
START_TEST (test_chain_leaves_full_hall_while_link_has_capacity)
{
  const rt_load_t full = { .fill = 0.85, .pace = 1 };
  rt_order_t orders[64];
  rt_target_t *target;
  rt_chain_t chain;
  size_t n;

  add_hall ("far", 1, 5, 8);
  add_hall ("near", 1, 5, 8);
  n = rt_layout_assign (fleet, &service, NULL, 0, orders, 64);
  orders_apply (orders, n);
  for (target = rt_fleet_first (fleet); target; target = target->hh.next)
    if (el_str_eq (target->attrs.hall, EL_STR ("near")))
      rt_target_report (fleet, target, &full, NOW);
  rt_fleet_set_hosts (fleet, 1, 10);
  rt_fleet_stream_sent (fleet, NOW, 900);
  ck_assert_int_eq (chain_pick ("near", NULL, &chain), 1);
  ck_assert (el_str_eq (chain.part[0].target->attrs.hall, EL_STR ("far")));
  rt_fleet_stream_sent (fleet, NOW, 900 * 1000);
  ck_assert_int_eq (chain_pick ("near", NULL, &chain), 1);
  ck_assert (el_str_eq (chain.part[0].target->attrs.hall, EL_STR ("near")));
}
END_TEST

START_TEST (test_chain_uses_avoided_engines_as_last_resort)
{
  rt_target_t *a = add_engine ("a", "h", "large", 0, 80);
  rt_chain_t chain;

  rt_target_busy (a, NOW);
  ck_assert_int_eq (chain_pick ("h", NULL, &chain), 1);
  rt_target_mark_leaving (a);
  ck_assert_int_eq (chain_pick ("h", NULL, &chain), 0);
}
END_TEST

/* Engines with random, overlapping layer ranges: a chain that is picked covers
   all layers and uses no engine twice; none is found only if some layer
   is held by no engine. */
START_TEST (test_chain_random_layout_is_covered_or_refused)
{
  unsigned cover[LAYERS] = { 0 };
  char id[16];
  rt_chain_t chain;
  unsigned uncovered = 0;
  unsigned i;
  unsigned k;

  srand ((unsigned)_i);
  for (i = 0; i < 24; i++)
    {
      unsigned first = (unsigned)rand () % LAYERS;
      unsigned end = first + 1 + (unsigned)rand () % 20;
      rt_target_t *target;

      if (end > LAYERS)
        end = LAYERS;
      snprintf (id, sizeof id, "e%u", i);
      target = add_engine (id, i % 3 ? "h" : "g", cards[i % 3].name.ptr, first,
                           end);
      target->kv_held = (double)(rand () % 3000000);
      for (k = first; k < end; k++)
        cover[k]++;
    }
  for (k = 0; k < LAYERS; k++)
    uncovered += !cover[k];
  if (chain_pick ("h", NULL, &chain))
    {
      ck_assert_uint_eq (uncovered, 0);
      ck_assert_int_eq (rt_chain_valid (&chain, LAYERS), 1);
      for (i = 0; i < chain.n; i++)
        for (k = 0; k < i; k++)
          ck_assert_ptr_ne (chain.part[i].target, chain.part[k].target);
    }
  else
    {
      ck_assert_uint_gt (uncovered, 0);
      ck_assert_uint_eq (chain.n, 0);
    }
}
END_TEST

START_TEST (test_chain_reroute_keeps_other_engines)
{
  rt_target_t *a = add_engine ("a", "h", "large", 0, 40);
  rt_target_t *b = add_engine ("b", "h", "small", 40, 60);
  rt_target_t *c = add_engine ("c", "h", "small", 60, 80);
  rt_tried_t tried = { .n = 0 };
  rt_chain_t chain;
  rt_chain_t around;

  ck_assert_int_eq (chain_pick ("h", NULL, &chain), 1);
  ck_assert_uint_eq (chain.n, 3);
  rt_tried_add (&tried, b);
  ck_assert_int_eq (
      rt_chain_reroute (fleet, NOW, &service, &chain, &tried, &around), 0);
  add_engine ("spare", "h", "small", 40, 60);
  ck_assert_int_eq (
      rt_chain_reroute (fleet, NOW, &service, &chain, &tried, &around), 1);
  ck_assert_ptr_eq (around.part[0].target, a);
  ck_assert_ptr_eq (around.part[2].target, c);
  rt_tried_add (&tried, a);
  ck_assert_int_eq (
      rt_chain_reroute (fleet, NOW, &service, &chain, &tried, &around), 0);
}
END_TEST

START_TEST (test_chain_prefers_replica_of_full_engine)
{
  rt_target_t *a = add_engine ("a", "h", "small", 0, 6);
  rt_target_t *b = add_engine ("b", "h", "small", 0, 6);
  rt_chain_t chain;

  add_engine ("c", "h", "large", 6, 80);
  a->kv_held = 1e9;
  ck_assert_int_eq (chain_pick ("h", NULL, &chain), 1);
  ck_assert_ptr_eq (chain.part[0].target, b);
  a->kv_held = 0;
  b->kv_held = 1e9;
  ck_assert_int_eq (chain_pick ("h", NULL, &chain), 1);
  ck_assert_ptr_eq (chain.part[0].target, a);
}
END_TEST

START_TEST (test_chain_prefers_replica_of_slow_engine)
{
  rt_target_t *a = add_engine ("a", "h", "small", 0, 6);
  rt_target_t *b = add_engine ("b", "h", "small", 0, 6);
  rt_chain_t chain;

  add_engine ("c", "h", "large", 6, 80);
  a->pace = 4;
  ck_assert_int_eq (chain_pick ("h", NULL, &chain), 1);
  ck_assert_ptr_eq (chain.part[0].target, b);
  a->pace = 0;
  b->pace = 4;
  ck_assert_int_eq (chain_pick ("h", NULL, &chain), 1);
  ck_assert_ptr_eq (chain.part[0].target, a);
}
END_TEST

/* An engine with an overdue health check is avoided while there is another,
   also when a stream is rerouted. */
START_TEST (test_chain_avoids_engine_with_overdue_check)
{
  rt_target_t *a = add_engine ("a", "h", "small", 6, 12);
  rt_target_t *b = add_engine ("b", "h", "small", 6, 12);
  rt_target_t *c = add_engine ("c", "h", "small", 12, 18);
  rt_tried_t tried = { .n = 0 };
  rt_chain_t old;
  rt_chain_t chain;

  add_engine ("f", "h", "small", 0, 6);
  add_engine ("d", "h", "small", 12, 18);
  add_engine ("e", "h", "large", 18, 80);
  a->asked = NOW - 20 * EL_MSEC;
  ck_assert_int_eq (chain_pick ("h", NULL, &chain), 1);
  ck_assert_ptr_eq (chain.part[1].target, b);
  a->asked = NOW; /* not overdue yet */
  b->asked = NOW - 20 * EL_MSEC;
  ck_assert_int_eq (chain_pick ("h", NULL, &old), 1);
  ck_assert_ptr_eq (old.part[1].target, a);
  c->asked = NOW - 20 * EL_MSEC;
  ck_assert_int_eq (chain_pick ("h", NULL, &chain), 1);
  ck_assert_ptr_ne (chain.part[2].target, c);
  rt_tried_add (&tried, a); /* leaves only b, overdue or not */
  ck_assert_int_eq (
      rt_chain_reroute (fleet, NOW, &service, &old, &tried, &chain), 1);
  ck_assert_ptr_eq (chain.part[1].target, b);
}
END_TEST

/* The memory use that an engine reports overrides this host's own estimate.
   Streams sent since the report are scaled up to all hosts. */
START_TEST (test_chain_uses_reported_memory_fill)
{
  rt_load_t full = { .fill = 0.95, .pace = 1 };
  rt_load_t old = { .fill = 0.1, .pace = 1 };
  rt_target_t *a = add_engine ("a", "h", "small", 0, 6);
  rt_target_t *b = add_engine ("b", "h", "small", 0, 6);
  rt_chain_t chain;
  rt_chain_t other;
  rt_chain_t filled;

  add_engine ("c", "h", "large", 6, 80);
  ck_assert_int_eq (rt_target_report (fleet, a, &full, NOW), 1);
  ck_assert_int_eq (rt_target_report (fleet, a, &old, NOW - EL_SEC), 0);
  ck_assert_int_eq (chain_pick ("h", NULL, &chain), 1);
  ck_assert_ptr_eq (chain.part[0].target, b);
  ck_assert (chain.fill <= 1);
  ck_assert_int_eq (rt_target_report (fleet, b, &full, NOW), 1);
  ck_assert_int_eq (chain_pick ("h", NULL, &chain), 1);
  rt_fleet_set_hosts (fleet, 20, 20);
  rt_chain_acquire (&chain, NULL, 0); /* 20 hosts may do the same */
  ck_assert_int_eq (chain_pick ("h", NULL, &other), 1);
  ck_assert_ptr_ne (other.part[0].target, chain.part[0].target);
  rt_chain_acquire (&other, NULL, 0);
  ck_assert_int_eq (chain_pick ("h", NULL, &filled), 1);
  ck_assert (filled.fill > 1);
  rt_chain_release (&chain);
  rt_chain_release (&other);
}
END_TEST

/* Prompts waiting for prefill divert new streams to a replica, until the
   stream's first event or its end. */
START_TEST (test_chain_prefers_replica_while_prompts_wait)
{
  rt_target_t *a = add_engine ("a", "h", "small", 0, 6);
  rt_target_t *b = add_engine ("b", "h", "small", 0, 6);
  rt_chain_t first;
  rt_chain_t chain;

  add_engine ("c", "h", "large", 6, 80);
  rt_fleet_set_hosts (fleet, 20, 20);
  ck_assert_int_eq (chain_pick ("h", NULL, &first), 1);
  first.tokens = 0; /* memory does not decide here */
  rt_chain_acquire (&first, NULL, 2000);
  ck_assert_int_eq (chain_pick ("h", NULL, &chain), 1);
  ck_assert_ptr_eq (chain.part[0].target, first.part[0].target == a ? b : a);
  rt_chain_progress (&first, NOW);
  ck_assert_uint_eq (first.part[0].target->last_event_at, NOW);
  ck_assert (first.part[0].target->to_prefill == 0);
  rt_chain_acquire (&chain, NULL, 2000);
  rt_chain_release (&chain);
  ck_assert (a->to_prefill == 0 && b->to_prefill == 0);
  rt_chain_release (&first);
}
END_TEST

/* A rerouted stream needs another prefill only on the engines that are new in
   its chain. */
START_TEST (test_chain_reroute_prefills_only_new_engines)
{
  rt_target_t *b;
  rt_tried_t tried = { .n = 0 };
  rt_chain_t old;
  rt_chain_t chain;

  add_engine ("f", "h", "large", 0, 10);
  b = add_engine ("b", "h", "small", 10, 16);
  add_engine ("c", "h", "large", 16, 80);
  ck_assert_int_eq (chain_pick ("h", NULL, &old), 1);
  rt_chain_acquire (&old, NULL, 500);
  rt_chain_progress (&old, NOW);
  add_engine ("d", "h", "small", 10, 16);
  rt_tried_add (&tried, b);
  ck_assert_int_eq (
      rt_chain_reroute (fleet, NOW, &service, &old, &tried, &chain), 1);
  ck_assert_ptr_eq (rt_chain_fullest (&chain, &old), chain.part[1].target);
  rt_chain_acquire (&chain, &old, 700);
  ck_assert (chain.part[0].to_prefill == 0);
  ck_assert (chain.part[1].to_prefill == 700);
  ck_assert (chain.part[2].to_prefill == 0);
  rt_chain_release (&old);
  rt_chain_release (&chain);
}
END_TEST

START_TEST (test_chain_in_use_is_accounted_on_its_engine)
{
  rt_target_t *a = add_engine ("a", "h", "large", 0, 80);
  rt_chain_t chain;

  ck_assert_int_eq (chain_pick ("h", NULL, &chain), 1);
  rt_chain_acquire (&chain, NULL, 0);
  ck_assert_uint_eq (a->chains, 1);
  ck_assert (a->kv_held > 0);
  rt_fleet_remove (fleet, EL_STR ("a"));
  rt_chain_release (&chain);
}
END_TEST

/* Layer placement. */

/* The halls of both users' sites, which differ in size and accelerators. */
START_TEST (test_layout_covers_every_hall_within_memory)
{
  rt_order_t orders[64];
  size_t n;
  size_t i;

  add_hall ("a", 3, 3, 5);
  add_hall ("b", 1, 5, 8);
  add_hall ("c", 1, 7, 5);
  n = rt_layout_assign (fleet, &service, NULL, 0, orders, 64);
  ck_assert_uint_eq (n, 38);
  for (i = 0; i < n; i++)
    {
      const rt_card_t *card
          = rt_model_card (&service.model, orders[i].target->attrs.card);

      ck_assert_uint_lt (orders[i].first, orders[i].end);
      ck_assert_uint_le (orders[i].end, LAYERS);
      ck_assert (1750.0 * (orders[i].end - orders[i].first)
                 <= card->memory_mb);
    }
  orders_apply (orders, n);
  ck_assert_uint_eq (uncovered_layers ("a"), 0);
  ck_assert_uint_eq (uncovered_layers ("b"), 0);
  ck_assert_uint_eq (uncovered_layers ("c"), 0);
  ck_assert_uint_eq (rt_layout_assign (fleet, &service, NULL, 0, orders, 64),
                     0);
  ck_assert_uint_eq (rt_layout_repair (fleet, &service, NULL, 0, orders, 64),
                     0);
}
END_TEST

/* The number of tokens that fit in the memory left by the layers of an order.
 */
static double
order_capacity (const rt_order_t *order)
{
  const rt_card_t *card
      = rt_model_card (&service.model, order->target->attrs.card);
  unsigned n = order->end - order->first;

  return (card->memory_mb - n * service.model.layer_mb) * LAYERS
         / (n * service.model.token_kv_mb);
}

/* Memory that a hall does not need for its layers and a quarter more as
   replicas is left for streams, up to what an engine's slots can use. */
START_TEST (test_layout_leaves_memory_for_streams)
{
  rt_order_t orders[64];
  unsigned layers = 0;
  double capacity_min = 1e9;
  size_t n;
  size_t i;

  add_hall ("a", 2 + 6 * _i, 0, 0);
  add_hall ("a", 0, 6 * (1 + _i), 6 * (1 + _i));
  n = rt_layout_assign (fleet, &service, NULL, 0, orders, 64);
  for (i = 0; i < n; i++)
    {
      layers += orders[i].end - orders[i].first;
      if (order_capacity (&orders[i]) < capacity_min)
        capacity_min = order_capacity (&orders[i]);
    }
  ck_assert_uint_ge (layers, LAYERS * 5 / 4);
  if (_i == 0)
    ck_assert_uint_le (layers, LAYERS * 3 / 2);
  else
    ck_assert_double_ge (capacity_min, 100 * service.model.typical_tokens);
}
END_TEST

/* Chains use the engines with the lowest time per token and layer; slow
   engines hold replicas, however large their memory. */
START_TEST (test_layout_chain_uses_fast_engines)
{
  rt_order_t orders[64];
  rt_chain_t chain;
  size_t n;
  size_t i;

  cards[2].step_scale = 4;
  add_hall ("a", 2, 4, 14);
  n = rt_layout_assign (fleet, &service, NULL, 0, orders, 64);
  orders_apply (orders, n);
  ck_assert_int_eq (chain_pick ("a", NULL, &chain), 1);
  for (i = 0; i < chain.n; i++)
    ck_assert (
        !el_str_eq (chain.part[i].target->attrs.card, EL_STR ("middle")));
  cards[2].step_scale = 15;
}
END_TEST

START_TEST (test_layout_counts_pending_orders)
{
  rt_target_t *a = add_engine ("a", "h", "large", 0, 0);
  const rt_order_t pending = { a, 0, 16 };
  rt_order_t order;

  add_engine ("b", "h", "large", 0, 0);
  ck_assert_uint_eq (
      rt_layout_assign (fleet, &service, &pending, 1, &order, 1), 1);
  ck_assert_ptr_ne (order.target, a);
  ck_assert_uint_eq (order.first, 16);
}
END_TEST

/* When a hall loses an engine for good, spare replicas are moved to cover the
   missing layers. */
START_TEST (test_layout_moves_spare_replicas_to_missing_layers)
{
  static const char *const lost[] = { "b-large-0", "b-middle-2", "b-small-0" };
  rt_order_t orders[64];
  size_t n;
  int round;

  add_hall ("b", 1, 5, 8);
  n = rt_layout_assign (fleet, &service, NULL, 0, orders, 64);
  orders_apply (orders, n);
  rt_fleet_remove (fleet, el_str (lost[_i]));
  for (round = 0; round < 4 && uncovered_layers ("b"); round++)
    {
      n = rt_layout_repair (fleet, &service, NULL, 0, orders, 64);
      ck_assert_uint_gt (n, 0);
      orders_apply (orders, n);
    }
  ck_assert_uint_eq (uncovered_layers ("b"), 0);
}
END_TEST

START_TEST (test_layout_moves_nothing_while_orders_are_pending)
{
  rt_order_t orders[64];
  rt_order_t pending;
  size_t n;

  add_hall ("b", 1, 5, 8);
  n = rt_layout_assign (fleet, &service, NULL, 0, orders, 64);
  orders_apply (orders, n);
  rt_fleet_remove (fleet, EL_STR ("b-middle-2"));
  pending = (rt_order_t){ add_engine ("new", "b", "middle", 0, 0), 0, 9 };
  ck_assert_uint_eq (
      rt_layout_repair (fleet, &service, &pending, 1, orders, 64), 0);
}
END_TEST

Suite *
relay_suite (void)
{
  Suite *suite = suite_create ("relay");
  TCase *tcase = tcase_create ("relay");

  tcase_add_checked_fixture (tcase, relay_setup, relay_teardown);
  ADD (tcase, test_pick_skips_leaving_and_tried_endpoints);
  ADD (tcase, test_pick_avoids_failing_endpoints_unless_all_fail);
  ADD (tcase, test_pick_leaving_endpoint_stays_excluded);
  ADD (tcase, test_pick_uses_few_endpoints_of_many);
  ADD (tcase, test_chain_covers_each_layer_once);
  ADD_LOOP (tcase, test_chain_sees_all_engines_of_a_large_fleet, 4);
  ADD_LOOP (tcase, test_chain_of_replicas_is_as_good_as_full_search, 20);
  ADD (tcase, test_chain_stays_in_the_callers_hall);
  ADD (tcase, test_chain_leaves_full_hall_while_link_has_capacity);
  ADD (tcase, test_chain_uses_avoided_engines_as_last_resort);
  ADD_LOOP (tcase, test_chain_random_layout_is_covered_or_refused, SEEDS);
  ADD (tcase, test_chain_reroute_keeps_other_engines);
  ADD (tcase, test_chain_prefers_replica_of_full_engine);
  ADD (tcase, test_chain_prefers_replica_of_slow_engine);
  ADD (tcase, test_chain_avoids_engine_with_overdue_check);
  ADD (tcase, test_chain_uses_reported_memory_fill);
  ADD (tcase, test_chain_prefers_replica_while_prompts_wait);
  ADD (tcase, test_chain_reroute_prefills_only_new_engines);
  ADD (tcase, test_chain_in_use_is_accounted_on_its_engine);
  ADD (tcase, test_layout_covers_every_hall_within_memory);
  ADD_LOOP (tcase, test_layout_leaves_memory_for_streams, 2);
  ADD (tcase, test_layout_chain_uses_fast_engines);
  ADD (tcase, test_layout_counts_pending_orders);
  ADD_LOOP (tcase, test_layout_moves_spare_replicas_to_missing_layers, 3);
  ADD (tcase, test_layout_moves_nothing_while_orders_are_pending);
  suite_add_tcase (suite, tcase);
  return suite;
}
