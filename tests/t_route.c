/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of the decisions, by events handed to a router and the actions that
 * come back.
 */
#include <stdlib.h>
#include <string.h>

#include "test.h"

#define ACTIONS_MAX 4096
#define LAYERS 4
#define DEADLINE (60 * EL_SEC)

/* An action with its strings copied. */
typedef struct act
{
  rt_action_t a;
  char endpoint[64];
} act_t;

static rt_router_t *router;
static act_t acts[ACTIONS_MAX];
static size_t nacts;
static el_time_t now;

static void
act_note (void *arg, const rt_action_t *action)
{
  (void)arg;
  ck_assert_uint_lt (nacts, ACTIONS_MAX);
  acts[nacts].a = *action;
  snprintf (acts[nacts].endpoint, sizeof acts[nacts].endpoint, "%.*s",
            (int)action->endpoint.len,
            action->endpoint.len ? action->endpoint.ptr : "");
  nacts++;
}

static void
config (co_kind_t kind, const char *name, const char *json)
{
  co_resource_t *res = test_resource (kind, name, json, 1);

  rt_router_apply_config (router, NULL, res);
  co_resource_free (res);
}

static void
router_open (size_t max_active, size_t max_queue)
{
  rt_options_t options = { .seed = 1,
                           .max_active = max_active,
                           .max_queue = max_queue,
                           .call_limit = EL_SEC,
                           .leave_hold = 5 * EL_SEC,
                           .act = act_note };

  nacts = 0;
  now = 1000;
  router = rt_router_new (&options);
}

/* Two pipelines of two engines each, a service on two workers. */
static void
setup (void)
{
  static const char *const endpoints[] = { "a1", "a2", "b1", "b2" };
  size_t i;

  router_open (8, 8);
  for (i = 0; i < 4; i++)
    config (CO_ENDPOINT, endpoints[i],
            "{\"address\":\"10.0.0.1:1\",\"hall\":\"h\",\"role\":"
            "\"engine\"}");
  config (CO_ENDPOINT, "w1",
          "{\"address\":\"10.0.0.9:1\",\"hall\":\"h\",\"role\":\"worker\"}");
  config (CO_ENDPOINT, "w2",
          "{\"address\":\"10.0.0.9:2\",\"hall\":\"h\",\"role\":\"worker\"}");
  config (CO_DEPLOYMENT, "d",
          "{\"model\":\"m\",\"layers\":4,\"maxTokens\":100}");
  config (CO_PIPELINE, "pa",
          "{\"deployment\":\"d\",\"stages\":[{\"endpoint\":\"a1\",\"first\":"
          "0,\"last\":1},{\"endpoint\":\"a2\",\"first\":2,\"last\":3}]}");
  config (CO_PIPELINE, "pb",
          "{\"deployment\":\"d\",\"stages\":[{\"endpoint\":\"b1\",\"first\":"
          "0,\"last\":1},{\"endpoint\":\"b2\",\"first\":2,\"last\":3}]}");
  config (CO_SERVICE, "s", "{\"endpoints\":[\"w1\",\"w2\"]}");
  config (CO_CUSTOMER, "c",
          "{\"keyHash\":"
          "\"0000000000000000000000000000000000000000000000000000000000000000"
          "\",\"maxInFlight\":6}");
}

static void
teardown (void)
{
  rt_router_free (router);
}

static void
request (uint64_t stream, rt_request_type_t work, int repeatable)
{
  rt_event_t event = { .kind = RT_EV_REQUEST,
                       .stream = stream,
                       .work = work,
                       .customer = EL_STR ("c"),
                       .target = work == RT_CHAT ? EL_STR ("m") : EL_STR ("s"),
                       .prompt = EL_STR ("{}"),
                       .max_tokens = 3,
                       .deadline = now + DEADLINE,
                       .repeatable = repeatable };

  rt_router_handle_event (router, now, &event);
}

/* The last action of a kind for a stream, or NULL. */
static act_t *
last (rt_action_kind_t kind, uint64_t stream)
{
  size_t i;

  for (i = nacts; i-- > 0;)
    if (acts[i].a.kind == kind && acts[i].a.stream == stream)
      return &acts[i];
  return NULL;
}

