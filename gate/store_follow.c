/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Follows the keys below a prefix: reads all, then waits for changes; reads
 * all again when the store no longer keeps the changes asked for.
 */
#include <string.h>

#include "map.h"
#include "store.h"

/* A call that takes longer than this gets no answer any more: a store that is
   slow takes some 300 ms. */
#define CALL_LIMIT (1500 * EL_MSEC)
/* While the store is missed, calls ask for an answer at once: one that was
   sent just before it comes back must not hold the next one up. */
#define MISSED_WAIT_MS 1
#define MISSED_LIMIT (800 * EL_MSEC)

/* A host whose news are old asks the store itself at once, and after each
   vain try half as often; until then it asks the others, of whom the first of
   each hall asks the store. Calls to the store of a day at 295 hosts on which
   it is away for 8 s: 5,565 with a try of each host every half second, 2,412
   with this, first ones that stay while all are withdrawn, and the pause
   below. */
#define DOUBT_FIRST (2 * EL_SEC)
#define DOUBT_MOST (8 * EL_SEC)
/* A host that could tell nothing is asked again after this. */
#define ASK_AGAIN (200 * EL_MSEC)
/* What was read is as fresh as what a watch tells that waits as long. It is
   time for a host that has just started to learn whom it can ask. */
#define READ_PAUSE (700 * EL_MSEC)

/* A key that is known, with the revision of its last change. */
typedef struct follow_key
{
  char *key;
  size_t len;
  uint64_t revision;
  el_str_t value;
  int gone;
  uint64_t reading; /* number of the reading that showed it last */
  UT_hash_handle hh;
} follow_key_t;

struct gt_follow
{
  gt_follow_options_t options;
  follow_key_t *keys;
  net_exchange_t *call;
  el_timer_t again;
  el_time_t sent;       /* when the call left */
  el_time_t read_since; /* when the first page was asked for */
  uint64_t revision;    /* changes up to it were told */
  uint64_t read_at;     /* revision of the first page */
  el_buf_t page_after;  /* last key of the page before */
  uint64_t reading;     /* number of the last or present reading of all */
  size_t taken;         /* items that this reading or answer changed */
  size_t older;         /* items of it that were below what is known */
  int whole;            /* that reading is done */
  el_time_t known;      /* all changes before it were told */
  unsigned old;         /* answers of other hosts in a row that were old */
  int doubt;            /* another host could not tell: the store is asked
                           once */
  el_time_t doubt_due;  /* not again before */
  el_time_t doubt_wait; /* from one such call to the next */
  unsigned failures;
};

static void follow_known (gt_follow_t *follow, el_time_t as_of);
static void follow_next (void *arg, el_time_t now);

static follow_key_t *
follow_key (gt_follow_t *follow, el_str_t name)
{
  follow_key_t *key;

  HASH_FIND (hh, follow->keys, name.ptr, (unsigned)name.len, key);
  if (key)
    return key;
  key = el_alloc (sizeof *key);
  key->key = (char *)(uintptr_t)el_str_dup (name).ptr;
  key->len = name.len;
  HASH_ADD_KEYPTR (hh, follow->keys, key->key, (unsigned)name.len, key);
  return key;
}

static void
key_free (gt_follow_t *follow, follow_key_t *key)
{
  HASH_DEL (follow->keys, key);
  el_str_free (&key->value);
  free (key->key);
  free (key);
}

static void
follow_item (gt_follow_t *follow, const pr_item_t *item)
{
  follow_key_t *key = follow_key (follow, item->key);

  key->reading = follow->reading;
  if (item->revision <= key->revision)
    {
      follow->older += item->revision < key->revision;
      return;
    }
  follow->taken++;
  key->revision = item->revision;
  key->gone = item->gone;
  el_str_free (&key->value);
  if (follow->options.ask)
    key->value = el_str_dup (item->value);
  follow->options.item (follow->options.arg, item);
}

/* What an answer brought. FROM: the store, or another host; BEFORE: up to
   where changes were known. */
static void
taken_log (gt_follow_t *follow, const char *from, uint64_t before, int whole)
{
  int notable = whole || follow->older || follow->revision < before;

  EL_LOG (notable ? EL_LOG_INFO : EL_LOG_DEBUG, "store_told",
          EL_FC ("by", from), EL_FN ("whole", whole), EL_FN ("before", before),
          EL_FN ("revision", follow->revision), EL_FN ("taken", follow->taken),
          EL_FN ("older", follow->older));
  follow->taken = 0;
  follow->older = 0;
}

/* Keys that a whole reading did not show are gone. What changed after the
   first page is told by the watch. */
static void
follow_prune (gt_follow_t *follow)
{
  follow_key_t *key;
  follow_key_t *next;

  HASH_ITER (hh, follow->keys, key, next)
  {
    pr_item_t item = { .key = { key->key, key->len },
                       .revision = follow->read_at,
                       .gone = 1 };

    if (key->reading == follow->reading && !key->gone)
      continue;
    if (!key->gone)
      follow->options.item (follow->options.arg, &item);
    key_free (follow, key);
  }
}

