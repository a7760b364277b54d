/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * A mirror of the keys of a store. It decides which of two changes of a key is
 * newer, which keys a full snapshot shows to be removed, and which changes
 * another host still needs. No function here does I/O.
 *
 * The difference between the mirror and a further snapshot of the same epoch
 * is known exactly, so other hosts can get changes across it. Removed keys are
 * kept for this; when there are too many, the oldest are dropped, and a host
 * that lacks one of their removals has to read all keys.
 *
 * A store restored from an older copy lacks what was written since that copy,
 * and has again what was removed since, until the writers have written their
 * changes again. Differences of both kinds in the first snapshot of an epoch
 * are therefore held back until st_keys_release_held; a change reported after
 * the snapshot takes effect at once.
 */
#include <stdlib.h>
#include <string.h>

#include "libstore.h"
#include "map.h"

/* Removed keys that are kept; half of them are dropped when there are more. */
#define GONE_MAX 8192
/* Size of a key and its fields in a message, beside the texts. */
#define ITEM_OVERHEAD 24

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
  pr_store_position_t complete_since; /* all removals after it are known */
  size_t ngone;
  int unsorted; /* the table is not in the order of the keys' names */
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

static int
name_cmp (el_str_t a, el_str_t b)
{
  size_t len = a.len < b.len ? a.len : b.len;
  int order = len ? memcmp (a.ptr, b.ptr, len) : 0;

  return order ? order : (a.len > b.len) - (a.len < b.len);
}

static el_str_t
key_name (const keys_entry_t *key)
{
  return (el_str_t){ key->name, key->len };
}

static int
key_cmp (const keys_entry_t *a, const keys_entry_t *b)
{
  return name_cmp (key_name (a), key_name (b));
}

static keys_entry_t *
key_find (const st_keys_t *keys, el_str_t name)
{
  keys_entry_t *key;

  HASH_FIND (hh, keys->keys, name.ptr, (unsigned)name.len, key);
  return key;
}

static keys_entry_t *
key_get (st_keys_t *keys, el_str_t name)
{
  keys_entry_t *key = key_find (keys, name);
  const keys_entry_t *last;

  if (key)
    return key;
  last = keys->keys
             ? ELMT_FROM_HH (keys->keys->hh.tbl, keys->keys->hh.tbl->tail)
             : NULL;
  key = el_alloc (sizeof *key);
  key->name = (char *)(uintptr_t)el_str_dup (name).ptr;
  key->len = name.len;
  keys->unsorted = keys->unsorted || (last && key_cmp (last, key) > 0);
  HASH_ADD_KEYPTR (hh, keys->keys, key->name, (unsigned)name.len, key);
  return key;
}

static void
key_set_gone (st_keys_t *keys, keys_entry_t *key, int gone)
{
  keys->ngone += (size_t)gone - (size_t)key->gone;
  key->gone = gone;
}

