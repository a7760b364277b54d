/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * elmarchctl, the command-line client for operators. Most commands send one
 * HTTP request to a host; apply, watch and drain send several.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "net.h"

#define REQUEST_TIMEOUT (15 * EL_SEC)
#define WATCH_INTERVAL_MS 500
#define HTTP_SUCCESS_MIN 200
#define HTTP_SUCCESS_MAX 299

typedef struct ctl_settings
{
  const char *host;
  const char *operator_key;
  const char *output;
  uint64_t wait_s;
} ctl_settings_t;

typedef struct ctl
{
  ctl_settings_t set;
  uv_loop_t loop;
  net_clock_t clock;
  net_client_t *client;
  const char **args;
  int response_done;
  int status; /* HTTP status of the last response; 0 if none */
  json_t *json;
  el_buf_t text;
} ctl_t;

typedef int (*ctl_fn) (ctl_t *ctl, const char **args);

static int ctl_apply (ctl_t *, const char **);
static int ctl_get (ctl_t *, const char **);
static int ctl_delete (ctl_t *, const char **);
static int ctl_watch (ctl_t *, const char **);
static int ctl_drain (ctl_t *, const char **);
static int ctl_dump (ctl_t *, const char **);
static int ctl_hosts (ctl_t *, const char **);
static int ctl_load (ctl_t *, const char **);
static int ctl_blocked (ctl_t *, const char **);
static int ctl_unblock (ctl_t *, const char **);

static const struct
{
  const char *name;
  int min_args;
  int max_args;
  ctl_fn run;
} commands[] = {
  { "apply", 1, 1, ctl_apply },     { "get", 1, 2, ctl_get },
  { "delete", 2, 2, ctl_delete },   { "watch", 1, 1, ctl_watch },
  { "drain", 1, 1, ctl_drain },     { "dump", 0, 0, ctl_dump },
  { "hosts", 0, 0, ctl_hosts },     { "load", 0, 0, ctl_load },
  { "blocked", 0, 0, ctl_blocked }, { "unblock", 1, 1, ctl_unblock },
};

#define AT(field) offsetof (ctl_settings_t, field)

static const el_setting_t table[] = {
  { "host", EL_SETTING_STRING, AT (host), "127.0.0.1:8080", 9, 21, 0,
    "IP:PORT", "address of an entry host" },
  { "operator-key", EL_SETTING_STRING, AT (operator_key), NULL, 16, 256, 1,
    "KEY", "key that authenticates operators; best set as a variable" },
  { "output", EL_SETTING_STRING, AT (output), "table", 4, 5, 0, "FORM",
    "table or json" },
  { "wait-s", EL_SETTING_U64, AT (wait_s), "20", 0, 3600, 0, "S",
    "longest time that apply waits for a change to be in force on all hosts" },
};

static void
response_received (void *arg, const net_result_t *result)
{
  ctl_t *ctl = arg;

  ctl->response_done = 1;
  if (result->net != NET_OK)
    {
      fprintf (stderr, "elmarchctl: %s: no answer (%s)\n", ctl->set.host,
               el_verdict_name (result->verdict));
      return;
    }
  ctl->status = result->status;
  el_buf_add (&ctl->text, result->body);
  ctl->json = json_loadb (result->body.ptr ? result->body.ptr : "",
                          result->body.len, 0, NULL);
}

/* Send a request and wait for the response. Returns its HTTP status, or 0 if
   there was no response. */
static int
ctl_request (ctl_t *ctl, const char *method, el_str_t path, el_str_t body)
{
  el_buf_t bearer = { NULL, 0, 0 };
  net_header_t header = { EL_STR ("authorization"), { NULL, 0 } };
  net_request_t request = { .address = el_str (ctl->set.host),
                            .method = el_str (method),
                            .path = path,
                            .headers = &header,
                            .nheaders = 1,
                            .body = body,
                            .timeout = REQUEST_TIMEOUT,
                            .done = response_received,
                            .arg = ctl };

  el_buf_printf (&bearer, "Bearer %s", ctl->set.operator_key);
  header.value = el_buf_str (&bearer);
  json_decref (ctl->json);
  ctl->json = NULL;
  ctl->status = 0;
  ctl->response_done = 0;
  el_buf_reset (&ctl->text);
  net_client_send (ctl->client, &request);
  while (!ctl->response_done)
    uv_run (&ctl->loop, UV_RUN_ONCE);
  el_buf_free (&bearer);
  return ctl->status;
}

static int
status_is_success (int status)
{
  return status >= HTTP_SUCCESS_MIN && status <= HTTP_SUCCESS_MAX;
}

