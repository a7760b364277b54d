/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Declarations shared by the source files of the store library: a host's
 * mirror of the keys of a store, with the position of the last change of each,
 * and the follower that keeps it up to date.
 */
#ifndef ELMARCH_LIBSTORE_H
#define ELMARCH_LIBSTORE_H

#include "store.h"

typedef struct st_keys st_keys_t;

typedef struct st_keys_options
{
  /** Called for a key that is new, changed or removed. Returns 0 if the value
      carries a version of its own that is older than the known one. */
  int (*item) (void *arg, const pr_store_item_t *item);
  void *arg;
} st_keys_options_t;

typedef struct st_keys_counts
{
  size_t taken; /**< changes passed to the callback */
  size_t older; /**< changes older than the known one, ignored */
  size_t
      held; /**< changes of a new epoch that wait for st_keys_release_held */
} st_keys_counts_t;

st_keys_t *st_keys_new (const st_keys_options_t *options);
void st_keys_free (st_keys_t *keys);
void st_keys_apply (st_keys_t *keys, uint64_t epoch,
                    const pr_store_item_t *item);
void st_keys_begin_snapshot (st_keys_t *keys);
void st_keys_end_snapshot (st_keys_t *keys, pr_store_position_t at);
void st_keys_release_held (st_keys_t *keys);
int st_keys_changes_since (const st_keys_t *keys, pr_store_position_t after,
                           size_t max_bytes, pr_store_update_t *out);
void st_keys_page (st_keys_t *keys, el_str_t after, el_str_t last,
                   size_t max_bytes, pr_store_update_t *out);
st_keys_counts_t st_keys_counts_take (st_keys_t *keys);

/* The follower: st_follow.c asks the store, st_follow_host.c other hosts. */

struct st_follow
{
  st_follow_options_t options;
  st_store_listener_t listener;
  st_keys_t *keys;
  net_exchange_t *call;
  uint64_t call_epoch;  /* latest known epoch when the call was sent */
  el_time_t call_at;    /* when the call was sent */
  el_buf_t call_cursor; /* with which a page was requested */
  int call_fallback;    /* this host should not have to ask the store */
  el_time_t store_at;   /* the store is not asked before */
  unsigned failures;    /* calls that failed in a row */
  el_time_t
      answered_at;  /* when the last call that the store answered was sent */
  int stood_in;     /* another host asks the store in place of this one */
  int host_pending; /* another host has not answered yet */
  int host_stand_in;
  co_incarnation_t host;
  el_buf_t host_cursor; /* with which it was asked */
  el_time_t host_at;    /* no host is asked before */
  el_timer_t timer;
  el_timer_t overdue_timer;
  el_timer_t held_timer;
  pr_store_position_t at; /* changes up to it are known */
  int complete;           /* all keys were read, in this epoch or another */
  int reading;            /* all keys are being read */
  el_time_t read_as_of;   /* when the first page was requested */
  pr_store_position_t read_position; /* of the first page */
  el_buf_t page_cursor;              /* last key of the previous page */
  st_store_read_cause_t read_cause;  /* of the last or next full read */
  el_time_t synced_at;               /* all changes before it are known */
};

/* A page of a full read, from the store or from another host. */
typedef struct follow_page
{
  const char *from;
  const pr_store_item_t *items;
  size_t n;
  int more;
  pr_store_position_t at;
  el_time_t as_of; /* when the page was requested, or the sender's data were
                      complete */
} follow_page_t;

void follow_changes_finish (st_follow_t *follow, const char *from,
                            pr_store_position_t before, int whole);
void follow_wake (st_follow_t *follow);
el_time_t follow_now (const st_follow_t *follow);
void follow_reread (st_follow_t *follow, st_store_read_cause_t read_cause);
int follow_stale (const st_follow_t *follow, pr_store_position_t at);
int follow_read_stale (const st_follow_t *follow);
void follow_set_synced (st_follow_t *follow, el_time_t as_of);
void follow_page_apply (st_follow_t *follow, const follow_page_t *page);
void follow_ask_host (st_follow_t *follow, const co_feed_plan_t *plan);

#endif
