/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * All processes of a run: their addresses, how they begin and how they end.
 */
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "soak.h"

/* Hosts that each host is told of at its start. */
#define SEEDS 3
/* A host that was told to end has this long. */
#define GRACE (12 * EL_SEC)

static void
address_make (const sk_world_t *world, unsigned last, char *out)
{
  snprintf (out, SK_ADDRESS_MAX, "127.%u.%u.%u:7000",
            200 + (world->net >> 8) % 50, world->net & 0xff, last);
}

/* Addresses: the store, members, their links, hosts, their links. */
#define NET_STORE 1
#define NET_MEMBER 10
#define NET_MEMBER_LINK 40
#define NET_HOST 70
#define NET_STORE_LINK 90

static void
link_address (const sk_world_t *world, unsigned link, char *out)
{
  address_make (world,
                link < SK_HOSTS ? NET_STORE_LINK + link
                                : NET_MEMBER_LINK + link - SK_HOSTS,
                out);
}

/** An address of a host: the last digit of its port tells what for. */
void
sk_host_address (const sk_world_t *world, unsigned host, sk_port_t port,
                 char *out)
{
  snprintf (out, SK_ADDRESS_MAX, "%s", world->hosts[host].address);
  out[strlen (out) - 1] = (char)('0' + port);
}

static const char *
member_hall (unsigned i)
{
  return i % SK_HALLS ? "hall-b" : "hall-a";
}

static void
member_start (sk_world_t *world, unsigned i)
{
  sk_proc_t *proc = &world->members[i];
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
                         world->store.address,
                         "--name",
                         name,
                         "--service",
                         engine ? "llm" : "app",
                         "--hall",
                         member_hall (i),
                         "--card",
                         engine ? "half" : "",
                         "--step-us",
                         "10000",
                         "--announce",
                         link,
                         "--record",
                         record,
                         NULL };

  snprintf (name, sizeof name, "m%u", i);
  snprintf (record, sizeof record, "%s/runs", world->dir);
  link_address (world, SK_HOSTS + i, link);
  sk_proc_start (world, proc, name, args);
}

/* The id under which the member has entered itself. */
static void
member_id (sk_proc_t *proc)
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
host_start (sk_world_t *world, unsigned i)
{
  char name[16];
  char keys_limit[24];
  char at[SK_PORTS][SK_ADDRESS_MAX];
  char store[SK_ADDRESS_MAX];
  char seeds[SK_HOSTS * SK_ADDRESS_MAX] = "";
  const char *args[] = { "elmarchd",
                         "--listen",
                         at[SK_PORT_LISTEN],
                         "--peer-listen",
                         at[SK_PORT_PEERS],
                         "--entry",
                         at[SK_PORT_ENTRY],
                         "--ready",
                         at[SK_PORT_READY],
                         "--directory",
                         at[SK_PORT_DIRECTORY],
                         "--peers",
                         seeds,
                         "--hall",
                         member_hall (i),
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
                         keys_limit,
                         NULL };
  unsigned k;

  for (k = 0; k < SK_PORTS; k++)
    sk_host_address (world, i, (sk_port_t)k, at[k]);
  for (k = 0; k < SK_HOSTS && k < SEEDS; k++)
    {
      char seed[SK_ADDRESS_MAX];

      sk_host_address (world, k, SK_PORT_PEERS, seed);
      strcat (strcat (seeds, seed), ",");
    }
  snprintf (name, sizeof name, "h%u", i);
  snprintf (keys_limit, sizeof keys_limit, "%" PRIu64,
            SK_KEYS_LIMIT / EL_MSEC);
  link_address (world, i, store);
  sk_proc_start (world, &world->hosts[i], name, args);
}

static void
store_start (sk_world_t *world)
{
  const char *args[] = {
    "standin", "--role", "store", "--listen", world->store.address, NULL
  };

  sk_proc_start (world, &world->store, "store", args);
  sk_http_wait (world->store.address, "/elmarch/kv-range?PathPrefix=none",
                NULL);
}

