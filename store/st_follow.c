/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Mirrors the keys below a prefix: reads all, page by page, then gets the
 * changes. Pages and changes come from the store or from another host, as the
 * feed decides; a page is applied if it continues where the one before it
 * ended, whoever sent it. All keys are read again if the changes are no longer
 * known, or if the store has begun a new epoch.
 */
#include <stdlib.h>

#include "libstore.h"
#include "store.h"

/* Time limit of a call, on top of the wait of a watch: a call that takes
   longer never gets an answer. */
#define CALL_TIMEOUT (1500 * EL_MSEC)
/* A call that takes this long, on top of the wait of a watch, is overdue:
   meanwhile another host is to ask the store. */
#define CALL_OVERDUE (300 * EL_MSEC)
/* While the store does not answer, calls ask for an immediate answer and have
   a shorter time limit: a call sent just before the store recovers must not
   delay the next one. */
#define RECOVERY_WAIT_MS 1
#define RECOVERY_TIMEOUT (800 * EL_MSEC)
/* Least delay between calls that fail while another host asks the store in
   place of this one. */
#define STOOD_IN_RETRY EL_SEC
/* How long differences in a new epoch are held back. After the store is
   restored from an older copy, its writers write their lost changes again
   within about two seconds. */
#define HELD_DELAY (2500 * EL_MSEC)
/* Delay after a full read; the next result is as current as that of a watch
   that waits as long. */
#define AFTER_READ_DELAY (700 * EL_MSEC)
static void follow_run (void *arg, el_time_t now);

/** Logs what an answer from FROM, the store or another host, changed, and
   schedules the release of changes that were held back. BEFORE is the position
   before the answer. */
void
follow_changes_finish (st_follow_t *follow, const char *from,
                       pr_store_position_t before, int whole)
{
  st_keys_counts_t counts = st_keys_counts_take (follow->mirror.keys);
  int notable = whole || counts.older;

  EL_LOG (notable ? EL_LOG_INFO : EL_LOG_DEBUG, "store_told",
          EL_FC ("by", from), EL_FN ("whole", whole),
          EL_FN ("epoch", follow->mirror.at.epoch),
          EL_FN ("revision", follow->mirror.at.revision),
          EL_FN ("epoch_before", before.epoch),
          EL_FN ("revision_before", before.revision),
          EL_FN ("taken", counts.taken), EL_FN ("older", counts.older),
          EL_FN ("held", counts.held));
  if (counts.held || (whole && st_keys_has_held (follow->mirror.keys)))
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
  st_keys_release_held (follow->mirror.keys);
  follow_changes_finish (follow, "settled", follow->mirror.at, 0);
}

static void
follow_schedule (st_follow_t *follow, el_time_t wait)
{
  net_clock_set (follow->options.store->clock, &follow->timer, wait);
}

/** Plans anew as soon as the loop runs. */
void
follow_wake (st_follow_t *follow)
{
  follow_schedule (follow, 0);
}

/** Returns the time of the follower's clock. */
el_time_t
follow_now (const st_follow_t *follow)
{
  return net_clock_now (follow->options.store->clock);
}

static void
feed_store_done (st_follow_t *follow, int ok)
{
  if (follow->options.feed)
    co_feed_store_done (follow->options.feed, follow_now (follow), ok);
}

static void
follow_failed (st_follow_t *follow, const char *what,
               const net_result_t *result)
{
  st_follow_options_t *o = &follow->options;
  el_time_t wait = st_store_retry_delay (o->store, result, follow->failures++);

  if (follow->stood_in && wait < STOOD_IN_RETRY)
    wait = STOOD_IN_RETRY;
  follow->store_at = follow_now (follow) + wait;
  if (follow->failures == 1)
    EL_LOG (EL_LOG_WARN, "store_lost", EL_FS ("prefix", o->prefix),
            EL_FC ("call", what), EL_FN ("status", result->status),
            EL_FN ("epoch", follow->mirror.at.epoch),
            EL_FN ("revision", follow->mirror.at.revision));
  feed_store_done (follow, 0);
  if (o->progress)
    o->progress (o->arg);
  follow_wake (follow);
}

