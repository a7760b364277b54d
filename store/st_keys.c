/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The keys of a store, with the position of the last known change of each. It
 * decides which of two changes of a key is newer, which keys a full read shows
 * to be removed, and which changes another host still needs. No function here
 * does I/O.
 *
 * Removed keys are kept, so that other hosts can get the changes since their
 * position, also across a further read in the same epoch. Not all removals are
 * known: when there are too many, the oldest are dropped; and a read does not
 * show keys that were created and removed since the position before it (the
 * gap). A host whose position is before the dropped ones or inside the gap has
 * to read all keys.
 *
 * Keys may be newer than the position up to which all changes are known, as
 * the pages of a read are not one snapshot.
 *
 * A store restored from an older copy lacks what was written since that copy,
 * and has again what was removed since, until the writers have written their
 * changes again. Differences of both kinds in the first read of an epoch
 * are therefore held back until st_keys_release_held; a change reported after
 * the read takes effect at once.
 */
#include <stdlib.h>
#include <string.h>

#include "libstore.h"
#include "map.h"

/* Default limit of the removed keys that are kept. */
#define GONE_MAX 8192

/** Creates an empty set of keys. */
st_keys_t *
st_keys_new (const st_keys_options_t *options)
{
  st_keys_t *keys = el_alloc (sizeof *keys);

  keys->options = *options;
  if (!keys->options.gone_max)
    keys->options.gone_max = GONE_MAX;
  return keys;
}

/** Compares names of keys in their order. */
int
keys_name_cmp (el_str_t a, el_str_t b)
{
  size_t len = a.len < b.len ? a.len : b.len;
  int order = len ? memcmp (a.ptr, b.ptr, len) : 0;

  return order ? order : (a.len > b.len) - (a.len < b.len);
}

/** Returns the name of a key. */
el_str_t
keys_entry_name (const keys_entry_t *key)
{
  return (el_str_t){ key->name, key->len };
}

/** Compares keys by their names. */
int
keys_entry_cmp (const keys_entry_t *a, const keys_entry_t *b)
{
  return keys_name_cmp (keys_entry_name (a), keys_entry_name (b));
}

/** Finds a key; NULL if it is not known. */
keys_entry_t *
keys_find (const st_keys_t *keys, el_str_t name)
{
  keys_entry_t *key;

  HASH_FIND (hh, keys->keys, name.ptr, (unsigned)name.len, key);
  return key;
}

