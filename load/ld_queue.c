/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The order in which requests of a service wait. Load pattern: a burst of some
 * customers or of a low rank that takes all room, while requests of a higher
 * rank go on arriving.
 *
 * Requests of the highest rank go first; in a rank, those that were sent and
 * refused, then customers in turn. A rank that waits has at least one of
 * LD_SHARE + 1 starts for each rank above it, so that none starves.
 */
#include <string.h>

#include "libload.h"

/* Starts of higher ranks after which a rank that waits has the next one. */
#define LD_SHARE 8
/* Weights of the newest request in the moving averages of durations, of the
   places in use and of the ranks' shares of them. */
#define DURATION_WEIGHT 0.05
#define PLACES_WEIGHT 0.05
#define START_WEIGHT 0.02

/** Creates an empty queue. */
ld_queue_t *
ld_queue_new (const ld_queue_options_t *options)
{
  ld_queue_t *queue = el_alloc (sizeof *queue);

  queue->options = *options;
  return queue;
}

/** Frees QUEUE; its entries no longer wait. QUEUE may be NULL. */
void
ld_queue_free (ld_queue_t *queue)
{
  size_t i;

  if (!queue)
    return;
  for (i = 0; i < LD_RANKS; i++)
    {
      while (queue->ranks[i].newest)
        ld_queue_remove (queue->ranks[i].newest);
      free (queue->ranks[i].heap.list);
    }
  free (queue);
}

static unsigned
rank_of (const ld_entry_t *entry)
{
  return entry->rank < LD_RANKS ? entry->rank : LD_RANKS - 1;
}

static ld_turns_t *
turns_find (const ld_rank_t *rank, const ld_entry_t *entry)
{
  ld_turns_t *turns;

  HASH_FIND (hh, rank->customers, &entry->customer, sizeof entry->customer,
             turns);
  return turns;
}

/* Gives ENTRY the next turn of its customer, which is not before the turn that
   the rank has reached. */
static void
turn_take (ld_rank_t *rank, ld_entry_t *entry)
{
  ld_turns_t *turns = turns_find (rank, entry);

  if (!turns)
    {
      turns = el_alloc (sizeof *turns);
      turns->customer = entry->customer;
      HASH_ADD (hh, rank->customers, customer, sizeof turns->customer, turns);
    }
  if (turns->last < rank->turn)
    turns->last = rank->turn;
  entry->turn = ++turns->last;
  turns->waiting++;
}

static void
turn_release (ld_rank_t *rank, const ld_entry_t *entry)
{
  ld_turns_t *turns = turns_find (rank, entry);

  if (--turns->waiting)
    return;
  HASH_DEL (rank->customers, turns);
  free (turns);
}

/** Adds ENTRY, which does not wait yet. */
void
ld_queue_add (ld_queue_t *queue, el_time_t now, ld_entry_t *entry)
{
  ld_rank_t *rank = &queue->ranks[rank_of (entry)];

  if (rank->heap.n == 0)
    rank->passed = 0;
  entry->queue = queue;
  entry->sequence = queue->sequence++;
  entry->tried_at = now;
  if (!entry->since)
    {
      entry->since = now;
      queue->counts[rank_of (entry)].waited++;
    }
  turn_take (rank, entry);
  ld_heap_add (&rank->heap, entry);
  DL_PREPEND (rank->newest, entry);
  rank->refused += entry->refused != 0;
  queue->length++;
}

/** Removes ENTRY if it waits. */
void
ld_queue_remove (ld_entry_t *entry)
{
  ld_queue_t *queue = entry->queue;
  ld_rank_t *rank;

  if (!queue)
    return;
  rank = &queue->ranks[rank_of (entry)];
  turn_release (rank, entry);
  ld_heap_remove (&rank->heap, entry);
  DL_DELETE (rank->newest, entry);
  rank->refused -= entry->refused != 0;
  queue->length--;
  entry->queue = NULL;
}

/** The request that goes next; NULL if none waits. */
ld_entry_t *
ld_queue_first (const ld_queue_t *queue)
{
  ld_entry_t *first = NULL;
  size_t i;

  for (i = LD_RANKS; i-- > 0;)
    {
      const ld_rank_t *rank = &queue->ranks[i];

      if (!rank->heap.n)
        continue;
      first = rank->heap.list[0];
      if (rank->passed >= LD_SHARE)
        break;
    }
  return first;
}

/** Number of requests of RANK that wait. */
size_t
ld_queue_waiting (const ld_queue_t *queue, unsigned rank)
{
  return rank < LD_RANKS ? queue->ranks[rank].heap.n : 0;
}

/** Number of requests that wait. */
size_t
ld_queue_length (const ld_queue_t *queue)
{
  return queue->length;
}

/** Number of requests that go before ENTRY, at most: one that waits may have
    moved ahead of others of its rank. */
