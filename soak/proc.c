/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * One process of a run: started, paused, ended, looked after.
 */
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak.h"

extern char **environ;

/** Start PROC with ARGS, whose first is the program; what it prints goes to
    the file LOG. */
void
sk_proc_start (const sk_world_t *world, sk_proc_t *proc, const char *log,
               const char **args)
{
  posix_spawn_file_actions_t actions;
  char path[512];
  char file[512];

  snprintf (path, sizeof path, "%s/%s", world->bin, args[0]);
  snprintf (file, sizeof file, "%s/%s.log", world->dir, log);
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_addopen (&actions, STDOUT_FILENO, file,
                                    O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2 (&actions, STDOUT_FILENO, STDERR_FILENO);
  if (posix_spawn (&proc->pid, path, &actions, NULL,
                   (char *const *)(uintptr_t)args, environ))
    abort ();
  posix_spawn_file_actions_destroy (&actions);
  proc->boots++;
  proc->ending = 0;
  proc->paused = 0;
  proc->back = 0;
}

/** Send it a signal, if it runs. */
void
sk_proc_signal (sk_proc_t *proc, int number)
{
  if (proc->pid)
    kill (proc->pid, number);
}

/** Kill it and wait for its end. */
void
sk_proc_kill (sk_proc_t *proc)
{
  if (!proc->pid)
    return;
  proc->ending = 1;
  kill (proc->pid, SIGKILL);
  waitpid (proc->pid, NULL, 0);
  proc->pid = 0;
}

/** Stop it where it is, or have it go on. */
void
sk_proc_pause (sk_proc_t *proc, int on)
{
  proc->paused = on;
  sk_proc_signal (proc, on ? SIGSTOP : SIGCONT);
}

/** Whether it ended, as it was told to or by itself: only the first, with
    status 0, is right. WHAT and I name it. */
void
sk_proc_reap (sk_proc_t *proc, const char *what, unsigned i)
{
  int status;

  if (!proc->pid || waitpid (proc->pid, &status, WNOHANG) != proc->pid)
    return;
  proc->pid = 0;
  if (!proc->ending)
    sk_broken ("exit", "-", "%s %u ended by itself, status %x", what, i,
               (unsigned)status);
  else if (!WIFEXITED (status) || WEXITSTATUS (status))
    sk_broken ("exit", "-", "%s %u stopped with status %x", what, i,
               (unsigned)status);
  proc->back = sk_now () + 1;
}
