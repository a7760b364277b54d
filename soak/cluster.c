/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Starts, supervises and stops the processes of a run, and assigns their
 * addresses.
 */
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <jansson.h>

#include "soak.h"

/* Hosts that each host is given as peers when it starts. */
#define SEED_HOSTS 3
/* Time that a host has to exit after SIGTERM. */
#define HOST_STOP_TIMEOUT (12 * EL_SEC)

static void
address_format (const sk_cluster_t *cluster, unsigned last, char *out)
{
  snprintf (out, SK_ADDRESS_MAX, "127.%u.%u.%u:7000",
            200 + (cluster->subnet >> 8) % 50, cluster->subnet & 0xff, last);
}

/* Last octets of the addresses of the store, the endpoints, the links to them,
   the hosts, and the links from hosts to the store. */
#define OCTET_STORE 1
#define OCTET_ENDPOINT 10
#define OCTET_ENDPOINT_LINK 40
#define OCTET_HOST 70
#define OCTET_STORE_LINK 90

static void
link_address (const sk_cluster_t *cluster, unsigned link, char *out)
{
  address_format (cluster,
                  link < SK_HOSTS ? OCTET_STORE_LINK + link
                                  : OCTET_ENDPOINT_LINK + link - SK_HOSTS,
                  out);
}

/** The address at which a host listens for what PORT names. */
void
sk_host_address (const sk_cluster_t *cluster, unsigned host, sk_port_t port,
                 char *out)
{
  snprintf (out, SK_ADDRESS_MAX, "%s", cluster->hosts[host].address);
  out[strlen (out) - 1] = (char)('0' + port);
}

static const char *
hall_name (unsigned i)
{
  return i % SK_HALLS ? "hall-b" : "hall-a";
}

static void
endpoint_start (sk_cluster_t *cluster, unsigned i)
{
  sk_proc_t *proc = &cluster->endpoints[i];
  int engine = i < SK_ENGINES;
  char name[16];
  char link[SK_ADDRESS_MAX];
  char record[300];
  const char *args[] = { "standin",
                         "--role",
                         "member",
                         "--listen",
                         proc->address,
                         "--store",
                         cluster->store.address,
                         "--name",
                         name,
                         "--service",
                         engine ? "llm" : "app",
                         "--hall",
                         hall_name (i),
                         "--card",
                         engine ? "half" : "",
                         "--step-us",
                         "10000",
                         "--record",
                         record,
                         "--announce",
                         link,
                         NULL };
  const size_t nargs = sizeof args / sizeof *args;

  snprintf (name, sizeof name, "m%u", i);
  snprintf (record, sizeof record, "%s/runs", cluster->dir);
  link_address (cluster, SK_HOSTS + i, link);
  /* The proxy accepts connections to a worker that has crashed. */
  if (cluster->crash == SK_CRASH_REQUEST && !engine)
    args[nargs - 3] = NULL;
  sk_proc_start (cluster, proc, name, args);
}

/* Read the id under which an endpoint has registered itself in the store. */
static void
endpoint_id_read (sk_proc_t *proc)
{
  el_buf_t body = { NULL, 0, 0 };
  json_t *json;

  if (sk_http_wait (proc->address, "/runs", &body))
    {
      json = json_loadb (body.ptr, body.len, 0, NULL);
      snprintf (proc->id, sizeof proc->id, "%s",
                json_string_value (json_object_get (json, "id")));
      json_decref (json);
    }
  el_buf_free (&body);
}

static void
host_start (sk_cluster_t *cluster, unsigned i)
{
  char name[16];
  char keys_max_age_ms[24];
  char addresses[SK_PORTS][SK_ADDRESS_MAX];
  char store[SK_ADDRESS_MAX];
  char peers[SK_HOSTS * SK_ADDRESS_MAX] = "";
  const char *args[] = { "elmarchd",
                         "--listen",
                         addresses[SK_PORT_LISTEN],
                         "--peer-listen",
                         addresses[SK_PORT_PEERS],
                         "--entry",
                         addresses[SK_PORT_ENTRY],
                         "--ready",
                         addresses[SK_PORT_READY],
                         "--directory",
                         addresses[SK_PORT_DIRECTORY],
                         "--peers",
                         peers,
                         "--hall",
                         hall_name (i),
                         "--name",
                         name,
                         "--store",
                         store,
                         "--cluster-key",
                         "the-soak's-cluster-key",
                         "--operator-key",
                         "the-soak's-operator-key",
                         "--repeat-ratio",
                         "10",
                         "--repeat-slack",
                         "1000",
                         "--keys-limit-ms",
                         keys_max_age_ms,
                         NULL };
  unsigned k;

  for (k = 0; k < SK_PORTS; k++)
    sk_host_address (cluster, i, (sk_port_t)k, addresses[k]);
  for (k = 0; k < SK_HOSTS && k < SEED_HOSTS; k++)
    {
      char peer[SK_ADDRESS_MAX];

      sk_host_address (cluster, k, SK_PORT_PEERS, peer);
      strcat (strcat (peers, peer), ",");
    }
  snprintf (name, sizeof name, "h%u", i);
  snprintf (keys_max_age_ms, sizeof keys_max_age_ms, "%" PRIu64,
            SK_KEYS_MAX_AGE / EL_MSEC);
  link_address (cluster, i, store);
  sk_proc_start (cluster, &cluster->hosts[i], name, args);
}

static void
store_start (sk_cluster_t *cluster)
{
  const char *args[]
      = { "standin", "--role", "store", "--listen", cluster->store.address,
          NULL };

  sk_proc_start (cluster, &cluster->store, "store", args);
  sk_http_wait (cluster->store.address, "/elmarch/kv-range?PathPrefix=none",
                NULL);
}

