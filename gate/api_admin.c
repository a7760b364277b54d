/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * HTTP API for operators: configuration resources, state dump, blocked
 * requests, and metrics.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "libgate.h"

#define CHANGE_ID_DIGITS 16

typedef struct change_op
{
  gt_gate_t *gate;
  gt_deferred_t *deferred;
  co_kind_t kind;
  char name[CO_NAME_MAX + 1];
  char id[CO_NAME_MAX + 1];
  json_t *spec;
} change_op_t;

typedef void (*admin_fn) (gt_gate_t *gate, h2o_req_t *req, co_kind_t kind,
                          el_str_t name);

static void admin_get (gt_gate_t *, h2o_req_t *, co_kind_t, el_str_t);
static void admin_put (gt_gate_t *, h2o_req_t *, co_kind_t, el_str_t);
static void admin_delete (gt_gate_t *, h2o_req_t *, co_kind_t, el_str_t);

static const struct
{
  const char *method;
  admin_fn serve;
} methods[] = {
  { "GET", admin_get },
  { "PUT", admin_put },
  { "DELETE", admin_delete },
};

/* The error reply for each outcome of a change. */
static const gt_refusal_t change_refusals[] = {
  [GT_PUT_CONFLICT] = { .status = 409,
                        .verdict = EL_NOT_RUN,
                        .code = "conflict",
                        .message = "another change came first; get the "
                                   "resource and change that" },
  [GT_PUT_NOT_RUN] = { .status = 503,
                       .verdict = EL_NOT_RUN,
                       .code = "platform-away",
                       .message = "the platform can't be reached; nothing "
                                  "changed",
                       .retry_after_ms = 2000 },
  [GT_PUT_UNKNOWN] = { .status = 504,
                       .verdict = EL_MAY_HAVE_RUN,
                       .code = "unknown",
                       .message = "the platform did not say whether it took "
                                  "the change; send it again with the same "
                                  "changeId",
                       .retry_after_ms = 2000 },
};

static json_t *
resource_json (gt_gate_t *gate, const co_resource_t *res)
{
  size_t in_force = pr_peers_count_in_force (gate->peers, res->revision);

  return json_pack ("{s:s,s:s%,s:I,s:O,s:{s:I,s:I}}", "kind",
                    co_kind_name (res->kind), "name", res->name.ptr,
                    res->name.len, "resourceVersion",
                    (json_int_t)res->revision, "spec", res->json, "status",
                    "inForceOn", (json_int_t)in_force, "hosts",
                    (json_int_t)pr_peers_count_live (gate->peers));
}

typedef struct list_arg
{
  gt_gate_t *gate;
  co_kind_t kind;
  json_t *items;
} list_arg_t;

static void
list_visit (void *arg, const co_resource_t *res)
{
  list_arg_t *list = arg;

  if (res->kind == list->kind)
    json_array_append_new (list->items, resource_json (list->gate, res));
}

static void
admin_get (gt_gate_t *gate, h2o_req_t *req, co_kind_t kind, el_str_t name)
{
  const co_resource_t *res;
  list_arg_t list = { gate, kind, NULL };

  if (!name.len)
    {
      list.items = json_array ();
      co_config_visit (gate->config, list_visit, &list);
      gt_api_reply_json (
          req, 200,
          json_pack ("{s:o,s:I}", "items", list.items, "revision",
                     (json_int_t)co_config_revision (gate->config)));
      return;
    }
  res = co_config_get (gate->config, kind, name);
  if (res)
    gt_api_reply_json (req, 200, resource_json (gate, res));
  else
    gt_api_error (gate, req, 404, "not-found", "no such resource");
}

