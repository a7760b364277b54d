/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The platform's store: items, ranges in pages, watches, leases and
 * conditional writes. Each host reaches it at an address of its own, a link,
 * so that a test knows which host reads. Its history can be dropped.
 */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <jansson.h>

#include "rig.h"

#define KEY_MAX 201
#define LEASES_MAX 4096

/* A change of an item; the last one of a key is its state. */
typedef struct change
{
  char key[KEY_MAX];
  char *value; /* base64; NULL: the item is gone */
  uint64_t revision;
  uint64_t made;
  uint64_t lease;
  int last;
} change_t;

typedef struct lease
{
  uint64_t ttl_ms; /* 0: ended */
  uint64_t until;
} lease_t;

typedef struct link_state
{
  rg_store_t *store;
  unsigned number;
  int watched;
  uint64_t empty_watches;
  void (*first_page) (void *arg);
  void *arg;
} link_state_t;

struct rg_store
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  change_t *changes;
  size_t n;
  size_t size;
  uint64_t revision;
  uint64_t forgotten; /* changes up to this revision */
  lease_t leases[LEASES_MAX];
  size_t nleases;
  unsigned page_items;
  unsigned answer_ms;
  link_state_t links[RG_LINKS_MAX];
};

/* A call and its answer. */
typedef struct call
{
  rg_store_t *store;
  link_state_t *link;
  char path[128];
  char query[512];
  json_t *body;
  json_t *answer;
  int status;
  int first_page;
} call_t;

rg_store_t *
rg_store_new (unsigned page_items, unsigned answer_ms)
{
  rg_store_t *store = calloc (1, sizeof *store);

  if (!store)
    abort ();
  pthread_mutex_init (&store->lock, NULL);
  pthread_cond_init (&store->changed, NULL);
  store->revision = 1;
  store->page_items = page_items;
  store->answer_ms = answer_ms;
  return store;
}

static char *
base64 (const char *text)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t len = strlen (text);
  char *out = calloc (1, len / 3 * 4 + 8);
  char *at = out;
  size_t i;

  if (!out)
    abort ();
  for (i = 0; i < len; i += 3)
    {
      unsigned long bits = (unsigned long)(unsigned char)text[i] << 16;

      if (i + 1 < len)
        bits |= (unsigned long)(unsigned char)text[i + 1] << 8;
      if (i + 2 < len)
        bits |= (unsigned char)text[i + 2];
      *at++ = digits[bits >> 18 & 63];
      *at++ = digits[bits >> 12 & 63];
      *at++ = i + 1 < len ? digits[bits >> 6 & 63] : '=';
      *at++ = i + 2 < len ? digits[bits & 63] : '=';
    }
  return out;
}

static change_t *
item_find (rg_store_t *store, const char *key)
{
  size_t i;

  for (i = 0; i < store->n; i++)
    if (store->changes[i].last && store->changes[i].value
        && strcmp (store->changes[i].key, key) == 0)
      return &store->changes[i];
  return NULL;
}

/* Adds a change and takes VALUE over; the lock is held. */
static void
change_add (rg_store_t *store, const char *key, char *value, uint64_t lease)
{
  change_t *former = item_find (store, key);
  uint64_t made = former ? former->made : store->revision + 1;
  change_t *change;

  if (former)
    former->last = 0;
  if (store->n == store->size)
    {
      store->size = store->size ? 2 * store->size : 256;
      store->changes
          = realloc (store->changes, store->size * sizeof *store->changes);
      if (!store->changes)
        abort ();
    }
  change = &store->changes[store->n++];
  *change = (change_t){ .value = value,
                        .revision = ++store->revision,
                        .made = made,
                        .lease = lease,
                        .last = 1 };
  snprintf (change->key, sizeof change->key, "%s", key);
  pthread_cond_broadcast (&store->changed);
}

/** Write an item as an operator or a worker does. Returns the time at which
    the store has taken it. */
uint64_t
rg_store_put (rg_store_t *store, const char *key, const char *value)
{
  pthread_mutex_lock (&store->lock);
  change_add (store, key, base64 (value), 0);
  pthread_mutex_unlock (&store->lock);
  return rg_now ();
}

