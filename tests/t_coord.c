/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of session tokens, the request ledger, and the configuration with its
 * schema.
 */
#include <stdlib.h>
#include <string.h>

#include "libpeer.h"
#include "test.h"

#define CLUSTER_KEY EL_STR ("a-key-of-the-hosts")

static co_token_t
sample_token (void)
{
  co_token_t token = { .http = EL_STR ("127.0.0.1:8080"),
                       .peer = EL_STR ("127.0.0.1:8081"),
                       .customer = EL_STR ("parking"),
                       .session = 42 };

  memset (token.home.byte, 7, CO_INCARNATION_BYTES);
  return token;
}

START_TEST (test_token_round_trip)
{
  co_token_t token = sample_token ();
  co_token_t back;
  el_buf_t text = { NULL, 0, 0 };
  el_err_t err;

  co_token_write (&text, &token, CLUSTER_KEY);
  ck_assert_int_eq (
      co_token_read (el_buf_str (&text), CLUSTER_KEY, &back, &err), EL_OK);
  ck_assert (el_str_eq (back.http, token.http));
  ck_assert (el_str_eq (back.customer, token.customer));
  ck_assert_uint_eq (back.session, 42);
  ck_assert (co_incarnation_eq (&back.home, &token.home));
  el_buf_free (&text);
}
END_TEST

START_TEST (test_token_forged_is_denied)
{
  co_token_t token = sample_token ();
  co_token_t back;
  el_buf_t text = { NULL, 0, 0 };
  el_err_t err;
  size_t i;

  co_token_write (&text, &token, CLUSTER_KEY);
  for (i = 0; i < text.len; i++)
    {
      text.ptr[i] ^= 1;
      ck_assert_int_ne (
          co_token_read (el_buf_str (&text), CLUSTER_KEY, &back, &err), EL_OK);
      text.ptr[i] ^= 1;
    }
  for (i = 0; i < text.len; i++)
    ck_assert_int_ne (
        co_token_read ((el_str_t){ text.ptr, i }, CLUSTER_KEY, &back, &err),
        EL_OK);
  ck_assert_int_eq (co_token_read (el_buf_str (&text),
                                   EL_STR ("the-key-of-others"), &back, &err),
                    EL_DENIED);
  el_buf_free (&text);
}
END_TEST

static unsigned nreleased;

static void
count_release (void *arg, void *answer)
{
  (void)arg;
  (void)answer;
  nreleased++;
}

static co_ledger_t *
ledger_new (size_t entries)
{
  co_ledger_options_t options = { .max_sessions = 4,
                                  .max_entries = entries,
                                  .max_bytes = 1000,
                                  .idle = 100,
                                  .release = count_release };

  nreleased = 0;
  return co_ledger_new (&options);
}

/* The key of a session that was opened at the all-zero incarnation, the one
   that these tests run as. */
static const co_session_t *
session_key (uint64_t id)
{
  static co_session_t session;

  session.id = id;
  return &session;
}

static co_led_result_t
begin_request (co_ledger_t *ledger, uint64_t session, uint64_t sequence)
{
  void *answer;

  return co_ledger_begin_request (ledger, 1, session_key (session), sequence,
                                  5, &nreleased, &answer);
}

START_TEST (test_ledger_duplicate_joins_first_run)
{
  co_ledger_t *ledger = ledger_new (4);
  uint64_t session;
  void *answer = NULL;
  int first;

  co_ledger_open_session (ledger, 1, EL_STR ("c"), &session, NULL);
  ck_assert_int_eq (co_ledger_begin_request (ledger, 1, session_key (session),
                                             1, 5, &first, &answer),
                    CO_LED_RUN);
  ck_assert_int_eq (co_ledger_begin_request (ledger, 1, session_key (session),
                                             1, 5, NULL, &answer),
                    CO_LED_JOIN);
  ck_assert_ptr_eq (answer, &first);
  co_ledger_end_request (ledger, 2, session_key (session), 1, EL_RAN, 10);
  ck_assert_int_eq (begin_request (ledger, session, 1), CO_LED_ANSWER);
  ck_assert_int_eq (co_ledger_begin_request (ledger, 1, session_key (session),
                                             1, 6, NULL, &answer),
                    CO_LED_MISMATCH);
  co_ledger_free (ledger);
}
END_TEST

START_TEST (test_ledger_reruns_only_what_did_not_run)
{
  co_ledger_t *ledger = ledger_new (4);
  uint64_t session;

  co_ledger_open_session (ledger, 1, EL_STR ("c"), &session, NULL);
  begin_request (ledger, session, 1);
  co_ledger_end_request (ledger, 2, session_key (session), 1, EL_MAY_HAVE_RUN,
                         10);
  ck_assert_int_eq (begin_request (ledger, session, 1), CO_LED_ANSWER);
  begin_request (ledger, session, 2);
  co_ledger_end_request (ledger, 2, session_key (session), 2, EL_NOT_RUN, 10);
  ck_assert_int_eq (begin_request (ledger, session, 2), CO_LED_RUN);
  co_ledger_free (ledger);
}
END_TEST

