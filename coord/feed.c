/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Decides where a host gets the contents of the store. The readers of a hall
 * ask the store; every other host asks the host above it in a tree over the
 * hall's hosts in rank order. A host that does not answer is left out, and the
 * tree closes up. A reader to which the store does not answer has other hosts
 * of its hall, one after the other, ask the store in its place, so that the
 * number of hosts that turn to the store does not grow with the hall.
 */
#include <stdlib.h>

#include "libcoord.h"

/* Number of hosts that ask the host with the least capacity of a hall, and the
   most that ask any host; in between it follows the capacity. */
#define FANOUT_MIN 4
#define FANOUT_MAX 32
/* A host that did not answer is not asked for this long. */
#define FAILED_HOLD (5 * EL_SEC)
/* How long a host asks the store in another one's place; that one repeats its
   request more often. */
#define STAND_IN_HOLD (2 * EL_SEC)
/* A host whose source stays stale asks the store itself after a random part of
   FALLBACK_HALL for each host of its hall, and again after FALLBACK_MIN and
   another such part: in all, a hall's hosts send a few such calls a second. */
#define FALLBACK_HALL (250 * EL_MSEC)
#define FALLBACK_MIN (2 * EL_SEC)
/* Interval of planning while no member is known. */
#define DISCOVERY_TICK (10 * EL_MSEC)

/* A host that did not answer. */
typedef struct feed_failed
{
  co_incarnation_t incarnation; /* key */
  el_time_t until;
  UT_hash_handle hh;
} feed_failed_t;

struct co_feed
{
  co_feed_options_t options;
  uint64_t random;
  el_time_t now; /* of the plan being made */
  feed_failed_t *failed;
  int store_overdue;        /* the store does not answer this host */
  size_t search;            /* stand-ins tried since */
  el_time_t stand_in_until; /* ask the store in another host's place */
  el_time_t stale_since;    /* the source is stale since; 0: it is not */
  el_time_t fallback_at;    /* then ask the store */
  const co_member_t **hall; /* eligible hosts, in rank order */
  size_t n;                 /* their number */
  size_t before;            /* of these, hosts that rank before this one */
};

/** Creates a feed over the members of OPTIONS, which must outlive it. */
co_feed_t *
co_feed_new (const co_feed_options_t *options)
{
  co_feed_t *feed = el_alloc (sizeof *feed);

  feed->options = *options;
  feed->random = options->seed | 1;
  return feed;
}

/** Frees the feed. */
void
co_feed_free (co_feed_t *feed)
{
  feed_failed_t *failed;
  feed_failed_t *next;

  HASH_ITER (hh, feed->failed, failed, next)
  {
    HASH_DEL (feed->failed, failed);
    free (failed);
  }
  free (feed);
}

static int
skip_failed (void *arg, const co_member_t *member)
{
  co_feed_t *feed = arg;
  feed_failed_t *failed;

  HASH_FIND (hh, feed->failed, member->incarnation.byte, CO_INCARNATION_BYTES,
             failed);
  if (!failed || feed->now < failed->until)
    return failed != NULL;
  HASH_DEL (feed->failed, failed);
  free (failed);
  return 0;
}

static void
failed_add (co_feed_t *feed, el_time_t now, const co_incarnation_t *host)
{
  feed_failed_t *failed;

  HASH_FIND (hh, feed->failed, host->byte, CO_INCARNATION_BYTES, failed);
  if (!failed)
    {
      failed = el_alloc (sizeof *failed);
      failed->incarnation = *host;
      HASH_ADD (hh, feed->failed, incarnation, CO_INCARNATION_BYTES, failed);
    }
  failed->until = now + FAILED_HOLD;
}

/* Lists the hall's hosts that answer. */
static void
hall_read (co_feed_t *feed, el_time_t now)
{
  const co_member_t *self = &feed->options.members->self;

  feed->now = now;
  feed->n = co_members_rank_hall (feed->options.members, skip_failed, feed,
                                  &feed->hall);
  for (feed->before = 0; feed->before < feed->n; feed->before++)
    if (!co_member_ranks_before (feed->hall[feed->before], self))
      break;
}

