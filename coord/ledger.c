/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The request ledger of one incarnation of a host. A request with a session
 * and a sequence number is run at most once: the first arrival runs, later
 * ones get its answer. Memory is bounded: evicting an entry raises the
 * session's floor, and a sequence at or below the floor is never run.
 */
#include <string.h>

#include "coord.h"
#include "map.h"

typedef struct led_entry
{
  uint64_t sequence; /* key */
  uint64_t digest;   /* digest of the request, to detect another request under
                        its number */
  int ended;
  int elsewhere; /* still runs at the host that handed the session over */
  size_t bytes;  /* size of the answer, once ended */
  void *answer;
  UT_hash_handle hh;
} led_entry_t;

typedef struct led_session
{
  co_session_t key;
  int moved; /* handed over, or may be: requests may run at the other host */
  el_str_t customer;
  uint64_t floor;
  el_time_t last_used;
  size_t running; /* requests that run on this host */
  led_entry_t *entries;
  UT_hash_handle hh;
} led_session_t;

struct co_ledger
{
  co_ledger_options_t options;
  led_session_t *sessions; /* least recently used first */
  uint64_t next_session;
  size_t nentries;
  size_t bytes;
  int sealed;
};

static const char *const result_names[] = {
  [CO_LED_RUN] = "run",
  [CO_LED_JOIN] = "join",
  [CO_LED_ANSWER] = "answer",
  [CO_LED_FORGOTTEN] = "forgotten",
  [CO_LED_MISMATCH] = "mismatch",
  [CO_LED_SEALED] = "sealed",
  [CO_LED_FULL] = "full",
  [CO_LED_MOVED] = "moved",
  [CO_LED_ELSEWHERE] = "elsewhere",
};

const char *
co_led_result_name (co_led_result_t result)
{
  return result_names[result];
}

co_ledger_t *
co_ledger_new (const co_ledger_options_t *options)
{
  co_ledger_t *ledger = el_alloc (sizeof *ledger);

  ledger->options = *options;
  ledger->next_session = 1;
  return ledger;
}

static void
entry_drop (co_ledger_t *ledger, led_session_t *session, led_entry_t *entry)
{
  HASH_DEL (session->entries, entry);
  ledger->nentries--;
  ledger->bytes -= entry->bytes;
  if (!entry->ended && !entry->elsewhere)
    session->running--;
  if (entry->answer)
    ledger->options.release (ledger->options.arg, entry->answer);
  free (entry);
}

static void
session_drop (co_ledger_t *ledger, led_session_t *session)
{
  led_entry_t *entry;
  led_entry_t *next;

  HASH_ITER (hh, session->entries, entry, next)
  entry_drop (ledger, session, entry);
  HASH_DEL (ledger->sessions, session);
  el_str_free (&session->customer);
  free (session);
}

void
co_ledger_free (co_ledger_t *ledger)
{
  led_session_t *session;
  led_session_t *next;

  HASH_ITER (hh, ledger->sessions, session, next)
  session_drop (ledger, session);
  free (ledger);
}

static led_session_t *
session_find (co_ledger_t *ledger, const co_session_t *key)
{
  led_session_t *session;

  HASH_FIND (hh, ledger->sessions, key, sizeof *key, session);
  return session;
}

/* Move to the end, so that iteration starts with the least recently used
   session. */
static void
session_touch (co_ledger_t *ledger, led_session_t *session, el_time_t now)
{
  session->last_used = now;
  HASH_DEL (ledger->sessions, session);
  HASH_ADD (hh, ledger->sessions, key, sizeof session->key, session);
}

/** Open a session for CUSTOMER; EL_LIMIT when the ledger is sealed or full. */
el_status_t
co_ledger_open_session (co_ledger_t *ledger, el_time_t now, el_str_t customer,
                        uint64_t *id, el_err_t *err)
{
  led_session_t *session;

  if (ledger->sealed)
    return el_err_set (err, EL_LIMIT, "this host is stopping");
  if (HASH_COUNT (ledger->sessions) >= ledger->options.max_sessions)
    return el_err_set (err, EL_LIMIT, "all %zu sessions are in use",
                       ledger->options.max_sessions);
  session = el_alloc (sizeof *session);
  session->key.home = ledger->options.home;
  session->key.id = ledger->next_session++;
  session->customer = el_str_dup (customer);
  session->last_used = now;
  HASH_ADD (hh, ledger->sessions, key, sizeof session->key, session);
  *id = session->key.id;
  return EL_OK;
}

