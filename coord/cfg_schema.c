/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Parses a resource from JSON, driven by a table of fields. Error messages
 * name the field and the values that it accepts.
 */
#include <inttypes.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "coord.h"

typedef enum field_type
{
  FIELD_STR,     /* min to max bytes */
  FIELD_NAME,    /* a resource's name */
  FIELD_ADDRESS, /* ip:port */
  FIELD_HEX,     /* exactly max lower-case hexadecimal digits */
  FIELD_U64,     /* min to max */
  FIELD_BOOL,
  FIELD_ROLE,
  FIELD_STAGES,
  FIELD_NAMES,
  FIELD_TYPES
} field_type_t;

typedef struct field
{
  const char *name;
  field_type_t type;
  size_t offset; /* within co_resource_t */
  int required;
  uint64_t def;
  uint64_t min;
  uint64_t max;
} field_t;

typedef el_status_t (*field_read_fn) (const field_t *field, json_t *value,
                                      co_resource_t *res, el_err_t *err);

static el_status_t read_str (const field_t *, json_t *, co_resource_t *,
                             el_err_t *);
static el_status_t read_name (const field_t *, json_t *, co_resource_t *,
                              el_err_t *);
static el_status_t read_address (const field_t *, json_t *, co_resource_t *,
                                 el_err_t *);
static el_status_t read_hex (const field_t *, json_t *, co_resource_t *,
                             el_err_t *);
static el_status_t read_u64 (const field_t *, json_t *, co_resource_t *,
                             el_err_t *);
static el_status_t read_bool (const field_t *, json_t *, co_resource_t *,
                              el_err_t *);
static el_status_t read_role (const field_t *, json_t *, co_resource_t *,
                              el_err_t *);
static el_status_t read_stages (const field_t *, json_t *, co_resource_t *,
                                el_err_t *);
static el_status_t read_names (const field_t *, json_t *, co_resource_t *,
                               el_err_t *);

static const field_read_fn readers[FIELD_TYPES] = {
  [FIELD_STR] = read_str,         [FIELD_NAME] = read_name,
  [FIELD_ADDRESS] = read_address, [FIELD_HEX] = read_hex,
  [FIELD_U64] = read_u64,         [FIELD_BOOL] = read_bool,
  [FIELD_ROLE] = read_role,       [FIELD_STAGES] = read_stages,
  [FIELD_NAMES] = read_names,
};

#define SPEC_OFFSET(kind, field) offsetof (co_resource_t, spec.kind.field)
#define SHA256_HEX_LEN 64
#define MODEL_MAX 128
#define LAYERS_MAX 4096
#define TOKENS_MAX 131072
#define WEIGHT_MAX 1000000
#define IN_FLIGHT_MAX 1000000
#define TIMEOUT_MAX_MS 600000

static const field_t deployment_fields[] = {
  { "model", FIELD_STR, SPEC_OFFSET (deployment, model), 1, 0, 1, MODEL_MAX },
  { "generation", FIELD_U64, SPEC_OFFSET (deployment, generation), 0, 1, 1,
    UINT32_MAX },
  { "layers", FIELD_U64, SPEC_OFFSET (deployment, layers), 1, 0, 1,
    LAYERS_MAX },
  { "maxTokens", FIELD_U64, SPEC_OFFSET (deployment, max_tokens), 0, 1024, 1,
    TOKENS_MAX },
  { NULL },
};

static const field_t pipeline_fields[] = {
  { "deployment", FIELD_NAME, SPEC_OFFSET (pipeline, deployment), 1, 0, 1,
    CO_NAME_MAX },
  { "weight", FIELD_U64, SPEC_OFFSET (pipeline, weight), 0, 1, 1, WEIGHT_MAX },
  { "stages", FIELD_STAGES, SPEC_OFFSET (pipeline, stages), 1, 0, 1,
    CO_STAGES_MAX },
  { NULL },
};