static unsigned
count (rt_action_kind_t kind, uint64_t stream)
{
  unsigned n = 0;
  size_t i;

  for (i = 0; i < nacts; i++)
    n += acts[i].a.kind == kind && acts[i].a.stream == stream;
  return n;
}

static void
reply_place (const rt_call_id_t *call, const rt_call_id_t *echo, int final,
             uint64_t token)
{
  rt_event_t event = { .kind = RT_EV_REPLY,
                       .stream = call->stream,
                       .call = *call,
                       .echo = *echo,
                       .hidden = EL_STR ("h"),
                       .has_token = final,
                       .token = token,
                       .text = EL_STR ("t") };

  rt_router_handle_event (router, now, &event);
}

/* Answer the stream's call that is out. */
static void
reply (uint64_t stream, uint64_t token)
{
  act_t call = *last (RT_ACT_CALL, stream);

  reply_place (&call.a.call, &call.a.call, call.a.final, token);
}

static void
fail_call (uint64_t stream, el_verdict_t verdict, rt_failure_t why)
{
  rt_event_t event = { .kind = RT_EV_FAILED,
                       .stream = stream,
                       .call = last (RT_ACT_CALL, stream)->a.call,
                       .verdict = verdict,
                       .fail = why };

  rt_router_handle_event (router, now, &event);
}

static void
tick (el_time_t to)
{
  rt_event_t event = { .kind = RT_EV_TICK };

  now = to;
  rt_router_handle_event (router, now, &event);
}

START_TEST (test_chat_calls_each_layer_once_in_order)
{
  uint64_t next = 0;
  size_t i;

  request (1, RT_CHAT, 1);
  for (i = 0; i < 6; i++)
    reply (1, 10 + i);
  ck_assert_uint_eq (count (RT_ACT_CALL, 1), 6);
  ck_assert_uint_eq (count (RT_ACT_TOKEN, 1), 3);
  for (i = 0; i < nacts; i++)
    if (acts[i].a.kind == RT_ACT_CALL)
      {
        ck_assert_uint_eq (acts[i].a.call.first, next);
        next = (acts[i].a.call.last + 1) % LAYERS;
      }
  ck_assert_int_eq (last (RT_ACT_END, 1)->a.verdict, EL_RAN);
  ck_assert_int_eq (last (RT_ACT_END, 1)->a.reason, RT_LENGTH);
  ck_assert_uint_eq (rt_router_active (router), 0);
}
END_TEST

START_TEST (test_chat_rebuild_feeds_what_was_delivered)
{
  act_t *call;
  char first[64];

  request (1, RT_CHAT, 1);
  snprintf (first, sizeof first, "%s", last (RT_ACT_CALL, 1)->endpoint);
  reply (1, 0);
  reply (1, 77);
  fail_call (1, EL_MAY_HAVE_RUN, RT_FAIL_BROKEN);
  call = last (RT_ACT_CALL, 1);
  ck_assert_uint_eq (call->a.call.attempt, 2);
  ck_assert_uint_eq (call->a.call.step, 1);
  ck_assert_uint_eq (call->a.call.first, 0);
  ck_assert_uint_eq (call->a.nfeed, 1);
  ck_assert_uint_eq (call->a.prompt.len, 2);
  ck_assert_str_ne (call->endpoint, first);
  ck_assert_uint_eq (count (RT_ACT_ABANDON, 1), 2);
  ck_assert_ptr_null (last (RT_ACT_END, 1));
}
END_TEST

START_TEST (test_chat_late_answer_is_dropped)
{
  act_t old;

  request (1, RT_CHAT, 1);
  old = *last (RT_ACT_CALL, 1);
  tick (now + EL_SEC);
  ck_assert_uint_eq (last (RT_ACT_CALL, 1)->a.call.attempt, 2);
  reply_place (&old.a.call, &old.a.call, 0, 1);
  ck_assert_uint_eq (rt_router_counts (router)->late, 1);
  ck_assert_uint_eq (count (RT_ACT_CALL, 1), 2);
}
END_TEST

