/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Main program of the stand-ins: settings, fault injection and the table of
 * roles.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libgate.h"
#include "standin.h"

#define MAX_BODY (16U << 20)

static const sn_role_t *const roles[]
    = { &sn_platform, &sn_engine, &sn_service, &sn_store, &sn_member };

static const char *const fault_names[SN_FAULT_COUNT] = {
  [SN_NONE] = "none",           [SN_LEAVING] = "leaving",
  [SN_BUSY] = "busy",           [SN_DIE_BEFORE] = "die-before",
  [SN_DIE_AFTER] = "die-after", [SN_LOSE] = "lose",
  [SN_HANG] = "hang",           [SN_CROSS] = "cross",
  [SN_DOWN] = "down",           [SN_SLOW] = "slow",
  [SN_UNSEALED] = "unsealed",
};

#define FIELD(field) offsetof (sn_settings_t, field)

static const el_setting_t settings_table[] = {
  { "role", EL_SETTING_STRING, FIELD (role), NULL, 1, 16, 1, "ROLE",
    "platform, engine, service, store or member" },
  { "listen", EL_SETTING_STRING, FIELD (listen), NULL, 9, 21, 1, "IP:PORT",
    "listen address" },
  { "step-us", EL_SETTING_U64, FIELD (step_us), "0", 0, 10000000, 0, "US",
    "duration of a stage call; for a member, time between two events" },
  { "first", EL_SETTING_U64, FIELD (layers_first), "0", 0, 4095, 0, "N",
    "first layer of an engine" },
  { "last", EL_SETTING_U64, FIELD (layers_last), "0", 0, 4095, 0, "N",
    "last layer of an engine" },
  { "generation", EL_SETTING_U64, FIELD (generation), "1", 1, 1000000, 0, "N",
    "generation of an engine's weights" },
  { "store", EL_SETTING_STRING, FIELD (store), "", 0, 21, 0, "IP:PORT",
    "store that a member registers in" },
  { "name", EL_SETTING_STRING, FIELD (name), "m", 1, 32, 0, "NAME",
    "prefix of a member's id" },
  { "service", EL_SETTING_STRING, FIELD (service), "s", 1, 32, 0, "NAME",
    "of a member" },
  { "hall", EL_SETTING_STRING, FIELD (hall), "h", 1, 32, 0, "NAME",
    "of a member" },
  { "card", EL_SETTING_STRING, FIELD (card), "", 0, 32, 0, "NAME",
    "accelerator type of a member that is an engine; empty: plain service" },
  { "announce", EL_SETTING_STRING, FIELD (announce), "", 0, 21, 0, "IP:PORT",
    "address that a member registers instead of its listen address" },
  { "same-id", EL_SETTING_FLAG, FIELD (same_id), "0", 0, 1, 0, NULL,
    "use the name of a member as its id, which then survives restarts" },
  { "layers-most", EL_SETTING_U64, FIELD (max_layers), "4096", 0, 4096, 0, "N",
    "exit if a member is ordered to load more layers" },
  { "record", EL_SETTING_STRING, FIELD (record), "", 0, 255, 0, "FILE",
    "file where a member records its runs and a store its changes" },
};

typedef struct delayed_reply
{
  sn_process_t *process;
  gt_deferred_t *deferred;
  json_t *answer;
  sn_reply_fn send;
  el_timer_t timer;
} delayed_reply_t;

static void
delayed_reply_send (void *arg, el_time_t now)
{
  delayed_reply_t *delayed = arg;
  h2o_req_t *req = gt_deferred_finish (delayed->deferred);

  (void)now;
  if (req)
    delayed->send (req, delayed->answer);
  else
    json_decref (delayed->answer);
  free (delayed);
}

void
sn_reply_later (sn_process_t *process, h2o_req_t *req, json_t *answer,
                el_time_t wait, sn_reply_fn send)
{
  delayed_reply_t *delayed = el_alloc (sizeof *delayed);

  delayed->process = process;
  delayed->deferred = gt_deferred_new (req);
  delayed->answer = answer;
  delayed->send = send;
  delayed->timer.cb = delayed_reply_send;
  delayed->timer.arg = delayed;
  net_clock_set (&process->clock, &delayed->timer, wait);
}