/** Close a session. Its requests are forgotten, so none of them runs again.
    EL_CONFLICT while a request is running. */
el_status_t
co_ledger_close_session (co_ledger_t *ledger, const co_session_t *key)
{
  led_session_t *session = session_find (ledger, key);

  if (!session)
    return EL_NOT_FOUND;
  if (session->running)
    return EL_CONFLICT;
  session_drop (ledger, session);
  return EL_OK;
}

static led_entry_t *
entry_add (co_ledger_t *ledger, led_session_t *session, uint64_t sequence,
           uint64_t digest)
{
  led_entry_t *entry = el_alloc (sizeof *entry);

  entry->sequence = sequence;
  entry->digest = digest;
  HASH_ADD (hh, session->entries, sequence, sizeof sequence, entry);
  ledger->nentries++;
  return entry;
}

static led_entry_t *
entry_find (led_session_t *session, uint64_t sequence)
{
  led_entry_t *entry;

  HASH_FIND (hh, session->entries, &sequence, sizeof sequence, entry);
  return entry;
}

/* Evict the ended entry with the lowest sequence, and raise the floor to that
   sequence. A running entry below the floor stays valid: entries are looked up
   before the floor is checked. */
static int
entry_evict_lowest (co_ledger_t *ledger, led_session_t *session)
{
  led_entry_t *entry;
  led_entry_t *next;
  led_entry_t *lowest = NULL;

  HASH_ITER (hh, session->entries, entry, next)
  if (entry->ended && (!lowest || entry->sequence < lowest->sequence))
    lowest = entry;
  if (!lowest)
    return 0;
  if (lowest->sequence > session->floor)
    session->floor = lowest->sequence;
  entry_drop (ledger, session, lowest);
  return 1;
}

/** Handle the arrival of a request. On CO_LED_RUN the ledger stores NEW_ANSWER
    as its answer; on CO_LED_JOIN and CO_LED_ANSWER, *ANSWER is the answer of
    the first arrival. DIGEST distinguishes different requests that a caller
    sent with the same sequence. */
co_led_result_t
co_ledger_begin_request (co_ledger_t *ledger, el_time_t now,
                         const co_session_t *key, uint64_t sequence,
                         uint64_t digest, void *new_answer, void **answer)
{
  led_session_t *session = session_find (ledger, key);
  led_entry_t *entry;

  if (!session)
    return CO_LED_FORGOTTEN;
  session_touch (ledger, session, now);
  entry = entry_find (session, sequence);
  if (entry && entry->digest != digest)
    return CO_LED_MISMATCH;
  if (entry && entry->elsewhere)
    return CO_LED_ELSEWHERE;
  if (entry)
    {
      *answer = entry->answer;
      return entry->ended ? CO_LED_ANSWER : CO_LED_JOIN;
    }
  if (sequence <= session->floor)
    return CO_LED_FORGOTTEN;
  if (ledger->sealed)
    return session->moved ? CO_LED_MOVED : CO_LED_SEALED;
  if (HASH_COUNT (session->entries) >= ledger->options.max_entries
      && !entry_evict_lowest (ledger, session))
    return CO_LED_FULL;
  if (sequence <= session->floor)
    return CO_LED_FORGOTTEN;
  entry = entry_add (ledger, session, sequence, digest);
  entry->answer = new_answer;
  session->running++;
  return CO_LED_RUN;
}

/* Evict answers until their total size is within max_bytes, starting with the
   least recently used session. */
static void
ledger_evict (co_ledger_t *ledger)
{
  led_session_t *session;
  led_session_t *next;

  HASH_ITER (hh, ledger->sessions, session, next)
  while (ledger->bytes > ledger->options.max_bytes)
    if (!entry_evict_lowest (ledger, session))
      break;
}

/** Record the end of a request. One that is proved not to have run is removed,
    so that the caller may retry it. Any other is kept with an answer of
    BYTES for as long as all answers fit within max_bytes. */
void
co_ledger_end_request (co_ledger_t *ledger, el_time_t now,
                       const co_session_t *key, uint64_t sequence,
                       el_verdict_t verdict, size_t bytes)
{
  led_session_t *session = session_find (ledger, key);
  led_entry_t *entry = session ? entry_find (session, sequence) : NULL;

  if (!entry || entry->ended)
    return;
  session_touch (ledger, session, now);
  if (verdict == EL_NOT_RUN)
    {
      entry_drop (ledger, session, entry);
      return;
    }
  entry->ended = 1;
  entry->bytes = bytes;
  session->running--;
  ledger->bytes += bytes;
  if (ledger->bytes > ledger->options.max_bytes)
    ledger_evict (ledger);
}

