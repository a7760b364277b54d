/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The member table. A member is one incarnation of a host: a host that was
 * replaced at its address is a different member. An answer from the address
 * with another incarnation proves the former one dead, without any clock.
 */
#include <stdio.h>
#include <string.h>

#include "libcoord.h"

/* A suspect has this many probe periods, times half the logarithm of the
   number of hosts, to refute. */
#define SUSPECT_PERIODS 4
#define HANDOVER_FORGET_FACTOR 6

static const char *const state_names[] = {
  [CO_MBR_ALIVE] = "alive",
  [CO_MBR_SUSPECT] = "suspect",
  [CO_MBR_DEAD] = "dead",
  [CO_MBR_LEFT] = "left",
};

const char *
co_mbr_state_name (co_mbr_state_t state)
{
  return state_names[state];
}

const char *
co_mbr_offer_name (co_mbr_offer_t offer)
{
  static const char *const names[] = { [CO_MBR_OFFERED] = "offered",
                                       [CO_MBR_WITHDRAWN] = "withdrawn",
                                       [CO_MBR_DRAINING] = "draining" };

  return names[offer];
}

mbr_entry_t *
mbr_entry_find (const co_members_t *members, const co_incarnation_t *inc)
{
  mbr_entry_t *entry;

  HASH_FIND (hh, members->entries, inc->byte, CO_INCARNATION_BYTES, entry);
  return entry;
}

static void
member_copy (co_member_t *to, const co_member_t *from)
{
  *to = *from;
  to->peer = el_str_dup (from->peer);
  to->http = el_str_dup (from->http);
  to->hall = el_str_dup (from->hall);
}

static void
member_clear (co_member_t *member)
{
  el_str_free (&member->peer);
  el_str_free (&member->http);
  el_str_free (&member->hall);
}

static void
order_insert (co_members_t *members, mbr_entry_t *entry)
{
  size_t at = mbr_random (members) % (members->norder + 1);

  members->order
      = el_grow (members->order, members->norder + 1, sizeof (mbr_entry_t *));
  members->order[members->norder] = members->order[at];
  members->order[at] = entry;
  members->norder++;
}

static void
order_remove (co_members_t *members, const mbr_entry_t *entry)
{
  size_t i;

  for (i = 0; i < members->norder; i++)
    if (members->order[i] == entry)
      {
        memmove (&members->order[i], &members->order[i + 1],
                 (members->norder - i - 1) * sizeof (mbr_entry_t *));
        members->norder--;
        return;
      }
}

static void
entry_drop (co_members_t *members, mbr_entry_t *entry)
{
  order_remove (members, entry);
  mbr_update_drop (entry);
  el_timers_cancel (&members->timers, &entry->timer);
  HASH_DEL (members->entries, entry);
  member_clear (&entry->m);
  free (entry);
}

el_time_t
mbr_suspect_timeout (const co_members_t *members)
{
  return members->options.period * SUSPECT_PERIODS
         * mbr_log2 (members->live + 1) / 2;
}

/* A host that handed its sessions over is kept longer, because callers still
   hold its tokens. */
static el_time_t
forget_delay (const co_members_t *members, const mbr_entry_t *entry)
{
  static const co_incarnation_t none;

  return co_incarnation_eq (&entry->m.successor, &none)
             ? members->options.forget
             : members->options.forget * HANDOVER_FORGET_FACTOR;
}

void
mbr_entry_set_state (co_members_t *members, el_time_t now, mbr_entry_t *entry,
                     co_mbr_state_t state)
{
  el_time_t wait = forget_delay (members, entry);
  int was_live = mbr_is_live (entry);

  members->digest ^= mbr_digest (&entry->m);
  entry->m.state = state;
  members->digest ^= mbr_digest (&entry->m);
  members->live += (size_t)mbr_is_live (entry) - (size_t)was_live;
  if (state == CO_MBR_ALIVE)
    el_timers_cancel (&members->timers, &entry->timer);
  else
    {
      if (state == CO_MBR_SUSPECT)
        wait = mbr_suspect_timeout (members);
      el_timers_set (&members->timers, &entry->timer, now + wait);
    }
  members->last_change = now;
  mbr_update_change (entry);
  if (mbr_is_unavailable (&entry->m))
    mbr_probe_expedite (members, now);
  members->options.changed (members->options.arg, &entry->m);
}

