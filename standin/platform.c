/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The platform: a key-value service with compare-and-swap, leases and watches,
 * and the list of live and leaving endpoints.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libgate.h"
#include "standin.h"

#define KEY_MAX 256

typedef struct kv_item
{
  char key[KEY_MAX];
  json_t *value; /* NULL once deleted */
  uint64_t revision;
  uint64_t lease;
  UT_hash_handle hh;
} kv_item_t;

typedef struct kv_lease
{
  uint64_t id;
  el_time_t ttl;
  el_timer_t timer;
  struct platform *platform;
  UT_hash_handle hh;
} kv_lease_t;

typedef struct kv_watch
{
  struct platform *platform;
  gt_deferred_t *deferred;
  char prefix[KEY_MAX];
  uint64_t after;
  el_timer_t timer;
  struct kv_watch *prev;
  struct kv_watch *next;
} kv_watch_t;

typedef struct platform
{
  sn_process_t *process;
  kv_item_t *items;
  uint64_t revision;
  kv_lease_t *leases;
  uint64_t next_lease;
  kv_watch_t *watches;
  json_t *endpoint_states;
  uint64_t calls;
} platform_t;

static void
platform_open (sn_process_t *process)
{
  platform_t *platform = el_alloc (sizeof *platform);

  platform->process = process;
  platform->endpoint_states = json_object ();
  process->state = platform;
}

static json_t *
item_json (const kv_item_t *item)
{
  return json_pack ("{s:s,s:I,s:O?}", "key", item->key, "revision",
                    (json_int_t)item->revision, "value", item->value);
}

/* Returns the items with PREFIX changed after a revision, deleted ones only if
   DELETED is set. */
static json_t *
items_json (platform_t *platform, const char *prefix, uint64_t after,
            int deleted)
{
  json_t *items = json_array ();
  kv_item_t *item;
  kv_item_t *next;

  HASH_ITER (hh, platform->items, item, next)
  if (strncmp (item->key, prefix, strlen (prefix)) == 0
      && item->revision > after && (item->value || deleted))
    json_array_append_new (items, item_json (item));
  return json_pack ("{s:I,s:o}", "revision", (json_int_t)platform->revision,
                    "items", items);
}

static void
watch_end (kv_watch_t *watch)
{
  platform_t *platform = watch->platform;
  h2o_req_t *req = gt_deferred_finish (watch->deferred);

  net_clock_cancel (&platform->process->clock, &watch->timer);
  DL_DELETE (platform->watches, watch);
  if (req)
    sn_reply_json (req, 200,
                   items_json (platform, watch->prefix, watch->after, 1));
  free (watch);
}

static void
watch_expire (void *arg, el_time_t now)
{
  (void)now;
  watch_end (arg);
}

static void
watches_wake (platform_t *platform, const char *key)
{
  kv_watch_t *watch;
  kv_watch_t *next;

  DL_FOREACH_SAFE (platform->watches, watch, next)
  if (strncmp (key, watch->prefix, strlen (watch->prefix)) == 0)
    watch_end (watch);
}

static void
query_text (const h2o_req_t *req, const char *name, char *out, size_t size)
{
  el_str_t value = { NULL, 0 };

  net_req_query (req, el_str (name), &value);
  snprintf (out, size, "%.*s", (int)value.len, value.len ? value.ptr : "");
}

static uint64_t
query_number (const h2o_req_t *req, const char *name)
{
  el_str_t value;
  uint64_t number = 0;

  if (net_req_query (req, el_str (name), &value))
    el_str_to_u64 (value, &number);
  return number;
}

static void
range_serve (platform_t *platform, h2o_req_t *req)
{
  char prefix[KEY_MAX];

  query_text (req, "prefix", prefix, sizeof prefix);
  sn_reply_json (req, 200, items_json (platform, prefix, 0, 0));
}

