/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * What another host gets of the keys: the changes since its position, or a
 * page of all keys, in pieces of limited size.
 */
#include <stdlib.h>

#include "libstore.h"

/* Size of a key and its fields in a message, beside the texts. */
#define ITEM_OVERHEAD 24

/* Size of ITEM in a message. */
static size_t
item_size (const pr_store_item_t *item)
{
  return item->key.len + item->value.len + ITEM_OVERHEAD;
}

static int
key_cmp_sequence (const void *a, const void *b)
{
  const keys_entry_t *x = *(const keys_entry_t *const *)a;
  const keys_entry_t *y = *(const keys_entry_t *const *)b;

  return (x->sequence > y->sequence) - (x->sequence < y->sequence);
}

/* Returns whether all removals after AFTER are known. */
static int
removals_known (const st_keys_t *keys, pr_store_position_t after)
{
  return after.epoch == keys->complete_since.epoch
         && after.revision >= keys->complete_since.revision
         && (after.revision <= keys->gap.from
             || after.revision >= keys->gap.to);
}

/** Appends to OUT, whose position is set, the next piece of the changes that
    QUERY asks for, in the order in which they became known here, at most about
    MAX_BYTES of them; OUT->more says whether there are further ones. Returns 0
    if not every removal is known. The strings belong to KEYS; the caller frees
    the list. */
int
st_keys_changes_since (const st_keys_t *keys, const pr_store_query_t *query,
                       size_t max_bytes, pr_store_update_t *out)
{
  const keys_entry_t **list;
  const keys_entry_t *key;
  size_t bytes = 0;
  size_t n = 0;
  size_t i;

  if (!removals_known (keys, query->after))
    return 0;
  out->gap = keys->gap;
  out->sequence = query->sequence;
  if (pr_store_position_cmp (query->after, out->at) >= 0)
    return 1;
  list = el_alloc ((HASH_COUNT (keys->keys) + 1) * sizeof *list);
  for (key = keys->keys; key; key = key->hh.next)
    if (pr_store_position_cmp (key->at, query->after) > 0
        && key->sequence > query->sequence)
      list[n++] = key;
  qsort (list, n, sizeof *list, key_cmp_sequence);
  out->items = el_alloc ((n + 1) * sizeof *out->items);
  for (i = 0; i < n; i++)
    {
      pr_store_item_t item = keys_entry_item (list[i]);

      bytes += item_size (&item);
      out->more = bytes > max_bytes && i;
      if (out->more)
        break;
      out->items[out->n++] = item;
      out->sequence = list[i]->sequence;
    }
  free (list);
  return 1;
}

/* The first key in the order of names after AFTER. */
static const keys_entry_t *
key_after (st_keys_t *keys, el_str_t after)
{
  const keys_entry_t *key;

  if (keys->unsorted)
    HASH_SORT (keys->keys, keys_entry_cmp);
  keys->unsorted = 0;
  key = after.len ? keys_find (keys, after) : NULL;
  if (key)
    return key->hh.next;
  for (key = keys->keys;
       key && keys_name_cmp (keys_entry_name (key), after) <= 0;
       key = key->hh.next)
    ;
  return key;
}

/** Appends to OUT the keys that exist after the key AFTER in the order of
    their names, up to the key LAST if that is not empty, and at most about
    MAX_BYTES of them; OUT->more says whether there are further ones up to
    LAST. The strings belong to KEYS; the caller frees the list. */
void
st_keys_page (st_keys_t *keys, el_str_t after, el_str_t last, size_t max_bytes,
              pr_store_update_t *out)
{
  const keys_entry_t *key;
  size_t size = 0;
  size_t bytes = 0;

  for (key = key_after (keys, after); key; key = key->hh.next)
    {
      pr_store_item_t item = keys_entry_item (key);

      if (last.len && keys_name_cmp (item.key, last) > 0)
        break;
      if (item.gone)
        continue;
      bytes += item_size (&item);
      if (bytes > max_bytes && out->n)
        {
          out->more = 1;
          break;
        }
      if (out->n == size)
        {
          size = size ? 2 * size : 64;
          out->items = el_grow (out->items, size, sizeof *out->items);
        }
      out->items[out->n++] = item;
    }
}
