/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The probes of membership: whom to probe next, what an answer and its absence
 * say, and the time that drives both.
 */
#include <string.h>

#include "libcoord.h"

#define INDIRECT_PROBES 3
/* A tick that comes this many periods late tells that the host was paused:
   what it waited for then says nothing of others. */
#define PAUSED_PERIODS 3
/* A host that has just started probes this many times as often for so many
   periods: where all start at once, all know each other within a second. */
#define YOUNG_PERIODS 4
#define YOUNG_TIMES 5
/* Every so many of these probes it asks for all members that another one
   knows. */
#define YOUNG_SYNC 3
/* While there are bad news that few know, probes come this many times as
   often, to carry them. */
#define URGENT_TIMES 5

/* The next member to probe: all in turn, in an order of this host's own. */
static mbr_entry_t *
probe_next (co_members_t *members)
{
  mbr_entry_t *entry;
  size_t i;

  for (i = 0; i < members->norder; i++)
    {
      entry = members->order[members->cursor++ % members->norder];
      if (mbr_is_live (entry))
        return entry;
    }
  return NULL;
}

static void
probe_add (co_members_t *members, el_time_t now, const mbr_entry_t *entry,
           el_str_t address)
{
  mbr_probe_t *probe = el_alloc (sizeof *probe);

  probe->id = members->next_probe++;
  probe->address = el_str_dup (address);
  probe->due = now + members->options.timeout;
  if (entry)
    {
      probe->expects = 1;
      probe->incarnation = entry->m.incarnation;
    }
  DL_APPEND (members->probes, probe);
  members->options.probe (members->options.arg, probe->id, probe->address,
                          (el_str_t){ NULL, 0 });
}

static int
address_is_live (const co_members_t *members, el_str_t address)
{
  size_t i;

  for (i = 0; i < members->norder; i++)
    if (mbr_is_live (members->order[i])
        && el_str_eq (members->order[i]->m.peer, address))
      return 1;
  return el_str_eq (address, members->self.peer);
}

/* The next seed, where no live member is known there: to join, and to meet
   again after the network was cut. */
static void
probe_seed (co_members_t *members, el_time_t now)
{
  el_str_t rest = el_str_after (members->seeds, members->seed_at);
  el_str_t address = el_str_cut (&rest, ',');

  if (members->seeds.len == 0)
    return;
  members->seed_at = rest.len ? members->seeds.len - rest.len : 0;
  if (address.len && !address_is_live (members, address))
    probe_add (members, now, NULL, address);
}

static void
probe_indirect (co_members_t *members, el_time_t now, mbr_probe_t *probe)
{
  mbr_entry_t *via;
  unsigned sent = 0;
  size_t i;

  probe->indirect = 1;
  probe->due = now + members->options.timeout;
  for (i = 0; i < members->norder && sent < INDIRECT_PROBES; i++)
    {
      via = members->order[mbr_random (members) % members->norder];
      if (!mbr_is_live (via) || el_str_eq (via->m.peer, probe->address))
        continue;
      members->options.probe (members->options.arg, probe->id, probe->address,
                              via->m.peer);
      sent++;
    }
}

static void
probe_drop (co_members_t *members, mbr_probe_t *probe)
{
  DL_DELETE (members->probes, probe);
  el_str_free (&probe->address);
  free (probe);
}

/* Neither it nor others reached the member. */
static void
probe_failed (co_members_t *members, el_time_t now, mbr_probe_t *probe)
{
  mbr_entry_t *entry
      = probe->expects ? mbr_entry_find (members, &probe->incarnation) : NULL;

  if (entry && entry->m.state == CO_MBR_ALIVE)
    mbr_entry_state (members, now, entry, CO_MBR_SUSPECT);
  probe_drop (members, probe);
}

