/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Time and memory of routing decisions and of state at the scales that the
 * system is designed for. Uses the library's objects in one process.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"
#include "blame.h"
#include "coord.h"
#include "relay.h"
#include "route.h"
#include "libstore.h"

#define PIPELINE_STAGES 4
#define LAYERS 32
#define REQUESTS 20000
#define CUSTOMERS 460
#define STREAMS 5000
#define ENTRIES 100000

static rt_action_t last_call;
static uint64_t calls;

static void
record_call (void *arg, const rt_action_t *action)
{
  (void)arg;
  if (action->kind != RT_ACT_CALL)
    return;
  last_call = *action;
  calls++;
}

static void
config_to_router (void *arg, const co_resource_t *prev,
                  const co_resource_t *next)
{
  rt_router_apply_config (arg, prev, next);
}

static void
apply (co_config_t *config, co_kind_t kind, const char *name, json_t *spec,
       uint64_t revision)
{
  el_err_t err;
  co_resource_t *res
      = co_resource_parse (kind, el_str (name), spec, revision, &err);

  if (!res || co_config_apply (config, res, &err))
    {
      fprintf (stderr, "bench: %s: %s\n", name, err.msg);
      exit (EXIT_FAILURE);
    }
  json_decref (spec);
}

/* Configures WORKERS engines in pipelines of PIPELINE_STAGES. */
static void
load_fleet (co_config_t *config, unsigned workers)
{
  uint64_t revision = 1;
  char name[32];
  char hash[65];
  unsigned i;

  apply (config, CO_DEPLOYMENT, "d",
         json_pack ("{s:s,s:i}", "model", "m", "layers", LAYERS), revision++);
  for (i = 0; i < workers; i++)
    {
      snprintf (name, sizeof name, "e%u", i);
      apply (config, CO_ENDPOINT, name,
             json_pack ("{s:s,s:s,s:s}", "address", "10.0.0.1:7000", "hall",
                        "h", "role", "engine"),
             revision++);
    }
  for (i = 0; i + PIPELINE_STAGES <= workers; i += PIPELINE_STAGES)
    {
      json_t *stages = json_array ();
      int k;

      for (k = 0; k < PIPELINE_STAGES; k++)
        {
          snprintf (name, sizeof name, "e%u", i + (unsigned)k);
          json_array_append_new (
              stages, json_pack ("{s:s,s:i,s:i}", "endpoint", name, "first",
                                 k * LAYERS / PIPELINE_STAGES, "last",
                                 (k + 1) * LAYERS / PIPELINE_STAGES - 1));
        }
      snprintf (name, sizeof name, "p%u", i);
      apply (config, CO_PIPELINE, name,
             json_pack ("{s:s,s:o}", "deployment", "d", "stages", stages),
             revision++);
    }
  for (i = 0; i < CUSTOMERS; i++)
    {
      snprintf (name, sizeof name, "c%u", i);
      snprintf (hash, sizeof hash, "%064x", i);
      apply (config, CO_CUSTOMER, name,
             json_pack ("{s:s,s:i}", "keyHash", hash, "maxInFlight", 100000),
             revision++);
    }
}

static void
send_request (rt_router_t *router, uint64_t stream, uint64_t max_tokens)
{
  rt_event_t event = { .kind = RT_EV_REQUEST,
                       .stream = stream,
                       .customer = EL_STR ("c7"),
                       .target = EL_STR ("m"),
                       .prompt = EL_STR ("{\"messages\":[]}"),
                       .max_tokens = max_tokens,
                       .deadline = UINT64_MAX / 2,
                       .repeatable = 1 };

  rt_router_handle_event (router, 1000, &event);
}

static void
send_reply (rt_router_t *router)
{
  rt_event_t event = { .kind = RT_EV_REPLY,
                       .stream = last_call.stream,
                       .call = last_call.call,
                       .echo = last_call.call,
                       .hidden = EL_STR ("0123456789abcdef"),
                       .has_token = last_call.final,
                       .token = 7,
                       .text = EL_STR (" w7") };

  rt_router_handle_event (router, 1000, &event);
}

