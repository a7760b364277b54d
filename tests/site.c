/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Starts and stops the processes of the tests of relayed requests, and
 * sends requests to them.
 */
#include "site.h"

#include <check.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define HOST_HEADER "host: rel.example"
#define STEP_US "5000"

site_t site;

void
site_setup (void)
{
  memset (&site, 0, sizeof site);
  site.step_us = STEP_US;
}

void
site_store_start (void)
{
  const char *args[] = { "standin",
                         "--role",
                         "store",
                         "--listen",
                         site.store.address,
                         site.record_file[0] ? "--record" : NULL,
                         site.record_file,
                         NULL };

  proc_spawn (&site.store, args);
  proc_wait_ready (&site.store, "/elmarch/kv-range?PathPrefix=none");
}

static void
member_start (proc_t *proc, const char *name, const char *service,
              const char *card)
{
  const char *args[] = { "standin",
                         "--role",
                         "member",
                         "--listen",
                         proc->address,
                         "--store",
                         site.store.address,
                         "--name",
                         name,
                         "--service",
                         service,
                         "--hall",
                         "h",
                         "--card",
                         card,
                         "--step-us",
                         site.step_us,
                         "--layers-most",
                         site.max_layers ? site.max_layers : "4096",
                         "--record",
                         site.runs_file,
                         site.keep_ids ? "--same-id" : NULL,
                         NULL };

  proc_spawn (proc, args);
  proc_wait_ready (proc, "/runs");
}

void
site_engine_start (size_t i)
{
  static const char *const names[SITE_ENGINES] = { "e0", "e1", "e2", "e3" };

  member_start (&site.engines[i], names[i], "llm", "half");
  member_id (&site.engines[i], site.engine_ids[i], sizeof site.engine_ids[i]);
}

void
site_worker_start (size_t i)
{
  static const char *const names[SITE_WORKERS] = { "w0", "w1" };

  member_start (&site.workers[i], names[i], "app", "");
  member_id (&site.workers[i], site.worker_ids[i], sizeof site.worker_ids[i]);
}

static void
entry_expire (const char *id)
{
  char path[160];
  reply_t reply;

  snprintf (path, sizeof path, "/test/servers/%s", id);
  http_request ("DELETE", site.store.address, path, NULL, NULL, &reply);
  reply_free (&reply);
}

/* Whether a member's process has exited, by itself or through proc_end. If so,
   its registration is removed from the store. */
static int
member_reap (proc_t *proc, const char *id)
{
  if (proc->pid && waitpid (proc->pid, NULL, WNOHANG) != proc->pid)
    return 0;
  proc->pid = 0;
  entry_expire (id);
  return 1;
}

/** Waits until a metric equals VALUE on all hosts except EXCEPT. */
void
site_wait_metric_except (size_t except, const char *name, uint64_t value)
{
  size_t i;

  for (i = 0; i < site.nhosts; i++)
    if (i != except)
      metric_wait_value (&site.hosts[i], name, value);
}

/** Waits until a metric equals VALUE on all hosts. */
void
site_wait_metric (const char *name, uint64_t value)
{
  site_wait_metric_except (site.nhosts, name, value);
}

/** Replaces the engines whose processes have exited by new ones, after
    removing their registrations. Returns their number once all engines hold
    layers and all hosts know it. */
size_t
site_engines_replace (void)
{
  int ended[SITE_ENGINES];
  size_t n = 0;
  size_t i;

  for (i = 0; i < SITE_ENGINES; i++)
    {
      ended[i] = member_reap (&site.engines[i], site.engine_ids[i]);
      n += (size_t)ended[i];
    }
  site_wait_metric ("elmarch_endpoints", SITE_ENGINES + SITE_WORKERS - n);
  for (i = 0; i < SITE_ENGINES; i++)
    if (ended[i])
      site_engine_start (i);
  site_wait_metric ("elmarch_endpoints", SITE_ENGINES + SITE_WORKERS);
  site_wait_metric ("elmarch_engines_placed", SITE_ENGINES);
  return n;
}

/** Replaces the engines whose processes have exited by new ones without
    waiting for the hosts. Returns their number. */
size_t
site_engines_replace_nowait (void)
{
  size_t n = 0;
  size_t i;

  for (i = 0; i < SITE_ENGINES; i++)
    if (member_reap (&site.engines[i], site.engine_ids[i]))
      {
        site_engine_start (i);
        n++;
      }
  return n;
}

/** Replaces the workers whose processes have exited by new ones. Returns their
    number once all hosts know the new ones. */
