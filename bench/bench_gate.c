/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Overhead of a host, measured against direct calls of the stand-ins in the
 * same run. Usage: bench_gate HOST HOST-PID KEY SERVICE ENGINE-1 ENGINE-2
 * ENGINE-3
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "bench.h"
#include "net.h"

#define STAGES 3
#define LAYERS 12
#define TOKENS 32
#define ROUNDS 60
#define LOAD_ROUNDS 2400
#define CALL_ROUNDS 20000
#define CONCURRENCY 64
#define TEXT_MAX 1024

typedef struct bench
{
  uv_loop_t loop;
  net_clock_t clock;
  net_client_t *client;
  const char *host;
  const char *service;
  const char *engines[STAGES];
  char bearer[256];
  long pid;
  net_header_t headers[1];
  unsigned remaining;
  unsigned running;
  unsigned failed;
  int ended;
  el_buf_t body;
  int status;
  el_hist_t *latencies;
} bench_t;

typedef struct load_request
{
  bench_t *bench;
  uint64_t began;
  const net_request_t *send;
} load_request_t;

static void send_next (bench_t *bench, const net_request_t *send);

static void
on_response (void *arg, const net_result_t *result)
{
  bench_t *bench = arg;

  bench->ended = 1;
  bench->status = result->net == NET_OK ? result->status : 0;
  el_buf_reset (&bench->body);
  el_buf_add (&bench->body, result->body);
}

/* Sends a request and waits for the response; returns whether it is 200. */
static int
send_and_wait (bench_t *bench, const char *address, const char *method,
               const char *path, el_str_t body)
{
  net_request_t send = { .address = el_str (address),
                         .method = el_str (method),
                         .path = el_str (path),
                         .headers = bench->headers,
                         .nheaders = 1,
                         .body = body,
                         .done = on_response,
                         .arg = bench };

  bench->ended = 0;
  net_client_send (bench->client, &send);
  while (!bench->ended)
    uv_run (&bench->loop, UV_RUN_ONCE);
  return bench->status == 200;
}

/* Runs one stage of a step as a host would; returns the input of the next
   stage. */
static json_t *
run_stage (bench_t *bench, unsigned session, unsigned step, int i,
           json_t *prev)
{
  char name[32];
  json_t *call;
  json_t *answer;
  char *text;

  snprintf (name, sizeof name, "direct-%u", session);
  call = json_pack ("{s:s,s:i,s:i,s:i,s:i,s:i,s:i,s:b}", "session", name,
                    "attempt", 1, "step", (int)step, "first",
                    i * LAYERS / STAGES, "last", (i + 1) * LAYERS / STAGES - 1,
                    "generation", 1, "priority", 1, "final", i == STAGES - 1);
  if (i > 0)
    json_object_set (call, "hidden", json_object_get (prev, "hidden"));
  else if (step > 0)
    json_object_set_new (call, "feed",
                         json_pack ("[O]", json_object_get (prev, "token")));
  else
    json_object_set_new (call, "prompt", json_pack ("{s:s}", "text", "hi"));
  text = json_dumps (call, JSON_COMPACT);
  if (!send_and_wait (bench, bench->engines[i], "POST", "/v1/stage",
                      el_str (text)))
    bench->failed++;
  answer = json_loadb (bench->body.ptr, bench->body.len, 0, NULL);
  free (text);
  json_decref (call);
  json_decref (prev);
  return answer;
}

static uint64_t
direct_chat (bench_t *bench, unsigned session)
{
  uint64_t began = bench_ns ();
  json_t *prev = NULL;
  unsigned step;
  int i;

  for (step = 0; step < TOKENS; step++)
    for (i = 0; i < STAGES; i++)
      prev = run_stage (bench, session, step, i, prev);
  json_decref (prev);
  return bench_ns () - began;
}

static void
chat_text (char *out, size_t size, int stream)
{
  snprintf (out, size,
            "{\"model\":\"sprach\",\"max_tokens\":%d,\"stream\":%s,"
            "\"messages\":[{\"role\":\"user\",\"content\":\"a prompt\"}]}",
            TOKENS, stream ? "true" : "false");
}

/* Number of tokens in the last chat's answer. */
static unsigned
chat_tokens (bench_t *bench)
{
  json_t *json = json_loadb (bench->body.ptr, bench->body.len, 0, NULL);
  unsigned n = (unsigned)json_integer_value (
      json_object_get (json_object_get (json, "usage"), "completion_tokens"));

  json_decref (json);
  return n;
}

static int
compare_u64 (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;

  return (x > y) - (x < y);
}

static uint64_t
median (uint64_t *list, size_t n)
{
  qsort (list, n, sizeof *list, compare_u64);
  return list[n / 2];
}

