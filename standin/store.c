/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The users' platform's store, as far as the tests need it: range reads,
 * watches, leases and conditional writes. PUT /test/KEY writes a key as an
 * operator or an endpoint would, DELETE /test/KEY removes it. POST
 * /test/forget compacts the history, POST /test/mute {"on": BOOL} leaves calls
 * unanswered. POST /test/copy takes a snapshot and POST /test/restore
 * {"again_ms": N} rolls the store back to it: keys that hosts wrote and leases
 * granted since then are lost, keys of operators and endpoints are written
 * again after N ms, and revisions and lease ids are reused. With --record
 * acknowledged changes are appended to a file, which is replayed at the next
 * start.
 */
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <openssl/evp.h>

#include "libgate.h"
#include "standin.h"

#define TEST_PREFIX EL_STR ("/test/")
#define ERA_HEADER EL_STR ("store-era")
#define LEASES_MAX 256

typedef struct store_item
{
  char *key;
  char *value; /* base64; NULL once deleted */
  uint64_t revision;
  uint64_t lease;
  UT_hash_handle hh;
} store_item_t;

typedef struct store_watch
{
  struct store *store;
  gt_deferred_t *deferred;
  char *prefix;
  uint64_t since;
  el_timer_t timer;
  struct store_watch *prev;
  struct store_watch *next;
} store_watch_t;

typedef struct store_lease
{
  uint64_t id; /* 0 once expired */
  el_time_t ttl;
  el_timer_t timer;
  struct store *store;
} store_lease_t;

typedef struct store
{
  sn_process_t *process;
  store_item_t *items;
  store_watch_t *watches;
  store_lease_t leases[LEASES_MAX];
  uint64_t next_lease;
  uint64_t revision;
  uint64_t compacted_revision; /* history up to this revision is discarded */
  uint64_t era;                /* number of restores from a snapshot */
  store_item_t *snapshot;
  uint64_t snapshot_revision;
  uint64_t snapshot_lease;      /* highest lease id at the snapshot */
  store_item_t *before_restore; /* content before the restore */
  el_timer_t rewrite_timer;     /* operators and endpoints write again */
  int mute;
  int record_fd; /* file descriptor; -1: none */
} store_t;

#define RECORD_LINE_MAX 65536

static json_t *
item_json (const store_item_t *item)
{
  if (!item->value)
    return json_pack ("{s:s,s:I,s:b}", "Key", item->key, "Revision",
                      (json_int_t)item->revision, "gone", 1);
  return json_pack ("{s:s,s:s,s:I,s:I}", "Key", item->key, "Value",
                    item->value, "Revision", (json_int_t)item->revision,
                    "lease", (json_int_t)item->lease);
}

static json_t *
items_json (store_t *store, const char *prefix, uint64_t since, int gone)
{
  json_t *list = json_array ();
  store_item_t *item;
  store_item_t *next;

  HASH_ITER (hh, store->items, item, next)
  if (strncmp (item->key, prefix, strlen (prefix)) == 0
      && item->revision > since && (item->value || gone))
    json_array_append_new (list, item_json (item));
  return list;
}

static void
watch_end (store_watch_t *watch)
{
  store_t *store = watch->store;
  h2o_req_t *req = gt_deferred_finish (watch->deferred);

  net_clock_cancel (&store->process->clock, &watch->timer);
  DL_DELETE (store->watches, watch);
  if (req)
    sn_reply_json (
        req, 200,
        json_pack ("{s:o,s:I}", "events",
                   items_json (store, watch->prefix, watch->since, 1), "at",
                   (json_int_t)store->revision));
  free (watch->prefix);
  free (watch);
}

static void
watch_expire (void *arg, el_time_t now)
{
  (void)now;
  watch_end (arg);
}

static store_item_t *
item_get (store_t *store, const char *key)
{
  store_item_t *item;

  HASH_FIND_STR (store->items, key, item);
  if (item)
    return item;
  item = el_alloc (sizeof *item);
  item->key = strdup (key);
  HASH_ADD_KEYPTR (hh, store->items, item->key, strlen (key), item);
  return item;
}

