/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Follows the keys below a prefix: reads all, then waits for changes; reads
 * all again when the store no longer keeps the changes asked for.
 */
#include <stdlib.h>

#include "store.h"
#include "store_keys.h"

/* A call that takes longer than this gets no answer any more. */
#define CALL_LIMIT (1500 * EL_MSEC)
/* While the store is missed, calls ask for an answer at once: one that was
   sent just before it comes back must not hold the next one up. */
#define MISSED_WAIT_MS 1
#define MISSED_LIMIT (800 * EL_MSEC)

/* A host whose news are old asks the store itself at once, and after each
   vain try half as often; until then it asks the others, of whom the first of
   each hall asks the store. */
#define DOUBT_FIRST (2 * EL_SEC)
#define DOUBT_MOST (8 * EL_SEC)
/* A host that could tell nothing is asked again after this. */
#define ASK_AGAIN (200 * EL_MSEC)
/* Writers of a store that went on from an older copy have written anew what it
   lost within about two seconds. */
#define SETTLE_AFTER (2500 * EL_MSEC)
/* What was read is as fresh as what a watch tells that waits as long. It is
   time for a host that has just started to learn whom it can ask. */
#define READ_PAUSE (700 * EL_MSEC)

struct gt_follow
{
  gt_follow_options_t options;
  gt_store_part_t part;
  gt_keys_t *keys;
  net_exchange_t *call;
  uint64_t call_epoch; /* known when the call left */
  int asking;          /* another host was asked and has not answered */
  el_timer_t again;
  el_timer_t settle;
  el_time_t sent;              /* when the call left */
  el_time_t read_since;        /* when the first page was asked for */
  pr_store_position_t at;      /* changes up to it were told */
  pr_store_position_t read_at; /* of the first page */
  el_buf_t page_after;         /* last key of the page before */
  gt_store_read_t cause;       /* of the last or next reading of all */
  int whole;                   /* that reading is done */
  el_time_t known;             /* all changes before it were told */
  unsigned old;         /* answers of other hosts in a row that were old */
  int doubt;            /* another host could not tell: the store is asked
                           once */
  el_time_t doubt_due;  /* not again before */
  el_time_t doubt_wait; /* from one such call to the next */
  unsigned failures;
};

static void follow_known (gt_follow_t *follow, el_time_t as_of);
static void follow_next (void *arg, el_time_t now);

/* What an answer brought. FROM: the store, or another host; BEFORE: up to
   where changes were known. */
static void
told (gt_follow_t *follow, const char *from, pr_store_position_t before,
      int whole)
{
  gt_keys_counts_t counts = gt_keys_counts_take (follow->keys);
  int notable = whole || counts.older
                || pr_store_position_cmp (follow->at, before) < 0;

  EL_LOG (notable ? EL_LOG_INFO : EL_LOG_DEBUG, "store_told",
          EL_FC ("by", from), EL_FN ("whole", whole),
          EL_FN ("epoch", follow->at.epoch),
          EL_FN ("revision", follow->at.revision),
          EL_FN ("epoch_before", before.epoch),
          EL_FN ("revision_before", before.revision),
          EL_FN ("taken", counts.taken), EL_FN ("older", counts.older),
          EL_FN ("held", counts.held));
  if (counts.held)
    net_clock_set (follow->options.store->clock, &follow->settle,
                   SETTLE_AFTER);
}

/* What a new epoch lacks or has again stands as it is by now. */
static void
follow_settle (void *arg, el_time_t now)
{
  gt_follow_t *follow = arg;

  (void)now;
  gt_keys_settle (follow->keys);
  told (follow, "settled", follow->at, 0);
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
            EL_FN ("epoch", follow->at.epoch),
            EL_FN ("revision", follow->at.revision));
  follow_later (follow, wait);
}

static void
follow_works (gt_follow_t *follow)
{
  if (follow->failures)
    EL_LOG (EL_LOG_INFO, "store_back",
            EL_FS ("prefix", follow->options.prefix),
            EL_FN ("failures", follow->failures),
            EL_FN ("epoch", follow->at.epoch),
            EL_FN ("revision", follow->at.revision));
  follow->failures = 0;
  follow->old = 0;
  follow->doubt_wait = 0;
  follow->doubt_due = 0;
  if (follow->doubt)
    follow->options.blame (follow->options.arg);
  follow->doubt = 0;
}