/** Remove an item. */
void
rg_store_remove (rg_store_t *store, const char *key)
{
  pthread_mutex_lock (&store->lock);
  if (item_find (store, key))
    change_add (store, key, NULL, 0);
  pthread_mutex_unlock (&store->lock);
}

/** Drop the history of changes. */
void
rg_store_forget (rg_store_t *store)
{
  pthread_mutex_lock (&store->lock);
  store->forgotten = store->revision;
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
}

static void
lease_end (rg_store_t *store, uint64_t id)
{
  size_t i;

  store->leases[id].ttl_ms = 0;
  for (i = 0; i < store->n; i++)
    if (store->changes[i].last && store->changes[i].value
        && store->changes[i].lease == id)
      change_add (store, store->changes[i].key, NULL, 0);
}

static void
leases_expire (rg_store_t *store)
{
  uint64_t id;

  for (id = 1; id <= store->nleases; id++)
    if (store->leases[id].ttl_ms && rg_now () > store->leases[id].until)
      lease_end (store, id);
}

static json_t *
change_json (const change_t *change)
{
  if (!change->value)
    return json_pack ("{s:s,s:I,s:b}", "Key", change->key, "Revision",
                      (json_int_t)change->revision, "gone", 1);
  return json_pack ("{s:s,s:s,s:I,s:I,s:I}", "Key", change->key, "Value",
                    change->value, "Revision", (json_int_t)change->revision,
                    "made", (json_int_t)change->made, "lease",
                    (json_int_t)change->lease);
}

static int
hex_digit (char c)
{
  return c >= 'a' ? c - 'a' + 10 : c >= 'A' ? c - 'A' + 10 : c - '0';
}

/* Copies the decoded value of a field of the query. */
static void
query_read (const call_t *call, const char *name, char *out, size_t size)
{
  const char *at = strstr (call->query, name);
  size_t n = 0;

  if (at)
    at += strlen (name) + 1;
  while (at && *at && *at != '&' && n + 1 < size)
    {
      if (*at == '%' && at[1] && at[2])
        {
          out[n++] = (char)(hex_digit (at[1]) * 16 + hex_digit (at[2]));
          at += 3;
        }
      else
        out[n++] = *at++;
    }
  out[n] = '\0';
}

static uint64_t
query_number (const call_t *call, const char *name)
{
  char text[32];

  query_read (call, name, text, sizeof text);
  return strtoull (text, NULL, 10);
}

static int
change_cmp (const void *a, const void *b)
{
  return strcmp ((*(const change_t *const *)a)->key,
                 (*(const change_t *const *)b)->key);
}

static void
range_serve (call_t *call)
{
  rg_store_t *store = call->store;
  const change_t **list = calloc (store->n + 1, sizeof *list);
  json_t *items = json_array ();
  char prefix[KEY_MAX];
  char after[KEY_MAX];
  size_t n = 0;
  size_t i;

  if (!list)
    abort ();
  query_read (call, "PathPrefix", prefix, sizeof prefix);
  query_read (call, "SinceRev", after, sizeof after);
  for (i = 0; i < store->n; i++)
    if (store->changes[i].last && store->changes[i].value
        && strncmp (store->changes[i].key, prefix, strlen (prefix)) == 0
        && strcmp (store->changes[i].key, after) > 0)
      list[n++] = &store->changes[i];
  qsort (list, n, sizeof *list, change_cmp);
  for (i = 0; i < n && i < store->page_items; i++)
    json_array_append_new (items, change_json (list[i]));
  call->answer
      = json_pack ("{s:o,s:b,s:I}", "Items", items, "more",
                   n > store->page_items, "at", (json_int_t)store->revision);
  call->first_page = after[0] == '\0';
  free (list);
}

static json_t *
events_json (const rg_store_t *store, const char *prefix, uint64_t since)
{
  json_t *events = json_array ();
  size_t i;

  for (i = 0; i < store->n; i++)
    if (store->changes[i].revision > since
        && strncmp (store->changes[i].key, prefix, strlen (prefix)) == 0)
      json_array_append_new (events, change_json (&store->changes[i]));
  return events;
}