START_TEST (test_chat_crossed_answer_never_enters_the_stream)
{
  act_t call;
  rt_call_id_t echo;

  request (1, RT_CHAT, 1);
  reply (1, 0);
  call = *last (RT_ACT_CALL, 1);
  echo = call.a.call;
  switch (_i)
    {
    case 0:
      echo.stream = 2;
      break;
    case 1:
      echo.attempt++;
      break;
    case 2:
      echo.step++;
      break;
    case 3:
      echo.first--;
      break;
    case 4:
      echo.last--;
      break;
    case 5:
      echo.generation++;
      break;
    }
  reply_place (&call.a.call, &echo, 1, 5);
  ck_assert_uint_eq (count (RT_ACT_TOKEN, 1), 0);
  ck_assert_uint_eq (rt_router_counts (router)->crossed, 1);
  ck_assert_uint_eq (last (RT_ACT_CALL, 1)->a.call.attempt, 2);
}
END_TEST

/* Failures, late answers and crossed ones in any order: the tokens handed on
   are those of the expected calls, each once. */
START_TEST (test_chat_any_order_keeps_the_stream_whole)
{
  unsigned seed = (unsigned)_i + 1;
  uint64_t expected = 0;
  unsigned step;

  srandom (seed);
  request (1, RT_CHAT, 1);
  for (step = 0; step < 400 && !last (RT_ACT_END, 1); step++)
    {
      act_t call = *last (RT_ACT_CALL, 1);
      size_t past = (size_t)random () % nacts;

      switch (random () % 5)
        {
        case 0:
          fail_call (1, (el_verdict_t)(random () % 3),
                     (rt_failure_t)(random () % RT_FAIL_REFUSED));
          break;
        case 1:
          if (acts[past].a.kind == RT_ACT_CALL
              && memcmp (&acts[past].a.call, &call.a.call, sizeof call.a.call)
                     != 0)
            reply_place (&acts[past].a.call, &acts[past].a.call,
                         acts[past].a.final, 999);
          break;
        case 2:
          tick (now + 100 * EL_MSEC);
          break;
        default:
          reply (1, 100 + call.a.call.step);
        }
    }
  for (step = 0; step < nacts; step++)
    if (acts[step].a.kind == RT_ACT_TOKEN)
      ck_assert_msg (acts[step].a.token == 100 + expected++,
                     "seed %u: wrong token %llu", seed,
                     (unsigned long long)acts[step].a.token);
}
END_TEST

START_TEST (test_chat_waits_for_a_route_rather_than_drop)
{
  rt_event_t leave = { .kind = RT_EV_LEAVING, .leaving = 1 };

  request (1, RT_CHAT, 1);
  reply (1, 0);
  reply (1, 50);
  leave.target = EL_STR ("a1");
  rt_router_handle_event (router, now, &leave);
  leave.target = EL_STR ("b1");
  rt_router_handle_event (router, now, &leave);
  fail_call (1, EL_MAY_HAVE_RUN, RT_FAIL_BROKEN);
  tick (now + EL_SEC);
  ck_assert_ptr_null (last (RT_ACT_END, 1));
  leave.leaving = 0;
  rt_router_handle_event (router, now, &leave);
  tick (now + EL_SEC);
  ck_assert_str_eq (last (RT_ACT_CALL, 1)->endpoint, "b1");
  ck_assert_uint_eq (last (RT_ACT_CALL, 1)->a.call.step, 1);
}
END_TEST

START_TEST (test_deadline_ends_at_once_with_its_verdict)
{
  request (1, RT_CHAT, 1);
  tick (now + DEADLINE);
  ck_assert_int_eq (last (RT_ACT_END, 1)->a.reason, RT_DEADLINE);
  ck_assert_int_eq (last (RT_ACT_END, 1)->a.verdict, EL_MAY_HAVE_RUN);
  ck_assert_uint_gt (last (RT_ACT_END, 1)->a.retry_after_ms, 0);
}
END_TEST

