/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Fault injection: what each kind of fault does to processes and links.
 */
#include <signal.h>
#include <stdio.h>

#include "soak.h"

/* Delay of a link in variant 0, and the increase with each further variant. */
#define LINK_DELAY_MS 20
#define LINK_DELAY_STEP_MS 60
/* Time from a rollback until the lost writes are repeated, likewise. */
#define REWRITE_DELAY_MS 100
#define REWRITE_DELAY_STEP_MS 500

static void
host_term (sk_cluster_t *cluster, sk_fault_t *fault)
{
  sk_proc_t *host = &cluster->hosts[fault->target];

  if (!host->stopping)
    sk_proc_signal (host, SIGTERM);
  host->stopping = 1;
}

static void
host_kill_for (sk_cluster_t *cluster, unsigned i, el_time_t duration)
{
  sk_proc_t *host = &cluster->hosts[i];

  sk_proc_kill (host);
  if (!host->restart_at)
    host->restart_at = sk_now () + duration;
}

static void
host_kill (sk_cluster_t *cluster, sk_fault_t *fault)
{
  host_kill_for (cluster, fault->target, fault->duration);
}

static void
hosts_kill (sk_cluster_t *cluster, sk_fault_t *fault)
{
  unsigned i;

  for (i = 0; i < SK_HOSTS; i++)
    host_kill_for (cluster, i, fault->duration);
}

static void
host_pause (sk_cluster_t *cluster, sk_fault_t *fault)
{
  sk_proc_pause (&cluster->hosts[fault->target], 1);
}

static void
host_resume (sk_cluster_t *cluster, sk_fault_t *fault)
{
  sk_proc_pause (&cluster->hosts[fault->target], 0);
}

static void
endpoint_kill_for (sk_proc_t *endpoint, el_time_t duration)
{
  if (!endpoint->pid)
    return;
  sk_proc_kill (endpoint);
  endpoint->deregister_at = sk_now () + SK_ENTRY_EXPIRY;
  endpoint->restart_at
      = sk_now ()
        + (duration > SK_ENTRY_EXPIRY ? duration : SK_ENTRY_EXPIRY + EL_MSEC);
}

static void
endpoint_kill (sk_cluster_t *cluster, sk_fault_t *fault)
{
  endpoint_kill_for (&cluster->endpoints[fault->target], fault->duration);
}

static void
endpoint_pause (sk_cluster_t *cluster, sk_fault_t *fault)
{
  sk_proc_pause (&cluster->endpoints[fault->target], 1);
}

static void
endpoint_resume (sk_cluster_t *cluster, sk_fault_t *fault)
{
  sk_proc_pause (&cluster->endpoints[fault->target], 0);
}

static void
endpoint_leave (sk_cluster_t *cluster, sk_fault_t *fault)
{
  const sk_proc_t *endpoint = &cluster->endpoints[fault->target];

  snprintf (fault->endpoint_id, sizeof fault->endpoint_id, "%s", endpoint->id);
  sk_http ("POST", endpoint->address, "/leave", "{}", NULL);
}

static void
endpoint_stop (sk_cluster_t *cluster, sk_fault_t *fault)
{
  sk_proc_t *endpoint = &cluster->endpoints[fault->target];

  endpoint_kill_for (endpoint, 0); /* also if it is paused */
}

/* How an endpoint refuses requests and which backoff it asks for, by variant.
 */
static const char *const backoffs[] = {
  "{\"kinds\":[\"requests\"],\"status\":503,\"asked\":[\"1.2\"],"
  "\"span_ms\":1200}",
  "{\"kinds\":[\"requests\"],\"status\":503,\"asked\":[\"0.6\"],"
  "\"span_ms\":600}",
  "{\"kinds\":[\"requests\",\"orders\"],\"status\":503,"
  "\"asked\":[\"2\"],\"span_ms\":2000}",
  "{\"kinds\":[\"requests\"],\"status\":503,"
  "\"asked\":[\"0.5\",\"1.5\"],\"span_ms\":1500}",
};

