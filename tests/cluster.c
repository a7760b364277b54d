/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Starts and stops the processes of the tests, and sends requests to them.
 */
#include "cluster.h"

#include <check.h>
#include <inttypes.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <curl/curl.h>

#define WAIT_STEP_NS 5000000
#define ARGS_MAX 40
#define OPERATOR_KEY "an-operator's-key"

extern char **environ;

int use_http2;

static int network_id;

/** Sleeps between two polls of a condition. */
void
poll_sleep (void)
{
  struct timespec step = { 0, WAIT_STEP_NS };

  nanosleep (&step, NULL);
}

/** Assigns an address from this test's own loopback network. */
void
address_set (proc_t *proc, unsigned last)
{
  if (!network_id)
    network_id = getpid ();
  snprintf (proc->address, sizeof proc->address, "127.%d.%d.%u:7000",
            100 + (network_id >> 8) % 100, network_id & 0xff, last);
}

/** Starts a program of the build. ARGS begins with its name. */
void
proc_spawn (proc_t *proc, const char **args)
{
  const char *bin = getenv ("ELMARCH_TEST_BIN");
  char path[256];

  snprintf (path, sizeof path, "%s/%s", bin ? bin : BIN_DIR_DEFAULT, args[0]);
  proc->stopped = 0;
  ck_assert_int_eq (posix_spawn (&proc->pid, path, NULL, NULL,
                                 (char *const *)(uintptr_t)args, environ),
                    0);
}

/** Waits until the process responds to GET PATH. */
void
proc_wait_ready (const proc_t *proc, const char *path)
{
  reply_t reply;
  long status = 0;
  int i;

  for (i = 0; i < WAIT_STEPS_MAX && !status; i++)
    {
      http_request ("GET", proc->address, path, NULL, NULL, &reply);
      status = reply.status;
      reply_free (&reply);
      if (!status)
        poll_sleep ();
    }
  ck_assert_msg (status != 0, "%s does not answer", proc->address);
}

void
platform_start (cluster_t *cluster)
{
  const char *args[] = {
    "standin", "--role", "platform", "--listen", cluster->platform.address,
    NULL
  };

  proc_spawn (&cluster->platform, args);
  proc_wait_ready (&cluster->platform, "/stats");
}

void
engine_start (cluster_t *cluster, int pipeline, int stage)
{
  proc_t *proc = &cluster->engines[pipeline][stage];
  char first[16];
  char last[16];
  char step[24];
  const char *args[]
      = { "standin", "--role", "engine", "--listen",  proc->address, "--first",
          first,     "--last", last,     "--step-us", step,          NULL };

  snprintf (first, sizeof first, "%d", stage * LAYERS / STAGES);
  snprintf (last, sizeof last, "%d", (stage + 1) * LAYERS / STAGES - 1);
  snprintf (step, sizeof step, "%" PRIu64, cluster->step_us);
  proc_spawn (proc, args);
  proc_wait_ready (proc, "/stats");
}

void
worker_start (cluster_t *cluster, int i)
{
  const char *args[] = {
    "standin", "--role", "service", "--listen", cluster->workers[i].address,
    NULL
  };

  proc_spawn (&cluster->workers[i], args);
  proc_wait_ready (&cluster->workers[i], "/runs");
}

static void
peer_address (const proc_t *host, char *out, size_t size)
{
  snprintf (out, size, "%s", host->address);
  out[strlen (out) - 1] = '1';
}

void
host_start (cluster_t *cluster, size_t i)
{
  proc_t *proc = &cluster->hosts[i];
  char peer[32];
  char peers[HOSTS_MAX * 32] = "";
  const char *args[ARGS_MAX] = { "elmarchd",
                                 "--listen",
                                 proc->address,
                                 "--peer-listen",
                                 peer,
                                 "--peers",
                                 peers,
                                 "--hall",
                                 "bern-halle",
                                 "--platform",
                                 cluster->platform.address,
                                 "--cluster-key",
                                 "the-test-cluster's-key",
                                 "--operator-key",
                                 OPERATOR_KEY,
                                 "--log-level",
                                 "warn" };
  size_t n = 17;
  size_t k;

  peer_address (proc, peer, sizeof peer);
  for (k = 0; k < cluster->nhosts; k++)
    {
      char one[32];

      peer_address (&cluster->hosts[k], one, sizeof one);
      strcat (strcat (peers, one), ",");
    }
  for (k = 0; cluster->extra_flags[k]; k++)
    args[n++] = cluster->extra_flags[k];
  proc_spawn (proc, args);
  proc_wait_ready (proc, "/metrics");
}