START_TEST (test_call_not_repeatable_is_not_sent_again)
{
  request (1, RT_CALL, 0);
  fail_call (1, EL_MAY_HAVE_RUN, RT_FAIL_BROKEN);
  ck_assert_uint_eq (count (RT_ACT_CALL, 1), 1);
  ck_assert_int_eq (last (RT_ACT_END, 1)->a.verdict, EL_MAY_HAVE_RUN);
  ck_assert_int_eq (last (RT_ACT_END, 1)->a.reason, RT_ENDPOINT_FAILED);
}
END_TEST

START_TEST (test_call_not_run_goes_to_another_endpoint)
{
  char first[64];

  request (1, RT_CALL, 0);
  snprintf (first, sizeof first, "%s", last (RT_ACT_CALL, 1)->endpoint);
  fail_call (1, EL_NOT_RUN, RT_FAIL_CONNECT);
  ck_assert_str_ne (last (RT_ACT_CALL, 1)->endpoint, first);
  reply_place (&last (RT_ACT_CALL, 1)->a.call, &last (RT_ACT_CALL, 1)->a.call,
               1, 0);
  ck_assert_int_eq (last (RT_ACT_END, 1)->a.verdict, EL_RAN);
}
END_TEST

START_TEST (test_not_run_is_said_only_when_nothing_ran)
{
  request (1, RT_CALL, 1);
  fail_call (1, EL_MAY_HAVE_RUN, RT_FAIL_BROKEN); /* repeatable: goes on */
  fail_call (1, EL_NOT_RUN, RT_FAIL_REFUSED);
  ck_assert_int_eq (last (RT_ACT_END, 1)->a.verdict, EL_MAY_HAVE_RUN);
  request (2, RT_CALL, 0);
  fail_call (2, EL_NOT_RUN, RT_FAIL_REFUSED);
  ck_assert_int_eq (last (RT_ACT_END, 2)->a.verdict, EL_NOT_RUN);
}
END_TEST

START_TEST (test_retries_stop_with_their_budget)
{
  uint64_t stream;
  unsigned retries = 0;

  for (stream = 1; stream <= 200; stream++)
    {
      request (stream, RT_CALL, 1);
      while (!last (RT_ACT_END, stream))
        {
          fail_call (stream, EL_NOT_RUN, RT_FAIL_BUSY);
          if (!last (RT_ACT_END, stream)
              && last (RT_ACT_CALL, stream)->a.call.attempt > 1)
            tick (now + EL_SEC);
        }
      retries += count (RT_ACT_CALL, stream) - 1;
      nacts = 0;
    }
  /* The first ten are saved; each request earns a tenth. */
  ck_assert_uint_le (retries, 10 + 200 / 10);
  ck_assert_uint_ge (retries, 20);
}
END_TEST

START_TEST (test_leaving_endpoint_gets_no_new_work)
{
  uint64_t stream;
  char left[64];

  request (1, RT_CHAT, 1);
  snprintf (left, sizeof left, "%s", last (RT_ACT_CALL, 1)->endpoint);
  fail_call (1, EL_NOT_RUN, RT_FAIL_LEAVING);
  for (stream = 2; stream < 7; stream++)
    {
      request (stream, RT_CHAT, 1);
      ck_assert_str_ne (last (RT_ACT_CALL, stream)->endpoint, left);
    }
}
END_TEST

START_TEST (test_ejection_never_empties_a_group)
{
  request (1, RT_CALL, 1);
  fail_call (1, EL_NOT_RUN, RT_FAIL_CONNECT);
  fail_call (1, EL_NOT_RUN, RT_FAIL_CONNECT);
  tick (now + 20 * EL_MSEC);
  ck_assert_ptr_null (last (RT_ACT_END, 1));
  request (2, RT_CALL, 1);
  ck_assert_ptr_nonnull (last (RT_ACT_CALL, 2));
}
END_TEST

/* Both workers are set aside, and one of them is back: a request that meets
   the dead one goes to the other next, not to the dead one again. */
