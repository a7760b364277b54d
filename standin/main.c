/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The stand-ins' process: settings, faults, and the roles' table.
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

static const char *const fault_names[SN_FAULTS] = {
  [SN_NONE] = "none",           [SN_LEAVING] = "leaving",
  [SN_BUSY] = "busy",           [SN_DIE_BEFORE] = "die-before",
  [SN_DIE_AFTER] = "die-after", [SN_LOSE] = "lose",
  [SN_HANG] = "hang",           [SN_CROSS] = "cross",
  [SN_DOWN] = "down",           [SN_SLOW] = "slow",
};

#define AT(field) offsetof (sn_settings_t, field)

static const el_setting_t table[] = {
  { "role", EL_SETTING_STRING, AT (role), NULL, 1, 16, 1, "ROLE",
    "platform, engine, service, store or member" },
  { "listen", EL_SETTING_STRING, AT (listen), NULL, 9, 21, 1, "IP:PORT",
    "where to listen" },
  { "step-us", EL_SETTING_U64, AT (step_us), "0", 0, 10000000, 0, "US",
    "time that a stage call takes" },
  { "first", EL_SETTING_U64, AT (layers_first), "0", 0, 4095, 0, "N",
    "first layer held" },
  { "last", EL_SETTING_U64, AT (layers_last), "0", 0, 4095, 0, "N",
    "last layer held" },
  { "generation", EL_SETTING_U64, AT (generation), "1", 1, 1000000, 0, "N",
    "generation of the weights" },
  { "store", EL_SETTING_STRING, AT (store), "", 0, 21, 0, "IP:PORT",
    "the store that a member enters itself in" },
  { "name", EL_SETTING_STRING, AT (name), "m", 1, 32, 0, "NAME",
    "begins a member's id" },
  { "service", EL_SETTING_STRING, AT (service), "s", 1, 32, 0, "NAME",
    "of a member" },
  { "hall", EL_SETTING_STRING, AT (hall), "h", 1, 32, 0, "NAME",
    "of a member" },
  { "card", EL_SETTING_STRING, AT (card), "", 0, 32, 0, "NAME",
    "accelerator of a member that is an engine" },
  { "announce", EL_SETTING_STRING, AT (announce), "", 0, 21, 0, "IP:PORT",
    "the address that a member enters, in place of its own" },
  { "same-id", EL_SETTING_FLAG, AT (same_id), "0", 0, 1, 0, NULL,
    "a member has its name for an id, at each start" },
  { "layers-most", EL_SETTING_U64, AT (layers_most), "4096", 0, 4096, 0, "N",
    "a member that is ordered to hold more ends" },
  { "record", EL_SETTING_STRING, AT (record), "", 0, 255, 0, "FILE",
    "where a member notes each request that it runs" },
};

typedef struct later
{
  sn_process_t *process;
  gt_deferred_t *hold;
  json_t *answer;
  sn_later_fn fn;
  el_timer_t timer;
} later_t;

static void
later_fire (void *arg, el_time_t now)
{
  later_t *later = arg;
  h2o_req_t *req = gt_deferred_finish (later->hold);

  (void)now;
  if (req)
    later->fn (req, later->answer);
  else
    json_decref (later->answer);
  free (later);
}

void
sn_later (sn_process_t *process, h2o_req_t *req, json_t *answer,
          el_time_t wait, sn_later_fn fn)
{
  later_t *later = el_alloc (sizeof *later);

  later->process = process;
  later->hold = gt_deferred_new (req);
  later->answer = answer;
  later->fn = fn;
  later->timer.cb = later_fire;
  later->timer.arg = later;
  net_clock_set (&process->clock, &later->timer, wait);
}

/** The fault that hits this call. */
sn_fault_t
sn_fault_take (sn_process_t *process)
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

/** Break the connection in place of an answer. */
void
sn_lose (h2o_req_t *req)
{
  static h2o_generator_t generator = { NULL, NULL };

  req->res.status = 200;
  req->res.reason = "OK";
  req->res.content_length = 1000;
  h2o_start_response (req, &generator);
  h2o_send (req, NULL, 0, H2O_SEND_STATE_ERROR);
}

void
sn_refuse (const sn_process_t *process, h2o_req_t *req, const char *word)
{
  char text[32];

  net_req_add_header (req, EL_STR ("x-refused"), el_str (word));
  if (process->delay_ms)
    {
      snprintf (text, sizeof text, "%.3f", (double)process->delay_ms / 1000);
      net_req_add_header (req, EL_STR ("retry-after"), el_str (text));
    }
  net_req_reply (req, 503, (el_str_t){ NULL, 0 }, EL_STR (""));
}

/** Answer with JSON; takes over the reference. */
void
sn_json (h2o_req_t *req, int status, json_t *json)
{
  gt_api_reply_json (req, status, json);
}

json_t *
sn_body (const h2o_req_t *req)
{
  el_str_t body = net_req_body (req);

  return json_loadb (body.ptr ? body.ptr : "", body.len, 0, NULL);
}

/* PUT /fault {"fault": NAME, "after": N, "times": N, "delay_ms": N} */
static void
fault_set (sn_process_t *process, h2o_req_t *req)
{
  json_t *json = sn_body (req);
  const char *name = json_string_value (json_object_get (json, "fault"));
  size_t i;

  for (i = 0; name && i < SN_FAULTS; i++)
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
    role_find (process->set.role)->serve (process, req);
}

int
main (int argc, const char **argv)
{
  const el_settings_options_t options
      = { .program = "standin",
          .env_prefix = "STANDIN",
          .usage = "[OPTION...]",
          .table = table,
          .ntable = sizeof table / sizeof *table };
  net_server_options_t server = { .max_body = MAX_BODY };
  sn_process_t process;
  el_err_t err;
  el_settings_result_t result;

  memset (&process, 0, sizeof process);
  result = el_settings_parse (&options, argc, argv, &process.set, NULL, &err);
  if (result == EL_SETTINGS_DONE)
    return EXIT_SUCCESS;
  if (result == EL_SETTINGS_INVALID || !role_find (process.set.role))
    {
      fprintf (stderr, "standin: %s\n",
               result == EL_SETTINGS_INVALID ? err.msg : "no such role");
      return EL_EXIT_USAGE;
    }
  signal (SIGPIPE, SIG_IGN);
  uv_loop_init (&process.loop);
  net_clock_init (&process.clock, &process.loop);
  role_find (process.set.role)->open (&process);
  server.loop = &process.loop;
  server.address = el_str (process.set.listen);
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