size_t
ld_queue_ahead (const ld_queue_t *queue, const ld_entry_t *entry)
{
  const ld_entry_t *first = ld_queue_first (queue);
  unsigned own = rank_of (entry);
  const ld_rank_t *rank = &queue->ranks[own];
  size_t ahead = entry->refused ? rank->refused : rank->heap.n;
  size_t i;

  if (first == entry)
    return 0;
  if (entry->queue)
    ahead = rank->heap.list[0] == entry ? 0 : rank->heap.n - 1;
  for (i = 0; i < own; i++)
    ahead += queue->ranks[i].heap.n;
  /* A lower rank has its share. */
  if (first && rank_of (first) > own)
    ahead++;
  return ahead;
}

/** A request that waits and is not expected to start in its time, the lowest
    rank first; NULL if there is none. The first one is not meant: it is
    tried. */
ld_entry_t *
ld_queue_hopeless (const ld_queue_t *queue, el_time_t now)
{
  const ld_entry_t *first = ld_queue_first (queue);
  size_t ahead = queue->length;
  size_t i;

  for (i = LD_RANKS; i-- > 0;)
    {
      const ld_rank_t *rank = &queue->ranks[i];
      ld_entry_t *newest = rank->newest;

      if (newest && newest != first
          && now + ld_queue_expected_wait (queue, (unsigned)i, ahead - 1)
                 > newest->until)
        return newest;
      ahead -= rank->heap.n;
    }
  return NULL;
}

/** The request that gives its place in a full queue to a new one of RANK: the
    newest one of the lowest rank; NULL if none has a lower rank. */
ld_entry_t *
ld_queue_displaced (const ld_queue_t *queue, unsigned rank)
{
  size_t i;

  for (i = LD_RANKS - 1; i > rank; i--)
    if (queue->ranks[i].newest)
      return queue->ranks[i].newest;
  return NULL;
}

/** Records that ENTRY, which may have waited, is sent to its endpoints;
    OFFERED: to check the estimate of their room. */
void
ld_queue_started (ld_queue_t *queue, el_time_t now, ld_entry_t *entry,
                  int offered)
{
  ld_rank_t *rank = &queue->ranks[rank_of (entry)];

  if (entry->queue && rank->turn < entry->turn)
    rank->turn = entry->turn;
  ld_queue_remove (entry);
  if (offered)
    queue->offered_at = now;
  queue->running++;
  if (queue->running > queue->places)
    queue->places = (double)queue->running;
}

/** Records that ENTRY, which was sent, has found room. */
void
ld_queue_served (ld_queue_t *queue, const ld_entry_t *entry)
{
  unsigned own = rank_of (entry);
  size_t i;

  for (i = 0; i < LD_RANKS; i++)
    {
      queue->ranks[i].share
          += START_WEIGHT * ((i == own) - queue->ranks[i].share);
      queue->ranks[i].passed += i > own && queue->ranks[i].heap.n;
    }
  queue->ranks[own].passed = 0;
  queue->counts[own].started++;
}

/** Records that a request that was sent has ended, after DURATION if it found
    room; 0: it was refused. */
void
ld_queue_ended (ld_queue_t *queue, el_time_t duration)
{
  if (queue->running)
    queue->running--;
  if (!duration)
    return;
  queue->places += PLACES_WEIGHT * ((double)queue->running - queue->places);
  if (queue->mean_duration <= 0)
    queue->mean_duration = (double)duration;
  else
    queue->mean_duration
        += DURATION_WEIGHT * ((double)duration - queue->mean_duration);
}

/** Number of requests per second that end here and leave room; 0: not
    known. */
double
ld_queue_rate (const ld_queue_t *queue)
{
  return queue->mean_duration > 0
             ? queue->places * (double)EL_SEC / queue->mean_duration
             : 0;
}

/** The time until room is expected for a request of RANK that AHEAD others go
    before; 0 if the rate of room is not known. Higher ranks go on taking
    their share of it. */
el_time_t
ld_queue_expected_wait (const ld_queue_t *queue, unsigned rank, size_t ahead)
{
  double rate = ld_queue_rate (queue);
  double left = 1;
  unsigned i;

  for (i = 0; i < rank && i < LD_RANKS; i++)
    left -= queue->ranks[i].share;
  if (left < 1.0 / (LD_SHARE + 1))
    left = 1.0 / (LD_SHARE + 1);
  return rate > 0 ? (el_time_t)((double)(ahead + 1) * (double)EL_SEC
                                / (rate * left))
                  : 0;
}

/** What became of the requests of RANK. */
ld_rank_counts_t *
ld_queue_counts (ld_queue_t *queue, unsigned rank)
{
  return &queue->counts[rank < LD_RANKS ? rank : LD_RANKS - 1];
}