/* A suspect that did not refute in time is declared dead; other members are
   removed. */
static void
entry_timer (void *arg, el_time_t now)
{
  mbr_entry_t *entry = arg;

  if (entry->m.state == CO_MBR_SUSPECT)
    mbr_entry_set_state (entry->members, now, entry, CO_MBR_DEAD);
  else
    entry_drop (entry->members, entry);
}

static mbr_entry_t *
entry_add (co_members_t *members, el_time_t now, const co_member_t *member)
{
  mbr_entry_t *entry = el_alloc (sizeof *entry);

  entry->members = members;
  member_copy (&entry->m, member);
  entry->timer.cb = entry_timer;
  entry->timer.arg = entry;
  HASH_ADD (hh, members->entries, m.incarnation, CO_INCARNATION_BYTES, entry);
  order_insert (members, entry);
  entry->m.state = CO_MBR_DEAD; /* not counted as live yet */
  mbr_entry_set_state (members, now, entry, member->state);
  /* Hosts that know the member were told of its state by the host that
     observed it. */
  mbr_update_drop (entry);
  return entry;
}

/* Handle an update about this host itself. A report that it is suspect or dead
   is refuted by a higher counter. */
static void
self_apply (co_members_t *members, const co_member_change_t *change)
{
  if (change->state == CO_MBR_ALIVE || change->counter < members->self.counter
      || members->self.state == CO_MBR_LEFT)
    return;
  members->self.counter = change->counter + 1;
}

/** Apply an update about a member. The higher counter, which only the member
    itself raises, takes precedence; at equal counters the worse state does. */
void
mbr_change_apply (co_members_t *members, el_time_t now,
                  const co_member_change_t *change)
{
  mbr_entry_t *entry;

  if (co_incarnation_eq (&change->incarnation, &members->self.incarnation))
    {
      self_apply (members, change);
      return;
    }
  entry = mbr_entry_find (members, &change->incarnation);
  if (!entry || change->counter < entry->m.counter
      || (change->counter == entry->m.counter
          && change->state <= entry->m.state))
    return;
  members->digest ^= mbr_digest (&entry->m);
  entry->m.counter = change->counter;
  entry->m.offer = change->offer;
  members->digest ^= mbr_digest (&entry->m);
  mbr_entry_set_state (members, now, entry, change->state);
}

/* Store MEMBER's successor; returns whether it is new and must be passed on to
   all hosts. */
static int
successor_apply (mbr_entry_t *entry, const co_member_t *member)
{
  if (member->counter < entry->m.counter
      || co_incarnation_eq (&entry->m.successor, &member->successor))
    return 0;
  entry->m.successor = member->successor;
  return 1;
}

/** Apply a full record of a member, known or not. A member that was not known
    is passed on to others, except when the record came in a full member list
    (ALL is set): the others request the list themselves. */
void
mbr_member_apply (co_members_t *members, el_time_t now,
                  const co_member_t *member, int all)
{
  const co_member_change_t change = { .incarnation = member->incarnation,
                                      .counter = member->counter,
                                      .state = member->state,
                                      .offer = member->offer };
  mbr_entry_t *entry = mbr_entry_find (members, &member->incarnation);
  int is_new = 0;

  if (co_incarnation_eq (&member->incarnation, &members->self.incarnation))
    {
      self_apply (members, &change);
      return;
    }
  if (entry)
    {
      is_new = successor_apply (entry, member);
      if (member->revision > entry->m.revision)
        entry->m.revision = member->revision;
      mbr_change_apply (members, now, &change);
    }
  else if (member->state <= CO_MBR_SUSPECT)
    {
      entry = entry_add (members, now, member);
      is_new = !all;
    }
  if (is_new)
    {
      mbr_update_full (entry);
      mbr_probe_expedite (members, now);
    }
}

/** Mark this host as draining: it takes no new work (STATE is CO_MBR_ALIVE),
    or shuts down (CO_MBR_LEFT). */