static void lease_expire (void *arg, el_time_t now);

static store_lease_t *
lease_find (store_t *store, uint64_t id)
{
  store_lease_t *lease = &store->leases[id % LEASES_MAX];

  return id && lease->id == id ? lease : NULL;
}

static void
lease_start (store_t *store, uint64_t id, el_time_t ttl)
{
  store_lease_t *lease = &store->leases[id % LEASES_MAX];

  *lease = (store_lease_t){ .id = id, .ttl = ttl, .store = store };
  lease->timer.cb = lease_expire;
  lease->timer.arg = lease;
  net_clock_set (&store->process->clock, &lease->timer, ttl);
}

/* Appends "KEY LEASE TTL VALUE", without VALUE for a deleted key. Called
   before the change is acknowledged. */
static void
item_write_record (const store_t *store, const char *key, const char *value,
                   uint64_t lease)
{
  el_buf_t line = { NULL, 0, 0 };

  if (store->record_fd < 0)
    return;
  el_buf_printf (&line, "%s %llu %llu %s\n", key, (unsigned long long)lease,
                 (unsigned long long)store->leases[lease % LEASES_MAX].ttl,
                 value ? value : "");
  if (write (store->record_fd, line.ptr, line.len) != (ssize_t)line.len)
    fprintf (stderr, "standin: cannot record a change\n");
  el_buf_free (&line);
}

/* Writes a key, or deletes it if VALUE is NULL, and answers the watches on it.
 */
static void
item_set (store_t *store, const char *key, const char *value, uint64_t lease)
{
  store_item_t *item = item_get (store, key);
  store_watch_t *watch;
  store_watch_t *next;

  item_write_record (store, key, value, lease);
  free (item->value);
  item->value = value ? strdup (value) : NULL;
  item->revision = ++store->revision;
  item->lease = lease;
  DL_FOREACH_SAFE (store->watches, watch, next)
  if (strncmp (key, watch->prefix, strlen (watch->prefix)) == 0)
    watch_end (watch);
}

/* Replays the record file. Leases start again with their full TTL. */
static void
store_replay (store_t *store, const char *path)
{
  char *line = el_alloc (RECORD_LINE_MAX);
  FILE *file = fopen (path, "r");
  unsigned long long lease;
  unsigned long long ttl;
  char *value;
  int offset;

  while (file && fgets (line, RECORD_LINE_MAX, file))
    {
      line[strcspn (line, "\n")] = '\0';
      value = strchr (line, ' ');
      if (!value)
        continue;
      *value++ = '\0';
      if (sscanf (value, "%llu %llu %n", &lease, &ttl, &offset) != 2)
        continue;
      if (lease && !lease_find (store, lease))
        lease_start (store, lease, ttl);
      if (lease > store->next_lease)
        store->next_lease = lease;
      item_set (store, line, value[offset] ? value + offset : NULL, lease);
    }
  if (file)
    fclose (file);
  free (line);
}

