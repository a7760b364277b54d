/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Client of a key-value store with revisions, watches and leases. It mirrors
 * the keys below a prefix and holds a leader lease (a "duty") that at most one
 * host has at a time. The store's API is a table of functions, the dialect.
 *
 * The store may be restored from an older copy of itself. It then begins a new
 * epoch: revisions and leases of the previous epoch are void, and an answer
 * that was given in a previous epoch is treated as a failed call.
 */
#ifndef ELMARCH_STORE_H
#define ELMARCH_STORE_H

#include "net.h"
#include "peer.h"

typedef enum st_store_state
{
  ST_OK,
  ST_BUSY,          /**< refused, nothing was done */
  ST_COMPACTED,     /**< the requested changes are no longer kept */
  ST_CONFLICT,      /**< the precondition does not hold */
  ST_LEASE_EXPIRED, /**< the store does not know the lease */
  ST_INVALID        /**< the answer is unusable */
} st_store_state_t;

/** A list parsed from an answer; free it with st_store_list_free. */
typedef struct st_store_list
{
  pr_store_item_t *items;
  size_t n;
  int more;          /**< the page is not the last one */
  uint64_t revision; /**< of the store when it answered */
} st_store_list_t;

/** Whether an answer names the epoch in which it was given. */
typedef enum st_store_epoch_field
{
  ST_EPOCH_ABSENT,
  ST_EPOCH_PRESENT,
  ST_EPOCH_MALFORMED /**< not a number, or given more than once */
} st_store_epoch_field_t;

/** The store's API: functions that write a request's path and body, and
    functions that parse its answer. */
typedef struct st_store_dialect
{
  void (*range) (el_buf_t *path, el_str_t prefix, el_str_t after);
  void (*watch) (el_buf_t *path, el_str_t prefix, uint64_t revision,
                 uint64_t wait_ms);
  st_store_state_t (*read_list) (const net_result_t *result,
                                 st_store_list_t *out);
  void (*grant) (el_buf_t *path, el_buf_t *body, uint64_t ttl_ms);
  st_store_state_t (*read_grant) (const net_result_t *result, uint64_t *lease);
  void (*renew) (el_buf_t *path, uint64_t lease);
  st_store_state_t (*read_renew) (const net_result_t *result);
  void (*revoke) (el_buf_t *path, uint64_t lease);
  /** Writes a request that creates KEY with a lease if it does not exist. */
  void (*create) (el_buf_t *path, el_buf_t *body, el_str_t key, el_str_t value,
                  uint64_t lease);
  st_store_state_t (*read_create) (const net_result_t *result);
  /** The retry-after time of a refusal, in which this host should make no
      calls; 0 if it has none. */
  el_time_t (*read_retry_after) (const net_result_t *result);
  st_store_epoch_field_t (*read_epoch) (const net_result_t *result,
                                        uint64_t *epoch);
} st_store_dialect_t;

void st_store_list_free (st_store_list_t *list);

/** Why all keys are read again. */
typedef enum st_store_read_cause
{
  ST_READ_START,
  ST_READ_HISTORY, /**< the requested changes are no longer kept */
  ST_READ_EPOCH,   /**< the store began a new epoch */
  ST_READ_CAUSES   /**< number of causes */
} st_store_read_cause_t;

typedef struct st_store_counts
{
  uint64_t calls;
  uint64_t failures;
  uint64_t rests;                 /**< refusals with a new retry-after time */
  uint64_t reads[ST_READ_CAUSES]; /**< complete reads, by cause */
  uint64_t epochs;                /**< new epochs seen after the first one */
  uint64_t former;                /**< answers from previous epochs */
} st_store_counts_t;

/** A listener that is called when the store has begun a new epoch. */
typedef struct st_store_listener
{
  void (*epoch) (void *arg);
  void *arg;
  struct st_store_listener *prev;
  struct st_store_listener *next;
} st_store_listener_t;

/** One store; all its users on this host share its counters, its latest epoch
    and the retry-after time. */
