/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * A randomized fault-injection (soak) test of relayed requests. It runs real
 * processes on one machine, injects faults from outside by a schedule that is
 * derived from a seed, and checks invariants against what callers received and
 * what endpoints recorded.
 */
#ifndef ELMARCH_SOAK_H
#define ELMARCH_SOAK_H

#include <pthread.h>
#include <sys/types.h>

#include "base.h"

#define SK_HOSTS 4
/** Endpoints are stand-ins: engines first, then workers. Their role on the
    command line, and the names of faults in the output, say "member". */
#define SK_ENGINES 8
#define SK_WORKERS 3
#define SK_ENDPOINTS (SK_ENGINES + SK_WORKERS)
#define SK_HALLS 2
/** Links that pass through the proxy: first each host's link to the store,
    then the link to each endpoint. */
#define SK_LINKS (SK_HOSTS + SK_ENDPOINTS)
#define SK_KEYS 4
#define SK_LAYERS 8
/** Events in a complete stream of a stand-in. */
#define SK_STREAM_EVENTS 40
/** A host that has not heard from the store for this long accepts no keys. */
#define SK_KEYS_MAX_AGE (2 * EL_SEC)
/** Time until the store entry of an endpoint that died is deleted, as after
    three missed heartbeats. */
#define SK_ENTRY_EXPIRY (1500 * EL_MSEC)
#define SK_ADDRESS_MAX 32
#define SK_ID_MAX 32

/* The fault schedule. */

typedef enum sk_fault_kind
{
  SK_HOST_TERM,      /**< SIGTERM; restarted when it has exited */
  SK_HOST_KILL,      /**< SIGKILL; restarted at the end of the fault */
  SK_HOST_PAUSE,     /**< SIGSTOP; SIGCONT at the end */
  SK_HOSTS_KILL,     /**< SK_HOST_KILL for all hosts at once */
  SK_ENDPOINT_KILL,  /**< SIGKILL; its store entry is deleted later */
  SK_ENDPOINT_PAUSE, /**< SIGSTOP; SIGCONT at the end */
  SK_ENDPOINT_LEAVE, /**< announces that it leaves; killed at the end */
  SK_WORKER_FAULT,   /**< a worker loses, mixes up, refuses or withholds
                          responses */
  SK_STORE_PAUSE,    /**< SIGSTOP; SIGCONT at the end */
  SK_STORE_COMPACT,  /**< the store drops its change history */
  SK_LINK_DELAY,     /**< bytes are delayed in both directions */
  SK_LINK_RESET,     /**< all connections are reset */
  SK_LINK_PARTITION_ONE_WAY, /**< bytes of one direction are held until the
                                  end */
  SK_LINK_PARTITION,         /**< bytes of both directions are held */
  SK_CONFIG_WRITE,    /**< a new configuration version without a change */
  SK_KEY_REVOKE,      /**< a customer's key is replaced by another */
  SK_BASIC_KINDS_END, /**< sk_plan() draws from the kinds before this */
  SK_ENDPOINT_BACKOFF = SK_BASIC_KINDS_END, /**< refuses requests and asks
                                                 hosts to back off */
  SK_ENDPOINT_LEAVE_NOTICE, /**< its responses announce that it leaves, its
                                 store entry does not; killed at the end */
  SK_NOTICE_KINDS_END,      /**< sk_plan_notices() draws from the two before */
  SK_STORE_ROLLBACK = SK_NOTICE_KINDS_END, /**< takes a snapshot; the store
                                                is restored to it at the end */
  SK_ENDPOINT_LIMIT, /**< names a rate limit for all hosts together */
  SK_FAULT_KINDS
} sk_fault_kind_t;

typedef struct sk_fault
{
  sk_fault_kind_t kind;
  el_time_t start_at; /**< from the start of the traffic */
  el_time_t duration; /**< 0 for a fault without an end */
  unsigned target;    /**< host, endpoint, worker, link or key */
  unsigned variant;
  char endpoint_id[64]; /**< id that the leaving endpoint had */
  int started;
  int ended;
} sk_fault_t;

/** Most faults of one schedule. A run may combine two schedules. */
#define SK_FAULTS_MAX 64

