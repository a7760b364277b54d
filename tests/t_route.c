/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of the router: events go in, and the resulting actions are checked.
 */
#include <stdlib.h>
#include <string.h>

#include "test.h"

#define ACTIONS_MAX 4096
#define LAYERS 4
#define DEADLINE (60 * EL_SEC)

/* A recorded action, with a copy of its endpoint. */
typedef struct recorded_action
{
  rt_action_t action;
  char endpoint[64];
} recorded_action_t;

static rt_router_t *router;
static recorded_action_t recorded_actions[ACTIONS_MAX];
static size_t nactions;
static el_time_t now;

static void
record_action (void *arg, const rt_action_t *action)
{
  (void)arg;
  ck_assert_uint_lt (nactions, ACTIONS_MAX);
  recorded_actions[nactions].action = *action;
  snprintf (recorded_actions[nactions].endpoint,
            sizeof recorded_actions[nactions].endpoint, "%.*s",
            (int)action->endpoint.len,
            action->endpoint.len ? action->endpoint.ptr : "");
  nactions++;
}

static void
apply_config (co_kind_t kind, const char *name, const char *json)
{
  co_resource_t *res = test_resource (kind, name, json, 1);

  rt_router_apply_config (router, NULL, res);
  co_resource_free (res);
}

static void
open_router (size_t max_active, size_t max_queue)
{
  rt_options_t options = { .seed = 1,
                           .max_active = max_active,
                           .max_queue = max_queue,
                           .call_limit = EL_SEC,
                           .leave_hold = 5 * EL_SEC,
                           .act = record_action };

  nactions = 0;
  now = 1000;
  router = rt_router_new (&options);
}

/* Configures two pipelines of two engines each, and a service on two workers.
 */
