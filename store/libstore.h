/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * A host's mirror of the keys of a store, with the position of the last change
 * of each.
 */
#ifndef ELMARCH_LIBSTORE_H
#define ELMARCH_LIBSTORE_H

#include "peer.h"

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

#endif