static void
change_done (void *arg, gt_put_t outcome, uint64_t revision)
{
  change_op_t *op = arg;
  gt_gate_t *gate = op->gate;
  h2o_req_t *req = gt_deferred_finish (op->deferred);
  const co_resource_t *res
      = co_config_get (gate->config, op->kind, el_str (op->name));

  EL_LOG (EL_LOG_INFO, "change", EL_FC ("kind", co_kind_name (op->kind)),
          EL_FC ("name", op->name), EL_FC ("id", op->id),
          EL_FN ("outcome", outcome), EL_FN ("revision", revision));
  if (req && outcome != GT_PUT_ACCEPTED)
    {
      if (outcome == GT_PUT_CONFLICT && res)
        {
          json_t *json = resource_json (gate, res);
          char *text = json_dumps (json, JSON_COMPACT);

          net_req_add_header (req, EL_STR ("x-elmarch-current"),
                              el_str (text));
          free (text);
          json_decref (json);
        }
      net_req_add_header (req, EL_STR ("x-elmarch-change-id"),
                          el_str (op->id));
      gt_caller_refuse (req, &change_refusals[outcome]);
    }
  else if (req)
    {
      json_t *json
          = json_pack ("{s:s,s:s,s:I,s:s}", "kind", co_kind_name (op->kind),
                       "name", op->name, "resourceVersion",
                       (json_int_t)revision, "changeId", op->id);

      if (op->spec)
        json_object_set (json, "spec", op->spec);
      gt_api_reply_json (req, 200, json);
    }
  json_decref (op->spec);
  free (op);
}

/* Sends a change to the platform. Takes over the reference to SPEC; NULL
   deletes the resource. */
static void
admin_change (gt_gate_t *gate, h2o_req_t *req, co_kind_t kind, el_str_t name,
              json_t *spec, el_str_t id, uint64_t expected)
{
  change_op_t *op = el_alloc (sizeof *op);
  gt_change_t change = { .kind = kind, .spec = spec, .expected = expected };

  op->gate = gate;
  op->kind = kind;
  op->spec = spec;
  snprintf (op->name, sizeof op->name, "%.*s", (int)name.len, name.ptr);
  if (id.len)
    snprintf (op->id, sizeof op->id, "%.*s", (int)id.len, id.ptr);
  else
    snprintf (op->id, sizeof op->id, "%.*s-%" PRIu64, CHANGE_ID_DIGITS,
              gate->incarnation_hex, gate->next_change_id++);
  op->deferred = gt_deferred_new (req);
  change.name = el_str (op->name);
  change.id = el_str (op->id);
  gt_platform_put (gate->platform, &change, change_done, op);
}

/* The revision that a change replaces if its request names none. */
static uint64_t
revision_in_force (const gt_gate_t *gate, co_kind_t kind, el_str_t name)
{
  const co_resource_t *res = co_config_get (gate->config, kind, name);

  return res ? res->revision : 0;
}

static void
admin_put (gt_gate_t *gate, h2o_req_t *req, co_kind_t kind, el_str_t name)
{
  el_str_t body = net_req_body (req);
  json_t *json = json_loadb (body.ptr ? body.ptr : "", body.len,
                             JSON_REJECT_DUPLICATES, NULL);
  const char *id = NULL;
  size_t id_len = 0;
  json_int_t expected = -1;
  json_error_t error;
  json_t *spec;
  co_resource_t *res;
  el_err_t err;

  if (json_unpack_ex (json, &error, JSON_STRICT, "{s:o,s?I,s?s%}", "spec",
                      &spec, "resourceVersion", &expected, "changeId", &id,
                      &id_len))
    {
      gt_api_error (gate, req, 400, "bad-json", error.text);
      json_decref (json);
      return;
    }
  res = co_resource_parse (kind, name, spec, 0, &err);
  if (!res || (id_len && !co_name_valid ((el_str_t){ id, id_len })))
    {
      gt_api_error (gate, req, 422, "bad-resource",
                    res ? "changeId: takes a name" : err.msg);
      co_resource_free (res);
      json_decref (json);
      return;
    }
  co_resource_free (res);
  admin_change (gate, req, kind, name, json_incref (spec),
                (el_str_t){ id, id_len },
                expected >= 0 ? (uint64_t)expected
                              : revision_in_force (gate, kind, name));
  json_decref (json);
}

