/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The hosts of a hall in the order in which they act for it, and the few
 * members that a host which has just started is told of.
 */
#include <stdlib.h>
#include <string.h>

#include "libcoord.h"

/* Returns whether MEMBER is eligible to act for the hosts of HALL. */
static int
member_is_eligible (const co_member_t *member, el_str_t hall)
{
  return member->state == CO_MBR_ALIVE && member->offer != CO_MBR_DRAINING
         && el_str_eq (member->hall, hall);
}

/** Returns whether A precedes B in the order by which one host is chosen to
    act for several: by higher capacity, then by lower incarnation. Whether a
    host is withdrawn is not considered: otherwise, while all hosts are
    withdrawn and are offered again one by one, no host would know which one
    comes first. */
int
co_member_ranks_before (const co_member_t *a, const co_member_t *b)
{
  if (a->capacity != b->capacity)
    return a->capacity > b->capacity;
  return memcmp (a->incarnation.byte, b->incarnation.byte,
                 CO_INCARNATION_BYTES)
         < 0;
}

/** Returns whether this host is among the first MAX of its hall, which perform
    the tasks that only a few hosts should perform. Every host determines
    this from its own view. While views differ, a few hosts more or fewer may
    perform them, which is harmless. */
int
co_members_is_top_ranked (const co_members_t *members, size_t max)
{
  size_t before = 0;
  mbr_entry_t *entry;
  mbr_entry_t *next;

  HASH_ITER (hh, members->entries, entry, next)
  if (member_is_eligible (&entry->m, members->self.hall)
      && co_member_ranks_before (&entry->m, &members->self))
    before++;
  return before < max;
}

/** Returns the first member of this hall (this host included) after AFTER, or
    the very first one when AFTER is NULL, that is alive, not draining and not
    skipped; NULL when there is none. Hosts with the same view get the same
    result. */
const co_member_t *
co_members_next_ranked (const co_members_t *members, const co_member_t *after,
                        co_member_skip_cb skip, void *arg)
{
  const co_member_t *first = NULL;
  mbr_entry_t *entry;
  mbr_entry_t *next;

  if (member_is_eligible (&members->self, members->self.hall)
      && (!after || co_member_ranks_before (after, &members->self))
      && !skip (arg, &members->self))
    first = &members->self;
  HASH_ITER (hh, members->entries, entry, next)
  if (member_is_eligible (&entry->m, members->self.hall)
      && (!after || co_member_ranks_before (after, &entry->m))
      && (!first || co_member_ranks_before (&entry->m, first))
      && !skip (arg, &entry->m))
    first = &entry->m;
  return first;
}

/** Returns how many hosts of all halls that are alive and not draining come
    before this one where a single host is chosen. Withdrawn hosts keep their
    place: a common start would else pass a task from one to the next. */
size_t
co_members_count_preferred (const co_members_t *members)
{
  const mbr_entry_t *entry;
  size_t n = 0;

  for (entry = members->entries; entry; entry = entry->hh.next)
    n += entry->m.state == CO_MBR_ALIVE && entry->m.offer != CO_MBR_DRAINING
         && co_member_ranks_before (&entry->m, &members->self);
  return n;
}

/* Rendezvous hashing: the eligible host with the highest hash is chosen. A
   suspect host counts as alive until it is declared dead. */
static int
draw_is_eligible (const co_member_t *member)
{
  return member->state <= CO_MBR_SUSPECT && member->offer != CO_MBR_DRAINING;
}

static uint64_t
draw_hash (const co_member_t *member, uint64_t draw)
{
  return XXH3_64bits_withSeed (member->incarnation.byte, CO_INCARNATION_BYTES,
                               draw);
}

/** Returns the host, possibly this one, that performs the task DRAW for all
    hosts; NULL if there is none. Hosts with the same view get the same
    result, and tasks are spread over all hosts. */
const co_member_t *
co_members_pick_by_draw (const co_members_t *members, uint64_t draw)
{
  const co_member_t *best = NULL;
  const mbr_entry_t *entry;
  uint64_t highest = 0;
  uint64_t hash;

  if (draw_is_eligible (&members->self))
    {
      best = &members->self;
      highest = draw_hash (best, draw);
    }
  for (entry = members->entries; entry; entry = entry->hh.next)
    {
      if (!draw_is_eligible (&entry->m))
        continue;
      hash = draw_hash (&entry->m, draw);
      if (best && hash <= highest)
        continue;
      best = &entry->m;
      highest = hash;
    }
  return best;
}

static int
rank_cmp (const void *a, const void *b)
{
  const co_member_t *x = *(const co_member_t *const *)a;
  const co_member_t *y = *(const co_member_t *const *)b;

  return co_member_ranks_before (y, x) - co_member_ranks_before (x, y);
}

/* Lists the eligible members of HALL that are not skipped, in rank order. */
static size_t
hall_list (const co_members_t *members, el_str_t hall, co_member_skip_cb skip,
           void *arg, const co_member_t ***out)
{
  mbr_entry_t *entry;
  size_t n = 0;

  *out = el_alloc ((HASH_COUNT (members->entries) + 1) * sizeof **out);
  if (member_is_eligible (&members->self, hall))
    (*out)[n++] = &members->self;
  for (entry = members->entries; entry; entry = entry->hh.next)
    if (member_is_eligible (&entry->m, hall)
        && !(skip && skip (arg, &entry->m)))
      (*out)[n++] = &entry->m;
  qsort (*out, n, sizeof **out, rank_cmp);
  return n;
}

/** Lists the members of this hall, this host included, that are alive, not
    draining and not skipped, in rank order; SKIP may be NULL and is not called
    for this host. The caller frees the list. Returns their number. */
size_t
co_members_rank_hall (const co_members_t *members, co_member_skip_cb skip,
                      void *arg, const co_member_t ***out)
{
  return hall_list (members, members->self.hall, skip, arg, out);
}

static int
list_has (const co_member_t *const *list, size_t n, const co_member_t *member)
{
  size_t i;

  for (i = 0; i < n; i++)
    if (list[i] == member)
      return 1;
  return 0;
}

/** Stores up to MAX members in OUT for a host of HALL that has just started,
    and returns their number: this host, the first ones of that hall, and as
    many others at random. The reply of a host to which a whole fleet turns
    at once thus does not grow with the fleet. */
size_t
co_members_introduce (co_members_t *members, el_str_t hall,
                      const co_member_t **out, size_t max)
{
  const co_member_t **ranked;
  const co_member_t **others = el_alloc (max * sizeof *others);
  size_t nranked = hall_list (members, hall, NULL, NULL, &ranked);
  size_t nothers = co_members_sample (members, others, max);
  size_t n = 0;
  size_t i;

  if (max)
    out[n++] = &members->self;
  for (i = 0; i < nranked && n < (max + 1) / 2; i++)
    if (!list_has (out, n, ranked[i]))
      out[n++] = ranked[i];
  for (i = 0; i < nothers && n < max; i++)
    if (!list_has (out, n, others[i]))
      out[n++] = others[i];
  free (ranked);
  free (others);
  return n;
}
