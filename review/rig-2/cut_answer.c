/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Answers without a length from a worker that is killed before their end, and
 * is there again, as a new instance, before a host that stood still meanwhile
 * goes on.
 *
 * Usage: cut_answer RECORD. With TROUBLE=0 no worker is killed, and no host
 * stands still. With ALONE=1 no host stands still, and the worker is started
 * again at once.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "rig.h"

#define HOSTS 3
#define ROUNDS 8
#define ANSWER_MS 4
#define PAGE_ITEMS 50
/* An answer has PIECES pieces of PIECE_BYTES bytes, PIECE_INTERVAL_MS apart.
 */
#define PIECES 4
#define PIECE_BYTES 900
#define PIECE_INTERVAL_MS 100
/* How long the worker is down, and how long the host still stands then. */
#define DOWN_MS 500
#define STILL_MS 100
/* An entry goes after three missed beats. */
#define ENTRY_MS 3600
/* Time for the hosts to learn of the new instance. */
#define ROUND_MS 4500
#define BODY_MAX 65536

typedef struct worker
{
  char id[RG_ID_MAX];
  char address[RG_ADDRESS_MAX];
  unsigned boots;
  pid_t pid;
  int pieces; /* a byte for each first piece that was sent */
} worker_t;

static rg_store_t *store;
static rg_host_t hosts[HOSTS];
static worker_t worker;

/* The worker's process. */

static void
answer_run (int fd, const char *id, const char *request, int pieces)
{
  char text[PIECE_BYTES + 1];
  unsigned i;
  int len = snprintf (text, sizeof text,
                      "HTTP/1.1 200 OK\r\nX-Elmarch-Request-Id: %s\r\n"
                      "X-Elmarch-Response-Seal: %s.%s.%d\r\n"
                      "Connection: close\r\n\r\n",
                      request, id, request, PIECES * PIECE_BYTES);

  rg_send (fd, text, (size_t)len);
  memset (text, 'a', PIECE_BYTES);
  for (i = 0; i < PIECES; i++)
    {
      rg_send (fd, text, PIECE_BYTES);
      if (i == 0 && write (pieces, "p", 1) != 1)
        abort ();
      rg_sleep (PIECE_INTERVAL_MS);
    }
}

static void
worker_serve (int fd, void *arg)
{
  const worker_t *self = arg;
  rg_message_t message;
  char request[RG_ID_MAX];
  char expected[RG_ID_MAX];
  char text[256];
  int len;

  if (!rg_receive (fd, &message))
    return;
  if (rg_health_serve (fd, &message, self->id))
    {
      rg_message_free (&message);
      return;
    }
  rg_header (&message, "x-elmarch-request-id", request, sizeof request);
  if (rg_header (&message, "x-elmarch-expect-instance", expected,
                 sizeof expected)
      && strcmp (expected, self->id) != 0)
    {
      len = snprintf (text, sizeof text,
                      "HTTP/1.1 421 Misdirected Request\r\n"
                      "X-Elmarch-Request-Id: %s\r\n"
                      "X-Elmarch-Not-Executed: 1\r\n"
                      "X-Elmarch-Instance-Id: %s\r\n"
                      "Content-Length: 0\r\nConnection: close\r\n\r\n",
                      request, self->id);
      rg_send (fd, text, (size_t)len);
    }
  else
    answer_run (fd, self->id, request, self->pieces);
  rg_message_free (&message);
}

static void
worker_boot (void)
{
  const rg_entry_t entry = { .id = worker.id,
                             .service = "app",
                             .address = worker.address,
                             .hall = "bern-halle" };
  int pieces[2];

  if (pipe (pieces) != 0)
    rg_unusable ("no pipe");
  snprintf (worker.id, sizeof worker.id, "i-w%03u", ++worker.boots);
  worker.pid = fork ();
  if (worker.pid == 0)
    {
      rg_die_with_parent ();
      worker.pieces = pieces[1];
      rg_listen (worker.address, worker_serve, &worker);
      for (;;)
        pause ();
    }
  close (pieces[1]);
  worker.pieces = pieces[0];
  while (rg_get (worker.address, "/", "X-Elmarch-Expect-Instance: none\r\n")
         != 421)
    rg_sleep (5);
  rg_record ("worker starts %s", worker.id);
  rg_entry_put (store, &entry);
}

static void
worker_kill (void)
{
  rg_record ("worker killed %s", worker.id);
  kill (worker.pid, SIGKILL);
  waitpid (worker.pid, NULL, 0);
  close (worker.pieces);
}

/* The client. */

typedef struct answer
{
  char id[RG_ID_MAX];
  unsigned host;
  int status;
  size_t bytes;
  int whole; /* it looks whole to the client */
  int sealed;
} answer_t;

/* Reads a body that comes in chunks, or with a length. Sets whether it looks
   whole. */
static void
body_read (const char *head, const char *body, size_t len, answer_t *out)
{
  const char *length = strstr (head, "content-length: ");
  const char *end = body + len;
  unsigned long size;
  char *at;

  if (length)
    {
      out->bytes = len;
      out->whole = len == strtoul (length + 16, NULL, 10);
      return;
    }
  while (body < end)
    {
      size = strtoul (body, &at, 16);
      if (at == body || at + 2 > end)
        return;
      if (size == 0)
        {
          out->whole = 1;
          return;
        }
      body = at + 2 + size + 2;
      if (body > end)
        return;
      out->bytes += size;
    }
}