START_TEST (test_ledger_evicted_request_never_runs)
{
  co_ledger_t *ledger = ledger_new (2);
  uint64_t session;
  uint64_t i;

  co_ledger_open_session (ledger, 1, EL_STR ("c"), &session, NULL);
  for (i = 1; i <= 5; i++)
    {
      ck_assert_int_eq (begin_request (ledger, session, i), CO_LED_RUN);
      co_ledger_end_request (ledger, 2, session_key (session), i, EL_RAN, 10);
    }
  for (i = 1; i <= 3; i++)
    ck_assert_int_eq (begin_request (ledger, session, i), CO_LED_FORGOTTEN);
  ck_assert_int_eq (begin_request (ledger, session, 5), CO_LED_ANSWER);
  co_ledger_free (ledger);
}
END_TEST

START_TEST (test_ledger_unknown_session_may_have_run)
{
  co_ledger_t *ledger = ledger_new (2);
  uint64_t session;

  ck_assert_int_eq (begin_request (ledger, 99, 1), CO_LED_FORGOTTEN);
  co_ledger_open_session (ledger, 1, EL_STR ("c"), &session, NULL);
  co_ledger_expire (ledger, 200);
  ck_assert_int_eq (begin_request (ledger, session, 1), CO_LED_FORGOTTEN);
  co_ledger_open_session (ledger, 1, EL_STR ("c"), &session, NULL);
  begin_request (ledger, session, 1);
  co_ledger_expire (ledger, 500); /* a running request keeps its session */
  ck_assert_int_eq (begin_request (ledger, session, 1), CO_LED_JOIN);
  ck_assert_int_eq (co_ledger_close_session (ledger, session_key (session)),
                    EL_CONFLICT);
  co_ledger_end_request (ledger, 2, session_key (session), 1, EL_RAN, 10);
  ck_assert_int_eq (co_ledger_close_session (ledger, session_key (session)),
                    EL_OK);
  ck_assert_int_eq (begin_request (ledger, session, 1), CO_LED_FORGOTTEN);
  co_ledger_free (ledger);
}
END_TEST

START_TEST (test_ledger_full_refuses_as_not_run)
{
  co_ledger_t *ledger = ledger_new (2);
  uint64_t session;

  co_ledger_open_session (ledger, 1, EL_STR ("c"), &session, NULL);
  begin_request (ledger, session, 1);
  begin_request (ledger, session, 2);
  ck_assert_int_eq (begin_request (ledger, session, 3), CO_LED_FULL);
  co_ledger_end_request (ledger, 1, session_key (session), 1, EL_RAN, 10);
  ck_assert_int_eq (begin_request (ledger, session, 3), CO_LED_RUN);
  ck_assert_int_eq (begin_request (ledger, session, 2), CO_LED_JOIN);
  co_ledger_free (ledger);
}
END_TEST

/* Stored answers stay within the memory limit. A request that was evicted
   never runs again, and one that is running is never evicted. */
START_TEST (test_ledger_memory_is_bounded)
{
  co_ledger_t *ledger = ledger_new (50);
  uint64_t session;
  uint64_t other;
  uint64_t i;

  co_ledger_open_session (ledger, 1, EL_STR ("c"), &session, NULL);
  co_ledger_open_session (ledger, 1, EL_STR ("c"), &other, NULL);
  begin_request (ledger, session, 1);
  for (i = 2; i <= 40; i++)
    {
      begin_request (ledger, i % 2 ? session : other, i);
      co_ledger_end_request (ledger, 2, session_key (i % 2 ? session : other),
                             i, EL_RAN, 100);
      ck_assert_uint_le (co_ledger_bytes (ledger), 1000);
    }
  ck_assert_int_eq (begin_request (ledger, other, 2), CO_LED_FORGOTTEN);
  ck_assert_int_eq (begin_request (ledger, other, 40), CO_LED_ANSWER);
  ck_assert_int_eq (begin_request (ledger, session, 1), CO_LED_JOIN);
  co_ledger_free (ledger);
}
END_TEST

START_TEST (test_ledger_sealed_accepts_nothing_new)
{
  co_ledger_t *ledger = ledger_new (4);
  uint64_t session;
  uint64_t other;

  co_ledger_open_session (ledger, 1, EL_STR ("c"), &session, NULL);
  begin_request (ledger, session, 1);
  co_ledger_seal (ledger);
  ck_assert_int_eq (begin_request (ledger, session, 1), CO_LED_JOIN);
  ck_assert_int_eq (begin_request (ledger, session, 2), CO_LED_SEALED);
  ck_assert_int_eq (
      co_ledger_open_session (ledger, 1, EL_STR ("c"), &other, NULL),
      EL_LIMIT);
  co_ledger_free (ledger);
}
END_TEST

