/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * A randomized soak of relayed requests: real processes on one machine, faults
 * from outside them by a schedule that a seed makes, and the promises checked
 * from what callers see and what endpoints note.
 */
#ifndef ELMARCH_SOAK_H
#define ELMARCH_SOAK_H

#include <pthread.h>
#include <sys/types.h>

#include "base.h"

#define SK_HOSTS 4
#define SK_ENGINES 8
#define SK_WORKERS 3
#define SK_MEMBERS (SK_ENGINES + SK_WORKERS)
#define SK_HALLS 2
/** Links that a proxy stands in: each host's to the store, then those to the
    members. */
#define SK_LINKS (SK_HOSTS + SK_MEMBERS)
#define SK_KEYS 4
#define SK_LAYERS 8
/** Events of a whole stream of a stand-in. */
#define SK_EVENTS 40
/** A host that has not heard of the store for this long takes no keys. */
#define SK_KEYS_LIMIT (2 * EL_SEC)
#define SK_ADDRESS_MAX 32
#define SK_ID_MAX 32

/* The schedule. */

typedef enum sk_kind
{
  SK_HOST_TERM,     /**< SIGTERM, started again when it has ended */
  SK_HOST_KILL,     /**< SIGKILL, started again at the fault's end */
  SK_HOST_PAUSE,    /**< SIGSTOP, SIGCONT at the fault's end */
  SK_HOSTS_KILL,    /**< all at once */
  SK_MEMBER_KILL,   /**< SIGKILL; its entry goes a while later */
  SK_MEMBER_PAUSE,  /**< SIGSTOP, SIGCONT at the end */
  SK_MEMBER_LEAVE,  /**< says so, ends at the fault's end */
  SK_MEMBER_ANSWER, /**< a plain service loses, crosses or refuses answers */
  SK_STORE_PAUSE,   /**< SIGSTOP, SIGCONT at the end */
  SK_STORE_FORGET,  /**< its history */
  SK_LINK_DELAY,    /**< bytes come late, both ways */
  SK_LINK_RESET,    /**< all connections are reset */
  SK_LINK_CUT,      /**< one way: nothing goes through until the end */
  SK_LINK_SILENT,   /**< both ways */
  SK_CONFIG,        /**< a new version that changes nothing */
  SK_KEY,           /**< a key is taken away */
  SK_DRAWN,         /**< the kinds before it are drawn together */
  SK_MEMBER_REST = SK_DRAWN, /**< turns requests away, asks for rest */
  SK_MEMBER_SAYS, /**< its answers say that it leaves, its entry does not; ends
                       at the fault's end */
  SK_ASKS_END,
  SK_STORE_COPY = SK_ASKS_END, /**< at its end the store goes on from a copy
                                    that it took at the beginning */
  SK_KINDS
} sk_kind_t;

typedef struct sk_fault
{
  sk_kind_t kind;
  el_time_t at;    /**< from the start of the traffic */
  el_time_t lasts; /**< 0 for what has no end */
  unsigned which;  /**< host, member, link or key */
  unsigned how;    /**< variant */
  char member[64]; /**< the id of the member that it struck */
  int begun;
  int over;
} sk_fault_t;

/** Most faults of one schedule, of which a run may have two. */
#define SK_FAULTS_MAX 64

const char *sk_kind_name (sk_kind_t kind);
size_t sk_plan (uint64_t seed, el_time_t length, sk_fault_t *out);
size_t sk_plan_copies (uint64_t seed, el_time_t length, sk_fault_t *out);
size_t sk_plan_asks (uint64_t seed, el_time_t length, sk_fault_t *out);

/* The proxy: a thread of its own. */

typedef struct sk_proxy sk_proxy_t;

/** Which way bytes go. */
typedef enum sk_way
{
  SK_UP,  /**< to the target */
  SK_DOWN /**< from it */
} sk_way_t;

sk_proxy_t *sk_proxy_new (void);
void sk_proxy_add (sk_proxy_t *proxy, unsigned link, const char *listen,
                   const char *target);
void sk_proxy_start (sk_proxy_t *proxy);
void sk_proxy_hold (sk_proxy_t *proxy, unsigned link, sk_way_t way, int on);
void sk_proxy_delay (sk_proxy_t *proxy, unsigned link, unsigned ms);
void sk_proxy_reset (sk_proxy_t *proxy, unsigned link);
void sk_proxy_free (sk_proxy_t *proxy);

/* What was seen. */

typedef enum sk_request_kind
{
  SK_SAFE,
  SK_UNSAFE,
  SK_STREAM,
  SK_REQUEST_KINDS
} sk_request_kind_t;