static keys_entry_t *
key_get (st_keys_t *keys, el_str_t name)
{
  keys_entry_t *key = keys_find (keys, name);
  const keys_entry_t *last;

  if (key)
    return key;
  last = keys->keys
             ? ELMT_FROM_HH (keys->keys->hh.tbl, keys->keys->hh.tbl->tail)
             : NULL;
  key = el_alloc (sizeof *key);
  key->name = (char *)(uintptr_t)el_str_dup (name).ptr;
  key->len = name.len;
  keys->unsorted = keys->unsorted || (last && keys_entry_cmp (last, key) > 0);
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
key_set_held (st_keys_t *keys, keys_entry_t *key, uint64_t held)
{
  keys->nheld += (size_t)(held != 0) - (size_t)(key->held != 0);
  key->held = held;
}

/* Sets the position of the last change of KEY. */
static void
key_set_at (st_keys_t *keys, keys_entry_t *key, pr_store_position_t at)
{
  key->at = at;
  key->gone_early = 0;
  key->sequence = ++keys->sequence;
  if (pr_store_position_cmp (at, keys->newest) > 0)
    keys->newest = at;
}

static void
key_free (st_keys_t *keys, keys_entry_t *key)
{
  HASH_DEL (keys->keys, key);
  keys->ngone -= (size_t)key->gone;
  keys->nheld -= (size_t)(key->held != 0);
  el_str_free (&key->value);
  free (key->name);
  free (key);
}

/** Frees the set and all its keys. */
void
st_keys_free (st_keys_t *keys)
{
  keys_entry_t *key;
  keys_entry_t *next;

  HASH_ITER (hh, keys->keys, key, next) { key_free (keys, key); }
  free (keys);
}

/** Returns a key as it is passed on; the strings belong to it. */
pr_store_item_t
keys_entry_item (const keys_entry_t *key)
{
  return (pr_store_item_t){ .key = keys_entry_name (key),
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
  key_set_held (keys, key, 0);
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
  key_set_held (keys, key, keys->read);
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

/* Drops the older half of the removed keys if there are too many. */
static void
keys_drop_gone (st_keys_t *keys)
{
  pr_store_position_t *list;
  pr_store_position_t limit;
  keys_entry_t *key;
  keys_entry_t *next;
  size_t n = 0;

  if (keys->ngone <= keys->options.gone_max)
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

static keys_entry_t *
item_apply (st_keys_t *keys, uint64_t epoch, const pr_store_item_t *item)
{
  keys_entry_t *key = key_get (keys, item->key);
  pr_store_position_t at = { epoch, item->revision };
  int order = pr_store_position_cmp (at, key->at);
  int same = key->known && key_matches (key, item);
  int other_epoch = epoch != key->at.epoch;
  int reappeared = key->known && (key->gone || key->held) && !item->gone;

  if (key->known && (order < 0 || (order == 0 && same)))
    {
      keys->counts.older += order < 0;
      return key;
    }
  key_set_at (keys, key, at);
  if (keys->in_read && other_epoch && reappeared)
    key_hold (keys, key, item);
  else if (!(same && other_epoch) || key->held)
    key_apply (keys, key, item);
  return key;
}

/** Applies ITEM, a change made in EPOCH. If a key has its known state in a new
    epoch as well, only its position changes. */
void
st_keys_apply (st_keys_t *keys, uint64_t epoch, const pr_store_item_t *item)
{
  item_apply (keys, epoch, item);
  keys_drop_gone (keys);
}

/** Begins a read: st_keys_apply_page will be passed all keys. */
void
st_keys_begin_read (st_keys_t *keys)
{
  keys->read++;
  keys->in_read = 1;
  keys->page_before = keys->newest_page;
}

static void
key_remove (st_keys_t *keys, keys_entry_t *key, pr_store_position_t at)
{
  const pr_store_item_t item
      = { .key = keys_entry_name (key), .revision = at.revision, .gone = 1 };

  key_set_at (keys, key, at);
  key_apply (keys, key, &item);
}

/* Handles a key that PAGE, whose keys it lies between, lacks. */
static void
key_missing (st_keys_t *keys, keys_entry_t *key, const st_keys_page_t *page)
{
  const pr_store_item_t item = { .key = keys_entry_name (key),
                                 .revision = page->at.revision,
                                 .gone = 1 };

  if (key->at.epoch < page->at.epoch)
    {
      if (!key->gone)
        key_hold (keys, key, &item);
      else if (!key->held)
        key_free (keys, key);
    }
  else if (page->lags && pr_store_position_cmp (key->at, page->at) > 0)
    return;
  else if (!key->gone || key->gone_early)
    {
      pr_store_position_t at
          = pr_store_position_cmp (key->at, page->at) > 0 ? key->at : page->at;

      if (key->gone)
        key_set_at (keys, key, at);
      else
        key_remove (keys, key, at);
      key->gone_early = page->lags;
    }
}

static void
newest_page_set (st_keys_t *keys, pr_store_position_t at)
{
  if (pr_store_position_cmp (at, keys->newest_page) > 0)
    keys->newest_page = at;
}

/** Applies PAGE, which lacks keys that have been removed. In the first read of
    an epoch their removal is held back. */
void
st_keys_apply_page (st_keys_t *keys, const st_keys_page_t *page)
{
  el_str_t last = { NULL, 0 };
  keys_entry_t *key;
  keys_entry_t *next;
  size_t i;

  newest_page_set (keys, page->at);
  newest_page_set (keys,
                   (pr_store_position_t){ page->at.epoch, page->newest_page });
  for (i = 0; i < page->n; i++)
    item_apply (keys, page->at.epoch, &page->items[i])->read = keys->read;
  if (page->more)
    last = page->items[page->n - 1].key;
  HASH_ITER (hh, keys->keys, key, next)
  if (key->read != keys->read
      && keys_name_cmp (keys_entry_name (key), page->after) > 0
      && (!last.len || keys_name_cmp (keys_entry_name (key), last) <= 0))
    key_missing (keys, key, page);
  keys_drop_gone (keys);
}

/* Adds a gap to the known one. If they do not overlap, removals are known
   after the former gap only. */
static void
gap_add (st_keys_t *keys, pr_store_gap_t gap)
{
  if (gap.from >= gap.to || gap.to <= keys->complete_since.revision)
    return;
  if (gap.from < keys->gap.to && gap.to > keys->gap.from)
    {
      gap.from = gap.from < keys->gap.from ? gap.from : keys->gap.from;
      gap.to = gap.to > keys->gap.to ? gap.to : keys->gap.to;
    }
  else if (keys->gap.to > keys->complete_since.revision)
    keys->complete_since.revision = keys->gap.to;
  keys->gap = gap;
}

/** Ends a read of which the first page had the position AT. All changes up to
    BEFORE were known before it; if the keys that existed then were known too,
    the changes since are known but for the gap. */
void
st_keys_end_read (st_keys_t *keys, pr_store_position_t before,
                  pr_store_position_t at)
{
  keys->in_read = 0;
  if (before.epoch == at.epoch && before.revision
      && pr_store_position_cmp (before, keys->page_before) >= 0)
    {
      gap_add (keys, (pr_store_gap_t){ before.revision, at.revision });
      return;
    }
  keys->complete_since = at;
  keys->gap = (pr_store_gap_t){ 0, 0 };
}

/** Begins a list of changes from another host. */
void
st_keys_begin_list (st_keys_t *keys)
{
  keys->list++;
}

/** Applies a piece of a list of changes from another host, but for those up to
    the position KNOWN. */
void
st_keys_apply_list (st_keys_t *keys, pr_store_position_t known,
                    const pr_store_update_t *update)
{
  size_t i;

  newest_page_set (
      keys, (pr_store_position_t){ update->at.epoch, update->newest_page });
  for (i = 0; i < update->n; i++)
    {
      keys_entry_t *key;

      if (update->items[i].revision <= known.revision)
        continue;
      key = item_apply (keys, update->at.epoch, &update->items[i]);
      if (key->at.revision == update->items[i].revision)
        key->list = keys->list;
    }
  keys_drop_gone (keys);
}

/** Ends the list of which UPDATE is the last piece. All changes up to BEFORE
    were known. A key that was changed between the two positions, and whose
    change the list lacks, has been removed: its sender never had it. */
void
st_keys_end_list (st_keys_t *keys, pr_store_position_t before,
                  const pr_store_update_t *update)
{
  keys_entry_t *key;

  if (pr_store_position_cmp (update->at, before) <= 0)
    return;
  if (update->gap.to > before.revision)
    gap_add (keys, update->gap);
  if (pr_store_position_cmp (keys->newest, before) <= 0)
    return;
  for (key = keys->keys; key; key = key->hh.next)
    if (!key->gone && key->list != keys->list
        && pr_store_position_cmp (key->at, before) > 0
        && pr_store_position_cmp (key->at, update->at) <= 0)
      {
        key_remove (keys, key, update->at);
        key->gone_early = 1;
      }
  keys_drop_gone (keys);
}

/** Passes to the callback what was held back and has not changed since, but
   for what a read that has not ended holds back. */
void
st_keys_release_held (st_keys_t *keys)
{
  keys_entry_t *key;
  keys_entry_t *next;

  HASH_ITER (hh, keys->keys, key, next)
  {
    const pr_store_item_t item = keys_entry_item (key);

    if (!key->held || (keys->in_read && key->held == keys->read))
      continue;
    key_apply (keys, key, &item);
    if (item.gone)
      key_free (keys, key);
  }
}

/** Returns the revision in EPOCH before which removed keys may be unknown. */
uint64_t
st_keys_newest_page (const st_keys_t *keys, uint64_t epoch)
{
  return keys->newest_page.epoch == epoch ? keys->newest_page.revision : 0;
}

/** Returns whether changes are held back. */
int
st_keys_has_held (const st_keys_t *keys)
{
  return keys->nheld != 0;
}

/** Returns the counts since the last call and resets them. */
st_keys_counts_t
st_keys_counts_take (st_keys_t *keys)
{
  st_keys_counts_t counts = keys->counts;

  keys->counts = (st_keys_counts_t){ 0 };
  return counts;
}