/** Starts all processes and waits until every host has the configuration.
    Fields of CLUSTER that are set before the call are kept. */
void
cluster_start (cluster_t *cluster, size_t nhosts)
{
  int pipeline;
  int stage;
  size_t i;

  network_id = getpid ();
  cluster->nhosts = nhosts;
  address_set (&cluster->platform, 1);
  for (i = 0; i < 2; i++)
    address_set (&cluster->workers[i], 2 + (unsigned)i);
  for (pipeline = 0; pipeline < PIPELINES; pipeline++)
    for (stage = 0; stage < STAGES; stage++)
      address_set (&cluster->engines[pipeline][stage],
                   10 + (unsigned)(pipeline * STAGES + stage));
  for (i = 0; i < nhosts; i++)
    address_set (&cluster->hosts[i], 30 + (unsigned)i);
  platform_start (cluster);
  for (pipeline = 0; pipeline < PIPELINES; pipeline++)
    for (stage = 0; stage < STAGES; stage++)
      engine_start (cluster, pipeline, stage);
  for (i = 0; i < 2; i++)
    worker_start (cluster, (int)i);
  for (i = 0; i < nhosts; i++)
    host_start (cluster, i);
  cluster_configure (cluster);
}

static void
admin_put (const cluster_t *cluster, const char *path, const char *spec)
{
  char body[2048];
  reply_t reply;

  snprintf (body, sizeof body, "{\"spec\":%s}", spec);
  ck_assert_msg (admin_request (cluster, 0, "PUT", path, body, &reply) == 200,
                 "%s: %s", path, reply.body.ptr);
  reply_free (&reply);
}

static void
put_endpoint (const cluster_t *cluster, const char *name, const proc_t *proc,
              const char *role)
{
  char path[64];
  char spec[256];

  snprintf (path, sizeof path, "endpoints/%s", name);
  snprintf (spec, sizeof spec,
            "{\"address\":\"%s\",\"hall\":\"bern-halle\",\"role\":\"%s\"}",
            proc->address, role);
  admin_put (cluster, path, spec);
}

static void
put_pipeline (const cluster_t *cluster, int pipeline)
{
  el_buf_t spec = { NULL, 0, 0 };
  char name[32];
  int stage;

  el_buf_printf (&spec, "{\"deployment\":\"pool\",\"stages\":[");
  for (stage = 0; stage < STAGES; stage++)
    {
      snprintf (name, sizeof name, "engine-%d-%d", pipeline, stage);
      put_endpoint (cluster, name, &cluster->engines[pipeline][stage],
                    "engine");
      el_buf_printf (&spec, "%s{\"endpoint\":\"%s\",\"first\":%d,\"last\":%d}",
                     stage ? "," : "", name, stage * LAYERS / STAGES,
                     (stage + 1) * LAYERS / STAGES - 1);
    }
  el_buf_printf (&spec, "]}");
  snprintf (name, sizeof name, "pipelines/line-%d", pipeline);
  admin_put (cluster, name, spec.ptr);
  el_buf_free (&spec);
}

/** Creates all resources and waits until every host has applied them. */
void
cluster_configure (cluster_t *cluster)
{
  uint64_t revision;
  json_t *stats;
  size_t i;

  admin_put (cluster, "deployments/pool",
             "{\"model\":\"sprach\",\"layers\":12}");
  put_pipeline (cluster, 0);
  put_pipeline (cluster, 1);
  put_endpoint (cluster, "zahl-1", &cluster->workers[0], "worker");
  put_endpoint (cluster, "zahl-2", &cluster->workers[1], "worker");
  admin_put (cluster, "services/zahl-app",
             "{\"endpoints\":[\"zahl-1\",\"zahl-2\"]}");
  /* SHA-256 of CUSTOMER_KEY */
  admin_put (cluster, "customers/parking",
             "{\"keyHash\":\""
             "aa9f634ae7d257be86600c4181e28496890cfb8b5a50d17ed94e4f504a06b5db"
             "\"}");
  stats = http_get_json (cluster->platform.address, "/stats");
  revision
      = (uint64_t)json_integer_value (json_object_get (stats, "revision"));
  json_decref (stats);
  for (i = 0; i < cluster->nhosts; i++)
    metric_wait_min (&cluster->hosts[i], "elmarch_config_revision", revision);
}

