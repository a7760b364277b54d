/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of the health checks of engines, against servers that answer or don't.
 */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "libgate.h"
#include "librelay.h"
#include "platform.h"
#include "test.h"

#define ENGINES 2
#define LOOP_INTERVAL_US 500
#define REPORT                                                                \
  "{\"SeqNo\":0,\"pace\":2.5,\"KvUsed\":50,\"KvTotal\":200,\"stalled\":[],"   \
  "\"ActiveRequests\":40,\"QueueDepth\":20}"

/* A server for health checks, and the engine that it represents. */
typedef struct check_engine
{
  net_server_t *server;
  rt_target_t *engine;
  unsigned requests;
  int mute; /* never answers */
} check_engine_t;

static uv_loop_t loop;
static net_clock_t test_clock;
static gt_relays_t relays;
static check_engine_t engines[ENGINES];

static void
engine_handle (void *arg, h2o_req_t *req)
{
  check_engine_t *e = arg;

  e->requests++;
  if (e->mute)
    gt_deferred_new (req);
  else
    net_req_reply (req, 200, EL_STR ("application/json"), EL_STR (REPORT));
}

static int
is_no_poller (void *arg)
{
  (void)arg;
  return 0;
}

static void
engine_open (check_engine_t *e, const char *id)
{
  net_server_options_t server = { .loop = &loop,
                                  .address = EL_STR ("127.0.0.1:0"),
                                  .max_body = 1024,
                                  .handle = engine_handle,
                                  .arg = e };
  rt_attrs_t attrs = { .id = el_str (id),
                       .service = EL_STR ("pool"),
                       .hall = EL_STR ("h"),
                       .slots = 48,
                       .first = 0,
                       .end = 8 };
  char address[32];
  el_err_t err;

  e->server = net_server_new (&server, &err);
  ck_assert_ptr_nonnull (e->server);
  snprintf (address, sizeof address, "127.0.0.1:%u",
            net_server_port (e->server));
  attrs.address = el_str (address);
  e->engine = rt_fleet_update (relays.options.fleet, &attrs);
}

static void
check_setup (void)
{
  uv_loop_init (&loop);
  net_clock_init (&test_clock, &loop);
  relays.options.clock = &test_clock;
  relays.options.client = net_client_new (&test_clock);
  relays.options.fleet = rt_fleet_new (7);
  relays.options.dialect = &pf_relay;
  relays.options.hall = EL_STR ("h");
  relays.options.is_poller = is_no_poller;
  relay_blame_open (&relays);
  engine_open (&engines[0], "a");
  engine_open (&engines[1], "b");
}

static void
run_loop (el_time_t wait)
{
  el_time_t until = net_clock_now (&test_clock) + wait;

  while (net_clock_now (&test_clock) < until)
    {
      uv_run (&loop, UV_RUN_NOWAIT);
      usleep (LOOP_INTERVAL_US);
    }
}

/* Wait until that engine has no check outstanding. */
static void
wait_checked (const check_engine_t *e)
{
  while (e->engine->asked)
    run_loop (EL_MSEC);
}

/* Check both engines once, so that connections are established. */
static void
check_all_once (void)
{
  size_t i;

  for (i = 0; i < ENGINES; i++)
    relay_check (&relays, engines[i].engine);
  while (engines[0].engine->asked || engines[1].engine->asked)
    run_loop (EL_MSEC);
  run_loop (120 * EL_MSEC); /* until a new check is allowed */
}

/* Guards against hosts that all check an engine which one of them found
   silent: only those whose requests it runs do. The others prefer other
   engines until a report says that it answers again. */
START_TEST (test_check_silent_report_is_checked_by_users_only)
{
  const pr_engine_report_t silent = { .id = EL_STR ("a"), .silent = 1 };
  const pr_engine_report_t well = { .id = EL_STR ("a"), .pace = 1 };
  unsigned before;

  check_all_once ();
  before = engines[0].requests;
  gt_relays_receive_reports (&relays, &silent, 1);
  run_loop (30 * EL_MSEC);
  ck_assert_uint_eq (engines[0].requests, before);
  ck_assert_int_eq (engines[0].engine->reported_silent, 1);
  gt_relays_receive_reports (&relays, &well, 1);
  ck_assert_int_eq (engines[0].engine->reported_silent, 0);
  engines[0].engine->chains = 1;
  gt_relays_receive_reports (&relays, &silent, 1);
  wait_checked (&engines[0]);
  ck_assert_uint_eq (engines[0].requests, before + 1);
  ck_assert_int_eq (engines[0].engine->reported_silent, 0);
  engines[0].engine->chains = 0;
}
END_TEST

/* Reports of N engines, of which two are busy, as a host sends them to one
   that got the reports of the poll before. */