const char *sk_fault_kind_name (sk_fault_kind_t kind);
size_t sk_plan (uint64_t seed, el_time_t length, sk_fault_t *out);
size_t sk_plan_rollbacks (uint64_t seed, el_time_t length, sk_fault_t *out);
size_t sk_plan_notices (uint64_t seed, el_time_t length, sk_fault_t *out);
size_t sk_plan_limits (uint64_t seed, el_time_t length, sk_fault_t *out);
size_t sk_plan_crashes (uint64_t seed, el_time_t length, sk_fault_t *out);

/* The proxy, which runs in its own thread. */

typedef struct sk_proxy sk_proxy_t;

/** Direction in which bytes flow over a link. */
typedef enum sk_direction
{
  SK_UPSTREAM,  /**< to the target */
  SK_DOWNSTREAM /**< from the target */
} sk_direction_t;

sk_proxy_t *sk_proxy_new (void);
void sk_proxy_add (sk_proxy_t *proxy, unsigned link, const char *listen,
                   const char *target);
void sk_proxy_start (sk_proxy_t *proxy);
void sk_proxy_hold (sk_proxy_t *proxy, unsigned link, sk_direction_t direction,
                    int on);
void sk_proxy_delay (sk_proxy_t *proxy, unsigned link, unsigned ms);
void sk_proxy_reset (sk_proxy_t *proxy, unsigned link);
void sk_proxy_free (sk_proxy_t *proxy);

/* Requests and their results. */

typedef enum sk_request_kind
{
  SK_SAFE,
  SK_UNSAFE,
  SK_STREAM,
  SK_REQUEST_KINDS
} sk_request_kind_t;

/** One request of a caller, with an id of its own, and its result. */
typedef struct sk_request
{
  char id[SK_ID_MAX];
  sk_request_kind_t kind;
  unsigned host;
  unsigned key;
  unsigned generation;   /**< of the key that was sent */
  int key_revoked;       /**< the key had been revoked before */
  int key_revoked_since; /**< the key was revoked before the response came */
  el_time_t key_changed_at; /**< when the store accepted the key's last change;
                                 0: never or unknown */
  uint64_t host_starts;     /**< starts of the host process before sending */
  int host_restarted;       /**< the host was restarted before the response
                                 came; either process may have accepted it */
  el_time_t sent;
  el_time_t done;
  long status;             /**< 0: none */
  int complete;            /**< the response was received to its end */
  int has_seal;            /**< the response bears an endpoint's seal */
  int has_own_id;          /**< the response bears this request's id */
  unsigned resumed_after;  /**< number of the last event received before */
  unsigned last_event;     /**< number of the last event received */
  int crashes_endpoints;   /**< it does, or a part of its prompt */
  int leaves;              /**< its caller leaves while it runs */
  int refused_as_crashing; /**< the response says that it does */
  int out_of_order;        /**< an event was missing, repeated or foreign */
} sk_request_t;

/** All requests of a run; entries are added under the lock. */
typedef struct sk_requests
{
  pthread_mutex_t lock;
  sk_request_t *list;
  size_t len;
} sk_requests_t;

/* The processes. */

typedef struct sk_proc
{
  pid_t pid; /**< 0 while it is not running */
  char address[SK_ADDRESS_MAX];
  uint64_t starts;
  int paused;
  int stopping;            /**< a signal that ends it was sent */
  el_time_t restart_at;    /**< 0: no restart is due */
  char id[64];             /**< of an endpoint's entry in the store */
  el_time_t deregister_at; /**< when that entry is deleted; 0: not due */
} sk_proc_t;

/** What a host listens for; the value is the last digit of the port. */
typedef enum sk_port
{
  SK_PORT_LISTEN,    /**< callers and operators */
  SK_PORT_PEERS,     /**< other hosts */
  SK_PORT_ENTRY,     /**< relayed requests */
  SK_PORT_READY,     /**< readiness checks */
  SK_PORT_DIRECTORY, /**< lookups of the hosts that callers may use */
  SK_PORTS
} sk_port_t;

