/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Declarations shared by the source files of the store library: the keys of a
 * store, with the position of the last change of each, a host's mirror of
 * them, and the follower that keeps it up to date.
 */
#ifndef ELMARCH_LIBSTORE_H
#define ELMARCH_LIBSTORE_H

#include "map.h"
#include "store.h"

typedef struct st_keys st_keys_t;

typedef struct st_keys_options
{
  /** Called for a key that is new, changed or removed. Returns 0 if the value
      carries a version of its own that is older than the known one. */
  int (*item) (void *arg, const pr_store_item_t *item);
  void *arg;
  size_t gone_max; /**< removed keys that are kept; 0: the default limit */
} st_keys_options_t;

typedef struct st_keys_counts
{
  size_t taken; /**< changes passed to the callback */
  size_t older; /**< changes older than the known one, ignored */
  size_t
      held; /**< changes of a new epoch that wait for st_keys_release_held */
} st_keys_counts_t;

/* A key, its state and the position of its last change. */
typedef struct keys_entry
{
  char *name;
  size_t len;
  pr_store_position_t at;
  el_str_t value;
  int known; /* it has been passed to the callback */
  int gone;
  uint64_t held;     /* number of the read since which its state has not been
                        passed to the callback; 0: it has */
  int gone_early;    /* it may have been removed after AT */
  uint64_t sequence; /* when its last change was taken; see st_keys */
  uint64_t read;     /* number of the last read that contained it */
  uint64_t list;     /* number of the last list that contained its state */
  UT_hash_handle hh;
} keys_entry_t;

struct st_keys
{
  st_keys_options_t options;
  keys_entry_t *keys;
  uint64_t sequence;                  /* number of changes taken */
  uint64_t read;                      /* number of the last or current read */
  uint64_t list;                      /* number of the last or current list */
  int in_read;                        /* all keys are being read */
  pr_store_position_t newest;         /* of the changes taken */
  pr_store_position_t complete_since; /* all removals after it are known, but
                                         for those in the gap */
  pr_store_gap_t gap;                 /* in the epoch of complete_since */
  pr_store_position_t newest_page;    /* keys removed before it may be unknown,
                                         even if they existed at the position of
                                         the mirror */
  pr_store_position_t page_before;    /* newest_page before the current read */
  size_t ngone;
  size_t nheld;
  int unsorted; /* the table is not in the order of the keys' names */
  st_keys_counts_t counts;
};

/** A page of a read of all keys, from the store or from another host: the keys
    after AFTER in the order of their names. */
typedef struct st_keys_page
{
  uint64_t read;  /**< number of the read that it was requested for */
  el_str_t after; /**< last key of the previous page */
  const pr_store_item_t *items;
  size_t n;
  int more;
  pr_store_position_t at; /**< the keys are at least as new as it */
  el_time_t as_of; /**< when the page was requested, or the sender's data were
                      complete */
  uint64_t newest_page; /**< as in pr_store_update_t */
  int lags; /**< keys may be newer than AT, so that a key that the page lacks
   may have been removed after it */
} st_keys_page_t;

st_keys_t *st_keys_new (const st_keys_options_t *options);
void st_keys_free (st_keys_t *keys);
void st_keys_apply (st_keys_t *keys, uint64_t epoch,
                    const pr_store_item_t *item);
void st_keys_begin_read (st_keys_t *keys);
void st_keys_apply_page (st_keys_t *keys, const st_keys_page_t *page);
void st_keys_end_read (st_keys_t *keys, pr_store_position_t before,
                       pr_store_position_t at);
void st_keys_begin_list (st_keys_t *keys);
void st_keys_apply_list (st_keys_t *keys, pr_store_position_t known,
                         const pr_store_update_t *update);
void st_keys_end_list (st_keys_t *keys, pr_store_position_t before,
                       const pr_store_update_t *update);
void st_keys_release_held (st_keys_t *keys);
int st_keys_has_held (const st_keys_t *keys);
uint64_t st_keys_newest_page (const st_keys_t *keys, uint64_t epoch);
int st_keys_changes_since (const st_keys_t *keys,
                           const pr_store_query_t *query, size_t max_bytes,
                           pr_store_update_t *out);
void st_keys_page (st_keys_t *keys, el_str_t after, el_str_t last,
                   size_t max_bytes, pr_store_update_t *out);
st_keys_counts_t st_keys_counts_take (st_keys_t *keys);

/* Shared by st_keys.c, which changes the keys, and st_keys_give.c, which gives
   them to other hosts. */

