/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Parts of a test that runs elmarch's hosts as processes: a store, workers and
 * clients in threads of the test.
 */
#ifndef RIG_H
#define RIG_H

#include <pthread.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* The case could not run. */
#define RG_EXIT_UNUSABLE 2
#define RG_ADDRESS_MAX 32
#define RG_ID_MAX 64

/* A test ends after this time, whatever happens. */
#define RG_TIME_MAX_S 115

void rg_begin (const char *record);
void rg_die_with_parent (void);

/* Time in milliseconds, and waiting. */

uint64_t rg_now (void);
void rg_sleep (uint64_t ms);

/** Report that the case can't run, end its hosts and exit. */
void rg_unusable (const char *fmt, ...)
    __attribute__ ((noreturn, format (printf, 1, 2)));

/* Addresses: each run has a loopback network of its own. */

void rg_address (char *out, unsigned last, unsigned port);

/* Connections. */

typedef void rg_serve_fn (int fd, void *arg);

void rg_listen (const char *address, rg_serve_fn *serve, void *arg);
int rg_connect (const char *address);

/** A request or response head, and its body. */
typedef struct rg_message
{
  char *head;
  char *body;
  size_t body_len;
} rg_message_t;

int rg_receive (int fd, rg_message_t *out);
void rg_message_free (rg_message_t *message);
int rg_header (const rg_message_t *message, const char *name, char *out,
               size_t size);
int rg_status (const rg_message_t *message);
int rg_send (int fd, const char *text, size_t len);
int rg_get (const char *address, const char *path, const char *headers);

/* The record of what was sent, answered and run. */

void rg_record (const char *fmt, ...) __attribute__ ((format (printf, 1, 2)));

/* The store. */

#define RG_LINKS_MAX 8

typedef struct rg_store rg_store_t;

rg_store_t *rg_store_new (unsigned page_items, unsigned answer_ms);
void rg_store_link (rg_store_t *store, unsigned link, const char *address);
uint64_t rg_store_put (rg_store_t *store, const char *key, const char *value);
void rg_store_forget (rg_store_t *store);
int rg_store_is_watched (rg_store_t *store, unsigned link);
void rg_store_wait_watch (rg_store_t *store, unsigned link);
void rg_store_wait_empty_watch (rg_store_t *store, unsigned link);
void rg_store_on_first_page (rg_store_t *store, unsigned link,
                             void (*call) (void *arg), void *arg);

void rg_store_remove (rg_store_t *store, const char *key);

/* Workers of a plain service. */

typedef struct rg_worker
{
  char id[RG_ID_MAX];
  char address[RG_ADDRESS_MAX];
  void (*ran) (void *arg, const char *worker, const char *request);
  void *arg;
} rg_worker_t;

int rg_health_serve (int fd, const rg_message_t *message, const char *id);
void rg_worker_start (rg_worker_t *worker);

/* Hosts, run with the command of the deploy file. */

#define RG_HOSTS_MAX 8

typedef struct rg_host
{
  pid_t pid;
  char name[RG_ID_MAX];
  char ip[RG_ADDRESS_MAX];
  char front[RG_ADDRESS_MAX];
  char ready[RG_ADDRESS_MAX];
} rg_host_t;

void rg_host_start (rg_host_t *host, unsigned number, const char *hall,
                    const char *store, const char *seeds);
void rg_host_seed (char *out, unsigned number);
void rg_host_wait_ready (const rg_host_t *host);
void rg_hosts_end (void);

/** An entry of a worker in the store. */
typedef struct rg_entry
{
  const char *id;
  const char *service;
  const char *address;
  const char *hall;
  int leaving;
  unsigned cold_ms;
  const char *more; /* further fields, after a comma; NULL: none */
} rg_entry_t;

void rg_entry_put (rg_store_t *store, const rg_entry_t *entry);
void rg_site_start (rg_host_t *hosts, const char *const *halls, unsigned n,
                    rg_store_t *store);

#endif