/** Return whether a session is known here. */
int
co_ledger_has_session (co_ledger_t *ledger, const co_session_t *key)
{
  return session_find (ledger, key) != NULL;
}

/** Run no new requests and open no sessions from now on; running requests
    continue. */
void
co_ledger_seal (co_ledger_t *ledger)
{
  ledger->sealed = 1;
}

/** Drop the sessions that were not used for the idle time and have no running
    request. */
void
co_ledger_expire (co_ledger_t *ledger, el_time_t now)
{
  led_session_t *session;
  led_session_t *next;

  HASH_ITER (hh, ledger->sessions, session, next)
  {
    if (session->last_used + ledger->options.idle > now)
      break;
    if (!session->running)
      session_drop (ledger, session);
  }
}

size_t
co_ledger_sessions (const co_ledger_t *ledger)
{
  return HASH_COUNT (ledger->sessions);
}

size_t
co_ledger_entries (const co_ledger_t *ledger)
{
  return ledger->nentries;
}

/** Return the total size of the stored answers, in bytes. */
size_t
co_ledger_bytes (const co_ledger_t *ledger)
{
  return ledger->bytes;
}

/** Pass all sessions to VISIT, so that another host can continue them. The
    ledger must be sealed first, so that no exported session runs a new request
    here. */
void
co_ledger_export (co_ledger_t *ledger, co_led_export_cb visit, void *arg)
{
  led_session_t *session;
  led_session_t *next;
  led_entry_t *entry;
  led_entry_t *next_entry;
  co_led_session_t out;

  HASH_ITER (hh, ledger->sessions, session, next)
  {
    out.key = session->key;
    out.customer = session->customer;
    out.floor = session->floor;
    out.nentries = 0;
    out.entries
        = el_alloc ((HASH_COUNT (session->entries) + 1) * sizeof *out.entries);
    HASH_ITER (hh, session->entries, entry, next_entry)
    out.entries[out.nentries++]
        = (co_led_entry_t){ entry->sequence, entry->digest, entry->ended,
                            entry->answer, entry->bytes };
    visit (arg, &out);
    free (out.entries);
  }
}

/* Import one request. A known entry only changes if it was still running at
   the other host and has ended there since. */
static void
entry_import (co_ledger_t *ledger, led_session_t *session,
              const co_led_entry_t *from)
{
  led_entry_t *entry = entry_find (session, from->sequence);

  if (entry && !(entry->elsewhere && from->ended))
    {
      if (from->answer)
        ledger->options.release (ledger->options.arg, from->answer);
      return;
    }
  if (!entry)
    entry = entry_add (ledger, session, from->sequence, from->digest);
  entry->ended = from->ended;
  entry->elsewhere = !from->ended;
  entry->answer = from->answer;
  entry->bytes = from->bytes;
  ledger->bytes += from->bytes;
}

/** Import a session, or the requests that ended since it was first imported.
    Takes ownership of the answers in any case. Importing the same data a
    second time has no effect. EL_LIMIT when there is no room or this host is
    itself stopping; nothing is imported then. */
el_status_t
co_ledger_import (co_ledger_t *ledger, el_time_t now,
                  const co_led_session_t *from)
{
  led_session_t *session = session_find (ledger, &from->key);
  size_t i;

  if (!session
      && (ledger->sealed
          || HASH_COUNT (ledger->sessions) >= ledger->options.max_sessions))
    {
      for (i = 0; i < from->nentries; i++)
        if (from->entries[i].answer)
          ledger->options.release (ledger->options.arg,
                                   from->entries[i].answer);
      return EL_LIMIT;
    }
  if (!session)
    {
      session = el_alloc (sizeof *session);
      session->key = from->key;
      session->customer = el_str_dup (from->customer);
      session->floor = from->floor;
      session->last_used = now;
      HASH_ADD (hh, ledger->sessions, key, sizeof session->key, session);
    }
  for (i = 0; i < from->nentries; i++)
    entry_import (ledger, session, &from->entries[i]);
  ledger_evict (ledger);
  return EL_OK;
}

/** Record whether a session was handed over. MOVED is also set when the new
    host did not answer and may have it; 0 means that it refused. */
void
co_ledger_set_moved (co_ledger_t *ledger, const co_session_t *key, int moved)
{
  led_session_t *session = session_find (ledger, key);

  if (session)
    session->moved = moved;
}