static void
store_open (sn_process_t *process)
{
  store_t *store = el_alloc (sizeof *store);
  const char *path = process->settings.record;

  store->process = process;
  store->revision = 1;
  store->record_fd = -1;
  if (path[0])
    {
      store_replay (store, path);
      store->record_fd
          = open (path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
    }
  process->state = store;
}

static void
lease_expire (void *arg, el_time_t now)
{
  store_lease_t *lease = arg;
  store_t *store = lease->store;
  store_item_t *item;
  store_item_t *next;
  uint64_t id = lease->id;

  (void)now;
  lease->id = 0;
  HASH_ITER (hh, store->items, item, next)
  if (item->value && item->lease == id)
    item_set (store, item->key, NULL, 0);
}

static char *
query_text (const h2o_req_t *req, const char *name)
{
  el_str_t value = { NULL, 0 };

  net_req_query (req, el_str (name), &value);
  return strndup (value.ptr ? value.ptr : "", value.len);
}

static void
serve_range (store_t *store, h2o_req_t *req)
{
  char *prefix = query_text (req, "PathPrefix");

  sn_reply_json (req, 200,
                 json_pack ("{s:o,s:b,s:I}", "Items",
                            items_json (store, prefix, 0, 0), "more", 0, "at",
                            (json_int_t)store->revision));
  free (prefix);
}

static void
serve_watch (store_t *store, h2o_req_t *req)
{
  char *since = query_text (req, "SinceRev");
  char *wait = query_text (req, "WaitMs");
  store_watch_t *watch = el_alloc (sizeof *watch);
  json_t *list;

  watch->store = store;
  watch->prefix = query_text (req, "PathPrefix");
  watch->since = strtoull (since, NULL, 10);
  watch->deferred = gt_deferred_new (req);
  watch->timer.cb = watch_expire;
  watch->timer.arg = watch;
  DL_APPEND (store->watches, watch);
  net_clock_set (&store->process->clock, &watch->timer,
                 strtoull (wait, NULL, 10) * EL_MSEC);
  free (since);
  free (wait);
  if (watch->since < store->compacted_revision
      || watch->since > store->revision)
    {
      req = gt_deferred_finish (watch->deferred);
      net_clock_cancel (&store->process->clock, &watch->timer);
      DL_DELETE (store->watches, watch);
      free (watch->prefix);
      free (watch);
      net_req_reply (req, 410, EL_STR (""), EL_STR (""));
      return;
    }
  list = items_json (store, watch->prefix, watch->since, 1);
  if (json_array_size (list))
    watch_end (watch);
  json_decref (list);
}

static void
serve_lease (store_t *store, h2o_req_t *req)
{
  json_t *json = sn_parse_body (req);
  uint64_t id = ++store->next_lease;
  json_int_t ttl = json_integer_value (json_object_get (json, "ttl_ms"));

  lease_start (store, id, (el_time_t)ttl * EL_MSEC);
  sn_reply_json (
      req, 200,
      json_pack ("{s:I,s:I}", "lease", (json_int_t)id, "ttl_ms", ttl));
  json_decref (json);
}

static void
serve_lease_end (store_t *store, h2o_req_t *req)
{
  el_str_t path = net_req_path (req);
  uint64_t id = 0;
  store_lease_t *lease;

  el_str_to_u64 (el_str_after (path, sizeof "/elmarch/kv-lease-end/" - 1),
                 &id);
  lease = lease_find (store, id);
  if (lease)
    {
      net_clock_cancel (&store->process->clock, &lease->timer);
      lease_expire (lease, 0);
    }
  net_req_reply (req, lease ? 200 : 404, EL_STR (""), EL_STR ("{}"));
}

static void
serve_lease_renew (store_t *store, h2o_req_t *req)
{
  el_str_t path = net_req_path (req);
  uint64_t id = 0;
  store_lease_t *lease;

  el_str_to_u64 (el_str_after (path, sizeof "/elmarch/kv-keep/" - 1), &id);
  lease = lease_find (store, id);
  if (lease)
    net_clock_set (&store->process->clock, &lease->timer, lease->ttl);
  net_req_reply (req, lease ? 200 : 404, EL_STR (""), EL_STR ("{}"));
}

/* Whether each key of the condition has the expected revision; 0 stands for a
   key that does not exist. */
static int
txn_condition_met (store_t *store, json_t *rows)
{
  store_item_t *item;
  json_t *row;
  size_t i;

  json_array_foreach (rows, i, row)
  {
    const char *key = json_string_value (json_object_get (row, "Key"));
    json_int_t expected
        = json_integer_value (json_object_get (row, "Revision"));

    HASH_FIND_STR (store->items, key, item);
    if ((item && item->value ? (json_int_t)item->revision : 0) != expected)
      return 0;
  }
  return 1;
}

static void
serve_txn (store_t *store, h2o_req_t *req)
{
  json_t *json = sn_parse_body (req);
  json_t *row;
  size_t i;

  if (!txn_condition_met (store, json_object_get (json, "ExpectedRev")))
    {
      net_req_reply (req, 412, EL_STR (""), EL_STR ("{}"));
      json_decref (json);
      return;
    }
  json_array_foreach (json_object_get (json, "put"), i, row)
  {
    item_set (store, json_string_value (json_object_get (row, "Key")),
              json_string_value (json_object_get (row, "Value")),
              (uint64_t)json_integer_value (json_object_get (row, "lease")));
  }
  sn_reply_json (req, 200,
                 json_pack ("{s:I}", "Revision", (json_int_t)store->revision));
  json_decref (json);
}

static void
serve_put (store_t *store, h2o_req_t *req, const char *key)
{
  el_str_t body = net_req_body (req);
  unsigned char *text = el_alloc (body.len / 3 * 4 + 5);

  EVP_EncodeBlock (text, (const unsigned char *)(body.ptr ? body.ptr : ""),
                   (int)body.len);
  item_set (store, key, (const char *)text, 0);
  free (text);
  net_req_reply (req, 200, EL_STR (""), EL_STR ("{}"));
}

static void
items_free (store_item_t **items)
{
  store_item_t *item;
  store_item_t *next;

  HASH_ITER (hh, *items, item, next)
  {
    HASH_DEL (*items, item);
    free (item->key);
    free (item->value);
    free (item);
  }
}

static void
items_copy (const store_item_t *from, store_item_t **to)
{
  const store_item_t *item;
  store_item_t *copy;

  for (item = from; item; item = item->hh.next)
    {
      copy = el_alloc (sizeof *copy);
      copy->key = strdup (item->key);
      copy->value = item->value ? strdup (item->value) : NULL;
      copy->revision = item->revision;
      copy->lease = item->lease;
      HASH_ADD_KEYPTR (hh, *to, copy->key, strlen (copy->key), copy);
    }
}

static void
store_take_snapshot (store_t *store)
{
  items_free (&store->snapshot);
  items_copy (store->items, &store->snapshot);
  store->snapshot_revision = store->revision;
  store->snapshot_lease = store->next_lease;
}

/* Whether operators or endpoints write ITEM, rather than hosts. */
static int
item_is_external (const store_item_t *item)
{
  return strncmp (item->key, "op/", 3) == 0
         || strncmp (item->key, "servers/", 8) == 0;
}

static int
item_same_value (const store_item_t *a, const store_item_t *b)
{
  if (!a->value || !b || !b->value)
    return !a->value && (!b || !b->value);
  return strcmp (a->value, b->value) == 0;
}

/* Drops leases granted since the snapshot; their ids are granted again. */
static void
leases_roll_back (store_t *store)
{
  size_t i;

  for (i = 0; i < LEASES_MAX; i++)
    if (store->leases[i].id > store->snapshot_lease)
      {
        net_clock_cancel (&store->process->clock, &store->leases[i].timer);
        store->leases[i].id = 0;
      }
  store->next_lease = store->snapshot_lease;
}

/* Writes keys of operators and endpoints again that the restore reverted,
   except for those written since then. */
static void
rewrite_lost (void *arg, el_time_t due)
{
  store_t *store = arg;
  const store_item_t *item;
  store_item_t *now;

  (void)due;
  for (item = store->before_restore; item; item = item->hh.next)
    {
      HASH_FIND_STR (store->items, item->key, now);
      if (item_is_external (item) && !item_same_value (item, now)
          && (!now || now->revision <= store->snapshot_revision))
        item_set (store, item->key, item->value, 0);
    }
  items_free (&store->before_restore);
}

static void
store_restore (store_t *store, el_time_t rewrite_after)
{
  h2o_req_t *req;

  while (store->watches)
    {
      store_watch_t *watch = store->watches;

      net_clock_cancel (&store->process->clock, &watch->timer);
      DL_DELETE (store->watches, watch);
      req = gt_deferred_finish (watch->deferred);
      if (req)
        net_req_reply (req, 503, EL_STR (""), EL_STR (""));
      free (watch->prefix);
      free (watch);
    }
  items_free (&store->before_restore);
  store->before_restore = store->items;
  store->items = NULL;
  items_copy (store->snapshot, &store->items);
  store->revision = store->snapshot_revision;
  leases_roll_back (store);
  store->era++;
  store->rewrite_timer.cb = rewrite_lost;
  store->rewrite_timer.arg = store;
  if (rewrite_after)
    net_clock_set (&store->process->clock, &store->rewrite_timer,
                   rewrite_after);
  else
    rewrite_lost (store, 0);
}

static void
serve_test (store_t *store, h2o_req_t *req)
{
  el_str_t rest = el_str_after (net_req_path (req), TEST_PREFIX.len);
  el_str_t method = net_req_method (req);
  char *key = strndup (rest.ptr, rest.len);
  json_t *json;

  if (el_str_eq (method, EL_STR ("PUT")))
    serve_put (store, req, key);
  else if (el_str_eq (method, EL_STR ("DELETE")))
    {
      item_set (store, key, NULL, 0);
      net_req_reply (req, 200, EL_STR (""), EL_STR ("{}"));
    }
  else if (strcmp (key, "forget") == 0)
    {
      store->compacted_revision = ++store->revision;
      net_req_reply (req, 200, EL_STR (""), EL_STR ("{}"));
    }
  else if (strcmp (key, "copy") == 0)
    {
      store_take_snapshot (store);
      net_req_reply (req, 200, EL_STR (""), EL_STR ("{}"));
    }
  else if (strcmp (key, "restore") == 0)
    {
      json = sn_parse_body (req);
      store_restore (store, (el_time_t)json_integer_value (
                                json_object_get (json, "again_ms"))
                                * EL_MSEC);
      json_decref (json);
      net_req_reply (req, 200, EL_STR (""), EL_STR ("{}"));
    }
  else if (strcmp (key, "mute") == 0)
    {
      json = sn_parse_body (req);
      store->mute = json_is_true (json_object_get (json, "on"));
      json_decref (json);
      net_req_reply (req, 200, EL_STR (""), EL_STR ("{}"));
    }
  else
    net_req_reply (req, 404, EL_STR (""), EL_STR (""));
  free (key);
}

static const struct
{
  el_str_t path;
  void (*serve) (store_t *store, h2o_req_t *req);
} routes[] = {
  { EL_STR ("/elmarch/kv-range"), serve_range },
  { EL_STR ("/elmarch/kv-watch"), serve_watch },
  { EL_STR ("/elmarch/kv-lease-end/"), serve_lease_end },
  { EL_STR ("/elmarch/kv-lease"), serve_lease },
  { EL_STR ("/elmarch/kv-keep/"), serve_lease_renew },
  { EL_STR ("/elmarch/kv-txn"), serve_txn },
};

static void
store_serve (sn_process_t *process, h2o_req_t *req)
{
  store_t *store = process->state;
  el_str_t path = net_req_path (req);
  char era[24];
  size_t i;

  snprintf (era, sizeof era, "%llu", (unsigned long long)store->era);
  net_req_add_header (req, ERA_HEADER, el_str (era));

  if (el_str_starts_with (path, TEST_PREFIX))
    {
      serve_test (store, req);
      return;
    }
  if (store->mute)
    {
      gt_deferred_new (req); /* never answered */
      return;
    }
  for (i = 0; i < sizeof routes / sizeof *routes; i++)
    if (el_str_starts_with (path, routes[i].path))
      {
        routes[i].serve (store, req);
        return;
      }
  net_req_reply (req, 404, EL_STR (""), EL_STR (""));
}

const sn_role_t sn_store = { "store", store_open, store_serve };
