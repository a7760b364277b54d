/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Replays recorded traces: the events of a trace go to a router of its own,
 * and what it decides is compared with the actions that were recorded. The
 * files stand in tests/replay; elmarchd --trace writes such files.
 */
#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test.h"

#define REPLAY_DIR "tests/replay"
#define FILES_MAX 64
#define LINE_MAX_BYTES 65536

static char files[FILES_MAX][512];
static int nfiles;

static void
replay_act (void *arg, const rt_action_t *action)
{
  json_t *json = rt_trace_action (action);
  char *text = json_dumps (json, JSON_COMPACT);

  el_buf_printf (arg, "%s\n", text);
  free (text);
  json_decref (json);
}

static void
replay_config (rt_router_t *router, json_t *line)
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
replay_start (json_t *line, el_buf_t *out)
{
  rt_options_t options = { .act = replay_act, .arg = out };

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

/* One line of a trace: an event goes in, an action is expected. */
static rt_router_t *
replay_line (rt_router_t *router, json_t *line, el_buf_t *out,
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
    return replay_start (line, out);
  else if (strcmp (kind, "config") == 0)
    replay_config (router, line);
  else
    {
      ck_assert_msg (!rt_trace_read (line, &now, &event, &err), "%s", err.msg);
      rt_router_handle_event (router, now, &event);
      rt_trace_release (&event);
    }
  return router;
}

/* Line by line, so that a difference is told by its first line. */
static void
actions_same (el_str_t out, el_str_t expected)
{
  el_str_t got;
  el_str_t want;
  unsigned line = 0;

  while (out.len || expected.len)
    {
      got = el_str_cut (&out, '\n');
      want = el_str_cut (&expected, '\n');
      line++;
      ck_assert_msg (el_str_eq (got, want), "action %u: %.*s not %.*s", line,
                     (int)got.len, got.ptr, (int)want.len, want.ptr);
    }
}

START_TEST (test_replay_decides_as_recorded)
{
  FILE *file = fopen (files[_i], "r");
  el_buf_t out = { NULL, 0, 0 };
  el_buf_t expected = { NULL, 0, 0 };
  rt_router_t *router = NULL;
  char *text = malloc (LINE_MAX_BYTES);

  ck_assert_ptr_nonnull (file);
  while (fgets (text, LINE_MAX_BYTES, file))
    {
      json_t *line = json_loads (text, 0, NULL);

      ck_assert_ptr_nonnull (line);
      router = replay_line (router, line, &out, &expected);
      json_decref (line);
    }
  ck_assert_uint_gt (expected.len, 0);
  actions_same (el_buf_str (&out), el_buf_str (&expected));
  rt_router_free (router);
  el_buf_free (&out);
  el_buf_free (&expected);
  free (text);
  fclose (file);
}
END_TEST

static void
files_find (void)
{
  DIR *dir = opendir (REPLAY_DIR);
  struct dirent *entry;

  while (dir && (entry = readdir (dir)))
    if (strstr (entry->d_name, ".trace") && nfiles < FILES_MAX)
      snprintf (files[nfiles++], sizeof files[0], REPLAY_DIR "/%s",
                entry->d_name);
  if (dir)
    closedir (dir);
}

Suite *
replay_suite (void)
{
  Suite *suite = suite_create ("replay");
  TCase *tcase = tcase_create ("replay");

  files_find ();
  ADD_LOOP (tcase, test_replay_decides_as_recorded, nfiles ? nfiles : 1);
  suite_add_tcase (suite, tcase);
  return suite;
}
