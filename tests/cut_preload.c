/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Preloaded into a host: cuts it off from the endpoints while the file that
 * ELMARCH_TEST_CUT names holds one of the letters below, or, if a digit
 * follows, from that many of them. Its connections to callers, to other hosts
 * and to the store are not affected.
 */
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CUT_RESET 'r' /* connections break, new ones are refused */
#define CUT_HANG 'h'  /* connections and connects get no packets */
#define CUT_KEEP 'k'  /* connections stay, new ones are refused */
/* Last octets of the addresses of the endpoints. */
#define ENDPOINT_FIRST 10
#define ENDPOINT_LAST 29
#define FDS_MAX 1024
#define POLL_NS 2000000

static volatile char cut;
static volatile unsigned cut_last = ENDPOINT_LAST;

static int
is_endpoint (const struct sockaddr *addr)
{
  const struct sockaddr_in *in = (const void *)addr;
  unsigned last;

  if (addr->sa_family != AF_INET)
    return 0;
  last = ntohl (in->sin_addr.s_addr) & 0xff;
  return last >= ENDPOINT_FIRST && last <= cut_last;
}

static void
drop_packets (int fd, int on)
{
  struct sock_filter drop_all[] = { BPF_STMT (BPF_RET | BPF_K, 0) };
  struct sock_fprog program = { .len = 1, .filter = drop_all };
  int none = 0;

  if (on)
    setsockopt (fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
  else
    setsockopt (fd, SOL_SOCKET, SO_DETACH_FILTER, &none, sizeof none);
}

/* Applies a change to the connections that are open. */
static void
cut_apply (char how)
{
  struct sockaddr_in peer;
  socklen_t len;
  int fd;

  for (fd = 0; fd < FDS_MAX; fd++)
    {
      len = sizeof peer;
      if (getpeername (fd, (struct sockaddr *)&peer, &len)
          || !is_endpoint ((struct sockaddr *)&peer))
        continue;
      drop_packets (fd, how == CUT_HANG);
      if (how == CUT_RESET)
        shutdown (fd, SHUT_RDWR);
    }
}

static void *
cut_follow (void *path)
{
  struct timespec step = { 0, POLL_NS };
  char how[2];
  int fd;

  for (;; nanosleep (&step, NULL))
    {
      how[0] = 0;
      how[1] = 0;
      fd = open (path, O_RDONLY | O_CLOEXEC);
      if (fd >= 0 && read (fd, how, sizeof how) < 1)
        how[0] = 0;
      if (fd >= 0)
        close (fd);
      if (how[0] == cut)
        continue;
      if (how[0])
        cut_last = how[1] ? ENDPOINT_FIRST + (unsigned)(how[1] - '1')
                          : ENDPOINT_LAST;
      cut = how[0];
      cut_apply (how[0]);
    }
  return NULL;
}

__attribute__ ((constructor)) static void
cut_start (void)
{
  char *path = getenv ("ELMARCH_TEST_CUT");
  pthread_t thread;

  if (path)
    pthread_create (&thread, NULL, cut_follow, path);
}

int
connect (int fd, const struct sockaddr *addr, socklen_t len)
{
  static int (*real_connect) (int, const struct sockaddr *, socklen_t);

  if (!real_connect)
    *(void **)&real_connect = dlsym (RTLD_NEXT, "connect");
  if (is_endpoint (addr) && (cut == CUT_RESET || cut == CUT_KEEP))
    {
      errno = ECONNREFUSED;
      return -1;
    }
  if (is_endpoint (addr) && cut == CUT_HANG)
    drop_packets (fd, 1);
  return real_connect (fd, addr, len);
}