static void
endpoint_notice_set (const sk_cluster_t *cluster, const sk_fault_t *fault,
                     const char *what)
{
  const sk_proc_t *endpoint = &cluster->endpoints[fault->target];

  if (endpoint->pid && !endpoint->paused)
    sk_http ("POST", endpoint->address, "/rest", what, NULL);
}

static void
endpoint_backoff (sk_cluster_t *cluster, sk_fault_t *fault)
{
  endpoint_notice_set (cluster, fault, backoffs[fault->variant]);
}

static void
endpoint_backoff_end (sk_cluster_t *cluster, sk_fault_t *fault)
{
  endpoint_notice_set (cluster, fault, "{}");
}

static void
endpoint_leave_notice (sk_cluster_t *cluster, sk_fault_t *fault)
{
  endpoint_notice_set (cluster, fault, "{\"leaving\":true}");
}

/* The rate limits that endpoints name, by variant. */
static const char *const limits[]
    = { "{\"limit\":\"2\"}", "{\"limit\":\"0.5\"}", "{\"limit\":\"6.9\"}",
        "{\"limit\":\"30\"}" };

static void
endpoint_limit_set (const sk_cluster_t *cluster, const sk_fault_t *fault,
                    const char *what)
{
  const sk_proc_t *endpoint = &cluster->endpoints[fault->target];

  if (endpoint->pid && !endpoint->paused)
    sk_http ("POST", endpoint->address, "/limit", what, NULL);
}

static void
endpoint_limit (sk_cluster_t *cluster, sk_fault_t *fault)
{
  endpoint_limit_set (cluster, fault, limits[fault->variant]);
}

static void
endpoint_limit_end (sk_cluster_t *cluster, sk_fault_t *fault)
{
  endpoint_limit_set (cluster, fault, "{}");
}

/* Set the fault with which a worker responds from now on; "none" clears it. */
static void
worker_fault_set (const sk_cluster_t *cluster, const sk_fault_t *fault,
                  const char *name)
{
  char body[64];

  snprintf (body, sizeof body, "{\"fault\":\"%s\"}", name);
  sk_http ("PUT", cluster->endpoints[SK_ENGINES + fault->target].address,
           "/fault", body, NULL);
}

static void
worker_fault (sk_cluster_t *cluster, sk_fault_t *fault)
{
  static const char *const names[] = { "lose", "cross", "busy", "hang" };

  worker_fault_set (cluster, fault, names[fault->variant]);
}

static void
worker_fault_clear (sk_cluster_t *cluster, sk_fault_t *fault)
{
  worker_fault_set (cluster, fault, "none");
}

static void
store_pause (sk_cluster_t *cluster, sk_fault_t *fault)
{
  (void)fault;
  sk_proc_pause (&cluster->store, 1);
}

static void
store_resume (sk_cluster_t *cluster, sk_fault_t *fault)
{
  (void)fault;
  sk_proc_pause (&cluster->store, 0);
}

static void
store_compact (sk_cluster_t *cluster, sk_fault_t *fault)
{
  (void)fault;
  sk_http ("POST", cluster->store.address, "/test/forget", "{}", NULL);
}

static void
store_snapshot (sk_cluster_t *cluster, sk_fault_t *fault)
{
  (void)fault;
  if (!cluster->store.paused)
    sk_http ("POST", cluster->store.address, "/test/copy", "{}", NULL);
}

/* The stand-in repeats the lost writes after a time that depends on the
   variant. */
static void
store_rollback (sk_cluster_t *cluster, sk_fault_t *fault)
{
  char body[64];

  snprintf (body, sizeof body, "{\"again_ms\":%u}",
            REWRITE_DELAY_MS + REWRITE_DELAY_STEP_MS * fault->variant);
  if (!cluster->store.paused)
    sk_http ("POST", cluster->store.address, "/test/restore", body, NULL);
}

static void
link_delay (sk_cluster_t *cluster, sk_fault_t *fault)
{
  sk_proxy_delay (cluster->proxy, fault->target,
                  LINK_DELAY_MS + LINK_DELAY_STEP_MS * fault->variant);
}

