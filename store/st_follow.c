/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Mirrors the keys below a prefix: reads all, page by page, then watches for
 * changes, and reads all again if the store no longer keeps the requested
 * changes or has begun a new epoch. Changes may also come from another host.
 */
#include <stdlib.h>

#include "store.h"
#include "libstore.h"

/* Time limit of a call, on top of the wait of a watch: a call that takes
   longer never gets an answer. */
#define CALL_TIMEOUT (1500 * EL_MSEC)
/* While the store does not answer, calls ask for an immediate answer and have
   a shorter time limit: a call sent just before the store recovers must not
   delay the next one. */
#define RECOVERY_WAIT_MS 1
#define RECOVERY_TIMEOUT (800 * EL_MSEC)

/* A host that got an outdated answer from another host asks the store itself
   at once, and after each failure half as often. In between it asks the other
   hosts; the first host of each hall asks the store. */
#define FALLBACK_FIRST (2 * EL_SEC)
#define FALLBACK_MAX (8 * EL_SEC)
/* Delay before another host is asked after an unusable answer. */
#define PEER_RETRY (200 * EL_MSEC)
/* How long differences in a new epoch are held back. After the store is
   restored from an older copy, its writers write their lost changes again
   within about two seconds. */
#define HELD_DELAY (2500 * EL_MSEC)
/* Delay after a full read; the next result is as current as that of a watch
   that waits as long. In this time a host that has just started learns which
   other hosts it can ask. */
#define AFTER_READ_DELAY (700 * EL_MSEC)

struct st_follow
{
  st_follow_options_t options;
  st_store_listener_t listener;
  st_keys_t *keys;
  net_exchange_t *call;
  uint64_t call_epoch; /* latest known epoch when the call was sent */
  int peer_pending;    /* another host has not answered yet */
  el_timer_t timer;
  el_timer_t held_timer;
  el_time_t sent_at;                 /* when the call was sent */
  el_time_t read_started_at;         /* when the first page was requested */
  pr_store_position_t at;            /* changes up to it are known */
  pr_store_position_t read_position; /* position of the first page */
  el_buf_t page_cursor;              /* last key of the previous page */
  st_store_read_cause_t read_cause;  /* of the last or next full read */
  int complete;                      /* that read is complete */
  el_time_t synced_at;               /* all changes before it are known */
  unsigned stale_answers;  /* unusable answers of other hosts in a row */
  int ask_store;           /* another host had no usable answer: ask the
                              store once */
  el_time_t fallback_due;  /* the store is not asked again before */
  el_time_t fallback_wait; /* from one such call to the next, plus jitter */
  unsigned failures;
};

static void follow_set_synced (st_follow_t *follow, el_time_t as_of);
static void follow_run (void *arg, el_time_t now);

/* Logs what an answer from FROM, the store or another host, changed, and
   schedules the release of changes that were held back. BEFORE is the position
   before the answer. */
static void
changes_finish (st_follow_t *follow, const char *from,
                pr_store_position_t before, int whole)
{
  st_keys_counts_t counts = st_keys_counts_take (follow->keys);
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
    net_clock_set (follow->options.store->clock, &follow->held_timer,
                   HELD_DELAY);
}

/* Applies the held differences of a new epoch: the writers have had time to
   write their lost changes again. */
static void
follow_release_held (void *arg, el_time_t now)
{
  st_follow_t *follow = arg;

  (void)now;
  st_keys_release_held (follow->keys);
  changes_finish (follow, "settled", follow->at, 0);
}

static void
follow_schedule (st_follow_t *follow, el_time_t wait)
{
  net_clock_set (follow->options.store->clock, &follow->timer, wait);
}

static void
follow_failed (st_follow_t *follow, const char *what,
               const net_result_t *result)
{
  st_follow_options_t *o = &follow->options;
  el_time_t wait = st_store_retry_delay (o->store, result, follow->failures++);

  follow->ask_store = 0; /* the store does not answer either */

  if (follow->failures == 1)
    EL_LOG (EL_LOG_WARN, "store_lost", EL_FS ("prefix", o->prefix),
            EL_FC ("call", what), EL_FN ("status", result->status),
            EL_FN ("epoch", follow->at.epoch),
            EL_FN ("revision", follow->at.revision));
  follow_schedule (follow, wait);
}

