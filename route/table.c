/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The router's tables of endpoints, pipelines, deployments, services and
 * customers, updated with each configuration change.
 */
#include <string.h>

#include "librt.h"

#define BUDGET_INITIAL_TENTHS 100

static void apply_deployment (rt_router_t *, const co_resource_t *,
                              const co_resource_t *);
static void apply_pipeline (rt_router_t *, const co_resource_t *,
                            const co_resource_t *);
static void apply_customer (rt_router_t *, const co_resource_t *,
                            const co_resource_t *);
static void apply_endpoint (rt_router_t *, const co_resource_t *,
                            const co_resource_t *);
static void apply_service (rt_router_t *, const co_resource_t *,
                           const co_resource_t *);

typedef void (*apply_fn) (rt_router_t *router, const co_resource_t *prev,
                          const co_resource_t *next);

static const apply_fn apply_by_kind[CO_KIND_COUNT] = {
  [CO_DEPLOYMENT] = apply_deployment, [CO_PIPELINE] = apply_pipeline,
  [CO_CUSTOMER] = apply_customer,     [CO_ENDPOINT] = apply_endpoint,
  [CO_SERVICE] = apply_service,
};

/* Look up a counted string in a table whose keys are C strings. */
#define TABLE_FIND(table, name, out)                                          \
  HASH_FIND (hh, (table), (name).ptr, (unsigned)(name).len, (out))
#define TABLE_ADD(table, item)                                                \
  HASH_ADD_KEYPTR (hh, (table), (item)->key, (unsigned)strlen ((item)->key),  \
                   (item))

static char *
key_dup (el_str_t name)
{
  return (char *)(uintptr_t)el_str_dup (name).ptr;
}

static void
str_replace (el_str_t *dst, el_str_t src)
{
  el_str_t copy = el_str_dup (src);

  el_str_free (dst);
  *dst = copy;
}

/** Apply a configuration change: NEXT replaces PREV. PREV is NULL if the
    resource is new, NEXT is NULL if it is removed. */
void
rt_router_apply_config (rt_router_t *router, const co_resource_t *prev,
                        const co_resource_t *next)
{
  apply_by_kind[next ? next->kind : prev->kind](router, prev, next);
}

rt_endpoint_t *
rt_endpoint_find (const rt_router_t *router, el_str_t name)
{
  rt_endpoint_t *ep;

  TABLE_FIND (router->endpoints, name, ep);
  return ep;
}

rt_service_entry_t *
rt_service_find (const rt_router_t *router, el_str_t name)
{
  rt_service_entry_t *service;

  TABLE_FIND (router->services, name, service);
  return service;
}

rt_customer_t *
rt_customer_find (const rt_router_t *router, el_str_t name)
{
  rt_customer_t *customer;

  TABLE_FIND (router->customers, name, customer);
  return customer;
}

rt_pipeline_t *
rt_pipeline_find (const rt_router_t *router, el_str_t name)
{
  rt_pipeline_t *pipe;

  TABLE_FIND (router->pipelines, name, pipe);
  return pipe;
}

/* Rebuild the list of the deployment's pipelines. */
static void
deployment_link_pipelines (rt_router_t *router, rt_deployment_t *dep)
{
  rt_pipeline_t *pipe;
  rt_pipeline_t *next;

  dep->npipes = 0;
  HASH_ITER (hh, router->pipelines, pipe, next)
  {
    if (strcmp (pipe->deployment, dep->key) != 0)
      continue;
    dep->pipes
        = el_grow (dep->pipes, dep->npipes + 1, sizeof (rt_pipeline_t *));
    dep->pipes[dep->npipes++] = pipe;
  }
}

static void
deployment_relink (rt_router_t *router, el_str_t name)
{
  rt_deployment_t *dep;

  TABLE_FIND (router->deployments, name, dep);
  if (dep)
    deployment_link_pipelines (router, dep);
}

static void
deployment_free (rt_deployment_t *dep)
{
  el_str_free (&dep->model);
  free (dep->pipes);
  free (dep->key);
  free (dep);
}

