/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * A mirror of the keys of a store, and what hosts state about theirs to each
 * other. A position that a mirror states covers all changes up to it: it is
 * moved on by a watch, by the last page of a read, to the position of the
 * first one, and by the last piece of a list. Keys may be newer than it. No
 * function here does I/O.
 *
 * A list of changes is sent in pieces, in the order in which its sender took
 * the changes. No piece but the last one moves the position of its receiver,
 * as a later change may hide one before it, and the sender may yet take
 * changes that are older than those of the piece. Only the same sender can
 * continue a list.
 */
#include "libstore.h"

/** Creates an empty mirror that is to be read. */
void
st_mirror_init (st_mirror_t *mirror, const st_keys_options_t *options)
{
  *mirror = (st_mirror_t){ .keys = st_keys_new (options), .reading = 1 };
}

/** Frees what the mirror holds. */
void
st_mirror_free (st_mirror_t *mirror)
{
  st_keys_free (mirror->keys);
  el_buf_free (&mirror->cursor);
  el_buf_free (&mirror->asked_cursor);
}

/** Starts a read of all keys anew. The keys known so far stay, and so does
    their position. */
void
st_mirror_reread (st_mirror_t *mirror)
{
  mirror->reading = 1;
  mirror->read++;
  mirror->list_sequence = 0;
  el_buf_reset (&mirror->cursor);
}

/** Returns whether the pages read so far are of an epoch before EPOCH. */
int
st_mirror_read_is_stale (const st_mirror_t *mirror, uint64_t epoch)
{
  return mirror->cursor.len && mirror->read_at.epoch != epoch;
}

/* Returns whether all keys were read in EPOCH. */
static int
complete_in (const st_mirror_t *mirror, uint64_t epoch)
{
  return mirror->complete && mirror->at.epoch == epoch;
}

/* Returns whether PAGE continues the read. The first page must not be of a
   host that is behind this one, nor a further page of a source behind that of
   the first one. */
static int
page_continues (const st_mirror_t *mirror, const st_keys_page_t *page)
{
  if (page->read != mirror->read
      || !el_str_eq (page->after, el_buf_str (&mirror->cursor))
      || (page->more && !page->n))
    return 0;
  if (mirror->cursor.len)
    return pr_store_position_cmp (page->at, mirror->read_at) >= 0;
  return !page->lags || !complete_in (mirror, page->at.epoch)
         || pr_store_position_cmp (page->at, mirror->at) >= 0;
}

/* Begins a read with its first page. If the store is behind this mirror, what
   was known after the store's position is void. */
static void
read_begin (st_mirror_t *mirror, const st_keys_page_t *page)
{
  if (complete_in (mirror, page->at.epoch)
      && pr_store_position_cmp (page->at, mirror->at) < 0)
    mirror->complete = 0;
  mirror->read_at = page->at;
  mirror->read_as_of = page->as_of;
  st_keys_begin_read (mirror->keys);
}

static void
read_end (st_mirror_t *mirror)
{
  static const pr_store_position_t none = { 0, 0 };
  int further = complete_in (mirror, mirror->read_at.epoch);

  st_keys_end_read (mirror->keys, further ? mirror->at : none,
                    mirror->read_at);
  if (!further || pr_store_position_cmp (mirror->read_at, mirror->at) > 0)
    mirror->at = mirror->read_at;
  mirror->complete = 1;
  mirror->reading = 0;
}

/** Applies the next page of a read. A page that does not continue it is
    ignored. */
st_mirror_result_t
st_mirror_apply_page (st_mirror_t *mirror, const st_keys_page_t *page)
{
  if (!mirror->reading || !page_continues (mirror, page))
    return ST_MIRROR_IGNORED;
  if (mirror->cursor.len == 0)
    read_begin (mirror, page);
  st_keys_apply_page (mirror->keys, page);
  el_buf_reset (&mirror->cursor);
  if (page->more)
    {
      el_buf_add (&mirror->cursor, page->items[page->n - 1].key);
      return ST_MIRROR_PIECE;
    }
  read_end (mirror);
  return ST_MIRROR_WHOLE;
}

/** Applies changes that the store reported after AFTER, a position that this
    mirror had, all up to REVISION. A read that began meanwhile may have passed
    the keys already, so that they are ignored; so are those before the
    position that a read has reached. */
st_mirror_result_t
st_mirror_apply_watch (st_mirror_t *mirror, pr_store_position_t after,
                       const pr_store_item_t *items, size_t n,
                       uint64_t revision)
{
  uint64_t known = mirror->at.revision;
  size_t i;

  if (mirror->reading || mirror->at.epoch != after.epoch)
    return ST_MIRROR_IGNORED;
  for (i = 0; i < n; i++)
    if (items[i].revision > known)
      st_keys_apply (mirror->keys, mirror->at.epoch, &items[i]);
  if (revision > known)
    mirror->at.revision = revision;
  return ST_MIRROR_WHOLE;
}