static size_t
count_reports_of_second_poll (size_t n)
{
  const rt_load_t idle = { .pace = 1, .fill = 0.001 };
  const rt_load_t busy = { .pace = 1, .fill = 0.4, .taken = 0.3 };
  pr_engine_report_t *reports;
  el_time_t after = 0;
  size_t count = 0;
  size_t poll;
  size_t i;
  char id[32];

  for (poll = 0; poll < 2; poll++)
    {
      run_loop (5 * EL_MSEC);
      after = net_clock_now (&test_clock);
      for (i = 0; i < n; i++)
        {
          rt_attrs_t attrs = { .id = el_str (id),
                               .service = EL_STR ("pool"),
                               .address = EL_STR ("127.0.0.1:9"),
                               .hall = EL_STR ("h"),
                               .slots = 48,
                               .end = 8 };
          rt_target_t *engine;

          snprintf (id, sizeof id, "e%03zu", i);
          engine = rt_fleet_update (relays.options.fleet, &attrs);
          relay_check_load (&relays, engine, i < 2 ? &busy : &idle,
                            net_clock_now (&test_clock));
        }
    }
  count = gt_relays_engine_reports (&relays, after, &reports);
  free (reports);
  ck_assert_uint_ge (gt_relays_engine_reports (&relays, 0, &reports), n);
  free (reports);
  return count;
}

/* Guards against reports of all engines in each message: what is sent follows
   the engines that are busy, not those that there are. */
START_TEST (test_check_reports_follow_load)
{
  static const size_t sizes[] = { 10, 100, 500 };
  size_t i;

  for (i = 0; i < 3; i++)
    ck_assert_uint_eq (count_reports_of_second_poll (sizes[i]), 2);
}
END_TEST

/* An engine that falls silent, or answers again, is news; so is one that
   becomes idle. */
START_TEST (test_check_reports_include_each_change)
{
  const rt_load_t idle = { .pace = 1 };
  const rt_load_t busy = { .pace = 1, .fill = 0.4 };
  const pr_engine_report_t silent = { .id = EL_STR ("a"), .silent = 1 };
  const pr_engine_report_t well = { .id = EL_STR ("a"), .pace = 1 };
  const pr_engine_report_t *changes[] = { &silent, &well };
  pr_engine_report_t *reports;
  el_time_t after;
  size_t i;

  for (i = 0; i < 4; i++)
    {
      run_loop (5 * EL_MSEC);
      after = net_clock_now (&test_clock);
      if (i < 2)
        relay_check_load (&relays, engines[0].engine, i ? &idle : &busy,
                          after);
      else
        gt_relays_receive_reports (&relays, changes[i - 2], 1);
      ck_assert_uint_eq (gt_relays_engine_reports (&relays, after, &reports),
                         1);
      ck_assert_int_eq (reports[0].silent, i == 2);
      free (reports);
    }
}
END_TEST

START_TEST (test_check_applies_reported_load)
{
  check_all_once ();
  ck_assert_int_eq (engines[0].engine->avail.silent, 0);
  ck_assert (engines[0].engine->pace == 2.5);
  ck_assert (engines[0].engine->fill == 0.25);
  ck_assert (engines[0].engine->taken == 1.25); /* including the queue */
}
END_TEST

/* Another engine answers, so the silent engine is at fault. */
START_TEST (test_check_silent_engine_is_detected)
{
  check_all_once ();
  engines[0].mute = 1;
  relay_check (&relays, engines[0].engine);
  relay_check (&relays, engines[1].engine);
  wait_checked (&engines[0]);
  ck_assert_int_eq (engines[0].engine->avail.silent, 1);
  ck_assert_int_eq (engines[1].engine->avail.silent, 0);
  ck_assert_uint_eq (relays.counts.silent, 1);
  engines[0].mute = 0;
  while (engines[0].engine->avail.silent)
    run_loop (EL_MSEC);
}
END_TEST

/* No engine answers: the fault may be this host's own, so it waits longer
   before it marks the engine as silent. */
START_TEST (test_check_waits_longer_if_no_engine_answers)
{
  el_time_t sent_at;

  check_all_once ();
  engines[0].mute = 1;
  relay_check (&relays, engines[0].engine);
  sent_at = engines[0].engine->asked;
  wait_checked (&engines[0]);
  ck_assert_int_eq (engines[0].engine->avail.silent, 1);
  ck_assert_uint_ge (net_clock_now (&test_clock), sent_at + 100 * EL_MSEC);
}
END_TEST

/* An event of a stream shows that the engines of its chain are alive. */
START_TEST (test_check_stream_event_proves_liveness)
{
  check_all_once ();
  engines[0].mute = 1;
  relay_check (&relays, engines[0].engine);
  relay_check (&relays, engines[1].engine);
  run_loop (5 * EL_MSEC);
  engines[0].engine->last_event_at = net_clock_now (&test_clock);
  wait_checked (&engines[0]);
  ck_assert_int_eq (engines[0].engine->avail.silent, 0);
  ck_assert_uint_eq (relays.counts.silent, 0);
}
END_TEST