/* All is to be read anew. */
static void
follow_restart (gt_follow_t *follow, gt_store_read_t cause)
{
  follow->whole = 0;
  follow->cause = cause;
  el_buf_reset (&follow->page_after);
}

/* What is known is of a former epoch: neither changes after it nor further
   pages fit. */
static int
follow_former (const gt_follow_t *follow, pr_store_position_t at)
{
  return at.epoch != follow->options.store->epoch;
}

static void
page_take (gt_follow_t *follow, const gt_store_list_t *list)
{
  gt_store_t *store = follow->options.store;
  pr_store_position_t before = follow->at;
  size_t i;

  if (follow->page_after.len == 0)
    {
      follow->read_at = (pr_store_position_t){ store->epoch, list->revision };
      gt_keys_begin (follow->keys);
    }
  for (i = 0; i < list->n; i++)
    gt_keys_item (follow->keys, follow->read_at.epoch, &list->items[i]);
  el_buf_reset (&follow->page_after);
  if (list->more && list->n)
    {
      el_buf_add (&follow->page_after, list->items[list->n - 1].key);
      return;
    }
  store->counts.reads[follow->cause]++;
  follow->whole = 1;
  gt_keys_end (follow->keys, follow->read_at);
  follow->at = follow->read_at;
  told (follow, "store", before, 1);
  follow_known (follow, follow->read_since);
}

static void
range_done (void *arg, const net_result_t *result)
{
  gt_follow_t *follow = arg;
  gt_store_list_t list = { 0 };

  follow->call = NULL;
  if (result->net != NET_OK
      || follow->options.store->dialect->read_list (result, &list)
             != GT_STORE_OK)
    {
      follow_restart (follow, follow->cause);
      follow_failed (follow, "range", result);
      return;
    }
  follow_works (follow);
  if (follow->page_after.len && follow_former (follow, follow->read_at))
    follow_restart (follow, GT_STORE_READ_EPOCH);
  else
    page_take (follow, &list);
  gt_store_list_free (&list);
  if (follow->whole && follow->options.ask)
    follow_later (follow, READ_PAUSE);
  else
    follow_next (follow, 0);
}

/* What a watch tells of a former epoch's position is not believed, whether or
   not the store says that it has lost it: the same revision may exist again.
   Gives 0 where all is to be read anew. */
static int
watch_holds (gt_follow_t *follow, gt_store_state_t state)
{
  if (follow_former (follow, follow->at))
    {
      follow_restart (follow, GT_STORE_READ_EPOCH);
      return 0;
    }
  if (state != GT_STORE_LOST)
    return 1;
  EL_LOG (EL_LOG_INFO, "store_history_lost",
          EL_FS ("prefix", follow->options.prefix),
          EL_FN ("epoch", follow->at.epoch),
          EL_FN ("revision", follow->at.revision));
  follow_restart (follow, GT_STORE_READ_HISTORY);
  return 0;
}

static void
changes_take (gt_follow_t *follow, const gt_store_list_t *list)
{
  pr_store_position_t before = follow->at;
  size_t i;

  for (i = 0; i < list->n; i++)
    gt_keys_item (follow->keys, follow->at.epoch, &list->items[i]);
  if (list->revision > follow->at.revision)
    follow->at.revision = list->revision;
  told (follow, "store", before, 0);
  follow_known (follow, follow->sent);
}

