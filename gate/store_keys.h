/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * A host's mirror of the keys of a store, with the position of the last change
 * of each.
 */
#ifndef ELMARCH_STORE_KEYS_H
#define ELMARCH_STORE_KEYS_H

#include "peer.h"

typedef struct gt_keys gt_keys_t;

typedef struct gt_keys_options
{
  /** Called for a key that is new, changed or removed. Returns 0 if the value
      carries a version of its own that is older than the known one. */
  int (*item) (void *arg, const pr_store_item_t *item);
  void *arg;
} gt_keys_options_t;

typedef struct gt_keys_counts
{
  size_t taken; /**< changes passed to the callback */
  size_t older; /**< changes older than the known one, ignored */
  size_t
      held; /**< changes of a new epoch that wait for gt_keys_release_held */
} gt_keys_counts_t;

gt_keys_t *gt_keys_new (const gt_keys_options_t *options);
void gt_keys_free (gt_keys_t *keys);
void gt_keys_apply (gt_keys_t *keys, uint64_t epoch,
                    const pr_store_item_t *item);
void gt_keys_begin_snapshot (gt_keys_t *keys);
void gt_keys_end_snapshot (gt_keys_t *keys, pr_store_position_t at);
void gt_keys_release_held (gt_keys_t *keys);
void gt_keys_changes_since (const gt_keys_t *keys, pr_store_position_t after,
                            pr_store_update_t *out);
gt_keys_counts_t gt_keys_counts_take (gt_keys_t *keys);

#endif
