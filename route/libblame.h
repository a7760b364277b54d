/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Internals of crash attribution: requests, crashes, and the runs that connect
 * them.
 */
#ifndef ELMARCH_LIBBLAME_H
#define ELMARCH_LIBBLAME_H

#include "blame.h"

/* Hosts stored per crash as its witnesses, and needed to confirm it. */
#define BLAME_WITNESSES 2
/* Windows over which unexplained crashes are counted. */
#define BLAME_RATE_WINDOWS 3

typedef struct blame_crash blame_crash_t;
typedef struct blame_cause blame_cause_t;

/* The number of tracked requests of a customer. */
typedef struct blame_customer
{
  uint64_t key;
  size_t ncauses;
  UT_hash_handle hh;
} blame_customer_t;

/* A request that was running where an endpoint crashed. */
typedef struct blame_run
{
  blame_crash_t *crash;
  blame_cause_t *cause;
  el_time_t began_at;
  el_time_t ran;
  int first;
  double llr; /* log-likelihood ratio that this crash adds to the odds */
  /* Rate (1/s) at which the request crashes the endpoint, weighted by the
     probability that it is the culprit. */
  double expected_hazard;
  struct blame_run *prev; /* list of the request's runs */
  struct blame_run *next;
  struct blame_run *crash_prev; /* list of the crash's runs */
  struct blame_run *crash_next;
} blame_run_t;

/* A crash of an endpoint instance. */
struct blame_crash
{
  uint64_t key;
  rt_instance_t instance;
  el_time_t at;
  el_time_t detected_at; /* earliest time at which some host had detected it */
  uint64_t witnesses[BLAME_WITNESSES]; /* hosts that reported it */
  size_t nwitnesses;
  int store_confirmed; /* the store reported it */
  blame_run_t *runs;
  size_t nruns;
  double unexplained;  /* probability that no request caused it */
  double total_hazard; /* sum of expected_hazard over its runs */
  /* Unexplained crashes near it in time, by window; excludes itself. */
  double nearby_unexplained[BLAME_RATE_WINDOWS];
  blame_crash_t *prev; /* list of all crashes, by time */
  blame_crash_t *next;
  UT_hash_handle hh;
};

struct blame_cause
{
  rt_digest_t digest;
  blame_customer_t *customer;
  blame_run_t *runs;
  el_time_t last_report_at; /* time of the newest crash or block of it */
  el_time_t cleared_at;     /* crashes up to this time do not count */
  el_time_t blocked_until;  /* end of its block; 0: none, or it was lifted */
  unsigned holds;           /* how often it has been blocked */
  double odds;
  UT_hash_handle hh;
};

struct rt_blame
{
  rt_blame_options_t options;
  blame_cause_t *causes;
  blame_customer_t *customers;
  blame_crash_t *crashes_by_key;
  blame_crash_t *crashes_by_time;
};

blame_cause_t *blame_cause_find (const rt_blame_t *blame,
                                     rt_digest_t digest);
rt_blame_status_t blame_status (const blame_cause_t *cause, el_time_t now);
void blame_expire (rt_blame_t *blame, el_time_t now);

/* Whether the crash is confirmed by the store or by two hosts: a single host
   may just have lost its connection to the endpoint. */
static inline int
blame_crash_confirmed (const blame_crash_t *crash)
{
  return crash->store_confirmed || crash->nwitnesses == BLAME_WITNESSES;
}

#endif