/** Sends a signal to a process and waits until it has exited. Returns its exit
    status, or minus the signal that killed it. Only a process that the test
    has stopped is continued: the leak check at process exit stops the process
    to inspect it, and a SIGCONT that arrives then undoes that stop and hangs
    the check. */
int
proc_end (proc_t *proc, int signal)
{
  int status = 0;

  if (!proc->pid)
    return 0;
  if (proc->stopped)
    proc_signal (proc, SIGCONT);
  kill (proc->pid, signal);
  waitpid (proc->pid, &status, 0);
  proc->pid = 0;
  return WIFEXITED (status) ? WEXITSTATUS (status) : -WTERMSIG (status);
}

/** Kills a process without waiting until it has exited. */
void
proc_kill (const proc_t *proc)
{
  kill (proc->pid, SIGKILL);
}

/** Kills a process and waits until it has exited, but does not reap it. */
void
proc_kill_wait (const proc_t *proc)
{
  siginfo_t info;

  proc_kill (proc);
  ck_assert_int_eq (waitid (P_PID, (id_t)proc->pid, &info, WEXITED | WNOWAIT),
                    0);
}

void
proc_signal (proc_t *proc, int signal)
{
  ck_assert_int_eq (kill (proc->pid, signal), 0);
  if (signal == SIGSTOP || signal == SIGCONT)
    proc->stopped = signal == SIGSTOP;
}

/** Ends all processes. Hosts drain, and must exit with status 0, that is
    without a leak. */
void
cluster_stop (cluster_t *cluster)
{
  int pipeline;
  int stage;
  size_t i;

  for (i = 0; i < cluster->nhosts; i++)
    ck_assert_msg (proc_end (&cluster->hosts[i], SIGTERM) == 0,
                   "host %zu did not end cleanly", i);
  for (pipeline = 0; pipeline < PIPELINES; pipeline++)
    for (stage = 0; stage < STAGES; stage++)
      proc_end (&cluster->engines[pipeline][stage], SIGKILL);
  proc_end (&cluster->workers[0], SIGKILL);
  proc_end (&cluster->workers[1], SIGKILL);
  proc_end (&cluster->platform, SIGKILL);
}

static size_t
append_body (char *data, size_t size, size_t n, void *arg)
{
  el_buf_add (arg, (el_str_t){ data, size * n });
  return size * n;
}

static int
caller_is_paused (caller_t *caller)
{
  int paused;

  pthread_mutex_lock (&caller->lock);
  paused = caller->paused;
  pthread_mutex_unlock (&caller->lock);
  return paused;
}

static size_t
caller_append_body (char *data, size_t size, size_t n, void *arg)
{
  caller_t *caller = arg;
  int disconnect;

  pthread_mutex_lock (&caller->lock);
  el_buf_add (&caller->reply.body, (el_str_t){ data, size * n });
  disconnect = caller->disconnect;
  pthread_mutex_unlock (&caller->lock);
  while (caller_is_paused (caller))
    poll_sleep ();
  return disconnect ? 0 : size * n;
}

/* Limits how much of a response is buffered for a paused caller. */
static int
limit_receive_buffer (void *arg, curl_socket_t fd, curlsocktype purpose)
{
  int bytes = 65536;

  (void)arg;
  (void)purpose;
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  return CURL_SOCKOPT_OK;
}

static void
http_perform (const char *method, const char *url, const char *body,
              char *const *headers, reply_t *reply, caller_t *caller)
{
  CURL *curl = curl_easy_init ();
  struct curl_slist *list
      = curl_slist_append (NULL, "authorization: Bearer " CUSTOMER_KEY);
  size_t i;

  for (i = 0; headers && headers[i]; i++)
    {
      if (strncmp (headers[i], "authorization:", 14) == 0)
        {
          curl_slist_free_all (list);
          list = NULL;
        }
      list = curl_slist_append (list, headers[i]);
    }
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, list);
  if (use_http2)
    curl_easy_setopt (curl, CURLOPT_HTTP_VERSION,
                      (long)CURL_HTTP_VERSION_2_PRIOR_KNOWLEDGE);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_FOLLOWLOCATION, 1L);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT, 60L);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, append_body);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, &reply->head);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION,
                    caller ? caller_append_body : append_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA,
                    caller ? (void *)caller : (void *)&reply->body);
  if (body)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  if (caller && caller_is_paused (caller))
    curl_easy_setopt (curl, CURLOPT_SOCKOPTFUNCTION, limit_receive_buffer);
  reply->status = 0;
  if (curl_easy_perform (curl) == CURLE_OK)
    curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &reply->status);
  curl_slist_free_all (list);
  curl_easy_cleanup (curl);
}

