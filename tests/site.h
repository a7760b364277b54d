/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Real processes for the tests of relayed requests: a store, engines and
 * workers that register themselves in it, and hosts.
 */
#ifndef ELMARCH_SITE_TEST_H
#define ELMARCH_SITE_TEST_H

#include "cluster.h"

#define SITE_ENGINES 4
#define SITE_WORKERS 2
#define SITE_HOSTS 3
/** Number of events in a stream of the stand-in. */
#define SITE_EVENTS 40

typedef struct site
{
  proc_t store;
  proc_t engines[SITE_ENGINES];
  proc_t workers[SITE_WORKERS];
  proc_t hosts[SITE_HOSTS]; /* address of the admin API and the metrics */
  proc_t entry_addrs[SITE_HOSTS];
  proc_t ready_addrs[SITE_HOSTS];
  proc_t directory_addrs[SITE_HOSTS];
  size_t nhosts;
  const char *step_us;    /* time between two events */
  const char *max_layers; /* engines crash on an order for more layers; NULL:
                             no limit */
  int no_workers;         /* only engines are started */
  int keep_ids;         /* engines and workers keep their ids over a restart */
  char record_file[64]; /* file of the store; empty: not persistent */
  char runs_file[64];   /* of engines and workers; empty: not recorded */
  char engine_ids[SITE_ENGINES][96];
  char worker_ids[SITE_WORKERS][96];
  const char *halls[SITE_HOSTS]; /* of the hosts; NULL: that of the
                                    endpoints */
  const char *more_rules;    /* of the configuration, each after a comma; NULL:
                                none */
  const char *host_flags[4]; /* more flags for the hosts */
  const char *limits;        /* of the configuration; NULL: those of most
                                tests */
  int cuttable;              /* hosts can be cut off from the endpoints */
} site_t;

extern site_t site;

void site_setup (void);
void site_start (size_t nhosts);
void site_teardown (void);
void site_engine_start (size_t i);
void site_worker_start (size_t i);
size_t site_engines_replace (void);
size_t site_engines_replace_nowait (void);
void site_store_start (void);
void site_power_cycle (void);
void site_start_unplaced (size_t nhosts);
size_t site_workers_replace (void);
json_t *site_admin_request (size_t host, const char *method, const char *path);
void site_host_start (size_t i);
void site_put_config (int version, const char *keys);
void site_wait_placed (void);
void site_wait_metric (const char *name, uint64_t value);
void site_wait_metric_except (size_t except, const char *name, uint64_t value);
void site_store_mute (int on);
void site_record_runs (void);
unsigned site_runs (const char *id);
void site_cut_enable (void);
void site_cut_environment (size_t host, int on);
void site_cut_remove (size_t host);
void site_cut (size_t host, char how);
void site_cut_some (size_t host, char how, unsigned n);
const proc_t *site_engine_with_first_layers (void);
int64_t member_value (const proc_t *member, const char *name);
void member_id (const proc_t *member, char *out, size_t size);
void send_request (size_t host, const char *method, const char *path,
                   const char *id, reply_t *reply);
void send_request_body (size_t host, const char *path, const char *body,
                        const char *id, reply_t *reply);
void send_request_prompt (size_t host, const char *path, const char *prompt,
                          const char *id, reply_t *reply);
void request_start (caller_t *caller, size_t host, const char *path,
                    const char *id);
void stream_start (caller_t *caller, size_t host, const char *id);
void assert_stream_complete (const reply_t *reply);

#endif