static void
bench_decisions (unsigned workers)
{
  rt_options_t options = { .seed = 1,
                           .max_active = 100000,
                           .max_queue = 1000,
                           .call_limit = EL_SEC,
                           .leave_hold = EL_SEC,
                           .act = record_call };
  rt_router_t *router = rt_router_new (&options);
  co_config_options_t config_options
      = { .changed = config_to_router, .arg = router };
  co_config_t *config = co_config_new (&config_options);
  size_t heap = bench_heap ();
  uint64_t began = bench_ns ();
  uint64_t load_ns;
  size_t config_bytes;
  uint64_t i;

  load_fleet (config, workers);
  load_ns = bench_ns () - began;
  config_bytes = bench_heap () - heap;
  began = bench_ns ();
  calls = 0;
  for (i = 1; i <= REQUESTS; i++)
    {
      send_request (router, i, 1);
      while (rt_router_active (router))
        send_reply (router);
    }
  printf ("bench=decisions workers=%u resources=%zu load_us_per_resource=%.2f "
          "bytes_per_resource=%zu request_ns=%.0f per_call_ns=%.0f\n",
          workers, co_config_count (config),
          (double)load_ns / 1e3 / (double)co_config_count (config),
          config_bytes / co_config_count (config),
          (double)(bench_ns () - began) / REQUESTS,
          (double)(bench_ns () - began) / (double)calls);
  heap = bench_heap ();
  for (i = 1; i <= STREAMS; i++)
    send_request (router, REQUESTS + i, 256);
  printf ("bench=streams workers=%u streams=%d bytes_per_stream=%zu\n",
          workers, STREAMS, (bench_heap () - heap) / STREAMS);
  rt_router_free (router);
  co_config_free (config);
}

static void
release_none (void *arg, void *answer)
{
  (void)arg;
  (void)answer;
}

static void
bench_ledger (void)
{
  co_ledger_options_t options = { .max_sessions = ENTRIES,
                                  .max_entries = 64,
                                  .max_bytes = 1U << 30,
                                  .idle = EL_SEC,
                                  .release = release_none };
  co_ledger_t *ledger = co_ledger_new (&options);
  size_t heap = bench_heap ();
  uint64_t began;
  uint64_t session = 0;
  co_session_t key = { 0 };
  void *answer;
  uint64_t i;
  size_t sessions_bytes;

  for (i = 0; i < ENTRIES / 8; i++)
    co_ledger_open_session (ledger, 1, EL_STR ("c"), &session, NULL);
  sessions_bytes = bench_heap () - heap;
  heap = bench_heap ();
  began = bench_ns ();
  for (i = 0; i < ENTRIES; i++)
    {
      key.id = i % (ENTRIES / 8) + 1;
      co_ledger_begin_request (ledger, 1, &key, i / (ENTRIES / 8) + 1, i,
                               &session, &answer);
      co_ledger_end_request (ledger, 1, &key, i / (ENTRIES / 8) + 1, EL_RAN,
                             0);
    }
  printf ("bench=ledger sessions=%d entries=%zu bytes_per_session=%zu "
          "bytes_per_entry=%zu begin_and_end_ns=%.0f\n",
          ENTRIES / 8, co_ledger_entries (ledger),
          sessions_bytes / (ENTRIES / 8), (bench_heap () - heap) / ENTRIES,
          (double)(bench_ns () - began) / ENTRIES);
  co_ledger_free (ledger);
}

static int
ignore_item (void *arg, const pr_store_item_t *item)
{
  (void)arg;
  (void)item;
  return 1;
}

#define PAGE_KEYS 50

/* Memory of the known keys of a store, and the time to read all of them again,
   page by page and unchanged, in a new epoch. */