static void
watch_serve (platform_t *platform, h2o_req_t *req)
{
  kv_watch_t *watch = el_alloc (sizeof *watch);
  json_t *now;

  watch->platform = platform;
  watch->deferred = gt_deferred_new (req);
  watch->after = query_number (req, "after");
  query_text (req, "prefix", watch->prefix, sizeof watch->prefix);
  watch->timer.cb = watch_expire;
  watch->timer.arg = watch;
  DL_APPEND (platform->watches, watch);
  now = items_json (platform, watch->prefix, watch->after, 1);
  if (json_array_size (json_object_get (now, "items")))
    watch_end (watch);
  else
    net_clock_set (&platform->process->clock, &watch->timer,
                   query_number (req, "wait_ms") * EL_MSEC);
  json_decref (now);
}

static kv_item_t *
item_get (platform_t *platform, const char *key)
{
  kv_item_t *item;

  HASH_FIND_STR (platform->items, key, item);
  if (item)
    return item;
  item = el_alloc (sizeof *item);
  snprintf (item->key, sizeof item->key, "%s", key);
  HASH_ADD_STR (platform->items, key, item);
  return item;
}

static void
item_set (platform_t *platform, kv_item_t *item, json_t *value, uint64_t lease)
{
  json_decref (item->value);
  item->value = value ? json_incref (value) : NULL;
  item->revision = ++platform->revision;
  item->lease = lease;
  watches_wake (platform, item->key);
}

static void
reply_write (h2o_req_t *req, json_t *answer)
{
  sn_reply_json (req, json_object_get (answer, "conflict") ? 409 : 200,
                 answer);
}

/* Compare-and-swap: "expected" is the revision to replace, 0 for a new key. */
static void
key_write (platform_t *platform, h2o_req_t *req, const char *key, json_t *body,
           int remove, sn_fault_t fault)
{
  kv_item_t *item = item_get (platform, key);
  uint64_t current = item->value ? item->revision : 0;
  uint64_t expected = remove ? query_number (req, "expected")
                             : (uint64_t)json_integer_value (
                                 json_object_get (body, "expected"));
  json_t *answer;

  if (expected != current)
    answer = json_pack ("{s:b,s:I,s:O?}", "conflict", 1, "revision",
                        (json_int_t)current, "value", item->value);
  else
    {
      item_set (
          platform, item, remove ? NULL : json_object_get (body, "value"),
          (uint64_t)json_integer_value (json_object_get (body, "lease")));
      answer = json_pack ("{s:I}", "revision", (json_int_t)item->revision);
    }
  if (fault == SN_LOSE)
    {
      json_decref (answer);
      sn_drop_connection (req);
    }
  else if (fault == SN_SLOW)
    sn_reply_later (platform->process, req, answer,
                    platform->process->delay_ms * EL_MSEC, reply_write);
  else
    reply_write (req, answer);
}

static void
key_serve (platform_t *platform, h2o_req_t *req, const char *key,
           sn_fault_t fault)
{
  el_str_t method = net_req_method (req);
  json_t *body = sn_parse_body (req);
  kv_item_t *item;

  if (el_str_eq (method, EL_STR ("GET")))
    {
      HASH_FIND_STR (platform->items, key, item);
      if (item && item->value)
        sn_reply_json (req, 200, item_json (item));
      else
        sn_reply_json (req, 404, json_object ());
    }
  else
    key_write (platform, req, key, body, el_str_eq (method, EL_STR ("DELETE")),
               fault);
  json_decref (body);
}

static void
lease_expire (void *arg, el_time_t now)
{
  kv_lease_t *lease = arg;
  platform_t *platform = lease->platform;
  kv_item_t *item;
  kv_item_t *next;

  (void)now;
  HASH_ITER (hh, platform->items, item, next)
  if (item->value && item->lease == lease->id)
    item_set (platform, item, NULL, 0);
  HASH_DEL (platform->leases, lease);
  free (lease);
}

