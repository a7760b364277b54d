/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * A mirror of the keys of a store. It decides which of two changes of a key is
 * newer, which keys a full snapshot shows to be removed, and which changes
 * another host still needs. No function here does I/O.
 *
 * A store restored from an older copy lacks what was written since that copy,
 * and has again what was removed since, until the writers have written their
 * changes again. Differences of both kinds in the first snapshot of an epoch
 * are therefore held back until st_keys_release_held; a change reported after
 * the snapshot takes effect at once.
 */
#include <stdlib.h>

#include "map.h"
#include "libstore.h"

/* A key, its state and the position of its last change. */
typedef struct keys_entry
{
  char *name;
  size_t len;
  pr_store_position_t at;
  el_str_t value;
  int known; /* it has been passed to the callback */
  int gone;
  int held;          /* its state has not been passed to the callback yet */
  uint64_t snapshot; /* number of the last snapshot that contained it */
  UT_hash_handle hh;
} keys_entry_t;

struct st_keys
{
  st_keys_options_t options;
  keys_entry_t *keys;
  uint64_t snapshot;               /* number of the last or current snapshot */
  int in_snapshot;                 /* a snapshot is being read */
  pr_store_position_t snapshot_at; /* the last complete snapshot's position */
  st_keys_counts_t counts;
};

/** Creates an empty mirror. */
st_keys_t *
st_keys_new (const st_keys_options_t *options)
{
  st_keys_t *keys = el_alloc (sizeof *keys);

  keys->options = *options;
  return keys;
}

static keys_entry_t *
key_get (st_keys_t *keys, el_str_t name)
{
  keys_entry_t *key;

  HASH_FIND (hh, keys->keys, name.ptr, (unsigned)name.len, key);
  if (key)
    return key;
  key = el_alloc (sizeof *key);
  key->name = (char *)(uintptr_t)el_str_dup (name).ptr;
  key->len = name.len;
  HASH_ADD_KEYPTR (hh, keys->keys, key->name, (unsigned)name.len, key);
  return key;
}

static void
key_free (st_keys_t *keys, keys_entry_t *key)
{
  HASH_DEL (keys->keys, key);
  el_str_free (&key->value);
  free (key->name);
  free (key);
}

/** Frees the mirror and all its keys. */
void
st_keys_free (st_keys_t *keys)
{
  keys_entry_t *key;
  keys_entry_t *next;

  HASH_ITER (hh, keys->keys, key, next) { key_free (keys, key); }
  free (keys);
}

static pr_store_item_t
key_item (const keys_entry_t *key)
{
  return (pr_store_item_t){ .key = { key->name, key->len },
                            .value = key->value,
                            .revision = key->at.revision,
                            .gone = key->gone };
}

/* Returns whether ITEM has the known state of KEY. */
static int
key_matches (const keys_entry_t *key, const pr_store_item_t *item)
{
  return key->gone == (item->gone != 0)
         && (item->gone || el_str_eq (key->value, item->value));
}

/* Passes ITEM to the callback. If the callback refuses it, because the known
   value has a newer version of its own, the value that other hosts get stays
   as it is. */
static void
key_apply (st_keys_t *keys, keys_entry_t *key, const pr_store_item_t *item)
{
  int first = !key->known || key->gone;
  el_str_t value = el_str_dup (item->value);

  keys->counts.taken++;
  key->known = 1;
  key->held = 0;
  key->gone = item->gone != 0;
  if (keys->options.item (keys->options.arg, item) || first)
    {
      el_str_free (&key->value);
      key->value = value;
    }
  else
    el_str_free (&value);
}

/* Stores ITEM as the state of KEY, to be passed to the callback later unless
   it changes before. */
static void
key_hold (st_keys_t *keys, keys_entry_t *key, const pr_store_item_t *item)
{
  keys->counts.held += !key->held;
  key->held = 1;
  key->gone = item->gone != 0;
  if (item->gone)
    return;
  el_str_free (&key->value);
  key->value = el_str_dup (item->value);
}

/** Applies ITEM, a change made in EPOCH. If a key has its known state in a new
    epoch as well, only its position changes. */
void
st_keys_apply (st_keys_t *keys, uint64_t epoch, const pr_store_item_t *item)
{
  keys_entry_t *key = key_get (keys, item->key);
  pr_store_position_t at = { epoch, item->revision };
  int order = pr_store_position_cmp (at, key->at);
  int same = key->known && key_matches (key, item);
  int other_epoch = epoch != key->at.epoch;
  int reappeared = key->known && (key->gone || key->held) && !item->gone;

  key->snapshot = keys->snapshot;
  if (key->known && (order < 0 || (order == 0 && same)))
    {
      keys->counts.older += order < 0;
      return;
    }
  key->at = at;
  if (keys->in_snapshot && other_epoch && reappeared)
    key_hold (keys, key, item);
  else if (!(same && other_epoch))
    key_apply (keys, key, item);
}

/** Begins a snapshot: all keys will be passed to st_keys_apply. */
void
st_keys_begin_snapshot (st_keys_t *keys)
{
  keys->snapshot++;
  keys->in_snapshot = 1;
}

/** Ends a snapshot that contains all changes up to AT. Keys that were not in
    it are removed; in the first snapshot of an epoch their removal is held
    back. */
void
st_keys_end_snapshot (st_keys_t *keys, pr_store_position_t at)
{
  keys_entry_t *key;
  keys_entry_t *next;

  keys->snapshot_at = at;
  keys->in_snapshot = 0;
  HASH_ITER (hh, keys->keys, key, next)
  {
    pr_store_item_t item = { .key = { key->name, key->len },
                             .revision = at.revision,
                             .gone = 1 };

    if (key->snapshot == keys->snapshot || (key->held && key->gone))
      continue;
    if (!key->gone && key->at.epoch < at.epoch)
      {
        key_hold (keys, key, &item);
        continue;
      }
    if (!key->gone)
      key_apply (keys, key, &item);
    key_free (keys, key);
  }
}

/** Passes to the callback what was held back and has not changed since. */
void
st_keys_release_held (st_keys_t *keys)
{
  keys_entry_t *key;
  keys_entry_t *next;

  HASH_ITER (hh, keys->keys, key, next)
  {
    pr_store_item_t item = key_item (key);

    if (!key->held)
      continue;
    key_apply (keys, key, &item);
    if (item.gone)
      key_free (keys, key);
  }
}

/** Appends to OUT the changes after a position, or all keys if not every
    removal since then is known. The strings belong to KEYS; the caller frees
    the list. */
void
st_keys_changes_since (const st_keys_t *keys, pr_store_position_t after,
                       pr_store_update_t *out)
{
  const keys_entry_t *key;

  out->whole = pr_store_position_cmp (after, keys->snapshot_at) < 0;
  out->items = el_alloc ((HASH_COUNT (keys->keys) + 1) * sizeof *out->items);
  for (key = keys->keys; key; key = key->hh.next)
    if (out->whole ? !key->gone : pr_store_position_cmp (key->at, after) > 0)
      out->items[out->n++] = key_item (key);
}

/** Returns the counts since the last call and resets them. */
st_keys_counts_t
st_keys_counts_take (st_keys_t *keys)
{
  st_keys_counts_t counts = keys->counts;

  keys->counts = (st_keys_counts_t){ 0 };
  return counts;
}
