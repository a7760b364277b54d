/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Membership updates: which ones are queued for sending, and what messages
 * contain. Members that must get no new work are sent first: right after many
 * hosts have started, the updates about their starts fill the messages for
 * minutes.
 */
#include <string.h>

#include "libcoord.h"

/* An update is sent TRANSMIT_MIN times, plus TRANSMIT_FACTOR times the
   logarithm of the number of members. */
#define TRANSMIT_FACTOR 3
#define TRANSMIT_MIN 4
/* Number of changes in a message that are reserved for members that may get
   new work. */
#define CHANGES_RESERVED 2
/* While a queued update about a new or unavailable member was sent fewer times
   than this, probes are more frequent. */
#define TRANSMITS_URGENT 4
/* After this many consecutive messages with a different digest than its own, a
   host concludes that it missed updates. */
#define MISMATCHES_MAX 6
/* A differing digest is ignored for this many periods after a change, while
   the change spreads. */
#define DIGEST_SETTLE_PERIODS 2
/* Minimum time between two requests for a full member list, in periods. */
#define SYNC_GAP_PERIODS 8
/* A host that received no message for this many periods has missed updates. It
   requests the member list from several hosts, as the first one may have
   missed them, too. */
#define ISOLATED_PERIODS 4
#define ISOLATED_SYNCS 3

static unsigned
update_transmit_limit (const co_members_t *members)
{
  unsigned max = TRANSMIT_MIN + TRANSMIT_FACTOR * mbr_log2 (members->live + 1);

  return max < MBR_TRANSMITS_MAX ? max : MBR_TRANSMITS_MAX;
}

static void
queue_drop (mbr_queue_t *queue, mbr_update_t *update)
{
  if (!update->queued)
    return;
  DL_DELETE (queue->sent[update->sent], update);
  update->queued = 0;
}

static void
queue_append (mbr_queue_t *queue, mbr_update_t *update, mbr_entry_t *entry,
              unsigned sent)
{
  update->entry = entry;
  update->sent = sent;
  update->queued = 1;
  DL_APPEND (queue->sent[sent], update);
}

/** Queue the full record of a member, for hosts that may not know it. */
void
mbr_update_full (mbr_entry_t *entry)
{
  mbr_queue_t *queue = &entry->members->full;

  queue_drop (queue, &entry->full);
  queue_append (queue, &entry->full, entry, 0);
}

/** Queue a change of a member, for hosts that know it. */
void
mbr_update_change (mbr_entry_t *entry)
{
  co_members_t *members = entry->members;

  queue_drop (entry->queue, &entry->change);
  entry->queue = mbr_is_unavailable (&entry->m) ? &members->unavailable
                                                : &members->available;
  queue_append (entry->queue, &entry->change, entry, 0);
}

/** Remove a member's updates from the queues. */
void
mbr_update_drop (mbr_entry_t *entry)
{
  queue_drop (&entry->members->full, &entry->full);
  queue_drop (entry->queue, &entry->change);
}

/** Return whether there are updates that should not wait for the next regular
    probe. */
int
mbr_update_urgent (const co_members_t *members)
{
  unsigned i;

  for (i = 0; i < TRANSMITS_URGENT; i++)
    if (members->unavailable.sent[i] || members->full.sent[i])
      return 1;
  return 0;
}

/* Append updates of a queue to LIST, those sent the fewest times first, until
   it holds MAX. Returns the new length. */
static size_t
queue_take (mbr_queue_t *queue, unsigned sends, mbr_update_t **list, size_t n,
            size_t max)
{
  mbr_update_t *update;
  unsigned i;

  for (i = 0; i < sends && n < max; i++)
    DL_FOREACH (queue->sent[i], update)
    {
      if (n == max)
        break;
      list[n++] = update;
    }
  return n;
}

/* Count a transmission of an update; requeue it unless it was sent SENDS
   times. */