static size_t
hall_fanout (const co_feed_t *feed, const co_member_t *member)
{
  uint64_t least = feed->hall[feed->n - 1]->capacity;
  uint64_t fanout = FANOUT_MIN * member->capacity / (least ? least : 1);

  if (fanout < FANOUT_MIN)
    return FANOUT_MIN;
  return fanout < FANOUT_MAX ? (size_t)fanout : FANOUT_MAX;
}

/* The host to ask: the readers are the roots of the tree, and each host in
   rank order has the next ones that have no parent yet as its children. */
static const co_member_t *
hall_parent (const co_feed_t *feed)
{
  size_t end = feed->options.readers;
  size_t i;

  for (i = 0; i < feed->before; i++)
    {
      end += hall_fanout (feed, feed->hall[i]);
      if (feed->before < end)
        return feed->hall[i];
    }
  return NULL;
}

/* The host that is to ask the store in this one's place. */
static const co_member_t *
hall_stand_in (const co_feed_t *feed)
{
  const co_member_t *self = &feed->options.members->self;
  const co_member_t *member;

  if (feed->n < 2)
    return NULL;
  member = feed->hall[(feed->before + 1 + feed->search) % feed->n];
  if (member == self)
    member = feed->hall[(feed->before + 2 + feed->search) % feed->n];
  return member;
}

/** Plans what this host should do at NOW. */
void
co_feed_plan (co_feed_t *feed, el_time_t now, co_feed_plan_t *out)
{
  *out = (co_feed_plan_t){ .until = EL_TIME_NEVER };
  if (!co_members_is_discovered (feed->options.members)
      && now < feed->options.born + feed->options.discovery)
    {
      out->until = now + DISCOVERY_TICK;
      return;
    }
  hall_read (feed, now);
  if (feed->before < feed->options.readers)
    {
      out->store = 1;
      if (feed->store_overdue)
        out->host = hall_stand_in (feed);
      out->stand_in = out->host != NULL;
    }
  else
    {
      out->host = hall_parent (feed);
      out->store = now < feed->stand_in_until;
      if (feed->stale_since && now < feed->fallback_at)
        out->until = feed->fallback_at;
      else if (feed->stale_since && !out->store)
        out->store = out->fallback = 1;
    }
  free (feed->hall);
  feed->hall = NULL;
}

/* Sets when to ask the store while the source stays stale. */
static void
fallback_schedule (co_feed_t *feed, el_time_t from)
{
  feed->fallback_at
      = from + el_random (&feed->random) % (FALLBACK_HALL * (feed->n + 1));
}

/** Records the outcome of asking a host, as a stand-in if STAND_IN is set. */
void
co_feed_host_done (co_feed_t *feed, el_time_t now,
                   const co_incarnation_t *host, int stand_in,
                   co_feed_answer_t answer)
{
  if (answer == CO_FEED_CURRENT)
    {
      feed->stale_since = 0;
      return;
    }
  if (stand_in)
    feed->search++;
  else if (answer == CO_FEED_NONE)
    failed_add (feed, now, host);
  else if (!feed->stale_since)
    {
      feed->stale_since = now;
      fallback_schedule (feed, now);
    }
}

/** Records the outcome of a call to the store. */
void
co_feed_store_done (co_feed_t *feed, el_time_t now, int ok)
{
  feed->store_overdue = !ok;
  if (ok)
    feed->search = 0;
  if (feed->stale_since)
    fallback_schedule (feed, now + FALLBACK_MIN);
}

/** Records that a call to the store is not answered in time. */
void
co_feed_store_overdue (co_feed_t *feed)
{
  feed->store_overdue = 1;
}

/** Another host asks this one to ask the store in its place. */
void
co_feed_stand_in (co_feed_t *feed, el_time_t now)
{
  feed->stand_in_until = now + STAND_IN_HOLD;
}