int keys_name_cmp (el_str_t a, el_str_t b);
int keys_entry_cmp (const keys_entry_t *a, const keys_entry_t *b);
el_str_t keys_entry_name (const keys_entry_t *key);
pr_store_item_t keys_entry_item (const keys_entry_t *key);
keys_entry_t *keys_find (const st_keys_t *keys, el_str_t name);

/* The mirror: the keys and the position up to which all changes are known. */

typedef struct st_mirror
{
  st_keys_t *keys;
  pr_store_position_t at; /**< all changes up to it are known */
  int complete;           /**< all keys were read, in this epoch or another */
  int reading;            /**< all keys are being read */
  uint64_t read;          /**< number of the last or current read */
  pr_store_position_t read_at; /**< of the first page */
  el_time_t read_as_of;        /**< of the first page */
  el_buf_t cursor;             /**< last key of the previous page */
  uint64_t asked_read;         /**< read for which another host was asked */
  el_buf_t asked_cursor;       /**< with which it was asked */
  co_incarnation_t list_host;  /**< sender of the list being received */
  uint64_t list_sequence;      /**< up to which it was received; 0: none is */
} st_mirror_t;

typedef enum st_mirror_result
{
  ST_MIRROR_IGNORED, /**< it cannot be combined with what is known */
  ST_MIRROR_PIECE,   /**< taken; the position does not change yet */
  ST_MIRROR_WHOLE    /**< taken; all changes up to the position are known */
} st_mirror_result_t;

void st_mirror_init (st_mirror_t *mirror, const st_keys_options_t *options);
void st_mirror_free (st_mirror_t *mirror);
void st_mirror_reread (st_mirror_t *mirror);
int st_mirror_read_is_stale (const st_mirror_t *mirror, uint64_t epoch);
st_mirror_result_t st_mirror_apply_page (st_mirror_t *mirror,
                                         const st_keys_page_t *page);
st_mirror_result_t st_mirror_apply_watch (st_mirror_t *mirror,
                                          pr_store_position_t after,
                                          const pr_store_item_t *items,
                                          size_t n, uint64_t revision);
void st_mirror_ask (st_mirror_t *mirror, uint64_t epoch,
                    const co_incarnation_t *host, pr_store_query_t *out);
st_mirror_result_t st_mirror_take_page (st_mirror_t *mirror, uint64_t epoch,
                                        const pr_store_update_t *update);
st_mirror_result_t st_mirror_take_changes (st_mirror_t *mirror, uint64_t epoch,
                                           const pr_store_update_t *update);
void st_mirror_give (const st_mirror_t *mirror, uint64_t epoch,
                     const pr_store_query_t *query, size_t max_bytes,
                     pr_store_update_t *out);

/* The follower: st_follow.c asks the store, st_follow_host.c other hosts. */

struct st_follow
{
  st_follow_options_t options;
  st_store_listener_t listener;
  st_mirror_t mirror;
  net_exchange_t *call;
  uint64_t call_epoch;  /* latest known epoch when the call was sent */
  el_time_t call_at;    /* when the call was sent */
  uint64_t call_read;   /* read for which a page was requested */
  el_buf_t call_cursor; /* with which it was requested */
  pr_store_position_t call_after; /* with which changes were requested */
  int call_fallback;  /* this host should not have to ask the store */
  el_time_t store_at; /* the store is not asked before */
  unsigned failures;  /* calls that failed in a row */
  el_time_t
      answered_at;  /* when the last call that the store answered was sent */
  int stood_in;     /* another host asks the store in place of this one */
  int host_pending; /* another host has not answered yet */
  int host_stand_in;
  co_incarnation_t host;
  el_time_t host_at; /* no host is asked before */
  el_timer_t timer;
  el_timer_t overdue_timer;
  el_timer_t held_timer;
  st_store_read_cause_t read_cause; /* of the last or next full read */
  el_time_t synced_at;              /* all changes before it are known */
};

void follow_changes_finish (st_follow_t *follow, const char *from,
                            pr_store_position_t before, int whole);
void follow_wake (st_follow_t *follow);
el_time_t follow_now (const st_follow_t *follow);
void follow_reread (st_follow_t *follow, st_store_read_cause_t read_cause);
int follow_stale (const st_follow_t *follow, pr_store_position_t at);
void follow_set_synced (st_follow_t *follow, el_time_t as_of);
void follow_page_done (st_follow_t *follow, const char *from,
                       pr_store_position_t before, st_mirror_result_t result);
void follow_ask_host (st_follow_t *follow, const co_feed_plan_t *plan);

#endif