static void
update_sent (mbr_queue_t *queue, mbr_update_t *update, unsigned sends)
{
  unsigned sent = update->sent + 1;

  queue_drop (queue, update);
  if (sent < sends)
    queue_append (queue, update, update->entry, sent);
}

static void
change_write (const mbr_entry_t *entry, co_gossip_t *out)
{
  out->changes[out->nchanges++]
      = (co_member_change_t){ .incarnation = entry->m.incarnation,
                              .counter = entry->m.counter,
                              .state = entry->m.state,
                              .offer = entry->m.offer };
}

static void
write_changes (co_members_t *members, const co_incarnation_t *to,
               co_gossip_t *out, unsigned sends)
{
  mbr_update_t *list[CO_GOSSIP_CHANGES_MAX];
  const mbr_entry_t *entry = to ? mbr_entry_find (members, to) : NULL;
  size_t n;
  size_t i;

  /* A receiver that is not considered alive here is sent that state, so that
     it can refute it. */
  if (entry && entry->m.state != CO_MBR_ALIVE)
    change_write (entry, out);
  n = queue_take (&members->unavailable, sends, list, 0,
                  CO_GOSSIP_CHANGES_MAX - CHANGES_RESERVED - out->nchanges);
  n = queue_take (&members->available, sends, list, n,
                  CO_GOSSIP_CHANGES_MAX - out->nchanges);
  for (i = 0; i < n; i++)
    {
      change_write (list[i]->entry, out);
      update_sent (list[i]->entry->queue, list[i], sends);
    }
}

static void
write_members (co_members_t *members, co_gossip_t *out, unsigned sends)
{
  mbr_update_t *list[CO_GOSSIP_MEMBERS_MAX];
  size_t n
      = queue_take (&members->full, sends, list, 0, CO_GOSSIP_MEMBERS_MAX);
  size_t i;

  for (i = 0; i < n; i++)
    {
      out->members[out->nmembers++] = list[i]->entry->m;
      update_sent (&members->full, list[i], sends);
    }
}

static void
write_leaving (co_members_t *members, co_gossip_t *out, unsigned sends)
{
  mbr_leaving_t *notice;
  mbr_leaving_t *next;

  HASH_ITER (hh, members->leaving, notice, next)
  if (notice->sent < sends && out->nleaving < CO_GOSSIP_LEAVING_MAX)
    {
      notice->sent++;
      out->leaving[out->nleaving++] = notice->l;
    }
}

/** Fill OUT with this host's next message, to the member TO if that is not
    NULL. Strings are valid until the members change. */
void
co_members_write_gossip (co_members_t *members, const co_incarnation_t *to,
                         co_gossip_t *out)
{
  unsigned sends = update_transmit_limit (members);

  out->self = members->self;
  out->digest = members->digest ^ mbr_digest (&members->self);
  out->nmembers = 0;
  out->nchanges = 0;
  out->nleaving = 0;
  write_changes (members, to, out, sends);
  write_members (members, out, sends);
  write_leaving (members, out, sends);
}

/** Return a member's contribution to the digest of the available members; 0
    for one that is not available. */
uint64_t
mbr_digest (const co_member_t *member)
{
  uint64_t z;

  if (mbr_is_unavailable (member))
    return 0;
  memcpy (&z, member->incarnation.byte, sizeof z);
  z ^= member->counter * 0x9e3779b97f4a7c15ULL;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  return z ^ (z >> 27);
}

static void
leaving_expired (void *arg, el_time_t now)
{
  mbr_leaving_t *notice = arg;

  (void)now;
  HASH_DEL (notice->members->leaving, notice);
  el_str_free (&notice->l.endpoint);
  free (notice);
}