START_TEST (test_retry_avoids_the_endpoint_that_just_failed)
{
  uint64_t stream;
  char first[64];

  for (stream = 1; stream <= 20; stream++)
    {
      request (stream, RT_CALL, 1);
      snprintf (first, sizeof first, "%s",
                last (RT_ACT_CALL, stream)->endpoint);
      fail_call (stream, EL_NOT_RUN, RT_FAIL_CONNECT);
      if (last (RT_ACT_END, stream))
        break; /* the budget is used up */
      ck_assert_str_ne (last (RT_ACT_CALL, stream)->endpoint, first);
      fail_call (stream, EL_NOT_RUN, RT_FAIL_REFUSED);
    }
  ck_assert_uint_gt (stream, 10);
}
END_TEST

START_TEST (test_admission_bounds_and_refuses_as_not_run)
{
  uint64_t stream;

  teardown ();
  router_open (2, 2);
  config (CO_ENDPOINT, "w1",
          "{\"address\":\"10.0.0.9:1\",\"hall\":\"h\",\"role\":\"worker\"}");
  config (CO_SERVICE, "s", "{\"endpoints\":[\"w1\"]}");
  config (CO_CUSTOMER, "c",
          "{\"keyHash\":"
          "\"0000000000000000000000000000000000000000000000000000000000000000"
          "\",\"maxInFlight\":100}");
  for (stream = 1; stream <= 5; stream++)
    request (stream, RT_CALL, 1);
  ck_assert_uint_eq (rt_router_active (router), 2);
  ck_assert_uint_eq (rt_router_queued (router), 2);
  ck_assert_int_eq (last (RT_ACT_END, 5)->a.reason, RT_QUEUE_FULL);
  ck_assert_int_eq (last (RT_ACT_END, 5)->a.verdict, EL_NOT_RUN);
  ck_assert_uint_gt (last (RT_ACT_END, 5)->a.retry_after_ms, 0);
  reply_place (&last (RT_ACT_CALL, 1)->a.call, &last (RT_ACT_CALL, 1)->a.call,
               1, 0);
  ck_assert_ptr_nonnull (last (RT_ACT_CALL, 3));
}
END_TEST

START_TEST (test_customer_limit_is_shared_by_hosts)
{
  rt_event_t hosts = { .kind = RT_EV_HOSTS, .hosts = 3 };
  uint64_t stream;

  rt_router_handle_event (router, now, &hosts);
  for (stream = 1; stream <= 3; stream++)
    request (stream, RT_CHAT, 1);
  ck_assert_ptr_null (last (RT_ACT_END, 2));
  ck_assert_int_eq (last (RT_ACT_END, 3)->a.reason, RT_CUSTOMER_LIMIT);
}
END_TEST

START_TEST (test_queue_shares_by_weight_and_starves_nobody)
{
  unsigned served[2] = { 0, 0 };
  uint64_t stream;
  size_t i;

  teardown ();
  router_open (1, 1000);
  config (CO_ENDPOINT, "w1",
          "{\"address\":\"10.0.0.9:1\",\"hall\":\"h\",\"role\":\"worker\"}");
  config (CO_SERVICE, "s", "{\"endpoints\":[\"w1\"]}");
  config (CO_CUSTOMER, "big",
          "{\"keyHash\":"
          "\"0000000000000000000000000000000000000000000000000000000000000000"
          "\",\"maxInFlight\":1000,\"weight\":3}");
  config (CO_CUSTOMER, "small",
          "{\"keyHash\":"
          "\"1000000000000000000000000000000000000000000000000000000000000000"
          "\",\"maxInFlight\":1000,\"weight\":1}");
  for (stream = 1; stream <= 200; stream++)
    {
      rt_event_t event
          = { .kind = RT_EV_REQUEST,
              .stream = stream,
              .work = RT_CALL,
              .customer = stream % 2 ? EL_STR ("big") : EL_STR ("small"),
              .target = EL_STR ("s"),
              .deadline = now + DEADLINE,
              .repeatable = 1 };

      rt_router_handle_event (router, now, &event);
    }
  for (i = 0; i < 80; i++)
    {
      act_t *call = &acts[nacts - 1];

      while (call->a.kind != RT_ACT_CALL)
        call--;
      served[call->a.stream % 2 == 0]++;
      reply_place (&call->a.call, &call->a.call, 1, 0);
    }
  ck_assert_uint_ge (served[0], 58);
  ck_assert_uint_le (served[0], 62);
  ck_assert_uint_ge (served[1], 18);
}
END_TEST