/** Returns the fault that applies to this call, if any. */
sn_fault_t
sn_fault_next (sn_process_t *process)
{
  sn_fault_t fault = process->fault;

  if (fault == SN_NONE)
    return SN_NONE;
  if (process->after)
    {
      process->after--;
      return SN_NONE;
    }
  if (process->times && --process->times == 0)
    process->fault = SN_NONE;
  return fault;
}

/** Drops the connection instead of answering. */
void
sn_drop_connection (h2o_req_t *req)
{
  static h2o_generator_t generator = { NULL, NULL };

  req->res.status = 200;
  req->res.reason = "OK";
  req->res.content_length = 1000;
  h2o_start_response (req, &generator);
  h2o_send (req, NULL, 0, H2O_SEND_STATE_ERROR);
}

void
sn_refuse (const sn_process_t *process, h2o_req_t *req, const char *reason)
{
  char text[32];

  net_req_add_header (req, EL_STR ("x-refused"), el_str (reason));
  if (process->delay_ms)
    {
      snprintf (text, sizeof text, "%.3f", (double)process->delay_ms / 1000);
      net_req_add_header (req, EL_STR ("retry-after"), el_str (text));
    }
  net_req_reply (req, 503, (el_str_t){ NULL, 0 }, EL_STR (""));
}

/** Answers with JSON; takes over the reference. */
void
sn_reply_json (h2o_req_t *req, int status, json_t *json)
{
  gt_api_reply_json (req, status, json);
}

json_t *
sn_parse_body (const h2o_req_t *req)
{
  el_str_t body = net_req_body (req);

  return json_loadb (body.ptr ? body.ptr : "", body.len, 0, NULL);
}

/* PUT /fault {"fault": NAME, "after": N, "times": N, "delay_ms": N} */
static void
fault_set (sn_process_t *process, h2o_req_t *req)
{
  json_t *json = sn_parse_body (req);
  const char *name = json_string_value (json_object_get (json, "fault"));
  size_t i;

  for (i = 0; name && i < SN_FAULT_COUNT; i++)
    if (strcmp (name, fault_names[i]) == 0)
      process->fault = (sn_fault_t)i;
  process->after
      = (uint64_t)json_integer_value (json_object_get (json, "after"));
  process->times
      = (uint64_t)json_integer_value (json_object_get (json, "times"));
  process->delay_ms
      = (uint64_t)json_integer_value (json_object_get (json, "delay_ms"));
  json_decref (json);
  net_req_reply (req, 204, (el_str_t){ NULL, 0 }, EL_STR (""));
}

static const sn_role_t *
role_find (const char *name)
{
  size_t i;

  for (i = 0; i < sizeof roles / sizeof *roles; i++)
    if (strcmp (roles[i]->name, name) == 0)
      return roles[i];
  return NULL;
}

static void
process_handle (void *arg, h2o_req_t *req)
{
  sn_process_t *process = arg;

  if (el_str_eq (net_req_path (req), EL_STR ("/fault")))
    fault_set (process, req);
  else
    role_find (process->settings.role)->serve (process, req);
}

int
main (int argc, const char **argv)
{
  const el_settings_options_t options
      = { .program = "standin",
          .env_prefix = "STANDIN",
          .usage = "[OPTION...]",
          .table = settings_table,
          .ntable = sizeof settings_table / sizeof *settings_table };
  net_server_options_t server = { .max_body = MAX_BODY };
  sn_process_t process;
  el_err_t err;
  el_settings_result_t result;

  memset (&process, 0, sizeof process);
  result = el_settings_parse (&options, argc, argv, &process.settings, NULL,
                              &err);
  if (result == EL_SETTINGS_DONE)
    return EXIT_SUCCESS;
  if (result == EL_SETTINGS_INVALID || !role_find (process.settings.role))
    {
      fprintf (stderr, "standin: %s\n",
               result == EL_SETTINGS_INVALID ? err.msg : "no such role");
      return EL_EXIT_USAGE;
    }
  signal (SIGPIPE, SIG_IGN);
  uv_loop_init (&process.loop);
  net_clock_init (&process.clock, &process.loop);
  role_find (process.settings.role)->open (&process);
  server.loop = &process.loop;
  server.address = el_str (process.settings.listen);
  server.handle = process_handle;
  server.arg = &process;
  process.server = net_server_new (&server, &err);
  if (!process.server)
    {
      fprintf (stderr, "standin: %s\n", err.msg);
      return EXIT_FAILURE;
    }
  uv_run (&process.loop, UV_RUN_DEFAULT);
  return EXIT_SUCCESS;
}