static void
bench_keys (unsigned n)
{
  static char names[PAGE_KEYS][32];
  const st_keys_options_t options = { .item = ignore_item };
  st_mirror_t mirror;
  char value[300];
  pr_store_item_t items[PAGE_KEYS];
  char last[32] = "";
  size_t heap = bench_heap ();
  size_t bytes = 0;
  uint64_t began = 0;
  uint64_t epoch;
  unsigned i;
  unsigned k;

  memset (value, 'v', sizeof value);
  st_mirror_init (&mirror, &options);
  for (epoch = 1; epoch <= 2; epoch++)
    {
      began = bench_ns ();
      last[0] = '\0';
      for (i = 0; i < n; i += PAGE_KEYS)
        {
          const st_keys_page_t page = { .read = mirror.read,
                                        .after = el_str (last),
                                        .items = items,
                                        .n = PAGE_KEYS,
                                        .more = i + PAGE_KEYS < n,
                                        .at = { epoch, n } };

          for (k = 0; k < PAGE_KEYS; k++)
            {
              snprintf (names[k], sizeof names[k], "servers/i-%010u", i + k);
              items[k] = (pr_store_item_t){ .key = el_str (names[k]),
                                            .value = { value, sizeof value },
                                            .revision = i + k + 1 };
            }
          st_mirror_apply_page (&mirror, &page);
          snprintf (last, sizeof last, "%s", names[PAGE_KEYS - 1]);
        }
      if (epoch == 1)
        bytes = bench_heap () - heap;
      st_mirror_reread (&mirror);
    }
  printf ("bench=keys keys=%u bytes_per_key=%zu anew_us=%.0f\n", n, bytes / n,
          (double)(bench_ns () - began) / 1e3);
  st_mirror_free (&mirror);
}

static void
ignore_block (void *arg, const rt_block_t *block,
              const rt_blame_status_t *status)
{
  (void)arg;
  (void)block;
  (void)status;
}

/* ENDS crashed endpoints with RUNS requests running on each: memory, and the
   time to evaluate all requests. */
static void
bench_blame (unsigned ends, unsigned runs)
{
  const rt_blame_options_t options = { .max_causes = 4096,
                                       .max_customer_causes = 4096,
                                       .rule = &rt_blame_rule_odds };
  rt_blame_t *blame = rt_blame_new (&options);
  rt_crash_report_t ended
      = { .host = 1, .at = EL_SEC, .ran = EL_SEC, .first = 1 };
  size_t heap = bench_heap ();
  uint64_t began = bench_ns ();
  uint64_t update_began;
  unsigned end;
  unsigned run;

  for (end = 0; end < ends; end++)
    for (run = 0; run < runs; run++)
      {
        ended.instance.born = end;
        ended.at = EL_SEC + end * EL_MSEC;
        ended.digest = 1 + end * runs + run;
        rt_blame_add_report (blame, EL_SEC, &ended);
      }
  update_began = bench_ns ();
  rt_blame_update (blame, 2 * EL_SEC, 1900, ignore_block, NULL);
  printf ("bench=blame ends=%u runs=%u bytes=%zu bytes_per_run=%zu "
          "add_ns=%.0f judge_us=%.0f\n",
          ends, runs, bench_heap () - heap,
          (bench_heap () - heap) / ((size_t)ends * runs),
          (double)(update_began - began) / ends / runs,
          (double)(bench_ns () - update_began) / 1e3);
  rt_blame_free (blame);
}

/* The same for requests with PARTS parts of prompts, all suspect: the most
   that a crash can add. */
static void
bench_parts (unsigned ends, unsigned runs, size_t parts)
{
  const rt_blame_options_t options = { .max_causes = 4096,
                                       .max_customer_causes = 1024,
                                       .max_proven = 8192,
                                       .rule = &rt_blame_rule_odds };
  rt_blame_t *blame = rt_blame_new (&options);
  rt_crash_report_t ended = {
    .host = 1, .at = EL_SEC, .ran = EL_MSEC, .first = 1, .nparts = parts
  };
  size_t heap = bench_heap ();
  uint64_t began = bench_ns ();
  uint64_t update_began;
  unsigned end;
  unsigned run;
  size_t i;

  for (end = 0; end < ends; end++)
    for (run = 0; run < runs; run++)
      {
        ended.instance.born = end;
        ended.at = EL_SEC + end * EL_MSEC;
        ended.digest = 1 + end * runs + run;
        ended.customer = run % 10;
        for (i = 0; i < parts; i++)
          ended.parts[i] = 1000000 + (i < parts / 2 ? i : run * parts + i);
        rt_blame_add_report (blame, EL_SEC, &ended);
      }
  update_began = bench_ns ();
  rt_blame_update (blame, 2 * EL_SEC, 1900, ignore_block, NULL);
  printf ("bench=parts ends=%u runs=%u parts=%zu bytes=%zu add_us=%.1f "
          "judge_us=%.0f\n",
          ends, runs, parts, bench_heap () - heap,
          (double)(update_began - began) / ends / runs / 1e3,
          (double)(bench_ns () - update_began) / 1e3);
  rt_blame_free (blame);
}