/** One request of a caller: one id. */
typedef struct sk_request
{
  char id[SK_ID_MAX];
  sk_request_kind_t kind;
  unsigned host;
  unsigned key;
  unsigned generation;  /**< of the key that it bore */
  int old;              /**< that key had been taken away */
  int taken;            /**< it was taken away before the answer came */
  el_time_t changed_at; /**< when the store took the key's last change; 0 is
                             never, or not known */
  uint64_t boot;        /**< how often the host had been started */
  int rebooted;         /**< it was started again before the answer came: which
                             of both took it is not known */
  el_time_t sent;
  el_time_t done;
  long status;      /**< 0: none */
  int whole;        /**< the answer came to its end */
  int seal;         /**< it bears an endpoint's seal */
  int own;          /**< it names this request */
  unsigned resumed; /**< number of the last event before it */
  unsigned events;  /**< number of the last event after it */
  int disorder;     /**< an event was missing, doubled or another's */
} sk_request_t;

/** All requests of a run; grows under its lock. */
typedef struct sk_seen
{
  pthread_mutex_t lock;
  sk_request_t *list;
  size_t len;
} sk_seen_t;

/* The processes. */

typedef struct sk_proc
{
  pid_t pid; /**< 0 while it is down */
  char address[SK_ADDRESS_MAX];
  uint64_t boots;
  int paused;
  int ending;     /**< a signal that ends it was sent */
  el_time_t back; /**< when it is started again; 0 is not */
  char id[64];    /**< a member's entry */
  el_time_t gone; /**< when its entry goes; 0 is not */
} sk_proc_t;

/** What a host listens for. */
typedef enum sk_port
{
  SK_PORT_LISTEN,    /**< callers and operators */
  SK_PORT_PEERS,     /**< other hosts */
  SK_PORT_ENTRY,     /**< relayed requests */
  SK_PORT_READY,     /**< whether it is ready */
  SK_PORT_DIRECTORY, /**< where callers may go */
  SK_PORTS
} sk_port_t;

typedef struct sk_world
{
  char dir[256]; /**< logs and the members' record */
  const char *bin;
  unsigned net;
  sk_proxy_t *proxy;
  sk_proc_t store;
  sk_proc_t hosts[SK_HOSTS];
  sk_proc_t members[SK_MEMBERS];
  int version;              /**< of the configuration */
  unsigned keys[SK_KEYS];   /**< generation of each key that is in force */
  el_time_t taken[SK_KEYS]; /**< when the store took the removal of the one
                                 before; 0 is never, or not known */
} sk_world_t;

void sk_proc_start (const sk_world_t *world, sk_proc_t *proc, const char *log,
                    const char **args);
void sk_proc_signal (sk_proc_t *proc, int number);
void sk_proc_kill (sk_proc_t *proc);
void sk_proc_pause (sk_proc_t *proc, int on);
void sk_proc_reap (sk_proc_t *proc, const char *what, unsigned i);

void sk_world_open (sk_world_t *world, const char *bin, const char *dir);
void sk_world_tick (sk_world_t *world, el_time_t now);
void sk_world_calm (sk_world_t *world);
void sk_world_close (sk_world_t *world);
void sk_host_address (const sk_world_t *world, unsigned host, sk_port_t port,
                      char *out);

void sk_fault_begin (sk_world_t *world, sk_fault_t *fault);
void sk_fault_end (sk_world_t *world, sk_fault_t *fault);

/* The operator. */

int sk_config_write (sk_world_t *world);
void sk_key_take (sk_world_t *world, unsigned key);
void sk_key_text (unsigned key, unsigned generation, char *out, size_t size);

/* The clock, and single exchanges. */

el_time_t sk_now (void);
void sk_wait_step (void);

/** One HTTP exchange; gives the status, 0 without an answer. BODY may be NULL;
    OUT, which the caller frees, may be NULL. */
long sk_http (const char *method, const char *address, const char *path,
              const char *body, el_buf_t *out);
int sk_http_wait (const char *address, const char *path, el_buf_t *out);

/* Callers: threads of their own. */

typedef struct sk_callers sk_callers_t;

sk_callers_t *sk_callers_start (sk_world_t *world, sk_seen_t *seen,
                                unsigned threads, uint64_t seed);
void sk_callers_stop (sk_callers_t *callers);
int sk_caller_probe (sk_world_t *world, sk_seen_t *seen, unsigned host,
                     sk_request_kind_t kind);

/* The promises. */

size_t sk_check (const sk_world_t *world, const sk_seen_t *seen,
                 const sk_fault_t *faults, size_t nfaults, el_time_t begun);
void sk_broken (const char *promise, const char *id, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
