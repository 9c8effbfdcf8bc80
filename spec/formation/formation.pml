/*
 * A VM, B, that moves from a group with head A to a group with head C, the orders for it, and the registry by
 * which the controller sees the engines, always late and sometimes not at all.
 *
 * Every order may be delivered late, also after newer ones, more than once, or never. The controller gives an
 * order again whenever it does not see its effect. It keeps nothing in memory but the time since B left; the
 * allocation that says where B belongs is in the store. Further members of both groups do not move and are left
 * out. The first group has epoch 1, the second one epoch 2. Each NO_ macro removes one rule of package orderplan.
 *
 * Assumed: a group whose member has left stops within the time for which the controller waits.
 */

mtype = { Alone, Joining, Ready, Open, Closing, Broken };

/* The engines: state, and for B the epoch of its group. A and C are in their own groups unless they are Alone. */
mtype a = Ready, b = Ready, c = Alone;
byte bEpoch = 1, bHighest = 1;
bool bWasReady = false;  /* B has been ready in the second group */

/* What the registry says; aSeen is false while A's entry is missing. */
mtype ra = Ready, rb = Ready, rc = Alone;
byte rbEpoch = 1;
bool aSeen = true;

/* Orders on their way. The join of B to its first group is one that was given before and comes late. */
bool openA, closeA, leaveA, leaveB, joinB, joinC, openC;
bool lateJoinB = true;

bool moved = false;      /* the allocation puts B into the second group */

inline acceptJoin(epoch) {
  /* A VM must not take a join while the head of its group is open, or has been left and still works. */
  assert(!(epoch == 2 && (a == Open || a == Closing)));
  assert(!(epoch == 1 && c == Open));
  b = Joining; bEpoch = epoch; bHighest = epoch
}

active proctype Engines() {
  do
  :: atomic { openA -> if :: true -> openA = false :: true fi;
       if :: a == Ready -> a = Open :: else fi }
  :: atomic { closeA -> if :: true -> closeA = false :: true fi;
       if :: a == Open -> a = Closing :: else fi }
  :: atomic { a == Closing -> a = Ready }
  :: atomic { leaveA -> if :: true -> leaveA = false :: true fi; a = Alone }
  :: atomic { a == Open && !(b != Alone && bEpoch == 1) -> a = Broken }
  :: atomic { leaveB -> leaveB = false; if :: bEpoch == 1 -> b = Alone :: else fi }
  :: atomic { joinB -> if :: true -> joinB = false :: true fi;
       if :: !(b != Alone && bEpoch == 2) -> acceptJoin(2) :: else fi }
#ifdef NO_EPOCH
  :: atomic { lateJoinB -> lateJoinB = false; acceptJoin(1) }
#else
  :: atomic { lateJoinB -> lateJoinB = false;
       if :: bHighest <= 1 && b == Alone -> acceptJoin(1) :: else fi }
#endif
  :: atomic { b == Joining -> b = Ready; if :: bEpoch == 2 -> bWasReady = true :: else fi }
  :: atomic { joinC -> joinC = false; if :: c == Alone -> c = Joining :: else fi }
  :: atomic { c == Joining -> c = Ready }
  :: atomic { openC -> openC = false;
       if :: c == Ready -> assert(bWasReady); c = Open :: else fi }
  /* Orders get lost. */
  :: atomic { openA -> openA = false }
  :: atomic { closeA -> closeA = false }
  :: atomic { joinB -> joinB = false }
  od
}

active proctype Registry() {
  do
  :: atomic { ra = a; aSeen = true }
  :: atomic { aSeen = false }
  :: atomic { rb = b; rbEpoch = bEpoch }
  :: atomic { rc = c }
  od
}

/* The rules by which B may join the second group, as the registry shows it. */
#define CLOSED (ra != Open && ra != Closing)
#ifdef NO_DISSOLVE
#define GONE true
#else
#define GONE (ra == Alone || ra == Broken)
#endif
#ifdef NO_HOLD
#define STOPPED true
#else
#define STOPPED (a != Open && a != Closing && a != Ready)
#endif
#ifdef NO_MEMBERS
#define WHOLE true
#else
#define WHOLE (rb == Ready && rbEpoch == 2)
#endif

active proctype Controller() {
  do
  :: atomic { !moved && aSeen && ra == Ready && rb == Ready && rbEpoch == 1 -> openA = true }
  :: atomic { !moved -> moved = true }
  :: atomic { moved && aSeen && !CLOSED -> closeA = true }
  :: atomic { moved && aSeen && CLOSED && !GONE -> leaveA = true }
  :: atomic { moved && aSeen && rbEpoch == 1 && CLOSED && GONE -> joinB = true }
  /* The head is out of sight: B leaves, and joins once its former group has stopped. */
  :: atomic { moved && !aSeen && rbEpoch == 1 && rb != Alone -> leaveB = true }
  :: atomic { moved && !aSeen && rbEpoch == 1 && rb == Alone && STOPPED -> joinB = true }
  :: atomic { moved && rc == Alone -> joinC = true }
  :: atomic { moved && rc == Ready && WHOLE -> openC = true }
  od
}