/* An engine that releases its layers loads others only once no stream uses it:
   its streams are rerouted to the replica. */
START_TEST (test_stream_is_rerouted_if_engine_releases_layers)
{
  static rt_card_t card
      = { .memory_mb = 1000, .step_scale = 1, .prefill_scale = 1 };
  static const rt_service_t service = { .name = EL_STR ("pool"),
                                        .model = { .layers = 8,
                                                   .layer_mb = 10,
                                                   .step_ms = 1,
                                                   .token_kv_mb = 0.01,
                                                   .typical_tokens = 100,
                                                   .cards = &card,
                                                   .ncards = 1 } };
  int exchange;
  gt_relay_t relay = { .relays = &relays,
                       .service = &service,
                       .id = EL_STR ("r"),
                       .phase = RELAY_SENT,
                       .exchange = (net_exchange_t *)&exchange };
  check_engine_t replica = { .requests = 0 };

  engine_open (&replica, "c");
  engines[0].engine->attrs.end = 4;
  engines[1].engine->attrs.first = 4;
  replica.engine->attrs.first = 4;
  relay.target = engines[0].engine;
  relay.chain.part[0] = (struct rt_chain_part){ engines[0].engine, 0, 4, 0 };
  relay.chain.part[1] = (struct rt_chain_part){ engines[1].engine, 4, 8, 0 };
  relay.chain.n = 2;
  rt_chain_acquire (&relay.chain, NULL, 0);
  DL_APPEND (relays.running, &relay);
  gt_relays_engine_changed (&relays, engines[1].engine);
  ck_assert_ptr_null (relay.query);
  engines[1].engine->attrs.first = 0;
  engines[1].engine->attrs.end = 0;
  gt_relays_engine_changed (&relays, engines[1].engine);
  while (relay.query)
    run_loop (EL_MSEC);
  ck_assert_uint_eq (relay.chain.n, 2);
  ck_assert_ptr_eq (relay.chain.part[1].target, replica.engine);
  ck_assert_uint_eq (engines[1].engine->chains, 0);
  net_clock_cancel (&test_clock, &relay.watch_timer);
  rt_chain_release (&relay.chain);
  DL_DELETE (relays.running, &relay);
}
END_TEST

/* No check is sent while another is outstanding, and an engine that is no
   longer listed is not checked again. */
START_TEST (test_check_one_outstanding_per_engine)
{
  relay_check (&relays, engines[0].engine);
  wait_checked (&engines[0]);
  relay_check (&relays, engines[0].engine); /* delayed by 100 ms: too soon
                                               after the last */
  run_loop (60 * EL_MSEC);
  engines[0].mute = 1;
  engines[0].requests = 0;
  relay_check_unless_recent (&relays, engines[0].engine,
                             net_clock_now (&test_clock));
  run_loop (70 * EL_MSEC);
  ck_assert_uint_eq (engines[0].requests, 1);
  rt_fleet_remove (relays.options.fleet, EL_STR ("a"));
  run_loop (600 * EL_MSEC);
  ck_assert_uint_eq (engines[0].requests, 1);
}
END_TEST

/* An engine that this host does not reach is not told to be silent: other
   hosts may reach it. */
START_TEST (test_check_unreached_engine_is_not_reported_silent)
{
  pr_engine_report_t *reports;
  size_t n;
  size_t i;

  check_all_once ();
  engines[0].engine->avail.silent = 1;
  engines[1].engine->avail.silent = 1;
  rt_target_connect_failed (engines[0].engine, net_clock_now (&test_clock));
  n = gt_relays_engine_reports (&relays, 0, &reports);
  ck_assert_uint_eq (n, ENGINES);
  for (i = 0; i < n; i++)
    ck_assert_int_eq (reports[i].silent,
                      el_str_eq (reports[i].id, EL_STR ("b")));
  free (reports);
}
END_TEST

Suite *
check_suite (void)
{
  Suite *suite = suite_create ("check");
  TCase *tcase = tcase_create ("check");

  tcase_set_timeout (tcase, 30);
  tcase_add_checked_fixture (tcase, check_setup, NULL);
  ADD (tcase, test_check_silent_report_is_checked_by_users_only);
  ADD (tcase, test_check_reports_follow_load);
  ADD (tcase, test_check_reports_include_each_change);
  ADD (tcase, test_check_applies_reported_load);
  ADD (tcase, test_check_silent_engine_is_detected);
  ADD (tcase, test_check_waits_longer_if_no_engine_answers);
  ADD (tcase, test_check_stream_event_proves_liveness);
  ADD (tcase, test_stream_is_rerouted_if_engine_releases_layers);
  ADD (tcase, test_check_one_outstanding_per_engine);
  ADD (tcase, test_check_unreached_engine_is_not_reported_silent);
  suite_add_tcase (suite, tcase);
  return suite;
}
