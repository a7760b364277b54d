/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The users' platform's store, as far as the tests need it: ranges, watches,
 * leases, writes under a condition. PUT /test/KEY sets a key as an operator
 * or an endpoint would, DELETE /test/KEY removes it; POST /test/forget drops
 * the history, POST /test/mute {"on": BOOL} leaves calls unanswered. POST
 * /test/copy notes what it holds, POST /test/restore {"again_ms": N} has it go
 * on from there: what the system wrote since is gone, leases too, what
 * operators and endpoints wrote is written again after N ms, and revisions and
 * numbers of leases are given out again. With --record what is
 * acknowledged stands in a file, from which it starts again.
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
  char *value; /* base64; NULL once gone */
  uint64_t revision;
  uint64_t lease;
  UT_hash_handle hh;
} store_item_t;

typedef struct store_watch
{
  struct store *store;
  gt_deferred_t *hold;
  char *prefix;
  uint64_t since;
  el_timer_t over;
  struct store_watch *prev;
  struct store_watch *next;
} store_watch_t;

typedef struct store_lease
{
  uint64_t id; /* 0 once over */
  el_time_t ttl;
  el_timer_t over;
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
  uint64_t forgotten; /* changes up to it are no longer kept */
  uint64_t era;       /* times that it went on from a copy */
  store_item_t *copy;
  uint64_t copy_revision;
  uint64_t copy_lease; /* numbers up to it were given */
  store_item_t *lost;  /* as it was before it went on from the copy */
  el_timer_t again;    /* writers of these write anew */
  int mute;
  int record; /* descriptor; -1 is none */
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
  h2o_req_t *req = gt_deferred_finish (watch->hold);

  net_clock_cancel (&store->process->clock, &watch->over);
  DL_DELETE (store->watches, watch);
  if (req)
    sn_json (req, 200,
             json_pack ("{s:o,s:I}", "events",
                        items_json (store, watch->prefix, watch->since, 1),
                        "at", (json_int_t)store->revision));
  free (watch->prefix);
  free (watch);
}

static void
watch_over (void *arg, el_time_t now)
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

static void lease_over (void *arg, el_time_t now);

static store_lease_t *
lease_find (store_t *store, uint64_t id)
{
  store_lease_t *lease = &store->leases[id % LEASES_MAX];

  return id && lease->id == id ? lease : NULL;
}

static void
lease_set (store_t *store, uint64_t id, el_time_t ttl)
{
  store_lease_t *lease = &store->leases[id % LEASES_MAX];

  *lease = (store_lease_t){ .id = id, .ttl = ttl, .store = store };
  lease->over.cb = lease_over;
  lease->over.arg = lease;
  net_clock_set (&store->process->clock, &lease->over, ttl);
}

/* Write "KEY LEASE TTL VALUE", without VALUE for a key that is gone, before
   the change is acknowledged. */
static void
item_record (const store_t *store, const char *key, const char *value,
             uint64_t lease)
{
  el_buf_t line = { NULL, 0, 0 };

  if (store->record < 0)
    return;
  el_buf_printf (&line, "%s %llu %llu %s\n", key, (unsigned long long)lease,
                 (unsigned long long)store->leases[lease % LEASES_MAX].ttl,
                 value ? value : "");
  if (write (store->record, line.ptr, line.len) != (ssize_t)line.len)
    fprintf (stderr, "standin: a change was not noted\n");
  el_buf_free (&line);
}

/* Set a key, or remove it without VALUE, and wake those who wait for it. */
static void
item_set (store_t *store, const char *key, const char *value, uint64_t lease)
{
  store_item_t *item = item_get (store, key);
  store_watch_t *watch;
  store_watch_t *next;

  item_record (store, key, value, lease);
  free (item->value);
  item->value = value ? strdup (value) : NULL;
  item->revision = ++store->revision;
  item->lease = lease;
  DL_FOREACH_SAFE (store->watches, watch, next)
  if (strncmp (key, watch->prefix, strlen (watch->prefix)) == 0)
    watch_end (watch);
}

/* Take in what stood in the record at the last end. Leases run anew. */
static void
store_replay (store_t *store, const char *path)
{
  char *line = el_alloc (RECORD_LINE_MAX);
  FILE *file = fopen (path, "r");
  unsigned long long lease;
  unsigned long long ttl;
  char *value;
  int at;

  while (file && fgets (line, RECORD_LINE_MAX, file))
    {
      line[strcspn (line, "\n")] = '\0';
      value = strchr (line, ' ');
      if (!value)
        continue;
      *value++ = '\0';
      if (sscanf (value, "%llu %llu %n", &lease, &ttl, &at) != 2)
        continue;
      if (lease && !lease_find (store, lease))
        lease_set (store, lease, ttl);
      if (lease > store->next_lease)
        store->next_lease = lease;
      item_set (store, line, value[at] ? value + at : NULL, lease);
    }
  if (file)
    fclose (file);
  free (line);
}

