/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Plays crowds of clients from one thread, and reads what a process holds from
 * /proc.
 */
#include "crowd.h"

#include <check.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net.h"

#define SEND_MAX 65536
#define PIECE_BYTES 1000
#define RECEIVED_MAX 4096
/* A crowd has played when this many rounds in a row moved nothing. */
#define QUIET_ROUNDS 200

/** The number of descriptors that a process has open. */
size_t
proc_descriptors (const proc_t *proc)
{
  char path[64];
  size_t n = 0;
  DIR *dir;

  snprintf (path, sizeof path, "/proc/%d/fd", (int)proc->pid);
  dir = opendir (path);
  ck_assert_ptr_nonnull (dir);
  while (readdir (dir))
    n++;
  closedir (dir);
  return n - 2;
}

/** The largest resident size that a process has had, in kilobytes. */
size_t
proc_peak_kb (const proc_t *proc)
{
  char path[64];
  char line[256];
  size_t kb = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/status", (int)proc->pid);
  file = fopen (path, "r");
  ck_assert_ptr_nonnull (file);
  while (fgets (line, sizeof line, file) && !kb)
    if (sscanf (line, "VmHWM: %zu kB", &kb) != 1)
      kb = 0;
  fclose (file);
  ck_assert_uint_gt (kb, 0);
  return kb;
}

static void
client_close (crowd_client_t *client)
{
  if (client->fd >= 0)
    close (client->fd);
  client->fd = -1;
}

static void
client_open (crowd_client_t *client, const char *address)
{
  struct sockaddr_in addr;

  ck_assert (net_address_parse (el_str (address), &addr));
  client->fd = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_ge (client->fd, 0);
  if (connect (client->fd, (struct sockaddr *)&addr, sizeof addr))
    {
      client_close (client);
      return;
    }
  fcntl (client->fd, F_SETFL, O_NONBLOCK);
}

static size_t
crowd_total (const crowd_options_t *o)
{
  return o->head.len + o->repeat + o->tail.len;
}

/* What follows the first SENT bytes, as far as it lies in one piece. */
static el_str_t
crowd_rest (const crowd_options_t *o, size_t sent)
{
  el_str_t rest;
  size_t left;

  if (sent < o->head.len)
    return el_str_after (o->head, sent);
  sent -= o->head.len;
  if (sent >= o->repeat)
    return el_str_after (o->tail, sent - o->repeat);
  rest = el_str_after (o->unit, sent % o->unit.len);
  left = o->repeat - sent;
  if (rest.len > left)
    rest.len = left;
  return rest;
}

/* Sends what the connection takes. Returns whether it took any. */
static int
client_send (crowd_client_t *client, const crowd_options_t *o)
{
  size_t max = o->in_pieces ? PIECE_BYTES : SEND_MAX;
  size_t total = crowd_total (o);
  int moved = 0;

  while (client->fd >= 0 && client->sent < total && max)
    {
      el_str_t rest = crowd_rest (o, client->sent);
      ssize_t n = send (client->fd, rest.ptr, rest.len < max ? rest.len : max,
                        MSG_NOSIGNAL);

      if (n < 0 && errno == EAGAIN)
        break;
      moved = 1;
      if (n < 0)
        client_close (client);
      else
        {
          client->sent += (size_t)n;
          max -= (size_t)n;
        }
    }
  return moved;
}

/* Reads what has arrived. Returns whether there was any. */
static int
client_receive (crowd_client_t *client)
{
  char bytes[SEND_MAX];
  ssize_t n;

  if (client->fd < 0)
    return 0;
  n = recv (client->fd, bytes, sizeof bytes, 0);
  if (n < 0 && errno == EAGAIN)
    return 0;
  if (n <= 0)
    client_close (client);
  else if (client->received.len < RECEIVED_MAX)
    el_buf_add (&client->received, (el_str_t){ bytes, (size_t)n });
  return 1;
}

static int
crowd_round (crowd_t *crowd)
{
  int moved = 0;
  size_t now;
  size_t i;

  for (i = 0; i < crowd->options.clients; i++)
    {
      moved |= client_send (&crowd->clients[i], &crowd->options);
      if (crowd->options.reads)
        moved |= client_receive (&crowd->clients[i]);
    }
  now = proc_descriptors (crowd->options.host);
  if (now > crowd->descriptors)
    crowd->descriptors = now;
  return moved;
}

/** Connects the clients and lets them send until nothing moves any more. They
    stay connected, unless the host closes their connections. */
void
crowd_play (crowd_t *crowd, const crowd_options_t *options)
{
  int quiet = 0;
  size_t i;

  *crowd = (crowd_t){ .options = *options };
  crowd->clients = el_alloc (options->clients * sizeof *crowd->clients);
  for (i = 0; i < options->clients; i++)
    client_open (&crowd->clients[i], options->address);
  while (quiet < QUIET_ROUNDS)
    {
      quiet = crowd_round (crowd) ? 0 : quiet + 1;
      if (quiet)
        poll_sleep ();
    }
}

/** Closes the connections that are left. */
void
crowd_close (crowd_t *crowd)
{
  size_t i;

  for (i = 0; i < crowd->options.clients; i++)
    {
      client_close (&crowd->clients[i]);
      el_buf_free (&crowd->clients[i].received);
    }
  free (crowd->clients);
}

/** The status of the first response to a client; 0: none. */
int
crowd_status (const crowd_t *crowd, size_t client)
{
  const el_buf_t *received = &crowd->clients[client].received;
  int status = 0;

  if (received->len)
    sscanf (received->ptr, "HTTP/1.1 %d", &status);
  return status;
}