static void
follow_recovered (st_follow_t *follow)
{
  if (follow->failures)
    EL_LOG (EL_LOG_INFO, "store_back",
            EL_FS ("prefix", follow->options.prefix),
            EL_FN ("failures", follow->failures),
            EL_FN ("epoch", follow->mirror.at.epoch),
            EL_FN ("revision", follow->mirror.at.revision));
  follow->failures = 0;
  follow->stood_in = 0;
  follow->answered_at = follow->call_at;
  feed_store_done (follow, 1);
}

/** Starts a full read anew. The keys known so far stay, and so does their
   position. */
void
follow_reread (st_follow_t *follow, st_store_read_cause_t read_cause)
{
  follow->read_cause = read_cause;
  st_mirror_reread (&follow->mirror);
}

/** Returns whether AT is in a previous epoch: neither changes after it nor
   further pages can be combined with it. */
int
follow_stale (const st_follow_t *follow, pr_store_position_t at)
{
  return at.epoch != follow->options.store->epoch;
}

/** Records that all changes made before AS_OF are known. */
void
follow_set_synced (st_follow_t *follow, el_time_t as_of)
{
  if (as_of <= follow->synced_at)
    return;
  follow->synced_at = as_of;
  follow->options.known (follow->options.arg, as_of);
}

/** Finishes a page of a full read, which RESULT is of; the last one ends it.
    BEFORE is the position before it. */
void
follow_page_done (st_follow_t *follow, const char *from,
                  pr_store_position_t before, st_mirror_result_t result)
{
  if (result == ST_MIRROR_PIECE && follow->options.progress)
    follow->options.progress (follow->options.arg);
  if (result != ST_MIRROR_WHOLE)
    return;
  follow->options.store->counts.reads[follow->read_cause]++;
  follow_changes_finish (follow, from, before, 1);
  follow_set_synced (follow, follow->mirror.read_as_of);
}

/* Applies a page that the store answered with. A page that neither continues
   the read nor was overtaken by another host's shows that the store is behind
   the first page. */
static void
store_page_apply (st_follow_t *follow, const st_store_list_t *list)
{
  el_str_t cursor = el_buf_str (&follow->call_cursor);
  const st_keys_page_t page
      = { .read = follow->call_read,
          .after = cursor,
          .items = list->items,
          .n = list->n,
          .more = list->more,
          .at = { follow->options.store->epoch, list->revision },
          .as_of = follow->call_at };
  pr_store_position_t before = follow->mirror.at;
  int awaited = follow->call_read == follow->mirror.read
                && el_str_eq (cursor, el_buf_str (&follow->mirror.cursor));
  st_mirror_result_t result = st_mirror_apply_page (&follow->mirror, &page);

  if (result == ST_MIRROR_IGNORED && awaited)
    follow_reread (follow, follow->read_cause);
  else
    follow_page_done (follow, "store", before, result);
}

static void
range_done (void *arg, const net_result_t *result)
{
  st_follow_t *follow = arg;
  st_store_t *store = follow->options.store;
  st_store_list_t list = { 0 };

  follow->call = NULL;
  net_clock_cancel (store->clock, &follow->overdue_timer);
  if (result->net != NET_OK
      || store->dialect->read_list (result, &list) != ST_OK
      || (list.more && !list.n))
    {
      st_store_list_free (&list);
      follow_failed (follow, "range", result);
      return;
    }
  follow_recovered (follow);
  if (st_mirror_read_is_stale (&follow->mirror, store->epoch))
    follow_reread (follow, ST_READ_EPOCH);
  else
    store_page_apply (follow, &list);
  st_store_list_free (&list);
  if (!follow->mirror.reading && follow->options.feed)
    follow->store_at = follow_now (follow) + AFTER_READ_DELAY;
  follow_run (follow, 0);
}

