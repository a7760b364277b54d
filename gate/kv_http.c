/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The API of the platform's key-value service and host list: JSON over HTTP.
 * Another API of the platform would need changes in this file only.
 */
#include <inttypes.h>

#include "libkv.h"

#define PREFIX "config/"

static void kv_range (el_buf_t *path);
static void kv_watch (el_buf_t *path, uint64_t after, uint64_t wait_ms);
static void kv_put (const gt_change_t *change, el_buf_t *path, el_buf_t *body);
static void kv_remove (const gt_change_t *change, el_buf_t *path);
static void kv_hosts (el_buf_t *path);
static int kv_read_list (const net_result_t *result, gt_kv_list_t *out);
static int kv_read_put (const net_result_t *result, gt_kv_put_t *out);
static int kv_read_hosts (const net_result_t *result, json_t **out);
static int kv_read_item (json_t *item, gt_kv_item_t *out);

const gt_kv_dialect_t gt_kv_http = {
  .range = kv_range,
  .watch = kv_watch,
  .put = kv_put,
  .remove = kv_remove,
  .hosts = kv_hosts,
  .read_list = kv_read_list,
  .read_item = kv_read_item,
  .read_put = kv_read_put,
  .read_hosts = kv_read_hosts,
};

static void
kv_range (el_buf_t *path)
{
  el_buf_printf (path, "/v1/kv/range?prefix=" PREFIX);
}

static void
kv_watch (el_buf_t *path, uint64_t after, uint64_t wait_ms)
{
  el_buf_printf (path,
                 "/v1/kv/watch?prefix=" PREFIX "&after=%" PRIu64
                 "&wait_ms=%" PRIu64,
                 after, wait_ms);
}

static void
kv_key (const gt_change_t *change, el_buf_t *path)
{
  el_buf_printf (path, "/v1/kv/key/" PREFIX "%s/%.*s",
                 co_kind_name (change->kind), (int)change->name.len,
                 change->name.ptr);
}

static void
kv_put (const gt_change_t *change, el_buf_t *path, el_buf_t *body)
{
  json_t *json
      = json_pack ("{s:{s:O,s:s%},s:I}", "value", "spec", change->spec,
                   "changeId", change->id.ptr, change->id.len, "expected",
                   (json_int_t)change->expected);
  char *text = json_dumps (json, JSON_COMPACT);

  kv_key (change, path);
  el_buf_add (body, el_str (text));
  free (text);
  json_decref (json);
}

static void
kv_remove (const gt_change_t *change, el_buf_t *path)
{
  kv_key (change, path);
  el_buf_printf (path, "?expected=%" PRIu64, change->expected);
}

static void
kv_hosts (el_buf_t *path)
{
  el_buf_printf (path, "/v1/hosts");
}

static json_t *
body_json (const net_result_t *result)
{
  return json_loadb (result->body.ptr ? result->body.ptr : "",
                     result->body.len, 0, NULL);
}

/* The items are all of a range or the changed ones of a watch. */
static int
kv_read_list (const net_result_t *result, gt_kv_list_t *out)
{
  json_t *revision;

  out->json = body_json (result);
  revision = json_object_get (out->json, "revision");
  out->items = json_object_get (out->json, "items");
  out->compacted = result->status == 410;
  out->revision = (uint64_t)json_integer_value (revision);
  return result->status == 200 && json_is_integer (revision)
         && json_is_array (out->items);
}

static int
kv_read_item (json_t *item, gt_kv_item_t *out)
{
  el_str_t rest = el_str (json_string_value (json_object_get (item, "key")));
  json_t *value = json_object_get (item, "value");
  json_t *revision = json_object_get (item, "revision");

  if (!json_is_integer (revision)
      || !el_str_starts_with (rest, EL_STR (PREFIX)))
    return 0;
  rest = el_str_after (rest, sizeof PREFIX - 1);
  if (!co_kind_parse (el_str_cut (&rest, '/'), &out->kind))
    return 0;
  out->name = rest;
  out->revision = (uint64_t)json_integer_value (revision);
  out->spec = json_object_get (value, "spec");
  return json_is_object (value) || !value || json_is_null (value);
}

static int
kv_read_put (const net_result_t *result, gt_kv_put_t *out)
{
  json_t *json = body_json (result);
  json_t *revision = json_object_get (json, "revision");
  json_t *value = json_object_get (json, "value");
  int read = (result->status == 200 || result->status == 409)
             && json_is_integer (revision);

  out->conflict = result->status == 409;
  out->revision = (uint64_t)json_integer_value (revision);
  out->change_id[0] = '\0';
  if (read && json_is_string (json_object_get (value, "changeId")))
    snprintf (out->change_id, sizeof out->change_id, "%s",
              json_string_value (json_object_get (value, "changeId")));
  json_decref (json);
  return read;
}

static int
kv_read_hosts (const net_result_t *result, json_t **out)
{
  json_t *json = body_json (result);
  json_t *hosts = json_object_get (json, "hosts");

  *out = json_is_array (hosts) ? json_incref (hosts) : NULL;
  json_decref (json);
  return result->status == 200 && *out;
}