/* Whatever the order of arrivals, completions and evictions, a sequence number
   runs again only if every earlier attempt is proved not to have run. */
START_TEST (test_ledger_any_order_runs_at_most_once)
{
  unsigned seed = (unsigned)_i + 1;
  co_ledger_t *ledger = ledger_new (1 + seed % 5);
  int may_have_run[16] = { 0 };
  int running[16] = { 0 };
  uint64_t session;
  unsigned step;

  srandom (seed);
  co_ledger_open_session (ledger, 1, EL_STR ("c"), &session, NULL);
  for (step = 0; step < 400; step++)
    {
      uint64_t sequence = (uint64_t)random () % 15 + 1;

      if (random () % 2 == 0 && running[sequence])
        {
          el_verdict_t verdict = (el_verdict_t)(random () % 3);

          co_ledger_end_request (ledger, 1, session_key (session), sequence,
                                 verdict, 10);
          running[sequence] = 0;
          may_have_run[sequence] |= verdict != EL_NOT_RUN;
        }
      else if (begin_request (ledger, session, sequence) == CO_LED_RUN)
        {
          ck_assert_msg (!may_have_run[sequence] && !running[sequence],
                         "seed %u step %u: %llu ran twice", seed, step,
                         (unsigned long long)sequence);
          running[sequence] = 1;
        }
    }
  co_ledger_free (ledger);
}
END_TEST

static unsigned nchanges;

static void
count_config_change (void *arg, const co_resource_t *prev,
                     const co_resource_t *next)
{
  (void)arg;
  ck_assert (prev || next);
  nchanges++;
}

#define CUSTOMER_JSON(hash)                                                   \
  "{\"keyHash\":\"" hash hash hash hash hash hash hash hash "\"}"
#define CUSTOMER_JSON_A CUSTOMER_JSON ("aaaaaaaa")
#define CUSTOMER_JSON_B CUSTOMER_JSON ("bbbbbbbb")

START_TEST (test_config_never_reverts)
{
  co_config_options_t options = { .changed = count_config_change };
  co_config_t *config = co_config_new (&options);
  el_err_t err;

  nchanges = 0;
  ck_assert_int_eq (
      co_config_apply (
          config, test_resource (CO_CUSTOMER, "c", CUSTOMER_JSON_B, 7), &err),
      EL_OK);
  ck_assert_int_eq (
      co_config_apply (
          config, test_resource (CO_CUSTOMER, "c", CUSTOMER_JSON_A, 6), &err),
      EL_CONFLICT);
  ck_assert_int_eq (
      co_config_apply (
          config, test_resource (CO_CUSTOMER, "c", CUSTOMER_JSON_A, 7), &err),
      EL_CONFLICT);
  ck_assert_uint_eq (
      co_config_get (config, CO_CUSTOMER, EL_STR ("c"))->revision, 7);
  ck_assert_int_eq (
      co_config_remove (config, CO_CUSTOMER, EL_STR ("c"), 9, &err), EL_OK);
  ck_assert_int_eq (
      co_config_apply (
          config, test_resource (CO_CUSTOMER, "c", CUSTOMER_JSON_A, 8), &err),
      EL_CONFLICT);
  ck_assert_ptr_null (co_config_get (config, CO_CUSTOMER, EL_STR ("c")));
  ck_assert_uint_eq (nchanges, 2);
  co_config_free (config);
}
END_TEST

/* A host applies its own change before it has seen earlier changes by other
   hosts; its revision must not advance as if it had. */
START_TEST (test_config_own_change_does_not_skip_others)
{
  co_config_options_t options = { .changed = count_config_change };
  co_config_t *config = co_config_new (&options);
  el_err_t err;

  co_config_advance (config, 4);
  co_config_apply (config,
                   test_resource (CO_CUSTOMER, "c", CUSTOMER_JSON_A, 9), &err);
  ck_assert_uint_eq (co_config_revision (config), 4);
  co_config_advance (config, 9);
  co_config_advance (config, 3);
  ck_assert_uint_eq (co_config_revision (config), 9);
  co_config_free (config);
}
END_TEST