static int
ctl_print_error (const ctl_t *ctl)
{
  const json_t *error = json_object_get (ctl->json, "error");
  const json_t *details = json_object_get (ctl->json, "elmarch");

  if (ctl->status)
    fprintf (stderr, "elmarchctl: %d %s: %s (verdict %s)\n", ctl->status,
             json_string_value (json_object_get (error, "code")),
             json_string_value (json_object_get (error, "message")),
             json_string_value (json_object_get (details, "verdict")));
  return EXIT_FAILURE;
}

static void
resource_print (const json_t *res)
{
  json_t *status = json_object_get (res, "status");
  char *spec = json_dumps (json_object_get (res, "spec"), JSON_COMPACT);

  printf ("%-24s %10" JSON_INTEGER_FORMAT " %3" JSON_INTEGER_FORMAT
          "/%-3" JSON_INTEGER_FORMAT " %s\n",
          json_string_value (json_object_get (res, "name")),
          json_integer_value (json_object_get (res, "resourceVersion")),
          json_integer_value (json_object_get (status, "inForceOn")),
          json_integer_value (json_object_get (status, "hosts")), spec);
  free (spec);
}

static void
ctl_print (const ctl_t *ctl)
{
  json_t *items = json_object_get (ctl->json, "items");
  json_t *item;
  size_t i;

  if (strcmp (ctl->set.output, "json") == 0 || !ctl->json)
    {
      printf ("%.*s\n", (int)ctl->text.len, ctl->text.ptr);
      return;
    }
  printf ("%-24s %10s %7s %s\n", "NAME", "VERSION", "HOSTS", "SPEC");
  if (!items)
    resource_print (ctl->json);
  json_array_foreach (items, i, item) resource_print (item);
}

static int
ctl_get (ctl_t *ctl, const char **args)
{
  el_buf_t path = { NULL, 0, 0 };
  int status;

  el_buf_printf (&path, "/admin/v1/%s%s%s", args[0], args[1] ? "/" : "",
                 args[1] ? args[1] : "");
  status = ctl_request (ctl, "GET", el_buf_str (&path), EL_STR (""));
  el_buf_free (&path);
  if (!status_is_success (status))
    return ctl_print_error (ctl);
  ctl_print (ctl);
  return EXIT_SUCCESS;
}

static int
ctl_delete (ctl_t *ctl, const char **args)
{
  el_buf_t path = { NULL, 0, 0 };
  int status;

  el_buf_printf (&path, "/admin/v1/%s/%s", args[0], args[1]);
  status = ctl_request (ctl, "DELETE", el_buf_str (&path), EL_STR (""));
  el_buf_free (&path);
  if (!status_is_success (status))
    return ctl_print_error (ctl);
  printf ("%s/%s deleted\n", args[0], args[1]);
  return EXIT_SUCCESS;
}

static void
apply_pause (ctl_t *ctl)
{
  (void)ctl;
  uv_sleep (WATCH_INTERVAL_MS / 10);
}

/* Wait until the resource, at VERSION or later, is in force on all hosts. */
static int
apply_wait (ctl_t *ctl, const char *kind, const char *name, json_int_t version)
{
  el_time_t until = net_clock_now (&ctl->clock) + ctl->set.wait_s * EL_SEC;
  el_buf_t path = { NULL, 0, 0 };
  json_t *status;
  int in_force = 0;

  el_buf_printf (&path, "/admin/v1/%s/%s", kind, name);
  while (!in_force && net_clock_now (&ctl->clock) < until)
    {
      if (status_is_success (
              ctl_request (ctl, "GET", el_buf_str (&path), EL_STR (""))))
        {
          status = json_object_get (ctl->json, "status");
          in_force
              = json_integer_value (
                    json_object_get (ctl->json, "resourceVersion"))
                    >= version
                && json_integer_value (json_object_get (status, "inForceOn"))
                       >= json_integer_value (
                           json_object_get (status, "hosts"));
        }
      if (!in_force)
        apply_pause (ctl);
    }
  el_buf_free (&path);
  return in_force;
}

static int
apply_one (ctl_t *ctl, json_t *item)
{
  el_buf_t path = { NULL, 0, 0 };
  const char *kind;
  const char *name;
  json_error_t error;
  json_t *spec;
  json_t *body;
  char *text;
  int status;

  if (json_unpack_ex (item, &error, JSON_STRICT, "{s:s,s:s,s:o}", "kind",
                      &kind, "name", &name, "spec", &spec))
    {
      fprintf (stderr, "elmarchctl: %s\n", error.text);
      return EL_EXIT_USAGE;
    }
  body = json_pack ("{s:O}", "spec", spec);
  text = json_dumps (body, JSON_COMPACT);
  el_buf_printf (&path, "/admin/v1/%s/%s", kind, name);
  status = ctl_request (ctl, "PUT", el_buf_str (&path), el_str (text));
  el_buf_free (&path);
  free (text);
  json_decref (body);
  if (!status_is_success (status))
    return ctl_print_error (ctl);
  printf ("%s/%s accepted\n", kind, name);
  return EXIT_SUCCESS;
}

