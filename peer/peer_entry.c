/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Lists of the hosts that callers are directed to.
 */
#include "libpeer.h"

/* Callers get only hosts of their own hall if it offers at least this many.
   With a single host, its failure would leave callers without an address until
   their next look-up. */
#define OWN_HALL_MIN 2
/* Maximum number of addresses in a look-up reply; the platform's callers
   accept no more. */
#define ADDRESSES_MAX 64

/* Filter for members, and the members that matched. */
typedef struct entry_list
{
  el_str_t hall;        /* empty: all halls */
  co_mbr_offer_t worst; /* members with a higher value are left out */
  const co_member_t **list;
  size_t n;
} entry_list_t;

static void
entry_visit (void *arg, const co_member_t *member)
{
  entry_list_t *entries = arg;

  if (member->state != CO_MBR_ALIVE || member->offer > entries->worst
      || (entries->hall.len && !el_str_eq (member->hall, entries->hall)))
    return;
  entries->list
      = el_grow (entries->list, entries->n + 1, sizeof *entries->list);
  entries->list[entries->n++] = member;
}

static void
entries_collect (const pr_peers_t *peers, entry_list_t *entries, el_str_t hall,
                 co_mbr_offer_t worst)
{
  entries->hall = hall;
  entries->worst = worst;
  entries->n = 0;
  co_members_visit (peers->members, entry_visit, entries);
}

/** Append at most MAX of the offered hosts to HOSTS, starting at an index
    given by SPREAD. */
void
pr_peers_list_entry_hosts (const pr_peers_t *peers, json_t *hosts, size_t max,
                           uint64_t spread)
{
  entry_list_t entries = { .list = NULL };
  size_t i;

  entries_collect (peers, &entries, (el_str_t){ NULL, 0 }, CO_MBR_OFFERED);
  for (i = 0; i < entries.n && i < max; i++)
    {
      const co_member_t *member = entries.list[(spread + i) % entries.n];

      json_array_append_new (
          hosts, json_pack ("{s:s%,s:s%}", "address", member->http.ptr,
                            member->http.len, "hall", member->hall.ptr,
                            member->hall.len));
    }
  free (entries.list);
}

/* Collect the hosts for callers of HALL: the offered hosts of that hall if
   there are enough, else all offered hosts. If no host is offered, fall back
   to withdrawn and finally to draining hosts. */
static void
addresses_collect (const pr_peers_t *peers, el_str_t hall,
                   entry_list_t *entries)
{
  co_mbr_offer_t worst;

  entries_collect (peers, entries, hall, CO_MBR_OFFERED);
  if (entries->n >= OWN_HALL_MIN)
    return;
  for (worst = CO_MBR_OFFERED; worst <= CO_MBR_DRAINING; worst++)
    {
      entries_collect (peers, entries, (el_str_t){ NULL, 0 }, worst);
      if (entries->n)
        return;
    }
}

/** Append the addresses for callers of HALL to LIST. When they do not all fit
    into a reply, each call selects others at random. */
void
pr_peers_list_addresses (pr_peers_t *peers, el_str_t hall, json_t *list)
{
  entry_list_t entries = { .list = NULL };
  uint64_t spread = el_random (&peers->random);
  size_t i;

  addresses_collect (peers, hall, &entries);
  for (i = 0; i < entries.n && i < ADDRESSES_MAX; i++)
    {
      const co_member_t *member = entries.list[(spread + i) % entries.n];

      json_array_append_new (
          list, json_stringn (member->http.ptr, member->http.len));
    }
  free (entries.list);
}

typedef struct entry_search
{
  const pr_peers_t *peers;
  pr_entry_cb visit;
  void *arg;
} entry_search_t;

static void
entry_visit_other (void *arg, const co_member_t *member)
{
  entry_search_t *search = arg;

  if (member->state == CO_MBR_ALIVE && member->offer == CO_MBR_OFFERED
      && !co_incarnation_eq (&member->incarnation,
                             &search->peers->options.incarnation))
    search->visit (search->arg, member);
}

/** Call VISIT for each other host that is offered to callers. */
void
pr_peers_visit_entries (const pr_peers_t *peers, pr_entry_cb visit, void *arg)
{
  entry_search_t search = { peers, visit, arg };

  co_members_visit (peers->members, entry_visit_other, &search);
}

typedef struct live_search
{
  el_str_t address;
  int live;
} live_search_t;

static void
live_visit (void *arg, const co_member_t *member)
{
  live_search_t *search = arg;

  if (member->state == CO_MBR_ALIVE
      && el_str_eq (member->http, search->address))
    search->live = 1;
}

/** Whether the host that callers use at ADDRESS is alive. */
int
pr_peers_entry_is_live (const pr_peers_t *peers, el_str_t address)
{
  live_search_t search = { address, 0 };

  co_members_visit (peers->members, live_visit, &search);
  return search.live;
}
