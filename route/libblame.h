/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Internals of the blame for ends of endpoints: requests and ends, and the
 * runs that join them.
 */
#ifndef ELMARCH_LIBBLAME_H
#define ELMARCH_LIBBLAME_H

#include "blame.h"

/* Hosts that are remembered to have seen an end: two make it sure. */
#define BLAME_HOSTS 2
/* Windows in which ends are counted. */
#define BLAME_WINDOWS 3

typedef struct blame_end blame_end_t;
typedef struct blame_request blame_request_t;

/* How many requests of a customer are remembered. */
typedef struct blame_customer
{
  uint64_t key;
  size_t n;
  UT_hash_handle hh;
} blame_customer_t;

/* A request that ran where an endpoint ended. */
typedef struct blame_run
{
  blame_end_t *end;
  blame_request_t *request;
  el_time_t began;
  el_time_t ran;
  int first;
  double log_ratio; /* by how much this end raises the request's odds */
  double share;     /* chance for a second that it brought the end about */
  struct blame_run *prev; /* of the request */
  struct blame_run *next;
  struct blame_run *end_prev;
  struct blame_run *end_next;
} blame_run_t;

/* A start of an endpoint that ended. */
struct blame_end
{
  uint64_t key;
  rt_start_t start;
  el_time_t at;
  el_time_t found; /* the earliest that some host knew it to have ended */
  uint64_t hosts[BLAME_HOSTS]; /* that saw it */
  size_t nhosts;
  int listed; /* the store says so */
  blame_run_t *runs;
  size_t nruns;
  double unexplained;           /* chance that no request is to blame for it */
  double shares;                /* of its runs together */
  double around[BLAME_WINDOWS]; /* ends without a reason near it */
  blame_end_t *prev;            /* in the order of their times */
  blame_end_t *next;
  UT_hash_handle hh;
};

struct blame_request
{
  rt_digest_t digest;
  blame_customer_t *customer;
  blame_run_t *runs;
  el_time_t last;    /* fact */
  el_time_t cleared; /* ends up to then don't count */
  el_time_t until;   /* blocked; 0: never was, or is no more */
  unsigned holds;    /* times blocked */
  double odds;
  UT_hash_handle hh;
};

struct rt_blame
{
  rt_blame_options_t options;
  blame_request_t *requests;
  blame_customer_t *customers;
  blame_end_t *ends;
  blame_end_t *order;
};

blame_request_t *blame_request_find (const rt_blame_t *blame,
                                     rt_digest_t digest);
rt_judgement_t blame_judgement (const blame_request_t *request, el_time_t now);
void blame_fade (rt_blame_t *blame, el_time_t now);

/* Whether it is known that the endpoint ended: one host alone may have lost
   its way there. */
static inline int
blame_end_sure (const blame_end_t *end)
{
  return end->listed || end->nhosts == BLAME_HOSTS;
}

#endif