/** Sends a request and waits for the response. */
void
http_request (const char *method, const char *address, const char *path,
              const char *body, const char *const *headers, reply_t *reply)
{
  char url[512];

  memset (reply, 0, sizeof *reply);
  snprintf (url, sizeof url, "http://%s%s", address, path);
  http_perform (method, url, body, (char *const *)(uintptr_t)headers, reply,
                NULL);
}

void
reply_free (reply_t *reply)
{
  el_buf_free (&reply->head);
  el_buf_free (&reply->body);
}

/** Copies the value of a response header. NAME is in lower case. OUT is empty
    if the header is missing. */
void
reply_header (const reply_t *reply, const char *name, char *out, size_t size)
{
  const char *at = reply->head.ptr ? strstr (reply->head.ptr, name) : NULL;

  out[0] = '\0';
  if (!at)
    return;
  snprintf (out, size, "%s", at + strlen (name) + 2);
  out[strcspn (out, "\r\n")] = '\0';
}

json_t *
http_get_json (const char *address, const char *path)
{
  reply_t reply;
  json_t *json;

  http_request ("GET", address, path, NULL, NULL, &reply);
  json = json_loadb (reply.body.ptr ? reply.body.ptr : "", reply.body.len, 0,
                     NULL);
  reply_free (&reply);
  return json;
}

/** Sets the fault that a stand-in injects. */
void
set_fault (const proc_t *proc, const char *json)
{
  reply_t reply;

  http_request ("PUT", proc->address, "/fault", json, NULL, &reply);
  ck_assert_int_eq (reply.status, 204);
  reply_free (&reply);
}

/** Sends a request to the admin API. Returns the status. */
long
admin_request (const cluster_t *cluster, size_t host, const char *method,
               const char *path, const char *body, reply_t *reply)
{
  static const char *const headers[]
      = { "authorization: Bearer " OPERATOR_KEY, NULL };
  char full[256];

  snprintf (full, sizeof full, "/admin/v1/%s", path);
  http_request (method, cluster->hosts[host].address, full, body, headers,
                reply);
  return reply->status;
}

uint64_t
metric_value (const proc_t *host, const char *name)
{
  reply_t reply;
  uint64_t value = 0;
  char want[128];
  const char *at;

  snprintf (want, sizeof want, "\n%s ", name);
  http_request ("GET", host->address, "/metrics", NULL, NULL, &reply);
  at = reply.body.ptr ? strstr (reply.body.ptr, want) : NULL;
  if (at)
    value = strtoull (at + strlen (want), NULL, 10);
  reply_free (&reply);
  return value;
}

/** Waits until a host's metric is MIN or more. */
void
metric_wait_min (const proc_t *host, const char *name, uint64_t min)
{
  uint64_t value = 0;
  int i;

  for (i = 0; i < WAIT_STEPS_MAX; i++)
    {
      value = metric_value (host, name);
      if (value >= min)
        return;
      poll_sleep ();
    }
  ck_abort_msg ("%s: %s stays at %" PRIu64 ", not %" PRIu64, host->address,
                name, value, min);
}

/** Waits until a host's metric equals VALUE. */
void
metric_wait_value (const proc_t *host, const char *name, uint64_t value)
{
  uint64_t seen = 0;
  int i;

  for (i = 0; i < WAIT_STEPS_MAX; i++)
    {
      seen = metric_value (host, name);
      if (seen == value)
        return;
      poll_sleep ();
    }
  ck_abort_msg ("%s: %s stays at %" PRIu64 ", not %" PRIu64, host->address,
                name, seen, value);
}

static void *
caller_run (void *arg)
{
  caller_t *caller = arg;

  http_perform (caller->method, caller->url, caller->body, caller->headers,
                &caller->reply, caller);
  pthread_mutex_lock (&caller->lock);
  caller->done = 1;
  pthread_mutex_unlock (&caller->lock);
  return NULL;
}

/** Starts a request in a thread. If PAUSED, it stops reading after the first
    chunk of the body until caller_resume. */