static void
follow_recovered (st_follow_t *follow)
{
  if (follow->failures)
    EL_LOG (EL_LOG_INFO, "store_back",
            EL_FS ("prefix", follow->options.prefix),
            EL_FN ("failures", follow->failures),
            EL_FN ("epoch", follow->at.epoch),
            EL_FN ("revision", follow->at.revision));
  follow->failures = 0;
  follow->stale_answers = 0;
  follow->fallback_wait = 0;
  follow->fallback_due = 0;
  if (follow->ask_store)
    follow->options.peer_failed (follow->options.arg);
  follow->ask_store = 0;
}

/* Starts a full read anew. */
static void
follow_reread (st_follow_t *follow, st_store_read_cause_t read_cause)
{
  follow->complete = 0;
  follow->read_cause = read_cause;
  el_buf_reset (&follow->page_cursor);
}

/* Returns whether AT is in a previous epoch: neither changes after it nor
   further pages can be combined with it. */
static int
follow_stale (const st_follow_t *follow, pr_store_position_t at)
{
  return at.epoch != follow->options.store->epoch;
}

static void
page_apply (st_follow_t *follow, const st_store_list_t *list)
{
  st_store_t *store = follow->options.store;
  pr_store_position_t before = follow->at;
  size_t i;

  if (follow->page_cursor.len == 0)
    {
      follow->read_position
          = (pr_store_position_t){ store->epoch, list->revision };
      st_keys_begin_snapshot (follow->keys);
    }
  for (i = 0; i < list->n; i++)
    st_keys_apply (follow->keys, follow->read_position.epoch, &list->items[i]);
  el_buf_reset (&follow->page_cursor);
  if (list->more && list->n)
    {
      el_buf_add (&follow->page_cursor, list->items[list->n - 1].key);
      return;
    }
  store->counts.reads[follow->read_cause]++;
  follow->complete = 1;
  st_keys_end_snapshot (follow->keys, follow->read_position);
  follow->at = follow->read_position;
  changes_finish (follow, "store", before, 1);
  follow_set_synced (follow, follow->read_started_at);
}

static void
range_done (void *arg, const net_result_t *result)
{
  st_follow_t *follow = arg;
  st_store_list_t list = { 0 };

  follow->call = NULL;
  if (result->net != NET_OK
      || follow->options.store->dialect->read_list (result, &list) != ST_OK)
    {
      follow_reread (follow, follow->read_cause);
      follow_failed (follow, "range", result);
      return;
    }
  follow_recovered (follow);
  if (follow->page_cursor.len && follow_stale (follow, follow->read_position))
    follow_reread (follow, ST_READ_EPOCH);
  else
    page_apply (follow, &list);
  st_store_list_free (&list);
  if (follow->complete && follow->options.ask_peer)
    follow_schedule (follow, AFTER_READ_DELAY);
  else
    follow_run (follow, 0);
}

/* Returns 0 if the answer of a watch cannot be used and all keys have to be
   read again. No answer about changes after a position in a previous epoch is
   used, even if the store does not report the position as compacted: the same
   revision may exist again. */
static int
watch_usable (st_follow_t *follow, st_store_state_t state)
{
  if (follow_stale (follow, follow->at))
    {
      follow_reread (follow, ST_READ_EPOCH);
      return 0;
    }
  if (state != ST_COMPACTED)
    return 1;
  EL_LOG (EL_LOG_INFO, "store_history_lost",
          EL_FS ("prefix", follow->options.prefix),
          EL_FN ("epoch", follow->at.epoch),
          EL_FN ("revision", follow->at.revision));
  follow_reread (follow, ST_READ_HISTORY);
  return 0;
}

static void
changes_apply (st_follow_t *follow, const st_store_list_t *list)
{
  pr_store_position_t before = follow->at;
  size_t i;

  for (i = 0; i < list->n; i++)
    st_keys_apply (follow->keys, follow->at.epoch, &list->items[i]);
  if (list->revision > follow->at.revision)
    follow->at.revision = list->revision;
  changes_finish (follow, "store", before, 0);
  follow_set_synced (follow, follow->sent_at);
}