static void
bench_digest (void)
{
  char body[800] = "";
  const rt_digest_input_t input = { .customer = EL_STR ("parking"),
                                    .method = EL_STR ("POST"),
                                    .host = EL_STR ("rel.example"),
                                    .path = EL_STR ("/chat/x"),
                                    .body = { body, sizeof body } };
  uint64_t began = bench_ns ();
  unsigned i;

  for (i = 0; i < REQUESTS; i++)
    {
      body[0] = (char)i;
      rt_digest (EL_STR ("a key that the hosts share"), &input);
    }
  printf ("bench=digest body=%zu ns=%.0f\n", sizeof body,
          (double)(bench_ns () - began) / REQUESTS);
}

static double
mean_pick_ns (rt_fleet_t *fleet)
{
  const rt_tried_t tried = { .n = 0 };
  uint64_t began = bench_ns ();
  unsigned i;

  for (i = 0; i < REQUESTS; i++)
    rt_fleet_pick (fleet, EL_SEC + i, EL_STR ("s"), EL_STR ("h"), &tried);
  return (double)(bench_ns () - began) / REQUESTS;
}

/* A plain service: the time to pick an endpoint while all are available and
   while half of them back off, and the memory that it takes to remember the
   back-off of an endpoint that is no longer listed. */
static void
bench_backoff (unsigned endpoints)
{
  rt_fleet_t *fleet = rt_fleet_new (1);
  rt_attrs_t attrs = { .service = EL_STR ("s"),
                       .address = EL_STR ("10.0.0.1:80"),
                       .hall = EL_STR ("h"),
                       .slots = 6 };
  double available_ns;
  double half_available_ns;
  size_t heap;
  char id[16];
  unsigned i;

  for (i = 0; i < endpoints; i++)
    {
      snprintf (id, sizeof id, "i-%u", i);
      attrs.id = el_str (id);
      rt_fleet_update (fleet, &attrs);
    }
  available_ns = mean_pick_ns (fleet);
  heap = bench_heap ();
  for (i = 0; i < endpoints; i += 2)
    {
      snprintf (id, sizeof id, "i-%u", i);
      rt_fleet_backoff (fleet, rt_fleet_find (fleet, el_str (id)), EL_SEC,
                        60 * EL_SEC);
    }
  half_available_ns = mean_pick_ns (fleet);
  printf ("bench=rests endpoints=%u access_bytes=%zu limit_bytes=%zu "
          "bytes_per_rest=%zu "
          "pick_ns=%.0f pick_half_rest_ns=%.0f\n",
          endpoints, sizeof (rt_avail_t), sizeof (rt_limit_t),
          (bench_heap () - heap) / (endpoints / 2), available_ns,
          half_available_ns);
  rt_fleet_free (fleet);
}

int
main (void)
{
  bench_backoff (12);
  bench_backoff (40);
  bench_backoff (1900);
  bench_digest ();
  bench_keys (475);
  bench_keys (950);
  bench_keys (1900);
  bench_blame (1, 60);
  bench_blame (64, 60);
  bench_parts (1, 50, 3);
  bench_parts (1, 50, RT_PARTS_MAX);
  bench_parts (8, 50, RT_PARTS_MAX);
  bench_decisions (40);
  bench_decisions (400);
  bench_decisions (1900);
  bench_ledger ();
  return EXIT_SUCCESS;
}