/* Handles a position whose changes the store no longer has. A host that only
   asks the store now and then gets them from another host. */
static void
history_lost (st_follow_t *follow)
{
  EL_LOG (EL_LOG_INFO, "store_history_lost",
          EL_FS ("prefix", follow->options.prefix),
          EL_FN ("epoch", follow->mirror.at.epoch),
          EL_FN ("revision", follow->mirror.at.revision));
  if (follow->call_fallback)
    feed_store_done (follow, 0);
  else
    follow_reread (follow, ST_READ_HISTORY);
}

/* Returns 0 if the answer of a watch cannot be used. No answer about changes
   after a position in a previous epoch is used, even if the store does not
   report the position as compacted: the same revision may exist again. */
static int
watch_usable (st_follow_t *follow, st_store_state_t state)
{
  if (follow_stale (follow, follow->mirror.at))
    {
      follow_reread (follow, ST_READ_EPOCH);
      return 0;
    }
  if (state != ST_COMPACTED)
    return 1;
  history_lost (follow);
  return 0;
}

static void
changes_apply (st_follow_t *follow, const st_store_list_t *list)
{
  pr_store_position_t before = follow->mirror.at;

  if (st_mirror_apply_watch (&follow->mirror, follow->call_after, list->items,
                             list->n, list->revision)
      == ST_MIRROR_IGNORED)
    return;
  follow_changes_finish (follow, "store", before, 0);
  follow_set_synced (follow, follow->call_at);
}

static void
watch_done (void *arg, const net_result_t *result)
{
  st_follow_t *follow = arg;
  st_store_list_t list = { 0 };
  st_store_state_t state = ST_INVALID;

  follow->call = NULL;
  net_clock_cancel (follow->options.store->clock, &follow->overdue_timer);
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
      if (list.n && follow->options.batch_delay)
        follow->store_at = follow_now (follow) + follow->options.batch_delay;
      follow_run (follow, 0);
    }
  st_store_list_free (&list);
}

/* The call to the store is overdue. */
static void
call_overdue (void *arg, el_time_t now)
{
  st_follow_t *follow = arg;

  (void)now;
  co_feed_store_overdue (follow->options.feed);
  follow_run (follow, 0);
}

static void
call_send (st_follow_t *follow, const el_buf_t *path, uint64_t wait_ms,
           int recovering, net_result_cb done)
{
  st_follow_options_t *o = &follow->options;
  el_time_t wait = wait_ms * EL_MSEC;

  follow->call_at = follow_now (follow);
  follow->call_epoch = o->store->epoch;
  follow->call = st_store_call (
      o->store, "GET", path, NULL,
      wait + (recovering ? RECOVERY_TIMEOUT : CALL_TIMEOUT), done, follow);
  if (o->feed)
    net_clock_set (o->store->clock, &follow->overdue_timer,
                   wait + CALL_OVERDUE);
}

/* Watches for changes. If the store has not answered lately, it is asked for
   an immediate answer. */
static void
follow_watch (st_follow_t *follow)
{
  st_follow_options_t *o = &follow->options;
  el_buf_t path = { NULL, 0, 0 };
  int recovering = follow->failures
                   || follow_now (follow) > follow->answered_at
                                                + o->wait_ms * EL_MSEC
                                                + CALL_TIMEOUT;
  uint64_t wait = recovering ? RECOVERY_WAIT_MS : o->wait_ms;

  follow->call_after = follow->mirror.at;
  o->store->dialect->watch (&path, o->prefix, follow->mirror.at.revision,
                            wait);
  call_send (follow, &path, wait, recovering, watch_done);
  el_buf_free (&path);
}

/* Requests the first or the next page of a full read. */
static void
follow_read (st_follow_t *follow)
{
  st_follow_options_t *o = &follow->options;
  el_buf_t path = { NULL, 0, 0 };
  el_str_t cursor = el_buf_str (&follow->mirror.cursor);

  follow->call_read = follow->mirror.read;
  el_buf_reset (&follow->call_cursor);
  el_buf_add (&follow->call_cursor, cursor);
  o->store->dialect->range (&path, o->prefix, cursor);
  call_send (follow, &path, 0, follow->failures > 0, range_done);
  el_buf_free (&path);
}

