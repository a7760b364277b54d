/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Whether a request starts, waits or is refused, and when a refused caller
 * should return. Load pattern: more arrivals than the engines have room for,
 * for seconds; each send that they refuse takes a request's attempts and the
 * retry budget of all, and does not know of ranks.
 *
 * The estimate of room only delays a request: the engines decide, so the first
 * one that waits is offered to them now and then whatever the estimate.
 */
#include "libload.h"

/* The first request that waits is offered to the endpoints this often: a
   stream's end frees room every few milliseconds, and an endpoint that refused
   is avoided for about as long. */
#define OFFER_INTERVAL (100 * EL_MSEC)
/* The same, in these intervals, while requests of a higher rank wait at other
   hosts: the room is theirs. */
#define OFFER_YIELD 4
/* A request waits at most for this share of the time after which its caller
   leaves; the rest is for its first event. */
#define PATIENCE_SHARE 2
/* Callers keep to a retry-after of at most this share of their time left. */
#define RETURN_SHARE 3
/* Shortest retry-after. */
#define RETURN_MIN (50 * EL_MSEC)

static const char *const reason_names[LD_REASONS] = {
  [LD_ROOM] = "room",
  [LD_BEGUN] = "in progress",
  [LD_OFFER] = "offer",
  [LD_BEHIND] = "others go first",
  [LD_NO_ROOM] = "no room",
  [LD_SHARED] = "room left to other hosts",
  [LD_NO_TIME] = "no room in time",
  [LD_FULL] = "too many wait",
};

/** The name of REASON, for logs. */
const char *
ld_reason_name (ld_reason_t reason)
{
  return reason_names[reason];
}

/* Whether the estimate of room is due to be checked with ENTRY. */
static int
offer_is_due (const ld_queue_t *queue, el_time_t now,
              const ld_question_t *question)
{
  const ld_entry_t *entry = question->entry;
  el_time_t wait = question->elsewhere.before ? OFFER_INTERVAL * OFFER_YIELD
                                              : OFFER_INTERVAL;

  return entry->queue && now < entry->until && now >= entry->tried_at + wait
         && now >= queue->offered_at + wait;
}

/* Decides on a request that goes next at this host. Hosts that see the same
   room share it by chance, in proportion to what waits there. */
static ld_reason_t
admit_first (const ld_queue_t *queue, el_time_t now,
             const ld_question_t *question)
{
  const ld_room_t *room = &question->room;
  double contenders = 1 + (double)question->elsewhere.before
                      + (double)question->elsewhere.beside;

  if (!room->refused && room->streams >= 1
      && (room->streams >= contenders
          || question->draw < room->streams / contenders))
    return LD_ROOM;
  if (offer_is_due (queue, now, question))
    return LD_OFFER;
  return room->refused || room->streams < 1 ? LD_NO_ROOM : LD_SHARED;
}

/* Decides on a request for which there is no room: it waits if it is expected
   to start in its time. */
static ld_decision_t
admit_wait (const ld_queue_t *queue, el_time_t now, const ld_entry_t *entry,
            ld_reason_t reason, size_t ahead)
{
  ld_decision_t decision
      = { .verdict = LD_WAIT,
          .reason = reason,
          .ahead = ahead,
          .expected = ld_queue_expected_wait (queue, entry->rank, ahead) };

  if (now >= entry->until
      || (!entry->queue
          && now + decision.expected
                 > (entry->since ? entry->until : entry->in_time)))
    {
      decision.verdict = LD_REFUSE;
      decision.reason = LD_NO_TIME;
    }
  else if (!entry->queue && queue->length >= queue->options.max
           && !ld_queue_displaced (queue, entry->rank))
    {
      decision.verdict = LD_REFUSE;
      decision.reason = LD_FULL;
    }
  return decision;
}

/** Decides on a request at NOW. */
ld_decision_t
ld_admit (const ld_queue_t *queue, el_time_t now,
          const ld_question_t *question)
{
  const ld_entry_t *entry = question->entry;
  size_t ahead = ld_queue_ahead (queue, entry);
  ld_reason_t reason = LD_BEHIND;

  if (entry->begun)
    return (ld_decision_t){ .verdict = LD_START, .reason = LD_BEGUN };
  if (ahead == 0)
    reason = admit_first (queue, now, question);
  if (reason == LD_ROOM || reason == LD_OFFER)
    return (ld_decision_t){ .verdict = LD_START, .reason = reason };
  return admit_wait (queue, now, entry, reason, ahead);
}

/** Sets how long ENTRY may wait. It begins to wait if it is expected to start
   in time for its caller: if all wait as long as they can, all are late. Then
   it waits as long as its caller can still have the first event. */
void
ld_entry_set_times (ld_entry_t *entry, const ld_times_t *times)
{
  el_time_t left = times->deadline > times->received
                       ? times->deadline - times->received
                       : 0;
  el_time_t patience
      = times->patience && times->patience < left ? times->patience : left;

  entry->until = times->received + patience / PATIENCE_SHARE;
  entry->in_time = entry->until;
  if (times->target && times->target < patience / PATIENCE_SHARE)
    entry->in_time = times->received + times->target;
}

/* When a caller of RANK that is refused at NOW would find room. Callers of
   higher ranks who were told to return go first. */
static el_time_t
room_at (const ld_queue_t *queue, el_time_t now, unsigned rank,
         el_time_t interval)
{
  el_time_t at;
  size_t ahead = 0;
  unsigned i;

  for (i = 0; i <= rank; i++)
    ahead += queue->ranks[i].heap.n;
  at = now + ld_queue_expected_wait (queue, rank, ahead);
  for (i = 0; i <= rank; i++)
    if (queue->return_at[i] + interval > at && queue->return_at[i] > now)
      at = queue->return_at[i] + interval;
  return at;
}

/** The time after which a caller of RANK that is refused at NOW should return:
    when room is expected for it, one caller after the other at the rate of
    room. LEFT is the caller's time left, DRAW is random. */
el_time_t
ld_return_after (ld_queue_t *queue, el_time_t now, unsigned rank,
                 el_time_t left, uint64_t draw)
{
  double rate = ld_queue_rate (queue);
  el_time_t interval
      = rate > 0 ? (el_time_t)((double)EL_SEC / rate) : RETURN_MIN;
  el_time_t longest = left / RETURN_SHARE;
  el_time_t wait;

  if (rank >= LD_RANKS)
    rank = LD_RANKS - 1;
  wait = room_at (queue, now, rank, interval) - now;
  if (wait < RETURN_MIN)
    wait = RETURN_MIN;
  if (wait > longest)
    wait = longest;
  queue->return_at[rank] = now + wait;
  wait += draw % (interval + 1);
  return wait < longest ? wait : longest;
}