static void
watch_done (void *arg, const net_result_t *result)
{
  st_follow_t *follow = arg;
  st_store_list_t list = { 0 };
  st_store_state_t state = ST_INVALID;
  int pause;

  follow->call = NULL;
  if (result->net == NET_OK)
    state = follow->options.store->dialect->read_list (result, &list);
  if (result->net == NET_OK && !watch_usable (follow, state))
    follow_run (follow, 0);
  else if (state != ST_OK)
    follow_failed (follow, "watch", result);
  else
    {
      follow_recovered (follow);
      changes_apply (follow, &list);
      pause = list.n && follow->options.batch_delay;
      if (pause)
        follow_schedule (follow, follow->options.batch_delay);
      else
        follow_run (follow, 0);
    }
  st_store_list_free (&list);
}

static void
follow_set_synced (st_follow_t *follow, el_time_t as_of)
{
  if (as_of > follow->synced_at)
    follow->synced_at = as_of;
  follow->options.known (follow->options.arg, as_of);
}

/* Another host had no usable answer. The store is asked, at a limited rate; if
   it answers, that host is at fault. */
static void
update_rejected (st_follow_t *follow, el_time_t now)
{
  st_store_t *store = follow->options.store;

  follow->stale_answers++;
  if (now < follow->fallback_due)
    {
      follow_schedule (follow, PEER_RETRY);
      return;
    }
  follow->fallback_wait
      = follow->fallback_wait ? 2 * follow->fallback_wait : FALLBACK_FIRST;
  if (follow->fallback_wait > FALLBACK_MAX)
    follow->fallback_wait = FALLBACK_MAX;
  follow->fallback_due = now + follow->fallback_wait
                         + el_random (&store->random) % follow->fallback_wait;
  follow->ask_store = 1;
  follow_run (follow, 0);
}

static void
update_apply (st_follow_t *follow, const pr_store_update_t *update)
{
  pr_store_position_t before = follow->at;
  size_t i;

  if (update->whole)
    st_keys_begin_snapshot (follow->keys);
  for (i = 0; i < update->n; i++)
    st_keys_apply (follow->keys, update->at.epoch, &update->items[i]);
  if (update->whole)
    st_keys_end_snapshot (follow->keys, update->at);
  if (pr_store_position_cmp (update->at, follow->at) > 0)
    follow->at = update->at;
  changes_finish (follow, "host", before, update->whole);
}

/* Returns whether another host's answer can be applied: it is recent, of the
   latest epoch, and contains all keys unless this host has keys of that
   epoch. */
static int
update_usable (const st_follow_t *follow, const pr_store_update_t *update,
               el_time_t now)
{
  return update && update->as_of + follow->options.update_max_age >= now
         && !follow_stale (follow, update->at)
         && (update->whole || update->at.epoch == follow->at.epoch);
}

/* Another host has answered. If UPDATE is NULL or cannot be used, the store is
   asked. */
static void
update_done (void *arg, const pr_store_update_t *update)
{
  st_follow_t *follow = arg;
  el_time_t now = net_clock_now (follow->options.store->clock);

  follow->peer_pending = 0;
  if (update)
    st_follow_observe_epoch (follow, update->at.epoch);
  if (!update_usable (follow, update, now))
    {
      update_rejected (follow, now);
      return;
    }
  follow_recovered (follow);
  update_apply (follow, update);
  follow_set_synced (follow, update->as_of);
  follow_run (follow, 0);
}

/* Asks another host in place of the store; returns whether it did. */
static int
follow_ask_peer (st_follow_t *follow)
{
  st_follow_options_t *o = &follow->options;

  follow->peer_pending
      = o->ask_peer && follow->complete && !follow->ask_store
        && o->ask_peer (o->arg, follow->at, follow->stale_answers, update_done,
                        follow);
  return follow->peer_pending;
}

/* Watches for changes. A store that did not answer before is asked for an
   immediate answer. */
static void
follow_watch (st_follow_t *follow)
{
  st_follow_options_t *o = &follow->options;
  el_buf_t path = { NULL, 0, 0 };
  int recovering = follow->failures || follow->ask_store;
  uint64_t wait = recovering ? RECOVERY_WAIT_MS : o->wait_ms;
  el_time_t limit = recovering ? RECOVERY_TIMEOUT : CALL_TIMEOUT;

  o->store->dialect->watch (&path, o->prefix, follow->at.revision, wait);
  follow->call = st_store_call (o->store, "GET", &path, NULL,
                                wait * EL_MSEC + limit, watch_done, follow);
  el_buf_free (&path);
}