static void
watch_done (void *arg, const net_result_t *result)
{
  gt_follow_t *follow = arg;
  gt_store_list_t list = { 0 };
  gt_store_state_t state = GT_STORE_BAD;
  int pause;

  follow->call = NULL;
  if (result->net == NET_OK)
    state = follow->options.store->dialect->read_list (result, &list);
  if (result->net == NET_OK && !watch_holds (follow, state))
    follow_next (follow, 0);
  else if (state != GT_STORE_OK)
    follow_failed (follow, "watch", result);
  else
    {
      follow_works (follow);
      changes_take (follow, &list);
      pause = list.n && follow->options.gather;
      if (pause)
        follow_later (follow, follow->options.gather);
      else
        follow_next (follow, 0);
    }
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
news_take (gt_follow_t *follow, const pr_store_update_t *news)
{
  pr_store_position_t before = follow->at;
  size_t i;

  if (news->whole)
    gt_keys_begin (follow->keys);
  for (i = 0; i < news->n; i++)
    gt_keys_item (follow->keys, news->at.epoch, &news->items[i]);
  if (news->whole)
    gt_keys_end (follow->keys, news->at);
  if (pr_store_position_cmp (news->at, follow->at) > 0)
    follow->at = news->at;
  told (follow, "host", before, news->whole);
}

/* Whether news can be taken in: of the latest epoch, changes only on top of
   what is known of it. */
static int
news_fit (const gt_follow_t *follow, const pr_store_update_t *news,
          el_time_t now)
{
  return news && news->as_of + follow->options.news_old >= now
         && !follow_former (follow, news->at)
         && (news->whole || news->at.epoch == follow->at.epoch);
}

/* Another host has told. When it could not, or what it knows is old, the store
   is asked. */
static void
news_told (void *arg, const pr_store_update_t *news)
{
  gt_follow_t *follow = arg;
  el_time_t now = net_clock_now (follow->options.store->clock);

  follow->asking = 0;
  if (news)
    gt_follow_epoch (follow, news->at.epoch);
  if (!news_fit (follow, news, now))
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

  follow->asking
      = o->ask && follow->whole && !follow->doubt
        && o->ask (o->arg, follow->at, follow->old, news_told, follow);
  return follow->asking;
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

  o->store->dialect->watch (&path, o->prefix, follow->at.revision, wait);
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
    follow->read_since = follow->sent;
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
  follow->call_epoch = follow->options.store->epoch;
  if (follow->whole && follow_former (follow, follow->at))
    follow_restart (follow, GT_STORE_READ_EPOCH);
  if (follow->whole)
    follow_watch (follow);
  else
    follow_page (follow);
}

/* The store has begun an epoch. A call that left before it is of no use, and
   may have gone to a store that answers no more. */
static void
follow_epoch (void *arg)
{
  gt_follow_t *follow = arg;

  if (follow->asking
      || (follow->call && follow->call_epoch == follow->options.store->epoch))
    return;
  if (follow->call)
    net_client_cancel (follow->call);
  follow->call = NULL;
  follow_later (follow, 0);
}

/** A follower; it begins to read at once. */
gt_follow_t *
gt_follow_new (const gt_follow_options_t *options)
{
  gt_follow_t *follow = el_alloc (sizeof *follow);
  const gt_keys_options_t keys
      = { .item = options->item, .arg = options->arg };

  follow->options = *options;
  follow->keys = gt_keys_new (&keys);
  follow->settle.cb = follow_settle;
  follow->settle.arg = follow;
  follow->part.epoch = follow_epoch;
  follow->part.arg = follow;
  gt_store_join (options->store, &follow->part);
  follow->again.cb = follow_next;
  follow->again.arg = follow;
  follow_next (follow, 0);
  return follow;
}

/** Tell what was seen after a position, or all when not every removal since
    then is known; gives 0 where that epoch is not known here yet. The items
    belong to the follower; the list is freed by the caller. */
int
gt_follow_tell (const gt_follow_t *follow, pr_store_position_t after,
                pr_store_update_t *out)
{
  *out = (pr_store_update_t){ .at = follow->at, .as_of = follow->known };
  if (after.epoch > follow->at.epoch)
    return 0;
  gt_keys_tell (follow->keys, after, out);
  return 1;
}

/** Changes up to here were told. */
pr_store_position_t
gt_follow_position (const gt_follow_t *follow)
{
  return follow->at;
}

/** Another host knows that the store has begun EPOCH. */
void
gt_follow_epoch (gt_follow_t *follow, uint64_t epoch)
{
  gt_store_epoch (follow->options.store, epoch, "host");
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
  gt_store_leave (follow->options.store, &follow->part);
  net_clock_cancel (follow->options.store->clock, &follow->again);
  net_clock_cancel (follow->options.store->clock, &follow->settle);
  if (follow->call)
    net_client_cancel (follow->call);
  gt_keys_free (follow->keys);
  el_buf_free (&follow->page_after);
  free (follow);
}