static void
follow_later (gt_follow_t *follow, el_time_t wait)
{
  net_clock_set (follow->options.store->clock, &follow->again, wait);
}

static void
follow_failed (gt_follow_t *follow, const char *what,
               const net_result_t *result)
{
  gt_follow_options_t *o = &follow->options;
  el_time_t wait = gt_store_backoff (o->store, result, follow->failures++);

  follow->doubt = 0; /* the store can't tell either */

  if (follow->failures == 1)
    EL_LOG (EL_LOG_WARN, "store_lost", EL_FS ("prefix", o->prefix),
            EL_FC ("call", what), EL_FN ("status", result->status),
            EL_FN ("revision", follow->revision));
  follow_later (follow, wait);
}

static void
follow_works (gt_follow_t *follow)
{
  if (follow->failures)
    EL_LOG (EL_LOG_INFO, "store_back",
            EL_FS ("prefix", follow->options.prefix),
            EL_FN ("failures", follow->failures),
            EL_FN ("revision", follow->revision));
  follow->failures = 0;
  follow->old = 0;
  follow->doubt_wait = 0;
  follow->doubt_due = 0;
  if (follow->doubt)
    follow->options.blame (follow->options.arg);
  follow->doubt = 0;
}

static void
follow_restart (gt_follow_t *follow)
{
  follow->whole = 0;
  el_buf_reset (&follow->page_after);
}

static void
range_done (void *arg, const net_result_t *result)
{
  gt_follow_t *follow = arg;
  gt_store_list_t list = { 0 };
  size_t i;

  follow->call = NULL;
  if (result->net != NET_OK
      || follow->options.store->dialect->read_list (result, &list)
             != GT_STORE_OK)
    {
      follow_restart (follow);
      follow_failed (follow, "range", result);
      return;
    }
  follow_works (follow);
  if (follow->page_after.len == 0)
    follow->read_at = list.revision;
  for (i = 0; i < list.n; i++)
    follow_item (follow, &list.items[i]);
  el_buf_reset (&follow->page_after);
  if (list.more && list.n)
    el_buf_add (&follow->page_after, list.items[list.n - 1].key);
  else
    {
      uint64_t before = follow->revision;

      follow->options.store->counts.reads++;
      follow->whole = 1;
      follow_prune (follow);
      follow->revision = follow->read_at;
      taken_log (follow, "store", before, 1);
      follow_known (follow, follow->read_since);
    }
  gt_store_list_free (&list);
  if (follow->whole && follow->options.ask)
    follow_later (follow, READ_PAUSE);
  else
    follow_next (follow, 0);
}

static void
watch_done (void *arg, const net_result_t *result)
{
  gt_follow_t *follow = arg;
  gt_store_list_t list = { 0 };
  gt_store_state_t state = GT_STORE_BAD;
  uint64_t before;
  size_t i;

  follow->call = NULL;
  if (result->net == NET_OK)
    state = follow->options.store->dialect->read_list (result, &list);
  if (state == GT_STORE_LOST)
    {
      EL_LOG (EL_LOG_INFO, "store_history_lost",
              EL_FS ("prefix", follow->options.prefix),
              EL_FN ("revision", follow->revision));
      follow_restart (follow);
      follow_next (follow, 0);
      return;
    }
  if (state != GT_STORE_OK)
    {
      follow_failed (follow, "watch", result);
      return;
    }
  follow_works (follow);
  for (i = 0; i < list.n; i++)
    follow_item (follow, &list.items[i]);
  before = follow->revision;
  if (list.revision > follow->revision)
    follow->revision = list.revision;
  taken_log (follow, "store", before, 0);
  follow_known (follow, follow->sent);
  if (list.n && follow->options.gather)
    follow_later (follow, follow->options.gather);
  else
    follow_next (follow, 0);
  gt_store_list_free (&list);
}

static void
follow_known (gt_follow_t *follow, el_time_t as_of)
{
  if (as_of > follow->known)
    follow->known = as_of;
  follow->options.known (follow->options.arg, as_of);
}

/* The host that was asked knows nothing new enough. When the store answers,
   that host is at fault. */
static void
news_old (gt_follow_t *follow, el_time_t now)
{
  gt_store_t *store = follow->options.store;

  follow->old++;
  if (now < follow->doubt_due)
    {
      follow_later (follow, ASK_AGAIN);
      return;
    }
  follow->doubt_wait
      = follow->doubt_wait ? 2 * follow->doubt_wait : DOUBT_FIRST;
  if (follow->doubt_wait > DOUBT_MOST)
    follow->doubt_wait = DOUBT_MOST;
  follow->doubt_due = now + follow->doubt_wait
                      + el_random (&store->random) % follow->doubt_wait;
  follow->doubt = 1;
  follow_next (follow, 0);
}

