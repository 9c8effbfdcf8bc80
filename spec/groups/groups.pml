/*
 * One VM moves between two groups. The model has the allocation that assigns the VM to a group, the lease, two
 * controllers that may pause for any time at any step, orders that are delayed or lost, and a daemon that
 * dispatches requests.
 *
 * The other members of each group do not move and are not modelled. In this model every write of the allocation
 * moves the VM, so that the counter is both the version of the object and the fencing token of the VM's assignment
 * or release. Times are ages that the clock increases up to a cap, so that the state space stays finite although
 * time is unbounded. With the macro IGNORE the engine accepts orders with old fencing tokens. Each NO_ macro
 * removes one rule of the design.
 *
 * The delay before a released VM is assigned again is not modelled. It only removes possible steps, and the rules
 * in this model are sufficient without it. It covers the following assumptions.
 *
 * Assumptions: an order does not reach the VM after its deadline, since its sender closes the connection; the
 * daemon sends a request in the same step in which it checks the VM's report; clocks run at the same rate.
 */

#define AGE   1          /* the maximum age of a report that is used */
#define OWAIT 2          /* the validity of an order, longer than the rest of a lease after HOLD */
#define LEASE 1          /* duration of the lease */
#define HOLD  1          /* the time after which its holder stops acting without a renewal */
#ifndef WRITES
#define WRITES 3         /* the highest counter */
#endif

/* The allocation object: the group of the VM (0 if none) and the counter. */
byte grp = 1, cnt = 1;

/* The lease object; fresh[i] is true if it changed since controller i last read it. */
byte holder;
bool fresh[2];

/* The VM: the group and the fencing token of the order that it follows. */
byte vgrp = 1, vfen = 1;

/* The order of each controller: none, made or sent, with its group, fencing token and remaining validity. */
#define NONE 0
#define MADE 1
#define SENT 2
byte stage[2];
byte fgrp[2], ffen[2], fleft[2];

/* Ages. Each comment names the cap. */
byte held[2];            /* since the last renewal by controller i, HOLD */
byte since[2];           /* since controller i became the lease holder, OWAIT + 1 */
byte seen[2];            /* since controller i saw the lease change, LEASE + 1 */
byte idle[2];            /* since controller i saw the VM become idle, AGE + 1 */
byte asOf;               /* of the report at the daemon, AGE + 1 */

bool lead[2], first[2], isIdle[2];
byte cgrp[2], ccnt[2];   /* the copy of the allocation at each controller */

#define HELD (lead[me] && held[me] < HOLD)

/* The rules that a NO_ macro removes. */
#ifdef NO_WATCH
#define EXPIRED true
#else
#define EXPIRED (seen[me] > LEASE)
#endif
#ifdef NO_IDLE
#define CLEARED true
#else
#define CLEARED (isIdle[me] && idle[me] > AGE)
#endif
#ifdef NO_CONDITION
#define CURRENT true
#else
#define CURRENT (cnt == pcnt - 1)
#endif
#ifdef NO_WAIT
#define WAITED true
#else
#define WAITED (first[me] || since[me] > OWAIT)
#endif
#ifdef NO_RECHECK
#define STILL_VALID true
#else
#define STILL_VALID (HELD && fleft[me] > 0)
#endif
#ifdef NO_MATCH
#define MATCHES (egrp == dgrp)
#else
#define MATCHES (egrp == dgrp && efen == dcnt)
#endif
#ifdef NO_AGE
#define YOUNG true
#else
#define YOUNG (asOf <= AGE)
#endif

inline clearOrder(idx) {
  stage[idx] = NONE;
  fgrp[idx] = 0;
  ffen[idx] = 0;
  fleft[idx] = 0
}

inline make(group, number) {
  stage[me] = MADE;
  fgrp[me] = group;
  ffen[me] = number;
  fleft[me] = OWAIT
}

inline takeCopy() {
  cgrp[me] = grp;
  ccnt[me] = cnt
}