void
caller_start (caller_t *caller, const char *address, const char *path,
              const char *body, const char *const *headers, int paused)
{
  size_t i;

  memset (caller, 0, sizeof *caller);
  caller->paused = paused;
  pthread_mutex_init (&caller->lock, NULL);
  snprintf (caller->method, sizeof caller->method, "%s",
            !body                      ? "GET"
            : strstr (path, "/admin/") ? "PUT"
                                       : "POST");
  snprintf (caller->url, sizeof caller->url, "http://%s%s", address, path);
  caller->body = body ? strdup (body) : NULL;
  for (i = 0; headers && headers[i]; i++)
    caller->headers[i] = strdup (headers[i]);
  pthread_create (&caller->thread, NULL, caller_run, caller);
}

/** Waits until BYTES of the body have arrived. Fails if the response is
    shorter. */
void
caller_wait_body (caller_t *caller, size_t bytes)
{
  size_t len = 0;
  int done = 0;
  int i;

  for (i = 0; i < WAIT_STEPS_MAX && len < bytes && !done; i++)
    {
      pthread_mutex_lock (&caller->lock);
      len = caller->reply.body.len;
      done = caller->done;
      pthread_mutex_unlock (&caller->lock);
      poll_sleep ();
    }
  ck_assert_uint_ge (len, bytes);
}

/** Lets a paused caller continue reading. */
void
caller_resume (caller_t *caller)
{
  pthread_mutex_lock (&caller->lock);
  caller->paused = 0;
  pthread_mutex_unlock (&caller->lock);
}

void
caller_disconnect (caller_t *caller)
{
  pthread_mutex_lock (&caller->lock);
  caller->disconnect = 1;
  pthread_mutex_unlock (&caller->lock);
}

void
caller_join (caller_t *caller)
{
  size_t i;

  pthread_join (caller->thread, NULL);
  free (caller->body);
  for (i = 0; i < 4; i++)
    free (caller->headers[i]);
}

char *
chat_body (const char *content, int stream, int max_tokens,
           const uint64_t *resume, size_t nresume)
{
  json_t *json = json_pack ("{s:s,s:[{s:s,s:s}],s:b,s:i}", "model", "sprach",
                            "messages", "role", "user", "content", content,
                            "stream", stream, "max_tokens", max_tokens);
  json_t *list = json_array ();
  char *text;
  size_t i;

  for (i = 0; i < nresume; i++)
    json_array_append_new (list, json_integer ((json_int_t)resume[i]));
  if (nresume)
    json_object_set (json, "resume_tokens", list);
  text = json_dumps (json, JSON_COMPACT);
  json_decref (list);
  json_decref (json);
  return text;
}

/** Extracts at most MAX tokens of a stream's events. DONE is set if the stream
    has its end marker. */
size_t
stream_tokens (const el_buf_t *raw, uint64_t *tokens, size_t max, int *done)
{
  el_str_t rest = el_buf_str (raw);
  el_str_t line;
  size_t n = 0;

  *done = 0;
  while (rest.len)
    {
      json_t *json;
      json_t *token;

      line = el_str_cut (&rest, '\n');
      *done |= el_str_eq (line, EL_STR ("data: [DONE]"));
      if (!el_str_starts_with (line, EL_STR ("data: {")))
        continue;
      json = json_loadb (line.ptr + 6, line.len - 6, 0, NULL);
      token = json_object_get (json_object_get (json, "elmarch"), "token");
      if (token && n < max)
        tokens[n++] = (uint64_t)json_integer_value (token);
      json_decref (json);
    }
  return n;
}

/** Opens a session and writes its request header. */
void
session_open (const proc_t *host, char *header, size_t size)
{
  reply_t reply;
  json_t *json;

  http_request ("POST", host->address, "/v1/sessions", "", NULL, &reply);
  ck_assert_int_eq (reply.status, 201);
  json = json_loadb (reply.body.ptr, reply.body.len, 0, NULL);
  snprintf (header, size, "x-elmarch-session: %s",
            json_string_value (json_object_get (json, "session")));
  json_decref (json);
  reply_free (&reply);
}

/** Number of times that a worker ran a payment. */
json_int_t
payment_runs (const proc_t *worker, const char *id)
{
  json_t *json = http_get_json (worker->address, "/runs");
  json_int_t n = json_integer_value (json_object_get (json, id));

  json_decref (json);
  return n;
}