static void
probes_look (co_members_t *members, el_time_t now, int paused)
{
  mbr_probe_t *probe;
  mbr_probe_t *next;

  DL_FOREACH_SAFE (members->probes, probe, next)
  {
    if (paused)
      probe_drop (members, probe);
    else if (now < probe->due)
      continue;
    else if (probe->indirect || !probe->expects)
      probe_failed (members, now, probe);
    else
      probe_indirect (members, now, probe);
  }
}

/** An answer to probe ID, direct or by way of another host, or none (OK is
    0). */
void
co_members_answer (co_members_t *members, el_time_t now, uint64_t id, int ok,
                   const co_gossip_t *gossip)
{
  mbr_probe_t *probe;
  mbr_entry_t *entry;

  if (ok)
    co_members_hear (members, now, gossip);
  DL_FOREACH (members->probes, probe)
  if (probe->id == id)
    break;
  if (!probe || !ok)
    return;
  entry
      = probe->expects ? mbr_entry_find (members, &probe->incarnation) : NULL;
  if (entry
      && !co_incarnation_eq (&gossip->self.incarnation, &probe->incarnation)
      && el_str_eq (gossip->self.peer, probe->address) && mbr_is_live (entry))
    mbr_entry_state (members, now, entry, CO_MBR_DEAD);
  probe_drop (members, probe);
}

/* After a pause the suspects get their whole time again: what they said
   meanwhile is still on its way in. */
static void
suspects_wait (co_members_t *members, el_time_t now)
{
  mbr_entry_t *entry;
  mbr_entry_t *next;

  HASH_ITER (hh, members->entries, entry, next)
  if (entry->m.state == CO_MBR_SUSPECT)
    el_timers_set (&members->timers, &entry->timer,
                   now + mbr_suspect_time (members));
}

/* All seeds, once: the first of them may be down. */
static void
probe_all_seeds (co_members_t *members, el_time_t now)
{
  do
    probe_seed (members, now);
  while (members->seed_at);
}

/* What a host does besides probing while it is young. */
static void
young_tick (co_members_t *members, const mbr_entry_t *other)
{
  if (other && members->options.sync && members->young++ % YOUNG_SYNC == 0)
    members->options.sync (members->options.arg, other->m.peer);
}

/** Look after probes and suspicions; call it when co_members_next says so. */
void
co_members_tick (co_members_t *members, el_time_t now)
{
  el_time_t period = members->options.period;
  int first = members->last_tick == 0;
  int paused = members->last_tick
               && now > members->last_tick + PAUSED_PERIODS * period;
  mbr_entry_t *entry;

  members->last_tick = now;
  probes_look (members, now, paused);
  if (paused)
    suspects_wait (members, now);
  el_timers_run (&members->timers, now);
  if (now < members->next_period)
    return;
  if (first)
    members->young_until = now + YOUNG_PERIODS * period;
  entry = probe_next (members);
  if (now < members->young_until)
    {
      period /= YOUNG_TIMES;
      young_tick (members, entry);
    }
  if (mbr_news_urgent (members))
    period = members->options.period / URGENT_TIMES;
  members->next_period = now + period;
  if (entry)
    probe_add (members, now, entry, entry->m.peer);
  if (first)
    probe_all_seeds (members, now);
  else
    probe_seed (members, now);
}

/** When co_members_tick wants to be called. */
el_time_t
co_members_next (const co_members_t *members)
{
  el_time_t due = el_timers_next (&members->timers);
  mbr_probe_t *probe;

  if (members->next_period < due)
    due = members->next_period;
  DL_FOREACH (members->probes, probe)
  if (probe->due < due)
    due = probe->due;
  return due;
}

/** There are bad news: the next probe is not far off. */
void
mbr_probe_sooner (co_members_t *members, el_time_t now)
{
  el_time_t due = now + members->options.period / URGENT_TIMES;

  if (due < members->next_period)
    members->next_period = due;
}

/* Forget all probes that are out. */
void
mbr_probes_free (co_members_t *members)
{
  while (members->probes)
    probe_drop (members, members->probes);
}
