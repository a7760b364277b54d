/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * A plain service whose calls are not idempotent. POST /pay {"id": ID} counts
 * a run for the id at each call, GET /runs returns the counts of all ids, GET
 * /big?bytes=N returns a long answer.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libgate.h"
#include "standin.h"

#define ID_MAX 64

typedef struct run
{
  char id[ID_MAX];
  uint64_t count;
  UT_hash_handle hh;
} run_t;

static void
service_open (sn_process_t *process)
{
  process->state = NULL;
}

static run_t *
run_get (sn_process_t *process, const char *id)
{
  run_t *runs = process->state;
  run_t *run;

  HASH_FIND_STR (runs, id, run);
  if (run)
    return run;
  run = el_alloc (sizeof *run);
  snprintf (run->id, sizeof run->id, "%s", id);
  HASH_ADD_STR (runs, id, run);
  process->state = runs;
  return run;
}

static void
pay_answer (h2o_req_t *req, json_t *answer)
{
  sn_reply_json (req, 200, answer);
}

static void
pay_serve (sn_process_t *process, h2o_req_t *req, sn_fault_t fault)
{
  json_t *json = sn_parse_body (req);
  const char *id = json_string_value (json_object_get (json, "id"));
  el_str_t customer = net_req_header (req, "x-elmarch-customer");
  run_t *run;
  json_t *answer;

  if (!id)
    {
      json_decref (json);
      sn_reply_json (req, 400, json_pack ("{s:s}", "error", "id is required"));
      return;
    }
  run = run_get (process, id);
  run->count++;
  answer
      = json_pack ("{s:s,s:I,s:s%}", "paid", id, "run", (json_int_t)run->count,
                   "customer", customer.len ? customer.ptr : "", customer.len);
  json_decref (json);
  if (fault == SN_DIE_AFTER)
    exit (EXIT_FAILURE);
  if (fault == SN_LOSE || fault == SN_HANG)
    {
      json_decref (answer);
      if (fault == SN_LOSE)
        sn_drop_connection (req);
    }
  else if (fault == SN_SLOW)
    sn_reply_later (process, req, answer, process->delay_ms * EL_MSEC,
                    pay_answer);
  else
    pay_answer (req, answer);
}

static void
runs_serve (sn_process_t *process, h2o_req_t *req)
{
  run_t *runs = process->state;
  run_t *run;
  run_t *next;
  json_t *all = json_object ();

  HASH_ITER (hh, runs, run, next)
  json_object_set_new (all, run->id, json_integer ((json_int_t)run->count));
  sn_reply_json (req, 200, all);
}

/* GET /big?bytes=N answers with N bytes. */
static void
big_serve (h2o_req_t *req)
{
  el_buf_t body = { NULL, 0, 0 };
  el_str_t text = EL_STR ("0");
  uint64_t bytes = 0;

  net_req_query (req, EL_STR ("bytes"), &text);
  el_str_to_u64 (text, &bytes);
  while (body.len < bytes)
    el_buf_add (&body, EL_STR ("0123456789abcdef"));
  body.len = bytes;
  net_req_reply (req, 200, EL_STR ("text/plain"), el_buf_str (&body));
  el_buf_free (&body);
}

static void
service_serve (sn_process_t *process, h2o_req_t *req)
{
  sn_fault_t fault;

  if (el_str_eq (net_req_path (req), EL_STR ("/runs")))
    {
      runs_serve (process, req);
      return;
    }
  if (el_str_eq (net_req_path (req), EL_STR ("/big")))
    {
      big_serve (req);
      return;
    }
  fault = sn_fault_next (process);
  if (fault == SN_DIE_BEFORE)
    exit (EXIT_FAILURE);
  if (fault == SN_LEAVING || fault == SN_BUSY)
    sn_refuse (process, req, fault == SN_LEAVING ? "leaving" : "busy");
  else if (fault == SN_DOWN)
    sn_reply_json (req, 500, json_object ());
  else
    pay_serve (process, req, fault);
}

const sn_role_t sn_service = { "service", service_open, service_serve };