/* POST /v1/lease {"ttl_ms": N} grants a lease, {"lease": ID} renews it. */
static void
lease_serve (platform_t *platform, h2o_req_t *req)
{
  json_t *body = sn_parse_body (req);
  uint64_t id = (uint64_t)json_integer_value (json_object_get (body, "lease"));
  kv_lease_t *lease;

  HASH_FIND (hh, platform->leases, &id, sizeof id, lease);
  if (!lease && !id)
    {
      lease = el_alloc (sizeof *lease);
      lease->id = ++platform->next_lease;
      lease->platform = platform;
      lease->ttl
          = (uint64_t)json_integer_value (json_object_get (body, "ttl_ms"))
            * EL_MSEC;
      lease->timer.cb = lease_expire;
      lease->timer.arg = lease;
      HASH_ADD (hh, platform->leases, id, sizeof lease->id, lease);
    }
  json_decref (body);
  if (!lease)
    {
      sn_reply_json (req, 404, json_object ());
      return;
    }
  net_clock_set (&platform->process->clock, &lease->timer, lease->ttl);
  sn_reply_json (req, 200,
                 json_pack ("{s:I}", "lease", (json_int_t)lease->id));
}

/* GET lists the endpoints; PUT /v1/hosts/NAME {"state": STATE} sets the state
   of one. */
static void
endpoints_serve (platform_t *platform, h2o_req_t *req, el_str_t rest)
{
  json_t *list;
  const char *name;
  json_t *state;
  char key[KEY_MAX];

  if (rest.len > 1)
    {
      json_t *body = sn_parse_body (req);

      snprintf (key, sizeof key, "%.*s", (int)rest.len - 1, rest.ptr + 1);
      json_object_set (platform->endpoint_states, key,
                       json_object_get (body, "state"));
      json_decref (body);
      sn_reply_json (req, 200, json_object ());
      return;
    }
  list = json_array ();
  json_object_foreach (platform->endpoint_states, name, state)
      json_array_append_new (
          list, json_pack ("{s:s,s:O}", "endpoint", name, "state", state));
  sn_reply_json (req, 200, json_pack ("{s:o}", "hosts", list));
}

static void
platform_serve (sn_process_t *process, h2o_req_t *req)
{
  static const el_str_t key_path = EL_STR ("/v1/kv/key/");
  static const el_str_t hosts_path = EL_STR ("/v1/hosts");
  platform_t *platform = process->state;
  el_str_t path = net_req_path (req);
  int write = !el_str_eq (net_req_method (req), EL_STR ("GET"));
  char key[KEY_MAX];
  sn_fault_t fault = SN_NONE;

  if (el_str_eq (path, EL_STR ("/stats")))
    {
      sn_reply_json (req, 200,
                     json_pack ("{s:I,s:I}", "calls",
                                (json_int_t)platform->calls, "revision",
                                (json_int_t)platform->revision));
      return;
    }
  platform->calls++;
  if (write || process->fault == SN_DOWN || process->fault == SN_HANG)
    fault = sn_fault_next (process);
  if (fault == SN_HANG)
    return;
  if (fault == SN_DOWN)
    sn_drop_connection (req);
  else if (el_str_starts_with (path, key_path))
    {
      path = el_str_after (path, key_path.len);
      snprintf (key, sizeof key, "%.*s", (int)path.len, path.ptr);
      key_serve (platform, req, key, fault);
    }
  else if (el_str_eq (path, EL_STR ("/v1/kv/range")))
    range_serve (platform, req);
  else if (el_str_eq (path, EL_STR ("/v1/kv/watch")))
    watch_serve (platform, req);
  else if (el_str_eq (path, EL_STR ("/v1/lease")))
    lease_serve (platform, req);
  else if (el_str_starts_with (path, hosts_path))
    endpoints_serve (platform, req, el_str_after (path, hosts_path.len));
  else
    sn_reply_json (req, 404, json_object ());
}

const sn_role_t sn_platform = { "platform", platform_open, platform_serve };