START_TEST (test_stop_refuses_new_and_ends_running)
{
  rt_event_t stop = { .kind = RT_EV_STOP };

  request (1, RT_CHAT, 1);
  rt_router_handle_event (router, now, &stop);
  request (2, RT_CHAT, 1);
  ck_assert_int_eq (last (RT_ACT_END, 2)->a.reason, RT_STOPPING);
  ck_assert_int_eq (last (RT_ACT_END, 2)->a.verdict, EL_NOT_RUN);
  reply (1, 0);
  reply (1, 1);
  ck_assert_uint_eq (count (RT_ACT_TOKEN, 1), 1);
}
END_TEST

START_TEST (test_route_refuses_what_does_not_cover_the_layers)
{
  config (CO_DEPLOYMENT, "d2", "{\"model\":\"m2\",\"layers\":5}");
  config (CO_PIPELINE, "p2",
          "{\"deployment\":\"d2\",\"stages\":[{\"endpoint\":\"a1\",\"first\":"
          "0,\"last\":3}]}");
  rt_event_t event = { .kind = RT_EV_REQUEST,
                       .stream = 1,
                       .customer = EL_STR ("c"),
                       .target = EL_STR ("m2"),
                       .deadline = now + DEADLINE };

  rt_router_handle_event (router, now, &event);
  ck_assert_uint_eq (count (RT_ACT_CALL, 1), 0);
  ck_assert_int_eq (last (RT_ACT_END, 1)->a.verdict, EL_NOT_RUN);
}
END_TEST

START_TEST (test_cancel_reaches_the_engines)
{
  rt_event_t cancel = { .kind = RT_EV_CANCEL, .stream = 1 };

  request (1, RT_CHAT, 1);
  reply (1, 0);
  rt_router_handle_event (router, now, &cancel);
  ck_assert_uint_eq (count (RT_ACT_ABANDON, 1), 2);
  ck_assert_int_eq (last (RT_ACT_END, 1)->a.reason, RT_CANCELLED);
  ck_assert_uint_eq (rt_router_active (router), 0);
}
END_TEST

Suite *
route_suite (void)
{
  Suite *suite = suite_create ("route");
  TCase *tcase = tcase_create ("route");

  tcase_add_checked_fixture (tcase, setup, teardown);
  ADD (tcase, test_chat_calls_each_layer_once_in_order);
  ADD (tcase, test_chat_rebuild_feeds_what_was_delivered);
  ADD (tcase, test_chat_late_answer_is_dropped);
  ADD_LOOP (tcase, test_chat_crossed_answer_never_enters_the_stream, 6);
  ADD_LOOP (tcase, test_chat_any_order_keeps_the_stream_whole, 100);
  ADD (tcase, test_chat_waits_for_a_route_rather_than_drop);
  ADD (tcase, test_deadline_ends_at_once_with_its_verdict);
  ADD (tcase, test_call_not_repeatable_is_not_sent_again);
  ADD (tcase, test_call_not_run_goes_to_another_endpoint);
  ADD (tcase, test_not_run_is_said_only_when_nothing_ran);
  ADD (tcase, test_retries_stop_with_their_budget);
  ADD (tcase, test_leaving_endpoint_gets_no_new_work);
  ADD (tcase, test_ejection_never_empties_a_group);
  ADD (tcase, test_retry_avoids_the_endpoint_that_just_failed);
  ADD (tcase, test_admission_bounds_and_refuses_as_not_run);
  ADD (tcase, test_customer_limit_is_shared_by_hosts);
  ADD (tcase, test_queue_shares_by_weight_and_starves_nobody);
  ADD (tcase, test_stop_refuses_new_and_ends_running);
  ADD (tcase, test_route_refuses_what_does_not_cover_the_layers);
  ADD (tcase, test_cancel_reaches_the_engines);
  suite_add_tcase (suite, tcase);
  return suite;
}
