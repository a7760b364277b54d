/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The configuration in effect on one host. The revision of a resource only
 * ever increases; the revision of a removal is kept, so that a delayed message
 * from the platform or another host can't bring the resource back.
 */
#include <inttypes.h>
#include <stdio.h>

#include "coord.h"
#include "map.h"

#define CFG_KEY_MAX (CO_NAME_MAX + 4)

typedef struct cfg_entry
{
  char key[CFG_KEY_MAX]; /* digit of the kind, '/', name */
  uint64_t revision;
  co_resource_t *resource; /* NULL once removed */
  UT_hash_handle hh;
} cfg_entry_t;

struct co_config
{
  co_config_options_t options;
  cfg_entry_t *entries;
  uint64_t revision;
  size_t count;
};

co_config_t *
co_config_new (const co_config_options_t *options)
{
  co_config_t *config = el_alloc (sizeof *config);

  config->options = *options;
  return config;
}

void
co_config_free (co_config_t *config)
{
  cfg_entry_t *entry;
  cfg_entry_t *next;

  HASH_ITER (hh, config->entries, entry, next)
  {
    HASH_DEL (config->entries, entry);
    co_resource_free (entry->resource);
    free (entry);
  }
  free (config);
}

static void
entry_key (char *out, co_kind_t kind, el_str_t name)
{
  snprintf (out, CFG_KEY_MAX, "%d/%.*s", (int)kind, (int)name.len, name.ptr);
}

static cfg_entry_t *
entry_find (const co_config_t *config, co_kind_t kind, el_str_t name)
{
  char key[CFG_KEY_MAX];
  cfg_entry_t *entry;

  entry_key (key, kind, name);
  HASH_FIND_STR (config->entries, key, entry);
  return entry;
}

/* Put RESOURCE, or NULL for a removal, into effect at REVISION. */
static el_status_t
entry_change (co_config_t *config, co_kind_t kind, el_str_t name,
              uint64_t revision, co_resource_t *resource, el_err_t *err)
{
  cfg_entry_t *entry = entry_find (config, kind, name);
  co_resource_t *prev;

  if (entry && revision <= entry->revision)
    return el_err_set (
        err, EL_CONFLICT, "%s/%.*s: revision %" PRIu64 " is in force",
        co_kind_name (kind), (int)name.len, name.ptr, entry->revision);
  if (!entry)
    {
      entry = el_alloc (sizeof *entry);
      entry_key (entry->key, kind, name);
      HASH_ADD_STR (config->entries, key, entry);
    }
  prev = entry->resource;
  entry->resource = resource;
  entry->revision = revision;
  config->count += (resource != NULL) - (size_t)(prev != NULL);
  if (prev || resource)
    config->options.changed (config->options.arg, prev, resource);
  co_resource_free (prev);
  return EL_OK;
}

/** Put RESOURCE into effect. Takes ownership of it, also on failure
    (EL_CONFLICT: the same or a higher revision is in effect). */
el_status_t
co_config_apply (co_config_t *config, co_resource_t *resource, el_err_t *err)
{
  el_status_t status = entry_change (config, resource->kind, resource->name,
                                     resource->revision, resource, err);

  if (status)
    co_resource_free (resource);
  return status;
}

/** Remove a resource at REVISION. */
el_status_t
co_config_remove (co_config_t *config, co_kind_t kind, el_str_t name,
                  uint64_t revision, el_err_t *err)
{
  return entry_change (config, kind, name, revision, NULL, err);
}

/** Return the resource in effect, or NULL. */
const co_resource_t *
co_config_get (const co_config_t *config, co_kind_t kind, el_str_t name)
{
  cfg_entry_t *entry = entry_find (config, kind, name);

  return entry ? entry->resource : NULL;
}

/** Return the revision up to which all changes were seen here. Only
    co_config_advance moves it: a host learns of a change of its own before it
    learns of earlier changes made by others. */
uint64_t
co_config_revision (const co_config_t *config)
{
  return config->revision;
}

/** Record that all changes up to REVISION were seen; a lower REVISION is
    ignored. */
void
co_config_advance (co_config_t *config, uint64_t revision)
{
  if (revision > config->revision)
    config->revision = revision;
}

size_t
co_config_count (const co_config_t *config)
{
  return config->count;
}

void
co_config_visit (const co_config_t *config, co_config_visit_cb visit,
                 void *arg)
{
  cfg_entry_t *entry;
  cfg_entry_t *next;

  HASH_ITER (hh, config->entries, entry, next)
  if (entry->resource)
    visit (arg, entry->resource);
}

/** Visit all changes after REVISION, to pass them on to another host. */
void
co_config_visit_since (const co_config_t *config, uint64_t revision,
                       co_config_change_cb visit, void *arg)
{
  cfg_entry_t *entry;
  cfg_entry_t *next;

  HASH_ITER (hh, config->entries, entry, next)
  if (entry->revision > revision)
    visit (arg, (co_kind_t)(entry->key[0] - '0'), el_str (entry->key + 2),
           entry->revision, entry->resource);
}