static const field_t customer_fields[] = {
  { "keyHash", FIELD_HEX, SPEC_OFFSET (customer, key_hash), 1, 0,
    SHA256_HEX_LEN, SHA256_HEX_LEN },
  { "priority", FIELD_U64, SPEC_OFFSET (customer, priority), 0, 1, 0,
    CO_PRIORITIES - 1 },
  { "weight", FIELD_U64, SPEC_OFFSET (customer, weight), 0, 1, 1, WEIGHT_MAX },
  { "maxInFlight", FIELD_U64, SPEC_OFFSET (customer, max_in_flight), 0, 256, 1,
    IN_FLIGHT_MAX },
  { NULL },
};

static const field_t endpoint_fields[] = {
  { "address", FIELD_ADDRESS, SPEC_OFFSET (endpoint, address), 1, 0, 1, 64 },
  { "hall", FIELD_NAME, SPEC_OFFSET (endpoint, hall), 1, 0, 1, CO_NAME_MAX },
  { "role", FIELD_ROLE, SPEC_OFFSET (endpoint, role), 1, 0, 0, 0 },
  { "capacity", FIELD_U64, SPEC_OFFSET (endpoint, capacity), 0, 64, 1,
    WEIGHT_MAX },
  { "checksOrders", FIELD_BOOL, SPEC_OFFSET (endpoint, checks_orders), 0, 0, 0,
    1 },
  { "draining", FIELD_BOOL, SPEC_OFFSET (endpoint, draining), 0, 0, 0, 1 },
  { NULL },
};

static const field_t service_fields[] = {
  { "endpoints", FIELD_NAMES, SPEC_OFFSET (service, endpoints), 1, 0, 1,
    CO_STAGES_MAX },
  { "repeatable", FIELD_BOOL, SPEC_OFFSET (service, repeatable), 0, 0, 0, 1 },
  { "timeoutMs", FIELD_U64, SPEC_OFFSET (service, timeout_ms), 0, 30000, 1,
    TIMEOUT_MAX_MS },
  { NULL },
};

static const struct
{
  const char *name;
  const field_t *fields;
} kinds[CO_KIND_COUNT] = {
  [CO_DEPLOYMENT] = { "deployments", deployment_fields },
  [CO_PIPELINE] = { "pipelines", pipeline_fields },
  [CO_CUSTOMER] = { "customers", customer_fields },
  [CO_ENDPOINT] = { "endpoints", endpoint_fields },
  [CO_SERVICE] = { "services", service_fields },
};

static const char *const role_names[] = {
  [CO_ENGINE] = "engine",
  [CO_WORKER] = "worker",
};

/** Return the kind's name as used in paths, in the plural. */
const char *
co_kind_name (co_kind_t kind)
{
  return kinds[kind].name;
}

int
co_kind_parse (el_str_t name, co_kind_t *out)
{
  size_t i;

  for (i = 0; i < CO_KIND_COUNT; i++)
    if (el_str_eq (name, el_str (kinds[i].name)))
      {
        *out = (co_kind_t)i;
        return 1;
      }
  return 0;
}

/** Names are 1 to CO_NAME_MAX characters of a-z, 0-9, '-' and '.', so that
    they need no escaping in a path, a token or a log line. */
int
co_name_valid (el_str_t name)
{
  size_t i;
  char c;

  if (name.len == 0 || name.len > CO_NAME_MAX)
    return 0;
  for (i = 0; i < name.len; i++)
    {
      c = name.ptr[i];
      if (!(c >= 'a' && c <= 'z') && !(c >= '0' && c <= '9') && c != '-'
          && c != '.')
        return 0;
    }
  return 1;
}

static void *
field_at (const field_t *field, co_resource_t *res)
{
  return (char *)res + field->offset;
}

static el_str_t
json_str (const json_t *value)
{
  return (el_str_t){ json_string_value (value), json_string_length (value) };
}

static el_status_t
read_str (const field_t *field, json_t *value, co_resource_t *res,
          el_err_t *err)
{
  el_str_t text = json_str (value);

  if (!json_is_string (value) || text.len < field->min
      || text.len > field->max)
    return el_err_set (err, EL_INVALID,
                       "%s: takes a string of %" PRIu64 " to %" PRIu64
                       " bytes",
                       field->name, field->min, field->max);
  *(el_str_t *)field_at (field, res) = text;
  return EL_OK;
}

