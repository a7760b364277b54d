/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Load that the hosts of a hall report to the first of them, which answers
 * each with the sum of the others' reports.
 */
#include <stdlib.h>
#include <string.h>

#include "libpeer.h"

/* Reports are sent several times a second: a late answer is of no use. */
#define LOAD_TIMEOUT (150 * EL_MSEC)

/* An outstanding report. */
typedef struct load_call
{
  pr_load_cb done;
  void *arg;
} load_call_t;

static int
skip_none (void *arg, const co_member_t *member)
{
  (void)arg;
  (void)member;
  return 0;
}

static uint64_t
host_number (const char *incarnation)
{
  uint64_t number;

  memcpy (&number, incarnation, sizeof number);
  return number;
}

/** Encodes REPORT; the caller frees the lists of OUT. */
void
peer_load_encode (const ld_report_t *report, peer_load *out)
{
  size_t i;

  out->hosts = report->hosts;
  out->uses.uses_len = (u_int)report->nuses;
  out->uses.uses_val
      = el_alloc ((report->nuses + 1) * sizeof *out->uses.uses_val);
  for (i = 0; i < report->nuses; i++)
    out->uses.uses_val[i] = (peer_use){
      .engine = report->uses[i].engine,
      .held = (u_int)(report->uses[i].held / PEER_HELD_UNIT),
      .begun = (u_int)report->uses[i].begun,
    };
  out->waits.waits_len = (u_int)report->nwaits;
  out->waits.waits_val
      = el_alloc ((report->nwaits + 1) * sizeof *out->waits.waits_val);
  for (i = 0; i < report->nwaits; i++)
    {
      out->waits.waits_val[i].service = report->waits[i].service;
      memcpy (out->waits.waits_val[i].waiting, report->waits[i].waiting,
              sizeof out->waits.waits_val[i].waiting);
    }
}

/** Decodes LOAD. Returns 0 if it is invalid. */
int
peer_load_decode (const peer_load *load, ld_report_t *out)
{
  size_t i;

  if (load->uses.uses_len > LD_USES_MAX || load->waits.waits_len > LD_WAITS_MAX
      || load->hosts > PEER_MEMBERS_MAX)
    return 0;
  out->hosts = load->hosts;
  out->nuses = load->uses.uses_len;
  for (i = 0; i < out->nuses; i++)
    out->uses[i] = (ld_use_t){
      .engine = load->uses.uses_val[i].engine,
      .held = (double)load->uses.uses_val[i].held * PEER_HELD_UNIT,
      .begun = load->uses.uses_val[i].begun,
    };
  out->nwaits = load->waits.waits_len;
  for (i = 0; i < out->nwaits; i++)
    {
      out->waits[i].service = load->waits.waits_val[i].service;
      memcpy (out->waits[i].waiting, load->waits.waits_val[i].waiting,
              sizeof out->waits[i].waiting);
    }
  return ld_report_valid (out);
}

static void
load_done (void *arg, int ok, int sent, el_str_t body)
{
  load_call_t *call = arg;
  ld_report_t others;
  peer_load res;

  (void)sent;
  memset (&res, 0, sizeof res);
  ok = ok && peer_xdr_decode ((xdrproc_t)xdr_peer_load, body, &res)
       && peer_load_decode (&res, &others);
  call->done (call->arg, ok ? &others : NULL);
  xdr_free ((xdrproc_t)xdr_peer_load, (char *)&res);
  free (call);
}

/** Reports this host's load to the first host of its hall. DONE is called with
    the sum of what the other hosts reported; before the function returns if
    this is the first host. */
void
pr_peers_report_load (pr_peers_t *peers, const ld_report_t *report,
                      pr_load_cb done, void *arg)
{
  const co_member_t *first
      = co_members_next_ranked (peers->members, NULL, skip_none, NULL);
  peer_load_args args = { .sequence = ++peers->load_sequence };
  el_buf_t body = { NULL, 0, 0 };
  load_call_t *call;
  ld_report_t others;

  memcpy (args.incarnation, peers->options.incarnation.byte,
          CO_INCARNATION_BYTES);
  if (!first
      || co_incarnation_eq (&first->incarnation, &peers->options.incarnation))
    {
      peers->options.ops->load (peers->options.arg,
                                host_number (args.incarnation), args.sequence,
                                report, &others);
      done (arg, &others);
      return;
    }
  call = el_alloc (sizeof *call);
  call->done = done;
  call->arg = arg;
  peer_load_encode (report, &args.load);
  peer_xdr_encode ((xdrproc_t)xdr_peer_load_args, &args, &body);
  net_rpc_call_udp (peers->rpc, first->peer, PEER_LOAD, el_buf_str (&body),
                    LOAD_TIMEOUT, load_done, call);
  free (args.load.uses.uses_val);
  free (args.load.waits.waits_val);
  el_buf_free (&body);
}

/** Answers another host's report of its load. An invalid one gets an empty
    reply, which that host ignores. */
void
peer_serve_load (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body)
{
  el_buf_t out = { NULL, 0, 0 };
  ld_report_t report;
  ld_report_t others;
  peer_load_args args;
  peer_load res;

  memset (&args, 0, sizeof args);
  if (peer_xdr_decode ((xdrproc_t)xdr_peer_load_args, body, &args)
      && peer_load_decode (&args.load, &report))
    {
      peers->options.ops->load (peers->options.arg,
                                host_number (args.incarnation), args.sequence,
                                &report, &others);
      peer_load_encode (&others, &res);
      peer_xdr_encode ((xdrproc_t)xdr_peer_load, &res, &out);
      free (res.uses.uses_val);
      free (res.waits.waits_val);
    }
  else
    peers->counts.refused++;
  net_rpc_reply (req, el_buf_str (&out));
  xdr_free ((xdrproc_t)xdr_peer_load_args, (char *)&args);
  el_buf_free (&out);
}

typedef struct uneven_arg
{
  el_str_t hall;
  uint64_t capacity;
  int differs;
} uneven_arg_t;

static void
uneven_visit (void *arg, const co_member_t *member)
{
  uneven_arg_t *uneven = arg;

  if (member->state == CO_MBR_ALIVE && el_str_eq (member->hall, uneven->hall)
      && member->capacity != uneven->capacity)
    uneven->differs = 1;
}

/** Whether the live hosts of this hall differ in capacity, so that they can't
    be assumed to carry the same load. */
int
pr_peers_hall_is_uneven (const pr_peers_t *peers)
{
  uneven_arg_t uneven = { peers->options.hall, peers->options.capacity, 0 };

  co_members_visit (peers->members, uneven_visit, &uneven);
  return uneven.differs;
}