/** What crashes endpoints. */
typedef enum sk_crash
{
  SK_CRASH_NONE,
  SK_CRASH_PARTS,  /**< a part of prompts crashes engines */
  SK_CRASH_REQUEST /**< one request crashes all workers */
} sk_crash_t;

/** The processes under test and the links between them. */
typedef struct sk_cluster
{
  char dir[256]; /**< logs and the record of the endpoints */
  const char *bin;
  sk_crash_t crash; /**< what callers send that crashes endpoints */
  unsigned subnet;  /**< selects the loopback addresses of this run */
  sk_proxy_t *proxy;
  sk_proc_t store;
  sk_proc_t hosts[SK_HOSTS];
  sk_proc_t endpoints[SK_ENDPOINTS];
  int config_version;
  unsigned key_generations[SK_KEYS];  /**< the generations that are valid */
  el_time_t keys_revoked_at[SK_KEYS]; /**< when the store accepted the
                                           revocation of the generation before;
                                           0: never or unknown */
} sk_cluster_t;

void sk_proc_start (const sk_cluster_t *cluster, sk_proc_t *proc,
                    const char *log, const char **args);
void sk_proc_signal (sk_proc_t *proc, int number);
void sk_proc_kill (sk_proc_t *proc);
void sk_proc_pause (sk_proc_t *proc, int on);
void sk_proc_reap (sk_proc_t *proc, const char *what, unsigned i);

void sk_cluster_start (sk_cluster_t *cluster, const char *bin, const char *dir,
                       sk_crash_t crash);
void sk_cluster_tick (sk_cluster_t *cluster, el_time_t now);
void sk_cluster_clear_faults (sk_cluster_t *cluster);
void sk_cluster_stop (sk_cluster_t *cluster);
void sk_host_address (const sk_cluster_t *cluster, unsigned host,
                      sk_port_t port, char *out);

void sk_fault_begin (sk_cluster_t *cluster, sk_fault_t *fault);
void sk_fault_end (sk_cluster_t *cluster, sk_fault_t *fault);

/* The operator. */

int sk_config_write (sk_cluster_t *cluster);
void sk_key_revoke (sk_cluster_t *cluster, unsigned key);
void sk_key_text (unsigned key, unsigned generation, char *out, size_t size);

/* The clock and single HTTP requests. */

el_time_t sk_now (void);
void sk_poll_pause (void);

/** Send one HTTP request. Returns the status, or 0 without a response. BODY
   may be NULL. OUT receives the body and is freed by the caller; it may be
   NULL. */
long sk_http (const char *method, const char *address, const char *path,
              const char *body, el_buf_t *out);
int sk_http_wait (const char *address, const char *path, el_buf_t *out);

/* Callers, each in its own thread. */

typedef struct sk_callers sk_callers_t;

sk_callers_t *sk_callers_start (sk_cluster_t *cluster, sk_requests_t *requests,
                                unsigned threads, uint64_t seed);
void sk_callers_stop (sk_callers_t *callers);
int sk_caller_probe (sk_cluster_t *cluster, sk_requests_t *requests,
                     unsigned host, sk_request_kind_t kind);

/* The invariants. */

size_t sk_check_invariants (const sk_cluster_t *cluster,
                            const sk_requests_t *requests,
                            const sk_fault_t *faults, size_t nfaults,
                            el_time_t traffic_start);
void sk_limits_check (const sk_cluster_t *cluster,
                      const sk_requests_t *requests, const sk_fault_t *faults,
                      size_t nfaults, el_time_t traffic_start);
void sk_crashes_check (const sk_cluster_t *cluster,
                       const sk_requests_t *requests, const sk_fault_t *faults,
                       size_t nfaults, el_time_t traffic_start);
int sk_request_crashed (const sk_cluster_t *cluster,
                        const sk_requests_t *requests, el_time_t from,
                        el_time_t to);
int sk_fault_excuses (const sk_fault_t *fault, unsigned host,
                      unsigned endpoint);
int sk_host_restarted_during (const sk_requests_t *requests, const char *id);
unsigned sk_endpoint_number (const char *id);
/* tests/known_red.c */
int test_wanted (const char *name);

void sk_violation (const char *invariant, const char *id, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
