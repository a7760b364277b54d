/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Two hosts of a hall, of which one reads the store and the other one asks it.
 * The other one stands still for some 0.6 s. Meanwhile a worker says that it
 * is leaving, another entry and the configuration change, and the store
 * forgets its history, so that the reader has to read all items again, in
 * pages. The host that stood still goes on while they are read.
 *
 * Usage: feed_gap RECORD. With TROUBLE=0 no host stands still and the store
 * forgets nothing.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

/* Bounds.DrainMs and Bounds.ContactMs of the users' pages. */
#define DRAIN_MS 2000
#define CONTACT_MS 3000
/* The store answers after 4 ms; its pages have 50 items, as in the site files.
 */
#define ANSWER_MS 4
#define PAGE_ITEMS 50
/* Workers of a service without requests, and idle routes. */
#define BULK_WORKERS 200
#define IDLE_ROUTES 400
#define HOSTS 3
/* How long the leaving worker serves on, and the time between requests. */
#define SERVES_ON_MS 10000
#define REQUEST_INTERVAL_MS 20
#define REQUESTS_MAX 4096
#define CONFIG_MAX 262144
#define HEADERS                                                               \
  "Host: rel.example\r\nAuthorization: Bearer k1\r\n"                         \
  "X-Elmarch-Deadline-Ms: 3000\r\n"

typedef struct sent
{
  char id[RG_ID_MAX];
  unsigned host;
  uint64_t at;
} sent_t;

typedef struct gap
{
  rg_store_t *store;
  rg_host_t hosts[HOSTS];
  unsigned reader;
  unsigned other;
  rg_worker_t stays;
  rg_worker_t leaves;
  pthread_mutex_t lock;
  sent_t sent[REQUESTS_MAX];
  size_t nsent;
  uint64_t leaving_at; /* the store has taken it; 0: not yet */
  uint64_t calm_from;  /* the hosts are in touch */
  unsigned late[HOSTS];
  unsigned runs[HOSTS];
  int resumed;
  int stop;
} gap_t;

static void
worker_put (gap_t *gap, const rg_worker_t *worker, int leaving)
{
  const rg_entry_t entry = { .id = worker->id,
                             .service = "app",
                             .address = worker->address,
                             .hall = "bern-halle",
                             .leaving = leaving };

  rg_entry_put (gap->store, &entry);
}

static void
bulk_put (gap_t *gap, unsigned i, unsigned cold_ms)
{
  char id[RG_ID_MAX];
  char address[RG_ADDRESS_MAX];
  const rg_entry_t entry = { .id = id,
                             .service = "bulk",
                             .address = address,
                             .hall = "bern-halle",
                             .cold_ms = cold_ms };

  snprintf (id, sizeof id, "i-b%03u", i);
  rg_address (address, 150, 8000 + i);
  rg_entry_put (gap->store, &entry);
}

static void
config_put (gap_t *gap, unsigned version)
{
  static const char *const route
      = "{\"Name\":\"r%u\",\"Host\":\"rel.example\",\"PathPrefix\":\"/%s%u/\","
        "\"RouteType\":\"safe\",\"TimeoutMs\":3000,\"TargetLatencyMs\":300,"
        "\"Priority\":2,\"Service\":\"app\",\"MaxAttempts\":2,"
        "\"Public\":false,\"Sticky\":false}";
  char *text = malloc (CONFIG_MAX);
  char *at = text;
  unsigned i;

  if (!text)
    abort ();
  at += sprintf (at, "{\"Version\":%u,\"Routes\":[", version);
  for (i = 0; i < IDLE_ROUTES; i++)
    {
      at += sprintf (at, i ? "," : "");
      at += sprintf (at, route, i, i ? "idle" : "look", i);
    }
  sprintf (at, "],\"Services\":["
               "{\"Name\":\"app\",\"HealthPath\":\"/health\",\"MaxConns\":"
               "110},{\"Name\":\"bulk\",\"HealthPath\":\"/health\","
               "\"MaxConns\":110}],"
               "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":"
               "4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
               "\"Tenants\":[{\"Name\":\"parking\",\"ApiKeys\":[\"k1\"],"
               "\"Priority\":1}]}");
  rg_store_put (gap->store, "op/config", text);
  free (text);
}

static sent_t *
sent_find (gap_t *gap, const char *id)
{
  size_t i;

  for (i = 0; i < gap->nsent; i++)
    if (strcmp (gap->sent[i].id, id) == 0)
      return &gap->sent[i];
  return NULL;
}

/* A worker runs a request. It is late at the leaving worker if DRAIN_MS have
   passed since the store took that it leaves; only requests sent while all are
   in touch count. */
static void
request_ran (void *arg, const char *worker, const char *id)
{
  gap_t *gap = arg;
  const sent_t *sent;
  int leaving = strcmp (worker, gap->leaves.id) == 0;

  pthread_mutex_lock (&gap->lock);
  sent = sent_find (gap, id);
  rg_record ("ran %s at %s", id, worker);
  if (sent && gap->calm_from && sent->at >= gap->calm_from)
    {
      gap->runs[sent->host]++;
      gap->late[sent->host]
          += leaving && rg_now () > gap->leaving_at + DRAIN_MS;
    }
  pthread_mutex_unlock (&gap->lock);
}

