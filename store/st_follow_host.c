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
  uint64_t epoch = follow->options.store->epoch;
  pr_store_position_t before = follow->mirror.at;
  st_mirror_result_t result;

  if (!follow->mirror.reading || follow_stale (follow, update->at))
    return CO_FEED_STALE;
  if (st_mirror_read_is_stale (&follow->mirror, epoch))
    {
      follow_reread (follow, ST_READ_EPOCH);
      return CO_FEED_CURRENT;
    }
  if (follow->mirror.asked_read != follow->mirror.read
      || !el_str_eq (el_buf_str (&follow->mirror.asked_cursor),
                     el_buf_str (&follow->mirror.cursor)))
    return CO_FEED_CURRENT;
  result = st_mirror_take_page (&follow->mirror, epoch, update);
  follow_page_done (follow, "host", before, result);
  return result == ST_MIRROR_IGNORED ? CO_FEED_STALE : CO_FEED_CURRENT;
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
  pr_store_position_t before = follow->mirror.at;
  int current = update_current (follow, update);
  st_mirror_result_t result = st_mirror_take_changes (
      &follow->mirror, follow->options.store->epoch, update);

  if (result == ST_MIRROR_IGNORED)
    return CO_FEED_STALE;
  follow_changes_finish (follow, "host", before, 0);
  if (!current)
    return CO_FEED_STALE;
  if (result == ST_MIRROR_WHOLE)
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
  if (!follow->mirror.reading)
    follow_reread (follow, follow_stale (follow, follow->mirror.at)
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
  pr_store_query_t query;

  st_mirror_ask (&follow->mirror, o->store->epoch, &plan->host->incarnation,
                 &query);
  if (plan->stand_in
      && !co_incarnation_eq (&follow->host, &plan->host->incarnation))
    EL_LOG (EL_LOG_INFO, "store_stand_in", EL_FS ("peer", plan->host->peer),
            EL_FN ("epoch", follow->mirror.at.epoch),
            EL_FN ("revision", follow->mirror.at.revision),
            EL_FN ("known_age_us", follow_now (follow) - follow->synced_at));
  follow->host = plan->host->incarnation;
  follow->host_stand_in = plan->stand_in;
  follow->host_pending = 1;
  o->ask_host (o->arg, plan->host, &query, plan->stand_in, host_done, follow);
}

/** Writes to OUT what another host asks for, in pieces of limited size. The
    items belong to the follower; the caller frees the list. */
void
st_follow_update (st_follow_t *follow, const pr_store_query_t *query,
                  pr_store_update_t *out)
{
  *out = (pr_store_update_t){ .as_of = follow->synced_at };
  st_mirror_give (&follow->mirror, follow->options.store->epoch, query,
                  UPDATE_BYTES_MAX, out);
  if (out->n)
    EL_LOG (EL_LOG_DEBUG, "store_given", EL_FN ("read", query->read),
            EL_FN ("after", query->after.revision),
            EL_FN ("sequence", query->sequence),
            EL_FN ("revision", out->at.revision), EL_FN ("keys", out->n),
            EL_FN ("more", out->more),
            EL_FN ("known_revision", follow->mirror.at.revision),
            EL_FN ("reading", follow->mirror.reading));
}