typedef struct st_store
{
  net_clock_t *clock;
  net_client_t *client;
  const st_store_dialect_t *dialect;
  el_str_t address;
  st_store_counts_t counts;
  uint64_t random;    /**< state of el_random; not 0 */
  el_time_t retry_at; /**< no calls before: the end of the retry-after time */
  uint64_t epoch;     /**< the latest known */
  int known;          /**< the store answered this host or another one */
  st_store_listener_t *listeners;
  el_timer_t notify_timer; /**< calls the listeners from the loop */
} st_store_t;

void st_store_add_listener (st_store_t *store, st_store_listener_t *listener);
void st_store_remove_listener (st_store_t *store,
                               st_store_listener_t *listener);
void st_store_observe_epoch (st_store_t *store, uint64_t epoch,
                             const char *by);
net_exchange_t *st_store_call (st_store_t *store, const char *method,
                               const el_buf_t *path, const el_buf_t *body,
                               el_time_t timeout, net_result_cb done,
                               void *arg);
void st_store_apply_retry_after (st_store_t *store,
                                 const net_result_t *result);
el_time_t st_store_retry_delay (st_store_t *store, const net_result_t *result,
                                unsigned failures);
el_time_t st_store_retry_after (const st_store_t *store);

/* A mirror of the keys below a prefix. */

typedef struct st_follow st_follow_t;

typedef struct st_follow_options
{
  st_store_t *store;
  el_str_t prefix;
  uint64_t wait_ms;      /**< longest wait of one watch */
  el_time_t batch_delay; /**< pause after changes, so that a burst of changes
                         takes one call */
  /** Called for a key that is new, changed or removed. Returns 0 if the value
      carries a version of its own that is older than the known one. */
  int (*item) (void *arg, const pr_store_item_t *item);
  el_time_t update_max_age; /**< an answer whose data are older than this comes
                               from a host that cannot reach the store */
  co_feed_t *feed;          /**< decides who is asked; NULL: the store alone */
  /** Asks HOST; STAND_IN: it is to ask the store in this host's place. */
  void (*ask_host) (void *arg, const co_member_t *host,
                    const pr_store_query_t *query, int stand_in,
                    pr_store_update_cb done, void *done_arg);
  /** Called when another host may get more of the keys than before, or when a
      call to the store has failed; may be NULL. */
  void (*progress) (void *arg);
  /** Called when all changes made before AS_OF, by the clock, are known. */
  void (*known) (void *arg, el_time_t as_of);
  void *arg;
} st_follow_options_t;

st_follow_t *st_follow_new (const st_follow_options_t *options);
void st_follow_update (st_follow_t *follow, const pr_store_query_t *query,
                       pr_store_update_t *out);
void st_follow_stand_in (st_follow_t *follow);
pr_store_position_t st_follow_position (const st_follow_t *follow);
void st_follow_observe_epoch (st_follow_t *follow, uint64_t epoch);
el_time_t st_follow_synced_at (const st_follow_t *follow);
void st_follow_free (st_follow_t *follow);

/* A key that the store removes after a time. */

void st_store_put_leased (st_store_t *store, el_str_t key, el_str_t value,
                          uint64_t ttl_ms, el_time_t wait);

/* A leader lease: a duty that at most one host has at a time. */

typedef struct st_duty st_duty_t;

typedef struct st_duty_options
{
  st_store_t *store;
  el_str_t key;
  el_str_t holder;  /**< written to the key */
  uint64_t ttl_ms;  /**< of the lease */
  el_time_t margin; /**< the duty ends on this host this long before the lease
                         may expire */
  /** Whether no other host is known to have the duty; otherwise it is not
      requested. */
  int (*vacant) (void *arg);
  /** How many hosts should take the duty before this one, which waits longer
      the more there are. NULL: none. */
  size_t (*rank) (void *arg);
  void *arg;
} st_duty_options_t;

st_duty_t *st_duty_new (const st_duty_options_t *options);
void st_duty_want (st_duty_t *duty, int wanted);
int st_duty_held (const st_duty_t *duty, el_time_t now);

#endif