/* Requests the first or the next page of a full read. */
static void
follow_page (st_follow_t *follow)
{
  st_follow_options_t *o = &follow->options;
  el_buf_t path = { NULL, 0, 0 };

  if (follow->page_cursor.len == 0)
    follow->read_started_at = follow->sent_at;
  o->store->dialect->range (&path, o->prefix,
                            el_buf_str (&follow->page_cursor));
  follow->call = st_store_call (
      o->store, "GET", &path, NULL,
      follow->failures ? RECOVERY_TIMEOUT : CALL_TIMEOUT, range_done, follow);
  el_buf_free (&path);
}

/* Sends the next request, to another host or to the store. */
static void
follow_run (void *arg, el_time_t now)
{
  st_follow_t *follow = arg;
  el_time_t retry_after = st_store_retry_after (follow->options.store);

  (void)now;
  if (follow_ask_peer (follow))
    return;
  if (retry_after)
    {
      follow_schedule (follow, retry_after);
      return;
    }
  follow->sent_at = net_clock_now (follow->options.store->clock);
  follow->call_epoch = follow->options.store->epoch;
  if (follow->complete && follow_stale (follow, follow->at))
    follow_reread (follow, ST_READ_EPOCH);
  if (follow->complete)
    follow_watch (follow);
  else
    follow_page (follow);
}

/* Called when the store has begun a new epoch. A call that was sent before is
   useless and may have gone to a server that no longer answers: it is
   cancelled. */
static void
follow_epoch_changed (void *arg)
{
  st_follow_t *follow = arg;

  if (follow->peer_pending
      || (follow->call && follow->call_epoch == follow->options.store->epoch))
    return;
  if (follow->call)
    net_client_cancel (follow->call);
  follow->call = NULL;
  follow_schedule (follow, 0);
}

/** Creates a follower and starts the first read. */
st_follow_t *
st_follow_new (const st_follow_options_t *options)
{
  st_follow_t *follow = el_alloc (sizeof *follow);
  const st_keys_options_t keys
      = { .item = options->item, .arg = options->arg };

  follow->options = *options;
  follow->keys = st_keys_new (&keys);
  follow->held_timer.cb = follow_release_held;
  follow->held_timer.arg = follow;
  follow->listener.epoch = follow_epoch_changed;
  follow->listener.arg = follow;
  st_store_add_listener (options->store, &follow->listener);
  follow->timer.cb = follow_run;
  follow->timer.arg = follow;
  follow_run (follow, 0);
  return follow;
}

/** Writes to OUT the changes after a position, or all keys if not every
    removal since then is known; returns 0 if that epoch is not known here yet.
    The items belong to the follower; the caller frees the list. */
int
st_follow_changes_since (const st_follow_t *follow, pr_store_position_t after,
                         pr_store_update_t *out)
{
  *out = (pr_store_update_t){ .at = follow->at, .as_of = follow->synced_at };
  if (after.epoch > follow->at.epoch)
    return 0;
  st_keys_changes_since (follow->keys, after, out);
  return 1;
}

/** Returns the position up to which changes are known. */
pr_store_position_t
st_follow_position (const st_follow_t *follow)
{
  return follow->at;
}

/** Records that the store has begun EPOCH, as reported by another host. */
void
st_follow_observe_epoch (st_follow_t *follow, uint64_t epoch)
{
  st_store_observe_epoch (follow->options.store, epoch, "host");
}

/** Returns the time before which all changes are known; 0 if none are. */
el_time_t
st_follow_synced_at (const st_follow_t *follow)
{
  return follow->synced_at;
}

/** Cancels all calls and frees the follower. */
void
st_follow_free (st_follow_t *follow)
{
  st_store_remove_listener (follow->options.store, &follow->listener);
  net_clock_cancel (follow->options.store->clock, &follow->timer);
  net_clock_cancel (follow->options.store->clock, &follow->held_timer);
  if (follow->call)
    net_client_cancel (follow->call);
  st_keys_free (follow->keys);
  el_buf_free (&follow->page_cursor);
  free (follow);
}