proctype Controller(byte me) {
  byte pgrp, pcnt;                       /* a planned write that has not been sent, if pcnt is not 0 */

  do
  /* The watch delivers the allocation with a delay. */
  :: atomic { (ccnt[me] != cnt || cgrp[me] != grp) -> takeCopy() }
  /* The lease holder renews the lease. */
  :: atomic { holder == me && held[me] > 0 -> fresh[1 - me] = true; held[me] = 0 }
  /* The other controller watches the lease and takes it once it has not changed for its duration. */
  :: atomic { holder != me && (fresh[me] || EXPIRED) ->
       lead[me] = false;
       first[me] = false;
       held[me] = 0;
       since[me] = 0;
       if
       :: fresh[me] -> fresh[me] = false; seen[me] = 0
       :: !fresh[me] && EXPIRED ->
          holder = me;
          fresh[1 - me] = true;
          lead[me] = true;
          seen[me] = 0;
          /* A new holder reads the allocation before it acts. */
          if
          :: ccnt[me] != cnt || cgrp[me] != grp -> takeCopy()
          :: else
          fi;
          pgrp = 0;
          pcnt = 0
       fi
     }
  /* The controller receives the report of the VM. */
  :: atomic { isIdle[me] != (vgrp == 0) -> isIdle[me] = (vgrp == 0); idle[me] = 0 }
  /* The controller plans to release the VM or to assign it to a group. */
  :: atomic { HELD && pcnt == 0 && ccnt[me] < WRITES ->
       if
       :: cgrp[me] != 0 -> pgrp = 0
       :: cgrp[me] == 0 && CLEARED ->
          if
          :: pgrp = 1
          :: pgrp = 2
          fi
       fi;
       pcnt = ccnt[me] + 1
     }
  /* The write arrives after a pause of any length. Its response may be lost. */
  :: atomic { pcnt != 0 ->
       if
       :: !CURRENT -> skip
       :: CURRENT ->
          grp = pgrp;
          cnt = pcnt;
          if
          :: takeCopy()
          :: skip
          fi
       fi;
       pgrp = 0;
       pcnt = 0
     }
#ifdef NO_CONFIRM
  /* The controller makes an order for a write that is not confirmed. */
  :: atomic { HELD && pcnt != 0 && pgrp != 0 && stage[me] == NONE -> make(pgrp, pcnt) }
#endif
  /* The controller makes an order if the VM's report does not match the allocation. The order names the group of
   * the VM, or none. */
  :: atomic { HELD && stage[me] == NONE && (vgrp != cgrp[me] || (cgrp[me] != 0 && vfen != ccnt[me])) && WAITED ->
       make(cgrp[me], ccnt[me])
     }
  /* The order is sent after a pause of any length. */
  :: atomic { stage[me] == MADE ->
       if
       :: !STILL_VALID -> clearOrder(me)
       :: STILL_VALID ->
          stage[me] = SENT;
#ifdef NO_RECHECK
          fleft[me] = OWAIT
#endif
       fi
     }
  od
}

/* The VM follows the orders that reach it. */
proctype Engine() {
  byte idx;
  do
  :: atomic { stage[0] == SENT || stage[1] == SENT ->
       if
       :: stage[0] == SENT -> idx = 0
       :: stage[1] == SENT -> idx = 1
       fi;
       if
#ifndef IGNORE
       :: ffen[idx] < vfen -> skip
#endif
       :: ffen[idx] >= vfen -> vgrp = fgrp[idx]; vfen = ffen[idx]
#ifdef IGNORE
       :: ffen[idx] < vfen ->
          assert(ffen[idx] >= vfen);     /* an old order replaces a newer one */
#endif
       :: skip                           /* lost */
       fi;
       clearOrder(idx);
       idx = 0
     }
  od
}

/* A daemon with its own copies of the allocation and of the report of the VM. */
proctype Daemon() {
  byte dgrp = 1, dcnt = 1;
  byte egrp, efen;
  do
  :: atomic { (dcnt != cnt || dgrp != grp) -> dgrp = grp; dcnt = cnt }
  :: atomic { (egrp != vgrp || efen != vfen || asOf > 0) -> egrp = vgrp; efen = vfen; asOf = 0 }
  :: atomic { dgrp != 0 && MATCHES && YOUNG ->
       /* The report has this group and fencing token, and is not stale. */
       assert(efen == dcnt && asOf <= AGE);
       /* The VM does not serve another group, nor this group under another fencing token. */
       assert(vgrp == 0 || (vgrp == dgrp && vfen == dcnt))
     }
  od
}

/* An age that no rule uses in the present state stays 0. */
inline older(age, cap, asked) {
  if
  :: asked && age < cap -> age++
  :: else
  fi
}

inline shorter(idx) {
  if
  :: fleft[idx] > 0 -> fleft[idx]--
  :: fleft[idx] == 0 && stage[idx] == SENT -> clearOrder(idx)
  :: else
  fi
}

proctype Clock() {
  do
  :: atomic {
       older(held[0], HOLD, lead[0]); older(held[1], HOLD, lead[1]);
       older(since[0], OWAIT + 1, lead[0] && !first[0]); older(since[1], OWAIT + 1, lead[1]);
       older(seen[0], LEASE + 1, holder != 0 && !fresh[0]); older(seen[1], LEASE + 1, holder != 1 && !fresh[1]);
       older(idle[0], AGE + 1, isIdle[0]); older(idle[1], AGE + 1, isIdle[1]);
       older(asOf, AGE + 1, true);
       shorter(0); shorter(1)
     }
  od
}

init {
  atomic {
    lead[0] = true;
    first[0] = true;
    cgrp[0] = 1;
    cgrp[1] = 1;
    ccnt[0] = 1;
    ccnt[1] = 1;
    run Controller(0);
    run Controller(1);
    run Engine();
    run Daemon();
    run Clock()
  }
}
