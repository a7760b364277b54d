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

typedef enum gt_store_state
{
  GT_STORE_OK,
  GT_STORE_BUSY,          /**< refused, nothing was done */
  GT_STORE_COMPACTED,     /**< the requested changes are no longer kept */
  GT_STORE_CONFLICT,      /**< the precondition does not hold */
  GT_STORE_LEASE_EXPIRED, /**< the store does not know the lease */
  GT_STORE_INVALID        /**< the answer is unusable */
} gt_store_state_t;

/** A list parsed from an answer; free it with gt_store_list_free. */
typedef struct gt_store_list
{
  pr_store_item_t *items;
  size_t n;
  int more;          /**< the page is not the last one */
  uint64_t revision; /**< of the store when it answered */
} gt_store_list_t;

/** Whether an answer names the epoch in which it was given. */
typedef enum gt_store_epoch_field
{
  GT_STORE_EPOCH_ABSENT,
  GT_STORE_EPOCH_PRESENT,
  GT_STORE_EPOCH_MALFORMED /**< not a number, or given more than once */
} gt_store_epoch_field_t;

/** The store's API: functions that write a request's path and body, and
    functions that parse its answer. */
typedef struct gt_store_dialect
{
  void (*range) (el_buf_t *path, el_str_t prefix, el_str_t after);
  void (*watch) (el_buf_t *path, el_str_t prefix, uint64_t revision,
                 uint64_t wait_ms);
  gt_store_state_t (*read_list) (const net_result_t *result,
                                 gt_store_list_t *out);
  void (*grant) (el_buf_t *path, el_buf_t *body, uint64_t ttl_ms);
  gt_store_state_t (*read_grant) (const net_result_t *result, uint64_t *lease);
  void (*renew) (el_buf_t *path, uint64_t lease);
  gt_store_state_t (*read_renew) (const net_result_t *result);
  void (*revoke) (el_buf_t *path, uint64_t lease);
  /** Writes a request that creates KEY with a lease if it does not exist. */
  void (*create) (el_buf_t *path, el_buf_t *body, el_str_t key, el_str_t value,
                  uint64_t lease);
  gt_store_state_t (*read_create) (const net_result_t *result);
  /** The retry-after time of a refusal, in which this host should make no
      calls; 0 if it has none. */
  el_time_t (*read_retry_after) (const net_result_t *result);
  gt_store_epoch_field_t (*read_epoch) (const net_result_t *result,
                                        uint64_t *epoch);
} gt_store_dialect_t;

void gt_store_list_free (gt_store_list_t *list);

/** Why all keys are read again. */
typedef enum gt_store_read_cause
{
  GT_STORE_READ_START,
  GT_STORE_READ_HISTORY, /**< the requested changes are no longer kept */
  GT_STORE_READ_EPOCH,   /**< the store began a new epoch */
  GT_STORE_READ_CAUSES   /**< number of causes */
} gt_store_read_cause_t;

typedef struct gt_store_counts
{
  uint64_t calls;
  uint64_t failures;
  uint64_t rests; /**< refusals with a new retry-after time */
  uint64_t reads[GT_STORE_READ_CAUSES]; /**< complete reads, by cause */
  uint64_t epochs; /**< new epochs seen after the first one */
  uint64_t former; /**< answers from previous epochs */
} gt_store_counts_t;

/** A listener that is called when the store has begun a new epoch. */
typedef struct gt_store_listener
{
  void (*epoch) (void *arg);
  void *arg;
  struct gt_store_listener *prev;
  struct gt_store_listener *next;
} gt_store_listener_t;

/** One store; all its users on this host share its counters, its latest epoch
    and the retry-after time. */
typedef struct gt_store
{
  net_clock_t *clock;
  net_client_t *client;
  const gt_store_dialect_t *dialect;
  el_str_t address;
  gt_store_counts_t counts;
  uint64_t random;    /**< state of el_random; not 0 */
  el_time_t retry_at; /**< no calls before: the end of the retry-after time */
  uint64_t epoch;     /**< the latest known */
  int known;          /**< the store answered this host or another one */
  gt_store_listener_t *listeners;
  el_timer_t notify_timer; /**< calls the listeners from the loop */
} gt_store_t;

void gt_store_add_listener (gt_store_t *store, gt_store_listener_t *listener);
void gt_store_remove_listener (gt_store_t *store,
                               gt_store_listener_t *listener);
void gt_store_observe_epoch (gt_store_t *store, uint64_t epoch,
                             const char *by);
net_exchange_t *gt_store_call (gt_store_t *store, const char *method,
                               const el_buf_t *path, const el_buf_t *body,
                               el_time_t timeout, net_result_cb done,
                               void *arg);
void gt_store_apply_retry_after (gt_store_t *store,
                                 const net_result_t *result);
el_time_t gt_store_retry_delay (gt_store_t *store, const net_result_t *result,
                                unsigned failures);
el_time_t gt_store_retry_after (const gt_store_t *store);

/* A mirror of the keys below a prefix. */

typedef struct gt_follow gt_follow_t;

typedef struct gt_follow_options
{
  gt_store_t *store;
  el_str_t prefix;
  uint64_t wait_ms;      /**< longest wait of one watch */
  el_time_t batch_delay; /**< pause after changes, so that a burst of changes
                         takes one call */
  /** Called for a key that is new, changed or removed. Returns 0 if the value
      carries a version of its own that is older than the known one. */
  int (*item) (void *arg, const pr_store_item_t *item);
  el_time_t update_max_age; /**< an answer whose data are older than this comes
                               from a host that cannot reach the store */
  /** Asks another host for the changes after a position; STALE_ANSWERS is the
      number of consecutive unusable answers. Returns 0 if this host should ask
      the store itself; may be NULL. */
  int (*ask_peer) (void *arg, pr_store_position_t after,
                   unsigned stale_answers, pr_store_update_cb done,
                   void *done_arg);
  /** Called when the store has answered although another host had no usable
      answer: that host is at fault. */
  void (*peer_failed) (void *arg);
  /** Called when all changes made before AS_OF, by the clock, are known. */
  void (*known) (void *arg, el_time_t as_of);
  void *arg;
} gt_follow_options_t;

gt_follow_t *gt_follow_new (const gt_follow_options_t *options);
int gt_follow_changes_since (const gt_follow_t *follow,
                             pr_store_position_t after,
                             pr_store_update_t *out);
pr_store_position_t gt_follow_position (const gt_follow_t *follow);
void gt_follow_observe_epoch (gt_follow_t *follow, uint64_t epoch);
el_time_t gt_follow_synced_at (const gt_follow_t *follow);
void gt_follow_free (gt_follow_t *follow);

/* A key that the store removes after a time. */

void gt_store_put_leased (gt_store_t *store, el_str_t key, el_str_t value,
                          uint64_t ttl_ms, el_time_t wait);

/* A leader lease: a duty that at most one host has at a time. */

typedef struct gt_duty gt_duty_t;

typedef struct gt_duty_options
{
  gt_store_t *store;
  el_str_t key;
  el_str_t holder;  /**< written to the key */
  uint64_t ttl_ms;  /**< of the lease */
  el_time_t margin; /**< the duty ends on this host this long before the lease
                         may expire */
  /** Whether no other host is known to have the duty; otherwise it is not
      requested. */
  int (*vacant) (void *arg);
  void *arg;
} gt_duty_options_t;

gt_duty_t *gt_duty_new (const gt_duty_options_t *options);
void gt_duty_want (gt_duty_t *duty, int wanted);
int gt_duty_held (const gt_duty_t *duty, el_time_t now);

#endif