static void
key_free (st_keys_t *keys, keys_entry_t *key)
{
  HASH_DEL (keys->keys, key);
  keys->ngone -= (size_t)key->gone;
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
  return (pr_store_item_t){ .key = key_name (key),
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
  key_set_gone (keys, key, item->gone != 0);
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
  key_set_gone (keys, key, item->gone != 0);
  if (item->gone)
    return;
  el_str_free (&key->value);
  key->value = el_str_dup (item->value);
}

static int
position_cmp (const void *a, const void *b)
{
  return pr_store_position_cmp (*(const pr_store_position_t *)a,
                                *(const pr_store_position_t *)b);
}

/* Drops the older half of the removed keys if there are more than
   GONE_MAX. */
static void
keys_drop_gone (st_keys_t *keys)
{
  pr_store_position_t *list;
  pr_store_position_t limit;
  keys_entry_t *key;
  keys_entry_t *next;
  size_t n = 0;

  if (keys->ngone <= GONE_MAX)
    return;
  list = el_alloc (keys->ngone * sizeof *list);
  for (key = keys->keys; key; key = key->hh.next)
    if (key->gone)
      list[n++] = key->at;
  qsort (list, n, sizeof *list, position_cmp);
  limit = list[n / 2];
  free (list);
  HASH_ITER (hh, keys->keys, key, next)
  if (key->gone && !key->held && pr_store_position_cmp (key->at, limit) <= 0)
    key_free (keys, key);
  if (pr_store_position_cmp (limit, keys->complete_since) > 0)
    keys->complete_since = limit;
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
  keys_drop_gone (keys);
}

/** Begins a snapshot: all keys will be passed to st_keys_apply. */
void
st_keys_begin_snapshot (st_keys_t *keys)
{
  keys->snapshot++;
  keys->in_snapshot = 1;
}

/* Handles a key that the snapshot at AT lacks. */
static void
key_missing (st_keys_t *keys, keys_entry_t *key, pr_store_position_t at)
{
  pr_store_item_t item
      = { .key = key_name (key), .revision = at.revision, .gone = 1 };
  int same_epoch = keys->snapshot_at.epoch == at.epoch;

  if (key->gone)
    {
      if (!same_epoch && !key->held)
        key_free (keys, key);
    }
  else if (key->at.epoch < at.epoch)
    key_hold (keys, key, &item);
  else
    {
      if (pr_store_position_cmp (at, key->at) > 0)
        key->at = at;
      key_apply (keys, key, &item);
    }
}

/** Ends a snapshot that contains all changes up to AT. Keys that were not in
    it are removed; in the first snapshot of an epoch their removal is held
    back. */
void
st_keys_end_snapshot (st_keys_t *keys, pr_store_position_t at)
{
  keys_entry_t *key;
  keys_entry_t *next;
  int first
      = keys->snapshot_at.epoch != at.epoch || keys->snapshot_at.revision == 0;

  keys->in_snapshot = 0;
  HASH_ITER (hh, keys->keys, key, next)
  if (key->snapshot != keys->snapshot)
    key_missing (keys, key, at);
  keys->snapshot_at = at;
  if (first)
    keys->complete_since = at;
  keys_drop_gone (keys);
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

/* Size of ITEM in a message. */
static size_t
item_size (const pr_store_item_t *item)
{
  return item->key.len + item->value.len + ITEM_OVERHEAD;
}

static int
item_cmp_revision (const void *a, const void *b)
{
  uint64_t x = ((const pr_store_item_t *)a)->revision;
  uint64_t y = ((const pr_store_item_t *)b)->revision;

  return (x > y) - (x < y);
}

/* Shortens a list of changes to about MAX_BYTES, the oldest ones first. All
   changes of one revision stay together, as the list includes all changes up
   to its position. */
static void
changes_limit (pr_store_update_t *out, size_t max_bytes)
{
  size_t bytes = 0;
  size_t i;

  for (i = 0; i < out->n; i++)
    bytes += item_size (&out->items[i]);
  if (bytes <= max_bytes)
    return;
  qsort (out->items, out->n, sizeof *out->items, item_cmp_revision);
  bytes = 0;
  for (i = 0; i < out->n; i++)
    {
      bytes += item_size (&out->items[i]);
      if (bytes > max_bytes && i
          && out->items[i].revision > out->items[i - 1].revision)
        break;
    }
  if (i == out->n)
    return;
  out->n = i;
  out->more = 1;
  out->at.revision = out->items[i - 1].revision;
}

/** Appends to OUT, whose position is set, the changes after a position, at
    most about MAX_BYTES of them. Returns 0 if not every removal since then is
    known. The strings belong to KEYS; the caller frees the list. */
int
st_keys_changes_since (const st_keys_t *keys, pr_store_position_t after,
                       size_t max_bytes, pr_store_update_t *out)
{
  const keys_entry_t *key;

  if (pr_store_position_cmp (after, keys->complete_since) < 0
      || after.epoch != keys->complete_since.epoch)
    return 0;
  if (pr_store_position_cmp (after, out->at) >= 0)
    return 1;
  out->items = el_alloc ((HASH_COUNT (keys->keys) + 1) * sizeof *out->items);
  for (key = keys->keys; key; key = key->hh.next)
    if (pr_store_position_cmp (key->at, after) > 0)
      out->items[out->n++] = key_item (key);
  changes_limit (out, max_bytes);
  return 1;
}

/* The first key in the order of names after AFTER. */
static const keys_entry_t *
key_after (st_keys_t *keys, el_str_t after)
{
  const keys_entry_t *key;

  if (keys->unsorted)
    HASH_SORT (keys->keys, key_cmp);
  keys->unsorted = 0;
  key = after.len ? key_find (keys, after) : NULL;
  if (key)
    return key->hh.next;
  for (key = keys->keys; key && name_cmp (key_name (key), after) <= 0;
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
      pr_store_item_t item = key_item (key);

      if (last.len && name_cmp (item.key, last) > 0)
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

/** Returns the counts since the last call and resets them. */
st_keys_counts_t
st_keys_counts_take (st_keys_t *keys)
{
  st_keys_counts_t counts = keys->counts;

  keys->counts = (st_keys_counts_t){ 0 };
  return counts;
}