static void
link_delay_end (sk_cluster_t *cluster, sk_fault_t *fault)
{
  sk_proxy_delay (cluster->proxy, fault->target, 0);
}

static void
link_reset (sk_cluster_t *cluster, sk_fault_t *fault)
{
  sk_proxy_reset (cluster->proxy, fault->target);
}

static void
link_partition_one_way (sk_cluster_t *cluster, sk_fault_t *fault)
{
  sk_proxy_hold (cluster->proxy, fault->target,
                 fault->variant % 2 ? SK_UPSTREAM : SK_DOWNSTREAM, 1);
}

static void
link_partition (sk_cluster_t *cluster, sk_fault_t *fault)
{
  sk_proxy_hold (cluster->proxy, fault->target, SK_UPSTREAM, 1);
  sk_proxy_hold (cluster->proxy, fault->target, SK_DOWNSTREAM, 1);
}

static void
link_heal (sk_cluster_t *cluster, sk_fault_t *fault)
{
  sk_proxy_hold (cluster->proxy, fault->target, SK_UPSTREAM, 0);
  sk_proxy_hold (cluster->proxy, fault->target, SK_DOWNSTREAM, 0);
}

static void
config_write (sk_cluster_t *cluster, sk_fault_t *fault)
{
  (void)fault;
  if (!cluster->store.paused)
    sk_config_write (cluster);
}

static void
key_revoke (sk_cluster_t *cluster, sk_fault_t *fault)
{
  if (!cluster->store.paused)
    sk_key_revoke (cluster, fault->target);
}

/* Actions at the start and at the end of each kind; NULL: none. */
static const struct
{
  void (*begin) (sk_cluster_t *cluster, sk_fault_t *fault);
  void (*end) (sk_cluster_t *cluster, sk_fault_t *fault);
} handlers[SK_FAULT_KINDS] = {
  [SK_HOST_TERM] = { host_term, NULL },
  [SK_HOST_KILL] = { host_kill, NULL },
  [SK_HOST_PAUSE] = { host_pause, host_resume },
  [SK_HOSTS_KILL] = { hosts_kill, NULL },
  [SK_ENDPOINT_KILL] = { endpoint_kill, NULL },
  [SK_ENDPOINT_PAUSE] = { endpoint_pause, endpoint_resume },
  [SK_ENDPOINT_LEAVE] = { endpoint_leave, endpoint_stop },
  [SK_WORKER_FAULT] = { worker_fault, worker_fault_clear },
  [SK_STORE_PAUSE] = { store_pause, store_resume },
  [SK_STORE_COMPACT] = { store_compact, NULL },
  [SK_LINK_DELAY] = { link_delay, link_delay_end },
  [SK_LINK_RESET] = { link_reset, NULL },
  [SK_LINK_PARTITION_ONE_WAY] = { link_partition_one_way, link_heal },
  [SK_LINK_PARTITION] = { link_partition, link_heal },
  [SK_CONFIG_WRITE] = { config_write, NULL },
  [SK_KEY_REVOKE] = { key_revoke, NULL },
  [SK_ENDPOINT_BACKOFF] = { endpoint_backoff, endpoint_backoff_end },
  [SK_ENDPOINT_LEAVE_NOTICE] = { endpoint_leave_notice, endpoint_stop },
  [SK_STORE_ROLLBACK] = { store_snapshot, store_rollback },
  [SK_ENDPOINT_LIMIT] = { endpoint_limit, endpoint_limit_end },
};

/** Start FAULT. */
void
sk_fault_begin (sk_cluster_t *cluster, sk_fault_t *fault)
{
  fault->started = 1;
  handlers[fault->kind].begin (cluster, fault);
}

/** End FAULT. */
void
sk_fault_end (sk_cluster_t *cluster, sk_fault_t *fault)
{
  fault->ended = 1;
  if (handlers[fault->kind].end)
    handlers[fault->kind].end (cluster, fault);
}