void
co_members_drain (co_members_t *members, co_mbr_state_t state)
{
  members->self.offer = CO_MBR_DRAINING;
  members->self.state = state;
  members->self.counter++;
}

/** Set whether callers should temporarily not be directed to this host. Has no
    effect on a draining host. */
void
co_members_set_withdrawn (co_members_t *members, int withdrawn)
{
  co_mbr_offer_t offer = withdrawn ? CO_MBR_WITHDRAWN : CO_MBR_OFFERED;

  if (members->self.offer == offer || members->self.offer == CO_MBR_DRAINING)
    return;
  members->self.offer = offer;
  members->self.counter++;
}

/** Record that SUCCESSOR has taken over this host's sessions. */
void
co_members_set_successor (co_members_t *members,
                          const co_incarnation_t *successor)
{
  members->self.successor = *successor;
  members->self.counter++;
}

/** Return the member with INCARNATION, which may be this host, or NULL. */
const co_member_t *
co_members_find (const co_members_t *members,
                 const co_incarnation_t *incarnation)
{
  mbr_entry_t *entry;

  if (co_incarnation_eq (&members->self.incarnation, incarnation))
    return &members->self;
  entry = mbr_entry_find (members, incarnation);
  return entry ? &entry->m : NULL;
}

/** Return another host that is alive and offered to callers, preferably in
    this hall, starting at random; NULL when there is none. */
const co_member_t *
co_members_pick_available (co_members_t *members)
{
  mbr_entry_t *best = NULL;
  mbr_entry_t *entry;
  size_t start = members->norder ? mbr_random (members) % members->norder : 0;
  size_t i;

  for (i = 0; i < members->norder; i++)
    {
      entry = members->order[(start + i) % members->norder];
      if (mbr_is_unavailable (&entry->m))
        continue;
      if (el_str_eq (entry->m.hall, members->self.hall))
        return &entry->m;
      best = entry;
    }
  return best ? &best->m : NULL;
}

/** Store up to MAX randomly chosen hosts other than this one that are alive
    or suspect in OUT, and return their number. */
size_t
co_members_sample (co_members_t *members, const co_member_t **out, size_t max)
{
  size_t seen = 0;
  size_t at;
  size_t i;

  /* Reservoir sampling: every host is equally likely, in a single pass. */
  for (i = 0; i < members->norder; i++)
    {
      if (!mbr_is_live (members->order[i]))
        continue;
      at = seen < max ? seen : mbr_random (members) % (seen + 1);
      if (at < max)
        out[at] = &members->order[i]->m;
      seen++;
    }
  return seen < max ? seen : max;
}

/** Set the revision up to which this host has seen all configuration
    changes. */
void
co_members_set_revision (co_members_t *members, uint64_t revision)
{
  members->self.revision = revision;
}

co_members_t *
co_members_new (const co_members_options_t *options)
{
  co_members_t *members = el_alloc (sizeof *members);

  members->options = *options;
  members->rng = options->seed;
  member_copy (&members->self, &options->self);
  members->seeds = el_str_dup (options->seeds);
  members->discovered = !mbr_has_other_seed (members);
  return members;
}

void
co_members_free (co_members_t *members)
{
  mbr_entry_t *entry;
  mbr_entry_t *next;

  mbr_probes_free (members);
  HASH_ITER (hh, members->entries, entry, next)
  entry_drop (members, entry);
  mbr_leaving_free (members);
  member_clear (&members->self);
  el_str_free (&members->seeds);
  free (members->order);
  el_timers_free (&members->timers);
  free (members);
}

/** Return the number of hosts that are alive or suspect, including this
    one. */
size_t
co_members_live_count (const co_members_t *members)
{
  return members->live + 1;
}

/** Visit this host first, then all members in the table. */
void
co_members_visit (const co_members_t *members, co_member_visit_cb visit,
                  void *arg)
{
  mbr_entry_t *entry;
  mbr_entry_t *next;

  visit (arg, &members->self);
  HASH_ITER (hh, members->entries, entry, next)
  visit (arg, &entry->m);
}
