/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * A key-value store with revisions, watches and leases: what is kept there is
 * followed, and a duty that only one host may have is leased there. How the
 * store is spoken to is a table of functions.
 *
 * The store may go on from an older copy of itself. It begins an epoch then:
 * revisions and leases of the former one mean nothing any more, and an answer
 * that was given in a former epoch counts as none.
 */
#ifndef ELMARCH_STORE_H
#define ELMARCH_STORE_H

#include "net.h"
#include "peer.h"

typedef enum gt_store_state
{
  GT_STORE_OK,
  GT_STORE_BUSY,     /**< refused, nothing was done */
  GT_STORE_LOST,     /**< the changes asked for are no longer kept */
  GT_STORE_CONFLICT, /**< the condition does not hold */
  GT_STORE_NO_LEASE, /**< the lease is over */
  GT_STORE_BAD       /**< not an answer that can be used */
} gt_store_state_t;

/** A list as read from an answer; gt_store_list_free ends it. */
typedef struct gt_store_list
{
  pr_store_item_t *items;
  size_t n;
  int more;          /**< further items follow the last one */
  uint64_t revision; /**< of the store, as the answer was made */
} gt_store_list_t;

/** What an answer tells of the epoch it was given in. */
typedef enum gt_store_said
{
  GT_STORE_SAID_NOTHING,
  GT_STORE_SAID,
  GT_STORE_SAID_BADLY /**< something that is none */
} gt_store_said_t;

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
  void (*end) (el_buf_t *path, uint64_t lease);
  /** Put KEY with a lease where it is not there yet. */
  void (*claim) (el_buf_t *path, el_buf_t *body, el_str_t key, el_str_t value,
                 uint64_t lease);
  gt_store_state_t (*read_claim) (const net_result_t *result);
  /** For how long a refusal asks this host to make no calls; 0: not at all. */
  el_time_t (*read_rest) (const net_result_t *result);
  gt_store_said_t (*read_epoch) (const net_result_t *result, uint64_t *epoch);
} gt_store_dialect_t;

void gt_store_list_free (gt_store_list_t *list);

/** Why all keys are read. */
typedef enum gt_store_read
{
  GT_STORE_READ_START,
  GT_STORE_READ_HISTORY, /**< changes asked for are no longer kept */
  GT_STORE_READ_EPOCH,   /**< the store began an epoch */
  GT_STORE_READS
} gt_store_read_t;

typedef struct gt_store_counts
{
  uint64_t calls;
  uint64_t failures;
  uint64_t rests; /**< times that it asked for no calls */
  uint64_t reads[GT_STORE_READS];
  uint64_t epochs; /**< times that it was found to have begun an epoch */
  uint64_t former; /**< answers of former epochs */
} gt_store_counts_t;

/** Told when the store is found to have begun an epoch. */
typedef struct gt_store_part
{
  void (*epoch) (void *arg);
  void *arg;
  struct gt_store_part *prev;
  struct gt_store_part *next;
} gt_store_part_t;

/** One store; its parts share what is counted. */
typedef struct gt_store
{
  net_clock_t *clock;
  net_client_t *client;
  const gt_store_dialect_t *dialect;
  el_str_t address;
  gt_store_counts_t counts;
  uint64_t random;      /**< of el_random; not 0 */
  el_time_t rest_until; /**< it asked for no calls until then */
  uint64_t epoch;       /**< the latest that is known */
  int known;            /**< some answer came, here or at another host */
  gt_store_part_t *parts;
  el_timer_t tell; /**< the parts, of an epoch */
} gt_store_t;

void gt_store_join (gt_store_t *store, gt_store_part_t *part);
void gt_store_leave (gt_store_t *store, gt_store_part_t *part);
void gt_store_epoch (gt_store_t *store, uint64_t epoch, const char *by);
net_exchange_t *gt_store_call (gt_store_t *store, const char *method,
                               const el_buf_t *path, const el_buf_t *body,
                               el_time_t timeout, net_result_cb done,
                               void *arg);
void gt_store_heard (gt_store_t *store, const net_result_t *result);
el_time_t gt_store_backoff (gt_store_t *store, const net_result_t *result,
                            unsigned failures);
el_time_t gt_store_rest_left (const gt_store_t *store);

/* Following the keys below a prefix. */

typedef struct gt_follow gt_follow_t;

typedef struct gt_follow_options
{
  gt_store_t *store;
  el_str_t prefix;
  uint64_t wait_ms; /**< longest wait of one watch */
  el_time_t gather; /**< pause after changes, so that those that come together
                         take one call */
  /** A key is new or changed, or is gone. Gives 0 where it is refused as older
      than what is known, by a count of its own. */
  int (*item) (void *arg, const pr_store_item_t *item);
  el_time_t news_old; /**< news of other hosts older than this are of one that
                           misses the store */
  /** Have another host tell what it has seen after a position; OLD answers in
      a row were too old. Gives 0 when this host should ask the store itself;
      may be NULL. */
  int (*ask) (void *arg, pr_store_position_t after, unsigned old,
              pr_store_update_cb done, void *done_arg);
  /** The host that was asked could not tell, but the store itself can. */
  void (*blame) (void *arg);
  /** All changes made before AS_OF, by the clock, were told. */
  void (*known) (void *arg, el_time_t as_of);
  void *arg;
} gt_follow_options_t;

gt_follow_t *gt_follow_new (const gt_follow_options_t *options);
int gt_follow_tell (const gt_follow_t *follow, pr_store_position_t after,
                    pr_store_update_t *out);
pr_store_position_t gt_follow_position (const gt_follow_t *follow);
void gt_follow_epoch (gt_follow_t *follow, uint64_t epoch);
el_time_t gt_follow_known (const gt_follow_t *follow);
void gt_follow_free (gt_follow_t *follow);

/* A key that lasts for a while. */

void gt_store_keep (gt_store_t *store, el_str_t key, el_str_t value,
                    uint64_t ttl_ms, el_time_t wait);

/* A duty that at most one host has. */

typedef struct gt_duty gt_duty_t;

typedef struct gt_duty_options
{
  gt_store_t *store;
  el_str_t key;
  el_str_t holder;  /**< written to the key */
  uint64_t ttl_ms;  /**< of the lease */
  el_time_t margin; /**< the duty ends here this long before the lease may
                         have run out */
  /** Whether nobody is known to have the duty; one that somebody has is not
      asked for. */
  int (*vacant) (void *arg);
  void *arg;
} gt_duty_options_t;

gt_duty_t *gt_duty_new (const gt_duty_options_t *options);
void gt_duty_want (gt_duty_t *duty, int wanted);
int gt_duty_held (const gt_duty_t *duty, el_time_t now);

#endif