static void
apply_deployment (rt_router_t *router, const co_resource_t *prev,
                  const co_resource_t *next)
{
  el_str_t name = next ? next->name : prev->name;
  rt_deployment_t *dep;

  TABLE_FIND (router->deployments, name, dep);
  if (!next)
    {
      HASH_DEL (router->deployments, dep);
      deployment_free (dep);
      return;
    }
  if (!dep)
    {
      dep = el_alloc (sizeof *dep);
      dep->key = key_dup (name);
      dep->budget.tenths = BUDGET_INITIAL_TENTHS;
      TABLE_ADD (router->deployments, dep);
    }
  str_replace (&dep->model, next->spec.deployment.model);
  dep->generation = next->spec.deployment.generation;
  dep->layers = next->spec.deployment.layers;
  dep->max_tokens = next->spec.deployment.max_tokens;
  deployment_link_pipelines (router, dep);
}

static void
pipeline_clear (rt_pipeline_t *pipe)
{
  size_t i;

  for (i = 0; i < pipe->nstages; i++)
    el_str_free (&pipe->stages[i].endpoint);
  free (pipe->stages);
  free (pipe->deployment);
  pipe->stages = NULL;
  pipe->deployment = NULL;
  pipe->nstages = 0;
}

static void
pipeline_copy_spec (rt_pipeline_t *pipe, const co_pipeline_t *spec)
{
  size_t i;

  pipe->deployment = key_dup (spec->deployment);
  pipe->weight = spec->weight;
  pipe->stages = el_alloc (spec->nstages * sizeof *pipe->stages);
  pipe->nstages = spec->nstages;
  for (i = 0; i < spec->nstages; i++)
    {
      pipe->stages[i] = spec->stages[i];
      pipe->stages[i].endpoint = el_str_dup (spec->stages[i].endpoint);
    }
}

static void
apply_pipeline (rt_router_t *router, const co_resource_t *prev,
                const co_resource_t *next)
{
  el_str_t name = next ? next->name : prev->name;
  rt_pipeline_t *pipe = rt_pipeline_find (router, name);

  if (next && !pipe)
    {
      pipe = el_alloc (sizeof *pipe);
      pipe->key = key_dup (name);
      TABLE_ADD (router->pipelines, pipe);
    }
  pipeline_clear (pipe);
  if (next)
    pipeline_copy_spec (pipe, &next->spec.pipeline);
  else
    {
      HASH_DEL (router->pipelines, pipe);
      free (pipe->key);
      free (pipe);
    }
  if (prev)
    deployment_relink (router, prev->spec.pipeline.deployment);
  if (next)
    deployment_relink (router, next->spec.pipeline.deployment);
}

static void
customer_free (rt_router_t *router, rt_customer_t *customer)
{
  HASH_DEL (router->customers, customer);
  el_str_free (&customer->key_hash);
  free (customer->key);
  free (customer);
}

/** A stream of the customer ended. A customer that was removed from the
    configuration is freed with its last stream. */
void
rt_customer_release (rt_router_t *router, rt_customer_t *customer)
{
  if (customer->in_flight)
    customer->in_flight--;
  if (customer->removed && customer->in_flight == 0)
    customer_free (router, customer);
}

static void
customer_unindex_key (rt_router_t *router, rt_customer_t *customer)
{
  rt_customer_t *found = NULL;

  if (!customer->key_hash.ptr)
    return;
  HASH_FIND (hh_key, router->customers_by_key, customer->key_hash.ptr,
             customer->key_hash.len, found);
  if (found == customer)
    HASH_DELETE (hh_key, router->customers_by_key, customer);
}

static void
apply_customer (rt_router_t *router, const co_resource_t *prev,
                const co_resource_t *next)
{
  el_str_t name = next ? next->name : prev->name;
  rt_customer_t *customer = rt_customer_find (router, name);
  rt_customer_t *other;

  if (customer)
    customer_unindex_key (router, customer);
  if (!next)
    {
      customer->removed = 1;
      if (customer->in_flight == 0)
        customer_free (router, customer);
      return;
    }
  if (!customer)
    {
      customer = el_alloc (sizeof *customer);
      customer->key = key_dup (name);
      TABLE_ADD (router->customers, customer);
    }
  customer->removed = 0;
  customer->priority = next->spec.customer.priority;
  customer->weight = next->spec.customer.weight;
  customer->max_in_flight = next->spec.customer.max_in_flight;
  str_replace (&customer->key_hash, next->spec.customer.key_hash);
  HASH_FIND (hh_key, router->customers_by_key, customer->key_hash.ptr,
             customer->key_hash.len, other);
  if (!other)
    HASH_ADD_KEYPTR (hh_key, router->customers_by_key, customer->key_hash.ptr,
                     customer->key_hash.len, customer);
}