/** Writes to OUT what to ask HOST for; EPOCH is the latest known one. The
    cursor belongs to the mirror. */
void
st_mirror_ask (st_mirror_t *mirror, uint64_t epoch,
               const co_incarnation_t *host, pr_store_query_t *out)
{
  *out = (pr_store_query_t){ .after = mirror->at, .read = mirror->reading };
  if (mirror->reading)
    {
      if (mirror->cursor.len)
        out->after = mirror->read_at;
      else if (!complete_in (mirror, epoch))
        out->after = (pr_store_position_t){ epoch, 0 };
    }
  else if (!mirror->list_sequence
           || !co_incarnation_eq (&mirror->list_host, host))
    {
      mirror->list_sequence = 0;
      mirror->list_host = *host;
      st_keys_begin_list (mirror->keys);
    }
  mirror->asked_read = mirror->read;
  el_buf_reset (&mirror->asked_cursor);
  el_buf_add (&mirror->asked_cursor, el_buf_str (&mirror->cursor));
  out->cursor = el_buf_str (&mirror->asked_cursor);
  out->sequence = mirror->reading ? 0 : mirror->list_sequence;
}

/** Applies the page that another host sent; EPOCH is the latest known one. */
st_mirror_result_t
st_mirror_take_page (st_mirror_t *mirror, uint64_t epoch,
                     const pr_store_update_t *update)
{
  const st_keys_page_t page = { .read = mirror->asked_read,
                                .after = el_buf_str (&mirror->asked_cursor),
                                .items = update->items,
                                .n = update->n,
                                .more = update->more,
                                .at = update->at,
                                .as_of = update->as_of,
                                .newest_page = update->newest_page,
                                .lags = 1 };

  if (update->at.epoch != epoch)
    return ST_MIRROR_IGNORED;
  return st_mirror_apply_page (mirror, &page);
}

/** Applies the piece of a list that the host asked last sent; EPOCH is the
    latest known one. */
st_mirror_result_t
st_mirror_take_changes (st_mirror_t *mirror, uint64_t epoch,
                        const pr_store_update_t *update)
{
  if (mirror->reading || update->at.epoch != epoch
      || mirror->at.epoch != epoch)
    return ST_MIRROR_IGNORED;
  st_keys_apply_list (mirror->keys, mirror->at, update);
  if (update->more)
    {
      mirror->list_sequence = update->sequence;
      return ST_MIRROR_PIECE;
    }
  st_keys_end_list (mirror->keys, mirror->at, update);
  mirror->list_sequence = 0;
  if (pr_store_position_cmp (update->at, mirror->at) > 0)
    mirror->at = update->at;
  return ST_MIRROR_WHOLE;
}

/* Gives the next page. While this mirror is being read in the latest epoch for
   the first time, it passes on the keys that it has. */
static void
give_page (const st_mirror_t *mirror, uint64_t epoch,
           const pr_store_query_t *query, size_t max_bytes,
           pr_store_update_t *out)
{
  int partial = !complete_in (mirror, epoch);
  el_str_t last = { NULL, 0 };

  if (partial)
    {
      last = el_buf_str (&mirror->cursor);
      out->at = mirror->read_at;
      out->as_of = mirror->read_as_of;
      if (!mirror->reading || !last.len
          || st_mirror_read_is_stale (mirror, epoch))
        return;
    }
  if (pr_store_position_cmp (out->at, query->after) < 0)
    return;
  st_keys_page (mirror->keys, query->cursor, last, max_bytes, out);
  out->more = out->more || partial;
  if (!partial || out->n)
    out->state = PR_UPDATE_PAGE;
}

/** Writes to OUT what another host asks for, at most about MAX_BYTES of it;
    EPOCH is the latest known one. OUT->as_of has to be that of the whole
    mirror. The items belong to the mirror; the caller frees the list. */
void
st_mirror_give (const st_mirror_t *mirror, uint64_t epoch,
                const pr_store_query_t *query, size_t max_bytes,
                pr_store_update_t *out)
{
  out->at = mirror->at;
  if (query->read)
    give_page (mirror, epoch, query, max_bytes, out);
  else if (!mirror->complete || query->after.epoch > mirror->at.epoch)
    return;
  else if (mirror->at.epoch != epoch)
    {
      out->at = (pr_store_position_t){ epoch, 0 };
      out->state = PR_UPDATE_READ_ALL;
    }
  else if (st_keys_changes_since (mirror->keys, query, max_bytes, out))
    out->state = PR_UPDATE_CHANGES;
  else
    out->state = PR_UPDATE_READ_ALL;
  out->newest_page = st_keys_newest_page (mirror->keys, out->at.epoch);
}
