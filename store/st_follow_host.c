/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The follower's exchange with other hosts: what it asks them for and does
 * with their answers, and what it gives them.
 */
#include "libstore.h"

/* Delay before another host is asked after an unusable answer, or after
   none. */
#define HOST_RETRY (200 * EL_MSEC)
#define HOST_FAILED_RETRY (20 * EL_MSEC)
/* Size of a page or list of changes for another host. */
#define UPDATE_BYTES_MAX ((size_t)64 << 10)

/* The answer of another host to a read is its next page. */
static co_feed_answer_t
host_page_apply (st_follow_t *follow, const pr_store_update_t *update)
{
  follow_page_t page = { .from = "host",
                         .items = update->items,
                         .n = update->n,
                         .more = update->more,
                         .at = update->at,
                         .as_of = update->as_of };

  if (!follow->reading || follow_stale (follow, update->at))
    return CO_FEED_STALE;
  if (follow_read_stale (follow))
    {
      follow_reread (follow, ST_READ_EPOCH);
      return CO_FEED_CURRENT;
    }
  /* A host that has seen less than the sender of the first page may lack
     changes that this host will not ask for again. */
  if (follow->page_cursor.len
      && pr_store_position_cmp (update->at, follow->read_position) < 0)
    return CO_FEED_STALE;
  if (!el_str_eq (el_buf_str (&follow->page_cursor),
                  el_buf_str (&follow->host_cursor)))
    return CO_FEED_CURRENT;
  follow_page_apply (follow, &page);
  return CO_FEED_CURRENT;
}

/* Returns whether the data of another host are new enough: in general, not
   older than update_max_age; those of a stand-in, newer than this host's. */
static int
update_current (const st_follow_t *follow, const pr_store_update_t *update)
{
  if (follow->host_stand_in)
    return update->as_of > follow->synced_at;
  return update->as_of + follow->options.update_max_age >= follow_now (follow);
}

static co_feed_answer_t
host_changes_apply (st_follow_t *follow, const pr_store_update_t *update)
{
  pr_store_position_t before = follow->at;
  int current = update_current (follow, update);
  size_t i;

  if (follow->reading || follow_stale (follow, update->at)
      || update->at.epoch != follow->at.epoch)
    return CO_FEED_STALE;
  for (i = 0; i < update->n; i++)
    st_keys_apply (follow->keys, update->at.epoch, &update->items[i]);
  if (pr_store_position_cmp (update->at, follow->at) > 0)
    follow->at = update->at;
  follow_changes_finish (follow, "host", before, 0);
  if (!current)
    return CO_FEED_STALE;
  if (!update->more)
    follow_set_synced (follow, update->as_of);
  return CO_FEED_CURRENT;
}

static co_feed_answer_t
host_none (st_follow_t *follow, const pr_store_update_t *update)
{
  (void)follow;
  (void)update;
  return CO_FEED_STALE;
}

static co_feed_answer_t
host_read_all (st_follow_t *follow, const pr_store_update_t *update)
{
  if (follow_stale (follow, update->at))
    return CO_FEED_STALE;
  if (!follow->reading)
    follow_reread (follow, follow_stale (follow, follow->at)
                               ? ST_READ_EPOCH
                               : ST_READ_HISTORY);
  return CO_FEED_CURRENT;
}

/* What is done with the answer of another host. */
static co_feed_answer_t (*const host_answers[]) (st_follow_t *follow,
                                                 const pr_store_update_t *)
    = {
        [PR_UPDATE_NONE] = host_none,
        [PR_UPDATE_CHANGES] = host_changes_apply,
        [PR_UPDATE_PAGE] = host_page_apply,
        [PR_UPDATE_READ_ALL] = host_read_all,
      };

/* Another host has answered; UPDATE is NULL if it has not. */
static void
host_done (void *arg, const pr_store_update_t *update)
{
  st_follow_t *follow = arg;
  el_time_t now = follow_now (follow);
  co_feed_answer_t answer = CO_FEED_NONE;

  follow->host_pending = 0;
  if (update)
    {
      st_follow_observe_epoch (follow, update->at.epoch);
      answer = host_answers[update->state](follow, update);
    }
  if (answer != CO_FEED_CURRENT)
    follow->host_at
        = now + (answer == CO_FEED_STALE ? HOST_RETRY : HOST_FAILED_RETRY);
  follow->stood_in = follow->host_stand_in && answer == CO_FEED_CURRENT;
  co_feed_host_done (follow->options.feed, now, &follow->host,
                     follow->host_stand_in, answer);
  follow_wake (follow);
}

/** Asks the host that PLAN names for changes or the next page. */
void
follow_ask_host (st_follow_t *follow, const co_feed_plan_t *plan)
{
  st_follow_options_t *o = &follow->options;
  pr_store_query_t query = { .after = follow->at,
                             .read = follow->reading,
                             .cursor = el_buf_str (&follow->page_cursor) };

  if (follow->reading)
    query.after = follow->page_cursor.len
                      ? follow->read_position
                      : (pr_store_position_t){ o->store->epoch, 0 };
  el_buf_reset (&follow->host_cursor);
  el_buf_add (&follow->host_cursor, query.cursor);
  if (plan->stand_in
      && !co_incarnation_eq (&follow->host, &plan->host->incarnation))
    EL_LOG (EL_LOG_INFO, "store_stand_in", EL_FS ("peer", plan->host->peer),
            EL_FN ("epoch", follow->at.epoch),
            EL_FN ("revision", follow->at.revision),
            EL_FN ("known_age_us", follow_now (follow) - follow->synced_at));
  follow->host = plan->host->incarnation;
  follow->host_stand_in = plan->stand_in;
  follow->host_pending = 1;
  o->ask_host (o->arg, plan->host, &query, plan->stand_in, host_done, follow);
}

/* Fills OUT with the next page of a host that reads all keys. While this host
   reads them itself, it passes on those that it has. */
static void
update_page (st_follow_t *follow, const pr_store_query_t *query,
             pr_store_update_t *out)
{
  int partial = follow->reading
                && (!follow->complete || follow_stale (follow, follow->at));
  el_str_t last = { NULL, 0 };

  if (partial)
    {
      last = el_buf_str (&follow->page_cursor);
      out->at = follow->read_position;
      out->as_of = follow->read_as_of;
      if (last.len == 0 || follow_read_stale (follow))
        return;
    }
  if (query->after.epoch > out->at.epoch
      || (query->cursor.len
          && pr_store_position_cmp (out->at, query->after) < 0))
    return;
  st_keys_page (follow->keys, query->cursor, last, UPDATE_BYTES_MAX, out);
  out->more = out->more || partial;
  if (!partial || out->n)
    out->state = PR_UPDATE_PAGE;
}

/** Writes to OUT what another host asks for, in pieces of limited size. The
    items belong to the follower; the caller frees the list. */
void
st_follow_update (st_follow_t *follow, const pr_store_query_t *query,
                  pr_store_update_t *out)
{
  *out = (pr_store_update_t){ .at = follow->at, .as_of = follow->synced_at };
  if (query->read)
    {
      update_page (follow, query, out);
      return;
    }
  if (!follow->complete || query->after.epoch > follow->at.epoch)
    return;
  out->state = st_keys_changes_since (follow->keys, query->after,
                                      UPDATE_BYTES_MAX, out)
                   ? PR_UPDATE_CHANGES
                   : PR_UPDATE_READ_ALL;
}