/** Start everything and wait until all hosts are ready. */
void
sk_world_open (sk_world_t *world, const char *bin, const char *dir)
{
  char link[SK_ADDRESS_MAX];
  char ready[SK_ADDRESS_MAX];
  unsigned i;

  memset (world, 0, sizeof *world);
  world->bin = bin;
  snprintf (world->dir, sizeof world->dir, "%s", dir);
  world->net = (unsigned)getpid ();
  address_make (world, NET_STORE, world->store.address);
  for (i = 0; i < SK_MEMBERS; i++)
    address_make (world, NET_MEMBER + i, world->members[i].address);
  for (i = 0; i < SK_HOSTS; i++)
    address_make (world, NET_HOST + i, world->hosts[i].address);
  world->proxy = sk_proxy_new ();
  for (i = 0; i < SK_LINKS; i++)
    {
      link_address (world, i, link);
      sk_proxy_add (world->proxy, i, link,
                    i < SK_HOSTS ? world->store.address
                                 : world->members[i - SK_HOSTS].address);
    }
  sk_proxy_start (world->proxy);
  store_start (world);
  sk_config_write (world);
  for (i = 0; i < SK_MEMBERS; i++)
    {
      member_start (world, i);
      member_id (&world->members[i]);
    }
  for (i = 0; i < SK_HOSTS; i++)
    host_start (world, i);
  for (i = 0; i < SK_HOSTS; i++)
    {
      sk_host_address (world, i, SK_PORT_READY, ready);
      if (!sk_http_wait (ready, "/elmarch/ready", NULL))
        sk_broken ("start", "-", "host %u is not ready", i);
    }
}

static void
member_gone (sk_world_t *world, sk_proc_t *proc)
{
  char path[128];

  snprintf (path, sizeof path, "/test/servers/%s", proc->id);
  proc->gone = 0;
  if (proc->id[0]
      && sk_http ("DELETE", world->store.address, path, NULL, NULL) != 200)
    proc->gone = sk_now () + EL_SEC; /* the store is paused: again */
}

/** Start again what is due, take entries away, look for processes that ended.
 */
void
sk_world_tick (sk_world_t *world, el_time_t now)
{
  unsigned i;

  for (i = 0; i < SK_HOSTS; i++)
    {
      sk_proc_t *host = &world->hosts[i];

      sk_proc_reap (host, "host", i);
      if (!host->pid && host->back && now >= host->back)
        host_start (world, i);
    }
  for (i = 0; i < SK_MEMBERS; i++)
    {
      sk_proc_t *member = &world->members[i];

      if (member->gone && now >= member->gone)
        member_gone (world, member);
      if (!member->pid && member->back && now >= member->back && !member->gone
          && !world->store.paused)
        {
          member_start (world, i);
          member_id (member);
        }
    }
}

/** End all faults: processes go on, links pass. */
void
sk_world_calm (sk_world_t *world)
{
  unsigned i;

  sk_proc_pause (&world->store, 0);
  for (i = 0; i < SK_HOSTS; i++)
    sk_proc_pause (&world->hosts[i], 0);
  for (i = 0; i < SK_MEMBERS; i++)
    sk_proc_pause (&world->members[i], 0);
  for (i = 0; i < SK_LINKS; i++)
    {
      sk_proxy_delay (world->proxy, i, 0);
      sk_proxy_hold (world->proxy, i, SK_UP, 0);
      sk_proxy_hold (world->proxy, i, SK_DOWN, 0);
    }
}

/* Stop a host as planned; it must end by itself and without a leak. */
static void
host_end (sk_proc_t *host, unsigned i)
{
  el_time_t until = sk_now () + GRACE;

  sk_proc_signal (host, SIGTERM);
  host->ending = 1;
  while (host->pid && sk_now () < until)
    {
      sk_proc_reap (host, "host", i);
      sk_wait_step ();
    }
  if (host->pid)
    sk_broken ("exit", "-", "host %u does not end", i);
  sk_proc_kill (host);
}

/** End everything that was started. */
void
sk_world_close (sk_world_t *world)
{
  unsigned i;

  for (i = 0; i < SK_HOSTS; i++)
    host_end (&world->hosts[i], i);
  for (i = 0; i < SK_MEMBERS; i++)
    sk_proc_kill (&world->members[i]);
  sk_proc_kill (&world->store);
  sk_proxy_free (world->proxy);
}