/** Look up the customer whose key has this hash. Returns 0 if there is none.
 */
int
rt_router_authenticate (const rt_router_t *router, el_str_t key_hash,
                        el_str_t *customer)
{
  rt_customer_t *found;

  HASH_FIND (hh_key, router->customers_by_key, key_hash.ptr, key_hash.len,
             found);
  if (found)
    *customer = el_str (found->key);
  return found != NULL;
}

static void
endpoint_free (rt_endpoint_t *ep)
{
  el_str_free (&ep->address);
  el_str_free (&ep->hall);
  free (ep->key);
  free (ep);
}

static void
apply_endpoint (rt_router_t *router, const co_resource_t *prev,
                const co_resource_t *next)
{
  el_str_t name = next ? next->name : prev->name;
  rt_endpoint_t *ep = rt_endpoint_find (router, name);

  if (!next)
    {
      HASH_DEL (router->endpoints, ep);
      endpoint_free (ep);
      return;
    }
  if (!ep)
    {
      ep = el_alloc (sizeof *ep);
      ep->key = key_dup (name);
      TABLE_ADD (router->endpoints, ep);
    }
  if (!el_str_eq (ep->address, next->spec.endpoint.address))
    ep->avail = (rt_avail_t){ 0 };
  str_replace (&ep->address, next->spec.endpoint.address);
  str_replace (&ep->hall, next->spec.endpoint.hall);
  ep->role = (co_role_t)next->spec.endpoint.role;
  ep->capacity = next->spec.endpoint.capacity;
  ep->draining = (int)next->spec.endpoint.draining;
}

static void
service_clear (rt_service_entry_t *service)
{
  size_t i;

  for (i = 0; i < service->spec.nendpoints; i++)
    el_str_free (&service->spec.endpoints[i]);
  free (service->spec.endpoints);
  service->spec.endpoints = NULL;
  service->spec.nendpoints = 0;
}

static void
apply_service (rt_router_t *router, const co_resource_t *prev,
               const co_resource_t *next)
{
  el_str_t name = next ? next->name : prev->name;
  rt_service_entry_t *service = rt_service_find (router, name);
  size_t i;

  if (service)
    service_clear (service);
  if (!next)
    {
      HASH_DEL (router->services, service);
      free (service->key);
      free (service);
      return;
    }
  if (!service)
    {
      service = el_alloc (sizeof *service);
      service->key = key_dup (name);
      service->budget.tenths = BUDGET_INITIAL_TENTHS;
      TABLE_ADD (router->services, service);
    }
  service->spec = next->spec.service;
  service->spec.endpoints
      = el_alloc (service->spec.nendpoints * sizeof (el_str_t));
  for (i = 0; i < service->spec.nendpoints; i++)
    service->spec.endpoints[i] = el_str_dup (next->spec.service.endpoints[i]);
}

/** Returns the configured service, or NULL. */
const co_service_t *
rt_router_service (const rt_router_t *router, el_str_t name)
{
  rt_service_entry_t *service = rt_service_find (router, name);

  return service ? &service->spec : NULL;
}

/** Free all tables. All streams must have been freed. */
void
rt_tables_free (rt_router_t *router)
{
  rt_deployment_t *dep;
  rt_deployment_t *next_dep;
  rt_pipeline_t *pipe;
  rt_pipeline_t *next_pipe;
  rt_customer_t *customer;
  rt_customer_t *next_customer;
  rt_endpoint_t *ep;
  rt_endpoint_t *next_ep;
  rt_service_entry_t *service;
  rt_service_entry_t *next_service;

  HASH_ITER (hh, router->deployments, dep, next_dep)
  {
    HASH_DEL (router->deployments, dep);
    deployment_free (dep);
  }
  HASH_ITER (hh, router->pipelines, pipe, next_pipe)
  {
    HASH_DEL (router->pipelines, pipe);
    pipeline_clear (pipe);
    free (pipe->key);
    free (pipe);
  }
  HASH_CLEAR (hh_key, router->customers_by_key);
  HASH_ITER (hh, router->customers, customer, next_customer)
  customer_free (router, customer);
  HASH_ITER (hh, router->endpoints, ep, next_ep)
  {
    HASH_DEL (router->endpoints, ep);
    endpoint_free (ep);
  }
  HASH_ITER (hh, router->services, service, next_service)
  {
    HASH_DEL (router->services, service);
    service_clear (service);
    free (service->key);
    free (service);
  }
}
