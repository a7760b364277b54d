/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/*
 * Messages between entry hosts. The committed peer.h and peer_xdr.c are made
 * from this file by rpcgen; see gate/README.
 */
const PEER_MAC = 32;
const PEER_BODY_MAX = 9437184;
const PEER_TEXT_MAX = 8192;
const PEER_NAME_MAX = 512;
const PEER_HEADERS_MAX = 100;
const PEER_INCARNATION = 16;

/* Every call and result travels sealed: an XDR body and its code. */
struct peer_sealed {
  opaque mac[PEER_MAC];
  opaque body<PEER_BODY_MAX>;
};

struct peer_hello_args {
  opaque incarnation[PEER_INCARNATION];
  string http<PEER_NAME_MAX>;
  string hall<PEER_NAME_MAX>;
  bool draining;
  unsigned hyper revision;
};

struct peer_hello_res {
  opaque incarnation[PEER_INCARNATION];
  string http<PEER_NAME_MAX>;
  string hall<PEER_NAME_MAX>;
  bool draining;
  unsigned hyper revision;
};

struct peer_header {
  opaque name<PEER_NAME_MAX>;
  opaque value<PEER_TEXT_MAX>;
};

struct peer_forward_args {
  opaque token<PEER_NAME_MAX>;
  unsigned hyper sequence;
  unsigned hyper digest;
  unsigned hyper deadline_us;
  bool repeatable;
  opaque target<PEER_NAME_MAX>;
  opaque method<PEER_NAME_MAX>;
  opaque path<PEER_TEXT_MAX>;
  peer_header headers<PEER_HEADERS_MAX>;
  opaque body<PEER_BODY_MAX>;
};

struct peer_forward_res {
  int verdict;
  int status;
  unsigned hyper retry_after_ms;
  peer_header headers<PEER_HEADERS_MAX>;
  opaque body<PEER_BODY_MAX>;
};

program ELMARCH_PEER {
  version ELMARCH_PEER_V1 {
    peer_sealed PEER_HELLO (peer_sealed) = 1;
    peer_sealed PEER_FORWARD (peer_sealed) = 2;
  } = 1;
} = 0x20656c6d;
