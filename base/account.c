/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The account of the bytes and connections that a process holds for others. It
 * is sized from the process's memory and descriptors; each holder draws on it
 * and gives back what it no longer holds.
 */
#include "base.h"

/* Part of the memory that may be held. The rest is the process's own state,
   and what connections take. */
#define BYTES_SHARE 3
/* Part of the memory for connections, and what one takes: the library's state,
   a head and a short body. */
#define CONN_MEMORY_SHARE 2
#define CONN_BYTES 16384
/* Shares of the memory, and of the descriptors, are in eighths. */
#define SHARES 8
#define CONN_SHARES 16
/* Descriptors that are no connections: logs, the event loop's, the library's
   files. */
#define FILES_MAX 200
#define FILES_SHARE 2

/* What is cheap to serve may still be taken when what is dear may not: a kind
   is taken while all kinds together stay below so many eighths. The last
   eighth is for requests that draw nothing. Messages of hosts are bounded by
   themselves, so that callers do not hold them up. */
static const unsigned hold_shares[EL_HOLD_KINDS] = {
  [EL_HOLD_SHORT] = 6,
  [EL_HOLD_LONG] = 5,
  [EL_HOLD_ANSWER] = 7,
  [EL_HOLD_PEER] = 4,
};

/* Sixteenths of the connections that a kind may take; those that the process
   opens itself are only counted, and get what is left. */
static const unsigned conn_shares[EL_CONN_KINDS] = {
  [EL_CONN_CALLER] = 8, [EL_CONN_OPERATOR] = 1,      [EL_CONN_CONTROL] = 2,
  [EL_CONN_PEER] = 4,   [EL_CONN_OWN] = CONN_SHARES,
};

/** Sizes an account for a process with MEMORY bytes and DESCRIPTORS file
    descriptors. */
void
el_account_init (el_account_t *account, uint64_t memory, uint64_t descriptors)
{
  uint64_t files = descriptors / SHARES * FILES_SHARE;
  uint64_t by_memory = memory / SHARES * CONN_MEMORY_SHARE / CONN_BYTES;
  size_t i;

  *account = (el_account_t){ .bytes_max = memory / SHARES * BYTES_SHARE };
  account->conns_max = descriptors - (files < FILES_MAX ? files : FILES_MAX);
  for (i = 0; i < EL_HOLD_KINDS; i++)
    account->hold_max[i] = account->bytes_max / SHARES * hold_shares[i];
  for (i = 0; i < EL_CONN_KINDS; i++)
    account->conn_max[i] = account->conns_max * conn_shares[i] / CONN_SHARES;
  if (account->conn_max[EL_CONN_CALLER] > by_memory)
    account->conn_max[EL_CONN_CALLER] = by_memory;
}

/** Returns how many more bytes of a kind may be held. */
uint64_t
el_account_room (const el_account_t *account, el_hold_t kind)
{
  uint64_t used = kind == EL_HOLD_PEER ? account->held[kind] : account->bytes;

  return account->hold_max[kind] > used ? account->hold_max[kind] - used : 0;
}

/** Whether a request that draws nothing may be taken in. */
int
el_account_is_full (const el_account_t *account)
{
  return account->bytes >= account->bytes_max;
}

/** Adds N bytes to what is held, whether or not there is room. */
void
el_account_add (el_account_t *account, el_hold_t kind, uint64_t n)
{
  account->held[kind] += n;
  account->bytes += n;
  if (account->bytes > account->bytes_peak)
    account->bytes_peak = account->bytes;
}

/** Takes room for N bytes. Returns 0 if there is none. */
int
el_account_take (el_account_t *account, el_hold_t kind, uint64_t n)
{
  if (n > el_account_room (account, kind))
    {
      account->short_of_room[kind]++;
      return 0;
    }
  el_account_add (account, kind, n);
  return 1;
}

/** Gives N bytes back. */
void
el_account_give (el_account_t *account, el_hold_t kind, uint64_t n)
{
  account->held[kind] -= n;
  account->bytes -= n;
}

/** Whether there is room for one more connection of a kind. */
int
el_account_conn_fits (const el_account_t *account, el_conn_kind_t kind)
{
  return account->conn[kind] < account->conn_max[kind]
         && account->conns < account->conns_max;
}

/** Counts a connection that was opened. */
void
el_account_conn_add (el_account_t *account, el_conn_kind_t kind)
{
  account->conn[kind]++;
  account->conns++;
}

/** Counts a connection that was closed. */
void
el_account_conn_give (el_account_t *account, el_conn_kind_t kind)
{
  account->conn[kind]--;
  account->conns--;
}