static int
ctl_apply (ctl_t *ctl, const char **args)
{
  json_error_t error;
  json_t *list
      = strcmp (args[0], "-") == 0
            ? json_loadf (stdin, JSON_REJECT_DUPLICATES, &error)
            : json_load_file (args[0], JSON_REJECT_DUPLICATES, &error);
  json_int_t version = 0;
  json_t *last;
  json_t *item;
  size_t i;
  int rc = EXIT_SUCCESS;

  if (!json_is_array (list))
    {
      fprintf (stderr, "elmarchctl: %s:%d: %s\n", args[0], error.line,
               list ? "expected a list of resources" : error.text);
      json_decref (list);
      return EL_EXIT_USAGE;
    }
  json_array_foreach (list, i, item)
  {
    rc = apply_one (ctl, item);
    if (rc)
      break;
    version
        = json_integer_value (json_object_get (ctl->json, "resourceVersion"));
  }
  last = json_array_get (list, json_array_size (list) - 1);
  if (!rc && last && ctl->set.wait_s)
    {
      if (apply_wait (ctl, json_string_value (json_object_get (last, "kind")),
                      json_string_value (json_object_get (last, "name")),
                      version))
        printf ("in force on all hosts\n");
      else
        {
          fprintf (stderr, "elmarchctl: not yet in force on all hosts\n");
          rc = EXIT_FAILURE;
        }
    }
  json_decref (list);
  return rc;
}

static int
ctl_watch (ctl_t *ctl, const char **args)
{
  json_int_t seen = -1;
  json_int_t revision;
  int rc = EXIT_SUCCESS;

  while (rc == EXIT_SUCCESS)
    {
      el_buf_t path = { NULL, 0, 0 };

      el_buf_printf (&path, "/admin/v1/%s", args[0]);
      if (!status_is_success (
              ctl_request (ctl, "GET", el_buf_str (&path), EL_STR (""))))
        rc = ctl_print_error (ctl);
      el_buf_free (&path);
      revision = json_integer_value (json_object_get (ctl->json, "revision"));
      if (!rc && revision != seen)
        {
          ctl_print (ctl);
          fflush (stdout);
        }
      seen = revision;
      uv_sleep (WATCH_INTERVAL_MS);
    }
  return rc;
}

/* Drain an endpoint: set draining in its spec, so that it gets no new work.
   The update names the version that was read, so it fails if the endpoint was
   changed in between. */
static int
ctl_drain (ctl_t *ctl, const char **args)
{
  el_buf_t path = { NULL, 0, 0 };
  json_t *body;
  char *text;
  int status;

  el_buf_printf (&path, "/admin/v1/endpoints/%s", args[0]);
  status = ctl_request (ctl, "GET", el_buf_str (&path), EL_STR (""));
  if (!status_is_success (status))
    {
      el_buf_free (&path);
      return ctl_print_error (ctl);
    }
  body = json_pack ("{s:O,s:O}", "spec", json_object_get (ctl->json, "spec"),
                    "resourceVersion",
                    json_object_get (ctl->json, "resourceVersion"));
  json_object_set_new (json_object_get (body, "spec"), "draining",
                       json_true ());
  text = json_dumps (body, JSON_COMPACT);
  status = ctl_request (ctl, "PUT", el_buf_str (&path), el_str (text));
  el_buf_free (&path);
  free (text);
  json_decref (body);
  if (!status_is_success (status))
    return ctl_print_error (ctl);
  printf ("endpoints/%s draining\n", args[0]);
  return EXIT_SUCCESS;
}

static int
ctl_print_path (ctl_t *ctl, el_str_t path)
{
  char *text;

  if (!status_is_success (ctl_request (ctl, "GET", path, EL_STR (""))))
    return ctl_print_error (ctl);
  text = json_dumps (ctl->json, JSON_INDENT (2));
  printf ("%s\n", text);
  free (text);
  return EXIT_SUCCESS;
}

static int
ctl_dump (ctl_t *ctl, const char **args)
{
  (void)args;
  return ctl_print_path (ctl, EL_STR ("/admin/v1/dump"));
}

static int
ctl_hosts (ctl_t *ctl, const char **args)
{
  (void)args;
  return ctl_print_path (ctl, EL_STR ("/v1/entry-hosts"));
}

static json_int_t
field (json_t *json, const char *name)
{
  return json_integer_value (json_object_get (json, name));
}