static void
answer_read (int fd, answer_t *out)
{
  static char text[BODY_MAX];
  size_t len = 0;
  ssize_t n;
  char *head_end;
  char *at;

  while (len + 1 < sizeof text
         && (n = read (fd, text + len, sizeof text - 1 - len)) > 0)
    len += (size_t)n;
  text[len] = '\0';
  head_end = strstr (text, "\r\n\r\n");
  if (!head_end)
    return;
  *head_end = '\0';
  for (at = text; *at; at++)
    if (*at >= 'A' && *at <= 'Z')
      *at = (char)(*at - 'A' + 'a');
  out->status = (int)strtol (text + 9, NULL, 10);
  out->sealed = strstr (text, "x-elmarch-response-seal:") != NULL;
  body_read (text, head_end + 4, len - (size_t)(head_end + 4 - text), out);
}

static void *
client_run (void *arg)
{
  answer_t *answer = arg;
  char text[512];
  int fd = rg_connect (hosts[answer->host].front);
  int len = snprintf (text, sizeof text,
                      "POST /pay/x HTTP/1.1\r\nHost: rel.example\r\n"
                      "Authorization: Bearer k1\r\n"
                      "X-Elmarch-Request-Id: %s\r\n"
                      "X-Elmarch-Deadline-Ms: 3000\r\n"
                      "Content-Length: 4\r\nConnection: close\r\n\r\nbody",
                      answer->id);

  rg_record ("sent %s to %s", answer->id, hosts[answer->host].name);
  if (fd < 0 || !rg_send (fd, text, (size_t)len))
    return NULL;
  answer_read (fd, answer);
  close (fd);
  rg_record ("answered %s %d, %zu bytes, sealed %d, looks whole %d",
             answer->id, answer->status, answer->bytes, answer->sealed,
             answer->whole);
  return NULL;
}

/* Returns whether the client took a part of an answer for the whole. */
static int
round_run (unsigned number, int trouble, int alone)
{
  answer_t answer = { .host = number % HOSTS };
  char key[RG_ID_MAX + 16];
  pid_t host = hosts[answer.host].pid;
  pthread_t client;
  char byte;

  snprintf (answer.id, sizeof answer.id, "q%u", number);
  snprintf (key, sizeof key, "servers/%s", worker.id);
  if (pthread_create (&client, NULL, client_run, &answer) != 0)
    rg_unusable ("no thread left");
  if (read (worker.pieces, &byte, 1) != 1)
    rg_unusable ("%s did not run", answer.id);
  if (trouble)
    {
      if (!alone)
        {
          rg_record ("stands still %s", hosts[answer.host].name);
          kill (host, SIGSTOP);
        }
      worker_kill ();
      rg_sleep (alone ? 0 : DOWN_MS);
      worker_boot ();
      rg_sleep (STILL_MS);
      if (!alone)
        {
          kill (host, SIGCONT);
          rg_record ("goes on %s", hosts[answer.host].name);
        }
    }
  pthread_join (client, NULL);
  if (trouble)
    {
      rg_sleep (ENTRY_MS - DOWN_MS - STILL_MS);
      rg_store_remove (store, key);
      rg_sleep (ROUND_MS - ENTRY_MS);
    }
  return answer.status == 200 && answer.sealed && answer.whole
         && answer.bytes != PIECES * PIECE_BYTES;
}

static void
site_start (void)
{
  static const char *const halls[HOSTS]
      = { "bern-halle", "olten-halle", "biel-halle" };

  store = rg_store_new (PAGE_ITEMS, ANSWER_MS);
  rg_store_put (
      store, "op/config",
      "{\"Version\":1,\"Routes\":[{\"Name\":\"pay\",\"Host\":\"rel.example\","
      "\"PathPrefix\":\"/pay/\",\"RouteType\":\"unsafe\",\"TimeoutMs\":3000,"
      "\"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\"app\","
      "\"MaxAttempts\":1,\"Public\":false,\"Sticky\":false}],"
      "\"Services\":[{\"Name\":\"app\",\"HealthPath\":\"/health\","
      "\"MaxConns\":110}],"
      "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
      "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
      "\"Tenants\":[{\"Name\":\"parking\",\"ApiKeys\":[\"k1\"],"
      "\"Priority\":1}]}");
  rg_address (worker.address, 20, 8080);
  worker_boot ();
  rg_site_start (hosts, halls, HOSTS, store);
  rg_sleep (1000);
}

int
main (int argc, char **argv)
{
  const char *value = getenv ("TROUBLE");
  int trouble = !value || strcmp (value, "0") != 0;
  int alone = getenv ("ALONE") != NULL;
  unsigned broken = 0;
  unsigned i;

  if (argc != 2)
    return RG_EXIT_UNUSABLE;
  rg_begin (argv[1]);
  site_start ();
  for (i = 0; i < ROUNDS; i++)
    broken += (unsigned)round_run (i, trouble, alone);
  rg_hosts_end ();
  kill (worker.pid, SIGKILL);
  waitpid (worker.pid, NULL, 0);
  printf ("%u of %d answers were a part that looked like the whole\n", broken,
          ROUNDS);
  rg_record ("broken %u of %d", broken, ROUNDS);
  return broken > 0;
}