static void
request_send (gap_t *gap, unsigned host)
{
  char headers[512];
  sent_t *sent;
  int status;

  pthread_mutex_lock (&gap->lock);
  if (gap->nsent == REQUESTS_MAX)
    rg_unusable ("too many requests");
  sent = &gap->sent[gap->nsent++];
  *sent = (sent_t){ .host = host, .at = rg_now () };
  snprintf (sent->id, sizeof sent->id, "q%u-%zu", host, gap->nsent);
  pthread_mutex_unlock (&gap->lock);
  rg_record ("sent %s to %s", sent->id, gap->hosts[host].name);
  snprintf (headers, sizeof headers, HEADERS "X-Elmarch-Request-Id: %s\r\n",
            sent->id);
  status = rg_get (gap->hosts[host].front, "/look0/x", headers);
  rg_record ("answered %s %d", sent->id, status);
}

typedef struct client
{
  gap_t *gap;
  unsigned host;
} client_t;

static void *
client_run (void *arg)
{
  const client_t *client = arg;

  while (!client->gap->stop)
    {
      request_send (client->gap, client->host);
      rg_sleep (REQUEST_INTERVAL_MS);
    }
  return NULL;
}

static void
worker_start (gap_t *gap, rg_worker_t *worker, const char *id, unsigned last)
{
  snprintf (worker->id, sizeof worker->id, "%s", id);
  rg_address (worker->address, last, 8080);
  worker->ran = request_ran;
  worker->arg = gap;
  rg_worker_start (worker);
  worker_put (gap, worker, 0);
}

static void
site_start (gap_t *gap)
{
  static const char *const halls[HOSTS]
      = { "bern-halle", "bern-halle", "olten-halle" };
  unsigned i;

  gap->store = rg_store_new (PAGE_ITEMS, ANSWER_MS);
  config_put (gap, 1);
  for (i = 0; i < BULK_WORKERS; i++)
    bulk_put (gap, i, 0);
  worker_start (gap, &gap->stays, "i-y001", 20);
  worker_start (gap, &gap->leaves, "i-z001", 21);
  rg_site_start (gap->hosts, halls, HOSTS, gap->store);
  rg_sleep (CONTACT_MS);
}

/* Which host of the first hall reads the store. */
static void
reader_find (gap_t *gap)
{
  while (!rg_store_is_watched (gap->store, 0)
         && !rg_store_is_watched (gap->store, 1))
    rg_sleep (1);
  gap->reader = rg_store_is_watched (gap->store, 0) ? 0 : 1;
  gap->other = 1 - gap->reader;
  rg_record ("reader %s", gap->hosts[gap->reader].name);
}

static void
other_resume (void *arg)
{
  gap_t *gap = arg;

  kill (gap->hosts[gap->other].pid, SIGCONT);
  rg_record ("goes on %s", gap->hosts[gap->other].name);
  gap->resumed = 1;
}

/* A change that the reader gets by its watch. */
static void
change_seen (gap_t *gap, unsigned i)
{
  rg_store_wait_watch (gap->store, gap->reader);
  bulk_put (gap, i, 1);
  rg_record ("changed %u", i);
  rg_sleep (30);
}

static void
changes_make (gap_t *gap, int trouble)
{
  rg_store_wait_empty_watch (gap->store, gap->reader);
  rg_sleep (20);
  if (trouble)
    {
      kill (gap->hosts[gap->other].pid, SIGSTOP);
      rg_record ("stands still %s", gap->hosts[gap->other].name);
    }
  change_seen (gap, 10);
  change_seen (gap, 11);
  /* The reader collects changes for 0.3 s before it watches again. */
  worker_put (gap, &gap->leaves, 1);
  gap->leaving_at = rg_now ();
  rg_record ("leaving %s", gap->leaves.id);
  bulk_put (gap, 5, 1);
  config_put (gap, 2);
  rg_record ("configured 2");
  if (!trouble)
    return;
  rg_sleep (100);
  rg_store_on_first_page (gap->store, gap->reader, other_resume, gap);
  rg_store_forget (gap->store);
  rg_record ("history forgotten");
  while (!gap->resumed)
    rg_sleep (1);
}

int
main (int argc, char **argv)
{
  static gap_t gap = { .lock = PTHREAD_MUTEX_INITIALIZER };
  const char *trouble = getenv ("TROUBLE");
  client_t clients[2] = { { &gap, 0 }, { &gap, 1 } };
  pthread_t threads[2];
  unsigned i;

  if (argc != 2)
    return RG_EXIT_UNUSABLE;
  rg_begin (argv[1]);
  site_start (&gap);
  reader_find (&gap);
  for (i = 0; i < 2; i++)
    if (pthread_create (&threads[i], NULL, client_run, &clients[i]) != 0)
      rg_unusable ("no thread left");
  rg_sleep (1000);
  changes_make (&gap, !trouble || strcmp (trouble, "0") != 0);
  rg_sleep (CONTACT_MS);
  gap.calm_from = rg_now ();
  rg_sleep (gap.leaving_at + SERVES_ON_MS - rg_now ());
  gap.stop = 1;
  for (i = 0; i < 2; i++)
    pthread_join (threads[i], NULL);
  rg_hosts_end ();
  for (i = 0; i < 2; i++)
    {
      rg_record ("late %s %u of %u", gap.hosts[i].name, gap.late[i],
                 gap.runs[i]);
      printf ("%s%s: %u of %u requests ran at the worker that was leaving for "
              "more than %d ms\n",
              gap.hosts[i].name, i == gap.reader ? " (reader)" : "",
              gap.late[i], gap.runs[i], DRAIN_MS);
      if (!gap.runs[i])
        rg_unusable ("no request ran through %s", gap.hosts[i].name);
    }
  return gap.late[0] + gap.late[1] > 0;
}