size_t
site_workers_replace (void)
{
  int ended[SITE_WORKERS];
  size_t n = 0;
  size_t i;

  for (i = 0; i < SITE_WORKERS; i++)
    {
      ended[i] = member_reap (&site.workers[i], site.worker_ids[i]);
      n += (size_t)ended[i];
    }
  site_wait_metric ("elmarch_endpoints", SITE_ENGINES + SITE_WORKERS - n);
  for (i = 0; i < SITE_WORKERS; i++)
    if (ended[i])
      site_worker_start (i);
  site_wait_metric ("elmarch_endpoints", SITE_ENGINES + SITE_WORKERS);
  return n;
}

/** Sends a request to a host's admin API. Returns the response body. */
json_t *
site_admin_request (size_t host, const char *method, const char *path)
{
  const char *headers[] = { "authorization: Bearer an-operator's-key", NULL };
  reply_t reply;
  json_t *json;

  http_request (method, site.hosts[host].address, path, NULL, headers, &reply);
  ck_assert_int_eq (reply.status, 200);
  json = json_loads (reply.body.ptr, 0, NULL);
  reply_free (&reply);
  return json;
}

/* Copies a host's address with the last digit of the port replaced. */
static void
address_with_port (const proc_t *host, proc_t *out, char digit)
{
  snprintf (out->address, sizeof out->address, "%s", host->address);
  out->address[strlen (out->address) - 1] = digit;
}

/** Starts a host. It may not have received its configuration yet on return. */
void
site_host_start (size_t i)
{
  proc_t peer;
  char peers[SITE_HOSTS * 32] = "";
  const char *args[] = { "elmarchd",
                         "--listen",
                         site.hosts[i].address,
                         "--peer-listen",
                         peer.address,
                         "--peers",
                         peers,
                         "--hall",
                         site.halls[i] ? site.halls[i] : "h",
                         "--entry",
                         site.entry_addrs[i].address,
                         "--ready",
                         site.ready_addrs[i].address,
                         "--directory",
                         site.directory_addrs[i].address,
                         "--store",
                         site.store.address,
                         "--cluster-key",
                         "the-test-site's-key",
                         "--operator-key",
                         "an-operator's-key",
                         "--store-followers",
                         "1",
                         "--repeat-ratio",
                         "10",
                         "--keys-limit-ms",
                         "2000",
                         "--stop-least-ms",
                         "100",
                         "--log-level",
                         "warn",
                         site.host_flags[0],
                         site.host_flags[1],
                         site.host_flags[2],
                         site.host_flags[3],
                         NULL };
  size_t k;

  for (k = 0; k < site.nhosts; k++)
    {
      address_with_port (&site.hosts[k], &peer, '1');
      strcat (strcat (peers, peer.address), ",");
    }
  address_with_port (&site.hosts[i], &peer, '1');
  site_cut_environment (i, site.cuttable);
  proc_spawn (&site.hosts[i], args);
  site_cut_environment (i, 0);
  proc_wait_ready (&site.hosts[i], "/metrics");
}

/** Writes the operators' configuration to the store. KEYS is a JSON list of
    the customer's keys. */
void
site_put_config (int version, const char *keys)
{
  static const char *const form
      = "{\"Version\":%d,\"Routes\":["
        "{\"Name\":\"chat\",\"Host\":\"rel.example\",\"PathPrefix\":\"/chat/"
        "\","
        "\"RouteType\":\"streaming\",\"TimeoutMs\":30000,\"MaxAttempts\":2,"
        "\"Service\":\"llm\",\"Resumable\":true},"
        "{\"Name\":\"pay\",\"Host\":\"rel.example\",\"PathPrefix\":\"/pay/\","
        "\"RouteType\":\"unsafe\",\"TimeoutMs\":5000,\"MaxAttempts\":1,"
        "\"Service\":\"app\"},"
        "{\"Name\":\"look\",\"Host\":\"rel.example\",\"PathPrefix\":\"/look/"
        "\","
        "\"RouteType\":\"safe\",\"TimeoutMs\":1000,\"MaxAttempts\":2,"
        "\"Service\":\"app\"}%s],"
        "\"Services\":[{\"Name\":\"app\"},{\"Name\":\"llm\",\"Engine\":{"
        "\"layers\":8,\"layer_mb\":1000,\"step_ms\":1,\"KvTokenBytes\":8000,"
        "\"usual\":{\"prompt\":10,\"answer\":10},"
        "\"kinds\":[{\"Name\":\"half\",\"mb\":4500,\"pace\":1}]}}],"
        "\"Limits\":{%s},"
        "\"Tenants\":[{\"Name\":\"parking\",\"ApiKeys\":%s}]}";
  char body[4096];
  reply_t reply;

  snprintf (body, sizeof body, form, version,
            site.more_rules ? site.more_rules : "",
            site.limits ? site.limits
                        : "\"MaxBodyBytes\":65536,\"IdleTimeoutMs\":15000",
            keys);
  http_request ("PUT", site.store.address, "/test/op/config", body, NULL,
                &reply);
  ck_assert_int_eq (reply.status, 200);
  reply_free (&reply);
}

