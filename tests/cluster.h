/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Real processes for the tests: a platform, engines, workers, hosts and
 * callers. The wait functions poll for a condition; their limit is far
 * above what it takes.
 */
#ifndef ELMARCH_CLUSTER_H
#define ELMARCH_CLUSTER_H

#include <pthread.h>
#include <sys/types.h>

#include <jansson.h>

#include "base.h"

/** Directory of the programs unless ELMARCH_TEST_BIN names another. */
#define BIN_DIR_DEFAULT "build/san/bin"
#define PIPELINES 2
#define STAGES 3
#define HOSTS_MAX 9
#define LAYERS 12
/** Maximum number of polls of a wait function: 30 s. */
#define WAIT_STEPS_MAX 6000
#define CUSTOMER_KEY "a-customer's-key"

typedef enum role
{
  ROLE_PLATFORM,
  ROLE_ENGINE,
  ROLE_SERVICE,
  ROLE_HOST
} role_t;

typedef struct proc
{
  pid_t pid; /* 0 until it is started and after it is reaped */
  char address[32];
  int stopped; /* by proc_signal, with SIGSTOP */
} proc_t;

typedef struct cluster
{
  proc_t platform;
  proc_t engines[PIPELINES][STAGES];
  proc_t workers[2];
  proc_t hosts[HOSTS_MAX];
  size_t nhosts;
  uint64_t step_us;
  const char *extra_flags[8]; /* more flags for the hosts */
} cluster_t;

/** An HTTP response. */
typedef struct reply
{
  long status; /* 0: no response */
  el_buf_t head;
  el_buf_t body;
} reply_t;

/** An HTTP request that runs in its own thread. */
typedef struct caller
{
  pthread_t thread;
  pthread_mutex_t lock;
  char method[8];
  char url[256];
  char *body;
  char *headers[4];
  int disconnect; /* close the connection at the next chunk of the body */
  int paused;     /* stop reading the response */
  int done;
  reply_t reply;
} caller_t;

#define CHAT_PATH "/v1/chat/completions"
#define PAY_PATH "/services/zahl-app/pay"
#define PROMPT "Which visit is next?"
#define MAX_TOKENS 20

/** Processes of the current test. */
extern cluster_t fixture;

/** Makes all requests use HTTP/2. */
extern int use_http2;

void poll_sleep (void);
void address_set (proc_t *proc, unsigned last);
void proc_spawn (proc_t *proc, const char **args);
void proc_wait_ready (const proc_t *proc, const char *path);
void cluster_start (cluster_t *cluster, size_t nhosts);
void cluster_configure (cluster_t *cluster);
void cluster_stop (cluster_t *cluster);
void engine_start (cluster_t *cluster, int pipeline, int stage);
void worker_start (cluster_t *cluster, int i);
void platform_start (cluster_t *cluster);
void host_start (cluster_t *cluster, size_t i);
int proc_end (proc_t *proc, int signal);
void proc_kill (const proc_t *proc);
void proc_kill_wait (const proc_t *proc);
void proc_signal (proc_t *proc, int signal);

void http_request (const char *method, const char *address, const char *path,
                   const char *body, const char *const *headers,
                   reply_t *reply);
void reply_free (reply_t *reply);
void reply_header (const reply_t *reply, const char *name, char *out,
                   size_t size);
json_t *http_get_json (const char *address, const char *path);
void set_fault (const proc_t *proc, const char *json);
long admin_request (const cluster_t *cluster, size_t host, const char *method,
                    const char *path, const char *body, reply_t *reply);
uint64_t metric_value (const proc_t *host, const char *name);
void metric_wait_min (const proc_t *host, const char *name, uint64_t min);
void metric_wait_value (const proc_t *host, const char *name, uint64_t value);

void caller_start (caller_t *caller, const char *address, const char *path,
                   const char *body, const char *const *headers, int paused);
void caller_wait_body (caller_t *caller, size_t bytes);
void caller_disconnect (caller_t *caller);
void caller_resume (caller_t *caller);
void caller_join (caller_t *caller);

char *chat_body (const char *content, int stream, int max_tokens,
                 const uint64_t *resume, size_t nresume);
size_t stream_tokens (const el_buf_t *raw, uint64_t *tokens, size_t max,
                      int *done);
void session_open (const proc_t *host, char *header, size_t size);
json_int_t payment_runs (const proc_t *worker, const char *id);
json_int_t payment_runs_total (const char *id);
void cluster_setup (void);
void cluster_teardown (void);
void assert_chat_stream (const reply_t *reply, size_t skip);
void assert_verdict (const reply_t *reply, long status, const char *want);
void send_payment (size_t host, const char *id, const char *const *headers,
                   reply_t *reply);
void entry_hosts_wait (size_t host, size_t want);

#endif