static void
store_open (sn_process_t *process)
{
  store_t *store = el_alloc (sizeof *store);
  const char *path = process->set.record;

  store->process = process;
  store->revision = 1;
  store->record = -1;
  if (path[0])
    {
      store_replay (store, path);
      store->record
          = open (path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
    }
  process->state = store;
}

static void
lease_over (void *arg, el_time_t now)
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

  sn_json (req, 200,
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
  watch->hold = gt_deferred_new (req);
  watch->over.cb = watch_over;
  watch->over.arg = watch;
  DL_APPEND (store->watches, watch);
  net_clock_set (&store->process->clock, &watch->over,
                 strtoull (wait, NULL, 10) * EL_MSEC);
  free (since);
  free (wait);
  if (watch->since < store->forgotten || watch->since > store->revision)
    {
      req = gt_deferred_finish (watch->hold);
      net_clock_cancel (&store->process->clock, &watch->over);
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
  json_t *json = sn_body (req);
  uint64_t id = ++store->next_lease;
  json_int_t ttl = json_integer_value (json_object_get (json, "ttl_ms"));

  lease_set (store, id, (el_time_t)ttl * EL_MSEC);
  sn_json (req, 200,
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
      net_clock_cancel (&store->process->clock, &lease->over);
      lease_over (lease, 0);
    }
  net_req_reply (req, lease ? 200 : 404, EL_STR (""), EL_STR ("{}"));
}

static void
serve_keep (store_t *store, h2o_req_t *req)
{
  el_str_t path = net_req_path (req);
  uint64_t id = 0;
  store_lease_t *lease;

  el_str_to_u64 (el_str_after (path, sizeof "/elmarch/kv-keep/" - 1), &id);
  lease = lease_find (store, id);
  if (lease)
    net_clock_set (&store->process->clock, &lease->over, lease->ttl);
  net_req_reply (req, lease ? 200 : 404, EL_STR (""), EL_STR ("{}"));
}

/* Whether the rows of a condition hold. */
static int
txn_holds (store_t *store, json_t *rows)
{
  store_item_t *item;
  json_t *row;
  size_t i;

  json_array_foreach (rows, i, row)
  {
    const char *key = json_string_value (json_object_get (row, "Key"));
    json_int_t want = json_integer_value (json_object_get (row, "Revision"));

    HASH_FIND_STR (store->items, key, item);
    if ((item && item->value ? (json_int_t)item->revision : 0) != want)
      return 0;
  }
  return 1;
}

static void
serve_txn (store_t *store, h2o_req_t *req)
{
  json_t *json = sn_body (req);
  json_t *row;
  size_t i;

  if (!txn_holds (store, json_object_get (json, "ExpectedRev")))
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
  sn_json (req, 200,
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
store_copy (store_t *store)
{
  items_free (&store->copy);
  items_copy (store->items, &store->copy);
  store->copy_revision = store->revision;
  store->copy_lease = store->next_lease;
}

/* Whether others than the system write ITEM. */
static int
item_of_others (const store_item_t *item)
{
  return strncmp (item->key, "op/", 3) == 0
         || strncmp (item->key, "servers/", 8) == 0;
}

static int
item_same (const store_item_t *a, const store_item_t *b)
{
  if (!a->value || !b || !b->value)
    return !a->value && (!b || !b->value);
  return strcmp (a->value, b->value) == 0;
}

/* Leases that were granted since the copy are gone, and their numbers are
   given out again. */
static void
leases_restore (store_t *store)
{
  size_t i;

  for (i = 0; i < LEASES_MAX; i++)
    if (store->leases[i].id > store->copy_lease)
      {
        net_clock_cancel (&store->process->clock, &store->leases[i].over);
        store->leases[i].id = 0;
      }
  store->next_lease = store->copy_lease;
}

/* What others had written since the copy, and have not since then, they write
   again. */
static void
lost_again (void *arg, el_time_t due)
{
  store_t *store = arg;
  const store_item_t *item;
  store_item_t *now;

  (void)due;
  for (item = store->lost; item; item = item->hh.next)
    {
      HASH_FIND_STR (store->items, item->key, now);
      if (item_of_others (item) && !item_same (item, now)
          && (!now || now->revision <= store->copy_revision))
        item_set (store, item->key, item->value, 0);
    }
  items_free (&store->lost);
}

static void
store_restore (store_t *store, el_time_t again)
{
  h2o_req_t *req;

  while (store->watches)
    {
      store_watch_t *watch = store->watches;

      net_clock_cancel (&store->process->clock, &watch->over);
      DL_DELETE (store->watches, watch);
      req = gt_deferred_finish (watch->hold);
      if (req)
        net_req_reply (req, 503, EL_STR (""), EL_STR (""));
      free (watch->prefix);
      free (watch);
    }
  items_free (&store->lost);
  store->lost = store->items;
  store->items = NULL;
  items_copy (store->copy, &store->items);
  store->revision = store->copy_revision;
  leases_restore (store);
  store->era++;
  store->again.cb = lost_again;
  store->again.arg = store;
  if (again)
    net_clock_set (&store->process->clock, &store->again, again);
  else
    lost_again (store, 0);
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
      store->forgotten = ++store->revision;
      net_req_reply (req, 200, EL_STR (""), EL_STR ("{}"));
    }
  else if (strcmp (key, "copy") == 0)
    {
      store_copy (store);
      net_req_reply (req, 200, EL_STR (""), EL_STR ("{}"));
    }
  else if (strcmp (key, "restore") == 0)
    {
      json = sn_body (req);
      store_restore (store, (el_time_t)json_integer_value (
                                json_object_get (json, "again_ms"))
                                * EL_MSEC);
      json_decref (json);
      net_req_reply (req, 200, EL_STR (""), EL_STR ("{}"));
    }
  else if (strcmp (key, "mute") == 0)
    {
      json = sn_body (req);
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
} calls[] = {
  { EL_STR ("/elmarch/kv-range"), serve_range },
  { EL_STR ("/elmarch/kv-watch"), serve_watch },
  { EL_STR ("/elmarch/kv-lease-end/"), serve_lease_end },
  { EL_STR ("/elmarch/kv-lease"), serve_lease },
  { EL_STR ("/elmarch/kv-keep/"), serve_keep },
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
  for (i = 0; i < sizeof calls / sizeof *calls; i++)
    if (el_str_starts_with (path, calls[i].path))
      {
        calls[i].serve (store, req);
        return;
      }
  net_req_reply (req, 404, EL_STR (""), EL_STR (""));
}

const sn_role_t sn_store = { "store", store_open, store_serve };