/* Waits for a change for WAIT_MS at most; the lock is held. */
static void
change_wait (rg_store_t *store, uint64_t wait_ms)
{
  struct timespec until;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += (time_t)(wait_ms / 1000);
  until.tv_nsec += (long)(wait_ms % 1000) * 1000000;
  until.tv_sec += until.tv_nsec / 1000000000;
  until.tv_nsec %= 1000000000;
  pthread_cond_timedwait (&store->changed, &store->lock, &until);
}

static void
watch_serve (call_t *call)
{
  rg_store_t *store = call->store;
  uint64_t since = query_number (call, "SinceRev");
  uint64_t until = rg_now () + query_number (call, "WaitMs");
  json_t *events = NULL;
  char prefix[KEY_MAX];

  query_read (call, "PathPrefix", prefix, sizeof prefix);
  call->link->watched = 1;
  for (;;)
    {
      json_decref (events);
      if (since < store->forgotten)
        {
          call->status = 410;
          call->answer = json_object ();
          break;
        }
      events = events_json (store, prefix, since);
      if (json_array_size (events) || rg_now () >= until)
        {
          call->link->empty_watches += json_array_size (events) == 0;
          call->answer = json_pack ("{s:o,s:I}", "events", events, "at",
                                    (json_int_t)store->revision);
          break;
        }
      change_wait (store, until - rg_now ());
      leases_expire (store);
    }
  call->link->watched = 0;
}

static void
lease_serve (call_t *call)
{
  rg_store_t *store = call->store;
  uint64_t ttl
      = (uint64_t)json_integer_value (json_object_get (call->body, "ttl_ms"));
  uint64_t id = store->nleases + 1;

  if (id == LEASES_MAX)
    abort ();
  store->nleases = id;
  store->leases[id] = (lease_t){ ttl, rg_now () + ttl };
  call->answer = json_pack ("{s:I,s:I}", "lease", (json_int_t)id, "ttl_ms",
                            (json_int_t)ttl);
}

/* The lease named at the end of the path; NULL if it is over. */
static lease_t *
lease_named (const call_t *call, uint64_t *id)
{
  *id = strtoull (strrchr (call->path, '/') + 1, NULL, 10);
  return *id && *id <= call->store->nleases && call->store->leases[*id].ttl_ms
             ? &call->store->leases[*id]
             : NULL;
}

static void
keep_serve (call_t *call)
{
  uint64_t id;
  lease_t *lease = lease_named (call, &id);

  call->answer = json_object ();
  call->status = lease ? 200 : 404;
  if (!lease)
    return;
  lease->until = rg_now () + lease->ttl_ms;
  json_object_set_new (call->answer, "ttl_ms",
                       json_integer ((json_int_t)lease->ttl_ms));
}

static void
lease_end_serve (call_t *call)
{
  uint64_t id;

  if (lease_named (call, &id))
    lease_end (call->store, id);
  call->answer = json_object ();
}

/* Whether all conditions of a change hold; if not, the items as they are are
   the answer. */
static int
conditions_hold (call_t *call)
{
  json_t *items = json_array ();
  json_t *row;
  size_t i;
  int hold = 1;

  json_array_foreach (json_object_get (call->body, "ExpectedRev"), i, row)
  {
    const change_t *item = item_find (
        call->store, json_string_value (json_object_get (row, "Key")));
    uint64_t revision
        = (uint64_t)json_integer_value (json_object_get (row, "Revision"));

    if ((item ? item->revision : 0) == revision)
      continue;
    hold = 0;
    if (item)
      json_array_append_new (items, change_json (item));
  }
  if (hold)
    json_decref (items);
  else
    call->answer = json_pack ("{s:o}", "Items", items);
  return hold;
}

static void
txn_serve (call_t *call)
{
  rg_store_t *store = call->store;
  json_t *row;
  size_t i;

  call->status = 412;
  if (!conditions_hold (call))
    return;
  call->status = 200;
  json_array_foreach (json_object_get (call->body, "put"), i, row)
  {
    uint64_t lease
        = (uint64_t)json_integer_value (json_object_get (row, "lease"));

    if (lease && (lease > store->nleases || !store->leases[lease].ttl_ms))
      {
        call->status = 404;
        call->answer = json_object ();
        return;
      }
    change_add (store, json_string_value (json_object_get (row, "Key")),
                strdup (json_string_value (json_object_get (row, "Value"))),
                lease);
  }
  call->answer = json_pack ("{s:I}", "Revision", (json_int_t)store->revision);
}

