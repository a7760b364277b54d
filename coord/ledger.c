/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The request ledger of one incarnation of one host. A request that carries a
 * session and a sequence is run at most once: the first arrival runs, others
 * join it. Memory is bounded: what is forgotten raises the session's floor,
 * and nothing at or below the floor ever runs.
 */
#include <string.h>

#include "coord.h"
#include "map.h"

typedef struct led_entry
{
  uint64_t sequence; /* key */
  uint64_t digest;   /* of the request, to tell another under its number */
  int ended;
  int elsewhere; /* runs at the host that handed the session over */
  size_t bytes;  /* of the answer, once ended */
  void *answer;
  UT_hash_handle hh;
} led_entry_t;

typedef struct led_session
{
  co_session_t key;
  int moved; /* handed over, or on its way: it may run elsewhere */
  el_str_t customer;
  uint64_t floor;
  el_time_t used;
  size_t running;
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

/* Move to the end, so that iteration meets the least recently used first. */
static void
session_touch (co_ledger_t *ledger, led_session_t *session, el_time_t now)
{
  session->used = now;
  HASH_DEL (ledger->sessions, session);
  HASH_ADD (hh, ledger->sessions, key, sizeof session->key, session);
}

/** Open a session for CUSTOMER; EL_LIMIT when sealed or full. */
el_status_t
co_ledger_open (co_ledger_t *ledger, el_time_t now, el_str_t customer,
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
  session->used = now;
  HASH_ADD (hh, ledger->sessions, key, sizeof session->key, session);
  *id = session->key.id;
  return EL_OK;
}

/** End a session: its requests are forgotten, so none of them runs again. */
el_status_t
co_ledger_close (co_ledger_t *ledger, const co_session_t *key)
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

/* Forget the ended entry of the lowest sequence and all numbers below it.
   A running entry below it keeps its place: it is found before the floor is
   looked at. */
static int
entry_forget_oldest (co_ledger_t *ledger, led_session_t *session)
{
  led_entry_t *entry;
  led_entry_t *next;
  led_entry_t *oldest = NULL;

  HASH_ITER (hh, session->entries, entry, next)
  if (entry->ended && (!oldest || entry->sequence < oldest->sequence))
    oldest = entry;
  if (!oldest)
    return 0;
  if (oldest->sequence > session->floor)
    session->floor = oldest->sequence;
  entry_drop (ledger, session, oldest);
  return 1;
}

/** A request arrived. On CO_LED_RUN the ledger takes FRESH as its answer; on
    CO_LED_JOIN and CO_LED_ANSWER, *ANSWER is that of the first arrival.
    DIGEST tells requests apart that a caller gave the same sequence. */
co_led_result_t
co_ledger_begin (co_ledger_t *ledger, el_time_t now, const co_session_t *key,
                 uint64_t sequence, uint64_t digest, void *fresh,
                 void **answer)
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
      && !entry_forget_oldest (ledger, session))
    return CO_LED_FULL;
  if (sequence <= session->floor)
    return CO_LED_FORGOTTEN;
  entry = entry_add (ledger, session, sequence, digest);
  entry->answer = fresh;
  session->running++;
  return CO_LED_RUN;
}

/* Forget answers, of the sessions that were not used for longest first, until
   the rest keeps within its bound. */
static void
ledger_trim (co_ledger_t *ledger)
{
  led_session_t *session;
  led_session_t *next;

  HASH_ITER (hh, ledger->sessions, session, next)
  while (ledger->bytes > ledger->options.max_bytes)
    if (!entry_forget_oldest (ledger, session))
      break;
}

/** The run of a request ended. One that is proved not to have run is taken
    out, so that the caller may send it again; any other stays answered, with
    an answer of BYTES, as long as all answers keep within their bound. */
void
co_ledger_end (co_ledger_t *ledger, el_time_t now, const co_session_t *key,
               uint64_t sequence, el_verdict_t verdict, size_t bytes)
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
    ledger_trim (ledger);
}

/** Whether a session is known here. */
int
co_ledger_holds (co_ledger_t *ledger, const co_session_t *key)
{
  return session_find (ledger, key) != NULL;
}

/** From now on nothing new runs here; what runs goes on. */
void
co_ledger_seal (co_ledger_t *ledger)
{
  ledger->sealed = 1;
}

/** Drop the sessions that were not used for the idle time. */
void
co_ledger_expire (co_ledger_t *ledger, el_time_t now)
{
  led_session_t *session;
  led_session_t *next;

  HASH_ITER (hh, ledger->sessions, session, next)
  {
    if (session->used + ledger->options.idle > now)
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

/** Bytes of the answers that are remembered. */
size_t
co_ledger_bytes (const co_ledger_t *ledger)
{
  return ledger->bytes;
}

/** Hand out all sessions that were opened here, so that another host can go on
    with them. The ledger is sealed before: what is handed out never runs here
    any more. */
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

/* Take over one request. One that is known already only changes when it ended
   meanwhile where it ran. */
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

/** Take a session over, or what ended of it since it was taken over; the
    answers are taken over in either case. Harmless when it is repeated.
    EL_LIMIT when there is no room or this host is stopping itself: then
    nothing was taken. */
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
      session->used = now;
      HASH_ADD (hh, ledger->sessions, key, sizeof session->key, session);
    }
  for (i = 0; i < from->nentries; i++)
    entry_import (ledger, session, &from->entries[i]);
  ledger_trim (ledger);
  return EL_OK;
}

/** A session was handed over, may have been (its new host did not answer), or
    was refused there (MOVED is 0). */
void
co_ledger_moved (co_ledger_t *ledger, const co_session_t *key, int moved)
{
  led_session_t *session = session_find (ledger, key);

  if (session)
    session->moved = moved;
}