/* Waits until a host is ready for relayed requests. */
static void
site_wait_ready (size_t host)
{
  reply_t reply;
  long status = 0;
  int i;

  for (i = 0; i < WAIT_STEPS_MAX && status != 200; i++)
    {
      http_request ("GET", site.ready_addrs[host].address, "/elmarch/ready",
                    NULL, NULL, &reply);
      status = reply.status;
      reply_free (&reply);
      poll_sleep ();
    }
  ck_assert_int_eq (status, 200);
}

/** Kills all processes at once, as a power failure does, and restarts them. */
void
site_power_cycle (void)
{
  size_t i;

  for (i = 0; i < site.nhosts; i++)
    proc_kill (&site.hosts[i]);
  for (i = 0; i < SITE_ENGINES; i++)
    proc_kill (&site.engines[i]);
  for (i = 0; i < SITE_WORKERS; i++)
    proc_kill (&site.workers[i]);
  proc_end (&site.store, SIGKILL);
  site_store_start ();
  for (i = 0; i < SITE_ENGINES; i++)
    {
      proc_end (&site.engines[i], SIGKILL);
      entry_expire (site.engine_ids[i]);
      site_engine_start (i);
    }
  for (i = 0; i < SITE_WORKERS; i++)
    {
      proc_end (&site.workers[i], SIGKILL);
      entry_expire (site.worker_ids[i]);
      site_worker_start (i);
    }
  for (i = 0; i < site.nhosts; i++)
    {
      proc_end (&site.hosts[i], SIGKILL);
      site_host_start (i);
    }
  for (i = 0; i < site.nhosts; i++)
    site_wait_ready (i);
  site_wait_placed ();
  site_wait_metric ("elmarch_engines_placed", SITE_ENGINES);
}

/** A number from a member's own status. */
int64_t
member_value (const proc_t *member, const char *name)
{
  json_t *json = http_get_json (member->address, "/runs");
  int64_t value = json_integer_value (json_object_get (json, name));

  json_decref (json);
  return value;
}

void
member_id (const proc_t *member, char *out, size_t size)
{
  json_t *json = http_get_json (member->address, "/runs");

  snprintf (out, size, "%s", json_string_value (json_object_get (json, "id")));
  json_decref (json);
}

/** Waits until every running engine holds layers. */
void
site_wait_placed (void)
{
  size_t placed = 0;
  size_t live;
  size_t i;
  int step;

  for (step = 0; step < WAIT_STEPS_MAX; step++)
    {
      placed = 0;
      live = 0;
      for (i = 0; i < SITE_ENGINES; i++)
        if (site.engines[i].pid)
          {
            live++;
            placed += member_value (&site.engines[i], "end") > 0;
          }
      if (placed == live)
        return;
      poll_sleep ();
    }
  ck_abort_msg ("only %zu engines hold layers", placed);
}

void
site_store_mute (int on)
{
  reply_t reply;

  http_request ("POST", site.store.address, "/test/mute",
                on ? "{\"on\":true}" : "{\"on\":false}", NULL, &reply);
  reply_free (&reply);
}

/** Starts all processes and waits until all hosts are ready for requests. */
void
site_start_unplaced (size_t nhosts)
{
  size_t i;

  site.nhosts = nhosts;
  address_set (&site.store, 1);
  for (i = 0; i < SITE_ENGINES; i++)
    address_set (&site.engines[i], 10 + (unsigned)i);
  for (i = 0; i < SITE_WORKERS; i++)
    address_set (&site.workers[i], 20 + (unsigned)i);
  for (i = 0; i < nhosts; i++)
    {
      address_set (&site.hosts[i], 30 + (unsigned)i);
      address_with_port (&site.hosts[i], &site.entry_addrs[i], '2');
      address_with_port (&site.hosts[i], &site.ready_addrs[i], '3');
      address_with_port (&site.hosts[i], &site.directory_addrs[i], '4');
    }
  site_store_start ();
  site_put_config (1, "[\"" CUSTOMER_KEY "\"]");
  for (i = 0; i < SITE_ENGINES; i++)
    site_engine_start (i);
  for (i = 0; i < SITE_WORKERS && !site.no_workers; i++)
    site_worker_start (i);
  for (i = 0; i < nhosts; i++)
    site_host_start (i);
  for (i = 0; i < nhosts; i++)
    site_wait_ready (i);
}

/** Like site_start_unplaced, but also waits until the layers are placed. */
void
site_start (size_t nhosts)
{
  size_t i;

  site_start_unplaced (nhosts);
  site_wait_placed ();
  for (i = 0; i < nhosts; i++)
    metric_wait_min (&site.hosts[i], "elmarch_engines_placed", SITE_ENGINES);
}