static void
measure_latency (bench_t *bench)
{
  uint64_t direct[ROUNDS];
  uint64_t routed[ROUNDS];
  char body[TEXT_MAX];
  unsigned tokens = TOKENS;
  unsigned i;

  chat_text (body, sizeof body, 0);
  for (i = 0; i < ROUNDS; i++)
    {
      uint64_t began;

      direct[i] = direct_chat (bench, i);
      began = bench_ns ();
      if (!send_and_wait (bench, bench->host, "POST", "/v1/chat/completions",
                          el_str (body)))
        bench->failed++;
      routed[i] = bench_ns () - began;
      tokens = chat_tokens (bench);
    }
  printf ("bench=step tokens=%u stages=%d direct_us_per_token=%.1f "
          "routed_us_per_token=%.1f added_us_per_token=%.1f failed=%u\n",
          tokens, STAGES, (double)median (direct, ROUNDS) / TOKENS / 1e3,
          (double)median (routed, ROUNDS) / tokens / 1e3,
          (double)median (routed, ROUNDS) / tokens / 1e3
              - (double)median (direct, ROUNDS) / TOKENS / 1e3,
          bench->failed);
  for (i = 0; i < ROUNDS; i++)
    {
      uint64_t began = bench_ns ();

      send_and_wait (bench, bench->service, "GET", "/runs", EL_STR (""));
      direct[i] = bench_ns () - began;
      began = bench_ns ();
      send_and_wait (bench, bench->host, "GET", "/services/zahl-app/runs",
                     EL_STR (""));
      routed[i] = bench_ns () - began;
    }
  printf ("bench=request direct_us=%.1f routed_us=%.1f added_us=%.1f\n",
          (double)median (direct, ROUNDS) / 1e3,
          (double)median (routed, ROUNDS) / 1e3,
          ((double)median (routed, ROUNDS) - (double)median (direct, ROUNDS))
              / 1e3);
}

/* Returns the host's CPU time in seconds and sets its resident memory in KB.
 */
static double
host_cpu (const bench_t *bench, long *rss_kb)
{
  char path[64];
  unsigned long user = 0;
  unsigned long system = 0;
  long pages = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%ld/stat", bench->pid);
  file = fopen (path, "r");
  if (file)
    {
      if (fscanf (file,
                  "%*d %*s %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu "
                  "%lu %*d %*d %*d %*d %*d %*d %*u %*u %ld",
                  &user, &system, &pages)
          != 3)
        pages = 0;
      fclose (file);
    }
  *rss_kb = pages * (sysconf (_SC_PAGESIZE) / 1024);
  return (double)(user + system) / (double)sysconf (_SC_CLK_TCK);
}

static void
request_done (void *arg, const net_result_t *result)
{
  load_request_t *load_request = arg;
  bench_t *bench = load_request->bench;

  el_hist_add (bench->latencies, (bench_ns () - load_request->began) / 1000);
  if (result->net != NET_OK || result->status != 200)
    bench->failed++;
  bench->running--;
  send_next (bench, load_request->send);
  free (load_request);
}

static void
send_next (bench_t *bench, const net_request_t *send)
{
  net_request_t next = *send;
  load_request_t *load_request;

  if (!bench->remaining)
    return;
  bench->remaining--;
  bench->running++;
  load_request = el_alloc (sizeof *load_request);
  load_request->bench = bench;
  load_request->began = bench_ns ();
  load_request->send = send;
  next.done = request_done;
  next.arg = load_request;
  net_client_send (bench->client, &next);
}

static void
measure_load (bench_t *bench, const char *name, const char *method,
              const char *path, const char *body, unsigned rounds)
{
  net_request_t send = { .address = el_str (bench->host),
                         .method = el_str (method),
                         .path = el_str (path),
                         .headers = bench->headers,
                         .nheaders = 1,
                         .body = el_str (body) };
  uint64_t began = bench_ns ();
  long rss;
  double cpu = host_cpu (bench, &rss);
  double seconds;
  unsigned i;

  memset (bench->latencies, 0, sizeof *bench->latencies);
  bench->failed = 0;
  bench->remaining = rounds;
  for (i = 0; i < CONCURRENCY; i++)
    send_next (bench, &send);
  while (bench->running)
    uv_run (&bench->loop, UV_RUN_ONCE);
  seconds = (double)(bench_ns () - began) / 1e9;
  cpu = host_cpu (bench, &rss) - cpu;
  printf ("bench=load work=%s concurrency=%d requests=%u failed=%u "
          "per_second=%.0f host_cpu_us_per_request=%.1f host_cores=%.2f "
          "host_rss_kb=%ld p50_us=%" PRIu64 " p95_us=%" PRIu64
          " p99_us=%" PRIu64 "\n",
          name, CONCURRENCY, rounds, bench->failed, rounds / seconds,
          cpu / rounds * 1e6, cpu / seconds, rss,
          el_hist_quantile (bench->latencies, 0.5),
          el_hist_quantile (bench->latencies, 0.95),
          el_hist_quantile (bench->latencies, 0.99));
}

int
main (int argc, char **argv)
{
  bench_t bench;
  char body[TEXT_MAX];
  int i;

  if (argc != 5 + STAGES)
    return EL_EXIT_USAGE;
  memset (&bench, 0, sizeof bench);
  uv_loop_init (&bench.loop);
  net_clock_init (&bench.clock, &bench.loop);
  bench.client = net_client_new (&bench.clock);
  bench.latencies = el_alloc (sizeof *bench.latencies);
  bench.host = argv[1];
  bench.pid = strtol (argv[2], NULL, 10);
  snprintf (bench.bearer, sizeof bench.bearer, "Bearer %s", argv[3]);
  bench.headers[0]
      = (net_header_t){ EL_STR ("authorization"), el_str (bench.bearer) };
  bench.service = argv[4];
  for (i = 0; i < STAGES; i++)
    bench.engines[i] = argv[5 + i];
  measure_latency (&bench);
  chat_text (body, sizeof body, 0);
  measure_load (&bench, "call", "GET", "/services/zahl-app/runs", "",
                CALL_ROUNDS);
  measure_load (&bench, "chat", "POST", "/v1/chat/completions", body,
                LOAD_ROUNDS);
  return EXIT_SUCCESS;
}