static void
admin_delete (gt_gate_t *gate, h2o_req_t *req, co_kind_t kind, el_str_t name)
{
  uint64_t expected = revision_in_force (gate, kind, name);
  el_str_t text;

  if (net_req_query (req, EL_STR ("resourceVersion"), &text)
      && !el_str_to_u64 (text, &expected))
    {
      gt_api_error (gate, req, 400, "bad-query",
                    "resourceVersion: takes a whole number");
      return;
    }
  if (!expected)
    {
      gt_api_error (gate, req, 404, "not-found", "no such resource");
      return;
    }
  admin_change (gate, req, kind, name, NULL, (el_str_t){ NULL, 0 }, expected);
}

/** Serves /admin/v1/KIND and /admin/v1/KIND/NAME. */
void
gt_api_resources (gt_gate_t *gate, h2o_req_t *req, el_str_t rest)
{
  el_str_t kind_name = el_str_cut (&rest, '/');
  co_kind_t kind;
  size_t i;

  if (!co_kind_parse (kind_name, &kind))
    {
      gt_api_error (gate, req, 404, "not-found", "no such kind");
      return;
    }
  for (i = 0; i < sizeof methods / sizeof *methods; i++)
    if (el_str_eq (net_req_method (req), el_str (methods[i].method))
        && (rest.len || i == 0))
      {
        methods[i].serve (gate, req, kind, rest);
        return;
      }
  gt_api_error (gate, req, 405, "bad-method",
                "takes GET; PUT and DELETE with a name");
}

void
gt_api_dump (gt_gate_t *gate, h2o_req_t *req, el_str_t rest)
{
  (void)rest;
  gt_api_reply_json (req, 200, gt_gate_dump (gate));
}

/** Serves GET /admin/v1/blocked: the requests that are blocked, or suspected
    because they ran on endpoints that crashed. */
void
gt_api_blocked (gt_gate_t *gate, h2o_req_t *req, el_str_t rest)
{
  (void)rest;
  gt_api_reply_json (req, 200,
                     gate->relay_hooks.suspects
                         ? gate->relay_hooks.suspects (gate->relay_hooks.arg)
                         : json_array ());
}

/** Serves GET /admin/v1/load: the load of the hall as this host knows it, and
    the requests that wait, by service and rank. */
void
gt_api_load (gt_gate_t *gate, h2o_req_t *req, el_str_t rest)
{
  (void)rest;
  gt_api_reply_json (req, 200,
                     gate->relay_hooks.load_state
                         ? gate->relay_hooks.load_state (gate->relay_hooks.arg)
                         : json_object ());
}

/** Serves DELETE /admin/v1/blocked/DIGEST: unblocks a request. */
void
gt_api_unblock (gt_gate_t *gate, h2o_req_t *req, el_str_t rest)
{
  rt_digest_t digest;

  if (!rt_digest_parse (rest, &digest))
    gt_api_error (gate, req, 400, "bad-digest", "takes 16 hexadecimal digits");
  else if (!gate->relay_hooks.unblock
           || !gate->relay_hooks.unblock (gate->relay_hooks.arg, digest))
    gt_api_error (gate, req, 404, "not-found", "no such request");
  else
    gt_api_reply_json (req, 200, json_object ());
}

void
gt_api_metrics (gt_gate_t *gate, h2o_req_t *req, el_str_t rest)
{
  el_buf_t text = { NULL, 0, 0 };

  (void)rest;
  gate->gauge_active = rt_router_active (gate->router);
  gate->gauge_queued = rt_router_queued (gate->router);
  gate->gauge_sessions = co_ledger_sessions (gate->ledger);
  gate->gauge_entries = co_ledger_entries (gate->ledger);
  gate->gauge_bytes = co_ledger_bytes (gate->ledger);
  gate->gauge_revision = co_config_revision (gate->config);
  el_metrics_print (&gate->metrics, &text);
  net_req_reply (req, 200, EL_STR ("text/plain; version=0.0.4"),
                 el_buf_str (&text));
  el_buf_free (&text);
}