static el_status_t
read_name (const field_t *field, json_t *value, co_resource_t *res,
           el_err_t *err)
{
  if (!json_is_string (value) || !co_name_valid (json_str (value)))
    return el_err_set (err, EL_INVALID,
                       "%s: takes a name of a-z, 0-9, '-' and '.'",
                       field->name);
  *(el_str_t *)field_at (field, res) = json_str (value);
  return EL_OK;
}

static el_status_t
read_address (const field_t *field, json_t *value, co_resource_t *res,
              el_err_t *err)
{
  el_str_t rest = json_str (value);
  el_str_t host = el_str_cut (&rest, ':');
  char text[INET_ADDRSTRLEN];
  struct in_addr addr;
  uint64_t port = 0;

  if (host.len < sizeof text && host.len)
    {
      memcpy (text, host.ptr, host.len);
      text[host.len] = '\0';
      if (inet_pton (AF_INET, text, &addr) == 1 && el_str_to_u64 (rest, &port)
          && port >= 1 && port <= UINT16_MAX)
        {
          *(el_str_t *)field_at (field, res) = json_str (value);
          return EL_OK;
        }
    }
  return el_err_set (err, EL_INVALID, "%s: takes ip:port", field->name);
}

static el_status_t
read_hex (const field_t *field, json_t *value, co_resource_t *res,
          el_err_t *err)
{
  el_str_t text = json_str (value);

  if (!json_is_string (value) || text.len != field->max
      || strspn (text.ptr, "0123456789abcdef") != text.len)
    return el_err_set (err, EL_INVALID,
                       "%s: takes %" PRIu64 " digits of 0-9 and a-f",
                       field->name, field->max);
  *(el_str_t *)field_at (field, res) = text;
  return EL_OK;
}

static el_status_t
read_u64 (const field_t *field, json_t *value, co_resource_t *res,
          el_err_t *err)
{
  json_int_t number = json_integer_value (value);

  if (!json_is_integer (value) || number < 0 || (uint64_t)number < field->min
      || (uint64_t)number > field->max)
    return el_err_set (err, EL_INVALID,
                       "%s: takes a whole number from %" PRIu64 " to %" PRIu64,
                       field->name, field->min, field->max);
  *(uint64_t *)field_at (field, res) = (uint64_t)number;
  return EL_OK;
}

static el_status_t
read_bool (const field_t *field, json_t *value, co_resource_t *res,
           el_err_t *err)
{
  if (!json_is_boolean (value))
    return el_err_set (err, EL_INVALID, "%s: takes true or false",
                       field->name);
  *(uint64_t *)field_at (field, res) = (uint64_t)json_is_true (value);
  return EL_OK;
}

static el_status_t
read_role (const field_t *field, json_t *value, co_resource_t *res,
           el_err_t *err)
{
  size_t i;

  for (i = 0; i < sizeof role_names / sizeof *role_names; i++)
    if (json_is_string (value)
        && el_str_eq (json_str (value), el_str (role_names[i])))
      {
        *(uint64_t *)field_at (field, res) = i;
        return EL_OK;
      }
  return el_err_set (err, EL_INVALID, "%s: takes engine or worker",
                     field->name);
}

static el_status_t
read_stage (json_t *value, size_t i, co_stage_t *out, el_err_t *err)
{
  json_error_t error;
  const char *endpoint;
  size_t len;
  json_int_t first;
  json_int_t last;

  if (json_unpack_ex (value, &error, JSON_STRICT, "{s:s%,s:I,s:I}", "endpoint",
                      &endpoint, &len, "first", &first, "last", &last))
    return el_err_set (err, EL_INVALID, "stages[%zu]: %.160s", i, error.text);
  if (!co_name_valid ((el_str_t){ endpoint, len }) || first < 0 || last < first
      || last >= LAYERS_MAX)
    return el_err_set (err, EL_INVALID,
                       "stages[%zu]: takes an endpoint and layers with "
                       "0 <= first <= last < %d",
                       i, LAYERS_MAX);
  *out = (co_stage_t){ { endpoint, len }, (uint64_t)first, (uint64_t)last };
  return EL_OK;
}