/** Ends all processes. Hosts drain, and must exit with status 0, that is
    without a leak. */
void
site_teardown (void)
{
  size_t i;

  for (i = 0; i < site.nhosts; i++)
    {
      ck_assert_msg (proc_end (&site.hosts[i], SIGTERM) == 0,
                     "host %zu did not end cleanly", i);
      site_cut_remove (i);
    }
  for (i = 0; i < SITE_ENGINES; i++)
    proc_end (&site.engines[i], SIGKILL);
  for (i = 0; i < SITE_WORKERS; i++)
    proc_end (&site.workers[i], SIGKILL);
  proc_end (&site.store, SIGKILL);
  if (site.record_file[0])
    unlink (site.record_file);
  if (site.runs_file[0])
    unlink (site.runs_file);
}

/** Makes the engines and workers that are started from now on record their
    runs. */
void
site_record_runs (void)
{
  snprintf (site.runs_file, sizeof site.runs_file, "/tmp/elmarch-runs-%d",
            (int)getpid ());
  unlink (site.runs_file);
}

/** How often the request ID ran. */
unsigned
site_runs (const char *id)
{
  FILE *file = fopen (site.runs_file, "r");
  char line[512];
  char ran[96];
  unsigned runs = 0;

  ck_assert_ptr_nonnull (file);
  while (fgets (line, sizeof line, file))
    runs += sscanf (line, "%*u %95s", ran) == 1 && strcmp (ran, id) == 0;
  fclose (file);
  return runs;
}

/* Headers of a request through a host: its id, and the number of the host,
   which the stand-ins record. */
typedef struct request_headers
{
  char id[96];
  char via[32];
  char prompt[128];
  const char *list[5];
} request_headers_t;

static void
request_headers_init (request_headers_t *head, size_t host, const char *id)
{
  snprintf (head->id, sizeof head->id, "x-elmarch-request-id: %s", id);
  snprintf (head->via, sizeof head->via, "x-via: %zu", host);
  head->list[0] = HOST_HEADER;
  head->list[1] = head->id;
  head->list[2] = head->via;
  head->list[3] = NULL;
}

/** Sends a request through a host. */
void
send_request (size_t host, const char *method, const char *path,
              const char *id, reply_t *reply)
{
  request_headers_t head;

  request_headers_init (&head, host, id);
  http_request (method, site.entry_addrs[host].address, path,
                strcmp (method, "POST") == 0 ? "body" : NULL, head.list,
                reply);
}

/** Sends a POST request with BODY through a host. */
void
send_request_body (size_t host, const char *path, const char *body,
                   const char *id, reply_t *reply)
{
  request_headers_t head;

  request_headers_init (&head, host, id);
  http_request ("POST", site.entry_addrs[host].address, path, body, head.list,
                reply);
}

/** Sends a POST request through a host; its body is ID, and PROMPT lists the
    parts of its prompt. */
void
send_request_prompt (size_t host, const char *path, const char *prompt,
                     const char *id, reply_t *reply)
{
  request_headers_t head;

  request_headers_init (&head, host, id);
  snprintf (head.prompt, sizeof head.prompt, "x-elmarch-prompt-prefix: %s",
            prompt);
  head.list[3] = head.prompt;
  head.list[4] = NULL;
  http_request ("POST", site.entry_addrs[host].address, path, id, head.list,
                reply);
}

/** Starts a POST request through a host. */
void
request_start (caller_t *caller, size_t host, const char *path, const char *id)
{
  request_headers_t head;

  request_headers_init (&head, host, id);
  caller_start (caller, site.entry_addrs[host].address, path, "body",
                head.list, 0);
}

/** Starts a stream through a host. */
void
stream_start (caller_t *caller, size_t host, const char *id)
{
  request_start (caller, host, "/chat/x", id);
}

/** The stream must have every event once and in order. */
void
assert_stream_complete (const reply_t *reply)
{
  el_buf_t want = { NULL, 0, 0 };
  int i;

  for (i = 1; i <= SITE_EVENTS; i++)
    el_buf_printf (&want, "id: %d\ndata: p%d\n\n", i, i);
  ck_assert_msg (reply->status == 200, "%ld %s", reply->status,
                 reply->body.ptr ? reply->body.ptr : "");
  ck_assert_str_eq (reply->body.ptr, want.ptr);
  el_buf_free (&want);
}

/** An engine with the first layers. */
const proc_t *
site_engine_with_first_layers (void)
{
  size_t i;

  for (i = 0; i < SITE_ENGINES; i++)
    if (member_value (&site.engines[i], "first") == 0)
      return &site.engines[i];
  ck_abort_msg ("no engine holds the first layers");
  return NULL;
}
