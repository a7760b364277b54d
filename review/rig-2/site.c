/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * What the cases have in common: entries of workers in the store, and hosts
 * of a small deployment.
 */
#include <stdio.h>
#include <string.h>

#include "rig.h"

#define PORT_STORE 7000
#define FIRST_STORE_OCTET 90

/** Write the entry of a worker. LAYERS is a field, or empty. */
void
rg_entry_put (rg_store_t *store, const rg_entry_t *entry)
{
  char key[RG_ID_MAX + 16];
  char value[768];

  snprintf (key, sizeof key, "servers/%s", entry->id);
  snprintf (value, sizeof value,
            "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"%s\","
            "\"Version\":\"v1\",\"Slots\":64,\"State\":\"%s\","
            "\"ColdRemainingMs\":%u,\"SeqNo\":1%s}",
            entry->service, entry->address, entry->hall,
            entry->leaving ? "draining" : "ready", entry->cold_ms,
            entry->more ? entry->more : "");
  rg_store_put (store, key, value);
}

/** Start one host in each of HALLS and wait until all are ready. */
void
rg_site_start (rg_host_t *hosts, const char *const *halls, unsigned n,
               rg_store_t *store)
{
  char seeds[RG_HOSTS_MAX * RG_ADDRESS_MAX] = "";
  char address[RG_ADDRESS_MAX];
  unsigned i;

  for (i = 0; i < n; i++)
    {
      rg_host_seed (address, i);
      strcat (seeds, i ? "," : "");
      strcat (seeds, address);
    }
  for (i = 0; i < n; i++)
    {
      rg_address (address, FIRST_STORE_OCTET + i, PORT_STORE);
      rg_store_link (store, i, address);
      rg_host_start (&hosts[i], i, halls[i], address, seeds);
    }
  for (i = 0; i < n; i++)
    rg_host_wait_ready (&hosts[i]);
}