static void
setup (void)
{
  static const char *const endpoints[] = { "a1", "a2", "b1", "b2" };
  size_t i;

  open_router (8, 8);
  for (i = 0; i < 4; i++)
    apply_config (CO_ENDPOINT, endpoints[i],
                  "{\"address\":\"10.0.0.1:1\",\"hall\":\"h\",\"role\":"
                  "\"engine\"}");
  apply_config (
      CO_ENDPOINT, "w1",
      "{\"address\":\"10.0.0.9:1\",\"hall\":\"h\",\"role\":\"worker\"}");
  apply_config (
      CO_ENDPOINT, "w2",
      "{\"address\":\"10.0.0.9:2\",\"hall\":\"h\",\"role\":\"worker\"}");
  apply_config (CO_DEPLOYMENT, "d",
                "{\"model\":\"m\",\"layers\":4,\"maxTokens\":100}");
  apply_config (
      CO_PIPELINE, "pa",
      "{\"deployment\":\"d\",\"stages\":[{\"endpoint\":\"a1\",\"first\":"
      "0,\"last\":1},{\"endpoint\":\"a2\",\"first\":2,\"last\":3}]}");
  apply_config (
      CO_PIPELINE, "pb",
      "{\"deployment\":\"d\",\"stages\":[{\"endpoint\":\"b1\",\"first\":"
      "0,\"last\":1},{\"endpoint\":\"b2\",\"first\":2,\"last\":3}]}");
  apply_config (CO_SERVICE, "s", "{\"endpoints\":[\"w1\",\"w2\"]}");
  apply_config (
      CO_CUSTOMER, "c",
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

/* Returns the last action of a kind for a stream, or NULL. */
static recorded_action_t *
last_action (rt_action_kind_t kind, uint64_t stream)
{
  size_t i;

  for (i = nactions; i-- > 0;)
    if (recorded_actions[i].action.kind == kind
        && recorded_actions[i].action.stream == stream)
      return &recorded_actions[i];
  return NULL;
}

static unsigned
count_actions (rt_action_kind_t kind, uint64_t stream)
{
  unsigned n = 0;
  size_t i;

  for (i = 0; i < nactions; i++)
    n += recorded_actions[i].action.kind == kind
         && recorded_actions[i].action.stream == stream;
  return n;
}

static void
reply_to_call (const rt_call_id_t *call, const rt_call_id_t *echo, int final,
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

/* Answers the stream's outstanding call. */
static void
reply_to_last_call (uint64_t stream, uint64_t token)
{
  recorded_action_t call = *last_action (RT_ACT_CALL, stream);

  reply_to_call (&call.action.call, &call.action.call, call.action.final,
                 token);
}

static void
fail_call (uint64_t stream, el_verdict_t verdict, rt_failure_t why)
{
  rt_event_t event = { .kind = RT_EV_FAILED,
                       .stream = stream,
                       .call = last_action (RT_ACT_CALL, stream)->action.call,
                       .verdict = verdict,
                       .fail = why };

  rt_router_handle_event (router, now, &event);
}

static void
tick (el_time_t until)
{
  rt_event_t event = { .kind = RT_EV_TICK };

  now = until;
  rt_router_handle_event (router, now, &event);
}

START_TEST (test_chat_calls_each_layer_once_in_order)
{
  uint64_t next = 0;
  size_t i;

  request (1, RT_CHAT, 1);
  for (i = 0; i < 6; i++)
    reply_to_last_call (1, 10 + i);
  ck_assert_uint_eq (count_actions (RT_ACT_CALL, 1), 6);
  ck_assert_uint_eq (count_actions (RT_ACT_TOKEN, 1), 3);
  for (i = 0; i < nactions; i++)
    if (recorded_actions[i].action.kind == RT_ACT_CALL)
      {
        ck_assert_uint_eq (recorded_actions[i].action.call.first, next);
        next = (recorded_actions[i].action.call.last + 1) % LAYERS;
      }
  ck_assert_int_eq (last_action (RT_ACT_END, 1)->action.verdict, EL_RAN);
  ck_assert_int_eq (last_action (RT_ACT_END, 1)->action.reason, RT_LENGTH);
  ck_assert_uint_eq (rt_router_active (router), 0);
}
END_TEST

START_TEST (test_chat_rebuild_replays_delivered_tokens)
{
  recorded_action_t *call;
  char first[64];

  request (1, RT_CHAT, 1);
  snprintf (first, sizeof first, "%s", last_action (RT_ACT_CALL, 1)->endpoint);
  reply_to_last_call (1, 0);
  reply_to_last_call (1, 77);
  fail_call (1, EL_MAY_HAVE_RUN, RT_FAIL_BROKEN);
  call = last_action (RT_ACT_CALL, 1);
  ck_assert_uint_eq (call->action.call.attempt, 2);
  ck_assert_uint_eq (call->action.call.step, 1);
  ck_assert_uint_eq (call->action.call.first, 0);
  ck_assert_uint_eq (call->action.nfeed, 1);
  ck_assert_uint_eq (call->action.prompt.len, 2);
  ck_assert_str_ne (call->endpoint, first);
  ck_assert_uint_eq (count_actions (RT_ACT_ABANDON, 1), 2);
  ck_assert_ptr_null (last_action (RT_ACT_END, 1));
}
END_TEST

START_TEST (test_chat_late_answer_is_dropped)
{
  recorded_action_t late_call;

  request (1, RT_CHAT, 1);
  late_call = *last_action (RT_ACT_CALL, 1);
  tick (now + EL_SEC);
  ck_assert_uint_eq (last_action (RT_ACT_CALL, 1)->action.call.attempt, 2);
  reply_to_call (&late_call.action.call, &late_call.action.call, 0, 1);
  ck_assert_uint_eq (rt_router_counts (router)->late, 1);
  ck_assert_uint_eq (count_actions (RT_ACT_CALL, 1), 2);
}
END_TEST

START_TEST (test_chat_crossed_answer_is_rejected)
{
  recorded_action_t call;
  rt_call_id_t echo;

  request (1, RT_CHAT, 1);
  reply_to_last_call (1, 0);
  call = *last_action (RT_ACT_CALL, 1);
  echo = call.action.call;
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
  reply_to_call (&call.action.call, &echo, 1, 5);
  ck_assert_uint_eq (count_actions (RT_ACT_TOKEN, 1), 0);
  ck_assert_uint_eq (rt_router_counts (router)->crossed, 1);
  ck_assert_uint_eq (last_action (RT_ACT_CALL, 1)->action.call.attempt, 2);
}
END_TEST

/* Whatever the order of failures and late answers, exactly the tokens of the
   expected calls are delivered, each once. */
START_TEST (test_chat_any_failure_order_preserves_tokens)
{
  unsigned seed = (unsigned)_i + 1;
  uint64_t expected = 0;
  unsigned step;

  srandom (seed);
  request (1, RT_CHAT, 1);
  for (step = 0; step < 400 && !last_action (RT_ACT_END, 1); step++)
    {
      recorded_action_t call = *last_action (RT_ACT_CALL, 1);
      size_t earlier = (size_t)random () % nactions;

      switch (random () % 5)
        {
        case 0:
          fail_call (1, (el_verdict_t)(random () % 3),
                     (rt_failure_t)(random () % RT_FAIL_REFUSED));
          break;
        case 1:
          if (recorded_actions[earlier].action.kind == RT_ACT_CALL
              && memcmp (&recorded_actions[earlier].action.call,
                         &call.action.call, sizeof call.action.call)
                     != 0)
            reply_to_call (&recorded_actions[earlier].action.call,
                           &recorded_actions[earlier].action.call,
                           recorded_actions[earlier].action.final, 999);
          break;
        case 2:
          tick (now + 100 * EL_MSEC);
          break;
        default:
          reply_to_last_call (1, 100 + call.action.call.step);
        }
    }
  for (step = 0; step < nactions; step++)
    if (recorded_actions[step].action.kind == RT_ACT_TOKEN)
      ck_assert_msg (recorded_actions[step].action.token == 100 + expected++,
                     "seed %u: wrong token %llu", seed,
                     (unsigned long long)recorded_actions[step].action.token);
}
END_TEST

START_TEST (test_chat_waits_for_a_route)
{
  rt_event_t leave = { .kind = RT_EV_LEAVING, .leaving = 1 };

  request (1, RT_CHAT, 1);
  reply_to_last_call (1, 0);
  reply_to_last_call (1, 50);
  leave.target = EL_STR ("a1");
  rt_router_handle_event (router, now, &leave);
  leave.target = EL_STR ("b1");
  rt_router_handle_event (router, now, &leave);
  fail_call (1, EL_MAY_HAVE_RUN, RT_FAIL_BROKEN);
  tick (now + EL_SEC);
  ck_assert_ptr_null (last_action (RT_ACT_END, 1));
  leave.leaving = 0;
  rt_router_handle_event (router, now, &leave);
  tick (now + EL_SEC);
  ck_assert_str_eq (last_action (RT_ACT_CALL, 1)->endpoint, "b1");
  ck_assert_uint_eq (last_action (RT_ACT_CALL, 1)->action.call.step, 1);
}
END_TEST

START_TEST (test_deadline_ends_request_with_verdict)
{
  request (1, RT_CHAT, 1);
  tick (now + DEADLINE);
  ck_assert_int_eq (last_action (RT_ACT_END, 1)->action.reason, RT_DEADLINE);
  ck_assert_int_eq (last_action (RT_ACT_END, 1)->action.verdict,
                    EL_MAY_HAVE_RUN);
  ck_assert_uint_gt (last_action (RT_ACT_END, 1)->action.retry_after_ms, 0);
}
END_TEST

START_TEST (test_call_not_repeatable_is_not_retried)
{
  request (1, RT_CALL, 0);
  fail_call (1, EL_MAY_HAVE_RUN, RT_FAIL_BROKEN);
  ck_assert_uint_eq (count_actions (RT_ACT_CALL, 1), 1);
  ck_assert_int_eq (last_action (RT_ACT_END, 1)->action.verdict,
                    EL_MAY_HAVE_RUN);
  ck_assert_int_eq (last_action (RT_ACT_END, 1)->action.reason,
                    RT_ENDPOINT_FAILED);
}
END_TEST

START_TEST (test_call_not_run_is_retried_elsewhere)
{
  char first[64];

  request (1, RT_CALL, 0);
  snprintf (first, sizeof first, "%s", last_action (RT_ACT_CALL, 1)->endpoint);
  fail_call (1, EL_NOT_RUN, RT_FAIL_CONNECT);
  ck_assert_str_ne (last_action (RT_ACT_CALL, 1)->endpoint, first);
  reply_to_call (&last_action (RT_ACT_CALL, 1)->action.call,
                 &last_action (RT_ACT_CALL, 1)->action.call, 1, 0);
  ck_assert_int_eq (last_action (RT_ACT_END, 1)->action.verdict, EL_RAN);
}
END_TEST

START_TEST (test_not_run_verdict_only_if_nothing_ran)
{
  request (1, RT_CALL, 1);
  fail_call (1, EL_MAY_HAVE_RUN,
             RT_FAIL_BROKEN); /* repeatable, so it is retried */
  fail_call (1, EL_NOT_RUN, RT_FAIL_REFUSED);
  ck_assert_int_eq (last_action (RT_ACT_END, 1)->action.verdict,
                    EL_MAY_HAVE_RUN);
  request (2, RT_CALL, 0);
  fail_call (2, EL_NOT_RUN, RT_FAIL_REFUSED);
  ck_assert_int_eq (last_action (RT_ACT_END, 2)->action.verdict, EL_NOT_RUN);
}
END_TEST

START_TEST (test_retries_stop_when_budget_is_exhausted)
{
  uint64_t stream;
  unsigned retries = 0;

  for (stream = 1; stream <= 200; stream++)
    {
      request (stream, RT_CALL, 1);
      while (!last_action (RT_ACT_END, stream))
        {
          fail_call (stream, EL_NOT_RUN, RT_FAIL_BUSY);
          if (!last_action (RT_ACT_END, stream)
              && last_action (RT_ACT_CALL, stream)->action.call.attempt > 1)
            tick (now + EL_SEC);
        }
      retries += count_actions (RT_ACT_CALL, stream) - 1;
      nactions = 0;
    }
  /* The budget starts with 10 retries, and each request adds a tenth of one.
   */
  ck_assert_uint_le (retries, 10 + 200 / 10);
  ck_assert_uint_ge (retries, 20);
}
END_TEST

START_TEST (test_leaving_endpoint_gets_no_new_work)
{
  uint64_t stream;
  char leaving_endpoint[64];

  request (1, RT_CHAT, 1);
  snprintf (leaving_endpoint, sizeof leaving_endpoint, "%s",
            last_action (RT_ACT_CALL, 1)->endpoint);
  fail_call (1, EL_NOT_RUN, RT_FAIL_LEAVING);
  for (stream = 2; stream < 7; stream++)
    {
      request (stream, RT_CHAT, 1);
      ck_assert_str_ne (last_action (RT_ACT_CALL, stream)->endpoint,
                        leaving_endpoint);
    }
}
END_TEST

START_TEST (test_ejection_never_empties_a_group)
{
  request (1, RT_CALL, 1);
  fail_call (1, EL_NOT_RUN, RT_FAIL_CONNECT);
  fail_call (1, EL_NOT_RUN, RT_FAIL_CONNECT);
  tick (now + 20 * EL_MSEC);
  ck_assert_ptr_null (last_action (RT_ACT_END, 1));
  request (2, RT_CALL, 1);
  ck_assert_ptr_nonnull (last_action (RT_ACT_CALL, 2));
}
END_TEST

/* Both workers are ejected, and one of them has recovered: a request that
   fails at the other is retried at the recovered one. */
START_TEST (test_retry_avoids_the_endpoint_that_just_failed)
{
  uint64_t stream;
  char first[64];

  for (stream = 1; stream <= 20; stream++)
    {
      request (stream, RT_CALL, 1);
      snprintf (first, sizeof first, "%s",
                last_action (RT_ACT_CALL, stream)->endpoint);
      fail_call (stream, EL_NOT_RUN, RT_FAIL_CONNECT);
      if (last_action (RT_ACT_END, stream))
        break; /* the retry budget is exhausted */
      ck_assert_str_ne (last_action (RT_ACT_CALL, stream)->endpoint, first);
      fail_call (stream, EL_NOT_RUN, RT_FAIL_REFUSED);
    }
  ck_assert_uint_gt (stream, 10);
}
END_TEST

START_TEST (test_admission_overload_is_refused_as_not_run)
{
  uint64_t stream;

  teardown ();
  open_router (2, 2);
  apply_config (
      CO_ENDPOINT, "w1",
      "{\"address\":\"10.0.0.9:1\",\"hall\":\"h\",\"role\":\"worker\"}");
  apply_config (CO_SERVICE, "s", "{\"endpoints\":[\"w1\"]}");
  apply_config (
      CO_CUSTOMER, "c",
      "{\"keyHash\":"
      "\"0000000000000000000000000000000000000000000000000000000000000000"
      "\",\"maxInFlight\":100}");
  for (stream = 1; stream <= 5; stream++)
    request (stream, RT_CALL, 1);
  ck_assert_uint_eq (rt_router_active (router), 2);
  ck_assert_uint_eq (rt_router_queued (router), 2);
  ck_assert_int_eq (last_action (RT_ACT_END, 5)->action.reason, RT_QUEUE_FULL);
  ck_assert_int_eq (last_action (RT_ACT_END, 5)->action.verdict, EL_NOT_RUN);
  ck_assert_uint_gt (last_action (RT_ACT_END, 5)->action.retry_after_ms, 0);
  reply_to_call (&last_action (RT_ACT_CALL, 1)->action.call,
                 &last_action (RT_ACT_CALL, 1)->action.call, 1, 0);
  ck_assert_ptr_nonnull (last_action (RT_ACT_CALL, 3));
}
END_TEST

START_TEST (test_customer_limit_is_shared_by_hosts)
{
  rt_event_t hosts = { .kind = RT_EV_HOSTS, .hosts = 3 };
  uint64_t stream;

  rt_router_handle_event (router, now, &hosts);
  for (stream = 1; stream <= 3; stream++)
    request (stream, RT_CHAT, 1);
  ck_assert_ptr_null (last_action (RT_ACT_END, 2));
  ck_assert_int_eq (last_action (RT_ACT_END, 3)->action.reason,
                    RT_CUSTOMER_LIMIT);
}
END_TEST

/* There are more hosts than the customer may have requests: all of them
   together still admit no more. */
START_TEST (test_customer_limit_holds_over_more_hosts_than_requests)
{
  enum
  {
    HOSTS = 12,
    LIMIT = 6
  };
  rt_event_t hosts = { .kind = RT_EV_HOSTS, .hosts = HOSTS };
  size_t admitted = 0;
  uint64_t stream;
  int host;

  for (host = 0; host < HOSTS; host++)
    {
      teardown ();
      setup ();
      rt_router_handle_event (router, now, &hosts);
      for (stream = 1; stream <= LIMIT; stream++)
        request (stream, RT_CHAT, 1);
      admitted += rt_router_active (router) + rt_router_queued (router);
    }
  ck_assert_uint_le (admitted, LIMIT);
}
END_TEST

START_TEST (test_queue_is_fair_by_weight)
{
  unsigned served[2] = { 0, 0 };
  uint64_t stream;
  size_t i;

  teardown ();
  open_router (1, 1000);
  apply_config (
      CO_ENDPOINT, "w1",
      "{\"address\":\"10.0.0.9:1\",\"hall\":\"h\",\"role\":\"worker\"}");
  apply_config (CO_SERVICE, "s", "{\"endpoints\":[\"w1\"]}");
  apply_config (
      CO_CUSTOMER, "big",
      "{\"keyHash\":"
      "\"0000000000000000000000000000000000000000000000000000000000000000"
      "\",\"maxInFlight\":1000,\"weight\":3}");
  apply_config (
      CO_CUSTOMER, "small",
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
      recorded_action_t *call = &recorded_actions[nactions - 1];

      while (call->action.kind != RT_ACT_CALL)
        call--;
      served[call->action.stream % 2 == 0]++;
      reply_to_call (&call->action.call, &call->action.call, 1, 0);
    }
  ck_assert_uint_ge (served[0], 58);
  ck_assert_uint_le (served[0], 62);
  ck_assert_uint_ge (served[1], 18);
}
END_TEST

START_TEST (test_stop_refuses_new_and_finishes_running)
{
  rt_event_t stop = { .kind = RT_EV_STOP };

  request (1, RT_CHAT, 1);
  rt_router_handle_event (router, now, &stop);
  request (2, RT_CHAT, 1);
  ck_assert_int_eq (last_action (RT_ACT_END, 2)->action.reason, RT_STOPPING);
  ck_assert_int_eq (last_action (RT_ACT_END, 2)->action.verdict, EL_NOT_RUN);
  reply_to_last_call (1, 0);
  reply_to_last_call (1, 1);
  ck_assert_uint_eq (count_actions (RT_ACT_TOKEN, 1), 1);
}
END_TEST

START_TEST (test_route_rejects_pipeline_with_missing_layers)
{
  apply_config (CO_DEPLOYMENT, "d2", "{\"model\":\"m2\",\"layers\":5}");
  apply_config (
      CO_PIPELINE, "p2",
      "{\"deployment\":\"d2\",\"stages\":[{\"endpoint\":\"a1\",\"first\":"
      "0,\"last\":3}]}");
  rt_event_t event = { .kind = RT_EV_REQUEST,
                       .stream = 1,
                       .customer = EL_STR ("c"),
                       .target = EL_STR ("m2"),
                       .deadline = now + DEADLINE };

  rt_router_handle_event (router, now, &event);
  ck_assert_uint_eq (count_actions (RT_ACT_CALL, 1), 0);
  ck_assert_int_eq (last_action (RT_ACT_END, 1)->action.verdict, EL_NOT_RUN);
}
END_TEST

START_TEST (test_cancel_reaches_the_engines)
{
  rt_event_t cancel = { .kind = RT_EV_CANCEL, .stream = 1 };

  request (1, RT_CHAT, 1);
  reply_to_last_call (1, 0);
  rt_router_handle_event (router, now, &cancel);
  ck_assert_uint_eq (count_actions (RT_ACT_ABANDON, 1), 2);
  ck_assert_int_eq (last_action (RT_ACT_END, 1)->action.reason, RT_CANCELLED);
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
  ADD (tcase, test_chat_rebuild_replays_delivered_tokens);
  ADD (tcase, test_chat_late_answer_is_dropped);
  ADD_LOOP (tcase, test_chat_crossed_answer_is_rejected, 6);
  ADD_LOOP (tcase, test_chat_any_failure_order_preserves_tokens, 100);
  ADD (tcase, test_chat_waits_for_a_route);
  ADD (tcase, test_deadline_ends_request_with_verdict);
  ADD (tcase, test_call_not_repeatable_is_not_retried);
  ADD (tcase, test_call_not_run_is_retried_elsewhere);
  ADD (tcase, test_not_run_verdict_only_if_nothing_ran);
  ADD (tcase, test_retries_stop_when_budget_is_exhausted);
  ADD (tcase, test_leaving_endpoint_gets_no_new_work);
  ADD (tcase, test_ejection_never_empties_a_group);
  ADD (tcase, test_retry_avoids_the_endpoint_that_just_failed);
  ADD (tcase, test_admission_overload_is_refused_as_not_run);
  ADD (tcase, test_customer_limit_is_shared_by_hosts);
  ADD (tcase, test_customer_limit_holds_over_more_hosts_than_requests);
  ADD (tcase, test_queue_is_fair_by_weight);
  ADD (tcase, test_stop_refuses_new_and_finishes_running);
  ADD (tcase, test_route_rejects_pipeline_with_missing_layers);
  ADD (tcase, test_cancel_reaches_the_engines);
  suite_add_tcase (suite, tcase);
  return suite;
}