static void
news_take (gt_follow_t *follow, const pr_news_t *news)
{
  uint64_t before = follow->revision;
  size_t i;

  if (news->whole)
    {
      follow->reading++;
      follow->read_at = news->revision;
    }
  for (i = 0; i < news->n; i++)
    follow_item (follow, &news->items[i]);
  if (news->whole)
    follow_prune (follow);
  if (news->revision > follow->revision)
    follow->revision = news->revision;
  taken_log (follow, "host", before, news->whole);
}

/* Another host has told. When it could not, or what it knows is old, the store
   is asked. */
static void
news_told (void *arg, const pr_news_t *news)
{
  gt_follow_t *follow = arg;
  el_time_t now = net_clock_now (follow->options.store->clock);

  if (!news || news->as_of + follow->options.news_old < now)
    {
      news_old (follow, now);
      return;
    }
  follow_works (follow);
  news_take (follow, news);
  follow_known (follow, news->as_of);
  follow_next (follow, 0);
}

/* Whether another host was asked in place of the store. */
static int
follow_ask (gt_follow_t *follow)
{
  gt_follow_options_t *o = &follow->options;

  return o->ask && follow->whole && !follow->doubt
         && o->ask (o->arg, follow->revision, follow->old, news_told, follow);
}

/* Wait for changes; a store that was missed is asked for an answer at once. */
static void
follow_watch (gt_follow_t *follow)
{
  gt_follow_options_t *o = &follow->options;
  el_buf_t path = { NULL, 0, 0 };
  int missed = follow->failures || follow->doubt;
  uint64_t wait = missed ? MISSED_WAIT_MS : o->wait_ms;
  el_time_t limit = missed ? MISSED_LIMIT : CALL_LIMIT;

  o->store->dialect->watch (&path, o->prefix, follow->revision, wait);
  follow->call = gt_store_call (o->store, "GET", &path, NULL,
                                wait * EL_MSEC + limit, watch_done, follow);
  el_buf_free (&path);
}

/* Read the next page of all that there is, or the first one. */
static void
follow_page (gt_follow_t *follow)
{
  gt_follow_options_t *o = &follow->options;
  el_buf_t path = { NULL, 0, 0 };

  if (follow->page_after.len == 0)
    {
      follow->read_since = follow->sent;
      follow->reading++;
    }
  o->store->dialect->range (&path, o->prefix,
                            el_buf_str (&follow->page_after));
  follow->call = gt_store_call (o->store, "GET", &path, NULL,
                                follow->failures ? MISSED_LIMIT : CALL_LIMIT,
                                range_done, follow);
  el_buf_free (&path);
}

/* Ask for what comes next. */
static void
follow_next (void *arg, el_time_t now)
{
  gt_follow_t *follow = arg;
  el_time_t rest = gt_store_rest_left (follow->options.store);

  (void)now;
  if (follow_ask (follow))
    return;
  if (rest)
    {
      follow_later (follow, rest);
      return;
    }
  follow->sent = net_clock_now (follow->options.store->clock);
  if (follow->whole)
    follow_watch (follow);
  else
    follow_page (follow);
}

/** A follower; it begins to read at once. */
gt_follow_t *
gt_follow_new (const gt_follow_options_t *options)
{
  gt_follow_t *follow = el_alloc (sizeof *follow);

  follow->options = *options;
  follow->again.cb = follow_next;
  follow->again.arg = follow;
  follow_next (follow, 0);
  return follow;
}

/** Tell what was seen after a revision, or all when not every removal since
    then is known. The items belong to the follower; the list is freed by the
    caller. */
void
gt_follow_tell (gt_follow_t *follow, uint64_t after, pr_news_t *out)
{
  follow_key_t *key;
  follow_key_t *next;

  *out = (pr_news_t){ .whole = after < follow->read_at,
                      .revision = follow->revision,
                      .as_of = follow->known };
  out->items = el_alloc ((HASH_COUNT (follow->keys) + 1) * sizeof *out->items);
  HASH_ITER (hh, follow->keys, key, next)
  {
    if (out->whole ? key->gone : key->revision <= after)
      continue;
    out->items[out->n++] = (pr_item_t){ .key = { key->key, key->len },
                                        .value = key->value,
                                        .revision = key->revision,
                                        .gone = key->gone };
  }
}

/** All changes before this time were told; 0 before the first. */
el_time_t
gt_follow_known (const gt_follow_t *follow)
{
  return follow->known;
}

/** Ask for nothing more. */
void
gt_follow_free (gt_follow_t *follow)
{
  follow_key_t *key;
  follow_key_t *next;

  net_clock_cancel (follow->options.store->clock, &follow->again);
  if (follow->call)
    net_client_cancel (follow->call);
  HASH_ITER (hh, follow->keys, key, next) { key_free (follow, key); }
  el_buf_free (&follow->page_after);
  free (follow);
}
