/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Rumors: short messages that reach all hosts sooner than membership updates
 * do. Each host forwards a rumor that is new to it once, to a few others
 * chosen at random. A host that missed one notices a different digest on a
 * probe and requests all rumors. The number of rumors is bounded: the one that
 * expires first is evicted.
 */
#include <string.h>

#include "coord.h"
#include "map.h"

/* A differing digest is ignored for this long after a new rumor, while the
   rumor spreads. */
#define DIGEST_SETTLE (300 * EL_MSEC)
/* Delay between requests for all rumors: reset after an answer with new rumors
   or when the digests agree, doubled at each further request. */
#define SYNC_RETRY_MIN (500 * EL_MSEC)
#define SYNC_RETRY_MAX (32 * EL_SEC)

typedef struct rumor
{
  co_rumor_t r;
  int unsent; /* not sent yet */
  struct rumor *prev;
  struct rumor *next;
  UT_hash_handle hh;
} rumor_t;

struct co_rumors
{
  co_rumors_options_t options;
  rumor_t *by_id;
  rumor_t *list; /* in order of arrival */
  uint64_t digest;
  el_time_t last_change; /* time when a rumor was last added */
  el_time_t due;         /* time to send new rumors, or EL_TIME_NEVER */
  el_time_t sync_due;    /* no request for all rumors before this time */
  el_time_t sync_delay;
};

static uint64_t
rumor_hash (uint64_t id)
{
  uint64_t z = id * 0x9e3779b97f4a7c15ULL;

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  return z ^ (z >> 27);
}

/** Create an empty set of rumors. */
co_rumors_t *
co_rumors_new (const co_rumors_options_t *options)
{
  co_rumors_t *rumors = el_alloc (sizeof *rumors);

  rumors->options = *options;
  rumors->due = EL_TIME_NEVER;
  return rumors;
}

static void
rumor_drop (co_rumors_t *rumors, rumor_t *rumor)
{
  rumors->digest ^= rumor_hash (rumor->r.id);
  DL_DELETE (rumors->list, rumor);
  HASH_DEL (rumors->by_id, rumor);
  el_str_free (&rumor->r.body);
  free (rumor);
}

void
co_rumors_free (co_rumors_t *rumors)
{
  while (rumors->list)
    rumor_drop (rumors, rumors->list);
  free (rumors);
}

static void
evict_if_full (co_rumors_t *rumors)
{
  rumor_t *earliest = rumors->list;
  rumor_t *rumor;

  if (HASH_COUNT (rumors->by_id) < rumors->options.max_rumors)
    return;
  DL_FOREACH (rumors->list, rumor)
  if (rumor->r.until < earliest->r.until)
    earliest = rumor;
  rumor_drop (rumors, earliest);
}

/* Add a rumor; NULL when it is known, expired or too long. */
static rumor_t *
rumor_add (co_rumors_t *rumors, el_time_t now, const co_rumor_t *from)
{
  rumor_t *rumor;

  HASH_FIND (hh, rumors->by_id, &from->id, sizeof from->id, rumor);
  if (rumor || from->until <= now || from->body.len > CO_RUMOR_BODY_MAX)
    return NULL;
  evict_if_full (rumors);
  rumor = el_alloc (sizeof *rumor);
  rumor->r = *from;
  rumor->r.body = el_str_dup (from->body);
  rumor->unsent = 1;
  HASH_ADD (hh, rumors->by_id, r.id, sizeof rumor->r.id, rumor);
  DL_APPEND (rumors->list, rumor);
  rumors->digest ^= rumor_hash (from->id);
  rumors->last_change = now;
  if (rumors->due == EL_TIME_NEVER)
    rumors->due = now + rumors->options.batch_delay;
  return rumor;
}

/** Publish RUMOR to all hosts; it is copied. */
void
co_rumors_publish (co_rumors_t *rumors, el_time_t now, const co_rumor_t *rumor)
{
  rumor_add (rumors, now, rumor);
}

/** Handle RUMOR from another host; returns 0 when it was not added. */
int
co_rumors_receive (co_rumors_t *rumors, el_time_t now, const co_rumor_t *rumor)
{
  const rumor_t *added = rumor_add (rumors, now, rumor);

  if (added)
    rumors->options.received (rumors->options.arg, &added->r);
  return added != NULL;
}

/* Send the new rumors in batches that fit a datagram. */
static void
rumors_send (co_rumors_t *rumors)
{
  co_rumor_t batch[CO_RUMORS_BATCH_MAX];
  rumor_t *rumor;
  size_t bytes = 0;
  size_t n = 0;

  DL_FOREACH (rumors->list, rumor)
  {
    if (!rumor->unsent)
      continue;
    rumor->unsent = 0;
    if (n == CO_RUMORS_BATCH_MAX
        || (n && bytes + rumor->r.body.len > CO_RUMORS_BATCH_BYTES_MAX))
      {
        rumors->options.send (rumors->options.arg, batch, n);
        n = 0;
        bytes = 0;
      }
    batch[n++] = rumor->r;
    bytes += rumor->r.body.len;
  }
  if (n)
    rumors->options.send (rumors->options.arg, batch, n);
}

/** Send new rumors and drop expired ones; call it at the time that
    co_rumors_next_due gives. */
void
co_rumors_tick (co_rumors_t *rumors, el_time_t now)
{
  rumor_t *rumor;
  rumor_t *next;

  if (now >= rumors->due)
    {
      rumors->due = EL_TIME_NEVER;
      rumors_send (rumors);
    }
  DL_FOREACH_SAFE (rumors->list, rumor, next)
  if (rumor->r.until <= now)
    rumor_drop (rumors, rumor);
}

/** Return when to call co_rumors_tick to send new rumors. */
el_time_t
co_rumors_next_due (const co_rumors_t *rumors)
{
  return rumors->due;
}

/** Return a digest of the set of rumors that this host knows. */
uint64_t
co_rumors_digest (const co_rumors_t *rumors)
{
  return rumors->digest;
}

/** Compare with the DIGEST of another host's rumors; returns whether to
    request all of them from it. */
int
co_rumors_needs_sync (co_rumors_t *rumors, el_time_t now, uint64_t digest)
{
  if (digest == rumors->digest)
    {
      rumors->sync_delay = 0;
      return 0;
    }
  if (now < rumors->last_change + DIGEST_SETTLE || now < rumors->sync_due)
    return 0;
  rumors->sync_delay
      = rumors->sync_delay ? 2 * rumors->sync_delay : SYNC_RETRY_MIN;
  if (rumors->sync_delay > SYNC_RETRY_MAX)
    rumors->sync_delay = SYNC_RETRY_MAX;
  rumors->sync_due = now + rumors->sync_delay;
  return 1;
}

/** Record the answer to a request for all rumors, ADDED of which were new. */
void
co_rumors_sync_done (co_rumors_t *rumors, size_t added)
{
  if (added)
    rumors->sync_delay = 0;
}

/** Visit all rumors in order of arrival. */
void
co_rumors_visit (const co_rumors_t *rumors, co_rumor_visit_cb visit, void *arg)
{
  const rumor_t *rumor;

  DL_FOREACH (rumors->list, rumor)
  visit (arg, &rumor->r);
}
