/*
 * One VM that moves between two groups, the allocation that says where it is, the lease, two controllers
 * whose steps may be paused for any time, orders that are delayed or lost, and a daemon that dispatches.
 *
 * Each group has further members that do not move; they are left out. Every write of the allocation moves
 * the VM here, so that the counter is at once the object's version and the number of the VM's group or of
 * its release. Times are ages that the clock raises up to a cap, so that time has no end. IGNORE makes the
 * engine take orders with old numbers. Each NO_ macro removes one rule of the design.
 *
 * The delay after which a released VM is assigned again is left out. It only takes steps away, and the
 * rules here hold without it; it covers what is assumed next.
 *
 * Assumed: an order does not reach the VM after its deadline, since its sender closes the connection; the
 * daemon sends in the same step in which it checks its evidence; clocks run at the same rate.
 */

#define AGE   1          /* evidence counts for so long */
#define OWAIT 2          /* an order is valid for so long, longer than the rest of a lease after HOLD */
#define LEASE 1          /* duration of the lease */
#define HOLD  1          /* its holder stops after so long */
#ifndef WRITES
#define WRITES 3         /* the highest counter */
#endif

/* The allocation object: the VM's group (0 none) and the counter. */
byte grp = 1, cnt = 1;

/* The lease object; fresh[i] says that it changed since controller i looked. */
byte holder;
bool fresh[2];

/* The VM: the group and number of the order that it follows. */
byte vgrp = 1, vfen = 1;

/* The order of each controller: made, on its way, or none; and the time that it has left. */
#define NONE 0
#define MADE 1
#define SENT 2
byte stage[2];
byte fgrp[2], ffen[2], fleft[2];

/* Ages, each with its cap. */
byte held[2];            /* of the lease, HOLD */
byte since[2];           /* of the holding, OWAIT + 1 */
byte seen[2];            /* of the last change of the lease, LEASE + 1 */
byte idle[2];            /* of the VM's being idle as controller i saw it, AGE + 1 */
byte asOf;               /* of the daemon's evidence, AGE + 1 */

bool lead[2], first[2], isIdle[2];
byte cgrp[2], ccnt[2];   /* the copies of the allocation */

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
#define STANDS true
#else
#define STANDS (HELD && fleft[me] > 0)
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

inline land(idx) {
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
  byte pgrp, pcnt;                       /* a write that was planned and not sent yet, if pcnt is not 0 */

  do
  /* The watch brings the allocation, late. */
  :: atomic { (ccnt[me] != cnt || cgrp[me] != grp) -> takeCopy() }
  /* The holder renews. */
  :: atomic { holder == me && held[me] > 0 -> fresh[1 - me] = true; held[me] = 0 }
  /* Another one watches the lease and takes it once it was unchanged for its duration. */
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
  /* The VM's report. */
  :: atomic { isIdle[me] != (vgrp == 0) -> isIdle[me] = (vgrp == 0); idle[me] = 0 }
  /* A plan: release the VM, or assign it. */
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
  /* The write arrives after a pause of any length; its answer may be lost. */
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
  /* An order for a write that was not confirmed. */
  :: atomic { HELD && pcnt != 0 && pgrp != 0 && stage[me] == NONE -> make(pgrp, pcnt) }
#endif
  /* An order to the VM where its report does not match: its group, or none. */
  :: atomic { HELD && stage[me] == NONE && (vgrp != cgrp[me] || (cgrp[me] != 0 && vfen != ccnt[me])) && WAITED ->
       make(cgrp[me], ccnt[me])
     }
  /* The order leaves after a pause of any length. */
  :: atomic { stage[me] == MADE ->
       if
       :: !STANDS -> land(me)
       :: STANDS ->
          stage[me] = SENT;
#ifdef NO_RECHECK
          fleft[me] = OWAIT
#endif
       fi
     }
  od
}

/* The VM takes the orders that reach it. */
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
          assert(ffen[idx] >= vfen);     /* an old order takes the place of a newer one */
#endif
       :: skip                           /* lost */
       fi;
       land(idx);
       idx = 0
     }
  od
}

/* A daemon with its own copy of the allocation and its own evidence. */
proctype Daemon() {
  byte dgrp = 1, dcnt = 1;
  byte egrp, efen;
  do
  :: atomic { (dcnt != cnt || dgrp != grp) -> dgrp = grp; dcnt = cnt }
  :: atomic { (egrp != vgrp || efen != vfen || asOf > 0) -> egrp = vgrp; efen = vfen; asOf = 0 }
  :: atomic { dgrp != 0 && MATCHES && YOUNG ->
       /* Complete evidence: the report is of this group and number, and young. */
       assert(efen == dcnt && asOf <= AGE);
       /* The VM serves no other group, nor this one in another formation. */
       assert(vgrp == 0 || (vgrp == dgrp && vfen == dcnt))
     }
  od
}

/* An age that no rule asks for at present stays 0. */
inline older(age, cap, asked) {
  if
  :: asked && age < cap -> age++
  :: else
  fi
}

inline shorter(idx) {
  if
  :: fleft[idx] > 0 -> fleft[idx]--
  :: fleft[idx] == 0 && stage[idx] == SENT -> land(idx)
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
