/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * What the scripts of review/ share: blocking HTTP/1.1 over loopback, child
 * processes, the platform's store and the record of a run.
 */
#ifndef RIG_H
#define RIG_H

#include <stddef.h>
#include <sys/types.h>

#define ADDRESS_MAX 32
#define HEAD_MAX 16384
#define HOSTS_MAX 8

/** A request as a server reads it, or a response as a client reads it. */
typedef struct message
{
  char head[HEAD_MAX]; /**< start line and headers */
  char *body;
  size_t len;
  int status; /**< of a response; 0: none came */
  int whole;  /**< the body is complete */
} message_t;

/** A connection with what was read ahead on it. */
typedef struct conn
{
  int fd;
  char buf[65536];
  size_t n;
} conn_t;

/** A host under test. */
typedef struct host
{
  char listen[ADDRESS_MAX];
  char peer[ADDRESS_MAX];
  char entry[ADDRESS_MAX];
  char ready[ADDRESS_MAX];
  char directory[ADDRESS_MAX];
  pid_t pid;
  int status; /**< as waitpid gives it */
  int ended;  /**< it ended by itself */
  double ended_at;
} host_t;

/** The processes of a run. */
typedef struct site
{
  char store[ADDRESS_MAX];
  pid_t store_pid;
  host_t hosts[HOSTS_MAX];
  size_t nhosts;
} site_t;

/* Time and record. */
double now_s (void);
void sleep_s (double seconds);
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
int trouble (void);

/* Connections. */
void address_free (char *out);
int server_open (const char *address);
conn_t *conn_open (const char *address, double timeout);
conn_t *conn_accept (int server);
void conn_close (conn_t *conn);
int conn_write (conn_t *conn, const void *bytes, size_t len);
int conn_gone (conn_t *conn);
int message_read (conn_t *conn, message_t *out, int response);
const char *message_header (const message_t *message, const char *name,
                            char *out, size_t size);
void message_free (message_t *message);

/* Processes and the site. */
pid_t child_start (const char *const *args, const char *log);
void child_kill (pid_t *pid);
int store_put (const char *store, const char *key, const char *value);
void store_delete (const char *store, const char *key);
int site_start (site_t *site, size_t nhosts, const char *config);
int site_hosts_start (site_t *site);
size_t site_reap (site_t *site);
void site_end (site_t *site);

/* Stand-ins for servers, each a process of its own. */
int engine_main (int argc, char **argv);
int service_main (int argc, char **argv);

/* The cases. They return the exit status of their scripts. */
int case_1 (void);
int case_2 (void);
int case_3 (void);

#endif