static void
load_print_service (json_t *service)
{
  json_t *rank;
  size_t i;

  json_array_foreach (json_object_get (service, "ranks"), i, rank)
  {
    printf ("%-24s %4" PRId64 " %9" PRId64 " %9" PRId64 " %8" PRId64
            " %9" PRId64 " %9" PRId64 " %9" PRId64 " %9" PRId64 "\n",
            json_string_value (json_object_get (service, "service")),
            (int64_t)field (rank, "rank"), (int64_t)field (rank, "arrivals"),
            (int64_t)field (rank, "started"), (int64_t)field (rank, "waiting"),
            (int64_t)field (rank, "waitingElsewhere"),
            (int64_t)field (rank, "refusedNoTime"),
            (int64_t)field (rank, "refusedDisplaced"),
            (int64_t)field (rank, "expectedWaitUs"));
  }
}

/* Print the requests that wait, a line for each service and rank. */
static int
ctl_load (ctl_t *ctl, const char **args)
{
  const el_str_t path = EL_STR ("/admin/v1/load");
  json_t *service;
  size_t i;

  (void)args;
  if (strcmp (ctl->set.output, "json") == 0)
    return ctl_print_path (ctl, path);
  if (!status_is_success (ctl_request (ctl, "GET", path, EL_STR (""))))
    return ctl_print_error (ctl);
  printf ("load of other hosts: %" PRId64 " hosts, told %" PRId64 " us ago\n",
          (int64_t)field (ctl->json, "hostsTold"),
          (int64_t)field (ctl->json, "toldAgoUs"));
  printf ("%-24s %4s %9s %9s %8s %9s %9s %9s %9s\n", "SERVICE", "RANK",
          "ARRIVALS", "STARTED", "WAITING", "ELSEWHERE", "NO-TIME",
          "DISPLACED", "WAIT-US");
  json_array_foreach (json_object_get (ctl->json, "services"), i, service)
  {
    load_print_service (service);
  }
  return EXIT_SUCCESS;
}

static int
ctl_blocked (ctl_t *ctl, const char **args)
{
  (void)args;
  return ctl_print_path (ctl, EL_STR ("/admin/v1/blocked"));
}

static int
ctl_unblock (ctl_t *ctl, const char **args)
{
  el_buf_t path = { NULL, 0, 0 };
  int status;

  el_buf_printf (&path, "/admin/v1/blocked/%s", args[0]);
  status = ctl_request (ctl, "DELETE", el_buf_str (&path), EL_STR (""));
  el_buf_free (&path);
  if (!status_is_success (status))
    return ctl_print_error (ctl);
  printf ("%s unblocked\n", args[0]);
  return EXIT_SUCCESS;
}

static int
count_args (const char **args)
{
  int n = 0;

  while (args[n])
    n++;
  return n;
}

static int
ctl_run (ctl_t *ctl, const char **args)
{
  size_t i;
  int n = count_args (args) - 1;

  for (i = 0; n >= 0 && i < sizeof commands / sizeof *commands; i++)
    if (strcmp (args[0], commands[i].name) == 0 && n >= commands[i].min_args
        && n <= commands[i].max_args)
      return commands[i].run (ctl, args + 1);
  fprintf (stderr,
           "elmarchctl: takes apply FILE, get KIND [NAME], delete KIND NAME, "
           "watch KIND, drain ENDPOINT, dump, hosts, load, blocked or "
           "unblock DIGEST\n");
  return EL_EXIT_USAGE;
}

int
main (int argc, const char **argv)
{
  const el_settings_options_t options
      = { .program = "elmarchctl",
          .env_prefix = "ELMARCHCTL",
          .usage = "[OPTION...] COMMAND [ARGUMENT...]\nCommands: apply FILE, "
                   "get KIND [NAME], delete KIND NAME, watch KIND, drain "
                   "ENDPOINT, dump, hosts, load, blocked, unblock DIGEST.",
          .table = table,
          .ntable = sizeof table / sizeof *table };
  static ctl_t ctl;
  el_err_t err;
  el_settings_result_t result;
  int rc = EXIT_SUCCESS;

  result = el_settings_parse (&options, argc, argv, &ctl.set, &ctl.args, &err);
  if (result == EL_SETTINGS_OK && strcmp (ctl.set.output, "json") != 0
      && strcmp (ctl.set.output, "table") != 0)
    {
      el_err_set (&err, EL_INVALID, "--output: takes table or json, not '%s'",
                  ctl.set.output);
      result = EL_SETTINGS_INVALID;
    }
  if (result == EL_SETTINGS_INVALID)
    {
      fprintf (stderr, "elmarchctl: %s\n", err.msg);
      rc = EL_EXIT_USAGE;
    }
  else if (result == EL_SETTINGS_OK)
    {
      uv_loop_init (&ctl.loop);
      net_clock_init (&ctl.clock, &ctl.loop);
      ctl.client = net_client_new (&ctl.clock);
      rc = ctl_run (&ctl, ctl.args);
    }
  json_decref (ctl.json);
  el_buf_free (&ctl.text);
  el_settings_free (&options, &ctl.set);
  return rc;
}
