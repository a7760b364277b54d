/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The keys of a store as far as they are known: which change of a key is
 * newer, which keys a whole reading shows to be gone, and what another host
 * has yet to be told. Nothing here does I/O.
 *
 * A store that goes on from an older copy lacks what was written since, and
 * has again what was removed since, until its writers have done so anew. The
 * first reading of an epoch is not believed in either until gt_keys_settle; a
 * change that is told after it counts at once.
 */
#include <stdlib.h>

#include "map.h"
#include "store_keys.h"

/* A key with the position of its last change. */
typedef struct keys_key
{
  char *name;
  size_t len;
  pr_store_position_t at;
  el_str_t value;
  int known; /* it was shown before */
  int gone;
  int held;         /* this was not handed on yet */
  uint64_t reading; /* number of the reading that showed it last */
  UT_hash_handle hh;
} keys_key_t;

struct gt_keys
{
  gt_keys_options_t options;
  keys_key_t *keys;
  uint64_t reading; /* number of the last or present whole reading */
  int in_reading;   /* it is under way */
  pr_store_position_t
      read_at; /* changes up to it are known by a whole reading */
  gt_keys_counts_t counts;
};

/** No key is known. */
gt_keys_t *
gt_keys_new (const gt_keys_options_t *options)
{
  gt_keys_t *keys = el_alloc (sizeof *keys);

  keys->options = *options;
  return keys;
}

static keys_key_t *
key_get (gt_keys_t *keys, el_str_t name)
{
  keys_key_t *key;

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
key_free (gt_keys_t *keys, keys_key_t *key)
{
  HASH_DEL (keys->keys, key);
  el_str_free (&key->value);
  free (key->name);
  free (key);
}

/** Forget all keys. */
void
gt_keys_free (gt_keys_t *keys)
{
  keys_key_t *key;
  keys_key_t *next;

  HASH_ITER (hh, keys->keys, key, next) { key_free (keys, key); }
  free (keys);
}

static pr_store_item_t
key_item (const keys_key_t *key)
{
  return (pr_store_item_t){ .key = { key->name, key->len },
                            .value = key->value,
                            .revision = key->at.revision,
                            .gone = key->gone };
}

/* Whether ITEM says of KEY what is known. */
static int
key_says (const keys_key_t *key, const pr_store_item_t *item)
{
  return key->gone == (item->gone != 0)
         && (item->gone || el_str_eq (key->value, item->value));
}

/* Hand ITEM on. One that is refused, as what is known is newer by its own
   count, leaves the value that other hosts are told. */
static void
key_set (gt_keys_t *keys, keys_key_t *key, const pr_store_item_t *item)
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

/* ITEM is how KEY stands, to be handed on when it still does. */
static void
key_hold (gt_keys_t *keys, keys_key_t *key, const pr_store_item_t *item)
{
  keys->counts.held += !key->held;
  key->held = 1;
  key->gone = item->gone != 0;
  if (item->gone)
    return;
  el_str_free (&key->value);
  key->value = el_str_dup (item->value);
}

/** ITEM is a change in EPOCH. An epoch that shows a key as it was known says
    nothing new of it. */
void
gt_keys_item (gt_keys_t *keys, uint64_t epoch, const pr_store_item_t *item)
{
  keys_key_t *key = key_get (keys, item->key);
  pr_store_position_t at = { epoch, item->revision };
  int order = pr_store_position_cmp (at, key->at);
  int same = key->known && key_says (key, item);
  int again = epoch != key->at.epoch;
  int back = key->known && (key->gone || key->held) && !item->gone;

  key->reading = keys->reading;
  if (key->known && (order < 0 || (order == 0 && same)))
    {
      keys->counts.older += order < 0;
      return;
    }
  key->at = at;
  if (keys->in_reading && again && back)
    key_hold (keys, key, item);
  else if (!(same && again))
    key_set (keys, key, item);
}

/** A whole reading begins. */
void
gt_keys_begin (gt_keys_t *keys)
{
  keys->reading++;
  keys->in_reading = 1;
}

/** The reading is done, and shows all changes up to AT: keys that it did not
    show are gone, or, where it is the first of an epoch, may be. */
void
gt_keys_end (gt_keys_t *keys, pr_store_position_t at)
{
  keys_key_t *key;
  keys_key_t *next;

  keys->read_at = at;
  keys->in_reading = 0;
  HASH_ITER (hh, keys->keys, key, next)
  {
    pr_store_item_t item = { .key = { key->name, key->len },
                             .revision = at.revision,
                             .gone = 1 };

    if (key->reading == keys->reading || (key->held && key->gone))
      continue;
    if (!key->gone && key->at.epoch < at.epoch)
      {
        key_hold (keys, key, &item);
        continue;
      }
    if (!key->gone)
      key_set (keys, key, &item);
    key_free (keys, key);
  }
}

/** Hand on what was held back and has not changed since. */
void
gt_keys_settle (gt_keys_t *keys)
{
  keys_key_t *key;
  keys_key_t *next;

  HASH_ITER (hh, keys->keys, key, next)
  {
    pr_store_item_t item = key_item (key);

    if (!key->held)
      continue;
    key_set (keys, key, &item);
    if (item.gone)
      key_free (keys, key);
  }
}

/** Append to OUT what changed after a position, or all keys where not every
    removal since then is known. The strings stay here; the list is freed by
    the caller. */
void
gt_keys_tell (const gt_keys_t *keys, pr_store_position_t after,
              pr_store_update_t *out)
{
  const keys_key_t *key;

  out->whole = pr_store_position_cmp (after, keys->read_at) < 0;
  out->items = el_alloc ((HASH_COUNT (keys->keys) + 1) * sizeof *out->items);
  for (key = keys->keys; key; key = key->hh.next)
    if (out->whole ? !key->gone : pr_store_position_cmp (key->at, after) > 0)
      out->items[out->n++] = key_item (key);
}

/** What was taken in and what was older since the last call. */
gt_keys_counts_t
gt_keys_counts_take (gt_keys_t *keys)
{
  gt_keys_counts_t counts = keys->counts;

  keys->counts = (gt_keys_counts_t){ 0 };
  return counts;
}