static const struct
{
  co_kind_t kind;
  const char *json;
  const char *error;
} invalid_resources[] = {
  { CO_DEPLOYMENT, "{\"model\":\"m\"}", "layers: is required" },
  { CO_DEPLOYMENT, "{\"model\":\"m\",\"layers\":0}", "layers: takes" },
  { CO_DEPLOYMENT, "{\"model\":7,\"layers\":1}", "model: takes a string" },
  { CO_DEPLOYMENT, "{\"model\":\"m\",\"layers\":1,\"x\":1}",
    "x: unknown field" },
  { CO_ENDPOINT, "{\"address\":\"host:1\",\"hall\":\"h\",\"role\":\"engine\"}",
    "address: takes ip:port" },
  { CO_ENDPOINT,
    "{\"address\":\"1.2.3.4:99999\",\"hall\":\"h\",\"role\":\"engine\"}",
    "address: takes ip:port" },
  { CO_ENDPOINT, "{\"address\":\"1.2.3.4:5\",\"hall\":\"h\",\"role\":\"x\"}",
    "role: takes engine or worker" },
  { CO_CUSTOMER, "{\"keyHash\":\"abc\"}", "keyHash: takes 64 digits" },
  { CO_PIPELINE,
    "{\"deployment\":\"d\",\"stages\":[{\"endpoint\":\"e\",\"first\":1,"
    "\"last\":2}]}",
    "stages[0]" },
  { CO_PIPELINE,
    "{\"deployment\":\"d\",\"stages\":[{\"endpoint\":\"e\",\"first\":0,"
    "\"last\":2},{\"endpoint\":\"f\",\"first\":2,\"last\":3}]}",
    "stages[1]" },
  { CO_PIPELINE,
    "{\"deployment\":\"d\",\"stages\":[{\"endpoint\":\"e\",\"first\":0,"
    "\"last\":2},{\"endpoint\":\"f\",\"first\":4,\"last\":5}]}",
    "stages[1]" },
  { CO_SERVICE, "{\"endpoints\":[\"A_B\"]}", "endpoints[0]" },
};

START_TEST (test_schema_error_names_the_field)
{
  json_t *json = json_loads (invalid_resources[_i].json, 0, NULL);
  el_err_t err = { EL_OK, "" };

  ck_assert_ptr_null (co_resource_parse (invalid_resources[_i].kind,
                                         EL_STR ("n"), json, 1, &err));
  ck_assert_msg (strstr (err.msg, invalid_resources[_i].error) != NULL,
                 "'%s' is not in '%s'", invalid_resources[_i].error, err.msg);
  json_decref (json);
}
END_TEST

/* Guards against a configuration of which a part is taken for all of it: a
   reply that cannot have all changes up to a revision states none, as the
   other host would never ask for the rest, or remove it. */
START_TEST (test_config_reply_states_only_what_it_has)
{
  static const uint64_t after[] = { 0, 1 };
  co_config_options_t options = { .changed = count_config_change };
  pr_config_t *config = pr_config_new (co_config_new (&options));
  pr_config_update_t *update = pr_config_update_begin (config);
  json_t *spec = json_loads (CUSTOMER_JSON_A, 0, NULL);
  peer_fetch_res res;
  char name[16];
  unsigned i;

  for (i = 0; i <= PEER_CHANGES_MAX; i++)
    {
      snprintf (name, sizeof name, "c%u", i);
      pr_config_update_apply (update, CO_CUSTOMER, el_str (name), 2 + i, spec);
      if (i + 1 < PEER_CHANGES_MAX)
        continue;
      pr_config_update_finish (update, 2 + i, 0);
      peer_fetch_fill (config, after[_i], &res);
      ck_assert_int_eq (res.ready, i + 1 == PEER_CHANGES_MAX);
      ck_assert_uint_eq (res.changes.changes_len,
                         res.ready ? PEER_CHANGES_MAX : 0);
      peer_fetch_free (&res);
      update = pr_config_update_begin (config);
    }
  pr_config_update_free (update);
  json_decref (spec);
  co_config_free (config->config);
  free (config);
}
END_TEST

Suite *
coord_suite (void)
{
  Suite *suite = suite_create ("coord");
  TCase *tcase = tcase_create ("coord");

  ADD (tcase, test_token_round_trip);
  ADD (tcase, test_token_forged_is_denied);
  ADD (tcase, test_ledger_duplicate_joins_first_run);
  ADD (tcase, test_ledger_reruns_only_what_did_not_run);
  ADD (tcase, test_ledger_evicted_request_never_runs);
  ADD (tcase, test_ledger_unknown_session_may_have_run);
  ADD (tcase, test_ledger_full_refuses_as_not_run);
  ADD (tcase, test_ledger_memory_is_bounded);
  ADD (tcase, test_ledger_sealed_accepts_nothing_new);
  ADD_LOOP (tcase, test_ledger_any_order_runs_at_most_once, 50);
  ADD (tcase, test_config_never_reverts);
  ADD (tcase, test_config_own_change_does_not_skip_others);
  ADD_LOOP (tcase, test_config_reply_states_only_what_it_has, 2);
  ADD_LOOP (tcase, test_schema_error_names_the_field,
            sizeof invalid_resources / sizeof *invalid_resources);
  suite_add_tcase (suite, tcase);
  return suite;
}