/* Returns the earlier of DUE and AT. */
static el_time_t
sooner (el_time_t due, el_time_t at)
{
  return at < due ? at : due;
}

/* Asks the store or other hosts, as the feed plans, unless it is too soon or
   they have been asked. */
static void
follow_run (void *arg, el_time_t now)
{
  st_follow_t *follow = arg;
  st_follow_options_t *o = &follow->options;
  el_time_t retry_after = st_store_retry_after (o->store);
  co_feed_plan_t plan = { .store = 1, .until = EL_TIME_NEVER };
  el_time_t due;
  int ask_host;
  int ask_store;

  now = follow_now (follow);
  if (o->feed)
    co_feed_plan (o->feed, now, &plan);
  if (!follow->mirror.reading && follow_stale (follow, follow->mirror.at))
    follow_reread (follow, ST_READ_EPOCH);
  if (retry_after && follow->store_at < now + retry_after)
    follow->store_at = now + retry_after;
  ask_host = plan.host && !follow->host_pending;
  ask_store = plan.store && !follow->call;
  due = plan.until;
  if (ask_host && now < follow->host_at)
    due = sooner (due, follow->host_at);
  if (ask_store && now < follow->store_at)
    due = sooner (due, follow->store_at);
  if (due != EL_TIME_NEVER)
    follow_schedule (follow, due > now ? due - now : 0);
  if (ask_store && now >= follow->store_at)
    {
      follow->call_fallback = plan.fallback;
      if (follow->mirror.reading)
        follow_read (follow);
      else
        follow_watch (follow);
    }
  if (ask_host && now >= follow->host_at)
    follow_ask_host (follow, &plan);
}

/* Called when the store has begun a new epoch. A call that was sent before is
   useless and may have gone to a server that no longer answers: it is
   cancelled. */
static void
follow_epoch_changed (void *arg)
{
  st_follow_t *follow = arg;

  if (follow->call && follow->call_epoch != follow->options.store->epoch)
    {
      net_client_cancel (follow->call);
      net_clock_cancel (follow->options.store->clock, &follow->overdue_timer);
      follow->call = NULL;
      follow->store_at = 0;
    }
  follow_wake (follow);
}

/** Creates a follower and starts the first read. */
st_follow_t *
st_follow_new (const st_follow_options_t *options)
{
  st_follow_t *follow = el_alloc (sizeof *follow);
  const st_keys_options_t keys
      = { .item = options->item, .arg = options->arg };

  follow->options = *options;
  st_mirror_init (&follow->mirror, &keys);
  follow->held_timer.cb = follow_release_held;
  follow->held_timer.arg = follow;
  follow->listener.epoch = follow_epoch_changed;
  follow->listener.arg = follow;
  st_store_add_listener (options->store, &follow->listener);
  follow->timer.cb = follow_run;
  follow->timer.arg = follow;
  follow->overdue_timer.cb = call_overdue;
  follow->overdue_timer.arg = follow;
  follow_run (follow, 0);
  return follow;
}

/** Asks the store for a while, as another host requests that cannot. */
void
st_follow_stand_in (st_follow_t *follow)
{
  if (!follow->options.feed)
    return;
  co_feed_stand_in (follow->options.feed, follow_now (follow));
  follow_wake (follow);
}

/** Returns the position up to which changes are known. */
pr_store_position_t
st_follow_position (const st_follow_t *follow)
{
  return follow->mirror.at;
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
  net_clock_cancel (follow->options.store->clock, &follow->overdue_timer);
  if (follow->call)
    net_client_cancel (follow->call);
  st_mirror_free (&follow->mirror);
  el_buf_free (&follow->call_cursor);
  free (follow);
}