static const struct
{
  const char *path;
  void (*serve) (call_t *call);
} calls[] = {
  { "/elmarch/kv-range", range_serve },
  { "/elmarch/kv-watch", watch_serve },
  { "/elmarch/kv-lease-end/", lease_end_serve },
  { "/elmarch/kv-lease", lease_serve },
  { "/elmarch/kv-keep/", keep_serve },
  { "/elmarch/kv-txn", txn_serve },
};

static void
call_serve (call_t *call)
{
  size_t i;

  call->status = 200;
  pthread_mutex_lock (&call->store->lock);
  leases_expire (call->store);
  for (i = 0; i < sizeof calls / sizeof *calls && !call->answer; i++)
    if (strncmp (call->path, calls[i].path, strlen (calls[i].path)) == 0)
      calls[i].serve (call);
  pthread_mutex_unlock (&call->store->lock);
}

/* Calls back once the first page of a range is on its way. */
static void
first_page_sent (link_state_t *link)
{
  rg_store_t *store = link->store;
  void (*first_page) (void *arg);

  pthread_mutex_lock (&store->lock);
  first_page = link->first_page;
  link->first_page = NULL;
  pthread_mutex_unlock (&store->lock);
  if (first_page)
    first_page (link->arg);
}

static int
answer_send (int fd, const call_t *call)
{
  char *text = json_dumps (call->answer, JSON_COMPACT);
  char head[160];
  int len = snprintf (head, sizeof head,
                      "HTTP/1.1 %d -\r\nContent-Type: application/json\r\n"
                      "Content-Length: %zu\r\n\r\n",
                      call->status, strlen (text));
  int ok
      = rg_send (fd, head, (size_t)len) && rg_send (fd, text, strlen (text));

  free (text);
  return ok;
}

static void
link_serve (int fd, void *arg)
{
  link_state_t *link = arg;
  rg_message_t request;
  int ok = 1;

  while (ok && rg_receive (fd, &request))
    {
      call_t call = { .store = link->store, .link = link };

      sscanf (request.head, "%*s %127[^ ?]?%511[^ ]", call.path, call.query);
      call.body = json_loads (request.body, 0, NULL);
      call_serve (&call);
      rg_sleep (link->store->answer_ms);
      ok = call.answer && answer_send (fd, &call);
      if (call.first_page)
        first_page_sent (link);
      json_decref (call.body);
      json_decref (call.answer);
      rg_message_free (&request);
    }
}

/** Serve calls at ADDRESS, for the host that uses LINK. */
void
rg_store_link (rg_store_t *store, unsigned link, const char *address)
{
  store->links[link].store = store;
  store->links[link].number = link;
  rg_listen (address, link_serve, &store->links[link]);
}

/** Whether the host that uses LINK has a watch. */
int
rg_store_is_watched (rg_store_t *store, unsigned link)
{
  int watched;

  pthread_mutex_lock (&store->lock);
  watched = store->links[link].watched;
  pthread_mutex_unlock (&store->lock);
  return watched;
}

/** Wait until the host that uses LINK has a watch. */
void
rg_store_wait_watch (rg_store_t *store, unsigned link)
{
  while (!rg_store_is_watched (store, link))
    rg_sleep (1);
}

/** Wait until a watch of LINK ends without a change. */
void
rg_store_wait_empty_watch (rg_store_t *store, unsigned link)
{
  uint64_t before = store->links[link].empty_watches;
  uint64_t now = before;

  while (now == before)
    {
      rg_sleep (1);
      pthread_mutex_lock (&store->lock);
      now = store->links[link].empty_watches;
      pthread_mutex_unlock (&store->lock);
    }
}

/** Call back when the first page of the next range of LINK is sent. */
void
rg_store_on_first_page (rg_store_t *store, unsigned link,
                        void (*call) (void *arg), void *arg)
{
  pthread_mutex_lock (&store->lock);
  store->links[link].arg = arg;
  store->links[link].first_page = call;
  pthread_mutex_unlock (&store->lock);
}