/** Start all processes and wait until all hosts are ready. */
void
sk_cluster_start (sk_cluster_t *cluster, const char *bin, const char *dir,
                  sk_crash_t crash)
{
  char link[SK_ADDRESS_MAX];
  char ready[SK_ADDRESS_MAX];
  unsigned i;

  memset (cluster, 0, sizeof *cluster);
  cluster->bin = bin;
  cluster->crash = crash;
  snprintf (cluster->dir, sizeof cluster->dir, "%s", dir);
  cluster->subnet = (unsigned)getpid ();
  address_format (cluster, OCTET_STORE, cluster->store.address);
  for (i = 0; i < SK_ENDPOINTS; i++)
    address_format (cluster, OCTET_ENDPOINT + i,
                    cluster->endpoints[i].address);
  for (i = 0; i < SK_HOSTS; i++)
    address_format (cluster, OCTET_HOST + i, cluster->hosts[i].address);
  cluster->proxy = sk_proxy_new ();
  for (i = 0; i < SK_LINKS; i++)
    {
      link_address (cluster, i, link);
      sk_proxy_add (cluster->proxy, i, link,
                    i < SK_HOSTS ? cluster->store.address
                                 : cluster->endpoints[i - SK_HOSTS].address);
    }
  sk_proxy_start (cluster->proxy);
  store_start (cluster);
  sk_config_write (cluster);
  for (i = 0; i < SK_ENDPOINTS; i++)
    {
      endpoint_start (cluster, i);
      endpoint_id_read (&cluster->endpoints[i]);
    }
  for (i = 0; i < SK_HOSTS; i++)
    host_start (cluster, i);
  for (i = 0; i < SK_HOSTS; i++)
    {
      sk_host_address (cluster, i, SK_PORT_READY, ready);
      if (!sk_http_wait (ready, "/elmarch/ready", NULL))
        sk_violation ("start", "-", "host %u is not ready", i);
    }
}

static void
endpoint_deregister (sk_cluster_t *cluster, sk_proc_t *proc)
{
  char path[128];

  snprintf (path, sizeof path, "/test/servers/%s", proc->id);
  proc->deregister_at = 0;
  if (proc->id[0]
      && sk_http ("DELETE", cluster->store.address, path, NULL, NULL) != 200)
    proc->deregister_at = sk_now () + EL_SEC; /* the store is paused: retry */
}

/* An endpoint that crashed is restarted like one that was killed. */
static void
endpoint_reap (sk_proc_t *endpoint)
{
  if (!endpoint->pid
      || waitpid (endpoint->pid, NULL, WNOHANG) != endpoint->pid)
    return;
  endpoint->pid = 0;
  endpoint->deregister_at = sk_now () + SK_ENTRY_EXPIRY;
  endpoint->restart_at = endpoint->deregister_at + EL_MSEC;
}

/** Restart processes and delete entries of endpoints when due, and check for
    hosts that have exited. */
void
sk_cluster_tick (sk_cluster_t *cluster, el_time_t now)
{
  unsigned i;

  for (i = 0; i < SK_HOSTS; i++)
    {
      sk_proc_t *host = &cluster->hosts[i];

      sk_proc_reap (host, "host", i);
      if (!host->pid && host->restart_at && now >= host->restart_at)
        host_start (cluster, i);
    }
  for (i = 0; i < SK_ENDPOINTS; i++)
    {
      sk_proc_t *endpoint = &cluster->endpoints[i];

      if (cluster->crash)
        endpoint_reap (endpoint);
      if (endpoint->deregister_at && now >= endpoint->deregister_at)
        endpoint_deregister (cluster, endpoint);
      if (!endpoint->pid && endpoint->restart_at && now >= endpoint->restart_at
          && !endpoint->deregister_at && !cluster->store.paused)
        {
          endpoint_start (cluster, i);
          endpoint_id_read (endpoint);
        }
    }
}

/** End all faults: resume paused processes and release all links. */
void
sk_cluster_clear_faults (sk_cluster_t *cluster)
{
  unsigned i;

  sk_proc_pause (&cluster->store, 0);
  for (i = 0; i < SK_HOSTS; i++)
    sk_proc_pause (&cluster->hosts[i], 0);
  for (i = 0; i < SK_ENDPOINTS; i++)
    sk_proc_pause (&cluster->endpoints[i], 0);
  for (i = 0; i < SK_LINKS; i++)
    {
      sk_proxy_delay (cluster->proxy, i, 0);
      sk_proxy_hold (cluster->proxy, i, SK_UPSTREAM, 0);
      sk_proxy_hold (cluster->proxy, i, SK_DOWNSTREAM, 0);
    }
}

/* Stop a host with SIGTERM. It must exit in time and with status 0, which with
   the leak sanitizer also means without a leak. */
static void
host_stop (sk_proc_t *host, unsigned i)
{
  el_time_t until = sk_now () + HOST_STOP_TIMEOUT;

  sk_proc_signal (host, SIGTERM);
  host->stopping = 1;
  while (host->pid && sk_now () < until)
    {
      sk_proc_reap (host, "host", i);
      sk_poll_pause ();
    }
  if (host->pid)
    sk_violation ("exit", "-", "host %u did not exit after SIGTERM", i);
  sk_proc_kill (host);
}

/** Stop all processes and the proxy. */
void
sk_cluster_stop (sk_cluster_t *cluster)
{
  unsigned i;

  for (i = 0; i < SK_HOSTS; i++)
    host_stop (&cluster->hosts[i], i);
  for (i = 0; i < SK_ENDPOINTS; i++)
    sk_proc_kill (&cluster->endpoints[i]);
  sk_proc_kill (&cluster->store);
  sk_proxy_free (cluster->proxy);
}
