/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Internals of crash attribution: causes, crashes, and the runs that connect
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

/* The number of tracked causes of a customer. */
typedef struct blame_customer
{
  uint64_t key;
  size_t ncauses;
  UT_hash_handle hh;
} blame_customer_t;

/* A cause at a crash: a request that was running there, or what some requests
   there had in common. */
typedef struct blame_run
{
  blame_crash_t *crash;
  blame_cause_t *cause;
  uint64_t requests; /* hash of the set of requests there that have it */
  size_t nrequests;  /* number of these */
  el_time_t began_at;
  el_time_t ran;
  int first;
  int writing;
  double llr; /* log-likelihood ratio that this crash adds to the odds */
  /* Rate (1/s) at which the cause crashes the endpoint, weighted by the
     probability that it is the culprit. */
  double expected_hazard;
  struct blame_run *prev; /* list of the cause's runs */
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
  int at_is_late;        /* AT is when the store no longer listed it */
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

/* A possible cause of crashes, or a set of them that was blocked together. */
struct blame_cause
{
  rt_digest_t digest;
  rt_cause_kind_t kind;
  blame_customer_t *customer;
  blame_run_t *runs;
  el_time_t last_report_at; /* time of the newest crash or block of it */
  el_time_t cleared_at;     /* crashes up to this time do not count */
  el_time_t blocked_until;  /* end of its block; 0: none, or it was lifted */
  unsigned holds;           /* how often it has been blocked */
  int taken_for_new; /* its last block took it for a part that had not run well
                        yet */
  double odds;
  /* Parts of prompts with the same crashes form a class, which is scored once.
     Its leader is the likeliest culprit: one that never ran well, and that the
     fewest requests have. */
  uint64_t class_id;   /* hash of the crashes */
  uint64_t request_id; /* hash of the requests at them that have the cause */
  size_t nrequests;    /* number of these */
  double prior;        /* prior odds */
  blame_cause_t *leader;
  int ambiguous;   /* of a leader: another cause, which other requests have,
                      is as likely */
  int one_request; /* a part with the crashes of one request only, which
                      explains them as well */
  UT_hash_handle hh_class;
  rt_block_t *set; /* of a set of causes: its members */
  UT_hash_handle hh;
};

/* A cause that is no request and ran well, here or elsewhere. The least recent
   ones are forgotten. */
typedef struct blame_proven
{
  rt_digest_t digest;
  el_time_t at;         /* when it last ran well */
  el_time_t told_until; /* all hosts know of it until then */
  UT_hash_handle hh;    /* in the order in which they ran well last */
} blame_proven_t;

struct rt_blame
{
  rt_blame_options_t options;
  blame_cause_t *causes;
  size_t nshared; /* causes that are no requests */
  size_t nsets;   /* sets of causes */
  blame_proven_t *proven;
  el_time_t first_proven_at; /* 0: none yet */
  el_time_t updated_at;
  blame_customer_t *customers;
  blame_crash_t *crashes_by_key;
  blame_crash_t *crashes_by_time;
};

blame_cause_t *blame_cause_find (const rt_blame_t *blame, rt_digest_t digest);
rt_blame_status_t blame_status (const blame_cause_t *cause, el_time_t now);
void blame_expire (rt_blame_t *blame, el_time_t now);
blame_cause_t *blame_cause_get (rt_blame_t *blame, rt_digest_t digest,
                                rt_cause_kind_t kind, uint64_t customer);
blame_cause_t *blame_block_get (rt_blame_t *blame, const rt_block_t *block,
                                uint64_t customer);
blame_run_t *blame_run_find (const blame_cause_t *cause,
                             const blame_crash_t *crash);

void blame_run_free (blame_run_t *run);

/* blame_proven.c */
int blame_is_learning (const rt_blame_t *blame);
int blame_ran_well (const rt_blame_t *blame, rt_digest_t digest);
int blame_is_proven (const rt_blame_t *blame, rt_digest_t digest);
blame_proven_t *blame_proven_add (rt_blame_t *blame, rt_digest_t part,
                                  el_time_t at);
void blame_proven_free (rt_blame_t *blame);

/* blame_clear.c */
int blame_unblock_new (rt_blame_t *blame, rt_digest_t digest);

/* blame_class.c */
void blame_classes_build (rt_blame_t *blame);
void blame_classes_share_odds (rt_blame_t *blame);
rt_block_t blame_class_block (const blame_cause_t *leader);
uint64_t blame_class_id (const blame_cause_t *cause);

/* Whether the crash is confirmed by the store or by two hosts: a single host
   may just have lost its connection to the endpoint. */
static inline int
blame_crash_confirmed (const blame_crash_t *crash)
{
  return crash->store_confirmed || crash->nwitnesses == BLAME_WITNESSES;
}

#endif