static el_status_t
read_stages (const field_t *field, json_t *value, co_resource_t *res,
             el_err_t *err)
{
  co_pipeline_t *pipeline = &res->spec.pipeline;
  size_t n = json_array_size (value);
  size_t i;

  if (n < field->min || n > field->max)
    return el_err_set (err, EL_INVALID,
                       "%s: takes a list of %" PRIu64 " to %" PRIu64,
                       field->name, field->min, field->max);
  pipeline->stages = el_alloc (n * sizeof *pipeline->stages);
  pipeline->nstages = n;
  for (i = 0; i < n; i++)
    {
      if (read_stage (json_array_get (value, i), i, &pipeline->stages[i], err))
        return err->status;
      if (pipeline->stages[i].first
          != (i ? pipeline->stages[i - 1].last + 1 : 0))
        return el_err_set (err, EL_INVALID,
                           "stages[%zu]: its first layer must follow the "
                           "stage before it",
                           i);
    }
  return EL_OK;
}

static el_status_t
read_names (const field_t *field, json_t *value, co_resource_t *res,
            el_err_t *err)
{
  co_service_t *service = &res->spec.service;
  size_t n = json_array_size (value);
  size_t i;

  if (n < field->min || n > field->max)
    return el_err_set (err, EL_INVALID,
                       "%s: takes a list of %" PRIu64 " to %" PRIu64 " names",
                       field->name, field->min, field->max);
  service->endpoints = el_alloc (n * sizeof *service->endpoints);
  service->nendpoints = n;
  for (i = 0; i < n; i++)
    {
      service->endpoints[i] = json_str (json_array_get (value, i));
      if (!co_name_valid (service->endpoints[i]))
        return el_err_set (err, EL_INVALID, "%s[%zu]: takes a name",
                           field->name, i);
    }
  return EL_OK;
}

static const field_t *
field_find (const field_t *fields, const char *name)
{
  for (; fields->name; fields++)
    if (strcmp (fields->name, name) == 0)
      return fields;
  return NULL;
}

static el_status_t
resource_read (co_resource_t *res, const field_t *fields, el_err_t *err)
{
  const field_t *field;
  const char *name;
  json_t *value;

  json_object_foreach (
      res->json, name,
      value) if (!field_find (fields,
                              name)) return el_err_set (err, EL_INVALID,
                                                        "%.64s: unknown field",
                                                        name);
  for (field = fields; field->name; field++)
    {
      value = json_object_get (res->json, field->name);
      if (!value && field->required)
        return el_err_set (err, EL_INVALID, "%s: is required", field->name);
      if (!value)
        *(uint64_t *)field_at (field, res) = field->def;
      else if (readers[field->type](field, value, res, err))
        return err->status;
    }
  return EL_OK;
}

/** Check JSON against the schema of KIND. On success the resource holds a
    reference to JSON; otherwise return NULL, with the faulty field named in
    ERR. */
co_resource_t *
co_resource_parse (co_kind_t kind, el_str_t name, json_t *json,
                   uint64_t revision, el_err_t *err)
{
  co_resource_t *res;

  if (!co_name_valid (name))
    {
      el_err_set (err, EL_INVALID,
                  "name: takes 1 to %d of a-z, 0-9, '-' and '.'", CO_NAME_MAX);
      return NULL;
    }
  if (!json_is_object (json))
    {
      el_err_set (err, EL_INVALID, "spec: takes an object");
      return NULL;
    }
  res = el_alloc (sizeof *res);
  res->kind = kind;
  res->name = el_str_dup (name);
  res->revision = revision;
  res->json = json_incref (json);
  if (resource_read (res, kinds[kind].fields, err))
    {
      co_resource_free (res);
      return NULL;
    }
  return res;
}

void
co_resource_free (co_resource_t *res)
{
  if (!res)
    return;
  if (res->kind == CO_PIPELINE)
    free (res->spec.pipeline.stages);
  if (res->kind == CO_SERVICE)
    free (res->spec.service.endpoints);
  json_decref (res->json);
  el_str_free (&res->name);
  free (res);
}
