/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Replays recorded traces: the events of each trace are fed to a new router,
 * and its actions are compared with the recorded ones. The traces are in
 * tests/replay; elmarchd --trace writes them.
 */
#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test.h"

#define REPLAY_DIR "tests/replay"
#define TRACES_MAX 64
#define LINE_MAX_BYTES 65536

static char trace_files[TRACES_MAX][512];
static int ntraces;

static void
write_action (void *arg, const rt_action_t *action)
{
  json_t *json = rt_trace_action (action);
  char *text = json_dumps (json, JSON_COMPACT);

  el_buf_printf (arg, "%s\n", text);
  free (text);
  json_decref (json);
}

static void
apply_config_line (rt_router_t *router, json_t *line)
{
  co_kind_t kind;
  const char *name = json_string_value (json_object_get (line, "name"));
  json_t *spec = json_object_get (line, "spec");
  char *text = json_dumps (spec, JSON_COMPACT);

  ck_assert (co_kind_parse (
      el_str (json_string_value (json_object_get (line, "kind"))), &kind));
  co_resource_t *res = test_resource (kind, name, text, 1);

  rt_router_apply_config (router, NULL, res);
  co_resource_free (res);
  free (text);
}

static rt_router_t *
create_router (json_t *line, el_buf_t *actual)
{
  rt_options_t options = { .act = write_action, .arg = actual };

  options.seed = (uint64_t)json_integer_value (json_object_get (line, "seed"));
  options.max_active
      = (size_t)json_integer_value (json_object_get (line, "max_active"));
  options.max_queue
      = (size_t)json_integer_value (json_object_get (line, "max_queue"));
  options.call_limit
      = (el_time_t)json_integer_value (json_object_get (line, "call_limit"));
  options.leave_hold
      = (el_time_t)json_integer_value (json_object_get (line, "leave_hold"));
  return rt_router_new (&options);
}

/* Processes a line of a trace: feeds an event to the router, or appends an
   action to those expected. */
static rt_router_t *
replay_line (rt_router_t *router, json_t *line, el_buf_t *actual,
             el_buf_t *expected)
{
  const char *kind = json_string_value (json_object_get (line, "event"));
  rt_event_t event;
  el_time_t now;
  el_err_t err;
  char *text;

  if (!kind)
    {
      text = json_dumps (line, JSON_COMPACT);
      el_buf_printf (expected, "%s\n", text);
      free (text);
    }
  else if (strcmp (kind, "start") == 0)
    return create_router (line, actual);
  else if (strcmp (kind, "config") == 0)
    apply_config_line (router, line);
  else
    {
      ck_assert_msg (!rt_trace_read (line, &now, &event, &err), "%s", err.msg);
      rt_router_handle_event (router, now, &event);
      rt_trace_release (&event);
    }
  return router;
}

/* Compares line by line, so that a failure reports the first difference. */
static void
compare_actions (el_str_t actual, el_str_t expected)
{
  el_str_t actual_line;
  el_str_t expected_line;
  unsigned line = 0;

  while (actual.len || expected.len)
    {
      actual_line = el_str_cut (&actual, '\n');
      expected_line = el_str_cut (&expected, '\n');
      line++;
      ck_assert_msg (el_str_eq (actual_line, expected_line),
                     "action %u: %.*s not %.*s", line, (int)actual_line.len,
                     actual_line.ptr, (int)expected_line.len,
                     expected_line.ptr);
    }
}

START_TEST (test_replay_matches_recorded_actions)
{
  FILE *file = fopen (trace_files[_i], "r");
  el_buf_t actual = { NULL, 0, 0 };
  el_buf_t expected = { NULL, 0, 0 };
  rt_router_t *router = NULL;
  char *text = malloc (LINE_MAX_BYTES);

  ck_assert_ptr_nonnull (file);
  while (fgets (text, LINE_MAX_BYTES, file))
    {
      json_t *line = json_loads (text, 0, NULL);

      ck_assert_ptr_nonnull (line);
      router = replay_line (router, line, &actual, &expected);
      json_decref (line);
    }
  ck_assert_uint_gt (expected.len, 0);
  compare_actions (el_buf_str (&actual), el_buf_str (&expected));
  rt_router_free (router);
  el_buf_free (&actual);
  el_buf_free (&expected);
  free (text);
  fclose (file);
}
END_TEST

static void
find_traces (void)
{
  DIR *dir = opendir (REPLAY_DIR);
  struct dirent *entry;

  while (dir && (entry = readdir (dir)))
    if (strstr (entry->d_name, ".trace") && ntraces < TRACES_MAX)
      snprintf (trace_files[ntraces++], sizeof trace_files[0],
                REPLAY_DIR "/%s", entry->d_name);
  if (dir)
    closedir (dir);
}

Suite *
replay_suite (void)
{
  Suite *suite = suite_create ("replay");
  TCase *tcase = tcase_create ("replay");

  find_traces ();
  ADD_LOOP (tcase, test_replay_matches_recorded_actions,
            ntraces ? ntraces : 1);
  suite_add_tcase (suite, tcase);
  return suite;
}