static void
leaving_add (co_members_t *members, el_time_t now, uint64_t id,
             el_str_t endpoint)
{
  mbr_leaving_t *notice = el_alloc (sizeof *notice);

  notice->members = members;
  notice->l.id = id;
  notice->l.endpoint = el_str_dup (endpoint);
  notice->timer.cb = leaving_expired;
  notice->timer.arg = notice;
  HASH_ADD (hh, members->leaving, l.id, sizeof notice->l.id, notice);
  el_timers_set (&members->timers, &notice->timer,
                 now + members->options.leaving_hold);
}

static void
leaving_receive (co_members_t *members, el_time_t now,
                 const co_leaving_notice_t *leaving)
{
  mbr_leaving_t *notice;

  HASH_FIND (hh, members->leaving, &leaving->id, sizeof leaving->id, notice);
  if (notice)
    return;
  leaving_add (members, now, leaving->id, leaving->endpoint);
  members->options.leaving (members->options.arg, leaving->endpoint);
}

/** Free all notices that endpoints are leaving. */
void
mbr_leaving_free (co_members_t *members)
{
  mbr_leaving_t *notice;
  mbr_leaving_t *next;

  HASH_ITER (hh, members->leaving, notice, next)
  leaving_expired (notice, 0);
}

/** Report to the other hosts that ENDPOINT is leaving. */
void
co_members_report_leaving (co_members_t *members, el_time_t now,
                           el_str_t endpoint)
{
  leaving_add (members, now, mbr_random (members), endpoint);
}

/* Request the full member list from FROM; returns 0 when the last request was
   less than GAP ago or there is no sync callback. */
static int
sync_request (co_members_t *members, el_time_t now, const co_member_t *from,
              el_time_t gap)
{
  if (!members->options.sync || now < members->last_sync + gap)
    return 0;
  members->last_sync = now;
  members->mismatches = 0;
  members->options.sync (members->options.arg, from->peer);
  return 1;
}

/* Whether this host was isolated: no message arrived for a while before the
   current one. */
static int
was_isolated (const co_members_t *members, el_time_t now)
{
  return members->last_received
         && now > members->last_received
                      + ISOLATED_PERIODS * members->options.period;
}

/* Compare the sender's digest with this host's own. Updates are sent a limited
   number of times: a host that could not receive them requests the full
   list. */
static void
digest_compare (co_members_t *members, el_time_t now,
                const co_gossip_t *gossip)
{
  el_time_t period = members->options.period;
  uint64_t own = members->digest ^ mbr_digest (&members->self);

  if (was_isolated (members, now))
    members->syncs_left = ISOLATED_SYNCS;
  members->last_received = now;
  if (gossip->digest == own)
    members->mismatches = 0;
  else if (now > members->last_change + DIGEST_SETTLE_PERIODS * period)
    members->mismatches++;
  if (members->syncs_left)
    members->syncs_left
        -= (unsigned)sync_request (members, now, &gossip->self, period);
  else if (members->mismatches >= MISMATCHES_MAX)
    sync_request (members, now, &gossip->self, SYNC_GAP_PERIODS * period);
}

/** Handle a message from another host. */
void
co_members_receive_gossip (co_members_t *members, el_time_t now,
                           const co_gossip_t *gossip)
{
  size_t i;

  mbr_member_apply (members, now, &gossip->self, 0);
  for (i = 0; i < gossip->nmembers; i++)
    mbr_member_apply (members, now, &gossip->members[i], 0);
  for (i = 0; i < gossip->nchanges; i++)
    mbr_change_apply (members, now, &gossip->changes[i]);
  for (i = 0; i < gossip->nleaving; i++)
    leaving_receive (members, now, &gossip->leaving[i]);
  digest_compare (members, now, gossip);
}

/** Apply a record from a full member list that was requested. */
void
co_members_apply_member (co_members_t *members, el_time_t now,
                         const co_member_t *member)
{
  mbr_member_apply (members, now, member, 1);
}

/** Apply the state of a member that this host may know. */
void
co_members_apply_change (co_members_t *members, el_time_t now,
                         const co_member_change_t *change)
{
  mbr_change_apply (members, now, change);
}
